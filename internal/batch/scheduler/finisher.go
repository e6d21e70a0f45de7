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
	// checkpointLimit is the time after which an eviction no longer waits for a new checkpoint.
	checkpointLimit = 30 * time.Second
	// sampleReports is the number of reports after which a task that still runs gives a sample of
	// its use, so that services that never end are learned too.
	sampleReports = 10
	// firstFailureDelay and longestFailureDelay bound the pause of a job after a failure.
	firstFailureDelay   = time.Second
	longestFailureDelay = time.Minute
)

// ending says how an attempt ended.
type ending struct {
	cause      EndCause
	checkpoint string
	reason     string
	// runTime is set for a finished task.
	runTime time.Duration
	// forget is set when the worker keeps the attempt until it is told to forget it.
	forget bool
}

func (sc *Scheduler) poll(ws *workerState) {
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
				sc.reported(ws, rp, requested, now)
			}
		},
	})
}

// reported takes a worker's report that was requested at a time of this process' clock.
func (sc *Scheduler) reported(ws *workerState, rp supervisor.WorkerReport, requested, now time.Time) {
	if ws.silent {
		logger.Log(sc.lg, logger.WorkerAnswers, "Worker", ws.worker.Name)
	}
	ws.reported, ws.silent, ws.refused, ws.gone = true, false, false, false
	ws.heard = requested
	listed := make(map[supervisor.Attempt]bool, len(rp.Running)+len(rp.Ended))
	ws.orphans = 0
	for i := range rp.Running {
		listed[rp.Running[i].Attempt] = true
		sc.reportedRunning(ws, &rp.Running[i], now)
	}
	sc.placer.UpdateIndex(ws.worker.Name)
	sc.reportedEnded(ws, rp, listed, requested)
	for at, rn := range ws.attempts {
		if !listed[at] {
			sc.missing(rn, requested)
		}
	}
	sc.learnInterference(ws)
	sc.relieve(ws, now)
	sc.refreshBlocked(ws)
}

func (sc *Scheduler) reportedRunning(ws *workerState, ar *supervisor.AttemptReport, now time.Time) {
	rn, ok := ws.attempts[ar.Attempt]
	if !ok || !rn.durable {
		ws.orphans++
		sc.proveThen(func() { sc.stopOrphan(ws, ar.Attempt) })
		return
	}
	rn.seen = true
	if rn.started.IsZero() {
		rn.started = ar.Started
	}
	rn.checkpoint = ar.Checkpoint
	rn.slowdown = ar.Slowdown
	sc.measure(rn, ar.Usage)
	if rn.recovered && !rn.unthrottled && !rn.job.LatencyCritical {
		// The leader before may have throttled the attempt; this one throttles anew when needed.
		rn.unthrottled = true
		sc.throttle(ws, rn.attempt, 1)
	}
	switch {
	case rn.job.cancelled:
		sc.stopOnce(ws, rn, now)
	case rn.evicting:
		sc.continueEviction(ws, rn, now)
	}
}

// measure takes the use of a running attempt. A report before the first measurement carries none.
func (sc *Scheduler) measure(rn *running, use supervisor.Resources) {
	if use == (supervisor.Resources{}) {
		return
	}
	rn.use = use
	rn.peak = greatest(rn.peak, use)
	rn.reports = sc.placer.ObserveUsage(rn.worker, rn.attempt, use)
	if rn.reports >= sampleReports && !rn.sampled {
		rn.sampled = true
		sc.estimator.ObserveUsage(rn.kind, rn.peak)
		// A long task that works would otherwise keep a probed worker in quarantine for hours.
		sc.readmit(rn, sc.detector.RanWithoutFailure(rn.worker, rn.job.id))
	}
}

func greatest(a, b supervisor.Resources) supervisor.Resources {
	return supervisor.Resources{
		Millicores:   max(a.Millicores, b.Millicores),
		MemoryBytes:  max(a.MemoryBytes, b.MemoryBytes),
		Accelerators: max(a.Accelerators, b.Accelerators),
	}
}

