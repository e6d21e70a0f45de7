package assembler

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"testing/iotest"
	"testing/synctest"

	qt "github.com/frankban/quicktest"
	"github.com/go-chi/chi/v5"
	"github.com/go-logr/logr/funcr"

	"github.com/currantrouter/currantrouter/internal/config/loader"
	fleet "github.com/currantrouter/currantrouter/internal/fleet/modeler"
	"github.com/currantrouter/currantrouter/internal/job/director"
	"github.com/currantrouter/currantrouter/internal/job/elector"
	jobleader "github.com/currantrouter/currantrouter/internal/job/leader"
	"github.com/currantrouter/currantrouter/internal/job/modeler"
	"github.com/currantrouter/currantrouter/internal/job/subscriber"
	"github.com/currantrouter/currantrouter/internal/provider/emulator"
	"github.com/currantrouter/currantrouter/internal/provider/storer"
	"github.com/currantrouter/currantrouter/internal/telemetry/meter"
)

// fakeReporter reports as a director does.
type fakeReporter struct {
	report *director.EvacuationReport
	err    error
	calls  int
}

func (fr *fakeReporter) ReportEvacuations() (*director.EvacuationReport, error) {
	fr.calls++
	return fr.report, fr.err
}

// evacuationHost is a host with a store that has workers in the data centres east and a/b.
type evacuationHost struct {
	*evacuationServer
	store *emulator.Store
	lines []string
	// remote is the address of the client.
	remote string
}

func newEvacuationHost(t *testing.T) *evacuationHost {
	eh := &evacuationHost{store: emulator.NewStore(new(emulator.Faults)), remote: "127.0.0.1:1234"}
	for key, dc := range map[string]string{"Workers/1": "east", "Workers/2": "a/b", "Workers/3": ""} {
		_, err := eh.store.Put(t.Context(), key, []byte(dc), 0)
		qt.Assert(t, err, qt.IsNil)
	}
	eh.evacuationServer = &evacuationServer{
		enabled: func() bool { return true }, reporter: func() evacuationReporter { return nil }, leader: func() elector.Leader { return elector.Leader{} },
		requests: &jobleader.EvacuationRequests{
			Store: eh.store,
			Evacuations: jobleader.Evacuations{Encode: func(dc fleet.DataCentreName) (string, error) {
				return "Evacuate/" + string(dc), modeler.CheckName("data centre", string(dc))
			}},
			Registry: jobleader.Registry{Prefix: "Workers/", Decode: func(en storer.Entry) (modeler.Worker, error) {
				return modeler.Worker{DataCentre: fleet.DataCentreName(en.Value)}, nil
			}},
		},
		log: funcr.New(func(_, args string) { eh.lines = append(eh.lines, args) }, funcr.Options{}), meter: meter.New(nil),
	}
	return eh
}

// send sends a request and decodes the answer, which has fields of both kinds.
func (eh *evacuationHost) send(t *testing.T, method, name string) (status int, answer struct{ Outcome, Code, Message string }) {
	t.Helper()
	mux := chi.NewRouter()
	mux.Mount(evacuationsPath, eh.handler())
	rc := httptest.NewRecorder()
	// The body must not be read.
	rq := httptest.NewRequest(method, evacuationsPath+name, iotest.ErrReader(http.ErrHandlerTimeout))
	rq.RemoteAddr = eh.remote
	mux.ServeHTTP(rc, rq.WithContext(context.WithValue(rq.Context(), http.LocalAddrContextKey, &net.TCPAddr{IP: net.IPv4(10, 0, 0, 1), Port: 7480})))
	qt.Assert(t, json.Unmarshal(rc.Body.Bytes(), &answer), qt.IsNil, qt.Commentf("%s", rc.Body))
	return rc.Code, answer
}

