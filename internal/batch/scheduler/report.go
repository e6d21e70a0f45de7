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
	listed := make(map[supervisor.Attempt]bool, len(rp.Running)+len(rp.Ended))
	ws.unknownAttempts = 0
	for i := range rp.Running {
		listed[rp.Running[i].Attempt] = true
		sc.handleReportedRunning(ws, &rp.Running[i], now)
	}
	sc.placer.UpdateIndex(ws.worker.Name)
	sc.handleReportedEnded(ws, rp, listed, requested)
	for at, rn := range ws.attempts {
		if !listed[at] {
			sc.handleNotReported(rn, requested)
		}
	}
	sc.learnInterference(ws)
	sc.relieveOverload(ws, now)
	sc.updateUnschedulable(ws)
}

func (sc *Scheduler) handleReportedRunning(ws *workerState, ar *supervisor.AttemptReport, now time.Time) {
	rn, ok := ws.attempts[ar.Attempt]
	if !ok || !rn.startRecorded {
		ws.unknownAttempts++
		sc.afterLeadershipCheck(func() { sc.stopUnknownAttempt(ws, ar.Attempt) })
		return
	}
	rn.confirmed = true
	if rn.started.IsZero() {
		rn.started = ar.Started
	}
	rn.checkpoint = ar.Checkpoint
	rn.slowdown = ar.Slowdown
	sc.recordUsage(rn, ar.Usage)
	if rn.recovered && !rn.unthrottleSent && !rn.job.LatencyCritical {
		// The previous leader may have throttled the attempt. The evictor throttles it again if
		// needed.
		rn.unthrottleSent = true
		sc.sendThrottle(ws, rn.attempt, 1)
	}
	switch {
	case rn.job.cancelled:
		sc.stopAttempt(ws, rn, now)
	case rn.evicting:
		sc.continueEviction(ws, rn, now)
	}
}

