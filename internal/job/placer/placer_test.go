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

// idleCandidates returns workers of the given sizes, in thousandths of a core, that run nothing.
func idleCandidates(sizes ...int64) []Candidate {
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

// allIndices returns the indices of the candidates.
func allIndices(cands []Candidate) []int {
	indices := make([]int, len(cands))
	for ix := range indices {
		indices[ix] = ix
	}
	return indices
}

func assertChoice(t *testing.T, dm Demand, cands []Candidate, want int) {
	t.Helper()
	qt.Check(t, Choose(&dm, cands, allIndices(cands)), qt.Equals, want, qt.Commentf("%+v", CountReasons(&dm, cands)))
}

// Guards against placing a task on a worker that must not run it, or when a better one is feasible.
func TestChoose(t *testing.T) {
	t.Run("where it fits best", func(t *testing.T) {
		assertChoice(t, Demand{Needs: needs(3000)}, idleCandidates(16000, 4000, 8000), 1)
	})
	t.Run("only within the free capacity", func(t *testing.T) {
		cands := idleCandidates(4000, 4000)
		cands[0].Free.MilliCores, cands[1].Free.MemoryMB = 2999, 999
		assertChoice(t, Demand{Needs: needs(3000)}, cands, -1)
	})
	t.Run("label", func(t *testing.T) {
		cands := idleCandidates(4000, 4000)
		cands[1].Worker.Labels = append(cands[1].Worker.Labels, "gpu")
		assertChoice(t, Demand{Needs: needs(1000), Label: "gpu"}, cands, 1)
	})
	t.Run("at most PerWorker tasks of a step", func(t *testing.T) {
		cands := idleCandidates(4000, 8000)
		cands[0].SameStepTasks = 2
		assertChoice(t, Demand{Needs: needs(1000), MaxPerWorker: 2}, cands, 1)
	})
	t.Run("near its data", func(t *testing.T) {
		cands := idleCandidates(4000, 8000)
		cands[1].Worker.Rack = "r2"
		assertChoice(t, Demand{Needs: needs(1000), DataRack: "r2", RemoteDataFactor: 1.5}, cands, 1)
	})
	t.Run("not where it has failed", func(t *testing.T) {
		assertChoice(t, Demand{Needs: needs(1000), Avoid: []modeler.WorkerID{"w0"}}, idleCandidates(4000, 8000), 1)
	})
	t.Run("waits for another worker than where it has failed", func(t *testing.T) {
		cands := idleCandidates(4000, 8000)
		cands[1].Free.MilliCores = 0
		assertChoice(t, Demand{Needs: needs(1000), Avoid: []modeler.WorkerID{"w0"}}, cands, -1)
	})
	t.Run("where it has failed when no other worker could run it", func(t *testing.T) {
		assertChoice(t, Demand{Needs: needs(1000), Avoid: []modeler.WorkerID{"w0"}}, idleCandidates(4000), 0)
	})
	t.Run("not on a worker with faults", func(t *testing.T) {
		cands := idleCandidates(4000, 8000)
		cands[0].FaultScore = 1
		assertChoice(t, Demand{Needs: needs(1000)}, cands, 1)
	})
}

// Guards against placing best-effort tasks where they would be halted or get too few processors.
func TestBestEffort(t *testing.T) {
	dm := Demand{Needs: needs(6000), BestEffort: true, Image: "f"}
	t.Run("needs free memory but no free processors", func(t *testing.T) {
		cands := idleCandidates(16000)
		cands[0].Free.MilliCores = 100
		assertChoice(t, dm, cands, 0)
		cands[0].Free.MemoryMB = 999
		assertChoice(t, dm, cands, -1)
	})
	t.Run("most idle processors", func(t *testing.T) { assertChoice(t, dm, idleCandidates(16000, 32000), 1) })
	t.Run("not where it adds too much load", func(t *testing.T) {
		cands := idleCandidates(32000, 16000)
		cands[0].LatencyCriticalTasks, cands[0].AddedRelativeLoad, cands[0].RelativeLoad = 1, maxAddedRelativeLoad+0.01, 0.5
		assertChoice(t, dm, cands, 1)
	})
	t.Run("not beside a latency-critical task near its target", func(t *testing.T) {
		cands := idleCandidates(32000, 16000)
		cands[0].LatencyCriticalTasks, cands[0].RelativeLoad = 1, maxRelativeLoad+0.01
		assertChoice(t, dm, cands, 1)
	})
	t.Run("not with intolerable interference and a high future load", func(t *testing.T) {
		cands := idleCandidates(32000, 16000)
		cands[0].LatencyCriticalTasks, cands[0].Interference, cands[0].FutureRelativeLoad = 1, maxTolerableInterference+0.01, maxFutureRelativeLoad+0.01
		assertChoice(t, dm, cands, 1)
		assertChoice(t, dm, cands[:1], -1)
	})
	t.Run("with intolerable interference but a low future load", func(t *testing.T) {
		cands := idleCandidates(32000)
		cands[0].LatencyCriticalTasks, cands[0].Interference, cands[0].FutureRelativeLoad = 1, 2, maxFutureRelativeLoad-0.01
		assertChoice(t, dm, cands, 0)
	})
	t.Run("no more trials than suffice while another worker is feasible", func(t *testing.T) {
		cands := idleCandidates(16000, 16000)
		cands[0].Trials = sufficientTrials
		cands[1].AddedRelativeLoad, cands[1].LatencyCriticalTasks = 0.05, 1
		assertChoice(t, dm, cands, 1)
		assertChoice(t, dm, cands[:1], 0)
	})
	t.Run("no confounded trial while another worker is feasible", func(t *testing.T) {
		cands := idleCandidates(32000, 16000)
		cands[0].ConfoundedTrial = true
		assertChoice(t, dm, cands, 1)
	})
	t.Run("prefers a first trial", func(t *testing.T) {
		cands := idleCandidates(16000, 16000)
		cands[1].AddedRelativeLoad, cands[1].LatencyCriticalTasks, cands[1].FirstTrial = 0.1, 1, true
		assertChoice(t, dm, cands, 1)
		cands[1].FirstTrial = false
		assertChoice(t, dm, cands, 0)
	})
	t.Run("one trial at a time with suspected interference", func(t *testing.T) {
		cands := idleCandidates(16000)
		cands[0].InterferenceSuspected = true
		assertChoice(t, dm, cands, 0)
		cands[0].Trials = maxSuspectedTrials
		assertChoice(t, dm, cands, -1)
	})
	t.Run("leaves contended workers to other images", func(t *testing.T) {
		cands := idleCandidates(32000, 16000)
		cands[0].Contention = 1
		assertChoice(t, dm, cands, 1)
	})
	t.Run("waits when idle processors are too few", func(t *testing.T) {
		cands := idleCandidates(16000)
		cands[0].BestEffortTasks, cands[0].BestEffortMilliCores = 2, 16000
		assertChoice(t, dm, cands, -1)
	})
}

// Guards against latency-critical tasks that spread over all workers, so that few remain for
// best-effort tasks, and against long-running tasks that use the reserve for short ones.
func TestLongRunning(t *testing.T) {
	dm := Demand{Needs: needs(4000), LatencyCritical: true, Image: "s"}
	t.Run("joins tasks of its own image", func(t *testing.T) {
		cands := idleCandidates(16000, 16000, 16000)
		cands[1].LatencyCriticalTasks, cands[1].OnlyOtherImages = 1, true
		cands[2].LatencyCriticalTasks = 1
		assertChoice(t, dm, cands, 2)
	})
	t.Run("prefers an empty worker to mixed images", func(t *testing.T) {
		cands := idleCandidates(16000, 16000)
		cands[0].LatencyCriticalTasks, cands[0].OnlyOtherImages = 1, true
		assertChoice(t, dm, cands, 1)
	})
	longRunning := Demand{Needs: needs(4000), LongRunning: true}
	t.Run("leaves the last slot to short tasks", func(t *testing.T) {
		longRunning.Headroom, longRunning.PoolSlots = 3999, 1
		assertChoice(t, longRunning, idleCandidates(16000), -1)
	})
	t.Run("starts when the pool fits two such tasks", func(t *testing.T) {
		longRunning.Headroom, longRunning.PoolSlots = -100, 2
		assertChoice(t, longRunning, idleCandidates(16000), 0)
	})
}

// BenchmarkChoose measures the time of one choice among many workers.
func BenchmarkChoose(b *testing.B) {
	for _, count := range []int{50, 350, 12000} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			sizes := make([]int64, count)
			for ix := range sizes {
				sizes[ix] = int64(8000 + ix%7*8000)
			}
			cands := idleCandidates(sizes...)
			dm, indices := Demand{Needs: needs(3000)}, allIndices(cands)
			for b.Loop() {
				Choose(&dm, cands, indices)
			}
		})
	}
}
