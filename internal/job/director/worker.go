package director

import (
	"context"
	"errors"
	"maps"
	"slices"
	"time"

	"github.com/currantrouter/currantrouter/internal/job/appraiser"
	"github.com/currantrouter/currantrouter/internal/job/estimator"
	"github.com/currantrouter/currantrouter/internal/job/keeper"
	"github.com/currantrouter/currantrouter/internal/job/modeler"
	"github.com/currantrouter/currantrouter/internal/job/pacer"
	"github.com/currantrouter/currantrouter/internal/job/placer"
	"github.com/currantrouter/currantrouter/internal/process/pauser"
	"github.com/currantrouter/currantrouter/internal/telemetry/logger"
	"github.com/currantrouter/currantrouter/internal/telemetry/meter"
)

const (
	// maxClockDrift is the share by which a worker's clock may be slow, and a bound of the share by which the clocks
	// of two hosts differ.
	maxClockDrift = 0.02
	// clockMargin is how far a worker's clock may be behind minClock without a restart.
	clockMargin = 100 * time.Millisecond
	// leaseMargin is added to the end of a lease for the time that the worker takes to end its
	// runs.
	leaseMargin = 150 * time.Millisecond
	// unreachableGrace is how long after the end of its lease an unreachable worker is waited for if its tasks
	// end by themselves, see returnGrace. They have probably ended, and these ends count once the worker is
	// reachable again.
	unreachableGrace = 4 * time.Second
	// minCopySilence is how long a worker does not answer before its runs get copies on others. A worker that was only slow to
	// answer is back by then.
	minCopySilence = time.Second
	// maxBusyWait is how long a worker with runs may delay its answer to a renewal until a run
	// ends.
	maxBusyWait = time.Second
	// maxIdleWait is that for a worker without runs. A run that starts there depends on a lease that was extended up
	// to this long ago.
	maxIdleWait = 1500 * time.Millisecond
	// maxPacedWait is that for a worker with best-effort and latency-critical tasks, whose tail
	// latency has to be checked more often than it is measured.
	maxPacedWait = 500 * time.Millisecond
	// renewTimeoutMargin is the time beyond this delay after which a renewal counts as unanswered.
	renewTimeoutMargin = 500 * time.Millisecond
	// maxDurableWait is how long the next renewal waits until the facts of the last report are
	// durable.
	maxDurableWait = 250 * time.Millisecond
	// unrecordedEndsPause is the pause between renewals while ends cannot be recorded. The worker
	// answers at once then, as it lists these ends again.
	unrecordedEndsPause = 250 * time.Millisecond
	// renewRetryPause is the pause after a renewal without an answer.
	renewRetryPause = 100 * time.Millisecond
	// loadingRenewInterval is the time between two renewals until the stored jobs are loaded.
	loadingRenewInterval = time.Second
	// maxStartDelayAfterRestart is how long after it was sent an unanswered start may still reach a
	// worker that has restarted since. The clock of the new incarnation does not refuse it, so that
	// maxStartAge does not apply.
	maxStartDelayAfterRestart = 15 * time.Second
	// minUnexpectedStopInterval is the time after the answer to the stop of an unexpected run from which
	// the stop is repeated if the run is still listed.
	minUnexpectedStopInterval = time.Second
)

