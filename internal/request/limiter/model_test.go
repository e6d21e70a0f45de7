package limiter

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"os"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/twitchtv/twirp"
	"pgregory.net/rapid"

	"github.com/currantrouter/currantrouter/internal/cluster/messenger"
	"github.com/currantrouter/currantrouter/internal/fleet/modeler"
	"github.com/currantrouter/currantrouter/internal/telemetry/meter"
)

const (
	modelSlots       = 5
	modelConnections = 7
	modelLimit       = 2 * time.Second
	modelHosts       = 4
)

// TestMain fixes the seed, which rapid prints with a failure. -rapid.seed on the command line overrides it.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "20261204")
	_ = flag.Set("rapid.nofailfile", "true")
	_ = flag.Set("rapid.checks", "60")
	flag.Parse()
	os.Exit(m.Run())
}

// node is one process of an entry host of the model. A crash keeps nothing but the host's name.
type node struct {
	name   modeler.HostName
	boot   int
	lim    *Limiter
	cancel context.CancelFunc
	rev    modeler.Revision
	// peerRevisions maps other hosts to their settled revisions from heartbeats, possibly relayed and late.
	peerRevisions map[modeler.HostName]modeler.Revision
}

// model has several limiters that share one runner, over a network that loses, delays and repeats
// messages.
type model struct {
	mu      sync.Mutex
	rng     *rand.Rand
	nodes   map[modeler.HostName]*node
	retired map[modeler.HostName]bool
	cfgs    []*modeler.Configuration
	// calls and connections count those at the runner, from all hosts.
	calls, connections int
	maxCalls           int
	loans              int64
	running            sync.WaitGroup
	fault              string
}

func (md *model) draw(bound int) int {
	md.mu.Lock()
	defer md.mu.Unlock()
	return md.rng.IntN(bound)
}

func (md *model) change(calls, connections int) {
	md.mu.Lock()
	defer md.mu.Unlock()
	md.calls += calls
	md.connections += connections
	md.maxCalls = max(md.maxCalls, md.calls)
	if md.calls > modelSlots || md.connections > modelConnections {
		md.fault = fmt.Sprintf("runner has %d calls and %d connections", md.calls, md.connections)
	}
}

// link is the path of messages from one host to another.
type link struct {
	messenger.Peer
	md       *model
	from, to modeler.HostName
}

// deliver sends a message with faults of the network: the request is lost, late or repeated, or the
// response is late or lost.
func deliver[Rq, Rp any](ctx context.Context, lk link, rq Rq, call func(*Limiter, context.Context, Rq) (Rp, error)) (Rp, error) {
	var none Rp
	lost := twirp.NewError(twirp.Unavailable, "lost")
	fault := lk.md.draw(8)
	if fault == 1 {
		time.Sleep(time.Duration(lk.md.draw(3000)) * time.Millisecond)
	}
	lk.md.mu.Lock()
	nd := lk.md.nodes[lk.to]
	lk.md.mu.Unlock()
	if nd == nil || fault == 0 {
		return none, lost
	}
	if fault == 2 {
		_, _ = call(nd.lim, ctx, rq)
	}
	rp, err := call(nd.lim, ctx, rq)
	if fault == 3 {
		time.Sleep(time.Duration(lk.md.draw(3000)) * time.Millisecond)
	}
	if fault == 4 {
		return none, lost
	}
	return rp, err
}

func (lk link) Borrow(ctx context.Context, rq *messenger.BorrowRequest) (*messenger.BorrowResponse, error) {
	return deliver(ctx, lk, rq, (*Limiter).Borrow)
}

func (lk link) Return(ctx context.Context, rq *messenger.ReturnRequest) (*messenger.ReturnResponse, error) {
	return deliver(ctx, lk, rq, (*Limiter).Return)
}

func hostName(ix int) modeler.HostName { return modeler.HostName(fmt.Sprint("entry", ix)) }

// addRevision adds a revision with random hosts and holders, and sometimes without the runner.
func (md *model) addRevision(tb *rapid.T) {
	cfg := &modeler.Configuration{
		Revision:    modeler.Revision(len(md.cfgs) + 1),
		DataCentres: []modeler.DataCentreName{"stad"},
		Services:    []modeler.Service{{Name: "tidebook", CallLimit: modelLimit}},
		Limits:      modeler.Limits{HoldersPerRunner: rapid.SampledFrom([]int{1, 1, 2, 3}).Draw(tb, "holders")},
	}
	for ix := range modelHosts {
		if in := rapid.IntRange(0, 3).Draw(tb, "member") > 0; in || md.retired[hostName(ix)] {
			cfg.Hosts = append(cfg.Hosts, modeler.Host{Name: hostName(ix), DataCentre: "stad", Retired: md.retired[hostName(ix)]})
		}
	}
	if rapid.IntRange(0, 5).Draw(tb, "runner") > 0 {
		cfg.Runners = []modeler.Runner{{
			Name: "runner1", DataCentre: "stad", Service: "tidebook", Slots: modelSlots, Connections: modelConnections,
			Endpoint: netip.MustParseAddrPort("127.0.0.1:1"),
		}}
	}
	md.cfgs = append(md.cfgs, cfg)
}

