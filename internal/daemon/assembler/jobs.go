package assembler

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/go-logr/logr"
	"golang.org/x/sys/unix"

	"github.com/currantrouter/currantrouter/internal/cluster/messenger"
	"github.com/currantrouter/currantrouter/internal/config/loader"
	"github.com/currantrouter/currantrouter/internal/job/director"
	"github.com/currantrouter/currantrouter/internal/job/elector"
	"github.com/currantrouter/currantrouter/internal/job/intaker"
	"github.com/currantrouter/currantrouter/internal/job/keeper"
	jobleader "github.com/currantrouter/currantrouter/internal/job/leader"
	"github.com/currantrouter/currantrouter/internal/job/rejecter"
	"github.com/currantrouter/currantrouter/internal/job/relayer"
	"github.com/currantrouter/currantrouter/internal/job/subscriber"
	"github.com/currantrouter/currantrouter/internal/process/collector"
	"github.com/currantrouter/currantrouter/internal/process/pauser"
	"github.com/currantrouter/currantrouter/internal/request/prober"
	"github.com/currantrouter/currantrouter/internal/telemetry/logger"
	"github.com/currantrouter/currantrouter/internal/telemetry/meter"
)

// JobStore is the key-value service that stores callers' jobs.
type JobStore interface {
	jobleader.Store
	// Age is the time since the service last answered a call of this host, other than with a failure.
	Age() time.Duration
}

// JobPlatform has clients of the platform that callers' jobs run on.
type JobPlatform struct {
	Store        JobStore
	WorkerClient director.WorkerClient
	// Policy is nil if there is no policy service.
	Policy   director.Policy
	Registry jobleader.Registry
	Queues   subscriber.ConfigurationEntry
	// Callers returns a handler for the requests of callers.
	Callers func(it *intaker.Intaker, sb *subscriber.Subscriber) http.Handler
	// ReadyPath is the path of the balancer's readiness checks.
	ReadyPath string
}

const (
	// maxStoreAge is the age of the store's last answer from which a host is not ready, unless one
	// of its peers reaches the store.
	maxStoreAge = 1500 * time.Millisecond
	// shutdownReserve is the part of the drain limit that is reserved for the end of the process.
	shutdownReserve = 500 * time.Millisecond
	// balancerDetectionTime is the time in which the balancer notices that a host is not ready. It
	// covers two checks, one per second.
	balancerDetectionTime = 2200 * time.Millisecond
)

// jobHost is the process of an entry host that schedules the jobs of callers.
type jobHost struct {
	settings   *loader.Settings
	platform   JobPlatform
	log        logr.Logger
	meter      *meter.Registry
	peers      *elector.ClientPool
	subscriber *subscriber.Subscriber
	leader     *jobleader.Leader
	elector    *elector.Elector
	intaker    *intaker.Intaker
	relay      *relayer.Server
	draining   atomic.Bool
}

