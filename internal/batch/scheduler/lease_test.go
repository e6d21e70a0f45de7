package scheduler

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"github.com/currantrouter/currantrouter/internal/fleet/modeler"
	"github.com/currantrouter/currantrouter/internal/provider/emulator"
	"github.com/currantrouter/currantrouter/internal/provider/storer"
	"github.com/currantrouter/currantrouter/internal/provider/supervisor"
	"github.com/currantrouter/currantrouter/internal/telemetry/meter"
)

var (
	termSeeds     = flag.Int("term-seeds", 20, "number of seeds of TestRandomTerms")
	firstTermSeed = flag.Int("first-term-seed", 0, "first seed of TestRandomTerms")
)

// network says which leaders reach which workers and the journal.
type network struct {
	mu sync.Mutex
	// cut has the workers that leaders do not reach, except the isolated leader that holds one.
	cut map[modeler.WorkerName]bool
	// last is the leader of the last term.
	last *termLeader
	// oldVersion makes the next leader behave as a version without records of leases.
	oldVersion bool
}

// termLeader is the process of a leader that may lose its connection to the journal and to workers.
type termLeader struct {
	*leaderProcess
	network *network
	// isolated is set while the leader reaches neither the journal nor other workers than those in holds.
	isolated, oldVersion bool
	holds                map[modeler.WorkerName]bool
}

// newTermCluster returns a cluster whose leaders know whether the last one has stopped.
func newTermCluster(t testing.TB, workers int) (*testCluster, *network) {
	nw := &network{cut: make(map[modeler.WorkerName]bool)}
	cl := newTestCluster(t, workers, emulator.Behaviour{RunTime: func(supervisor.StartCommand) time.Duration { return 24 * time.Hour }})
	cl.configure = nw.connect
	return cl, nw
}

// startTask starts a leader and the task of job a.
func (cl *testCluster) startTask() {
	cl.startLeader()
	time.Sleep(3 * time.Second)
	cl.submit(testJob("a"))
	time.Sleep(5 * time.Second)
}

func (nw *network) connect(sc *Scheduler) {
	nw.mu.Lock()
	defer nw.mu.Unlock()
	before := nw.last
	tl := &termLeader{leaderProcess: sc.opts.Journal.(*leaderProcess), network: nw, oldVersion: nw.oldVersion}
	nw.last = tl
	sc.opts.Journal, sc.opts.Workers = tl, tl
	sc.opts.PredecessorStopped = func() bool { return before == nil || before.stopped() }
	if tl.oldVersion {
		// Such a version does not allow for leaders before the last one, see TestEarlierLeaderGoesOnRenewing. It waits
		// for all of them here, so that a task which runs twice is the fault of the present version.
		sc.opts.PredecessorStopped = func() bool { return false }
		sc.ignoreLeaseRecords()
	}
}

// ignoreLeaseRecords makes a scheduler behave as a version without records of leases.
func (sc *Scheduler) ignoreLeaseRecords() {
	clear(sc.state.leaseBounds)
	sc.state.term = nil
	sc.leases.termProposed, sc.leases.predecessorStopped, sc.leases.earlierUntil = true, false, time.Time{}
	clear(sc.leases.bounds)
	sc.leases.predecessorUntil = sc.predecessorLeasesOver(sc.epochBegan.Add(sc.opts.LeaderAutonomy + modeler.DriftAllowance(sc.opts.LeaderAutonomy)))
	for _, aas := range sc.unlisted {
		for _, aa := range aas {
			aa.inheritedBound = time.Time{}
		}
	}
}

func (tl *termLeader) stopped() bool {
	tl.leaderProcess.mu.Lock()
	defer tl.leaderProcess.mu.Unlock()
	return tl.dead
}

// isolate cuts a leader off from the journal and from all workers but those that it holds, which others do not reach.
func (nw *network) isolate(tl *termLeader, holds ...modeler.WorkerName) {
	nw.mu.Lock()
	defer nw.mu.Unlock()
	tl.isolated, tl.holds = true, make(map[modeler.WorkerName]bool)
	for _, name := range holds {
		tl.holds[name], nw.cut[name] = true, true
	}
}

func (nw *network) setCut(name modeler.WorkerName, on bool) {
	nw.mu.Lock()
	defer nw.mu.Unlock()
	nw.cut[name] = on
}

func (nw *network) setOldVersion(on bool) {
	nw.mu.Lock()
	defer nw.mu.Unlock()
	nw.oldVersion = on
}

func (nw *network) leader() *termLeader {
	nw.mu.Lock()
	defer nw.mu.Unlock()
	return nw.last
}

