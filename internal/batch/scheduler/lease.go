package scheduler

import (
	"context"
	"iter"
	"maps"
	"slices"
	"time"

	"github.com/currantrouter/currantrouter/internal/fleet/modeler"
	"github.com/currantrouter/currantrouter/internal/telemetry/logger"
)

const (
	// clockRecordInterval is the time between two records of the journal's clock while a recorded end of a lease is
	// ahead. The next leader waits for up to this time, and the time without a leader, longer.
	clockRecordInterval = time.Second
	// maxBoundContactAge is how long ago the last contact with the journal may be when the end of a lease is recorded.
	// A leader that has lost worker and store together would otherwise have to wait for the store before it renews
	// the lease of the returned worker.
	maxBoundContactAge = 2 * time.Second
	// maxBoundsPerAppend bounds the ends of leases in one append, of some 60 bytes each, so that they fit into it
	// together with the starts of a round.
	maxBoundsPerAppend = 2000
	// recordEndTimeout bounds the record of the end of a term.
	recordEndTimeout = time.Second
)

// leaseRecords is what the journal says of leases, and what of it is being recorded.
type leaseRecords struct {
	// clockStart is what the journal's clock showed when the epoch began; see TermMessage.
	clockStart time.Duration
	// known is set if the records of the last epoch say what its leader knew of leases. A version that does not know
	// these records renews bounded leases.
	known bool
	// predecessorUntil is when all leases of the last leader are over, earlierUntil that of the leaders before it.
	predecessorUntil, earlierUntil time.Time
	predecessorStopped             bool
	// predecessorTerm is the length of the leases that the last leader granted. Operators may change it.
	predecessorTerm time.Duration
	// bounds has the workers on which no attempt may be started or renewed, because the journal may have an end of
	// their leases.
	bounds map[modeler.WorkerName]*leaseBound
	// boundsDue has the ends of leases that the next append records.
	boundsDue map[modeler.WorkerName]time.Time
	// termProposed is set once the first record of the term was proposed, termRecorded once it is durable.
	termProposed, termRecorded bool
	// recordingClock is set while a later record of the term is proposed.
	recordingClock bool
	// clockRecordedAt is when the last record of the term was made, recordedUntil its end of inherited leases.
	clockRecordedAt, recordedUntil time.Time
}

// leaseBound is the end of the leases on a worker.
type leaseBound struct {
	until time.Time
	// changing is set while a record of the worker is not durable. No two are proposed together, so that the
	// journal has them in their order.
	changing bool
}

// leaseTime returns the longest time from the grant of a lease of a length until it is over.
func leaseTime(term time.Duration) time.Duration { return term + modeler.DriftAllowance(term) }

// inheritLeases determines from the recovered records when the leases of earlier leaders are over. Without a record of
// the last epoch, nothing is known of the leases that its leader granted.
func (sc *Scheduler) inheritLeases() {
	lr, tm := &sc.leases, sc.state.term
	lr.clockStart = time.Duration(tm.GetClock()) * time.Millisecond
	if sc.opts.Epoch <= 1 {
		lr.known, lr.predecessorStopped = true, true
		return
	}
	lr.known = modeler.Epoch(tm.GetEpoch()) == sc.opts.Epoch-1
	lr.predecessorTerm = sc.opts.LeaseTerm
	if lr.known {
		lr.predecessorTerm = max(lr.predecessorTerm, time.Duration(tm.GetLeaseTerm())*time.Millisecond)
	}
	autonomy := sc.opts.LeaderAutonomy + modeler.DriftAllowance(sc.opts.LeaderAutonomy)
	lr.predecessorUntil = sc.predecessorLeasesOver(sc.epochBegan.Add(autonomy))
	if !lr.known {
		clear(sc.state.leaseBounds)
		if sc.opts.Epoch > 2 {
			// An earlier leader may reach workers that the last one did not. Its last contact with the journal
			// was before this epoch.
			lr.earlierUntil = lr.predecessorUntil
		}
		return
	}
	lr.earlierUntil = sc.journalTime(time.Duration(tm.GetInheritedUntil()) * time.Millisecond)
	if tm.GetEnded() {
		lr.predecessorStopped = true
		lr.predecessorUntil = sc.predecessorLeasesOver(sc.epochBegan)
	}
	for name, until := range sc.state.leaseBounds {
		lr.bounds[name] = &leaseBound{until: sc.journalTime(until)}
	}
}

// predecessorLeasesOver returns when the leases of the last leader are over if it grants none after a time.
func (sc *Scheduler) predecessorLeasesOver(stopped time.Time) time.Time {
	// A renewal that it sent just before may still arrive.
	return stopped.Add(commandTimeout + leaseTime(sc.leases.predecessorTerm))
}

