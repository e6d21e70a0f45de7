package director

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"time"

	"github.com/currantrouter/currantrouter/internal/job/keeper"
	"github.com/currantrouter/currantrouter/internal/job/modeler"
	"github.com/currantrouter/currantrouter/internal/job/placer"
	"github.com/currantrouter/currantrouter/internal/job/ranker"
	"github.com/currantrouter/currantrouter/internal/telemetry/logger"
)

const (
	// maxMisses is the number of placements in a row that find no worker after which a round ends.
	// The fleet is full then, and to go on would cost the leader the time that it needs for its
	// workers.
	maxMisses = 150
	// maxOvertakenMisses is that number for each later pass of a round, see placeSteps.
	maxOvertakenMisses = 50
	// overtakenShare is the ratio of the starts that are kept for long-running tasks, and of those for jobs without a run, to
	// those of more urgent tasks that overtake them.
	overtakenShare = 1.0 / 8
	// maxKeptStarts bounds the starts that are kept.
	maxKeptStarts = 8
	// waitLogInterval is the least time between two log lines on why a task waits.
	waitLogInterval = time.Second
	// maxAvoidTime is the time after its last run in which a long-running task waits for another worker
	// than those that it avoids.
	maxAvoidTime = 3 * time.Second
	// runsPerEpoch is the distance between the first run numbers of successive epochs. It makes
	// every run of a new leader higher than all runs of earlier ones that it may not know of.
	runsPerEpoch = 1 << 20
)

// dispatch runs a placement round: it places waiting tasks, the most urgent first.
func (dr *Director) dispatch(now time.Time) {
	available := dr.startWindow.Available(dr.startsInFlight)
	dr.windowFull = available == 0
	if len(dr.waitingSteps) == 0 {
		return
	}
	if reason := dr.roundObstacle(available, now); reason != "" {
		dr.beginRound(now, reason)
		return
	}
	dr.beginRound(now, notPlacedYet)
	rd := dr.newRound(now)
	rd.startsLeft = available
	rd.finishMoves()
	rd.placeAll()
	rd.noteReservations()
	dr.recordPlacements(rd.longRunning)
}

// roundObstacle returns why no round may begin with a number of available starts, or an empty reason if one may.
func (dr *Director) roundObstacle(available int, now time.Time) waitReason {
	switch {
	case available == 0:
		return roundEndedByWindow
	case !dr.op.MaySendRequests():
		return requestsSuspended
	case !dr.knowsEvacuations(now):
		return evacuationsUnknown
	}
	return ""
}

// recordPlacements records the workers of long-running tasks and queues their starts once the
// records are durable.
func (dr *Director) recordPlacements(list []*attempt) {
	if len(list) == 0 {
		return
	}
	var facts []keeper.Fact
	for _, at := range list {
		at.recording = true
		at.task.recordPlacement(at.run, at.worker.info.ID)
		facts = append(facts, keeper.Fact{Placed: &keeper.PlacedFact{Task: at.task.id().String(), Run: at.run, Worker: at.worker.info.ID}})
	}
	dr.startGoroutine(func(ctx context.Context) {
		dr.record(ctx, facts, func() {
			dr.mu.Lock()
			defer dr.mu.Unlock()
			for _, at := range list {
				at.recording = false
				if slices.Contains(at.worker.inAdvance, at) {
					dr.queueFreed(at.worker)
				} else {
					dr.queueStart(at)
				}
			}
		})
	})
}