// Guards against commands that change something else than they say, are not idempotent, hide whether they have changed
// something, or are missing in the log.
func TestEvacuationCommands(t *testing.T) {
	put := emulator.Switch{Part: emulator.PartStore, Operation: "Put"}
	remove := emulator.Switch{Part: emulator.PartStore, Operation: "Delete"}
	get := emulator.Switch{Part: emulator.PartStore, Operation: "Get"}
	with := func(sw emulator.Switch, ft emulator.Fault, skip, count int) emulator.Switch {
		sw.Fault, sw.Skip, sw.Count = ft, skip, count
		return sw
	}
	for _, tc := range []struct {
		title, method, name string
		faults              []emulator.Switch
		// exists is set if east is evacuated before.
		exists         bool
		status         int
		result, text   string
		stored, counts bool
	}{
		{title: "request", method: "PUT", name: "/east", status: 200, result: "Requested", stored: true, counts: true},
		{title: "request again", method: "PUT", name: "/east", exists: true, status: 200, result: "AlreadyRequested", stored: true},
		{title: "name with a slash", method: "PUT", name: "/a%2Fb", status: 200, result: "Requested", counts: true},
		{title: "no workers", method: "PUT", name: "/eas", status: 404, result: "NoWorkers", text: `"eas"; workers are in ["a/b" "east"]`},
		{title: "no name", method: "PUT", name: "/", status: 422, result: "InvalidDataCentre", text: "no name"},
		{title: "long name", method: "PUT", name: "/" + strings.Repeat("a", 201), status: 422, result: "InvalidDataCentre", text: "201 bytes"},
		{title: "not printable", method: "DELETE", name: "/a%0Ab", status: 422, result: "InvalidDataCentre"},
		{title: "request, answer lost", method: "PUT", name: "/east", faults: []emulator.Switch{with(put, emulator.AnswerLost, 0, 1)}, status: 200, result: "Requested", stored: true, counts: true},
		{title: "request lost", method: "PUT", name: "/east", faults: []emulator.Switch{with(put, emulator.RequestLost, 0, 1)}, status: 200, result: "Requested", stored: true, counts: true},
		{
			title: "request unknown", method: "PUT", name: "/east", faults: []emulator.Switch{with(put, emulator.AnswerLost, 0, 0), with(get, emulator.Unavailable, 1, 0)},
			status: 504, result: "ResultUnknown", text: "list the evacuations", stored: true,
		},
		{title: "request, store away", method: "PUT", name: "/east", faults: []emulator.Switch{with(get, emulator.Unavailable, 0, 0)}, status: 503, result: "StoreUnavailable", text: "nothing was changed"},
		{title: "request, write refused", method: "PUT", name: "/east", faults: []emulator.Switch{with(put, emulator.Unavailable, 0, 0)}, status: 503, result: "StoreUnavailable", text: "nothing was changed"},
		{title: "withdrawal", method: "DELETE", name: "/east", exists: true, status: 200, result: "Withdrawn", counts: true},
		{title: "withdrawal again", method: "DELETE", name: "/east", status: 200, result: "NotRequested"},
		{title: "withdrawal, answer lost", method: "DELETE", name: "/east", exists: true, faults: []emulator.Switch{with(remove, emulator.AnswerLost, 0, 1)}, status: 200, result: "Withdrawn", counts: true},
		{title: "withdrawal lost", method: "DELETE", name: "/east", exists: true, faults: []emulator.Switch{with(remove, emulator.RequestLost, 0, 1)}, status: 200, result: "Withdrawn", counts: true},
		{
			title: "withdrawal unknown", method: "DELETE", name: "/east", exists: true, faults: []emulator.Switch{with(remove, emulator.RequestLost, 0, 0)},
			status: 504, result: "ResultUnknown", text: "list the evacuations", stored: true,
		},
		{title: "withdrawal, store away", method: "DELETE", name: "/east", exists: true, faults: []emulator.Switch{with(remove, emulator.Unavailable, 0, 0)}, status: 503, result: "StoreUnavailable", text: "nothing was changed", stored: true},
	} {
		t.Run(tc.title, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				eh := newEvacuationHost(t)
				if tc.exists {
					_, err := eh.store.Put(t.Context(), "Evacuate/east", nil, 0)
					qt.Assert(t, err, qt.IsNil)
				}
				eh.store.Faults().Set(tc.faults...)
				status, as := eh.send(t, tc.method, tc.name)
				eh.store.Faults().Clear()
				qt.Check(t, status, qt.Equals, tc.status, qt.Commentf("%+v", as))
				qt.Check(t, as.Outcome+as.Code, qt.Equals, tc.result)
				qt.Check(t, as.Message, qt.Contains, tc.text)
				_, err := eh.store.Get(t.Context(), "Evacuate/east")
				qt.Check(t, err == nil, qt.Equals, tc.stored, qt.Commentf("%v", err))
				qt.Check(t, eh.meter.Value(meter.EvacuationsRequested)+eh.meter.Value(meter.EvacuationsWithdrawn) == 1, qt.Equals, tc.counts)
				qt.Assert(t, eh.lines, qt.HasLen, 1)
				qt.Check(t, eh.lines[0], qt.Matches, `.*"Event"=735 .*"Remote"="127.0.0.1:1234" "Result"="`+tc.result+`".*`)
				qt.Check(t, len(eh.lines[0]) < 800, qt.IsTrue)
			})
		})
	}
}