func newJobHost(st *loader.Settings, pf JobPlatform, lg logr.Logger) *jobHost {
	jh := &jobHost{settings: st, platform: pf, log: lg, meter: meter.New(nil)}
	jh.peers = elector.NewClientPool(prober.DialHTTP)
	jh.subscriber = subscriber.New(pf.Store, pf.Queues, jh.peers.Dial, lg, jh.meter)
	self := elector.Member{
		Host: st.Host.Name, Boot: newBoot(), Address: st.Listen.Peers, DataCentre: st.Host.DataCentre,
		Weight: int64(st.Host.Share * st.Host.Speed * 1000),
	}
	suspended := suspendedTime()
	jh.leader = jobleader.New(jobleader.Options{
		Self: self, Store: pf.Store, Registry: pf.Registry, WorkerClient: pf.WorkerClient, DialRelay: jh.peers.DialRelay, Policy: pf.Policy,
		Limits: director.Limits{
			Lease: st.Jobs.Lease, LongestLease: st.Jobs.LongestLease, StopGrace: st.Jobs.StopLimit, Retention: st.Jobs.Retention,
			RestoreTime: st.Jobs.RestoreTime, OverTargetGrace: st.Jobs.HarmLimit, RemoteDataFactor: st.Jobs.FarFactor,
		},
		LoadHints: st.Jobs.RefuseUseless, OnLargeFleet: collector.New(collector.HostMemory()).SetBusy, Configuration: jh.subscriber.Current, SuspendedTime: suspended, Log: lg, Meter: jh.meter,
	})
	jh.elector = elector.New(elector.Options{
		Self: self, Store: pf.Store, StoreAge: pf.Store.Age, ConfigurationRevision: jh.subscriber.Revision,
		OnHigherRevision: jh.subscriber.OnHigherRevision, Dial: jh.peers.Dial, Lead: jh.leader.Lead, Seeds: st.Peers, Log: lg, Meter: jh.meter,
	})
	jh.leader.SetElector(jh.elector)
	jh.relay = relayer.NewServer(relayer.ServerOptions{
		Client: pf.WorkerClient, KnownEpoch: jh.elector.KnownEpoch, SuspendedTime: suspended, Log: lg, Meter: jh.meter,
	})
	var rj *rejecter.Rejecter
	if st.Jobs.RefuseUseless {
		rj = new(rejecter.Rejecter)
	}
	jh.intaker = intaker.New(intaker.Options{
		JobStore: keeper.NewJobStore(pf.Store), StoreAge: pf.Store.Age, Elector: jh.elector, Director: jh.leader.Director,
		Dial: jh.peers.Dial, Rejecter: rj, Log: lg, Meter: jh.meter,
	})
	if rj != nil {
		jh.peers.RequestHeader(intaker.LoadHintHeader, intaker.LoadHintInterval, jh.intaker.ReadLoadHint)
	}
	return jh
}

// suspendedTime returns a function that returns how long the machine was suspended since this call.
func suspendedTime() func() time.Duration {
	offset := func() time.Duration {
		var boottime, monotonic unix.Timespec
		if unix.ClockGettime(unix.CLOCK_BOOTTIME, &boottime) != nil || unix.ClockGettime(unix.CLOCK_MONOTONIC, &monotonic) != nil {
			return 0
		}
		return time.Duration(boottime.Nano() - monotonic.Nano())
	}
	first := offset()
	return func() time.Duration { return offset() - first }
}

// run serves until the context ends and then drains. Errors: ErrDrainLimitReached.
func (jh *jobHost) run(ctx context.Context) error {
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	fes, err := jh.listen()
	if err != nil {
		return err
	}
	st := jh.settings
	logger.Log(jh.log, logger.DaemonStarted, "Host", st.Host.Name, "DataCentre", st.Host.DataCentre,
		"Callers", st.Listen.Callers, "Operators", st.Listen.Operators, "Peers", st.Listen.Peers, "Lease", st.Jobs.Lease.String())
	if st.TLS.TrustedNetwork {
		logger.Log(jh.log, logger.PeersNotSecured)
	}
	go jh.subscriber.Run(background)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		jh.elector.Run(ctx)
	}()
	<-ctx.Done()
	return jh.drain(fes, ended)
}

// drain fails the readiness checks, waits until the leadership is resigned and the balancer has
// noticed, and finishes the requests of callers.
func (jh *jobHost) drain(fes []*frontend, resigned <-chan struct{}) error {
	ctx, cancel := context.WithTimeout(context.Background(), jh.settings.Limits.DrainLimit-shutdownReserve)
	defer cancel()
	jh.draining.Store(true)
	logger.Log(jh.log, logger.DrainStarted)
	select {
	case <-resigned:
	case <-ctx.Done():
	}
	pauser.Sleep(ctx, balancerDetectionTime)
	jh.relay.Close()
	err := closeAll(ctx, fes)
	logger.Log(jh.log, logger.DaemonStopped)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrDrainLimitReached, err)
	}
	return nil
}

