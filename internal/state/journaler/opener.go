package journaler

import (
	"context"
	"errors"
	"fmt"
	"time"

	"golang.org/x/sync/errgroup"
	"google.golang.org/protobuf/proto"

	"github.com/currantrouter/currantrouter/internal/fleet/modeler"
	"github.com/currantrouter/currantrouter/internal/process/pauser"
	"github.com/currantrouter/currantrouter/internal/provider/storer"
	"github.com/currantrouter/currantrouter/internal/telemetry/logger"
	"github.com/currantrouter/currantrouter/internal/telemetry/meter"
)

const (
	// maxListEntries bounds the entries that one List call returns.
	maxListEntries = 256
	// maxPartReads bounds the concurrent reads of snapshot parts.
	maxPartReads = 4
	// maxOpenAttempts bounds the attempts of a recovery whose snapshot is replaced concurrently.
	maxOpenAttempts = 100
)

// errSnapshotReplaced means that the snapshot was replaced while it was being read.
var errSnapshotReplaced = errors.New("snapshot was replaced during the recovery")

// Open begins the next epoch of a data centre's journal and returns the content of the journal.
// Failed calls are retried for RetryTimeout. Errors: ErrDeposed if another process began an epoch
// concurrently or Options.MayReplace forbids to replace the last one, ErrUnavailable, ErrResultUnknown
// if the epoch record may have been written, ErrDamaged, ErrTooLarge.
func Open(ctx context.Context, st Store, dc modeler.DataCentreName, host modeler.HostName, boot modeler.BootID, op Options) (*Journal, Recovery, error) {
	op = op.withDefaults()
	on := &opener{store: st, keys: keys{dc}, host: host, boot: boot, options: op}
	for range maxOpenAttempts {
		err := on.open(ctx)
		if errors.Is(err, errSnapshotReplaced) {
			continue
		}
		if err != nil {
			return nil, Recovery{}, err
		}
		rec := on.recovery(on.epochRecord)
		logger.Log(op.Logger, logger.EpochBegun, "DataCentre", dc, "Epoch", rec.Epoch, "Position", rec.Position, "Records", len(rec.Records))
		op.Meter.Add(meter.JournalEpochs, 1)
		return on.newJournal(rec), rec, nil
	}
	return nil, Recovery{}, fmt.Errorf("%w: %w", ErrUnavailable, errSnapshotReplaced)
}

// opener recovers a journal and appends an epoch record.
type opener struct {
	store   Store
	keys    keys
	host    modeler.HostName
	boot    modeler.BootID
	options Options

	snapshotPointer snapshotPointer
	snapshotRecords []Record
	segments        []*StoredSegment
	// damaged is the number of segments that were passed over. They are empty in segments.
	damaged int
	// epochRecord is the epoch record in the journal. It is nil before it was written.
	epochRecord *StoredSegment
	// epochWriteStart is the start of the first call that may have written epochRecord.
	epochWriteStart time.Time
	// appended is the end of that call.
	appended time.Time
}

// open reads the snapshot and the segments after it, and appends the epoch record. The epoch record
// prevents appends by earlier leaders. An unchanged snapshot pointer proves that no position that
// was read had been trimmed and rewritten.
func (on *opener) open(ctx context.Context) error {
	if err := on.readSnapshot(ctx); err != nil {
		return err
	}
	on.segments, on.damaged = nil, 0
	if err := on.readSegments(ctx); err != nil {
		return err
	}
	if on.epochRecord == nil {
		if err := on.appendEpochRecord(ctx); err != nil {
			return err
		}
	}
	return on.verifyPointer(ctx)
}

func (on *opener) readSnapshot(ctx context.Context) error {
	pt, err := on.readPointer(ctx)
	if err != nil {
		return err
	}
	on.snapshotPointer = pt
	values := make([][]Record, pt.parts)
	gr, gctx := errgroup.WithContext(ctx)
	gr.SetLimit(maxPartReads)
	for ix := range values {
		gr.Go(func() error {
			recs, err := on.readPart(gctx, ix)
			values[ix] = recs
			return err
		})
	}
	if err := gr.Wait(); err != nil {
		return on.checkReplaced(ctx, err)
	}
	on.snapshotRecords = nil
	for _, recs := range values {
		on.snapshotRecords = append(on.snapshotRecords, recs...)
	}
	return nil
}

