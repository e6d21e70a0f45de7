// Package placer chooses the worker on which a task runs. The choice is a pure function of the free
// capacity and the other tasks of each worker. It is made for deployments with mixed load:
// long-running latency-critical tasks, short tasks that must start at once, and best-effort tasks,
// which use idle processors and interfere with the latency-critical tasks of the same worker.
//
// The load of a latency-critical task and the interference of a pair of images are those of package
// estimator. A relative load is a load divided by the load at which the task's tail latency reaches
// its target. A pair of a latency-critical and a best-effort image is untried until both have been
// observed on one worker long enough to know the interference; a best-effort task that runs there
// until then is a trial.
package placer

import (
	"math"
	"slices"

	"github.com/currantrouter/currantrouter/internal/job/modeler"
)

// Demand is what a task requires of a worker.
type Demand struct {
	Needs modeler.Resources
	// Label is a label that the worker must have. Empty means none.
	Label string
	// DataRack is the rack near the task's data. It is empty when there is none.
	DataRack string
	// Rack is the only rack allowed. Empty means any.
	Rack string
	// MaxPerWorker is the maximum number of tasks of the step on one worker. Zero means no limit.
	MaxPerWorker int
	// LatencyCritical marks a task with a tail latency target.
	LatencyCritical bool
	// BestEffort marks a task that uses idle processors and reserves none.
	BestEffort bool
	// Starved marks a best-effort task whose job has no run. It may share the processors of a worker
	// beyond what is idle there.
	Starved bool
	// Disturbs marks a starved task that no worker can run without interference. It may run beside any
	// latency-critical task, at the pace that this one allows.
	Disturbs bool
	// Image names the program of the task.
	Image string
	// Avoid lists workers on which the task failed, or from which it was moved because of a lack of
	// progress, a drain, a quarantine or interference. They are used only when there is no
	// alternative, see HasAlternative.
	Avoid []modeler.WorkerID
	// LongRunning marks a task that does not end by itself.
	LongRunning bool
	// Headroom is the free processors of the whole pool less the reserve for short tasks, in
	// thousandths of a core. It is negative when a part of the reserve is in use. It is set only
	// for long-running tasks.
	Headroom int64
	// PoolSlots is how many tasks with these needs fit into the free capacity of the pool. It is
	// set only for long-running tasks.
	PoolSlots int64
	// RemoteDataFactor is the run time on another rack divided by that on the DataRack.
	RemoteDataFactor float64
}

// Candidate is a worker that accepts new tasks.
type Candidate struct {
	Worker *modeler.Worker
	// Free is the capacity less all reservations. A resource may be negative when the worker runs
	// tasks that this leader did not place.
	Free modeler.Resources
	// BestEffortMemoryMB is memory that best-effort tasks may use in addition to Free.
	BestEffortMemoryMB int64
	// LatencyCriticalTasks is the number of latency-critical tasks there.
	LatencyCriticalTasks int
	// BestEffortTasks is the number of best-effort tasks there.
	BestEffortTasks int
	// BestEffortMilliCores is the sum of the needs of the best-effort tasks, in thousandths of a
	// core.
	BestEffortMilliCores int64
	// LatencyCriticalMilliCores is what the latency-critical tasks reserve, in thousandths of a
	// core. They leave a part of it idle.
	LatencyCriticalMilliCores int64
	// OnlyOtherImages is set when the worker runs latency-critical tasks, but none of the demand's
	// image.
	OnlyOtherImages bool
	// Excluded is set when the task may not run there: the worker is of another pool, or the policy
	// service did not permit it.
	Excluded bool
	// LongLease is set when the worker may hold a longer lease than its leader extends. A long-running task does not go
	// there, as it would have to wait for the end of that lease if the worker were lost.
	LongLease bool
	// AddedRelativeLoad is the highest relative load that a best-effort task would add to a
	// latency-critical task there. For a latency-critical task it is the load, not divided by the
	// load at the target, that the best-effort tasks there would add to it.
	AddedRelativeLoad float64
	// Interference is the load that the task would add to the most sensitive latency-critical image
	// there if it used all processors of the worker. Untried pairs do not count.
	Interference float64
	// Trials is the number of trials, on all workers, of the pair that the demand's image forms
	// with a latency-critical image of this worker. If several such pairs are untried, it is the
	// highest number.
	Trials int
	// FirstTrial is set when the task would be the first trial of a pair, Interference is
	// tolerable, and neither InterferenceSuspected nor ConfoundedTrial is set.
	FirstTrial bool
	// InterferenceSuspected is set when one of the untried pairs was once seen to interfere badly.
	InterferenceSuspected bool
	// ConfoundedTrial is set when another best-effort image on the worker is on trial with the same
	// latency-critical image. The interference of the two images could not be distinguished.
	ConfoundedTrial bool
	// Contention is the highest pressure of other best-effort images on the worker, see Contention.
	Contention float64
	// FaultScore is 0 for a worker without recent faults and rises with each fault. From 1 on, the
	// worker is in effect chosen only when no other is feasible.
	FaultScore float64
	// RelativeLoad is the expected highest relative load of the worker's latency-critical tasks
	// once the task runs there.
	RelativeLoad float64
	// FutureRelativeLoad is the expected RelativeLoad at the end of a typical best-effort run.
	FutureRelativeLoad float64
	// SameStepTasks is the number of tasks of the same step there.
	SameStepTasks int
}

