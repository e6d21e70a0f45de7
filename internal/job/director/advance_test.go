package director_test

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/currantrouter/currantrouter/internal/job/modeler"
	"github.com/currantrouter/currantrouter/internal/provider/emulator"
)

// cancelFullJob runs a test on ten workers, nine of which run one task each of the long-running job "old"
// when its cancellation reaches the leader. The job "new" of nine such tasks has waited for a while.
// Records take 40 ms to be durable, and stops 100 ms.
func cancelFullJob(t *testing.T, test func(fl *fleet, tm *term)) {
	run(t, 10, func(fl *fleet, tm *term) {
		tm.submit(longRunningJob("old", "urgent", 9, cores(16000)))
		sleep(time.Second)
		fl.assertRuns("old", 9)
		tm.submit(longRunningJob("new", "urgent", 9, cores(16000)))
		sleep(2 * time.Second)
		qt.Assert(t, fl.runningTasks("new", 9), qt.Equals, 0)
		fl.faults.Set(emulator.Switch{Fault: emulator.Slow, Part: emulator.PartStore, Operation: "Put", Delay: 40 * time.Millisecond})
		tm.CancelJob("old")
		test(fl, tm)
	})
}

// runningTasks returns how many tasks of a job run.
func (fl *fleet) runningTasks(id modeler.JobID, tasks int) int {
	count := 0
	for ix := range tasks {
		if fl.workers.WorkerOf(modeler.TaskID{Job: id, Index: ix}) != "" {
			count++
		}
	}
	return count
}

// startsOf returns how often the tasks of a job were started.
func (fl *fleet) startsOf(id modeler.JobID, tasks int) int {
	count := 0
	for ix := range tasks {
		count += fl.workers.StartCount(modeler.TaskID{Job: id, Index: ix})
	}
	return count
}

// Guards against capacity for many waiting long-running tasks that stays unused after each cancellation
// until their placement is recorded: for callers, the tasks do not run although there is capacity.
func TestCapacityOfCancelledJob(t *testing.T) {
	cancelFullJob(t, func(fl *fleet, _ *term) {
		for began := time.Now(); fl.runningTasks("old", 9) > 0; sleep(time.Millisecond) {
			qt.Assert(t, time.Since(began) < time.Second, qt.IsTrue)
		}
		sleep(20 * time.Millisecond)
		qt.Assert(t, fl.runningTasks("new", 9), qt.Equals, 9)
	})
}

// Guards against tasks that wait without a bound for the end of a run on a worker that stopped
// answering.
func TestCapacityThatIsNotFreed(t *testing.T) {
	cancelFullJob(t, func(fl *fleet, tm *term) {
		sleep(10 * time.Millisecond)
		task := modeler.TaskID{Job: "old"}
		fl.workers.SetUnreachable(fl.workers.WorkerOf(task), true)
		sleep(maxStartDelay)
		qt.Check(t, fl.runningTasks("new", 9), qt.Equals, 8)
		// The last task found the only other worker kept for short tasks.
		fl.infos = append(fl.infos, fl.workers.Add(workerInfo(10)))
		tm.SetWorkers(fl.infos)
		sleep(maxStartDelay)
		qt.Check(t, fl.runningTasks("new", 9), qt.Equals, 9)
	})
}

// Guards against tasks placed in advance that a cancellation or a new term leaves behind.
func TestCapacityInAdvanceAcrossTerms(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fl := newFleet(t, 10)
		tm := fl.startTerm(0)
		defer func() { tm.end() }()
		sleep(time.Second)
		tm.submit(longRunningJob("old", "urgent", 9, cores(16000)))
		sleep(time.Second)
		tm.submit(longRunningJob("dropped", "urgent", 4, cores(16000)))
		tm.submit(longRunningJob("new", "urgent", 9, cores(16000)))
		sleep(2 * time.Second)
		fl.cancelled = append(fl.cancelled, "old", "dropped")
		tm.CancelJob("old")
		sleep(50 * time.Millisecond)
		tm.CancelJob("dropped")
		sleep(10 * time.Millisecond)
		tm.nextTerm(testLimits.MaxLeaseTime())
		sleep(maxStartDelay)
		qt.Check(t, fl.runningTasks("new", 9), qt.Equals, 9)
		qt.Check(t, fl.runningTasks("dropped", 4), qt.Equals, 0)
		fl.assertNoViolations()
	})
}
