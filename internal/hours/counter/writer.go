package counter

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"time"

	"github.com/currantrouter/currantrouter/internal/process/pauser"
	"github.com/currantrouter/currantrouter/internal/provider/storer"
	"github.com/currantrouter/currantrouter/internal/telemetry/logger"
	"github.com/currantrouter/currantrouter/internal/telemetry/meter"
)

const (
	// writeLimit bounds one round of writes, so that a slow store does not delay the next round
	// for long.
	writeLimit = 20 * time.Second
	// copyQuiet is how long a peer's counts must stay the same before a copy is compared with the
	// store. By then the peer has written them itself if it could.
	copyQuiet = 90 * time.Second
	// copySpread spreads the comparisons of several peers, so that mostly one of them writes.
	copySpread = time.Minute
	// conflictRetries bounds the writes of one report when peers write copies at the same time.
	conflictRetries = 4
)

// stored is what the store is known to hold under a key.
type stored struct {
	report   Report
	revision int64
	// certain is false after a write without a known result.
	certain bool
}

// ownHour is an hour of this process.
type ownHour struct {
	// latest is the report as of the last round, written or not. It keeps what only the round in
	// that hour could see, such as the configured services.
	latest Report
	stored stored
}

// Run writes counts every WriteInterval until ctx ends. Call Close after the last call has ended.
func (ct *Counter) Run(ctx context.Context) {
	// Flush logs and counts its errors, and the next round writes what is missing.
	flush := func(ctx context.Context) { _ = ct.Flush(ctx) }
	flush(ctx)
	pauser.Every(ctx, WriteInterval, flush)
}

// Close writes all counts and marks them as complete. It returns the errors of the store.
func (ct *Counter) Close(ctx context.Context) error { return ct.flush(ctx, true) }

// Flush writes the hours whose counts have changed and the copies that are due. It returns the
// errors of the store.
func (ct *Counter) Flush(ctx context.Context) error { return ct.flush(ctx, false) }

func (ct *Counter) flush(ctx context.Context, ending bool) error {
	ct.flushing.Lock()
	defer ct.flushing.Unlock()
	ctx, stop := context.WithTimeout(ctx, writeLimit)
	defer stop()
	now := time.Now()
	err := errors.Join(ct.writeOwn(ctx, now, ending), ct.writeCopies(ctx, now))
	ct.note(err)
	ct.prune(now)
	return err
}

func (ct *Counter) writeOwn(ctx context.Context, now time.Time, ending bool) error {
	current := hourStart(now)
	for _, hr := range ct.hours(now) {
		if ct.own[hr] == nil {
			ct.own[hr] = &ownHour{latest: Report{Source: Source{Host: ct.host, Boot: ct.boot, Hour: hr}}}
		}
	}
	var errs []error
	for hr, oh := range ct.own {
		var err error
		oh.latest, _ = oh.latest.merge(ct.report(hr, ending || hr.Before(current)))
		oh.stored, err = ct.write(ctx, oh.latest, oh.stored, now)
		errs = append(errs, err)
	}
	return errors.Join(errs...)
}

// write brings the document of a report to at least its counts, and returns what the store then
// holds. It writes nothing when the store is known to hold as much.
func (ct *Counter) write(ctx context.Context, rp Report, st stored, now time.Time) (stored, error) {
	for range conflictRetries {
		merged, changed := st.report.merge(rp)
		if !changed && st.certain && st.revision != 0 {
			return st, nil
		}
		merged.Source = rp.Source
		merged.Written = now.UTC()
		if rp.Settled(now) {
			merged = merged.amend(st.report, now.UTC())
		}
		rev, err := ct.put(ctx, merged, st.revision)
		switch {
		case err == nil:
			ct.mt.Add(meter.HourReportsWritten, 1)
			return stored{report: merged, revision: rev, certain: true}, nil
		case !errors.Is(err, storer.ErrConflict):
			st.certain = st.certain && !errors.Is(err, storer.ErrResultUnknown)
			return st, err
		}
		if st, err = ct.read(ctx, rp.Source, st); err != nil {
			return st, err
		}
	}
	return st, fmt.Errorf("writing %s: %w", rp.Key(), storer.ErrConflict)
}

