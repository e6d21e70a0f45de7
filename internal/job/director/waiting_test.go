package director

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"

	"github.com/currantrouter/currantrouter/internal/job/modeler"
	"github.com/currantrouter/currantrouter/internal/job/placer"
	"github.com/currantrouter/currantrouter/internal/telemetry/meter"
)

// waitFixture is a director without goroutines, with one job of a long-running and one of an ordinary
// step, and one open worker.
type waitFixture struct {
	dr             *Director
	wk             *worker
	long, ordinary *task
	// maySend is what Options.MaySendRequests returns.
	maySend bool
}

func newWaitFixture() *waitFixture {
	fx := &waitFixture{maySend: true}
	cfg := &modeler.Configuration{Queues: []modeler.Queue{{Name: "q", Pool: "p", Attempts: 1}}}
	fx.dr = New(Options{
		Epoch: 1, Configuration: func() *modeler.Configuration { return cfg }, MaySendRequests: func() bool { return fx.maySend },
		InheritedLease: 10 * time.Second, Limits: Limits{Lease: 7 * time.Second, StopGrace: 400 * time.Millisecond}, Log: logr.Discard(), Meter: meter.New(nil),
	})
	fx.dr.setWorker(&modeler.Worker{ID: "w", Pool: "p", Capacity: modeler.Resources{MilliCores: 4000, MemoryMB: 4000}})
	fx.wk = fx.dr.workers["w"]
	fx.wk.answered, fx.wk.reported, fx.wk.grantDurable, fx.wk.clockAt = true, true, true, time.Now()
	fx.dr.allAccounted = true
	needs := modeler.Resources{MilliCores: 1000, MemoryMB: 100}
	jb := fx.dr.addJob(&modeler.Job{ID: "j", Queue: "q", Steps: []modeler.Step{{Count: 1, LongRunning: true, Needs: needs}, {Count: 1, Needs: needs}}}, true)
	jb.confirmed = true
	fx.long, fx.ordinary = jb.occurrences[0].steps[0].tasks[0], jb.occurrences[0].steps[1].tasks[0]
	return fx
}

// inherit makes the worker one that may run tasks for an earlier leader.
func (fx *waitFixture) inherit() {
	fx.wk.answered, fx.wk.unaccounted, fx.dr.allAccounted, fx.dr.unaccountedWorkers = false, true, false, 1
	fx.long.placedOn = "w"
}

// round runs a placement round that starts nothing.
func (fx *waitFixture) round() {
	time.Sleep(time.Millisecond)
	fx.dr.dispatch(time.Now())
}

// place reserves the worker for the task.
func (fx *waitFixture) place(tk *task, state attemptState) *attempt {
	at := fx.dr.reserve(tk, fx.wk, 1)
	at.state, at.sentAt = state, time.Now()
	fx.dr.starting[at] = struct{}{}
	return at
}

// onlyWait returns why the task waits, and checks that it is counted once and alone.
func (fx *waitFixture) onlyWait(t *testing.T, tk *task) waitReason {
	t.Helper()
	wr := fx.dr.collectWaits(time.Now())
	qt.Assert(t, wr.counts, qt.HasLen, 1)
	for reason, count := range wr.counts {
		qt.Check(t, count.all, qt.Equals, 1)
		qt.Check(t, tk.wait.reason, qt.Equals, reason)
	}
	return tk.wait.reason
}