// worker is the state of one worker in this term.
type worker struct {
	info modeler.Worker
	// registered is set while the registry lists the worker.
	registered bool
	// grantSubmitted is set once the fact that the worker may hold a lease was given to the journal.
	// grantDurable is set once that fact is durable, and unset again while the lease is bounded.
	grantDurable, grantSubmitted bool
	lease                        leaseRecord
	// answered is set once the present incarnation of the worker has answered in this term. From then
	// on it refuses requests of earlier leaders, and its lease is renewed.
	answered bool
	// reported is set while the last report of that incarnation that was processed, which needs the stored
	// jobs, answered a request with the present fencing token.
	reported bool
	// unaccounted is set while the worker is counted in Director.unaccountedWorkers.
	unaccounted bool
	// renewing is set while renewLoop runs for the worker.
	renewing bool
	renewal  renewalState

	// incarnation is the one that answered last, zero before the first answer. clock is what its
	// clock showed at the local time clockAt.
	incarnation int64
	// fenceRises counts how often the fencing token has risen in this term: after each request without an
	// answer, and for each incarnation. fenced is set while the last report answers a request with the
	// present token. The worker refuses all requests with earlier tokens then, however late.
	fenceRises int64
	fenced     bool
	clock      time.Duration
	clockAt    time.Time
	// answeredAt is when the worker last answered a start or a probe.
	answeredAt time.Time
	// announcedAt is when the registry or the worker's clock announced another incarnation, zero once
	// the worker has answered a later renewal. Until then, it gets neither starts nor a longer lease,
	// and no ends are acknowledged.
	announcedAt time.Time
	// entryOutdated is set while info describes another incarnation than the one that answered last, which may have
	// other labels and another capacity: an earlier one, or one between two that answered. It gets no starts until
	// its own entry is known.
	entryOutdated bool
	// mayHoldEarlierLease is set from the first answer of another incarnation until it has answered a request with a
	// token that is later than those of all requests for the earlier one. Until then it may carry these out, which
	// gives it a lease by the clock of the earlier one.
	mayHoldEarlierLease bool
	// grantedTo is the last incarnation that may hold a lease of an earlier leader, zero if none is known, and
	// grantedToSeveral is set if the journal names several.
	grantedTo        int64
	grantedToSeveral bool
	// leaseEnd is the latest end of a lease that the worker may have received with a renewal or a start, on its clock,
	// zero before the first answer.
	leaseEnd time.Duration
	// processedEnd is the number of the last end that was processed, ackedEnd that of the last one
	// that is durable.
	processedEnd, ackedEnd int64
	// unrecordedFacts holds the facts of processed ends that were not given to the journal yet, and
	// unrecordedJobs the jobs that end with them.
	unrecordedFacts []keeper.Fact
	unrecordedJobs  []*job
	// deferredRuns holds the runs of the last report, and deferredEnds the ends in the order of their
	// numbers, whose jobs are being read. These ends and later ones are not acknowledged.
	deferredRuns []modeler.ActiveRun
	deferredEnds []modeler.EndedRun
	// recording is closed once the batch of facts that is being recorded is durable. It is nil when
	// there is no such batch. recordingSince is when that began.
	recording      chan struct{}
	recordingSince time.Time
	// unreachable is set while the last renewal has no answer, unreachableSince when it was set.
	unreachable      bool
	unreachableSince time.Time

	// free is the capacity minus all reservations, changes the last changes of it, in their order.
	free                           modeler.Resources
	changes                        []capacityChange
	criticalTasks, bestEffortTasks int
	criticalMilliCores             int64
	// ending is what is reserved for tasks that are not long-running.
	ending               modeler.Resources
	bestEffortMilliCores int64
	// criticalImages counts the latency-critical tasks by image, bestEffortImages has the best-effort ones.
	criticalImages   map[string]int
	bestEffortImages map[string]imageLoad
	attempts         map[attemptKey]*attempt
	// criticalAttempts holds those of attempts that are latency-critical.
	criticalAttempts []*attempt
	// startQueue holds attempts whose starts are to be sent, by startSenders goroutines.
	startQueue   []*attempt
	startSenders int
	// inAdvance holds attempts whose starts are queued once runs of cancelled jobs have ended, in the order
	// in which they were placed. Until then, free may be negative.
	inAdvance []*attempt
	// unansweredStarts holds the times of starts without an answer. They may reach a later incarnation until
	// it is fenced.
	unansweredStarts map[attemptKey]time.Time
	// unexpectedStops holds the stops of runs that this term does not want, until a report proves that
	// the run has ended.
	unexpectedStops map[attemptKey]*unexpectedStop
	// cancelledRuns holds the runs of cancelled jobs that the worker may still execute.
	cancelledRuns map[attemptKey]*cancelledRun
	faultHistory  appraiser.FaultHistory
	// inheritedQuarantine is the last quarantine that an earlier leader recorded, nil if there is none.
	inheritedQuarantine *keeper.QuarantineFact
	// noStartsBefore delays starts after one was not carried out, see refusalPause.
	noStartsBefore time.Time
	// pace is the pace of the best-effort tasks on the worker.
	pace pacer.Pace
	// checkedAt is when checkRuns last looked at the runs, observedAt when observeInterference last did.
	checkedAt, observedAt time.Time
	// usage is bestEffortUsage of the last report. Measures change with reports alone.
	usage []estimator.Usage
	// predictions holds predictions for best-effort tasks by image, see recentPrediction.
	predictions map[string]*prediction
	// contention is the competition of best-effort images for the worker, nil if it was not computed, see
	// updateContention.
	contention *placer.Contention
}

