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
	// flushTimeout bounds one flush, so that a slow store does not delay the next flush for long.
	flushTimeout = 20 * time.Second
	// minPeerQuiet is how long a peer's counts must stay unchanged before its report is compared
	// with the store. By then the peer would have written the counts itself.
	minPeerQuiet = 90 * time.Second
	// maxCompareJitter spreads the comparisons by several hosts, so that usually only one of them
	// writes.
	maxCompareJitter = time.Minute
	// maxWriteAttempts bounds the attempts to write one report while peers write it concurrently.
	maxWriteAttempts = 4
)

// storedReport is the last known state of a report in the store.
type storedReport struct {
	report Report
	// revision is that of the key. It is zero if the key does not exist.
	revision int64
	// confirmed is true if the store is known to hold this report. It is false after a write whose
	// result is unknown.
	confirmed bool
}

// ownHour has the report of this process on one hour.
type ownHour struct {
	// latest is the report as of the last flush, written or not. It retains what was only known
	// during the hour, such as the configured services.
	latest Report
	stored storedReport
}

// Run writes counts every writeInterval until ctx ends. Call Close after the last call has ended.
func (ct *Counter) Run(ctx context.Context) {
	// Flush logs and counts its errors, and the next one retries failed writes.
	flush := func(ctx context.Context) { _ = ct.Flush(ctx) }
	flush(ctx)
	pauser.Every(ctx, writeInterval, flush)
}

// Close writes all reports and marks them as closed. It returns the joined errors of the writes.
func (ct *Counter) Close(ctx context.Context) error { return ct.flush(ctx, true) }

// Flush writes the reports of hours whose counts have changed, and the reports of peers that are due
// for comparison. It returns the joined errors of the writes.
func (ct *Counter) Flush(ctx context.Context) error { return ct.flush(ctx, false) }

func (ct *Counter) flush(ctx context.Context, closing bool) error {
	ct.flushMu.Lock()
	defer ct.flushMu.Unlock()
	ctx, stop := context.WithTimeout(ctx, flushTimeout)
	defer stop()
	now := time.Now()
	err := errors.Join(ct.writeOwn(ctx, now, closing), ct.writePeerReports(ctx, now))
	ct.logOutage(err)
	ct.prune(now)
	return err
}

func (ct *Counter) writeOwn(ctx context.Context, now time.Time, closing bool) error {
	current := hourStart(now)
	for _, hr := range ct.hours(now) {
		if ct.ownHours[hr] == nil {
			ct.ownHours[hr] = &ownHour{latest: Report{Source: Source{Host: ct.host, Boot: ct.boot, Hour: hr}}}
		}
	}
	var errs []error
	for hr, oh := range ct.ownHours {
		var err error
		oh.latest, _ = oh.latest.mergeCounts(ct.report(hr, closing || hr.Before(current)))
		oh.stored, err = ct.write(ctx, oh.latest, oh.stored, now)
		errs = append(errs, err)
	}
	return errors.Join(errs...)
}

// write merges a report into the stored one and returns the resulting state of the store. It skips
// the write if the stored report is known to include all counts.
func (ct *Counter) write(ctx context.Context, rp Report, st storedReport, now time.Time) (storedReport, error) {
	for range maxWriteAttempts {
		merged, changed := st.report.mergeCounts(rp)
		if !changed && st.confirmed && st.revision != 0 {
			return st, nil
		}
		merged.Source = rp.Source
		merged.Written = now.UTC()
		if rp.GraceEnded(now) {
			merged = merged.withAmendment(st.report, now.UTC())
		}
		rev, err := ct.put(ctx, merged, st.revision)
		switch {
		case err == nil:
			ct.mt.Add(meter.HourReportsWritten, 1)
			return storedReport{report: merged, revision: rev, confirmed: true}, nil
		case !errors.Is(err, storer.ErrConflict):
			st.confirmed = st.confirmed && !errors.Is(err, storer.ErrResultUnknown)
			return st, err
		}
		if st, err = ct.read(ctx, rp.Source, st); err != nil {
			return st, err
		}
	}
	return st, fmt.Errorf("writing report %s: %w", rp.Key(), storer.ErrConflict)
}

