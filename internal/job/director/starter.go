package director

import (
	"cmp"
	"context"
	"errors"
	"maps"
	"slices"
	"time"

	"github.com/currantrouter/currantrouter/internal/job/keeper"
	"github.com/currantrouter/currantrouter/internal/job/modeler"
	"github.com/currantrouter/currantrouter/internal/job/placer"
	"github.com/currantrouter/currantrouter/internal/job/ranker"
	"github.com/currantrouter/currantrouter/internal/process/pauser"
	"github.com/currantrouter/currantrouter/internal/telemetry/logger"
	"github.com/currantrouter/currantrouter/internal/telemetry/meter"
)

const (
	// orderTimeout is the time after which an order to a worker has no answer. Answers take a few
	// milliseconds; a lost one delays its task by this and a stop.
	orderTimeout = 500 * time.Millisecond
	// startLimit is the time after which a worker refuses a start. It bounds how long a start
	// without answer can stay in doubt, and exceeds orderTimeout so that a slow answer still counts.
	startLimit = 1500 * time.Millisecond
	// startersPerWorker bounds the starts that are sent to one worker at a time, so that a worker
	// that does not answer holds up few.
	startersPerWorker = 3
	// refusalPause is how long a worker that refused a start for lack of room or health gets none.
	refusalPause = 250 * time.Millisecond
	// stopRetry is the pause before a stop without answer is repeated. It doubles up to mostStopRetry, so
	// that stops do not keep a link full.
	stopRetry, mostStopRetry = 150 * time.Millisecond, 1200 * time.Millisecond
	// mostMisses ends a round: when so many steps found no room one after the other, the fleet is
	// full, and looking further would cost the leader the time that it needs for its workers.
	mostMisses = 150
	// explainInterval is the time between two lines on why a task waits.
	explainInterval = time.Second
	// heldWorkers bounds the workers that a round keeps free for waiting tasks that fit nowhere.
	heldWorkers = 3
	// runsPerEpoch is the first run of a task in an epoch, per epoch. It makes every run of a new
	// leader higher than all runs of earlier ones that it may not know of.
	runsPerEpoch = 1 << 20
	// oldRunStep raises the run of a task whose worker has seen a higher one.
	oldRunStep = 1 << 10
)

// dispatch places waiting tasks, the most urgent first.
func (dr *Director) dispatch(now time.Time) {
	room := dr.window.Available(dr.underWay)
	dr.throttled = room == 0
	if len(dr.waiting) == 0 || room == 0 || !dr.op.Authorized() {
		return
	}
	rd := dr.round(now)
	rd.room = room
	for _, gr := range rd.groups {
		if len(rd.workers) == 0 || rd.misses >= mostMisses || rd.room <= 0 {
			break
		}
		rd.place(gr.step)
	}
	dr.throttled = rd.room <= 0
	dr.announce(rd.lasting)
}

// announce records where long-running tasks start before their starts are sent.
func (dr *Director) announce(list []*attempt) {
	if len(list) == 0 {
		return
	}
	var facts []keeper.Fact
	for _, at := range list {
		at.task.place(at.run, at.worker.info.ID)
		facts = append(facts, keeper.Fact{Placed: &keeper.PlacedFact{Task: at.task.id().String(), Run: at.run, Worker: at.worker.info.ID}})
	}
	dr.goRun(func(ctx context.Context) {
		dr.record(ctx, facts, func() {
			dr.mu.Lock()
			defer dr.mu.Unlock()
			for _, at := range list {
				dr.send(at)
			}
		})
	})
}

// round is one pass over the waiting steps.
type round struct {
	dr      *Director
	now     time.Time
	groups  []rankedStep
	workers []*worker
	cands   []placer.Candidate
	// held is the number of candidates that are kept free.
	held int
	// lasting holds the long-running tasks that were placed.
	lasting []*attempt
	// misses is the number of steps without room since the last one that had some.
	misses int
	// room is how many tasks may still start in this round.
	room int
	// outlooks holds what is expected of tasks that fill or serve, by image.
	outlooks map[string]*outlook
	// failed holds the smallest needs that found no room in this round.
	failed map[failedDemand][]modeler.Resources
}

type rankedStep struct {
	step *step
	rank ranker.WaitingStep
}

// failedDemand is what demands have in common of which a larger one finds no room where a smaller one
// found none.
type failedDemand struct {
	pool  modeler.PoolName
	label string
	rack  string
	// image is set for tasks that fill, which some neighbours exclude.
	image string
	lasts bool
}

