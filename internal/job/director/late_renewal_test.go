package director_test

import (
	"context"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/currantrouter/currantrouter/internal/job/director"
	"github.com/currantrouter/currantrouter/internal/job/modeler"
)

// lateRenewal is a client that keeps the last renewal, and whose requests do not reach a worker that
// is cut off.
type lateRenewal struct {
	director.WorkerClient
	mu   sync.Mutex
	req  *modeler.RenewRequest
	kept bool
	cut  modeler.WorkerID
}

func (lr *lateRenewal) Renew(ctx context.Context, wk *modeler.Worker, req *modeler.RenewRequest) (modeler.Report, error) {
	lr.mu.Lock()
	if wk.ID == "worker-00" && !lr.kept && req.Deadline > 0 {
		lr.req = req
	}
	cut := lr.cut == wk.ID
	lr.mu.Unlock()
	if cut {
		<-ctx.Done()
		return modeler.Report{}, modeler.ErrNoAnswer
	}
	return lr.WorkerClient.Renew(ctx, wk, req)
}

// cutOff makes all renewals to a worker end without an answer, and those to the others arrive again.
func (lr *lateRenewal) cutOff(id modeler.WorkerID) {
	lr.mu.Lock()
	defer lr.mu.Unlock()
	lr.cut = id
}

// keepRenewal starts a term with one worker whose last renewal is kept, after 12 s.
func keepRenewal(fl *fleet, tm *term) *lateRenewal {
	tm.end()
	fl.infos = fl.infos[:1]
	lr := &lateRenewal{WorkerClient: fl.workers}
	fl.client = lr
	*tm = *fl.startTerm(0)
	sleep(12 * time.Second)
	lr.mu.Lock()
	defer lr.mu.Unlock()
	lr.kept = true
	return lr
}

// Guards against a run that goes on under a lease that a late renewal for an earlier incarnation of its
// worker extended.
func TestLateRenewal(t *testing.T) {
	run(t, 2, func(fl *fleet, tm *term) {
		lr := keepRenewal(fl, tm)
		fl.workers.Crash("worker-00")
		fl.infos[0] = fl.workers.Add(workerInfo(0))
		tm.UpdateWorker(fl.infos[0])
		sleep(time.Second)
		tm.submit(longRunningJob("j1", "urgent", 1, cores(1000)))
		sleep(2 * time.Second)
		qt.Assert(fl.t, fl.workers.WorkerOf(modeler.TaskID{Job: "j1"}), qt.Equals, modeler.WorkerID("worker-00"))
		lr.mu.Lock()
		lr.cut = "worker-00"
		lr.mu.Unlock()
		tm.UpdateWorker(fl.workers.Add(workerInfo(1)))
		sleep(6 * time.Second)
		_, err := fl.workers.Renew(fl.t.Context(), &fl.infos[0], lr.req)
		qt.Check(fl.t, err, qt.ErrorIs, modeler.ErrStaleFence)
		t.Logf("late deadline %v", lr.req.Deadline)
		sleep(12 * time.Second)
		qt.Check(fl.t, fl.workers.Violations(), qt.HasLen, 0)
	})
}

// Guards against the same where the late renewal arrives before the leader has asked the new incarnation, which
// accepts it.
func TestLateRenewalBeforeFirstContact(t *testing.T) {
	limits := testLimits
	defer func() { testLimits = limits }()
	testLimits.LongestLease = 10 * time.Second
	run(t, 2, func(fl *fleet, tm *term) {
		lr := keepRenewal(fl, tm)
		lr.mu.Lock()
		late := *lr.req
		lr.mu.Unlock()
		// The worker shortens longer leases.
		late.Deadline, late.MaxWait = testLimits.LongestLease, 0
		fl.workers.Crash("worker-00")
		fl.infos[0] = fl.workers.Add(workerInfo(0))
		_, err := fl.workers.Renew(fl.t.Context(), &fl.infos[0], &late)
		qt.Assert(fl.t, err, qt.IsNil)
		tm.UpdateWorker(fl.infos[0])
		tm.submit(longRunningJob("j1", "urgent", 1, cores(1000)))
		assertLostSafely(fl, tm, lr)
	})
}

// Guards against the same where the worker restarts before a term, and an earlier leader sent the late renewal.
func TestLateRenewalBeforeTerm(t *testing.T) {
	limits := testLimits
	defer func() { testLimits = limits }()
	testLimits.LongestLease = 10 * time.Second
	for name, contact := range map[string]time.Duration{"not reached by the earlier leader": 0, "reached by it": 200 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			run(t, 2, func(fl *fleet, tm *term) {
				lr := keepRenewal(fl, tm)
				late := *lr.req
				lr.cutOff("worker-00")
				fl.workers.Crash("worker-00")
				sleep(2 * time.Second)
				fl.infos[0] = fl.workers.Add(workerInfo(0))
				late.Deadline, late.MaxWait, late.AckedEnd = testLimits.LongestLease, 0, 0
				_, err := fl.workers.Renew(fl.t.Context(), &fl.infos[0], &late)
				qt.Assert(fl.t, err, qt.IsNil)
				if contact > 0 {
					tm.UpdateWorker(fl.infos[0])
					lr.cutOff("")
					sleep(contact)
				}
				tm.end()
				lr.cutOff("")
				*tm = *fl.startTerm(0)
				tm.submit(longRunningJob("j1", "urgent", 1, cores(1000)))
				assertLostSafely(fl, tm, lr)
			})
		})
	}
}

