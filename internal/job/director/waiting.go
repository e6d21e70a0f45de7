package director

import (
	"cmp"
	"iter"
	"maps"
	"slices"
	"time"

	"github.com/currantrouter/currantrouter/internal/job/modeler"
	"github.com/currantrouter/currantrouter/internal/job/placer"
	"github.com/currantrouter/currantrouter/internal/telemetry/logger"
	"github.com/currantrouter/currantrouter/internal/telemetry/meter"
)

const (
	// maxUnreportedWait is how long a task waits before the log says why. Long-running tasks are to run
	// within 3 s of capacity for them.
	maxUnreportedWait = 2 * time.Second
	// waitReportInterval is the time after which the log mentions a long-running task again that waits
	// for the same reason.
	waitReportInterval = 5 * time.Second
	// maxWaitLines bounds the lines on single tasks in one report.
	maxWaitLines = 20
	// maxCountsPerReport bounds, separately for long-running and for other steps, how often all workers
	// are counted by reason between two reports.
	maxCountsPerReport = 10
)

// waitReason is why a task that could run does not run. Its text is a value of the log and, after
// "TasksWaiting", the name of a metric.
type waitReason string

const (
	// notPlacedYet: no placement round has begun since the task was queued, or the last one reached all
	// steps.
	notPlacedYet waitReason = "NotPlacedYet"
	// jobNotConfirmed: see confirmLoop.
	jobNotConfirmed waitReason = "JobNotConfirmed"
	// earlierRunPossible: a worker that is not accounted for may run the task for an earlier leader.
	earlierRunPossible waitReason = "EarlierRunPossible"
	// earlierLeasePossible: the last worker of a long-running task may hold a lease of an earlier leader.
	earlierLeasePossible waitReason = "EarlierLeasePossible"
	// unexpectedRunPossible: a worker may execute a run of the task that this term does not want.
	unexpectedRunPossible waitReason = "UnexpectedRunPossible"
	// startRefused: a worker refused the start as invalid.
	startRefused waitReason = "StartRefused"
	// attemptsUsedUp: the task failed as often as its queue allows.
	attemptsUsedUp waitReason = "AttemptsUsedUp"
	// placementNotDurable: the journal has not confirmed the placement of a long-running task.
	placementNotDurable waitReason = "PlacementNotDurable"
	// startQueued: the start is queued for its worker, or until a run that is being stopped there has ended.
	startQueued waitReason = "StartQueued"
	// startNotAnswered: the start was sent and has no answer, or may yet be carried out.
	startNotAnswered waitReason = "StartNotAnswered"
	// workerNotAnswering: the run counts as running on a worker that does not answer.
	workerNotAnswering waitReason = "WorkerNotAnswering"
	// noWorkerFits: the last round found no worker.
	noWorkerFits waitReason = "NoWorkerFits"
	// workersHeldFree: all workers with capacity had a backfill reservation, see holdWorker.
	workersHeldFree waitReason = "WorkersHeldFree"
	// workersAvoided: only workers had capacity that the task avoids, and another one is expected to have it, see package placer.
	workersAvoided waitReason = "WorkersAvoided"
	// permitNotGranted: the policy service is being asked for permits.
	permitNotGranted waitReason = "PermitNotGranted"
	// gangNotComplete: not all tasks of the gang can start.
	gangNotComplete waitReason = "GangNotComplete"
	// noWorkerOpen: no worker accepts tasks.
	noWorkerOpen waitReason = "NoWorkerOpen"
	// requestsSuspended: this host may not send requests to workers.
	requestsSuspended waitReason = "RequestsSuspended"
	// roundEndedByMisses: the last round ended before the task's turn, after maxMisses.
	roundEndedByMisses waitReason = "RoundEndedByMisses"
	// roundEndedByWindow: the last round ended before the task's turn, or did not begin, as the window of
	// starts was full.
	roundEndedByWindow waitReason = "RoundEndedByWindow"
	// dataCentreEvacuated: the last round found a worker only in an evacuated data centre.
	dataCentreEvacuated waitReason = "DataCentreEvacuated"
	// evacuationsUnknown: the evacuated data centres are not known well enough, see evacuator.Evacuator.Current.
	evacuationsUnknown waitReason = "EvacuationsUnknown"
)

