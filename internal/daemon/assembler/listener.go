package assembler

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/go-chi/chi/v5"

	"github.com/currantrouter/currantrouter/internal/cluster/messenger"
	"github.com/currantrouter/currantrouter/internal/cluster/registrar"
	"github.com/currantrouter/currantrouter/internal/cluster/tracker"
	"github.com/currantrouter/currantrouter/internal/operator/server"
	"github.com/currantrouter/currantrouter/internal/process/pauser"
	"github.com/currantrouter/currantrouter/internal/request/forwarder"
	"github.com/currantrouter/currantrouter/internal/telemetry/logger"
)

const (
	// headerTimeout is the time in which a client must send the header of a request.
	headerTimeout = 10 * time.Second
	// statusPath is the path of the public hours on the callers' interface.
	statusPath = "/status"
)

// ErrDrainLimitReached means that calls in flight were aborted because DrainLimit had passed.
var ErrDrainLimitReached = errors.New("calls in flight were cut off by DrainLimit")

// listen opens the interfaces for callers, peers and operators in this order. If one cannot be
// opened, none serves.
func (dm *Daemon) listen() ([]*frontend, error) {
	st := dm.settings
	tc := dm.auth.ServerConfig()
	operators := server.New(dm.backends(), dm.auth, dm.log, dm.meter).HTTPServer(st.Listen.Operators)
	interfaces := []struct {
		address netip.AddrPort
		server  *http.Server
		wrap    func(net.Listener) net.Listener
	}{
		{st.Listen.Callers, dm.httpServer(dm.closeWhileDraining(dm.callersHandler())), func(ln net.Listener) net.Listener { return ln }},
		{st.Listen.Peers, dm.httpServer(dm.peersHandler()), func(ln net.Listener) net.Listener {
			return secure(tracker.CountListener(ln, dm.meter), tc)
		}},
		{st.Listen.Operators, operators, func(ln net.Listener) net.Listener { return secure(ln, tc) }},
	}
	var fes []*frontend
	for _, itf := range interfaces {
		ln, err := dm.network.Listen(itf.address)
		if err != nil {
			for _, fe := range fes {
				_ = fe.listener.Close()
			}
			return nil, fmt.Errorf("listen: %w", err)
		}
		fes = append(fes, newFrontend(itf.server, itf.wrap(ln)))
	}
	for _, fe := range fes {
		dm.serve(fe)
	}
	return fes, nil
}

// closeWhileDraining asks callers to close their connections while this host drains, so that none
// is idle at the end of the intake.
func (dm *Daemon) closeWhileDraining(next http.Handler) http.Handler {
	return http.HandlerFunc(func(wr http.ResponseWriter, rq *http.Request) {
		if !dm.ready.Load() || dm.operatorDrain.active.Load() {
			wr.Header().Set("Connection", "close")
		}
		next.ServeHTTP(wr, rq)
	})
}

func secure(ln net.Listener, tc *tls.Config) net.Listener {
	if tc == nil {
		return ln
	}
	return tls.NewListener(ln, tc)
}

func (dm *Daemon) httpServer(hd http.Handler) *http.Server {
	return &http.Server{
		Handler:           hd,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       dm.settings.Limits.IdleTimeout,
		MaxHeaderBytes:    int(dm.settings.Limits.HeaderBytes),
	}
}

func (dm *Daemon) serve(fe *frontend) {
	dm.loops.Add(1)
	go func() {
		defer dm.loops.Done()
		if err := fe.serve(); err != nil {
			logger.Log(dm.log, logger.ListenerFailed, "Address", fe.listener.Addr().String(), "Cause", err.Error())
		}
	}()
}

// callersHandler serves calls, the public hours and the balancer's health checks.
func (dm *Daemon) callersHandler() http.Handler {
	mux := chi.NewRouter()
	mux.Get("/healthz", func(wr http.ResponseWriter, _ *http.Request) { wr.WriteHeader(http.StatusNoContent) })
	mux.Head("/healthz", func(wr http.ResponseWriter, _ *http.Request) { wr.WriteHeader(http.StatusNoContent) })
	mux.Get("/readyz", dm.readyz)
	mux.Mount(statusPath, dm.publisher)
	mux.Mount("/", dm.forwarder.Handler())
	return mux
}

func (dm *Daemon) readyz(wr http.ResponseWriter, _ *http.Request) {
	if err := dm.Ready(); err != nil {
		http.Error(wr, err.Error(), http.StatusServiceUnavailable)
		return
	}
	wr.WriteHeader(http.StatusNoContent)
}

