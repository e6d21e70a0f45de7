package director

import (
	"fmt"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"github.com/currantrouter/currantrouter/internal/job/modeler"
	"github.com/currantrouter/currantrouter/internal/telemetry/meter"
)

// BenchmarkFullRound measures a placement round in which no task finds a worker, with 1,000 waiting
// steps. Half of them avoid a worker that has capacity.
func BenchmarkFullRound(b *testing.B) {
	for _, workers := range []int{350, 12_000} {
		b.Run(fmt.Sprint(workers, " workers"), func(b *testing.B) {
			dr := New(Options{
				Epoch: 1, Configuration: func() *modeler.Configuration { return nil }, MaySendRequests: func() bool { return true },
				Log: logr.Discard(), Meter: meter.New(nil),
			})
			capacity := modeler.Resources{MilliCores: 16000, MemoryMB: 64000}
			for ix := range workers {
				info := modeler.Worker{ID: modeler.WorkerID(fmt.Sprint("w", ix)), Pool: "pool", Capacity: capacity}
				dr.setWorker(&info)
				wk := dr.workers[info.ID]
				wk.reported, wk.answered = true, true
				if ix > 0 {
					wk.free = modeler.Resources{}
				}
			}
			for ix := range 1000 {
				needs := modeler.Resources{MilliCores: int64(15000 - ix), MemoryMB: 100}
				if ix%2 == 0 {
					needs.MilliCores = 100
				}
				jb := dr.addJob(&modeler.Job{
					ID: modeler.JobID(fmt.Sprint("j", ix)), Pool: "pool", Steps: []modeler.Step{{Count: 1, Needs: needs, LongRunning: ix%10 == 1}},
				}, true)
				tk := jb.occurrences[0].steps[0].tasks[0]
				tk.mayHaveUnknownRun = false
				tk.avoidWorker("w0")
				tk.lastActive = time.Now().Add(time.Hour)
			}
			now := time.Now()
			for b.Loop() {
				dr.dispatch(now)
			}
		})
	}
}