// Terms of a placement cost. A task goes to the feasible candidate with the lowest cost. Costs have
// no unit; only their order counts.
const (
	// costFaultScore is the cost of a fault score of 1.
	costFaultScore = 100.0
	// costAddedRelativeLoad is the cost of an AddedRelativeLoad of 1.
	costAddedRelativeLoad = 60.0
	// costRelativeLoad is the cost of a RelativeLoad of 1 for a best-effort task. Latency-critical
	// tasks near their target may soon need the processors.
	costRelativeLoad = 3.0
	// costContention is the cost of a Contention of 1 for a best-effort task.
	costContention = 3.0
	// costFurtherTrial is the cost of a trial that gives little information: there are already
	// sufficientTrials, or the trial is confounded.
	costFurtherTrial = 5.0
	// gainFirstTrial reduces the cost of a first trial, so that the interference of the pair is
	// known before many tasks need the worker.
	gainFirstTrial = 2.0
	// costRemoteData is the cost of a worker on which the task takes twice as long because it is
	// not on the DataRack.
	costRemoteData = 30.0
	// costFirstCritical is the cost of the first latency-critical task on a worker, which from then
	// on is closed to the best-effort images that interfere with it.
	costFirstCritical = 10.0
	// costMixedImages is the cost of a latency-critical task beside such tasks of other images
	// only. Best-effort images interfere with some images only, so workers with a single
	// latency-critical image can run more of them.
	costMixedImages = 20.0
	// costIdleShare is the cost of leaving all processors of the worker free. Tasks thus go where
	// they fit best, and large tasks find free capacity. A best-effort task gains by it instead. It
	// is also the cost of taking processors from best-effort tasks.
	costIdleShare = 1.0
)

const (
	// maxRelativeLoad is the highest RelativeLoad of a worker that a best-effort task may join. The
	// margin below 1 is for variations of the latency-critical load.
	maxRelativeLoad = 0.97
	// maxAddedRelativeLoad is the highest AddedRelativeLoad of a best-effort task.
	maxAddedRelativeLoad = 0.2
	// maxTolerableInterference is the highest interference with which a best-effort task may join a
	// worker regardless of its FutureRelativeLoad.
	maxTolerableInterference = 0.6
	// maxFutureRelativeLoad is the highest FutureRelativeLoad of a worker that a best-effort task
	// with more than the tolerable interference may join. On others it would be halted for most of
	// the time.
	maxFutureRelativeLoad = 0.75
	// sufficientTrials is how many tasks of an image suffice to estimate the interference of a
	// pair.
	sufficientTrials = 4
	// maxSuspectedTrials is the highest number of trials at a time for a pair with suspected
	// interference.
	maxSuspectedTrials = 1
	// maxDemandPerIdle is the highest ratio of the needs of all best-effort tasks on a worker to
	// its idle processors. With more, the tasks would only slow each other, and the first of them
	// would end later.
	maxDemandPerIdle = 1.1
	// criticalIdleShare is the share of their reservations that latency-critical tasks leave idle
	// most of the time.
	criticalIdleShare = 0.4
)

// Choose returns the index of the feasible candidate with the lowest cost among those with the indices, or -1 when none
// of these is feasible. A worker that the demand avoids is chosen only when no other could ever run the task: a
// further failure may make the job fail.
func Choose(dm *Demand, cands []Candidate, indices []int) int {
	best, minCost := -1, math.Inf(1)
	hasAlternative := HasAlternative(dm, cands)
	for _, ix := range indices {
		if hasAlternative && slices.Contains(dm.Avoid, cands[ix].Worker.ID) {
			continue
		}
		if cost := Cost(dm, &cands[ix]); cost < minCost {
			best, minCost = ix, cost
		}
	}
	return best
}

