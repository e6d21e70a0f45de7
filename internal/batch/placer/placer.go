// Package placer selects workers for tasks and accounts for the reservations on each worker.
package placer

import (
	"errors"
	"math/rand/v2"

	"github.com/currantrouter/currantrouter/internal/batch/estimator"
	"github.com/currantrouter/currantrouter/internal/fleet/modeler"
	"github.com/currantrouter/currantrouter/internal/provider/supervisor"
)

// Reasons why Place finds no worker. Callers test for them with errors.Is.
var (
	// ErrTooLarge means that the task would not fit on any worker, even an empty one.
	ErrTooLarge = errors.New("no configured worker is large enough")
	// ErrInsufficientCapacity means that no schedulable worker has enough free capacity now.
	ErrInsufficientCapacity = errors.New("no usable worker has enough free capacity")
	// ErrShortReserve means that a long task would use capacity reserved for short tasks.
	ErrShortReserve = errors.New("only the capacity kept for short work is left")
	// ErrInterference means that, on every worker with enough capacity, the task would slow
	// latency-critical tasks too much.
	ErrInterference = errors.New("latency-critical tasks on the workers with room would be slowed too much")
	// ErrRackLimit means that every worker with enough capacity is in a rack that already runs
	// Task.MaxPerRack tasks of the job.
	ErrRackLimit = errors.New("the racks with room hold their share of the job")
)

const (
	// maxScored bounds the feasible workers that are scored for one task.
	maxScored = 12
	// maxVisited bounds the workers that are examined for one task, feasible or not.
	maxVisited = 48
	// minUsageReports is the number of reports that must cover a task before its measured usage
	// counts. The first report may cover only part of the task's startup.
	minUsageReports = 2
	// DefaultShortReserve is the share of capacity that long tasks leave free for short ones.
	DefaultShortReserve = 0.15
)

// InterferencePredictor predicts interference between co-located tasks.
type InterferencePredictor interface {
	// Interference returns the slowdown, 0 for none, that one task of the kind aggressor causes to a
	// task of the kind victim at a load from 0 to 1.
	Interference(victim, aggressor estimator.Kind, load float64) float64
}

// Task describes a task to place.
type Task struct {
	Attempt     supervisor.Attempt
	Kind        estimator.Kind
	Reservation supervisor.Resources
	// Long tasks must not use the capacity reserved for short tasks.
	Long bool
	// LatencyCritical tasks weigh more as victims of interference.
	LatencyCritical bool
	// MaxPerRack bounds the tasks of the job in one rack; zero means no limit.
	MaxPerRack int
	// FailedOn maps the workers on which the job has failed, which Place avoids, to the reasons. It
	// may be nil.
	FailedOn map[modeler.WorkerName]string
}

// Placer tracks the workers of one data centre and their reservations. It is not safe for
// concurrent use.
type Placer struct {
	predictor    InterferencePredictor
	shortReserve float64
	rng          *rand.Rand
	workers      map[modeler.WorkerName]*worker
	grid         grid
	// tasksByRack counts the tasks of jobs with a rack limit.
	tasksByRack map[rackKey]int
	// capacity is the total capacity of all workers.
	capacity supervisor.Resources
	// longReserved is the sum of the reservations of long tasks.
	longReserved supervisor.Resources
	// workersByCapacity counts the workers of each capacity, so that Fits checks each distinct
	// capacity only once.
	workersByCapacity map[supervisor.Resources]int
}

type rackKey struct {
	job  string
	rack string
}

// worker is a worker with its allocations and its place in the grid.
type worker struct {
	supervisor.Worker
	allocations []*allocation
	// reserved is the sum of the reservations. Reserve keeps it within Capacity; Adopt may not.
	reserved supervisor.Resources
	// free is Capacity minus the effective use of each allocation. It is negative when the usage
	// exceeds the reservations by more than the rest of the capacity.
	free supervisor.Resources
	// unschedulable is set while the worker takes no new tasks, such as in quarantine or before its
	// first report.
	unschedulable bool
	// cell and position locate the worker in the grid. Position is -1 while it is not in the grid.
	cell     int
	position int
}

// allocation is a task with its reservation on a worker.
type allocation struct {
	Task
	// usage is the usage in the last report.
	usage supervisor.Resources
	// reports counts the reports that have covered the task.
	reports int
}

// New returns a placer without workers. The seed makes its random choices reproducible.
func New(in InterferencePredictor, shortReserve float64, seed uint64) *Placer {
	return &Placer{
		predictor:         in,
		shortReserve:      shortReserve,
		rng:               rand.New(rand.NewPCG(seed, seed)),
		workers:           make(map[modeler.WorkerName]*worker),
		tasksByRack:       make(map[rackKey]int),
		workersByCapacity: make(map[supervisor.Resources]int),
	}
}

