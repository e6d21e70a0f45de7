package assembler

import (
	"bytes"
	"cmp"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"github.com/currantrouter/currantrouter/internal/request/budgeter"
	"github.com/currantrouter/currantrouter/internal/telemetry/logger"
	"github.com/currantrouter/currantrouter/internal/telemetry/meter"
)

const (
	// lingerTime is the time for which a client may go on to send a refused body, and maxLingerBytes how much of it is
	// read. It covers the bodies of most clients that send all before they read.
	lingerTime     = 500 * time.Millisecond
	maxLingerBytes = 256 << 10
	// maxLingering is the number of connections per listener that linger at a time.
	maxLingering = 64
	// maxSmallBody is the size in bytes up to which bodies have memory of their own. Greetings and almost all jobs that peers
	// tell the leader of are smaller.
	maxSmallBody = 64 << 10
	// maxCallerBodyTime bounds the time for a body whose sender waits longer for the answer. A body of 262,144 bytes arrives
	// within it at 35 kbit/s.
	maxCallerBodyTime = time.Minute
	// notableReadTime is the time for reading a body from which the deadline of the request is set apart, as the
	// handler counts from its own start.
	notableReadTime = 20 * time.Millisecond
	// decodedFactor is the memory charged for a handler that does not charge it itself, in multiples of the body's size.
	// A message is copied once before it is decoded.
	decodedFactor = 2
	// reportInterval is the time between two lines about ended bodies.
	reportInterval = time.Second
)

// errStalled means that a body made no progress for a time, or that the deadline of its request has passed.
var errStalled = errors.New("request body did not arrive in time")

// intakeOptions configure an intakeLimiter.
type intakeOptions struct {
	// name is the name of the listener in log lines.
	name string
	// bodyBytes is the memory for bodies, keptBytes that for bodies of at most maxSmallBody in addition, when the former is
	// used up.
	bodyBytes, keptBytes int64
	connections          budgeter.ConnectionLimits
	// stallTime is the longest time without progress of a body, totalTime that for a whole body where timeout is nil.
	stallTime, totalTime time.Duration
	// answerTime is the time in which a client must take its answer.
	answerTime time.Duration
	// bodyLimit returns the maximum size of a body in bytes.
	bodyLimit func() int64
	// timeout returns how long the sender of a request waits for the answer. If it is nil, that is not known, and the
	// handler does not charge the memory that it needs for a body.
	timeout func(rq *http.Request) time.Duration
	// retryAfter returns the time after which a refused client should retry, in whole seconds.
	retryAfter func() time.Duration
	log        logr.Logger
	meter      *meter.Registry
}

// intakeLimiter bounds what the clients of one listener hold. It reads the body of each request before the request is
// handled, so that a client that does not send it is told so whatever its request is.
type intakeLimiter struct {
	op     intakeOptions
	budget *budgeter.Budget
	// kept is the budget of keptBytes.
	kept        *budgeter.Budget
	connections *budgeter.Connections
	draining    atomic.Bool
	lingering   atomic.Int32

	mu sync.Mutex
	// ended counts the bodies and connections that were ended since the last line, by event.
	ended map[logger.Event]int
	// reported is the time of the last line, by event.
	reported map[logger.Event]time.Time
}

func newIntakeLimiter(op intakeOptions) *intakeLimiter {
	il := &intakeLimiter{op: op, ended: map[logger.Event]int{}, reported: map[logger.Event]time.Time{}}
	onChange := func(delta int64) { op.meter.Add(meter.BodyBytesHeld, delta) }
	il.budget, il.kept = budgeter.New(op.bodyBytes, onChange), budgeter.New(op.keptBytes, onChange)
	il.connections = budgeter.NewConnections(op.connections, il.abortCostliest)
	return il
}

// connectionKey is the key of the connection in the context of its requests.
type connectionKey struct{}

// listener returns a listener whose connections are bounded by the limiter.
func (il *intakeLimiter) listener(ln net.Listener) net.Listener { return clientListener{ln, il} }

// attach makes a server that is not started yet report its connections to the limiter. Its listener is that of the method
// listener.
func (il *intakeLimiter) attach(sv *http.Server) {
	sv.ConnContext = func(ctx context.Context, cn net.Conn) context.Context {
		il.op.meter.Add(meter.ClientConnections, 1)
		cc := cn.(*clientConn)
		addr, _ := netip.ParseAddrPort(cn.RemoteAddr().String())
		entry, evicted, refused := il.connections.Open(cn, addr.Addr().Unmap())
		cc.entry = entry
		if evicted || refused {
			il.op.meter.Add(meter.ConnectionsEnded, 1)
			il.report(logger.ConnectionsEnded, "Connections", il.connections.Count(), "Limit", il.op.connections.Total)
		}
		return context.WithValue(ctx, connectionKey{}, cc)
	}
	track := sv.ConnState
	sv.ConnState = func(cn net.Conn, state http.ConnState) {
		cn.(*clientConn).setState(state)
		switch state {
		case http.StateActive:
			il.connections.SetActive(cn)
		case http.StateIdle:
			il.connections.SetIdle(cn)
		case http.StateClosed, http.StateHijacked:
			il.connections.Remove(cn)
			il.op.meter.Add(meter.ClientConnections, -1)
		}
		track(cn, state)
	}
}

