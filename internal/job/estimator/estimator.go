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
	"math"
	"time"
)

// Fill is what the tasks of one image that fill use of a worker.
type Fill struct {
	Image string
	// Press is their use as a share of the worker's processors, over the time of the tails.
	Press float64
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
	// noticeable is the press of all fills from which a difference is put down to them.
	noticeable = 0.015
	// mostHarm bounds the harm of a pair.
	mostHarm = 6.0
)

type pair struct{ serving, filling string }

type belief struct {
	mean, variance float64
	// at is when the variance held.
	at time.Time
	// told is the mean that News returned last, and known is set once it has.
	told  float64
	known bool
}

// faded returns the variance, which grows with the time since the last observation.
func (bf *belief) faded(now time.Time) float64 {
	if bf.at.IsZero() || !now.After(bf.at) {
		return bf.variance
	}
	return math.Min(priorVariance, bf.variance+fading*now.Sub(bf.at).Seconds())
}

// fade makes the variance that of now.
func (bf *belief) fade(now time.Time) { bf.variance, bf.at = bf.faded(now), now }

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

// Limit returns the load at which the tail latency reaches its target.
func (md *Model) Limit(image string, target time.Duration) float64 {
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

// Harm returns the load that work of one image would add to serving tasks of another if it used all
// processors of their worker.
func (md *Model) Harm(serving, filling string) float64 {
	if bf := md.pairs[pair{serving, filling}]; bf != nil {
		return max(0, bf.mean)
	}
	return priorHarm
}

// Assumed returns the harm that a task about to start may do, and whether it is known. A pair that
// was not seen for long has to be tried again, as what was blamed for the harm may not have done it.
func (md *Model) Assumed(serving, filling string, now time.Time) (harm float64, tried bool) {
	bf := md.pairs[pair{serving, filling}]
	if bf == nil || bf.faded(now) >= triedVariance {
		return min(md.Harm(serving, filling), priorHarm), false
	}
	return max(0, bf.mean), true
}

// Disturbance returns the load that work that fills adds to a serving task.
func (md *Model) Disturbance(serving string, fills []Fill) float64 {
	sum := 0.0
	for _, fl := range fills {
		sum += md.Harm(serving, fl.Image) * fl.Press
	}
	return sum
}

// Learn takes the load of a serving task beyond that of its undisturbed siblings.
func (md *Model) Learn(serving string, excess float64, fills []Fill, now time.Time) {
	press, spread, expected := 0.0, noise, 0.0
	for _, fl := range fills {
		bf := md.of(serving, fl.Image)
		bf.fade(now)
		press += fl.Press
		spread += bf.variance * fl.Press * fl.Press
		expected += bf.mean * fl.Press
	}
	if press < noticeable {
		return
	}
	residual := math.Min(mostResidual, math.Max(-mostResidual, excess-expected))
	for _, fl := range fills {
		bf := md.of(serving, fl.Image)
		gain := bf.variance * fl.Press / spread
		bf.mean = math.Min(mostHarm, math.Max(-0.2, bf.mean+gain*residual))
		bf.variance = math.Max(leastVariance, bf.variance*(1-gain*fl.Press))
	}
}

func (md *Model) of(serving, filling string) *belief {
	bf := md.pairs[pair{serving, filling}]
	if bf == nil {
		bf = &belief{mean: priorHarm, variance: priorVariance}
		md.pairs[pair{serving, filling}] = bf
	}
	return bf
}
