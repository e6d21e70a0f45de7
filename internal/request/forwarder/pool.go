package forwarder

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/currantrouter/currantrouter/internal/request/limiter"
)

const (
	// maxIdle is the time without a call after which a connection is closed.
	maxIdle = time.Minute
	// probePath is requested with HEAD on idle connections. Any answer shows that the connection works.
	probePath = "/healthz"
)

var errNoConnection = errors.New("all connections of the share are in use")

// dialer opens a connection to an endpoint.
type dialer func(ctx context.Context, ep netip.AddrPort) (net.Conn, error)

// pool holds the idle connections to one endpoint.
type pool struct {
	ep   netip.AddrPort
	dial dialer
	// account is nil for a peer.
	account *limiter.Account
	// onUnresponsive is called for each connection that did not answer a probe. May be nil.
	onUnresponsive func(ep netip.AddrPort)

	mu sync.Mutex
	// idle lists the connections without a call, most recently used last.
	idle   []*conn
	closed bool
}

// get returns an idle connection, or opens a new one before the deadline. When it fails, no byte was sent.
func (pl *pool) get(ctx context.Context, deadline time.Time, sl *limiter.Slot) (*conn, error) {
	for cn := pl.pop(); cn != nil; cn = pl.pop() {
		if !cn.isClosed() && cn.isReusable() {
			return cn, nil
		}
		cn.close()
	}
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	return pl.open(ctx, sl)
}

func (pl *pool) open(ctx context.Context, sl *limiter.Slot) (*conn, error) {
	var reservation *limiter.Connection
	if pl.account != nil {
		var ok bool
		if reservation, ok = pl.account.Connect(sl); !ok {
			return nil, errNoConnection
		}
	}
	nc, err := pl.dial(ctx, pl.ep)
	if err != nil {
		if reservation != nil {
			reservation.Release()
		}
		return nil, err
	}
	return newConn(nc, reservation), nil
}

// isReusable reports whether the limiter allows another call on the connection.
func (cn *conn) isReusable() bool { return cn.reservation == nil || cn.reservation.Reusable() }

func (pl *pool) pop() *conn {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	if len(pl.idle) == 0 {
		return nil
	}
	last := len(pl.idle) - 1
	cn := pl.idle[last]
	pl.idle = pl.idle[:last]
	return cn
}

// put returns a connection to the pool, or closes it when it must not be reused.
func (pl *pool) put(cn *conn) {
	cn.idleAt = time.Now()
	// isClosed would fail on a connection whose deadline has passed.
	_ = cn.nc.SetDeadline(time.Time{})
	if cn.br.Buffered() > 0 || !cn.isReusable() {
		cn.close()
		return
	}
	pl.mu.Lock()
	defer pl.mu.Unlock()
	if pl.closed {
		cn.close()
		return
	}
	pl.idle = append(pl.idle, cn)
}

// close closes the idle connections. Those in use are closed when their calls end.
func (pl *pool) close() {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	pl.closed = true
	for _, cn := range pl.idle {
		cn.close()
	}
	pl.idle = nil
}

// Probe implements prober.Pool. It also closes connections that exceed this host's share or whose loan has
// expired, and those without a call for maxIdle.
func (pl *pool) Probe(ctx context.Context, idle, timeout time.Duration) {
	for _, cn := range pl.takeProbeDue(idle) {
		go pl.check(ctx, cn, timeout)
	}
}

func (pl *pool) check(ctx context.Context, cn *conn, timeout time.Duration) {
	switch err := cn.probe(timeout); {
	case err == nil:
		pl.put(cn)
	case isTimeout(err):
		pl.replace(ctx, cn)
	default:
		cn.close()
	}
}

// takeProbeDue removes and returns the connections that are due for a probe, and closes those that are not
// needed.
func (pl *pool) takeProbeDue(idle time.Duration) []*conn {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	var due []*conn
	kept := pl.idle[:0]
	for _, cn := range pl.idle {
		switch {
		case !cn.isReusable() || time.Since(cn.usedAt) > maxIdle:
			cn.close()
		case time.Since(cn.idleAt) >= idle:
			due = append(due, cn)
		default:
			kept = append(kept, cn)
		}
	}
	pl.idle = kept
	return due
}

func (cn *conn) probe(timeout time.Duration) error {
	_ = cn.nc.SetDeadline(time.Now().Add(timeout))
	rq, err := http.NewRequest(http.MethodHead, "http://"+cn.nc.RemoteAddr().String()+probePath, nil)
	if err != nil {
		return err
	}
	up := cn.send(rq)
	if up.err != nil {
		return up.err
	}
	rp, err := cn.receive(rq)
	if err != nil {
		return err
	}
	if rp.Close {
		return net.ErrClosed
	}
	return nil
}

// replace opens a new connection before it abandons the unresponsive one, so that the next call does not
// wait for the handshake.
func (pl *pool) replace(ctx context.Context, old *conn) {
	if pl.onUnresponsive != nil {
		pl.onUnresponsive(pl.ep)
	}
	repl, err := pl.open(ctx, nil)
	if err == nil {
		repl.usedAt = old.usedAt
		pl.put(repl)
	}
	old.abandon()
}

func isTimeout(err error) bool {
	var ne net.Error
	return errors.As(err, &ne) && ne.Timeout()
}
