package admitter

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/currantrouter/currantrouter/internal/fleet/modeler"
	"github.com/currantrouter/currantrouter/internal/request/router"
)

const (
	// shortParts of every four slots stay free of long calls.
	shortParts = 1
	// standing is the time for which calls must wait without a pause before the wait is limited to
	// targetRuns mean run times. A shorter queue is a burst that needs no refusals. The limit stays
	// for overloadMemory, since a queue near the capacity empties and fills again all the time.
	standing       = 50 * time.Millisecond
	overloadMemory = time.Second
	targetRuns     = 0.5
	// patienceParts is the part of a short run time that a short call waits for a fast runner.
	patienceParts = 4
	// minTarget keeps the limit of the wait above the noise of the scheduler.
	minTarget = 5 * time.Millisecond
	// fallbackRun is the assumed run time of a class without samples.
	fallbackRun = 20 * time.Millisecond
	// The concurrency falls by a twentieth every adaptInterval while calls take inflated times as
	// long as the mean of their routes, down to half of the slots, and rises again otherwise.
	adaptInterval = 100 * time.Millisecond
	inflated      = 2
	ratioWeight   = 0.02
	ratioCap      = 4
	minFraction   = 0.5
	fractionStep  = 0.05
	// capacityAge bounds the age of the remembered capacity, because adding up thousands of runners
	// for each call costs more than the call's admission.
	capacityAge = 5 * time.Millisecond
	// noCapacityRetry is the expected wait while this host holds no slots.
	noCapacityRetry = time.Second
)

// service holds the queues of one service.
type service struct {
	name       modeler.ServiceName
	src        Source
	learner    learner
	queueLimit atomic.Int64
	// running counts the admitted calls by class.
	running [2]atomic.Int64
	// waiting is the number of queued calls of both classes; it is written under mu.
	waiting atomic.Int64

	capacity   atomic.Int64
	capacityAt atomic.Int64

	mu     sync.Mutex
	queues [2]queue
	// since is when calls began to wait without a pause; zero when none wait.
	since time.Time
	// limitedUntil is the end of the limit on waits that a standing queue has caused.
	limitedUntil time.Time

	adaptMu sync.Mutex
	// ratio is the moving ratio of run times to the means of their routes.
	ratio   float64
	adapted time.Time
	// percent is the part of the slots that may be in use, from 50 to 100.
	percent atomic.Int64
}

func newService(name modeler.ServiceName, src Source) *service {
	sv := &service{name: name, src: src, ratio: 1}
	sv.percent.Store(100)
	return sv
}

// slots returns the number of calls that may run at once, at most capacityAge old.
func (sv *service) slots() int {
	now := time.Now().UnixNano()
	if at := sv.capacityAt.Load(); at == 0 || now-at > int64(capacityAge) {
		sv.capacity.Store(int64(sv.src.Capacity(sv.name)))
		sv.capacityAt.Store(now)
	}
	return int(sv.capacity.Load())
}

// room tells whether one more call of a class fits below the adaptive limit and, for long calls,
// below the slots that are kept for short ones. One slot alone serves both classes.
func (sv *service) room(cl router.Class) bool {
	capacity := sv.slots()
	limit := capacity
	if percent := sv.percent.Load(); percent < 100 {
		limit = max(1, int(int64(capacity)*percent/100))
	}
	long, short := sv.running[router.Long].Load(), sv.running[router.Short].Load()
	// A runner that is probed may add to the capacity, so a full host still asks the source.
	if limit < capacity && int(long+short) >= limit {
		return false
	}
	return cl == router.Short || int(long) < longCap(capacity)
}

func longCap(capacity int) int { return max(1, capacity*(4-shortParts)/4) }

