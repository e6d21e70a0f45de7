package director_test

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"

	"github.com/currantrouter/currantrouter/internal/job/director"
	"github.com/currantrouter/currantrouter/internal/job/modeler"
	"github.com/currantrouter/currantrouter/internal/provider/emulator"
	"github.com/currantrouter/currantrouter/internal/state/journaler"
)

// roundTrip is the time that a request to an oddClient takes.
const roundTrip = time.Millisecond

// oddClient changes the reports of workers.
type oddClient struct {
	director.WorkerClient
	// edit changes a report. If it returns false, the worker does not answer.
	edit     func(id modeler.WorkerID, rep *modeler.Report) bool
	renewals atomic.Int64
	// highestRun is the highest run that was started.
	highestRun atomic.Int64
}

func (oc *oddClient) Renew(ctx context.Context, info *modeler.Worker, req *modeler.RenewRequest) (modeler.Report, error) {
	oc.renewals.Add(1)
	time.Sleep(roundTrip)
	rep, err := oc.WorkerClient.Renew(ctx, info, req)
	if err == nil && !oc.edit(info.ID, &rep) {
		return modeler.Report{}, modeler.ErrNoAnswer
	}
	return rep, err
}

func (oc *oddClient) Start(ctx context.Context, info *modeler.Worker, req *modeler.StartRequest) (time.Duration, error) {
	oc.highestRun.Store(max(oc.highestRun.Load(), int64(req.Run)))
	return oc.WorkerClient.Start(ctx, info, req)
}

// runOdd runs a test on workers whose reports are changed.
func runOdd(t *testing.T, workers int, edit func(id modeler.WorkerID, rep *modeler.Report) bool, test func(fl *fleet, tm *term, oc *oddClient)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		fl := newFleet(t, workers)
		oc := &oddClient{WorkerClient: fl.workers, edit: edit}
		fl.client = oc
		tm := fl.startTerm(0)
		defer func() { tm.end() }()
		test(fl, tm, oc)
		tm.end()
		fl.assertNoViolations()
	})
}

// Guards against an end that is skipped, and its task done twice, because a higher number is listed
// before it.
func TestEndsListedInAnyOrder(t *testing.T) {
	reversed := func(_ modeler.WorkerID, rep *modeler.Report) bool {
		slices.Reverse(rep.Ended)
		return true
	}
	runOdd(t, 1, reversed, func(fl *fleet, tm *term, _ *oddClient) {
		tm.submit(simpleJob("a", "batch", 12, cores(1000)))
		tm.awaitAll(10 * time.Second)
		tm.assertState("a", modeler.Completed)
		for ix := range 12 {
			qt.Check(t, fl.workers.StartCount(modeler.TaskID{Job: "a", Index: ix}), qt.Equals, 1)
		}
	})
}

// Guards against a run number that no leader can have given, after which a task is started with
// numbers that overflow.
func TestImpossibleRun(t *testing.T) {
	impossible := modeler.ActiveRun{Task: modeler.TaskID{Job: "a", Step: 1}, Run: modeler.MaxRun}
	var odd atomic.Bool
	listed := func(_ modeler.WorkerID, rep *modeler.Report) bool {
		if odd.Load() {
			rep.Running = append(rep.Running, impossible)
		}
		return true
	}
	runOdd(t, 1, listed, func(_ *fleet, tm *term, oc *oddClient) {
		odd.Store(true)
		time.AfterFunc(500*time.Millisecond, func() { odd.Store(false) })
		jb := simpleJob("a", "batch", 1, cores(1000))
		jb.Steps = append(jb.Steps, modeler.Step{Count: 1, After: []int{0}}, modeler.Step{Count: 1, After: []int{1}})
		tm.submit(jb)
		tm.awaitAll(20 * time.Second)
		tm.assertState("a", modeler.Completed)
		qt.Check(t, oc.highestRun.Load() < 1<<40, qt.IsTrue, qt.Commentf("run %d", oc.highestRun.Load()))
	})
}

