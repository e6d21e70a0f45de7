package director

import (
	"context"
	"time"

	"github.com/currantrouter/currantrouter/internal/job/keeper"
	"github.com/currantrouter/currantrouter/internal/job/modeler"
	"github.com/currantrouter/currantrouter/internal/process/pauser"
	"github.com/currantrouter/currantrouter/internal/telemetry/logger"
	"github.com/currantrouter/currantrouter/internal/telemetry/meter"
)

// CancellationSource is the way by which a leader heard of a cancellation.
type CancellationSource string

// The sources of cancellations.
const (
	// FromHost is a message of the host that stored the cancellation.
	FromHost CancellationSource = "Host"
	// FromWatch is a change that the watch of the store returned.
	FromWatch CancellationSource = "Watch"
	// FromListing is a listing of all stored jobs after a gap in the watch.
	FromListing CancellationSource = "Listing"
	// FromTermStart is the first listing of a term.
	FromTermStart CancellationSource = "TermStart"
	// FromReport is a read of the store for a run of an unknown job that a worker reported.
	FromReport CancellationSource = "ReportedRun"
	// FromStore is a read of the store for a new job after a pending cancellation was dropped.
	FromStore CancellationSource = "Store"
)

const (
	// maxPendingCancellations bounds the cancellations of jobs that have not been added. If there are
	// more, the store is read for each new job.
	maxPendingCancellations = 10_000
	// cancelledRunMargin is added to Limits.StopGrace before the log mentions a run that goes on after
	// its job was cancelled.
	cancelledRunMargin = time.Second
	// cancelledRunReportInterval is the time after which the log mentions such a run again.
	cancelledRunReportInterval = 10 * time.Second
	// maxCancellationLines bounds, for each event of cancellations, the lines in a second.
	maxCancellationLines = 50
)

// cancellation is what this term knows of the cancellation of a job.
type cancellation struct {
	source CancellationSource
	// heardAt is when the leader heard of it, zero if it did not, and since when the first leader did.
	heardAt, since time.Time
	// openRuns is the number of cancelledRuns of the job.
	openRuns int
}

// cancelledRun is a run of a cancelled job that its worker may still execute.
type cancelledRun struct {
	job *job
	// attempt is nil for a run that this term did not place or adopt.
	attempt *attempt
	// unexpectedStops are the stops of a run without attempt.
	unexpectedStops stopTrail
	// listedAt is when a report last listed the run, zero if none did since the cancellation.
	listedAt time.Time
	loggedAt time.Time
}

// stopTrail is what became of the stops of a run.
type stopTrail struct {
	sent int
	// lastAnswer is the result of the last stop that was answered or timed out.
	lastAnswer string
	answeredAt time.Time
}

func (cr *cancelledRun) stops() *stopTrail {
	if cr.attempt != nil {
		return &cr.attempt.stops
	}
	return &cr.unexpectedStops
}

// CancelJob ends a job whose cancellation is stored.
func (dr *Director) CancelJob(id modeler.JobID, source CancellationSource) {
	dr.mu.Lock()
	defer dr.mu.Unlock()
	now := time.Now()
	cn := cancellation{source: source, heardAt: now, since: dr.cancelledSince(id, now)}
	jb := dr.jobs[id]
	if jb == nil {
		dr.keepCancellation(id, cn)
		return
	}
	dr.cancelJob(jb, cn, now)
	dr.wakeDispatch()
}

// cancelledSince returns when a leader first heard of the cancellation of a job, or when the job ended before. If
// that is now, it is recorded, so that the retention does not begin anew in each term.
func (dr *Director) cancelledSince(id modeler.JobID, now time.Time) time.Time {
	if jb := dr.jobs[id]; jb != nil && !jb.endedAt.IsZero() {
		return jb.endedAt
	}
	if cn, ok := dr.pendingCancellations[id]; ok {
		return cn.since
	}
	for _, ft := range dr.pendingFacts[id] {
		if ft.JobEnd != nil {
			return dr.recordTime(ft.JobEnd.Clock, now)
		}
	}
	dr.unrecordedCancellations = append(dr.unrecordedCancellations, dr.jobEndFact(id, modeler.Cancelled, now))
	return now
}

// recordCancellations records when jobs were cancelled.
func (dr *Director) recordCancellations() {
	facts := dr.unrecordedCancellations
	if len(facts) == 0 || dr.recordingCancellations {
		return
	}
	dr.unrecordedCancellations, dr.recordingCancellations = nil, true
	dr.startGoroutine(func(ctx context.Context) {
		dr.record(ctx, facts, func() {
			dr.mu.Lock()
			defer dr.mu.Unlock()
			dr.recordingCancellations = false
		})
	})
}

// jobEndFact returns the fact that a job ended at a time.
func (dr *Director) jobEndFact(id modeler.JobID, state modeler.State, at time.Time) keeper.Fact {
	return keeper.Fact{JobEnd: &keeper.JobEndFact{Job: id, State: state, Clock: dr.journalClock(at).Truncate(time.Second)}}
}

