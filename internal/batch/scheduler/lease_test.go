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

	"github.com/currantrouter/currantrouter/internal/fleet/modeler"
	"github.com/currantrouter/currantrouter/internal/provider/emulator"
	"github.com/currantrouter/currantrouter/internal/provider/storer"
	"github.com/currantrouter/currantrouter/internal/provider/supervisor"
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
}

// termLeader is the process of a leader that may lose its connection to the journal and to workers.
type termLeader struct {
	*leaderProcess
	network *network
	// isolated is set while the leader reaches neither the journal nor other workers than those in holds.
	isolated bool
	holds    map[modeler.WorkerName]bool
}

// newTermCluster returns a cluster whose leaders know whether the last one has stopped.
func newTermCluster(t testing.TB, workers int) (*testCluster, *network) {
	nw := &network{cut: make(map[modeler.WorkerName]bool)}
	cl := newTestCluster(t, workers, emulator.Behaviour{RunTime: func(supervisor.StartCommand) time.Duration { return 24 * time.Hour }})
	cl.configure = nw.connect
	return cl, nw
}

func (nw *network) connect(sc *Scheduler) {
	nw.mu.Lock()
	defer nw.mu.Unlock()
	before := nw.last
	tl := &termLeader{leaderProcess: sc.opts.Journal.(*leaderProcess), network: nw}
	nw.last = tl
	sc.opts.Journal, sc.opts.Workers = tl, tl
	sc.opts.PredecessorStopped = func() bool { return before == nil || before.stopped() }
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
		return storer.ErrUnavailable
	}
	return tl.leaderProcess.Append(ctx, records...)
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
	synctest.Test(t, func(t *testing.T) {
		cl, nw := newTermCluster(t, 4)
		cl.startLeader()
		time.Sleep(3 * time.Second)
		cl.submit(testJob("a"))
		time.Sleep(5 * time.Second)
		first := nw.leader()
		nw.isolate(first, cl.taskStatus("a").Worker)
		cl.startLeaderLater()
		nextTerm()
		time.Sleep(3 * time.Second)
		cl.currentProcess().kill()
		nextTerm()
		time.Sleep(2 * testLease)
		qt.Check(t, cl.taskStatus("a").Attempt, qt.Equals, 1)
		time.Sleep(3 * time.Minute)
		qt.Check(t, cl.taskStatus("a").Attempt, qt.Equals, 2)
		first.kill()
		cl.close()
	})
}

// Guards against tasks that run twice or no more because of what several leaders know of leases: leaders
// that are killed, stopped or cut off with some workers, and workers that are cut off, lost or
// restarted.
func TestRandomTerms(t *testing.T) {
	for seed := *firstTermSeed; seed < *firstTermSeed+*termSeeds; seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { playTerms(t, rand.New(rand.NewPCG(uint64(seed), 1))) })
		})
	}
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
		switch rd.IntN(9) {
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
		case 4, 5:
			nw.setCut(wk.Name, true)
		case 6:
			nw.setCut(wk.Name, false)
		case 7:
			cl.workers.Kill(wk.Name)
			time.Sleep(time.Duration(rd.IntN(20)) * time.Second)
			cl.workers.Add(wk)
		case 8:
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
