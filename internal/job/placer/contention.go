package placer

import "github.com/currantrouter/currantrouter/internal/job/modeler"

// ImageDemand is the demand of one best-effort image in one pool.
type ImageDemand struct {
	Pool modeler.PoolName
	// MilliCores is the sum of the needs of all tasks of the image that wait or run, in thousandths
	// of a core.
	MilliCores int64
}

// WorkerGroup is a set of workers of one pool with the same latency-critical images.
type WorkerGroup struct {
	Pool modeler.PoolName
	// IdleMilliCores is the sum of IdleMilliCores over the workers of the group, in thousandths of
	// a core.
	IdleMilliCores int64
	// Tolerable reports for each ImageDemand, by its index, whether the image's interference with all
	// latency-critical images of the group is tolerable (see IsTolerable).
	Tolerable []bool
}

// Contention is the competition of best-effort images for the workers of one group. It is measured
// by the pressure of each image that may run there:
//
//	pressure = demand / idle processors of all groups in which the image may run
//
// Both are in thousandths of a core. An image with few workers to run on has a high pressure there.
type Contention struct {
	// topDemand is the index of the ImageDemand with the highest pressure, or -1 when there is
	// none.
	topDemand int
	// topPressure is the pressure of topDemand.
	topPressure float64
	// secondPressure is the highest pressure of all other images.
	secondPressure float64
}

// maxPressure limits the pressure of one image, so that an image with very few workers does not
// outweigh all other costs.
const maxPressure = 3.0

// Contentions returns the contention of each group. With it, images that may run nearly everywhere
// leave the workers to images that may run only on few.
func Contentions(groups []WorkerGroup, demands []ImageDemand) []Contention {
	contentions := make([]Contention, len(groups))
	for gx := range contentions {
		contentions[gx].topDemand = -1
	}
	for dx, dm := range demands {
		// Starting at 1 avoids a division by zero.
		idle := int64(1)
		for gx := range groups {
			if groups[gx].accepts(dm.Pool, dx) {
				idle += groups[gx].IdleMilliCores
			}
		}
		pressure := min(float64(dm.MilliCores)/float64(idle), maxPressure)
		for gx := range groups {
			if groups[gx].accepts(dm.Pool, dx) {
				contentions[gx].add(dx, pressure)
			}
		}
	}
	return contentions
}

// accepts reports whether the tasks of a demand, given by its pool and index, may run in the group.
func (wg *WorkerGroup) accepts(pool modeler.PoolName, demand int) bool {
	return wg.Pool == pool && wg.Tolerable[demand]
}

// add adds the pressure of one demand, given by its index.
func (ct *Contention) add(demand int, pressure float64) {
	switch {
	case ct.topDemand < 0 || pressure > ct.topPressure:
		ct.topDemand, ct.topPressure, ct.secondPressure = demand, pressure, ct.topPressure
	case pressure > ct.secondPressure:
		ct.secondPressure = pressure
	}
}

// PressureOfOthers returns the highest pressure of the demands other than the given one. The demand
// is an index, or -1 for an image without demand.
func (ct *Contention) PressureOfOthers(demand int) float64 {
	if ct.topDemand == demand {
		return ct.secondPressure
	}
	return ct.topPressure
}
