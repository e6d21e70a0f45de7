package placer

import "github.com/currantrouter/currantrouter/internal/job/modeler"

// ImageDemand is what the tasks of one image ask for in one pool.
type ImageDemand struct {
	Pool modeler.PoolName
	// MilliCores is the need of all tasks that wait or run.
	MilliCores int64
}

// WorkerGroup is a set of workers of one pool with the same latency-critical images.
type WorkerGroup struct {
	Pool modeler.PoolName
	// IdleMilliCores is what best-effort work can expect to get there, in thousandths of a core.
	IdleMilliCores int64
	// Tolerable tells for each demand whether its image interferes with no task badly there.
	Tolerable []bool
}

// Contention tells how much other images need a group of workers.
type Contention struct {
	// claim is the one with the highest pressure, -1 for none.
	claim int
	// most is its pressure, next the highest of all others.
	most, next float64
}

// mostPressure bounds the pressure of one image, so that none with a tiny pool outweighs all else.
const mostPressure = 3.0

// Contentions returns the contention of each group. The pressure of an image is what its tasks ask for, as a
// share of what is idle where they harm nobody. It answers images of which some may run nearly
// everywhere and others in few places: the former leave these places to the latter.
func Contentions(groups []WorkerGroup, claims []ImageDemand) []Contention {
	contests := make([]Contention, len(groups))
	for gx := range contests {
		contests[gx].claim = -1
	}
	for cx, cl := range claims {
		room := int64(1)
		for gx := range groups {
			if groups[gx].open(cl.Pool, cx) {
				room += groups[gx].IdleMilliCores
			}
		}
		pressure := min(float64(cl.MilliCores)/float64(room), mostPressure)
		for gx := range groups {
			if groups[gx].open(cl.Pool, cx) {
				contests[gx].add(cx, pressure)
			}
		}
	}
	return contests
}

// open reports whether tasks of a claim may run in the group.
func (wg *WorkerGroup) open(pool modeler.PoolName, claim int) bool {
	return wg.Pool == pool && wg.Tolerable[claim]
}

func (ct *Contention) add(claim int, pressure float64) {
	switch {
	case ct.claim < 0 || pressure > ct.most:
		ct.claim, ct.most, ct.next = claim, pressure, ct.most
	case pressure > ct.next:
		ct.next = pressure
	}
}

// PressureOfOthers returns the highest pressure of other demands.
func (ct *Contention) PressureOfOthers(claim int) float64 {
	if ct.claim == claim {
		return ct.next
	}
	return ct.most
}