func (on *opener) readPart(ctx context.Context, ix int) ([]Record, error) {
	key := on.keys.part(on.snapshotPointer, ix)
	en, err := on.get(ctx, key)
	if errors.Is(err, storer.ErrNotFound) {
		return nil, fmt.Errorf("reading snapshot part %s: %w: part is missing", key, ErrDamaged)
	}
	if err != nil {
		return nil, err
	}
	var sp StoredPart
	if err := proto.Unmarshal(en.Value, &sp); err != nil {
		return nil, fmt.Errorf("decoding snapshot part %s: %w: %w", key, ErrDamaged, err)
	}
	recs, err := DecompressRecords(sp.Records)
	if err != nil {
		return nil, fmt.Errorf("decompressing snapshot part %s: %w", key, err)
	}
	return decodeRecords(nil, recs), nil
}

// checkReplaced returns errSnapshotReplaced instead of ErrDamaged if the snapshot was replaced, since
// trimming deletes the parts of a replaced snapshot.
func (on *opener) checkReplaced(ctx context.Context, cause error) error {
	if !errors.Is(cause, ErrDamaged) {
		return cause
	}
	pt, err := on.readPointer(ctx)
	if err != nil {
		return err
	}
	if !pt.sameWrite(on.snapshotPointer) {
		return errSnapshotReplaced
	}
	return cause
}

func (on *opener) readPointer(ctx context.Context) (snapshotPointer, error) {
	en, err := on.get(ctx, on.keys.current())
	if errors.Is(err, storer.ErrNotFound) {
		return snapshotPointer{}, nil
	}
	if err != nil {
		return snapshotPointer{}, err
	}
	return decodePointer(en)
}

// nextPosition returns the first position that was not read yet.
func (on *opener) nextPosition() int64 {
	return on.snapshotPointer.position + 1 + int64(len(on.segments))
}

// readSegments reads up to the epoch record, or to the end of the journal if there is none. List
// may return stale results, so only a Get that finds no segment proves that the end was reached.
func (on *opener) readSegments(ctx context.Context) error {
	for !on.complete() {
		if err := on.readListed(ctx); err != nil {
			return err
		}
		if on.complete() {
			return nil
		}
		en, err := on.get(ctx, on.keys.segment(on.nextPosition()))
		if errors.Is(err, storer.ErrNotFound) {
			if on.epochRecord != nil {
				// A segment before the epoch record is missing only if it was trimmed.
				return errSnapshotReplaced
			}
			return nil
		}
		if err != nil {
			return err
		}
		if err := on.appendSegment(en); err != nil {
			return err
		}
	}
	return nil
}

func (on *opener) complete() bool {
	return on.epochRecord != nil && on.nextPosition() > on.epochRecord.Position
}

// readListed reads listed segments up to the first gap.
func (on *opener) readListed(ctx context.Context) error {
	for !on.complete() {
		ens, err := on.list(ctx, on.keys.segment(on.nextPosition()-1))
		if err != nil || len(ens) == 0 {
			return err
		}
		for _, en := range ens {
			if en.Key != on.keys.segment(on.nextPosition()) || on.complete() {
				return nil
			}
			if err := on.appendSegment(en); err != nil {
				return err
			}
		}
	}
	return nil
}

func (on *opener) appendSegment(en storer.Entry) error {
	sg, err := on.decodeOrSkip(en, on.nextPosition())
	if err != nil {
		return err
	}
	on.addSegment(sg)
	return nil
}

// decodeOrSkip returns the segment at a position, or, with Options.SkipDamaged, an empty one without
// an epoch instead of one that cannot be decoded.
func (on *opener) decodeOrSkip(en storer.Entry, pos int64) (*StoredSegment, error) {
	sg, err := decodeSegment(en, pos)
	if !errors.Is(err, ErrDamaged) || !on.options.SkipDamaged {
		return sg, err
	}
	on.options.Meter.Add(meter.EntriesInvalid, 1)
	logger.Log(on.options.Logger, logger.SegmentSkipped, "DataCentre", on.keys.dc, "Position", pos, "Error", err.Error())
	return &StoredSegment{Position: pos}, nil
}

