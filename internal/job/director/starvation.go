package director

import (
	"slices"
	"time"

	"github.com/currantrouter/currantrouter/internal/job/modeler"
	"github.com/currantrouter/currantrouter/internal/job/placer"
)

const (
	// starvationTimeout is the age from which a job without a run gets a best-effort task placed
	// beyond the processors that its worker has idle. Callers are promised a start within 3 s, which
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

// starved reports whether a step belongs to a job of starvationTimeout's age that has no run.
func (sp *step) starved(now time.Time) bool {
	return sp.spec.BestEffort && !sp.spec.Gang && !sp.occ.job.hasAttempts() && now.Sub(sp.occ.due) >= starvationTimeout
}

// placeStarved starts one task of each job without a run, in the order of urgency. Without it, jobs
// behind a backlog of best-effort work wait although their tasks could share processors. If there are
// more than it may try, it begins with those tried the longest ago, as the most urgent ones may fit
// nowhere.
func (rd *round) placeStarved() {
	var starved []rankedStep
	for _, rs := range rd.steps {
		if rs.step.starved(rd.now) {
			starved = append(starved, rs)
		}
	}
	slices.SortStableFunc(starved, func(one, two rankedStep) int { return one.step.starvedAttemptAt.Compare(two.step.starvedAttemptAt) })
	reserved := map[modeler.PoolName]float64{}
	for _, rs := range starved {
		if rd.starvedAttempts >= maxStarvedAttempts || rd.startsLeft <= 0 {
			return
		}
		if !rs.step.starved(rd.now) {
			continue
		}
		pool := rd.dr.pool(rs.step.occ.job)
		if _, ok := reserved[pool]; !ok {
			reserved[pool] = rd.reservedShare(pool)
		}
		if reserved[pool] <= maxReservedShare {
			rd.excludeOtherPools(pool)
			rd.placeOneStarved(rs.step)
		}
	}
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
		dm.Starved = true
		ix := rd.chooseForStarved(sp, &dm)
		if ix < 0 && rd.now.Sub(sp.occ.idleSince()) >= disturbanceTimeout {
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
