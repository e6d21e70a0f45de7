package tracker_test

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"

	"github.com/currantrouter/currantrouter/internal/cluster/messenger"
	"github.com/currantrouter/currantrouter/internal/cluster/tracker"
	"github.com/currantrouter/currantrouter/internal/config/checker"
	"github.com/currantrouter/currantrouter/internal/config/distributor"
	"github.com/currantrouter/currantrouter/internal/fleet/modeler"
	"github.com/currantrouter/currantrouter/internal/provider/emulator"
	"github.com/currantrouter/currantrouter/internal/provider/storer"
	"github.com/currantrouter/currantrouter/internal/telemetry/meter"
)

const timeout = 800 * time.Millisecond

// latency is the time from a request to its response.
const latency = time.Millisecond

// network connects hosts by pipes that discard writes while their ends are partitioned.
type network struct {
	t     *testing.T
	store *emulator.Store
	cfg   *modeler.Configuration

	mu    sync.Mutex
	nodes map[netip.AddrPort]*node
	// partitioned reports whether two hosts can't reach each other.
	partitioned func(a, b modeler.HostName) bool
	// opened is the number of connections opened so far, which is also the serial of the last one.
	// Connections with serials up to lastBrokenSerial discard all writes.
	opened, lastBrokenSerial int
}

// node is an entry host.
type node struct {
	*tracker.Tracker
	net  *network
	host modeler.Host
	dst  *distributor.Distributor
	reg  *meter.Registry
	// storeOffline makes the store unavailable to the host.
	storeOffline atomic.Bool
	// accepted carries connections to the host's server until closed is closed.
	accepted chan net.Conn
	closed   chan struct{}
	stop     func()
}

// newNetwork returns a network of running hosts. They are named h00, h01 and so on, and are
// distributed evenly over the data centres d0, d1 and so on.
func newNetwork(t *testing.T, hosts, dcs int) *network {
	nw := &network{
		t: t, store: emulator.NewStore(nil), nodes: map[netip.AddrPort]*node{},
		cfg:         &modeler.Configuration{Limits: modeler.DefaultLimits},
		partitioned: func(_, _ modeler.HostName) bool { return false },
	}
	for num := range dcs {
		nw.cfg.DataCentres = append(nw.cfg.DataCentres, modeler.DataCentreName(fmt.Sprint("d", num)))
	}
	for num := range hosts {
		nw.cfg.Hosts = append(nw.cfg.Hosts, modeler.Host{
			Name: modeler.HostName(fmt.Sprintf("h%02d", num)), DataCentre: nw.cfg.DataCentres[num%dcs],
			Peer: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(7000+num)),
		})
	}
	nw.putRevision(1)
	for num := range hosts {
		nw.start(num, false)
	}
	t.Cleanup(func() {
		for _, nd := range nw.nodes {
			nd.stop()
		}
		// Idle connections and requests in flight end within this time.
		time.Sleep(time.Minute)
	})
	return nw
}

// addRunners adds runners to the configuration, which take about 120 bytes each in the document.
func (nw *network) addRunners(count int) {
	nw.cfg.Services = []modeler.Service{{Name: "bakedesk", CallLimit: 30 * time.Second, Deadline: time.Second, BodyLimit: 1000}}
	for num := range count {
		ip := netip.AddrFrom4([4]byte{127, 1, byte(num / 200), byte(1 + num%200)})
		nw.cfg.Runners = append(nw.cfg.Runners, modeler.Runner{
			Name:       modeler.RunnerName(fmt.Sprintf("runner-%03d", num)),
			DataCentre: nw.cfg.DataCentres[num%len(nw.cfg.DataCentres)], Service: "bakedesk",
			Endpoint: netip.AddrPortFrom(ip, 80), Slots: 8, Connections: 64,
		})
	}
}

// putRevision writes the configuration to the store as a revision, as an operator's host does.
func (nw *network) putRevision(rev modeler.Revision) {
	value := fmt.Appendf(nil, "Revision = %d\nWriter = test\n%s", rev, checker.Encode(nw.cfg))
	ent, _ := nw.store.Get(context.Background(), "Configuration/Current")
	_, err := nw.store.Put(context.Background(), "Configuration/Current", value, ent.Revision)
	qt.Assert(nw.t, err, qt.IsNil)
}

