package director

import (
	"context"
	"time"

	"github.com/currantrouter/currantrouter/internal/job/keeper"
	"github.com/currantrouter/currantrouter/internal/job/modeler"
)

// TasksInMemory returns the number of tasks in memory, over all jobs.
func (dr *Director) TasksInMemory() int {
	dr.mu.Lock()
	defer dr.mu.Unlock()
	count := 0
	for _, jb := range dr.jobs {
		for _, oc := range jb.occurrences {
			for _, sp := range oc.steps {
				count += len(sp.tasks)
			}
		}
	}
	return count
}

// Tried reports whether a pair of images counts as tried.
func (dr *Director) Tried(critical, bestEffort string) bool {
	dr.mu.Lock()
	defer dr.mu.Unlock()
	_, tried := dr.model.ExpectedInterference(critical, bestEffort, time.Now())
	return tried
}

// TakeSnapshot replaces the journal by a snapshot, although none may be due.
func (dr *Director) TakeSnapshot(ctx context.Context) error {
	position := dr.op.Journal.Position()
	recs, err := keeper.Records(dr.snapshotFacts())
	if err != nil {
		return err
	}
	return dr.op.Journal.Snapshot(ctx, recs, position)
}

// WaitReason returns why a task does not run, as the reports of waiting tasks do, and the worker that holds it back.
func (dr *Director) WaitReason(id modeler.TaskID) string {
	dr.mu.Lock()
	defer dr.mu.Unlock()
	jb := dr.jobs[id.Job]
	if jb == nil || len(jb.occurrences) == 0 || len(jb.occurrences[0].steps[id.Step].tasks) == 0 {
		return "not loaded"
	}
	now, tk := time.Now(), jb.occurrences[0].steps[id.Step].tasks[id.Index]
	if len(tk.attempts) == 0 {
		wt := dr.whyQueued(tk, now)
		return string(wt.reason) + " " + string(wt.worker)
	}
	wt, waits := dr.whyNotRunning(tk.attempts[0], now)
	if !waits {
		wt.reason = "counts as running"
	}
	return string(wt.reason) + " " + string(tk.attempts[0].worker.info.ID)
}
