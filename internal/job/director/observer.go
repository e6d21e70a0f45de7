package director

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/currantrouter/currantrouter/internal/job/estimator"
	"github.com/currantrouter/currantrouter/internal/job/pacer"
	"github.com/currantrouter/currantrouter/internal/telemetry/logger"
	"github.com/currantrouter/currantrouter/internal/telemetry/meter"
)

const (
	// maxMoves bounds how often a task is moved from workers that look slow, as the task itself may
	// take unusually long.
	maxMoves = 2
	// minCheckedPace is the pace, in percent, from which a lack of progress is taken for a fault of
	// the worker. Below it, a run is slow because it is paced.
	minCheckedPace = 50
)

const (
	// minAddedRelativeLoad is the added relative load from which best-effort work is held
	// responsible for the load of its neighbours.
	minAddedRelativeLoad = 0.01
	// maxUnpacedInterference is the interference below which an image is not paced. Interference is
	// the load that the image would add if it used all processors of the worker.
	maxUnpacedInterference = 0.1
	// minMoveInterference is the interference, in the same unit, from which a task of an image is
	// moved.
	minMoveInterference = 0.7
	// maxSiblingLoadAge is the age up to which the load of a sibling is used for a comparison.
	maxSiblingLoadAge = 1200 * time.Millisecond
	// riseWeight is the weight of a new observation in the exponentially weighted average of a
	// load's rise per second.
	riseWeight = 0.4
	// minRiseInterval is the least time between two reports from which a rise is computed.
	minRiseInterval = 200 * time.Millisecond
	// haltGracePercent is the percentage of Limits.OverTargetGrace for which a latency-critical task
	// may be over its target before all best-effort work on its worker is halted, whatever the pair
	// estimates are. The rest of the grace covers the time until the halt shows in a report, which
	// is up to a second.
	haltGracePercent = 40
	// unknownPace is the pace of a run that an earlier leader may have paced. Reports do not list it.
	unknownPace = -1
)

// checkRuns looks for stalled and slow runs on a worker, and moves runs away from a draining one.
func (dr *Director) checkRuns(wk *worker, now time.Time) {
	if !wk.info.Draining && now.Sub(wk.checkedAt) < dr.estimateAge() {
		return
	}
	wk.checkedAt = now
	for _, at := range wk.listAttempts() {
		spec := at.task.step.spec
		switch {
		case at.state != active || at.stopping:
			// There is no progress to check, or the run is about to end.
		case wk.info.Draining:
			dr.drainRun(wk, at, now)
		case spec.LongRunning || spec.Gang || at.pace < minCheckedPace || at.task.moves >= maxMoves:
			// These runs are exempt from the progress check.
		default:
			dr.checkProgress(wk, at, now)
		}
	}
}

// checkProgress moves a run that is stalled or slow, and records a fault of its worker.
func (dr *Director) checkProgress(wk *worker, at *attempt, now time.Time) {
	tk, restart := at.task, dr.op.Limits.StopGrace+dr.op.Limits.RestoreTime
	if !at.runProgress.MayLag(restart, now) {
		return
	}
	typical := tk.step.typicalRunTime(at, now)
	if typical == 0 && tk.step.spec.BestEffort {
		return
	}
	stalled := at.runProgress.Stalled(typical, tk.step.spec.Estimate, now)
	slow := !stalled && at.runProgress.Slow(typical, tk.savedShare, restart, now)
	if !stalled && !slow {
		return
	}
	dr.log(logger.RunSlow, "Task", tk.id().String(), "Run", at.run, "Worker", wk.info.ID, "Progress", at.progress,
		"Age", now.Sub(at.answeredAt).String(), "Usual", typical.String(), "Stalled", stalled)
	quarantined := !tk.step.spec.BestEffort && wk.faultHistory.RecordFault(tk.step.occ.job.ID, now)
	dr.moveRun(at, "slow or stalled")
	if quarantined {
		dr.quarantine(wk, "runs of several jobs are slow")
	}
}

// drainRun moves a run away from a draining worker unless it is expected to end there in time. A run
// without progress also stays, unless its step takes checkpoints.
func (dr *Director) drainRun(wk *worker, at *attempt, now time.Time) {
	if at.task.step.spec.LongRunning {
		dr.stopRun(at, "worker is draining")
		return
	}
	left := at.runProgress.ExpectedRemaining(now)
	if left == 0 && at.adopted {
		left = at.task.step.spec.Estimate * time.Duration(max(0, 100-at.progress)) / 100
	}
	if left > 0 && left < wk.info.MinRemaining || at.progress == 0 && !at.task.step.spec.Checkpoints {
		return
	}
	dr.moveRun(at, "worker is draining")
}

