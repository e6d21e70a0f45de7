package placer

import (
	"math/bits"

	"github.com/currantrouter/currantrouter/internal/batch/estimator"
	"github.com/currantrouter/currantrouter/internal/fleet/modeler"
	"github.com/currantrouter/currantrouter/internal/provider/supervisor"
)

const (
	// interferenceWeight is the cost of a slowdown of 1 above normal, that is, of a task at half
	// speed. Interference dominates the cost.
	interferenceWeight = 1.0
	// latencyCriticalWeight multiplies the interference that a latency-critical task suffers.
	latencyCriticalWeight = 4.0
	// imbalanceWeight is the cost of leaving processors free without memory, or the reverse.
	imbalanceWeight = 0.1
	// headroomWeight is the cost of load above maxLoadWithoutPenalty.
	headroomWeight = 0.3
	// maxCriticalSlowdown is the predicted slowdown above 1 of a latency-critical task beyond which no
	// batch task is placed on its worker. The evictor acts at a slowdown above 1 of 0.25.
	maxCriticalSlowdown = 0.1
	// minCountedSlowdown is the slowdown above 1 below which one task's interference is ignored.
	minCountedSlowdown = 0.02
	// separationWeight groups latency-critical tasks and keeps batch tasks away from them, which
	// limits interference until it has been learned.
	separationWeight = 0.5
	// maxLoadWithoutPenalty is the load above which there is little headroom for usage peaks.
	maxLoadWithoutPenalty = 0.75
)

// Place selects a worker for the task without reserving capacity. It fails with one of the package's
// errors when there is none.
func (pl *Placer) Place(tk Task) (modeler.WorkerName, error) {
	if tk.Long && !pl.keepsShortReserve(tk.Reservation) {
		return "", ErrShortReserve
	}
	sr := search{placer: pl, task: tk}
	sr.run()
	if sr.best != nil {
		return sr.best.Name, nil
	}
	if sr.rackLimited {
		return "", ErrRackLimit
	}
	if sr.wouldInterfere {
		return "", ErrInterference
	}
	if !pl.Fits(tk.Reservation) {
		return "", ErrTooLarge
	}
	return "", ErrInsufficientCapacity
}

// CanPlaceOn reports whether the task fits on the worker. It ignores the unschedulable flag, because
// probes start tasks on quarantined workers.
func (pl *Placer) CanPlaceOn(name modeler.WorkerName, tk Task) bool {
	wr, ok := pl.workers[name]
	return ok && !wr.Leaving && wr.hasCapacity(tk.Reservation) && pl.withinRackLimit(wr, tk) &&
		(!tk.Long || pl.keepsShortReserve(tk.Reservation))
}

func (pl *Placer) keepsShortReserve(rs supervisor.Resources) bool {
	limit := 1 - pl.shortReserve
	reserved := add(pl.longReserved, rs)
	return float64(reserved.Millicores) <= limit*float64(pl.capacity.Millicores) &&
		float64(reserved.MemoryBytes) <= limit*float64(pl.capacity.MemoryBytes)
}

// hasCapacity checks both the free capacity and the unreserved capacity, because the usage may be
// above or below the reservations.
func (wr *worker) hasCapacity(rs supervisor.Resources) bool {
	return fitsWithin(rs, wr.free) && fitsWithin(rs, sub(wr.Capacity, wr.reserved))
}

func (pl *Placer) withinRackLimit(wr *worker, tk Task) bool {
	return tk.MaxPerRack <= 0 || pl.tasksByRack[rackKey{tk.Attempt.Job, wr.Rack}] < tk.MaxPerRack
}

// search is the search for a worker for one task. It ends after maxScored scored or maxVisited
// examined workers.
type search struct {
	placer   *Placer
	task     Task
	best     *worker
	bestCost float64
	scored   int
	visited  int
	// rackLimited is set when a worker with enough capacity was rejected for its rack.
	rackLimited bool
	// wouldInterfere is set when a worker with enough capacity was rejected because the task would
	// slow its latency-critical tasks too much.
	wouldInterfere bool
}

// run scans the rows of the grid from a random one upwards and wraps around, so that the sample
// contains workers with little and with much free capacity.
func (sr *search) run() {
	lowRow := level(sr.task.Reservation.Millicores, minLevelMillicores)
	lowColumn := level(sr.task.Reservation.MemoryBytes, minLevelBytes)
	rows := gridLevels - lowRow
	first := sr.placer.rng.IntN(rows)
	for i := range rows {
		row := lowRow + (first+i)%rows
		sr.scanRow(row, lowColumn)
		if sr.finished() {
			return
		}
	}
}

