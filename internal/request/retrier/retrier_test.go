package retrier

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestBudget guards against retries that multiply the load of failing runners.
func TestBudget(t *testing.T) {
	rt := New()
	later := time.Now().Add(time.Hour)
	for round, want := range []int{maxTokens / tokensPerRetry, 10, 0} {
		got := 0
		for range 1000 {
			if rt.AllowRetry("tidebook", later, time.Second) {
				got++
			}
		}
		qt.Check(t, got, qt.Equals, want)
		for range 100 * (1 - round) {
			rt.CountCall("tidebook")
		}
	}
	qt.Check(t, rt.AllowRetry("other", time.Now().Add(time.Second), time.Minute), qt.IsFalse)
	qt.Check(t, rt.AllowRetry("other", later, time.Minute), qt.IsTrue)
	qt.Check(t, MayHop(0) && !MayHop(1), qt.IsTrue)
}
