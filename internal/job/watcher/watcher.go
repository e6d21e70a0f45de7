// Package watcher keeps a copy of a part of the key-value service up to date.
package watcher

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/go-logr/logr"

	"github.com/currantrouter/currantrouter/internal/process/pauser"
	"github.com/currantrouter/currantrouter/internal/provider/storer"
	"github.com/currantrouter/currantrouter/internal/telemetry/logger"
)

// Source is the part of the key-value service that a watch needs.
type Source interface {
	// Snapshot returns all entries with the prefix and a revision such that Wait from it misses
	// no later change.
	Snapshot(ctx context.Context, prefix string) ([]storer.Entry, int64, error)
	// Wait returns the changes after the revision, or none after a while.
	Wait(ctx context.Context, prefix string, after int64) ([]storer.Entry, int64, error)
}

// Sink receives the entries of one watch. Its functions are called one at a time.
type Sink struct {
	// Reset receives all entries. Earlier ones that are missing have been removed.
	Reset func([]storer.Entry)
	// Apply receives changes in their order. Removed entries are marked Deleted.
	Apply func([]storer.Entry)
}

const (
	// firstDelay and longestDelay bound the pause after a failed call. The longest is short
	// enough for a configuration to arrive within its two seconds after a short outage.
	firstDelay   = 50 * time.Millisecond
	longestDelay = 400 * time.Millisecond
	// callLimit bounds a snapshot and a wait. A wait returns sooner by itself, so a call that
	// takes longer uses a connection that has gone silent.
	callLimit = 1500 * time.Millisecond
)

// Watcher follows the entries with one prefix.
type Watcher struct {
	source Source
	prefix string
	sink   Sink
	// what names the watch in the log.
	what string
	// gather is the pause after changes, so that one call brings those of many writers.
	gather time.Duration
	log    logr.Logger
	lost   bool
	// contact is when the last call that succeeded began, in nanoseconds since 1970.
	contact atomic.Int64
}

// New returns a watcher of the prefix. It logs when the service stops or begins to answer, with what
// is watched. After changes it waits for the time gather before it asks for more, as each call is paid
// for.
func New(src Source, prefix string, sink Sink, what string, gather time.Duration, lg logr.Logger) *Watcher {
	return &Watcher{source: src, prefix: prefix, sink: sink, what: what, gather: gather, log: lg}
}

// Age returns how old the copy may be at most, and false when there was none yet.
func (wt *Watcher) Age() (time.Duration, bool) {
	at := wt.contact.Load()
	return time.Since(time.Unix(0, at)), at != 0
}

// Run follows the entries until the context ends.
func (wt *Watcher) Run(ctx context.Context) {
	bo := backoff.NewExponentialBackOff()
	bo.InitialInterval, bo.MaxInterval = firstDelay, longestDelay
	known, revision := false, int64(0)
	for ctx.Err() == nil {
		var err error
		if !known {
			revision, err = wt.snapshot(ctx)
			known = err == nil
		} else {
			revision, err = wt.wait(ctx, revision)
		}
		switch {
		case err == nil:
			bo.Reset()
			wt.regained()
		case errors.Is(err, storer.ErrGap):
			known = false
		case ctx.Err() == nil:
			wt.fail(err)
			pauser.Pause(ctx, bo.NextBackOff())
		}
	}
}

func (wt *Watcher) snapshot(ctx context.Context) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, callLimit)
	defer cancel()
	began := time.Now()
	ens, revision, err := wt.source.Snapshot(ctx, wt.prefix)
	if err == nil {
		wt.sink.Reset(ens)
		wt.contact.Store(began.UnixNano())
	}
	return revision, err
}

func (wt *Watcher) wait(ctx context.Context, after int64) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, callLimit)
	defer cancel()
	began := time.Now()
	ens, revision, err := wt.source.Wait(ctx, wt.prefix, after)
	if err != nil {
		return after, err
	}
	wt.contact.Store(began.UnixNano())
	if len(ens) > 0 {
		wt.sink.Apply(ens)
		pauser.Pause(ctx, wt.gather)
	}
	return max(after, revision), nil
}

func (wt *Watcher) fail(err error) {
	if !wt.lost {
		logger.Log(wt.log, logger.WatchLost, "What", wt.what, "Error", err.Error())
	}
	wt.lost = true
}

func (wt *Watcher) regained() {
	if wt.lost {
		logger.Log(wt.log, logger.WatchRestored, "What", wt.what)
	}
	wt.lost = false
}