func (sr *search) scanRow(row, lowColumn int) {
	mask := sr.placer.grid.masks[row] >> lowColumn << lowColumn
	for mask != 0 && !sr.finished() {
		column := bits.TrailingZeros64(mask)
		mask &^= 1 << column
		sr.scanCell(sr.placer.grid.cells[row*gridLevels+column])
	}
}

// scanCell evaluates at most a third of maxVisited workers, so that the sample spans several cells.
func (sr *search) scanCell(ws []*worker) {
	first := sr.placer.rng.IntN(len(ws))
	for i := range min(len(ws), maxVisited/3) {
		if sr.finished() {
			return
		}
		sr.evaluate(ws[(first+i)%len(ws)])
	}
}

func (sr *search) finished() bool { return sr.scored >= maxScored || sr.visited >= maxVisited }

func (sr *search) evaluate(wr *worker) {
	sr.visited++
	if _, failed := sr.task.FailedOn[wr.Name]; failed || !wr.hasCapacity(sr.task.Reservation) {
		return
	}
	if !sr.placer.withinRackLimit(wr, sr.task) {
		sr.rackLimited = true
		return
	}
	if !sr.task.LatencyCritical && sr.placer.wouldDegrade(wr, sr.task) {
		sr.wouldInterfere = true
		return
	}
	sr.scored++
	if sc := sr.placer.cost(wr, sr.task); sr.best == nil || sc < sr.bestCost {
		sr.best, sr.bestCost = wr, sc
	}
}

// wouldDegrade reports whether a latency-critical task of the worker, which the task slows by at least
// minCountedSlowdown, would be slowed by more than maxCriticalSlowdown in total. It checks consecutive
// victims of the same kind once.
func (pl *Placer) wouldDegrade(wr *worker, tk Task) bool {
	used := maxShare(wr.Capacity, sub(wr.Capacity, sub(wr.free, tk.Reservation)))
	checked := estimator.Kind(-1)
	for _, victim := range wr.allocations {
		if !victim.LatencyCritical || victim.Kind == checked {
			continue
		}
		checked = victim.Kind
		caused := pl.predictor.Interference(victim.Kind, tk.Kind, used)
		if caused < minCountedSlowdown {
			continue
		}
		for _, al := range wr.allocations {
			if al != victim {
				caused += pl.predictor.Interference(victim.Kind, al.Kind, used)
			}
		}
		if caused > maxCriticalSlowdown {
			return true
		}
	}
	return false
}

// cost returns the cost of placing the task on the worker, from the interference suffered and caused,
// the imbalance left between free processors and free memory, the loss of headroom, and the mix of
// latency-critical and batch tasks. Lower is better.
func (pl *Placer) cost(wr *worker, tk Task) float64 {
	after := sub(wr.free, tk.Reservation)
	used := maxShare(wr.Capacity, sub(wr.Capacity, after))
	return interferenceWeight*pl.interferenceCost(wr, tk, used) +
		imbalanceWeight*imbalance(wr.Capacity, after) +
		headroomWeight*max(used-maxLoadWithoutPenalty, 0) +
		separationWeight*wr.mixedShare(tk)
}

// mixedShare returns the share of the worker's processors that is reserved by tasks of the other
// class. For a latency-critical task the share of other latency-critical tasks is subtracted.
func (wr *worker) mixedShare(tk Task) float64 {
	critical, batch := int64(0), int64(0)
	for _, al := range wr.allocations {
		if al.LatencyCritical {
			critical += al.Reservation.Millicores
		} else {
			batch += al.Reservation.Millicores
		}
	}
	if !tk.LatencyCritical {
		return share(critical, wr.Capacity.Millicores)
	}
	return share(batch-critical, wr.Capacity.Millicores)
}

func (pl *Placer) interferenceCost(wr *worker, tk Task, used float64) float64 {
	total := 0.0
	for _, al := range wr.allocations {
		suffered := pl.predictor.Interference(tk.Kind, al.Kind, used)
		caused := pl.predictor.Interference(al.Kind, tk.Kind, used)
		total += weightedSlowdown(suffered, tk.LatencyCritical) + weightedSlowdown(caused, al.LatencyCritical)
	}
	return total
}

func weightedSlowdown(slowdown float64, critical bool) float64 {
	if critical {
		return slowdown * latencyCriticalWeight
	}
	return slowdown
}

func imbalance(capacity, free supervisor.Resources) float64 {
	diff := share(free.Millicores, capacity.Millicores) - share(free.MemoryBytes, capacity.MemoryBytes)
	return max(diff, -diff)
}
