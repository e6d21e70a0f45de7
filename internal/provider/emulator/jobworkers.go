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

// TaskBehaviour sets how the runs of a task behave.
type TaskBehaviour struct {
	// RunTime is the run time from the beginning, without interference.
	RunTime time.Duration
	// Fails makes the run fail after RunTime.
	Fails bool
	// LongRunning makes the run continue until it is stopped, unless it fails.
	LongRunning bool
	// Checkpoints makes a stopped run report a checkpoint that the next run resumes from.
	Checkpoints bool
	// ListsCheckpoints makes a run with Checkpoints also list them while it is active.
	ListsCheckpoints bool
	// Speculative allows copies of the run beside it and after its end.
	Speculative bool
	// Reservation is the reservation of the run.
	Reservation modeler.Resources
	// UnreservedMilliCores is what a run uses without reserving it, in thousandths of a core.
	UnreservedMilliCores int64
	// TailLatency returns the tail latency of a latency-critical task, given the runs on its worker that
	// are not halted. It is nil for other tasks.
	TailLatency func(neighbours []modeler.TaskID) time.Duration
}

// JobWorkers emulates the workers that run callers' jobs. They refuse requests whose deadline has
// passed or whose run or fencing token is stale, report ended runs until these are acknowledged, and record
// violations of the scheduler's guarantees. It is safe for concurrent use.
type JobWorkers struct {
	// LongestLease is the longest lease that workers accept. They shorten longer ones. It is zero for no limit, and not
	// changed after the first request.
	LongestLease time.Duration

	faults *Faults
	// behaviourOf returns the behaviour of the runs of a task.
	behaviourOf func(modeler.TaskID) TaskBehaviour

	mu      sync.Mutex
	workers map[modeler.WorkerID]*jobWorker
	// ackedDone holds the tasks of which a successful end was acknowledged.
	ackedDone map[modeler.TaskID]bool
	// starts counts the starts of each task. lastStarts holds when a start was last carried out on each worker.
	starts     map[modeler.TaskID]int
	lastStarts map[modeler.WorkerID]time.Time
	violations []string
	// halts counts the requests that halted a run.
	halts int
}

// jobWorker is one emulated worker. All fields are guarded by JobWorkers.mu.
type jobWorker struct {
	info        modeler.Worker
	incarnation int64
	// clockStart is the time at which the worker's clock showed zero.
	clockStart time.Time
	// fence is the highest fencing token of any start, stop or renewal.
	fence modeler.Fence
	// lease is the time of the worker's clock at which its lease expires.
	lease   time.Duration
	running map[runKey]*jobRun
	// ended holds the ends that were not acknowledged, the oldest first.
	ended []modeler.EndedRun
	// lastEnd is the number of the last end.
	lastEnd int64
	// restartedEnds holds the numbers of unacknowledged ends of done tasks that were started again. It
	// is a violation if such an end is acknowledged later.
	restartedEnds map[int64]bool
	// lastExpiredEnd is the number of the last end when a lease last expired. Tasks with ends up to
	// it may be started again.
	lastExpiredEnd int64
	// highestRun holds the highest run of each task that ended or was requested to stop.
	highestRun map[modeler.TaskID]modeler.Run
	// changed is closed and replaced when a run ends or the runs are dropped.
	changed chan struct{}
	// slowdown is the factor by which runs take longer, zero for none.
	slowdown    float64
	unreachable bool
	crashed     bool
}

type runKey struct {
	task modeler.TaskID
	run  modeler.Run
}

type jobRun struct {
	behaviour TaskBehaviour
	started   time.Time
	// workBefore is the work that was done until paceSince, when the pace last changed.
	workBefore time.Duration
	paceSince  time.Time
	stopping   bool
	pace       int
	timer      *time.Timer
}

// stopDuration is how long a worker takes to stop a run.
const stopDuration = 100 * time.Millisecond

// startupDuration is the time until a long-running task reports full progress.
const startupDuration = 400 * time.Millisecond

