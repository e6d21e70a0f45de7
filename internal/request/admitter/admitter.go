// Package admitter decides which calls wait for a slot, in which order they get one, and which are
// refused at once.
package admitter

import (
	"context"
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/joomcode/errorx"

	"github.com/currantrouter/currantrouter/internal/fleet/modeler"
	"github.com/currantrouter/currantrouter/internal/request/limiter"
	"github.com/currantrouter/currantrouter/internal/request/router"
)

var (
	errs    = errorx.NewNamespace("admitter")
	refused = errs.NewType("refused")

	// ErrOverloaded means that the expected wait exceeds the limit, or that the queue is full.
	ErrOverloaded = refused.New("the service is overloaded")
	// ErrExpired means that the deadline passed while the call waited.
	ErrExpired = refused.New("the deadline passed before a slot was free")
	// ErrUnknownService means that the configuration has no such service.
	ErrUnknownService = refused.New("the service is unknown")
	// ErrStopped means that this host takes no new calls.
	ErrStopped = refused.New("the host is leaving")
)

// Refusal is the error of a call that was not admitted. It wraps one of the sentinel errors.
type Refusal struct {
	Cause error
	// RetryAfter is the expected time until the call would be admitted. It is not negative.
	RetryAfter time.Duration
}

func (rf *Refusal) Error() string { return rf.Cause.Error() }

// Unwrap returns the sentinel error.
func (rf *Refusal) Unwrap() error { return rf.Cause }

// Grant is a slot of a runner.
type Grant struct {
	Target *router.Target
	Slot   *limiter.Slot
}

// Source gives out slots.
type Source interface {
	// Take returns a slot of a runner of the service, and false when none is free. With avoidSlow it
	// passes over slow runners. It does not block.
	Take(svc modeler.ServiceName, cl router.Class, avoidSlow bool) (Grant, bool)
	// Capacity returns the number of calls that may run at once from this host, with loans.
	Capacity(svc modeler.ServiceName) int
	// Want states how many calls wait for a slot.
	Want(svc modeler.ServiceName, waiting int)
}

// Call describes a call that asks for admission.
type Call struct {
	Service modeler.ServiceName
	// Route is the result of RouteOf.
	Route  string
	Caller string
	// Deadline is the latest time for the answer.
	Deadline time.Time
}

// Admitter is safe for concurrent use.
type Admitter struct {
	src      Source
	services atomic.Pointer[map[modeler.ServiceName]*service]
	stopped  atomic.Bool
	mu       sync.Mutex
}

// New returns an admitter that knows no services.
func New(src Source) *Admitter {
	ad := &Admitter{src: src}
	ad.services.Store(&map[modeler.ServiceName]*service{})
	return ad
}

// Apply replaces the services by those of the configuration and keeps what was learned. Calls that
// wait for a removed service are refused.
func (ad *Admitter) Apply(cfg *modeler.Configuration) {
	ad.mu.Lock()
	defer ad.mu.Unlock()
	old := *ad.services.Load()
	svs := make(map[modeler.ServiceName]*service, len(cfg.Services))
	for _, svc := range cfg.Services {
		sv := old[svc.Name]
		if sv == nil {
			sv = newService(svc.Name, ad.src)
		}
		sv.queueLimit.Store(int64(svc.QueueLimit))
		svs[svc.Name] = sv
	}
	ad.services.Store(&svs)
	for name, sv := range old {
		if svs[name] == nil {
			sv.refuseAll(ErrUnknownService)
		}
	}
}

// Stop refuses new calls and those that wait.
func (ad *Admitter) Stop() {
	ad.stopped.Store(true)
	for _, sv := range *ad.services.Load() {
		sv.refuseAll(ErrStopped)
	}
}

// Admit returns a ticket with a slot, after waiting for one if need be. It fails with a *Refusal, or
// with the error of the context when that ends first.
func (ad *Admitter) Admit(ctx context.Context, cl Call) (*Ticket, error) {
	if ad.stopped.Load() {
		return nil, &Refusal{Cause: ErrStopped, RetryAfter: time.Second}
	}
	sv := (*ad.services.Load())[cl.Service]
	if sv == nil {
		return nil, &Refusal{Cause: ErrUnknownService, RetryAfter: time.Second}
	}
	rt := sv.learner.route(cl.Route)
	class := rt.class()
	if sv.waiting.Load() == 0 {
		if tk := sv.tryNow(rt, class, class == router.Short); tk != nil {
			return tk, nil
		}
	}
	wt, err := sv.enqueue(cl, rt, class)
	if err != nil {
		return nil, err
	}
	return sv.wait(ctx, wt)
}

// Freed tells that a slot of a service may have become free.
func (ad *Admitter) Freed(svc modeler.ServiceName) {
	if sv := (*ad.services.Load())[svc]; sv != nil && sv.waiting.Load() > 0 {
		sv.dispatch()
	}
}

// Waiting returns the number of calls of all services that wait.
func (ad *Admitter) Waiting() int {
	var sum int64
	for _, sv := range *ad.services.Load() {
		sum += sv.waiting.Load()
	}
	return int(sum)
}

// ExpectedWait estimates how long a new call of the service would wait; zero when it would not.
func (ad *Admitter) ExpectedWait(cl Call) time.Duration {
	sv := (*ad.services.Load())[cl.Service]
	if sv == nil || sv.waiting.Load() == 0 {
		return 0
	}
	class := sv.learner.route(cl.Route).class()
	sv.mu.Lock()
	defer sv.mu.Unlock()
	return sv.expectedWait(class, cl.Caller)
}

// Capacity returns the number of calls of a service that may run at once from this host. It is a few
// milliseconds old.
func (ad *Admitter) Capacity(svc modeler.ServiceName) int {
	if sv := (*ad.services.Load())[svc]; sv != nil {
		return sv.slots()
	}
	return 0
}

// Expected returns the mean run time of the route of a call; zero means unknown.
func (ad *Admitter) Expected(cl Call) time.Duration {
	sv := (*ad.services.Load())[cl.Service]
	if sv == nil {
		return 0
	}
	return time.Duration(sv.learner.route(cl.Route).mean.Load())
}

// Ticket is an admitted call with its slot.
type Ticket struct {
	Grant
	Class router.Class
	sv    *service
	rt    *route
	once  sync.Once
}

// Done tells that the call has ended after a run time, or was never sent (run time zero). It comes
// before the release of the slot. Only the first Done has an effect.
func (tk *Ticket) Done(elapsed time.Duration) {
	tk.once.Do(func() {
		tk.sv.running[tk.Class].Add(-1)
		if elapsed > 0 {
			tk.sv.learner.observe(tk.rt, tk.Class, elapsed)
			tk.sv.adapt(tk.rt, elapsed)
		}
	})
}

// seconds rounds a duration up to whole seconds, at least one, for Retry-After.
func seconds(dur time.Duration) int { return max(1, int(math.Ceil(dur.Seconds()))) }

// RetryAfterSeconds is the value of the header Retry-After for a refusal.
func (rf *Refusal) RetryAfterSeconds() int { return seconds(rf.RetryAfter) }
