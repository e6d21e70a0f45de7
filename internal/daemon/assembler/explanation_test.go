package assembler

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"testing/iotest"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"

	"github.com/currantrouter/currantrouter/internal/job/director"
	"github.com/currantrouter/currantrouter/internal/job/elector"
	"github.com/currantrouter/currantrouter/internal/job/modeler"
	"github.com/currantrouter/currantrouter/internal/job/subscriber"
	"github.com/currantrouter/currantrouter/internal/operator/server"
	"github.com/currantrouter/currantrouter/internal/telemetry/meter"
)

const explainedBody = `{"Steps":[{"Count":1,"Needs":{"MilliCores":100}}]}`

// newExplainer returns the handler of a leader without workers.
func newExplainer() *jobExplainer {
	cfg := &modeler.Configuration{Revision: 1, Queues: []modeler.Queue{{Name: "urgent", Host: "jobs.test", Prefix: "/urgent", Pool: "pool"}}}
	current := func() *modeler.Configuration { return cfg }
	dr := director.New(director.Options{Epoch: 1, Configuration: current, MaySendRequests: func() bool { return true }, Log: logr.Discard(), Meter: meter.New(nil)})
	return &jobExplainer{director: func() *director.Director { return dr }, leader: func() elector.Leader { return elector.Leader{} }, configuration: current}
}

// assertExplanationError checks the error answer to a request.
func assertExplanationError(t *testing.T, je http.Handler, rq *http.Request, status int, code, text string) {
	t.Helper()
	rc := httptest.NewRecorder()
	je.ServeHTTP(rc, rq)
	var re server.Rejection
	qt.Assert(t, json.Unmarshal(rc.Body.Bytes(), &re), qt.IsNil)
	qt.Check(t, rc.Code, qt.Equals, status)
	qt.Check(t, re.Code, qt.Equals, code)
	qt.Check(t, re.Message, qt.Contains, text)
}

// Guards against errors that do not tell an operator what to change, and against explanations without a bound.
func TestExplanationErrors(t *testing.T) {
	request := func(query, body string) *http.Request {
		return httptest.NewRequest(http.MethodPost, "/v1/explain-job?"+query, strings.NewReader(body))
	}
	t.Run("no configuration", func(t *testing.T) {
		je := newExplainer()
		je.configuration = func() *modeler.Configuration { return nil }
		assertExplanationError(t, je, request("Queue=urgent", explainedBody), 503, "NoConfiguration", "no configuration")
	})
	t.Run("operators' listener", func(t *testing.T) {
		jh := &jobHost{meter: meter.New(nil), subscriber: new(subscriber.Subscriber)}
		assertExplanationError(t, jh.operatorsHandler(), request("Queue=urgent", explainedBody), 503, "NoConfiguration", "no configuration")
	})
	t.Run("not the leader", func(t *testing.T) {
		je := newExplainer()
		je.director = func() *director.Director { return nil }
		assertExplanationError(t, je, request("Queue=urgent", explainedBody), 503, "NotLeader", "no leader is known")
		je.leader = func() (ld elector.Leader) {
			ld.Host, ld.Address = "edge-2", netip.MustParseAddrPort("10.0.0.2:7000")
			return ld
		}
		assertExplanationError(t, je, request("Queue=urgent", explainedBody), 503, "NotLeader", "edge-2, whose address for peers is 10.0.0.2:7000")
	})
	t.Run("no such queue", func(t *testing.T) {
		assertExplanationError(t, newExplainer(), request("Queue=other", explainedBody), 404, "NoSuchQueue", `"other"`)
		assertExplanationError(t, newExplainer(), request("Host=jobs.test&Path=/other", explainedBody), 404, "NoSuchQueue", `"/other"`)
	})
	t.Run("invalid job", func(t *testing.T) {
		assertExplanationError(t, newExplainer(), request("Queue=urgent", `[`), 422, "InvalidJob", "JSON")
		assertExplanationError(t, newExplainer(), request("Queue=urgent", `{}`), 422, "InvalidJob", "0 steps")
	})
	t.Run("incomplete body", func(t *testing.T) {
		rq := httptest.NewRequest(http.MethodPost, "/v1/explain-job?Queue=urgent", iotest.ErrReader(http.ErrHandlerTimeout))
		assertExplanationError(t, newExplainer(), rq, 400, "BodyIncomplete", "")
	})
	t.Run("not loaded, then too soon", func(t *testing.T) {
		je := newExplainer()
		assertExplanationError(t, je, request("Queue=urgent", explainedBody), 503, "NotLoaded", "not loaded")
		assertExplanationError(t, je, request("Queue=urgent", explainedBody), 503, "Busy", "one explanation")
	})
}

// Guards against a queue that is not found by its host and prefix, and an answer that cannot be decoded.
func TestExplanation(t *testing.T) {
	je := newExplainer()
	je.director().FinishLoading()
	rc := httptest.NewRecorder()
	je.ServeHTTP(rc, httptest.NewRequest(http.MethodPost, "/v1/explain-job?Host=jobs.test&Path=/urgent/x", strings.NewReader(explainedBody)))
	var ex director.JobExplanation
	qt.Assert(t, json.Unmarshal(rc.Body.Bytes(), &ex), qt.IsNil)
	qt.Check(t, rc.Code, qt.Equals, http.StatusOK)
	qt.Check(t, ex.Queue, qt.Equals, modeler.QueueName("urgent"))
	qt.Check(t, ex.Steps[0].Reason, qt.Equals, "NoWorkerOpen")
}
