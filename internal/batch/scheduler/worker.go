package scheduler

import (
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
	// maxReportsPerSecond bounds the polls of all workers together; with more workers than that times
	// the report interval, the interval grows.
	maxReportsPerSecond = 100
	// maxMissedReports is the number of missed reports after which a worker gets no new tasks.
	maxMissedReports = 3
	// minStopRetry is the time between two stop commands for one attempt.
	minStopRetry = 4 * time.Second
)

// errStartExpired means that the start-by time passed before the command was sent.
var errStartExpired = errors.New("start-by time has passed")

// workerState is a worker and what this leader has sent to it.
type workerState struct {
	worker supervisor.Worker
	// commands holds commands that wait. One command at a time is in progress, so that commands to
	// one worker keep their order and a worker that does not answer holds up no other.
	commands []command
	sending  bool
	// attempts are the recorded attempts that have not ended.
	attempts map[supervisor.Attempt]*runningAttempt
	// reported is set by the first report in this epoch. No task starts on the worker before.
	reported bool
	// lastReportRequested is the time at which the last answered report was requested.
	lastReportRequested time.Time
	// polling is set while a report is queued or in progress.
	polling    bool
	nextReport time.Time
	nextRenew  time.Time
	// unknownAttempts is the number of attempts in the last report that the journal does not hold. What
	// they take is not known, so the worker gets no new tasks.
	unknownAttempts int
	unresponsive    bool
	// refused is set by a refused start until the next report.
	startRefused bool
	// declaredGone is an operator's statement, withdrawn by the next report.
	declaredGone  bool
	unschedulable bool
}

// command is one command to a worker.
type command struct {
	// send runs outside the goroutine of Run.
	send func(ctx context.Context, wk supervisor.Worker) error
	// done runs in the goroutine of Run.
	done func(err error, now time.Time)
}

// runningAttempt is an active attempt.
type runningAttempt struct {
	job     *job
	no      int
	attempt supervisor.Attempt
	worker  modeler.WorkerName
	kind    estimator.Kind
	// handleStartRecorded is set once the start is recorded.
	startRecorded bool
	// confirmed is set once the worker has accepted the start or has reported the attempt.
	confirmed bool
	// startBefore is the time after which the worker cannot begin the attempt any more.
	startBefore time.Time
	// lastGrant is the latest time at which the worker may have accepted a start or renewal of this
	// leader. It is zero for an attempt of an earlier leader until this one renews it.
	lastGrant time.Time
	recovered bool
	// ending is set while the end is being written.
	endPending bool
	// evicting is set from the decision to evict until the end.
	evicting bool
	// checkpoint is the last one that a report named, evictionCheckpoint the one when the eviction
	// asked for a new one.
	checkpoint         string
	evictionCheckpoint string
	checkpointDeadline time.Time
	lastStopSent       time.Time
	reports            int
	usage              supervisor.Resources
	peakUsage          supervisor.Resources
	slowdown           float64
	usageSampled       bool
	// started is the time at which the worker accepted the start, by this process' clock unless the
	// attempt was recovered.
	started   time.Time
	throttled bool
	// unthrottleSent is set once a throttle of an earlier leader was lifted.
	unthrottleSent bool
}

// SetWorkers replaces the list of workers. A worker that is missing from it counts as leaving until
// its attempts have ended.
func (sc *Scheduler) SetWorkers(ctx context.Context, wks []supervisor.Worker) error {
	return sc.runInLoop(ctx, func(done func(error)) {
		sc.setWorkers(wks, time.Now())
		done(nil)
	})
}

func (sc *Scheduler) setWorkers(wks []supervisor.Worker, now time.Time) {
	listed := make(map[modeler.WorkerName]bool, len(wks))
	for i, wk := range wks {
		listed[wk.Name] = true
		sc.upsertWorker(wk, now.Add(sc.reportInterval(len(wks))*time.Duration(i)/time.Duration(len(wks))))
	}
	for name, ws := range sc.workers {
		if !listed[name] {
			sc.removeWorker(name, ws)
		}
	}
	sc.tickOrder = sc.tickOrder[:0]
	for _, wk := range wks {
		sc.tickOrder = append(sc.tickOrder, sc.workers[wk.Name])
	}
	for name, ws := range sc.workers {
		if !listed[name] {
			sc.tickOrder = append(sc.tickOrder, ws)
		}
	}
	for _, tm := range sc.queue.teams {
		tm.addReserved(supervisor.Resources{}, sc.placer.Capacity())
	}
	sc.roundNeeded = true
}

