package director_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/currantrouter/currantrouter/internal/job/modeler"
	"github.com/currantrouter/currantrouter/internal/provider/emulator"
)

// unreachableGrace is how long a leader waits, after the end of the lease of a worker that does not answer, for
// the ends of tasks that end by themselves.
const unreachableGrace = 4 * time.Second

// minuteJob returns a job of one task that runs for a minute.
func (fl *fleet) minuteJob(id modeler.JobID) *modeler.Job {
	fl.setBehaviour(modeler.TaskID{Job: id}, emulator.TaskBehaviour{RunTime: time.Minute})
	return simpleJob(id, "batch", 1, cores(1000))
}

// Guards against a task that ends by itself and whose worker is lost, and that waits for the worker's lease, or for
// the ends that the worker may report after it, anew in each of a series of terms.
func TestLostWorkerDelaysBatchTaskOnce(t *testing.T) {
	const (
		lease     = longestLease
		inherited = 12 * time.Second
		termTime  = 3 * time.Second
	)
	kinds := map[string]func(fl *fleet) *modeler.Job{
		"run to completion": func(fl *fleet) *modeler.Job { return fl.minuteJob("j1") },
		"best effort": func(fl *fleet) *modeler.Job {
			jb := fl.minuteJob("j1")
			jb.Steps[0].BestEffort, jb.Steps[0].Image = true, "best-effort"
			return jb
		},
		"timed": func(fl *fleet) *modeler.Job {
			jb := fl.minuteJob("j1")
			jb.Repeats, jb.First, jb.Interval = 1, time.Now().Add(500*time.Millisecond), time.Hour
			return jb
		},
	}
	for _, tc := range []struct {
		name    string
		crashAt time.Duration
		limit   time.Duration
	}{
		{"silence known to the leader", 3200 * time.Millisecond, lease + maxStartDelay},
		{"lost just before the leader", 5900 * time.Millisecond, inherited + maxStartDelay},
		{"lost with the leader", 6 * time.Second, inherited + maxStartDelay},
		{"lost in a later term", 10 * time.Second, lease + maxStartDelay},
	} {
		for kind, newJob := range kinds {
			t.Run(kind+"/"+tc.name, func(t *testing.T) {
				for _, listed := range []bool{false, true} {
					for used, grace := range map[int64]time.Duration{1000: 0, 14000: unreachableGrace} {
						run(t, 4, func(fl *fleet, tm *term) {
							tm.submitBusy(4, used)
							ts := termSeries{termTime: termTime, crashAt: tc.crashAt, inherited: inherited, listed: listed}
							took := ts.play(fl, tm, newJob(fl))
							qt.Check(t, took >= lease+grace && took < tc.limit+grace, qt.IsTrue, qt.Commentf("started again after %v, registered %v, %d in use", took, listed, used))
						})
					}
				}
			})
		}
	}
}

// Guards against a gang that waits anew in each of a series of terms, in which one worker of its members after the
// other is lost.
func TestLostWorkersDelayGangOnce(t *testing.T) {
	const (
		lease     = longestLease
		inherited = 12 * time.Second
		termTime  = 3 * time.Second
		limit     = 40 * time.Second
	)
	ids := []modeler.TaskID{{Job: "gang"}, {Job: "gang", Index: 1}}
	for name, tc := range map[string]struct {
		longRunning bool
		// secondCrash is the time from the crash of the first member's worker to that of the second's.
		secondCrash, bound time.Duration
	}{
		"long-running":                     {true, 3 * time.Second, lease + maxStartDelay},
		"long-running, with a leader":      {true, 2800 * time.Millisecond, inherited + maxStartDelay},
		"run to completion":                {false, 3 * time.Second, lease + maxStartDelay},
		"run to completion, with a leader": {false, 2800 * time.Millisecond, inherited + maxStartDelay},
	} {
		t.Run(name, func(t *testing.T) {
			run(t, 4, func(fl *fleet, tm *term) {
				jb := simpleJob("gang", "urgent", 2, cores(1000))
				jb.Steps[0].Gang, jb.Steps[0].LongRunning, jb.Steps[0].MaxPerWorker = true, tc.longRunning, 1
				for _, id := range ids {
					fl.setBehaviour(id, emulator.TaskBehaviour{RunTime: time.Minute})
				}
				tm.submit(jb)
				sleep(time.Second)
				first, second := fl.workers.WorkerOf(ids[0]), fl.workers.WorkerOf(ids[1])
				qt.Assert(t, first != "" && second != "" && first != second, qt.IsTrue)
				tm.nextTerm(inherited)
				began := time.Now()
				sleep(200 * time.Millisecond)
				fl.workers.Crash(first)
				crashed := time.Now()
				secondDown := false
				for time.Since(crashed) < limit {
					sleep(50 * time.Millisecond)
					if !secondDown && time.Since(crashed) >= tc.secondCrash {
						fl.workers.Crash(second)
						secondDown = true
					}
					if time.Since(began) >= termTime {
						tm.nextTerm(inherited)
						began = time.Now()
					}
					if fl.workers.WorkerOf(ids[0]) != "" && fl.workers.WorkerOf(ids[1]) != "" && secondDown {
						break
					}
				}
				took := time.Since(crashed) - tc.secondCrash
				qt.Check(t, took < tc.bound, qt.IsTrue, qt.Commentf("started again after %v", took))
			})
		})
	}
}

