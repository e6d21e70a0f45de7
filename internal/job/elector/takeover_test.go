package elector_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"

	"github.com/currantrouter/currantrouter/internal/cluster/messenger"
	fleet "github.com/currantrouter/currantrouter/internal/fleet/modeler"
	"github.com/currantrouter/currantrouter/internal/job/elector"
	"github.com/currantrouter/currantrouter/internal/job/modeler"
	"github.com/currantrouter/currantrouter/internal/state/journaler"
)

// reportOf returns the heartbeat of a process of host-N that knows an epoch and the host that leads it.
func reportOf(host, boot string, epoch modeler.Epoch, leader, leaderBoot string) *messenger.Greeting {
	return &messenger.Greeting{
		Host: host, Boot: boot, Address: "10.0.0.8:80", Weight: 100, Epoch: int64(epoch),
		Leader: leader, LeaderBoot: leaderBoot, LeaderAddress: "10.0.0.9:80", Silence: 1,
	}
}

// Guards against a host that deposes a leader which it has not heard of, and against one that can lead no
// more as the journal's last leader is gone.
func TestMayReplace(t *testing.T) {
	withElector := func(t *testing.T, test func(el *elector.Elector)) {
		t.Helper()
		withCluster(t, 1, func(cl *cluster, _ int) {
			cl.kill(0)
			el := elector.New(cl.hosts[0].options(elector.Member{Host: "host-0", Boot: "own", Address: address(0), Weight: 100}))
			test(el)
		})
	}
	t.Run("the epoch that it knows", func(t *testing.T) {
		withElector(t, func(el *elector.Elector) {
			qt.Check(t, el.MayReplace(0, "host-7", "a"), qt.IsTrue)
		})
	})
	t.Run("a later epoch of a process that it has heard of", func(t *testing.T) {
		withElector(t, func(el *elector.Elector) {
			el.HandleGreeting(&messenger.Greeting{Host: "host-7", Boot: "a", Address: "10.0.0.8:80", Weight: 100})
			qt.Check(t, el.MayReplace(3, "host-7", "a"), qt.IsFalse)
			qt.Check(t, el.Leader(), qt.Equals, elector.Leader{}, qt.Commentf("a leader that may not have begun its term is passed on"))
			qt.Check(t, el.LeaderKnownFor(3), qt.Equals, time.Duration(0))
		})
	})
	t.Run("a later epoch of a process from before the start", func(t *testing.T) {
		withElector(t, func(el *elector.Elector) {
			el.HandleGreeting(&messenger.Greeting{Host: "host-7", Boot: "b", Address: "10.0.0.8:80", Weight: 100})
			qt.Check(t, el.MayReplace(3, "host-7", "a"), qt.IsTrue)
		})
	})
	t.Run("an epoch of an earlier process of the host", func(t *testing.T) {
		withElector(t, func(el *elector.Elector) {
			qt.Check(t, el.MayReplace(3, "host-0", "earlier"), qt.IsTrue)
		})
	})
	t.Run("after it has heard of a leader", func(t *testing.T) {
		withElector(t, func(el *elector.Elector) {
			el.HandleGreeting(reportOf("host-7", "a", 4, "host-8", "c"))
			qt.Check(t, el.MayReplace(3, "host-7", "a"), qt.IsFalse)
			qt.Check(t, el.EpochBegun(3), qt.ErrorIs, elector.ErrLaterEpoch)
			qt.Check(t, el.Leader().Epoch, qt.Equals, modeler.Epoch(4))
		})
	})
	t.Run("while it drains", func(t *testing.T) {
		withElector(t, func(el *elector.Elector) {
			el.Drain()
			qt.Check(t, el.MayReplace(0, "host-7", "a"), qt.IsFalse)
		})
	})
}

// Guards against hosts that wait for good, or for much longer than for a leader that they know, for a host
// that has begun an epoch and ended before it made itself known.
func TestUnannouncedLeader(t *testing.T) {
	// Without a majority, hosts rely on the leaders' records in the store, first on that of the one that they
	// know and then on that of the other.
	for count, within := range map[int]time.Duration{3: 7 * time.Second, 5: 5 * time.Second, 7: 5 * time.Second} {
		t.Run(fmt.Sprint(count, " hosts"), func(t *testing.T) {
			withCluster(t, count, func(cl *cluster, leader int) {
				next := cl.others(leader)[0]
				boot := cl.hosts[next].boot
				since := time.Now()
				cl.kill(leader)
				cl.kill(next)
				jn, rec, err := journaler.Open(cl.t.Context(), cl.store, "jobs", fleet.HostName(fmt.Sprint("host-", next)), boot, journaler.Options{Logger: logr.Discard()})
				qt.Assert(t, err, qt.IsNil)
				jn.Close()
				cl.assertTakeover(leader, since, within)
				time.Sleep(time.Second)
				qt.Check(t, cl.hosts[cl.assertLeader()].elector.Leader().Epoch, qt.Equals, modeler.Epoch(rec.Epoch+1))
			})
		})
	}
}

