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
	// startsPerRound bounds one batch, so that decisions do not hold up reports for long.
	startsPerRound = 2000
	// refusedDelay keeps a refused job from being tried in every round.
	refusedDelay = time.Second
)

// decideStarts starts what has room, in the order of the queue.
func (sc *Scheduler) decideStarts(now time.Time) {
	if !sc.dirty {
		return
	}
	sc.dirty = false
	sc.round++
	for range startsPerRound {
		ln := sc.queue.head(sc.round)
		if ln == nil {
			return
		}
		jb := ln.jobs[0]
		if jb.delayedUntil.After(now) {
			heap.Pop(&ln.jobs)
			jb.queued = false
			sc.queue.push(jb, now)
			continue
		}
		if !sc.startNext(ln, jb, now) {
			ln.skipped = sc.round
		}
	}
	sc.dirty = true
}

// startNext decides the start of the next task of a job. It reports false when there is no room.
func (sc *Scheduler) startNext(ln *line, jb *job, now time.Time) bool {
	tk := sc.request(jb)
	if ln.team.exceeds(tk.Reservation, sc.placer.Capacity()) {
		jb.why = "the team's quota is used up"
		ln.team.full = sc.round
		return true
	}
	if len(sc.due) > 0 && sc.probe(jb, tk, now) {
		return true
	}
	name, err := sc.placer.Place(tk)
	if errors.Is(err, placer.ErrTooLarge) && len(sc.workers) > 0 {
		sc.cannotRun(jb, []string{err.Error()})
		return true
	}
	if err != nil {
		jb.why = err.Error()
		return false
	}
	return sc.startOn(jb, tk, name, now)
}

// request describes the next task of a job to the placer.
func (sc *Scheduler) request(jb *job) placer.Task {
	return placer.Task{
		Kind:            jb.kind,
		Reservation:     sc.placer.Clamp(sc.estimator.Reservation(jb.kind, jb.Declared), jb.Declared),
		Long:            !jb.LatencyCritical && sc.estimator.Class(jb.kind) == estimator.Long,
		LatencyCritical: jb.LatencyCritical,
		MaxPerRack:      jb.PerRack,
		Attempt:         supervisor.Attempt{Job: jb.Name},
		FailedOn:        sc.detector.FailedOn(jb.id),
	}
}

// startOn decides the start of the next task on a worker. The reservation counts at once; the
// command is sent when the record is durable.
func (sc *Scheduler) startOn(jb *job, tk placer.Task, name modeler.WorkerName, now time.Time) bool {
	ws := sc.workers[name]
	no := jb.take()
	number := jb.nextAttempt(no)
	tk.Attempt = jb.attempt(no, number)
	if !sc.placer.Reserve(name, tk) {
		jb.giveBack(no)
		return false
	}
	jb.why = ""
	rn := &running{
		job: jb, no: no, attempt: tk.Attempt, worker: name, kind: jb.kind,
		mustBegin: now.Add(startTerm), granted: now.Add(startTerm),
	}
	ws.attempts[tk.Attempt] = rn
	sc.queue.team(jb.Team).hold(tk.Reservation, sc.placer.Capacity())
	sm := &StartMessage{
		Job: jb.id, Task: uint32(no), Attempt: uint32(number), Worker: string(name),
		Epoch: int64(sc.opts.Epoch), StartBefore: rn.mustBegin.UnixMilli(),
		Reservation: resourcesToMessage(tk.Reservation),
	}
	sc.decide(&RecordMessage{Record: &RecordMessage_Start{Start: sm}},
		func(time.Time) { sc.startRecorded(ws, rn, tk) },
		func(error) { sc.undoStart(ws, rn, tk.Reservation) })
	return true
}

func (sc *Scheduler) startRecorded(ws *workerState, rn *running, tk placer.Task) {
	if sc.ledger.jobs[rn.job.id] != rn.job {
		// The job was replaced by a record before this one, so the start has no effect.
		sc.undoStart(ws, rn, tk.Reservation)
		return
	}
	rn.durable = true
	sc.countRunning(rn, 1)
	cmd := supervisor.StartCommand{
		Attempt: rn.attempt, Epoch: sc.opts.Epoch, StartBefore: rn.mustBegin,
		LeaseTerm: sc.opts.LeaseTerm, Reservation: tk.Reservation, Kind: rn.job.Kind,
		Checkpoint: rn.job.checkpointOf(rn.no), LatencyCritical: rn.job.LatencyCritical,
	}
	sc.enqueue(ws, command{
		send: func(ctx context.Context, wk supervisor.Worker) error {
			if !time.Now().Before(rn.mustBegin) {
				return errTooLate
			}
			return sc.opts.Workers.Start(ctx, wk, cmd)
		},
		done: func(err error, now time.Time) { sc.startAnswered(ws, rn, err, now) },
	})
}