// hopeless reports whether a demand that needs no more found no room in this round.
func (rd *round) hopeless(key failedDemand, needs modeler.Resources) bool {
	return slices.ContainsFunc(rd.failed[key], func(failed modeler.Resources) bool { return failed.Fits(needs) })
}

func (dr *Director) round(now time.Time) *round {
	rd := &round{dr: dr, now: now, failed: map[failedDemand][]modeler.Resources{}, outlooks: map[string]*outlook{}}
	for sp := range dr.waiting {
		rd.groups = append(rd.groups, rankedStep{sp, dr.group(sp)})
	}
	slices.SortFunc(rd.groups, func(one, two rankedStep) int {
		if by := ranker.Compare(&one.rank, &two.rank, now); by != 0 {
			return by
		}
		return cmp.Compare(one.step.occ.job.ID, two.step.occ.job.ID)
	})
	for _, wk := range dr.workers {
		if dr.takes(wk, now) {
			rd.workers = append(rd.workers, wk)
		}
	}
	slices.SortFunc(rd.workers, func(one, two *worker) int { return cmp.Compare(one.info.ID, two.info.ID) })
	for _, wk := range rd.workers {
		rd.cands = append(rd.cands, placer.Candidate{
			Worker: &wk.info, Free: wk.free, LatencyCriticalTasks: wk.serving, BestEffortTasks: wk.filling,
			BestEffortMilliCores: wk.fillingCores, LatencyCriticalMilliCores: wk.servingCores, FaultScore: wk.record.FaultScore(now),
		})
	}
	return rd
}

// takes reports whether a worker gets new tasks.
func (dr *Director) takes(wk *worker, now time.Time) bool {
	return wk.present && wk.answered && !wk.silent && !wk.info.Draining &&
		!wk.record.Quarantined(now) && !now.Before(wk.refusedUntil)
}

// place starts as many waiting tasks of a step as there is room for.
func (rd *round) place(sp *step) {
	if sp.spec.Gang {
		rd.placeGang(sp)
		return
	}
	pool := rd.dr.pool(sp.occ.job)
	rd.bar(pool)
	for _, tk := range slices.Clone(sp.waiting) {
		if rd.misses >= mostMisses || rd.room <= 0 {
			return
		}
		if !rd.dr.startable(tk, rd.now) {
			continue
		}
		dm := rd.dr.demand(tk)
		key := failedDemand{pool: pool, label: dm.Label, rack: dm.Rack, lasts: dm.LongRunning}
		if dm.BestEffort {
			key.image = dm.Image
		}
		if rd.hopeless(key, dm.Needs) {
			return
		}
		rd.countSteps(sp)
		rd.expectHarm(&dm)
		if dm.LongRunning {
			dm.Headroom, dm.PoolSlots = rd.spare(pool, &dm)
		}
		ix := placer.Choose(&dm, rd.permitted(sp, rd.dr.queue(sp.occ.job), &dm, rd.cands))
		if ix < 0 && len(dm.Avoid) > 0 {
			// It may wait for one certain worker while others of its size have room.
			rd.misses++
			rd.explain(tk, &dm)
			rd.hold(&dm)
			continue
		}
		if ix < 0 {
			if dm.PerWorker == 0 && sp.permits == nil {
				rd.failed[key] = append(rd.failed[key], dm.Needs)
			}
			rd.misses++
			rd.explain(tk, &dm)
			rd.hold(&dm)
			return
		}
		rd.misses = 0
		rd.start(tk, ix)
	}
}

// bar bars the candidates of other pools. All pools share one list, so that positions stay.
func (rd *round) bar(pool modeler.PoolName) {
	for ix, wk := range rd.workers {
		rd.cands[ix].Excluded = wk.info.Pool != pool
	}
}

func (rd *round) countSteps(sp *step) {
	if sp.spec.PerWorker <= 0 {
		return
	}
	for ix, wk := range rd.workers {
		rd.cands[ix].SameStep = sp.perWorker[wk.info.ID]
	}
}

// spare returns the room of a pool beyond what is kept for short tasks, in thousandths of a core, and
// how many tasks of the demand have room.
func (rd *round) spare(pool modeler.PoolName, dm *placer.Demand) (spare, slots int64) {
	var whole int64
	for _, wk := range rd.workers {
		if wk.info.Pool == pool {
			spare += max(0, wk.free.MilliCores)
			whole += wk.info.Capacity.MilliCores
			slots += placer.FitCount(dm.Needs, wk.free)
		}
	}
	return spare - int64(placer.ShortTaskReserve*float64(whole)), slots
}

