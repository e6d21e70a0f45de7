package director

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/currantrouter/currantrouter/internal/job/keeper"
	"github.com/currantrouter/currantrouter/internal/job/modeler"
	"github.com/currantrouter/currantrouter/internal/telemetry/logger"
	"github.com/currantrouter/currantrouter/internal/telemetry/meter"
)

// maxReportAge is the usual bound of the time from when a worker composes a report to when it is
// processed. An older report may cause a needless stop, which is harmless.
const maxReportAge = 300 * time.Millisecond

var errNoIncarnation = errors.New("report names no incarnation of the worker")

// noteAnswer notes that a worker has answered a renewal. It needs no stored jobs, so that leases are
// renewed from the beginning of the term. It returns false for a report that cannot be told from one
// of another incarnation, which has other numbers of ends.
func (dr *Director) noteAnswer(wk *worker, fence modeler.Fence, sentAt, answeredAt time.Time, rep *modeler.Report) bool {
	dr.mu.Lock()
	defer dr.mu.Unlock()
	if rep.Incarnation == 0 && wk.incarnation != 0 {
		return false
	}
	// Renewals of one worker are sent one after the other, so that another incarnation than the last
	// is a later one, also if its clock was set back.
	firstOfTerm, restarted := wk.incarnation == 0, rep.Incarnation != wk.incarnation
	if restarted {
		wk.mayHoldEarlierLease = !firstOfTerm
		dr.workerRestarted(wk, rep.Incarnation, time.Now())
	}
	wk.fenced = fence == dr.fence(wk)
	if !sentAt.Before(wk.announcedAt) {
		wk.announcedAt = time.Time{}
	}
	if wk.unreachable && wk.answered {
		dr.log(logger.WorkerReachable, "Worker", wk.info.ID, "Runs", len(rep.Running), "Ends", len(rep.Ended))
		dr.dropCopies(wk)
	}
	longest := max(dr.op.Limits.Lease, dr.op.Limits.LongestLease)
	if !wk.answered {
		// An earlier leader cannot have given a longer lease, and can give none from now on.
		wk.leaseEnd = max(wk.leaseEnd, rep.Clock+dr.op.Limits.Lease)
	}
	if firstOfTerm {
		wk.leaseEnd = max(wk.leaseEnd, dr.lateLeaseEnd(wk, rep))
	}
	if wk.mayHoldEarlierLease {
		// A request for the earlier incarnation, carried out late, may have given this one more.
		wk.leaseEnd = max(wk.leaseEnd, rep.Clock+longest)
		wk.mayHoldEarlierLease = !wk.fenced
	}
	if wk.unreachable || !wk.answered {
		wk.noteAvailable(answeredAt)
	}
	wk.clock, wk.clockAt, wk.unreachable, wk.answered = rep.Clock, answeredAt, false, true
	// An earlier report may have had a clock that was too far ahead.
	wk.leaseEnd = min(wk.leaseEnd, rep.Clock+longest)
	if left := wk.leaseEnd - rep.Clock; restarted && left > dr.longRunningLease() {
		dr.log(logger.WorkerLongLeasePossible, "Worker", wk.info.ID, "LeaseLeft", left.String(), "Limit", dr.longRunningLease().String())
	}
	return true
}

// handleReport processes a worker's report, after noteAnswer. The returned channel is closed once the
// reported ends are durable.
func (dr *Director) handleReport(wk *worker, sentAt time.Time, rep *modeler.Report) <-chan struct{} {
	arrived := time.Now()
	dr.mu.Lock()
	defer dr.mu.Unlock()
	now := time.Now()
	defer dr.usage.addReport(arrived, now, len(rep.Running)+len(rep.Ended))
	if rep.LeftOut > 0 {
		dr.invalid.Report(logger.ReportInvalid, meter.ReportsInvalid, string(wk.info.ID), rep.LeftOutReason, "Worker", wk.info.ID, "LeftOut", rep.LeftOut)
	}
	wk.renewal.phase = recordingReport
	wk.reported = wk.fenced
	listed := make(map[attemptKey]bool, len(rep.Running)+len(rep.Ended))
	wk.deferredRuns = nil
	for ix := range rep.Running {
		row := &rep.Running[ix]
		listed[attemptKey{row.Task, row.Run}] = true
		if !dr.deferRun(wk, row) {
			dr.updateRun(wk, row, now)
		}
	}
	dr.handleEnds(wk, rep, listed, now)
	if !rep.MoreEnds {
		dr.markAccounted(wk, "all answered")
		dr.loseMissingRuns(wk, listed, sentAt, now)
	}
	dr.updateCancelledRuns(wk, rep.Running, now)
	wk.forgetStops(listed, sentAt)
	dr.checkRuns(wk, now)
	dr.paceBestEffort(wk, now)
	dr.noteHeldRows(wk, now)
	durable := dr.recordEnds(wk)
	if len(wk.deferredEnds) > 0 {
		// The worker lists these ends again at once.
		return make(chan struct{})
	}
	return durable
}

