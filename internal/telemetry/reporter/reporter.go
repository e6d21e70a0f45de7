// Package reporter logs and counts invalid input of other processes. It logs an input once, however
// often it is read, so that one invalid entry that is rewritten or listed all the time does not fill
// the log.
package reporter

import (
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/currantrouter/currantrouter/internal/telemetry/logger"
	"github.com/currantrouter/currantrouter/internal/telemetry/meter"
)

const (
	// minRepeatInterval is the least time between two lines about one source whose error changes.
	minRepeatInterval = time.Minute
	// maxSources bounds the sources that are remembered.
	maxSources = 1024
	// maxSourceAge is the time after which a source is forgotten when there are maxSources.
	maxSourceAge = time.Hour
	// maxTextBytes bounds the text of an error and the name of a source in the log. Errors may quote
	// the input.
	maxTextBytes = 300
)

// Reporter logs and counts invalid input. It is safe for concurrent use.
type Reporter struct {
	log   logr.Logger
	meter *meter.Registry

	mu sync.Mutex
	// sources holds the last line about each source.
	sources map[string]line
}

// line is the last line about a source.
type line struct {
	text string
	at   time.Time
	// seen is when the source was last reported.
	seen time.Time
}

// New returns a reporter that has logged nothing yet.
func New(lg logr.Logger, rg *meter.Registry) *Reporter {
	return &Reporter{log: lg, meter: rg, sources: map[string]line{}}
}

// Report counts one invalid input in the metric. It logs the event with the keys and values and the
// error, unless the last line about the source has the same error or is younger than
// minRepeatInterval.
func (rp *Reporter) Report(ev logger.Event, mt meter.Metric, source string, err error, kv ...any) {
	rp.meter.Add(mt, 1)
	text := truncate(err.Error())
	if rp.isNew(truncate(source), text, time.Now()) {
		logger.Log(rp.log, ev, append(kv, "Error", text)...)
	}
}

// isNew reports whether the line is due, and remembers it then.
func (rp *Reporter) isNew(source, text string, now time.Time) bool {
	rp.mu.Lock()
	defer rp.mu.Unlock()
	last, known := rp.sources[source]
	if known && (last.text == text || now.Sub(last.at) < minRepeatInterval) {
		last.seen = now
		rp.sources[source] = last
		return false
	}
	if !known && !rp.makeRoom(now) {
		return false
	}
	rp.sources[source] = line{text: text, at: now, seen: now}
	return true
}

// makeRoom forgets old sources if there are maxSources. It returns false if there are none.
func (rp *Reporter) makeRoom(now time.Time) bool {
	if len(rp.sources) < maxSources {
		return true
	}
	for source, last := range rp.sources {
		if now.Sub(last.seen) >= maxSourceAge {
			delete(rp.sources, source)
		}
	}
	return len(rp.sources) < maxSources
}

func truncate(text string) string {
	if len(text) > maxTextBytes {
		return text[:maxTextBytes] + "..."
	}
	return text
}