// NewJobWorkers returns an emulation without workers. The faults may be nil.
func NewJobWorkers(fts *Faults, behaviourOf func(modeler.TaskID) TaskBehaviour) *JobWorkers {
	if fts == nil {
		fts = new(Faults)
	}
	return &JobWorkers{
		faults: fts, behaviourOf: behaviourOf, workers: map[modeler.WorkerID]*jobWorker{},
		ackedDone: map[modeler.TaskID]bool{}, starts: map[modeler.TaskID]int{}, lastStarts: map[modeler.WorkerID]time.Time{},
	}
}

// Add adds a worker, or restarts one as a new incarnation.
func (jw *JobWorkers) Add(info modeler.Worker) modeler.Worker {
	jw.mu.Lock()
	defer jw.mu.Unlock()
	if old := jw.workers[info.ID]; old != nil {
		jw.dropRuns(old)
	}
	info.Incarnation = time.Now().UnixMilli()
	jw.workers[info.ID] = &jobWorker{
		info: info, incarnation: info.Incarnation, clockStart: time.Now(), running: map[runKey]*jobRun{},
		highestRun: map[modeler.TaskID]modeler.Run{}, restartedEnds: map[int64]bool{}, changed: make(chan struct{}),
	}
	return info
}

// SetIncarnation sets the incarnation that a worker reports, and returns the worker.
func (jw *JobWorkers) SetIncarnation(id modeler.WorkerID, incarnation int64) modeler.Worker {
	jw.mu.Lock()
	defer jw.mu.Unlock()
	wk := jw.workers[id]
	wk.incarnation, wk.info.Incarnation = incarnation, incarnation
	return wk.info
}

// dropRuns removes all runs of a worker without reporting their ends, as a crash does.
func (jw *JobWorkers) dropRuns(wk *jobWorker) {
	for _, rn := range wk.running {
		if rn.timer != nil {
			rn.timer.Stop()
		}
	}
	wk.running = map[runKey]*jobRun{}
	wk.notifyChange()
}

// Crash makes a worker unreachable and drops its runs. It stays down until it is added again.
func (jw *JobWorkers) Crash(id modeler.WorkerID) {
	jw.mu.Lock()
	defer jw.mu.Unlock()
	jw.dropRuns(jw.workers[id])
	jw.workers[id].crashed = true
}

// SetUnreachable makes a worker unreachable, or reachable again. Its runs continue.
func (jw *JobWorkers) SetUnreachable(id modeler.WorkerID, unreachable bool) {
	jw.mu.Lock()
	defer jw.mu.Unlock()
	jw.workers[id].unreachable = unreachable
}

// SetSlowdown sets the factor by which the runs that start on a worker from now on take longer.
func (jw *JobWorkers) SetSlowdown(id modeler.WorkerID, factor float64) {
	jw.mu.Lock()
	defer jw.mu.Unlock()
	jw.workers[id].slowdown = factor
}

// Violations describes each start of a task that still ran or whose end was acknowledged.
func (jw *JobWorkers) Violations() []string {
	jw.mu.Lock()
	defer jw.mu.Unlock()
	return slices.Clone(jw.violations)
}

// StartCount returns how often a task was started.
func (jw *JobWorkers) StartCount(id modeler.TaskID) int {
	jw.mu.Lock()
	defer jw.mu.Unlock()
	return jw.starts[id]
}

// LastStart returns when a start was last carried out on a worker, zero if none was.
func (jw *JobWorkers) LastStart(id modeler.WorkerID) time.Time {
	jw.mu.Lock()
	defer jw.mu.Unlock()
	return jw.lastStarts[id]
}

