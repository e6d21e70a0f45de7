package forwarder

import (
	"bytes"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/go-chi/chi/v5"

	"github.com/currantrouter/currantrouter/internal/fleet/modeler"
	"github.com/currantrouter/currantrouter/internal/request/admitter"
	"github.com/currantrouter/currantrouter/internal/telemetry/meter"
)

const (
	// maxAttempts is the maximum number of times that one call is sent.
	maxAttempts = 3
	// maxSmallBody is the maximum size in bytes of a request body that is read before the call is admitted.
	// It fits into the socket's buffer, so that writing it does not wait for the runner.
	maxSmallBody = 16 << 10
)

// call is a call that this host serves.
type call struct {
	wr  http.ResponseWriter
	rc  *http.ResponseController
	rq  *http.Request
	svc modeler.Service
	// uri is the path and query that the runner gets.
	uri *url.URL
	// key is the idempotency key, or empty.
	key    string
	caller string
	// forwarded states that a peer forwarded the call. It is not forwarded again, except by the leader that
	// claimed its key.
	forwarded bool
	deadline  time.Time
	// body is nil for a call without a body.
	body *requestBody
	// rewind returns the body from its start; nil when the body cannot be read again.
	rewind    func() *requestBody
	admitCall admitter.Call
	// kept collects the answer of a call with a key; nil when it is not kept.
	kept *keptAnswer

	// started states that the header of the answer was written to the caller.
	started bool
	// truncated states that the answer ended early, so the caller's connection must be aborted.
	truncated bool
	// callerGone states that a write to the caller has failed.
	callerGone bool
	// conn is the connection on which the call is being sent; nil when there is none.
	conn atomic.Pointer[conn]
	// aborted states that the call must end at once.
	aborted atomic.Bool
}

// abort ends the call by closing its connection.
func (cl *call) abort() {
	cl.aborted.Store(true)
	if cn := cl.conn.Load(); cn != nil {
		_ = cn.nc.Close()
	}
}

// serveCaller handles a call of a caller.
func (fw *Forwarder) serveCaller(wr http.ResponseWriter, rq *http.Request) {
	name := chi.URLParam(rq, "service")
	cl, fl := fw.newCall(wr, rq, modeler.ServiceName(name), trimService(rq.URL, name))
	if fl != nil {
		fl.write(wr)
		return
	}
	if fl = fw.register(cl); fl == nil {
		defer fw.unregister(cl)
		fl = fw.serve(cl)
	}
	fw.count(cl, fl)
	fw.finish(cl, fl)
}

// trimService removes the name of the service from the path. It works on the escaped path, so that the
// runner gets the same bytes as this host.
func trimService(ul *url.URL, name string) *url.URL {
	esc := strings.TrimPrefix(ul.EscapedPath(), "/"+name)
	if !strings.HasPrefix(esc, "/") {
		esc = "/" + esc
	}
	path, err := url.PathUnescape(esc)
	if err != nil {
		path = esc
	}
	return &url.URL{Path: path, RawPath: esc, RawQuery: ul.RawQuery, ForceQuery: ul.ForceQuery}
}

func (fw *Forwarder) newCall(wr http.ResponseWriter, rq *http.Request, name modeler.ServiceName, uri *url.URL) (*call, *failure) {
	cfg := fw.op.Configuration()
	if cfg == nil {
		return nil, failNotRun(http.StatusServiceUnavailable, "NoConfiguration", "the host has no configuration yet")
	}
	svc, ok := cfg.Service(name)
	if !ok {
		return nil, failNotRun(http.StatusNotFound, "UnknownService", "the configuration has no such service")
	}
	if !rq.ProtoAtLeast(1, 1) {
		return nil, failNotRun(http.StatusHTTPVersionNotSupported, "HTTPVersion", "HTTP/1.1 is needed to mark a truncated answer")
	}
	if rq.Method == http.MethodConnect {
		return nil, failNotRun(http.StatusMethodNotAllowed, "MethodNotAllowed", "the method is not supported")
	}
	if svc.BodyLimit > 0 && rq.ContentLength > svc.BodyLimit {
		return nil, failNotRun(http.StatusRequestEntityTooLarge, "BodyTooLarge", errBodyTooLarge.Error())
	}
	cl := &call{
		wr: wr, rc: http.NewResponseController(wr), rq: rq, svc: svc, uri: uri,
		key: rq.Header.Get(modeler.HeaderIdempotencyKey), caller: callerOf(rq),
	}
	if svc.CallLimit <= 0 {
		cl.svc.CallLimit = modeler.DefaultCallLimit
	}
	cl.deadline = deadlineOf(rq, cl.svc)
	if rq.ContentLength != 0 && rq.Body != nil && rq.Body != http.NoBody {
		cl.body = &requestBody{src: rq.Body, remaining: cl.bodyLimit()}
	}
	cl.admitCall = admitter.Call{
		Service: name, Route: admitter.RouteOf(rq.Method, uri.Path), Caller: cl.caller, Deadline: cl.deadline,
	}
	return cl, nil
}

func (cl *call) bodyLimit() int64 {
	if cl.svc.BodyLimit <= 0 {
		return 1 << 62
	}
	return cl.svc.BodyLimit
}

func callerOf(rq *http.Request) string {
	if name := rq.Header.Get(modeler.HeaderCaller); name != "" {
		return name
	}
	if ap, err := netip.ParseAddrPort(rq.RemoteAddr); err == nil {
		return ap.Addr().String()
	}
	return rq.RemoteAddr
}

