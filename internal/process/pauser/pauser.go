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

// Every calls the function at intervals until the context ends. The first call is after one interval.
func Every(ctx context.Context, interval time.Duration, run func(context.Context)) {
	tk := time.NewTicker(interval)
	defer tk.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tk.C:
			run(ctx)
		}
	}
}