// round is one placement round: one pass over the waiting steps, in order of urgency.
type round struct {
	dr      *Director
	now     time.Time
	steps   []rankedStep
	workers []*worker
	// cands holds the candidates in the order of workers.
	cands []placer.Candidate
	// held holds the indices of the workers that are kept free, see holdWorker, and maxHeld their number
	// at most.
	held    []int
	maxHeld int
	// heldForOverdue holds those that holdForOverdue added, and overdueTries is the number of tasks for which it tried.
	heldForOverdue []int
	overdueTries   int
	// heldFor holds the reservations on the held workers, by the index of the worker.
	heldFor map[int]*reservation
	// heldTasks holds the aged tasks for which capacity is held. A round has several passes that reach them.
	heldTasks map[*task]bool
	// placingAged is set during the passes of the aged steps, onlyRestarts during that of the tasks that ran before.
	placingAged, onlyRestarts bool
	// processorsOf holds the results of processors.
	processorsOf map[modeler.PoolName]poolProcessors
	// capacityOf holds the results of capacity.
	capacityOf map[modeler.PoolName]modeler.Resources
	// longRunning holds the placed attempts of long-running tasks.
	longRunning []*attempt
	// misses is the number of placements without a worker since the last one that found one or since
	// the pass began. A pass ends with maxMisses.
	misses, maxMisses int
	// startsLeft is the number of tasks that may still start in this round, startsKept that of them
	// which this pass leaves to the next.
	startsLeft, startsKept int
	// starvedAttempts is the number of starved tasks that the round tried to place.
	starvedAttempts int
	// doubtful holds the results of doubtfulRuns.
	doubtful map[*job]int
	// forecasts holds the predictions for tasks of best-effort and latency-critical images.
	forecasts map[string]*forecast
	// pool is the one whose workers are not excluded from cands, empty before the first step.
	pool modeler.PoolName
	// indices holds the results of allIndices.
	indices []int
	// changed holds the indices of candidates in the order in which they changed, see selection.
	changed []int
	// selections holds the costs of the demands that were chosen for in this round.
	selections map[selectionKey]*selection
	// largest holds the results of largestOf.
	largest map[matchClass][]*modeler.Worker
	// unplaceable holds needs for which no worker was found in this round.
	unplaceable map[demandClass][]modeler.Resources
	// missed holds why the last task of a class in unplaceable found no worker.
	missed map[demandClass]turn
	// evacuated holds the results of evacuatedWorkers once evacuatedListed is set.
	evacuated       []*worker
	evacuatedListed bool
}

// rankedStep is a waiting step with its place in the order of urgency.
type rankedStep struct {
	step *step
	rank ranker.Rank
	// short is set if the step's pool is short of capacity for it. density then decides instead of the latest
	// start, see package valuer.
	short   bool
	density float64
}

// demandClass is an equivalence class of demands, as in Borg, but without the amount of their
// needs: where one finds no worker, another that needs as much or more finds none either.
type demandClass struct {
	pool  modeler.PoolName
	label string
	rack  string
	// image is set for best-effort demands, which some latency-critical images exclude.
	image       string
	longRunning bool
	// leavesForecast is that of the step of a long-running demand, which decides on the reserve that it leaves, and isNew
	// that of its task, which decides on the held workers that it may use.
	leavesForecast, isNew bool
}

// knownUnplaceable reports whether a demand of the class with equal or smaller needs has already
// found no worker in this round.
func (rd *round) knownUnplaceable(key demandClass, needs modeler.Resources) bool {
	return slices.ContainsFunc(rd.unplaceable[key], func(smaller modeler.Resources) bool { return smaller.Fits(needs) })
}

