package director_test

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/currantrouter/currantrouter/internal/job/modeler"
)

// Guards against tasks that start on a restarted worker by the labels of its earlier incarnation.
func TestRestartAsAnotherKind(t *testing.T) {
	task := modeler.TaskID{Job: "j1"}
	submit := func(tm *term, label string) {
		jb := simpleJob("j1", "urgent", 1, cores(1000))
		jb.Steps[0].Label = label
		tm.submit(jb)
	}
	restart := func(fl *fleet) modeler.Worker {
		fl.workers.Crash("worker-00")
		info := workerInfo(0)
		info.Labels = []string{"kind-b"}
		return fl.workers.Add(info)
	}
	assertNotStarted := func(fl *fleet, tm *term, info modeler.Worker) {
		submit(tm, "kind-a")
		sleep(3 * time.Second)
		qt.Check(fl.t, fl.workers.StartCount(task), qt.Equals, 0)
		tm.UpdateWorker(info)
		sleep(3 * time.Second)
		qt.Check(fl.t, fl.workers.StartCount(task), qt.Equals, 0)
	}
	t.Run("during a term", func(t *testing.T) {
		run(t, 1, func(fl *fleet, tm *term) {
			sleep(time.Second)
			info := restart(fl)
			sleep(time.Second)
			assertNotStarted(fl, tm, info)
		})
	})
	t.Run("before a term", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			fl := newFleet(t, 1)
			sleep(time.Second)
			info := restart(fl)
			tm := fl.startTerm(0)
			defer tm.end()
			assertNotStarted(fl, tm, info)
		})
	})
	for name, setBack := range map[string]time.Duration{"twice, the entry of the second incarnation last": 0, "the same with the clock set back": 500 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			run(t, 1, func(fl *fleet, tm *term) {
				sleep(time.Second)
				second := workerInfo(0)
				fl.workers.Crash(second.ID)
				second = fl.workers.Add(second)
				sleep(10 * time.Millisecond)
				third := restart(fl)
				third = fl.workers.SetIncarnation(third.ID, third.Incarnation-setBack.Milliseconds())
				sleep(time.Second)
				tm.UpdateWorker(second)
				assertNotStarted(fl, tm, third)
			})
		})
	}
	t.Run("the entry of the earlier incarnation arrives again", func(t *testing.T) {
		run(t, 1, func(fl *fleet, tm *term) {
			sleep(time.Second)
			info := restart(fl)
			tm.UpdateWorker(info)
			sleep(time.Second)
			tm.UpdateWorker(fl.infos[0])
			assertNotStarted(fl, tm, info)
		})
	})
	t.Run("tasks for the new kind", func(t *testing.T) {
		run(t, 1, func(fl *fleet, tm *term) {
			sleep(time.Second)
			tm.UpdateWorker(restart(fl))
			submit(tm, "kind-b")
			sleep(3 * time.Second)
			tm.assertState("j1", modeler.Completed)
		})
	})
	t.Run("an entry without an incarnation", func(t *testing.T) {
		run(t, 1, func(fl *fleet, tm *term) {
			sleep(time.Second)
			info := restart(fl)
			sleep(time.Second)
			info.Incarnation = 0
			tm.UpdateWorker(info)
			submit(tm, "kind-b")
			sleep(3 * time.Second)
			tm.assertState("j1", modeler.Completed)
		})
	})
}
