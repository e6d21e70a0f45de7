package director

import (
	"fmt"
	"testing"
	"time"

	"github.com/currantrouter/currantrouter/internal/job/modeler"
)

// BenchmarkFullRound measures a placement round in which no task finds a worker, with 1,000 waiting
// steps. Half of them avoid a worker that has capacity.
func BenchmarkFullRound(b *testing.B) {
	for _, workers := range []int{350, 12_000} {
		b.Run(fmt.Sprint(workers, " workers"), func(b *testing.B) {
			dr := newBacklog(workers, 1000, func(ix int) modeler.Step {
				needs := modeler.Resources{MilliCores: int64(15000 - ix), MemoryMB: 100}
				if ix%2 == 0 {
					needs.MilliCores = 100
				}
				return modeler.Step{Count: 1, Needs: needs, LongRunning: ix%10 == 1}
			})
			dr.workers["w0"].free = dr.workers["w0"].info.Capacity
			for sp := range dr.waitingSteps {
				sp.tasks[0].avoidWorker("w0")
				sp.tasks[0].lastActive = time.Now().Add(time.Hour)
			}
			now := time.Now()
			for b.Loop() {
				dr.dispatch(now)
			}
		})
	}
}
