package emulator

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/currantrouter/currantrouter/internal/job/modeler"
)

// TaskBehaviour is how a run of a task goes.
type TaskBehaviour struct {
	// Work is the run time from the beginning on an undisturbed worker.
	Work time.Duration
	// Fails ends the run with a failure after Work.
	Fails bool
	// LongRunning runs never end by themselves.
	LongRunning bool
	// Checkpoints makes a stopped run resume where it was.
	Checkpoints bool
	// Needs is what the run takes of its worker.
	Needs modeler.Resources
	// Uses is what a run uses without a reservation, in thousandths of a core.
	Uses int64
	// Tail returns the tail latency of a serving task beside the runs of its worker that are not
	// halted. It is nil for other tasks.
	Tail func(neighbours []modeler.TaskID) time.Duration
}

// JobWorkers are workers of callers' jobs in memory. They refuse what is late, old or of a lower
// epoch, list ends until these are noted, and record what must never happen. It is safe for
// concurrent use.
type JobWorkers struct {
	faults *Faults
	// behave returns how the runs of a task go.
	behave func(modeler.TaskID) TaskBehaviour

	mu      sync.Mutex
	workers map[modeler.WorkerID]*jobWorker
	// done holds the tasks with an end that was noted.
	done map[modeler.TaskID]bool
	// started counts the starts of each task.
	started    map[modeler.TaskID]int
	violations []string
	// halts counts the orders that halted a run.
	halts int
}

type jobWorker struct {
	info    modeler.Worker
	born    int64
	since   time.Time
	epoch   modeler.Epoch
	lease   time.Duration
	running map[runKey]*jobRun
	ended   []modeler.EndedRun
	number  int64
	// again holds the numbers of listed ends whose tasks were started once more, which must not be
	// if such an end is noted later.
	again map[int64]bool
	// lapsed is the number up to which ends were listed when a lease was over. These do not bind.
	lapsed int64
	// highest holds the highest run that was stopped or ended of each task.
	highest map[modeler.TaskID]modeler.Run
	changed chan struct{}
	// slow is how many times as long runs take, zero for once.
	slow float64
	cut  bool
	down bool
}

type runKey struct {
	task modeler.TaskID
	run  modeler.Run
}

type jobRun struct {
	behaviour TaskBehaviour
	began     time.Time
	// saved is the part of the work that was done by the time since, at which the pace last changed.
	saved   time.Duration
	since   time.Time
	stopped bool
	pace    int
	timer   *time.Timer
}

// stopTime is how long a worker takes to stop a run.
const stopTime = 100 * time.Millisecond

// startupTime is the time until a long-running task is at work.
const startupTime = 400 * time.Millisecond

// NewJobWorkers returns no workers. The faults may be nil.
func NewJobWorkers(fts *Faults, behave func(modeler.TaskID) TaskBehaviour) *JobWorkers {
	if fts == nil {
		fts = new(Faults)
	}
	return &JobWorkers{
		faults: fts, behave: behave, workers: map[modeler.WorkerID]*jobWorker{},
		done: map[modeler.TaskID]bool{}, started: map[modeler.TaskID]int{},
	}
}

// Add adds a worker, or starts a new life of one.
func (jw *JobWorkers) Add(info modeler.Worker) modeler.Worker {
	jw.mu.Lock()
	defer jw.mu.Unlock()
	if old := jw.workers[info.ID]; old != nil {
		jw.end(old)
	}
	info.Incarnation = time.Now().UnixMilli()
	jw.workers[info.ID] = &jobWorker{
		info: info, born: info.Incarnation, since: time.Now(), running: map[runKey]*jobRun{},
		highest: map[modeler.TaskID]modeler.Run{}, again: map[int64]bool{}, changed: make(chan struct{}),
	}
	return info
}

// end stops everything on a worker without a trace, as a crash does.
func (jw *JobWorkers) end(wk *jobWorker) {
	for _, rn := range wk.running {
		if rn.timer != nil {
			rn.timer.Stop()
		}
	}
	wk.running = map[runKey]*jobRun{}
	wk.announce()
}

// Crash takes a worker down until it is added again.
func (jw *JobWorkers) Crash(id modeler.WorkerID) {
	jw.mu.Lock()
	defer jw.mu.Unlock()
	jw.end(jw.workers[id])
	jw.workers[id].down = true
}

