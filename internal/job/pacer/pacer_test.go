package pacer

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

var start = time.Unix(1_700_000_000, 0)

// Guards against tail latencies that stay over their targets, and against best-effort tasks that
// are halted for a load that they do not add, or that never get back to full pace.
func TestUpdate(t *testing.T) {
	t.Run("halts tasks that add load beyond the target", func(t *testing.T) {
		var pc Pace
		qt.Check(t, pc.Update(1.1, 0.3, false, start), qt.IsTrue)
		qt.Check(t, pc.Percent(), qt.Equals, 0)
	})
	t.Run("ignores load that the tasks do not add", func(t *testing.T) {
		var pc Pace
		qt.Check(t, pc.Update(1.3, 0, false, start), qt.IsFalse)
		qt.Check(t, pc.Percent(), qt.Equals, FullPace)
	})
	t.Run("halts tasks beside one over its target for long", func(t *testing.T) {
		var pc Pace
		qt.Check(t, pc.Update(0.5, 0, true, start), qt.IsTrue)
		qt.Check(t, pc.Percent(), qt.Equals, 0)
	})
	t.Run("slows in proportion to the excess", func(t *testing.T) {
		var pc Pace
		pc.Update(0.98, 0.2, false, start)
		qt.Check(t, pc.Percent() > 50 && pc.Percent() < FullPace, qt.IsTrue, qt.Commentf("%d", pc.Percent()))
	})
	t.Run("raises the pace step by step", func(t *testing.T) {
		var pc Pace
		pc.Update(1.2, 0.5, false, start)
		at := start
		for pc.Percent() < FullPace {
			at = at.Add(minChangeInterval)
			qt.Assert(t, pc.Update(0.5, 0, false, at), qt.IsTrue)
		}
		qt.Check(t, at.Sub(start) <= 3*time.Second, qt.IsTrue)
	})
	t.Run("waits until a change shows in reports", func(t *testing.T) {
		var pc Pace
		pc.Update(0.98, 0.2, false, start)
		qt.Check(t, pc.Update(0.98, 0.2, false, start.Add(minChangeInterval/2)), qt.IsFalse)
	})
}
