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

// everyWays holds the ways to call a function at intervals.
var everyWays = map[string]func(context.Context, time.Duration, func(context.Context)){
	"Every": pauser.Every,
	"Ticker": func(ctx context.Context, interval time.Duration, run func(context.Context)) {
		tk := pauser.NewTicker(interval)
		defer tk.Stop()
		for ctx.Err() == nil {
			select {
			case <-ctx.Done():
			case <-tk.Next():
				tk.Advance()
				run(ctx)
			}
		}
	},
}

// Calls that fell due during others let the race detector fail.
func TestSlowCallsUnderRaceDetector(t *testing.T) {
	for name, every := range everyWays {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
				defer cancel()
				var calls sync.WaitGroup
				for range 64 {
					calls.Go(func() {
						every(ctx, time.Millisecond, func(context.Context) { time.Sleep(1500 * time.Microsecond) })
					})
				}
				calls.Wait()
			})
		})
	}
}

func TestTimesOfCalls(t *testing.T) {
	for name, every := range everyWays {
		t.Run(name, func(t *testing.T) { testTimesOfCalls(t, every) })
	}
}

func testTimesOfCalls(t *testing.T, every func(context.Context, time.Duration, func(context.Context))) {
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
				every(ctx, 10*ms, func(context.Context) {
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

func TestCallsEndWithContext(t *testing.T) {
	for name, every := range everyWays {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithTimeout(t.Context(), 25*time.Millisecond)
				defer cancel()
				began, calls := time.Now(), 0
				every(ctx, 10*time.Millisecond, func(context.Context) { calls++ })
				qt.Assert(t, time.Since(began), qt.Equals, 25*time.Millisecond)
				qt.Assert(t, calls, qt.Equals, 2)
			})
		})
	}
}

// A ticker must also keep its times while other events end the wait for it.
func TestTickerBesideOtherEvents(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const ms = time.Millisecond
		tk := pauser.NewTicker(10 * ms)
		defer tk.Stop()
		began := time.Now()
		events := make(chan time.Duration)
		go func() {
			// Each event is at a time and keeps the receiver busy until another.
			for _, ev := range [][2]time.Duration{{3, 4}, {6, 15}, {17, 18}, {22, 45}, {46, 50}, {52, 55}} {
				time.Sleep(time.Until(began.Add(ev[0] * ms)))
				events <- (ev[1] - ev[0]) * ms
			}
		}()
		var got []time.Duration
		for len(got) < 6 {
			select {
			case takes := <-events:
				time.Sleep(takes)
			case <-tk.Next():
				got = append(got, time.Since(began))
				tk.Advance()
			}
		}
		qt.Assert(t, got, qt.DeepEquals, []time.Duration{15 * ms, 20 * ms, 45 * ms, 50 * ms, 60 * ms, 70 * ms})
	})
}
