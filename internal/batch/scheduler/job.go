package scheduler

import (
	"time"

	"github.com/currantrouter/currantrouter/internal/batch/estimator"
	"github.com/currantrouter/currantrouter/internal/fleet/modeler"
	"github.com/currantrouter/currantrouter/internal/provider/supervisor"
)

// Job is a group of equal tasks as an operator or the plan submits it.
type Job struct {
	// Name is unique in a data centre. Submitting a known name again begins nothing anew.
	Name string
	Team string
	// Kind groups jobs of the same program for estimates.
	Kind string
	// Day is the day of the plan, empty for jobs from elsewhere.
	Day string
	// Priority orders jobs of equal urgency, the greatest first.
	Priority int
	Urgent   bool
	// Tasks is the number of tasks. It is positive and at most MaxTasks.
	Tasks int
	// Declared is the size of one task as declared.
	Declared supervisor.Resources
	// RunTime is the declared run time, zero when unknown.
	RunTime time.Duration
	// NotBefore and Deadline are zero when there is none.
	NotBefore time.Time
	Deadline  time.Time
	// Repeatable states that a task may run again after an attempt without a known result.
	Repeatable bool
	// Checkpoint states that a task can save its work and resume from it.
	Checkpoint bool
	// LatencyCritical tasks are protected from batch tasks and never evicted.
	LatencyCritical bool
	// PerRack is the greatest number of tasks in one rack, zero for no limit.
	PerRack int
}

// MaxTasks is the greatest number of tasks of one job. About 90 bytes a running task keep its state
// within one part of a snapshot.
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

// phase is the recorded part of a task's state. Cancelled, Dropped and CannotRun of a task that is
// not active follow from its job; Running follows from the worker's word.
type phase uint8

// The numbers are part of the snapshot and never change.
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

// job is a submitted job with its tasks.
type job struct {
	Job
	id        uint64
	submitted time.Time
	cancelled bool
	dropped   bool
	cannotRun bool
	reasons   []string
	// started is set by the first start and never cleared.
	started bool
	// tasks is nil until the first start and then has Job.Tasks elements.
	tasks []task
	// nextUnstarted is the first task that was never started. Tasks from next on have attempt zero.
	nextUnstarted int
	// requeued lists tasks below next that wait for another attempt.
	requeued []int
	// active counts the tasks on workers, ended those that will never run again.
	activeTasks int
	endedTasks  int
	// endedAt is the time at which the last task ended, zero before.
	endedAt time.Time

	// The fields below are not recorded.

	kind estimator.Kind
	// held is set while a cancellation or drop of the job is being written. No task starts.
	changePending bool
	// queued is set while the job is in the queue or among the delayed jobs.
	queued bool
	// delayedUntil is the time before which no task starts after a failure.
	delayedUntil time.Time
	failures     int
	// waitReason says why the first waiting task has not started.
	waitReason string
}

// task is one task that was started at least once.
type task struct {
	phase phase
	// attempt is the number of the last recorded start. It only rises.
	attempt     int
	worker      modeler.WorkerName
	epoch       modeler.Epoch
	startBefore time.Time
	reservation supervisor.Resources
	checkpoint  string
	// resuming is set from an eviction until the task ends or returns to the queue without one.
	resuming bool
	reason   string
}

func (jb *job) closed() bool { return jb.cancelled || jb.dropped || jb.cannotRun }

// startable reports whether a task of the job may be started now.
func (jb *job) startable() bool {
	return !jb.closed() && !jb.changePending && (len(jb.requeued) > 0 || jb.nextUnstarted < jb.Tasks)
}

// finished reports whether no task of the job will run again.
func (jb *job) finished() bool {
	return jb.activeTasks == 0 && (jb.closed() || jb.endedTasks == jb.Tasks)
}

// takeTask removes the next waiting task.
func (jb *job) takeTask() int {
	if last := len(jb.requeued) - 1; last >= 0 {
		no := jb.requeued[last]
		jb.requeued = jb.requeued[:last]
		return no
	}
	jb.nextUnstarted++
	return jb.nextUnstarted - 1
}

// returnTask returns a task that take has removed.
func (jb *job) returnTask(no int) {
	if no == jb.nextUnstarted-1 && (jb.tasks == nil || jb.tasks[no].attempt == 0) {
		jb.nextUnstarted--
		return
	}
	jb.requeued = append(jb.requeued, no)
}

// nextAttempt is the number of the next attempt of a task.
func (jb *job) nextAttempt(no int) int {
	if jb.tasks == nil {
		return 1
	}
	return jb.tasks[no].attempt + 1
}

func (jb *job) checkpointOf(no int) string {
	if jb.tasks == nil {
		return ""
	}
	return jb.tasks[no].checkpoint
}

// stateOf returns the state of a task. Whether an active task is running is known to the worker
// only; it counts as Starting here.
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
