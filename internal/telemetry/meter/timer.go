package meter

import (
	"encoding/json"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Timers of callers' jobs. Each is published as an object with the count, quantiles and maximum.
var (
	TimeToStart         = Metric{"TimeToStart", "ms", "Time from when a job is due to the start of each of its tasks."}
	TimeToEnd           = Metric{"TimeToEnd", "ms", "Time from the submission of a job until its end is durable."}
	TimeToRecordEnd     = Metric{"TimeToNote", "ms", "Time from the report that runs ended until their ends are durable."}
	TimeToAccept        = Metric{"TimeToAccept", "ms", "Time from reading a submission to answering it."}
	TimeToStopCancelled = Metric{"TimeToStopCancelled", "ms", "Time from when the leader hears of a cancellation to the end of the last run of the job."}
	TimeReportsHeld     = Metric{"TimeReportsHeld", "ms", "Time for which reports of workers could not be handled because a job of theirs was unknown and was read from the store."}
	TimeFromFree        = Metric{"TimeFromFree", "ms", "Time from when capacity became free on a worker, as the leader learned of it, to the start there of a long-running task that waited by then. No further back than the last 8 changes of the worker's free capacity."}
	TimeToRecover       = Metric{"TimeToRecover", "ms", "Time from the start of a leader's term to its first placement."}
)

// Timers lists all timers in the order of docs/metrics.md.
var Timers = []Metric{TimeToStart, TimeToEnd, TimeToRecordEnd, TimeToAccept, TimeToRecover, TimeToStopCancelled, TimeReportsHeld, TimeFromFree}

const (
	// maxTimerValue is the upper bound of the histograms. Longer times are recorded as this value.
	maxTimerValue = 10 * time.Minute
	// timerDecimalDigits is the number of significant decimal digits of the histograms.
	timerDecimalDigits = 2
)

// timer is a histogram of durations in milliseconds. It is safe for concurrent use.
type timer struct {
	mu   sync.Mutex
	hist *hdrhistogram.Histogram
}

func newTimer() *timer {
	return &timer{hist: hdrhistogram.New(1, maxTimerValue.Milliseconds(), timerDecimalDigits)}
}

func (tm *timer) observe(dur time.Duration) {
	tm.mu.Lock()
	defer tm.mu.Unlock()
	// RecordValue fails only on values outside the range of the histogram.
	_ = tm.hist.RecordValue(min(max(dur.Milliseconds(), 1), maxTimerValue.Milliseconds()))
}

// String returns the JSON object that is published for the timer.
func (tm *timer) String() string {
	tm.mu.Lock()
	defer tm.mu.Unlock()
	out, _ := json.Marshal(struct{ Count, P50, P90, P99, Max int64 }{
		tm.hist.TotalCount(), tm.hist.ValueAtQuantile(50), tm.hist.ValueAtQuantile(90), tm.hist.ValueAtQuantile(99), tm.hist.Max(),
	})
	return string(out)
}

// Observe records a duration in a timer. It panics on a timer that is not in Timers.
func (rg *Registry) Observe(mt Metric, dur time.Duration) { rg.timers[mt].observe(dur) }
