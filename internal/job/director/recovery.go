package director

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/currantrouter/currantrouter/internal/job/estimator"
	"github.com/currantrouter/currantrouter/internal/job/keeper"
	"github.com/currantrouter/currantrouter/internal/job/modeler"
	"github.com/currantrouter/currantrouter/internal/process/pauser"
	"github.com/currantrouter/currantrouter/internal/provider/storer"
	"github.com/currantrouter/currantrouter/internal/state/journaler"
	"github.com/currantrouter/currantrouter/internal/telemetry/logger"
	"github.com/currantrouter/currantrouter/internal/telemetry/meter"
)

func isNotFound(err error) bool { return errors.Is(err, storer.ErrNotFound) }

// Restore applies the facts of earlier terms. It is called once, before Start.
func (dr *Director) Restore(recs []journaler.Record) {
	dr.mu.Lock()
	defer dr.mu.Unlock()
	ih := &inheritance{incomplete: dr.op.FactsMissing}
	var estimates []*estimator.Estimates
	for _, rec := range recs {
		ft, err := keeper.ParseFact(rec)
		if err != nil {
			dr.invalid.Report(logger.FactDamaged, meter.EntriesInvalid, "journal", err)
			ih.incomplete = true
			continue
		}
		if ft.Term != nil {
			dr.restoreTerm(ih, ft.Term)
			continue
		}
		if ft.Estimates != nil {
			ih.clock = max(ih.clock, ft.Estimates.Clock)
			estimates = append(estimates, ft.Estimates)
			continue
		}
		if ft.JobEnd != nil {
			ih.clock = max(ih.clock, ft.JobEnd.Clock)
		}
		dr.restoreFact(ft)
	}
	dr.inherit(ih)
	for _, es := range estimates {
		dr.model.Merge(*es, dr.recordTime(es.Clock, dr.termStart))
	}
	for _, wk := range dr.workers {
		wk.unaccounted = true
		dr.unaccountedWorkers++
	}
}

func (dr *Director) restoreFact(ft keeper.Fact) {
	switch {
	case ft.LeaseGranted != nil:
		dr.setWorker(ft.LeaseGranted)
		wk := dr.workers[ft.LeaseGranted.ID]
		wk.noteGranted(ft.LeaseGranted.Incarnation)
		wk.grantDurable, wk.registered, wk.lease = true, false, leaseRecord{}
	case ft.LeaseBounded != nil:
		dr.restoreBound(ft.LeaseBounded)
	case ft.Quarantined != nil:
		if wk := dr.workers[ft.Quarantined.Worker]; wk != nil {
			wk.inheritedQuarantine = ft.Quarantined
		}
	case ft.LeaseReleased != "":
		delete(dr.workers, ft.LeaseReleased)
		dr.workerOrder = nil
	case ft.JobEnd != nil:
		dr.pendingFacts[ft.JobEnd.Job] = append(dr.pendingFacts[ft.JobEnd.Job], ft)
	default:
		name, _ := ft.TaskName()
		if id, err := modeler.ParseTaskID(name); err == nil {
			dr.pendingFacts[id.Job] = append(dr.pendingFacts[id.Job], ft)
		}
	}
}

// FinishLoading marks the end of loading: all stored jobs have been added. Placement begins.
func (dr *Director) FinishLoading() {
	dr.mu.Lock()
	var facts []keeper.Fact
	var endedJobs []*job
	now := time.Now()
	for _, jb := range dr.jobs {
		// The term of the last leader may have ended after it recorded the last end of a task and
		// before it recorded that of the job.
		if ft, ok := dr.endFinishedJob(jb, now); ok {
			facts, endedJobs = append(facts, ft), append(endedJobs, jb)
		}
	}
	dr.op.Meter.Observe(meter.TimeToRecover, now.Sub(dr.termStart))
	dr.log(logger.TermLoaded, "Jobs", len(dr.jobs), "Workers", len(dr.workers), "Unaccounted", dr.unaccountedWorkers, "Took", now.Sub(dr.termStart).String())
	dr.mu.Unlock()
	if len(facts) > 0 {
		dr.startGoroutine(func(ctx context.Context) {
			dr.record(ctx, facts, func() {
				dr.mu.Lock()
				defer dr.mu.Unlock()
				dr.markDurable(endedJobs)
			})
		})
	}
	close(dr.loaded)
	dr.wakeDispatch()
}

// saveEstimates records the estimates that have changed, for the next leader.
func (dr *Director) saveEstimates(now time.Time) {
	if dr.savingEstimates || now.Sub(dr.estimatesSavedAt) < estimatesSaveInterval {
		return
	}
	dr.estimatesSavedAt = now
	es := dr.model.Changes(now)
	if es.Empty() {
		return
	}
	es.Clock = dr.journalClock(now)
	dr.savingEstimates = true
	dr.startGoroutine(func(ctx context.Context) {
		dr.record(ctx, []keeper.Fact{{Estimates: &es}}, func() {
			dr.mu.Lock()
			defer dr.mu.Unlock()
			dr.savingEstimates = false
		})
	})
}