// imageLoad is what the tasks of one image on a worker need together.
type imageLoad struct {
	tasks      int
	milliCores int64
}

// fence returns the fencing token of requests to a worker.
func (dr *Director) fence(wk *worker) modeler.Fence {
	return modeler.NewFence(dr.op.Epoch, wk.fenceRises)
}

// raiseFence makes the worker refuse the requests that were sent so far, once it has received a later one.
func (wk *worker) raiseFence() {
	wk.fenceRises++
	wk.fenced = false
}

// attemptKey identifies an attempt on a worker.
type attemptKey struct {
	task modeler.TaskID
	run  modeler.Run
}

// LongestTime returns the longest time that a time on a worker's or another host's clock lasts.
func LongestTime(span time.Duration) time.Duration {
	return span + time.Duration(maxClockDrift*float64(span))
}

// minClock returns the earliest time that the worker's clock can show.
func (wk *worker) minClock(at time.Time) time.Duration {
	return wk.clock + time.Duration(float64(at.Sub(wk.clockAt))*(1-maxClockDrift))
}

// checkClock notes a restart if the worker's clock, as the answer to a start shows it, is behind: the
// numbers of its ends have begun anew, and an acknowledgement would drop ends that were not seen.
func (wk *worker) checkClock(clock time.Duration, sentAt, now time.Time) {
	if clock > 0 && clock < wk.minClock(sentAt)-clockMargin {
		wk.announcedAt = now
	}
}

// SetWorkers replaces the list of registered workers. A worker with runs that is no longer listed
// stays known until its lease has expired.
func (dr *Director) SetWorkers(list []modeler.Worker) {
	dr.mu.Lock()
	defer dr.mu.Unlock()
	listed := make(map[modeler.WorkerID]bool, len(list))
	for ix := range list {
		listed[list[ix].ID] = true
		dr.setWorker(&list[ix])
	}
	for id, wk := range dr.workers {
		if !listed[id] {
			dr.removeWorker(wk)
		}
	}
	dr.wakeDispatch()
}

// UpdateWorker adds or updates a registered worker.
func (dr *Director) UpdateWorker(info modeler.Worker) {
	dr.mu.Lock()
	defer dr.mu.Unlock()
	dr.setWorker(&info)
	dr.wakeDispatch()
}

// RemoveWorker notes that the registry does not list a worker any more.
func (dr *Director) RemoveWorker(id modeler.WorkerID) {
	dr.mu.Lock()
	defer dr.mu.Unlock()
	if wk := dr.workers[id]; wk != nil {
		dr.removeWorker(wk)
	}
}

func (dr *Director) removeWorker(wk *worker) {
	if wk.registered {
		dr.log(logger.WorkerUnregistered, "Worker", wk.info.ID, "Runs", len(wk.attempts))
	}
	wk.registered = false
}

func (dr *Director) setWorker(info *modeler.Worker) {
	wk := dr.workers[info.ID]
	if wk == nil {
		wk = &worker{
			attempts: map[attemptKey]*attempt{}, unexpectedStops: map[attemptKey]*unexpectedStop{}, unansweredStarts: map[attemptKey]time.Time{},
			criticalImages: map[string]int{}, bestEffortImages: map[string]imageLoad{}, predictions: map[string]*prediction{}, fenceRises: dr.droppedFenceRises,
		}
		wk.info = *info
		wk.free = info.Capacity
		dr.workers[info.ID] = wk
		dr.workerOrder = nil
	}
	if info.Draining && !wk.info.Draining {
		dr.log(logger.WorkerDraining, "Worker", info.ID, "Remaining", info.MinRemaining.String(), "Runs", len(wk.attempts))
	}
	wk.free = wk.free.Plus(info.Capacity).Minus(wk.info.Capacity)
	if wk.incarnation != 0 && info.Incarnation != wk.incarnation && info.Incarnation != wk.info.Incarnation {
		wk.announcedAt = time.Now()
	}
	wk.info, wk.registered = *info, true
	// An entry of a later incarnation than the one that keeps answering is taken as it is: announcedAt delays starts
	// until the worker has answered again.
	dr.setEntryOutdated(wk, wk.describesOther(wk.incarnation) && (wk.entryOutdated || info.Incarnation < wk.incarnation))
	dr.startRenewing(wk)
}

