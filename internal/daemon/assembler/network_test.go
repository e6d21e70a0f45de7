package assembler_test

import (
	"context"
	"net"
	"net/netip"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// memNetwork is a network in memory, so that a fleet can run on the fake clock of synctest. Links
// between zones and nodes can be cut: bytes are then held back without an error, as by a firewall
// that has lost the state of its connections.
type memNetwork struct {
	mu        sync.Mutex
	listeners map[netip.AddrPort]*memListener
	// cut has pairs of names of zones or nodes; anyNode stands for all.
	cut   map[[2]string]bool
	conns map[*memConn]bool
	// changed is closed and replaced when a link is cut or healed.
	changed chan struct{}
}

func newMemNetwork() *memNetwork {
	return &memNetwork{
		listeners: map[netip.AddrPort]*memListener{},
		cut:       map[[2]string]bool{},
		conns:     map[*memConn]bool{},
		changed:   make(chan struct{}),
	}
}

// anyNode stands for all nodes in a cut link.
const anyNode = "*"

// location is the zone and the node of one end of a connection.
type location [2]string

// setCut cuts or heals the link between two zones or nodes in both directions.
func (mn *memNetwork) setCut(one, two string, cut bool) {
	mn.mu.Lock()
	defer mn.mu.Unlock()
	mn.cut[[2]string{one, two}] = cut
	mn.cut[[2]string{two, one}] = cut
	close(mn.changed)
	mn.changed = make(chan struct{})
}

// heal heals all links. Blackholed connections remain blackholed.
func (mn *memNetwork) heal() {
	mn.mu.Lock()
	defer mn.mu.Unlock()
	clear(mn.cut)
	close(mn.changed)
	mn.changed = make(chan struct{})
}

func (mn *memNetwork) linkState(from, to location) (cut bool, changed <-chan struct{}) {
	mn.mu.Lock()
	defer mn.mu.Unlock()
	for _, one := range [...]string{from[0], from[1], anyNode} {
		for _, two := range [...]string{to[0], to[1], anyNode} {
			cut = cut || mn.cut[[2]string{one, two}]
		}
	}
	return cut, mn.changed
}

// blackhole makes the open connections of a node permanently unresponsive. New ones work.
func (mn *memNetwork) blackhole(node string) {
	mn.mu.Lock()
	defer mn.mu.Unlock()
	for cn := range mn.conns {
		if cn.from[1] == node || cn.to[1] == node {
			cn.blackholed.Store(true)
		}
	}
}

// awaitLink waits until the link is not cut. It returns an error if done is closed first.
func (mn *memNetwork) awaitLink(one, two location, done <-chan struct{}) error {
	for {
		cut, changed := mn.linkState(one, two)
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

// zone is the network as one process in a zone sees it.
type zone struct {
	net  *memNetwork
	name string
	// node is empty for callers.
	node string

	mu    sync.Mutex
	conns []net.Conn
	lns   []net.Listener
	// killed is closed by kill.
	killed chan struct{}
}

func newZone(mn *memNetwork, name string) *zone {
	return &zone{net: mn, name: name, killed: make(chan struct{})}
}

// kill closes all listeners and connections, as the end of a process does.
func (zn *zone) kill() {
	close(zn.killed)
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
	zn.mu.Lock()
	defer zn.mu.Unlock()
	zn.lns = append(zn.lns, ln)
	return ln, nil
}

// Dial implements assembler.Network.
func (zn *zone) Dial(ctx context.Context, addr netip.AddrPort) (net.Conn, error) {
	select {
	case <-zn.killed:
		return nil, net.ErrClosed
	default:
	}
	zn.net.mu.Lock()
	ln := zn.net.listeners[addr]
	zn.net.mu.Unlock()
	if ln == nil {
		return nil, syscall.ECONNREFUSED
	}
	from, to := location{zn.name, zn.node}, location{ln.zone.name, ln.zone.node}
	if err := zn.net.awaitLink(from, to, ctx.Done()); err != nil {
		return nil, ctx.Err()
	}
	near, far := net.Pipe()
	local := &memConn{Conn: near, net: zn.net, from: from, to: to, addr: addr, closed: make(chan struct{}), expired: make(chan struct{})}
	remote := &memConn{Conn: far, net: zn.net, from: to, to: from, addr: addr, listener: ln, closed: make(chan struct{}), expired: make(chan struct{})}
	zn.mu.Lock()
	zn.conns = append(zn.conns, local)
	zn.mu.Unlock()
	ln.zone.mu.Lock()
	ln.zone.conns = append(ln.zone.conns, remote)
	ln.zone.mu.Unlock()
	ln.opened(local, remote)
	select {
	case ln.conns <- remote:
		return local, nil
	case <-ln.closed:
		_ = remote.Close()
		_ = local.Close()
		return nil, syscall.ECONNREFUSED
	case <-ctx.Done():
		_ = remote.Close()
		_ = local.Close()
		return nil, ctx.Err()
	}
}

type memListener struct {
	zone   *zone
	addr   netip.AddrPort
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once

	// open and greatest count the connections that the server has not closed; guarded by net.mu.
	open, maxOpen int
}

func (ln *memListener) opened(local, remote *memConn) {
	ln.zone.net.mu.Lock()
	defer ln.zone.net.mu.Unlock()
	ln.zone.net.conns[local], ln.zone.net.conns[remote] = true, true
	ln.open++
	ln.maxOpen = max(ln.maxOpen, ln.open)
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
	from, to location
	addr     netip.AddrPort
	// listener is set at the server's end of the connection.
	listener *memListener
	closed   chan struct{}
	once     sync.Once
	// mu guards expired and timer.
	mu sync.Mutex
	// expired is closed at the write deadline, by timer, or at the close.
	expired chan struct{}
	timer   *time.Timer
	// blackholed is set on a connection that drops all writes and does not notify the other end of
	// a close.
	blackholed atomic.Bool
}

// Write holds bytes back while the link is cut.
func (cn *memConn) Write(bs []byte) (int, error) {
	if cn.blackholed.Load() {
		// The bytes fit into the send buffer, but are never delivered.
		return len(bs), nil
	}
	if err := cn.net.awaitLink(cn.from, cn.to, cn.unblocked()); err != nil {
		return 0, os.ErrDeadlineExceeded
	}
	return cn.Conn.Write(bs)
}

// unblocked returns a channel that is closed at the write deadline or at the close.
func (cn *memConn) unblocked() <-chan struct{} {
	cn.mu.Lock()
	defer cn.mu.Unlock()
	return cn.expired
}

// SetWriteDeadline also unblocks writes that wait for a link.
func (cn *memConn) SetWriteDeadline(when time.Time) error {
	cn.mu.Lock()
	defer cn.mu.Unlock()
	if cn.timer != nil {
		cn.timer.Stop()
	}
	if isClosed(cn.expired) && !isClosed(cn.closed) {
		cn.expired = make(chan struct{})
	}
	if !when.IsZero() {
		expired := cn.expired
		// A timer that is due at once would run on this goroutine and make the race detector fail.
		cn.timer = time.AfterFunc(max(time.Until(when), time.Nanosecond), func() { cn.expire(expired) })
	}
	return cn.Conn.SetWriteDeadline(when)
}

func (cn *memConn) expire(expired chan struct{}) {
	cn.mu.Lock()
	defer cn.mu.Unlock()
	if !isClosed(expired) {
		close(expired)
	}
}

func isClosed(ch chan struct{}) bool {
	select {
	case <-ch:
		return true
	default:
		return false
	}
}

// SetDeadline sets both deadlines.
func (cn *memConn) SetDeadline(when time.Time) error {
	_ = cn.Conn.SetReadDeadline(when)
	return cn.SetWriteDeadline(when)
}

func (cn *memConn) Close() error {
	cn.once.Do(cn.cleanUp)
	if cn.blackholed.Load() {
		// The other end's keep-alive detects the failure after three probes.
		time.AfterFunc(3*time.Second, func() { _ = cn.Conn.Close() })
		return cn.Conn.SetReadDeadline(time.Unix(1, 0))
	}
	return cn.Conn.Close()
}

func (cn *memConn) cleanUp() {
	close(cn.closed)
	cn.mu.Lock()
	if cn.timer != nil {
		cn.timer.Stop()
	}
	expired := cn.expired
	cn.mu.Unlock()
	cn.expire(expired)
	cn.net.mu.Lock()
	defer cn.net.mu.Unlock()
	delete(cn.net.conns, cn)
	if cn.listener != nil {
		cn.listener.open--
	}
}

func (cn *memConn) LocalAddr() net.Addr  { return net.TCPAddrFromAddrPort(cn.addr) }
func (cn *memConn) RemoteAddr() net.Addr { return net.TCPAddrFromAddrPort(cn.addr) }

// SetReadDeadline comes from net.Pipe, which uses the runtime's clock and so synctest's fake one.
var _ interface{ SetReadDeadline(time.Time) error } = (*memConn)(nil)
