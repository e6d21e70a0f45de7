package scheduler

import (
	"context"
	"time"

	"github.com/currantrouter/currantrouter/internal/batch/estimator"
	"github.com/currantrouter/currantrouter/internal/batch/evictor"
	"github.com/currantrouter/currantrouter/internal/fleet/modeler"
	"github.com/currantrouter/currantrouter/internal/provider/supervisor"
	"github.com/currantrouter/currantrouter/internal/telemetry/logger"
	"github.com/currantrouter/currantrouter/internal/telemetry/meter"
)

const (
	// checkpointTimeout is the time that an eviction waits for a new checkpoint.
	checkpointTimeout = 30 * time.Second
	// minSampleReports is the number of reports after which the usage of a running task is sampled,
	// so that the usage of services, which never end, is learned too.
	minSampleReports = 10
	// minFailureDelay is the delay of a job after its first failure. It doubles with each further
	// failure.
	minFailureDelay = time.Second
	// maxFailureDelay bounds the delay of a job after a failure.
	maxFailureDelay = time.Minute
)

// attemptEnd describes the end of an attempt.
type attemptEnd struct {
	cause      EndCause
	checkpoint string
	reason     string
	// runTime is set for an attempt that finished its task.
	runTime time.Duration
	// forget is set when the worker reports the attempt until Forget acknowledges its end.
	forget bool
}

func (sc *Scheduler) requestReport(ws *workerState) {
	ws.polling = true
	var rp supervisor.WorkerReport
	var requested time.Time
	sc.enqueue(ws, command{
		send: func(ctx context.Context, wk supervisor.Worker) error {
			requested = time.Now()
			var err error
			rp, err = sc.opts.Workers.Report(ctx, wk)
			return err
		},
		done: func(err error, now time.Time) {
			ws.polling = false
			if err == nil {
				sc.handleReport(ws, rp, requested, now)
			}
		},
	})
}

// handleReport handles a worker's report. Requested is the time of the request by this process'
// clock.
func (sc *Scheduler) handleReport(ws *workerState, rp supervisor.WorkerReport, requested, now time.Time) {
	if ws.unresponsive {
		logger.Log(sc.lg, logger.WorkerAnswers, "Worker", ws.worker.Name)
	}
	ws.reported, ws.unresponsive, ws.startRefused, ws.declaredGone = true, false, false, false
	ws.lastReportRequested = requested
	delete(sc.leases.boundsDue, ws.worker.Name)
	listed := make(map[supervisor.Attempt]bool, len(rp.Running)+len(rp.Ended))
	ws.unknownAttempts = 0
	for i := range rp.Running {
		listed[rp.Running[i].Attempt] = true
		sc.handleReportedRunning(ws, &rp.Running[i], now)
	}
	sc.placer.UpdateIndex(ws.worker.Name)
	sc.handleReportedEnded(ws, rp, listed, requested)
	for at, aa := range ws.attempts {
		if !listed[at] {
			sc.handleNotReported(aa, requested)
		}
	}
	sc.learnInterference(ws)
	sc.relieveOverload(ws, now)
	sc.updateUnschedulable(ws)
}

func (sc *Scheduler) handleReportedRunning(ws *workerState, ar *supervisor.AttemptReport, now time.Time) {
	aa, ok := ws.attempts[ar.Attempt]
	if !ok || !aa.startRecorded {
		ws.unknownAttempts++
		sc.afterLeadershipCheck(func() { sc.stopUnknownAttempt(ws, ar.Attempt) })
		return
	}
	aa.confirmed = true
	if aa.started.IsZero() {
		aa.started = ar.Started
	}
	aa.checkpoint = ar.Checkpoint
	aa.slowdown = ar.Slowdown
	sc.recordUsage(aa, ar.Usage)
	if aa.recovered && !aa.unthrottleSent && !aa.job.LatencyCritical {
		// The previous leader may have throttled the attempt. The evictor throttles it again if
		// needed.
		aa.unthrottleSent = true
		sc.sendThrottle(ws, aa.attempt, 1)
	}
	switch {
	case aa.job.cancelled:
		sc.stopAttempt(ws, aa, now)
	case aa.evicting:
		sc.continueEviction(ws, aa, now)
	}
}

