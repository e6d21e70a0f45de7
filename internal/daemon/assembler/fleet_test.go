package assembler_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"

	"github.com/currantrouter/currantrouter/internal/config/checker"
	"github.com/currantrouter/currantrouter/internal/config/loader"
	"github.com/currantrouter/currantrouter/internal/daemon/assembler"
	"github.com/currantrouter/currantrouter/internal/fleet/modeler"
	"github.com/currantrouter/currantrouter/internal/operator/server"
	"github.com/currantrouter/currantrouter/internal/plan/importer"
	"github.com/currantrouter/currantrouter/internal/provider/emulator"
	"github.com/currantrouter/currantrouter/internal/provider/supervisor"
)

const runnerSlots = 8

// fleet is a deployment in memory: data centres with entry hosts, runners and workers, and a shared
// platform.
type fleet struct {
	t        *testing.T
	mu       sync.Mutex
	net      *memNetwork
	platform *emulator.Platform
	cfg      *modeler.Configuration
	// loads counts the calls of load, so that each uses its own keys.
	loads int
	// rev is the revision of the last stored configuration.
	rev     modeler.Revision
	members []*member
	runners map[modeler.RunnerName]*emulator.Runner
	// listeners are those of the runners.
	listeners []*memListener
	closers   []func() error
	// adjust changes the settings of a host before it starts. It may be nil.
	adjust func(hst modeler.Host, st *loader.Settings)
}

// member is one process of an entry host.
type member struct {
	host               modeler.Host
	callers, operators netip.AddrPort
	zone               *zone
	store              *gatedStore
	stop               context.CancelFunc
	done               chan error
	// killed is set before the process is killed.
	killed atomic.Bool
}

func address(kind, dc, num int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, byte(kind), byte(dc), byte(num + 1)}), 80)
}

// newFleet returns a deployment with two entry hosts, two workers and some runners per data centre,
// before its entry hosts start. The guards of runners and workers are off, so that they accept and
// record calls beyond their limits instead of refusing them.
func newFleet(t *testing.T, dcs, runnersPerDC int) *fleet {
	fl := &fleet{
		t:        t,
		net:      newMemNetwork(),
		platform: emulator.New(emulator.Options{Behaviour: emulator.Behaviour{GuardsOff: true}}),
		cfg:      &modeler.Configuration{Limits: modeler.DefaultLimits},
		runners:  map[modeler.RunnerName]*emulator.Runner{},
	}
	fl.cfg.Services = []modeler.Service{{
		Name: "tidebook", CallLimit: 10 * time.Second, Deadline: 5 * time.Second, QueueLimit: 100, BodyLimit: 1 << 20,
	}}
	for dc := range dcs {
		name := modeler.DataCentreName(fmt.Sprintf("dc-%d", dc))
		fl.cfg.DataCentres = append(fl.cfg.DataCentres, name)
		for num := range 2 {
			fl.cfg.Hosts = append(fl.cfg.Hosts, modeler.Host{
				Name: modeler.HostName(fmt.Sprintf("%s-host-%d", name, num)), DataCentre: name, Peer: address(1, dc, num),
			})
		}
		for num := range runnersPerDC {
			fl.addRunner(name, dc, num)
		}
		for num := range 2 {
			fl.platform.Workers.Add(supervisor.Worker{
				Name: modeler.WorkerName(fmt.Sprintf("%s-worker-%d", name, num)), DataCentre: name, Rack: "rack",
				Address:  address(4, dc, num),
				Capacity: supervisor.Resources{Millicores: 32_000, MemoryBytes: 125 << 30},
			})
		}
	}
	t.Cleanup(func() { qt.Check(t, fl.closers, qt.HasLen, 0) })
	fl.put(0)
	return fl
}

func (fl *fleet) addRunner(name modeler.DataCentreName, dc, num int) {
	rn := modeler.Runner{
		Name: modeler.RunnerName(fmt.Sprintf("%s-runner-%d", name, num)), DataCentre: name, Service: "tidebook",
		Endpoint: address(3, dc, num), Slots: runnerSlots, Connections: 64,
	}
	fl.cfg.Runners = append(fl.cfg.Runners, rn)
	em := emulator.NewRunner(fl.platform.Faults, emulator.RunnerOptions{
		Name: rn.Name, Slots: rn.Slots, Connections: rn.Connections, GuardsOff: true,
	})
	zn := newZone(fl.net, string(name))
	zn.node = string(rn.Name)
	ln, err := zn.Listen(rn.Endpoint)
	qt.Assert(fl.t, err, qt.IsNil)
	sv := em.Server()
	go func() { _ = sv.Serve(ln) }()
	fl.runners[rn.Name] = em
	fl.listeners = append(fl.listeners, ln.(*memListener))
	fl.closers = append(fl.closers, sv.Close)
}

