package director

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/currantrouter/currantrouter/internal/job/modeler"
)

// newStepBacklog returns a director with 60 racks of one worker each, 60 long-running steps, and a long-running task for
// which there is capacity twice over.
func newStepBacklog(waiting modeler.Step) *Director {
	const steps = 60
	dr := newBacklog(60, steps+1, func(ix int) modeler.Step {
		if ix == steps {
			return modeler.Step{Count: 1, Needs: modeler.Resources{MilliCores: 2000}, LongRunning: true}
		}
		waiting.LongRunning = true
		return waiting
	})
	dr.jobs[modeler.JobID(fmt.Sprint("j", steps))].Priority = 2
	for ix, wk := range dr.orderedWorkers() {
		wk.info.Rack = fmt.Sprint("rack", ix)
	}
	dr.workers["w0"].free.MilliCores = 4000
	return dr
}

// assertTurn checks that a task is placed on the worker with capacity within a few rounds.
func assertTurn(t *testing.T, dr *Director) {
	t.Helper()
	now, rounds := time.Now().Add(agingTime), 0
	for ; len(dr.workers["w0"].attempts) == 0 && rounds < 100; rounds++ {
		now = now.Add(tickInterval)
		dr.dispatch(now)
	}
	qt.Check(t, rounds <= 5, qt.IsTrue, qt.Commentf("%d rounds", rounds))
}

// newWaitingGangs returns a director with 1,100 workers in 60 racks, 30 of which have capacity, and 700 waiting gangs that
// need 32 workers each.
func newWaitingGangs(sameRack bool) *Director {
	dr := newBacklog(1100, 700, func(ix int) modeler.Step {
		return modeler.Step{Count: 32, Needs: modeler.Resources{MilliCores: int64(1500 + ix)}, LongRunning: ix%2 == 0, Gang: true, SameRack: sameRack, MaxPerWorker: 1}
	})
	for ix, wk := range dr.orderedWorkers() {
		wk.info.Rack = fmt.Sprint("rack", ix%60)
		if ix < 30 {
			wk.free.MilliCores = 4000
		}
	}
	return dr
}

// BenchmarkRoundWithGangs measures a placement round in which no gang fits.
func BenchmarkRoundWithGangs(b *testing.B) {
	for _, sameRack := range []bool{false, true} {
		b.Run(fmt.Sprint("same rack ", sameRack), func(b *testing.B) {
			dr := newWaitingGangs(sameRack)
			for b.Loop() {
				dr.dispatch(time.Now().Add(2 * agingTime))
			}
		})
	}
}

// Guards against gangs that use up each round rack by rack, before the turn of a long-running task.
func TestTurnBehindGangsOfOneRack(t *testing.T) {
	assertTurn(t, newStepBacklog(modeler.Step{Count: 2, Needs: modeler.Resources{MilliCores: 1500}, Gang: true, SameRack: true, MaxPerWorker: 1}))
}

// Guards against steps that use up each round task by task, as their tasks avoid the only worker with capacity.
func TestTurnBehindTasksThatAvoidWorker(t *testing.T) {
	dr := newStepBacklog(modeler.Step{Count: 60, Needs: modeler.Resources{MilliCores: 1500}})
	for sp := range dr.waitingSteps {
		if sp.spec.Count == 1 {
			continue
		}
		for _, tk := range sp.tasks {
			tk.avoidWorker("w0")
			tk.lastActive = time.Now().Add(time.Hour)
		}
	}
	assertTurn(t, dr)
}

// Guards against rounds that compare each waiting gang with all workers of each rack, and against rounds without a bound.
func TestWaitingGangsBoundRound(t *testing.T) {
	dr := newWaitingGangs(true)
	dr.dispatch(time.Now().Add(2 * agingTime))
	considered := 0
	for sp := range dr.waitingSteps {
		if sp.turn.round == dr.rounds {
			considered++
		}
	}
	qt.Check(t, considered > maxMisses && considered <= maxMisses+2*maxOvertakenMisses, qt.IsTrue, qt.Commentf("%d gangs", considered))
	qt.Check(t, dr.usage.costsComputed, qt.Equals, 0)
}

