package explainer

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"sort"
	"time"

	"github.com/currantrouter/currantrouter/internal/telemetry/logger"
)

const (
	// minStep is the least difference between two lines of a host from which its clock is taken to have
	// stepped back. Lines that are written at the same time may be in either order.
	minStep = 100 * time.Millisecond
	// errorsOnEachSide is the number of observed clock errors before and after a line whose medians are
	// compared. A message that took long spoils one of them.
	errorsOnEachSide = 4
	// minStepDifference is the difference of these medians from which the clock is taken to have stepped
	// between them. Messages usually take less.
	minStepDifference = 500 * time.Millisecond
)

// sighting is a line by which a host tells that it sent or received a message.
type sighting struct {
	host   *hostLog
	number int
	at     time.Time
}

// group holds the sightings of one message.
type group struct {
	// origin is of the sender if it is known, or of the first host read.
	origin    sighting
	sent      bool
	receivers []sighting
	// ambiguous is set if several hosts sent it, such as a job that was submitted again.
	ambiguous bool
}

// addSighting takes note of a line about a message that other hosts log as well: an accepted job, which the
// leader receives, a new leader, and a configuration from the store.
func (ex *Explainer) addSighting(sg sighting, fields Fields) {
	key, sent := "", false
	switch fields.Event() {
	case logger.JobAccepted.Number:
		key, sent = "job "+fields.text("Job"), true
	case logger.JobTakenOver.Number:
		key = "job " + fields.text("Job")
	case logger.LeaderElected.Number:
		key, sent = fmt.Sprint("epoch ", fields["Epoch"]), fields["Self"] == true
	case logger.QueuesAccepted.Number:
		if fields["From"] == "store" {
			key = fmt.Sprint("revision ", fields["Revision"])
		}
	}
	if key == "" {
		return
	}
	gr := ex.groups[key]
	switch {
	case gr == nil:
		ex.groups[key] = &group{origin: sg, sent: sent}
	case sent && gr.sent:
		gr.ambiguous = true
	case sent:
		gr.receivers = append(gr.receivers, gr.origin)
		gr.origin, gr.sent = sg, true
	default:
		gr.receivers = append(gr.receivers, sg)
	}
}

// clockError is an observed error of a host's clock.
type clockError struct {
	// number is the line at which it was observed.
	number int
	ahead  time.Duration
}

// pair holds the sightings of one message by two hosts.
type pair struct{ near, far sighting }

// align compares the hosts' clocks by the messages that two of them logged. It starts with one host, whose
// clock is the reference, and goes on with the host that shares most messages with those done. It returns
// the reference.
func (ex *Explainer) align() string {
	pairs := ex.pairs()
	reference := ex.reference(pairs)
	if reference == nil {
		return ""
	}
	for hl := reference; hl != nil; hl = ex.next(pairs) {
		hl.aligned = true
		for _, pr := range pairs[hl] {
			if other := pr.far.host; hl != reference && other.aligned && other != hl {
				at := pr.far.at.Add(-other.errorAt(pr.far.number))
				hl.errors = append(hl.errors, clockError{pr.near.number, pr.near.at.Sub(at)})
			}
		}
		slices.SortFunc(hl.errors, func(one, two clockError) int { return cmp.Compare(one.number, two.number) })
	}
	return reference.name
}

// pairs returns the messages that each host shares with another one.
func (ex *Explainer) pairs() map[*hostLog][]pair {
	pairs := map[*hostLog][]pair{}
	for _, gr := range ex.groups {
		if gr.ambiguous {
			continue
		}
		for _, sg := range gr.receivers {
			if sg.host != gr.origin.host {
				pairs[sg.host] = append(pairs[sg.host], pair{sg, gr.origin})
				pairs[gr.origin.host] = append(pairs[gr.origin.host], pair{gr.origin, sg})
			}
		}
	}
	return pairs
}

// sortedHosts returns the hosts by name, so that the result does not depend on the order of a map.
func (ex *Explainer) sortedHosts() []*hostLog {
	var list []*hostLog
	for _, name := range slices.Sorted(maps.Keys(ex.hosts)) {
		list = append(list, ex.hosts[name])
	}
	return list
}

// reference returns the host whose clock stepped back least often and, of these, the one with most pairs.
// Times on a clock that steps back would not give an order.
func (ex *Explainer) reference(pairs map[*hostLog][]pair) *hostLog {
	var best *hostLog
	for _, hl := range ex.sortedHosts() {
		if best == nil || cmp.Or(cmp.Compare(hl.steps, best.steps), cmp.Compare(len(pairs[best]), len(pairs[hl]))) < 0 {
			best = hl
		}
	}
	return best
}

// next returns the host that shares most messages with aligned ones, or nil if none does.
func (ex *Explainer) next(pairs map[*hostLog][]pair) *hostLog {
	var best *hostLog
	most := 0
	for _, hl := range ex.sortedHosts() {
		shared := 0
		for _, pr := range pairs[hl] {
			if pr.far.host.aligned {
				shared++
			}
		}
		if !hl.aligned && shared > most {
			best, most = hl, shared
		}
	}
	return best
}

// errorAt returns by how much the host's clock was ahead of the reference at a line: the median of the
// errors observed around it or, if the clock has stepped between them, that of the side that the nearest
// one is on.
func (hl *hostLog) errorAt(number int) time.Duration {
	if len(hl.errors) == 0 {
		return 0
	}
	ix := sort.Search(len(hl.errors), func(ix int) bool { return hl.errors[ix].number >= number })
	before := hl.errors[max(0, ix-errorsOnEachSide):ix]
	after := hl.errors[ix:min(len(hl.errors), ix+errorsOnEachSide)]
	switch {
	case len(before) == 0:
		return median(after)
	case len(after) == 0:
		return median(before)
	}
	one, two := median(before), median(after)
	if (one - two).Abs() < minStepDifference {
		return median(hl.errors[ix-len(before) : ix+len(after)])
	}
	if number-before[len(before)-1].number < after[0].number-number {
		return one
	}
	return two
}

// median returns the median of errors, of an even number the lower one.
func median(errors []clockError) time.Duration {
	var list []time.Duration
	for _, ce := range errors {
		list = append(list, ce.ahead)
	}
	slices.Sort(list)
	return list[(len(list)-1)/2]
}
