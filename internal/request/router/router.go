// Package router chooses the runner of a call. The choice reads an immutable snapshot and atomics
// only; writers replace the snapshot.
package router

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"github.com/currantrouter/currantrouter/internal/fleet/modeler"
	"github.com/currantrouter/currantrouter/internal/process/pauser"
	"github.com/currantrouter/currantrouter/internal/telemetry/meter"
)

const (
	// pairs is the number of random pairs that are compared before the scan.
	pairs = 3
	// scanLimit bounds the scan for a free slot, so that the choice does not grow with the number of
	// runners. A call that finds none waits for the next slot that becomes free.
	scanLimit = 64
	// tick is the interval of the writer that compares runners and lets old latencies fade.
	tick = 200 * time.Millisecond
)

// Class is the learned length of a call.
type Class int

// The classes of calls.
const (
	Short Class = iota
	Long
	classes
)

// Account tells how many calls this host could start on a runner now, and how many at most.
type Account interface {
	Free() int
	Limit() int
}

// Options are the fixed inputs of a router.
type Options struct {
	DataCentre modeler.DataCentreName
	// Account returns the account of a runner, and nil when this host has none.
	Account func(modeler.RunnerName) Account
	Log     logr.Logger
	Meter   *meter.Registry
}

// Router is safe for concurrent use.
type Router struct {
	op   Options
	snap atomic.Pointer[map[modeler.ServiceName]*pool]

	mu sync.Mutex
	// targets has every runner of the own data centre in the newest configuration.
	targets map[modeler.RunnerName]*Target
	// leaving has the runners that the platform's list reports as leaving, and drained those that
	// the configuration marks.
	leaving, drained map[modeler.RunnerName]bool
}

// pool is the immutable list of runners of a service.
type pool struct {
	// ready get calls; the slice does not change.
	ready []*Target
	// ejected get one call each when their time is over.
	ejected []*Target
	// typical is the median latency of the ready runners by class, in nanoseconds; zero means
	// unknown.
	typical [classes]atomic.Int64
}

// New returns a router without runners.
func New(op Options) *Router {
	rt := &Router{op: op, targets: map[modeler.RunnerName]*Target{}}
	rt.snap.Store(&map[modeler.ServiceName]*pool{})
	return rt
}

// Apply replaces the runners by those of the own data centre in the configuration. What is known of
// a runner with the same name and endpoint is kept.
func (rt *Router) Apply(cfg *modeler.Configuration) {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	// The first runners of a deployment are not warmed up: there are no others to take the calls.
	fresh := len(rt.targets) > 0
	tgs := make(map[modeler.RunnerName]*Target)
	rt.drained = map[modeler.RunnerName]bool{}
	for _, rn := range cfg.Runners {
		if rn.Leaving {
			rt.drained[rn.Name] = true
		}
		ac := rt.op.Account(rn.Name)
		if rn.DataCentre != rt.op.DataCentre || ac == nil {
			continue
		}
		old := rt.targets[rn.Name]
		if old != nil && old.Endpoint == rn.Endpoint && old.Service == rn.Service && old.account == ac {
			tgs[rn.Name] = old
			continue
		}
		tgs[rn.Name] = newTarget(rn, ac, fresh)
	}
	rt.targets = tgs
	rt.publish()
}

// SetLeaving names the runners that get no new calls.
func (rt *Router) SetLeaving(names []modeler.RunnerName) {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	rt.leaving = make(map[modeler.RunnerName]bool, len(names))
	for _, name := range names {
		rt.leaving[name] = true
	}
	rt.publish()
}

// Leaving tells whether a runner gets no new calls because the platform's list or the configuration
// says so.
func (rt *Router) Leaving(name modeler.RunnerName) bool {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	return rt.leaving[name] || rt.drained[name]
}

// publish builds the snapshot from the targets. mu is held.
func (rt *Router) publish() {
	snap := make(map[modeler.ServiceName]*pool)
	for _, tg := range rt.targets {
		if rt.leaving[tg.Name] || rt.drained[tg.Name] {
			continue
		}
		pl := snap[tg.Service]
		if pl == nil {
			pl = &pool{}
			snap[tg.Service] = pl
		}
		if tg.isEjected() {
			pl.ejected = append(pl.ejected, tg)
		} else {
			pl.ready = append(pl.ready, tg)
		}
	}
	for svc, pl := range snap {
		if old := (*rt.snap.Load())[svc]; old != nil {
			for cl := range pl.typical {
				pl.typical[cl].Store(old.typical[cl].Load())
			}
		}
	}
	rt.snap.Store(&snap)
}

