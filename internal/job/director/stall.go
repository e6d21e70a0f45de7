package director

import (
	"iter"
	"time"

	"github.com/currantrouter/currantrouter/internal/job/modeler"
	"github.com/currantrouter/currantrouter/internal/job/spotter"
	"github.com/currantrouter/currantrouter/internal/telemetry/logger"
	"github.com/currantrouter/currantrouter/internal/telemetry/meter"
)

const (
	// stallLookInterval is the least time between two looks for stalled tasks.
	stallLookInterval = 250 * time.Millisecond
	// maxStallLines bounds the lines on stalled tasks of one look.
	maxStallLines = 5
)

// stallKey tells groups of waiting tasks apart. step is set where the demand limits the tasks per worker.
type stallKey struct {
	demand spotter.Demand
	step   *step
}

// stalls is what the last look for stalled tasks found.
type stalls struct {
	lookedAt time.Time
	// groups holds the long-running tasks that waited then, groupOf those of each step.
	groups  map[stallKey]*spotter.Group
	groupOf map[*step]*spotter.Group
	// omitted is the number of groups that were left out.
	omitted int
	// workers are those of the last look with groups. The slice is kept for its memory.
	workers []spotter.Worker
	// unsent counts the runs of that look whose start had not been sent.
	unsent map[stepWorker]int
}

// stepWorker is a worker on which a step has runs.
type stepWorker struct {
	step   *step
	worker modeler.WorkerID
}

// stalledTask is a task that waits although there is room for it.
type stalledTask struct {
	task   *task
	wait   wait
	since  time.Time
	places int64
}

// stallReport collects stalled tasks.
type stallReport struct {
	// tasks is their number, oldest when the first of them stalled, zero for none.
	tasks  int
	oldest time.Time
	// lines holds the limit tasks that have been stalled for longest of those to list, in this order. omitted counts
	// others.
	lines          []stalledTask
	limit, omitted int
}

// add adds a stalled task, and lists it if that is asked for.
func (sr *stallReport) add(st stalledTask, lists bool) {
	if sr.tasks++; sr.oldest.IsZero() || st.since.Before(sr.oldest) {
		sr.oldest = st.since
	}
	if !lists {
		return
	}
	var omitted bool
	sr.lines, omitted = insertOldest(sr.lines, st, sr.limit, func(st stalledTask) time.Time { return st.since })
	if omitted {
		sr.omitted++
	}
}

// lookForStalls finds the long-running tasks that wait although there is room for two of them, publishes how many there
// are and logs those that are due.
func (dr *Director) lookForStalls(now time.Time) {
	sl := &dr.stalls
	if now.Sub(sl.lookedAt) < stallLookInterval {
		return
	}
	sl.lookedAt = now
	groups := dr.groupWaiting()
	sl.workers = sl.workers[:0]
	if len(groups) > 0 {
		dr.listStallWorkers()
	}
	sl.omitted = spotter.Look(groups, sl.workers, now)
	sr := &stallReport{limit: maxStallLines}
	for st := range dr.stalled(now) {
		sr.add(st, spotter.ReportDue(st.since, st.task.wait.stallLoggedAt, now))
	}
	dr.reportStalls(sr, now)
}

// groupWaiting returns the groups of the long-running steps of which tasks wait, or may wait.
func (dr *Director) groupWaiting() []*spotter.Group {
	sl := &dr.stalls
	known := sl.groups
	sl.groups, sl.groupOf = map[stallKey]*spotter.Group{}, map[*step]*spotter.Group{}
	var groups []*spotter.Group
	add := func(sp *step) {
		if !sp.spec.LongRunning || sl.groupOf[sp] != nil {
			return
		}
		key := dr.stallKey(sp)
		gr := sl.groups[key]
		if gr == nil {
			if gr = known[key]; gr == nil {
				gr = dr.newStallGroup(key, sp)
			}
			sl.groups[key], groups = gr, append(groups, gr)
		}
		sl.groupOf[sp] = gr
	}
	for sp := range dr.waitingSteps {
		add(sp)
	}
	for at := range dr.starting {
		if at.state != active {
			add(at.task.step)
		}
	}
	for _, wk := range dr.workers {
		if !wk.unreachable {
			continue
		}
		for _, at := range wk.attempts {
			add(at.task.step)
		}
	}
	return groups
}

