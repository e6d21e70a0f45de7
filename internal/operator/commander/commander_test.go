package commander_test

import (
	"bytes"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"encoding/pem"
	"fmt"
	"io"
	"log"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/currantrouter/currantrouter/internal/fleet/modeler"
	"github.com/currantrouter/currantrouter/internal/hours/counter"
	"github.com/currantrouter/currantrouter/internal/hours/publisher"
	"github.com/currantrouter/currantrouter/internal/job/director"
	"github.com/currantrouter/currantrouter/internal/job/evacuator"
	"github.com/currantrouter/currantrouter/internal/operator/auditor"
	"github.com/currantrouter/currantrouter/internal/operator/commander"
	"github.com/currantrouter/currantrouter/internal/operator/server"
	"github.com/currantrouter/currantrouter/internal/plan/importer"
)

// stub is a fake host that records its requests.
type stub struct {
	*httptest.Server
	mu       sync.Mutex
	requests []string
}

func newStub(t *testing.T, handle func(wr http.ResponseWriter, rq *http.Request)) *stub {
	st := &stub{}
	st.Server = httptest.NewServer(http.HandlerFunc(func(wr http.ResponseWriter, rq *http.Request) {
		body, err := io.ReadAll(rq.Body)
		qt.Check(t, err, qt.IsNil)
		st.mu.Lock()
		defer st.mu.Unlock()
		st.requests = append(st.requests, strings.TrimSpace(fmt.Sprintf("%s %s %s", rq.Method, rq.URL.RequestURI(), body)))
		handle(wr, rq)
	}))
	t.Cleanup(st.Close)
	return st
}

func answer(t *testing.T, status int, body any) func(http.ResponseWriter, *http.Request) {
	return func(wr http.ResponseWriter, _ *http.Request) {
		wr.WriteHeader(status)
		qt.Check(t, json.NewEncoder(wr).Encode(body), qt.IsNil)
	}
}

// ctl runs the program against a host and returns its exit code and output.
func ctl(address string, args ...string) (code int, out, errOut string) {
	var outBuf, errBuf bytes.Buffer
	args = append([]string{"--insecure", "--address", address}, args...)
	code = commander.Main(args, &outBuf, &errBuf)
	return code, outBuf.String(), errBuf.String()
}

// sent returns the requests received so far.
func (st *stub) sent() []string {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.requests
}

func (st *stub) address() string { return strings.TrimPrefix(st.URL, "http://") }

// assertOneLine checks that standard error has one line after a failure and none after success.
func assertOneLine(t *testing.T, code int, errOut string) {
	t.Helper()
	want := 1
	if code == 0 {
		want = 0
	}
	qt.Check(t, strings.Count(errOut, "\n"), qt.Equals, want, qt.Commentf("%q", errOut))
}

func writeFile(t *testing.T, text string) string {
	t.Helper()
	name := filepath.Join(t.TempDir(), "file")
	qt.Assert(t, os.WriteFile(name, []byte(text), 0o600), qt.IsNil)
	return name
}

