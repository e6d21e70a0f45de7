// Package modeler holds the types of callers' jobs, of the workers that run their tasks, and of
// the requests and reports that pass between a leader and a worker.
package modeler

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"
)

// ErrInvalidTaskID means that a text is not in the format of TaskID.String.
var ErrInvalidTaskID = errors.New("invalid task ID")

// JobID is the name that the caller chose for a job. It is unique and never used again.
type JobID string

// QueueName names a queue of jobs.
type QueueName string

// PoolName names a pool of workers. The tasks of a queue run on the workers of one pool.
type PoolName string

// WorkerID names one worker. A restarted worker may keep its ID; its processes then differ in
// Worker.Incarnation.
type WorkerID string

// Run numbers the starts of one task in rising order. A worker refuses a run that is not higher
// than one of the same task that ended there.
type Run int64

// MaxRun is the highest run number that is accepted from other processes. It leaves room for later
// runs.
const MaxRun Run = 1 << 62

// Epoch numbers the leaders of a deployment in rising order.
type Epoch int64

// Fence is the fencing token of a request to a worker. A worker refuses requests with a lower token than
// the highest that its incarnation has seen. The token rises with each epoch, and within an epoch after each
// request to the worker that got no answer: such a request is refused if it arrives after a later one, also
// by another incarnation of the worker.
type Fence int64

// fencesPerEpoch is the distance between the first tokens of successive epochs.
const fencesPerEpoch = 1 << 20

// NewFence returns the token of an epoch after a number of rises.
func NewFence(ep Epoch, rises int64) Fence {
	return Fence(int64(ep)*fencesPerEpoch + min(rises, fencesPerEpoch-1))
}

// MaxEpoch is the highest epoch that is accepted from other processes. It leaves room for later ones
// and for run numbers that are multiples of epochs.
const MaxEpoch Epoch = 1 << 40

// Resources are what a task needs, or the capacity of a worker.
type Resources struct {
	// MilliCores is in thousandths of a processor core.
	MilliCores   int64 `json:",omitempty"`
	MemoryMB     int64 `json:",omitempty"`
	Accelerators int64 `json:",omitempty"`
}

// Plus returns the sum of both, for each resource.
func (rs Resources) Plus(other Resources) Resources {
	return Resources{rs.MilliCores + other.MilliCores, rs.MemoryMB + other.MemoryMB, rs.Accelerators + other.Accelerators}
}

// Minus returns the difference for each resource, which may be negative.
func (rs Resources) Minus(other Resources) Resources {
	return Resources{rs.MilliCores - other.MilliCores, rs.MemoryMB - other.MemoryMB, rs.Accelerators - other.Accelerators}
}

// Fits reports whether no resource exceeds what is free of it.
func (rs Resources) Fits(free Resources) bool {
	return rs.MilliCores <= free.MilliCores && rs.MemoryMB <= free.MemoryMB && rs.Accelerators <= free.Accelerators
}

// Step is a set of equal tasks of a job.
type Step struct {
	// Count is the number of tasks, at least 1.
	Count int
	// Needs are the resources of one task. They are reserved on its worker, except for the
	// processors of a best-effort task.
	Needs Resources
	// Estimate is the caller's rough estimate of a task's run time.
	Estimate time.Duration `json:",omitempty"`
	// After lists earlier steps whose tasks must all be done before one of this step starts.
	After []int `json:",omitempty"`
	// Checkpoints means that a stopped task resumes from its last checkpoint.
	Checkpoints bool `json:",omitempty"`
	// Gang means that the tasks run only all together.
	Gang bool `json:",omitempty"`
	// SameRack means that a gang runs much slower on more than one rack. A single rack is
	// preferred, not required.
	SameRack bool `json:",omitempty"`
	// Label is a label that the worker must have. Empty means none.
	Label string `json:",omitempty"`
	// DataRack is the rack near the step's data, where its tasks run faster. It is empty when there
	// is none.
	DataRack string `json:",omitempty"`
	// MaxPerWorker is the maximum number of tasks of one occurrence of the step on one worker. Zero
	// means no limit.
	MaxPerWorker int `json:"PerWorker,omitempty"`
	// Speculative means that several runs of a task may be active at a time. The first to succeed
	// counts.
	Speculative bool `json:"Copies,omitempty"`
	// LongRunning means that the tasks run until the job is cancelled. They are started again
	// however they end.
	LongRunning bool `json:",omitempty"`
	// Image names the program. Tasks with the same image are taken to behave alike.
	Image string `json:",omitempty"`
	// TailTarget is the upper bound for the tail latency that users of a latency-critical task
	// see. Zero means that the tasks are not latency-critical.
	TailTarget time.Duration `json:",omitempty"`
	// BestEffort means that the tasks use processors that others leave idle, and may be slowed or
	// halted.
	BestEffort bool `json:"Fills,omitempty"`
	// MaxUnavailable is how many of the step's long-running tasks may be stopped at a time.
	MaxUnavailable int `json:"MayMiss,omitempty"`
}

