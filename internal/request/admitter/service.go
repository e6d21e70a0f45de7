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
	// shortReserveQuarters is the share of the slots, in quarters, that long calls may not use.
	shortReserveQuarters = 1
	// standingQueueAge is the time after which a queue that was never empty is a standing queue, in which
	// the wait is limited to standingWaitRuns. A younger queue is a burst and needs no refusals.
	standingQueueAge = 50 * time.Millisecond
	// overloadHold is the time for which the limit of a standing queue stays in force. A queue near the
	// capacity empties and fills again all the time.
	overloadHold = time.Second
	// standingWaitRuns is the maximum wait in a standing queue, in mean run times.
	standingWaitRuns = 0.5
	// fastRunnerWaitDivisor gives fastRunnerWait as a fraction of the mean run time of short calls.
	fastRunnerWaitDivisor = 4
	// minWaitLimit keeps the limit of the wait in a standing queue above the jitter of the scheduler.
	minWaitLimit = 5 * time.Millisecond
	// defaultRunTime is the assumed run time of a class without samples.
	defaultRunTime = 20 * time.Millisecond
	// adaptInterval is the minimum time between two changes of the concurrency.
	adaptInterval = 100 * time.Millisecond
	// maxRunTimeRatio is the ratio of run times to the means of their routes above which the
	// concurrency decreases. Below it, the concurrency increases again.
	maxRunTimeRatio = 2
	// ratioWeight is the weight of the newest call in the moving ratio.
	ratioWeight = 0.02
	// maxRatioSample bounds the effect of one call on the moving ratio.
	maxRatioSample = 4
	// minConcurrency is the minimum concurrency as a fraction of the slots.
	minConcurrency = 0.5
	// concurrencyStep is the change of the concurrency per adaptInterval, as a fraction of the slots.
	concurrencyStep = 0.05
	// maxCapacityAge bounds the age of the cached capacity. Adding up thousands of runners for each call
	// costs more than its admission.
	maxCapacityAge = 5 * time.Millisecond
	// noCapacityRetry is the expected wait while this host holds no slots.
	noCapacityRetry = time.Second
)

// service holds the queues and the run-time estimates of one service.
type service struct {
	name       modeler.ServiceName
	src        Source
	estimator  runTimeEstimator
	queueLimit atomic.Int64
	// running counts the admitted calls by class.
	running [2]atomic.Int64
	// waiting is the number of queued calls of both classes. It is written under mu.
	waiting atomic.Int64

	// capacity and capacityAt are the cached capacity and its time in Unix nanoseconds.
	capacity   atomic.Int64
	capacityAt atomic.Int64

	mu     sync.Mutex
	queues [2]queue
	// waitingSince is the time since which the queues were never both empty; zero when they are empty.
	waitingSince time.Time
	// limitedUntil is the time until which waits are limited because of a standing queue.
	limitedUntil time.Time

	concurrencyMu sync.Mutex
	// runTimeRatio is the moving ratio of run times to the means of their routes.
	runTimeRatio   float64
	lastAdaptation time.Time
	// concurrencyPercent is the percentage of the slots that may be in use, from 50 to 100.
	concurrencyPercent atomic.Int64
}

func newService(name modeler.ServiceName, src Source) *service {
	sv := &service{name: name, src: src, runTimeRatio: 1}
	sv.concurrencyPercent.Store(100)
	return sv
}

// cachedCapacity returns the number of calls that this host may run concurrently. The value is at most
// maxCapacityAge old.
func (sv *service) cachedCapacity() int {
	now := time.Now().UnixNano()
	if at := sv.capacityAt.Load(); at == 0 || now-at > int64(maxCapacityAge) {
		sv.capacity.Store(int64(sv.src.Capacity(sv.name)))
		sv.capacityAt.Store(now)
	}
	return int(sv.capacity.Load())
}

// hasFreeCapacity reports whether one more call of a class fits the adaptive limit of concurrency and,
// for a long call, leaves the reserve for short calls. A single slot is used for both classes.
func (sv *service) hasFreeCapacity(cl router.Class) bool {
	capacity := sv.cachedCapacity()
	limit := capacity
	if percent := sv.concurrencyPercent.Load(); percent < 100 {
		limit = max(1, int(int64(capacity)*percent/100))
	}
	long, short := sv.running[router.Long].Load(), sv.running[router.Short].Load()
	// Only a lowered limit is checked here. When all slots are in use, the source is still asked, because
	// a runner that is due for a probe adds to the capacity.
	if limit < capacity && int(long+short) >= limit {
		return false
	}
	return cl == router.Short || int(long) < maxLongCalls(capacity)
}