// recordUsage records the measured usage of a running attempt. The usage is zero before the first
// measurement.
func (sc *Scheduler) recordUsage(aa *activeAttempt, usage supervisor.Resources) {
	if usage == (supervisor.Resources{}) {
		return
	}
	aa.usage = usage
	aa.peakUsage = maxResources(aa.peakUsage, usage)
	aa.reports = sc.placer.ObserveUsage(aa.worker, aa.attempt, usage)
	if aa.reports >= minSampleReports && !aa.usageSampled {
		aa.usageSampled = true
		sc.estimator.ObserveUsage(aa.kind, aa.peakUsage)
		// Otherwise a long task that runs well would keep a probed worker quarantined for hours.
		sc.recordReadmission(aa, sc.detector.RanWithoutFailure(aa.worker, aa.job.id))
	}
}

func maxResources(a, b supervisor.Resources) supervisor.Resources {
	return supervisor.Resources{
		Millicores:   max(a.Millicores, b.Millicores),
		MemoryBytes:  max(a.MemoryBytes, b.MemoryBytes),
		Accelerators: max(a.Accelerators, b.Accelerators),
	}
}

// handleReportedEnded records the ends that are new and acknowledges those that are already
// recorded.
func (sc *Scheduler) handleReportedEnded(ws *workerState, rp supervisor.WorkerReport, listed map[supervisor.Attempt]bool, requested time.Time) {
	var recorded []supervisor.Attempt
	for i := range rp.Ended {
		ar := &rp.Ended[i]
		listed[ar.Attempt] = true
		aa, ok := ws.attempts[ar.Attempt]
		switch {
		case !ok:
			recorded = append(recorded, ar.Attempt)
		case aa.startRecorded:
			aa.peakUsage = maxResources(aa.peakUsage, ar.Usage)
			sc.endAttempt(aa, attemptEndOf(ar, aa.started, requested))
		}
	}
	if len(recorded) > 0 {
		sc.afterLeadershipCheck(func() { sc.sendForget(ws, recorded) })
	}
}

func (sc *Scheduler) stopUnknownAttempt(ws *workerState, at supervisor.Attempt) {
	if _, ok := ws.attempts[at]; ok {
		return
	}
	logger.Log(sc.lg, logger.AttemptNotExpected, "Worker", ws.worker.Name, "Job", at.Job, "Task", at.Task, "Attempt", at.Number)
	sc.sendStop(ws, at)
}

// afterLeadershipCheck calls act once an append has succeeded, which confirms the leadership. It
// guards actions on attempts that this leader does not know: a newer leader may have started the
// attempt or may still have to record its end.
func (sc *Scheduler) afterLeadershipCheck(act func()) {
	if sc.writer.failing {
		return
	}
	rm := &RecordMessage{Record: &RecordMessage_Beat{Beat: &BeatMessage{}}}
	sc.propose(rm, func(time.Time) { act() }, func(error) {})
}

// attemptEndOf converts the report of an ended attempt. The run time is too long by at most the
// time between two reports.
func attemptEndOf(ar *supervisor.AttemptReport, started, requested time.Time) attemptEnd {
	ae := attemptEnd{checkpoint: ar.Checkpoint, reason: ar.Reason, forget: true}
	switch ar.State {
	case supervisor.AttemptDone:
		ae.cause = EndCause_END_CAUSE_DONE
		if started.IsZero() {
			started = ar.Started
		}
		ae.runTime = max(requested.Sub(started), 0)
	case supervisor.AttemptFailed:
		ae.cause = EndCause_END_CAUSE_FAILED
	case supervisor.AttemptStopped:
		ae.cause = EndCause_END_CAUSE_STOPPED
	default:
		ae.cause = EndCause_END_CAUSE_LOST
	}
	return ae
}

