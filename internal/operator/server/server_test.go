package server_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"

	"github.com/currantrouter/currantrouter/internal/fleet/modeler"
	"github.com/currantrouter/currantrouter/internal/hours/publisher"
	"github.com/currantrouter/currantrouter/internal/operator/auditor"
	"github.com/currantrouter/currantrouter/internal/operator/authorizer"
	"github.com/currantrouter/currantrouter/internal/operator/server"
	"github.com/currantrouter/currantrouter/internal/plan/importer"
	"github.com/currantrouter/currantrouter/internal/provider/storer"
	"github.com/currantrouter/currantrouter/internal/telemetry/meter"
)

// fakeBackends implements all backends. It records the calls and returns err.
type fakeBackends struct {
	err   error
	calls []string
	// during, if set, runs within each call.
	during func(ctx context.Context)
}

func (fb *fakeBackends) call(ctx context.Context, format string, args ...any) error {
	fb.calls = append(fb.calls, fmt.Sprintf(format, args...))
	if fb.during != nil {
		fb.during(ctx)
	}
	return fb.err
}

func (fb *fakeBackends) Import(ctx context.Context, sheet []byte, op importer.Options) (importer.Result, error) {
	return importer.Result{Day: "2026-03-29", Before: 4, After: 5}, fb.call(ctx, "Import %d %v %d", len(sheet), op.DryRun, op.Expected)
}

func (fb *fakeBackends) Plan(ctx context.Context, day string) (*importer.Plan, int64, error) {
	return &importer.Plan{Day: day}, 5, fb.call(ctx, "Plan %s", day)
}

func (fb *fakeBackends) Jobs(ctx context.Context, qr server.JobQuery) (server.Jobs, error) {
	return server.Jobs{}, fb.call(ctx, "Jobs %+v", qr)
}

func (fb *fakeBackends) Tasks(ctx context.Context, qr server.TaskQuery) (server.Tasks, error) {
	return server.Tasks{}, fb.call(ctx, "Tasks %+v", qr)
}

func (fb *fakeBackends) Explain(ctx context.Context, job string, task int) (server.Explanation, error) {
	return server.Explanation{}, fb.call(ctx, "Explain %s %d", job, task)
}

func (fb *fakeBackends) Cancel(ctx context.Context, sl server.JobSelector) (int, error) {
	return 2, fb.call(ctx, "Cancel %s", sl)
}

func (fb *fakeBackends) Hosts(ctx context.Context) ([]server.Host, error) {
	return nil, fb.call(ctx, "Hosts")
}

func (fb *fakeBackends) Runners(ctx context.Context) ([]server.Runner, error) {
	return nil, fb.call(ctx, "Runners")
}

func (fb *fakeBackends) Drain(ctx context.Context, dr server.Drain) error {
	return fb.call(ctx, "Drain %s %s %v", dr.Kind, dr.Name, dr.Undo)
}

func (fb *fakeBackends) Resolve(ctx context.Context, rs server.Resolution) error {
	return fb.call(ctx, "Resolve %s %d %v", rs.Job, rs.Task, rs.RunAgain)
}

func (fb *fakeBackends) DeclareWorkerGone(ctx context.Context, wg server.WorkerGone) error {
	return fb.call(ctx, "WorkerGone %s", wg.Worker)
}

func (fb *fakeBackends) Page(ctx context.Context, day string) (*publisher.Page, error) {
	return &publisher.Page{Day: day}, fb.call(ctx, "Page %s", day)
}

func (fb *fakeBackends) Today() string { return "2026-03-29" }

func (fb *fakeBackends) Get(ctx context.Context, rev modeler.Revision) (server.Document, error) {
	return server.Document{Revision: rev}, fb.call(ctx, "Get %d", rev)
}

func (fb *fakeBackends) Check(ctx context.Context, text []byte) (server.Findings, error) {
	return nil, fb.call(ctx, "Check %s", text)
}

