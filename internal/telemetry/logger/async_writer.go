package logger

import (
	"bytes"
	"io"
	"sync"
	"time"

	"github.com/currantrouter/currantrouter/internal/process/pauser"
)

const (
	// maxPendingBytes bounds the lines that wait to be written. Further lines are dropped, so that a
	// blocked reader of the log can't exhaust memory.
	maxPendingBytes = 512 << 10
	// reservedBytes is the part of maxPendingBytes that only warnings and errors may use. Beyond it they
	// replace pending informational lines.
	reservedBytes = 128 << 10
	// maxWriteBytes is PIPE_BUF of Linux. A longer write to a pipe is not atomic: it may be
	// interleaved with the writes of other processes.
	maxWriteBytes = 4096
	// maxInfoLinesPerSecond is the sustained rate of informational lines.
	maxInfoLinesPerSecond = 1500
	// maxInfoBurst is the number of informational lines that may be written at once.
	maxInfoBurst = 3000
	// flushInterval is the time for which lines are batched before they are written together.
	flushInterval = 100 * time.Millisecond
)

// AsyncWriter writes log lines in the background. Write never blocks: lines beyond the bounds are
// dropped and counted, warnings and errors only when no informational line is pending. It is safe for
// concurrent use.
type AsyncWriter struct {
	out     io.Writer
	onDrop  func(lines int64)
	stop    chan struct{}
	stopped chan struct{}

	mu      sync.Mutex
	pending []byte
	// dropped is the number of lines dropped since the last call of onDrop.
	dropped int64
	// tokens is the level of the token bucket that limits informational lines, at the time refilled.
	tokens   float64
	refilled time.Time
}

// NewAsyncWriter returns an AsyncWriter that writes to out. Before a flush, onDrop is called with
// the number of lines that were dropped since its last call, unless it is zero. It may write a
// line.
func NewAsyncWriter(out io.Writer, onDrop func(lines int64)) *AsyncWriter {
	aw := &AsyncWriter{out: out, onDrop: onDrop, stop: make(chan struct{}), stopped: make(chan struct{}), tokens: maxInfoBurst, refilled: time.Now()}
	go aw.run()
	return aw
}

// infoMarkers identify an informational line in the formats json and text.
var infoMarkers = [...][]byte{[]byte(`"Severity":"Info"`), []byte("Severity=Info")}

// Write queues one line, or drops it when a bound is reached. It never fails.
func (aw *AsyncWriter) Write(line []byte) (int, error) {
	info := informational(line)
	aw.mu.Lock()
	defer aw.mu.Unlock()
	limit := maxPendingBytes
	if info {
		limit -= reservedBytes
	} else if len(aw.pending)+len(line) > limit {
		aw.dropPendingInfo()
	}
	if len(aw.pending)+len(line) > limit || info && !aw.takeToken() {
		aw.dropped++
		return len(line), nil
	}
	aw.pending = append(aw.pending, line...)
	return len(line), nil
}

// admitsInfo reports whether the rate allows an informational line now. A line that it does not allow counts as dropped.
func (aw *AsyncWriter) admitsInfo() bool {
	aw.mu.Lock()
	defer aw.mu.Unlock()
	aw.refill()
	if aw.tokens < 1 {
		aw.dropped++
		return false
	}
	return true
}

func informational(line []byte) bool {
	return bytes.Contains(line, infoMarkers[0]) || bytes.Contains(line, infoMarkers[1])
}

// dropPendingInfo drops the pending informational lines.
func (aw *AsyncWriter) dropPendingInfo() {
	kept := aw.pending[:0]
	for line := range bytes.Lines(aw.pending) {
		if informational(line) {
			aw.dropped++
			continue
		}
		kept = append(kept, line...)
	}
	aw.pending = kept
}

// refill refills the token bucket.
func (aw *AsyncWriter) refill() {
	now := time.Now()
	aw.tokens = min(maxInfoBurst, aw.tokens+now.Sub(aw.refilled).Seconds()*maxInfoLinesPerSecond)
	aw.refilled = now
}

// takeToken takes a token. It returns false when the bucket is empty.
func (aw *AsyncWriter) takeToken() bool {
	aw.refill()
	if aw.tokens < 1 {
		return false
	}
	aw.tokens--
	return true
}

func (aw *AsyncWriter) run() {
	defer close(aw.stopped)
	tk := pauser.NewTicker(flushInterval)
	defer tk.Stop()
	for {
		select {
		case <-aw.stop:
			aw.flush()
			return
		case <-tk.Next():
			tk.Advance()
			aw.flush()
		}
	}
}

func (aw *AsyncWriter) flush() {
	aw.mu.Lock()
	dropped := aw.dropped
	aw.dropped = 0
	aw.mu.Unlock()
	if dropped > 0 {
		aw.onDrop(dropped)
	}
	aw.mu.Lock()
	lines := aw.pending
	aw.pending = nil
	aw.mu.Unlock()
	for len(lines) > 0 {
		size := writeSize(lines)
		// An error of the log itself can be reported nowhere.
		_, _ = aw.out.Write(lines[:size])
		lines = lines[size:]
	}
}

// writeSize returns the length of the leading whole lines that one atomic write can pass on. It is
// longer than maxWriteBytes only if the first line is.
func writeSize(lines []byte) int {
	if len(lines) <= maxWriteBytes {
		return len(lines)
	}
	if end := bytes.LastIndexByte(lines[:maxWriteBytes], '\n'); end >= 0 {
		return end + 1
	}
	return bytes.IndexByte(lines, '\n') + 1
}

// maxCloseWait bounds the wait of Close for a reader that is blocked.
const maxCloseWait = 300 * time.Millisecond

// Close writes the pending lines. It gives up after maxCloseWait when the reader is blocked.
func (aw *AsyncWriter) Close() {
	close(aw.stop)
	select {
	case <-aw.stopped:
	case <-time.After(maxCloseWait):
	}
}
