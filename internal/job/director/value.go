package director

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/currantrouter/currantrouter/internal/job/modeler"
	"github.com/currantrouter/currantrouter/internal/job/placer"
	"github.com/currantrouter/currantrouter/internal/job/ranker"
	"github.com/currantrouter/currantrouter/internal/job/valuer"
	"github.com/currantrouter/currantrouter/internal/telemetry/meter"
)

const (
	// shortageWait is how long a task waits that fits nowhere before its pool counts as short of capacity. Short
	// tasks end all the time, so that most waits are shorter.
	shortageWait = 250 * time.Millisecond
	// shortageMemory is how long a pool counts as short after a round has found it, so that the order does not
	// change with each end of a task.
	shortageMemory = 2 * time.Second
	// defaultRunTime is the run time, in seconds, of tasks without an estimate.
	defaultRunTime = 1.0
	// sampledRunTimes is the number of run times of a step from which those of its other tasks are expected.
	sampledRunTimes = 4
	// promotedShare is the share of a pool's capacity that overdue jobs get before all others, one after the other,
	// and minPromotionInterval the least time between two of them.
	promotedShare        = 1.0 / 32
	minPromotionInterval = 500 * time.Millisecond
	// maxQueueHistories bounds the queues of which run times are kept.
	maxQueueHistories = 512
)

// shortageKey identifies the tasks for which a pool can be short of capacity.
type shortageKey struct {
	pool     modeler.PoolName
	priority int
}

// queueHistory is what the jobs of a queue have shown in this term.
type queueHistory struct {
	runTimes valuer.Predictor
	sizes    valuer.Sizes
}

// history returns the history of a job's queue.
func (dr *Director) history(jb *job) *queueHistory {
	qh := dr.histories[jb.Queue]
	if qh == nil {
		if len(dr.histories) >= maxQueueHistories {
			clear(dr.histories)
		}
		qh = &queueHistory{}
		dr.histories[jb.Queue] = qh
	}
	return qh
}

// observeRunTime records the run time of a task that is done, unless a part of it ran earlier or for another
// leader.
func (dr *Director) observeRunTime(tk *task, now time.Time) {
	if !dr.followsValue() || len(tk.attempts) != 1 || tk.savedShare > 0 {
		return
	}
	if at := tk.attempts[0]; !at.adopted && !at.answeredAt.IsZero() {
		dr.history(tk.step.occ.job).runTimes.Observe(tk.step.spec.Estimate, now.Sub(at.answeredAt))
	}
}

// judge records what an occurrence was worth to its caller. Only the first call for an occurrence counts.
func (dr *Director) judge(oc *occurrence, class ranker.DeadlineClass) {
	if !dr.followsValue() || oc.judged || dr.explains {
		return
	}
	oc.judged = true
	var work float64
	for _, sp := range oc.steps {
		if sp.spec.LongRunning {
			return
		}
		work += float64(sp.spec.Count) * float64(sp.spec.Needs.MilliCores) * expectedSeconds(sp)
	}
	dr.history(oc.job).sizes.Observe(work, class < ranker.Overdue)
	if lost := 1 - valuer.Value(class); lost > 0 {
		dr.delayed.jobs++
		dr.delayed.valueLost += lost
		dr.op.Meter.Add(meter.JobsDelayed, 1)
		dr.op.Meter.Add(meter.JobValueLost, int64(math.Round(1000*lost)))
	}
}

// judgeEnded judges an occurrence that has ended with a task, by the run times of its tasks. It leaves out ends of
// earlier terms, which have no run in this one.
func (dr *Director) judgeEnded(tk *task, now time.Time) {
	oc := tk.step.occ
	if !dr.followsValue() || oc.judged || len(tk.attempts) == 0 {
		return
	}
	ends := make([]float64, len(oc.steps))
	var criticalPath float64
	for ix, sp := range oc.steps {
		for _, pred := range sp.spec.After {
			ends[ix] = max(ends[ix], ends[pred])
		}
		ends[ix] += expectedSeconds(sp)
		criticalPath = max(criticalPath, ends[ix])
	}
	queue := dr.queue(oc.job)
	ws := ranker.WaitingStep{Submitted: oc.due, Objective: ranker.Objective(time.Duration(criticalPath*float64(time.Second)), queue.MaxSlowdown, queue.Slack)}
	dr.judge(oc, ws.DeadlineClass(now))
}

// expectedSeconds returns the expected run time of a step's tasks: that of the tasks that have ended, otherwise
// the caller's estimate.
func expectedSeconds(sp *step) float64 {
	if known := min(len(sp.runTimes), sampledRunTimes); known > 0 {
		var sum time.Duration
		for _, rt := range sp.runTimes[:known] {
			sum += rt
		}
		return sum.Seconds() / float64(known)
	}
	if sp.spec.Estimate > 0 {
		return sp.spec.Estimate.Seconds()
	}
	return defaultRunTime
}

// noteShortage notes that a pool has no capacity for a task of a step, if the task has waited for long enough
// and could ever run there.
func (rd *round) noteShortage(tk *task, dm *placer.Demand) {
	if !rd.dr.followsValue() || dm.LongRunning || rd.now.Sub(tk.wait.since) < shortageWait {
		return
	}
	queue := rd.dr.queue(tk.step.occ.job)
	key := shortageKey{queue.Pool, queue.Priority}
	if rd.dr.shortages[key].Equal(rd.now) {
		return
	}
	if slices.ContainsFunc(rd.cands, func(cd placer.Candidate) bool { return !cd.Excluded && placer.Matches(dm, cd.Worker) }) {
		rd.dr.shortages[key] = rd.now
	}
}

