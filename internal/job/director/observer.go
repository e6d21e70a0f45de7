package director

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/currantrouter/currantrouter/internal/job/estimator"
	"github.com/currantrouter/currantrouter/internal/job/modeler"
	"github.com/currantrouter/currantrouter/internal/job/pacer"
	"github.com/currantrouter/currantrouter/internal/telemetry/logger"
	"github.com/currantrouter/currantrouter/internal/telemetry/meter"
)

const (
	// mostMoves bounds how often a task is taken from workers that look slow. Its run time may be
	// what is unusual.
	mostMoves = 2
	// judgedPace is the pace in percent from which lack of progress is a sign of a fault.
	judgedPace = 50
)

// judge looks for runs that stand still or crawl, and empties workers that leave.
func (dr *Director) judge(wk *worker, now time.Time) {
	for _, at := range wk.list() {
		sp := at.task.step.spec
		switch {
		case at.state != active || at.stopping:
		case wk.info.Draining:
			dr.evacuate(wk, at, now)
		case sp.LongRunning || sp.Gang || at.pace < judgedPace || at.task.moves >= mostMoves:
		default:
			dr.judgeRun(wk, at, now)
		}
	}
}

func (dr *Director) judgeRun(wk *worker, at *attempt, now time.Time) {
	tk := at.task
	usual := tk.step.usual(at, now)
	if usual == 0 && tk.step.spec.BestEffort {
		return
	}
	stalled := at.watch.Stalled(usual, now)
	slow := !stalled && at.watch.Slow(usual, tk.saved, dr.op.Limits.StopGrace+dr.op.Limits.RestoreTime, now)
	if !stalled && !slow {
		return
	}
	dr.log(logger.RunSlow, "Task", tk.id().String(), "Run", at.run, "Worker", wk.info.ID, "Progress", at.progress,
		"Age", now.Sub(at.answeredAt).String(), "Usual", usual.String(), "Stalled", stalled)
	closed := !tk.step.spec.BestEffort && wk.record.RecordFault(tk.step.occ.job.ID, now)
	dr.move(at, "slow or standing still")
	if closed {
		dr.quarantine(wk, "runs of several jobs are slow")
	}
}

// evacuate moves a run from a draining worker unless it ends there in time.
func (dr *Director) evacuate(wk *worker, at *attempt, now time.Time) {
	if at.task.step.spec.LongRunning {
		dr.stop(at, "worker drains")
		return
	}
	left := at.watch.ExpectedRemaining(now)
	if left > 0 && left < wk.info.Remaining || at.progress == 0 && !at.task.step.spec.Checkpoints {
		return
	}
	dr.move(at, "worker drains")
}

// pace learns from the tails of serving tasks, slows work that fills beside those near their target,
// and moves what harms them most.
func (dr *Director) pace(wk *worker, now time.Time) {
	if wk.filling == 0 {
		return
	}
	loads, fills := wk.steadyLoads(), wk.fills()
	dr.learn(wk, loads, fills, now)
	worst, strain := dr.mostStrained(loads)
	caused := 0.0
	if worst != nil {
		sp := worst.spec
		caused = dr.model.TotalInterference(sp.Image, fills) / dr.model.LoadAtTarget(sp.Image, sp.TailTarget)
		if caused < leastCaused {
			caused = 0
		}
	}
	harmed := wk.overTarget(now) >= dr.op.Limits.OverTargetGrace*harmedPercent/100
	if wk.pace.Update(strain, caused, harmed, now) {
		dr.log(logger.WorkerPaced, "Worker", wk.info.ID, "Percent", wk.pace.Percent(), "Strain", strain, "Caused", caused, "Filling", wk.filling, "Serving", wk.serving)
	}
	for _, at := range wk.list() {
		if !at.task.step.spec.BestEffort || at.state != active || at.stopping {
			continue
		}
		harm := 0.0
		if worst != nil {
			harm = dr.model.Interference(worst.spec.Image, at.task.step.spec.Image)
		}
		percent := wk.pace.Percent()
		if harm < harmless && !harmed {
			percent = pacer.FullPace
		}
		if harm >= harmfulImage && strain >= pacer.SlowThreshold && at.task.moves < mostMoves {
			dr.move(at, "harms a serving task")
			percent = 0
		}
		if at.pace != percent {
			dr.setPace(at, percent)
		}
	}
}

