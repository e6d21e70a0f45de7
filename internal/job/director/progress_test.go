package director_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/currantrouter/currantrouter/internal/job/modeler"
	"github.com/currantrouter/currantrouter/internal/provider/emulator"
)

// Guards against a new leader that takes the runs of long tasks for stalled, as the progress that they had made
// under earlier leaders makes their siblings look as if they took a few seconds.
func TestLongRunsAreNotMovedAfterTakeover(t *testing.T) {
	run(t, 4, func(fl *fleet, tm *term) {
		jb := simpleJob("j1", "batch", 4, cores(4000))
		jb.Steps[0].MaxPerWorker, jb.Steps[0].Estimate = 1, 5*time.Minute
		for ix := range 4 {
			fl.setBehaviour(modeler.TaskID{Job: "j1", Index: ix}, emulator.TaskBehaviour{RunTime: 5 * time.Minute})
		}
		tm.submit(jb)
		sleep(2 * time.Minute)
		starts := func() int {
			count := 0
			for ix := range 4 {
				count += fl.workers.StartCount(modeler.TaskID{Job: "j1", Index: ix})
			}
			return count
		}
		before := starts()
		for range 5 {
			tm.nextTerm(12 * time.Second)
			sleep(8 * time.Second)
		}
		sleep(30 * time.Second)
		qt.Check(t, starts(), qt.Equals, before)
	})
}
