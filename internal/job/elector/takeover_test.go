package elector_test

import (
	"fmt"
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
