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

// taskOf returns the status of the first task of a job.
func (wd *world) taskOf(name string) TaskStatus {
	var ts TaskStatus
	wd.retry(func(ctx context.Context, sc *Scheduler) error {
		ex, err := sc.Explain(ctx, name, 0)
		ts = ex.TaskStatus
		return err
	})
	return ts
}

func (wd *world) assertState(name string, want State) {
	ts := wd.taskOf(name)
	qt.Check(wd.t, ts.State, qt.Equals, want, qt.Commentf("%+v", ts))
}

func once(jb *Job)                  { jb.Repeatable = false }
func tasks(n int) func(*Job)        { return func(jb *Job) { jb.Tasks = n } }
func ofTeam(name string) func(*Job) { return func(jb *Job) { jb.Team = name } }
func cores(n int64) func(*Job)      { return func(jb *Job) { jb.Declared.Millicores = n * 1000 } }
func kind(name string) func(*Job)   { return func(jb *Job) { jb.Kind = name } }
func (wd *world) outage(on bool) {
	wd.mu.Lock()
	defer wd.mu.Unlock()
	wd.down = on
}

var failures = map[string]func(*world){
	"dead worker": func(wd *world) {
		wd.submit(testJob("a"), testJob("b", once))
		time.Sleep(5 * time.Second)
		killed := time.Now()
		for _, wk := range wd.list {
			wd.workers.Kill(wk.Name)
		}
		wd.workers.Add(wd.list[0])
		wd.retry(func(ctx context.Context, sc *Scheduler) error { return sc.SetWorkers(ctx, wd.list) })
		time.Sleep(2 * time.Minute)
		wd.assertState("a", Done)
		wd.assertState("b", Unknown)
		qt.Check(wd.t, time.Since(killed) > testLease, qt.IsTrue)
		wd.retry(func(ctx context.Context, sc *Scheduler) error { return sc.Resolve(ctx, "b", 0, true) })
		time.Sleep(time.Minute)
		wd.assertState("b", Done)
	},
	"worker cut off": func(wd *world) {
		wd.submit(testJob("long", tasks(16)))
		time.Sleep(10 * time.Second)
		wd.faults.Set(
			emulator.Switch{Fault: emulator.Unavailable, Part: emulator.PartWorkers, Target: "w00"},
			emulator.Switch{Fault: emulator.Unavailable, Part: emulator.PartWorkers, Target: "w01"})
		time.Sleep(testLease - 2*time.Second)
		qt.Check(wd.t, wd.states(), qt.DeepEquals, map[State]int{Running: 16})
		time.Sleep(2 * time.Minute)
		qt.Check(wd.t, wd.states(), qt.DeepEquals, map[State]int{Running: 16})
	},
	"store away for an hour": func(wd *world) {
		wd.submit(testJob("long"))
		time.Sleep(5 * time.Second)
		wd.outage(true)
		time.Sleep(time.Minute)
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		_, err := wd.current().Submit(ctx, []Job{testJob("refused")})
		qt.Check(wd.t, err, qt.ErrorIs, storer.ErrUnavailable)
		time.Sleep(time.Hour)
		wd.assertState("long", Running)
		wd.outage(false)
		time.Sleep(10 * time.Second)
		wd.submit(testJob("a"))
		time.Sleep(time.Minute)
		wd.assertState("a", Done)
		qt.Check(wd.t, wd.taskOf("long").Attempt, qt.Equals, 1)
	},
	"store away for longer than the autonomy": func(wd *world) {
		wd.submit(testJob("long"), testJob("long-once", once))
		time.Sleep(5 * time.Second)
		wd.outage(true)
		time.Sleep(3 * time.Hour)
		wd.outage(false)
		time.Sleep(time.Minute)
		wd.assertState("long-once", Unknown)
		qt.Check(wd.t, wd.taskOf("long").Attempt, qt.Equals, 2)
	},
	"faulty worker and faulty job": func(wd *world) {
		wd.faults.Set(emulator.Switch{Fault: emulator.FailEverything, Part: emulator.PartWorkers, Target: "w00"})
		for i := range 12 {
			wd.submit(testJob(fmt.Sprintf("a%d", i), tasks(3), kind("a")))
		}
		wd.submit(testJob("broken", tasks(2)), testJob("huge", cores(64)))
		time.Sleep(5 * time.Minute)
		wd.assertState("broken", CannotRun)
		wd.assertState("huge", CannotRun)
		qt.Check(wd.t, wd.states()[Done], qt.Equals, 36)
		qt.Check(wd.t, wd.current().mt.Value(meter.WorkersInQuarantine), qt.Equals, int64(1))
		wd.faults.Clear()
		for i := range 30 {
			wd.submit(testJob(fmt.Sprintf("c%d", i), tasks(4), kind("c")))
			time.Sleep(time.Minute)
		}
		qt.Check(wd.t, wd.current().mt.Value(meter.WorkersInQuarantine), qt.Equals, int64(0))
	},
	"quota, urgency and age": func(wd *world) {
		qt.Assert(wd.t, wd.current().Configure(context.Background(), []modeler.Team{{Name: "small", Quota: 0.25}}, 0), qt.IsNil)
		wd.submit(testJob("long-small", ofTeam("small"), tasks(30)))
		time.Sleep(5 * time.Second)
		qt.Check(wd.t, wd.states()[Running], qt.Equals, 8)
		wd.submit(testJob("b", cores(8), tasks(2)), testJob("c", cores(8)))
		time.Sleep(time.Second)
		wd.submit(testJob("urgent", cores(4), func(jb *Job) { jb.Urgent = true }))
		time.Sleep(8600 * time.Millisecond)
		wd.assertState("urgent", Running)
	},
	"sheets": func(wd *world) {
		later := func(jb *Job) { jb.NotBefore = time.Now().Add(time.Minute) }
		wd.submit(testJob("begun"), testJob("later", later), testJob("changed", later))
		time.Sleep(5 * time.Second)
		wd.submit(testJob("begun", tasks(7)), testJob("changed", tasks(2)))
		wd.retry(func(ctx context.Context, sc *Scheduler) error {
			_, err := sc.Drop(ctx, []string{"begun", "later"})
			return err
		})
		time.Sleep(2 * time.Minute)
		wd.assertState("later", Dropped)
		qt.Check(wd.t, wd.states(), qt.DeepEquals, map[State]int{Done: 3, Dropped: 1})
	},
	"snapshot": func(wd *world) {
		wd.submit(testJob("long", tasks(5)), testJob("a", tasks(40)))
		time.Sleep(10 * time.Second)
		wd.retry(wd.snapshot)
		wd.submit(testJob("b"))
		time.Sleep(5 * time.Second)
		wd.front().kill()
		time.Sleep(2 * time.Minute)
		qt.Check(wd.t, wd.states(), qt.DeepEquals, map[State]int{Running: 5, Done: 41})
		qt.Check(wd.t, wd.taskOf("long").Attempt, qt.Equals, 1)
	},
	"wave of submissions and cancellations": func(wd *world) {
		jobs := make([]Job, 20_000)
		for i := range jobs {
			jobs[i] = testJob(fmt.Sprintf("j%d", i), kind("k"), cores(8))
		}
		wd.submit(jobs...)
		before := wd.current().mt.Value(meter.BatchAppends)
		wd.retry(func(ctx context.Context, sc *Scheduler) error {
			_, err := sc.Cancel(ctx, Selector{Team: "team"})
			return err
		})
		qt.Check(wd.t, wd.current().mt.Value(meter.BatchAppends)-before < 10, qt.IsTrue)
		time.Sleep(time.Minute)
		ctx := context.Background()
		list, err := wd.current().Jobs(ctx, Query{After: Position{Job: 19_000}})
		qt.Check(wd.t, err, qt.IsNil)
		qt.Check(wd.t, list, qt.HasLen, 1000)
		qt.Check(wd.t, list[0].States, qt.DeepEquals, map[State]int{Cancelled: 1})
	},
}

