package assembler

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"math"
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
	"github.com/currantrouter/currantrouter/internal/job/fencer"
	"github.com/currantrouter/currantrouter/internal/job/intaker"
	"github.com/currantrouter/currantrouter/internal/job/keeper"
	jobleader "github.com/currantrouter/currantrouter/internal/job/leader"
	"github.com/currantrouter/currantrouter/internal/job/rejecter"
	"github.com/currantrouter/currantrouter/internal/job/relayer"
	"github.com/currantrouter/currantrouter/internal/job/subscriber"
	"github.com/currantrouter/currantrouter/internal/process/collector"
	"github.com/currantrouter/currantrouter/internal/process/pauser"
	"github.com/currantrouter/currantrouter/internal/request/budgeter"
	"github.com/currantrouter/currantrouter/internal/request/prober"
	"github.com/currantrouter/currantrouter/internal/telemetry/logger"
	"github.com/currantrouter/currantrouter/internal/telemetry/meter"
)

// JobStore is the key-value service that stores callers' jobs.
type JobStore interface {
	jobleader.Store
	subscriber.Store
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
	// Evacuations describe the requests to evacuate data centres.
	Evacuations jobleader.Evacuations
	Queues      subscriber.ConfigurationEntry
	// Callers returns a handler for the requests of callers.
	Callers func(it *intaker.Intaker, sb *subscriber.Subscriber) CallerHandler
	// ReadyPath is the path of the balancer's readiness checks.
	ReadyPath string
}

// CallerHandler serves the requests of callers.
type CallerHandler interface {
	http.Handler
	// BodyLimit returns the maximum size of a body in bytes.
	BodyLimit() int64
	// Timeout returns how long the sender of a request waits for the answer.
	Timeout(rq *http.Request) time.Duration
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
	fencer     *fencer.Fencer
	intaker    *intaker.Intaker
	relay      *relayer.Server
	// limiters bound what the clients of each listener hold. They are set by listen.
	limiters []*intakeLimiter
	draining atomic.Bool
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
		Evacuations: pf.Evacuations, EvacuationLimit: st.Jobs.EvacuationLimit,
		Limits: director.Limits{
			Lease: st.Jobs.Lease, LongestLease: st.Jobs.LongestLease, StopGrace: st.Jobs.StopLimit, Retention: st.Jobs.Retention,
			RestoreTime: st.Jobs.RestoreTime, OverTargetGrace: st.Jobs.HarmLimit, RemoteDataFactor: st.Jobs.FarFactor,
			ShortagePolicy: director.ShortagePolicy(st.Jobs.ShortagePolicy),
		},
		LoadHints: st.Jobs.RefuseUseless, OnLargeFleet: collector.New(collector.HostMemory()).SetBusy, Configuration: jh.subscriber.Current, SuspendedTime: suspended, Log: lg, Meter: jh.meter,
	})
	jh.fencer = fencer.New(fencer.Options{
		Director: jh.leader.Director, Hosts: func() []elector.Member { return jh.elector.ReachableHosts() }, Client: pf.WorkerClient, Log: lg, Meter: jh.meter,
	})
	jh.elector = elector.New(elector.Options{
		Self: self, Store: pf.Store, StoreAge: pf.Store.Age, ConfigurationRevision: jh.subscriber.Revision,
		OnHigherRevision: jh.subscriber.OnHigherRevision, Dial: jh.peers.Dial, Lead: jh.leader.Lead, Seeds: st.Peers,
		WorkerFences: jh.fencer.ToWatch, OnWorkerFences: jh.fencer.Watch, Log: lg, Meter: jh.meter,
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
	go jh.fencer.Run(background)
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
	for _, il := range jh.limiters {
		il.drain()
	}
	err := closeAll(ctx, fes)
	logger.Log(jh.log, logger.DaemonStopped)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrDrainLimitReached, err)
	}
	return nil
}

func (jh *jobHost) listen() ([]*frontend, error) {
	st := jh.settings
	callers := jh.platform.Callers(jh.intaker, jh.subscriber)
	noBody := func() int64 { return maxUnusedBody }
	peerBody := func() int64 { return peerBodyLimit(st.Limits) }
	var fes []*frontend
	for _, itf := range []struct {
		address netip.AddrPort
		handler http.Handler
		limiter *intakeLimiter
	}{
		{st.Listen.Callers, jh.closeWhileDraining(callers), jh.newLimiter("Callers", callerShare, callers.BodyLimit, callers.Timeout)},
		{st.Listen.Readiness, jh.readiness(), jh.newLimiter("Readiness", otherShare, noBody, nil)},
		{st.Listen.Peers, jh.peersHandler(), jh.newLimiter("Peers", peerShare, peerBody, nil)},
		{st.Listen.Operators, jh.operatorsHandler(), jh.newLimiter("Operators", otherShare, callers.BodyLimit, nil)},
	} {
		ln, err := net.Listen("tcp", itf.address.String())
		if err != nil {
			return nil, fmt.Errorf("listen: %w", err)
		}
		fe := newFrontend(&http.Server{
			Handler: itf.limiter.wrap(itf.handler), ReadHeaderTimeout: headerTimeout, IdleTimeout: st.Limits.IdleTimeout,
			MaxHeaderBytes: int(min(st.Limits.HeaderBytes, maxHeaderBytes)),
		}, itf.limiter.listener(ln))
		itf.limiter.attach(fe.server)
		jh.limiters = append(jh.limiters, itf.limiter)
		go func() {
			if err := fe.serve(); err != nil {
				logger.Log(jh.log, logger.ListenerFailed, "Address", itf.address.String(), "Cause", err.Error())
			}
		}()
		fes = append(fes, fe)
	}
	return fes, nil
}

