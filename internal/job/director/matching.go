package director

import (
	"slices"

	"github.com/currantrouter/currantrouter/internal/job/modeler"
	"github.com/currantrouter/currantrouter/internal/job/placer"
)

// matchClass identifies demands that the same workers can run, if these are large enough.
type matchClass struct {
	pool        modeler.PoolName
	label, rack string
}

// matchesSome reports whether some worker of a pool that accepts tasks could run a demand if it had no other tasks. It
// looks at all workers once for each class in a round, as thousands of steps may wait for a label that no worker has.
func (rd *round) matchesSome(pool modeler.PoolName, dm *placer.Demand) bool {
	key := matchClass{pool, dm.Label, dm.Rack}
	list, ok := rd.largest[key]
	if !ok {
		list = rd.largestOf(key)
		rd.largest[key] = list
	}
	return slices.ContainsFunc(list, func(wk *modeler.Worker) bool { return placer.Matches(dm, wk) })
}

// largestOf returns workers of a class, such that each other one of the class has no more capacity than one of them.
func (rd *round) largestOf(key matchClass) []*modeler.Worker {
	list := []*modeler.Worker{}
	for _, wk := range rd.workers {
		info := &wk.info
		if info.Pool != key.pool || !placer.Matches(&placer.Demand{Label: key.label, Rack: key.rack}, info) {
			continue
		}
		if !slices.ContainsFunc(list, func(ot *modeler.Worker) bool { return info.Capacity.Fits(ot.Capacity) }) {
			list = append(list, info)
		}
	}
	return list
}
