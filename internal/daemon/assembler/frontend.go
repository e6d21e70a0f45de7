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
	// silentGrace is how long a new connection may take to send its first byte during a drain.
	silentGrace = time.Second
	// connPoll is the time between two looks at the open connections during a drain.
	connPoll = 10 * time.Millisecond
)

// frontend is one interface of the daemon.
//
// http.Server.Shutdown alone is not enough for a drain: it drops a request without an answer when
// the header arrives after the call of Shutdown on a connection that was accepted before.
type frontend struct {
	server   *http.Server
	listener net.Listener
	// served is closed when no more connections are accepted.
	served chan struct{}

	mu sync.Mutex
	// busy holds the connections that are new or have a request in progress.
	busy map[net.Conn]http.ConnState
}

func newFrontend(sv *http.Server, ln net.Listener) *frontend {
	fe := &frontend{server: sv, listener: ln, served: make(chan struct{}), busy: map[net.Conn]http.ConnState{}}
	sv.ConnState = fe.track
	return fe
}

func (fe *frontend) track(cn net.Conn, state http.ConnState) {
	fe.mu.Lock()
	defer fe.mu.Unlock()
	if state == http.StateNew || state == http.StateActive {
		fe.busy[cn] = state
		return
	}
	delete(fe.busy, cn)
}

// serve accepts connections until close. It returns nil after that.
func (fe *frontend) serve() error {
	defer close(fe.served)
	err := fe.server.Serve(fe.listener)
	if errors.Is(err, http.ErrServerClosed) || errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

// close accepts no more connections, answers every request that has been sent, and closes all
// connections. When the context ends first it cuts off the rest and returns the context's error.
func (fe *frontend) close(ctx context.Context) error {
	// The error says that the listener is closed already.
	_ = fe.listener.Close()
	<-fe.served
	fe.server.SetKeepAlivesEnabled(false)
	began := time.Now()
	for ctx.Err() == nil && fe.inUse(time.Since(began) < silentGrace) {
		pauser.Pause(ctx, connPoll)
	}
	if err := fe.server.Shutdown(ctx); err != nil {
		return errors.Join(err, fe.server.Close())
	}
	return nil
}

// inUse tells whether a connection has a request in progress, or may send one.
func (fe *frontend) inUse(countNew bool) bool {
	fe.mu.Lock()
	defer fe.mu.Unlock()
	for _, state := range fe.busy {
		if state == http.StateActive || countNew {
			return true
		}
	}
	return false
}
