package counter

import (
	"context"
	"errors"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"github.com/currantrouter/currantrouter/internal/fleet/modeler"
	"github.com/currantrouter/currantrouter/internal/provider/storer"
	"github.com/currantrouter/currantrouter/internal/telemetry/meter"
)

// Errors of this package. Callers test for them with errors.Is.
var (
	// ErrReport means that a report holds values that no counter can have produced.
	ErrReport = errors.New("report of hour counts is not valid")
)

// Store is the part of the key-value service that the counter uses.
type Store interface {
	Get(ctx context.Context, key string) (storer.Entry, error)
	Put(ctx context.Context, key string, value []byte, expected int64) (int64, error)
}

// Configurations returns the configuration in force, or nil when there is none.
type Configurations interface {
	Current() *modeler.Configuration
}

const (
	// WriteInterval is the time between two writes of an hour whose counts change.
	WriteInterval = 30 * time.Second
	// retention is how long counts stay in memory after their hour began. It covers an outage of
	// the store of a day and a wall clock that is set back.
	retention = 48 * time.Hour
	// maxCopies bounds the memory for copies of peers' counts.
	maxCopies = 8192
)

// Counter counts calls by service and hour. It is safe for concurrent use.
type Counter struct {
	host  modeler.HostName
	boot  modeler.BootID
	store Store
	cfgs  Configurations
	lg    logr.Logger
	mt    *meter.Registry

	// cells is replaced as a whole when a service is first called in an hour, so that Record
	// takes no lock.
	cells atomic.Pointer[cells]

	// flushing admits one writer at a time.
	flushing sync.Mutex
	// own has the hours of this process that are in retention. Guarded by flushing.
	own map[time.Time]*ownHour
	// failing is set while writes fail, so that an outage is logged once. Guarded by flushing.
	failing bool

	mu sync.Mutex
	// copies has the latest counts of other processes, with at most maxCopies entries. Guarded
	// by mu.
	copies map[Source]*peerCopy
}

type cells map[cellKey]*cell

type cellKey struct {
	service modeler.ServiceName
	// hour counts hours since the Unix epoch.
	hour int64
}

// cell has the counts of one service in one hour. They only rise.
type cell struct {
	answered, refused, unknown, late atomic.Int64
}

// peerCopy is the latest report of a peer.
type peerCopy struct {
	report Report
	// due is when the copy is compared with the store, zero when it has been since the last rise.
	due time.Time
}

// New returns a counter for one process lifetime of a host. Nothing is written before Run.
func New(host modeler.HostName, boot modeler.BootID, st Store, cfgs Configurations, lg logr.Logger, mt *meter.Registry) *Counter {
	ct := &Counter{
		host: host, boot: boot, store: st, cfgs: cfgs, lg: lg, mt: mt,
		own: map[time.Time]*ownHour{}, copies: map[Source]*peerCopy{},
	}
	ct.cells.Store(&cells{})
	return ct
}

// Record counts one call that has ended. Late is meant for answered calls. It takes no lock and
// does no allocation, but for the first call of a service in an hour. Calls of services that the
// configuration does not have are not counted by service, since callers could name any.
func (ct *Counter) Record(service modeler.ServiceName, oc modeler.Outcome, late bool) {
	cl := ct.cell(cellKey{service, hourNumber(time.Now())})
	if cl == nil {
		ct.mt.Add(meter.HourCallsWithoutService, 1)
		return
	}
	switch oc {
	case modeler.Answered:
		cl.answered.Add(1)
		if late {
			cl.late.Add(1)
		}
	case modeler.NotRun:
		cl.refused.Add(1)
	default:
		cl.unknown.Add(1)
	}
}

func (ct *Counter) cell(ky cellKey) *cell {
	for {
		tb := ct.cells.Load()
		if cl, ok := (*tb)[ky]; ok {
			return cl
		}
		if !ct.counted(*tb, ky) {
			return nil
		}
		next := maps.Clone(*tb)
		cl := new(cell)
		next[ky] = cl
		if ct.cells.CompareAndSwap(tb, &next) {
			return cl
		}
	}
}

// counted reports whether the service is configured or was counted in the hour before, since
// calls in flight outlive the removal of their service from the configuration.
func (ct *Counter) counted(tb cells, ky cellKey) bool {
	if _, ok := tb[cellKey{ky.service, ky.hour - 1}]; ok {
		return true
	}
	cfg := ct.cfgs.Current()
	if cfg == nil {
		return false
	}
	_, ok := cfg.Service(ky.service)
	return ok
}