// report writes a line of the event with the number of bodies or connections ended since the last one, at most one
// per reportInterval.
func (il *intakeLimiter) report(ev logger.Event, kv ...any) {
	il.mu.Lock()
	defer il.mu.Unlock()
	il.ended[ev]++
	now := time.Now()
	if now.Sub(il.reported[ev]) < reportInterval {
		return
	}
	logger.Log(il.op.log, ev, append(kv, "Listener", il.op.name, "Ended", il.ended[ev])...)
	il.ended[ev], il.reported[ev] = 0, now
}

// drain shortens the time for bodies to newConnGrace, so that clients that do not send theirs do not delay the end of
// the process.
func (il *intakeLimiter) drain() {
	il.draining.Store(true)
	time.AfterFunc(newConnGrace, il.budget.AbortAll)
	time.AfterFunc(newConnGrace, il.kept.AbortAll)
}

// abortCostliest aborts the body that costs most, and returns its connection, nil if no body is being read.
func (il *intakeLimiter) abortCostliest() *budgeter.Connection {
	if cn := il.budget.AbortCostliest(); cn != nil {
		return cn
	}
	return il.kept.AbortCostliest()
}

// budgetFor returns the budget for a request with the size of its body, negative if it is unknown, and the memory for its
// header, both in bytes.
func (il *intakeLimiter) budgetFor(size, header int64) *budgeter.Budget {
	if size < 0 || size > maxSmallBody {
		return il.budget
	}
	if need := header + (1+decodedFactor)*size + 1; il.budget.Free() < need && il.kept.Free() >= need {
		return il.kept
	}
	return il.budget
}

// wrap returns a handler that reads the bodies of requests within the limits, and refuses the others.
func (il *intakeLimiter) wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(wr http.ResponseWriter, rq *http.Request) {
		cc := rq.Context().Value(connectionKey{}).(*clientConn)
		if cc.entry.Evicted() {
			panic(http.ErrAbortHandler)
		}
		if cc.aborted != nil {
			il.refuse(wr, rq, cc.aborted, 0)
			return
		}
		cc.bodySize = rq.ContentLength
		header := headerMemory(rq.Header)
		if rq.ContentLength != 0 {
			il.serveBody(wr, rq, next, cc.entry, header)
			return
		}
		if header > 0 {
			share := il.budget.Open(cc.entry, func() {})
			defer share.Release()
			if err := cmp.Or(share.Charge(header), share.Complete()); err != nil {
				il.refuse(wr, rq, err, 0)
				return
			}
		}
		next.ServeHTTP(wr, rq)
	})
}

// onAborted reports that a body or a header was aborted or refused for the reason.
func (il *intakeLimiter) onAborted(reason error) {
	metric := meter.BodiesAborted
	switch {
	case errors.Is(reason, budgeter.ErrCrowded):
		metric = meter.BodiesCrowded
	case errors.Is(reason, budgeter.ErrEnding):
		metric = meter.BodiesUnfinished
	}
	il.op.meter.Add(metric, 1)
	used, reading := il.budget.Usage()
	il.report(logger.BodiesAborted, "Reading", reading, "Memory", used, "Limit", il.op.bodyBytes, "Cause", reason.Error())
}

// serveBody reads the body of a request and has it handled. header is the memory to charge for its header in bytes.
func (il *intakeLimiter) serveBody(wr http.ResponseWriter, rq *http.Request, next http.Handler, entry *budgeter.Connection, header int64) {
	limit := il.op.bodyLimit()
	if rq.ContentLength > limit {
		il.refuse(wr, rq, budgeter.ErrTooLarge, limit)
		return
	}
	began := time.Now()
	cn := newConnDeadline(wr)
	share := il.budgetFor(rq.ContentLength, header).Open(entry, cn.interrupt)
	defer share.Release()
	deadline := began.Add(il.timeFor(rq))
	var data []byte
	err := share.Charge(header)
	if err == nil {
		data, err = share.ReadAll(http.MaxBytesReader(wr, rq.Body, limit), rq.ContentLength, limit, il.progress(cn, share, deadline))
	}
	if err == nil && il.op.timeout == nil {
		err = share.Charge(decodedFactor * int64(len(data)))
	}
	if err != nil {
		share.Release()
		il.refuse(wr, rq, err, limit)
		return
	}
	cn.set(time.Time{})
	if il.op.timeout != nil && time.Since(began) > notableReadTime {
		ctx, cancel := context.WithDeadline(rq.Context(), began.Add(il.op.timeout(rq)))
		defer cancel()
		rq = rq.WithContext(ctx)
	}
	rq.Body = &receivedBody{bytes.NewReader(data), data, share}
	next.ServeHTTP(wr, rq)
}