const (
	// leastCaused is the strain from which work that fills is held responsible.
	leastCaused = 0.01
	// harmless is the harm of an image that is not paced, harmfulImage that of one that is moved.
	harmless, harmfulImage = 0.1, 0.7
	// loadAge is the age up to which a sibling's load is compared.
	loadAge = 1200 * time.Millisecond
	// riseWeight is the weight of a new observation in the rise of a load, and riseAhead how far
	// ahead in seconds the load is foreseen: about the time until a pace takes effect. runAhead is
	// that for a usual run of work that fills.
	riseWeight = 0.4
	riseAhead  = 0.7
	runAhead   = 1.5
	// shortestRise is the least time between two reports from which a rise is computed.
	shortestRise = 200 * time.Millisecond
)

// harmedPercent is the part of the longest time over the target after which all work that fills beside
// the task is halted, whatever is known of the pair. An order takes up to a second to show in a report.
const harmedPercent = 40

// overTarget returns how long a serving task on the worker has been over its target.
func (wk *worker) overTarget(now time.Time) time.Duration {
	var longest time.Duration
	for _, at := range wk.attempts {
		if at.serves() && !at.overSince.IsZero() {
			longest = max(longest, now.Sub(at.overSince))
		}
	}
	return longest
}

// noteTail takes a reported tail latency of a serving task.
func (dr *Director) noteTail(at *attempt, tail time.Duration, now time.Time) {
	if tail <= 0 {
		return
	}
	switch {
	case tail <= at.task.step.spec.TailTarget:
		at.overSince = time.Time{}
	case at.overSince.IsZero():
		at.overSince = now
	}
	load := dr.model.Load(at.task.step.spec.Image, tail)
	since := now.Sub(at.loadAt)
	if !at.loadAt.IsZero() && since < shortestRise {
		at.load = load
		return
	}
	if !at.loadAt.IsZero() {
		at.rise += riseWeight * ((load-at.load)/since.Seconds() - at.rise)
	}
	at.load, at.loadAt = load, now
}

// serves reports whether the attempt is at work for users.
func (at *attempt) serves() bool {
	return at.task.step.spec.TailTarget > 0 && at.state == active && at.progress >= 100 && !at.loadAt.IsZero()
}

// foreseen returns the load after some seconds if it goes on to rise.
func (at *attempt) foreseen(seconds float64) float64 { return at.load + max(0, at.rise)*seconds }

// mostStrained returns the step that is nearest to its target, and its strain.
func (dr *Director) mostStrained(loads map[*step]float64) (*step, float64) {
	var worst *step
	highest := 0.0
	for sp, load := range loads {
		if strain := load / dr.model.LoadAtTarget(sp.spec.Image, sp.spec.TailTarget); strain > highest {
			worst, highest = sp, strain
		}
	}
	return worst, highest
}

