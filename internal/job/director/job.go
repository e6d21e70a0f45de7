package director

import (
	"cmp"
	"slices"
	"time"

	"github.com/currantrouter/currantrouter/internal/job/appraiser"
	"github.com/currantrouter/currantrouter/internal/job/keeper"
	"github.com/currantrouter/currantrouter/internal/job/modeler"
	"github.com/currantrouter/currantrouter/internal/job/ranker"
	"github.com/currantrouter/currantrouter/internal/telemetry/logger"
	"github.com/currantrouter/currantrouter/internal/telemetry/meter"
)

// job is a stored job and its state in this term.
type job struct {
	// queue is what Director.queue returns for the configuration queueOf. The queues of a configuration in force do
	// not change.
	queue   *modeler.Queue
	queueOf *modeler.Configuration
	modeler.Job
	// inherited jobs were stored before this term, so an earlier leader may have started their tasks.
	inherited bool
	// confirmed is set once this host is known to have led after the job was added. Tasks start
	// only then.
	confirmed bool
	// cancellationUnknown is set if the job's cancellation may have come before the job and not been
	// kept. It is read from the store before confirmed is set.
	cancellationUnknown bool
	// addedAt is when the job was added. Unlike Submitted, it does not depend on another host's clock.
	addedAt time.Time
	// started is set once a task of the job is known to have started.
	started bool
	// finalState is how the job ended, empty before that is decided. It is reported to callers only
	// once durable is set.
	finalState modeler.State
	durable    bool
	// endedAt is when the job ended, or was found to have been cancelled.
	endedAt time.Time
	// activeRuns is the number of attempts of all tasks.
	activeRuns int
	// lastRunEnd is when a run was last known to go on that has ended since.
	lastRunEnd time.Time
	// cancellation is zero until this term has heard of one.
	cancellation cancellation
	// occurrences holds the released occurrences: those that are due. It is empty once the tasks
	// are freed, see freeTasks.
	occurrences []*occurrence
	stall       jobStall
	// unfinishedOccurrences is the number of released occurrences with steps that are not done.
	unfinishedOccurrences int
}

// occurrence is one repetition of a job's steps.
type occurrence struct {
	job   *job
	index int
	due   time.Time
	steps []*step
	// unfinishedSteps is the number of steps that are not done.
	unfinishedSteps int
	// judged is set once judge has recorded whether the occurrence was served.
	judged bool
	// vainPromotions is the number of promotions that timed out since the last that placed a task, and
	// notPromotedBefore when the occurrence may be promoted again.
	vainPromotions    int
	notPromotedBefore time.Time
}

// step is a step of one occurrence.
type step struct {
	occ   *occurrence
	index int
	spec  *modeler.Step
	// tasks are all tasks of the step, by index.
	tasks []*task
	// waiting holds the queued tasks, turn what placement rounds found for them.
	waiting []*task
	turn    turn
	// siblings is what listSiblings returned at siblingsAt.
	siblings   []sibling
	siblingsAt time.Time
	// starvedAttemptAt is when a round last tried to place a starved task of the step.
	starvedAttemptAt time.Time
	// done is the number of tasks that are done. Tasks of long-running steps never are.
	done int
	// unfinishedPredecessors is the number of steps that have to be done first and are not.
	unfinishedPredecessors int
	successors             []*step
	// perWorker counts the active runs on each worker.
	perWorker map[modeler.WorkerID]int
	// runTimes holds run times of ended tasks, to which those of active runs are compared.
	runTimes []time.Duration
	// permits is nil until the step needs permissions of the policy service.
	permits *permits
	// gangRun is the run number of the active gang, zero for none.
	gangRun modeler.Run
	// remaining is the expected time from the start of this step to the end of the occurrence.
	remaining time.Duration
}

