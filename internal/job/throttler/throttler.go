// Package throttler limits the starts that a leader may have in flight, like the congestion window
// of a transport protocol. It is made for leaders on slow links or with little processor time. When
// such a leader sends more than these can carry, every start is answered late, starts without
// answer are stopped and sent again, and throughput falls while the load grows.
package throttler

import "time"

const (
	// minSize is the smallest window, in starts.
	minSize = 32
	// initialSize is the window of a new leader, in starts. The window doubles with each round trip
	// as long as answers are not late and the window is in use.
	initialSize = 48
	// maxSize is the largest window, in starts. The largest deployment needs 420: 2,800 starts a
	// second with answers after 150 ms.
	maxSize = 450
	// lateFactor multiplies the window when an answer is late.
	lateFactor = 0.8
	// lostFactor multiplies the window when a start gets no answer.
	lostFactor = 0.5
)

const (
	// lateMultiple is the multiple of the base latency after which an answer is late, within the
	// bounds given by minLateShare and maxLateShare. Distant workers answer after about 100 ms.
	lateMultiple = 4
	// minLateShare is the smallest share of the timeout after which an answer is late.
	minLateShare = 1.0 / 6
	// maxLateShare is the largest share of the timeout after which an answer is late.
	maxLateShare = 1.0 / 4
	// baseRiseFactor is the share of the difference by which the base latency rises with each
	// answer that took longer.
	baseRiseFactor = 0.001
)

// Window limits the number of starts in flight. It is not safe for concurrent use.
type Window struct {
	// timeout is the time after which a start without answer counts as lost.
	timeout time.Duration
	// size is the maximum number of starts in flight, from minSize to maxSize.
	size float64
	// baseLatency is the estimated time to an answer without congestion: the lowest one seen, which
	// rises slowly with slower answers. It is 0 before the first answer.
	baseLatency time.Duration
	// lastShrink is when the window was last reduced.
	lastShrink time.Time
	// lastAnswer is when an answer last arrived.
	lastAnswer time.Time
}

// New returns a window for starts that count as lost after a timeout.
func New(timeout time.Duration) *Window { return &Window{timeout: timeout, size: initialSize} }

// Available returns how many more starts may be sent, given the number in flight.
func (wn *Window) Available(inFlight int) int { return max(0, int(wn.size)-inFlight) }

// Answered records that a start was answered after some time, and how many starts are in flight. An
// answer that is not late enlarges the window if at least half of it is in use.
func (wn *Window) Answered(latency time.Duration, inFlight int, now time.Time) {
	wn.lastAnswer = now
	if wn.baseLatency == 0 || latency < wn.baseLatency {
		wn.baseLatency = latency
	}
	wn.baseLatency += time.Duration(baseRiseFactor * float64(latency-wn.baseLatency))
	switch {
	case latency > wn.lateAfter():
		wn.shrink(lateFactor, now)
	case inFlight >= int(wn.size)/2:
		wn.size = min(maxSize, wn.size+1)
	}
}

// Lost records that a start got no answer. It is ignored while other starts are answered: then only
// its worker is unreachable.
func (wn *Window) Lost(now time.Time) {
	if now.Sub(wn.lastAnswer) > wn.timeoutShare(maxLateShare) {
		wn.shrink(lostFactor, now)
	}
}

// lateAfter returns the time after which an answer is late.
func (wn *Window) lateAfter() time.Duration {
	return min(max(lateMultiple*wn.baseLatency, wn.timeoutShare(minLateShare)), wn.timeoutShare(maxLateShare))
}

// timeoutShare returns a share of the timeout.
func (wn *Window) timeoutShare(share float64) time.Duration {
	return time.Duration(share * float64(wn.timeout))
}

// shrink multiplies the window by a factor below 1, unless it did so too recently for the effect to
// show.
func (wn *Window) shrink(factor float64, now time.Time) {
	if now.Sub(wn.lastShrink) < wn.lateAfter() {
		return
	}
	wn.size, wn.lastShrink = max(minSize, wn.size*factor), now
}
