package scheduler

import (
	"cmp"
	"container/heap"
	"slices"
	"time"

	"github.com/currantrouter/currantrouter/internal/batch/estimator"
	"github.com/currantrouter/currantrouter/internal/provider/supervisor"
)

// queue orders jobs with waiting tasks: urgent first, then priority, then the share of its quota
// that the team uses, then age. Jobs of one team and kind form a line; a job that has no room holds
// up only its own line. Jobs that may not start leave a line when they reach its head, so that a
// cancellation touches no heap.
type queue struct {
	levels []*tier
	teams  map[string]*team
	// delayed holds jobs that may not start before a time.
	delayed delayedHeap
}

// tier holds the lines of one urgency and priority.
type tier struct {
	urgent   bool
	priority int
	lines    []*line
	index    map[lineKey]*line
}

type lineKey struct {
	team string
	kind estimator.Kind
}

// line holds jobs of one team and kind, the oldest first.
type line struct {
	team *team
	jobs jobHeap
	// skipped is the number of the round in which the head had no room.
	skipped uint64
}

// team is the use of a team's quota.
type team struct {
	name string
	// quota is the share of the data centre that the team may use, above 0 and at most 1.
	quota float64
	// held is the sum of the team's reservations, used the share of the data centre that they take.
	held supervisor.Resources
	used float64
	// full is the number of the round in which the quota allowed no more.
	full uint64
}

func newQueue() *queue { return &queue{teams: make(map[string]*team)} }

// team returns the team of that name. A team that the configuration does not list may use the whole
// data centre.
func (qu *queue) team(name string) *team {
	tm, ok := qu.teams[name]
	if !ok {
		tm = &team{name: name, quota: 1}
		qu.teams[name] = tm
	}
	return tm
}

// push adds a job unless it is queued already.
func (qu *queue) push(jb *job, now time.Time) {
	if jb.queued || !jb.startable() {
		return
	}
	jb.queued = true
	from := jb.NotBefore
	if jb.delayedUntil.After(from) {
		from = jb.delayedUntil
	}
	if from.After(now) {
		heap.Push(&qu.delayed, delayedJob{from, jb})
		return
	}
	qu.enter(jb)
}

func (qu *queue) enter(jb *job) {
	tr := qu.tier(jb.Urgent, jb.Priority)
	key := lineKey{jb.Team, jb.kind}
	ln, ok := tr.index[key]
	if !ok {
		ln = &line{team: qu.team(jb.Team)}
		tr.index[key] = ln
		tr.lines = append(tr.lines, ln)
	}
	heap.Push(&ln.jobs, jb)
}

func (qu *queue) tier(urgent bool, priority int) *tier {
	i, ok := slices.BinarySearchFunc(qu.levels, tier{urgent: urgent, priority: priority},
		func(tr *tier, want tier) int {
			if tr.urgent != want.urgent {
				if tr.urgent {
					return -1
				}
				return 1
			}
			return cmp.Compare(want.priority, tr.priority)
		})
	if !ok {
		qu.levels = slices.Insert(qu.levels, i, &tier{
			urgent: urgent, priority: priority, index: make(map[lineKey]*line),
		})
	}
	return qu.levels[i]
}

// wake moves the delayed jobs whose time has come into their lines and reports whether there were
// any.
func (qu *queue) wake(now time.Time) bool {
	woken := false
	for len(qu.delayed) > 0 && !qu.delayed[0].from.After(now) {
		jb := heap.Pop(&qu.delayed).(delayedJob).job
		jb.queued = false
		qu.push(jb, now)
		woken = true
	}
	return woken
}

// head returns the line to serve next in a round, nil when all lines were skipped or are empty.
func (qu *queue) head(round uint64) *line {
	for _, tr := range qu.levels {
		var best *line
		for i := 0; i < len(tr.lines); i++ {
			ln := tr.lines[i]
			if ln.skipped == round || ln.team.full == round {
				continue
			}
			if !ln.trim() {
				tr.drop(i)
				i--
				continue
			}
			if best == nil || ln.before(best) {
				best = ln
			}
		}
		if best != nil {
			return best
		}
	}
	return nil
}

func (tr *tier) drop(i int) {
	ln := tr.lines[i]
	for key, other := range tr.index {
		if other == ln {
			delete(tr.index, key)
			break
		}
	}
	last := len(tr.lines) - 1
	tr.lines[i] = tr.lines[last]
	tr.lines[last] = nil
	tr.lines = tr.lines[:last]
}

// trim removes jobs at the head that may not start. It reports whether a job is left.
func (ln *line) trim() bool {
	for len(ln.jobs) > 0 && !ln.jobs[0].startable() {
		heap.Pop(&ln.jobs).(*job).queued = false
	}
	return len(ln.jobs) > 0
}

func (ln *line) before(other *line) bool {
	mine, its := ln.team.used/ln.team.quota, other.team.used/other.team.quota
	if mine != its {
		return mine < its
	}
	return ln.jobs[0].id < other.jobs[0].id
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
	from time.Time
	job  *job
}

// delayedHeap orders jobs by that time for package heap.
type delayedHeap []delayedJob

// Len implements heap.Interface.
func (dh delayedHeap) Len() int { return len(dh) }

// Less implements heap.Interface.
func (dh delayedHeap) Less(i, j int) bool { return dh[i].from.Before(dh[j].from) }

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
