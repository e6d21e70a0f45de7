package placer

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/currantrouter/currantrouter/internal/job/modeler"
)

func worker(id string, milli int64) *modeler.Worker {
	return &modeler.Worker{
		ID: modeler.WorkerID(id), Labels: []string{"a", "r1"}, Rack: "r1",
		Capacity: modeler.Resources{MilliCores: milli, MemoryMB: 100_000},
	}
}

// idle returns candidates with all of their room.
func idle(sizes ...int64) []Candidate {
	var cands []Candidate
	for ix, size := range sizes {
		wk := worker(fmt.Sprint("w", ix), size)
		cands = append(cands, Candidate{Worker: wk, Free: wk.Capacity})
	}
	return cands
}

func needs(milli int64) modeler.Resources {
	return modeler.Resources{MilliCores: milli, MemoryMB: 1000}
}

func assertChoice(t *testing.T, dm Demand, cands []Candidate, want int) {
	t.Helper()
	qt.Check(t, Choose(&dm, cands), qt.Equals, want, qt.Commentf("%+v", Explain(&dm, cands)))
}

// Guards against each way in which a task may come to a worker that must not or should not run it.
func TestChoose(t *testing.T) {
	t.Run("where it fits best", func(t *testing.T) {
		assertChoice(t, Demand{Needs: needs(3000)}, idle(16000, 4000, 8000), 1)
	})
	t.Run("never beyond the room", func(t *testing.T) {
		cands := idle(4000, 4000)
		cands[0].Free.MilliCores, cands[1].Free.MemoryMB = 2999, 999
		assertChoice(t, Demand{Needs: needs(3000)}, cands, -1)
	})
	t.Run("label", func(t *testing.T) {
		cands := idle(4000, 4000)
		cands[1].Worker.Labels = append(cands[1].Worker.Labels, "gpu")
		assertChoice(t, Demand{Needs: needs(1000), Label: "gpu"}, cands, 1)
	})
	t.Run("spread", func(t *testing.T) {
		cands := idle(4000, 8000)
		cands[0].SameStep = 2
		assertChoice(t, Demand{Needs: needs(1000), PerWorker: 2}, cands, 1)
	})
	t.Run("near its data when that saves time", func(t *testing.T) {
		cands := idle(4000, 8000)
		cands[1].Worker.Rack = "r2"
		assertChoice(t, Demand{Needs: needs(1000), DataRack: "r2", RemoteDataFactor: 1.5}, cands, 1)
	})
	t.Run("not where it has failed", func(t *testing.T) {
		assertChoice(t, Demand{Needs: needs(1000), Avoid: []modeler.WorkerID{"w0"}}, idle(4000, 8000), 1)
	})
	t.Run("waits rather than go where it has failed", func(t *testing.T) {
		cands := idle(4000, 8000)
		cands[1].Free.MilliCores = 0
		assertChoice(t, Demand{Needs: needs(1000), Avoid: []modeler.WorkerID{"w0"}}, cands, -1)
	})
	t.Run("where it has failed rather than nowhere", func(t *testing.T) {
		assertChoice(t, Demand{Needs: needs(1000), Avoid: []modeler.WorkerID{"w0"}}, idle(4000), 0)
	})
	t.Run("not on a worker with faults", func(t *testing.T) {
		cands := idle(4000, 8000)
		cands[0].FaultScore = 1
		assertChoice(t, Demand{Needs: needs(1000)}, cands, 1)
	})
}

