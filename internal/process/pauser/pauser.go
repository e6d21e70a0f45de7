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
// ones are left out. A ticker itself that expires while no goroutine waits for it makes the race detector fail in tests
// with package synctest: the goroutines of a bubble then use one context of the detector at the same time.
func Every(ctx context.Context, interval time.Duration, run func(context.Context)) {
	next := time.Now().Add(interval)
	for Sleep(ctx, time.Until(next)) {
		next = next.Add(interval * (1 + max(0, time.Since(next))/interval))
		run(ctx)
	}
}