// Guards against a task that waits without a reason, or with a wrong one.
func TestWaitReasons(t *testing.T) {
	for name, tc := range map[string]struct {
		want  waitReason
		setUp func(*waitFixture)
	}{
		"before the first round": {notPlacedYet, func(*waitFixture) {}},
		"job is not confirmed":   {jobNotConfirmed, func(fx *waitFixture) { fx.long.step.occ.job.confirmed = false }},
		"last worker not accounted for": {earlierLeasePossible, func(fx *waitFixture) {
			fx.inherit()
			fx.round()
		}},
		"start refused": {startRefused, func(fx *waitFixture) { fx.long.notBefore = time.Now().Add(time.Second) }},
		"too large": {noWorkerFits, func(fx *waitFixture) {
			fx.long.step.spec.Needs.MilliCores = 5000
			fx.round()
		}},
		"a less demanding task of the class fits nowhere": {noWorkerFits, func(fx *waitFixture) {
			fx.wk.free = modeler.Resources{}
			fx.dr.addJob(&modeler.Job{ID: "a", Queue: "q", Steps: []modeler.Step{{Count: 1, LongRunning: true, Needs: modeler.Resources{MilliCores: 10}}}}, true)
			fx.round()
			fx.dr.jobs["a"].occurrences[0].steps[0].tasks[0].done = true
			fx.dr.dequeue(fx.dr.jobs["a"].occurrences[0].steps[0].tasks[0])
		}},
		"only worker held free": {workersHeldFree, func(fx *waitFixture) {
			fx.dr.beginRound(time.Now(), notPlacedYet)
			rd := fx.dr.newRound(time.Now().Add(time.Millisecond))
			rd.maxMisses = maxMisses
			rd.startsLeft = 1
			rd.holdWorker(fx.ordinary, &placer.Demand{Needs: modeler.Resources{MilliCores: 100}})
			// Long-running tasks use workers that are held.
			fx.long.step.spec.LongRunning = false
			rd.placeStep(fx.long.step)
		}},
		"bound of misses": {roundEndedByMisses, func(fx *waitFixture) {
			fx.dr.beginRound(time.Now(), (&round{workers: []*worker{fx.wk}, misses: maxMisses, maxMisses: maxMisses, startsLeft: 1}).endReason())
		}},
		"bound of misses within the step": {roundEndedByMisses, func(fx *waitFixture) {
			fx.dr.beginRound(time.Now(), notPlacedYet)
			rd := fx.dr.newRound(time.Now().Add(time.Millisecond))
			rd.maxMisses = maxMisses
			rd.misses, rd.startsLeft = maxMisses, 1
			rd.placeStep(fx.long.step)
		}},
		"window of starts is full": {roundEndedByWindow, func(fx *waitFixture) {
			fx.dr.startsInFlight = 1000
			fx.round()
		}},
		"host may not send": {requestsSuspended, func(fx *waitFixture) {
			fx.maySend = false
			fx.round()
		}},
		"no worker accepts tasks": {noWorkerOpen, func(fx *waitFixture) {
			fx.wk.info.Draining = true
			fx.round()
		}},
		"gang not complete": {gangNotComplete, func(fx *waitFixture) {
			fx.long.step.spec.Gang, fx.long.step.gangRun = true, 1
			fx.round()
		}},
		"permits requested": {permitNotGranted, func(fx *waitFixture) {
			fx.wk.free = modeler.Resources{}
			fx.long.step.permits = &permits{requesting: true}
			fx.round()
		}},
		"placement not durable": {placementNotDurable, func(fx *waitFixture) { fx.place(fx.long, placed).recording = true }},
		"start queued":          {startQueued, func(fx *waitFixture) { fx.place(fx.long, placed) }},
		"start sent":            {startNotAnswered, func(fx *waitFixture) { fx.place(fx.long, sent) }},
		"start uncertain":       {startNotAnswered, func(fx *waitFixture) { fx.place(fx.long, uncertain) }},
		"worker does not answer": {workerNotAnswering, func(fx *waitFixture) {
			fx.place(fx.long, active)
			fx.dr.markUnreachable(fx.wk, time.Now())
		}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fx := newWaitFixture()
				// The other task would take part in rounds.
				fx.dr.dequeue(fx.ordinary)
				tc.setUp(fx)
				qt.Check(t, fx.onlyWait(t, fx.long), qt.Equals, tc.want)
			})
		})
	}
}

// Guards against a task that waits beside a held worker without a word for whom the worker is held.
func TestHolderOfHeldWorker(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fx := newWaitFixture()
		fx.dr.beginRound(time.Now(), notPlacedYet)
		rd := fx.dr.newRound(time.Now())
		rd.maxMisses, rd.startsLeft = maxMisses, 1
		rd.holdWorker(fx.long, &placer.Demand{Needs: modeler.Resources{MilliCores: 100}})
		rd.placeStep(fx.ordinary.step)
		qt.Check(t, fx.ordinary.step.turn.heldWorker, qt.Equals, fx.wk.info.ID)
		qt.Check(t, fx.ordinary.step.turn.holder, qt.Equals, fx.long.id())
		rd.noteTurn(fx.ordinary.step, noWorkerFits)
		qt.Check(t, fx.ordinary.step.turn.reservationInputs(), qt.HasLen, 0)
	})
}

// Guards against reasons of tasks that run to completion that are taken for those of long-running ones.
func TestWaitReasonsOfOrdinaryTasks(t *testing.T) {
	t.Run("run of an earlier leader", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			fx := newWaitFixture()
			fx.inherit()
			wt := fx.dr.whyQueued(fx.ordinary, time.Now())
			qt.Check(t, wt.reason, qt.Equals, earlierRunPossible)
			qt.Check(t, wt.until, qt.Equals, fx.dr.termStart.Add(10*time.Second+unreachableGrace))
		})
	})
	t.Run("attempts exhausted", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			fx := newWaitFixture()
			fx.ordinary.failures = []modeler.Run{1}
			qt.Check(t, fx.dr.whyQueued(fx.ordinary, time.Now()).reason, qt.Equals, attemptsUsedUp)
		})
	})
	for name, tc := range map[string]struct {
		free  int64
		grace time.Duration
	}{
		"held until the lease is over in a pool with room":      {4000, 0},
		"held until the grace after the lease in a pool in use": {2000, unreachableGrace},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fx := newWaitFixture()
				fx.wk.unreachable, fx.wk.leaseEnd, fx.wk.free.MilliCores = true, 5*time.Second, tc.free
				long, _ := fx.dr.whyNotRunning(fx.place(fx.long, active), time.Now())
				ordinary, _ := fx.dr.whyNotRunning(fx.place(fx.ordinary, active), time.Now())
				qt.Check(t, ordinary.until.Sub(long.until), qt.Equals, tc.grace)
				time.Sleep(time.Until(long.until) - time.Millisecond)
				qt.Check(t, fx.dr.leaseExpired(fx.wk, time.Now()), qt.IsFalse)
				time.Sleep(2 * time.Millisecond)
				qt.Check(t, fx.dr.leaseExpired(fx.wk, time.Now()), qt.IsTrue)
			})
		})
	}
}

