package director_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/currantrouter/currantrouter/internal/job/director"
	"github.com/currantrouter/currantrouter/internal/job/keeper"
	"github.com/currantrouter/currantrouter/internal/job/modeler"
	"github.com/currantrouter/currantrouter/internal/provider/emulator"
	"github.com/currantrouter/currantrouter/internal/telemetry/logger"
	"github.com/currantrouter/currantrouter/internal/telemetry/meter"
)

// assertMetric checks a number of the metrics.
func (fl *fleet) assertMetric(mt meter.Metric, want int64) {
	fl.t.Helper()
	qt.Check(fl.t, fl.registry.Value(mt), qt.Equals, want, qt.Commentf("%s", mt.Name))
}

// timerCount returns the number of times that a timer has recorded.
func (fl *fleet) timerCount(mt meter.Metric) int {
	rec := httptest.NewRecorder()
	fl.registry.ServeHTTP(rec, nil)
	var values map[string]json.RawMessage
	qt.Assert(fl.t, json.Unmarshal(rec.Body.Bytes(), &values), qt.IsNil)
	var tm struct{ Count int }
	qt.Assert(fl.t, json.Unmarshal(values[mt.Name], &tm), qt.IsNil)
	return tm.Count
}

// Guards against a long-running task that waits without a line that says why, since when and until when.
func TestLongRunningTaskWaitsIsLogged(t *testing.T) {
	t.Run("nothing waits long", func(t *testing.T) {
		run(t, 2, func(fl *fleet, tm *term) {
			tm.submit(longRunningJob("long", "urgent", 2, cores(1000)))
			tm.submit(simpleJob("short", "batch", 4, cores(1000)))
			sleep(10 * time.Second)
			fl.assertNotLogged(logger.LongRunningTaskWaits, nil)
			fl.assertNotLogged(logger.TasksWaitLong, nil)
			fl.assertNotLogged(logger.LongRunningTaskStalled, nil)
			fl.assertMetric(meter.LongRunningTasksOverdue, 0)
		})
	})
	t.Run("no worker fits", func(t *testing.T) {
		run(t, 2, func(fl *fleet, tm *term) {
			tm.submit(longRunningJob("large", "urgent", 1, cores(20_000)))
			sleep(4 * time.Second)
			ln := fl.assertLogged(logger.LongRunningTaskWaits, logLine{"Task": "large.0.0.0", "Reason": "NoWorkerFits", "Unsuited": 2.0})
			waited, err := time.ParseDuration(ln["Waited"].(string))
			qt.Assert(t, err, qt.IsNil)
			qt.Check(t, waited >= 2*time.Second && waited < 3*time.Second+200*time.Millisecond, qt.IsTrue, qt.Commentf("%v", waited))
			fl.assertMetric(meter.TasksWaitingNoWorkerFits, 1)
			fl.assertMetric(meter.LongRunningTasksOverdue, 1)
			tm.end()
			fl.assertMetric(meter.TasksWaitingNoWorkerFits, 0)
			fl.assertMetric(meter.LongRunningTasksOverdue, 0)
		})
	})
	t.Run("worker does not answer", func(t *testing.T) {
		run(t, 2, func(fl *fleet, tm *term) {
			tm.submit(longRunningJob("long", "urgent", 1, cores(1000)))
			sleep(2 * time.Second)
			where := fl.workers.WorkerOf(modeler.TaskID{Job: "long"})
			fl.workers.SetUnreachable(where, true)
			sleep(6 * time.Second)
			ln := fl.assertLogged(logger.LongRunningTaskWaits, logLine{"Reason": "WorkerNotAnswering", "Worker": string(where)})
			left, err := time.ParseDuration(ln["HeldFor"].(string))
			qt.Assert(t, err, qt.IsNil)
			qt.Check(t, left > 0 && left < testLimits.Lease, qt.IsTrue, qt.Commentf("%v", left))
		})
	})
	t.Run("lease of an earlier leader", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			fl := newFleet(t, 2)
			tm := fl.startTerm(0)
			defer func() { tm.end() }()
			tm.submit(longRunningJob("long", "urgent", 1, cores(1000)))
			sleep(2 * time.Second)
			where := fl.workers.WorkerOf(modeler.TaskID{Job: "long"})
			fl.workers.SetUnreachable(where, true)
			tm.end()
			tm = fl.startTerm(testLimits.Lease)
			sleep(4 * time.Second)
			fl.assertLogged(logger.LongRunningTaskWaits, logLine{"Reason": "EarlierLeasePossible", "Worker": string(where), "LastRun": 1.0, "LastEpoch": 1.0, "Epoch": 2.0})
			fl.assertMetric(meter.TasksWaitingEarlierLeasePossible, 1)
			fl.assertNoViolations()
		})
	})
	t.Run("journal away", func(t *testing.T) {
		run(t, 2, func(fl *fleet, tm *term) {
			sleep(time.Second)
			fl.faults.Set(emulator.Switch{Fault: emulator.Unavailable, Part: emulator.PartStore, Operation: "Put"})
			jb := longRunningJob("long", "urgent", 1, cores(1000))
			jb.Submitted, jb.Pool = time.Now(), testPool
			fl.mu.Lock()
			fl.jobs = append(fl.jobs, jb)
			fl.mu.Unlock()
			tm.AddJob(jb, true)
			sleep(4 * time.Second)
			fl.assertLogged(logger.LongRunningTaskWaits, logLine{"Reason": "PlacementNotDurable"})
			fl.assertLogged(logger.LongRunningTaskStalled, logLine{"Task": "long.0.0.0", "Reason": "PlacementNotDurable", "Places": 2.0, "Epoch": 1.0})
			fl.assertMetric(meter.StalledTasks, 1)
			wg, err := tm.Waiting()
			qt.Assert(t, err, qt.IsNil)
			qt.Check(t, wg.Reasons, qt.DeepEquals, []director.WaitingReason{{Reason: "PlacementNotDurable", Tasks: 1, LongRunning: 1, Oldest: "long.0.0.0", Waited: wg.Stalled[0].Waited}})
			qt.Check(t, wg.StalledTasks, qt.Equals, 1)
			qt.Check(t, wg.Stalled[0].Places, qt.Equals, int64(2))
			qt.Check(t, string(wg.Stalled[0].LastWorker), qt.Matches, "worker-0[01]")
			fl.faults.Clear()
			sleep(2 * time.Second)
			fl.assertMetric(meter.StalledTasks, 0)
		})
	})
}

