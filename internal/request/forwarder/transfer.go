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

// copySize is the size of the buffer between the two connections of a call, in bytes. It bounds
// what is held of an answer while the caller does not read.
const copySize = 32 << 10

// progress says how far a call came on one connection.
type progress int

const (
	// unsent means that no byte of the call left this host.
	unsent progress = iota
	// lost means that the call may have run and its answer did not arrive as a whole.
	lost
	// whole means that the answer was read to its end.
	whole
)

// transfer is the result of one call on one connection.
type transfer struct {
	progress progress
	// status is that of the answer; zero when there is none.
	status int
	// err explains unsent and lost.
	err error
	// failure is set when the answer was not passed on.
	failure *failure
	// elapsed is the time from the first byte to the end of the answer without the time spent on
	// writing to the caller.
	elapsed time.Duration
	// sent is the time after the first write; it is meaningless when the progress is unsent.
	sent time.Time
}

// exchange carries a call over a connection until a time, and passes the answer on if accept has
// nothing against it. The connection goes back to the pool or is closed. Only when the progress is
// lost may the other side still be at work.
func (fw *Forwarder) exchange(cl *call, pl *pool, cn *conn, rq *http.Request, until time.Time, accept func(*http.Response) *failure) transfer {
	cl.conn.Store(cn)
	defer cl.conn.Store(nil)
	before := cn.written.Load()
	began := time.Now()
	cn.usedAt = began
	_ = cn.nc.SetDeadline(until)
	if cl.cut.Load() {
		_ = cn.nc.Close()
	}
	up := cn.send(rq)
	rp, err := cn.receive(rq)
	if err != nil {
		return fw.endLost(cl, cn, up, before, err)
	}
	tf := transfer{progress: whole, status: rp.StatusCode}
	var blocked time.Duration
	if tf.failure = accept(rp); tf.failure == nil {
		blocked, err = fw.passAnswer(cl, rp, until)
	} else {
		err = skip(rp.Body, cl.bodyLimit())
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

// skip reads a body that is not passed on to its end, so that the connection can be used again.
func skip(body io.Reader, limit int64) error {
	num, err := io.Copy(io.Discard, io.LimitReader(body, limit+1))
	if err == nil && num > limit {
		return errAnswerLimit
	}
	return err
}

var errUnframed = errors.New("the answer does not mark its end")

// endLost closes a connection whose call has no whole answer.
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
	return transfer{progress: lost, err: err, elapsed: time.Since(cn.began), sent: cn.firstWritten()}
}

func (fw *Forwarder) endWhole(cl *call, pl *pool, cn *conn, up *upload, rp *http.Response) {
	if up.endsSoon() && !rp.Close && !cl.cut.Load() {
		pl.put(cn)
		return
	}
	// The answer came before the request was read to its end, so the rest of it is not wanted.
	_ = cn.nc.SetDeadline(time.Unix(1, 0))
	fw.awaitUpload(cl, up)
	cn.close()
}

// awaitUpload waits until the upload no longer reads the caller's body. The deadline unblocks a read
// from a caller that sends nothing.
func (fw *Forwarder) awaitUpload(cl *call, up *upload) {
	select {
	case <-up.done:
		return
	default:
	}
	_ = cl.rc.SetReadDeadline(time.Unix(1, 0))
	<-up.done
}

// passAnswer passes an answer on. It reads to the end even when the caller has left, because only
// the end shows that the runner is done. It returns the time spent on writing to the caller.
func (fw *Forwarder) passAnswer(cl *call, rp *http.Response, until time.Time) (time.Duration, error) {
	cl.startAnswer(rp)
	if rp.Body == http.NoBody {
		return 0, nil
	}
	if rp.ContentLength < 0 || rp.ContentLength > copySize {
		// A caller that stops reading must not hold the runner for longer than its limit.
		_ = cl.rc.SetWriteDeadline(until)
		defer func() { _ = cl.rc.SetWriteDeadline(time.Time{}) }()
	}
	buf := fw.buffers.Get().(*[copySize]byte)
	defer fw.buffers.Put(buf)
	var blocked time.Duration
	left := cl.bodyLimit()
	for {
		num, err := rp.Body.Read(buf[:])
		if left -= int64(num); left < 0 {
			return blocked, errAnswerLimit
		}
		if num > 0 {
			blocked += cl.pass(buf[:num], rp.ContentLength < 0)
		}
		if err == io.EOF {
			cl.passTrailer(rp)
			return blocked, nil
		}
		if err != nil {
			return blocked, err
		}
	}
}

var errAnswerLimit = errors.New("the answer exceeds the limit of the service")

func (cl *call) startAnswer(rp *http.Response) {
	hd := cl.wr.Header()
	passOn(hd, rp.Header)
	hd.Set(modeler.HeaderOutcome, string(modeler.Answered))
	for key := range rp.Trailer {
		hd.Add("Trailer", key)
	}
	if rp.ContentLength >= 0 && len(rp.Trailer) == 0 && hasLength(cl, rp) {
		hd.Set("Content-Length", strconv.FormatInt(rp.ContentLength, 10))
	}
	if cl.keep != nil {
		cl.keep.start(rp.StatusCode, hd)
	}
	cl.started = true
	cl.wr.WriteHeader(rp.StatusCode)
	if rp.ContentLength < 0 && rp.Body != http.NoBody {
		// The first part of a stream may come much later than its header.
		cl.gone = cl.rc.Flush() != nil
	}
}

// hasLength tells whether the answer may state a length. A peer gets the answer to HEAD as that to
// its POST, where a length would promise a body.
func hasLength(cl *call, rp *http.Response) bool {
	switch {
	case rp.StatusCode == http.StatusNoContent, rp.StatusCode == http.StatusNotModified:
		return false
	case cl.rq.Method == http.MethodHead:
		return !cl.forwarded
	}
	return true
}

// pass writes a part of the answer and returns how long the caller took to accept it.
func (cl *call) pass(part []byte, flush bool) time.Duration {
	if cl.keep != nil {
		cl.keep.add(part)
	}
	if cl.gone {
		return 0
	}
	from := time.Now()
	_, err := cl.wr.Write(part)
	if err == nil && flush {
		err = cl.rc.Flush()
	}
	cl.gone = err != nil
	return time.Since(from)
}

func (cl *call) passTrailer(rp *http.Response) {
	for key, vals := range rp.Trailer {
		cl.wr.Header()[key] = vals
	}
}

// describe turns a lost answer into what the caller is told.
func (fw *Forwarder) describe(cl *call, tf transfer) *failure {
	if cl.started {
		cl.broken = true
		fw.op.Meter.Add(meter.CallsTruncated, 1)
		return nil
	}
	switch {
	case tf.failure != nil:
		return tf.failure
	case errors.Is(tf.err, errBodyLimit):
		return unknown(http.StatusRequestEntityTooLarge, "BodyTooLarge", tf.err.Error())
	case isTimeout(tf.err):
		return unknown(http.StatusGatewayTimeout, "CallLimitPassed", "no answer within the call limit")
	}
	return unknown(http.StatusBadGateway, "AnswerLost", "the connection broke before the answer: "+tf.err.Error())
}
