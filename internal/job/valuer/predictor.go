package valuer

import (
	"math"
	"time"
)

const (
	// minObserved is the number of run times from which estimates are corrected.
	minObserved = 8
	// memory is the number of run times over which the moments are averaged. A queue ends some hundred tasks a
	// second, so that the correction follows within seconds.
	memory = 400
	// maxCorrection bounds the ratio of a corrected estimate to the estimate, and its inverse. Estimates are off
	// by up to 90%.
	maxCorrection = 10
)

// Predictor corrects the callers' estimates of run times by the observed run times of one queue. It is a linear
// regression of the logarithms: estimates that are wrong by a constant factor are multiplied by it, and estimates
// that tell little of the run time are moved towards the typical run time of the queue. The zero value has
// observed nothing and leaves estimates as they are.
type Predictor struct {
	count int
	// estimate and runTime are the means of the logarithms of both, in seconds.
	estimate, runTime float64
	// estimateVar, runTimeVar and covariance are their second moments.
	estimateVar, runTimeVar, covariance float64
}

// Observe records the run time of a task with an estimate. Estimates of zero tell nothing.
func (pr *Predictor) Observe(estimate, runTime time.Duration) {
	if estimate <= 0 || runTime <= 0 {
		return
	}
	pr.count = min(pr.count+1, memory)
	weight := 1 / float64(pr.count)
	es, rt := math.Log(estimate.Seconds())-pr.estimate, math.Log(runTime.Seconds())-pr.runTime
	pr.estimate += weight * es
	pr.runTime += weight * rt
	pr.estimateVar += weight * ((1-weight)*es*es - pr.estimateVar)
	pr.runTimeVar += weight * ((1-weight)*rt*rt - pr.runTimeVar)
	pr.covariance += weight * ((1-weight)*es*rt - pr.covariance)
}

// slope returns the part of a difference between two estimates that shows in the run times.
func (pr *Predictor) slope() float64 {
	if pr.estimateVar < 1e-9 {
		return 1
	}
	return min(max(pr.covariance/pr.estimateVar, 0), 1)
}

// Correction returns the ratio of the expected run time to an estimate.
func (pr *Predictor) Correction(estimate time.Duration) float64 {
	if pr == nil || pr.count < minObserved || estimate <= 0 {
		return 1
	}
	log := math.Log(estimate.Seconds())
	ratio := math.Exp(pr.runTime + pr.slope()*(log-pr.estimate) - log)
	return min(max(ratio, 1.0/maxCorrection), maxCorrection)
}

// Uncertainty returns the standard deviation of the logarithm of the run time, given the estimate.
func (pr *Predictor) Uncertainty() float64 {
	if pr == nil || pr.count < minObserved {
		return 0
	}
	slope := pr.slope()
	return math.Sqrt(max(0, pr.runTimeVar-2*slope*pr.covariance+slope*slope*pr.estimateVar))
}