// Latest returns the counts of this process in the current hour, and in the hour before during the
// first minutes of an hour, for the heartbeats to peers.
func (ct *Counter) Latest() []Report {
	now := time.Now()
	hr := hourStart(now)
	rps := []Report{ct.report(hr, false)}
	if now.Sub(hr) < SettleTime {
		if rp := ct.report(hr.Add(-time.Hour), false); len(rp.Services) > 0 {
			rps = append(rps, rp)
		}
	}
	return rps
}

// Merge accepts the latest counts of other processes, from whichever peer. Counts are only
// raised. It returns ErrReport for reports that no counter can have produced, after it has
// accepted the others.
func (ct *Counter) Merge(rps []Report) error {
	now := time.Now()
	var errs []error
	ct.mu.Lock()
	defer ct.mu.Unlock()
	for _, rp := range rps {
		if rp.Host == ct.host && rp.Boot == ct.boot {
			continue
		}
		rp.Hour = rp.Hour.UTC()
		if err := rp.check(); err != nil {
			errs = append(errs, err)
			continue
		}
		if rp.Hour.After(now.Add(time.Hour)) || now.Sub(rp.Hour) > retention {
			continue
		}
		ct.raise(rp, now)
	}
	return errors.Join(errs...)
}

func (ct *Counter) raise(rp Report, now time.Time) {
	cp, known := ct.copies[rp.Source]
	if !known {
		if len(ct.copies) >= maxCopies {
			ct.mt.Add(meter.HourCopiesDropped, 1)
			return
		}
		cp = &peerCopy{report: Report{Source: rp.Source}}
		ct.copies[rp.Source] = cp
	}
	merged, changed := cp.report.merge(rp)
	if !changed && known {
		return
	}
	cp.report = merged
	cp.due = now.Add(copyDelay())
}

// Live returns the reports in memory: those of this process and the copies of peers. The
// publisher shows them beside what the store holds.
func (ct *Counter) Live() []Report {
	var rps []Report
	for _, hr := range ct.hours(time.Now()) {
		rps = append(rps, ct.report(hr, false))
	}
	ct.mu.Lock()
	defer ct.mu.Unlock()
	for _, cp := range ct.copies {
		rps = append(rps, cp.report)
	}
	return rps
}

// report returns the present counts of an hour. Configured services are listed even without a
// call, so that an hour without calls differs from an hour without data.
func (ct *Counter) report(hr time.Time, closed bool) Report {
	rp := Report{
		Source:   Source{Host: ct.host, Boot: ct.boot, Hour: hr},
		Services: map[modeler.ServiceName]Counts{},
		Closed:   closed,
	}
	if cfg := ct.cfgs.Current(); cfg != nil && hr.Equal(hourStart(time.Now())) {
		for _, svc := range cfg.Services {
			rp.Services[svc.Name] = Counts{}
		}
		rp.Expected = expected(cfg)
	}
	for ky, cl := range *ct.cells.Load() {
		if ky.hour == hourNumber(hr) {
			rp.Services[ky.service] = cl.counts()
		}
	}
	return rp
}

func expected(cfg *modeler.Configuration) []modeler.HostName {
	var hns []modeler.HostName
	for _, hst := range cfg.Hosts {
		if !hst.Retired {
			hns = append(hns, hst.Name)
		}
	}
	slices.Sort(hns)
	return hns
}

// hours returns the hours that have counts or were written, and the current one, in order.
func (ct *Counter) hours(now time.Time) []time.Time {
	set := map[time.Time]bool{hourStart(now): true}
	for ky := range *ct.cells.Load() {
		set[time.Unix(ky.hour*3600, 0).UTC()] = true
	}
	return slices.SortedFunc(maps.Keys(set), time.Time.Compare)
}

// counts reads late first and Record raises it last, so that a report never has more late than
// answered calls.
func (cl *cell) counts() Counts {
	late := cl.late.Load()
	return Counts{
		Answered: cl.answered.Load(),
		Refused:  cl.refused.Load(),
		Unknown:  cl.unknown.Load(),
		Late:     late,
	}
}

func hourStart(at time.Time) time.Time { return at.UTC().Truncate(time.Hour) }

func hourNumber(at time.Time) int64 { return at.Unix() / 3600 }
