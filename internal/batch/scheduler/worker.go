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
	// reportsPerSecond bounds the polls of all workers together; with more workers than that times
	// the report interval, the interval grows.
	reportsPerSecond = 100
	// silentReports is the number of missed reports after which a worker gets no new tasks.
	silentReports = 3
	// stopRetry is the time between two stop commands for one attempt.
	stopRetry = 4 * time.Second
)

// errTooLate means that the start-by time passed before the command was sent.
var errTooLate = errors.New("start-by time has passed")

// workerState is a worker and what this leader has sent to it.
type workerState struct {
	worker supervisor.Worker
	// queue holds commands that wait. One command at a time is in progress, so that commands to
	// one worker keep their order and a worker that does not answer holds up no other.
	queue []command
	busy  bool
	// attempts are the recorded attempts that have not ended.
	attempts map[supervisor.Attempt]*running
	// reported is set by the first report in this epoch. No task starts on the worker before.
	reported bool
	// heard is the time at which the last answered report was requested.
	heard time.Time
	// polling is set while a report is queued or in progress.
	polling    bool
	nextReport time.Time
	nextRenew  time.Time
	// orphans is the number of attempts in the last report that the journal does not hold. What
	// they take is not known, so the worker gets no new tasks.
	orphans int
	silent  bool
	// refused is set by a refused start until the next report.
	refused bool
	// gone is an operator's statement, withdrawn by the next report.
	gone    bool
	blocked bool
}

// command is one command to a worker.
type command struct {
	// send runs outside the goroutine of Run.
	send func(ctx context.Context, wk supervisor.Worker) error
	// done runs in the goroutine of Run.
	done func(err error, now time.Time)
}

// running is an active attempt.
type running struct {
	job     *job
	no      int
	attempt supervisor.Attempt
	worker  modeler.WorkerName
	kind    estimator.Kind
	// durable is set once the start is recorded.
	durable bool
	// seen is set once the worker has accepted the start or has reported the attempt.
	seen bool
	// mustBegin is the time after which the worker cannot begin the attempt any more.
	mustBegin time.Time
	// granted is the latest time at which the worker may have accepted a start or renewal of this
	// leader. It is zero for an attempt of an earlier leader until this one renews it.
	granted   time.Time
	recovered bool
	// ending is set while the end is being written.
	ending bool
	// evicting is set from the decision to evict until the end.
	evicting bool
	// checkpoint is the last one that a report named, checkpointBefore the one when the eviction
	// asked for a new one.
	checkpoint       string
	checkpointBefore string
	evictBy          time.Time
	stopSent         time.Time
	reports          int
	use              supervisor.Resources
	peak             supervisor.Resources
	slowdown         float64
	sampled          bool
	// started is the time at which the worker accepted the start, by this process' clock unless the
	// attempt was recovered.
	started   time.Time
	throttled bool
	// unthrottled is set once a throttle of an earlier leader was lifted.
	unthrottled bool
}

// SetWorkers replaces the list of workers. A worker that is missing from it counts as leaving until
// its attempts have ended.
func (sc *Scheduler) SetWorkers(ctx context.Context, wks []supervisor.Worker) error {
	return sc.call(ctx, func(done func(error)) {
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
			sc.dropWorker(name, ws)
		}
	}
	sc.order = sc.order[:0]
	for _, wk := range wks {
		sc.order = append(sc.order, sc.workers[wk.Name])
	}
	for name, ws := range sc.workers {
		if !listed[name] {
			sc.order = append(sc.order, ws)
		}
	}
	for _, tm := range sc.queue.teams {
		tm.hold(supervisor.Resources{}, sc.placer.Capacity())
	}
	sc.dirty = true
}

func (sc *Scheduler) upsertWorker(wk supervisor.Worker, firstReport time.Time) {
	sc.placer.Upsert(wk)
	if ws, ok := sc.workers[wk.Name]; ok {
		ws.worker = wk
		return
	}
	ws := &workerState{
		worker: wk, attempts: make(map[supervisor.Attempt]*running),
		nextReport: firstReport, blocked: true,
	}
	sc.workers[wk.Name] = ws
	for _, rn := range sc.unplaced[wk.Name] {
		ws.attempts[rn.attempt] = rn
		sc.placer.Adopt(wk.Name, sc.taskOf(rn))
	}
	delete(sc.unplaced, wk.Name)
}

func (sc *Scheduler) dropWorker(name modeler.WorkerName, ws *workerState) {
	if len(ws.attempts) > 0 {
		ws.worker.Leaving = true
		sc.placer.Upsert(ws.worker)
		return
	}
	delete(sc.workers, name)
	delete(sc.due, name)
	sc.placer.Remove(name)
	sc.detector.RemoveWorker(name)
	sc.evictor.Remove(name)
}

// taskOf describes an active attempt to the placer.
func (sc *Scheduler) taskOf(rn *running) placer.Task {
	return placer.Task{
		Attempt: rn.attempt, Kind: rn.kind, Reservation: rn.job.tasks[rn.no].reservation,
		Long:            !rn.job.LatencyCritical && sc.estimator.Class(rn.kind) == estimator.Long,
		LatencyCritical: rn.job.LatencyCritical, MaxPerRack: rn.job.PerRack,
	}
}

func (sc *Scheduler) reportInterval(workers int) time.Duration {
	return max(sc.opts.ReportInterval, time.Duration(workers)*time.Second/reportsPerSecond)
}

