package director_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/currantrouter/currantrouter/internal/job/keeper"
	"github.com/currantrouter/currantrouter/internal/job/modeler"
	"github.com/currantrouter/currantrouter/internal/provider/emulator"
	"github.com/currantrouter/currantrouter/internal/state/journaler"
	"github.com/currantrouter/currantrouter/internal/telemetry/logger"
)

// termSeries is a series of terms that are shorter than the inherited lease. A worker crashes in it and does
// not return.
type termSeries struct {
	// termTime is the length of each term, crashAt the time of the crash from the start of the first one.
	termTime, crashAt time.Duration
	// inherited is the inherited lease of each term but the first.
	inherited time.Duration
	// listed is set if the registry goes on to list the crashed worker.
	listed bool
}

// play plays the series until the task of a job runs elsewhere than on the crashed worker. It returns the time
// from the crash to then, or the time limit.
func (ts *termSeries) play(fl *fleet, tm *term, jb *modeler.Job) time.Duration {
	const limit = 40 * time.Second
	id := modeler.TaskID{Job: jb.ID}
	tm.submit(jb)
	began, termBegan := time.Now(), time.Now()
	var crashedAt time.Time
	for crashedAt.IsZero() || time.Since(crashedAt) < limit {
		sleep(50 * time.Millisecond)
		where := fl.workers.WorkerOf(id)
		switch {
		case !crashedAt.IsZero() && where != "":
			return time.Since(crashedAt)
		case crashedAt.IsZero() && time.Since(began) >= ts.crashAt:
			qt.Assert(fl.t, where, qt.Not(qt.Equals), modeler.WorkerID(""))
			ts.crash(fl, tm, where)
			crashedAt = time.Now()
		case time.Since(termBegan) >= ts.termTime:
			tm.nextTerm(ts.inherited)
			termBegan = time.Now()
		}
	}
	return limit
}

func (ts *termSeries) crash(fl *fleet, tm *term, id modeler.WorkerID) {
	fl.workers.Crash(id)
	if ts.listed {
		return
	}
	var rest []modeler.Worker
	for _, info := range fl.infos {
		if info.ID != id {
			rest = append(rest, info)
		}
	}
	fl.infos = rest
	tm.RemoveWorker(id)
}

// Guards against a task whose worker is lost and that waits for the whole inherited lease of the worker anew in
// each of a series of terms.
func TestLostWorkerDelaysTaskOnce(t *testing.T) {
	const (
		lease     = longestLease
		inherited = 12 * time.Second
		termTime  = 3 * time.Second
	)
	for _, tc := range []struct {
		name    string
		crashAt time.Duration
		limit   time.Duration
	}{
		{"silence known to the leader", 3200 * time.Millisecond, lease + maxStartDelay},
		{"lost just before the leader", 5900 * time.Millisecond, inherited + maxStartDelay},
		{"lost with the leader", 6 * time.Second, inherited + maxStartDelay},
		{"lost in a later term", 10 * time.Second, lease + maxStartDelay},
	} {
		t.Run(tc.name, func(t *testing.T) {
			for _, listed := range []bool{false, true} {
				run(t, 3, func(fl *fleet, tm *term) {
					ts := termSeries{termTime: termTime, crashAt: tc.crashAt, inherited: inherited, listed: listed}
					took := ts.play(fl, tm, longRunningJob("long", "urgent", 1, cores(1000)))
					qt.Check(t, took < tc.limit, qt.IsTrue, qt.Commentf("started again after %v, registered %v", took, listed))
				})
			}
		})
	}
}

// endInOrder ends the term as a leader that is stopped in order does.
func (tm *term) endInOrder() {
	tm.resigns.Store(true)
	tm.end()
}

// startOnUnreachable starts a long-running task and makes its worker unreachable, on which it runs on.
func startOnUnreachable(fl *fleet, tm *term) modeler.WorkerID {
	tm.submit(longRunningJob("long", "urgent", 1, cores(1000)))
	sleep(2 * time.Second)
	where := fl.workers.WorkerOf(modeler.TaskID{Job: "long"})
	qt.Assert(fl.t, where, qt.Not(qt.Equals), modeler.WorkerID(""))
	fl.workers.SetUnreachable(where, true)
	return where
}

