// Package throttler decides how many starts a leader may have under way. It answers leaders on slow
// links or short of processor time: beyond what these carry, every order is late, orders without answer
// are stopped and sent again, and what is served falls while the load grows.
package throttler

import "time"

const (
	// least and most bound the number of starts under way. Most is what the largest installation needs, 2,800
	// starts a second with answers after 150 ms. A window doubles from initial with each round of answers.
	least, initial, most = 32, 48, 450
	// lateShrink is applied when an answer was late, lostShrink when none comes at all.
	lateShrink, lostShrink = 0.8, 0.5
)

// An answer is late after lateTimes the usual time, which is bounded by leastLate and mostLate of the time
// after which an answer counts as lost. Hosts far away answer after a tenth of a second.
const (
	lateTimes           = 4
	leastLate, mostLate = 1.0 / 6, 1.0 / 4
	// usualRise is the part by which the usual time rises with each answer that took longer.
	usualRise = 0.001
)

// Window is the number of starts that may be under way. It is not safe for concurrent use.
type Window struct {
	// limit is the time from which an answer counts as lost.
	limit time.Duration
	size  float64
	// usual is how long answers take when nothing holds them up, zero before the first.
	usual time.Duration
	// shrunk is when the window was last made smaller, and heard when an answer last came.
	shrunk, heard time.Time
}

// New returns a window for starts that are given up after a limit.
func New(limit time.Duration) *Window { return &Window{limit: limit, size: initial} }

// Available returns how many starts may be added to those under way.
func (wn *Window) Available(underWay int) int { return max(0, int(wn.size)-underWay) }

// Answered takes the time until a start was answered, and how many are under way.
func (wn *Window) Answered(took time.Duration, underWay int, now time.Time) {
	wn.heard = now
	if wn.usual == 0 || took < wn.usual {
		wn.usual = took
	}
	wn.usual += time.Duration(usualRise * float64(took-wn.usual))
	switch {
	case took > wn.late():
		wn.shrink(lateShrink, now)
	case underWay >= int(wn.size)/2:
		wn.size = min(most, wn.size+1)
	}
}

// Lost takes a start without answer. It says nothing while others are answered: its worker is away.
func (wn *Window) Lost(now time.Time) {
	if now.Sub(wn.heard) > wn.share(mostLate) {
		wn.shrink(lostShrink, now)
	}
}

// late returns the time from which an answer is late.
func (wn *Window) late() time.Duration {
	return min(max(lateTimes*wn.usual, wn.share(leastLate)), wn.share(mostLate))
}

// share returns a part of the time after which an answer counts as lost.
func (wn *Window) share(part float64) time.Duration {
	return time.Duration(part * float64(wn.limit))
}

// shrink makes the window smaller, once until the effect can show.
func (wn *Window) shrink(factor float64, now time.Time) {
	if now.Sub(wn.shrunk) < wn.late() {
		return
	}
	wn.size, wn.shrunk = max(least, wn.size*factor), now
}
