package explainer_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/currantrouter/currantrouter/internal/operator/explainer"
)

// testLog builds the logs of hosts whose clocks differ.
type testLog struct {
	strings.Builder
	// ahead is by how much the clock of each host is ahead, now the true time.
	ahead map[string]time.Duration
	now   time.Time
}

func newTestLog(ahead map[string]time.Duration) *testLog {
	return &testLog{ahead: ahead, now: time.Date(2026, 1, 1, 10, 0, 0, 0, time.UTC)}
}

// write adds a line of a host, a millisecond after the last one.
func (tl *testLog) write(host, title string, event int, fields string) {
	tl.now = tl.now.Add(time.Millisecond)
	at := tl.now.Add(tl.ahead[host]).Format(time.RFC3339Nano)
	fmt.Fprintf(tl, "%s {\"time\":%q,\"level\":\"INFO\",\"msg\":%q,\"Event\":%d,\"Severity\":\"Info\",%s}\n", host, at, title, event, fields)
}

// submit adds the lines of jobs that a host accepts and the leader receives.
func (tl *testLog) submit(host, leader string, jobs ...string) {
	for _, job := range jobs {
		tl.write(host, "job accepted", 600, fmt.Sprintf(`"Job":%q`, job))
		tl.write(leader, "job received by the leader", 604, fmt.Sprintf(`"Job":%q`, job))
		tl.now = tl.now.Add(200 * time.Millisecond)
	}
}

// others returns the IDs of jobs that are not asked for.
func others(prefix string, count int) []string {
	list := make([]string, count)
	for ix := range list {
		list[ix] = fmt.Sprint(prefix, ix)
	}
	return list
}

func explain(t *testing.T, id, logs string) explainer.Explanation {
	t.Helper()
	ex := explainer.New(id)
	qt.Assert(t, ex.Read(strings.NewReader(logs), "log"), qt.IsNil)
	return ex.Explain()
}

// told returns the hosts and titles of the lines in order, those of context in parentheses.
func told(ex explainer.Explanation) []string {
	var list []string
	for _, ln := range ex.Lines {
		text := ln.Host + " " + ln.Fields.Title()
		if ln.Context {
			text = "(" + text + ")"
		}
		list = append(list, text)
	}
	return list
}

// Guards against an explanation that omits lines of the job, includes lines of other jobs ("aab" for "aa")
// or truncated lines, or reorders the lines of a host whose clock steps back.
func TestLinesOfTheID(t *testing.T) {
	const logs = `{"time":"2026-01-01T10:00:01Z","msg":"job accepted","Event":600,"Job":"aa"}
 12.5 host-2 {"time":"2026-01-01T10:00:02Z","msg":"task started","Event":610,"Task":"aa.0.0.1","Worker":"w"}
{"time":"2026-01-01T10:00:00Z","msg":"job ended","Event":606,"Job":"aa"}
{"time":"2026-01-01T10:00:03Z","msg":"task started","Event":610,"Task":"aab.0.0.1"}
{"time":"2026-01-01T10:00:03Z","msg":"cut sho
not a line of aa
`
	ex := explain(t, "aa", logs)
	qt.Check(t, told(ex), qt.DeepEquals, []string{"log job accepted", "log job ended", "host-2 task started"})
	qt.Check(t, ex.Lines[2].Fields.Inputs(), qt.Equals, "Task=aa.0.0.1 Worker=w")
}