// describesOther reports whether the worker's entry names another incarnation than the given one. Neither zero, of an
// entry or an answer without an incarnation, nor an answer that is yet to come tells them apart.
func (wk *worker) describesOther(incarnation int64) bool {
	return wk.info.Incarnation != 0 && incarnation != 0 && wk.info.Incarnation != incarnation
}

// setEntryOutdated sets entryOutdated, and logs when that closes the worker.
func (dr *Director) setEntryOutdated(wk *worker, outdated bool) {
	if outdated && !wk.entryOutdated {
		dr.log(logger.WorkerEntryOutdated, "Worker", wk.info.ID, "Answers", wk.incarnation, "Entry", wk.info.Incarnation)
	}
	wk.entryOutdated = outdated
}

// startRenewing starts the renewLoop of a worker. It does nothing before Start.
func (dr *Director) startRenewing(wk *worker) {
	if dr.ctx == nil || wk.renewing {
		return
	}
	wk.renewing, wk.renewal.extendedAt = true, time.Now()
	dr.startGoroutine(func(ctx context.Context) { dr.renewLoop(ctx, wk) })
}

// renewLoop renews the lease of one worker and handles its reports.
func (dr *Director) renewLoop(ctx context.Context, wk *worker) {
	for ctx.Err() == nil {
		if !dr.ensureGrant(ctx, wk) {
			return
		}
		req, info, ok := dr.nextRenewal(wk)
		if !ok {
			pauser.Sleep(ctx, renewRetryPause)
			continue
		}
		sentAt := time.Now()
		rep, err := dr.sendRenewal(ctx, &info, req)
		answeredAt := time.Now()
		if err != nil {
			dr.renewalFailed(wk, req.Fence, err)
			pauser.Sleep(ctx, renewRetryPause)
			continue
		}
		if !dr.noteAnswer(wk, req.Fence, sentAt, answeredAt, &rep) {
			dr.renewalFailed(wk, req.Fence, errNoIncarnation)
			pauser.Sleep(ctx, unrecordedEndsPause)
			continue
		}
		dr.enterPhase(wk, awaitingLoad)
		select {
		case <-ctx.Done():
			return
		case <-dr.loaded:
		case <-time.After(loadingRenewInterval):
			continue
		}
		durable := dr.handleReport(wk, sentAt, &rep)
		dr.wakeDispatch()
		select {
		case <-durable:
			// Most reports have no ends to record, and need no interval.
			continue
		default:
		}
		select {
		case <-ctx.Done():
		case <-durable:
		case <-time.After(dr.unrecordedInterval(wk, len(rep.Ended))):
		}
	}
}