func (on *opener) addSegment(sg *StoredSegment) {
	on.segments = append(on.segments, sg)
	if sg.Epoch == 0 {
		on.damaged++
	}
}

// appendEpochRecord appends the epoch record after the last segment. It first reads any segments that
// the current leader appends meanwhile.
func (on *opener) appendEpochRecord(ctx context.Context) error {
	for {
		if err := on.checkReplaceable(); err != nil {
			return err
		}
		sg := &StoredSegment{
			Position: on.nextPosition(), Epoch: on.highestEpoch() + 1, Host: string(on.host), Boot: string(on.boot),
			Operation: lastOperation.Add(1), BeginsEpoch: true,
		}
		if err := on.addFirstRecords(sg); err != nil {
			return err
		}
		found, err := on.create(ctx, sg)
		if err != nil {
			return err
		}
		if found.isWriteOf(on.boot, sg.Operation) {
			on.epochRecord = sg
			on.appended = time.Now()
			on.segments = append(on.segments, sg)
			return nil
		}
		known := len(on.segments)
		on.addSegment(found)
		if err := on.readSegments(ctx); err != nil {
			return err
		}
		if err := on.checkReplaceable(); err != nil {
			return err
		}
		if err := on.checkContention(on.segments[known:]); err != nil {
			return err
		}
	}
}

// addFirstRecords adds the records of Options.EpochRecords to an epoch record that is to be written.
func (on *opener) addFirstRecords(sg *StoredSegment) error {
	if on.options.EpochRecords == nil {
		return nil
	}
	stored, size := encodeRecords(on.options.EpochRecords(on.recovery(sg)))
	if size > MaxAppendBytes {
		return fmt.Errorf("%d bytes with an epoch record: %w", size, ErrTooLarge)
	}
	sg.Records = stored
	return nil
}

// checkReplaceable returns ErrDeposed if the leader of the last epoch must not be replaced.
func (on *opener) checkReplaceable() error {
	pr := on.previous()
	if on.options.MayReplace == nil || pr.host == "" || on.options.MayReplace(pr.epoch, pr.host, pr.boot) {
		return nil
	}
	return fmt.Errorf("%w: epoch %d of host %s is not to be replaced", ErrDeposed, pr.epoch, pr.host)
}

// checkContention returns ErrDeposed if another process began an epoch during this recovery.
func (on *opener) checkContention(segments []*StoredSegment) error {
	for _, sg := range segments {
		if sg.BeginsEpoch && sg.Boot != string(on.boot) {
			return fmt.Errorf("%w: epoch %d of host %s", ErrDeposed, sg.Epoch, sg.Host)
		}
	}
	return nil
}

// highestEpoch returns the highest epoch that can have begun: each damaged segment may have begun one
// after the highest that was read.
func (on *opener) highestEpoch() int64 {
	ep := int64(on.snapshotPointer.epoch)
	for _, sg := range on.segments {
		ep = max(ep, sg.Epoch)
	}
	return ep + int64(on.damaged)
}

// create writes a segment unless its position is taken, and returns the segment at that position.
func (on *opener) create(ctx context.Context, sg *StoredSegment) (*StoredSegment, error) {
	value, err := proto.Marshal(sg)
	if err != nil {
		return nil, err
	}
	var found *StoredSegment
	mayBeWritten := false
	on.epochWriteStart = time.Now()
	err = on.retry(ctx, func(ctx context.Context) error {
		_, err := on.store.Put(ctx, on.keys.segment(sg.Position), value, 0)
		if err == nil {
			found = sg
			return nil
		}
		mayBeWritten = mayBeWritten || !errors.Is(err, storer.ErrUnavailable)
		if !mayBeWritten {
			return err
		}
		en, rerr := on.store.Get(ctx, on.keys.segment(sg.Position))
		if rerr != nil {
			// The position may still be free, so identical bytes are written again.
			return fmt.Errorf("%w: %w", storer.ErrUnavailable, err)
		}
		found, err = on.decodeOrSkip(en, sg.Position)
		return err
	})
	if err != nil && mayBeWritten {
		return nil, fmt.Errorf("%w: %v", ErrResultUnknown, err)
	}
	return found, err
}