// checkPredecessor notes when the last leader is found to have stopped.
func (sc *Scheduler) checkPredecessor(now time.Time) {
	lr := &sc.leases
	if lr.predecessorStopped || !sc.opts.PredecessorStopped() {
		return
	}
	lr.predecessorStopped = true
	lr.predecessorUntil = earlier(lr.predecessorUntil, sc.predecessorLeasesOver(now))
	logger.Log(sc.lg, logger.PredecessorStopped, "InheritedLease", sc.inheritedUntil().Sub(now).String())
}

// inheritedUntil returns when the leases of all earlier leaders are over.
func (sc *Scheduler) inheritedUntil() time.Time {
	return later(sc.leases.predecessorUntil, sc.leases.earlierUntil)
}

// leaseEnd returns when the lease of an attempt is over on a worker that does not answer.
func (sc *Scheduler) leaseEnd(aa *activeAttempt) time.Time {
	end := aa.lastGrant.Add(leaseTime(sc.opts.LeaseTerm))
	if !aa.recovered {
		return end
	}
	inherited := sc.leases.predecessorUntil
	if aa.job.tasks[aa.no].epoch < sc.opts.Epoch-1 {
		// Only leaders from the epoch of the start on know the attempt.
		inherited = sc.inheritedUntil()
	}
	if !aa.inheritedBound.IsZero() {
		inherited = earlier(inherited, aa.inheritedBound)
	}
	return later(end, inherited)
}

// journalClock returns what the journal's clock shows at a time; see TermMessage.
func (sc *Scheduler) journalClock(at time.Time) time.Duration {
	return max(0, sc.leases.clockStart+at.Sub(sc.epochBegan))
}

// journalTime returns when the journal's clock shows a time.
func (sc *Scheduler) journalTime(clock time.Duration) time.Time {
	return sc.epochBegan.Add(clock - sc.leases.clockStart)
}

// bounded reports whether no attempt may be started or renewed on a worker, because the journal may have an end of its
// leases.
func (sc *Scheduler) bounded(name modeler.WorkerName) bool { return sc.leases.bounds[name] != nil }

// checkLeases determines which ends of leases are to be recorded, and releases those of workers that answer again.
func (sc *Scheduler) checkLeases(now time.Time) {
	lr := &sc.leases
	clear(lr.boundsDue)
	if !lr.termRecorded {
		return
	}
	silent := now.Sub(sc.epochBegan) > maxMissedReports*sc.reportInterval(len(sc.tickOrder))
	for _, ws := range sc.tickOrder {
		if ws.unresponsive || silent && !ws.reported {
			sc.checkBound(ws.worker.Name, maps.Values(ws.attempts), now)
		}
	}
	if silent && len(sc.tickOrder) > 0 {
		for name, aas := range sc.unlisted {
			sc.checkBound(name, slices.Values(aas), now)
		}
	}
	for name, lb := range lr.bounds {
		if !lb.changing && sc.mayRelease(name) {
			sc.releaseLease(name, lb)
		}
	}
}

// checkBound notes that the end of the leases on a worker that does not answer is to be recorded, unless the journal
// has one that is not much later.
func (sc *Scheduler) checkBound(name modeler.WorkerName, aas iter.Seq[*activeAttempt], now time.Time) {
	var end time.Time
	for aa := range aas {
		end = later(end, sc.leaseEnd(aa))
	}
	lb := sc.leases.bounds[name]
	recorded := lb != nil && (lb.changing || lb.until.Sub(end) <= clockRecordInterval)
	if end.After(now) && !recorded {
		sc.leases.boundsDue[name] = end
	}
}

// mayRelease reports whether the end of the leases on a worker is of no more use: the worker has answered, or nothing
// runs on it.
func (sc *Scheduler) mayRelease(name modeler.WorkerName) bool {
	ws, ok := sc.workers[name]
	if ok && ws.reported && !ws.unresponsive {
		return true
	}
	return (!ok || len(ws.attempts) == 0) && len(sc.unlisted[name]) == 0
}

// releaseLease records that leases on a worker may be granted again.
func (sc *Scheduler) releaseLease(name modeler.WorkerName, lb *leaseBound) {
	lb.changing = true
	rm := &RecordMessage{Record: &RecordMessage_LeaseRelease{LeaseRelease: &LeaseReleaseMessage{Worker: string(name)}}}
	sc.propose(rm, func(time.Time) { sc.dropBound(name) }, nil)
}

// dropBound allows leases on a worker again.
func (sc *Scheduler) dropBound(name modeler.WorkerName) {
	delete(sc.leases.bounds, name)
	if ws, ok := sc.workers[name]; ok {
		sc.updateUnschedulable(ws)
	}
}