func (sc *Scheduler) upsertWorker(wk supervisor.Worker, firstReport time.Time) {
	sc.placer.Upsert(wk)
	if ws, ok := sc.workers[wk.Name]; ok {
		ws.worker = wk
		return
	}
	ws := &workerState{
		worker: wk, attempts: make(map[supervisor.Attempt]*runningAttempt),
		nextReport: firstReport, unschedulable: true,
	}
	sc.workers[wk.Name] = ws
	for _, rn := range sc.unlisted[wk.Name] {
		ws.attempts[rn.attempt] = rn
		sc.placer.Adopt(wk.Name, sc.placerTask(rn))
	}
	delete(sc.unlisted, wk.Name)
}

func (sc *Scheduler) removeWorker(name modeler.WorkerName, ws *workerState) {
	if len(ws.attempts) > 0 {
		ws.worker.Leaving = true
		sc.placer.Upsert(ws.worker)
		return
	}
	delete(sc.workers, name)
	delete(sc.probesDue, name)
	sc.placer.Remove(name)
	sc.detector.RemoveWorker(name)
	sc.evictor.Remove(name)
}

// taskStatus describes an active attempt to the placer.
func (sc *Scheduler) placerTask(rn *runningAttempt) placer.Task {
	return placer.Task{
		Attempt: rn.attempt, Kind: rn.kind, Reservation: rn.job.tasks[rn.no].reservation,
		Long:            !rn.job.LatencyCritical && sc.estimator.Class(rn.kind) == estimator.Long,
		LatencyCritical: rn.job.LatencyCritical, MaxPerRack: rn.job.PerRack,
	}
}

func (sc *Scheduler) reportInterval(workers int) time.Duration {
	return max(sc.opts.ReportInterval, time.Duration(workers)*time.Second/maxReportsPerSecond)
}

// tickWorker sends the polls and renewals that are due and ends attempts whose lease is over.
func (sc *Scheduler) tickWorker(ws *workerState, now time.Time) {
	interval := sc.reportInterval(len(sc.tickOrder))
	if !ws.polling && !now.Before(ws.nextReport) {
		ws.nextReport = now.Add(interval)
		sc.requestReport(ws)
	}
	if silent := ws.reported && now.Sub(ws.lastReportRequested) > maxMissedReports*interval; silent && !ws.unresponsive {
		ws.unresponsive = true
		logger.Log(sc.lg, logger.WorkerSilent, "Worker", ws.worker.Name, "Heard", ws.lastReportRequested)
		sc.updateUnschedulable(ws)
	}
	// A worker that has not answered lately gets no renewal: each one sent, even in vain, would
	// put off the time at which its attempts have provably ended.
	if !now.Before(ws.nextRenew) && ws.reported && !ws.unresponsive && sc.withinAutonomy {
		sc.sendRenew(ws, now)
	}
	if !ws.reported || ws.unresponsive {
		sc.expireWorker(ws, now)
	}
	if _, known := sc.probesDue[ws.worker.Name]; !known && sc.detector.ProbeDue(ws.worker.Name, now) {
		sc.roundNeeded = true
		sc.probesDue[ws.worker.Name] = ws
	}
}

func (sc *Scheduler) updateUnschedulable(ws *workerState) {
	name := ws.worker.Name
	blocked := !ws.reported || ws.unresponsive || ws.startRefused || ws.declaredGone || ws.unknownAttempts > 0 ||
		sc.detector.Quarantined(name) || sc.evictor.Throttled(name)
	if ws.unschedulable != blocked {
		ws.unschedulable = blocked
		sc.placer.SetUnschedulable(name, blocked)
		sc.roundNeeded = true
	}
}

// enqueue sends a command to the worker once the earlier ones have ended.
func (sc *Scheduler) enqueue(ws *workerState, cmd command) {
	ws.commands = append(ws.commands, cmd)
	if !ws.sending {
		sc.sendNext(ws)
	}
}

func (sc *Scheduler) sendNext(ws *workerState) {
	if len(ws.commands) == 0 {
		ws.sending = false
		ws.commands = nil
		return
	}
	cmd := ws.commands[0]
	ws.commands = ws.commands[1:]
	ws.sending = true
	sc.sends.Add(1)
	// The list of workers may replace the description while the command is sent.
	wk := ws.worker
	go func() {
		defer sc.sends.Done()
		err := sc.send(wk, cmd)
		sc.mailbox.post(func() {
			cmd.done(err, time.Now())
			sc.sendNext(ws)
		})
	}()
}

