package director

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/currantrouter/currantrouter/internal/job/modeler"
)

// orderOf returns the jobs in the order in which a round places their steps.
func orderOf(dr *Director, now time.Time) []modeler.JobID {
	var list []modeler.JobID
	for _, rs := range dr.newRound(now).steps {
		list = append(list, rs.step.occ.job.ID)
	}
	return list
}

// Guards against an order that differs from the previous one although no task fits nowhere for long, and against
// a shortage that is seen although the task that waits could never run.
func TestOrderUnderShortage(t *testing.T) {
	rnd := rand.New(rand.NewPCG(1, 9))
	now := time.Now()
	newDirector := func(needs modeler.Resources) *Director {
		dr := newBacklog(4, 60, func(ix int) modeler.Step {
			return modeler.Step{Count: 1 + rnd.IntN(9), Needs: needs, Estimate: time.Duration(1+rnd.IntN(3000)) * time.Millisecond, LongRunning: ix%10 == 1}
		})
		for _, jb := range dr.jobs {
			jb.MaxSlowdown, jb.Slack = 1+rnd.Float64(), time.Second
			jb.occurrences[0].due = now.Add(-time.Duration(rnd.IntN(5000)) * time.Millisecond)
		}
		return dr
	}
	for name, tc := range map[string]struct {
		needs  modeler.Resources
		waited time.Duration
		short  bool
	}{
		"waits for long":     {modeler.Resources{MilliCores: 1000}, time.Second, true},
		"waits for a moment": {modeler.Resources{MilliCores: 1000}, 0, false},
		"fits no worker":     {modeler.Resources{MilliCores: 17_000}, time.Second, false},
	} {
		t.Run(name, func(t *testing.T) {
			dr := newDirector(tc.needs)
			before := orderOf(dr, now)
			dr.op.Limits.ShortagePolicy = ValuePolicy
			qt.Check(t, orderOf(dr, now), qt.DeepEquals, before)
			at := time.Now().Add(tc.waited)
			dr.dispatch(at)
			qt.Check(t, dr.short(dr.queue(dr.jobs["j0"]), at), qt.Equals, tc.short)
			byValue := orderOf(dr, at)
			dr.op.Limits.ShortagePolicy = DeadlinePolicy
			if tc.short {
				qt.Check(t, byValue, qt.Not(qt.DeepEquals), orderOf(dr, at))
			} else {
				qt.Check(t, byValue, qt.DeepEquals, orderOf(dr, at))
			}
		})
	}
}

// Guards against a reserve for short tasks that consists of processors that no short task can use, as each worker
// has only a few.
func TestReserveInPieces(t *testing.T) {
	now := time.Now()
	dr := newBacklog(8, 2, func(ix int) modeler.Step {
		return modeler.Step{Count: 1, Needs: modeler.Resources{MilliCores: 3000 + 4000*int64(ix)}, Estimate: time.Second, LongRunning: ix == 0}
	})
	for _, jb := range dr.jobs {
		jb.Priority, jb.Slack, jb.occurrences[0].due = 0, time.Minute, now
	}
	for _, wk := range dr.workers {
		wk.free = modeler.Resources{MilliCores: 3500, MemoryMB: 64000}
	}
	long := dr.jobs["j0"].occurrences[0].steps[0]
	headroom := func() int64 {
		rd := dr.newRound(now)
		return rd.agedHeadroom(long, "pool") + rd.shortTaskReserve("pool")
	}
	qt.Check(t, headroom(), qt.Equals, int64(8*3500))
	dr.op.Limits.ShortagePolicy = ValuePolicy
	qt.Check(t, headroom(), qt.Equals, int64(0))
	dr.workers["w0"].free.MilliCores = 15_000
	qt.Check(t, headroom(), qt.Equals, int64(14_000))
	// A task that ran before leaves no more than with the previous policy.
	long.waiting[0].lastRun = 1
	qt.Check(t, headroom(), qt.Equals, int64(7*3500+15_000))
}

// Guards against promotions that are put off for hours by a moment in which the pool has few or no workers.
func TestPromotionInterval(t *testing.T) {
	for name, reachable := range map[string]int{"all workers": 40, "one worker": 1, "no worker": 0} {
		t.Run(name, func(t *testing.T) {
			dr := newBacklog(40, 20, func(int) modeler.Step {
				return modeler.Step{Count: 100, Needs: modeler.Resources{MilliCores: 8000}, Estimate: 10 * time.Second}
			})
			dr.op.Limits.ShortagePolicy = ValuePolicy
			now := time.Now()
			for _, jb := range dr.jobs {
				jb.MaxSlowdown, jb.occurrences[0].due = 1, now.Add(-time.Hour)
			}
			dr.dispatch(now.Add(time.Second))
			dr.dispatch(now.Add(time.Second + time.Millisecond))
			for ix := range 40 - reachable {
				dr.workers[modeler.WorkerID(fmt.Sprint("w", ix))].unreachable = true
			}
			at := now.Add(2 * time.Second)
			dr.dispatch(at)
			pm := dr.promotions[shortageKey{pool: "pool"}]
			qt.Assert(t, pm, qt.IsNotNil)
			qt.Check(t, pm.occ != nil, qt.Equals, reachable > 0)
			wait := pm.nextAt.Sub(at)
			qt.Check(t, wait <= 30*time.Second, qt.IsTrue, qt.Commentf("the next promotion is in %s", wait))
		})
	}
}

