package emulator

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/currantrouter/currantrouter/internal/provider/supervisor"
)

// attempt is one execution on a worker. All fields are guarded by Workers.mu.
type attempt struct {
	cmd   supervisor.StartCommand
	state supervisor.AttemptState
	// reason is set for a failed attempt.
	reason   string
	started  time.Time
	leaseEnd time.Time
	// runTime is the run time on an idle worker, zero or less for an attempt that runs until stopped.
	runTime time.Duration
	// progress is the part of runTime that was done until updated.
	progress time.Duration
	updated  time.Time
	// rate is the progress per time since updated, zero while the worker is paused.
	rate float64
	// share is the share of its processors that the attempt may use.
	share float64
	// slowdowns holds the slowdowns that reports may still show, the newest last.
	slowdowns  []slowdownSample
	checkpoint string
	// checkpointing is set while a checkpoint is in progress.
	checkpointing bool
	// finishTimer and leaseTimer fire at the end of the work and of the lease. They are nil if not set.
	finishTimer, leaseTimer *time.Timer
}

type slowdownSample struct {
	since    time.Time
	slowdown float64
}

func (at *attempt) stopTimers() {
	for _, tm := range []*time.Timer{at.finishTimer, at.leaseTimer} {
		if tm != nil {
			tm.Stop()
		}
	}
}

func (wks *Workers) startAttempt(wk *worker, cmd supervisor.StartCommand) error {
	now := time.Now()
	if now.After(cmd.StartBefore) {
		return fmt.Errorf("command arrived after its start-by time: %w", supervisor.ErrRefused)
	}
	if _, known := wk.attempts[cmd.Attempt]; known {
		return fmt.Errorf("attempt is known: %w", supervisor.ErrRefused)
	}
	held := wk.reserved()
	total := sum(held, cmd.Reservation)
	if !fits(total, wk.spec.Capacity) && !wks.behaviour.GuardsOff {
		return fmt.Errorf("reservation exceeds the capacity: %w", supervisor.ErrRefused)
	}
	at := &attempt{
		cmd: cmd, state: supervisor.AttemptRunning, started: now, updated: now, share: 1,
		leaseEnd: now.Add(cmd.LeaseTerm), runTime: wks.behaviour.RunTime(cmd),
		progress: parseCheckpoint(cmd.Checkpoint), checkpoint: cmd.Checkpoint,
	}
	wks.oracle.recordStart(wks, wk, cmd, total)
	wk.updateProgress()
	wk.attempts[cmd.Attempt] = at
	id := Task{cmd.Attempt.Job, cmd.Attempt.Task}
	if wks.running[id] == nil {
		wks.running[id] = map[*attempt]*worker{}
	}
	wks.running[id][at] = wk
	if _, failing := wks.faults.match(PartWorkers, "Run", string(wk.spec.Name), FailEverything); failing {
		wks.endAttempt(wk, at, supervisor.AttemptFailed, "worker is faulty")
		return nil
	}
	wks.reschedule(wk)
	return nil
}

func (wks *Workers) endAttempt(wk *worker, at *attempt, state supervisor.AttemptState, reason string) {
	wk.updateProgress()
	wks.removeRunning(at, state)
	at.reason = reason
	wks.reschedule(wk)
}

// removeRunning stops the timers of an attempt and, if it runs, sets its last state.
func (wks *Workers) removeRunning(at *attempt, state supervisor.AttemptState) {
	at.stopTimers()
	if at.state != supervisor.AttemptRunning {
		return
	}
	at.state = state
	id := Task{at.cmd.Attempt.Job, at.cmd.Attempt.Task}
	delete(wks.running[id], at)
	if len(wks.running[id]) == 0 {
		delete(wks.running, id)
	}
}

// expireOverdue ends the attempts whose lease has expired and whose timer has not fired yet.
func (wks *Workers) expireOverdue(wk *worker) {
	for _, at := range wk.attempts {
		if at.state == supervisor.AttemptRunning && !time.Now().Before(at.leaseEnd) {
			wks.endAttempt(wk, at, supervisor.AttemptLeaseExpired, "")
		}
	}
}

// updateProgress adds the progress since the last update to the running attempts.
func (wk *worker) updateProgress() {
	now := time.Now()
	for _, at := range wk.attempts {
		if at.state == supervisor.AttemptRunning {
			at.progress += time.Duration(float64(now.Sub(at.updated)) * at.rate)
			at.updated = now
		}
	}
}

// reschedule computes the rates after a change on the worker and sets the timers again.
func (wks *Workers) reschedule(wk *worker) {
	wk.updateProgress()
	for _, at := range wk.attempts {
		if at.state != supervisor.AttemptRunning {
			continue
		}
		slow := wks.slowdown(wk, at)
		at.recordSlowdown(slow, wks.behaviour.ReportLag)
		at.rate = at.share / slow
		at.stopTimers()
		if wk.paused != nil {
			at.rate = 0
			continue
		}
		wks.setTimers(wk, at)
	}
}

func (wks *Workers) setTimers(wk *worker, at *attempt) {
	at.leaseTimer = runAfter(time.Until(at.leaseEnd), func() { wks.expire(wk, at) })
	if at.runTime > 0 {
		left := time.Duration(float64(at.runTime-at.progress) / at.rate)
		at.finishTimer = runAfter(left, func() { wks.finish(wk, at) })
	}
}

func (wks *Workers) expire(wk *worker, at *attempt) {
	wks.mu.Lock()
	defer wks.mu.Unlock()
	if at.state != supervisor.AttemptRunning || wk.paused != nil || time.Now().Before(at.leaseEnd) {
		return
	}
	wks.endAttempt(wk, at, supervisor.AttemptLeaseExpired, "")
}