// short reports whether the pool of a queue is short of capacity for its priority.
func (dr *Director) short(queue *modeler.Queue, now time.Time) bool {
	at, ok := dr.shortages[shortageKey{queue.Pool, queue.Priority}]
	return ok && now.Sub(at) < shortageMemory
}

// rankStep returns a waiting step with its place in the order of urgency.
func (rd *round) rankStep(sp *step) rankedStep {
	ws := rd.dr.waitingStep(sp)
	rs := rankedStep{step: sp, rank: ws.Rank(rd.now)}
	if !rd.dr.followsValue() || ws.LongRunning {
		return rs
	}
	if queue := rd.dr.queue(sp.occ.job); rd.dr.short(queue, rd.now) {
		jb := rd.valueJob(sp, &ws, queue)
		value := jb.Rank(rd.now)
		rs.short, rs.density, rs.rank.Class = true, value.Density, value.Class
		if rs.rank.Class == ranker.Overdue {
			rd.dr.judge(sp.occ, ranker.Overdue)
		}
		key := shortageKey{queue.Pool, queue.Priority}
		rd.dr.countShort(key, &jb, rs.rank.Class)
		rd.notePromotion(&rs, key, jb.Work)
	}
	return rs
}

// promotion is the overdue occurrence of a job that goes before all others of its pool and priority, so that
// accepted jobs end however long the shortage lasts.
type promotion struct {
	// occ is promoted at present, nil for none, and nextAt is when the next one may be.
	occ    *occurrence
	nextAt time.Time
	// waitsIn is the last round that found a waiting step of occ.
	waitsIn int64
	// oldest is the overdue occurrence that was submitted first of those that the round has ranked so far, and work
	// what it needs.
	oldest *occurrence
	work   float64
}

// notePromotion ranks a step first if its occurrence is promoted, and notes which one to promote next.
func (rd *round) notePromotion(rs *rankedStep, key shortageKey, work float64) {
	dr, oc := rd.dr, rs.step.occ
	pm := dr.promotions[key]
	if pm == nil {
		pm = &promotion{nextAt: rd.now.Add(minPromotionInterval)}
		dr.promotions[key] = pm
	}
	switch {
	case pm.occ == oc:
		pm.waitsIn = dr.rounds
		rs.rank.Class, rs.density = ranker.OnTime, math.Inf(1)
	case rs.rank.Class == ranker.Overdue && (pm.oldest == nil || oc.due.Before(pm.oldest.due)):
		pm.oldest, pm.work = oc, work
	}
}

// promoteOverdue chooses the occurrences that the next rounds promote. Their work is at most promotedShare of a
// pool's capacity.
func (rd *round) promoteOverdue() {
	for key, pm := range rd.dr.promotions {
		if pm.occ != nil && pm.waitsIn != rd.dr.rounds {
			pm.occ = nil
		}
		if pm.occ == nil && pm.oldest != nil && !rd.now.Before(pm.nextAt) {
			pm.occ = pm.oldest
			pm.nextAt = rd.now.Add(max(minPromotionInterval, time.Duration(pm.work/promotedShare*float64(time.Second))))
		}
		pm.oldest = nil
		if pm.occ == nil && rd.now.Sub(rd.dr.shortages[key]) > shortageMemory {
			delete(rd.dr.promotions, key)
		}
	}
}

// valueJob returns the job of a waiting step as the valuer needs it, with corrected estimates.
func (rd *round) valueJob(sp *step, ws *ranker.WaitingStep, queue *modeler.Queue) valuer.Job {
	oc, qh, pool := sp.occ, rd.dr.history(sp.occ.job), rd.capacity(queue.Pool)
	ratio := qh.runTimes.Correction(sp.spec.Estimate)
	jb := valuer.Job{Step: *ws, Uncertainty: qh.runTimes.Uncertainty()}
	var size float64
	var criticalPath time.Duration
	for _, other := range oc.steps {
		criticalPath = max(criticalPath, other.remaining)
		seconds, tasks := expectedSeconds(other), float64(len(other.tasks))
		size += tasks * float64(other.spec.Needs.MilliCores) * seconds
		if len(other.runTimes) == 0 {
			seconds *= ratio
		}
		left := tasks - float64(other.done)
		if other.unfinishedPredecessors == 0 {
			// The tasks that run are half done, on average.
			left -= (left - float64(len(other.waiting))) / 2
		}
		work := dominantShare(other.spec.Needs, pool) * seconds
		jb.Work, jb.Total = jb.Work+work*left, jb.Total+work*tasks
	}
	jb.Step.Remaining = time.Duration(ratio * float64(ws.Remaining))
	jb.Step.Objective = ranker.Objective(time.Duration(ratio*float64(criticalPath)), queue.MaxSlowdown, queue.Slack)
	jb.Favoured = qh.sizes.Favoured(size)
	return jb
}

// compareSteps orders steps by priority and deadline class, then those of pools that are short of capacity by the
// value that they yield, after all others, which the latest start orders. It returns a negative number if the first
// step goes first.
func compareSteps(one, two *rankedStep) int {
	order := cmp.Or(cmp.Compare(one.rank.Priority, two.rank.Priority), cmp.Compare(one.rank.Class, two.rank.Class))
	switch {
	case order != 0:
		return order
	case one.short && two.short:
		order = cmp.Compare(two.density, one.density)
	case one.short:
		return 1
	case two.short:
		return -1
	default:
		order = one.rank.LatestStart.Compare(two.rank.LatestStart)
	}
	if order != 0 {
		return order
	}
	return cmp.Compare(one.step.occ.job.ID, two.step.occ.job.ID)
}
