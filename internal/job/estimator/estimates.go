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
	// Interference is the load that the best-effort image would add with all processors of a
	// worker.
	Interference float64 `json:"Harm"`
	// Variance holds for the time at which the estimates were collected.
	Variance float64
}

// Estimates is a part of a model that is handed over to the next leader.
type Estimates struct {
	// Clock is when they were collected, on the clock of the leaders' journal. It is zero in those of
	// versions that did not record it.
	Clock time.Duration `json:",omitempty"`
	// MinTail is the lowest tail latency seen of each latency-critical image.
	MinTail map[string]time.Duration `json:"Lowest,omitempty"`
	Pairs   []PairEstimate           `json:",omitempty"`
}

// Empty reports whether there are no estimates.
func (es *Estimates) Empty() bool { return len(es.MinTail) == 0 && len(es.Pairs) == 0 }

const (
	// minRecordedChange is the change of an interference from which Changes returns it again.
	minRecordedChange = 0.1
	// maxRecordedAge is the age of a recorded estimate from which Changes returns the pair again if it was
	// observed since. The next leader takes an older one for untried.
	maxRecordedAge = 8 * time.Second
	// minRecordedTailDrop is the share by which a lowest tail latency has to fall for Changes to return it
	// again.
	minRecordedTailDrop = 0.1
	// minMergedVariance is the lowest variance of a merged estimate, which may be old.
	minMergedVariance = 0.05
)

// Changes returns the tried pairs that it has not returned yet, or whose interference has changed
// by minRecordedChange since it last returned them or Merge set them, or that were observed maxRecordedAge
// after that. It also returns the lowest tail latencies that are new or have fallen by minRecordedTailDrop since then.
func (md *Model) Changes(now time.Time) Estimates {
	es := md.collect(now, func(ps *pairState) bool {
		hardlyChanged := math.Abs(ps.mean-ps.recordedMean) < minRecordedChange && ps.updated.Sub(ps.recordedAt) < maxRecordedAge
		if !ps.wasTried() || ps.recorded && hardlyChanged {
			return false
		}
		ps.recordedMean, ps.recordedAt, ps.recorded = ps.mean, now, true
		return true
	})
	for image, minTail := range md.minTails {
		recorded, ok := md.recordedTails[image]
		if ok && float64(minTail) > (1-minRecordedTailDrop)*float64(recorded) {
			continue
		}
		md.recordedTails[image] = minTail
		if es.MinTail == nil {
			es.MinTail = map[string]time.Duration{}
		}
		es.MinTail[image] = minTail
	}
	return es
}

// AllTried returns all pairs that were tried when they were last observed, or that Changes or Merge had
// before, and the lowest tail latencies of all latency-critical images.
func (md *Model) AllTried(now time.Time) Estimates {
	es := md.collect(now, func(ps *pairState) bool { return ps.recorded || ps.wasTried() })
	es.MinTail = maps.Clone(md.minTails)
	return es
}

// collect returns the pairs to include, sorted.
func (md *Model) collect(now time.Time, include func(*pairState) bool) Estimates {
	var es Estimates
	for _, pr := range slices.SortedFunc(maps.Keys(md.pairs), comparePairs) {
		ps := md.pairs[pr]
		if !include(ps) {
			continue
		}
		es.Pairs = append(es.Pairs, PairEstimate{pr.critical, pr.bestEffort, roundToThousandth(ps.mean), roundToThousandth(ps.varianceAfter(now.Sub(ps.updated)))})
	}
	return es
}

// wasTried reports whether the pair was tried when it was last observed or merged.
func (ps *pairState) wasTried() bool {
	_, tried := ps.expected(ps.updated)
	return tried
}

func comparePairs(one, two pair) int {
	return cmp.Or(cmp.Compare(one.critical, two.critical), cmp.Compare(one.bestEffort, two.bestEffort))
}

// roundToThousandth keeps the stored numbers short.
func roundToThousandth(num float64) float64 { return math.Round(num*1000) / 1000 }

// Merge adds the estimates that an earlier leader collected at a time. They replace those that the model
// has of the same pairs. Of two lowest tail latencies the lower one counts. Values out of bounds are
// clamped or left out.
func (md *Model) Merge(es Estimates, at time.Time) {
	for image, minTail := range es.MinTail {
		if minTail <= 0 {
			continue
		}
		if present, ok := md.minTails[image]; !ok || minTail < present {
			md.minTails[image], md.recordedTails[image] = minTail, minTail
		}
	}
	for _, pe := range es.Pairs {
		merged := estimate{clampInterference(pe.Interference), min(max(pe.Variance, minMergedVariance), priorVariance)}
		md.pairs[pair{pe.LatencyCritical, pe.BestEffort}] = &pairState{estimate: merged, isolated: merged, updated: at, recordedMean: merged.mean, recordedAt: at, recorded: true, index: md.nextIndex()}
	}
}
