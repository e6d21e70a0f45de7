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
	// maxRunTime is the longest run time that counts as one.
	maxRunTime = 24 * time.Hour
	// promotedShare is the share of a pool's capacity that overdue jobs get before all others, one after the other,
	// and minPromotionInterval and maxPromotionInterval bound the time between two of them. A pool that has lost most of
	// its workers for a moment would otherwise go without promotions for hours.
	promotedShare        = 1.0 / 32
	minPromotionInterval = 500 * time.Millisecond
	maxPromotionInterval = 30 * time.Second
	// promotionTimeout is how long a promoted job may go without a placement. It exceeds the run time of most short
	// tasks, for the end of which it may have to wait.
	promotionTimeout = 5 * time.Second
	// promotionPause is how long a job is not promoted again after a promotion that timed out. It doubles each time, up
	// to maxPromotionPause, so that jobs that can never be placed leave promotions to others.
	promotionPause    = 10 * time.Second
	maxPromotionPause = 10 * time.Minute
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
	// observedAt is the number of the last observation, of those of all queues.
	observedAt int64
}

// history returns the history of a job's queue, an empty one if nothing was observed.
func (dr *Director) history(jb *job) *queueHistory {
	if qh := dr.histories[jb.Queue]; qh != nil {
		return qh
	}
	return &queueHistory{}
}

// observedHistory returns the history of a job's queue for an observation. A new one takes the place of that with the
// least recent observation, if there are maxQueueHistories.
func (dr *Director) observedHistory(jb *job) *queueHistory {
	dr.observations++
	qh := dr.histories[jb.Queue]
	if qh == nil {
		if len(dr.histories) >= maxQueueHistories {
			dr.evictHistory()
		}
		qh = &queueHistory{}
		dr.histories[jb.Queue] = qh
	}
	qh.observedAt = dr.observations
	return qh
}

// evictHistory deletes the history with the least recent observation.
func (dr *Director) evictHistory() {
	var least modeler.QueueName
	leastAt := int64(math.MaxInt64)
	for name, qh := range dr.histories {
		if qh.observedAt < leastAt {
			least, leastAt = name, qh.observedAt
		}
	}
	delete(dr.histories, least)
}

// observeRunTime records the run time of a task that is done.
func (dr *Director) observeRunTime(tk *task, now time.Time) {
	if !dr.followsValue() {
		return
	}
	if rt, ok := lastRunTime(tk, now); ok {
		dr.observedHistory(tk.step.occ.job).runTimes.Observe(tk.step.spec.Estimate, rt)
	}
}

// lastRunTime returns the run time of a task that is done, or false if a part of it ran earlier or for another leader.
func lastRunTime(tk *task, now time.Time) (time.Duration, bool) {
	if len(tk.attempts) != 1 {
		return 0, false
	}
	at := tk.attempts[0]
	return now.Sub(at.answeredAt), !at.resumes && !at.adopted && !at.answeredAt.IsZero()
}

// judge records what an occurrence was worth to its caller, given the run time of each step's tasks in seconds. Only the
// first call for an occurrence counts.
func (dr *Director) judge(oc *occurrence, class ranker.DeadlineClass, seconds func(*step) float64) {
	if !dr.followsValue() || oc.judged || dr.explains {
		return
	}
	oc.judged = true
	var work float64
	for _, sp := range oc.steps {
		if sp.spec.LongRunning {
			return
		}
		work += float64(sp.spec.Count) * float64(sp.spec.Needs.MilliCores) * seconds(sp)
	}
	dr.observedHistory(oc.job).sizes.Observe(work, class < ranker.Overdue)
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
	seconds := func(sp *step) float64 {
		if rt, ok := lastRunTime(tk, now); ok && sp == tk.step {
			// recordOutcome adds it later.
			if seconds, ok := meanSeconds(append(slices.Clip(sp.runTimes), rt)); ok {
				return seconds
			}
		}
		return dr.expectedSeconds(sp)
	}
	ends := make([]float64, len(oc.steps))
	var criticalPath float64
	for ix, sp := range oc.steps {
		for _, pred := range sp.spec.After {
			ends[ix] = max(ends[ix], ends[pred])
		}
		ends[ix] += seconds(sp)
		criticalPath = max(criticalPath, ends[ix])
	}
	queue := dr.queue(oc.job)
	ws := ranker.WaitingStep{Submitted: oc.due, Objective: ranker.Objective(time.Duration(criticalPath*float64(time.Second)), queue.MaxSlowdown, queue.Slack)}
	dr.judge(oc, ws.DeadlineClass(now), seconds)
}

