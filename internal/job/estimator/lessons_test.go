package estimator

import (
	"encoding/json"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against a new leader that has to learn by harm what the last one knew, and against lessons
// that are recorded again and again though nothing has changed.
func TestLessons(t *testing.T) {
	md, at := New(), time.Unix(1_700_000_000, 0)
	md.Load("s", 30*time.Millisecond)
	learn := func(excess float64) {
		for range 8 {
			at = at.Add(500 * time.Millisecond)
			md.Observe("s", excess, []Usage{{"bad", 0.1}}, at)
		}
	}
	learn(0.2)
	ls := md.Changes()
	t.Run("handed over", func(t *testing.T) {
		document, err := json.Marshal(ls)
		qt.Assert(t, err, qt.IsNil)
		var stored Estimates
		qt.Assert(t, json.Unmarshal(document, &stored), qt.IsNil)
		next := New()
		next.Merge(stored, at)
		assertTried(t, next, "bad", at, true)
		qt.Check(t, next.Interference("s", "bad"), qt.Equals, thousandths(md.Interference("s", "bad")))
		qt.Check(t, next.LoadAtTarget("s", 150*time.Millisecond), qt.Equals, md.LoadAtTarget("s", 150*time.Millisecond))
	})
	t.Run("told once", func(t *testing.T) {
		again := md.Changes()
		qt.Check(t, again.Empty(), qt.IsTrue)
		all := md.All()
		qt.Check(t, all.Pairs, qt.HasLen, 1)
	})
	t.Run("told again when it changes", func(t *testing.T) {
		learn(0)
		changed := md.Changes()
		qt.Check(t, changed.Pairs, qt.HasLen, 1)
	})
	t.Run("not what was seen once", func(t *testing.T) {
		md.Observe("s", 0.2, []Usage{{"new", 0.1}}, at)
		fresh := md.Changes()
		qt.Check(t, fresh.Empty(), qt.IsTrue)
	})
}
