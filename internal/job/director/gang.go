package director

import (
	"cmp"
	"slices"

	"github.com/currantrouter/currantrouter/internal/job/modeler"
	"github.com/currantrouter/currantrouter/internal/job/placer"
)

// placeGang places all tasks of a gang together, or none.
func (rd *round) placeGang(sp *step) {
	rd.noteTurn(sp, gangNotComplete)
	if len(sp.waiting) < len(sp.tasks) || sp.gangRun != 0 {
		return
	}
	for _, tk := range sp.waiting {
		if !rd.dr.startable(tk, rd.now) {
			return
		}
	}
	rd.excludeOtherPools(rd.dr.pool(sp.occ.job))
	chosen := rd.chooseForGang(sp)
	if chosen == nil && sp.spec.LongRunning && len(rd.held) > 0 {
		// As a single long-running task, see choose.
		rd.freeHeld(sp.waiting[0])
		chosen = rd.chooseForGang(sp)
		rd.holdAgain()
	}
	if chosen == nil {
		rd.misses++
		rd.noteTurn(sp, noWorkerFits)
		rd.holdForGang(sp)
		return
	}
	rd.misses = 0
	rd.startGang(sp, chosen)
}

// gangRoom is the capacity for the tasks of a gang in one rack, or in all racks if rack is empty.
type gangRoom struct {
	rack string
	// indices holds the candidates that are feasible for a task of the gang.
	indices []int
	// slots is the number of tasks that fit, but for the workers that they avoid.
	slots int64
}

func (gr *gangRoom) add(ix int, slots int64) {
	gr.indices = append(gr.indices, ix)
	gr.slots += slots
}

// gangRooms returns the capacity for a gang: that of each single rack if it is to run in one, and last that of all
// racks together.
func (rd *round) gangRooms(sp *step, dm *placer.Demand, cands []placer.Candidate) []gangRoom {
	var all gangRoom
	var rooms []gangRoom
	roomOf := map[string]int{}
	for ix := range cands {
		slots := gangSlots(sp, dm, &cands[ix])
		if slots <= 0 {
			continue
		}
		all.add(ix, slots)
		rack := cands[ix].Worker.Rack
		if !sp.spec.SameRack || rack == "" {
			continue
		}
		no, ok := roomOf[rack]
		if !ok {
			no = len(rooms)
			roomOf[rack] = no
			rooms = append(rooms, gangRoom{rack: rack})
		}
		rooms[no].add(ix, slots)
	}
	return append(rooms, all)
}

// gangSlots returns how many tasks of a gang fit on a worker.
func gangSlots(sp *step, dm *placer.Demand, cd *placer.Candidate) int64 {
	free := cd.Free
	if dm.BestEffort {
		free.MemoryMB += cd.BestEffortMemoryMB
	}
	slots := placer.FitCount(placer.Reservation(dm.Needs, dm.BestEffort), free)
	if slots > 0 && dm.MaxPerWorker > 0 {
		cd.SameStepTasks = sp.perWorker[cd.Worker.ID]
		slots = min(slots, int64(dm.MaxPerWorker-cd.SameStepTasks))
	}
	if slots <= 0 || !placer.Feasible(dm, cd) {
		return 0
	}
	return slots
}

// chooseForGang returns the index of a worker for each task of a gang, or nil if the gang fits nowhere. It looks at
// each worker once, and further only at racks with capacity for all tasks.
func (rd *round) chooseForGang(sp *step) []int {
	oldest := sp.longestDown()
	first := rd.dr.demand(oldest)
	if first.LongRunning {
		rd.applyReserve(oldest, &first)
	}
	last := first
	reduceReserve(&last, &first, len(sp.waiting)-1)
	if first.LongRunning && !placer.AllowsLongRunning(&last) {
		return nil
	}
	cands := rd.excludeUnpermitted(sp, &first, rd.cands)
	rooms := rd.gangRooms(sp, &first, cands)
	for _, returning := range [...]bool{false, true} {
		if returning && !slices.ContainsFunc(sp.waiting, func(tk *task) bool { return len(tk.avoid) > 0 }) {
			break
		}
		for _, room := range rooms {
			if room.slots < int64(len(sp.waiting)) {
				continue
			}
			if chosen := rd.fitGang(sp, &first, &room, cands, returning); chosen != nil {
				return chosen
			}
		}
	}
	return nil
}

// longestDown returns the task of a waiting gang that has been down for longest. The others may have run on until their
// gang was broken.
func (sp *step) longestDown() *task { return slices.MinFunc(sp.waiting, compareRestarts) }

// holdForGang holds workers for all tasks of an overdue gang that fits nowhere, or for none, and the same ones in each
// round, see holdForOverdue.
func (rd *round) holdForGang(sp *step) {
	oldest := sp.longestDown()
	dm := rd.dr.demand(oldest)
	if !rd.placingAged || !oldest.overdue(rd.now) || !rd.tryForOverdue(oldest, &dm) {
		return
	}
	chosen := rd.chooseToHold(sp, oldest)
	if count := len(slices.Compact(slices.Sorted(slices.Values(chosen)))); len(rd.heldForOverdue)+count > rd.maxHeld {
		return
	}
	for no, ix := range chosen {
		tk := sp.waiting[no]
		tk.heldOn = rd.workers[ix].info.ID
		rd.heldTasks[tk] = true
		if rv := rd.heldFor[ix]; rv != nil {
			rv.add(dm.Needs)
			rd.holdCandidate(ix)
			continue
		}
		rd.heldForOverdue = append(rd.heldForOverdue, ix)
		rd.hold(tk, &dm, ix)
	}
}

