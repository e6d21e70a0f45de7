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

// recorder collects failures, so that rapid can shrink the sequence of actions.
type recorder struct {
	testing.TB
	failures []string
}

// Error implements testing.TB.
func (rc *recorder) Error(args ...any) { rc.failures = append(rc.failures, fmt.Sprint(args...)) }

// Fatal implements testing.TB.
func (rc *recorder) Fatal(args ...any) { rc.Error(args...) }

// action is one drawn action with its parameter.
type action struct {
	Name  string
	Index int
}

var actionNames = []string{
	"submit", "submit once", "cancel", "evict", "kill leader", "pause leader", "kill worker", "pause worker", "cut off worker", "hand over",
	"store down", "store up", "lose appends", "lose answers", "lose requests", "slow workers", "clear faults", "snapshot",
	"wait", "wait", "wait",
}

// Guards against violations that only combinations of failures bring about.
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
				rc := &recorder{TB: t}
				synctest.Test(t, func(*testing.T) { runActions(rc, acts) })
				if len(rc.failures) > 0 {
					rt.Fatalf("%v", rc.failures)
				}
			})
		})
	}
}

func runActions(rc *recorder, acts []action) {
	wd := newWorld(rc, 4, emulator.Behaviour{
		RunTime: func(cmd supervisor.StartCommand) time.Duration {
			return time.Duration(1+len(cmd.Attempt.Job)*cmd.Attempt.Task%4*15) * time.Second
		},
		CheckpointTime: time.Second,
	})
	wd.lead()
	for i, ac := range acts {
		wd.act(i, ac)
		time.Sleep(time.Duration(1+ac.Index) * time.Second)
	}
	wd.faults.Clear()
	wd.outage(false)
	for _, wk := range wd.list {
		wd.workers.Resume(wk.Name)
	}
	time.Sleep(15 * time.Minute)
	for state, n := range wd.states() {
		switch state {
		case Done, Cancelled, Unknown:
		default:
			rc.Error(n, " tasks are ", state, " long after the last failure")
		}
	}
	wd.close()
}

func (wd *world) act(i int, ac action) {
	wk := wd.list[ac.Index]
	try := func(do func(context.Context, *Scheduler) error) {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_ = do(ctx, wd.current())
	}
	fault := func(ft emulator.Fault, count int) {
		wd.faults.Set(emulator.Switch{Fault: ft, Part: emulator.PartWorkers, Target: string(wk.Name), Skip: ac.Index, Count: count, Delay: 3 * time.Second})
	}
	switch ac.Name {
	case "submit", "submit once":
		jb := testJob(fmt.Sprint("j", i), tasks(1+3*ac.Index), func(jb *Job) {
			jb.Repeatable = ac.Name == "submit"
			jb.Checkpoint = ac.Index > 1
		})
		try(func(ctx context.Context, sc *Scheduler) error { _, err := sc.Submit(ctx, []Job{jb}); return err })
	case "cancel":
		try(func(ctx context.Context, sc *Scheduler) error {
			_, err := sc.Cancel(ctx, Selector{Jobs: []string{fmt.Sprint("j", i-1), fmt.Sprint("j", i-2)}})
			return err
		})
	case "evict":
		wd.evict(fmt.Sprint("j", i-1-ac.Index))
	case "kill leader":
		wd.front().kill()
	case "pause leader":
		wd.front().pause()
	case "kill worker":
		wd.workers.Kill(wk.Name)
		time.AfterFunc(5*time.Second, func() { wd.workers.Add(wk) })
	case "pause worker":
		wd.workers.Pause(wk.Name)
		time.AfterFunc(time.Duration(1+ac.Index*15)*time.Second, func() { wd.workers.Resume(wk.Name) })
	case "cut off worker":
		fault(emulator.Unavailable, 0)
	case "hand over":
		wd.lead()
	case "store down":
		wd.outage(true)
	case "store up":
		wd.outage(false)
	case "lose appends":
		wd.mu.Lock()
		wd.lose = 1 + ac.Index
		wd.mu.Unlock()
	case "lose answers":
		fault(emulator.AnswerLost, 3)
	case "lose requests":
		fault(emulator.RequestLost, 3)
	case "slow workers":
		fault(emulator.Slow, 3)
	case "clear faults":
		wd.faults.Clear()
	case "snapshot":
		try(wd.snapshot)
	}
}