// Guards against a clock that is far ahead in one report, after which the lease of its worker never
// counts as expired.
func TestClockFarAhead(t *testing.T) {
	var reports atomic.Int64
	ahead := func(id modeler.WorkerID, rep *modeler.Report) bool {
		if id == "worker-00" && len(rep.Running) > 0 {
			if reports.Add(1) == 1 {
				rep.Clock += 1000 * time.Hour
			}
		}
		return true
	}
	runOdd(t, 1, ahead, func(fl *fleet, tm *term, _ *oddClient) {
		fl.setBehaviour(modeler.TaskID{Job: "a"}, emulator.TaskBehaviour{RunTime: 10 * time.Second})
		tm.submit(simpleJob("a", "batch", 1, cores(1000)))
		sleep(4500 * time.Millisecond)
		qt.Assert(t, reports.Load() > 1, qt.IsTrue)
		fl.workers.Crash("worker-00")
		fl.infos = append(fl.infos, fl.workers.Add(workerInfo(1)))
		tm.SetWorkers(fl.infos)
		tm.awaitAll(40 * time.Second)
		tm.assertState("a", modeler.Completed)
	})
}

// Guards against a worker whose reports are out of date and that is called again without a pause.
func TestReportsOutOfDate(t *testing.T) {
	var outdated atomic.Bool
	old := func(_ modeler.WorkerID, rep *modeler.Report) bool {
		if outdated.Load() {
			rep.Incarnation = 0
			rep.Ended = []modeler.EndedRun{{Number: 1, Task: modeler.TaskID{Job: "x"}, Run: 1, Outcome: modeler.Done}}
		}
		return true
	}
	runOdd(t, 1, old, func(_ *fleet, tm *term, oc *oddClient) {
		sleep(time.Second)
		// An end that is not acknowledged makes the worker answer at once.
		tm.submit(simpleJob("a", "batch", 1, cores(1000)))
		sleep(500 * time.Millisecond)
		outdated.Store(true)
		sleep(time.Second)
		before := oc.renewals.Load()
		sleep(10 * time.Second)
		qt.Check(t, oc.renewals.Load()-before <= 50, qt.IsTrue, qt.Commentf("%d renewals in 10 s", oc.renewals.Load()-before))
		outdated.Store(false)
		tm.awaitAll(20 * time.Second)
		tm.assertState("a", modeler.Completed)
	})
}

// Guards against ends that do not fit into one append to the journal and are never acknowledged.
func TestLargeEnds(t *testing.T) {
	const tasks = 600
	var held atomic.Bool
	held.Store(true)
	largeEnds := func(_ modeler.WorkerID, rep *modeler.Report) bool {
		if held.Load() && len(rep.Ended) < tasks {
			// The ends are listed as runs until there are enough of them.
			for _, en := range rep.Ended {
				rep.Running = append(rep.Running, modeler.ActiveRun{Task: en.Task, Run: en.Run, Progress: 50})
			}
			rep.Ended = nil
			return true
		}
		held.Store(false)
		for ix := range rep.Ended {
			rep.Ended[ix].Checkpoint = strings.Repeat("c", modeler.MaxCheckpointBytes)
		}
		return true
	}
	runOdd(t, 1, largeEnds, func(_ *fleet, tm *term, _ *oddClient) {
		tm.submit(simpleJob("a", "batch", tasks, modeler.Resources{MilliCores: 10, MemoryMB: 10}))
		tm.awaitAll(60 * time.Second)
		qt.Assert(t, held.Load(), qt.IsFalse)
		tm.assertState("a", modeler.Completed)
	})
}

// Guards against a malformed record of the journal that stops a takeover or the job that it names.
func TestDamagedFacts(t *testing.T) {
	for name, text := range map[string]string{
		"no JSON":           "\xff{",
		"null":              "null",
		"unknown fact":      `{"Later":{"Job":"a"}}`,
		"end with no state": `{"Final":{"Job":"a"}}`,
		"run at the limit":  `{"End":{"Task":"a.0.0.0","Run":9223372036854775807,"Outcome":"Stopped"}}`,
		"highest run":       fmt.Sprintf(`{"End":{"Task":"a.0.0.0","Run":%d,"Outcome":"Stopped"}}`, modeler.MaxRun),
		"lease of nobody":   `{"Granted":{}}`,
		"huge estimates":    `{"Learned":{"Lowest":{"i":-5},"Pairs":[{"Serving":"i","Filling":"j","Harm":1e308,"Variance":-1e308}]}}`,
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fl := newFleet(t, 1)
				oc := &oddClient{WorkerClient: fl.workers, edit: func(modeler.WorkerID, *modeler.Report) bool { return true }}
				fl.client = oc
				jn, _, err := journaler.Open(t.Context(), fl.store, "jobs", "host", "boot", journaler.Options{Logger: logr.Discard()})
				qt.Assert(t, err, qt.IsNil)
				qt.Assert(t, jn.Append(t.Context(), journaler.Record{Kind: journaler.KindTask, Data: []byte(text)}), qt.IsNil)
				jn.Close()
				fl.jobs = []*modeler.Job{simpleJob("a", "batch", 1, cores(1000))}
				tm := fl.startTerm(0)
				defer func() { tm.end() }()
				tm.awaitAll(20 * time.Second)
				tm.assertState("a", modeler.Completed)
				qt.Check(t, oc.highestRun.Load() < 1<<40, qt.IsTrue, qt.Commentf("run %d", oc.highestRun.Load()))
				qt.Check(t, tm.Interference("i", "j") <= 6, qt.IsTrue, qt.Commentf("%v", tm.Interference("i", "j")))
				tm.end()
				fl.assertNoViolations()
			})
		})
	}
}

