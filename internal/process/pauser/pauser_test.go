package pauser_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/currantrouter/currantrouter/internal/process/pauser"
)

// Calls that fell due during others let the race detector fail.
func TestEveryWithSlowCallsUnderRaceDetector(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		var calls sync.WaitGroup
		for range 64 {
			calls.Go(func() {
				pauser.Every(ctx, time.Millisecond, func(context.Context) { time.Sleep(1500 * time.Microsecond) })
			})
		}
		calls.Wait()
	})
}

func TestEveryKeepsPhase(t *testing.T) {
	const ms = time.Millisecond
	for name, tc := range map[string]struct {
		takes []time.Duration
		want  []time.Duration
	}{
		"quick calls":         {[]time.Duration{0, 0, 0}, []time.Duration{10 * ms, 20 * ms, 30 * ms}},
		"within an interval":  {[]time.Duration{9 * ms, 9 * ms, 0}, []time.Duration{10 * ms, 20 * ms, 30 * ms}},
		"exactly an interval": {[]time.Duration{10 * ms, 10 * ms, 0}, []time.Duration{10 * ms, 20 * ms, 30 * ms}},
		"one call late":       {[]time.Duration{14 * ms, 0, 0}, []time.Duration{10 * ms, 24 * ms, 30 * ms}},
		"calls left out":      {[]time.Duration{35 * ms, 0, 0}, []time.Duration{10 * ms, 45 * ms, 50 * ms}},
		"always slow":         {[]time.Duration{14 * ms, 14 * ms, 14 * ms, 0}, []time.Duration{10 * ms, 24 * ms, 38 * ms, 52 * ms}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				began := time.Now()
				var got []time.Duration
				pauser.Every(ctx, 10*ms, func(context.Context) {
					got = append(got, time.Since(began))
					time.Sleep(tc.takes[len(got)-1])
					if len(got) == len(tc.takes) {
						cancel()
					}
				})
				qt.Assert(t, got, qt.DeepEquals, tc.want)
			})
		})
	}
}

func TestEveryEndsWithContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), 25*time.Millisecond)
		defer cancel()
		began, calls := time.Now(), 0
		pauser.Every(ctx, 10*time.Millisecond, func(context.Context) { calls++ })
		qt.Assert(t, time.Since(began), qt.Equals, 25*time.Millisecond)
		qt.Assert(t, calls, qt.Equals, 2)
	})
}