func (fb *fakeBackends) Put(ctx context.Context, text []byte, expected modeler.Revision) (modeler.Revision, error) {
	return expected + 1, fb.call(ctx, "Put %s %d", text, expected)
}

func (fb *fakeBackends) History(ctx context.Context) ([]server.ConfigurationChange, error) {
	return nil, fb.call(ctx, "History")
}

func (fb *fakeBackends) Status(ctx context.Context) (server.ConfigurationStatus, error) {
	return server.ConfigurationStatus{}, fb.call(ctx, "Status")
}

// Identify takes the operator's role from the header Role.
func (fb *fakeBackends) Identify(rq *http.Request) (authorizer.Operator, error) {
	op := authorizer.Operator{Name: "awa", From: netip.MustParseAddr("192.0.2.7")}
	op.Role = map[string]authorizer.Role{"Read": authorizer.Read, "Plan": authorizer.Plan, "Administer": authorizer.Administer}[rq.Header.Get("Role")]
	if op.Role == 0 {
		return op, authorizer.ErrNoRole
	}
	return op, nil
}

// fakeStore stores the audit trail in memory. Writes fail with err if it is set.
type fakeStore struct {
	mu      sync.Mutex
	entries map[string]storer.Entry
	err     error
}

func (fs *fakeStore) Get(context.Context, string) (storer.Entry, error) {
	return storer.Entry{}, storer.ErrUnavailable
}

func (fs *fakeStore) Put(_ context.Context, key string, value []byte, _ int64) (int64, error) {
	fs.mu.Lock()
	defer fs.mu.Unlock()
	if fs.err == nil {
		fs.entries[key] = storer.Entry{Key: key, Value: value, Revision: 1}
	}
	return 1, fs.err
}

func (fs *fakeStore) Delete(context.Context, string, int64) error { return nil }

func (fs *fakeStore) List(_ context.Context, prefix, after string, _ int) ([]storer.Entry, error) {
	fs.mu.Lock()
	defer fs.mu.Unlock()
	var ents []storer.Entry
	for _, key := range slices.Sorted(maps.Keys(fs.entries)) {
		if strings.HasPrefix(key, prefix) && key > after {
			ents = append(ents, fs.entries[key])
		}
	}
	return ents, nil
}

// fixture is a server with fake backends, a fake store and a running auditor.
type fixture struct {
	*fakeBackends
	*server.Server
	trail *fakeStore
	audit *auditor.Auditor
	ready error
}

// withServer runs a test of a server in a synctest bubble.
func withServer(t *testing.T, run func(t *testing.T, fx *fixture)) {
	synctest.Test(t, func(t *testing.T) {
		fx := &fixture{fakeBackends: &fakeBackends{}, trail: &fakeStore{entries: map[string]storer.Entry{}}}
		fx.audit = auditor.New("entry-1", "a", fx.trail, logr.Discard(), meter.New(nil))
		ctx, stop := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { fx.audit.Run(ctx); close(done) }()
		fx.Server = server.New(server.Backends{
			Plans: fx, Batch: fx, Fleet: fx, Hours: fx, Audit: fx.audit, Configurations: fx, Statements: fx, Ready: func() error { return fx.ready },
		}, fx, logr.Discard(), meter.New(nil))
		defer func() { stop(); <-done }()
		run(t, fx)
	})
}

func (fx *fixture) send(t *testing.T, role, method, target, body string) (int, server.Rejection) {
	t.Helper()
	rq := httptest.NewRequestWithContext(t.Context(), method, target, strings.NewReader(body))
	rq.Header.Set("Role", role)
	rec := httptest.NewRecorder()
	fx.ServeHTTP(rec, rq)
	var rj server.Rejection
	if rec.Code != http.StatusOK {
		qt.Assert(t, json.Unmarshal(rec.Body.Bytes(), &rj), qt.IsNil, qt.Commentf("%s", rec.Body))
		qt.Check(t, rj.Code != "" && rj.Message != "", qt.IsTrue)
	}
	return rec.Code, rj
}

