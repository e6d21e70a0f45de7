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
	// idlePerPeer leaves room for a greeting beside questions of callers.
	idlePerPeer = 4
	// idleLimit ends connections that are no longer used.
	idleLimit = 20 * time.Second
)

// Peers holds connections to other entry hosts. It is safe for concurrent use.
type Peers struct {
	dial func(ctx context.Context, network, address string) (net.Conn, error)

	mu      sync.Mutex
	clients map[netip.AddrPort]messenger.Jobs
}

// NewPeers returns clients over connections that the function opens.
func NewPeers(dial func(ctx context.Context, network, address string) (net.Conn, error)) *Peers {
	return &Peers{dial: dial, clients: map[netip.AddrPort]messenger.Jobs{}}
}

// Dial returns the client for an address. The same address yields the same client. A call that is
// cut short by its context closes its connection, which may have gone silent.
func (ps *Peers) Dial(addr netip.AddrPort) messenger.Jobs {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	cl := ps.clients[addr]
	if cl == nil {
		hc := &http.Client{Transport: &http.Transport{
			DialContext: ps.dial, MaxIdleConnsPerHost: idlePerPeer, IdleConnTimeout: idleLimit, DisableCompression: true,
		}}
		cl = messenger.NewJobsProtobufClient("http://"+addr.String(), hc)
		ps.clients[addr] = cl
	}
	return cl
}