// task is one task of a step.
type task struct {
	step  *step
	index int
	done  bool
	// queued is set while the task is in its step's waiting list.
	queued  bool
	lastRun modeler.Run
	// failures holds the runs that failed, each once, and failedOn their workers, by the same index. A worker
	// is empty if it is not known.
	failures   []modeler.Run
	failedOn   []modeler.WorkerID
	checkpoint string
	// checkpointRun is the run that a worker listed with the checkpoint last, zero if none did in this term.
	checkpointRun modeler.Run
	// checkpointUnsaved is set while the task is queued in unsavedCheckpoints.
	checkpointUnsaved bool
	// savedShare is the share of the task's work that the checkpoint holds, 0 to 1, from the
	// progress reported with it.
	savedShare float64
	// attempts holds the runs that may be active.
	attempts []*attempt
	// avoid holds workers on which the task failed, at which a start of a long-running task failed, or from
	// which moveRun moved it because its run was stalled or slow, the worker was draining or quarantined, or
	// the run interfered with a latency-critical task. The newest is last.
	avoid []modeler.WorkerID
	// mayHaveUnknownRun is set until this term starts the task or sees a run of it: an earlier
	// leader may have started a run that this one does not know of. The end of an earlier run does
	// not clear it, as the next run may have been started on another worker.
	mayHaveUnknownRun bool
	// runsBeforeAdopted is the number of runs that earlier leaders may have started before the one that this term took
	// over. Their ends may be listed by workers that have not reported yet.
	runsBeforeAdopted int
	// unexpected holds the runs of the task that workers were asked to stop as this term does not want them.
	unexpected []unexpectedRun
	// placedRun and placedOn are the newest run of a long-running task that was recorded before its
	// start, and its worker.
	placedRun modeler.Run
	placedOn  modeler.WorkerID
	// notBefore is when the task is due, or delays the next start after a refusal.
	notBefore time.Time
	// rejections counts the starts in a row that workers have rejected.
	rejections int
	// moves counts the calls of moveRun for the task, also those that kept the run because its step
	// allows speculative copies.
	moves int
	// heldOn is the worker that was last held for the task while it was overdue, see holdForOverdue.
	heldOn modeler.WorkerID
	// lastActive is when the last run ended.
	lastActive time.Time
	wait       waitState
}

const (
	// maxAvoidedWorkers bounds the workers that a task avoids.
	maxAvoidedWorkers = 4
	// maxClockStep bounds how far the clock of an earlier leader is taken to be ahead.
	maxClockStep = 20 * time.Second
	// maxRunTimes bounds the run times that a step keeps.
	maxRunTimes = 33
)

func (tk *task) id() modeler.TaskID {
	return modeler.TaskID{Job: tk.step.occ.job.ID, Occurrence: tk.step.occ.index, Step: tk.step.index, Index: tk.index}
}

func (tk *task) avoidWorker(id modeler.WorkerID) {
	tk.avoid = append(tk.avoid, id)
	if len(tk.avoid) > maxAvoidedWorkers {
		tk.avoid = tk.avoid[1:]
	}
}

// avoidAfterFailedStart makes a long-running task avoid a worker that may answer renewals but not starts. It would remain
// the best one for the task.
func (tk *task) avoidAfterFailedStart(id modeler.WorkerID) {
	if tk.step.spec.LongRunning && !slices.Contains(tk.avoid, id) {
		tk.avoidWorker(id)
	}
}

// AddJob adds a stored job. A job that has been added before stays as it is. An inherited job may
// have been stored before the term, as every job that is added before all stored jobs are loaded.
func (dr *Director) AddJob(stored *modeler.Job, inherited bool) {
	dr.mu.Lock()
	defer dr.mu.Unlock()
	select {
	case <-dr.loaded:
	default:
		inherited = true
	}
	dr.addJob(stored, inherited)
	dr.wakeDispatch()
}

func (dr *Director) addJob(stored *modeler.Job, inherited bool) *job {
	if jb := dr.jobs[stored.ID]; jb != nil {
		return jb
	}
	if _, unread := dr.unreadJobs[stored.ID]; unread {
		// A worker runs a task of the job, so that an earlier leader has started it.
		inherited = true
	}
	jb := &job{Job: *stored, inherited: inherited, addedAt: time.Now()}
	dr.jobs[jb.ID] = jb
	jb.cancellationUnknown = dr.mayHaveDroppedCancellation(time.Now())
	dr.unconfirmed = append(dr.unconfirmed, jb)
	signal(dr.confirmWake)
	facts := dr.pendingFacts[jb.ID]
	delete(dr.pendingFacts, jb.ID)
	now := time.Now()
	dr.releaseOccurrences(jb, now)
	for _, ft := range facts {
		dr.applyFact(jb, ft, now)
	}
	dr.cancelPending(jb, now)
	dr.resolveRows(jb.ID, now)
	if !inherited {
		dr.log(logger.JobTakenOver, "Job", jb.ID, "Queue", jb.Queue, "Steps", len(jb.Steps), "Age", now.Sub(jb.Submitted).String())
	}
	return jb
}

