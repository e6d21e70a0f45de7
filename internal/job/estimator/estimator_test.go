package estimator

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against a model that blames work that fills for the load of the serving task itself, or
// never finds the pair that does the harm. The load differences are those of siblings, with noise as
// large as half of the harm.
func TestLearn(t *testing.T) {
	rnd := rand.New(rand.NewPCG(3, 3))
	truth := map[string]float64{"bad": 1.6, "good": 0.05, "fair": 0.3}
	md, at := New(), time.Unix(1_700_000_000, 0)
	for range 400 {
		at = at.Add(100 * time.Millisecond)
		var fills []Usage
		excess := 0.06 * rnd.NormFloat64()
		for image, harm := range truth {
			if rnd.IntN(2) == 0 {
				press := 0.05 + 0.15*rnd.Float64()
				fills = append(fills, Usage{image, press})
				excess += harm * press
			}
		}
		md.Observe("s", excess, fills, at)
	}
	for image, want := range truth {
		got := md.Interference("s", image)
		qt.Check(t, got > want-0.25 && got < want+0.25, qt.IsTrue, qt.Commentf("%s: %.2f, truth %.2f", image, got, want))
	}
	qt.Check(t, md.Interference("s", "never seen"), qt.Equals, priorHarm)
}

// Guards against a bad pair that is learned only after many seconds of harm.
func TestLearnsSoon(t *testing.T) {
	md, at := New(), time.Unix(1_700_000_000, 0)
	for range 4 {
		at = at.Add(500 * time.Millisecond)
		md.Observe("s", 0.25, []Usage{{"bad", 0.15}}, at)
	}
	qt.Check(t, md.Interference("s", "bad") > 0.7, qt.IsTrue, qt.Commentf("%.2f", md.Interference("s", "bad")))
}

func assertTried(t *testing.T, md *Model, filling string, now time.Time, want bool) {
	t.Helper()
	_, tried := md.ExpectedInterference("s", filling, now)
	qt.Check(t, tried, qt.Equals, want)
}

// Guards against a pair that counts as known after one report, or as known for good: work that was
// blamed for the harm of its neighbour would never run beside the image again.
func TestAssumed(t *testing.T) {
	md, at := New(), time.Unix(1_700_000_000, 0)
	md.Observe("s", 0.1, []Usage{{"f", 0.1}}, at)
	assertTried(t, md, "f", at, false)
	for range 6 {
		at = at.Add(500 * time.Millisecond)
		md.Observe("s", 0.1, []Usage{{"f", 0.1}}, at)
	}
	assertTried(t, md, "f", at, true)
	assertTried(t, md, "other", at, false)
	assertTried(t, md, "f", at.Add(time.Minute), false)
	harm, _ := md.ExpectedInterference("s", "f", at.Add(time.Minute))
	qt.Check(t, harm <= priorHarm && md.Interference("s", "f") > priorHarm, qt.IsTrue)
}

// Guards against loads that have no meaning: below zero, above one, or a target that seems to be met
// beyond it.
func TestLoad(t *testing.T) {
	md := New()
	low := md.Load("s", 30*time.Millisecond)
	high := md.Load("s", 90*time.Millisecond)
	qt.Check(t, low >= 0 && high > low && high < 1, qt.IsTrue)
	qt.Check(t, md.Load("s", time.Hour) <= mostLoad, qt.IsTrue)
	limit := md.LoadAtTarget("s", 150*time.Millisecond)
	qt.Check(t, md.Load("s", 150*time.Millisecond), qt.Equals, limit)
	qt.Check(t, md.LoadAtTarget("unknown", time.Second), qt.Equals, mostLoad)
}

// Guards against a belief that new reports no longer change after a while.
func TestFading(t *testing.T) {
	md, at := New(), time.Unix(1_700_000_000, 0)
	for range 60 {
		md.Observe("s", 0.2, []Usage{{"f", 0.1}}, at)
	}
	qt.Check(t, md.Interference("s", "f") > 1, qt.IsTrue, qt.Commentf("%.2f", md.Interference("s", "f")))
	at = at.Add(20 * time.Second)
	for range 20 {
		at = at.Add(500 * time.Millisecond)
		md.Observe("s", 0, []Usage{{"f", 0.1}}, at)
	}
	qt.Check(t, md.Interference("s", "f") < 0.7, qt.IsTrue, qt.Commentf("%.2f", md.Interference("s", "f")))
}

// Guards against a harmless image that is blamed, for as long as beliefs last, for the harm of another
// that ran beside it each time.
func TestInseparable(t *testing.T) {
	const press, harm = 0.1, 2.0
	md, at := New(), time.Unix(1_700_000_000, 0)
	learn := func(excess float64, fills ...Usage) {
		for range 8 {
			at = at.Add(500 * time.Millisecond)
			md.Observe("s", excess, fills, at)
		}
	}
	learn(harm*press, Usage{"good", press}, Usage{"bad", press})
	t.Run("always together", func(t *testing.T) {
		assertTried(t, md, "good", at, false)
		assertTried(t, md, "bad", at, false)
	})
	learn(0, Usage{"good", press})
	t.Run("one of them alone", func(t *testing.T) {
		assertTried(t, md, "good", at, true)
		qt.Check(t, md.Interference("s", "good") < 0.3, qt.IsTrue, qt.Commentf("good: %.2f", md.Interference("s", "good")))
		qt.Check(t, md.Interference("s", "bad") > (harm+priorHarm)/2, qt.IsTrue, qt.Commentf("bad: %.2f", md.Interference("s", "bad")))
	})
}

// Guards against an image that is blamed for what another is known to do, only much worse than the
// first reports could tell.
func TestUnderestimated(t *testing.T) {
	const press, excess = 0.25, 0.66
	md, at := New(), time.Unix(1_700_000_000, 0)
	for range 3 {
		md.Observe("s", excess, []Usage{{"bad", 2 * press}}, at)
	}
	md.Observe("s", excess, []Usage{{"bad", press}, {"good", press}}, at)
	assertTried(t, md, "good", at, false)
	md.Observe("s", 0, []Usage{{"good", press}}, at.Add(time.Second))
	qt.Check(t, md.Interference("s", "good") < md.Interference("s", "bad")/2, qt.IsTrue, qt.Commentf("good %.2f, bad %.2f", md.Interference("s", "good"), md.Interference("s", "bad")))
}

// Guards against a harm that counts as known although the sibling was disturbed as much.
func TestDifference(t *testing.T) {
	at := time.Unix(1_700_000_000, 0)
	one := []Usage{{"f", 0.1}, {"f", 0.1}, {"g", 0.1}}
	learned := func(other []Usage) *Model {
		md := New()
		for range 10 {
			md.Observe("s", 0.1, UsageDifference(one, other), at)
		}
		return md
	}
	t.Run("as much on both", func(t *testing.T) { assertTried(t, learned(one), "f", at, false) })
	t.Run("more on one", func(t *testing.T) { assertTried(t, learned(one[2:]), "f", at, true) })
	t.Run("more on the other", func(t *testing.T) {
		md := learned([]Usage{{"f", 0.2}, {"g", 0.3}})
		assertTried(t, md, "g", at, true)
		qt.Check(t, md.Interference("s", "g") <= 0, qt.IsTrue, qt.Commentf("%.2f", md.Interference("s", "g")))
	})
}
