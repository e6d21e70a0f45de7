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

// Snapshot replaces the journal up to a position by parts, which Recovery returns in the same
// order. The parts must hold the effect of all records up to the position, see Between. The
// position is at least that of the epoch record and at most Position. When the present snapshot
// covers the position already, Snapshot does nothing. Segments below the position are deleted in
// the background. Errors: ErrTooLarge, ErrDeposed and ErrUnavailable (the former snapshot stays),
// ErrResultUnknown (either snapshot is in force, both are complete).
func (jn *Journal) Snapshot(ctx context.Context, parts []Record, upTo int64) error {
	select {
	case jn.snapshotting <- struct{}{}:
		defer func() { <-jn.snapshotting }()
	case <-ctx.Done():
		return fmt.Errorf("%w: %w", ErrUnavailable, ctx.Err())
	}
	if jn.isDeposed() {
		return ErrDeposed
	}
	if upTo < jn.begun || upTo > jn.Position() {
		return fmt.Errorf("position %d is not between %d and %d: %w", upTo, jn.begun, jn.Position(), ErrUnavailable)
	}
	values, err := packParts(parts)
	if err != nil {
		return err
	}
	if covered, err := jn.covered(ctx, upTo); covered || err != nil {
		return err
	}
	pt := pointer{
		epoch: jn.epoch, position: upTo, parts: len(values),
		host: jn.host, boot: jn.boot, operation: operations.Add(1),
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

// covered states whether the present snapshot includes the position.
func (jn *Journal) covered(ctx context.Context, upTo int64) (bool, error) {
	var present pointer
	err := jn.options.retry(ctx, func(ctx context.Context) (err error) {
		present, err = jn.readPointer(ctx)
		return err
	})
	return present.position >= upTo, err
}

// packParts encodes records into values below the limit of the store.
func packParts(recs []Record) ([][]byte, error) {
	var values [][]byte
	for first := 0; first < len(recs); {
		size, last := 0, first
		for last < len(recs) && (last == first || size+recordSize(recs[last]) <= maxPartBytes) {
			size += recordSize(recs[last])
			last++
		}
		if size > maxPartBytes {
			return nil, fmt.Errorf("%d bytes in one record: %w", size, ErrTooLarge)
		}
		stored, _ := encodeRecords(recs[first:last])
		value, err := proto.Marshal(&StoredPart{Records: pack(stored)})
		if err != nil {
			return nil, err
		}
		values = append(values, value)
		first = last
	}
	return values, nil
}

// writePart writes a part under a key that no other attempt uses. A conflict therefore means that
// an earlier call took effect.
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

// writePointer makes a snapshot the present one unless the present one covers more.
func (jn *Journal) writePointer(ctx context.Context, pt pointer) error {
	value, err := pt.encode()
	if err != nil {
		return err
	}
	uncertain := false
	err = jn.options.retry(ctx, func(ctx context.Context) error {
		present, err := jn.readPointer(ctx)
		if err != nil || present.position >= pt.position {
			return err
		}
		_, err = jn.store.Put(ctx, jn.keys.current(), value, present.revision)
		if err == nil || errors.Is(err, storer.ErrUnavailable) {
			return err
		}
		uncertain = uncertain || !errors.Is(err, storer.ErrConflict)
		return fmt.Errorf("%w: %w", storer.ErrUnavailable, err)
	})
	if err != nil && uncertain {
		return fmt.Errorf("%w: %v", ErrResultUnknown, err)
	}
	return err
}

func (jn *Journal) readPointer(ctx context.Context) (pointer, error) {
	en, err := jn.store.Get(ctx, jn.keys.current())
	if errors.Is(err, storer.ErrNotFound) {
		return pointer{}, nil
	}
	if err != nil {
		return pointer{}, err
	}
	return decodePointer(en)
}

// requestTrim replaces an older request that the trimmer has not taken.
func (jn *Journal) requestTrim(pt pointer) {
	select {
	case <-jn.trims:
	default:
	}
	jn.trims <- pt
}

// trimmer deletes what a snapshot has replaced. It goes on after a deposition, since all of it is
// below the snapshot for every leader.
func (jn *Journal) trimmer() {
	defer jn.tasks.Done()
	// after is the last key that a complete pass has handled.
	after := ""
	for {
		select {
		case <-jn.ctx.Done():
			return
		case pt := <-jn.trims:
			if err := jn.trimSegments(&after, pt); err != nil {
				jn.logTrim(err)
				continue
			}
			if err := jn.trimParts(pt); err != nil {
				jn.logTrim(err)
			}
		}
	}
}

func (jn *Journal) logTrim(err error) {
	if jn.ctx.Err() == nil {
		logger.Log(jn.options.Logger, logger.TrimFailed, "DataCentre", jn.keys.dc, "Error", err.Error())
	}
}

// trimSegments deletes the segments that the snapshot covers, except the newest epoch records.
// The key after is moved behind the deleted segments.
func (jn *Journal) trimSegments(after *string, pt pointer) error {
	var epochs []storer.Entry
	last := jn.keys.segment(pt.position)
	for {
		ens, err := jn.list(jn.keys.segments(), *after)
		if err != nil {
			return err
		}
		for _, en := range ens {
			if en.Key > last {
				return jn.trimEpochs(epochs)
			}
			if beginsEpoch(en) {
				epochs = append(epochs, en)
			} else if err := jn.remove(en); err != nil {
				return err
			}
			*after = en.Key
		}
		if len(ens) == 0 {
			return jn.trimEpochs(epochs)
		}
	}
}

func (jn *Journal) trimEpochs(epochs []storer.Entry) error {
	for _, en := range epochs[:max(0, len(epochs)-KeptEpochs)] {
		if err := jn.remove(en); err != nil {
			return err
		}
	}
	return nil
}

// beginsEpoch is true also for a segment that cannot be decoded, which is kept for inspection.
func beginsEpoch(en storer.Entry) bool {
	var sg StoredSegment
	return proto.Unmarshal(en.Value, &sg) != nil || sg.BeginsEpoch
}

// trimParts deletes the parts of older snapshots. Parts of the same or a higher position stay: a
// later leader may be writing them.
func (jn *Journal) trimParts(pt pointer) error {
	after := ""
	for {
		ens, err := jn.list(jn.keys.snapshots(), after)
		if err != nil || len(ens) == 0 {
			return err
		}
		for _, en := range ens {
			after = en.Key
			pos, ok := jn.keys.snapshotPosition(en.Key)
			if !ok || pos >= pt.position {
				continue
			}
			if err := jn.remove(en); err != nil {
				return err
			}
		}
	}
}

func (jn *Journal) list(prefix, after string) ([]storer.Entry, error) {
	var ens []storer.Entry
	err := jn.options.retry(jn.ctx, func(ctx context.Context) (err error) {
		ens, err = jn.store.List(ctx, prefix, after, listLimit)
		return err
	})
	return ens, err
}

// remove deletes an entry at half the interval of appends, so that trimming keeps up with the
// appends without a burst of writes. An entry that was changed or deleted meanwhile is left alone.
func (jn *Journal) remove(en storer.Entry) error {
	if !jn.pause(time.Duration(jn.interval.Load()) / 2) {
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
