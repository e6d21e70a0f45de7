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

// slowLink carries the orders of a leader one after the other. An order whose answer would come too
// late is carried out all the same.
type slowLink struct {
	director.WorkerClient
	start, other time.Duration

	mu   sync.Mutex
	free time.Time
	// lost counts the starts without answer.
	lost int
}

// carry waits until an order is through and reports whether that was in time.
func (sl *slowLink) carry(ctx context.Context, takes time.Duration, deliver func()) bool {
	sl.mu.Lock()
	if now := time.Now(); sl.free.Before(now) {
		sl.free = now
	}
	sl.free = sl.free.Add(takes)
	through := make(chan struct{})
	time.AfterFunc(time.Until(sl.free), func() {
		deliver()
		close(through)
	})
	sl.mu.Unlock()
	select {
	case <-through:
		return true
	case <-ctx.Done():
		return false
	}
}

func (sl *slowLink) Start(ctx context.Context, wk *modeler.Worker, order *modeler.StartRequest) (clock time.Duration, err error) {
	if !sl.carry(ctx, sl.start, func() { clock, err = sl.WorkerClient.Start(context.Background(), wk, order) }) {
		sl.mu.Lock()
		defer sl.mu.Unlock()
		sl.lost++
		return 0, modeler.ErrNoAnswer
	}
	return clock, err
}

func (sl *slowLink) Stop(ctx context.Context, wk *modeler.Worker, task modeler.TaskID, run modeler.Run, epoch modeler.Epoch) (err error) {
	if !sl.carry(ctx, sl.other, func() { err = sl.WorkerClient.Stop(context.Background(), wk, task, run, epoch) }) {
		return modeler.ErrNoAnswer
	}
	return err
}

func (sl *slowLink) Renew(ctx context.Context, wk *modeler.Worker, order *modeler.RenewRequest) (modeler.Report, error) {
	if !sl.carry(ctx, sl.other, func() {}) {
		return modeler.Report{}, modeler.ErrNoAnswer
	}
	return sl.WorkerClient.Renew(ctx, wk, order)
}

// Guards against a leader that sends more starts than its link carries: they get no answer in time, are
// stopped and sent again, and leases lapse as renewals are late.
func TestSlowLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const workers, jobs = 120, 40
		fl := newFleet(t, workers)
		// As on a link of 2 Mbit/s.
		sl := &slowLink{WorkerClient: fl.workers, start: 3 * time.Millisecond, other: time.Millisecond}
		fl.orders = sl
		tm := fl.lead(0)
		defer func() { tm.end() }()
		sleep(3 * time.Second)
		began := time.Now()
		for no := range jobs {
			tm.submit(simpleJob(modeler.JobID(fmt.Sprint("job-", no)), "batch", 60, cores(4000)))
		}
		tm.awaitAll(time.Minute)
		took := time.Since(began)
		// 2,400 starts take 7.2 s of the link, renewals as much as a third of it, and the last tasks a
		// second.
		qt.Check(t, took < 14*time.Second, qt.IsTrue, qt.Commentf("took %v", took))
		qt.Check(t, sl.lost < jobs, qt.IsTrue, qt.Commentf("%d starts without answer", sl.lost))
		fl.assertSound()
	})
}
