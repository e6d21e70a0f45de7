package emulator

import (
	"context"
	"net"
	"sync"
	"time"
)

// Link carries the bytes that arrive at one host over all its connections. It is safe for concurrent use.
type Link struct {
	// BytesPerSecond is positive and must not be changed once the link is used.
	BytesPerSecond int

	mu     sync.Mutex
	freeAt time.Time
}

// linkChunkBytes is how much of one connection a link carries before that of the next.
const linkChunkBytes = 1024

// carry waits until the link has carried the bytes, after those of earlier calls.
func (li *Link) carry(count int) {
	li.mu.Lock()
	if now := time.Now(); li.freeAt.Before(now) {
		li.freeAt = now
	}
	li.freeAt = li.freeAt.Add(time.Duration(count) * time.Second / time.Duration(li.BytesPerSecond))
	wait := time.Until(li.freeAt)
	li.mu.Unlock()
	time.Sleep(wait)
}

// linkConn is a connection whose received bytes come over a link.
type linkConn struct {
	net.Conn
	link *Link
}

// Read implements net.Conn.
func (lc *linkConn) Read(bf []byte) (int, error) {
	count, err := lc.Conn.Read(bf[:min(len(bf), linkChunkBytes)])
	lc.link.carry(count)
	return count, err
}

// Listener is a net.Listener in memory, also for a paused clock. It is safe for concurrent use.
type Listener struct {
	conns chan net.Conn
	ended chan struct{}
	end   func()
}

// NewListener returns an open listener.
func NewListener() *Listener {
	ls := &Listener{conns: make(chan net.Conn), ended: make(chan struct{})}
	ls.end = sync.OnceFunc(func() { close(ls.ended) })
	return ls
}

// Dial opens a connection that receives over the link. Errors: net.ErrClosed, those of the context.
func (ls *Listener) Dial(ctx context.Context, link *Link) (net.Conn, error) {
	near, far := net.Pipe()
	select {
	case ls.conns <- far:
		return &linkConn{near, link}, nil
	case <-ls.ended:
		return nil, net.ErrClosed
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Accept implements net.Listener.
func (ls *Listener) Accept() (net.Conn, error) {
	select {
	case cn := <-ls.conns:
		return cn, nil
	case <-ls.ended:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener. Connections stay open.
func (ls *Listener) Close() error {
	ls.end()
	return nil
}

// Addr implements net.Listener.
func (ls *Listener) Addr() net.Addr { return &net.UnixAddr{Name: "emulator", Net: "unix"} }
