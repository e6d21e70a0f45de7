package emulator

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/currantrouter/currantrouter/internal/job/modeler"
)

// Guards against an emulation that does not record a violation when a task is started again after it
// was done, or that takes the end of the second run for that of the first.
func TestStartedAgain(t *testing.T) {
	const lease = 2 * time.Second
	tests := []struct {
		name string
		// gap is the time between the starts of the two runs.
		gap time.Duration
		// first is the end of the first lease.
		first time.Duration
		// acked is the worker whose end is acknowledged.
		acked modeler.WorkerID
		want  int
	}{
		{"the first end is acknowledged", time.Second, lease, "first", 1},
		{"the first end is acknowledged after its lease", 2 * lease, lease, "first", 0},
		{"the first end is acknowledged after its longest lease", 2 * lease, 4 * lease, "first", 0},
		{"the second end is acknowledged", time.Second, lease, "second", 0},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				jw := NewJobWorkers(nil, func(modeler.TaskID) TaskBehaviour { return TaskBehaviour{RunTime: 500 * time.Millisecond} })
				jw.LongestLease = lease
				infos := map[modeler.WorkerID]modeler.Worker{}
				for _, id := range []modeler.WorkerID{"first", "second"} {
					infos[id] = jw.Add(modeler.Worker{ID: id, Capacity: modeler.Resources{MilliCores: 4000, MemoryMB: 4000}})
					renew(t, jw, infos[id], tc.first, 0)
				}
				start(t, jw, infos["first"], 1, tc.first)
				time.Sleep(tc.gap)
				start(t, jw, infos["second"], 2, tc.gap+lease)
				time.Sleep(700 * time.Millisecond)
				renew(t, jw, infos[tc.acked], tc.gap+2*lease, 1)
				qt.Check(t, jw.Violations(), qt.HasLen, tc.want)
			})
		})
	}
}

func renew(t *testing.T, jw *JobWorkers, info modeler.Worker, deadline time.Duration, acked int64) {
	t.Helper()
	_, err := jw.Renew(t.Context(), &info, &modeler.RenewRequest{Fence: 1, Deadline: deadline, AckedEnd: acked})
	qt.Assert(t, err, qt.IsNil)
}

func start(t *testing.T, jw *JobWorkers, info modeler.Worker, run modeler.Run, deadline time.Duration) {
	t.Helper()
	_, err := jw.Start(t.Context(), &info, &modeler.StartRequest{Task: modeler.TaskID{Job: "job"}, Run: run, Fence: 1, Deadline: deadline})
	qt.Assert(t, err, qt.IsNil)
}