// applyFact applies a fact of an earlier term to its job.
func (dr *Director) applyFact(jb *job, ft keeper.Fact, now time.Time) {
	if ft.JobEnd != nil && ft.JobEnd.State == modeler.Cancelled {
		jb.endedAt = dr.recordTime(ft.JobEnd.Clock, now)
		return
	}
	if ft.JobEnd != nil {
		dr.endJob(jb, ft.JobEnd.State, dr.recordTime(ft.JobEnd.Clock, now))
		jb.durable = true
		jb.freeTasks()
		return
	}
	name, _ := ft.TaskName()
	id, err := modeler.ParseTaskID(name)
	if err != nil {
		dr.invalid.Report(logger.FactDamaged, meter.EntriesInvalid, "journal", err, "Job", jb.ID)
		return
	}
	tk := dr.startedTask(jb, id, now.Add(maxClockStep))
	switch {
	case tk == nil:
	case ft.Placed != nil && dr.possibleRun(ft.Placed.Run):
		tk.recordPlacement(ft.Placed.Run, ft.Placed.Worker)
	case ft.RunEnd != nil && dr.possibleRun(ft.RunEnd.Run):
		if dr.applyRunEnd(tk, ft.RunEnd) && ft.RunEnd.Worker != "" {
			tk.avoidWorker(ft.RunEnd.Worker)
		}
	}
}

// recordPlacement notes a start that is recorded in the journal before it is sent.
func (tk *task) recordPlacement(run modeler.Run, on modeler.WorkerID) {
	if run >= tk.placedRun {
		tk.placedRun, tk.placedOn = run, on
	}
	tk.lastRun = max(tk.lastRun, run)
}

// task returns a task of a released occurrence, or nil.
func (jb *job) task(id modeler.TaskID) *task {
	if id.Occurrence >= len(jb.occurrences) || id.Step >= len(jb.Steps) || id.Index >= jb.Steps[id.Step].Count {
		return nil
	}
	return jb.occurrences[id.Occurrence].steps[id.Step].tasks[id.Index]
}

// releaseOccurrences creates the occurrences that have become due, and queues the tasks of their
// first steps.
func (dr *Director) releaseOccurrences(jb *job, now time.Time) {
	for jb.finalState == "" && len(jb.occurrences) < jb.Occurrences() && !now.Before(jb.Due(len(jb.occurrences))) {
		dr.releaseNext(jb)
	}
}

// releaseNext creates the next occurrence. Its tasks start when it is due at the earliest.
func (dr *Director) releaseNext(jb *job) {
	oc := newOccurrence(jb, len(jb.occurrences))
	jb.occurrences = append(jb.occurrences, oc)
	jb.unfinishedOccurrences++
	for _, sp := range oc.steps {
		if sp.unfinishedPredecessors == 0 {
			dr.enqueueStep(sp)
		}
	}
}

// startedTask returns a task that an earlier leader has started, or nil. It creates the task's
// occurrence if that is due only by the clock of the earlier leader, up to a time after now.
func (dr *Director) startedTask(jb *job, id modeler.TaskID, latest time.Time) *task {
	for jb.finalState == "" && len(jb.occurrences) <= id.Occurrence && len(jb.occurrences) < jb.Occurrences() && !latest.Before(jb.Due(len(jb.occurrences))) {
		dr.releaseNext(jb)
	}
	return jb.task(id)
}

