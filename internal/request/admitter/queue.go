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
	route    *route
	deadline time.Time
	queued   time.Time
	// cost is the expected run time in nanoseconds; it is positive.
	cost int64
	// decided is guarded by the service's mu. ticket and err are final once done is closed.
	decided bool
	ticket  *Ticket
	err     error
	done    chan struct{}
}

func (wt *waiter) finish(tk *Ticket, err error) {
	wt.decided = true
	wt.ticket, wt.err = tk, err
	close(wt.done)
}

// flow is the queue of one caller.
type flow struct {
	caller string
	// waiters is never empty, the oldest first.
	waiters []*waiter
	// deficit is the run time that the caller may still use in this turn, in nanoseconds.
	deficit int64
}

// queue serves callers by deficit round robin: each turn gives a caller the same run time, so a
// caller with many or with long calls gets no more than others.
type queue struct {
	// flows lists the callers with waiting calls; the first one has its turn.
	flows []*flow
	// size is the number of waiters of all flows.
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

func (qu *queue) longest() *flow {
	var most *flow
	for _, fl := range qu.flows {
		if most == nil || len(fl.waiters) > len(most.waiters) {
			most = fl
		}
	}
	return most
}

// ahead counts the waiters that are served before a new one of the caller.
func (qu *queue) ahead(caller string) int {
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

// peek returns the waiter that pop will return, and nil when the queue is empty.
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

// quantum is the highest cost at the heads, so that every turn serves at least one call.
func (qu *queue) quantum() int64 {
	var most int64
	for _, fl := range qu.flows {
		most = max(most, fl.waiters[0].cost)
	}
	return most
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
		// An idle caller saves up nothing.
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