// waitMetrics holds the number of waiting tasks by reason.
var waitMetrics = map[waitReason]meter.Metric{
	notPlacedYet: meter.TasksWaitingNotPlacedYet, jobNotConfirmed: meter.TasksWaitingJobNotConfirmed,
	earlierRunPossible: meter.TasksWaitingEarlierRunPossible, earlierLeasePossible: meter.TasksWaitingEarlierLeasePossible,
	unexpectedRunPossible: meter.TasksWaitingUnexpectedRunPossible,
	startRefused:          meter.TasksWaitingStartRefused, attemptsUsedUp: meter.TasksWaitingAttemptsUsedUp,
	placementNotDurable: meter.TasksWaitingPlacementNotDurable, startQueued: meter.TasksWaitingStartQueued,
	startNotAnswered: meter.TasksWaitingStartNotAnswered, workerNotAnswering: meter.TasksWaitingWorkerNotAnswering,
	noWorkerFits: meter.TasksWaitingNoWorkerFits, workersHeldFree: meter.TasksWaitingWorkersHeldFree, workersAvoided: meter.TasksWaitingWorkersAvoided,
	permitNotGranted: meter.TasksWaitingPermitNotGranted, gangNotComplete: meter.TasksWaitingGangNotComplete,
	noWorkerOpen: meter.TasksWaitingNoWorkerOpen, requestsSuspended: meter.TasksWaitingRequestsSuspended,
	roundEndedByMisses: meter.TasksWaitingRoundEndedByMisses, roundEndedByWindow: meter.TasksWaitingRoundEndedByWindow,
	dataCentreEvacuated: meter.TasksWaitingEvacuated, evacuationsUnknown: meter.TasksWaitingEvacuationsUnknown,
}

// wait is why a task waits.
type wait struct {
	reason waitReason
	// since is when the task last ran or was queued in this term, or when the worker of its run stopped
	// answering.
	since time.Time
	// until is when the task is held back at the latest for this reason, zero if that is not known.
	until time.Time
	// worker is the one that holds the task back, empty for none or for any of several.
	worker modeler.WorkerID
}

// waitState is what a task keeps for the reports of waiting tasks.
type waitState struct {
	// since is when the task was queued after it last ran, zero while it runs.
	since time.Time
	// silentSince is when the worker of the last run stopped answering, zero if that run did not end for this reason.
	silentSince time.Time
	// reason is that of the last report, reasonSince when a report first gave it.
	reason      waitReason
	reasonSince time.Time
	// mainReason is the one that reports gave for longest, for mainFor, empty before the first report.
	mainReason waitReason
	mainFor    time.Duration
	// loggedAt is when a line was last logged for the task and its reason.
	loggedAt time.Time
	// stallLoggedAt is when a line was last logged for the task as a stalled one, see lookForStalls.
	stallLoggedAt time.Time
}

// downSince returns since when a queued task has not been known to run.
func (ws *waitState) downSince() time.Time {
	if ws.silentSince.IsZero() {
		return ws.since
	}
	return ws.silentSince
}

// endReason notes for how long reports have given the present reason.
func (ws *waitState) endReason(now time.Time) {
	if held := now.Sub(ws.reasonSince); ws.reason != "" && held >= ws.mainFor {
		ws.mainReason, ws.mainFor = ws.reason, held
	}
}

// startInputs returns the keys and values by which the line on a start says what the task waited for. There are
// none if it started before the first report.
func (ws *waitState) startInputs(now time.Time) []any {
	ws.endReason(now)
	if ws.mainReason == "" {
		return nil
	}
	return []any{"Queued", now.Sub(ws.since).String(), "Reason", string(ws.mainReason), "ReasonFor", ws.mainFor.String()}
}

// turn is what placement rounds found for a step.
type turn struct {
	// round is the number of the last round that reached the step, at its time.
	round int64
	at    time.Time
	// reason is why the round did not place the waiting tasks that may start.
	reason waitReason
	// counts are the workers by why they were not feasible at the time countedAt, nil if they were not
	// counted.
	counts    *placer.Reasons
	countedAt time.Time
	// heldWorker is the worker with capacity that was held for another task, and holder that task. Both are set for the
	// reason workersHeldFree.
	heldWorker modeler.WorkerID
	holder     modeler.TaskID
}

