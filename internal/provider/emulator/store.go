package emulator

import (
	"bytes"
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/currantrouter/currantrouter/internal/provider/storer"
)

// maxListBytes bounds the values of one result of List. A caller reads on until it gets none.
const maxListBytes = 4 << 20

// maxTombstones bounds the deletions that Wait can return. A wait that misses an older one fails
// with ErrGap.
const maxTombstones = 4096

// DefaultWaitLimit is the time after which Wait returns without a change.
const DefaultWaitLimit = 30 * time.Second

// Store is the key-value service in memory. It is safe for concurrent use.
type Store struct {
	faults *Faults
	// WaitLimit is the time after which Wait returns without a change. It must not be changed
	// once the store is used.
	WaitLimit time.Duration
	// KeepVersions makes Wait and Poll return each version of an entry since a revision and not only the newest, as the
	// users' platform does. It must not be changed once the store is used.
	KeepVersions bool

	mu       sync.Mutex
	revision int64
	// keys is sorted and has the keys of entries.
	keys    []string
	entries map[string]storer.Entry
	// replaced holds the versions that others have replaced, in the order of revisions, with KeepVersions.
	replaced []storer.Entry
	// tombstones holds the last deletions in the order of revisions.
	tombstones []storer.Entry
	// droppedRevision is the revision of the newest deletion that is no longer in tombstones.
	droppedRevision int64
	// stale holds the entries that List returns under the fault StaleList.
	stale map[string]storer.Entry
	// changed is closed and replaced at every change.
	changed chan struct{}
	calls   map[string]int64
}

// NewStore returns an empty store. The faults may be nil.
func NewStore(fts *Faults) *Store {
	if fts == nil {
		fts = new(Faults)
	}
	st := &Store{
		faults:    fts,
		WaitLimit: DefaultWaitLimit,
		entries:   map[string]storer.Entry{},
		changed:   make(chan struct{}),
		calls:     map[string]int64{},
	}
	fts.addHook(st.captureStale)
	return st
}

// Faults returns the switches of the store.
func (st *Store) Faults() *Faults { return st.faults }

// Calls returns the number of calls by method since the store was made.
func (st *Store) Calls() map[string]int64 {
	st.mu.Lock()
	defer st.mu.Unlock()
	return maps.Clone(st.calls)
}

