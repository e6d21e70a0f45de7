package director

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/currantrouter/currantrouter/internal/job/appraiser"
	"github.com/currantrouter/currantrouter/internal/job/keeper"
	"github.com/currantrouter/currantrouter/internal/job/modeler"
	"github.com/currantrouter/currantrouter/internal/job/pacer"
	"github.com/currantrouter/currantrouter/internal/job/placer"
	"github.com/currantrouter/currantrouter/internal/process/pauser"
	"github.com/currantrouter/currantrouter/internal/telemetry/logger"
	"github.com/currantrouter/currantrouter/internal/telemetry/meter"
)

const (
	// drift is the share by which a worker's clock may be slow.
	drift = 0.02
	// leaseMargin is added to the end of a lease for the time that the worker takes to end its runs.
	leaseMargin = 150 * time.Millisecond
	// returnGrace is how much longer than its lease a silent worker is waited for with tasks that end
	// by themselves. They have probably ended, and their ends count when the worker is back.
	returnGrace = 4 * time.Second
	// busyWait and idleWait are how long a renewal waits for an end, on workers with and without runs.
	busyWait = time.Second
	idleWait = 2 * time.Second
	// pacedWait is that on a worker where work that fills runs beside serving tasks, whose tail
	// latency has to be looked at more often than it is measured.
	pacedWait = 500 * time.Millisecond
	// renewSlack is the time beyond the wait after which a renewal has no answer.
	renewSlack = 500 * time.Millisecond
	// durableWait is how long the next renewal waits for the facts of the last one.
	durableWait = 250 * time.Millisecond
	// unnotedPause is the pause between renewals while ends cannot be noted. The worker answers at
	// once then, as it lists them again.
	unnotedPause = 250 * time.Millisecond
	// retryPause is the pause after a renewal without answer.
	retryPause = 100 * time.Millisecond
	// longestDelay is how late an order without answer may be carried out.
	longestDelay = 15 * time.Second
	// foreignRepeat is the time until a stop of an unknown run is repeated.
	foreignRepeat = time.Second
)

// worker is one worker as this term knows it.
type worker struct {
	info modeler.Worker
	// present is set while the registry lists the worker.
	present bool
	// granting is set once the journal is told that the worker may hold a lease, granted once that
	// is durable.
	granted, granting bool
	// answered is set once the worker has answered in this term, so that it refuses earlier leaders.
	answered bool
	// counted is set while the worker is one of the unaccounted.
	counted bool
	// following is set while a loop renews the lease.
	following bool

	// born is the life that answered last, clock its clock at the local time clockAt.
	born    int64
	clock   time.Duration
	clockAt time.Time
	// leaseEnd is the latest end of the lease that the worker may have been given, on its clock.
	leaseEnd time.Duration
	// seen and noted are the numbers of the last end that was processed and that is durable.
	seen, noted int64
	// unnoted holds the facts of ends that the journal was not given yet, finals the jobs that end
	// with them, and noting is set while the journal has not taken the batch before.
	unnoted []keeper.Fact
	finals  []*job
	noting  chan struct{}
	silent  bool

	// free is the capacity less all reservations.
	free             modeler.Resources
	serving, filling int
	servingCores     int64
	// endingCores is what is reserved for tasks that end by themselves.
	endingCores  int64
	fillingCores int64
	// images counts the serving and the filling tasks by image.
	servingImages, fillingImages map[string]int
	attempts                     map[attemptKey]*attempt
	outbox                       []*attempt
	starters                     int
	// doubtful holds when starts lost their answer. They may reach a later life.
	doubtful map[attemptKey]time.Time
	// foreign holds when a stop was last sent for a run that this term does not want.
	foreign map[attemptKey]time.Time
	record  appraiser.FaultHistory
	// refusedUntil delays starts after a refusal for lack of room or health.
	refusedUntil time.Time
	pace         pacer.State
}

type attemptKey struct {
	task modeler.TaskID
	run  modeler.Run
}

// now returns the least that the worker's clock can show.
func (wk *worker) now(at time.Time) time.Duration {
	return wk.clock + time.Duration(float64(at.Sub(wk.clockAt))*(1-drift))
}

