package scheduler

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/currantrouter/currantrouter/internal/provider/storer"
	"github.com/currantrouter/currantrouter/internal/telemetry/logger"
	"github.com/currantrouter/currantrouter/internal/telemetry/meter"
)

const (
	// maxBatchBytes keeps one append below the journal's segment size of 512 KB.
	maxBatchBytes = 400 << 10
	// minAppendRetry is the first delay after a failed append, and the bound of the jitter that is
	// added.
	minAppendRetry = 100 * time.Millisecond
	// maxAppendRetry bounds the delay after repeated failures, before jitter.
	maxAppendRetry = 5 * time.Second
)

// proposal is a decision whose record is not yet durable.
type proposal struct {
	record *RecordMessage
	data   []byte
	// commit is called once the record is durable and applied. It carries out the decision.
	commit func(now time.Time)
	// revert is called when the record was certainly not written. If it is nil, the record is
	// appended again until it is durable, because it records an observed fact.
	revert func(err error)
}

// writer appends proposals in batches, one append at a time.
type writer struct {
	// pending holds the proposals of later batches, in order.
	pending []*proposal
	// inFlight is the batch whose append is in progress or whose result is unknown. It is appended
	// again unchanged until its result is known, which is safe because records are idempotent.
	inFlight []*proposal
	// appending is set while the append of inFlight is in progress.
	appending bool
	// resultUnknown is set while an earlier append of inFlight has an unknown result. The batch
	// must then not be reverted, whatever a later append returns.
	resultUnknown bool
	// positionBefore is the journal's position before the first append of inFlight.
	positionBefore int64
	// appendBegan is the time at which the last append began.
	appendBegan time.Time
	deposed     bool
	// retryAt is the time before which nothing is appended after a failure.
	retryAt time.Time
	// failing is set from the first failure to the next success.
	failing bool
	backoff *backoff.ExponentialBackOff
	// lastContact is the time at which the last successful append began. Leases are renewed for at
	// most LeaderAutonomy after it.
	lastContact time.Time
}

// propose adds a record to the next batch.
func (sc *Scheduler) propose(rm *RecordMessage, commit func(time.Time), revert func(error)) {
	sc.writer.pending = append(sc.writer.pending, &proposal{record: rm, data: encode(rm), commit: commit, revert: revert})
}

// flush begins an append when none is in progress. It starts tasks right before, so that little of
// maxStartDelay passes before the append.
func (sc *Scheduler) flush(now time.Time) {
	wr := &sc.writer
	if wr.appending || now.Before(wr.retryAt) {
		return
	}
	if len(wr.inFlight) == 0 {
		if !wr.failing {
			sc.startTasks(now)
		}
		sc.recordLeases(now)
		sc.proposeHeartbeat(now)
		wr.takeBatch()
	}
	if len(wr.inFlight) > 0 {
		sc.appendInFlight()
	}
}

// proposeHeartbeat proposes an empty record when nothing was appended for heartbeatInterval, which
// confirms the leadership, or after a failure, which detects that the store is available again.
func (sc *Scheduler) proposeHeartbeat(now time.Time) {
	wr := &sc.writer
	if len(wr.pending) == 0 && (wr.failing || now.Sub(wr.lastContact) >= heartbeatInterval) {
		rm := &RecordMessage{Record: &RecordMessage_Beat{Beat: &BeatMessage{}}}
		sc.propose(rm, func(time.Time) {}, func(error) {})
	}
}

// takeBatch moves pending proposals of up to maxBatchBytes, at least one, to inFlight.
func (wr *writer) takeBatch() {
	size, n := 0, 0
	for n < len(wr.pending) && (n == 0 || size+len(wr.pending[n].data) <= maxBatchBytes) {
		size += len(wr.pending[n].data)
		n++
	}
	wr.inFlight = wr.pending[:n:n]
	wr.pending = wr.pending[n:]
	if len(wr.pending) == 0 {
		wr.pending = nil
	}
}

func (sc *Scheduler) appendInFlight() {
	wr := &sc.writer
	wr.appending = true
	wr.appendBegan = time.Now()
	if !wr.resultUnknown {
		wr.positionBefore = sc.opts.Journal.Position()
	}
	records := make([][]byte, len(wr.inFlight))
	size := 0
	for i, pr := range wr.inFlight {
		records[i] = pr.data
		size += len(pr.data)
	}
	sc.mt.Add(meter.BatchAppends, 1)
	sc.mt.Add(meter.BatchRecordBytes, int64(size))
	sc.sends.Add(1)
	go func() {
		defer sc.sends.Done()
		ctx, cancel := context.WithTimeout(sc.ctx, appendTimeout)
		err := sc.opts.Journal.Append(ctx, records...)
		cancel()
		sc.mailbox.post(func() { sc.handleAppendResult(err, time.Now()) })
	}()
}

func (sc *Scheduler) handleAppendResult(err error, now time.Time) {
	wr := &sc.writer
	wr.appending = false
	switch {
	case err == nil:
		sc.commitBatch(now)
	case errors.Is(err, ErrDeposed) || sc.deposed():
		wr.deposed = true
	case errors.Is(err, storer.ErrUnavailable) && !wr.resultUnknown:
		sc.backOff(now)
		sc.revertBatch(err)
	default:
		sc.backOff(now)
		wr.resultUnknown = true
	}
}

func (sc *Scheduler) deposed() bool {
	select {
	case <-sc.opts.Journal.Deposed():
		return true
	default:
		return false
	}
}

func (sc *Scheduler) commitBatch(now time.Time) {
	wr := &sc.writer
	if wr.failing {
		logger.Log(sc.lg, logger.JournalRestored, "DataCentre", sc.opts.DataCentre)
		sc.roundNeeded = true
	}
	wr.failing, wr.resultUnknown, wr.backoff, wr.retryAt = false, false, nil, time.Time{}
	wr.lastContact = wr.appendBegan
	batch := wr.inFlight
	wr.inFlight = nil
	for _, pr := range batch {
		sc.state.apply(pr.record, now)
		pr.commit(now)
	}
}

// revertBatch reverts the proposals of the batch that can be reverted and keeps the others, in
// order, for the next append.
func (sc *Scheduler) revertBatch(err error) {
	wr := &sc.writer
	batch := wr.inFlight
	wr.inFlight = nil
	var kept []*proposal
	for _, pr := range batch {
		if pr.revert == nil {
			kept = append(kept, pr)
			continue
		}
		pr.revert(err)
	}
	wr.pending = append(kept, wr.pending...)
}

// backOff schedules the next append after a failure, with exponential backoff and jitter.
func (sc *Scheduler) backOff(now time.Time) {
	wr := &sc.writer
	if !wr.failing {
		logger.Log(sc.lg, logger.JournalOutage, "DataCentre", sc.opts.DataCentre)
		wr.backoff = backoff.NewExponentialBackOff()
		wr.backoff.InitialInterval, wr.backoff.MaxInterval = minAppendRetry, maxAppendRetry
		wr.backoff.Reset()
	}
	wr.failing = true
	wr.retryAt = now.Add(wr.backoff.NextBackOff() + rand.N(minAppendRetry))
}

// unavailableError returns the error for callers' changes while appends fail, nil otherwise.
func (wr *writer) unavailableError() error {
	if wr.failing {
		return storer.ErrUnavailable
	}
	return nil
}