func newOccurrence(jb *job, index int) *occurrence {
	oc := &occurrence{job: jb, index: index, due: jb.Due(index), unfinishedSteps: len(jb.Steps)}
	if oc.due.IsZero() {
		oc.due = jb.Submitted
	}
	for no := range jb.Steps {
		sp := &step{occ: oc, index: no, spec: &jb.Steps[no], unfinishedPredecessors: len(jb.Steps[no].After), perWorker: map[modeler.WorkerID]int{}}
		sp.tasks = make([]*task, sp.spec.Count)
		for ix := range sp.tasks {
			sp.tasks[ix] = &task{step: sp, index: ix, mayHaveUnknownRun: jb.inherited, notBefore: jb.Due(index)}
		}
		oc.steps = append(oc.steps, sp)
		for _, pred := range sp.spec.After {
			oc.steps[pred].successors = append(oc.steps[pred].successors, sp)
		}
	}
	for _, sp := range slices.Backward(oc.steps) {
		for _, next := range sp.successors {
			sp.remaining = max(sp.remaining, next.remaining)
		}
		sp.remaining += sp.spec.Estimate
	}
	return oc
}

// enqueueStep queues all tasks of a step that are not done and have no run.
func (dr *Director) enqueueStep(sp *step) {
	for _, tk := range sp.tasks {
		if !tk.done && len(tk.attempts) == 0 {
			dr.enqueue(tk)
		}
	}
}

func (dr *Director) enqueue(tk *task) {
	sp := tk.step
	if tk.done || tk.queued || sp.unfinishedPredecessors > 0 || sp.occ.job.finalState != "" {
		return
	}
	tk.queued = true
	if tk.wait.since.IsZero() {
		tk.wait.since = time.Now()
	}
	sp.waiting = append(sp.waiting, tk)
	dr.waitingSteps[sp] = struct{}{}
}

// dequeue removes a task from the queue.
func (dr *Director) dequeue(tk *task) {
	if !tk.queued {
		return
	}
	tk.queued = false
	sp := tk.step
	ix := slices.Index(sp.waiting, tk)
	sp.waiting = slices.Delete(sp.waiting, ix, ix+1)
	if len(sp.waiting) == 0 {
		delete(dr.waitingSteps, sp)
	}
}

// moveToFront rotates the waiting tasks so that the next round begins with the task.
func (sp *step) moveToFront(tk *task) {
	if ix := slices.Index(sp.waiting, tk); ix > 0 {
		sp.waiting = slices.Concat(sp.waiting[ix:], sp.waiting[:ix])
	}
}

// applyRunEnd applies the end of a run to its task and reports whether the end has to be recorded.
func (dr *Director) applyRunEnd(tk *task, end *keeper.RunEndFact) bool {
	sp := tk.step
	tk.lastRun = max(tk.lastRun, end.Run)
	sp.occ.job.started = true
	if tk.done || sp.occ.job.finalState != "" {
		return false
	}
	changed := false
	if end.Checkpoint != "" && end.Checkpoint != tk.checkpoint {
		tk.checkpoint, changed = end.Checkpoint, true
	}
	switch {
	case sp.spec.LongRunning:
	case end.Outcome == modeler.Done:
		dr.markDone(tk)
		return true
	case end.Outcome == modeler.Failure && !slices.Contains(tk.failures, end.Run):
		tk.failures, tk.failedOn = append(tk.failures, end.Run), append(tk.failedOn, end.Worker)
		return true
	}
	return changed
}

// markDone marks a task as done, or all tasks of its gang, and queues the tasks of steps that
// waited only for this one.
func (dr *Director) markDone(tk *task) {
	now := time.Now()
	dr.observeRunTime(tk, now)
	members := []*task{tk}
	if tk.step.spec.Gang {
		members = tk.step.tasks
	}
	for _, mb := range members {
		if !mb.done {
			mb.done = true
			mb.step.done++
			dr.dequeue(mb)
		}
	}
	sp := tk.step
	if sp.done < len(sp.tasks) {
		return
	}
	sp.occ.unfinishedSteps--
	for _, next := range sp.successors {
		next.unfinishedPredecessors--
		if next.unfinishedPredecessors == 0 {
			dr.enqueueStep(next)
		}
	}
	if sp.occ.unfinishedSteps == 0 {
		dr.judgeEnded(tk, now)
		sp.occ.job.unfinishedOccurrences--
	}
}

