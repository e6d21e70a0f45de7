package estimator

import (
	"encoding/json"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against a new leader that lacks the estimates of its predecessor, and against estimates
// that are recorded again although they have hardly changed.
func TestChanges(t *testing.T) {
	md, at := New(), time.Unix(1_700_000_000, 0)
	md.ObserveTail("s", 30*time.Millisecond)
	observe := func(excess float64) {
		for range 8 {
			at = at.Add(500 * time.Millisecond)
			md.Observe("s", excess, []Usage{{"bad", 0.1}}, at)
		}
	}
	observe(0.2)
	es := md.Changes(at)
	t.Run("merged by the next leader", func(t *testing.T) {
		document, err := json.Marshal(es)
		qt.Assert(t, err, qt.IsNil)
		var stored Estimates
		qt.Assert(t, json.Unmarshal(document, &stored), qt.IsNil)
		next := New()
		next.Merge(stored, at)
		assertTried(t, next, "bad", at, true)
		qt.Check(t, next.Interference("s", "bad"), qt.Equals, roundToThousandth(md.Interference("s", "bad")))
		qt.Check(t, next.LoadAtTarget("s", 150*time.Millisecond), qt.Equals, md.LoadAtTarget("s", 150*time.Millisecond))
	})
	t.Run("returned once", func(t *testing.T) {
		again := md.Changes(at)
		qt.Check(t, again.Empty(), qt.IsTrue)
		all := md.AllTried(at)
		qt.Check(t, all.Pairs, qt.HasLen, 1)
	})
	t.Run("returned again after a change", func(t *testing.T) {
		observe(0)
		changed := md.Changes(at)
		qt.Check(t, changed.Pairs, qt.HasLen, 1)
	})
	t.Run("returned again while it is observed", func(t *testing.T) {
		for range 2 {
			observe(0)
		}
		md.Changes(at)
		observe(0)
		fresh := md.Changes(at)
		qt.Check(t, fresh.Empty(), qt.IsTrue)
		observe(0)
		again := md.Changes(at)
		qt.Check(t, again.Pairs, qt.HasLen, 1)
	})
	t.Run("no untried pair", func(t *testing.T) {
		md.Observe("s", 0.2, []Usage{{"new", 0.1}}, at)
		fresh := md.Changes(at)
		qt.Check(t, fresh.Empty(), qt.IsTrue)
	})
}

// Guards against stored estimates out of bounds, which turn the model into values that are no number
// and cannot be recorded.
func TestMergeOutOfBounds(t *testing.T) {
	for name, es := range map[string]Estimates{
		"interference":  {Pairs: []PairEstimate{{"s", "bad", 1e308, 0.1}}},
		"negative":      {Pairs: []PairEstimate{{"s", "bad", -1e308, 0.1}}},
		"variance":      {Pairs: []PairEstimate{{"s", "bad", 0.5, 1e308}}},
		"negative tail": {MinTail: map[string]time.Duration{"s": -time.Second}, Pairs: []PairEstimate{{"s", "bad", 0.5, 0.1}}},
	} {
		t.Run(name, func(t *testing.T) {
			md, at := New(), time.Unix(1_700_000_000, 0)
			md.Merge(es, at)
			md.ObserveTail("s", 30*time.Millisecond)
			for range 8 {
				at = at.Add(500 * time.Millisecond)
				md.Observe("s", 0.1, []Usage{{"bad", 1e6}, {"other", 0.5}}, at)
			}
			interference := md.Interference("s", "bad")
			qt.Check(t, interference >= 0 && interference <= maxInterference, qt.IsTrue, qt.Commentf("%v", interference))
			load := md.LoadAtTarget("s", 60*time.Millisecond)
			qt.Check(t, load < maxLoad, qt.IsTrue, qt.Commentf("%v", load))
			_, err := json.Marshal(md.AllTried(at))
			qt.Check(t, err, qt.IsNil)
		})
	}
}

// Guards against a new leader that takes the tail latencies under a high load for those without load, as no pair of
// their image was tried.
func TestChangesOfTails(t *testing.T) {
	const tail = 30 * time.Millisecond
	md, at := New(), time.Unix(1_700_000_000, 0)
	md.ObserveTail("s", tail)
	es := md.Changes(at)
	qt.Check(t, es.MinTail, qt.DeepEquals, map[string]time.Duration{"s": tail})
	next := New()
	next.Merge(es, at)
	for _, now := range []time.Duration{tail, 28 * time.Millisecond} {
		next.ObserveTail("s", now)
		again := next.Changes(at)
		qt.Check(t, again.Empty(), qt.IsTrue, qt.Commentf("at %v", now))
	}
	next.ObserveTail("s", 20*time.Millisecond)
	qt.Check(t, next.Changes(at).MinTail, qt.DeepEquals, map[string]time.Duration{"s": 20 * time.Millisecond})
	qt.Check(t, next.AllTried(at).MinTail, qt.DeepEquals, map[string]time.Duration{"s": 20 * time.Millisecond})
}
