package director

import (
	"time"

	"github.com/currantrouter/currantrouter/internal/telemetry/logger"
	"github.com/currantrouter/currantrouter/internal/telemetry/meter"
)

const (
	// maxUnreportedHold is how long a worker's report is held up before the log mentions it once a second.
	maxUnreportedHold = time.Second
	// maxHoldLines bounds the lines in a second on reports whose hold-up begins.
	maxHoldLines = 20
)

// renewalPhase is what the renewLoop of a worker is doing. Its text is a value of the log.
type renewalPhase string

const (
	recordingGrant  renewalPhase = "RecordingLease"
	renewalsPaused  renewalPhase = "RequestsSuspended"
	awaitingReport  renewalPhase = "AwaitingReport"
	awaitingLoad    renewalPhase = "AwaitingStoredJobs"
	loadingJobs     renewalPhase = "LoadingUnknownJobs"
	recordingReport renewalPhase = "RecordingEnds"
)

// renewalState is what is logged of the renewals of a worker.
type renewalState struct {
	phase renewalPhase
	// extendedAt is when a renewal that extends the lease was last sent, or when the renewLoop began.
	extendedAt time.Time
	// heldSince is when the report at hand was received if a job of it is unknown and has not been
	// loaded, zero otherwise. Further reports that replace it do not change it.
	heldSince time.Time
}

// enterPhase notes what the renewLoop of a worker does next.
func (dr *Director) enterPhase(wk *worker, phase renewalPhase) {
	dr.mu.Lock()
	defer dr.mu.Unlock()
	wk.renewal.phase = phase
}

// holdReport notes that jobs of a worker's report are unknown and are being loaded.
func (dr *Director) holdReport(wk *worker) {
	dr.mu.Lock()
	defer dr.mu.Unlock()
	wk.renewal.phase = loadingJobs
	if wk.renewal.heldSince.IsZero() {
		wk.renewal.heldSince = time.Now()
	}
}

// releaseReport notes that no report of the worker is held up.
func (dr *Director) releaseReport(wk *worker) {
	if wk.renewal.heldSince.IsZero() {
		return
	}
	dr.op.Meter.Observe(meter.TimeReportsHeld, time.Since(wk.renewal.heldSince))
	wk.renewal.heldSince = time.Time{}
}

// reportNotHandled logs that jobs of a worker's report could not be loaded. The worker then counts as
// unreachable until its next report.
func (dr *Director) reportNotHandled(wk *worker, err error) {
	dr.mu.Lock()
	defer dr.mu.Unlock()
	now := time.Now()
	if dr.ctx.Err() == nil && !wk.unreachable {
		if ok, omitted := dr.holdLines.take(maxHoldLines, now); ok {
			dr.logHeldReport(wk, now, "Error", err.Error(), "Omitted", omitted)
		}
	}
	dr.markUnreachable(wk, now)
}

func (dr *Director) logHeldReport(wk *worker, now time.Time, kv ...any) {
	dr.log(logger.ReportHeldUp, append([]any{"Worker", wk.info.ID, "HeldFor", now.Sub(wk.renewal.heldSince).String(), "Runs", len(wk.attempts), "LeaseLeft", dr.leaseOver(wk, now).Sub(now).String()}, kv...)...)
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
		dr.logHeldReport(longestHeld, now, "Workers", held)
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
	case !wk.renewal.heldSince.IsZero():
		return loadingJobs, true
	case wk.renewal.phase == awaitingReport:
		return awaitingReport, wk.answered && !wk.unreachable
	}
	return wk.renewal.phase, true
}