// SetShortReserve changes the share of capacity, from 0 to 1, that long tasks leave free.
func (pl *Placer) SetShortReserve(share float64) { pl.shortReserve = share }

// Upsert adds a worker or changes its capacity, rack or Leaving flag. A new worker is unschedulable
// until SetUnschedulable clears the flag.
func (pl *Placer) Upsert(wk supervisor.Worker) {
	wr, ok := pl.workers[wk.Name]
	if !ok {
		wr = &worker{Worker: wk, free: wk.Capacity, unschedulable: true, position: -1}
		pl.workers[wk.Name] = wr
		pl.workersByCapacity[wk.Capacity]++
		pl.capacity = add(pl.capacity, wk.Capacity)
		return
	}
	pl.addAllocationsToRack(wr, -1)
	pl.workersByCapacity[wr.Capacity]--
	if pl.workersByCapacity[wr.Capacity] == 0 {
		delete(pl.workersByCapacity, wr.Capacity)
	}
	pl.workersByCapacity[wk.Capacity]++
	pl.capacity = add(sub(pl.capacity, wr.Capacity), wk.Capacity)
	wr.Worker = wk
	pl.addAllocationsToRack(wr, 1)
	pl.updateFree(wr)
}

// Remove removes a worker and its allocations.
func (pl *Placer) Remove(name modeler.WorkerName) {
	wr, ok := pl.workers[name]
	if !ok {
		return
	}
	for len(wr.allocations) > 0 {
		pl.Release(name, wr.allocations[0].Attempt)
	}
	pl.grid.remove(wr)
	pl.workersByCapacity[wr.Capacity]--
	if pl.workersByCapacity[wr.Capacity] == 0 {
		delete(pl.workersByCapacity, wr.Capacity)
	}
	pl.capacity = sub(pl.capacity, wr.Capacity)
	delete(pl.workers, name)
}

// SetUnschedulable sets whether Place skips the worker.
func (pl *Placer) SetUnschedulable(name modeler.WorkerName, unschedulable bool) {
	if wr, ok := pl.workers[name]; ok && wr.unschedulable != unschedulable {
		wr.unschedulable = unschedulable
		pl.updateFree(wr)
	}
}

// Reserve adds the task's reservation to the worker. It reports false, and does nothing, when the
// worker is unknown or its reservations would exceed its capacity.
func (pl *Placer) Reserve(name modeler.WorkerName, tk Task) bool {
	wr, ok := pl.workers[name]
	if !ok || !fitsWithin(tk.Reservation, sub(wr.Capacity, wr.reserved)) {
		return false
	}
	pl.allocate(wr, tk)
	return true
}

// Adopt adds a reservation that an earlier leader made, even when the worker's capacity has since
// shrunk below it. It reports false when the worker is unknown.
func (pl *Placer) Adopt(name modeler.WorkerName, tk Task) bool {
	wr, ok := pl.workers[name]
	if ok {
		pl.allocate(wr, tk)
	}
	return ok
}

func (pl *Placer) allocate(wr *worker, tk Task) {
	wr.allocations = append(wr.allocations, &allocation{Task: tk})
	wr.reserved = add(wr.reserved, tk.Reservation)
	if tk.Long {
		pl.longReserved = add(pl.longReserved, tk.Reservation)
	}
	if tk.MaxPerRack > 0 {
		pl.tasksByRack[rackKey{tk.Attempt.Job, wr.Rack}]++
	}
	pl.updateFree(wr)
}

// Release removes the reservation of an attempt, if there is one.
func (pl *Placer) Release(name modeler.WorkerName, at supervisor.Attempt) {
	wr, ok := pl.workers[name]
	if !ok {
		return
	}
	for i, al := range wr.allocations {
		if al.Attempt == at {
			pl.deallocate(wr, i)
			return
		}
	}
}

func (pl *Placer) deallocate(wr *worker, i int) {
	al := wr.allocations[i]
	last := len(wr.allocations) - 1
	wr.allocations[i] = wr.allocations[last]
	wr.allocations[last] = nil
	wr.allocations = wr.allocations[:last]
	wr.reserved = sub(wr.reserved, al.Reservation)
	if al.Long {
		pl.longReserved = sub(pl.longReserved, al.Reservation)
	}
	if al.MaxPerRack > 0 {
		pl.addToRack(rackKey{al.Attempt.Job, wr.Rack}, -1)
	}
	pl.updateFree(wr)
}

