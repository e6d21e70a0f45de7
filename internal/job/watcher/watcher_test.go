package watcher_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"

	"github.com/currantrouter/currantrouter/internal/job/watcher"
	"github.com/currantrouter/currantrouter/internal/provider/storer"
)

// busySource has a new change every changeInterval and counts the calls of Wait.
type busySource struct {
	began time.Time
	mu    sync.Mutex
	calls int
}

const changeInterval = 10 * time.Millisecond

func (bs *busySource) revision() int64 { return int64(time.Since(bs.began) / changeInterval) }

func (bs *busySource) Snapshot(context.Context, string) ([]storer.Entry, int64, error) {
	return nil, bs.revision(), nil
}

func (bs *busySource) Wait(_ context.Context, _ string, after int64) ([]storer.Entry, int64, error) {
	bs.mu.Lock()
	bs.calls++
	bs.mu.Unlock()
	time.Sleep(changeInterval)
	var ens []storer.Entry
	for rev := after + 1; rev <= bs.revision(); rev++ {
		ens = append(ens, storer.Entry{Key: fmt.Sprint(rev), Revision: rev})
	}
	return ens, bs.revision(), nil
}

// watch watches a busySource for two seconds and returns the numbers of changes received and of
// calls.
func watch(t *testing.T, batchDelay time.Duration) (changes, calls int) {
	synctest.Test(t, func(t *testing.T) {
		src := &busySource{began: time.Now()}
		ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
		defer cancel()
		watcher.New(src, "", watcher.Sink{
			Reset: func([]storer.Entry) {}, Apply: func(ens []storer.Entry) { changes += len(ens) },
		}, "test", batchDelay, logr.Discard()).Run(ctx)
		calls = src.calls
	})
	return changes, calls
}

// Guards against a separate call for each of many changes, and against changes lost between calls.
func TestBatchDelay(t *testing.T) {
	t.Run("no delay", func(t *testing.T) {
		changes, calls := watch(t, 0)
		qt.Check(t, changes >= 198, qt.IsTrue, qt.Commentf("%d changes", changes))
		qt.Check(t, calls >= 100, qt.IsTrue, qt.Commentf("%d calls", calls))
	})
	t.Run("250 ms", func(t *testing.T) {
		changes, calls := watch(t, 250*time.Millisecond)
		qt.Check(t, changes >= 170, qt.IsTrue, qt.Commentf("%d changes", changes))
		qt.Check(t, calls <= 9, qt.IsTrue, qt.Commentf("%d calls", calls))
	})
}
