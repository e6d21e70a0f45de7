// Package placer chooses the worker of a task. The choice is a pure function of the room and the
// neighbours on each worker. It answers the load of mixed installations: long-running tasks that
// serve users, short steps that must start at once, and work that fills idle processors and
// disturbs whatever serves beside it.
package placer

import (
	"math"
	"slices"

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
	// LatencyCritical marks a task with a tail target, BestEffort one that uses idle processors.
	LatencyCritical, BestEffort bool
	Image                       string
	// Avoid lists workers on which the task has failed or made no progress.
	Avoid []modeler.WorkerID
	// LongRunning marks a task that does not end by itself.
	LongRunning bool
	// Headroom is the free capacity of the whole pool beyond the reserve for short tasks, in
	// thousandths of a core. It is negative when the reserve is in use.
	Headroom int64
	// PoolSlots is how many tasks with these needs the free capacity of the pool takes.
	PoolSlots int64
	// RemoteDataFactor is how many times as long the task takes off its DataRack.
	RemoteDataFactor float64
}

// Candidate is a worker that takes new tasks.
type Candidate struct {
	Worker *modeler.Worker
	// Free is the capacity less all reservations. Parts may be negative when the worker runs what
	// this leader did not place.
	Free modeler.Resources
	// LatencyCriticalTasks and BestEffortTasks are the numbers of such tasks there.
	LatencyCriticalTasks, BestEffortTasks int
	// BestEffortMilliCores is what the best-effort tasks ask for, in thousandths of a core.
	BestEffortMilliCores int64
	// LatencyCriticalMilliCores is what the latency-critical tasks reserve. They leave a part of it idle.
	LatencyCriticalMilliCores int64
	// OtherImages is set when the worker runs latency-critical tasks, but none of the demand's image.
	OtherImages bool
	// Excluded is set when the task may not run there: the worker is of another pool or not permitted.
	Excluded bool
	// AddedRelativeLoad is the part of RelativeLoad that the task adds, or for a latency-critical
	// task the relative load that the best-effort work there would add to it.
	AddedRelativeLoad float64
	// Interference is the load that the task would add to the most sensitive latency-critical image
	// if it used all processors of the worker.
	Interference float64
	// Trials is how many tasks of the demand's image run beside a latency-critical image of the
	// worker with which it was not observed long enough to know the interference.
	Trials int
	// FirstTrial is set when there is no such task yet, and nothing speaks against one.
	FirstTrial bool
	// InterferenceSuspected is set when the image once interfered badly with such an image.
	InterferenceSuspected bool
	// ConfoundedTrial is set when another best-effort image there is untried with a latency-critical
	// image with which the demand's image is untried too.
	ConfoundedTrial bool
	// Contention is the highest pressure of other best-effort images on the worker, see Contentions.
	Contention float64
	// FaultScore is 0 for a sound worker and rises with its faults. At 1 and above the worker is
	// used only when no other has room.
	FaultScore float64
	// RelativeLoad is the highest load of the worker's latency-critical tasks, as a share of the load at their
	// targets, that is expected with the task there.
	RelativeLoad float64
	// FutureRelativeLoad is what RelativeLoad will be by the end of a usual best-effort task.
	FutureRelativeLoad float64
	// SameStep is the number of the step's tasks there.
	SameStep int
}

// Costs of a choice. They only order candidates: a task goes to the cheapest.
const (
	// costDistrust is that of a worker with a fault score of 1.
	costDistrust = 100.0
	// costMixed is that of harm as large as the load at the target.
	costMixed = 60.0
	// costStrain is that of serving tasks near their target, which may need the processors next.
	costStrain = 3.0
	// costContest is that of a worker which other work that fills needs as much as there is idle.
	costContest = 3.0
	// costTrial is that of a further task beside an image to which its harm is being learned.
	costTrial = 5.0
	// gainTrial is what one task beside an image to which its harm is not known is worth. It is learned
	// by one task before many need the room.
	gainTrial = 2.0
	// costFar is that of a worker on which the task takes twice as long.
	costFar = 30.0
	// costOpen is that of the first serving task on a worker, which closes it to work that fills.
	costOpen = 10.0
	// costOther is that of a serving task beside others of other images. Work that fills harms only
	// some images, so workers of one image stay open to more of it.
	costOther = 20.0
	// costIdle is the share of the worker's processors that would be left idle. A task goes where it
	// fits best, so that large tasks find room.
	costIdle = 1.0
)