// whyQueued returns why a queued task has not been placed. It holds for startable tasks what startable
// does not decide.
func (dr *Director) whyQueued(tk *task, now time.Time) wait {
	sp := tk.step
	wt := wait{since: tk.wait.since}
	switch {
	case dr.mayRunUnknown(tk):
		wt.reason, wt.until = earlierRunPossible, dr.inheritedUntil.Add(dr.returnGrace(dr.pool(sp.occ.job), now))
		if sp.spec.LongRunning {
			wt.reason, wt.until, wt.worker = earlierLeasePossible, dr.inheritedEnd(dr.workers[tk.placedOn]), tk.placedOn
		}
	case dr.mayRunUnexpectedly(tk, now):
		wt.reason, wt.worker = unexpectedRunPossible, tk.unexpected[0].worker.info.ID
	case !sp.occ.job.confirmed:
		wt.reason = jobNotConfirmed
	case now.Before(tk.notBefore):
		wt.reason, wt.until = startRefused, tk.notBefore
	case len(tk.failures) > 0 && dr.attemptsExhausted(tk):
		wt.reason = attemptsUsedUp
	case dr.roundAt.Before(tk.wait.since):
		wt.reason = notPlacedYet
	case sp.turn.round == dr.rounds:
		wt.reason = cmp.Or(sp.turn.reason, notPlacedYet)
	default:
		wt.reason = dr.roundEnd
	}
	return wt
}

// whyNotRunning returns why a placed run is not known to run, or false if it is.
func (dr *Director) whyNotRunning(at *attempt, now time.Time) (wait, bool) {
	wk := at.worker
	wt := wait{since: at.task.wait.since, worker: wk.info.ID}
	switch {
	case at.state == placed && at.recording:
		wt.reason = placementNotDurable
	case at.state == placed:
		wt.reason = startQueued
	case at.state == sent:
		wt.reason, wt.until = startNotAnswered, at.sentAt.Add(requestTimeout)
	case at.state == uncertain && at.startDeadline == maxClock:
		wt.reason = startNotAnswered
	case at.state == uncertain:
		wt.reason, wt.until = startNotAnswered, now.Add(wk.untilClock(at.startDeadline+leaseMargin, now))
	case wk.unreachable:
		wt.reason, wt.since, wt.until = workerNotAnswering, wk.unreachableSince, dr.leaseOver(wk, now)
		if !at.task.step.spec.LongRunning {
			wt.until = wt.until.Add(dr.returnGrace(wk.info.Pool, now))
		}
	default:
		return wait{}, false
	}
	return wt, true
}

// untilClock returns the longest time until the worker's clock shows a time.
func (wk *worker) untilClock(clock time.Duration, now time.Time) time.Duration {
	return time.Duration(float64(clock-wk.minClock(now)) / (1 - maxClockDrift))
}

// leaseOver returns when leaseExpired will hold for a worker that does not answer.
func (dr *Director) leaseOver(wk *worker, now time.Time) time.Time {
	if !wk.answered {
		return dr.inheritedEnd(wk)
	}
	return now.Add(wk.untilClock(wk.leaseEnd+leaseMargin, now))
}

// beginRound notes that a placement round begins, or would begin if no reason, given as its end, ruled
// it out.
func (dr *Director) beginRound(now time.Time, end waitReason) {
	dr.rounds++
	dr.roundAt, dr.roundEnd = now, end
}

// endReason returns why the steps that the round has not reached had no turn.
func (rd *round) endReason() waitReason {
	switch {
	case len(rd.workers) == 0 && len(rd.evacuatedWorkers()) > 0:
		return dataCentreEvacuated
	case len(rd.workers) == 0:
		return noWorkerOpen
	case rd.misses >= rd.maxMisses:
		return roundEndedByMisses
	case rd.startsLeft <= rd.startsKept:
		return roundEndedByWindow
	}
	return notPlacedYet
}

// avoidanceInputs returns the keys and values that say how many workers the task avoids, none if it avoids none.
func (tk *task) avoidanceInputs() []any {
	if len(tk.avoid) == 0 {
		return nil
	}
	return []any{"Avoids", len(tk.avoid)}
}

