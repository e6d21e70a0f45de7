package estimator

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// observeRandom returns a model after 400 random comparisons of siblings on workers whose images add
// the given interference. The load differences have noise half as large as the added load.
func observeRandom(seed uint64, truth []imageInterference) *Model {
	rnd := rand.New(rand.NewPCG(seed, seed))
	md, at := New(), time.Unix(1_700_000_000, 0)
	for range 400 {
		at = at.Add(100 * time.Millisecond)
		var usage []Usage
		excess := 0.06 * rnd.NormFloat64()
		for _, ii := range truth {
			if rnd.IntN(2) == 0 {
				cpuShare := 0.05 + 0.15*rnd.Float64()
				usage = append(usage, Usage{ii.image, cpuShare})
				excess += ii.interference * cpuShare
			}
		}
		md.Observe("s", excess, usage, at)
	}
	return md
}

type imageInterference struct {
	image        string
	interference float64
}

func assertInterference(t *testing.T, what string, got, want, tolerance float64) {
	t.Helper()
	qt.Check(t, got > want-tolerance && got < want+tolerance, qt.IsTrue, qt.Commentf("%s: %.2f, truth %.2f", what, got, want))
}

// Guards against a model that attributes a latency-critical task's own load to best-effort images,
// or that does not find the pair with bad interference.
func TestObserve(t *testing.T) {
	truth := []imageInterference{{"bad", 1.6}, {"good", 0.05}, {"fair", 0.3}}
	t.Run("one model", func(t *testing.T) {
		md := observeRandom(3, truth)
		for _, ii := range truth {
			assertInterference(t, ii.image, md.Interference("s", ii.image), ii.interference, 0.25)
		}
		qt.Check(t, md.Interference("s", "never seen"), qt.Equals, priorInterference)
	})
	t.Run("mean of many models", func(t *testing.T) {
		const models = 200
		for _, ii := range truth {
			sum := 0.0
			for seed := range uint64(models) {
				sum += observeRandom(seed, truth).Interference("s", ii.image)
			}
			assertInterference(t, ii.image, sum/models, ii.interference, 0.1)
		}
	})
}

// Guards against bad interference that is found only after many seconds.
func TestObserveFast(t *testing.T) {
	md, at := New(), time.Unix(1_700_000_000, 0)
	for range 4 {
		at = at.Add(500 * time.Millisecond)
		md.Observe("s", 0.25, []Usage{{"bad", 0.15}}, at)
	}
	qt.Check(t, md.Interference("s", "bad") > 0.7, qt.IsTrue, qt.Commentf("%.2f", md.Interference("s", "bad")))
}

func assertTried(t *testing.T, md *Model, bestEffort string, now time.Time, want bool) {
	t.Helper()
	_, tried := md.ExpectedInterference("s", bestEffort, now)
	qt.Check(t, tried, qt.Equals, want)
}

// Guards against a pair that counts as tried after one observation, or for ever: a best-effort
// image to which the interference of another was attributed would never run beside the
// latency-critical image again.
func TestExpectedInterference(t *testing.T) {
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
	interference, _ := md.ExpectedInterference("s", "f", at.Add(time.Minute))
	qt.Check(t, interference <= priorInterference && md.Interference("s", "f") > priorInterference, qt.IsTrue)
}

// Guards against loads below 0 or above 1, and against a load at the target that differs from the
// load of a tail latency at the target.
func TestLoad(t *testing.T) {
	md := New()
	low := md.ObserveTail("s", 30*time.Millisecond)
	high := md.ObserveTail("s", 90*time.Millisecond)
	qt.Check(t, low >= 0 && high > low && high < 1, qt.IsTrue)
	qt.Check(t, md.ObserveTail("s", time.Hour) <= maxLoad, qt.IsTrue)
	limit := md.LoadAtTarget("s", 150*time.Millisecond)
	qt.Check(t, md.ObserveTail("s", 150*time.Millisecond), qt.Equals, limit)
	qt.Check(t, md.LoadAtTarget("unknown", time.Second), qt.Equals, maxLoad)
}

// Guards against an estimate that new observations no longer change after many old ones.
func TestVarianceGrowth(t *testing.T) {
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

// Guards against a harmless image to which the interference of another is attributed because both
// ran together in each observation, and that keeps this estimate after running alone.
func TestCovariance(t *testing.T) {
	const cpuShare = 0.1
	const interference = 2.0
	md, at := New(), time.Unix(1_700_000_000, 0)
	observe := func(excess float64, usage ...Usage) {
		for range 8 {
			at = at.Add(500 * time.Millisecond)
			md.Observe("s", excess, usage, at)
		}
	}
	observe(interference*cpuShare, Usage{"good", cpuShare}, Usage{"bad", cpuShare})
	t.Run("always together", func(t *testing.T) {
		assertTried(t, md, "good", at, false)
		assertTried(t, md, "bad", at, false)
	})
	observe(0, Usage{"good", cpuShare})
	t.Run("one of them alone", func(t *testing.T) {
		assertTried(t, md, "good", at, true)
		qt.Check(t, md.Interference("s", "good") < 0.3, qt.IsTrue, qt.Commentf("good: %.2f", md.Interference("s", "good")))
		qt.Check(t, md.Interference("s", "bad") > (interference+priorInterference)/2, qt.IsTrue, qt.Commentf("bad: %.2f", md.Interference("s", "bad")))
	})
}

// Guards against an image to which the interference of another is attributed because the other's
// interference is much worse than the first observations showed: maxResidual limited their effect.
func TestIsolated(t *testing.T) {
	const cpuShare = 0.25
	const excess = 0.66
	md, at := New(), time.Unix(1_700_000_000, 0)
	for range 3 {
		md.Observe("s", excess, []Usage{{"bad", 2 * cpuShare}}, at)
	}
	md.Observe("s", excess, []Usage{{"bad", cpuShare}, {"good", cpuShare}}, at)
	assertTried(t, md, "good", at, false)
	md.Observe("s", 0, []Usage{{"good", cpuShare}}, at.Add(time.Second))
	qt.Check(t, md.Interference("s", "good") < md.Interference("s", "bad")/2, qt.IsTrue, qt.Commentf("good %.2f, bad %.2f", md.Interference("s", "good"), md.Interference("s", "bad")))
}

// Guards against a pair that counts as tried although the best-effort image used as much of the
// sibling's worker.
func TestUsageDifference(t *testing.T) {
	at := time.Unix(1_700_000_000, 0)
	one := []Usage{{"f", 0.1}, {"f", 0.1}, {"g", 0.1}}
	observed := func(other []Usage) *Model {
		md := New()
		for range 10 {
			md.Observe("s", 0.1, UsageDifference(one, other), at)
		}
		return md
	}
	t.Run("same usage on both workers", func(t *testing.T) { assertTried(t, observed(one), "f", at, false) })
	t.Run("more on the task's worker", func(t *testing.T) { assertTried(t, observed(one[2:]), "f", at, true) })
	t.Run("more on the sibling's worker", func(t *testing.T) {
		md := observed([]Usage{{"f", 0.2}, {"g", 0.3}})
		assertTried(t, md, "g", at, true)
		qt.Check(t, md.Interference("s", "g") <= 0, qt.IsTrue, qt.Commentf("%.2f", md.Interference("s", "g")))
	})
}
