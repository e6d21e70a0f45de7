// Package retrier limits repeated and hedged calls, so that retries cannot multiply the load of
// runners that are already failing.
package retrier

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/currantrouter/currantrouter/internal/fleet/modeler"
)

const (
	// tokensPerFresh and tokensPerRetry set the budget to 10% of fresh calls.
	tokensPerFresh = 1
	tokensPerRetry = 10
	// burst allows a few retries at low traffic, where 10% of fresh calls is less than one.
	burst = 10 * tokensPerRetry
	// maxHops is the greatest number of entry hosts that a call may be passed on to.
	maxHops = 1
)

// Retrier keeps one budget for each service. It is safe for concurrent use.
type Retrier struct {
	// budgets maps modeler.ServiceName to *atomic.Int64, the tokens left. A value is never negative
	// and never above burst.
	budgets sync.Map
}

// New returns a retrier with full budgets.
func New() *Retrier { return &Retrier{} }

// Fresh counts a call that is no retry.
func (rt *Retrier) Fresh(svc modeler.ServiceName) {
	bg := rt.budget(svc)
	for {
		old := bg.Load()
		if old >= burst || bg.CompareAndSwap(old, min(burst, old+tokensPerFresh)) {
			return
		}
	}
}

// Allow takes one retry from the budget. It refuses when the budget is spent or when the deadline
// leaves less than the expected time of a call.
func (rt *Retrier) Allow(svc modeler.ServiceName, deadline time.Time, expected time.Duration) bool {
	if time.Until(deadline) <= expected {
		return false
	}
	bg := rt.budget(svc)
	for {
		old := bg.Load()
		if old < tokensPerRetry {
			return false
		}
		if bg.CompareAndSwap(old, old-tokensPerRetry) {
			return true
		}
	}
}

// MayHop tells whether a call that has passed hops entry hosts may be passed on once more.
func MayHop(hops int) bool { return hops < maxHops }

func (rt *Retrier) budget(svc modeler.ServiceName) *atomic.Int64 {
	if bg, ok := rt.budgets.Load(svc); ok {
		return bg.(*atomic.Int64)
	}
	fresh := new(atomic.Int64)
	fresh.Store(burst)
	bg, _ := rt.budgets.LoadOrStore(svc, fresh)
	return bg.(*atomic.Int64)
}
