package director_test

import (
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/currantrouter/currantrouter/internal/job/keeper"
	"github.com/currantrouter/currantrouter/internal/job/modeler"
	"github.com/currantrouter/currantrouter/internal/provider/emulator"
)

// leaseExpiry is a time after which every lease that is not renewed has expired.
const leaseExpiry = 2500*time.Millisecond + testLease

// nextTerm ends the term and starts the next one.
func (tm *term) nextTerm(inherited time.Duration) {
	fl := tm.fleet
	tm.end()
	*tm = *fl.startTerm(inherited)
}

// assertStartedOnce checks that a task runs and has been started once.
func (fl *fleet) assertStartedOnce(id modeler.TaskID) {
	fl.t.Helper()
	qt.Check(fl.t, fl.workers.WorkerOf(id) != "", qt.IsTrue, qt.Commentf("%s does not run", id))
	qt.Check(fl.t, fl.workers.StartCount(id), qt.Equals, 1, qt.Commentf("starts of %s", id))
}

// startUnlisted starts a long-running task of the job "known" and one of the job "unlisted" on the
// same worker, and the next term, whose listing of the jobs lacks the second one.
func startUnlisted(fl *fleet, tm *term, beforeNextTerm func()) {
	tm.submit(longRunningJob("known", "urgent", 1, cores(1000)))
	tm.submit(longRunningJob("unlisted", "urgent", 1, cores(1000)))
	sleep(2 * time.Second)
	fl.jobs, fl.unlisted = fl.jobs[:1], fl.jobs[1]
	beforeNextTerm()
	tm.nextTerm(12 * time.Second)
}

// Guards against a worker whose lease is not renewed although it answers, because it reports a run
// of a job that the leader cannot read.
func TestUnreadableJob(t *testing.T) {
	known, unlisted := modeler.TaskID{Job: "known"}, modeler.TaskID{Job: "unlisted"}
	for name, sw := range map[string]emulator.Switch{
		"the store does not answer": {Fault: emulator.Slow, Part: emulator.PartStore, Operation: "Get", Target: keeper.KeyPrefix, Delay: time.Hour},
		"the store is unavailable":  {Fault: emulator.Unavailable, Part: emulator.PartStore, Operation: "Get", Target: keeper.KeyPrefix},
	} {
		t.Run(name, func(t *testing.T) {
			run(t, 1, func(fl *fleet, tm *term) {
				startUnlisted(fl, tm, func() { fl.faults.Set(sw) })
				sleep(leaseExpiry)
				fl.assertStartedOnce(known)
				fl.assertStartedOnce(unlisted)
				fl.faults.Clear()
				sleep(leaseExpiry)
				fl.assertStartedOnce(unlisted)
				tm.assertState("unlisted", modeler.Running)
			})
		})
	}
	t.Run("the record is damaged", func(t *testing.T) {
		run(t, 1, func(fl *fleet, tm *term) {
			startUnlisted(fl, tm, func() {
				en, err := fl.store.Get(t.Context(), keeper.KeyPrefix+"Submitted/unlisted")
				qt.Assert(t, err, qt.IsNil)
				_, err = fl.store.Put(t.Context(), en.Key, []byte("damaged"), en.Revision)
				qt.Assert(t, err, qt.IsNil)
			})
			sleep(leaseExpiry)
			fl.assertStartedOnce(known)
		})
	})
	// A job that is added in the meantime must not be taken for a new one.
	t.Run("a host reports the job", func(t *testing.T) {
		run(t, 2, func(fl *fleet, tm *term) {
			var jb *modeler.Job
			startUnlisted(fl, tm, func() {
				jb = fl.unlisted
				fl.faults.Set(emulator.Switch{Fault: emulator.Slow, Part: emulator.PartStore, Operation: "Get", Target: keeper.KeyPrefix, Delay: time.Hour})
			})
			sleep(2 * time.Second)
			tm.AddJob(jb, false)
			sleep(leaseExpiry)
			fl.assertStartedOnce(unlisted)
		})
	})
	// The end must be neither lost nor acknowledged before the job is known.
	t.Run("the end of a run waits", func(t *testing.T) {
		run(t, 1, func(fl *fleet, tm *term) {
			tm.submit(longRunningJob("known", "urgent", 1, cores(1000)))
			tm.submit(simpleJob("unlisted", "batch", 1, cores(1000)))
			sleep(900 * time.Millisecond)
			fl.jobs = fl.jobs[:1]
			fl.faults.Set(emulator.Switch{Fault: emulator.Slow, Part: emulator.PartStore, Operation: "Get", Target: keeper.KeyPrefix, Delay: time.Hour})
			tm.nextTerm(12 * time.Second)
			sleep(leaseExpiry)
			fl.assertStartedOnce(known)
			fl.faults.Clear()
			sleep(5 * time.Second)
			tm.assertState("unlisted", modeler.Completed)
			qt.Check(t, fl.workers.StartCount(unlisted), qt.Equals, 1)
		})
	})
}