// paceBestEffort observes the interference on a worker, paces its best-effort tasks where
// latency-critical ones are near their target, and moves those that interfere most. Load here is
// the busy share of the queue as which a latency-critical task is modelled. It is derived from the
// tail latency, not from processor use: see package estimator.
func (dr *Director) paceBestEffort(wk *worker, now time.Time) {
	wk.usage = wk.bestEffortUsage()
	if wk.bestEffortTasks == 0 {
		return
	}
	loads, usage := wk.medianLoads(), wk.usage
	dr.observeInterference(wk, loads, usage, now)
	nearest, relativeLoad := dr.highestRelativeLoad(loads)
	addedRelativeLoad := 0.0
	if nearest != nil {
		spec := nearest.spec
		addedRelativeLoad = dr.model.TotalInterference(spec.Image, usage) / dr.model.LoadAtTarget(spec.Image, spec.TailTarget)
		if addedRelativeLoad < minAddedRelativeLoad {
			addedRelativeLoad = 0
		}
	}
	haltAll := wk.longestOverTarget(now) >= dr.op.Limits.OverTargetGrace*haltGracePercent/100
	if wk.pace.Update(relativeLoad, addedRelativeLoad, haltAll, now) {
		dr.log(logger.WorkerPaced, "Worker", wk.info.ID, "Percent", wk.pace.Percent(), "Strain", relativeLoad, "Caused", addedRelativeLoad, "Filling", wk.bestEffortTasks, "Serving", wk.criticalTasks)
	}
	for _, at := range wk.listAttempts() {
		if !at.task.step.spec.BestEffort || at.state != active || at.stopping {
			continue
		}
		interference := 0.0
		if nearest != nil {
			interference = dr.model.Interference(nearest.spec.Image, at.task.step.spec.Image)
		}
		percent := wk.pace.Percent()
		unpaced := interference < maxUnpacedInterference && !haltAll
		if unpaced {
			percent = pacer.FullPace
		}
		if interference >= minMoveInterference && relativeLoad >= pacer.SlowThreshold && at.task.moves < maxMoves {
			dr.moveRun(at, "interferes with a latency-critical task")
			percent = 0
		}
		// The load may be below the target only because an earlier leader paced the run.
		keep := at.pace == unknownPace && percent == pacer.FullPace && !unpaced && relativeLoad >= pacer.RaiseThreshold
		if at.pace != percent && !keep {
			dr.setPace(at, percent)
		}
	}
}

// longestOverTarget returns the longest time for which a latency-critical task on the worker has
// been over its target.
func (wk *worker) longestOverTarget(now time.Time) time.Duration {
	var longest time.Duration
	for _, at := range wk.criticalAttempts {
		if at.reportsTail() && !at.overTargetSince.IsZero() {
			longest = max(longest, now.Sub(at.overTargetSince))
		}
	}
	return longest
}

// observeTail updates the load of an attempt from a reported tail latency.
func (dr *Director) observeTail(at *attempt, tail time.Duration, now time.Time) {
	if tail <= 0 {
		return
	}
	switch {
	case tail <= at.task.step.spec.TailTarget:
		at.overTargetSince = time.Time{}
	case at.overTargetSince.IsZero():
		at.overTargetSince = now
	}
	load := dr.model.ObserveTail(at.task.step.spec.Image, tail)
	since := now.Sub(at.loadAt)
	if !at.loadAt.IsZero() && since < minRiseInterval {
		at.load = load
		return
	}
	if !at.loadAt.IsZero() {
		at.loadRise += riseWeight * ((load-at.load)/since.Seconds() - at.loadRise)
	}
	at.load, at.loadAt = load, now
}

// reportsTail reports whether the attempt is a latency-critical task that has finished its startup
// and reported its tail latency. The progress of a long-running task is that of its startup.
func (at *attempt) reportsTail() bool {
	return at.task.step.spec.TailTarget > 0 && at.state == active && at.progress >= 100 && !at.loadAt.IsZero()
}

// forecastLoad returns the load after a number of seconds if it keeps rising as it does now.
func (at *attempt) forecastLoad(seconds float64) float64 {
	return at.load + max(0, at.loadRise)*seconds
}

// highestRelativeLoad returns the step that is nearest to its target and its relative load, or nil
// and 0 if no load is above 0.
func (dr *Director) highestRelativeLoad(loads map[*step]float64) (*step, float64) {
	var nearest *step
	highest := 0.0
	for sp, load := range loads {
		if relativeLoad := load / dr.model.LoadAtTarget(sp.spec.Image, sp.spec.TailTarget); relativeLoad > highest {
			nearest, highest = sp, relativeLoad
		}
	}
	return nearest, highest
}

