package director_test

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/currantrouter/currantrouter/internal/job/director"
	"github.com/currantrouter/currantrouter/internal/job/modeler"
	"github.com/currantrouter/currantrouter/internal/provider/emulator"
)

// faultyWorker is a client of workers one of which fails all tasks of a job.
type faultyWorker struct {
	director.WorkerClient
	fleet *fleet
	id    modeler.WorkerID
	job   modeler.JobID
}

func (fw *faultyWorker) Start(ctx context.Context, wk *modeler.Worker, req *modeler.StartRequest) (time.Duration, error) {
	if req.Task.Job == fw.job {
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
