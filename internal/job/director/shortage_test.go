package director_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/currantrouter/currantrouter/internal/job/director"
	"github.com/currantrouter/currantrouter/internal/job/modeler"
	"github.com/currantrouter/currantrouter/internal/provider/emulator"
	"github.com/currantrouter/currantrouter/internal/telemetry/logger"
	"github.com/currantrouter/currantrouter/internal/telemetry/meter"
)

// runPolicy runs a test with a synctest clock and one term of a shortage policy.
func runPolicy(t *testing.T, policy director.ShortagePolicy, workers int, test func(fl *fleet, tm *term)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		fl := newFleet(t, workers)
		fl.shortagePolicy = policy
		tm := fl.startTerm(0)
		defer func() { tm.end() }()
		test(fl, tm)
		tm.end()
		fl.assertNoViolations()
	})
}

// Guards against best-effort tasks that wait for the memory of a worker that is held for a short task, although
// that needs less, and against ones that take the memory that it needs.
func TestMemoryOfHeldWorkers(t *testing.T) {
	for _, tc := range []struct {
		name string
		// memory is what the waiting short task needs, in megabytes.
		policy director.ShortagePolicy
		memory int64
		// reserves is set for a less urgent task that needs no processors and is not best-effort.
		reserves bool
		starts   int
	}{
		{"deadline", director.DeadlinePolicy, 1000, false, 0},
		{"value", director.ValuePolicy, 1000, false, 1},
		{"value, memory needed", director.ValuePolicy, 60_000, false, 0},
		{"value, not best-effort", director.ValuePolicy, 1000, true, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			runPolicy(t, tc.policy, 1, func(fl *fleet, tm *term) {
				critical := longRunningJob("critical", "urgent", 1, cores(8000))
				critical.Steps[0].TailTarget, critical.Steps[0].Image = time.Second, "critical"
				// Without a tail latency, the emulator reports the processor use in its place, which is above the target.
				tail := func([]modeler.TaskID) time.Duration { return 100 * time.Millisecond }
				fl.setBehaviour(modeler.TaskID{Job: "critical"}, emulator.TaskBehaviour{TailLatency: tail})
				tm.submit(critical)
				sleep(500 * time.Millisecond)
				fl.setBehaviour(modeler.TaskID{Job: "first"}, emulator.TaskBehaviour{RunTime: 6 * time.Second})
				tm.submit(simpleJob("first", "urgent", 1, cores(7000)))
				sleep(500 * time.Millisecond)
				tm.submit(simpleJob("second", "urgent", 1, modeler.Resources{MilliCores: 7000, MemoryMB: tc.memory}))
				sleep(500 * time.Millisecond)
				filling := simpleJob("filling", "batch", 1, modeler.Resources{MilliCores: 2000, MemoryMB: 5000})
				filling.Steps[0].BestEffort, filling.Steps[0].Image = true, "filling"
				if tc.reserves {
					filling.Steps[0].BestEffort, filling.Steps[0].Needs.MilliCores = false, 0
				}
				tm.submit(filling)
				sleep(time.Second)
				qt.Check(t, fl.workers.StartCount(modeler.TaskID{Job: "filling"}), qt.Equals, tc.starts)
				sleep(5 * time.Second)
				qt.Check(t, fl.workers.StartCount(modeler.TaskID{Job: "second"}), qt.Equals, 1)
			})
		})
	}
}

// assertShortageReported checks the lines and metrics on a shortage of 90 s, and on its end.
func (fl *fleet) assertShortageReported(tm *term, reported bool) {
	fl.t.Helper()
	if !reported {
		for _, ev := range []logger.Event{logger.ShortageBegan, logger.ShortageGoes, logger.ShortageOver} {
			fl.assertNotLogged(ev, nil)
		}
		fl.assertMetric(meter.JobsDelayed, 0)
		return
	}
	fl.assertMetric(meter.ShortPools, 1)
	qt.Check(fl.t, fl.registry.Value(meter.JobsDelayed) > 100, qt.IsTrue)
	qt.Check(fl.t, fl.registry.Value(meter.ShortTaskReserve) > 0, qt.IsTrue)
	sleep(40 * time.Second)
	fl.assertLogged(logger.ShortageBegan, logLine{"Pool": string(testPool)})
	fl.assertLogged(logger.ShortageOver, nil)
	lines := len(fl.logs.of(logger.ShortageGoes, nil))
	qt.Check(fl.t, lines > 80 && lines <= 130, qt.IsTrue, qt.Commentf("%d lines", lines))
	tm.end()
	fl.assertMetric(meter.ShortPools, 0)
	fl.assertMetric(meter.ShortTaskReserve, 0)
}

// Guards against overdue jobs that never end while a pool stays short of capacity, as jobs that can still be on
// time come all the time, and against a shortage that is not reported.
func TestOverdueJobsEnd(t *testing.T) {
	ended := map[director.ShortagePolicy]int{}
	for _, policy := range []director.ShortagePolicy{director.DeadlinePolicy, director.ValuePolicy} {
		runPolicy(t, policy, 4, func(fl *fleet, tm *term) {
			const old, width = 4, 4
			for no := range old {
				tm.submit(simpleJob(modeler.JobID(fmt.Sprint("old", no)), "urgent", width, cores(8000)))
			}
			for no := range 900 {
				tm.submit(simpleJob(modeler.JobID(fmt.Sprint("new", no)), "urgent", 1, cores(8000)))
				sleep(100 * time.Millisecond)
			}
			for no := range old {
				if st, _ := tm.JobState(modeler.JobID(fmt.Sprint("old", no))); st == modeler.Completed {
					ended[policy]++
				}
			}
			fl.assertShortageReported(tm, policy == director.ValuePolicy)
		})
	}
	t.Logf("of 4 old jobs have ended: %v", ended)
	qt.Check(t, ended[director.ValuePolicy], qt.Equals, 4)
}

// Guards against an overdue job that can never be placed and keeps the promotion from the others.
func TestOverdueJobsEndBesideUnplaceable(t *testing.T) {
	for name, prepare := range map[string]func(*modeler.Job){
		"label that no worker has": func(jb *modeler.Job) { jb.Steps[0].Label = "none" },
		"gang that fits nowhere":   func(jb *modeler.Job) { jb.Steps[0].Gang, jb.Steps[0].Count = true, 9 },
	} {
		t.Run(name, func(t *testing.T) {
			runPolicy(t, director.ValuePolicy, 4, func(_ *fleet, tm *term) {
				const old, width = 4, 4
				unplaceable := simpleJob("unplaceable", "urgent", 1, cores(8000))
				prepare(unplaceable)
				tm.submit(unplaceable)
				sleep(100 * time.Millisecond)
				ended := 0
				for no := range old {
					tm.submit(simpleJob(modeler.JobID(fmt.Sprint("old", no)), "urgent", width, cores(8000)))
				}
				for no := range 900 {
					tm.submit(simpleJob(modeler.JobID(fmt.Sprint("new", no)), "urgent", 1, cores(8000)))
					sleep(100 * time.Millisecond)
				}
				for no := range old {
					if st, _ := tm.JobState(modeler.JobID(fmt.Sprint("old", no))); st == modeler.Completed {
						ended++
					}
				}
				qt.Check(t, ended, qt.Equals, old)
			})
		})
	}
}

// Guards against tasks that run twice, jobs that do not end, and overbooked workers under ValuePolicy, while leaders
// change and workers fail.
func TestRandomFaultsUnderValue(t *testing.T) {
	for seed := range uint64(6) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runRandomFaults(t, seed, director.ValuePolicy) })
		})
	}
}