// newRound returns a round with the waiting steps, the most urgent first, and the workers that
// accept tasks.
func (dr *Director) newRound(now time.Time) *round {
	rd := &round{dr: dr, now: now, maxHeld: maxHeldWorkers, heldFor: map[int]*reservation{}, heldTasks: map[*task]bool{}, processorsOf: map[modeler.PoolName]poolProcessors{}, capacityOf: map[modeler.PoolName]modeler.Resources{}, unplaceable: map[demandClass][]modeler.Resources{}, missed: map[demandClass]turn{}, forecasts: map[string]*forecast{}, selections: map[selectionKey]*selection{}, largest: map[matchClass][]*modeler.Worker{}}
	for _, wk := range dr.orderedWorkers() {
		if dr.acceptsTasks(wk, now) {
			rd.workers = append(rd.workers, wk)
		}
	}
	rd.steps = make([]rankedStep, 0, len(dr.waitingSteps))
	for sp := range dr.waitingSteps {
		rd.steps = append(rd.steps, rd.rankStep(sp))
	}
	slices.SortFunc(rd.steps, func(one, two rankedStep) int { return compareSteps(&one, &two) })
	rd.promoteOverdue()
	rd.observeShortDemand()
	rd.cands = make([]placer.Candidate, 0, len(rd.workers))
	for _, wk := range rd.workers {
		rd.cands = append(rd.cands, placer.Candidate{
			Worker: &wk.info, Free: wk.free, LatencyCriticalTasks: wk.criticalTasks, BestEffortTasks: wk.bestEffortTasks,
			BestEffortMilliCores: wk.bestEffortMilliCores, LatencyCriticalMilliCores: wk.criticalMilliCores, FaultScore: dr.faultScore(wk, now),
			LongLease: dr.mayHoldLongLease(wk, now),
		})
	}
	return rd
}

// faultScore returns the fault score of a worker. To read it brings the worker's history up to date.
func (dr *Director) faultScore(wk *worker, now time.Time) float64 {
	if dr.explains {
		history := wk.faultHistory
		return history.FaultScore(now)
	}
	return wk.faultHistory.FaultScore(now)
}

// orderedWorkers returns all workers in the order of their IDs.
func (dr *Director) orderedWorkers() []*worker {
	if len(dr.workerOrder) != len(dr.workers) {
		dr.workerOrder = slices.SortedFunc(maps.Values(dr.workers), func(one, two *worker) int { return cmp.Compare(one.info.ID, two.info.ID) })
	}
	return dr.workerOrder
}

// acceptsTasks reports whether a worker may get new tasks. The needs of deferred runs are not known.
func (dr *Director) acceptsTasks(wk *worker, now time.Time) bool {
	return dr.open(wk, now) && !dr.evacuated(wk)
}

// open reports whether a worker may get new tasks unless its data centre is evacuated.
func (dr *Director) open(wk *worker, now time.Time) bool {
	return wk.registered && wk.reported && wk.grantDurable && !wk.unreachable && wk.announcedAt.IsZero() && !wk.entryOutdated && !wk.info.Draining && len(wk.deferredRuns) == 0 &&
		!wk.faultHistory.Quarantined(now) && !now.Before(wk.noStartsBefore)
}

// placeSteps places waiting tasks in four passes: of the aged steps, of all others in order of urgency,
// then of the long-running steps that the passes did not reach, then of the others. The later passes
// begin with the steps that were considered the longest ago, so that the turn of each step comes however
// many more urgent ones find no worker.
func (rd *round) placeSteps() {
	steps := rd.placeAged()
	agedMisses, available := rd.misses, rd.startsLeft
	if slices.ContainsFunc(steps, func(rs rankedStep) bool { return rs.step.spec.LongRunning }) {
		rd.startsKept = min(int(rd.dr.keptStarts), available)
	}
	overtaken := rd.placePass(steps, maxMisses)
	outOfStarts := rd.startsLeft <= rd.startsKept
	rd.dr.keptStarts = min(rd.dr.keptStarts+overtakenShare*float64(available-rd.startsLeft), maxKeptStarts)
	rd.startsKept = 0
	var longRunning, others []rankedStep
	for _, rs := range overtaken {
		if rs.step.spec.LongRunning {
			longRunning = append(longRunning, rs)
		} else {
			others = append(others, rs)
		}
	}
	slices.SortStableFunc(longRunning, longestAgo)
	if !outOfStarts {
		slices.SortStableFunc(others, longestAgo)
	}
	before := rd.startsLeft
	rd.placePass(longRunning, maxOvertakenMisses-agedMisses)
	rd.dr.keptStarts = max(0, rd.dr.keptStarts-float64(before-rd.startsLeft))
	rd.placePass(others, maxOvertakenMisses)
}

