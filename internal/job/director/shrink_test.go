package director_test

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/currantrouter/currantrouter/internal/job/modeler"
	"github.com/currantrouter/currantrouter/internal/provider/emulator"
)

func (tm *term) assertKept(want int) {
	tm.fleet.t.Helper()
	qt.Check(tm.fleet.t, tm.KeptTasks(), qt.Equals, want)
}

// Guards against a leader that runs out of memory as it keeps the tasks of jobs for as long as these can
// be asked for, and against one that forgets what still runs.
func TestShrink(t *testing.T) {
	t.Run("ended jobs", func(t *testing.T) {
		run(t, 4, func(_ *fleet, tm *term) {
			jb := simpleJob("two-steps", "batch", 3, cores(2000))
			jb.Steps = append(jb.Steps, modeler.Step{Count: 2, Needs: cores(1000), After: []int{0}})
			tm.submit(jb)
			sleep(1500 * time.Millisecond)
			tm.assertKept(5)
			sleep(3 * time.Second)
			tm.assertState("two-steps", modeler.Completed)
			tm.assertKept(0)
		})
	})
	t.Run("cancelled job whose runs end later", func(t *testing.T) {
		run(t, 4, func(fl *fleet, tm *term) {
			fl.set(modeler.TaskID{Job: "long"}, emulator.TaskBehaviour{Work: time.Minute})
			tm.submit(simpleJob("long", "batch", 1, cores(2000)))
			sleep(time.Second)
			for ix := range fl.infos {
				fl.workers.Cut(fl.infos[ix].ID, true)
			}
			tm.Cancel("long")
			sleep(500 * time.Millisecond)
			tm.assertKept(1)
			for ix := range fl.infos {
				fl.workers.Cut(fl.infos[ix].ID, false)
			}
			sleep(4 * time.Second)
			tm.assertState("long", modeler.Cancelled)
			tm.assertKept(0)
		})
	})
	t.Run("jobs that ended in an earlier term", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			fl := newFleet(t, 2)
			tm := fl.lead(0)
			defer func() { tm.end() }()
			tm.submit(simpleJob("done", "batch", 3, cores(1000)))
			sleep(4 * time.Second)
			tm.end()
			tm = fl.lead(time.Second)
			sleep(2 * time.Second)
			tm.assertState("done", modeler.Completed)
			tm.assertKept(0)
			fl.assertSound()
		})
	})
}
