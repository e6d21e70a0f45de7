package director_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/currantrouter/currantrouter/internal/job/director"
	"github.com/currantrouter/currantrouter/internal/job/modeler"
)

// slowLink delivers the requests of a leader one after the other. A request whose answer would come
// too late is carried out all the same.
type slowLink struct {
	director.WorkerClient
	// startTime is the time that the link takes for a start, otherTime that for any other request.
	startTime, otherTime time.Duration

	mu sync.Mutex
	// freeAt is when the link has delivered all requests so far.
	freeAt time.Time
	// unanswered counts the starts without an answer.
	unanswered int
}

// transmit waits until a request is delivered and reports whether that was in time.
func (sl *slowLink) transmit(ctx context.Context, duration time.Duration, deliver func()) bool {
	sl.mu.Lock()
	if now := time.Now(); sl.freeAt.Before(now) {
		sl.freeAt = now
	}
	sl.freeAt = sl.freeAt.Add(duration)
	delivered := make(chan struct{})
	time.AfterFunc(time.Until(sl.freeAt), func() {
		deliver()
		close(delivered)
	})
	sl.mu.Unlock()
	select {
	case <-delivered:
		return true
	case <-ctx.Done():
		return false
	}
}

func (sl *slowLink) Start(ctx context.Context, wk *modeler.Worker, req *modeler.StartRequest) (clock time.Duration, err error) {
	if !sl.transmit(ctx, sl.startTime, func() { clock, err = sl.WorkerClient.Start(context.Background(), wk, req) }) {
		sl.mu.Lock()
		defer sl.mu.Unlock()
		sl.unanswered++
		return 0, modeler.ErrNoAnswer
	}
	return clock, err
}

func (sl *slowLink) Stop(ctx context.Context, wk *modeler.Worker, task modeler.TaskID, run modeler.Run, fence modeler.Fence) (err error) {
	if !sl.transmit(ctx, sl.otherTime, func() { err = sl.WorkerClient.Stop(context.Background(), wk, task, run, fence) }) {
		return modeler.ErrNoAnswer
	}
	return err
}

func (sl *slowLink) Renew(ctx context.Context, wk *modeler.Worker, req *modeler.RenewRequest) (modeler.Report, error) {
	if !sl.transmit(ctx, sl.otherTime, func() {}) {
		return modeler.Report{}, modeler.ErrNoAnswer
	}
	return sl.WorkerClient.Renew(ctx, wk, req)
}

// Guards against a leader that sends more starts than its link can deliver: they get no answer in
// time and are stopped and sent again, and leases expire as renewals are late.
func TestSlowLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const workers, jobs = 120, 40
		fl := newFleet(t, workers)
		// The times are those of a link of 2 Mbit/s.
		sl := &slowLink{WorkerClient: fl.workers, startTime: 3 * time.Millisecond, otherTime: time.Millisecond}
		fl.client = sl
		tm := fl.startTerm(0)
		defer func() { tm.end() }()
		sleep(3 * time.Second)
		began := time.Now()
		for no := range jobs {
			tm.submit(simpleJob(modeler.JobID(fmt.Sprint("job-", no)), "batch", 60, cores(4000)))
		}
		tm.awaitAll(time.Minute)
		took := time.Since(began)
		// 2,400 starts take 7.2 s of the link, renewals up to a third of it, and the last tasks a
		// second.
		qt.Check(t, took < 14*time.Second, qt.IsTrue, qt.Commentf("took %v", took))
		qt.Check(t, sl.unanswered < jobs, qt.IsTrue, qt.Commentf("%d starts without answer", sl.unanswered))
		fl.assertNoViolations()
	})
}