// Guards against commands at a host that does not follow them, or several at once.
func TestEvacuationCommandsRefused(t *testing.T) {
	eh := newEvacuationHost(t)
	eh.commanding.Lock()
	status, as := eh.send(t, http.MethodPut, "/east")
	qt.Check(t, status, qt.Equals, 503)
	qt.Check(t, as.Code, qt.Equals, "Busy")
	eh.commanding.Unlock()
	eh.enabled = func() bool { return false }
	for _, method := range []string{http.MethodPut, http.MethodDelete} {
		status, as = eh.send(t, method, "/east")
		qt.Check(t, status, qt.Equals, 422)
		qt.Check(t, as.Code, qt.Equals, "NotEnabled")
	}
	qt.Check(t, eh.store.Calls()["Get"], qt.Equals, int64(0))
	jh := &jobHost{settings: new(loader.Settings), meter: meter.New(nil), subscriber: new(subscriber.Subscriber)}
	assertExplanationError(t, jh.operatorsHandler(), httptest.NewRequest(http.MethodGet, evacuationsPath, nil), 422, "NotEnabled", "EvacuationLimit")
}

// Guards against data centres that anyone who reaches the operators' interface can evacuate.
func TestEvacuationCommandsOfOtherHosts(t *testing.T) {
	for remote, status := range map[string]int{"10.0.0.2:1234": 403, "": 403, "10.0.0.1:1234": 200, "[::ffff:10.0.0.1]:1234": 200, "[::1]:1234": 200} {
		eh := newEvacuationHost(t)
		eh.remote = remote
		got, _ := eh.send(t, http.MethodPut, "/east")
		qt.Check(t, got, qt.Equals, status, qt.Commentf("%q", remote))
		_, err := eh.store.Get(t.Context(), "Evacuate/east")
		qt.Check(t, err == nil, qt.Equals, status == 200)
	}
}

// Guards against a host that does not name the leader, and against reports without a bound or of an earlier term.
func TestEvacuationList(t *testing.T) {
	eh := newEvacuationHost(t)
	get := httptest.NewRequest(http.MethodGet, "/", nil)
	assertExplanationError(t, eh.handler(), get, 503, "NotLeader", "no leader is known")
	eh.leader = func() (ld elector.Leader) {
		ld.Host, ld.Address = "edge-2", netip.MustParseAddrPort("10.0.0.2:7000")
		return ld
	}
	assertExplanationError(t, eh.handler(), get, 503, "NotLeader", "edge-2, whose address for peers is 10.0.0.2:7000")
	want := director.EvacuationReport{ViewAge: "1s", Hindrances: []director.Hindrance{director.HinderedByView}, Evacuations: []director.EvacuationProgress{{DataCentre: "east", Runs: 3}}}
	first, second := &fakeReporter{report: &want}, &fakeReporter{err: director.ErrEvacuationsNotRead}
	eh.reporter = func() evacuationReporter { return first }
	for range 3 {
		rc := httptest.NewRecorder()
		eh.handler().ServeHTTP(rc, get)
		var got director.EvacuationReport
		qt.Assert(t, json.Unmarshal(rc.Body.Bytes(), &got), qt.IsNil)
		qt.Check(t, got, qt.DeepEquals, want)
	}
	qt.Check(t, first.calls < 3, qt.IsTrue)
	eh.reporter = func() evacuationReporter { return second }
	assertExplanationError(t, eh.handler(), get, 422, "NotEnabled", "EvacuationLimit")
}
