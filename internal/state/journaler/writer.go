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

// initialBackOff is the mean pause before the first repetition of a call to the store.
const initialBackOff = 25 * time.Millisecond

// request is an append, or a function that is to run between two writes.
type request struct {
	records []*StoredRecord
	size    int
	// apply is called in journal order once the records are durable. It may be nil.
	apply func(position int64)
	// between is set instead of records.
	between func()
	// done has room for the result. It is sent at most once.
	done chan error
}

// Append writes records and returns once they are durable. Errors: ErrDeposed, ErrUnavailable and
// ErrTooLarge (not written), ErrResultUnknown. When the context ends first, the error is
// ErrUnavailable if the records were still queued, else ErrResultUnknown.
func (jn *Journal) Append(ctx context.Context, recs ...Record) error {
	return jn.AppendThen(ctx, nil, recs...)
}

// AppendThen is Append with a function that is called with the position of the records once they
// are durable, before AppendThen returns and before Position includes them. The functions are
// called one at a time in the order of the journal. A function is called also when the records
// turn out to be durable after AppendThen has returned ErrResultUnknown, so a state that is changed
// only by these functions equals the journal. It must not call the journal.
func (jn *Journal) AppendThen(ctx context.Context, apply func(position int64), recs ...Record) error {
	stored, size := encodeRecords(recs)
	if size > MaxAppendBytes {
		return fmt.Errorf("%d bytes in one append: %w", size, ErrTooLarge)
	}
	return jn.submit(ctx, &request{records: stored, size: size, apply: apply, done: make(chan error, 1)})
}

// Between calls a function between two writes with the last position, while no append is in
// flight. A copy of a state that is changed by the functions of AppendThen is then a snapshot up
// to exactly this position. The function must be short. Errors: ErrDeposed and ErrUnavailable (not
// called), and ErrResultUnknown when the context ended while the function ran.
func (jn *Journal) Between(ctx context.Context, run func(position int64)) error {
	rq := &request{done: make(chan error, 1)}
	rq.between = func() {
		run(jn.Position())
		rq.done <- nil
	}
	return jn.submit(ctx, rq)
}

// Check reads the end of the journal and so finds out whether a later epoch has begun. Errors:
// ErrDeposed, ErrUnavailable.
func (jn *Journal) Check(ctx context.Context) error {
	rq := &request{done: make(chan error, 1)}
	rq.between = func() { rq.done <- jn.check() }
	err := jn.submit(ctx, rq)
	if errors.Is(err, ErrResultUnknown) {
		return fmt.Errorf("%w: %w", ErrUnavailable, ctx.Err())
	}
	return err
}

func (jn *Journal) check() error {
	began := time.Now()
	_, err := jn.get(jn.keys.segment(jn.Position() + 1))
	switch {
	case errors.Is(err, storer.ErrNotFound):
		jn.confirm(began)
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
	case err := <-rq.done:
		return err
	case <-ctx.Done():
	}
	if jn.withdraw(rq) {
		return fmt.Errorf("%w: %w", ErrUnavailable, ctx.Err())
	}
	select {
	case err := <-rq.done:
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
	case jn.unresolved || time.Now().Before(jn.suspended):
		return fmt.Errorf("%w: store does not answer", ErrUnavailable)
	}
	jn.queue = append(jn.queue, rq)
	select {
	case jn.wake <- struct{}{}:
	default:
	}
	return nil
}

// withdraw removes a request that the writer has not taken.
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

// run writes the queue until the journal is closed or deposed.
func (jn *Journal) run() {
	defer jn.tasks.Done()
	var last time.Time
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
		last = jn.drain(last)
	}
}

// drain writes until the queue is empty, and returns the beginning of the last write.
func (jn *Journal) drain(last time.Time) time.Time {
	for !jn.isDeposed() && jn.ctx.Err() == nil {
		if rq := jn.takeBetween(); rq != nil {
			rq.between()
			continue
		}
		if !jn.pending() {
			return last
		}
		if !jn.pause(time.Until(last.Add(time.Duration(jn.interval.Load())))) {
			return last
		}
		batch := jn.takeBatch()
		if len(batch) == 0 {
			continue
		}
		last = time.Now()
		jn.write(batch)
	}
	// The signal was consumed, but run handles the end of the journal.
	return last
}

