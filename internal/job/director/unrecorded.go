package director

import "time"

const (
	// minUnrecordedInterval is the least time between two renewals of a worker while its ends cannot be recorded.
	minUnrecordedInterval = 100 * time.Millisecond
	// renewalCost and rowCost bound the renewals of all workers in that time to 150 a second, and the ends that they
	// list again with each to 10,000 a second, about 1 MB. With 48 workers, 7 renewals a second of each were too many for
	// hosts with 0.11 of a core.
	renewalCost = time.Second / 150
	rowCost     = 100 * time.Microsecond
)

// unrecordedInterval returns how long the next renewal of a worker waits until the facts of the last report are
// durable. While they cannot be recorded, as the store is away, the worker answers each renewal at once, since
// it lists its ends again. Its further ends are still found soon: their tasks need not be durable for
// the next steps to start and for their capacity to be used.
func (dr *Director) unrecordedInterval(wk *worker, rows int) time.Duration {
	dr.mu.Lock()
	defer dr.mu.Unlock()
	const longest = maxDurableWait + unrecordedEndsPause
	if wk.recording == nil {
		return longest
	}
	now := time.Now()
	interval := longest
	for _, at := range wk.attempts {
		switch {
		case at.stopping:
			interval = 0
		case at.state == active && !at.task.step.spec.LongRunning:
			// It is zero when unknown or when the run takes longer than expected.
			interval = min(interval, at.runProgress.ExpectedRemaining(now))
		}
	}
	cost := time.Duration(len(dr.workers)) * (renewalCost + time.Duration(rows)*rowCost)
	return max(min(max(interval, minUnrecordedInterval, cost), longest), maxDurableWait-now.Sub(wk.recordingSince))
}
