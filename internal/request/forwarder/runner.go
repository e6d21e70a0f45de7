package forwarder

import (
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/currantrouter/currantrouter/internal/fleet/modeler"
	"github.com/currantrouter/currantrouter/internal/request/admitter"
	"github.com/currantrouter/currantrouter/internal/telemetry/logger"
)

// sendToRunner sends an admitted call to its runner, and then releases or abandons the slot.
func (fw *Forwarder) sendToRunner(cl *call, adm *admitter.Admission) *failure {
	pl := fw.runnerPool(adm.Target)
	cn, err := pl.get(cl.rq.Context(), cl.deadline, adm.Slot)
	if err != nil {
		return fw.endUnsent(cl, adm, err, cl.rq.Context().Err() == nil && !errors.Is(err, errNoConnection))
	}
	if !adm.Slot.Begin() {
		pl.put(cn)
		return fw.endUnsent(cl, adm, errLoanExpired, false)
	}
	limit := adm.Slot.CallLimit()
	tf := fw.exchange(cl, pl, cn, fw.runnerRequest(cl, limit), time.Now().Add(limit), fw.acceptRunner(cl))
	if tf.progress != unsent && !adm.Slot.InTime(tf.sent) {
		logger.Log(fw.op.Log, logger.LoanLate, "Runner", adm.Target.Name)
	}
	switch tf.progress {
	case unsent:
		return fw.endUnsent(cl, adm, tf.err, true)
	case lost:
		return fw.endAbandoned(cl, adm, tf)
	}
	adm.Done(tf.elapsed)
	fw.op.Router.Observe(adm.Target, adm.Class, tf.elapsed, tf.status >= http.StatusInternalServerError)
	adm.Slot.Release()
	return tf.failure
}

var errLoanExpired = errors.New("the loan of the slot ended before the call was sent")

// endUnsent releases the slot of a call of which no byte was sent. With countFailure, the error counts as a
// failure of the runner.
func (fw *Forwarder) endUnsent(cl *call, adm *admitter.Admission, err error, countFailure bool) *failure {
	adm.Done(0)
	if countFailure && !isBodyError(err) {
		fw.op.Router.Observe(adm.Target, adm.Class, 0, true)
	} else {
		adm.Target.CancelProbe()
	}
	adm.Slot.Release()
	if errors.Is(err, errBodyTooLarge) {
		return failNotRun(http.StatusRequestEntityTooLarge, "BodyTooLarge", err.Error())
	}
	fl := failNotRun(http.StatusServiceUnavailable, "RunnerUnreachable", err.Error())
	fl.retryAfter = 1
	fl.repeatable = cl.rq.Context().Err() == nil
	return fl
}

// endAbandoned abandons the slot of a call that the runner may still be working on.
func (fw *Forwarder) endAbandoned(cl *call, adm *admitter.Admission, tf transfer) *failure {
	adm.Done(tf.elapsed)
	if isBodyError(tf.err) || errors.Is(tf.err, errAnswerTooLarge) || cl.aborted.Load() {
		adm.Target.CancelProbe()
	} else {
		fw.op.Router.Observe(adm.Target, adm.Class, tf.elapsed, true)
	}
	adm.Slot.Abandon()
	fl := fw.lostFailure(cl, tf)
	if fl != nil {
		fl.repeatable = cl.mayRepeat()
	}
	return fl
}

func isBodyError(err error) bool {
	var be *bodyError
	return errors.As(err, &be)
}

// runnerRequest builds the request to a runner. The request has no GetBody and its body has a type of this
// package, so that net/http cannot send it twice.
func (fw *Forwarder) runnerRequest(cl *call, limit time.Duration) *http.Request {
	rq := cl.request(cl.rq.Method)
	rq.URL.Path, rq.URL.RawPath, rq.URL.RawQuery = cl.uri.Path, cl.uri.RawPath, cl.uri.RawQuery
	rq.Header[modeler.HeaderTimeout] = []string{strconv.FormatInt(limit.Milliseconds(), 10)}
	if cl.key != "" {
		rq.Header[modeler.HeaderKey] = []string{cl.key}
	}
	return rq
}

// request builds a request with the end-to-end headers and the body of the call.
func (cl *call) request(method string) *http.Request {
	rq := &http.Request{
		Method: method, URL: newURL(cl.rq.Host), Host: cl.rq.Host, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Header: make(http.Header, len(cl.rq.Header)+4),
	}
	copyEndToEnd(rq.Header, cl.rq.Header)
	if _, ok := rq.Header["User-Agent"]; !ok {
		// An empty value prevents net/http from adding its default.
		rq.Header["User-Agent"] = []string{""}
	}
	if cl.body != nil {
		rq.Body, rq.ContentLength = cl.body, cl.rq.ContentLength
	}
	return rq
}

// acceptRunner returns a function that refuses answers whose end is not marked or that are too large.
func (fw *Forwarder) acceptRunner(cl *call) func(*http.Response) *failure {
	return func(rp *http.Response) *failure {
		if !isFramed(rp) {
			return failUnknown(http.StatusBadGateway, "AnswerUnframed", errUnframed.Error())
		}
		if rp.ContentLength > cl.bodyLimit() && cl.rq.Method != http.MethodHead {
			return failUnknown(http.StatusBadGateway, "AnswerTooLarge", errAnswerTooLarge.Error())
		}
		return nil
	}
}