// put stores the configuration as the next revision after the expected one.
func (fl *fleet) put(expected modeler.Revision) {
	fl.t.Helper()
	fl.rev = expected
	fl.putDocument(fl.cfg)
}

// start starts all entry hosts and waits until each data centre has a leader.
func (fl *fleet) start() {
	for idx := range fl.cfg.Hosts {
		fl.members = append(fl.members, fl.run(idx))
	}
	time.Sleep(10 * time.Second)
}

// run starts a process of the host with the index.
func (fl *fleet) run(idx int) *member {
	hst := fl.cfg.Hosts[idx]
	dc := idx / 2
	mb := &member{
		host:      hst,
		callers:   address(0, dc, idx%2),
		operators: address(2, dc, idx%2),
		zone:      newZone(fl.net, string(hst.DataCentre)),
		store:     &gatedStore{Store: fl.platform.Store, gate: gate{resumed: make(chan struct{})}},
		done:      make(chan error, 1),
	}
	mb.zone.node = string(hst.Name)
	st := &loader.Settings{
		Host:   loader.HostSettings{Name: hst.Name, DataCentre: hst.DataCentre},
		Listen: loader.ListenSettings{Callers: mb.callers, Operators: mb.operators, Peers: hst.Peer},
		TLS:    loader.TLSSettings{Insecure: true},
		Limits: loader.LimitSettings{
			DrainLimit: 30 * time.Second, StoreTimeout: time.Second, PeerTimeout: 800 * time.Millisecond,
			IdleTimeout: time.Minute, HeaderBytes: 32 << 10, KeptKeys: 10_000, KeptAnswerBytes: 1 << 20,
		},
	}
	for _, other := range fl.cfg.Hosts {
		if other.Name != hst.Name {
			st.Peers = append(st.Peers, other.Peer)
		}
	}
	if fl.adjust != nil {
		fl.adjust(hst, st)
	}
	dm, err := assembler.New(st, assembler.Platform{
		Store: mb.store, Workers: &gatedWorkers{fl.platform.Workers, &mb.store.gate}, Hosts: fl.platform.Hosts,
	}, mb.zone, logr.Discard())
	qt.Assert(fl.t, err, qt.IsNil)
	ctx, stop := context.WithCancel(context.Background())
	mb.stop = stop
	go func() { mb.done <- dm.Run(ctx) }()
	return mb
}

// member returns the current process of the host with the index.
func (fl *fleet) member(idx int) *member {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	return fl.members[idx]
}

func (fl *fleet) replace(idx int, mb *member) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	fl.members[idx] = mb
}

// kill crashes a process: its connections break and nothing it does has an effect any more.
func (fl *fleet) kill(mb *member) {
	mb.killed.Store(true)
	mb.store.kill()
	mb.store.setPaused(false)
	mb.zone.kill()
	mb.stop()
}

// restart replaces the ended process of the host with the index by a new one.
func (fl *fleet) restart(idx int) { fl.replace(idx, fl.run(idx)) }

// drain stops a process gracefully.
func (fl *fleet) drain(mb *member) {
	mb.stop()
	qt.Check(fl.t, <-mb.done, qt.IsNil, qt.Commentf("drain of %s", mb.host.Name))
}

// pause blocks or resumes all communication of a process. Its timers continue.
func (fl *fleet) pause(mb *member, paused bool) {
	mb.store.setPaused(paused)
	fl.net.setCut(string(mb.host.Name), anyNode, paused)
}

// heal ends all faults except kills and blackholed connections.
func (fl *fleet) heal() {
	fl.platform.Faults.Clear()
	fl.net.heal()
	for idx := range fl.cfg.Hosts {
		mb := fl.member(idx)
		mb.store.setPaused(false)
		mb.store.setStoreCut(false)
	}
}

// reconfigure stores a revision that omits a random host, a random runner, both or neither.
func (fl *fleet) reconfigure(rnd *rand.Rand) {
	cfg := *fl.cfg
	if rnd.IntN(3) > 0 {
		idx := rnd.IntN(len(cfg.Hosts))
		cfg.Hosts = slices.Delete(slices.Clone(cfg.Hosts), idx, idx+1)
	}
	if rnd.IntN(3) > 0 {
		idx := rnd.IntN(len(cfg.Runners))
		cfg.Runners = slices.Delete(slices.Clone(cfg.Runners), idx, idx+1)
	}
	fl.putDocument(&cfg)
}

