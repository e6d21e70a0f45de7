// Package placer selects workers for tasks and accounts for what each worker holds.
package placer

import (
	"errors"
	"math/rand/v2"

	"github.com/currantrouter/currantrouter/internal/batch/estimator"
	"github.com/currantrouter/currantrouter/internal/fleet/modeler"
	"github.com/currantrouter/currantrouter/internal/provider/supervisor"
)

// Reasons why a task has no worker. Callers test for them with errors.Is.
var (
	// ErrNeverFits means that no worker, even an empty one, holds the task.
	ErrNeverFits = errors.New("no configured worker is large enough")
	// ErrNoRoom means that no usable worker has enough free capacity at present.
	ErrNoRoom = errors.New("no usable worker has enough free capacity")
	// ErrShortReserve means that only the capacity kept for short work is left.
	ErrShortReserve = errors.New("only the capacity kept for short work is left")
	// ErrInterference means that the task would slow latency-critical tasks too much on every worker
	// with room.
	ErrInterference = errors.New("latency-critical tasks on the workers with room would be slowed too much")
	// ErrSpread means that every worker with room is in a rack that has its share of the job.
	ErrSpread = errors.New("the racks with room hold their share of the job")
)

const (
	// sampleSize is the number of candidates that are scored.
	sampleSize = 12
	// visitLimit bounds the workers that are looked at for one task, fitting or not.
	visitLimit = 48
	// reportsToTrust is the number of reports that must cover a task before its measured use
	// counts: the first one may have measured a part of the start.
	reportsToTrust = 2
	// DefaultShortReserve is the share of capacity that long work leaves free.
	DefaultShortReserve = 0.15
)

// Interferer predicts by how much one task of a kind slows another at a load from 0 to 1.
type Interferer interface {
	Interference(victim, aggressor estimator.Kind, load float64) float64
}

// Task is what the placer needs to know of a task.
type Task struct {
	Attempt     supervisor.Attempt
	Kind        estimator.Kind
	Reservation supervisor.Resources
	// Long work leaves the share of capacity free that is kept for short work.
	Long bool
	// LatencyCritical tasks weigh more as victims of interference.
	LatencyCritical bool
	// PerRack is the greatest number of tasks of one job in one rack, zero for no limit.
	PerRack int
	// Avoid holds workers on which the job has failed. It may be nil.
	Avoid map[modeler.WorkerName]string
}

// Placer holds the workers of one data centre. It is not safe for concurrent use.
type Placer struct {
	interferer   Interferer
	shortReserve float64
	random       *rand.Rand
	workers      map[modeler.WorkerName]*worker
	grid         grid
	// racks counts the tasks of jobs that are spread over racks.
	racks map[rackKey]int
	// capacity is the sum of what the usable workers hold, longHeld what long work holds of it.
	capacity supervisor.Resources
	longHeld supervisor.Resources
	// shapes counts the workers of each capacity, so that Fits looks at few.
	shapes map[supervisor.Resources]int
}

type rackKey struct {
	job  string
	rack string
}

// worker is one worker with its tasks.
type worker struct {
	supervisor.Worker
	tasks []*holding
	// reserved is the sum of the reservations of tasks. It never exceeds Capacity.
	reserved supervisor.Resources
	// free is Capacity minus, for each task, the larger of reservation and trusted use. It may be
	// negative when use exceeds reservations.
	free supervisor.Resources
	// blocked is set while the worker takes no new tasks: quarantine or a missing report.
	blocked bool
	// cell and position locate the worker in the grid; position is -1 when it is not in it.
	cell     int
	position int
}

// holding is one task on a worker.
type holding struct {
	Task
	use     supervisor.Resources
	reports int
}

// New returns a placer without workers. The seed fixes its random choices.
func New(in Interferer, shortReserve float64, seed uint64) *Placer {
	return &Placer{
		interferer:   in,
		shortReserve: shortReserve,
		random:       rand.New(rand.NewPCG(seed, seed)),
		workers:      make(map[modeler.WorkerName]*worker),
		racks:        make(map[rackKey]int),
		shapes:       make(map[supervisor.Resources]int),
	}
}

// SetShortReserve changes the share of capacity that long work leaves free, from 0 to 1.
func (pl *Placer) SetShortReserve(share float64) { pl.shortReserve = share }