// commandLines lists every command with the request that it must send, an answer, and a text that
// its output must contain.
func commandLines(file string) []struct {
	args    []string
	request string
	answer  any
	text    string
} {
	type line = struct {
		args    []string
		request string
		answer  any
		text    string
	}
	task := server.Task{Job: "2026-03-29/nightly", Number: 3, State: "Waiting", Reason: "no room\nfor it"}
	hour := publisher.Hour{State: publisher.Down, Counts: counter.Counts{Refused: 9}, MissingHosts: 1, ExpectedHosts: 2}
	return []line{
		{[]string{"plan", "import", "--expected", "4", file}, "POST /v1/plans?Expected=4 text", importer.Result{Day: "2026-03-29", After: 5, Difference: importer.Difference{Dropped: []importer.Item{{Kind: "Job", Name: "nightly"}}}}, "Dropped"},
		{[]string{"plan", "import", "--dry-run", file}, "POST /v1/plans?DryRun=true text", importer.Result{Day: "2026-03-29"}, "not imported (dry run)"},
		{[]string{"plan", "show", "2026-03-29"}, "GET /v1/plans/2026-03-29", server.StoredPlan{Plan: &importer.Plan{TimeZone: "Europe/Oslo", Services: []importer.Service{{Name: "tidebook"}}}}, "tidebook"},
		{[]string{"jobs", "--team", "Fournil", "--limit", "7"}, "GET /v1/jobs?Limit=7&Team=Fournil", server.Jobs{Jobs: []server.Job{{ID: "2026-03-29/nightly", Tasks: map[string]int{"Running": 2, "Done": 1}}}}, "1 Done, 2 Running"},
		{[]string{"jobs", "cancel", "--reason", "wrong", "2026-03-29/nightly"}, `POST /v1/cancel {"Jobs":["2026-03-29/nightly"],"Day":"","Team":"","Reason":"wrong"}`, server.CancelResult{Jobs: 1}, "Cancelled"},
		{[]string{"tasks", "--job", "2026-03-29/nightly"}, "GET /v1/tasks?Job=2026-03-29%2Fnightly&Limit=1000", server.Tasks{Tasks: []server.Task{task}}, "no room for it"},
		{[]string{"waiting"}, "GET /v1/waiting", director.Waiting{Stalled: []director.StalledTask{{Task: "j.0.0.4"}}}, "j.0.0.4"},
		{[]string{"tasks", "resolve", "--run-again", "--reason", "x", "a/b", "3"}, `POST /v1/tasks/resolve {"Job":"a/b","Task":3,"RunAgain":true,"Reason":"x"}`, server.Resolution{Job: "a/b"}, "a/b"},
		{[]string{"tasks", "worker-gone", "--reason", "x", "oven"}, `POST /v1/workers/gone {"Worker":"oven","Reason":"x"}`, server.WorkerGone{Worker: "oven"}, "oven"},
		{[]string{"explain", "2026-03-29/nightly", "3"}, "GET /v1/explain?Job=2026-03-29%2Fnightly&Task=3", server.Explanation{Task: task, Reasons: []string{"every worker is full"}}, "- every worker is full"},
		{[]string{"evacuations"}, "GET /v1/evacuations", director.EvacuationReport{ViewAge: "1s", Evacuations: []director.EvacuationProgress{{DataCentre: "zone-1", LongRunningRuns: 17}}}, "17"},
		{[]string{"evacuate", "zone/1"}, "PUT /v1/evacuations/zone%2F1", evacuator.CommandResult{DataCentre: "zone/1", Outcome: evacuator.Requested}, "zone/1: evacuation requested"},
		{[]string{"evacuate", "--withdraw", "zone-1"}, "DELETE /v1/evacuations/zone-1", evacuator.CommandResult{DataCentre: "zone-1", Outcome: evacuator.NotRequested}, "no evacuation was requested"},
		{[]string{"hosts"}, "GET /v1/hosts", []server.Host{{Name: "entry-1", Leading: true}}, "entry-1"},
		{[]string{"runners"}, "GET /v1/runners", []server.Runner{{Name: "oven-1", Slots: 8}}, "oven-1"},
		{[]string{"hours", "2026-03-29"}, "GET /v1/hours/2026-03-29", publisher.Page{Services: []publisher.Service{{Name: "bakedesk", Hours: []publisher.Hour{hour}}}}, "1 of 2 hosts missing"},
		{[]string{"audit", "--who", "awa", "--since", "2026-03-29T05:30:00Z"}, "GET /v1/audit?Limit=1000&Since=2026-03-29T05%3A30%3A00Z&Who=awa", server.Records{Records: []auditor.Record{{Who: "awa", Action: "Drain"}}}, "Drain"},
		{[]string{"config", "get", "7"}, "GET /v1/config/history/7", server.Document{Revision: 7, Text: "[Limits]\n"}, "[Limits]"},
		{[]string{"config", "check", file}, "POST /v1/config/check text", server.CheckResult{Findings: server.Findings{{Title: "old key", Severity: "Warning"}}}, "old key"},
		{[]string{"config", "diff", file}, "GET /v1/config", server.Document{Text: "other\n"}, "-     1  other\n+     1  text"},
		{[]string{"config", "put", "--expected", "6", "--reason", "quota", file}, "PUT /v1/config?Expected=6&Reason=quota text", server.PutResult{Before: 6, After: 7}, "7"},
		{[]string{"config", "history"}, "GET /v1/config/history", []server.ConfigurationChange{{Revision: 7, Who: "awa"}}, "awa"},
		{[]string{"config", "status"}, "GET /v1/config/status", server.ConfigurationStatus{Revision: 7, Hosts: []server.HostRevision{{Host: "entry-1", Revision: 6}}}, "No"},
		{[]string{"drain", "--reason", "replaced", "Host", "entry-1"}, `POST /v1/drain {"Kind":"Host","Name":"entry-1","Undo":false,"Reason":"replaced"}`, server.Drain{Kind: "Host", Name: "entry-1"}, "entry-1"},
	}
}

