package director_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/currantrouter/currantrouter/internal/job/modeler"
	"github.com/currantrouter/currantrouter/internal/job/rejecter"
)

// twoStepJob returns a job of two steps of 8 tasks of 2 cores, 1 s each.
func twoStepJob(no int) *modeler.Job {
	jb := simpleJob(modeler.JobID(fmt.Sprintf("j%d", no)), "batch", 8, cores(2000))
	jb.Steps = append(jb.Steps, modeler.Step{Count: 8, Needs: cores(2000), Estimate: time.Second, After: []int{0}})
	return jb
}

// countRefused submits jobs of twoStepJob at a rate to workers that complete 8 of them a second. It returns for
// how many of them the load hint says that a new job is useless, and for how many it lists the queue.
func countRefused(t *testing.T, perSecond int, slowdown float64, slack time.Duration, seconds int) (useless, listed int) {
	t.Helper()
	run(t, 16, func(fl *fleet, tm *term) {
		qu := &fl.config.Queues[1]
		qu.MaxSlowdown, qu.Slack = slowdown, slack
		for no := range perSecond * seconds {
			jb := twoStepJob(no)
			jb.MaxSlowdown, jb.Slack = qu.MaxSlowdown, qu.Slack
			tm.submit(jb)
			sleep(time.Second / time.Duration(perSecond))
			ht, ok := tm.LoadHint()
			if !ok || len(ht.Queues) == 0 {
				continue
			}
			listed++
			if dc := ht.Decide(jb); dc.Reason == rejecter.Useless {
				useless++
			}
		}
	})
	return useless, listed
}

// Guards against jobs that are refused although the order of urgency lets new jobs go before late ones, or while
// there is no backlog, and against a load hint that never tells of a queue whose jobs all end too late.
func TestLoadHint(t *testing.T) {
	t.Run("enough capacity", func(t *testing.T) {
		useless, listed := countRefused(t, 6, 2, time.Second, 15)
		qt.Check(t, useless, qt.Equals, 0)
		qt.Check(t, listed, qt.Equals, 0)
	})
	t.Run("three times the capacity, new jobs are on time", func(t *testing.T) {
		useless, listed := countRefused(t, 24, 2, time.Second, 20)
		qt.Check(t, useless, qt.Equals, 0)
		qt.Check(t, listed > 0, qt.IsTrue)
	})
	// All jobs are overdue from the beginning, so that they start in the order of submission.
	t.Run("twice the capacity, objectives that no job meets", func(t *testing.T) {
		useless, _ := countRefused(t, 16, 0.3, 0, 20)
		qt.Check(t, useless > 0, qt.IsTrue)
	})
}

// Guards against a hint of a leader that has observed nothing yet, that may not send requests, or whose last
// hint is old.
func TestNoLoadHint(t *testing.T) {
	run(t, 1, func(_ *fleet, tm *term) {
		_, ok := tm.LoadHint()
		qt.Check(t, ok, qt.IsFalse)
		sleep(5 * time.Second)
		tm.LoadHint()
		sleep(100 * time.Millisecond)
		_, ok = tm.LoadHint()
		qt.Check(t, ok, qt.IsTrue)
		sleep(10 * time.Second)
		_, ok = tm.LoadHint()
		qt.Check(t, ok, qt.IsFalse)
		sleep(100 * time.Millisecond)
		tm.sendsUntil.Store(time.Now().UnixNano())
		_, ok = tm.LoadHint()
		qt.Check(t, ok, qt.IsFalse)
	})
}
