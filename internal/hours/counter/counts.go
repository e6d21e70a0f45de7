// Package counter counts the calls of each service by the hour. Counts are absolute for one
// process lifetime, so that writing or merging the same report twice counts nothing twice.
package counter

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/currantrouter/currantrouter/internal/fleet/modeler"
)

// Counts are the calls of one service in one hour. They only rise.
type Counts struct {
	// Answered counts calls whose whole answer was passed to the caller.
	Answered int64
	// Refused counts calls that no runner executed.
	Refused int64
	// Unknown counts calls that a runner may have executed without an answer.
	Unknown int64
	// Late counts those of the answered calls whose answer came after the deadline.
	Late int64
}

// Raise returns the greater of both for every count.
func (cs Counts) Raise(other Counts) Counts {
	return Counts{
		Answered: max(cs.Answered, other.Answered),
		Refused:  max(cs.Refused, other.Refused),
		Unknown:  max(cs.Unknown, other.Unknown),
		Late:     max(cs.Late, other.Late),
	}
}

// Add returns the sum of both.
func (cs Counts) Add(other Counts) Counts {
	return Counts{
		Answered: cs.Answered + other.Answered,
		Refused:  cs.Refused + other.Refused,
		Unknown:  cs.Unknown + other.Unknown,
		Late:     cs.Late + other.Late,
	}
}

// Minus returns the difference to earlier, lower counts.
func (cs Counts) Minus(earlier Counts) Counts {
	return Counts{
		Answered: cs.Answered - earlier.Answered,
		Refused:  cs.Refused - earlier.Refused,
		Unknown:  cs.Unknown - earlier.Unknown,
		Late:     cs.Late - earlier.Late,
	}
}

// Total counts all calls. Late calls are contained in the answered ones.
func (cs Counts) Total() int64 { return cs.Answered + cs.Refused + cs.Unknown }

func (cs Counts) valid() bool {
	return cs.Answered >= 0 && cs.Refused >= 0 && cs.Unknown >= 0 && cs.Late >= 0
}

// Source is one process lifetime of an entry host in one hour. Only this process counts there.
type Source struct {
	Host modeler.HostName
	Boot modeler.BootID
	// Hour is the start of an hour of UTC. Keys use UTC because a local hour occurs twice on the
	// day on which clocks go back.
	Hour time.Time
}

// Key returns the key of the source in the store.
func (sc Source) Key() string {
	return HourPrefix(sc.Hour) + string(sc.Host) + "/" + string(sc.Boot)
}

// HourPrefix returns the prefix of the keys of all reports on the hour that contains the moment.
func HourPrefix(at time.Time) string { return at.UTC().Format("Hours/2006-01-02/15/") }

// Report is what one source has counted. It is the document under the source's key.
type Report struct {
	Source
	Services map[modeler.ServiceName]Counts
	// Written is the wall-clock time of the last write.
	Written time.Time
	// Closed states that the process counted until the end of the hour or until its own orderly
	// end, and that Services is complete. A process that crashes leaves it false.
	Closed bool
	// Expected lists the hosts that the configuration in force had during the hour, so that the
	// publisher knows later which reports are missing.
	Expected []modeler.HostName `json:",omitempty"`
	// Amendments lists the rises after the hour was settled, the oldest first.
	Amendments []Amendment `json:",omitempty"`
}

// Amendment is a rise of counts by a late report.
type Amendment struct {
	At time.Time
	// Added is what the late report added to the counts.
	Added map[modeler.ServiceName]Counts
}

const (
	// SettleTime is the time after the end of an hour in which reports are regular. It covers
	// several write intervals and a short interruption of the store.
	SettleTime = 5 * time.Minute
	// maxAmendments bounds a report; further ones are added to the last.
	maxAmendments = 16
	// maxNameBytes bounds the names in copies that peers send.
	maxNameBytes = 100
)

// Settled reports whether a write at that time is an amendment of the hour.
func (sc Source) Settled(at time.Time) bool {
	return at.After(sc.Hour.Add(time.Hour + SettleTime))
}

// merge returns a report that is at least as high as both, and whether it differs from the first.
// Neither is changed.
func (rp Report) merge(other Report) (Report, bool) {
	out := rp
	out.Services = maps.Clone(rp.Services)
	if out.Services == nil {
		out.Services = map[modeler.ServiceName]Counts{}
	}
	changed := other.Closed && !rp.Closed
	out.Closed = rp.Closed || other.Closed
	for name, cs := range other.Services {
		old, known := out.Services[name]
		raised := old.Raise(cs)
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

// amend adds an amendment for all counts that are higher than in the stored report.
func (rp Report) amend(stored Report, at time.Time) Report {
	added := map[modeler.ServiceName]Counts{}
	for name, cs := range rp.Services {
		if rise := cs.Minus(stored.Services[name]); rise != (Counts{}) {
			added[name] = rise
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

// check refuses reports that no counter can have produced.
func (rp Report) check() error {
	if rp.Host == "" || rp.Boot == "" || len(rp.Host) > maxNameBytes || len(rp.Boot) > maxNameBytes {
		return fmt.Errorf("%w: host %q boot %q", ErrReport, rp.Host, rp.Boot)
	}
	if !rp.Hour.Equal(rp.Hour.Truncate(time.Hour)) {
		return fmt.Errorf("%w: %s is not the start of an hour", ErrReport, rp.Hour)
	}
	for name, cs := range rp.Services {
		if name == "" || len(name) > maxNameBytes || !cs.valid() {
			return fmt.Errorf("%w: service %q has %+v", ErrReport, name, cs)
		}
	}
	return nil
}

// Merge returns a report with the greater of both counts and the longer list of amendments.
// Neither is changed.
func (rp Report) Merge(other Report) Report {
	out, _ := rp.merge(other)
	if len(other.Amendments) > len(rp.Amendments) {
		out.Amendments = other.Amendments
	}
	return out
}