// isComplete reports whether every task of every occurrence is done.
func (jb *job) isComplete() bool {
	return jb.unfinishedOccurrences == 0 && len(jb.occurrences) == jb.Occurrences()
}

// attemptsExhausted reports whether a task has failed as often as its queue allows.
func (dr *Director) attemptsExhausted(tk *task) bool {
	attempts := dr.maxAttempts(tk.step.occ.job)
	return attempts > 0 && !tk.step.spec.LongRunning && len(tk.failures) >= attempts
}

// maxAttempts returns the number of failed runs of a task after which its job has failed, zero for
// no limit.
func (dr *Director) maxAttempts(jb *job) int { return dr.queue(jb).Attempts }

// queue returns the job's queue in the configuration in force, or as it was when the job was
// submitted.
func (dr *Director) queue(jb *job) *modeler.Queue {
	cfg := dr.op.Configuration()
	if jb.queue != nil && jb.queueOf == cfg {
		return jb.queue
	}
	jb.queueOf, jb.queue = cfg, nil
	if cfg != nil {
		jb.queue = cfg.Queue(jb.Queue)
	}
	if jb.queue == nil {
		jb.queue = &modeler.Queue{
			Name: jb.Queue, Pool: jb.Pool, Priority: jb.Priority, Attempts: jb.Attempts, MaxSlowdown: jb.MaxSlowdown, Slack: jb.Slack,
		}
	}
	return jb.queue
}

// policy returns the policy of the job's queue in the configuration in force, or the one with which the job was accepted, nil
// if there is none.
func (dr *Director) policy(jb *job) *modeler.Policy { return cmp.Or(dr.queue(jb).Policy, jb.Policy) }

// endJob ends a job: its tasks leave the queue and all of its runs are stopped. The time is when the end became
// known to a leader.
func (dr *Director) endJob(jb *job, state modeler.State, at time.Time) {
	if jb.finalState != "" {
		return
	}
	jb.finalState, jb.endedAt = state, at
	for _, oc := range jb.occurrences {
		for _, sp := range oc.steps {
			for _, tk := range sp.tasks {
				dr.dequeue(tk)
				for _, at := range slices.Clone(tk.attempts) {
					dr.stopRun(at, "job "+string(state))
				}
			}
		}
	}
}

// freeTasks drops the tasks of a job whose end is durable and that has no active runs, to save
// memory: the job itself stays until its retention is over. Runs of it that are reported later are
// stopped.
func (jb *job) freeTasks() {
	if jb.finalState == "" || !jb.durable || jb.hasAttempts() {
		return
	}
	jb.occurrences, jb.Steps, jb.Spec = nil, nil, ""
}

// JobState returns the state of a job to report to callers, and false for an unknown job.
func (dr *Director) JobState(id modeler.JobID) (modeler.State, bool) {
	dr.mu.Lock()
	defer dr.mu.Unlock()
	jb := dr.jobs[id]
	switch {
	case jb == nil:
		return "", false
	case jb.finalState != "" && jb.durable:
		return jb.finalState, true
	case jb.started:
		return modeler.Running, true
	}
	return modeler.Queued, true
}

// PendingJobs returns the number of jobs of a queue that have not ended and of which no task has
// started, and false while the stored jobs are not loaded.
func (dr *Director) PendingJobs(queue modeler.QueueName) (int, bool) {
	select {
	case <-dr.loaded:
	default:
		return 0, false
	}
	dr.mu.Lock()
	defer dr.mu.Unlock()
	count := 0
	for _, jb := range dr.jobs {
		if jb.Queue == queue && !jb.started && jb.finalState == "" {
			count++
		}
	}
	return count, true
}

// waitingStep returns a step as the ranker needs it.
func (dr *Director) waitingStep(sp *step) ranker.WaitingStep {
	jb := sp.occ.job
	qu := dr.queue(jb)
	var criticalPath time.Duration
	for _, other := range sp.occ.steps {
		criticalPath = max(criticalPath, other.remaining)
	}
	return ranker.WaitingStep{
		Priority: qu.Priority, Submitted: sp.occ.due, Objective: ranker.Objective(criticalPath, qu.MaxSlowdown, qu.Slack),
		Remaining: sp.remaining, LongRunning: sp.spec.LongRunning,
	}
}