// longestAgo orders steps by when a round last considered them.
func longestAgo(one, two rankedStep) int { return one.step.turn.at.Compare(two.step.turn.at) }

// placePass places tasks of the steps until the pass is over, and returns the steps that it did not
// finish.
func (rd *round) placePass(steps []rankedStep, maxMisses int) []rankedStep {
	rd.misses, rd.maxMisses = 0, maxMisses
	for ix, rs := range steps {
		if rd.passOver() {
			return steps[ix:]
		}
		rd.noteTurn(rs.step, "")
		rd.placeStep(rs.step)
		if rd.passOver() {
			// The step may have further tasks.
			return steps[ix:]
		}
	}
	return nil
}

func (rd *round) passOver() bool {
	return rd.misses >= rd.maxMisses || rd.startsLeft <= rd.startsKept
}

// placeStep places as many waiting tasks of a step as there are workers for.
func (rd *round) placeStep(sp *step) {
	if sp.spec.Gang {
		rd.placeGang(sp)
		return
	}
	pool := rd.dr.pool(sp.occ.job)
	rd.excludeOtherPools(pool)
	// missed is the last task that only workers that it avoids could run.
	var missed *task
	for _, tk := range rd.inOrder(sp) {
		if rd.passOver() {
			rd.noteTurn(sp, rd.endReason())
			sp.moveToFront(tk)
			return
		}
		if !rd.mayPlace(tk) || missed != nil && rd.avoidsSame(tk, missed) {
			continue
		}
		if !rd.placeOne(tk, pool) {
			return
		}
		if tk.queued {
			missed = tk
		}
	}
}

// avoidsSame reports whether a task has to avoid the same workers as another one of its step, see mayReturn and allowReturn.
func (rd *round) avoidsSame(tk, other *task) bool {
	if !slices.Equal(tk.avoid, other.avoid) {
		return false
	}
	if tk.step.spec.LongRunning {
		return rd.now.Sub(tk.lastActive) <= maxAvoidTime
	}
	return len(tk.failures) >= len(other.failures) && !tk.wait.since.Before(other.wait.since) && !tk.lastActive.Before(other.lastActive)
}

// mayPlace reports whether the present pass places a task.
func (rd *round) mayPlace(tk *task) bool {
	return (!rd.onlyRestarts || tk.startsAgain(rd.now)) && rd.dr.startable(tk, rd.now)
}

// inOrder returns the waiting tasks of a step in the order in which the present pass places them. A pass ends the step with
// the first task that fits nowhere, and one that is not overdue may fit nowhere where an overdue one does.
func (rd *round) inOrder(sp *step) []*task {
	list := slices.Clone(sp.waiting)
	if rd.placingAged {
		slices.SortStableFunc(list, compareRestarts)
	}
	return list
}

// compareRestarts orders tasks that ran before by since when they have been down, and others after them.
func compareRestarts(one, two *task) int {
	switch {
	case one.lastRun > 0 && two.lastRun > 0:
		return one.downSince().Compare(two.downSince())
	case one.lastRun > 0:
		return -1
	case two.lastRun > 0:
		return 1
	}
	return 0
}

