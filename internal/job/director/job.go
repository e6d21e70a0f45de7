package director

import (
	"slices"
	"time"

	"github.com/currantrouter/currantrouter/internal/job/appraiser"
	"github.com/currantrouter/currantrouter/internal/job/keeper"
	"github.com/currantrouter/currantrouter/internal/job/modeler"
	"github.com/currantrouter/currantrouter/internal/job/ranker"
	"github.com/currantrouter/currantrouter/internal/telemetry/logger"
	"github.com/currantrouter/currantrouter/internal/telemetry/meter"
)

// job is a stored job.
type job struct {
	modeler.Job
	// inherited jobs were stored before this term, so an earlier leader may have started their tasks.
	inherited bool
	// confirmed is set once this host is known to have led after it learned of the job.
	confirmed bool
	// started is set once a task is known to have been started.
	started bool
	// final is the end of the job, empty before it is decided. It is told to callers only when
	// durable is set.
	final   modeler.State
	durable bool
	endedAt time.Time
	// occurrences holds those that have been released. The others are not due yet. It is empty once the
	// job has ended for good, see shrink.
	occurrences []*occurrence
	// open is the number of released occurrences that have not ended.
	open int
}

// occurrence is one repetition of a job's steps.
type occurrence struct {
	job   *job
	no    int
	due   time.Time
	steps []*step
	// open is the number of steps that are not done.
	open int
}

// step is a step of one occurrence.
type step struct {
	occ  *occurrence
	no   int
	spec *modeler.Step
	// tasks are all tasks of the step, by index.
	tasks []*task
	// waiting holds the tasks without a run that counts.
	waiting []*task
	// done is the number of tasks that are done. Tasks of long-running steps never are.
	done int
	// blockers is the number of steps before this one that are not done.
	blockers  int
	followers []*step
	// perWorker counts the active runs on each worker.
	perWorker map[modeler.WorkerID]int
	// totals holds run times of ended tasks, for comparison with those that run.
	totals []time.Duration
	// permits is nil until the policy service is needed.
	permits *permits
	// gangRun is the run of the gang that is active, zero for none.
	gangRun modeler.Run
	// remaining is the expected time from the start of this step to the end of the job.
	remaining time.Duration
}

// task is one task of a step.
type task struct {
	step  *step
	index int
	done  bool
	// queued is set while the task is in waiting.
	queued  bool
	lastRun modeler.Run
	// failures holds the runs that failed, each once.
	failures   []modeler.Run
	checkpoint string
	// saved is the share of the work in the checkpoint, from the progress reported with it.
	saved float64
	// attempts holds the runs that may be active.
	attempts []*attempt
	// avoid holds workers on which the task failed or made no progress, newest last.
	avoid []modeler.WorkerID
	// unseen is set until this term has seen the task run or has started it. The end of an earlier
	// run does not clear it: the earlier leader may have started the next one elsewhere.
	unseen bool
	// placedRun and placedOn are the newest announced start of a long-running task.
	placedRun modeler.Run
	placedOn  modeler.WorkerID
	// notBefore delays the next start after a refusal.
	notBefore time.Time
	// moves counts how often the task was taken from a slow worker.
	moves int
	// lastActive is when the last run ended, for steps whose tasks may not all be away.
	lastActive time.Time
}

const (
	// avoided bounds the workers that a task remembers.
	avoided = 4
	// keptTotals bounds the run times that a step remembers.
	keptTotals = 33
)

func (tk *task) id() modeler.TaskID {
	return modeler.TaskID{Job: tk.step.occ.job.ID, Occurrence: tk.step.occ.no, Step: tk.step.no, Index: tk.index}
}

func (tk *task) avoidWorker(id modeler.WorkerID) {
	tk.avoid = append(tk.avoid, id)
	if len(tk.avoid) > avoided {
		tk.avoid = tk.avoid[1:]
	}
}

// Add takes a stored job over. The flag tells that it may have been stored before the term, which
// holds for every job that is told before all of them are loaded. Jobs that are known stay as they
// are.
func (dr *Director) Add(stored *modeler.Job, inherited bool) {
	dr.mu.Lock()
	defer dr.mu.Unlock()
	select {
	case <-dr.loaded:
	default:
		inherited = true
	}
	dr.add(stored, inherited)
	dr.kick()
}

