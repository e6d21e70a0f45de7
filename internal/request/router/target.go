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
	// latencyTimeConstant is the time constant with which a latency decreases towards lower samples.
	latencyTimeConstant = 5 * time.Second
	// riseWeight is the weight of a sample that is higher than the latency.
	riseWeight = 0.5
	// failureWeight is the weight of the newest call in the failure rate.
	failureWeight = 0.1
	// failureCost gives a runner with a failure rate of 1 the cost of one that is 50 times slower.
	failureCost = 49
	// ejectFailureCount is the number of consecutive failures after which a runner is ejected.
	ejectFailureCount = 5
	// ejectFailureRate is the failure rate above which two consecutive failures eject a runner.
	ejectFailureRate = 0.5
	// minEjection is the duration of the first ejection. It doubles with each further one.
	minEjection = time.Second
	// maxEjection bounds the duration of an ejection.
	maxEjection = time.Minute
	// ejectionResetTime is the time without an ejection after which the duration starts again at
	// minEjection.
	ejectionResetTime = 2 * time.Minute
	// probeTimeout is the time after which another call may probe because the last probe had no result.
	probeTimeout = 30 * time.Second
	// warmUpTime is the time in which a new or readmitted runner gets an increasing share of the calls.
	warmUpTime = 10 * time.Second
	// initialSkipRate is the share of the calls that skip a runner at the start of its warm-up.
	initialSkipRate = 0.9
	// slowFactor is the multiple of the median latency above which a runner becomes slow.
	slowFactor = 2.5
	// slowResetFactor is the multiple of the median latency below which a runner is no longer slow.
	slowResetFactor = 1.8
)

// Target is a runner with this host's measurements of it.
type Target struct {
	Name     modeler.RunnerName
	Service  modeler.ServiceName
	Endpoint netip.AddrPort
	account  Account

	// latency is the moving average by class, in nanoseconds; zero means unknown.
	latency [numClasses]atomic.Int64
	// lastSample is the time of the last latency sample, in Unix nanoseconds.
	lastSample atomic.Int64
	// failureRateBits holds the moving failure rate, from 0 to 1, as the bits of a float64.
	failureRateBits atomic.Uint64
	// consecutiveFailures counts the failures since the last success.
	consecutiveFailures atomic.Int64
	// warmUpStart is the start of the warm-up in Unix nanoseconds; zero when it has ended.
	warmUpStart atomic.Int64
	slow        atomic.Bool
	// ejectedUntil is the end of the ejection in Unix nanoseconds, after which the runner is probed; zero
	// means that the runner is not ejected. It is written under the router's mu.
	ejectedUntil atomic.Int64
	// probedAt is the start of the probe in flight, in Unix nanoseconds; zero means none.
	probedAt atomic.Int64

	// ejections counts the ejections since the last ejectionResetTime without one. It is guarded by the
	// router's mu.
	ejections int
	// ejectedAt is the time of the last ejection. It is guarded by the router's mu.
	ejectedAt time.Time
}

func newTarget(rn modeler.Runner, ac Account, warm bool) *Target {
	tg := &Target{Name: rn.Name, Service: rn.Service, Endpoint: rn.Endpoint, account: ac}
	if warm {
		tg.warmUpStart.Store(time.Now().UnixNano())
	}
	return tg
}

// Account returns the runner's account from Options.Account.
func (tg *Target) Account() Account { return tg.account }

// IsSlow reports whether the runner is much slower than the others of its service.
func (tg *Target) IsSlow() bool { return tg.slow.Load() }

// Latency returns the moving average latency of a class; zero means unknown.
func (tg *Target) Latency(cl Class) time.Duration { return time.Duration(tg.latency[cl].Load()) }

func (tg *Target) isEjected() bool { return tg.ejectedUntil.Load() != 0 }

// cost returns the cost of picking the runner: its latency, raised by its failure rate and by the share
// of its slots in use. It returns false when the runner has no free slot or is skipped.
func (tg *Target) cost(cl Class, median float64, avoidSlow bool) (float64, bool) {
	if avoidSlow && tg.slow.Load() {
		return 0, false
	}
	free := tg.account.Free()
	if free <= 0 {
		return 0, false
	}
	lat := float64(tg.latency[cl].Load())
	if lat == 0 {
		lat = max(median, 1)
	}
	cost := lat * (1 + failureCost*tg.failureRate())
	if from := tg.warmUpStart.Load(); from != 0 && tg.skipWhileWarmingUp(from) {
		return 0, false
	}
	return cost * float64(tg.account.Limit()) / float64(free), true
}

// skipWhileWarmingUp randomly reports whether a call skips a runner that warms up, with a probability
// that decreases over the warm-up. A higher cost instead would keep all calls away as long as the other
// runners have free slots.
func (tg *Target) skipWhileWarmingUp(from int64) bool {
	age := float64(time.Now().UnixNano()-from) / float64(warmUpTime)
	if age >= 1 {
		tg.warmUpStart.CompareAndSwap(from, 0)
		return false
	}
	return rand.Float64() < initialSkipRate*(1-age)
}

func (tg *Target) failureRate() float64 { return math.Float64frombits(tg.failureRateBits.Load()) }

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