// Guards against leases that expire while a new leader reads the stored jobs.
func TestSlowLoading(t *testing.T) {
	task := modeler.TaskID{Job: "j1"}
	t.Run("leases are renewed", func(t *testing.T) {
		run(t, 1, func(fl *fleet, tm *term) {
			tm.submit(longRunningJob("j1", "urgent", 1, cores(1000)))
			sleep(2 * time.Second)
			fl.loadTime = 2 * leaseExpiry
			tm.nextTerm(12 * time.Second)
			sleep(3 * leaseExpiry)
			fl.assertStartedOnce(task)
		})
	})
	// The lease that the new leader renewed is longer than any that it inherited.
	t.Run("a worker hangs before its runs are known", func(t *testing.T) {
		run(t, 2, func(fl *fleet, tm *term) {
			fl.setBehaviour(task, emulator.TaskBehaviour{RunTime: time.Minute})
			tm.submit(simpleJob("j1", "urgent", 1, cores(1000)))
			sleep(2 * time.Second)
			where := fl.workers.WorkerOf(task)
			fl.loadTime = 30 * time.Second
			tm.nextTerm(8 * time.Second)
			sleep(29 * time.Second)
			fl.workers.SetUnreachable(where, true)
			sleep(20 * time.Second)
			fl.assertNoViolations()
			qt.Check(t, fl.workers.StartCount(task), qt.Equals, 2)
		})
	})
}

// Guards against runs that go on under a lease that their start extended, as the leader may send starts for longer than it may
// renew leases.
func TestStartExtendsLease(t *testing.T) {
	for offset := time.Duration(0); offset < time.Second; offset += 100 * time.Millisecond {
		t.Run(offset.String(), func(t *testing.T) {
			run(t, 1, func(fl *fleet, tm *term) {
				tm.end()
				var extends atomic.Bool
				extends.Store(true)
				fl.mayExtendLeases = extends.Load
				*tm = *fl.startTerm(0)
				tm.submit(longRunningJob("j1", "urgent", 1, cores(1000)))
				sleep(2 * time.Second)
				extends.Store(false)
				sleep(testLimits.Lease - time.Second + offset)
				tm.submit(longRunningJob("j2", "urgent", 1, cores(1000)))
				sleep(100 * time.Millisecond)
				fl.workers.SetUnreachable("worker-00", true)
				tm.UpdateWorker(fl.workers.Add(workerInfo(1)))
				sleep(10 * time.Second)
				fl.assertNoViolations()
			})
		})
	}
}

// Guards against a worker that is never given another lease because its registry entry names a later
// incarnation than the one that answers.
func TestIncarnationInRegistry(t *testing.T) {
	run(t, 1, func(fl *fleet, tm *term) {
		tm.submit(longRunningJob("j1", "urgent", 1, cores(1000)))
		sleep(2 * time.Second)
		info := fl.infos[0]
		info.Incarnation += time.Hour.Milliseconds()
		tm.UpdateWorker(info)
		sleep(leaseExpiry)
		fl.assertStartedOnce(modeler.TaskID{Job: "j1"})
		tm.submit(simpleJob("j2", "urgent", 1, cores(1000)))
		sleep(2 * time.Second)
		tm.assertState("j2", modeler.Completed)
	})
}

// Guards against a worker that is taken for its earlier incarnation because its clock was set back
// before it restarted.
func TestIncarnationAfterClockStep(t *testing.T) {
	run(t, 1, func(fl *fleet, tm *term) {
		tm.submit(longRunningJob("j1", "urgent", 1, cores(1000)))
		sleep(2 * time.Second)
		fl.workers.Crash("worker-00")
		sleep(time.Second)
		info := fl.workers.Add(workerInfo(0))
		tm.UpdateWorker(fl.workers.SetIncarnation(info.ID, info.Incarnation-time.Hour.Milliseconds()))
		sleep(leaseExpiry)
		qt.Check(t, fl.workers.WorkerOf(modeler.TaskID{Job: "j1"}), qt.Equals, modeler.WorkerID("worker-00"))
	})
}

