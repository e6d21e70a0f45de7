package estimator

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

// PairEstimate is the estimated interference of one pair of images.
type PairEstimate struct {
	LatencyCritical string `json:"Serving"`
	BestEffort      string `json:"Filling"`
	// Interference is the load that the best-effort image would add with all processors.
	Interference float64 `json:"Harm"`
	Variance     float64
}

// Estimates are a part of a model, to be handed to the next leader.
type Estimates struct {
	// MinTail is the lowest tail latency seen of each latency-critical image.
	MinTail map[string]time.Duration `json:"Lowest,omitempty"`
	Pairs   []PairEstimate           `json:",omitempty"`
}

// Empty reports whether there is nothing to hand over.
func (es *Estimates) Empty() bool { return len(es.MinTail) == 0 && len(es.Pairs) == 0 }

const (
	// notableChange is the change of a harm from which it is told again.
	notableChange = 0.1
	// inheritedVariance is the least of a belief that was handed over, which may be old.
	inheritedVariance = 0.05
)

// Changes returns the pairs whose interference has changed since they were returned last, with
// their latency-critical images.
func (md *Model) Changes() Estimates {
	return md.lessons(func(bf *belief) bool {
		if !bf.isTried() || bf.known && math.Abs(bf.mean-bf.told) < notableChange {
			return false
		}
		bf.told, bf.known = bf.mean, true
		return true
	})
}

// All returns every pair that was tried.
func (md *Model) All() Estimates {
	return md.lessons((*belief).isTried)
}

func (md *Model) lessons(wanted func(*belief) bool) Estimates {
	var ls Estimates
	for _, pr := range slices.SortedFunc(maps.Keys(md.pairs), comparePairs) {
		bf := md.pairs[pr]
		if !wanted(bf) {
			continue
		}
		ls.Pairs = append(ls.Pairs, PairEstimate{pr.serving, pr.filling, thousandths(bf.mean), thousandths(bf.variance)})
		if low, ok := md.lowest[pr.serving]; ok {
			if ls.MinTail == nil {
				ls.MinTail = map[string]time.Duration{}
			}
			ls.MinTail[pr.serving] = low
		}
	}
	return ls
}

// isTried reports whether the pair was tried when it was seen last.
func (bf *belief) isTried() bool {
	_, tried := bf.assumed(bf.at)
	return tried
}

func comparePairs(one, two pair) int {
	return cmp.Or(cmp.Compare(one.serving, two.serving), cmp.Compare(one.filling, two.filling))
}

// thousandths rounds, to keep what is stored short.
func thousandths(of float64) float64 { return math.Round(of*1000) / 1000 }

// Merge adds what an earlier leader has learned. Later estimates replace earlier ones.
func (md *Model) Merge(ls Estimates, now time.Time) {
	for image, low := range ls.MinTail {
		if known, ok := md.lowest[image]; !ok || low < known {
			md.lowest[image] = low
		}
	}
	for _, le := range ls.Pairs {
		known := estimate{le.Interference, max(le.Variance, inheritedVariance)}
		md.pairs[pair{le.LatencyCritical, le.BestEffort}] = &belief{estimate: known, apart: known, at: now, told: le.Interference, known: true}
	}
}
