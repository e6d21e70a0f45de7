package modeler

import (
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against milliseconds at the limits of their type that overflow into a duration of the other
// sign.
func TestDurationFromMillis(t *testing.T) {
	qt.Check(t, DurationFromMillis(2500), qt.Equals, 2500*time.Millisecond)
	qt.Check(t, DurationFromMillis(-1), qt.Equals, -time.Millisecond)
	qt.Check(t, DurationFromMillis(math.MaxInt64) > 290*365*24*time.Hour, qt.IsTrue)
	qt.Check(t, DurationFromMillis(math.MinInt64) < -290*365*24*time.Hour, qt.IsTrue)
}
