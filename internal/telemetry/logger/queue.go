package logger

import (
	"bytes"
	"io"
	"sync"
	"time"
)

const (
	// queueBytes bounds the lines that wait to be written, so that a reader that stands still costs
	// lines and not memory.
	queueBytes = 512 << 10
	// reserveBytes is the part of it that only warnings and errors may use, so that decisions on
	// failed requests are the last to be left out.
	reserveBytes = 128 << 10
	// writeBytes is PIPE_BUF of Linux. A longer write to a pipe may be mixed with those of others.
	writeBytes = 4096
	// linesPerSecond bounds the volume of informational lines, burstLines how many may come at once.
	linesPerSecond = 1500
	burstLines     = 3000
	// flushInterval is the time for which lines are gathered before they are written together.
	flushInterval = 100 * time.Millisecond
)

// Queue writes lines in the background. Write never blocks: lines beyond the bounds are counted and
// left out. It is safe for concurrent use.
type Queue struct {
	out     io.Writer
	dropped func(lines int64)
	done    chan struct{}
	ended   chan struct{}

	mu      sync.Mutex
	waiting []byte
	// left is the number of lines that were left out since the last report of them.
	left int64
	// allowed is the number of informational lines that may be written now.
	allowed float64
	filled  time.Time
}

// NewQueue returns a queue that writes to out. The function is told how many lines were left out
// since the last time; it may itself write a line.
func NewQueue(out io.Writer, dropped func(lines int64)) *Queue {
	qu := &Queue{out: out, dropped: dropped, done: make(chan struct{}), ended: make(chan struct{}), allowed: burstLines, filled: time.Now()}
	go qu.run()
	return qu
}

// infoMarks are how the handlers of this package write the severity of an informational line.
var infoMarks = [...][]byte{[]byte(`"Severity":"Info"`), []byte("Severity=Info")}

// Write queues one line. It never fails.
func (qu *Queue) Write(line []byte) (int, error) {
	info := bytes.Contains(line, infoMarks[0]) || bytes.Contains(line, infoMarks[1])
	qu.mu.Lock()
	defer qu.mu.Unlock()
	limit := queueBytes
	if info {
		limit -= reserveBytes
	}
	if len(qu.waiting)+len(line) > limit || info && !qu.take() {
		qu.left++
		return len(line), nil
	}
	qu.waiting = append(qu.waiting, line...)
	return len(line), nil
}

// take uses one line of the allowance.
func (qu *Queue) take() bool {
	now := time.Now()
	qu.allowed = min(burstLines, qu.allowed+now.Sub(qu.filled).Seconds()*linesPerSecond)
	qu.filled = now
	if qu.allowed < 1 {
		return false
	}
	qu.allowed--
	return true
}

func (qu *Queue) run() {
	defer close(qu.ended)
	tk := time.NewTicker(flushInterval)
	defer tk.Stop()
	for {
		select {
		case <-qu.done:
			qu.flush()
			return
		case <-tk.C:
			qu.flush()
		}
	}
}

func (qu *Queue) flush() {
	qu.mu.Lock()
	left := qu.left
	qu.left = 0
	qu.mu.Unlock()
	if left > 0 {
		qu.dropped(left)
	}
	qu.mu.Lock()
	lines := qu.waiting
	qu.waiting = nil
	qu.mu.Unlock()
	for len(lines) > 0 {
		size := chunk(lines)
		// Nobody is left to tell when the log itself cannot be written.
		_, _ = qu.out.Write(lines[:size])
		lines = lines[size:]
	}
}

// chunk returns the length of the whole lines at the beginning that one write passes on unbroken.
func chunk(lines []byte) int {
	if len(lines) <= writeBytes {
		return len(lines)
	}
	if end := bytes.LastIndexByte(lines[:writeBytes], '\n'); end >= 0 {
		return end + 1
	}
	return bytes.IndexByte(lines, '\n') + 1
}

// closeLimit bounds the wait for the last lines, whose reader may stand still.
const closeLimit = 300 * time.Millisecond

// Close writes what waits, unless the reader stands still.
func (qu *Queue) Close() {
	close(qu.done)
	select {
	case <-qu.ended:
	case <-time.After(closeLimit):
	}
}