// TrialsMatter reports whether a candidate with the number of trials differs from one with fewer.
func TrialsMatter(trials int) bool {
	return trials == 1 || trials == maxSuspectedTrials || trials == sufficientTrials
}

// Cost returns the cost of running the task on the worker, without regard to Avoid. It is infinite if that is
// not feasible.
func Cost(dm *Demand, cd *Candidate) float64 {
	if !Feasible(dm, cd) {
		return math.Inf(1)
	}
	return placementCost(dm, cd)
}

// HasAlternative reports whether the demand avoids workers and a candidate that it does not avoid
// could run the task, now or when it has free capacity.
func HasAlternative(dm *Demand, cands []Candidate) bool {
	return len(dm.Avoid) > 0 && slices.ContainsFunc(cands, func(cd Candidate) bool {
		return !cd.Excluded && Matches(dm, cd.Worker) && !slices.Contains(dm.Avoid, cd.Worker.ID)
	})
}

// Feasible reports whether the task may run on the worker and fits into its free capacity.
func Feasible(dm *Demand, cd *Candidate) bool {
	return HasCapacity(dm, cd) && (!dm.BestEffort || dm.Disturbs || AllowsInterference(cd)) && (!dm.LongRunning || AllowsLongRunning(dm))
}

// HasCapacity reports whether the worker has free capacity for the task. What the task does to the latency-critical
// tasks there does not matter, so that the fields of the candidate on loads, interference and trials need not be set.
func HasCapacity(dm *Demand, cd *Candidate) bool {
	return !cd.Excluded && hasFree(dm, cd) && (dm.MaxPerWorker <= 0 || cd.SameStepTasks < dm.MaxPerWorker) &&
		(!dm.BestEffort || hasIdleProcessors(dm, cd)) && !(dm.LongRunning && cd.LongLease) && Matches(dm, cd.Worker)
}

// hasFree reports whether what the task reserves is free.
func hasFree(dm *Demand, cd *Candidate) bool {
	free := cd.Free
	if dm.BestEffort {
		free.MemoryMB += cd.BestEffortMemoryMB
	}
	return reservationOf(dm).Fits(free)
}

// Reasons counts candidates by why they are not feasible for a task.
type Reasons struct {
	// Unsuited workers could never run the task: they are excluded, or lack the label, the rack or
	// the capacity.
	Unsuited int
	// Crowded workers run the maximum number of tasks of the step.
	Crowded int
	// Full workers have too little free capacity.
	Full int
	// Reserved workers are those of a pool whose free capacity is reserved for short tasks, and those with a LongLease
	// for a long-running task.
	Reserved int
	// Disturbed workers have too few idle processors for a best-effort task, or latency-critical
	// tasks with which it would interfere.
	Disturbed int
	// Open workers are feasible.
	Open int
}

// IsTolerable reports whether a best-effort task may run beside latency-critical tasks regardless
// of how their load develops, given its interference with the most sensitive of them.
func IsTolerable(interference float64) bool { return interference <= maxTolerableInterference }

// CountReasons counts the reasons why a task waits. A candidate counts for the first reason that
// applies.
func CountReasons(dm *Demand, cands []Candidate) Reasons {
	var rs Reasons
	for ix := range cands {
		cd := &cands[ix]
		switch {
		case cd.Excluded || !Matches(dm, cd.Worker):
			rs.Unsuited++
		case dm.MaxPerWorker > 0 && cd.SameStepTasks >= dm.MaxPerWorker:
			rs.Crowded++
		case !hasFree(dm, cd):
			rs.Full++
		case dm.BestEffort && !(hasIdleProcessors(dm, cd) && AllowsInterference(cd)):
			rs.Disturbed++
		case dm.LongRunning && (cd.LongLease || !AllowsLongRunning(dm)):
			rs.Reserved++
		default:
			rs.Open++
		}
	}
	return rs
}

// AllowsLongRunning reports whether the pool's free capacity allows one more long-running task: the
// reserve for short tasks stays free, or the free capacity fits at least two such tasks.
func AllowsLongRunning(dm *Demand) bool {
	return dm.Headroom >= dm.Needs.MilliCores || dm.PoolSlots > 1
}

// FitCount returns how many tasks with the needs fit into free capacity. It is math.MaxInt32 for
// tasks without needs.
func FitCount(needs, free modeler.Resources) int64 {
	count := int64(math.MaxInt32)
	for _, pair := range [...][2]int64{
		{needs.MilliCores, free.MilliCores}, {needs.MemoryMB, free.MemoryMB}, {needs.Accelerators, free.Accelerators},
	} {
		switch {
		case pair[0] <= 0:
		case pair[1] < pair[0]:
			return 0
		default:
			count = min(count, pair[1]/pair[0])
		}
	}
	return count
}

