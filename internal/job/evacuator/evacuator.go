// Package evacuator holds which data centres are evacuated, as far as the leader knows, and decides whether that
// knowledge is recent enough for starts to be sent. It has no network.
//
// It answers requests that are stored while starts are sent at peak load and while this host reaches the store only in
// part: no start may reach a worker of an evacuated data centre later than Options.Limit after the request was stored,
// and an outage of the whole store, in which nobody can store a request, may not stop the starts.
package evacuator

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	fleet "github.com/currantrouter/currantrouter/internal/fleet/modeler"
)

const (
	// startMargin is subtracted from the limit for the time from the decision to send a start until no worker carries it
	// out any more. A start carries a deadline 1.5 s ahead on the worker's clock, which may be 2% slow.
	startMargin = 2 * time.Second
	// minMaxAge is the least age at which a view becomes outdated. The watch of an unchanged set is confirmed every
	// 0.7 s, and a shorter time would stop starts between two confirmations.
	minMaxAge = 1500 * time.Millisecond
	// AnswerGrace is how much later than the view the store must have answered another call for this host to conclude
	// that it is the watch that fails and not the store. As an outage of the store begins, the last view is up to two waits of
	// the watch old, 1.4 s, and the time of an answer to another host is known up to a delay of its message too late.
	AnswerGrace = 2 * time.Second
	// checkInterval is the time for which a result of Options.MayRely is used again.
	checkInterval = 50 * time.Millisecond
)

// Reading is when a read of the evacuations began, and how long the machine had been suspended by then.
type Reading struct {
	At        time.Time
	Suspended time.Duration
}

// Entry is the stored state of the request to evacuate a data centre.
type Entry struct {
	DataCentre fleet.DataCentreName
	// Revision is that of the write or of the deletion, zero if it is not known.
	Revision int64
	// Withdrawn is set if the request was deleted.
	Withdrawn bool
}

// Change is what a read has changed.
type Change struct {
	// Added and Withdrawn are sorted.
	Added, Withdrawn []fleet.DataCentreName
	// First is set for the first listing.
	First bool
}

// Empty reports whether nothing has changed.
func (ch *Change) Empty() bool { return len(ch.Added) == 0 && len(ch.Withdrawn) == 0 && !ch.First }

// Outcome is the result of an operator's command.
type Outcome string

// The outcomes. AlreadyRequested and NotRequested have changed nothing.
const (
	Requested        Outcome = "Requested"
	AlreadyRequested Outcome = "AlreadyRequested"
	Withdrawn        Outcome = "Withdrawn"
	NotRequested     Outcome = "NotRequested"
)

// CodeNoWorkers is the code of the error answer to a request for a data centre without workers.
const CodeNoWorkers = "NoWorkers"

// CommandResult answers an operator's command.
type CommandResult struct {
	DataCentre fleet.DataCentreName
	Outcome    Outcome
}

// Options configure an evacuator.
type Options struct {
	// Limit is the time after a request was stored from which no start may reach a worker of the data centre.
	Limit time.Duration
	// Suspended returns how long the machine was suspended since the process started.
	Suspended func() time.Duration
	// MayRely reports whether a view that was read at a time may be relied on although it is older than MaxAge: the store
	// has answered no other call more than AnswerGrace later, as far as this host can tell.
	MayRely func(readAt time.Time) bool
}

// Evacuator holds the evacuated data centres of one term. It is safe for concurrent use.
type Evacuator struct {
	op Options
	// current holds the evacuated data centres for Evacuated. It is replaced and never changed.
	current atomic.Pointer[map[fleet.DataCentreName]int64]

	mu sync.Mutex
	// revisions holds the evacuated data centres with the revisions of the requests.
	revisions map[fleet.DataCentreName]int64
	// revision is the highest one that was read.
	revision int64
	// listed is set once a listing was read.
	listed bool
	read   Reading
	// checkedAt is when outdated was last determined for read, zero if it was not.
	checkedAt time.Time
	outdated  bool
}

// New returns an evacuator that has read nothing yet.
func New(op Options) *Evacuator {
	ev := &Evacuator{op: op, revisions: map[fleet.DataCentreName]int64{}}
	ev.publish()
	return ev
}

// MaxAge returns the age from which a view is outdated while the store answers others.
func (ev *Evacuator) MaxAge() time.Duration { return MaxAge(ev.op.Limit) }

// MaxAge returns the age from which a view is outdated, for a limit.
func MaxAge(limit time.Duration) time.Duration { return max(limit-startMargin, minMaxAge) }

