package commander_test

import (
	"encoding/json"
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/currantrouter/currantrouter/internal/job/director"
)

// Guards against a list that leaves out what an operator needs to find the cause, or is no JSON when that is asked for.
func TestWaiting(t *testing.T) {
	want := director.Waiting{
		Epoch: 3, LookedAgo: "120ms", StalledTasks: 60, DemandsOmitted: 7,
		Reasons: []director.WaitingReason{{Reason: "NoWorkerFits", Tasks: 90, LongRunning: 61, Oldest: "j.0.0.1", Waited: "9s"}},
		Stalled: []director.StalledTask{{Task: "j.0.0.4", Reason: "PlacementNotDurable", StalledFor: "4s", Waited: "5s", Places: 2, LastRun: 17, LastWorker: "w7"}},
	}
	st := newStub(t, answer(t, http.StatusOK, want))
	code, out, errOut := ctl(st.address(), "waiting")
	qt.Check(t, code, qt.Equals, 0, qt.Commentf("%s", errOut))
	qt.Check(t, out, qt.Matches, `(?s)Epoch 3: 60 long-running tasks are stalled.* 120ms ago\n.* 7 distinct demands.*j.0.0.4 +PlacementNotDurable +4s +5s +2 +17 +w7\n.*59 more\n.*NoWorkerFits +90 +61 +j.0.0.1 +9s\n`)
	_, out, _ = ctl(st.address(), "waiting", "--output", "json")
	var got director.Waiting
	qt.Assert(t, json.Unmarshal([]byte(out), &got), qt.IsNil)
	qt.Check(t, got, qt.DeepEquals, want)
}
