package director

import (
	"cmp"
	"slices"
	"time"

	"github.com/currantrouter/currantrouter/internal/job/modeler"
	"github.com/currantrouter/currantrouter/internal/job/placer"
	"github.com/currantrouter/currantrouter/internal/telemetry/logger"
)

// chooseOrReturn returns the index of the best candidate for a task, or -1. If no other is feasible, it may be one that the
// task avoids: dm.Avoid then holds those that it still does.
func (rd *round) chooseOrReturn(tk *task, dm *placer.Demand, cands []placer.Candidate, indices []int) int {
	ix := rd.chooseOf(dm, cands, indices)
	if ix >= 0 {
		return ix
	}
	rt, ok := rd.allowReturn(tk, dm, cands)
	if !ok {
		return -1
	}
	if ix = rd.chooseOf(dm, cands, indices); ix >= 0 && !rd.dr.explains {
		wk := rd.workers[ix]
		kv := []any{
			"Task", tk.id().String(), "Worker", wk.info.ID, "Waited", rt.Waited.String(), "LastAttempt", rt.LastAttempt, "Failures", len(tk.failures),
			"Distrust", rd.dr.faultScore(wk, rd.now),
		}
		if rt.FreeAfter != placer.NeverFree {
			kv = append(kv, "OthersFreeAfter", rt.FreeAfter.String())
		}
		rd.dr.log(logger.TaskReturns, kv...)
	}
	return ix
}

// allowReturn removes the workers from dm.Avoid to which a short task that fits on no other may go back, and returns the inputs
// of the decision, or false if there are none.
func (rd *round) allowReturn(tk *task, dm *placer.Demand, cands []placer.Candidate) (placer.Return, bool) {
	// A copy beside a run is worth its start only on another worker.
	if len(dm.Avoid) == 0 || dm.LongRunning || len(tk.attempts) > 0 {
		return placer.Return{}, false
	}
	attempts := rd.dr.maxAttempts(tk.step.occ.job)
	rt := placer.Return{Waited: rd.now.Sub(tk.wait.since), LastAttempt: attempts > 0 && len(tk.failures) >= attempts-1}
	rt.FreeAfter = rd.othersFreeAfter(tk, dm, cands, placer.MaxReturnWait-rt.Waited)
	left := slices.DeleteFunc(slices.Clone(dm.Avoid), func(id modeler.WorkerID) bool {
		wk := rd.dr.workers[id]
		rt.Recovered = wk != nil && wk.faultHistory.SucceededAfter(tk.lastActive)
		return rt.Allowed()
	})
	if len(left) == len(dm.Avoid) {
		return rt, false
	}
	dm.Avoid = left
	return rt, true
}

// othersFreeAfter returns the expected time until a worker that a task does not avoid, and that is not held for others, has
// capacity for it, or placer.NeverFree. It looks no further once that is a given time or less.
func (rd *round) othersFreeAfter(tk *task, dm *placer.Demand, cands []placer.Candidate, enough time.Duration) time.Duration {
	after := placer.NeverFree
	for ix, wk := range rd.workers {
		rv := rd.heldFor[ix]
		if cands[ix].Excluded || rv != nil && rv.task.step != tk.step || !placer.Matches(dm, &wk.info) || slices.Contains(dm.Avoid, wk.info.ID) {
			continue
		}
		if after = min(after, rd.dr.freeAfter(wk, placer.Reservation(dm.Needs, dm.BestEffort), rd.now)); after <= enough {
			break
		}
	}
	return after
}

// freeAfter returns the expected time until needs fit into the free capacity of a worker as runs there end by themselves, or
// placer.NeverFree.
func (dr *Director) freeAfter(wk *worker, needs modeler.Resources, now time.Time) time.Duration {
	free := wk.free
	switch {
	case needs.Fits(free):
		return 0
	case !needs.Fits(free.Plus(wk.ending)):
		return placer.NeverFree
	}
	type end struct {
		after time.Duration
		freed modeler.Resources
	}
	var ends []end
	for _, at := range wk.attempts {
		if !at.task.step.spec.LongRunning {
			ends = append(ends, end{dr.expectedRemaining(at, now), at.reservation()})
		}
	}
	slices.SortFunc(ends, func(one, two end) int { return cmp.Compare(one.after, two.after) })
	for _, en := range ends {
		if free = free.Plus(en.freed); needs.Fits(free) {
			return en.after
		}
	}
	return defaultRunTime * time.Second
}

// expectedRemaining returns the expected time until the end of a run. One that takes longer than expected is expected to go on
// for as long as it has taken.
func (dr *Director) expectedRemaining(at *attempt, now time.Time) time.Duration {
	if at.stopping {
		return dr.op.Limits.StopGrace
	}
	if left := at.runProgress.ExpectedRemaining(now); left > 0 {
		return left
	}
	var age time.Duration
	if !at.answeredAt.IsZero() {
		age = now.Sub(at.answeredAt)
	}
	if expected := dr.expectedRunTime(at.task.step); age < expected {
		return expected - age
	}
	return age
}

// expectedRunTime returns the expected run time of a step's tasks, at most maxRunTime.
func (dr *Director) expectedRunTime(sp *step) time.Duration {
	return time.Duration(min(dr.expectedSeconds(sp), maxRunTime.Seconds()) * float64(time.Second))
}
