package director_test

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/currantrouter/currantrouter/internal/job/modeler"
	"github.com/currantrouter/currantrouter/internal/provider/emulator"
)

// runCritical runs a latency-critical job with three tasks on each of two workers. Its first task
// reports the tail latency that the function returns, the others a low one.
func runCritical(fl *fleet, tm *term, firstTail func() time.Duration) {
	jb := simpleJob("critical", "urgent", 6, cores(1000))
	sp := &jb.Steps[0]
	sp.LongRunning, sp.TailTarget, sp.Image, sp.MaxPerWorker = true, 150*time.Millisecond, "critical", 3
	for ix := range sp.Count {
		tail := func([]modeler.TaskID) time.Duration { return 60 * time.Millisecond }
		if ix == 0 {
			tail = func([]modeler.TaskID) time.Duration { return firstTail() }
		}
		fl.setBehaviour(modeler.TaskID{Job: jb.ID, Index: ix}, emulator.TaskBehaviour{TailLatency: tail})
	}
	tm.submit(jb)
	sleep(2 * time.Second)
}

// runSensitive runs latency-critical jobs of two images, of which best-effort work disturbs one.
func runSensitive(fl *fleet, tm *term) {
	tails := map[modeler.JobID]time.Duration{"robust": 60 * time.Millisecond, "sensitive": 140 * time.Millisecond}
	for id, tailWithBestEffort := range tails {
		jb := simpleJob(id, "urgent", 2, cores(6000))
		sp := &jb.Steps[0]
		sp.LongRunning, sp.TailTarget, sp.Image, sp.MaxPerWorker = true, 300*time.Millisecond, string(id), 1
		for ix := range sp.Count {
			fl.setBehaviour(modeler.TaskID{Job: id, Index: ix}, emulator.TaskBehaviour{TailLatency: func(neighbours []modeler.TaskID) time.Duration {
				if slices.ContainsFunc(neighbours, func(other modeler.TaskID) bool { return other.Job == "best-effort" }) {
					return tailWithBestEffort
				}
				return 60 * time.Millisecond
			}})
		}
		tm.submit(jb)
	}
}

// submitBestEffort submits a best-effort job with a task of four seconds on each of two workers.
func submitBestEffort(fl *fleet, tm *term) {
	jb := simpleJob("best-effort", "batch", 2, cores(2000))
	sp := &jb.Steps[0]
	sp.BestEffort, sp.Image, sp.MaxPerWorker = true, "best-effort", 1
	for ix := range sp.Count {
		fl.setBehaviour(modeler.TaskID{Job: jb.ID, Index: ix}, emulator.TaskBehaviour{RunTime: 4 * time.Second})
	}
	tm.submit(jb)
}

// runBestEffort runs that job to its end.
func runBestEffort(fl *fleet, tm *term) {
	submitBestEffort(fl, tm)
	sleep(5 * time.Second)
}

// Guards against best-effort work that is halted because single reports of one latency-critical
// task are too high, and against best-effort work that goes on beside a task that stays over its
// target.
func TestNoisyTailLatency(t *testing.T) {
	t.Run("single high reports of one of three tasks", func(t *testing.T) {
		run(t, 2, func(fl *fleet, tm *term) {
			reports := 0
			runCritical(fl, tm, func() time.Duration {
				if reports++; reports%3 == 0 {
					return 200 * time.Millisecond
				}
				return 60 * time.Millisecond
			})
			runBestEffort(fl, tm)
			tm.assertState("best-effort", modeler.Completed)
			qt.Check(t, fl.workers.Halts(), qt.Equals, 0)
		})
	})
	// The task becomes slow once best-effort work runs on its worker, while its siblings stay fast.
	t.Run("one of three tasks stays over its target", func(t *testing.T) {
		run(t, 2, func(fl *fleet, tm *term) {
			began := time.Now()
			runCritical(fl, tm, func() time.Duration {
				if time.Since(began) > 2500*time.Millisecond {
					return 200 * time.Millisecond
				}
				return 60 * time.Millisecond
			})
			runBestEffort(fl, tm)
			qt.Check(t, fl.workers.Halts() > 0, qt.IsTrue)
		})
	})
}

// Guards against a new leader that has to observe the interference between images again, at the
// cost of latency-critical tasks, as its predecessor's estimates were lost.
func TestEstimatesSurviveTakeover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fl := newFleet(t, 3)
		tm := fl.startTerm(0)
		defer func() { tm.end() }()
		runSensitive(fl, tm)
		sleep(2 * time.Second)
		runBestEffort(fl, tm)
		sleep(4 * time.Second)
		tm.end()
		tm = fl.startTerm(0)
		sleep(time.Second)
		qt.Check(t, tm.Interference("sensitive", "best-effort") > tm.Interference("robust", "best-effort")+0.3, qt.IsTrue,
			qt.Commentf("sensitive %.2f, robust %.2f", tm.Interference("sensitive", "best-effort"), tm.Interference("robust", "best-effort")))
	})
}

// Guards against estimates that are never recorded, as no term of a series lasts for the time between two records.
func TestEstimatesSurviveShortTerms(t *testing.T) {
	run(t, 3, func(fl *fleet, tm *term) {
		runSensitive(fl, tm)
		sleep(2 * time.Second)
		submitBestEffort(fl, tm)
		sleep(200 * time.Millisecond)
		for range 3 {
			tm.nextTerm(12 * time.Second)
			sleep(2500 * time.Millisecond)
		}
		tm.nextTerm(12 * time.Second)
		sleep(time.Second)
		tm.assertState("best-effort", modeler.Completed)
		qt.Check(t, tm.Interference("sensitive", "best-effort") > tm.Interference("robust", "best-effort")+0.3, qt.IsTrue,
			qt.Commentf("sensitive %.2f, robust %.2f", tm.Interference("sensitive", "best-effort"), tm.Interference("robust", "best-effort")))
	})
}

// Guards against an image that is kept away from others for good, as each of a series of leaders takes an old estimate
// for a new one and so never tries the pair again.
func TestEstimatesAgeInSeriesOfTerms(t *testing.T) {
	for name, snapshots := range map[string]bool{"from facts": false, "from snapshots": true} {
		t.Run(name, func(t *testing.T) {
			run(t, 3, func(fl *fleet, tm *term) {
				runSensitive(fl, tm)
				sleep(2 * time.Second)
				runBestEffort(fl, tm)
				qt.Assert(t, tm.Tried("sensitive", "best-effort"), qt.IsTrue)
				fl.predecessorSeenFor = 3 * time.Second
				for range 6 {
					if snapshots {
						qt.Assert(t, tm.TakeSnapshot(fl.t.Context()), qt.IsNil)
					}
					tm.nextTerm(12 * time.Second)
					sleep(3 * time.Second)
				}
				qt.Check(t, tm.Tried("sensitive", "best-effort"), qt.IsFalse)
				qt.Check(t, tm.Interference("sensitive", "best-effort") > 1, qt.IsTrue)
			})
		})
	}
}