// ensureGrant makes durable that the worker may hold a lease, before it is given one. A worker that
// never answers gets none, so that the next leader need not wait for it. ensureGrant returns false
// when the worker is removed or the term is over, which ends the loop.
func (dr *Director) ensureGrant(ctx context.Context, wk *worker) bool {
	for ctx.Err() == nil {
		dr.mu.Lock()
		removed := !wk.registered && !wk.unaccounted && len(wk.attempts) == 0 && !wk.lease.recordingBound && dr.idle(wk, time.Now())
		known, granted, needed, info := wk.grantDurable || wk.lease.bounded, wk.grantDurable, wk.answered && !wk.unreachable && !removed, wk.info
		wk.grantSubmitted = needed
		wk.lease.recordingGrant = needed && !granted && !wk.lease.recordingBound
		if removed {
			// If it is registered again before the release is durable, it gets no lease and no start
			// until it has been granted one again.
			wk.grantDurable, wk.answered, wk.reported = false, false, false
			wk.lease = leaseRecord{recordingRelease: known}
		}
		record := wk.lease.recordingGrant
		dr.mu.Unlock()
		switch {
		case removed:
			if known {
				dr.record(ctx, []keeper.Fact{{LeaseReleased: info.ID}}, func() {
					dr.mu.Lock()
					defer dr.mu.Unlock()
					wk.lease.recordingRelease = false
				})
			}
			if dr.dropWorker(wk) {
				return false
			}
		case !record:
			return true
		default:
			dr.enterPhase(wk, recordingGrant)
			dr.record(ctx, []keeper.Fact{{LeaseGranted: &info}}, func() {
				dr.mu.Lock()
				wk.grantDurable, wk.lease = true, leaseRecord{}
				dr.mu.Unlock()
				dr.wakeDispatch()
			})
		}
	}
	return false
}

// dropWorker removes a worker whose lease was released, unless it has been registered again.
func (dr *Director) dropWorker(wk *worker) bool {
	dr.mu.Lock()
	defer dr.mu.Unlock()
	if !wk.registered {
		delete(dr.workers, wk.info.ID)
		dr.workerOrder = nil
		// If it is registered again, it refuses a lower token than the last.
		dr.droppedFenceRises = max(dr.droppedFenceRises, wk.fenceRises+1)
		dr.dropUnexpectedCancelledRuns(wk, time.Now())
	}
	return !wk.registered
}

// idle reports whether nothing can run on a worker without attempts: either its last report listed
// no unexpected run and no start may still reach it, or its lease has expired and none for an earlier
// incarnation may still be carried out.
func (dr *Director) idle(wk *worker, now time.Time) bool {
	if dr.leaseExpired(wk, now) {
		return !dr.mayStartAfterRestart(wk, now)
	}
	for _, since := range wk.unansweredStarts {
		if now.Sub(since) < 2*maxStartAge {
			return false
		}
	}
	return wk.reported && len(wk.unexpectedStops) == 0 && len(wk.deferredRuns) == 0 && len(wk.deferredEnds) == 0
}

// nextRenewal returns the next renewal, or false while this host may not send requests.
func (dr *Director) nextRenewal(wk *worker) (*modeler.RenewRequest, modeler.Worker, bool) {
	dr.mu.Lock()
	defer dr.mu.Unlock()
	// The lease counts from before the check: the host may be suspended after it.
	now := time.Now()
	if !dr.op.MaySendRequests() {
		wk.renewal.phase = renewalsPaused
		return nil, wk.info, false
	}
	wk.renewal.phase = awaitingReport
	req := &modeler.RenewRequest{Fence: dr.fence(wk), MaxWait: maxIdleWait}
	// A worker that did not answer may have restarted. It would drop ends of its new incarnation that nobody has seen.
	if wk.announcedAt.IsZero() && !wk.unreachable {
		req.AckedEnd = wk.ackedEnd
	}
	switch {
	case !wk.reported || !wk.fenced || wk.unreachable || wk.recording != nil || !wk.announcedAt.IsZero():
		req.MaxWait = 0
	case wk.criticalTasks > 0 && wk.bestEffortTasks > 0:
		req.MaxWait = maxPacedWait
	case len(wk.attempts) > 0 || len(wk.unexpectedStops) > 0:
		req.MaxWait = maxBusyWait
	}
	// The lease of an unreachable worker is not extended, or it would never be known to have
	// expired.
	if wk.answered && wk.grantDurable && !wk.unreachable && wk.announcedAt.IsZero() && dr.mayExtendLeases() {
		req.Deadline = wk.minClock(now) + dr.op.Limits.Lease
		wk.leaseEnd = max(wk.leaseEnd, req.Deadline)
		wk.renewal.extendedAt = time.Now()
	}
	return req, wk.info, true
}

func (dr *Director) sendRenewal(ctx context.Context, info *modeler.Worker, req *modeler.RenewRequest) (modeler.Report, error) {
	ctx, cancel := context.WithTimeout(ctx, req.MaxWait+renewTimeoutMargin)
	defer cancel()
	dr.op.Meter.Add(meter.WorkerRenewals, 1)
	return dr.op.WorkerClient.Renew(ctx, info, req)
}

