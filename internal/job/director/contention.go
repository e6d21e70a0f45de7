package director

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/currantrouter/currantrouter/internal/job/modeler"
	"github.com/currantrouter/currantrouter/internal/job/placer"
)

// contentionInterval is the time after which the contention is computed again. Best-effort tasks
// run for about a second.
const contentionInterval = 250 * time.Millisecond

// poolImage is a best-effort image in one pool.
type poolImage struct {
	pool  modeler.PoolName
	image string
}

func compareImages(one, two poolImage) int {
	return cmp.Or(cmp.Compare(one.pool, two.pool), cmp.Compare(one.image, two.image))
}

// contention is the competition of best-effort images for the workers, each of which has its own in
// worker.contention.
type contention struct {
	computedAt time.Time
	// demandIndex holds the index of each image's demand.
	demandIndex map[poolImage]int
}

// demand returns the index of an image's demand in a pool, or -1 if it has none.
func (cn *contention) demand(pool modeler.PoolName, image string) int {
	if dx, ok := cn.demandIndex[poolImage{pool, image}]; ok {
		return dx
	}
	return -1
}

// updateContention returns the contention for the round's workers, computed again if it is older
// than contentionInterval.
func (rd *round) updateContention() *contention {
	dr := rd.dr
	if rd.now.Sub(dr.contention.computedAt) < contentionInterval {
		return &dr.contention
	}
	demand := rd.bestEffortDemand()
	images := slices.SortedFunc(maps.Keys(demand), compareImages)
	cn := contention{computedAt: rd.now, demandIndex: map[poolImage]int{}}
	demands := make([]placer.ImageDemand, len(images))
	for dx, pi := range images {
		cn.demandIndex[pi], demands[dx] = dx, placer.ImageDemand{Pool: pi.pool, MilliCores: demand[pi]}
	}
	// Workers of one pool with the same latency-critical images form a group.
	var groups []placer.WorkerGroup
	groupIndex := map[string]int{}
	groupOf := make([]int, len(rd.workers))
	for ix, wk := range rd.workers {
		key := string(wk.info.Pool) + " " + strings.Join(slices.Sorted(maps.Keys(wk.criticalImages)), " ")
		gx, ok := groupIndex[key]
		if !ok {
			gx = len(groups)
			groupIndex[key] = gx
			groups = append(groups, placer.WorkerGroup{Pool: wk.info.Pool, Tolerable: rd.tolerableImages(wk, images)})
		}
		groups[gx].IdleMilliCores += placer.IdleMilliCores(&rd.cands[ix])
		groupOf[ix] = gx
	}
	result := placer.Contentions(groups, demands)
	for _, wk := range dr.workers {
		wk.contention = nil
	}
	for ix, wk := range rd.workers {
		wk.contention = &result[groupOf[ix]]
	}
	dr.contention = cn
	return &dr.contention
}

// bestEffortDemand returns the processors that waiting and active best-effort tasks ask for, in
// thousandths of a core.
func (rd *round) bestEffortDemand() map[poolImage]int64 {
	demand := map[poolImage]int64{}
	for _, rs := range rd.steps {
		if spec := rs.step.spec; spec.BestEffort {
			demand[poolImage{rd.dr.pool(rs.step.occ.job), spec.Image}] += spec.Needs.MilliCores * int64(len(rs.step.waiting))
		}
	}
	for _, wk := range rd.workers {
		if wk.bestEffortTasks == 0 {
			continue
		}
		for _, at := range wk.attempts {
			if spec := at.task.step.spec; spec.BestEffort {
				demand[poolImage{wk.info.Pool, spec.Image}] += spec.Needs.MilliCores
			}
		}
	}
	return demand
}

// tolerableImages returns for each image whether its interference with every latency-critical image
// of the worker is tolerable. The estimate of a pair counts even if the pair has become untried
// again: trials use little capacity.
func (rd *round) tolerableImages(wk *worker, images []poolImage) []bool {
	tolerable := make([]bool, len(images))
	for ix, pi := range images {
		interference := 0.0
		for critical := range wk.criticalImages {
			interference = max(interference, rd.dr.model.Interference(critical, pi.image))
		}
		tolerable[ix] = placer.IsTolerable(interference)
	}
	return tolerable
}