// WorkerOf returns the worker that runs a task, or an empty ID.
func (jw *JobWorkers) WorkerOf(id modeler.TaskID) modeler.WorkerID {
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

// WorkerState is what a worker holds, for checks of the scheduler's guarantees.
type WorkerState struct {
	ID modeler.WorkerID
	// Free is the capacity less the reservations of its runs.
	Free modeler.Resources
	// Tasks are the tasks that run there.
	Tasks []modeler.TaskID
}

// States returns the state of all workers that can be reached.
func (jw *JobWorkers) States() []WorkerState {
	jw.mu.Lock()
	defer jw.mu.Unlock()
	var list []WorkerState
	for id, wk := range jw.workers {
		if wk.unreachable || wk.crashed {
			continue
		}
		ws := WorkerState{ID: id, Free: jw.freeCapacity(wk)}
		for key := range wk.running {
			ws.Tasks = append(ws.Tasks, key.task)
		}
		list = append(list, ws)
	}
	return list
}

func (wk *jobWorker) notifyChange() {
	close(wk.changed)
	wk.changed = make(chan struct{})
}

func (wk *jobWorker) clock() time.Duration { return time.Since(wk.clockStart) }

// call executes one request under the faults. A late request is executed although its sender gets
// no answer, unless the worker has been restarted since.
func (jw *JobWorkers) call(ctx context.Context, operation string, id modeler.WorkerID, execute func(*jobWorker) error) error {
	if ctx.Err() != nil {
		return modeler.ErrNotSent
	}
	jw.mu.Lock()
	wk := jw.workers[id]
	unreachable := wk == nil || wk.unreachable || wk.crashed
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
		runAfter(sw.Delay, func() { _ = run() })
	}
	<-ctx.Done()
	return modeler.ErrNoAnswer
}

// Start implements director.WorkerClient.
func (jw *JobWorkers) Start(ctx context.Context, info *modeler.Worker, req *modeler.StartRequest) (time.Duration, error) {
	var clock time.Duration
	err := jw.call(ctx, "Start", info.ID, func(wk *jobWorker) error {
		clock = wk.clock()
		return jw.start(wk, req)
	})
	if errors.Is(err, modeler.ErrNoAnswer) {
		// A late request may set the clock after the sender has returned.
		return 0, err
	}
	return clock, err
}

func (jw *JobWorkers) start(wk *jobWorker, req *modeler.StartRequest) error {
	key := runKey{req.Task, req.Run}
	switch {
	case wk.crashed:
		return modeler.ErrNoAnswer
	case req.Fence < wk.fence:
		return modeler.ErrStaleFence
	case req.Deadline < wk.clock():
		return modeler.ErrDeadlinePassed
	case wk.running[key] != nil:
		return nil
	case req.Run <= wk.highestRun[req.Task]:
		return modeler.ErrStaleRun
	}
	wk.fence = req.Fence
	rn := &jobRun{behaviour: jw.behaviourOf(req.Task), started: time.Now(), paceSince: time.Now(), pace: fullPace}
	if !rn.behaviour.Reservation.Fits(jw.freeCapacity(wk)) {
		return modeler.ErrNoCapacity
	}
	if req.Checkpoint != "" {
		done, err := time.ParseDuration(req.Checkpoint)
		if err != nil {
			return modeler.ErrRefused
		}
		rn.workBefore = done
	}
	jw.checkStart(req.Task)
	wk.running[key] = rn
	jw.starts[req.Task]++
	jw.lastStarts[wk.info.ID] = time.Now()
	jw.scheduleEnd(wk, key, rn)
	jw.extendLease(wk, req.Deadline)
	return nil
}

func (jw *JobWorkers) freeCapacity(wk *jobWorker) modeler.Resources {
	free := wk.info.Capacity
	for _, rn := range wk.running {
		free = free.Minus(rn.behaviour.Reservation)
	}
	return free
}

// checkStart records a violation when the task still runs or its end was acknowledged, and marks
// its unacknowledged ends.
func (jw *JobWorkers) checkStart(id modeler.TaskID) {
	copies := jw.behaviourOf(id).Speculative
	if jw.ackedDone[id] && !copies {
		jw.violations = append(jw.violations, fmt.Sprintf("%s started after its end was acknowledged", id))
	}
	for _, wk := range jw.workers {
		for _, en := range wk.ended {
			if en.Task == id && en.Outcome == modeler.Done {
				wk.restartedEnds[en.Number] = true
			}
		}
		for key := range wk.running {
			if key.task == id && !copies {
				jw.violations = append(jw.violations, fmt.Sprintf("%s started while it runs on %s", id, wk.info.ID))
			}
		}
	}
}

// fullPace is the pace of a run that is not slowed down, in percent.
const fullPace = 100

