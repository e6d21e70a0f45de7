package placer

import (
	"math/bits"

	"github.com/currantrouter/currantrouter/internal/fleet/modeler"
	"github.com/currantrouter/currantrouter/internal/platform/supervisor"
)

const (
	// Weights of the score; lower is better. Interference dominates: one unit is a task that
	// runs at half its speed.
	interferenceWeight = 1.0
	// criticalWeight multiplies the interference that a latency-critical task suffers.
	criticalWeight = 4.0
	fitWeight      = 0.1
	headroomWeight = 0.3
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
	sr.scored++
	if sc := sr.placer.rate(wr, sr.task); sr.best == nil || sc < sr.score {
		sr.best, sr.score = wr, sc
	}
}

// rate is the cost of putting the task on the worker: the interference suffered and caused, the
// imbalance that it leaves between processors and memory, and the headroom that it takes.
func (pl *Placer) rate(wr *worker, tk Task) float64 {
	after := sub(wr.free, tk.Reservation)
	used := load(wr.Capacity, sub(wr.Capacity, after))
	return interferenceWeight*pl.interference(wr, tk, used) +
		fitWeight*imbalance(wr.Capacity, after) +
		headroomWeight*max(used-comfortableLoad, 0)
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