// recordTime returns when the journal's clock showed a recorded time. That is now for zero, which is a time that
// was not recorded.
func (dr *Director) recordTime(clock time.Duration, now time.Time) time.Time {
	if at := dr.journalTime(clock); clock > 0 && at.Before(now) {
		return at
	}
	return now
}

// keepCancellation keeps the cancellation of a job that has not been added: hosts report changes in any
// order, and a batch of watch events need not preserve it.
func (dr *Director) keepCancellation(id modeler.JobID, cn cancellation) {
	if _, ok := dr.pendingCancellations[id]; ok {
		return
	}
	if len(dr.pendingCancellations) >= maxPendingCancellations {
		dr.op.Meter.Add(meter.CancellationsDropped, 1)
		if ok, omitted := dr.droppedLines.Take(maxCancellationLines, cn.heardAt); ok {
			dr.log(logger.CancellationDropped, "Job", id, "Source", cn.source, "Pending", len(dr.pendingCancellations), "Omitted", omitted)
		}
		dr.cancellationDroppedAt = cn.heardAt
		return
	}
	dr.pendingCancellations[id] = cn
	dr.op.Meter.Set(meter.CancellationsPending, int64(len(dr.pendingCancellations)))
	dr.logIneffective(id, cn, "Known", false, "Pending", len(dr.pendingCancellations))
}

// mayHaveDroppedCancellation reports whether a job that is added now may be one whose cancellation was
// not kept.
func (dr *Director) mayHaveDroppedCancellation(now time.Time) bool {
	return !dr.cancellationDroppedAt.IsZero() && now.Sub(dr.cancellationDroppedAt) < dr.op.Limits.Retention+retentionMargin
}

// readCancellations cancels those of the new jobs whose cancellation is stored, if one of them may not
// have been kept. It returns false when the term is over.
func (dr *Director) readCancellations(ctx context.Context, batch []*job) bool {
	for _, jb := range batch {
		if !jb.cancellationUnknown {
			continue
		}
		cancelled, ok := dr.readCancellation(ctx, jb.ID)
		if !ok {
			return false
		}
		if cancelled {
			dr.CancelJob(jb.ID, FromStore)
		}
	}
	return true
}

// readCancellation reads whether the cancellation of a job is stored, until that succeeds. It returns
// ok false when the term is over.
func (dr *Director) readCancellation(ctx context.Context, id modeler.JobID) (cancelled, ok bool) {
	for ctx.Err() == nil {
		cctx, cancel := context.WithTimeout(ctx, cancellationReadTimeout)
		cancelled, err := dr.op.JobStore.Cancelled(cctx, id)
		cancel()
		if err == nil {
			return cancelled, true
		}
		pauser.Sleep(ctx, cancellationReadPause)
	}
	return false, false
}

// logIneffective logs a cancellation that ends no job now.
func (dr *Director) logIneffective(id modeler.JobID, cn cancellation, kv ...any) {
	if ok, omitted := dr.ineffectiveLines.Take(maxCancellationLines, cn.heardAt); ok {
		dr.log(logger.CancellationIneffective, append([]any{"Job", id, "Source", cn.source, "Omitted", omitted}, kv...)...)
	}
}

// cancelPending cancels a job that has been added if its cancellation was heard of before.
func (dr *Director) cancelPending(jb *job, now time.Time) {
	cn, ok := dr.pendingCancellations[jb.ID]
	if !ok {
		return
	}
	dr.forgetPending(jb.ID)
	dr.cancelJob(jb, cn, now)
}

func (dr *Director) forgetPending(id modeler.JobID) {
	delete(dr.pendingCancellations, id)
	dr.op.Meter.Set(meter.CancellationsPending, int64(len(dr.pendingCancellations)))
}

func (dr *Director) cancelJob(jb *job, cn cancellation, now time.Time) {
	if jb.finalState != "" {
		if jb.cancellation.heardAt.IsZero() {
			jb.cancellation = cn
			dr.logIneffective(jb.ID, cn, "Known", true, "State", jb.finalState, "Durable", jb.durable)
		}
		return
	}
	jb.cancellation = cn
	dr.trackCancelledRuns(jb)
	dr.log(logger.JobCancelled, "Job", jb.ID, "Queue", jb.Queue, "Source", cn.source, "Runs", jb.cancellation.openRuns, "HeardAgo", now.Sub(cn.heardAt).String(), "Pending", len(dr.pendingCancellations))
	dr.op.Meter.Add(meter.JobsCancelled, 1)
	dr.endJob(jb, modeler.Cancelled, cn.since)
	// The stored cancellation makes the end durable.
	jb.durable = true
	jb.freeTasks()
}

