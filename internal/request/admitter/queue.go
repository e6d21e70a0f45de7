package admitter

import (
	"slices"
	"time"

	"github.com/currantrouter/currantrouter/internal/request/router"
)

// waiter is a queued call.
type waiter struct {
	caller   string
	class    router.Class
	route    *routeStats
	deadline time.Time
	queuedAt time.Time
	// cost is the expected run time in nanoseconds. It is positive.
	cost int64
	// decided states that the call was admitted, refused or cancelled. It is guarded by the service's mu.
	// admission and err are final once done is closed.
	decided   bool
	admission *Admission
	err       error
	done      chan struct{}
}

func (wt *waiter) finish(adm *Admission, err error) {
	wt.decided = true
	wt.admission, wt.err = adm, err
	close(wt.done)
}

// flow is the queue of one caller.
type flow struct {
	caller string
	// waiters holds the caller's queued calls, oldest first. It is never empty.
	waiters []*waiter
	// deficit is the run time that the caller's calls may still use in this turn, in nanoseconds.
	deficit int64
}

// queue orders calls by deficit round robin over their callers: each turn gives a caller the same run
// time, so that a caller with many or long calls gets no larger share than others.
type queue struct {
	// flows lists the callers with queued calls. The first one has its turn.
	flows []*flow
	// size is the number of queued calls of all flows.
	size int
}

func (qu *queue) find(caller string) *flow {
	for _, fl := range qu.flows {
		if fl.caller == caller {
			return fl
		}
	}
	return nil
}

func (qu *queue) count(caller string) int {
	if fl := qu.find(caller); fl != nil {
		return len(fl.waiters)
	}
	return 0
}

// longest returns the flow with the most queued calls, or nil when the queue is empty.
func (qu *queue) longest() *flow {
	var out *flow
	for _, fl := range qu.flows {
		if out == nil || len(fl.waiters) > len(out.waiters) {
			out = fl
		}
	}
	return out
}

// countAhead estimates how many queued calls would be admitted before a new call of the caller: those
// of the caller, and of each other caller at most one more than that.
func (qu *queue) countAhead(caller string) int {
	own := qu.count(caller)
	var sum int
	for _, fl := range qu.flows {
		sum += min(len(fl.waiters), own+1)
	}
	return sum
}

func (qu *queue) push(wt *waiter) {
	fl := qu.find(wt.caller)
	if fl == nil {
		fl = &flow{caller: wt.caller}
		qu.flows = append(qu.flows, fl)
	}
	fl.waiters = append(fl.waiters, wt)
	qu.size++
}

// peek returns the call that pop would return, or nil when the queue is empty.
func (qu *queue) peek() *waiter {
	if qu.size == 0 {
		return nil
	}
	quantum := qu.quantum()
	for {
		fl := qu.flows[0]
		if fl.deficit >= fl.waiters[0].cost {
			return fl.waiters[0]
		}
		fl.deficit += quantum
		if fl.deficit >= fl.waiters[0].cost {
			return fl.waiters[0]
		}
		qu.flows = append(qu.flows[1:], fl)
	}
}

// quantum returns the run time that each turn adds to a flow: the maximum cost of the flows' first
// calls, so that every turn admits at least one call.
func (qu *queue) quantum() int64 {
	var maxCost int64
	for _, fl := range qu.flows {
		maxCost = max(maxCost, fl.waiters[0].cost)
	}
	return maxCost
}

func (qu *queue) pop() *waiter {
	wt := qu.peek()
	if wt == nil {
		return nil
	}
	fl := qu.flows[0]
	fl.deficit -= wt.cost
	fl.waiters = fl.waiters[1:]
	qu.size--
	switch {
	case len(fl.waiters) == 0:
		// The deficit is dropped with the flow: an idle caller must not accumulate run time.
		qu.flows = qu.flows[1:]
	case fl.deficit < fl.waiters[0].cost:
		qu.flows = append(qu.flows[1:], fl)
	}
	return wt
}

func (qu *queue) remove(wt *waiter) {
	fl := qu.find(wt.caller)
	if fl == nil {
		return
	}
	before := len(fl.waiters)
	fl.waiters = slices.DeleteFunc(fl.waiters, func(other *waiter) bool { return other == wt })
	qu.size -= before - len(fl.waiters)
	if len(fl.waiters) == 0 {
		qu.flows = slices.DeleteFunc(qu.flows, func(other *flow) bool { return other == fl })
	}
}
