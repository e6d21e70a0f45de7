package leader_test

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"os"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"

	"github.com/currantrouter/currantrouter/internal/cluster/messenger"
	fleet "github.com/currantrouter/currantrouter/internal/fleet/modeler"
	"github.com/currantrouter/currantrouter/internal/job/director"
	"github.com/currantrouter/currantrouter/internal/job/elector"
	"github.com/currantrouter/currantrouter/internal/job/fencer"
	"github.com/currantrouter/currantrouter/internal/job/intaker"
	"github.com/currantrouter/currantrouter/internal/job/keeper"
	"github.com/currantrouter/currantrouter/internal/job/leader"
	"github.com/currantrouter/currantrouter/internal/job/modeler"
	"github.com/currantrouter/currantrouter/internal/job/relayer"
	"github.com/currantrouter/currantrouter/internal/job/subscriber"
	"github.com/currantrouter/currantrouter/internal/process/pauser"
	"github.com/currantrouter/currantrouter/internal/provider/emulator"
	"github.com/currantrouter/currantrouter/internal/provider/storer"
	"github.com/currantrouter/currantrouter/internal/telemetry/logger"
	"github.com/currantrouter/currantrouter/internal/telemetry/meter"
)

const (
	queuesKey      = "Queues"
	registryPrefix = "Workers/"
	testPool       = modeler.PoolName("pool")
	// watchLimit is the time after which the store ends a watch without a change.
	watchLimit = 700 * time.Millisecond
	// maxLatency bounds the time that a message takes while nothing delays it.
	maxLatency = 4 * time.Millisecond
	// smallWeight is the processor share, in thousandths of a core, of hosts that cannot lead a fleet without relays.
	smallWeight = 1
	// drainTime is the time from the end of a drained host's leadership to the end of its process.
	drainTime = 2200 * time.Millisecond
)

// testLimits are the limits of the deployments.
var testLimits = director.Limits{
	Lease: 6 * time.Second, StopGrace: 400 * time.Millisecond, Retention: 2 * time.Minute,
	RestoreTime: 100 * time.Millisecond, OverTargetGrace: 4 * time.Second, RemoteDataFactor: 1.5,
}

// cluster is a set of entry hosts that share a store and workers.
type cluster struct {
	t       testing.TB
	faults  *emulator.Faults
	store   *emulator.Store
	workers *emulator.JobWorkers
	infos   []modeler.Worker
	hosts   []*host
	// relays is set if leaders send requests to workers by other hosts, as in large fleets.
	relays bool
	// dataCentre is that of all hosts.
	dataCentre fleet.DataCentreName
	// limits are those of all hosts.
	limits director.Limits
	// evacuationLimit is zero if evacuations are not read.
	evacuationLimit time.Duration
	log             logBuffer
	// goroutines counts those of the test itself and of ended processes.
	goroutines sync.WaitGroup

	mu   sync.Mutex
	rnd  *rand.Rand
	jobs map[modeler.JobID]*modeler.Job
	// disturbances counts the faults that are active. disturbedAt is when the last one ended.
	disturbances int
	disturbedAt  time.Time
	// triedAt is when a start of a task was last sent.
	triedAt map[modeler.TaskID]time.Time
	// placements are the last ones of tasks that the journal has.
	placements map[modeler.TaskID]placement
	// late is set while a third of the requests to workers is carried out late.
	late bool
	// leadsLargeFleet holds what the leaders of hosts last told of their fleets.
	leadsLargeFleet map[int]bool
	// epochs are the epochs that began.
	epochs []epochBegin
}

// link is a kind of connection of an entry host.
type link int

const (
	storeLink link = iota
	peerLink
	workerLink
	linkKinds
)

// host is an entry host. Its fields are guarded by the cluster's mu.
type host struct {
	cl *cluster
	ix int
	// process is nil while no process of the host runs.
	process *process
	// cutOut and cutIn are set while requests and answers do not pass a kind of link.
	cutOut, cutIn [linkKinds]bool
	// cutPeers and cutWorkers hold other hosts and workers that the host does not reach, while others may.
	cutPeers   map[netip.AddrPort]bool
	cutWorkers map[modeler.WorkerID]workerCut
	// delay and a random time up to maxDelay are added to the time that each message of the host takes.
	delay, maxDelay time.Duration
}

