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
			md.Learn("s", excess, []Fill{{"bad", 0.1}}, at)
		}
	}
	learn(0.2)
	ls := md.News()
	t.Run("handed over", func(t *testing.T) {
		document, err := json.Marshal(ls)
		qt.Assert(t, err, qt.IsNil)
		var stored Lessons
		qt.Assert(t, json.Unmarshal(document, &stored), qt.IsNil)
		next := New()
		next.Take(stored, at)
		assertTried(t, next, "bad", at, true)
		qt.Check(t, next.Harm("s", "bad"), qt.Equals, thousandths(md.Harm("s", "bad")))
		qt.Check(t, next.Limit("s", 150*time.Millisecond), qt.Equals, md.Limit("s", 150*time.Millisecond))
	})
	t.Run("told once", func(t *testing.T) {
		again := md.News()
		qt.Check(t, again.Empty(), qt.IsTrue)
		all := md.All()
		qt.Check(t, all.Pairs, qt.HasLen, 1)
	})
	t.Run("told again when it changes", func(t *testing.T) {
		learn(0)
		changed := md.News()
		qt.Check(t, changed.Pairs, qt.HasLen, 1)
	})
	t.Run("not what was seen once", func(t *testing.T) {
		md.Learn("s", 0.2, []Fill{{"new", 0.1}}, at)
		fresh := md.News()
		qt.Check(t, fresh.Empty(), qt.IsTrue)
	})
}