const (
	// fullStrain is the strain from which no more work that fills joins a worker, and mostHarm how
	// much of it one task may add. The rest is kept for the swings of the serving tasks.
	fullStrain, mostHarm = 0.97, 0.2
	// mostRate is the harm of a pair of images from which work that fills joins only workers whose
	// serving tasks will have a strain below heavyStrain while it runs. Elsewhere it would be halted
	// for most of the time.
	mostRate, heavyStrain = 0.6, 0.75
	// mostTrials is how many tasks of an image suffice to learn its harm to another image.
	mostTrials = 4
	// mostDoubted is that of an image that is believed to do harm and has not been seen there for long.
	mostDoubted = 1
	// fillLimit is how much of the idle processors work that fills may ask for in all. Beyond it
	// the tasks would only slow each other, and the first of them end later.
	fillLimit = 1.1
	// servingIdle is the part of their reservations that serving tasks leave idle most of the time.
	servingIdle = 0.4
)

// Choose returns the index of the cheapest candidate that has room, or -1. A worker on which the
// task has failed is chosen only where no other could run it: a further failure may be the job's last.
func Choose(dm *Demand, cands []Candidate) int {
	best, lowest := -1, math.Inf(1)
	others := HasAlternative(dm, cands)
	for ix := range cands {
		if !Feasible(dm, &cands[ix]) || others && slices.Contains(dm.Avoid, cands[ix].Worker.ID) {
			continue
		}
		if cost := cost(dm, &cands[ix]); cost < lowest {
			best, lowest = ix, cost
		}
	}
	return best
}

// HasAlternative reports whether a task that avoids workers could run on another one, now or later.
func HasAlternative(dm *Demand, cands []Candidate) bool {
	return len(dm.Avoid) > 0 && slices.ContainsFunc(cands, func(cd Candidate) bool {
		return !cd.Excluded && Matches(dm, cd.Worker) && !slices.Contains(dm.Avoid, cd.Worker.ID)
	})
}

// Feasible reports whether the worker may run the task and has enough free capacity for it.
func Feasible(dm *Demand, cd *Candidate) bool {
	return !cd.Excluded && Matches(dm, cd.Worker) && (dm.PerWorker <= 0 || cd.SameStep < dm.PerWorker) &&
		reserved(dm).Fits(cd.Free) && (!dm.BestEffort || mayFill(dm, cd)) && (!dm.LongRunning || mayLast(dm))
}

// Reasons counts workers by why they do not take a task.
type Reasons struct {
	// Unsuited workers never could: by label, rack or size.
	Unsuited int
	// Crowded workers run as many tasks of the step as they may.
	Crowded int
	// Full workers have not enough room, Reserved ones have it kept for short tasks.
	Full, Reserved int
	// Disturbed workers have too little idle or serving tasks that would be harmed.
	Disturbed int
	// Open workers would take it.
	Open int
}

// IsTolerable reports whether best-effort work with an interference may run beside any latency-critical
// task of a worker, given its interference with the most sensitive image there.
func IsTolerable(rate float64) bool { return rate <= mostRate }

// Explain tells why a task waits.
func Explain(dm *Demand, cands []Candidate) Reasons {
	var rs Reasons
	for ix := range cands {
		cd := &cands[ix]
		switch {
		case cd.Excluded || !Matches(dm, cd.Worker):
			rs.Unsuited++
		case dm.PerWorker > 0 && cd.SameStep >= dm.PerWorker:
			rs.Crowded++
		case !reserved(dm).Fits(cd.Free):
			rs.Full++
		case dm.BestEffort && !mayFill(dm, cd):
			rs.Disturbed++
		case dm.LongRunning && !mayLast(dm):
			rs.Reserved++
		default:
			rs.Open++
		}
	}
	return rs
}

// mayLast reports whether a task that does not end leaves room for short ones. It is not kept
// waiting where there is room for two of its kind.
func mayLast(dm *Demand) bool { return dm.Headroom >= dm.Needs.MilliCores || dm.PoolSlots > 1 }

