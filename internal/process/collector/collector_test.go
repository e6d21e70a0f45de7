package collector

import (
	"math"
	"runtime/debug"
	"testing"

	qt "github.com/frankban/quicktest"
)

// assertCollection checks the runtime's settings.
func assertCollection(t *testing.T, percent int, limit int64) {
	t.Helper()
	set := debug.SetGCPercent(percent)
	qt.Check(t, set, qt.Equals, percent)
	qt.Check(t, debug.SetMemoryLimit(-1), qt.Equals, limit)
}

// Guards against a host whose memory is not known, so that a leader of a large fleet collects as often as any other.
func TestHostMemory(t *testing.T) {
	qt.Check(t, HostMemory() > 64<<20, qt.IsTrue)
}

// Guards against a busy process that grows beyond its host's memory, and against one that is not busy any more and goes
// on with much garbage.
func TestSetBusy(t *testing.T) {
	defer debug.SetGCPercent(debug.SetGCPercent(usualPercent))
	co := New(1000 << 20)
	co.SetBusy(true)
	assertCollection(t, busyPercent, 700<<20)
	co.SetBusy(true)
	assertCollection(t, busyPercent, 700<<20)
	co.SetBusy(false)
	assertCollection(t, usualPercent, math.MaxInt64)
	t.Run("memory not known", func(t *testing.T) {
		New(0).SetBusy(true)
		assertCollection(t, usualPercent, math.MaxInt64)
	})
}
