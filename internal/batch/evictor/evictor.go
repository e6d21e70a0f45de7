// Package evictor decides which batch tasks to throttle and which to evict when a worker is
// overloaded.
package evictor

import (
	"cmp"
	"slices"
	"time"

	"github.com/currantrouter/currantrouter/internal/fleet/modeler"
	"github.com/currantrouter/currantrouter/internal/provider/supervisor"
)

const (
	// startLoad and stopLoad are the shares of capacity at which relief starts and stops. The gap
	// keeps a worker from alternating between the two.
	startLoad = 0.90
	stopLoad  = 0.75
	// degradedSlowdown is the slowdown from which a latency-critical task counts as degraded.
	degradedSlowdown = 1.25
	// degradedReports is the number of reports after the throttle that must still show it.
	degradedReports = 2
	// jobCoolDown is the least time between evictions of tasks of one job.
	jobCoolDown = 10 * time.Minute
	// budgetShare is the share of the running batch tasks that may be evicted in a minute.
	budgetShare  = 0.02
	budgetPeriod = time.Minute
	// ThrottledShare is the share of its processors that a throttled task keeps.
	ThrottledShare = 0.5
)

// Task is one running task of a worker.
type Task struct {
	Attempt         supervisor.Attempt
	Use             supervisor.Resources
	Slowdown        float64
	LatencyCritical bool
	// Checkpoint is set when the task can save its work.
	Checkpoint bool
	// Evictable is set when the task may be stopped and resumed.
	Evictable bool
	// Interference is the predicted slowdown that the task causes to latency-critical tasks of the
	// worker.
	Interference float64
	Age          time.Duration
}

// View is what the leader knows of one worker after a report.
type View struct {
	Worker   modeler.WorkerName
	Capacity supervisor.Resources
	Tasks    []Task
}

// Decision lists what to do on one worker.
type Decision struct {
	Throttle   []supervisor.Attempt
	Unthrottle []supervisor.Attempt
	Evict      []supervisor.Attempt
}

// Evictor remembers throttled workers, the budget and the cool-downs. It is not safe for concurrent
// use.
type Evictor struct {
	workers map[modeler.WorkerName]*relief
	// evicted holds the time of the last eviction of jobs within their cool-down.
	evicted map[string]time.Time
	// budget is the number of evictions that are allowed now, at least one whole one for a
	// eviction.
	budget   float64
	refilled time.Time
}

// relief is a worker whose batch tasks are throttled.
type relief struct {
	// reports counts the reports since the throttle that showed a degraded latency-critical task.
	reports   int
	throttled map[supervisor.Attempt]bool
}

// New returns an evictor. Its budget starts with one eviction.
func New(now time.Time) *Evictor {
	return &Evictor{
		workers:  make(map[modeler.WorkerName]*relief),
		evicted:  make(map[string]time.Time),
		budget:   1,
		refilled: now,
	}
}

// Refill adds to the budget of evictions for the time since the last call. Running is the number of
// running batch tasks. At least one eviction a minute is allowed, or a small data centre could
// never evict.
func (ev *Evictor) Refill(running int, now time.Time) {
	perPeriod := max(budgetShare*float64(running), 1)
	elapsed := now.Sub(ev.refilled)
	ev.refilled = now
	ev.budget = min(ev.budget+perPeriod*float64(elapsed)/float64(budgetPeriod), perPeriod)
	for job, at := range ev.evicted {
		if now.Sub(at) >= jobCoolDown {
			delete(ev.evicted, job)
		}
	}
}

// Decide returns what to do on a worker after a report.
func (ev *Evictor) Decide(vw View, now time.Time) Decision {
	load := vw.load()
	degraded := vw.degraded()
	rl, relieving := ev.workers[vw.Worker]
	switch {
	case !relieving && (load >= startLoad || degraded):
		return ev.throttle(vw)
	case relieving && load < stopLoad && !degraded:
		return ev.unthrottle(vw.Worker, rl)
	case relieving && degraded:
		return ev.escalate(vw, rl, load, now)
	}
	return Decision{}
}