func (tl *termLeader) reaches(wk supervisor.Worker) error {
	tl.network.mu.Lock()
	defer tl.network.mu.Unlock()
	if tl.isolated && !tl.holds[wk.Name] || !tl.isolated && tl.network.cut[wk.Name] {
		return supervisor.ErrResultUnknown
	}
	return nil
}

func (tl *termLeader) Append(ctx context.Context, records ...[]byte) error {
	tl.network.mu.Lock()
	isolated := tl.isolated
	tl.network.mu.Unlock()
	if isolated {
		return storer.ErrResultUnknown
	}
	if tl.oldVersion {
		records = withoutLeaseRecords(records)
	}
	return tl.leaderProcess.Append(ctx, records...)
}

func withoutLeaseRecords(records [][]byte) [][]byte {
	var kept [][]byte
	for _, data := range records {
		var rm RecordMessage
		if err := proto.Unmarshal(data, &rm); err != nil {
			panic(err)
		}
		if rm.GetTerm() == nil && rm.GetLeaseBound() == nil && rm.GetLeaseRelease() == nil {
			kept = append(kept, data)
		}
	}
	return kept
}

func (tl *termLeader) Start(ctx context.Context, wk supervisor.Worker, cmd supervisor.StartCommand) error {
	if err := tl.reaches(wk); err != nil {
		return err
	}
	return tl.leaderProcess.Start(ctx, wk, cmd)
}

func (tl *termLeader) Renew(ctx context.Context, wk supervisor.Worker, ep modeler.Epoch, term time.Duration, ats []supervisor.Attempt) ([]supervisor.Attempt, error) {
	if err := tl.reaches(wk); err != nil {
		return nil, err
	}
	return tl.leaderProcess.Renew(ctx, wk, ep, term, ats)
}

func (tl *termLeader) Report(ctx context.Context, wk supervisor.Worker) (supervisor.WorkerReport, error) {
	if err := tl.reaches(wk); err != nil {
		return supervisor.WorkerReport{}, err
	}
	return tl.leaderProcess.Report(ctx, wk)
}

func (tl *termLeader) Stop(ctx context.Context, wk supervisor.Worker, ep modeler.Epoch, at supervisor.Attempt) error {
	if err := tl.reaches(wk); err != nil {
		return err
	}
	return tl.leaderProcess.Stop(ctx, wk, ep, at)
}

// recordedCounts counts the bounds of leases that a leader keeps to, the running tasks and the recorded quarantines.
type recordedCounts struct{ bounds, running, quarantined int }

func (cl *testCluster) recorded() recordedCounts {
	var rc recordedCounts
	cl.retry(func(ctx context.Context, sc *Scheduler) error {
		return sc.runInLoop(ctx, func(done func(error)) {
			rc = recordedCounts{len(sc.leases.bounds), sc.runningBatch, len(sc.state.quarantined)}
			done(nil)
		})
	})
	return rc
}

// stop ends a term in an orderly way.
func (tl *termLeader) stop() {
	tl.cancel()
	time.Sleep(10 * time.Millisecond)
	tl.kill()
}

// nextTerm waits until the next leader has started.
func nextTerm() { time.Sleep(7 * time.Second) }

// Guards against a task that runs twice because a leader takes the stop of the last leader for the end of the leases
// that a still earlier leader, which reaches only the task's worker, goes on renewing.
func TestEarlierLeaderGoesOnRenewing(t *testing.T) {
	for _, oldVersion := range []bool{false, true} {
		t.Run(fmt.Sprint("last leader of an old version ", oldVersion), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cl, nw := newTermCluster(t, 4)
				cl.startTask()
				first := nw.leader()
				nw.isolate(first, cl.taskStatus("a").Worker)
				nw.setOldVersion(oldVersion)
				cl.startLeaderLater()
				nextTerm()
				time.Sleep(3 * time.Second)
				nw.setOldVersion(false)
				cl.currentProcess().kill()
				nextTerm()
				time.Sleep(2 * testLease)
				qt.Check(t, cl.taskStatus("a").Attempt, qt.Equals, 1)
				time.Sleep(3 * time.Minute)
				qt.Check(t, cl.taskStatus("a").Attempt, qt.Equals, 2)
				first.kill()
				cl.close()
			})
		})
	}
}

