package director

import (
	"context"
	"slices"
	"time"

	"github.com/currantrouter/currantrouter/internal/job/keeper"
	"github.com/currantrouter/currantrouter/internal/job/modeler"
	"github.com/currantrouter/currantrouter/internal/telemetry/logger"
	"github.com/currantrouter/currantrouter/internal/telemetry/meter"
)

// reported takes a worker's report. The channel is closed once its ends are durable.
func (dr *Director) reported(wk *worker, sentAt time.Time, rep *modeler.Report) <-chan struct{} {
	dr.mu.Lock()
	defer dr.mu.Unlock()
	now := time.Now()
	if rep.Incarnation < wk.born {
		// An answer that a later life has overtaken says nothing any more.
		return dr.note(wk)
	}
	if rep.Incarnation > wk.born {
		dr.reborn(wk, rep.Incarnation, now)
	}
	if wk.silent && wk.answered {
		dr.log(logger.WorkerReachable, "Worker", wk.info.ID, "Runs", len(rep.Running), "Ends", len(rep.Ended))
	}
	wk.clock, wk.clockAt, wk.silent = rep.Clock, now, false
	dr.answeredBy(wk)
	listed := make(map[attemptKey]bool, len(rep.Running)+len(rep.Ended))
	for ix := range rep.Running {
		row := &rep.Running[ix]
		listed[attemptKey{row.Task, row.Run}] = true
		dr.running(wk, row, now)
	}
	facts, finals := dr.ended(wk, rep.Ended, listed, now)
	dr.missing(wk, listed, sentAt, now)
	dr.judge(wk, now)
	dr.pace(wk, now)
	wk.unnoted = append(wk.unnoted, facts...)
	wk.finals = append(wk.finals, finals...)
	return dr.note(wk)
}

// note gives the ends of a worker that are not durable to the journal, one batch at a time: the worker
// forgets all ends up to a number, so that a later batch must not become durable before an earlier
// one. The channel is closed once the batch under way is durable.
func (dr *Director) note(wk *worker) <-chan struct{} {
	if wk.noting != nil {
		return wk.noting
	}
	durable := make(chan struct{})
	if len(wk.unnoted) == 0 {
		wk.noted = wk.seen
		close(durable)
		return durable
	}
	facts, finals, number, born := wk.unnoted, wk.finals, wk.seen, wk.born
	wk.unnoted, wk.finals, wk.noting = nil, nil, durable
	began := time.Now()
	dr.goRun(func(ctx context.Context) {
		dr.record(ctx, facts, func() {
			dr.op.Meter.Observe(meter.TimeToRecordEnd, time.Since(began))
			dr.mu.Lock()
			defer dr.mu.Unlock()
			wk.noting = nil
			if wk.born == born {
				wk.noted = max(wk.noted, number)
			}
			dr.settled(finals)
			close(durable)
			if len(wk.unnoted) > 0 {
				dr.note(wk)
			}
		})
	})
	return durable
}

// settled tells callers of the ends that are durable now.
func (dr *Director) settled(finals []*job) {
	now := time.Now()
	for _, jb := range finals {
		jb.durable, jb.endedAt = true, now
		dr.op.Meter.Observe(meter.TimeToEnd, now.Sub(jb.Submitted))
		dr.log(logger.JobEnded, "Job", jb.ID, "Queue", jb.Queue, "State", jb.final, "Took", now.Sub(jb.Submitted).String())
		jb.shrink()
	}
}

// answeredBy notes that the worker has seen this term's epoch.
func (dr *Director) answeredBy(wk *worker) {
	if wk.answered {
		return
	}
	wk.answered = true
	if wk.counted {
		wk.counted = false
		dr.unaccounted--
		if dr.unaccounted == 0 {
			dr.accounted = true
			dr.log(logger.TermAccounted, "Workers", 0, "Reason", "all answered", "Took", time.Since(dr.began).String())
		}
	}
}

