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

// serveWithTails runs a job that serves on all workers, three tasks on each, whose first task reports
// the tail that the function returns and whose others report a calm one.
func serveWithTails(fl *fleet, tm *term, first func() time.Duration) {
	jb := simpleJob("serve", "urgent", 6, cores(1000))
	sp := &jb.Steps[0]
	sp.LongRunning, sp.TailTarget, sp.Image, sp.PerWorker = true, 150*time.Millisecond, "s", 3
	for ix := range sp.Count {
		tail := func([]modeler.TaskID) time.Duration { return 60 * time.Millisecond }
		if ix == 0 {
			tail = func([]modeler.TaskID) time.Duration { return first() }
		}
		fl.set(modeler.TaskID{Job: jb.ID, Index: ix}, emulator.TaskBehaviour{Tail: tail})
	}
	tm.submit(jb)
	sleep(2 * time.Second)
}

// fillBeside runs a job that fills on each worker for four seconds.
func fillBeside(fl *fleet, tm *term) {
	jb := simpleJob("fill", "batch", 2, cores(2000))
	sp := &jb.Steps[0]
	sp.BestEffort, sp.Image, sp.PerWorker = true, "f", 1
	for ix := range sp.Count {
		fl.set(modeler.TaskID{Job: jb.ID, Index: ix}, emulator.TaskBehaviour{Work: 4 * time.Second})
	}
	tm.submit(jb)
	sleep(5 * time.Second)
}

// Guards against work that fills which is halted because single reports of one serving task are too
// high, and against one that is over its target for long while work that fills goes on beside it.
func TestUnsteadyTails(t *testing.T) {
	t.Run("one of three tasks now and then", func(t *testing.T) {
		run(t, 2, func(fl *fleet, tm *term) {
			reports := 0
			serveWithTails(fl, tm, func() time.Duration {
				if reports++; reports%3 == 0 {
					return 200 * time.Millisecond
				}
				return 60 * time.Millisecond
			})
			fillBeside(fl, tm)
			tm.assertState("fill", modeler.Completed)
			qt.Check(t, fl.workers.Halts(), qt.Equals, 0)
		})
	})
	// It becomes slow once work that fills is there, while its siblings stay calm.
	t.Run("one of three tasks for long", func(t *testing.T) {
		run(t, 2, func(fl *fleet, tm *term) {
			began := time.Now()
			serveWithTails(fl, tm, func() time.Duration {
				if time.Since(began) > 2500*time.Millisecond {
					return 200 * time.Millisecond
				}
				return 60 * time.Millisecond
			})
			fillBeside(fl, tm)
			qt.Check(t, fl.workers.Halts() > 0, qt.IsTrue)
		})
	})
}

// Guards against a new leader that learns again, by harm to users, which images disturb each other.
func TestLessonsSurvive(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fl := newFleet(t, 3)
		tm := fl.lead(0)
		defer func() { tm.end() }()
		tails := map[modeler.JobID]time.Duration{"calm": 60 * time.Millisecond, "hurt": 140 * time.Millisecond}
		for id, harmed := range tails {
			jb := simpleJob(id, "urgent", 2, cores(6000))
			sp := &jb.Steps[0]
			sp.LongRunning, sp.TailTarget, sp.Image, sp.PerWorker = true, 300*time.Millisecond, string(id), 1
			for ix := range sp.Count {
				fl.set(modeler.TaskID{Job: id, Index: ix}, emulator.TaskBehaviour{Tail: func(neighbours []modeler.TaskID) time.Duration {
					if slices.ContainsFunc(neighbours, func(other modeler.TaskID) bool { return other.Job == "fill" }) {
						return harmed
					}
					return 60 * time.Millisecond
				}})
			}
			tm.submit(jb)
		}
		sleep(2 * time.Second)
		fillBeside(fl, tm)
		sleep(4 * time.Second)
		tm.end()
		tm = fl.lead(0)
		sleep(time.Second)
		qt.Check(t, tm.Interference("hurt", "f") > tm.Interference("calm", "f")+0.3, qt.IsTrue,
			qt.Commentf("hurt %.2f, calm %.2f", tm.Interference("hurt", "f"), tm.Interference("calm", "f")))
	})
}
