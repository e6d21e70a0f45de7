package subscriber

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/currantrouter/currantrouter/internal/process/watchdog"
	"github.com/currantrouter/currantrouter/internal/provider/storer"
)

// Errors of Refresh. Callers test for them with errors.Is.
var (
	// ErrSuperseded means that a read of the store took longer than maxRefreshLag, and that the revision in
	// force rose meanwhile. Requests that arrived after the read began may have been handled with the lower
	// revision, so that one that waited for the read must not be handled with the higher one.
	ErrSuperseded = errors.New("configuration changed while the request waited for the store")
	// ErrOutdated means that the store may have had a higher revision for longer than a change may take to be in
	// force.
	ErrOutdated = errors.New("configuration may be out of date")
)

const (
	// maxRefreshLag is how much later than a request a revision may come into force with which the request
	// is handled. Callers are promised that a host does not go back to a lower revision in requests that are
	// sent 250 ms apart.
	maxRefreshLag = 200 * time.Millisecond
	// refreshTimeout bounds how long a caller waits for the store before it is told whether a queue exists.
	refreshTimeout = 700 * time.Millisecond
	// readTimeout bounds a read, which goes on for later callers when the first do not wait any more.
	readTimeout = time.Minute
	// maxCopyAge is the age up to which a copy tells that a queue does not exist. A change is in force within 2 s
	// of its write.
	maxCopyAge = 1500 * time.Millisecond
)

// Refresh asks the store for changes, so that a queue is not reported as missing because this host's copy is out of date.
// After nil and ErrSuperseded, the copy has the changes that had been written maxCopyAge before. Concurrent calls share a
// read. Errors: ErrSuperseded, ErrOutdated.
func (sb *Subscriber) Refresh(ctx context.Context) error {
	if err := sb.checkOutdated(); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, refreshTimeout)
	defer cancel()
	began, before := time.Now(), sb.Revision()
	var err error
	select {
	case rs := <-sb.reads.DoChan(sb.entry.Key, sb.read):
		err = rs.Err
	case <-ctx.Done():
		err = ctx.Err()
	}
	switch fresh := sb.isFresh(began); {
	case !fresh && err != nil:
		return fmt.Errorf("%w: read of the store: %w", ErrOutdated, err)
	case !fresh:
		return ErrOutdated
	case time.Since(began) > maxRefreshLag && sb.Revision() > before:
		return ErrSuperseded
	}
	return nil
}

// checkOutdated returns ErrOutdated if a read of the store is unlikely to help: a higher revision has been known for a
// while and is not in force, or the copy is old and the store does not answer this host.
func (sb *Subscriber) checkOutdated() error {
	sb.mu.Lock()
	defer sb.mu.Unlock()
	if behind := sb.lag.duration(time.Now()); behind > refreshTimeout {
		return fmt.Errorf("%w: a peer reported a higher revision %s ago", ErrOutdated, behind)
	}
	if sb.watchFailures.count > 0 && time.Since(sb.confirmed()) > maxCopyAge {
		return fmt.Errorf("%w: %w", ErrOutdated, sb.watchFailures.last)
	}
	return nil
}

// isFresh reports whether the store has confirmed the copy since a time or within maxCopyAge, and no peer has a higher
// revision.
func (sb *Subscriber) isFresh(since time.Time) bool {
	sb.mu.Lock()
	defer sb.mu.Unlock()
	confirmed := sb.confirmed()
	return !confirmed.Before(since) || sb.lag.since.IsZero() && time.Since(confirmed) <= maxCopyAge
}

// confirmed returns when the last call began in which the store returned all changes. The caller holds mu.
func (sb *Subscriber) confirmed() time.Time {
	if age, ok := sb.watcher.Age(); ok {
		if watched := time.Now().Add(-age); watched.After(sb.readAt) {
			return watched
		}
	}
	return sb.readAt
}

// read puts the changes in force that the watch has not returned yet. It is a function of a singleflight.Group.
func (sb *Subscriber) read() (any, error) {
	ctx, cancel := watchdog.WithTimeout(context.Background(), refreshTimeout, readTimeout)
	defer cancel()
	began := time.Now()
	if err := sb.readChanges(ctx); err != nil {
		return nil, err
	}
	sb.mu.Lock()
	defer sb.mu.Unlock()
	sb.readAt = began
	return nil, nil
}

// readChanges does not transfer a document that this host has. Errors: those of package storer.
func (sb *Subscriber) readChanges(ctx context.Context) error {
	if after := sb.watcher.Revision(); after > 0 {
		ens, revision, err := sb.store.Poll(ctx, sb.entry.Key, after)
		switch {
		case err == nil && revision >= after:
			sb.applyEntries(ens)
			return nil
		case err != nil && !errors.Is(err, storer.ErrGap):
			return err
		}
	}
	en, err := sb.store.Get(ctx, sb.entry.Key)
	if err != nil {
		return err
	}
	sb.decode(en)
	return nil
}
