// Package logger writes numbered log events. The catalogue in this package is the source of
// docs/events.md.
package logger

import (
	"fmt"
	"io"
	"log/slog"
	"reflect"

	"github.com/go-logr/logr"
)

// Severity is the level of an event.
type Severity string

// The severities of events.
const (
	SeverityInfo    Severity = "Info"
	SeverityWarning Severity = "Warning"
	SeverityError   Severity = "Error"
)

// Event is a kind of log line. The number of a removed event is not reused.
type Event struct {
	Number int
	Title  string
	// Meaning says in docs/events.md what the event means and what an operator can do.
	Meaning  string
	Severity Severity
}

// New returns a logger that writes lines in the format "json" or "text" to wr. It fails on any
// other format.
func New(wr io.Writer, format string) (logr.Logger, error) {
	var lg logr.Logger
	switch format {
	case "json":
		lg = logr.FromSlogHandler(slog.NewJSONHandler(wr, nil))
	case "text":
		lg = logr.FromSlogHandler(slog.NewTextHandler(wr, nil))
	default:
		return lg, fmt.Errorf("log format %q is not json or text", format)
	}
	if aw, ok := wr.(*AsyncWriter); ok {
		lg = lg.WithSink(limitedSink{lg.GetSink(), aw})
	}
	return lg, nil
}

// limitedSink tells which lines its writer would drop, so that they are not formatted.
type limitedSink struct {
	logr.LogSink
	writer *AsyncWriter
}

// WithValues implements logr.LogSink.
func (ls limitedSink) WithValues(kv ...any) logr.LogSink {
	return limitedSink{ls.LogSink.WithValues(kv...), ls.writer}
}

// WithName implements logr.LogSink.
func (ls limitedSink) WithName(name string) logr.LogSink {
	return limitedSink{ls.LogSink.WithName(name), ls.writer}
}

// Log writes one line for the event. Keys and values alternate in kv; keys are in Pascal case.
func Log(lg logr.Logger, ev Event, kv ...any) {
	if ls, ok := lg.GetSink().(limitedSink); ok && ev.Severity == SeverityInfo && !ls.writer.admitsInfo() {
		return
	}
	args := append(make([]any, 0, 4+len(kv)), "Event", ev.Number, "Severity", string(ev.Severity))
	for _, value := range kv {
		args = append(args, plain(value))
	}
	lg.Info(ev.Title, args...)
}

// plain returns a value of a named string type without methods as a string, which handlers format without reflection
// on each of its uses.
func plain(value any) any {
	if _, ok := value.(string); ok || value == nil {
		return value
	}
	if rv := reflect.ValueOf(value); rv.Kind() == reflect.String && rv.NumMethod() == 0 {
		return rv.String()
	}
	return value
}