// Cut cuts a worker off, or restores its connections. It goes on running.
func (jw *JobWorkers) Cut(id modeler.WorkerID, cut bool) {
	jw.mu.Lock()
	defer jw.mu.Unlock()
	jw.workers[id].cut = cut
}

// Slow makes the runs that start on a worker from now on take so many times as long.
func (jw *JobWorkers) Slow(id modeler.WorkerID, times float64) {
	jw.mu.Lock()
	defer jw.mu.Unlock()
	jw.workers[id].slow = times
}

// Violations returns what must never have happened.
func (jw *JobWorkers) Violations() []string {
	jw.mu.Lock()
	defer jw.mu.Unlock()
	return slices.Clone(jw.violations)
}

// Starts returns how often a task was started.
func (jw *JobWorkers) Starts(id modeler.TaskID) int {
	jw.mu.Lock()
	defer jw.mu.Unlock()
	return jw.started[id]
}

// Where returns the worker that runs a task, or an empty id.
func (jw *JobWorkers) Where(id modeler.TaskID) modeler.WorkerID {
	jw.mu.Lock()
	defer jw.mu.Unlock()
	for _, wk := range jw.workers {
		for key := range wk.running {
			if key.task == id {
				return wk.info.ID
			}
		}
	}
	return ""
}

func (wk *jobWorker) announce() {
	close(wk.changed)
	wk.changed = make(chan struct{})
}

func (wk *jobWorker) clock() time.Duration { return time.Since(wk.since) }

// call applies the faults of orders and executes one. A late order is executed although its sender
// gets no answer, unless the life that it was meant for is over.
func (jw *JobWorkers) call(ctx context.Context, operation string, id modeler.WorkerID, execute func(*jobWorker) error) error {
	if ctx.Err() != nil {
		return modeler.ErrNotSent
	}
	jw.mu.Lock()
	wk := jw.workers[id]
	unreachable := wk == nil || wk.cut || wk.down
	jw.mu.Unlock()
	if unreachable {
		<-ctx.Done()
		return modeler.ErrNoAnswer
	}
	run := func() error {
		jw.mu.Lock()
		defer jw.mu.Unlock()
		if jw.workers[id] != wk {
			return modeler.ErrOtherIncarnation
		}
		return execute(wk)
	}
	sw, ok := jw.faults.match(PartWorkers, operation, string(id), Unavailable, AnswerLost, RequestLost, Late)
	if !ok {
		return run()
	}
	switch sw.Fault {
	case Unavailable:
		return modeler.ErrUnhealthy
	case AnswerLost:
		_ = run()
	case Late:
		time.AfterFunc(sw.Delay, func() { _ = run() })
	}
	<-ctx.Done()
	return modeler.ErrNoAnswer
}

// Start implements director.WorkerClient.
func (jw *JobWorkers) Start(ctx context.Context, info *modeler.Worker, order *modeler.StartRequest) (time.Duration, error) {
	var clock time.Duration
	err := jw.call(ctx, "Start", info.ID, func(wk *jobWorker) error {
		clock = wk.clock()
		return jw.start(wk, order)
	})
	if errors.Is(err, modeler.ErrNoAnswer) {
		// A late order sets the clock when the sender is long gone.
		return 0, err
	}
	return clock, err
}

func (jw *JobWorkers) start(wk *jobWorker, order *modeler.StartRequest) error {
	key := runKey{order.Task, order.Run}
	switch {
	case wk.down:
		return modeler.ErrNoAnswer
	case order.Epoch < wk.epoch:
		return modeler.ErrStaleEpoch
	case order.Deadline < wk.clock():
		return modeler.ErrDeadlinePassed
	case wk.running[key] != nil:
		return nil
	case order.Run <= wk.highest[order.Task]:
		return modeler.ErrStaleRun
	}
	wk.epoch = order.Epoch
	rn := &jobRun{behaviour: jw.behave(order.Task), began: time.Now(), since: time.Now(), pace: fullPace}
	if !rn.behaviour.Needs.Fits(jw.room(wk)) {
		return modeler.ErrNoCapacity
	}
	if order.Checkpoint != "" {
		saved, err := time.ParseDuration(order.Checkpoint)
		if err != nil {
			return modeler.ErrRefused
		}
		rn.saved = saved
	}
	wk.lease = max(wk.lease, order.Deadline)
	jw.check(order.Task)
	wk.running[key] = rn
	jw.started[order.Task]++
	jw.schedule(wk, key, rn)
	jw.watchLease(wk)
	return nil
}

