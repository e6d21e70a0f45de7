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

// scenarioRunTimes are the run times by job of the scenario. The endless job runs until it is
// stopped.
var scenarioRunTimes = map[string]time.Duration{
	"short": 5 * time.Second, "once": 8 * time.Second, "saved": 40 * time.Second, "endless": 0,
}

// runScenario runs starts, an eviction with checkpoint and resume, a cancellation and finishes,
// with one fault at one step. It returns the cluster after its checks.
func runScenario(t *testing.T, step int, planned faultKind, commands map[string]bool) *testCluster {
	t.Helper()
	cl := newTestCluster(t, 3, emulator.Behaviour{
		RunTime:        func(cmd supervisor.StartCommand) time.Duration { return scenarioRunTimes[cmd.Attempt.Job] },
		CheckpointTime: time.Second,
		// The invariants must hold even if workers accept old epochs and exceed their capacity.
		GuardsOff: planned == faultStaleCommand || step%2 == 1,
	})
	cl.noRepeats = true
	cl.faultStep, cl.plannedFault, cl.faultCommands = step, planned, commands
	cl.startLeader()
	time.Sleep(3 * time.Second)
	cl.submit(
		testJob("short", func(jb *Job) { jb.Tasks = 3 }),
		testJob("once", func(jb *Job) { jb.Repeatable = false }),
		testJob("saved", func(jb *Job) { jb.CanCheckpoint = true }),
		testJob("endless"),
	)
	time.Sleep(6 * time.Second)
	cl.evict("saved")
	time.Sleep(3 * time.Second)
	cl.retry(func(ctx context.Context, sc *Scheduler) error {
		_, err := sc.Cancel(ctx, Selector{Jobs: []string{"endless"}})
		return err
	})
	time.Sleep(3 * time.Minute)
	count := cl.states()
	cm := qt.Commentf("fault %q at step %d (%s): %v", planned, step, cl.hitCommand, count)
	qt.Check(t, count[Cancelled], qt.Equals, 1, cm)
	qt.Check(t, count[Done]+count[Unknown], qt.Equals, 5, cm)
	qt.Check(t, count[Unknown] <= 1, qt.IsTrue, cm)
	cl.close()
	return cl
}

// evict evicts the running tasks of a job on the current leader.
func (cl *testCluster) evict(name string) {
	sc := cl.currentLeader()
	sc.mailbox.post(func() {
		for _, ws := range sc.workers {
			for _, aa := range ws.attempts {
				if aa.attempt.Job == name && aa.confirmed && !aa.endPending {
					sc.evict(ws, aa)
				}
			}
		}
	})
}

// Guards against tasks that run in two places, run again after they are done, get lost, or are
// resumed twice when the leader is killed, is paused or gets no answer at any step of a start,
// eviction, checkpoint, resume, cancellation or finish.
func TestFaultAtEveryStep(t *testing.T) {
	steps := 0
	var names []string
	synctest.Test(t, func(t *testing.T) {
		cl := runScenario(t, -1, "", nil)
		steps, names = cl.steps, cl.stepNames
	})
	t.Logf("%d steps: %v", steps, names)
	journal := map[string]bool{"Append": true}
	commands := map[string]bool{"Start": true, "Stop": true, "Checkpoint": true, "Renew": true, "Forget": true}
	for _, tc := range []struct {
		fault faultKind
		only  map[string]bool
	}{
		{faultKillBefore, nil},
		{faultKillAfter, nil},
		{faultPauseBefore, nil},
		{faultPauseAfter, nil},
		{faultAnswerLost, journal},
		{faultUnavailable, journal},
		{faultAnswerLost, commands},
		{faultRefused, commands},
		{faultLate, commands},
		{faultStaleCommand, map[string]bool{"Start": true}},
	} {
		t.Run(fmt.Sprintf("%s %v", tc.fault, len(tc.only)), func(t *testing.T) {
			t.Parallel()
			for at, hit := 0, true; hit && at < steps; at++ {
				synctest.Test(t, func(t *testing.T) {
					hit = runScenario(t, at, tc.fault, tc.only).hitCommand != ""
				})
			}
		})
	}
}
