package assembler

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/currantrouter/currantrouter/internal/process/pauser"
)

const (
	// newConnGrace is the time that a new connection has during a drain to send its first byte.
	newConnGrace = time.Second
	// connPollInterval is the time between two checks of the open connections during a drain.
	connPollInterval = 10 * time.Millisecond
)

// frontend serves one interface of the daemon.
//
// http.Server.Shutdown alone does not suffice for a drain: on a connection accepted before the call
// of Shutdown, it drops a request without an answer if the header arrives after the call.
type frontend struct {
	server   *http.Server
	listener net.Listener
	// served is closed when the server accepts no more connections.
	served chan struct{}

	mu sync.Mutex
	// active has the connections that are new or have a request in progress.
	active map[net.Conn]http.ConnState
}

func newFrontend(sv *http.Server, ln net.Listener) *frontend {
	fe := &frontend{server: sv, listener: ln, served: make(chan struct{}), active: map[net.Conn]http.ConnState{}}
	sv.ConnState = fe.track
	return fe
}

func (fe *frontend) track(cn net.Conn, state http.ConnState) {
	fe.mu.Lock()
	defer fe.mu.Unlock()
	if state == http.StateNew || state == http.StateActive {
		fe.active[cn] = state
		return
	}
	delete(fe.active, cn)
}

// serve accepts connections until close is called and returns nil then.
func (fe *frontend) serve() error {
	defer close(fe.served)
	err := fe.server.Serve(fe.listener)
	if errors.Is(err, http.ErrServerClosed) || errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

// close stops accepting connections, waits until all requests are answered, and closes the
// connections. If the context ends first, it aborts the remaining requests and returns the
// context's error.
func (fe *frontend) close(ctx context.Context) error {
	// The error means that the listener is already closed.
	_ = fe.listener.Close()
	<-fe.served
	fe.server.SetKeepAlivesEnabled(false)
	started := time.Now()
	for ctx.Err() == nil && fe.inUse(time.Since(started) < newConnGrace) {
		pauser.Sleep(ctx, connPollInterval)
	}
	if err := fe.server.Shutdown(ctx); err != nil {
		return errors.Join(err, fe.server.Close())
	}
	return nil
}

// inUse reports whether a connection has a request in progress or, with countNew, is new.
func (fe *frontend) inUse(countNew bool) bool {
	fe.mu.Lock()
	defer fe.mu.Unlock()
	for _, state := range fe.active {
		if state == http.StateActive || countNew {
			return true
		}
	}
	return false
}