// Reset replaces the set by a listing whose first page was read at rd.
func (ev *Evacuator) Reset(ens []Entry, rd Reading) Change {
	ev.mu.Lock()
	defer ev.mu.Unlock()
	before := ev.revisions
	ev.revisions = make(map[fleet.DataCentreName]int64, len(ens))
	for _, en := range ens {
		ev.apply(en)
	}
	ch := ev.changeSince(before)
	ch.First = !ev.listed
	ev.listed = true
	ev.publish()
	ev.confirm(rd)
	return ch
}

// Apply applies changes in their order, which were read at rd.
func (ev *Evacuator) Apply(ens []Entry, rd Reading) Change {
	ev.mu.Lock()
	defer ev.mu.Unlock()
	before := maps.Clone(ev.revisions)
	for _, en := range ens {
		ev.apply(en)
	}
	ev.publish()
	ev.confirm(rd)
	return ev.changeSince(before)
}

// apply applies an entry unless the listing has a later one: a watch returns the changes between the pages of a listing
// again. The caller holds mu.
func (ev *Evacuator) apply(en Entry) {
	if known, ok := ev.revisions[en.DataCentre]; ok && en.Revision != 0 && en.Revision < known {
		return
	}
	ev.revision = max(ev.revision, en.Revision)
	if en.Withdrawn {
		delete(ev.revisions, en.DataCentre)
		return
	}
	ev.revisions[en.DataCentre] = en.Revision
}

// Confirm notes that a read at rd found no change.
func (ev *Evacuator) Confirm(rd Reading) {
	ev.mu.Lock()
	defer ev.mu.Unlock()
	ev.confirm(rd)
}

func (ev *Evacuator) confirm(rd Reading) { ev.read, ev.checkedAt = rd, time.Time{} }

// publish makes the set visible to Evacuated. The caller holds mu.
func (ev *Evacuator) publish() {
	set := maps.Clone(ev.revisions)
	ev.current.Store(&set)
}

// changeSince returns the difference to an earlier set.
func (ev *Evacuator) changeSince(before map[fleet.DataCentreName]int64) Change {
	var ch Change
	for dc := range ev.revisions {
		if _, ok := before[dc]; !ok {
			ch.Added = append(ch.Added, dc)
		}
	}
	for dc := range before {
		if _, ok := ev.revisions[dc]; !ok {
			ch.Withdrawn = append(ch.Withdrawn, dc)
		}
	}
	slices.Sort(ch.Added)
	slices.Sort(ch.Withdrawn)
	return ch
}

// Evacuated reports whether a data centre is evacuated. Workers without a data centre never are.
func (ev *Evacuator) Evacuated(dc fleet.DataCentreName) bool {
	set := *ev.current.Load()
	if len(set) == 0 {
		return false
	}
	_, ok := set[dc]
	return ok
}

// Listed reports whether the evacuations were read in this term.
func (ev *Evacuator) Listed() bool {
	ev.mu.Lock()
	defer ev.mu.Unlock()
	return ev.listed
}

// Current reports whether the view is recent enough for starts to be sent: it was read in this term, and it is not
// older than MaxAge, or it may be relied on nevertheless.
func (ev *Evacuator) Current(now time.Time) bool {
	ev.mu.Lock()
	defer ev.mu.Unlock()
	switch {
	case !ev.listed:
		return false
	case ev.age(now) <= ev.MaxAge():
		return true
	case ev.checkedAt.IsZero() || now.Sub(ev.checkedAt) >= checkInterval:
		ev.checkedAt, ev.outdated = now, !ev.op.MayRely(ev.read.At)
	}
	return !ev.outdated
}

// age returns the time since the view was read, with that for which the machine was suspended. The caller holds mu.
func (ev *Evacuator) age(now time.Time) time.Duration {
	return now.Sub(ev.read.At) + ev.op.Suspended() - ev.read.Suspended
}

// Status is the state of an evacuator.
type Status struct {
	// DataCentres is the number of evacuated data centres.
	DataCentres int
	// Revision is the highest one that was read.
	Revision int64
	// Age is the age of the view, zero before the first listing.
	Age time.Duration
}

// Status returns the present state.
func (ev *Evacuator) Status(now time.Time) Status {
	ev.mu.Lock()
	defer ev.mu.Unlock()
	st := Status{DataCentres: len(ev.revisions), Revision: ev.revision}
	if ev.listed {
		st.Age = ev.age(now)
	}
	return st
}
