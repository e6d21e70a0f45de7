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
	// maxAttempts bounds how often one call is sent.
	maxAttempts = 3
	// smallBody is the largest request body that is read before the call is admitted, in bytes. It
	// fits into the socket's buffer, so writing it does not wait for the runner.
	smallBody = 16 << 10
)

// call is one call on its way through this host.
type call struct {
	wr  http.ResponseWriter
	rc  *http.ResponseController
	rq  *http.Request
	svc modeler.Service
	// uri is the path and query that the runner gets.
	uri *url.URL
	// key is the idempotency key; empty means none.
	key    string
	caller string
	// forwarded states that a peer sent the call; it is then not forwarded again, except by the
	// leader that claimed its key.
	forwarded bool
	deadline  time.Time
	// body is nil for a call without a body.
	body *requestBody
	// rewind returns the body from its start again; nil when the body cannot be read twice.
	rewind    func() *requestBody
	admitCall admitter.Call
	// keep collects the answer of a keyed call; nil when it is not kept.
	keep *keptAnswer

	// started states that the header of the answer was passed to the caller.
	started bool
	// broken states that an answer ended early and the caller's connection must be aborted.
	broken bool
	// gone states that writes to the caller fail.
	gone bool
	// conn is the connection that carries the call now; cut states that it must end at once.
	conn atomic.Pointer[conn]
	cut  atomic.Bool
}

func (cl *call) cutOff() {
	cl.cut.Store(true)
	if cn := cl.conn.Load(); cn != nil {
		_ = cn.nc.Close()
	}
}

// serveCaller serves one call of a caller.
func (fw *Forwarder) serveCaller(wr http.ResponseWriter, rq *http.Request) {
	name := chi.URLParam(rq, "service")
	cl, fl := fw.newCall(wr, rq, modeler.ServiceName(name), trimService(rq.URL, name))
	if fl != nil {
		fl.write(wr)
		return
	}
	if fl = fw.enter(cl); fl == nil {
		defer fw.leave(cl)
		fl = fw.serve(cl)
	}
	fw.count(cl, fl)
	fw.finish(cl, fl)
}

