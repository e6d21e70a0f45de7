// Package evictor decides which batch tasks to throttle and which to evict when a worker is
// overloaded or a latency-critical task on it is degraded.
package evictor

import (
	"cmp"
	"slices"
	"time"

	"github.com/currantrouter/currantrouter/internal/fleet/modeler"
	"github.com/currantrouter/currantrouter/internal/provider/supervisor"
)

const (
	// throttleLoad is the share of capacity in use from which batch tasks are throttled.
	throttleLoad = 0.90
	// unthrottleLoad is the share of capacity in use below which the throttle is lifted. The distance
	// to throttleLoad is a hysteresis that prevents flapping.
	unthrottleLoad = 0.75
	// minDegradedSlowdown is the slowdown from which a latency-critical task counts as degraded.
	minDegradedSlowdown = 1.25
	// minDegradedReports is the number of reports of a degraded task, after the throttle or the last
	// eviction, that lead to an eviction.
	minDegradedReports = 2
	// minJobEvictionInterval is the cool-down between evictions of tasks of one job.
	minJobEvictionInterval = 10 * time.Minute
	// maxEvictedShare is the share of the running batch tasks that may be evicted per evictionPeriod.
	maxEvictedShare = 0.02
	// evictionPeriod is the time in which the budget of evictions refills completely.
	evictionPeriod = time.Minute
	// ThrottledShare is the share of its processors that a throttled task keeps.
	ThrottledShare = 0.5
)

// Task is one running task of a worker.
type Task struct {
	Attempt supervisor.Attempt
	Usage   supervisor.Resources
	// Slowdown is the measured slowdown, 1 for full speed and 0 when it was not measured.
	Slowdown        float64
	LatencyCritical bool
	// CanCheckpoint is set when the task supports checkpoints.
	CanCheckpoint bool
	// Evictable is set when the task may be stopped and resumed.
	Evictable bool
	// Interference is the sum of the slowdowns that the task is predicted to cause to the worker's
	// latency-critical tasks.
	Interference float64
	// Age is the time since the attempt started.
	Age time.Duration
}

// WorkerState describes one worker and its running tasks after a report.
type WorkerState struct {
	Worker   modeler.WorkerName
	Capacity supervisor.Resources
	Tasks    []Task
}

// Decision lists the attempts of one worker to throttle, unthrottle and evict.
type Decision struct {
	Throttle   []supervisor.Attempt
	Unthrottle []supervisor.Attempt
	Evict      []supervisor.Attempt
}

// Evictor tracks throttled workers, the eviction budget and the cool-downs of jobs. It is not safe
// for concurrent use.
type Evictor struct {
	throttled map[modeler.WorkerName]*throttledWorker
	// lastEvicted holds the time of the last eviction of each job in its cool-down, by job name.
	lastEvicted map[string]time.Time
	// budget is a token bucket: each eviction takes 1.
	budget     float64
	lastRefill time.Time
}

// throttledWorker is a worker whose batch tasks are throttled.
type throttledWorker struct {
	// degradedReports counts the reports of a degraded latency-critical task since the throttle or the
	// last eviction.
	degradedReports int
	// attempts are the throttled attempts.
	attempts map[supervisor.Attempt]bool
}

// New returns an evictor. Its budget starts with one eviction.
func New(now time.Time) *Evictor {
	return &Evictor{
		throttled:   make(map[modeler.WorkerName]*throttledWorker),
		lastEvicted: make(map[string]time.Time),
		budget:      1,
		lastRefill:  now,
	}
}

// Refill adds to the eviction budget for the time since the last call. Running is the number of
// running batch tasks. The budget is at least one eviction per evictionPeriod, because
// maxEvictedShare alone would never allow one in a small data centre.
func (ev *Evictor) Refill(running int, now time.Time) {
	perPeriod := max(maxEvictedShare*float64(running), 1)
	elapsed := now.Sub(ev.lastRefill)
	ev.lastRefill = now
	ev.budget = min(ev.budget+perPeriod*float64(elapsed)/float64(evictionPeriod), perPeriod)
	for job, at := range ev.lastEvicted {
		if now.Sub(at) >= minJobEvictionInterval {
			delete(ev.lastEvicted, job)
		}
	}
}

// Decide returns what to do on a worker after a report. It assumes that the caller carries the
// decision out.
func (ev *Evictor) Decide(ws WorkerState, now time.Time) Decision {
	load := ws.load()
	degraded := ws.degraded()
	tw, throttled := ev.throttled[ws.Worker]
	switch {
	case !throttled && (load >= throttleLoad || degraded):
		return ev.throttle(ws)
	case throttled && load < unthrottleLoad && !degraded:
		return ev.unthrottle(ws.Worker, tw)
	case throttled && degraded:
		return ev.escalate(ws, tw, load, now)
	}
	return Decision{}
}

