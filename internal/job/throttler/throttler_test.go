package throttler

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

const testLimit = 500 * time.Millisecond

// assertCarries plays a leader that always has more to start over a link that carries one start in a
// certain time, and answers a while later.
func assertCarries(t *testing.T, each, answer time.Duration) {
	t.Helper()
	const length = 20 * time.Second
	wn, start := New(testLimit), time.Unix(1_700_000_000, 0)
	type order struct{ sent, answered time.Time }
	var underWay []order
	free := start
	good, lost := 0, 0
	for now := start; now.Sub(start) < length; now = now.Add(time.Millisecond) {
		for len(underWay) > 0 && !underWay[0].answered.After(now) {
			took := underWay[0].answered.Sub(underWay[0].sent)
			underWay = underWay[1:]
			if took > testLimit {
				lost++
				wn.Lost(now)
				continue
			}
			good++
			wn.Answered(took, len(underWay), now)
		}
		for range wn.Available(len(underWay)) {
			if free.Before(now) {
				free = now
			}
			free = free.Add(each)
			underWay = append(underWay, order{now, free.Add(answer)})
		}
	}
	carried := float64(good) * each.Seconds() / length.Seconds()
	qt.Check(t, carried >= 0.9, qt.IsTrue, qt.Commentf("%.2f of what the link carries", carried))
	qt.Check(t, float64(lost) <= 0.01*float64(good), qt.IsTrue, qt.Commentf("%d of %d lost", lost, good))
}

// Guards against a leader that sends more than its link carries, so that all answers are late, and
// against one that sends less.
func TestWindow(t *testing.T) {
	t.Run("2 Mbit/s", func(t *testing.T) { assertCarries(t, 2400*time.Microsecond, 10*time.Millisecond) })
	t.Run("0.5 Mbit/s", func(t *testing.T) { assertCarries(t, 9600*time.Microsecond, 10*time.Millisecond) })
	t.Run("10 Mbit/s far away", func(t *testing.T) { assertCarries(t, 480*time.Microsecond, 60*time.Millisecond) })
}

// Guards against workers that are away and hold up all others, and against a window that stays small.
func TestLost(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	t.Run("others are answered", func(t *testing.T) {
		wn := New(testLimit)
		for range 50 {
			now = now.Add(20 * time.Millisecond)
			wn.Answered(5*time.Millisecond, 0, now)
			wn.Lost(now)
		}
		qt.Check(t, wn.Available(0), qt.Equals, initial)
	})
	t.Run("none is answered", func(t *testing.T) {
		wn := New(testLimit)
		for range 50 {
			now = now.Add(20 * time.Millisecond)
			wn.Lost(now)
		}
		qt.Check(t, wn.Available(0), qt.Equals, least)
		qt.Check(t, wn.Available(100), qt.Equals, 0)
		for range 500 {
			now = now.Add(time.Millisecond)
			wn.Answered(5*time.Millisecond, wn.Available(0), now)
		}
		qt.Check(t, wn.Available(0), qt.Equals, most)
	})
}
