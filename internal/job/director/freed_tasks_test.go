package director_test

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/currantrouter/currantrouter/internal/job/modeler"
	"github.com/currantrouter/currantrouter/internal/provider/emulator"
)

func (tm *term) assertTasksInMemory(want int) {
	tm.fleet.t.Helper()
	qt.Check(tm.fleet.t, tm.TasksInMemory(), qt.Equals, want)
}

// Guards against a leader that runs out of memory because it keeps the tasks of ended jobs until
// their retention is over, and against one that drops tasks that still run.
func TestFreedTasks(t *testing.T) {
	t.Run("ended jobs", func(t *testing.T) {
		run(t, 4, func(_ *fleet, tm *term) {
			jb := simpleJob("two-steps", "batch", 3, cores(2000))
			jb.Steps = append(jb.Steps, modeler.Step{Count: 2, Needs: cores(1000), After: []int{0}})
			tm.submit(jb)
			sleep(1500 * time.Millisecond)
			tm.assertTasksInMemory(5)
			sleep(3 * time.Second)
			tm.assertState("two-steps", modeler.Completed)
			tm.assertTasksInMemory(0)
		})
	})
	t.Run("cancelled job whose runs end later", func(t *testing.T) {
		run(t, 4, func(fl *fleet, tm *term) {
			fl.setBehaviour(modeler.TaskID{Job: "long"}, emulator.TaskBehaviour{RunTime: time.Minute})
			tm.submit(simpleJob("long", "batch", 1, cores(2000)))
			sleep(time.Second)
			for ix := range fl.infos {
				fl.workers.SetUnreachable(fl.infos[ix].ID, true)
			}
			tm.CancelJob("long")
			sleep(500 * time.Millisecond)
			tm.assertTasksInMemory(1)
			for ix := range fl.infos {
				fl.workers.SetUnreachable(fl.infos[ix].ID, false)
			}
			sleep(4 * time.Second)
			tm.assertState("long", modeler.Cancelled)
			tm.assertTasksInMemory(0)
		})
	})
	t.Run("jobs that ended in an earlier term", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			fl := newFleet(t, 2)
			tm := fl.startTerm(0)
			defer func() { tm.end() }()
			tm.submit(simpleJob("done", "batch", 3, cores(1000)))
			sleep(4 * time.Second)
			tm.end()
			tm = fl.startTerm(time.Second)
			sleep(2 * time.Second)
			tm.assertState("done", modeler.Completed)
			tm.assertTasksInMemory(0)
			fl.assertNoViolations()
		})
	})
}