// assertTrail compares the records of the audit trail with want, the oldest first.
func (fx *fixture) assertTrail(t *testing.T, want ...string) {
	t.Helper()
	rcs, err := fx.audit.Search(t.Context(), auditor.Query{})
	qt.Assert(t, err, qt.IsNil)
	var got []string
	for _, rc := range slices.Backward(rcs) {
		got = append(got, fmt.Sprintf("%s %s %s %d-%d %s", rc.Who, rc.Action, rc.Subject, rc.Before, rc.After, rc.Result))
	}
	qt.Check(t, got, qt.DeepEquals, want)
}

const (
	cancelBody = `{"Jobs":["2026-03-29/nightly"],"Reason":"wrong recipe"}`
	drainBody  = `{"Kind":"Host","Name":"entry-1","Reason":"replaced"}`
)

// routes lists every request with the role that it needs, the backend call that it makes, and, for
// a command, the action, subject and revisions of its audit record.
var routes = []struct {
	method, target, body string
	needed               authorizer.Role
	call                 string
	action               string
}{
	{"GET", "/v1/plans/2026-03-29", "", authorizer.Read, "Plan 2026-03-29", ""},
	{"GET", "/v1/jobs?Team=Fournil&Limit=5", "", authorizer.Read, "Jobs {Day: Team:Fournil State: After: Limit:5}", ""},
	{"GET", "/v1/tasks?Job=a/b", "", authorizer.Read, "Tasks {Job:a/b State: Worker: After: Limit:1000}", ""},
	{"GET", "/v1/explain?Job=a/b&Task=3", "", authorizer.Read, "Explain a/b 3", ""},
	{"GET", "/v1/hosts", "", authorizer.Read, "Hosts", ""},
	{"GET", "/v1/runners", "", authorizer.Read, "Runners", ""},
	{"GET", "/v1/hours", "", authorizer.Read, "Page 2026-03-29", ""},
	{"GET", "/v1/hours/2026-03-28", "", authorizer.Read, "Page 2026-03-28", ""},
	{"GET", "/v1/config", "", authorizer.Read, "Get 0", ""},
	{"GET", "/v1/config/history", "", authorizer.Read, "History", ""},
	{"GET", "/v1/config/history/7", "", authorizer.Read, "Get 7", ""},
	{"GET", "/v1/config/status", "", authorizer.Read, "Status", ""},
	{"POST", "/v1/config/check", "text", authorizer.Read, "Check text", ""},
	{"POST", "/v1/plans?DryRun=true", "sheet", authorizer.Plan, "Import 5 true -1", ""},
	{"POST", "/v1/plans?Expected=4", "sheet", authorizer.Plan, "Import 5 false 4", "ImportPlan Plan 2026-03-29 4-5"},
	{"POST", "/v1/cancel", cancelBody, authorizer.Plan, "Cancel 2026-03-29/nightly", "CancelJobs 2026-03-29/nightly 0-0"},
	{"POST", "/v1/drain", drainBody, authorizer.Administer, "Drain Host entry-1 false", "Drain Host entry-1 0-0"},
	{"POST", "/v1/tasks/resolve", `{"Job":"a/b","Task":3,"RunAgain":true,"Reason":"x"}`, authorizer.Administer, "Resolve a/b 3 true", "ResolveTask Task a/b 3, run again 0-0"},
	{"POST", "/v1/workers/gone", `{"Worker":"oven","Reason":"x"}`, authorizer.Administer, "WorkerGone oven", "DeclareWorkerGone Worker oven 0-0"},
	{"PUT", "/v1/config?Expected=6", "text", authorizer.Administer, "Put text 6", "PutConfiguration Configuration 6-7"},
}