// Guards against a backlog that is logged task by task, or not at all.
func TestTasksWaitIsLogged(t *testing.T) {
	run(t, 1, func(fl *fleet, tm *term) {
		// A worker has room for four of these.
		tm.submit(simpleJob("short", "batch", 40, cores(4000)))
		sleep(5 * time.Second)
		ln := fl.assertLogged(logger.TasksWaitLong, logLine{"Reason": "NoWorkerFits", "LongRunning": 0.0})
		qt.Check(t, ln["Tasks"].(float64) > 10, qt.IsTrue)
		qt.Check(t, len(fl.logs.of(logger.TasksWaitLong, logLine{"Reason": "NoWorkerFits"})) <= 4, qt.IsTrue)
		fl.assertNotLogged(logger.LongRunningTaskWaits, nil)
	})
}

// Guards against a cancellation whose way to the leader, or whose loss, leaves no trace.
func TestCancellationTrail(t *testing.T) {
	for name, source := range map[string]director.CancellationSource{
		"message": director.FromHost, "watch": director.FromWatch, "listing": director.FromListing, "term start": director.FromTermStart,
	} {
		t.Run("known job, "+name, func(t *testing.T) {
			run(t, 1, func(fl *fleet, tm *term) {
				tm.submit(longRunningJob("long", "urgent", 2, cores(1000)))
				sleep(2 * time.Second)
				tm.Director.CancelJob("long", source)
				tm.Director.CancelJob("long", director.FromListing)
				sleep(4 * time.Second)
				fl.assertLogged(logger.JobCancelled, logLine{"Job": "long", "Source": string(source), "Runs": 2.0})
				fl.assertNotLogged(logger.CancellationIneffective, nil)
				fl.assertNotLogged(logger.CancelledRunGoesOn, nil)
				qt.Check(t, fl.timerCount(meter.TimeToStopCancelled), qt.Equals, 1)
			})
		})
	}
	t.Run("unknown job", func(t *testing.T) {
		run(t, 1, func(fl *fleet, tm *term) {
			tm.Director.CancelJob("late", director.FromWatch)
			tm.Director.CancelJob("late", director.FromHost)
			fl.assertMetric(meter.CancellationsPending, 1)
			qt.Check(t, fl.logs.of(logger.CancellationIneffective, logLine{"Job": "late", "Source": "Watch", "Known": false, "Pending": 1.0}), qt.HasLen, 1)
			sleep(time.Second)
			tm.submit(simpleJob("late", "urgent", 1, cores(1000)))
			ln := fl.assertLogged(logger.JobCancelled, logLine{"Job": "late", "Source": "Watch", "Runs": 0.0})
			qt.Check(t, ln["HeardAgo"], qt.Equals, "1s")
			fl.assertMetric(meter.CancellationsPending, 0)
		})
	})
	t.Run("job that has ended", func(t *testing.T) {
		run(t, 1, func(fl *fleet, tm *term) {
			tm.submit(simpleJob("done", "urgent", 1, cores(1000)))
			sleep(4 * time.Second)
			tm.CancelJob("done")
			tm.CancelJob("done")
			qt.Check(t, fl.logs.of(logger.CancellationIneffective, logLine{"Known": true, "State": "Completed"}), qt.HasLen, 1)
		})
	})
	t.Run("too many unknown jobs", func(t *testing.T) {
		run(t, 1, func(fl *fleet, tm *term) {
			for no := range 10_200 {
				tm.CancelJob(modeler.JobID(fmt.Sprint("unknown-", no)))
			}
			fl.assertMetric(meter.CancellationsPending, 10_000)
			fl.assertMetric(meter.CancellationsDropped, 200)
			qt.Check(t, fl.logs.of(logger.CancellationDropped, nil), qt.HasLen, 50)
			sleep(time.Second)
			tm.CancelJob("one-more")
			fl.assertLogged(logger.CancellationDropped, logLine{"Job": "one-more", "Omitted": 150.0})
		})
	})
}

