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
	// idleLimit closes a connection that no call has used for that long.
	idleLimit = time.Minute
	// probePath is requested with HEAD on idle connections; any answer proves the path.
	probePath = "/healthz"
)

var errNoConnection = errors.New("all connections of the share are in use")

// dialer opens a connection to an endpoint.
type dialer func(ctx context.Context, ep netip.AddrPort) (net.Conn, error)

// pool keeps the idle connections to one endpoint.
type pool struct {
	ep   netip.AddrPort
	dial dialer
	// account is nil for a peer.
	account *limiter.Account
	// silent is called for each connection that did not answer a probe.
	silent func(ep netip.AddrPort)

	mu sync.Mutex
	// idle has the connections without a call, the last used at the end.
	idle   []*conn
	closed bool
}

// get returns an idle connection, else a new one that is open before the deadline. No byte was sent
// when it fails.
func (pl *pool) get(ctx context.Context, deadline time.Time, sl *limiter.Slot) (*conn, error) {
	for cn := pl.pop(); cn != nil; cn = pl.pop() {
		if !cn.isClosed() && cn.isAllowed() {
			return cn, nil
		}
		cn.close()
	}
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	return pl.open(ctx, sl)
}

func (pl *pool) open(ctx context.Context, sl *limiter.Slot) (*conn, error) {
	var lease *limiter.Connection
	if pl.account != nil {
		var ok bool
		if lease, ok = pl.account.Connect(sl); !ok {
			return nil, errNoConnection
		}
	}
	nc, err := pl.dial(ctx, pl.ep)
	if err != nil {
		if lease != nil {
			lease.Release()
		}
		return nil, err
	}
	return newConn(nc, lease), nil
}

func (cn *conn) isAllowed() bool { return cn.lease == nil || cn.lease.Reusable() }

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

// put keeps a connection for the next call, or closes it.
func (pl *pool) put(cn *conn) {
	cn.idleAt = time.Now()
	// The check for a closed connection fails on a connection whose deadline has passed.
	_ = cn.nc.SetDeadline(time.Time{})
	if cn.br.Buffered() > 0 || !cn.isAllowed() {
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

// close closes the idle connections; those in use are closed when their calls end.
func (pl *pool) close() {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	pl.closed = true
	for _, cn := range pl.idle {
		cn.close()
	}
	pl.idle = nil
}

// Probe implements prober.Pool. It also closes the connections that no share or loan covers any
// more.
func (pl *pool) Probe(ctx context.Context, idle, timeout time.Duration) {
	for _, cn := range pl.takeDue(idle) {
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

// takeDue takes the connections out that need a probe and closes those that are not needed.
func (pl *pool) takeDue(idle time.Duration) []*conn {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	var due []*conn
	kept := pl.idle[:0]
	for _, cn := range pl.idle {
		switch {
		case !cn.isAllowed() || time.Since(cn.usedAt) > idleLimit:
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

// replace opens a new connection before it abandons the silent one, so that the next call need not
// wait for the handshake.
func (pl *pool) replace(ctx context.Context, old *conn) {
	if pl.silent != nil {
		pl.silent(pl.ep)
	}
	fresh, err := pl.open(ctx, nil)
	if err == nil {
		fresh.usedAt = old.usedAt
		pl.put(fresh)
	}
	old.abandon()
}

func isTimeout(err error) bool {
	var ne net.Error
	return errors.As(err, &ne) && ne.Timeout()
}
