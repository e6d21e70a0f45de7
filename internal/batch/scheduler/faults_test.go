package scheduler

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/currantrouter/currantrouter/internal/provider/emulator"
	"github.com/currantrouter/currantrouter/internal/provider/supervisor"
)

// storyRunTimes are the run times by job of the story.
var storyRunTimes = map[string]time.Duration{
	"short": 5 * time.Second, "once": 8 * time.Second, "saved": 40 * time.Second, "endless": 0,
}

// story runs one day in small: starts, an eviction with checkpoint and resume, a cancellation and
// finishes, with one fault at one step. It returns the world after its checks.
func story(t *testing.T, at int, planned fault, only map[string]bool) *world {
	t.Helper()
	wd := newWorld(t, 3, emulator.Behaviour{
		RunTime:        func(cmd supervisor.StartCommand) time.Duration { return storyRunTimes[cmd.Attempt.Job] },
		CheckpointTime: time.Second,
		// The invariants hold without the workers' guards too.
		GuardsOff: planned == crossing || at%2 == 1,
	})
	wd.strict = true
	wd.at, wd.planned, wd.only = at, planned, only
	wd.lead()
	time.Sleep(3 * time.Second)
	wd.submit(
		testJob("short", func(jb *Job) { jb.Tasks = 3 }),
		testJob("once", func(jb *Job) { jb.Repeatable = false }),
		testJob("saved", func(jb *Job) { jb.Checkpoint = true }),
		testJob("endless"),
	)
	time.Sleep(6 * time.Second)
	wd.evict("saved")
	time.Sleep(3 * time.Second)
	wd.retry(func(ctx context.Context, sc *Scheduler) error {
		_, err := sc.Cancel(ctx, Selector{Jobs: []string{"endless"}})
		return err
	})
	time.Sleep(3 * time.Minute)
	count := wd.states()
	cm := qt.Commentf("fault %q at step %d (%s): %v", planned, at, wd.hit, count)
	qt.Check(t, count[Cancelled], qt.Equals, 1, cm)
	qt.Check(t, count[Done]+count[Unknown], qt.Equals, 5, cm)
	qt.Check(t, count[Unknown] <= 1, qt.IsTrue, cm)
	wd.close()
	return wd
}

// evict evicts the first task of a job if it runs on the leader of the moment.
func (wd *world) evict(name string) {
	sc := wd.current()
	sc.mailbox.post(func() {
		for _, ws := range sc.workers {
			for _, rn := range ws.attempts {
				if rn.attempt.Job == name && rn.seen && !rn.ending {
					sc.evict(ws, rn)
				}
			}
		}
	})
}

// Guards against tasks in two places, run again, lost, or resumed twice when the leader dies, is
// paused or gets no answer between any two steps of start, evict, checkpoint, resume, cancel and
// finish.
func TestFaultAtEveryStep(t *testing.T) {
	steps := 0
	var names []string
	synctest.Test(t, func(t *testing.T) {
		wd := story(t, -1, "", nil)
		steps, names = wd.steps, wd.names
	})
	t.Logf("%d steps: %v", steps, names)
	journal := map[string]bool{"Append": true}
	commands := map[string]bool{"Start": true, "Stop": true, "Checkpoint": true, "Renew": true, "Forget": true}
	for _, tc := range []struct {
		fault fault
		only  map[string]bool
	}{
		{killBefore, nil},
		{killAfter, nil},
		{pauseBefore, nil},
		{pauseAfter, nil},
		{lost, journal},
		{unavailable, journal},
		{lost, commands},
		{refused, commands},
		{late, commands},
		{crossing, map[string]bool{"Start": true}},
	} {
		t.Run(fmt.Sprintf("%s %v", tc.fault, len(tc.only)), func(t *testing.T) {
			t.Parallel()
			for at, hit := 0, true; hit && at < steps; at++ {
				synctest.Test(t, func(t *testing.T) {
					hit = story(t, at, tc.fault, tc.only).hit != ""
				})
			}
		})
	}
}