// maxLongCalls returns the number of slots that long calls may use.
func maxLongCalls(capacity int) int { return max(1, capacity*(4-shortReserveQuarters)/4) }

// tryAdmit takes a slot without waiting, and returns nil when none is free. It counts the call as
// running first, so that concurrent long calls cannot exceed the limit together.
func (sv *service) tryAdmit(rs *routeStats, cl router.Class, avoidSlow bool) *Admission {
	if !sv.hasFreeCapacity(cl) {
		return nil
	}
	if now := sv.running[cl].Add(1); cl == router.Long && int(now) > maxLongCalls(sv.cachedCapacity()) {
		sv.running[cl].Add(-1)
		return nil
	}
	gr, ok := sv.src.Take(sv.name, cl, avoidSlow)
	if !ok {
		sv.running[cl].Add(-1)
		return nil
	}
	return &Admission{Grant: gr, Class: cl, svc: sv, stats: rs}
}

// enqueue appends a call to its queue, or refuses it when the expected wait is too long.
func (sv *service) enqueue(cl Call, rs *routeStats, class router.Class) (*waiter, error) {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	now := time.Now()
	wait := sv.expectedWait(class, cl.Caller)
	if !now.Before(cl.Deadline) {
		return nil, &Refusal{Cause: ErrExpired, RetryAfter: wait}
	}
	if limit := sv.waitLimit(cl, rs, class, now); wait > limit {
		return nil, &Refusal{Cause: ErrOverloaded, RetryAfter: wait - limit}
	}
	if !sv.ensureQueueSpace(cl.Caller) {
		return nil, &Refusal{Cause: ErrOverloaded, RetryAfter: wait}
	}
	wt := &waiter{
		caller: cl.Caller, class: class, route: rs, deadline: cl.Deadline, queuedAt: now,
		cost: max(1, rs.mean.Load()), done: make(chan struct{}),
	}
	if sv.waitingSince.IsZero() {
		sv.waitingSince = now
	}
	sv.queues[class].push(wt)
	sv.addWaiting(1)
	sv.dispatchLocked()
	return wt, nil
}

// ensureQueueSpace reports whether one more call may be queued. When the queue is full, it refuses the
// newest call of the caller with the most queued calls, provided that this caller has more of them than
// the new call's caller would have.
func (sv *service) ensureQueueSpace(caller string) bool {
	if sv.waiting.Load() < sv.queueLimit.Load() {
		return true
	}
	var victim *waiter
	own := 0
	maxQueued := 0
	for cl := range sv.queues {
		qu := &sv.queues[cl]
		own += qu.count(caller)
		if fl := qu.longest(); fl != nil && len(fl.waiters) > maxQueued {
			maxQueued = len(fl.waiters)
			victim = fl.waiters[len(fl.waiters)-1]
		}
	}
	if victim == nil || maxQueued <= own+1 {
		return false
	}
	sv.remove(victim)
	victim.finish(nil, &Refusal{Cause: ErrOverloaded, RetryAfter: time.Second})
	return true
}

// waitLimit returns the maximum expected wait with which a call is queued: the time to its deadline
// without its run time, and in a standing queue at most a fraction of the run time, because a longer
// queue adds to the latency of every call but not to the throughput.
func (sv *service) waitLimit(cl Call, rs *routeStats, class router.Class, now time.Time) time.Duration {
	limit := cl.Deadline.Sub(now) - time.Duration(rs.mean.Load())
	if !sv.waitingSince.IsZero() && now.Sub(sv.waitingSince) > standingQueueAge {
		sv.limitedUntil = now.Add(overloadHold)
	}
	if now.Before(sv.limitedUntil) {
		limit = min(limit, max(minWaitLimit, time.Duration(standingWaitRuns*float64(sv.meanRunTime(class)))))
	}
	return max(0, limit)
}

func (sv *service) meanRunTime(class router.Class) time.Duration {
	if mean := sv.estimator.mean(class); mean > 0 {
		return mean
	}
	return defaultRunTime
}

// expectedWait estimates the wait of a new call behind the calls that are admitted before it; see
// queue.countAhead. mu is held.
func (sv *service) expectedWait(class router.Class, caller string) time.Duration {
	ahead := sv.queues[class].countAhead(caller)
	capacity := sv.cachedCapacity()
	if capacity == 0 && !sv.waitingSince.IsZero() && time.Since(sv.waitingSince) > standingQueueAge {
		return noCapacityRetry
	}
	slots := capacity - int(sv.running[router.Long].Load())
	if class == router.Long {
		slots = min(maxLongCalls(capacity), max(capacity/4, int(sv.running[router.Long].Load())))
	}
	return time.Duration(ahead) * sv.meanRunTime(class) / time.Duration(max(1, slots))
}

