package reserver

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

const (
	// capacity is that of the pool, in thousandths of a core, and share the present reserve.
	capacity = 26_000_000
	share    = 0.06
)

// start is when the loads of the tests begin.
var start = time.Unix(1_700_000_000, 0)

// load returns a demand of 1,400 cores with bursts of factor 1.8 for 4 s every 15 s.
func load(elapsed time.Duration) int64 {
	if elapsed%(15*time.Second) >= 11*time.Second {
		return 2_520_000
	}
	return 1_400_000
}

// play observes a demand for a time and returns the demand beyond the reserve of one sample before, in
// core-seconds: what short tasks lack if long-running ones use all else.
func play(reserve func(now time.Time) int64, observe func(demand int64, now time.Time), length time.Duration) float64 {
	lacking := 0.0
	for elapsed := time.Duration(0); elapsed < length; elapsed += SampleInterval {
		now, demand := start.Add(elapsed), load(elapsed)
		lacking += float64(max(0, demand-reserve(now))) / 1000 * SampleInterval.Seconds()
		observe(demand, now)
	}
	return lacking
}

// Guards against a reserve that bursts exceed, as the fixed share does that is compared.
func TestBursts(t *testing.T) {
	fixed := play(func(time.Time) int64 { return int64(share * capacity) }, func(int64, time.Time) {}, time.Minute)
	var fc Forecast
	forecast := play(func(now time.Time) int64 { return fc.Reserve(capacity, share, now) }, func(demand int64, now time.Time) { fc.Observe(demand, 1, now) }, time.Minute)
	t.Logf("core-seconds beyond the reserve: fixed %.0f, forecast %.0f", fixed, forecast)
	// Of the first burst, only the first sample exceeds the forecast, and what decays between two samples.
	qt.Check(t, fixed > 15_000, qt.IsTrue)
	qt.Check(t, forecast < fixed/15, qt.IsTrue)
}

// Guards against a reserve below the present share, above the bound, or one that falls at once after a burst.
func TestReserve(t *testing.T) {
	reserve := func(fc *Forecast, after time.Duration) float64 {
		return float64(fc.Reserve(capacity, share, start.Add(after))) / capacity
	}
	var fc Forecast
	qt.Check(t, reserve(&fc, 0), qt.Equals, share)
	fc.Observe(1000, 1, start)
	qt.Check(t, reserve(&fc, 0), qt.Equals, share)
	fc.Observe(20*capacity, 1, start)
	qt.Check(t, reserve(&fc, 0), qt.Equals, MaxShare)
	fc = Forecast{}
	fc.Observe(capacity/10, 1, start)
	fc.Observe(0, 0, start.Add(time.Second))
	qt.Check(t, reserve(&fc, time.Second) > 0.089, qt.IsTrue)
	qt.Check(t, reserve(&fc, 3*time.Second) < 0.08, qt.IsTrue)
	// A clock that is set back raises nothing.
	qt.Check(t, reserve(&fc, -time.Hour) <= 0.1, qt.IsTrue)
	qt.Check(t, reserve(&fc, time.Minute), qt.Equals, share)
}

// Guards against a size of tasks that follows a single one, or that is forgotten while there are none.
func TestTaskSize(t *testing.T) {
	var fc Forecast
	qt.Check(t, fc.TaskSize(), qt.Equals, int64(0))
	fc.Observe(80_000, 10, start)
	qt.Check(t, fc.TaskSize(), qt.Equals, int64(8000))
	fc.Observe(60_000, 1, start)
	qt.Check(t, fc.TaskSize(), qt.Equals, int64(9040))
	fc.Observe(0, 0, start)
	qt.Check(t, fc.TaskSize(), qt.Equals, int64(9040))
}
