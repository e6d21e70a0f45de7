package journaler

import (
	"context"
	"errors"
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/currantrouter/currantrouter/internal/provider/storer"
	"github.com/currantrouter/currantrouter/internal/telemetry/logger"
	"github.com/currantrouter/currantrouter/internal/telemetry/meter"
)

// Snapshot replaces the journal up to and including a position with records, which Recovery returns
// in the same order. The records must contain the effect of all journal records up to the position,
// see Barrier. The position must lie between that of the epoch record and Position. Snapshot does
// nothing if the current snapshot already covers the position. Segments that the snapshot covers are
// deleted in the background. Errors: ErrTooLarge, ErrDeposed and ErrUnavailable (the previous
// snapshot stays current), ErrResultUnknown (either snapshot is current, both are complete).
func (jn *Journal) Snapshot(ctx context.Context, recs []Record, upTo int64) error {
	select {
	case jn.snapshotSlot <- struct{}{}:
		defer func() { <-jn.snapshotSlot }()
	case <-ctx.Done():
		return fmt.Errorf("%w: %w", ErrUnavailable, ctx.Err())
	}
	if jn.isDeposed() {
		return ErrDeposed
	}
	if upTo < jn.epochPosition || upTo > jn.Position() {
		return fmt.Errorf("snapshot position %d is not between %d and %d: %w", upTo, jn.epochPosition, jn.Position(), ErrUnavailable)
	}
	values, err := encodeParts(recs)
	if err != nil {
		return err
	}
	if done, err := jn.isCovered(ctx, upTo); done || err != nil {
		return err
	}
	pt := snapshotPointer{
		epoch: jn.epoch, position: upTo, parts: len(values),
		host: jn.host, boot: jn.boot, operation: lastOperation.Add(1),
	}
	for ix, value := range values {
		if err := jn.writePart(ctx, jn.keys.part(pt, ix), value); err != nil {
			return err
		}
	}
	if err := jn.writePointer(ctx, pt); err != nil {
		return err
	}
	jn.options.Meter.Add(meter.SnapshotsWritten, 1)
	logger.Log(jn.options.Logger, logger.SnapshotWritten, "DataCentre", jn.keys.dc, "Position", upTo, "Parts", len(values))
	jn.requestTrim(pt)
	return nil
}

// isCovered reports whether the current snapshot covers the position.
func (jn *Journal) isCovered(ctx context.Context, upTo int64) (bool, error) {
	var current snapshotPointer
	err := jn.options.retry(ctx, func(ctx context.Context) (err error) {
		current, err = jn.readPointer(ctx)
		return err
	})
	return current.position >= upTo, err
}

// encodeParts encodes records into as many parts as the value size limit of the store requires.
func encodeParts(recs []Record) ([][]byte, error) {
	var values [][]byte
	for first := 0; first < len(recs); {
		size, last := 0, first
		for last < len(recs) && (last == first || size+maxRecordSize(recs[last]) <= maxPartBytes) {
			size += maxRecordSize(recs[last])
			last++
		}
		if size > maxPartBytes {
			return nil, fmt.Errorf("snapshot record of %d bytes: %w", size, ErrTooLarge)
		}
		stored, _ := encodeRecords(recs[first:last])
		value, err := proto.Marshal(&StoredPart{Records: compressRecords(stored)})
		if err != nil {
			return nil, err
		}
		values = append(values, value)
		first = last
	}
	return values, nil
}

// writePart writes a snapshot part. No other attempt uses the same key, so a conflict means that an
// earlier call took effect.
func (jn *Journal) writePart(ctx context.Context, key string, value []byte) error {
	return jn.options.retry(ctx, func(ctx context.Context) error {
		_, err := jn.store.Put(ctx, key, value, 0)
		if errors.Is(err, storer.ErrConflict) {
			return nil
		}
		if errors.Is(err, storer.ErrResultUnknown) {
			return fmt.Errorf("%w: %w", storer.ErrUnavailable, err)
		}
		return err
	})
}

// writePointer makes a snapshot the current one unless the current one already covers its position.
func (jn *Journal) writePointer(ctx context.Context, pt snapshotPointer) error {
	value, err := pt.encode()
	if err != nil {
		return err
	}
	mayBeWritten := false
	err = jn.options.retry(ctx, func(ctx context.Context) error {
		current, err := jn.readPointer(ctx)
		if err != nil || current.position >= pt.position {
			return err
		}
		_, err = jn.store.Put(ctx, jn.keys.current(), value, current.revision)
		if err == nil || errors.Is(err, storer.ErrUnavailable) {
			return err
		}
		mayBeWritten = mayBeWritten || !errors.Is(err, storer.ErrConflict)
		return fmt.Errorf("%w: %w", storer.ErrUnavailable, err)
	})
	if err != nil && mayBeWritten {
		return fmt.Errorf("%w: %v", ErrResultUnknown, err)
	}
	return err
}

