package tracker_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/netip"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cespare/xxhash/v2"
	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"
	"google.golang.org/protobuf/proto"

	"github.com/currantrouter/currantrouter/internal/cluster/messenger"
	"github.com/currantrouter/currantrouter/internal/cluster/tracker"
	"github.com/currantrouter/currantrouter/internal/fleet/modeler"
	"github.com/currantrouter/currantrouter/internal/telemetry/meter"
)

// Guards against gossip traffic above its budget at the planned rate of changes, against live hosts
// that are not seen as alive because gossip is too slow, and against a change that takes longer to
// reach all hosts than the limit, 13 s at the planned size, when only one data centre reaches the
// store.
func TestScale(t *testing.T) {
	const budget, changes, interval = 4 << 10, 4, 24 * time.Hour / 15_000
	for _, tc := range []struct {
		name       string
		hosts, dcs int
		limit      time.Duration
	}{
		{"8 hosts in 4 data centres", 8, 4, 2 * time.Second},
		{"9 hosts in 3 data centres", 9, 3, 2 * time.Second},
		{"100 hosts in 11 data centres", 100, 11, 13 * time.Second},
	} {
		t.Run(tc.name, func(t *testing.T) {
			simulate(t, tc.hosts, tc.dcs, func(t *testing.T, nw *network) {
				nw.addRunners(50 * tc.dcs)
				nw.putRevision(2)
				time.Sleep(20 * time.Second)
				before, spent := nw.peerBytes(), processorTime()
				notAlive, rev := 0, modeler.Revision(2)
				for range changes {
					rev++
					nw.cfg.Runners[int(rev)*37%len(nw.cfg.Runners)].Slots++
					nw.putRevision(rev)
					time.Sleep(interval)
					notAlive += nw.countNotAlive()
				}
				var total, greatest int64
				for name, num := range nw.peerBytes() {
					rate := int64(float64(num-before[name]) / (changes * interval.Seconds()))
					total += rate
					greatest = max(greatest, rate)
				}
				t.Logf("sent plus received per host: mean %d bytes/s, greatest %d bytes/s", total/int64(tc.hosts), greatest)
				spent = (processorTime() - spent) / time.Duration(tc.hosts)
				t.Logf("processor time per host: %.2f ms/s", spent.Seconds()*1000/(changes*interval.Seconds()))
				qt.Check(t, greatest < budget, qt.IsTrue)
				qt.Check(t, notAlive, qt.Equals, 0)
				for num := range nw.cfg.Hosts {
					nw.node(num).storeOffline.Store(num%tc.dcs != 0)
				}
				// propagate changes a runner and checks the time until all hosts have the change.
				propagate := func() {
					rev++
					nw.cfg.Runners[0].Slots++
					nw.putRevision(rev)
					took := nw.awaitRevision(rev, time.Minute, nw.hostNumbers()...)
					t.Logf("in force after %v", took)
					qt.Check(t, took <= tc.limit, qt.IsTrue)
				}
				propagate()
				if tc.hosts < 100 {
					return
				}
				// About half of all pairs of hosts can't reach each other.
				nw.setPartition(func(a, b modeler.HostName) bool {
					return xxhash.Sum64String(string(min(a, b)+max(a, b)))%2 == 0
				})
				propagate()
			})
		})
	}
}

// processorTime returns the CPU time of this process, which includes the simulated network.
func processorTime() time.Duration {
	var ru syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &ru) != nil {
		return 0
	}
	return time.Duration(ru.Utime.Nano() + ru.Stime.Nano())
}

// countNotAlive returns the number of peers that are not Alive, summed over the views of all hosts.
func (nw *network) countNotAlive() int {
	num := 0
	for _, nd := range nw.nodes {
		for _, pr := range nd.Peers() {
			if pr.Health != tracker.Alive {
				num++
			}
		}
	}
	return num
}

func (nw *network) peerBytes() map[modeler.HostName]int64 {
	sums := map[modeler.HostName]int64{}
	for _, nd := range nw.nodes {
		sums[nd.host.Name] = nd.reg.Value(meter.PeerBytesSent) + nd.reg.Value(meter.PeerBytesReceived)
	}
	return sums
}