// Guards against a run of a cancelled job that goes on without a line on what became of its stops.
func TestCancelledRunIsLogged(t *testing.T) {
	t.Run("stops of an own run get no answer", func(t *testing.T) {
		run(t, 1, func(fl *fleet, tm *term) {
			tm.submit(longRunningJob("long", "urgent", 1, cores(1000)))
			sleep(2 * time.Second)
			fl.faults.Set(emulator.Switch{Fault: emulator.RequestLost, Part: emulator.PartWorkers, Operation: "Stop"})
			tm.CancelJob("long")
			sleep(4 * time.Second)
			ln := fl.assertLogged(logger.CancelledRunGoesOn, logLine{"Task": "long.0.0.0", "Expected": true, "Reachable": true, "LastAnswer": modeler.ErrNoAnswer.Error()})
			qt.Check(t, ln["Stops"].(float64) >= 1, qt.IsTrue)
			qt.Check(t, ln["ListedAgo"], qt.Not(qt.IsNil))
			fl.assertMetric(meter.CancelledRunsOverdue, 1)
			fl.faults.Clear()
			sleep(4 * time.Second)
			fl.assertMetric(meter.CancelledRunsOverdue, 0)
			qt.Check(t, fl.timerCount(meter.TimeToStopCancelled), qt.Equals, 1)
		})
	})
	t.Run("stops of a run of an earlier leader are refused", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			fl := newFleet(t, 1)
			tm := fl.startTerm(0)
			defer func() { tm.end() }()
			tm.submit(longRunningJob("long", "urgent", 1, cores(1000)))
			sleep(2 * time.Second)
			tm.end()
			fl.cancelled = []modeler.JobID{"long"}
			fl.faults.Set(emulator.Switch{Fault: emulator.Unavailable, Part: emulator.PartWorkers, Operation: "Stop"})
			tm = fl.startTerm(testLimits.Lease)
			sleep(4 * time.Second)
			fl.assertLogged(logger.CancelledRunGoesOn, logLine{"Task": "long.0.0.0", "Expected": false, "Source": "TermStart", "LastAnswer": modeler.ErrUnhealthy.Error()})
			fl.faults.Clear()
			sleep(5 * time.Second)
			fl.assertMetric(meter.CancelledRunsOverdue, 0)
			qt.Check(t, fl.timerCount(meter.TimeToStopCancelled), qt.Equals, 1)
			fl.assertNoViolations()
		})
	})
}

// blockedJobStore answers no read of a job until it is released. It fails then.
type blockedJobStore struct {
	director.JobStore
	release chan struct{}
}

func (js *blockedJobStore) Load(ctx context.Context, id modeler.JobID) (*modeler.Job, error) {
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-js.release:
	}
	return js.JobStore.Load(ctx, id)
}

// unknownRun starts a term to which a worker reports the run of a job that the term does not know.
func unknownRun(t *testing.T, jobStore func(*fleet) director.JobStore, test func(fl *fleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		fl := newFleet(t, 2)
		tm := fl.startTerm(0)
		defer func() { tm.end() }()
		tm.submit(longRunningJob("unknown", "urgent", 1, cores(1000)))
		sleep(2 * time.Second)
		tm.end()
		jobs := fl.jobs
		fl.jobs, fl.jobStore = nil, jobStore(fl)
		tm = fl.startTerm(testLimits.Lease)
		fl.mu.Lock()
		fl.jobs = jobs
		fl.mu.Unlock()
		test(fl)
		tm.end()
		fl.assertNoViolations()
	})
}

