// Package modeler holds the types of callers' jobs, of the workers that run their tasks, and of
// the orders and reports that pass between a leader and a worker.
package modeler

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"
)

// ErrBadTask means that a text is no task's name.
var ErrBadTask = errors.New("not the name of a task")

// JobID is the name that the caller chose for a job. It is unique for good.
type JobID string

// QueueName names a queue of jobs.
type QueueName string

// PoolName names the workers that serve a queue.
type PoolName string

// WorkerID names one worker. A worker that starts again may keep its id and is then told apart by
// its birth.
type WorkerID string

// Run numbers the starts of one task. Runs rise; a worker refuses a run that is not higher than
// one that ended there.
type Run int64

// Epoch numbers the leaders of an installation. Workers refuse orders of a lower epoch than the
// highest that they have seen.
type Epoch int64

// Resources are what a task needs or a worker has.
type Resources struct {
	MilliCores   int64 `json:",omitempty"`
	MemoryMB     int64 `json:",omitempty"`
	Accelerators int64 `json:",omitempty"`
}

// Plus returns the sum.
func (rs Resources) Plus(ot Resources) Resources {
	return Resources{rs.MilliCores + ot.MilliCores, rs.MemoryMB + ot.MemoryMB, rs.Accelerators + ot.Accelerators}
}

// Minus returns the difference, whose parts may be negative.
func (rs Resources) Minus(ot Resources) Resources {
	return Resources{rs.MilliCores - ot.MilliCores, rs.MemoryMB - ot.MemoryMB, rs.Accelerators - ot.Accelerators}
}

// Fits reports whether the resources are within the room.
func (rs Resources) Fits(room Resources) bool {
	return rs.MilliCores <= room.MilliCores && rs.MemoryMB <= room.MemoryMB && rs.Accelerators <= room.Accelerators
}

// Step is a set of equal tasks of a job.
type Step struct {
	// Count is the number of tasks, at least 1.
	Count int
	// Needs is what one task needs. The processors of a best-effort step are not reserved.
	Needs Resources
	// Estimate is the caller's rough guess of a task's run time.
	Estimate time.Duration `json:",omitempty"`
	// After lists earlier steps whose tasks must all be done before one of this step starts.
	After []int `json:",omitempty"`
	// Checkpoints means that a stopped task resumes from its last checkpoint.
	Checkpoints bool `json:",omitempty"`
	// Gang means that the tasks run only together.
	Gang bool `json:",omitempty"`
	// SameRack means that a gang runs much slower on more than one rack.
	SameRack bool `json:",omitempty"`
	// Label is one that the worker must have, or empty.
	Label string `json:",omitempty"`
	// DataRack is the rack near the step's data, or empty.
	DataRack string `json:",omitempty"`
	// PerWorker bounds the tasks of one occurrence of the step on one worker. Zero is no bound.
	PerWorker int `json:",omitempty"`
	// Speculative means that several runs of a task may be active; the first to succeed counts.
	Speculative bool `json:"Copies,omitempty"`
	// LongRunning tasks run until the job is cancelled and are started again however they end.
	LongRunning bool `json:",omitempty"`
	// Image names the program. Tasks with the same image behave alike.
	Image string `json:",omitempty"`
	// TailTarget bounds the tail latency that a latency-critical task gives its users. Zero is none.
	TailTarget time.Duration `json:",omitempty"`
	// BestEffort tasks use processors that others leave idle. They may be slowed or halted.
	BestEffort bool `json:"Fills,omitempty"`
	// MaxUnavailable is how many of the step's long-running tasks may be stopped at a time.
	MaxUnavailable int `json:"MayMiss,omitempty"`
}

// Job is a caller's unit of work.
type Job struct {
	ID    JobID
	Queue QueueName
	// Pool, Priority, Attempts, MaxSlowdown and Slack are those of the queue when the job was accepted.
	// They hold while the queue is not in the configuration.
	Pool        PoolName
	Priority    int           `json:",omitempty"`
	Attempts    int           `json:",omitempty"`
	MaxSlowdown float64       `json:"Stretch,omitempty"`
	Slack       time.Duration `json:"Target,omitempty"`
	// Spec is passed to every task unchanged.
	Spec  string
	Steps []Step
	// Repeats is the number of occurrences, zero for a job that runs once at once.
	Repeats int `json:",omitempty"`
	// First is the due time of the first occurrence, Interval the time to each next one.
	First    time.Time     `json:",omitzero"`
	Interval time.Duration `json:",omitempty"`
	// Submitted is when an entry host read the job, by its own clock.
	Submitted time.Time
}

