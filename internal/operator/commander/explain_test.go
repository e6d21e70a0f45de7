package commander_test

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/currantrouter/currantrouter/internal/operator/commander"
	"github.com/currantrouter/currantrouter/internal/operator/explainer"
)

const (
	acceptingLog = `{"time":"2026-01-01T10:00:01Z","msg":"job accepted","Event":600,"Job":"aa"}
{"time":"2026-01-01T10:00:0
`
	leadingLog = `{"time":"2026-01-01T10:00:04Z","msg":"job received by the leader","Event":604,"Job":"aa"}
{"time":"2026-01-01T10:00:05Z","msg":"run failed","Event":612,"Task":"aa.0.0.0","Worker":"w-1"}
`
)

// Guards against an explanation from files that asks a host, orders lines by clocks that differ, does not
// say which offset was applied, or keeps quiet about malformed lines.
func TestExplainFromFiles(t *testing.T) {
	dir := t.TempDir()
	one, two := filepath.Join(dir, "host-1"), filepath.Join(dir, "host-2")
	qt.Assert(t, os.WriteFile(one, []byte(acceptingLog), 0o600), qt.IsNil)
	qt.Assert(t, os.WriteFile(two, []byte(leadingLog), 0o600), qt.IsNil)
	for _, name := range []string{"explain", "trace"} {
		code, out, errOut := ctl("127.0.0.1:1", name, "aa", one, two)
		qt.Check(t, code, qt.Equals, 0)
		qt.Check(t, errOut, qt.Equals, "currantctl: "+one+": 1 lines are not log lines of a host in the format json and were skipped, the first is line 2\n")
		lines := strings.Split(out, "\n")
		qt.Check(t, lines[0], qt.Contains, "on the clock of "+one)
		qt.Check(t, strings.Fields(lines[2])[:2], qt.DeepEquals, []string{"10:00:01.000", "+0.000s"})
		qt.Check(t, strings.Fields(lines[4])[:2], qt.DeepEquals, []string{"10:00:02.000", "+3.000s"})
		qt.Check(t, out, qt.Contains, "Worker  Runs  Jobs\nw-1     1     1\n")
	}
	code, out, _ := ctl("127.0.0.1:1", "--json", "explain", "aa", one, two)
	qt.Check(t, code, qt.Equals, 0)
	var ex explainer.Explanation
	qt.Assert(t, json.Unmarshal([]byte(out), &ex), qt.IsNil)
	qt.Check(t, ex.Lines, qt.HasLen, 3)
}

// Guards against a wrong exit code for a file that is missing, an ID that no line names, and a task of a
// plan that is not a number.
func TestExplainExitCodes(t *testing.T) {
	file := writeFile(t, leadingLog)
	for _, tc := range []struct {
		args []string
		exit commander.Exit
	}{
		{[]string{"aa", file + "-missing"}, commander.ExitUsage},
		{[]string{"bb", file}, commander.ExitNotFound},
		{[]string{"2026-03-29/nightly", "first"}, commander.ExitUsage},
		{[]string{"2026-03-29/nightly", "1", "2"}, commander.ExitUsage},
	} {
		code, _, errOut := ctl("127.0.0.1:1", append([]string{"explain"}, tc.args...)...)
		qt.Check(t, code, qt.Equals, tc.exit.Code, qt.Commentf("%v", tc.args))
		assertOneLine(t, code, errOut)
	}
}
