// Package counter counts the calls of each service per hour. Counts are cumulative for one process
// lifetime, so that writing or merging a report is idempotent.
package counter

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/currantrouter/currantrouter/internal/fleet/modeler"
)

// Counts are the calls of one service in one hour. They never decrease.
type Counts struct {
	// Answered counts calls whose complete answer was sent to the caller.
	Answered int64
	// Refused counts calls that no runner executed.
	Refused int64
	// Unknown counts calls without an answer that a runner may have executed.
	Unknown int64
	// Late counts answered calls whose answer came after the deadline. Answered includes them.
	Late int64
}

// Max returns the maximum of each count.
func (cs Counts) Max(other Counts) Counts {
	return Counts{
		Answered: max(cs.Answered, other.Answered),
		Refused:  max(cs.Refused, other.Refused),
		Unknown:  max(cs.Unknown, other.Unknown),
		Late:     max(cs.Late, other.Late),
	}
}

// Add returns the sum of each count.
func (cs Counts) Add(other Counts) Counts {
	return Counts{
		Answered: cs.Answered + other.Answered,
		Refused:  cs.Refused + other.Refused,
		Unknown:  cs.Unknown + other.Unknown,
		Late:     cs.Late + other.Late,
	}
}

// Sub returns the increase of each count since earlier.
func (cs Counts) Sub(earlier Counts) Counts {
	return Counts{
		Answered: cs.Answered - earlier.Answered,
		Refused:  cs.Refused - earlier.Refused,
		Unknown:  cs.Unknown - earlier.Unknown,
		Late:     cs.Late - earlier.Late,
	}
}

// Total returns the number of all calls.
func (cs Counts) Total() int64 { return cs.Answered + cs.Refused + cs.Unknown }

func (cs Counts) valid() bool {
	return cs.Answered >= 0 && cs.Refused >= 0 && cs.Unknown >= 0 && cs.Late >= 0
}

// Source identifies the report of one process of an entry host on one hour.
type Source struct {
	Host modeler.HostName
	Boot modeler.BootID
	// Hour is the start of an hour in UTC. Local time would be ambiguous in keys, because an hour
	// occurs twice when clocks are set back.
	Hour time.Time
}

// Key returns the store key of the report.
func (sc Source) Key() string {
	return HourPrefix(sc.Hour) + string(sc.Host) + "/" + string(sc.Boot)
}

// HourPrefix returns the key prefix of all reports on the hour that contains the given time.
func HourPrefix(at time.Time) string { return at.UTC().Format("Hours/2006-01-02/15/") }

// Report has the counts of one source. It is stored as JSON under the source's key.
type Report struct {
	Source
	Services map[modeler.ServiceName]Counts
	// Written is the wall-clock time of the last write.
	Written time.Time
	// Closed means that Services is complete: the process counted until the end of the hour or until
	// its graceful shutdown. It stays false if the process crashes.
	Closed bool
	// Expected lists the hosts that were configured during the hour, so that the publisher can
	// detect missing reports.
	Expected []modeler.HostName `json:",omitempty"`
	// Amendments lists the increases after ReportGracePeriod, oldest first.
	Amendments []Amendment `json:",omitempty"`
}

// Amendment is an increase of counts by a write after ReportGracePeriod.
type Amendment struct {
	At time.Time
	// Added is the increase of the counts.
	Added map[modeler.ServiceName]Counts
}

const (
	// ReportGracePeriod is the time after the end of an hour in which increases of its counts are
	// not amendments. It covers several write intervals and a short outage of the store.
	ReportGracePeriod = 5 * time.Minute
	// maxAmendments bounds a report; further ones are added to the last.
	maxAmendments = 16
	// maxNameBytes bounds the names in copies that peers send.
	maxNameBytes = 100
)

// GraceEnded reports whether the hour's ReportGracePeriod has ended at the given time.
func (sc Source) GraceEnded(at time.Time) bool {
	return at.After(sc.Hour.Add(time.Hour + ReportGracePeriod))
}

// mergeCounts returns a report with the greater of both for each count and the union of the expected
// hosts, and whether it differs from the receiver. It modifies neither report. Amendments and the time
// of writing are those of the receiver.
func (rp Report) mergeCounts(other Report) (Report, bool) {
	out := rp
	out.Services = maps.Clone(rp.Services)
	if out.Services == nil {
		out.Services = map[modeler.ServiceName]Counts{}
	}
	changed := other.Closed && !rp.Closed
	out.Closed = rp.Closed || other.Closed
	for name, cs := range other.Services {
		old, known := out.Services[name]
		raised := old.Max(cs)
		out.Services[name] = raised
		changed = changed || !known || raised != old
	}
	for _, hn := range other.Expected {
		if !slices.Contains(out.Expected, hn) {
			out.Expected = append(slices.Clone(out.Expected), hn)
			changed = true
		}
	}
	return out, changed
}

// withAmendment returns the report with an amendment for the increase since the stored report.
func (rp Report) withAmendment(stored Report, at time.Time) Report {
	added := map[modeler.ServiceName]Counts{}
	for name, cs := range rp.Services {
		if increase := cs.Sub(stored.Services[name]); increase != (Counts{}) {
			added[name] = increase
		}
	}
	rp.Amendments = slices.Clone(stored.Amendments)
	if len(added) == 0 {
		return rp
	}
	if len(rp.Amendments) < maxAmendments {
		rp.Amendments = append(rp.Amendments, Amendment{At: at, Added: added})
		return rp
	}
	last := rp.Amendments[maxAmendments-1]
	last.Added = maps.Clone(last.Added)
	for name, cs := range added {
		last.Added[name] = last.Added[name].Add(cs)
	}
	last.At = at
	rp.Amendments[maxAmendments-1] = last
	return rp
}

// validate returns ErrInvalidReport for a report that no Counter can have produced.
func (rp Report) validate() error {
	if rp.Host == "" || rp.Boot == "" || len(rp.Host) > maxNameBytes || len(rp.Boot) > maxNameBytes {
		return fmt.Errorf("%w: host %q or boot %q is empty or too long", ErrInvalidReport, rp.Host, rp.Boot)
	}
	if !rp.Hour.Equal(rp.Hour.Truncate(time.Hour)) {
		return fmt.Errorf("%w: %s is not the start of an hour", ErrInvalidReport, rp.Hour)
	}
	for name, cs := range rp.Services {
		if name == "" || len(name) > maxNameBytes || !cs.valid() {
			return fmt.Errorf("%w: service name %q is empty or too long, or one of its counts %+v is negative", ErrInvalidReport, name, cs)
		}
	}
	return nil
}

// Merge is like mergeCounts, but returns the longer list of amendments.
func (rp Report) Merge(other Report) Report {
	out, _ := rp.mergeCounts(other)
	if len(other.Amendments) > len(rp.Amendments) {
		out.Amendments = other.Amendments
	}
	return out
}
