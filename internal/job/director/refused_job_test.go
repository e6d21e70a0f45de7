package director_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/currantrouter/currantrouter/internal/job/modeler"
	"github.com/currantrouter/currantrouter/internal/provider/emulator"
)

// Guards against jobs that do not count as pending although each of their starts was refused.
func TestRefusedJobsArePending(t *testing.T) {
	run(t, 1, func(fl *fleet, tm *term) {
		sleep(time.Second)
		fl.faults.Set(emulator.Switch{Fault: emulator.Unavailable, Part: emulator.PartWorkers, Operation: "Start"})
		for _, id := range []modeler.JobID{"j1", "j2", "j3", "j4"} {
			tm.submit(simpleJob(id, "urgent", 1, cores(1000)))
		}
		sleep(5 * time.Second)
		pending, ok := tm.PendingJobs("urgent")
		qt.Check(t, ok, qt.IsTrue)
		qt.Check(t, pending, qt.Equals, 4)
		tm.assertState("j1", modeler.Queued)
		fl.faults.Clear()
		sleep(4 * time.Second)
		tm.assertState("j1", modeler.Completed)
	})
}