func (md *model) start(name modeler.HostName, boot int, rev modeler.Revision, history ...*modeler.Configuration) {
	nd := &node{name: name, boot: boot, peerRevisions: map[modeler.HostName]modeler.Revision{}}
	nd.lim = New(Options{
		Host: name, Boot: modeler.BootID(fmt.Sprint(name, boot)), DataCentre: "stad", HasPredecessor: boot > 1, History: history,
		Peers: func() []Peer { return md.peers(nd) }, Log: logr.Discard(), Meter: meter.New(nil),
	})
	ctx, cancel := context.WithCancel(context.Background())
	nd.cancel = cancel
	md.mu.Lock()
	md.nodes[name] = nd
	md.mu.Unlock()
	md.apply(nd, rev)
	md.running.Go(func() { nd.lim.Run(ctx) })
}

func (md *model) apply(nd *node, rev modeler.Revision) {
	nd.rev = rev
	nd.lim.Apply(md.cfgs[rev-1])
}

func (md *model) peers(nd *node) []Peer {
	md.mu.Lock()
	defer md.mu.Unlock()
	var prs []Peer
	for ix := range modelHosts {
		if name := hostName(ix); name != nd.name {
			prs = append(prs, Peer{
				Host: name, Usable: true, SettledRevision: nd.peerRevisions[name], Client: link{md: md, from: nd.name, to: name},
			})
		}
	}
	return prs
}

// call runs one call with a connection. The process may be paused before the call begins, and the
// answer may be lost while the runner still works on the call.
func (md *model) call(nd *node) {
	sl, ok := nd.lim.Acquire("runner1")
	if !ok {
		return
	}
	work := modelLimit - time.Duration(md.draw(500))*time.Millisecond
	lost := md.draw(3) == 0
	pause := time.Duration(max(0, md.draw(20000)-17500)) * time.Millisecond
	md.running.Go(func() {
		time.Sleep(pause)
		md.mu.Lock()
		alive := md.nodes[nd.name] == nd
		md.mu.Unlock()
		cn, ok := sl.Account().Connect(sl)
		if !ok || !alive || !sl.Begin() {
			if ok {
				cn.Release()
			}
			sl.Release()
			return
		}
		md.change(1, 1)
		if lost {
			sl.Abandon()
			cn.Abandon()
		}
		time.Sleep(work)
		md.change(-1, -1)
		sl.Release()
		cn.Release()
	})
}

// rush makes all hosts use all their slots.
func (md *model) useAllSlots() {
	for _, nd := range md.nodes {
		for range modelSlots {
			md.call(nd)
		}
	}
}

func (md *model) anyNode(tb *rapid.T) *node {
	md.mu.Lock()
	defer md.mu.Unlock()
	return md.nodes[hostName(rapid.IntRange(0, modelHosts-1).Draw(tb, "host"))]
}

func (md *model) onNode(act func(*rapid.T, *node)) func(*rapid.T) {
	return func(tb *rapid.T) {
		if nd := md.anyNode(tb); nd != nil {
			act(tb, nd)
		}
	}
}

func (md *model) crash(nd *node) {
	nd.cancel()
	md.mu.Lock()
	defer md.mu.Unlock()
	md.loans += nd.lim.op.Meter.Value(meter.SlotsBorrowed)
	delete(md.nodes, nd.name)
}

// gossip sends the settled revisions that one host knows to another. Those of third hosts may be old.
func (md *model) gossip(tb *rapid.T, nd *node) {
	from := md.anyNode(tb)
	if from == nil || from == nd {
		return
	}
	md.mu.Lock()
	defer md.mu.Unlock()
	nd.peerRevisions[from.name] = from.lim.SettledRevision()
	for name, rev := range from.peerRevisions {
		if rapid.Bool().Draw(tb, "relayed") {
			nd.peerRevisions[name] = max(nd.peerRevisions[name], rev)
		}
	}
}