// explain logs why the most urgent waiting task has no room, once in a while.
func (rd *round) explain(tk *task, dm *placer.Demand) {
	if dm.BestEffort || rd.now.Sub(rd.dr.explained) < explainInterval {
		return
	}
	rd.dr.explained = rd.now
	rs := placer.Explain(dm, rd.cands)
	rd.dr.log(logger.TaskWaits, "Task", tk.id().String(), "Cores", dm.Needs.MilliCores, "MemoryMB", dm.Needs.MemoryMB, "PerWorker", dm.PerWorker,
		"Lasts", dm.LongRunning, "Spare", dm.Headroom, "Unsuited", rs.Unsuited, "Crowded", rs.Crowded, "Full", rs.Full, "Reserved", rs.Reserved, "Disturbed", rs.Disturbed)
}

// hold keeps a worker from less urgent tasks whose runs that end will make room for a large task.
// Runs that last make none.
func (rd *round) hold(dm *placer.Demand) {
	if rd.held >= heldWorkers || dm.BestEffort || dm.LongRunning {
		return
	}
	best := -1
	others := placer.HasAlternative(dm, rd.cands)
	for ix, wk := range rd.workers {
		if rd.cands[ix].Excluded || others && slices.Contains(dm.Avoid, wk.info.ID) || !placer.Matches(dm, &wk.info) || wk.free.MilliCores+wk.endingCores < dm.Needs.MilliCores {
			continue
		}
		if best < 0 || rd.cands[ix].Free.MilliCores > rd.cands[best].Free.MilliCores {
			best = ix
		}
	}
	if best >= 0 {
		rd.held++
		rd.cands[best].Free = modeler.Resources{}
	}
}

// start reserves room for a task and sends it.
func (rd *round) start(tk *task, ix int) {
	wk := rd.workers[ix]
	rd.room--
	at := rd.dr.reserve(tk, wk, rd.dr.nextRun(tk))
	if tk.step.spec.LongRunning {
		rd.lasting = append(rd.lasting, at)
	} else {
		rd.dr.send(at)
	}
	cd := &rd.cands[ix]
	cd.Free, cd.LatencyCriticalTasks, cd.BestEffortTasks = wk.free, wk.serving, wk.filling
	cd.BestEffortMilliCores, cd.LatencyCriticalMilliCores = wk.fillingCores, wk.servingCores
	for _, ol := range rd.outlooks {
		ol.workers[ix].known = false
	}
	if ol := rd.outlooks[tk.step.spec.Image]; ol != nil && tk.step.spec.BestEffort {
		for serving := range wk.servingImages {
			ol.trials[serving]++
		}
	}
}

// placeGang starts all tasks of a step together or none.
func (rd *round) placeGang(sp *step) {
	if len(sp.waiting) < len(sp.tasks) || sp.gangRun != 0 {
		return
	}
	for _, tk := range sp.waiting {
		if !rd.dr.startable(tk, rd.now) {
			return
		}
	}
	rd.bar(rd.dr.pool(sp.occ.job))
	for _, rack := range rd.racks(sp) {
		if chosen := rd.fitGang(sp, rack); chosen != nil {
			rd.startGang(sp, chosen)
			return
		}
	}
}

// racks lists the racks to try for a gang: each one before all together.
func (rd *round) racks(sp *step) []string {
	if !sp.spec.SameRack {
		return []string{""}
	}
	var racks []string
	for _, wk := range rd.workers {
		if !slices.Contains(racks, wk.info.Rack) && wk.info.Rack != "" {
			racks = append(racks, wk.info.Rack)
		}
	}
	return append(racks, "")
}

func (rd *round) fitGang(sp *step, rack string) []int {
	rd.countSteps(sp)
	first := rd.dr.demand(sp.waiting[0])
	cands := slices.Clone(rd.permitted(sp, rd.dr.queue(sp.occ.job), &first, rd.cands))
	var chosen []int
	for _, tk := range sp.waiting {
		dm := rd.dr.demand(tk)
		dm.Rack = rack
		ix := placer.Choose(&dm, cands)
		if ix < 0 {
			return nil
		}
		cands[ix].Free = cands[ix].Free.Minus(placer.Reservation(dm.Needs, dm.BestEffort))
		cands[ix].SameStep++
		chosen = append(chosen, ix)
	}
	return chosen
}