// chooseToHold returns the index of a worker for each task of a gang once the runs that end by themselves have ended, or
// nil if the gang does not fit then either. It prefers the workers that were held for the gang before, then those with
// the most free processors.
func (rd *round) chooseToHold(sp *step, oldest *task) []int {
	dm := rd.dr.demand(oldest)
	rd.applyReserve(oldest, &dm)
	cands := slices.Clone(rd.cands)
	var notAsked []int
	for ix, wk := range rd.workers {
		cands[ix].Free = wk.free.Plus(wk.ending)
		cands[ix].Excluded = cands[ix].Excluded || rd.heldFor[ix] != nil || !rd.policyAllowsHold(sp, &dm, ix)
		if rd.heldFor[ix] == nil && rd.notAskedAbout(sp, &dm, ix) {
			notAsked = append(notAsked, ix)
		}
	}
	for _, room := range rd.gangRooms(sp, &dm, cands) {
		if room.slots < int64(len(sp.waiting)) {
			continue
		}
		first := rd.preferredRoom(sp, &dm, &room, cands)
		if chosen := rd.fitGang(sp, &dm, &first, cands, false); chosen != nil {
			return chosen
		}
		if chosen := rd.fitGang(sp, &dm, &room, cands, false); chosen != nil {
			return chosen
		}
	}
	rd.requestForReservation(sp, notAsked)
	return nil
}

// preferredRoom returns the part of a room with enough capacity for a gang that chooseToHold prefers.
func (rd *round) preferredRoom(sp *step, dm *placer.Demand, room *gangRoom, cands []placer.Candidate) gangRoom {
	// heldBefore holds 1 for a worker that was held for the gang in an earlier round.
	heldBefore := map[modeler.WorkerID]int{}
	for _, tk := range sp.waiting {
		heldBefore[tk.heldOn] = 1
	}
	order := slices.Clone(room.indices)
	slices.SortStableFunc(order, func(one, two int) int {
		first, second := rd.workers[one], rd.workers[two]
		return -cmp.Or(cmp.Compare(heldBefore[first.info.ID], heldBefore[second.info.ID]), cmp.Compare(first.free.MilliCores, second.free.MilliCores))
	})
	part := gangRoom{rack: room.rack}
	for _, ix := range order {
		if part.slots >= int64(len(sp.waiting)) {
			break
		}
		part.add(ix, gangSlots(sp, dm, &cands[ix]))
	}
	return part
}

// fitGang returns the index of a worker for each task of a gang, or nil if the gang does not fit into the room. It
// reserves capacity of the candidates while it chooses. If returning is set, short tasks may go back to workers that they
// avoid.
func (rd *round) fitGang(sp *step, first *placer.Demand, room *gangRoom, cands []placer.Candidate, returning bool) []int {
	reserved := placer.Reservation(first.Needs, first.BestEffort)
	var chosen []int
	defer func() {
		for _, ix := range chosen {
			cands[ix].Free = cands[ix].Free.Plus(reserved)
			cands[ix].SameStepTasks--
		}
	}()
	for _, tk := range sp.waiting {
		dm := rd.dr.demand(tk)
		if rd.mayReturn(tk, &dm) {
			dm.Avoid = nil
		}
		if returning {
			rd.allowReturn(tk, &dm, cands)
		}
		dm.Rack = room.rack
		reduceReserve(&dm, first, len(chosen))
		ix := rd.chooseOf(&dm, cands, room.indices)
		if ix < 0 {
			return nil
		}
		cands[ix].Free = cands[ix].Free.Minus(reserved)
		cands[ix].SameStepTasks++
		chosen = append(chosen, ix)
	}
	return chosen
}

// reduceReserve sets what decides on the reserve for short tasks for a task of a gang after a number of others.
func reduceReserve(dm, first *placer.Demand, others int) {
	dm.Headroom, dm.PoolSlots = first.Headroom-int64(others)*dm.Needs.MilliCores, first.PoolSlots-int64(others)
}

// startGang places all tasks of a gang with the same run number and checkpoint.
func (rd *round) startGang(sp *step, chosen []int) {
	var run modeler.Run
	checkpoint := ""
	for _, tk := range sp.tasks {
		run = max(run, rd.dr.nextRun(tk))
		// A checkpoint of any member is one of the whole gang. The one with the greatest name is taken
		// as the newest: names are expected to sort by age, which nothing here checks.
		checkpoint = max(checkpoint, tk.checkpoint)
	}
	for ix, tk := range slices.Clone(sp.waiting) {
		// placeTask takes the next run number, which then is run for all tasks of the gang.
		tk.lastRun, tk.checkpoint = run-1, checkpoint
		rd.placeTask(tk, chosen[ix])
	}
	sp.gangRun = run
}