// Upsert adds a worker or changes its capacity, rack or leaving mark. A new worker is blocked until
// SetBlocked clears it.
func (pl *Placer) Upsert(wk supervisor.Worker) {
	wr, ok := pl.workers[wk.Name]
	if !ok {
		wr = &worker{Worker: wk, free: wk.Capacity, blocked: true, position: -1}
		pl.workers[wk.Name] = wr
		pl.shapes[wk.Capacity]++
		pl.capacity = add(pl.capacity, wk.Capacity)
		return
	}
	pl.countRack(wr, -1)
	pl.shapes[wr.Capacity]--
	if pl.shapes[wr.Capacity] == 0 {
		delete(pl.shapes, wr.Capacity)
	}
	pl.shapes[wk.Capacity]++
	pl.capacity = add(sub(pl.capacity, wr.Capacity), wk.Capacity)
	wr.Worker = wk
	pl.countRack(wr, 1)
	pl.refresh(wr)
}

// Remove drops a worker and its tasks.
func (pl *Placer) Remove(name modeler.WorkerName) {
	wr, ok := pl.workers[name]
	if !ok {
		return
	}
	for len(wr.tasks) > 0 {
		pl.Release(name, wr.tasks[0].Attempt)
	}
	pl.grid.remove(wr)
	pl.shapes[wr.Capacity]--
	if pl.shapes[wr.Capacity] == 0 {
		delete(pl.shapes, wr.Capacity)
	}
	pl.capacity = sub(pl.capacity, wr.Capacity)
	delete(pl.workers, name)
}

// SetBlocked states whether the worker takes new tasks.
func (pl *Placer) SetBlocked(name modeler.WorkerName, blocked bool) {
	if wr, ok := pl.workers[name]; ok && wr.blocked != blocked {
		wr.blocked = blocked
		pl.refresh(wr)
	}
}

// Reserve sets the task's reservation aside on the worker. It reports false, and does nothing, when
// the worker is unknown or the reservations would exceed its capacity.
func (pl *Placer) Reserve(name modeler.WorkerName, tk Task) bool {
	wr, ok := pl.workers[name]
	if !ok || !fits(tk.Reservation, sub(wr.Capacity, wr.reserved)) {
		return false
	}
	pl.hold(wr, tk)
	return true
}

// Adopt sets a reservation aside that an earlier leader has made, even when it exceeds the capacity
// that the worker has by now. It reports false when the worker is unknown.
func (pl *Placer) Adopt(name modeler.WorkerName, tk Task) bool {
	wr, ok := pl.workers[name]
	if ok {
		pl.hold(wr, tk)
	}
	return ok
}

func (pl *Placer) hold(wr *worker, tk Task) {
	wr.tasks = append(wr.tasks, &holding{Task: tk})
	wr.reserved = add(wr.reserved, tk.Reservation)
	if tk.Long {
		pl.longHeld = add(pl.longHeld, tk.Reservation)
	}
	if tk.PerRack > 0 {
		pl.racks[rackKey{tk.Attempt.Job, wr.Rack}]++
	}
	pl.refresh(wr)
}

// Release gives the reservation of an attempt back. It does nothing when there is none.
func (pl *Placer) Release(name modeler.WorkerName, at supervisor.Attempt) {
	wr, ok := pl.workers[name]
	if !ok {
		return
	}
	for i, hd := range wr.tasks {
		if hd.Attempt == at {
			pl.drop(wr, i)
			return
		}
	}
}

func (pl *Placer) drop(wr *worker, i int) {
	hd := wr.tasks[i]
	last := len(wr.tasks) - 1
	wr.tasks[i] = wr.tasks[last]
	wr.tasks[last] = nil
	wr.tasks = wr.tasks[:last]
	wr.reserved = sub(wr.reserved, hd.Reservation)
	if hd.Long {
		pl.longHeld = sub(pl.longHeld, hd.Reservation)
	}
	if hd.PerRack > 0 {
		pl.addRack(rackKey{hd.Attempt.Job, wr.Rack}, -1)
	}
	pl.refresh(wr)
}

// Observe takes the measured use of an attempt from one report. It returns the number of reports
// that have covered the attempt.
func (pl *Placer) Observe(name modeler.WorkerName, at supervisor.Attempt, use supervisor.Resources) int {
	wr, ok := pl.workers[name]
	if !ok {
		return 0
	}
	for _, hd := range wr.tasks {
		if hd.Attempt == at {
			hd.reports++
			hd.use = use
			return hd.reports
		}
	}
	return 0
}