// Job is a caller's unit of work.
type Job struct {
	ID    JobID
	Queue QueueName
	// Pool, Priority, Attempts, MaxSlowdown, Slack and Policy are copies of the queue's settings from the
	// time when the job was accepted. They apply while the configuration lacks the queue, and Policy also while its queue
	// has none. Jobs of earlier versions have no Policy.
	Pool        PoolName
	Priority    int           `json:",omitempty"`
	Attempts    int           `json:",omitempty"`
	MaxSlowdown float64       `json:"Stretch,omitempty"`
	Slack       time.Duration `json:"Target,omitempty"`
	Policy      *Policy       `json:",omitempty"`
	// Spec is passed to every task unchanged.
	Spec  string
	Steps []Step
	// Repeats is the number of occurrences. Zero means one occurrence, due at once.
	Repeats int `json:",omitempty"`
	// First is the due time of the first occurrence. It counts only if Repeats is above 0.
	First time.Time `json:",omitzero"`
	// Interval is the time from the due time of one occurrence to that of the next.
	Interval time.Duration `json:",omitempty"`
	// Submitted is when an entry host read the job, by that host's clock.
	Submitted time.Time
}

// Occurrences returns the number of times that the steps run, at least 1.
func (jb *Job) Occurrences() int { return max(jb.Repeats, 1) }

// Due returns the earliest start of an occurrence, counted from 0. It is zero for a job that is due
// at once.
func (jb *Job) Due(occurrence int) time.Time {
	if jb.Repeats <= 0 {
		return time.Time{}
	}
	return jb.First.Add(time.Duration(occurrence) * jb.Interval)
}

// Limits on the size of a job. They keep one caller from exhausting the memory of the leader.
const (
	maxSteps = 256
	// maxTasks is the maximum number of tasks of one occurrence.
	maxTasks       = 20_000
	maxOccurrences = 10_000
	// maxParts is the maximum number of tasks and dependencies of all occurrences. All of them are in
	// memory at once when all due times have passed.
	maxParts = 5 * maxTasks
	// maxSlowdown bounds Job.MaxSlowdown and Queue.MaxSlowdown.
	maxSlowdown = 1_000_000
)

// ErrInvalidJob means that a job is invalid. None of its tasks run.
var ErrInvalidJob = errors.New("malformed job")

// Check returns ErrInvalidJob, wrapped with the reason, for a job that is invalid or exceeds a
// limit.
func (jb *Job) Check() error {
	if err := jb.ID.Check(); err != nil {
		return err
	}
	if len(jb.Steps) == 0 || len(jb.Steps) > maxSteps {
		return fmt.Errorf("%w: %d steps, allowed are 1 to %d", ErrInvalidJob, len(jb.Steps), maxSteps)
	}
	if err := checkNames(string(jb.Queue), string(jb.Pool)); err != nil {
		return err
	}
	if !validObjective(jb.MaxSlowdown, jb.Slack) {
		return fmt.Errorf("%w: objective out of range", ErrInvalidJob)
	}
	if jb.Policy != nil && !jb.Policy.valid() {
		return fmt.Errorf("%w: times of the policy out of range", ErrInvalidJob)
	}
	if err := jb.checkRepetition(); err != nil {
		return err
	}
	tasks, links, estimates := 0, 0, time.Duration(0)
	for ix := range jb.Steps {
		sp := &jb.Steps[ix]
		if err := sp.check(ix); err != nil {
			return err
		}
		tasks, links, estimates = tasks+sp.Count, links+len(sp.After), estimates+sp.Estimate
		if estimates > maxDuration {
			return fmt.Errorf("%w: estimates exceed %s", ErrInvalidJob, maxDuration)
		}
	}
	if tasks > maxTasks {
		return fmt.Errorf("%w: %d tasks, allowed are %d", ErrInvalidJob, tasks, maxTasks)
	}
	if parts := jb.Occurrences() * (tasks + links); parts > maxParts {
		return fmt.Errorf("%w: %d tasks and dependencies of all occurrences, allowed are %d", ErrInvalidJob, parts, maxParts)
	}
	return nil
}

