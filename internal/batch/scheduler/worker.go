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
	// maxReportsPerSecond bounds the reports requested from all workers together. With many workers
	// it lengthens the report interval.
	maxReportsPerSecond = 100
	// maxMissedReports is the number of report intervals without an answer after which a worker
	// counts as unresponsive.
	maxMissedReports = 3
	// minStopRetry is the minimum time between two stop commands for one attempt.
	minStopRetry = 4 * time.Second
)

// errStartExpired means that the deadline of a command passed before it was sent.
var errStartExpired = errors.New("start-by time has passed")

// workerState is a worker and the state of this leader's communication with it.
type workerState struct {
	worker supervisor.Worker
	// commands holds the commands that wait. Commands to one worker are sent one at a time, so that
	// they keep their order and a worker that does not answer delays only its own commands.
	commands []command
	// sending is set while a command is in progress.
	sending bool
	// attempts holds the proposed and the recorded attempts that have not ended.
	attempts map[supervisor.Attempt]*activeAttempt
	// reported is set by the first report in this epoch. No task starts on the worker before.
	reported bool
	// lastReportRequested is the time at which the last answered report was requested.
	lastReportRequested time.Time
	// polling is set while a report request waits or is in progress.
	polling    bool
	nextReport time.Time
	nextRenew  time.Time
	// unknownAttempts counts the attempts in the last report that are not recorded as active. Their
	// resource usage is not accounted for, so the worker gets no new tasks.
	unknownAttempts int
	// unresponsive is set after maxMissedReports missed reports, until the next report.
	unresponsive bool
	// startRefused is set by a refused start until the next report.
	startRefused bool
	// declaredGone is set by WorkerGone until the next report.
	declaredGone bool
	// unschedulable is set while no new tasks are placed on the worker; see updateUnschedulable.
	unschedulable bool
}

// command is one command to a worker.
type command struct {
	// send runs outside the goroutine of Run.
	send func(ctx context.Context, wk supervisor.Worker) error
	// done runs in the goroutine of Run.
	done func(err error, now time.Time)
}

// activeAttempt is an attempt from the decision to start it to the record of its end.
type activeAttempt struct {
	job     *job
	no      int
	attempt supervisor.Attempt
	worker  modeler.WorkerName
	kind    estimator.Kind
	// startRecorded is set once the record of the start is durable.
	startRecorded bool
	// confirmed is set once the worker has accepted the start or reported the attempt.
	confirmed bool
	// startBefore is the time after which the worker refuses the start.
	startBefore time.Time
	// lastGrant is the latest time at which the worker may have accepted a start or renewal from
	// this leader. It is zero for an adopted attempt until this leader renews its lease.
	lastGrant time.Time
	// recovered is set for an attempt adopted from an earlier leader.
	recovered bool
	// inheritedBound is the end of the leases of earlier leaders, if one of them has recorded it, zero otherwise.
	inheritedBound time.Time
	// endPending is set while the record of the end is being written.
	endPending bool
	// evicting is set from the decision to evict until the end.
	evicting bool
	// checkpoint is the last reported checkpoint.
	checkpoint string
	// evictionCheckpoint is the value of checkpoint when the eviction requested a new one.
	evictionCheckpoint string
	// checkpointDeadline is the time until which the eviction waits for a new checkpoint, zero
	// before the request.
	checkpointDeadline time.Time
	lastStopSent       time.Time
	// reports counts the reports with a measurement of the attempt.
	reports   int
	usage     supervisor.Resources
	peakUsage supervisor.Resources
	// slowdown is the last reported slowdown, 1 for full speed and 0 when it was not measured.
	slowdown float64
	// usageSampled is set once peakUsage was passed to the estimator.
	usageSampled bool
	// started is the time at which the worker accepted the start: by this process' clock, or by the
	// worker's report when this leader did not receive the answer.
	started   time.Time
	throttled bool
	// unthrottleSent is set once the throttle that an earlier leader may have set was lifted.
	unthrottleSent bool
}

