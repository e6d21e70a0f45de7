package director

import (
	"math"
	"slices"

	"github.com/currantrouter/currantrouter/internal/job/modeler"
	"github.com/currantrouter/currantrouter/internal/job/placer"
)

// selectionKey identifies demands that have the same cost on every worker.
type selectionKey struct {
	pool        modeler.PoolName
	needs       modeler.Resources
	label, rack string
	image       string
	bestEffort  bool
	starved     bool
	disturbs    bool
	longRunning bool
	// step is set for a step with a limit per worker, which counts only its own tasks.
	step *step
}

// sufficientCandidates is the number of feasible workers among which a selection chooses, if the order of the others
// does not matter, see examinesAll.
const sufficientCandidates = 96

// selection holds the cost of a demand on the round's candidates that it has examined. A placement changes one
// candidate, so that a step with many tasks, or many steps that need the same, cost little more than one task. It
// examines candidates until there are enough feasible ones, like the relaxed randomization of Borg. It answers the
// load of fleets with hundreds of workers, where to look at each worker for each step takes most of a leader's
// processor time.
type selection struct {
	// costs is infinite for a worker that is not feasible, and for one that was not examined.
	costs []float64
	// first is the index of the candidate that was examined first, and examined the number of those that follow it in a
	// circle and were examined, with itself. feasible is the number of finite costs.
	first, examined, feasible int
	// changes is the part of round.changed, and newTrials that of the forecast's, that costs includes.
	changes, newTrials int
}

// examinesAll reports whether each worker is examined for a demand: the place of a long-running task matters for long,
// and few workers are near a task's data.
func examinesAll(dm *placer.Demand) bool { return dm.LongRunning || dm.DataRack != "" }

// chooseQuickly returns the index of the worker for a demand, or -1 if choose has to decide: for a demand that fits
// nowhere, for which the pool has too little capacity, or that needs permits. none is set if it is known that no
// worker is feasible, not even one that the demand avoids.
func (rd *round) chooseQuickly(sp *step, dm *placer.Demand) (index int, none bool) {
	if rd.dr.policy(sp.occ.job) != nil {
		return -1, false
	}
	if dm.LongRunning && !placer.AllowsLongRunning(dm) {
		return -1, true
	}
	key := selectionKey{pool: rd.pool, needs: dm.Needs, label: dm.Label, rack: dm.DataRack, bestEffort: dm.BestEffort, starved: dm.Starved, disturbs: dm.Disturbs, longRunning: dm.LongRunning}
	if usesForecast(dm) {
		key.image = dm.Image
	}
	if dm.MaxPerWorker > 0 {
		key.step = sp
	}
	sl := rd.selections[key]
	if sl == nil {
		sl = rd.newSelection()
		rd.selections[key] = sl
	}
	cu := rd.costUpdate(sl, sp, dm)
	cu.updateChanged()
	cu.examine()
	best, minCost := -1, math.Inf(1)
	avoids := placer.HasAlternative(dm, rd.cands)
	for ix, cost := range sl.costs {
		if cost < minCost && !(avoids && slices.Contains(dm.Avoid, rd.workers[ix].info.ID)) {
			best, minCost = ix, cost
		}
	}
	return best, sl.feasible == 0 && sl.examined == len(rd.workers)
}

// chooseOf returns the index of the best candidate for a demand among those with the indices, or -1 if none is feasible.
func (rd *round) chooseOf(dm *placer.Demand, cands []placer.Candidate, indices []int) int {
	rd.dr.usage.costsComputed += len(indices)
	return placer.Choose(dm, cands, indices)
}

// chooseAmong returns the same among all candidates.
func (rd *round) chooseAmong(dm *placer.Demand, cands []placer.Candidate) int {
	return rd.chooseOf(dm, cands, rd.allIndices())
}

// newSelection returns a selection that has examined no candidate. It begins where the last one ended, so that
// selections share the workers.
func (rd *round) newSelection() *selection {
	sl := &selection{costs: make([]float64, len(rd.workers)), changes: len(rd.changed)}
	for ix := range sl.costs {
		sl.costs[ix] = math.Inf(1)
	}
	if len(rd.workers) > 0 {
		sl.first = rd.dr.nextExamined % len(rd.workers)
	}
	return sl
}

// costUpdate computes costs of a selection.
type costUpdate struct {
	rd *round
	sl *selection
	sp *step
	dm *placer.Demand
	// fc is nil for a demand without a forecast, contentionDemand is that of applyForecastTo.
	fc               *forecast
	contentionDemand int
}

func (rd *round) costUpdate(sl *selection, sp *step, dm *placer.Demand) *costUpdate {
	cu := &costUpdate{rd: rd, sl: sl, sp: sp, dm: dm, contentionDemand: -1}
	if usesForecast(dm) {
		cu.fc, cu.contentionDemand = rd.forecast(dm.Image), rd.contentionDemand(dm)
	}
	return cu
}

// examine examines further candidates until there are enough feasible ones.
func (cu *costUpdate) examine() {
	sl, count := cu.sl, len(cu.rd.workers)
	for sl.examined < count && (sl.feasible < sufficientCandidates || examinesAll(cu.dm)) {
		ix := (sl.first + sl.examined) % count
		sl.examined++
		cu.update(ix)
		cu.rd.dr.nextExamined = ix + 1
	}
}

// updateChanged computes the costs again of the examined candidates that changed since the last time.
func (cu *costUpdate) updateChanged() {
	sl, rd := cu.sl, cu.rd
	for _, ix := range rd.changed[sl.changes:] {
		if sl.hasExamined(ix) {
			cu.update(ix)
		}
	}
	sl.changes = len(rd.changed)
	if cu.fc == nil || sl.newTrials == cu.fc.newTrials {
		return
	}
	sl.newTrials = cu.fc.newTrials
	for ix, cost := range sl.costs {
		// More trials make no worker feasible.
		if !math.IsInf(cost, 1) && len(rd.prediction(ix, cu.dm, cu.fc).untried) > 0 {
			cu.update(ix)
		}
	}
}

// hasExamined reports whether the candidate with the index was examined.
func (sl *selection) hasExamined(ix int) bool {
	return (ix-sl.first+len(sl.costs))%len(sl.costs) < sl.examined
}

// update computes the cost of the candidate with the index.
func (cu *costUpdate) update(ix int) {
	rd, sl, cd := cu.rd, cu.sl, &cu.rd.cands[ix]
	if !math.IsInf(sl.costs[ix], 1) {
		sl.feasible--
	}
	if cu.dm.MaxPerWorker > 0 {
		cd.SameStepTasks = cu.sp.perWorker[rd.workers[ix].info.ID]
	}
	sl.costs[ix] = math.Inf(1)
	refused := cu.dm.BestEffort && !cu.dm.Disturbs && cu.fc.refused != nil && cu.fc.refused[ix]
	if !refused && placer.HasCapacity(cu.dm, cd) {
		if cu.fc != nil {
			rd.applyForecastTo(ix, cu.dm, cu.fc, cu.contentionDemand)
		}
		rd.dr.usage.costsComputed++
		sl.costs[ix] = placer.Cost(cu.dm, cd)
		if cu.dm.BestEffort && !placer.AllowsInterference(cd) {
			rd.refuse(cu.fc, ix)
		}
	}
	if !math.IsInf(sl.costs[ix], 1) {
		sl.feasible++
	}
}
