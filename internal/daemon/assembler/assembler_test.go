package assembler_test

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/currantrouter/currantrouter/internal/fleet/modeler"
)

// Guards against a fleet that serves only from the host that was called, or that gives a caller
// the answer of another one.
func TestFleetServes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fl := newFleet(t, 4, 2)
		fl.start()
		counts := fl.checkAnswers(fl.load(16, 5*time.Second))
		qt.Check(t, counts[modeler.Answered] > 1000, qt.IsTrue, qt.Commentf("%v", counts))
		qt.Check(t, counts[modeler.Unknown], qt.Equals, 0, qt.Commentf("%v", counts))
		fl.end()
	})
}

// Guards against calls that run twice, or are said not to have run although they did, when a host
// dies, and against a data centre that stays without leader.
func TestHostDies(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fl := newFleet(t, 4, 2)
		fl.start()
		time.AfterFunc(2*time.Second, func() { fl.kill(fl.members[0]) })
		during := fl.checkAnswers(fl.load(16, 12*time.Second))
		qt.Check(t, during[modeler.Answered] > 1000, qt.IsTrue, qt.Commentf("%v", during))
		after := fl.checkAnswers(fl.load(16, 3*time.Second))
		qt.Check(t, after[modeler.Unknown], qt.Equals, 0, qt.Commentf("after the takeover: %v", after))
		fl.end()
	})
}

// Guards against a second execution when a caller repeats a call with the same key at another host.
func TestRetryAtAnotherHost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fl := newFleet(t, 3, 1)
		fl.start()
		for _, mb := range fl.members {
			got := fl.call(mb, http.MethodPost, "/plans?RunTime=5ms", "same-key", "same")
			qt.Check(t, got.err, qt.IsNil)
			qt.Check(t, got.outcome, qt.Equals, modeler.Answered, qt.Commentf("%s: %+v", mb.host.Name, got))
		}
		qt.Check(t, fl.executions()["same-key"], qt.Equals, 1)
		fl.end()
	})
}