// Target returns a runner of the own data centre, and nil when there is none of that name.
func (rt *Router) Target(name modeler.RunnerName) *Target {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	return rt.targets[name]
}

// Targets lists the runners of a service in the own data centre that are not leaving.
func (rt *Router) Targets(svc modeler.ServiceName) []*Target {
	pl := (*rt.snap.Load())[svc]
	if pl == nil {
		return nil
	}
	return slices.Concat(pl.ready, pl.ejected)
}

// Capacity returns the number of calls of a service that may run at once from this host, with
// loans.
func (rt *Router) Capacity(svc modeler.ServiceName) int {
	pl := (*rt.snap.Load())[svc]
	if pl == nil {
		return 0
	}
	var sum int
	for _, tg := range pl.ready {
		sum += tg.account.Limit()
	}
	return sum
}

// Pick chooses a runner with a free slot, and returns false when it finds none. With avoidSlow it
// passes over runners that are much slower than the others. It does not take the slot; the caller
// picks again when another call was faster.
func (rt *Router) Pick(svc modeler.ServiceName, cl Class, avoidSlow bool) (*Target, bool) {
	pl := (*rt.snap.Load())[svc]
	if pl == nil {
		return nil, false
	}
	if len(pl.ejected) > 0 {
		if tg := pl.probe(); tg != nil {
			return tg, true
		}
	}
	if tg := pl.compare(cl, avoidSlow); tg != nil {
		return tg, true
	}
	tg := pl.scan(avoidSlow)
	return tg, tg != nil
}

// probe chooses an ejected runner whose time is over and that no other call probes.
func (pl *pool) probe() *Target {
	now := time.Now().UnixNano()
	for _, tg := range pl.ejected {
		if tg.mayProbe(now) {
			return tg
		}
	}
	return nil
}

// compare takes the cheaper of two random runners.
func (pl *pool) compare(cl Class, avoidSlow bool) *Target {
	count := uint64(len(pl.ready))
	if count == 0 {
		return nil
	}
	typical := float64(pl.typical[cl].Load())
	for range pairs {
		rnd := rand.Uint64()
		first := (rnd >> 32) * count >> 32
		second := (rnd & 0xffffffff) * count >> 32
		if first == second {
			second = (second + 1) % count
		}
		tga, tgb := pl.ready[first], pl.ready[second]
		costA, okA := tga.cost(cl, typical, avoidSlow)
		costB, okB := tgb.cost(cl, typical, avoidSlow)
		if okA && (!okB || costA <= costB) {
			return tga
		}
		if okB {
			return tgb
		}
	}
	return nil
}

// scan looks for any free slot from a random runner on.
func (pl *pool) scan(avoidSlow bool) *Target {
	count := len(pl.ready)
	if count == 0 {
		return nil
	}
	from := rand.IntN(count)
	for ix := range min(count, scanLimit) {
		tg := pl.ready[(from+ix)%count]
		if avoidSlow && tg.slow.Load() {
			continue
		}
		if tg.account.Free() > 0 {
			return tg
		}
	}
	return nil
}

// Run compares the runners and lets old latencies fade until the context ends.
func (rt *Router) Run(ctx context.Context) {
	pauser.Every(ctx, tick, func(context.Context) { rt.Compare() })
}

// Compare brings the typical latencies and the marks of slow runners up to date.
func (rt *Router) Compare() {
	now := time.Now().UnixNano()
	for _, pl := range *rt.snap.Load() {
		for cl := range classes {
			pl.typical[cl].Store(pl.median(cl))
		}
		for _, tg := range pl.ready {
			tg.fade(now)
			tg.markSlow(pl.typical[Short].Load())
		}
	}
}

func (pl *pool) median(cl Class) int64 {
	var all []int64
	for _, tg := range pl.ready {
		if lt := tg.latency[cl].Load(); lt > 0 {
			all = append(all, lt)
		}
	}
	if len(all) == 0 {
		return 0
	}
	slices.Sort(all)
	return all[len(all)/2]
}
