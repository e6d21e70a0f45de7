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
	// ErrInvalidReport means that a report has values that no Counter can have produced.
	ErrInvalidReport = errors.New("invalid report of hour counts")
)

// Store is the part of the key-value service that the counter uses.
type Store interface {
	Get(ctx context.Context, key string) (storer.Entry, error)
	Put(ctx context.Context, key string, value []byte, expected int64) (int64, error)
}

// Configurations returns the current configuration, or nil if there is none.
type Configurations interface {
	Current() *modeler.Configuration
}

const (
	// writeInterval is the time between two writes of an hour's report while its counts change.
	writeInterval = 30 * time.Second
	// retentionPeriod is how long counts stay in memory after their hour began. It covers a one-day
	// outage of the store and a wall clock that is set back.
	retentionPeriod = 48 * time.Hour
	// maxPeerReports bounds the memory for reports of peers.
	maxPeerReports = 8192
)

// Counter counts calls by service and hour. It is safe for concurrent use.
type Counter struct {
	host  modeler.HostName
	boot  modeler.BootID
	store Store
	cfgs  Configurations
	lg    logr.Logger
	mt    *meter.Registry

	// table is copied on write, when a service is first called in an hour, so that Record takes no
	// lock.
	table atomic.Pointer[countTable]

	// flushMu admits one flush at a time.
	flushMu sync.Mutex
	// ownHours has the hours of this process within the retention period. Guarded by flushMu.
	ownHours map[time.Time]*ownHour
	// failing is set while writes fail, so that an outage is logged once. Guarded by flushMu.
	failing bool

	mu sync.Mutex
	// peerReports has the latest reports of other processes, at most maxPeerReports. Guarded by mu.
	peerReports map[Source]*peerReport
}

// countTable has the counts of all services and hours in memory.
type countTable map[countKey]*liveCounts

type countKey struct {
	service modeler.ServiceName
	// hour counts hours since the Unix epoch.
	hour int64
}

// liveCounts has the counts of one service in one hour. They never decrease.
type liveCounts struct {
	answered, refused, unknown, late atomic.Int64
}

// peerReport is the latest report of a peer.
type peerReport struct {
	report Report
	// compareAt is when the report is compared with the store. It is zero if that was done since
	// the counts last increased.
	compareAt time.Time
}

// New returns a Counter for one process lifetime of a host. Nothing is written before Run.
func New(host modeler.HostName, boot modeler.BootID, st Store, cfgs Configurations, lg logr.Logger, mt *meter.Registry) *Counter {
	ct := &Counter{
		host: host, boot: boot, store: st, cfgs: cfgs, lg: lg, mt: mt,
		ownHours: map[time.Time]*ownHour{}, peerReports: map[Source]*peerReport{},
	}
	ct.table.Store(&countTable{})
	return ct
}

// Record counts one call that has ended. It ignores late unless the call was answered. It takes no
// lock and does not allocate, except for the first call of a service in an hour. Calls of services
// that are not configured only increase the metric HourCallsWithoutService, because callers could
// fill the memory with invented names.
func (ct *Counter) Record(service modeler.ServiceName, oc modeler.Outcome, late bool) {
	lc := ct.countsOf(countKey{service, hourNumber(time.Now())})
	if lc == nil {
		ct.mt.Add(meter.HourCallsWithoutService, 1)
		return
	}
	switch oc {
	case modeler.Answered:
		lc.answered.Add(1)
		if late {
			lc.late.Add(1)
		}
	case modeler.NotRun:
		lc.refused.Add(1)
	default:
		lc.unknown.Add(1)
	}
}

// countsOf returns nil if the service is not counted.
func (ct *Counter) countsOf(ky countKey) *liveCounts {
	for {
		tb := ct.table.Load()
		if lc, ok := (*tb)[ky]; ok {
			return lc
		}
		if !ct.isCounted(*tb, ky) {
			return nil
		}
		next := maps.Clone(*tb)
		lc := new(liveCounts)
		next[ky] = lc
		if ct.table.CompareAndSwap(tb, &next) {
			return lc
		}
	}
}

