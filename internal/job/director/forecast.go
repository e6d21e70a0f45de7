package director

import (
	"maps"
	"time"

	"github.com/currantrouter/currantrouter/internal/job/modeler"
	"github.com/currantrouter/currantrouter/internal/job/placer"
)

const (
	// paceHorizonSeconds is how far ahead a load is forecast: about the time until a pace takes
	// effect.
	paceHorizonSeconds = 0.7
	// runHorizonSeconds is how far ahead a load is forecast for a typical run of best-effort work.
	runHorizonSeconds = 1.5
	// maxEstimateAge and estimateAgePerWorker are bounds of estimateAge.
	maxEstimateAge       = 250 * time.Millisecond
	estimateAgePerWorker = 250 * time.Microsecond
)

// prediction is the expected effect of one more task of an image on one worker.
type prediction struct {
	// relativeLoad is the highest expected relative load of a latency-critical task there,
	// futureRelativeLoad that at the end of a typical best-effort run.
	relativeLoad, futureRelativeLoad float64
	// addedRelativeLoad is the part of relativeLoad that the new task causes. interference is the
	// load that the task would add to the most sensitive image there if it used all processors of
	// the worker.
	addedRelativeLoad, interference float64
	// untried holds the worker's latency-critical images with which the task's image is an untried
	// pair.
	untried []string
	// suspected is set when the task's image is suspected of high interference with one of these.
	suspected bool
	// confounded is set when another untried best-effort image runs there already, so that the
	// result of a trial would be shared.
	confounded bool
	// at is when the prediction was made. It is set only for best-effort tasks.
	at    time.Time
	valid bool
}

// forecast is the expected effect of the tasks of one image on each worker.
type forecast struct {
	// predictions holds those of a latency-critical image in the order of the round's workers. Those of best-effort
	// images are kept by the workers.
	predictions []prediction
	// trials counts the image's tasks that share a worker with a latency-critical image, by that
	// image. It is nil until a prediction depends on it.
	trials map[string]int
	// refused is set for the workers, in the order of the round's workers, that were found to be closed to the tasks of a
	// best-effort image by interference, whatever these need. It is nil before the first.
	refused []bool
	// newTrials is the number of changes of trials in this round that matter for a placement.
	newTrials int
}

// forecast returns the forecast for an image. It covers what ran at the beginning of the round and
// what was placed since.
func (rd *round) forecast(image string) *forecast {
	fc := rd.forecasts[image]
	if fc == nil {
		fc = &forecast{}
		rd.forecasts[image] = fc
	}
	return fc
}

// refuse notes that a worker is closed to the tasks of a best-effort image until something is placed there. Further trials
// elsewhere do not open it.
func (rd *round) refuse(fc *forecast, ix int) {
	if fc.refused == nil {
		fc.refused = make([]bool, len(rd.workers))
	}
	fc.refused[ix] = true
}

// countTrials returns the trials of a best-effort image.
func (rd *round) countTrials(image string, fc *forecast) map[string]int {
	if fc.trials != nil {
		return fc.trials
	}
	fc.trials = map[string]int{}
	for _, wk := range rd.workers {
		tasks := wk.bestEffortImages[image].tasks
		if tasks == 0 {
			continue
		}
		for critical := range wk.criticalImages {
			fc.trials[critical] += tasks
		}
	}
	return fc.trials
}

// applyForecast sets the predictions for the demand's task on the candidates that have the capacity.
func (rd *round) applyForecast(dm *placer.Demand) {
	if !usesForecast(dm) {
		return
	}
	fc, demand := rd.forecast(dm.Image), rd.contentionDemand(dm)
	for ix := range rd.workers {
		if placer.HasCapacity(dm, &rd.cands[ix]) {
			rd.applyForecastTo(ix, dm, fc, demand)
		}
	}
}

// usesForecast reports whether predictions matter for the placement of a task.
func usesForecast(dm *placer.Demand) bool { return dm.BestEffort || dm.LatencyCritical }

// contentionDemand returns the index of a best-effort demand in the contention, and brings that up to date.
func (rd *round) contentionDemand(dm *placer.Demand) int {
	if !dm.BestEffort {
		return -1
	}
	return rd.updateContention().demand(rd.pool, dm.Image)
}

