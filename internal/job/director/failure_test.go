package director_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/currantrouter/currantrouter/internal/job/director"
	"github.com/currantrouter/currantrouter/internal/job/modeler"
	"github.com/currantrouter/currantrouter/internal/provider/emulator"
	"github.com/currantrouter/currantrouter/internal/telemetry/meter"
)

// faultyWorker is a client of workers one of which fails all tasks of a job, or of all jobs if none is named.
type faultyWorker struct {
	director.WorkerClient
	fleet *fleet
	id    modeler.WorkerID
	job   modeler.JobID
	// starts counts the starts on the worker.
	starts atomic.Int64
}

func (fw *faultyWorker) Start(ctx context.Context, wk *modeler.Worker, req *modeler.StartRequest) (time.Duration, error) {
	if wk.ID == fw.id {
		fw.starts.Add(1)
	}
	if req.Task.Job == fw.job || fw.job == "" {
		fw.fleet.setBehaviour(req.Task, emulator.TaskBehaviour{RunTime: 500 * time.Millisecond, Fails: wk.ID == fw.id})
	}
	return fw.WorkerClient.Start(ctx, wk, req)
}

// Guards against a job that fails although its tasks can be done: each of a series of leaders starts its task on
// the worker where it failed under the last one, as the other worker has no room yet.
func TestFailedWorkerIsAvoidedAfterTakeover(t *testing.T) {
	for name, afterSnapshot := range map[string]bool{"from facts": false, "from a snapshot": true} {
		t.Run(name, func(t *testing.T) {
			run(t, 2, func(fl *fleet, tm *term) {
				tm.end()
				fw := &faultyWorker{WorkerClient: fl.workers, fleet: fl, job: "j1"}
				fl.client = fw
				// One wrong start makes the job fail.
				fl.config.Queues[1].Attempts = 2
				*tm = *fl.startTerm(0)
				blocker := fl.minuteJob("blocker")
				blocker.Steps[0].Needs = cores(16000)
				fl.setBehaviour(modeler.TaskID{Job: "blocker"}, emulator.TaskBehaviour{RunTime: 15 * time.Second})
				tm.submit(blocker)
				sleep(time.Second)
				fw.id = "worker-00"
				if fl.workers.WorkerOf(modeler.TaskID{Job: "blocker"}) == fw.id {
					fw.id = "worker-01"
				}
				tm.submit(simpleJob("j1", "batch", 1, cores(1000)))
				for range 4 {
					sleep(2 * time.Second)
					qt.Check(t, fl.workers.StartCount(modeler.TaskID{Job: "j1"}), qt.Equals, 1)
					if afterSnapshot {
						qt.Assert(t, tm.TakeSnapshot(fl.t.Context()), qt.IsNil)
					}
					tm.nextTerm(12 * time.Second)
				}
				sleep(12 * time.Second)
				tm.assertState("j1", modeler.Completed)
			})
		})
	}
}

// setFailsOnce submits a job of which the first run fails, and returns the worker of that run.
func (fl *fleet) setFailsOnce(tm *term, id modeler.JobID, runTime time.Duration) modeler.WorkerID {
	fl.t.Helper()
	task := modeler.TaskID{Job: id}
	fl.setBehaviour(task, emulator.TaskBehaviour{RunTime: runTime, Fails: true})
	tm.submit(goldJob(id, "batch", cores(2500)))
	sleep(runTime / 2)
	on := fl.workers.WorkerOf(task)
	fl.setBehaviour(task, emulator.TaskBehaviour{RunTime: 500 * time.Millisecond})
	return on
}

// runWithFullWorker runs a test with two workers that have a label, of which a job fills one.
func runWithFullWorker(t *testing.T, blocker *modeler.Job, runTime time.Duration, test func(fl *fleet, tm *term)) {
	t.Helper()
	runWithPolicy(t, &workerPolicy{}, func(fl *fleet, tm *term) {
		fl.setBehaviour(modeler.TaskID{Job: blocker.ID}, emulator.TaskBehaviour{RunTime: runTime})
		blocker.Steps[0].Label = "gold"
		tm.submit(blocker)
		sleep(time.Second)
		test(fl, tm)
	})
}

