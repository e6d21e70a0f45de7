package elector_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/currantrouter/currantrouter/internal/cluster/messenger"
	fleet "github.com/currantrouter/currantrouter/internal/fleet/modeler"
	"github.com/currantrouter/currantrouter/internal/job/elector"
	"github.com/currantrouter/currantrouter/internal/job/modeler"
)

// assertPrecludedSince checks since when, within a tolerance for the clocks, the leader knows that the leaders before an
// epoch have no quorum.
func (cl *cluster) assertPrecludedSince(leader int, epoch modeler.Epoch, since time.Time, tolerance time.Duration) {
	cl.t.Helper()
	at, ok := cl.hosts[leader].elector.PrecludesQuorumSince(epoch)
	qt.Assert(cl.t, ok, qt.IsTrue, qt.Commentf("epoch %d", epoch))
	late := at.Sub(since)
	qt.Check(cl.t, late >= 0 && late <= tolerance, qt.IsTrue, qt.Commentf("epoch %d, late by %v", epoch, late))
}

// voters returns the first processes of hosts.
func (cl *cluster) voters(hosts []int) []modeler.Voter {
	var list []modeler.Voter
	for _, ix := range hosts {
		list = append(list, modeler.Voter{Host: fleet.HostName(fmt.Sprint("host-", ix)), Boot: cl.hosts[ix].boot})
	}
	return list
}

// Guards against a leader that does not know when leaders before the last one lost their quorum, and against one that takes
// it for lost too early.
func TestPrecludesQuorumSince(t *testing.T) {
	for _, tc := range []struct {
		name  string
		ended int
	}{
		{"most hosts run", 0},
		// Without the last leader, less than half of the hosts have reported its epoch.
		{"most hosts have ended", 2},
	} {
		t.Run(tc.name, func(t *testing.T) {
			withCluster(t, 6, func(cl *cluster, first int) {
				cl.refuseConnections()
				epoch := cl.hosts[first].elector.Leader().Epoch
				for _, ix := range cl.others(first)[:tc.ended] {
					cl.kill(ix)
				}
				cl.kill(first)
				cl.assertTakeover(first, time.Now(), time.Second)
				second, secondAt := cl.assertLeader(), time.Now()
				time.Sleep(500 * time.Millisecond)
				el := cl.hosts[second].elector
				recent, all := el.Electorate(secondAt.Add(-time.Second), modeler.Electorate{}), everyHost(el)
				qt.Check(t, recent.Voters, qt.HasLen, 4-tc.ended)
				all.Voters = cl.voters(cl.others(second))
				cl.kill(second)
				cl.assertTakeover(second, time.Now(), time.Second)
				third, thirdAt := cl.assertLeader(), time.Now()
				time.Sleep(2 * time.Second)
				cl.assertPrecludedSince(third, epoch+1, secondAt.Add(-10*time.Millisecond), 100*time.Millisecond)
				if tc.ended == 0 {
					cl.assertPrecludedSince(third, epoch+2, thirdAt.Add(-10*time.Millisecond), 100*time.Millisecond)
				}
				_, ok := cl.hosts[third].elector.PrecludesQuorumSince(epoch + 2)
				qt.Check(t, ok, qt.Equals, tc.ended == 0)
				at, ok := cl.hosts[third].elector.QuorumLostAt(epoch+1, recent)
				qt.Check(t, ok, qt.IsTrue)
				qt.Check(t, at.Sub(thirdAt) >= -10*time.Millisecond && at.Sub(thirdAt) <= 100*time.Millisecond, qt.IsTrue)
				_, ok = cl.hosts[third].elector.QuorumLostAt(epoch+1, all)
				qt.Check(t, ok, qt.Equals, tc.ended == 0)
				_, ok = cl.hosts[third].elector.PrecludesQuorumSince(epoch + 3)
				qt.Check(t, ok, qt.IsFalse)
			})
		})
	}
}

// Guards against a minority that takes the leaders before its epoch for deposed, and against a time that a message gives before
// the one in which its sender did not know the epoch.
func TestPrecludesQuorumTooEarly(t *testing.T) {
	t.Run("minority", func(t *testing.T) {
		withCluster(t, 5, func(cl *cluster, leader int) {
			others, epoch := cl.others(leader), cl.hosts[leader].elector.Leader().Epoch
			side, all := []int{leader, others[0], others[1]}, everyHost(cl.hosts[leader].elector)
			cl.separate(side)
			for _, ix := range side {
				cl.cutFromStore(ix, true)
			}
			time.Sleep(5 * time.Second)
			for _, ix := range others[2:] {
				_, ok := cl.hosts[ix].elector.PrecludesQuorumSince(epoch + 1)
				qt.Check(t, ok, qt.IsFalse)
				_, ok = cl.hosts[ix].elector.QuorumLostAt(epoch, all)
				qt.Check(t, ok, qt.IsFalse)
			}
		})
	})
	t.Run("known for longer than since the last message without it", func(t *testing.T) {
		withCluster(t, 3, func(cl *cluster, _ int) {
			for ix := range cl.hosts {
				cl.kill(ix)
			}
			cl.mu.Lock()
			cl.hosts[0].down = false
			cl.mu.Unlock()
			el := elector.New(cl.hosts[0].options(elector.Member{Host: "host-0", Boot: "own", Address: address(0), Weight: 100}))
			qt.Assert(t, el.EpochBegun(5), qt.IsNil)
			time.Sleep(10 * time.Millisecond)
			el.HandleGreeting(reportOf("host-1", "b", 4, "host-2", "c"))
			unaware := time.Now()
			time.Sleep(time.Second)
			gr := reportOf("host-1", "b", 5, "host-0", "own")
			gr.KnownEpochs = []*messenger.KnownEpoch{{Epoch: 5, Age: time.Minute.Milliseconds()}}
			el.HandleGreeting(gr)
			at, ok := el.PrecludesQuorumSince(5)
			qt.Check(t, ok, qt.IsTrue)
			qt.Check(t, at, qt.Equals, unaware)
		})
	})
	t.Run("leader whose term ends", func(t *testing.T) {
		withCluster(t, 2, func(cl *cluster, leader int) {
			const endTime = 3 * time.Second
			cl.mu.Lock()
			cl.endTime = endTime
			cl.mu.Unlock()
			el := cl.hosts[leader].elector
			epoch := el.Leader().Epoch
			later := reportOf("host-7", "b", epoch+1, "host-7", "b")
			deposed := time.Now()
			reply := el.HandleGreeting(later)
			for ; reply.Epoch == int64(epoch); reply = el.HandleGreeting(later) {
				for _, ke := range reply.KnownEpochs {
					qt.Assert(t, ke.Epoch <= int64(epoch), qt.IsTrue)
				}
				time.Sleep(100 * time.Millisecond)
			}
			last := reply.KnownEpochs[len(reply.KnownEpochs)-1]
			qt.Check(t, last.Epoch, qt.Equals, int64(epoch+1))
			qt.Check(t, time.Duration(last.Age)*time.Millisecond <= time.Since(deposed)-endTime, qt.IsTrue, qt.Commentf("known for %d ms", last.Age))
		})
	})
}
