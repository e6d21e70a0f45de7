package assembler

import (
	"bufio"
	"cmp"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"

	"github.com/currantrouter/currantrouter/internal/config/loader"
	"github.com/currantrouter/currantrouter/internal/job/relayer"
	"github.com/currantrouter/currantrouter/internal/request/budgeter"
	"github.com/currantrouter/currantrouter/internal/telemetry/meter"
)

// startLimiter serves a handler that reads bodies at /read only, has an answer of 1 MB at /large, and answers 404 elsewhere.
// It returns the address.
func startLimiter(t *testing.T, op intakeOptions) (string, *intakeLimiter) {
	t.Helper()
	fe, il := startFrontend(t, op)
	return fe.listener.Addr().String(), il
}

// startFrontend is startLimiter for tests that drain.
func startFrontend(t *testing.T, op intakeOptions) (*frontend, *intakeLimiter) {
	t.Helper()
	op.log, op.meter = logr.Discard(), meter.New(nil)
	op.retryAfter = func() time.Duration { return 2 * time.Second }
	if op.bodyLimit == nil {
		op.bodyLimit = func() int64 { return 1000 }
	}
	op.connections.Total = cmp.Or(op.connections.Total, 100)
	op.answerTime = time.Second
	il := newIntakeLimiter(op)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	fe := newFrontend(&http.Server{MaxHeaderBytes: maxHeaderBytes, Handler: il.wrap(http.HandlerFunc(func(wr http.ResponseWriter, rq *http.Request) {
		switch rq.URL.Path {
		case "/read":
		case "/large":
			_, _ = wr.Write(make([]byte, 1<<20))
			return
		default:
			http.NotFound(wr, rq)
			return
		}
		data, err := io.ReadAll(rq.Body)
		_, deadline := rq.Context().Deadline()
		_, _ = fmt.Fprint(wr, len(data), err, deadline)
	}))}, il.listener(ln))
	il.attach(fe.server)
	go func() { _ = fe.serve() }()
	t.Cleanup(func() {
		_ = fe.close(t.Context())
		_ = fe.server.Close()
		qt.Check(t, op.meter.Value(meter.BodyBytesHeld), qt.Equals, int64(0))
	})
	return fe, il
}

// assertAnswer sends a request on a new connection, and checks the status and whether the connection stays open.
func assertAnswer(t *testing.T, address, request string, status int, open bool) *http.Response {
	t.Helper()
	cn, err := net.Dial("tcp", address)
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = cn.Close() }()
	_ = cn.SetDeadline(time.Now().Add(20 * time.Second))
	_, err = io.WriteString(cn, request)
	qt.Assert(t, err, qt.IsNil)
	rd := bufio.NewReader(cn)
	rs, err := http.ReadResponse(rd, nil)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, rs.StatusCode, qt.Equals, status)
	qt.Check(t, rs.Close, qt.Equals, !open)
	text, err := io.ReadAll(rs.Body)
	qt.Assert(t, err, qt.IsNil)
	rs.Body = io.NopCloser(strings.NewReader(string(text)))
	if !open {
		_, err = rd.ReadByte()
		rest, _ := io.ReadAll(rd)
		qt.Check(t, err, qt.IsNotNil, qt.Commentf("%s", rest))
	}
	return rs
}

// Guards against defaults that ordinary clients of a large deployment reach, that leave a leader too few descriptors for
// its workers, or that the smallest host cannot keep.
func TestIntakeShares(t *testing.T) {
	st, err := loader.Load([]string{"--standalone"})
	qt.Assert(t, err, qt.IsNil)
	for _, host := range []struct{ memoryMB, descriptors, callers, peers, left int64 }{{184, 4100, 1300, 146 * 4, 1400}, {536, 8192, 400 * 4, 146 * 4, 1100 * 4}} {
		ls := st.Limits
		ls.MemoryMB, ls.Descriptors = host.memoryMB, host.descriptors
		memory, connections := int64(0), int64(0)
		for share, atLeast := range map[int64]int64{callerShare: host.callers, peerShare: host.peers, otherShare: 100} {
			bytes, conns := intakeShare(ls, share)
			usable := budgeter.ConnectionLimits{Total: conns}.Usable()
			qt.Check(t, int64(usable) >= atLeast, qt.IsTrue, qt.Commentf("%d connections for share %d", usable, share))
			memory, connections = memory+bytes, connections+int64(conns)
		}
		qt.Check(t, memory <= host.memoryMB<<20/memoryDivisor, qt.IsTrue)
		left := host.descriptors - fileDescriptors - connections
		qt.Check(t, left >= host.left, qt.IsTrue, qt.Commentf("%d descriptors left", left))
	}
}

