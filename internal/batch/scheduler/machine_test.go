package scheduler

import (
	"context"
	"flag"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/currantrouter/currantrouter/internal/provider/emulator"
	"github.com/currantrouter/currantrouter/internal/provider/supervisor"
)

// failureRecorder collects failures instead of failing the test, so that rapid can shrink the
// sequence of actions.
type failureRecorder struct {
	testing.TB
	failures []string
}

// Error implements testing.TB.
func (fr *failureRecorder) Error(args ...any) { fr.failures = append(fr.failures, fmt.Sprint(args...)) }

// Fatal implements testing.TB.
func (fr *failureRecorder) Fatal(args ...any) { fr.Error(args...) }

// action is a randomly drawn action with its parameter.
type action struct {
	Name  string
	Index int
}

var actionNames = []string{
	"submit", "submit once", "cancel", "evict", "kill leader", "pause leader", "kill worker", "pause worker", "cut off worker", "hand over",
	"store down", "store up", "lose appends", "lose answers", "lose requests", "slow workers", "clear faults", "snapshot",
	"wait", "wait", "wait",
}

// Guards against violated invariants that only combinations of failures cause.
func TestStateMachine(t *testing.T) {
	for seed := 1; seed <= 3; seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			qt.Assert(t, flag.Set("rapid.seed", fmt.Sprint(seed)), qt.IsNil)
			qt.Assert(t, flag.Set("rapid.checks", "25"), qt.IsNil)
			qt.Assert(t, flag.Set("rapid.nofailfile", "true"), qt.IsNil)
			rapid.Check(t, func(rt *rapid.T) {
				acts := rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) action {
					return action{rapid.SampledFrom(actionNames).Draw(rt, "name"), rapid.IntRange(0, 3).Draw(rt, "index")}
				}), 1, 30).Draw(rt, "actions")
				fr := &failureRecorder{TB: t}
				synctest.Test(t, func(*testing.T) { runActions(fr, acts) })
				if len(fr.failures) > 0 {
					rt.Fatalf("%v", fr.failures)
				}
			})
		})
	}
}

func runActions(fr *failureRecorder, acts []action) {
	cl := newTestCluster(fr, 4, emulator.Behaviour{
		RunTime: func(cmd supervisor.StartCommand) time.Duration {
			return time.Duration(1+len(cmd.Attempt.Job)*cmd.Attempt.Task%4*15) * time.Second
		},
		CheckpointTime: time.Second,
	})
	cl.startLeader()
	for i, ac := range acts {
		cl.perform(i, ac)
		time.Sleep(time.Duration(1+ac.Index) * time.Second)
	}
	cl.faults.Clear()
	cl.setJournalDown(false)
	for _, wk := range cl.workerList {
		cl.workers.Resume(wk.Name)
	}
	time.Sleep(15 * time.Minute)
	for state, n := range cl.states() {
		switch state {
		case Done, Cancelled, Unknown:
		default:
			fr.Error(n, " tasks are ", state, " long after the last failure")
		}
	}
	cl.close()
}

func (cl *testCluster) perform(i int, ac action) {
	wk := cl.workerList[ac.Index]
	try := func(do func(context.Context, *Scheduler) error) {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_ = do(ctx, cl.currentLeader())
	}
	fault := func(ft emulator.Fault, count int) {
		cl.faults.Set(emulator.Switch{Fault: ft, Part: emulator.PartWorkers, Target: string(wk.Name), Skip: ac.Index, Count: count, Delay: 3 * time.Second})
	}
	switch ac.Name {
	case "submit", "submit once":
		jb := testJob(fmt.Sprint("j", i), withTasks(1+3*ac.Index), func(jb *Job) {
			jb.Repeatable = ac.Name == "submit"
			jb.CanCheckpoint = ac.Index > 1
		})
		try(func(ctx context.Context, sc *Scheduler) error { _, err := sc.Submit(ctx, []Job{jb}); return err })
	case "cancel":
		try(func(ctx context.Context, sc *Scheduler) error {
			_, err := sc.Cancel(ctx, Selector{Jobs: []string{fmt.Sprint("j", i-1), fmt.Sprint("j", i-2)}})
			return err
		})
	case "evict":
		cl.evict(fmt.Sprint("j", i-1-ac.Index))
	case "kill leader":
		cl.currentProcess().kill()
	case "pause leader":
		cl.currentProcess().pause()
	case "kill worker":
		cl.workers.Kill(wk.Name)
		time.AfterFunc(5*time.Second, func() { cl.workers.Add(wk) })
	case "pause worker":
		cl.workers.Pause(wk.Name)
		time.AfterFunc(time.Duration(1+ac.Index*15)*time.Second, func() { cl.workers.Resume(wk.Name) })
	case "cut off worker":
		fault(emulator.Unavailable, 0)
	case "hand over":
		cl.startLeader()
	case "store down":
		cl.setJournalDown(true)
	case "store up":
		cl.setJournalDown(false)
	case "lose appends":
		cl.mu.Lock()
		cl.appendsToLose = 1 + ac.Index
		cl.mu.Unlock()
	case "lose answers":
		fault(emulator.AnswerLost, 3)
	case "lose requests":
		fault(emulator.RequestLost, 3)
	case "slow workers":
		fault(emulator.Slow, 3)
	case "clear faults":
		cl.faults.Clear()
	case "snapshot":
		try(cl.snapshot)
	}
}
