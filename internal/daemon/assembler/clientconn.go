package assembler

import (
	"net"
	"net/http"
	"time"
)

// answerTime is the time in which a client must take its answer. Answers are written when they are complete, so that it does
// not depend on how long a request is handled. The largest, some 1 MB for a peer, take 0.8 s on the slowest link (10 Mbit/s).
const answerTime = 5 * time.Second

// clientListener accepts connections that are bounded by a limiter.
type clientListener struct {
	net.Listener
	limiter *intakeLimiter
}

// Accept implements net.Listener.
func (cl clientListener) Accept() (net.Conn, error) {
	cn, err := cl.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &clientConn{Conn: cn, limiter: cl.limiter}, nil
}

// clientConn is an accepted connection. Its fields are used by the goroutine of the server that handles its requests.
type clientConn struct {
	net.Conn
	limiter *intakeLimiter
	// answering is set while the present answer has a write deadline, which the server clears after the answer.
	answering bool
}

// Write implements net.Conn. The client must take the whole answer within answerTime.
func (cc *clientConn) Write(bf []byte) (int, error) {
	if !cc.answering {
		cc.answering = true
		// The error means that the connection is closed, as that of the write does.
		_ = cc.SetWriteDeadline(time.Now().Add(cc.limiter.op.answerTime))
	}
	return cc.Conn.Write(bf)
}

// CloseWrite lets the server send a refusal without a reset of the connection.
func (cc *clientConn) CloseWrite() error {
	if cw, ok := cc.Conn.(interface{ CloseWrite() error }); ok {
		return cw.CloseWrite()
	}
	return nil
}

// setState is called with each change of the state of the connection.
func (cc *clientConn) setState(state http.ConnState) {
	if state == http.StateActive || state == http.StateIdle {
		cc.answering = false
	}
}