// ticketPolicy permits every worker that is asked about, and one that is not.
type ticketPolicy struct {
	ttl   time.Duration
	asked int
}

func (tp *ticketPolicy) Permit(_ context.Context, _ modeler.StepID, workers []modeler.WorkerID) ([]modeler.Permit, error) {
	time.Sleep(50 * time.Millisecond)
	tp.asked++
	var list []modeler.Permit
	for _, id := range append([]modeler.WorkerID{"stranger"}, workers...) {
		list = append(list, modeler.Permit{Worker: id, Ticket: "ticket", TTL: tp.ttl})
	}
	return list, nil
}

// Guards against permits without a lifetime, which are requested again and again and never used.
func TestPermitWithoutLifetime(t *testing.T) {
	run(t, 3, func(fl *fleet, tm *term) {
		tm.end()
		po := &ticketPolicy{}
		fl.policy, fl.config.Queues[0].Policy = po, &modeler.Policy{DecisionTime: 50 * time.Millisecond, PermitTTL: 3 * time.Second}
		*tm = *fl.startTerm(0)
		tm.submit(simpleJob("a", "urgent", 3, cores(1000)))
		tm.awaitAll(5 * time.Second)
		tm.assertState("a", modeler.Completed)
		qt.Check(t, po.asked, qt.Equals, 1)
	})
}

// Guards against an entry of a worker that never answers and delays all tasks after each takeover.
func TestTakeoverBesideEntryOfNoWorker(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fl := newFleet(t, 2)
		ghost := fl.workers.Add(workerInfo(9))
		fl.workers.SetUnreachable(ghost.ID, true)
		fl.infos = append(fl.infos, ghost)
		tm := fl.startTerm(0)
		defer func() { tm.end() }()
		sleep(2 * time.Second)
		tm.submit(simpleJob("a", "urgent", 4, cores(1000)))
		tm.end()
		tm = fl.startTerm(testLimits.Lease)
		tm.awaitAll(3 * time.Second)
		tm.assertState("a", modeler.Completed)
		tm.end()
		fl.assertNoViolations()
	})
}

// Guards against two entries with one address, of which the wrong one hides the worker.
func TestTwoEntriesWithOneAddress(t *testing.T) {
	run(t, 1, func(fl *fleet, tm *term) {
		double := workerInfo(0)
		double.ID = "another"
		tm.SetWorkers(append(slices.Clone(fl.infos), double))
		sleep(time.Second)
		tm.submit(simpleJob("a", "urgent", 4, cores(1000)))
		tm.awaitAll(3 * time.Second)
		tm.assertState("a", modeler.Completed)
	})
}

// Guards against a pause after each request whose workers are all denied, before others are asked
// about.
func TestDeniedWorkersCauseNoPause(t *testing.T) {
	const workers = 100
	run(t, workers, func(fl *fleet, tm *term) {
		tm.end()
		po := &policy{permitted: fl.infos[workers-1].ID}
		fl.policy, fl.config.Queues[0].Policy = po, &modeler.Policy{DecisionTime: 50 * time.Millisecond}
		*tm = *fl.startTerm(0)
		sleep(time.Second)
		tm.submit(simpleJob("a", "urgent", 1, cores(1000)))
		// Four requests of 50 ms each ask about all workers.
		sleep(500 * time.Millisecond)
		qt.Check(t, po.asked, qt.Equals, 4)
		qt.Check(t, fl.workers.StartCount(modeler.TaskID{Job: "a"}), qt.Equals, 1)
	})
}
