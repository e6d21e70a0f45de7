// Package ranker orders waiting steps by urgency. It is made for two kinds of load: bursts of
// low-priority jobs beside short urgent ones, and overload, when not all jobs can meet their
// objectives.
package ranker

import (
	"cmp"
	"time"
)

// DeadlineClass states how the expected end of a step's job relates to the job's objective.
type DeadlineClass int

// The deadline classes, best first.
const (
	// OnTime jobs meet their objective if the step starts now.
	OnTime DeadlineClass = iota
	// LongRunning steps have no end. They come after OnTime steps because they hold their capacity
	// for long, so that waiting short tasks go first.
	LongRunning
	// Late jobs miss their objective, but end within MaxLateFactor times the objective and so are
	// still of use to their callers.
	Late
	// Overdue jobs end later than that. They still run because they were accepted.
	Overdue
)

// MaxLateFactor is the ratio of a job's time to its objective up to which the job is of use, as
// agreed with callers.
const MaxLateFactor = 3

// WaitingStep is a step with waiting tasks.
type WaitingStep struct {
	// Priority is 0 for the most urgent steps and rises for less urgent ones.
	Priority int
	// Submitted is when the occurrence of the job was submitted or due.
	Submitted time.Time
	// Objective is the time from Submitted within which the job should end.
	Objective time.Duration
	// Remaining is the expected time from the start of the step to the end of the job.
	Remaining time.Duration
	// LongRunning marks a step whose tasks never end by themselves.
	LongRunning bool
}

// DeadlineClass returns the class that the step's job reaches if the step starts now.
func (ws *WaitingStep) DeadlineClass(now time.Time) DeadlineClass {
	if ws.LongRunning {
		return LongRunning
	}
	total := now.Add(ws.Remaining).Sub(ws.Submitted)
	switch {
	case total <= ws.Objective:
		return OnTime
	case total <= MaxLateFactor*ws.Objective:
		return Late
	}
	return Overdue
}

// Rank is the place of a step in the order of urgency at one time.
type Rank struct {
	// Priority is that of the step, Class its DeadlineClass.
	Priority int
	Class    DeadlineClass
	// LatestStart is when the step has to start for its job to meet the objective.
	LatestStart time.Time
}

// Rank returns the step's place in the order.
func (ws *WaitingStep) Rank(now time.Time) Rank {
	return Rank{ws.Priority, ws.DeadlineClass(now), ws.latestStart()}
}

// Compare orders ranks by priority, then by deadline class, then by the latest start with which
// the steps meet their objectives. It returns a negative number if the first step goes first.
func (rk *Rank) Compare(other *Rank) int {
	return cmp.Or(cmp.Compare(rk.Priority, other.Priority), cmp.Compare(rk.Class, other.Class), rk.LatestStart.Compare(other.LatestStart))
}

func (ws *WaitingStep) latestStart() time.Time { return ws.Submitted.Add(ws.Objective - ws.Remaining) }

// maxObjective bounds an objective, so that MaxLateFactor times it is still a Duration.
const maxObjective = 10 * 365 * 24 * time.Hour

// Objective returns the time from submission within which a job should end: its critical path (the
// expected run time of its longest chain of dependent steps) times maxSlowdown, plus slack. It is at
// most maxObjective.
func Objective(criticalPath time.Duration, maxSlowdown float64, slack time.Duration) time.Duration {
	// The conversion of a value beyond the range of a Duration differs between processors.
	objective := float64(criticalPath)*maxSlowdown + float64(slack)
	if objective >= float64(maxObjective) {
		return maxObjective
	}
	return time.Duration(float64(criticalPath)*maxSlowdown) + slack
}
