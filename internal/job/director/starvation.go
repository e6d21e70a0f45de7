package director

import (
	"slices"
	"time"

	"github.com/currantrouter/currantrouter/internal/job/placer"
)

const (
	// starvationTimeout is how long a job has had no run until one of its tasks is placed with the starts that a round has
	// left, a best-effort one beyond the processors that its worker has idle.
	starvationTimeout = time.Second
	// starvationDeadline is how long a job has had no run until one of its tasks goes before more urgent ones, and may
	// interfere with latency-critical ones. Callers are promised a run within 3 s, which leaves time to repeat a start
	// without an answer.
	starvationDeadline = 2 * time.Second
	// maxUsedShare is the share of a pool's processors that may be in use while the promise holds.
	maxUsedShare = 0.5
	// maxStarvedAttempts bounds the starved tasks that a round tries to place, as each try looks at
	// every worker.
	maxStarvedAttempts = 24
)

// starved reports whether a step belongs to a job that is not known to have had a run for starvationTimeout.
func (rd *round) starved(sp *step) bool {
	jb := sp.occ.job
	return !sp.spec.LongRunning && !sp.spec.Gang && rd.now.Sub(sp.occ.idleSince()) >= starvationTimeout && jb.activeRuns <= rd.doubtfulRuns()[jb]
}

// doubtfulRuns returns how many attempts of each job may have been lost: those on workers that do not answer, and those
// whose start has no answer. Their tasks wait for the leases of these workers; others of the job need not.
func (rd *round) doubtfulRuns() map[*job]int {
	if rd.doubtful != nil {
		return rd.doubtful
	}
	rd.doubtful = map[*job]int{}
	for at := range rd.dr.starting {
		if at.state == uncertain && !at.worker.unreachable && at.worker.has(at) {
			rd.doubtful[at.task.step.occ.job]++
		}
	}
	for _, wk := range rd.dr.workers {
		if !wk.unreachable {
			continue
		}
		for _, at := range wk.attempts {
			rd.doubtful[at.task.step.occ.job]++
		}
	}
	return rd.doubtful
}

// starvedSteps returns the waiting steps of starved jobs whose pool has capacity for the promise to them. The jobs that have
// had no run for longest go first, and those that were tried since after them, as they may fit nowhere.
func (rd *round) starvedSteps() []*step {
	type candidate struct {
		step  *step
		since time.Time
	}
	var list []candidate
	for _, rs := range rd.steps {
		sp := rs.step
		if len(sp.waiting) == 0 {
			continue
		}
		if rd.dr.usedShare(rd.dr.pool(sp.occ.job), rd.now) > maxUsedShare || !rd.starved(sp) {
			continue
		}
		since := sp.occ.idleSince()
		if sp.starvedAttemptAt.After(since) {
			since = sp.starvedAttemptAt
		}
		list = append(list, candidate{sp, since})
	}
	slices.SortStableFunc(list, func(one, two candidate) int { return one.since.Compare(two.since) })
	steps := make([]*step, len(list))
	for ix := range list {
		steps[ix] = list[ix].step
	}
	return steps
}

// placeAll places tasks of all steps. Jobs that have had no run for starvationDeadline get a share of the starts first:
// more urgent tasks would otherwise use the window of starts for as long as they come faster than it carries.
func (rd *round) placeAll() {
	dr := rd.dr
	starved := rd.starvedSteps()
	first := rd.placeStarved(starved, starvationDeadline, min(int(dr.starvedStarts), rd.startsLeft))
	before := rd.startsLeft
	if len(rd.workers) > 0 {
		rd.placeSteps()
	}
	dr.roundEnd = rd.endReason()
	dr.starvedStarts = min(dr.starvedStarts-float64(first)+overtakenShare*float64(before-rd.startsLeft), maxKeptStarts)
	first += rd.placeStarved(starved, starvationTimeout, rd.startsLeft)
	// Long-running tasks have their share of these starts as well.
	dr.keptStarts = min(dr.keptStarts+overtakenShare*float64(first), maxKeptStarts)
	dr.windowFull = rd.startsLeft <= 0
}

// placeStarved starts one task of each job that has had no run for a time, up to a limit, and returns how many it started.
// Without it, jobs behind a backlog of more urgent or of best-effort work wait although there is capacity.
func (rd *round) placeStarved(steps []*step, idle time.Duration, limit int) int {
	before := rd.startsLeft
	for _, sp := range steps {
		if rd.starvedAttempts >= maxStarvedAttempts || before-rd.startsLeft >= limit {
			break
		}
		if rd.now.Sub(sp.occ.idleSince()) >= idle && !sp.starvedAttemptAt.Equal(rd.now) && rd.starved(sp) {
			rd.excludeOtherPools(rd.dr.pool(sp.occ.job))
			rd.placeOneStarved(sp)
		}
	}
	return before - rd.startsLeft
}

// placeOneStarved places the first task of a step that may start.
func (rd *round) placeOneStarved(sp *step) {
	for _, tk := range sp.waiting {
		if !rd.dr.startable(tk, rd.now) {
			continue
		}
		rd.starvedAttempts++
		sp.starvedAttemptAt = rd.now
		dm := rd.dr.demand(tk)
		dm.Starved = dm.BestEffort
		ix := rd.chooseForStarved(tk, &dm)
		if ix < 0 && dm.BestEffort && rd.now.Sub(sp.occ.idleSince()) >= starvationDeadline {
			dm.Disturbs = true
			ix = rd.chooseForStarved(tk, &dm)
		}
		if ix >= 0 {
			rd.placeTask(tk, ix)
		}
		return
	}
}

// chooseForStarved returns the index of a worker for a task of a starved step, or -1.
func (rd *round) chooseForStarved(tk *task, dm *placer.Demand) int {
	sp := tk.step
	ix, _ := rd.chooseQuickly(sp, dm)
	if ix < 0 && (rd.dr.policy(sp.occ.job) != nil || len(dm.Avoid) > 0) {
		rd.countSameStep(sp)
		rd.applyForecast(dm)
		ix = rd.chooseOrReturn(tk, dm, rd.excludeUnpermitted(sp, dm, rd.cands), rd.allIndices())
	}
	if ix < 0 {
		ix = rd.chooseBackfill(tk, dm)
	}
	return ix
}

// chooseBackfill returns the index of a held worker on which a task of a starved step is expected to end before those can
// start for which the worker is held, or -1. A reservation may otherwise keep jobs from a run for as long as the runs there
// take.
func (rd *round) chooseBackfill(tk *task, dm *placer.Demand) int {
	runTime := rd.dr.expectedRunTime(tk.step)
	var open []int
	for _, ix := range rd.held {
		if rd.dr.freeAfter(rd.workers[ix], rd.heldFor[ix].needs, rd.now) >= runTime {
			open = append(open, ix)
		}
	}
	if len(open) == 0 {
		return -1
	}
	for _, ix := range open {
		rd.cands[ix].Free, rd.cands[ix].BestEffortMemoryMB = rd.workers[ix].free, 0
	}
	defer func() {
		for _, ix := range open {
			rd.holdCandidate(ix)
		}
	}()
	rd.countSameStep(tk.step)
	rd.applyForecast(dm)
	return rd.chooseOrReturn(tk, dm, rd.excludeUnpermitted(tk.step, dm, rd.cands), open)
}

// idleSince returns when the last run of the occurrence's job ended, or when the occurrence was due if that is later.
func (oc *occurrence) idleSince() time.Time {
	if oc.job.lastRunEnd.After(oc.due) {
		return oc.job.lastRunEnd
	}
	return oc.due
}