// handleEnds handles the ends of a report that are new. They may be listed in any order.
func (dr *Director) handleEnds(wk *worker, rep *modeler.Report, listed map[attemptKey]bool, now time.Time) {
	slices.SortStableFunc(rep.Ended, func(one, two modeler.EndedRun) int { return cmp.Compare(one.Number, two.Number) })
	processedBefore := wk.processedEnd
	for ix := range rep.Ended {
		row := &rep.Ended[ix]
		listed[attemptKey{row.Task, row.Run}] = true
		if row.Number <= processedBefore {
			continue
		}
		wk.processedEnd = row.Number
		if !dr.deferEnd(wk, row) {
			dr.handleEnd(wk, row, now)
		}
	}
	wk.processedEnd = max(wk.processedEnd, rep.LastEnd)
}

// ackableEnd returns the number of the last end that may be acknowledged once all facts are durable.
func (wk *worker) ackableEnd() int64 {
	if len(wk.deferredEnds) > 0 {
		return wk.deferredEnds[0].Number - 1
	}
	return wk.processedEnd
}

// recordEnds records the ends of a worker that are not durable yet, one batch at a time: the worker
// drops all ends up to the acknowledged number, so a later batch must not become durable before an
// earlier one. The returned channel is closed once the current batch is durable.
func (dr *Director) recordEnds(wk *worker) <-chan struct{} {
	if wk.recording != nil {
		return wk.recording
	}
	durable := make(chan struct{})
	if len(wk.unrecordedFacts) == 0 {
		wk.ackedEnd = wk.ackableEnd()
		close(durable)
		return durable
	}
	facts, endedJobs, lastEnd, incarnation := wk.unrecordedFacts, wk.unrecordedJobs, wk.ackableEnd(), wk.incarnation
	wk.unrecordedFacts, wk.unrecordedJobs, wk.recording = nil, nil, durable
	began := time.Now()
	wk.recordingSince = began
	dr.startGoroutine(func(ctx context.Context) {
		dr.record(ctx, facts, func() {
			dr.op.Meter.Observe(meter.TimeToRecordEnd, time.Since(began))
			dr.mu.Lock()
			defer dr.mu.Unlock()
			wk.recording = nil
			if wk.incarnation == incarnation {
				wk.ackedEnd = max(wk.ackedEnd, lastEnd)
			}
			dr.markDurable(endedJobs)
			close(durable)
			if len(wk.unrecordedFacts) > 0 {
				dr.recordEnds(wk)
			}
		})
	})
	return durable
}

// markDurable marks the ends of jobs as durable, so that they are reported to callers.
func (dr *Director) markDurable(endedJobs []*job) {
	now := time.Now()
	for _, jb := range endedJobs {
		jb.durable, jb.endedAt = true, now
		dr.op.Meter.Observe(meter.TimeToEnd, now.Sub(jb.Submitted))
		ev := logger.JobEnded
		if jb.finalState == modeler.Failed {
			ev = logger.JobFailed
		}
		dr.log(ev, "Job", jb.ID, "Queue", jb.Queue, "State", jb.finalState, "Took", now.Sub(jb.Submitted).String())
		jb.freeTasks()
	}
}

// markAccounted notes that a worker runs no task that this leader does not know of.
func (dr *Director) markAccounted(wk *worker, reason string) {
	if !wk.unaccounted {
		return
	}
	wk.unaccounted = false
	dr.unaccountedWorkers--
	if dr.unaccountedWorkers == 0 {
		dr.allAccounted = true
		dr.log(logger.TermAccounted, "Workers", 0, "Reason", reason, "Took", time.Since(dr.termStart).String())
	}
}

