// Package forwarder accepts calls from callers and peers, sends each to a runner or a peer, and relays the
// answer. With every answer or failure it reports what is known of the call's execution; see
// modeler.Outcome.
//
// Callers may send any method to /SERVICE/PATH; the runner gets the method, PATH and query unchanged. The
// request header Currant-Timeout is the time to the caller's deadline in milliseconds, and Currant-Caller
// names the caller for fair queueing. HTTP/1.0 callers are refused, because they cannot distinguish a
// truncated answer from a complete one.
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

// PeerPath is the path at which peers expect PeerHandler.
const PeerPath = "/peer/v1/forward"

// Peer describes another entry host.
type Peer struct {
	Host       modeler.HostName
	DataCentre modeler.DataCentreName
	Address    netip.AddrPort
	// Usable states that the host is reachable and not draining.
	Usable bool
	// FreeSlots is the number of idle slots in the host's last heartbeat.
	FreeSlots int
}

// Options configure a Forwarder.
type Options struct {
	Host       modeler.HostName
	DataCentre modeler.DataCentreName
	// Configuration returns the current configuration, or nil when there is none.
	Configuration func() *modeler.Configuration
	Limiter       *limiter.Limiter
	Router        *router.Router
	Admitter      *admitter.Admitter
	Retrier       *retrier.Retrier
	// Peers lists all other entry hosts. Nil means none.
	Peers func() []Peer
	// Leader returns the leader of a data centre, which may be this host, or false when it is unknown. Nil
	// means that no leader is known.
	Leader func(modeler.DataCentreName) (Peer, bool)
	// Claimer claims the keys of this data centre while this host leads it. May be nil.
	Claimer Claimer
	// DialRunner and DialPeer open connections. Nil means prober.Dial.
	DialRunner, DialPeer dialer
	// OnOutcome is called once for each call from a caller; late means that it was answered after its deadline.
	// May be nil.
	OnOutcome func(svc modeler.ServiceName, outcome modeler.Outcome, late bool)
	Log       logr.Logger
	Meter     *meter.Registry
}

// Forwarder sends calls to runners and peers. It is safe for concurrent use.
type Forwarder struct {
	op Options
	// runners maps poolKey to *pool, and peers maps netip.AddrPort to *pool.
	runners, peers sync.Map
	buffers        sync.Pool
	// serviceDataCentres lists for each service the data centres with runners that are not draining. It is
	// copy-on-write.
	serviceDataCentres atomic.Pointer[map[modeler.ServiceName][]modeler.DataCentreName]

	// stopped states that no new calls are accepted. It is never reset.
	stopped atomic.Bool
	// paused states that an operator drains the host.
	paused atomic.Bool
	// waitingForLeader counts the calls with a key that wait for a leader.
	waitingForLeader atomic.Int64
	mu               sync.Mutex
	// calls has all calls in progress.
	calls map[*call]struct{}
	// idle is closed when the last call ends after StopIntake. It is nil until Drain waits for it.
	idle chan struct{}
	// recording counts the outcomes of calls with a key that are being written to the journal.
	recording sync.WaitGroup
}

// poolKey distinguishes the connections of a runner before and after a change of its endpoint.
type poolKey struct {
	account  *limiter.Account
	endpoint netip.AddrPort
}

// New returns a forwarder that accepts calls at once.
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
	fw.serviceDataCentres.Store(&map[modeler.ServiceName][]modeler.DataCentreName{})
	fw.buffers.New = func() any { return new([copyBufferSize]byte) }
	return fw
}

// Apply closes the connections to runners and peers that the configuration no longer lists. The
// configuration must have been applied to the limiter, the router and the admitter before.
func (fw *Forwarder) Apply(cfg *modeler.Configuration) {
	runners := map[poolKey]bool{}
	places := map[modeler.ServiceName][]modeler.DataCentreName{}
	for _, rn := range cfg.Runners {
		if !rn.Leaving && !slices.Contains(places[rn.Service], rn.DataCentre) {
			places[rn.Service] = append(places[rn.Service], rn.DataCentre)
		}
		runners[poolKey{fw.op.Limiter.Account(rn.Name), rn.Endpoint}] = true
	}
	fw.serviceDataCentres.Store(&places)
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
		ep: tg.Endpoint, dial: fw.op.DialRunner, account: key.account, onUnresponsive: fw.reportUnresponsive,
	})
	return pl.(*pool)
}