// typicalRunTime returns the median run time of the other tasks of the step, zero if too few are
// known. It counts ended runs, and active runs on other workers at their present rates.
func (sp *step) typicalRunTime(except *attempt, now time.Time) time.Duration {
	runTimes := slices.Clone(sp.runTimes)
	for _, tk := range sp.tasks {
		for _, at := range tk.attempts {
			if at == except || at.worker == except.worker {
				continue
			}
			if total := at.runProgress.ExpectedRunTime(now); total > 0 {
				runTimes = append(runTimes, total)
			}
		}
	}
	if len(runTimes) < minSiblings {
		return 0
	}
	slices.Sort(runTimes)
	return runTimes[len(runTimes)/2]
}

// minSiblings is the number of run times from which their median is used.
const minSiblings = 2

// attempt is this term's record of a run that may be active on a worker. A run is one numbered
// execution of a task; a start is the request to a worker that begins it.
type attempt struct {
	task   *task
	run    modeler.Run
	worker *worker
	// incarnation is that of the worker when the run was placed.
	incarnation int64
	state       attemptState
	// restarts is set if the task ran, or may have run, before.
	restarts bool
	// queuedAt is when the start was queued for its worker.
	queuedAt time.Time
	// sentAt is when the start was sent, answeredAt when the run was known to be accepted. Both are
	// zero before.
	sentAt     time.Time
	answeredAt time.Time
	// freedAt is when the capacity for a long-running task became free, zero if that was before the task waited or
	// is not known.
	freedAt time.Time
	// fence is the fencing token of the start.
	fence modeler.Fence
	// startDeadline is the time on the worker's clock after which the worker refuses the start. It
	// is set once the state is uncertain.
	startDeadline time.Duration
	// stopping is set once the run is to be stopped. stopAnsweredAt is when the worker answered the
	// stop, zero while it is repeated.
	stopping       bool
	stopAnsweredAt time.Time
	stops          stopTrail
	runProgress    appraiser.RunProgress
	checkpoint     string
	// resumes is set if the run was started with a checkpoint, so that its run time is that of a part of the task.
	resumes  bool
	progress int
	// load is the load that the last reported tail latency of a latency-critical task shows,
	// loadRise its change per second, and loadAt when it was reported. See package estimator.
	load, loadRise float64
	loadAt         time.Time
	// overTargetSince is when the tail latency was first reported above its target, zero while it
	// is not.
	overTargetSince time.Time
	// measure is the last reported measure of the run: the tail latency in milliseconds of a
	// latency-critical task, and the processor use in thousandths of a core of any other.
	measure int64
	// pace is the last pace that was sent to the worker, in percent, or unknownPace.
	pace int
	// listed is set once a report has listed the run.
	listed bool
	// recording is set while the journal has not confirmed the placement of a long-running task.
	recording bool
	// demand is the sum to which the attempt was added, nil for none.
	demand *activeDemand
	// advanceEnd is when a task that was placed in advance is queued again unless its start has been
	// queued. See worker.inAdvance.
	advanceEnd time.Time
	// adopted is set for a run that an earlier leader started.
	adopted bool
}

// resumeTask makes the run begin with the checkpoint of its task, if there is one.
func (at *attempt) resumeTask() {
	at.checkpoint, at.resumes = at.task.checkpoint, at.task.checkpoint != ""
}

// markActive notes that the run was accepted or reported.
func (at *attempt) markActive(now time.Time) {
	at.state = active
	at.task.step.occ.job.started = true
	at.task.wait = waitState{}
	if at.answeredAt.IsZero() {
		at.answeredAt = now
		at.runProgress.Begin(now)
	}
}

// attemptState is what is known of the start of a run.
type attemptState int

const (
	// placed: the start has not been sent.
	placed attemptState = iota
	// sent: the start has been sent and has no answer yet.
	sent
	// uncertain: the start got no answer, and may have been or may yet be carried out.
	uncertain
	// active: the worker has accepted the start or reported the run.
	active
)