// timeToMove returns the time until the task runs on another worker.
func (fl *fleet) timeToMove(from modeler.WorkerID) time.Duration {
	const limit = 30 * time.Second
	began := time.Now()
	for time.Since(began) < limit {
		where := fl.workers.WorkerOf(modeler.TaskID{Job: "long"})
		if where != "" && where != from {
			break
		}
		sleep(50 * time.Millisecond)
	}
	return time.Since(began)
}

// assertBetween checks that a time is within bounds.
func assertBetween(t testing.TB, got, low, high time.Duration) {
	t.Helper()
	qt.Check(t, got >= low && got <= high, qt.IsTrue, qt.Commentf("%v is not from %v to %v", got, low, high))
}

// beginOtherEpoch begins an epoch at a host that leads nobody. Its first records are those of a leader that is lost at
// once, or none as in earlier versions if the function is nil.
func (fl *fleet) beginOtherEpoch(records func(journaler.Recovery) []journaler.Record) *journaler.Journal {
	fl.t.Helper()
	op := journalOptions
	op.EpochRecords = records
	jn, _, err := journaler.Open(fl.t.Context(), fl.store, "jobs", "other", "boot", op)
	qt.Assert(fl.t, err, qt.IsNil)
	return jn
}

// Guards against a task that runs twice as a new leader relies on the recorded end of a lease that was extended
// since, or that may have been.
func TestBoundedLeaseIsExtended(t *testing.T) {
	const inherited = 12 * time.Second
	t.Run("after the worker has returned", func(t *testing.T) {
		run(t, 3, func(fl *fleet, tm *term) {
			where := startOnUnreachable(fl, tm)
			sleep(3 * time.Second)
			fl.workers.SetUnreachable(where, false)
			sleep(10 * time.Second)
			fl.assertStartedOnce(modeler.TaskID{Job: "long"})
			fl.workers.SetUnreachable(where, true)
			tm.nextTerm(inherited)
			assertBetween(t, fl.timeToMove(where), inherited, inherited+time.Second)
		})
	})
	t.Run("in an epoch without records", func(t *testing.T) {
		run(t, 3, func(fl *fleet, tm *term) {
			where := startOnUnreachable(fl, tm)
			sleep(3 * time.Second)
			tm.end()
			fl.beginOtherEpoch(nil).Close()
			*tm = *fl.startTerm(inherited)
			assertBetween(t, fl.timeToMove(where), inherited, inherited+time.Second)
		})
	})
	t.Run("after a fact that is damaged", func(t *testing.T) {
		run(t, 3, func(fl *fleet, tm *term) {
			where := startOnUnreachable(fl, tm)
			sleep(3 * time.Second)
			tm.end()
			jn := fl.beginOtherEpoch(nil)
			term, err := keeper.Fact{Term: &keeper.TermFact{Epoch: 2, Clock: time.Hour}}.Record()
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, jn.Append(fl.t.Context(), term, journaler.Record{Kind: journaler.KindTask, Data: []byte("{")}), qt.IsNil)
			jn.Close()
			*tm = *fl.startTerm(inherited)
			assertBetween(t, fl.timeToMove(where), inherited, inherited+time.Second)
		})
	})
}

// Guards against a lease that lapses because its worker was silent for a moment while the journal is away.
func TestSilenceWhileJournalIsAway(t *testing.T) {
	run(t, 1, func(fl *fleet, tm *term) {
		tm.submit(longRunningJob("long", "urgent", 1, cores(1000)))
		sleep(2 * time.Second)
		fl.faults.Set(emulator.Switch{Fault: emulator.Unavailable, Part: emulator.PartStore, Operation: "Put"})
		fl.workers.SetUnreachable("worker-00", true)
		sleep(2 * time.Second)
		fl.workers.SetUnreachable("worker-00", false)
		sleep(10 * time.Second)
		fl.assertStartedOnce(modeler.TaskID{Job: "long"})
		fl.faults.Clear()
		sleep(time.Second)
	})
}

