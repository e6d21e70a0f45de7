// Package assembler assembles a daemon from its parts and runs it.
package assembler

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"github.com/currantrouter/currantrouter/internal/cluster/messenger"
	"github.com/currantrouter/currantrouter/internal/cluster/registrar"
	"github.com/currantrouter/currantrouter/internal/cluster/tracker"
	"github.com/currantrouter/currantrouter/internal/config/distributor"
	"github.com/currantrouter/currantrouter/internal/config/loader"
	"github.com/currantrouter/currantrouter/internal/fleet/modeler"
	"github.com/currantrouter/currantrouter/internal/hours/counter"
	"github.com/currantrouter/currantrouter/internal/hours/publisher"
	"github.com/currantrouter/currantrouter/internal/operator/auditor"
	"github.com/currantrouter/currantrouter/internal/operator/authorizer"
	"github.com/currantrouter/currantrouter/internal/plan/importer"
	"github.com/currantrouter/currantrouter/internal/request/admitter"
	"github.com/currantrouter/currantrouter/internal/request/forwarder"
	"github.com/currantrouter/currantrouter/internal/request/limiter"
	"github.com/currantrouter/currantrouter/internal/request/retrier"
	"github.com/currantrouter/currantrouter/internal/request/router"
	"github.com/currantrouter/currantrouter/internal/telemetry/logger"
	"github.com/currantrouter/currantrouter/internal/telemetry/meter"
)

const (
	// intakeStopDelay is the time from the start of a drain, when readiness fails, to the end of the
	// intake. It covers the balancer's readiness checks and the peers' heartbeats.
	intakeStopDelay = 3 * time.Second
	// hostListInterval is the time between two reads of the host list. A draining runner gets no new
	// calls after at most this time plus the lag of the list.
	hostListInterval = time.Second
	// refusalDelay is the time from applying an operator's drain to the refusal of calls. A drained
	// host must get no new work after 3 s; the remaining 1 s is for the propagation of the
	// configuration.
	refusalDelay = 2 * time.Second
	// settledRevisionInterval is the time between two reports of the settled revision.
	settledRevisionInterval = 200 * time.Millisecond
	// hourCountsInterval equals the interval of the heartbeats, which carry the counts.
	hourCountsInterval = time.Second
)

// Daemon is the process of an entry host.
type Daemon struct {
	settings *loader.Settings
	platform Platform
	network  Network
	boot     modeler.BootID
	started  time.Time
	log      logr.Logger
	meter    *meter.Registry

	auth      *authorizer.Authorizer
	registrar *registrar.Registrar
	// registrarMu guards the registrar, which is not safe for concurrent use: a record of the settled
	// revision must not overwrite the record of the drain.
	registrarMu sync.Mutex
	clients     *tracker.Clients
	tracker     *tracker.Tracker
	configs     *distributor.Distributor
	limiter     *limiter.Limiter
	router      *router.Router
	admitter    *admitter.Admitter
	forwarder   *forwarder.Forwarder
	counter     *counter.Counter
	publisher   *publisher.Publisher
	auditor     *auditor.Auditor
	plans       *importer.PlanStore
	leader      *leader
	batch       batchBackend

	// ready is set once the interfaces are open, until the process drains.
	ready atomic.Bool
	// operatorDrain is the state of an operator's drain of this host.
	operatorDrain drainState
	// replaced is closed when the tracker sees a newer process of this host.
	replaced chan struct{}
	// loops counts the background goroutines that still run.
	loops sync.WaitGroup
}

// New assembles a daemon. A nil network means TCP. New does no I/O except reading certificates.
func New(st *loader.Settings, pf Platform, nw Network, lg logr.Logger) (*Daemon, error) {
	if nw == nil {
		nw = tcpNetwork{}
	}
	dm := &Daemon{
		settings: st,
		platform: pf,
		network:  nw,
		boot:     newBoot(),
		started:  time.Now(),
		log:      lg,
		meter:    meter.New(nil),
		replaced: make(chan struct{}),
	}
	auth, err := newAuthorizer(st, lg)
	if err != nil {
		return nil, err
	}
	dm.auth = auth
	dm.registrar = registrar.New(pf.Store, st.Host.Name, dm.boot, dm.started)
	dm.buildCluster()
	dm.leader = newLeader(dm)
	dm.batch = newBatchBackend(dm)
	dm.buildHours()
	return dm, nil
}

func newBoot() modeler.BootID {
	var id [8]byte
	// rand.Read never returns an error.
	_, _ = rand.Read(id[:])
	return modeler.BootID(hex.EncodeToString(id[:]))
}

