package director_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/currantrouter/currantrouter/internal/job/modeler"
	"github.com/currantrouter/currantrouter/internal/job/placer"
	"github.com/currantrouter/currantrouter/internal/provider/emulator"
)

// shortLoad keeps more short tasks waiting than the workers have capacity for.
type shortLoad struct {
	// backlog is the number of short tasks that wait from the beginning.
	backlog int
	// perSecond is the number of short tasks that are submitted in each second.
	perSecond int
}

// submitFor submits short tasks of four cores for a time.
func (sl *shortLoad) submitFor(tm *term, name string, dur time.Duration) {
	const interval = 100 * time.Millisecond
	for no := range int(dur / interval) {
		if sl.perSecond > 0 {
			tm.submit(simpleJob(modeler.JobID(fmt.Sprintf("%s-%d", name, no)), "urgent", sl.perSecond/10, cores(4000)))
		}
		sleep(interval)
	}
}

// assertRuns checks that each task of the job runs.
func (fl *fleet) assertRuns(id modeler.JobID, tasks int) {
	fl.t.Helper()
	for ix := range tasks {
		task := modeler.TaskID{Job: id, Index: ix}
		qt.Check(fl.t, fl.workers.WorkerOf(task) != "", qt.IsTrue, qt.Commentf("%s does not run", task))
	}
}

// Guards against long-running tasks that get no turn in a new term behind short ones, while the journal or
// the answers of workers are slow.
func TestLongRunningAfterTakeover(t *testing.T) {
	const slowWrite, slowStart = 400 * time.Millisecond, 150 * time.Millisecond
	for _, backlog := range []int{1000, 2000} {
		for name, prepare := range map[string]func(*fleet){
			"slow starts": func(fl *fleet) { fl.client = &slowStarts{WorkerClient: fl.workers, delay: slowStart} },
			"slow journal": func(fl *fleet) {
				fl.faults.Set(emulator.Switch{Fault: emulator.Slow, Part: emulator.PartStore, Operation: "Put", Delay: slowWrite})
			},
		} {
			t.Run(fmt.Sprintf("%s, %d short tasks", name, backlog), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					fl := newFleet(t, 10)
					tm := fl.startTerm(0)
					defer func() { tm.end() }()
					sleep(time.Second)
					tm.submit(longRunningJob("long", "urgent", 6, cores(7000)))
					sleep(time.Second)
					lost := fl.workers.WorkerOf(modeler.TaskID{Job: "long"})
					fl.workers.SetUnreachable(lost, true)
					sleep(3 * time.Second)
					tm.submit(simpleJob("backlog", "urgent", backlog, cores(4000)))
					sleep(time.Second)
					prepare(fl)
					for range 3 {
						tm.nextTerm(testLimits.MaxLeaseTime())
						sleep(2 * time.Second)
					}
					tm.nextTerm(testLimits.MaxLeaseTime())
					sleep(maxStartDelay)
					fl.assertRuns("long", 6)
					fl.assertNoViolations()
				})
			})
		}
	}
}

// Guards against long-running tasks that wait for as long as short ones use all capacity, in a term and
// after a takeover.
func TestLongRunningBesideShortTasks(t *testing.T) {
	for name, sl := range map[string]shortLoad{
		"a backlog":          {backlog: 2000},
		"a stream":           {perSecond: 200},
		"both":               {backlog: 1000, perSecond: 100},
		"no short tasks":     {},
		"a stream that fits": {perSecond: 30},
	} {
		for _, needs := range []int64{4000, 14000} {
			t.Run(fmt.Sprintf("%s, %d cores", name, needs/1000), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					fl := newFleet(t, 10)
					tm := fl.startTerm(0)
					defer func() { tm.end() }()
					sleep(time.Second)
					if sl.backlog > 0 {
						tm.submit(simpleJob("backlog", "urgent", sl.backlog, cores(4000)))
					}
					sl.submitFor(tm, "first", 3*time.Second)
					tm.submit(longRunningJob("long", "urgent", 3, cores(needs)))
					sl.submitFor(tm, "second", maxStartDelay)
					fl.assertRuns("long", 3)
					if t.Failed() {
						return
					}
					fl.workers.SetUnreachable(fl.workers.WorkerOf(modeler.TaskID{Job: "long"}), true)
					sl.submitFor(tm, "third", 3*time.Second)
					tm.nextTerm(testLimits.MaxLeaseTime())
					sl.submitFor(tm, "fourth", testLimits.MaxLeaseTime()+maxStartDelay)
					fl.assertRuns("long", 3)
					fl.assertNoViolations()
				})
			})
		}
	}
}

// Guards against a long-running task that waits although its workers list capacity for it, which starts of
// short tasks on their way to the workers reserve, one after the other.
func TestLongRunningBesideStartsInFlight(t *testing.T) {
	const (
		workers, needed  = 20, 200
		interval         = 10 * time.Millisecond
		shortTasks, long = 1000, 400
	)
	rnd := rand.New(rand.NewPCG(1, 21))
	synctest.Test(t, func(t *testing.T) {
		fl := newFleet(t, workers)
		fl.client = &slowStarts{WorkerClient: fl.workers, delay: 200 * time.Millisecond}
		tm := fl.startTerm(0)
		defer func() { tm.end() }()
		// Together, these leave less than the reserve for short tasks.
		tm.submit(longRunningJob("large", "urgent", workers-1, cores(15100)))
		sleep(2 * time.Second)
		tm.submit(longRunningJob("small", "urgent", 10, cores(1400)))
		sleep(2 * time.Second)
		fl.assertRuns("large", workers-1)
		fl.assertRuns("small", 10)
		lowest := int64(math.MaxInt64)
		for no := range shortTasks {
			if no == long {
				tm.submit(longRunningJob("long", "urgent", 1, cores(needed)))
			}
			id := modeler.JobID(fmt.Sprintf("short-%d", no))
			fl.setBehaviour(modeler.TaskID{Job: id}, emulator.TaskBehaviour{RunTime: time.Duration(500+rnd.IntN(1000)) * time.Millisecond})
			tm.submit(simpleJob(id, "urgent", 1, cores(needed)))
			sleep(interval)
			if no > long {
				lowest = min(lowest, fl.places(cores(needed)))
			}
			if time.Duration(no-long)*interval > maxStartDelay {
				break
			}
		}
		qt.Assert(t, lowest >= 2, qt.IsTrue, qt.Commentf("at times, the task fits %d times", lowest))
		fl.assertRuns("long", 1)
		fl.assertNoViolations()
	})
}

// places returns how many tasks fit on the workers beside those that run.
func (fl *fleet) places(needs modeler.Resources) int64 {
	var places int64
	for _, ws := range fl.workers.States() {
		places += placer.FitCount(needs, ws.Free)
	}
	return places
}