func (jh *jobHost) listen() ([]*frontend, error) {
	st := jh.settings
	callers := jh.closeWhileDraining(jh.platform.Callers(jh.intaker, jh.subscriber))
	var fes []*frontend
	for _, itf := range []struct {
		address netip.AddrPort
		handler http.Handler
	}{
		{st.Listen.Callers, callers},
		{st.Listen.Readiness, jh.readiness()},
		{st.Listen.Peers, jh.peersHandler()},
		{st.Listen.Operators, jh.operatorsHandler()},
	} {
		ln, err := net.Listen("tcp", itf.address.String())
		if err != nil {
			return nil, fmt.Errorf("listen: %w", err)
		}
		fe := newFrontend(&http.Server{
			Handler: itf.handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: st.Limits.IdleTimeout,
			MaxHeaderBytes: int(st.Limits.HeaderBytes),
		}, ln)
		go func() {
			if err := fe.serve(); err != nil {
				logger.Log(jh.log, logger.ListenerFailed, "Address", itf.address.String(), "Cause", err.Error())
			}
		}()
		fes = append(fes, fe)
	}
	return fes, nil
}

// closeWhileDraining asks callers to close their connections while this host drains.
func (jh *jobHost) closeWhileDraining(next http.Handler) http.Handler {
	return http.HandlerFunc(func(wr http.ResponseWriter, rq *http.Request) {
		if jh.draining.Load() {
			wr.Header().Set("Connection", "close")
		}
		next.ServeHTTP(wr, rq)
	})
}

func (jh *jobHost) readiness() http.Handler {
	mux := chi.NewRouter()
	mux.Get(jh.platform.ReadyPath, func(wr http.ResponseWriter, _ *http.Request) {
		if err := jh.ready(); err != nil {
			http.Error(wr, err.Error(), http.StatusServiceUnavailable)
		}
	})
	return mux
}

var errStoreUnreachable = errors.New("neither this host nor a peer reaches the store")

// ready returns nil if the balancer may send requests to this host, and otherwise the reason why not.
func (jh *jobHost) ready() error {
	switch {
	case jh.draining.Load():
		return errNotServing
	case jh.subscriber.Current() == nil:
		return errNoConfiguration
	case jh.platform.Store.Age() > maxStoreAge && len(jh.elector.ReachablePeers()) == 0:
		return errStoreUnreachable
	}
	return nil
}

func (jh *jobHost) peersHandler() http.Handler {
	mux := chi.NewRouter()
	mux.Use(jh.intaker.AddLoadHints)
	jobs := messenger.NewJobsServer(intaker.NewServer(jh.intaker, jh.elector, jh.subscriber))
	mux.Mount(jobs.PathPrefix(), jobs)
	relay := messenger.NewRelayServer(jh.relay)
	mux.Mount(relay.PathPrefix(), relay)
	return mux
}

func (jh *jobHost) operatorsHandler() http.Handler {
	mux := chi.NewRouter()
	mux.Handle("/metrics", jh.meter)
	return mux
}

// runJobs runs a daemon that schedules the jobs of callers.
func runJobs(ctx context.Context, st *loader.Settings, pf JobPlatform, stdout io.Writer) error {
	var lg logr.Logger
	aw := logger.NewAsyncWriter(stdout, func(lines int64) { logger.Log(lg, logger.LogLinesDropped, "Dropped", lines) })
	defer aw.Close()
	lg, err := logger.New(aw, st.Log.Format)
	if err != nil {
		return err
	}
	go reload(ctx, st, lg)
	return newJobHost(st, pf, lg).run(ctx)
}

// reload checks the settings again after each SIGHUP.
func reload(ctx context.Context, st *loader.Settings, lg logr.Logger) {
	hups := make(chan os.Signal, 1)
	signal.Notify(hups, syscall.SIGHUP)
	defer signal.Stop(hups)
	for {
		select {
		case <-ctx.Done():
			return
		case <-hups:
		}
		if _, err := loader.Load(st.Args); err != nil {
			logger.Log(lg, logger.SettingsKept, "Error", err.Error())
			continue
		}
		logger.Log(lg, logger.SettingsReloaded)
	}
}
