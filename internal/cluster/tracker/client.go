package tracker

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/twitchtv/twirp"

	"github.com/currantrouter/currantrouter/internal/cluster/messenger"
	"github.com/currantrouter/currantrouter/internal/telemetry/meter"
)

const (
	// hedgeDivisor is the divisor of the timeout that yields the hedging delay. After it, a request
	// is repeated on a new connection, because the network may have lost the state of the
	// current one.
	hedgeDivisor = 3
	// maxIdleConnsPerPeer allows for a heartbeat and a loan at the same time.
	maxIdleConnsPerPeer = 2
	// idleConnTimeout exceeds the time between two exchanges with the same peer in a data centre of
	// 9 hosts. With 91 hosts in other data centres, connections to them expire between exchanges.
	idleConnTimeout = 30 * time.Second
)

// Clients caches one client for each peer address. It is safe for concurrent use.
type Clients struct {
	scheme  string
	timeout time.Duration
	reg     *meter.Registry
	// startTLS runs the TLS handshake on an open connection. It is nil for plain HTTP.
	startTLS func(ctx context.Context, conn net.Conn, addr string) (net.Conn, error)
	dial     func(ctx context.Context, network, addr string) (net.Conn, error)

	mu      sync.Mutex
	clients map[netip.AddrPort]*client
}

// NewClients returns clients whose calls end after the timeout. StartTLS runs the TLS handshake on
// an open connection; nil means plain HTTP. A nil dial function means TCP with keep-alive probes.
func NewClients(startTLS func(ctx context.Context, conn net.Conn, addr string) (net.Conn, error), timeout time.Duration, reg *meter.Registry, dial func(ctx context.Context, network, addr string) (net.Conn, error)) *Clients {
	if dial == nil {
		dial = (&net.Dialer{KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: time.Second, Interval: time.Second, Count: 2,
		}}).DialContext
	}
	cls := &Clients{scheme: "http", timeout: timeout, reg: reg, startTLS: startTLS, dial: dial, clients: map[netip.AddrPort]*client{}}
	if startTLS != nil {
		cls.scheme = "https"
	}
	return cls
}

// Dial returns the client for an address and creates it on first use. It opens no connection.
func (cls *Clients) Dial(addr netip.AddrPort) messenger.Peer {
	cls.mu.Lock()
	defer cls.mu.Unlock()
	cl := cls.clients[addr]
	if cl == nil {
		cl = &client{cls: cls, url: cls.scheme + "://" + addr.String()}
		cl.current = cl.newPool()
		cls.clients[addr] = cl
	}
	return cl
}

// Close closes all idle connections.
func (cls *Clients) Close() {
	cls.mu.Lock()
	defer cls.mu.Unlock()
	for _, cl := range cls.clients {
		cl.currentPool().tr.CloseIdleConnections()
	}
}

// client sends requests to one address.
type client struct {
	cls *Clients
	url string

	mu      sync.Mutex
	current *pool
}

// pool holds the connections that were opened since the last replacement of the pool.
type pool struct {
	messenger.Peer
	tr *http.Transport
}

