package estimator

const (
	// priorWeight is the number of samples that the prior of a pair counts for.
	priorWeight = 8
	// maxWeight bounds the samples of a mean, so that estimates follow changes.
	maxWeight = 256
	// minLoad keeps a report of an almost idle worker from giving a huge slowdown per load.
	minLoad = 0.1
	// maxSlowdown bounds one measurement above 1 at full load; a paused task reports huge values.
	maxSlowdown = 20
	// maxPairs bounds the memory to a few megabytes. Pairs beyond it have the mean of their kinds.
	maxPairs = 1 << 16
)

type pairKey uint64

// pair is the learned slowdown of a victim by one co-runner of the other kind, above 1 at full
// load.
type pair struct{ mean }

type mean struct {
	value  float64
	weight float64
}

func (mn *mean) add(sample float64) {
	mn.weight = min(mn.weight+1, maxWeight)
	mn.value += (sample - mn.value) / mn.weight
}

func keyOf(victim, aggressor Kind) pairKey {
	return pairKey(uint64(uint32(victim))<<32 | uint64(uint32(aggressor)))
}

// Interference returns by how much one task of the kind aggressor slows a task of the kind victim
// on a worker with the given load (use divided by capacity). Zero means not at all.
func (es *Estimator) Interference(victim, aggressor Kind, load float64) float64 {
	return es.atFullLoad(victim, aggressor) * min(max(load, 0), 1)
}

// atFullLoad shrinks the estimate of the pair towards the mean of its two kinds.
func (es *Estimator) atFullLoad(victim, aggressor Kind) float64 {
	prior := es.prior(victim, aggressor)
	pr, ok := es.pairs[keyOf(victim, aggressor)]
	if !ok {
		return prior
	}
	return (pr.value*pr.weight + prior*priorWeight) / (pr.weight + priorWeight)
}

func (es *Estimator) prior(victim, aggressor Kind) float64 {
	vm, am := es.kinds[victim].victim, es.kinds[aggressor].aggressor
	switch {
	case vm.weight == 0:
		return am.value
	case am.weight == 0:
		return vm.value
	}
	return (vm.value + am.value) / 2
}

// ObserveSlowdown learns from the measured slowdown of one task beside its co-runners on a worker
// with the given load. The difference between measurement and estimate is shared out evenly
// between the co-runners, because one report does not tell them apart.
func (es *Estimator) ObserveSlowdown(victim Kind, slowdown, load float64, others []Kind) {
	if slowdown < 1 || len(others) == 0 {
		return
	}
	measured := min((slowdown-1)/max(load, minLoad), maxSlowdown)
	predicted := 0.0
	for _, kd := range others {
		predicted += es.atFullLoad(victim, kd)
	}
	share := (measured - predicted) / float64(len(others))
	for _, kd := range others {
		es.observePair(victim, kd, max(es.atFullLoad(victim, kd)+share, 0))
	}
}

func (es *Estimator) observePair(victim, aggressor Kind, sample float64) {
	key := keyOf(victim, aggressor)
	pr, ok := es.pairs[key]
	if !ok && len(es.pairs) < maxPairs {
		pr = &pair{}
		es.pairs[key] = pr
	}
	if pr != nil {
		pr.add(sample)
	}
	es.kinds[victim].victim.add(sample)
	es.kinds[aggressor].aggressor.add(sample)
}
