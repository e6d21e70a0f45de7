package forwarder

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/currantrouter/currantrouter/internal/fleet/modeler"
	"github.com/currantrouter/currantrouter/internal/telemetry/meter"
)

// copyBufferSize is the size in bytes of the buffer through which an answer is copied. It bounds the memory
// for an answer that the caller does not read.
const copyBufferSize = 32 << 10

// progress is the state of a call on one connection when its transfer ended.
type progress int

const (
	// unsent means that no byte of the call was sent.
	unsent progress = iota
	// lost means that the call may have run, but that no complete answer arrived.
	lost
	// complete means that the answer was read to its end.
	complete
)

// transfer is the result of sending a call on one connection.
type transfer struct {
	progress progress
	// status is the status of the answer; zero when there is none.
	status int
	// err is the cause when progress is unsent or lost.
	err error
	// failure is set when an answer was received but not relayed.
	failure *failure
	// elapsed is the time from the start of the request to the end of the answer, without the time spent on
	// writing to the caller.
	elapsed time.Duration
	// sent is the time after the first write. It is not meaningful when progress is unsent.
	sent time.Time
}

// exchange sends a call on a connection, and relays the answer unless accept returns a failure for it. Both
// must end before until. The connection goes back to the pool or is closed. Only when progress is lost may
// the other side still be working on the call.
func (fw *Forwarder) exchange(cl *call, pl *pool, cn *conn, rq *http.Request, until time.Time, accept func(*http.Response) *failure) transfer {
	cl.conn.Store(cn)
	defer cl.conn.Store(nil)
	before := cn.written.Load()
	began := time.Now()
	cn.usedAt = began
	_ = cn.nc.SetDeadline(until)
	if cl.aborted.Load() {
		_ = cn.nc.Close()
	}
	up := cn.send(rq)
	rp, err := cn.receive(rq)
	if err != nil {
		return fw.endLost(cl, cn, up, before, err)
	}
	tf := transfer{progress: complete, status: rp.StatusCode}
	var blocked time.Duration
	if tf.failure = accept(rp); tf.failure == nil {
		blocked, err = fw.relayAnswer(cl, rp, until)
	} else {
		err = discardBody(rp.Body, cl.bodyLimit())
	}
	if err == nil && !isFramed(rp) {
		err = errUnframed
	}
	if err != nil {
		ended := fw.endLost(cl, cn, up, before, err)
		ended.failure = tf.failure
		return ended
	}
	tf.elapsed = max(1, time.Since(began)-blocked)
	tf.sent = cn.firstWritten()
	fw.endWhole(cl, pl, cn, up, rp)
	return tf
}

// discardBody reads a body to its end without relaying it, so that the connection can be used again.
func discardBody(body io.Reader, limit int64) error {
	num, err := io.Copy(io.Discard, io.LimitReader(body, limit+1))
	if err == nil && num > limit {
		return errAnswerTooLarge
	}
	return err
}

var errUnframed = errors.New("the answer does not mark its end")

// endLost closes a connection whose call got no complete answer.
func (fw *Forwarder) endLost(cl *call, cn *conn, up *upload, before int64, err error) transfer {
	_ = cn.nc.SetDeadline(time.Unix(1, 0))
	fw.awaitUpload(cl, up)
	var be *bodyError
	if errors.As(up.err, &be) {
		err = up.err
	}
	if cn.written.Load() == before {
		cn.close()
		return transfer{progress: unsent, err: err}
	}
	cn.abandon()
	return transfer{progress: lost, err: err, elapsed: time.Since(cn.sendStart), sent: cn.firstWritten()}
}

func (fw *Forwarder) endWhole(cl *call, pl *pool, cn *conn, up *upload, rp *http.Response) {
	if up.waitComplete() && !rp.Close && !cl.aborted.Load() {
		pl.put(cn)
		return
	}
	// The runner answered before it had read the complete request, so the rest of it is not needed.
	_ = cn.nc.SetDeadline(time.Unix(1, 0))
	fw.awaitUpload(cl, up)
	cn.close()
}

// awaitUpload waits until the upload no longer reads the caller's body. A deadline in the past unblocks a
// read from a caller that sends nothing.
func (fw *Forwarder) awaitUpload(cl *call, up *upload) {
	select {
	case <-up.done:
		return
	default:
	}
	_ = cl.rc.SetReadDeadline(time.Unix(1, 0))
	<-up.done
}