// running takes one row of a report.
func (dr *Director) running(wk *worker, row *modeler.ActiveRun, now time.Time) {
	at := wk.attempts[attemptKey{row.Task, row.Run}]
	if at == nil {
		at = dr.adopt(wk, row, now)
		if at == nil {
			return
		}
	}
	at.begin(now)
	at.listed = true
	at.progress = row.Progress
	at.watch.Observe(row.Progress, now)
	if row.Checkpoint != "" && row.Checkpoint != at.checkpoint {
		at.checkpoint = row.Checkpoint
		at.task.checkpoint, at.task.saved = row.Checkpoint, float64(row.Progress)/100
	}
	at.measure = row.Measure
	if at.task.step.spec.TailTarget > 0 {
		dr.noteTail(at, time.Duration(row.Measure)*time.Millisecond, now)
	}
}

// adopt takes over a run of an earlier leader, or stops a run that is not wanted.
func (dr *Director) adopt(wk *worker, row *modeler.ActiveRun, now time.Time) *attempt {
	jb := dr.jobs[row.Task.Job]
	var tk *task
	if jb != nil && jb.final == "" {
		tk = jb.task(row.Task)
	}
	if tk == nil || tk.done || len(tk.attempts) > 0 && !tk.step.spec.Speculative || row.Run < tk.lastRun {
		dr.stopForeign(wk, row.Task, row.Run, now)
		return nil
	}
	at := dr.reserve(tk, wk, row.Run)
	at.adopted = true
	at.begin(now)
	jb.started = true
	return at
}

// stopForeign stops a run that this term does not want.
func (dr *Director) stopForeign(wk *worker, id modeler.TaskID, run modeler.Run, now time.Time) {
	key := attemptKey{id, run}
	if now.Sub(wk.foreign[key]) < foreignRepeat {
		return
	}
	wk.foreign[key] = now
	dr.log(logger.UnexpectedRunStopped, "Worker", wk.info.ID, "Task", id.String(), "Run", run)
	info := wk.info
	dr.goRun(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, orderTimeout)
		defer cancel()
		// A stop that gets no answer is repeated when the run is listed again.
		if err := dr.op.WorkerClient.Stop(ctx, &info, id, run, dr.op.Epoch); err != nil {
			dr.log(logger.StopUnanswered, "Worker", info.ID, "Task", id.String(), "Run", run, "Error", err.Error())
		}
	})
}

// ended takes the ends of a report that are new, and returns what has to become durable before the
// worker may forget them.
func (dr *Director) ended(wk *worker, rows []modeler.EndedRun, listed map[attemptKey]bool, now time.Time) ([]keeper.Fact, []*job) {
	var facts []keeper.Fact
	var finals []*job
	for ix := range rows {
		row := &rows[ix]
		key := attemptKey{row.Task, row.Run}
		listed[key] = true
		if row.Number <= wk.seen {
			continue
		}
		wk.seen = row.Number
		delete(wk.foreign, key)
		jb := dr.jobs[row.Task.Job]
		if jb == nil {
			continue
		}
		tk := jb.task(row.Task)
		if tk == nil {
			continue
		}
		at := wk.attempts[key]
		if dr.count(tk, row.Run, row.Outcome, row.Checkpoint) {
			facts = append(facts, keeper.Fact{RunEnd: &keeper.RunEndFact{
				Task: row.Task.String(), Run: row.Run, Outcome: row.Outcome, Checkpoint: row.Checkpoint,
			}})
		}
		dr.appraise(wk, tk, at, row, now)
		if at != nil {
			dr.drop(at)
		}
		dr.after(tk, now)
		if ft, ok := dr.conclude(jb, now); ok {
			facts = append(facts, ft)
			finals = append(finals, jb)
		}
	}
	return facts, finals
}