// reservationInputs returns the keys and values that say for whom a worker with capacity was held, none if none was.
func (tn *turn) reservationInputs() []any {
	if tn.heldWorker == "" {
		return nil
	}
	return []any{"HeldWorker", tn.heldWorker, "Holder", tn.holder.String()}
}

// noteTurn notes that the round has reached a step, and why its tasks that may start wait, if that is
// known already.
func (rd *round) noteTurn(sp *step, reason waitReason) {
	sp.turn.round, sp.turn.at, sp.turn.reason = rd.dr.rounds, rd.now, reason
	sp.turn.heldWorker, sp.turn.holder = "", modeler.TaskID{}
}

// noteMiss notes why a task found no worker among the candidates, given whether one fits that it avoids.
func (rd *round) noteMiss(tk *task, dm *placer.Demand, cands []placer.Candidate, fitsAvoided bool) {
	sp := tk.step
	reason, heldIx := noWorkerFits, rd.fittingHeldWorker(dm, cands)
	switch {
	case heldIx >= 0:
		reason = workersHeldFree
	case fitsAvoided:
		reason = workersAvoided
	case sp.permits != nil && sp.permits.requesting:
		reason = permitNotGranted
	case rd.fitsEvacuated(dm):
		reason = dataCentreEvacuated
	}
	rd.noteTurn(sp, reason)
	if heldIx >= 0 {
		sp.turn.heldWorker, sp.turn.holder = rd.workers[heldIx].info.ID, rd.heldFor[heldIx].task.id()
	}
	if rd.now.Sub(tk.wait.since) >= maxUnreportedWait && rd.now.Sub(sp.turn.countedAt) >= summaryInterval && rd.dr.takeCount(dm.LongRunning) {
		rd.applyForecast(dm)
		counts := placer.CountReasons(dm, cands)
		sp.turn.counts, sp.turn.countedAt = &counts, rd.now
	}
}

// noteClassMiss notes that a less demanding task of the same class found no worker in this round.
func (rd *round) noteClassMiss(sp *step, key demandClass) {
	missed := rd.missed[key]
	rd.noteTurn(sp, missed.reason)
	sp.turn.heldWorker, sp.turn.holder = missed.heldWorker, missed.holder
	if missed.counts != nil {
		sp.turn.counts, sp.turn.countedAt = missed.counts, missed.countedAt
	}
}

// takeCount reports whether the workers may be counted once more before the next report.
func (dr *Director) takeCount(longRunning bool) bool {
	left := &dr.countsLeft
	if longRunning {
		left = &dr.longRunningCountsLeft
	}
	if *left <= 0 {
		return false
	}
	*left--
	return true
}

// fittingHeldWorker returns the index of a worker that the round keeps free and on which a demand would fit, or -1.
func (rd *round) fittingHeldWorker(dm *placer.Demand, cands []placer.Candidate) int {
	no := slices.IndexFunc(rd.held, func(ix int) bool {
		cd := &rd.cands[ix]
		free, memory := cd.Free, cd.BestEffortMemoryMB
		defer func() { cd.Free, cd.BestEffortMemoryMB = free, memory }()
		cd.Free, cd.BestEffortMemoryMB = rd.workers[ix].free, 0
		if cands[ix].Excluded || !placer.HasCapacity(dm, cd) {
			return false
		}
		if usesForecast(dm) {
			rd.applyForecastTo(ix, dm, rd.forecast(dm.Image), rd.contentionDemand(dm))
		}
		return placer.Feasible(dm, cd)
	})
	if no < 0 {
		return -1
	}
	return rd.held[no]
}

// waitCount counts the tasks that wait for one reason.
type waitCount struct {
	all int
	// long and longRunning count those that wait for at least maxUnreportedWait, of which oldest has
	// waited longest.
	long, longRunning int
	oldest            *task
	since             time.Time
}

// waitLine is a waiting long-running task that is due for a line in the log.
type waitLine struct {
	task *task
	wait wait
}

// waitReport collects the waiting tasks.
type waitReport struct {
	now    time.Time
	counts map[waitReason]*waitCount
	// lines holds the maxWaitLines tasks that have waited longest, in this order. omitted counts others
	// that were due.
	lines   []waitLine
	omitted int
	// jobs holds the jobs of waiting tasks that are not long-running. Their task is nil if they have a run.
	jobs map[*job]*stalledJob
}

