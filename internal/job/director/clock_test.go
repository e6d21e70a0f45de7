package director

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"

	"github.com/currantrouter/currantrouter/internal/job/modeler"
	"github.com/currantrouter/currantrouter/internal/telemetry/meter"
)

// Guards against leases that are too short because an answer of the worker was handled late.
func TestLeaseAfterDelayedHandling(t *testing.T) {
	const lease, clock, delay = 6 * time.Second, time.Minute, 3 * time.Second
	dr := New(Options{
		Epoch: 1, Configuration: func() *modeler.Configuration { return nil }, MaySendRequests: func() bool { return true },
		Limits: Limits{Lease: lease}, Log: logr.Discard(), Meter: meter.New(nil),
	})
	dr.setWorker(&modeler.Worker{ID: "w"})
	wk := dr.workers["w"]
	wk.grantDurable = true
	answeredAt := time.Now().Add(-delay)
	dr.noteAnswer(wk, dr.fence(wk), answeredAt.Add(-time.Millisecond), answeredAt, &modeler.Report{Clock: clock, Incarnation: 1})
	req, _, _ := dr.nextRenewal(wk)
	qt.Check(t, req.Deadline >= clock+lease+delay*9/10, qt.IsTrue, qt.Commentf("lease until %v", req.Deadline))
	qt.Check(t, req.Deadline <= clock+lease+delay+time.Second, qt.IsTrue, qt.Commentf("lease until %v", req.Deadline))
}