// Guards against a peer's message within the limits that the smallest host refuses without any load.
func TestLargestPeerBody(t *testing.T) {
	st, err := loader.Load([]string{"--standalone"})
	qt.Assert(t, err, qt.IsNil)
	st.Limits.MemoryMB, st.Limits.Descriptors = 184, 4100
	memory, _ := intakeShare(st.Limits, peerShare)
	limit := peerBodyLimit(st.Limits)
	qt.Check(t, limit >= relayer.MaxBatchBytes, qt.IsTrue, qt.Commentf("%d bytes", limit))
	address, _ := startLimiter(t, intakeOptions{
		bodyBytes: memory - memory/keptDivisor, stallTime: time.Minute, totalTime: time.Minute, bodyLimit: func() int64 { return limit },
	})
	body := strings.Repeat("x", int(limit))
	assertAnswer(t, address, fmt.Sprintf("POST /read HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s", limit, body), http.StatusOK, true)
	assertAnswer(t, address, fmt.Sprintf("POST /read HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", limit, body), http.StatusOK, true)
}

// Guards against clients that do not end their bodies and are never answered, whether or not the handler reads the
// body, against refusals without a reason, and against requests within the limits that are refused.
func TestIntakeLimiter(t *testing.T) {
	const chunk = "3e8\r\n"
	body := strings.Repeat("x", 1000)
	usual := intakeOptions{bodyBytes: 1 << 20, stallTime: 100 * time.Millisecond, totalTime: time.Minute}
	for _, tc := range []struct {
		name, request string
		status        int
		open          bool
	}{
		{"announced", "POST /read HTTP/1.1\r\nHost: a\r\nContent-Length: 1000\r\n\r\n" + body, http.StatusOK, true},
		{"chunked", "POST /read HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk + body + "\r\n0\r\n\r\n", http.StatusOK, true},
		{"largest header", "GET /read HTTP/1.1\r\nHost: a\r\nX: " + strings.Repeat("x", 16<<10-37) + "\r\n\r\n", http.StatusOK, true},
		{"too large header", "GET /read HTTP/1.1\r\nHost: a\r\nX: " + strings.Repeat("x", 17<<10) + "\r\n\r\n", http.StatusRequestHeaderFieldsTooLarge, false},
		{"no body", "GET /read HTTP/1.1\r\nHost: a\r\n\r\n", http.StatusOK, true},
		{"unread", "GET /nowhere HTTP/1.1\r\nHost: a\r\nContent-Length: 1000\r\n\r\n" + body, http.StatusNotFound, true},
		{"announced too large", "POST /read HTTP/1.1\r\nHost: a\r\nContent-Length: 1001\r\n\r\n", http.StatusRequestEntityTooLarge, false},
		{"too large", "POST /read HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk + body + "\r\n1\r\nx\r\n", http.StatusRequestEntityTooLarge, false},
		{"stalled", "POST /read HTTP/1.1\r\nHost: a\r\nContent-Length: 1000\r\n\r\nxx", http.StatusRequestTimeout, false},
		{"stalled chunk", "POST /read HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk + "x", http.StatusRequestTimeout, false},
		{"stalled without a reader", "POST /nowhere HTTP/1.1\r\nHost: a\r\nContent-Length: 1000\r\n\r\nxx", http.StatusRequestTimeout, false},
		{"stalled query", "GET /read HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n\r\n", http.StatusRequestTimeout, false},
		{"invalid", "POST /read HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\nno chunk\r\n", http.StatusBadRequest, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			address, _ := startLimiter(t, usual)
			assertAnswer(t, address, tc.request, tc.status, tc.open)
		})
	}
}

// Guards against a caller that waits for an answer after the deadline of its request, and against a handler that counts
// the deadline from the end of the body.
func TestIntakeDeadline(t *testing.T) {
	op := intakeOptions{bodyBytes: 1 << 20, stallTime: time.Minute, totalTime: time.Minute, timeout: func(*http.Request) time.Duration { return 200 * time.Millisecond }}
	address, _ := startLimiter(t, op)
	assertAnswer(t, address, "POST /read HTTP/1.1\r\nHost: a\r\nContent-Length: 1000\r\n\r\nxx", http.StatusRequestTimeout, false)
	op.timeout = func(*http.Request) time.Duration { return time.Minute }
	address, _ = startLimiter(t, op)
	cn, err := net.Dial("tcp", address)
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = cn.Close() }()
	_, _ = io.WriteString(cn, "POST /read HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nx")
	time.Sleep(4 * notableReadTime)
	_, _ = io.WriteString(cn, "x")
	rs, err := http.ReadResponse(bufio.NewReader(cn), nil)
	qt.Assert(t, err, qt.IsNil)
	text, err := io.ReadAll(rs.Body)
	qt.Check(t, err, qt.IsNil)
	qt.Check(t, string(text), qt.Equals, "2 <nil> true")
}

// Guards against large bodies of peers that keep small ones, such as greetings, from being read.
func TestKeptMemory(t *testing.T) {
	address, il := startLimiter(t, intakeOptions{
		bodyBytes: 1 << 20, keptBytes: 256 << 10, stallTime: time.Minute, totalTime: time.Minute, bodyLimit: func() int64 { return 1 << 20 },
	})
	large := il.budget.Open(nil, func() { t.Error("aborted after its end") })
	defer large.Release()
	qt.Assert(t, large.Charge(1<<20), qt.IsNil)
	qt.Assert(t, large.Complete(), qt.IsNil)
	for _, tc := range []struct{ size, status int }{{1, http.StatusOK}, {64 << 10, http.StatusOK}, {64<<10 + 1, http.StatusServiceUnavailable}} {
		request := fmt.Sprintf("POST /read HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s", tc.size, strings.Repeat("x", tc.size))
		assertAnswer(t, address, request, tc.status, tc.status == http.StatusOK)
	}
}

// Guards against a caller that is cut although its body makes progress within the timeout of its request, and against one
// that sets a timeout without a bound.
func TestSlowCaller(t *testing.T) {
	timeout := time.Minute
	op := intakeOptions{bodyBytes: 1 << 20, stallTime: time.Minute, totalTime: 50 * time.Millisecond, timeout: func(*http.Request) time.Duration { return timeout }}
	address, il := startLimiter(t, op)
	cn, err := net.Dial("tcp", address)
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = cn.Close() }()
	_, _ = io.WriteString(cn, "POST /read HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n\r\n")
	for range 10 {
		time.Sleep(20 * time.Millisecond)
		_, _ = io.WriteString(cn, "x")
	}
	rs, err := http.ReadResponse(bufio.NewReader(cn), nil)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, rs.StatusCode, qt.Equals, http.StatusOK)
	timeout = time.Hour
	qt.Check(t, il.timeFor(nil), qt.Equals, maxCallerBodyTime)
}

