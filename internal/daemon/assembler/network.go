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

// dialText dials an address in the form that http.Transport uses.
func (dm *Daemon) dialText(ctx context.Context, _, addr string) (net.Conn, error) {
	ap, err := netip.ParseAddrPort(addr)
	if err != nil {
		return nil, err
	}
	return dm.dial(ctx, ap)
}
