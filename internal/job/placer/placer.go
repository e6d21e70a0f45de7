// Package placer chooses the worker of a task. The choice is a pure function of the room and the
// neighbours on each worker. It answers the load of mixed installations: long-running tasks that
// serve users, short steps that must start at once, and work that fills idle processors and
// disturbs whatever serves beside it.
package placer

import (
	"math"

	"github.com/currantrouter/currantrouter/internal/job/modeler"
)

// Demand is what a task asks of a worker.
type Demand struct {
	Needs modeler.Resources
	Label string
	// DataRack is the rack near the data, or empty.
	DataRack string
	// Rack is the only rack allowed, or empty.
	Rack string
	// PerWorker bounds the tasks of the step on one worker. Zero is no bound.
	PerWorker int
	// Serves marks a task with a tail target, Fills one that uses idle processors.
	Serves, Fills bool
	Image         string
	// Avoid lists workers on which the task has failed or made no progress.
	Avoid []modeler.WorkerID
	// Far is how many times as long the task takes off its DataRack.
	Far float64
}

// Candidate is a worker that takes new tasks.
type Candidate struct {
	Worker *modeler.Worker
	// Free is the capacity less all reservations. Parts may be negative when the worker runs what
	// this leader did not place.
	Free modeler.Resources
	// Serving is the number of serving tasks, Filling that of filling tasks.
	Serving, Filling int
	// FillingCores is what the filling tasks ask for, in thousandths of a core.
	FillingCores int64
	// Distrust is 0 for a sound worker and rises with its faults. At 1 and above the worker is
	// used only when no other has room.
	Distrust float64
	// Disturbance is the expected harm, in shares of its target, that the task's image does to the
	// serving tasks of the worker or takes from its neighbours.
	Disturbance float64
	// SameStep is the number of the step's tasks there.
	SameStep int
}

// Costs of a choice. They only order candidates: a task goes to the cheapest.
const (
	// costAvoided keeps a task from a worker where it failed unless no other has room.
	costAvoided = 1000.0
	// costDistrust is that of a worker with a distrust of 1.
	costDistrust = 100.0
	// costDisturbance is that of harm of the whole target.
	costDisturbance = 60.0
	// costNeighbour separates tasks that serve from tasks that fill.
	costNeighbour = 40.0
	// costFar is that of a worker on which the task takes twice as long.
	costFar = 30.0
	// costSpread is that of the share of the worker's processors that would be left idle. A task
	// goes where it fits best, so that large tasks find room.
	costSpread = 1.0
)

// Choose returns the index of the cheapest candidate that has room, or -1.
func Choose(dm *Demand, cands []Candidate) int {
	best, lowest := -1, math.Inf(1)
	for ix := range cands {
		if !Allowed(dm, &cands[ix]) {
			continue
		}
		if cost := cost(dm, &cands[ix]); cost < lowest {
			best, lowest = ix, cost
		}
	}
	return best
}

// Allowed reports whether the worker may run the task and has room for it.
func Allowed(dm *Demand, cd *Candidate) bool {
	return Suits(dm, cd.Worker) && (dm.PerWorker <= 0 || cd.SameStep < dm.PerWorker) && reserved(dm).Fits(cd.Free)
}

// Suits reports whether the worker could run the task if it were idle.
func Suits(dm *Demand, wk *modeler.Worker) bool {
	return wk.HasLabel(dm.Label) && (dm.Rack == "" || wk.Rack == dm.Rack) && reserved(dm).Fits(wk.Capacity)
}

// reserved returns what the task takes from the room. Work that fills reserves no processors.
func reserved(dm *Demand) modeler.Resources { return Reserved(dm.Needs, dm.Fills) }

// Reserved returns what a task takes from the room of its worker.
func Reserved(needs modeler.Resources, fills bool) modeler.Resources {
	if fills {
		needs.MilliCores = 0
	}
	return needs
}

func cost(dm *Demand, cd *Candidate) float64 {
	sum := costDistrust*cd.Distrust + costDisturbance*cd.Disturbance
	for _, id := range dm.Avoid {
		if id == cd.Worker.ID {
			sum += costAvoided
		}
	}
	if dm.DataRack != "" && cd.Worker.Rack != dm.DataRack {
		sum += costFar * max(dm.Far-1, 0.1)
	}
	switch {
	case dm.Fills:
		return sum + costNeighbour*float64(cd.Serving) + idleCost(dm, cd)
	case dm.Serves:
		// Serving tasks load each other, so they spread over workers.
		return sum + costNeighbour*(float64(cd.Filling)+0.5*float64(cd.Serving)) + spreadCost(dm, cd)
	}
	// Workers with serving tasks are closed to work that fills, so other work goes there first.
	if cd.Serving > 0 {
		sum -= costSpread
	}
	if cd.Filling > 0 {
		sum += costSpread
	}
	return sum + spreadCost(dm, cd)
}

// spreadCost is the share of the processors that stay free.
func spreadCost(dm *Demand, cd *Candidate) float64 {
	whole := float64(max(cd.Worker.Capacity.MilliCores, 1))
	return costSpread * float64(cd.Free.MilliCores-dm.Needs.MilliCores) / whole
}

// idleCost is the share of its wish that a filling task would not get.
func idleCost(dm *Demand, cd *Candidate) float64 {
	idle := float64(max(cd.Free.MilliCores, 0))
	wish := float64(cd.FillingCores + dm.Needs.MilliCores)
	short := 1 - math.Min(1, idle/math.Max(wish, 1))
	// Among workers with enough idle processors the one with the most is the least likely to lose
	// them to other work.
	return costNeighbour*short + costSpread*(1-idle/float64(max(cd.Worker.Capacity.MilliCores, 1)))
}
