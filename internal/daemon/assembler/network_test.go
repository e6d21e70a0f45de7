package assembler_test

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"sync"
	"syscall"
	"time"
)

// memNetwork connects endpoints in memory, so that a fleet runs on the paused clock. Links between
// zones can be cut: bytes are then held back without an error, as on a path that lost its state.
type memNetwork struct {
	mu        sync.Mutex
	listeners map[netip.AddrPort]*memListener
	zones     map[netip.AddrPort]string
	cut       map[[2]string]bool
	// changed is closed and replaced when links change.
	changed chan struct{}
}

func newMemNetwork() *memNetwork {
	return &memNetwork{
		listeners: map[netip.AddrPort]*memListener{},
		zones:     map[netip.AddrPort]string{},
		cut:       map[[2]string]bool{},
		changed:   make(chan struct{}),
	}
}

// set cuts or heals the link between two zones in both directions.
func (mn *memNetwork) set(one, two string, cut bool) {
	mn.mu.Lock()
	defer mn.mu.Unlock()
	mn.cut[[2]string{one, two}] = cut
	mn.cut[[2]string{two, one}] = cut
	close(mn.changed)
	mn.changed = make(chan struct{})
}

func (mn *memNetwork) link(one, two string) (cut bool, changed <-chan struct{}) {
	mn.mu.Lock()
	defer mn.mu.Unlock()
	return mn.cut[[2]string{one, two}], mn.changed
}

// wait returns once the link is whole, or with the error of done.
func (mn *memNetwork) wait(one, two string, done <-chan struct{}) error {
	for {
		cut, changed := mn.link(one, two)
		if !cut {
			return nil
		}
		select {
		case <-changed:
		case <-done:
			return net.ErrClosed
		}
	}
}

// zone is the network as the processes of one zone see it.
type zone struct {
	net  *memNetwork
	name string

	mu    sync.Mutex
	conns []net.Conn
	lns   []net.Listener
	// dead is closed by kill.
	dead chan struct{}
}

func newZone(mn *memNetwork, name string) *zone {
	return &zone{net: mn, name: name, dead: make(chan struct{})}
}

// kill closes everything that the zone's processes have open, as the end of the process does.
func (zn *zone) kill() {
	close(zn.dead)
	zn.mu.Lock()
	defer zn.mu.Unlock()
	for _, ln := range zn.lns {
		_ = ln.Close()
	}
	for _, cn := range zn.conns {
		_ = cn.Close()
	}
}

// Listen implements assembler.Network.
func (zn *zone) Listen(addr netip.AddrPort) (net.Listener, error) {
	ln := &memListener{zone: zn, addr: addr, conns: make(chan net.Conn), closed: make(chan struct{})}
	zn.net.mu.Lock()
	defer zn.net.mu.Unlock()
	if zn.net.listeners[addr] != nil {
		return nil, syscall.EADDRINUSE
	}
	zn.net.listeners[addr] = ln
	zn.net.zones[addr] = zn.name
	zn.mu.Lock()
	defer zn.mu.Unlock()
	zn.lns = append(zn.lns, ln)
	return ln, nil
}

// Dial implements assembler.Network.
func (zn *zone) Dial(ctx context.Context, addr netip.AddrPort) (net.Conn, error) {
	select {
	case <-zn.dead:
		return nil, net.ErrClosed
	default:
	}
	zn.net.mu.Lock()
	ln, to := zn.net.listeners[addr], zn.net.zones[addr]
	zn.net.mu.Unlock()
	if err := zn.net.wait(zn.name, to, ctx.Done()); err != nil {
		return nil, ctx.Err()
	}
	if ln == nil {
		return nil, syscall.ECONNREFUSED
	}
	near, far := net.Pipe()
	local := &memConn{Conn: near, net: zn.net, from: zn.name, to: to, addr: addr, closed: make(chan struct{})}
	remote := &memConn{Conn: far, net: zn.net, from: to, to: zn.name, addr: addr, closed: make(chan struct{})}
	zn.mu.Lock()
	zn.conns = append(zn.conns, local)
	zn.mu.Unlock()
	ln.zone.mu.Lock()
	ln.zone.conns = append(ln.zone.conns, remote)
	ln.zone.mu.Unlock()
	select {
	case ln.conns <- remote:
		return local, nil
	case <-ln.closed:
		return nil, syscall.ECONNREFUSED
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

type memListener struct {
	zone   *zone
	addr   netip.AddrPort
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

func (ln *memListener) Accept() (net.Conn, error) {
	select {
	case cn := <-ln.conns:
		return cn, nil
	case <-ln.closed:
		return nil, net.ErrClosed
	}
}

func (ln *memListener) Close() error {
	ln.once.Do(func() {
		close(ln.closed)
		ln.zone.net.mu.Lock()
		defer ln.zone.net.mu.Unlock()
		delete(ln.zone.net.listeners, ln.addr)
	})
	return nil
}

func (ln *memListener) Addr() net.Addr { return net.TCPAddrFromAddrPort(ln.addr) }

type memConn struct {
	net.Conn
	net      *memNetwork
	from, to string
	addr     netip.AddrPort
	closed   chan struct{}
	once     sync.Once
}

var errReset = errors.New("connection reset")

// Write holds bytes back while the link is cut.
func (cn *memConn) Write(bs []byte) (int, error) {
	if err := cn.net.wait(cn.from, cn.to, cn.closed); err != nil {
		return 0, errReset
	}
	return cn.Conn.Write(bs)
}

func (cn *memConn) Close() error {
	cn.once.Do(func() { close(cn.closed) })
	return cn.Conn.Close()
}

func (cn *memConn) LocalAddr() net.Addr  { return net.TCPAddrFromAddrPort(cn.addr) }
func (cn *memConn) RemoteAddr() net.Addr { return net.TCPAddrFromAddrPort(cn.addr) }

// SetReadDeadline and its kin come from net.Pipe, which uses the clock of the runtime.
var _ interface{ SetReadDeadline(time.Time) error } = (*memConn)(nil)