func (dr *Director) stallKey(sp *step) stallKey {
	key := stallKey{demand: spotter.Demand{Pool: dr.pool(sp.occ.job), Label: sp.spec.Label, Needs: sp.spec.Needs, MaxPerWorker: sp.spec.MaxPerWorker, Together: 1}}
	if sp.spec.Gang {
		key.demand.Together = len(sp.tasks)
	}
	if sp.spec.MaxPerWorker > 0 {
		key.step = sp
	}
	return key
}

// newStallGroup returns a group of the tasks with a key, of which a step is one.
func (dr *Director) newStallGroup(key stallKey, sp *step) *spotter.Group {
	return &spotter.Group{Demand: key.demand, Running: func(id modeler.WorkerID) int {
		return sp.perWorker[id] - dr.stalls.unsent[stepWorker{sp, id}]
	}}
}

// listStallWorkers sets the workers of a look. What is reserved for runs whose start has not been sent is free.
func (dr *Director) listStallWorkers() {
	reserved := map[*worker]modeler.Resources{}
	dr.stalls.unsent = map[stepWorker]int{}
	for at := range dr.starting {
		if wk := at.worker; at.state == placed && wk.has(at) {
			reserved[wk] = reserved[wk].Plus(at.reservation())
			dr.stalls.unsent[stepWorker{at.task.step, wk.info.ID}]++
		}
	}
	for _, wk := range dr.workers {
		if wk.registered && wk.answered && !wk.unreachable && !wk.info.Draining && !dr.evacuated(wk) {
			dr.stalls.workers = append(dr.stalls.workers, spotter.Worker{Info: &wk.info, Free: wk.free.Plus(reserved[wk])})
		}
	}
}

// stalled returns the tasks that wait now and for which the last look found room.
func (dr *Director) stalled(now time.Time) iter.Seq[stalledTask] {
	return func(yield func(stalledTask) bool) {
		hasRoom := func(sp *step) bool { return dr.stalls.groupOf[sp].HasRoom() }
		for tk, wt := range dr.waits(now, hasRoom) {
			gr := dr.stalls.groupOf[tk.step]
			if !yield(stalledTask{tk, wt, gr.StalledSince(wt.since), gr.Places}) {
				return
			}
		}
	}
}

// reportStalls publishes how many tasks are stalled, and logs those that are listed.
func (dr *Director) reportStalls(sr *stallReport, now time.Time) {
	longest := time.Duration(0)
	if sr.tasks > 0 {
		longest = now.Sub(sr.oldest)
	}
	dr.op.Meter.Set(meter.StalledTasks, int64(sr.tasks))
	dr.op.Meter.Set(meter.LongestStall, longest.Milliseconds())
	dr.op.Meter.Set(meter.StallDemandsOmitted, int64(dr.stalls.omitted))
	for ix, st := range sr.lines {
		tk := st.task
		tk.wait.stallLoggedAt = now
		kv := []any{
			"Task", tk.id().String(), "Reason", string(st.wait.reason), "StalledFor", now.Sub(st.since).String(), "Waited", now.Sub(st.wait.since).String(),
			"Epoch", dr.op.Epoch, "LastRun", tk.lastRun, "LastWorker", tk.placedOn, "Places", st.places,
		}
		if ix == 0 {
			kv = append(kv, "Stalled", sr.tasks, "Omitted", sr.omitted, "DemandsOmitted", dr.stalls.omitted)
		}
		dr.log(logger.LongRunningTaskStalled, kv...)
	}
}
