package logger

import (
	"bytes"
	"io"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

// blockedWriter blocks every write until release is closed.
type blockedWriter struct{ release chan struct{} }

func (bw blockedWriter) Write(line []byte) (int, error) {
	<-bw.release
	return len(line), nil
}

// Guards against a caller of Write that waits for a blocked reader of the log.
func TestAsyncWriterNeverBlocks(t *testing.T) {
	rd, wr := io.Pipe()
	defer rd.Close()
	var dropped atomic.Int64
	aw := NewAsyncWriter(wr, func(lines int64) { dropped.Add(lines) })
	line := []byte(`{"Severity":"Info","text":"` + strings.Repeat("x", 200) + "\"}\n")
	for range 20_000 {
		_, err := aw.Write(line)
		qt.Assert(t, err, qt.IsNil)
	}
	aw.Close()
}

// Guards against a flood of lines that exhausts memory, and against warnings that are dropped before
// informational lines.
func TestAsyncWriterBounds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		bw := blockedWriter{make(chan struct{})}
		var dropped atomic.Int64
		aw := NewAsyncWriter(bw, func(lines int64) { dropped.Add(lines) })
		info := []byte(`{"Severity":"Info"}` + strings.Repeat(" ", 300) + "\n")
		warning := []byte(`{"Severity":"Warning"}` + strings.Repeat(" ", 300) + "\n")
		for range 5000 {
			_, _ = aw.Write(info)
		}
		for range 300 {
			_, _ = aw.Write(warning)
		}
		aw.mu.Lock()
		warnings := bytes.Count(aw.pending, []byte("Warning"))
		size := len(aw.pending)
		aw.mu.Unlock()
		qt.Check(t, warnings, qt.Equals, 300)
		qt.Check(t, size <= maxPendingBytes, qt.IsTrue)
		time.Sleep(2 * flushInterval)
		qt.Check(t, dropped.Load() > 0, qt.IsTrue)
		close(bw.release)
		aw.Close()
	})
}

// Guards against informational lines above the rate limit.
func TestAsyncWriterRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		aw := NewAsyncWriter(&out, func(int64) {})
		const seconds = 20
		for range seconds * 10 {
			for range 500 {
				_, _ = aw.Write([]byte("Severity=Info\n"))
			}
			time.Sleep(100 * time.Millisecond)
		}
		aw.Close()
		lines := bytes.Count(out.Bytes(), []byte("\n"))
		qt.Check(t, lines <= maxInfoBurst+seconds*maxInfoLinesPerSecond, qt.IsTrue, qt.Commentf("%d lines", lines))
		qt.Check(t, lines >= seconds*maxInfoLinesPerSecond, qt.IsTrue, qt.Commentf("%d lines", lines))
	})
}

// Guards against warnings that are dropped while informational lines stay pending, as the reader stands
// still for longer than the reserve for warnings lasts.
func TestAsyncWriterWarningsReplaceInfo(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		bw := blockedWriter{make(chan struct{})}
		var dropped atomic.Int64
		aw := NewAsyncWriter(bw, func(lines int64) { dropped.Add(lines) })
		info := []byte(`{"Severity":"Info"}` + strings.Repeat(" ", 300) + "\n")
		warning := []byte(`{"Severity":"Warning"}` + strings.Repeat(" ", 300) + "\n")
		const infos = 1000
		fitting := maxPendingBytes / len(warning)
		for range infos {
			_, _ = aw.Write(info)
		}
		for range fitting + 10 {
			_, _ = aw.Write(warning)
		}
		aw.mu.Lock()
		warnings, left, size := bytes.Count(aw.pending, []byte("Warning")), bytes.Count(aw.pending, []byte("Info")), len(aw.pending)
		aw.mu.Unlock()
		qt.Check(t, warnings, qt.Equals, fitting)
		qt.Check(t, left, qt.Equals, 0)
		qt.Check(t, size <= maxPendingBytes, qt.IsTrue)
		time.Sleep(2 * flushInterval)
		qt.Check(t, dropped.Load(), qt.Equals, int64(infos+10))
		close(bw.release)
		aw.Close()
	})
}

// countedText counts how often it is formatted.
type countedText struct{ formatted *int }

// MarshalText implements encoding.TextMarshaler.
func (ct countedText) MarshalText() ([]byte, error) {
	*ct.formatted++
	return []byte("text"), nil
}

// Guards against processor time that is spent on lines that are dropped, and against such lines that are not counted.
func TestDroppedLinesAreNotFormatted(t *testing.T) {
	type name string
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		var dropped atomic.Int64
		aw := NewAsyncWriter(&out, func(lines int64) { dropped.Add(lines) })
		lg, err := New(aw, "json")
		qt.Assert(t, err, qt.IsNil)
		lg = lg.WithValues("A", "h")
		formatted := 0
		for range maxInfoBurst + 500 {
			Log(lg, JobEnded, "Job", name("a<b"), "Text", countedText{&formatted})
		}
		Log(lg, JobFailed, "Text", countedText{&formatted})
		aw.Close()
		qt.Check(t, formatted, qt.Equals, maxInfoBurst+1)
		qt.Check(t, dropped.Load(), qt.Equals, int64(500))
		qt.Check(t, strings.Count(out.String(), `"Severity":"Info","Job":"a<b","Text":"text"`), qt.Equals, maxInfoBurst)
		qt.Check(t, strings.Count(out.String(), `"Severity":"Warning","Text":"text"`), qt.Equals, 1)
	})
}
