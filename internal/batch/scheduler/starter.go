package scheduler

import (
	"container/heap"
	"context"
	"errors"
	"time"

	"github.com/currantrouter/currantrouter/internal/batch/estimator"
	"github.com/currantrouter/currantrouter/internal/batch/placer"
	"github.com/currantrouter/currantrouter/internal/fleet/modeler"
	"github.com/currantrouter/currantrouter/internal/provider/supervisor"
	"github.com/currantrouter/currantrouter/internal/telemetry/logger"
	"github.com/currantrouter/currantrouter/internal/telemetry/meter"
)

const (
	// maxStartsPerRound bounds the starts decided at once, so that the handling of reports is not
	// delayed for long.
	maxStartsPerRound = 2000
	// minRefusedStartDelay prevents that a job whose start was refused is tried in every round.
	minRefusedStartDelay = time.Second
)

// startTasks runs a round: it starts waiting tasks that can be placed, in the order of the queue.
func (sc *Scheduler) startTasks(now time.Time) {
	if !sc.roundNeeded {
		return
	}
	sc.roundNeeded = false
	sc.round++
	for range maxStartsPerRound {
		sq := sc.queue.next(sc.round)
		if sq == nil {
			return
		}
		jb := sq.jobs[0]
		if jb.delayedUntil.After(now) {
			heap.Pop(&sq.jobs)
			jb.queued = false
			sc.queue.push(jb, now)
			continue
		}
		if !sc.startNextTask(sq, jb, now) {
			sq.skippedRound = sc.round
		}
	}
	sc.roundNeeded = true
}

// startNextTask starts the next task of a job. It reports false when the task cannot be placed.
func (sc *Scheduler) startNextTask(sq *subqueue, jb *job, now time.Time) bool {
	tk := sc.nextPlacerTask(jb)
	if sq.team.exceedsQuota(tk.Reservation, sc.placer.Capacity()) {
		jb.waitReason = "the team's quota is used up"
		sq.team.exhaustedRound = sc.round
		return true
	}
	if len(sc.probesDue) > 0 && sc.startProbe(jb, tk, now) {
		return true
	}
	name, err := sc.placer.Place(tk)
	if errors.Is(err, placer.ErrTooLarge) && len(sc.workers) > 0 {
		sc.markCannotRun(jb, []string{err.Error()})
		return true
	}
	if err != nil {
		jb.waitReason = err.Error()
		return false
	}
	return sc.startOn(jb, tk, name, now)
}

// nextPlacerTask describes the next task of a job to the placer.
func (sc *Scheduler) nextPlacerTask(jb *job) placer.Task {
	return placer.Task{
		Kind:            jb.kind,
		Reservation:     sc.placer.Clamp(sc.estimator.Reservation(jb.kind, jb.Declared), jb.Declared),
		Long:            !jb.LatencyCritical && sc.estimator.Class(jb.kind) == estimator.Long,
		LatencyCritical: jb.LatencyCritical,
		MaxPerRack:      jb.MaxPerRack,
		Attempt:         supervisor.Attempt{Job: jb.Name},
		FailedOn:        sc.detector.FailedOn(jb.id),
	}
}

// startOn starts the next task of a job on a worker. The reservation counts at once; the command is
// sent once the record is durable.
func (sc *Scheduler) startOn(jb *job, tk placer.Task, name modeler.WorkerName, now time.Time) bool {
	ws := sc.workers[name]
	no := jb.takeTask()
	number := jb.nextAttempt(no)
	tk.Attempt = jb.attempt(no, number)
	if !sc.placer.Reserve(name, tk) {
		jb.returnTask(no)
		return false
	}
	jb.waitReason = ""
	aa := &activeAttempt{
		job: jb, no: no, attempt: tk.Attempt, worker: name, kind: jb.kind,
		startBefore: now.Add(maxStartDelay), lastGrant: now.Add(maxStartDelay),
	}
	ws.attempts[tk.Attempt] = aa
	sc.queue.team(jb.Team).addReserved(tk.Reservation, sc.placer.Capacity())
	sm := &StartMessage{
		Job: jb.id, Task: uint32(no), Attempt: uint32(number), Worker: string(name),
		Epoch: int64(sc.opts.Epoch), StartBefore: aa.startBefore.UnixMilli(),
		Reservation: resourcesToMessage(tk.Reservation),
	}
	sc.propose(&RecordMessage{Record: &RecordMessage_Start{Start: sm}},
		func(time.Time) { sc.handleStartRecorded(ws, aa, tk) },
		func(error) { sc.undoStart(ws, aa, tk.Reservation) })
	return true
}

func (sc *Scheduler) handleStartRecorded(ws *workerState, aa *activeAttempt, tk placer.Task) {
	if sc.state.jobs[aa.job.id] != aa.job {
		// An earlier record of the batch replaced the job, so the start record has no effect.
		sc.undoStart(ws, aa, tk.Reservation)
		return
	}
	aa.startRecorded = true
	sc.addRunning(aa, 1)
	cmd := supervisor.StartCommand{
		Attempt: aa.attempt, Epoch: sc.opts.Epoch, StartBefore: aa.startBefore,
		LeaseTerm: sc.opts.LeaseTerm, Reservation: tk.Reservation, Kind: aa.job.Kind,
		Checkpoint: aa.job.checkpointOf(aa.no), LatencyCritical: aa.job.LatencyCritical,
	}
	sc.enqueue(ws, command{
		send: func(ctx context.Context, wk supervisor.Worker) error {
			if !time.Now().Before(aa.startBefore) {
				return errStartExpired
			}
			return sc.opts.Workers.Start(ctx, wk, cmd)
		},
		done: func(err error, now time.Time) { sc.handleStartResult(ws, aa, err, now) },
	})
}