// placeOne places a task if there is a worker for it. It returns false if there is none for the other tasks of its
// step either.
func (rd *round) placeOne(tk *task, pool modeler.PoolName) bool {
	sp, dm := tk.step, rd.dr.demand(tk)
	key := demandClass{pool: pool, label: dm.Label, rack: dm.Rack, longRunning: dm.LongRunning}
	if dm.BestEffort {
		key.image = dm.Image
	}
	if dm.LongRunning {
		key.leavesForecast, key.isNew = rd.leavesForecast(sp), rd.isNew(tk)
	}
	if rd.knownUnplaceable(key, dm.Needs) {
		rd.noteClassMiss(sp, key)
		rd.noteShortage(tk, &dm)
		rd.holdForWaiting(tk, &dm)
		return false
	}
	ix, fitsAvoided := rd.chooseWorker(tk, &dm)
	if ix >= 0 {
		rd.misses = 0
		rd.placeTask(tk, ix)
		return true
	}
	// A limit per worker and permits are specific to the step, so that a failure may not apply to the rest of the
	// class. In the pass of the restarts, which has a fixed order, it does if no worker has the capacity.
	if !fitsAvoided && (dm.MaxPerWorker == 0 && sp.permits == nil || rd.onlyRestarts && !dm.BestEffort && rd.poolSlots(pool, &dm, 1) == 0) {
		rd.unplaceable[key] = append(rd.unplaceable[key], dm.Needs)
		rd.missed[key] = sp.turn
		rd.noteShortage(tk, &dm)
	}
	rd.misses++
	rd.logWaitingTask(tk, &dm)
	switch {
	case !dm.LongRunning:
		rd.holdWorker(tk, &dm)
	case !fitsAvoided:
		rd.holdForWaiting(tk, &dm)
	}
	// Another task of the step may be placed on the worker that this one avoids.
	return fitsAvoided
}

// holdForWaiting holds workers for a long-running task that fits nowhere and for the others of its step.
func (rd *round) holdForWaiting(tk *task, dm *placer.Demand) {
	forOverdue := tk.overdue(rd.now) && rd.mayHoldForOverdue()
	if !rd.placingAged || dm.MaxPerWorker > 0 && len(rd.held) >= rd.maxHeld && !forOverdue {
		return
	}
	rd.countSameStep(tk.step)
	if forOverdue {
		for _, other := range rd.inOrder(tk.step) {
			if other.overdue(rd.now) && rd.dr.startable(other, rd.now) {
				rd.holdForOverdue(other, dm)
			}
		}
	}
	rd.holdForAged(tk.step, dm)
}

// chooseWorker returns what choose returns, if possible without looking at all workers. It sets what decides on the
// reserve for short tasks.
func (rd *round) chooseWorker(tk *task, dm *placer.Demand) (int, bool) {
	if dm.LongRunning {
		rd.applyReserve(tk, dm)
	}
	ix, none := rd.chooseQuickly(tk.step, dm)
	if ix >= 0 {
		return ix, false
	}
	rd.countSameStep(tk.step)
	if !none {
		rd.applyForecast(dm)
	}
	return rd.choose(tk, dm, none)
}

// choose returns the index of a worker for a task, or -1 and whether a worker fits that the task avoids.
// A short task may go back to a worker that it avoids, see chooseOrReturn.
// A long-running task that finds no worker may use those that are kept free: the demand for which one
// is held may never fit, and would keep it from the task in every round. It may use those that it
// avoids, as the limit of failed runs, for which they are avoided, does not apply to it. none is set if no
// worker that is not held is feasible, so that only the held ones have to be examined.
func (rd *round) choose(tk *task, dm *placer.Demand, none bool) (int, bool) {
	cands := rd.excludeUnpermitted(tk.step, dm, rd.cands)
	var examined []int
	if !none {
		examined = rd.allIndices()
	}
	ix := rd.chooseOrReturn(tk, dm, cands, examined)
	mayReturn := rd.mayReturn(tk, dm)
	if ix < 0 && dm.LongRunning && (len(rd.held) > 0 || mayReturn) {
		rd.freeHeld(tk)
		defer rd.holdAgain()
		if mayReturn {
			dm.Avoid = nil
		}
		rd.applyForecast(dm)
		cands = rd.excludeUnpermitted(tk.step, dm, rd.cands)
		if none {
			examined = slices.Sorted(slices.Values(rd.held))
		}
		ix = rd.chooseOf(dm, cands, examined)
	}
	if ix >= 0 {
		return ix, false
	}
	fitsAvoided := len(dm.Avoid) > 0 && anyFeasible(dm, cands, examined)
	rd.noteMiss(tk, dm, cands, fitsAvoided)
	return -1, fitsAvoided
}

