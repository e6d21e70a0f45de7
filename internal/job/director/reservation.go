package director

import (
	"cmp"
	"slices"
	"time"

	"github.com/currantrouter/currantrouter/internal/job/modeler"
	"github.com/currantrouter/currantrouter/internal/job/placer"
	"github.com/currantrouter/currantrouter/internal/telemetry/logger"
	"github.com/currantrouter/currantrouter/internal/telemetry/meter"
)

const (
	// reservationMemory is the longest time between two rounds that hold a worker for the same step after which this counts
	// as one reservation. Rounds may end before the step's turn.
	reservationMemory = time.Second
	// reservationReport is how long a worker is held for the same step before a line names them.
	reservationReport = 2 * time.Second
	// reservationReportInterval is the time between two lines on the same worker.
	reservationReportInterval = 5 * time.Second
	// maxReservationLines bounds the lines of one report.
	maxReservationLines = 5
)

// reservation is a backfill reservation of a round on a worker.
type reservation struct {
	// task is the first one for which the worker is held.
	task *task
	// needs is what all demands need for which it is held.
	needs modeler.Resources
}

// add adds a demand to those for which the worker is held.
func (rv *reservation) add(needs modeler.Resources) { rv.needs = rv.needs.Plus(needs) }

// heldWorker is what the rounds have held a worker for.
type heldWorker struct {
	worker *worker
	// step is that of the first task for which the last round held the worker, and task its ID.
	step *step
	task modeler.TaskID
	// since is when rounds began to hold the worker for the step, at when one last did.
	since, at time.Time
	loggedAt  time.Time
}

// shareHeldWorker adds a demand of a step to those of a worker that is held already, and returns false if none has
// the capacity.
func (rd *round) shareHeldWorker(sp *step, dm *placer.Demand) bool {
	for _, ix := range rd.held {
		wk, rv := rd.workers[ix], rd.heldFor[ix]
		if dm.MaxPerWorker == 0 && rd.mayHold(sp, dm, ix) && dm.Needs.Fits(wk.free.Plus(wk.ending).Minus(rv.needs)) {
			rv.add(dm.Needs)
			if rd.dr.followsValue() {
				rd.holdCandidate(ix)
				rd.changed = append(rd.changed, ix)
			}
			return true
		}
	}
	return false
}

// mayHold reports whether a worker could run a demand of a step once the runs there that end by themselves have
// ended. Long-running tasks do not end, so what they use does not count.
func (rd *round) mayHold(sp *step, dm *placer.Demand, ix int) bool {
	return rd.couldRun(dm, ix) && rd.policyAllowsHold(sp, dm, ix)
}

// couldRun is mayHold without regard to the policy of the step's queue.
func (rd *round) couldRun(dm *placer.Demand, ix int) bool {
	wk, cd := rd.workers[ix], &rd.cands[ix]
	return !cd.Excluded && placer.Matches(dm, &wk.info) && (dm.MaxPerWorker <= 0 || cd.SameStepTasks < dm.MaxPerWorker) && dm.Needs.Fits(wk.free.Plus(wk.ending))
}

// policyAllowsHold reports whether the policy of a step's queue is known to permit a worker, so that a reservation can lead to
// a start there. If the worker has the capacity already, only a ticket may be missing, which is not waited for while the
// policy service fails.
func (rd *round) policyAllowsHold(sp *step, dm *placer.Demand, ix int) bool {
	pm, wk := rd.policyPermits(sp), rd.workers[ix]
	switch {
	case pm == nil:
		return true
	case pm.answer(wk) != permittedByPolicy:
		return false
	}
	return !dm.Needs.Fits(wk.free) || pm.hasTicket(wk, rd.now) || !pm.failed
}

// notAskedAbout reports whether the policy service has to be asked before a worker is held for a demand of a step.
func (rd *round) notAskedAbout(sp *step, dm *placer.Demand, ix int) bool {
	pm := rd.policyPermits(sp)
	return pm != nil && pm.answer(rd.workers[ix]) == notAsked && rd.couldRun(dm, ix)
}