// Guards against a host that learns of a change late because it waits for its turn with the only host that it reaches,
// in another data centre, while its other heartbeats fail.
func TestHostThatReachesOneOther(t *testing.T) {
	const limit, cut = 2 * time.Second, 8
	for _, reached := range []int{0, 1, 3, 4, 6, 7} {
		t.Run(fmt.Sprint("host ", reached), func(t *testing.T) {
			simulate(t, 9, 3, func(t *testing.T, nw *network) {
				time.Sleep(20 * time.Second)
				nw.node(cut).storeOffline.Store(true)
				nw.setPartition(func(a, b modeler.HostName) bool {
					return max(a, b) == nw.cfg.Hosts[cut].Name && min(a, b) != nw.cfg.Hosts[reached].Name
				})
				time.Sleep(20 * time.Second)
				for rev := modeler.Revision(2); rev < 6; rev++ {
					nw.putRevision(rev)
					took := nw.awaitRevision(rev, time.Minute, nw.hostNumbers()...)
					t.Logf("in force after %v", took)
					qt.Check(t, took <= limit, qt.IsTrue)
					time.Sleep(5300 * time.Millisecond)
				}
			})
		})
	}
}

// Guards against fetches from hosts that only others reach, while the sender of the message has the same revision.
func TestReportedRevisions(t *testing.T) {
	hosts := []modeler.Host{{Name: "sender", DataCentre: "d0", Peer: netip.MustParseAddrPort("127.0.0.1:1")}, {Name: "relayed", DataCentre: "d0", Peer: netip.MustParseAddrPort("127.0.0.1:2")}}
	for name, tc := range map[string]struct {
		relayed int64
		want    []string
	}{
		"lower":  {4, []string{"127.0.0.1:1 has 5"}},
		"same":   {5, []string{"127.0.0.1:1 has 5"}},
		"higher": {6, []string{"127.0.0.1:1 has 5", "127.0.0.1:2 has 6"}},
	} {
		t.Run(name, func(t *testing.T) {
			var got []string
			trk := tracker.New(tracker.Options{
				Self: modeler.Host{Name: "self", DataCentre: "d0"}, Boot: "boot", BootStarted: time.Now(), Log: logr.Discard(), Meter: meter.New(nil),
				OnRevision: func(addr netip.AddrPort, rev modeler.Revision) { got = append(got, fmt.Sprint(addr, " has ", rev)) },
			})
			trk.SetHosts(hosts)
			digest := func(host string, rev int64) *messenger.HostDigest {
				return &messenger.HostDigest{Host: host, DataCentre: "d0", Boot: "boot", BootStartedMillis: 1, Sequence: 1, Revision: rev}
			}
			req := &messenger.ExchangeRequest{Sender: digest("sender", 5), Others: []*messenger.HostDigest{digest("relayed", tc.relayed)}}
			_, err := tracker.NewServer(trk, nil, nil).Exchange(t.Context(), req)
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, got, qt.DeepEquals, tc.want)
		})
	}
}

// Guards against a change that takes longer than 2 s to reach the connected ones of 8 hosts while
// one host is paused, one is cut off and one restarts without the store, or longer than 2 s to
// reach the other two after they are back.
func TestPropagation(t *testing.T) {
	const limit = 2 * time.Second
	simulate(t, 8, 4, func(t *testing.T, nw *network) {
		time.Sleep(20 * time.Second)
		paused, restarted, cut := 1, 2, 7
		nw.isolate(paused, cut)
		time.Sleep(10 * time.Second)
		nw.node(restarted).stop()
		time.Sleep(time.Second)
		nw.start(restarted, true)
		nw.putRevision(2)
		took := nw.awaitRevision(2, 30*time.Second, nw.hostNumbers(paused, cut)...)
		t.Logf("in force at the 6 connected hosts after %v", took)
		qt.Check(t, took <= limit, qt.IsTrue)
		nw.isolate()
		took = nw.awaitRevision(2, 30*time.Second, nw.hostNumbers()...)
		t.Logf("in force at the paused and the cut off host %v after they are back", took)
		qt.Check(t, took <= limit, qt.IsTrue)
	})
}