// successor returns the host that the leader asks first to take over.
func (cl *cluster) successor(leader int) int {
	cl.t.Helper()
	addrs := cl.hosts[leader].elector.Successors()
	qt.Assert(cl.t, len(addrs) > 0, qt.IsTrue)
	return slices.IndexFunc(cl.hosts, func(ho *host) bool { return address(ho.ix) == addrs[0] })
}

// Guards against a time without a leader that is as long as after a kill, where the successor that a leader
// asks first does not take over.
func TestResign(t *testing.T) {
	for name, disturb := range map[string]func(cl *cluster, leader, next int){
		"successor takes over":                   func(*cluster, int, int) {},
		"successor drains":                       func(cl *cluster, _, next int) { cl.hosts[next].elector.Drain() },
		"successor has ended":                    func(cl *cluster, _, next int) { cl.kill(next) },
		"successor is cut off":                   func(cl *cluster, _, next int) { cl.cutHost(next, cl.others(next), true) },
		"successor does not reach the store":     func(cl *cluster, _, next int) { cl.cutFromStore(next, true) },
		"successor does not hear of the request": func(cl *cluster, leader, next int) { cl.cutHost(next, []int{leader}, true) },
	} {
		t.Run(name, func(t *testing.T) {
			withCluster(t, 7, func(cl *cluster, leader int) {
				before := cl.terms()
				disturb(cl, leader, cl.successor(leader))
				since := time.Now()
				go cl.hosts[leader].elector.Drain()
				cl.assertTakeover(leader, since, time.Second)
				time.Sleep(3 * time.Second)
				cl.assertLeader()
				qt.Check(t, cl.terms()-before, qt.Equals, 1)
			})
		})
	}
}

// Guards against an epoch that begins as its host stops and that no other host takes over.
func TestDrainWhileBeginning(t *testing.T) {
	for delay := 10 * time.Millisecond; delay <= 200*time.Millisecond; delay += 10 * time.Millisecond {
		t.Run(fmt.Sprint(delay), func(t *testing.T) {
			withCluster(t, 7, func(cl *cluster, leader int) {
				next := cl.successor(leader)
				cl.mu.Lock()
				cl.slow = true
				cl.mu.Unlock()
				go cl.hosts[leader].elector.Drain()
				time.Sleep(delay)
				since := time.Now()
				go cl.hosts[next].elector.Drain()
				for taken := false; !taken; {
					qt.Assert(t, time.Since(since) < 1500*time.Millisecond, qt.IsTrue, qt.Commentf("no leader"))
					time.Sleep(10 * time.Millisecond)
					for _, ix := range cl.leaders() {
						taken = taken || ix != leader && ix != next
					}
				}
				t.Logf("another host leads after %s", time.Since(since))
				time.Sleep(2 * time.Second)
				cl.assertLeader()
			})
		})
	}
}

// Guards against the same where the host has been in contact with no host but one that cannot take over.
func TestDrainBesideUselessSuccessor(t *testing.T) {
	for name, choose := range map[string]func(cl *cluster, leader, next int) int{
		"late message of the former leader": func(_ *cluster, leader, _ int) int { return leader },
		"host without the store": func(cl *cluster, leader, next int) int {
			ix := slices.IndexFunc(cl.hosts, func(ho *host) bool { return ho.ix != leader && ho.ix != next })
			cl.cutFromStore(ix, true)
			return ix
		},
	} {
		t.Run(name, func(t *testing.T) {
			withCluster(t, 7, func(cl *cluster, leader int) {
				next := cl.successor(leader)
				useless := choose(cl, leader, next)
				time.Sleep(2 * time.Second)
				cl.mu.Lock()
				cl.slow = true
				late := reportOf(fmt.Sprint("host-", useless), string(cl.hosts[useless].boot), 1, fmt.Sprint("host-", leader), string(cl.hosts[leader].boot))
				cl.mu.Unlock()
				late.Address, late.LeaderAddress = address(useless).String(), address(leader).String()
				go cl.hosts[leader].elector.Drain()
				time.Sleep(100 * time.Millisecond)
				cl.hosts[next].elector.HandleGreeting(late)
				since := time.Now()
				go cl.hosts[next].elector.Drain()
				for !slices.ContainsFunc(cl.leaders(), func(ix int) bool { return ix != leader && ix != next }) {
					qt.Assert(t, time.Since(since) < time.Second, qt.IsTrue, qt.Commentf("no leader"))
					time.Sleep(10 * time.Millisecond)
				}
				t.Logf("another host leads after %s", time.Since(since))
			})
		})
	}
}