// Guards against a request that an operator with too low a role can make, that is passed to the
// backend with wrong arguments, or that changes something without an audit record.
func TestRoutes(t *testing.T) {
	for _, rt := range routes {
		for _, role := range []authorizer.Role{authorizer.Read, authorizer.Plan, authorizer.Administer} {
			t.Run(fmt.Sprintf("%s %s as %s", rt.method, rt.target, role), func(t *testing.T) {
				withServer(t, func(t *testing.T, fx *fixture) {
					status, rj := fx.send(t, role.String(), rt.method, rt.target, rt.body)
					if role < rt.needed {
						qt.Check(t, status, qt.Equals, http.StatusForbidden)
						qt.Check(t, rj.Code, qt.Equals, "RoleTooLow")
						qt.Check(t, fx.calls, qt.HasLen, 0)
						return
					}
					qt.Check(t, status, qt.Equals, http.StatusOK, qt.Commentf("%v", rj))
					qt.Check(t, fx.calls, qt.DeepEquals, []string{rt.call})
					if rt.action == "" {
						fx.assertTrail(t)
						return
					}
					rcs, err := fx.audit.Search(t.Context(), auditor.Query{})
					qt.Assert(t, err, qt.IsNil)
					qt.Assert(t, rcs, qt.HasLen, 2)
					last := rcs[0]
					qt.Check(t, fmt.Sprintf("%s %s %d-%d", last.Action, last.Subject, last.Before, last.After), qt.Equals, rt.action)
					qt.Check(t, last.Result, qt.Equals, auditor.Accepted)
					qt.Check(t, rcs[1].Result, qt.Equals, auditor.Begun)
					qt.Check(t, rcs[1].ID, qt.Equals, last.ID)
				})
			})
		}
	}
}

// Guards against an error that is answered with the wrong status or code, recorded with the wrong
// result, or that discloses the text of an internal error.
func TestFailures(t *testing.T) {
	const put = "awa PutConfiguration Configuration "
	begun := put + "0-0 Begun"
	for name, tc := range map[string]struct {
		err    error
		status int
		code   string
		result auditor.Result
	}{
		"conflict":           {fmt.Errorf("put: %w", storer.ErrConflict), 409, "Conflict", auditor.Refused},
		"store unavailable":  {storer.ErrUnavailable, 503, "StoreUnavailable", auditor.Refused},
		"result unknown":     {storer.ErrResultUnknown, 504, "ResultUnknown", auditor.Undetermined},
		"deadline exceeded":  {context.DeadlineExceeded, 504, "ResultUnknown", auditor.Undetermined},
		"not found":          {server.ErrNotFound, 404, "NotFound", auditor.Refused},
		"leader unreachable": {server.ErrLeaderUnreachable, 503, "LeaderUnreachable", auditor.Refused},
		"refused":            {server.Findings{{Title: "unknown key", Line: 3}}, 422, "ConfigurationRefused", auditor.Refused},
		"sheet":              {importer.Faults{{Title: "day", Line: 2}}, 422, "SheetRefused", auditor.Refused},
		"older sheet":        {importer.ErrOlder, 409, "OlderSheet", auditor.Refused},
		"plan changed":       {importer.ErrPlanChanged, 409, "PlanChanged", auditor.Refused},
		"any other":          {errors.New("secret detail"), 500, "Internal", auditor.Undetermined},
	} {
		t.Run(name, func(t *testing.T) {
			withServer(t, func(t *testing.T, fx *fixture) {
				fx.err = tc.err
				status, rj := fx.send(t, "Administer", "PUT", "/v1/config?Expected=6", "text")
				qt.Check(t, status, qt.Equals, tc.status)
				qt.Check(t, rj.Code, qt.Equals, tc.code)
				qt.Check(t, strings.Contains(rj.Message, "secret"), qt.IsFalse)
				qt.Check(t, len(rj.Faults)+len(rj.Findings) == 1, qt.Equals, tc.status == 422)
				fx.assertTrail(t, begun, put+"6-7 "+string(tc.result))
			})
		})
	}
}

