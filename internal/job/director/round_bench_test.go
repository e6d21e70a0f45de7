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
			for _, wk := range dr.workers {
				// The tasks wait for the ends of runs on the others.
				wk.ending = wk.info.Capacity
			}
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

// newShortBacklog returns a director whose workers are full, with the waiting work of a pool that is short of capacity:
// long-running steps, urgent short ones, and best-effort ones of many images.
func newShortBacklog() *Director {
	dr := newBacklog(350, 700, func(ix int) modeler.Step {
		needs := modeler.Resources{MilliCores: int64(7000 + 37*ix%5000), MemoryMB: int64(12000 + 91*ix%8000)}
		switch {
		case ix%6 == 0:
			return modeler.Step{Count: 2, Needs: needs, Image: fmt.Sprint("critical", ix%10), TailTarget: 100 * time.Millisecond, LongRunning: true, MaxPerWorker: ix % 2}
		case ix%6 == 1:
			return modeler.Step{Count: 8, Needs: needs, Estimate: time.Second}
		}
		return modeler.Step{Count: 20, Needs: needs, Image: fmt.Sprint("image", ix%18), BestEffort: true, Estimate: time.Second}
	})
	dr.op.Limits.ShortagePolicy = ValuePolicy
	for ix, wk := range dr.orderedWorkers() {
		wk.info.Capacity = modeler.Resources{MilliCores: 64000, MemoryMB: 256000}
		wk.free = modeler.Resources{MilliCores: int64(ix % 7000), MemoryMB: int64(97 * ix % 12000)}
		wk.ending = modeler.Resources{MilliCores: 16000, MemoryMB: 30000}
	}
	return dr
}

// BenchmarkRoundUnderShortage measures a placement round in which no task finds a worker as none has the capacity.
func BenchmarkRoundUnderShortage(b *testing.B) {
	dr := newShortBacklog()
	now := time.Now().Add(3 * time.Second)
	for b.Loop() {
		now = now.Add(time.Millisecond)
		dr.dispatch(now)
	}
}

// BenchmarkRoundOfRestarts measures a placement round in which no task finds a worker, with 1,000 waiting long-running
// steps of 45 tasks, a third with a limit per worker.
func BenchmarkRoundOfRestarts(b *testing.B) {
	for _, workers := range []int{350, 12_000} {
		for _, lastRun := range []modeler.Run{0, 1} {
			b.Run(fmt.Sprint(workers, " workers, last run ", lastRun), func(b *testing.B) {
				dr := newBacklog(workers, 1000, func(ix int) modeler.Step {
					needs := modeler.Resources{MilliCores: int64(2000 + 7919*ix%9000), MemoryMB: 100}
					return modeler.Step{Count: 45, Needs: needs, LongRunning: true, MaxPerWorker: max(0, 2-ix%3)}
				})
				for _, wk := range dr.workers {
					wk.free, wk.ending = modeler.Resources{MilliCores: 1900, MemoryMB: 30000}, modeler.Resources{MilliCores: 9000, MemoryMB: 30000}
				}
				for sp := range dr.waitingSteps {
					for _, tk := range sp.waiting {
						tk.lastRun = lastRun
					}
				}
				now := time.Now().Add(time.Minute)
				for b.Loop() {
					now = now.Add(time.Millisecond)
					dr.dispatch(now)
				}
			})
		}
	}
}
