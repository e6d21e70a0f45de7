package director

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"

	"github.com/currantrouter/currantrouter/internal/job/modeler"
	"github.com/currantrouter/currantrouter/internal/telemetry/meter"
)

// Guards against inherited tasks that start again while a worker has not yet listed their ends.
func TestAccountedAfterAllEnds(t *testing.T) {
	dr := New(Options{Epoch: 2, Configuration: func() *modeler.Configuration { return nil }, Limits: Limits{Lease: 6 * time.Second}, Log: logr.Discard(), Meter: meter.New(nil)})
	dr.setWorker(&modeler.Worker{ID: "w"})
	wk := dr.workers["w"]
	wk.unaccounted, wk.grantDurable, dr.unaccountedWorkers = true, true, 1
	report := func(moreEnds bool) {
		rep := &modeler.Report{Clock: time.Minute, Incarnation: 1, MoreEnds: moreEnds}
		sentAt := time.Now()
		qt.Assert(t, dr.noteAnswer(wk, dr.fence(wk), sentAt, time.Now(), rep), qt.IsTrue)
		dr.handleReport(wk, sentAt, rep)
	}
	report(true)
	qt.Check(t, dr.allAccounted, qt.IsFalse)
	report(false)
	qt.Check(t, dr.allAccounted, qt.IsTrue)
}
