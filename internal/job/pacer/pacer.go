// Package pacer decides the pace of best-effort tasks that run beside latency-critical ones: the
// percentage of full speed at which they may run. It is made for latency-critical tasks whose own
// load varies widely within seconds, so that the processors left for best-effort tasks vary as
// much, and whose tail latency is known only half a second late.
package pacer

import "time"

const (
	// FullPace is the pace, in percent, of a task that is not slowed.
	FullPace = 100
	// SlowThreshold is the relative load from which best-effort work is slowed. The relative load
	// is the load of a latency-critical task as a share of the load at its target.
	SlowThreshold = 0.975
	// RaiseThreshold is the relative load below which the pace of best-effort work is raised again.
	// A reduced pace aims at it.
	RaiseThreshold = 0.96
	// raiseStep is how much the pace is raised at a time, in percent of full speed.
	raiseStep = 25
	// minChangeInterval is the shortest time from one change of the pace to a raise or a partial
	// reduction. A change takes so long to show in the reports.
	minChangeInterval = 500 * time.Millisecond
	// minPace is the lowest pace other than 0, in percent. Instead of a lower one, the tasks are
	// halted.
	minPace = 10
)

// Pace is the pace of the best-effort tasks on one worker. The zero value is full pace.
type Pace struct {
	// reduction is FullPace minus the pace, in percent.
	reduction int
	// changed is when the pace last changed.
	changed time.Time
}

// Percent returns the present pace, from 0 (halted) to FullPace.
func (pc *Pace) Percent() int { return FullPace - pc.reduction }

// Update sets the pace and reports whether it changed. relativeLoad is the highest relative load on
// the worker, added the part of it that the best-effort tasks add at the present pace. overTarget
// halts them; it is set when a latency-critical task has been over its target for long.
func (pc *Pace) Update(relativeLoad, added float64, overTarget bool, now time.Time) bool {
	before := pc.reduction
	settled := now.Sub(pc.changed) >= minChangeInterval
	switch {
	case overTarget || relativeLoad >= 1 && added > 0:
		pc.reduction = FullPace
	case relativeLoad > SlowThreshold && added > 0 && settled:
		pc.reduction = FullPace - pc.reducedPace(relativeLoad-RaiseThreshold, added)
	case relativeLoad < RaiseThreshold && settled:
		pc.reduction = max(0, pc.reduction-raiseStep)
	}
	if pc.reduction != before {
		pc.changed = now
	}
	return pc.reduction != before
}

// reducedPace returns the pace that is expected to reduce the relative load by the excess: the part
// that best-effort tasks add is taken to be proportional to the pace.
func (pc *Pace) reducedPace(excess, added float64) int {
	percent := int(float64(pc.Percent()) * max(0, 1-excess/added))
	if percent < minPace {
		return 0
	}
	return percent
}