// Guards against a command that is executed although the record of its begin was not written.
func TestCommandWithoutRecord(t *testing.T) {
	for _, rt := range routes {
		if rt.action == "" {
			continue
		}
		t.Run(rt.target, func(t *testing.T) {
			withServer(t, func(t *testing.T, fx *fixture) {
				fx.trail.err = storer.ErrUnavailable
				status, rj := fx.send(t, "Administer", rt.method, rt.target, rt.body)
				qt.Check(t, status, qt.Equals, http.StatusServiceUnavailable)
				qt.Check(t, rj.Code, qt.Equals, "NotRecorded")
				qt.Check(t, fx.calls, qt.HasLen, 0)
			})
		})
	}
}

// Guards against invalid requests that are executed, and against refused commands without an audit
// record.
func TestBadRequests(t *testing.T) {
	for name, tc := range map[string]struct {
		role, method, target, body string
		status                     int
		code                       string
		trail                      int
	}{
		"no role":               {"", "GET", "/v1/hosts", "", 403, "NoRole", 0},
		"no role for a command": {"", "POST", "/v1/drain", drainBody, 403, "NoRole", 1},
		"role too low":          {"Plan", "POST", "/v1/drain", drainBody, 403, "RoleTooLow", 1},
		"no such path":          {"Read", "GET", "/v2/hosts", "", 404, "NotFound", 0},
		"wrong method":          {"Read", "DELETE", "/v1/hosts", "", 400, "BadRequest", 0},
		"long query":            {"Read", "GET", "/v1/jobs?Team=" + strings.Repeat("x", 5000), "", 400, "BadRequest", 0},
		"limit":                 {"Read", "GET", "/v1/jobs?Limit=100000", "", 400, "BadRequest", 0},
		"time":                  {"Read", "GET", "/v1/audit?Since=yesterday", "", 400, "BadRequest", 0},
		"revision":              {"Read", "GET", "/v1/config/history/-1", "", 400, "BadRequest", 0},
		"no revision":           {"Administer", "PUT", "/v1/config", "text", 400, "BadRequest", 1},
		"large body":            {"Administer", "POST", "/v1/drain", strings.Repeat("x", 65<<10), 413, "TooLarge", 1},
		"large document":        {"Administer", "PUT", "/v1/config?Expected=6", strings.Repeat("x", storer.MaxValueBytes+1), 413, "TooLarge", 1},
		"misspelled field":      {"Administer", "POST", "/v1/drain", `{"Kind":"Host","Nmae":"entry-1"}`, 400, "BadRequest", 1},
		"kind of drain":         {"Administer", "POST", "/v1/drain", `{"Kind":"Rack","Name":"r","Reason":"x"}`, 400, "BadRequest", 1},
		"no reason":             {"Administer", "POST", "/v1/drain", `{"Kind":"Host","Name":"entry-1"}`, 400, "BadRequest", 1},
		"resolve nothing":       {"Administer", "POST", "/v1/tasks/resolve", `{"Task":3,"Reason":"x"}`, 400, "BadRequest", 1},
		"no worker":             {"Administer", "POST", "/v1/workers/gone", `{"Reason":"x"}`, 400, "BadRequest", 1},
		"cancel everything":     {"Plan", "POST", "/v1/cancel", `{"Reason":"x"}`, 400, "BadRequest", 1},
		"cancel two ways":       {"Plan", "POST", "/v1/cancel", `{"Jobs":["a"],"Team":"b","Reason":"x"}`, 400, "BadRequest", 1},
	} {
		t.Run(name, func(t *testing.T) {
			withServer(t, func(t *testing.T, fx *fixture) {
				status, rj := fx.send(t, tc.role, tc.method, tc.target, tc.body)
				qt.Check(t, status, qt.Equals, tc.status)
				qt.Check(t, rj.Code, qt.Equals, tc.code)
				qt.Check(t, fx.calls, qt.HasLen, 0)
				rcs, err := fx.audit.Search(t.Context(), auditor.Query{Result: auditor.Refused})
				qt.Assert(t, err, qt.IsNil)
				qt.Check(t, rcs, qt.HasLen, tc.trail)
			})
		})
	}
}

