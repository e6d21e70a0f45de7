package scheduler

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"
	"google.golang.org/protobuf/proto"

	"github.com/currantrouter/currantrouter/internal/fleet/modeler"
	"github.com/currantrouter/currantrouter/internal/provider/emulator"
	"github.com/currantrouter/currantrouter/internal/provider/storer"
	"github.com/currantrouter/currantrouter/internal/provider/supervisor"
)

const (
	testLease = 30 * time.Second
	gibibyte  = 1 << 30
)

// memoryJournal is the journal of one data centre, which fences off earlier epochs.
type memoryJournal struct {
	mu      sync.Mutex
	epoch   modeler.Epoch
	records [][]byte
	parts   [][]byte
	// coveredRecords is the number of records that the snapshot in parts covers.
	coveredRecords int
	deposed        chan struct{}
}

// epochJournal is a memoryJournal as one leader sees it. It implements Journal.
type epochJournal struct {
	journal *memoryJournal
	epoch   modeler.Epoch
	deposed chan struct{}
}

func (mj *memoryJournal) beginEpoch() (*epochJournal, Recovery) {
	mj.mu.Lock()
	defer mj.mu.Unlock()
	mj.epoch++
	mj.deposed = make(chan struct{})
	return &epochJournal{mj, mj.epoch, mj.deposed}, Recovery{Parts: mj.parts, Records: mj.records[mj.coveredRecords:], EpochBegan: time.Now()}
}

func (ej *epochJournal) Append(_ context.Context, records ...[]byte) error {
	ej.journal.mu.Lock()
	defer ej.journal.mu.Unlock()
	if ej.journal.epoch != ej.epoch {
		select {
		case <-ej.deposed:
		default:
			close(ej.deposed)
		}
		return ErrDeposed
	}
	ej.journal.records = append(ej.journal.records, records...)
	return nil
}

// mayRepeat reports whether a task that is done on a worker may run again: it is repeatable, and no
// leader has recorded the end, because the worker's report was lost.
func (mj *memoryJournal) mayRepeat(at supervisor.Attempt) bool {
	mj.mu.Lock()
	defer mj.mu.Unlock()
	id, repeatable := uint64(0), false
	for _, data := range mj.records {
		var rm RecordMessage
		if err := proto.Unmarshal(data, &rm); err != nil {
			panic(err)
		}
		for _, jm := range rm.GetSubmit().GetJobs() {
			if jm.GetName() == at.Job {
				id, repeatable = jm.GetId(), jm.GetRepeatable()
			}
		}
		em := rm.GetEnd()
		if em.GetJob() == id && int(em.GetTask()) == at.Task && em.GetCause() == EndCause_END_CAUSE_DONE {
			return false
		}
	}
	return repeatable
}

func (ej *epochJournal) Position() int64 {
	ej.journal.mu.Lock()
	defer ej.journal.mu.Unlock()
	return int64(len(ej.journal.records))
}

func (ej *epochJournal) Deposed() <-chan struct{} { return ej.deposed }

// faultKind is a fault at one step of a leader.
type faultKind string

const (
	faultKillBefore  faultKind = "killed before"
	faultKillAfter   faultKind = "killed after"
	faultPauseBefore faultKind = "paused before"
	faultPauseAfter  faultKind = "paused after"
	faultAnswerLost  faultKind = "answer lost"
	faultUnavailable faultKind = "unavailable"
	faultRefused     faultKind = "refused"
	faultLate        faultKind = "late"
	// faultStaleCommand deposes the leader at once and delivers its command shortly before it
	// expires.
	faultStaleCommand faultKind = "stale command after a change of leader"
)

const pauseTime = 12 * time.Second

// leaderProcess is the process of one leader. It implements Journal and Workers: every command is a
// step at which the leader can be killed or paused.
type leaderProcess struct {
	cluster *testCluster
	journal *epochJournal
	cancel  context.CancelFunc

	mu      sync.Mutex
	dead    bool
	resumed chan struct{}
}

// checkAlive blocks while the process is paused and returns an error when it was killed.
func (lp *leaderProcess) checkAlive() error {
	lp.mu.Lock()
	resumed := lp.resumed
	lp.mu.Unlock()
	if resumed != nil {
		<-resumed
	}
	lp.mu.Lock()
	defer lp.mu.Unlock()
	if lp.dead {
		return context.Canceled
	}
	return nil
}

