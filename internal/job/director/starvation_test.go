package director_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/currantrouter/currantrouter/internal/job/modeler"
	"github.com/currantrouter/currantrouter/internal/provider/emulator"
)

// Guards against jobs that have no run behind a best-effort backlog while most capacity is free.
func TestBestEffortJobsStarve(t *testing.T) {
	const jobs, tasks = 30, 4
	submitBacklog := func(fl *fleet, tm *term) {
		for no := range jobs {
			id := modeler.JobID(fmt.Sprint("j", no))
			for ix := range tasks {
				fl.setBehaviour(modeler.TaskID{Job: id, Index: ix}, emulator.TaskBehaviour{RunTime: 20 * time.Second})
			}
			jb := simpleJob(id, "batch", tasks, cores(4000))
			jb.Steps[0].BestEffort = true
			tm.submit(jb)
		}
	}
	started := func(fl *fleet) int {
		count := 0
		for no := range jobs {
			count += min(fl.startsOf(modeler.JobID(fmt.Sprint("j", no)), tasks), 1)
		}
		return count
	}
	t.Run("most processors are not reserved", func(t *testing.T) {
		run(t, 4, func(fl *fleet, tm *term) {
			submitBacklog(fl, tm)
			sleep(3 * time.Second)
			qt.Check(t, started(fl), qt.Equals, jobs)
		})
	})
	// More jobs than a round tries to place.
	t.Run("more urgent jobs fit nowhere", func(t *testing.T) {
		run(t, 4, func(fl *fleet, tm *term) {
			for no := range 40 {
				jb := simpleJob(modeler.JobID(fmt.Sprint("unsuited", no)), "urgent", 1, cores(4000))
				jb.Steps[0].BestEffort, jb.Steps[0].Label = true, "kind-b"
				tm.submit(jb)
			}
			sleep(2 * time.Second)
			submitBacklog(fl, tm)
			sleep(3 * time.Second)
			qt.Check(t, started(fl), qt.Equals, jobs)
		})
	})
	t.Run("most processors are reserved", func(t *testing.T) {
		run(t, 4, func(fl *fleet, tm *term) {
			base := simpleJob("base", "urgent", 4, cores(10000))
			base.Steps[0].LongRunning = true
			tm.submit(base)
			sleep(time.Second)
			submitBacklog(fl, tm)
			sleep(3 * time.Second)
			qt.Check(t, started(fl) < jobs, qt.IsTrue)
		})
	})
}
