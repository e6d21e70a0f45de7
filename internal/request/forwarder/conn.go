package forwarder

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/currantrouter/currantrouter/internal/request/limiter"
)

const (
	// answerHeaderLimit bounds the header of an answer, in bytes.
	answerHeaderLimit = 64 << 10
	// bufferSize is the size of the buffers of a connection, in bytes.
	bufferSize = 4 << 10
	// interimLimit bounds the 1xx answers before the final one.
	interimLimit = 8
	// uploadGrace is the wait for the end of an upload after the whole answer has been read.
	uploadGrace = 10 * time.Millisecond
)

var (
	errSwitched = errors.New("answer switches protocols, which was not asked for")
	errInterim  = errors.New("too many interim answers")
	errHeader   = errors.New("header of the answer exceeds the limit")
)

// conn is a connection to a runner or a peer. It carries one call at a time. net/http writes the
// request and parses the answer; there is no http.Transport, which would replay requests on dead
// connections and can neither follow a changing limit of connections nor probe a chosen one.
type conn struct {
	nc net.Conn
	br *bufio.Reader
	bw *bufio.Writer
	// lease is nil for connections to peers, which are not limited.
	lease *limiter.Connection
	// written counts the bytes that the kernel took. While it stands still, no byte of a call can
	// have reached the other side.
	written atomic.Int64
	// began is the time from which firstWrite counts; it is set before the call is sent.
	began time.Time
	// firstWrite is the time after the first write of the call in nanoseconds since began; zero
	// means none yet.
	firstWrite atomic.Int64
	// readLeft bounds the bytes of the header that is being read.
	readLeft int64
	// usedAt is the time of the last call, and idleAt that of the last call or probe.
	usedAt time.Time
	idleAt time.Time
}

func newConn(nc net.Conn, lease *limiter.Connection) *conn {
	cn := &conn{nc: nc, lease: lease, readLeft: math.MaxInt64}
	cn.br = bufio.NewReaderSize(readSide{cn}, bufferSize)
	cn.bw = bufio.NewWriterSize(writeSide{cn}, bufferSize)
	return cn
}

type readSide struct{ cn *conn }

func (rs readSide) Read(buf []byte) (int, error) {
	if rs.cn.readLeft <= 0 {
		return 0, errHeader
	}
	num, err := rs.cn.nc.Read(buf)
	rs.cn.readLeft -= int64(num)
	return num, err
}

type writeSide struct{ cn *conn }

func (ws writeSide) Write(buf []byte) (int, error) {
	num, err := ws.cn.nc.Write(buf)
	ws.cn.written.Add(int64(num))
	if ws.cn.firstWrite.Load() == 0 {
		ws.cn.firstWrite.Store(max(1, int64(time.Since(ws.cn.began))))
	}
	return num, err
}

// firstWritten returns the time after the first write of the call.
func (cn *conn) firstWritten() time.Time {
	return cn.began.Add(time.Duration(cn.firstWrite.Load()))
}

// close ends the connection in order: the other side has nothing left to do on it.
func (cn *conn) close() {
	_ = cn.nc.Close()
	if cn.lease != nil {
		cn.lease.Release()
	}
}

// abandon discards unsent bytes, so that none of them arrives late, and keeps the connection
// counted because the other side may hold it open.
func (cn *conn) abandon() {
	nc := wireOf(cn.nc)
	if tc, ok := nc.(*net.TCPConn); ok {
		_ = tc.SetLinger(0)
	}
	// TLS is not closed in its own way, which would first send a message.
	_ = nc.Close()
	if cn.lease != nil {
		cn.lease.Abandon()
	}
}

// wireOf returns the connection below TLS.
func wireOf(nc net.Conn) net.Conn {
	if tl, ok := nc.(interface{ NetConn() net.Conn }); ok {
		return tl.NetConn()
	}
	return nc
}