func (wks *Workers) finish(wk *worker, at *attempt) {
	wks.mu.Lock()
	defer wks.mu.Unlock()
	if at.state != supervisor.AttemptRunning || wk.paused != nil {
		return
	}
	wk.updateProgress()
	// Rounding of rates may leave a few nanoseconds, and the rate may have been lowered since.
	if at.runTime-at.progress > time.Microsecond {
		wks.reschedule(wk)
		return
	}
	state := supervisor.AttemptDone
	reason := wks.behaviour.Outcome(wk.spec.Name, at.cmd)
	if reason != "" {
		state = supervisor.AttemptFailed
	}
	wks.endAttempt(wk, at, state, reason)
}

// beginCheckpoint completes a checkpoint of the present progress after CheckpointTime. It does nothing
// while a checkpoint is in progress.
func (wks *Workers) beginCheckpoint(wk *worker, at *attempt) {
	if at.checkpointing {
		return
	}
	wk.updateProgress()
	name := formatCheckpoint(at.progress)
	at.checkpointing = true
	runAfter(wks.behaviour.CheckpointTime, func() {
		wks.mu.Lock()
		defer wks.mu.Unlock()
		at.checkpointing = false
		if at.state == supervisor.AttemptRunning && wk.paused == nil {
			at.checkpoint = name
		}
	})
}

// A checkpoint's name is the progress in it, so that workers need no common storage.
func formatCheckpoint(progress time.Duration) string { return progress.String() }

func parseCheckpoint(name string) time.Duration {
	// An empty or unknown name means a start from the beginning.
	progress, _ := time.ParseDuration(name)
	return progress
}

// slowdown returns the factor by which interference of the other attempts on the worker lengthens the
// run time. Their effects add up.
func (wks *Workers) slowdown(wk *worker, at *attempt) float64 {
	load := 0.0
	if wk.spec.Capacity.Millicores > 0 {
		load = min(1, float64(wks.used(wk).Millicores)/float64(wk.spec.Capacity.Millicores))
	}
	slow := 1.0
	for _, nb := range wk.attempts {
		if nb != at && nb.state == supervisor.AttemptRunning {
			slow += wks.behaviour.Slowdown(at.cmd.Kind, nb.cmd.Kind, load) - 1
		}
	}
	return max(1, slow)
}

// recordSlowdown adds a sample and drops those that no report can show.
func (at *attempt) recordSlowdown(slow float64, lag time.Duration) {
	now := time.Now()
	at.slowdowns = append(at.slowdowns, slowdownSample{now, slow})
	for len(at.slowdowns) > 1 && at.slowdowns[1].since.Before(now.Add(-lag)) {
		at.slowdowns = at.slowdowns[1:]
	}
}

func (wk *worker) reserved() supervisor.Resources {
	var total supervisor.Resources
	for _, at := range wk.attempts {
		if at.state == supervisor.AttemptRunning {
			total = sum(total, at.cmd.Reservation)
		}
	}
	return total
}

func (wks *Workers) used(wk *worker) supervisor.Resources {
	var total supervisor.Resources
	for _, at := range wk.attempts {
		if at.state == supervisor.AttemptRunning {
			total = sum(total, wks.usage(at))
		}
	}
	return total
}

func (wks *Workers) usage(at *attempt) supervisor.Resources {
	us := wks.behaviour.Usage(at.cmd)
	us.Millicores = int64(float64(us.Millicores) * at.share)
	return us
}

func (wks *Workers) report(wk *worker) supervisor.WorkerReport {
	rep := supervisor.WorkerReport{Worker: wk.spec.Name, Measured: time.Now().Add(-wks.behaviour.ReportLag)}
	for id, at := range wk.attempts {
		ar := supervisor.AttemptReport{
			Attempt: id, State: at.state, Kind: at.cmd.Kind, Checkpoint: at.checkpoint,
			Reason: at.reason, Started: at.started,
		}
		if !at.started.After(rep.Measured) {
			ar.Usage = wks.usage(at)
			ar.Slowdown = at.slowdownAt(rep.Measured)
		}
		if at.state == supervisor.AttemptRunning {
			rep.Running = append(rep.Running, ar)
		} else {
			rep.Ended = append(rep.Ended, ar)
		}
	}
	slices.SortFunc(rep.Running, compareReports)
	slices.SortFunc(rep.Ended, compareReports)
	return rep
}

// slowdownAt returns the slowdown at a time, zero if it is unknown.
func (at *attempt) slowdownAt(when time.Time) float64 {
	slow := 0.0
	for _, ms := range at.slowdowns {
		if !ms.since.After(when) {
			slow = ms.slowdown
		}
	}
	return slow
}

func compareReports(a, b supervisor.AttemptReport) int {
	return cmp.Or(
		cmp.Compare(a.Attempt.Job, b.Attempt.Job),
		cmp.Compare(a.Attempt.Task, b.Attempt.Task),
		cmp.Compare(a.Attempt.Number, b.Attempt.Number),
	)
}

func sum(a, b supervisor.Resources) supervisor.Resources {
	return supervisor.Resources{
		Millicores:   a.Millicores + b.Millicores,
		MemoryBytes:  a.MemoryBytes + b.MemoryBytes,
		Accelerators: a.Accelerators + b.Accelerators,
	}
}

func fits(a, capacity supervisor.Resources) bool {
	return a.Millicores <= capacity.Millicores &&
		a.MemoryBytes <= capacity.MemoryBytes &&
		a.Accelerators <= capacity.Accelerators
}