// trackCancelledRuns tracks the runs of a job that is about to be cancelled.
func (dr *Director) trackCancelledRuns(jb *job) {
	for _, oc := range jb.occurrences {
		for _, sp := range oc.steps {
			for _, tk := range sp.tasks {
				for _, at := range tk.attempts {
					if at.state != placed {
						at.worker.trackCancelledRun(attemptKey{tk.id(), at.run}, &cancelledRun{job: jb, attempt: at})
					}
				}
			}
		}
	}
}

func (wk *worker) trackCancelledRun(key attemptKey, cr *cancelledRun) {
	if wk.cancelledRuns == nil {
		wk.cancelledRuns = map[attemptKey]*cancelledRun{}
	}
	wk.cancelledRuns[key] = cr
	cr.job.cancellation.openRuns++
}

// noteCancelledRun notes that a report lists a run without attempt of a job that may be cancelled.
func (wk *worker) noteCancelledRun(key attemptKey, jb *job) {
	if jb != nil && jb.finalState == modeler.Cancelled && wk.cancelledRuns[key] == nil {
		wk.trackCancelledRun(key, &cancelledRun{job: jb})
	}
}

// updateCancelledRuns notes which cancelled runs a report lists, and drops those that it does not list
// and that have no attempt any more.
func (dr *Director) updateCancelledRuns(wk *worker, running []modeler.ActiveRun, now time.Time) {
	if len(wk.cancelledRuns) == 0 {
		return
	}
	for ix := range running {
		if cr := wk.cancelledRuns[attemptKey{running[ix].Task, running[ix].Run}]; cr != nil {
			cr.listedAt = now
		}
	}
	for key, cr := range wk.cancelledRuns {
		if !cr.listedAt.Equal(now) && wk.attempts[key] == nil {
			dr.dropCancelledRun(wk, key, now)
		}
	}
}

// dropCancelledRun notes that a run has ended, if its job was cancelled.
func (dr *Director) dropCancelledRun(wk *worker, key attemptKey, now time.Time) {
	cr := wk.cancelledRuns[key]
	if cr == nil {
		return
	}
	delete(wk.cancelledRuns, key)
	cn := &cr.job.cancellation
	if cn.openRuns--; cn.openRuns == 0 {
		dr.op.Meter.Observe(meter.TimeToStopCancelled, now.Sub(cn.heardAt))
	}
}

// dropUnexpectedCancelledRuns notes that the runs without attempt have ended with the worker or
// with its incarnation.
func (dr *Director) dropUnexpectedCancelledRuns(wk *worker, now time.Time) {
	for key, cr := range wk.cancelledRuns {
		if cr.attempt == nil {
			dr.dropCancelledRun(wk, key, now)
		}
	}
}

// note notes the result of a stop request to a worker, for the log.
func (st *stopTrail) note(err error) {
	st.sent++
	st.lastAnswer, st.answeredAt = "stopped", time.Now()
	if err != nil {
		st.lastAnswer = err.Error()
	}
}

// noteUnexpectedStop notes the same for a run without attempt.
func (wk *worker) noteUnexpectedStop(key attemptKey, err error) {
	if cr := wk.cancelledRuns[key]; cr != nil {
		cr.stops().note(err)
	}
}

// reportCancelledRuns logs the runs that go on for too long after their job was cancelled.
func (dr *Director) reportCancelledRuns(now time.Time) {
	overdue := int64(0)
	for _, wk := range dr.workers {
		for key, cr := range wk.cancelledRuns {
			if now.Sub(cr.job.cancellation.heardAt) <= dr.op.Limits.StopGrace+cancelledRunMargin {
				continue
			}
			overdue++
			if now.Sub(cr.loggedAt) >= cancelledRunReportInterval {
				dr.logCancelledRun(wk, key, cr, now)
			}
		}
	}
	dr.op.Meter.Set(meter.CancelledRunsOverdue, overdue)
}

func (dr *Director) logCancelledRun(wk *worker, key attemptKey, cr *cancelledRun, now time.Time) {
	ok, omitted := dr.overdueLines.Take(maxCancellationLines, now)
	if !ok {
		return
	}
	cr.loggedAt = now
	stops := cr.stops()
	kv := []any{
		"Task", key.task.String(), "Run", key.run, "Worker", wk.info.ID, "Source", cr.job.cancellation.source, "HeardAgo", now.Sub(cr.job.cancellation.heardAt).String(),
		"Expected", cr.attempt != nil, "Stops", stops.sent, "LastAnswer", stops.lastAnswer, "Reachable", wk.answered && !wk.unreachable, "Omitted", omitted,
	}
	if !stops.answeredAt.IsZero() {
		kv = append(kv, "AnsweredAgo", now.Sub(stops.answeredAt).String())
	}
	if !cr.listedAt.IsZero() {
		kv = append(kv, "ListedAgo", now.Sub(cr.listedAt).String())
	}
	dr.log(logger.CancelledRunGoesOn, kv...)
}