// reportedEnded records the ends that are new and acknowledges those that are recorded.
func (sc *Scheduler) reportedEnded(ws *workerState, rp supervisor.WorkerReport, listed map[supervisor.Attempt]bool, requested time.Time) {
	var known []supervisor.Attempt
	for i := range rp.Ended {
		ar := &rp.Ended[i]
		listed[ar.Attempt] = true
		rn, ok := ws.attempts[ar.Attempt]
		switch {
		case !ok:
			known = append(known, ar.Attempt)
		case rn.durable:
			rn.peak = greatest(rn.peak, ar.Usage)
			sc.endAttempt(rn, endingOf(ar, rn.started, requested))
		}
	}
	if len(known) > 0 {
		sc.proveThen(func() { sc.forget(ws, known) })
	}
}

func (sc *Scheduler) stopOrphan(ws *workerState, at supervisor.Attempt) {
	if _, ok := ws.attempts[at]; ok {
		return
	}
	logger.Log(sc.lg, logger.AttemptNotExpected, "Worker", ws.worker.Name, "Job", at.Job, "Task", at.Task, "Attempt", at.Number)
	sc.stop(ws, at)
}

// proveThen acts on an attempt that this leader does not know once an append has succeeded. Until
// then another host may lead that has started the attempt or has yet to record its end.
func (sc *Scheduler) proveThen(act func()) {
	if sc.writer.failing {
		return
	}
	rm := &RecordMessage{Record: &RecordMessage_Beat{Beat: &BeatMessage{}}}
	sc.decide(rm, func(time.Time) { act() }, func(error) {})
}

// endingOf reads a report of an attempt that ended. The run time is too long by at most the time
// between two reports.
func endingOf(ar *supervisor.AttemptReport, started, requested time.Time) ending {
	en := ending{checkpoint: ar.Checkpoint, reason: ar.Reason, forget: true}
	switch ar.State {
	case supervisor.AttemptDone:
		en.cause = EndCause_END_CAUSE_DONE
		if started.IsZero() {
			started = ar.Started
		}
		en.runTime = max(requested.Sub(started), 0)
	case supervisor.AttemptFailed:
		en.cause = EndCause_END_CAUSE_FAILED
	case supervisor.AttemptStopped:
		en.cause = EndCause_END_CAUSE_STOPPED
	default:
		en.cause = EndCause_END_CAUSE_LOST
	}
	return en
}

// missing handles an attempt that a report does not list. Only a report that was requested when the
// start could not begin any more proves that the attempt does not run.
func (sc *Scheduler) missing(rn *running, requested time.Time) {
	if !rn.durable || rn.ending || !requested.After(rn.mustBegin.Add(modeler.DriftAllowance(startTerm))) {
		return
	}
	if rn.seen || !rn.job.Repeatable {
		// The worker has restarted, or may have begun the attempt and restarted since.
		sc.lose(rn, "the worker does not know the attempt")
		return
	}
	sc.endAttempt(rn, ending{cause: EndCause_END_CAUSE_NOT_STARTED, reason: "the start did not reach the worker"})
}

// lose ends an attempt whose result is not known. A task that must not be repeated waits for an
// operator.
func (sc *Scheduler) lose(rn *running, reason string) {
	sc.endAttempt(rn, ending{cause: EndCause_END_CAUSE_LOST, checkpoint: rn.checkpoint, reason: reason})
}

// endAttempt records the end of an attempt once. The reservation stays until the record is durable.
func (sc *Scheduler) endAttempt(rn *running, en ending) {
	if rn.ending {
		return
	}
	rn.ending = true
	em := &EndMessage{
		Job: rn.job.id, Task: uint32(rn.no), Attempt: uint32(rn.attempt.Number),
		Cause: en.cause, Checkpoint: en.checkpoint, Reason: en.reason,
	}
	sc.decide(&RecordMessage{Record: &RecordMessage_End{End: em}},
		func(now time.Time) { sc.ended(rn, en, now) }, nil)
}

