package director

import (
	"cmp"
	"slices"
	"time"

	"github.com/currantrouter/currantrouter/internal/job/modeler"
)

// maxListedStalls bounds the stalled tasks that are listed for operators.
const maxListedStalls = 50

// Waiting is which tasks could run and do not, for operators. All durations are text.
type Waiting struct {
	Epoch modeler.Epoch
	// LookedAgo is the time since the last look for stalled tasks, empty before the first one.
	LookedAgo string `json:",omitempty"`
	// Reasons counts the waiting tasks by reason, that of the most tasks first.
	Reasons []WaitingReason
	// StalledTasks is the number of long-running tasks that wait although the last look found free capacity for two of
	// them, or for a gang twice, and Stalled lists those that have been stalled for longest, in this order and at most 50.
	StalledTasks int
	Stalled      []StalledTask
	// DemandsOmitted is the number of distinct demands that the last look left out. Their tasks do not count as stalled.
	DemandsOmitted int
}

// WaitingReason is the tasks that wait for one reason.
type WaitingReason struct {
	Reason string
	// Tasks is the number of all of them, LongRunning that of the long-running ones.
	Tasks, LongRunning int
	// Oldest is the one that has waited longest, for Waited.
	Oldest, Waited string
}

// StalledTask is a task that waits although there is room for it.
type StalledTask struct {
	Task   string
	Reason string
	// StalledFor is for how long without a break, Waited for how long the task has waited.
	StalledFor, Waited string
	// Places is the number of places for the task that the last look found. It counts no more than there have to be.
	Places int64
	// LastRun is the last run known of the task, zero for none, and LastWorker where a run was last placed.
	LastRun    modeler.Run      `json:",omitempty"`
	LastWorker modeler.WorkerID `json:",omitempty"`
}

// Waiting returns which tasks wait. It changes nothing. Errors: ErrNotLoaded.
func (dr *Director) Waiting() (*Waiting, error) {
	select {
	case <-dr.loaded:
	default:
		return nil, ErrNotLoaded
	}
	dr.mu.Lock()
	defer dr.mu.Unlock()
	now := time.Now()
	wg := &Waiting{Epoch: dr.op.Epoch, Reasons: dr.waitingReasons(now), Stalled: []StalledTask{}, DemandsOmitted: dr.stalls.omitted}
	if !dr.stalls.lookedAt.IsZero() {
		wg.LookedAgo = now.Sub(dr.stalls.lookedAt).String()
	}
	sr := &stallReport{limit: maxListedStalls}
	for st := range dr.stalled(now) {
		sr.add(st, true)
	}
	wg.StalledTasks = sr.tasks
	for _, st := range sr.lines {
		wg.Stalled = append(wg.Stalled, StalledTask{
			Task: st.task.id().String(), Reason: string(st.wait.reason), StalledFor: now.Sub(st.since).String(), Waited: now.Sub(st.wait.since).String(),
			Places: st.places, LastRun: st.task.lastRun, LastWorker: st.task.placedOn,
		})
	}
	return wg, nil
}

// waitingReasons counts the waiting tasks by reason.
func (dr *Director) waitingReasons(now time.Time) []WaitingReason {
	type reasonCount struct {
		all, longRunning int
		oldest           *task
		since            time.Time
	}
	counts := map[waitReason]*reasonCount{}
	for tk, wt := range dr.waits(now, func(*step) bool { return true }) {
		count := counts[wt.reason]
		if count == nil {
			count = &reasonCount{}
			counts[wt.reason] = count
		}
		if count.all++; tk.step.spec.LongRunning {
			count.longRunning++
		}
		if count.oldest == nil || wt.since.Before(count.since) {
			count.oldest, count.since = tk, wt.since
		}
	}
	list := []WaitingReason{}
	for reason, count := range counts {
		list = append(list, WaitingReason{string(reason), count.all, count.longRunning, count.oldest.id().String(), now.Sub(count.since).String()})
	}
	slices.SortFunc(list, func(one, two WaitingReason) int {
		return cmp.Or(cmp.Compare(two.Tasks, one.Tasks), cmp.Compare(one.Reason, two.Reason))
	})
	return list
}
