package director

import (
	"context"
	"errors"
	"maps"
	"slices"
	"time"

	"github.com/currantrouter/currantrouter/internal/job/modeler"
	"github.com/currantrouter/currantrouter/internal/process/pauser"
	"github.com/currantrouter/currantrouter/internal/telemetry/logger"
	"github.com/currantrouter/currantrouter/internal/telemetry/meter"
)

const (
	// requestTimeout is the time after which a request to a worker counts as unanswered. Answers
	// take a few milliseconds. A lost answer delays its task by this time and by
	// the stop that follows.
	requestTimeout = 500 * time.Millisecond
	// maxStartAge is the age of a start, on the worker's clock, from which the worker refuses it. It
	// bounds how long the effect of an unanswered start is uncertain, and exceeds requestTimeout so
	// that a slow answer still counts. For a worker that restarts in the meantime, see
	// maxStartDelayAfterRestart.
	maxStartAge = 1500 * time.Millisecond
	// maxStartSendersPerWorker bounds the goroutines that send starts to one worker. Each waits for
	// the answer to its start, so that a worker that does not answer delays few starts.
	maxStartSendersPerWorker = 3
	// refusalPause is how long a worker gets no starts after it refused one for lack of capacity or
	// health or because its deadline had passed, after one could not be sent or got no answer, and after
	// another incarnation received one. The starts that are queued for it then go elsewhere.
	refusalPause = 250 * time.Millisecond
	// rejectedTaskPause is how long a task waits after a worker rejected its start as invalid or for
	// an unknown reason.
	rejectedTaskPause = time.Second
	// minRejectionPause is how long a task waits after the second of its starts in a row that workers rejected. It doubles with
	// each further one, up to maxRejectionPause. The first is often due to a ticket or capacity that has just gone.
	minRejectionPause = 100 * time.Millisecond
	maxRejectionPause = 2 * time.Second
	// minStopRetry is the pause before an unanswered stop is first repeated. It doubles up to
	// maxStopRetry, so that stops do not saturate a slow link.
	minStopRetry = 150 * time.Millisecond
	// maxStopRetry is the longest pause before an unanswered stop is repeated.
	maxStopRetry = 1200 * time.Millisecond
	// staleRunStep is added to a task's last run number when a worker refused a run because one with
	// the same or a higher number ended there.
	staleRunStep = 1 << 10
)

// queueStart queues a start for the goroutines that send starts to its worker. Those of long-running tasks, which
// are few and are to run within a bound, go before others.
func (dr *Director) queueStart(at *attempt) {
	wk := at.worker
	dr.startsInFlight++
	at.queuedAt = time.Now()
	ix := len(wk.startQueue)
	if at.task.step.spec.LongRunning {
		for ix > 0 && !wk.startQueue[ix-1].task.step.spec.LongRunning {
			ix--
		}
	}
	wk.startQueue = slices.Insert(wk.startQueue, ix, at)
	if wk.startSenders < maxStartSendersPerWorker {
		wk.startSenders++
		dr.startGoroutine(func(ctx context.Context) { dr.sendStarts(ctx, wk) })
	}
}

// sendStarts sends the queued starts of a worker, one after the other, until none is left.
func (dr *Director) sendStarts(ctx context.Context, wk *worker) {
	for {
		dr.probe(ctx, wk)
		at, req, info := dr.nextStart(ctx, wk)
		if at == nil {
			return
		}
		dr.op.Meter.Add(meter.WorkerStarts, 1)
		sctx, cancel := context.WithTimeout(ctx, requestTimeout)
		clock, err := dr.op.WorkerClient.Start(sctx, &info, req)
		cancel()
		dr.mu.Lock()
		now := time.Now()
		if err == nil {
			wk.answeredAt = now
			wk.checkClock(clock, at.sentAt, now)
		}
		dr.updateStartWindow(at, err, now)
		dr.handleStartResult(at, req, err, now)
		wake := err != nil || dr.windowFull
		dr.mu.Unlock()
		if wake {
			dr.wakeDispatch()
		}
	}
}

// updateStartWindow removes a start from those in flight and adapts the window to its result.
func (dr *Director) updateStartWindow(at *attempt, err error, now time.Time) {
	dr.startsInFlight--
	switch {
	case errors.Is(err, modeler.ErrNoAnswer):
		dr.usage.unanswered++
		dr.startWindow.Lost(now)
	case !errors.Is(err, modeler.ErrNotSent):
		dr.usage.addStart(at, now)
		dr.startWindow.Answered(now.Sub(at.sentAt), dr.startsInFlight, now)
	}
}

