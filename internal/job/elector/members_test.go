package elector_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/currantrouter/currantrouter/internal/job/elector"
	"github.com/currantrouter/currantrouter/internal/provider/storer"
)

// records returns the number of hosts' records in the store.
func (cl *cluster) records() int {
	ens, _, err := cl.store.Snapshot(cl.t.Context(), "Member/")
	qt.Assert(cl.t, err, qt.IsNil)
	return len(ens)
}

// endTermEvery cuts the leader off from the other hosts for a moment at intervals, so that another one leads.
func (cl *cluster) endTermEvery(interval, total time.Duration) {
	for began := time.Now(); time.Since(began) < total; {
		leader := cl.assertLeader()
		cl.cutHost(leader, cl.others(leader), true)
		time.Sleep(5 * time.Second)
		cl.cutHost(leader, cl.others(leader), false)
		time.Sleep(interval - 5*time.Second)
	}
}

// Guards against records of departed hosts that pile up in a series of terms shorter than the time after which one is
// deleted, and against deletions of those of hosts that run.
func TestDepartedHosts(t *testing.T) {
	const (
		hosts, departed = 7, 2
		total           = 15 * time.Minute
	)
	for _, interval := range []time.Duration{15 * time.Second, 100 * time.Second, total} {
		t.Run(fmt.Sprint("terms of ", interval), func(t *testing.T) {
			withCluster(t, hosts, func(cl *cluster, leader int) {
				for _, ix := range cl.others(leader)[:departed] {
					cl.kill(ix)
				}
				time.Sleep(time.Minute)
				qt.Check(t, cl.records(), qt.Equals, hosts)
				if interval < total {
					cl.endTermEvery(interval, total)
				} else {
					time.Sleep(total)
				}
				qt.Check(t, cl.records(), qt.Equals, hosts-departed)
			})
		})
	}
}

// Guards against a host that is left out for good, as its record was deleted while it was cut off.
func TestRecordIsStoredAgain(t *testing.T) {
	const hosts = 5
	withCluster(t, hosts, func(cl *cluster, leader int) {
		ix := cl.others(leader)[0]
		cl.cutFromStore(ix, true)
		cl.cutHost(ix, cl.others(ix), true)
		time.Sleep(3 * time.Minute)
		qt.Check(t, cl.records(), qt.Equals, hosts-1)
		cl.cutFromStore(ix, false)
		cl.cutHost(ix, cl.others(ix), false)
		time.Sleep(10 * time.Second)
		qt.Check(t, cl.records(), qt.Equals, hosts)
		qt.Check(t, cl.hosts[leader].elector.KnownHosts(), qt.HasLen, hosts)
		cl.hosts[ix].elector.Drain()
		key := fmt.Sprint("Member/host-", ix)
		en, err := cl.store.Get(t.Context(), key)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, cl.store.Delete(t.Context(), key, en.Revision), qt.IsNil)
		time.Sleep(10 * time.Second)
		qt.Check(t, cl.records(), qt.Equals, hosts-1, qt.Commentf("a host that drains stores its record again"))
	})
}

// Guards against a new leader that deletes the records of hosts with which an earlier one may have a quorum, and then
// takes that one for deposed.
func TestRecordsOfAnEarlierQuorum(t *testing.T) {
	const hosts = 3
	withCluster(t, hosts, func(cl *cluster, leader int) {
		others := cl.others(leader)
		next := others[1]
		side := []int{leader, others[0]}
		cl.separate(side)
		for _, ix := range side {
			cl.cutFromStore(ix, true)
		}
		time.Sleep(5 * time.Second)
		qt.Assert(t, cl.leaders(), qt.Contains, next)
		el := cl.hosts[next].elector
		el.AddSilence(2 * time.Minute)
		time.Sleep(20 * time.Second)
		qt.Check(t, cl.records(), qt.Equals, hosts)
		qt.Check(t, el.PrecludesQuorum(el.Leader().Epoch), qt.IsFalse)
		time.Sleep(5 * time.Minute)
		qt.Check(t, cl.records(), qt.Equals, hosts, qt.Commentf("a host alone removes the records of a majority"))
	})
}

// interruptedStore is a host's store that calls a function between a read of all records and its answer.
type interruptedStore struct {
	*host
	beforeAnswer func()
}

func (st *interruptedStore) Snapshot(ctx context.Context, prefix string) ([]storer.Entry, int64, error) {
	ens, revision, err := st.host.Snapshot(ctx, prefix)
	st.beforeAnswer()
	return ens, revision, err
}

// Guards against a host that is forgotten, with what it reported, as its first message arrives while the records are read.
func TestHostHeardOfDuringRead(t *testing.T) {
	withCluster(t, 1, func(cl *cluster, _ int) {
		cl.kill(0)
		cl.hosts[0].down = false
		op := cl.hosts[0].options(elector.Member{Host: "host-0", Boot: "own", Address: address(0), Weight: 100})
		var el *elector.Elector
		op.Store = &interruptedStore{host: cl.hosts[0], beforeAnswer: func() {
			time.Sleep(10 * time.Millisecond)
			el.HandleGreeting(reportOf("host-7", "b", 6, "host-8", "c"))
		}}
		el = elector.New(op)
		el.HandleGreeting(reportOf("host-6", "b", 6, "host-8", "c"))
		time.Sleep(10 * time.Millisecond)
		ctx, cancel := context.WithTimeout(cl.t.Context(), 100*time.Millisecond)
		defer cancel()
		el.Run(ctx)
		qt.Check(t, el.KnownHosts(), qt.DeepEquals, []string{"host-0", "host-7"})
	})
}
