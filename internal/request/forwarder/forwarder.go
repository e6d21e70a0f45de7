// Package forwarder takes calls from callers and peers, sends each to a runner or a peer, and
// passes the answer on. It says of every call what is known of its execution.
//
// Callers send any method to /SERVICE/PATH; the runner gets the method, PATH and query unchanged.
// The header Currant-Timeout of a caller is the time to its deadline in milliseconds, and
// Currant-Caller names the caller for fair queueing. HTTP/1.0 callers are refused, because they
// cannot tell a truncated answer from a whole one.
package forwarder

import (
	"context"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/go-logr/logr"

	"github.com/currantrouter/currantrouter/internal/fleet/modeler"
	"github.com/currantrouter/currantrouter/internal/request/admitter"
	"github.com/currantrouter/currantrouter/internal/request/limiter"
	"github.com/currantrouter/currantrouter/internal/request/prober"
	"github.com/currantrouter/currantrouter/internal/request/retrier"
	"github.com/currantrouter/currantrouter/internal/request/router"
	"github.com/currantrouter/currantrouter/internal/telemetry/logger"
	"github.com/currantrouter/currantrouter/internal/telemetry/meter"
)

// PeerPath is the path on the peers' interface that PeerHandler serves.
const PeerPath = "/peer/v1/forward"

// Peer is what the forwarder knows of another entry host.
type Peer struct {
	Host       modeler.HostName
	DataCentre modeler.DataCentreName
	Address    netip.AddrPort
	// Usable states that the host is alive and not leaving.
	Usable bool
	// FreeSlots is the number of idle slots in the host's last heartbeat.
	FreeSlots int
}

// Options are the fixed inputs of a forwarder.
type Options struct {
	Host       modeler.HostName
	DataCentre modeler.DataCentreName
	// Configuration returns the revision in force, and nil when there is none.
	Configuration func() *modeler.Configuration
	Limiter       *limiter.Limiter
	Router        *router.Router
	Admitter      *admitter.Admitter
	Retrier       *retrier.Retrier
	// Peers lists all other entry hosts.
	Peers func() []Peer
	// Leader returns the leader of a data centre, which may be this host.
	Leader func(modeler.DataCentreName) (Peer, bool)
	// Claimer claims the keys of the own data centre while this host leads it.
	Claimer Claimer
	// DialRunner and DialPeer open connections; nil means plain TCP with the prober's keep-alive.
	DialRunner, DialPeer dialer
	// Count is called once for each call from a caller; late means answered after the deadline.
	Count func(svc modeler.ServiceName, outcome modeler.Outcome, late bool)
	Log   logr.Logger
	Meter *meter.Registry
}

// Forwarder is safe for concurrent use.
type Forwarder struct {
	op Options
	// runners maps poolKey to *pool, and peers maps netip.AddrPort to *pool.
	runners, peers sync.Map
	buffers        sync.Pool
	// places lists the data centres with runners of each service that are not leaving; replaced, never changed.
	places atomic.Pointer[map[modeler.ServiceName][]modeler.DataCentreName]

	stopped atomic.Bool
	// paused is set while an operator has drained the host.
	paused atomic.Bool
	// awaiting counts the keyed calls that wait for a leader.
	awaiting atomic.Int64
	mu       sync.Mutex
	// calls has every call in progress.
	calls map[*call]struct{}
	// idle is closed when the last call ends; nil while nobody waits for that.
	idle chan struct{}
	// records counts outcomes of keyed calls that are being written to the journal.
	records sync.WaitGroup
}

// poolKey tells apart the connections of a runner before and after a change of its endpoint.
type poolKey struct {
	account  *limiter.Account
	endpoint netip.AddrPort
}

// New returns a forwarder that takes calls at once.
func New(op Options) *Forwarder {
	if op.DialRunner == nil {
		op.DialRunner = prober.Dial
	}
	if op.DialPeer == nil {
		op.DialPeer = prober.Dial
	}
	if op.Peers == nil {
		op.Peers = func() []Peer { return nil }
	}
	fw := &Forwarder{op: op, calls: map[*call]struct{}{}}
	fw.places.Store(&map[modeler.ServiceName][]modeler.DataCentreName{})
	fw.buffers.New = func() any { return new([copySize]byte) }
	return fw
}

// Apply closes the connections to runners and peers that the configuration no longer lists. The
// limiter, the router and the admitter have been given it before.
func (fw *Forwarder) Apply(cfg *modeler.Configuration) {
	runners := map[poolKey]bool{}
	places := map[modeler.ServiceName][]modeler.DataCentreName{}
	for _, rn := range cfg.Runners {
		if !rn.Leaving && !slices.Contains(places[rn.Service], rn.DataCentre) {
			places[rn.Service] = append(places[rn.Service], rn.DataCentre)
		}
		runners[poolKey{fw.op.Limiter.Account(rn.Name), rn.Endpoint}] = true
	}
	fw.places.Store(&places)
	peers := map[netip.AddrPort]bool{}
	for _, hst := range cfg.Hosts {
		peers[hst.Peer] = true
	}
	fw.runners.Range(func(key, val any) bool {
		if !runners[key.(poolKey)] {
			fw.runners.Delete(key)
			val.(*pool).close()
		}
		return true
	})
	fw.peers.Range(func(key, val any) bool {
		if !peers[key.(netip.AddrPort)] {
			fw.peers.Delete(key)
			val.(*pool).close()
		}
		return true
	})
}

