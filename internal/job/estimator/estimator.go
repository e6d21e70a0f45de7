// Package estimator estimates the interference of best-effort images with latency-critical images
// that run on the same worker. It is made for deployments where best-effort tasks run beside
// latency-critical ones on most workers, where few pairs of images interfere badly and the others
// hardly, and where the load of the latency-critical tasks varies so widely that a high tail
// latency alone does not show its cause.
//
// A latency-critical task is modelled as a queue. Its load is the busy share of the queue, from 0
// to 1, and follows from its tail latency:
//
//	tail latency = base latency / (1 - load)
//
// The load is the sum of the task's own load and of the load that the best-effort images on the
// worker add:
//
//	load = own load + sum over images of (interference * CPU share)
//
// The interference of a pair of images is the load that the best-effort image would add with a CPU
// share of 1, that is with all processors of the worker. Tasks of one step serve the same users and
// so have about the same own load. Such tasks are called siblings; the difference between the loads
// of two siblings on different workers shows the difference in added load.
//
// The estimator is a Kalman filter with one state per pair of images. The interference is the mean
// of the state. The variance falls with each observation and grows with time.
package estimator

import (
	"cmp"
	"math"
	"slices"
	"strings"
	"time"
)

// Usage is the processor use of the best-effort tasks of one image on one worker.
type Usage struct {
	Image string
	// CPUShare is the use as a share of the worker's processors, over the time that the tail
	// latencies cover. In a difference between two workers it may be negative.
	CPUShare float64
}

// UsageDifference returns by how much the CPU share of each image on one worker exceeds that on
// another. The result is sorted by image and has each image once.
func UsageDifference(one, other []Usage) []Usage {
	list := make([]Usage, 0, len(one)+len(other))
	list = append(list, one...)
	for _, us := range other {
		list = append(list, Usage{us.Image, -us.CPUShare})
	}
	slices.SortStableFunc(list, func(one, two Usage) int { return strings.Compare(one.Image, two.Image) })
	merged := list[:0]
	for _, us := range list {
		if last := len(merged) - 1; last >= 0 && merged[last].Image == us.Image {
			merged[last].CPUShare += us.CPUShare
		} else {
			merged = append(merged, us)
		}
	}
	return merged
}

// Interference is in units of load per CPU share of 1, and variances are in the square of that
// unit, unless stated otherwise.
const (
	// baseTailShare is the base latency of an image as a share of the lowest tail latency seen. It
	// is below 1 because no task is ever seen without load.
	baseTailShare = 0.8
	// maxLoad is the highest load. A tail latency that shows more says only that the task is
	// overloaded.
	maxLoad = 0.94
	// priorInterference is the assumed interference of a pair that was never observed.
	priorInterference = 0.3
	// priorVariance is the variance of a pair that was never observed. It is also the highest
	// variance.
	priorVariance = 0.5
	// minVariance keeps an estimate open to change by new observations.
	minVariance = 0.01
	// maxTriedVariance is the variance below which a pair counts as tried. It is reached after
	// about a second of observation.
	maxTriedVariance = 0.2
	// noiseVariance is the variance of the load difference of siblings without interference, in
	// squared load. Successive reports share most of the noise, so this is a multiple of the
	// variance in a single report.
	noiseVariance = 0.01
	// maxResidual is the highest deviation from the expected load that one observation may
	// contribute, as single tail latencies are far off now and then.
	maxResidual = 0.2
	// varianceGrowth is the growth of a variance per second, so that new observations outweigh old
	// ones.
	varianceGrowth = 0.015
	// minCPUShare is the lowest CPU share, or difference of shares, of an image to which an
	// observation attributes load.
	minCPUShare = 0.015
	// maxInterference is the highest interference of a pair.
	maxInterference = 6.0
	// minInterference is the lowest interference of a pair.
	minInterference = -0.2
	// minCovariance is the lowest absolute covariance that is stored. Smaller ones count as 0, so
	// that the states of pairs that have little to do with each other stay independent.
	minCovariance = 0.002
)

// pair is a latency-critical and a best-effort image.
type pair struct{ critical, bestEffort string }

// estimate is the mean and variance of an interference.
type estimate struct{ mean, variance float64 }

// update corrects the estimate by the load that the pair alone added with a CPU share.
func (es *estimate) update(added, cpuShare float64) {
	gain := es.variance * cpuShare / (noiseVariance + es.variance*cpuShare*cpuShare)
	residual := math.Min(maxResidual, math.Max(-maxResidual, added-es.mean*cpuShare))
	es.mean = clampInterference(es.mean + gain*residual)
	es.variance = math.Max(minVariance, es.variance*(1-gain*cpuShare))
}

func clampInterference(mean float64) float64 {
	return math.Min(maxInterference, math.Max(minInterference, mean))
}