// Guards against a refusal without the time for a retry where the memory is exhausted, and against a drain that waits for
// clients which do not send their bodies.
func TestIntakeExhausted(t *testing.T) {
	const request = "POST /read HTTP/1.1\r\nHost: a\r\nContent-Length: 1000\r\n\r\n"
	address, _ := startLimiter(t, intakeOptions{bodyBytes: 100, stallTime: time.Minute, totalTime: time.Minute})
	rs := assertAnswer(t, address, request, http.StatusServiceUnavailable, false)
	seconds, err := strconv.Atoi(rs.Header.Get("Retry-After"))
	qt.Check(t, err, qt.IsNil)
	qt.Check(t, seconds, qt.Equals, 2)
	header := "GET /read HTTP/1.1\r\nHost: a\r\n" + strings.Repeat("x:\r\n", 2000)
	assertAnswer(t, address, header, http.StatusServiceUnavailable, false)
	assertAnswer(t, address, header[:1031]+"\r\n", http.StatusServiceUnavailable, false)
	address, il := startLimiter(t, intakeOptions{bodyBytes: 1 << 20, stallTime: time.Minute, totalTime: time.Minute})
	go func() {
		for reading := 0; reading == 0; {
			time.Sleep(time.Millisecond)
			_, reading = il.budget.Usage()
		}
		il.drain()
	}()
	rs = assertAnswer(t, address, request, http.StatusServiceUnavailable, false)
	text, err := io.ReadAll(rs.Body)
	qt.Check(t, err, qt.IsNil)
	qt.Check(t, string(text), qt.Equals, budgeter.ErrEnding.Error()+"\n")
	qt.Check(t, il.op.meter.Value(meter.BodiesUnfinished), qt.Equals, int64(1))
	assertAnswer(t, address, request, http.StatusRequestTimeout, false)
}

// Guards against clients that do not read their answers: they kept all others from connecting, and a drain waited for them.
func TestUnreadAnswers(t *testing.T) {
	fe, il := startFrontend(t, intakeOptions{bodyBytes: 1 << 20, stallTime: time.Minute, totalTime: time.Minute, connections: budgeter.ConnectionLimits{Total: 8}})
	address := fe.listener.Addr().String()
	occupy := func() {
		for range 10 {
			cn, err := net.Dial("tcp", address)
			qt.Assert(t, err, qt.IsNil)
			t.Cleanup(func() { _ = cn.Close() })
			// The error means that the connection was refused.
			_, _ = io.WriteString(cn, strings.Repeat("GET /large HTTP/1.1\r\nHost: a\r\n\r\n", 100))
		}
		for began := time.Now(); il.connections.Count() < 7 && time.Since(began) < 5*time.Second; {
			time.Sleep(time.Millisecond)
		}
	}
	occupy()
	served := false
	for began := time.Now(); !served && time.Since(began) < 5*time.Second; time.Sleep(20 * time.Millisecond) {
		rs, err := http.Get("http://" + address + "/read")
		if served = err == nil; served {
			_ = rs.Body.Close()
		}
	}
	qt.Check(t, served, qt.IsTrue)
	http.DefaultClient.CloseIdleConnections()
	occupy()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	il.drain()
	qt.Check(t, fe.close(ctx), qt.IsNil)
}