func (fl *fleet) putDocument(cfg *modeler.Configuration) {
	fl.t.Helper()
	err := assembler.PutConfiguration(context.Background(), fl.platform.Store, checker.Encode(cfg), fl.rev, time.Second)
	qt.Assert(fl.t, err, qt.IsNil)
	fl.rev++
}

// end drains all processes and checks the invariants.
func (fl *fleet) end() {
	fl.t.Helper()
	for _, mb := range fl.members {
		mb.stop()
	}
	for _, mb := range fl.members {
		err := <-mb.done
		if !mb.killed.Load() {
			qt.Check(fl.t, err, qt.IsNil, qt.Commentf("%s", mb.host.Name))
		}
	}
	fl.checkOracles()
	for _, cl := range fl.closers {
		_ = cl()
	}
	fl.closers = nil
}

func (fl *fleet) checkOracles() {
	fl.t.Helper()
	for name, rn := range fl.runners {
		orc := rn.Oracle()
		qt.Check(fl.t, orc.GreatestCalls <= runnerSlots, qt.IsTrue, qt.Commentf("%s: %d calls at once", name, orc.GreatestCalls))
	}
	for _, ln := range fl.listeners {
		qt.Check(fl.t, ln.maxOpen <= 64, qt.IsTrue, qt.Commentf("%s: %d connections", ln.addr, ln.maxOpen))
	}
	qt.Check(fl.t, fl.platform.Workers.Oracle().Violations, qt.HasLen, 0)
	for key, num := range fl.executions() {
		qt.Check(fl.t, num, qt.Equals, 1, qt.Commentf("executions of key %s", key))
	}
}

// partition cuts or heals the links between a data centre and all others.
func (fl *fleet) partition(name modeler.DataCentreName, cut bool) {
	for _, dc := range fl.cfg.DataCentres {
		if dc != name {
			fl.net.setCut(string(name), string(dc), cut)
		}
	}
}

// operators sends a request to the operators' interface of a host and decodes the JSON answer.
func (fl *fleet) operators(mb *member, method, path, body string, into any) {
	fl.t.Helper()
	rq, err := http.NewRequest(method, "http://"+mb.operators.String()+path, strings.NewReader(body))
	qt.Assert(fl.t, err, qt.IsNil)
	rs, err := fl.client(mb).Do(rq)
	qt.Assert(fl.t, err, qt.IsNil)
	defer rs.Body.Close()
	text, err := io.ReadAll(rs.Body)
	qt.Assert(fl.t, err, qt.IsNil)
	qt.Assert(fl.t, rs.StatusCode, qt.Equals, http.StatusOK, qt.Commentf("%s", text))
	qt.Assert(fl.t, json.Unmarshal(text, into), qt.IsNil)
}

func (fl *fleet) revision(mb *member) modeler.Revision {
	fl.t.Helper()
	var doc server.Document
	fl.operators(mb, http.MethodGet, "/v1/config", "", &doc)
	return doc.Revision
}

// importPlan imports a sheet with one job per data centre, each with the number of tasks.
func (fl *fleet) importPlan(tasks int) {
	fl.t.Helper()
	today := time.Now().UTC().Format(time.DateOnly)
	sheet := strings.Join(importer.Columns, ",") + "\n"
	for _, dc := range fl.cfg.DataCentres {
		sheet += fmt.Sprintf("%s,UTC,Job,job-%s,team,50,No,%d,1,1,0,1h,,,%s,No,No,%s 00:00:00\n", today, dc, tasks, dc, today)
	}
	var rs importer.Result
	fl.operators(fl.members[0], http.MethodPost, "/v1/plans", sheet, &rs)
	qt.Assert(fl.t, rs.Applied, qt.IsTrue)
}

func (fl *fleet) jobs(mb *member) []server.Job {
	fl.t.Helper()
	var list server.Jobs
	fl.operators(mb, http.MethodGet, "/v1/jobs", "", &list)
	qt.Check(fl.t, list.Unreachable, qt.HasLen, 0)
	qt.Check(fl.t, list.Jobs, qt.HasLen, len(fl.cfg.DataCentres))
	return list.Jobs
}