// checkRefusal ends the term, and returns true, if the error of a request with a fencing token shows that the worker has seen a higher
// epoch. A later request of this leader with a higher token may have overtaken the request.
func (dr *Director) checkRefusal(wk *worker, fence modeler.Fence, err error) bool {
	deposed := errors.Is(err, modeler.ErrStaleFence) && fence == dr.fence(wk)
	if deposed {
		dr.stepDown("worker " + string(wk.info.ID) + " has seen a higher epoch")
	}
	return deposed
}

// renewalFailed marks the worker as unreachable unless the term is over, or ends the term if the worker has seen a higher
// epoch. The fence is that of the renewal.
func (dr *Director) renewalFailed(wk *worker, fence modeler.Fence, err error) {
	dr.mu.Lock()
	defer dr.mu.Unlock()
	dr.checkRefusal(wk, fence, err)
	if errors.Is(err, modeler.ErrStaleFence) {
		return
	}
	if dr.ctx.Err() != nil {
		// The renewal was given up with the term.
		return
	}
	now := time.Now()
	if !wk.unreachable {
		wk.raiseFence()
		dr.log(logger.WorkerUnreachable, "Worker", wk.info.ID, "Runs", len(wk.attempts), "LeaseLeft", dr.leaseOver(wk, now).Sub(now).String(), "Error", err.Error())
	}
	dr.markUnreachable(wk, now)
}

// workerRestarted handles the first report of a new incarnation of a worker: runs of the earlier one
// have ended.
func (dr *Director) workerRestarted(wk *worker, incarnation int64, now time.Time) {
	if wk.incarnation != 0 {
		dr.log(logger.WorkerRestarted, "Worker", wk.info.ID, "Runs", len(wk.attempts))
	}
	first := wk.incarnation == 0
	wk.incarnation, wk.processedEnd, wk.ackedEnd, wk.leaseEnd = incarnation, 0, 0, 0
	dr.setEntryOutdated(wk, wk.describesOther(incarnation))
	wk.faultHistory = appraiser.FaultHistory{}
	if qf := wk.inheritedQuarantine; first && qf != nil && qf.Incarnation == incarnation {
		dr.restoreQuarantine(wk, qf, now)
	}
	clear(wk.unexpectedStops)
	dr.dropUnexpectedCancelledRuns(wk, now)
	wk.deferredRuns, wk.deferredEnds = nil, nil
	dr.noteHeldRows(wk, now)
	if first {
		return
	}
	wk.raiseFence()
	// The clock of the new incarnation is unknown until it answers.
	wk.answered, wk.reported = false, false
	// Unanswered starts are kept, as the worker may restart again before they are carried out.
	maps.DeleteFunc(wk.unansweredStarts, func(_ attemptKey, since time.Time) bool { return now.Sub(since) > maxStartDelayAfterRestart })
	for key := range wk.unansweredStarts {
		if wk.attempts[key] == nil {
			dr.stopUnexpected(wk, key.task, key.run, now)
		}
	}
	for _, at := range wk.listAttempts() {
		if at.state == sent || at.state == uncertain {
			// The unanswered start may still reach the new incarnation, whose clock does not refuse
			// it.
			at.state, at.incarnation = uncertain, incarnation
			at.startDeadline = maxClock
			if !at.stopAnsweredAt.IsZero() {
				// The earlier incarnation answered the stop.
				at.stopping = false
			}
			dr.stopRun(at, "worker restarted")
			continue
		}
		if at.state == active && !at.listed {
			// The new incarnation may have accepted the start. Its first report shows whether it
			// has.
			at.incarnation = incarnation
			continue
		}
		dr.loseRun(at, "worker restarted", now)
	}
}

// maxClock is later than any worker's clock.
const maxClock = time.Duration(1<<63 - 1)

// listAttempts returns a copy of the attempts, so that the caller may end them.
func (wk *worker) listAttempts() []*attempt {
	list := make([]*attempt, 0, len(wk.attempts))
	for _, at := range wk.attempts {
		list = append(list, at)
	}
	return list
}

