package meter

import (
	"encoding/json"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Timers of callers' jobs. Each is published as an object with its count and quantiles.
var (
	TimeToStart     = Metric{"TimeToStart", "ms", "From the time when a job is due to the start of each of its tasks."}
	TimeToEnd       = Metric{"TimeToEnd", "ms", "From the submission of a job to the moment when its end is durable."}
	TimeToRecordEnd = Metric{"TimeToNote", "ms", "From the report of ends to the moment when they are durable."}
	TimeToAccept    = Metric{"TimeToAccept", "ms", "From the reading of a submission to its answer."}
	TimeToRecover   = Metric{"TimeToRecover", "ms", "From the beginning of a term to the first placement."}
)

// Timers lists all timers in the order of docs/metrics.md.
var Timers = []Metric{TimeToStart, TimeToEnd, TimeToRecordEnd, TimeToAccept, TimeToRecover}

const (
	// longestTime is the greatest time that a timer tells apart.
	longestTime = 10 * time.Minute
	// timerDigits is the precision of a timer, in decimal digits.
	timerDigits = 2
)

// timer is a histogram of times. It is safe for concurrent use.
type timer struct {
	mu   sync.Mutex
	hist *hdrhistogram.Histogram
}

func newTimer() *timer {
	return &timer{hist: hdrhistogram.New(1, longestTime.Milliseconds(), timerDigits)}
}

func (tm *timer) observe(dur time.Duration) {
	tm.mu.Lock()
	defer tm.mu.Unlock()
	// The value is within the range, so the histogram takes it.
	_ = tm.hist.RecordValue(min(max(dur.Milliseconds(), 1), longestTime.Milliseconds()))
}

// String returns the JSON object of the timer.
func (tm *timer) String() string {
	tm.mu.Lock()
	defer tm.mu.Unlock()
	out, _ := json.Marshal(struct{ Count, P50, P90, P99, Max int64 }{
		tm.hist.TotalCount(), tm.hist.ValueAtQuantile(50), tm.hist.ValueAtQuantile(90), tm.hist.ValueAtQuantile(99), tm.hist.Max(),
	})
	return string(out)
}

// Observe adds a time to a timer of the table. It panics on a timer that is not in the table.
func (rg *Registry) Observe(mt Metric, dur time.Duration) { rg.timers[mt].observe(dur) }