// Throttled reports whether the worker's batch tasks are throttled. No new tasks should be placed on
// such a worker.
func (ev *Evictor) Throttled(wk modeler.WorkerName) bool {
	_, ok := ev.throttled[wk]
	return ok
}

// Remove removes a worker that has no more tasks.
func (ev *Evictor) Remove(wk modeler.WorkerName) { delete(ev.throttled, wk) }

func (ev *Evictor) throttle(ws WorkerState) Decision {
	tw := &throttledWorker{attempts: make(map[supervisor.Attempt]bool)}
	var dc Decision
	for _, tk := range ws.Tasks {
		if !tk.LatencyCritical {
			tw.attempts[tk.Attempt] = true
			dc.Throttle = append(dc.Throttle, tk.Attempt)
		}
	}
	if len(dc.Throttle) > 0 {
		ev.throttled[ws.Worker] = tw
	}
	return dc
}

func (ev *Evictor) unthrottle(wk modeler.WorkerName, tw *throttledWorker) Decision {
	delete(ev.throttled, wk)
	var dc Decision
	for at := range tw.attempts {
		dc.Unthrottle = append(dc.Unthrottle, at)
	}
	return dc
}

// escalate evicts each time minDegradedReports further reports have shown a degraded task.
func (ev *Evictor) escalate(ws WorkerState, tw *throttledWorker, load float64, now time.Time) Decision {
	tw.degradedReports++
	if tw.degradedReports < minDegradedReports {
		return Decision{}
	}
	tw.degradedReports = 0
	return Decision{Evict: ev.selectVictims(ws, load, now)}
}

// selectVictims selects candidates in order until the predicted load is below unthrottleLoad, at
// least one if the budget allows.
func (ev *Evictor) selectVictims(ws WorkerState, load float64, now time.Time) []supervisor.Attempt {
	var victims []supervisor.Attempt
	for _, tk := range ev.candidates(ws, now) {
		if ev.budget < 1 || (len(victims) > 0 && load < unthrottleLoad) {
			break
		}
		if ev.inCooldown(tk.Attempt.Job, now) {
			continue
		}
		ev.budget--
		ev.lastEvicted[tk.Attempt.Job] = now
		load -= ws.maxShare(tk.Usage)
		victims = append(victims, tk.Attempt)
	}
	return victims
}

func (ev *Evictor) inCooldown(job string, now time.Time) bool {
	at, ok := ev.lastEvicted[job]
	return ok && now.Sub(at) < minJobEvictionInterval
}

// candidates returns the tasks that may be evicted, the cheapest first: tasks with checkpoints, which
// lose little work, before others, then by descending reliefPerLostMinute.
func (ev *Evictor) candidates(ws WorkerState, now time.Time) []Task {
	var ts []Task
	for _, tk := range ws.Tasks {
		if !tk.LatencyCritical && tk.Evictable && !ev.inCooldown(tk.Attempt.Job, now) {
			ts = append(ts, tk)
		}
	}
	slices.SortStableFunc(ts, func(a, b Task) int {
		if a.CanCheckpoint != b.CanCheckpoint {
			return cmp.Compare(boolRank(b.CanCheckpoint), boolRank(a.CanCheckpoint))
		}
		return cmp.Compare(ws.reliefPerLostMinute(b), ws.reliefPerLostMinute(a))
	})
	return ts
}

// boolRank returns 1 for true and 0 for false.
func boolRank(first bool) int {
	if first {
		return 1
	}
	return 0
}

// reliefPerLostMinute returns the load and interference that an eviction removes, divided by the age
// of the attempt. It prefers few evictions of large, young tasks.
func (ws WorkerState) reliefPerLostMinute(tk Task) float64 {
	return (ws.maxShare(tk.Usage) + tk.Interference) / (1 + tk.Age.Minutes())
}

func (ws WorkerState) load() float64 {
	var use supervisor.Resources
	for _, tk := range ws.Tasks {
		use.Millicores += tk.Usage.Millicores
		use.MemoryBytes += tk.Usage.MemoryBytes
	}
	return ws.maxShare(use)
}

func (ws WorkerState) maxShare(use supervisor.Resources) float64 {
	return max(
		float64(use.Millicores)/float64(max(ws.Capacity.Millicores, 1)),
		float64(use.MemoryBytes)/float64(max(ws.Capacity.MemoryBytes, 1)),
	)
}

func (ws WorkerState) degraded() bool {
	return slices.ContainsFunc(ws.Tasks, func(tk Task) bool {
		return tk.LatencyCritical && tk.Slowdown >= minDegradedSlowdown
	})
}