// expireLease ends the runs of an unreachable worker whose lease has expired: long-running ones at
// once, the others after returnGrace. A run whose start may yet be accepted stays.
func (dr *Director) expireLease(wk *worker, now time.Time) {
	if len(wk.attempts) == 0 || !wk.unreachable || !dr.leaseEndConfirmed(wk, 0, now) {
		return
	}
	graceOver := dr.leaseEndConfirmed(wk, dr.returnGrace(wk.info.Pool, now), now)
	for _, at := range wk.listAttempts() {
		if (graceOver || at.task.step.spec.LongRunning) && !dr.mayStartLate(at, now) {
			at.task.wait.silentSince = wk.unreachableSince
			dr.loseRun(at, "lease expired", now)
		}
	}
}

// copySilentRuns queues copies of the runs on a worker that does not answer, if their steps allow copies. They need not wait for
// its lease.
func (dr *Director) copySilentRuns(wk *worker, now time.Time) {
	if !wk.unreachable || now.Sub(wk.unreachableSince) < minCopySilence {
		return
	}
	for _, at := range wk.attempts {
		if tk := at.task; tk.step.spec.Speculative && len(tk.attempts) == 1 && !tk.queued && !at.stopping {
			dr.allowCopy(at, "worker does not answer")
		}
	}
}

// dropCopies removes copies from the queue that have not started when the worker of the run beside them answers again.
func (dr *Director) dropCopies(wk *worker) {
	for _, at := range wk.attempts {
		if tk := at.task; tk.step.spec.Speculative && len(tk.attempts) == 1 {
			dr.dequeue(tk)
		}
	}
}

// mayStartLate reports whether a worker that does not answer may yet accept the start of a run, or
// runs it after a late start. A late start of the run gives a later incarnation a lease.
func (dr *Director) mayStartLate(at *attempt, now time.Time) bool {
	switch {
	case at.state != uncertain:
		return false
	case at.startDeadline == maxClock:
		return now.Sub(at.sentAt) <= dr.longestLateRun()
	}
	return at.startDeadline >= at.worker.minClock(now)
}

// longestLateRun returns the longest time from when a start was sent until its run is over at a later incarnation
// of the worker that has not been reached since: the start gives that incarnation a lease.
func (dr *Director) longestLateRun() time.Duration {
	longest := max(dr.op.Limits.Lease, dr.op.Limits.LongestLease)
	return maxStartDelayAfterRestart + LongestTime(longest) + leaseMargin
}

// mayStartAfterRestart reports whether a start for an earlier incarnation of a worker may yet be carried out. It
// gives the present one a lease that leaseEnd does not include.
func (dr *Director) mayStartAfterRestart(wk *worker, now time.Time) bool {
	for _, at := range wk.attempts {
		if at.startDeadline == maxClock && dr.mayStartLate(at, now) {
			return true
		}
	}
	for key := range wk.unexpectedStops {
		if now.Sub(wk.unansweredStarts[key]) <= dr.longestLateRun() {
			return true
		}
	}
	return false
}

// leaseExpired reports whether the worker's lease has certainly expired, so that nothing runs there
// without a new request.
func (dr *Director) leaseExpired(wk *worker, now time.Time) bool {
	if !wk.answered {
		return now.After(dr.inheritedEnd(wk))
	}
	return wk.minClock(now) > wk.leaseEnd+leaseMargin
}

// leaseEndConfirmed reports whether the worker's lease has certainly expired at least a time ago, and no later
// leader can have extended it or learned how its runs ended: the journal has shown since that this host still
// led. A leader that is cut off from the store and from this worker may otherwise start tasks again that run
// there or are done.
func (dr *Director) leaseEndConfirmed(wk *worker, ago time.Duration, now time.Time) bool {
	if !dr.leaseExpired(wk, now.Add(-ago)) {
		return false
	}
	if dr.op.Journal.LastConfirmed().After(dr.leaseOver(wk, now).Add(ago)) {
		return true
	}
	signal(dr.confirmWake)
	return false
}