// recordUsage records the measured usage of a running attempt. The usage is zero before the first
// measurement.
func (sc *Scheduler) recordUsage(rn *runningAttempt, usage supervisor.Resources) {
	if usage == (supervisor.Resources{}) {
		return
	}
	rn.usage = usage
	rn.peakUsage = maxResources(rn.peakUsage, usage)
	rn.reports = sc.placer.ObserveUsage(rn.worker, rn.attempt, usage)
	if rn.reports >= minSampleReports && !rn.usageSampled {
		rn.usageSampled = true
		sc.estimator.ObserveUsage(rn.kind, rn.peakUsage)
		// Otherwise a long task that runs well would keep a probed worker quarantined for hours.
		sc.endQuarantine(rn, sc.detector.RanWithoutFailure(rn.worker, rn.job.id))
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
		rn, ok := ws.attempts[ar.Attempt]
		switch {
		case !ok:
			recorded = append(recorded, ar.Attempt)
		case rn.startRecorded:
			rn.peakUsage = maxResources(rn.peakUsage, ar.Usage)
			sc.endAttempt(rn, attemptEndOf(ar, rn.started, requested))
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
func (sc *Scheduler) handleNotReported(rn *runningAttempt, requested time.Time) {
	if !rn.startRecorded || rn.endPending || !requested.After(rn.startBefore.Add(modeler.DriftAllowance(maxStartDelay))) {
		return
	}
	if rn.confirmed || !rn.job.Repeatable {
		// The worker has restarted, or it may have started the attempt and restarted since.
		sc.endAsLost(rn, "the worker does not know the attempt")
		return
	}
	sc.endAttempt(rn, attemptEnd{cause: EndCause_END_CAUSE_NOT_STARTED, reason: "the start did not reach the worker"})
}

// endAsLost ends an attempt whose result is unknown. A task that is not repeatable then waits for
// Resolve.
func (sc *Scheduler) endAsLost(rn *runningAttempt, reason string) {
	sc.endAttempt(rn, attemptEnd{cause: EndCause_END_CAUSE_LOST, checkpoint: rn.checkpoint, reason: reason})
}

// endAttempt records the end of an attempt, once. Its reservation stays until the record is
// durable.
func (sc *Scheduler) endAttempt(rn *runningAttempt, ae attemptEnd) {
	if rn.endPending {
		return
	}
	rn.endPending = true
	em := &EndMessage{
		Job: rn.job.id, Task: uint32(rn.no), Attempt: uint32(rn.attempt.Number),
		Cause: ae.cause, Checkpoint: ae.checkpoint, Reason: ae.reason,
	}
	sc.propose(&RecordMessage{Record: &RecordMessage_End{End: em}},
		func(now time.Time) { sc.handleEndRecorded(rn, ae, now) }, nil)
}

func (sc *Scheduler) handleEndRecorded(rn *runningAttempt, ae attemptEnd, now time.Time) {
	sc.releaseAttempt(rn)
	sc.learnFromEnd(rn, ae, now)
	sc.logEnd(rn, ae)
	switch rn.job.tasks[rn.no].phase {
	case phaseWaiting, phaseEvicted:
		sc.requeue(rn.job, rn.no)
	}
	if rn.job.finished() {
		sc.detector.ForgetJob(rn.job.id)
	}
	ws, ok := sc.workers[rn.worker]
	if ok && ae.forget {
		sc.sendForget(ws, []supervisor.Attempt{rn.attempt})
	}
	if ok {
		sc.updateUnschedulable(ws)
	}
}

// releaseAttempt releases the reservation of an attempt and removes the attempt.
func (sc *Scheduler) releaseAttempt(rn *runningAttempt) {
	sc.addRunning(rn, -1)
	if ws, ok := sc.workers[rn.worker]; ok {
		delete(ws.attempts, rn.attempt)
	}
	sc.removeUnlisted(rn)
	sc.placer.Release(rn.worker, rn.attempt)
	sc.queue.team(rn.job.Team).addReserved(negate(rn.job.tasks[rn.no].reservation), sc.placer.Capacity())
	sc.roundNeeded = true
}

func (sc *Scheduler) removeUnlisted(rn *runningAttempt) {
	kept := sc.unlisted[rn.worker][:0]
	for _, other := range sc.unlisted[rn.worker] {
		if other != rn {
			kept = append(kept, other)
		}
	}
	if len(kept) == 0 {
		delete(sc.unlisted, rn.worker)
		return
	}
	sc.unlisted[rn.worker] = kept
}

func (sc *Scheduler) learnFromEnd(rn *runningAttempt, ae attemptEnd, now time.Time) {
	if rn.peakUsage != (supervisor.Resources{}) && !rn.usageSampled {
		sc.estimator.ObserveUsage(rn.kind, rn.peakUsage)
	}
	switch ae.cause {
	case EndCause_END_CAUSE_DONE:
		sc.mt.Add(meter.TasksDone, 1)
		rn.job.failures = 0
		// A resumed attempt did only a part of the task.
		if !rn.job.tasks[rn.no].resuming {
			sc.estimator.ObserveRunTime(rn.kind, ae.runTime)
		}
		sc.endQuarantine(rn, sc.detector.Succeeded(rn.worker, rn.job.id))
	case EndCause_END_CAUSE_FAILED:
		sc.mt.Add(meter.TasksFailed, 1)
		sc.learnFromFailure(rn, ae.reason, now)
	default:
		sc.detector.Inconclusive(rn.worker, rn.job.id, now)
	}
}

// endQuarantine logs and counts the end of a quarantine.
func (sc *Scheduler) endQuarantine(rn *runningAttempt, readmitted bool) {
	if readmitted {
		logger.Log(sc.lg, logger.WorkerReadmitted, "Worker", rn.worker)
		sc.mt.Add(meter.WorkersInQuarantine, -1)
	}
}

func (sc *Scheduler) learnFromFailure(rn *runningAttempt, reason string, now time.Time) {
	jb := rn.job
	dg := sc.detector.Failed(rn.worker, jb.id, reason, now)
	jb.delayedUntil = now.Add(min(minFailureDelay<<min(jb.failures, 9), maxFailureDelay))
	if !sc.detector.Quarantined(rn.worker) {
		jb.failures++
	}
	if dg.Quarantined {
		logger.Log(sc.lg, logger.WorkerQuarantined, "Worker", rn.worker, "Reason", reason)
		sc.mt.Add(meter.WorkersInQuarantine, 1)
	}
	if dg.CannotRun {
		sc.markCannotRun(jb, dg.Reasons)
	}
}

func (sc *Scheduler) logEnd(rn *runningAttempt, ae attemptEnd) {
	kv := []any{"Worker", rn.worker, "Job", rn.attempt.Job, "Task", rn.no, "Attempt", rn.attempt.Number, "Reason", ae.reason}
	switch {
	case rn.job.tasks[rn.no].phase == phaseUnknown:
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
	rns := make([]*runningAttempt, 0, len(ws.attempts))
	var used supervisor.Resources
	for _, rn := range ws.attempts {
		if !rn.confirmed || rn.reports < 2 {
			continue
		}
		rns = append(rns, rn)
		used.Millicores += rn.usage.Millicores
		used.MemoryBytes += rn.usage.MemoryBytes
	}
	load := maxShare(used, ws.worker.Capacity)
	others := make([]estimator.Kind, 0, len(rns))
	for _, victim := range rns {
		if victim.slowdown < 1 || victim.throttled {
			continue
		}
		others = others[:0]
		for _, rn := range rns {
			if rn != victim {
				others = append(others, rn.kind)
			}
		}
		sc.estimator.ObserveSlowdown(victim.kind, victim.slowdown, load, others)
	}
}

// relieveOverload throttles, unthrottles and evicts tasks of a worker as the evictor decides.
func (sc *Scheduler) relieveOverload(ws *workerState, now time.Time) {
	es := evictor.WorkerState{Worker: ws.worker.Name, Capacity: ws.worker.Capacity}
	for _, rn := range ws.attempts {
		if rn.confirmed && !rn.endPending {
			es.Tasks = append(es.Tasks, sc.evictorTask(ws, rn, now))
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
		if rn, ok := ws.attempts[at]; ok {
			rn.throttled = share < 1
			sc.sendThrottle(ws, at, share)
		}
	}
}

func (sc *Scheduler) evictorTask(ws *workerState, rn *runningAttempt, now time.Time) evictor.Task {
	tk := evictor.Task{
		Attempt: rn.attempt, Usage: rn.usage, Slowdown: rn.slowdown,
		LatencyCritical: rn.job.LatencyCritical, CanCheckpoint: rn.job.Checkpoint,
		Evictable: !rn.evicting && !rn.job.cancelled && (rn.job.Repeatable || rn.job.Checkpoint),
		Age:       now.Sub(rn.started),
	}
	if !tk.LatencyCritical && tk.Evictable {
		for _, other := range ws.attempts {
			if other.job.LatencyCritical {
				tk.Interference += sc.estimator.Interference(other.kind, rn.kind, 1)
			}
		}
	}
	return tk
}

// evict records the eviction and then requests a checkpoint.
func (sc *Scheduler) evict(ws *workerState, rn *runningAttempt) {
	rn.evicting = true
	rn.checkpointDeadline = time.Time{}
	sc.mt.Add(meter.TasksEvicted, 1)
	em := &EvictMessage{Job: rn.job.id, Task: uint32(rn.no), Attempt: uint32(rn.attempt.Number)}
	sc.propose(&RecordMessage{Record: &RecordMessage_Evict{Evict: em}},
		func(now time.Time) {
			logger.Log(sc.lg, logger.TaskEvicted, "Worker", rn.worker, "Job", rn.attempt.Job, "Task", rn.no)
			sc.continueEviction(ws, rn, now)
		},
		func(error) { rn.evicting = false })
}

// continueEviction requests a checkpoint and stops the attempt once a report names a new one. It
// runs after the eviction was recorded and with each report that still lists the attempt.
func (sc *Scheduler) continueEviction(ws *workerState, rn *runningAttempt, now time.Time) {
	if rn.endPending || rn.job.tasks[rn.no].phase != phaseCheckpointing {
		return
	}
	hasNewCheckpoint := !rn.checkpointDeadline.IsZero() && rn.checkpoint != rn.evictionCheckpoint
	timedOut := !rn.checkpointDeadline.IsZero() && now.After(rn.checkpointDeadline)
	switch {
	case !rn.job.Checkpoint || hasNewCheckpoint || (timedOut && rn.job.Repeatable):
		sc.stopAttempt(ws, rn, now)
	case rn.checkpointDeadline.IsZero() || timedOut:
		rn.checkpointDeadline = now.Add(checkpointTimeout)
		rn.evictionCheckpoint = rn.checkpoint
		sc.sendCheckpoint(ws, rn)
	}
}

func (sc *Scheduler) sendCheckpoint(ws *workerState, rn *runningAttempt) {
	sc.enqueue(ws, command{
		send: func(ctx context.Context, wk supervisor.Worker) error {
			return sc.opts.Workers.Checkpoint(ctx, wk, sc.opts.Epoch, rn.attempt)
		},
		done: func(error, time.Time) {},
	})
}
