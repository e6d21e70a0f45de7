package leader_test

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/currantrouter/currantrouter/internal/job/modeler"
	"github.com/currantrouter/currantrouter/internal/telemetry/meter"
)

// Guards against running work that is started again elsewhere, or given up, as the host between the leader and
// the worker is lost, replaced, silent or slow.
func TestLostRelaysWithRelays(t *testing.T) {
	for name, disturb := range map[string]func(cl *cluster, ix int){
		"killed": func(cl *cluster, ix int) {
			cl.killHost(ix)
			time.Sleep(2 * time.Second)
			cl.startHost(ix)
		},
		"stopped in order": func(cl *cluster, ix int) {
			cl.drainHost(ix)
			cl.startHost(ix)
		},
		"cut off from other hosts": func(cl *cluster, ix int) {
			cl.setCut(ix, peerLink, true)
			time.Sleep(12 * time.Second)
			cl.setCut(ix, peerLink, false)
		},
		"cut off from workers": func(cl *cluster, ix int) {
			cl.setCut(ix, workerLink, true)
			time.Sleep(12 * time.Second)
			cl.setCut(ix, workerLink, false)
		},
		"slow": func(cl *cluster, ix int) {
			cl.setDelay(ix, 300*time.Millisecond)
			time.Sleep(12 * time.Second)
			cl.setDelay(ix, 0)
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cl := newCluster(t, 4, 6, 1)
				defer cl.stop()
				lead, where := cl.startTask(true)
				qt.Assert(t, cl.process(lead).registry.Value(meter.RequestsRelayed) > 0, qt.IsTrue)
				starts := cl.workers.StartCount(theTask)
				for ix := range cl.hosts {
					if ix != lead {
						disturb(cl, ix)
						time.Sleep(2 * time.Second)
					}
				}
				qt.Check(t, cl.workers.WorkerOf(theTask), qt.Equals, where)
				qt.Check(t, cl.workers.StartCount(theTask), qt.Equals, starts)
				qt.Check(t, cl.workers.Violations(), qt.HasLen, 0)
			})
		})
	}
}

// noteLargeFleet notes whether a host leads a large fleet.
func (cl *cluster) noteLargeFleet(ix int, leads bool) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.leadsLargeFleet[ix] = leads
}

// assertLargeFleet checks whether a host leads a large fleet.
func (cl *cluster) assertLargeFleet(ix int, leads bool) {
	cl.t.Helper()
	cl.mu.Lock()
	defer cl.mu.Unlock()
	qt.Check(cl.t, cl.leadsLargeFleet[ix], qt.Equals, leads)
}

// Guards against a host that goes on as the leader of a large fleet after its term.
func TestLargeFleetIsNotedWithRelays(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t, 3, 6, 1)
		defer cl.stop()
		lead, _ := cl.startTask(true)
		cl.assertLargeFleet(lead, true)
		cl.drainHost(lead)
		cl.assertLargeFleet(lead, false)
	})
}

// Guards against a leader of a small fleet that uses relays.
func TestSmallFleet(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t, 3, 6, 1)
		defer cl.stop()
		lead, where := cl.startTask(true)
		qt.Check(t, where, qt.Not(qt.Equals), modeler.WorkerID(""))
		qt.Check(t, cl.process(lead).registry.Value(meter.RequestsRelayed), qt.Equals, int64(0))
		cl.assertLargeFleet(lead, false)
	})
}

// Guards against requests to relays of an earlier version, which do not know them.
func TestHostsOfEarlierVersionWithRelays(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t, 3, 6, 1)
		defer cl.stop()
		cl.dataCentre = ""
		lead, _ := cl.startTask(true)
		qt.Check(t, cl.process(lead).registry.Value(meter.RequestsRelayed), qt.Equals, int64(0))
	})
}

// setCut cuts a kind of link of a host, or ends the cut.
func (cl *cluster) setCut(ix int, lk link, cut bool) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.hosts[ix].cutOut[lk], cl.hosts[ix].cutIn[lk] = cut, cut
}

// setDelay sets by how much all messages of a host are delayed.
func (cl *cluster) setDelay(ix int, delay time.Duration) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.hosts[ix].delay = delay
}