// Guards against capacity that stays reserved for a gang that does not fit, as its tasks avoid workers.
func TestGangThatDoesNotFitReservesNothing(t *testing.T) {
	dr := newBacklog(2, 2, func(ix int) modeler.Step {
		return modeler.Step{Count: 2 - ix, Needs: modeler.Resources{MilliCores: int64(9000 + 7000*ix)}, Gang: ix == 0}
	})
	dr.workers["w0"].free.MilliCores, dr.workers["w1"].free.MilliCores = 16000, 9000
	for _, tk := range dr.jobs["j0"].occurrences[0].steps[0].tasks {
		tk.avoidWorker("w1")
	}
	dr.jobs["j1"].Priority = 1
	dr.dispatch(time.Now())
	qt.Check(t, dr.jobs["j0"].hasAttempts(), qt.IsFalse)
	qt.Check(t, dr.workers["w0"].attempts, qt.HasLen, 1)
}

// Guards against a gang that waits beside an empty worker, which one of its tasks avoids, for one that stays full.
func TestGangThatAvoidsEmptyWorker(t *testing.T) {
	for name, tc := range map[string]struct {
		// ending is what runs use on the full worker that end by themselves.
		ending modeler.Resources
		starts bool
	}{
		"runs last on the other worker": {modeler.Resources{}, true},
		"runs end on the other worker":  {modeler.Resources{MilliCores: 16000, MemoryMB: 64000}, false},
	} {
		t.Run(name, func(t *testing.T) {
			dr := newBacklog(2, 1, func(int) modeler.Step {
				return modeler.Step{Count: 2, Needs: modeler.Resources{MilliCores: 3000}, Gang: true}
			})
			dr.workers["w0"].free, dr.workers["w1"].ending = dr.workers["w0"].info.Capacity, tc.ending
			dr.jobs["j0"].occurrences[0].steps[0].tasks[0].avoidWorker("w0")
			dr.dispatch(time.Now())
			qt.Check(t, dr.jobs["j0"].hasAttempts(), qt.Equals, tc.starts)
		})
	}
}

// Guards against short tasks that take what becomes free on the workers that an overdue gang needs, and against a gang that
// counts as overdue late, as the runs of its other tasks ended after that of the lost worker.
func TestHoldsWorkersForOverdueGang(t *testing.T) {
	dr := newBacklog(10, 2, func(ix int) modeler.Step {
		if ix == 0 {
			return modeler.Step{Count: 2, Needs: modeler.Resources{MilliCores: 3000}, LongRunning: true, Gang: true, MaxPerWorker: 1}
		}
		return modeler.Step{Count: 4, Needs: modeler.Resources{MilliCores: 1500}}
	})
	now := time.Now()
	tasks := dr.jobs["j0"].occurrences[0].steps[0].tasks
	tasks[0].lastRun, tasks[1].lastRun = 1, 1
	tasks[1].wait.silentSince = now.Add(-overdueTime)
	setFree := func(milliCores int64) {
		for _, id := range []modeler.WorkerID{"w0", "w1"} {
			dr.workers[id].free.MilliCores, dr.workers[id].ending.MilliCores = milliCores, 6000-milliCores
		}
	}
	setFree(1500)
	dr.dispatch(now)
	qt.Check(t, dr.jobs["j1"].hasAttempts(), qt.IsFalse)
	setFree(3000)
	dr.dispatch(now)
	qt.Check(t, dr.workers["w0"].attempts, qt.HasLen, 1)
	qt.Check(t, dr.workers["w1"].attempts, qt.HasLen, 1)
	qt.Check(t, dr.jobs["j1"].hasAttempts(), qt.IsFalse)
}
