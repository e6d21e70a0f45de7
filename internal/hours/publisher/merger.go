package publisher

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/currantrouter/currantrouter/internal/fleet/modeler"
	"github.com/currantrouter/currantrouter/internal/hours/counter"
	"github.com/currantrouter/currantrouter/internal/plan/importer"
)

// input has everything that a page is computed from.
type input struct {
	// day is the local day in the form 2006-01-02.
	day     string
	zone    *time.Location
	now     time.Time
	reports []counter.Report
	// plan is nil if the day has none.
	plan *importer.Plan
	// configuration is nil if there is none.
	configuration *modeler.Configuration
	// incomplete is set if the store did not answer.
	incomplete bool
}

// hourReports has the reports on one hour.
type hourReports struct {
	sources map[counter.Source]counter.Report
	// closed has an entry for every host with a report. It is true if the reports of all processes
	// of the host are closed.
	closed map[modeler.HostName]bool
	// expected has the hosts that should report.
	expected map[modeler.HostName]bool
}

// build computes the page of a day.
func build(in input) (*Page, error) {
	hours, err := hoursOfDay(in.day, in.zone)
	if err != nil {
		return nil, err
	}
	byHour := groupByHour(in, hours)
	pg := &Page{Day: in.day, TimeZone: in.zone.String(), Generated: in.now.In(in.zone), Incomplete: in.incomplete}
	for _, name := range serviceNames(in, byHour) {
		svc := Service{Name: name}
		for _, start := range hours {
			hr := buildHour(in, byHour[start], name, start)
			svc.Counts = svc.Counts.Add(hr.Counts)
			svc.Hours = append(svc.Hours, hr)
		}
		pg.Services = append(pg.Services, svc)
	}
	return pg, nil
}

// hoursOfDay returns the start of every UTC hour that begins on a local day, in order. They are the
// local hours in time zones with an offset of whole hours, which all deployments use. In other time
// zones each hour still belongs to exactly one day.
func hoursOfDay(day string, zone *time.Location) ([]time.Time, error) {
	from, until, err := importer.DayBounds(day, zone)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrInvalidDay, err)
	}
	start := from.Truncate(time.Hour)
	if start.Before(from) {
		start = start.Add(time.Hour)
	}
	var hours []time.Time
	for ; start.Before(until); start = start.Add(time.Hour) {
		hours = append(hours, start.UTC())
	}
	return hours, nil
}

func groupByHour(in input, hours []time.Time) map[time.Time]*hourReports {
	byHour := make(map[time.Time]*hourReports, len(hours))
	for _, start := range hours {
		byHour[start] = &hourReports{
			sources:  map[counter.Source]counter.Report{},
			closed:   map[modeler.HostName]bool{},
			expected: map[modeler.HostName]bool{},
		}
	}
	for _, rp := range in.reports {
		rp.Hour = rp.Hour.UTC()
		if hrs := byHour[rp.Hour]; hrs != nil {
			hrs.sources[rp.Source] = rp.Merge(hrs.sources[rp.Source])
		}
	}
	for start, hrs := range byHour {
		hrs.findHosts(in, start)
	}
	return byHour
}

// findHosts determines which hosts should report and which did. Reports list the hosts that were
// configured in their hour. The hosts of the current configuration are added for the current hour, and
// if no report lists any.
func (hrs *hourReports) findHosts(in input, start time.Time) {
	for _, rp := range hrs.sources {
		closed, known := hrs.closed[rp.Host]
		hrs.closed[rp.Host] = rp.Closed && (closed || !known)
		for _, hn := range rp.Expected {
			hrs.expected[hn] = true
		}
	}
	if in.configuration == nil || (len(hrs.expected) > 0 && !isCurrent(start, in.now)) {
		return
	}
	for _, hst := range in.configuration.Hosts {
		if !hst.Retired {
			hrs.expected[hst.Name] = true
		}
	}
}

// serviceNames returns the sorted names of all services in reports, the plan and the configuration.
func serviceNames(in input, byHour map[time.Time]*hourReports) []modeler.ServiceName {
	names := map[modeler.ServiceName]bool{}
	for _, hrs := range byHour {
		for _, rp := range hrs.sources {
			for name := range rp.Services {
				names[name] = true
			}
		}
	}
	if in.plan != nil {
		for _, svc := range in.plan.Services {
			names[svc.Name] = true
		}
	}
	if in.configuration != nil {
		for _, svc := range in.configuration.Services {
			names[svc.Name] = true
		}
	}
	return slices.Sorted(maps.Keys(names))
}

