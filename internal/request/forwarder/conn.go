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
	// maxAnswerHeader bounds the header of an answer, in bytes.
	maxAnswerHeader = 64 << 10
	// bufferSize is the size of the read and the write buffer of a connection, in bytes.
	bufferSize = 4 << 10
	// maxInterimAnswers bounds the 1xx answers before the final one.
	maxInterimAnswers = 8
	// uploadGrace bounds the wait for the end of an upload after the complete answer was read.
	uploadGrace = 10 * time.Millisecond
)

var (
	errProtocolSwitch = errors.New("answer switches protocols, which was not asked for")
	errTooManyInterim = errors.New("too many interim answers")
	errHeaderTooLarge = errors.New("header of the answer exceeds the limit")
)

// conn is a connection to a runner or a peer. It carries one call at a time. It uses net/http to write
// requests and to parse answers, but no http.Transport: that would replay requests on closed connections,
// and can neither follow a changing limit of connections nor probe a given connection.
type conn struct {
	nc net.Conn
	br *bufio.Reader
	bw *bufio.Writer
	// reservation is nil for connections to peers, which are not limited.
	reservation *limiter.Connection
	// written counts the bytes that the kernel has accepted. If it is the same as before a call, no byte of
	// the call can have reached the other side.
	written atomic.Int64
	// sendStart is the time just before the call is sent.
	sendStart time.Time
	// firstWrite is the time after the first write of the call, in nanoseconds since sendStart; zero means
	// that nothing was written yet.
	firstWrite atomic.Int64
	// readLeft is the number of bytes that may still be read, while the header of an answer is read.
	readLeft int64
	// usedAt is the time of the last call.
	usedAt time.Time
	// idleAt is the time of the last call or probe.
	idleAt time.Time
}

func newConn(nc net.Conn, reservation *limiter.Connection) *conn {
	cn := &conn{nc: nc, reservation: reservation, readLeft: math.MaxInt64}
	cn.br = bufio.NewReaderSize(connReader{cn}, bufferSize)
	cn.bw = bufio.NewWriterSize(connWriter{cn}, bufferSize)
	return cn
}

// connReader reads from a conn and enforces readLeft.
type connReader struct{ cn *conn }

func (rs connReader) Read(buf []byte) (int, error) {
	if rs.cn.readLeft <= 0 {
		return 0, errHeaderTooLarge
	}
	num, err := rs.cn.nc.Read(buf)
	rs.cn.readLeft -= int64(num)
	return num, err
}

// connWriter writes to a conn and updates written and firstWrite.
type connWriter struct{ cn *conn }

func (ws connWriter) Write(buf []byte) (int, error) {
	num, err := ws.cn.nc.Write(buf)
	ws.cn.written.Add(int64(num))
	if ws.cn.firstWrite.Load() == 0 {
		ws.cn.firstWrite.Store(max(1, int64(time.Since(ws.cn.sendStart))))
	}
	return num, err
}

// firstWritten returns the time after the first write of the call.
func (cn *conn) firstWritten() time.Time {
	return cn.sendStart.Add(time.Duration(cn.firstWrite.Load()))
}

// close closes a connection on which the other side has no call in progress.
func (cn *conn) close() {
	_ = cn.nc.Close()
	if cn.reservation != nil {
		cn.reservation.Release()
	}
}

// abandon closes a connection whose call may still be in progress. It discards unsent bytes, so that none
// of them arrives late, and keeps the connection counted because the other side may hold it open.
func (cn *conn) abandon() {
	nc := rawConn(cn.nc)
	if tc, ok := nc.(*net.TCPConn); ok {
		_ = tc.SetLinger(0)
	}
	// The TLS connection is not closed because that would first send an alert.
	_ = nc.Close()
	if cn.reservation != nil {
		cn.reservation.Abandon()
	}
}

// rawConn returns the connection below TLS.
func rawConn(nc net.Conn) net.Conn {
	if tl, ok := nc.(interface{ NetConn() net.Conn }); ok {
		return tl.NetConn()
	}
	return nc
}

// isClosed reports whether the other side has closed the idle connection or has sent unexpected bytes. It
// detects most connections that were closed while idle before a byte of the next call is sent.
func (cn *conn) isClosed() bool {
	if cn.br.Buffered() > 0 {
		return true
	}
	sc, ok := rawConn(cn.nc).(syscall.Conn)
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

// upload is the write of a request, which may continue while the answer is read.
type upload struct {
	// done is closed when the write has ended.
	done chan struct{}
	// err is the error of the write. It is final once done is closed.
	err error
}

// waitComplete waits for the end of the upload for at most uploadGrace and reports whether the complete
// request was written. The answer may arrive shortly before the writing goroutine ends.
func (up *upload) waitComplete() bool {
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

// send starts to write a request. A request without a body, or with a body in memory, is written before
// send returns.
func (cn *conn) send(rq *http.Request) *upload {
	cn.sendStart = time.Now()
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
		// The runner waits for the rest of the body and must not take the truncated body for complete.
		_ = cn.nc.Close()
	}
}

// receive reads the header of the final answer.
func (cn *conn) receive(rq *http.Request) (*http.Response, error) {
	for range maxInterimAnswers {
		cn.readLeft = maxAnswerHeader
		rp, err := http.ReadResponse(cn.br, rq)
		if err != nil {
			return nil, err
		}
		cn.readLeft = math.MaxInt64
		if rp.StatusCode == http.StatusSwitchingProtocols {
			return nil, errProtocolSwitch
		}
		if rp.StatusCode >= http.StatusOK {
			return rp, nil
		}
	}
	return nil, errTooManyInterim
}

// isFramed reports whether the end of the answer's body is marked by a length or by chunks. Otherwise the
// body ends with the connection, which cannot be distinguished from a runner that fails.
func isFramed(rp *http.Response) bool {
	return rp.ContentLength >= 0 || len(rp.TransferEncoding) > 0 || rp.Body == http.NoBody
}

// bodyError is an error of reading the request body from the caller.
type bodyError struct{ err error }

func (be *bodyError) Error() string { return fmt.Sprintf("reading the request body: %v", be.err) }

func (be *bodyError) Unwrap() error { return be.err }

var errBodyTooLarge = errors.New("request body exceeds the limit of the service")

// requestBody reads a caller's body and wraps its errors in bodyError. It hides the type of the body from
// net/http.
type requestBody struct {
	src io.Reader
	// remaining is the number of bytes up to the limit of the service.
	remaining int64
	// inMemory states that reads do not block.
	inMemory bool
	// readStarted states that the body was read from, so that the call cannot be sent again without rewind.
	readStarted atomic.Bool
}

func (rb *requestBody) Read(buf []byte) (int, error) {
	rb.readStarted.Store(true)
	num, err := rb.src.Read(buf)
	rb.remaining -= int64(num)
	if rb.remaining < 0 {
		return 0, &bodyError{errBodyTooLarge}
	}
	if err != nil && err != io.EOF {
		err = &bodyError{err}
	}
	return num, err
}

// Close does nothing, because net/http closes the caller's body.
func (rb *requestBody) Close() error { return nil }
