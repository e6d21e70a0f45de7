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
	// listLimit is the number of segments that one call reads.
	listLimit = 256
	// partReaders is the number of snapshot parts that are read at the same time.
	partReaders = 4
	// openAttempts bounds the restarts of a recovery whose snapshot is replaced while it reads.
	openAttempts = 100
)

// errMoved means that the snapshot was replaced while it was read.
var errMoved = errors.New("snapshot was replaced during the recovery")

// Open begins the next epoch of a data centre's journal and returns what is in the journal. It
// repeats reads for RetryLimit. Errors: ErrDeposed when another host began an epoch at the same
// time, ErrUnavailable, ErrResultUnknown when the epoch may have begun without a journal,
// ErrDamaged.
func Open(ctx context.Context, st Store, dc modeler.DataCentreName, host modeler.HostName, boot modeler.BootID, op Options) (*Journal, Recovery, error) {
	op = op.withDefaults()
	on := &opener{store: st, keys: keys{dc}, host: host, boot: boot, options: op}
	for range openAttempts {
		err := on.open(ctx)
		if errors.Is(err, errMoved) {
			continue
		}
		if err != nil {
			return nil, Recovery{}, err
		}
		rec := on.recovery()
		logger.Log(op.Logger, logger.EpochBegun, "DataCentre", dc, "Epoch", rec.Epoch, "Position", rec.Position, "Records", len(rec.Records))
		op.Meter.Add(meter.JournalEpochs, 1)
		return on.journal(rec), rec, nil
	}
	return nil, Recovery{}, fmt.Errorf("%w: %w", ErrUnavailable, errMoved)
}

// opener reads a journal and appends an epoch record.
type opener struct {
	store   Store
	keys    keys
	host    modeler.HostName
	boot    modeler.BootID
	options Options

	pointer  pointer
	parts    []Record
	segments []*StoredSegment
	// placed is the epoch record in the journal, nil before it was written.
	placed *StoredSegment
	// began is the beginning of the call that wrote or found placed, appended the end.
	began, appended time.Time
}

// open reads the snapshot and the segments behind it and places the epoch record. The record
// proves that nothing else is appended; the unchanged pointer proves that nothing that was read
// had been trimmed and written anew.
func (on *opener) open(ctx context.Context) error {
	if err := on.readSnapshot(ctx); err != nil {
		return err
	}
	on.segments = nil
	if err := on.readSegments(ctx); err != nil {
		return err
	}
	if on.placed == nil {
		if err := on.place(ctx); err != nil {
			return err
		}
	}
	return on.verify(ctx)
}

func (on *opener) readSnapshot(ctx context.Context) error {
	pt, err := on.readPointer(ctx)
	if err != nil {
		return err
	}
	on.pointer = pt
	values := make([][]Record, pt.parts)
	gr, gctx := errgroup.WithContext(ctx)
	gr.SetLimit(partReaders)
	for ix := range values {
		gr.Go(func() error {
			recs, err := on.readPart(gctx, ix)
			values[ix] = recs
			return err
		})
	}
	if err := gr.Wait(); err != nil {
		return on.checkMoved(ctx, err)
	}
	on.parts = nil
	for _, recs := range values {
		on.parts = append(on.parts, recs...)
	}
	return nil
}

func (on *opener) readPart(ctx context.Context, ix int) ([]Record, error) {
	key := on.keys.part(on.pointer, ix)
	en, err := on.get(ctx, key)
	if errors.Is(err, storer.ErrNotFound) {
		return nil, fmt.Errorf("%s: %w: part is missing", key, ErrDamaged)
	}
	if err != nil {
		return nil, err
	}
	var sp StoredPart
	if err := proto.Unmarshal(en.Value, &sp); err != nil {
		return nil, fmt.Errorf("%s: %w: %w", key, ErrDamaged, err)
	}
	recs, err := unpack(sp.Records)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", key, err)
	}
	return decodeRecords(nil, recs), nil
}

