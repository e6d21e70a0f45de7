package pacer

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

var start = time.Unix(1_700_000_000, 0)

// Guards against harm that lasts, and against work that fills which is halted for a load that it does
// not cause or never gets its speed back.
func TestUpdate(t *testing.T) {
	t.Run("halts what causes harm", func(t *testing.T) {
		var st State
		qt.Check(t, st.Update(1.1, 0.3, false, start), qt.IsTrue)
		qt.Check(t, st.Percent(), qt.Equals, 0)
	})
	t.Run("leaves alone what causes none", func(t *testing.T) {
		var st State
		qt.Check(t, st.Update(1.3, 0, false, start), qt.IsFalse)
		qt.Check(t, st.Percent(), qt.Equals, FullPace)
	})
	t.Run("halts all when a task is harmed for long", func(t *testing.T) {
		var st State
		qt.Check(t, st.Update(0.5, 0, true, start), qt.IsTrue)
		qt.Check(t, st.Percent(), qt.Equals, 0)
	})
	t.Run("slows in proportion", func(t *testing.T) {
		var st State
		st.Update(0.98, 0.2, false, start)
		qt.Check(t, st.Percent() > 50 && st.Percent() < FullPace, qt.IsTrue, qt.Commentf("%d", st.Percent()))
	})
	t.Run("gives speed back step by step", func(t *testing.T) {
		var st State
		st.Update(1.2, 0.5, false, start)
		at := start
		for st.Percent() < FullPace {
			at = at.Add(settle)
			qt.Assert(t, st.Update(0.5, 0, false, at), qt.IsTrue)
		}
		qt.Check(t, at.Sub(start) <= 3*time.Second, qt.IsTrue)
	})
	t.Run("waits for a change to show", func(t *testing.T) {
		var st State
		st.Update(0.98, 0.2, false, start)
		qt.Check(t, st.Update(0.98, 0.2, false, start.Add(settle/2)), qt.IsFalse)
	})
}