func (lp *leaderProcess) kill() {
	lp.mu.Lock()
	lp.dead = true
	lp.mu.Unlock()
	lp.cancel()
}

func (lp *leaderProcess) pause() {
	resumed := make(chan struct{})
	lp.mu.Lock()
	lp.resumed = resumed
	lp.mu.Unlock()
	lp.cluster.startLeaderLater()
	time.AfterFunc(pauseTime, func() { close(resumed) })
}

// step executes one command with the fault that is planned for this step, if any.
func (lp *leaderProcess) step(name string, run func() error) error {
	ft := lp.cluster.nextFault(name)
	switch ft {
	case faultKillBefore:
		lp.kill()
	case faultPauseBefore:
		lp.pause()
	case faultUnavailable:
		return storer.ErrUnavailable
	case faultRefused:
		return supervisor.ErrRefused
	case faultStaleCommand:
		lp.cluster.startLeader()
		time.AfterFunc(maxStartDelay-200*time.Millisecond, func() { _ = run() })
		return supervisor.ErrResultUnknown
	case faultLate:
		time.Sleep(commandTimeout + 100*time.Millisecond)
	}
	if err := lp.checkAlive(); err != nil {
		return err
	}
	err := run()
	switch ft {
	case faultKillAfter:
		lp.kill()
	case faultPauseAfter:
		lp.pause()
	case faultAnswerLost:
		return storer.ErrResultUnknown
	}
	if stopErr := lp.checkAlive(); stopErr != nil {
		return stopErr
	}
	return err
}

func (lp *leaderProcess) Append(ctx context.Context, records ...[]byte) error {
	lp.cluster.mu.Lock()
	down, lose := lp.cluster.journalDown, lp.cluster.appendsToLose > 0
	if lose {
		lp.cluster.appendsToLose--
	}
	lp.cluster.mu.Unlock()
	if down {
		return storer.ErrUnavailable
	}
	err := lp.step("Append", func() error {
		// A process that is killed meanwhile has not sent the write.
		time.Sleep(5 * time.Millisecond)
		if err := lp.checkAlive(); err != nil {
			return err
		}
		return lp.journal.Append(ctx, records...)
	})
	if lose && err == nil {
		return storer.ErrResultUnknown
	}
	return err
}
func (lp *leaderProcess) Position() int64          { return lp.journal.Position() }
func (lp *leaderProcess) Deposed() <-chan struct{} { return lp.journal.Deposed() }

func (lp *leaderProcess) Start(ctx context.Context, wk supervisor.Worker, cmd supervisor.StartCommand) error {
	return lp.step("Start", func() error { return lp.cluster.workers.Start(ctx, wk, cmd) })
}

func (lp *leaderProcess) Stop(ctx context.Context, wk supervisor.Worker, ep modeler.Epoch, at supervisor.Attempt) error {
	return lp.step("Stop", func() error { return lp.cluster.workers.Stop(ctx, wk, ep, at) })
}

func (lp *leaderProcess) Checkpoint(ctx context.Context, wk supervisor.Worker, ep modeler.Epoch, at supervisor.Attempt) error {
	return lp.step("Checkpoint", func() error { return lp.cluster.workers.Checkpoint(ctx, wk, ep, at) })
}

func (lp *leaderProcess) Throttle(ctx context.Context, wk supervisor.Worker, ep modeler.Epoch, at supervisor.Attempt, share float64) error {
	return lp.step("Throttle", func() error { return lp.cluster.workers.Throttle(ctx, wk, ep, at, share) })
}

func (lp *leaderProcess) Renew(ctx context.Context, wk supervisor.Worker, ep modeler.Epoch, term time.Duration, ats []supervisor.Attempt) (missing []supervisor.Attempt, err error) {
	err = lp.step("Renew", func() error {
		missing, err = lp.cluster.workers.Renew(ctx, wk, ep, term, ats)
		return err
	})
	return missing, err
}