// medianLoads returns the load of each latency-critical step on the worker: the lower median of its
// tasks there. A reported tail latency is at times 50 % too high, and among several tasks one
// nearly always is. The lower median ignores such outliers.
func (wk *worker) medianLoads() map[*step]float64 {
	reports := map[*step][]float64{}
	for _, at := range wk.criticalAttempts {
		if at.reportsTail() {
			sp := at.task.step
			reports[sp] = append(reports[sp], at.load)
		}
	}
	loads := make(map[*step]float64, len(reports))
	for sp, list := range reports {
		slices.Sort(list)
		loads[sp] = list[(len(list)-1)/2]
	}
	return loads
}

// bestEffortUsage returns the processor use of the best-effort tasks on the worker. Their measure
// is in thousandths of a core; that of a latency-critical task is its tail latency.
func (wk *worker) bestEffortUsage() []estimator.Usage {
	if wk.bestEffortTasks == 0 {
		return nil
	}
	var usage []estimator.Usage
	for _, at := range wk.attempts {
		if at.task.step.spec.BestEffort && at.state == active && at.measure > 0 {
			usage = append(usage, estimator.Usage{Image: at.task.step.spec.Image, CPUShare: wk.cpuShare(at.measure)})
		}
	}
	return usage
}

// cpuShare returns thousandths of a core as a share of the worker's capacity.
func (wk *worker) cpuShare(milliCores int64) float64 {
	return float64(milliCores) / float64(max(wk.info.Capacity.MilliCores, 1))
}

// observeInterference compares the load of latency-critical tasks on a worker with that of their
// siblings on other workers, and updates the model with the difference, at most every estimateAge.
func (dr *Director) observeInterference(wk *worker, loads map[*step]float64, usage []estimator.Usage, now time.Time) {
	if len(usage) == 0 || now.Sub(wk.observedAt) < dr.estimateAge() {
		return
	}
	wk.observedAt = now
	for sp, load := range loads {
		if sib, ok := dr.medianSibling(sp, wk, now); ok {
			dr.model.Observe(sp.spec.Image, load-sib.load, estimator.UsageDifference(usage, sib.usage), now)
		}
	}
}

// sibling is a task of the same latency-critical step on another worker.
type sibling struct {
	worker *worker
	load   float64
	// ownLoad is the load that it is estimated to have without best-effort neighbours.
	ownLoad float64
	usage   []estimator.Usage
}

// medianSibling returns the sibling with the median ownLoad among those on other workers than the
// one given. Of an even number it takes the upper median, unlike medianLoads.
func (dr *Director) medianSibling(sp *step, wk *worker, now time.Time) (sibling, bool) {
	if now.Sub(sp.siblingsAt) > dr.estimateAge() || sp.siblingsAt.IsZero() {
		sp.siblings, sp.siblingsAt = dr.listSiblings(sp, now), now
	}
	others := 0
	for ix := range sp.siblings {
		if sp.siblings[ix].worker != wk {
			others++
		}
	}
	rank := others / 2
	for ix := range sp.siblings {
		if sp.siblings[ix].worker == wk {
			continue
		}
		if rank--; rank < 0 {
			return sp.siblings[ix], true
		}
	}
	return sibling{}, false
}

// listSiblings returns the tasks of a latency-critical step that have reported lately, in the order of their ownLoad.
func (dr *Director) listSiblings(sp *step, now time.Time) []sibling {
	list := sp.siblings[:0]
	for _, tk := range sp.tasks {
		for _, ot := range tk.attempts {
			if ot.reportsTail() && now.Sub(ot.loadAt) < maxSiblingLoadAge {
				usage := ot.worker.usage
				list = append(list, sibling{ot.worker, ot.load, ot.load - dr.model.TotalInterference(sp.spec.Image, usage), usage})
			}
		}
	}
	slices.SortFunc(list, func(one, two sibling) int { return cmp.Compare(one.ownLoad, two.ownLoad) })
	return list
}

// setPace sends a new pace for the attempt to its worker.
func (dr *Director) setPace(at *attempt, percent int) {
	previous := at.pace
	at.pace = percent
	id, run, info, fence := at.task.id(), at.run, at.worker.info, dr.fence(at.worker)
	dr.op.Meter.Add(meter.TasksPaced, 1)
	dr.startGoroutine(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, requestTimeout)
		defer cancel()
		err := dr.op.WorkerClient.Pace(ctx, &info, id, run, percent, fence)
		if err == nil {
			return
		}
		dr.log(logger.PaceUnanswered, "Task", id.String(), "Run", run, "Worker", info.ID, "Percent", percent, "Error", err.Error())
		dr.mu.Lock()
		defer dr.mu.Unlock()
		if at.pace == percent {
			// The request is repeated after the next report.
			at.pace = previous
		}
	})
}
