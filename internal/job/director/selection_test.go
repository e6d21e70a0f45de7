package director

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/currantrouter/currantrouter/internal/job/modeler"
	"github.com/currantrouter/currantrouter/internal/job/placer"
)

// Guards against costs that a placement of another step, a held worker or a new trial has made stale.
func TestQuickChoices(t *testing.T) {
	for seed := range uint64(40) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			rnd := rand.New(rand.NewPCG(seed, 3))
			dr := newMixedBacklog(60)
			now := time.Now()
			rd := dr.newRound(now)
			rd.startsLeft, rd.maxMisses = 1000, maxMisses
			// The first pass places some tasks of each step, so that the others find images and neighbours.
			for range 4 {
				for _, rs := range rd.steps {
					assertSameChoices(t, rd, rs.step, 1+rnd.IntN(4))
				}
				rd.holdWorker(rd.steps[0].step.tasks[0], &placer.Demand{Needs: modeler.Resources{MilliCores: 9000}})
				for _, at := range rd.workers[rnd.IntN(len(rd.workers))].criticalAttempts {
					at.load, at.loadAt, at.progress = 0.5, now, 100
				}
			}
		})
	}
}

// newMixedBacklog returns a director with waiting steps of several kinds and empty workers.
func newMixedBacklog(workers int) *Director {
	dr := newBacklog(workers, 24, func(ix int) modeler.Step {
		sp := modeler.Step{
			Count: 12, Needs: modeler.Resources{MilliCores: int64(1+ix%3) * 1500, MemoryMB: 100},
			Image: fmt.Sprint("image", ix%4), BestEffort: ix%3 > 0, MaxPerWorker: ix % 2 * 2,
		}
		if ix%6 == 0 {
			sp.LongRunning, sp.TailTarget, sp.Image = true, 100*time.Millisecond, fmt.Sprint("critical", ix%4)
		}
		return sp
	})
	for _, wk := range dr.workers {
		wk.free = wk.info.Capacity
	}
	return dr
}

// Guards against a task that waits although a worker has the capacity, or that gets a worker without it, as a choice does
// not examine all workers.
func TestQuickChoicesInLargeFleet(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			rnd := rand.New(rand.NewPCG(seed, 3))
			dr := newMixedBacklog(6 * sufficientCandidates)
			// On most workers, little or nothing is free.
			for _, wk := range dr.workers {
				wk.free.MilliCores = max(0, rnd.Int64N(40_000)-32_000)
			}
			rd := dr.newRound(time.Now())
			rd.startsLeft, rd.maxMisses = 10_000, maxMisses
			for _, rs := range rd.steps {
				assertFeasibleChoices(t, rd, rs.step)
			}
		})
	}
}

// chooseBothWays returns the demand of the first waiting task of a step, and the choices for it of chooseQuickly and
// among all workers.
func chooseBothWays(rd *round, sp *step) (dm placer.Demand, quick, full int) {
	dm = rd.dr.demand(sp.waiting[0])
	if dm.LongRunning {
		rd.applyReserve(sp.waiting[0], &dm)
	}
	quick, none := rd.chooseQuickly(sp, &dm)
	rd.countSameStep(sp)
	rd.applyForecast(&dm)
	full = placer.Choose(&dm, rd.cands, rd.allIndices())
	if none {
		full = max(full, slices.IndexFunc(rd.cands, func(cd placer.Candidate) bool { return placer.Feasible(&dm, &cd) }))
	}
	return dm, quick, full
}

// assertFeasibleChoices places the tasks of a step, and checks each choice against the workers that are feasible.
func assertFeasibleChoices(t *testing.T, rd *round, sp *step) {
	t.Helper()
	rd.excludeOtherPools("pool")
	for len(sp.waiting) > 0 {
		dm, quick, full := chooseBothWays(rd, sp)
		qt.Assert(t, quick >= 0, qt.Equals, full >= 0, qt.Commentf("%s, %d tasks wait", sp.spec.Image, len(sp.waiting)))
		if full < 0 {
			return
		}
		qt.Assert(t, placer.Feasible(&dm, &rd.cands[quick]), qt.IsTrue)
		if examinesAll(&dm) {
			qt.Assert(t, quick, qt.Equals, full)
		}
		rd.placeTask(sp.waiting[0], quick)
	}
}

