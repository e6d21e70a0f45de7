package director

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/currantrouter/currantrouter/internal/job/modeler"
	"github.com/currantrouter/currantrouter/internal/job/placer"
	"github.com/currantrouter/currantrouter/internal/telemetry/logger"
)

// Policy is the service that decides on which workers the tasks of a step may run. It answers
// slowly, and takes longer the more workers it is asked about.
type Policy interface {
	// Permit returns permissions for those of the workers that may run the step.
	Permit(ctx context.Context, step modeler.StepID, workers []modeler.WorkerID) ([]modeler.Permit, error)
}

const (
	// maxAskedWorkers bounds the workers of one request for a task, as the answer takes longer with each. Those for a gang ask
	// about askedPerMissing times the permits that it lacks, up to maxAskedForGang workers.
	maxAskedWorkers = 30
	maxAskedForGang = 100
	askedPerMissing = 2
	// permitMargin is the remaining lifetime of a permit below which no start is sent with it.
	permitMargin = 300 * time.Millisecond
	// permitTimeout is the timeout of a request, in addition to the time that the queue's policy
	// gives for an answer.
	permitTimeout = 2 * time.Second
	// permitRetryPause is the pause after a failed request.
	permitRetryPause = 250 * time.Millisecond
	// maxReservationRequests bounds the requests in progress that ask about workers without capacity. The service answers one
	// request at a time, and those for tasks that could start now come first.
	maxReservationRequests = 1
)

// permits holds the known permissions of one step.
type permits struct {
	// granted holds the permits by worker, denied the workers that will never get one with their incarnations. A later
	// incarnation may be of another kind.
	granted map[modeler.WorkerID]permit
	denied  map[modeler.WorkerID]int64
	// requesting is set while a request is in progress, failed if the last one brought no usable ticket, and forReservation if the
	// one in progress counts in Director.reservationRequests.
	requesting, failed, forReservation bool
	// notBefore delays the next request after a failed one.
	notBefore time.Time
}

// permit is a permission to run a step on one worker.
type permit struct {
	ticket string
	// incarnation is that of the worker for which the permit holds.
	incarnation int64
	expiresAt   time.Time
}

// policyAnswer is what the policy service has said of a step on a worker. It does not change during a life of the worker, and
// outlasts the ticket of a permit.
type policyAnswer int

const (
	notAsked policyAnswer = iota
	deniedByPolicy
	permittedByPolicy
)

// answer returns what the policy service has said of the present incarnation of a worker.
func (pm *permits) answer(wk *worker) policyAnswer {
	if granted, ok := pm.granted[wk.info.ID]; ok && granted.incarnation == wk.incarnation {
		return permittedByPolicy
	}
	if incarnation, ok := pm.denied[wk.info.ID]; ok && incarnation == wk.incarnation {
		return deniedByPolicy
	}
	return notAsked
}

// hasTicket reports whether a start on a worker may be sent with a ticket that lasts.
func (pm *permits) hasTicket(wk *worker, now time.Time) bool {
	return pm.answer(wk) == permittedByPolicy && now.Add(permitMargin).Before(pm.granted[wk.info.ID].expiresAt)
}

// policyPermits returns the permits of a step, or nil if it needs none.
func (rd *round) policyPermits(sp *step) *permits {
	if rd.dr.op.Policy == nil || rd.dr.policy(sp.occ.job) == nil {
		return nil
	}
	if sp.permits == nil {
		sp.permits = &permits{granted: map[modeler.WorkerID]permit{}, denied: map[modeler.WorkerID]int64{}}
	}
	return sp.permits
}

// mayRequest reports whether a request for permits may begin.
func (pm *permits) mayRequest(now time.Time) bool { return !pm.requesting && !now.Before(pm.notBefore) }

// excludeUnpermitted returns the candidates with those excluded on which the step may not run, in
// the same order. If too few permitted workers are feasible for the tasks that start together, it requests permits for others.
func (rd *round) excludeUnpermitted(sp *step, dm *placer.Demand, cands []placer.Candidate) []placer.Candidate {
	pm := rd.policyPermits(sp)
	if pm == nil {
		return cands
	}
	permitted := slices.Clone(cands)
	// missing is the number of tasks for which no permitted worker has a place.
	missing := sp.placedTogether()
	var toAsk []modeler.WorkerID
	for ix, wk := range rd.workers {
		slots := sp.slots(dm, &cands[ix])
		switch {
		case pm.hasTicket(wk, rd.now):
			missing -= slots
			continue
		case slots > 0 && pm.answer(wk) != deniedByPolicy:
			toAsk = append(toAsk, wk.info.ID)
		}
		permitted[ix].Excluded = true
	}
	if missing > 0 && len(toAsk) > 0 && pm.mayRequest(rd.now) {
		limit := maxAskedWorkers
		if sp.spec.Gang {
			limit = int(min(max(askedPerMissing*missing, maxAskedWorkers), maxAskedForGang))
		}
		rd.dr.requestPermits(sp, toAsk[:min(len(toAsk), limit)])
	}
	return permitted
}

