package director_test

import (
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/currantrouter/currantrouter/internal/job/modeler"
	"github.com/currantrouter/currantrouter/internal/provider/emulator"
)

// startHalted starts a best-effort job beside latency-critical tasks that are over their target, so that
// its runs are halted. It returns the tail latency of these tasks, which the test may change.
func startHalted(fl *fleet, tm *term) *atomic.Int64 {
	tail := new(atomic.Int64)
	tail.Store(int64(60 * time.Millisecond))
	jb := simpleJob("critical", "urgent", 2, cores(1000))
	sp := &jb.Steps[0]
	sp.LongRunning, sp.TailTarget, sp.Image, sp.MaxPerWorker = true, 150*time.Millisecond, "critical", 1
	for ix := range sp.Count {
		fl.setBehaviour(modeler.TaskID{Job: jb.ID, Index: ix}, emulator.TaskBehaviour{
			TailLatency: func([]modeler.TaskID) time.Duration { return time.Duration(tail.Load()) },
		})
	}
	tm.submit(jb)
	sleep(2 * time.Second)
	jb = simpleJob("best-effort", "batch", 2, cores(2000))
	sp = &jb.Steps[0]
	sp.BestEffort, sp.Image, sp.MaxPerWorker = true, "best-effort", 1
	for ix := range sp.Count {
		fl.setBehaviour(modeler.TaskID{Job: jb.ID, Index: ix}, emulator.TaskBehaviour{RunTime: 6 * time.Second})
	}
	tm.submit(jb)
	sleep(2 * time.Second)
	tail.Store(int64(400 * time.Millisecond))
	sleep(3 * time.Second)
	qt.Assert(fl.t, fl.workers.Halts(), qt.Equals, sp.Count)
	return tail
}

// Guards against a best-effort run that stays halted for good, as the leader that halted it is gone and its
// successor takes the run to be at full pace.
func TestHaltedRunGoesOnAfterTakeover(t *testing.T) {
	run(t, 2, func(fl *fleet, tm *term) {
		tail := startHalted(fl, tm)
		tm.end()
		tail.Store(int64(60 * time.Millisecond))
		*tm = *fl.startTerm(12 * time.Second)
		sleep(12 * time.Second)
		tm.assertState("best-effort", modeler.Completed)
		qt.Check(t, fl.workers.StartCount(modeler.TaskID{Job: "best-effort"}), qt.Equals, 1)
	})
}

// Guards against a new leader that lets halted best-effort work go on at full pace beside latency-critical tasks
// which are near their target only because that work is halted.
func TestHaltedRunStaysHaltedNearTarget(t *testing.T) {
	run(t, 2, func(fl *fleet, tm *term) {
		tail := startHalted(fl, tm)
		tail.Store(int64(142 * time.Millisecond))
		for range 4 {
			tm.nextTerm(12 * time.Second)
			sleep(3 * time.Second)
		}
		tm.assertState("best-effort", modeler.Running)
		tail.Store(int64(60 * time.Millisecond))
		sleep(8 * time.Second)
		tm.assertState("best-effort", modeler.Completed)
	})
}
