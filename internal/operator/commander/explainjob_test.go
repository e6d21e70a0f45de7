package commander_test

import (
	"encoding/json"
	"net/http"
	"os"
	"path/filepath"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/currantrouter/currantrouter/internal/fleet/modeler"
	"github.com/currantrouter/currantrouter/internal/job/director"
	"github.com/currantrouter/currantrouter/internal/operator/server"
)

// writeJob writes a job to a file and returns the file's name.
func writeJob(t *testing.T, text string) string {
	t.Helper()
	name := filepath.Join(t.TempDir(), "job.json")
	qt.Assert(t, os.WriteFile(name, []byte(text), 0o600), qt.IsNil)
	return name
}

// Guards against an explanation that the command prints without what decides, or not as JSON when that is asked for.
func TestExplainJob(t *testing.T) {
	want := director.JobExplanation{Queue: "urgent", Pool: "pool", Outcome: director.WouldBeAccepted, Steps: []director.StepExplanation{
		{Position: 3, Ahead: 2, Class: "OnTime", Worker: "w7", StartsIn: "0s"},
	}}
	st := newStub(t, answer(t, http.StatusOK, want))
	name := writeJob(t, `{"Steps":[]}`)
	code, out, errOut := ctl(st.address(), "explain-job", "--queue", "urgent", name)
	qt.Check(t, code, qt.Equals, 0, qt.Commentf("%s", errOut))
	qt.Check(t, out, qt.Matches, `(?s)Accepted: queue urgent, pool pool, .*0 +3 +2 +OnTime +- +w7 +0s.*`)
	qt.Check(t, st.sent(), qt.DeepEquals, []string{`POST /v1/explain-job?Host=&Path=&Queue=urgent {"Steps":[]}`})
	_, out, _ = ctl(st.address(), "explain-job", "--host", "jobs.test", "--path", "/urgent", "--output", "json", name)
	var got director.JobExplanation
	qt.Assert(t, json.Unmarshal([]byte(out), &got), qt.IsNil)
	qt.Check(t, got, qt.DeepEquals, want)
}

// Guards against exit codes that do not fit the error.
func TestExplainJobErrors(t *testing.T) {
	st := newStub(t, answer(t, http.StatusServiceUnavailable, server.Rejection{Failure: modeler.Failure{Code: "NotLeader", Message: "the leader is edge-2"}}))
	broken := newStub(t, func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
	valid := writeJob(t, `{}`)
	for _, tc := range []struct {
		name, address string
		args          []string
		code          int
		text          string
	}{
		{"not the leader", st.address(), []string{"--queue", "urgent", valid}, 10, ".*the leader is edge-2.*"},
		{"answer lost", broken.address(), []string{"--queue", "urgent", valid}, 3, ".*"},
		{"no queue", st.address(), []string{valid}, 2, ".*--queue or --host.*"},
		{"two queues", st.address(), []string{"--queue", "urgent", "--host", "jobs.test", valid}, 2, ".*--queue or --host.*"},
		{"not JSON", st.address(), []string{"--queue", "urgent", writeJob(t, "[")}, 2, ".*not JSON.*"},
		{"no file", st.address(), []string{"--queue", "urgent", valid + "x"}, 2, ".*no such file.*"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			code, _, errOut := ctl(tc.address, append([]string{"explain-job"}, tc.args...)...)
			qt.Check(t, code, qt.Equals, tc.code)
			assertOneLine(t, code, errOut)
			qt.Check(t, errOut, qt.Matches, tc.text+"\n")
		})
	}
}