// handleStartResult handles the worker's answer. After an error that leaves the result unknown, a
// report that was requested after startBefore decides.
func (sc *Scheduler) handleStartResult(ws *workerState, aa *activeAttempt, err error, now time.Time) {
	switch {
	case err == nil:
		aa.confirmed = true
		aa.started = now
		sc.mt.Add(meter.TasksStarted, 1)
	case errors.Is(err, errStartExpired):
		sc.endAttempt(aa, attemptEnd{cause: EndCause_END_CAUSE_NOT_STARTED, reason: err.Error()})
	case errors.Is(err, supervisor.ErrRefused):
		logger.Log(sc.lg, logger.StartRefused, "Worker", ws.worker.Name, "Job", aa.attempt.Job, "Task", aa.no, "Error", err)
		ws.startRefused = true
		sc.updateUnschedulable(ws)
		aa.job.delayedUntil = now.Add(minRefusedStartDelay)
		sc.endAttempt(aa, attemptEnd{cause: EndCause_END_CAUSE_NOT_STARTED, reason: err.Error()})
	}
}

// undoStart reverts a start that was not recorded.
func (sc *Scheduler) undoStart(ws *workerState, aa *activeAttempt, rs supervisor.Resources) {
	delete(ws.attempts, aa.attempt)
	sc.placer.Release(aa.worker, aa.attempt)
	sc.queue.team(aa.job.Team).addReserved(negate(rs), sc.placer.Capacity())
	sc.detector.Inconclusive(aa.worker, aa.job.id, time.Now())
	sc.requeue(aa.job, aa.no)
}

// requeue makes a task wait for another attempt.
func (sc *Scheduler) requeue(jb *job, no int) {
	jb.returnTask(no)
	sc.queue.push(jb, time.Now())
	sc.roundNeeded = true
}

// startProbe starts the task on a quarantined worker whose probe is due, if it fits on one. Only
// repeatable tasks are used as probes, because a probe is likely to fail.
func (sc *Scheduler) startProbe(jb *job, tk placer.Task, now time.Time) bool {
	if !jb.Repeatable || jb.LatencyCritical {
		return false
	}
	for name, ws := range sc.probesDue {
		probeable := ws.reported && !ws.unresponsive && !ws.declaredGone && ws.unknownAttempts == 0 && !sc.bounded(name) && sc.detector.ProbeDue(name, now)
		if probeable && sc.placer.CanPlaceOn(name, tk) && sc.startOn(jb, tk, name, now) {
			delete(sc.probesDue, name)
			sc.detector.ProbeStarted(name, jb.id)
			return true
		}
	}
	return false
}

// markCannotRun records that no worker can run the job. The job is not startable from now on.
func (sc *Scheduler) markCannotRun(jb *job, reasons []string) {
	if jb.changePending || jb.closed() {
		return
	}
	jb.changePending = true
	rm := &CannotRunMessage{Job: jb.id, Reasons: reasons}
	sc.propose(&RecordMessage{Record: &RecordMessage_CannotRun{CannotRun: rm}},
		func(time.Time) {
			jb.changePending = false
			sc.detector.ForgetJob(jb.id)
			logger.Log(sc.lg, logger.JobCannotRun, "Job", jb.Name, "Reasons", reasons)
		}, nil)
}

func (sc *Scheduler) addRunning(aa *activeAttempt, delta int) {
	if !aa.job.LatencyCritical {
		sc.runningBatch += delta
	}
	sc.mt.Add(meter.TasksRunning, int64(delta))
}

// addReserved adds to the team's reservations; negative amounts release them.
func (tm *team) addReserved(rs, capacity supervisor.Resources) {
	tm.reserved.Millicores += rs.Millicores
	tm.reserved.MemoryBytes += rs.MemoryBytes
	tm.usedShare = maxShare(tm.reserved, capacity)
}

// exceedsQuota reports whether another reservation would exceed the quota. A team without
// reservations may always start one task; otherwise a task larger than the quota would never start.
func (tm *team) exceedsQuota(rs, capacity supervisor.Resources) bool {
	if tm.reserved == (supervisor.Resources{}) {
		return false
	}
	after := supervisor.Resources{
		Millicores:  tm.reserved.Millicores + rs.Millicores,
		MemoryBytes: tm.reserved.MemoryBytes + rs.MemoryBytes,
	}
	return maxShare(after, capacity) > tm.quota
}

// maxShare returns the larger of the shares of processors and memory.
func maxShare(rs, capacity supervisor.Resources) float64 {
	return max(
		float64(rs.Millicores)/float64(max(capacity.Millicores, 1)),
		float64(rs.MemoryBytes)/float64(max(capacity.MemoryBytes, 1)),
	)
}

func negate(rs supervisor.Resources) supervisor.Resources {
	return supervisor.Resources{Millicores: -rs.Millicores, MemoryBytes: -rs.MemoryBytes, Accelerators: -rs.Accelerators}
}