// relayAnswer writes an answer to the caller. It reads the answer to its end even when the caller has
// disconnected, because only the end shows that the runner is done. It returns the time spent on writing to
// the caller.
func (fw *Forwarder) relayAnswer(cl *call, rp *http.Response, until time.Time) (time.Duration, error) {
	cl.startAnswer(rp)
	if rp.Body == http.NoBody {
		return 0, nil
	}
	if rp.ContentLength < 0 || rp.ContentLength > copyBufferSize {
		// A caller that stops reading must not occupy the runner beyond the call limit.
		_ = cl.rc.SetWriteDeadline(until)
		defer func() { _ = cl.rc.SetWriteDeadline(time.Time{}) }()
	}
	buf := fw.buffers.Get().(*[copyBufferSize]byte)
	defer fw.buffers.Put(buf)
	var blocked time.Duration
	left := cl.bodyLimit()
	for {
		num, err := rp.Body.Read(buf[:])
		if left -= int64(num); left < 0 {
			return blocked, errAnswerTooLarge
		}
		if num > 0 {
			blocked += cl.writePart(buf[:num], rp.ContentLength < 0)
		}
		if err == io.EOF {
			cl.copyTrailer(rp)
			return blocked, nil
		}
		if err != nil {
			return blocked, err
		}
	}
}

var errAnswerTooLarge = errors.New("the answer exceeds the limit of the service")

func (cl *call) startAnswer(rp *http.Response) {
	hd := cl.wr.Header()
	copyEndToEnd(hd, rp.Header)
	hd.Set(modeler.HeaderOutcome, string(modeler.Answered))
	for key := range rp.Trailer {
		hd.Add("Trailer", key)
	}
	if rp.ContentLength >= 0 && len(rp.Trailer) == 0 && hasLength(cl, rp) {
		hd.Set("Content-Length", strconv.FormatInt(rp.ContentLength, 10))
	}
	if cl.kept != nil {
		cl.kept.start(rp.StatusCode, hd)
	}
	cl.started = true
	cl.wr.WriteHeader(rp.StatusCode)
	if rp.ContentLength < 0 && rp.Body != http.NoBody {
		// Flush because the first part of a stream may arrive much later than its header.
		cl.callerGone = cl.rc.Flush() != nil
	}
}

// hasLength reports whether the answer may have a Content-Length. A peer gets the answer to a HEAD call as
// the answer to its POST request, for which a length would announce a body.
func hasLength(cl *call, rp *http.Response) bool {
	switch {
	case rp.StatusCode == http.StatusNoContent, rp.StatusCode == http.StatusNotModified:
		return false
	case cl.rq.Method == http.MethodHead:
		return !cl.forwarded
	}
	return true
}

// writePart writes a part of the answer to the caller and returns the time that the write took.
func (cl *call) writePart(part []byte, flush bool) time.Duration {
	if cl.kept != nil {
		cl.kept.add(part)
	}
	if cl.callerGone {
		return 0
	}
	from := time.Now()
	_, err := cl.wr.Write(part)
	if err == nil && flush {
		err = cl.rc.Flush()
	}
	cl.callerGone = err != nil
	return time.Since(from)
}

func (cl *call) copyTrailer(rp *http.Response) {
	for key, vals := range rp.Trailer {
		cl.wr.Header()[key] = vals
	}
}

// lostFailure returns the failure of a call without a complete answer. When the answer has already started,
// it marks the call as truncated and returns nil.
func (fw *Forwarder) lostFailure(cl *call, tf transfer) *failure {
	if cl.started {
		cl.truncated = true
		fw.op.Meter.Add(meter.CallsTruncated, 1)
		return nil
	}
	switch {
	case tf.failure != nil:
		return tf.failure
	case errors.Is(tf.err, errBodyTooLarge):
		return failUnknown(http.StatusRequestEntityTooLarge, "BodyTooLarge", tf.err.Error())
	case isTimeout(tf.err):
		return failUnknown(http.StatusGatewayTimeout, "CallLimitPassed", "no answer within the call limit")
	}
	return failUnknown(http.StatusBadGateway, "AnswerLost", "the connection broke before the answer: "+tf.err.Error())
}
