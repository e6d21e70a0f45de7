// Package pacer decides how fast work that fills may run beside tasks that serve users. It answers
// harm that depends on which images meet, changes within seconds and shows only in a tail latency
// that lags by half a second.
package pacer

import "time"

const (
	// Full lets a task work at its own speed.
	Full = 100
	// step is how much of its speed work that fills gets back at a time.
	step = 20
	// calm is the share of the target below which speed is given back, tight that from which it
	// is halved, over that from which the work that fills is halted.
	calm, tight, over = 0.55, 0.75, 0.95
	// interval is the least time between two steps up, twice the lag of the reports.
	interval = time.Second
	// settle is the time that a slower pace takes to show in the reports.
	settle = 600 * time.Millisecond
)

// State is the pace of the work that fills on one worker. The zero value is full speed.
type State struct {
	// slowed is 100 minus the pace.
	slowed  int
	changed time.Time
	// learned is the pace at which the target was last exceeded, less a step. Speed is given back
	// beyond it only slowly.
	learned   int
	learnedAt time.Time
}

// forget is the time after which a learned bound is tried again.
const forget = 8 * time.Second

// Percent returns the present pace.
func (st *State) Percent() int { return Full - st.slowed }

// Update takes the highest tail latency on the worker as a share of its target and reports whether
// the pace changed.
func (st *State) Update(share float64, now time.Time) bool {
	before := st.slowed
	since := now.Sub(st.changed)
	switch {
	case share >= over:
		st.learn(now)
		st.slowed = Full
	case share >= tight && (since >= settle || before == 0):
		st.learn(now)
		st.slowed = Full - st.Percent()/2
	case share < calm && since >= interval && st.mayRise(now):
		st.slowed = max(0, st.slowed-step)
	}
	if st.slowed != before {
		st.changed = now
	}
	return st.slowed != before
}

func (st *State) learn(now time.Time) {
	if st.Percent() > 0 {
		st.learned, st.learnedAt = max(0, st.Percent()-step), now
	}
}

func (st *State) mayRise(now time.Time) bool {
	bounded := !st.learnedAt.IsZero() && now.Sub(st.learnedAt) < forget
	return !bounded || st.Percent()+step <= st.learned
}
