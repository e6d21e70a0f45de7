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

// Connections to peers.
const (
	// secondAfter is the share of the timeout after which a message is sent again on a new
	// connection, because the present one may have lost its state on the way.
	secondAfter = 3
	// idlePerPeer leaves room for a heartbeat and a loan at the same time.
	idlePerPeer = 2
	// idleLimit is longer than the time between two exchanges with the same host of a data centre
	// with 9 hosts. Connections to other data centres with 91 hosts are opened anew.
	idleLimit = 30 * time.Second
)

// Clients holds the connections to the peers. It is safe for concurrent use.
type Clients struct {
	scheme string
	limit  time.Duration
	reg    *meter.Registry
	// secure is nil for plain HTTP.
	secure func(ctx context.Context, conn net.Conn, addr string) (net.Conn, error)
	dial   func(ctx context.Context, network, addr string) (net.Conn, error)

	mu    sync.Mutex
	peers map[netip.AddrPort]*client
}

// NewClients returns clients whose calls end after the timeout. Secure makes an open connection one
// of TLS; nil means plain HTTP. A nil dial function means TCP with keep-alive probes.
func NewClients(secure func(ctx context.Context, conn net.Conn, addr string) (net.Conn, error), timeout time.Duration, reg *meter.Registry, dial func(ctx context.Context, network, addr string) (net.Conn, error)) *Clients {
	if dial == nil {
		dial = (&net.Dialer{KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: time.Second, Interval: time.Second, Count: 2,
		}}).DialContext
	}
	cls := &Clients{scheme: "http", limit: timeout, reg: reg, secure: secure, dial: dial, peers: map[netip.AddrPort]*client{}}
	if secure != nil {
		cls.scheme = "https"
	}
	return cls
}

// Dial returns the client for an address. The same address yields the same client.
func (cls *Clients) Dial(addr netip.AddrPort) messenger.Peer {
	cls.mu.Lock()
	defer cls.mu.Unlock()
	cl := cls.peers[addr]
	if cl == nil {
		cl = &client{cls: cls, url: cls.scheme + "://" + addr.String()}
		cl.cur = cl.connect()
		cls.peers[addr] = cl
	}
	return cl
}

// Close closes all idle connections.
func (cls *Clients) Close() {
	cls.mu.Lock()
	defer cls.mu.Unlock()
	for _, cl := range cls.peers {
		cl.present().tr.CloseIdleConnections()
	}
}

// client sends messages to one address.
type client struct {
	cls *Clients
	url string

	mu  sync.Mutex
	cur *pool
}

// pool holds connections that were opened since the last replacement.
type pool struct {
	messenger.Peer
	tr *http.Transport
}

func (cl *client) connect() *pool {
	tr := &http.Transport{
		DialContext:         cl.dial,
		DialTLSContext:      cl.dialSecure,
		MaxIdleConnsPerHost: idlePerPeer,
		IdleConnTimeout:     idleLimit,
		// The header that asks for gzip would cost bytes in every message.
		DisableCompression: true,
	}
	hc := &http.Client{
		Transport:     &agentless{tr},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	return &pool{Peer: messenger.NewPeerProtobufClient(cl.url, hc), tr: tr}
}

func (cl *client) dial(ctx context.Context, network, addr string) (net.Conn, error) {
	// The transport goes on dialling after the message has timed out.
	ctx, cancel := context.WithTimeout(ctx, cl.cls.limit)
	defer cancel()
	conn, err := cl.cls.dial(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	return &countedConn{Conn: conn, reg: cl.cls.reg}, nil
}

// dialSecure counts the bytes on the wire, so that it counts below TLS.
func (cl *client) dialSecure(ctx context.Context, network, addr string) (net.Conn, error) {
	conn, err := cl.dial(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, cl.cls.limit)
	defer cancel()
	return cl.cls.secure(ctx, conn, addr)
}

// agentless drops headers that peers don't need.
type agentless struct{ tr *http.Transport }

// RoundTrip sends the request without a User-Agent.
func (agl *agentless) RoundTrip(req *http.Request) (*http.Response, error) {
	req = req.Clone(req.Context())
	req.Header.Set("User-Agent", "")
	req.Header.Del("Accept")
	req.Header.Del("Twirp-Version")
	return agl.tr.RoundTrip(req)
}

func (cl *client) present() *pool {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	return cl.cur
}

// replace makes a pool that has proven to work the present one and abandons the old one.
func (cl *client) replace(old, now *pool) {
	cl.mu.Lock()
	won := cl.cur == old
	if won {
		cl.cur = now
	}
	cl.mu.Unlock()
	if !won {
		now.tr.CloseIdleConnections()
		return
	}
	cl.cls.reg.Add(meter.PeerConnectionsReplaced, 1)
	old.tr.CloseIdleConnections()
}

// Exchange sends a heartbeat. It is repeated on a new connection when the present one is silent.
func (cl *client) Exchange(ctx context.Context, req *messenger.ExchangeRequest) (*messenger.ExchangeResponse, error) {
	return twice(ctx, cl, func(ctx context.Context, pr messenger.Peer) (*messenger.ExchangeResponse, error) {
		return pr.Exchange(ctx, req)
	})
}

// Fetch reads a document. It is repeated on a new connection when the present one is silent.
func (cl *client) Fetch(ctx context.Context, req *messenger.FetchRequest) (*messenger.FetchResponse, error) {
	return twice(ctx, cl, func(ctx context.Context, pr messenger.Peer) (*messenger.FetchResponse, error) {
		return pr.Fetch(ctx, req)
	})
}

// Borrow asks for a loan. It is sent once, because a second loan would stay unused.
func (cl *client) Borrow(ctx context.Context, req *messenger.BorrowRequest) (*messenger.BorrowResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, cl.cls.limit)
	defer cancel()
	return cl.present().Borrow(ctx, req)
}

// Return gives slots back. It is sent once, because the count is not absolute.
func (cl *client) Return(ctx context.Context, req *messenger.ReturnRequest) (*messenger.ReturnResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, cl.cls.limit)
	defer cancel()
	return cl.present().Return(ctx, req)
}

// attempt is the result of a message on one pool.
type attempt[T any] struct {
	pl  *pool
	rsp T
	err error
}

// twice sends a message that may be repeated. When the present connections don't answer in a part
// of the timeout or fail, it is sent on a new one as well. A new one that answers first replaces
// them.
func twice[T any](ctx context.Context, cl *client, send func(context.Context, messenger.Peer) (T, error)) (T, error) {
	ctx, cancel := context.WithTimeout(ctx, cl.cls.limit)
	defer cancel()
	results := make(chan attempt[T], 2)
	start := func(pl *pool) {
		rsp, err := send(ctx, pl)
		results <- attempt[T]{pl, rsp, err}
	}
	old := cl.present()
	go start(old)
	tm := time.NewTimer(cl.cls.limit / secondAfter)
	defer tm.Stop()
	var second *pool
	for pending := 1; ; {
		select {
		case <-tm.C:
			second = cl.connect()
			pending++
			go start(second)
		case res := <-results:
			pending--
			if res.err == nil && res.pl == second {
				cl.replace(old, second)
			}
			if res.err == nil || answered(res.err) || ctx.Err() != nil || second != nil && pending == 0 {
				return res.rsp, res.err
			}
			if second == nil {
				tm.Reset(0)
			}
		}
	}
}

// answered reports that an error comes from the peer itself and not from the way to it.
func answered(err error) bool {
	var te twirp.Error
	return errors.As(err, &te) && te.Code() != twirp.Internal && te.Code() != twirp.Unavailable
}
