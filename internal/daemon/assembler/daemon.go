// Package assembler builds a daemon from its parts and runs it.
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
	// leavingNotice is the time between the first sign of a drain and the end of the intake. It
	// covers the balancer's checks of readiness and the peers' heartbeats.
	leavingNotice = 3 * time.Second
	// listInterval is the time between two reads of the host list. A leaving runner gets no new
	// calls after at most this time and the lag of the list.
	listInterval = time.Second
	// drainNotice is the time between an operator's drain and the refusal of calls. It leaves 1 s of
	// the 3 s within which a drained host gets no new work for the configuration to arrive.
	drainNotice = 2 * time.Second
	// settleInterval is the time between two comparisons of the settled revision.
	settleInterval = 200 * time.Millisecond
	// hourCopyInterval is that of the heartbeats.
	hourCopyInterval = time.Second
)

// Daemon is one entry host's process.
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
	// registering orders the uses of the registrar, which is not safe for concurrent use: a record
	// of the settled revision must not replace that of the end.
	registering sync.Mutex
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
	plans       *importer.Keeper
	leader      *leader
	batch       batchBackend

	// ready is set while callers may be sent here.
	ready atomic.Bool
	// drained is the state of an operator's drain of this host.
	drained drainState
	// replaced is closed when a newer process of this host was seen.
	replaced chan struct{}
	// tasks are the background loops.
	tasks sync.WaitGroup
}

// New assembles a daemon. A nil network means TCP. It does no input or output except reading
// certificates.
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
	// Read of package crypto/rand never fails.
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
	dm.clients = tracker.NewClients(dm.securePeer(), st.Limits.PeerTimeout, dm.meter, dm.dialText)
	dm.tracker = tracker.New(tracker.Options{
		Self:        modeler.Host{Name: st.Host.Name, DataCentre: st.Host.DataCentre, Peer: st.Listen.Peers},
		Boot:        dm.boot,
		BootStarted: dm.started,
		Seeds:       st.Peers,
		Dial:        dm.clients.Dial,
		Load:        dm.load,
		HourCounts:  dm.hourCounts,
		Learned:     func(addr netip.AddrPort, rev modeler.Revision) { dm.configs.Learn(addr, rev) },
		Replaced:    sync.OnceFunc(func() { close(dm.replaced) }),
		Log:         dm.log,
		Meter:       dm.meter,
	})
	dm.configs = distributor.New(distributor.Options{
		Store:    dm.platform.Store,
		Peers:    dm.tracker,
		Watching: dm.watching,
		Accepted: dm.tracker.SetRevision,
		Timeout:  st.Limits.StoreTimeout,
		Log:      dm.log,
		Meter:    dm.meter,
	})
}

func (dm *Daemon) buildHours() {
	st := dm.settings
	dm.counter = counter.New(st.Host.Name, dm.boot, dm.platform.Store, dm.configs, dm.log, dm.meter)
	dm.plans = importer.NewKeeper(dm.platform.Store, dm.batch, dm.configs, dm.log, dm.meter)
	dm.publisher = publisher.New(dm.platform.Store, dm.plans, dm.configs, dm.counter, time.Local, dm.log, dm.meter)
	dm.auditor = auditor.New(st.Host.Name, dm.boot, dm.platform.Store, dm.log, dm.meter)
}

// buildCalls makes the request path. It needs what the predecessor has left behind.
func (dm *Daemon) buildCalls(predecessor bool, history []*modeler.Configuration) {
	st := dm.settings
	dm.limiter = limiter.New(limiter.Options{
		Host:        st.Host.Name,
		Boot:        dm.boot,
		DataCentre:  st.Host.DataCentre,
		Predecessor: predecessor,
		History:     history,
		Peers:       dm.limiterPeers,
		Freed:       dm.slotFreed,
		Log:         dm.log,
		Meter:       dm.meter,
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
		Count:         dm.counter.Record,
		Log:           dm.log,
		Meter:         dm.meter,
	})
}

// slotFreed lets waiting calls go on. The limiter also calls it while it is built with the history of
// the configuration, when there is no admitter yet and no call can wait.
func (dm *Daemon) slotFreed(_ modeler.RunnerName, svc modeler.ServiceName) {
	if dm.admitter != nil {
		dm.admitter.Freed(svc)
	}
}

// routerAccount keeps a nil pointer from becoming an interface that is not nil.
func (dm *Daemon) routerAccount(rn modeler.RunnerName) router.Account {
	ac := dm.limiter.Account(rn)
	if ac == nil {
		return nil
	}
	return ac
}

// Run starts the daemon and serves until the context ends. It then drains: readiness fails, peers
// are told, the intake ends, and calls in flight end within DrainLimit. It returns an error when the
// daemon could not start, when calls were cut off, or when a newer process has replaced this one.
func (dm *Daemon) Run(ctx context.Context) error {
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer dm.tasks.Wait()
	defer stop()
	if err := dm.start(ctx, background); err != nil {
		return err
	}
	fes, err := dm.listen()
	if err != nil {
		return err
	}
	dm.runLoops(background)
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

// start finds out what the predecessor left, registers, and puts the first configuration in force.
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
	dm.buildCalls(predecessor, dm.history(ctx, err == nil, previous))
	dm.applyConfiguration()
	dm.goRun(background, dm.followConfiguration)
	return nil
}

func (dm *Daemon) register(ctx context.Context) (*registrar.Record, error) {
	ctx, cancel := context.WithTimeout(ctx, dm.settings.Limits.StoreTimeout)
	defer cancel()
	return dm.registrar.Register(ctx)
}

// history returns the earlier revisions that may still be in force at other holders, or nil when
// the store does not have all of them.
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
		old, err := dm.pastConfiguration(ctx, rev)
		if err != nil {
			return nil
		}
		earlier = append(earlier, old)
	}
	return earlier
}

func (dm *Daemon) runLoops(ctx context.Context) {
	dm.goRun(ctx, dm.auth.Run)
	dm.goRun(ctx, dm.tracker.Run)
	dm.goRun(ctx, dm.configs.Run)
	dm.goRun(ctx, dm.limiter.Run)
	dm.goRun(ctx, dm.router.Run)
	dm.goRun(ctx, dm.forwarder.Run)
	dm.goRun(ctx, dm.counter.Run)
	dm.goRun(ctx, dm.auditor.Run)
	dm.goRun(ctx, dm.auditor.RunTrim)
	dm.goRun(ctx, dm.followSettled)
	dm.goRun(ctx, dm.followHourCounts)
	dm.goRun(ctx, dm.followHostList)
	dm.goRun(ctx, dm.leader.run)
}

// goRun runs a background loop that Run waits for.
func (dm *Daemon) goRun(ctx context.Context, loop func(context.Context)) {
	dm.tasks.Add(1)
	go func() {
		defer dm.tasks.Done()
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

func (dm *Daemon) hourCounts() []*messenger.HourCount { return hourCountsOf(dm.counter.Latest()) }