// Guards against malformed lines that end the command or that nobody is told of: truncated ones, lines of
// other programs, lines without a time or event, and lines that are too long.
func TestMalformedLinesAreCounted(t *testing.T) {
	const good = `{"time":"2026-01-01T10:00:01Z","msg":"job accepted","Event":600,"Job":"aa"}` + "\n"
	bad := []string{
		`{"time":"2026-01-01T10:00:03Z","msg":"cut sho`, "panic: nil", `{"Event":600,"Job":"aa"}`, `{"time":"soon","Event":600,"Job":"aa"}`,
		`{"time":"2026-01-01T10:00:01Z","Job":"aa"}`, "[]", `{"time":"2026-01-01T10:00:01Z","Event":600,"Job":"` + strings.Repeat("a", 2<<20) + `"}`,
	}
	ex := explain(t, "aa", good+strings.Join(bad, "\n")+"\n\n"+good+`{"time":"2026`)
	qt.Check(t, ex.Lines, qt.HasLen, 2)
	qt.Check(t, ex.Skipped, qt.DeepEquals, []explainer.Skipped{{Log: "log", Lines: len(bad) + 1, First: 2}})
	qt.Check(t, explain(t, "aa", good).Skipped, qt.HasLen, 0)
}

// Guards against a life of a job that is told in the wrong order as clocks differ by more than its steps
// take. One host never talks to the reference, only to the leader.
func TestClocksThatDiffer(t *testing.T) {
	ahead := map[string]time.Duration{"leader": 3 * time.Second, "host-1": -2 * time.Second, "host-2": 0}
	tl := newTestLog(ahead)
	tl.submit("host-1", "leader", others("b", 6)...)
	tl.submit("host-2", "leader", others("c", 6)...)
	tl.submit("host-1", "leader", "aa")
	tl.write("leader", "task started", 610, `"Task":"aa.0.0.0","Worker":"w"`)
	tl.write("host-1", "cancellation stored", 603, `"Job":"aa"`)
	tl.now = tl.now.Add(50 * time.Millisecond)
	tl.write("leader", "job cancelled", 605, `"Job":"aa"`)
	tl.submit("host-1", "leader", others("d", 6)...)
	ex := explain(t, "aa", tl.String())
	qt.Check(t, told(ex), qt.DeepEquals, []string{
		"host-1 job accepted", "leader job received by the leader", "leader task started", "host-1 cancellation stored", "leader job cancelled",
	})
	for _, ln := range ex.Lines {
		want := ahead[ln.Host] - ahead[ex.Reference]
		qt.Check(t, (ln.Ahead-want).Abs() < 10*time.Millisecond, qt.IsTrue, qt.Commentf("%s: %v, want %v", ln.Host, ln.Ahead, want))
		qt.Check(t, ln.Aligned, qt.IsTrue)
	}
}

// Guards against a leader that seems to receive a job before it is accepted, as its message took less time than
// those that the offset was taken from.
func TestFastMessage(t *testing.T) {
	tl := newTestLog(map[string]time.Duration{"host-1": time.Second})
	for _, job := range append(append(others("b", 6), "aa"), others("c", 6)...) {
		tl.write("host-1", "job accepted", 600, fmt.Sprintf(`"Job":%q`, job))
		if job != "aa" {
			tl.now = tl.now.Add(6 * time.Millisecond)
		}
		tl.write("leader", "job received by the leader", 604, fmt.Sprintf(`"Job":%q`, job))
		tl.write("leader", "task started", 610, fmt.Sprintf(`"Task":"%s.0.0.0"`, job))
		tl.now = tl.now.Add(200 * time.Millisecond)
	}
	qt.Check(t, told(explain(t, "aa", tl.String())), qt.DeepEquals, []string{"host-1 job accepted", "leader job received by the leader", "leader task started"})
}

// Guards against one offset for a whole log although the host's clock steps, ahead and back again.
func TestClockThatSteps(t *testing.T) {
	tl := newTestLog(map[string]time.Duration{})
	for round, ahead := range []time.Duration{0, 3 * time.Second, 0} {
		tl.ahead["host-1"] = ahead
		tl.submit("host-1", "leader", others(fmt.Sprint("b", round), 6)...)
		tl.submit("host-1", "leader", "aa")
		tl.write("leader", "job ended", 606, `"Job":"aa"`)
		tl.submit("host-1", "leader", others(fmt.Sprint("c", round), 6)...)
	}
	ex := explain(t, "aa", tl.String())
	once := []string{"host-1 job accepted", "leader job received by the leader", "leader job ended"}
	qt.Check(t, told(ex), qt.DeepEquals, append(append(append([]string{}, once...), once...), once...))
	// The clock that never steps back is the reference.
	qt.Check(t, ex.Reference, qt.Equals, "leader")
	qt.Check(t, ex.Lines[3].Ahead.Round(10*time.Millisecond), qt.Equals, 3*time.Second)
	qt.Check(t, ex.Lines[6].Ahead.Round(10*time.Millisecond), qt.Equals, time.Duration(0))
}