func (jn *Journal) pending() bool {
	jn.mu.Lock()
	defer jn.mu.Unlock()
	return len(jn.queue) > 0
}

// takeBetween takes the first request if it is a function to call.
func (jn *Journal) takeBetween() *request {
	jn.mu.Lock()
	defer jn.mu.Unlock()
	if len(jn.queue) == 0 || jn.queue[0].between == nil {
		return nil
	}
	rq := jn.queue[0]
	jn.queue = jn.queue[1:]
	return rq
}

// takeBatch takes the appends that fit into one segment.
func (jn *Journal) takeBatch() []*request {
	jn.mu.Lock()
	defer jn.mu.Unlock()
	size, count := 0, 0
	for count < len(jn.queue) && jn.queue[count].between == nil {
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

// failQueue refuses what is queued, none of which was written.
func (jn *Journal) failQueue(err error) {
	jn.mu.Lock()
	defer jn.mu.Unlock()
	for _, rq := range jn.queue {
		rq.done <- err
	}
	jn.queue = nil
}

// write puts one batch into the next segment and tells its callers.
func (jn *Journal) write(batch []*request) {
	sg := &StoredSegment{
		Position: jn.Position() + 1, Epoch: int64(jn.epoch), Host: string(jn.host),
		Boot: string(jn.boot), Operation: operations.Add(1),
	}
	for _, rq := range batch {
		sg.Records = append(sg.Records, rq.records...)
	}
	sg.Records = pack(sg.Records)
	value, err := proto.Marshal(sg)
	if err != nil {
		answer(batch, fmt.Errorf("%w: %w", ErrUnavailable, err))
		return
	}
	wr := &segmentWrite{journal: jn, batch: batch, segment: sg, value: value, began: time.Now()}
	wr.finish(wr.settle())
}

// segmentWrite is the write of one segment until its fate is known.
type segmentWrite struct {
	journal *Journal
	batch   []*request
	segment *StoredSegment
	value   []byte
	began   time.Time
	// tried is the beginning of the call that wrote the segment or found it.
	tried time.Time
	// uncertain is set once a call may have written the segment.
	uncertain bool
	// told is set once the callers have got ErrResultUnknown.
	told bool
}

// settle repeats the write until its fate is known. Only the same bytes are ever written again,
// because a delayed earlier call may still take effect.
func (wr *segmentWrite) settle() error {
	jn := wr.journal
	bo := jn.options.newBackOff()
	for {
		err := wr.attempt()
		if err == nil || errors.Is(err, ErrDeposed) || errors.Is(err, storer.ErrTooLarge) {
			return err
		}
		if !wr.uncertain && time.Since(wr.began) >= jn.options.RetryLimit {
			return fmt.Errorf("%w: %w", ErrUnavailable, err)
		}
		if wr.uncertain && !wr.told && time.Since(wr.began) >= jn.options.RetryLimit {
			wr.tell(err)
		}
		jn.options.Meter.Add(meter.JournalRetries, 1)
		if !jn.pause(bo.NextBackOff()) {
			return wr.interrupted()
		}
	}
}

// attempt writes the segment once and returns nil when it is in the journal.
func (wr *segmentWrite) attempt() error {
	jn := wr.journal
	wr.tried = time.Now()
	_, err := jn.put(jn.keys.segment(wr.segment.Position), wr.value, 0)
	switch {
	case err == nil || errors.Is(err, storer.ErrUnavailable) || errors.Is(err, storer.ErrTooLarge):
		return err
	case errors.Is(err, storer.ErrConflict):
		wr.uncertain = true
		return wr.readBack()
	}
	wr.uncertain = true
	jn.options.Meter.Add(meter.JournalAnswersLost, 1)
	if rerr := wr.readBack(); !errors.Is(rerr, storer.ErrNotFound) {
		return rerr
	}
	return err
}

// readBack returns nil when the position holds this write and ErrDeposed when it holds another.
func (wr *segmentWrite) readBack() error {
	jn := wr.journal
	en, err := jn.get(jn.keys.segment(wr.segment.Position))
	if err != nil {
		return err
	}
	found, err := decodeSegment(en, wr.segment.Position)
	if err != nil {
		return err
	}
	if found.wrote(jn.boot, wr.segment.Operation) {
		return nil
	}
	return fmt.Errorf("%w: epoch %d of host %s", ErrDeposed, found.Epoch, found.Host)
}

// tell gives the callers an error while the journal goes on to find out the fate of the write.
func (wr *segmentWrite) tell(cause error) {
	jn := wr.journal
	wr.told = true
	answer(wr.batch, fmt.Errorf("%w: %v", ErrResultUnknown, cause))
	logger.Log(jn.options.Logger, logger.JournalUnresolved, "DataCentre", jn.keys.dc, "Position", wr.segment.Position, "Error", cause.Error())
	jn.setUnresolved(true)
	jn.failQueue(fmt.Errorf("%w: store does not answer", ErrUnavailable))
}

// interrupted returns the result of a write that Close ended.
func (wr *segmentWrite) interrupted() error {
	if wr.uncertain {
		return fmt.Errorf("%w: journal was closed", ErrResultUnknown)
	}
	return fmt.Errorf("%w: journal was closed", ErrUnavailable)
}

// finish records the fate of the write and tells the callers.
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
	if wr.told {
		jn.setUnresolved(false)
		return
	}
	answer(wr.batch, err)
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
	jn.confirm(wr.tried)
	jn.endOutage()
	jn.options.Meter.Add(meter.JournalSegments, 1)
	jn.options.Meter.Add(meter.JournalRecords, int64(records))
}

func answer(batch []*request, err error) {
	for _, rq := range batch {
		rq.done <- err
	}
}

func (jn *Journal) setUnresolved(on bool) {
	jn.mu.Lock()
	defer jn.mu.Unlock()
	jn.unresolved = on
}

// suspend refuses appends for a jittered and growing time, so that callers learn of an outage at
// once and the journals of all data centres do not return at the same moment.
func (jn *Journal) suspend(cause error) {
	jn.mu.Lock()
	defer jn.mu.Unlock()
	if jn.outage == nil {
		jn.outage = jn.options.newBackOff()
		jn.outage.InitialInterval = jn.options.RetryLimit
		jn.outage.Reset()
	}
	jn.suspended = time.Now().Add(jn.outage.NextBackOff())
	jn.options.Meter.Add(meter.JournalOutages, 1)
	logger.Log(jn.options.Logger, logger.JournalUnavailable, "DataCentre", jn.keys.dc, "Error", cause.Error())
}

func (jn *Journal) endOutage() {
	jn.mu.Lock()
	defer jn.mu.Unlock()
	if jn.outage == nil {
		return
	}
	jn.outage = nil
	jn.suspended = time.Time{}
	logger.Log(jn.options.Logger, logger.JournalAvailable, "DataCentre", jn.keys.dc)
}

func (jn *Journal) confirm(began time.Time) {
	jn.mu.Lock()
	defer jn.mu.Unlock()
	if began.After(jn.confirmed) {
		jn.confirmed = began
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

// pause waits and returns false when the journal was closed.
func (jn *Journal) pause(dur time.Duration) bool { return pauser.Pause(jn.ctx, dur) }

func (op Options) newBackOff() *backoff.ExponentialBackOff {
	bo := backoff.NewExponentialBackOff()
	bo.InitialInterval = initialBackOff
	bo.MaxInterval = op.MaxBackOff
	bo.Reset()
	return bo
}

func (jn *Journal) get(key string) (storer.Entry, error) {
	ctx, cancel := context.WithTimeout(jn.ctx, jn.options.CallLimit)
	defer cancel()
	return jn.store.Get(ctx, key)
}

func (jn *Journal) put(key string, value []byte, expected int64) (int64, error) {
	ctx, cancel := context.WithTimeout(jn.ctx, jn.options.CallLimit)
	defer cancel()
	return jn.store.Put(ctx, key, value, expected)
}
