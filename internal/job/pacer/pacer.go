// Package pacer decides how fast work that fills may run beside tasks that serve users. It answers
// serving tasks whose own load swings widely within seconds, so that the room for work that fills
// comes and goes, and whose tail latency is known only half a second late.
package pacer

import "time"

const (
	// FullPace lets a task work at its own speed.
	FullPace = 100
	// SlowThreshold is the relative load from which best-effort work is slowed. The relative load is
	// the load of a latency-critical task as a share of the load at its target.
	SlowThreshold = 0.975
	// RaiseThreshold is the relative load below which best-effort work gets speed back.
	RaiseThreshold = 0.96
	// step is how much of its speed work that fills gets back at a time.
	step = 25
	// settle is the time that a change takes to show in the reports.
	settle = 500 * time.Millisecond
	// least is the pace below which work is halted.
	least = 10
)

// State is the pace of the work that fills on one worker. The zero value is full speed.
type State struct {
	// slowed is 100 minus the pace.
	slowed  int
	changed time.Time
}

// Percent returns the present pace.
func (st *State) Percent() int { return FullPace - st.slowed }

// Update takes the highest strain on the worker, the part of it that the work that fills causes at its
// present pace, and whether a serving task has been over its target for long, which halts that work. It
// reports whether the pace changed.
func (st *State) Update(strain, caused float64, harmed bool, now time.Time) bool {
	before := st.slowed
	settled := now.Sub(st.changed) >= settle
	switch {
	case harmed || strain >= 1 && caused > 0:
		st.slowed = FullPace
	case strain > SlowThreshold && caused > 0 && settled:
		st.slowed = FullPace - st.lower(strain-RaiseThreshold, caused)
	case strain < RaiseThreshold && settled:
		st.slowed = max(0, st.slowed-step)
	}
	if st.slowed != before {
		st.changed = now
	}
	return st.slowed != before
}

// lower returns the pace at which the strain falls by the excess.
func (st *State) lower(excess, caused float64) int {
	percent := int(float64(st.Percent()) * max(0, 1-excess/caused))
	if percent < least {
		return 0
	}
	return percent
}