// Ready returns nil if the balancer may send calls to this host, and otherwise the reason why not.
func (dm *Daemon) Ready() error {
	switch {
	case !dm.ready.Load():
		return errNotServing
	case dm.configs.Current() == nil:
		return errNoConfiguration
	case dm.operatorDrain.active.Load():
		return errDrained
	}
	return nil
}

var (
	errNotServing      = errors.New("the host starts or leaves")
	errNoConfiguration = errors.New("the host has no configuration")
	errDrained         = errors.New("an operator has drained the host")
)

func (dm *Daemon) peersHandler() http.Handler {
	mux := chi.NewRouter()
	twirpPeer := messenger.NewPeerServer(tracker.NewServer(dm.tracker, dm.configs, dm.limiter))
	twirpBatch := messenger.NewBatchServer(dm.batch.local)
	mux.Group(func(gr chi.Router) {
		gr.Use(dm.requirePeer)
		gr.Mount(twirpPeer.PathPrefix(), twirpPeer)
		gr.Mount(twirpBatch.PathPrefix(), twirpBatch)
		gr.Mount(forwarder.PeerPath, dm.forwarder.PeerHandler())
	})
	mux.Head("/healthz", func(wr http.ResponseWriter, _ *http.Request) { wr.WriteHeader(http.StatusNoContent) })
	return mux
}

// requirePeer rejects requests whose client certificate is not that of an entry host.
func (dm *Daemon) requirePeer(next http.Handler) http.Handler {
	return http.HandlerFunc(func(wr http.ResponseWriter, rq *http.Request) {
		if _, err := dm.auth.IdentifyPeer(rq); err != nil {
			logger.Log(dm.log, logger.PeerRefused, "From", rq.RemoteAddr, "Cause", err.Error())
			http.Error(wr, "not an entry host", http.StatusForbidden)
			return
		}
		next.ServeHTTP(wr, rq)
	})
}

// drain stops the daemon after the calls in flight have ended, or aborts them at DrainLimit. Errors:
// ErrDrainLimitReached.
func (dm *Daemon) drain(fes []*frontend) error {
	ctx, cancel := context.WithTimeout(context.Background(), dm.settings.Limits.DrainLimit)
	defer cancel()
	logger.Log(dm.log, logger.DrainStarted)
	dm.ready.Store(false)
	dm.operatorDrain.disable()
	dm.tracker.SetLeaving()
	dm.limiter.StopLending()
	pauser.Sleep(ctx, dm.intakeStopDelay())
	dm.forwarder.StopIntake()
	aborted := dm.forwarder.Drain(ctx)
	err := closeAll(ctx, fes)
	dm.awaitOutstanding(ctx)
	return errors.Join(err, dm.recordEnd(aborted))
}

// intakeStopDelay returns the delay, which is zero for a standalone host, since it has no peers and
// no balancer.
func (dm *Daemon) intakeStopDelay() time.Duration {
	if dm.settings.Standalone {
		return 0
	}
	return intakeStopDelay
}

func closeAll(ctx context.Context, fes []*frontend) error {
	var err error
	for _, fe := range fes {
		err = errors.Join(err, fe.close(ctx))
	}
	return err
}

// awaitOutstanding waits until no slots are lent and all calls that hold slots are known to have
// ended.
func (dm *Daemon) awaitOutstanding(ctx context.Context) {
	for dm.limiter.OutstandingSlots() > 0 && ctx.Err() == nil {
		pauser.Sleep(ctx, 50*time.Millisecond)
	}
}

// recordEnd writes the last counts. If no call of this process can still be in progress, it also
// records that, so that the next process of this host may use its share immediately.
func (dm *Daemon) recordEnd(aborted int) error {
	ctx, cancel := context.WithTimeout(context.Background(), dm.settings.Limits.StoreTimeout)
	defer cancel()
	// The page of hours shows the effect of a failed write as a partial report.
	_ = dm.counter.Close(ctx)
	if aborted > 0 {
		logger.Log(dm.log, logger.DrainLimitReached, "Calls", aborted)
		return fmt.Errorf("%d calls: %w", aborted, ErrDrainLimitReached)
	}
	if dm.limiter.OutstandingSlots() > 0 {
		return nil
	}
	if err := dm.recordDrained(); err != nil && !errors.Is(err, registrar.ErrReplaced) {
		// The next process then waits for the call limit, which is safe.
		logger.Log(dm.log, logger.DrainNotRecorded, "Cause", err.Error())
	}
	logger.Log(dm.log, logger.DaemonStopped)
	return nil
}

func (dm *Daemon) recordDrained() error {
	dm.registrarMu.Lock()
	defer dm.registrarMu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), dm.settings.Limits.StoreTimeout)
	defer cancel()
	return dm.registrar.MarkDrained(ctx)
}