// start starts a process of a host, which knows one seed and has no configuration yet.
func (nw *network) start(num int, storeOffline bool) *node {
	hst := nw.cfg.Hosts[num]
	nd := &node{net: nw, host: hst, reg: meter.New(nil), accepted: make(chan net.Conn), closed: make(chan struct{})}
	nd.storeOffline.Store(storeOffline)
	cls := tracker.NewClients(nil, timeout, nd.reg, nd.dial)
	nd.Tracker = tracker.New(tracker.Options{
		Self: hst, Boot: modeler.BootID(fmt.Sprint("boot-", time.Now().UnixNano())), BootStarted: time.Now(),
		Seeds: []netip.AddrPort{nw.cfg.Hosts[(num+1)%len(nw.cfg.Hosts)].Peer},
		Dial:  cls.Dial,
		HourCounts: func() []*messenger.HourCount {
			return []*messenger.HourCount{{Service: "bakedesk", Hour: 1 << 31, Answered: 1 << 20, Refused: 1 << 10, Unknown: 100, Late: 1 << 10}}
		},
		Load:       func() tracker.Load { return tracker.Load{FreeSlots: 200, QueuedCalls: 200} },
		OnRevision: func(addr netip.AddrPort, rev modeler.Revision) { nd.dst.ObserveRevision(addr, rev) },
		Log:        logr.Discard(), Meter: nd.reg,
	})
	nd.dst = distributor.New(distributor.Options{
		Store: nd, Peers: nd.Tracker, IsWatching: nd.ShouldWatchStore, Timeout: timeout, Log: logr.Discard(), Meter: nd.reg,
		OnAccepted: func(rev modeler.Revision, from netip.AddrPort) {
			nd.SetHosts(nd.dst.Current().Hosts)
			nd.SetRevision(rev, from)
		},
	})
	ctx, cancel := context.WithCancel(context.Background())
	handler := messenger.NewPeerServer(tracker.NewServer(nd.Tracker, nd.dst, nil))
	srv := &http.Server{Handler: http.HandlerFunc(func(wr http.ResponseWriter, rq *http.Request) {
		time.Sleep(latency)
		handler.ServeHTTP(wr, rq)
	})}
	go func() { _ = srv.Serve(tracker.CountListener(nd, nd.reg)) }()
	go nd.Run(ctx)
	go nd.dst.Run(ctx)
	nd.stop = func() {
		cancel()
		_ = srv.Close()
		cls.Close()
	}
	nw.mu.Lock()
	defer nw.mu.Unlock()
	nw.nodes[hst.Peer] = nd
	return nd
}

func (nw *network) node(num int) *node { return nw.nodes[nw.cfg.Hosts[num].Peer] }

// setPartition replaces the partition of the network.
func (nw *network) setPartition(partitioned func(a, b modeler.HostName) bool) {
	nw.mu.Lock()
	defer nw.mu.Unlock()
	nw.partitioned = partitioned
}

// isolate replaces the partition by one that cuts the given hosts off from all others and from the
// store.
func (nw *network) isolate(nums ...int) {
	isolated := map[modeler.HostName]bool{}
	for num := range nw.cfg.Hosts {
		nw.node(num).storeOffline.Store(false)
	}
	for _, num := range nums {
		isolated[nw.cfg.Hosts[num].Name] = true
		nw.node(num).storeOffline.Store(true)
	}
	nw.setPartition(func(a, b modeler.HostName) bool { return isolated[a] || isolated[b] })
}

