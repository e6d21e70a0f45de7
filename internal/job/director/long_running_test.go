package director_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/currantrouter/currantrouter/internal/job/director"
	"github.com/currantrouter/currantrouter/internal/job/modeler"
	"github.com/currantrouter/currantrouter/internal/provider/emulator"
)

// maxStartDelay is the longest time from when a long-running task has capacity twice over until it
// runs.
const maxStartDelay = 3 * time.Second

// longRunningJob returns a job of one long-running step.
func longRunningJob(id modeler.JobID, queue modeler.QueueName, count int, needs modeler.Resources) *modeler.Job {
	jb := simpleJob(id, queue, count, needs)
	jb.Steps[0].LongRunning = true
	return jb
}

// submitMinute submits a job of one task that runs for a minute, with visible progress.
func (tm *term) submitMinute(id modeler.JobID, needs modeler.Resources) {
	tm.fleet.setBehaviour(modeler.TaskID{Job: id}, emulator.TaskBehaviour{RunTime: time.Minute})
	tm.submit(simpleJob(id, "urgent", 1, needs))
}

// assertStartsSoon submits a long-running task and checks that it runs within maxStartDelay.
func (tm *term) assertStartsSoon(needs modeler.Resources) {
	tm.fleet.t.Helper()
	tm.submit(longRunningJob("long-running", "batch", 1, needs))
	sleep(maxStartDelay)
	qt.Check(tm.fleet.t, tm.fleet.workers.WorkerOf(modeler.TaskID{Job: "long-running"}) != "", qt.IsTrue, qt.Commentf("the long-running task does not run"))
}

// Guards against a placement round that ends before it looks at a long-running task, round after
// round.
func TestTurnOfLongRunning(t *testing.T) {
	// Each task that avoids the only worker with free capacity counted as a miss of its own.
	t.Run("behind tasks that avoid a worker", func(t *testing.T) {
		run(t, 3, func(fl *fleet, tm *term) {
			for ix := range 2 {
				tm.submitMinute(modeler.JobID(fmt.Sprint("base", ix)), cores(16000))
			}
			sleep(time.Second)
			for ix := range 160 {
				fl.setBehaviour(modeler.TaskID{Job: "failing", Index: ix}, emulator.TaskBehaviour{RunTime: 200 * time.Millisecond, Fails: true})
			}
			tm.submit(simpleJob("failing", "urgent", 160, cores(100)))
			sleep(10 * time.Second)
			tm.assertStartsSoon(cores(4000))
		})
	})
	t.Run("behind a stream of short tasks", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			fl := newFleet(t, 4)
			fl.client = &slowStarts{WorkerClient: fl.workers, delay: 100 * time.Millisecond}
			tm := fl.startTerm(0)
			defer func() { tm.end() }()
			sleep(time.Second)
			for no := range 60 {
				if no == 20 {
					tm.submit(longRunningJob("long-running", "batch", 1, cores(4000)))
				}
				tm.submit(simpleJob(modeler.JobID(fmt.Sprint("short", no)), "urgent", 30, cores(10)))
				sleep(100 * time.Millisecond)
			}
			qt.Check(t, fl.workers.WorkerOf(modeler.TaskID{Job: "long-running"}) != "", qt.IsTrue)
			fl.assertNoViolations()
		})
	})
}

// slowStarts delays each start.
type slowStarts struct {
	director.WorkerClient
	delay time.Duration
}

func (ss *slowStarts) Start(ctx context.Context, wk *modeler.Worker, req *modeler.StartRequest) (time.Duration, error) {
	time.Sleep(ss.delay)
	return ss.WorkerClient.Start(ctx, wk, req)
}

// Guards against backfill reservations for short tasks that keep all workers with capacity for a
// long-running task free, round after round.
func TestHeldWorkers(t *testing.T) {
	run(t, 3, func(_ *fleet, tm *term) {
		for ix := range 3 {
			tm.submitMinute(modeler.JobID(fmt.Sprint("base", ix)), cores(9000))
		}
		sleep(time.Second)
		for ix := range 3 {
			jb := simpleJob(modeler.JobID(fmt.Sprint("large", ix)), "urgent", 1, cores(12000))
			jb.Steps[0].MaxPerWorker = 1
			tm.submit(jb)
		}
		tm.assertStartsSoon(cores(3000))
	})
}

// Guards against gangs of long-running tasks that never start.
func TestLongRunningGang(t *testing.T) {
	run(t, 3, func(fl *fleet, tm *term) {
		jb := longRunningJob("gang", "batch", 2, cores(4000))
		jb.Steps[0].Gang = true
		tm.submit(jb)
		sleep(maxStartDelay)
		for ix := range 2 {
			qt.Check(t, fl.workers.StartCount(modeler.TaskID{Job: "gang", Index: ix}), qt.Equals, 1)
		}
	})
}

// Guards against a failed long-running task that waits for ever for another worker than the only one
// with capacity.
func TestFailedLongRunning(t *testing.T) {
	run(t, 2, func(fl *fleet, tm *term) {
		tm.submitMinute("base", cores(16000))
		sleep(time.Second)
		task := modeler.TaskID{Job: "long-running"}
		fl.setBehaviour(task, emulator.TaskBehaviour{RunTime: time.Second, Fails: true})
		tm.submit(longRunningJob("long-running", "urgent", 1, cores(1000)))
		sleep(500 * time.Millisecond)
		fl.setBehaviour(task, emulator.TaskBehaviour{})
		sleep(10 * time.Second)
		qt.Check(t, fl.workers.StartCount(task), qt.Equals, 2)
		qt.Check(t, fl.workers.WorkerOf(task) != "", qt.IsTrue)
	})
}

// Guards against the start of a long-running task that waits behind those of a stream of short ones for the same worker.
func TestStartBehindQueuedStarts(t *testing.T) {
	for _, delay := range []time.Duration{50 * time.Millisecond, 100 * time.Millisecond, 300 * time.Millisecond} {
		t.Run(fmt.Sprint("starts take ", delay), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fl := newFleet(t, 5)
				fl.client = &slowStarts{WorkerClient: fl.workers, delay: delay}
				tm := fl.startTerm(0)
				defer tm.end()
				sleep(time.Second)
				for no := range 20 {
					time.AfterFunc(time.Duration(no)*500*time.Millisecond, func() {
						tm.submit(simpleJob(modeler.JobID(fmt.Sprint("many", no)), "urgent", 40, cores(50)))
					})
				}
				sleep(5 * time.Second)
				tm.assertStartsSoon(cores(1000))
				sleep(5 * time.Second)
			})
		})
	}
}
