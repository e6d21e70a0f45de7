package director

import (
	"math"
	"slices"

	"github.com/currantrouter/currantrouter/internal/job/modeler"
	"github.com/currantrouter/currantrouter/internal/job/ranker"
	"github.com/currantrouter/currantrouter/internal/job/reserver"
)

// ShortagePolicy is how a director orders and places tasks while capacity is short.
type ShortagePolicy string

// The shortage policies.
const (
	// DeadlinePolicy orders by priority, deadline class and latest start, see package ranker, whether or not
	// capacity is short.
	DeadlinePolicy ShortagePolicy = "Deadline"
	// ValuePolicy orders by the value that jobs can still yield while a pool is short of capacity, lets the
	// reserve for short tasks follow their demand, and lets best-effort tasks use the memory of held workers.
	ValuePolicy ShortagePolicy = "Value"
)

// followsValue reports whether ValuePolicy applies.
func (dr *Director) followsValue() bool { return dr.op.Limits.ShortagePolicy == ValuePolicy }

// freeBesideHeld returns what less urgent tasks may use of a held worker. Under ValuePolicy that is the memory
// beyond what the demands need for which it is held. Only best-effort tasks can use it, as all others need
// processors, and they take none from these demands: a worker lets them run on what others leave idle. Memory of
// runs that end counts as free only once they have ended.
func (rd *round) freeBesideHeld(ix int) modeler.Resources {
	if !rd.dr.followsValue() {
		return modeler.Resources{}
	}
	return modeler.Resources{MemoryMB: max(0, rd.workers[ix].free.MemoryMB-rd.heldFor[ix].MemoryMB)}
}

// urgentDemand is the demand of the short tasks of a pool with the most urgent priority there.
type urgentDemand struct {
	priority   int
	milliCores int64
	tasks      int
}

// add adds the tasks of a step unless more urgent ones were seen. Long-running ones count for the priority
// only, so that the reserve does not keep them from starting in favour of less urgent tasks.
func (ud *urgentDemand) add(spec *modeler.Step, priority, tasks int) {
	if spec.BestEffort || priority > ud.priority {
		return
	}
	if priority < ud.priority {
		ud.priority, ud.milliCores, ud.tasks = priority, 0, 0
	}
	if !spec.LongRunning {
		ud.milliCores += spec.Needs.MilliCores * int64(tasks)
		ud.tasks += tasks
	}
}

// observeShortDemand updates the forecasts of what short urgent tasks need from what they use and wait for, at
// most every reserver.SampleInterval. Jobs that are overdue are left out, as a reserve gains their callers
// nothing.
func (rd *round) observeShortDemand() {
	dr := rd.dr
	if !dr.followsValue() || rd.now.Sub(dr.shortDemandAt) < reserver.SampleInterval {
		return
	}
	dr.shortDemandAt = rd.now
	demands := map[modeler.PoolName]*urgentDemand{}
	for _, wk := range dr.workers {
		ud := demands[wk.info.Pool]
		if ud == nil {
			ud = &urgentDemand{priority: math.MaxInt}
			demands[wk.info.Pool] = ud
		}
		if len(wk.criticalAttempts) > 0 {
			sp := wk.criticalAttempts[0].task.step
			ud.add(sp.spec, dr.queue(sp.occ.job).Priority, 1)
		}
		if wk.ending.MilliCores <= 0 {
			continue
		}
		for _, at := range wk.attempts {
			sp := at.task.step
			ud.add(sp.spec, dr.queue(sp.occ.job).Priority, 1)
		}
	}
	for _, rs := range rd.steps {
		if ud := demands[dr.pool(rs.step.occ.job)]; ud != nil && rs.rank.Class != ranker.Overdue {
			ud.add(rs.step.spec, rs.rank.Priority, len(rs.step.waiting))
		}
	}
	for pool := range dr.shortDemand {
		if demands[pool] == nil {
			delete(dr.shortDemand, pool)
		}
	}
	for pool, ud := range demands {
		if dr.shortDemand[pool] == nil {
			dr.shortDemand[pool] = &reserver.Forecast{}
		}
		dr.shortDemand[pool].Observe(ud.milliCores, ud.tasks, rd.now)
	}
}

// leavesForecast reports whether the long-running tasks of a step leave the forecast reserve to short ones, not just
// the least one. Tasks that ran before do not, as each is to run again within seconds of its last run.
func (rd *round) leavesForecast(sp *step) bool {
	return rd.dr.followsValue() && !slices.ContainsFunc(sp.waiting, func(tk *task) bool { return tk.lastRun > 0 })
}

// headroom returns the free processors of a pool beyond the reserve that the tasks of a long-running step leave, in
// thousandths of a core. Short tasks that run count for the forecast reserve, down to leastReserve.
func (rd *round) headroom(sp *step, pool modeler.PoolName) int64 {
	pp, least := rd.processors(pool), rd.leastReserve(pool)
	if !rd.leavesForecast(sp) {
		return pp.free - least
	}
	return pp.freePieces - max(least, rd.shortTaskReserve(pool)-pp.endingPieces)
}

// agedHeadroom returns the same for an aged step, for which short tasks that run do not count.
func (rd *round) agedHeadroom(sp *step, pool modeler.PoolName) int64 {
	pp := rd.processors(pool)
	if !rd.leavesForecast(sp) {
		return pp.free + pp.ending - rd.leastReserve(pool)
	}
	return pp.freePieces + pp.endingPieces - rd.shortTaskReserve(pool)
}

// pieceSize returns the processors of a typical short task of a pool, in thousandths of a core, or 0 if that is not
// known. Free processors count for the reserve in whole pieces, as a short task cannot use what several workers have
// left beside long-running tasks.
func (dr *Director) pieceSize(pool modeler.PoolName) int64 {
	if fc := dr.shortDemand[pool]; fc != nil {
		return fc.TaskSize()
	}
	return 0
}

// wholePieces returns the part of some processors that consists of whole pieces, all of them for pieces of 0.
func wholePieces(milliCores, piece int64) int64 {
	if piece <= 0 {
		return milliCores
	}
	return milliCores / piece * piece
}