// Guards against an offset that is taken from a message that was on its way for long, and against one for a
// host that shares no message with any other.
func TestLateMessagesAndStrangers(t *testing.T) {
	tl := newTestLog(map[string]time.Duration{"stranger": time.Hour})
	tl.submit("host-1", "leader", others("b", 4)...)
	tl.write("host-1", "job accepted", 600, `"Job":"late"`)
	tl.now = tl.now.Add(4 * time.Second)
	tl.write("leader", "job received by the leader", 604, `"Job":"late"`)
	tl.submit("host-1", "leader", "aa")
	tl.submit("host-1", "leader", others("c", 4)...)
	tl.write("stranger", "cancellation stored", 603, `"Job":"aa"`)
	// A job that is submitted again at another host says nothing about their clocks.
	tl.write("stranger", "job accepted", 600, `"Job":"b0"`)
	ex := explain(t, "aa", tl.String())
	for _, ln := range ex.Lines {
		qt.Check(t, ln.Aligned, qt.Equals, ln.Host != "stranger", qt.Commentf("%s", ln.Host))
		qt.Check(t, ln.Ahead.Abs() < 10*time.Millisecond, qt.IsTrue, qt.Commentf("%s: %v", ln.Host, ln.Ahead))
	}
	qt.Check(t, ex.Lines, qt.HasLen, 3)
}

// Guards against an explanation that does not say what caused a delay or failure (a lost leader, a lost
// store, a bad worker), and against one that is swamped by events that have nothing to do with the job.
func TestContext(t *testing.T) {
	tl := newTestLog(map[string]time.Duration{})
	tl.write("host-2", "term begun", 640, `"Epoch":1`)
	tl.submit("host-1", "host-2", others("b", 40)...)
	tl.write("host-1", "store watch failed", 652, `"What":"jobs"`)
	tl.write("host-3", "store watch failed", 652, `"What":"jobs"`)
	tl.write("host-2", "run failed", 612, `"Task":"b0.0.0.0","Worker":"w-1"`)
	tl.write("host-2", "run failed", 612, `"Task":"b0.0.0.1","Worker":"w-2"`)
	tl.submit("host-1", "host-2", "aa")
	tl.write("host-2", "run failed", 612, `"Task":"aa.0.0.0","Worker":"w-1"`)
	tl.write("host-2", "job worker quarantined", 627, `"Worker":"w-1"`)
	tl.write("host-2", "job worker quarantined", 627, `"Worker":"w-2"`)
	tl.write("host-3", "leader elected", 647, `"Epoch":2,"Self":true`)
	tl.write("host-1", "leader elected", 647, `"Epoch":2,"Self":false`)
	tl.now = tl.now.Add(50 * time.Millisecond)
	tl.write("host-2", "term ended", 643, `"Reason":"x"`)
	tl.write("host-3", "job ended", 606, `"Job":"aa"`)
	tl.write("host-3", "leader elected", 647, `"Epoch":3,"Self":true`)
	ex := explain(t, "aa", tl.String())
	qt.Check(t, told(ex), qt.DeepEquals, []string{
		"(host-1 store watch failed)", "(host-3 store watch failed)", "host-1 job accepted", "host-2 job received by the leader", "host-2 run failed",
		"(host-2 job worker quarantined)", "(host-3 leader elected)", "(host-2 term ended)", "host-3 job ended",
	})
	qt.Check(t, ex.Workers, qt.DeepEquals, []explainer.WorkerFailures{{Worker: "w-1", Runs: 2, Jobs: 2}})
}
