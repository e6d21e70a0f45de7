package scheduler

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/currantrouter/currantrouter/internal/fleet/modeler"
	"github.com/currantrouter/currantrouter/internal/provider/supervisor"
)

// MaxListEntries is the maximum number of entries that Tasks and Jobs return.
const MaxListEntries = 1000

// Query selects what Tasks and Jobs list. Empty fields match everything.
type Query struct {
	Job  string
	Team string
	Day  string
	// State restricts Tasks to tasks in the state. Jobs ignores it.
	State State
	// After is the position after which the list continues, zero for its beginning.
	After Position
	// Limit is the maximum number of entries, at most MaxListEntries; zero means MaxListEntries.
	Limit int
}

// Position is a position in a list. Lists are in the order of submission.
type Position struct {
	Job  uint64
	Task int
}

// TaskStatus describes the state of a task.
type TaskStatus struct {
	Job     string
	Task    int
	Team    string
	State   State
	Attempt int
	Worker  modeler.WorkerName
	// Reservation is that of the active attempt, zero when there is none.
	Reservation supervisor.Resources
	Checkpoint  string
	// Reason is that of the end of the last attempt.
	Reason string
	// Position is the position of the task, for Query.After.
	Position Position
}

// JobStatus describes a job and the number of its tasks in each state.
type JobStatus struct {
	Job
	Submitted time.Time
	States    map[State]int
	Reasons   []string
	Position  Position
}

// Tasks lists tasks in the order of submission.
func (sc *Scheduler) Tasks(ctx context.Context, qy Query) ([]TaskStatus, error) {
	var list []TaskStatus
	err := sc.runInLoop(ctx, func(done func(error)) {
		list = sc.listTasks(qy)
		done(nil)
	})
	if err != nil {
		return nil, err
	}
	return list, nil
}

func (sc *Scheduler) listTasks(qy Query) []TaskStatus {
	var list []TaskStatus
	limit := qy.limit()
	for _, jb := range sc.matchingJobs(qy) {
		first := 0
		if jb.id == qy.After.Job {
			first = qy.After.Task + 1
		}
		for no := first; no < jb.Tasks; no++ {
			ts := sc.taskStatus(jb, no)
			if qy.State != "" && ts.State != qy.State {
				continue
			}
			if list = append(list, ts); len(list) == limit {
				return list
			}
		}
	}
	return list
}

func (qy *Query) limit() int {
	if qy.Limit <= 0 || qy.Limit > MaxListEntries {
		return MaxListEntries
	}
	return qy.Limit
}

// matchingJobs returns the jobs that match a query, from its position on, in the order of
// submission. The job at the position is included.
func (sc *Scheduler) matchingJobs(qy Query) []*job {
	var found []*job
	add := func(jb *job) {
		if jb.id >= qy.After.Job && (qy.Team == "" || jb.Team == qy.Team) && (qy.Day == "" || jb.Day == qy.Day) {
			found = append(found, jb)
		}
	}
	if qy.Job != "" {
		if jb, ok := sc.state.byName[qy.Job]; ok {
			add(jb)
		}
		return found
	}
	candidates := sc.state.jobs
	if qy.Team != "" {
		candidates = sc.state.byTeam[qy.Team]
	} else if qy.Day != "" {
		candidates = sc.state.byDay[qy.Day]
	}
	for _, jb := range candidates {
		add(jb)
	}
	slices.SortFunc(found, func(a, b *job) int { return cmp.Compare(a.id, b.id) })
	return found
}

func (sc *Scheduler) taskStatus(jb *job, no int) TaskStatus {
	ts := TaskStatus{
		Job: jb.Name, Task: no, Team: jb.Team, State: jb.stateOf(no), Position: Position{jb.id, no},
	}
	if jb.tasks == nil {
		return ts
	}
	tk := &jb.tasks[no]
	ts.Attempt, ts.Checkpoint, ts.Reason = tk.attempt, tk.checkpoint, tk.reason
	if tk.phase == phaseActive || tk.phase == phaseCheckpointing {
		ts.Worker, ts.Reservation = tk.worker, tk.reservation
	}
	if ts.State == Starting && sc.confirmedRunning(jb, no) {
		ts.State = Running
	}
	return ts
}

// confirmedRunning reports whether the worker has accepted or reported the task's last attempt.
func (sc *Scheduler) confirmedRunning(jb *job, no int) bool {
	tk := &jb.tasks[no]
	ws, ok := sc.workers[tk.worker]
	if !ok {
		return false
	}
	aa, ok := ws.attempts[jb.attempt(no, tk.attempt)]
	return ok && aa.confirmed
}

// Jobs lists jobs in the order of submission. Query.After must be the position of the last entry of
// the list before.
func (sc *Scheduler) Jobs(ctx context.Context, qy Query) ([]JobStatus, error) {
	var list []JobStatus
	err := sc.runInLoop(ctx, func(done func(error)) {
		for _, jb := range sc.matchingJobs(qy) {
			if jb.id == qy.After.Job {
				continue
			}
			if list = append(list, sc.jobStatus(jb)); len(list) == qy.limit() {
				break
			}
		}
		done(nil)
	})
	if err != nil {
		return nil, err
	}
	return list, nil
}

func (sc *Scheduler) jobStatus(jb *job) JobStatus {
	js := JobStatus{
		Job: jb.Job, Submitted: jb.submitted, Reasons: jb.reasons,
		States: make(map[State]int), Position: Position{Job: jb.id},
	}
	for no := range jb.Tasks {
		js.States[sc.taskStatus(jb, no).State]++
	}
	return js
}

// Explanation describes why a task is in its state.
type Explanation struct {
	TaskStatus
	// Reasons are clauses for operators, the most important first.
	Reasons []string
}

// Explain returns the reasons for the state of a task. It fails with ErrUnknownTask.
func (sc *Scheduler) Explain(ctx context.Context, name string, no int) (Explanation, error) {
	var ex Explanation
	err := sc.runInLoop(ctx, func(done func(error)) {
		jb, ok := sc.state.byName[name]
		if !ok || no < 0 || no >= jb.Tasks {
			done(ErrUnknownTask)
			return
		}
		ex = Explanation{TaskStatus: sc.taskStatus(jb, no)}
		ex.Reasons = sc.explanationReasons(jb, ex.TaskStatus, time.Now())
		done(nil)
	})
	if err != nil {
		return Explanation{}, err
	}
	return ex, nil
}

func (sc *Scheduler) explanationReasons(jb *job, ts TaskStatus, now time.Time) []string {
	rs := slices.Clone(jb.reasons)
	if ts.Reason != "" {
		rs = append(rs, "last attempt: "+ts.Reason)
	}
	if ts.State != Waiting && ts.State != Evicted {
		return rs
	}
	if sc.writer.failing {
		rs = append(rs, "the journal is unavailable, so no task starts")
	}
	if jb.NotBefore.After(now) {
		rs = append(rs, "the job may not start before "+jb.NotBefore.UTC().Format(time.RFC3339))
	}
	if jb.delayedUntil.After(now) {
		rs = append(rs, "the job waits after a failure until "+jb.delayedUntil.UTC().Format(time.RFC3339))
	}
	if jb.changePending {
		rs = append(rs, "a change of the job is being written")
	}
	if jb.waitReason != "" {
		rs = append(rs, jb.waitReason)
	}
	for wk, why := range sc.detector.FailedOn(jb.id) {
		rs = append(rs, "failed on worker "+string(wk)+": "+why)
	}
	return rs
}
