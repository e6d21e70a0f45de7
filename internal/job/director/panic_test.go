package director_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/currantrouter/currantrouter/internal/job/director"
	"github.com/currantrouter/currantrouter/internal/job/modeler"
)

// panickingClient panics as it reads the report of one worker.
type panickingClient struct {
	director.WorkerClient
	worker modeler.WorkerID
}

func (pc *panickingClient) Renew(ctx context.Context, wk *modeler.Worker, req *modeler.RenewRequest) (modeler.Report, error) {
	if wk.ID == pc.worker {
		panic("defect")
	}
	return pc.WorkerClient.Renew(ctx, wk, req)
}

// Guards against a defect that ends the process of the leader, with the requests of callers that it answers. Only the
// term ends.
func TestPanicEndsTheTermAlone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fl := newFleet(t, 3)
		fl.client = &panickingClient{WorkerClient: fl.workers, worker: "worker-01"}
		tm := fl.startTerm(0)
		defer tm.end()
		time.Sleep(5 * time.Second)
		qt.Assert(t, tm.Wait(), qt.ErrorIs, director.ErrTermOver)
		fl.client = nil
		next := fl.startTerm(0)
		defer next.end()
		next.submit(simpleJob("job", "urgent", 3, cores(1000)))
		next.awaitAll(20 * time.Second)
		next.assertState("job", modeler.Completed)
	})
}
