// Package retrier limits retries to a fraction of the calls, so that they cannot multiply the load of
// runners that are already failing.
package retrier

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/currantrouter/currantrouter/internal/fleet/modeler"
)

const (
	// tokensPerCall is what each call adds to the budget. With tokensPerRetry it bounds retries to 10% of
	// the calls.
	tokensPerCall = 1
	// tokensPerRetry is what each retry takes from the budget.
	tokensPerRetry = 10
	// maxTokens bounds the budget. It allows a few retries at low traffic, where 10% of the calls are
	// less than one.
	maxTokens = 10 * tokensPerRetry
	// maxHops bounds how often a call may be forwarded from one entry host to another.
	maxHops = 1
)

// Retrier holds a retry budget (a token bucket) for each service. It is safe for concurrent use.
type Retrier struct {
	// budgets maps modeler.ServiceName to *atomic.Int64, the available tokens: from 0 to maxTokens.
	budgets sync.Map
}

// New returns a retrier with full budgets.
func New() *Retrier { return &Retrier{} }

// CountCall adds a call that is not a retry to the budget.
func (rt *Retrier) CountCall(svc modeler.ServiceName) {
	bg := rt.budget(svc)
	for {
		old := bg.Load()
		if old >= maxTokens || bg.CompareAndSwap(old, min(maxTokens, old+tokensPerCall)) {
			return
		}
	}
}

// AllowRetry takes one retry from the budget. It returns false when the budget is exhausted, or when the
// time to the deadline does not exceed the expected run time.
func (rt *Retrier) AllowRetry(svc modeler.ServiceName, deadline time.Time, expected time.Duration) bool {
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

// MayHop reports whether a call that was forwarded hops times may be forwarded again.
func MayHop(hops int) bool { return hops < maxHops }

func (rt *Retrier) budget(svc modeler.ServiceName) *atomic.Int64 {
	if bg, ok := rt.budgets.Load(svc); ok {
		return bg.(*atomic.Int64)
	}
	fresh := new(atomic.Int64)
	fresh.Store(maxTokens)
	bg, _ := rt.budgets.LoadOrStore(svc, fresh)
	return bg.(*atomic.Int64)
}
