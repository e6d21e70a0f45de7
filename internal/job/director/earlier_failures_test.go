package director_test

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/currantrouter/currantrouter/internal/job/modeler"
	"github.com/currantrouter/currantrouter/internal/provider/emulator"
)

// Guards against one more start of a task that has failed as often as its queue allows: the leader takes its last run over,
// and the worker of an earlier run, whose failure is not recorded, has not reported yet.
func TestEarlierFailureOfSilentWorker(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fl := newFleet(t, 3)
		tm := fl.startTerm(0)
		defer func() { tm.end() }()
		task := modeler.TaskID{Job: "failing"}
		fl.setBehaviour(task, emulator.TaskBehaviour{RunTime: 300 * time.Millisecond, Fails: true})
		tm.submitBusy(3, 14000)
		jb := simpleJob(task.Job, "urgent", 1, cores(1000))
		tm.submit(jb)
		sleep(200 * time.Millisecond)
		first := fl.workers.WorkerOf(task)
		fl.faults.Set(emulator.Switch{Fault: emulator.Unavailable, Part: emulator.PartStore})
		fl.setBehaviour(task, emulator.TaskBehaviour{RunTime: 1500 * time.Millisecond, Fails: true})
		sleep(600 * time.Millisecond)
		qt.Assert(t, fl.workers.StartCount(task), qt.Equals, 2)
		tm.end()
		fl.faults.Clear()
		fl.workers.SetUnreachable(first, true)
		tm = fl.startTerm(time.Second)
		sleep(2 * time.Second)
		fl.workers.SetUnreachable(first, false)
		sleep(5 * time.Second)
		tm.assertState(task.Job, modeler.Failed)
		qt.Check(t, fl.workers.StartCount(task), qt.Equals, 2)
	})
}
