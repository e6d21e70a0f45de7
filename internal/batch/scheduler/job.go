package scheduler

import (
	"time"

	"github.com/currantrouter/currantrouter/internal/batch/estimator"
	"github.com/currantrouter/currantrouter/internal/fleet/modeler"
	"github.com/currantrouter/currantrouter/internal/provider/supervisor"
)

// Job describes a group of identical tasks, as an operator or the plan submits it.
type Job struct {
	// Name is unique in a data centre. Submitting a job again under its name does not run it twice.
	Name string
	Team string
	// Kind identifies the program. Estimates are shared by jobs of one kind.
	Kind string
	// Day is the day of the plan that lists the job, empty for other jobs.
	Day string
	// Priority orders jobs of equal urgency; higher values go first.
	Priority int
	Urgent   bool
	// Tasks is the number of tasks, from 1 to MaxTasks.
	Tasks int
	// Declared is the declared size of one task.
	Declared supervisor.Resources
	// RunTime is the declared run time, zero when unknown.
	RunTime time.Duration
	// NotBefore is the earliest start, zero for none.
	NotBefore time.Time
	// Deadline is zero for none.
	Deadline time.Time
	// Repeatable states that a task may run again after an attempt whose result is unknown.
	Repeatable bool
	// CanCheckpoint states that a task can save checkpoints and resume from them.
	CanCheckpoint bool
	// LatencyCritical tasks are protected from interference by batch tasks and are never evicted.
	LatencyCritical bool
	// MaxPerRack bounds the tasks of the job in one rack; zero means no limit.
	MaxPerRack int
}

// MaxTasks is the maximum number of tasks of one job. At about 90 bytes per running task, the state
// of the largest job fits into one part of a snapshot.
const MaxTasks = 5_000

// State is the state of a task.
type State string

// The states of a task.
const (
	Waiting       State = "Waiting"
	Starting      State = "Starting"
	Running       State = "Running"
	Checkpointing State = "Checkpointing"
	Evicted       State = "Evicted"
	Done          State = "Done"
	Failed        State = "Failed"
	CannotRun     State = "CannotRun"
	Cancelled     State = "Cancelled"
	Dropped       State = "Dropped"
	Unknown       State = "Unknown"
)

// phase is the recorded part of a task's state. Whether an inactive task is Cancelled, Dropped or
// CannotRun may also depend on its job. Whether an active task is Starting or Running is known only
// from the worker.
type phase uint8

// The numbers are stored in snapshots and must not change. Phases above phaseEvicted are final,
// except that Resolve may end phaseUnknown.
const (
	phaseWaiting       phase = 0
	phaseActive        phase = 1
	phaseCheckpointing phase = 2
	phaseEvicted       phase = 3
	phaseDone          phase = 4
	phaseFailed        phase = 5
	phaseUnknown       phase = 6
	phaseCancelled     phase = 7
)

// job is a submitted job with the state of its tasks.
type job struct {
	Job
	id uint64
	// submitted is the time of the submission by the leader's clock.
	submitted time.Time
	cancelled bool
	dropped   bool
	cannotRun bool
	// reasons says why the job cannot run. It is set with cannotRun.
	reasons []string
	// started is set by the first start of a task and never cleared.
	started bool
	// tasks is nil before the first start; afterwards it has Job.Tasks elements.
	tasks []task
	// nextUnstarted is the first task that was never started; neither was any task after it.
	nextUnstarted int
	// requeued lists the tasks below nextUnstarted that wait for another attempt.
	requeued []int
	// activeTasks counts the tasks with an active attempt.
	activeTasks int
	// endedTasks counts the tasks in a final phase.
	endedTasks int
	// endedAt is the time at which the job finished, zero before.
	endedAt time.Time

	// The fields below are not recorded.

	kind estimator.Kind
	// changePending is set while a record that replaces or closes the job is being written. No task
	// of the job starts meanwhile.
	changePending bool
	// queued is set while the job is in a subqueue or among the delayed jobs.
	queued bool
	// delayedUntil is the time before which no task starts after a failed or refused attempt.
	delayedUntil time.Time
	// failures counts the failures since the last success, except those on quarantined workers.
	failures int
	// waitReason says why the next waiting task has not started, for operators.
	waitReason string
}

// task is the recorded state of a task.
type task struct {
	phase phase
	// attempt is the number of the last recorded start, 0 before. It only increases.
	attempt int
	// worker, epoch, startBefore and reservation are those of the last recorded start.
	worker      modeler.WorkerName
	epoch       modeler.Epoch
	startBefore time.Time
	reservation supervisor.Resources
	// checkpoint names the last recorded checkpoint, empty for none.
	checkpoint string
	// resuming is set once an attempt was stopped, as in an eviction. Later attempts may do only
	// the rest of the work.
	resuming bool
	// reason is that of the end of the last attempt.
	reason string
}

// closed reports whether no further attempt of the job may start.
func (jb *job) closed() bool { return jb.cancelled || jb.dropped || jb.cannotRun }

// startable reports whether a waiting task of the job may be started.
func (jb *job) startable() bool {
	return !jb.closed() && !jb.changePending && (len(jb.requeued) > 0 || jb.nextUnstarted < jb.Tasks)
}

// finished reports whether no task of the job will run again without Resolve.
func (jb *job) finished() bool {
	return jb.activeTasks == 0 && (jb.closed() || jb.endedTasks == jb.Tasks)
}

// takeTask removes and returns the next waiting task. The job must be startable.
func (jb *job) takeTask() int {
	if last := len(jb.requeued) - 1; last >= 0 {
		no := jb.requeued[last]
		jb.requeued = jb.requeued[:last]
		return no
	}
	jb.nextUnstarted++
	return jb.nextUnstarted - 1
}

// returnTask makes a task wait again that takeTask returned or whose attempt has ended.
func (jb *job) returnTask(no int) {
	if no == jb.nextUnstarted-1 && (jb.tasks == nil || jb.tasks[no].attempt == 0) {
		jb.nextUnstarted--
		return
	}
	jb.requeued = append(jb.requeued, no)
}

// nextAttempt returns the number of the next attempt of a task.
func (jb *job) nextAttempt(no int) int {
	if jb.tasks == nil {
		return 1
	}
	return jb.tasks[no].attempt + 1
}

// checkpointOf returns the checkpoint to resume a task from, empty for a start from the beginning.
func (jb *job) checkpointOf(no int) string {
	if jb.tasks == nil {
		return ""
	}
	return jb.tasks[no].checkpoint
}

// stateOf returns the state of a task as recorded. Starting also stands for Running, which only the
// worker knows.
func (jb *job) stateOf(no int) State {
	if jb.tasks != nil {
		switch jb.tasks[no].phase {
		case phaseActive:
			return Starting
		case phaseCheckpointing:
			return Checkpointing
		case phaseDone:
			return Done
		case phaseFailed:
			return Failed
		case phaseUnknown:
			return Unknown
		case phaseCancelled:
			return Cancelled
		case phaseEvicted:
			if !jb.closed() {
				return Evicted
			}
		case phaseWaiting:
		}
	}
	switch {
	case jb.cancelled:
		return Cancelled
	case jb.cannotRun:
		return CannotRun
	case jb.dropped:
		return Dropped
	}
	return Waiting
}

func (jb *job) attempt(no, number int) supervisor.Attempt {
	return supervisor.Attempt{Job: jb.Name, Task: no, Number: number}
}
