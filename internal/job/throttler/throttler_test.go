package throttler

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

const testTimeout = 500 * time.Millisecond

// assertGoodput simulates a leader that always has more starts to send. Its link carries one start
// per sendTime, and the answer arrives answerTime later. Nearly the whole capacity of the link must
// go to starts that are answered before the timeout.
func assertGoodput(t *testing.T, sendTime, answerTime time.Duration) {
	t.Helper()
	const duration = 20 * time.Second
	wn, start := New(testTimeout), time.Unix(1_700_000_000, 0)
	type request struct{ sent, answered time.Time }
	var inFlight []request
	linkFreeAt := start
	answers, lost := 0, 0
	for now := start; now.Sub(start) < duration; now = now.Add(time.Millisecond) {
		for len(inFlight) > 0 && !inFlight[0].answered.After(now) {
			latency := inFlight[0].answered.Sub(inFlight[0].sent)
			inFlight = inFlight[1:]
			if latency > testTimeout {
				lost++
				wn.Lost(now)
				continue
			}
			answers++
			wn.Answered(latency, len(inFlight), now)
		}
		for range wn.Available(len(inFlight)) {
			if linkFreeAt.Before(now) {
				linkFreeAt = now
			}
			linkFreeAt = linkFreeAt.Add(sendTime)
			inFlight = append(inFlight, request{now, linkFreeAt.Add(answerTime)})
		}
	}
	goodput := float64(answers) * sendTime.Seconds() / duration.Seconds()
	qt.Check(t, goodput >= 0.9, qt.IsTrue, qt.Commentf("%.2f of the link's capacity", goodput))
	qt.Check(t, float64(lost) <= 0.01*float64(answers), qt.IsTrue, qt.Commentf("%d of %d lost", lost, answers))
}

// Guards against a leader that sends more than its link can carry, so that all answers are late,
// and against one that leaves capacity unused.
func TestWindow(t *testing.T) {
	t.Run("2 Mbit/s", func(t *testing.T) { assertGoodput(t, 2400*time.Microsecond, 10*time.Millisecond) })
	t.Run("0.5 Mbit/s", func(t *testing.T) { assertGoodput(t, 9600*time.Microsecond, 10*time.Millisecond) })
	t.Run("10 Mbit/s far away", func(t *testing.T) { assertGoodput(t, 480*time.Microsecond, 60*time.Millisecond) })
}

// Guards against unreachable workers that shrink the window for all others, and against a window
// that does not grow again.
func TestLost(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	t.Run("other starts are answered", func(t *testing.T) {
		wn := New(testTimeout)
		for range 50 {
			now = now.Add(20 * time.Millisecond)
			wn.Answered(5*time.Millisecond, 0, now)
			wn.Lost(now)
		}
		qt.Check(t, wn.Available(0), qt.Equals, initialSize)
	})
	t.Run("no start is answered", func(t *testing.T) {
		wn := New(testTimeout)
		for range 50 {
			now = now.Add(20 * time.Millisecond)
			wn.Lost(now)
		}
		qt.Check(t, wn.Available(0), qt.Equals, minSize)
		qt.Check(t, wn.Available(100), qt.Equals, 0)
		for range 500 {
			now = now.Add(time.Millisecond)
			wn.Answered(5*time.Millisecond, wn.Available(0), now)
		}
		qt.Check(t, wn.Available(0), qt.Equals, maxSize)
	})
}
