// Package pauser provides waits that end early when a context ends.
package pauser

import (
	"context"
	"time"
)

// Sleep waits for the duration. It returns false when the context ended first.
func Sleep(ctx context.Context, dur time.Duration) bool {
	if dur <= 0 {
		return ctx.Err() == nil
	}
	tm := time.NewTimer(dur)
	defer tm.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-tm.C:
		return true
	}
}

// Every calls the function at intervals, which must be positive, until the context ends. The first call is after one
// interval. As with a time.Ticker, a call that falls due while the function runs is made when it returns, and further
// ones are left out.
func Every(ctx context.Context, interval time.Duration, run func(context.Context)) {
	next := time.Now().Add(interval)
	for Sleep(ctx, time.Until(next)) {
		next = following(next, interval)
		run(ctx)
	}
}

// Ticker ticks when a time.Ticker does. One of those that expires while no goroutine waits for it makes the race
// detector fail in tests with package synctest: the goroutines of a bubble then use one context of the detector at the
// same time.
type Ticker struct {
	interval time.Duration
	next     time.Time
	timer    *time.Timer
	due      chan time.Time
}

// NewTicker returns a ticker whose first tick is after one interval, which must be positive.
func NewTicker(interval time.Duration) *Ticker {
	due := make(chan time.Time)
	close(due)
	return &Ticker{interval, time.Now().Add(interval), time.NewTimer(interval), due}
}

// Next returns a channel from which can be received at the next tick, for the select that follows. Whoever receives
// calls Advance.
func (tk *Ticker) Next() <-chan time.Time {
	if time.Now().Before(tk.next) {
		return tk.timer.C
	}
	tk.timer.Stop()
	return tk.due
}

// Advance sets the next tick. Ticks that have been missed are left out.
func (tk *Ticker) Advance() {
	tk.next = following(tk.next, tk.interval)
	tk.timer.Reset(time.Until(tk.next))
}

// Stop ends the ticker.
func (tk *Ticker) Stop() { tk.timer.Stop() }

// following returns the first time after now that is a multiple of the interval after the last one.
func following(last time.Time, interval time.Duration) time.Time {
	return last.Add(interval * (1 + max(0, time.Since(last))/interval))
}