// SetWorkers tells which workers the registry lists. Workers with runs stay until their leases are
// over.
func (dr *Director) SetWorkers(list []modeler.Worker) {
	dr.mu.Lock()
	defer dr.mu.Unlock()
	listed := make(map[modeler.WorkerID]bool, len(list))
	for ix := range list {
		listed[list[ix].ID] = true
		dr.setWorker(&list[ix])
	}
	for id, wk := range dr.workers {
		if !listed[id] {
			dr.removeWorker(wk)
		}
	}
	dr.kick()
}

// UpdateWorker takes a changed entry of the registry.
func (dr *Director) UpdateWorker(info modeler.Worker) {
	dr.mu.Lock()
	defer dr.mu.Unlock()
	dr.setWorker(&info)
	dr.kick()
}

// RemoveWorker tells that the registry does not list a worker any more.
func (dr *Director) RemoveWorker(id modeler.WorkerID) {
	dr.mu.Lock()
	defer dr.mu.Unlock()
	if wk := dr.workers[id]; wk != nil {
		dr.removeWorker(wk)
	}
}

func (dr *Director) removeWorker(wk *worker) {
	if wk.present {
		dr.log(logger.WorkerUnregistered, "Worker", wk.info.ID, "Runs", len(wk.attempts))
	}
	wk.present = false
}

func (dr *Director) setWorker(info *modeler.Worker) {
	wk := dr.workers[info.ID]
	if wk == nil {
		wk = &worker{
			attempts: map[attemptKey]*attempt{}, foreign: map[attemptKey]time.Time{}, doubtful: map[attemptKey]time.Time{},
			servingImages: map[string]int{}, fillingImages: map[string]int{},
		}
		wk.info = *info
		wk.free = info.Capacity
		dr.workers[info.ID] = wk
	}
	if info.Draining && !wk.info.Draining {
		dr.log(logger.WorkerDraining, "Worker", info.ID, "Remaining", info.Remaining.String(), "Runs", len(wk.attempts))
	}
	wk.free = wk.free.Plus(info.Capacity).Minus(wk.info.Capacity)
	wk.info, wk.present = *info, true
	if info.Incarnation > wk.born && wk.born != 0 {
		dr.reborn(wk, info.Incarnation, time.Now())
	}
	dr.follow(wk)
}

// follow starts the loop of a worker. It does nothing before the term runs.
func (dr *Director) follow(wk *worker) {
	if dr.ctx == nil || wk.following {
		return
	}
	wk.following = true
	dr.goRun(func(ctx context.Context) { dr.renewLoop(ctx, wk) })
}

// renewLoop keeps the lease of one worker and reads its lists.
func (dr *Director) renewLoop(ctx context.Context, wk *worker) {
	for ctx.Err() == nil {
		if !dr.grant(ctx, wk) {
			return
		}
		order, info, ok := dr.renewal(wk)
		if !ok {
			pauser.Pause(ctx, retryPause)
			continue
		}
		sentAt := time.Now()
		rep, err := dr.renew(ctx, &info, order)
		if err == nil {
			err = dr.resolve(ctx, &rep)
		}
		if err != nil {
			dr.unanswered(wk, err)
			pauser.Pause(ctx, retryPause)
			continue
		}
		select {
		case <-ctx.Done():
			return
		case <-dr.loaded:
		}
		durable := dr.reported(wk, sentAt, &rep)
		dr.kick()
		select {
		case <-ctx.Done():
		case <-durable:
		case <-time.After(durableWait):
			pauser.Pause(ctx, unnotedPause)
		}
	}
}

// grant makes the worker known as one that may hold a lease, before it is given one. It returns
// false when the worker is gone and the loop is to end.
func (dr *Director) grant(ctx context.Context, wk *worker) bool {
	dr.mu.Lock()
	gone := !wk.present && !wk.counted && len(wk.attempts) == 0 && dr.idle(wk, time.Now())
	granted := wk.granted
	wk.granting = !gone
	info := wk.info
	if gone {
		delete(dr.workers, wk.info.ID)
	}
	dr.mu.Unlock()
	switch {
	case gone && granted:
		dr.record(ctx, []keeper.Fact{{LeaseReleased: info.ID}}, func() {})
		return false
	case gone:
		return false
	case granted:
		return true
	}
	dr.record(ctx, []keeper.Fact{{LeaseGranted: &info}}, func() {
		dr.mu.Lock()
		wk.granted = true
		dr.mu.Unlock()
	})
	return ctx.Err() == nil
}