// Guards against a task that runs twice because a leader relies on the recorded end of a lease that a leader of a
// version without such records has renewed since.
func TestOldVersionBetweenTerms(t *testing.T) {
	for _, further := range []int{0, 1} {
		t.Run(fmt.Sprint(further, " further terms"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cl, nw := newTermCluster(t, 4)
				cl.startTask()
				name := cl.taskStatus("a").Worker
				nw.setCut(name, true)
				time.Sleep(testLease - 10*time.Second)
				qt.Assert(t, cl.recorded().bounds, qt.Equals, 1)
				nw.setOldVersion(true)
				cl.currentProcess().kill()
				nw.setCut(name, false)
				nextTerm()
				time.Sleep(testLease)
				nw.setOldVersion(false)
				nw.setCut(name, true)
				for range 1 + further {
					cl.currentProcess().kill()
					nextTerm()
				}
				time.Sleep(testLease)
				qt.Check(t, cl.taskStatus("a").Attempt, qt.Equals, 1)
				time.Sleep(cl.options.LeaderAutonomy + testLease)
				qt.Check(t, cl.taskStatus("a").Attempt, qt.Equals, 2)
				cl.close()
			})
		})
	}
}

// Guards against a task whose worker is lost and that waits for a lease again in each of a series of terms.
func TestLostWorkerDelaysPlanTaskOnce(t *testing.T) {
	const takeover = 6 * time.Second
	for _, tc := range []struct {
		name     string
		stop     func(*testCluster, *termLeader)
		termTime time.Duration
	}{
		{"killed leaders", func(_ *testCluster, tl *termLeader) { tl.kill() }, 10 * time.Second},
		{"stopped leaders", func(_ *testCluster, tl *termLeader) { tl.stop() }, 4 * time.Second},
		{"killed leaders with snapshots", func(cl *testCluster, tl *termLeader) {
			cl.retry(cl.snapshot)
			tl.kill()
		}, 10 * time.Second},
		{"leaders without the journal", func(cl *testCluster, tl *termLeader) {
			tl.network.isolate(tl)
			cl.startLeaderLater()
		}, 10 * time.Second},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cl, nw := newTermCluster(t, 4)
				cl.startTask()
				cl.workers.Kill(cl.taskStatus("a").Worker)
				lost, leaders := time.Now(), []*termLeader{nw.leader()}
				// The first term has time to record the end of the lease, unless it ends in an orderly way.
				time.Sleep(10 * time.Second)
				// A term counts from its first record to its last one. A second is lost before each of them.
				terms := (testLease + 5*time.Second) / (tc.termTime - 2*time.Second)
				for range terms {
					tc.stop(cl, nw.leader())
					time.Sleep(takeover + tc.termTime)
					leaders = append(leaders, nw.leader())
				}
				qt.Check(t, cl.taskStatus("a").Attempt, qt.Equals, 2, qt.Commentf("%v after the loss, epoch %d", time.Since(lost), nw.leader().journal.epoch))
				for _, tl := range leaders[:len(leaders)-1] {
					tl.kill()
				}
				cl.close()
			})
		})
	}
}

// Guards against tasks that run twice or no more because of what several leaders record and know of leases: leaders
// that are killed, stopped, cut off with some workers or of an older version, and workers that are cut off, lost or
// restarted.
func TestRandomTerms(t *testing.T) {
	for seed := *firstTermSeed; seed < *firstTermSeed+*termSeeds; seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { playTerms(t, rand.New(rand.NewPCG(uint64(seed), 1))) })
		})
	}
}

// Guards against a task that runs twice because a leader counts the lease of the last leader with its own, shorter
// LeaseTerm, after an operator has changed it.
func TestShorterLeaseTermAfterTakeover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl, nw := newTermCluster(t, 4)
		cl.options.LeaseTerm = 4 * testLease
		cl.startTask()
		cl.options.LeaseTerm = testLease
		nw.setCut(cl.taskStatus("a").Worker, true)
		cl.currentProcess().kill()
		nextTerm()
		time.Sleep(2 * testLease)
		qt.Check(t, cl.taskStatus("a").Attempt, qt.Equals, 1)
		time.Sleep(3 * testLease)
		qt.Check(t, cl.taskStatus("a").Attempt, qt.Equals, 2)
		time.Sleep(2 * testLease)
		cl.close()
	})
}

// Guards against tasks that lose their leases on workers that a leader reaches: it lost workers and journal together,
// and the workers returned alone. The result of a record of the ends of their leases would be unknown.
func TestJournalLostWithWorkers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl, nw := newTermCluster(t, 4)
		cl.options.LeaderAutonomy = 2 * time.Hour
		cl.startLeader()
		time.Sleep(3 * time.Second)
		cl.submit(testJob("a", withTasks(8)))
		time.Sleep(5 * time.Second)
		nw.isolate(nw.leader())
		time.Sleep(15 * time.Second)
		nw.isolate(nw.leader(), "w00", "w01", "w02", "w03")
		time.Sleep(time.Hour)
		qt.Check(t, cl.recorded(), qt.Equals, recordedCounts{running: 8})
		nw.leader().kill()
		cl.close()
	})
}