func (ct *Counter) put(ctx context.Context, rp Report, expected int64) (int64, error) {
	doc, err := json.Marshal(rp)
	if err != nil {
		return 0, err
	}
	return storer.PutResolved(ctx, ct.store, rp.Key(), doc, expected)
}

// read returns the stored report of a source. A missing key yields a report without counts. On errors
// it returns the known state.
func (ct *Counter) read(ctx context.Context, sc Source, known storedReport) (storedReport, error) {
	ent, err := ct.store.Get(ctx, sc.Key())
	if errors.Is(err, storer.ErrNotFound) {
		return storedReport{report: Report{Source: sc}, confirmed: true}, nil
	}
	if err != nil {
		return known, err
	}
	rp, err := Decode(ent)
	if err != nil {
		return known, err
	}
	return storedReport{report: rp, revision: ent.Revision, confirmed: true}, nil
}

// Decode decodes a stored report. Errors: ErrInvalidReport.
func Decode(ent storer.Entry) (Report, error) {
	var rp Report
	if err := json.Unmarshal(ent.Value, &rp); err != nil {
		return Report{}, fmt.Errorf("%w: decoding %s: %w", ErrInvalidReport, ent.Key, err)
	}
	if err := rp.validate(); err != nil {
		return Report{}, err
	}
	if rp.Key() != ent.Key {
		return Report{}, fmt.Errorf("%w: key %s has the report of key %s", ErrInvalidReport, ent.Key, rp.Key())
	}
	return rp, nil
}

// writePeerReports writes the latest counts of peers that have not written them themselves.
func (ct *Counter) writePeerReports(ctx context.Context, now time.Time) error {
	var errs []error
	for _, rp := range ct.duePeerReports(now) {
		st, err := ct.read(ctx, rp.Source, storedReport{})
		if err == nil {
			st, err = ct.write(ctx, rp, st, now)
		}
		if err != nil {
			errs = append(errs, err)
			continue
		}
		ct.markCompared(rp, st.report)
	}
	return errors.Join(errs...)
}

func (ct *Counter) duePeerReports(now time.Time) []Report {
	ct.mu.Lock()
	defer ct.mu.Unlock()
	var rps []Report
	for _, pr := range ct.peerReports {
		if !pr.compareAt.IsZero() && !pr.compareAt.After(now) {
			rps = append(rps, pr.report)
		}
	}
	return rps
}

// markCompared marks a peer's report as compared unless its counts have increased meanwhile.
func (ct *Counter) markCompared(written, inStore Report) {
	ct.mu.Lock()
	defer ct.mu.Unlock()
	pr, ok := ct.peerReports[written.Source]
	if !ok {
		return
	}
	if _, higher := written.mergeCounts(pr.report); !higher {
		pr.compareAt = time.Time{}
	}
	pr.report, _ = pr.report.mergeCounts(inStore)
}

func compareDelay() time.Duration { return minPeerQuiet + rand.N(maxCompareJitter) }

// logOutage counts failures, and logs the first failure of an outage and its end.
func (ct *Counter) logOutage(err error) {
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

// prune removes hours from memory that are older than retentionPeriod.
func (ct *Counter) prune(now time.Time) {
	oldest := hourStart(now.Add(-retentionPeriod))
	for hr := range ct.ownHours {
		if hr.Before(oldest) {
			delete(ct.ownHours, hr)
		}
	}
	ct.pruneTable(hourNumber(oldest))
	ct.mu.Lock()
	defer ct.mu.Unlock()
	maps.DeleteFunc(ct.peerReports, func(sc Source, _ *peerReport) bool { return sc.Hour.Before(oldest) })
}

func (ct *Counter) pruneTable(oldest int64) {
	for {
		tb := ct.table.Load()
		next := maps.Clone(*tb)
		maps.DeleteFunc(next, func(ky countKey, _ *liveCounts) bool { return ky.hour < oldest })
		if len(next) == len(*tb) || ct.table.CompareAndSwap(tb, &next) {
			return
		}
	}
}
