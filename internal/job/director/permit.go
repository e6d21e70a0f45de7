package director

import (
	"context"
	"slices"
	"time"

	"github.com/currantrouter/currantrouter/internal/job/modeler"
	"github.com/currantrouter/currantrouter/internal/job/placer"
	"github.com/currantrouter/currantrouter/internal/telemetry/logger"
)

// Policy is the service that knows on which workers the tasks of a step may run. It answers slowly,
// and longer the more workers it is asked about.
type Policy interface {
	// Permit returns the permissions for those of the workers that may run the step.
	Permit(ctx context.Context, step modeler.StepID, workers []modeler.WorkerID) ([]modeler.Permit, error)
}

const (
	// askedWorkers bounds the workers of one question.
	askedWorkers = 30
	// permitMargin is the rest of a permission's life with which no start is sent any more.
	permitMargin = 300 * time.Millisecond
	// permitTimeout bounds a question beyond the time that the queue's policy names.
	permitTimeout = 2 * time.Second
	// permitRetry is the pause after a question without answer.
	permitRetry = 250 * time.Millisecond
)

// permits is what is known of the permissions of one step.
type permits struct {
	// granted holds the permissions, denied the workers that will never get one.
	granted map[modeler.WorkerID]permit
	denied  map[modeler.WorkerID]bool
	asking  bool
	// notBefore delays the next question after one without answer.
	notBefore time.Time
}

type permit struct {
	ticket string
	// born is the life of the worker for which the permission holds.
	born  int64
	until time.Time
}

// permitted keeps only the workers on which the step may run. It asks for more when none of them has
// room. The result is the candidates with the others made useless, in their positions.
func (rd *round) permitted(sp *step, qu *modeler.Queue, dm *placer.Demand, cands []placer.Candidate) []placer.Candidate {
	if qu.Policy == nil || rd.dr.op.Policy == nil {
		return cands
	}
	if sp.permits == nil {
		sp.permits = &permits{granted: map[modeler.WorkerID]permit{}, denied: map[modeler.WorkerID]bool{}}
	}
	open := slices.Clone(cands)
	room := false
	var unknown []modeler.WorkerID
	for ix, wk := range rd.workers {
		pm, ok := sp.permits.granted[wk.info.ID]
		valid := ok && pm.born == wk.born && rd.now.Add(permitMargin).Before(pm.until)
		fits := placer.Feasible(dm, &cands[ix])
		switch {
		case valid:
			room = room || fits
			continue
		case fits && !sp.permits.denied[wk.info.ID]:
			unknown = append(unknown, wk.info.ID)
		}
		open[ix].Excluded = true
	}
	if !room && len(unknown) > 0 && !sp.permits.asking && !rd.now.Before(sp.permits.notBefore) {
		rd.dr.ask(sp, qu.Policy, unknown[:min(len(unknown), askedWorkers)])
	}
	return open
}

// ask asks the policy service about workers. The service answers one question of a host at a time.
func (dr *Director) ask(sp *step, po *modeler.Policy, ids []modeler.WorkerID) {
	sp.permits.asking = true
	id := modeler.StepID{Job: sp.occ.job.ID, Occurrence: sp.occ.no, Step: sp.no}
	limit := permitTimeout + po.DecisionTime + time.Duration(len(ids))*po.TimePerWorker
	dr.goRun(func(ctx context.Context) {
		dr.asking.Lock()
		began := time.Now()
		actx, cancel := context.WithTimeout(ctx, limit)
		list, err := dr.op.Policy.Permit(actx, id, ids)
		cancel()
		dr.asking.Unlock()
		dr.mu.Lock()
		defer dr.mu.Unlock()
		sp.permits.asking = false
		if err != nil {
			sp.permits.notBefore = time.Now().Add(permitRetry)
			dr.log(logger.PermitsNotGranted, "Step", id.String(), "Workers", len(ids), "Error", err.Error())
			return
		}
		dr.log(logger.PermitsGranted, "Step", id.String(), "Asked", len(ids), "Granted", len(list), "Took", time.Since(began).String())
		for _, asked := range ids {
			if !slices.ContainsFunc(list, func(pm modeler.Permit) bool { return pm.Worker == asked }) {
				sp.permits.denied[asked] = true
			}
		}
		for _, pm := range list {
			if wk := dr.workers[pm.Worker]; wk != nil {
				sp.permits.granted[pm.Worker] = permit{pm.Ticket, wk.born, began.Add(pm.TTL)}
			}
		}
		dr.kick()
	})
}

// ticket returns the permission of a step on a worker, empty for none.
func (sp *step) ticket(id modeler.WorkerID) string {
	if sp.permits == nil {
		return ""
	}
	return sp.permits.granted[id].ticket
}

// forgetPermit drops a permission that a worker has refused.
func (sp *step) forgetPermit(id modeler.WorkerID) {
	if sp.permits != nil {
		delete(sp.permits.granted, id)
	}
}
