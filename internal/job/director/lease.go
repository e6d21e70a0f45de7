package director

import (
	"context"
	"slices"
	"time"

	"github.com/currantrouter/currantrouter/internal/job/keeper"
	"github.com/currantrouter/currantrouter/internal/job/modeler"
	"github.com/currantrouter/currantrouter/internal/state/journaler"
	"github.com/currantrouter/currantrouter/internal/telemetry/logger"
)

const (
	// inheritedLeaseMargin is added to the time for which workers may hold leases of another leader, which takes a worker's
	// clock to be up to clockMargin ahead. Requests in flight need no margin, as they name the end of the lease.
	inheritedLeaseMargin = leaseMargin + clockMargin
	// minRecordedSilence is how long a worker does not answer before the end of its lease is recorded, if it has answered
	// in the term. A second renewal in a row has no answer then.
	minRecordedSilence = renewTimeoutMargin
	// clockRecordInterval is the time between two records of the journal's clock while a recorded end of a
	// lease is ahead. A successor that has not seen this leader's term waits for up to this time longer.
	clockRecordInterval = time.Second
	// maxLongRunningLease is the longest lease that a worker with a shorter Limits.Lease may hold to get a long-running
	// task. If the worker is lost, the task has to run again within 9 s. That leaves 1 s for leaseMargin, a slow clock
	// (2% of the lease), the proof that this host still leads, and the start.
	maxLongRunningLease = 8 * time.Second
	// maxInheritedTerms bounds the terms whose leaders a later one looks for. Leases of earlier ones are over.
	maxInheritedTerms = 8
	// leaseJitter is by how much the lease left may exceed Limits.Lease, as an answer that was slow on its way shows an
	// earlier time of the worker's clock.
	leaseJitter = 500 * time.Millisecond
	// maxBoundsAtEnd bounds the leases that a leader bounds as its term ends, so that they fit into one append:
	// each takes some 60 bytes. A data centre has up to 1,100 workers.
	maxBoundsAtEnd = 4000
)

// MaxLeaseTime returns the longest time from when a leader extends a lease until it is over, as another
// host measures it.
func (lm *Limits) MaxLeaseTime() time.Duration {
	return LongestTime(lm.Lease) + inheritedLeaseMargin
}

// inheritance is what the journal says of earlier terms and their leases.
type inheritance struct {
	// clock is the highest time that was recorded.
	clock time.Duration
	// last is the last fact of a term, nil if there is none.
	last *keeper.TermFact
	// terms are the last facts of up to maxInheritedTerms epochs, in rising order.
	terms []*keeper.TermFact
	// incomplete is set if a fact may be missing.
	incomplete bool
}

// restoreTerm adds a fact of a term. The first one of an epoch may void the bounds of leases before it.
func (dr *Director) restoreTerm(ih *inheritance, ft *keeper.TermFact) {
	if ft.BoundsVoid && (ih.last == nil || ih.last.Epoch != ft.Epoch) {
		dr.voidBounds()
	}
	ih.last, ih.clock = ft, max(ih.clock, ft.Clock)
	ih.addTerm(ft)
}

// addTerm adds a fact to terms.
func (ih *inheritance) addTerm(ft *keeper.TermFact) {
	cp := *ft
	if last := len(ih.terms) - 1; last >= 0 && ih.terms[last].Epoch == ft.Epoch {
		if cp.Electorate == nil {
			cp.Electorate = ih.terms[last].Electorate
		}
		ih.terms = ih.terms[:last]
	}
	ih.terms = append(ih.terms, &cp)
	ih.terms = ih.terms[max(0, len(ih.terms)-maxInheritedTerms):]
}

// consecutive reports whether terms has each epoch from the first to the last.
func (ih *inheritance) consecutive() bool {
	for ix, ft := range ih.terms {
		if ft.Epoch != ih.terms[0].Epoch+modeler.Epoch(ix) {
			return false
		}
	}
	return true
}

// voidBounds drops the bounds of leases that the journal has.
func (dr *Director) voidBounds() {
	for _, wk := range dr.workers {
		wk.lease = leaseRecord{}
	}
}

// followsRules reports whether the leader of the epoch before kept to the bounds of leases that the journal has.
func (ih *inheritance) followsRules(epoch modeler.Epoch, factsMissing bool) bool {
	return ih.last != nil && ih.last.Epoch == epoch-1 && !factsMissing
}