// add adds a waiting task.
func (wr *waitReport) add(tk *task, wt wait) {
	count := wr.counts[wt.reason]
	if count == nil {
		count = &waitCount{}
		wr.counts[wt.reason] = count
	}
	count.all++
	if tk.wait.reason != wt.reason {
		tk.wait.endReason(wr.now)
		tk.wait.reason, tk.wait.reasonSince, tk.wait.loggedAt = wt.reason, wr.now, time.Time{}
	}
	if wr.now.Sub(wt.since) < maxUnreportedWait {
		return
	}
	count.long++
	if count.oldest == nil || wt.since.Before(count.since) {
		count.oldest, count.since = tk, wt.since
	}
	if !tk.step.spec.LongRunning {
		return
	}
	count.longRunning++
	if wr.now.Sub(tk.wait.loggedAt) >= waitReportInterval {
		wr.addLine(waitLine{tk, wt})
	}
}

func (wr *waitReport) addLine(ln waitLine) {
	var omitted bool
	wr.lines, omitted = insertOldest(wr.lines, ln, maxWaitLines, func(ln waitLine) time.Time { return ln.wait.since })
	if omitted {
		wr.omitted++
	}
}

// insertOldest inserts an element into a list of at most limit elements in the order of their times, and reports
// whether the latest one had to be left out.
func insertOldest[T any](list []T, el T, limit int, timeOf func(T) time.Time) ([]T, bool) {
	ix, _ := slices.BinarySearchFunc(list, timeOf(el), func(other T, at time.Time) int { return timeOf(other).Compare(at) })
	full := len(list) == limit
	if full && ix == limit {
		return list, true
	}
	if full {
		list = list[:limit-1]
	}
	return slices.Insert(list, ix, el), full
}

// waits returns the tasks that wait and why, of the steps that are asked for. It looks at queued tasks, at runs that were
// placed and have not started, and at the runs of workers that do not answer.
func (dr *Director) waits(now time.Time, asked func(*step) bool) iter.Seq2[*task, wait] {
	return func(yield func(*task, wait) bool) {
		_ = dr.queuedWaits(now, asked, yield) && dr.startingWaits(now, asked, yield) && dr.silentWaits(now, asked, yield)
	}
}

func (dr *Director) queuedWaits(now time.Time, asked func(*step) bool, yield func(*task, wait) bool) bool {
	for sp := range dr.waitingSteps {
		if !asked(sp) {
			continue
		}
		for _, tk := range sp.waiting {
			// A task with a run waits only for a speculative copy.
			if len(tk.attempts) == 0 && !yield(tk, dr.whyQueued(tk, now)) {
				return false
			}
		}
	}
	return true
}

func (dr *Director) startingWaits(now time.Time, asked func(*step) bool, yield func(*task, wait) bool) bool {
	for at := range dr.starting {
		if at.state == active || !asked(at.task.step) || len(at.task.attempts) != 1 || !at.worker.has(at) {
			continue
		}
		if wt, waits := dr.whyNotRunning(at, now); waits && !yield(at.task, wt) {
			return false
		}
	}
	return true
}

func (dr *Director) silentWaits(now time.Time, asked func(*step) bool, yield func(*task, wait) bool) bool {
	for _, wk := range dr.workers {
		if !wk.unreachable {
			continue
		}
		for _, at := range wk.attempts {
			if at.state != active || len(at.task.attempts) != 1 || !asked(at.task.step) {
				continue
			}
			if wt, waits := dr.whyNotRunning(at, now); waits && !yield(at.task, wt) {
				return false
			}
		}
	}
	return true
}

// has reports whether the attempt is not over.
func (wk *worker) has(at *attempt) bool { return wk.attempts[attemptKey{at.task.id(), at.run}] == at }

// collectWaits returns the tasks that wait.
func (dr *Director) collectWaits(now time.Time) *waitReport {
	wr := &waitReport{now: now, counts: map[waitReason]*waitCount{}, jobs: map[*job]*stalledJob{}}
	maps.DeleteFunc(dr.starting, func(at *attempt, _ struct{}) bool {
		return at.state == active || !at.worker.has(at)
	})
	for tk, wt := range dr.waits(now, func(*step) bool { return true }) {
		wr.add(tk, wt)
		wr.addJob(tk, wt)
	}
	return wr
}

