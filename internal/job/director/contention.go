package director

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/currantrouter/currantrouter/internal/job/estimator"
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
	// Workers of one pool that tolerate the same images form a group.
	var groups []placer.WorkerGroup
	groupIndex := map[string]int{}
	groupOf := make([]int, len(rd.workers))
	to, tolerable := newTolerance(dr.model, images), make([]bool, len(images))
	// key is the pool of a worker and whether it tolerates each image.
	var key []byte
	for ix, wk := range rd.workers {
		to.of(wk, tolerable)
		key = append(key[:0], wk.info.Pool...)
		for _, ok := range tolerable {
			if ok {
				key = append(key, 1)
			} else {
				key = append(key, 0)
			}
		}
		gx, ok := groupIndex[string(key)]
		if !ok {
			gx = len(groups)
			groupIndex[string(key)] = gx
			groups = append(groups, placer.WorkerGroup{Pool: wk.info.Pool, Tolerable: slices.Clone(tolerable)})
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
		for image, il := range wk.bestEffortImages {
			demand[poolImage{wk.info.Pool, image}] += il.milliCores
		}
	}
	return demand
}

// tolerance holds which best-effort images each latency-critical image tolerates. The estimate of a pair counts even if
// the pair has become untried again: trials use little capacity.
type tolerance struct {
	model  *estimator.Model
	images []poolImage
	// byCritical holds the results for the images, by latency-critical image.
	byCritical map[string][]bool
}

func newTolerance(md *estimator.Model, images []poolImage) *tolerance {
	return &tolerance{model: md, images: images, byCritical: map[string][]bool{}}
}

// of sets for each image whether its interference with every latency-critical image of a worker is tolerable.
func (to *tolerance) of(wk *worker, tolerable []bool) {
	for ix := range tolerable {
		tolerable[ix] = true
	}
	for critical := range wk.criticalImages {
		for ix, ok := range to.ofImage(critical) {
			tolerable[ix] = tolerable[ix] && ok
		}
	}
}

// ofImage returns for each image whether a latency-critical one tolerates it.
func (to *tolerance) ofImage(critical string) []bool {
	list, ok := to.byCritical[critical]
	if ok {
		return list
	}
	list = make([]bool, len(to.images))
	for ix, pi := range to.images {
		list[ix] = placer.IsTolerable(to.model.Interference(critical, pi.image))
	}
	to.byCritical[critical] = list
	return list
}
