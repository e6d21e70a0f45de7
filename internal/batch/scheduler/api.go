package scheduler

import (
	"context"
	"fmt"
	"slices"
	"time"
	"unicode/utf8"
)

const (
	// maxJobsPerRecord and maxIDsPerRecord keep a record well below the size of one append.
	maxJobsPerRecord = 500
	maxIDsPerRecord  = 20_000
	// maxNameBytes bounds names, which appear in records and logs.
	maxNameBytes = 200
)

// Submission says what became of submitted jobs.
type Submission struct {
	// Accepted counts jobs that are new or replace one that has not begun.
	Accepted int
	// Kept counts jobs that are as submitted before, or have begun or ended.
	Kept int
}

// Submit accepts jobs. A known job that has not begun is replaced; one that has begun or ended stays
// as it is. It fails with ErrInvalidJob or storer.ErrUnavailable when nothing more than a part of the
// jobs was accepted, and with storer.ErrResultUnknown when they may all have been. Submitting the
// same jobs again is safe.
func (sc *Scheduler) Submit(ctx context.Context, jobs []Job) (Submission, error) {
	for i := range jobs {
		if err := validate(&jobs[i]); err != nil {
			return Submission{}, err
		}
	}
	var sub Submission
	err := sc.runInLoop(ctx, func(done func(error)) {
		fresh := sc.changedJobs(jobs, &sub)
		wait := sc.joinResults(numChunks(len(fresh), maxJobsPerRecord), done)
		for part := range slices.Chunk(fresh, maxJobsPerRecord) {
			sc.proposeSubmit(part, wait)
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

// changedJobs returns the jobs that change anything. The last one of a name counts.
func (sc *Scheduler) changedJobs(jobs []Job, sub *Submission) []Job {
	var fresh []Job
	for _, jb := range jobs {
		if old, ok := sc.state.byName[jb.Name]; ok && (!replaceable(old) || sameJob(old, jb)) {
			sub.Kept++
			continue
		}
		fresh = append(fresh, jb)
	}
	sub.Accepted = len(fresh)
	return fresh
}

// sameJob compares at the resolution of the record.
func sameJob(old *job, jb Job) bool {
	return !old.dropped && jobFromMessage(jobToMessage(0, jb, time.Time{})).Job == old.Job
}

func (sc *Scheduler) proposeSubmit(jobs []Job, done func(error)) {
	sm := &SubmitMessage{}
	var held []*job
	now := time.Now()
	for _, jb := range jobs {
		if old, ok := sc.state.byName[jb.Name]; ok {
			old.changePending = true
			held = append(held, old)
		}
		sc.state.lastJob++
		sm.Jobs = append(sm.Jobs, jobToMessage(sc.state.lastJob, jb, now))
	}
	sc.proposeChange(&RecordMessage{Record: &RecordMessage_Submit{Submit: sm}}, held, func(now time.Time) {
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

// proposeChange decides a caller's change. Jobs that it concerns start no task until it is written or refused.
func (sc *Scheduler) proposeChange(rm *RecordMessage, held []*job, commit func(time.Time), done func(error)) {
	if err := sc.writer.unavailableError(); err != nil {
		sc.clearChangePending(held)
		done(err)
		return
	}
	sc.propose(rm, func(now time.Time) {
		sc.clearChangePending(held)
		commit(now)
		done(nil)
	}, func(err error) {
		sc.clearChangePending(held)
		done(err)
	})
}

// clearChangePending lets the jobs start tasks again, unless the job was replaced.
func (sc *Scheduler) clearChangePending(jobs []*job) {
	for _, jb := range jobs {
		if sc.state.jobs[jb.id] == jb {
			jb.changePending = false
			sc.queue.push(jb, time.Now())
			sc.roundNeeded = true
		}
	}
}

// joinResults returns a function that is called n times and passes the first error, or nil, to done.
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

// Selector names jobs. Fields that are set must all match; an empty selector names none.
type Selector struct {
	Jobs []string
	Team string
	Day  string
}

// selectedJobs returns the jobs that are not finished, by the indexes.
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

// Cancel ends the selected jobs: waiting tasks do not run, and running ones are stopped. It returns
// the number of jobs. It fails with storer.ErrUnavailable when a part at most was cancelled and with
// storer.ErrResultUnknown when all may have been.
func (sc *Scheduler) Cancel(ctx context.Context, sl Selector) (int, error) {
	return sc.closeJobs(ctx, sl, func(ids []uint64) *RecordMessage {
		return &RecordMessage{Record: &RecordMessage_Cancel{Cancel: &CancelMessage{Jobs: ids}}}
	})
}

// Drop removes the named jobs that a new sheet no longer lists if they have not begun. Jobs that
// have begun go on. It returns the number of jobs that were named and not finished. Errors are those
// of Cancel.
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
		wait := sc.joinResults(numChunks(len(jobs), maxIDsPerRecord), done)
		for part := range slices.Chunk(jobs, maxIDsPerRecord) {
			sc.proposeClose(part, record, wait)
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

// stopCancelledJob stops the running attempts of a cancelled job. Reports that still list them repeat it.
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
			if rn, ok := ws.attempts[jb.attempt(no, tk.attempt)]; ok && !rn.endPending {
				sc.stopAttempt(ws, rn, now)
			}
		}
	}
}

// Resolve records an operator's statement on a task in state Unknown: that it is done, or that it is
// to run again. It fails with ErrUnknownTask, ErrNotResolvable or the errors of Cancel.
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