// Run probes idle connections until the context ends, and then closes them.
func (fw *Forwarder) Run(ctx context.Context) {
	prober.Run(ctx, fw.pools)
	for _, pl := range fw.pools() {
		pl.(*pool).close()
	}
}

func (fw *Forwarder) pools() []prober.Pool {
	var pls []prober.Pool
	add := func(_, val any) bool {
		pls = append(pls, val.(*pool))
		return true
	}
	fw.runners.Range(add)
	fw.peers.Range(add)
	return pls
}

func (fw *Forwarder) runnerPool(tg *router.Target) *pool {
	key := poolKey{tg.Account().(*limiter.Account), tg.Endpoint}
	if pl, ok := fw.runners.Load(key); ok {
		return pl.(*pool)
	}
	pl, _ := fw.runners.LoadOrStore(key, &pool{
		ep: tg.Endpoint, dial: fw.op.DialRunner, account: key.account, silent: fw.noteSilent,
	})
	return pl.(*pool)
}

func (fw *Forwarder) peerPool(ep netip.AddrPort) *pool {
	if pl, ok := fw.peers.Load(ep); ok {
		return pl.(*pool)
	}
	pl, _ := fw.peers.LoadOrStore(ep, &pool{ep: ep, dial: fw.op.DialPeer, silent: fw.noteSilent})
	return pl.(*pool)
}

func (fw *Forwarder) noteSilent(ep netip.AddrPort) {
	fw.op.Meter.Add(meter.ConnectionsReplaced, 1)
	logger.Log(fw.op.Log, logger.ConnectionSilent, "Endpoint", ep.String())
}

// Handler serves callers.
func (fw *Forwarder) Handler() http.Handler {
	mux := chi.NewRouter()
	mux.HandleFunc("/{service}", fw.serveCaller)
	mux.HandleFunc("/{service}/*", fw.serveCaller)
	mux.NotFound(func(wr http.ResponseWriter, _ *http.Request) {
		notRun(http.StatusNotFound, "UnknownService", "the path names no service").write(wr)
	})
	mux.MethodNotAllowed(func(wr http.ResponseWriter, _ *http.Request) {
		notRun(http.StatusMethodNotAllowed, "MethodNotAllowed", "the method is not supported").write(wr)
	})
	return mux
}

// PeerHandler serves calls that peers forward to PeerPath.
func (fw *Forwarder) PeerHandler() http.Handler { return http.HandlerFunc(fw.servePeer) }

// StopIntake refuses new calls and those that wait for a slot; calls in flight go on.
func (fw *Forwarder) StopIntake() {
	fw.stopped.Store(true)
	fw.op.Admitter.Stop()
}

// Pause refuses new calls of callers and peers, or accepts them again. Calls that were accepted
// before go on, those that wait for a slot included.
func (fw *Forwarder) Pause(paused bool) { fw.paused.Store(paused) }

// Drain stops the intake and waits until all calls in flight have ended and their outcomes are
// recorded. When the context ends first it cuts off the calls that remain and returns their
// number.
func (fw *Forwarder) Drain(ctx context.Context) (cut int) {
	fw.StopIntake()
	select {
	case <-fw.whenIdle():
	case <-ctx.Done():
		cut = fw.cutOff()
		<-fw.whenIdle()
	}
	fw.records.Wait()
	return cut
}

// cutOff closes the connections of the calls in flight. Their handlers then end.
func (fw *Forwarder) cutOff() int {
	fw.mu.Lock()
	defer fw.mu.Unlock()
	for cl := range fw.calls {
		cl.cutOff()
	}
	if num := len(fw.calls); num > 0 {
		logger.Log(fw.op.Log, logger.CallsAborted, "Calls", num)
	}
	return len(fw.calls)
}

func (fw *Forwarder) whenIdle() <-chan struct{} {
	fw.mu.Lock()
	defer fw.mu.Unlock()
	if fw.idle == nil {
		fw.idle = make(chan struct{})
		if len(fw.calls) == 0 {
			close(fw.idle)
		}
	}
	return fw.idle
}

// enter registers a call, and refuses it when the host takes no new calls.
func (fw *Forwarder) enter(cl *call) *failure {
	fw.mu.Lock()
	defer fw.mu.Unlock()
	if fw.stopped.Load() || fw.paused.Load() {
		fl := notRun(http.StatusServiceUnavailable, "Leaving", "the host takes no new calls")
		fl.retryAfter = 1
		return fl
	}
	fw.calls[cl] = struct{}{}
	return nil
}

func (fw *Forwarder) leave(cl *call) {
	fw.mu.Lock()
	defer fw.mu.Unlock()
	delete(fw.calls, cl)
	if len(fw.calls) == 0 && fw.idle != nil && fw.stopped.Load() {
		select {
		case <-fw.idle:
		default:
			close(fw.idle)
		}
	}
}

// isLate tells whether the deadline of a call has passed.
func (cl *call) isLate() bool { return time.Now().After(cl.deadline) }
