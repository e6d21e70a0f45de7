package director

import (
	"cmp"
	"slices"
	"time"

	"github.com/currantrouter/currantrouter/internal/job/modeler"
	"github.com/currantrouter/currantrouter/internal/job/placer"
)

const (
	// maxHeldWorkers bounds the backfill reservations of a round for short tasks, see holdWorker.
	maxHeldWorkers = 3
	// maxAgedHeldShare bounds those for aged long-running tasks as a share of the workers, if that is more
	// than minAgedHeldWorkers.
	maxAgedHeldShare   = 1.0 / 16
	minAgedHeldWorkers = 3
	// agingTime is how long a long-running task waits behind short ones, see aged. It is to run within
	// 3 s of capacity, of which the rest is left for short tasks to end.
	agingTime = time.Second
	// overdueTime is how long after its last run a long-running task may use the reserve for short ones. It is to run
	// again within 9 s, of which 3 s are left for its placement and its start.
	overdueTime = 6 * time.Second
	// maxHeldForOverdue bounds the workers that are held for overdue tasks within the reserve for short ones.
	maxHeldForOverdue = 3
	// maxOverdueTries bounds the overdue tasks of a round for which a worker to hold is looked for.
	maxOverdueTries = 12
	// roomMemory is how long a pool counts as having capacity for a task, or a gang, and one more after a round has found it.
	roomMemory = 1500 * time.Millisecond
	// maxSeenRooms bounds what is remembered of that for each pool.
	maxSeenRooms = 16
)

// placeAged places tasks of the aged steps with at most half of the starts, those that ran before first, and returns
// the steps that are left in order of urgency.
func (rd *round) placeAged() []rankedStep {
	var aged []rankedStep
	for _, rs := range rd.steps {
		if rd.dr.aged(rs.step, rd.now) {
			aged = append(aged, rs)
		}
	}
	if len(aged) == 0 {
		return rd.steps
	}
	slices.SortStableFunc(aged, rd.compareAged)
	rd.placingAged, rd.startsKept = true, rd.startsLeft/2
	rd.maxHeld = max(minAgedHeldWorkers, int(maxAgedHeldShare*float64(len(rd.workers))))
	if restarts := rd.restarts(aged); len(restarts) > 0 {
		rd.onlyRestarts = true
		rd.placePass(restarts, maxOvertakenMisses)
		rd.placeInAdvance(restarts)
		rd.onlyRestarts = false
	}
	left := rd.placePass(aged, maxOvertakenMisses)
	rd.placeInAdvance(aged)
	rd.placingAged, rd.startsKept, rd.maxHeld = false, 0, len(rd.held)+maxHeldWorkers
	finished := map[*step]bool{}
	for _, rs := range aged[:len(aged)-len(left)] {
		finished[rs.step] = true
	}
	return slices.DeleteFunc(slices.Clone(rd.steps), func(rs rankedStep) bool { return finished[rs.step] })
}

// restarts returns the steps with tasks that ran before, the one with the task that has been down for longest first. Tasks
// that never ran come without end, and in a full pool would take most of the capacity that becomes free.
func (rd *round) restarts(aged []rankedStep) []rankedStep {
	type restart struct {
		rankedStep
		downSince time.Time
	}
	var list []restart
	for _, rs := range aged {
		if down, ok := rd.dr.oldestRestart(rs.step, rd.now); ok {
			list = append(list, restart{rs, down})
		}
	}
	slices.SortStableFunc(list, func(one, two restart) int { return one.downSince.Compare(two.downSince) })
	steps := make([]rankedStep, len(list))
	for ix := range list {
		steps[ix] = list[ix].rankedStep
	}
	return steps
}

// oldestRestart returns since when the tasks of a step that ran before and may start have been down at most, or false if
// there are none.
func (dr *Director) oldestRestart(sp *step, now time.Time) (time.Time, bool) {
	var oldest time.Time
	found := false
	for _, tk := range sp.waiting {
		if down := tk.downSince(); tk.startsAgain(now) && (!found || down.Before(oldest)) && dr.startable(tk, now) {
			oldest, found = down, true
		}
	}
	return oldest, found
}