// steadyLoads returns the load of each serving step on the worker: the lower median of its tasks
// there. Single tails are too high by half now and then, and one of several tasks nearly always is.
func (wk *worker) steadyLoads() map[*step]float64 {
	reports := map[*step][]float64{}
	for _, at := range wk.attempts {
		if at.serves() {
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

// fills returns what work that fills uses on the worker.
func (wk *worker) fills() []estimator.Usage {
	var fills []estimator.Usage
	for _, at := range wk.attempts {
		if at.task.step.spec.BestEffort && at.state == active && at.measure > 0 {
			fills = append(fills, estimator.Usage{Image: at.task.step.spec.Image, CPUShare: wk.press(at.measure)})
		}
	}
	return fills
}

// press returns processors as a share of the worker's.
func (wk *worker) press(milliCores int64) float64 {
	return float64(milliCores) / float64(max(wk.info.Capacity.MilliCores, 1))
}

// learn compares the serving tasks of a worker with their siblings elsewhere.
func (dr *Director) learn(wk *worker, loads map[*step]float64, fills []estimator.Usage, now time.Time) {
	if len(fills) == 0 {
		return
	}
	for sp, load := range loads {
		if sib, ok := dr.usualSibling(sp, wk, now); ok {
			dr.model.Observe(sp.spec.Image, load-sib.load, estimator.UsageDifference(fills, sib.fills), now)
		}
	}
}

// sibling is a serving task of the same step on another worker.
type sibling struct {
	load float64
	// own is the load that it would have undisturbed, as far as is known.
	own   float64
	fills []estimator.Usage
}

// usualSibling returns the sibling on another worker whose own load is the median.
func (dr *Director) usualSibling(sp *step, wk *worker, now time.Time) (sibling, bool) {
	var list []sibling
	for _, tk := range sp.tasks {
		for _, ot := range tk.attempts {
			if ot.worker != wk && ot.serves() && now.Sub(ot.loadAt) < loadAge {
				fills := ot.worker.fills()
				list = append(list, sibling{ot.load, ot.load - dr.model.TotalInterference(sp.spec.Image, fills), fills})
			}
		}
	}
	if len(list) == 0 {
		return sibling{}, false
	}
	slices.SortFunc(list, func(one, two sibling) int { return cmp.Compare(one.own, two.own) })
	return list[len(list)/2], true
}

func (dr *Director) setPace(at *attempt, percent int) {
	former := at.pace
	at.pace = percent
	id, run, info := at.task.id(), at.run, at.worker.info
	dr.op.Meter.Add(meter.TasksPaced, 1)
	dr.goRun(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, orderTimeout)
		defer cancel()
		err := dr.op.WorkerClient.Pace(ctx, &info, id, run, percent, dr.op.Epoch)
		if err == nil {
			return
		}
		dr.log(logger.PaceUnanswered, "Task", id.String(), "Run", run, "Worker", info.ID, "Percent", percent, "Error", err.Error())
		dr.mu.Lock()
		defer dr.mu.Unlock()
		if at.pace == percent {
			// The next report repeats the order.
			at.pace = former
		}
	})
}

// Harm returns the load that work of one image is believed to add to serving tasks of another if it
// used all processors of their worker.
func (dr *Director) Harm(serving, filling string) float64 {
	dr.mu.Lock()
	defer dr.mu.Unlock()
	return dr.model.Interference(serving, filling)
}

// Overview is what operators see of one worker.
type Overview struct {
	Worker       modeler.Worker
	Present      bool
	Answers      bool
	Quarantined  bool
	Free         modeler.Resources
	Runs         int
	Serving      int
	Filling      int
	PacedPercent int
}

// Workers returns an overview of all workers.
func (dr *Director) Workers() []Overview {
	dr.mu.Lock()
	defer dr.mu.Unlock()
	now := time.Now()
	var list []Overview
	for _, wk := range dr.workers {
		list = append(list, Overview{
			Worker: wk.info, Present: wk.present, Answers: wk.answered && !wk.silent, Quarantined: wk.record.Quarantined(now),
			Free: wk.free, Runs: len(wk.attempts), Serving: wk.serving, Filling: wk.filling, PacedPercent: wk.pace.Percent(),
		})
	}
	return list
}

// summarize logs what runs and waits.
func (dr *Director) summarize(now time.Time) {
	var waiting, filling, runs, serving, quarantined, silent, open int
	var largest, free, idleForFill, fillCores, fillUse, fillPaced int64
	for sp := range dr.waiting {
		if waiting += len(sp.waiting); sp.spec.BestEffort {
			filling += len(sp.waiting)
		}
	}
	for _, wk := range dr.workers {
		runs += len(wk.attempts)
		switch {
		case wk.silent:
			silent++
		case wk.record.Quarantined(now):
			quarantined++
		}
		for _, at := range wk.attempts {
			if sp := at.task.step.spec; sp.BestEffort && at.state == active {
				fillUse += at.measure
				fillPaced += sp.Needs.MilliCores * int64(at.pace) / pacer.FullPace
			}
		}
		if dr.takes(wk, now) {
			open++
			largest = max(largest, wk.free.MilliCores)
		}
		free += wk.free.MilliCores
		fillCores += wk.fillingCores
		if wk.serving > 0 {
			serving++
		} else {
			idleForFill += wk.free.MilliCores
		}
	}
	dr.log(logger.LoadSummary, "Jobs", len(dr.jobs), "Waiting", waiting, "WaitingToFill", filling, "Runs", runs, "UnderWay", dr.underWay, "MayBeUnderWay", dr.window.Available(0), "Workers", len(dr.workers), "Open", open, "LargestRoom", largest,
		"ServingWorkers", serving, "Quarantined", quarantined, "Silent", silent, "FreeCores", free, "IdleForFill", idleForFill, "FillingCores", fillCores, "FillingPaced", fillPaced, "FillingUsed", fillUse)
}