func (jn *Journal) readPointer(ctx context.Context) (snapshotPointer, error) {
	en, err := jn.store.Get(ctx, jn.keys.current())
	if errors.Is(err, storer.ErrNotFound) {
		return snapshotPointer{}, nil
	}
	if err != nil {
		return snapshotPointer{}, err
	}
	return decodePointer(en)
}

// requestTrim replaces a pending request that trimLoop has not taken.
func (jn *Journal) requestTrim(pt snapshotPointer) {
	select {
	case <-jn.trimRequests:
	default:
	}
	jn.trimRequests <- pt
}

// trimLoop deletes segments and snapshot parts that a newer snapshot has replaced. It continues after
// the leader is deposed, since no leader needs them.
func (jn *Journal) trimLoop() {
	defer jn.goroutines.Done()
	// after is the last segment key that was handled.
	after := ""
	for {
		select {
		case <-jn.ctx.Done():
			return
		case pt := <-jn.trimRequests:
			if err := jn.trimSegments(&after, pt); err != nil {
				jn.logTrimFailure(err)
				continue
			}
			if err := jn.trimParts(pt); err != nil {
				jn.logTrimFailure(err)
			}
		}
	}
}

func (jn *Journal) logTrimFailure(err error) {
	if jn.ctx.Err() == nil {
		logger.Log(jn.options.Logger, logger.TrimFailed, "DataCentre", jn.keys.dc, "Error", err.Error())
	}
}

// trimSegments deletes the segments that the snapshot covers, except the newest MaxRetainedEpochs
// epoch records. It starts after the key *after and advances it past each handled segment.
func (jn *Journal) trimSegments(after *string, pt snapshotPointer) error {
	var epochs []storer.Entry
	last := jn.keys.segment(pt.position)
	for {
		ens, err := jn.list(jn.keys.segmentPrefix(), *after)
		if err != nil {
			return err
		}
		for _, en := range ens {
			if en.Key > last {
				return jn.trimEpochRecords(epochs)
			}
			if beginsEpoch(en) {
				epochs = append(epochs, en)
			} else if err := jn.deleteEntry(en); err != nil {
				return err
			}
			*after = en.Key
		}
		if len(ens) == 0 {
			return jn.trimEpochRecords(epochs)
		}
	}
}

func (jn *Journal) trimEpochRecords(epochs []storer.Entry) error {
	for _, en := range epochs[:max(0, len(epochs)-MaxRetainedEpochs)] {
		if err := jn.deleteEntry(en); err != nil {
			return err
		}
	}
	return nil
}

// beginsEpoch reports whether the segment is an epoch record. It is also true for a segment that
// cannot be decoded, so that it is kept for inspection.
func beginsEpoch(en storer.Entry) bool {
	var sg StoredSegment
	return proto.Unmarshal(en.Value, &sg) != nil || sg.BeginsEpoch
}

// trimParts deletes the parts of older snapshots. It keeps parts of the same or a higher position
// because a later leader may be writing them.
func (jn *Journal) trimParts(pt snapshotPointer) error {
	after := ""
	for {
		ens, err := jn.list(jn.keys.snapshotPrefix(), after)
		if err != nil || len(ens) == 0 {
			return err
		}
		for _, en := range ens {
			after = en.Key
			pos, ok := jn.keys.snapshotPosition(en.Key)
			if !ok || pos >= pt.position {
				continue
			}
			if err := jn.deleteEntry(en); err != nil {
				return err
			}
		}
	}
}

func (jn *Journal) list(prefix, after string) ([]storer.Entry, error) {
	var ens []storer.Entry
	err := jn.options.retry(jn.ctx, func(ctx context.Context) (err error) {
		ens, err = jn.store.List(ctx, prefix, after, maxListEntries)
		return err
	})
	return ens, err
}

// deleteEntry deletes an entry after half a write interval, so that trimming keeps up with appends
// without bursts of writes. Entries that were changed or deleted meanwhile are skipped.
func (jn *Journal) deleteEntry(en storer.Entry) error {
	if !jn.sleep(time.Duration(jn.writeInterval.Load()) / 2) {
		return jn.ctx.Err()
	}
	err := jn.options.retry(jn.ctx, func(ctx context.Context) error {
		err := jn.store.Delete(ctx, en.Key, en.Revision)
		if errors.Is(err, storer.ErrResultUnknown) {
			return fmt.Errorf("%w: %w", storer.ErrUnavailable, err)
		}
		return err
	})
	if errors.Is(err, storer.ErrConflict) || errors.Is(err, storer.ErrNotFound) {
		return nil
	}
	jn.options.Meter.Add(meter.SegmentsTrimmed, 1)
	return err
}