// trimService takes the name of the service off the path, in its escaped form so that the runner
// sees the same octets as this host.
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
		return nil, notRun(http.StatusServiceUnavailable, "NoConfiguration", "the host has no configuration yet")
	}
	svc, ok := cfg.Service(name)
	if !ok {
		return nil, notRun(http.StatusNotFound, "UnknownService", "the configuration has no such service")
	}
	if !rq.ProtoAtLeast(1, 1) {
		return nil, notRun(http.StatusHTTPVersionNotSupported, "HTTPVersion", "HTTP/1.1 is needed to mark a truncated answer")
	}
	if rq.Method == http.MethodConnect {
		return nil, notRun(http.StatusMethodNotAllowed, "MethodNotAllowed", "the method is not supported")
	}
	if svc.BodyLimit > 0 && rq.ContentLength > svc.BodyLimit {
		return nil, notRun(http.StatusRequestEntityTooLarge, "BodyTooLarge", errBodyLimit.Error())
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
		cl.body = &requestBody{src: rq.Body, left: cl.bodyLimit()}
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

// deadlineOf returns the caller's deadline if it is stated, and the service's otherwise. It is at
// most the call limit away.
func deadlineOf(rq *http.Request, svc modeler.Service) time.Time {
	term := svc.Deadline
	if millis, err := strconv.ParseInt(rq.Header.Get(modeler.HeaderTimeout), 10, 32); err == nil && millis >= 0 {
		term = time.Duration(millis) * time.Millisecond
	}
	if term <= 0 && rq.Header.Get(modeler.HeaderTimeout) == "" {
		term = svc.CallLimit
	}
	return time.Now().Add(min(term, svc.CallLimit))
}

// mayRepeat tells whether a runner may execute the call more than once.
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

// mayResend tells whether the body can be sent from its start once more.
func (cl *call) mayResend() bool {
	return !cl.started && (cl.body == nil || cl.rewind != nil || !cl.body.touched.Load())
}

// serve carries a call out and returns nil when the answer was passed on.
func (fw *Forwarder) serve(cl *call) *failure {
	fw.op.Retrier.CountCall(cl.svc.Name)
	if cl.key != "" {
		return fw.serveKeyed(cl)
	}
	if fl := cl.readSmall(); fl != nil {
		return fl
	}
	return fw.sendRepeatedly(cl)
}

// readSmall reads a small body before the call asks for a slot, so that a slow caller holds none, and
// so that the call can be sent to another runner when the first one is unreachable.
func (cl *call) readSmall() *failure {
	if cl.body == nil || cl.rq.ContentLength <= 0 || cl.rq.ContentLength > smallBody {
		return nil
	}
	_ = cl.rc.SetReadDeadline(cl.deadline)
	defer func() { _ = cl.rc.SetReadDeadline(time.Time{}) }()
	if _, err := cl.readBody(); err != nil {
		return notRun(http.StatusBadRequest, "BodyIncomplete", err.Error())
	}
	return nil
}

// readBody reads the body into memory and lets the call be sent more than once.
func (cl *call) readBody() ([]byte, error) {
	if cl.body == nil {
		return nil, nil
	}
	body, err := io.ReadAll(cl.body)
	if err != nil {
		return nil, err
	}
	cl.rewind = func() *requestBody {
		return &requestBody{src: bytes.NewReader(body), left: cl.bodyLimit(), inMemory: len(body) <= smallBody}
	}
	cl.body = cl.rewind()
	return body, nil
}

// sendRepeatedly sends a call until it is answered, may not be repeated, or the budget is spent. An
// attempt that may have run decides the outcome of the call, whatever becomes of later ones.
func (fw *Forwarder) sendRepeatedly(cl *call) *failure {
	var ran *failure
	for attempt := 1; ; attempt++ {
		fl := fw.sendOnce(cl)
		if fl != nil && fl.outcome == modeler.Unknown {
			ran = fl
		}
		if fl == nil || !fl.repeatable || attempt == maxAttempts || !fw.mayRetry(cl) {
			if fl != nil && ran != nil {
				return ran
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
	return cl.mayResend() && !cl.cut.Load() &&
		fw.op.Retrier.AllowRetry(cl.svc.Name, cl.deadline, fw.op.Admitter.ExpectedRunTime(cl.admitCall))
}

// sendOnce sends a call to a peer if that is expected to be faster, else to a runner.
func (fw *Forwarder) sendOnce(cl *call) *failure {
	wait := fw.op.Admitter.ExpectedWait(cl.admitCall)
	if pr, ok := fw.spillOver(cl, wait); ok {
		return fw.sendToPeer(cl, pr)
	}
	adm, err := fw.op.Admitter.Admit(cl.rq.Context(), cl.admitCall)
	if err == nil {
		return fw.sendToRunner(cl, adm)
	}
	fl := refusal(err)
	if pr, ok := fw.spillOver(cl, time.Duration(1<<62)); ok && fl.code == "Overloaded" {
		return fw.sendToPeer(cl, pr)
	}
	return fl
}

// count reports the end of a caller's call once.
func (fw *Forwarder) count(cl *call, fl *failure) {
	outcome := modeler.Answered
	switch {
	case fl != nil:
		outcome = fl.outcome
	case cl.broken:
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
	if fw.op.Count != nil {
		fw.op.Count(cl.svc.Name, outcome, late)
	}
}

// finish tells the caller how the call ended, unless the whole answer was passed on. Once an answer
// has begun, only an aborted connection can say that it is not whole.
func (fw *Forwarder) finish(cl *call, fl *failure) {
	if cl.broken || fl != nil && cl.started {
		panic(http.ErrAbortHandler)
	}
	if fl != nil {
		fl.write(cl.wr)
	}
}