// timeFor returns the time for the body of a request.
func (il *intakeLimiter) timeFor(rq *http.Request) time.Duration {
	total := il.op.totalTime
	if il.op.timeout != nil {
		total = min(il.op.timeout(rq), maxCallerBodyTime)
	}
	if il.draining.Load() {
		total = min(total, newConnGrace)
	}
	return total
}

// progress returns a function that is called before each read of a body. It moves the deadline of the connection only
// when that differs by much: a body in many small parts is read with as many calls.
func (il *intakeLimiter) progress(cn connDeadline, share *budgeter.Body, deadline time.Time) func() error {
	var until time.Time
	return func() error {
		now := time.Now()
		if next := now.Add(il.op.stallTime); next.Sub(until) > il.op.stallTime/4 {
			until = next
			if deadline.Before(next) {
				// It is final, also if stallTime has not passed by then.
				until, next = deadline.Add(il.op.stallTime), deadline
			}
			cn.set(next)
			if err := share.Aborted(); err != nil {
				return err
			}
		}
		if !now.Before(deadline) {
			return errStalled
		}
		return nil
	}
}

// refuse answers a request whose body was not read to the end, and closes its connection.
func (il *intakeLimiter) refuse(wr http.ResponseWriter, rq *http.Request, err error, limit int64) {
	var tooLarge *http.MaxBytesError
	var timeout net.Error
	used, reading := il.budget.Usage()
	inputs := []any{"Reading", reading, "Memory", used, "Limit", il.op.bodyBytes}
	switch {
	case errors.Is(err, budgeter.ErrTooLarge) || errors.As(err, &tooLarge):
		il.op.meter.Add(meter.BodiesTooLarge, 1)
		answerAndClose(wr, http.StatusRequestEntityTooLarge, "body exceeds "+strconv.FormatInt(limit, 10)+" bytes")
		il.discard(wr, rq)
	case errors.Is(err, budgeter.ErrExhausted) || errors.Is(err, budgeter.ErrCrowded) || errors.Is(err, budgeter.ErrEnding):
		il.onAborted(err)
		wr.Header().Set("Retry-After", strconv.Itoa(int(il.op.retryAfter()/time.Second)))
		answerAndClose(wr, http.StatusServiceUnavailable, err.Error())
		il.discard(wr, rq)
	case errors.Is(err, errStalled) || errors.As(err, &timeout) && timeout.Timeout():
		il.op.meter.Add(meter.BodiesStalled, 1)
		il.report(logger.BodiesStalled, inputs...)
		answerAndClose(wr, http.StatusRequestTimeout, errStalled.Error())
	default:
		// The client has closed the connection, or sent something else than a body.
		il.op.meter.Add(meter.BodiesBroken, 1)
		answerAndClose(wr, http.StatusBadRequest, "body cannot be read")
	}
	// The server would wait for the rest of the body otherwise.
	newConnDeadline(wr).interrupt()
}

// answerAndClose sends an answer at once, after which the connection is closed.
func answerAndClose(wr http.ResponseWriter, status int, text string) {
	hd := wr.Header()
	hd.Set("Connection", "close")
	hd.Set("Content-Type", "text/plain; charset=utf-8")
	hd.Set("Content-Length", strconv.Itoa(len(text)+1))
	wr.WriteHeader(status)
	// Both fail only where the answer cannot arrive any more.
	_, _ = io.WriteString(wr, text+"\n")
	_ = http.NewResponseController(wr).Flush()
}

// discard reads for a time what a client still sends, so that it reads its answer: the system resets a connection that
// is closed with unread bytes.
func (il *intakeLimiter) discard(wr http.ResponseWriter, rq *http.Request) {
	defer il.lingering.Add(-1)
	if il.lingering.Add(1) > maxLingering {
		return
	}
	// Its memory is charged no more.
	rq.Header = nil
	newConnDeadline(wr).set(time.Now().Add(lingerTime))
	// The error means that the time is over, or that the client has closed the connection.
	_, _ = io.CopyN(io.Discard, rq.Body, maxLingerBytes)
}

// connDeadline sets the read deadline of a connection.
type connDeadline struct{ controller *http.ResponseController }

func newConnDeadline(wr http.ResponseWriter) connDeadline {
	return connDeadline{http.NewResponseController(wr)}
}

// set sets the deadline. It has no effect on a connection that is closed, or in a test without one.
func (cd connDeadline) set(at time.Time) { _ = cd.controller.SetReadDeadline(at) }

// interrupt ends a read.
func (cd connDeadline) interrupt() { cd.set(time.Unix(1, 0)) }

// receivedBody is a body that was read.
type receivedBody struct {
	*bytes.Reader
	data  []byte
	share *budgeter.Body
}

// Close implements io.Closer.
func (*receivedBody) Close() error { return nil }

// Bytes returns the whole body. It must not be modified.
func (rb *receivedBody) Bytes() []byte { return rb.data }

// Charge adds memory in bytes to what is held for the body. Errors: budgeter.ErrExhausted.
func (rb *receivedBody) Charge(bytes int64) error { return rb.share.Charge(bytes) }

var _ io.ReadCloser = (*receivedBody)(nil)
