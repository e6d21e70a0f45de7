package director

import (
	"slices"
	"time"

	"github.com/currantrouter/currantrouter/internal/job/modeler"
)

// maxCapacityChanges bounds the changes that are kept of each worker, as there may be 12,000 workers.
const maxCapacityChanges = 8

// capacityChange is a change of the free capacity of a worker.
type capacityChange struct {
	at time.Time
	// freed is negative for a reservation.
	freed modeler.Resources
}

// noteCapacity notes a change of the free capacity.
func (wk *worker) noteCapacity(at time.Time, freed modeler.Resources) {
	if len(wk.changes) == maxCapacityChanges {
		wk.changes = slices.Delete(wk.changes, 0, 1)
	}
	wk.changes = append(wk.changes, capacityChange{at, freed})
}

// noteAvailable notes that all that is free on the worker has become so, as it answers again or for the first time.
func (wk *worker) noteAvailable(at time.Time) {
	wk.changes = append(wk.changes[:0], capacityChange{at, wk.free})
}

// roomSince returns since when the needs have fitted into the free capacity without a break, zero if they do not fit, or if
// no change is known. With too many changes since, it returns the time of the oldest that is kept.
func (wk *worker) roomSince(needs modeler.Resources) time.Time {
	free, since := wk.free, time.Time{}
	for _, ch := range slices.Backward(wk.changes) {
		if !needs.Fits(free) {
			break
		}
		since, free = ch.at, free.Minus(ch.freed)
	}
	return since
}

// noteFreed notes since when there has been room for a long-running task that is placed, if it waited by then.
func (at *attempt) noteFreed() {
	if !at.task.step.spec.LongRunning {
		return
	}
	if since := at.worker.roomSince(at.reservation()); !at.task.wait.since.After(since) {
		at.freedAt = since
	}
}
