package assembler

import (
	"context"
	"net"
	"net/netip"
	"time"

	"github.com/currantrouter/currantrouter/internal/request/prober"
)

// Network opens listeners and connections. Tests use a network in memory.
type Network interface {
	Listen(addr netip.AddrPort) (net.Listener, error)
	Dial(ctx context.Context, addr netip.AddrPort) (net.Conn, error)
}

// dialTimeout is the timeout for opening a connection inside a deployment. The one-way latency is a
// few milliseconds, so a host that does not answer within it is unreachable.
const dialTimeout = time.Second

// tcpNetwork uses TCP with keep-alive settings that detect unresponsive connections.
type tcpNetwork struct{}

// Listen implements Network.
func (tcpNetwork) Listen(addr netip.AddrPort) (net.Listener, error) {
	return net.Listen("tcp", addr.String())
}

// Dial implements Network.
func (tcpNetwork) Dial(ctx context.Context, addr netip.AddrPort) (net.Conn, error) {
	return prober.Dial(ctx, addr)
}

// dial opens a connection to a runner or an entry host.
func (dm *Daemon) dial(ctx context.Context, addr netip.AddrPort) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	return dm.network.Dial(ctx, addr)
}

// dialPeer opens a connection to an entry host, with mutual TLS unless insecure. Each connection
// uses the certificates and authorities that are current when it is opened.
func (dm *Daemon) dialPeer(ctx context.Context, addr netip.AddrPort) (net.Conn, error) {
	cn, err := dm.dial(ctx, addr)
	if err != nil || dm.auth.Insecure() {
		return cn, err
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	return dm.auth.SecurePeer(ctx, cn, addr.Addr())
}

// dialPeerHTTP is dialPeer with the signature of http.Transport.DialTLSContext.
func (dm *Daemon) dialPeerHTTP(ctx context.Context, _, addr string) (net.Conn, error) {
	ap, err := netip.ParseAddrPort(addr)
	if err != nil {
		return nil, err
	}
	return dm.dialPeer(ctx, ap)
}

// peerHandshake returns the function that performs the TLS handshake on a connection to a peer, or
// nil if insecure.
func (dm *Daemon) peerHandshake() func(context.Context, net.Conn, string) (net.Conn, error) {
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

// dialHTTP is dial with the signature of http.Transport.DialContext.
func (dm *Daemon) dialHTTP(ctx context.Context, _, addr string) (net.Conn, error) {
	ap, err := netip.ParseAddrPort(addr)
	if err != nil {
		return nil, err
	}
	return dm.dial(ctx, ap)
}