// Observed brings the index up to date once all attempts of a report were passed to Observe.
func (pl *Placer) Observed(name modeler.WorkerName) {
	if wr, ok := pl.workers[name]; ok {
		pl.refresh(wr)
	}
}

// Load returns the larger of the shares of processors and memory in use on the worker, where a task
// that two reports have not covered counts with its reservation.
func (pl *Placer) Load(name modeler.WorkerName) float64 {
	wr, ok := pl.workers[name]
	if !ok {
		return 0
	}
	return load(wr.Capacity, sub(wr.Capacity, wr.free))
}

// Reserved returns the sum of the reservations on a worker.
func (pl *Placer) Reserved(name modeler.WorkerName) supervisor.Resources {
	if wr, ok := pl.workers[name]; ok {
		return wr.reserved
	}
	return supervisor.Resources{}
}

// Capacity returns the sum of what all workers hold.
func (pl *Placer) Capacity() supervisor.Resources { return pl.capacity }

// Fits reports whether any worker would hold the reservation if it were empty.
func (pl *Placer) Fits(rs supervisor.Resources) bool {
	for shape := range pl.shapes {
		if fits(rs, shape) {
			return true
		}
	}
	return false
}

// Clamp reduces an estimate to the largest worker that holds the declared size, so that a wrong
// estimate cannot make a task impossible to place. It returns the declared size when no worker
// holds it.
func (pl *Placer) Clamp(estimate, declared supervisor.Resources) supervisor.Resources {
	if pl.Fits(estimate) {
		return estimate
	}
	for shape := range pl.shapes {
		if fits(declared, shape) {
			estimate.Millicores = min(estimate.Millicores, shape.Millicores)
			estimate.MemoryBytes = min(estimate.MemoryBytes, shape.MemoryBytes)
			return estimate
		}
	}
	return declared
}

// refresh recomputes the free capacity of a worker and moves it in the index.
func (pl *Placer) refresh(wr *worker) {
	free := wr.Capacity
	for _, hd := range wr.tasks {
		free = sub(free, hd.counted())
	}
	wr.free = free
	if wr.blocked || wr.Leaving {
		pl.grid.remove(wr)
		return
	}
	pl.grid.place(wr)
}

// counted is what a task takes of its worker: the larger of reservation and trusted use.
func (hd *holding) counted() supervisor.Resources {
	if hd.reports < reportsToTrust {
		return hd.Reservation
	}
	return supervisor.Resources{
		Millicores:   max(hd.Reservation.Millicores, hd.use.Millicores),
		MemoryBytes:  max(hd.Reservation.MemoryBytes, hd.use.MemoryBytes),
		Accelerators: max(hd.Reservation.Accelerators, hd.use.Accelerators),
	}
}

func (pl *Placer) countRack(wr *worker, delta int) {
	for _, hd := range wr.tasks {
		if hd.PerRack > 0 {
			pl.addRack(rackKey{hd.Attempt.Job, wr.Rack}, delta)
		}
	}
}

func (pl *Placer) addRack(key rackKey, delta int) {
	pl.racks[key] += delta
	if pl.racks[key] == 0 {
		delete(pl.racks, key)
	}
}

func add(a, b supervisor.Resources) supervisor.Resources {
	return supervisor.Resources{
		Millicores:   a.Millicores + b.Millicores,
		MemoryBytes:  a.MemoryBytes + b.MemoryBytes,
		Accelerators: a.Accelerators + b.Accelerators,
	}
}

func sub(a, b supervisor.Resources) supervisor.Resources {
	return supervisor.Resources{
		Millicores:   a.Millicores - b.Millicores,
		MemoryBytes:  a.MemoryBytes - b.MemoryBytes,
		Accelerators: a.Accelerators - b.Accelerators,
	}
}

func fits(need, room supervisor.Resources) bool {
	return need.Millicores <= room.Millicores && need.MemoryBytes <= room.MemoryBytes &&
		need.Accelerators <= room.Accelerators
}

// load is the larger of the shares of processors and memory.
func load(capacity, used supervisor.Resources) float64 {
	return max(share(used.Millicores, capacity.Millicores), share(used.MemoryBytes, capacity.MemoryBytes))
}

func share(part, whole int64) float64 {
	if whole <= 0 {
		return 0
	}
	return float64(part) / float64(whole)
}
