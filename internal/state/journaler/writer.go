package journaler

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/cenkalti/backoff/v5"
	"google.golang.org/protobuf/proto"

	"github.com/currantrouter/currantrouter/internal/process/pauser"
	"github.com/currantrouter/currantrouter/internal/provider/storer"
	"github.com/currantrouter/currantrouter/internal/telemetry/logger"
	"github.com/currantrouter/currantrouter/internal/telemetry/meter"
)

// initialBackOff is the mean back-off before the first retry of a call to the store.
const initialBackOff = 25 * time.Millisecond

// request is a queued append, or a barrier function that runs while no write is in flight.
type request struct {
	records []*StoredRecord
	// size is an upper bound of the encoded size of records in bytes.
	size int
	// apply is called in journal order once the records are durable. It may be nil.
	apply func(position int64)
	// barrier is nil for an append. A barrier has no records.
	barrier func()
	// result receives the outcome at most once. Its capacity is 1.
	result chan error
}

// Append writes records and returns once they are durable. Errors: ErrDeposed, ErrUnavailable and
// ErrTooLarge (not written), ErrResultUnknown. If the context ends first, the error is
// ErrUnavailable if the records were still queued and ErrResultUnknown otherwise.
func (jn *Journal) Append(ctx context.Context, recs ...Record) error {
	return jn.AppendAndApply(ctx, nil, recs...)
}

// AppendAndApply is like Append, but calls apply with the position of the records once they are
// durable, before it returns and before Position includes them. Functions are applied one at a time
// in journal order. They are also applied if the records are found to be durable after
// AppendAndApply has returned ErrResultUnknown. A state machine that is changed only by apply
// functions therefore always matches the journal. The function must not call the journal.
func (jn *Journal) AppendAndApply(ctx context.Context, apply func(position int64), recs ...Record) error {
	stored, size := encodeRecords(recs)
	if size > MaxAppendBytes {
		return fmt.Errorf("%d bytes in one append: %w", size, ErrTooLarge)
	}
	return jn.submit(ctx, &request{records: stored, size: size, apply: apply, result: make(chan error, 1)})
}

// Batches splits records into lists that fit into one append each, in the same order. A record that
// is too large for an append has a list of its own.
func Batches(recs []Record) [][]Record {
	var batches [][]Record
	first, size := 0, 0
	for ix, rec := range recs {
		next := maxRecordSize(rec)
		if ix > first && size+next > MaxAppendBytes {
			batches = append(batches, recs[first:ix])
			first, size = ix, 0
		}
		size += next
	}
	if first < len(recs) {
		batches = append(batches, recs[first:])
	}
	return batches
}

// Barrier calls a function with the last position once all earlier appends are applied and while no
// append is in flight. A copy of the applied state made by the function is a snapshot at exactly this
// position. The function must return quickly because it blocks appends. Errors: ErrDeposed and
// ErrUnavailable (not called), and ErrResultUnknown if the context ended while the function ran.
func (jn *Journal) Barrier(ctx context.Context, run func(position int64)) error {
	rq := &request{result: make(chan error, 1)}
	rq.barrier = func() {
		run(jn.Position())
		rq.result <- nil
	}
	return jn.submit(ctx, rq)
}

// Check reads the end of the journal to detect a later epoch. On success it advances LastConfirmed.
// Errors: ErrDeposed, ErrUnavailable.
func (jn *Journal) Check(ctx context.Context) error {
	rq := &request{result: make(chan error, 1)}
	rq.barrier = func() { rq.result <- jn.check() }
	err := jn.submit(ctx, rq)
	if errors.Is(err, ErrResultUnknown) {
		return fmt.Errorf("%w: %w", ErrUnavailable, ctx.Err())
	}
	return err
}