// recordLeases proposes the records on leases that are due. It is called right before an append: a proposal that waits
// through an outage of the store would keep the leases of a returned worker from being renewed.
func (sc *Scheduler) recordLeases(now time.Time) {
	lr, wr := &sc.leases, &sc.writer
	if !lr.termProposed {
		lr.termProposed = true
		// The first record of a term precedes its other ones on leases.
		sc.proposeTerm(now, func() { lr.termRecorded = true }, nil)
		return
	}
	if !lr.termRecorded || wr.failing {
		return
	}
	fresh := now.Sub(wr.lastContact) <= maxBoundContactAge
	if !lr.recordingClock && (sc.clockRecordDue(now) || len(lr.boundsDue) > 0 && !fresh) {
		lr.recordingClock = true
		done := func() { lr.recordingClock = false }
		sc.proposeTerm(now, done, func(error) { done() })
	}
	if !fresh {
		return
	}
	proposed := 0
	for name, end := range lr.boundsDue {
		if proposed == maxBoundsPerAppend {
			break
		}
		proposed++
		delete(lr.boundsDue, name)
		sc.proposeBound(name, end)
	}
}

// clockRecordDue reports whether the next leader would wait for leases of earlier ones for longer than necessary
// without a new record of the term.
func (sc *Scheduler) clockRecordDue(now time.Time) bool {
	lr := &sc.leases
	inherited := sc.inheritedUntil()
	age := now.Sub(lr.clockRecordedAt)
	if !inherited.Equal(lr.recordedUntil) || age >= heartbeatInterval && inherited.After(lr.clockRecordedAt) {
		return true
	}
	if age < clockRecordInterval {
		return false
	}
	for _, lb := range lr.bounds {
		if lb.until.After(lr.clockRecordedAt) {
			return true
		}
	}
	return false
}

func (sc *Scheduler) proposeTerm(now time.Time, done func(), revert func(error)) {
	lr := &sc.leases
	lr.clockRecordedAt, lr.recordedUntil = now, sc.inheritedUntil()
	sc.propose(sc.termRecord(now, false), func(time.Time) { done() }, revert)
}

func (sc *Scheduler) termRecord(now time.Time, ended bool) *RecordMessage {
	lr := &sc.leases
	tm := &TermMessage{
		Epoch: int64(sc.opts.Epoch), Clock: sc.journalClock(now).Milliseconds(),
		InheritedUntil: roundUp(sc.journalClock(sc.inheritedUntil())), Ended: ended,
		// Later records must not void the bounds of this term.
		BoundsVoid: !lr.known && !lr.termRecorded,
		LeaseTerm:  sc.opts.LeaseTerm.Milliseconds(),
	}
	return &RecordMessage{Record: &RecordMessage_Term{Term: tm}}
}

// roundUp returns a duration in milliseconds, at least its length.
func roundUp(du time.Duration) int64 {
	return (du + time.Millisecond - 1).Milliseconds()
}

// proposeBound records the end of the leases on a worker. None is granted from now on.
func (sc *Scheduler) proposeBound(name modeler.WorkerName, end time.Time) {
	lr := &sc.leases
	before := lr.bounds[name]
	lb := &leaseBound{until: end, changing: true}
	lr.bounds[name] = lb
	sc.propose(sc.boundRecord(name, end),
		func(now time.Time) {
			lb.changing = false
			logger.Log(sc.lg, logger.LeaseBounded, "Worker", name, "LeaseLeft", end.Sub(now).String(), "Clock", sc.journalClock(now).String())
		},
		func(error) {
			if before != nil {
				lr.bounds[name] = before
				return
			}
			sc.dropBound(name)
		})
}

func (sc *Scheduler) boundRecord(name modeler.WorkerName, end time.Time) *RecordMessage {
	lm := &LeaseBoundMessage{Worker: string(name), Until: roundUp(sc.journalClock(end))}
	return &RecordMessage{Record: &RecordMessage_LeaseBound{LeaseBound: lm}}
}

// recordEnd records that the term is over, so that the next leader need not allow for renewals of this one. It is
// called when no command is in progress any more.
func (sc *Scheduler) recordEnd() {
	if sc.writer.deposed || sc.deposed() {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), recordEndTimeout)
	defer cancel()
	if err := sc.opts.Journal.Append(ctx, sc.endRecords(time.Now())...); err != nil {
		logger.Log(sc.lg, logger.TermEndNotRecorded, "Error", err.Error())
	}
}

// endRecords returns the records at the end of a term: the end, and the ends of the leases on workers that do not
// answer.
func (sc *Scheduler) endRecords(now time.Time) [][]byte {
	records := [][]byte{encode(sc.termRecord(now, true))}
	add := func(name modeler.WorkerName, aas iter.Seq[*activeAttempt]) {
		var end time.Time
		for aa := range aas {
			end = later(end, sc.leaseEnd(aa))
		}
		if !end.IsZero() && len(records) <= maxBoundsPerAppend {
			records = append(records, encode(sc.boundRecord(name, end)))
		}
	}
	for _, ws := range sc.tickOrder {
		if ws.unresponsive || !ws.reported {
			add(ws.worker.Name, maps.Values(ws.attempts))
		}
	}
	for name, aas := range sc.unlisted {
		add(name, slices.Values(aas))
	}
	return records
}