// SetWorkers replaces the list of workers. A worker that is not listed any more counts as leaving
// until its attempts have ended.
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
	for name := range sc.state.quarantined {
		if _, ok := sc.workers[name]; !ok {
			// It has left the list since an earlier term.
			sc.removeFromDetector(name)
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

// upsertWorker adds or updates a worker. A new worker takes over its unlisted attempts.
func (sc *Scheduler) upsertWorker(wk supervisor.Worker, firstReport time.Time) {
	sc.placer.Upsert(wk)
	if ws, ok := sc.workers[wk.Name]; ok {
		ws.worker = wk
		return
	}
	ws := &workerState{
		worker: wk, attempts: make(map[supervisor.Attempt]*activeAttempt),
		nextReport: firstReport, unschedulable: true,
	}
	sc.workers[wk.Name] = ws
	for _, aa := range sc.unlisted[wk.Name] {
		ws.attempts[aa.attempt] = aa
		sc.placer.Adopt(wk.Name, sc.activePlacerTask(aa))
	}
	delete(sc.unlisted, wk.Name)
}

// removeWorker removes a worker that is not listed any more, or marks it as leaving while it has
// attempts.
func (sc *Scheduler) removeWorker(name modeler.WorkerName, ws *workerState) {
	if len(ws.attempts) > 0 {
		ws.worker.Leaving = true
		sc.placer.Upsert(ws.worker)
		return
	}
	delete(sc.workers, name)
	delete(sc.probesDue, name)
	sc.placer.Remove(name)
	sc.removeFromDetector(name)
	sc.evictor.Remove(name)
}

// removeFromDetector drops what is known of the failures of a worker that is not listed any more.
func (sc *Scheduler) removeFromDetector(name modeler.WorkerName) {
	if sc.detector.Quarantined(name) {
		sc.mt.Add(meter.WorkersInQuarantine, -1)
		sc.proposeQuarantine(name, true)
	}
	sc.detector.RemoveWorker(name)
}

// activePlacerTask describes an active attempt to the placer.
func (sc *Scheduler) activePlacerTask(aa *activeAttempt) placer.Task {
	return placer.Task{
		Attempt: aa.attempt, Kind: aa.kind, Reservation: aa.job.tasks[aa.no].reservation,
		Long:            !aa.job.LatencyCritical && sc.estimator.Class(aa.kind) == estimator.Long,
		LatencyCritical: aa.job.LatencyCritical, MaxPerRack: aa.job.MaxPerRack,
	}
}

// reportInterval returns the time between two reports of a worker.
func (sc *Scheduler) reportInterval(workers int) time.Duration {
	return max(sc.opts.ReportInterval, time.Duration(workers)*time.Second/maxReportsPerSecond)
}

// tickWorker sends the report requests and lease renewals that are due and ends attempts whose
// leases have expired.
func (sc *Scheduler) tickWorker(ws *workerState, now time.Time) {
	interval := sc.reportInterval(len(sc.tickOrder))
	if !ws.polling && !now.Before(ws.nextReport) {
		ws.nextReport = now.Add(interval)
		sc.requestReport(ws)
	}
	if unresponsive := ws.reported && now.Sub(ws.lastReportRequested) > maxMissedReports*interval; unresponsive && !ws.unresponsive {
		ws.unresponsive = true
		logger.Log(sc.lg, logger.WorkerSilent, "Worker", ws.worker.Name, "Heard", ws.lastReportRequested)
		sc.updateUnschedulable(ws)
	}
	// An unresponsive worker gets no renewals: each one might arrive although its answer is lost,
	// and would delay the time at which the leases have certainly expired.
	if !now.Before(ws.nextRenew) && ws.reported && !ws.unresponsive && sc.withinAutonomy && !sc.bounded(ws.worker.Name) {
		sc.sendRenew(ws, now)
	}
	if !ws.reported || ws.unresponsive {
		sc.expireWorker(ws, now)
	}
	if _, queued := sc.probesDue[ws.worker.Name]; !queued && sc.detector.ProbeDue(ws.worker.Name, now) {
		sc.roundNeeded = true
		sc.probesDue[ws.worker.Name] = ws
	}
}

func (sc *Scheduler) updateUnschedulable(ws *workerState) {
	name := ws.worker.Name
	unschedulable := !ws.reported || ws.unresponsive || ws.startRefused || ws.declaredGone || ws.unknownAttempts > 0 ||
		sc.bounded(name) || sc.detector.Quarantined(name) || sc.evictor.Throttled(name)
	if ws.unschedulable != unschedulable {
		ws.unschedulable = unschedulable
		sc.placer.SetUnschedulable(name, unschedulable)
		sc.roundNeeded = true
	}
}

// enqueue sends a command to the worker after the earlier ones.
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
	// SetWorkers may replace ws.worker while the command is sent.
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

// send sends a command unless the leader was deposed.
func (sc *Scheduler) send(wk supervisor.Worker, cmd command) error {
	if sc.ctx.Err() != nil || sc.deposed() {
		return ErrDeposed
	}
	ctx, cancel := context.WithTimeout(sc.ctx, commandTimeout)
	defer cancel()
	return cmd.send(ctx, wk)
}

// sendRenew renews the leases of the worker's confirmed attempts.
func (sc *Scheduler) sendRenew(ws *workerState, now time.Time) {
	ws.nextRenew = now.Add(sc.opts.RenewInterval)
	// The renewal is not sent after this time, and an unfinished one is cancelled, so that no
	// granted lease begins later.
	renewBefore := now.Add(commandTimeout)
	var ats []supervisor.Attempt
	for _, aa := range ws.attempts {
		if aa.confirmed && !aa.endPending && !aa.job.cancelled {
			aa.lastGrant = renewBefore
			ats = append(ats, aa.attempt)
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
			// Missing attempts are not handled here: the next report shows them too, and gives more
			// detail.
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

// expireWorker ends the attempts of an unresponsive worker whose leases have expired.
func (sc *Scheduler) expireWorker(ws *workerState, now time.Time) {
	for _, aa := range ws.attempts {
		sc.expireAttempt(aa, now)
	}
}

// expireUnlisted ends the attempts of an unlisted worker whose leases have expired.
func (sc *Scheduler) expireUnlisted(_ modeler.WorkerName, aas []*activeAttempt, now time.Time) {
	for _, aa := range aas {
		sc.expireAttempt(aa, now)
	}
}

// expireAttempt ends an attempt as lost once its lease has expired on the worker for certain, with
// an allowance for clock drift.
func (sc *Scheduler) expireAttempt(aa *activeAttempt, now time.Time) {
	if !aa.startRecorded || aa.endPending {
		return
	}
	if now.After(sc.leaseEnd(aa)) {
		sc.endAsLost(aa, "lease ended on a worker that does not answer")
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// WorkerGone records an operator's statement that a worker is gone, which ends its attempts as
// lost. The worker gets no tasks until it reports again.
func (sc *Scheduler) WorkerGone(ctx context.Context, name modeler.WorkerName) error {
	return sc.runInLoop(ctx, func(done func(error)) {
		aas := sc.unlisted[name]
		if ws, ok := sc.workers[name]; ok {
			ws.declaredGone = true
			sc.updateUnschedulable(ws)
			for _, aa := range ws.attempts {
				aas = append(aas, aa)
			}
		}
		for _, aa := range aas {
			if aa.startRecorded && !aa.endPending {
				sc.endAsLost(aa, "an operator stated that the worker is gone")
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

// stopAttempt sends a stop command, and again after minStopRetry while reports still list the
// attempt.
func (sc *Scheduler) stopAttempt(ws *workerState, aa *activeAttempt, now time.Time) {
	if aa.lastStopSent.IsZero() || now.Sub(aa.lastStopSent) >= minStopRetry {
		aa.lastStopSent = now
		sc.sendStop(ws, aa.attempt)
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