// Guards against a data centre that keeps an old revision or outdated states of its peers after a
// partition from the other data centres and the store.
func TestPartition(t *testing.T) {
	simulate(t, 8, 4, func(t *testing.T, nw *network) {
		time.Sleep(20 * time.Second)
		side := map[modeler.HostName]bool{"h00": true, "h04": true}
		nw.setPartition(func(a, b modeler.HostName) bool { return side[a] != side[b] })
		nw.node(0).storeOffline.Store(true)
		nw.node(4).storeOffline.Store(true)
		nw.putRevision(2)
		time.Sleep(5 * time.Minute)
		nw.node(0).assertHealth(4, tracker.Alive)
		nw.node(0).assertHealth(1, tracker.Dead)
		nw.node(1).assertHealth(4, tracker.Dead)
		_, rev := nw.node(0).dst.Document()
		qt.Check(t, rev, qt.Equals, modeler.Revision(1))
		nw.setPartition(func(_, _ modeler.HostName) bool { return false })
		took := nw.awaitRevision(2, time.Minute, nw.hostNumbers()...)
		t.Logf("in force %v after the end of the partition", took)
		// A host probes one dead host every 3 heartbeats.
		qt.Check(t, took <= 4*time.Second, qt.IsTrue)
		time.Sleep(10 * time.Second)
		qt.Check(t, nw.countNotAlive(), qt.Equals, 0)
	})
}

// Guards against silent, leaving and restarted hosts that are detected too late or too early.
func TestHealth(t *testing.T) {
	simulate(t, 9, 3, func(t *testing.T, nw *network) {
		time.Sleep(20 * time.Second)
		// Hosts 0, 3 and 6 share a data centre; host 1 is in another one.
		observer, victim, remote := nw.node(0), 3, nw.node(1)
		nw.isolate(victim)
		time.Sleep(2 * time.Second)
		observer.assertHealth(victim, tracker.Alive)
		time.Sleep(2500 * time.Millisecond)
		observer.assertHealth(victim, tracker.Suspect)
		time.Sleep(1500 * time.Millisecond)
		observer.assertHealth(victim, tracker.Dead)
		remote.assertHealth(victim, tracker.Alive)
		time.Sleep(12 * time.Second)
		remote.assertHealth(victim, tracker.Suspect)
		nw.isolate()
		time.Sleep(4 * time.Second)
		observer.assertHealth(victim, tracker.Alive)
		remote.assertHealth(victim, tracker.Alive)

		nw.node(victim).SetLeaving()
		time.Sleep(100 * time.Millisecond)
		qt.Check(t, observer.peer(victim).Leaving, qt.IsTrue)
		old := observer.peer(victim).Boot
		nw.node(victim).stop()
		nw.start(victim, false)
		time.Sleep(3 * time.Second)
		got := observer.peer(victim)
		qt.Check(t, got.Leaving, qt.IsFalse)
		qt.Check(t, got.PreviousBoot, qt.Equals, old)
		qt.Check(t, got.PreviousHourCounts, qt.HasLen, 1)
	})
}

// Guards against heartbeats that stop when existing connections lose their state in the network but
// new ones work.
func TestSilentConnections(t *testing.T) {
	simulate(t, 8, 4, func(t *testing.T, nw *network) {
		time.Sleep(20 * time.Second)
		for range 2 {
			nw.mu.Lock()
			nw.lastBrokenSerial = nw.opened
			nw.mu.Unlock()
			for range 10 {
				time.Sleep(time.Second)
				qt.Check(t, nw.countNotAlive(), qt.Equals, 0)
			}
		}
		qt.Check(t, nw.node(0).reg.Value(meter.PeerConnectionsReplaced) >= 2, qt.IsTrue)
	})
}