func (dr *Director) add(stored *modeler.Job, inherited bool) *job {
	if jb := dr.jobs[stored.ID]; jb != nil {
		return jb
	}
	jb := &job{Job: *stored, inherited: inherited, confirmed: inherited}
	dr.jobs[jb.ID] = jb
	if !inherited {
		dr.unconfirmed = append(dr.unconfirmed, jb)
		signal(dr.learned)
	}
	facts := dr.facts[jb.ID]
	delete(dr.facts, jb.ID)
	now := time.Now()
	dr.release(jb, now)
	for _, ft := range facts {
		dr.apply(jb, ft, now)
	}
	if _, ok := dr.cancelled[jb.ID]; ok {
		delete(dr.cancelled, jb.ID)
		dr.cancelJob(jb, now)
	}
	if !inherited {
		dr.log(logger.JobTakenOver, "Job", jb.ID, "Queue", jb.Queue, "Steps", len(jb.Steps), "Age", now.Sub(jb.Submitted).String())
	}
	return jb
}

// apply restores a fact of an earlier term.
func (dr *Director) apply(jb *job, ft keeper.Fact, now time.Time) {
	if ft.JobEnd != nil {
		dr.close(jb, ft.JobEnd.State, now)
		jb.durable = true
		jb.shrink()
		return
	}
	name, _ := ft.TaskName()
	id, err := modeler.ParseTaskID(name)
	if err != nil {
		dr.log(logger.FactDamaged, "Job", jb.ID, "Error", err.Error())
		return
	}
	tk := jb.task(id)
	switch {
	case tk == nil:
	case ft.Placed != nil:
		tk.place(ft.Placed.Run, ft.Placed.Worker)
	default:
		dr.count(tk, ft.RunEnd.Run, ft.RunEnd.Outcome, ft.RunEnd.Checkpoint)
	}
}

// place notes an announced start.
func (tk *task) place(run modeler.Run, on modeler.WorkerID) {
	if run >= tk.placedRun {
		tk.placedRun, tk.placedOn = run, on
	}
	tk.lastRun = max(tk.lastRun, run)
}

// task returns a released task, or nil.
func (jb *job) task(id modeler.TaskID) *task {
	if id.Occurrence >= len(jb.occurrences) || id.Step >= len(jb.Steps) || id.Index >= jb.Steps[id.Step].Count {
		return nil
	}
	return jb.occurrences[id.Occurrence].steps[id.Step].tasks[id.Index]
}

// release makes the occurrences that are due.
func (dr *Director) release(jb *job, now time.Time) {
	for jb.final == "" && len(jb.occurrences) < jb.Occurrences() && !now.Before(jb.Due(len(jb.occurrences))) {
		oc := newOccurrence(jb, len(jb.occurrences))
		jb.occurrences = append(jb.occurrences, oc)
		jb.open++
		for _, sp := range oc.steps {
			if sp.blockers == 0 {
				dr.open(sp)
			}
		}
	}
}

func newOccurrence(jb *job, no int) *occurrence {
	oc := &occurrence{job: jb, no: no, due: jb.Due(no), open: len(jb.Steps)}
	if oc.due.IsZero() {
		oc.due = jb.Submitted
	}
	for ix := range jb.Steps {
		sp := &step{occ: oc, no: ix, spec: &jb.Steps[ix], blockers: len(jb.Steps[ix].After), perWorker: map[modeler.WorkerID]int{}}
		sp.tasks = make([]*task, sp.spec.Count)
		for tx := range sp.tasks {
			sp.tasks[tx] = &task{step: sp, index: tx, unseen: jb.inherited}
		}
		oc.steps = append(oc.steps, sp)
		for _, before := range sp.spec.After {
			oc.steps[before].followers = append(oc.steps[before].followers, sp)
		}
	}
	for _, sp := range slices.Backward(oc.steps) {
		for _, next := range sp.followers {
			sp.remaining = max(sp.remaining, next.remaining)
		}
		sp.remaining += sp.spec.Estimate
	}
	return oc
}

// open puts all tasks of a step that are not done into the queue.
func (dr *Director) open(sp *step) {
	for _, tk := range sp.tasks {
		if !tk.done && len(tk.attempts) == 0 {
			dr.enqueue(tk)
		}
	}
}