// Get returns the entry of a key. Values of entries must not be modified. Errors:
// ErrNotFound, ErrUnavailable.
func (st *Store) Get(ctx context.Context, key string) (storer.Entry, error) {
	if err := st.beginRead(ctx, "Get", key); err != nil {
		return storer.Entry{}, err
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	en, ok := st.entries[key]
	if !ok {
		return storer.Entry{}, storer.ErrNotFound
	}
	return en, nil
}

// Put writes a key whose revision is the expected one, zero for a key that must not exist, and
// returns the new revision. Errors: ErrConflict, ErrTooLarge, ErrUnavailable, ErrResultUnknown.
func (st *Store) Put(ctx context.Context, key string, value []byte, expected int64) (int64, error) {
	if len(value) > storer.MaxValueBytes {
		return 0, storer.ErrTooLarge
	}
	// A late write stores its revision from another goroutine, after Put has returned.
	var rev atomic.Int64
	err := st.executeWrite(ctx, "Put", key, func() error {
		got, err := st.put(key, value, expected)
		rev.Store(got)
		return err
	})
	if err != nil {
		return 0, err
	}
	return rev.Load(), nil
}

func (st *Store) put(key string, value []byte, expected int64) (int64, error) {
	st.mu.Lock()
	defer st.mu.Unlock()
	if st.entries[key].Revision != expected {
		return 0, storer.ErrConflict
	}
	st.revision++
	if expected == 0 {
		ix, _ := slices.BinarySearch(st.keys, key)
		st.keys = slices.Insert(st.keys, ix, key)
	}
	if st.KeepVersions && expected != 0 {
		st.replaced = append(st.replaced, st.entries[key])
	}
	st.entries[key] = storer.Entry{Key: key, Value: bytes.Clone(value), Revision: st.revision}
	st.notifyWaiters()
	return st.revision, nil
}

// Delete removes a key whose revision is the expected one. Errors: ErrConflict, also for a key
// that does not exist, ErrUnavailable, ErrResultUnknown.
func (st *Store) Delete(ctx context.Context, key string, expected int64) error {
	return st.executeWrite(ctx, "Delete", key, func() error { return st.remove(key, expected) })
}

func (st *Store) remove(key string, expected int64) error {
	st.mu.Lock()
	defer st.mu.Unlock()
	en, ok := st.entries[key]
	if !ok || en.Revision != expected {
		return storer.ErrConflict
	}
	st.revision++
	ix, _ := slices.BinarySearch(st.keys, key)
	st.keys = slices.Delete(st.keys, ix, ix+1)
	delete(st.entries, key)
	st.tombstones = append(st.tombstones, storer.Entry{Key: key, Revision: st.revision, Deleted: true})
	if len(st.tombstones) > maxTombstones {
		st.droppedRevision = st.tombstones[0].Revision
		st.tombstones = st.tombstones[1:]
	}
	st.notifyWaiters()
	return nil
}

// List returns at most limit entries with the prefix in the order of keys, beginning behind the
// key after. It returns less than limit when the values exceed 4 MB, and none only after the last.
// Errors: ErrUnavailable.
func (st *Store) List(ctx context.Context, prefix, after string, limit int) ([]storer.Entry, error) {
	if err := st.beginRead(ctx, "List", prefix); err != nil {
		return nil, err
	}
	_, stale := st.faults.match(PartStore, "List", prefix, StaleList)
	st.mu.Lock()
	defer st.mu.Unlock()
	if stale {
		return page(slices.Sorted(maps.Keys(st.stale)), st.stale, prefix, after, limit), nil
	}
	return page(st.keys, st.entries, prefix, after, limit), nil
}

// Snapshot returns all entries with the prefix, and the revision that they belong to. Errors:
// ErrUnavailable.
func (st *Store) Snapshot(ctx context.Context, prefix string) ([]storer.Entry, int64, error) {
	if err := st.beginRead(ctx, "Snapshot", prefix); err != nil {
		return nil, 0, err
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	return page(st.keys, st.entries, prefix, "", len(st.keys)), st.revision, nil
}

// pageEntries is the maximum number of entries of a page.
const pageEntries = 500

// Page returns at most pageEntries entries with the prefix whose keys follow after. Errors:
// ErrUnavailable.
func (st *Store) Page(ctx context.Context, prefix, after string) (storer.Page, error) {
	if err := st.beginRead(ctx, "Page", prefix); err != nil {
		return storer.Page{}, err
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	ens := page(st.keys, st.entries, prefix, after, pageEntries)
	more := len(ens) > 0 && len(page(st.keys, st.entries, prefix, ens[len(ens)-1].Key, 1)) > 0
	return storer.Page{Entries: ens, Revision: st.revision, More: more}, nil
}

func page(keys []string, entries map[string]storer.Entry, prefix, after string, limit int) []storer.Entry {
	var out []storer.Entry
	ix, _ := slices.BinarySearch(keys, max(prefix, after))
	size := 0
	for _, key := range keys[ix:] {
		if !strings.HasPrefix(key, prefix) || len(out) >= limit || size >= maxListBytes {
			break
		}
		if key == after {
			continue
		}
		out = append(out, entries[key])
		size += len(entries[key].Value)
	}
	return out
}

// Wait returns the entries with the prefix that changed after the revision, with Deleted set for
// removed ones, and the revision to continue from. Of several changes of a key it returns the
// last, or all with KeepVersions. It returns no entry when nothing changed for WaitLimit. Errors: ErrGap, ErrUnavailable.
func (st *Store) Wait(ctx context.Context, prefix string, after int64) ([]storer.Entry, int64, error) {
	if err := st.beginRead(ctx, "Wait", prefix); err != nil {
		return nil, after, err
	}
	if _, gap := st.faults.match(PartStore, "Wait", prefix, WatchGap); gap {
		return nil, after, storer.ErrGap
	}
	tm := time.NewTimer(st.WaitLimit)
	defer tm.Stop()
	for {
		ens, rev, changed := st.changes(prefix, after)
		if rev < 0 {
			return nil, after, storer.ErrGap
		}
		if len(ens) > 0 {
			if _, silent := st.faults.match(PartStore, "Wait", prefix, WatchSilent); !silent {
				return ens, rev, nil
			}
			after = rev
		}
		select {
		case <-ctx.Done():
			return nil, after, fmt.Errorf("%w: %w", storer.ErrUnavailable, ctx.Err())
		case <-tm.C:
			return nil, rev, nil
		case <-changed:
		}
	}
}

// Poll returns what Wait does, but at once if there are no changes. Errors: ErrGap, ErrUnavailable.
func (st *Store) Poll(ctx context.Context, prefix string, after int64) ([]storer.Entry, int64, error) {
	if err := st.beginRead(ctx, "Poll", prefix); err != nil {
		return nil, after, err
	}
	ens, rev, _ := st.changes(prefix, after)
	if rev < 0 {
		return nil, after, storer.ErrGap
	}
	return ens, rev, nil
}

// changes returns the entries that changed after the revision, the current revision and a channel that
// is closed at the next change. The revision is negative when the changes are no longer known.
func (st *Store) changes(prefix string, after int64) ([]storer.Entry, int64, <-chan struct{}) {
	st.mu.Lock()
	defer st.mu.Unlock()
	if after > 0 && after < st.droppedRevision {
		return nil, -1, nil
	}
	var out []storer.Entry
	for _, en := range st.replaced {
		if en.Revision > after && strings.HasPrefix(en.Key, prefix) {
			out = append(out, en)
		}
	}
	ix, _ := slices.BinarySearch(st.keys, prefix)
	for _, key := range st.keys[ix:] {
		if !strings.HasPrefix(key, prefix) {
			break
		}
		if en := st.entries[key]; en.Revision > after {
			out = append(out, en)
		}
	}
	for _, en := range st.tombstones {
		if _, exists := st.entries[en.Key]; !exists && en.Revision > after && strings.HasPrefix(en.Key, prefix) {
			out = append(out, en)
		}
	}
	return out, st.revision, st.changed
}

func (st *Store) notifyWaiters() {
	close(st.changed)
	st.changed = make(chan struct{})
}

// captureStale keeps the present entries for calls under the fault StaleList.
func (st *Store) captureStale(sw Switch) {
	if sw.Fault != StaleList || !sw.matches(PartStore, "List", sw.Target) {
		return
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	st.stale = maps.Clone(st.entries)
}

// beginRead counts a call without effect and applies the faults that all calls share.
func (st *Store) beginRead(ctx context.Context, operation, key string) error {
	st.count(operation)
	if err := ctx.Err(); err != nil {
		return fmt.Errorf("%w: %w", storer.ErrUnavailable, err)
	}
	sw, ok := st.faults.match(PartStore, operation, key, Unavailable, Slow, AnswerLost, RequestLost)
	if !ok {
		return nil
	}
	if sw.Fault != Slow {
		return storer.ErrUnavailable
	}
	if err := sleep(ctx, sw.Delay); err != nil {
		return fmt.Errorf("%w: %w", storer.ErrUnavailable, err)
	}
	return nil
}

// executeWrite counts a call and executes it under the faults that all writes share.
func (st *Store) executeWrite(ctx context.Context, operation, key string, execute func() error) error {
	st.count(operation)
	if err := ctx.Err(); err != nil {
		return fmt.Errorf("%w: %w", storer.ErrUnavailable, err)
	}
	sw, ok := st.faults.match(PartStore, operation, key, Unavailable, Slow, AnswerLost, RequestLost, Late)
	if !ok {
		return execute()
	}
	switch sw.Fault {
	case Unavailable:
		return storer.ErrUnavailable
	case Slow:
		if err := sleep(ctx, sw.Delay); err != nil {
			return fmt.Errorf("%w: %w", storer.ErrResultUnknown, err)
		}
		return execute()
	case AnswerLost:
		_ = execute()
	case Late:
		runAfter(sw.Delay, func() { _ = execute() })
	}
	return storer.ErrResultUnknown
}

func (st *Store) count(operation string) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.calls[operation]++
}
