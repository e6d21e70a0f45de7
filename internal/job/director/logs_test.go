package director_test

import (
	"bytes"
	"encoding/json"
	"io"
	"os"
	"slices"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"

	"github.com/currantrouter/currantrouter/internal/telemetry/logger"
)

// logLine is a line of the log, by key.
type logLine map[string]any

// logRecorder records the log of the terms of a fleet, by event. It keeps the last lines only, so that
// long tests need little memory.
type logRecorder struct {
	mu    sync.Mutex
	lines map[int][]logLine
	// also receives all lines as well, unless it is nil.
	also io.Writer
}

// maxRecordedLines bounds the lines that are kept of each event.
const maxRecordedLines = 1000

// recordedEvents are the events that tests look for.
var recordedEvents = []logger.Event{
	logger.JobCancelled, logger.WorkerUnreachable, logger.LeaseBounded, logger.LongRunningTaskWaits, logger.TasksWaitLong, logger.CancellationIneffective,
	logger.CancellationDropped, logger.CancelledRunGoesOn, logger.ReportHeldUp, logger.JobNotRead, logger.RenewalsLate,
	logger.LoadSummary, logger.SpeculativeRunAllowed, logger.EvacuationsListed, logger.EvacuationsChanged, logger.EvacuationViewOutdated, logger.EvacuationViewRecovered,
	logger.EvacuationMoveBegun, logger.EvacuationPlaceLost,
	logger.ShortageBegan, logger.ShortageOver, logger.ShortageGoes, logger.LongRunningTaskStalled, logger.WorkerHeldLong,
}

// logger returns a logger that records its lines. It prints them as well if DIRECTOR_LOG is set.
func (lr *logRecorder) logger(t testing.TB) logr.Logger {
	var wr io.Writer = lr
	if lr.also != nil {
		wr = io.MultiWriter(wr, lr.also)
	}
	if os.Getenv("DIRECTOR_LOG") != "" {
		wr = io.MultiWriter(wr, os.Stdout)
	}
	lg, err := logger.New(wr, "json")
	qt.Assert(t, err, qt.IsNil)
	return lg
}

// Write records one line.
func (lr *logRecorder) Write(line []byte) (int, error) {
	for _, ev := range recordedEvents {
		if !bytes.Contains(line, []byte(`"msg":"`+ev.Title+`"`)) {
			continue
		}
		var ln logLine
		if err := json.Unmarshal(line, &ln); err != nil {
			return 0, err
		}
		lr.mu.Lock()
		defer lr.mu.Unlock()
		if lr.lines == nil {
			lr.lines = map[int][]logLine{}
		}
		if lr.lines[ev.Number] = append(lr.lines[ev.Number], ln); len(lr.lines[ev.Number]) > maxRecordedLines {
			lr.lines[ev.Number] = lr.lines[ev.Number][1:]
		}
	}
	return len(line), nil
}

// of returns the lines of an event that have all of the given values.
func (lr *logRecorder) of(ev logger.Event, want logLine) []logLine {
	lr.mu.Lock()
	defer lr.mu.Unlock()
	var list []logLine
	for _, ln := range lr.lines[ev.Number] {
		if ln.matches(want) {
			list = append(list, ln)
		}
	}
	return slices.Clip(list)
}

func (ln logLine) matches(want logLine) bool {
	for key, value := range want {
		if ln[key] != value {
			return false
		}
	}
	return true
}

// assertLogged checks that the log has a line of an event with the given values, and returns the first.
func (fl *fleet) assertLogged(ev logger.Event, want logLine) logLine {
	fl.t.Helper()
	found := fl.logs.of(ev, want)
	qt.Assert(fl.t, len(found) > 0, qt.IsTrue, qt.Commentf("no %q with %v, but %v", ev.Title, want, fl.logs.of(ev, nil)))
	return found[0]
}

// assertNotLogged checks that the log has no line of an event with the given values.
func (fl *fleet) assertNotLogged(ev logger.Event, want logLine) {
	fl.t.Helper()
	qt.Check(fl.t, fl.logs.of(ev, want), qt.HasLen, 0)
}
