package director

import (
	"syscall"
	"time"

	"github.com/currantrouter/currantrouter/internal/telemetry/logger"
	"github.com/currantrouter/currantrouter/internal/telemetry/meter"
)

// usage is what the director's work has cost since the last line on it in the log. The times are those for which the
// director's lock was held, except where a field says otherwise.
type usage struct {
	// since is when the last line was logged, zero before the first. processor is the processor time that the process
	// had used then.
	since     time.Time
	processor time.Duration
	// rounds have placed tasks for roundTime, the longest of them for longestRound.
	rounds                  int
	roundTime, longestRound time.Duration
	// costsComputed is the number of costs of a worker for a demand that these rounds computed.
	costsComputed int
	// reports with reportRows rows were handled for reportTime, after they had waited for the lock for lockWait in
	// all and for longestLockWait at most.
	reports, reportRows                   int
	reportTime, lockWait, longestLockWait time.Duration
	// starts were answered. They had been queued for their workers for queued in all, and their answers took answer.
	starts         int
	queued, answer time.Duration
	// unanswered starts got no answer in time.
	unanswered int
}

// addRound adds a placement round that ended now.
func (us *usage) addRound(began time.Time) {
	took := time.Since(began)
	us.rounds++
	us.roundTime += took
	us.longestRound = max(us.longestRound, took)
}

// addReport adds a report that arrived at a time, and was handled from another time until now.
func (us *usage) addReport(arrived, began time.Time, rows int) {
	waited := began.Sub(arrived)
	us.reports++
	us.reportRows += rows
	us.reportTime += time.Since(began)
	us.lockWait += waited
	us.longestLockWait = max(us.longestLockWait, waited)
}

// addStart adds the answer to a start that arrived at a time.
func (us *usage) addStart(at *attempt, answeredAt time.Time) {
	us.starts++
	us.queued += at.sentAt.Sub(at.queuedAt)
	us.answer += answeredAt.Sub(at.sentAt)
}

// processorTime returns the processor time that this process has used, or zero if the system does not tell.
func processorTime() time.Duration {
	var ru syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &ru) != nil {
		return 0
	}
	return time.Duration(ru.Utime.Nano() + ru.Stime.Nano())
}

// logUsage logs what the director's work has cost since the last line, and begins anew.
func (dr *Director) logUsage(now time.Time) {
	us, processor := &dr.usage, processorTime()
	mean := func(sum time.Duration, count int) string { return (sum / time.Duration(max(count, 1))).String() }
	if !us.since.IsZero() {
		dr.log(logger.LeaderUsage, "Interval", now.Sub(us.since).String(), "Processor", (processor - us.processor).String(),
			"Rounds", us.rounds, "RoundTime", us.roundTime.String(), "LongestRound", us.longestRound.String(), "CostsComputed", us.costsComputed,
			"Reports", us.reports, "ReportRows", us.reportRows, "ReportTime", us.reportTime.String(),
			"MeanLockWait", mean(us.lockWait, us.reports), "LongestLockWait", us.longestLockWait.String(),
			"Starts", us.starts, "MeanQueued", mean(us.queued, us.starts), "MeanAnswer", mean(us.answer, us.starts), "Unanswered", us.unanswered)
	}
	dr.op.Meter.Add(meter.PlacementRounds, int64(us.rounds))
	dr.op.Meter.Add(meter.PlacementCostsComputed, int64(us.costsComputed))
	dr.op.Meter.Add(meter.ReportRowsHandled, int64(us.reportRows))
	dr.usage = usage{since: now, processor: processor}
}
