package intaker

import "time"

const (
	// soonReturn is when a refused caller should come back at the beginning of an outage of the store,
	// which is tried every few tenths of a second.
	soonReturn = time.Second
	// longOutage is the age of an outage from which a caller should come back after lateReturn. Most
	// outages that have lasted so long last some seconds more, and callers repeat a request only a few
	// times.
	longOutage = 1500 * time.Millisecond
	lateReturn = 2 * time.Second
)

// RetryAfter returns when a caller should come back after a refusal, in whole seconds.
func (it *Intaker) RetryAfter() time.Duration { return returnAfter(it.op.StoreAge()) }

// returnAfter takes the time since the store last served this host. It answers callers who give up
// after a few tries: those who come at the beginning of an outage should not have used them all up
// when it ends.
func returnAfter(outage time.Duration) time.Duration {
	if outage < longOutage {
		return soonReturn
	}
	return lateReturn
}