// Guards against a restarted host that peers ignore because the clock of its previous process was
// ahead, and against two processes of one host that both take new work.
func TestOwnName(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		replaced := make(chan struct{})
		newTracker := func(name modeler.HostName, started time.Time) *tracker.Tracker {
			return tracker.New(tracker.Options{
				Self: modeler.Host{Name: name, DataCentre: "d0"}, Boot: modeler.BootID("boot-" + started.String()),
				BootStarted: started, Log: logr.Discard(), Meter: meter.New(nil), OnReplaced: func() { close(replaced) },
			})
		}
		other := newTracker("other", time.Now())
		srv := tracker.NewServer(other, nil, nil)
		ahead := time.Now().Add(24 * time.Hour)
		digest := func(started time.Time) *messenger.HostDigest {
			return &messenger.HostDigest{
				Host: "host", DataCentre: "d0", Boot: "boot-" + started.String(), BootStartedMillis: started.UnixMilli(), Sequence: 1,
			}
		}
		_, err := srv.Exchange(t.Context(), &messenger.ExchangeRequest{Sender: digest(ahead)})
		qt.Assert(t, err, qt.IsNil)
		rsp, err := srv.Exchange(t.Context(), &messenger.ExchangeRequest{Sender: digest(time.Now())})
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, rsp.GetOthers(), qt.HasLen, 1)

		host := newTracker("host", time.Now())
		own := tracker.NewServer(host, nil, nil)
		exchange := func(others ...*messenger.HostDigest) {
			sender := digest(time.Now())
			sender.Host = "other"
			_, err := own.Exchange(t.Context(), &messenger.ExchangeRequest{Sender: sender, Others: others})
			qt.Assert(t, err, qt.IsNil)
		}
		exchange(rsp.GetOthers()...)
		host.SetSettledRevision(1)
		qt.Check(t, host.Self().BootStarted.After(ahead), qt.IsTrue)
		time.Sleep(time.Minute)
		exchange(digest(ahead))
		select {
		case <-replaced:
			t.Fatal("the previous process is taken for a newer one")
		default:
		}
		exchange(digest(ahead.Add(time.Hour)))
		<-replaced
	})
}

// term is a term of leadership in a fake journal.
type term struct {
	epoch   modeler.Epoch
	deposed chan struct{}
}

func (trm *term) Epoch() modeler.Epoch     { return trm.epoch }
func (trm *term) Deposed() <-chan struct{} { return trm.deposed }

// election is the fake journal of one data centre. It never signals a leader that it is deposed.
type election struct {
	mu    sync.Mutex
	epoch modeler.Epoch
	// lastTakeover is the time at which a host last opened the journal.
	lastTakeover time.Time
	// failingHost is a host for which opening the journal fails.
	failingHost modeler.HostName
	leading     map[modeler.HostName]modeler.Epoch
}

// runCandidate runs a candidate on a host until the host stops.
func (el *election) runCandidate(nd *node) {
	ctx, cancel := context.WithCancel(context.Background())
	stop := nd.stop
	nd.stop = func() {
		cancel()
		stop()
	}
	name := nd.host.Name
	cnd := tracker.NewCandidate(tracker.CandidateOptions{
		Tracker: nd.Tracker,
		Open: func(context.Context) (tracker.Term, error) {
			el.mu.Lock()
			defer el.mu.Unlock()
			if el.failingHost == name {
				return nil, errors.New("store unavailable")
			}
			el.epoch++
			el.lastTakeover = time.Now()
			return &term{el.epoch, make(chan struct{})}, nil
		},
		Lead: func(ctx context.Context, trm tracker.Term) {
			el.setLeading(name, trm.Epoch())
			<-ctx.Done()
			el.setLeading(name, 0)
		},
	})
	go cnd.Run(ctx)
}

func (el *election) setLeading(name modeler.HostName, epoch modeler.Epoch) {
	el.mu.Lock()
	defer el.mu.Unlock()
	el.leading[name] = epoch
}

func (el *election) setFailingHost(name modeler.HostName) {
	el.mu.Lock()
	defer el.mu.Unlock()
	el.failingHost = name
}

// sinceLastTakeover returns the time from begin to the last takeover.
func (el *election) sinceLastTakeover(begin time.Time) time.Duration {
	el.mu.Lock()
	defer el.mu.Unlock()
	return el.lastTakeover.Sub(begin)
}

// leaders returns the hosts that currently act as leaders, and the last epoch.
func (el *election) leaders() (names []modeler.HostName, last modeler.Epoch) {
	el.mu.Lock()
	defer el.mu.Unlock()
	for name, epoch := range el.leading {
		if epoch > 0 {
			names = append(names, name)
		}
	}
	return names, el.epoch
}