// Guards against a leader that allows for requests of a predecessor which is known to have stopped.
func TestStoppedPredecessor(t *testing.T) {
	const inherited = 12 * time.Second
	leaseTime := testLimits.MaxLeaseTime()
	t.Run("its end is recorded", func(t *testing.T) {
		run(t, 3, func(fl *fleet, tm *term) {
			where := startOnUnreachable(fl, tm)
			tm.endInOrder()
			*tm = *fl.startTerm(inherited)
			assertBetween(t, fl.timeToMove(where), testLimits.Lease-3*time.Second, leaseTime+300*time.Millisecond)
		})
	})
	t.Run("its end is recorded and the next leader never answered", func(t *testing.T) {
		run(t, 3, func(fl *fleet, tm *term) {
			where := startOnUnreachable(fl, tm)
			began := time.Now()
			tm.endInOrder()
			for range 5 {
				*tm = *fl.startTerm(inherited)
				sleep(700 * time.Millisecond)
				tm.endInOrder()
			}
			*tm = *fl.startTerm(inherited)
			fl.timeToMove(where)
			assertBetween(t, time.Since(began), testLimits.Lease-3*time.Second, leaseTime+300*time.Millisecond)
		})
	})
	t.Run("it is found to have stopped later", func(t *testing.T) {
		run(t, 3, func(fl *fleet, tm *term) {
			where := startOnUnreachable(fl, tm)
			tm.nextTerm(inherited)
			sleep(time.Second)
			fl.predecessorStopped.Store(true)
			assertBetween(t, fl.timeToMove(where), leaseTime, leaseTime+300*time.Millisecond)
		})
	})
	t.Run("it is another one that may go on", func(t *testing.T) {
		run(t, 3, func(fl *fleet, tm *term) {
			where := startOnUnreachable(fl, tm)
			tm.nextTerm(inherited)
			sleep(100 * time.Millisecond)
			tm.endInOrder()
			*tm = *fl.startTerm(inherited)
			assertBetween(t, fl.timeToMove(where), inherited-200*time.Millisecond, inherited+300*time.Millisecond)
		})
	})
}

// Guards against the time under a killed predecessor that does not count towards the end of a bounded lease.
func TestTimeUnderPredecessorCounts(t *testing.T) {
	run(t, 3, func(fl *fleet, tm *term) {
		where := startOnUnreachable(fl, tm)
		began := time.Now()
		sleep(2 * time.Second)
		for range 20 {
			fl.predecessorSeenFor = 0
			if fl.workers.WorkerOf(modeler.TaskID{Job: "long"}) != where {
				break
			}
			tm.end()
			// Until the next leader takes over, the last one counts as leader.
			sleep(1500 * time.Millisecond)
			fl.predecessorSeenFor = 1700 * time.Millisecond
			*tm = *fl.startTerm(12 * time.Second)
			sleep(200 * time.Millisecond)
		}
		fl.timeToMove(where)
		assertBetween(t, time.Since(began), testLimits.Lease-3*time.Second, testLimits.MaxLeaseTime()+maxStartDelay)
	})
}

// Guards against a worker that does not answer and is granted a lease again, which drops the recorded end of the
// one before.
func TestSilentWorkerIsNotGranted(t *testing.T) {
	run(t, 3, func(fl *fleet, tm *term) {
		where := startOnUnreachable(fl, tm)
		sleep(3 * time.Second)
		bounds := len(fl.logs.of(logger.LeaseBounded, logLine{"Worker": string(where)}))
		qt.Check(fl.t, bounds, qt.Equals, 1)
		sleep(7 * time.Second)
		qt.Check(fl.t, fl.workers.WorkerOf(modeler.TaskID{Job: "long"}), qt.Not(qt.Equals), where)
		bounds = len(fl.logs.of(logger.LeaseBounded, logLine{"Worker": string(where)}))
		qt.Check(fl.t, bounds, qt.Equals, 1)
	})
}