func newAuthorizer(st *loader.Settings, lg logr.Logger) (*authorizer.Authorizer, error) {
	if st.TLS.Insecure {
		return authorizer.NewInsecure(st.Listen.Operators, lg)
	}
	return authorizer.New(authorizer.Files{
		Certificate: st.TLS.Certificate,
		Key:         st.TLS.Key,
		Authorities: st.TLS.Authority,
	}, lg)
}

func (dm *Daemon) buildCluster() {
	st := dm.settings
	dm.clients = tracker.NewClients(dm.peerHandshake(), st.Limits.PeerTimeout, dm.meter, dm.dialHTTP)
	dm.tracker = tracker.New(tracker.Options{
		Self:        modeler.Host{Name: st.Host.Name, DataCentre: st.Host.DataCentre, Peer: st.Listen.Peers},
		Boot:        dm.boot,
		BootStarted: dm.started,
		Seeds:       st.Peers,
		Dial:        dm.clients.Dial,
		Load:        dm.load,
		HourCounts:  dm.hourCounts,
		OnRevision:  func(addr netip.AddrPort, rev modeler.Revision) { dm.configs.ObserveRevision(addr, rev) },
		OnReplaced:  sync.OnceFunc(func() { close(dm.replaced) }),
		Log:         dm.log,
		Meter:       dm.meter,
	})
	dm.configs = distributor.New(distributor.Options{
		Store:      dm.platform.Store,
		Peers:      dm.tracker,
		IsWatching: dm.watchesStore,
		OnAccepted: dm.tracker.SetRevision,
		Timeout:    st.Limits.StoreTimeout,
		Log:        dm.log,
		Meter:      dm.meter,
	})
}

func (dm *Daemon) buildHours() {
	st := dm.settings
	dm.counter = counter.New(st.Host.Name, dm.boot, dm.platform.Store, dm.configs, dm.log, dm.meter)
	dm.plans = importer.NewPlanStore(dm.platform.Store, dm.batch, dm.configs, dm.log, dm.meter)
	dm.publisher = publisher.New(dm.platform.Store, dm.plans, dm.configs, dm.counter, time.Local, dm.log, dm.meter)
	dm.auditor = auditor.New(st.Host.Name, dm.boot, dm.platform.Store, dm.log, dm.meter)
}

// buildRequestPath builds the request path. The limiter needs to know whether slots of a previous
// process of this host may still be in use, and which earlier revisions may still be in force.
func (dm *Daemon) buildRequestPath(predecessor bool, history []*modeler.Configuration) {
	st := dm.settings
	dm.limiter = limiter.New(limiter.Options{
		Host:           st.Host.Name,
		Boot:           dm.boot,
		DataCentre:     st.Host.DataCentre,
		HasPredecessor: predecessor,
		History:        history,
		Peers:          dm.limiterPeers,
		OnSlotFreed:    dm.slotFreed,
		Log:            dm.log,
		Meter:          dm.meter,
	})
	dm.router = router.New(router.Options{
		DataCentre: st.Host.DataCentre,
		Account:    dm.routerAccount,
		Log:        dm.log,
		Meter:      dm.meter,
	})
	dm.admitter = admitter.New(admitter.NewSource(dm.router, dm.limiter))
	dm.forwarder = forwarder.New(forwarder.Options{
		Host:          st.Host.Name,
		DataCentre:    st.Host.DataCentre,
		Configuration: dm.configs.Current,
		Limiter:       dm.limiter,
		Router:        dm.router,
		Admitter:      dm.admitter,
		Retrier:       retrier.New(),
		Peers:         dm.forwarderPeers,
		Leader:        dm.forwarderLeader,
		Claimer:       dm.leader,
		DialRunner:    dm.dial,
		DialPeer:      dm.dialPeer,
		OnOutcome:     dm.counter.Record,
		Log:           dm.log,
		Meter:         dm.meter,
	})
}

// slotFreed wakes calls that wait for a slot of the service. The limiter also calls it during its
// construction, while it replays earlier revisions; there is no admitter then and no call can wait.
func (dm *Daemon) slotFreed(_ modeler.RunnerName, svc modeler.ServiceName) {
	if dm.admitter != nil {
		dm.admitter.NotifySlotFreed(svc)
	}
}

// routerAccount returns the account of a runner, or nil. It keeps a nil pointer from becoming a
// non-nil interface.
func (dm *Daemon) routerAccount(rn modeler.RunnerName) router.Account {
	ac := dm.limiter.Account(rn)
	if ac == nil {
		return nil
	}
	return ac
}