// EpochRecords returns a function for journaler.Options.EpochRecords. It returns a fact of the term, without which the next
// leader could not tell a leader that was lost before its first record from one of an earlier version. The epoch
// may be recorded late, so that the fact holds only what stays true until then. The electorate is the one that the leader
// begins with, nil if it relies on any host.
func EpochRecords(electorate *modeler.Electorate) func(journaler.Recovery) []journaler.Record {
	return func(rec journaler.Recovery) []journaler.Record { return epochRecords(rec, electorate) }
}

func epochRecords(rec journaler.Recovery, electorate *modeler.Electorate) []journaler.Record {
	ih, epoch := inheritance{}, modeler.Epoch(rec.Epoch)
	for _, rc := range slices.Concat(rec.SnapshotRecords, rec.Records) {
		if ft, ok := keeper.ParseTerm(rc); ok {
			ih.last, ih.clock = ft, max(ih.clock, ft.Clock)
		}
	}
	rc, err := keeper.Fact{Term: &keeper.TermFact{
		Epoch: epoch, Start: ih.clock, Clock: ih.clock, InheritedUntil: keeper.MaxClock, BoundsVoid: !ih.followsRules(epoch, rec.Damaged > 0),
		Electorate: electorate,
	}}.Record()
	if err != nil {
		return nil
	}
	return []journaler.Record{rc}
}

// inherit sets the journal's clock, and when the leases of earlier leaders are over. Without a fact of the last
// epoch, nothing is known of the leases that its leader extended.
func (dr *Director) inherit(ih *inheritance) {
	dr.clockStart = ih.clock
	dr.inheritedUntil = dr.termStart.Add(dr.op.InheritedLease)
	dr.boundsVoid = !ih.followsRules(dr.op.Epoch, dr.op.FactsMissing)
	dr.inheritanceKnown = !dr.boundsVoid && !ih.incomplete
	switch {
	case dr.boundsVoid:
		dr.voidBounds()
		return
	case !dr.inheritanceKnown:
		dr.boundInherited()
		return
	}
	// This host's clock may be faster than the predecessor's.
	dr.clockStart = max(dr.clockStart, ih.last.Start+time.Duration(float64(dr.op.PredecessorSeenFor)*(1-maxClockDrift)))
	dr.earlierUntil = dr.journalTime(ih.last.InheritedUntil)
	if ih.consecutive() {
		dr.inheritedTerms = ih.terms
	}
	if ih.last.Ended {
		dr.notePredecessorStopped(dr.journalTime(ih.last.Clock))
	}
	for _, wk := range dr.workers {
		if wk.lease.bounded {
			wk.lease.until, wk.grantDurable = dr.journalTime(wk.lease.journalUntil), false
		}
	}
}

// boundInherited bounds the leases of all workers at the time when those of all earlier leaders are over. Later
// leaders rely on recorded bounds, one of which may be in a record that this one could not read: it extends no
// lease without a new grant.
func (dr *Director) boundInherited() {
	for _, wk := range dr.workers {
		wk.lease = leaseRecord{bounded: true, until: dr.inheritedUntil, journalUntil: dr.journalClock(dr.inheritedUntil)}
		wk.grantDurable = false
	}
}

// InheritedLease returns how long from the start of the term a worker that does not answer may run tasks under
// a lease of an earlier leader, unless the journal bounds its lease.
func (dr *Director) InheritedLease() time.Duration {
	dr.mu.Lock()
	defer dr.mu.Unlock()
	return max(0, dr.inheritedUntil.Sub(dr.termStart))
}

// notePredecessorStopped notes that the predecessor has stopped by a time.
func (dr *Director) notePredecessorStopped(at time.Time) {
	dr.predecessorStopped, dr.predecessorStoppedAt = true, at
	dr.shortenInheritance(at)
}

// shortenInheritance notes that the predecessor extends no lease after a time.
func (dr *Director) shortenInheritance(stopped time.Time) {
	until := stopped.Add(dr.op.Limits.MaxLeaseTime())
	if until.Before(dr.earlierUntil) {
		until = dr.earlierUntil
	}
	if until.Before(dr.inheritedUntil) {
		dr.inheritedUntil = until
	}
}

// journalClock returns what the journal's clock shows at a time. See keeper.TermFact.
func (dr *Director) journalClock(at time.Time) time.Duration {
	return max(0, dr.clockStart+at.Sub(dr.termStart))
}

// journalTime returns when the journal's clock shows a time.
func (dr *Director) journalTime(clock time.Duration) time.Time {
	return dr.termStart.Add(clock - dr.clockStart)
}