// executions counts the executions of each key over all runners.
func (fl *fleet) executions() map[string]int {
	all := map[string]int{}
	for _, rn := range fl.runners {
		for key, num := range rn.Oracle().Executions {
			all[key] += num
		}
	}
	return all
}

// checkTasks checks that the workers have run each task exactly once.
func (fl *fleet) checkTasks(total int) {
	fl.t.Helper()
	orc := fl.platform.Workers.Oracle()
	qt.Check(fl.t, orc.Executions, qt.HasLen, total)
	for task, num := range orc.Executions {
		qt.Check(fl.t, num, qt.Equals, 1, qt.Commentf("executions of %v", task))
	}
}

// answer is the result of a call.
type answer struct {
	// via is the data centre of the host that was called.
	via    modeler.DataCentreName
	status int
	// outcome is empty if the call did not reach a host.
	outcome modeler.Outcome
	body    string
	err     error
}

// client returns a client in the data centre of the host, where the balancer is.
func (fl *fleet) client(mb *member) *http.Client {
	return &http.Client{Transport: &http.Transport{
		DisableKeepAlives: true,
		DialContext: func(ctx context.Context, _, addr string) (net.Conn, error) {
			return newZone(fl.net, mb.zone.name).Dial(ctx, netip.MustParseAddrPort(addr))
		},
	}}
}

// call sends one call to an entry host.
func (fl *fleet) call(mb *member, method, path, key, body string) answer {
	return fl.callFor(20*time.Second, mb, method, path, key, body)
}

// callFor is like call with a timeout after which the caller gives up.
func (fl *fleet) callFor(timeout time.Duration, mb *member, method, path, key, body string) answer {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	rq, err := http.NewRequestWithContext(ctx, method, "http://"+mb.callers.String()+"/tidebook"+path, strings.NewReader(body))
	qt.Assert(fl.t, err, qt.IsNil)
	if key != "" {
		rq.Header.Set(modeler.HeaderIdempotencyKey, key)
	}
	rs, err := fl.client(mb).Do(rq)
	if errors.Is(err, syscall.ECONNREFUSED) {
		return answer{via: mb.host.DataCentre, err: err}
	}
	if err != nil {
		return answer{via: mb.host.DataCentre, err: err, outcome: modeler.Unknown}
	}
	defer rs.Body.Close()
	text, err := io.ReadAll(rs.Body)
	return answer{mb.host.DataCentre, rs.StatusCode, modeler.Outcome(rs.Header.Get(modeler.HeaderOutcome)), string(text), err}
}

// load sends calls with unique keys to all live hosts for the duration and returns the answers by
// key.
func (fl *fleet) load(callers int, dur time.Duration) map[string]answer {
	var mu sync.Mutex
	answers := map[string]answer{}
	var wg sync.WaitGroup
	until := time.Now().Add(dur)
	fl.loads++
	round := fl.loads
	for num := range callers {
		wg.Go(func() {
			for seq := 0; time.Now().Before(until); seq++ {
				mb := fl.member((num + seq) % len(fl.cfg.Hosts))
				if mb.killed.Load() {
					time.Sleep(10 * time.Millisecond)
					continue
				}
				key := fmt.Sprintf("key-%d-%d-%d", round, num, seq)
				got := fl.call(mb, http.MethodPost, "/plans?RunTime=20ms", key, key)
				mu.Lock()
				answers[key] = got
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	return answers
}

// checkAnswers compares the answers with the executions on the runners and counts the outcomes.
func (fl *fleet) checkAnswers(answers map[string]answer) (counts map[modeler.Outcome]int) {
	fl.t.Helper()
	executed := fl.executions()
	counts = map[modeler.Outcome]int{}
	for key, got := range answers {
		counts[got.outcome]++
		if got.outcome == modeler.Unknown && counts[got.outcome] < 3 {
			fl.t.Logf("%s: %+v", key, got)
		}
		switch {
		case got.outcome == modeler.Answered && got.err == nil && got.status == http.StatusOK:
			qt.Check(fl.t, strings.HasSuffix(got.body, key), qt.IsTrue, qt.Commentf("answer to %s: %q", key, got.body))
			qt.Check(fl.t, executed[key], qt.Equals, 1, qt.Commentf("key %s was answered", key))
		case got.outcome == modeler.NotRun:
			qt.Check(fl.t, executed[key], qt.Equals, 0, qt.Commentf("key %s was said not to have run", key))
		}
	}
	return counts
}