func (lp *leaderProcess) Forget(ctx context.Context, wk supervisor.Worker, ep modeler.Epoch, ats []supervisor.Attempt) error {
	return lp.step("Forget", func() error { return lp.cluster.workers.Forget(ctx, wk, ep, ats) })
}

func (lp *leaderProcess) Report(ctx context.Context, wk supervisor.Worker) (rp supervisor.WorkerReport, err error) {
	if err := lp.checkAlive(); err != nil {
		return rp, err
	}
	rp, err = lp.cluster.workers.Report(ctx, wk)
	if stopErr := lp.checkAlive(); stopErr != nil {
		return rp, stopErr
	}
	return rp, err
}

// testCluster is a data centre with emulated workers, a journal and a succession of leaders.
type testCluster struct {
	t          testing.TB
	journal    memoryJournal
	faults     emulator.Faults
	workers    *emulator.Workers
	workerList []supervisor.Worker
	options    Options

	mu      sync.Mutex
	leader  *Scheduler
	process *leaderProcess
	stopped sync.WaitGroup
	// faultStep is the number of the step at which plannedFault happens, -1 for none.
	faultStep    int
	plannedFault faultKind
	// faultCommands restricts the steps that count to these commands; nil means all.
	faultCommands map[string]bool
	// steps is the number of steps so far.
	steps     int
	stepNames []string
	// hitCommand is the command at which the fault happened, empty before.
	hitCommand string
	done       map[emulator.Task]bool
	violations []string
	closing    bool
	// configure, if set, changes a leader before it runs.
	configure func(*Scheduler)
	// noRepeats is set when no report can get lost, so that no task may start again after it is
	// done.
	noRepeats bool
	// journalDown is set while the journal rejects appends as unavailable.
	journalDown bool
	// appendsToLose is the number of next appends whose answers are lost.
	appendsToLose int
}

func newTestCluster(t testing.TB, workers int, bh emulator.Behaviour) *testCluster {
	cl := &testCluster{t: t, done: make(map[emulator.Task]bool), faultStep: -1}
	outcome, runTime := bh.Outcome, bh.RunTime
	bh.Outcome = func(wk modeler.WorkerName, cmd supervisor.StartCommand) string {
		why := ""
		if outcome != nil {
			why = outcome(wk, cmd)
		}
		cl.mu.Lock()
		defer cl.mu.Unlock()
		cl.done[emulator.Task{Job: cmd.Attempt.Job, Task: cmd.Attempt.Task}] = why == ""
		return why
	}
	bh.RunTime = func(cmd supervisor.StartCommand) time.Duration {
		cl.mu.Lock()
		if cl.done[emulator.Task{Job: cmd.Attempt.Job, Task: cmd.Attempt.Task}] && (cl.noRepeats || !cl.journal.mayRepeat(cmd.Attempt)) {
			cl.violations = append(cl.violations, fmt.Sprintf("%v was started after it was done", cmd.Attempt))
		}
		cl.mu.Unlock()
		return runTime(cmd)
	}
	cl.workers = emulator.NewWorkers(&cl.faults, bh)
	for i := range workers {
		cl.workerList = append(cl.workerList, supervisor.Worker{
			Name: modeler.WorkerName(fmt.Sprintf("w%02d", i)), Rack: fmt.Sprint(i / 6),
			Capacity: supervisor.Resources{Millicores: 8000, MemoryBytes: 32 * gibibyte},
		})
	}
	cl.workers.Add(cl.workerList...)
	cl.options = Options{
		Logger: logr.Discard(), LeaseTerm: testLease, RenewInterval: testLease / 5,
		LeaderAutonomy: 2 * time.Minute, ShortReserve: 0.1, Seed: 1,
	}
	return cl
}

// nextFault counts a step and returns its fault.
func (cl *testCluster) nextFault(name string) faultKind {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	if cl.faultCommands != nil && !cl.faultCommands[name] {
		return ""
	}
	cl.steps++
	cl.stepNames = append(cl.stepNames, name)
	if cl.steps-1 != cl.faultStep {
		return ""
	}
	cl.hitCommand = name
	return cl.plannedFault
}

