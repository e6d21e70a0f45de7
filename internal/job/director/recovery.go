package director

import (
	"context"
	"errors"
	"time"

	"github.com/currantrouter/currantrouter/internal/job/keeper"
	"github.com/currantrouter/currantrouter/internal/job/modeler"
	"github.com/currantrouter/currantrouter/internal/process/pauser"
	"github.com/currantrouter/currantrouter/internal/provider/storer"
	"github.com/currantrouter/currantrouter/internal/state/journaler"
	"github.com/currantrouter/currantrouter/internal/telemetry/logger"
	"github.com/currantrouter/currantrouter/internal/telemetry/meter"
)

func isMissing(err error) bool { return errors.Is(err, storer.ErrNotFound) }

// Restore takes the facts of earlier terms. It is called once, before Start.
func (dr *Director) Restore(recs []journaler.Record) {
	dr.mu.Lock()
	defer dr.mu.Unlock()
	for _, rec := range recs {
		ft, err := keeper.ParseFact(rec)
		if err != nil {
			dr.log(logger.FactDamaged, "Error", err.Error())
			continue
		}
		dr.restore(ft)
	}
	for _, wk := range dr.workers {
		wk.counted = true
		dr.unaccounted++
	}
}

func (dr *Director) restore(ft keeper.Fact) {
	switch {
	case ft.LeaseGranted != nil:
		dr.setWorker(ft.LeaseGranted)
		wk := dr.workers[ft.LeaseGranted.ID]
		wk.granted, wk.present = true, false
	case ft.LeaseReleased != "":
		delete(dr.workers, ft.LeaseReleased)
	case ft.Learned != nil:
		dr.model.Merge(*ft.Learned, dr.began)
	case ft.JobEnd != nil:
		dr.facts[ft.JobEnd.Job] = append(dr.facts[ft.JobEnd.Job], ft)
	default:
		name, _ := ft.TaskName()
		if id, err := modeler.ParseTaskID(name); err == nil {
			dr.facts[id.Job] = append(dr.facts[id.Job], ft)
		}
	}
}

// FinishLoading notes that all stored jobs have been added. Placement begins.
func (dr *Director) FinishLoading() {
	dr.mu.Lock()
	var facts []keeper.Fact
	var finals []*job
	now := time.Now()
	for _, jb := range dr.jobs {
		// The last leader may have ended between the last end and the end of the job.
		if ft, ok := dr.conclude(jb, now); ok {
			facts, finals = append(facts, ft), append(finals, jb)
		}
	}
	clear(dr.facts)
	dr.op.Meter.Observe(meter.TimeToRecover, now.Sub(dr.began))
	dr.log(logger.TermLoaded, "Jobs", len(dr.jobs), "Workers", len(dr.workers), "Unaccounted", dr.unaccounted, "Took", now.Sub(dr.began).String())
	dr.mu.Unlock()
	if len(facts) > 0 {
		dr.goRun(func(ctx context.Context) {
			dr.record(ctx, facts, func() {
				dr.mu.Lock()
				defer dr.mu.Unlock()
				dr.settled(finals)
			})
		})
	}
	close(dr.loaded)
	dr.kick()
}

// teach records what this term has learned, for the next one.
func (dr *Director) teach(now time.Time) {
	if dr.teaching || now.Sub(dr.taught) < teachInterval {
		return
	}
	dr.taught = now
	ls := dr.model.Changes()
	if ls.Empty() {
		return
	}
	dr.teaching = true
	dr.goRun(func(ctx context.Context) {
		dr.record(ctx, []keeper.Fact{{Learned: &ls}}, func() {
			dr.mu.Lock()
			defer dr.mu.Unlock()
			dr.teaching = false
		})
	})
}

// forgetLoop removes jobs whose retention is over, and keeps the journal short.
func (dr *Director) forgetLoop(ctx context.Context) {
	for ctx.Err() == nil {
		pauser.Pause(ctx, forgetInterval)
		for _, id := range dr.expired(time.Now()) {
			if err := dr.op.JobStore.Delete(ctx, id); err != nil {
				dr.log(logger.JobNotDeleted, "Job", id, "Error", err.Error())
				break
			}
			dr.mu.Lock()
			delete(dr.jobs, id)
			dr.mu.Unlock()
		}
		dr.snapshot(ctx)
	}
}

func (dr *Director) expired(now time.Time) []modeler.JobID {
	dr.mu.Lock()
	defer dr.mu.Unlock()
	var ids []modeler.JobID
	for id, jb := range dr.jobs {
		if jb.final != "" && jb.durable && now.Sub(jb.endedAt) > dr.op.Limits.Retention+forgetSlack && !jb.hasAttempts() {
			ids = append(ids, id)
		}
	}
	return ids
}

func (jb *job) hasAttempts() bool {
	for _, oc := range jb.occurrences {
		for _, sp := range oc.steps {
			if len(sp.perWorker) > 0 {
				return true
			}
		}
	}
	return false
}

// snapshot replaces the journal by the facts that still matter once it has grown. The state holds
// the effect of every fact that is durable, since facts change it before they are recorded.
func (dr *Director) snapshot(ctx context.Context) {
	unsummed, position := dr.unsummed.Load(), dr.op.Journal.Position()
	if position-dr.snapshotAt < snapshotEvery && unsummed < snapshotFacts {
		return
	}
	select {
	case <-dr.loaded:
	default:
		return
	}
	var parts []journaler.Record
	for _, ft := range dr.summary() {
		rec, err := ft.Record()
		if err != nil {
			dr.log(logger.FactNotRecorded, "Error", err.Error())
			return
		}
		parts = append(parts, rec)
	}
	if err := dr.op.Journal.Snapshot(ctx, parts, position); err != nil {
		dr.log(logger.SnapshotFailed, "Error", err.Error())
		return
	}
	dr.snapshotAt = position
	dr.unsummed.Add(-unsummed)
}

// summary returns the facts from which the present state can be restored.
func (dr *Director) summary() []keeper.Fact {
	dr.mu.Lock()
	defer dr.mu.Unlock()
	var facts []keeper.Fact
	if ls := dr.model.All(); !ls.Empty() {
		facts = append(facts, keeper.Fact{Learned: &ls})
	}
	for _, wk := range dr.workers {
		if wk.granted || wk.granting {
			info := wk.info
			facts = append(facts, keeper.Fact{LeaseGranted: &info})
		}
	}
	for _, jb := range dr.jobs {
		if jb.final == modeler.Completed || jb.final == modeler.Failed {
			facts = append(facts, keeper.Fact{JobEnd: &keeper.JobEndFact{Job: jb.ID, State: jb.final}})
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

// facts returns those of one task.
func (tk *task) facts() []keeper.Fact {
	if tk.step.occ.job.final != "" {
		return nil
	}
	var facts []keeper.Fact
	name := tk.id().String()
	if tk.placedOn != "" {
		facts = append(facts, keeper.Fact{Placed: &keeper.PlacedFact{Task: name, Run: tk.placedRun, Worker: tk.placedOn}})
	}
	add := func(run modeler.Run, oc modeler.Outcome, checkpoint string) {
		facts = append(facts, keeper.Fact{RunEnd: &keeper.RunEndFact{Task: name, Run: run, Outcome: oc, Checkpoint: checkpoint}})
	}
	if tk.done {
		add(tk.lastRun, modeler.Done, "")
		return facts
	}
	for _, run := range tk.failures {
		add(run, modeler.Failure, tk.checkpoint)
	}
	if tk.checkpoint != "" && len(tk.failures) == 0 {
		add(tk.lastRun, modeler.Stopped, tk.checkpoint)
	}
	return facts
}
