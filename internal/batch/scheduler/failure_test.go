package scheduler

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/currantrouter/currantrouter/internal/fleet/modeler"
	"github.com/currantrouter/currantrouter/internal/provider/emulator"
	"github.com/currantrouter/currantrouter/internal/provider/storer"
	"github.com/currantrouter/currantrouter/internal/provider/supervisor"
	"github.com/currantrouter/currantrouter/internal/telemetry/meter"
)

// taskStatus returns the status of the first task of a job.
func (cl *testCluster) taskStatus(name string) TaskStatus {
	var ts TaskStatus
	cl.retry(func(ctx context.Context, sc *Scheduler) error {
		ex, err := sc.Explain(ctx, name, 0)
		ts = ex.TaskStatus
		return err
	})
	return ts
}

func (cl *testCluster) assertState(name string, want State) {
	ts := cl.taskStatus(name)
	qt.Check(cl.t, ts.State, qt.Equals, want, qt.Commentf("%+v", ts))
}

func notRepeatable(jb *Job)           { jb.Repeatable = false }
func withTasks(n int) func(*Job)      { return func(jb *Job) { jb.Tasks = n } }
func withTeam(name string) func(*Job) { return func(jb *Job) { jb.Team = name } }
func withCores(n int64) func(*Job)    { return func(jb *Job) { jb.Declared.Millicores = n * 1000 } }
func withKind(name string) func(*Job) { return func(jb *Job) { jb.Kind = name } }
func (cl *testCluster) setJournalDown(on bool) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.journalDown = on
}

var failureTests = map[string]func(*testCluster){
	"dead worker": func(cl *testCluster) {
		cl.submit(testJob("a"), testJob("b", notRepeatable))
		time.Sleep(5 * time.Second)
		killed := time.Now()
		for _, wk := range cl.workerList {
			cl.workers.Kill(wk.Name)
		}
		cl.workers.Add(cl.workerList[0])
		cl.retry(func(ctx context.Context, sc *Scheduler) error { return sc.SetWorkers(ctx, cl.workerList) })
		time.Sleep(2 * time.Minute)
		cl.assertState("a", Done)
		cl.assertState("b", Unknown)
		qt.Check(cl.t, time.Since(killed) > testLease, qt.IsTrue)
		cl.retry(func(ctx context.Context, sc *Scheduler) error { return sc.Resolve(ctx, "b", 0, true) })
		time.Sleep(time.Minute)
		cl.assertState("b", Done)
	},
	"unreachable worker": func(cl *testCluster) {
		cl.submit(testJob("long", withTasks(16)))
		time.Sleep(10 * time.Second)
		cl.faults.Set(
			emulator.Switch{Fault: emulator.Unavailable, Part: emulator.PartWorkers, Target: "w00"},
			emulator.Switch{Fault: emulator.Unavailable, Part: emulator.PartWorkers, Target: "w01"})
		time.Sleep(testLease - 2*time.Second)
		qt.Check(cl.t, cl.states(), qt.DeepEquals, map[State]int{Running: 16})
		time.Sleep(2 * time.Minute)
		qt.Check(cl.t, cl.states(), qt.DeepEquals, map[State]int{Running: 16})
	},
	"store unavailable for an hour": func(cl *testCluster) {
		cl.submit(testJob("long"))
		time.Sleep(5 * time.Second)
		cl.setJournalDown(true)
		time.Sleep(time.Minute)
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		_, err := cl.currentLeader().Submit(ctx, []Job{testJob("refused")})
		qt.Check(cl.t, err, qt.ErrorIs, storer.ErrUnavailable)
		time.Sleep(time.Hour)
		cl.assertState("long", Running)
		cl.setJournalDown(false)
		time.Sleep(10 * time.Second)
		cl.submit(testJob("a"))
		time.Sleep(time.Minute)
		cl.assertState("a", Done)
		qt.Check(cl.t, cl.taskStatus("long").Attempt, qt.Equals, 1)
	},
	"store unavailable for longer than the leader autonomy": func(cl *testCluster) {
		cl.submit(testJob("long"), testJob("long-once", notRepeatable))
		time.Sleep(5 * time.Second)
		cl.setJournalDown(true)
		time.Sleep(3 * time.Hour)
		cl.setJournalDown(false)
		time.Sleep(time.Minute)
		cl.assertState("long-once", Unknown)
		qt.Check(cl.t, cl.taskStatus("long").Attempt, qt.Equals, 2)
	},
	"faulty worker and faulty job": func(cl *testCluster) {
		cl.faults.Set(emulator.Switch{Fault: emulator.FailEverything, Part: emulator.PartWorkers, Target: "w00"})
		for i := range 12 {
			cl.submit(testJob(fmt.Sprintf("a%d", i), withTasks(3), withKind("a")))
		}
		cl.submit(testJob("broken", withTasks(2)), testJob("huge", withCores(64)))
		time.Sleep(5 * time.Minute)
		cl.assertState("broken", CannotRun)
		cl.assertState("huge", CannotRun)
		qt.Check(cl.t, cl.states()[Done], qt.Equals, 36)
		qt.Check(cl.t, cl.currentLeader().mt.Value(meter.WorkersInQuarantine), qt.Equals, int64(1))
		cl.faults.Clear()
		for i := range 30 {
			cl.submit(testJob(fmt.Sprintf("c%d", i), withTasks(4), withKind("c")))
			time.Sleep(time.Minute)
		}
		qt.Check(cl.t, cl.currentLeader().mt.Value(meter.WorkersInQuarantine), qt.Equals, int64(0))
	},
	"quota, urgency and age": func(cl *testCluster) {
		qt.Assert(cl.t, cl.currentLeader().Configure(context.Background(), []modeler.Team{{Name: "small", Quota: 0.25}}, 0), qt.IsNil)
		cl.submit(testJob("long-small", withTeam("small"), withTasks(30)))
		time.Sleep(5 * time.Second)
		qt.Check(cl.t, cl.states()[Running], qt.Equals, 8)
		cl.submit(testJob("b", withCores(8), withTasks(2)), testJob("c", withCores(8)))
		time.Sleep(time.Second)
		cl.submit(testJob("urgent", withCores(4), func(jb *Job) { jb.Urgent = true }))
		time.Sleep(8600 * time.Millisecond)
		cl.assertState("urgent", Running)
	},
	"resubmitted sheets": func(cl *testCluster) {
		later := func(jb *Job) { jb.NotBefore = time.Now().Add(time.Minute) }
		cl.submit(testJob("begun"), testJob("later", later), testJob("changed", later))
		time.Sleep(5 * time.Second)
		cl.submit(testJob("begun", withTasks(7)), testJob("changed", withTasks(2)))
		cl.retry(func(ctx context.Context, sc *Scheduler) error {
			_, err := sc.Drop(ctx, []string{"begun", "later"})
			return err
		})
		time.Sleep(2 * time.Minute)
		cl.assertState("later", Dropped)
		qt.Check(cl.t, cl.states(), qt.DeepEquals, map[State]int{Done: 3, Dropped: 1})
	},
	"snapshot": func(cl *testCluster) {
		cl.submit(testJob("long", withTasks(5)), testJob("a", withTasks(40)))
		time.Sleep(10 * time.Second)
		cl.retry(cl.snapshot)
		cl.submit(testJob("b"))
		time.Sleep(5 * time.Second)
		cl.currentProcess().kill()
		time.Sleep(2 * time.Minute)
		qt.Check(cl.t, cl.states(), qt.DeepEquals, map[State]int{Running: 5, Done: 41})
		qt.Check(cl.t, cl.taskStatus("long").Attempt, qt.Equals, 1)
	},
	"bulk submission and cancellation": func(cl *testCluster) {
		jobs := make([]Job, 20_000)
		for i := range jobs {
			jobs[i] = testJob(fmt.Sprintf("j%d", i), withKind("k"), withCores(8))
		}
		cl.submit(jobs...)
		before := cl.currentLeader().mt.Value(meter.BatchAppends)
		cl.retry(func(ctx context.Context, sc *Scheduler) error {
			_, err := sc.Cancel(ctx, Selector{Team: "team"})
			return err
		})
		qt.Check(cl.t, cl.currentLeader().mt.Value(meter.BatchAppends)-before < 10, qt.IsTrue)
		time.Sleep(time.Minute)
		ctx := context.Background()
		list, err := cl.currentLeader().Jobs(ctx, Query{After: Position{Job: 19_000}})
		qt.Check(cl.t, err, qt.IsNil)
		qt.Check(cl.t, list, qt.HasLen, 1000)
		qt.Check(cl.t, list[0].States, qt.DeepEquals, map[State]int{Cancelled: 1})
	},
}

