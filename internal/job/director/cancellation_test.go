package director_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"

	"github.com/currantrouter/currantrouter/internal/job/director"
	"github.com/currantrouter/currantrouter/internal/job/keeper"
	"github.com/currantrouter/currantrouter/internal/job/modeler"
	"github.com/currantrouter/currantrouter/internal/provider/emulator"
	"github.com/currantrouter/currantrouter/internal/state/journaler"
)

// maxCancelTime is the time from the acknowledgement of a cancellation to the end of the last run of
// its job.
const maxCancelTime = 3900 * time.Millisecond

// storeCancellation stores a cancellation without telling a director of it.
func (fl *fleet) storeCancellation(id modeler.JobID) {
	fl.t.Helper()
	qt.Assert(fl.t, keeper.NewJobStore(fl.store).Cancel(fl.t.Context(), id), qt.IsNil)
}

// assertNotRunning checks that the first task of a job runs on no worker.
func (fl *fleet) assertNotRunning(id modeler.JobID) {
	fl.t.Helper()
	qt.Check(fl.t, fl.workers.WorkerOf(modeler.TaskID{Job: id}), qt.Equals, modeler.WorkerID(""), qt.Commentf("worker of job %s", id))
}

// assertNeverStarted checks that no worker started the first task of a job.
func (fl *fleet) assertNeverStarted(id modeler.JobID) {
	fl.t.Helper()
	qt.Check(fl.t, fl.workers.StartCount(modeler.TaskID{Job: id}), qt.Equals, 0, qt.Commentf("starts of job %s", id))
}

// Guards against a run of an earlier leader that goes on for seconds after the first stops for it were
// lost.
func TestStopOfInheritedRunIsRepeated(t *testing.T) {
	run(t, 1, func(fl *fleet, tm *term) {
		tm.submit(longRunningJob("j1", "urgent", 1, cores(1000)))
		sleep(time.Second)
		tm.end()
		fl.cancelled = append(fl.cancelled, "j1")
		fl.faults.Set(emulator.Switch{Fault: emulator.RequestLost, Part: emulator.PartWorkers, Operation: "Stop", Count: 2})
		*tm = *fl.startTerm(testLimits.Lease)
		sleep(maxCancelTime)
		fl.assertNotRunning("j1")
	})
}

// lateStart is a client whose first start gets no answer and is carried out by deliver.
type lateStart struct {
	director.WorkerClient
	mu sync.Mutex
	// req is the start, and worker the one that it was sent to.
	req    *modeler.StartRequest
	worker modeler.Worker
	// gate is locked while renewals and stops are held back.
	gate sync.RWMutex
}

// passGate waits while requests are held back.
func (ls *lateStart) passGate() {
	ls.gate.RLock()
	defer ls.gate.RUnlock()
}

// Renew implements director.WorkerClient.
func (ls *lateStart) Renew(ctx context.Context, wk *modeler.Worker, req *modeler.RenewRequest) (modeler.Report, error) {
	ls.passGate()
	return ls.WorkerClient.Renew(ctx, wk, req)
}

// Stop implements director.WorkerClient.
func (ls *lateStart) Stop(ctx context.Context, wk *modeler.Worker, task modeler.TaskID, run modeler.Run, fence modeler.Fence) error {
	ls.passGate()
	return ls.WorkerClient.Stop(ctx, wk, task, run, fence)
}

// Start implements director.WorkerClient.
func (ls *lateStart) Start(ctx context.Context, wk *modeler.Worker, req *modeler.StartRequest) (time.Duration, error) {
	ls.mu.Lock()
	first := ls.req == nil
	if first {
		ls.req, ls.worker = req, *wk
	}
	ls.mu.Unlock()
	if !first {
		return ls.WorkerClient.Start(ctx, wk, req)
	}
	<-ctx.Done()
	return 0, modeler.ErrNoAnswer
}

