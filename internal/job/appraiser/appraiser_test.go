package appraiser

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

var start = time.Unix(1_700_000_000, 0)

// Guards against a bad worker that goes on getting tasks, and a bad job that closes good workers.
func TestRecord(t *testing.T) {
	t.Run("two jobs", func(t *testing.T) {
		var rc FaultHistory
		rc.RecordFault("j1", start)
		qt.Check(t, rc.Quarantined(start), qt.IsFalse)
		rc.RecordFault("j2", start.Add(100*time.Millisecond))
		qt.Check(t, rc.Quarantined(start.Add(200*time.Millisecond)), qt.IsTrue)
		qt.Check(t, rc.Quarantined(start.Add(3*time.Second)), qt.IsFalse)
	})
	t.Run("one job fails often", func(t *testing.T) {
		var rc FaultHistory
		for range 10 {
			rc.RecordFault("j1", start)
		}
		qt.Check(t, rc.Quarantined(start), qt.IsFalse)
	})
	t.Run("successes between", func(t *testing.T) {
		var rc FaultHistory
		rc.RecordFault("j1", start)
		rc.RecordSuccess(start.Add(time.Second))
		rc.RecordSuccess(start.Add(2 * time.Second))
		rc.RecordFault("j2", start.Add(3*time.Second))
		qt.Check(t, rc.Quarantined(start.Add(3*time.Second)), qt.IsFalse)
	})
	t.Run("each quarantine is longer", func(t *testing.T) {
		var rc FaultHistory
		at := start
		var last time.Duration
		for range 6 {
			rc.RecordFault("j1", at)
			rc.RecordFault("j2", at)
			qt.Check(t, rc.span >= last && rc.span <= longestQuarantine, qt.IsTrue)
			last, at = rc.span, at.Add(rc.span+time.Millisecond)
		}
		qt.Check(t, last, qt.Equals, longestQuarantine)
	})
}

// Guards against runs that stand still or crawl unnoticed, and against moves that cost more than they
// gain.
func TestWatch(t *testing.T) {
	watch := func(progress int) *RunProgress {
		wt := new(RunProgress)
		wt.Begin(start)
		wt.Observe(progress, start.Add(500*time.Millisecond))
		return wt
	}
	t.Run("stands still", func(t *testing.T) {
		qt.Check(t, watch(20).Stalled(2*time.Second, start.Add(2*time.Second)), qt.IsTrue)
	})
	t.Run("a long task moves slowly", func(t *testing.T) {
		qt.Check(t, watch(1).Stalled(time.Minute, start.Add(2*time.Second)), qt.IsFalse)
	})
	t.Run("crawls", func(t *testing.T) {
		wt := watch(5)
		wt.Observe(10, start.Add(time.Second))
		qt.Check(t, wt.Slow(2*time.Second, 0, 400*time.Millisecond, start.Add(time.Second)), qt.IsTrue)
	})
	t.Run("nearly done", func(t *testing.T) {
		wt := watch(40)
		wt.Observe(95, start.Add(9*time.Second))
		qt.Check(t, wt.Slow(2*time.Second, 0, 400*time.Millisecond, start.Add(9*time.Second)), qt.IsFalse)
	})
	t.Run("nothing to compare with", func(t *testing.T) {
		qt.Check(t, watch(1).Slow(0, 0, 0, start.Add(5*time.Second)), qt.IsFalse)
	})
}
