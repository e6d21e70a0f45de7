// Package pauser waits for a time that a context may cut short.
package pauser

import (
	"context"
	"time"
)

// Pause waits for the duration. It returns false when the context ended first.
func Pause(ctx context.Context, dur time.Duration) bool {
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
