package director

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/currantrouter/currantrouter/internal/job/modeler"
)

// newRackBacklog returns a director with 60 racks of one worker each, gangs that fit into none of them, and a
// long-running task for which there is capacity twice over.
func newRackBacklog() *Director {
	const gangs = 60
	dr := newBacklog(60, gangs+1, func(ix int) modeler.Step {
		if ix == gangs {
			return modeler.Step{Count: 1, Needs: modeler.Resources{MilliCores: 2000}, LongRunning: true}
		}
		return modeler.Step{Count: 2, Needs: modeler.Resources{MilliCores: 1500}, LongRunning: true, Gang: true, SameRack: true, MaxPerWorker: 1}
	})
	dr.jobs[modeler.JobID(fmt.Sprint("j", gangs))].Priority = 2
	for ix, wk := range dr.orderedWorkers() {
		wk.info.Rack = fmt.Sprint("rack", ix)
	}
	dr.workers["w0"].free.MilliCores = 4000
	return dr
}

// Guards against gangs that use up each round rack by rack, before the turn of a long-running task.
func TestTurnBehindGangsOfOneRack(t *testing.T) {
	dr := newRackBacklog()
	now, rounds := time.Now().Add(agingTime), 0
	for ; len(dr.workers["w0"].attempts) == 0 && rounds < 100; rounds++ {
		now = now.Add(tickInterval)
		dr.dispatch(now)
	}
	qt.Check(t, rounds <= 5, qt.IsTrue, qt.Commentf("%d rounds", rounds))
}
