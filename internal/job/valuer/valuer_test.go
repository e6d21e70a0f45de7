package valuer

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/currantrouter/currantrouter/internal/job/ranker"
)

var now = time.Unix(1_700_000_000, 0)

// job returns a job with an objective of 4 s.
func job(age, remaining time.Duration, work float64) Job {
	return Job{Step: ranker.WaitingStep{Submitted: now.Add(-age), Objective: 4 * time.Second, Remaining: remaining}, Work: work, Total: work}
}

// Guards against an order that prefers jobs whose callers gain less for the capacity that they need.
func TestOrder(t *testing.T) {
	favoured, begun := job(time.Second, time.Second, 5), job(time.Second, time.Second, 1)
	favoured.Favoured, begun.Total = true, 2
	for name, tc := range map[string]struct{ first, second Job }{
		"on time before late":               {job(0, time.Second, 9), job(5*time.Second, time.Second, 1)},
		"late before overdue":               {job(5*time.Second, time.Second, 9), job(time.Minute, time.Second, 1)},
		"less work":                         {job(time.Second, time.Second, 1), job(time.Second, time.Second, 2)},
		"less slack":                        {job(0, 3*time.Second, 1), job(0, time.Second, 1)},
		"more likely to be on time":         {job(time.Second, 2*time.Second, 1), job(time.Second, 3*time.Second, 1)},
		"nearly done":                       {begun, job(time.Second, time.Second, 1)},
		"favoured size":                     {favoured, job(time.Second, time.Second, 1)},
		"old before new, both overdue":      {job(time.Hour, time.Second, 5), job(time.Minute, time.Second, 1)},
		"no work left before a little":      {job(0, 0, 0), job(0, 0, 1e-6)},
		"age counts against twice the work": {job(11*time.Second, 500*time.Millisecond, 2), job(5*time.Second, 500*time.Millisecond, 1.9)},
	} {
		t.Run(name, func(t *testing.T) {
			first, second := tc.first.Rank(now), tc.second.Rank(now)
			qt.Check(t, first.Compare(&second) < 0, qt.IsTrue, qt.Commentf("%+v, %+v", first, second))
		})
	}
}

// Guards against the domino effect: more jobs than the capacity serves, in the order of the previous policy each
// just too late. One job runs at a time.
func TestOverload(t *testing.T) {
	play := func(first func(jobs []Job, at time.Time) int) (onTime int) {
		rnd := rand.New(rand.NewPCG(1, 3))
		var waiting []Job
		var free time.Time
		for at := now; at.Before(now.Add(5 * time.Minute)); at = at.Add(100 * time.Millisecond) {
			if rnd.Float64() < 0.15 {
				length := time.Duration((0.2 + 1.6*rnd.Float64()) * float64(time.Second))
				waiting = append(waiting, Job{Step: ranker.WaitingStep{Submitted: at, Objective: 2*length + time.Second, Remaining: length}, Work: length.Seconds(), Total: length.Seconds()})
			}
			if len(waiting) == 0 || at.Before(free) {
				continue
			}
			ix := first(waiting, at)
			jb := waiting[ix]
			waiting, free = slices.Delete(waiting, ix, ix+1), at.Add(jb.Step.Remaining)
			if free.Sub(jb.Step.Submitted) <= jb.Step.Objective {
				onTime++
			}
		}
		return onTime
	}
	least := func(less func(one, two *Job, at time.Time) bool) func([]Job, time.Time) int {
		return func(jobs []Job, at time.Time) int {
			best := 0
			for ix := range jobs {
				if less(&jobs[ix], &jobs[best], at) {
					best = ix
				}
			}
			return best
		}
	}
	byDeadline := play(least(func(one, two *Job, at time.Time) bool {
		first, second := one.Step.Rank(at), two.Step.Rank(at)
		return first.Compare(&second) < 0
	}))
	byValue := play(least(func(one, two *Job, at time.Time) bool {
		first, second := one.Rank(at), two.Rank(at)
		return first.Compare(&second) < 0
	}))
	t.Logf("seed 1, jobs on time: by deadline %d, by value %d", byDeadline, byValue)
	qt.Check(t, byValue > byDeadline*11/10, qt.IsTrue)
}

// Guards against estimates that are believed although the run times of the queue show that they are wrong.
func TestPredictor(t *testing.T) {
	rnd := rand.New(rand.NewPCG(1, 5))
	for name, tc := range map[string]struct {
		// estimate returns the estimate of a run time.
		estimate func(runTime float64) float64
		// error is the highest mean error of the corrected estimates, as a logarithm.
		error float64
	}{
		"exact":                 {func(rt float64) float64 { return rt }, 0.01},
		"a fifth":               {func(rt float64) float64 { return rt / 5 }, 0.01},
		"off by 90%":            {func(rt float64) float64 { return rt * (0.1 + 1.8*rnd.Float64()) }, 0.45},
		"unrelated":             {func(float64) float64 { return math.Exp(rnd.NormFloat64()) }, 0.45},
		"all the same":          {func(float64) float64 { return 1 }, 0.45},
		"out of all proportion": {func(rt float64) float64 { return rt * 1e6 }, 12},
	} {
		t.Run(name, func(t *testing.T) {
			var pr Predictor
			qt.Check(t, pr.Correction(time.Second), qt.Equals, 1.0)
			var before, after float64
			const count = 2000
			for no := range 2 * count {
				runTime := 2.7 * math.Exp(0.5*rnd.NormFloat64())
				estimate := tc.estimate(runTime)
				duration := time.Duration(estimate * float64(time.Second))
				ratio := pr.Correction(duration)
				qt.Assert(t, ratio >= 1.0/maxCorrection && ratio <= maxCorrection, qt.IsTrue)
				if no >= count {
					before += math.Abs(math.Log(estimate/runTime)) / count
					after += math.Abs(math.Log(estimate*ratio/runTime)) / count
				}
				pr.Observe(duration, time.Duration(runTime*float64(time.Second)))
			}
			t.Logf("mean error %.3f, corrected %.3f, uncertainty %.3f", before, after, pr.Uncertainty())
			qt.Check(t, after <= tc.error && after <= before+0.01, qt.IsTrue)
		})
	}
	var pr Predictor
	pr.Observe(0, time.Second)
	pr.Observe(time.Second, 0)
	qt.Check(t, pr, qt.Equals, Predictor{})
}

// Guards against large jobs that are served less than half as often as others, and against favour for those that
// are not.
func TestSizes(t *testing.T) {
	for name, tc := range map[string]struct {
		served         func(no, size int) bool
		large, largest bool
	}{
		"all":               {func(int, int) bool { return true }, false, false},
		"none":              {func(int, int) bool { return false }, false, false},
		"not the largest":   {func(_, size int) bool { return size < 9 }, false, true},
		"half of the large": {func(no, size int) bool { return size < 7 || size == 9 || no%20 < 10 }, true, false},
	} {
		t.Run(name, func(t *testing.T) {
			var sz Sizes
			for no := range 300 {
				sz.Observe(float64(no%10), tc.served(no, no%10))
			}
			qt.Check(t, sz.Favoured(9), qt.Equals, tc.largest)
			qt.Check(t, sz.Favoured(8), qt.Equals, tc.large)
			qt.Check(t, sz.Favoured(2), qt.IsFalse)
			qt.Check(t, len(sz.works), qt.Equals, keptJobs)
		})
	}
}