// handleNotReported handles an attempt that a report does not list. That proves that the attempt
// does not run only if the report was requested after the start had expired.
func (sc *Scheduler) handleNotReported(aa *activeAttempt, requested time.Time) {
	if !aa.startRecorded || aa.endPending || !requested.After(aa.startBefore.Add(modeler.DriftAllowance(maxStartDelay))) {
		return
	}
	if aa.confirmed || !aa.job.Repeatable {
		// The worker has restarted, or it may have started the attempt and restarted since.
		sc.endAsLost(aa, "the worker does not know the attempt")
		return
	}
	sc.endAttempt(aa, attemptEnd{cause: EndCause_END_CAUSE_NOT_STARTED, reason: "the start did not reach the worker"})
}

// endAsLost ends an attempt whose result is unknown. A task that is not repeatable then waits for
// Resolve.
func (sc *Scheduler) endAsLost(aa *activeAttempt, reason string) {
	sc.endAttempt(aa, attemptEnd{cause: EndCause_END_CAUSE_LOST, checkpoint: aa.checkpoint, reason: reason})
}

// endAttempt records the end of an attempt, once. Its reservation stays until the record is
// durable.
func (sc *Scheduler) endAttempt(aa *activeAttempt, ae attemptEnd) {
	if aa.endPending {
		return
	}
	aa.endPending = true
	em := &EndMessage{
		Job: aa.job.id, Task: uint32(aa.no), Attempt: uint32(aa.attempt.Number),
		Cause: ae.cause, Checkpoint: ae.checkpoint, Reason: ae.reason,
	}
	sc.propose(&RecordMessage{Record: &RecordMessage_End{End: em}},
		func(now time.Time) { sc.handleEndRecorded(aa, ae, now) }, nil)
}

func (sc *Scheduler) handleEndRecorded(aa *activeAttempt, ae attemptEnd, now time.Time) {
	sc.releaseAttempt(aa)
	sc.learnFromEnd(aa, ae, now)
	sc.logEnd(aa, ae)
	switch aa.job.tasks[aa.no].phase {
	case phaseWaiting, phaseEvicted:
		sc.requeue(aa.job, aa.no)
	}
	if aa.job.finished() {
		sc.detector.ForgetJob(aa.job.id)
	}
	ws, ok := sc.workers[aa.worker]
	if ok && ae.forget {
		sc.sendForget(ws, []supervisor.Attempt{aa.attempt})
	}
	if ok {
		sc.updateUnschedulable(ws)
	}
}

// releaseAttempt releases the reservation of an attempt and removes the attempt.
func (sc *Scheduler) releaseAttempt(aa *activeAttempt) {
	sc.addRunning(aa, -1)
	if ws, ok := sc.workers[aa.worker]; ok {
		delete(ws.attempts, aa.attempt)
	}
	sc.removeUnlisted(aa)
	sc.placer.Release(aa.worker, aa.attempt)
	sc.queue.team(aa.job.Team).addReserved(negate(aa.job.tasks[aa.no].reservation), sc.placer.Capacity())
	sc.roundNeeded = true
}

func (sc *Scheduler) removeUnlisted(aa *activeAttempt) {
	kept := sc.unlisted[aa.worker][:0]
	for _, other := range sc.unlisted[aa.worker] {
		if other != aa {
			kept = append(kept, other)
		}
	}
	if len(kept) == 0 {
		delete(sc.unlisted, aa.worker)
		return
	}
	sc.unlisted[aa.worker] = kept
}

func (sc *Scheduler) learnFromEnd(aa *activeAttempt, ae attemptEnd, now time.Time) {
	if aa.peakUsage != (supervisor.Resources{}) && !aa.usageSampled {
		sc.estimator.ObserveUsage(aa.kind, aa.peakUsage)
	}
	switch ae.cause {
	case EndCause_END_CAUSE_DONE:
		sc.mt.Add(meter.TasksDone, 1)
		aa.job.failures = 0
		// A resumed attempt did only a part of the task.
		if !aa.job.tasks[aa.no].resuming {
			sc.estimator.ObserveRunTime(aa.kind, ae.runTime)
		}
		sc.recordReadmission(aa, sc.detector.Succeeded(aa.worker, aa.job.id))
	case EndCause_END_CAUSE_FAILED:
		sc.mt.Add(meter.TasksFailed, 1)
		sc.learnFromFailure(aa, ae.reason, now)
	default:
		sc.detector.Inconclusive(aa.worker, aa.job.id, now)
	}
}

