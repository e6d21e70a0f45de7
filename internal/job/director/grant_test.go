package director

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"

	"github.com/currantrouter/currantrouter/internal/job/keeper"
	"github.com/currantrouter/currantrouter/internal/job/modeler"
	"github.com/currantrouter/currantrouter/internal/state/journaler"
	"github.com/currantrouter/currantrouter/internal/telemetry/meter"
)

// slowReleases is a journal in which records of released leases take a second.
type slowReleases struct {
	Journal
	// last is the last durable fact.
	last keeper.Fact
}

func (sr *slowReleases) Append(_ context.Context, recs ...journaler.Record) error {
	ft, err := keeper.ParseFact(recs[0])
	if ft.LeaseReleased != "" {
		time.Sleep(time.Second)
	}
	sr.last = ft
	return err
}

// Guards against a journal that says of a worker with a lease that it holds none, because the worker
// was registered again while the release of its lease was being recorded.
func TestReleaseBeforeGrant(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		jn := new(slowReleases)
		dr := New(Options{
			Epoch: 1, Journal: jn, Configuration: func() *modeler.Configuration { return nil },
			Log: logr.Discard(), Meter: meter.New(nil),
		})
		info := modeler.Worker{ID: "w"}
		dr.setWorker(&info)
		wk := dr.workers["w"]
		wk.grantDurable, wk.answered, wk.reported, wk.registered = true, true, true, false
		// A worker that is still needed answers its first renewal, and is granted a lease then.
		renew := func(wk *worker) {
			if !dr.ensureGrant(t.Context(), wk) {
				return
			}
			dr.mu.Lock()
			wk.answered = true
			dr.mu.Unlock()
			dr.ensureGrant(t.Context(), wk)
		}
		go renew(wk)
		synctest.Wait()
		dr.UpdateWorker(info)
		if again := dr.workers["w"]; again != wk {
			go renew(again)
		}
		time.Sleep(2 * time.Second)
		synctest.Wait()
		qt.Assert(t, jn.last.LeaseGranted, qt.IsNotNil)
		qt.Check(t, jn.last.LeaseGranted.ID, qt.Equals, info.ID)
		qt.Check(t, dr.workers["w"].grantDurable, qt.IsTrue)
	})
}