// Guards against expected run times of centuries, or negative ones, after a run that ended before the answer to its
// start.
func TestExpectedSeconds(t *testing.T) {
	const tooLong = time.Duration(math.MaxInt64)
	for name, tc := range map[string]struct {
		runTimes []time.Duration
		want     float64
	}{
		"none":              {nil, 3},
		"run times":         {[]time.Duration{time.Second, 2 * time.Second}, 1.5},
		"only a wrong one":  {[]time.Duration{tooLong}, 3},
		"two wrong ones":    {[]time.Duration{tooLong, tooLong, time.Second}, 1},
		"a wrong one first": {[]time.Duration{tooLong, -time.Second, time.Second, 2 * time.Second, 3 * time.Second, 4 * time.Second, time.Hour}, 2.5},
	} {
		t.Run(name, func(t *testing.T) {
			dr := newBacklog(1, 1, func(int) modeler.Step { return modeler.Step{Count: 1, Estimate: 3 * time.Second} })
			sp := dr.jobs["j0"].occurrences[0].steps[0]
			sp.runTimes = tc.runTimes
			qt.Check(t, dr.expectedSeconds(sp), qt.Equals, tc.want)
		})
	}
}

// Guards against rounds that look at all workers for each of thousands of steps that wait for a label that no worker
// has: they are looked at once for each class of demands.
func TestCostOfMissingLabel(t *testing.T) {
	dr := newBacklog(1100, 2500, func(int) modeler.Step {
		return modeler.Step{Count: 1, Needs: modeler.Resources{MilliCores: 1000}, Label: "none"}
	})
	dr.op.Limits.ShortagePolicy = ValuePolicy
	rd := dr.newRound(time.Now().Add(time.Second))
	rd.startsLeft = len(rd.steps)
	qt.Assert(t, rd.steps, qt.HasLen, 2500)
	rd.placeSteps()
	qt.Check(t, rd.largest, qt.HasLen, 1)
	for _, list := range rd.largest {
		qt.Check(t, list, qt.HasLen, 0)
	}
}

// Guards against a shortage that is seen although processors are free, which a task may not use.
func TestNoShortageBesideFreeProcessors(t *testing.T) {
	for name, tc := range map[string]struct {
		prepare func(dr *Director, sp *step)
		short   bool
	}{
		"full":         {func(dr *Director, _ *step) { dr.workers["w0"].free = modeler.Resources{} }, true},
		"MaxPerWorker": {func(_ *Director, sp *step) { sp.perWorker["w0"] = 1 }, false},
		"avoided worker": {func(dr *Director, sp *step) {
			sp.tasks[0].avoidWorker("w0")
			sp.tasks[0].wait.since = time.Now().Add(time.Second / 2)
			dr.workers["w1"].ending = dr.workers["w1"].info.Capacity
		}, false},
		"permits": {func(dr *Director, sp *step) {
			sp.occ.job.queueOf, sp.occ.job.queue = nil, &modeler.Queue{Pool: "pool", Policy: &modeler.Policy{}}
			dr.op.Policy = noPermits{}
		}, false},
	} {
		t.Run(name, func(t *testing.T) {
			dr := newBacklog(2, 1, func(int) modeler.Step {
				spec := modeler.Step{Count: 1, Needs: modeler.Resources{MilliCores: 1000}}
				if name == "MaxPerWorker" {
					spec.MaxPerWorker = 1
				}
				return spec
			})
			dr.op.Limits.ShortagePolicy = ValuePolicy
			dr.workers["w0"].free = dr.workers["w0"].info.Capacity
			jb := dr.jobs["j0"]
			dr.queue(jb)
			sp := jb.occurrences[0].steps[0]
			tc.prepare(dr, sp)
			at := time.Now().Add(time.Second)
			dr.dispatch(at)
			qt.Check(t, sp.waiting, qt.HasLen, 1)
			qt.Check(t, dr.short(dr.queue(jb), at), qt.Equals, tc.short)
		})
	}
}

// noPermits is a policy service that grants no permits.
type noPermits struct{}

