package director_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/currantrouter/currantrouter/internal/job/director"
	"github.com/currantrouter/currantrouter/internal/job/modeler"
)

// rejectingWorkers is a client of workers that reject the starts for which reject returns an error.
type rejectingWorkers struct {
	director.WorkerClient
	reject   func(*modeler.StartRequest) error
	rejected atomic.Int64
}

func (rw *rejectingWorkers) Start(ctx context.Context, wk *modeler.Worker, req *modeler.StartRequest) (time.Duration, error) {
	if err := rw.reject(req); err != nil {
		rw.rejected.Add(1)
		return 0, err
	}
	return rw.WorkerClient.Start(ctx, wk, req)
}

// ticketsOnly rejects starts without a ticket.
func ticketsOnly(req *modeler.StartRequest) error {
	if req.Ticket == "" {
		return modeler.ErrPermitRefused
	}
	return nil
}

// Guards against steps of an accepted job that never start, as the policy of its queue is gone with the queue, and against
// their starts without a ticket, hundreds a second.
func TestRemovedQueueKeepsPolicy(t *testing.T) {
	policy := &modeler.Policy{DecisionTime: 50 * time.Millisecond, PermitTTL: 3 * time.Second}
	for name, tc := range map[string]struct {
		accepted *modeler.Policy
		takeover bool
		// queues are those of the configuration after the change.
		queues   func([]modeler.Queue) []modeler.Queue
		rejected int64
	}{
		"queue removed":                       {policy, false, func(list []modeler.Queue) []modeler.Queue { return list[1:] }, 0},
		"queue removed, takeover":             {policy, true, func(list []modeler.Queue) []modeler.Queue { return list[1:] }, 0},
		"queue loses its policy":              {policy, false, withoutPolicy, 0},
		"accepted by an earlier version":      {nil, false, func(list []modeler.Queue) []modeler.Queue { return list[1:] }, 1},
		"by an earlier version, and takeover": {nil, true, func(list []modeler.Queue) []modeler.Queue { return list[1:] }, 1},
	} {
		t.Run(name, func(t *testing.T) {
			run(t, 4, func(fl *fleet, tm *term) {
				tm.end()
				rw := &rejectingWorkers{WorkerClient: fl.workers, reject: ticketsOnly}
				fl.client, fl.policy, fl.config.Queues[0].Policy = rw, &ticketPolicy{ttl: 3 * time.Second}, policy
				*tm = *fl.startTerm(0)
				sleep(time.Second)
				jb := simpleJob("j1", "urgent", 1, cores(1000))
				jb.Steps = append(jb.Steps, modeler.Step{Count: 1, Needs: cores(1000), Estimate: time.Second, After: []int{0}})
				jb.Policy = tc.accepted
				tm.submit(jb)
				sleep(500 * time.Millisecond)
				changed := *fl.config
				changed.Revision++
				changed.Queues = tc.queues(fl.config.Queues)
				fl.setConfiguration(&changed)
				if tc.takeover {
					tm.nextTerm(testLimits.Lease)
				}
				sleep(4 * time.Second)
				tm.assertState("j1", modeler.Completed)
				qt.Check(t, rw.rejected.Load(), qt.Equals, tc.rejected)
			})
		})
	}
}

// withoutPolicy returns a copy of queues, the first of which has no policy.
func withoutPolicy(list []modeler.Queue) []modeler.Queue {
	changed := append([]modeler.Queue(nil), list...)
	changed[0].Policy = nil
	return changed
}

// Guards against a start that workers reject for good and that is repeated at the full rate.
func TestRejectedStartsArePaused(t *testing.T) {
	for name, err := range map[string]error{
		"no ticket": modeler.ErrPermitRefused, "no capacity": modeler.ErrNoCapacity, "stale run": modeler.ErrStaleRun, "invalid": modeler.ErrRefused, "late": modeler.ErrDeadlinePassed,
	} {
		t.Run(name, func(t *testing.T) {
			run(t, 8, func(fl *fleet, tm *term) {
				tm.end()
				rw := &rejectingWorkers{WorkerClient: fl.workers, reject: func(*modeler.StartRequest) error { return err }}
				fl.client = rw
				*tm = *fl.startTerm(0)
				tm.submit(simpleJob("j1", "urgent", 1, cores(1000)))
				sleep(10 * time.Second)
				qt.Check(t, rw.rejected.Load() <= 12, qt.IsTrue, qt.Commentf("%d starts", rw.rejected.Load()))
			})
		})
	}
}
