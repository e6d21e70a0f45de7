// Package watcher watches the entries of the key-value service with one prefix. It retries failed
// calls and reads all entries again after a gap in the changes.
package watcher

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/go-logr/logr"

	"github.com/currantrouter/currantrouter/internal/process/pauser"
	"github.com/currantrouter/currantrouter/internal/process/watchdog"
	"github.com/currantrouter/currantrouter/internal/provider/storer"
	"github.com/currantrouter/currantrouter/internal/telemetry/logger"
)

// Source is the part of the key-value service that a watch needs.
type Source interface {
	// Page returns entries with the prefix whose keys follow after, in the order of their keys. It
	// returns an empty page only after the last one. Errors: those of package storer.
	Page(ctx context.Context, prefix, after string) (storer.Page, error)
	// Wait returns the changes after the revision, and the revision from which to wait next. It
	// returns no changes if none happen for some time. Errors: those of package storer.
	Wait(ctx context.Context, prefix string, after int64) ([]storer.Entry, int64, error)
}

// Sink receives the entries of one watch. Its functions are never called concurrently.
type Sink struct {
	// Reset receives all entries. Earlier entries that are not among them were deleted.
	Reset func([]storer.Entry)
	// Apply receives changes in their order. Deleted entries are marked Deleted.
	Apply func([]storer.Entry)
	// OnCall receives the error of each call, or nil. It may be nil itself.
	OnCall func(error)
}

const (
	// minRetryDelay is the mean pause after the first failed call.
	minRetryDelay = 50 * time.Millisecond
	// maxRetryDelay bounds the mean pause after further failed calls. It is short enough for a new
	// configuration to arrive within the required two seconds after a short outage.
	maxRetryDelay = 400 * time.Millisecond
	// stallTimeout bounds the time in which nothing of the answer to a call arrives. A wait normally returns
	// sooner, so a call that takes longer uses a connection whose other end is unreachable.
	stallTimeout = 1500 * time.Millisecond
	// callTimeout bounds a call whose answer arrives all the time. The slowest links carry the largest answer in
	// less.
	callTimeout = time.Minute
	// largeAnswer and largeAnswerSize are the number of changes and the bytes of their values from which an
	// answer is followed by the next call at once: the service may have more changes than it returns in one
	// answer, and the watch would fall behind them.
	largeAnswer     = 200
	largeAnswerSize = 256 << 10
	// maxTimeoutDoublings is how often stallTimeout is doubled for a page of many entries, once for each call that
	// failed in a row: a slow service may need longer to read 1 MB of them. A call that was begun in an outage
	// delays the next one as long.
	maxTimeoutDoublings = 3
)

// Watcher watches the entries with one prefix.
type Watcher struct {
	source Source
	prefix string
	sink   Sink
	// newestOnly is set if versions of an entry that have been replaced need not reach the sink.
	newestOnly bool
	// behind is set with newestOnly after an answer with several versions, until the newest is known to be read.
	behind bool
	// newest is the highest revision of an entry in the last answer that had any.
	newest int64
	// name identifies the watch in the log.
	name string
	// batchDelay is the pause after changes, so that the next call returns the changes of many
	// writers.
	batchDelay time.Duration
	log        logr.Logger
	// listing is the snapshot that is being read, or nil.
	listing *listing
	// failures is the number of calls that failed in a row.
	failures int
	// lastSuccess is when the last successful call began, in nanoseconds since 1970, or zero.
	lastSuccess atomic.Int64

	mu sync.Mutex
	// revision is that after which the next wait returns the changes. The sink or its owner has those before, unless
	// Advance was called with a revision that the service does not have.
	revision int64
	// endWait ends the wait under way. It is nil if there is none.
	endWait context.CancelFunc
}

// New returns a watcher of the entries with the prefix. It logs, with the name, when the service
// becomes unreachable or reachable again. After a few changes it pauses for batchDelay before the next
// call, since each call to the service is charged for.
func New(src Source, prefix string, sink Sink, name string, batchDelay time.Duration, lg logr.Logger) *Watcher {
	return &Watcher{source: src, prefix: prefix, sink: sink, name: name, batchDelay: batchDelay, log: lg}
}

// NewForEntry returns a watcher of one entry that may leave out versions that have been replaced. While the entry changes
// faster than its versions arrive, and after a failed call, the watcher reads the newest version and not all that it has
// missed, so that the sink has the version of a time after at most twice the time that one takes to arrive.
func NewForEntry(src Source, key string, sink Sink, name string, lg logr.Logger) *Watcher {
	wt := New(src, key, sink, name, 0, lg)
	wt.newestOnly = true
	return wt
}

// Advance tells a watcher of NewForEntry that the version of a revision came from elsewhere. The versions up to it are not
// read any more, and an answer with them that is arriving is given up.
func (wt *Watcher) Advance(revision int64) {
	wt.mu.Lock()
	defer wt.mu.Unlock()
	if revision <= wt.revision {
		return
	}
	wt.revision = revision
	if wt.endWait != nil {
		wt.endWait()
	}
}

// errSuperseded means that a wait was given up because of Advance.
var errSuperseded = errors.New("versions came from elsewhere")

// beginWait returns the revision after which a wait returns changes. Advance calls end if that becomes too low.
func (wt *Watcher) beginWait(end context.CancelFunc) int64 {
	wt.mu.Lock()
	defer wt.mu.Unlock()
	wt.endWait = end
	return wt.revision
}

// finishWait reports whether Advance was called with a higher revision than that of beginWait, which ended the wait.
func (wt *Watcher) finishWait(after int64) bool {
	wt.mu.Lock()
	defer wt.mu.Unlock()
	wt.endWait = nil
	return wt.revision > after
}

