package auditor

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/currantrouter/currantrouter/internal/process/pauser"
	"github.com/currantrouter/currantrouter/internal/provider/storer"
	"github.com/currantrouter/currantrouter/internal/telemetry/logger"
)

const (
	// Retention is the minimum time for which records are kept.
	Retention = 90 * 24 * time.Hour
	// MaxResults bounds the number of records that a search returns.
	MaxResults = 10_000
	// trimInterval is the mean time between two runs of Trim. Every host trims the segments of all
	// hosts, because the hosts that wrote old segments may no longer exist.
	trimInterval = time.Hour
	// maxTrimDeletes bounds the deletions of one run, to bound the load on the store.
	maxTrimDeletes = 500
	// maxPageSegments is the number of segments read at a time. It bounds their memory to 8 MB.
	maxPageSegments = 16
)

// Query selects records. Empty fields select all.
type Query struct {
	// Since (inclusive) and Until (exclusive) bound the time of the records. The zero values stand
	// for the start of the retention period and for now.
	Since, Until time.Time
	Who          string
	Action       string
	// Subject selects records whose subject contains it.
	Subject string
	Result  Result
	// Limit is the maximum number of records, at most MaxResults. Zero stands for MaxResults.
	Limit int
}

func (qr Query) matches(rc Record) bool {
	return !rc.Time.Before(qr.Since) && rc.Time.Before(qr.Until) &&
		(qr.Who == "" || qr.Who == rc.Who) &&
		(qr.Action == "" || qr.Action == rc.Action) &&
		(qr.Result == "" || qr.Result == rc.Result) &&
		strings.Contains(rc.Subject, qr.Subject)
}

func (qr Query) clamped(now time.Time) Query {
	if oldest := now.Add(-Retention); qr.Since.Before(oldest) {
		qr.Since = oldest
	}
	if qr.Until.IsZero() || qr.Until.After(now) {
		// Include records of hosts whose clocks are ahead of this one.
		qr.Until = now.Add(time.Hour)
	}
	if qr.Limit <= 0 || qr.Limit > MaxResults {
		qr.Limit = MaxResults
	}
	return qr
}

// Search returns the matching records of all hosts, the newest first. Its errors are those of the
// store. Damaged segments are logged and skipped.
func (au *Auditor) Search(ctx context.Context, qr Query) ([]Record, error) {
	qr = qr.clamped(time.Now())
	var found []Record
	first := qr.Since.UTC().Truncate(24 * time.Hour)
	for day := qr.Until.UTC().Truncate(24 * time.Hour); !day.Before(first); day = day.Add(-24 * time.Hour) {
		rcs, err := au.searchDay(ctx, day.Format(dayLayout), qr)
		if err != nil {
			return nil, err
		}
		found = append(found, rcs...)
		if len(found) >= qr.Limit {
			return found[:qr.Limit], nil
		}
	}
	return found, nil
}

func (au *Auditor) searchDay(ctx context.Context, day string, qr Query) ([]Record, error) {
	var found []Record
	err := au.eachSegment(ctx, dayPrefix(day), func(ent storer.Entry) bool {
		rcs, err := decodeSegment(ent)
		if err != nil {
			logger.Log(au.lg, logger.AuditSegmentDamaged, "Key", ent.Key, "Error", err.Error())
			return true
		}
		for _, rc := range rcs {
			if qr.matches(rc) {
				found = append(found, rc)
			}
		}
		return true
	})
	// Reverse first: the stable sort then keeps records with equal times newest first.
	slices.Reverse(found)
	slices.SortStableFunc(found, func(a, b Record) int { return b.Time.Compare(a.Time) })
	return found, err
}

// eachSegment calls visit for the segments under the prefix in the order of their keys, until visit
// returns false.
func (au *Auditor) eachSegment(ctx context.Context, prefix string, visit func(storer.Entry) bool) error {
	after := ""
	for {
		ents, err := au.store.List(ctx, prefix, after, maxPageSegments)
		if err != nil {
			return err
		}
		for _, ent := range ents {
			if !visit(ent) {
				return nil
			}
		}
		if len(ents) < maxPageSegments {
			return nil
		}
		after = ents[len(ents)-1].Key
	}
}

// RunTrim calls Trim about once per trimInterval until ctx ends.
func (au *Auditor) RunTrim(ctx context.Context) {
	for {
		pauser.Sleep(ctx, trimInterval/2+rand.N(trimInterval))
		if ctx.Err() != nil {
			return
		}
		if err := au.Trim(ctx); err != nil {
			logger.Log(au.lg, logger.AuditTrimFailed, "Error", err.Error())
		}
	}
}

// Trim deletes segments whose days are entirely older than Retention, at most maxTrimDeletes. Its
// errors are those of the store.
func (au *Auditor) Trim(ctx context.Context) error {
	// The day in which the retention period starts stays, because its later records are within the
	// period.
	oldest := dayPrefix(time.Now().UTC().Add(-Retention).Format(dayLayout))
	var errs []error
	remaining := maxTrimDeletes
	err := au.eachSegment(ctx, trailPrefix, func(ent storer.Entry) bool {
		if ent.Key >= oldest || remaining == 0 {
			return false
		}
		remaining--
		// Another host may have deleted the segment at the same time.
		err := au.store.Delete(ctx, ent.Key, ent.Revision)
		if err != nil && !errors.Is(err, storer.ErrNotFound) && !errors.Is(err, storer.ErrConflict) {
			errs = append(errs, err)
		}
		return ctx.Err() == nil
	})
	return errors.Join(append(errs, err)...)
}
