package director_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/currantrouter/currantrouter/internal/job/director"
	"github.com/currantrouter/currantrouter/internal/job/modeler"
	"github.com/currantrouter/currantrouter/internal/provider/emulator"
)

// Guards against tasks that start on a restarted worker by the labels of its earlier incarnation.
func TestRestartAsAnotherKind(t *testing.T) {
	task := modeler.TaskID{Job: "j1"}
	submit := func(tm *term, label string) {
		jb := simpleJob("j1", "urgent", 1, cores(1000))
		jb.Steps[0].Label = label
		tm.submit(jb)
	}
	restart := func(fl *fleet) modeler.Worker {
		fl.workers.Crash("worker-00")
		info := workerInfo(0)
		info.Labels = []string{"kind-b"}
		return fl.workers.Add(info)
	}
	assertNotStarted := func(fl *fleet, tm *term, info modeler.Worker) {
		submit(tm, "kind-a")
		sleep(3 * time.Second)
		qt.Check(fl.t, fl.workers.StartCount(task), qt.Equals, 0)
		tm.UpdateWorker(info)
		sleep(3 * time.Second)
		qt.Check(fl.t, fl.workers.StartCount(task), qt.Equals, 0)
	}
	t.Run("during a term", func(t *testing.T) {
		run(t, 1, func(fl *fleet, tm *term) {
			sleep(time.Second)
			info := restart(fl)
			sleep(time.Second)
			assertNotStarted(fl, tm, info)
		})
	})
	t.Run("before a term", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			fl := newFleet(t, 1)
			sleep(time.Second)
			info := restart(fl)
			tm := fl.startTerm(0)
			defer tm.end()
			assertNotStarted(fl, tm, info)
		})
	})
	for name, setBack := range map[string]time.Duration{"twice, the entry of the second incarnation last": 0, "the same with the clock set back": 500 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			run(t, 1, func(fl *fleet, tm *term) {
				sleep(time.Second)
				second := workerInfo(0)
				fl.workers.Crash(second.ID)
				second = fl.workers.Add(second)
				sleep(10 * time.Millisecond)
				third := restart(fl)
				third = fl.workers.SetIncarnation(third.ID, third.Incarnation-setBack.Milliseconds())
				sleep(time.Second)
				tm.UpdateWorker(second)
				assertNotStarted(fl, tm, third)
			})
		})
	}
	t.Run("the entry of the earlier incarnation arrives again", func(t *testing.T) {
		run(t, 1, func(fl *fleet, tm *term) {
			sleep(time.Second)
			info := restart(fl)
			tm.UpdateWorker(info)
			sleep(time.Second)
			tm.UpdateWorker(fl.infos[0])
			assertNotStarted(fl, tm, info)
		})
	})
	t.Run("tasks for the new kind", func(t *testing.T) {
		run(t, 1, func(fl *fleet, tm *term) {
			sleep(time.Second)
			tm.UpdateWorker(restart(fl))
			submit(tm, "kind-b")
			sleep(3 * time.Second)
			tm.assertState("j1", modeler.Completed)
		})
	})
	t.Run("an entry without an incarnation", func(t *testing.T) {
		run(t, 1, func(fl *fleet, tm *term) {
			sleep(time.Second)
			info := restart(fl)
			sleep(time.Second)
			info.Incarnation = 0
			tm.UpdateWorker(info)
			submit(tm, "kind-b")
			sleep(3 * time.Second)
			tm.assertState("j1", modeler.Completed)
		})
	})
}

// keptStart is a client that keeps the first start of job j2 instead of sending it, and whose requests do not reach
// worker-00 while it is cut off.
type keptStart struct {
	director.WorkerClient
	mu  sync.Mutex
	req *modeler.StartRequest
	cut bool
}

// keepStart starts a term with one worker whose start is kept.
func keepStart(t *testing.T) (*fleet, *term, *keptStart) {
	fl := newFleet(t, 1)
	ks := &keptStart{WorkerClient: fl.workers}
	fl.client = ks
	return fl, fl.startTerm(0), ks
}

func (ks *keptStart) Start(ctx context.Context, wk *modeler.Worker, req *modeler.StartRequest) (time.Duration, error) {
	ks.mu.Lock()
	keep := req.Task.Job == "j2" && ks.req == nil
	if keep {
		ks.req = req
	}
	ks.mu.Unlock()
	if keep {
		<-ctx.Done()
	}
	if keep || ks.lost(ctx, wk) {
		return 0, modeler.ErrNoAnswer
	}
	return ks.WorkerClient.Start(ctx, wk, req)
}

func (ks *keptStart) Stop(ctx context.Context, wk *modeler.Worker, id modeler.TaskID, run modeler.Run, fence modeler.Fence) error {
	if ks.lost(ctx, wk) {
		return modeler.ErrNoAnswer
	}
	return ks.WorkerClient.Stop(ctx, wk, id, run, fence)
}

func (ks *keptStart) Renew(ctx context.Context, wk *modeler.Worker, req *modeler.RenewRequest) (modeler.Report, error) {
	if ks.lost(ctx, wk) {
		return modeler.Report{}, modeler.ErrNoAnswer
	}
	return ks.WorkerClient.Renew(ctx, wk, req)
}

// lost waits until a request is given up if its worker is cut off, and reports whether it is.
func (ks *keptStart) lost(ctx context.Context, wk *modeler.Worker) bool {
	ks.mu.Lock()
	cut := ks.cut && wk.ID == "worker-00"
	ks.mu.Unlock()
	if cut {
		<-ctx.Done()
	}
	return cut
}

