package assembler

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/currantrouter/currantrouter/internal/request/budgeter"
)

// answerTime is the time in which a client must take its answer. Answers are written when they are complete, so that it does
// not depend on how long a request is handled. The largest, some 1 MB for a peer, take 0.8 s on the slowest link (10 Mbit/s).
const answerTime = 5 * time.Second

const (
	// maxHeaderBytes is the maximum size of a header, less the 4 KB that the server allows in addition. The platform's
	// callers send up to 16 KB.
	maxHeaderBytes = 12 << 10
	// headerFactor is the memory charged for the text of a header that is not complete, in multiples of its size. The
	// buffer of an incomplete line may be twice as large as the line.
	headerFactor = 2
	// memoryPerLine is the memory charged for a line of a header in addition to its text, in bytes. The map, which may be
	// less than half full and is allocated for all lines that arrive together, whether their names differ or not, takes up
	// to 94, the value 16, and the name or the place in a slice of values up to 26.
	memoryPerLine = 136
	// minHeaderCharge is the memory from which a complete header is charged, in bytes. The handful of lines that clients
	// usually send take less.
	minHeaderCharge = 4 << 10
)

// clientListener accepts connections that are bounded by a limiter.
type clientListener struct {
	net.Listener
	limiter *intakeLimiter
}

// Accept implements net.Listener.
func (cl clientListener) Accept() (net.Conn, error) {
	cn, err := cl.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &clientConn{Conn: cn, limiter: cl.limiter}, nil
}

// clientConn is an accepted connection. Its fields are used by the goroutine of the server that handles its requests.
type clientConn struct {
	net.Conn
	limiter *intakeLimiter
	// entry is the place among the connections of the limiter.
	entry *budgeter.Connection
	// answering is set while the present answer has a write deadline, which the server clears after the answer.
	answering bool
	// inHeader is set from the end of a request until the header of the next is complete or broken.
	inHeader bool
	// header counts what has arrived of the header while inHeader is set.
	header headerCount
	// rest counts what the server may have buffered when it has read the present request: what came with its last read, after
	// its header.
	rest headerCount
	// bodySize is the size of the body of the present request, and arrived the number of bytes that came after the header.
	// Either is negative if it is not known.
	bodySize, arrived int64
	// share is that of the incomplete header in the memory, nil if it arrived at once so far.
	share *budgeter.Body
	// refused is set after an incomplete header was refused.
	refused bool
	// aborted is why the header was aborted when it was complete already, nil otherwise.
	aborted error
}

// Read implements net.Conn. It charges what has arrived of an incomplete header before the server parses it, and answers 503
// if there is no memory for it. Errors: then os.ErrDeadlineExceeded, after which the server closes the connection without
// another answer.
func (cc *clientConn) Read(bf []byte) (int, error) {
	if !cc.inHeader {
		num, err := cc.Conn.Read(bf)
		if len(bf) > 1 {
			cc.rest = headerCount{}
		}
		// The server reads a single byte to see whether the client has closed the connection, and keeps its buffer.
		cc.rest.addRaw(bf[:num])
		if cc.arrived >= 0 {
			cc.arrived += int64(num)
		}
		return num, err
	}
	if cc.refused {
		// The server may read again after an error.
		return 0, os.ErrDeadlineExceeded
	}
	if cc.header.bytes > 0 && cc.share == nil {
		// It came with the request before.
		if err := cc.chargeHeader(); err != nil {
			return 0, cc.refuseHeader(err)
		}
	}
	num, err := cc.Conn.Read(bf)
	after := cc.header.add(bf[:num])
	cc.rest, cc.arrived = headerCount{}, -1
	if cc.header.complete {
		cc.rest.addRaw(after)
		cc.arrived = int64(len(after))
	} else {
		cc.rest.addRaw(bf[:num])
	}
	switch {
	case err == nil && !cc.header.complete:
		if reason := cc.chargeHeader(); reason != nil {
			return 0, cc.refuseHeader(reason)
		}
	case err != nil && cc.share != nil:
		if reason := cc.share.Aborted(); reason != nil {
			err = cc.refuseHeader(reason)
		}
	}
	return num, err
}