// Guards against rows of a report that wait for the store without a line, or are logged as those of a worker that
// does not answer, and against renewals that stop without a line.
func TestHeldUpReportIsLogged(t *testing.T) {
	t.Run("store refuses reads", func(t *testing.T) {
		unknownRun(t, func(fl *fleet) director.JobStore {
			fl.faults.Set(emulator.Switch{Fault: emulator.Unavailable, Part: emulator.PartStore, Operation: "Get", Target: "Jobs/"})
			return nil
		}, func(fl *fleet) {
			sleep(5 * time.Second)
			fl.assertLogged(logger.ReportHeldUp, logLine{"Workers": 1.0, "WaitingRuns": 1.0, "WaitingEnds": 0.0})
			fl.assertLogged(logger.JobNotRead, logLine{"Job": "unknown"})
			fl.assertNotLogged(logger.RenewalsLate, nil)
			fl.assertNotLogged(logger.WorkerUnreachable, nil)
			fl.assertMetric(meter.ReportsHeldUp, 1)
			fl.faults.Clear()
			sleep(2 * time.Second)
			fl.assertMetric(meter.ReportsHeldUp, 0)
			qt.Check(t, fl.timerCount(meter.TimeReportsHeld), qt.Equals, 1)
		})
	})
	t.Run("store does not answer", func(t *testing.T) {
		var release chan struct{}
		unknownRun(t, func(fl *fleet) director.JobStore {
			release = make(chan struct{})
			return &blockedJobStore{keeper.NewJobStore(fl.store), release}
		}, func(fl *fleet) {
			sleep(5 * time.Second)
			fl.assertLogged(logger.ReportHeldUp, logLine{"Workers": 1.0})
			fl.assertNotLogged(logger.RenewalsLate, nil)
			close(release)
			sleep(3 * time.Second)
			fl.assertMetric(meter.ReportsHeldUp, 0)
			qt.Check(t, fl.timerCount(meter.TimeReportsHeld), qt.Equals, 1)
		})
	})
	t.Run("leases not recorded", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			fl := newFleet(t, 3)
			tm := fl.startTerm(0)
			defer func() { tm.end() }()
			sleep(time.Second)
			fl.faults.Set(emulator.Switch{Fault: emulator.Unavailable, Part: emulator.PartStore, Operation: "Put"})
			info := fl.workers.Add(workerInfo(9))
			tm.UpdateWorker(info)
			sleep(5 * time.Second)
			fl.assertLogged(logger.RenewalsLate, logLine{"Phase": "RecordingLease", "Workers": 1.0, "Worker": string(info.ID)})
		})
	})
	t.Run("idle and busy workers that answer", func(t *testing.T) {
		run(t, 4, func(fl *fleet, tm *term) {
			tm.submit(longRunningJob("long", "urgent", 2, cores(1000)))
			sleep(20 * time.Second)
			fl.assertNotLogged(logger.RenewalsLate, nil)
			fl.assertNotLogged(logger.ReportHeldUp, nil)
		})
	})
}

// Guards against a time from free capacity to a start that is missing, or counts tasks that came to free capacity.
func TestTimeFromFreeCapacity(t *testing.T) {
	run(t, 1, func(fl *fleet, tm *term) {
		sleep(2 * time.Second)
		tm.submit(longRunningJob("early", "batch", 1, cores(1000)))
		sleep(time.Second)
		tm.submitMinute("short", cores(8000))
		sleep(time.Second)
		tm.submit(longRunningJob("long", "batch", 1, cores(7500)))
		sleep(5 * time.Second)
		qt.Check(t, fl.timerCount(meter.TimeFromFree), qt.Equals, 0)
		sleep(time.Minute)
		fl.assertRuns("long", 1)
		qt.Check(t, fl.timerCount(meter.TimeFromFree), qt.Equals, 1)
	})
}

// Guards against a worker that is held for a task, round after round, without a line that names them.
func TestLongReservationIsLogged(t *testing.T) {
	run(t, 1, func(fl *fleet, tm *term) {
		tm.submitMinute("base", cores(9000))
		sleep(time.Second)
		tm.submit(simpleJob("large", "urgent", 1, cores(12000)))
		sleep(2 * time.Second)
		fl.assertNotLogged(logger.WorkerHeldLong, nil)
		sleep(2 * time.Second)
		fl.assertLogged(logger.WorkerHeldLong, logLine{"Task": "large.0.0.0", "Worker": "worker-00", "FreeCores": 7000.0, "EndingCores": 9000.0})
		fl.assertMetric(meter.WorkersHeld, 1)
		qt.Check(t, fl.registry.Value(meter.LongestReservation) >= 2000, qt.IsTrue)
		tm.CancelJob("large")
		sleep(3 * time.Second)
		fl.assertMetric(meter.WorkersHeld, 0)
		fl.assertMetric(meter.LongestReservation, 0)
	})
}