// Guards against a data centre that stays without a leader or with two leaders, and against
// takeovers while the leader is alive.
func TestLeadership(t *testing.T) {
	simulate(t, 9, 3, func(t *testing.T, nw *network) {
		el := &election{leading: map[modeler.HostName]modeler.Epoch{}}
		members := []int{0, 3, 6}
		number := map[modeler.HostName]int{}
		for _, num := range members {
			el.runCandidate(nw.node(num))
			number[nw.cfg.Hosts[num].Name] = num
		}
		// assertLeader checks that exactly one host leads and that all observers know it, and
		// returns its number.
		assertLeader := func(epoch modeler.Epoch, observers ...int) int {
			t.Helper()
			names, last := el.leaders()
			qt.Assert(t, names, qt.HasLen, 1)
			qt.Assert(t, last, qt.Equals, epoch)
			for _, num := range observers {
				ldr, ok := nw.node(num).Leader("d0")
				qt.Check(t, ok, qt.IsTrue)
				qt.Check(t, ldr.Host, qt.Equals, names[0], qt.Commentf("at host %d", num))
			}
			return number[names[0]]
		}
		time.Sleep(30 * time.Second)
		first := assertLeader(1, nw.hostNumbers()...)
		time.Sleep(2 * time.Minute)
		assertLeader(1, nw.hostNumbers()...)

		// An isolated leader is replaced after 5 to 6 s of silence and steps down when it is back.
		nw.isolate(first)
		begin := time.Now()
		time.Sleep(15 * time.Second)
		silence := el.sinceLastTakeover(begin)
		t.Logf("takeover %v after the last heartbeat could be sent", silence)
		qt.Check(t, silence >= 4*time.Second && silence <= 6500*time.Millisecond, qt.IsTrue)
		second, _ := el.leaders()
		qt.Check(t, second, qt.HasLen, 2)
		nw.isolate()
		time.Sleep(5 * time.Second)
		next := assertLeader(2, nw.hostNumbers()...)
		qt.Check(t, next == first, qt.IsFalse)

		// A leaving leader is replaced without waiting for the leader timeout.
		nw.node(next).SetLeaving()
		begin = time.Now()
		time.Sleep(5 * time.Second)
		third := assertLeader(3, nw.hostNumbers(next)...)
		qt.Check(t, el.sinceLastTakeover(begin) <= 2*time.Second, qt.IsTrue)

		// The next host by rank takes over when the first can't reach the store.
		for _, num := range members {
			if num != next && num != third {
				el.setFailingHost(nw.cfg.Hosts[num].Name)
			}
		}
		nw.node(third).stop()
		nw.start(third, false)
		el.runCandidate(nw.node(third))
		time.Sleep(20 * time.Second)
		assertLeader(4, nw.hostNumbers(next)...)
	})
}

// Guards against panics and unbounded memory from malformed messages of peers.
func FuzzDigest(f *testing.F) {
	seed, err := proto.Marshal(&messenger.ExchangeRequest{
		Sender: &messenger.HostDigest{Host: "h01", DataCentre: "d0", Boot: "b", BootStartedMillis: 1, Sequence: 1},
		Others: []*messenger.HostDigest{{Host: "h00", DataCentre: "d0", Boot: "x", BootStartedMillis: 1 << 60}, {Host: "é"}},
		Ages:   []byte{0, 201}, AgeHosts: 1,
	})
	qt.Assert(f, err, qt.IsNil)
	f.Add(seed)
	f.Add(bytes.Repeat([]byte{0x12, 0}, 2000))
	trk := tracker.New(tracker.Options{
		Self: modeler.Host{Name: "h00", DataCentre: "d0"}, Boot: "own", BootStarted: time.Now(), Log: logr.Discard(), Meter: meter.New(nil),
	})
	trk.SetHosts([]modeler.Host{{Name: "h00"}, {Name: "h01", DataCentre: "d0", Peer: netip.MustParseAddrPort("127.0.0.1:1")}})
	srv := tracker.NewServer(trk, nil, nil)
	f.Fuzz(func(t *testing.T, raw []byte) {
		req := new(messenger.ExchangeRequest)
		if proto.Unmarshal(raw, req) != nil {
			return
		}
		_, _ = srv.Exchange(t.Context(), req)
		qt.Assert(t, len(trk.Peers()) <= 1024, qt.IsTrue)
		for _, pr := range trk.Peers() {
			qt.Assert(t, modeler.ValidName(string(pr.Host)), qt.IsTrue)
			qt.Assert(t, pr.LastHeartbeat.After(time.Now()), qt.IsFalse)
		}
	})
}