// workerCut is which messages between a host and a worker are lost.
type workerCut struct{ requests, answers bool }

// process is one process of an entry host.
type process struct {
	ho         *host
	elector    *elector.Elector
	leader     *leader.Leader
	intaker    *intaker.Intaker
	subscriber *subscriber.Subscriber
	server     *intaker.Server
	relay      *relayer.Server
	registry   *meter.Registry
	// cancel starts the drain, stop ends what runs until the end of the process. ended is closed when
	// the leadership is resigned.
	cancel, stop context.CancelFunc
	ended        chan struct{}

	// dead, stopping and answered are guarded by the cluster's mu. stopping is set once the process drains,
	// answered is when the store last answered.
	dead, stopping bool
	answered       time.Time
}

func newCluster(t testing.TB, hosts, workers int, seed uint64) *cluster {
	cl := &cluster{t: t, dataCentre: "z", faults: new(emulator.Faults), limits: testLimits, rnd: rand.New(rand.NewPCG(seed, 2)), jobs: map[modeler.JobID]*modeler.Job{}, triedAt: map[modeler.TaskID]time.Time{}, placements: map[modeler.TaskID]placement{}, leadsLargeFleet: map[int]bool{}}
	cl.relays = strings.Contains(t.Name(), "WithRelays")
	cl.store = emulator.NewStore(cl.faults)
	cl.store.WaitLimit = watchLimit
	cl.workers = emulator.NewJobWorkers(cl.faults, cl.behave)
	for ix := range hosts {
		cl.hosts = append(cl.hosts, &host{cl: cl, ix: ix, cutWorkers: map[modeler.WorkerID]workerCut{}})
	}
	for ix := range workers {
		cl.infos = append(cl.infos, modeler.Worker{
			ID: modeler.WorkerID(fmt.Sprintf("worker-%02d", ix)), Pool: testPool, Rack: fmt.Sprint("rack-", ix/2),
			Address:  netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, 0, byte(ix + 1)}), 80),
			Capacity: modeler.Resources{MilliCores: 64000, MemoryMB: 64000},
		})
		cl.workers.Add(cl.infos[ix])
	}
	cl.write(queuesKey, &modeler.Configuration{Revision: 1, Queues: []modeler.Queue{
		{Name: "urgent", Pool: testPool, Attempts: 2, MaxSlowdown: 1.5, Slack: time.Second},
	}})
	return cl
}

// behave returns how the tasks of a job run.
func (cl *cluster) behave(id modeler.TaskID) emulator.TaskBehaviour {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	sp := &cl.jobs[id.Job].Steps[id.Step]
	return emulator.TaskBehaviour{RunTime: sp.Estimate, LongRunning: sp.LongRunning, Reservation: sp.Needs}
}