// Guards against a cancelled job whose run goes on because each of a series of terms ends before the run is stopped:
// its worker did not answer for a while, and each leader has to read the stored jobs first.
func TestCancelledRunStopsInSeriesOfTerms(t *testing.T) {
	const (
		inherited = 12 * time.Second
		termTime  = 3 * time.Second
		outage    = 4500 * time.Millisecond
		limit     = 3 * time.Second
	)
	for name, longRunning := range map[string]bool{"long-running": true, "run to completion": false} {
		t.Run(name, func(t *testing.T) {
			run(t, 2, func(fl *fleet, tm *term) {
				jb := fl.minuteJob("j1")
				jb.Steps[0].LongRunning = longRunning
				tm.submit(jb)
				sleep(2 * time.Second)
				task := modeler.TaskID{Job: "j1"}
				where := fl.workers.WorkerOf(task)
				fl.loadTime = time.Second
				fl.workers.SetUnreachable(where, true)
				tm.CancelJob("j1")
				fl.cancelled = append(fl.cancelled, "j1")
				began := time.Now()
				stopped := time.Duration(0)
				for stopped == 0 && time.Since(began) < outage+limit {
					for termBegan := time.Now(); stopped == 0 && time.Since(termBegan) < termTime; {
						sleep(100 * time.Millisecond)
						if time.Since(began) >= outage {
							fl.workers.SetUnreachable(where, false)
						}
						if fl.workers.WorkerOf(task) == "" {
							stopped = time.Since(began)
						}
					}
					tm.nextTerm(inherited)
				}
				qt.Check(t, stopped > 0 && stopped <= outage+limit, qt.IsTrue, qt.Commentf("stopped after %v", stopped))
			})
		})
	}
}

// Guards against a task that runs twice as a start without an answer, made by an earlier leader, is carried out by a
// worker that has restarted since: its clock does not refuse the start, and the new leader does not know of it.
func TestLateStartOfEarlierLeader(t *testing.T) {
	task := modeler.TaskID{Job: "j1"}
	for name, tc := range map[string]struct {
		// delay is the time from the takeover to the start, at which the worker may run the task.
		delay    time.Duration
		accepted bool
	}{
		"before the new leader asks the worker": {0, true},
		"after it has asked":                    {time.Second, false},
		"long after":                            {12 * time.Second, false},
	} {
		t.Run(name, func(t *testing.T) {
			run(t, 2, func(fl *fleet, tm *term) {
				tm.end()
				ls := &lateStart{WorkerClient: fl.workers}
				fl.client = ls
				*tm = *fl.startTerm(0)
				tm.submit(fl.minuteJob("j1"))
				sleep(200 * time.Millisecond)
				qt.Assert(t, ls.req, qt.IsNotNil)
				tm.end()
				fl.workers.Crash(ls.worker.ID)
				fl.infos[0], fl.infos[1] = fl.workers.Add(workerInfo(0)), fl.workers.Add(workerInfo(1))
				if tc.delay == 0 {
					qt.Check(t, ls.deliver(fl.t.Context()) == nil, qt.Equals, tc.accepted)
				}
				*tm = *fl.startTerm(12 * time.Second)
				if tc.delay > 0 {
					sleep(tc.delay)
					qt.Check(t, ls.deliver(fl.t.Context()) == nil, qt.Equals, tc.accepted)
				}
				sleep(2 * time.Second)
				qt.Check(t, fl.workers.StartCount(task), qt.Equals, 1)
			})
		})
	}
}