// assertSameChoices places up to count tasks of a step and checks each choice against one that looks at
// all workers.
func assertSameChoices(t *testing.T, rd *round, sp *step, count int) {
	t.Helper()
	rd.excludeOtherPools("pool")
	for ; count > 0 && len(sp.waiting) > 0; count-- {
		if count%2 == 0 {
			sp.waiting[0].avoidWorker(rd.workers[len(sp.waiting)%len(rd.workers)].info.ID)
		}
		_, quick, full := chooseBothWays(rd, sp)
		qt.Assert(t, quick, qt.Equals, full, qt.Commentf("%s, %d tasks wait", sp.spec.Image, len(sp.waiting)))
		if full < 0 {
			return
		}
		rd.placeTask(sp.waiting[0], full)
	}
}

// Guards against a round that looks at all workers for each starved job.
func TestStarvedTasksExamineFewWorkers(t *testing.T) {
	const jobs = maxStarvedAttempts
	dr := newBacklog(10*sufficientCandidates, jobs, func(int) modeler.Step {
		return modeler.Step{Count: 2, Needs: modeler.Resources{MilliCores: 1000}, Image: "image", BestEffort: true}
	})
	for _, wk := range dr.workers {
		wk.free = wk.info.Capacity
	}
	for _, jb := range dr.jobs {
		jb.occurrences[0].due = time.Now().Add(-2 * starvationTimeout)
	}
	rd := dr.newRound(time.Now())
	rd.startsLeft = 2 * jobs
	rd.placeStarved(rd.starvedSteps(), starvationTimeout, rd.startsLeft)
	qt.Check(t, rd.startsLeft, qt.Equals, jobs)
	// All jobs need the same, so that they share what was examined.
	qt.Check(t, dr.usage.costsComputed <= sufficientCandidates+jobs, qt.IsTrue, qt.Commentf("%d costs", dr.usage.costsComputed))
}

// Guards against a job that has had no run for long behind others whose run has just ended, and behind those that fit
// nowhere.
func TestStarvedJobsByIdleTime(t *testing.T) {
	dr := newBacklog(4, 3, func(int) modeler.Step { return modeler.Step{Count: 2, Needs: modeler.Resources{MilliCores: 100}} })
	for _, wk := range dr.workers {
		wk.free = wk.info.Capacity
	}
	now := time.Now()
	var steps []*step
	for _, jb := range dr.jobs {
		steps = append(steps, jb.occurrences[0].steps[0])
	}
	for ix, ago := range []time.Duration{3 * time.Second, 5 * time.Second, 9 * time.Second} {
		steps[ix].occ.due, steps[ix].occ.job.lastRunEnd = now.Add(-time.Minute), now.Add(-ago)
	}
	steps[2].starvedAttemptAt = now.Add(-time.Second)
	qt.Check(t, slices.Equal(dr.newRound(now).starvedSteps(), []*step{steps[1], steps[0], steps[2]}), qt.IsTrue)
}

// Guards against a window that is not used because starts are kept for jobs without a run that fit nowhere.
func TestStarvedTasksThatFitNowhere(t *testing.T) {
	dr := newBacklog(4, 20, func(ix int) modeler.Step {
		sp := modeler.Step{Count: 2, Needs: modeler.Resources{MilliCores: 100}}
		if ix < 10 {
			sp.Label = "unknown"
		}
		return sp
	})
	for _, wk := range dr.workers {
		wk.free = wk.info.Capacity
	}
	for _, jb := range dr.jobs {
		jb.occurrences[0].due = time.Now()
		if jb.Steps[0].Label != "" {
			jb.occurrences[0].due = time.Now().Add(-2 * starvationTimeout)
		}
	}
	dr.starvedStarts = maxKeptStarts
	rd := dr.newRound(time.Now())
	rd.startsLeft = 16
	rd.placeAll()
	qt.Check(t, rd.startsLeft, qt.Equals, 0)
}