// varianceAfter returns the variance after some time without observations.
func (es *estimate) varianceAfter(elapsed time.Duration) float64 {
	return math.Min(priorVariance, es.variance+varianceGrowth*max(0, elapsed.Seconds()))
}

// pairState is the state of the filter for one pair of images.
type pairState struct {
	// estimate is the estimate from all observations.
	estimate
	// isolated is the estimate from the observations in which no other image could have added the
	// load.
	isolated estimate
	// updated is the time at which both variances held.
	updated time.Time
	// recordedMean is the mean that Changes returned last, at recordedAt. Both are valid if recorded is set.
	recordedMean float64
	recordedAt   time.Time
	recorded     bool
	// covariances holds the covariances with the states of pairs of the same latency-critical image
	// that were observed at the same time, in the order of the states. They are symmetric.
	covariances []covariance
	// index orders the states. No two states of a model have the same.
	index int
	// totalCov is the covariance with the added load of the present observation, if correlated is set.
	totalCov   float64
	correlated bool
}

// covariance is that of a state with another one.
type covariance struct {
	with  *pairState
	value float64
}

// advance lets both variances grow until now.
func (ps *pairState) advance(now time.Time) {
	elapsed := now.Sub(ps.updated)
	ps.variance, ps.isolated.variance, ps.updated = ps.varianceAfter(elapsed), ps.isolated.varianceAfter(elapsed), now
}

// expected returns the interference of the pair and whether the pair is tried: observed together
// long enough and recently. Interference above the prior must also follow from observations in
// which no other image could have added the load.
func (ps *pairState) expected(now time.Time) (interference float64, tried bool) {
	elapsed := now.Sub(ps.updated)
	if ps.varianceAfter(elapsed) >= maxTriedVariance {
		return 0, false
	}
	if ps.mean <= priorInterference {
		return max(0, ps.mean), true
	}
	return max(0, min(ps.mean, ps.isolated.mean)), ps.isolated.varianceAfter(elapsed) < maxTriedVariance
}

// Model holds the estimates of all pairs of images. Use New to create one. It is not safe for
// concurrent use.
type Model struct {
	// minTails holds the lowest tail latency seen of each latency-critical image.
	minTails map[string]time.Duration
	// recordedTails holds those that Changes returned last or Merge set.
	recordedTails map[string]time.Duration
	pairs         map[pair]*pairState
	// lastIndex is the index of the newest state.
	lastIndex int
}

// New returns a model without observations.
func New() *Model {
	return &Model{minTails: map[string]time.Duration{}, recordedTails: map[string]time.Duration{}, pairs: map[pair]*pairState{}}
}

// ObserveTail returns the load of a latency-critical task that a tail latency shows, from 0 to
// maxLoad. It also updates the lowest tail latency of the image.
func (md *Model) ObserveTail(image string, tail time.Duration) float64 {
	minTail, ok := md.minTails[image]
	if !ok || tail < minTail {
		md.minTails[image], minTail = tail, tail
	}
	return md.loadFromTail(minTail, tail)
}

// LoadAtTarget returns the load at which the tail latency reaches its target. It is at least 0.1,
// and maxLoad for an image that was never seen.
func (md *Model) LoadAtTarget(image string, target time.Duration) float64 {
	minTail, ok := md.minTails[image]
	if !ok {
		return maxLoad
	}
	return max(md.loadFromTail(minTail, target), 0.1)
}

// loadFromTail returns 1 - base latency / tail latency, from 0 to maxLoad.
func (md *Model) loadFromTail(minTail, tail time.Duration) float64 {
	if tail <= 0 {
		return 0
	}
	return min(max(0, 1-baseTailShare*float64(minTail)/float64(tail)), maxLoad)
}

// Interference returns the estimated load that best-effort tasks of one image would add to
// latency-critical tasks of another if they used all processors of the worker.
func (md *Model) Interference(critical, bestEffort string) float64 {
	if ps := md.pairs[pair{critical, bestEffort}]; ps != nil {
		return max(0, ps.mean)
	}
	return priorInterference
}

// ExpectedInterference returns the interference to assume for a task that is about to start, and
// whether the pair is tried: observed together long enough and recently. The interference of an
// untried pair is at most the prior, so that the pair can be tried again: another image may have
// caused the load that was attributed to it.
func (md *Model) ExpectedInterference(critical, bestEffort string, now time.Time) (interference float64, tried bool) {
	if ps := md.pairs[pair{critical, bestEffort}]; ps != nil {
		if interference, tried = ps.expected(now); tried {
			return interference, true
		}
	}
	return min(md.Interference(critical, bestEffort), priorInterference), false
}

