package limiter

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/currantrouter/currantrouter/internal/fleet/modeler"
)

// BenchmarkApply measures one configuration change at a host that holds slots of all runners, and the
// memory used per runner. In the usual case, settled, all hosts acknowledge each revision. In the
// unsettled cases, one holder of this data centre is cut off, or all runners and their holders are in
// another data centre, whose hosts this host does not ask for acknowledgements.
func BenchmarkApply(b *testing.B) {
	for _, count := range []int{50, 500, 4000} {
		b.Run(fmt.Sprint("runners=", count, "/settled"), func(b *testing.B) {
			lim, cfg := newBench("stad", count)
			before := heap()
			lim.Apply(cfg)
			memory := heap() - before
			for b.Loop() {
				cfg = applyNext(lim, cfg)
				for _, hst := range cfg.Hosts {
					lim.acknowledged[hst.Name] = cfg.Revision
				}
				lim.refreshLocked()
			}
			b.ReportMetric(float64(memory)/float64(count), "B/runner")
		})
	}
	// changes is the number of configuration changes in an hour at the planned size.
	const changes = 625
	for _, dc := range []modeler.DataCentreName{"stad", "jaeren"} {
		b.Run(fmt.Sprint("hour-unsettled/runners-of=", dc), func(b *testing.B) {
			const count = 364
			var grown int64
			for b.Loop() {
				lim, cfg := newBench(dc, count)
				lim.Apply(cfg)
				before := heap()
				for range changes {
					cfg = applyNext(lim, cfg)
					acknowledgeNear(lim, cfg, dc)
				}
				grown = heap() - before
				runtime.KeepAlive(lim)
			}
			b.ReportMetric(float64(grown)/changes/count, "B/runner-change")
		})
	}
}

// newBench returns a limiter of a host in data centre stad, and a configuration with runners in data
// centre dc and four entry hosts in each data centre.
func newBench(dc modeler.DataCentreName, count int) (*Limiter, *modeler.Configuration) {
	cfg := configuration(1, 4, "entry0", "entry1", "entry2", "entry3")
	cfg.Runners = nil
	for num := range 4 {
		cfg.Hosts = append(cfg.Hosts, modeler.Host{Name: modeler.HostName(fmt.Sprint("far", num)), DataCentre: "jaeren"})
	}
	for num := range count {
		cfg.Runners = append(cfg.Runners, modeler.Runner{
			Name: modeler.RunnerName(fmt.Sprint("runner", num)), DataCentre: dc, Service: "tidebook", Slots: 8, Connections: 64,
		})
	}
	return newLimiter("entry0", nil), cfg
}

func applyNext(lim *Limiter, cfg *modeler.Configuration) *modeler.Configuration {
	next := *cfg
	next.Revision++
	lim.Apply(&next)
	return &next
}

// acknowledgeNear makes the hosts of the limiter's data centre acknowledge the revision, except entry3
// when the runners are in that data centre.
func acknowledgeNear(lim *Limiter, cfg *modeler.Configuration, dc modeler.DataCentreName) {
	for _, hst := range cfg.Hosts {
		if hst.DataCentre == lim.op.DataCentre && (dc != lim.op.DataCentre || hst.Name != "entry3") {
			lim.acknowledged[hst.Name] = cfg.Revision
		}
	}
	lim.refreshLocked()
}

func heap() int64 {
	var ms runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&ms)
	return int64(ms.HeapAlloc)
}