// Guards against a round that computes the cost of each worker for each step of an image that interferes with what runs
// there.
func TestInterferenceIsComputedOncePerImage(t *testing.T) {
	const steps = 20
	dr := newBacklog(2*sufficientCandidates, steps+1, func(ix int) modeler.Step {
		if ix == steps {
			return modeler.Step{Count: 2 * sufficientCandidates, Needs: modeler.Resources{MilliCores: 1000}, Image: "critical", TailTarget: 100 * time.Millisecond, LongRunning: true, MaxPerWorker: 1}
		}
		return modeler.Step{Count: 2, Needs: modeler.Resources{MilliCores: int64(2000 - ix)}, Image: "image", BestEffort: true}
	})
	for _, wk := range dr.workers {
		wk.free = wk.info.Capacity
	}
	now := time.Now()
	dr.jobs["j20"].Priority = -1
	rd := dr.newRound(now)
	rd.startsLeft, rd.maxMisses = 1000, maxMisses
	rd.placeStep(dr.jobs["j20"].occurrences[0].steps[0])
	for _, wk := range dr.workers {
		for _, at := range wk.criticalAttempts {
			at.load, at.loadAt, at.progress = 10, now, 100
		}
	}
	rd = dr.newRound(now)
	rd.startsLeft, rd.maxMisses = 1000, maxMisses
	before := dr.usage.costsComputed
	for _, rs := range rd.steps {
		rd.placeStep(rs.step)
	}
	qt.Check(t, rd.startsLeft, qt.Equals, 1000)
	qt.Check(t, dr.usage.costsComputed-before, qt.Equals, len(dr.workers))
}

// Guards against a copy of a slow run that starts beside it, on the worker that the task avoids.
func TestCopiesDoNotReturn(t *testing.T) {
	dr := newBacklog(2, 1, func(int) modeler.Step {
		return modeler.Step{Count: 1, Needs: modeler.Resources{MilliCores: 1000}, Speculative: true}
	})
	wk, tk := dr.workers["w0"], dr.jobs["j0"].occurrences[0].steps[0].tasks[0]
	wk.free = wk.info.Capacity
	dr.reserve(tk, wk, 1)
	tk.avoidWorker("w0")
	dr.enqueue(tk)
	dr.dispatch(time.Now().Add(time.Minute))
	qt.Check(t, tk.attempts, qt.HasLen, 1)
	qt.Check(t, tk.queued, qt.IsTrue)
}

// Guards against a long-running task that is neither moved nor placed in advance, as it failed long ago on the only worker
// with capacity.
func TestLongRunningTaskReturns(t *testing.T) {
	for name, choose := range map[string]func(*round, *step) bool{
		"moved": func(rd *round, sp *step) bool { return rd.choosePlace(sp.tasks[0]) == 0 },
		"placed in advance": func(rd *round, sp *step) bool {
			return rd.placeStepInAdvance(sp, rd.newEndingCandidates(map[int]modeler.Resources{0: {MilliCores: 1000}}))
		},
	} {
		t.Run(name, func(t *testing.T) {
			dr := newBacklog(2, 1, func(int) modeler.Step {
				return modeler.Step{Count: 1, Needs: modeler.Resources{MilliCores: 1000}, LongRunning: true}
			})
			dr.workers["w0"].free = dr.workers["w0"].info.Capacity
			sp := dr.jobs["j0"].occurrences[0].steps[0]
			sp.tasks[0].avoidWorker("w0")
			for _, tc := range []struct {
				since time.Duration
				want  bool
			}{{maxAvoidTime / 2, false}, {2 * maxAvoidTime, true}} {
				rd := dr.newRound(time.Now())
				sp.tasks[0].lastActive = rd.now.Add(-tc.since)
				qt.Check(t, choose(rd, sp), qt.Equals, tc.want)
			}
		})
	}
}
