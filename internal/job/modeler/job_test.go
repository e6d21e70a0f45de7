package modeler

import (
	"errors"
	"math"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against task IDs in worker reports that are parsed as the ID of another task.
func TestParseTaskID(t *testing.T) {
	id := TaskID{Job: "5c0e7a21d94b36f8", Occurrence: 2, Step: 1, Index: 17}
	got, err := ParseTaskID(id.String())
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, got, qt.Equals, id)
	for _, text := range []string{"", "a", "a.0.0", ".0.0.0", "a.0.0.-1", "a.0.x.0", "a.0.0.0 ", "a.0.0.00", "a.0.+0.0", "a.0.0.-0", "a.b.0.0.0", "a/b.0.0.0"} {
		_, err := ParseTaskID(text)
		qt.Check(t, errors.Is(err, ErrInvalidTaskID), qt.IsTrue, qt.Commentf("%q", text))
	}
}

// Guards against invalid jobs that reach the leader.
func TestCheck(t *testing.T) {
	valid := func() *Job { return &Job{ID: "a", Steps: []Step{{Count: 1}, {Count: 2, After: []int{0}}}} }
	qt.Assert(t, valid().Check(), qt.IsNil)
	for name, corrupt := range map[string]func(*Job){
		"no id":                 func(jb *Job) { jb.ID = "" },
		"id with a separator":   func(jb *Job) { jb.ID = "a.b" },
		"no steps":              func(jb *Job) { jb.Steps = nil },
		"no tasks":              func(jb *Job) { jb.Steps[0].Count = 0 },
		"too many tasks":        func(jb *Job) { jb.Steps[0].Count = maxTasks },
		"negative need":         func(jb *Job) { jb.Steps[0].Needs.MemoryMB = -1 },
		"follows itself":        func(jb *Job) { jb.Steps[1].After = []int{1} },
		"follows a later step":  func(jb *Job) { jb.Steps[0].After = []int{1} },
		"follows a step before": func(jb *Job) { jb.Steps[1].After = []int{-1} },
		"repeats too often":     func(jb *Job) { jb.Repeats = maxOccurrences + 1 },
		"long id":               func(jb *Job) { jb.ID = JobID(strings.Repeat("a", 1000)) },
		"unprintable id":        func(jb *Job) { jb.ID = "a\n" },
		"needs at the limit":    func(jb *Job) { jb.Steps[0].Needs.MilliCores = math.MaxInt64 },
		"memory at the limit":   func(jb *Job) { jb.Steps[0].Needs.MemoryMB = math.MaxInt64 },
		"negative estimate":     func(jb *Job) { jb.Steps[0].Estimate = -1 },
		"estimate at the limit": func(jb *Job) { jb.Steps[0].Estimate = math.MaxInt64 },
		"sum of estimates":      func(jb *Job) { jb.Steps[0].Estimate, jb.Steps[1].Estimate = maxDuration, maxDuration },
		"negative target":       func(jb *Job) { jb.Steps[0].TailTarget = -1 },
		"negative per worker":   func(jb *Job) { jb.Steps[0].MaxPerWorker = -1 },
		"negative unavailable":  func(jb *Job) { jb.Steps[0].MaxUnavailable = -1 },
		"long image":            func(jb *Job) { jb.Steps[0].Image = strings.Repeat("a", 1000) },
		"long label":            func(jb *Job) { jb.Steps[0].Label = strings.Repeat("a", 1000) },
		"slowdown at the limit": func(jb *Job) { jb.MaxSlowdown = math.MaxFloat64 },
		"slowdown of no number": func(jb *Job) { jb.MaxSlowdown = math.NaN() },
		"slack at the limit":    func(jb *Job) { jb.Slack = math.MaxInt64 },
		"tasks of all repeats":  func(jb *Job) { jb.Repeats, jb.First, jb.Steps[0].Count = maxOccurrences, time.Unix(1, 0), 1000 },
		"links of all repeats": func(jb *Job) {
			jb.Repeats, jb.First, jb.Steps[1].After = maxOccurrences, time.Unix(1, 0), make([]int, 1000)
		},
		"first before 1970":     func(jb *Job) { jb.Repeats, jb.First = 1, time.Unix(-1, 0) },
		"first at the limit":    func(jb *Job) { jb.Repeats, jb.First = 1, time.UnixMilli(math.MaxInt64) },
		"interval at the limit": func(jb *Job) { jb.Repeats, jb.First, jb.Interval = 2, time.Unix(1, 0), math.MaxInt64 },
		"due times overflow":    func(jb *Job) { jb.Repeats, jb.First, jb.Interval = 4, time.Unix(1, 0), maxDuration },
	} {
		t.Run(name, func(t *testing.T) {
			jb := valid()
			corrupt(jb)
			qt.Check(t, errors.Is(jb.Check(), ErrInvalidJob), qt.IsTrue)
		})
	}
}

// Guards against requests that are routed to the wrong queue: the longest prefix must win, and only
// queues of the same host count.
func TestRoute(t *testing.T) {
	cfg := &Configuration{Queues: []Queue{
		{Name: "short", Host: "a.example", Prefix: "/x/"},
		{Name: "long", Host: "a.example", Prefix: "/x/y/"},
		{Name: "other", Host: "b.example", Prefix: "/x/"},
	}}
	for path, want := range map[string]QueueName{"/x/1": "short", "/x/y/1": "long", "/x/": "short"} {
		qu, _, ok := cfg.Route("a.example", path)
		qt.Assert(t, ok, qt.IsTrue)
		qt.Check(t, qu.Name, qt.Equals, want)
	}
	_, _, ok := cfg.Route("c.example", "/x/1")
	qt.Check(t, ok, qt.IsFalse)
}

// Guards against two hosts that choose different queues of the same name or prefix.
func TestDuplicateQueues(t *testing.T) {
	cfg := &Configuration{Revision: 1, Queues: []Queue{
		{Name: "a", Host: "h", Prefix: "/x/", Pool: "first"}, {Name: "a", Host: "h", Prefix: "/x/", Pool: "second"},
	}}
	qt.Assert(t, cfg.Check(), qt.IsNil)
	qu, _, ok := cfg.Route("h", "/x/1")
	qt.Assert(t, ok, qt.IsTrue)
	qt.Check(t, qu.Pool, qt.Equals, PoolName("first"))
	qt.Check(t, cfg.Queue("a").Pool, qt.Equals, PoolName("first"))
}

// Guards against an occurrence that is due before the one before it, and so starts at once.
func TestDueRises(t *testing.T) {
	jb := &Job{ID: "a", Steps: []Step{{Count: 1}}, Repeats: 3, First: time.Now(), Interval: 200 * 365 * 24 * time.Hour}
	if jb.Check() != nil {
		return
	}
	for occurrence := 1; occurrence < jb.Occurrences(); occurrence++ {
		qt.Check(t, jb.Due(occurrence).After(jb.Due(occurrence-1)), qt.IsTrue, qt.Commentf("%v, %v", jb.Due(occurrence-1), jb.Due(occurrence)))
	}
}

// Guards against a text of another writer that is taken for a task's name although no task has it.
func FuzzParseTaskID(f *testing.F) {
	f.Fuzz(func(t *testing.T, text string) {
		id, err := ParseTaskID(text)
		if err != nil {
			qt.Assert(t, errors.Is(err, ErrInvalidTaskID), qt.IsTrue)
			return
		}
		qt.Assert(t, id.String(), qt.Equals, text)
		qt.Assert(t, id.Occurrence >= 0 && id.Step >= 0 && id.Index >= 0 && id.Job != "", qt.IsTrue)
	})
}