// Guards against tasks that run twice, get lost or never start because of longer outages and
// faults: dead, unreachable and faulty workers, store outages, faulty jobs, resubmitted sheets,
// snapshots and bulk changes. Section 5 of the design page describes these failures; faults at
// single steps are in TestFaultAtEveryStep.
func TestFailures(t *testing.T) {
	runTime := func(cmd supervisor.StartCommand) time.Duration {
		if strings.HasPrefix(cmd.Attempt.Job, "long") {
			return 3 * time.Hour
		}
		return 20 * time.Second
	}
	outcome := func(_ modeler.WorkerName, cmd supervisor.StartCommand) string {
		if cmd.Kind == "broken" {
			return "bad input"
		}
		return ""
	}
	for name, run := range failureTests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cl := newTestCluster(t, 4, emulator.Behaviour{RunTime: runTime, Outcome: outcome})
				cl.options.LeaderAutonomy = 2 * time.Hour
				cl.startLeader()
				time.Sleep(3 * time.Second)
				run(cl)
				cl.close()
			})
		})
	}
}

// snapshot stores a snapshot. Like the journal, it ignores one from a deposed leader.
func (cl *testCluster) snapshot(ctx context.Context, sc *Scheduler) error {
	parts, upTo, err := sc.ExportState(ctx)
	if err != nil {
		return err
	}
	cl.journal.mu.Lock()
	defer cl.journal.mu.Unlock()
	if cl.journal.epoch == sc.opts.Epoch {
		cl.journal.parts, cl.journal.coveredRecords = parts, int(upTo)
	}
	return nil
}

// Guards against start records that exceed the write budget: 255 starts/s in one data centre must
// stay near 20 KB/s.
func TestStartRecordSize(t *testing.T) {
	sm := &StartMessage{
		Job: 200_000, Task: 300, Attempt: 2, Worker: "thies-centre-worker-0123", Epoch: 4000,
		StartBefore: 1_800_000_000_000,
		Reservation: resourcesToMessage(supervisor.Resources{Millicores: 64_000, MemoryBytes: 250 * gibibyte, Accelerators: 1}),
	}
	size := len(encode(&RecordMessage{Record: &RecordMessage_Start{Start: sm}}))
	qt.Check(t, size <= 80, qt.IsTrue, qt.Commentf("%d bytes", size))
}
