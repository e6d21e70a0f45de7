package tracker_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/currantrouter/currantrouter/internal/cluster/tracker"
	"github.com/currantrouter/currantrouter/internal/daemon/meter"
	"github.com/currantrouter/currantrouter/internal/fleet/modeler"
)

// Guards against heartbeats whose rate grows with the number of hosts, and against hosts that are
// taken for dead because news travels too slowly.
func TestByteRate(t *testing.T) {
	const budget = 4 << 10
	for _, tc := range []struct {
		name       string
		hosts, dcs int
	}{{"8 hosts in 4 data centres", 8, 4}, {"9 hosts in 3 data centres", 9, 3}, {"100 hosts in 11 data centres", 100, 11}} {
		t.Run(tc.name, func(t *testing.T) {
			simulate(t, tc.hosts, tc.dcs, func(t *testing.T, nw *network) {
				time.Sleep(40 * time.Second)
				before := nw.bytes()
				const span = 60
				wrong := 0
				for range span {
					time.Sleep(time.Second)
					for _, nd := range nw.nodes {
						for _, pr := range nd.Peers() {
							if pr.Health != tracker.Alive {
								wrong++
							}
						}
					}
				}
				var total, greatest int64
				for addr, num := range nw.bytes() {
					rate := (num - before[addr]) / span
					total += rate
					greatest = max(greatest, rate)
				}
				t.Logf("sent plus received per host: mean %d bytes/s, greatest %d bytes/s; %d wrong states of health",
					total/int64(tc.hosts), greatest, wrong)
				qt.Check(t, greatest < budget, qt.IsTrue)
				qt.Check(t, wrong, qt.Equals, 0)
			})
		})
	}
}

func (nw *network) bytes() map[modeler.HostName]int64 {
	sums := map[modeler.HostName]int64{}
	for _, nd := range nw.nodes {
		sums[nd.host.Name] = nd.reg.Value(meter.PeerBytesSent) + nd.reg.Value(meter.PeerBytesReceived)
	}
	return sums
}

// Guards against a change that is not in force everywhere within 2 s with 8 hosts while one host
// is paused, one restarts without the store and one is cut off, and within 2 s after these end.
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
		nw.put(2)
		took := nw.revisionTime(2, 30*time.Second, nw.all(paused, cut)...)
		t.Logf("in force at the 6 connected hosts after %v", took)
		qt.Check(t, took <= limit, qt.IsTrue)
		nw.isolate()
		took = nw.revisionTime(2, 30*time.Second, nw.all()...)
		t.Logf("in force at the paused and the cut off host %v after they are back", took)
		qt.Check(t, took <= limit, qt.IsTrue)
	})
}
