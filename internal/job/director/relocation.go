package director

import (
	"cmp"
	"math"
	"slices"
	"time"

	fleet "github.com/currantrouter/currantrouter/internal/fleet/modeler"
	"github.com/currantrouter/currantrouter/internal/job/modeler"
	"github.com/currantrouter/currantrouter/internal/job/relocator"
	"github.com/currantrouter/currantrouter/internal/telemetry/logger"
	"github.com/currantrouter/currantrouter/internal/telemetry/meter"
)

// relocationInterval is the least time between two plans of moves.
const relocationInterval = 250 * time.Millisecond

// relocation is the state of the moves of long-running tasks away from evacuated data centres. A new leader has none:
// tasks that are not at work, and thus those that the last leader moved, count as unavailable until they are.
type relocation struct {
	plannedAt time.Time
	// moves are those under way, in the order in which they began.
	moves []*move
	// turns holds what plans found of the steps with runs in evacuated data centres.
	turns map[*step]relocationTurn
}

// relocationTurn is what a plan keeps of a step for the next one.
type relocationTurn struct {
	triedAt time.Time
	noRoom  bool
}

// move is the move of a task from an evacuated data centre. Its place is taken before the old run is stopped, but the
// task is placed, with a record in the journal, only once that run is known to have ended: a new leader takes a task
// that is recorded on a worker where it does not run for one that does not run at all.
type move struct {
	task *task
	// from is the run that is stopped.
	from *attempt
	// to is the worker with the place, incarnation the one that had it.
	to          *worker
	incarnation int64
	// held is what the place takes of the worker's free capacity, until the task is placed.
	held modeler.Resources
	// run is the new run, nil until the task is placed.
	run *attempt
}

// atWork reports whether a long-running task has completed its startup, as far as is known, and is to stay.
func (tk *task) atWork() bool { return len(tk.attempts) == 1 && tk.attempts[0].atWork() }

func (at *attempt) atWork() bool {
	wk := at.worker
	return at.state == active && at.listed && !at.stopping && at.progress >= 100 && !wk.info.Draining && !wk.unreachable && wk.announcedAt.IsZero()
}

// movingStep is a step with the runs that may be moved, in the order of their tasks.
type movingStep struct {
	step *step
	runs []*attempt
}

// relocate ends moves that are over, and begins further ones.
func (dr *Director) relocate(now time.Time) {
	rl := &dr.relocation
	rl.moves = slices.DeleteFunc(rl.moves, func(mv *move) bool { return dr.moveOver(mv, now) })
	if len(dr.evacuations) == 0 {
		rl.turns = nil
		return
	}
	if now.Sub(rl.plannedAt) < relocationInterval {
		return
	}
	rl.plannedAt = now
	moving, steps := dr.listRelocation()
	available := dr.startWindow.Available(dr.startsInFlight)
	if slices.ContainsFunc(steps, func(st relocator.Step) bool { return st.MayMove() }) && dr.roundObstacle(available, now) == "" {
		rd := dr.newRound(now)
		relocator.Plan(steps, rd.relocationPools(), available, now, func(ix int) bool { return rd.beginMove(&moving[ix], &steps[ix]) })
	}
	rl.turns = make(map[*step]relocationTurn, len(steps))
	for ix := range steps {
		rl.turns[moving[ix].step] = relocationTurn{steps[ix].TriedAt, steps[ix].NoRoom}
	}
}

// listRelocation returns the long-running steps with runs in evacuated data centres, in the order of their names.
func (dr *Director) listRelocation() ([]movingStep, []relocator.Step) {
	found := map[*step]bool{}
	for _, wk := range dr.workers {
		if !dr.evacuated(wk) {
			continue
		}
		for _, at := range wk.attempts {
			if at.task.step.spec.LongRunning {
				found[at.task.step] = true
			}
		}
	}
	moving := make([]movingStep, 0, len(found))
	for sp := range found {
		moving = append(moving, movingStep{step: sp})
	}
	slices.SortFunc(moving, func(one, two movingStep) int {
		sp, other := one.step, two.step
		return cmp.Or(cmp.Compare(sp.occ.job.ID, other.occ.job.ID), cmp.Compare(sp.occ.index, other.occ.index), cmp.Compare(sp.index, other.index))
	})
	steps := make([]relocator.Step, len(moving))
	for ix := range moving {
		steps[ix] = dr.relocationStep(&moving[ix])
	}
	return moving, steps
}