// send checks right before the command that this host still leads.
func (sc *Scheduler) send(wk supervisor.Worker, cmd command) error {
	if sc.ctx.Err() != nil || sc.deposed() {
		return ErrDeposed
	}
	ctx, cancel := context.WithTimeout(sc.ctx, commandTimeout)
	defer cancel()
	return cmd.send(ctx, wk)
}

func (sc *Scheduler) sendRenew(ws *workerState, now time.Time) {
	ws.nextRenew = now.Add(sc.opts.RenewInterval)
	// The command is not sent, and its connection is closed, after this time, so that no lease
	// counts from a later one.
	renewBefore := now.Add(commandTimeout)
	var ats []supervisor.Attempt
	for _, rn := range ws.attempts {
		if rn.confirmed && !rn.endPending && !rn.job.cancelled {
			rn.lastGrant = renewBefore
			ats = append(ats, rn.attempt)
		}
	}
	if len(ats) == 0 {
		return
	}
	sc.enqueue(ws, command{
		send: func(ctx context.Context, wk supervisor.Worker) error {
			ctx, cancel := context.WithDeadline(ctx, renewBefore)
			defer cancel()
			if ctx.Err() != nil {
				return errStartExpired
			}
			// A report, which tells more, will not list the attempts that the worker does not run.
			_, err := sc.opts.Workers.Renew(ctx, wk, sc.opts.Epoch, sc.opts.LeaseTerm, ats)
			return err
		},
		done: func(err error, now time.Time) {
			if err != nil {
				ws.nextRenew = earlier(ws.nextRenew, now.Add(sc.opts.RenewInterval/4))
			}
		},
	})
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// expireWorker ends the attempts of a worker that does not answer, once their leases are over.
func (sc *Scheduler) expireWorker(ws *workerState, now time.Time) {
	for _, rn := range ws.attempts {
		sc.expireAttempt(rn, now)
	}
}

// expireUnlisted does the same for a worker that no list has named.
func (sc *Scheduler) expireUnlisted(_ modeler.WorkerName, rns []*runningAttempt, now time.Time) {
	for _, rn := range rns {
		sc.expireAttempt(rn, now)
	}
}

func (sc *Scheduler) expireAttempt(rn *runningAttempt, now time.Time) {
	if !rn.startRecorded || rn.endPending {
		return
	}
	last := rn.lastGrant
	if rn.recovered {
		if sc.predecessorEnd.IsZero() {
			return
		}
		// The leader before may have sent a renewal just before it stopped.
		last = later(last, sc.predecessorEnd.Add(commandTimeout))
	}
	if now.After(last.Add(sc.opts.LeaseTerm + modeler.DriftAllowance(sc.opts.LeaseTerm))) {
		sc.endAsLost(rn, "lease ended on a worker that does not answer")
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// WorkerGone records an operator's statement that a worker is gone: its attempts have ended. The
// statement holds until the worker reports again.
func (sc *Scheduler) WorkerGone(ctx context.Context, name modeler.WorkerName) error {
	return sc.runInLoop(ctx, func(done func(error)) {
		rns := sc.unlisted[name]
		if ws, ok := sc.workers[name]; ok {
			ws.declaredGone = true
			sc.updateUnschedulable(ws)
			for _, rn := range ws.attempts {
				rns = append(rns, rn)
			}
		}
		for _, rn := range rns {
			if rn.startRecorded && !rn.endPending {
				sc.endAsLost(rn, "an operator stated that the worker is gone")
			}
		}
		done(nil)
	})
}

func (sc *Scheduler) sendStop(ws *workerState, at supervisor.Attempt) {
	sc.enqueue(ws, command{
		send: func(ctx context.Context, wk supervisor.Worker) error {
			return sc.opts.Workers.Stop(ctx, wk, sc.opts.Epoch, at)
		},
		done: func(error, time.Time) {},
	})
}

// stopAttempt stops an attempt, again after minStopRetry while reports still list it.
func (sc *Scheduler) stopAttempt(ws *workerState, rn *runningAttempt, now time.Time) {
	if rn.lastStopSent.IsZero() || now.Sub(rn.lastStopSent) >= minStopRetry {
		rn.lastStopSent = now
		sc.sendStop(ws, rn.attempt)
	}
}

func (sc *Scheduler) sendThrottle(ws *workerState, at supervisor.Attempt, share float64) {
	sc.mt.Add(meter.TasksThrottled, 1)
	sc.enqueue(ws, command{
		send: func(ctx context.Context, wk supervisor.Worker) error {
			return sc.opts.Workers.Throttle(ctx, wk, sc.opts.Epoch, at, share)
		},
		done: func(error, time.Time) {},
	})
}
