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

// holdCandidate keeps less urgent tasks from a held worker in this round. Under ValuePolicy, best-effort tasks may use
// the memory beyond what the demands need for which it is held: they take no processors from these demands, as a worker
// lets them run on what others leave idle. Memory of runs that end counts as free only once they have ended.
func (rd *round) holdCandidate(ix int) {
	cd := &rd.cands[ix]
	cd.Free, cd.BestEffortMemoryMB = modeler.Resources{}, 0
	if rd.dr.followsValue() {
		cd.BestEffortMemoryMB = max(0, rd.workers[ix].free.MemoryMB-rd.heldFor[ix].needs.MemoryMB)
	}
}

// activeKey identifies the runs of a pool's workers of which the tasks have the same priority, however the
// configuration changes.
type activeKey struct {
	pool  modeler.PoolName
	queue modeler.QueueName
	// priority is the one that applies if the queue is not configured.
	priority int
}

// activeDemand is what the attempts of tasks need, without best-effort ones. Director.reserve and Director.release keep
// it up to date, as a look at each attempt every reserver.SampleInterval would take more than 1% of a core.
type activeDemand struct {
	key activeKey
	// job is one of the jobs.
	job *job
	// milliCores is what the short tasks need.
	milliCores              int64
	shortTasks, longRunning int
}

// add adds the change, 1 or -1, for an attempt of a task of a step.
func (ad *activeDemand) add(spec *modeler.Step, change int) {
	if spec.LongRunning {
		ad.longRunning += change
		return
	}
	ad.milliCores += int64(change) * spec.Needs.MilliCores
	ad.shortTasks += change
}

// countActive adds an attempt to the demand of its pool and queue.
func (dr *Director) countActive(at *attempt) {
	sp := at.task.step
	if !dr.followsValue() || sp.spec.BestEffort {
		return
	}
	jb := sp.occ.job
	key := activeKey{at.worker.info.Pool, jb.Queue, jb.Priority}
	ad := dr.active[key]
	if ad == nil {
		ad = &activeDemand{key: key, job: jb}
		dr.active[key] = ad
	}
	ad.add(sp.spec, 1)
	at.demand = ad
}

// uncountActive undoes countActive.
func (dr *Director) uncountActive(at *attempt) {
	ad := at.demand
	if ad == nil {
		return
	}
	at.demand = nil
	ad.add(at.task.step.spec, -1)
	if ad.shortTasks == 0 && ad.longRunning == 0 {
		delete(dr.active, ad.key)
	}
}

// urgentDemand is the demand of the short tasks of a pool with the most urgent priority there.
type urgentDemand struct {
	priority   int
	milliCores int64
	tasks      int
}

// add adds what some tasks need together, unless more urgent ones were seen. Long-running ones count for the priority
// only, so that the reserve does not keep them from starting in favour of less urgent tasks: they add no tasks.
func (ud *urgentDemand) add(priority int, milliCores int64, tasks int) {
	if priority > ud.priority {
		return
	}
	if priority < ud.priority {
		ud.priority, ud.milliCores, ud.tasks = priority, 0, 0
	}
	ud.milliCores += milliCores
	ud.tasks += tasks
}

// addWaiting adds the waiting tasks of a step.
func (ud *urgentDemand) addWaiting(rs *rankedStep) {
	spec, tasks := rs.step.spec, len(rs.step.waiting)
	switch {
	case spec.BestEffort:
	case spec.LongRunning:
		ud.add(rs.rank.Priority, 0, 0)
	default:
		ud.add(rs.rank.Priority, spec.Needs.MilliCores*int64(tasks), tasks)
	}
}

// observeShortDemand updates the forecasts of what short urgent tasks need from what they use and wait for, at
// most every reserver.SampleInterval.
func (rd *round) observeShortDemand() {
	dr := rd.dr
	if !dr.followsValue() || rd.now.Sub(dr.shortDemandAt) < reserver.SampleInterval {
		return
	}
	dr.shortDemandAt = rd.now
	demands := rd.urgentDemands()
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

// urgentDemands returns what short urgent tasks use and wait for, by pool, for all pools with workers. Waiting jobs
// that are overdue are left out, as a reserve gains their callers nothing.
func (rd *round) urgentDemands() map[modeler.PoolName]*urgentDemand {
	dr := rd.dr
	demands := map[modeler.PoolName]*urgentDemand{}
	var last modeler.PoolName
	for ix, wk := range dr.orderedWorkers() {
		if pool := wk.info.Pool; ix == 0 || pool != last {
			last = pool
			if demands[pool] == nil {
				demands[pool] = &urgentDemand{priority: math.MaxInt}
			}
		}
	}
	for key, ad := range dr.active {
		if ud := demands[key.pool]; ud != nil {
			ud.add(dr.queue(ad.job).Priority, ad.milliCores, ad.shortTasks)
		}
	}
	for ix := range rd.steps {
		rs := &rd.steps[ix]
		if ud := demands[dr.pool(rs.step.occ.job)]; ud != nil && rs.rank.Class != ranker.Overdue {
			ud.addWaiting(rs)
		}
	}
	return demands
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
