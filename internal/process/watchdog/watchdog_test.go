package watchdog_test

import (
	"context"
	"strings"
	"testing"
	"testing/iotest"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/currantrouter/currantrouter/internal/process/watchdog"
)

const idle, total = time.Second, 10 * time.Second

// checkEnd checks when the context ends and why.
func checkEnd(ctx context.Context, t *testing.T, began time.Time, after time.Duration, cause error) {
	t.Helper()
	<-ctx.Done()
	qt.Check(t, time.Since(began), qt.Equals, after)
	qt.Check(t, context.Cause(ctx), qt.ErrorIs, cause)
	qt.Check(t, context.Cause(ctx), qt.ErrorIs, context.DeadlineExceeded)
}

// Guards against a call that ends while it makes progress, and against one that never ends.
func TestWithTimeout(t *testing.T) {
	for name, tc := range map[string]struct {
		// progressFor is how long progress is reported every 900 ms.
		progressFor, ends time.Duration
		cause             error
	}{
		"no progress":       {0, idle, watchdog.ErrStalled},
		"stalls":            {2700 * time.Millisecond, 2700*time.Millisecond + idle, watchdog.ErrStalled},
		"progresses slowly": {12 * time.Second, total, context.DeadlineExceeded},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				outer, cancelOuter := watchdog.WithTimeout(t.Context(), idle, total)
				defer cancelOuter()
				ctx, cancel := watchdog.WithTimeout(outer, idle, total)
				defer cancel()
				began := time.Now()
				go func() {
					rd := watchdog.NewReader(ctx, iotest.OneByteReader(strings.NewReader(strings.Repeat("x", 100))))
					for time.Sleep(900 * time.Millisecond); time.Since(began) <= tc.progressFor; time.Sleep(900 * time.Millisecond) {
						_, _ = rd.Read(make([]byte, 1))
					}
				}()
				checkEnd(ctx, t, began, tc.ends, tc.cause)
				checkEnd(outer, t, began, tc.ends, tc.cause)
				time.Sleep(2 * total)
			})
		})
	}
}