func (jn *Journal) check() error {
	start := time.Now()
	_, err := jn.get(jn.keys.segment(jn.Position() + 1))
	switch {
	case errors.Is(err, storer.ErrNotFound):
		jn.confirm(start)
		return nil
	case err != nil:
		return fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	jn.depose()
	return ErrDeposed
}

func (jn *Journal) submit(ctx context.Context, rq *request) error {
	if err := jn.enqueue(rq); err != nil {
		return err
	}
	select {
	case err := <-rq.result:
		return err
	case <-ctx.Done():
	}
	if jn.withdraw(rq) {
		return fmt.Errorf("%w: %w", ErrUnavailable, ctx.Err())
	}
	select {
	case err := <-rq.result:
		return err
	default:
		return fmt.Errorf("%w: %w", ErrResultUnknown, ctx.Err())
	}
}

func (jn *Journal) enqueue(rq *request) error {
	jn.mu.Lock()
	defer jn.mu.Unlock()
	switch {
	case jn.isDeposed():
		return ErrDeposed
	case jn.closed:
		return fmt.Errorf("%w: journal was closed", ErrUnavailable)
	case jn.unresolved || time.Now().Before(jn.suspendedUntil):
		return fmt.Errorf("%w: store does not answer", ErrUnavailable)
	}
	jn.queue = append(jn.queue, rq)
	select {
	case jn.wake <- struct{}{}:
	default:
	}
	return nil
}

// withdraw removes a request from the queue. It returns false if the writer has already taken it.
func (jn *Journal) withdraw(rq *request) bool {
	jn.mu.Lock()
	defer jn.mu.Unlock()
	ix := slices.Index(jn.queue, rq)
	if ix < 0 {
		return false
	}
	jn.queue = slices.Delete(jn.queue, ix, ix+1)
	return true
}

// writeLoop processes the queue until the journal is closed or deposed.
func (jn *Journal) writeLoop() {
	defer jn.goroutines.Done()
	var lastWrite time.Time
	for {
		select {
		case <-jn.ctx.Done():
			jn.failQueue(fmt.Errorf("%w: journal was closed", ErrUnavailable))
			return
		case <-jn.deposed:
			jn.failQueue(ErrDeposed)
			return
		case <-jn.wake:
		}
		lastWrite = jn.drain(lastWrite)
	}
}

// drain processes requests until the queue is empty. It returns the start of the last write.
func (jn *Journal) drain(lastWrite time.Time) time.Time {
	for !jn.isDeposed() && jn.ctx.Err() == nil {
		if rq := jn.takeBarrier(); rq != nil {
			rq.barrier()
			continue
		}
		if !jn.hasQueued() {
			return lastWrite
		}
		if !jn.sleep(time.Until(lastWrite.Add(time.Duration(jn.writeInterval.Load())))) {
			return lastWrite
		}
		batch := jn.takeBatch()
		if len(batch) == 0 {
			continue
		}
		lastWrite = time.Now()
		jn.write(batch)
	}
	// writeLoop fails the requests that are left.
	return lastWrite
}

func (jn *Journal) hasQueued() bool {
	jn.mu.Lock()
	defer jn.mu.Unlock()
	return len(jn.queue) > 0
}

// takeBarrier takes the first request if it is a barrier, and returns nil otherwise.
func (jn *Journal) takeBarrier() *request {
	jn.mu.Lock()
	defer jn.mu.Unlock()
	if len(jn.queue) == 0 || jn.queue[0].barrier == nil {
		return nil
	}
	rq := jn.queue[0]
	jn.queue = jn.queue[1:]
	return rq
}

// takeBatch takes the appends before the next barrier that fit into one segment.
func (jn *Journal) takeBatch() []*request {
	jn.mu.Lock()
	defer jn.mu.Unlock()
	size, count := 0, 0
	for count < len(jn.queue) && jn.queue[count].barrier == nil {
		size += jn.queue[count].size
		if size > MaxAppendBytes {
			break
		}
		count++
	}
	batch := jn.queue[:count:count]
	jn.queue = jn.queue[count:]
	return batch
}

// failQueue fails all queued requests. None of them has been written.
func (jn *Journal) failQueue(err error) {
	jn.mu.Lock()
	defer jn.mu.Unlock()
	for _, rq := range jn.queue {
		rq.result <- err
	}
	jn.queue = nil
}

// write appends one batch as the next segment and sends the result to its callers.
func (jn *Journal) write(batch []*request) {
	sg := &StoredSegment{
		Position: jn.Position() + 1, Epoch: int64(jn.epoch), Host: string(jn.host),
		Boot: string(jn.boot), Operation: lastOperation.Add(1),
	}
	for _, rq := range batch {
		sg.Records = append(sg.Records, rq.records...)
	}
	sg.Records = compressRecords(sg.Records)
	value, err := proto.Marshal(sg)
	if err != nil {
		sendResult(batch, fmt.Errorf("%w: %w", ErrUnavailable, err))
		return
	}
	wr := &segmentWrite{journal: jn, batch: batch, segment: sg, value: value, start: time.Now()}
	wr.finish(wr.resolve())
}

// segmentWrite is the write of one segment, including its retries.
type segmentWrite struct {
	journal *Journal
	batch   []*request
	segment *StoredSegment
	value   []byte
	start   time.Time
	// attemptStart is the start of the first attempt that may have written the segment, or else of the last
	// one. A later epoch may have begun before a repetition that finds the segment.
	attemptStart time.Time
	// mayBeWritten is set once a call may have written the segment.
	mayBeWritten bool
	// reportedUnknown is set once the callers have received ErrResultUnknown.
	reportedUnknown bool
}

// resolve retries the write until its outcome is known. Retries write identical bytes because a
// delayed earlier call may still take effect.
func (wr *segmentWrite) resolve() error {
	jn := wr.journal
	bo := jn.options.newBackOff()
	for {
		err := wr.attempt()
		if err == nil || errors.Is(err, ErrDeposed) || errors.Is(err, storer.ErrTooLarge) {
			return err
		}
		if !wr.mayBeWritten && time.Since(wr.start) >= jn.options.RetryTimeout {
			return fmt.Errorf("%w: %w", ErrUnavailable, err)
		}
		if wr.mayBeWritten && !wr.reportedUnknown && time.Since(wr.start) >= jn.options.RetryTimeout {
			wr.reportUnknown(err)
		}
		jn.options.Meter.Add(meter.JournalRetries, 1)
		if !jn.sleep(bo.NextBackOff()) {
			return wr.closedError()
		}
	}
}

// attempt writes the segment once and returns nil if it is in the journal.
func (wr *segmentWrite) attempt() error {
	jn := wr.journal
	if !wr.mayBeWritten {
		wr.attemptStart = time.Now()
	}
	_, err := jn.put(jn.keys.segment(wr.segment.Position), wr.value, 0)
	switch {
	case err == nil || errors.Is(err, storer.ErrUnavailable) || errors.Is(err, storer.ErrTooLarge):
		return err
	case errors.Is(err, storer.ErrConflict):
		wr.mayBeWritten = true
		return wr.readBack()
	}
	wr.mayBeWritten = true
	jn.options.Meter.Add(meter.JournalAnswersLost, 1)
	if rerr := wr.readBack(); !errors.Is(rerr, storer.ErrNotFound) {
		return rerr
	}
	return err
}

// readBack returns nil if the segment at the position is this write and ErrDeposed if it is
// another's.
func (wr *segmentWrite) readBack() error {
	jn := wr.journal
	en, err := jn.get(jn.keys.segment(wr.segment.Position))
	if err != nil {
		return err
	}
	found, err := decodeSegment(en, wr.segment.Position)
	if err != nil {
		// The position is taken by something that is not this write.
		return fmt.Errorf("%w: %w", ErrDeposed, err)
	}
	if found.isWriteOf(jn.boot, wr.segment.Operation) {
		return nil
	}
	return fmt.Errorf("%w: epoch %d of host %s", ErrDeposed, found.Epoch, found.Host)
}

// reportUnknown returns ErrResultUnknown to the callers while the write is still being resolved.
func (wr *segmentWrite) reportUnknown(cause error) {
	jn := wr.journal
	wr.reportedUnknown = true
	sendResult(wr.batch, fmt.Errorf("%w: %v", ErrResultUnknown, cause))
	logger.Log(jn.options.Logger, logger.JournalUnresolved, "DataCentre", jn.keys.dc, "Position", wr.segment.Position, "Error", cause.Error())
	jn.setUnresolved(true)
	jn.failQueue(fmt.Errorf("%w: store does not answer", ErrUnavailable))
}

// closedError returns the result of a write that was interrupted by Close.
func (wr *segmentWrite) closedError() error {
	if wr.mayBeWritten {
		return fmt.Errorf("%w: journal was closed", ErrResultUnknown)
	}
	return fmt.Errorf("%w: journal was closed", ErrUnavailable)
}

// finish handles the outcome of the write and sends it to the callers unless they already received
// ErrResultUnknown.
func (wr *segmentWrite) finish(err error) {
	jn := wr.journal
	switch {
	case err == nil:
		wr.succeed()
	case errors.Is(err, ErrDeposed):
		jn.depose()
	case errors.Is(err, storer.ErrTooLarge):
		err = fmt.Errorf("%w: %w", ErrTooLarge, err)
	case errors.Is(err, ErrUnavailable) && jn.ctx.Err() == nil:
		jn.suspend(err)
		jn.failQueue(err)
	}
	if wr.reportedUnknown {
		jn.setUnresolved(false)
		return
	}
	sendResult(wr.batch, err)
}

func (wr *segmentWrite) succeed() {
	jn, records := wr.journal, 0
	for _, rq := range wr.batch {
		records += len(rq.records)
		if rq.apply != nil {
			rq.apply(wr.segment.Position)
		}
	}
	jn.position.Store(wr.segment.Position)
	jn.confirm(wr.attemptStart)
	jn.endOutage()
	jn.options.Meter.Add(meter.JournalSegments, 1)
	jn.options.Meter.Add(meter.JournalRecords, int64(records))
}

func sendResult(batch []*request, err error) {
	for _, rq := range batch {
		rq.result <- err
	}
}

func (jn *Journal) setUnresolved(on bool) {
	jn.mu.Lock()
	defer jn.mu.Unlock()
	jn.unresolved = on
}

// suspend refuses appends for a jittered, exponentially growing time. Callers fail fast during an
// outage, and the journals of all data centres do not retry at the same moment afterwards.
func (jn *Journal) suspend(cause error) {
	jn.mu.Lock()
	defer jn.mu.Unlock()
	if jn.outageBackOff == nil {
		jn.outageBackOff = jn.options.newBackOff()
		jn.outageBackOff.InitialInterval = jn.options.RetryTimeout
		jn.outageBackOff.Reset()
	}
	jn.suspendedUntil = time.Now().Add(jn.outageBackOff.NextBackOff())
	jn.options.Meter.Add(meter.JournalOutages, 1)
	logger.Log(jn.options.Logger, logger.JournalUnavailable, "DataCentre", jn.keys.dc, "Error", cause.Error())
}

func (jn *Journal) endOutage() {
	jn.mu.Lock()
	defer jn.mu.Unlock()
	if jn.outageBackOff == nil {
		return
	}
	jn.outageBackOff = nil
	jn.suspendedUntil = time.Time{}
	logger.Log(jn.options.Logger, logger.JournalAvailable, "DataCentre", jn.keys.dc)
}

// confirm advances the confirmed time to the start of a successful call.
func (jn *Journal) confirm(start time.Time) {
	jn.mu.Lock()
	defer jn.mu.Unlock()
	if start.After(jn.confirmed) {
		jn.confirmed = start
	}
}

func (jn *Journal) depose() {
	jn.deposedOnce.Do(func() {
		close(jn.deposed)
		logger.Log(jn.options.Logger, logger.JournalDeposed, "DataCentre", jn.keys.dc, "Epoch", jn.epoch)
	})
}

func (jn *Journal) isDeposed() bool {
	select {
	case <-jn.deposed:
		return true
	default:
		return false
	}
}

// sleep waits for the duration. It returns false if the journal is closed meanwhile.
func (jn *Journal) sleep(dur time.Duration) bool { return pauser.Sleep(jn.ctx, dur) }

func (op Options) newBackOff() *backoff.ExponentialBackOff {
	bo := backoff.NewExponentialBackOff()
	bo.InitialInterval = initialBackOff
	bo.MaxInterval = op.MaxBackOff
	bo.Reset()
	return bo
}

func (jn *Journal) get(key string) (storer.Entry, error) {
	ctx, cancel := context.WithTimeout(jn.ctx, jn.options.CallTimeout)
	defer cancel()
	return jn.store.Get(ctx, key)
}

func (jn *Journal) put(key string, value []byte, expected int64) (int64, error) {
	ctx, cancel := context.WithTimeout(jn.ctx, jn.options.CallTimeout)
	defer cancel()
	return jn.store.Put(ctx, key, value, expected)
}
