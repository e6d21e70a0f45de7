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

// contestInterval is the time after which the contest for workers is computed again. Tasks that fill
// run for about a second.
const contestInterval = 250 * time.Millisecond

// fillingImage is one of a pool.
type fillingImage struct {
	pool  modeler.PoolName
	image string
}

func compareImages(one, two fillingImage) int {
	return cmp.Or(cmp.Compare(one.pool, two.pool), cmp.Compare(one.image, two.image))
}

// contests tells for each worker how much images that fill need it.
type contests struct {
	at time.Time
	// claims holds the position of each image's claim, workers the contest for each worker.
	claims  map[fillingImage]int
	workers map[*worker]*placer.Contention
}

// beside returns the highest pressure of images other than the one on a worker.
func (ct *contests) beside(wk *worker, image string) float64 {
	of := ct.workers[wk]
	if of == nil {
		return 0
	}
	cx, ok := ct.claims[fillingImage{wk.info.Pool, image}]
	if !ok {
		cx = -1
	}
	return of.PressureOfOthers(cx)
}

// contest brings the contest for the workers of a round up to date.
func (rd *round) contest() *contests {
	dr := rd.dr
	if rd.now.Sub(dr.contests.at) < contestInterval {
		return &dr.contests
	}
	asked := rd.askedToFill()
	images := slices.SortedFunc(maps.Keys(asked), compareImages)
	ct := contests{at: rd.now, claims: map[fillingImage]int{}, workers: map[*worker]*placer.Contention{}}
	claims := make([]placer.ImageDemand, len(images))
	for cx, fi := range images {
		ct.claims[fi], claims[cx] = cx, placer.ImageDemand{Pool: fi.pool, MilliCores: asked[fi]}
	}
	var groups []placer.WorkerGroup
	position := map[string]int{}
	members := make([]int, len(rd.workers))
	for ix, wk := range rd.workers {
		key := string(wk.info.Pool) + " " + strings.Join(slices.Sorted(maps.Keys(wk.servingImages)), " ")
		gx, ok := position[key]
		if !ok {
			gx = len(groups)
			position[key] = gx
			groups = append(groups, placer.WorkerGroup{Pool: wk.info.Pool, Tolerable: rd.harmless(wk, images)})
		}
		groups[gx].IdleMilliCores += placer.IdleMilliCores(&rd.cands[ix])
		members[ix] = gx
	}
	result := placer.Contentions(groups, claims)
	for ix, wk := range rd.workers {
		ct.workers[wk] = &result[members[ix]]
	}
	dr.contests = ct
	return &dr.contests
}

// askedToFill returns what waiting and active tasks that fill ask for, in thousandths of a core.
func (rd *round) askedToFill() map[fillingImage]int64 {
	asked := map[fillingImage]int64{}
	for _, gr := range rd.groups {
		if sp := gr.step.spec; sp.BestEffort {
			asked[fillingImage{rd.dr.pool(gr.step.occ.job), sp.Image}] += sp.Needs.MilliCores * int64(len(gr.step.waiting))
		}
	}
	for _, wk := range rd.workers {
		if wk.filling == 0 {
			continue
		}
		for _, at := range wk.attempts {
			if sp := at.task.step.spec; sp.BestEffort {
				asked[fillingImage{wk.info.Pool, sp.Image}] += sp.Needs.MilliCores
			}
		}
	}
	return asked
}

// harmless tells for each filling image whether it is known or believed to harm no serving image of the
// worker badly. A pair that was not seen for long counts as it did: trials take little room.
func (rd *round) harmless(wk *worker, images []fillingImage) []bool {
	list := make([]bool, len(images))
	for ix, fi := range images {
		rate := 0.0
		for serving := range wk.servingImages {
			rate = max(rate, rd.dr.model.Interference(serving, fi.image))
		}
		list[ix] = placer.IsTolerable(rate)
	}
	return list
}
