package elector

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/currantrouter/currantrouter/internal/cluster/messenger"
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
	// onHeader is called for each answer with its header and the time at which the message was sent. It may be
	// nil.
	onHeader func(header http.Header, sentAt time.Time)

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

// OnHeader sets a function that is called with the header of each answer and the time at which its message was
// sent. It is called before the first call of Dial.
func (cp *ClientPool) OnHeader(read func(header http.Header, sentAt time.Time)) { cp.onHeader = read }

// headerReader is an http.RoundTripper that passes on the headers of answers.
type headerReader struct {
	*http.Transport
	read func(header http.Header, sentAt time.Time)
}

// RoundTrip implements http.RoundTripper.
func (hr *headerReader) RoundTrip(rq *http.Request) (*http.Response, error) {
	sentAt := time.Now()
	rs, err := hr.Transport.RoundTrip(rq)
	if err == nil {
		hr.read(rs.Header, sentAt)
	}
	return rs, err
}

// Dial returns the client for an address. The same address yields the same client. A call that its
// context ends early closes its connection, whose other end may be unreachable.
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
		if cp.onHeader != nil {
			hc.Transport = &headerReader{tr, cp.onHeader}
		}
		cl = peerClients{messenger.NewJobsProtobufClient("http://"+addr.String(), hc), messenger.NewRelayProtobufClient("http://"+addr.String(), hc)}
		cp.clients[addr] = cl
	}
	return cl
}
