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
	// batchBytes keeps one append below the journal's segment of 512 KB.
	batchBytes = 400 << 10
	// firstRetry and longestRetry bound the pause after a failed append.
	firstRetry   = 100 * time.Millisecond
	longestRetry = 5 * time.Second
)

// op is one decision on its way to the journal.
type op struct {
	record *RecordMessage
	data   []byte
	// commit is called once the record is durable and applied. It sends the effect.
	commit func(now time.Time)
	// revert is called when the record was certainly not written. Nil means that the record is
	// written again until it is durable: it states a fact rather than a wish.
	revert func(err error)
}

// writer appends decisions in batches, one append at a time.
type writer struct {
	pending []*op
	// flying is the batch whose append is in progress or whose result is unknown. The batch is
	// appended unchanged until its result is known, because records may be applied twice.
	flying []*op
	// appending is set while the append of flying is in progress.
	appending bool
	// doubtful is set while an earlier append of flying has an unknown result. Such a batch must
	// not be reverted, whatever a later append of it returns.
	doubtful bool
	// before is the journal's position when the first append of flying began, began the time of
	// the last one.
	before  int64
	began   time.Time
	deposed bool
	// retryAt is the time before which nothing is appended after a failure; failing is set from the
	// first failure to the next success.
	retryAt time.Time
	failing bool
	backoff *backoff.ExponentialBackOff
	// lastContact is the beginning of the last successful append. Leases are renewed for at most
	// LeaderAutonomy from then on.
	lastContact time.Time
}

// decide adds a decision to the next batch.
func (sc *Scheduler) decide(rm *RecordMessage, commit func(time.Time), revert func(error)) {
	sc.writer.pending = append(sc.writer.pending, &op{record: rm, data: encode(rm), commit: commit, revert: revert})
}

// flush begins an append when none is in progress. Starts are decided only now, so that little of
// the time until start-by passes before their append.
func (sc *Scheduler) flush(now time.Time) {
	wr := &sc.writer
	if wr.appending || now.Before(wr.retryAt) {
		return
	}
	if len(wr.flying) == 0 {
		if !wr.failing {
			sc.decideStarts(now)
		}
		sc.beat(now)
		wr.takeBatch()
	}
	if len(wr.flying) > 0 {
		sc.append()
	}
}

// beat adds an empty record when nothing was appended for long. It proves leadership, and after an
// outage it finds that the store is back.
func (sc *Scheduler) beat(now time.Time) {
	wr := &sc.writer
	if len(wr.pending) == 0 && (wr.failing || now.Sub(wr.lastContact) >= beatInterval) {
		rm := &RecordMessage{Record: &RecordMessage_Beat{Beat: &BeatMessage{}}}
		sc.decide(rm, func(time.Time) {}, func(error) {})
	}
}

func (wr *writer) takeBatch() {
	size, n := 0, 0
	for n < len(wr.pending) && (n == 0 || size+len(wr.pending[n].data) <= batchBytes) {
		size += len(wr.pending[n].data)
		n++
	}
	wr.flying = wr.pending[:n:n]
	wr.pending = wr.pending[n:]
	if len(wr.pending) == 0 {
		wr.pending = nil
	}
}

func (sc *Scheduler) append() {
	wr := &sc.writer
	wr.appending = true
	wr.began = time.Now()
	if !wr.doubtful {
		wr.before = sc.opts.Journal.Position()
	}
	records := make([][]byte, len(wr.flying))
	size := 0
	for i, op := range wr.flying {
		records[i] = op.data
		size += len(op.data)
	}
	sc.mt.Add(meter.BatchAppends, 1)
	sc.mt.Add(meter.BatchRecordBytes, int64(size))
	sc.senders.Add(1)
	go func() {
		defer sc.senders.Done()
		ctx, cancel := context.WithTimeout(sc.ctx, appendTimeout)
		err := sc.opts.Journal.Append(ctx, records...)
		cancel()
		sc.mailbox.post(func() { sc.appended(err, time.Now()) })
	}()
}

func (sc *Scheduler) appended(err error, now time.Time) {
	wr := &sc.writer
	wr.appending = false
	switch {
	case err == nil:
		sc.committed(now)
	case errors.Is(err, ErrDeposed) || sc.deposedNow():
		wr.deposed = true
	case errors.Is(err, storer.ErrUnavailable) && !wr.doubtful:
		sc.pause(now)
		sc.notWritten(err)
	default:
		sc.pause(now)
		wr.doubtful = true
	}
}

func (sc *Scheduler) deposedNow() bool {
	select {
	case <-sc.opts.Journal.Deposed():
		return true
	default:
		return false
	}
}

func (sc *Scheduler) committed(now time.Time) {
	wr := &sc.writer
	if wr.failing {
		logger.Log(sc.lg, logger.JournalRestored, "DataCentre", sc.opts.DataCentre)
		sc.dirty = true
	}
	wr.failing, wr.doubtful, wr.backoff, wr.retryAt = false, false, nil, time.Time{}
	wr.lastContact = wr.began
	batch := wr.flying
	wr.flying = nil
	for _, op := range batch {
		sc.ledger.apply(op.record, now)
		op.commit(now)
	}
}

// notWritten reverts wishes and keeps facts for the next append, in order.
func (sc *Scheduler) notWritten(err error) {
	wr := &sc.writer
	batch := wr.flying
	wr.flying = nil
	var kept []*op
	for _, op := range batch {
		if op.revert == nil {
			kept = append(kept, op)
			continue
		}
		op.revert(err)
	}
	wr.pending = append(kept, wr.pending...)
}

// pause sets the jittered time of the next append after a failure.
func (sc *Scheduler) pause(now time.Time) {
	wr := &sc.writer
	if !wr.failing {
		logger.Log(sc.lg, logger.JournalOutage, "DataCentre", sc.opts.DataCentre)
		wr.backoff = backoff.NewExponentialBackOff()
		wr.backoff.InitialInterval, wr.backoff.MaxInterval = firstRetry, longestRetry
		wr.backoff.Reset()
	}
	wr.failing = true
	wr.retryAt = now.Add(wr.backoff.NextBackOff() + rand.N(firstRetry))
}

// refused returns the error for callers while the journal fails, nil otherwise.
func (wr *writer) refused() error {
	if wr.failing {
		return storer.ErrUnavailable
	}
	return nil
}
