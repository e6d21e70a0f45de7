// Package valuer orders the waiting steps of one priority by the value that their jobs can still yield to
// callers, relative to the capacity and time that they still need. It is made for pools in which more short or
// best-effort jobs wait than can meet their objectives. An order by latest start then serves each job when it
// is just too late for its objective, one after the other: the domino effect of earliest deadline first. An order
// by value density gives up the jobs that cost most and keeps the others on time.
package valuer

import (
	"cmp"
	"math"
	"time"

	"github.com/currantrouter/currantrouter/internal/job/ranker"
)

// Value returns the value of a job that has ended in a class to its caller.
func Value(class ranker.DeadlineClass) float64 {
	switch class {
	case ranker.OnTime:
		return 1
	case ranker.Late:
		return lateValue
	}
	return 0
}

// lateValue is the value of a job that ends late but within ranker.MaxLateFactor times its objective, as agreed
// with callers. One that meets its objective has the value 1, and an overdue one the value 0.
const lateValue = 1.0 / 6

const (
	// minUncertainty is the least standard deviation of the logarithm of a remaining time: also a run time that
	// is known is followed by waits for capacity.
	minUncertainty = 0.3
	// slackFactor is the slack with which the urgency of a job falls to 1/e, as a multiple of its remaining time. It
	// is the look-ahead parameter of the rule of apparent tardiness costs. With a lower one, jobs wait until only a
	// little more waiting makes them late.
	slackFactor = 6.0
	// overdueValue stands for the value of an overdue job, so that these are ordered by their work and age.
	overdueValue = 1e-3
)

// Job is what is known of the job of a waiting step.
type Job struct {
	// Step is the step with the remaining time and the objective from corrected estimates, see Predictor.
	Step ranker.WaitingStep
	// Work is the sum over the remaining tasks of the job of their dominant share of the pool's capacity times
	// their expected run time, in seconds, and Total that over all its tasks.
	Work, Total float64
	// Uncertainty is the standard deviation of the logarithm of the remaining time.
	Uncertainty float64
	// Favoured is set for a job of a size that is served less often than others, see Sizes.
	Favoured bool
}

// Rank is the place of a step in the order at one time.
type Rank struct {
	// Class is the deadline class by the corrected estimates.
	Class ranker.DeadlineClass
	// Density is the expected value relative to the work, times the urgency and the effect of aging.
	Density float64
}

// Rank returns the place of the step.
func (jb *Job) Rank(now time.Time) Rank {
	rk := Rank{Class: jb.Step.DeadlineClass(now)}
	if rk.Class == ranker.LongRunning {
		return rk
	}
	age, objective := max(0, now.Sub(jb.Step.Submitted)).Seconds(), max(jb.Step.Objective.Seconds(), 1e-3)
	// A job of which little is left goes before one of the same size that has not begun.
	cost := jb.Work * max(jb.Work, 1e-9) / max(jb.Total, 1e-9)
	if jb.Favoured {
		cost *= favour
	}
	// With the square of the age, jobs that are nearly lost anyway take the place of new ones that can still be on
	// time.
	aging := 1 + age/objective
	urgency := math.Exp(-max(0, objective-age-jb.Step.Remaining.Seconds()) / (slackFactor * max(jb.Step.Remaining.Seconds(), 1e-3)))
	rk.Density = jb.expectedValue(age, objective) * urgency * aging / max(cost, 1e-12)
	return rk
}

// expectedValue returns the value of a job of an age in seconds if its step starts now, given that the logarithm
// of its remaining time is distributed normally.
func (jb *Job) expectedValue(age, objective float64) float64 {
	remaining, deviation := max(jb.Step.Remaining.Seconds(), 1e-3), max(jb.Uncertainty, minUncertainty)
	within := func(limit float64) float64 {
		if limit <= age {
			return 0
		}
		return 0.5 * math.Erfc(-math.Log((limit-age)/remaining)/deviation/math.Sqrt2)
	}
	onTime, useful := within(objective), within(ranker.MaxLateFactor*objective)
	return onTime + lateValue*(useful-onTime) + overdueValue
}

// Compare orders ranks by deadline class, then by density, the highest first. It returns a negative number if
// the first step goes first.
func (rk *Rank) Compare(other *Rank) int {
	return cmp.Or(cmp.Compare(rk.Class, other.Class), cmp.Compare(other.Density, rk.Density))
}
