// Package logger writes numbered log events. The catalogue in this package is the source of
// docs/events.md.
package logger

import (
	"fmt"
	"io"
	"log/slog"

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
	switch format {
	case "json":
		return logr.FromSlogHandler(slog.NewJSONHandler(wr, nil)), nil
	case "text":
		return logr.FromSlogHandler(slog.NewTextHandler(wr, nil)), nil
	}
	return logr.Logger{}, fmt.Errorf("log format %q is not json or text", format)
}

// Log writes one line for the event. Keys and values alternate in kv; keys are in Pascal case.
func Log(lg logr.Logger, ev Event, kv ...any) {
	args := append([]any{"Event", ev.Number, "Severity", string(ev.Severity)}, kv...)
	lg.Info(ev.Title, args...)
}