// mayReturn reports whether a long-running task has waited for long enough to use the workers that it avoids.
func (rd *round) mayReturn(tk *task, dm *placer.Demand) bool {
	return dm.LongRunning && len(dm.Avoid) > 0 && rd.now.Sub(tk.lastActive) > maxAvoidTime
}

// allIndices returns the indices of all workers.
func (rd *round) allIndices() []int {
	if len(rd.indices) != len(rd.workers) {
		rd.indices = make([]int, len(rd.workers))
		for ix := range rd.indices {
			rd.indices[ix] = ix
		}
	}
	return rd.indices
}

// anyFeasible reports whether a candidate with one of the indices is feasible.
func anyFeasible(dm *placer.Demand, cands []placer.Candidate, indices []int) bool {
	return slices.ContainsFunc(indices, func(ix int) bool { return placer.Feasible(dm, &cands[ix]) })
}

// isNew reports whether a long-running task never ran and has waited for less than overdueTime.
func (rd *round) isNew(tk *task) bool {
	return tk.lastRun == 0 && rd.now.Sub(tk.wait.since) < overdueTime
}

// freeHeld lets a long-running task use the held workers. Those that are held for overdue tasks stay closed to new ones.
func (rd *round) freeHeld(tk *task) {
	isNew := rd.isNew(tk)
	for _, ix := range rd.held {
		if !isNew || !slices.Contains(rd.heldForOverdue, ix) {
			rd.cands[ix].Free, rd.cands[ix].BestEffortMemoryMB = rd.workers[ix].free, 0
		}
	}
}

func (rd *round) holdAgain() {
	for _, ix := range rd.held {
		rd.holdCandidate(ix)
	}
}

// excludeOtherPools excludes the workers of other pools. All pools share one list of candidates, so
// that indices stay valid.
func (rd *round) excludeOtherPools(pool modeler.PoolName) {
	if rd.pool == pool && pool != "" {
		return
	}
	rd.pool = pool
	for ix, wk := range rd.workers {
		rd.cands[ix].Excluded = wk.info.Pool != pool
	}
}

// countSameStep sets each candidate's number of tasks of the step, if the step limits it.
func (rd *round) countSameStep(sp *step) {
	if sp.spec.MaxPerWorker <= 0 {
		return
	}
	for ix, wk := range rd.workers {
		rd.cands[ix].SameStepTasks = sp.perWorker[wk.info.ID]
	}
}

// applyReserve sets what decides on the reserve for short tasks.
func (rd *round) applyReserve(tk *task, dm *placer.Demand) {
	sp := tk.step
	pool := rd.dr.pool(sp.occ.job)
	// One place more than the tasks is left to short ones.
	dm.Headroom, dm.PoolSlots = rd.headroom(sp, pool), rd.poolSlots(pool, dm, tk.placedTogether()+1)
	if rd.placingAged {
		dm.Headroom = rd.agedHeadroom(sp, pool)
		dm.PoolSlots = rd.recentSlots(tk, pool, dm.PoolSlots)
	}
}

// poolSlots returns how many tasks of the demand fit into the pool. It counts no further than enough.
func (rd *round) poolSlots(pool modeler.PoolName, dm *placer.Demand, enough int64) int64 {
	var slots int64
	for _, wk := range rd.workers {
		if slots >= enough {
			break
		}
		if wk.info.Pool == pool {
			slots += placer.FitCount(dm.Needs, wk.free)
		}
	}
	return slots
}

// poolProcessors are processors of a pool, in thousandths of a core.
type poolProcessors struct {
	// free are those that no run reserves, ending those that runs reserve which end by themselves.
	free, ending int64
	// freePieces and endingPieces count only whole pieces of these, see Director.pieceSize.
	freePieces, endingPieces int64
}

// add adds those of a worker, times 1 or -1.
func (pp *poolProcessors) add(wk *worker, piece, times int64) {
	free := max(0, wk.free.MilliCores)
	pieces := wholePieces(free, piece)
	pp.free += times * free
	pp.ending += times * wk.ending.MilliCores
	pp.freePieces += times * pieces
	pp.endingPieces += times * (wholePieces(free+wk.ending.MilliCores, piece) - pieces)
}

