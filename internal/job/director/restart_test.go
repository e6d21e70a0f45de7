package director

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"

	"github.com/currantrouter/currantrouter/internal/job/modeler"
	"github.com/currantrouter/currantrouter/internal/telemetry/meter"
)

// Guards against a run that is taken for lost with the earlier incarnation of its worker, although
// the start reached the new one. The first report of the new incarnation shows whether it did.
func TestStartReachesNewIncarnation(t *testing.T) {
	for name, tc := range map[string]struct {
		listedBefore, listedAfter bool
		want                      int
	}{
		"accepted by the new incarnation":         {false, true, 1},
		"accepted by the earlier incarnation":     {false, false, 0},
		"listed by the earlier incarnation":       {true, false, 0},
		"listed by the earlier incarnation twice": {true, true, 0},
	} {
		t.Run(name, func(t *testing.T) {
			dr := New(Options{
				Epoch: 1, Configuration: func() *modeler.Configuration { return nil }, MaySendRequests: func() bool { return false },
				Log: logr.Discard(), Meter: meter.New(nil),
			})
			now := time.Now()
			wk := &worker{
				info: modeler.Worker{ID: "w"}, incarnation: 1, answered: true, attempts: map[attemptKey]*attempt{}, unexpectedStops: map[attemptKey]*unexpectedStop{},
				criticalImages: map[string]int{}, bestEffortImages: map[string]imageLoad{},
			}
			jb := dr.addJob(&modeler.Job{ID: "j", Steps: []modeler.Step{{Count: 1}}}, true)
			at := dr.reserve(jb.occurrences[0].steps[0].tasks[0], wk, 1)
			at.state, at.answeredAt = active, now
			row := &modeler.ActiveRun{Task: at.task.id(), Run: 1}
			if tc.listedBefore {
				dr.updateRun(wk, row, now)
			}
			dr.workerRestarted(wk, 2, now)
			listed := map[attemptKey]bool{}
			if tc.listedAfter && !tc.listedBefore {
				dr.updateRun(wk, row, now)
				listed[attemptKey{row.Task, 1}] = true
			}
			dr.loseMissingRuns(wk, listed, now.Add(time.Millisecond), now.Add(2*time.Millisecond))
			qt.Check(t, wk.attempts, qt.HasLen, tc.want)
		})
	}
}
