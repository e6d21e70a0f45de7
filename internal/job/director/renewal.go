package director

import (
	"time"

	"github.com/currantrouter/currantrouter/internal/telemetry/logger"
	"github.com/currantrouter/currantrouter/internal/telemetry/meter"
)

const (
	// maxUnreportedHold is how long rows of a report wait before the log mentions them once a second.
	maxUnreportedHold = time.Second
)

// renewalPhase is what the renewLoop of a worker is doing. Its text is a value of the log.
type renewalPhase string

const (
	recordingGrant  renewalPhase = "RecordingLease"
	renewalsPaused  renewalPhase = "RequestsSuspended"
	awaitingReport  renewalPhase = "AwaitingReport"
	awaitingLoad    renewalPhase = "AwaitingStoredJobs"
	recordingReport renewalPhase = "RecordingEnds"
)

// renewalState is what is logged of the renewals of a worker.
type renewalState struct {
	phase renewalPhase
	// extendedAt is when a renewal that extends the lease was last sent, or when the renewLoop began.
	extendedAt time.Time
	// heldSince is since when rows of the worker's reports have waited for their jobs to be read, zero if
	// none waits.
	heldSince time.Time
}

// enterPhase notes what the renewLoop of a worker does next.
func (dr *Director) enterPhase(wk *worker, phase renewalPhase) {
	dr.mu.Lock()
	defer dr.mu.Unlock()
	wk.renewal.phase = phase
}

// noteHeldRows notes whether rows of a worker's reports wait for their jobs to be read.
func (dr *Director) noteHeldRows(wk *worker, now time.Time) {
	held := len(wk.deferredRuns)+len(wk.deferredEnds) > 0
	switch {
	case held && wk.renewal.heldSince.IsZero():
		wk.renewal.heldSince = now
	case !held && !wk.renewal.heldSince.IsZero():
		dr.op.Meter.Observe(meter.TimeReportsHeld, now.Sub(wk.renewal.heldSince))
		wk.renewal.heldSince = time.Time{}
	}
}

// markUnreachable notes that the last renewal brought no report that could be handled.
func (dr *Director) markUnreachable(wk *worker, now time.Time) {
	if !wk.unreachable {
		wk.unreachableSince = now
	}
	wk.unreachable = true
}

// lateRenewals counts the workers whose leases were not extended for too long in one phase.
type lateRenewals struct {
	workers int
	latest  *worker
}

// reportLateRenewals logs once for each phase which renewLoops are held up, and which reports.
func (dr *Director) reportLateRenewals(now time.Time) {
	limit := max(dr.op.Limits.Lease/2, maxIdleWait+renewTimeoutMargin)
	late := map[renewalPhase]*lateRenewals{}
	var longestHeld *worker
	held := 0
	for _, wk := range dr.workers {
		rn := &wk.renewal
		if !rn.heldSince.IsZero() && now.Sub(rn.heldSince) >= maxUnreportedHold {
			held++
			if longestHeld == nil || rn.heldSince.Before(longestHeld.renewal.heldSince) {
				longestHeld = wk
			}
		}
		phase, ok := dr.heldUpIn(wk)
		if !ok || now.Sub(rn.extendedAt) <= limit {
			continue
		}
		lr := late[phase]
		if lr == nil {
			lr = &lateRenewals{latest: wk}
			late[phase] = lr
		}
		lr.workers++
		if rn.extendedAt.Before(lr.latest.renewal.extendedAt) {
			lr.latest = wk
		}
	}
	dr.op.Meter.Set(meter.ReportsHeldUp, int64(held))
	if held > 0 {
		dr.log(logger.ReportHeldUp, "Worker", longestHeld.info.ID, "Workers", held, "HeldFor", now.Sub(longestHeld.renewal.heldSince).String(),
			"WaitingRuns", len(longestHeld.deferredRuns), "WaitingEnds", len(longestHeld.deferredEnds))
	}
	for phase, lr := range late {
		wk := lr.latest
		dr.log(logger.RenewalsLate, "Phase", string(phase), "Workers", lr.workers, "Worker", wk.info.ID, "Late", now.Sub(wk.renewal.extendedAt).String(), "Runs", len(wk.attempts), "LeaseLeft", dr.leaseOver(wk, now).Sub(now).String())
	}
}

// heldUpIn returns the phase in which the renewLoop of a worker may be held up, or false for a worker
// that has no renewLoop or does not answer, of which WorkerUnreachable informs.
func (dr *Director) heldUpIn(wk *worker) (renewalPhase, bool) {
	switch {
	case !wk.renewing:
		return "", false
	case wk.renewal.phase == awaitingReport:
		return awaitingReport, wk.answered && !wk.unreachable
	}
	return wk.renewal.phase, true
}
