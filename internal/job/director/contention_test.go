package director_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/currantrouter/currantrouter/internal/job/modeler"
	"github.com/currantrouter/currantrouter/internal/provider/emulator"
)

// contendedLoad is the load of a deployment where half of the workers run a latency-critical
// image that is sensitive to one best-effort image, "interfering". Another best-effort image,
// "compatible", interferes with none and asks for most of what all workers leave idle.
type contendedLoad struct {
	fl *fleet
	tm *term
	ml *mixedLoad
}

const (
	// contendedWorkers is the number of workers. Each runs one latency-critical task, which leaves
	// capacity for two best-effort tasks.
	contendedWorkers = 12
	// contendedRunTime is the run time of a best-effort task.
	contendedRunTime = time.Second
	// trialJobs is the number of jobs of each image before the full load.
	trialJobs = 10
	// contendedTimeLimit is the time within which a best-effort job is on time.
	contendedTimeLimit = 3 * time.Second
)

// submitCritical runs a latency-critical task on each of half of the workers.
func (cl *contendedLoad) submitCritical(image string, sensitive bool) {
	jb := simpleJob(modeler.JobID(image), "urgent", contendedWorkers/2, modeler.Resources{MilliCores: 12000, MemoryMB: 1000})
	sp := &jb.Steps[0]
	sp.LongRunning, sp.TailTarget, sp.Image, sp.MaxPerWorker = true, tailTarget, image, 1
	for ix := range sp.Count {
		cl.fl.setBehaviour(modeler.TaskID{Job: jb.ID, Index: ix}, emulator.TaskBehaviour{TailLatency: func(neighbours []modeler.TaskID) time.Duration {
			hasInterfering := slices.ContainsFunc(neighbours, func(id modeler.TaskID) bool { return strings.HasPrefix(string(id.Job), "interfering") })
			if sensitive && hasInterfering {
				return 2 * tailTarget
			}
			return 2 * baseTail
		}})
	}
	cl.tm.submit(jb)
}

func (cl *contendedLoad) submitBestEffort(image string, no, count int) {
	jb := simpleJob(modeler.JobID(fmt.Sprint(image, "-", no)), "batch", count, modeler.Resources{MilliCores: 4000, MemoryMB: 100})
	jb.Steps[0].BestEffort, jb.Steps[0].Image, jb.Steps[0].Estimate = true, image, contendedRunTime
	for ix := range count {
		cl.fl.setBehaviour(modeler.TaskID{Job: jb.ID, Index: ix}, emulator.TaskBehaviour{RunTime: contendedRunTime})
	}
	cl.tm.submit(jb)
}

// runLoad submits the given number of tasks of each best-effort image twice a second and records
// when jobs end.
func (cl *contendedLoad) runLoad(compatibleTasks, interferingTasks int) {
	cl.submitCritical("sensitive", true)
	cl.submitCritical("robust", false)
	sleep(2 * time.Second)
	for no := range 40 {
		if no < trialJobs {
			// One task of each image shows its interference.
			cl.submitBestEffort("compatible", no, 1)
			cl.submitBestEffort("interfering", no, 1)
		} else {
			cl.submitBestEffort("compatible", no, compatibleTasks)
			cl.submitBestEffort("interfering", no, interferingTasks)
		}
		cl.sleepAndRecord(500 * time.Millisecond)
	}
	cl.sleepAndRecord(8 * time.Second)
}

func (cl *contendedLoad) sleepAndRecord(dur time.Duration) {
	const interval = 100 * time.Millisecond
	for range dur / interval {
		sleep(interval)
		cl.ml.recordEnds()
	}
}

// assertOnTime checks that 90 % of the jobs of each best-effort image are on time.
func assertOnTime(t *testing.T, compatibleTasks, interferingTasks int) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		fl := newFleet(t, contendedWorkers)
		tm := fl.startTerm(0)
		defer func() { tm.end() }()
		cl := &contendedLoad{fl: fl, tm: tm, ml: &mixedLoad{fl: fl, tm: tm, ended: map[modeler.JobID]time.Time{}}}
		cl.runLoad(compatibleTasks, interferingTasks)
		fl.assertNoViolations()
		interfering, compatible := cl.ml.onTime("interfering", contendedTimeLimit), cl.ml.onTime("compatible", contendedTimeLimit)
		qt.Check(t, interfering >= 0.9, qt.IsTrue, qt.Commentf("%.2f of the interfering image's jobs", interfering))
		qt.Check(t, compatible >= 0.9, qt.IsTrue, qt.Commentf("%.2f of the compatible image's jobs", compatible))
	})
}

// Guards against best-effort work that waits although capacity is idle: because other work runs on
// the few workers that it may use, or because it is suspected of interference that another image
// causes.
func TestContendedWorkers(t *testing.T) {
	t.Run("more work of the compatible image", func(t *testing.T) { assertOnTime(t, 7, 5) })
	t.Run("more work of the interfering image", func(t *testing.T) { assertOnTime(t, 5, 6) })
}