// processors returns the processors of a pool. placeTask keeps them up to date.
func (rd *round) processors(pool modeler.PoolName) poolProcessors {
	pp, ok := rd.processorsOf[pool]
	if !ok {
		for _, wk := range rd.workers {
			if wk.info.Pool == pool {
				pp.add(wk, rd.dr.pieceSize(pool), 1)
			}
		}
		rd.processorsOf[pool] = pp
	}
	return pp
}

// shortTaskReserve returns the processors of a pool that long-running tasks leave to short ones, in
// thousandths of a core.
func (rd *round) shortTaskReserve(pool modeler.PoolName) int64 {
	if fc := rd.dr.shortDemand[pool]; fc != nil {
		return fc.Reserve(rd.capacity(pool).MilliCores, placer.ShortTaskReserve, rd.now)
	}
	return rd.leastReserve(pool)
}

// leastReserve returns the least shortTaskReserve of a pool.
func (rd *round) leastReserve(pool modeler.PoolName) int64 {
	return int64(placer.ShortTaskReserve * float64(rd.capacity(pool).MilliCores))
}

// logWaitingTask logs why a task found no worker: the first such task of a round, at most once per
// waitLogInterval.
func (rd *round) logWaitingTask(tk *task, dm *placer.Demand) {
	if dm.BestEffort || rd.now.Sub(rd.dr.waitLoggedAt) < waitLogInterval {
		return
	}
	rd.dr.waitLoggedAt = rd.now
	reasons := placer.CountReasons(dm, rd.cands)
	rd.dr.log(logger.TaskWaits, "Task", tk.id().String(), "Cores", dm.Needs.MilliCores, "MemoryMB", dm.Needs.MemoryMB, "PerWorker", dm.MaxPerWorker,
		"Lasts", dm.LongRunning, "Spare", dm.Headroom, "Unsuited", reasons.Unsuited, "Crowded", reasons.Crowded, "Full", reasons.Full, "Reserved", reasons.Reserved, "Disturbed", reasons.Disturbed)
}

// placeTask reserves resources for a task on the worker with the index, and queues its start. That
// of a long-running task is queued by recordPlacements.
func (rd *round) placeTask(tk *task, ix int) *attempt {
	wk := rd.workers[ix]
	rd.startsLeft--
	rd.notePromotedPlacement(tk)
	pp, known := rd.processorsOf[wk.info.Pool]
	piece := rd.dr.pieceSize(wk.info.Pool)
	pp.add(wk, piece, -1)
	at := rd.dr.reserve(tk, wk, rd.dr.nextRun(tk))
	pp.add(wk, piece, 1)
	if known {
		rd.processorsOf[wk.info.Pool] = pp
	}
	rd.dr.starting[at] = struct{}{}
	if tk.step.spec.LongRunning {
		rd.longRunning = append(rd.longRunning, at)
	} else {
		rd.dr.queueStart(at)
	}
	cd := &rd.cands[ix]
	cd.Free, cd.LatencyCriticalTasks, cd.BestEffortTasks = wk.free, wk.criticalTasks, wk.bestEffortTasks
	cd.BestEffortMilliCores, cd.LatencyCriticalMilliCores = wk.bestEffortMilliCores, wk.criticalMilliCores
	if slices.Contains(rd.held, ix) {
		rd.holdCandidate(ix)
	}
	rd.changed = append(rd.changed, ix)
	for _, fc := range rd.forecasts {
		if fc.predictions != nil {
			fc.predictions[ix].valid = false
		}
		if fc.refused != nil {
			fc.refused[ix] = false
		}
	}
	if fc := rd.forecasts[tk.step.spec.Image]; fc != nil && fc.trials != nil && tk.step.spec.BestEffort {
		for image := range wk.criticalImages {
			fc.trials[image]++
			if placer.TrialsMatter(fc.trials[image]) {
				fc.newTrials++
			}
		}
	}
	return at
}

