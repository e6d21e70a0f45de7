package publisher

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"golang.org/x/sync/singleflight"

	"github.com/currantrouter/currantrouter/internal/fleet/modeler"
	"github.com/currantrouter/currantrouter/internal/hours/counter"
	"github.com/currantrouter/currantrouter/internal/plan/importer"
	"github.com/currantrouter/currantrouter/internal/provider/storer"
	"github.com/currantrouter/currantrouter/internal/telemetry/logger"
	"github.com/currantrouter/currantrouter/internal/telemetry/meter"
)

// ErrInvalidDay means that a day does not have the form 2006-01-02 or is more than a year from
// today.
var ErrInvalidDay = errors.New("not a day in the form 2006-01-02 of the last year")

// Store is the part of the key-value service that the publisher uses.
type Store interface {
	List(ctx context.Context, prefix, after string, limit int) ([]storer.Entry, error)
}

// Plans returns the current plan of a day without its jobs, or importer.ErrNoPlan.
type Plans interface {
	Outline(ctx context.Context, day string) (*importer.Plan, error)
}

// Configurations returns the current configuration, or nil if there is none.
type Configurations interface {
	Current() *modeler.Configuration
}

// ReportSource returns the reports in the memory of this host.
type ReportSource interface {
	InMemoryReports() []counter.Report
}

const (
	// maxPageAge is how long a page is cached. Anyone can request a page, and computing it reads all
	// reports of a day.
	maxPageAge = 10 * time.Second
	// maxCachedPages bounds the memory of the cache. One day of 100 hosts takes about 3 MB.
	maxCachedPages = 8
	// buildTimeout bounds the store reads for one page.
	buildTimeout = 5 * time.Second
	// maxReadAge is how long reports on an hour whose ReportGracePeriod has ended are reused before
	// they are read again. It bounds the delay until a late report appears on the page.
	maxReadAge = 2 * time.Minute
	// maxListEntries bounds the reports that one List call returns.
	maxListEntries = 200
	// maxDayDistance bounds the distance of a requested day from today, since each day costs reads
	// of the store.
	maxDayDistance = 366 * 24 * time.Hour
)

// Publisher computes and caches the pages of days. It is safe for concurrent use.
type Publisher struct {
	store        Store
	plans        Plans
	cfgs         Configurations
	reportSource ReportSource
	// zone is the time zone of days without a plan.
	zone *time.Location
	lg   logr.Logger
	mt   *meter.Registry

	// computations deduplicates concurrent computations of the same day.
	computations singleflight.Group
	mu           sync.Mutex
	// cache has at most maxCachedPages pages by day. Guarded by mu.
	cache map[string]cachedPage
}

type cachedPage struct {
	page     *Page
	computed time.Time
	// hours has the stored reports that the page was computed from. The next page reuses them if the
	// store does not answer, so that its counts do not decrease.
	hours map[time.Time]hourRead
}

// hourRead has the stored reports on an hour and the time at which they were read.
type hourRead struct {
	reports []counter.Report
	read    time.Time
}

// fresh reports whether the reports can be reused without reading them again.
func (hrd hourRead) fresh(start, now time.Time) bool {
	final := counter.Source{Hour: start}.GraceEnded(hrd.read)
	return final && now.Sub(hrd.read) < maxReadAge
}

// New returns a Publisher. The zone applies to days without a plan.
func New(st Store, pls Plans, cfgs Configurations, rs ReportSource, zone *time.Location, lg logr.Logger, mt *meter.Registry) *Publisher {
	return &Publisher{
		store: st, plans: pls, cfgs: cfgs, reportSource: rs, zone: zone, lg: lg, mt: mt,
		cache: map[string]cachedPage{},
	}
}

// Today returns the current day in the time zone of the deployment.
func (pb *Publisher) Today() string { return time.Now().In(pb.zone).Format(time.DateOnly) }

// Page returns the page of a day, which is at most maxPageAge old. If the store does not answer, the
// page is built from the reports in memory and those read before, and is marked as incomplete.
// Errors: ErrInvalidDay.
func (pb *Publisher) Page(ctx context.Context, day string) (*Page, error) {
	if err := checkDay(day); err != nil {
		return nil, err
	}
	if pg := pb.fromCache(day); pg != nil {
		return pg, nil
	}
	// Other requests may wait for this computation, so it must not end with this request.
	ctx = context.WithoutCancel(ctx)
	res, err, _ := pb.computations.Do(day, func() (any, error) { return pb.compute(ctx, day) })
	if err != nil {
		return nil, err
	}
	return res.(*Page), nil
}