// ObserveUsage records the measured usage of an attempt from one report. It returns the number of
// reports that have covered the attempt. UpdateIndex must follow once per report.
func (pl *Placer) ObserveUsage(name modeler.WorkerName, at supervisor.Attempt, usage supervisor.Resources) int {
	wr, ok := pl.workers[name]
	if !ok {
		return 0
	}
	for _, al := range wr.allocations {
		if al.Attempt == at {
			al.reports++
			al.usage = usage
			return al.reports
		}
	}
	return 0
}

// UpdateIndex updates the worker's free capacity after all attempts of a report were passed to
// ObserveUsage.
func (pl *Placer) UpdateIndex(name modeler.WorkerName) {
	if wr, ok := pl.workers[name]; ok {
		pl.updateFree(wr)
	}
}

// Load returns the larger of the worker's shares of processors and memory in effective use, and 0 for
// an unknown worker.
func (pl *Placer) Load(name modeler.WorkerName) float64 {
	wr, ok := pl.workers[name]
	if !ok {
		return 0
	}
	return maxShare(wr.Capacity, sub(wr.Capacity, wr.free))
}

// Reserved returns the sum of the reservations on a worker.
func (pl *Placer) Reserved(name modeler.WorkerName) supervisor.Resources {
	if wr, ok := pl.workers[name]; ok {
		return wr.reserved
	}
	return supervisor.Resources{}
}

// Capacity returns the total capacity of all workers.
func (pl *Placer) Capacity() supervisor.Resources { return pl.capacity }

// Fits reports whether the reservation fits on any worker, even if only an empty one.
func (pl *Placer) Fits(rs supervisor.Resources) bool {
	for shape := range pl.workersByCapacity {
		if fitsWithin(rs, shape) {
			return true
		}
	}
	return false
}

// Clamp reduces an estimate to the capacity of a worker on which the declared size fits, so that an
// estimate that is too large cannot make a task unplaceable. When the declared size fits on no
// worker, it returns the declared size.
func (pl *Placer) Clamp(estimate, declared supervisor.Resources) supervisor.Resources {
	if pl.Fits(estimate) {
		return estimate
	}
	for shape := range pl.workersByCapacity {
		if fitsWithin(declared, shape) {
			estimate.Millicores = min(estimate.Millicores, shape.Millicores)
			estimate.MemoryBytes = min(estimate.MemoryBytes, shape.MemoryBytes)
			return estimate
		}
	}
	return declared
}

// updateFree recomputes the free capacity of a worker and updates the grid.
func (pl *Placer) updateFree(wr *worker) {
	free := wr.Capacity
	for _, al := range wr.allocations {
		free = sub(free, al.effectiveUse())
	}
	wr.free = free
	if wr.unschedulable || wr.Leaving {
		pl.grid.remove(wr)
		return
	}
	pl.grid.update(wr)
}

// effectiveUse returns what the task counts for on its worker: the larger of its reservation and its
// usage, or the reservation until minUsageReports reports have covered it.
func (al *allocation) effectiveUse() supervisor.Resources {
	if al.reports < minUsageReports {
		return al.Reservation
	}
	return supervisor.Resources{
		Millicores:   max(al.Reservation.Millicores, al.usage.Millicores),
		MemoryBytes:  max(al.Reservation.MemoryBytes, al.usage.MemoryBytes),
		Accelerators: max(al.Reservation.Accelerators, al.usage.Accelerators),
	}
}

func (pl *Placer) addAllocationsToRack(wr *worker, delta int) {
	for _, al := range wr.allocations {
		if al.MaxPerRack > 0 {
			pl.addToRack(rackKey{al.Attempt.Job, wr.Rack}, delta)
		}
	}
}

func (pl *Placer) addToRack(key rackKey, delta int) {
	pl.tasksByRack[key] += delta
	if pl.tasksByRack[key] == 0 {
		delete(pl.tasksByRack, key)
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

func fitsWithin(need, free supervisor.Resources) bool {
	return need.Millicores <= free.Millicores && need.MemoryBytes <= free.MemoryBytes &&
		need.Accelerators <= free.Accelerators
}

// maxShare returns the larger of the shares of processors and memory.
func maxShare(capacity, used supervisor.Resources) float64 {
	return max(share(used.Millicores, capacity.Millicores), share(used.MemoryBytes, capacity.MemoryBytes))
}

func share(part, whole int64) float64 {
	if whole <= 0 {
		return 0
	}
	return float64(part) / float64(whole)
}