// The shares of the listeners in the memory for bodies and the connections, in sixteenths. Each listener has its own, so
// that the clients of one cannot keep the others from being served. Most clients are callers: up to 400 with 4 attempts each.
// A leader has up to 4 connections from each of 146 peers.
const (
	callerShare = 9
	peerShare   = 5
	otherShare  = 1
	allShares   = 16
)

const (
	// maxUnusedBody is the size in bytes up to which bodies are read on the listener for readiness checks, which need none.
	maxUnusedBody = 4 << 10
	// memoryDivisor is the part of the host's memory that bodies may take. The garbage of as much, the heap of a leader
	// and the connections need the rest.
	memoryDivisor = 8
	// peerBodyDivisor is the part of the peers' memory that one body may have. It takes up to three times its size while it
	// is decoded.
	peerBodyDivisor = 4
	// keptDivisor is the part of the peers' memory that is kept for small bodies.
	keptDivisor = 8
	// fileDescriptors is the number of descriptors that are kept for files.
	fileDescriptors = 200
	// connectionPercent is the part of the other descriptors that clients may take. The rest is for connections to workers,
	// peers and the store: a leader on a host with 4,100 descriptors has up to 4 connections to each of 350 workers.
	connectionPercent = 64
)

// descriptorLimit returns the number of descriptors that this process may open, or zero if the system does not tell.
func descriptorLimit() int64 {
	var rl unix.Rlimit
	if unix.Getrlimit(unix.RLIMIT_NOFILE, &rl) != nil {
		return 0
	}
	return int64(min(rl.Cur, math.MaxInt32))
}

// intakeShare returns the memory for bodies in bytes and the number of connections of a listener with the share.
func intakeShare(ls loader.LimitSettings, share int64) (memory int64, connections int) {
	memory = ls.BodyMemory
	if host := cmp.Or(ls.MemoryMB<<20, collector.HostMemory()); host > 0 {
		memory = min(memory, host/memoryDivisor)
	}
	total := ls.Connections
	if limit := cmp.Or(ls.Descriptors, descriptorLimit()); limit > 0 {
		total = min(total, (limit-fileDescriptors)*connectionPercent/100)
	}
	return memory * share / allShares, int(max(total*share/allShares, 1))
}

// peerBodyLimit returns the maximum size of a body on the peers' listener in bytes, so that a single one fits into their
// memory. It must not be less than relayer.MaxBatchBytes.
func peerBodyLimit(ls loader.LimitSettings) int64 {
	memory, _ := intakeShare(ls, peerShare)
	return min(ls.PeerBodyBytes, memory/peerBodyDivisor)
}

// newLimiter returns the limiter of a listener with a share in the memory and the connections. timeout may be nil.
func (jh *jobHost) newLimiter(name string, share int64, bodyLimit func() int64, timeout func(*http.Request) time.Duration) *intakeLimiter {
	ls := jh.settings.Limits
	memory, connections := intakeShare(ls, share)
	kept := int64(0)
	if share == peerShare {
		// Large forwarded jobs must not keep peers from greeting each other.
		kept = memory / keptDivisor
	}
	return newIntakeLimiter(intakeOptions{
		name: name, bodyBytes: memory - kept, keptBytes: kept, connections: budgeter.ConnectionLimits{Total: connections, PerAddress: int(ls.ConnectionsPerAddress)},
		stallTime: ls.BodyStall, totalTime: ls.BodyTime, answerTime: answerTime, bodyLimit: bodyLimit, timeout: timeout,
		retryAfter: jh.intaker.RetryAfter, log: jh.log, meter: jh.meter,
	})
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
	mux.Method(http.MethodPost, "/v1/explain-job", &jobExplainer{director: jh.leader.Director, leader: jh.elector.Leader, configuration: jh.subscriber.Current})
	mux.Method(http.MethodGet, "/v1/waiting", &waitingLister{director: jh.leader.Director, leader: jh.elector.Leader})
	mux.Mount(evacuationsPath, jh.evacuationsHandler())
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