// awaitRevision waits until all given hosts have a revision, at most for limit, and returns the
// time that this took.
func (nw *network) awaitRevision(rev modeler.Revision, limit time.Duration, nums ...int) time.Duration {
	begin := time.Now()
	for time.Since(begin) < limit {
		behind := false
		for _, num := range nums {
			_, got := nw.node(num).dst.Document()
			behind = behind || got < rev
		}
		if !behind {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	return time.Since(begin)
}

// hostNumbers returns the numbers of all hosts except some.
func (nw *network) hostNumbers(except ...int) []int {
	var nums []int
	for num := range nw.cfg.Hosts {
		skip := false
		for _, other := range except {
			skip = skip || num == other
		}
		if !skip {
			nums = append(nums, num)
		}
	}
	return nums
}

// assertHealth checks the health of another host as this host sees it.
func (nd *node) assertHealth(num int, want tracker.Health) {
	nd.net.t.Helper()
	qt.Check(nd.net.t, nd.peer(num).Health, qt.Equals, want, qt.Commentf("%s at %v", nd.peer(num).Host, nd.host.Name))
}

func (nd *node) peer(num int) tracker.Peer {
	for _, pr := range nd.Peers() {
		if pr.Host == nd.net.cfg.Hosts[num].Name {
			return pr
		}
	}
	return tracker.Peer{}
}

var errRefused = errors.New("connection refused")

// dial opens a pipe to a host. It blocks until the context ends when the host is partitioned away.
func (nd *node) dial(ctx context.Context, _, addr string) (net.Conn, error) {
	nw := nd.net
	nw.mu.Lock()
	to := nw.nodes[netip.MustParseAddrPort(addr)]
	nw.opened++
	pc := pipeConn{net: nw, from: nd.host.Name, serial: nw.opened}
	nw.mu.Unlock()
	if to == nil {
		return nil, errRefused
	}
	pc.to = to.host.Name
	if pc.broken() {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	clientEnd, serverEnd := net.Pipe()
	server := pc
	pc.Conn, server.Conn = clientEnd, serverEnd
	select {
	case to.accepted <- &server:
		return &pc, nil
	case <-to.closed:
		return nil, errRefused
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Accept, Close and Addr make a node the listener of its own server.
func (nd *node) Accept() (net.Conn, error) {
	select {
	case conn := <-nd.accepted:
		return conn, nil
	case <-nd.closed:
		return nil, net.ErrClosed
	}
}

func (nd *node) Close() error {
	close(nd.closed)
	return nil
}

func (nd *node) Addr() net.Addr { return net.TCPAddrFromAddrPort(nd.host.Peer) }

// pipeConn is one end of a connection. It discards writes while the connection is broken.
type pipeConn struct {
	net.Conn
	net      *network
	from, to modeler.HostName
	serial   int
}

func (pc *pipeConn) broken() bool {
	pc.net.mu.Lock()
	defer pc.net.mu.Unlock()
	return pc.net.partitioned(pc.from, pc.to) || pc.serial <= pc.net.lastBrokenSerial
}

func (pc *pipeConn) Write(buf []byte) (int, error) {
	if pc.broken() {
		return len(buf), nil
	}
	return pc.Conn.Write(buf)
}

// The methods Get, Put, Delete, List and Wait make a node the store of its own host. Get and Wait
// fail while storeOffline is set.

func (nd *node) Get(ctx context.Context, key string) (storer.Entry, error) {
	if nd.storeOffline.Load() {
		return storer.Entry{}, storer.ErrUnavailable
	}
	return nd.net.store.Get(ctx, key)
}

func (nd *node) Put(ctx context.Context, key string, value []byte, expected int64) (int64, error) {
	return nd.net.store.Put(ctx, key, value, expected)
}

func (nd *node) Delete(ctx context.Context, key string, expected int64) error {
	return nd.net.store.Delete(ctx, key, expected)
}

func (nd *node) List(ctx context.Context, prefix, after string, limit int) ([]storer.Entry, error) {
	return nd.net.store.List(ctx, prefix, after, limit)
}

func (nd *node) Wait(ctx context.Context, prefix string, after int64) ([]storer.Entry, int64, error) {
	ents, rev, err := nd.net.store.Wait(ctx, prefix, after)
	if nd.storeOffline.Load() {
		return nil, 0, storer.ErrUnavailable
	}
	return ents, rev, err
}

// simulate runs a test with a network on the fake clock of package synctest.
func simulate(t *testing.T, hosts, dcs int, run func(*testing.T, *network)) {
	synctest.Test(t, func(t *testing.T) { run(t, newNetwork(t, hosts, dcs)) })
}
