package director

import (
	"cmp"
	"slices"
	"sync/atomic"
	"time"

	"github.com/currantrouter/currantrouter/internal/job/modeler"
	"github.com/currantrouter/currantrouter/internal/job/rejecter"
	"github.com/currantrouter/currantrouter/internal/telemetry/logger"
	"github.com/currantrouter/currantrouter/internal/telemetry/meter"
)

const (
	// loadHintDemand is the time since a load hint was last asked for, until which it is kept up to date.
	loadHintDemand = 2 * time.Second
	// minHintTerm is the age of a term from which its leader gives load hints. A takeover delays jobs, and
	// what has ended before says nothing of the time after it.
	minHintTerm = 2 * rejecter.Window
	// loadHintPauseFactor is the ratio of the time between two load hints to the time that the last one took to
	// compute, 2.8 ms with 5,000 waiting steps, so that they use at most 1% of a core.
	loadHintPauseFactor = 100
	// loadHintLogInterval is the time between two lines on the queues of the load hint.
	loadHintLogInterval = time.Second
)

// loadHint is the last load hint and what it is computed from.
type loadHint struct {
	// observer and loggedAt are guarded by Director.mu.
	observer rejecter.Observer
	loggedAt time.Time
	// askedAt is when a hint was last asked for, in Unix nanoseconds.
	askedAt atomic.Int64
	last    atomic.Pointer[computedHint]
}

// computedHint is a load hint, when it was computed, and how long that took.
type computedHint struct {
	rejecter.Hint
	// encoded is the hint without its age.
	encoded string
	at      time.Time
	took    time.Duration
}

// LoadHint returns the load of the queues that are behind, and false while this leader has observed too
// little or may not send requests to workers, or if no hint was asked for within the last seconds. It does not wait for
// the director, as heartbeats are answered with it.
func (dr *Director) LoadHint() (rejecter.Hint, bool) {
	last, age, ok := dr.lastLoadHint()
	if !ok {
		return rejecter.Hint{}, false
	}
	ht := last.Hint
	ht.Age = age
	return ht, true
}

// EncodedLoadHint is LoadHint with the text that rejecter.DecodeHint reads.
func (dr *Director) EncodedLoadHint() (string, bool) {
	last, age, ok := dr.lastLoadHint()
	if !ok {
		return "", false
	}
	return rejecter.WithAge(last.encoded, age), true
}

// lastLoadHint returns the last load hint and its age.
func (dr *Director) lastLoadHint() (*computedHint, time.Duration, bool) {
	now := time.Now()
	dr.loadHint.askedAt.Store(now.UnixNano())
	last := dr.loadHint.last.Load()
	if last == nil {
		return nil, 0, false
	}
	age := now.Sub(last.at)
	return last, age, age < loadHintDemand && dr.op.MaySendRequests()
}

// updateLoadHint computes the load hint again, with each tick.
func (dr *Director) updateLoadHint(now time.Time) {
	lh := &dr.loadHint
	if !dr.op.LoadHints || now.Sub(dr.termStart) < minHintTerm || now.Sub(time.Unix(0, lh.askedAt.Load())) > loadHintDemand {
		return
	}
	if last := lh.last.Load(); last != nil && now.Sub(last.at) < loadHintPauseFactor*last.took {
		return
	}
	began := time.Now()
	ch := &computedHint{Hint: rejecter.Hint{Epoch: dr.op.Epoch, Queues: dr.queueLoads(now)}, at: now}
	ch.encoded = ch.Encode()
	ch.took = time.Since(began)
	lh.last.Store(ch)
	dr.op.Meter.Set(meter.QueuesBehind, int64(len(ch.Queues)))
	if len(ch.Queues) > 0 && now.Sub(lh.loggedAt) >= loadHintLogInterval {
		lh.loggedAt = now
		dr.logQueuesBehind(ch.Queues)
	}
}

func (dr *Director) logQueuesBehind(list []rejecter.QueueLoad) {
	for _, ql := range list {
		dr.log(logger.QueueBehind, "Queue", ql.Queue, "Ended", ql.Ended, "Missed", ql.Missed, "Delay", ql.Delay.String(), "Drain", ql.Drain.String(), "Overrun", ql.Overrun)
	}
}

// queueLoads returns the loads of at most rejecter.MaxQueues queues of which jobs may be refused. It looks at
// all jobs only if there is such a queue.
func (dr *Director) queueLoads(now time.Time) []rejecter.QueueLoad {
	missed := dr.missedJobs(now)
	if len(missed) == 0 {
		return nil
	}
	unfinished := map[modeler.QueueName]int{}
	for _, jb := range dr.jobs {
		if _, ok := missed[jb.Queue]; ok && jb.finalState == "" && rejecter.Observed(&jb.Job) {
			unfinished[jb.Queue]++
		}
	}
	return dr.loadHint.loads(missed, unfinished, now)
}

// loads returns the loads of at most rejecter.MaxQueues queues, those with most jobs that missed their objective first.
func (lh *loadHint) loads(missed, unfinished map[modeler.QueueName]int, now time.Time) []rejecter.QueueLoad {
	var list []rejecter.QueueLoad
	for name, count := range missed {
		if ql, ok := lh.observer.Load(name, unfinished[name], count, now); ok {
			list = append(list, ql)
		}
	}
	slices.SortFunc(list, func(one, two rejecter.QueueLoad) int {
		return cmp.Or(cmp.Compare(two.Missed, one.Missed), cmp.Compare(one.Queue, two.Queue))
	})
	return list[:min(len(list), rejecter.MaxQueues)]
}

// missedJobs counts the jobs that became late within rejecter.Window while they had tasks without capacity,
// for each queue with enough of them. Jobs that wait for this leader rather than for capacity do not count.
func (dr *Director) missedJobs(now time.Time) map[modeler.QueueName]int {
	lateSince := map[*job]time.Time{}
	for sp := range dr.waitingSteps {
		jb := sp.occ.job
		if jb.inherited || !jb.confirmed || !rejecter.Observed(&jb.Job) {
			continue
		}
		ws := dr.waitingStep(sp)
		ws.Submitted = jb.addedAt
		since := ws.Rank(now).LatestStart
		if first, ok := lateSince[jb]; !ok || since.Before(first) {
			lateSince[jb] = since
		}
	}
	missed := map[modeler.QueueName]int{}
	for jb, since := range lateSince {
		if late := now.Sub(since); late >= 0 && late < rejecter.Window {
			missed[jb.Queue]++
		}
	}
	for name, count := range missed {
		if count < rejecter.MinObservations {
			delete(missed, name)
		}
	}
	return missed
}

// observeJobEnd records the end of a job for the load hint.
func (dr *Director) observeJobEnd(jb *job, now time.Time) {
	if dr.op.LoadHints && jb.finalState == modeler.Completed && !jb.inherited && rejecter.Observed(&jb.Job) {
		dr.loadHint.observer.ObserveEnd(jb.Queue, now.Sub(jb.addedAt), rejecter.CriticalPath(jb.Steps), now)
	}
}
