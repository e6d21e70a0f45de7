// Package ranker orders waiting steps. It answers two loads: a burst of low-priority jobs beside
// short urgent ones, and an overload in which not every job can meet its objective.
package ranker

import (
	"cmp"
	"time"
)

// DeadlineClass is how a job's expected end relates to its objective.
type DeadlineClass int

// The deadline classes, best first.
const (
	// OnTime jobs meet their objective if they start now.
	OnTime DeadlineClass = iota
	// LongRunning tasks hold their room for long, so that short tasks which wait go first.
	LongRunning
	// Late jobs are still worth something to their callers.
	Late
	// Overdue jobs are kept only because they were accepted.
	Overdue
)

// LateFactor is how many objectives a job may take and still be of use, as agreed with callers.
const LateFactor = 3

// WaitingStep is a step with waiting tasks.
type WaitingStep struct {
	Priority  int
	Submitted time.Time
	// Objective is the time from submission within which the job should end.
	Objective time.Duration
	// Remaining is the expected time from the start of the step to the end of the job.
	Remaining time.Duration
	// LongRunning steps serve users and never end by themselves.
	LongRunning bool
}

// DeadlineClass returns the class that the step's job can still reach.
func (ws *WaitingStep) DeadlineClass(now time.Time) DeadlineClass {
	if ws.LongRunning {
		return LongRunning
	}
	end := now.Add(ws.Remaining).Sub(ws.Submitted)
	switch {
	case end <= ws.Objective:
		return OnTime
	case end <= LateFactor*ws.Objective:
		return Late
	}
	return Overdue
}

// Compare orders steps: by priority, then those that can be on time before those that cannot, then
// by the latest time at which they have to start.
func Compare(one, two *WaitingStep, now time.Time) int {
	return cmp.Or(
		cmp.Compare(one.Priority, two.Priority),
		cmp.Compare(one.DeadlineClass(now), two.DeadlineClass(now)),
		one.latestStart().Compare(two.latestStart()),
	)
}

func (ws *WaitingStep) latestStart() time.Time { return ws.Submitted.Add(ws.Objective - ws.Remaining) }

// Objective returns the time within which a job with the longest chain of work should end.
func Objective(chain time.Duration, stretch float64, target time.Duration) time.Duration {
	return time.Duration(float64(chain)*stretch) + target
}