// write writes an entry as another part of the platform does. It retries until it succeeds.
func (cl *cluster) write(key string, value any) {
	data, err := json.Marshal(value)
	qt.Check(cl.t, err, qt.IsNil)
	for {
		en, err := cl.store.Get(context.Background(), key)
		if err == nil || errors.Is(err, storer.ErrNotFound) {
			if _, err = cl.store.Put(context.Background(), key, data, en.Revision); err == nil {
				return
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// startWorker starts a new incarnation of a worker and registers it.
func (cl *cluster) startWorker(ix int) {
	cl.mu.Lock()
	info := cl.infos[ix]
	cl.mu.Unlock()
	info = cl.workers.Add(info)
	cl.mu.Lock()
	cl.infos[ix].Incarnation = info.Incarnation
	cl.mu.Unlock()
	cl.register(ix)
}

// register writes the registry's entry of a worker.
func (cl *cluster) register(ix int) {
	cl.mu.Lock()
	info := cl.infos[ix]
	cl.mu.Unlock()
	cl.write(registryPrefix+string(info.ID), &info)
}

// setDraining changes the registry's entry of a worker to one that drains.
func (cl *cluster) setDraining(ix int) {
	cl.mu.Lock()
	info := cl.infos[ix]
	cl.mu.Unlock()
	info.Draining, info.MinRemaining = true, time.Second
	cl.write(registryPrefix+string(info.ID), &info)
}

// unregister deletes the registry's entry of a worker, if that succeeds at once.
func (cl *cluster) unregister(ix int) {
	key := registryPrefix + string(cl.infos[ix].ID)
	if en, err := cl.store.Get(context.Background(), key); err == nil {
		// A lost answer or a conflict leaves the entry as another fault does.
		_ = cl.store.Delete(context.Background(), key, en.Revision)
	}
}

func (cl *cluster) intN(bound int) int {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	return cl.rnd.IntN(bound)
}

// between returns a random duration.
func (cl *cluster) between(low, high time.Duration) time.Duration {
	return low + time.Duration(cl.intN(int(high-low)+1))
}

// process returns the process of a host, or nil.
func (cl *cluster) process(ix int) *process {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	return cl.hosts[ix].process
}

// leaderIndex returns a host that leads, or else a random one.
func (cl *cluster) leaderIndex() int {
	for ix := range cl.hosts {
		if pr := cl.process(ix); pr != nil && pr.leader.Director() != nil {
			return ix
		}
	}
	return cl.intN(len(cl.hosts))
}

// beginDisturbance marks the begin of a fault.
func (cl *cluster) beginDisturbance() {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.disturbances++
}

func (cl *cluster) endDisturbance() {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.disturbances--
	cl.disturbedAt = time.Now()
}

// calm returns the time since the last fault ended, zero while one is active.
func (cl *cluster) calm() time.Duration {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	if cl.disturbances > 0 {
		return 0
	}
	return time.Since(cl.disturbedAt)
}

func hostAddress(ix int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(ix + 1)}), 80)
}

// logBuffer collects the log of all hosts. It is safe for concurrent use.
type logBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

// Write implements io.Writer.
func (lb *logBuffer) Write(data []byte) (int, error) {
	lb.mu.Lock()
	defer lb.mu.Unlock()
	return lb.buf.Write(data)
}

// logEnabled reports whether the log of a seed that fails is printed.
func logEnabled() bool { return os.Getenv("LEADER_LOG") != "" }

// hostLog returns the logger of a host.
func (cl *cluster) hostLog(ix int) logr.Logger {
	if !logEnabled() {
		return logr.Discard()
	}
	lg, err := logger.New(&cl.log, "text")
	qt.Check(cl.t, err, qt.IsNil)
	return lg.WithValues("At", fmt.Sprint("host-", ix))
}

// startHost starts a process of a host, unless one runs.
func (cl *cluster) startHost(ix int) {
	if cl.process(ix) != nil {
		return
	}
	ho := cl.hosts[ix]
	pr := &process{ho: ho, ended: make(chan struct{}), answered: time.Now()}
	lg, rg := cl.hostLog(ix), meter.New(nil)
	pr.registry = rg
	self := elector.Member{Host: fleet.HostName(fmt.Sprint("host-", ix)), Boot: fleet.BootID(fmt.Sprint(ix, "-", time.Now().UnixNano())), Address: hostAddress(ix), Weight: 100, DataCentre: cl.dataCentre}
	if cl.relays {
		self.Weight = smallWeight
	}
	dialRelay := func(addr netip.AddrPort) messenger.Relay { return &peer{pr: pr, to: addr} }
	st := &hostStore{pr}
	dial := func(addr netip.AddrPort) messenger.Jobs { return &peer{pr: pr, to: addr} }
	pr.subscriber = subscriber.New(st, subscriber.ConfigurationEntry{Key: queuesKey, Decode: decodeQueues}, dial, lg, rg)
	pr.leader = leader.New(leader.Options{
		Self: self, Store: st, Registry: leader.Registry{Prefix: registryPrefix, Decode: decodeWorker},
		Evacuations: leader.Evacuations{Prefix: evacuationPrefix, Decode: decodeEvacuation, Encode: encodeEvacuation}, EvacuationLimit: cl.evacuationLimit, WorkerClient: &hostWorkers{pr}, DialRelay: dialRelay,
		OnLargeFleet: func(leads bool) { cl.noteLargeFleet(ix, leads) }, Limits: cl.limits, Configuration: pr.subscriber.Current, SuspendedTime: func() time.Duration { return 0 }, Log: lg, Meter: rg,
	})
	var seeds []netip.AddrPort
	for other := range cl.hosts {
		if other != ix {
			seeds = append(seeds, hostAddress(other))
		}
	}
	fc := fencer.New(fencer.Options{
		Director: pr.leader.Director, Hosts: func() []elector.Member { return pr.elector.ReachableHosts() }, Client: &hostWorkers{pr}, Log: lg, Meter: rg,
	})
	pr.elector = elector.New(elector.Options{
		Self: self, Store: st, StoreAge: pr.storeAge, ConfigurationRevision: pr.subscriber.Revision, OnHigherRevision: pr.subscriber.OnHigherRevision,
		Dial: dial, Lead: pr.leader.Lead, Seeds: seeds, WorkerFences: fc.ToWatch, OnWorkerFences: fc.Watch, Log: lg, Meter: rg,
	})
	pr.leader.SetElector(pr.elector)
	pr.relay = relayer.NewServer(relayer.ServerOptions{
		Client: &hostWorkers{pr}, KnownEpoch: pr.elector.KnownEpoch, SuspendedTime: func() time.Duration { return 0 }, Log: lg, Meter: rg,
	})
	pr.intaker = intaker.New(intaker.Options{
		JobStore: keeper.NewJobStore(st), StoreAge: pr.storeAge, Elector: pr.elector, Director: pr.leader.Director, Dial: dial, Log: lg, Meter: rg,
	})
	pr.server = intaker.NewServer(pr.intaker, pr.elector, pr.subscriber)
	ctx, cancel := context.WithCancel(context.Background())
	background, stop := context.WithCancel(context.Background())
	pr.cancel, pr.stop = cancel, stop
	cl.mu.Lock()
	ho.process = pr
	cl.mu.Unlock()
	cl.goroutines.Go(func() { pr.subscriber.Run(background) })
	cl.goroutines.Go(func() { fc.Run(background) })
	cl.goroutines.Go(func() {
		defer close(pr.ended)
		pr.elector.Run(ctx)
	})
}

// killHost ends the process of a host at once. Its last messages do not arrive.
func (cl *cluster) killHost(ix int) {
	cl.mu.Lock()
	pr := cl.hosts[ix].process
	cl.hosts[ix].process = nil
	if pr != nil {
		pr.dead = true
	}
	cl.mu.Unlock()
	if pr != nil {
		pr.cancel()
		pr.stop()
		pr.relay.Close()
	}
}

// drainHost ends the process of a host as SIGTERM does.
func (cl *cluster) drainHost(ix int) {
	if pr := cl.process(ix); pr != nil {
		cl.mu.Lock()
		pr.stopping = true
		cl.mu.Unlock()
		pr.cancel()
		<-pr.ended
		time.Sleep(drainTime)
		cl.killHost(ix)
	}
}

// stop ends all processes and waits until all goroutines have ended.
func (cl *cluster) stop() {
	for ix := range cl.hosts {
		cl.killHost(ix)
	}
	cl.goroutines.Wait()
	// Messages that nothing waits for end with their timeouts.
	time.Sleep(5 * time.Second)
}

func decodeQueues(value []byte) (*modeler.Configuration, error) {
	cfg := new(modeler.Configuration)
	return cfg, json.Unmarshal(value, cfg)
}

func decodeWorker(en storer.Entry) (modeler.Worker, error) {
	var wk modeler.Worker
	return wk, json.Unmarshal(en.Value, &wk)
}

// storeAge returns the time since the store last answered the process.
func (pr *process) storeAge() time.Duration {
	pr.ho.cl.mu.Lock()
	defer pr.ho.cl.mu.Unlock()
	return time.Since(pr.answered)
}

var errNoPassage = errors.New("message did not arrive")

// pass waits for the time that a message takes on a link of the host, and while the link is cut. It
// returns an error if the context ends first or the process is dead.
func (pr *process) pass(ctx context.Context, lk link, out bool) error {
	cl, ho := pr.ho.cl, pr.ho
	wait := cl.between(0, maxLatency)
	for first := true; ; first = false {
		cl.mu.Lock()
		dead, cut := pr.dead, ho.cutIn[lk]
		if out {
			cut = ho.cutOut[lk]
		}
		if first {
			wait += ho.delay + time.Duration(cl.rnd.Int64N(int64(ho.maxDelay)+1))
		}
		cl.mu.Unlock()
		switch {
		case dead:
			return errNoPassage
		case cut:
			wait = 20 * time.Millisecond
		case !first:
			return nil
		}
		if !pauser.Sleep(ctx, wait) {
			return errNoPassage
		}
	}
}

// call makes a call over a link. It returns an error if the request or the answer did not arrive.
func (pr *process) call(ctx context.Context, lk link, execute func()) error {
	if err := pr.pass(ctx, lk, true); err != nil {
		return err
	}
	execute()
	return pr.pass(ctx, lk, false)
}

// hostStore is the store as a process reaches it.
type hostStore struct{ pr *process }

// read makes a call without effect.
func (hs *hostStore) read(ctx context.Context, execute func() error) error {
	var err error
	if cerr := hs.pr.call(ctx, storeLink, func() { err = execute() }); cerr != nil {
		return fmt.Errorf("%w: %w", storer.ErrUnavailable, cerr)
	}
	hs.recordAnswer(err)
	return err
}

// write makes a call whose result is unknown without an answer.
func (hs *hostStore) write(ctx context.Context, execute func() error) error {
	var err error
	if cerr := hs.pr.call(ctx, storeLink, func() { err = execute() }); cerr != nil {
		return fmt.Errorf("%w: %w", storer.ErrResultUnknown, cerr)
	}
	hs.recordAnswer(err)
	return err
}

func (hs *hostStore) recordAnswer(err error) {
	if errors.Is(err, storer.ErrUnavailable) || errors.Is(err, storer.ErrResultUnknown) {
		return
	}
	hs.pr.ho.cl.mu.Lock()
	defer hs.pr.ho.cl.mu.Unlock()
	hs.pr.answered = time.Now()
}

func (hs *hostStore) Get(ctx context.Context, key string) (en storer.Entry, err error) {
	err = hs.read(ctx, func() (err error) {
		en, err = hs.pr.ho.cl.store.Get(ctx, key)
		return err
	})
	return en, err
}

func (hs *hostStore) Put(ctx context.Context, key string, value []byte, expected int64) (rev int64, err error) {
	err = hs.write(ctx, func() (err error) {
		rev, err = hs.pr.ho.cl.store.Put(ctx, key, value, expected)
		if err == nil {
			hs.pr.ho.cl.noteWrite(hs.pr, key, value)
		}
		return err
	})
	return rev, err
}

func (hs *hostStore) Delete(ctx context.Context, key string, expected int64) error {
	return hs.write(ctx, func() error { return hs.pr.ho.cl.store.Delete(ctx, key, expected) })
}

func (hs *hostStore) List(ctx context.Context, prefix, after string, limit int) (ens []storer.Entry, err error) {
	err = hs.read(ctx, func() (err error) {
		ens, err = hs.pr.ho.cl.store.List(ctx, prefix, after, limit)
		return err
	})
	return ens, err
}

func (hs *hostStore) Snapshot(ctx context.Context, prefix string) (ens []storer.Entry, rev int64, err error) {
	err = hs.read(ctx, func() (err error) {
		ens, rev, err = hs.pr.ho.cl.store.Snapshot(ctx, prefix)
		return err
	})
	return ens, rev, err
}

func (hs *hostStore) Page(ctx context.Context, prefix, after string) (page storer.Page, err error) {
	err = hs.read(ctx, func() (err error) {
		page, err = hs.pr.ho.cl.store.Page(ctx, prefix, after)
		return err
	})
	return page, err
}

func (hs *hostStore) Wait(ctx context.Context, prefix string, after int64) (ens []storer.Entry, rev int64, err error) {
	err = hs.read(ctx, func() (err error) {
		ens, rev, err = hs.pr.ho.cl.store.Wait(ctx, prefix, after)
		return err
	})
	return ens, rev, err
}

func (hs *hostStore) Poll(ctx context.Context, prefix string, after int64) (ens []storer.Entry, rev int64, err error) {
	err = hs.read(ctx, func() (err error) {
		ens, rev, err = hs.pr.ho.cl.store.Poll(ctx, prefix, after)
		return err
	})
	return ens, rev, err
}

// hostWorkers are the workers as a process reaches them.
type hostWorkers struct{ pr *process }

// callWorkers makes a call to a worker. A late one gets no answer and is carried out later, by whichever
// incarnation of the worker then runs.
func callWorkers[T any](ctx context.Context, hw *hostWorkers, id modeler.WorkerID, execute func(context.Context) (T, error)) (T, error) {
	var result, none T
	cl := hw.pr.ho.cl
	if hw.cutFrom(id).requests {
		<-ctx.Done()
		return none, modeler.ErrNoAnswer
	}
	if delay := cl.lateDelay(); delay > 0 {
		cl.beginDisturbance()
		cl.goroutines.Go(func() {
			defer cl.endDisturbance()
			time.Sleep(delay)
			lctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			// The sender has given up.
			_, _ = execute(lctx)
		})
		<-ctx.Done()
		return none, modeler.ErrNoAnswer
	}
	var err error
	if cerr := hw.pr.call(ctx, workerLink, func() { result, err = execute(ctx) }); cerr != nil {
		return none, fmt.Errorf("%w: %w", modeler.ErrNoAnswer, cerr)
	}
	if hw.cutFrom(id).answers {
		<-ctx.Done()
		return none, modeler.ErrNoAnswer
	}
	return result, err
}

// cutFrom returns which messages between the host and a worker are lost.
func (hw *hostWorkers) cutFrom(id modeler.WorkerID) workerCut {
	hw.pr.ho.cl.mu.Lock()
	defer hw.pr.ho.cl.mu.Unlock()
	return hw.pr.ho.cutWorkers[id]
}

// lateDelay returns how much later a request to a worker is carried out, zero for one that is not late.
func (cl *cluster) lateDelay() time.Duration {
	cl.mu.Lock()
	late := cl.late && cl.rnd.IntN(3) == 0
	cl.mu.Unlock()
	if !late {
		return 0
	}
	return cl.between(time.Second, 12*time.Second)
}

func (hw *hostWorkers) Start(ctx context.Context, wk *modeler.Worker, req *modeler.StartRequest) (time.Duration, error) {
	cl := hw.pr.ho.cl
	cl.mu.Lock()
	cl.triedAt[req.Task] = time.Now()
	cl.mu.Unlock()
	return callWorkers(ctx, hw, wk.ID, func(ctx context.Context) (time.Duration, error) { return hw.pr.ho.cl.workers.Start(ctx, wk, req) })
}

func (hw *hostWorkers) Stop(ctx context.Context, wk *modeler.Worker, task modeler.TaskID, run modeler.Run, fence modeler.Fence) error {
	_, err := callWorkers(ctx, hw, wk.ID, func(ctx context.Context) (struct{}, error) {
		return struct{}{}, hw.pr.ho.cl.workers.Stop(ctx, wk, task, run, fence)
	})
	return err
}

func (hw *hostWorkers) Renew(ctx context.Context, wk *modeler.Worker, req *modeler.RenewRequest) (modeler.Report, error) {
	return callWorkers(ctx, hw, wk.ID, func(ctx context.Context) (modeler.Report, error) { return hw.pr.ho.cl.workers.Renew(ctx, wk, req) })
}

func (hw *hostWorkers) Pace(ctx context.Context, wk *modeler.Worker, task modeler.TaskID, run modeler.Run, percent int, fence modeler.Fence) error {
	_, err := callWorkers(ctx, hw, wk.ID, func(ctx context.Context) (struct{}, error) {
		return struct{}{}, hw.pr.ho.cl.workers.Pace(ctx, wk, task, run, percent, fence)
	})
	return err
}

// peer is the client of a process for another entry host.
type peer struct {
	messenger.Jobs
	pr *process
	to netip.AddrPort
}

// call calls the server of the other host.
func (pe *peer) call(ctx context.Context, execute func(sv *intaker.Server) error) error {
	return pe.callProcess(ctx, func(pr *process) error { return execute(pr.server) })
}

// callProcess calls the process of the other host.
func (pe *peer) callProcess(ctx context.Context, execute func(pr *process) error) error {
	cl := pe.pr.ho.cl
	ix := slices.IndexFunc(cl.hosts, func(ho *host) bool { return hostAddress(ho.ix) == pe.to })
	if ix < 0 {
		return errNoPassage
	}
	cl.mu.Lock()
	cut := pe.pr.ho.cutPeers[pe.to]
	cl.mu.Unlock()
	if cut {
		<-ctx.Done()
		return errNoPassage
	}
	if err := pe.pr.pass(ctx, peerLink, true); err != nil {
		return err
	}
	pr := cl.process(ix)
	if pr == nil {
		return fmt.Errorf("%w: %w", errNoPassage, syscall.ECONNREFUSED)
	}
	if err := pr.pass(ctx, peerLink, false); err != nil {
		return err
	}
	err := execute(pr)
	if perr := pr.pass(ctx, peerLink, true); perr != nil {
		return perr
	}
	if perr := pe.pr.pass(ctx, peerLink, false); perr != nil {
		return perr
	}
	return err
}

func (pe *peer) Exchange(ctx context.Context, batch *messenger.RelayBatch) (answers *messenger.RelayAnswers, err error) {
	err = pe.callProcess(ctx, func(pr *process) (err error) {
		answers, err = pr.relay.Exchange(ctx, batch)
		return err
	})
	return answers, err
}

func (pe *peer) Greet(ctx context.Context, gr *messenger.Greeting) (reply *messenger.Greeting, err error) {
	err = pe.call(ctx, func(sv *intaker.Server) (err error) {
		reply, err = sv.Greet(ctx, gr)
		return err
	})
	return reply, err
}

func (pe *peer) Resign(ctx context.Context, gr *messenger.Greeting) (done *messenger.Done, err error) {
	err = pe.call(ctx, func(sv *intaker.Server) (err error) {
		done, err = sv.Resign(ctx, gr)
		return err
	})
	return done, err
}

func (pe *peer) Submit(ctx context.Context, doc *messenger.JobDocument) (done *messenger.Done, err error) {
	err = pe.call(ctx, func(sv *intaker.Server) (err error) {
		done, err = sv.Submit(ctx, doc)
		return err
	})
	return done, err
}

func (pe *peer) Cancel(ctx context.Context, jn *messenger.JobName) (done *messenger.Done, err error) {
	err = pe.call(ctx, func(sv *intaker.Server) (err error) {
		done, err = sv.Cancel(ctx, jn)
		return err
	})
	return done, err
}

func (pe *peer) Notify(ctx context.Context, ch *messenger.StoredChange) (done *messenger.Done, err error) {
	err = pe.call(ctx, func(sv *intaker.Server) (err error) {
		done, err = sv.Notify(ctx, ch)
		return err
	})
	return done, err
}

func (pe *peer) State(ctx context.Context, jn *messenger.JobName) (st *messenger.JobState, err error) {
	err = pe.call(ctx, func(sv *intaker.Server) (err error) {
		st, err = sv.State(ctx, jn)
		return err
	})
	return st, err
}

func (pe *peer) Queues(ctx context.Context, qr *messenger.QueuesQuery) (doc *messenger.QueuesDocument, err error) {
	err = pe.call(ctx, func(sv *intaker.Server) (err error) {
		doc, err = sv.Queues(ctx, qr)
		return err
	})
	return doc, err
}
