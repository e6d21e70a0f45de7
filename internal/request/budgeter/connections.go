package budgeter

import (
	"container/list"
	"io"
	"net/netip"
	"sync"
)

// ConnectionLimits bound the connections of one listener.
type ConnectionLimits struct {
	// Total is the maximum number of open connections, with those that were told to close and have not ended yet.
	Total int
	// PerAddress is the maximum by remote address. Zero means no limit.
	PerAddress int
}

// closingDivisor is the part of the total that is kept for connections that were told to close and have not ended yet.
const closingDivisor = 16

// Usable returns the number of connections from which others are closed for a new one.
func (cl ConnectionLimits) Usable() int {
	return max(cl.Total-max(cl.Total/closingDivisor, 1), 1)
}

// Connections bounds the open connections of one listener. Above the limit, the connection that has waited longest
// without a request is closed for a new one. It is safe for concurrent use, and no call blocks.
type Connections struct {
	limits ConnectionLimits
	// abortBody ends a request whose body is being read, and returns its connection, nil if there was none.
	abortBody func() *Connection

	mu sync.Mutex
	// open has the connections that are not closed yet.
	open map[io.Closer]*Connection
	// closing is the number of open connections that were told to close, or whose body was aborted for a new one.
	closing int
	// byAddress counts the open connections by remote address. It is empty without a limit by address.
	byAddress map[netip.Addr]int
	// waiting has the connections without a request, the one that has waited longest at the front.
	waiting list.List
}

// Connection is an open connection. Its fields are guarded by Connections.
type Connection struct {
	owner   *Connections
	closer  io.Closer
	address netip.Addr
	// element is the place among the waiting connections, nil while a request is handled.
	element *list.Element
	// evicted is set if the connection was closed for another one, aborted if its body was aborted for another one. Not
	// more than one of both is set.
	evicted, aborted bool
}

// NewConnections returns a set of connections. abortBody ends a request whose body is being read, which closes its
// connection, and returns that, nil if there was none. It is called with the set locked.
func NewConnections(limits ConnectionLimits, abortBody func() *Connection) *Connections {
	return &Connections{limits: limits, abortBody: abortBody, open: map[io.Closer]*Connection{}, byAddress: map[netip.Addr]int{}}
}

// Open adds a connection. Above the limit it closes another one, or this one if every other has a request whose body was read.
// It returns whether one was closed for it, and whether it was closed itself.
func (cs *Connections) Open(closer io.Closer, address netip.Addr) (cn *Connection, evicted, refused bool) {
	cn = &Connection{owner: cs, closer: closer, address: address}
	victim := cs.add(cn)
	if victim != nil {
		// Close of a network connection does not wait.
		_ = victim.closer.Close()
	}
	return cn, victim != nil && victim != cn, victim == cn
}

// add adds a connection and returns the one to close, or nil.
func (cs *Connections) add(cn *Connection) *Connection {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	full := len(cs.open)-cs.closing >= cs.limits.Usable()
	excess := len(cs.open) >= cs.limits.Total
	cs.open[cn.closer] = cn
	if cs.limits.PerAddress > 0 {
		cs.byAddress[cn.address]++
		excess = excess || cs.byAddress[cn.address] > cs.limits.PerAddress
	}
	var victim *Connection
	switch front := cs.waiting.Front(); {
	case excess:
		victim = cn
	case !full:
	case front != nil:
		victim = front.Value.(*Connection)
	case !cs.abortOne():
		victim = cn
	}
	if victim != cn {
		cn.element = cs.waiting.PushBack(cn)
	}
	if victim != nil {
		victim.evicted = true
		cs.remove(victim)
		cs.closing++
	}
	return victim
}

// abortOne aborts the body of a connection that is not closing yet, and reports whether there was one.
func (cs *Connections) abortOne() bool {
	for {
		cn := cs.abortBody()
		if cn == nil {
			return false
		}
		if cs.open[cn.closer] == cn && !cn.evicted && !cn.aborted {
			cn.aborted = true
			cs.remove(cn)
			cs.closing++
			return true
		}
	}
}

// remove takes a connection from those that wait.
func (cs *Connections) remove(cn *Connection) {
	if cn.element != nil {
		cs.waiting.Remove(cn.element)
		cn.element = nil
	}
}

// Evicted reports whether the connection was closed for another one. A request that was read from it must not be handled,
// as its answer would not arrive.
func (cn *Connection) Evicted() bool {
	cn.owner.mu.Lock()
	defer cn.owner.mu.Unlock()
	return cn.evicted
}

// SetActive marks that a connection has a request.
func (cs *Connections) SetActive(closer io.Closer) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	if cn := cs.open[closer]; cn != nil {
		cs.remove(cn)
	}
}

// SetIdle marks that a connection waits for a request.
func (cs *Connections) SetIdle(closer io.Closer) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	if cn := cs.open[closer]; cn != nil && cn.element == nil && !cn.evicted && !cn.aborted {
		cn.element = cs.waiting.PushBack(cn)
	}
}

// Remove removes a closed connection.
func (cs *Connections) Remove(closer io.Closer) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	cn := cs.open[closer]
	if cn == nil {
		return
	}
	delete(cs.open, closer)
	cs.remove(cn)
	if cn.evicted || cn.aborted {
		cs.closing--
	}
	if cs.limits.PerAddress > 0 {
		if cs.byAddress[cn.address]--; cs.byAddress[cn.address] == 0 {
			delete(cs.byAddress, cn.address)
		}
	}
}

// Count returns the number of open connections.
func (cs *Connections) Count() int {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	return len(cs.open)
}