// isCounted reports whether the service is configured or was counted in the previous hour. The latter
// covers calls that are in flight when their service is removed from the configuration.
func (ct *Counter) isCounted(tb countTable, ky countKey) bool {
	if _, ok := tb[countKey{ky.service, ky.hour - 1}]; ok {
		return true
	}
	cfg := ct.cfgs.Current()
	if cfg == nil {
		return false
	}
	_, ok := cfg.Service(ky.service)
	return ok
}

// RecentReports returns the reports of this process that heartbeats send to peers: that of the
// current hour and, within ReportGracePeriod, that of the previous hour.
func (ct *Counter) RecentReports() []Report {
	now := time.Now()
	hr := hourStart(now)
	rps := []Report{ct.report(hr, false)}
	if now.Sub(hr) < ReportGracePeriod {
		if rp := ct.report(hr.Add(-time.Hour), false); len(rp.Services) > 0 {
			rps = append(rps, rp)
		}
	}
	return rps
}

// Merge merges reports of other processes, which any peer may have relayed. Counts never decrease.
// Invalid reports are skipped and yield ErrInvalidReport after the others have been merged.
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
		if err := rp.validate(); err != nil {
			errs = append(errs, err)
			continue
		}
		if rp.Hour.After(now.Add(time.Hour)) || now.Sub(rp.Hour) > retentionPeriod {
			continue
		}
		ct.mergePeerReport(rp, now)
	}
	return errors.Join(errs...)
}

func (ct *Counter) mergePeerReport(rp Report, now time.Time) {
	pr, known := ct.peerReports[rp.Source]
	if !known {
		if len(ct.peerReports) >= maxPeerReports {
			ct.mt.Add(meter.HourCopiesDropped, 1)
			return
		}
		pr = &peerReport{report: Report{Source: rp.Source}}
		ct.peerReports[rp.Source] = pr
	}
	merged, changed := pr.report.mergeCounts(rp)
	if !changed && known {
		return
	}
	pr.report = merged
	pr.compareAt = now.Add(compareDelay())
}

// InMemoryReports returns the reports of this process and the latest ones of peers. The publisher
// merges them with the stored reports.
func (ct *Counter) InMemoryReports() []Report {
	var rps []Report
	for _, hr := range ct.hours(time.Now()) {
		rps = append(rps, ct.report(hr, false))
	}
	ct.mu.Lock()
	defer ct.mu.Unlock()
	for _, pr := range ct.peerReports {
		rps = append(rps, pr.report)
	}
	return rps
}

// report returns the current counts of an hour. In the current hour, configured services are listed
// even without calls, which distinguishes an hour without calls from one without data.
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
		rp.Expected = expectedHosts(cfg)
	}
	for ky, lc := range *ct.table.Load() {
		if ky.hour == hourNumber(hr) {
			rp.Services[ky.service] = lc.load()
		}
	}
	return rp
}

// expectedHosts returns the configured hosts that are not retired, in the order of their names.
func expectedHosts(cfg *modeler.Configuration) []modeler.HostName {
	var hns []modeler.HostName
	for _, hst := range cfg.Hosts {
		if !hst.Retired {
			hns = append(hns, hst.Name)
		}
	}
	slices.Sort(hns)
	return hns
}

// hours returns the hours that have counts, and the current one, in ascending order.
func (ct *Counter) hours(now time.Time) []time.Time {
	set := map[time.Time]bool{hourStart(now): true}
	for ky := range *ct.table.Load() {
		set[time.Unix(ky.hour*3600, 0).UTC()] = true
	}
	return slices.SortedFunc(maps.Keys(set), time.Time.Compare)
}

// load reads late first, and Record increments it last, so that a report never has more late than
// answered calls.
func (lc *liveCounts) load() Counts {
	late := lc.late.Load()
	return Counts{
		Answered: lc.answered.Load(),
		Refused:  lc.refused.Load(),
		Unknown:  lc.unknown.Load(),
		Late:     late,
	}
}

func hourStart(at time.Time) time.Time { return at.UTC().Truncate(time.Hour) }

// hourNumber returns the number of hours since the Unix epoch.
func hourNumber(at time.Time) int64 { return at.Unix() / 3600 }
