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

	mu      sync.Mutex
	clients map[netip.AddrPort]messenger.Jobs
}

// NewClientPool returns a Peers without clients, whose clients open their connections with dial.
func NewClientPool(dial func(ctx context.Context, network, address string) (net.Conn, error)) *ClientPool {
	return &ClientPool{dial: dial, clients: map[netip.AddrPort]messenger.Jobs{}}
}

// Dial returns the client for an address. The same address yields the same client. A call that its
// context ends early closes its connection, whose other end may be unreachable.
func (ps *ClientPool) Dial(addr netip.AddrPort) messenger.Jobs {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	cl := ps.clients[addr]
	if cl == nil {
		hc := &http.Client{Transport: &http.Transport{
			DialContext: ps.dial, MaxIdleConnsPerHost: maxIdleConnsPerPeer, IdleConnTimeout: maxConnIdleTime, DisableCompression: true,
		}}
		cl = messenger.NewJobsProtobufClient("http://"+addr.String(), hc)
		ps.clients[addr] = cl
	}
	return cl
}