// relocationStep returns a step as the relocator needs it, and sets the runs that may be moved.
func (dr *Director) relocationStep(ms *movingStep) relocator.Step {
	sp := ms.step
	tn := dr.relocation.turns[sp]
	st := relocator.Step{
		Pool: dr.pool(sp.occ.job), Gang: sp.spec.Gang, MaxUnavailable: sp.spec.MaxUnavailable, Queued: len(sp.waiting) > 0, TriedAt: tn.triedAt, NoRoom: tn.noRoom,
	}
	if sp.occ.job.finalState != "" {
		// The runs are being stopped.
		return st
	}
	for _, tk := range sp.tasks {
		if !tk.atWork() {
			st.Unavailable++
		} else if at := tk.attempts[0]; dr.evacuated(at.worker) {
			ms.runs = append(ms.runs, at)
		}
	}
	st.Runs = len(ms.runs)
	return st
}

// relocationPools returns the pools with their open workers and the moves under way.
func (rd *round) relocationPools() map[modeler.PoolName]*relocator.Pool {
	pools := map[modeler.PoolName]*relocator.Pool{}
	for _, wk := range rd.workers {
		pl := pools[wk.info.Pool]
		if pl == nil {
			pl = &relocator.Pool{}
			pools[wk.info.Pool] = pl
		}
		pl.OpenWorkers++
	}
	for _, mv := range rd.dr.relocation.moves {
		if pl := pools[mv.to.info.Pool]; pl != nil {
			pl.Moving++
		}
	}
	return pools
}

// beginMove takes a place for the next run of a step and stops the run. It returns false if there is no place.
func (rd *round) beginMove(ms *movingStep, st *relocator.Step) bool {
	dr, at := rd.dr, ms.runs[0]
	ix := rd.choosePlace(at.task)
	if ix < 0 {
		return false
	}
	ms.runs = ms.runs[1:]
	wk := rd.workers[ix]
	mv := &move{task: at.task, from: at, to: wk, incarnation: wk.incarnation}
	delete(rd.processorsOf, wk.info.Pool)
	dr.hold(mv, rd.now)
	rd.cands[ix].Free = wk.free
	dr.relocation.moves = append(dr.relocation.moves, mv)
	dr.op.Meter.Add(meter.EvacuationMoves, 1)
	dr.log(logger.EvacuationMoveBegun, "Task", at.task.id().String(), "Run", at.run, "From", at.worker.info.ID, "DataCentre", at.worker.info.DataCentre,
		"To", wk.info.ID, "Unavailable", st.Unavailable, "MaxUnavailable", st.MaxUnavailable, "Moving", len(dr.relocation.moves))
	dr.stopRun(at, "data centre is evacuated")
	return true
}

// choosePlace returns the index of a worker for a task that is to be moved, or -1. The task leaves the reserve for short
// tasks as one that starts for the first time, and goes to no worker to which another is moving.
func (rd *round) choosePlace(tk *task) int {
	sp, dm := tk.step, rd.dr.demand(tk)
	rd.excludeOtherPools(rd.dr.pool(sp.occ.job))
	busy := make(map[*worker]bool, len(rd.dr.relocation.moves))
	for _, mv := range rd.dr.relocation.moves {
		busy[mv.to] = true
	}
	for ix, wk := range rd.workers {
		rd.cands[ix].Excluded = rd.cands[ix].Excluded || busy[wk]
	}
	rd.countSameStep(sp)
	rd.applyReserve(tk, &dm)
	rd.applyForecast(&dm)
	cands := rd.excludeUnpermitted(sp, &dm, rd.cands)
	ix := rd.chooseAmong(&dm, cands)
	if ix < 0 && rd.mayReturn(tk, &dm) {
		dm.Avoid = nil
		ix = rd.chooseAmong(&dm, cands)
	}
	return ix
}

// hold takes the place of a move.
func (dr *Director) hold(mv *move, now time.Time) {
	mv.held = mv.from.reservation()
	mv.to.free = mv.to.free.Minus(mv.held)
	mv.to.noteCapacity(now, modeler.Resources{}.Minus(mv.held))
	mv.task.step.perWorker[mv.to.info.ID]++
}