// TotalInterference returns the load that best-effort tasks add to a latency-critical task on their
// worker.
func (md *Model) TotalInterference(critical string, usage []Usage) float64 {
	sum := 0.0
	for _, us := range usage {
		sum += md.Interference(critical, us.Image) * us.CPUShare
	}
	return sum
}

// Observe updates the estimates from the comparison of a latency-critical task with a sibling:
// excess is the load of the task less that of the sibling, and usage the difference in the usage of
// best-effort images between their workers, with each image once (see UsageDifference). When
// several images added the load together, the covariances of their states keep this: a later
// observation of one of them alone then also corrects the others.
func (md *Model) Observe(critical string, excess float64, usage []Usage, now time.Time) {
	list := md.observations(critical, usage, now)
	if len(list) == 0 {
		return
	}
	updateIsolated(list, excess, now)
	// residual is the excess less the expected added load, and residualVariance its variance.
	residual, residualVariance := excess, noiseVariance
	for _, ob := range list {
		residual -= ob.mean * ob.cpuShare
	}
	states := correlated(list)
	for _, ob := range list {
		residualVariance += max(0, ob.totalCov*ob.cpuShare)
	}
	// A residual beyond maxResidual gets less weight. The variances then fall by less, too.
	weight := math.Min(1, maxResidual/math.Abs(residual))
	for _, ps := range states {
		gain := weight * ps.totalCov / residualVariance
		ps.mean = clampInterference(ps.mean + gain*residual)
		ps.variance = math.Max(minVariance, ps.variance-gain*ps.totalCov)
		ps.addCovariances(states, -gain)
	}
	for _, ps := range states {
		ps.correlated = false
	}
}

// correlated sets the covariance of states with the load that the observed images added, and returns those that have
// one in their order.
func correlated(list []observation) []*pairState {
	states := make([]*pairState, 0, 2*len(list))
	add := func(ps *pairState, cov float64) {
		if !ps.correlated {
			ps.correlated, ps.totalCov = true, 0
			states = append(states, ps)
		}
		ps.totalCov += cov
	}
	for _, ob := range list {
		add(ob.pairState, ob.variance*ob.cpuShare)
		for _, cv := range ob.covariances {
			add(cv.with, cv.value*ob.cpuShare)
		}
	}
	slices.SortFunc(states, func(one, two *pairState) int { return cmp.Compare(one.index, two.index) })
	return states
}

// observation is the state of one best-effort image in an observation, and the difference of its
// CPU share.
type observation struct {
	*pairState
	cpuShare float64
}

// observations returns the states of the images whose CPU shares differ enough, advanced to now.
func (md *Model) observations(critical string, usage []Usage, now time.Time) []observation {
	list := make([]observation, 0, len(usage))
	for _, us := range usage {
		if math.Abs(us.CPUShare) < minCPUShare {
			continue
		}
		ps := md.stateOf(critical, us.Image)
		ps.advance(now)
		list = append(list, observation{ps, us.CPUShare})
	}
	return list
}

// updateIsolated updates the isolated estimate if a single image may have added the load beyond
// that of the images known to interfere little.
func updateIsolated(list []observation, excess float64, now time.Time) {
	var remaining *observation
	for ix := range list {
		ob := &list[ix]
		if interference, tried := ob.expected(now); tried && interference <= priorInterference {
			excess -= interference * ob.cpuShare
			continue
		}
		if remaining != nil {
			return
		}
		remaining = ob
	}
	if remaining != nil {
		remaining.isolated.update(excess, remaining.cpuShare)
	}
}

// addCovariances adds the totalCov of other states, times a factor, to the covariances with them. The states are in
// their order.
func (ps *pairState) addCovariances(states []*pairState, factor float64) {
	old, sums := ps.covariances, make([]covariance, 0, len(states)+len(ps.covariances))
	for _, other := range states {
		for len(old) > 0 && old[0].with.index < other.index {
			sums, old = append(sums, old[0]), old[1:]
		}
		cov := covariance{other, factor * other.totalCov}
		if len(old) > 0 && old[0].with == other {
			cov.value += old[0].value
			old = old[1:]
		}
		if other != ps && math.Abs(cov.value) >= minCovariance {
			sums = append(sums, cov)
		}
	}
	ps.covariances = append(sums, old...)
}

// stateOf returns the state of a pair. It adds one with the prior if there is none.
func (md *Model) stateOf(critical, bestEffort string) *pairState {
	ps := md.pairs[pair{critical, bestEffort}]
	if ps == nil {
		prior := estimate{priorInterference, priorVariance}
		ps = &pairState{estimate: prior, isolated: prior, index: md.nextIndex()}
		md.pairs[pair{critical, bestEffort}] = ps
	}
	return ps
}

// nextIndex returns the index of a new state.
func (md *Model) nextIndex() int {
	md.lastIndex++
	return md.lastIndex
}