func (jw *JobWorkers) room(wk *jobWorker) modeler.Resources {
	room := wk.info.Capacity
	for _, rn := range wk.running {
		room = room.Minus(rn.behaviour.Needs)
	}
	return room
}

// check records a start that must not be.
func (jw *JobWorkers) check(id modeler.TaskID) {
	if jw.done[id] {
		jw.violations = append(jw.violations, fmt.Sprintf("%s started after its end was noted", id))
	}
	for _, wk := range jw.workers {
		for _, en := range wk.ended {
			if en.Task == id && en.Outcome == modeler.Done {
				wk.again[en.Number] = true
			}
		}
		for key := range wk.running {
			if key.task == id {
				jw.violations = append(jw.violations, fmt.Sprintf("%s runs on %s already", id, wk.info.ID))
			}
		}
	}
}

// fullPace is the pace of a run that works at its own speed, in percent.
const fullPace = 100

// speed returns the work that a run does in a unit of time.
func (rn *jobRun) speed(wk *jobWorker) float64 {
	speed := float64(rn.pace) / fullPace
	if wk.slow > 0 {
		speed /= wk.slow
	}
	return speed
}

// worked returns the work that a run has done.
func (rn *jobRun) worked(wk *jobWorker) time.Duration {
	return rn.saved + time.Duration(float64(time.Since(rn.since))*rn.speed(wk))
}

// schedule sets the time of a run's end. Those that are halted have none.
func (jw *JobWorkers) schedule(wk *jobWorker, key runKey, rn *jobRun) {
	if rn.timer != nil {
		rn.timer.Stop()
	}
	speed := rn.speed(wk)
	if rn.behaviour.LongRunning || speed <= 0 {
		return
	}
	left := time.Duration(float64(rn.behaviour.Work-rn.saved) / speed)
	rn.timer = time.AfterFunc(left, func() { jw.complete(wk, key) })
}

func (jw *JobWorkers) complete(wk *jobWorker, key runKey) {
	jw.mu.Lock()
	defer jw.mu.Unlock()
	rn := wk.running[key]
	if rn == nil || jw.workers[wk.info.ID] != wk {
		return
	}
	oc := modeler.Done
	if rn.behaviour.Fails {
		oc = modeler.Failure
	}
	jw.list(wk, key, oc, "")
}

// list ends a run and lists its end.
func (jw *JobWorkers) list(wk *jobWorker, key runKey, oc modeler.Outcome, checkpoint string) {
	if rn := wk.running[key]; rn.timer != nil {
		rn.timer.Stop()
	}
	delete(wk.running, key)
	wk.number++
	wk.highest[key.task] = max(wk.highest[key.task], key.run)
	wk.ended = append(wk.ended, modeler.EndedRun{Number: wk.number, Task: key.task, Run: key.run, Outcome: oc, Checkpoint: checkpoint})
	wk.announce()
}

// checkpoint returns what a stopped run resumes from.
func (jw *JobWorkers) checkpoint(wk *jobWorker, rn *jobRun) string {
	if !rn.behaviour.Checkpoints {
		return ""
	}
	return rn.worked(wk).String()
}

// Stop implements director.WorkerClient.
func (jw *JobWorkers) Stop(ctx context.Context, info *modeler.Worker, task modeler.TaskID, run modeler.Run, epoch modeler.Epoch) error {
	return jw.call(ctx, "Stop", info.ID, func(wk *jobWorker) error {
		if epoch < wk.epoch {
			return modeler.ErrStaleEpoch
		}
		wk.epoch = epoch
		key := runKey{task, run}
		wk.highest[task] = max(wk.highest[task], run)
		rn := wk.running[key]
		if rn == nil || rn.stopped {
			return nil
		}
		rn.stopped = true
		time.AfterFunc(stopTime, func() {
			jw.mu.Lock()
			defer jw.mu.Unlock()
			if wk.running[key] == rn && jw.workers[wk.info.ID] == wk {
				jw.list(wk, key, modeler.Stopped, jw.checkpoint(wk, rn))
			}
		})
		return nil
	})
}

