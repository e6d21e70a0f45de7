package intaker

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// mostTries is how often a caller sends a request, the first time included.
const mostTries = 5

// come plays a caller who first comes at a time after the beginning of an outage, and returns when the
// outage was over at a try, or false if it never was.
func come(first, outage time.Duration, advise func(time.Duration) time.Duration) (time.Duration, bool) {
	at := first
	for range mostTries {
		if at >= outage {
			return at, true
		}
		at += advise(at)
	}
	return 0, false
}

// play returns the share of callers that are served who come all along an outage, and how long after
// its end the last of them is.
func play(outage time.Duration, advise func(time.Duration) time.Duration) (served float64, latest time.Duration) {
	const interval = 50 * time.Millisecond
	all, good := 0, 0
	for first := time.Duration(0); first < outage; first += interval {
		all++
		if at, ok := come(first, outage, advise); ok {
			good++
			latest = max(latest, at-outage)
		}
	}
	return float64(good) / float64(all), latest
}

func assertServed(t *testing.T, outage time.Duration, want float64, latest time.Duration) {
	t.Helper()
	served, last := play(outage, returnAfter)
	qt.Check(t, served >= want, qt.IsTrue, qt.Commentf("outage of %s: %.2f served", outage, served))
	qt.Check(t, last <= latest, qt.IsTrue, qt.Commentf("outage of %s: last served %s after it", outage, last))
}

// Guards against callers who have used up their tries when the store is back, and against a return that
// is much later than that.
func TestRetryAfter(t *testing.T) {
	t.Run("short outage", func(t *testing.T) { assertServed(t, time.Second, 1, soonReturn) })
	t.Run("usual outage", func(t *testing.T) { assertServed(t, 5*time.Second, 1, lateReturn) })
	t.Run("long outage", func(t *testing.T) { assertServed(t, 10*time.Second, 0.5, lateReturn) })
	t.Run("more than with a fixed time", func(t *testing.T) {
		fixed, _ := play(5*time.Second, func(time.Duration) time.Duration { return soonReturn })
		served, _ := play(5*time.Second, returnAfter)
		qt.Check(t, served > fixed, qt.IsTrue, qt.Commentf("%.2f, with a fixed time %.2f", served, fixed))
	})
}