// startLeader starts a leader of the next epoch. When it stops, another one starts 6 s later.
func (cl *testCluster) startLeader() {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	if cl.closing {
		return
	}
	ej, rec := cl.journal.beginEpoch()
	ctx, cancel := context.WithCancel(context.Background())
	lp := &leaderProcess{cluster: cl, journal: ej, cancel: cancel}
	opts := cl.options
	opts.Epoch, opts.Journal, opts.Workers = ej.epoch, lp, lp
	sc, err := New(opts, rec)
	qt.Assert(cl.t, err, qt.IsNil)
	if cl.configure != nil {
		cl.configure(sc)
	}
	cl.leader, cl.process = sc, lp
	cl.stopped.Add(1)
	go func() {
		defer cl.stopped.Done()
		_ = sc.Run(ctx)
		cancel()
		if cl.isLeader(sc) {
			cl.startLeaderLater()
		}
	}()
	go func() { _ = sc.SetWorkers(ctx, cl.workerList) }()
}

func (cl *testCluster) isLeader(sc *Scheduler) bool {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	return cl.leader == sc
}

func (cl *testCluster) startLeaderLater() { time.AfterFunc(6*time.Second, cl.startLeader) }

func (cl *testCluster) currentLeader() *Scheduler {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	return cl.leader
}

// currentProcess returns the process of the current leader.
func (cl *testCluster) currentProcess() *leaderProcess {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	return cl.process
}

// retry repeats an operation on the current leader until it succeeds.
func (cl *testCluster) retry(do func(context.Context, *Scheduler) error) {
	for range 60 {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		err := do(ctx, cl.currentLeader())
		cancel()
		if err == nil {
			return
		}
		time.Sleep(time.Second)
	}
	cl.t.Error("an operation did not succeed on any leader")
}

func (cl *testCluster) submit(jobs ...Job) {
	cl.retry(func(ctx context.Context, sc *Scheduler) error {
		_, err := sc.Submit(ctx, jobs)
		return err
	})
}

// states counts the tasks in each state.
func (cl *testCluster) states() map[State]int {
	count := make(map[State]int)
	cl.retry(func(ctx context.Context, sc *Scheduler) error {
		list, err := sc.Tasks(ctx, Query{})
		clear(count)
		for _, ts := range list {
			count[ts.State]++
		}
		return err
	})
	return count
}

// close stops the leader and checks the invariants.
func (cl *testCluster) close() {
	cl.mu.Lock()
	cl.closing = true
	cl.mu.Unlock()
	cl.currentProcess().cancel()
	cl.stopped.Wait()
	time.Sleep(testLease + pauseTime)
	or := cl.workers.Oracle()
	qt.Check(cl.t, or.Violations, qt.HasLen, 0, qt.Commentf("fault %q at step %d (%s)", cl.plannedFault, cl.faultStep, cl.hitCommand))
	qt.Check(cl.t, cl.violations, qt.HasLen, 0, qt.Commentf("fault %q at step %d (%s)", cl.plannedFault, cl.faultStep, cl.hitCommand))
	for at, resumes := range or.Resumes {
		qt.Check(cl.t, resumes <= 1, qt.IsTrue, qt.Commentf("%v was resumed %d times", at, resumes))
	}
	cl.checkReplay()
}

// checkReplay checks that a replay of the journal gives the last leader's state.
func (cl *testCluster) checkReplay() {
	_, rec := cl.journal.beginEpoch()
	replayed, err := New(cl.options, rec)
	qt.Assert(cl.t, err, qt.IsNil)
	for id, jb := range replayed.state.jobs {
		live, ok := cl.leader.state.jobs[id]
		qt.Assert(cl.t, ok, qt.IsTrue)
		for no := range jb.Tasks {
			qt.Check(cl.t, jb.stateOf(no), qt.Equals, live.stateOf(no), qt.Commentf("job %s task %d", jb.Name, no))
		}
	}
}

// testJob returns a job with one repeatable task of one core.
func testJob(name string, change ...func(*Job)) Job {
	jb := Job{
		Name: name, Team: "team", Kind: name, Tasks: 1, Repeatable: true,
		Declared: supervisor.Resources{Millicores: 1000, MemoryBytes: gibibyte},
	}
	for _, ch := range change {
		ch(&jb)
	}
	return jb
}