// Pace implements director.WorkerClient.
func (jw *JobWorkers) Pace(ctx context.Context, info *modeler.Worker, task modeler.TaskID, run modeler.Run, percent int, epoch modeler.Epoch) error {
	return jw.call(ctx, "Pace", info.ID, func(wk *jobWorker) error {
		if epoch < wk.epoch {
			return modeler.ErrStaleEpoch
		}
		if rn := wk.running[runKey{task, run}]; rn != nil {
			rn.saved, rn.since = rn.worked(wk), time.Now()
			rn.pace = percent
			jw.schedule(wk, runKey{task, run}, rn)
			if percent == 0 {
				jw.halts++
			}
		}
		return nil
	})
}

// Halts returns how often a run was halted.
func (jw *JobWorkers) Halts() int {
	jw.mu.Lock()
	defer jw.mu.Unlock()
	return jw.halts
}

// Renew implements director.WorkerClient.
func (jw *JobWorkers) Renew(ctx context.Context, info *modeler.Worker, order *modeler.RenewRequest) (modeler.Report, error) {
	var rep modeler.Report
	var changed chan struct{}
	err := jw.call(ctx, "Renew", info.ID, func(wk *jobWorker) error {
		if order.Epoch < wk.epoch {
			return modeler.ErrStaleEpoch
		}
		wk.epoch = order.Epoch
		wk.lease = max(wk.lease, order.Deadline)
		jw.watchLease(wk)
		jw.forget(wk, order.AckedEnd)
		if changed = wk.changed; len(wk.ended) > 0 {
			changed = nil
		}
		rep = jw.report(wk)
		return nil
	})
	if err != nil {
		// A late order sets the report when the sender is long gone.
		return modeler.Report{}, err
	}
	if changed == nil || order.MaxWait <= 0 {
		return rep, nil
	}
	select {
	case <-ctx.Done():
		return rep, modeler.ErrNoAnswer
	case <-changed:
	case <-time.After(order.MaxWait):
	}
	jw.mu.Lock()
	defer jw.mu.Unlock()
	wk := jw.workers[info.ID]
	if wk.cut || wk.down {
		return rep, modeler.ErrNoAnswer
	}
	return jw.report(wk), nil
}

// forget drops the ends that are noted.
func (jw *JobWorkers) forget(wk *jobWorker, noted int64) {
	for len(wk.ended) > 0 && wk.ended[0].Number <= noted {
		if en := wk.ended[0]; en.Outcome == modeler.Done {
			if wk.again[en.Number] && en.Number > wk.lapsed {
				jw.violations = append(jw.violations, fmt.Sprintf("%s started again after it was done on %s", en.Task, wk.info.ID))
			}
			jw.done[en.Task] = true
		}
		wk.ended = wk.ended[1:]
	}
}

func (jw *JobWorkers) report(wk *jobWorker) modeler.Report {
	rep := modeler.Report{Clock: wk.clock(), Incarnation: wk.born, Ended: slices.Clone(wk.ended)}
	var tasks []modeler.TaskID
	for key, rn := range wk.running {
		if rn.pace > 0 {
			tasks = append(tasks, key.task)
		}
	}
	for key, rn := range wk.running {
		rep.Running = append(rep.Running, jw.row(wk, key, rn, tasks))
	}
	return rep
}

func (jw *JobWorkers) row(wk *jobWorker, key runKey, rn *jobRun, tasks []modeler.TaskID) modeler.ActiveRun {
	row := modeler.ActiveRun{Task: key.task, Run: key.run, Measure: (rn.behaviour.Needs.MilliCores + rn.behaviour.Uses) * int64(rn.pace) / fullPace}
	age := time.Since(rn.began)
	switch {
	case rn.behaviour.LongRunning && age >= startupTime:
		row.Progress = 100
	case rn.behaviour.LongRunning:
		row.Progress = int(age * 100 / startupTime)
	default:
		whole := rn.behaviour.Work
		row.Progress = int(rn.worked(wk) * 100 / max(whole, 1))
	}
	if rn.behaviour.Tail != nil {
		row.Measure = rn.behaviour.Tail(tasks).Milliseconds()
	}
	return row
}

// watchLease ends everything on the worker when its lease is over.
func (jw *JobWorkers) watchLease(wk *jobWorker) {
	lease := wk.lease
	time.AfterFunc(lease-wk.clock(), func() {
		jw.mu.Lock()
		defer jw.mu.Unlock()
		if wk.lease != lease || jw.workers[wk.info.ID] != wk {
			return
		}
		wk.lapsed = wk.number
		for key, rn := range wk.running {
			jw.list(wk, key, modeler.LeaseExpired, jw.checkpoint(wk, rn))
		}
	})
}