// pool returns the pool of the job's queue.
func (dr *Director) pool(jb *job) modeler.PoolName { return dr.queue(jb).Pool }

// startable reports whether a waiting task may start now. A task that may have an unknown run waits
// until all workers of earlier terms are accounted for, and one with a run that is not wanted until that
// is known to have ended, unless its step allows speculative copies.
func (dr *Director) startable(tk *task, now time.Time) bool {
	return !dr.mayRunUnknown(tk) && !dr.mayRunUnexpectedly(tk, now) && tk.step.occ.job.confirmed && !now.Before(tk.notBefore) && !dr.attemptsExhausted(tk)
}

// mayRunUnknown reports whether a waiting task has to wait because an unknown run may be active, or may have been its last
// attempt.
func (dr *Director) mayRunUnknown(tk *task) bool {
	return (tk.mayHaveUnknownRun || dr.mayHaveFailedUnknown(tk)) && !dr.allAccounted && !tk.step.spec.Speculative && !dr.knownNotRunning(tk) && !dr.mayDisregardUnreported(tk)
}

// mayDisregardUnreported reports whether nothing runs on the workers that have not reported in this term, and their ends are
// not waited for either.
func (dr *Director) mayDisregardUnreported(tk *task) bool {
	return dr.earlierLeasesOver && dr.returnGrace(dr.pool(tk.step.occ.job), time.Now()) == 0
}

// mayHaveFailedUnknown reports whether a task may have failed as often as its queue allows, if runs before the one that
// this term took over failed and their workers have not reported yet.
func (dr *Director) mayHaveFailedUnknown(tk *task) bool {
	if tk.runsBeforeAdopted == 0 || tk.step.spec.LongRunning {
		return false
	}
	attempts := dr.maxAttempts(tk.step.occ.job)
	return attempts > 0 && tk.runsBeforeAdopted+1 >= attempts
}

// knownNotRunning reports whether a long-running task of an earlier leader is known not to run: it
// was never placed, or the worker of its last placement has reported in this term, is not known, or
// can hold no lease of an earlier leader any more.
func (dr *Director) knownNotRunning(tk *task) bool {
	if !tk.step.spec.LongRunning {
		return false
	}
	wk := dr.workers[tk.placedOn]
	return tk.placedOn == "" || wk == nil || !wk.unaccounted || dr.leaseExpired(wk, time.Now())
}

// demand returns what a task demands of a worker. Rack, Headroom and PoolSlots are left to
// the caller.
func (dr *Director) demand(tk *task) placer.Demand {
	spec := tk.step.spec
	return placer.Demand{
		Needs: spec.Needs, Label: spec.Label, DataRack: spec.DataRack, MaxPerWorker: spec.MaxPerWorker,
		LatencyCritical: spec.TailTarget > 0, LongRunning: spec.LongRunning, BestEffort: spec.BestEffort, Image: spec.Image, Avoid: tk.avoid, RemoteDataFactor: dr.op.Limits.RemoteDataFactor,
	}
}

// nextRun returns a run number that is higher than those of all earlier runs of the task.
func (dr *Director) nextRun(tk *task) modeler.Run {
	return max(tk.lastRun, modeler.Run(dr.op.Epoch-1)*runsPerEpoch) + 1
}

// runsBefore returns how many runs of a task earlier leaders may have started before a run. How many the leaders before the
// one of the run started is not known.
func runsBefore(run modeler.Run) int {
	if epochOf(run) > 1 {
		return runsPerEpoch
	}
	return int(run - 1)
}

// epochOf returns the epoch of the leader that placed a run.
func epochOf(run modeler.Run) modeler.Epoch { return modeler.Epoch((run-1)/runsPerEpoch) + 1 }

// possibleRun reports whether a leader up to this one can have given the run number.
func (dr *Director) possibleRun(run modeler.Run) bool {
	return run <= modeler.Run(dr.op.Epoch)*runsPerEpoch
}
