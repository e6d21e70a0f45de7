package director

import (
	"slices"
	"time"

	fleet "github.com/currantrouter/currantrouter/internal/fleet/modeler"
	"github.com/currantrouter/currantrouter/internal/job/evacuator"
	"github.com/currantrouter/currantrouter/internal/job/modeler"
	"github.com/currantrouter/currantrouter/internal/job/placer"
	"github.com/currantrouter/currantrouter/internal/telemetry/logger"
	"github.com/currantrouter/currantrouter/internal/telemetry/meter"
	"github.com/currantrouter/currantrouter/internal/telemetry/reporter"
)

const (
	// maxListedDataCentres bounds the names of each kind in one line of the log.
	maxListedDataCentres = 8
	// maxEvacuationLines bounds the lines on changes in a second.
	maxEvacuationLines = 10
	// maxEvacuatedExamined bounds the evacuated workers of a pool that are examined for a task that found no other worker.
	maxEvacuatedExamined = 64
)

// evacuated reports whether the data centre of a worker is evacuated, so that the worker gets no starts. Its lease is
// renewed and its runs go on, but for those that relocate moves.
func (dr *Director) evacuated(wk *worker) bool {
	return dr.op.Evacuator != nil && dr.op.Evacuator.Evacuated(wk.info.DataCentre)
}

// knowsEvacuations reports whether the evacuated data centres are known well enough for starts to be sent.
func (dr *Director) knowsEvacuations(now time.Time) bool {
	return dr.op.Evacuator == nil || dr.op.Evacuator.Current(now)
}

// maySendStarts reports whether starts may be sent at all.
func (dr *Director) maySendStarts(now time.Time) bool {
	return dr.op.MaySendRequests() && dr.knowsEvacuations(now)
}

// EvacuationsChanged notes that Options.Evacuator has another set of data centres. Starts that are queued for workers
// there are released, and a placement round follows.
func (dr *Director) EvacuationsChanged(ch evacuator.Change) {
	if ch.Empty() {
		return
	}
	dr.mu.Lock()
	defer dr.mu.Unlock()
	now := time.Now()
	for _, dc := range ch.Withdrawn {
		delete(dr.evacuations, dc)
	}
	for _, dc := range ch.Added {
		dr.evacuations[dc] = &evacuationState{since: now}
	}
	released := dr.releaseEvacuated(now)
	workers, runs := dr.countEvacuated()
	st := dr.op.Evacuator.Status(now)
	if ch.First {
		dr.log(logger.EvacuationsListed, "Evacuated", st.DataCentres, "Workers", workers, "Runs", runs, "Revision", st.Revision, "Took", now.Sub(dr.termStart).String())
	}
	if len(ch.Added)+len(ch.Withdrawn) > 0 {
		if ok, omitted := dr.evacuationLines.Take(maxEvacuationLines, now); ok {
			dr.log(logger.EvacuationsChanged, "Added", firstNames(ch.Added), "Withdrawn", firstNames(ch.Withdrawn), "Evacuated", st.DataCentres,
				"Workers", workers, "Runs", runs, "StartsReleased", released, "Revision", st.Revision, "ViewAge", st.Age.String(), "Omitted", omitted)
		}
	}
	dr.op.Meter.Add(meter.EvacuationStartsReleased, int64(released))
	dr.wakeDispatch()
}

// firstNames returns the names that a line of the log may have.
func firstNames(list []fleet.DataCentreName) []fleet.DataCentreName {
	return list[:min(len(list), maxListedDataCentres)]
}

// releaseEvacuated queues the tasks again whose starts were not sent yet to workers of evacuated data centres, and
// returns their number. nextStart would drop these starts too, but only after the answers to those before them.
func (dr *Director) releaseEvacuated(now time.Time) int {
	released := 0
	for _, wk := range dr.orderedWorkers() {
		if !dr.evacuated(wk) {
			continue
		}
		for _, at := range wk.listAttempts() {
			if at.state == placed {
				dr.release(at)
				dr.afterRunEnd(at.task, now)
				released++
				if es := dr.evacuations[wk.info.DataCentre]; es != nil {
					es.released++
				}
			}
		}
	}
	return released
}