// Check returns ErrInvalidJob for an ID that cannot be part of a TaskID or of a key.
func (id JobID) Check() error {
	if id == "" || strings.ContainsAny(string(id), "./") {
		return fmt.Errorf("%w: bad id", ErrInvalidJob)
	}
	return checkNames(string(id))
}

// checkNames returns ErrInvalidJob for a name that is too long or not printable.
func checkNames(names ...string) error {
	for _, name := range names {
		if err := CheckName("name", name); err != nil {
			return fmt.Errorf("%w: %w", ErrInvalidJob, err)
		}
	}
	return nil
}

// validObjective reports whether the parameters of an objective are in range.
func validObjective(slowdown float64, slack time.Duration) bool {
	// The comparison is false for a value that is no number.
	return slowdown >= 0 && slowdown <= maxSlowdown && durationInRange(slack)
}

// checkRepetition checks that the due times of the occurrences rise.
func (jb *Job) checkRepetition() error {
	if jb.Repeats < 0 || jb.Repeats > maxOccurrences || jb.Interval < 0 || jb.Interval > maxDuration/time.Duration(jb.Occurrences()) {
		return fmt.Errorf("%w: repetition out of range", ErrInvalidJob)
	}
	if jb.Repeats > 0 && (jb.First.Before(time.Unix(0, 0)) || jb.First.After(time.UnixMilli(maxIncarnation))) {
		return fmt.Errorf("%w: first due time out of range", ErrInvalidJob)
	}
	return nil
}

// check checks the step with the index.
func (sp *Step) check(ix int) error {
	switch {
	case sp.Count < 1 || sp.Count > maxTasks:
		return fmt.Errorf("%w: step %d has %d tasks", ErrInvalidJob, ix, sp.Count)
	case !sp.Needs.inRange():
		return fmt.Errorf("%w: needs of step %d out of range", ErrInvalidJob, ix)
	case !durationInRange(sp.Estimate) || !durationInRange(sp.TailTarget):
		return fmt.Errorf("%w: times of step %d out of range", ErrInvalidJob, ix)
	case sp.MaxPerWorker < 0 || sp.MaxUnavailable < 0:
		return fmt.Errorf("%w: limits of step %d are negative", ErrInvalidJob, ix)
	}
	for _, dep := range sp.After {
		if dep < 0 || dep >= ix {
			return fmt.Errorf("%w: step %d follows step %d", ErrInvalidJob, ix, dep)
		}
	}
	return checkNames(sp.Label, sp.DataRack, sp.Image)
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

// maxTaskIDBytes bounds the text of a task ID: the ID of the job and three numbers.
const maxTaskIDBytes = maxNameBytes + 3*20

// ParseTaskID is the inverse of String. Errors: ErrInvalidTaskID, also for a text that String returns
// for no task of a valid job.
func ParseTaskID(text string) (TaskID, error) {
	if len(text) > maxTaskIDBytes {
		return TaskID{}, fmt.Errorf("%w: %d bytes", ErrInvalidTaskID, len(text))
	}
	var parts [3]int
	rest := text
	for ix := len(parts) - 1; ix >= 0; ix-- {
		dot := strings.LastIndexByte(rest, '.')
		num, ok := parseIndex(rest[dot+1:])
		if dot <= 0 || !ok {
			return TaskID{}, fmt.Errorf("%w: %q", ErrInvalidTaskID, text)
		}
		parts[ix], rest = num, rest[:dot]
	}
	if strings.ContainsAny(rest, "./") {
		return TaskID{}, fmt.Errorf("%w: %q", ErrInvalidTaskID, text)
	}
	return TaskID{Job: JobID(rest), Occurrence: parts[0], Step: parts[1], Index: parts[2]}, nil
}

// parseIndex parses a decimal number without a sign and without leading zeros.
func parseIndex(text string) (int, bool) {
	num, err := strconv.Atoi(text)
	return num, err == nil && text[0] >= '0' && text[0] <= '9' && (text[0] != '0' || len(text) == 1)
}

// State is the state of a job that callers see.
type State string

// The states of a job. The last three are final and are reported only once they are durable.
const (
	Queued    State = "Queued"
	Running   State = "Running"
	Completed State = "Completed"
	Failed    State = "Failed"
	Cancelled State = "Cancelled"
)

// Valid reports whether the state is one of the states of a job.
func (st State) Valid() bool { return st == Queued || st == Running || st.Final() }

// Final reports whether the job has ended.
func (st State) Final() bool { return st == Completed || st == Failed || st == Cancelled }
