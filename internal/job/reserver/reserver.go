// Package reserver forecasts the processors that short urgent tasks of a pool will need, which long-running
// tasks leave free. It is made for pools of which long-running tasks request most of the capacity, beside short
// urgent jobs that come in bursts of a few seconds and in waves of several times that: long-running tasks that
// take what short ones have just released keep it, and the next burst finds all workers full.
//
// The forecast is a decayed maximum: a higher demand counts at once, as a burst lasts only a few seconds, and is
// forgotten slowly, as the next one is likely to follow.
package reserver

import (
	"math"
	"time"
)

const (
	// decayTime is the time in which a forecast falls to 1/e of itself, as long as the demand is lower. After a
	// burst of factor 1.8 the reserve needs 6 s to return to the level before.
	decayTime = 10 * time.Second
	// MaxShare is the highest share of a pool's processors that is reserved. A backlog of short tasks would
	// otherwise keep all long-running ones out of the pool.
	MaxShare = 0.2
	// sizeWeight is the weight of a sample in the moving average of the size of tasks, which thus covers some 5 s.
	sizeWeight = 0.02
	// SampleInterval is the time after which the demand is observed again. Short tasks run for about a second, so
	// that few begin and end between two samples.
	SampleInterval = 100 * time.Millisecond
)

// Forecast is the forecast of one pool's demand. The zero value has observed nothing.
type Forecast struct {
	// peak is the decayed maximum at the time at, in thousandths of a core.
	peak float64
	at   time.Time
	// size is the moving average of what a task needs, in the same unit, zero before the first task.
	size float64
}

// Observe records the processors that the pool's short urgent tasks use and wait for, in thousandths of a core, and
// the number of these tasks.
func (fc *Forecast) Observe(demand int64, tasks int, now time.Time) {
	fc.peak, fc.at = max(float64(demand), fc.decayed(now)), now
	switch mean := float64(demand) / float64(max(tasks, 1)); {
	case tasks == 0:
	case fc.size == 0:
		fc.size = mean
	default:
		fc.size += sizeWeight * (mean - fc.size)
	}
}

// TaskSize returns what a typical short urgent task needs, in thousandths of a core, or 0 if none was observed.
func (fc *Forecast) TaskSize() int64 { return int64(fc.size) }

// decayed returns the maximum as it has decayed since the last observation.
func (fc *Forecast) decayed(now time.Time) float64 {
	if fc.at.IsZero() {
		return 0
	}
	elapsed := max(0, now.Sub(fc.at))
	return fc.peak * math.Exp(-elapsed.Seconds()/decayTime.Seconds())
}

// Reserve returns the processors to reserve in a pool with a capacity, both in thousandths of a core. It is at
// least minShare of the capacity, also without any observation, as after a takeover, and at most MaxShare.
func (fc *Forecast) Reserve(capacity int64, minShare float64, now time.Time) int64 {
	lowest, highest := minShare*float64(capacity), max(minShare, MaxShare)*float64(capacity)
	return int64(min(max(fc.decayed(now), lowest), highest))
}