// tryNow takes a slot without waiting. The count of running calls is raised first, so that
// concurrent long calls do not pass the limit together.
func (sv *service) tryNow(rt *route, cl router.Class, avoidSlow bool) *Ticket {
	if !sv.room(cl) {
		return nil
	}
	if now := sv.running[cl].Add(1); cl == router.Long && int(now) > longCap(sv.slots()) {
		sv.running[cl].Add(-1)
		return nil
	}
	gr, ok := sv.src.Take(sv.name, cl, avoidSlow)
	if !ok {
		sv.running[cl].Add(-1)
		return nil
	}
	return &Ticket{Grant: gr, Class: cl, sv: sv, rt: rt}
}

// enqueue refuses a call whose expected wait is too long, else appends it to its queue.
func (sv *service) enqueue(cl Call, rt *route, class router.Class) (*waiter, error) {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	now := time.Now()
	wait := sv.expectedWait(class, cl.Caller)
	if !now.Before(cl.Deadline) {
		return nil, &Refusal{Cause: ErrExpired, RetryAfter: wait}
	}
	if limit := sv.waitLimit(cl, rt, class, now); wait > limit {
		return nil, &Refusal{Cause: ErrOverloaded, RetryAfter: wait - limit}
	}
	if !sv.makeRoom(cl.Caller) {
		return nil, &Refusal{Cause: ErrOverloaded, RetryAfter: wait}
	}
	wt := &waiter{
		caller: cl.Caller, class: class, route: rt, deadline: cl.Deadline, queued: now,
		cost: max(1, rt.mean.Load()), done: make(chan struct{}),
	}
	if sv.since.IsZero() {
		sv.since = now
	}
	sv.queues[class].push(wt)
	sv.noteWaiting(1)
	sv.dispatchLocked()
	return wt, nil
}

// makeRoom keeps the queue below its limit. A full queue drops the newest call of the caller that
// has most calls waiting, if that is more than the new call's caller would have.
func (sv *service) makeRoom(caller string) bool {
	if sv.waiting.Load() < sv.queueLimit.Load() {
		return true
	}
	var victim *waiter
	own := 0
	most := 0
	for cl := range sv.queues {
		qu := &sv.queues[cl]
		own += qu.count(caller)
		if fl := qu.longest(); fl != nil && len(fl.waiters) > most {
			most = len(fl.waiters)
			victim = fl.waiters[len(fl.waiters)-1]
		}
	}
	if victim == nil || most <= own+1 {
		return false
	}
	sv.remove(victim)
	victim.finish(nil, &Refusal{Cause: ErrOverloaded, RetryAfter: time.Second})
	return true
}

// waitLimit is the longest wait that is worth queueing for: the rest of the deadline without the
// run time, and in a standing queue a part of the run time, because a longer queue adds to the
// latency of every call but not to the throughput.
func (sv *service) waitLimit(cl Call, rt *route, class router.Class, now time.Time) time.Duration {
	limit := cl.Deadline.Sub(now) - time.Duration(rt.mean.Load())
	if !sv.since.IsZero() && now.Sub(sv.since) > standing {
		sv.limitedUntil = now.Add(overloadMemory)
	}
	if now.Before(sv.limitedUntil) {
		limit = min(limit, max(minTarget, time.Duration(targetRuns*float64(sv.meanRun(class)))))
	}
	return max(0, limit)
}

func (sv *service) meanRun(class router.Class) time.Duration {
	if mean := sv.learner.mean(class); mean > 0 {
		return mean
	}
	return fallbackRun
}

// expectedWait estimates the wait behind the calls that are served first: those of the same caller
// and as many of every other caller. mu is held.
func (sv *service) expectedWait(class router.Class, caller string) time.Duration {
	ahead := sv.queues[class].ahead(caller)
	capacity := sv.slots()
	if capacity == 0 && !sv.since.IsZero() && time.Since(sv.since) > standing {
		return noCapacityRetry
	}
	lanes := capacity - int(sv.running[router.Long].Load())
	if class == router.Long {
		lanes = min(longCap(capacity), max(capacity/4, int(sv.running[router.Long].Load())))
	}
	return time.Duration(ahead) * sv.meanRun(class) / time.Duration(max(1, lanes))
}

