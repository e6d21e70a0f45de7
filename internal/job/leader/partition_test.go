package leader_test

import (
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/currantrouter/currantrouter/internal/job/modeler"
)

// separate cuts one host, with the store and all workers but one, off from the other hosts, which keep that worker.
func (cl *cluster) separate(minority int, kept modeler.WorkerID) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	for ix, ho := range cl.hosts {
		ho.cutPeers, ho.cutWorkers = map[netip.AddrPort]bool{}, map[modeler.WorkerID]bool{}
		for other := range cl.hosts {
			ho.cutPeers[hostAddress(other)] = (ix == minority) != (other == minority)
		}
		for _, info := range cl.infos {
			ho.cutWorkers[info.ID] = (ix == minority) == (info.ID == kept)
		}
		ho.cutOut[storeLink], ho.cutIn[storeLink] = ix != minority, ix != minority
	}
}

// Guards against a task that runs twice as a deposed leader, whose majority of hosts is cut off from the store and from
// the new leader, goes on extending leases.
func TestQuorumWithoutStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t, 3, 2, 1)
		defer cl.stop()
		for ix := range cl.infos {
			cl.startWorker(ix)
		}
		for ix := range cl.hosts {
			cl.startHost(ix)
		}
		time.Sleep(5 * time.Second)
		lead := cl.leaderIndex()
		jb := &modeler.Job{ID: "long", Queue: "urgent", Spec: "spec", Pool: testPool, Submitted: time.Now(), Steps: []modeler.Step{{
			Count: 1, LongRunning: true, Needs: modeler.Resources{MilliCores: 1000, MemoryMB: 100}, Estimate: time.Second,
		}}}
		cl.mu.Lock()
		cl.jobs[jb.ID] = jb
		cl.mu.Unlock()
		qt.Assert(t, cl.process(lead).intaker.Submit(t.Context(), jb), qt.IsNil)
		time.Sleep(4 * time.Second)
		where := cl.workers.WorkerOf(modeler.TaskID{Job: jb.ID})
		qt.Assert(t, where, qt.Not(qt.Equals), modeler.WorkerID(""))
		cl.separate((lead+1)%len(cl.hosts), where)
		time.Sleep(30 * time.Second)
		qt.Check(t, cl.workers.Violations(), qt.HasLen, 0)
	})
}
