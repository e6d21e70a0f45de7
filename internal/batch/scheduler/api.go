package scheduler

import (
	"context"
	"fmt"
	"slices"
	"time"
	"unicode/utf8"
)

const (
	// maxJobsPerRecord keeps a record of submissions well below maxBatchBytes.
	maxJobsPerRecord = 500
	// maxIDsPerRecord keeps a record of cancellations or drops well below maxBatchBytes.
	maxIDsPerRecord = 20_000
	// maxNameBytes bounds names, which appear in records and logs.
	maxNameBytes = 200
)

// Submission counts the jobs of a Submit call by result.
type Submission struct {
	// Accepted counts jobs that are new or replace a job that has not started.
	Accepted int
	// Unchanged counts jobs that are the same as before, or that have started or ended and therefore
	// stay as they are.
	Unchanged int
}

// Submit accepts jobs. A job of a known name is replaced if it has not started, and otherwise stays
// as it is. Submit fails with ErrInvalidJob when no job was accepted, with storer.ErrUnavailable
// when at most a part of the jobs was accepted, and with storer.ErrResultUnknown when all jobs may
// have been accepted. Submitting the same jobs again is safe.
func (sc *Scheduler) Submit(ctx context.Context, jobs []Job) (Submission, error) {
	for i := range jobs {
		if err := validate(&jobs[i]); err != nil {
			return Submission{}, err
		}
	}
	var sub Submission
	err := sc.runInLoop(ctx, func(done func(error)) {
		changed := sc.changedJobs(jobs, &sub)
		join := sc.joinResults(numChunks(len(changed), maxJobsPerRecord), done)
		for part := range slices.Chunk(changed, maxJobsPerRecord) {
			sc.proposeSubmit(part, join)
		}
	})
	if err != nil {
		return Submission{}, err
	}
	return sub, nil
}

func validate(jb *Job) error {
	for _, str := range []string{jb.Name, jb.Team, jb.Kind, jb.Day} {
		if len(str) > maxNameBytes || !utf8.ValidString(str) {
			return fmt.Errorf("%w %q: a name is longer than %d bytes or not UTF-8", ErrInvalidJob, jb.Name, maxNameBytes)
		}
	}
	ds := jb.Declared
	switch {
	case jb.Name == "" || jb.Kind == "":
		return fmt.Errorf("%w %q: name or kind is empty", ErrInvalidJob, jb.Name)
	case jb.Tasks < 1 || jb.Tasks > MaxTasks:
		return fmt.Errorf("%w %q: %d tasks are not within 1 and %d", ErrInvalidJob, jb.Name, jb.Tasks, MaxTasks)
	case ds.Millicores < 0 || ds.MemoryBytes < 0 || ds.Accelerators < 0:
		return fmt.Errorf("%w %q: the declared size is negative", ErrInvalidJob, jb.Name)
	}
	return nil
}

// changedJobs returns the jobs that are new or replace a job, and counts them in sub.
func (sc *Scheduler) changedJobs(jobs []Job, sub *Submission) []Job {
	var changed []Job
	for _, jb := range jobs {
		if old, ok := sc.state.byName[jb.Name]; ok && (!replaceable(old) || sameJob(old, jb)) {
			sub.Unchanged++
			continue
		}
		changed = append(changed, jb)
	}
	sub.Accepted = len(changed)
	return changed
}

// sameJob reports whether a submission leaves the job unchanged. It compares jobs as recorded,
// because records round times to milliseconds.
func sameJob(old *job, jb Job) bool {
	return !old.dropped && jobFromMessage(jobToMessage(0, jb, time.Time{})).Job == old.Job
}

func (sc *Scheduler) proposeSubmit(jobs []Job, done func(error)) {
	sm := &SubmitMessage{}
	var replaced []*job
	now := time.Now()
	for _, jb := range jobs {
		if old, ok := sc.state.byName[jb.Name]; ok {
			old.changePending = true
			replaced = append(replaced, old)
		}
		sc.state.lastJob++
		sm.Jobs = append(sm.Jobs, jobToMessage(sc.state.lastJob, jb, now))
	}
	sc.proposeChange(&RecordMessage{Record: &RecordMessage_Submit{Submit: sm}}, replaced, func(now time.Time) {
		for _, jm := range sm.GetJobs() {
			if jb, ok := sc.state.jobs[jm.GetId()]; ok {
				sc.handleJobAccepted(jb, now)
			}
		}
	}, done)
}

func (sc *Scheduler) handleJobAccepted(jb *job, now time.Time) {
	sc.enqueueJob(jb, now)
	if len(sc.workers) > 0 && !sc.placer.Fits(jb.Declared) {
		sc.markCannotRun(jb, []string{"no configured worker is large enough"})
	}
}

// proposeChange proposes a record on behalf of a caller. The affected jobs must have changePending
// set; it is cleared once the record was written or rejected.
func (sc *Scheduler) proposeChange(rm *RecordMessage, affected []*job, commit func(time.Time), done func(error)) {
	if err := sc.writer.unavailableError(); err != nil {
		sc.clearChangePending(affected)
		done(err)
		return
	}
	sc.propose(rm, func(now time.Time) {
		sc.clearChangePending(affected)
		commit(now)
		done(nil)
	}, func(err error) {
		sc.clearChangePending(affected)
		done(err)
	})
}

