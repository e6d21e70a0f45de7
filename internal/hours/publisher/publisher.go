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

// ErrDay means that a day has not the form 2006-01-02 or is out of the range of the page.
var ErrDay = errors.New("not a day in the form 2006-01-02 of the last year")

// Store is the part of the key-value service that the publisher uses.
type Store interface {
	List(ctx context.Context, prefix, after string, limit int) ([]storer.Entry, error)
}

// Plans returns the plan in force for a day without its jobs, or importer.ErrNoPlan.
type Plans interface {
	Outline(ctx context.Context, day string) (*importer.Plan, error)
}

// Configurations returns the configuration in force, or nil when there is none.
type Configurations interface {
	Current() *modeler.Configuration
}

// Counts returns the reports in the memory of this host.
type Counts interface {
	InMemoryReports() []counter.Report
}

const (
	// cacheTime is how long a page is shown before it is computed again. The page is public, and
	// computing it reads all reports of a day.
	cacheTime = 10 * time.Second
	// maxCached bounds the memory for pages. A day of 100 hosts takes about 3 MB.
	maxCached = 8
	// buildLimit bounds the reads for one page.
	buildLimit = 5 * time.Second
	// settledReadTime is how long the reports on an hour that is settled are used before they are
	// read again. Late reports appear on the page after at most this time.
	settledReadTime = 2 * time.Minute
	// pageLength is the number of reports read at a time.
	pageLength = 200
	// maxAge bounds the days that can be asked for, since each costs reads of the store.
	maxAge = 366 * 24 * time.Hour
)

// Publisher computes the pages of days. It is safe for concurrent use.
type Publisher struct {
	store  Store
	plans  Plans
	cfgs   Configurations
	counts Counts
	// zone is the time zone of days without a plan.
	zone *time.Location
	lg   logr.Logger
	mt   *meter.Registry

	flights singleflight.Group
	mu      sync.Mutex
	// cached has at most maxCached pages by day. Guarded by mu.
	cached map[string]cachedPage
}

type cachedPage struct {
	page *Page
	at   time.Time
	// hours has the reports that the page was computed from. While the store does not answer, they
	// keep the counts of the next page from falling.
	hours map[time.Time]hourRead
}

// hourRead is what the store had on an hour.
type hourRead struct {
	reports []counter.Report
	at      time.Time
}

// fresh reports whether the reports need not be read again.
func (hrd hourRead) fresh(start, now time.Time) bool {
	settled := counter.Source{Hour: start}.GraceEnded(hrd.at)
	return settled && now.Sub(hrd.at) < settledReadTime
}

// New returns a publisher. Zone is the time zone of the deployment, for days without a plan.
func New(st Store, pls Plans, cfgs Configurations, cts Counts, zone *time.Location, lg logr.Logger, mt *meter.Registry) *Publisher {
	return &Publisher{
		store: st, plans: pls, cfgs: cfgs, counts: cts, zone: zone, lg: lg, mt: mt,
		cached: map[string]cachedPage{},
	}
}

// Today returns the present day in the time zone of the deployment.
func (pb *Publisher) Today() string { return time.Now().In(pb.zone).Format(time.DateOnly) }

// Page returns the page of a day, at most cacheTime old. It returns ErrDay. While the store does
// not answer, the page shows what this host has in memory and is marked as incomplete.
func (pb *Publisher) Page(ctx context.Context, day string) (*Page, error) {
	if err := checkDay(day); err != nil {
		return nil, err
	}
	if pg := pb.fromCache(day); pg != nil {
		return pg, nil
	}
	// The page is for all who wait, so the end of one request does not end its computation.
	ctx = context.WithoutCancel(ctx)
	res, err, _ := pb.flights.Do(day, func() (any, error) { return pb.compute(ctx, day) })
	if err != nil {
		return nil, err
	}
	return res.(*Page), nil
}

func checkDay(day string) error {
	at, err := time.Parse(time.DateOnly, day)
	if err != nil || time.Since(at) > maxAge || time.Until(at) > maxAge {
		return ErrDay
	}
	return nil
}

func (pb *Publisher) fromCache(day string) *Page {
	pb.mu.Lock()
	defer pb.mu.Unlock()
	if cp, ok := pb.cached[day]; ok && time.Since(cp.at) < cacheTime {
		return cp.page
	}
	return nil
}

func (pb *Publisher) compute(ctx context.Context, day string) (*Page, error) {
	ctx, stop := context.WithTimeout(ctx, buildLimit)
	defer stop()
	in := input{day: day, loc: pb.zone, now: time.Now(), configuration: pb.cfgs.Current()}
	pb.readPlan(ctx, &in)
	hours, err := pb.readReports(ctx, &in)
	if err != nil {
		return nil, err
	}
	for _, hrd := range hours {
		in.reports = append(in.reports, hrd.reports...)
	}
	in.reports = append(in.reports, pb.counts.InMemoryReports()...)
	pg, err := build(in)
	if err != nil {
		return nil, err
	}
	pb.mt.Add(meter.HourPagesBuilt, 1)
	pb.keep(day, cachedPage{page: pg, at: in.now, hours: hours})
	return pg, nil
}

// lastRead returns the reports of the page before. The map is not changed after it was kept.
func (pb *Publisher) lastRead(day string) map[time.Time]hourRead {
	pb.mu.Lock()
	defer pb.mu.Unlock()
	return pb.cached[day].hours
}

func (pb *Publisher) readPlan(ctx context.Context, in *input) {
	pl, err := pb.plans.Outline(ctx, in.day)
	switch {
	case errors.Is(err, importer.ErrNoPlan):
		return
	case err != nil:
		pb.note(in, err)
		return
	}
	in.plan = pl
	if loc, err := pl.Location(); err == nil {
		in.loc = loc
	}
}

// readReports returns the reports on each hour that has begun. When the store fails, the reports of
// the page before are used for the hours that are left. It returns only ErrDay.
func (pb *Publisher) readReports(ctx context.Context, in *input) (map[time.Time]hourRead, error) {
	starts, err := hoursOf(in.day, in.loc)
	if err != nil {
		return nil, err
	}
	last := pb.lastRead(in.day)
	hours := make(map[time.Time]hourRead, len(starts))
	for _, start := range starts {
		if start.After(in.now) {
			break
		}
		hours[start] = last[start]
		if in.incomplete || last[start].fresh(start, in.now) {
			continue
		}
		rps, err := pb.readHour(ctx, start)
		if err != nil {
			pb.note(in, err)
			continue
		}
		hours[start] = hourRead{reports: rps, at: in.now}
	}
	return hours, nil
}

func (pb *Publisher) readHour(ctx context.Context, start time.Time) ([]counter.Report, error) {
	var rps []counter.Report
	prefix, after := counter.HourPrefix(start), ""
	for {
		ents, err := pb.store.List(ctx, prefix, after, pageLength)
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
		if len(ents) < pageLength {
			return rps, nil
		}
		after = ents[len(ents)-1].Key
	}
}

func (pb *Publisher) note(in *input, err error) {
	if !in.incomplete {
		logger.Log(pb.lg, logger.HoursNotRead, "Day", in.day, "Error", err.Error())
	}
	in.incomplete = true
}

// keep forgets the oldest page when there are too many.
func (pb *Publisher) keep(day string, cp cachedPage) {
	pb.mu.Lock()
	defer pb.mu.Unlock()
	pb.cached[day] = cp
	if len(pb.cached) <= maxCached {
		return
	}
	oldest := day
	for dy, other := range pb.cached {
		if other.at.Before(pb.cached[oldest].at) {
			oldest = dy
		}
	}
	delete(pb.cached, oldest)
}
