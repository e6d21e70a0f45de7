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

// scarceLoad is an installation half of whose workers serve an image that one filling image harms badly.
// Another filling image harms nobody and asks for most of what all workers leave idle.
type scarceLoad struct {
	fl *fleet
	tm *term
	ml *mixedLoad
}

const (
	// scarceWorkers serve one task each, which leaves room for two tasks that fill.
	scarceWorkers = 12
	// scarceWork is the run time of a task that fills, scarceTime what its callers accept.
	scarceWork = time.Second
	// scarceLearning is the number of jobs before the full load.
	scarceLearning = 10
	scarceTime     = 3 * time.Second
)

// serve runs a serving task on half of the workers.
func (sl *scarceLoad) serve(image string, harmed bool) {
	jb := simpleJob(modeler.JobID(image), "urgent", scarceWorkers/2, modeler.Resources{MilliCores: 12000, MemoryMB: 1000})
	sp := &jb.Steps[0]
	sp.LongRunning, sp.TailTarget, sp.Image, sp.PerWorker = true, tailTarget, image, 1
	for ix := range sp.Count {
		sl.fl.set(modeler.TaskID{Job: jb.ID, Index: ix}, emulator.TaskBehaviour{Tail: func(neighbours []modeler.TaskID) time.Duration {
			bad := slices.ContainsFunc(neighbours, func(id modeler.TaskID) bool { return strings.HasPrefix(string(id.Job), "picky") })
			if harmed && bad {
				return 2 * tailTarget
			}
			return 2 * baseTail
		}})
	}
	sl.tm.submit(jb)
}

func (sl *scarceLoad) fill(image string, no, count int) {
	jb := simpleJob(modeler.JobID(fmt.Sprint(image, "-", no)), "batch", count, modeler.Resources{MilliCores: 4000, MemoryMB: 100})
	jb.Steps[0].BestEffort, jb.Steps[0].Image, jb.Steps[0].Estimate = true, image, scarceWork
	for ix := range count {
		sl.fl.set(modeler.TaskID{Job: jb.ID, Index: ix}, emulator.TaskBehaviour{Work: scarceWork})
	}
	sl.tm.submit(jb)
}

// play submits so many tasks of each image twice a second and notes when jobs end.
func (sl *scarceLoad) play(easy, picky int) {
	sl.serve("sensitive", true)
	sl.serve("robust", false)
	sleep(2 * time.Second)
	for no := range 40 {
		if no < scarceLearning {
			// One of each shows what they do.
			sl.fill("easy", no, 1)
			sl.fill("picky", no, 1)
		} else {
			sl.fill("easy", no, easy)
			sl.fill("picky", no, picky)
		}
		sl.pass(500 * time.Millisecond)
	}
	sl.pass(8 * time.Second)
}

func (sl *scarceLoad) pass(dur time.Duration) {
	const interval = 100 * time.Millisecond
	for range dur / interval {
		sleep(interval)
		sl.ml.note()
	}
}

func assertScarce(t *testing.T, easy, picky int) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		fl := newFleet(t, scarceWorkers)
		tm := fl.lead(0)
		defer func() { tm.end() }()
		sl := &scarceLoad{fl: fl, tm: tm, ml: &mixedLoad{fl: fl, tm: tm, ended: map[modeler.JobID]time.Time{}}}
		sl.play(easy, picky)
		fl.assertSound()
		onTime, others := sl.ml.onTime("picky", scarceTime), sl.ml.onTime("easy", scarceTime)
		qt.Check(t, onTime >= 0.9, qt.IsTrue, qt.Commentf("%.2f of the jobs with few workers", onTime))
		qt.Check(t, others >= 0.9, qt.IsTrue, qt.Commentf("%.2f of the others", others))
	})
}

// Guards against work that fills which waits although there is room: because other work has taken the
// few workers that it may use, or because it was blamed for the harm of its neighbour.
func TestScarceWorkers(t *testing.T) {
	t.Run("more of the work that may run anywhere", func(t *testing.T) { assertScarce(t, 7, 5) })
	t.Run("more of the work with few workers", func(t *testing.T) { assertScarce(t, 5, 6) })
}
