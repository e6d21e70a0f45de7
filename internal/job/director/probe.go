package director

import (
	"context"
	"time"

	"github.com/currantrouter/currantrouter/internal/job/modeler"
	"github.com/currantrouter/currantrouter/internal/telemetry/meter"
)

// maxAnswerAge is how old the last answer of a worker may be when it gets the start of a task that ran before. Such a task may
// be down as its worker was cut off, others with it, and a start without an answer holds it up until the lease of the worker is
// over.
const maxAnswerAge = 250 * time.Millisecond

// probe asks a worker for an answer before the next queued start if that is the start of a task that ran before and the worker
// has not answered lately. A worker that does not answer is marked as unreachable, so that its queued starts go elsewhere.
func (dr *Director) probe(ctx context.Context, wk *worker) {
	dr.mu.Lock()
	due := len(wk.startQueue) > 0 && wk.startQueue[0].restarts && !wk.unreachable && time.Since(later(wk.clockAt, wk.answeredAt)) > maxAnswerAge && dr.op.MaySendRequests()
	req, info, incarnation := &modeler.RenewRequest{Fence: dr.fence(wk)}, wk.info, wk.incarnation
	dr.mu.Unlock()
	if !due {
		return
	}
	dr.op.Meter.Add(meter.WorkerProbes, 1)
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	sentAt := time.Now()
	// The report is dropped: reports are handled in the order of the renewals of renewLoop.
	rep, err := dr.op.WorkerClient.Renew(ctx, &info, req)
	dr.mu.Lock()
	answered := wk.clockAt.After(sentAt)
	dr.mu.Unlock()
	if err != nil && !answered {
		dr.renewalFailed(wk, req.Fence, err)
	}
	if err != nil {
		return
	}
	dr.mu.Lock()
	defer dr.mu.Unlock()
	if rep.Incarnation == incarnation && wk.incarnation == incarnation {
		wk.answeredAt = time.Now()
	}
}

// later returns the later of two times.
func later(one, two time.Time) time.Time {
	if two.After(one) {
		return two
	}
	return one
}