// Run starts the daemon and serves until the context ends. It then drains: readiness fails, peers
// are notified, the intake ends, and calls in flight end within DrainLimit. Run returns an error if
// the daemon could not start, if calls were aborted (ErrDrainLimitReached), or if a newer process
// has replaced this one (registrar.ErrReplaced).
func (dm *Daemon) Run(ctx context.Context) error {
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer dm.loops.Wait()
	defer stop()
	if err := dm.start(ctx, background); err != nil {
		return err
	}
	fes, err := dm.listen()
	if err != nil {
		return err
	}
	dm.startLoops(background)
	dm.ready.Store(true)
	st := dm.settings
	logger.Log(dm.log, logger.DaemonStarted, "Host", st.Host.Name, "DataCentre", st.Host.DataCentre,
		"Callers", st.Listen.Callers, "Operators", st.Listen.Operators, "Peers", st.Listen.Peers)
	var replaced error
	select {
	case <-ctx.Done():
	case <-dm.replaced:
		dm.limiter.Close()
		replaced = registrar.ErrReplaced
	}
	return errors.Join(replaced, dm.drain(fes))
}

// start reads the configuration, registers the process, builds the request path from the record of
// the previous process, and applies the first configuration.
func (dm *Daemon) start(ctx, background context.Context) error {
	err := dm.configs.Start(ctx)
	if err != nil && !errors.Is(err, distributor.ErrNoConfiguration) {
		return err
	}
	previous, err := dm.register(ctx)
	if errors.Is(err, registrar.ErrReplaced) {
		return err
	}
	predecessor := err != nil || previous != nil && previous.State != registrar.Drained
	dm.buildRequestPath(predecessor, dm.history(ctx, err == nil, previous))
	dm.applyConfiguration()
	dm.startLoop(background, dm.followConfiguration)
	return nil
}

func (dm *Daemon) register(ctx context.Context) (*registrar.Record, error) {
	ctx, cancel := context.WithTimeout(ctx, dm.settings.Limits.StoreTimeout)
	defer cancel()
	return dm.registrar.Register(ctx)
}

// history returns the earlier revisions that may still be in force at other hosts, or nil if some
// of them could not be read.
func (dm *Daemon) history(ctx context.Context, registered bool, previous *registrar.Record) []*modeler.Configuration {
	cfg := dm.configs.Current()
	if !registered || cfg == nil {
		return nil
	}
	base := modeler.Revision(1)
	if previous != nil && previous.SettledBase > 0 {
		base = previous.SettledBase
	}
	earlier := []*modeler.Configuration{}
	for rev := base; rev < cfg.Revision; rev++ {
		old, err := dm.earlierConfiguration(ctx, rev)
		if err != nil {
			return nil
		}
		earlier = append(earlier, old)
	}
	return earlier
}

func (dm *Daemon) startLoops(ctx context.Context) {
	dm.startLoop(ctx, dm.auth.Run)
	dm.startLoop(ctx, dm.tracker.Run)
	dm.startLoop(ctx, dm.configs.Run)
	dm.startLoop(ctx, dm.limiter.Run)
	dm.startLoop(ctx, dm.router.Run)
	dm.startLoop(ctx, dm.forwarder.Run)
	dm.startLoop(ctx, dm.counter.Run)
	dm.startLoop(ctx, dm.auditor.Run)
	dm.startLoop(ctx, dm.auditor.RunTrim)
	dm.startLoop(ctx, dm.publishSettled)
	dm.startLoop(ctx, dm.copyHourCounts)
	dm.startLoop(ctx, dm.followHostList)
	dm.startLoop(ctx, dm.leader.run)
}

// startLoop starts a background loop. Run waits for it.
func (dm *Daemon) startLoop(ctx context.Context, loop func(context.Context)) {
	dm.loops.Add(1)
	go func() {
		defer dm.loops.Done()
		loop(ctx)
	}()
}

func (dm *Daemon) load() tracker.Load {
	lim := dm.limiter
	if lim == nil {
		return tracker.Load{}
	}
	return tracker.Load{FreeSlots: dm.freeSlots(), QueuedCalls: dm.admitter.Waiting()}
}

func (dm *Daemon) freeSlots() int {
	cfg := dm.configs.Current()
	if cfg == nil {
		return 0
	}
	free := 0
	for _, rn := range cfg.Runners {
		if ac := dm.limiter.Account(rn.Name); ac != nil {
			free += ac.Free()
		}
	}
	return free
}

func (dm *Daemon) hourCounts() []*messenger.HourCount {
	return encodeHourCounts(dm.counter.RecentReports())
}