// Occurrences returns the number of times that the steps run, at least 1.
func (jb *Job) Occurrences() int { return max(jb.Repeats, 1) }

// Due returns the time before which an occurrence does not start. It is zero for a job that runs
// at once.
func (jb *Job) Due(occurrence int) time.Time {
	if jb.Repeats <= 0 {
		return time.Time{}
	}
	return jb.First.Add(time.Duration(occurrence) * jb.Interval)
}

// Limits on the size of a job. They keep one caller from exhausting the memory of the leader.
const (
	maxSteps       = 256
	maxTasks       = 20_000
	maxOccurrences = 10_000
)

// ErrBadJob means that a job is malformed. Nothing of it runs.
var ErrBadJob = errors.New("malformed job")

// Check returns ErrBadJob with a reason for a job that cannot be scheduled as it is written.
func (jb *Job) Check() error {
	if jb.ID == "" || strings.ContainsAny(string(jb.ID), "./") {
		return fmt.Errorf("%w: bad id", ErrBadJob)
	}
	if len(jb.Steps) == 0 || len(jb.Steps) > maxSteps {
		return fmt.Errorf("%w: %d steps, allowed are 1 to %d", ErrBadJob, len(jb.Steps), maxSteps)
	}
	if jb.Repeats < 0 || jb.Repeats > maxOccurrences || jb.Interval < 0 {
		return fmt.Errorf("%w: repetition out of range", ErrBadJob)
	}
	total := 0
	for no, sp := range jb.Steps {
		if sp.Count < 1 || sp.Count > maxTasks {
			return fmt.Errorf("%w: step %d has %d tasks", ErrBadJob, no, sp.Count)
		}
		total += sp.Count
		if sp.Needs.MilliCores < 0 || sp.Needs.MemoryMB < 0 || sp.Needs.Accelerators < 0 {
			return fmt.Errorf("%w: step %d needs less than nothing", ErrBadJob, no)
		}
		for _, before := range sp.After {
			if before < 0 || before >= no {
				return fmt.Errorf("%w: step %d follows step %d", ErrBadJob, no, before)
			}
		}
	}
	if total > maxTasks {
		return fmt.Errorf("%w: %d tasks, allowed are %d", ErrBadJob, total, maxTasks)
	}
	return nil
}

// TaskID names one task of one occurrence of a job.
type TaskID struct {
	Job                     JobID
	Occurrence, Step, Index int
}

// String returns the job, occurrence, step and index separated by dots.
func (id TaskID) String() string {
	bf := make([]byte, 0, len(id.Job)+12)
	bf = append(bf, id.Job...)
	for _, part := range [...]int{id.Occurrence, id.Step, id.Index} {
		bf = append(bf, '.')
		bf = strconv.AppendInt(bf, int64(part), 10)
	}
	return string(bf)
}

// ParseTaskID is the inverse of String. Errors: ErrBadTask.
func ParseTaskID(text string) (TaskID, error) {
	var parts [3]int
	rest := text
	for ix := len(parts) - 1; ix >= 0; ix-- {
		dot := strings.LastIndexByte(rest, '.')
		num, err := strconv.Atoi(rest[dot+1:])
		if dot <= 0 || err != nil || num < 0 {
			return TaskID{}, fmt.Errorf("%w: %q", ErrBadTask, text)
		}
		parts[ix], rest = num, rest[:dot]
	}
	return TaskID{Job: JobID(rest), Occurrence: parts[0], Step: parts[1], Index: parts[2]}, nil
}

// State is what a caller is told of a job.
type State string

// The states of a job. The last three are final and are told only once they are durable.
const (
	Queued    State = "Queued"
	Running   State = "Running"
	Completed State = "Completed"
	Failed    State = "Failed"
	Cancelled State = "Cancelled"
)

// Final reports whether the job has ended.
func (st State) Final() bool { return st == Completed || st == Failed || st == Cancelled }