// Guards against work that fills which is placed where it would be halted or starved.
func TestFills(t *testing.T) {
	dm := Demand{Needs: needs(6000), BestEffort: true, Image: "f"}
	t.Run("needs no room but memory", func(t *testing.T) {
		cands := idle(16000)
		cands[0].Free.MilliCores = 100
		assertChoice(t, dm, cands, 0)
		cands[0].Free.MemoryMB = 999
		assertChoice(t, dm, cands, -1)
	})
	t.Run("most idle", func(t *testing.T) { assertChoice(t, dm, idle(16000, 32000), 1) })
	t.Run("not beside one that it harms", func(t *testing.T) {
		cands := idle(32000, 16000)
		cands[0].LatencyCriticalTasks, cands[0].AddedRelativeLoad, cands[0].RelativeLoad = 1, mostHarm+0.01, 0.5
		assertChoice(t, dm, cands, 1)
	})
	t.Run("not beside one near its target", func(t *testing.T) {
		cands := idle(32000, 16000)
		cands[0].LatencyCriticalTasks, cands[0].RelativeLoad = 1, fullStrain+0.01
		assertChoice(t, dm, cands, 1)
	})
	t.Run("not beside one that it harms badly and whose load rises", func(t *testing.T) {
		cands := idle(32000, 16000)
		cands[0].LatencyCriticalTasks, cands[0].Interference, cands[0].FutureRelativeLoad = 1, mostRate+0.01, heavyStrain+0.01
		assertChoice(t, dm, cands, 1)
		assertChoice(t, dm, cands[:1], -1)
	})
	t.Run("beside one that it harms badly while that has little load", func(t *testing.T) {
		cands := idle(32000)
		cands[0].LatencyCriticalTasks, cands[0].Interference, cands[0].FutureRelativeLoad = 1, 2, heavyStrain-0.01
		assertChoice(t, dm, cands, 0)
	})
	t.Run("few at a time beside an image with which it is untried", func(t *testing.T) {
		cands := idle(16000, 16000)
		cands[0].Trials = mostTrials
		cands[1].AddedRelativeLoad, cands[1].LatencyCriticalTasks = 0.05, 1
		assertChoice(t, dm, cands, 1)
		assertChoice(t, dm, cands[:1], 0)
	})
	t.Run("not tried together with another image", func(t *testing.T) {
		cands := idle(32000, 16000)
		cands[0].ConfoundedTrial = true
		assertChoice(t, dm, cands, 1)
	})
	t.Run("tried once before the room is needed", func(t *testing.T) {
		cands := idle(16000, 16000)
		cands[1].AddedRelativeLoad, cands[1].LatencyCriticalTasks, cands[1].FirstTrial = 0.1, 1, true
		assertChoice(t, dm, cands, 1)
		cands[1].FirstTrial = false
		assertChoice(t, dm, cands, 0)
	})
	t.Run("one beside an image that it once harmed", func(t *testing.T) {
		cands := idle(16000)
		cands[0].InterferenceSuspected = true
		assertChoice(t, dm, cands, 0)
		cands[0].Trials = mostDoubted
		assertChoice(t, dm, cands, -1)
	})
	t.Run("leaves workers to images that have no other", func(t *testing.T) {
		cands := idle(32000, 16000)
		cands[0].Contention = 1
		assertChoice(t, dm, cands, 1)
	})
	t.Run("waits rather than slow the others", func(t *testing.T) {
		cands := idle(16000)
		cands[0].BestEffortTasks, cands[0].BestEffortMilliCores = 2, 16000
		assertChoice(t, dm, cands, -1)
	})
}

// Guards against serving tasks that spread over all workers, which closes them to work that fills,
// and against tasks that last which leave no room for short ones.
func TestLasting(t *testing.T) {
	dm := Demand{Needs: needs(4000), LatencyCritical: true, Image: "s"}
	t.Run("joins its own image", func(t *testing.T) {
		cands := idle(16000, 16000, 16000)
		cands[1].LatencyCriticalTasks, cands[1].OtherImages = 1, true
		cands[2].LatencyCriticalTasks = 1
		assertChoice(t, dm, cands, 2)
	})
	t.Run("opens a worker rather than mix images", func(t *testing.T) {
		cands := idle(16000, 16000)
		cands[0].LatencyCriticalTasks, cands[0].OtherImages = 1, true
		assertChoice(t, dm, cands, 1)
	})
	lasts := Demand{Needs: needs(4000), LongRunning: true}
	t.Run("leaves the last slot to short tasks", func(t *testing.T) {
		lasts.Headroom, lasts.PoolSlots = 3999, 1
		assertChoice(t, lasts, idle(16000), -1)
	})
	t.Run("starts where there is room for two", func(t *testing.T) {
		lasts.Headroom, lasts.PoolSlots = -100, 2
		assertChoice(t, lasts, idle(16000), 0)
	})
}

// BenchmarkChoose prints the cost of one choice among many workers.
func BenchmarkChoose(b *testing.B) {
	for _, count := range []int{50, 350, 12000} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			sizes := make([]int64, count)
			for ix := range sizes {
				sizes[ix] = int64(8000 + ix%7*8000)
			}
			cands := idle(sizes...)
			dm := Demand{Needs: needs(3000)}
			for b.Loop() {
				Choose(&dm, cands)
			}
		})
	}
}