// cleanupLoop deletes jobs and cancellations whose retention is over, and takes snapshots to keep the
// journal short. It begins as soon as the stored jobs are loaded: if it paused first, a series of terms
// shorter than the pause would take no snapshot.
func (dr *Director) cleanupLoop(ctx context.Context) {
	select {
	case <-ctx.Done():
		return
	case <-dr.loaded:
	}
	for ; ctx.Err() == nil; pauser.Sleep(ctx, cleanupInterval) {
		dr.snapshot(ctx)
		for _, id := range slices.Concat(dr.expiredJobs(time.Now()), dr.expiredCancellations(time.Now())) {
			dctx, cancel := context.WithTimeout(ctx, storeTimeout)
			err := dr.op.JobStore.Delete(dctx, id)
			cancel()
			if err != nil {
				dr.log(logger.JobNotDeleted, "Job", id, "Error", err.Error())
				break
			}
			dr.mu.Lock()
			delete(dr.jobs, id)
			delete(dr.pendingFacts, id)
			dr.forgetPending(id)
			dr.mu.Unlock()
		}
	}
}

// expiredCancellations returns the cancelled jobs that were not added within the retention, after
// which no submission of them is under way any more.
func (dr *Director) expiredCancellations(now time.Time) []modeler.JobID {
	dr.mu.Lock()
	defer dr.mu.Unlock()
	var ids []modeler.JobID
	for id, cn := range dr.pendingCancellations {
		if now.Sub(cn.since) > dr.op.Limits.Retention+retentionMargin {
			ids = append(ids, id)
		}
	}
	return ids
}

func (dr *Director) expiredJobs(now time.Time) []modeler.JobID {
	dr.mu.Lock()
	defer dr.mu.Unlock()
	var ids []modeler.JobID
	for id, jb := range dr.jobs {
		if jb.finalState != "" && jb.durable && now.Sub(jb.endedAt) > dr.op.Limits.Retention+retentionMargin && !jb.hasAttempts() {
			ids = append(ids, id)
		}
	}
	return ids
}

func (jb *job) hasAttempts() bool { return jb.activeRuns > 0 }

// snapshot replaces the journal by the facts that still matter once it has grown enough. The
// director's state includes the effect of every durable fact, since a fact is applied before it is
// recorded.
func (dr *Director) snapshot(ctx context.Context) {
	newFacts, position := dr.factsSinceSnapshot.Load(), dr.op.Journal.Position()
	if position-dr.snapshotPosition < minSnapshotPositions && newFacts < minSnapshotFacts {
		return
	}
	recs, err := keeper.Records(dr.snapshotFacts())
	if err != nil {
		dr.log(logger.FactNotRecorded, "Error", err.Error())
		return
	}
	if err := dr.op.Journal.Snapshot(ctx, recs, position); err != nil {
		dr.log(logger.SnapshotFailed, "Error", err.Error())
		return
	}
	dr.snapshotPosition = position
	dr.factsSinceSnapshot.Add(-newFacts)
}

// leaseFacts returns the facts from which the lease of a worker can be restored. A bound or a release counts
// once it is durable: if another leader has begun a term, it does not know of it and may extend the lease, and
// the snapshot may still become the current one.
func (wk *worker) leaseFacts() []keeper.Fact {
	lr := &wk.lease
	if !wk.grantDurable && !wk.grantSubmitted && !lr.bounded && !lr.recordingRelease {
		return nil
	}
	info := wk.info
	facts := []keeper.Fact{{LeaseGranted: &info}}
	if lr.bounded && !lr.recordingBound && !lr.recordingGrant {
		facts = append(facts, wk.boundFact())
	}
	return facts
}

// snapshotFacts returns the facts from which the present state can be restored.
func (dr *Director) snapshotFacts() []keeper.Fact {
	dr.mu.Lock()
	defer dr.mu.Unlock()
	var facts []keeper.Fact
	now := time.Now()
	if es := dr.model.AllTried(now); !es.Empty() {
		es.Clock = dr.journalClock(now)
		facts = append(facts, keeper.Fact{Estimates: &es})
	}
	term := dr.termFact(now, false)
	term.Term.Electorate = dr.electorate
	facts = append(facts, term)
	for _, wk := range dr.workers {
		facts = append(facts, wk.leaseFacts()...)
		if ft, ok := dr.quarantineFact(wk, now); ok {
			facts = append(facts, ft)
		}
	}
	for id, cn := range dr.pendingCancellations {
		facts = append(facts, dr.jobEndFact(id, modeler.Cancelled, cn.since))
	}
	for _, jb := range dr.jobs {
		if jb.finalState != "" {
			facts = append(facts, dr.jobEndFact(jb.ID, jb.finalState, jb.endedAt))
			continue
		}
		for _, oc := range jb.occurrences {
			for _, sp := range oc.steps {
				for _, tk := range sp.tasks {
					facts = append(facts, tk.facts()...)
				}
			}
		}
	}
	return facts
}

// facts returns the facts from which the state of the task can be restored.
func (tk *task) facts() []keeper.Fact {
	if tk.step.occ.job.finalState != "" {
		return nil
	}
	var facts []keeper.Fact
	name := tk.id().String()
	if tk.placedOn != "" {
		facts = append(facts, keeper.Fact{Placed: &keeper.PlacedFact{Task: name, Run: tk.placedRun, Worker: tk.placedOn}})
	}
	add := func(run modeler.Run, outcome modeler.Outcome, checkpoint string, on modeler.WorkerID) {
		facts = append(facts, keeper.Fact{RunEnd: &keeper.RunEndFact{Task: name, Run: run, Outcome: outcome, Checkpoint: checkpoint, Worker: on}})
	}
	if tk.done {
		add(tk.lastRun, modeler.Done, "", "")
		return facts
	}
	for ix, run := range tk.failures {
		add(run, modeler.Failure, tk.checkpoint, tk.failedOn[ix])
	}
	if tk.checkpoint != "" && len(tk.failures) == 0 {
		facts = append(facts, tk.checkpointFact(tk.lastRun))
	}
	return facts
}