func (rd *round) startGang(sp *step, chosen []int) {
	var run modeler.Run
	checkpoint := ""
	for _, tk := range sp.tasks {
		run = max(run, rd.dr.nextRun(tk))
		// The checkpoint of any member is that of the gang; the newest is the greatest.
		checkpoint = max(checkpoint, tk.checkpoint)
	}
	for ix, tk := range slices.Clone(sp.waiting) {
		tk.lastRun, tk.checkpoint = run-1, checkpoint
		rd.start(tk, chosen[ix])
	}
	sp.gangRun = run
}

func (dr *Director) pool(jb *job) modeler.PoolName { return dr.queue(jb).Pool }

// startable reports whether a waiting task may start now.
func (dr *Director) startable(tk *task, now time.Time) bool {
	if tk.unseen && !dr.accounted && !tk.step.spec.Speculative && !dr.runsNowhere(tk) {
		return false
	}
	return tk.step.occ.job.confirmed && !now.Before(tk.notBefore) && !dr.exhausted(tk)
}

// runsNowhere reports whether a long-running task of an earlier leader is known not to run: it was
// never placed, or the worker on which it was placed last has answered without listing it.
func (dr *Director) runsNowhere(tk *task) bool {
	if !tk.step.spec.LongRunning {
		return false
	}
	wk := dr.workers[tk.placedOn]
	return tk.placedOn == "" || wk == nil || !wk.counted || time.Since(dr.began) > dr.op.InheritedLease
}

func (dr *Director) demand(tk *task) placer.Demand {
	sp := tk.step.spec
	return placer.Demand{
		Needs: sp.Needs, Label: sp.Label, DataRack: sp.DataRack, PerWorker: sp.PerWorker,
		LatencyCritical: sp.TailTarget > 0, LongRunning: sp.LongRunning, BestEffort: sp.BestEffort, Image: sp.Image, Avoid: tk.avoid, RemoteDataFactor: dr.op.Limits.RemoteDataFactor,
	}
}

func (dr *Director) nextRun(tk *task) modeler.Run {
	return max(tk.lastRun, modeler.Run(dr.op.Epoch-1)*runsPerEpoch) + 1
}

// send hands a start to the loops that send them.
func (dr *Director) send(at *attempt) {
	wk := at.worker
	dr.underWay++
	wk.outbox = append(wk.outbox, at)
	if wk.starters < startersPerWorker {
		wk.starters++
		dr.goRun(func(ctx context.Context) { dr.startLoop(ctx, wk) })
	}
}

// startLoop sends the starts that wait for a worker.
func (dr *Director) startLoop(ctx context.Context, wk *worker) {
	for {
		at, order, info := dr.nextStart(ctx, wk)
		if at == nil {
			return
		}
		dr.op.Meter.Add(meter.WorkerStarts, 1)
		sctx, cancel := context.WithTimeout(ctx, orderTimeout)
		_, err := dr.op.WorkerClient.Start(sctx, &info, order)
		cancel()
		dr.mu.Lock()
		now := time.Now()
		dr.endStart(at, err, now)
		dr.answered(at, order, err, now)
		again := err != nil || dr.throttled
		dr.mu.Unlock()
		if again {
			dr.kick()
		}
	}
}

// endStart takes a start that was under way off the window.
func (dr *Director) endStart(at *attempt, err error, now time.Time) {
	dr.underWay--
	switch {
	case errors.Is(err, modeler.ErrNoAnswer):
		dr.window.Lost(now)
	case !errors.Is(err, modeler.ErrNotSent):
		dr.window.Answered(now.Sub(at.sentAt), dr.underWay, now)
	}
}

// nextStart takes the next start of a worker, or ends the loop.
func (dr *Director) nextStart(ctx context.Context, wk *worker) (*attempt, *modeler.StartRequest, modeler.Worker) {
	dr.mu.Lock()
	defer dr.mu.Unlock()
	for len(wk.outbox) > 0 && ctx.Err() == nil {
		at := wk.outbox[0]
		wk.outbox = wk.outbox[1:]
		if at.state != placed || wk.attempts[attemptKey{at.task.id(), at.run}] != at {
			dr.underWay--
			continue
		}
		if at.life != wk.born || !dr.takes(wk, time.Now()) || !dr.op.Authorized() {
			dr.underWay--
			dr.drop(at)
			dr.after(at.task, time.Now())
			continue
		}
		at.state, at.sentAt = sent, time.Now()
		at.task.step.occ.job.started = true
		at.checkpoint = at.task.checkpoint
		return at, &modeler.StartRequest{
			Task: at.task.id(), Run: at.run, Spec: at.task.step.occ.job.Spec, Epoch: dr.op.Epoch,
			Deadline: wk.now(time.Now()) + startLimit, Checkpoint: at.checkpoint, Ticket: at.task.step.ticket(wk.info.ID),
		}, wk.info
	}
	wk.starters--
	return nil, nil, modeler.Worker{}
}