// startAnswered handles the worker's answer. An unknown result waits for a report that was requested
// after start-by.
func (sc *Scheduler) startAnswered(ws *workerState, rn *running, err error, now time.Time) {
	switch {
	case err == nil:
		rn.seen = true
		rn.started = now
		sc.mt.Add(meter.TasksStarted, 1)
	case errors.Is(err, errTooLate):
		sc.endAttempt(rn, ending{cause: EndCause_END_CAUSE_NOT_STARTED, reason: err.Error()})
	case errors.Is(err, supervisor.ErrRefused):
		logger.Log(sc.lg, logger.StartRefused, "Worker", ws.worker.Name, "Job", rn.attempt.Job, "Task", rn.no, "Error", err)
		ws.refused = true
		sc.refreshBlocked(ws)
		rn.job.delayedUntil = now.Add(refusedDelay)
		sc.endAttempt(rn, ending{cause: EndCause_END_CAUSE_NOT_STARTED, reason: err.Error()})
	}
}

// undoStart takes back a start that was not recorded.
func (sc *Scheduler) undoStart(ws *workerState, rn *running, rs supervisor.Resources) {
	delete(ws.attempts, rn.attempt)
	sc.placer.Release(rn.worker, rn.attempt)
	sc.queue.team(rn.job.Team).hold(negative(rs), sc.placer.Capacity())
	sc.detector.Inconclusive(rn.worker, rn.job.id, time.Now())
	sc.requeue(rn.job, rn.no)
}

// requeue returns a task to the queue.
func (sc *Scheduler) requeue(jb *job, no int) {
	jb.giveBack(no)
	sc.queue.push(jb, time.Now())
	sc.dirty = true
}

// probe sends the task to a quarantined worker whose probe is due, if there is one with room. Only a
// repeatable task is risked.
func (sc *Scheduler) probe(jb *job, tk placer.Task, now time.Time) bool {
	if !jb.Repeatable || jb.LatencyCritical {
		return false
	}
	for name, ws := range sc.due {
		usable := ws.reported && !ws.silent && !ws.gone && ws.orphans == 0 && sc.detector.ProbeDue(name, now)
		if usable && sc.placer.CanPlaceOn(name, tk) && sc.startOn(jb, tk, name, now) {
			delete(sc.due, name)
			sc.detector.ProbeStarted(name, jb.id)
			return true
		}
	}
	return false
}

// cannotRun marks a job that no worker can run. The job leaves the queue at once.
func (sc *Scheduler) cannotRun(jb *job, reasons []string) {
	if jb.held || jb.closed() {
		return
	}
	jb.held = true
	rm := &CannotRunMessage{Job: jb.id, Reasons: reasons}
	sc.decide(&RecordMessage{Record: &RecordMessage_CannotRun{CannotRun: rm}},
		func(time.Time) {
			jb.held = false
			sc.detector.ForgetJob(jb.id)
			logger.Log(sc.lg, logger.JobCannotRun, "Job", jb.Name, "Reasons", reasons)
		}, nil)
}

func (sc *Scheduler) countRunning(rn *running, delta int) {
	if !rn.job.LatencyCritical {
		sc.batch += delta
	}
	sc.mt.Add(meter.TasksRunning, int64(delta))
}

// hold adds reservations to what the team uses.
func (tm *team) hold(rs, capacity supervisor.Resources) {
	tm.held.Millicores += rs.Millicores
	tm.held.MemoryBytes += rs.MemoryBytes
	tm.used = shareOf(tm.held, capacity)
}

// exceeds reports whether the quota forbids another reservation. A team without tasks may always
// start one, or a task larger than the quota would wait for ever.
func (tm *team) exceeds(rs, capacity supervisor.Resources) bool {
	if tm.held == (supervisor.Resources{}) {
		return false
	}
	after := supervisor.Resources{
		Millicores:  tm.held.Millicores + rs.Millicores,
		MemoryBytes: tm.held.MemoryBytes + rs.MemoryBytes,
	}
	return shareOf(after, capacity) > tm.quota
}

func shareOf(rs, capacity supervisor.Resources) float64 {
	return max(
		float64(rs.Millicores)/float64(max(capacity.Millicores, 1)),
		float64(rs.MemoryBytes)/float64(max(capacity.MemoryBytes, 1)),
	)
}

func negative(rs supervisor.Resources) supervisor.Resources {
	return supervisor.Resources{Millicores: -rs.Millicores, MemoryBytes: -rs.MemoryBytes, Accelerators: -rs.Accelerators}
}