func (dr *Director) enqueue(tk *task) {
	sp := tk.step
	if tk.done || tk.queued || sp.blockers > 0 || sp.occ.job.final != "" {
		return
	}
	tk.queued = true
	sp.waiting = append(sp.waiting, tk)
	dr.waiting[sp] = struct{}{}
}

// dequeue takes a task out of the queue.
func (dr *Director) dequeue(tk *task) {
	if !tk.queued {
		return
	}
	tk.queued = false
	sp := tk.step
	ix := slices.Index(sp.waiting, tk)
	sp.waiting = slices.Delete(sp.waiting, ix, ix+1)
	if len(sp.waiting) == 0 {
		delete(dr.waiting, sp)
	}
}

// count adds the end of a run to the task and returns whether the end changes what has to be
// remembered.
func (dr *Director) count(tk *task, run modeler.Run, oc modeler.Outcome, checkpoint string) bool {
	sp := tk.step
	tk.lastRun = max(tk.lastRun, run)
	sp.occ.job.started = true
	if tk.done || sp.occ.job.final != "" {
		return false
	}
	changed := false
	if checkpoint != "" && checkpoint != tk.checkpoint {
		tk.checkpoint, changed = checkpoint, true
	}
	switch {
	case sp.spec.LongRunning:
	case oc == modeler.Done:
		dr.finish(tk)
		return true
	case oc == modeler.Failure && !slices.Contains(tk.failures, run):
		tk.failures = append(tk.failures, run)
		return true
	}
	return changed
}

// finish marks a task as done, and for a gang all of its members.
func (dr *Director) finish(tk *task) {
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
	sp.occ.open--
	for _, next := range sp.followers {
		next.blockers--
		if next.blockers == 0 {
			dr.open(next)
		}
	}
	if sp.occ.open == 0 {
		sp.occ.job.open--
	}
}

// complete reports whether every task of every occurrence is done.
func (jb *job) complete() bool {
	return jb.open == 0 && len(jb.occurrences) == jb.Occurrences()
}

// exhausted reports whether a task has failed as often as its queue allows.
func (dr *Director) exhausted(tk *task) bool {
	attempts := dr.attempts(tk.step.occ.job)
	return attempts > 0 && !tk.step.spec.LongRunning && len(tk.failures) >= attempts
}

// attempts returns the number of failed runs after which a job has failed.
func (dr *Director) attempts(jb *job) int { return dr.queue(jb).Attempts }

// queue returns the job's queue in the configuration in force, or as it was when the job was accepted.
func (dr *Director) queue(jb *job) *modeler.Queue {
	if cfg := dr.op.Configuration(); cfg != nil {
		if qu := cfg.Queue(jb.Queue); qu != nil {
			return qu
		}
	}
	return &modeler.Queue{
		Name: jb.Queue, Pool: jb.Pool, Priority: jb.Priority, Attempts: jb.Attempts, MaxSlowdown: jb.MaxSlowdown, Slack: jb.Slack,
	}
}

// close ends a job: nothing of it waits any more and all of its runs are stopped.
func (dr *Director) close(jb *job, state modeler.State, now time.Time) {
	if jb.final != "" {
		return
	}
	jb.final, jb.endedAt = state, now
	for _, oc := range jb.occurrences {
		for _, sp := range oc.steps {
			for _, tk := range sp.tasks {
				dr.dequeue(tk)
				for _, at := range slices.Clone(tk.attempts) {
					dr.stop(at, "job "+string(state))
				}
			}
		}
	}
}

// shrink forgets the tasks of a job whose end is durable and none of whose runs may be active. Its end
// can be asked for long after; runs that turn up later are unwanted.
func (jb *job) shrink() {
	if jb.final == "" || !jb.durable || jb.hasAttempts() {
		return
	}
	jb.occurrences, jb.Steps, jb.Spec = nil, nil, ""
}

// Cancel ends a job whose cancellation is stored.
func (dr *Director) Cancel(id modeler.JobID) {
	dr.mu.Lock()
	defer dr.mu.Unlock()
	jb := dr.jobs[id]
	if jb == nil {
		// Hosts tell of changes in any order, and one batch of a watch need not keep it.
		if len(dr.cancelled) < mostCancelled {
			dr.cancelled[id] = struct{}{}
		}
		return
	}
	dr.cancelJob(jb, time.Now())
	dr.kick()
}