// ShortTaskReserve is the share of a pool's processors that long-running tasks leave free for short
// ones. Short urgent jobs need about half of it on average, and come in bursts.
const ShortTaskReserve = 0.06

// AllowsInterference reports whether a best-effort task is unlikely to interfere with the worker's latency-critical
// tasks. If it did, it would be halted.
func AllowsInterference(cd *Candidate) bool {
	if cd.InterferenceSuspected && cd.Trials >= maxSuspectedTrials {
		return false
	}
	return cd.LatencyCriticalTasks == 0 || cd.RelativeLoad <= maxRelativeLoad && cd.AddedRelativeLoad <= maxAddedRelativeLoad &&
		(IsTolerable(cd.Interference) || cd.FutureRelativeLoad <= maxFutureRelativeLoad)
}

// hasIdleProcessors reports whether a best-effort task would get enough of the worker's processors. For the first
// best-effort task on a worker, any idle processors are enough.
func hasIdleProcessors(dm *Demand, cd *Candidate) bool {
	if dm.Starved {
		return true
	}
	idle := float64(IdleMilliCores(cd))
	demanded := float64(cd.BestEffortMilliCores + dm.Needs.MilliCores)
	return cd.BestEffortTasks == 0 && idle > 0 || demanded <= maxDemandPerIdle*idle
}

// IdleMilliCores returns the processors that all best-effort tasks on the worker together can
// expect to get, in thousandths of a core.
func IdleMilliCores(cd *Candidate) int64 {
	return max(0, cd.Free.MilliCores) + int64(criticalIdleShare*float64(cd.LatencyCriticalMilliCores))
}

// Matches reports whether the worker has the label, the rack and, when nothing runs there, the
// capacity for the task.
func Matches(dm *Demand, wk *modeler.Worker) bool {
	return wk.HasLabel(dm.Label) && (dm.Rack == "" || wk.Rack == dm.Rack) && reservationOf(dm).Fits(wk.Capacity)
}

// reservationOf returns what the task reserves of its worker.
func reservationOf(dm *Demand) modeler.Resources { return Reservation(dm.Needs, dm.BestEffort) }

// Reservation returns what a task reserves of its worker. Best-effort tasks reserve no processors.
func Reservation(needs modeler.Resources, bestEffort bool) modeler.Resources {
	if bestEffort {
		needs.MilliCores = 0
	}
	return needs
}

// placementCost returns the cost of running the task on the worker, as the sum of the terms above.
func placementCost(dm *Demand, cd *Candidate) float64 {
	sum := costFaultScore * cd.FaultScore
	if dm.DataRack != "" && cd.Worker.Rack != dm.DataRack {
		sum += costRemoteData * max(dm.RemoteDataFactor-1, 0.1)
	}
	switch {
	case dm.BestEffort:
		sum += costRelativeLoad*cd.RelativeLoad + costContention*cd.Contention
		if dm.Disturbs {
			// The best-effort tasks there may add as much, which reports do not show yet.
			sum += costAddedRelativeLoad * cd.AddedRelativeLoad * float64(cd.BestEffortMilliCores) / float64(max(dm.Needs.MilliCores, 1))
		}
		if cd.FirstTrial {
			sum -= gainFirstTrial
		} else {
			sum += costAddedRelativeLoad * cd.AddedRelativeLoad
		}
		if cd.Trials >= sufficientTrials || cd.ConfoundedTrial {
			sum += costFurtherTrial
		}
		// The worker with the most idle processors is the least likely to lose them to other tasks.
		left := IdleMilliCores(cd) - cd.BestEffortMilliCores - dm.Needs.MilliCores
		return sum - costIdleShare*float64(left)/float64(max(cd.Worker.Capacity.MilliCores, 1))
	case dm.LatencyCritical:
		sum += costAddedRelativeLoad * cd.AddedRelativeLoad
		if cd.LatencyCriticalTasks == 0 {
			sum += costFirstCritical
		}
		if cd.OnlyOtherImages {
			sum += costMixedImages
		}
	case cd.BestEffortTasks > 0:
		// The task would take processors from the best-effort tasks there.
		sum += costIdleShare
	}
	return sum + costIdleShare*freeShare(cd, dm.Needs.MilliCores)
}

// freeShare returns the share of the worker's processors that stays free when more of them, in
// thousandths of a core, are reserved.
func freeShare(cd *Candidate, reserved int64) float64 {
	return float64(cd.Free.MilliCores-reserved) / float64(max(cd.Worker.Capacity.MilliCores, 1))
}