// checkMoved turns the error of a missing part into errMoved when the snapshot was replaced.
func (on *opener) checkMoved(ctx context.Context, cause error) error {
	if !errors.Is(cause, ErrDamaged) {
		return cause
	}
	pt, err := on.readPointer(ctx)
	if err != nil {
		return err
	}
	if !pt.same(on.pointer) {
		return errMoved
	}
	return cause
}

func (on *opener) readPointer(ctx context.Context) (pointer, error) {
	en, err := on.get(ctx, on.keys.current())
	if errors.Is(err, storer.ErrNotFound) {
		return pointer{}, nil
	}
	if err != nil {
		return pointer{}, err
	}
	return decodePointer(en)
}

// next is the first position that was not read yet.
func (on *opener) next() int64 { return on.pointer.position + 1 + int64(len(on.segments)) }

// readSegments reads up to the epoch record, or to the end while there is none. A list may be
// stale, so the end is only where the key itself does not exist.
func (on *opener) readSegments(ctx context.Context) error {
	for !on.complete() {
		if err := on.readList(ctx); err != nil {
			return err
		}
		if on.complete() {
			return nil
		}
		en, err := on.get(ctx, on.keys.segment(on.next()))
		if errors.Is(err, storer.ErrNotFound) {
			if on.placed != nil {
				// A segment before the epoch record is missing only when it was trimmed.
				return errMoved
			}
			return nil
		}
		if err != nil {
			return err
		}
		if err := on.add(en); err != nil {
			return err
		}
	}
	return nil
}

func (on *opener) complete() bool { return on.placed != nil && on.next() > on.placed.Position }

// readList reads the segments that follow each other without a gap.
func (on *opener) readList(ctx context.Context) error {
	for !on.complete() {
		ens, err := on.list(ctx, on.keys.segment(on.next()-1))
		if err != nil || len(ens) == 0 {
			return err
		}
		for _, en := range ens {
			if en.Key != on.keys.segment(on.next()) || on.complete() {
				return nil
			}
			if err := on.add(en); err != nil {
				return err
			}
		}
	}
	return nil
}

func (on *opener) add(en storer.Entry) error {
	sg, err := decodeSegment(en, on.next())
	if err != nil {
		return err
	}
	on.segments = append(on.segments, sg)
	return nil
}

// place appends the epoch record behind the last segment, and behind those that the present
// leader appends meanwhile.
func (on *opener) place(ctx context.Context) error {
	for {
		sg := &StoredSegment{
			Position: on.next(), Epoch: on.highest() + 1, Host: string(on.host), Boot: string(on.boot),
			Operation: operations.Add(1), BeginsEpoch: true,
		}
		found, err := on.create(ctx, sg)
		if err != nil {
			return err
		}
		if found.wrote(on.boot, sg.Operation) {
			on.placed = sg
			on.appended = time.Now()
			on.segments = append(on.segments, sg)
			return nil
		}
		known := len(on.segments)
		on.segments = append(on.segments, found)
		if err := on.readSegments(ctx); err != nil {
			return err
		}
		if err := on.contended(on.segments[known:]); err != nil {
			return err
		}
	}
}

// contended returns ErrDeposed when another process began an epoch during this recovery.
func (on *opener) contended(segments []*StoredSegment) error {
	for _, sg := range segments {
		if sg.BeginsEpoch && sg.Boot != string(on.boot) {
			return fmt.Errorf("%w: epoch %d of host %s", ErrDeposed, sg.Epoch, sg.Host)
		}
	}
	return nil
}

// highest returns the highest epoch that was read.
func (on *opener) highest() int64 {
	ep := int64(on.pointer.epoch)
	for _, sg := range on.segments {
		ep = max(ep, sg.Epoch)
	}
	return ep
}

