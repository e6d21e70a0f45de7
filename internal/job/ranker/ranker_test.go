package ranker

import (
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against an order in which less urgent steps, or steps that will be late anyway, delay
// steps that can meet their objectives.
func TestCompare(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	waiting := func(priority int, age, objective, remaining time.Duration) WaitingStep {
		return WaitingStep{Priority: priority, Submitted: now.Add(-age), Objective: objective, Remaining: remaining}
	}
	longRunning := waiting(0, time.Minute, 3*time.Second, time.Second)
	longRunning.LongRunning = true
	for name, tc := range map[string]struct{ first, second WaitingStep }{
		"priority":                  {waiting(0, 0, time.Minute, time.Second), waiting(2, 0, 2*time.Second, time.Second)},
		"on time before late":       {waiting(0, 0, 9*time.Second, time.Second), waiting(0, 5*time.Second, 4*time.Second, time.Second)},
		"late before overdue":       {waiting(0, 5*time.Second, 4*time.Second, time.Second), waiting(0, time.Minute, 4*time.Second, time.Second)},
		"earlier latest start":      {waiting(0, time.Second, 4*time.Second, time.Second), waiting(0, 0, 4*time.Second, time.Second)},
		"short before long-running": {waiting(0, 0, 4*time.Second, time.Second), longRunning},
		"long-running before late":  {longRunning, waiting(0, 5*time.Second, 4*time.Second, time.Second)},
		"long-running by priority":  {longRunning, waiting(1, 0, 4*time.Second, time.Second)},
		"more remaining time first": {waiting(0, 0, 9*time.Second, 6*time.Second), waiting(0, 0, 9*time.Second, time.Second)},
	} {
		t.Run(name, func(t *testing.T) {
			steps := []WaitingStep{tc.second, tc.first}
			slices.SortFunc(steps, func(one, two WaitingStep) int {
				first, second := one.Rank(now), two.Rank(now)
				return first.Compare(&second)
			})
			qt.Check(t, steps[0], qt.Equals, tc.first)
		})
	}
}

// Guards against an objective that overflows, so that a job with much time counts as overdue.
func TestObjectiveSaturates(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	const years = 365 * 24 * time.Hour
	for _, slowdown := range []float64{1e3, 1e6, 1e300} {
		ws := WaitingStep{Submitted: now, Objective: Objective(10*years, slowdown, 10*years), Remaining: 10 * years}
		qt.Check(t, ws.DeadlineClass(now), qt.Equals, OnTime, qt.Commentf("objective %s", ws.Objective))
		ws.Submitted = now.Add(-20 * years)
		qt.Check(t, ws.DeadlineClass(now), qt.Equals, Late, qt.Commentf("objective %s", ws.Objective))
	}
}