// recordReadmission logs and counts the end of a quarantine, if the worker was readmitted.
func (sc *Scheduler) recordReadmission(aa *activeAttempt, readmitted bool) {
	if readmitted {
		logger.Log(sc.lg, logger.WorkerReadmitted, "Worker", aa.worker)
		sc.mt.Add(meter.WorkersInQuarantine, -1)
		sc.proposeQuarantine(aa.worker, true)
	}
}

func (sc *Scheduler) learnFromFailure(aa *activeAttempt, reason string, now time.Time) {
	jb := aa.job
	dg := sc.detector.Failed(aa.worker, jb.id, reason, now)
	jb.delayedUntil = now.Add(min(minFailureDelay<<min(jb.failures, 9), maxFailureDelay))
	if !sc.detector.Quarantined(aa.worker) {
		jb.failures++
	}
	if dg.Quarantined {
		logger.Log(sc.lg, logger.WorkerQuarantined, "Worker", aa.worker, "Reason", reason)
		sc.mt.Add(meter.WorkersInQuarantine, 1)
		sc.proposeQuarantine(aa.worker, false)
	}
	if dg.CannotRun {
		sc.markCannotRun(jb, dg.Reasons)
	}
}

// proposeQuarantine records the begin or the end of a quarantine for the next leaders.
func (sc *Scheduler) proposeQuarantine(name modeler.WorkerName, ended bool) {
	qm := &QuarantineMessage{Worker: string(name), Ended: ended}
	sc.propose(&RecordMessage{Record: &RecordMessage_Quarantine{Quarantine: qm}}, func(time.Time) {}, nil)
}

func (sc *Scheduler) logEnd(aa *activeAttempt, ae attemptEnd) {
	kv := []any{"Worker", aa.worker, "Job", aa.attempt.Job, "Task", aa.no, "Attempt", aa.attempt.Number, "Reason", ae.reason}
	switch {
	case aa.job.tasks[aa.no].phase == phaseUnknown:
		sc.mt.Add(meter.TasksLost, 1)
		logger.Log(sc.lg, logger.TaskResultUnknown, kv...)
	case ae.cause == EndCause_END_CAUSE_LOST:
		sc.mt.Add(meter.TasksLost, 1)
		logger.Log(sc.lg, logger.AttemptLost, kv...)
	case ae.cause == EndCause_END_CAUSE_NOT_STARTED:
		sc.mt.Add(meter.TasksNotStarted, 1)
	}
}

func (sc *Scheduler) sendForget(ws *workerState, ats []supervisor.Attempt) {
	sc.enqueue(ws, command{
		send: func(ctx context.Context, wk supervisor.Worker) error {
			return sc.opts.Workers.Forget(ctx, wk, sc.opts.Epoch, ats)
		},
		// A lost command is repeated after the next report that lists the attempt.
		done: func(error, time.Time) {},
	})
}

// learnInterference passes the slowdowns of the worker's tasks to the estimator. It considers only
// tasks with two measurements, and throttled tasks only as co-runners.
func (sc *Scheduler) learnInterference(ws *workerState) {
	aas := make([]*activeAttempt, 0, len(ws.attempts))
	var used supervisor.Resources
	for _, aa := range ws.attempts {
		if !aa.confirmed || aa.reports < 2 {
			continue
		}
		aas = append(aas, aa)
		used.Millicores += aa.usage.Millicores
		used.MemoryBytes += aa.usage.MemoryBytes
	}
	load := maxShare(used, ws.worker.Capacity)
	others := make([]estimator.Kind, 0, len(aas))
	for _, victim := range aas {
		if victim.slowdown < 1 || victim.throttled {
			continue
		}
		others = others[:0]
		for _, aa := range aas {
			if aa != victim {
				others = append(others, aa.kind)
			}
		}
		sc.estimator.ObserveSlowdown(victim.kind, victim.slowdown, load, others)
	}
}