// Guards against a command that sends the wrong request, does not print the answer, or prints
// invalid JSON with --json.
func TestCommands(t *testing.T) {
	for _, tc := range commandLines(writeFile(t, "text")) {
		t.Run(strings.Join(tc.args, " "), func(t *testing.T) {
			st := newStub(t, answer(t, http.StatusOK, tc.answer))
			code, out, errOut := ctl(st.address(), tc.args...)
			qt.Check(t, code, qt.Equals, 0, qt.Commentf("%s", errOut))
			qt.Check(t, st.sent(), qt.DeepEquals, []string{tc.request})
			qt.Check(t, strings.Contains(out, tc.text), qt.IsTrue, qt.Commentf("%s", out))
			code, out, _ = ctl(st.address(), append([]string{"--json"}, tc.args...)...)
			qt.Check(t, code, qt.Equals, 0)
			qt.Check(t, json.Valid([]byte(out)), qt.IsTrue, qt.Commentf("%s", out))
		})
	}
}

// Guards against wrong exit codes of any command, such as one that says that nothing was changed
// when the change may have taken effect.
func TestExitCodesOfEveryCommand(t *testing.T) {
	for _, tc := range commandLines(writeFile(t, "text")) {
		reads := strings.HasPrefix(tc.request, "GET")
		lost := commander.ExitResultUnknown
		late := commander.ExitResultUnknown
		if reads {
			lost, late = commander.ExitUnreachable, commander.ExitUnavailable
		}
		for name, fault := range map[string]struct {
			handle func(http.ResponseWriter, *http.Request)
			exit   commander.Exit
		}{
			"400":         {answer(t, 400, modeler.Failure{Code: "BadRequest"}), commander.ExitRefused},
			"403":         {answer(t, 403, modeler.Failure{Code: "RoleTooLow"}), commander.ExitNotAllowed},
			"404":         {answer(t, 404, modeler.Failure{Code: "NotFound"}), commander.ExitNotFound},
			"409":         {answer(t, 409, modeler.Failure{Code: "Conflict"}), commander.ExitConflict},
			"422":         {answer(t, 422, modeler.Failure{Code: "SheetRefused"}), commander.ExitRefused},
			"500":         {answer(t, 500, modeler.Failure{Code: "Internal"}), commander.ExitInternal},
			"503":         {answer(t, 503, modeler.Failure{Code: "StoreUnavailable"}), commander.ExitUnavailable},
			"504":         {answer(t, 504, modeler.Failure{Code: "ResultUnknown"}), late},
			"418":         {answer(t, 418, "tea"), commander.ExitInternal},
			"answer lost": {func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, lost},
			"not JSON":    {func(wr http.ResponseWriter, _ *http.Request) { _, _ = wr.Write([]byte("tea")) }, commander.ExitInternal},
		} {
			t.Run(tc.args[0]+" "+tc.args[1%len(tc.args)]+" "+name, func(t *testing.T) {
				st := newStub(t, fault.handle)
				code, _, errOut := ctl(st.address(), tc.args...)
				qt.Check(t, code, qt.Equals, fault.exit.Code, qt.Commentf("%s", errOut))
				qt.Check(t, st.sent(), qt.HasLen, 1)
				assertOneLine(t, code, errOut)
			})
		}
	}
}

