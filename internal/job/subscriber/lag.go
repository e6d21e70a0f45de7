package subscriber

import (
	"context"
	"time"

	"github.com/currantrouter/currantrouter/internal/process/pauser"
	"github.com/currantrouter/currantrouter/internal/telemetry/logger"
	"github.com/currantrouter/currantrouter/internal/telemetry/meter"
)

const (
	// lagReportInterval is the interval at which an outdated configuration is logged.
	lagReportInterval = time.Second
	// minReportedLag is the least lag that is logged. Most changes are in force sooner.
	minReportedLag = time.Second
)

// lag records for how long the revision in force has been lower than the highest that peers have reported.
type lag struct {
	// highest is the highest revision that a peer reported, and highestAt is when one first did.
	highest   int64
	highestAt time.Time
	// since is when a peer first reported a revision higher than the one in force. It is zero if none has.
	since time.Time
}

// report takes note of a revision that a peer reports and that is higher than the one in force.
func (la *lag) report(revision int64, now time.Time) {
	if revision <= la.highest {
		return
	}
	la.highest, la.highestAt = revision, now
	if la.since.IsZero() {
		la.since = now
	}
}

// advance takes note of a new revision in force. It returns how long a higher one than the last has been known.
func (la *lag) advance(revision int64, now time.Time) time.Duration {
	behind := la.duration(now)
	la.since = time.Time{}
	if revision < la.highest {
		la.since = la.highestAt
	}
	return behind
}

// duration returns how long a revision higher than the one in force has been known, or zero.
func (la *lag) duration(now time.Time) time.Duration {
	if la.since.IsZero() {
		return 0
	}
	return now.Sub(la.since)
}

// failures counts failures in a row.
type failures struct {
	count int
	// last is the last error. It is nil if count is zero.
	last error
}

// add takes note of a failure, and of a success if the error is nil.
func (fl *failures) add(err error) {
	if err == nil {
		*fl = failures{}
		return
	}
	fl.count, fl.last = fl.count+1, err
}

// text returns the last error, or an empty string.
func (fl *failures) text() string {
	if fl.last == nil {
		return ""
	}
	return fl.last.Error()
}

// reportLag logs at intervals what an outdated configuration waits for, until the context ends.
func (sb *Subscriber) reportLag(ctx context.Context) {
	pauser.Every(ctx, lagReportInterval, func(context.Context) {
		sb.mu.Lock()
		defer sb.mu.Unlock()
		behind := sb.lag.duration(time.Now())
		sb.meter.Set(meter.QueuesOutdated, behind.Milliseconds())
		if behind < minReportedLag {
			return
		}
		logger.Log(sb.log, logger.QueuesOutdated, "Revision", sb.Revision(), "Highest", sb.lag.highest, "Lag", behind.String(),
			"WatchFailures", sb.watchFailures.count, "WatchError", sb.watchFailures.text(),
			"FetchFailures", sb.fetchFailures.count, "FetchError", sb.fetchFailures.text())
	})
}

// onWatchCall takes note of the result of a call of the watch.
func (sb *Subscriber) onWatchCall(err error) {
	sb.recordCall(&sb.watchFailures, meter.QueueWatchFailures, err)
}

// onFetch takes note of the result of a request to a peer.
func (sb *Subscriber) onFetch(err error) {
	sb.recordCall(&sb.fetchFailures, meter.QueueFetchFailures, err)
}

// recordCall counts a failed call in the metric and in the failures in a row, which a successful one ends.
func (sb *Subscriber) recordCall(fl *failures, mt meter.Metric, err error) {
	sb.mu.Lock()
	defer sb.mu.Unlock()
	fl.add(err)
	if err != nil {
		sb.meter.Add(mt, 1)
	}
}