func checkDay(day string) error {
	at, err := time.Parse(time.DateOnly, day)
	if err != nil || time.Since(at) > maxDayDistance || time.Until(at) > maxDayDistance {
		return ErrInvalidDay
	}
	return nil
}

func (pb *Publisher) fromCache(day string) *Page {
	pb.mu.Lock()
	defer pb.mu.Unlock()
	if cp, ok := pb.cache[day]; ok && time.Since(cp.computed) < maxPageAge {
		return cp.page
	}
	return nil
}

func (pb *Publisher) compute(ctx context.Context, day string) (*Page, error) {
	ctx, stop := context.WithTimeout(ctx, buildTimeout)
	defer stop()
	in := input{day: day, zone: pb.zone, now: time.Now(), configuration: pb.cfgs.Current()}
	pb.readPlan(ctx, &in)
	hours, err := pb.readReports(ctx, &in)
	if err != nil {
		return nil, err
	}
	for _, hrd := range hours {
		in.reports = append(in.reports, hrd.reports...)
	}
	in.reports = append(in.reports, pb.reportSource.InMemoryReports()...)
	pg, err := build(in)
	if err != nil {
		return nil, err
	}
	pb.mt.Add(meter.HourPagesBuilt, 1)
	pb.addToCache(day, cachedPage{page: pg, computed: in.now, hours: hours})
	return pg, nil
}

// cachedReads returns the stored reports of the cached page. The map is not modified once cached.
func (pb *Publisher) cachedReads(day string) map[time.Time]hourRead {
	pb.mu.Lock()
	defer pb.mu.Unlock()
	return pb.cache[day].hours
}

func (pb *Publisher) readPlan(ctx context.Context, in *input) {
	pl, err := pb.plans.Outline(ctx, in.day)
	switch {
	case errors.Is(err, importer.ErrNoPlan):
		return
	case err != nil:
		pb.markIncomplete(in, err)
		return
	}
	in.plan = pl
	if loc, err := pl.Location(); err == nil {
		in.zone = loc
	}
}

// readReports returns the stored reports on each hour that has begun. If the store fails, the reports
// of the cached page are reused for the remaining hours. Errors: ErrInvalidDay.
func (pb *Publisher) readReports(ctx context.Context, in *input) (map[time.Time]hourRead, error) {
	starts, err := hoursOfDay(in.day, in.zone)
	if err != nil {
		return nil, err
	}
	cached := pb.cachedReads(in.day)
	hours := make(map[time.Time]hourRead, len(starts))
	for _, start := range starts {
		if start.After(in.now) {
			break
		}
		hours[start] = cached[start]
		if in.incomplete || cached[start].fresh(start, in.now) {
			continue
		}
		rps, err := pb.readHour(ctx, start)
		if err != nil {
			pb.markIncomplete(in, err)
			continue
		}
		hours[start] = hourRead{reports: rps, read: in.now}
	}
	return hours, nil
}

func (pb *Publisher) readHour(ctx context.Context, start time.Time) ([]counter.Report, error) {
	var rps []counter.Report
	prefix, after := counter.HourPrefix(start), ""
	for {
		ents, err := pb.store.List(ctx, prefix, after, maxListEntries)
		if err != nil {
			return nil, err
		}
		for _, ent := range ents {
			rp, err := counter.Decode(ent)
			if err != nil {
				logger.Log(pb.lg, logger.HourReportDamaged, "Key", ent.Key, "Error", err.Error())
				continue
			}
			rps = append(rps, rp)
		}
		if len(ents) < maxListEntries {
			return rps, nil
		}
		after = ents[len(ents)-1].Key
	}
}

// markIncomplete logs the first failure to read the input of a page.
func (pb *Publisher) markIncomplete(in *input, err error) {
	if !in.incomplete {
		logger.Log(pb.lg, logger.HoursNotRead, "Day", in.day, "Error", err.Error())
	}
	in.incomplete = true
}

// addToCache evicts the oldest page if the cache exceeds maxCachedPages.
func (pb *Publisher) addToCache(day string, cp cachedPage) {
	pb.mu.Lock()
	defer pb.mu.Unlock()
	pb.cache[day] = cp
	if len(pb.cache) <= maxCachedPages {
		return
	}
	oldest := day
	for otherDay, other := range pb.cache {
		if other.computed.Before(pb.cache[oldest].computed) {
			oldest = otherDay
		}
	}
	delete(pb.cache, oldest)
}
