// Package estimator learns which images disturb which. It answers installations where work that
// fills runs beside tasks that serve users on most workers, where a few pairs of images harm each
// other badly and the others hardly, and where the load of the serving tasks swings so widely that
// a high tail latency alone says nothing about its cause.
//
// The tail latency of a serving task is taken for that of a queue: its base latency divided by the
// idle share. The busy share, called load here, is the sum of the task's own load and of the
// disturbance by its neighbours, each in proportion to the processors that they use. Tasks of one
// step share their users, so the difference between siblings on two workers shows the disturbance.
package estimator

import (
	"maps"
	"math"
	"slices"
	"time"
)

// Usage is what the best-effort tasks of one image use of a worker.
type Usage struct {
	Image string
	// CPUShare is their use as a share of the worker's processors, over the time of the tails. Where two
	// workers are compared it is the difference, which may be negative.
	CPUShare float64
}

// UsageDifference returns by how much more each image uses of one worker than of another. Images are in order.
func UsageDifference(of, other []Usage) []Usage {
	press := make(map[string]float64, len(of)+len(other))
	for _, fl := range of {
		press[fl.Image] += fl.CPUShare
	}
	for _, fl := range other {
		press[fl.Image] -= fl.CPUShare
	}
	list := make([]Usage, 0, len(press))
	for _, image := range slices.Sorted(maps.Keys(press)) {
		list = append(list, Usage{image, press[image]})
	}
	return list
}

const (
	// baseShare is the part of the lowest tail latency of an image that is its base latency, since
	// no task was ever seen idle.
	baseShare = 0.8
	// mostLoad bounds loads: beyond it a tail says only that the task is overloaded.
	mostLoad = 0.94
	// priorHarm and priorVariance describe a pair that was never seen together.
	priorHarm, priorVariance = 0.3, 0.5
	// leastVariance keeps a pair open to change.
	leastVariance = 0.01
	// triedVariance is the variance of a pair that was seen together for about a second.
	triedVariance = 0.2
	// noise is the variance of the load difference of siblings. Successive reports share most of
	// it, so it is a multiple of what a single report shows.
	noise = 0.01
	// mostResidual bounds what one report may say, as single tails are now and then far off.
	mostResidual = 0.2
	// fading is the variance that a belief gains in a second, so that new reports outweigh old ones.
	fading = 0.015
	// noticeable is the press of an image from which a difference is put down to it.
	noticeable = 0.015
	// mostHarm and leastHarm bound the harm of a pair.
	mostHarm, leastHarm = 6.0, -0.2
	// leastShared is the covariance that is remembered. It keeps beliefs apart that have little to do
	// with each other.
	leastShared = 0.002
)

type pair struct{ serving, filling string }

// estimate is a harm and its variance.
type estimate struct{ mean, variance float64 }

// learn takes the load that the pair alone caused with a press.
func (es *estimate) learn(caused, press float64) {
	gain := es.variance * press / (noise + es.variance*press*press)
	residual := math.Min(mostResidual, math.Max(-mostResidual, caused-es.mean*press))
	es.mean = bounded(es.mean + gain*residual)
	es.variance = math.Max(leastVariance, es.variance*(1-gain*press))
}

func bounded(harm float64) float64 { return math.Min(mostHarm, math.Max(leastHarm, harm)) }

// faded returns the variance after some time. It grows, so that new reports outweigh old ones.
func (es *estimate) faded(after time.Duration) float64 {
	return math.Min(priorVariance, es.variance+fading*max(0, after.Seconds()))
}

type belief struct {
	estimate
	// apart is the estimate from the reports in which no other image could have done the harm.
	apart estimate
	// at is when both variances held.
	at time.Time
	// told is the mean that Changes returned last, and known is set once it has.
	told  float64
	known bool
	// shared holds the covariances with beliefs about images that were seen beside the serving one at
	// the same time. They are symmetric.
	shared map[*belief]float64
}

// fade makes the variances those of now.
func (bf *belief) fade(now time.Time) {
	after := now.Sub(bf.at)
	bf.variance, bf.apart.variance, bf.at = bf.faded(after), bf.apart.faded(after), now
}

// assumed returns the harm of a pair that was seen together for long enough. An image is blamed only as
// far as reports show it that leave no other one to blame.
func (bf *belief) assumed(now time.Time) (harm float64, tried bool) {
	after := now.Sub(bf.at)
	if bf.faded(after) >= triedVariance {
		return 0, false
	}
	if bf.mean <= priorHarm {
		return max(0, bf.mean), true
	}
	return max(0, min(bf.mean, bf.apart.mean)), bf.apart.faded(after) < triedVariance
}

// Model is what is known of all images and pairs. The zero value is not usable.
type Model struct {
	// lowest is the lowest tail latency seen of each serving image.
	lowest map[string]time.Duration
	pairs  map[pair]*belief
}

// New returns a model that knows nothing.
func New() *Model { return &Model{lowest: map[string]time.Duration{}, pairs: map[pair]*belief{}} }

