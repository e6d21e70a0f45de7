package intaker

import (
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// maxTries is the number of attempts of a caller, the first included.
const maxTries = 5

// simulateCaller simulates a caller whose first attempt is at the time first after the beginning of
// an outage, and who retries after the times that the function returns. It returns the time of the
// attempt that succeeded, or false if none did.
func simulateCaller(first, outage time.Duration, retryAfter func(time.Duration) time.Duration) (time.Duration, bool) {
	at := first
	for range maxTries {
		if at >= outage {
			return at, true
		}
		at += retryAfter(at)
	}
	return 0, false
}

// simulateOutage simulates callers whose first attempts are spread evenly over an outage. It
// returns the share of callers that succeed, and the time from the end of the outage to the last
// success.
func simulateOutage(outage time.Duration, retryAfter func(time.Duration) time.Duration) (succeeded float64, maxDelay time.Duration) {
	const interval = 50 * time.Millisecond
	callers, successes := 0, 0
	for first := time.Duration(0); first < outage; first += interval {
		callers++
		if at, ok := simulateCaller(first, outage, retryAfter); ok {
			successes++
			maxDelay = max(maxDelay, at-outage)
		}
	}
	return float64(successes) / float64(callers), maxDelay
}

// assertSucceed checks the share of callers that succeed and how long after the outage the last
// does.
func assertSucceed(t *testing.T, outage time.Duration, minShare float64, maxDelay time.Duration) {
	t.Helper()
	succeeded, delay := simulateOutage(outage, retryAfter)
	qt.Check(t, succeeded >= minShare, qt.IsTrue, qt.Commentf("outage of %s: share %.2f of callers succeeded", outage, succeeded))
	qt.Check(t, delay <= maxDelay, qt.IsTrue, qt.Commentf("outage of %s: last caller succeeded %s after it", outage, delay))
}

// Guards against callers who have used up their attempts when an outage of the store ends, and
// against retries long after its end.
func TestRetryAfter(t *testing.T) {
	t.Run("short outage", func(t *testing.T) { assertSucceed(t, time.Second, 1, minRetryAfter) })
	t.Run("usual outage", func(t *testing.T) { assertSucceed(t, 5*time.Second, 1, maxRetryAfter) })
	t.Run("long outage", func(t *testing.T) { assertSucceed(t, 10*time.Second, 0.5, maxRetryAfter) })
	t.Run("more callers succeed than with a fixed time", func(t *testing.T) {
		fixed, _ := simulateOutage(5*time.Second, func(time.Duration) time.Duration { return minRetryAfter })
		succeeded, _ := simulateOutage(5*time.Second, retryAfter)
		qt.Check(t, succeeded > fixed, qt.IsTrue, qt.Commentf("share of callers that succeeded: %.2f, with a fixed time %.2f", succeeded, fixed))
	})
}

// storeRate is the number of writes that the store takes in a second.
const storeRate = 1200

// simulateCrowd simulates callers with a number of attempts who come at 200 a second during an outage of 6 s, and 400
// more in the middle of it at once. It returns the share that succeeds, and the longest time that the store
// needs for the attempts that have come by then.
func simulateCrowd(tries int, retryAfter func(caller int, outage time.Duration) time.Duration) (succeeded float64, maxWait time.Duration) {
	const outage = 6 * time.Second
	var firsts []time.Duration
	for at := time.Duration(0); at < outage; at += 5 * time.Millisecond {
		firsts = append(firsts, at)
	}
	for range 400 {
		firsts = append(firsts, outage/2)
	}
	var arrivals []time.Duration
	for caller, at := range firsts {
		for range tries {
			if at >= outage {
				arrivals = append(arrivals, at)
				break
			}
			at += retryAfter(caller, at)
		}
	}
	slices.Sort(arrivals)
	idle := outage
	for _, at := range arrivals {
		idle = max(idle, at) + time.Second/storeRate
		maxWait = max(maxWait, idle-at)
	}
	return float64(len(arrivals)) / float64(len(firsts)), maxWait
}

// Guards against callers that return together after an outage and overload the store, and against a spread that
// uses up their attempts before its end: a caller can only be told to come sooner, as it gives up after 3 s.
func TestReturningCrowd(t *testing.T) {
	const tries = 4
	fixed, wait := simulateCrowd(tries, func(_ int, outage time.Duration) time.Duration { return retryAfter(outage) })
	spread, spreadWait := simulateCrowd(tries, func(caller int, outage time.Duration) time.Duration {
		return min(retryAfter(outage), time.Duration(1+caller%2)*time.Second)
	})
	t.Logf("share that succeeds %.3f, longest wait at the store %s; with retries spread over 1 s and 2 s %.3f, %s", fixed, wait, spread, spreadWait)
	qt.Check(t, wait < storeCallTimeout, qt.IsTrue)
	qt.Check(t, fixed >= spread, qt.IsTrue)
}