// wait blocks until the call is granted, refused, expired or given up.
func (sv *service) wait(ctx context.Context, wt *waiter) (*Ticket, error) {
	tm := time.NewTimer(min(sv.patience(), time.Until(wt.deadline)))
	defer tm.Stop()
	select {
	case <-wt.done:
		return wt.ticket, wt.err
	case <-tm.C:
		sv.dispatch()
		tm.Reset(time.Until(wt.deadline))
	case <-ctx.Done():
	}
	select {
	case <-wt.done:
		return wt.ticket, wt.err
	case <-tm.C:
		sv.giveUp(wt, &Refusal{Cause: ErrExpired, RetryAfter: time.Second})
	case <-ctx.Done():
		sv.giveUp(wt, context.Cause(ctx))
	}
	return wt.ticket, wt.err
}

// giveUp removes a call unless it was decided before.
func (sv *service) giveUp(wt *waiter, err error) {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	if wt.decided {
		return
	}
	sv.remove(wt)
	wt.finish(nil, err)
}

func (sv *service) refuseAll(err error) {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	for cl := range sv.queues {
		for wt := sv.queues[cl].pop(); wt != nil; wt = sv.queues[cl].pop() {
			sv.noteWaiting(-1)
			wt.finish(nil, &Refusal{Cause: err, RetryAfter: time.Second})
		}
	}
}

func (sv *service) remove(wt *waiter) {
	sv.queues[wt.class].remove(wt)
	sv.noteWaiting(-1)
}

func (sv *service) noteWaiting(delta int64) {
	now := sv.waiting.Add(delta)
	if now == 0 {
		sv.since = time.Time{}
	}
	sv.src.Want(sv.name, int(now))
}

func (sv *service) dispatch() {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	sv.dispatchLocked()
}

// dispatchLocked hands free slots to waiting calls. mu is held.
func (sv *service) dispatchLocked() {
	for sv.waiting.Load() > 0 {
		first, second := sv.order()
		if !sv.serve(first) && !sv.serve(second) {
			return
		}
	}
}

// order serves long calls first while they hold less than a quarter of the slots, so that neither
// class starves, and short calls first otherwise.
func (sv *service) order() (first, second router.Class) {
	if int(sv.running[router.Long].Load()) < sv.slots()/4 {
		return router.Long, router.Short
	}
	return router.Short, router.Long
}

// patience is the time for which a short call waits for a fast runner while only slow ones have
// slots. In a busy service a fast slot becomes free much sooner.
func (sv *service) patience() time.Duration { return sv.meanRun(router.Short) / patienceParts }

// serve hands a slot to the next call of a class. Short calls pass over slow runners as long as
// long calls can use those, and for a moment in any case.
func (sv *service) serve(class router.Class) bool {
	wt := sv.queues[class].peek()
	if wt == nil {
		return false
	}
	avoidSlow := class == router.Short &&
		(sv.queues[router.Long].size > 0 && sv.room(router.Long) || time.Since(wt.queued) < sv.patience())
	tk := sv.tryNow(wt.route, class, avoidSlow)
	if tk == nil {
		return false
	}
	sv.queues[class].pop()
	sv.noteWaiting(-1)
	wt.finish(tk, nil)
	return true
}

// adapt lowers the concurrency while most calls take longer than their routes did before, which
// means that the runners are given more than they can do.
func (sv *service) adapt(rt *route, elapsed time.Duration) {
	mean := rt.mean.Load()
	if mean <= 0 {
		return
	}
	sv.adaptMu.Lock()
	defer sv.adaptMu.Unlock()
	sample := min(ratioCap, float64(elapsed)/float64(mean))
	sv.ratio += ratioWeight * (sample - sv.ratio)
	now := time.Now()
	if now.Sub(sv.adapted) < adaptInterval {
		return
	}
	sv.adapted = now
	step := fractionStep
	if sv.ratio > inflated {
		step = -fractionStep
	}
	percent := float64(sv.percent.Load())/100 + step
	sv.percent.Store(int64(100 * max(minFraction, min(1, percent))))
}
