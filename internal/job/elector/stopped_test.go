package elector_test

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/currantrouter/currantrouter/internal/cluster/messenger"
	fleet "github.com/currantrouter/currantrouter/internal/fleet/modeler"
	"github.com/currantrouter/currantrouter/internal/job/elector"
	"github.com/currantrouter/currantrouter/internal/job/modeler"
)

// Guards against a task that runs twice, as a leader that still sends requests to workers is taken for stopped
// and its leases for shorter than they are.
func TestHasStopped(t *testing.T) {
	const host, epoch = "host-7", modeler.Epoch(6)
	leads := reportOf(host, "b", epoch, host, "b")
	leads.Silence = 0
	for name, test := range map[string]struct {
		messages []*messenger.Greeting
		stopped  bool
	}{
		"leads":                              {[]*messenger.Greeting{leads}, false},
		"does not lead and knows no later":   {[]*messenger.Greeting{leads, reportOf(host, "b", epoch, host, "b")}, false},
		"knows a later leader":               {[]*messenger.Greeting{leads, reportOf(host, "b", epoch+1, "host-8", "c")}, true},
		"later process":                      {[]*messenger.Greeting{leads, reportOf(host, "c", epoch, host, "b")}, true},
		"later process that knows no leader": {[]*messenger.Greeting{leads, {Host: host, Boot: "c", Address: "10.0.0.8:80", Weight: 100}}, false},
		"late message of an earlier process": {[]*messenger.Greeting{leads, reportOf(host, "a", epoch-1, "host-8", "c")}, false},
	} {
		t.Run(name, func(t *testing.T) {
			withCluster(t, 1, func(cl *cluster, _ int) {
				el := cl.hosts[0].elector
				for _, gr := range test.messages {
					el.HandleGreeting(gr)
				}
				qt.Check(t, el.HasStopped(host, "b", epoch+1), qt.Equals, test.stopped)
			})
		})
	}
	t.Run("late record of an earlier process", func(t *testing.T) {
		withCluster(t, 1, func(cl *cluster, _ int) {
			el := cl.hosts[0].elector
			el.HandleGreeting(leads)
			value, err := json.Marshal(elector.Member{Host: host, Boot: "a", Address: address(7), Weight: 100})
			qt.Assert(t, err, qt.IsNil)
			_, err = cl.store.Put(cl.t.Context(), "Member/"+host, value, 0)
			qt.Assert(t, err, qt.IsNil)
			time.Sleep(4 * time.Second)
			qt.Check(t, el.HasStopped(host, "b", epoch+1), qt.IsFalse)
		})
	})
	t.Run("resigned", func(t *testing.T) {
		withCluster(t, 1, func(cl *cluster, _ int) {
			el := cl.hosts[0].elector
			el.HandleGreeting(leads)
			qt.Check(t, el.HandleResignation(cl.t.Context(), reportOf(host, "b", epoch, host, "b")), qt.ErrorIs, elector.ErrNotTakenOver)
			qt.Check(t, el.HasStopped(host, "b", epoch+1), qt.IsTrue)
		})
	})
}

// Guards against a leader that is taken to have stopped earlier than it did, and against one whose end is known later than
// its host's later process can tell.
func TestStoppedAt(t *testing.T) {
	const host, epoch = "host-7", modeler.Epoch(6)
	leads := reportOf(host, "b", epoch, host, "b")
	leads.Silence = 0
	for name, test := range map[string]struct {
		uptime, age time.Duration
	}{
		"uptime by a fast clock":                {500 * time.Millisecond, 490 * time.Millisecond},
		"earlier version":                       {0, 0},
		"up for longer than the leader is gone": {time.Minute, time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			withCluster(t, 1, func(cl *cluster, _ int) {
				el := cl.hosts[0].elector
				el.HandleGreeting(leads)
				time.Sleep(time.Second)
				_, stopped := el.StoppedAt(host, "b", epoch+1)
				qt.Check(t, stopped, qt.IsFalse)
				next := reportOf(host, "c", epoch, host, "b")
				next.Uptime = test.uptime.Milliseconds()
				el.HandleGreeting(next)
				at, stopped := el.StoppedAt(host, "b", epoch+1)
				qt.Check(t, stopped, qt.IsTrue)
				qt.Check(t, time.Since(at), qt.Equals, test.age)
				// A later message that was longer under way tells nothing new.
				time.Sleep(100 * time.Millisecond)
				el.HandleGreeting(next)
				again, _ := el.StoppedAt(host, "b", epoch+1)
				qt.Check(t, again, qt.Equals, at)
			})
		})
	}
	for name, test := range map[string]struct {
		known, age time.Duration
	}{
		"deposed, by a fast clock":        {500 * time.Millisecond, 490 * time.Millisecond},
		"deposed before its last message": {time.Minute, time.Second},
		"deposed as it sends its message": {0, 0},
		"deposed, earlier version":        {-1, 0},
	} {
		t.Run(name, func(t *testing.T) {
			withCluster(t, 1, func(cl *cluster, _ int) {
				el := cl.hosts[0].elector
				el.HandleGreeting(leads)
				time.Sleep(time.Second)
				deposed := reportOf(host, "b", epoch+1, "host-8", "c")
				if test.known >= 0 {
					deposed.KnownEpochs = []*messenger.KnownEpoch{{Epoch: int64(epoch + 1), Age: test.known.Milliseconds()}}
				}
				el.HandleGreeting(deposed)
				at, stopped := el.StoppedAt(host, "b", epoch+1)
				qt.Check(t, stopped, qt.IsTrue)
				qt.Check(t, time.Since(at), qt.Equals, test.age)
				time.Sleep(100 * time.Millisecond)
				again, _ := el.StoppedAt(host, "b", epoch+1)
				qt.Check(t, again, qt.Equals, at)
			})
		})
	}
	t.Run("own earlier process", func(t *testing.T) {
		withCluster(t, 2, func(cl *cluster, leader int) {
			boot, epoch := cl.hosts[leader].boot, cl.hosts[leader].elector.Leader().Epoch
			cl.kill(leader)
			cl.start(leader)
			started := time.Now()
			time.Sleep(2 * time.Second)
			at, stopped := cl.hosts[leader].elector.StoppedAt(fleet.HostName(fmt.Sprint("host-", leader)), boot, epoch+1)
			qt.Check(t, stopped, qt.IsTrue)
			qt.Check(t, at, qt.Equals, started)
		})
	})
}

// Guards against the same while the leader's term ends, and against a leader that is not known to have stopped
// once it has.
func TestHasStoppedAtTermEnd(t *testing.T) {
	t.Run("deposed", func(t *testing.T) {
		withCluster(t, 5, func(cl *cluster, leader int) {
			cl.mu.Lock()
			cl.endTime = 3 * time.Second
			cl.mu.Unlock()
			boot, epoch := cl.hosts[leader].boot, cl.hosts[leader].elector.Leader().Epoch
			cl.cutHost(leader, cl.others(leader), true)
			cl.assertTakeover(leader, time.Now(), 4*time.Second)
			cl.cutHost(leader, cl.others(leader), false)
			cl.assertKnownStopped(leader, boot, epoch+1, 5*time.Second)
		})
	})
	t.Run("restarted", func(t *testing.T) {
		withCluster(t, 5, func(cl *cluster, leader int) {
			boot, epoch := cl.hosts[leader].boot, cl.hosts[leader].elector.Leader().Epoch
			cl.kill(leader)
			cl.start(leader)
			cl.assertTakeover(leader, time.Now(), 4*time.Second)
			cl.assertKnownStopped(leader, boot, epoch+1, 1500*time.Millisecond)
		})
	})
}
