package director

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"

	"github.com/currantrouter/currantrouter/internal/job/modeler"
	"github.com/currantrouter/currantrouter/internal/telemetry/meter"
)

// newBacklog returns a director with workers that have no free capacity and waiting jobs of one step
// each.
func newBacklog(workers, jobs int, step func(ix int) modeler.Step) *Director {
	ctx, cancel := context.WithCancelCause(context.Background())
	cancel(nil)
	dr := New(Options{
		Epoch: 1, Configuration: func() *modeler.Configuration { return nil }, MaySendRequests: func() bool { return true },
		Log: logr.Discard(), Meter: meter.New(nil),
	})
	// No goroutine starts in a term that is over.
	dr.ctx = ctx
	for ix := range workers {
		info := modeler.Worker{ID: modeler.WorkerID(fmt.Sprint("w", ix)), Pool: "pool", Capacity: modeler.Resources{MilliCores: 16000, MemoryMB: 64000}}
		dr.setWorker(&info)
		wk := dr.workers[info.ID]
		wk.reported, wk.answered, wk.grantDurable, wk.free = true, true, true, modeler.Resources{}
	}
	for ix := range jobs {
		jb := dr.addJob(&modeler.Job{ID: modeler.JobID(fmt.Sprint("j", ix)), Pool: "pool", Steps: []modeler.Step{step(ix)}}, true)
		jb.confirmed = true
		if jb.Steps[0].LongRunning {
			jb.Priority = 1
		}
		for _, tk := range jb.occurrences[0].steps[0].tasks {
			tk.mayHaveUnknownRun = false
		}
	}
	return dr
}

// Guards against rounds that compute costs of workers for tasks that fit nowhere, and so take the time in which capacity
// that becomes free could be used.
func TestNoCostsWithoutCapacity(t *testing.T) {
	dr := newShortBacklog()
	now := time.Now().Add(3 * time.Second)
	for range 10 {
		now = now.Add(time.Second)
		dr.dispatch(now)
	}
	qt.Check(t, dr.usage.costsComputed, qt.Equals, 0)
}

// Guards against placement rounds without a bound, and steps that no round considers.
func TestRoundBound(t *testing.T) {
	const jobs, maxPerRound = 1000, maxMisses + 2*maxOvertakenMisses
	for name, step := range map[string]func(int) modeler.Step{
		"single tasks": func(ix int) modeler.Step {
			return modeler.Step{Count: 1, Needs: modeler.Resources{MilliCores: 1000}, MaxPerWorker: 1, LongRunning: ix%2 == 0}
		},
		"gangs": func(ix int) modeler.Step {
			return modeler.Step{Count: 2, Needs: modeler.Resources{MilliCores: 1000}, Gang: true, LongRunning: ix%2 == 0}
		},
	} {
		t.Run(name, func(t *testing.T) {
			dr := newBacklog(10, jobs, step)
			now := time.Now()
			for range jobs / maxOvertakenMisses {
				now = now.Add(time.Second)
				dr.dispatch(now)
				considered := 0
				for sp := range dr.waitingSteps {
					if sp.turn.at.Equal(now) {
						considered++
					}
				}
				qt.Assert(t, considered <= maxPerRound, qt.IsTrue, qt.Commentf("%d steps", considered))
			}
			for sp := range dr.waitingSteps {
				qt.Assert(t, sp.turn.at.IsZero(), qt.IsFalse, qt.Commentf("job %s", sp.occ.job.ID))
			}
		})
	}
}

// Guards against long-running tasks that get no starts, or most of them, while short tasks wait for
// the window of starts.
func TestShareOfStarts(t *testing.T) {
	for name, free := range map[string]int{"one start a round": 1, "eight starts a round": 8} {
		t.Run(name, func(t *testing.T) {
			dr := newBacklog(100, 1000, func(ix int) modeler.Step {
				return modeler.Step{Count: 1, Needs: modeler.Resources{MilliCores: 10}, LongRunning: ix%2 == 0}
			})
			for _, wk := range dr.workers {
				wk.free = wk.info.Capacity
			}
			// The rounds follow each other as the dispatch loop runs them, however long they take here.
			now := time.Now()
			for range 80 / free {
				dr.startsInFlight = dr.startWindow.Available(0) - free
				dr.dispatch(now)
				now = now.Add(minDispatchPause)
			}
			short, longRunning := 0, 0
			for _, wk := range dr.workers {
				for _, at := range wk.attempts {
					if at.task.step.spec.LongRunning {
						longRunning++
					} else {
						short++
					}
				}
			}
			qt.Check(t, short+longRunning, qt.Equals, 80)
			qt.Check(t, longRunning >= 8 && longRunning <= 11, qt.IsTrue, qt.Commentf("%d long-running of 80", longRunning))
		})
	}
}

// Guards against long-running tasks that get none of the capacity which becomes free, place by place, for two
// of them at a time, and against those that leave no place for short tasks.
func TestLastPlaceOfPool(t *testing.T) {
	needs := modeler.Resources{MilliCores: 1000}
	for name, tc := range map[string]struct{ first, short, want int }{
		"two places before, a short task runs":  {2, 1, 2},
		"two places before, no short task runs": {2, 0, 1},
		"one place before, a short task runs":   {1, 1, 0},
	} {
		t.Run(name, func(t *testing.T) {
			dr := newBacklog(4, 4, func(int) modeler.Step { return modeler.Step{Count: 1, Needs: needs, LongRunning: true} })
			now := time.Now().Add(agingTime)
			for ix := range tc.first {
				dr.workers[modeler.WorkerID(fmt.Sprint("w", ix))].free = needs
			}
			dr.dispatch(now)
			for _, wk := range dr.workers {
				wk.free = modeler.Resources{}
			}
			dr.workers["w2"].free = needs
			dr.workers["w3"].ending.MilliCores = int64(tc.short) * needs.MilliCores
			dr.dispatch(now.Add(200 * time.Millisecond))
			longRunning := 0
			for _, wk := range dr.workers {
				longRunning += len(wk.attempts)
			}
			qt.Check(t, longRunning, qt.Equals, tc.want)
		})
	}
}

// Guards against long-running tasks that need little and wait, round after round, while capacity for them is
// given to tasks that need more and are more urgent.
func TestSmallLongRunningFirst(t *testing.T) {
	dr := newBacklog(4, 8, func(ix int) modeler.Step {
		needs := modeler.Resources{MilliCores: 4000, MemoryMB: 100}
		switch ix {
		case 6:
			needs = modeler.Resources{MilliCores: 1000, MemoryMB: 100}
		case 7:
			// A share of memory counts as one of the processors.
			needs = modeler.Resources{MilliCores: 500, MemoryMB: 8000}
		}
		return modeler.Step{Count: 1, Needs: needs, LongRunning: true}
	})
	for _, wk := range dr.workers {
		wk.free = modeler.Resources{MilliCores: 4000, MemoryMB: 64000}
	}
	dr.startsInFlight = dr.startWindow.Available(0) - 4
	dr.dispatch(time.Now().Add(agingTime))
	var started []string
	for _, wk := range dr.workers {
		for key := range wk.attempts {
			started = append(started, string(key.task.Job))
		}
	}
	slices.Sort(started)
	qt.Check(t, started, qt.HasLen, 4)
	qt.Check(t, slices.Contains(started, "j6") && slices.Contains(started, "j7"), qt.IsTrue, qt.Commentf("%v", started))
}
