package elector_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	fleet "github.com/currantrouter/currantrouter/internal/fleet/modeler"
	"github.com/currantrouter/currantrouter/internal/job/elector"
	"github.com/currantrouter/currantrouter/internal/job/modeler"
)

// everyHost returns the electorate of the processes of all hosts that a host has heard of.
func everyHost(el *elector.Elector) modeler.Electorate {
	return el.Electorate(time.Time{}, modeler.Electorate{})
}

// Guards against a task that runs twice, as a leader takes for a quorum what hosts knew before they knew the next
// leader, and against a leader that stops although a majority confirms it.
func TestHasQuorum(t *testing.T) {
	const age = 1500 * time.Millisecond
	t.Run("majority answers", func(t *testing.T) {
		withCluster(t, 5, func(cl *cluster, leader int) {
			el, others := cl.hosts[leader].elector, cl.others(leader)
			all := everyHost(el)
			cl.cutFromStore(leader, true)
			cl.cutHost(leader, others[:2], true)
			for range 20 {
				time.Sleep(100 * time.Millisecond)
				qt.Check(t, el.HasQuorum(time.Now().Add(-age), time.Now(), all), qt.IsTrue)
			}
			few := modeler.Electorate{Hosts: all.Hosts, Voters: slices.DeleteFunc(slices.Clone(all.Voters), func(vt modeler.Voter) bool { return vt.Host == fleet.HostName(fmt.Sprint("host-", others[2])) })}
			qt.Check(t, el.HasQuorum(time.Now().Add(-age), time.Now(), few), qt.IsFalse)
			more := modeler.Electorate{Hosts: 2 * all.Hosts, Voters: all.Voters}
			qt.Check(t, el.HasQuorum(time.Now().Add(-age), time.Now(), more), qt.IsFalse)
		})
	})
	t.Run("minority answers", func(t *testing.T) {
		withCluster(t, 5, func(cl *cluster, leader int) {
			el, others := cl.hosts[leader].elector, cl.others(leader)
			all := everyHost(el)
			cl.cutHost(leader, others[:3], true)
			cutAt := time.Now()
			qt.Check(t, el.HasQuorum(cutAt.Add(-age), cutAt, all), qt.IsTrue)
			for range 20 {
				time.Sleep(100 * time.Millisecond)
				qt.Check(t, el.HasQuorum(cutAt, time.Now(), all), qt.IsFalse)
			}
		})
	})
	t.Run("hosts that restarted", func(t *testing.T) {
		withCluster(t, 5, func(cl *cluster, leader int) {
			el, others := cl.hosts[leader].elector, cl.others(leader)
			for _, ix := range others {
				cl.cutFromStore(ix, true)
			}
			cl.cutFromStore(leader, true)
			known, former := time.Now(), everyHost(el)
			time.Sleep(time.Millisecond)
			for _, ix := range others[:3] {
				cl.kill(ix)
				cl.start(ix)
			}
			time.Sleep(4 * time.Second)
			qt.Check(t, el.HasQuorum(time.Now().Add(-age), known, everyHost(el)), qt.IsFalse)
			qt.Check(t, el.HasQuorum(time.Now().Add(-age), time.Now(), former), qt.IsFalse)
			qt.Check(t, el.HasQuorum(time.Now().Add(-age), time.Now(), everyHost(el)), qt.IsTrue)
		})
	})
}

// separate cuts the connections between some hosts and all others.
func (cl *cluster) separate(side []int) {
	for _, ix := range side {
		for other := range cl.hosts {
			if !slices.Contains(side, other) {
				cl.cutHost(ix, []int{other}, true)
			}
		}
	}
}

// Guards against a new leader that takes earlier ones for stopped while they may have a quorum, and against one that
// waits although they cannot.
func TestPrecludesQuorum(t *testing.T) {
	for _, tc := range []struct {
		name         string
		hosts, known int
		precluded    bool
	}{
		{"all know the epoch", 5, 5, true},
		{"majority of 5", 5, 3, true},
		{"2 of 5", 5, 2, false},
		{"half of 4", 4, 2, true},
		{"1 of 3", 3, 1, false},
		{"1 of 2", 2, 1, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			withCluster(t, tc.hosts, func(cl *cluster, leader int) {
				others := cl.others(leader)
				next, epoch := leader, cl.hosts[leader].elector.Leader().Epoch+1
				qt.Check(t, cl.hosts[leader].elector.PrecludesQuorum(epoch), qt.IsFalse)
				// The leader and the hosts on its side reach neither the store nor the others.
				side := append([]int{leader}, others...)[:tc.hosts-tc.known]
				cl.separate(side)
				for _, ix := range append(side, leader) {
					cl.cutFromStore(ix, true)
				}
				time.Sleep(5 * time.Second)
				for _, ix := range cl.leaders() {
					if ix != leader {
						next = ix
					}
				}
				el := cl.hosts[next].elector
				qt.Assert(t, el.Leader().Epoch, qt.Equals, epoch)
				qt.Check(t, el.PrecludesQuorum(epoch), qt.Equals, tc.precluded)
				qt.Check(t, el.PrecludesQuorum(epoch+1), qt.IsFalse)
			})
		})
	}
}