const numTermJobs = 6

func playTerms(t *testing.T, rd *rand.Rand) {
	cl, nw := newTermCluster(t, 4)
	cl.startLeader()
	time.Sleep(3 * time.Second)
	for no := range numTermJobs {
		cl.submit(testJob(fmt.Sprint("j", no), withCores(4)))
	}
	time.Sleep(5 * time.Second)
	var isolated []*termLeader
	for range 5 + rd.IntN(25) {
		wk := cl.workerList[rd.IntN(len(cl.workerList))]
		switch rd.IntN(10) {
		case 0, 1:
			nw.leader().kill()
			nextTerm()
		case 2:
			nw.leader().stop()
			nextTerm()
		case 3:
			isolated = append(isolated, nw.leader())
			nw.isolate(nw.leader(), wk.Name)
			cl.startLeaderLater()
			nextTerm()
		case 4:
			nw.setOldVersion(rd.IntN(3) == 0)
		case 5, 6:
			nw.setCut(wk.Name, true)
		case 7:
			nw.setCut(wk.Name, false)
		case 8:
			cl.workers.Kill(wk.Name)
			time.Sleep(time.Duration(rd.IntN(20)) * time.Second)
			cl.workers.Add(wk)
		case 9:
			cl.retry(cl.snapshot)
		}
		time.Sleep(time.Duration(rd.IntN(25_000)) * time.Millisecond)
	}
	for _, tl := range isolated {
		tl.kill()
	}
	for _, wk := range cl.workerList {
		nw.setCut(wk.Name, false)
	}
	time.Sleep(cl.options.LeaderAutonomy + 3*testLease)
	qt.Check(t, cl.states()[Running], qt.Equals, numTermJobs)
	cl.close()
}

// newFaultyWorkerCluster returns a cluster that has quarantined the worker w00, on which every attempt fails.
func newFaultyWorkerCluster(t *testing.T) *testCluster {
	runTime := func(supervisor.StartCommand) time.Duration { return 20 * time.Second }
	cl := newTestCluster(t, 4, emulator.Behaviour{RunTime: runTime})
	cl.faults.Set(emulator.Switch{Fault: emulator.FailEverything, Part: emulator.PartWorkers, Target: "w00"})
	cl.startLeader()
	time.Sleep(3 * time.Second)
	cl.submitOnce(0)
	qt.Assert(t, cl.workersInQuarantine(), qt.Equals, int64(1))
	return cl
}

// submitOnce submits jobs that are not repeatable, which no probe of a quarantined worker uses.
func (cl *testCluster) submitOnce(round int) {
	for no := range 12 {
		cl.submit(testJob(fmt.Sprintf("j%d-%d", round, no), withTasks(3), withKind("j"), notRepeatable))
	}
	time.Sleep(3 * time.Minute)
}

func (cl *testCluster) workersInQuarantine() int64 {
	return cl.currentLeader().mt.Value(meter.WorkersInQuarantine)
}

// Guards against a faulty worker that gets tasks anew in each term, and against one that stays in quarantine for good.
func TestPlanQuarantineOutlastsTakeover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newFaultyWorkerCluster(t)
		failed := cl.states()[Failed]
		for term := 1; term <= 5; term++ {
			if term == 3 {
				cl.retry(cl.snapshot)
			}
			cl.currentProcess().kill()
			nextTerm()
			cl.submitOnce(term)
		}
		qt.Check(t, cl.states()[Failed], qt.Equals, failed)
		qt.Check(t, cl.workersInQuarantine(), qt.Equals, int64(1))
		cl.faults.Clear()
		cl.submit(testJob("probe", withTasks(4), withKind("j")))
		time.Sleep(2 * time.Minute)
		cl.currentProcess().kill()
		nextTerm()
		qt.Check(t, cl.workersInQuarantine(), qt.Equals, int64(0))
		cl.close()
	})
}

// Guards against records of quarantined workers that are kept for good: a worker may leave the list between two terms.
func TestQuarantineOfRemovedWorker(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newFaultyWorkerCluster(t)
		cl.workerList = cl.workerList[1:]
		for range 2 {
			cl.currentProcess().kill()
			nextTerm()
		}
		qt.Check(t, cl.workersInQuarantine(), qt.Equals, int64(0))
		qt.Check(t, cl.recorded().quarantined, qt.Equals, 0)
		cl.close()
	})
}