// leaseRecord is what the journal says of a worker's lease.
type leaseRecord struct {
	// bounded is set while the journal bounds the lease, or while that fact is being recorded. No lease is
	// extended then.
	bounded bool
	// until is when the bounded lease is over, journalUntil that time on the journal's clock.
	until        time.Time
	journalUntil time.Duration
	// recordingBound, recordingGrant and recordingRelease are set while the facts are not durable. No two of
	// them are set together, so that the journal has the facts in their order.
	recordingBound, recordingGrant, recordingRelease bool
}

// noteGranted notes that an earlier leader gave an incarnation of the worker leases.
func (wk *worker) noteGranted(incarnation int64) {
	wk.grantedToSeveral = wk.grantedToSeveral || wk.grantedTo != 0 && wk.grantedTo != incarnation
	wk.grantedTo = incarnation
}

// lateLeaseEnd returns the latest end of a lease, on the worker's clock, that requests for an earlier incarnation
// may have given the one that answers in a term first, and zero if there is none. They are carried out by
// maxStartDelayAfterRestart after its start.
func (dr *Director) lateLeaseEnd(wk *worker, rep *modeler.Report) time.Duration {
	if wk.grantedTo == 0 || wk.grantedTo == rep.Incarnation && !wk.grantedToSeveral {
		return 0
	}
	return min(rep.Clock, maxStartDelayAfterRestart) + max(dr.op.Limits.Lease, dr.op.Limits.LongestLease)
}

// mayHoldLongLease reports whether a worker may hold a lease that is too long for a long-running task. A worker that
// restarted in this term may for some seconds, see worker.mayHoldEarlierLease.
func (dr *Director) mayHoldLongLease(wk *worker, now time.Time) bool {
	return wk.leaseEnd-wk.minClock(now) > dr.longRunningLease()
}

// longRunningLease returns the longest lease that a worker may hold to get a long-running task.
func (dr *Director) longRunningLease() time.Duration {
	return max(dr.op.Limits.Lease+leaseJitter, maxLongRunningLease)
}

// inheritedEnd returns when the lease of a worker that has not answered in this term is over.
func (dr *Director) inheritedEnd(wk *worker) time.Time {
	if wk.lease.bounded && wk.lease.until.Before(dr.inheritedUntil) {
		return wk.lease.until
	}
	return dr.inheritedUntil
}

// boundToRecord returns when the lease of a worker that does not answer is over, and whether that is to be
// recorded.
func (dr *Director) boundToRecord(wk *worker, now time.Time) (time.Time, bool) {
	lr := &wk.lease
	silent := wk.unreachable && (!wk.answered || now.Sub(wk.unreachableSince) >= minRecordedSilence)
	granted := wk.grantDurable || lr.bounded
	switch {
	case !silent || !granted || lr.recordingGrant:
		return time.Time{}, false
	case !wk.answered:
		// The leases of earlier leaders may be known to be over sooner than when the bound was recorded.
		end := dr.inheritedEnd(wk)
		return end, !lr.bounded || lr.until.Sub(end) > clockRecordInterval
	case dr.mayStartAfterRestart(wk, now):
		return time.Time{}, false
	}
	return dr.leaseOver(wk, now), !lr.bounded
}

