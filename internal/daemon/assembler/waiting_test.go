package assembler

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/currantrouter/currantrouter/internal/job/director"
	"github.com/currantrouter/currantrouter/internal/job/elector"
	jobleader "github.com/currantrouter/currantrouter/internal/job/leader"
	"github.com/currantrouter/currantrouter/internal/job/modeler"
	"github.com/currantrouter/currantrouter/internal/job/subscriber"
	"github.com/currantrouter/currantrouter/internal/telemetry/meter"
)

// Guards against a list without a bound, and against errors that do not tell an operator whom to ask.
func TestWaitingList(t *testing.T) {
	dr := newExplainer().director()
	wl := &waitingLister{director: func() *director.Director { return dr }, leader: func() (ld elector.Leader) { ld.Host = "edge-2"; return ld }}
	rq := httptest.NewRequest(http.MethodGet, "/v1/waiting", nil)
	t.Run("operators' listener, not the leader", func(t *testing.T) {
		jh := &jobHost{meter: meter.New(nil), subscriber: new(subscriber.Subscriber), leader: new(jobleader.Leader), elector: new(elector.Elector)}
		assertExplanationError(t, jh.operatorsHandler(), rq, 503, "NotLeader", "no leader is known")
	})
	t.Run("not the leader", func(t *testing.T) {
		former := &waitingLister{director: func() *director.Director { return nil }, leader: wl.leader}
		assertExplanationError(t, former, rq, 503, "NotLeader", "edge-2")
	})
	t.Run("not loaded, then too soon", func(t *testing.T) {
		assertExplanationError(t, wl, rq, 503, "NotLoaded", "not loaded")
		assertExplanationError(t, wl, rq, 503, "Busy", "one list")
	})
	t.Run("list", func(t *testing.T) {
		wl = &waitingLister{director: wl.director}
		dr.FinishLoading()
		dr.AddJob(&modeler.Job{ID: "j", Queue: "urgent", Steps: []modeler.Step{{Count: 2, Needs: modeler.Resources{MilliCores: 1}}}}, false)
		rc := httptest.NewRecorder()
		wl.ServeHTTP(rc, rq)
		var wg director.Waiting
		qt.Assert(t, json.Unmarshal(rc.Body.Bytes(), &wg), qt.IsNil)
		qt.Assert(t, wg.Reasons, qt.HasLen, 1)
		qt.Check(t, wg.Reasons[0].Tasks, qt.Equals, 2)
	})
}
