package director

import (
	"slices"
	"time"

	"github.com/currantrouter/currantrouter/internal/job/modeler"
	"github.com/currantrouter/currantrouter/internal/job/placer"
)

const (
	// starvationTimeout is the age from which a job without a run gets a task placed before more urgent ones, a
	// best-effort one beyond the processors that its worker has idle. Callers are promised a start within 3 s, which
	// leaves time to repeat a start without an answer.
	starvationTimeout = time.Second
	// disturbanceTimeout is how long a job has had no run until a best-effort task of it may interfere with
	// latency-critical ones. Their load varies, so that a worker may open to it before. It leaves time for the start.
	disturbanceTimeout = 2 * time.Second
	// maxReservedShare is the share of a pool's processors that may be reserved while the promise
	// holds.
	maxReservedShare = 0.5
	// maxStarvedAttempts bounds the starved tasks that a round tries to place, as each try looks at
	// every worker.
	maxStarvedAttempts = 24
)

// starved reports whether a step belongs to a job of starvationTimeout's age that is not known to have a run.
func (rd *round) starved(sp *step) bool {
	jb := sp.occ.job
	return !sp.spec.LongRunning && !sp.spec.Gang && rd.now.Sub(sp.occ.due) >= starvationTimeout && jb.activeRuns <= rd.doubtfulRuns()[jb]
}

// doubtfulRuns returns how many attempts of each job may have been lost: those on workers that do not answer, and those
// whose start has no answer. Their tasks wait for the leases of these workers; others of the job need not.
func (rd *round) doubtfulRuns() map[*job]int {
	if rd.doubtful != nil {
		return rd.doubtful
	}
	rd.doubtful = map[*job]int{}
	for at := range rd.dr.starting {
		if at.state == uncertain && !at.worker.unreachable && at.worker.has(at) {
			rd.doubtful[at.task.step.occ.job]++
		}
	}
	for _, wk := range rd.dr.workers {
		if !wk.unreachable {
			continue
		}
		for _, at := range wk.attempts {
			rd.doubtful[at.task.step.occ.job]++
		}
	}
	return rd.doubtful
}

// starvedSteps returns the waiting steps of starved jobs whose pool has capacity for the promise to them. The steps that
// were tried the longest ago go first, as the most urgent ones may fit nowhere.
func (rd *round) starvedSteps() []rankedStep {
	var list []rankedStep
	reserved := map[modeler.PoolName]float64{}
	for _, rs := range rd.steps {
		if len(rs.step.waiting) == 0 || !rd.starved(rs.step) {
			continue
		}
		pool := rd.dr.pool(rs.step.occ.job)
		if _, ok := reserved[pool]; !ok {
			reserved[pool] = rd.reservedShare(pool)
		}
		if reserved[pool] <= maxReservedShare {
			list = append(list, rs)
		}
	}
	slices.SortStableFunc(list, func(one, two rankedStep) int { return one.step.starvedAttemptAt.Compare(two.step.starvedAttemptAt) })
	return list
}

// placeAll places tasks of all steps, first a share of the starts for jobs without a run. More urgent tasks would otherwise
// use the window of starts for as long as they come faster than it carries.
func (rd *round) placeAll() {
	dr := rd.dr
	starved := rd.placeStarved(min(int(dr.starvedStarts), rd.startsLeft))
	before := rd.startsLeft
	if len(rd.workers) > 0 {
		rd.placeSteps()
	}
	dr.roundEnd = rd.endReason()
	dr.starvedStarts = min(max(0, dr.starvedStarts-float64(starved))+overtakenShare*float64(before-rd.startsLeft), maxKeptStarts)
	starved += rd.placeStarved(rd.startsLeft)
	// Long-running tasks have their share of these starts as well.
	dr.keptStarts = min(dr.keptStarts+overtakenShare*float64(starved), maxKeptStarts)
	dr.windowFull = rd.startsLeft <= 0
}

// placeStarved starts one task of each job without a run, up to a limit, and returns how many it started. Without it, jobs
// behind a backlog of more urgent or of best-effort work wait although there is capacity.
func (rd *round) placeStarved(limit int) int {
	if limit <= 0 {
		return 0
	}
	before := rd.startsLeft
	for _, rs := range rd.starvedSteps() {
		if rd.starvedAttempts >= maxStarvedAttempts || before-rd.startsLeft >= limit {
			break
		}
		if rd.starved(rs.step) {
			rd.excludeOtherPools(rd.dr.pool(rs.step.occ.job))
			rd.placeOneStarved(rs.step)
		}
	}
	return before - rd.startsLeft
}

// placeOneStarved places the first task of a step that may start.
func (rd *round) placeOneStarved(sp *step) {
	for _, tk := range sp.waiting {
		if !rd.dr.startable(tk, rd.now) {
			continue
		}
		rd.starvedAttempts++
		sp.starvedAttemptAt = rd.now
		dm := rd.dr.demand(tk)
		dm.Starved = dm.BestEffort
		ix := rd.chooseForStarved(sp, &dm)
		if ix < 0 && dm.BestEffort && rd.now.Sub(sp.occ.idleSince()) >= disturbanceTimeout {
			dm.Disturbs = true
			ix = rd.chooseForStarved(sp, &dm)
		}
		if ix >= 0 {
			rd.placeTask(tk, ix)
		}
		return
	}
}

// chooseForStarved returns the index of a worker for a demand of a starved step, or -1.
func (rd *round) chooseForStarved(sp *step, dm *placer.Demand) int {
	ix, _ := rd.chooseQuickly(sp, dm)
	if queue := rd.dr.queue(sp.occ.job); ix < 0 && queue.Policy != nil {
		rd.countSameStep(sp)
		rd.applyForecast(dm)
		ix = rd.chooseAmong(dm, rd.excludeUnpermitted(sp, queue, dm, rd.cands))
	}
	return ix
}

// idleSince returns when the last run of the occurrence's job ended, or when the occurrence was due if that is later.
func (oc *occurrence) idleSince() time.Time {
	if oc.job.lastRunEnd.After(oc.due) {
		return oc.job.lastRunEnd
	}
	return oc.due
}

// reservedShare returns the share of the processors of a pool's workers that is reserved.
func (rd *round) reservedShare(pool modeler.PoolName) float64 {
	var free, capacity int64
	for _, wk := range rd.workers {
		if wk.info.Pool == pool {
			free += max(0, wk.free.MilliCores)
			capacity += wk.info.Capacity.MilliCores
		}
	}
	return 1 - float64(free)/float64(max(capacity, 1))
}