func buildHour(in input, hrs *hourReports, name modeler.ServiceName, start time.Time) Hour {
	hr := Hour{
		Start:         start.In(in.zone),
		Upcoming:      start.After(in.now),
		InProgress:    isCurrent(start, in.now),
		PausedMinutes: pausedMinutes(in.plan, name, start),
	}
	reported := false
	for _, rp := range hrs.sources {
		cs, ok := rp.Services[name]
		reported = reported || ok
		hr.Counts = hr.Counts.Add(cs)
		hr.addAmendments(rp, name)
	}
	slices.SortFunc(hr.Amendments, func(a, b Amendment) int {
		return cmp.Or(a.At.Compare(b.At), cmp.Compare(a.Added.Total(), b.Added.Total()))
	})
	hr.countHosts(hrs, in.now)
	hr.State = hr.Classify(reported)
	return hr
}

func (hr *Hour) addAmendments(rp counter.Report, name modeler.ServiceName) {
	for _, am := range rp.Amendments {
		if cs, ok := am.Added[name]; ok && cs != (counter.Counts{}) {
			hr.Amendments = append(hr.Amendments, Amendment{At: am.At.In(hr.Start.Location()), Added: cs})
		}
	}
}

// countHosts compares the expected hosts with those that have reported. A host counts as missing
// only after ReportGracePeriod from the start of the hour, and as partial only after the same period
// from its end, because reports may not be written yet before.
func (hr *Hour) countHosts(hrs *hourReports, now time.Time) {
	if hr.Upcoming {
		return
	}
	hr.ExpectedHosts = len(hrs.expected)
	final := now.After(hr.Start.Add(time.Hour + counter.ReportGracePeriod))
	for hn := range hrs.expected {
		if _, ok := hrs.closed[hn]; !ok && (final || now.Sub(hr.Start) > counter.ReportGracePeriod) {
			hr.MissingHosts++
		}
	}
	if !final {
		return
	}
	for _, closed := range hrs.closed {
		if !closed {
			hr.PartialHosts++
		}
	}
}

func isCurrent(start, now time.Time) bool {
	return !start.After(now) && now.Before(start.Add(time.Hour))
}

// pausedMinutes returns the number of minutes of an hour in which the service is paused by the plan or
// outside its planned hours. Overlapping pauses count once.
func pausedMinutes(pl *importer.Plan, name modeler.ServiceName, start time.Time) int {
	if pl == nil {
		return 0
	}
	paused := 0
	for at := start; at.Before(start.Add(time.Hour)); at = at.Add(time.Minute) {
		if isPausedAt(pl, name, at) {
			paused++
		}
	}
	return paused
}

func isPausedAt(pl *importer.Plan, name modeler.ServiceName, at time.Time) bool {
	for _, svc := range pl.Services {
		if svc.Name == name && (at.Before(svc.From) || !at.Before(svc.Until)) {
			return true
		}
	}
	return slices.ContainsFunc(pl.Pauses, func(ps importer.Pause) bool {
		return ps.Service == name && !at.Before(ps.From) && at.Before(ps.Until)
	})
}

func hourNote(hr *Hour) string {
	var notes []string
	add := func(format string, args ...any) { notes = append(notes, fmt.Sprintf(format, args...)) }
	if hr.Upcoming {
		add("not yet begun")
	}
	if hr.InProgress {
		add("in progress")
	}
	if hr.PausedMinutes > 0 && hr.State != Paused {
		add("planned pause of %d minutes", hr.PausedMinutes)
	}
	if hr.MissingHosts > 0 {
		add("%d of %d hosts missing", hr.MissingHosts, hr.ExpectedHosts)
	}
	if hr.PartialHosts > 0 {
		add("%d of %d hosts reported only part of the hour", hr.PartialHosts, hr.ExpectedHosts)
	}
	for _, am := range hr.Amendments {
		add("amended %s: %+d answered, %+d refused, %+d unknown, %+d late",
			am.At.Format("2006-01-02 15:04"), am.Added.Answered, am.Added.Refused, am.Added.Unknown, am.Added.Late)
	}
	return strings.Join(notes, "; ")
}