// Guards against the failures of section 5 of the design page that are not faults at one step.
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
	for name, run := range failures {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				wd := newWorld(t, 4, emulator.Behaviour{RunTime: runTime, Outcome: outcome})
				wd.options.LeaderAutonomy = 2 * time.Hour
				wd.lead()
				time.Sleep(3 * time.Second)
				run(wd)
				wd.close()
			})
		})
	}
}

// snapshot stores a snapshot as the journal does: only for the leader of the newest epoch.
func (wd *world) snapshot(ctx context.Context, sc *Scheduler) error {
	parts, upTo, err := sc.Export(ctx)
	if err != nil {
		return err
	}
	wd.log.mu.Lock()
	defer wd.log.mu.Unlock()
	if wd.log.epoch == sc.opts.Epoch {
		wd.log.parts, wd.log.covered = parts, int(upTo)
	}
	return nil
}

// Guards against a start record that outgrows the budget of writes: 255 starts/s in one data centre
// are to stay near 20 KB/s.
func TestStartRecordSize(t *testing.T) {
	sm := &StartMessage{
		Job: 200_000, Task: 300, Attempt: 2, Worker: "thies-centre-worker-0123", Epoch: 4000,
		StartBefore: 1_800_000_000_000,
		Reservation: resourcesToMessage(supervisor.Resources{Millicores: 64_000, MemoryBytes: 250 * gibibyte, Accelerators: 1}),
	}
	size := len(encode(&RecordMessage{Record: &RecordMessage_Start{Start: sm}}))
	qt.Check(t, size <= 80, qt.IsTrue, qt.Commentf("%d bytes", size))
}
