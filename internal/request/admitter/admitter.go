// Package admitter implements admission control: it decides which calls get a slot of a runner, which
// wait for one, in which order, and which are refused at once.
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

	// ErrOverloaded means that the expected wait exceeds its limit, or that the queue is full.
	ErrOverloaded = refused.New("the service is overloaded")
	// ErrExpired means that the deadline passed while the call waited.
	ErrExpired = refused.New("the deadline passed before a slot was free")
	// ErrUnknownService means that the configuration has no such service.
	ErrUnknownService = refused.New("the service is unknown")
	// ErrStopped means that this host drains and accepts no new calls.
	ErrStopped = refused.New("the host is leaving")
)

// Refusal is the error of a call that was not admitted. It wraps one of the sentinel errors.
type Refusal struct {
	Cause error
	// RetryAfter estimates when a retry would be admitted. It is not negative.
	RetryAfter time.Duration
}

func (rf *Refusal) Error() string { return rf.Cause.Error() }

// Unwrap returns the sentinel error.
func (rf *Refusal) Unwrap() error { return rf.Cause }

// Grant is a slot of the runner Target.
type Grant struct {
	Target *router.Target
	Slot   *limiter.Slot
}

// Source provides the slots of runners.
type Source interface {
	// Take returns a slot of a runner of the service, or false when none is free. With avoidSlow it
	// skips slow runners. It does not block.
	Take(svc modeler.ServiceName, cl router.Class, avoidSlow bool) (Grant, bool)
	// Capacity returns the number of calls of the service that this host may run concurrently, including
	// borrowed slots.
	Capacity(svc modeler.ServiceName) int
	// SetWaiting sets the number of calls that wait for a slot.
	SetWaiting(svc modeler.ServiceName, waiting int)
}

// Call describes a call for Admit.
type Call struct {
	Service modeler.ServiceName
	// Route is the result of RouteOf.
	Route  string
	Caller string
	// Deadline is the latest time for the answer.
	Deadline time.Time
}

// Admitter admits, queues or refuses calls. It is safe for concurrent use.
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

// Apply replaces the services by those of the configuration. Remaining services keep their queues and
// run-time estimates. Queued calls of a removed service are refused.
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

// Stop refuses new and queued calls from now on.
func (ad *Admitter) Stop() {
	ad.stopped.Store(true)
	for _, sv := range *ad.services.Load() {
		sv.refuseAll(ErrStopped)
	}
}

// Admit returns a slot for the call, and waits for one if necessary. It fails with a *Refusal, or with
// the cause of the context when that ends first.
func (ad *Admitter) Admit(ctx context.Context, cl Call) (*Admission, error) {
	if ad.stopped.Load() {
		return nil, &Refusal{Cause: ErrStopped, RetryAfter: time.Second}
	}
	sv := (*ad.services.Load())[cl.Service]
	if sv == nil {
		return nil, &Refusal{Cause: ErrUnknownService, RetryAfter: time.Second}
	}
	rs := sv.estimator.route(cl.Route)
	class := rs.class()
	if sv.waiting.Load() == 0 {
		if adm := sv.tryAdmit(rs, class, class == router.Short); adm != nil {
			return adm, nil
		}
	}
	wt, err := sv.enqueue(cl, rs, class)
	if err != nil {
		return nil, err
	}
	return sv.wait(ctx, wt)
}

// NotifySlotFreed must be called when a slot of a service may have become free.
func (ad *Admitter) NotifySlotFreed(svc modeler.ServiceName) {
	if sv := (*ad.services.Load())[svc]; sv != nil && sv.waiting.Load() > 0 {
		sv.dispatch()
	}
}

// Waiting returns the number of queued calls of all services.
func (ad *Admitter) Waiting() int {
	var sum int64
	for _, sv := range *ad.services.Load() {
		sum += sv.waiting.Load()
	}
	return int(sum)
}

// ExpectedWait estimates how long the call would wait for a slot if it were queued now. It is zero when
// no calls of the service wait.
func (ad *Admitter) ExpectedWait(cl Call) time.Duration {
	sv := (*ad.services.Load())[cl.Service]
	if sv == nil || sv.waiting.Load() == 0 {
		return 0
	}
	class := sv.estimator.route(cl.Route).class()
	sv.mu.Lock()
	defer sv.mu.Unlock()
	return sv.expectedWait(class, cl.Caller)
}

// Capacity returns the number of calls of a service that this host may run concurrently. The value is
// up to maxCapacityAge old.
func (ad *Admitter) Capacity(svc modeler.ServiceName) int {
	if sv := (*ad.services.Load())[svc]; sv != nil {
		return sv.cachedCapacity()
	}
	return 0
}

// ExpectedRunTime returns the mean run time of the call's route; zero means unknown.
func (ad *Admitter) ExpectedRunTime(cl Call) time.Duration {
	sv := (*ad.services.Load())[cl.Service]
	if sv == nil {
		return 0
	}
	return time.Duration(sv.estimator.route(cl.Route).mean.Load())
}

// Admission is the slot of an admitted call. The caller must call Done and then release or abandon the
// slot.
type Admission struct {
	Grant
	Class router.Class
	svc   *service
	stats *routeStats
	once  sync.Once
}

// Done records that the call has ended after the given run time, or was never sent (zero). It must be
// called before the slot is released. Only the first Done has an effect.
func (adm *Admission) Done(elapsed time.Duration) {
	adm.once.Do(func() {
		adm.svc.running[adm.Class].Add(-1)
		if elapsed > 0 {
			adm.svc.estimator.observe(adm.stats, adm.Class, elapsed)
			adm.svc.adaptConcurrency(adm.stats, elapsed)
		}
	})
}

// ceilSeconds rounds a duration up to whole seconds, at least one.
func ceilSeconds(dur time.Duration) int { return max(1, int(math.Ceil(dur.Seconds()))) }

// RetryAfterSeconds returns RetryAfter as a value of the header Retry-After: whole seconds, at least one.
func (rf *Refusal) RetryAfterSeconds() int { return ceilSeconds(rf.RetryAfter) }