// deliver carries the start out, at whichever incarnation of its worker runs now.
func (ls *lateStart) deliver(ctx context.Context) error {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	_, err := ls.WorkerClient.Start(ctx, &ls.worker, ls.req)
	return err
}

// restartAfterLateStart starts a job whose first start gets no answer, waits until its worker has
// answered the stop of that run, and restarts the worker under the same ID. Renewals and stops are held back, so that
// none overtakes what the test does next, until gate is unlocked.
func restartAfterLateStart(fl *fleet, tm *term) *lateStart {
	tm.end()
	ls := &lateStart{WorkerClient: fl.workers}
	fl.client = ls
	*tm = *fl.startTerm(0)
	// The clock of the next incarnation shows less than that of this one for as long.
	sleep(5 * time.Second)
	tm.submit(longRunningJob("j1", "urgent", 1, cores(1000)))
	sleep(700 * time.Millisecond)
	ls.gate.Lock()
	fl.workers.Crash(fl.infos[0].ID)
	fl.infos[0] = fl.workers.Add(workerInfo(0))
	return ls
}

// Guards against a run that is never stopped, or against a second run of its task, because the earlier
// incarnation of its worker answered the stop and the start then reaches the new one.
func TestStopAnsweredByEarlierIncarnation(t *testing.T) {
	t.Run("cancelled, the start arrives at once", func(t *testing.T) {
		run(t, 1, func(fl *fleet, tm *term) {
			ls := restartAfterLateStart(fl, tm)
			qt.Assert(fl.t, ls.deliver(fl.t.Context()), qt.IsNil)
			ls.gate.Unlock()
			sleep(100 * time.Millisecond)
			tm.CancelJob("j1")
			sleep(maxCancelTime)
			fl.assertNotRunning("j1")
		})
	})
	t.Run("not cancelled, the start arrives late", func(t *testing.T) {
		run(t, 1, func(fl *fleet, tm *term) {
			ls := restartAfterLateStart(fl, tm)
			ls.gate.Unlock()
			fl.infos = append(fl.infos, fl.workers.Add(workerInfo(1)))
			tm.UpdateWorker(fl.infos[1])
			sleep(3 * time.Second)
			qt.Check(fl.t, ls.deliver(fl.t.Context()), qt.ErrorIs, modeler.ErrStaleFence)
		})
	})
	t.Run("the worker restarts twice", func(t *testing.T) {
		run(t, 1, func(fl *fleet, tm *term) {
			ls := restartAfterLateStart(fl, tm)
			ls.gate.Unlock()
			fl.infos = append(fl.infos, fl.workers.Add(workerInfo(1)))
			tm.UpdateWorker(fl.infos[1])
			sleep(3 * time.Second)
			fl.workers.Crash(fl.infos[0].ID)
			fl.infos[0] = fl.workers.Add(workerInfo(0))
			sleep(3 * time.Second)
			qt.Check(fl.t, ls.deliver(fl.t.Context()), qt.ErrorIs, modeler.ErrStaleFence)
		})
	})
}

// Guards against a late start that a new incarnation accepts, because its run had been taken for ended
// before the start counted as unanswered.
func TestLateStartOfEndedRun(t *testing.T) {
	for name, untilCrash := range map[string]time.Duration{
		"restart before the start counts as unanswered": 150 * time.Millisecond,
		"restart after the start counts as unanswered":  650 * time.Millisecond,
	} {
		t.Run(name, func(t *testing.T) {
			run(t, 1, func(fl *fleet, tm *term) {
				tm.end()
				ls := &lateStart{WorkerClient: fl.workers}
				fl.client = ls
				*tm = *fl.startTerm(0)
				sleep(5 * time.Second)
				tm.submit(longRunningJob("j1", "urgent", 1, cores(1000)))
				sleep(50 * time.Millisecond)
				tm.CancelJob("j1")
				// The worker reports each end of these tasks at once.
				busy := simpleJob("busy", "batch", 8, cores(1000))
				for ix := range busy.Steps[0].Count {
					fl.setBehaviour(modeler.TaskID{Job: "busy", Index: ix}, emulator.TaskBehaviour{RunTime: time.Duration(20+ix*30) * time.Millisecond})
				}
				tm.submit(busy)
				sleep(untilCrash)
				fl.workers.Crash(fl.infos[0].ID)
				fl.infos[0] = fl.workers.Add(workerInfo(0))
				sleep(3 * time.Second)
				qt.Check(fl.t, ls.deliver(fl.t.Context()), qt.ErrorIs, modeler.ErrStaleFence)
			})
		})
	}
}

