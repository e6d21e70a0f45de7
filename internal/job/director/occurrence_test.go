package director

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"

	"github.com/currantrouter/currantrouter/internal/job/keeper"
	"github.com/currantrouter/currantrouter/internal/job/modeler"
	"github.com/currantrouter/currantrouter/internal/state/journaler"
	"github.com/currantrouter/currantrouter/internal/telemetry/meter"
)

// Guards against the loss of what an earlier leader recorded of an occurrence that is not due yet by
// the clock of this host: its tasks would run again.
func TestFactsBeforeDueTime(t *testing.T) {
	for name, tc := range map[string]struct {
		// early is the time until the occurrence is due by the clock of this host.
		early time.Duration
		done  bool
	}{
		"the clock is behind":   {2 * time.Second, true},
		"far from any due time": {time.Hour, false},
	} {
		t.Run(name, func(t *testing.T) {
			dr := New(Options{
				Epoch: 2, Configuration: func() *modeler.Configuration { return nil }, MaySendRequests: func() bool { return false },
				Log: logr.Discard(), Meter: meter.New(nil),
			})
			id := modeler.TaskID{Job: "j", Occurrence: 1}
			rec, err := keeper.Fact{RunEnd: &keeper.RunEndFact{Task: id.String(), Run: 1, Outcome: modeler.Done}}.Record()
			qt.Assert(t, err, qt.IsNil)
			dr.Restore([]journaler.Record{rec})
			now := time.Now()
			jb := dr.addJob(&modeler.Job{
				ID: "j", Repeats: 2, First: now.Add(tc.early - time.Minute), Interval: time.Minute, Steps: []modeler.Step{{Count: 2}},
			}, true)
			dr.releaseOccurrences(jb, now.Add(tc.early))
			qt.Assert(t, jb.occurrences, qt.HasLen, 2)
			qt.Check(t, jb.task(id).done, qt.Equals, tc.done)
			other := jb.task(modeler.TaskID{Job: "j", Occurrence: 1, Index: 1})
			qt.Check(t, dr.startable(other, now), qt.IsFalse)
		})
	}
}
