package director

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/currantrouter/currantrouter/internal/job/modeler"
)

// Guards against a starved task that delays the one for which a worker is held.
func TestBackfillEndsBeforeReservation(t *testing.T) {
	for remaining, want := range map[time.Duration]int{500 * time.Millisecond: -1, 10 * time.Second: 0} {
		t.Run(remaining.String(), func(t *testing.T) {
			dr := newBacklog(1, 3, func(ix int) modeler.Step {
				return modeler.Step{Count: 1, Needs: modeler.Resources{MilliCores: int64(9000 + 1000*ix)}, Estimate: remaining}
			})
			wk, task := dr.workers["w0"], func(id modeler.JobID) *task { return dr.jobs[id].occurrences[0].steps[0].tasks[0] }
			wk.free = wk.info.Capacity
			at := dr.reserve(task("j0"), wk, 1)
			at.markActive(time.Now())
			rd := dr.newRound(time.Now())
			rd.excludeOtherPools("pool")
			held, small := dr.demand(task("j1")), task("j2")
			qt.Assert(t, rd.holdWorker(task("j1"), &held), qt.IsTrue)
			small.step.spec.Needs.MilliCores, small.step.spec.Estimate = 1000, time.Second
			dm := dr.demand(small)
			qt.Check(t, rd.chooseBackfill(small, &dm), qt.Equals, want)
			qt.Check(t, rd.cands[0].Free.MilliCores, qt.Equals, int64(0))
		})
	}
}