// verifyPointer checks that the snapshot pointer is the one that the recovery started from.
func (on *opener) verifyPointer(ctx context.Context) error {
	pt, err := on.readPointer(ctx)
	if err != nil {
		return err
	}
	if pt.position >= on.epochRecord.Position {
		// Either the position was trimmed before the epoch record was written, or a later leader's
		// snapshot covers the record. The record must not be deleted, because in the second case it
		// fences the previous leader.
		return fmt.Errorf("%w: epoch %d has a snapshot beyond the epoch record", ErrDeposed, pt.epoch)
	}
	if !pt.sameWrite(on.snapshotPointer) {
		return errSnapshotReplaced
	}
	return nil
}

// recovery returns what was read before an epoch record.
func (on *opener) recovery(er *StoredSegment) Recovery {
	pr := on.previous()
	rec := Recovery{
		Epoch: modeler.Epoch(er.Epoch), Position: er.Position, SnapshotRecords: on.snapshotRecords,
		SnapshotPosition: on.snapshotPointer.position, Damaged: on.damaged, PreviousEpoch: pr.epoch,
		PreviousHost: pr.host, PreviousBoot: pr.boot, Appended: on.appended,
	}
	for _, sg := range on.segments {
		if sg.Position < er.Position {
			rec.Records = decodeRecords(rec.Records, sg.Records)
		}
	}
	return rec
}

// writer is a process that led.
type writer struct {
	epoch modeler.Epoch
	host  modeler.HostName
	boot  modeler.BootID
}

// previous returns the process that wrote last before this one's epoch record, zero if there is none.
func (on *opener) previous() writer {
	pt := on.snapshotPointer
	last := writer{pt.epoch, pt.host, pt.boot}
	for _, sg := range on.segments {
		if sg.Epoch != 0 && (on.epochRecord == nil || sg.Position != on.epochRecord.Position) {
			last = writer{modeler.Epoch(sg.Epoch), modeler.HostName(sg.Host), modeler.BootID(sg.Boot)}
		}
	}
	return last
}

func (on *opener) newJournal(rec Recovery) *Journal {
	ctx, cancel := context.WithCancel(context.Background())
	jn := &Journal{
		store: on.store, keys: on.keys, host: on.host, boot: on.boot, epoch: rec.Epoch,
		options: on.options, epochPosition: rec.Position, ctx: ctx, cancel: cancel,
		deposed: make(chan struct{}), wake: make(chan struct{}, 1), trimRequests: make(chan snapshotPointer, 1),
		snapshotSlot: make(chan struct{}, 1), confirmed: on.epochWriteStart,
	}
	jn.position.Store(rec.Position)
	jn.SetWriteRate(on.options.DataCentres, on.options.WritesPerSecond)
	jn.goroutines.Add(2)
	go jn.writeLoop()
	go jn.trimLoop()
	return jn
}

func (on *opener) get(ctx context.Context, key string) (storer.Entry, error) {
	var en storer.Entry
	err := on.retry(ctx, func(ctx context.Context) (err error) {
		en, err = on.store.Get(ctx, key)
		return err
	})
	return en, err
}

func (on *opener) list(ctx context.Context, after string) ([]storer.Entry, error) {
	var ens []storer.Entry
	err := on.retry(ctx, func(ctx context.Context) (err error) {
		ens, err = on.store.List(ctx, on.keys.segmentPrefix(), after, maxListEntries)
		return err
	})
	return ens, err
}

// retry is like Options.retry with the timeout OpenCallTimeout for each call.
func (on *opener) retry(ctx context.Context, call func(context.Context) error) error {
	op := on.options
	op.CallTimeout = op.OpenCallTimeout
	return op.retry(ctx, call)
}

// retry retries a call while it fails with storer.ErrUnavailable. It returns ErrUnavailable after
// RetryTimeout or when the context ends.
func (op Options) retry(ctx context.Context, call func(context.Context) error) error {
	start := time.Now()
	bo := op.newBackOff()
	for {
		cctx, cancel := context.WithTimeout(ctx, op.CallTimeout)
		err := call(cctx)
		cancel()
		if !errors.Is(err, storer.ErrUnavailable) {
			return err
		}
		if time.Since(start) >= op.RetryTimeout || !pauser.Sleep(ctx, bo.NextBackOff()) {
			return fmt.Errorf("%w: %w", ErrUnavailable, err)
		}
	}
}