// Load returns the load that a tail latency shows, from 0 to mostLoad.
func (md *Model) Load(image string, tail time.Duration) float64 {
	low, ok := md.lowest[image]
	if !ok || tail < low {
		md.lowest[image], low = tail, tail
	}
	return md.load(low, tail)
}

// LoadAtTarget returns the load at which the tail latency reaches its target.
func (md *Model) LoadAtTarget(image string, target time.Duration) float64 {
	low, ok := md.lowest[image]
	if !ok {
		return mostLoad
	}
	return max(md.load(low, target), 0.1)
}

func (md *Model) load(low, tail time.Duration) float64 {
	if tail <= 0 {
		return 0
	}
	return min(max(0, 1-baseShare*float64(low)/float64(tail)), mostLoad)
}

// Interference returns the load that work of one image would add to latency-critical tasks of another if it used all
// processors of their worker.
func (md *Model) Interference(serving, filling string) float64 {
	if bf := md.pairs[pair{serving, filling}]; bf != nil {
		return max(0, bf.mean)
	}
	return priorHarm
}

// ExpectedInterference returns the interference to assume for a task about to start, and whether it is
// known. A pair that
// was not seen for long has to be tried again, as what was blamed for the harm may not have done it.
func (md *Model) ExpectedInterference(serving, filling string, now time.Time) (harm float64, tried bool) {
	if bf := md.pairs[pair{serving, filling}]; bf != nil {
		if harm, tried = bf.assumed(now); tried {
			return harm, true
		}
	}
	return min(md.Interference(serving, filling), priorHarm), false
}

// TotalInterference returns the load that best-effort work adds to a latency-critical task.
func (md *Model) TotalInterference(serving string, fills []Usage) float64 {
	sum := 0.0
	for _, fl := range fills {
		sum += md.Interference(serving, fl.Image) * fl.CPUShare
	}
	return sum
}

// Observe takes the load of a latency-critical task beyond that of a sibling, and by how much more the
// best-effort images use of its worker than of the sibling's. Each image is listed once. What several images did
// together is remembered as such: a later report of one of them alone also tells of the others.
func (md *Model) Observe(serving string, excess float64, fills []Usage, now time.Time) {
	seen := md.seen(serving, fills, now)
	if len(seen) == 0 {
		return
	}
	learnApart(seen, excess, now)
	// with holds the covariance of each belief with the disturbance as a whole.
	with := map[*belief]float64{}
	residual, spread := excess, noise
	for _, sg := range seen {
		residual -= sg.mean * sg.press
		with[sg.belief] += sg.variance * sg.press
		for other, shared := range sg.shared {
			with[other] += shared * sg.press
		}
	}
	for _, sg := range seen {
		spread += max(0, with[sg.belief]*sg.press)
	}
	// A report of which only a part is believed leaves as much in doubt.
	believed := math.Min(1, mostResidual/math.Abs(residual))
	for bf, own := range with {
		gain := believed * own / spread
		bf.mean = bounded(bf.mean + gain*residual)
		bf.variance = math.Max(leastVariance, bf.variance-gain*own)
		for other, its := range with {
			if other != bf {
				bf.share(other, -gain*its)
			}
		}
	}
}

// sighting is a belief about an image that is seen beside a serving task.
type sighting struct {
	*belief
	press float64
}

// seen returns the beliefs of which a report tells, as of now.
func (md *Model) seen(serving string, fills []Usage, now time.Time) []sighting {
	list := make([]sighting, 0, len(fills))
	for _, fl := range fills {
		if math.Abs(fl.CPUShare) < noticeable {
			continue
		}
		bf := md.of(serving, fl.Image)
		bf.fade(now)
		list = append(list, sighting{bf, fl.CPUShare})
	}
	return list
}

// learnApart takes the load for the image that alone may have caused it.
func learnApart(seen []sighting, excess float64, now time.Time) {
	var suspect *sighting
	for ix := range seen {
		sg := &seen[ix]
		if harm, tried := sg.assumed(now); tried && harm <= priorHarm {
			excess -= harm * sg.press
			continue
		}
		if suspect != nil {
			return
		}
		suspect = sg
	}
	if suspect != nil {
		suspect.apart.learn(excess, suspect.press)
	}
}

// share adds to the covariance with another belief.
func (bf *belief) share(other *belief, more float64) {
	if bf.shared == nil {
		bf.shared = map[*belief]float64{}
	}
	bf.shared[other] += more
	if math.Abs(bf.shared[other]) < leastShared {
		delete(bf.shared, other)
	}
}

func (md *Model) of(serving, filling string) *belief {
	bf := md.pairs[pair{serving, filling}]
	if bf == nil {
		unknown := estimate{priorHarm, priorVariance}
		bf = &belief{estimate: unknown, apart: unknown}
		md.pairs[pair{serving, filling}] = bf
	}
	return bf
}