func (sc *Scheduler) ended(rn *running, en ending, now time.Time) {
	sc.release(rn)
	sc.learnEnd(rn, en, now)
	sc.logEnd(rn, en)
	switch rn.job.tasks[rn.no].phase {
	case phaseWaiting, phaseEvicted:
		sc.requeue(rn.job, rn.no)
	}
	if rn.job.finished() {
		sc.detector.ForgetJob(rn.job.id)
	}
	ws, ok := sc.workers[rn.worker]
	if ok && en.forget {
		sc.forget(ws, []supervisor.Attempt{rn.attempt})
	}
	if ok {
		sc.refreshBlocked(ws)
	}
}

// release frees what the attempt held.
func (sc *Scheduler) release(rn *running) {
	sc.countRunning(rn, -1)
	if ws, ok := sc.workers[rn.worker]; ok {
		delete(ws.attempts, rn.attempt)
	}
	sc.removeUnplaced(rn)
	sc.placer.Release(rn.worker, rn.attempt)
	sc.queue.team(rn.job.Team).hold(negative(rn.job.tasks[rn.no].reservation), sc.placer.Capacity())
	sc.dirty = true
}

func (sc *Scheduler) removeUnplaced(rn *running) {
	kept := sc.unplaced[rn.worker][:0]
	for _, other := range sc.unplaced[rn.worker] {
		if other != rn {
			kept = append(kept, other)
		}
	}
	if len(kept) == 0 {
		delete(sc.unplaced, rn.worker)
		return
	}
	sc.unplaced[rn.worker] = kept
}

func (sc *Scheduler) learnEnd(rn *running, en ending, now time.Time) {
	if rn.peak != (supervisor.Resources{}) && !rn.sampled {
		sc.estimator.ObserveUsage(rn.kind, rn.peak)
	}
	switch en.cause {
	case EndCause_END_CAUSE_DONE:
		sc.mt.Add(meter.TasksDone, 1)
		rn.job.failures = 0
		// A resumed attempt ran only a part of the task.
		if !rn.job.tasks[rn.no].resuming {
			sc.estimator.ObserveRunTime(rn.kind, en.runTime)
		}
		sc.readmit(rn, sc.detector.Succeeded(rn.worker, rn.job.id))
	case EndCause_END_CAUSE_FAILED:
		sc.mt.Add(meter.TasksFailed, 1)
		sc.learnFailure(rn, en.reason, now)
	default:
		sc.detector.Inconclusive(rn.worker, rn.job.id, now)
	}
}

// readmit reports the end of a quarantine.
func (sc *Scheduler) readmit(rn *running, readmitted bool) {
	if readmitted {
		logger.Log(sc.lg, logger.WorkerReadmitted, "Worker", rn.worker)
		sc.mt.Add(meter.WorkersInQuarantine, -1)
	}
}

func (sc *Scheduler) learnFailure(rn *running, reason string, now time.Time) {
	jb := rn.job
	vd := sc.detector.Failed(rn.worker, jb.id, reason, now)
	jb.delayedUntil = now.Add(min(firstFailureDelay<<min(jb.failures, 9), longestFailureDelay))
	if !sc.detector.Quarantined(rn.worker) {
		jb.failures++
	}
	if vd.Quarantined {
		logger.Log(sc.lg, logger.WorkerQuarantined, "Worker", rn.worker, "Reason", reason)
		sc.mt.Add(meter.WorkersInQuarantine, 1)
	}
	if vd.CannotRun {
		sc.cannotRun(jb, vd.Reasons)
	}
}

func (sc *Scheduler) logEnd(rn *running, en ending) {
	kv := []any{"Worker", rn.worker, "Job", rn.attempt.Job, "Task", rn.no, "Attempt", rn.attempt.Number, "Reason", en.reason}
	switch {
	case rn.job.tasks[rn.no].phase == phaseUnknown:
		sc.mt.Add(meter.TasksLost, 1)
		logger.Log(sc.lg, logger.TaskResultUnknown, kv...)
	case en.cause == EndCause_END_CAUSE_LOST:
		sc.mt.Add(meter.TasksLost, 1)
		logger.Log(sc.lg, logger.AttemptLost, kv...)
	case en.cause == EndCause_END_CAUSE_NOT_STARTED:
		sc.mt.Add(meter.TasksNotStarted, 1)
	}
}

