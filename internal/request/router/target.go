package router

import (
	"math"
	"math/rand/v2"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/currantrouter/currantrouter/internal/fleet/modeler"
	"github.com/currantrouter/currantrouter/internal/telemetry/logger"
	"github.com/currantrouter/currantrouter/internal/telemetry/meter"
)

const (
	// latencyMemory is the time constant with which a latency falls to lower samples.
	latencyMemory = 5 * time.Second
	// rise is the part of the difference by which a higher sample raises the latency at once.
	rise = 0.5
	// failureWeight is the part of the newest call in the failure rate.
	failureWeight = 0.1
	// failureCost makes a runner with a failure rate of 1 as costly as one that is 50 times slower.
	failureCost = 49
	// ejectAfter failures in a row eject a runner, or a failure rate above ejectRate.
	ejectAfter = 5
	ejectRate  = 0.5
	// The time of ejection doubles from minEjection to maxEjection, and starts again after
	// ejectionMemory without an ejection.
	minEjection    = time.Second
	maxEjection    = time.Minute
	ejectionMemory = 2 * time.Minute
	// probeTimeout lets another call probe when the first one has no result.
	probeTimeout = 30 * time.Second
	// warmUp is the time in which a new or readmitted runner gets a growing part of the calls;
	// coldPart of them pass it over at first.
	warmUp   = 10 * time.Second
	coldPart = 0.9
	// slowFactor against the median latency marks a runner as slow; it loses the mark below
	// fastFactor.
	slowFactor = 2.5
	fastFactor = 1.8
)

// Target is a runner with what this host has measured of it.
type Target struct {
	Name     modeler.RunnerName
	Service  modeler.ServiceName
	Endpoint netip.AddrPort
	account  Account

	// latency is the moving average by class in nanoseconds; zero means unknown.
	latency [classes]atomic.Int64
	// sampled is the time of the last sample in Unix nanoseconds.
	sampled atomic.Int64
	// failures is the moving failure rate as the bits of a float64 from 0 to 1.
	failures atomic.Uint64
	// row counts the failures since the last success.
	row atomic.Int64
	// warmFrom is the start of the warm-up in Unix nanoseconds; zero when it is over.
	warmFrom atomic.Int64
	slow     atomic.Bool
	// ejectedUntil is in Unix nanoseconds; zero means that the runner is not ejected. It is written
	// under the router's mu.
	ejectedUntil atomic.Int64
	// probedAt is the start of the running probe in Unix nanoseconds; zero means none.
	probedAt atomic.Int64

	// ejections counts the ejections in a row, and ejectedAt is the last one; guarded by the
	// router's mu.
	ejections int
	ejectedAt time.Time
}

func newTarget(rn modeler.Runner, ac Account, warm bool) *Target {
	tg := &Target{Name: rn.Name, Service: rn.Service, Endpoint: rn.Endpoint, account: ac}
	if warm {
		tg.warmFrom.Store(time.Now().UnixNano())
	}
	return tg
}

// Account returns the account that the router was given for the runner.
func (tg *Target) Account() Account { return tg.account }

// Slow tells whether the runner is much slower than the others of its service.
func (tg *Target) Slow() bool { return tg.slow.Load() }

// Latency returns the moving average of a class; zero means unknown.
func (tg *Target) Latency(cl Class) time.Duration { return time.Duration(tg.latency[cl].Load()) }

func (tg *Target) isEjected() bool { return tg.ejectedUntil.Load() != 0 }

// cost estimates how bad the choice of the runner is; false means that it has no free slot.
func (tg *Target) cost(cl Class, typical float64, avoidSlow bool) (float64, bool) {
	if avoidSlow && tg.slow.Load() {
		return 0, false
	}
	free := tg.account.Free()
	if free <= 0 {
		return 0, false
	}
	lat := float64(tg.latency[cl].Load())
	if lat == 0 {
		lat = max(typical, 1)
	}
	cost := lat * (1 + failureCost*tg.failureRate())
	if from := tg.warmFrom.Load(); from != 0 && tg.isCold(from) {
		return 0, false
	}
	return cost * float64(tg.account.Limit()) / float64(free), true
}

// isCold passes over a runner that warms up at random, less and less often. A higher cost would keep
// all calls away as long as the others have free slots.
func (tg *Target) isCold(from int64) bool {
	age := float64(time.Now().UnixNano()-from) / float64(warmUp)
	if age >= 1 {
		tg.warmFrom.CompareAndSwap(from, 0)
		return false
	}
	return rand.Float64() < coldPart*(1-age)
}

func (tg *Target) failureRate() float64 { return math.Float64frombits(tg.failures.Load()) }