// CancelProbe allows another call to probe the runner at once, because the picked call was not sent or
// its result says nothing about the runner.
func (tg *Target) CancelProbe() { tg.probedAt.Store(0) }

// Observe records the end of a call that was sent to a runner. A failure is a connection error, a lost
// answer or an answer with a server error. A failed call counts with at least the known latency, so that
// a runner which fails fast does not appear fast.
func (rt *Router) Observe(tg *Target, cl Class, elapsed time.Duration, failed bool) {
	now := time.Now().UnixNano()
	began := now - int64(elapsed)
	known := tg.Latency(cl)
	if failed {
		elapsed = max(elapsed, known)
	}
	if !failed || known > 0 {
		tg.recordLatency(cl, int64(elapsed), now)
	}
	rate := tg.updateFailureRate(failed)
	if tg.isEjected() {
		rt.endProbe(tg, began, failed)
		return
	}
	if !failed {
		tg.consecutiveFailures.Store(0)
		return
	}
	failures := tg.consecutiveFailures.Add(1)
	if failures >= ejectFailureCount || failures > 1 && rate > ejectFailureRate {
		rt.eject(tg)
	}
}

// recordLatency updates the moving average: fast for higher samples, and with latencyTimeConstant for
// lower ones.
func (tg *Target) recordLatency(cl Class, elapsed, now int64) {
	last := tg.lastSample.Swap(now)
	for {
		old := tg.latency[cl].Load()
		next := elapsed
		switch {
		case old == 0:
		case elapsed > old:
			next = old + int64(riseWeight*float64(elapsed-old))
		default:
			// Each sample has a weight of at least 1/50, so that a burst of samples also lowers the latency.
			weight := max(0.02, 1-math.Exp(-float64(now-last)/float64(latencyTimeConstant)))
			next = old - int64(weight*float64(old-elapsed))
		}
		if tg.latency[cl].CompareAndSwap(old, max(next, 1)) {
			return
		}
	}
}

// updateFailureRate moves the failure rate by the result of a call and returns it.
func (tg *Target) updateFailureRate(failed bool) float64 {
	var now float64
	if failed {
		now = 1
	}
	for {
		old := tg.failureRateBits.Load()
		rate := math.Float64frombits(old)
		rate += failureWeight * (now - rate)
		if rate < 0.001 {
			rate = 0
		}
		if tg.failureRateBits.CompareAndSwap(old, math.Float64bits(rate)) {
			return rate
		}
	}
}

// decayLatency lowers the latency of a runner without recent calls, so that it gets calls again.
func (tg *Target) decayLatency(now int64) {
	if now-tg.lastSample.Load() < int64(latencyTimeConstant) {
		return
	}
	for cl := range numClasses {
		if old := tg.latency[cl].Load(); old > 1 {
			tg.latency[cl].CompareAndSwap(old, old-old/32)
		}
	}
}

func (tg *Target) updateSlow(median int64) {
	lat := float64(tg.latency[Short].Load())
	switch {
	case median == 0 || lat == 0 || lat < slowResetFactor*float64(median):
		tg.slow.Store(false)
	case lat > slowFactor*float64(median):
		tg.slow.Store(true)
	}
}

// eject ejects a runner, unless more than half of the service's runners would then be ejected.
func (rt *Router) eject(tg *Target) {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	if tg.isEjected() || rt.targets[tg.Name] != tg || !rt.mayEject(tg.Service) {
		return
	}
	if time.Since(tg.ejectedAt) > ejectionResetTime {
		tg.ejections = 0
	}
	rt.startEjection(tg)
	rt.op.Meter.Add(meter.RunnersEjected, 1)
	rt.publish()
}

func (rt *Router) mayEject(svc modeler.ServiceName) bool {
	pl := (*rt.snap.Load())[svc]
	return pl != nil && 2*(len(pl.ejected)+1) <= len(pl.ready)+len(pl.ejected)
}

// startEjection starts or extends an ejection, whose duration doubles each time. mu is held.
func (rt *Router) startEjection(tg *Target) {
	duration := min(maxEjection, minEjection<<min(tg.ejections, 10))
	tg.ejections++
	tg.ejectedAt = time.Now()
	tg.ejectedUntil.Store(tg.ejectedAt.Add(duration).UnixNano())
	tg.probedAt.Store(0)
	logger.Log(rt.op.Log, logger.RunnerEjected, "Runner", tg.Name, "For", duration.String())
}

// endProbe readmits the runner after a successful probe, or ejects it again. Calls that began before the
// probe have no effect.
func (rt *Router) endProbe(tg *Target, began int64, failed bool) {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	if at := tg.probedAt.Load(); at == 0 || began < at || rt.targets[tg.Name] != tg {
		return
	}
	if failed {
		rt.startEjection(tg)
		return
	}
	tg.ejectedUntil.Store(0)
	tg.probedAt.Store(0)
	tg.consecutiveFailures.Store(0)
	tg.failureRateBits.Store(0)
	tg.warmUpStart.Store(time.Now().UnixNano())
	logger.Log(rt.op.Log, logger.RunnerReadmitted, "Runner", tg.Name)
	rt.publish()
}