// Guards against an invalid command line that sends a request or has another exit code than
// ExitUsage.
func TestUsage(t *testing.T) {
	file := writeFile(t, "text")
	st := newStub(t, answer(t, http.StatusOK, nil))
	for _, tc := range []struct {
		args []string
		exit commander.Exit
		text string
	}{
		{nil, commander.ExitUsage, ""},
		{[]string{"--help"}, commander.ExitDone, "10 Unavailable"},
		{[]string{"config", "put", "--help"}, commander.ExitDone, "--wait"},
		{[]string{"--version"}, commander.ExitDone, "currantctl "},
		{[]string{"nonsense"}, commander.ExitUsage, ""},
		{[]string{"plan"}, commander.ExitUsage, ""},
		{[]string{"plan", "import"}, commander.ExitUsage, ""},
		{[]string{"plan", "import", file + "missing"}, commander.ExitUsage, ""},
		{[]string{"plan", "checks"}, commander.ExitDone, "composed letters"},
		{[]string{"hosts", "--nonsense"}, commander.ExitUsage, ""},
		{[]string{"hosts", "extra"}, commander.ExitUsage, ""},
		{[]string{"drain", "Host", "entry-1"}, commander.ExitUsage, ""},
		{[]string{"evacuate"}, commander.ExitUsage, ""},
		{[]string{"evacuate", ""}, commander.ExitUsage, ""},
		{[]string{"evacuations", "--output", "yaml"}, commander.ExitUsage, ""},
		{[]string{"config", "put", file}, commander.ExitUsage, ""},
		{[]string{"tasks", "resolve", "--reason", "x", "a/b", "3"}, commander.ExitUsage, ""},
		{[]string{"audit", "--since", "yesterday"}, commander.ExitUsage, ""},
		{[]string{"audit", "--result", "Good"}, commander.ExitUsage, ""},
		{[]string{"--address", "localhost:1", "hosts"}, commander.ExitUsage, ""},
		{[]string{"--address", "192.0.2.1:1", "hosts"}, commander.ExitUsage, ""},
		{[]string{"completion", "bash"}, commander.ExitDone, "GO_FLAGS_COMPLETION"},
		{[]string{"completion", "fish"}, commander.ExitUsage, ""},
	} {
		t.Run(strings.Join(tc.args, " "), func(t *testing.T) {
			code, out, errOut := ctl(st.address(), tc.args...)
			qt.Check(t, code, qt.Equals, tc.exit.Code, qt.Commentf("%s", errOut))
			qt.Check(t, strings.Contains(out, tc.text), qt.IsTrue, qt.Commentf("%s", out))
			assertOneLine(t, code, errOut)
		})
	}
	qt.Check(t, st.sent(), qt.HasLen, 0)
	t.Run("unreachable", func(t *testing.T) {
		st.Close()
		for _, args := range [][]string{{"hosts"}, {"drain", "--reason", "x", "Host", "entry-1"}} {
			code, _, errOut := ctl(st.address(), args...)
			qt.Check(t, code, qt.Equals, commander.ExitUnreachable.Code)
			assertOneLine(t, code, errOut)
		}
	})
	t.Run("host without evacuations", func(t *testing.T) {
		st := newStub(t, answer(t, http.StatusNotFound, modeler.Failure{Code: "NotFound", Message: "no such path"}))
		for _, args := range [][]string{{"evacuations"}, {"evacuate", "zone-1"}} {
			code, _, errOut := ctl(st.address(), args...)
			qt.Check(t, code, qt.Equals, commander.ExitNotFound.Code)
			qt.Check(t, errOut, qt.Contains, "does not schedule callers' jobs")
		}
	})
	t.Run("no certificate", func(t *testing.T) {
		var out, errOut bytes.Buffer
		code := commander.Main([]string{"hosts"}, &out, &errOut)
		qt.Check(t, code, qt.Equals, commander.ExitUsage.Code)
		assertOneLine(t, code, errOut.String())
	})
}

// Guards against a refused sheet whose errors are not listed in the output.
func TestFaultsAreListed(t *testing.T) {
	_, fts := importer.Parse([]byte("Day;Kind\n"), nil)
	rj := server.Rejection{Failure: modeler.Failure{Code: "SheetRefused", Message: fts.Error()}, Faults: fts}
	st := newStub(t, answer(t, http.StatusUnprocessableEntity, rj))
	code, out, errOut := ctl(st.address(), "plan", "import", writeFile(t, "text"))
	qt.Check(t, code, qt.Equals, commander.ExitRefused.Code)
	qt.Check(t, strings.Count(out, "\n"), qt.Equals, 1+len(fts))
	assertOneLine(t, code, errOut)
	_, out, _ = ctl(st.address(), "--json", "plan", "import", writeFile(t, "text"))
	var got server.Rejection
	qt.Assert(t, json.Unmarshal([]byte(out), &got), qt.IsNil)
	qt.Check(t, got, qt.DeepEquals, rj)
}