func (tg *Target) mayProbe(now int64) bool {
	until := tg.ejectedUntil.Load()
	if until == 0 || now < until || tg.account.Free() <= 0 {
		return false
	}
	at := tg.probedAt.Load()
	if at != 0 && now-at < int64(probeTimeout) {
		return false
	}
	return tg.probedAt.CompareAndSwap(at, now)
}

// CancelProbe lets another call probe the runner at once, because the chosen call was not sent.
func (tg *Target) CancelProbe() { tg.probedAt.Store(0) }

// Observe records the end of a call that was sent to a runner. A failure is a connection error, a
// lost answer or an answer that blames the server. It counts as no faster than the calls before,
// so a runner that fails fast does not look fast.
func (rt *Router) Observe(tg *Target, cl Class, elapsed time.Duration, failed bool) {
	now := time.Now().UnixNano()
	began := now - int64(elapsed)
	known := tg.Latency(cl)
	if failed {
		elapsed = max(elapsed, known)
	}
	if !failed || known > 0 {
		tg.sample(cl, int64(elapsed), now)
	}
	rate := tg.countFailure(failed)
	if tg.isEjected() {
		rt.endProbe(tg, began, failed)
		return
	}
	if !failed {
		tg.row.Store(0)
		return
	}
	row := tg.row.Add(1)
	if row >= ejectAfter || row > 1 && rate > ejectRate {
		rt.eject(tg)
	}
}

func (tg *Target) sample(cl Class, elapsed, now int64) {
	last := tg.sampled.Swap(now)
	for {
		old := tg.latency[cl].Load()
		next := elapsed
		switch {
		case old == 0:
		case elapsed > old:
			next = old + int64(rise*float64(elapsed-old))
		default:
			// A burst of samples must lower it too, so each one weighs at least a fiftieth.
			part := max(0.02, 1-math.Exp(-float64(now-last)/float64(latencyMemory)))
			next = old - int64(part*float64(old-elapsed))
		}
		if tg.latency[cl].CompareAndSwap(old, max(next, 1)) {
			return
		}
	}
}

func (tg *Target) countFailure(failed bool) float64 {
	var now float64
	if failed {
		now = 1
	}
	for {
		old := tg.failures.Load()
		rate := math.Float64frombits(old)
		rate += failureWeight * (now - rate)
		if rate < 0.001 {
			rate = 0
		}
		if tg.failures.CompareAndSwap(old, math.Float64bits(rate)) {
			return rate
		}
	}
}

// fade lowers the latency of a runner without recent calls, so that it is tried again.
func (tg *Target) fade(now int64) {
	if now-tg.sampled.Load() < int64(latencyMemory) {
		return
	}
	for cl := range classes {
		if old := tg.latency[cl].Load(); old > 1 {
			tg.latency[cl].CompareAndSwap(old, old-old/32)
		}
	}
}

func (tg *Target) markSlow(typical int64) {
	lat := float64(tg.latency[Short].Load())
	switch {
	case typical == 0 || lat == 0 || lat < fastFactor*float64(typical):
		tg.slow.Store(false)
	case lat > slowFactor*float64(typical):
		tg.slow.Store(true)
	}
}

// eject takes a runner out for a growing time, unless half of the service is out already.
func (rt *Router) eject(tg *Target) {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	if tg.isEjected() || rt.targets[tg.Name] != tg || !rt.mayEject(tg.Service) {
		return
	}
	if time.Since(tg.ejectedAt) > ejectionMemory {
		tg.ejections = 0
	}
	rt.extend(tg)
	rt.op.Meter.Add(meter.RunnersEjected, 1)
	rt.publish()
}

func (rt *Router) mayEject(svc modeler.ServiceName) bool {
	pl := (*rt.snap.Load())[svc]
	return pl != nil && 2*(len(pl.ejected)+1) <= len(pl.ready)+len(pl.ejected)
}

func (rt *Router) extend(tg *Target) {
	term := min(maxEjection, minEjection<<min(tg.ejections, 10))
	tg.ejections++
	tg.ejectedAt = time.Now()
	tg.ejectedUntil.Store(tg.ejectedAt.Add(term).UnixNano())
	tg.probedAt.Store(0)
	logger.Log(rt.op.Log, logger.RunnerEjected, "Runner", tg.Name, "For", term.String())
}

// endProbe readmits the runner or ejects it for longer. Calls that began before the ejection decide
// nothing.
func (rt *Router) endProbe(tg *Target, began int64, failed bool) {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	if at := tg.probedAt.Load(); at == 0 || began < at || rt.targets[tg.Name] != tg {
		return
	}
	if failed {
		rt.extend(tg)
		return
	}
	tg.ejectedUntil.Store(0)
	tg.probedAt.Store(0)
	tg.row.Store(0)
	tg.failures.Store(0)
	tg.warmFrom.Store(time.Now().UnixNano())
	logger.Log(rt.op.Log, logger.RunnerReadmitted, "Runner", tg.Name)
	rt.publish()
}
