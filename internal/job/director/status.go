package director

import (
	"time"

	"github.com/currantrouter/currantrouter/internal/job/modeler"
	"github.com/currantrouter/currantrouter/internal/job/pacer"
	"github.com/currantrouter/currantrouter/internal/telemetry/logger"
)

// Interference returns the load that work of one image is estimated to add to latency-critical
// tasks of another if it used all processors of their worker.
func (dr *Director) Interference(critical, bestEffort string) float64 {
	dr.mu.Lock()
	defer dr.mu.Unlock()
	return dr.model.Interference(critical, bestEffort)
}

// WorkerStatus is the state of one worker for operators. Pace is in percent.
type WorkerStatus struct {
	Worker               modeler.Worker
	Registered           bool
	Reachable            bool
	Quarantined          bool
	Free                 modeler.Resources
	Runs                 int
	LatencyCriticalTasks int
	BestEffortTasks      int
	Pace                 int
}

// Workers returns the state of all workers.
func (dr *Director) Workers() []WorkerStatus {
	dr.mu.Lock()
	defer dr.mu.Unlock()
	now := time.Now()
	var list []WorkerStatus
	for _, wk := range dr.workers {
		list = append(list, WorkerStatus{
			Worker: wk.info, Registered: wk.registered, Reachable: wk.answered && !wk.unreachable, Quarantined: wk.faultHistory.Quarantined(now),
			Free: wk.free, Runs: len(wk.attempts), LatencyCriticalTasks: wk.criticalTasks, BestEffortTasks: wk.bestEffortTasks, Pace: wk.pace.Percent(),
		})
	}
	return list
}

// logLoadSummary logs how many jobs and tasks run and wait, and what is free.
func (dr *Director) logLoadSummary(now time.Time) {
	var waiting, waitingBestEffort, runs, criticalWorkers, quarantined, unreachable, accepting int
	var largestFree, freeCores, idleForBestEffort, bestEffortCores, bestEffortUsed, bestEffortPaced int64
	for sp := range dr.waitingSteps {
		if waiting += len(sp.waiting); sp.spec.BestEffort {
			waitingBestEffort += len(sp.waiting)
		}
	}
	for _, wk := range dr.workers {
		runs += len(wk.attempts)
		switch {
		case wk.unreachable:
			unreachable++
		case wk.faultHistory.Quarantined(now):
			quarantined++
		}
		for _, at := range wk.attempts {
			if spec := at.task.step.spec; spec.BestEffort && at.state == active {
				bestEffortUsed += at.measure
				bestEffortPaced += spec.Needs.MilliCores * int64(max(at.pace, 0)) / pacer.FullPace
			}
		}
		if dr.acceptsTasks(wk, now) {
			accepting++
			largestFree = max(largestFree, wk.free.MilliCores)
		}
		free := wk.free.MilliCores
		if dr.evacuated(wk) {
			// Nothing may start there.
			free = 0
		}
		freeCores += free
		bestEffortCores += wk.bestEffortMilliCores
		if wk.criticalTasks > 0 {
			criticalWorkers++
		} else {
			idleForBestEffort += free
		}
	}
	dr.log(logger.LoadSummary, "Jobs", len(dr.jobs), "Waiting", waiting, "WaitingToFill", waitingBestEffort, "Runs", runs, "UnderWay", dr.startsInFlight, "MayBeUnderWay", dr.startWindow.Available(0), "Workers", len(dr.workers), "Open", accepting, "LargestRoom", largestFree,
		"ServingWorkers", criticalWorkers, "Quarantined", quarantined, "Silent", unreachable, "FreeCores", freeCores, "IdleForFill", idleForBestEffort, "FillingCores", bestEffortCores, "FillingPaced", bestEffortPaced, "FillingUsed", bestEffortUsed)
}