// nextStart returns the next queued start of a worker, or nil to end the loop. It drops starts that
// must not be sent any more.
func (dr *Director) nextStart(ctx context.Context, wk *worker) (*attempt, *modeler.StartRequest, modeler.Worker) {
	dr.mu.Lock()
	defer dr.mu.Unlock()
	for len(wk.startQueue) > 0 && ctx.Err() == nil {
		at := wk.startQueue[0]
		wk.startQueue = wk.startQueue[1:]
		if at.state != placed || wk.attempts[attemptKey{at.task.id(), at.run}] != at {
			dr.startsInFlight--
			continue
		}
		if at.incarnation != wk.incarnation || !dr.acceptsTasks(wk, time.Now()) || !dr.maySendStarts(time.Now()) {
			dr.startsInFlight--
			dr.release(at)
			dr.afterRunEnd(at.task, time.Now())
			continue
		}
		at.state, at.sentAt, at.fence = sent, time.Now(), dr.fence(wk)
		at.resumeTask()
		deadline := wk.minClock(time.Now()) + maxStartAge
		// The worker extends its lease to the deadline of a start.
		wk.leaseEnd = max(wk.leaseEnd, deadline)
		return at, &modeler.StartRequest{
			Task: at.task.id(), Run: at.run, Spec: at.task.step.occ.job.Spec, Fence: at.fence,
			Deadline: deadline, Checkpoint: at.checkpoint, Ticket: at.task.step.ticket(wk.info.ID),
		}, wk.info
	}
	wk.startSenders--
	return nil, nil, modeler.Worker{}
}

// handleStartResult handles the answer to a start, or the lack of one.
func (dr *Director) handleStartResult(at *attempt, req *modeler.StartRequest, err error, now time.Time) {
	wk, tk := at.worker, at.task
	key := attemptKey{tk.id(), at.run}
	if errors.Is(err, modeler.ErrNoAnswer) {
		dr.noteUnansweredStart(at, key, now)
	}
	if wk.attempts[key] != at {
		// A report ended the run before the answer arrived.
		return
	}
	if err == nil {
		dr.op.Meter.Observe(meter.TimeToStart, now.Sub(tk.step.occ.due))
		kv := []any{"Task", req.Task.String(), "Run", req.Run, "Worker", wk.info.ID, "Resumes", req.Checkpoint != "", "FreeCores", wk.free.MilliCores, "Waited", now.Sub(tk.step.occ.due).String()}
		if !at.freedAt.IsZero() {
			dr.op.Meter.Observe(meter.TimeFromFree, now.Sub(at.freedAt))
			kv = append(kv, "FreeFor", now.Sub(at.freedAt).String())
		}
		dr.log(logger.TaskStarted, append(kv, tk.wait.startInputs(now)...)...)
		at.markActive(now)
		tk.rejections = 0
		return
	}
	dr.log(logger.StartRejected, "Task", req.Task.String(), "Run", req.Run, "Worker", wk.info.ID, "Error", err.Error())
	switch {
	case errors.Is(err, modeler.ErrNoAnswer):
		if at.state == sent {
			at.state, at.startDeadline = uncertain, req.Deadline
		}
		tk.avoidAfterFailedStart(wk.info.ID)
		wk.noStartsBefore = now.Add(refusalPause)
		dr.stopRun(at, "start not answered")
		return
	case errors.Is(err, modeler.ErrStaleFence):
		if dr.checkRefusal(wk, req.Fence, err) {
			return
		}
	case errors.Is(err, modeler.ErrStaleRun):
		tk.lastRun += staleRunStep
	case errors.Is(err, modeler.ErrPermitRefused):
		if jb := tk.step.occ.job; dr.policy(jb) == nil {
			// The job was stored by an earlier version, without the policy of its queue.
			jb.Policy = &modeler.Policy{}
		}
		tk.step.deletePermit(wk.info.ID)
	case errors.Is(err, modeler.ErrRefused):
		tk.notBefore = now.Add(rejectedTaskPause)
		tk.avoidAfterFailedStart(wk.info.ID)
	default:
		wk.noStartsBefore = now.Add(refusalPause)
	}
	if !errors.Is(err, modeler.ErrNotSent) {
		tk.pauseAfterRejection(now)
	}
	dr.release(at)
	dr.afterRunEnd(tk, now)
}

// pauseAfterRejection counts a rejected start and delays the next one.
func (tk *task) pauseAfterRejection(now time.Time) {
	if tk.rejections++; tk.rejections == 1 {
		return
	}
	pause := maxRejectionPause
	if doublings := tk.rejections - 2; minRejectionPause<<min(doublings, 10) < maxRejectionPause {
		pause = minRejectionPause << doublings
	}
	if until := now.Add(pause); until.After(tk.notBefore) {
		tk.notBefore = until
	}
}