func (noPermits) Permit(context.Context, modeler.StepID, []modeler.WorkerID) ([]modeler.Permit, error) {
	return nil, nil
}

// newRunning returns a director under ValuePolicy with some attempts on each of its workers.
func newRunning(workers, perWorker int, step modeler.Step) *Director {
	step.Count = perWorker
	dr := newBacklog(workers, workers, func(int) modeler.Step { return step })
	dr.op.Limits.ShortagePolicy = ValuePolicy
	for ix, wk := range dr.orderedWorkers() {
		jb := dr.jobs[modeler.JobID(fmt.Sprint("j", ix))]
		jb.Priority = 0
		for _, tk := range jb.occurrences[0].steps[0].tasks {
			dr.reserve(tk, wk, 1)
		}
	}
	return dr
}

// Guards against observations of the demand, ten a second, that look at each attempt under the director's lock: they
// look at one sum for each pool and priority.
func TestCostOfShortDemand(t *testing.T) {
	dr := newRunning(1100, 20, modeler.Step{Needs: modeler.Resources{MilliCores: 100}, Estimate: time.Second})
	qt.Check(t, dr.active, qt.HasLen, 1)
}

// Guards against sums of the demand that differ from the attempts, and against tasks that count twice.
func TestShortDemand(t *testing.T) {
	const tasks, workers = 3, 4
	needs := modeler.Resources{MilliCores: 1000}
	for name, tc := range map[string]struct {
		step                modeler.Step
		milliCores, perTask int64
	}{
		"short":                  {modeler.Step{Needs: needs}, 12_000, 1000},
		"short latency-critical": {modeler.Step{Needs: needs, TailTarget: time.Second}, 12_000, 1000},
		"best-effort":            {modeler.Step{Needs: needs, BestEffort: true}, 0, 0},
		"long-running":           {modeler.Step{Needs: needs, LongRunning: true}, 0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			dr := newRunning(workers, tasks, tc.step)
			now := time.Now()
			observed := func() (int64, int64) {
				now = now.Add(time.Hour)
				dr.newRound(now)
				fc := dr.shortDemand["pool"]
				return fc.Reserve(1_000_000, 0, now), fc.TaskSize()
			}
			milliCores, perTask := observed()
			qt.Check(t, milliCores, qt.Equals, tc.milliCores)
			qt.Check(t, perTask, qt.Equals, tc.perTask)
			for _, wk := range dr.orderedWorkers() {
				for _, at := range wk.attempts {
					dr.release(at)
					dr.release(at)
				}
			}
			milliCores, _ = observed()
			qt.Check(t, milliCores, qt.Equals, int64(0))
		})
	}
}

// Guards against jobs that are judged by wrong estimates although the run times of their tasks are known.
func TestJudgeByRunTimes(t *testing.T) {
	for _, estimate := range []time.Duration{100 * time.Millisecond, time.Second, 10 * time.Second} {
		for _, total := range []time.Duration{1400 * time.Millisecond, 2500 * time.Millisecond} {
			t.Run(fmt.Sprintf("estimate %s, ended after %s", estimate, total), func(t *testing.T) {
				dr := newRunning(1, 1, modeler.Step{Needs: modeler.Resources{MilliCores: 100}, Estimate: estimate})
				jb, now := dr.jobs["j0"], time.Now()
				oc := jb.occurrences[0]
				jb.MaxSlowdown, oc.due = 1.5, now.Add(-total)
				tk := oc.steps[0].tasks[0]
				tk.attempts[0].answeredAt = now.Add(-time.Second)
				dr.judgeEnded(tk, now)
				want := 0
				if total > 1500*time.Millisecond {
					want = 1
				}
				qt.Check(t, dr.delayed.jobs, qt.Equals, want)
				qt.Check(t, oc.steps[0].runTimes, qt.HasLen, 0)
			})
		}
	}
}

// Guards against run times of busy queues that are forgotten as jobs of many other queues come.
func TestHistoriesOfManyQueues(t *testing.T) {
	dr := newRunning(1, 1, modeler.Step{Needs: modeler.Resources{MilliCores: 100}, Estimate: time.Second})
	jb, now := dr.jobs["j0"], time.Now()
	tk := jb.occurrences[0].steps[0].tasks[0]
	tk.attempts[0].answeredAt = now.Add(-4 * time.Second)
	observe := func(queue modeler.QueueName) {
		jb.Queue = queue
		dr.observeRunTime(tk, now)
	}
	for no := range 2 * maxQueueHistories {
		observe("busy")
		observe(modeler.QueueName(fmt.Sprint("queue", no)))
		qt.Assert(t, len(dr.histories) <= maxQueueHistories, qt.IsTrue)
	}
	jb.Queue = "busy"
	qt.Check(t, dr.expectedSeconds(tk.step), qt.Equals, 4.0)
}
