package director_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/currantrouter/currantrouter/internal/job/modeler"
	"github.com/currantrouter/currantrouter/internal/provider/emulator"
	"github.com/currantrouter/currantrouter/internal/telemetry/meter"
)

// playOutage runs jobs of several steps that need all workers, whose tasks take 1 s. After 0.5 s, the store is away for 6 s
// or not. It returns the numbers of starts and of renewals in that time.
func playOutage(t *testing.T, workers, steps int, away bool) (starts int, renewals int64) {
	t.Helper()
	run(t, workers, func(fl *fleet, tm *term) {
		var jobs []*modeler.Job
		for ix := range 5 * workers {
			jb := simpleJob(modeler.JobID(fmt.Sprintf("j%d", ix)), "urgent", 8, cores(4000))
			for prev := range steps - 1 {
				jb.Steps = append(jb.Steps, modeler.Step{Count: 8, Needs: cores(4000), Estimate: time.Second, After: []int{prev}})
			}
			jobs = append(jobs, jb)
			tm.submit(jb)
		}
		count := func() (starts int) {
			for _, jb := range jobs {
				for st := range jb.Steps {
					for ix := range jb.Steps[st].Count {
						starts += fl.workers.StartCount(modeler.TaskID{Job: jb.ID, Step: st, Index: ix})
					}
				}
			}
			return starts
		}
		sleep(500 * time.Millisecond)
		if away {
			fl.faults.Set(emulator.Switch{Fault: emulator.Unavailable, Part: emulator.PartStore})
		}
		starts, renewals = -count(), -fl.registry.Value(meter.WorkerRenewals)
		sleep(6 * time.Second)
		starts, renewals = starts+count(), renewals+fl.registry.Value(meter.WorkerRenewals)
		fl.faults.Clear()
		sleep(time.Second)
	})
	return starts, renewals
}

// Guards against processors that stay idle, and steps that start late, while the store is away: the ends of runs
// were found only every 0.5 s then, so that 128 to 137 tasks started instead of 192. It also guards against renewals
// that are repeated all the time, as workers answer them at once then: 345 a second with 48 workers.
func TestStartsWhileStoreIsAway(t *testing.T) {
	for _, steps := range []int{1, 4} {
		t.Run(fmt.Sprintf("%d steps", steps), func(t *testing.T) {
			want, _ := playOutage(t, 8, steps, false)
			starts, renewals := playOutage(t, 8, steps, true)
			qt.Check(t, 10*starts >= 8*want, qt.IsTrue, qt.Commentf("%d starts, %d with the store", starts, want))
			qt.Check(t, renewals <= 8*6*10, qt.IsTrue, qt.Commentf("%d renewals", renewals))
		})
	}
	t.Run("48 workers", func(t *testing.T) {
		want, _ := playOutage(t, 48, 1, false)
		starts, renewals := playOutage(t, 48, 1, true)
		// The renewals of all workers are bounded to 150 a second, so that an end is found 48/150 s late at most.
		qt.Check(t, renewals <= 150*6, qt.IsTrue, qt.Commentf("%d renewals", renewals))
		qt.Check(t, float64(starts)*(1+48.0/150) >= float64(want), qt.IsTrue, qt.Commentf("%d starts, %d with the store", starts, want))
	})
}