// refuseHeader answers an incomplete header with 503 for the reason, and returns the error that ends its connection.
func (cc *clientConn) refuseHeader(reason error) error {
	cc.limiter.onAborted(reason)
	// The write fails only if the client has closed the connection.
	_, _ = fmt.Fprintf(cc, "HTTP/1.1 503 Service Unavailable\r\nRetry-After: %d\r\nConnection: close\r\nContent-Length: 0\r\n\r\n", cc.limiter.op.retryAfter()/time.Second)
	cc.refused = true
	return os.ErrDeadlineExceeded
}

// chargeHeader charges what has arrived of a header. Errors: budgeter.ErrExhausted.
func (cc *clientConn) chargeHeader() error {
	if cc.share == nil {
		cc.share = cc.limiter.budget.Open(cc.entry, func() { _ = cc.SetReadDeadline(time.Unix(1, 0)) })
	}
	return cc.share.Charge(cc.header.memory() - cc.share.Charged())
}

// headerCount counts what has arrived of a header.
type headerCount struct {
	bytes, lines int64
	// emptyLine is set while the present line is empty.
	emptyLine bool
	// complete is set when the header has ended. What comes after it does not count.
	complete bool
}

// add counts the next bytes up to the end of the header, and returns those after it.
func (hc *headerCount) add(data []byte) []byte {
	for ix, ch := range data {
		if hc.complete {
			return data[ix:]
		}
		hc.bytes++
		switch ch {
		case '\n':
			hc.lines++
			hc.complete, hc.emptyLine = hc.emptyLine, true
		case '\r':
		default:
			hc.emptyLine = false
		}
	}
	return nil
}

// addRaw counts bytes that may have parts of several requests.
func (hc *headerCount) addRaw(data []byte) {
	hc.bytes += int64(len(data))
	hc.lines += int64(bytes.Count(data, []byte("\n")))
}

// memory returns the memory in bytes to charge for the header while it is not complete.
func (hc *headerCount) memory() int64 { return headerFactor*hc.bytes + memoryPerLine*hc.lines }

// headerMemory returns the memory in bytes to charge for a complete header.
func headerMemory(hd http.Header) int64 {
	memory := int64(0)
	for name, values := range hd {
		for _, val := range values {
			memory += memoryPerLine + int64(len(name)+len(val))
		}
	}
	if memory < minHeaderCharge {
		return 0
	}
	return memory
}

// Write implements net.Conn. The client must take the whole answer within answerTime.
func (cc *clientConn) Write(bf []byte) (int, error) {
	if cc.refused {
		// The server answers 400 where a header ends within the name of a line.
		return len(bf), nil
	}
	if !cc.answering {
		cc.answering = true
		// The error means that the connection is closed, as that of the write does.
		_ = cc.SetWriteDeadline(time.Now().Add(cc.limiter.op.answerTime))
	}
	return cc.Conn.Write(bf)
}

// CloseWrite lets the server send a refusal without a reset of the connection.
func (cc *clientConn) CloseWrite() error {
	if cw, ok := cc.Conn.(interface{ CloseWrite() error }); ok {
		return cw.CloseWrite()
	}
	return nil
}

// pipelined returns the count for what may be in the buffer of the server of the next header, zero if that has few lines. It
// is exact after a request of known size.
func (cc *clientConn) pipelined() headerCount {
	next := cc.rest
	if cc.arrived >= 0 && cc.bodySize >= 0 {
		next.bytes = min(next.bytes, cc.arrived-cc.bodySize)
	}
	next.lines = min(next.lines, next.bytes)
	if next.lines*memoryPerLine < minHeaderCharge {
		return headerCount{}
	}
	return next
}

// setState is called with each change of the state of the connection.
func (cc *clientConn) setState(state http.ConnState) {
	cc.answering = false
	cc.inHeader = state == http.StateNew || state == http.StateIdle
	if state == http.StateActive && !cc.header.complete {
		// The end of the header was in the buffer of the server.
		cc.arrived = -1
	}
	cc.header = headerCount{}
	if state == http.StateIdle {
		cc.header = cc.pipelined()
	}
	if cc.share != nil {
		cc.aborted = cc.share.Complete()
		cc.share.Release()
		cc.share = nil
	}
}