// updateRun updates an attempt from a report.
func (dr *Director) updateRun(wk *worker, row *modeler.ActiveRun, now time.Time) {
	at := wk.attempts[attemptKey{row.Task, row.Run}]
	if at == nil && !dr.possibleRun(row.Run) {
		// A stop would make the worker refuse all lower runs of the task.
		dr.reportImpossibleRun(wk, row.Task, row.Run)
		return
	}
	if at == nil {
		at = dr.adopt(wk, row, now)
		if at == nil {
			return
		}
	}
	at.markActive(now)
	at.listed = true
	if at.stopping && !at.stopAnsweredAt.IsZero() && now.Sub(at.stopAnsweredAt) > dr.op.Limits.StopGrace+maxReportAge {
		at.stopping = false
		dr.stopRun(at, "listed after its stop was answered")
	}
	at.progress = row.Progress
	at.runProgress.Observe(row.Progress, now)
	if row.Checkpoint != "" && row.Checkpoint != at.checkpoint {
		at.checkpoint = row.Checkpoint
		at.task.checkpoint, at.task.savedShare = row.Checkpoint, float64(row.Progress)/100
		at.task.checkpointRun = at.run
		dr.unsavedCheckpoints.noteCheckpoint(at.task)
	}
	at.measure = row.Measure
	if at.task.step.spec.TailTarget > 0 {
		dr.observeTail(at, time.Duration(row.Measure)*time.Millisecond, now)
	}
}

// reportImpossibleRun reports a run with a number that no leader can have given.
func (dr *Director) reportImpossibleRun(wk *worker, id modeler.TaskID, run modeler.Run) {
	dr.invalid.Report(logger.ReportInvalid, meter.ReportsInvalid, string(wk.info.ID), fmt.Errorf("run %d of %s", run, id), "Worker", wk.info.ID, "LeftOut", 1)
}

// adopt creates an attempt for a run that an earlier leader started, or stops the run and returns
// nil if this term does not want it.
func (dr *Director) adopt(wk *worker, row *modeler.ActiveRun, now time.Time) *attempt {
	jb := dr.jobs[row.Task.Job]
	var tk *task
	if jb != nil && jb.finalState == "" {
		tk = dr.startedTask(jb, row.Task, now.Add(maxClockStep))
	}
	if tk == nil || tk.done || len(tk.attempts) > 0 && !tk.step.spec.Speculative || row.Run < tk.lastRun {
		wk.noteCancelledRun(attemptKey{row.Task, row.Run}, jb)
		dr.stopUnexpected(wk, row.Task, row.Run, now)
		return nil
	}
	if tk.mayHaveUnknownRun {
		tk.runsBeforeAdopted = runsBefore(row.Run)
	}
	at := dr.reserve(tk, wk, row.Run)
	at.adopted = true
	if tk.step.spec.BestEffort {
		at.pace = unknownPace
	}
	at.markActive(now)
	at.runProgress.Adopt(row.Progress, now)
	jb.started = true
	return at
}

// unexpectedRun is a run that this term does not want, on a worker that was asked to stop it.
type unexpectedRun struct {
	worker *worker
	key    attemptKey
}

// mayRunUnexpectedly reports whether a run of a task that this term does not want may go on or start late.
func (dr *Director) mayRunUnexpectedly(tk *task, now time.Time) bool {
	tk.unexpected = slices.DeleteFunc(tk.unexpected, func(ur unexpectedRun) bool {
		wk := ur.worker
		expired := now.Sub(wk.unansweredStarts[ur.key]) > dr.longestLateRun() && dr.leaseEndConfirmed(wk, 0, now)
		return wk.unexpectedStops[ur.key] == nil || dr.workers[wk.info.ID] != wk || expired
	})
	return len(tk.unexpected) > 0 && !tk.step.spec.Speculative
}

// unexpectedStop is the stop of a run that this term does not want.
type unexpectedStop struct {
	// answeredAt is when the worker answered the stop, zero while it is repeated.
	answeredAt time.Time
}

