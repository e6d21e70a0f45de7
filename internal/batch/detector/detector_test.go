package detector

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/currantrouter/currantrouter/internal/fleet/modeler"
)

type result struct {
	worker modeler.WorkerName
	job    uint64
	ok     bool
}

// Guards against quarantine of workers because of a faulty job, and against jobs that count as faulty
// because of a faulty worker.
func TestDiagnoses(t *testing.T) {
	for name, tc := range map[string]struct {
		events     []result
		quarantine bool
		cannotRun  bool
	}{
		"three failures of one job on one worker":     {[]result{{"a", 1, false}, {"a", 1, false}, {"a", 1, false}}, false, false},
		"three failures of two jobs":                  {[]result{{"a", 1, false}, {"a", 2, false}, {"a", 1, false}}, true, false},
		"a success between":                           {[]result{{"a", 1, false}, {"a", 3, true}, {"a", 2, false}, {"a", 1, false}}, false, false},
		"a job on three workers":                      {[]result{{"a", 1, false}, {"b", 1, false}, {"c", 1, false}}, false, true},
		"a job on two workers and a quarantined one":  {[]result{{"a", 2, false}, {"a", 3, false}, {"a", 1, false}, {"a", 1, false}, {"b", 1, false}, {"c", 1, false}}, true, false},
		"a faulty job does not count against workers": {[]result{{"a", 1, false}, {"b", 1, false}, {"c", 1, false}, {"a", 2, false}, {"a", 3, false}}, false, true},
		"a job that succeeded since":                  {[]result{{"a", 1, false}, {"b", 1, false}, {"d", 1, true}, {"c", 1, false}}, false, false},
	} {
		t.Run(name, func(t *testing.T) {
			dt := New()
			jobFaulty := false
			for _, ev := range tc.events {
				if ev.ok {
					dt.Succeeded(ev.worker, ev.job)
					continue
				}
				jobFaulty = dt.Failed(ev.worker, ev.job, "why", time.Time{}).CannotRun || jobFaulty
			}
			qt.Check(t, dt.Quarantined("a"), qt.Equals, tc.quarantine)
			qt.Check(t, jobFaulty, qt.Equals, tc.cannotRun)
		})
	}
}

// Guards against a quarantine that never ends, and against several probes of a worker at a time.
func TestProbes(t *testing.T) {
	now := time.Unix(0, 0)
	dt := New()
	for job := range uint64(3) {
		dt.Failed("a", job, "why", now)
	}
	for i, want := range []time.Duration{30, 60, 120, 240, 480, 600, 600} {
		want *= time.Second
		qt.Check(t, dt.ProbeDue("a", now.Add(want-1)), qt.IsFalse, qt.Commentf("probe %d", i))
		now = now.Add(want)
		qt.Check(t, dt.ProbeDue("a", now), qt.IsTrue, qt.Commentf("probe %d", i))
		dt.ProbeStarted("a", 9)
		qt.Check(t, dt.ProbeDue("a", now.Add(time.Hour)), qt.IsFalse)
		qt.Check(t, dt.Succeeded("a", 8), qt.IsFalse, qt.Commentf("an older task ends"))
		qt.Check(t, dt.Failed("a", 9, fmt.Sprint(i), now), qt.DeepEquals, Diagnosis{})
	}
	dt.ProbeStarted("a", 9)
	qt.Check(t, dt.Succeeded("a", 9), qt.IsTrue)
	qt.Check(t, dt.Quarantined("a"), qt.IsFalse)
}
