package elector

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/currantrouter/currantrouter/internal/cluster/messenger"
	"github.com/currantrouter/currantrouter/internal/process/watchdog"
)

const (
	// maxIdleConnsPerPeer is enough for a heartbeat beside forwarded requests of callers.
	maxIdleConnsPerPeer = 4
	// maxConnIdleTime is how long an unused connection is kept open.
	maxConnIdleTime = 20 * time.Second
)

// ClientPool holds a client for each of the other entry hosts. It is safe for concurrent use.
type ClientPool struct {
	dial func(ctx context.Context, network, address string) (net.Conn, error)
	// request is the header that answers are asked for, nil for none.
	request *headerRequest

	mu      sync.Mutex
	clients map[netip.AddrPort]peerClients
}

// peerClients are the clients for one host. They share connections.
type peerClients struct {
	jobs  messenger.Jobs
	relay messenger.Relay
}

// NewClientPool returns a ClientPool without clients, whose clients open their connections with
// dial.
func NewClientPool(dial func(ctx context.Context, network, address string) (net.Conn, error)) *ClientPool {
	return &ClientPool{dial: dial, clients: map[netip.AddrPort]peerClients{}}
}

// RequestHeader asks each host for a header of its answers, by a header of that name in a message, at most once
// in an interval. The function is called with the header of an answer and the time at which its message was sent. RequestHeader
// is called before the first call of Dial.
func (cp *ClientPool) RequestHeader(name string, interval time.Duration, read func(text string, sentAt time.Time)) {
	cp.request = &headerRequest{name, interval, read}
}

// headerRequest is a header that answers are asked for.
type headerRequest struct {
	name     string
	interval time.Duration
	read     func(text string, sentAt time.Time)
}

// headerReader is an http.RoundTripper that asks one host for a header and passes it on.
type headerReader struct {
	*http.Transport
	request *headerRequest
	// askedAt is when the host was last asked, in Unix nanoseconds.
	askedAt atomic.Int64
}

// RoundTrip implements http.RoundTripper.
func (hr *headerReader) RoundTrip(rq *http.Request) (*http.Response, error) {
	sentAt, last := time.Now(), hr.askedAt.Load()
	if sentAt.UnixNano()-last < int64(hr.request.interval) || !hr.askedAt.CompareAndSwap(last, sentAt.UnixNano()) {
		return hr.Transport.RoundTrip(rq)
	}
	asking := rq.Clone(rq.Context())
	asking.Header.Set(hr.request.name, "requested")
	rs, err := hr.Transport.RoundTrip(asking)
	if err != nil {
		return nil, err
	}
	if text := rs.Header.Get(hr.request.name); text != "" {
		hr.request.read(text, sentAt)
	}
	return rs, nil
}

// Dial returns the client for an address. The same address yields the same client. A call that its
// context ends early closes its connection, whose other end may be unreachable. Calls report the bytes that arrive to the
// watchdog of their context.
func (cp *ClientPool) Dial(addr netip.AddrPort) messenger.Jobs { return cp.clientsFor(addr).jobs }

// DialRelay is Dial for the service of relays.
func (cp *ClientPool) DialRelay(addr netip.AddrPort) messenger.Relay {
	return cp.clientsFor(addr).relay
}

func (cp *ClientPool) clientsFor(addr netip.AddrPort) peerClients {
	cp.mu.Lock()
	defer cp.mu.Unlock()
	cl, ok := cp.clients[addr]
	if !ok {
		tr := &http.Transport{
			DialContext: cp.dial, MaxIdleConnsPerHost: maxIdleConnsPerPeer, IdleConnTimeout: maxConnIdleTime, DisableCompression: true,
		}
		hc := &http.Client{Transport: tr}
		if cp.request != nil {
			hc.Transport = &headerReader{Transport: tr, request: cp.request}
		}
		hc.Transport = watchdog.NewTransport(hc.Transport)
		cl = peerClients{messenger.NewJobsProtobufClient("http://"+addr.String(), hc), messenger.NewRelayProtobufClient("http://"+addr.String(), hc)}
		cp.clients[addr] = cl
	}
	return cl
}