// speed returns the work that a run does per unit of time.
func (rn *jobRun) speed(wk *jobWorker) float64 {
	speed := float64(rn.pace) / fullPace
	if wk.slowdown > 0 {
		speed /= wk.slowdown
	}
	return speed
}

// workDone returns the work that a run has done.
func (rn *jobRun) workDone(wk *jobWorker) time.Duration {
	return rn.workBefore + time.Duration(float64(time.Since(rn.paceSince))*rn.speed(wk))
}

// scheduleEnd sets the timer of a run's end. Long-running and halted runs have none.
func (jw *JobWorkers) scheduleEnd(wk *jobWorker, key runKey, rn *jobRun) {
	if rn.timer != nil {
		rn.timer.Stop()
	}
	speed := rn.speed(wk)
	if rn.behaviour.LongRunning && !rn.behaviour.Fails || speed <= 0 {
		return
	}
	left := time.Duration(float64(rn.behaviour.RunTime-rn.workBefore) / speed)
	rn.timer = runAfter(left, func() { jw.complete(wk, key) })
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
	jw.endRun(wk, key, oc, "")
}

// endRun ends a run and reports its end until it is acknowledged.
func (jw *JobWorkers) endRun(wk *jobWorker, key runKey, oc modeler.Outcome, checkpoint string) {
	if rn := wk.running[key]; rn.timer != nil {
		rn.timer.Stop()
	}
	delete(wk.running, key)
	wk.lastEnd++
	wk.highestRun[key.task] = max(wk.highestRun[key.task], key.run)
	wk.ended = append(wk.ended, modeler.EndedRun{Number: wk.lastEnd, Task: key.task, Run: key.run, Outcome: oc, Checkpoint: checkpoint})
	wk.notifyChange()
}

// checkpoint returns the checkpoint of a run, empty if its task has none. Its name is the work done,
// so that workers need no common storage.
func (jw *JobWorkers) checkpoint(wk *jobWorker, rn *jobRun) string {
	if !rn.behaviour.Checkpoints {
		return ""
	}
	return rn.workDone(wk).String()
}

// Stop implements director.WorkerClient.
func (jw *JobWorkers) Stop(ctx context.Context, info *modeler.Worker, task modeler.TaskID, run modeler.Run, fence modeler.Fence) error {
	return jw.call(ctx, "Stop", info.ID, func(wk *jobWorker) error {
		if fence < wk.fence {
			return modeler.ErrStaleFence
		}
		wk.fence = fence
		key := runKey{task, run}
		wk.highestRun[task] = max(wk.highestRun[task], run)
		rn := wk.running[key]
		if rn == nil || rn.stopping {
			return nil
		}
		rn.stopping = true
		runAfter(stopDuration, func() {
			jw.mu.Lock()
			defer jw.mu.Unlock()
			if wk.running[key] == rn && jw.workers[wk.info.ID] == wk {
				jw.endRun(wk, key, modeler.Stopped, jw.checkpoint(wk, rn))
			}
		})
		return nil
	})
}