func (ct *Counter) put(ctx context.Context, rp Report, expected int64) (int64, error) {
	doc, err := json.Marshal(rp)
	if err != nil {
		return 0, err
	}
	return storer.PutResolved(ctx, ct.store, rp.Key(), doc, expected)
}

// read returns what the store holds of a source. A missing key is a document without counts.
func (ct *Counter) read(ctx context.Context, sc Source, known stored) (stored, error) {
	ent, err := ct.store.Get(ctx, sc.Key())
	if errors.Is(err, storer.ErrNotFound) {
		return stored{report: Report{Source: sc}, certain: true}, nil
	}
	if err != nil {
		return known, err
	}
	rp, err := Decode(ent)
	if err != nil {
		return known, err
	}
	return stored{report: rp, revision: ent.Revision, certain: true}, nil
}

// Decode reads the document of a report. It returns ErrReport for a document that no counter can
// have written.
func Decode(ent storer.Entry) (Report, error) {
	var rp Report
	if err := json.Unmarshal(ent.Value, &rp); err != nil {
		return Report{}, fmt.Errorf("%w: %s: %w", ErrReport, ent.Key, err)
	}
	if err := rp.check(); err != nil {
		return Report{}, err
	}
	if rp.Key() != ent.Key {
		return Report{}, fmt.Errorf("%w: %s holds the report of %s", ErrReport, ent.Key, rp.Key())
	}
	return rp, nil
}

// writeCopies raises the documents of peers that have not written their latest counts.
func (ct *Counter) writeCopies(ctx context.Context, now time.Time) error {
	var errs []error
	for _, rp := range ct.dueCopies(now) {
		st, err := ct.read(ctx, rp.Source, stored{})
		if err == nil {
			st, err = ct.write(ctx, rp, st, now)
		}
		if err != nil {
			errs = append(errs, err)
			continue
		}
		ct.settleCopy(rp, st.report)
	}
	return errors.Join(errs...)
}

func (ct *Counter) dueCopies(now time.Time) []Report {
	ct.mu.Lock()
	defer ct.mu.Unlock()
	var rps []Report
	for _, cp := range ct.copies {
		if !cp.due.IsZero() && !cp.due.After(now) {
			rps = append(rps, cp.report)
		}
	}
	return rps
}

// settleCopy marks a copy as compared unless it has been raised in the meantime.
func (ct *Counter) settleCopy(written, inStore Report) {
	ct.mu.Lock()
	defer ct.mu.Unlock()
	cp, ok := ct.copies[written.Source]
	if !ok {
		return
	}
	if _, higher := written.merge(cp.report); !higher {
		cp.due = time.Time{}
	}
	cp.report, _ = cp.report.merge(inStore)
}

func copyDelay() time.Duration { return copyQuiet + rand.N(copySpread) }

// note logs the first failure of an outage and its end.
func (ct *Counter) note(err error) {
	if err != nil {
		ct.mt.Add(meter.HourWriteFailures, 1)
	}
	switch {
	case err != nil && !ct.failing:
		logger.Log(ct.lg, logger.HoursNotWritten, "Error", err.Error())
	case err == nil && ct.failing:
		logger.Log(ct.lg, logger.HoursWrittenAgain)
	}
	ct.failing = err != nil
}

// prune forgets hours that are out of retention.
func (ct *Counter) prune(now time.Time) {
	oldest := hourStart(now.Add(-retention))
	for hr := range ct.own {
		if hr.Before(oldest) {
			delete(ct.own, hr)
		}
	}
	ct.pruneCells(hourNumber(oldest))
	ct.mu.Lock()
	defer ct.mu.Unlock()
	maps.DeleteFunc(ct.copies, func(sc Source, _ *peerCopy) bool { return sc.Hour.Before(oldest) })
}

func (ct *Counter) pruneCells(oldest int64) {
	for {
		tb := ct.cells.Load()
		next := maps.Clone(*tb)
		maps.DeleteFunc(next, func(ky cellKey, _ *cell) bool { return ky.hour < oldest })
		if len(next) == len(*tb) || ct.cells.CompareAndSwap(tb, &next) {
			return
		}
	}
}
