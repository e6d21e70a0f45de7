package director_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/currantrouter/currantrouter/internal/job/director"
	"github.com/currantrouter/currantrouter/internal/job/modeler"
)

// assertLeads checks that the term goes on.
func (tm *term) assertLeads() {
	tm.fleet.t.Helper()
	select {
	case <-tm.ended:
		tm.fleet.t.Error("the term has ended")
	default:
	}
}

// leaveAndReturn makes a worker silent for a time, so that its token rises, and removes it from the registry for another.
func leaveAndReturn(fl *fleet, tm *term, silent, away time.Duration) {
	fl.workers.SetUnreachable("worker-00", true)
	sleep(silent)
	fl.workers.SetUnreachable("worker-00", false)
	sleep(2 * time.Second)
	tm.RemoveWorker("worker-00")
	sleep(away)
	tm.UpdateWorker(fl.infos[0])
}

// Guards against a leader that takes its own earlier token for that of a later leader, as a worker whose token had
// risen was removed and registered again.
func TestWorkerRegisteredAgain(t *testing.T) {
	run(t, 1, func(fl *fleet, tm *term) {
		leaveAndReturn(fl, tm, 2*time.Second, 20*time.Second)
		tm.submit(longRunningJob("long", "urgent", 1, cores(1000)))
		sleep(2 * time.Second)
		tm.assertLeads()
		fl.assertStartedOnce(modeler.TaskID{Job: "long"})
	})
}

// overtakenRenewal is a client whose first start gets no answer once the next renewal is under way, which a stop
// overtakes.
type overtakenRenewal struct {
	director.WorkerClient
	startSent, renewalSent, stopped   chan struct{}
	startOnce, renewalOnce, stopsOnce sync.Once
}

func (or *overtakenRenewal) Start(ctx context.Context, wk *modeler.Worker, req *modeler.StartRequest) (time.Duration, error) {
	first := false
	or.startOnce.Do(func() { first = true })
	if !first {
		return or.WorkerClient.Start(ctx, wk, req)
	}
	close(or.startSent)
	<-or.renewalSent
	return 0, modeler.ErrNoAnswer
}

func (or *overtakenRenewal) Renew(ctx context.Context, wk *modeler.Worker, req *modeler.RenewRequest) (modeler.Report, error) {
	select {
	case <-or.startSent:
		or.renewalOnce.Do(func() {
			close(or.renewalSent)
			<-or.stopped
		})
	default:
	}
	return or.WorkerClient.Renew(ctx, wk, req)
}

func (or *overtakenRenewal) Stop(ctx context.Context, wk *modeler.Worker, id modeler.TaskID, run modeler.Run, fence modeler.Fence) error {
	defer or.stopsOnce.Do(func() { close(or.stopped) })
	return or.WorkerClient.Stop(ctx, wk, id, run, fence)
}

// Guards against a leader that takes its own later token for that of a later leader, as a stop overtook a renewal.
func TestOvertakenRenewal(t *testing.T) {
	run(t, 1, func(fl *fleet, tm *term) {
		tm.end()
		fl.client = &overtakenRenewal{WorkerClient: fl.workers, startSent: make(chan struct{}), renewalSent: make(chan struct{}), stopped: make(chan struct{})}
		*tm = *fl.startTerm(0)
		sleep(2 * time.Second)
		tm.submit(longRunningJob("long", "urgent", 1, cores(1000)))
		sleep(3 * time.Second)
		tm.assertLeads()
	})
}