// clearChangePending lets the jobs start tasks again, except those that were replaced.
func (sc *Scheduler) clearChangePending(jobs []*job) {
	for _, jb := range jobs {
		if sc.state.jobs[jb.id] == jb {
			jb.changePending = false
			sc.queue.push(jb, time.Now())
			sc.roundNeeded = true
		}
	}
}

// joinResults returns a function to be called n times. After the last call, done gets the first
// error, or nil.
func (sc *Scheduler) joinResults(n int, done func(error)) func(error) {
	var first error
	if n == 0 {
		done(nil)
	}
	return func(err error) {
		if first == nil {
			first = err
		}
		if n--; n == 0 {
			done(first)
		}
	}
}

func numChunks(n, size int) int { return (n + size - 1) / size }

// Selector selects jobs by all of its non-empty fields. An empty selector selects none.
type Selector struct {
	Jobs []string
	Team string
	Day  string
}

// selectedJobs returns the selected jobs that are not finished.
func (sc *Scheduler) selectedJobs(sl Selector) []*job {
	var found []*job
	add := func(jb *job) {
		if (sl.Team == "" || jb.Team == sl.Team) && (sl.Day == "" || jb.Day == sl.Day) && !jb.finished() {
			found = append(found, jb)
		}
	}
	switch {
	case len(sl.Jobs) > 0:
		for _, name := range sl.Jobs {
			if jb, ok := sc.state.byName[name]; ok {
				add(jb)
			}
		}
	case sl.Team != "":
		for _, jb := range sc.state.byTeam[sl.Team] {
			add(jb)
		}
	case sl.Day != "":
		for _, jb := range sc.state.byDay[sl.Day] {
			add(jb)
		}
	}
	return found
}

// Cancel cancels the selected jobs: waiting tasks do not start, and active ones are stopped. It
// returns the number of jobs. It fails with storer.ErrUnavailable when at most a part of the jobs
// was cancelled, and with storer.ErrResultUnknown when all may have been cancelled.
func (sc *Scheduler) Cancel(ctx context.Context, sl Selector) (int, error) {
	return sc.closeJobs(ctx, sl, func(ids []uint64) *RecordMessage {
		return &RecordMessage{Record: &RecordMessage_Cancel{Cancel: &CancelMessage{Jobs: ids}}}
	})
}

// Drop removes the named jobs, which a new sheet no longer lists, if they have not started. Jobs
// that have started continue. It returns the number of named jobs that are not finished. It fails
// as Cancel does.
func (sc *Scheduler) Drop(ctx context.Context, names []string) (int, error) {
	return sc.closeJobs(ctx, Selector{Jobs: names}, func(ids []uint64) *RecordMessage {
		return &RecordMessage{Record: &RecordMessage_Drop{Drop: &DropMessage{Jobs: ids}}}
	})
}

func (sc *Scheduler) closeJobs(ctx context.Context, sl Selector, record func([]uint64) *RecordMessage) (int, error) {
	count := 0
	err := sc.runInLoop(ctx, func(done func(error)) {
		jobs := sc.selectedJobs(sl)
		count = len(jobs)
		join := sc.joinResults(numChunks(len(jobs), maxIDsPerRecord), done)
		for part := range slices.Chunk(jobs, maxIDsPerRecord) {
			sc.proposeClose(part, record, join)
		}
	})
	if err != nil {
		return 0, err
	}
	return count, nil
}

func (sc *Scheduler) proposeClose(jobs []*job, record func([]uint64) *RecordMessage, done func(error)) {
	ids := make([]uint64, 0, len(jobs))
	for _, jb := range jobs {
		jb.changePending = true
		ids = append(ids, jb.id)
	}
	sc.proposeChange(record(ids), jobs, func(now time.Time) {
		for _, jb := range jobs {
			if jb.cancelled {
				sc.stopCancelledJob(jb, now)
			}
		}
	}, done)
}

// stopCancelledJob sends stop commands for the active attempts of a cancelled job. They are
// repeated while reports list the attempts.
func (sc *Scheduler) stopCancelledJob(jb *job, now time.Time) {
	if jb.activeTasks == 0 {
		sc.detector.ForgetJob(jb.id)
		return
	}
	for no := range jb.tasks {
		tk := &jb.tasks[no]
		if tk.phase != phaseActive && tk.phase != phaseCheckpointing {
			continue
		}
		if ws, ok := sc.workers[tk.worker]; ok {
			if aa, ok := ws.attempts[jb.attempt(no, tk.attempt)]; ok && !aa.endPending {
				sc.stopAttempt(ws, aa, now)
			}
		}
	}
}

// Resolve records an operator's statement on a task in state Unknown: that it is done, or that it
// is to run again. It fails with ErrUnknownTask, ErrNotResolvable or as Cancel does.
func (sc *Scheduler) Resolve(ctx context.Context, name string, no int, runAgain bool) error {
	return sc.runInLoop(ctx, func(done func(error)) {
		jb, ok := sc.state.byName[name]
		if !ok || no < 0 || no >= jb.Tasks {
			done(ErrUnknownTask)
			return
		}
		if jb.stateOf(no) != Unknown {
			done(ErrNotResolvable)
			return
		}
		rm := &ResolveMessage{Job: jb.id, Task: uint32(no), Attempt: uint32(jb.tasks[no].attempt), RunAgain: runAgain}
		sc.proposeChange(&RecordMessage{Record: &RecordMessage_Resolve{Resolve: rm}}, nil, func(time.Time) {
			if ph := jb.tasks[no].phase; ph == phaseWaiting || ph == phaseEvicted {
				sc.requeue(jb, no)
			}
		}, done)
	})
}