// stopUnexpected stops a run that this term does not want, unless its stop is still repeated or was
// answered a moment ago.
func (dr *Director) stopUnexpected(wk *worker, id modeler.TaskID, run modeler.Run, now time.Time) {
	key := attemptKey{id, run}
	if us := wk.unexpectedStops[key]; us != nil && (us.answeredAt.IsZero() || now.Sub(us.answeredAt) < minUnexpectedStopInterval) {
		return
	}
	us := &unexpectedStop{}
	wk.unexpectedStops[key] = us
	if jb := dr.jobs[id.Job]; jb != nil {
		if tk := jb.task(id); tk != nil {
			tk.unexpected = append(tk.unexpected, unexpectedRun{wk, key})
		}
	}
	dr.log(logger.UnexpectedRunStopped, "Worker", wk.info.ID, "Task", id.String(), "Run", run)
	dr.startGoroutine(func(ctx context.Context) {
		needless := func() bool { return wk.unexpectedStops[key] != us || dr.workers[wk.info.ID] != wk }
		dr.repeatStop(ctx, wk, key, needless, func(err error) { wk.noteUnexpectedStop(key, err) }, func() { us.answeredAt = time.Now() })
	})
}

// forgetStops drops the answered stops of unexpected runs that a report, requested after the answer,
// does not list.
func (wk *worker) forgetStops(listed map[attemptKey]bool, sentAt time.Time) {
	for key, us := range wk.unexpectedStops {
		if !listed[key] && !us.answeredAt.IsZero() && us.answeredAt.Before(sentAt) {
			delete(wk.unexpectedStops, key)
		}
	}
}

// handleEnd processes the end of a run. The facts that have to be durable before the worker may drop
// the end are recorded by recordEnds.
func (dr *Director) handleEnd(wk *worker, row *modeler.EndedRun, now time.Time) {
	key := attemptKey{row.Task, row.Run}
	delete(wk.unexpectedStops, key)
	jb := dr.jobs[row.Task.Job]
	if jb == nil {
		return
	}
	tk := dr.startedTask(jb, row.Task, now.Add(maxClockStep))
	if tk == nil {
		return
	}
	at := wk.attempts[key]
	if at == nil && !dr.possibleRun(row.Run) {
		dr.reportImpossibleRun(wk, row.Task, row.Run)
		return
	}
	end := &keeper.RunEndFact{Task: row.Task.String(), Run: row.Run, Outcome: row.Outcome, Checkpoint: row.Checkpoint}
	if row.Outcome == modeler.Failure {
		end.Worker = wk.info.ID
	}
	if dr.applyRunEnd(tk, end) {
		wk.unrecordedFacts = append(wk.unrecordedFacts, keeper.Fact{RunEnd: end})
	}
	dr.recordOutcome(wk, tk, at, row, now)
	if at != nil {
		dr.release(at)
	}
	dr.afterRunEnd(tk, now)
	if ft, ok := dr.endFinishedJob(jb, now); ok {
		wk.unrecordedFacts = append(wk.unrecordedFacts, ft)
		wk.unrecordedJobs = append(wk.unrecordedJobs, jb)
	}
}

// endFinishedJob ends a job of which all tasks are done or one has failed too often, and returns
// the fact to record.
func (dr *Director) endFinishedJob(jb *job, now time.Time) (keeper.Fact, bool) {
	if jb.finalState != "" {
		return keeper.Fact{}, false
	}
	state := modeler.Completed
	if !jb.isComplete() {
		if !slices.ContainsFunc(jb.occurrences, dr.hasExhaustedTask) {
			return keeper.Fact{}, false
		}
		state = modeler.Failed
	}
	dr.endJob(jb, state, now)
	dr.observeJobEnd(jb, now)
	return dr.jobEndFact(jb.ID, state, now), true
}

func (dr *Director) hasExhaustedTask(oc *occurrence) bool {
	for _, sp := range oc.steps {
		if !sp.spec.LongRunning && slices.ContainsFunc(sp.tasks, dr.attemptsExhausted) {
			return true
		}
	}
	return false
}

