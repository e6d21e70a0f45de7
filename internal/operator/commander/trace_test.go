package commander

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against a trace that omits lines of the job, includes lines of other jobs ("aab" for "aa")
// or truncated lines, or reorders the lines of a host whose clock steps back.
func TestTrace(t *testing.T) {
	const logs = `{"time":"2026-01-01T10:00:01Z","msg":"job accepted","Event":600,"Job":"aa"}
 12.5 host-2 {"time":"2026-01-01T10:00:02Z","msg":"task started","Event":610,"Task":"aa.0.0.1","Worker":"w"}
{"time":"2026-01-01T10:00:00Z","msg":"job ended","Event":606,"Job":"aa"}
{"time":"2026-01-01T10:00:03Z","msg":"task started","Event":610,"Task":"aab.0.0.1"}
{"time":"2026-01-01T10:00:03Z","msg":"cut sho
not a line of aa
`
	lines, err := readTrace(strings.NewReader(logs), "host-1", "aa")
	qt.Assert(t, err, qt.IsNil)
	sortLines(lines)
	var got []string
	for _, ln := range lines {
		got = append(got, ln.source+" "+ln.fields["msg"].(string))
	}
	qt.Check(t, got, qt.DeepEquals, []string{"host-1 job accepted", "host-1 job ended", "host-2 task started"})
	qt.Check(t, lines[2].details(), qt.Equals, "Task=aa.0.0.1 Worker=w")
}