// answered takes the answer to a start.
func (dr *Director) answered(at *attempt, order *modeler.StartRequest, err error, now time.Time) {
	wk, tk := at.worker, at.task
	if wk.attempts[attemptKey{tk.id(), at.run}] != at {
		// A report has ended the run before the answer came.
		return
	}
	if err == nil {
		dr.op.Meter.Observe(meter.TimeToStart, now.Sub(tk.step.occ.due))
		dr.log(logger.TaskStarted, "Task", order.Task.String(), "Run", order.Run, "Worker", wk.info.ID, "Resumes", order.Checkpoint != "", "FreeCores", wk.free.MilliCores, "Waited", now.Sub(tk.step.occ.due).String())
		at.begin(now)
		return
	}
	dr.log(logger.StartRejected, "Task", order.Task.String(), "Run", order.Run, "Worker", wk.info.ID, "Error", err.Error())
	switch {
	case errors.Is(err, modeler.ErrNoAnswer):
		maps.DeleteFunc(wk.doubtful, func(_ attemptKey, since time.Time) bool { return now.Sub(since) > longestDelay })
		wk.doubtful[attemptKey{order.Task, order.Run}] = now
		if at.state == sent {
			at.state, at.lateAt = uncertain, order.Deadline
		}
		dr.stop(at, "start without answer")
		return
	case errors.Is(err, modeler.ErrStaleEpoch):
		dr.depose("worker " + string(wk.info.ID) + " has seen a higher epoch")
		return
	case errors.Is(err, modeler.ErrStaleRun):
		tk.lastRun += oldRunStep
	case errors.Is(err, modeler.ErrPermitRefused):
		tk.step.forgetPermit(wk.info.ID)
	case errors.Is(err, modeler.ErrRefused):
		tk.notBefore = now.Add(time.Second)
	default:
		wk.refusedUntil = now.Add(refusalPause)
	}
	dr.drop(at)
	dr.after(tk, now)
}

// stop ends a run. Its room stays taken until the worker lists the end.
func (dr *Director) stop(at *attempt, why string) {
	if at.stopping {
		return
	}
	at.stopping = true
	if at.state == placed {
		dr.drop(at)
		dr.after(at.task, time.Now())
		return
	}
	dr.log(logger.StopSent, "Task", at.task.id().String(), "Run", at.run, "Worker", at.worker.info.ID, "Reason", why)
	id := at.task.id()
	dr.goRun(func(ctx context.Context) { dr.stopLoop(ctx, at, id) })
}

// stopLoop repeats a stop until the worker agrees or the run has ended.
func (dr *Director) stopLoop(ctx context.Context, at *attempt, id modeler.TaskID) {
	for pause := stopRetry; ctx.Err() == nil; pause = min(2*pause, mostStopRetry) {
		dr.mu.Lock()
		wk := at.worker
		info := wk.info
		gone := wk.attempts[attemptKey{id, at.run}] != at
		allowed := dr.op.Authorized()
		dr.mu.Unlock()
		if gone {
			return
		}
		if allowed {
			sctx, cancel := context.WithTimeout(ctx, orderTimeout)
			err := dr.op.WorkerClient.Stop(sctx, &info, id, at.run, dr.op.Epoch)
			cancel()
			if errors.Is(err, modeler.ErrStaleEpoch) {
				dr.depose("worker " + string(info.ID) + " has seen a higher epoch")
				return
			}
			if err == nil {
				dr.mu.Lock()
				at.stopAnsweredAt = time.Now()
				dr.mu.Unlock()
				return
			}
		}
		pauser.Pause(ctx, pause)
	}
}

// move takes a run from its worker. The task starts elsewhere once the run has ended, or at once
// where copies may run.
func (dr *Director) move(at *attempt, why string) {
	tk := at.task
	tk.avoidWorker(at.worker.info.ID)
	tk.moves++
	dr.op.Meter.Add(meter.TasksMoved, 1)
	if tk.step.spec.Speculative {
		if len(tk.attempts) == 1 {
			dr.log(logger.SpeculativeRunAllowed, "Task", tk.id().String(), "Run", at.run, "Worker", at.worker.info.ID, "Reason", why)
			dr.enqueue(tk)
		}
		return
	}
	dr.stop(at, why)
}
