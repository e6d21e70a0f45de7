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

// memoryLog is the fenced journal of one data centre.
type memoryLog struct {
	mu      sync.Mutex
	epoch   modeler.Epoch
	records [][]byte
	parts   [][]byte
	// covered is the number of records that parts cover.
	covered int
	deposed chan struct{}
}

// term is one leader's view of the log.
type term struct {
	log     *memoryLog
	epoch   modeler.Epoch
	deposed chan struct{}
}

func (ml *memoryLog) open() (*term, Recovery) {
	ml.mu.Lock()
	defer ml.mu.Unlock()
	ml.epoch++
	ml.deposed = make(chan struct{})
	return &term{ml, ml.epoch, ml.deposed}, Recovery{Parts: ml.parts, Records: ml.records[ml.covered:], Began: time.Now()}
}

func (tm *term) Append(_ context.Context, records ...[]byte) error {
	tm.log.mu.Lock()
	defer tm.log.mu.Unlock()
	if tm.log.epoch != tm.epoch {
		select {
		case <-tm.deposed:
		default:
			close(tm.deposed)
		}
		return ErrDeposed
	}
	tm.log.records = append(tm.log.records, records...)
	return nil
}

// mayRepeat reports whether a task that is done on a worker may run again: it is repeatable, and the
// worker's word was lost before a leader recorded it.
func (ml *memoryLog) mayRepeat(at supervisor.Attempt) bool {
	ml.mu.Lock()
	defer ml.mu.Unlock()
	id, repeatable := uint64(0), false
	for _, data := range ml.records {
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

func (tm *term) Position() int64 {
	tm.log.mu.Lock()
	defer tm.log.mu.Unlock()
	return int64(len(tm.log.records))
}

func (tm *term) Deposed() <-chan struct{} { return tm.deposed }

// fault is what happens at one step of a leader.
type fault string

const (
	killBefore  fault = "killed before"
	killAfter   fault = "killed after"
	pauseBefore fault = "paused before"
	pauseAfter  fault = "paused after"
	lost        fault = "answer lost"
	unavailable fault = "unavailable"
	refused     fault = "refused"
	late        fault = "late"
	// crossing: another host leads at once, and the command arrives only then.
	crossing fault = "crossing a change of leader"
)

const pauseTime = 12 * time.Second

// process stands between one leader and the outside. Every command to the journal or a worker is a
// step at which the leader can be killed or paused.
type process struct {
	world  *world
	inner  *term
	cancel context.CancelFunc

	mu      sync.Mutex
	dead    bool
	resumed chan struct{}
}

// pass holds up a paused process and stops a dead one.
func (pr *process) pass() error {
	pr.mu.Lock()
	resumed := pr.resumed
	pr.mu.Unlock()
	if resumed != nil {
		<-resumed
	}
	pr.mu.Lock()
	defer pr.mu.Unlock()
	if pr.dead {
		return context.Canceled
	}
	return nil
}

func (pr *process) kill() {
	pr.mu.Lock()
	pr.dead = true
	pr.mu.Unlock()
	pr.cancel()
}

func (pr *process) pause() {
	resumed := make(chan struct{})
	pr.mu.Lock()
	pr.resumed = resumed
	pr.mu.Unlock()
	pr.world.succeed()
	time.AfterFunc(pauseTime, func() { close(resumed) })
}

// step executes one command with the fault that the world has planned for its number.
func (pr *process) step(name string, run func() error) error {
	ft := pr.world.plan(name)
	switch ft {
	case killBefore:
		pr.kill()
	case pauseBefore:
		pr.pause()
	case unavailable:
		return storer.ErrUnavailable
	case refused:
		return supervisor.ErrRefused
	case crossing:
		pr.world.lead()
		time.AfterFunc(startTerm-200*time.Millisecond, func() { _ = run() })
		return supervisor.ErrResultUnknown
	case late:
		time.Sleep(commandTimeout + 100*time.Millisecond)
	}
	if err := pr.pass(); err != nil {
		return err
	}
	err := run()
	switch ft {
	case killAfter:
		pr.kill()
	case pauseAfter:
		pr.pause()
	case lost:
		return storer.ErrResultUnknown
	}
	if passed := pr.pass(); passed != nil {
		return passed
	}
	return err
}

func (pr *process) Append(ctx context.Context, records ...[]byte) error {
	pr.world.mu.Lock()
	down, lose := pr.world.down, pr.world.lose > 0
	if lose {
		pr.world.lose--
	}
	pr.world.mu.Unlock()
	if down {
		return storer.ErrUnavailable
	}
	err := pr.step("Append", func() error {
		// A process that dies meanwhile has not sent the write.
		time.Sleep(5 * time.Millisecond)
		if err := pr.pass(); err != nil {
			return err
		}
		return pr.inner.Append(ctx, records...)
	})
	if lose && err == nil {
		return storer.ErrResultUnknown
	}
	return err
}
func (pr *process) Position() int64          { return pr.inner.Position() }
func (pr *process) Deposed() <-chan struct{} { return pr.inner.Deposed() }

func (pr *process) Start(ctx context.Context, wk supervisor.Worker, cmd supervisor.StartCommand) error {
	return pr.step("Start", func() error { return pr.world.workers.Start(ctx, wk, cmd) })
}

func (pr *process) Stop(ctx context.Context, wk supervisor.Worker, ep modeler.Epoch, at supervisor.Attempt) error {
	return pr.step("Stop", func() error { return pr.world.workers.Stop(ctx, wk, ep, at) })
}

func (pr *process) Checkpoint(ctx context.Context, wk supervisor.Worker, ep modeler.Epoch, at supervisor.Attempt) error {
	return pr.step("Checkpoint", func() error { return pr.world.workers.Checkpoint(ctx, wk, ep, at) })
}

func (pr *process) Throttle(ctx context.Context, wk supervisor.Worker, ep modeler.Epoch, at supervisor.Attempt, share float64) error {
	return pr.step("Throttle", func() error { return pr.world.workers.Throttle(ctx, wk, ep, at, share) })
}

func (pr *process) Renew(ctx context.Context, wk supervisor.Worker, ep modeler.Epoch, tm time.Duration, ats []supervisor.Attempt) (missing []supervisor.Attempt, err error) {
	err = pr.step("Renew", func() error {
		missing, err = pr.world.workers.Renew(ctx, wk, ep, tm, ats)
		return err
	})
	return missing, err
}

func (pr *process) Forget(ctx context.Context, wk supervisor.Worker, ep modeler.Epoch, ats []supervisor.Attempt) error {
	return pr.step("Forget", func() error { return pr.world.workers.Forget(ctx, wk, ep, ats) })
}

func (pr *process) Report(ctx context.Context, wk supervisor.Worker) (rp supervisor.WorkerReport, err error) {
	if err := pr.pass(); err != nil {
		return rp, err
	}
	rp, err = pr.world.workers.Report(ctx, wk)
	if passed := pr.pass(); passed != nil {
		return rp, passed
	}
	return rp, err
}

// world is a data centre with workers, a log and one leader after another.
type world struct {
	t       testing.TB
	log     memoryLog
	faults  emulator.Faults
	workers *emulator.Workers
	list    []supervisor.Worker
	options Options

	mu      sync.Mutex
	leader  *Scheduler
	process *process
	stopped sync.WaitGroup
	// at is the number of the step at which planned happens, steps counts them.
	at      int
	planned fault
	only    map[string]bool
	steps   int
	names   []string
	hit     string
	done    map[emulator.Task]bool
	wrong   []string
	closing bool
	// prepare changes a leader before it runs.
	prepare func(*Scheduler)
	// strict is set when no result can get lost, so that no task may run again after its end.
	strict bool
	// down is set while the journal is unavailable.
	down bool
	// lose is the number of the next appends whose answers are lost.
	lose int
}

func newWorld(t testing.TB, workers int, bh emulator.Behaviour) *world {
	wd := &world{t: t, done: make(map[emulator.Task]bool), at: -1}
	outcome, runTime := bh.Outcome, bh.RunTime
	bh.Outcome = func(wk modeler.WorkerName, cmd supervisor.StartCommand) string {
		why := ""
		if outcome != nil {
			why = outcome(wk, cmd)
		}
		wd.mu.Lock()
		defer wd.mu.Unlock()
		wd.done[emulator.Task{Job: cmd.Attempt.Job, Task: cmd.Attempt.Task}] = why == ""
		return why
	}
	bh.RunTime = func(cmd supervisor.StartCommand) time.Duration {
		wd.mu.Lock()
		if wd.done[emulator.Task{Job: cmd.Attempt.Job, Task: cmd.Attempt.Task}] && (wd.strict || !wd.log.mayRepeat(cmd.Attempt)) {
			wd.wrong = append(wd.wrong, fmt.Sprintf("%v was started after it was done", cmd.Attempt))
		}
		wd.mu.Unlock()
		return runTime(cmd)
	}
	wd.workers = emulator.NewWorkers(&wd.faults, bh)
	for i := range workers {
		wd.list = append(wd.list, supervisor.Worker{
			Name: modeler.WorkerName(fmt.Sprintf("w%02d", i)), Rack: fmt.Sprint(i / 6),
			Capacity: supervisor.Resources{Millicores: 8000, MemoryBytes: 32 * gibibyte},
		})
	}
	wd.workers.Add(wd.list...)
	wd.options = Options{
		Logger: logr.Discard(), LeaseTerm: testLease, RenewInterval: testLease / 5,
		LeaderAutonomy: 2 * time.Minute, ShortReserve: 0.1, Seed: 1,
	}
	return wd
}

// plan counts a step and returns the fault for it.
func (wd *world) plan(name string) fault {
	wd.mu.Lock()
	defer wd.mu.Unlock()
	if wd.only != nil && !wd.only[name] {
		return ""
	}
	wd.steps++
	wd.names = append(wd.names, name)
	if wd.steps-1 != wd.at {
		return ""
	}
	wd.hit = name
	return wd.planned
}

// lead starts a leader of the next epoch. When it stops, another one follows after 6 s.
func (wd *world) lead() {
	wd.mu.Lock()
	defer wd.mu.Unlock()
	if wd.closing {
		return
	}
	tm, rec := wd.log.open()
	ctx, cancel := context.WithCancel(context.Background())
	pr := &process{world: wd, inner: tm, cancel: cancel}
	op := wd.options
	op.Epoch, op.Journal, op.Workers = tm.epoch, pr, pr
	sc, err := New(op, rec)
	qt.Assert(wd.t, err, qt.IsNil)
	if wd.prepare != nil {
		wd.prepare(sc)
	}
	wd.leader, wd.process = sc, pr
	wd.stopped.Add(1)
	go func() {
		defer wd.stopped.Done()
		_ = sc.Run(ctx)
		cancel()
		if wd.isLeader(sc) {
			wd.succeed()
		}
	}()
	go func() { _ = sc.SetWorkers(ctx, wd.list) }()
}

func (wd *world) isLeader(sc *Scheduler) bool {
	wd.mu.Lock()
	defer wd.mu.Unlock()
	return wd.leader == sc
}

func (wd *world) succeed() { time.AfterFunc(6*time.Second, wd.lead) }

func (wd *world) current() *Scheduler {
	wd.mu.Lock()
	defer wd.mu.Unlock()
	return wd.leader
}

// front is what stands before the leader of the moment.
func (wd *world) front() *process {
	wd.mu.Lock()
	defer wd.mu.Unlock()
	return wd.process
}

// retry repeats an operation on the leader of the moment until it succeeds.
func (wd *world) retry(do func(context.Context, *Scheduler) error) {
	for range 60 {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		err := do(ctx, wd.current())
		cancel()
		if err == nil {
			return
		}
		time.Sleep(time.Second)
	}
	wd.t.Error("an operation did not succeed on any leader")
}

func (wd *world) submit(jobs ...Job) {
	wd.retry(func(ctx context.Context, sc *Scheduler) error {
		_, err := sc.Submit(ctx, jobs)
		return err
	})
}

// states counts the tasks in each state.
func (wd *world) states() map[State]int {
	count := make(map[State]int)
	wd.retry(func(ctx context.Context, sc *Scheduler) error {
		list, err := sc.Tasks(ctx, Query{})
		clear(count)
		for _, ts := range list {
			count[ts.State]++
		}
		return err
	})
	return count
}

// close stops the leader and checks what always holds.
func (wd *world) close() {
	wd.mu.Lock()
	wd.closing = true
	wd.mu.Unlock()
	wd.front().cancel()
	wd.stopped.Wait()
	time.Sleep(testLease + pauseTime)
	or := wd.workers.Oracle()
	qt.Check(wd.t, or.Violations, qt.HasLen, 0, qt.Commentf("fault %q at step %d (%s)", wd.planned, wd.at, wd.hit))
	qt.Check(wd.t, wd.wrong, qt.HasLen, 0, qt.Commentf("fault %q at step %d (%s)", wd.planned, wd.at, wd.hit))
	for at, resumes := range or.Resumes {
		qt.Check(wd.t, resumes <= 1, qt.IsTrue, qt.Commentf("%v was resumed %d times", at, resumes))
	}
	wd.checkReplay()
}

// checkReplay compares the last leader's state with a replay of the log.
func (wd *world) checkReplay() {
	_, rec := wd.log.open()
	replayed, err := New(wd.options, rec)
	qt.Assert(wd.t, err, qt.IsNil)
	for id, jb := range replayed.ledger.jobs {
		live, ok := wd.leader.ledger.jobs[id]
		qt.Assert(wd.t, ok, qt.IsTrue)
		for no := range jb.Tasks {
			qt.Check(wd.t, jb.stateOf(no), qt.Equals, live.stateOf(no), qt.Commentf("job %s task %d", jb.Name, no))
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