// countEvacuated returns the number of workers in evacuated data centres and of the runs there.
func (dr *Director) countEvacuated() (workers, runs int) {
	for _, wk := range dr.workers {
		if wk.registered && dr.evacuated(wk) {
			workers++
			runs += len(wk.attempts)
		}
	}
	return workers, runs
}

// checkEvacuations logs when starts stop because the evacuations are not known well enough, and when they go on.
func (dr *Director) checkEvacuations(now time.Time) {
	ev := dr.op.Evacuator
	if ev == nil {
		return
	}
	su := &dr.evacuationSuspension
	if dr.knowsEvacuations(now) {
		if su.logged {
			dr.log(logger.EvacuationViewRecovered, "Suspended", now.Sub(su.since).String(), "ViewAge", ev.Status(now).Age.String())
		}
		su.since, su.logged = time.Time{}, false
		return
	}
	if su.since.IsZero() {
		su.since = now
	}
	// Placement begins with the first listing, which usually arrives before the stored jobs are loaded.
	if su.logged || !ev.Listed() && now.Sub(dr.termStart) <= ev.MaxAge() {
		return
	}
	if ok, omitted := su.lines.Take(1, now); ok {
		su.logged = true
		dr.log(logger.EvacuationViewOutdated, "ViewAge", ev.Status(now).Age.String(), "MaxAge", ev.MaxAge().String(), "Listed", ev.Listed(), "StartsQueued", dr.startsInFlight, "Omitted", omitted)
	}
}

// evacuationSuspension is the time in which no starts are sent because the evacuations are not known well enough.
type evacuationSuspension struct {
	// since is when it began, zero if starts may be sent. logged is set once the log says so.
	since  time.Time
	logged bool
	lines  reporter.LineBudget
}

// publishEvacuations publishes the gauges.
func (dr *Director) publishEvacuations(now time.Time) {
	if dr.op.Evacuator == nil {
		return
	}
	st := dr.op.Evacuator.Status(now)
	workers, runs := dr.countEvacuated()
	dr.op.Meter.Set(meter.DataCentresEvacuated, int64(st.DataCentres))
	dr.op.Meter.Set(meter.EvacuatedWorkers, int64(workers))
	dr.op.Meter.Set(meter.EvacuatedRuns, int64(runs))
	dr.op.Meter.Set(meter.EvacuationViewAge, st.Age.Milliseconds())
	toMove := 0
	for _, ep := range dr.evacuationProgress() {
		toMove += ep.ToMove
	}
	dr.op.Meter.Set(meter.EvacuationRunsToMove, int64(toMove))
	dr.op.Meter.Set(meter.EvacuationMovesUnderWay, int64(len(dr.relocation.moves)))
}

// evacuatedWorkers returns some workers of each pool that would accept tasks if their data centre were not evacuated.
func (rd *round) evacuatedWorkers() []*worker {
	if rd.evacuatedListed {
		return rd.evacuated
	}
	rd.evacuatedListed = true
	if ev := rd.dr.op.Evacuator; ev == nil || ev.Status(rd.now).DataCentres == 0 {
		return nil
	}
	listed := map[modeler.PoolName]int{}
	for _, wk := range rd.dr.orderedWorkers() {
		if pool := wk.info.Pool; listed[pool] < maxEvacuatedExamined && rd.dr.evacuated(wk) && rd.dr.open(wk, rd.now) {
			rd.evacuated = append(rd.evacuated, wk)
			listed[pool]++
		}
	}
	return rd.evacuated
}

// fitsEvacuated reports whether a task that found no worker would fit on one in an evacuated data centre.
func (rd *round) fitsEvacuated(dm *placer.Demand) bool {
	needs := placer.Reservation(dm.Needs, dm.BestEffort)
	return slices.ContainsFunc(rd.evacuatedWorkers(), func(wk *worker) bool {
		return wk.info.Pool == rd.pool && needs.Fits(wk.free) && placer.Matches(dm, &wk.info)
	})
}