// holdWorker makes a backfill reservation for the demand of a task that fits nowhere: for the rest of this
// round only, one worker counts as having no free capacity, see holdCandidate, so that less urgent tasks do not delay
// the demand. Of the workers that may be held, it takes the one with the most free processors. It
// returns false if there is none.
func (rd *round) holdWorker(tk *task, dm *placer.Demand) bool {
	if len(rd.held) >= rd.maxHeld || dm.BestEffort {
		return false
	}
	best := rd.bestToHold(tk.step, dm)
	if best >= 0 {
		rd.hold(tk, dm, best)
	}
	return best >= 0
}

// bestToHold returns the index of the worker with the most free processors of those that may be held for a demand of a step,
// or -1. If there is none, it asks the policy service about others.
func (rd *round) bestToHold(sp *step, dm *placer.Demand) int {
	best := -1
	var notAsked []int
	others := placer.HasAlternative(dm, rd.cands)
	for ix, wk := range rd.workers {
		// A held worker's candidate has no free processors, so that most of them fail the first comparison.
		if best >= 0 && rd.cands[ix].Free.MilliCores <= rd.cands[best].Free.MilliCores {
			continue
		}
		if rd.heldFor[ix] != nil || others && slices.Contains(dm.Avoid, wk.info.ID) {
			continue
		}
		if rd.mayHold(sp, dm, ix) {
			best = ix
		} else if best < 0 && rd.notAskedAbout(sp, dm, ix) {
			notAsked = append(notAsked, ix)
		}
	}
	if best < 0 {
		rd.requestForReservation(sp, notAsked)
	}
	return best
}

// hold makes a backfill reservation for a task on a worker.
func (rd *round) hold(tk *task, dm *placer.Demand, ix int) {
	rd.held = append(rd.held, ix)
	rd.heldFor[ix] = &reservation{task: tk, needs: dm.Needs}
	rd.holdCandidate(ix)
	rd.changed = append(rd.changed, ix)
}

// noteReservations notes for which steps the round has held workers.
func (rd *round) noteReservations() {
	known := rd.dr.heldWorkers
	for _, ix := range rd.held {
		wk, tk := rd.workers[ix], rd.heldFor[ix].task
		hw := known[wk.info.ID]
		if hw == nil || hw.worker != wk || hw.step != tk.step || rd.now.Sub(hw.at) > reservationMemory {
			hw = &heldWorker{worker: wk, step: tk.step, since: rd.now}
			known[wk.info.ID] = hw
		}
		hw.task, hw.at = tk.id(), rd.now
	}
}

// reportReservations publishes how many workers are held, and logs those that have long been held for the same step.
func (dr *Director) reportReservations(now time.Time) {
	var due []*heldWorker
	longest := time.Duration(0)
	for id, hw := range dr.heldWorkers {
		if now.Sub(hw.at) > reservationMemory {
			delete(dr.heldWorkers, id)
			continue
		}
		held := now.Sub(hw.since)
		longest = max(longest, held)
		if held >= reservationReport && now.Sub(hw.loggedAt) >= reservationReportInterval {
			due = append(due, hw)
		}
	}
	dr.op.Meter.Set(meter.WorkersHeld, int64(len(dr.heldWorkers)))
	dr.op.Meter.Set(meter.LongestReservation, longest.Milliseconds())
	slices.SortFunc(due, func(one, two *heldWorker) int {
		return cmp.Or(one.since.Compare(two.since), cmp.Compare(one.worker.info.ID, two.worker.info.ID))
	})
	for _, hw := range due[:min(len(due), maxReservationLines)] {
		hw.loggedAt = now
		wk, spec := hw.worker, hw.step.spec
		dr.log(logger.WorkerHeldLong, "Worker", wk.info.ID, "Task", hw.task.String(), "HeldFor", now.Sub(hw.since).String(), "LongRunning", spec.LongRunning,
			"Cores", spec.Needs.MilliCores, "MemoryMB", spec.Needs.MemoryMB, "FreeCores", wk.free.MilliCores, "FreeMemoryMB", wk.free.MemoryMB,
			"EndingCores", wk.ending.MilliCores, "EndingMemoryMB", wk.ending.MemoryMB, "Reason", string(hw.step.turn.reason))
	}
}
