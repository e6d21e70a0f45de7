package director

import (
	"context"
	"time"

	"github.com/currantrouter/currantrouter/internal/job/keeper"
	"github.com/currantrouter/currantrouter/internal/job/modeler"
)

const (
	// checkpointsSaveInterval is the time between two records of new checkpoints. Each may delay other records by the journal's
	// interval between writes.
	checkpointsSaveInterval = 2 * time.Second
	// maxCheckpointsPerSave bounds the checkpoints of one record, each of which takes some 100 bytes before compression.
	maxCheckpointsPerSave = 400
)

// unsavedCheckpoints holds tasks with checkpoints of active runs that the journal does not have.
type unsavedCheckpoints struct {
	// queue holds them in the order in which their checkpoints were first reported after the last record of them, each
	// once.
	queue []*task
	// saving is set while a record is under way, and savedAt is when the last one began.
	saving  bool
	savedAt time.Time
}

// noteCheckpoint queues a task whose checkpoint has changed.
func (uc *unsavedCheckpoints) noteCheckpoint(tk *task) {
	if !tk.checkpointUnsaved {
		tk.checkpointUnsaved = true
		uc.queue = append(uc.queue, tk)
	}
}

// take returns the facts of up to maxCheckpointsPerSave tasks that may run again.
func (uc *unsavedCheckpoints) take() []keeper.Fact {
	var facts []keeper.Fact
	for len(uc.queue) > 0 && len(facts) < maxCheckpointsPerSave {
		tk := uc.queue[0]
		uc.queue[0] = nil
		uc.queue = uc.queue[1:]
		tk.checkpointUnsaved = false
		if !tk.done && tk.step.occ.job.finalState == "" {
			facts = append(facts, tk.checkpointFact(tk.checkpointRun))
		}
	}
	return facts
}

// checkpointFact returns the fact from which the checkpoint of a task is restored, and that the task had the run. It does not say
// that a run has ended.
func (tk *task) checkpointFact(run modeler.Run) keeper.Fact {
	return keeper.Fact{RunEnd: &keeper.RunEndFact{Task: tk.id().String(), Run: run, Outcome: modeler.Stopped, Checkpoint: tk.checkpoint}}
}

// saveCheckpoints records checkpoints that workers have reported, for the next leader. A worker that is lost together with this
// leader cannot report them again.
func (dr *Director) saveCheckpoints(now time.Time) {
	uc := &dr.unsavedCheckpoints
	if uc.saving || now.Sub(uc.savedAt) < checkpointsSaveInterval {
		return
	}
	facts := uc.take()
	uc.savedAt = now
	if len(facts) == 0 {
		return
	}
	uc.saving = true
	dr.startGoroutine(func(ctx context.Context) {
		dr.record(ctx, facts, func() {
			dr.mu.Lock()
			defer dr.mu.Unlock()
			uc.saving = false
		})
	})
}