// Guards against a worker that was gone before a term and delays the start of tasks in every later
// term.
func TestLostWorkerDelaysOneTerm(t *testing.T) {
	const inherited = 8 * time.Second
	run(t, 2, func(fl *fleet, tm *term) {
		tm.submit(longRunningJob("j1", "urgent", 2, cores(12000)))
		sleep(2 * time.Second)
		fl.workers.Crash("worker-01")
		fl.infos = fl.infos[:1]
		tm.nextTerm(inherited)
		sleep(2 * inherited)
		jb := simpleJob("j2", "urgent", 1, cores(1000))
		jb.Submitted, jb.Pool = time.Now(), testPool
		qt.Assert(t, keeper.NewJobStore(fl.store).Submit(t.Context(), jb), qt.IsNil)
		fl.jobs = append(fl.jobs, jb)
		tm.nextTerm(inherited)
		sleep(2 * time.Second)
		tm.assertState("j2", modeler.Completed)
	})
}

// Guards against an acknowledgement that reaches a later incarnation of the worker, which drops ends
// that the leader has not seen. Renewals pause while ends cannot be recorded.
func TestAcknowledgementAfterRestart(t *testing.T) {
	for offset := time.Duration(0); offset < 500*time.Millisecond; offset += 50 * time.Millisecond {
		t.Run(offset.String(), func(t *testing.T) {
			run(t, 1, func(fl *fleet, tm *term) {
				tm.submit(simpleJob("before", "batch", 10, cores(1000)))
				task := modeler.TaskID{Job: "after"}
				fl.setBehaviour(task, emulator.TaskBehaviour{RunTime: 30 * time.Millisecond})
				jb := simpleJob("after", "batch", 1, cores(1000))
				jb.Repeats, jb.First = 1, time.Now().Add(5*time.Second+offset)
				tm.submit(jb)
				sleep(3 * time.Second)
				tm.submit(simpleJob("unrecorded", "batch", 1, cores(1000)))
				sleep(500 * time.Millisecond)
				fl.faults.Set(emulator.Switch{Fault: emulator.Unavailable, Part: emulator.PartStore, Operation: "Put", Target: "Journal/"})
				sleep(1490*time.Millisecond + offset)
				fl.workers.Add(workerInfo(0))
				sleep(time.Second)
				fl.faults.Clear()
				sleep(5 * time.Second)
				tm.assertState("after", modeler.Completed)
				qt.Check(t, fl.workers.StartCount(task), qt.Equals, 1)
			})
		})
	}
}

// Guards against unknown jobs that are read ever more slowly after one failed read. Workers that
// report their runs get no starts until they have been read.
func TestUnknownJobsAfterOutage(t *testing.T) {
	const jobs = 100
	run(t, 1, func(fl *fleet, tm *term) {
		for ix := range jobs {
			tm.submit(longRunningJob(modeler.JobID(fmt.Sprint("unlisted-", ix)), "urgent", 1, cores(50)))
		}
		sleep(5 * time.Second)
		fl.jobs = nil
		fl.faults.Set(emulator.Switch{Fault: emulator.Unavailable, Part: emulator.PartStore, Operation: "Get", Target: keeper.KeyPrefix})
		tm.nextTerm(12 * time.Second)
		sleep(2 * time.Second)
		fl.faults.Clear()
		sleep(2 * time.Second)
		unknown := 0
		for ix := range jobs {
			if _, ok := tm.JobState(modeler.JobID(fmt.Sprint("unlisted-", ix))); !ok {
				unknown++
			}
		}
		qt.Check(t, unknown, qt.Equals, 0)
	})
}

// Guards against runs that are taken for lost and start again because their worker lists only the
// oldest of its unacknowledged ends.
func TestMoreEndsThanListed(t *testing.T) {
	const tasks, listed = 600, 500
	oldest := func(_ modeler.WorkerID, rep *modeler.Report) bool {
		rep.MoreEnds = len(rep.Ended) >= listed
		rep.Ended = rep.Ended[:min(len(rep.Ended), listed)]
		return true
	}
	runOdd(t, 1, oldest, func(fl *fleet, tm *term, _ *oddClient) {
		for ix := range tasks {
			fl.setBehaviour(modeler.TaskID{Job: "j1", Index: ix}, emulator.TaskBehaviour{RunTime: 5 * time.Second})
		}
		tm.submit(simpleJob("j1", "batch", tasks, cores(20)))
		sleep(4 * time.Second)
		fl.faults.Set(emulator.Switch{Fault: emulator.Unavailable, Part: emulator.PartStore, Operation: "Put", Target: "Journal/"})
		sleep(8 * time.Second)
		fl.faults.Clear()
		sleep(10 * time.Second)
		tm.assertState("j1", modeler.Completed)
		starts := 0
		for ix := range tasks {
			starts += fl.workers.StartCount(modeler.TaskID{Job: "j1", Index: ix})
		}
		qt.Check(fl.t, starts, qt.Equals, tasks)
		fl.assertNoViolations()
	})
}