// Relieving reports whether the batch tasks of the worker are throttled. Such a worker should get no
// new tasks.
func (ev *Evictor) Relieving(wk modeler.WorkerName) bool {
	_, ok := ev.workers[wk]
	return ok
}

// Remove forgets a worker whose tasks are gone.
func (ev *Evictor) Remove(wk modeler.WorkerName) { delete(ev.workers, wk) }

func (ev *Evictor) throttle(vw View) Decision {
	rl := &relief{throttled: make(map[supervisor.Attempt]bool)}
	var dc Decision
	for _, tk := range vw.Tasks {
		if !tk.LatencyCritical {
			rl.throttled[tk.Attempt] = true
			dc.Throttle = append(dc.Throttle, tk.Attempt)
		}
	}
	if len(dc.Throttle) > 0 {
		ev.workers[vw.Worker] = rl
	}
	return dc
}

func (ev *Evictor) unthrottle(wk modeler.WorkerName, rl *relief) Decision {
	delete(ev.workers, wk)
	var dc Decision
	for at := range rl.throttled {
		dc.Unthrottle = append(dc.Unthrottle, at)
	}
	return dc
}

// escalate evicts once two reports after the throttle still show a degraded task, and then waits
// for two more before it evicts again.
func (ev *Evictor) escalate(vw View, rl *relief, load float64, now time.Time) Decision {
	rl.reports++
	if rl.reports < degradedReports {
		return Decision{}
	}
	rl.reports = 0
	return Decision{Evict: ev.choose(vw, load, now)}
}

// choose takes the cheapest tasks until the predicted load is below stopLoad, at least one.
func (ev *Evictor) choose(vw View, load float64, now time.Time) []supervisor.Attempt {
	var chosen []supervisor.Attempt
	for _, tk := range ev.candidates(vw, now) {
		if ev.budget < 1 || (len(chosen) > 0 && load < stopLoad) {
			break
		}
		if ev.cooling(tk.Attempt.Job, now) {
			continue
		}
		ev.budget--
		ev.evicted[tk.Attempt.Job] = now
		load -= vw.shareOf(tk.Use)
		chosen = append(chosen, tk.Attempt)
	}
	return chosen
}

func (ev *Evictor) cooling(job string, now time.Time) bool {
	at, ok := ev.evicted[job]
	return ok && now.Sub(at) < jobCoolDown
}

// candidates are the tasks that may be evicted in the order of cost: those that can save their work
// first, then by what a task relieves for each second of work that it loses.
func (ev *Evictor) candidates(vw View, now time.Time) []Task {
	var ts []Task
	for _, tk := range vw.Tasks {
		if !tk.LatencyCritical && tk.Evictable && !ev.cooling(tk.Attempt.Job, now) {
			ts = append(ts, tk)
		}
	}
	slices.SortStableFunc(ts, func(a, b Task) int {
		if a.Checkpoint != b.Checkpoint {
			return cmp.Compare(rank(b.Checkpoint), rank(a.Checkpoint))
		}
		return cmp.Compare(vw.gain(b), vw.gain(a))
	})
	return ts
}

func rank(first bool) int {
	if first {
		return 1
	}
	return 0
}

// gain is the relief for each minute of age, so that few large, young tasks go first.
func (vw View) gain(tk Task) float64 {
	return (vw.shareOf(tk.Use) + tk.Interference) / (1 + tk.Age.Minutes())
}

func (vw View) load() float64 {
	var use supervisor.Resources
	for _, tk := range vw.Tasks {
		use.Millicores += tk.Use.Millicores
		use.MemoryBytes += tk.Use.MemoryBytes
	}
	return vw.shareOf(use)
}

func (vw View) shareOf(use supervisor.Resources) float64 {
	return max(
		float64(use.Millicores)/float64(max(vw.Capacity.Millicores, 1)),
		float64(use.MemoryBytes)/float64(max(vw.Capacity.MemoryBytes, 1)),
	)
}

func (vw View) degraded() bool {
	return slices.ContainsFunc(vw.Tasks, func(tk Task) bool {
		return tk.LatencyCritical && tk.Slowdown >= degradedSlowdown
	})
}