// recordLeases records the ends of the leases of workers that do not answer, and the time on the journal's
// clock, so that the next leader does not wait for these leases anew.
func (dr *Director) recordLeases(now time.Time) {
	if dr.recordingLeases {
		return
	}
	ends, ahead := map[*worker]time.Time{}, false
	for _, wk := range dr.workers {
		if end, ok := dr.boundToRecord(wk, now); ok {
			ends[wk] = end
		}
		ahead = ahead || wk.lease.endsAfter(dr.clockRecordedAt)
	}
	confirmed := now.Sub(dr.op.Journal.LastConfirmed()) <= clockRecordInterval
	var electorate *modeler.Electorate
	// Most hosts are heard of in the first moments of a term. Later, a record for each of those that start would be too many.
	if recent := now.Sub(dr.termStart) < clockRecordInterval || now.Sub(dr.clockRecordedAt) >= clockRecordInterval; recent && confirmed {
		electorate = dr.proposeElectorate()
	}
	due := dr.clockRecordedAt.IsZero() || electorate != nil || ahead && now.Sub(dr.clockRecordedAt) >= clockRecordInterval
	if len(ends) == 0 && !due && dr.recordedUntil.Equal(dr.inheritedUntil) {
		return
	}
	if !confirmed {
		// No lease is extended until its bound is durable. The record of the clock shows first whether the
		// journal accepts facts.
		clear(ends)
	}
	if electorate != nil {
		dr.op.Electorate.Restrict(*electorate)
		dr.electorate = electorate
		dr.log(logger.ElectorateNamed, "Hosts", electorate.Hosts, "Voters", len(electorate.Voters))
	}
	term := dr.termFact(now, false)
	term.Term.Electorate = electorate
	facts := []keeper.Fact{term}
	for wk, end := range ends {
		wk.grantDurable = false
		wk.lease = leaseRecord{bounded: true, until: end, journalUntil: dr.journalClock(end), recordingBound: true}
		facts = append(facts, wk.boundFact())
		dr.log(logger.LeaseBounded, "Worker", wk.info.ID, "LeaseLeft", end.Sub(now).String(), "Clock", dr.journalClock(now).String())
	}
	dr.recordingLeases, dr.clockRecordedAt, dr.recordedUntil = true, now, dr.inheritedUntil
	dr.startGoroutine(func(ctx context.Context) {
		dr.record(ctx, facts, func() {
			dr.mu.Lock()
			defer dr.mu.Unlock()
			dr.recordingLeases = false
			if electorate != nil {
				dr.op.Electorate.Rely(*electorate)
			}
			for wk := range ends {
				wk.lease.recordingBound = false
			}
		})
	})
}

// proposeElectorate returns the electorate that is to replace the one of the last fact that named one, and nil if that one still
// holds.
func (dr *Director) proposeElectorate() *modeler.Electorate {
	if dr.op.Electorate == nil {
		return nil
	}
	proposed := dr.op.Electorate.Propose()
	if dr.electorate != nil && proposed.Equal(*dr.electorate) {
		return nil
	}
	return &proposed
}

// endsAfter reports whether a bounded lease, or the time that a worker is waited for after it, ends after a
// time.
func (lr *leaseRecord) endsAfter(at time.Time) bool {
	return lr.bounded && lr.until.Add(unreachableGrace).After(at)
}

func (wk *worker) boundFact() keeper.Fact {
	return keeper.Fact{LeaseBounded: &keeper.LeaseBoundedFact{Worker: wk.info.ID, Until: wk.lease.journalUntil}}
}

func (dr *Director) termFact(now time.Time, ended bool) keeper.Fact {
	return keeper.Fact{Term: &keeper.TermFact{
		Epoch: dr.op.Epoch, Start: dr.clockStart, Clock: dr.journalClock(now), InheritedUntil: dr.journalClock(dr.inheritedUntil), Ended: ended,
		BoundsVoid: dr.boundsVoid,
	}}
}

// RecordEnd records that the term is over, so that the next leader need not allow for requests of this one.
// It is called after Wait. Errors: those of Journal.Append.
func (dr *Director) RecordEnd(ctx context.Context) error {
	dr.mu.Lock()
	now := time.Now()
	facts := []keeper.Fact{dr.termFact(now, true)}
	for _, wk := range dr.workers {
		silent := (wk.unreachable || !wk.answered) && !dr.mayStartAfterRestart(wk, now)
		if silent && wk.grantDurable && !wk.lease.bounded {
			wk.lease = leaseRecord{bounded: true, journalUntil: dr.journalClock(dr.leaseOver(wk, now)), recordingBound: true}
		}
		// A record that was under way when the term ended may have been given up.
		if wk.lease.recordingBound && len(facts) <= maxBoundsAtEnd {
			facts = append(facts, wk.boundFact())
		}
	}
	dr.mu.Unlock()
	recs, err := keeper.Records(facts)
	if err != nil {
		return err
	}
	return dr.op.Journal.Append(ctx, recs...)
}

// checkPredecessor notes when earlier leaders are found to stop, and when the predecessor is found to have
// stopped.
func (dr *Director) checkPredecessor(now time.Time) {
	dr.checkEarlierLeaders(now)
	dr.checkLeadersBeforePredecessor(now)
	dr.checkElectorates(now)
	if dr.predecessorStopped || !dr.inheritanceKnown || dr.op.PredecessorStopped == nil {
		return
	}
	stoppedAt, ok := dr.op.PredecessorStopped()
	if !ok {
		return
	}
	dr.notePredecessorStopped(stoppedAt)
	dr.log(logger.PredecessorStopped, "InheritedLease", dr.inheritedUntil.Sub(now).String())
}

