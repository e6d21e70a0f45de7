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
	longRunning bool
	// step is set for a step with a limit per worker, which counts only its own tasks.
	step *step
}

// selection holds the cost of a demand on each of the round's candidates. A placement changes one candidate, so
// that a step with many tasks, or many steps that need the same, cost little more than one task. It answers the
// load of fleets with hundreds of workers, where to look at each worker for each task takes most of a leader's
// processor time.
type selection struct {
	// costs is infinite for a worker that is not feasible.
	costs []float64
	// changes is the part of round.changed, and newTrials that of the forecast's, that costs includes.
	changes, newTrials int
}

// chooseQuickly returns the index of the worker that choose returns for a demand, or -1 if choose has to decide:
// for a demand that fits nowhere, for which the pool has too little capacity, or that needs permits.
func (rd *round) chooseQuickly(sp *step, dm *placer.Demand) int {
	if dm.LongRunning && !placer.AllowsLongRunning(dm) || rd.dr.queue(sp.occ.job).Policy != nil {
		return -1
	}
	key := selectionKey{pool: rd.pool, needs: dm.Needs, label: dm.Label, rack: dm.DataRack, bestEffort: dm.BestEffort, longRunning: dm.LongRunning}
	if usesForecast(dm) {
		key.image = dm.Image
	}
	if dm.MaxPerWorker > 0 {
		key.step = sp
	}
	sl := rd.selections[key]
	if sl == nil {
		sl = &selection{costs: make([]float64, len(rd.workers))}
		rd.selections[key] = sl
		rd.updateCosts(sl, sp, dm, true)
	} else {
		rd.updateCosts(sl, sp, dm, false)
	}
	best, minCost := -1, math.Inf(1)
	avoids := placer.HasAlternative(dm, rd.cands)
	for ix, cost := range sl.costs {
		if cost < minCost && !(avoids && slices.Contains(dm.Avoid, rd.workers[ix].info.ID)) {
			best, minCost = ix, cost
		}
	}
	return best
}

// updateCosts computes the costs of the candidates that changed since the last time, or of all.
func (rd *round) updateCosts(sl *selection, sp *step, dm *placer.Demand, all bool) {
	var fc *forecast
	contentionDemand := -1
	if usesForecast(dm) {
		fc, contentionDemand = rd.forecast(dm.Image), rd.contentionDemand(dm)
		all = all || fc.anyUntried && sl.newTrials != fc.newTrials
	}
	update := func(ix int) {
		if dm.MaxPerWorker > 0 {
			rd.cands[ix].SameStepTasks = sp.perWorker[rd.workers[ix].info.ID]
		}
		if fc != nil {
			rd.applyForecastTo(ix, dm, fc, contentionDemand)
		}
		rd.dr.usage.costsComputed++
		sl.costs[ix] = placer.Cost(dm, &rd.cands[ix])
	}
	if all {
		for ix := range rd.workers {
			update(ix)
		}
	} else {
		for _, ix := range rd.changed[sl.changes:] {
			update(ix)
		}
	}
	sl.changes = len(rd.changed)
	if fc != nil {
		sl.newTrials = fc.newTrials
	}
}