// create writes a segment and returns the one that is at its position afterwards.
func (on *opener) create(ctx context.Context, sg *StoredSegment) (*StoredSegment, error) {
	value, err := proto.Marshal(sg)
	if err != nil {
		return nil, err
	}
	var found *StoredSegment
	uncertain := false
	err = on.retry(ctx, func(ctx context.Context) error {
		on.began = time.Now()
		_, err := on.store.Put(ctx, on.keys.segment(sg.Position), value, 0)
		if err == nil {
			found = sg
			return nil
		}
		uncertain = uncertain || !errors.Is(err, storer.ErrUnavailable)
		if !uncertain {
			return err
		}
		en, rerr := on.store.Get(ctx, on.keys.segment(sg.Position))
		if rerr != nil {
			// The position may be free, so the same bytes are written again.
			return fmt.Errorf("%w: %w", storer.ErrUnavailable, err)
		}
		found, err = decodeSegment(en, sg.Position)
		return err
	})
	if err != nil && uncertain {
		return nil, fmt.Errorf("%w: %v", ErrResultUnknown, err)
	}
	return found, err
}

// verify compares the pointer with the one at the beginning of the recovery.
func (on *opener) verify(ctx context.Context) error {
	pt, err := on.readPointer(ctx)
	if err != nil {
		return err
	}
	if pt.position >= on.placed.Position {
		// Either the position had been trimmed before the record was written, or a later leader
		// has covered the record since. In the second case it stops the leader before this one,
		// so it must not be deleted.
		return fmt.Errorf("%w: epoch %d has a snapshot beyond the epoch record", ErrDeposed, pt.epoch)
	}
	if !pt.same(on.pointer) {
		return errMoved
	}
	return nil
}

func (on *opener) recovery() Recovery {
	rec := Recovery{
		Epoch: modeler.Epoch(on.placed.Epoch), Position: on.placed.Position, Parts: on.parts,
		SnapshotPosition: on.pointer.position, PreviousEpoch: on.pointer.epoch,
		PreviousHost: on.pointer.host, PreviousBoot: on.pointer.boot, Appended: on.appended,
	}
	for _, sg := range on.segments {
		rec.Records = decodeRecords(rec.Records, sg.Records)
		if sg.Position != on.placed.Position {
			rec.PreviousEpoch = modeler.Epoch(sg.Epoch)
			rec.PreviousHost = modeler.HostName(sg.Host)
			rec.PreviousBoot = modeler.BootID(sg.Boot)
		}
	}
	return rec
}

func (on *opener) journal(rec Recovery) *Journal {
	ctx, cancel := context.WithCancel(context.Background())
	jn := &Journal{
		store: on.store, keys: on.keys, host: on.host, boot: on.boot, epoch: rec.Epoch,
		options: on.options, begun: rec.Position, ctx: ctx, cancel: cancel,
		deposed: make(chan struct{}), wake: make(chan struct{}, 1), trims: make(chan pointer, 1),
		snapshotting: make(chan struct{}, 1), confirmed: on.began,
	}
	jn.position.Store(rec.Position)
	jn.SetBudget(on.options.DataCentres, on.options.WritesPerSecond)
	jn.tasks.Add(2)
	go jn.run()
	go jn.trimmer()
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
		ens, err = on.store.List(ctx, on.keys.segments(), after, listLimit)
		return err
	})
	return ens, err
}

// retry repeats a call that fails with storer.ErrUnavailable, and returns ErrUnavailable after
// RetryLimit or at the end of the context.
func (on *opener) retry(ctx context.Context, call func(context.Context) error) error {
	op := on.options
	op.CallLimit = op.OpenCallLimit
	return op.retry(ctx, call)
}

func (op Options) retry(ctx context.Context, call func(context.Context) error) error {
	began := time.Now()
	bo := op.newBackOff()
	for {
		cctx, cancel := context.WithTimeout(ctx, op.CallLimit)
		err := call(cctx)
		cancel()
		if !errors.Is(err, storer.ErrUnavailable) {
			return err
		}
		if time.Since(began) >= op.RetryLimit || !pauser.Pause(ctx, bo.NextBackOff()) {
			return fmt.Errorf("%w: %w", ErrUnavailable, err)
		}
	}
}
