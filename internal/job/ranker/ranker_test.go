package ranker

import (
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against an order in which hopeless or less urgent work delays work that can be on time.
func TestCompare(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	group := func(priority int, age, objective, remaining time.Duration) WaitingStep {
		return WaitingStep{Priority: priority, Submitted: now.Add(-age), Objective: objective, Remaining: remaining}
	}
	lasting := group(0, time.Minute, 3*time.Second, time.Second)
	lasting.LongRunning = true
	for name, tc := range map[string]struct{ first, second WaitingStep }{
		"priority":                 {group(0, 0, time.Minute, time.Second), group(2, 0, 2*time.Second, time.Second)},
		"on time before late":      {group(0, 0, 9*time.Second, time.Second), group(0, 5*time.Second, 4*time.Second, time.Second)},
		"late before overdue":      {group(0, 5*time.Second, 4*time.Second, time.Second), group(0, time.Minute, 4*time.Second, time.Second)},
		"least time left":          {group(0, time.Second, 4*time.Second, time.Second), group(0, 0, 4*time.Second, time.Second)},
		"short before lasting":     {group(0, 0, 4*time.Second, time.Second), lasting},
		"lasting before late":      {lasting, group(0, 5*time.Second, 4*time.Second, time.Second)},
		"lasting by its priority":  {lasting, group(1, 0, 4*time.Second, time.Second)},
		"long chains start sooner": {group(0, 0, 9*time.Second, 6*time.Second), group(0, 0, 9*time.Second, time.Second)},
	} {
		t.Run(name, func(t *testing.T) {
			groups := []WaitingStep{tc.second, tc.first}
			slices.SortFunc(groups, func(one, two WaitingStep) int { return Compare(&one, &two, now) })
			qt.Check(t, groups[0], qt.Equals, tc.first)
		})
	}
}
