package director_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"

	"github.com/currantrouter/currantrouter/internal/job/modeler"
	"github.com/currantrouter/currantrouter/internal/provider/emulator"
	"github.com/currantrouter/currantrouter/internal/telemetry/logger"
	"github.com/currantrouter/currantrouter/internal/telemetry/meter"
)

const (
	// maxInfoLinesPerSecond and maxInfoBurst are the bounds of informational lines that docs/OPERATIONS.md states.
	maxInfoLinesPerSecond, maxInfoBurst = 1500, 3000
	// maxLogBytes bounds the lines that wait for a reader: those in the buffer and those being written.
	maxLogBytes = 2 * 512 << 10
)

// processLog is the log of a process as currantd sets it up, beside the recorder of a fleet.
type processLog struct {
	*logger.AsyncWriter
	pipe *io.PipeReader
	end  *io.PipeWriter
	// written counts the lines that the process has logged.
	written atomic.Int64
	out     bytes.Buffer
	read    chan struct{}
}

// newProcessLog returns a log that is written to a pipe.
func newProcessLog(fl *fleet) *processLog {
	pl := &processLog{read: make(chan struct{})}
	pl.pipe, pl.end = io.Pipe()
	var lg logr.Logger
	pl.AsyncWriter = logger.NewAsyncWriter(pl.end, func(lines int64) { logger.Log(lg, logger.LogLinesDropped, "Dropped", lines) })
	lg, err := logger.New(pl, "json")
	qt.Assert(fl.t, err, qt.IsNil)
	fl.logs.also = pl
	return pl
}

// Write logs a line.
func (pl *processLog) Write(line []byte) (int, error) {
	pl.written.Add(1)
	return pl.AsyncWriter.Write(line)
}

// startReading reads the pipe from now on.
func (pl *processLog) startReading() {
	go func() {
		defer close(pl.read)
		_, _ = io.Copy(&pl.out, pl.pipe)
	}()
}

// lines ends the log and returns what was read, by event.
func (pl *processLog) lines(t *testing.T) map[int][]logLine {
	t.Helper()
	pl.Close()
	_ = pl.end.Close()
	<-pl.read
	lines := map[int][]logLine{}
	for text := range bytes.Lines(pl.out.Bytes()) {
		var ln logLine
		qt.Assert(t, json.Unmarshal(text, &ln), qt.IsNil)
		event := int(ln["Event"].(float64))
		lines[event] = append(lines[event], ln)
	}
	return lines
}

// assertDropped checks that each line was either read or counted in an event 669, and that some were not read.
func (pl *processLog) assertDropped(t *testing.T, lines map[int][]logLine) {
	t.Helper()
	var read, dropped int64
	for _, list := range lines {
		read += int64(len(list))
	}
	for _, ln := range lines[logger.LogLinesDropped.Number] {
		dropped += int64(ln["Dropped"].(float64))
	}
	qt.Check(t, dropped > 0, qt.IsTrue)
	qt.Check(t, read+dropped, qt.Equals, pl.written.Load())
}

// submitShort submits jobs of many short tasks at a rate, of which every failing-th job has a task that fails. It
// returns the failing ones.
func (tm *term) submitShort(jobs, tasks, failing int, pause time.Duration) []modeler.JobID {
	var list []modeler.JobID
	for no := range jobs {
		jb := simpleJob(modeler.JobID(fmt.Sprint("job-", no)), "batch", tasks, cores(1000))
		for ix := range tasks {
			fails := failing > 0 && no%failing == failing-1 && ix == 0
			tm.fleet.setBehaviour(modeler.TaskID{Job: jb.ID, Index: ix}, emulator.TaskBehaviour{RunTime: 50 * time.Millisecond, Fails: fails})
		}
		if failing > 0 && no%failing == failing-1 {
			list = append(list, jb.ID)
		}
		tm.submit(jb)
		sleep(pause)
	}
	return list
}

// Guards against decisions that wait for a reader of the log: nobody reads the pipe of the process while its
// leader goes on. The lines that do not fit are counted, and nothing else is lost.
func TestJobsRunOnBesideABlockedLog(t *testing.T) {
	const jobs, tasks, pause = 100, 40, 100 * time.Millisecond
	took := map[bool]time.Duration{}
	for _, blocked := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			fl := newFleet(t, 8)
			pl := newProcessLog(fl)
			if !blocked {
				pl.startReading()
			}
			tm := fl.startTerm(0)
			defer func() { tm.end() }()
			began := time.Now()
			tm.submitShort(jobs, tasks, 0, pause)
			tm.awaitAll(time.Minute)
			took[blocked] = time.Since(began)
			qt.Check(t, tm.allCompleted(), qt.IsTrue)
			if blocked {
				pl.startReading()
				sleep(time.Second)
			}
			tm.end()
			fl.assertNoViolations()
			lines := pl.lines(t)
			if blocked {
				qt.Check(t, pl.out.Len() <= maxLogBytes, qt.IsTrue, qt.Commentf("%d bytes", pl.out.Len()))
				pl.assertDropped(t, lines)
				return
			}
			qt.Check(t, lines[logger.TaskStarted.Number], qt.HasLen, jobs*tasks)
		})
	}
	qt.Check(t, took[true], qt.Equals, took[false])
}

// Guards against a log whose volume grows with the load, and against lines of failed jobs that are left out while
// those of successful ones are written: more tasks start than lines may be written.
func TestLogVolumeInAStorm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fl := newFleet(t, 40)
		pl := newProcessLog(fl)
		pl.startReading()
		tm := fl.startTerm(0)
		defer func() { tm.end() }()
		began := time.Now()
		failing := tm.submitShort(120, 200, 2, 50*time.Millisecond)
		sleep(3 * time.Second)
		seconds := int(time.Since(began)/time.Second) + 1
		for _, id := range failing {
			tm.assertState(id, modeler.Failed)
		}
		tm.end()
		lines := pl.lines(t)
		pl.assertDropped(t, lines)
		infos := 0
		for _, list := range lines {
			if list[0]["Severity"] == string(logger.SeverityInfo) {
				infos += len(list)
			}
		}
		started := int(fl.registry.Value(meter.WorkerStarts))
		limit := maxInfoBurst + seconds*maxInfoLinesPerSecond
		qt.Check(t, started > limit, qt.IsTrue, qt.Commentf("%d starts are no storm for %d lines", started, limit))
		qt.Check(t, infos <= limit, qt.IsTrue, qt.Commentf("%d informational lines, allowed are %d", infos, limit))
		qt.Check(t, len(lines[logger.TaskStarted.Number]) < started, qt.IsTrue)
		qt.Check(t, lines[logger.TaskFailed.Number], qt.HasLen, int(fl.registry.Value(meter.TasksFailed)))
		for _, id := range failing {
			qt.Check(t, count(lines[logger.JobFailed.Number], "Job", string(id)), qt.Equals, 1)
			runs := count(lines[logger.TaskFailed.Number], "Task", modeler.TaskID{Job: id}.String())
			qt.Check(t, runs, qt.Equals, 3, qt.Commentf("failed runs of %s", id))
		}
	})
}

// count returns the number of lines with the value.
func count(lines []logLine, key, value string) int {
	num := 0
	for _, ln := range lines {
		if ln[key] == value {
			num++
		}
	}
	return num
}
