package scheduler

import (
	"context"
	"fmt"
	"slices"
	"time"
	"unicode/utf8"
)

const (
	// jobsPerRecord and idsPerRecord keep a record well below the size of one append.
	jobsPerRecord = 500
	idsPerRecord  = 20_000
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
		if err := check(&jobs[i]); err != nil {
			return Submission{}, err
		}
	}
	var sub Submission
	err := sc.call(ctx, func(done func(error)) {
		fresh := sc.freshJobs(jobs, &sub)
		wait := sc.collect(chunks(len(fresh), jobsPerRecord), done)
		for part := range slices.Chunk(fresh, jobsPerRecord) {
			sc.decideSubmit(part, wait)
		}
	})
	if err != nil {
		return Submission{}, err
	}
	return sub, nil
}

func check(jb *Job) error {
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

// freshJobs returns the jobs that change anything. The last one of a name counts.
func (sc *Scheduler) freshJobs(jobs []Job, sub *Submission) []Job {
	var fresh []Job
	for _, jb := range jobs {
		if old, ok := sc.ledger.byName[jb.Name]; ok && (!replaceable(old) || sameJob(old, jb)) {
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

func (sc *Scheduler) decideSubmit(jobs []Job, done func(error)) {
	sm := &SubmitMessage{}
	var held []*job
	now := time.Now()
	for _, jb := range jobs {
		if old, ok := sc.ledger.byName[jb.Name]; ok {
			old.held = true
			held = append(held, old)
		}
		sc.ledger.lastJob++
		sm.Jobs = append(sm.Jobs, jobToMessage(sc.ledger.lastJob, jb, now))
	}
	sc.wish(&RecordMessage{Record: &RecordMessage_Submit{Submit: sm}}, held, func(now time.Time) {
		for _, jm := range sm.GetJobs() {
			if jb, ok := sc.ledger.jobs[jm.GetId()]; ok {
				sc.accept(jb, now)
			}
		}
	}, done)
}

func (sc *Scheduler) accept(jb *job, now time.Time) {
	sc.activate(jb, now)
	if len(sc.workers) > 0 && !sc.placer.Fits(jb.Declared) {
		sc.cannotRun(jb, []string{"no configured worker is large enough"})
	}
}

// wish decides a caller's change. Jobs that it concerns start no task until it is written or refused.
func (sc *Scheduler) wish(rm *RecordMessage, held []*job, commit func(time.Time), done func(error)) {
	if err := sc.writer.refused(); err != nil {
		sc.unhold(held)
		done(err)
		return
	}
	sc.decide(rm, func(now time.Time) {
		sc.unhold(held)
		commit(now)
		done(nil)
	}, func(err error) {
		sc.unhold(held)
		done(err)
	})
}

// unhold lets the jobs start tasks again, unless the job was replaced.
func (sc *Scheduler) unhold(jobs []*job) {
	for _, jb := range jobs {
		if sc.ledger.jobs[jb.id] == jb {
			jb.held = false
			sc.queue.push(jb, time.Now())
			sc.dirty = true
		}
	}
}

// collect returns a function that is called n times and passes the first error, or nil, to done.
func (sc *Scheduler) collect(n int, done func(error)) func(error) {
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

func chunks(n, size int) int { return (n + size - 1) / size }

// Selector names jobs. Fields that are set must all match; an empty selector names none.
type Selector struct {
	Jobs []string
	Team string
	Day  string
}

// selected returns the jobs that are not finished, by the indexes.
func (sc *Scheduler) selected(sl Selector) []*job {
	var found []*job
	add := func(jb *job) {
		if (sl.Team == "" || jb.Team == sl.Team) && (sl.Day == "" || jb.Day == sl.Day) && !jb.finished() {
			found = append(found, jb)
		}
	}
	switch {
	case len(sl.Jobs) > 0:
		for _, name := range sl.Jobs {
			if jb, ok := sc.ledger.byName[name]; ok {
				add(jb)
			}
		}
	case sl.Team != "":
		for _, jb := range sc.ledger.byTeam[sl.Team] {
			add(jb)
		}
	case sl.Day != "":
		for _, jb := range sc.ledger.byDay[sl.Day] {
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
	err := sc.call(ctx, func(done func(error)) {
		jobs := sc.selected(sl)
		count = len(jobs)
		wait := sc.collect(chunks(len(jobs), idsPerRecord), done)
		for part := range slices.Chunk(jobs, idsPerRecord) {
			sc.decideClose(part, record, wait)
		}
	})
	if err != nil {
		return 0, err
	}
	return count, nil
}

func (sc *Scheduler) decideClose(jobs []*job, record func([]uint64) *RecordMessage, done func(error)) {
	ids := make([]uint64, 0, len(jobs))
	for _, jb := range jobs {
		jb.held = true
		ids = append(ids, jb.id)
	}
	sc.wish(record(ids), jobs, func(now time.Time) {
		for _, jb := range jobs {
			if jb.cancelled {
				sc.stopJob(jb, now)
			}
		}
	}, done)
}

// stopJob stops the running attempts of a cancelled job. Reports that still list them repeat it.
func (sc *Scheduler) stopJob(jb *job, now time.Time) {
	if jb.active == 0 {
		sc.detector.ForgetJob(jb.id)
		return
	}
	for no := range jb.tasks {
		tk := &jb.tasks[no]
		if tk.phase != phaseActive && tk.phase != phaseCheckpointing {
			continue
		}
		if ws, ok := sc.workers[tk.worker]; ok {
			if rn, ok := ws.attempts[jb.attempt(no, tk.attempt)]; ok && !rn.ending {
				sc.stopOnce(ws, rn, now)
			}
		}
	}
}

// Resolve records an operator's statement on a task in state Unknown: that it is done, or that it is
// to run again. It fails with ErrUnknownTask, ErrNotResolvable or the errors of Cancel.
func (sc *Scheduler) Resolve(ctx context.Context, name string, no int, runAgain bool) error {
	return sc.call(ctx, func(done func(error)) {
		jb, ok := sc.ledger.byName[name]
		if !ok || no < 0 || no >= jb.Tasks {
			done(ErrUnknownTask)
			return
		}
		if jb.stateOf(no) != Unknown {
			done(ErrNotResolvable)
			return
		}
		rm := &ResolveMessage{Job: jb.id, Task: uint32(no), Attempt: uint32(jb.tasks[no].attempt), RunAgain: runAgain}
		sc.wish(&RecordMessage{Record: &RecordMessage_Resolve{Resolve: rm}}, nil, func(time.Time) {
			if ph := jb.tasks[no].phase; ph == phaseWaiting || ph == phaseEvicted {
				sc.requeue(jb, no)
			}
		}, done)
	})
}