// downSince returns since when a queued task that ran before has not been known to run, the zero time if that was before
// this term.
func (tk *task) downSince() time.Time {
	if tk.mayHaveUnknownRun {
		return time.Time{}
	}
	return tk.wait.downSince()
}

// compareAged orders aged steps by when a round last considered them, and those that the same round
// considered by their priority and then by their needs, as capacity for a task that needs little becomes
// free most often.
func (rd *round) compareAged(one, two rankedStep) int {
	return cmp.Or(longestAgo(one, two), cmp.Compare(one.rank.Priority, two.rank.Priority), cmp.Compare(rd.dominantShare(one.step), rd.dominantShare(two.step)))
}

// dominantShare returns the largest share that a task of a step needs of a resource of its pool.
func (rd *round) dominantShare(sp *step) float64 {
	return dominantShare(sp.spec.Needs, rd.capacity(rd.dr.pool(sp.occ.job)))
}

// dominantShare returns the largest share of a capacity that is needed of a resource.
func dominantShare(needs, capacity modeler.Resources) float64 {
	share := func(needed, available int64) float64 { return float64(needed) / float64(max(available, 1)) }
	return max(share(needs.MilliCores, capacity.MilliCores), share(needs.MemoryMB, capacity.MemoryMB), share(needs.Accelerators, capacity.Accelerators))
}

// capacity returns the capacity of the workers of a pool.
func (rd *round) capacity(pool modeler.PoolName) modeler.Resources {
	if sum, ok := rd.capacityOf[pool]; ok {
		return sum
	}
	var sum modeler.Resources
	for _, wk := range rd.workers {
		if wk.info.Pool == pool {
			sum = sum.Plus(wk.info.Capacity)
		}
	}
	rd.capacityOf[pool] = sum
	return sum
}

// mayUseReserve reports whether an overdue task, with all others of its gang, may use the reserve for short tasks, of
// which half stays.
func (rd *round) mayUseReserve(tk *task) bool {
	pool := rd.dr.pool(tk.step.occ.job)
	pp := rd.processors(pool)
	return tk.overdue(rd.now) && pp.free+pp.ending-tk.placedTogether()*tk.step.spec.Needs.MilliCores >= rd.leastReserve(pool)/2
}

// placedTogether returns how many tasks start with a queued one, itself included.
func (tk *task) placedTogether() int64 { return tk.step.placedTogether() }

// placedTogether returns how many tasks of the step start together.
func (sp *step) placedTogether() int64 {
	if sp.spec.Gang {
		return int64(len(sp.tasks))
	}
	return 1
}

// overdue reports whether a task that ran before is to run soon, see overdueTime.
func (tk *task) overdue(now time.Time) bool {
	return tk.step.spec.LongRunning && tk.lastRun > 0 && now.Sub(tk.downSince()) >= overdueTime
}

// startsAgain reports whether a queued task goes before those that never ran. One that failed does so only once it is
// overdue: tasks that fail again and again would otherwise keep the others from running.
func (tk *task) startsAgain(now time.Time) bool {
	failed := len(tk.failures) > 0 && tk.failures[len(tk.failures)-1] == tk.lastRun
	return tk.lastRun > 0 && (!failed || tk.overdue(now))
}

// aged reports whether a long-running step has a task that goes before short ones, as it has waited for
// agingTime, also for the lease of a worker that did not answer, or ran in an earlier term. Short tasks
// that are on time would otherwise take all capacity that becomes free, for as long as more of them come
// than the workers can run.
func (dr *Director) aged(sp *step, now time.Time) bool {
	return sp.spec.LongRunning && slices.ContainsFunc(sp.waiting, func(tk *task) bool {
		ranBefore := tk.lastRun > 0 && epochOf(tk.lastRun) < dr.op.Epoch
		return (ranBefore || now.Sub(tk.wait.downSince()) >= agingTime) && dr.startable(tk, now)
	})
}