// noteUnansweredStart notes that a start may yet be carried out, also by a later incarnation of the
// worker. It stops the run there if that incarnation is known already and the run has no attempt any
// more.
func (dr *Director) noteUnansweredStart(at *attempt, key attemptKey, now time.Time) {
	wk := at.worker
	maps.DeleteFunc(wk.unansweredStarts, func(_ attemptKey, since time.Time) bool { return now.Sub(since) > maxStartDelayAfterRestart })
	wk.unansweredStarts[key] = now
	dr.unanswered[wk] = true
	wk.raiseFence()
	if wk.attempts[key] == nil && wk.incarnation != at.incarnation {
		dr.stopUnexpected(wk, key.task, key.run, now)
	}
}

// WorkerFences returns the workers that a start without an answer may still reach, each with its present token. It is empty
// for no director.
func (dr *Director) WorkerFences() []modeler.WorkerFence {
	if dr == nil {
		return nil
	}
	dr.mu.Lock()
	defer dr.mu.Unlock()
	now := time.Now()
	var list []modeler.WorkerFence
	for wk := range dr.unanswered {
		left := time.Duration(0)
		for _, since := range wk.unansweredStarts {
			left = max(left, maxStartDelayAfterRestart-now.Sub(since))
		}
		if left < time.Millisecond {
			delete(dr.unanswered, wk)
			continue
		}
		info := &wk.info
		list = append(list, modeler.WorkerFence{ID: info.ID, DataCentre: info.DataCentre, Address: info.Address, Fence: dr.fence(wk), Left: left})
	}
	return list
}

// stopRun requests the end of a run. Its resources stay reserved until the worker reports the end.
func (dr *Director) stopRun(at *attempt, reason string) {
	if at.stopping {
		return
	}
	at.stopping, at.stopAnsweredAt = true, time.Time{}
	if at.state == placed {
		dr.release(at)
		dr.afterRunEnd(at.task, time.Now())
		return
	}
	dr.log(logger.StopSent, "Task", at.task.id().String(), "Run", at.run, "Worker", at.worker.info.ID, "Reason", reason)
	id := at.task.id()
	dr.startGoroutine(func(ctx context.Context) { dr.stopLoop(ctx, at, id) })
}

// stopLoop repeats a stop until the worker answers or the run has ended.
func (dr *Director) stopLoop(ctx context.Context, at *attempt, id modeler.TaskID) {
	key := attemptKey{id, at.run}
	needless := func() bool { return at.worker.attempts[key] != at }
	dr.repeatStop(ctx, at.worker, key, needless, at.stops.note, func() { at.stopAnsweredAt = time.Now() })
}

// repeatStop sends a stop until the worker answers, the stop is needless, or the term is over. An answer
// does not count if a new incarnation of the worker is known by then. The functions are called while mu
// is held: note gets the result of each request, and answered is called once for an answer that counts.
func (dr *Director) repeatStop(ctx context.Context, wk *worker, key attemptKey, needless func() bool, note func(error), answered func()) {
	logged := false
	for pause := minStopRetry; ctx.Err() == nil; pause = min(2*pause, maxStopRetry) {
		dr.mu.Lock()
		info, incarnation, fence := wk.info, wk.incarnation, dr.fence(wk)
		done := needless()
		allowed := dr.op.MaySendRequests()
		dr.mu.Unlock()
		if done {
			return
		}
		if allowed {
			err := dr.sendStop(ctx, &info, key, fence)
			dr.mu.Lock()
			note(err)
			counts := err == nil && wk.incarnation == incarnation
			deposed := dr.checkRefusal(wk, fence, err)
			if counts {
				answered()
			}
			dr.mu.Unlock()
			switch {
			case counts || deposed:
				return
			case err != nil && !logged:
				dr.log(logger.StopUnanswered, "Worker", info.ID, "Task", key.task.String(), "Run", key.run, "Error", err.Error())
				logged = true
			}
		}
		pauser.Sleep(ctx, pause)
	}
}

func (dr *Director) sendStop(ctx context.Context, info *modeler.Worker, key attemptKey, fence modeler.Fence) error {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	return dr.op.WorkerClient.Stop(ctx, info, key.task, key.run, fence)
}

// moveRun moves a run away from its worker: it stops the run, after which the task is queued again
// and avoids the worker. If the step allows speculative copies, the run goes on instead, and the
// task is queued for a copy unless it has one already.
func (dr *Director) moveRun(at *attempt, reason string) {
	tk := at.task
	tk.avoidWorker(at.worker.info.ID)
	tk.moves++
	dr.op.Meter.Add(meter.TasksMoved, 1)
	if tk.step.spec.Speculative {
		if len(tk.attempts) == 1 {
			dr.allowCopy(at, reason)
		}
		return
	}
	dr.stopRun(at, reason)
}

// allowCopy queues the task of a run for a copy beside it. The step allows copies.
func (dr *Director) allowCopy(at *attempt, reason string) {
	dr.log(logger.SpeculativeRunAllowed, "Task", at.task.id().String(), "Run", at.run, "Worker", at.worker.info.ID, "Reason", reason)
	dr.enqueue(at.task)
}