// mostCancelled bounds the cancellations that wait for their jobs. Those of jobs that are long
// forgotten never meet one.
const mostCancelled = 10_000

func (dr *Director) cancelJob(jb *job, now time.Time) {
	if jb.final != "" {
		return
	}
	dr.log(logger.JobCancelled, "Job", jb.ID, "Queue", jb.Queue)
	dr.op.Meter.Add(meter.JobsCancelled, 1)
	dr.close(jb, modeler.Cancelled, now)
	// The stored cancellation is what makes it durable.
	jb.durable = true
	jb.shrink()
}

// State returns what callers are told of a job, and false for one that is not known.
func (dr *Director) State(id modeler.JobID) (modeler.State, bool) {
	dr.mu.Lock()
	defer dr.mu.Unlock()
	jb := dr.jobs[id]
	switch {
	case jb == nil:
		return "", false
	case jb.final != "" && jb.durable:
		return jb.final, true
	case jb.started:
		return modeler.Running, true
	}
	return modeler.Queued, true
}

// Pending returns the number of jobs of a queue of which no task has started, and false while the
// stored jobs are not known yet.
func (dr *Director) Pending(queue modeler.QueueName) (int, bool) {
	select {
	case <-dr.loaded:
	default:
		return 0, false
	}
	dr.mu.Lock()
	defer dr.mu.Unlock()
	count := 0
	for _, jb := range dr.jobs {
		if jb.Queue == queue && !jb.started && jb.final == "" {
			count++
		}
	}
	return count, true
}

// group returns what the ranker needs to know of a step.
func (dr *Director) group(sp *step) ranker.WaitingStep {
	jb := sp.occ.job
	qu := dr.queue(jb)
	var chain time.Duration
	for _, other := range sp.occ.steps {
		chain = max(chain, other.remaining)
	}
	return ranker.WaitingStep{
		Priority: qu.Priority, Submitted: sp.occ.due, Objective: ranker.Objective(chain, qu.MaxSlowdown, qu.Slack),
		Remaining: sp.remaining, LongRunning: sp.spec.LongRunning,
	}
}

// usual returns the run time that tasks of the step have had or will have at their present rates.
func (sp *step) usual(except *attempt, now time.Time) time.Duration {
	all := slices.Clone(sp.totals)
	for _, tk := range sp.tasks {
		for _, at := range tk.attempts {
			if at == except || at.worker == except.worker {
				continue
			}
			if total := at.watch.ExpectedRunTime(now); total > 0 {
				all = append(all, total)
			}
		}
	}
	if len(all) < minSiblings {
		return 0
	}
	slices.Sort(all)
	return all[len(all)/2]
}

// minSiblings is the number of siblings from which their run time means anything.
const minSiblings = 2

// attempt is one run of a task that may be active on a worker.
type attempt struct {
	task   *task
	run    modeler.Run
	worker *worker
	// life is the birth of the worker when the run was placed.
	life  int64
	state attemptState
	// sentAt is when the start was sent, answeredAt when it was answered, zero before.
	sentAt     time.Time
	answeredAt time.Time
	// lateAt is the deadline of a start without answer, on the worker's clock.
	lateAt time.Duration
	// stopping is set once the run is to be stopped; stopAnsweredAt is when the worker agreed.
	stopping       bool
	stopAnsweredAt time.Time
	watch          appraiser.RunProgress
	checkpoint     string
	progress       int
	// load is what the last reported tail latency of a serving task shows, rise its change in a
	// second, and loadAt when it was reported. See package estimator.
	load, rise float64
	loadAt     time.Time
	// overSince is when the tail latency was first reported above its target, zero while it is not.
	overSince time.Time
	// measure is the last reported figure of the run, see modeler.ActiveRun.
	measure int64
	// pace is the last pace that was ordered, in percent.
	pace int
	// listed is set once a report has listed the run as running.
	listed bool
	// adopted runs were started by an earlier leader.
	adopted bool
}

// begin notes that the run was accepted or seen.
func (at *attempt) begin(now time.Time) {
	at.state = active
	if at.answeredAt.IsZero() {
		at.answeredAt = now
		at.watch.Begin(now)
	}
}

type attemptState int

const (
	// placed runs have not been sent.
	placed attemptState = iota
	// sent runs have no answer yet.
	sent
	// uncertain runs have lost their answer.
	uncertain
	// active runs were accepted or seen.
	active
)
