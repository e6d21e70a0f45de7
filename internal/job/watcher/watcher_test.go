package watcher_test

import (
	"context"
	"fmt"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"

	"github.com/currantrouter/currantrouter/internal/job/watcher"
	"github.com/currantrouter/currantrouter/internal/process/watchdog"
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

func (bs *busySource) Page(context.Context, string, string) (storer.Page, error) {
	return storer.Page{Revision: bs.revision()}, nil
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

// limitedSource has changes at a rate, of which it returns a limited number in each answer.
type limitedSource struct {
	began              time.Time
	perSecond, perCall int
	valueBytes         int
}

func (ls *limitedSource) revision() int64 {
	return int64(time.Since(ls.began).Seconds() * float64(ls.perSecond))
}

func (ls *limitedSource) Page(context.Context, string, string) (storer.Page, error) {
	return storer.Page{Revision: ls.revision()}, nil
}

func (ls *limitedSource) Wait(_ context.Context, _ string, after int64) ([]storer.Entry, int64, error) {
	time.Sleep(50 * time.Millisecond)
	next := min(ls.revision(), after+int64(ls.perCall))
	var ens []storer.Entry
	for rev := after + 1; rev <= next; rev++ {
		ens = append(ens, storer.Entry{Key: fmt.Sprint(rev), Revision: rev, Value: make([]byte, ls.valueBytes)})
	}
	return ens, next, nil
}

// Guards against a watch that falls ever further behind when more entries change during its pauses
// than the service returns in one answer: a draining worker was given tasks 12 s later.
func TestMoreChangesThanOneAnswerHolds(t *testing.T) {
	for name, src := range map[string]*limitedSource{
		"3,000 workers": {perSecond: 2000, perCall: 500, valueBytes: 300},
		"large entries": {perSecond: 100, perCall: 16, valueBytes: 60_000},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				src.began = time.Now()
				ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
				defer cancel()
				var last int64
				watcher.New(src, "", watcher.Sink{
					Reset: func([]storer.Entry) {}, Apply: func(ens []storer.Entry) { last = ens[len(ens)-1].Revision },
				}, "test", 250*time.Millisecond, logr.Discard()).Run(ctx)
				behind := time.Duration(float64(src.revision()-last) / float64(src.perSecond) * float64(time.Second))
				qt.Check(t, behind < time.Second, qt.IsTrue, qt.Commentf("%s behind", behind))
			})
		})
	}
}

// slowSource answers each page after a time. Every third call fails.
type slowSource struct {
	pages    int
	pageTime time.Duration
	mu       sync.Mutex
	calls    int
}

func (ss *slowSource) Page(ctx context.Context, _, after string) (storer.Page, error) {
	ss.mu.Lock()
	ss.calls++
	fails := ss.calls%3 == 0
	ss.mu.Unlock()
	select {
	case <-ctx.Done():
		return storer.Page{}, storer.ErrUnavailable
	case <-time.After(ss.pageTime):
	}
	if fails {
		return storer.Page{}, storer.ErrUnavailable
	}
	number, _ := strconv.Atoi(after)
	number++
	return storer.Page{Entries: []storer.Entry{{Key: strconv.Itoa(number)}}, Revision: int64(number), More: number < ss.pages}, nil
}

func (ss *slowSource) Wait(ctx context.Context, _ string, after int64) ([]storer.Entry, int64, error) {
	<-ctx.Done()
	return nil, after, storer.ErrUnavailable
}

// Guards against a snapshot that never completes because it must within the time of one call, or
// begins again after each failed call.
func TestSlowSnapshot(t *testing.T) {
	for name, src := range map[string]*slowSource{
		"many pages":   {pages: 20, pageTime: 400 * time.Millisecond},
		"a slow page":  {pages: 2, pageTime: 5 * time.Second},
		"a quick page": {pages: 1, pageTime: time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
				defer cancel()
				var keys []string
				watcher.New(src, "", watcher.Sink{
					Reset: func(ens []storer.Entry) {
						for _, en := range ens {
							keys = append(keys, en.Key)
						}
					}, Apply: func([]storer.Entry) {},
				}, "test", 0, logr.Discard()).Run(ctx)
				qt.Assert(t, keys, qt.HasLen, src.pages)
				for ix, key := range keys {
					qt.Check(t, key, qt.Equals, strconv.Itoa(ix+1))
				}
			})
		})
	}
}

// versionSource has one entry of a revision, whose changes take 10 s to arrive.
type versionSource struct{ revision atomic.Int64 }

func (vs *versionSource) Page(context.Context, string, string) (storer.Page, error) {
	revision := vs.revision.Load()
	return storer.Page{Entries: []storer.Entry{{Revision: revision}}, Revision: revision}, nil
}

func (vs *versionSource) Wait(ctx context.Context, _ string, after int64) ([]storer.Entry, int64, error) {
	time.Sleep(700 * time.Millisecond)
	if after >= vs.revision.Load() {
		return nil, vs.revision.Load(), nil
	}
	for range 100 {
		time.Sleep(100 * time.Millisecond)
		watchdog.Progress(ctx)
		if ctx.Err() != nil {
			return nil, 0, storer.ErrUnavailable
		}
	}
	return []storer.Entry{{Revision: vs.revision.Load()}}, vs.revision.Load(), nil
}

// Guards against a version that is read although it came from elsewhere, and against a revision that the service does not
// have and that hides later changes.
func TestAdvance(t *testing.T) {
	for name, tc := range map[string]struct {
		advance int64
		applied []int64
	}{
		"to the change":     {5, nil},
		"to a former one":   {2, []int64{5}},
		"to none that is":   {1 << 40, []int64{5}},
		"without a version": {0, []int64{5}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				src := new(versionSource)
				src.revision.Store(3)
				ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
				defer cancel()
				var applied []int64
				record := func(ens []storer.Entry) {
					if ens[0].Revision > 3 {
						applied = append(applied, ens[0].Revision)
					}
				}
				wt := watcher.NewForEntry(src, "key", watcher.Sink{Reset: record, Apply: record}, "test", logr.Discard())
				go func() {
					time.Sleep(time.Second)
					src.revision.Store(5)
					time.Sleep(time.Second)
					wt.Advance(tc.advance)
				}()
				wt.Run(ctx)
				qt.Check(t, applied, qt.DeepEquals, tc.applied)
				age, _ := wt.Age()
				qt.Check(t, age < 2*time.Second, qt.IsTrue, qt.Commentf("%s", age))
			})
		})
	}
}