// relieveOverload throttles, unthrottles and evicts tasks of a worker as the evictor decides.
func (sc *Scheduler) relieveOverload(ws *workerState, now time.Time) {
	es := evictor.WorkerState{Worker: ws.worker.Name, Capacity: ws.worker.Capacity}
	for _, aa := range ws.attempts {
		if aa.confirmed && !aa.endPending {
			es.Tasks = append(es.Tasks, sc.evictorTask(ws, aa, now))
		}
	}
	dc := sc.evictor.Decide(es, now)
	sc.throttleAttempts(ws, dc.Throttle, evictor.ThrottledShare)
	sc.throttleAttempts(ws, dc.Unthrottle, 1)
	for _, at := range dc.Evict {
		sc.evict(ws, ws.attempts[at])
	}
}

func (sc *Scheduler) throttleAttempts(ws *workerState, ats []supervisor.Attempt, share float64) {
	for _, at := range ats {
		if aa, ok := ws.attempts[at]; ok {
			aa.throttled = share < 1
			sc.sendThrottle(ws, at, share)
		}
	}
}

func (sc *Scheduler) evictorTask(ws *workerState, aa *activeAttempt, now time.Time) evictor.Task {
	tk := evictor.Task{
		Attempt: aa.attempt, Usage: aa.usage, Slowdown: aa.slowdown,
		LatencyCritical: aa.job.LatencyCritical, CanCheckpoint: aa.job.CanCheckpoint,
		Evictable: !aa.evicting && !aa.job.cancelled && (aa.job.Repeatable || aa.job.CanCheckpoint),
		Age:       now.Sub(aa.started),
	}
	if !tk.LatencyCritical && tk.Evictable {
		for _, other := range ws.attempts {
			if other.job.LatencyCritical {
				tk.Interference += sc.estimator.Interference(other.kind, aa.kind, 1)
			}
		}
	}
	return tk
}

// evict records the eviction and then requests a checkpoint.
func (sc *Scheduler) evict(ws *workerState, aa *activeAttempt) {
	aa.evicting = true
	aa.checkpointDeadline = time.Time{}
	sc.mt.Add(meter.TasksEvicted, 1)
	em := &EvictMessage{Job: aa.job.id, Task: uint32(aa.no), Attempt: uint32(aa.attempt.Number)}
	sc.propose(&RecordMessage{Record: &RecordMessage_Evict{Evict: em}},
		func(now time.Time) {
			logger.Log(sc.lg, logger.TaskEvicted, "Worker", aa.worker, "Job", aa.attempt.Job, "Task", aa.no)
			sc.continueEviction(ws, aa, now)
		},
		func(error) { aa.evicting = false })
}

// continueEviction requests a checkpoint and stops the attempt once a report names a new one. It
// runs after the eviction was recorded and with each report that still lists the attempt.
func (sc *Scheduler) continueEviction(ws *workerState, aa *activeAttempt, now time.Time) {
	if aa.endPending || aa.job.tasks[aa.no].phase != phaseCheckpointing {
		return
	}
	hasNewCheckpoint := !aa.checkpointDeadline.IsZero() && aa.checkpoint != aa.evictionCheckpoint
	timedOut := !aa.checkpointDeadline.IsZero() && now.After(aa.checkpointDeadline)
	switch {
	case !aa.job.CanCheckpoint || hasNewCheckpoint || (timedOut && aa.job.Repeatable):
		sc.stopAttempt(ws, aa, now)
	case aa.checkpointDeadline.IsZero() || timedOut:
		aa.checkpointDeadline = now.Add(checkpointTimeout)
		aa.evictionCheckpoint = aa.checkpoint
		sc.sendCheckpoint(ws, aa)
	}
}

func (sc *Scheduler) sendCheckpoint(ws *workerState, aa *activeAttempt) {
	sc.enqueue(ws, command{
		send: func(ctx context.Context, wk supervisor.Worker) error {
			return sc.opts.Workers.Checkpoint(ctx, wk, sc.opts.Epoch, aa.attempt)
		},
		done: func(error, time.Time) {},
	})
}
