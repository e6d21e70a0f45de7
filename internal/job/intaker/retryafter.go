package intaker

import "time"

const (
	// minRetryAfter is the time after which a refused caller should retry at the beginning of an
	// outage of the store. This host retries calls to the store every few tenths of a second.
	minRetryAfter = time.Second
	// minLongOutage is the age of an outage from which callers should retry after maxRetryAfter. Most
	// outages that have lasted so long last some seconds more, and callers repeat a request only a few
	// times.
	minLongOutage = 1500 * time.Millisecond
	// maxRetryAfter is the time after which a refused caller should retry during a long outage.
	maxRetryAfter = 2 * time.Second
)

// RetryAfter returns the time after which a refused caller should retry, in whole seconds.
func (it *Intaker) RetryAfter() time.Duration { return retryAfter(it.op.StoreAge()) }

// retryAfter returns the time after which a refused caller should retry. The parameter outage is
// the time since the store last answered this host. Callers give up after a few attempts. Those
// whose first attempt falls on the beginning of an outage should have attempts left when it ends.
func retryAfter(outage time.Duration) time.Duration {
	if outage < minLongOutage {
		return minRetryAfter
	}
	return maxRetryAfter
}
