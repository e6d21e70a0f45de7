package director

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/currantrouter/currantrouter/internal/job/placer"
)

// contestInterval is the time after which the contest for workers is computed again. Tasks that fill
// run for about a second.
const contestInterval = 250 * time.Millisecond

// contests tells for each worker how much images that fill need it.
type contests struct {
	at time.Time
	// images holds the position of each filling image, workers the contest for each worker.
	images  map[string]int
	workers map[*worker]*placer.Contest
}

// beside returns the highest pressure of images other than the one on a worker.
func (ct *contests) beside(wk *worker, image string) float64 {
	of := ct.workers[wk]
	if of == nil {
		return 0
	}
	ix, ok := ct.images[image]
	if !ok {
		ix = -1
	}
	return of.Beside(ix)
}

// contest brings the contest for the workers of a round up to date.
func (rd *round) contest() *contests {
	dr := rd.dr
	if rd.now.Sub(dr.contests.at) < contestInterval {
		return &dr.contests
	}
	asked := rd.askedToFill()
	names := slices.Sorted(maps.Keys(asked))
	ct := contests{at: rd.now, images: map[string]int{}, workers: map[*worker]*placer.Contest{}}
	cores := make([]int64, len(names))
	for ix, image := range names {
		ct.images[image], cores[ix] = ix, asked[image]
	}
	var groups []placer.Group
	position := map[string]int{}
	members := make([]int, len(rd.workers))
	for ix, wk := range rd.workers {
		key := strings.Join(slices.Sorted(maps.Keys(wk.servingImages)), " ")
		gx, ok := position[key]
		if !ok {
			gx = len(groups)
			position[key] = gx
			groups = append(groups, placer.Group{Harmless: rd.harmless(wk, names)})
		}
		groups[gx].Idle += placer.Idle(&rd.cands[ix])
		members[ix] = gx
	}
	result := placer.Contests(groups, cores)
	for ix, wk := range rd.workers {
		ct.workers[wk] = &result[members[ix]]
	}
	dr.contests = ct
	return &dr.contests
}

// askedToFill returns what waiting and active tasks that fill ask for, by image, in thousandths of a
// core.
func (rd *round) askedToFill() map[string]int64 {
	asked := map[string]int64{}
	for _, gr := range rd.groups {
		if sp := gr.step.spec; sp.Fills {
			asked[sp.Image] += sp.Needs.MilliCores * int64(len(gr.step.waiting))
		}
	}
	for _, wk := range rd.workers {
		if wk.filling == 0 {
			continue
		}
		for _, at := range wk.attempts {
			if sp := at.task.step.spec; sp.Fills {
				asked[sp.Image] += sp.Needs.MilliCores
			}
		}
	}
	return asked
}

// harmless tells for each filling image whether it harms no serving image of the worker badly.
func (rd *round) harmless(wk *worker, images []string) []bool {
	list := make([]bool, len(images))
	for ix, image := range images {
		cd := placer.Candidate{}
		for serving := range wk.servingImages {
			cd.Rate = max(cd.Rate, rd.dr.model.Harm(serving, image))
		}
		list[ix] = placer.Harmless(&cd)
	}
	return list
}
