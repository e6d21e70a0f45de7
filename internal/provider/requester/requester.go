// Package requester sends JSON calls to the platform over HTTP. It sends each call at most once
// and distinguishes a call that was certainly not sent from one whose answer was lost.
package requester

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"sync"
	"time"

	"github.com/currantrouter/currantrouter/internal/process/watchdog"
)

// Errors of a call. Callers test for them with errors.Is.
var (
	// ErrNotSent means that no byte of the call has left this process and none will.
	ErrNotSent = errors.New("call not sent")
	// ErrAnswerLost means that a part of the call was sent and no whole answer has come back.
	ErrAnswerLost = errors.New("answer lost")
)

const (
	// maxAnswerBytes bounds an answer. The largest is a list of 5 MB of values in base64.
	maxAnswerBytes = 16 << 20
	// idleTimeout is below the time for which the platform keeps idle connections, so that calls
	// seldom meet a connection that is just being closed.
	idleTimeout = 30 * time.Second
	// bufferBytes is the size of each buffer of a connection. A leader has thousands of connections, and
	// most messages are shorter.
	bufferBytes = 2 << 10
	// maxDialAttempts bounds the connections that a call tries while no byte was sent.
	maxDialAttempts = 3
)

// keepAlive ends connections whose path no longer answers within 3 s.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 2}

// Failure is an error answer of the platform. It is the JSON body of every answer other than 200.
type Failure struct {
	// Status is the HTTP status.
	Status int `json:"-"`
	// Code is stable and meant for programs. It is empty when the answer was no error document.
	Code    string
	Message string
}

// Error returns the code and message.
func (fl *Failure) Error() string {
	return fmt.Sprintf("status %d %s: %s", fl.Status, fl.Code, fl.Message)
}

// Requester sends calls over a pool of connections. It is safe for concurrent use.
type Requester struct {
	transport *http.Transport
}

// New returns a requester without connections.
func New() *Requester {
	dl := &net.Dialer{Timeout: 2 * time.Second, KeepAliveConfig: keepAlive}
	return NewWithDialer(dl.DialContext)
}

// NewWithDialer returns a requester that makes its connections with the function.
func NewWithDialer(dial func(ctx context.Context, network, address string) (net.Conn, error)) *Requester {
	return &Requester{transport: &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			cn, err := dial(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &countingConn{Conn: cn}, nil
		},
		DisableCompression:  true,
		MaxIdleConnsPerHost: 16,
		IdleConnTimeout:     idleTimeout,
		ReadBufferSize:      bufferBytes,
		WriteBufferSize:     bufferBytes,
	}}
}

// Close closes the idle connections.
func (rr *Requester) Close() { rr.transport.CloseIdleConnections() }

// Request is one HTTP request.
type Request struct {
	Method  string
	Address netip.AddrPort
	// Path includes the query.
	Path   string
	Header http.Header
	// Body is nil for a request without one.
	Body []byte
}

// Response is a complete answer.
type Response struct {
	Status int
	Body   []byte
}

// Call posts a JSON document and decodes the answer. Errors: ErrNotSent, ErrAnswerLost, *Failure
// for an error answer of the platform.
func (rr *Requester) Call(ctx context.Context, address netip.AddrPort, path string, in, out any) error {
	body, err := json.Marshal(in)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	rs, err := rr.Do(ctx, &Request{Method: http.MethodPost, Address: address, Path: path, Header: jsonHeader, Body: body})
	if err != nil {
		return err
	}
	return decode(rs, out)
}

// jsonHeader is shared by all calls and never changed.
var jsonHeader = http.Header{"Content-Type": {"application/json; charset=utf-8"}}

// Do sends a request and reads the whole answer, whatever its status. It reports the bytes that arrive to a watchdog of
// the context. Errors: ErrNotSent, ErrAnswerLost.
func (rr *Requester) Do(ctx context.Context, rq *Request) (Response, error) {
	for at := 1; ; at++ {
		rs, err := rr.send(ctx, rq)
		if !errors.Is(err, ErrNotSent) || ctx.Err() != nil || at == maxDialAttempts {
			return rs, err
		}
	}
}

func (rr *Requester) send(ctx context.Context, rq *Request) (Response, error) {
	ct := new(connTrace)
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: ct.gotConn})
	var body io.Reader
	if rq.Body != nil {
		body = io.NopCloser(bytes.NewReader(rq.Body))
	}
	hr, err := http.NewRequestWithContext(ctx, rq.Method, "http://"+rq.Address.String()+rq.Path, body)
	if err != nil {
		return Response{}, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	// Without GetBody the transport cannot send the request a second time.
	hr.GetBody = nil
	hr.ContentLength = int64(len(rq.Body))
	if rq.Header != nil {
		hr.Header = rq.Header.Clone()
	}
	// The transport is used directly because a client would follow redirects.
	rs, err := watchdog.NewTransport(rr.transport).RoundTrip(hr)
	if err != nil {
		return Response{}, fmt.Errorf("%w: %w", ct.classify(), err)
	}
	defer func() { _ = rs.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(rs.Body, maxAnswerBytes))
	if err != nil {
		return Response{}, fmt.Errorf("%w: %w", ErrAnswerLost, err)
	}
	return Response{rs.StatusCode, data}, nil
}

func decode(rs Response, out any) error {
	if rs.Status != http.StatusOK {
		fl := &Failure{}
		if json.Unmarshal(rs.Body, fl) != nil {
			fl = &Failure{Message: "answer is no error document"}
		}
		fl.Status = rs.Status
		return fl
	}
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(rs.Body, out); err != nil {
		return fmt.Errorf("%w: %w", ErrAnswerLost, err)
	}
	return nil
}

// connTrace determines whether a request was written to its connection.
type connTrace struct {
	mu sync.Mutex
	// conn is the connection of the request, nil before it has one.
	conn *countingConn
	// before is the number of bytes that earlier requests wrote to conn.
	before int64
}

func (ct *connTrace) gotConn(ci httptrace.GotConnInfo) {
	ct.mu.Lock()
	defer ct.mu.Unlock()
	ct.conn, _ = ci.Conn.(*countingConn)
	if ct.conn != nil {
		ct.before = ct.conn.count()
	}
}

// classify returns ErrNotSent only when no byte was written and none will be: it seals the
// connection, because the transport may still be about to write to it.
func (ct *connTrace) classify() error {
	ct.mu.Lock()
	defer ct.mu.Unlock()
	if ct.conn == nil || ct.conn.seal() == ct.before {
		return ErrNotSent
	}
	return ErrAnswerLost
}

// countingConn counts the bytes that were passed to the connection.
type countingConn struct {
	net.Conn
	mu sync.Mutex
	// written counts a write before it begins, so it is never too low.
	written int64
	sealed  bool
}

// Write refuses to write after seal.
func (cc *countingConn) Write(bf []byte) (int, error) {
	if !cc.add(len(bf)) {
		return 0, net.ErrClosed
	}
	return cc.Conn.Write(bf)
}

func (cc *countingConn) add(size int) bool {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	if cc.sealed {
		return false
	}
	cc.written += int64(size)
	return true
}

func (cc *countingConn) count() int64 {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	return cc.written
}

// seal makes later writes fail, and returns the number of bytes written so far.
func (cc *countingConn) seal() int64 {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	cc.sealed = true
	return cc.written
}