func (sc *Scheduler) forget(ws *workerState, ats []supervisor.Attempt) {
	sc.enqueue(ws, command{
		send: func(ctx context.Context, wk supervisor.Worker) error {
			return sc.opts.Workers.Forget(ctx, wk, sc.opts.Epoch, ats)
		},
		// A lost command is repeated after the next report that lists the attempt.
		done: func(error, time.Time) {},
	})
}

// learnInterference learns from the slowdowns on a worker whose tasks were all measured twice.
func (sc *Scheduler) learnInterference(ws *workerState) {
	rns := make([]*running, 0, len(ws.attempts))
	var used supervisor.Resources
	for _, rn := range ws.attempts {
		if !rn.seen || rn.reports < 2 {
			continue
		}
		rns = append(rns, rn)
		used.Millicores += rn.use.Millicores
		used.MemoryBytes += rn.use.MemoryBytes
	}
	load := shareOf(used, ws.worker.Capacity)
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

// relieve throttles and evicts on an overloaded worker.
func (sc *Scheduler) relieve(ws *workerState, now time.Time) {
	vw := evictor.WorkerState{Worker: ws.worker.Name, Capacity: ws.worker.Capacity}
	for _, rn := range ws.attempts {
		if rn.seen && !rn.ending {
			vw.Tasks = append(vw.Tasks, sc.evictable(ws, rn, now))
		}
	}
	dc := sc.evictor.Decide(vw, now)
	sc.setThrottle(ws, dc.Throttle, evictor.ThrottledShare)
	sc.setThrottle(ws, dc.Unthrottle, 1)
	for _, at := range dc.Evict {
		sc.evict(ws, ws.attempts[at])
	}
}

func (sc *Scheduler) setThrottle(ws *workerState, ats []supervisor.Attempt, share float64) {
	for _, at := range ats {
		if rn, ok := ws.attempts[at]; ok {
			rn.throttled = share < 1
			sc.throttle(ws, at, share)
		}
	}
}

func (sc *Scheduler) evictable(ws *workerState, rn *running, now time.Time) evictor.Task {
	tk := evictor.Task{
		Attempt: rn.attempt, Usage: rn.use, Slowdown: rn.slowdown,
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

// evict records the eviction and then asks for a checkpoint.
func (sc *Scheduler) evict(ws *workerState, rn *running) {
	rn.evicting = true
	rn.evictBy = time.Time{}
	sc.mt.Add(meter.TasksEvicted, 1)
	em := &EvictMessage{Job: rn.job.id, Task: uint32(rn.no), Attempt: uint32(rn.attempt.Number)}
	sc.decide(&RecordMessage{Record: &RecordMessage_Evict{Evict: em}},
		func(now time.Time) {
			logger.Log(sc.lg, logger.TaskEvicted, "Worker", rn.worker, "Job", rn.attempt.Job, "Task", rn.no)
			sc.continueEviction(ws, rn, now)
		},
		func(error) { rn.evicting = false })
}

// continueEviction asks for a checkpoint and stops the attempt when a report names a new one. It
// runs after the record and with each report that still lists the attempt.
func (sc *Scheduler) continueEviction(ws *workerState, rn *running, now time.Time) {
	if rn.ending || rn.job.tasks[rn.no].phase != phaseCheckpointing {
		return
	}
	fresh := !rn.evictBy.IsZero() && rn.checkpoint != rn.checkpointBefore
	late := !rn.evictBy.IsZero() && now.After(rn.evictBy)
	switch {
	case !rn.job.Checkpoint || fresh || (late && rn.job.Repeatable):
		sc.stopOnce(ws, rn, now)
	case rn.evictBy.IsZero() || late:
		rn.evictBy = now.Add(checkpointLimit)
		rn.checkpointBefore = rn.checkpoint
		sc.checkpoint(ws, rn)
	}
}

func (sc *Scheduler) checkpoint(ws *workerState, rn *running) {
	sc.enqueue(ws, command{
		send: func(ctx context.Context, wk supervisor.Worker) error {
			return sc.opts.Workers.Checkpoint(ctx, wk, sc.opts.Epoch, rn.attempt)
		},
		done: func(error, time.Time) {},
	})
}
