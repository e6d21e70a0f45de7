package estimator

const (
	// priorWeight is the number of samples for which the prior of a pair counts.
	priorWeight = 8
	// maxMeanWeight bounds the samples of a mean, so that estimates follow changes.
	maxMeanWeight = 256
	// minSampleLoad keeps a report of an almost idle worker from giving a huge slowdown per load.
	minSampleLoad = 0.1
	// maxSlowdown bounds one sample (slowdown above 1 at full load). A paused task reports huge values.
	maxSlowdown = 20
	// maxPairs bounds the memory to a few megabytes. For pairs beyond it only the prior is used.
	maxPairs = 1 << 16
)

// pairKey holds the victim in its upper and the aggressor in its lower 32 bits.
type pairKey uint64

// pair is the mean slowdown, above 1 at full load, that one task of the aggressor's kind causes to a
// task of the victim's kind.
type pair struct{ mean }

// mean is a moving average: its weight, the number of samples, stops growing at maxMeanWeight.
type mean struct {
	value  float64
	weight float64
}

func (mn *mean) add(sample float64) {
	mn.weight = min(mn.weight+1, maxMeanWeight)
	mn.value += (sample - mn.value) / mn.weight
}

func newPairKey(victim, aggressor Kind) pairKey {
	return pairKey(uint64(uint32(victim))<<32 | uint64(uint32(aggressor)))
}

// Interference returns the slowdown above 1 that one task of the kind aggressor causes to a task of
// the kind victim on a worker with the given load (usage divided by capacity).
func (es *Estimator) Interference(victim, aggressor Kind, load float64) float64 {
	return es.fullLoadSlowdown(victim, aggressor) * min(max(load, 0), 1)
}

// fullLoadSlowdown returns the predicted slowdown above 1 at full load: the mean of the pair's
// samples, shrunk towards the prior while there are few.
func (es *Estimator) fullLoadSlowdown(victim, aggressor Kind) float64 {
	prior := es.prior(victim, aggressor)
	pr, ok := es.pairs[newPairKey(victim, aggressor)]
	if !ok {
		return prior
	}
	return (pr.value*pr.weight + prior*priorWeight) / (pr.weight + priorWeight)
}

// prior returns the estimate of a pair without samples: the mean of what the victim's kind suffers
// from any kind and of what the aggressor's kind causes to any kind.
func (es *Estimator) prior(victim, aggressor Kind) float64 {
	vm, am := es.stats[victim].asVictim, es.stats[aggressor].asAggressor
	switch {
	case vm.weight == 0:
		return am.value
	case am.weight == 0:
		return vm.value
	}
	return (vm.value + am.value) / 2
}

// ObserveSlowdown learns from the measured slowdown, 1 for full speed, of one task among its
// co-runners on a worker with the given load. The error of the prediction is attributed evenly to the
// co-runners, because one report does not tell how much each of them contributed.
func (es *Estimator) ObserveSlowdown(victim Kind, slowdown, load float64, others []Kind) {
	if slowdown < 1 || len(others) == 0 {
		return
	}
	measured := min((slowdown-1)/max(load, minSampleLoad), maxSlowdown)
	predicted := 0.0
	for _, kd := range others {
		predicted += es.fullLoadSlowdown(victim, kd)
	}
	correction := (measured - predicted) / float64(len(others))
	for _, kd := range others {
		es.addPairSample(victim, kd, max(es.fullLoadSlowdown(victim, kd)+correction, 0))
	}
}

func (es *Estimator) addPairSample(victim, aggressor Kind, sample float64) {
	key := newPairKey(victim, aggressor)
	pr, ok := es.pairs[key]
	if !ok && len(es.pairs) < maxPairs {
		pr = &pair{}
		es.pairs[key] = pr
	}
	if pr != nil {
		pr.add(sample)
	}
	es.stats[victim].asVictim.add(sample)
	es.stats[aggressor].asAggressor.add(sample)
}