// loseRun ends a run without a result and requeues its task.
func (dr *Director) loseRun(at *attempt, reason string, now time.Time) {
	tk := at.task
	dr.log(logger.RunLost, "Task", tk.id().String(), "Run", at.run, "Worker", at.worker.info.ID, "Reason", reason, "Resumes", tk.checkpoint != "")
	dr.op.Meter.Add(meter.TasksLost, 1)
	dr.release(at)
	dr.afterRunEnd(tk, now)
}

// reserve creates an attempt and reserves its resources.
func (dr *Director) reserve(tk *task, wk *worker, run modeler.Run) *attempt {
	dr.dequeue(tk)
	sp := tk.step
	at := &attempt{task: tk, run: run, restarts: tk.lastRun > 0, worker: wk, incarnation: wk.incarnation, pace: pacer.FullPace}
	at.resumeTask()
	tk.mayHaveUnknownRun = false
	tk.lastRun = max(tk.lastRun, run)
	tk.attempts = append(tk.attempts, at)
	wk.attempts[attemptKey{tk.id(), run}] = at
	wk.dropPredictions(sp.spec)
	if sp.spec.TailTarget > 0 {
		wk.criticalAttempts = append(wk.criticalAttempts, at)
	}
	at.noteFreed()
	wk.free = wk.free.Minus(at.reservation())
	wk.noteCapacity(time.Now(), modeler.Resources{}.Minus(at.reservation()))
	sp.perWorker[wk.info.ID]++
	sp.occ.job.activeRuns++
	wk.countTask(sp.spec, 1)
	dr.countActive(at)
	return at
}

// release removes an attempt and frees its resources.
func (dr *Director) release(at *attempt) {
	tk, wk, sp := at.task, at.worker, at.task.step
	key := attemptKey{tk.id(), at.run}
	if wk.attempts[key] != at {
		return
	}
	delete(wk.attempts, key)
	wk.dropPredictions(sp.spec)
	if sp.spec.TailTarget > 0 {
		wk.criticalAttempts = slices.DeleteFunc(wk.criticalAttempts, func(ot *attempt) bool { return ot == at })
	}
	now := time.Now()
	dr.dropCancelledRun(wk, key, now)
	tk.attempts = slices.DeleteFunc(tk.attempts, func(ot *attempt) bool { return ot == at })
	wk.free = wk.free.Plus(at.reservation())
	wk.noteCapacity(now, at.reservation())
	if sp.perWorker[wk.info.ID]--; sp.perWorker[wk.info.ID] == 0 {
		delete(sp.perWorker, wk.info.ID)
	}
	wk.countTask(sp.spec, -1)
	dr.uncountActive(at)
	sp.occ.job.activeRuns--
	if at.state == active && !wk.unreachable {
		sp.occ.job.lastRunEnd = now
	}
	if len(wk.inAdvance) > 0 {
		wk.inAdvance = slices.DeleteFunc(wk.inAdvance, func(ot *attempt) bool { return ot == at })
		dr.queueFreed(wk)
	}
	if sp.spec.Gang && at.run == sp.gangRun {
		sp.gangRun = 0
	}
	sp.occ.job.freeTasks()
}

// countTask adds the change, 1 or -1, to the worker's counters for tasks of the step.
func (wk *worker) countTask(spec *modeler.Step, change int) {
	if reserved := placer.Reservation(spec.Needs, spec.BestEffort); !spec.LongRunning && change > 0 {
		wk.ending = wk.ending.Plus(reserved)
	} else if !spec.LongRunning {
		wk.ending = wk.ending.Minus(reserved)
	}
	if spec.BestEffort {
		wk.bestEffortTasks += change
		wk.bestEffortMilliCores += int64(change) * spec.Needs.MilliCores
		il := wk.bestEffortImages[spec.Image]
		il.tasks += change
		il.milliCores += int64(change) * spec.Needs.MilliCores
		if wk.bestEffortImages[spec.Image] = il; il.tasks == 0 {
			delete(wk.bestEffortImages, spec.Image)
		}
	}
	if spec.TailTarget > 0 {
		wk.criticalTasks += change
		wk.criticalMilliCores += int64(change) * spec.Needs.MilliCores
		if wk.criticalImages[spec.Image] += change; wk.criticalImages[spec.Image] == 0 {
			delete(wk.criticalImages, spec.Image)
		}
	}
}