// FitCount returns how many tasks with the needs fit into a room.
func FitCount(needs, room modeler.Resources) int64 {
	slots := int64(math.MaxInt32)
	for _, part := range [...][2]int64{
		{needs.MilliCores, room.MilliCores}, {needs.MemoryMB, room.MemoryMB}, {needs.Accelerators, room.Accelerators},
	} {
		if part[0] > 0 {
			slots = min(slots, max(0, part[1])/part[0])
		}
	}
	return slots
}

// ShortTaskReserve is the part of a pool's processors that tasks which do not end leave to short ones.
// Short urgent jobs need about half of it on average, and come in bursts.
const ShortTaskReserve = 0.06

// mayFill reports whether work that fills gets enough of the worker to be of use and is unlikely to
// disturb its serving tasks, beside which it would be halted.
func mayFill(dm *Demand, cd *Candidate) bool {
	if cd.InterferenceSuspected && cd.Trials >= mostDoubted {
		return false
	}
	if cd.LatencyCriticalTasks > 0 && (cd.RelativeLoad > fullStrain || cd.AddedRelativeLoad > mostHarm || !IsTolerable(cd.Interference) && cd.FutureRelativeLoad > heavyStrain) {
		return false
	}
	idle := float64(IdleMilliCores(cd))
	wish := float64(cd.BestEffortMilliCores + dm.Needs.MilliCores)
	return cd.BestEffortTasks == 0 && idle > 0 || wish <= fillLimit*idle
}

// IdleMilliCores returns the processors, in thousandths of a core, that best-effort work can expect
// to get.
func IdleMilliCores(cd *Candidate) int64 {
	return max(0, cd.Free.MilliCores) + int64(servingIdle*float64(cd.LatencyCriticalMilliCores))
}

// Matches reports whether the worker could run the task if it were idle.
func Matches(dm *Demand, wk *modeler.Worker) bool {
	return wk.HasLabel(dm.Label) && (dm.Rack == "" || wk.Rack == dm.Rack) && reserved(dm).Fits(wk.Capacity)
}

// reserved returns what the task takes from the room. Work that fills reserves no processors.
func reserved(dm *Demand) modeler.Resources { return Reservation(dm.Needs, dm.BestEffort) }

// Reservation returns what a task takes from the free capacity of its worker.
func Reservation(needs modeler.Resources, fills bool) modeler.Resources {
	if fills {
		needs.MilliCores = 0
	}
	return needs
}

func cost(dm *Demand, cd *Candidate) float64 {
	sum := costDistrust * cd.FaultScore
	if dm.DataRack != "" && cd.Worker.Rack != dm.DataRack {
		sum += costFar * max(dm.RemoteDataFactor-1, 0.1)
	}
	switch {
	case dm.BestEffort:
		sum += costStrain*cd.RelativeLoad + costContest*cd.Contention
		if cd.FirstTrial {
			sum -= gainTrial
		} else {
			sum += costMixed * cd.AddedRelativeLoad
		}
		if cd.Trials >= mostTrials || cd.ConfoundedTrial {
			sum += costTrial
		}
		// The worker with the most idle processors is the least likely to lose them to other work.
		left := IdleMilliCores(cd) - cd.BestEffortMilliCores - dm.Needs.MilliCores
		return sum - costIdle*float64(left)/float64(max(cd.Worker.Capacity.MilliCores, 1))
	case dm.LatencyCritical:
		sum += costMixed * cd.AddedRelativeLoad
		if cd.LatencyCriticalTasks == 0 {
			sum += costOpen
		}
		if cd.OtherImages {
			sum += costOther
		}
	case cd.BestEffortTasks > 0:
		// Other work takes processors from work that fills.
		sum += costIdle
	}
	return sum + costIdle*idleShare(cd, dm.Needs.MilliCores)
}

// idleShare is the share of the worker's processors that is idle once more are used.
func idleShare(cd *Candidate, more int64) float64 {
	return float64(cd.Free.MilliCores-more) / float64(max(cd.Worker.Capacity.MilliCores, 1))
}
