package director

import (
	"maps"
	"slices"
	"time"

	"github.com/currantrouter/currantrouter/internal/job/modeler"
	"github.com/currantrouter/currantrouter/internal/job/placer"
)

const (
	// advanceMargin is added to Limits.StopGrace for the time in which a cancelled run is expected to end
	// after the leader heard of the cancellation. Its stop may have to be sent twice.
	advanceMargin = minStopRetry + requestTimeout
	// maxAdvanceMisses bounds the steps for which a round finds no capacity that becomes free, as each
	// try looks at every worker.
	maxAdvanceMisses = 24
)

// placeInAdvance places tasks of aged steps on capacity that becomes free as the long-running runs of
// cancelled jobs end. Their starts are queued when these have ended. Otherwise, a place would stay unused
// for as long as a round and the record of the placement take.
func (rd *round) placeInAdvance(aged []rankedStep) {
	ending := rd.cancelledCapacity()
	if len(ending) == 0 {
		return
	}
	rd.placeOnEnding(aged, rd.newEndingCandidates(ending))
}

// placeOnEnding places tasks of the steps on the capacity.
func (rd *round) placeOnEnding(aged []rankedStep, ec *endingCandidates) {
	misses := 0
	for _, rs := range aged {
		if misses >= maxAdvanceMisses {
			return
		}
		if !rs.step.spec.Gang && rd.fitsEnding(rs.step, ec) && !rd.placeStepInAdvance(rs.step, ec) {
			misses++
		}
	}
}

// fitsEnding reports whether a worker on which capacity becomes free may have enough for a task of a step.
func (rd *round) fitsEnding(sp *step, ec *endingCandidates) bool {
	needs := placer.Reservation(sp.spec.Needs, sp.spec.BestEffort)
	return slices.ContainsFunc(ec.indices, func(ix int) bool { return needs.Fits(rd.workers[ix].free.Plus(ec.capacity[ix])) })
}

// cancelledCapacity returns what the workers reserve for long-running runs of cancelled jobs that are
// expected to end, by the index of the worker.
func (rd *round) cancelledCapacity() map[int]modeler.Resources {
	ending := map[int]modeler.Resources{}
	for ix, wk := range rd.workers {
		for _, cr := range wk.cancelledRuns {
			at := cr.attempt
			if at != nil && at.stopping && at.state == active && at.task.step.spec.LongRunning && rd.now.Sub(cr.job.cancellation.heardAt) < rd.dr.maxStopTime() {
				ending[ix] = ending[ix].Plus(at.reservation())
			}
		}
	}
	return ending
}

// maxStopTime returns the time within which a cancelled run is expected to end.
func (dr *Director) maxStopTime() time.Duration { return dr.op.Limits.StopGrace + advanceMargin }

// endingCandidates are the workers on which capacity becomes free.
type endingCandidates struct {
	// capacity is what becomes free, by the index of the worker, and indices holds its keys in ascending order.
	capacity map[int]modeler.Resources
	indices  []int
	// cands holds all candidates in the order of the round's workers. Those without ending capacity are excluded.
	cands []placer.Candidate
}

func (rd *round) newEndingCandidates(ending map[int]modeler.Resources) *endingCandidates {
	ec := &endingCandidates{capacity: ending, indices: slices.Sorted(maps.Keys(ending)), cands: slices.Clone(rd.cands)}
	for ix := range ec.cands {
		ec.cands[ix].Excluded = true
	}
	return ec
}

// placeStepInAdvance places tasks of a step on capacity that becomes free. It returns false if it ended
// with a task for which there is none.
func (rd *round) placeStepInAdvance(sp *step, ec *endingCandidates) bool {
	pool := rd.dr.pool(sp.occ.job)
	for _, ix := range ec.indices {
		ec.cands[ix] = rd.cands[ix]
	}
	for _, tk := range slices.Clone(sp.waiting) {
		if !rd.mayPlace(tk) {
			continue
		}
		dm := rd.dr.demand(tk)
		if rd.mayReturn(tk, &dm) {
			dm.Avoid = nil
		}
		dm.Headroom, dm.PoolSlots = rd.futureHeadroom(sp, pool, &dm, ec.capacity)
		for _, ix := range ec.indices {
			wk, cd := rd.workers[ix], &ec.cands[ix]
			cd.Excluded = wk.info.Pool != pool || slices.Contains(dm.Avoid, wk.info.ID)
			cd.Free, cd.BestEffortMemoryMB, cd.SameStepTasks = wk.free.Plus(ec.capacity[ix]), 0, sp.perWorker[wk.info.ID]
		}
		ix := rd.chooseOf(&dm, rd.excludeUnpermitted(sp, &dm, ec.cands), ec.indices)
		if ix < 0 {
			return false
		}
		at := rd.placeTask(tk, ix)
		// The start is sent later, and then counts for the window.
		rd.startsLeft++
		at.advanceEnd = rd.now.Add(rd.dr.maxStopTime())
		at.worker.inAdvance = append(at.worker.inAdvance, at)
	}
	return true
}

// futureHeadroom returns what agedHeadroom and poolSlots are once the capacity has become free.
func (rd *round) futureHeadroom(sp *step, pool modeler.PoolName, dm *placer.Demand, ending map[int]modeler.Resources) (headroom, slots int64) {
	reserve, piece := rd.leastReserve(pool), int64(0)
	if rd.leavesForecast(sp) {
		reserve, piece = rd.shortTaskReserve(pool), rd.dr.pieceSize(pool)
	}
	for ix, wk := range rd.workers {
		if wk.info.Pool == pool {
			free := wk.free.Plus(ending[ix])
			headroom += wholePieces(max(0, free.MilliCores)+wk.ending.MilliCores, piece)
			slots += placer.FitCount(dm.Needs, free)
		}
	}
	return headroom - reserve, slots
}

// queueFreed queues the starts of tasks that were placed in advance for which the worker now has the
// capacity.
func (dr *Director) queueFreed(wk *worker) {
	free := wk.free
	for _, at := range wk.inAdvance {
		free = free.Plus(at.reservation())
	}
	wk.inAdvance = slices.DeleteFunc(wk.inAdvance, func(at *attempt) bool {
		if !at.reservation().Fits(free) {
			return false
		}
		free = free.Minus(at.reservation())
		if at.freedAt.IsZero() {
			at.freedAt = time.Now()
		}
		if at.recording {
			return false
		}
		dr.queueStart(at)
		return true
	})
}

// expireAdvance requeues the tasks that were placed in advance on a worker whose runs have not ended in
// time.
func (dr *Director) expireAdvance(wk *worker, now time.Time) {
	for _, at := range slices.Clone(wk.inAdvance) {
		if now.After(at.advanceEnd) {
			dr.release(at)
			dr.afterRunEnd(at.task, now)
		}
	}
}

// reservation returns what the run reserves of its worker.
func (at *attempt) reservation() modeler.Resources {
	spec := at.task.step.spec
	return placer.Reservation(spec.Needs, spec.BestEffort)
}
