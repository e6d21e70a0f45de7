package assembler

import (
	"context"
	"net"
	"net/netip"

	"github.com/currantrouter/currantrouter/internal/request/prober"
)

// Network opens listeners and connections. Tests replace it by one in memory.
type Network interface {
	Listen(addr netip.AddrPort) (net.Listener, error)
	Dial(ctx context.Context, addr netip.AddrPort) (net.Conn, error)
}

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

// dialText dials an address in the form that http.Transport uses.
func (dm *Daemon) dialText(ctx context.Context, _, addr string) (net.Conn, error) {
	ap, err := netip.ParseAddrPort(addr)
	if err != nil {
		return nil, err
	}
	return dm.network.Dial(ctx, ap)
}