// Guards against the same where the late renewal arrives between the first answer of the new incarnation and the first
// request with a token that it has not seen, as in soak seed 6000.
func TestLateRenewalAfterFirstContact(t *testing.T) {
	limits := testLimits
	defer func() { testLimits = limits }()
	testLimits.LongestLease = 10 * time.Second
	run(t, 2, func(fl *fleet, tm *term) {
		lr := keepRenewal(fl, tm)
		lr.cutOff("worker-00")
		// The worker answers the renewal that is under way. It shortens longer leases.
		fl.infos[0] = fl.workers.Add(workerInfo(0))
		sleep(2 * time.Second)
		late := *lr.req
		late.Deadline, late.MaxWait, late.AckedEnd = 2*time.Second+testLimits.LongestLease, 0, 0
		_, err := fl.workers.Renew(fl.t.Context(), &fl.infos[0], &late)
		qt.Assert(fl.t, err, qt.IsNil)
		lr.cutOff("")
		tm.UpdateWorker(fl.infos[0])
		tm.submit(longRunningJob("j1", "urgent", 1, cores(1000)))
		assertLostSafely(fl, tm, lr)
	})
}

// assertLostSafely waits until the job runs on the restarted worker, loses this worker, and checks that the job then
// runs on another one, and not before the lease of the lost one is over.
func assertLostSafely(fl *fleet, tm *term, lr *lateRenewal) {
	id := modeler.TaskID{Job: "j1"}
	for began := time.Now(); fl.workers.WorkerOf(id) == "" && time.Since(began) < 3*time.Second; {
		sleep(50 * time.Millisecond)
	}
	qt.Assert(fl.t, fl.workers.WorkerOf(id), qt.Equals, modeler.WorkerID("worker-00"))
	lr.cutOff("worker-00")
	tm.UpdateWorker(fl.workers.Add(workerInfo(1)))
	sleep(15 * time.Second)
	qt.Check(fl.t, fl.workers.WorkerOf(id), qt.Equals, modeler.WorkerID("worker-01"))
	qt.Check(fl.t, fl.workers.Violations(), qt.HasLen, 0)
}

// Guards against a long-running task that runs again too late, as its worker is lost soon after a restart and may hold a
// lease that a late renewal for the earlier incarnation extended. See review/3.
func TestLossSoonAfterRestart(t *testing.T) {
	const maxDowntime = 9 * time.Second
	limits := testLimits
	defer func() { testLimits = limits }()
	testLimits.LongestLease = 10 * time.Second
	id := modeler.TaskID{Job: "j1"}
	await := func(fl *fleet, on modeler.WorkerID) time.Duration {
		began := time.Now()
		for fl.workers.WorkerOf(id) != on && time.Since(began) < 20*time.Second {
			sleep(10 * time.Millisecond)
		}
		return time.Since(began)
	}
	for _, after := range []time.Duration{0, 600 * time.Millisecond, 2 * time.Second} {
		t.Run(after.String(), func(t *testing.T) {
			run(t, 2, func(fl *fleet, tm *term) {
				lr := keepRenewal(fl, tm)
				fl.workers.Crash("worker-00")
				sleep(time.Second)
				fl.infos[0] = fl.workers.Add(workerInfo(0))
				tm.UpdateWorker(fl.infos[0])
				tm.submit(longRunningJob("j1", "urgent", 1, cores(1000)))
				wait := await(fl, "worker-00")
				qt.Check(t, wait < 3*time.Second, qt.IsTrue, qt.Commentf("first run after %v", wait))
				sleep(after)
				fl.workers.Crash("worker-00")
				lr.cutOff("worker-00")
				tm.UpdateWorker(fl.workers.Add(workerInfo(1)))
				wait = await(fl, "worker-01")
				qt.Check(t, wait < maxDowntime, qt.IsTrue, qt.Commentf("runs again after %v", wait))
			})
		})
	}
}

// Guards against a leader that steps down because a worker that has left the registry and returns refuses its token, which
// is lower than before.
func TestWorkerLeavesAndReturns(t *testing.T) {
	run(t, 2, func(fl *fleet, tm *term) {
		leaveAndReturn(fl, tm, 4*time.Second, 12*time.Second)
		sleep(2 * time.Second)
		tm.submit(simpleJob("job", "urgent", 2, cores(6000)))
		sleep(3 * time.Second)
		tm.assertState("job", modeler.Completed)
	})
}
