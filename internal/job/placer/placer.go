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
	// Serves marks a task with a tail target, Fills one that uses idle processors.
	Serves, Fills bool
	Image         string
	// Avoid lists workers on which the task has failed or made no progress.
	Avoid []modeler.WorkerID
	// Lasts marks a task that does not end by itself.
	Lasts bool
	// Spare is the room of the whole pool beyond the part that is kept for short tasks, and Slots how
	// many such tasks the pool has room for.
	Spare int64
	Slots int64
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
	// ServingCores is what the serving tasks reserve. They leave a part of it idle.
	ServingCores int64
	// OtherImages is set when the worker serves, but no task of the demand's image.
	OtherImages bool
	// Barred is set when the task may not run there: the worker is of another pool or not permitted.
	Barred bool
	// Harm is the part of the strain that the task adds, or for a serving task the strain that the
	// work that fills there would give it.
	Harm float64
	// Rate is the harm that the task would do to the most sensitive serving image if it used all
	// processors of the worker.
	Rate float64
	// Trials is how many tasks of the demand's image run beside a serving image of the worker with
	// which it was not seen long enough to know its harm.
	Trials int
	// FirstTrial is set when there is no such task yet, and nothing speaks against one.
	FirstTrial bool
	// Doubted is set when the image once harmed such a serving image badly.
	Doubted bool
	// Mixed is set when another image that fills there is untried with a serving image with which the
	// demand's image is untried too.
	Mixed bool
	// Contest is the highest pressure of other images that fill on the worker, see Contests.
	Contest float64
	// Distrust is 0 for a sound worker and rises with its faults. At 1 and above the worker is
	// used only when no other has room.
	Distrust float64
	// Strain is the highest load of the worker's serving tasks, as a share of the load at their
	// targets, that is expected with the task there.
	Strain float64
	// Ahead is what Strain will be by the end of a usual task that fills.
	Ahead float64
	// SameStep is the number of the step's tasks there.
	SameStep int
}

// Costs of a choice. They only order candidates: a task goes to the cheapest.
const (
	// costDistrust is that of a worker with a distrust of 1.
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
	others := Elsewhere(dm, cands)
	for ix := range cands {
		if !Allowed(dm, &cands[ix]) || others && slices.Contains(dm.Avoid, cands[ix].Worker.ID) {
			continue
		}
		if cost := cost(dm, &cands[ix]); cost < lowest {
			best, lowest = ix, cost
		}
	}
	return best
}

// Elsewhere reports whether a task that avoids workers could run on another one, now or later.
func Elsewhere(dm *Demand, cands []Candidate) bool {
	return len(dm.Avoid) > 0 && slices.ContainsFunc(cands, func(cd Candidate) bool {
		return !cd.Barred && Suits(dm, cd.Worker) && !slices.Contains(dm.Avoid, cd.Worker.ID)
	})
}

// Allowed reports whether the worker may run the task and has room for it.
func Allowed(dm *Demand, cd *Candidate) bool {
	return !cd.Barred && Suits(dm, cd.Worker) && (dm.PerWorker <= 0 || cd.SameStep < dm.PerWorker) &&
		reserved(dm).Fits(cd.Free) && (!dm.Fills || mayFill(dm, cd)) && (!dm.Lasts || mayLast(dm))
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

// Harmless reports whether work that fills would harm nobody badly on a worker, given its harm to the
// most sensitive serving image there if it used all processors.
func Harmless(rate float64) bool { return rate <= mostRate }

// Explain tells why a task waits.
func Explain(dm *Demand, cands []Candidate) Reasons {
	var rs Reasons
	for ix := range cands {
		cd := &cands[ix]
		switch {
		case cd.Barred || !Suits(dm, cd.Worker):
			rs.Unsuited++
		case dm.PerWorker > 0 && cd.SameStep >= dm.PerWorker:
			rs.Crowded++
		case !reserved(dm).Fits(cd.Free):
			rs.Full++
		case dm.Fills && !mayFill(dm, cd):
			rs.Disturbed++
		case dm.Lasts && !mayLast(dm):
			rs.Reserved++
		default:
			rs.Open++
		}
	}
	return rs
}

// mayLast reports whether a task that does not end leaves room for short ones. It is not kept
// waiting where there is room for two of its kind.
func mayLast(dm *Demand) bool { return dm.Spare >= dm.Needs.MilliCores || dm.Slots > 1 }

// Slots returns how many tasks of the needs fit into a room.
func Slots(needs, room modeler.Resources) int64 {
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

// ShortShare is the part of a pool's processors that tasks which do not end leave to short ones.
// Short urgent jobs need about half of it on average, and come in bursts.
const ShortShare = 0.06

// mayFill reports whether work that fills gets enough of the worker to be of use and is unlikely to
// disturb its serving tasks, beside which it would be halted.
func mayFill(dm *Demand, cd *Candidate) bool {
	if cd.Doubted && cd.Trials >= mostDoubted {
		return false
	}
	if cd.Serving > 0 && (cd.Strain > fullStrain || cd.Harm > mostHarm || !Harmless(cd.Rate) && cd.Ahead > heavyStrain) {
		return false
	}
	idle := float64(Idle(cd))
	wish := float64(cd.FillingCores + dm.Needs.MilliCores)
	return cd.Filling == 0 && idle > 0 || wish <= fillLimit*idle
}

// Idle returns the processors, in thousandths of a core, that work that fills can expect to get.
func Idle(cd *Candidate) int64 {
	return max(0, cd.Free.MilliCores) + int64(servingIdle*float64(cd.ServingCores))
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
	sum := costDistrust * cd.Distrust
	if dm.DataRack != "" && cd.Worker.Rack != dm.DataRack {
		sum += costFar * max(dm.Far-1, 0.1)
	}
	switch {
	case dm.Fills:
		sum += costStrain*cd.Strain + costContest*cd.Contest
		if cd.FirstTrial {
			sum -= gainTrial
		} else {
			sum += costMixed * cd.Harm
		}
		if cd.Trials >= mostTrials || cd.Mixed {
			sum += costTrial
		}
		// The worker with the most idle processors is the least likely to lose them to other work.
		left := Idle(cd) - cd.FillingCores - dm.Needs.MilliCores
		return sum - costIdle*float64(left)/float64(max(cd.Worker.Capacity.MilliCores, 1))
	case dm.Serves:
		sum += costMixed * cd.Harm
		if cd.Serving == 0 {
			sum += costOpen
		}
		if cd.OtherImages {
			sum += costOther
		}
	case cd.Filling > 0:
		// Other work takes processors from work that fills.
		sum += costIdle
	}
	return sum + costIdle*idleShare(cd, dm.Needs.MilliCores)
}

// idleShare is the share of the worker's processors that is idle once more are used.
func idleShare(cd *Candidate, more int64) float64 {
	return float64(cd.Free.MilliCores-more) / float64(max(cd.Worker.Capacity.MilliCores, 1))
}
