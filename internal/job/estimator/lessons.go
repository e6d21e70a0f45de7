package estimator

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

// Lesson is what is known of one pair of images.
type Lesson struct {
	Serving, Filling string
	// Harm and Variance are those of the belief.
	Harm, Variance float64
}

// Lessons are a part of a model, to be handed to the next leader.
type Lessons struct {
	// Lowest is the lowest tail latency seen of each serving image.
	Lowest map[string]time.Duration `json:",omitempty"`
	Pairs  []Lesson                 `json:",omitempty"`
}

// Empty reports whether there is nothing to hand over.
func (ls *Lessons) Empty() bool { return len(ls.Lowest) == 0 && len(ls.Pairs) == 0 }

const (
	// notableChange is the change of a harm from which it is told again.
	notableChange = 0.1
	// inheritedVariance is the least of a belief that was handed over, which may be old.
	inheritedVariance = 0.05
)

// News returns the pairs whose harm has changed since they were returned last, with their serving
// images.
func (md *Model) News() Lessons {
	return md.lessons(func(bf *belief) bool {
		if !bf.isTried() || bf.known && math.Abs(bf.mean-bf.told) < notableChange {
			return false
		}
		bf.told, bf.known = bf.mean, true
		return true
	})
}

// All returns every pair that was tried.
func (md *Model) All() Lessons {
	return md.lessons((*belief).isTried)
}

func (md *Model) lessons(wanted func(*belief) bool) Lessons {
	var ls Lessons
	for _, pr := range slices.SortedFunc(maps.Keys(md.pairs), comparePairs) {
		bf := md.pairs[pr]
		if !wanted(bf) {
			continue
		}
		ls.Pairs = append(ls.Pairs, Lesson{pr.serving, pr.filling, thousandths(bf.mean), thousandths(bf.variance)})
		if low, ok := md.lowest[pr.serving]; ok {
			if ls.Lowest == nil {
				ls.Lowest = map[string]time.Duration{}
			}
			ls.Lowest[pr.serving] = low
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

// Take adds what an earlier leader has learned. Later lessons replace earlier ones.
func (md *Model) Take(ls Lessons, now time.Time) {
	for image, low := range ls.Lowest {
		if known, ok := md.lowest[image]; !ok || low < known {
			md.lowest[image] = low
		}
	}
	for _, le := range ls.Pairs {
		known := estimate{le.Harm, max(le.Variance, inheritedVariance)}
		md.pairs[pair{le.Serving, le.Filling}] = &belief{estimate: known, apart: known, at: now, told: le.Harm, known: true}
	}
}