func (cl *client) newPool() *pool {
	tr := &http.Transport{
		DialContext:         cl.dial,
		DialTLSContext:      cl.dialTLS,
		MaxIdleConnsPerHost: maxIdleConnsPerPeer,
		IdleConnTimeout:     idleConnTimeout,
		// An Accept-Encoding header would cost bytes in every request.
		DisableCompression: true,
	}
	hc := &http.Client{
		Transport:     &headerStripper{tr},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	return &pool{Peer: messenger.NewPeerProtobufClient(cl.url, hc), tr: tr}
}

func (cl *client) dial(ctx context.Context, network, addr string) (net.Conn, error) {
	// The transport keeps dialling after the request has timed out, so the dial has its own
	// timeout.
	ctx, cancel := context.WithTimeout(ctx, cl.cls.timeout)
	defer cancel()
	conn, err := cl.cls.dial(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	return &countedConn{Conn: conn, reg: cl.cls.reg}, nil
}

// dialTLS counts bytes below TLS, so that the counts are those on the wire.
func (cl *client) dialTLS(ctx context.Context, network, addr string) (net.Conn, error) {
	conn, err := cl.dial(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, cl.cls.timeout)
	defer cancel()
	return cl.cls.startTLS(ctx, conn, addr)
}

// headerStripper removes request headers that peers don't need.
type headerStripper struct{ tr *http.Transport }

// RoundTrip sends the request without the headers User-Agent, Accept and Twirp-Version.
func (hs *headerStripper) RoundTrip(req *http.Request) (*http.Response, error) {
	req = req.Clone(req.Context())
	req.Header.Set("User-Agent", "")
	req.Header.Del("Accept")
	req.Header.Del("Twirp-Version")
	return hs.tr.RoundTrip(req)
}

func (cl *client) currentPool() *pool {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	return cl.current
}

// replacePool makes next the current pool if old still is, and closes the idle connections of the
// pool that is not used any more.
func (cl *client) replacePool(old, next *pool) {
	cl.mu.Lock()
	swapped := cl.current == old
	if swapped {
		cl.current = next
	}
	cl.mu.Unlock()
	if !swapped {
		next.tr.CloseIdleConnections()
		return
	}
	cl.cls.reg.Add(meter.PeerConnectionsReplaced, 1)
	old.tr.CloseIdleConnections()
}

// Exchange sends a heartbeat. The request is hedged on a new connection.
func (cl *client) Exchange(ctx context.Context, req *messenger.ExchangeRequest) (*messenger.ExchangeResponse, error) {
	return sendHedged(ctx, cl, func(ctx context.Context, pr messenger.Peer) (*messenger.ExchangeResponse, error) {
		return pr.Exchange(ctx, req)
	})
}

// Fetch reads a configuration document. The request is hedged on a new connection.
func (cl *client) Fetch(ctx context.Context, req *messenger.FetchRequest) (*messenger.FetchResponse, error) {
	return sendHedged(ctx, cl, func(ctx context.Context, pr messenger.Peer) (*messenger.FetchResponse, error) {
		return pr.Fetch(ctx, req)
	})
}

// Borrow asks for a loan. It is sent only once, because a duplicate would take a second loan that
// stays unused.
func (cl *client) Borrow(ctx context.Context, req *messenger.BorrowRequest) (*messenger.BorrowResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, cl.cls.timeout)
	defer cancel()
	return cl.currentPool().Borrow(ctx, req)
}

// Return gives slots of a loan back. It is sent only once; the borrower repeats the total in a
// later request when this one fails.
func (cl *client) Return(ctx context.Context, req *messenger.ReturnRequest) (*messenger.ReturnResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, cl.cls.timeout)
	defer cancel()
	return cl.currentPool().Return(ctx, req)
}

// attempt is the result of sending a request over one pool.
type attempt[T any] struct {
	pl  *pool
	rsp T
	err error
}

// sendHedged sends an idempotent request. If the current pool does not answer within the hedging
// delay, or fails, the request is sent over a new pool as well. The new pool becomes the current
// one if it answers first.
func sendHedged[T any](ctx context.Context, cl *client, send func(context.Context, messenger.Peer) (T, error)) (T, error) {
	ctx, cancel := context.WithTimeout(ctx, cl.cls.timeout)
	defer cancel()
	results := make(chan attempt[T], 2)
	start := func(pl *pool) {
		rsp, err := send(ctx, pl)
		results <- attempt[T]{pl, rsp, err}
	}
	first := cl.currentPool()
	go start(first)
	tm := time.NewTimer(cl.cls.timeout / hedgeDivisor)
	defer tm.Stop()
	var second *pool
	pending := 1
	hedge := func() {
		second = cl.newPool()
		pending++
		go start(second)
	}
	for {
		select {
		case <-tm.C:
			hedge()
		case res := <-results:
			pending--
			if res.err == nil && res.pl == second {
				cl.replacePool(first, second)
			}
			if res.err == nil || isPeerError(res.err) || ctx.Err() != nil || second != nil && pending == 0 {
				return res.rsp, res.err
			}
			if second == nil {
				tm.Stop()
				hedge()
			}
		}
	}
}

// isPeerError reports whether the peer itself returned the error, as opposed to the connection.
func isPeerError(err error) bool {
	var te twirp.Error
	return errors.As(err, &te) && te.Code() != twirp.Internal && te.Code() != twirp.Unavailable
}
