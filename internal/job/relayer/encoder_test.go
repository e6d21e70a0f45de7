package relayer

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"
	"google.golang.org/protobuf/proto"

	"github.com/currantrouter/currantrouter/internal/cluster/messenger"
	fleet "github.com/currantrouter/currantrouter/internal/fleet/modeler"
	"github.com/currantrouter/currantrouter/internal/job/modeler"
	"github.com/currantrouter/currantrouter/internal/telemetry/meter"
)

// Guards against runs that a later report attributes to other tasks.
func TestSeriesOfReports(t *testing.T) {
	for seed := range uint64(50) {
		rnd := rand.New(rand.NewPCG(seed, 5))
		var re reportEncoder
		var rd reportDecoder
		runs := map[int]modeler.ActiveRun{}
		for no := range 30 {
			ix := rnd.IntN(20)
			if _, ok := runs[ix]; ok && rnd.IntN(2) == 0 {
				delete(runs, ix)
			} else {
				runs[ix] = modeler.ActiveRun{Task: modeler.TaskID{Job: modeler.JobID(fmt.Sprint("job", ix)), Index: ix}, Run: modeler.Run(no + 1)}
			}
			rep := modeler.Report{Clock: time.Duration(no) * time.Second, Incarnation: 3, Running: []modeler.ActiveRun{}, Ended: []modeler.EndedRun{}}
			for ix, run := range runs {
				run.Progress, run.Measure = rnd.IntN(101), rnd.Int64N(1000)
				if rnd.IntN(3) == 0 {
					run.Checkpoint = fmt.Sprint("checkpoint", no)
				}
				runs[ix] = run
				rep.Running = append(rep.Running, run)
			}
			got, err := rd.decode(re.encode(&rep), rep.Clock)
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, got, qt.DeepEquals, rep, qt.Commentf("seed %d, report %d", seed, no))
		}
	}
}

// FuzzReport guards against a message that ends the leader's process.
func FuzzReport(f *testing.F) {
	data, err := proto.Marshal((&reportEncoder{}).encode(&modeler.Report{Running: []modeler.ActiveRun{{Task: modeler.TaskID{Job: "j"}, Run: 1}}}))
	qt.Assert(f, err, qt.IsNil)
	f.Add(data)
	f.Fuzz(func(t *testing.T, data []byte) {
		msg := new(messenger.WorkerReport)
		if proto.Unmarshal(data, msg) != nil {
			return
		}
		var rd reportDecoder
		for range 2 {
			rep, err := rd.decode(msg, time.Second)
			if err != nil {
				qt.Assert(t, err, qt.ErrorIs, ErrInvalidMessage)
				return
			}
			qt.Assert(t, rep.Check(), qt.IsNil)
		}
	})
}

// FuzzBatch guards against a message that ends the process of a relay, or reaches a worker although it is invalid.
func FuzzBatch(f *testing.F) {
	msg := &messenger.RelayBatch{Requests: []*messenger.WorkerRequest{
		{Worker: "w", Address: "10.0.0.1:80", Kind: &messenger.WorkerRequest_Start{Start: &messenger.StartRun{Task: []byte("j.0.0.0"), Spec: 2}}},
		{Worker: "w", Address: "10.0.0.1:80", Kind: &messenger.WorkerRequest_Pace{Pace: &messenger.SetPace{Task: []byte("j.0.0.0"), Percent: 400}}},
		{Kind: &messenger.WorkerRequest_Renew{}},
	}}
	data, err := proto.Marshal(msg)
	qt.Assert(f, err, qt.IsNil)
	f.Add(data)
	sv := NewServer(ServerOptions{Log: logr.Discard(), Meter: meter.New(nil), SuspendedTime: func() time.Duration { return 0 }, KnownEpoch: func() modeler.Epoch { return 0 }})
	f.Fuzz(func(t *testing.T, data []byte) {
		msg := new(messenger.RelayBatch)
		if proto.Unmarshal(data, msg) != nil {
			return
		}
		for _, rq := range msg.GetRequests() {
			wk := new(modeler.Worker)
			if _, err := sv.decode(msg, rq, wk); err != nil {
				qt.Assert(t, err, qt.ErrorIs, ErrInvalidMessage)
			} else {
				qt.Assert(t, fleet.CheckAddress(wk.Address), qt.IsNil)
			}
		}
	})
}

func TestChosenRelays(t *testing.T) {
	var hosts []Host
	for ix := range 60 {
		hs := Host{Name: fleet.HostName(fmt.Sprint("host", ix)), DataCentre: fleet.DataCentreName(fmt.Sprint("dc", ix%6)), Weight: 192, Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(ix)}), 80)}
		if ix < 18 {
			hs.Weight = 800
		}
		hosts = append(hosts, hs)
	}
	t.Run("a small fleet has none", func(t *testing.T) {
		qt.Assert(t, chooseRelays(hosts, 800, 400), qt.HasLen, 0)
	})
	t.Run("a large fleet has some in each data centre", func(t *testing.T) {
		relays := chooseRelays(hosts, 800, 1100)
		seen := map[fleet.DataCentreName]int{}
		var weight int64
		for _, hs := range relays {
			seen[hs.DataCentre]++
			weight += hs.Weight
			qt.Check(t, hs.Weight, qt.Equals, int64(800))
		}
		qt.Assert(t, seen, qt.HasLen, 6)
		qt.Assert(t, weight*workersPerRelayCore >= 1100*1000, qt.IsTrue)
	})
	t.Run("a lost relay moves only its own workers", func(t *testing.T) {
		relays := chooseRelays(hosts, 800, 1100)
		for ix := range 500 {
			id, dc := modeler.WorkerID(fmt.Sprint("w", ix)), fleet.DataCentreName(fmt.Sprint("dc", ix%6))
			before := Assign(id, dc, relays, func(int) bool { return true })
			qt.Assert(t, relays[before].DataCentre, qt.Equals, dc)
			after := Assign(id, dc, relays, func(rx int) bool { return rx != 2 })
			qt.Assert(t, after == before || before == 2, qt.IsTrue)
		}
		qt.Assert(t, Assign("w", "dc1", relays, func(int) bool { return false }), qt.Equals, -1)
	})
}
