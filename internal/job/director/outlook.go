package director

import (
	"time"

	"github.com/currantrouter/currantrouter/internal/job/placer"
)

// expectation is what a task of an image would do to its neighbours on one worker.
type expectation struct {
	// strain is the highest one expected, and ahead that at the end of a usual run.
	strain, ahead float64
	// harm is the part of the strain that the task adds or gets, and rate its harm to the most sensitive
	// image if it used all processors.
	harm, rate float64
	// untried holds the worker's serving images of which too little is known with the task's image.
	untried []string
	// doubted is set when the task is believed to harm one of these badly.
	doubted bool
	// mixed is set when another image is being tried there.
	mixed bool
	known bool
}

// outlook is what is expected of the tasks of one image.
type outlook struct {
	// workers holds the expectations in the order of the round's workers.
	workers []expectation
	// trials counts the image's tasks beside each serving image with which it is untried.
	trials map[string]int
}

// outlook returns that of an image, as of the beginning of the round and what was placed since.
func (rd *round) outlook(image string) *outlook {
	ol := rd.outlooks[image]
	if ol != nil {
		return ol
	}
	ol = &outlook{workers: make([]expectation, len(rd.workers)), trials: map[string]int{}}
	rd.outlooks[image] = ol
	for _, wk := range rd.workers {
		if wk.fillingImages[image] == 0 {
			continue
		}
		for serving := range wk.servingImages {
			ol.trials[serving] += wk.fillingImages[image]
		}
	}
	return ol
}

// expectHarm sets what the demand's task would do to its neighbours.
func (rd *round) expectHarm(dm *placer.Demand) {
	if !dm.BestEffort && !dm.LatencyCritical {
		return
	}
	ol := rd.outlook(dm.Image)
	var ct *contests
	if dm.BestEffort {
		ct = rd.contest()
	}
	for ix, wk := range rd.workers {
		ex := &ol.workers[ix]
		if !ex.known {
			*ex = rd.dr.expect(wk, dm, rd.now)
		}
		cd := &rd.cands[ix]
		cd.RelativeLoad, cd.FutureRelativeLoad, cd.AddedRelativeLoad, cd.Interference, cd.Trials = ex.strain, ex.ahead, ex.harm, ex.rate, 0
		cd.InterferenceSuspected, cd.ConfoundedTrial = ex.doubted, ex.mixed
		for _, serving := range ex.untried {
			cd.Trials = max(cd.Trials, ol.trials[serving])
		}
		cd.FirstTrial = len(ex.untried) > 0 && cd.Trials == 0 && !ex.doubted && !ex.mixed && placer.IsTolerable(ex.rate)
		if ct != nil {
			cd.Contention = ct.beside(wk, dm.Image)
		}
		cd.OtherImages = dm.LatencyCritical && wk.serving > 0 && wk.servingImages[dm.Image] == 0
	}
}

// expect returns what one more task on a worker would do.
func (dr *Director) expect(wk *worker, dm *placer.Demand, now time.Time) expectation {
	ex := expectation{known: true}
	if dm.LatencyCritical {
		for _, at := range wk.attempts {
			if at.task.step.spec.BestEffort {
				ex.harm += dr.model.Interference(dm.Image, at.task.step.spec.Image) * wk.press(at.task.step.spec.Needs.MilliCores)
			}
		}
		ex.strain = ex.harm
		return ex
	}
	for image := range wk.servingImages {
		if harm, tried := dr.model.ExpectedInterference(image, dm.Image, now); tried {
			ex.rate = max(ex.rate, harm)
		} else {
			ex.untried = append(ex.untried, image)
			ex.doubted = ex.doubted || dr.model.Interference(image, dm.Image) > harm
			ex.mixed = ex.mixed || dr.onTrial(wk, image, dm.Image, now)
		}
	}
	for _, at := range wk.attempts {
		sp := at.task.step.spec
		if sp.TailTarget <= 0 {
			continue
		}
		limit := dr.model.LoadAtTarget(sp.Image, sp.TailTarget)
		harm, _ := dr.model.ExpectedInterference(sp.Image, dm.Image, now)
		added := harm * wk.press(dm.Needs.MilliCores) / limit
		ex.strain, ex.harm = max(ex.strain, at.foreseen(riseAhead)/limit+added), max(ex.harm, added)
		ex.ahead = max(ex.ahead, at.foreseen(runAhead)/limit+added)
	}
	return ex
}

// onTrial reports whether another image that fills on the worker is untried with the serving one. What
// each of the two does could not be told apart.
func (dr *Director) onTrial(wk *worker, serving, except string, now time.Time) bool {
	for filling := range wk.fillingImages {
		if filling == except {
			continue
		}
		if _, tried := dr.model.ExpectedInterference(serving, filling, now); !tried {
			return true
		}
	}
	return false
}