// conclude decides the end of a job whose tasks are done or one of whose tasks failed too often.
func (dr *Director) conclude(jb *job, now time.Time) (keeper.Fact, bool) {
	if jb.final != "" {
		return keeper.Fact{}, false
	}
	state := modeler.Completed
	if !jb.complete() {
		if !slices.ContainsFunc(jb.occurrences, dr.hasExhausted) {
			return keeper.Fact{}, false
		}
		state = modeler.Failed
	}
	dr.close(jb, state, now)
	return keeper.Fact{JobEnd: &keeper.JobEndFact{Job: jb.ID, State: state}}, true
}

func (dr *Director) hasExhausted(oc *occurrence) bool {
	for _, sp := range oc.steps {
		if slices.ContainsFunc(sp.tasks, dr.exhausted) {
			return true
		}
	}
	return false
}

// appraise learns from the end of a run.
func (dr *Director) appraise(wk *worker, tk *task, at *attempt, row *modeler.EndedRun, now time.Time) {
	sp := tk.step
	switch row.Outcome {
	case modeler.Done:
		dr.op.Meter.Add(meter.TasksDone, 1)
		wk.record.RecordSuccess(now)
		if at != nil && !at.adopted && tk.saved == 0 && len(sp.totals) < keptTotals {
			sp.totals = append(sp.totals, now.Sub(at.answeredAt))
		}
	case modeler.Failure:
		dr.op.Meter.Add(meter.TasksFailed, 1)
		closed := wk.record.RecordFault(row.Task.Job, now)
		tk.avoidWorker(wk.info.ID)
		dr.log(logger.TaskFailed, "Task", row.Task.String(), "Run", row.Run, "Worker", wk.info.ID, "Failures", len(tk.failures), "Distrust", wk.record.FaultScore(now))
		if closed {
			dr.quarantine(wk, "tasks of several jobs failed")
		}
	case modeler.LeaseExpired, modeler.GangBroken, modeler.GangIncomplete, modeler.Stopped:
		dr.log(logger.RunEnded, "Task", row.Task.String(), "Run", row.Run, "Worker", wk.info.ID, "Outcome", row.Outcome, "Resumes", row.Checkpoint != "")
	}
	if row.Checkpoint != "" && at != nil {
		tk.saved = float64(at.progress) / 100
	}
}

// quarantine closes a worker for a while and takes its runs elsewhere that have not got far.
func (dr *Director) quarantine(wk *worker, why string) {
	dr.op.Meter.Add(meter.WorkersQuarantined, 1)
	dr.log(logger.WorkerQuarantineBegun, "Worker", wk.info.ID, "Runs", len(wk.attempts), "Reason", why)
	for _, at := range wk.list() {
		if !at.task.step.spec.LongRunning && !at.stopping {
			dr.move(at, "worker quarantined")
		}
	}
}

// after puts a task back into the queue that has no run left, and stops copies of one that is done.
func (dr *Director) after(tk *task, now time.Time) {
	if len(tk.attempts) == 0 {
		tk.lastActive = now
	}
	if tk.done || tk.step.occ.job.final != "" {
		for _, at := range slices.Clone(tk.attempts) {
			dr.stop(at, "task is done")
		}
		return
	}
	if len(tk.attempts) == 0 {
		dr.enqueue(tk)
	}
}

// missing ends the runs that a report would have listed.
func (dr *Director) missing(wk *worker, listed map[attemptKey]bool, sentAt, now time.Time) {
	for key, at := range wk.attempts {
		if listed[key] || at.state == placed {
			continue
		}
		began := !at.answeredAt.IsZero() && at.answeredAt.Before(sentAt)
		refused := !at.stopAnsweredAt.IsZero() && at.stopAnsweredAt.Before(sentAt)
		late := at.state == uncertain && at.lateAt > 0 && wk.now(sentAt)-leaseMargin > at.lateAt
		if began || refused || late {
			dr.lose(at, "not on its worker", now)
		}
	}
}