// slots returns how many of the tasks that start together fit on a worker.
func (sp *step) slots(dm *placer.Demand, cd *placer.Candidate) int64 {
	switch {
	case sp.spec.Gang:
		return gangSlots(sp, dm, cd)
	case placer.Feasible(dm, cd):
		return 1
	}
	return 0
}

// requestForReservation asks the policy service about workers, given by their indices, that have no capacity for a task yet.
// It prefers those with the most free processors.
func (rd *round) requestForReservation(sp *step, indices []int) {
	dr, pm := rd.dr, rd.policyPermits(sp)
	if len(indices) == 0 || dr.reservationRequests >= maxReservationRequests || !pm.mayRequest(rd.now) {
		return
	}
	slices.SortStableFunc(indices, func(one, two int) int {
		return cmp.Compare(rd.workers[two].free.MilliCores, rd.workers[one].free.MilliCores)
	})
	var toAsk []modeler.WorkerID
	for _, ix := range indices[:min(len(indices), maxAskedWorkers)] {
		toAsk = append(toAsk, rd.workers[ix].info.ID)
	}
	dr.reservationRequests++
	pm.forReservation = true
	dr.requestPermits(sp, toAsk)
}

// requestPermits asks the policy service about workers, in a goroutine. The service answers one
// request of a host at a time.
func (dr *Director) requestPermits(sp *step, ids []modeler.WorkerID) {
	po := dr.policy(sp.occ.job)
	sp.permits.requesting = true
	// The service answers slowly: a worker may have restarted by then.
	incarnations := make(map[modeler.WorkerID]int64, len(ids))
	for _, id := range ids {
		incarnations[id] = dr.workers[id].incarnation
	}
	id := modeler.StepID{Job: sp.occ.job.ID, Occurrence: sp.occ.index, Step: sp.index}
	timeout := permitTimeout + po.DecisionTime + time.Duration(len(ids))*po.TimePerWorker
	dr.startGoroutine(func(ctx context.Context) {
		select {
		case dr.policySlot <- struct{}{}:
		case <-ctx.Done():
			return
		}
		began := time.Now()
		actx, cancel := context.WithTimeout(ctx, timeout)
		list, err := dr.op.Policy.Permit(actx, id, ids)
		cancel()
		<-dr.policySlot
		dr.mu.Lock()
		defer dr.mu.Unlock()
		sp.permits.requesting, sp.permits.failed = false, err != nil
		if sp.permits.forReservation {
			sp.permits.forReservation = false
			dr.reservationRequests--
		}
		if err != nil {
			sp.permits.notBefore = time.Now().Add(permitRetryPause)
			dr.log(logger.PermitsNotGranted, "Step", id.String(), "Workers", len(ids), "Error", err.Error())
			return
		}
		dr.log(logger.PermitsGranted, "Step", id.String(), "Asked", len(ids), "Granted", len(list), "Took", time.Since(began).String())
		for _, asked := range ids {
			if !slices.ContainsFunc(list, func(pm modeler.Permit) bool { return pm.Worker == asked }) {
				sp.permits.denied[asked] = incarnations[asked]
			}
		}
		// An answer that permits no worker is usable: the next request asks about others.
		usable := len(list) == 0
		for _, pm := range list {
			// An answer without a lifetime leaves it to the queue's policy.
			ttl := cmp.Or(pm.TTL, po.PermitTTL)
			if incarnation, ok := incarnations[pm.Worker]; ok {
				sp.permits.granted[pm.Worker] = permit{pm.Ticket, incarnation, began.Add(ttl)}
				usable = usable || ttl > permitMargin
			}
		}
		if !usable {
			sp.permits.failed = true
			sp.permits.notBefore = time.Now().Add(permitRetryPause)
		}
		dr.wakeDispatch()
	})
}

// ticket returns the ticket of the permit for a worker, empty for none.
func (sp *step) ticket(id modeler.WorkerID) string {
	if sp.permits == nil {
		return ""
	}
	return sp.permits.granted[id].ticket
}

// deletePermit deletes the permit for a worker that has refused it.
func (sp *step) deletePermit(id modeler.WorkerID) {
	if sp.permits != nil {
		delete(sp.permits.granted, id)
	}
}
