// Package ranker orders waiting steps. It answers two loads: a burst of low-priority jobs beside
// short urgent ones, and an overload in which not every job can meet its objective.
package ranker

import (
	"cmp"
	"time"
)

// Chance is what a job can still reach.
type Chance int

// The chances, best first.
const (
	// OnTime jobs meet their objective if they start now.
	OnTime Chance = iota
	// Lasting tasks hold their room for long, so that short tasks which wait go first.
	Lasting
	// Late jobs are still worth something to their callers.
	Late
	// Overdue jobs are kept only because they were accepted.
	Overdue
)

// LateFactor is how many objectives a job may take and still be of use, as agreed with callers.
const LateFactor = 3

// Group is a step with waiting tasks.
type Group struct {
	Priority  int
	Submitted time.Time
	// Objective is the time from submission within which the job should end.
	Objective time.Duration
	// Remaining is the expected time from the start of the step to the end of the job.
	Remaining time.Duration
	// LongRunning steps serve users and never end by themselves.
	LongRunning bool
}

// Chance returns what the group's job can still reach.
func (gr *Group) Chance(now time.Time) Chance {
	if gr.LongRunning {
		return Lasting
	}
	end := now.Add(gr.Remaining).Sub(gr.Submitted)
	switch {
	case end <= gr.Objective:
		return OnTime
	case end <= LateFactor*gr.Objective:
		return Late
	}
	return Overdue
}

// Compare orders groups: by priority, then those that can be on time before those that cannot, then
// by the latest time at which they have to start.
func Compare(one, two *Group, now time.Time) int {
	return cmp.Or(
		cmp.Compare(one.Priority, two.Priority),
		cmp.Compare(one.Chance(now), two.Chance(now)),
		one.latestStart().Compare(two.latestStart()),
	)
}

func (gr *Group) latestStart() time.Time { return gr.Submitted.Add(gr.Objective - gr.Remaining) }

// Objective returns the time within which a job with the longest chain of work should end.
func Objective(chain time.Duration, stretch float64, target time.Duration) time.Duration {
	return time.Duration(float64(chain)*stretch) + target
}