func (ks *keptStart) setCut(cut bool) {
	ks.mu.Lock()
	defer ks.mu.Unlock()
	ks.cut = cut
}

// Guards against a renewal that acknowledges ends of a new incarnation by the numbers of the earlier one, before the registry
// has its entry, so that a task that has ended there runs again.
func TestAcknowledgementAfterSilence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fl, tm, ks := keepStart(t)
		defer tm.end()
		sleep(time.Second)
		tm.submit(simpleJob("j1", "urgent", 1, cores(1000)))
		sleep(2 * time.Second)
		tm.assertState("j1", modeler.Completed)
		tm.submit(simpleJob("j2", "urgent", 1, cores(1000)))
		sleep(200 * time.Millisecond)
		ks.setCut(true)
		fl.workers.Crash("worker-00")
		sleep(200 * time.Millisecond)
		fl.infos[0] = fl.workers.Add(workerInfo(0))
		qt.Assert(t, ks.req, qt.IsNotNil)
		_, err := fl.workers.Start(t.Context(), &fl.infos[0], ks.req)
		qt.Assert(t, err, qt.IsNil)
		sleep(1500 * time.Millisecond)
		ks.setCut(false)
		sleep(time.Second)
		tm.UpdateWorker(fl.infos[0])
		sleep(3 * time.Second)
		tm.assertState("j2", modeler.Completed)
		qt.Check(t, fl.workers.StartCount(modeler.TaskID{Job: "j2"}), qt.Equals, 1)
		fl.assertNoViolations()
	})
}

// Guards against a task that starts elsewhere while a late start of it runs on a restarted worker, which has left the
// registry and does not answer.
func TestRestartedWorkerLeaves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fl, tm, ks := keepStart(t)
		defer tm.end()
		sleep(15 * time.Second)
		fl.setBehaviour(modeler.TaskID{Job: "j2"}, emulator.TaskBehaviour{RunTime: time.Minute})
		tm.submit(simpleJob("j2", "urgent", 1, cores(1000)))
		sleep(200 * time.Millisecond)
		qt.Assert(t, ks.req, qt.IsNotNil)
		draining := fl.infos[0]
		draining.Draining = true
		tm.UpdateWorker(draining)
		// The start is known not to have been carried out, and the worker answers with a later token.
		sleep(4 * time.Second)
		ks.setCut(true)
		// The new incarnation answers the renewal that is under way.
		restarted := fl.workers.Add(workerInfo(0))
		sleep(100 * time.Millisecond)
		tm.RemoveWorker(restarted.ID)
		tm.UpdateWorker(fl.workers.Add(workerInfo(1)))
		sleep(7 * time.Second)
		_, err := fl.workers.Start(t.Context(), &restarted, ks.req)
		qt.Assert(t, err, qt.IsNil)
		sleep(20 * time.Second)
		qt.Check(t, fl.workers.WorkerOf(modeler.TaskID{Job: "j2"}), qt.Equals, modeler.WorkerID("worker-01"))
		fl.assertNoViolations()
	})
}

// restartPolicy is a policy service that knows worker-00 since a restart of it, and takes a second to answer.
type restartPolicy struct {
	mu        sync.Mutex
	restarted bool
	// asked counts the requests since the restart.
	asked int
	// permitBefore is set if it also permits the incarnation before.
	permitBefore bool
}

func (rp *restartPolicy) Permit(context.Context, modeler.StepID, []modeler.WorkerID) ([]modeler.Permit, error) {
	rp.mu.Lock()
	permits := rp.restarted || rp.permitBefore
	if rp.restarted {
		rp.asked++
	}
	rp.mu.Unlock()
	time.Sleep(time.Second)
	if !permits {
		return nil, nil
	}
	return []modeler.Permit{{Worker: "worker-00", Ticket: "ticket", TTL: 3 * time.Second}}, nil
}

// Guards against the use of the policy service's answer on an incarnation of a worker for the next one: a denial that
// keeps a task waiting for good, and a permit that the worker refuses.
func TestPermitsOfRestartedWorker(t *testing.T) {
	for name, tc := range map[string]struct {
		permitBefore bool
		// restartAfter is the time from the job's submission, after which the service is asked, to the restart.
		restartAfter time.Duration
	}{
		"denied before the restart":     {false, 3 * time.Second},
		"asked before, denied after it": {false, 500 * time.Millisecond},
		"asked before, granted after":   {true, 500 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			run(t, 1, func(fl *fleet, tm *term) {
				tm.end()
				rp := &restartPolicy{permitBefore: tc.permitBefore}
				fl.policy, fl.config.Queues[0].Policy = rp, &modeler.Policy{DecisionTime: time.Second}
				*tm = *fl.startTerm(0)
				sleep(300 * time.Millisecond)
				tm.submit(simpleJob("j1", "urgent", 1, cores(1000)))
				sleep(tc.restartAfter)
				fl.infos[0] = fl.workers.Add(workerInfo(0))
				tm.UpdateWorker(fl.infos[0])
				rp.mu.Lock()
				rp.restarted = true
				rp.mu.Unlock()
				sleep(6 * time.Second)
				tm.assertState("j1", modeler.Completed)
				qt.Check(t, rp.asked, qt.Equals, 1)
			})
		})
	}
}