// Guards against a reason that contradicts the decision whether a task may start.
func TestWaitReasonsAgreeWithStartable(t *testing.T) {
	for name, setUp := range map[string]func(*waitFixture){
		"startable":             func(*waitFixture) {},
		"not confirmed":         func(fx *waitFixture) { fx.long.step.occ.job.confirmed = false },
		"refused":               func(fx *waitFixture) { fx.ordinary.notBefore = time.Now().Add(time.Second) },
		"failed":                func(fx *waitFixture) { fx.ordinary.failures = []modeler.Run{1} },
		"of an earlier leader":  (*waitFixture).inherit,
		"inherited lease ended": func(fx *waitFixture) { fx.inherit(); time.Sleep(11 * time.Second) },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fx := newWaitFixture()
				setUp(fx)
				for _, tk := range [...]*task{fx.long, fx.ordinary} {
					reason := fx.dr.whyQueued(tk, time.Now()).reason
					held := reason == earlierRunPossible || reason == earlierLeasePossible || reason == jobNotConfirmed || reason == startRefused || reason == attemptsUsedUp
					qt.Check(t, held, qt.Equals, !fx.dr.startable(tk, time.Now()), qt.Commentf("%s: %s", tk.id(), reason))
				}
			})
		})
	}
}

// Guards against a report that costs a line for each of many tasks, or leaves out those that have waited
// longest.
func TestWaitLinesAreBounded(t *testing.T) {
	now := time.Now()
	wr := &waitReport{now: now, counts: map[waitReason]*waitCount{}}
	sp := &step{spec: &modeler.Step{LongRunning: true}}
	const tasks = 5000
	for ix := range tasks {
		age := time.Duration((ix*7919)%tasks) * time.Second
		wr.add(&task{step: sp, index: ix}, wait{reason: noWorkerFits, since: now.Add(-maxUnreportedWait - age)})
	}
	qt.Assert(t, wr.lines, qt.HasLen, maxWaitLines)
	for ix, ln := range wr.lines {
		qt.Check(t, now.Sub(ln.wait.since), qt.Equals, maxUnreportedWait+time.Duration(tasks-1-ix)*time.Second)
	}
	qt.Check(t, wr.omitted, qt.Equals, tasks-maxWaitLines)
	qt.Check(t, wr.counts[noWorkerFits].longRunning, qt.Equals, tasks)
}

// BenchmarkWaitReport measures for how long a report holds up the leader when as many tasks wait as the
// largest deployment runs.
func BenchmarkWaitReport(b *testing.B) {
	fx := newWaitFixture()
	add := func(id modeler.JobID, count int, longRunning bool) {
		fx.dr.addJob(&modeler.Job{ID: id, Queue: "q", Steps: []modeler.Step{{Count: count, LongRunning: longRunning}}}, true)
	}
	add("long", 45_000, true)
	add("batch", 79_000, false)
	fx.dr.beginRound(time.Now(), roundEndedByMisses)
	for b.Loop() {
		fx.dr.reportWaits(time.Now().Add(time.Minute))
	}
}

// Guards against a line on a start that does not say what the task waited for, or names what it waited for last
// and not for longest, or a time that depends on another host's clock.
func TestStartNamesWhatTheTaskWaitedFor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fx := newWaitFixture()
		ws := &fx.ordinary.wait
		qt.Check(t, ws.startInputs(time.Now()), qt.HasLen, 0)
		report := func() { fx.dr.reportWaits(time.Now()) }
		fx.inherit()
		for range 4 {
			report()
			time.Sleep(time.Second)
		}
		fx.wk.unaccounted, fx.dr.allAccounted, fx.dr.unaccountedWorkers = false, true, 0
		report()
		time.Sleep(time.Second)
		qt.Check(t, ws.startInputs(time.Now()), qt.DeepEquals, []any{"Queued", "5s", "Reason", string(earlierRunPossible), "ReasonFor", "4s"})
		// The next wait is counted anew.
		at := fx.place(fx.ordinary, sent)
		at.markActive(time.Now())
		qt.Check(t, ws.startInputs(time.Now()), qt.HasLen, 0)
	})
}