func (fw *Forwarder) peerPool(ep netip.AddrPort) *pool {
	if pl, ok := fw.peers.Load(ep); ok {
		return pl.(*pool)
	}
	pl, _ := fw.peers.LoadOrStore(ep, &pool{ep: ep, dial: fw.op.DialPeer, onUnresponsive: fw.reportUnresponsive})
	return pl.(*pool)
}

func (fw *Forwarder) reportUnresponsive(ep netip.AddrPort) {
	fw.op.Meter.Add(meter.ConnectionsReplaced, 1)
	logger.Log(fw.op.Log, logger.ConnectionSilent, "Endpoint", ep.String())
}

// Handler serves callers.
func (fw *Forwarder) Handler() http.Handler {
	mux := chi.NewRouter()
	mux.HandleFunc("/{service}", fw.serveCaller)
	mux.HandleFunc("/{service}/*", fw.serveCaller)
	mux.NotFound(func(wr http.ResponseWriter, _ *http.Request) {
		failNotRun(http.StatusNotFound, "UnknownService", "the path names no service").write(wr)
	})
	mux.MethodNotAllowed(func(wr http.ResponseWriter, _ *http.Request) {
		failNotRun(http.StatusMethodNotAllowed, "MethodNotAllowed", "the method is not supported").write(wr)
	})
	return mux
}

// PeerHandler serves calls that peers forward to PeerPath.
func (fw *Forwarder) PeerHandler() http.Handler { return http.HandlerFunc(fw.servePeer) }

// StopIntake refuses new calls and calls that wait for a slot. Calls in flight continue.
func (fw *Forwarder) StopIntake() {
	fw.stopped.Store(true)
	fw.op.Admitter.Stop()
}

// SetPaused refuses new calls of callers and peers, or accepts them again. Calls that were accepted before
// continue, including those that wait for a slot.
func (fw *Forwarder) SetPaused(paused bool) { fw.paused.Store(paused) }

// Drain stops the intake and waits until all calls in flight have ended and their outcomes are recorded.
// When the context ends first, it aborts the remaining calls and returns their number.
func (fw *Forwarder) Drain(ctx context.Context) (aborted int) {
	fw.StopIntake()
	select {
	case <-fw.idleChan():
	case <-ctx.Done():
		aborted = fw.abortCalls()
		<-fw.idleChan()
	}
	fw.recording.Wait()
	return aborted
}

// abortCalls closes the connections of the calls in flight, so that their handlers return.
func (fw *Forwarder) abortCalls() int {
	fw.mu.Lock()
	defer fw.mu.Unlock()
	for cl := range fw.calls {
		cl.abort()
	}
	if num := len(fw.calls); num > 0 {
		logger.Log(fw.op.Log, logger.CallsAborted, "Calls", num)
	}
	return len(fw.calls)
}

// idleChan returns a channel that is closed when no calls are in flight.
func (fw *Forwarder) idleChan() <-chan struct{} {
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

// register adds a call to the calls in flight, or refuses it when the host accepts no new calls.
func (fw *Forwarder) register(cl *call) *failure {
	fw.mu.Lock()
	defer fw.mu.Unlock()
	if fw.stopped.Load() || fw.paused.Load() {
		fl := failNotRun(http.StatusServiceUnavailable, "Leaving", "the host takes no new calls")
		fl.retryAfter = 1
		return fl
	}
	fw.calls[cl] = struct{}{}
	return nil
}

func (fw *Forwarder) unregister(cl *call) {
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

// isLate reports whether the deadline of the call has passed.
func (cl *call) isLate() bool { return time.Now().After(cl.deadline) }