// isClosed tells whether the other side has closed the idle connection, or has sent bytes that
// nobody asked for. It catches most connections that were closed while idle before a byte is sent.
func (cn *conn) isClosed() bool {
	if cn.br.Buffered() > 0 {
		return true
	}
	sc, ok := wireOf(cn.nc).(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return true
	}
	open := false
	err = raw.Read(func(fd uintptr) bool {
		var buf [1]byte
		_, _, rerr := syscall.Recvfrom(int(fd), buf[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		open = rerr == syscall.EAGAIN || rerr == syscall.EWOULDBLOCK
		return true
	})
	return err != nil || !open
}

// upload is the writing of a request, which goes on while the answer is read.
type upload struct {
	// done is closed when the writing has ended; err is final then.
	done chan struct{}
	err  error
}

// endsSoon tells whether the request was written as a whole. An answer may overtake the end of the
// writing goroutine by a moment.
func (up *upload) endsSoon() bool {
	select {
	case <-up.done:
		return up.err == nil
	default:
	}
	tm := time.NewTimer(uploadGrace)
	defer tm.Stop()
	select {
	case <-up.done:
		return up.err == nil
	case <-tm.C:
		return false
	}
}

// send starts to write a request. A request without a body, or with one in memory, has been written
// when it returns.
func (cn *conn) send(rq *http.Request) *upload {
	cn.began = time.Now()
	cn.firstWrite.Store(0)
	up := &upload{done: make(chan struct{})}
	rb, ok := rq.Body.(*requestBody)
	if !ok || rb.inMemory {
		cn.write(rq, up)
		return up
	}
	go cn.write(rq, up)
	return up
}

func (cn *conn) write(rq *http.Request, up *upload) {
	defer close(up.done)
	up.err = rq.Write(cn.bw)
	if up.err == nil {
		up.err = cn.bw.Flush()
	}
	var be *bodyError
	if errors.As(up.err, &be) {
		// The runner must not take a truncated body for a whole one, and waits for the rest.
		_ = cn.nc.Close()
	}
}

// receive reads the header of the final answer.
func (cn *conn) receive(rq *http.Request) (*http.Response, error) {
	for range interimLimit {
		cn.readLeft = answerHeaderLimit
		rp, err := http.ReadResponse(cn.br, rq)
		if err != nil {
			return nil, err
		}
		cn.readLeft = math.MaxInt64
		if rp.StatusCode == http.StatusSwitchingProtocols {
			return nil, errSwitched
		}
		if rp.StatusCode >= http.StatusOK {
			return rp, nil
		}
	}
	return nil, errInterim
}

// isFramed tells whether the end of an answer's body is marked. Without a length or chunks the end
// of the connection would be the end of the body, and a runner that dies looks the same.
func isFramed(rp *http.Response) bool {
	return rp.ContentLength >= 0 || len(rp.TransferEncoding) > 0 || rp.Body == http.NoBody
}

// bodyError is an error of the caller's side of a request body.
type bodyError struct{ err error }

func (be *bodyError) Error() string { return fmt.Sprintf("reading the request body: %v", be.err) }

func (be *bodyError) Unwrap() error { return be.err }

var errBodyLimit = errors.New("request body exceeds the limit of the service")

// requestBody passes a caller's body on and marks its errors. It hides the type of the body from
// net/http.
type requestBody struct {
	src  io.Reader
	left int64
	// inMemory states that reads return at once.
	inMemory bool
	// touched states that bytes were taken from the body, so the call cannot be sent again.
	touched atomic.Bool
}

func (rb *requestBody) Read(buf []byte) (int, error) {
	rb.touched.Store(true)
	num, err := rb.src.Read(buf)
	rb.left -= int64(num)
	if rb.left < 0 {
		return 0, &bodyError{errBodyLimit}
	}
	if err != nil && err != io.EOF {
		err = &bodyError{err}
	}
	return num, err
}

// Close leaves the caller's body to net/http.
func (rb *requestBody) Close() error { return nil }
