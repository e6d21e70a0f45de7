package appraiser

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

var start = time.Unix(1_700_000_000, 0)

// Guards against a faulty worker that still gets tasks, and against a job whose own faults
// quarantine sound workers.
func TestFaultHistory(t *testing.T) {
	t.Run("faults of two jobs", func(t *testing.T) {
		var fh FaultHistory
		fh.RecordFault("j1", start)
		qt.Check(t, fh.Quarantined(start), qt.IsFalse)
		fh.RecordFault("j2", start.Add(100*time.Millisecond))
		qt.Check(t, fh.Quarantined(start.Add(200*time.Millisecond)), qt.IsTrue)
		qt.Check(t, fh.Quarantined(start.Add(3*time.Second)), qt.IsFalse)
	})
	t.Run("many faults of one job", func(t *testing.T) {
		var fh FaultHistory
		for range 10 {
			fh.RecordFault("j1", start)
		}
		qt.Check(t, fh.Quarantined(start), qt.IsFalse)
	})
	t.Run("successes between faults", func(t *testing.T) {
		var fh FaultHistory
		fh.RecordFault("j1", start)
		fh.RecordSuccess(start.Add(time.Second))
		fh.RecordSuccess(start.Add(2 * time.Second))
		fh.RecordFault("j2", start.Add(3*time.Second))
		qt.Check(t, fh.Quarantined(start.Add(3*time.Second)), qt.IsFalse)
	})
	t.Run("each quarantine is longer", func(t *testing.T) {
		var fh FaultHistory
		at := start
		var last time.Duration
		for range 6 {
			fh.RecordFault("j1", at)
			fh.RecordFault("j2", at)
			qt.Check(t, fh.lastQuarantine >= last && fh.lastQuarantine <= maxQuarantine, qt.IsTrue)
			last, at = fh.lastQuarantine, at.Add(fh.lastQuarantine+time.Millisecond)
		}
		qt.Check(t, last, qt.Equals, maxQuarantine)
	})
}

// Guards against stalled or slow runs that are not detected, and against new runs that would end
// later.
func TestRunProgress(t *testing.T) {
	progressAt := func(progress int) *RunProgress {
		rp := new(RunProgress)
		rp.Begin(start)
		rp.Observe(progress, start.Add(500*time.Millisecond))
		return rp
	}
	t.Run("stalled", func(t *testing.T) {
		qt.Check(t, progressAt(20).Stalled(2*time.Second, 0, start.Add(2*time.Second)), qt.IsTrue)
	})
	t.Run("long task with little progress", func(t *testing.T) {
		qt.Check(t, progressAt(1).Stalled(time.Minute, 0, start.Add(2*time.Second)), qt.IsFalse)
	})
	t.Run("slow", func(t *testing.T) {
		rp := progressAt(5)
		rp.Observe(10, start.Add(time.Second))
		qt.Check(t, rp.Slow(2*time.Second, 0, 400*time.Millisecond, start.Add(time.Second)), qt.IsTrue)
	})
	t.Run("slow but nearly done", func(t *testing.T) {
		rp := progressAt(40)
		rp.Observe(95, start.Add(9*time.Second))
		qt.Check(t, rp.Slow(2*time.Second, 0, 400*time.Millisecond, start.Add(9*time.Second)), qt.IsFalse)
	})
	t.Run("adopted", func(t *testing.T) {
		rp := new(RunProgress)
		rp.Adopt(50, start)
		soon := start.Add(3 * time.Second)
		qt.Check(t, rp.ExpectedRunTime(soon), qt.Equals, time.Duration(0))
		qt.Check(t, rp.Stalled(0, 5*time.Minute, soon), qt.IsFalse)
		qt.Check(t, rp.Stalled(0, 5*time.Minute, start.Add(12*time.Second)), qt.IsTrue)
		qt.Check(t, rp.Stalled(0, 0, start.Add(12*time.Second)), qt.IsFalse)
		qt.Check(t, rp.Stalled(0, 0, start.Add(30*time.Second)), qt.IsTrue)
		rp.Observe(51, soon)
		qt.Check(t, rp.ExpectedRunTime(soon), qt.Equals, time.Duration(0))
		rp.Observe(60, start.Add(30*time.Second))
		total := rp.ExpectedRunTime(start.Add(30 * time.Second))
		qt.Check(t, total > 4*time.Minute && total < 6*time.Minute, qt.IsTrue, qt.Commentf("%v", total))
		qt.Check(t, rp.ExpectedRemaining(start.Add(30*time.Second)), qt.Equals, total*40/100)
	})
	t.Run("neither stalled nor slow without the run time of siblings", func(t *testing.T) {
		rnd := rand.New(rand.NewPCG(1, 5))
		for range 20_000 {
			rp, now := new(RunProgress), start
			if rnd.IntN(3) == 0 {
				rp.Adopt(rnd.IntN(60), now)
			} else {
				rp.Begin(now)
			}
			for progress := rp.progress; progress < 100; progress += rnd.IntN(30) {
				now = now.Add(time.Duration(rnd.IntN(1500)) * time.Millisecond)
				rp.Observe(progress, now)
				if rnd.IntN(4) == 0 {
					break
				}
			}
			now = now.Add(time.Duration(rnd.IntN(1300)) * time.Millisecond)
			typical, restart := time.Duration(1+rnd.IntN(4000))*time.Millisecond, time.Duration(rnd.IntN(1000))*time.Millisecond
			if rp.MayLag(restart, now) {
				continue
			}
			qt.Assert(t, rp.Stalled(typical, time.Second, now), qt.IsFalse)
			qt.Assert(t, rp.Slow(typical, rnd.Float64(), restart, now), qt.IsFalse)
		}
	})
	t.Run("typical run time unknown", func(t *testing.T) {
		qt.Check(t, progressAt(1).Slow(0, 0, 0, start.Add(5*time.Second)), qt.IsFalse)
	})
}
