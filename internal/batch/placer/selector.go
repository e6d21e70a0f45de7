package placer

import (
	"math/bits"

	"github.com/currantrouter/currantrouter/internal/batch/estimator"
	"github.com/currantrouter/currantrouter/internal/fleet/modeler"
	"github.com/currantrouter/currantrouter/internal/provider/supervisor"
)

const (
	// Weights of the score; lower is better. Interference dominates: one unit is a task that
	// runs at half its speed.
	interferenceWeight = 1.0
	// criticalWeight multiplies the interference that a latency-critical task suffers.
	criticalWeight = 4.0
	fitWeight      = 0.1
	headroomWeight = 0.3
	// criticalLimit is the predicted slowdown above 1 of a latency-critical task beyond which no
	// batch task is added beside it. Eviction begins at 0.25.
	criticalLimit = 0.1
	// negligible is the slowdown by one task that does not count against it.
	negligible = 0.02
	// separationWeight draws latency-critical tasks together and batch tasks away from them, so that
	// fewer of them have batch neighbours before interference is learned.
	separationWeight = 0.5
	// comfortableLoad is the load above which headroom for swings of use gets short.
	comfortableLoad = 0.75
)

// Place selects a worker for the task. It reserves nothing. The error says why there is none.
func (pl *Placer) Place(tk Task) (modeler.WorkerName, error) {
	if tk.Long && !pl.leavesReserve(tk.Reservation) {
		return "", ErrShortReserve
	}
	sr := search{placer: pl, task: tk}
	sr.run()
	if sr.best != nil {
		return sr.best.Name, nil
	}
	if sr.spread {
		return "", ErrSpread
	}
	if sr.interferes {
		return "", ErrInterference
	}
	if !pl.Fits(tk.Reservation) {
		return "", ErrNeverFits
	}
	return "", ErrNoRoom
}

// CanPlaceOn reports whether the worker has room for the task, blocked or not. It serves probes of
// quarantined workers.
func (pl *Placer) CanPlaceOn(name modeler.WorkerName, tk Task) bool {
	wr, ok := pl.workers[name]
	return ok && !wr.Leaving && wr.room(tk.Reservation) && pl.rackAllows(wr, tk) &&
		(!tk.Long || pl.leavesReserve(tk.Reservation))
}

func (pl *Placer) leavesReserve(rs supervisor.Resources) bool {
	limit := 1 - pl.shortReserve
	held := add(pl.longHeld, rs)
	return float64(held.Millicores) <= limit*float64(pl.capacity.Millicores) &&
		float64(held.MemoryBytes) <= limit*float64(pl.capacity.MemoryBytes)
}

// room checks free capacity and the sum of reservations, because use may be above or below them.
func (wr *worker) room(rs supervisor.Resources) bool {
	return fits(rs, wr.free) && fits(rs, sub(wr.Capacity, wr.reserved))
}

func (pl *Placer) rackAllows(wr *worker, tk Task) bool {
	return tk.PerRack <= 0 || pl.racks[rackKey{tk.Attempt.Job, wr.Rack}] < tk.PerRack
}

// search is one selection. It scores at most sampleSize workers and looks at no more than
// visitLimit.
type search struct {
	placer  *Placer
	task    Task
	best    *worker
	score   float64
	scored  int
	visited int
	// spread is set when a worker with room was refused for its rack.
	spread bool
	// interferes is set when a worker with room was refused for its latency-critical tasks.
	interferes bool
}

// run visits rows of the grid from a random one upwards and wraps around, so that the sample holds
// both tight and roomy workers.
func (sr *search) run() {
	lowRow := level(sr.task.Reservation.Millicores, millicoresUnit)
	lowColumn := level(sr.task.Reservation.MemoryBytes, memoryUnit)
	rows := levels - lowRow
	first := sr.placer.random.IntN(rows)
	for i := range rows {
		row := lowRow + (first+i)%rows
		sr.scanRow(row, lowColumn)
		if sr.done() {
			return
		}
	}
}