// recordOutcome updates the worker's fault history, the step's run times and the metrics from the
// end of a run.
func (dr *Director) recordOutcome(wk *worker, tk *task, at *attempt, row *modeler.EndedRun, now time.Time) {
	sp := tk.step
	switch row.Outcome {
	case modeler.Done:
		dr.op.Meter.Add(meter.TasksDone, 1)
		wk.faultHistory.RecordSuccess(now)
		// The begin of a run is unknown if its end is reported before the answer to its start.
		if at != nil && !at.adopted && !at.answeredAt.IsZero() {
			if !at.resumes && len(sp.runTimes) < maxRunTimes {
				sp.runTimes = append(sp.runTimes, now.Sub(at.answeredAt))
			}
			if dr.op.LoadHints {
				dr.loadHint.observer.ObserveRun(sp.occ.job.Queue, now.Sub(at.answeredAt), sp.spec.Estimate, now)
			}
		}
	case modeler.Failure:
		dr.op.Meter.Add(meter.TasksFailed, 1)
		quarantined := wk.faultHistory.RecordFault(row.Task.Job, now)
		tk.avoidWorker(wk.info.ID)
		dr.log(logger.TaskFailed, "Task", row.Task.String(), "Run", row.Run, "Worker", wk.info.ID, "Failures", len(tk.failures), "Attempts", dr.maxAttempts(tk.step.occ.job), "Distrust", wk.faultHistory.FaultScore(now))
		if quarantined {
			dr.quarantine(wk, "tasks of several jobs failed")
		}
	case modeler.LeaseExpired, modeler.GangBroken, modeler.GangIncomplete, modeler.Stopped:
		dr.log(logger.RunEnded, "Task", row.Task.String(), "Run", row.Run, "Worker", wk.info.ID, "Outcome", row.Outcome, "Resumes", row.Checkpoint != "")
	}
	if row.Checkpoint != "" && at != nil {
		tk.savedShare = float64(at.progress) / 100
	}
}

// quarantine moves the runs of a worker that has just been quarantined, except long-running ones.
func (dr *Director) quarantine(wk *worker, reason string) {
	dr.op.Meter.Add(meter.WorkersQuarantined, 1)
	dr.log(logger.WorkerQuarantineBegun, "Worker", wk.info.ID, "Runs", len(wk.attempts), "Reason", reason)
	if ft, ok := dr.quarantineFact(wk, time.Now()); ok {
		dr.startGoroutine(func(ctx context.Context) { dr.record(ctx, []keeper.Fact{ft}, func() {}) })
	}
	for _, at := range wk.listAttempts() {
		if !at.task.step.spec.LongRunning && !at.stopping {
			dr.moveRun(at, "worker quarantined")
		}
	}
}

// quarantineFact returns the fact of a worker's last quarantine, and false if it does not matter any more.
func (dr *Director) quarantineFact(wk *worker, now time.Time) (keeper.Fact, bool) {
	if qf := wk.inheritedQuarantine; wk.incarnation == 0 && qf != nil {
		return keeper.Fact{Quarantined: qf}, true
	}
	until, length, ok := wk.faultHistory.LastQuarantine(now)
	if !ok {
		return keeper.Fact{}, false
	}
	return keeper.Fact{Quarantined: &keeper.QuarantineFact{Worker: wk.info.ID, Incarnation: wk.incarnation, Until: dr.journalClock(until), Length: length}}, true
}

// restoreQuarantine goes on with a quarantine of an earlier leader that is not over for longer than it lasted.
func (dr *Director) restoreQuarantine(wk *worker, qf *keeper.QuarantineFact, now time.Time) {
	if until := dr.journalTime(qf.Until); now.Sub(until) < qf.Length {
		wk.faultHistory.RestoreQuarantine(until, qf.Length, now)
	}
}

// afterRunEnd requeues a task that has no run left, or stops the other runs of one that is done.
func (dr *Director) afterRunEnd(tk *task, now time.Time) {
	if len(tk.attempts) == 0 {
		tk.lastActive = now
	}
	if tk.done || tk.step.occ.job.finalState != "" {
		for _, at := range slices.Clone(tk.attempts) {
			dr.stopRun(at, "task is done")
		}
		return
	}
	if len(tk.attempts) == 0 {
		dr.enqueue(tk)
	}
}

// loseMissingRuns ends the runs that a report does not list although the worker would have listed
// them.
func (dr *Director) loseMissingRuns(wk *worker, listed map[attemptKey]bool, sentAt, now time.Time) {
	for key, at := range wk.attempts {
		if listed[key] || at.state == placed {
			continue
		}
		// Each of these held before the renewal was sent, so the report would list the run if it were
		// active.
		accepted := !at.answeredAt.IsZero() && at.answeredAt.Before(sentAt)
		stopped := !at.stopAnsweredAt.IsZero() && at.stopAnsweredAt.Before(sentAt)
		late := wk.minClock(sentAt)-leaseMargin > at.startDeadline || wk.fenced && at.fence < dr.fence(wk)
		rejected := at.state == uncertain && at.startDeadline > 0 && late
		if accepted || stopped || rejected {
			dr.loseRun(at, "not listed by its worker", now)
		}
	}
}