// Pace implements director.WorkerClient.
func (jw *JobWorkers) Pace(ctx context.Context, info *modeler.Worker, task modeler.TaskID, run modeler.Run, percent int, fence modeler.Fence) error {
	return jw.call(ctx, "Pace", info.ID, func(wk *jobWorker) error {
		if fence < wk.fence {
			return modeler.ErrStaleFence
		}
		if rn := wk.running[runKey{task, run}]; rn != nil {
			rn.workBefore, rn.paceSince = rn.workDone(wk), time.Now()
			rn.pace = percent
			jw.scheduleEnd(wk, runKey{task, run}, rn)
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
func (jw *JobWorkers) Renew(ctx context.Context, info *modeler.Worker, req *modeler.RenewRequest) (modeler.Report, error) {
	var rep modeler.Report
	var changed chan struct{}
	err := jw.call(ctx, "Renew", info.ID, func(wk *jobWorker) error {
		if req.Fence < wk.fence {
			return modeler.ErrStaleFence
		}
		wk.fence = req.Fence
		jw.extendLease(wk, req.Deadline)
		jw.dropAckedEnds(wk, req.AckedEnd)
		if changed = wk.changed; len(wk.ended) > 0 {
			changed = nil
		}
		rep = jw.report(wk)
		return nil
	})
	if err != nil {
		// A late request may set the report after the sender has returned.
		return modeler.Report{}, err
	}
	if changed == nil || req.MaxWait <= 0 {
		return rep, nil
	}
	select {
	case <-ctx.Done():
		return rep, modeler.ErrNoAnswer
	case <-changed:
	case <-time.After(req.MaxWait):
	}
	jw.mu.Lock()
	defer jw.mu.Unlock()
	wk := jw.workers[info.ID]
	if wk.unreachable || wk.crashed {
		return rep, modeler.ErrNoAnswer
	}
	return jw.report(wk), nil
}

// dropAckedEnds drops the ends up to the acknowledged number.
func (jw *JobWorkers) dropAckedEnds(wk *jobWorker, acked int64) {
	for len(wk.ended) > 0 && wk.ended[0].Number <= acked {
		if en := wk.ended[0]; en.Outcome == modeler.Done {
			if wk.restartedEnds[en.Number] && en.Number > wk.lastExpiredEnd {
				jw.violations = append(jw.violations, fmt.Sprintf("%s started again before its end on %s was acknowledged", en.Task, wk.info.ID))
			}
			jw.ackedDone[en.Task] = true
		}
		wk.ended = wk.ended[1:]
	}
}

func (jw *JobWorkers) report(wk *jobWorker) modeler.Report {
	rep := modeler.Report{Clock: wk.clock(), Incarnation: wk.incarnation, Ended: slices.Clone(wk.ended)}
	var tasks []modeler.TaskID
	for key, rn := range wk.running {
		if rn.pace > 0 {
			tasks = append(tasks, key.task)
		}
	}
	for key, rn := range wk.running {
		rep.Running = append(rep.Running, jw.activeRun(wk, key, rn, tasks))
	}
	return rep
}

func (jw *JobWorkers) activeRun(wk *jobWorker, key runKey, rn *jobRun, tasks []modeler.TaskID) modeler.ActiveRun {
	ar := modeler.ActiveRun{Task: key.task, Run: key.run, Measure: (rn.behaviour.Reservation.MilliCores + rn.behaviour.UnreservedMilliCores) * int64(rn.pace) / fullPace}
	if rn.behaviour.ListsCheckpoints {
		ar.Checkpoint = jw.checkpoint(wk, rn)
	}
	age := time.Since(rn.started)
	switch {
	case rn.behaviour.LongRunning && age >= startupDuration:
		ar.Progress = 100
	case rn.behaviour.LongRunning:
		ar.Progress = int(age * 100 / startupDuration)
	default:
		total := rn.behaviour.RunTime
		ar.Progress = int(rn.workDone(wk) * 100 / max(total, 1))
	}
	if rn.behaviour.TailLatency != nil {
		ar.Measure = rn.behaviour.TailLatency(tasks).Milliseconds()
	}
	return ar
}

// extendLease extends a worker's lease to a time of its clock, or as far as it accepts.
func (jw *JobWorkers) extendLease(wk *jobWorker, deadline time.Duration) {
	if jw.LongestLease > 0 {
		deadline = min(deadline, wk.clock()+jw.LongestLease)
	}
	wk.lease = max(wk.lease, deadline)
	jw.scheduleLeaseExpiry(wk)
}

// scheduleLeaseExpiry ends the runs on a worker when its lease expires, unless it is extended.
func (jw *JobWorkers) scheduleLeaseExpiry(wk *jobWorker) {
	lease := wk.lease
	runAfter(lease-wk.clock(), func() {
		jw.mu.Lock()
		defer jw.mu.Unlock()
		if wk.lease != lease || jw.workers[wk.info.ID] != wk {
			return
		}
		wk.lastExpiredEnd = wk.lastEnd
		for key, rn := range wk.running {
			jw.endRun(wk, key, modeler.LeaseExpired, jw.checkpoint(wk, rn))
		}
	})
}