// checkEarlierLeaders notes when earlier leaders are found to stop.
func (dr *Director) checkEarlierLeaders(now time.Time) {
	if dr.earlierLeadersStop || dr.op.EarlierLeadersStopAt == nil || !now.Before(dr.inheritedUntil) {
		return
	}
	stopAt, ok := dr.op.EarlierLeadersStopAt()
	if !ok {
		return
	}
	dr.earlierLeadersStop = true
	if until := stopAt.Add(dr.op.Limits.MaxLeaseTime()); until.Before(dr.earlierUntil) {
		dr.earlierUntil = until
	}
	dr.shortenInheritance(stopAt)
	dr.log(logger.EarlierLeadersDeposed, "InheritedLease", dr.inheritedUntil.Sub(now).String())
}

// checkLeadersBeforePredecessor notes when the leaders before the predecessor are found to stop. The predecessor may have been
// lost before it knew, or recorded, that.
func (dr *Director) checkLeadersBeforePredecessor(now time.Time) {
	if !dr.inheritanceKnown || dr.op.LeadersBeforePredecessorStopAt == nil || !now.Before(dr.inheritedUntil) {
		return
	}
	stopAt, ok := dr.op.LeadersBeforePredecessorStopAt()
	until := stopAt.Add(dr.op.Limits.MaxLeaseTime())
	if !ok || !until.Before(dr.earlierUntil) {
		return
	}
	dr.earlierUntil = until
	if dr.predecessorStopped {
		dr.shortenInheritance(dr.predecessorStoppedAt)
	}
	dr.log(logger.LeadersBeforeDeposed, "EarlierLease", until.Sub(now).String(), "InheritedLease", dr.inheritedUntil.Sub(now).String())
}

// checkElectorates notes when earlier leaders are found to have lost the quorums of their electorates.
func (dr *Director) checkElectorates(now time.Time) {
	last := len(dr.inheritedTerms) - 1
	if last < 0 || dr.op.LeaderStopsAt == nil || !now.Before(dr.inheritedUntil) {
		return
	}
	before := dr.inheritedUntil
	if until, ok := dr.leasesBeforePredecessorUntil(last); ok && until.Before(dr.earlierUntil) {
		dr.earlierUntil = until
	}
	if stopAt, ok := dr.termStopsAt(dr.inheritedTerms[last]); ok && (dr.predecessorStopsAt.IsZero() || stopAt.Before(dr.predecessorStopsAt)) {
		dr.predecessorStopsAt = stopAt
	}
	if !dr.predecessorStopsAt.IsZero() {
		dr.shortenInheritance(dr.predecessorStopsAt)
	}
	if dr.inheritedUntil.Before(before) {
		dr.log(logger.EarlierQuorumsLost, "InheritedLease", dr.inheritedUntil.Sub(now).String(), "Terms", len(dr.inheritedTerms))
	}
}

// leasesBeforePredecessorUntil returns when the leases of leaders before the predecessor, whose term has the given index, are
// over, and false while that is not known.
func (dr *Director) leasesBeforePredecessorUntil(last int) (time.Time, bool) {
	var until time.Time
	known := false
	for ix, ft := range dr.inheritedTerms[:last+1] {
		if ft.InheritedUntil != keeper.MaxClock {
			recorded := dr.journalTime(ft.InheritedUntil)
			if !known || recorded.Before(until) {
				until, known = recorded, true
			}
		}
		if !known || ix == last {
			continue
		}
		stopAt, ok := dr.termStopsAt(ft)
		known = ok
		if end := stopAt.Add(dr.op.Limits.MaxLeaseTime()); end.After(until) {
			until = end
		}
	}
	return until, known
}

// termStopsAt returns when the leader of a term extends no leases any more, and false while that is not known.
func (dr *Director) termStopsAt(ft *keeper.TermFact) (time.Time, bool) {
	switch {
	case ft.Ended:
		return dr.journalTime(ft.Clock), true
	case ft.Electorate == nil:
		return time.Time{}, false
	}
	return dr.op.LeaderStopsAt(ft.Epoch, *ft.Electorate)
}

// mayExtendLeases reports whether this host may still extend leases.
func (dr *Director) mayExtendLeases() bool {
	return dr.op.MayExtendLeases == nil || dr.op.MayExtendLeases()
}

// restoreBound applies a fact to its worker.
func (dr *Director) restoreBound(ft *keeper.LeaseBoundedFact) {
	if wk := dr.workers[ft.Worker]; wk != nil {
		wk.lease = leaseRecord{bounded: true, journalUntil: ft.Until}
	}
}