// Guards against config put --wait that returns before the revision is in force at every live host,
// or that fails because a single poll failed.
func TestPutWithWait(t *testing.T) {
	host := func(name modeler.HostName, rev modeler.Revision, live bool) server.HostRevision {
		return server.HostRevision{Host: name, Revision: rev, Live: live}
	}
	for name, tc := range map[string]struct {
		// hosts has the status for each poll; the last repeats. Nil is a failed poll.
		hosts [][]server.HostRevision
		exit  commander.Exit
	}{
		"at once":        {[][]server.HostRevision{{host("entry-1", 7, true), host("entry-2", 8, true)}}, commander.ExitDone},
		"after a while":  {[][]server.HostRevision{{host("entry-1", 7, true), host("entry-2", 6, true)}, nil, {host("entry-1", 7, true), host("entry-2", 7, true)}}, commander.ExitDone},
		"dead host":      {[][]server.HostRevision{{host("entry-1", 7, true), host("entry-2", 6, false)}}, commander.ExitDone},
		"one host never": {[][]server.HostRevision{{host("entry-1", 7, true), host("entry-2", 6, true)}}, commander.ExitNotInForce},
		"no live host":   {[][]server.HostRevision{{}}, commander.ExitNotInForce},
	} {
		t.Run(name, func(t *testing.T) {
			polls := 0
			st := newStub(t, func(wr http.ResponseWriter, rq *http.Request) {
				if rq.Method == http.MethodPut {
					answer(t, http.StatusOK, server.PutResult{Before: 6, After: 7})(wr, rq)
					return
				}
				hosts := tc.hosts[min(polls, len(tc.hosts)-1)]
				polls++
				if hosts == nil {
					answer(t, http.StatusServiceUnavailable, modeler.Failure{Code: "StoreUnavailable"})(wr, rq)
					return
				}
				answer(t, http.StatusOK, server.ConfigurationStatus{Revision: 7, Hosts: hosts})(wr, rq)
			})
			limit := "30s"
			if tc.exit == commander.ExitNotInForce {
				limit = "600ms"
			}
			code, _, errOut := ctl(st.address(), "config", "put", "--expected", "6", "--wait", "--wait-limit", limit, writeFile(t, "text"))
			qt.Check(t, code, qt.Equals, tc.exit.Code, qt.Commentf("%s", errOut))
			assertOneLine(t, code, errOut)
		})
	}
}

// Guards against a refused certificate that is reported as an unreachable host.
func TestCertificates(t *testing.T) {
	for name, tc := range map[string]struct {
		auth tls.ClientAuthType
		args []string
		exit commander.Exit
	}{
		"accepted":               {tls.RequireAnyClientCert, nil, commander.ExitDone},
		"client's is refused":    {tls.RequireAndVerifyClientCert, nil, commander.ExitNotAllowed},
		"host's has other name":  {tls.RequireAnyClientCert, []string{"--server-name", "entry-9"}, commander.ExitNotAllowed},
		"host does not speak it": {-1, nil, commander.ExitUnreachable},
	} {
		t.Run(name, func(t *testing.T) {
			sv := httptest.NewUnstartedServer(http.HandlerFunc(answer(t, http.StatusOK, []server.Host{})))
			sv.Config.ErrorLog = log.New(io.Discard, "", 0)
			sv.TLS = &tls.Config{ClientAuth: max(tc.auth, 0), ClientCAs: x509.NewCertPool()}
			sv.StartTLS()
			defer sv.Close()
			pair := sv.TLS.Certificates[0]
			key, err := x509.MarshalPKCS8PrivateKey(pair.PrivateKey)
			qt.Assert(t, err, qt.IsNil)
			cert := writeFile(t, string(pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: pair.Certificate[0]})))
			keyFile := writeFile(t, string(pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: key})))
			address := sv.Listener.Addr().String()
			if tc.auth < 0 {
				address = newStub(t, answer(t, http.StatusOK, nil)).address()
			}
			var out, errOut bytes.Buffer
			args := []string{"--address", address, "--certificate", cert, "--key", keyFile, "--authorities", cert, "hosts"}
			code := commander.Main(append(args, tc.args...), &out, &errOut)
			qt.Check(t, code, qt.Equals, tc.exit.Code, qt.Commentf("%s", errOut.String()))
			assertOneLine(t, code, errOut.String())
		})
	}
}

// Guards against exit codes that are used twice.
func TestExitsAreUnique(t *testing.T) {
	for at, ex := range commander.Exits {
		qt.Check(t, ex.Code, qt.Equals, at)
	}
}