// unhold gives the place of a move back, so that the task can be placed there or elsewhere.
func (dr *Director) unhold(mv *move, now time.Time) {
	mv.to.free = mv.to.free.Plus(mv.held)
	mv.to.noteCapacity(now, mv.held)
	mv.held = modeler.Resources{}
	perWorker, id := mv.task.step.perWorker, mv.to.info.ID
	if perWorker[id]--; perWorker[id] == 0 {
		delete(perWorker, id)
	}
}

// moveOver reports whether a move is over: the task is at work again, its new run has ended, or it needs its place no more.
func (dr *Director) moveOver(mv *move, now time.Time) bool {
	tk := mv.task
	if mv.run != nil {
		return !mv.run.worker.has(mv.run) || mv.run.stopping || mv.run.atWork()
	}
	needless := tk.step.occ.job.finalState != "" || len(tk.attempts) > 0 && tk.attempts[0] != mv.from
	if needless {
		dr.unhold(mv, now)
	}
	return needless
}

// placeLost notes that the place of a move can't be used.
func (dr *Director) placeLost(mv *move) {
	dr.op.Meter.Add(meter.EvacuationPlacesLost, 1)
	dr.log(logger.EvacuationPlaceLost, "Task", mv.task.id().String(), "Run", mv.from.run, "Worker", mv.to.info.ID, "DataCentre", mv.to.info.DataCentre)
}

// finishMoves places the tasks whose old runs have ended, before the round places others. A task that cannot use its place
// any more is one of these others.
func (rd *round) finishMoves() {
	rl := &rd.dr.relocation
	rl.moves = slices.DeleteFunc(rl.moves, func(mv *move) bool {
		tk := mv.task
		if mv.run != nil || !tk.queued || len(tk.attempts) > 0 || rd.startsLeft <= 0 || !rd.dr.startable(tk, rd.now) {
			return false
		}
		rd.dr.unhold(mv, rd.now)
		ix := rd.placeOf(mv)
		if ix < 0 {
			rd.dr.placeLost(mv)
			return true
		}
		mv.run = rd.placeTask(tk, ix)
		return false
	})
}

// placeOf returns the index of the worker with the place of a move, or -1 if the task can't go there any more.
func (rd *round) placeOf(mv *move) int {
	ix := slices.Index(rd.workers, mv.to)
	if ix < 0 || mv.to.incarnation != mv.incarnation {
		return -1
	}
	rd.cands[ix].Free = mv.to.free
	sp, dm := mv.task.step, rd.dr.demand(mv.task)
	rd.excludeOtherPools(rd.dr.pool(sp.occ.job))
	rd.countSameStep(sp)
	// The move has left the reserve for short tasks as it began. Its place is not a part of it.
	dm.Headroom, dm.Avoid = math.MaxInt64, nil
	if usesForecast(&dm) {
		rd.applyForecastTo(ix, &dm, rd.forecast(dm.Image), rd.contentionDemand(&dm))
	}
	return rd.chooseOf(&dm, rd.excludeUnpermitted(sp, &dm, rd.cands), []int{ix})
}

// countRelocation adds the long-running runs in evacuated data centres to their progress, by whether they move.
func (dr *Director) countRelocation(progress map[fleet.DataCentreName]*EvacuationProgress) {
	for _, mv := range dr.relocation.moves {
		if ep := progress[mv.from.worker.info.DataCentre]; ep != nil {
			ep.Moving++
		}
	}
	moving, steps := dr.listRelocation()
	for ix := range moving {
		st := &steps[ix]
		for _, tk := range moving[ix].step.tasks {
			for _, at := range tk.attempts {
				if ep := progress[at.worker.info.DataCentre]; ep != nil {
					ep.countRun(st, at)
				}
			}
		}
	}
}

// countRun counts a long-running run by whether it moves.
func (ep *EvacuationProgress) countRun(st *relocator.Step, at *attempt) {
	switch {
	case at.stopping:
		// It moves, or its job has ended.
	case st.Stays():
		ep.Staying++
	default:
		ep.ToMove++
		if !st.MayMove() {
			ep.AtLimit++
		} else if st.NoRoom {
			ep.NoRoom++
		}
	}
}