func (md *model) actions(boots map[modeler.HostName]int) map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"revision": md.addRevision,
		"apply": md.onNode(func(tb *rapid.T, nd *node) {
			md.apply(nd, modeler.Revision(rapid.IntRange(int(nd.rev), len(md.cfgs)).Draw(tb, "to")))
		}),
		"call": md.onNode(func(_ *rapid.T, nd *node) { md.call(nd) }),
		// A revision reaches only one host, as in a partition.
		"reach": md.onNode(func(tb *rapid.T, nd *node) {
			md.addRevision(tb)
			md.apply(nd, modeler.Revision(len(md.cfgs)))
		}),
		"spread": func(tb *rapid.T) {
			for range 4 {
				if nd := md.anyNode(tb); nd != nil {
					md.apply(nd, modeler.Revision(len(md.cfgs)))
					md.gossip(tb, nd)
				}
			}
			time.Sleep(700 * time.Millisecond)
		},
		// One host borrows the idle slots of the others, possibly after their calls have ended.
		"borrow": md.onNode(func(tb *rapid.T, nd *node) {
			time.Sleep(time.Duration(rapid.SampledFrom([]int{0, 3000}).Draw(tb, "idle")) * time.Millisecond)
			for _, other := range md.nodes {
				other.lim.SetWaiting("tidebook", 0)
			}
			nd.lim.SetWaiting("tidebook", 4)
			time.Sleep(120 * time.Millisecond)
			md.call(nd)
		}),
		"gossip": md.onNode(md.gossip),
		"retire": md.onNode(func(tb *rapid.T, nd *node) {
			if len(md.retired) > 0 {
				return
			}
			md.crash(nd)
			md.retired[nd.name] = true
			md.addRevision(tb)
		}),
		"restart": func(tb *rapid.T) {
			name := hostName(rapid.IntRange(0, modelHosts-1).Draw(tb, "host"))
			if md.retired[name] {
				return
			}
			var base modeler.Revision
			if nd := md.nodes[name]; nd != nil {
				base = nd.lim.SettledBase()
				md.crash(nd)
			}
			rev := modeler.Revision(len(md.cfgs))
			// Without the store, the configuration comes from a peer, which may be behind.
			if from := md.anyNode(tb); from != nil {
				rev = from.rev
			}
			boots[name]++
			if base > 0 && rapid.Bool().Draw(tb, "history") {
				rev = modeler.Revision(len(md.cfgs))
				md.start(name, boots[name], rev, md.cfgs[base-1:]...)
				return
			}
			md.start(name, boots[name], rev)
		},
		"sleep": func(tb *rapid.T) {
			time.Sleep(time.Duration(rapid.SampledFrom([]int{1, 60, 600, 6000}).Draw(tb, "millis")) * time.Millisecond)
		},
		"": func(tb *rapid.T) {
			if md.draw(3) > 0 {
				md.useAllSlots()
			}
			synctest.Wait()
			time.Sleep(10 * time.Millisecond)
			md.mu.Lock()
			defer md.mu.Unlock()
			if md.fault != "" {
				tb.Fatal(md.fault)
			}
		},
	}
}

// bubble hides the deadline of a test, because it must not be read in a synctest bubble.
type bubble struct{ testing.TB }

// stop ends all processes and waits for the calls.
func (md *model) stop() {
	for _, nd := range md.nodes {
		nd.cancel()
	}
	md.running.Wait()
	// Messages in flight end within their timeout and the maximum delay.
	time.Sleep(10 * time.Second)
}

// TestRunnerLimits guards against shares, loans and abandoned calls that together exceed a runner's
// slots or connections, over revisions, restarts and faults of the network.
func TestRunnerLimits(t *testing.T) {
	var maxCalls, loans int64
	synctest.Test(t, func(t *testing.T) {
		rapid.Check(bubble{t}, func(tb *rapid.T) {
			md := &model{
				nodes: map[modeler.HostName]*node{}, retired: map[modeler.HostName]bool{},
				rng: rand.New(rand.NewPCG(rapid.Uint64().Draw(tb, "network"), 1)),
			}
			defer md.stop()
			boots := map[modeler.HostName]int{}
			md.addRevision(tb)
			for ix := range modelHosts {
				boots[hostName(ix)] = 1
				md.start(hostName(ix), 1, 1)
			}
			tb.Repeat(md.actions(boots))
			for _, nd := range md.nodes {
				nd.lim.SetWaiting("tidebook", 0)
			}
			time.Sleep(15 * time.Second)
			synctest.Wait()
			for _, nd := range md.nodes {
				if out := nd.lim.OutstandingSlots(); out != 0 {
					tb.Fatalf("%s still counts %d slots after all calls and loans have ended", nd.name, out)
				}
				md.loans += nd.lim.op.Meter.Value(meter.SlotsBorrowed)
			}
			loans += md.loans
			maxCalls = max(maxCalls, int64(md.maxCalls))
		})
	})
	t.Logf("%d loans", loans)
	// The test is only meaningful if the runner was fully used and loans were granted.
	if maxCalls < modelSlots || loans == 0 {
		t.Errorf("at most %d calls at once and %d loans in all runs", maxCalls, loans)
	}
}