// applyForecastTo sets the predictions on the candidate with the index. The contention's demand is that of
// contentionDemand.
func (rd *round) applyForecastTo(ix int, dm *placer.Demand, fc *forecast, contentionDemand int) {
	cd, wk := &rd.cands[ix], rd.workers[ix]
	pr := rd.prediction(ix, dm, fc)
	cd.RelativeLoad, cd.FutureRelativeLoad, cd.AddedRelativeLoad, cd.Interference, cd.Trials = pr.relativeLoad, pr.futureRelativeLoad, pr.addedRelativeLoad, pr.interference, 0
	cd.InterferenceSuspected, cd.ConfoundedTrial = pr.suspected, pr.confounded
	for _, critical := range pr.untried {
		cd.Trials = max(cd.Trials, rd.countTrials(dm.Image, fc)[critical])
	}
	cd.FirstTrial = len(pr.untried) > 0 && cd.Trials == 0 && !pr.suspected && !pr.confounded && placer.IsTolerable(pr.interference)
	if dm.BestEffort && wk.contention != nil {
		cd.Contention = wk.contention.PressureOfOthers(contentionDemand)
	} else if dm.BestEffort {
		cd.Contention = 0
	}
	cd.OnlyOtherImages = dm.LatencyCritical && wk.criticalTasks > 0 && wk.criticalImages[dm.Image] == 0
}

// prediction returns the prediction for the demand's task on the worker with the index.
func (rd *round) prediction(ix int, dm *placer.Demand, fc *forecast) *prediction {
	if dm.BestEffort {
		return rd.dr.recentPrediction(rd.workers[ix], dm, rd.now)
	}
	if fc.predictions == nil {
		fc.predictions = make([]prediction, len(rd.workers))
	}
	pr := &fc.predictions[ix]
	if !pr.valid {
		*pr = rd.dr.predictCritical(rd.workers[ix], dm.Image)
	}
	return pr
}

// dropPredictions drops those that a new or ended task of a step changes: all for a latency-critical one, and
// otherwise those of pairs on trial.
func (wk *worker) dropPredictions(spec *modeler.Step) {
	if spec.TailTarget > 0 {
		clear(wk.predictions)
		return
	}
	maps.DeleteFunc(wk.predictions, func(_ string, pr *prediction) bool { return len(pr.untried) > 0 })
}

// estimateAge returns the age up to which what is computed from reports of many workers is used again, as their
// number makes it expensive. A report covers half a second.
func (dr *Director) estimateAge() time.Duration {
	return min(maxEstimateAge, time.Duration(len(dr.workers))*estimateAgePerWorker)
}

// recentPrediction returns a prediction for a best-effort demand that is at most estimateAge old.
func (dr *Director) recentPrediction(wk *worker, dm *placer.Demand, now time.Time) *prediction {
	pr := wk.predictions[dm.Image]
	if pr == nil || now.Sub(pr.at) > dr.estimateAge() {
		pr = dr.predictBestEffort(wk, dm, now)
		if !dr.explains {
			wk.predictions[dm.Image] = pr
		}
	}
	return pr
}

// predictCritical returns the expected effect of a worker on a task of a latency-critical image. Its loads are just
// those that best-effort work there would add to the task, not divided by the load at its target.
func (dr *Director) predictCritical(wk *worker, image string) prediction {
	pr := prediction{valid: true}
	for bestEffort, il := range wk.bestEffortImages {
		pr.addedRelativeLoad += dr.model.Interference(image, bestEffort) * wk.cpuShare(il.milliCores)
	}
	pr.relativeLoad = pr.addedRelativeLoad
	return pr
}

// predictBestEffort returns the expected effect of a best-effort task on a worker.
func (dr *Director) predictBestEffort(wk *worker, dm *placer.Demand, now time.Time) *prediction {
	pr := &prediction{at: now, valid: true}
	for image := range wk.criticalImages {
		if interference, tried := dr.model.ExpectedInterference(image, dm.Image, now); tried {
			pr.interference = max(pr.interference, interference)
		} else {
			pr.untried = append(pr.untried, image)
			pr.suspected = pr.suspected || dr.model.Interference(image, dm.Image) > interference
			pr.confounded = pr.confounded || dr.otherTrialRunning(wk, image, dm.Image, now)
		}
	}
	for _, at := range wk.criticalAttempts {
		spec := at.task.step.spec
		loadAtTarget := dr.model.LoadAtTarget(spec.Image, spec.TailTarget)
		interference, _ := dr.model.ExpectedInterference(spec.Image, dm.Image, now)
		added := interference * wk.cpuShare(dm.Needs.MilliCores) / loadAtTarget
		pr.relativeLoad, pr.addedRelativeLoad = max(pr.relativeLoad, at.forecastLoad(paceHorizonSeconds)/loadAtTarget+added), max(pr.addedRelativeLoad, added)
		pr.futureRelativeLoad = max(pr.futureRelativeLoad, at.forecastLoad(runHorizonSeconds)/loadAtTarget+added)
	}
	return pr
}

// otherTrialRunning reports whether another best-effort image on the worker is an untried pair with
// the latency-critical one. The interference of the two could not be told apart.
func (dr *Director) otherTrialRunning(wk *worker, critical, image string, now time.Time) bool {
	for bestEffort := range wk.bestEffortImages {
		if bestEffort == image {
			continue
		}
		if _, tried := dr.model.ExpectedInterference(critical, bestEffort, now); !tried {
			return true
		}
	}
	return false
}