// Guards against a task that waits for ever for a worker that restarted, while a start had no answer,
// and is gone since.
func TestRestartedWorkerIsGone(t *testing.T) {
	run(t, 1, func(fl *fleet, tm *term) {
		restartAfterLateStart(fl, tm).gate.Unlock()
		fl.faults.Set(emulator.Switch{Fault: emulator.RequestLost, Part: emulator.PartWorkers, Operation: "Stop"})
		sleep(time.Second)
		fl.workers.Crash(fl.infos[0].ID)
		tm.RemoveWorker(fl.infos[0].ID)
		fl.faults.Clear()
		fl.infos = append(fl.infos, fl.workers.Add(workerInfo(1)))
		tm.UpdateWorker(fl.infos[1])
		sleep(40 * time.Second)
		qt.Check(t, fl.workers.WorkerOf(modeler.TaskID{Job: "j1"}), qt.Equals, fl.infos[1].ID)
	})
}

// Guards against starts of a job whose cancellation came while too many others were pending.
func TestCancellationBeyondPendingLimit(t *testing.T) {
	run(t, 1, func(fl *fleet, tm *term) {
		for ix := range 10_000 {
			tm.CancelJob(modeler.JobID(fmt.Sprint("unknown-", ix)))
		}
		fl.storeCancellation("j1")
		tm.CancelJob("j1")
		tm.submit(longRunningJob("j1", "urgent", 1, cores(1000)))
		sleep(maxCancelTime)
		fl.assertNotRunning("j1")
		tm.assertState("j1", modeler.Cancelled)
	})
}

// Guards against cancellations without a job that are kept for ever, in the store and in memory.
func TestCancellationWithoutJobIsDeleted(t *testing.T) {
	run(t, 1, func(fl *fleet, tm *term) {
		fl.storeCancellation("j1")
		tm.CancelJob("j1")
		sleep(testLimits.Retention)
		stored, err := keeper.NewJobStore(fl.store).Cancelled(fl.t.Context(), "j1")
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, stored, qt.IsTrue)
		sleep(90 * time.Second)
		stored, err = keeper.NewJobStore(fl.store).Cancelled(fl.t.Context(), "j1")
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, stored, qt.IsFalse)
	})
}

// Guards against starts by a leader that was deposed before it loaded the stored jobs. The next leader
// need not know such a job, or that it was started.
func TestDeposedWhileLoading(t *testing.T) {
	for name, reported := range map[string]bool{"job of the listing": false, "job reported by a host": true} {
		t.Run(name, func(t *testing.T) {
			run(t, 1, func(fl *fleet, tm *term) {
				tm.end()
				*tm = *fl.beginTerm(0)
				// The worker answers while this host leads: a grant of a lease is recorded first, as is the
				// placement of a long-running task.
				sleep(200 * time.Millisecond)
				jb := simpleJob("j1", "urgent", 1, cores(1000))
				jb.Pool = testPool
				if reported {
					tm.AddJob(jb, false)
				}
				next, _, err := journaler.Open(fl.t.Context(), fl.store, "jobs", "next", "boot", journaler.Options{Logger: logr.Discard()})
				qt.Assert(t, err, qt.IsNil)
				defer next.Close()
				if !reported {
					tm.AddJob(jb, true)
				}
				tm.FinishLoading()
				sleep(time.Second)
				fl.assertNeverStarted("j1")
			})
		})
	}
}