// tickWorker sends the polls and renewals that are due and ends attempts whose lease is over.
func (sc *Scheduler) tickWorker(ws *workerState, now time.Time) {
	interval := sc.reportInterval(len(sc.order))
	if !ws.polling && !now.Before(ws.nextReport) {
		ws.nextReport = now.Add(interval)
		sc.poll(ws)
	}
	if silent := ws.reported && now.Sub(ws.heard) > silentReports*interval; silent && !ws.silent {
		ws.silent = true
		logger.Log(sc.lg, logger.WorkerSilent, "Worker", ws.worker.Name, "Heard", ws.heard)
		sc.refreshBlocked(ws)
	}
	// A worker that has not answered lately gets no renewal: each one sent, even in vain, would
	// put off the time at which its attempts have provably ended.
	if !now.Before(ws.nextRenew) && ws.reported && !ws.silent && sc.autonomy {
		sc.renew(ws, now)
	}
	if !ws.reported || ws.silent {
		sc.expireWorker(ws, now)
	}
	if _, known := sc.due[ws.worker.Name]; !known && sc.detector.ProbeDue(ws.worker.Name, now) {
		sc.dirty = true
		sc.due[ws.worker.Name] = ws
	}
}

func (sc *Scheduler) refreshBlocked(ws *workerState) {
	name := ws.worker.Name
	blocked := !ws.reported || ws.silent || ws.refused || ws.gone || ws.orphans > 0 ||
		sc.detector.Quarantined(name) || sc.evictor.Throttled(name)
	if ws.blocked != blocked {
		ws.blocked = blocked
		sc.placer.SetUnschedulable(name, blocked)
		sc.dirty = true
	}
}

// enqueue sends a command to the worker once the earlier ones have ended.
func (sc *Scheduler) enqueue(ws *workerState, cmd command) {
	ws.queue = append(ws.queue, cmd)
	if !ws.busy {
		sc.sendNext(ws)
	}
}

func (sc *Scheduler) sendNext(ws *workerState) {
	if len(ws.queue) == 0 {
		ws.busy = false
		ws.queue = nil
		return
	}
	cmd := ws.queue[0]
	ws.queue = ws.queue[1:]
	ws.busy = true
	sc.senders.Add(1)
	// The list of workers may replace the description while the command is sent.
	wk := ws.worker
	go func() {
		defer sc.senders.Done()
		err := sc.send(wk, cmd)
		sc.mailbox.post(func() {
			cmd.done(err, time.Now())
			sc.sendNext(ws)
		})
	}()
}

// send checks right before the command that this host still leads.
func (sc *Scheduler) send(wk supervisor.Worker, cmd command) error {
	if sc.ctx.Err() != nil || sc.deposedNow() {
		return ErrDeposed
	}
	ctx, cancel := context.WithTimeout(sc.ctx, commandTimeout)
	defer cancel()
	return cmd.send(ctx, wk)
}

func (sc *Scheduler) renew(ws *workerState, now time.Time) {
	ws.nextRenew = now.Add(sc.opts.RenewInterval)
	// The command is not sent, and its connection is closed, after this time, so that no lease
	// counts from a later one.
	renewBefore := now.Add(commandTimeout)
	var ats []supervisor.Attempt
	for _, rn := range ws.attempts {
		if rn.seen && !rn.ending && !rn.job.cancelled {
			rn.granted = renewBefore
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
				return errTooLate
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
		sc.expireOne(rn, now)
	}
}

// expire does the same for a worker that no list has named.
func (sc *Scheduler) expire(_ modeler.WorkerName, rns []*running, now time.Time) {
	for _, rn := range rns {
		sc.expireOne(rn, now)
	}
}

func (sc *Scheduler) expireOne(rn *running, now time.Time) {
	if !rn.durable || rn.ending {
		return
	}
	last := rn.granted
	if rn.recovered {
		if sc.predecessorEnd.IsZero() {
			return
		}
		// The leader before may have sent a renewal just before it stopped.
		last = later(last, sc.predecessorEnd.Add(commandTimeout))
	}
	if now.After(last.Add(sc.opts.LeaseTerm + modeler.DriftAllowance(sc.opts.LeaseTerm))) {
		sc.lose(rn, "lease ended on a worker that does not answer")
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
	return sc.call(ctx, func(done func(error)) {
		rns := sc.unplaced[name]
		if ws, ok := sc.workers[name]; ok {
			ws.gone = true
			sc.refreshBlocked(ws)
			for _, rn := range ws.attempts {
				rns = append(rns, rn)
			}
		}
		for _, rn := range rns {
			if rn.durable && !rn.ending {
				sc.lose(rn, "an operator stated that the worker is gone")
			}
		}
		done(nil)
	})
}

func (sc *Scheduler) stop(ws *workerState, at supervisor.Attempt) {
	sc.enqueue(ws, command{
		send: func(ctx context.Context, wk supervisor.Worker) error {
			return sc.opts.Workers.Stop(ctx, wk, sc.opts.Epoch, at)
		},
		done: func(error, time.Time) {},
	})
}

// stopOnce stops an attempt, again after stopRetry while reports still list it.
func (sc *Scheduler) stopOnce(ws *workerState, rn *running, now time.Time) {
	if rn.stopSent.IsZero() || now.Sub(rn.stopSent) >= stopRetry {
		rn.stopSent = now
		sc.stop(ws, rn.attempt)
	}
}

func (sc *Scheduler) throttle(ws *workerState, at supervisor.Attempt, share float64) {
	sc.mt.Add(meter.TasksThrottled, 1)
	sc.enqueue(ws, command{
		send: func(ctx context.Context, wk supervisor.Worker) error {
			return sc.opts.Workers.Throttle(ctx, wk, sc.opts.Epoch, at, share)
		},
		done: func(error, time.Time) {},
	})
}