func (sr *search) scanRow(row, lowColumn int) {
	mask := sr.placer.grid.masks[row] >> lowColumn << lowColumn
	for mask != 0 && !sr.done() {
		column := bits.TrailingZeros64(mask)
		mask &^= 1 << column
		sr.scanCell(sr.placer.grid.cells[row*levels+column])
	}
}

// scanCell looks at no more than a third of the limit in one cell, so that other cells get a turn.
func (sr *search) scanCell(ws []*worker) {
	first := sr.placer.random.IntN(len(ws))
	for i := range min(len(ws), visitLimit/3) {
		if sr.done() {
			return
		}
		sr.visit(ws[(first+i)%len(ws)])
	}
}

func (sr *search) done() bool { return sr.scored >= sampleSize || sr.visited >= visitLimit }

func (sr *search) visit(wr *worker) {
	sr.visited++
	if _, failed := sr.task.Avoid[wr.Name]; failed || !wr.room(sr.task.Reservation) {
		return
	}
	if !sr.placer.rackAllows(wr, sr.task) {
		sr.spread = true
		return
	}
	if !sr.task.LatencyCritical && sr.placer.degrades(wr, sr.task) {
		sr.interferes = true
		return
	}
	sr.scored++
	if sc := sr.placer.rate(wr, sr.task); sr.best == nil || sc < sr.score {
		sr.best, sr.score = wr, sc
	}
}

// degrades reports whether the task would bring a latency-critical task of the worker above
// criticalLimit. Tasks of one kind are looked at once.
func (pl *Placer) degrades(wr *worker, tk Task) bool {
	used := load(wr.Capacity, sub(wr.Capacity, sub(wr.free, tk.Reservation)))
	checked := estimator.Kind(-1)
	for _, victim := range wr.tasks {
		if !victim.LatencyCritical || victim.Kind == checked {
			continue
		}
		checked = victim.Kind
		caused := pl.interferer.Interference(victim.Kind, tk.Kind, used)
		if caused < negligible {
			continue
		}
		for _, hd := range wr.tasks {
			if hd != victim {
				caused += pl.interferer.Interference(victim.Kind, hd.Kind, used)
			}
		}
		if caused > criticalLimit {
			return true
		}
	}
	return false
}

// rate is the cost of putting the task on the worker: the interference suffered and caused, the
// imbalance that it leaves between processors and memory, and the headroom that it takes.
func (pl *Placer) rate(wr *worker, tk Task) float64 {
	after := sub(wr.free, tk.Reservation)
	used := load(wr.Capacity, sub(wr.Capacity, after))
	return interferenceWeight*pl.interference(wr, tk, used) +
		fitWeight*imbalance(wr.Capacity, after) +
		headroomWeight*max(used-comfortableLoad, 0) +
		separationWeight*wr.mixing(tk)
}

// mixing is the share of the worker that tasks of the other sort hold, less the share that
// latency-critical tasks hold when the task is one itself.
func (wr *worker) mixing(tk Task) float64 {
	critical, batch := int64(0), int64(0)
	for _, hd := range wr.tasks {
		if hd.LatencyCritical {
			critical += hd.Reservation.Millicores
		} else {
			batch += hd.Reservation.Millicores
		}
	}
	if !tk.LatencyCritical {
		return share(critical, wr.Capacity.Millicores)
	}
	return share(batch-critical, wr.Capacity.Millicores)
}

func (pl *Placer) interference(wr *worker, tk Task, used float64) float64 {
	sum := 0.0
	for _, hd := range wr.tasks {
		suffered := pl.interferer.Interference(tk.Kind, hd.Kind, used)
		caused := pl.interferer.Interference(hd.Kind, tk.Kind, used)
		sum += weigh(suffered, tk.LatencyCritical) + weigh(caused, hd.LatencyCritical)
	}
	return sum
}

func weigh(slowdown float64, critical bool) float64 {
	if critical {
		return slowdown * criticalWeight
	}
	return slowdown
}

func imbalance(capacity, free supervisor.Resources) float64 {
	diff := share(free.Millicores, capacity.Millicores) - share(free.MemoryBytes, capacity.MemoryBytes)
	return max(diff, -diff)
}