// expectedSeconds returns the expected run time of a step's tasks: that of the tasks that have ended, otherwise
// the caller's estimate, corrected by the run times of the queue.
func (dr *Director) expectedSeconds(sp *step) float64 {
	if seconds, ok := meanSeconds(sp.runTimes); ok {
		return seconds
	}
	if sp.spec.Estimate > 0 {
		return sp.spec.Estimate.Seconds() * dr.history(sp.occ.job).runTimes.Correction(sp.spec.Estimate)
	}
	return defaultRunTime
}

// meanSeconds returns the mean of the first run times of a step, and whether there are any. It leaves out run times that
// a task cannot have, as of a run that ended before the answer to its start.
func meanSeconds(runTimes []time.Duration) (float64, bool) {
	var sum float64
	known := 0
	for _, rt := range runTimes {
		if rt < 0 || rt > maxRunTime {
			continue
		}
		sum += rt.Seconds()
		if known++; known == sampledRunTimes {
			break
		}
	}
	return sum / float64(max(known, 1)), known > 0
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
	if rd.matchesSome(queue.Pool, dm) {
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
			rd.dr.judge(sp.occ, ranker.Overdue, rd.dr.expectedSeconds)
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
	// placedAt is when a task of occ was last placed, or else when it was promoted.
	placedAt time.Time
	// waitsIn is the last round that found a waiting step of occ.
	waitsIn int64
	// oldest is the overdue occurrence that was submitted first of those that the round has ranked so far and that may
	// be promoted, and work what it needs.
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
	case rs.rank.Class == ranker.Overdue && (pm.oldest == nil || oc.due.Before(pm.oldest.due)) && rd.promotable(rs.step):
		pm.oldest, pm.work = oc, work
	}
}

// promotable reports whether a promotion of a step's occurrence can place one of the step's tasks, as far as that is
// known.
func (rd *round) promotable(sp *step) bool {
	pool := rd.dr.pool(sp.occ.job)
	if rd.now.Before(sp.occ.notPromotedBefore) || len(sp.waiting) == 0 || rd.capacity(pool).MilliCores <= 0 {
		return false
	}
	dm := rd.dr.demand(sp.waiting[0])
	return rd.matchesSome(pool, &dm) && slices.ContainsFunc(sp.waiting, func(tk *task) bool { return rd.dr.startable(tk, rd.now) })
}

// notePromotedPlacement notes that a task was placed, if its occurrence is promoted.
func (rd *round) notePromotedPlacement(tk *task) {
	if len(rd.dr.promotions) == 0 {
		return
	}
	queue := rd.dr.queue(tk.step.occ.job)
	if pm := rd.dr.promotions[shortageKey{queue.Pool, queue.Priority}]; pm != nil && pm.occ == tk.step.occ {
		pm.placedAt, pm.occ.vainPromotions = rd.now, 0
	}
}

// timeOut ends a promotion without a placement for promotionTimeout. What cannot be placed may be a gang that fits
// nowhere or a step without permits.
func (pm *promotion) timeOut(now time.Time) {
	if pm.occ == nil || now.Sub(pm.placedAt) < promotionTimeout {
		return
	}
	pause := promotionPause
	for range pm.occ.vainPromotions {
		pause = min(2*pause, maxPromotionPause)
	}
	pm.occ.notPromotedBefore = now.Add(pause)
	pm.occ.vainPromotions++
	// The work for which the next promotion was delayed has not been placed.
	pm.occ, pm.nextAt = nil, now
}

// promoteOverdue chooses the occurrences that the next rounds promote. Their work is at most promotedShare of a
// pool's capacity, unless that delays the next one beyond maxPromotionInterval.
func (rd *round) promoteOverdue() {
	for key, pm := range rd.dr.promotions {
		if pm.occ != nil && pm.waitsIn != rd.dr.rounds {
			pm.occ = nil
		}
		pm.timeOut(rd.now)
		if pm.occ == nil && pm.oldest != nil && !rd.now.Before(pm.nextAt) {
			pm.occ, pm.placedAt = pm.oldest, rd.now
			pm.nextAt = rd.now.Add(promotionInterval(pm.work))
		}
		pm.oldest = nil
		if pm.occ == nil && rd.now.Sub(rd.dr.shortages[key]) > shortageMemory {
			delete(rd.dr.promotions, key)
		}
	}
}

// promotionInterval returns the time from a promotion to the next. The work is the share of a pool's capacity that the
// occurrence needs, times seconds.
func promotionInterval(work float64) time.Duration {
	seconds := min(work/promotedShare, maxPromotionInterval.Seconds())
	return max(minPromotionInterval, time.Duration(seconds*float64(time.Second)))
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
		seconds, tasks := rd.dr.expectedSeconds(other), float64(len(other.tasks))
		size += tasks * float64(other.spec.Needs.MilliCores) * seconds
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
