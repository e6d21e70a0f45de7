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

// blocked is a reader of logs that stands still.
type blocked struct{ release chan struct{} }

func (bl blocked) Write(line []byte) (int, error) {
	<-bl.release
	return len(line), nil
}

// Guards against a decision that waits for the reader of its log.
func TestQueueNeverBlocks(t *testing.T) {
	rd, wr := io.Pipe()
	defer rd.Close()
	var left atomic.Int64
	qu := NewQueue(wr, func(lines int64) { left.Add(lines) })
	line := []byte(`{"Severity":"Info","text":"` + strings.Repeat("x", 200) + "\"}\n")
	for range 20_000 {
		_, err := qu.Write(line)
		qt.Assert(t, err, qt.IsNil)
	}
	qu.Close()
}

// Guards against a storm of lines that fills memory, and against lines on failures that are left out
// before others.
func TestQueueBounds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		bl := blocked{make(chan struct{})}
		var left atomic.Int64
		qu := NewQueue(bl, func(lines int64) { left.Add(lines) })
		info := []byte(`{"Severity":"Info"}` + strings.Repeat(" ", 300) + "\n")
		warning := []byte(`{"Severity":"Warning"}` + strings.Repeat(" ", 300) + "\n")
		for range 5000 {
			_, _ = qu.Write(info)
		}
		for range 300 {
			_, _ = qu.Write(warning)
		}
		qu.mu.Lock()
		held := bytes.Count(qu.waiting, []byte("Warning"))
		size := len(qu.waiting)
		qu.mu.Unlock()
		qt.Check(t, held, qt.Equals, 300)
		qt.Check(t, size <= queueBytes, qt.IsTrue)
		time.Sleep(2 * flushInterval)
		qt.Check(t, left.Load() > 0, qt.IsTrue)
		close(bl.release)
		qu.Close()
	})
}

// Guards against a volume of informational lines beyond the stated one.
func TestQueueRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		qu := NewQueue(&out, func(int64) {})
		const seconds = 20
		for range seconds * 10 {
			for range 500 {
				_, _ = qu.Write([]byte("Severity=Info\n"))
			}
			time.Sleep(100 * time.Millisecond)
		}
		qu.Close()
		lines := bytes.Count(out.Bytes(), []byte("\n"))
		qt.Check(t, lines <= burstLines+seconds*linesPerSecond, qt.IsTrue, qt.Commentf("%d lines", lines))
		qt.Check(t, lines >= seconds*linesPerSecond, qt.IsTrue, qt.Commentf("%d lines", lines))
	})
}
