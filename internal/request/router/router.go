// Package router picks the runner of a call by load, latency and failure rate. It ejects failing runners
// and probes them until they have recovered. Picking takes no lock: it reads atomics and an immutable
// snapshot, which writers replace.
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
	// maxPairs is the maximum number of random pairs that are compared before the scan.
	maxPairs = 3
	// maxScanned bounds the runners that the scan for a free slot examines, so that the cost of a pick
	// does not grow with the number of runners. A call that finds no slot waits for the next free one.
	maxScanned = 64
	// compareInterval is the time between two calls of UpdateLatencies.
	compareInterval = 200 * time.Millisecond
)

// Class is the expected length of a call.
type Class int

// The classes of calls.
const (
	Short Class = iota
	Long
	numClasses
)

// Account counts this host's slots of a runner.
type Account interface {
	// Free returns the number of calls that could start now.
	Free() int
	// Limit returns the maximum number of concurrent calls.
	Limit() int
}

// Options configure a Router.
type Options struct {
	DataCentre modeler.DataCentreName
	// Account returns the account of a runner, or nil when this host has none.
	Account func(modeler.RunnerName) Account
	Log     logr.Logger
	Meter   *meter.Registry
}

// Router picks runners of this host's data centre. It is safe for concurrent use.
type Router struct {
	op Options
	// snap has the pool of each service.
	snap atomic.Pointer[map[modeler.ServiceName]*pool]

	mu sync.Mutex
	// targets has all runners of this data centre in the newest configuration.
	targets map[modeler.RunnerName]*Target
	// platformDraining has the runners that drain according to the platform.
	platformDraining map[modeler.RunnerName]bool
	// configDraining has the runners that drain according to the configuration.
	configDraining map[modeler.RunnerName]bool
}

// pool holds the runners of a service. Its slices are immutable.
type pool struct {
	// ready lists the runners that get calls.
	ready []*Target
	// ejected lists the ejected runners. When its ejection ends, each gets a single call as a probe.
	ejected []*Target
	// medianLatency is the median over the ready runners by class, in nanoseconds; zero means unknown.
	medianLatency [numClasses]atomic.Int64
}

// New returns a router without runners.
func New(op Options) *Router {
	rt := &Router{op: op, targets: map[modeler.RunnerName]*Target{}}
	rt.snap.Store(&map[modeler.ServiceName]*pool{})
	return rt
}

// Apply replaces the runners by those of this data centre in the configuration. A runner with unchanged
// name, service, endpoint and account keeps its measurements.
func (rt *Router) Apply(cfg *modeler.Configuration) {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	// The first runners are not warmed up because there are no others to take the calls.
	needsWarmUp := len(rt.targets) > 0
	tgs := make(map[modeler.RunnerName]*Target)
	rt.configDraining = map[modeler.RunnerName]bool{}
	for _, rn := range cfg.Runners {
		if rn.Leaving {
			rt.configDraining[rn.Name] = true
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
		tgs[rn.Name] = newTarget(rn, ac, needsWarmUp)
	}
	rt.targets = tgs
	rt.publish()
}

// SetDraining sets the runners that drain according to the platform and get no new calls.
func (rt *Router) SetDraining(names []modeler.RunnerName) {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	rt.platformDraining = make(map[modeler.RunnerName]bool, len(names))
	for _, name := range names {
		rt.platformDraining[name] = true
	}
	rt.publish()
}

// IsDraining reports whether a runner drains according to the platform or the configuration, and so gets
// no new calls.
func (rt *Router) IsDraining(name modeler.RunnerName) bool {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	return rt.platformDraining[name] || rt.configDraining[name]
}

// publish builds the snapshot from the targets. mu is held.
func (rt *Router) publish() {
	snap := make(map[modeler.ServiceName]*pool)
	for _, tg := range rt.targets {
		if rt.platformDraining[tg.Name] || rt.configDraining[tg.Name] {
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
			for cl := range pl.medianLatency {
				pl.medianLatency[cl].Store(old.medianLatency[cl].Load())
			}
		}
	}
	rt.snap.Store(&snap)
}

// Target returns a runner of this data centre, or nil when there is none of that name.
func (rt *Router) Target(name modeler.RunnerName) *Target {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	return rt.targets[name]
}

// Targets lists the runners of a service in this data centre that are not draining.
func (rt *Router) Targets(svc modeler.ServiceName) []*Target {
	pl := (*rt.snap.Load())[svc]
	if pl == nil {
		return nil
	}
	return slices.Concat(pl.ready, pl.ejected)
}

// Capacity returns the number of calls of a service that this host may run concurrently on runners that
// are not ejected, including borrowed slots.
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

// Pick returns a runner with a free slot, or false when it finds none. With avoidSlow it skips runners
// that are much slower than the others. It does not take the slot: the caller does, and picks again when
// a concurrent call took it first.
func (rt *Router) Pick(svc modeler.ServiceName, cl Class, avoidSlow bool) (*Target, bool) {
	pl := (*rt.snap.Load())[svc]
	if pl == nil {
		return nil, false
	}
	if len(pl.ejected) > 0 {
		if tg := pl.pickProbe(); tg != nil {
			return tg, true
		}
	}
	if tg := pl.pickCheaper(cl, avoidSlow); tg != nil {
		return tg, true
	}
	tg := pl.pickFree(avoidSlow)
	return tg, tg != nil
}

// pickProbe returns an ejected runner whose ejection has ended and that no other call probes, or nil.
func (pl *pool) pickProbe() *Target {
	now := time.Now().UnixNano()
	for _, tg := range pl.ejected {
		if tg.mayProbe(now) {
			return tg
		}
	}
	return nil
}

// pickCheaper returns the cheaper of two random runners. It returns nil when it finds none with a free
// slot in maxPairs pairs.
func (pl *pool) pickCheaper(cl Class, avoidSlow bool) *Target {
	count := uint64(len(pl.ready))
	if count == 0 {
		return nil
	}
	median := float64(pl.medianLatency[cl].Load())
	for range maxPairs {
		rnd := rand.Uint64()
		first := (rnd >> 32) * count >> 32
		second := (rnd & 0xffffffff) * count >> 32
		if first == second {
			second = (second + 1) % count
		}
		tga, tgb := pl.ready[first], pl.ready[second]
		costA, okA := tga.cost(cl, median, avoidSlow)
		costB, okB := tgb.cost(cl, median, avoidSlow)
		if okA && (!okB || costA <= costB) {
			return tga
		}
		if okB {
			return tgb
		}
	}
	return nil
}

// pickFree returns the first runner with a free slot, starting at a random one, or nil.
func (pl *pool) pickFree(avoidSlow bool) *Target {
	count := len(pl.ready)
	if count == 0 {
		return nil
	}
	from := rand.IntN(count)
	for ix := range min(count, maxScanned) {
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

// Run calls UpdateLatencies at regular intervals until the context ends.
func (rt *Router) Run(ctx context.Context) {
	pauser.Every(ctx, compareInterval, func(context.Context) { rt.UpdateLatencies() })
}

// UpdateLatencies updates the median latencies, decays old latencies and updates which runners are slow.
func (rt *Router) UpdateLatencies() {
	now := time.Now().UnixNano()
	for _, pl := range *rt.snap.Load() {
		for cl := range numClasses {
			pl.medianLatency[cl].Store(pl.median(cl))
		}
		for _, tg := range pl.ready {
			tg.decayLatency(now)
			tg.updateSlow(pl.medianLatency[Short].Load())
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