// wait blocks until the call is admitted or refused, its deadline passes, or the context ends.
func (sv *service) wait(ctx context.Context, wt *waiter) (*Admission, error) {
	tm := time.NewTimer(min(sv.fastRunnerWait(), time.Until(wt.deadline)))
	defer tm.Stop()
	select {
	case <-wt.done:
		return wt.admission, wt.err
	case <-tm.C:
		sv.dispatch()
		left := time.Until(wt.deadline)
		if left <= 0 {
			sv.cancel(wt, &Refusal{Cause: ErrExpired, RetryAfter: time.Second})
			return wt.admission, wt.err
		}
		tm.Reset(left)
	case <-ctx.Done():
	}
	select {
	case <-wt.done:
		return wt.admission, wt.err
	case <-tm.C:
		sv.cancel(wt, &Refusal{Cause: ErrExpired, RetryAfter: time.Second})
	case <-ctx.Done():
		sv.cancel(wt, context.Cause(ctx))
	}
	return wt.admission, wt.err
}

// cancel removes a call from its queue unless it was admitted or refused before.
func (sv *service) cancel(wt *waiter, err error) {
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
			sv.addWaiting(-1)
			wt.finish(nil, &Refusal{Cause: err, RetryAfter: time.Second})
		}
	}
}

func (sv *service) remove(wt *waiter) {
	sv.queues[wt.class].remove(wt)
	sv.addWaiting(-1)
}

func (sv *service) addWaiting(delta int64) {
	now := sv.waiting.Add(delta)
	if now == 0 {
		sv.waitingSince = time.Time{}
	}
	sv.src.SetWaiting(sv.name, int(now))
}

func (sv *service) dispatch() {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	sv.dispatchLocked()
}

// dispatchLocked hands free slots to waiting calls. mu is held.
func (sv *service) dispatchLocked() {
	for sv.waiting.Load() > 0 {
		first, second := sv.classOrder()
		if !sv.admitNext(first) && !sv.admitNext(second) {
			return
		}
	}
}

// classOrder returns the order in which the classes get free slots: long calls first while they use
// less than a quarter of the slots, and short calls first otherwise, so that neither class starves.
func (sv *service) classOrder() (first, second router.Class) {
	if int(sv.running[router.Long].Load()) < sv.cachedCapacity()/4 {
		return router.Long, router.Short
	}
	return router.Short, router.Long
}

// fastRunnerWait returns the time for which a short call waits for a fast runner while only slow ones
// have free slots. In a busy service, a slot of a fast runner becomes free much sooner.
func (sv *service) fastRunnerWait() time.Duration {
	return sv.meanRunTime(router.Short) / fastRunnerWaitDivisor
}

// admitNext admits the next queued call of a class and reports whether there was a call and a slot for
// it. Short calls skip slow runners for fastRunnerWait, and as long as long calls can use them.
func (sv *service) admitNext(class router.Class) bool {
	wt := sv.queues[class].peek()
	if wt == nil {
		return false
	}
	avoidSlow := class == router.Short &&
		(sv.queues[router.Long].size > 0 && sv.hasFreeCapacity(router.Long) || time.Since(wt.queuedAt) < sv.fastRunnerWait())
	adm := sv.tryAdmit(wt.route, class, avoidSlow)
	if adm == nil {
		return false
	}
	sv.queues[class].pop()
	sv.addWaiting(-1)
	wt.finish(adm, nil)
	return true
}

// adaptConcurrency lowers the concurrency while calls take much longer than the means of their routes,
// which indicates that the runners are overloaded.
func (sv *service) adaptConcurrency(rs *routeStats, elapsed time.Duration) {
	mean := rs.mean.Load()
	if mean <= 0 {
		return
	}
	sv.concurrencyMu.Lock()
	defer sv.concurrencyMu.Unlock()
	sample := min(maxRatioSample, float64(elapsed)/float64(mean))
	sv.runTimeRatio += ratioWeight * (sample - sv.runTimeRatio)
	now := time.Now()
	if now.Sub(sv.lastAdaptation) < adaptInterval {
		return
	}
	sv.lastAdaptation = now
	step := concurrencyStep
	if sv.runTimeRatio > maxRunTimeRatio {
		step = -concurrencyStep
	}
	percent := float64(sv.concurrencyPercent.Load())/100 + step
	sv.concurrencyPercent.Store(int64(100 * max(minConcurrency, min(1, percent))))
}