// deadlineOf returns the deadline that the caller has set, or else the service's. It is at most the call
// limit away.
func deadlineOf(rq *http.Request, svc modeler.Service) time.Time {
	timeout := svc.Deadline
	if millis, err := strconv.ParseInt(rq.Header.Get(modeler.HeaderTimeout), 10, 32); err == nil && millis >= 0 {
		timeout = time.Duration(millis) * time.Millisecond
	}
	if timeout <= 0 && rq.Header.Get(modeler.HeaderTimeout) == "" {
		timeout = svc.CallLimit
	}
	return time.Now().Add(min(timeout, svc.CallLimit))
}

// mayRepeat reports whether runners may execute the call more than once.
func (cl *call) mayRepeat() bool {
	if cl.key != "" || !cl.svc.Repeatable {
		return false
	}
	switch cl.rq.Method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodPut, http.MethodDelete:
		return true
	}
	return false
}

// mayResend reports whether the call can be sent again: no answer was started, and its body can be sent
// from the start.
func (cl *call) mayResend() bool {
	return !cl.started && (cl.body == nil || cl.rewind != nil || !cl.body.readStarted.Load())
}

// serve sends a call and returns nil when its answer was relayed.
func (fw *Forwarder) serve(cl *call) *failure {
	fw.op.Retrier.CountCall(cl.svc.Name)
	if cl.key != "" {
		return fw.serveKeyed(cl)
	}
	if fl := cl.readSmallBody(); fl != nil {
		return fl
	}
	return fw.sendWithRetries(cl)
}

// readSmallBody reads a small body into memory before the call gets a slot, so that a slow caller holds no
// slot, and so that the call can be sent to another runner when the first one is unreachable.
func (cl *call) readSmallBody() *failure {
	if cl.body == nil || cl.rq.ContentLength <= 0 || cl.rq.ContentLength > maxSmallBody {
		return nil
	}
	_ = cl.rc.SetReadDeadline(cl.deadline)
	defer func() { _ = cl.rc.SetReadDeadline(time.Time{}) }()
	if _, err := cl.readBody(); err != nil {
		return failNotRun(http.StatusBadRequest, "BodyIncomplete", err.Error())
	}
	return nil
}

// readBody reads the body into memory, so that the call can be sent more than once.
func (cl *call) readBody() ([]byte, error) {
	if cl.body == nil {
		return nil, nil
	}
	body, err := io.ReadAll(cl.body)
	if err != nil {
		return nil, err
	}
	cl.rewind = func() *requestBody {
		return &requestBody{src: bytes.NewReader(body), remaining: cl.bodyLimit(), inMemory: len(body) <= maxSmallBody}
	}
	cl.body = cl.rewind()
	return body, nil
}

// sendWithRetries sends a call until it is answered, must not be repeated, or may not be retried. Once an
// attempt may have run, the call's failure is that of such an attempt, even if later attempts did not run.
func (fw *Forwarder) sendWithRetries(cl *call) *failure {
	var maybeRun *failure
	for attempt := 1; ; attempt++ {
		fl := fw.sendOnce(cl)
		if fl != nil && fl.outcome == modeler.Unknown {
			maybeRun = fl
		}
		if fl == nil || !fl.repeatable || attempt == maxAttempts || !fw.mayRetry(cl) {
			if fl != nil && maybeRun != nil {
				return maybeRun
			}
			return fl
		}
		fw.op.Meter.Add(meter.CallsRetried, 1)
		if cl.rewind != nil {
			cl.body = cl.rewind()
		}
	}
}

func (fw *Forwarder) mayRetry(cl *call) bool {
	return cl.mayResend() && !cl.aborted.Load() &&
		fw.op.Retrier.AllowRetry(cl.svc.Name, cl.deadline, fw.op.Admitter.ExpectedRunTime(cl.admitCall))
}

// sendOnce sends a call to a peer if that is expected to be faster, or else to a runner.
func (fw *Forwarder) sendOnce(cl *call) *failure {
	wait := fw.op.Admitter.ExpectedWait(cl.admitCall)
	if pr, ok := fw.pickPeer(cl, wait); ok {
		return fw.sendToPeer(cl, pr)
	}
	adm, err := fw.op.Admitter.Admit(cl.rq.Context(), cl.admitCall)
	if err == nil {
		return fw.sendToRunner(cl, adm)
	}
	fl := refusalFailure(err)
	if pr, ok := fw.pickPeer(cl, time.Duration(1<<62)); ok && fl.code == "Overloaded" {
		return fw.sendToPeer(cl, pr)
	}
	return fl
}

// count counts the outcome of a caller's call.
func (fw *Forwarder) count(cl *call, fl *failure) {
	outcome := modeler.Answered
	switch {
	case fl != nil:
		outcome = fl.outcome
	case cl.truncated:
		outcome = modeler.Unknown
	}
	late := outcome == modeler.Answered && cl.isLate()
	switch outcome {
	case modeler.Answered:
		fw.op.Meter.Add(meter.CallsAnswered, 1)
	case modeler.NotRun:
		fw.op.Meter.Add(meter.CallsNotRun, 1)
	case modeler.Unknown:
		fw.op.Meter.Add(meter.CallsUnknown, 1)
	}
	if late {
		fw.op.Meter.Add(meter.CallsLate, 1)
	}
	if fw.op.OnOutcome != nil {
		fw.op.OnOutcome(cl.svc.Name, outcome, late)
	}
}

// finish reports a failure to the caller. Once the answer has started, only an aborted connection can show
// that it is incomplete.
func (fw *Forwarder) finish(cl *call, fl *failure) {
	if cl.truncated || fl != nil && cl.started {
		panic(http.ErrAbortHandler)
	}
	if fl != nil {
		fl.write(cl.wr)
	}
}
