package emulator

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/currantrouter/currantrouter/internal/job/modeler"
)

// Guards against a stand-in that misses tasks which were started again after they were done, or that
// takes the end of the second run for that of the first.
func TestStartedAgain(t *testing.T) {
	const lease = 2 * time.Second
	tests := []struct {
		name string
		// cut is how long the first worker cannot be reached after its run has ended.
		cut  time.Duration
		note modeler.WorkerID
		want int
	}{
		{"the first end is noted", time.Second, "first", 1},
		{"the first end is noted after its lease", 2 * lease, "first", 0},
		{"the second end is noted", time.Second, "second", 0},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				jw := NewJobWorkers(nil, func(modeler.TaskID) TaskBehaviour { return TaskBehaviour{Work: 500 * time.Millisecond} })
				infos := map[modeler.WorkerID]modeler.Worker{}
				for _, id := range []modeler.WorkerID{"first", "second"} {
					infos[id] = jw.Add(modeler.Worker{ID: id, Capacity: modeler.Resources{MilliCores: 4000, MemoryMB: 4000}})
					renew(t, jw, infos[id], lease, 0)
				}
				start(t, jw, infos["first"], 1, lease)
				time.Sleep(tc.cut)
				start(t, jw, infos["second"], 2, tc.cut+lease)
				time.Sleep(700 * time.Millisecond)
				renew(t, jw, infos[tc.note], tc.cut+2*lease, 1)
				qt.Check(t, jw.Violations(), qt.HasLen, tc.want)
			})
		})
	}
}

func renew(t *testing.T, jw *JobWorkers, info modeler.Worker, deadline time.Duration, noted int64) {
	t.Helper()
	_, err := jw.Renew(t.Context(), &info, &modeler.RenewRequest{Epoch: 1, Deadline: deadline, AckedEnd: noted})
	qt.Assert(t, err, qt.IsNil)
}

func start(t *testing.T, jw *JobWorkers, info modeler.Worker, run modeler.Run, deadline time.Duration) {
	t.Helper()
	_, err := jw.Start(t.Context(), &info, &modeler.StartRequest{Task: modeler.TaskID{Job: "job"}, Run: run, Epoch: 1, Deadline: deadline})
	qt.Assert(t, err, qt.IsNil)
}
