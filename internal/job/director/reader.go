package director

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/currantrouter/currantrouter/internal/job/keeper"
	"github.com/currantrouter/currantrouter/internal/job/modeler"
	"github.com/currantrouter/currantrouter/internal/process/pauser"
	"github.com/currantrouter/currantrouter/internal/telemetry/logger"
	"github.com/currantrouter/currantrouter/internal/telemetry/meter"
)

const (
	// storeTimeout bounds the calls to the store for one job, so that a connection whose other end is
	// unreachable is given up.
	storeTimeout = 1200 * time.Millisecond
	// jobReadPause is the pause after a failed read of a job.
	jobReadPause = 300 * time.Millisecond
	// maxJobReaders bounds the reads of jobs at a time.
	maxJobReaders = 4
)

// deferRun keeps a reported run whose job this term does not know until the job has been read: an
// earlier leader may have started it just before its term ended. It returns false for a run that
// need not wait.
func (dr *Director) deferRun(wk *worker, row *modeler.ActiveRun) bool {
	if !dr.mustRead(wk, row.Task, row.Run) {
		return false
	}
	wk.deferredRuns = append(wk.deferredRuns, *row)
	return true
}

// deferEnd is like deferRun for the end of a run.
func (dr *Director) deferEnd(wk *worker, row *modeler.EndedRun) bool {
	if !dr.mustRead(wk, row.Task, row.Run) {
		return false
	}
	wk.deferredEnds = append(wk.deferredEnds, *row)
	return true
}

// mustRead reports whether the job of a reported run is unknown, and queues its read. The job of a
// run that was stopped as unexpected has been read before.
func (dr *Director) mustRead(wk *worker, task modeler.TaskID, run modeler.Run) bool {
	if _, stopped := wk.unexpectedStops[attemptKey{task, run}]; stopped || dr.jobs[task.Job] != nil {
		return false
	}
	if _, queued := dr.unreadJobs[task.Job]; queued {
		return true
	}
	dr.unreadJobs[task.Job] = struct{}{}
	dr.readQueue = append(dr.readQueue, task.Job)
	if dr.jobReaders < maxJobReaders {
		dr.jobReaders++
		dr.startGoroutine(dr.readJobs)
	}
	return true
}

// readJobs reads queued jobs until none is left. A job that cannot be read is queued again.
func (dr *Director) readJobs(ctx context.Context) {
	failing := false
	for {
		id, ok := dr.nextUnread()
		if !ok {
			return
		}
		stored, cancelled, err := dr.readJob(ctx, id)
		if ctx.Err() != nil {
			return
		}
		failed := false
		dr.mu.Lock()
		now := time.Now()
		switch {
		case err == nil:
			if jb := dr.addJob(stored, true); cancelled {
				dr.cancelJob(jb, cancellation{source: FromReport, heardAt: now, since: dr.cancelledSince(id, now)}, now)
			}
		case isNotFound(err):
			dr.resolveRows(id, now)
		case errors.Is(err, keeper.ErrDamaged):
			// No leader can run or report the job, so that its runs only hold capacity.
			dr.invalid.Report(logger.JobDamaged, meter.EntriesInvalid, string(id), err, "Key", id)
			dr.resolveRows(id, now)
		default:
			dr.readQueue = append(dr.readQueue, id)
			if !failing {
				dr.log(logger.JobNotRead, "Job", id, "Error", err.Error())
			}
			failed = true
		}
		dr.mu.Unlock()
		dr.wakeDispatch()
		failing = failed
		if failed && !pauser.Sleep(ctx, jobReadPause) {
			return
		}
	}
}

// nextUnread takes a job from the queue, or returns false to end the reader.
func (dr *Director) nextUnread() (modeler.JobID, bool) {
	dr.mu.Lock()
	defer dr.mu.Unlock()
	for len(dr.readQueue) > 0 {
		id := dr.readQueue[0]
		dr.readQueue = dr.readQueue[1:]
		if _, unread := dr.unreadJobs[id]; unread {
			return id, true
		}
	}
	dr.jobReaders--
	return "", false
}

// readJob reads a job and whether it is cancelled. Errors: those of package keeper.
func (dr *Director) readJob(ctx context.Context, id modeler.JobID) (*modeler.Job, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	stored, err := dr.op.JobStore.Load(ctx, id)
	if err != nil {
		return nil, false, err
	}
	if stored.ID != id {
		return nil, false, fmt.Errorf("%w: job %q is stored as %q", keeper.ErrDamaged, stored.ID, id)
	}
	cancelled, err := dr.op.JobStore.Cancelled(ctx, id)
	return stored, cancelled, err
}

// resolveRows processes the deferred rows of a job that has been added or is not stored.
func (dr *Director) resolveRows(id modeler.JobID, now time.Time) {
	if _, unread := dr.unreadJobs[id]; !unread {
		return
	}
	delete(dr.unreadJobs, id)
	for _, wk := range dr.workers {
		runs, ends := wk.deferredRuns, wk.deferredEnds
		wk.deferredRuns = slices.DeleteFunc(slices.Clone(runs), func(row modeler.ActiveRun) bool { return row.Task.Job == id })
		wk.deferredEnds = slices.DeleteFunc(slices.Clone(ends), func(row modeler.EndedRun) bool { return row.Task.Job == id })
		for ix := range runs {
			if runs[ix].Task.Job == id {
				dr.updateRun(wk, &runs[ix], now)
			}
		}
		for ix := range ends {
			if ends[ix].Task.Job == id {
				dr.handleEnd(wk, &ends[ix], now)
			}
		}
		if len(wk.deferredEnds) < len(ends) {
			dr.recordEnds(wk)
		}
		dr.noteHeldRows(wk, now)
	}
}