// idle reports whether nothing can run on a worker without attempts: its last report listed nothing
// else, and no start to it is in doubt, or its lease is over.
func (dr *Director) idle(wk *worker, now time.Time) bool {
	if dr.leaseOver(wk, now) {
		return true
	}
	for _, since := range wk.doubtful {
		if now.Sub(since) < 2*startLimit {
			return false
		}
	}
	return wk.answered && len(wk.foreign) == 0
}

// renewal returns the next renewal, or false while this host may not give orders.
func (dr *Director) renewal(wk *worker) (*modeler.RenewRequest, modeler.Worker, bool) {
	dr.mu.Lock()
	defer dr.mu.Unlock()
	if !dr.op.Authorized() {
		return nil, wk.info, false
	}
	order := &modeler.RenewRequest{Epoch: dr.op.Epoch, AckedEnd: wk.noted, MaxWait: idleWait}
	switch {
	case !wk.answered || wk.silent || wk.noting != nil:
		order.MaxWait = 0
	case wk.serving > 0 && wk.filling > 0:
		order.MaxWait = pacedWait
	case len(wk.attempts) > 0:
		order.MaxWait = busyWait
	}
	// A worker that does not answer gets no longer lease, or it would never be known to be over.
	if wk.answered && !wk.silent {
		order.Deadline = wk.now(time.Now()) + dr.op.Limits.Lease
		wk.leaseEnd = max(wk.leaseEnd, order.Deadline)
	}
	return order, wk.info, true
}

func (dr *Director) renew(ctx context.Context, info *modeler.Worker, order *modeler.RenewRequest) (modeler.Report, error) {
	ctx, cancel := context.WithTimeout(ctx, order.MaxWait+renewSlack)
	defer cancel()
	dr.op.Meter.Add(meter.WorkerRenewals, 1)
	return dr.op.WorkerClient.Renew(ctx, info, order)
}

// unanswered notes that a renewal failed.
func (dr *Director) unanswered(wk *worker, err error) {
	if errors.Is(err, modeler.ErrStaleEpoch) {
		dr.depose("worker " + string(wk.info.ID) + " has seen a higher epoch")
		return
	}
	dr.mu.Lock()
	defer dr.mu.Unlock()
	if dr.ctx.Err() == nil && !wk.silent {
		dr.log(logger.WorkerUnreachable, "Worker", wk.info.ID, "Runs", len(wk.attempts), "LeaseLeft", (wk.leaseEnd - wk.now(time.Now())).String(), "Error", err.Error())
	}
	wk.silent = true
}

// resolve reads the jobs of runs that this term does not know: an earlier leader may have started
// them just before.
func (dr *Director) resolve(ctx context.Context, rep *modeler.Report) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-dr.loaded:
	}
	for _, id := range dr.unknown(rep) {
		stored, err := dr.op.JobStore.Load(ctx, id)
		if isMissing(err) {
			continue
		}
		if err != nil {
			return err
		}
		cancelled, err := dr.op.JobStore.Cancelled(ctx, id)
		if err != nil {
			return err
		}
		dr.Add(stored, true)
		if cancelled {
			dr.Cancel(id)
		}
	}
	return nil
}

func (dr *Director) unknown(rep *modeler.Report) []modeler.JobID {
	dr.mu.Lock()
	defer dr.mu.Unlock()
	var ids []modeler.JobID
	note := func(id modeler.JobID) {
		if dr.jobs[id] == nil && !slices.Contains(ids, id) {
			ids = append(ids, id)
		}
	}
	for ix := range rep.Running {
		note(rep.Running[ix].Task.Job)
	}
	for ix := range rep.Ended {
		note(rep.Ended[ix].Task.Job)
	}
	return ids
}

// reborn takes a new life of a worker: what ran in the earlier one has ended.
func (dr *Director) reborn(wk *worker, born int64, now time.Time) {
	if wk.born != 0 {
		dr.log(logger.WorkerRestarted, "Worker", wk.info.ID, "Runs", len(wk.attempts))
	}
	first := wk.born == 0
	wk.born, wk.seen, wk.noted, wk.leaseEnd = born, 0, 0, 0
	wk.record = appraiser.FaultHistory{}
	clear(wk.foreign)
	if first {
		return
	}
	// Nothing is known of the new life's clock until it answers.
	wk.answered = false
	for key, since := range wk.doubtful {
		if wk.attempts[key] == nil && now.Sub(since) < longestDelay {
			dr.stopForeign(wk, key.task, key.run, now)
		}
	}
	clear(wk.doubtful)
	for _, at := range wk.list() {
		if at.state == sent || at.state == uncertain {
			// A start without answer may yet reach the new life, whose clock does not refuse it.
			at.state, at.life = uncertain, born
			at.lateAt = maxClock
			dr.stop(at, "worker restarted")
			continue
		}
		if at.state == active && !at.listed {
			// The start may have been answered by the new life. Its first report tells.
			at.life = born
			continue
		}
		dr.lose(at, "worker restarted", now)
	}
}