// Guards against a task that failed once and waits beside the empty worker for another one that stays full.
func TestFailedTaskBesideFullWorkers(t *testing.T) {
	for name, tc := range map[string]struct {
		blocker  *modeler.Job
		attempts int
		within   time.Duration
	}{
		"with a long-running task":                   {longRunningJob("blocker", "batch", 1, cores(14000)), 3, time.Second},
		"with a run of a minute":                     {simpleJob("blocker", "batch", 1, cores(14000)), 3, promisedRunTime},
		"with a long-running task, one attempt left": {longRunningJob("blocker", "batch", 1, cores(14000)), 2, promisedRunTime},
	} {
		t.Run(name, func(t *testing.T) {
			runWithFullWorker(t, tc.blocker, time.Minute, func(fl *fleet, tm *term) {
				fl.config.Queues[1].Attempts = tc.attempts
				fl.setFailsOnce(tm, "j1", 400*time.Millisecond)
				sleep(tc.within + 200*time.Millisecond)
				qt.Check(t, fl.workers.StartCount(modeler.TaskID{Job: "j1"}), qt.Equals, 2, qt.Commentf("waits: %s", tm.WaitReason(modeler.TaskID{Job: "j1"})))
				sleep(2 * time.Second)
				tm.assertState("j1", modeler.Completed)
				tm.CancelJob("blocker")
				sleep(time.Second)
			})
		})
	}
}

// Guards against a failed task that goes back to its worker although another one has capacity for it soon.
func TestFailedTaskWaitsForOtherWorker(t *testing.T) {
	runWithFullWorker(t, simpleJob("blocker", "batch", 1, cores(14000)), 2500*time.Millisecond, func(fl *fleet, tm *term) {
		failedOn := fl.setFailsOnce(tm, "j1", 400*time.Millisecond)
		sleep(1500 * time.Millisecond)
		qt.Check(t, fl.workers.StartCount(modeler.TaskID{Job: "j1"}), qt.Equals, 2)
		qt.Check(t, fl.workers.WorkerOf(modeler.TaskID{Job: "j1"}), qt.Not(qt.Equals), failedOn)
		sleep(2 * time.Second)
	})
}

// Guards against a faulty worker that each of a series of leaders believes again, so that it fails tasks in each term.
func TestQuarantineOutlastsTakeover(t *testing.T) {
	for name, snapshots := range map[string]bool{"from facts": false, "from snapshots": true} {
		t.Run(name, func(t *testing.T) {
			run(t, 2, func(fl *fleet, tm *term) {
				tm.end()
				fw := &faultyWorker{WorkerClient: fl.workers, fleet: fl, id: "worker-00"}
				fl.client = fw
				*tm = *fl.startTerm(0)
				// The quarantine of 8 s follows two shorter ones.
				for no := 0; fl.registry.Value(meter.WorkersQuarantined) < 3; no++ {
					tm.submit(simpleJob(modeler.JobID(fmt.Sprint("job-", no)), "batch", 12, cores(2000)))
					sleep(700 * time.Millisecond)
				}
				fw.starts.Store(0)
				for no := range 5 {
					if snapshots {
						qt.Assert(t, tm.TakeSnapshot(fl.t.Context()), qt.IsNil)
					}
					fl.predecessorSeenFor = time.Second
					tm.nextTerm(12 * time.Second)
					tm.submit(simpleJob(modeler.JobID(fmt.Sprint("later-", no)), "batch", 12, cores(2000)))
					sleep(time.Second)
				}
				qt.Check(t, fw.starts.Load(), qt.Equals, int64(0))
				for range 10 {
					tm.nextTerm(12 * time.Second)
					sleep(time.Second)
				}
				tm.submit(simpleJob("last", "batch", 12, cores(2000)))
				sleep(time.Second)
				qt.Check(t, fw.starts.Load() > 0, qt.IsTrue)
				sleep(5 * time.Second)
			})
		})
	}
}

// Guards against failed tasks that wait for the end of a long quarantine of the only worker with capacity.
func TestQuarantineOfOnlyWorker(t *testing.T) {
	runWithFullWorker(t, longRunningJob("blocker", "batch", 1, cores(14000)), 0, func(fl *fleet, tm *term) {
		fl.config.Queues[1].Attempts = 5
		ids := []modeler.JobID{"j1", "j2"}
		for _, id := range ids {
			fl.setBehaviour(modeler.TaskID{Job: id}, emulator.TaskBehaviour{RunTime: 300 * time.Millisecond, Fails: true})
			tm.submit(goldJob(id, "batch", cores(2500)))
		}
		first, lastRun, longest := modeler.TaskID{Job: "j1"}, time.Now(), time.Duration(0)
		for state := modeler.Queued; state != modeler.Completed && longest < 12*time.Second; state, _ = tm.JobState("j1") {
			sleep(50 * time.Millisecond)
			if fl.workers.WorkerOf(first) != "" {
				lastRun = time.Now()
			}
			longest = max(longest, time.Since(lastRun))
			for _, id := range ids {
				fails := fl.workers.StartCount(first) < 2
				fl.setBehaviour(modeler.TaskID{Job: id}, emulator.TaskBehaviour{RunTime: 300 * time.Millisecond, Fails: fails})
			}
		}
		qt.Check(t, longest <= promisedRunTime, qt.IsTrue, qt.Commentf("j1 has waited for %v", longest))
		sleep(10 * time.Second)
		tm.CancelJob("blocker")
		sleep(time.Second)
	})
}
