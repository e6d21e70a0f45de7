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

// keptStart is a client that keeps the first start of a job instead of sending it. From then on, no request reaches a worker.
type keptStart struct {
	director.WorkerClient
	job modeler.JobID
	mu  sync.Mutex
	req *modeler.StartRequest
	cut bool
}

func (ks *keptStart) Start(ctx context.Context, wk *modeler.Worker, req *modeler.StartRequest) (time.Duration, error) {
	ks.mu.Lock()
	if req.Task.Job == ks.job && ks.req == nil {
		ks.req, ks.cut = req, true
	}
	ks.mu.Unlock()
	if ks.lost(ctx) {
		return 0, modeler.ErrNoAnswer
	}
	return ks.WorkerClient.Start(ctx, wk, req)
}

func (ks *keptStart) Stop(ctx context.Context, wk *modeler.Worker, id modeler.TaskID, run modeler.Run, fence modeler.Fence) error {
	if ks.lost(ctx) {
		return modeler.ErrNoAnswer
	}
	return ks.WorkerClient.Stop(ctx, wk, id, run, fence)
}

func (ks *keptStart) Renew(ctx context.Context, wk *modeler.Worker, req *modeler.RenewRequest) (modeler.Report, error) {
	if ks.lost(ctx) {
		return modeler.Report{}, modeler.ErrNoAnswer
	}
	return ks.WorkerClient.Renew(ctx, wk, req)
}

// lost waits until a request is given up if the workers are cut off, and reports whether they are.
func (ks *keptStart) lost(ctx context.Context) bool {
	ks.mu.Lock()
	cut := ks.cut
	ks.mu.Unlock()
	if cut {
		<-ctx.Done()
	}
	return cut
}

// reconnect ends the cut.
func (ks *keptStart) reconnect() {
	ks.mu.Lock()
	defer ks.mu.Unlock()
	ks.cut = false
}

// Guards against a renewal that acknowledges ends of a new incarnation by the numbers of the earlier one, before the registry
// has its entry, so that a task that has ended there runs again.
func TestAcknowledgementAfterSilence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fl := newFleet(t, 1)
		ks := &keptStart{WorkerClient: fl.workers, job: "j2"}
		fl.client = ks
		tm := fl.startTerm(0)
		defer tm.end()
		sleep(time.Second)
		tm.submit(simpleJob("j1", "urgent", 1, cores(1000)))
		sleep(2 * time.Second)
		tm.assertState("j1", modeler.Completed)
		tm.submit(simpleJob("j2", "urgent", 1, cores(1000)))
		sleep(200 * time.Millisecond)
		fl.workers.Crash("worker-00")
		sleep(200 * time.Millisecond)
		fl.infos[0] = fl.workers.Add(workerInfo(0))
		qt.Assert(t, ks.req, qt.IsNotNil)
		_, err := fl.workers.Start(t.Context(), &fl.infos[0], ks.req)
		qt.Assert(t, err, qt.IsNil)
		sleep(1500 * time.Millisecond)
		ks.reconnect()
		sleep(time.Second)
		tm.UpdateWorker(fl.infos[0])
		sleep(3 * time.Second)
		tm.assertState("j2", modeler.Completed)
		qt.Check(t, fl.workers.StartCount(modeler.TaskID{Job: "j2"}), qt.Equals, 1)
		fl.assertNoViolations()
	})
}