// maxClock is later than any worker's clock.
const maxClock = time.Duration(1<<63 - 1)

// list returns the attempts, which may then change.
func (wk *worker) list() []*attempt {
	list := make([]*attempt, 0, len(wk.attempts))
	for _, at := range wk.attempts {
		list = append(list, at)
	}
	return list
}

// expire ends the runs of a worker whose lease is over.
func (dr *Director) expire(wk *worker, now time.Time) {
	if len(wk.attempts) == 0 || !wk.silent || !dr.leaseOver(wk, now) {
		return
	}
	late := dr.leaseOver(wk, now.Add(-returnGrace))
	for _, at := range wk.list() {
		if (late || at.task.step.spec.LongRunning) && (at.state != uncertain || at.lateAt < wk.now(now)) {
			dr.lose(at, "lease over", now)
		}
	}
}

// leaseOver reports whether nothing can run on the worker any more without a new order.
func (dr *Director) leaseOver(wk *worker, now time.Time) bool {
	if !wk.answered {
		return now.Sub(dr.began) > dr.op.InheritedLease
	}
	return wk.now(now) > wk.leaseEnd+leaseMargin
}

// lose ends a run without a result.
func (dr *Director) lose(at *attempt, why string, now time.Time) {
	tk := at.task
	dr.log(logger.RunLost, "Task", tk.id().String(), "Run", at.run, "Worker", at.worker.info.ID, "Reason", why, "Resumes", tk.checkpoint != "")
	dr.op.Meter.Add(meter.TasksLost, 1)
	dr.drop(at)
	dr.after(tk, now)
}

// reserve makes an attempt and takes its room.
func (dr *Director) reserve(tk *task, wk *worker, run modeler.Run) *attempt {
	dr.dequeue(tk)
	sp := tk.step
	at := &attempt{task: tk, run: run, worker: wk, life: wk.born, pace: pacer.FullPace, checkpoint: tk.checkpoint}
	tk.unseen = false
	tk.lastRun = max(tk.lastRun, run)
	tk.attempts = append(tk.attempts, at)
	wk.attempts[attemptKey{tk.id(), run}] = at
	wk.free = wk.free.Minus(placer.Reservation(sp.spec.Needs, sp.spec.BestEffort))
	sp.perWorker[wk.info.ID]++
	wk.neighbour(sp.spec, 1)
	return at
}

// drop ends an attempt and gives its room back.
func (dr *Director) drop(at *attempt) {
	tk, wk, sp := at.task, at.worker, at.task.step
	key := attemptKey{tk.id(), at.run}
	if wk.attempts[key] != at {
		return
	}
	delete(wk.attempts, key)
	tk.attempts = slices.DeleteFunc(tk.attempts, func(ot *attempt) bool { return ot == at })
	wk.free = wk.free.Plus(placer.Reservation(sp.spec.Needs, sp.spec.BestEffort))
	if sp.perWorker[wk.info.ID]--; sp.perWorker[wk.info.ID] == 0 {
		delete(sp.perWorker, wk.info.ID)
	}
	wk.neighbour(sp.spec, -1)
	if sp.spec.Gang && at.run == sp.gangRun {
		sp.gangRun = 0
	}
	sp.occ.job.shrink()
}

// neighbour counts what a task is to its neighbours, or its end.
func (wk *worker) neighbour(sp *modeler.Step, change int) {
	count := func(images map[string]int) {
		if images[sp.Image] += change; images[sp.Image] == 0 {
			delete(images, sp.Image)
		}
	}
	if !sp.BestEffort && !sp.LongRunning {
		wk.endingCores += int64(change) * sp.Needs.MilliCores
	}
	if sp.BestEffort {
		wk.filling += change
		wk.fillingCores += int64(change) * sp.Needs.MilliCores
		count(wk.fillingImages)
	}
	if sp.TailTarget > 0 {
		wk.serving += change
		wk.servingCores += int64(change) * sp.Needs.MilliCores
		count(wk.servingImages)
	}
}
