package assembler

import (
	"context"
	"net"
	"net/netip"
	"time"

	"github.com/currantrouter/currantrouter/internal/request/prober"
)

// Network opens listeners and connections. Tests replace it by one in memory.
type Network interface {
	Listen(addr netip.AddrPort) (net.Listener, error)
	Dial(ctx context.Context, addr netip.AddrPort) (net.Conn, error)
}

// dialLimit bounds the time to open a connection inside a deployment. One-way latency is a few
// milliseconds, so a longer wait means that the other side cannot be reached.
const dialLimit = time.Second

// tcpNetwork is TCP with the keep-alive settings that find silent connections.
type tcpNetwork struct{}

// Listen implements Network.
func (tcpNetwork) Listen(addr netip.AddrPort) (net.Listener, error) {
	return net.Listen("tcp", addr.String())
}

// Dial implements Network.
func (tcpNetwork) Dial(ctx context.Context, addr netip.AddrPort) (net.Conn, error) {
	return prober.Dial(ctx, addr)
}

// dial opens a connection to a runner or peer.
func (dm *Daemon) dial(ctx context.Context, addr netip.AddrPort) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialLimit)
	defer cancel()
	return dm.network.Dial(ctx, addr)
}

// dialPeer opens a connection to an entry host, with mutual TLS unless insecure. Each connection uses
// the certificates and authorities of its moment.
func (dm *Daemon) dialPeer(ctx context.Context, addr netip.AddrPort) (net.Conn, error) {
	cn, err := dm.dial(ctx, addr)
	if err != nil || dm.auth.Insecure() {
		return cn, err
	}
	ctx, cancel := context.WithTimeout(ctx, dialLimit)
	defer cancel()
	return dm.auth.SecurePeer(ctx, cn, addr.Addr())
}

// dialPeerText is dialPeer in the form that http.Transport uses.
func (dm *Daemon) dialPeerText(ctx context.Context, _, addr string) (net.Conn, error) {
	ap, err := netip.ParseAddrPort(addr)
	if err != nil {
		return nil, err
	}
	return dm.dialPeer(ctx, ap)
}

// securePeer returns how connections of the peers' clients are made secure, or nil when insecure.
func (dm *Daemon) securePeer() func(context.Context, net.Conn, string) (net.Conn, error) {
	if dm.auth.Insecure() {
		return nil
	}
	return func(ctx context.Context, cn net.Conn, addr string) (net.Conn, error) {
		ap, err := netip.ParseAddrPort(addr)
		if err != nil {
			return nil, err
		}
		return dm.auth.SecurePeer(ctx, cn, ap.Addr())
	}
}

// dialText dials an address in the form that http.Transport uses.
func (dm *Daemon) dialText(ctx context.Context, _, addr string) (net.Conn, error) {
	ap, err := netip.ParseAddrPort(addr)
	if err != nil {
		return nil, err
	}
	return dm.dial(ctx, ap)
}