// holdForAged makes backfill reservations for the waiting tasks of a step, which share workers, if the
// step is aged. They leave the reserve for short tasks.
func (rd *round) holdForAged(sp *step, dm *placer.Demand) {
	if !rd.placingAged {
		return
	}
	headroom := rd.agedHeadroom(sp, rd.dr.pool(sp.occ.job))
	for _, tk := range sp.waiting {
		if headroom -= dm.Needs.MilliCores; headroom < 0 {
			return
		}
		if rd.heldTasks[tk] || !rd.dr.startable(tk, rd.now) {
			continue
		}
		if !rd.shareHeldWorker(sp, dm) && !rd.holdWorker(tk, dm) {
			return
		}
		rd.heldTasks[tk] = true
	}
}

// holdForOverdue holds a worker for an overdue task that fits nowhere, and the same one in each round, so that the task
// waits no longer than the short runs there.
func (rd *round) holdForOverdue(tk *task, dm *placer.Demand) {
	if !rd.tryForOverdue(tk, dm) {
		return
	}
	ix := -1
	if tk.heldOn != "" {
		ix = slices.IndexFunc(rd.workers, func(wk *worker) bool { return wk.info.ID == tk.heldOn })
	}
	if ix < 0 || slices.Contains(rd.held, ix) || !rd.mayHold(tk.step, dm, ix) {
		if ix = rd.bestToHold(tk.step, dm); ix < 0 {
			return
		}
	}
	tk.heldOn = rd.workers[ix].info.ID
	rd.heldForOverdue = append(rd.heldForOverdue, ix)
	rd.heldTasks[tk] = true
	rd.hold(tk, dm, ix)
}

// tryForOverdue reports whether to look for workers to hold for an overdue task and the others of its gang.
func (rd *round) tryForOverdue(tk *task, dm *placer.Demand) bool {
	pool := rd.dr.pool(tk.step.occ.job)
	if rd.heldTasks[tk] || !rd.mayHoldForOverdue() || !rd.matchesSome(pool, dm) {
		return false
	}
	rd.overdueTries++
	return rd.mayUseReserve(tk) && rd.slotsWithoutShort(pool, dm.Needs) > tk.placedTogether()
}

// mayHoldForOverdue reports whether the round may look for a further worker to hold for an overdue task.
func (rd *round) mayHoldForOverdue() bool {
	return len(rd.heldForOverdue) < maxHeldForOverdue && rd.overdueTries < maxOverdueTries
}

// seenRoom is the capacity of which a pool had enough for a number of tasks and one more at a time.
type seenRoom struct {
	needs modeler.Resources
	tasks int64
	at    time.Time
}

// recentSlots returns how many tasks with the needs of a task count as fitting into its pool for an aged step, given how
// many fit now. Short tasks end and start all the time, so that capacity for one more than are placed together counts
// for roomMemory, and for a task that may use the reserve whenever it was seen. Otherwise, a part of it would go to short
// tasks in each round. A place stays for short tasks, which they may be using.
func (rd *round) recentSlots(tk *task, pool modeler.PoolName, slots int64) int64 {
	needs, tasks := tk.step.spec.Needs, tk.placedTogether()
	rooms := slices.DeleteFunc(rd.dr.seenRooms[pool], func(rm seenRoom) bool {
		return rd.now.Sub(rm.at) >= roomMemory || slots > tasks && rm.tasks <= tasks && rm.needs.Fits(needs)
	})
	if slots > tasks && len(rooms) < maxSeenRooms {
		rooms = append(rooms, seenRoom{needs, tasks, rd.now})
	}
	rd.dr.seenRooms[pool] = rooms
	if slots <= tasks && (rd.mayUseReserve(tk) || slices.ContainsFunc(rooms, func(rm seenRoom) bool { return tasks <= rm.tasks && needs.Fits(rm.needs) })) {
		return rd.slotsWithoutShort(pool, needs)
	}
	return slots
}

// slotsWithoutShort returns how many tasks with the needs fit into a pool beside its long-running tasks.
func (rd *round) slotsWithoutShort(pool modeler.PoolName, needs modeler.Resources) int64 {
	var slots int64
	for _, wk := range rd.workers {
		if wk.info.Pool == pool {
			slots += placer.FitCount(needs, wk.free.Plus(wk.ending))
		}
	}
	return slots
}