// reportWaits publishes how many tasks wait for which reason, and logs those that wait long.
func (dr *Director) reportWaits(now time.Time) {
	wr := dr.collectWaits(now)
	dr.countsLeft, dr.longRunningCountsLeft = maxCountsPerReport, maxCountsPerReport
	longRunning := 0
	for reason, mt := range waitMetrics {
		count := wr.counts[reason]
		if count == nil {
			dr.op.Meter.Set(mt, 0)
			continue
		}
		dr.op.Meter.Set(mt, int64(count.all))
		longRunning += count.longRunning
		if count.long > 0 {
			dr.log(logger.TasksWaitLong, "Reason", string(reason), "Tasks", count.long, "LongRunning", count.longRunning, "Oldest", count.oldest.id().String(), "Waited", now.Sub(count.since).String())
		}
	}
	dr.op.Meter.Set(meter.LongRunningTasksOverdue, int64(longRunning))
	for ix, ln := range wr.lines {
		ln.task.wait.loggedAt = now
		omitted := 0
		if ix == 0 {
			omitted = wr.omitted
		}
		dr.logWait(&ln, omitted, now)
	}
	dr.reportStalledJobs(wr, now)
	dr.reportReservations(now)
}

// logWait logs why a long-running task waits. The count of omitted lines is logged if it is not zero.
func (dr *Director) logWait(ln *waitLine, omitted int, now time.Time) {
	tk, sp := ln.task, ln.task.step
	kv := []any{"Task", tk.id().String(), "Reason", string(ln.wait.reason), "Waited", now.Sub(ln.wait.since).String(), "ReasonFor", now.Sub(tk.wait.reasonSince).String()}
	if !ln.wait.until.IsZero() {
		kv = append(kv, "HeldFor", ln.wait.until.Sub(now).String())
	}
	if ln.wait.worker != "" {
		kv = append(kv, "Worker", ln.wait.worker)
	}
	if tk.lastRun > 0 {
		kv = append(kv, "LastRun", tk.lastRun, "LastEpoch", epochOf(tk.lastRun), "Epoch", dr.op.Epoch)
	}
	if !sp.turn.at.IsZero() {
		kv = append(kv, "LastTurn", now.Sub(sp.turn.at).String())
	}
	if rs := sp.turn.counts; rs != nil && (ln.wait.reason == noWorkerFits || ln.wait.reason == workersHeldFree || ln.wait.reason == workersAvoided || ln.wait.reason == dataCentreEvacuated) {
		kv = append(kv, "CountedAgo", now.Sub(sp.turn.countedAt).String(), "Unsuited", rs.Unsuited, "Crowded", rs.Crowded, "Full", rs.Full, "Reserved", rs.Reserved, "Disturbed", rs.Disturbed, "Open", rs.Open)
	}
	kv = append(kv, tk.avoidanceInputs()...)
	kv = append(kv, sp.turn.reservationInputs()...)
	if omitted > 0 {
		kv = append(kv, "Omitted", omitted)
	}
	dr.log(logger.LongRunningTaskWaits, kv...)
}

// clearGauges resets the gauges of a term that is over.
func (dr *Director) clearGauges() {
	for _, mt := range waitMetrics {
		dr.op.Meter.Set(mt, 0)
	}
	for _, mt := range [...]meter.Metric{
		meter.LongRunningTasksOverdue, meter.CancellationsPending, meter.CancelledRunsOverdue, meter.ReportsHeldUp,
		meter.DataCentresEvacuated, meter.EvacuatedWorkers, meter.EvacuatedRuns, meter.EvacuationViewAge, meter.EvacuationRunsToMove, meter.EvacuationMovesUnderWay,
		meter.ShortPools, meter.ShortTaskReserve,
		meter.QueuesBehind, meter.StalledTasks, meter.LongestStall, meter.StallDemandsOmitted,
		meter.StalledJobs, meter.LongestJobStall, meter.WorkersHeld, meter.LongestReservation,
	} {
		dr.op.Meter.Set(mt, 0)
	}
}