// Revision returns a revision of the service whose changes the sink has, or zero.
func (wt *Watcher) Revision() int64 {
	wt.mu.Lock()
	defer wt.mu.Unlock()
	return wt.revision
}

// Age returns an upper bound of the age of the state that the sink has received, or false if it has
// received none yet.
func (wt *Watcher) Age() (time.Duration, bool) {
	began := wt.lastSuccess.Load()
	return time.Since(time.Unix(0, began)), began != 0
}

// Run watches the entries until the context ends.
func (wt *Watcher) Run(ctx context.Context) {
	bo := backoff.NewExponentialBackOff()
	bo.InitialInterval, bo.MaxInterval = minRetryDelay, maxRetryDelay
	hasSnapshot := false
	for ctx.Err() == nil {
		var err error
		if hasSnapshot {
			err = wt.wait(ctx)
		} else {
			err = wt.snapshot(ctx)
		}
		switch {
		case err == nil:
			bo.Reset()
			wt.recordSuccess()
			hasSnapshot = !wt.behind
		case errors.Is(err, errSuperseded):
		case errors.Is(err, storer.ErrGap):
			hasSnapshot = false
		case ctx.Err() == nil:
			hasSnapshot = hasSnapshot && !wt.newestOnly
			wt.recordFailure(err)
			pauser.Sleep(ctx, bo.NextBackOff())
		}
	}
}

// listing is a snapshot of which some pages have been read.
type listing struct {
	began time.Time
	// revision is that of the first page. Wait from it returns what has changed between the pages.
	revision int64
	entries  []storer.Entry
	// after is the last key of the pages so far.
	after string
	// failures is the number of calls that failed in a row.
	failures int
}

// snapshot reads the remaining pages and passes all entries to the sink. After an error, the next
// call goes on with the page that failed.
func (wt *Watcher) snapshot(ctx context.Context) error {
	if wt.listing == nil {
		wt.listing = &listing{began: time.Now()}
	}
	ls := wt.listing
	for {
		page, err := wt.page(ctx, ls)
		if err != nil {
			ls.failures++
			return err
		}
		ls.failures = 0
		if ls.after == "" {
			ls.revision = page.Revision
		}
		ls.entries = append(ls.entries, page.Entries...)
		if !page.More || len(page.Entries) == 0 {
			break
		}
		ls.after = page.Entries[len(page.Entries)-1].Key
	}
	wt.listing = nil
	wt.sink.Reset(ls.entries)
	wt.lastSuccess.Store(ls.began.UnixNano())
	wt.setRevision(ls.revision)
	newest := newestRevision(ls.entries)
	wt.behind = wt.behind && newest > wt.newest
	wt.newest = newest
	return nil
}

// setRevision makes the next wait return the changes after the revision of a snapshot, also if Advance was called with a
// higher one, which the service may not have.
func (wt *Watcher) setRevision(revision int64) {
	wt.mu.Lock()
	defer wt.mu.Unlock()
	wt.revision = revision
}

func (wt *Watcher) page(ctx context.Context, ls *listing) (storer.Page, error) {
	stall := stallTimeout
	if !wt.newestOnly {
		stall <<= min(ls.failures, maxTimeoutDoublings)
	}
	ctx, cancel := watchdog.WithTimeout(ctx, stall, callTimeout)
	defer cancel()
	return wt.source.Page(ctx, wt.prefix, ls.after)
}

func (wt *Watcher) wait(ctx context.Context) error {
	ctx, cancel := watchdog.WithTimeout(ctx, stallTimeout, callTimeout)
	defer cancel()
	began := time.Now()
	after := wt.beginWait(cancel)
	ens, revision, err := wt.source.Wait(ctx, wt.prefix, after)
	superseded := wt.finishWait(after)
	switch {
	case err != nil && superseded:
		return errSuperseded
	case err != nil:
		return err
	case revision < after:
		// The revision passed to Advance is not one of the service.
		return storer.ErrGap
	}
	if len(ens) > 0 {
		wt.sink.Apply(ens)
		wt.newest = newestRevision(ens)
		wt.behind = wt.newestOnly && len(ens) > 1
	}
	wt.Advance(revision)
	wt.lastSuccess.Store(began.UnixNano())
	if len(ens) > 0 && !isLarge(ens) {
		pauser.Sleep(ctx, wt.batchDelay)
	}
	return nil
}

// newestRevision returns the highest revision of the entries, or zero.
func newestRevision(ens []storer.Entry) int64 {
	newest := int64(0)
	for _, en := range ens {
		newest = max(newest, en.Revision)
	}
	return newest
}

// isLarge reports whether the service may have had more changes than an answer with these.
func isLarge(ens []storer.Entry) bool {
	size := 0
	for _, en := range ens {
		size += len(en.Value)
	}
	return len(ens) >= largeAnswer || size >= largeAnswerSize
}

// recordFailure logs the first failure in a row, and later ones when their number has doubled.
func (wt *Watcher) recordFailure(err error) {
	wt.failures++
	if wt.failures&(wt.failures-1) == 0 {
		logger.Log(wt.log, logger.WatchLost, "What", wt.name, "Error", err.Error(), "Failures", wt.failures)
	}
	wt.reportCall(err)
}

// recordSuccess logs the first successful call after failed ones.
func (wt *Watcher) recordSuccess() {
	if wt.failures > 0 {
		logger.Log(wt.log, logger.WatchRestored, "What", wt.name, "Failures", wt.failures)
	}
	wt.failures = 0
	wt.reportCall(nil)
}

func (wt *Watcher) reportCall(err error) {
	if wt.sink.OnCall != nil {
		wt.sink.OnCall(err)
	}
}
