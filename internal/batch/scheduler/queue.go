package scheduler

import (
	"cmp"
	"container/heap"
	"slices"
	"time"

	"github.com/currantrouter/currantrouter/internal/batch/estimator"
	"github.com/currantrouter/currantrouter/internal/provider/supervisor"
)

// queue orders the jobs with waiting tasks by urgency, priority, the share of its quota that the
// team uses, and age. Jobs of one team and kind share a subqueue, so that a job that cannot be
// placed blocks only jobs of its team and kind. Jobs that are not startable stay in their subqueue
// until they reach its head, so that a cancellation needs no search.
type queue struct {
	// levels is sorted by descending urgency and priority.
	levels []*priorityLevel
	teams  map[string]*team
	// delayed holds jobs that may not start before a time.
	delayed delayedHeap
}

// priorityLevel holds the subqueues of one urgency and priority.
type priorityLevel struct {
	urgent    bool
	priority  int
	subqueues []*subqueue
	index     map[subqueueKey]*subqueue
}

type subqueueKey struct {
	team string
	kind estimator.Kind
}

// subqueue holds jobs of one team and kind, the oldest first.
type subqueue struct {
	team *team
	jobs jobHeap
	// skippedRound is the last round in which the job at the head could not be placed.
	skippedRound uint64
}

// team is a team's quota and its use.
type team struct {
	name string
	// quota is the share of the data centre that the team may use, above 0 and at most 1.
	quota float64
	// reserved is the sum of the reservations of the team's active attempts.
	reserved supervisor.Resources
	// usedShare is the larger of reserved's shares of the data centre's processors and memory.
	usedShare float64
	// exhaustedRound is the last round in which the quota did not allow another task.
	exhaustedRound uint64
}

func newQueue() *queue { return &queue{teams: make(map[string]*team)} }

// team returns the team of that name. A team that is not configured may use the whole data centre.
func (qu *queue) team(name string) *team {
	tm, ok := qu.teams[name]
	if !ok {
		tm = &team{name: name, quota: 1}
		qu.teams[name] = tm
	}
	return tm
}

// push adds a job, among the delayed jobs if it may not start yet. It does nothing if the job is
// queued already or not startable.
func (qu *queue) push(jb *job, now time.Time) {
	if jb.queued || !jb.startable() {
		return
	}
	jb.queued = true
	startAt := jb.NotBefore
	if jb.delayedUntil.After(startAt) {
		startAt = jb.delayedUntil
	}
	if startAt.After(now) {
		heap.Push(&qu.delayed, delayedJob{startAt, jb})
		return
	}
	qu.insert(jb)
}

// insert adds a job to its subqueue.
func (qu *queue) insert(jb *job) {
	pl := qu.level(jb.Urgent, jb.Priority)
	key := subqueueKey{jb.Team, jb.kind}
	sq, ok := pl.index[key]
	if !ok {
		sq = &subqueue{team: qu.team(jb.Team)}
		pl.index[key] = sq
		pl.subqueues = append(pl.subqueues, sq)
	}
	heap.Push(&sq.jobs, jb)
}

// level returns the level of an urgency and priority, a new one if there is none.
func (qu *queue) level(urgent bool, priority int) *priorityLevel {
	i, ok := slices.BinarySearchFunc(qu.levels, priorityLevel{urgent: urgent, priority: priority},
		func(pl *priorityLevel, want priorityLevel) int {
			if pl.urgent != want.urgent {
				if pl.urgent {
					return -1
				}
				return 1
			}
			return cmp.Compare(want.priority, pl.priority)
		})
	if !ok {
		qu.levels = slices.Insert(qu.levels, i, &priorityLevel{
			urgent: urgent, priority: priority, index: make(map[subqueueKey]*subqueue),
		})
	}
	return qu.levels[i]
}

// releaseDelayed moves the delayed jobs that may start now to their subqueues and reports whether
// there were any.
func (qu *queue) releaseDelayed(now time.Time) bool {
	released := false
	for len(qu.delayed) > 0 && !qu.delayed[0].startAt.After(now) {
		jb := heap.Pop(&qu.delayed).(delayedJob).job
		jb.queued = false
		qu.push(jb, now)
		released = true
	}
	return released
}

// next returns the subqueue to serve next in a round, nil when all are empty or were skipped in the
// round.
func (qu *queue) next(round uint64) *subqueue {
	for _, pl := range qu.levels {
		var best *subqueue
		for i := 0; i < len(pl.subqueues); i++ {
			sq := pl.subqueues[i]
			if sq.skippedRound == round || sq.team.exhaustedRound == round {
				continue
			}
			if !sq.dropUnstartable() {
				pl.removeSubqueue(i)
				i--
				continue
			}
			if best == nil || sq.precedes(best) {
				best = sq
			}
		}
		if best != nil {
			return best
		}
	}
	return nil
}

func (pl *priorityLevel) removeSubqueue(i int) {
	sq := pl.subqueues[i]
	for key, other := range pl.index {
		if other == sq {
			delete(pl.index, key)
			break
		}
	}
	last := len(pl.subqueues) - 1
	pl.subqueues[i] = pl.subqueues[last]
	pl.subqueues[last] = nil
	pl.subqueues = pl.subqueues[:last]
}

// dropUnstartable removes jobs that are not startable from the head and reports whether a job is
// left.
func (sq *subqueue) dropUnstartable() bool {
	for len(sq.jobs) > 0 && !sq.jobs[0].startable() {
		heap.Pop(&sq.jobs).(*job).queued = false
	}
	return len(sq.jobs) > 0
}

// precedes orders subqueues by the share of the quota in use, then by the age of their oldest jobs.
func (sq *subqueue) precedes(other *subqueue) bool {
	mine, its := sq.team.usedShare/sq.team.quota, other.team.usedShare/other.team.quota
	if mine != its {
		return mine < its
	}
	return sq.jobs[0].id < other.jobs[0].id
}

// jobHeap orders jobs by age for package heap.
type jobHeap []*job

// Len implements heap.Interface.
func (jh jobHeap) Len() int { return len(jh) }

// Less implements heap.Interface.
func (jh jobHeap) Less(i, j int) bool { return jh[i].id < jh[j].id }

// Swap implements heap.Interface.
func (jh jobHeap) Swap(i, j int) { jh[i], jh[j] = jh[j], jh[i] }

// Push implements heap.Interface.
func (jh *jobHeap) Push(x any) { *jh = append(*jh, x.(*job)) }

// Pop implements heap.Interface.
func (jh *jobHeap) Pop() any {
	old := *jh
	last := len(old) - 1
	jb := old[last]
	old[last] = nil
	*jh = old[:last]
	return jb
}

// delayedJob is a job that may not start before a time.
type delayedJob struct {
	startAt time.Time
	job     *job
}

// delayedHeap orders jobs by that time for package heap.
type delayedHeap []delayedJob

// Len implements heap.Interface.
func (dh delayedHeap) Len() int { return len(dh) }

// Less implements heap.Interface.
func (dh delayedHeap) Less(i, j int) bool { return dh[i].startAt.Before(dh[j].startAt) }

// Swap implements heap.Interface.
func (dh delayedHeap) Swap(i, j int) { dh[i], dh[j] = dh[j], dh[i] }

// Push implements heap.Interface.
func (dh *delayedHeap) Push(x any) { *dh = append(*dh, x.(delayedJob)) }

// Pop implements heap.Interface.
func (dh *delayedHeap) Pop() any {
	old := *dh
	last := len(old) - 1
	dj := old[last]
	old[last] = delayedJob{}
	*dh = old[:last]
	return dj
}