// Guards against a web page that sends commands through an operator's browser (CSRF).
func TestCrossOrigin(t *testing.T) {
	withServer(t, func(t *testing.T, fx *fixture) {
		rq := httptest.NewRequest("POST", "/v1/drain", strings.NewReader(drainBody))
		rq.Header.Set("Role", "Administer")
		rq.Header.Set("Sec-Fetch-Site", "cross-site")
		rec := httptest.NewRecorder()
		fx.ServeHTTP(rec, rq)
		qt.Check(t, rec.Code, qt.Equals, http.StatusForbidden)
		qt.Check(t, fx.calls, qt.HasLen, 0)
	})
}

// Guards against a command that is aborted when its client disconnects, and against a command with
// an unknown effect (panic, timeout) that is recorded as refused.
func TestInterruptedCommands(t *testing.T) {
	t.Run("operator disconnects", func(t *testing.T) {
		withServer(t, func(t *testing.T, fx *fixture) {
			ctx, stop := context.WithCancel(t.Context())
			fx.during = func(ctx context.Context) {
				stop()
				time.Sleep(time.Second)
				qt.Check(t, ctx.Err(), qt.IsNil)
			}
			rq := httptest.NewRequestWithContext(ctx, "POST", "/v1/drain", strings.NewReader(drainBody))
			rq.Header.Set("Role", "Administer")
			fx.ServeHTTP(httptest.NewRecorder(), rq)
			fx.assertTrail(t, "awa Drain Host entry-1 0-0 Begun", "awa Drain Host entry-1 0-0 Accepted")
		})
	})
	t.Run("panic", func(t *testing.T) {
		withServer(t, func(t *testing.T, fx *fixture) {
			fx.during = func(context.Context) { panic("fault") }
			status, rj := fx.send(t, "Administer", "POST", "/v1/drain", drainBody)
			qt.Check(t, status, qt.Equals, http.StatusInternalServerError)
			qt.Check(t, rj.Code, qt.Equals, "Internal")
			fx.assertTrail(t, "awa Drain Host entry-1 0-0 Begun", "awa Drain Host entry-1 0-0 Undetermined")
		})
	})
	t.Run("backend that does not answer", func(t *testing.T) {
		withServer(t, func(t *testing.T, fx *fixture) {
			fx.during = func(ctx context.Context) { <-ctx.Done(); fx.err = ctx.Err() }
			status, _ := fx.send(t, "Administer", "POST", "/v1/drain", drainBody)
			qt.Check(t, status, qt.Equals, http.StatusGatewayTimeout)
			fx.assertTrail(t, "awa Drain Host entry-1 0-0 Begun", "awa Drain Host entry-1 0-0 Undetermined")
		})
	})
}

// Guards against health checks that need a client role: the platform that probes them has none.
func TestHealth(t *testing.T) {
	withServer(t, func(t *testing.T, fx *fixture) {
		for _, tc := range []struct {
			ready  error
			target string
			status int
		}{{nil, "/healthz", 200}, {nil, "/readyz", 200}, {errors.New("no configuration"), "/healthz", 200}, {errors.New("no configuration"), "/readyz", 503}} {
			fx.ready = tc.ready
			status, _ := fx.send(t, "", "GET", tc.target, "")
			qt.Check(t, status, qt.Equals, tc.status, qt.Commentf(tc.target))
		}
		status, _ := fx.send(t, "Read", "GET", "/debug/vars", "")
		qt.Check(t, status, qt.Equals, 200)
	})
}
