package placer

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/currantrouter/currantrouter/internal/batch/estimator"
	"github.com/currantrouter/currantrouter/internal/fleet/modeler"
	"github.com/currantrouter/currantrouter/internal/provider/supervisor"
)

const gibibyte = 1 << 30

// pairwise predicts that kind 2 slows kind 1, and no other interference.
type pairwise struct{}

func (pairwise) Interference(victim, aggressor estimator.Kind, load float64) float64 {
	if victim == 1 && aggressor == 2 {
		return load
	}
	return 0
}

func resources(cores, gib int64) supervisor.Resources {
	return supervisor.Resources{Millicores: cores * 1000, MemoryBytes: gib * gibibyte}
}

func workerName(i int) modeler.WorkerName { return modeler.WorkerName(fmt.Sprintf("w%05d", i)) }

func newTestPlacer(n int) *Placer {
	pl := New(pairwise{}, DefaultShortReserve, 1)
	for i := range n {
		pl.Upsert(supervisor.Worker{Name: workerName(i), Rack: fmt.Sprint(i / 6), Capacity: resources(64, 250)})
		pl.SetUnschedulable(workerName(i), false)
	}
	return pl
}

func newTask(job string, no int, rs supervisor.Resources) Task {
	return Task{Attempt: supervisor.Attempt{Job: job, Task: no, Number: 1}, Reservation: rs}
}

func mustPlace(t testing.TB, pl *Placer, tk Task) modeler.WorkerName {
	t.Helper()
	name, err := pl.Place(tk)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, pl.Reserve(name, tk), qt.IsTrue)
	return name
}

var placeTests = map[string]func(*testing.T, *Placer){
	"never above capacity": func(t *testing.T, pl *Placer) {
		placed := 0
		for i := range 1000 {
			tk := newTask("j", i, resources(1+int64(i%7), 1+int64(i*13%50)))
			if name, err := pl.Place(tk); err == nil {
				placed++
				qt.Assert(t, pl.Reserve(name, tk), qt.IsTrue)
			}
		}
		for i := range 12 {
			qt.Check(t, fitsWithin(pl.Reserved(workerName(i)), resources(64, 250)), qt.IsTrue)
		}
		qt.Check(t, placed > 100, qt.IsTrue, qt.Commentf("%d", placed))
	},
	"use above the reservation counts after two reports": func(t *testing.T, pl *Placer) {
		tk := newTask("j", 0, resources(8, 8))
		wk := mustPlace(t, pl, tk)
		for reports, want := range []bool{true, false} {
			pl.ObserveUsage(wk, tk.Attempt, resources(60, 8))
			pl.UpdateIndex(wk)
			qt.Check(t, pl.CanPlaceOn(wk, newTask("k", 0, resources(8, 8))), qt.Equals, want, qt.Commentf("report %d", reports+1))
		}
		pl.Release(wk, tk.Attempt)
		qt.Check(t, pl.Load(wk), qt.Equals, 0.0)
	},
	"low use does not free the reservation": func(t *testing.T, pl *Placer) {
		tk := newTask("j", 0, resources(60, 8))
		wk := mustPlace(t, pl, tk)
		for range 3 {
			pl.ObserveUsage(wk, tk.Attempt, resources(1, 1))
		}
		pl.UpdateIndex(wk)
		qt.Check(t, pl.Reserve(wk, newTask("k", 0, resources(8, 8))), qt.IsFalse)
	},
	"long work leaves the reserve": func(t *testing.T, pl *Placer) {
		long := newTask("long", 0, resources(16, 16))
		long.Long = true
		for pl.longReserved.Millicores <= 12*64_000*85/100-16_000 {
			long.Attempt.Task++
			mustPlace(t, pl, long)
		}
		_, err := pl.Place(long)
		qt.Check(t, err, qt.ErrorIs, ErrShortReserve)
		mustPlace(t, pl, newTask("short", 0, resources(16, 16)))
	},
	"rack spread": func(t *testing.T, pl *Placer) {
		tk := newTask("j", 0, resources(1, 1))
		tk.MaxPerRack = 2
		for range 4 {
			tk.Attempt.Task++
			mustPlace(t, pl, tk)
		}
		_, err := pl.Place(tk)
		qt.Check(t, err, qt.ErrorIs, ErrRackLimit)
	},
	"unschedulable, leaving and failed workers": func(t *testing.T, pl *Placer) {
		for i := range 10 {
			pl.SetUnschedulable(workerName(i), true)
		}
		pl.Upsert(supervisor.Worker{Name: workerName(10), Capacity: resources(64, 250), Leaving: true})
		tk := newTask("j", 0, resources(1, 1))
		qt.Check(t, mustPlace(t, pl, tk), qt.Equals, workerName(11))
		tk.FailedOn = map[modeler.WorkerName]string{workerName(11): "failed"}
		_, err := pl.Place(tk)
		qt.Check(t, err, qt.ErrorIs, ErrInsufficientCapacity)
	},
	"never fits": func(t *testing.T, pl *Placer) {
		_, err := pl.Place(newTask("j", 0, resources(65, 1)))
		qt.Check(t, err, qt.ErrorIs, ErrTooLarge)
		qt.Check(t, pl.Clamp(resources(100, 1), resources(16, 1)), qt.Equals, resources(64, 1))
	},
	"interference": func(t *testing.T, pl *Placer) {
		noisy := newTask("noisy", 0, resources(32, 8))
		noisy.Kind = 2
		wk := mustPlace(t, pl, noisy)
		victim := newTask("victim", 0, resources(16, 8))
		victim.Kind, victim.LatencyCritical = 1, true
		for i := range 20 {
			victim.Attempt.Task = i
			qt.Check(t, mustPlace(t, pl, victim), qt.Not(qt.Equals), wk)
		}
	},
	"batch tasks keep away from latency-critical ones that they slow": func(t *testing.T, pl *Placer) {
		for i := range 12 {
			victim := newTask("victim", i, resources(16, 8))
			victim.Kind, victim.LatencyCritical = 1, true
			qt.Assert(t, pl.Reserve(workerName(i), victim), qt.IsTrue)
		}
		noisy := newTask("noisy", 0, resources(16, 8))
		noisy.Kind = 2
		_, err := pl.Place(noisy)
		qt.Check(t, err, qt.ErrorIs, ErrInterference)
		noisy.Kind = 3
		mustPlace(t, pl, noisy)
	},
}

// Guards against placement on a worker that lacks capacity, is unschedulable, exceeds a limit or
// interferes.
func TestPlace(t *testing.T) {
	for name, run := range placeTests {
		t.Run(name, func(t *testing.T) { run(t, newTestPlacer(12)) })
	}
}

// BenchmarkPlace measures one placement with its reservation and release on loaded workers. The cost
// with 12,000 workers must be at most 4 times that with 50.
func BenchmarkPlace(b *testing.B) {
	base := 0.0
	for _, n := range []int{50, 500, 2000, 12_000} {
		b.Run(fmt.Sprint("workers=", n), func(b *testing.B) {
			pl, wks, tks := loadedPlacer(b, n)
			b.ResetTimer()
			for i := range b.N {
				at := i % len(tks)
				pl.Release(wks[at], tks[at].Attempt)
				tks[at].Attempt.Number++
				name, err := pl.Place(tks[at])
				if err != nil {
					b.Fatal(err)
				}
				pl.Reserve(name, tks[at])
				wks[at] = name
			}
			cost := float64(b.Elapsed().Nanoseconds()) / float64(b.N)
			if n == 50 {
				base = cost
			}
			b.ReportMetric(cost/base, "x-of-50-workers")
		})
	}
}

// BenchmarkMemory measures the heap of a placer with 10 tasks per worker. It measures once.
func BenchmarkMemory(b *testing.B) {
	before := heapBytes()
	pl := newTestPlacer(12_000)
	empty := heapBytes()
	fill(b, pl, 120_000)
	loaded := heapBytes()
	for b.Loop() {
		runtime.KeepAlive(pl)
	}
	b.ReportMetric(float64(empty-before)/12_000, "B/worker")
	b.ReportMetric(float64(loaded-empty)/120_000, "B/task")
}

// learnedEstimator returns an estimator with samples of all pairs of the benchmark's kinds.
func learnedEstimator() *estimator.Estimator {
	es := estimator.New(0)
	for i := range benchKinds {
		es.Kind(fmt.Sprint("kind", i))
	}
	for victim := range estimator.Kind(benchKinds) {
		for other := range estimator.Kind(benchKinds) {
			es.ObserveSlowdown(victim, 1.1, 0.5, []estimator.Kind{other})
		}
	}
	return es
}

const benchKinds = 8

func loadedPlacer(b *testing.B, n int) (*Placer, []modeler.WorkerName, []Task) {
	pl := newTestPlacer(n)
	pl.predictor = learnedEstimator()
	wks, tks := fill(b, pl, n*10)
	return pl, wks, tks
}

func fill(b *testing.B, pl *Placer, n int) ([]modeler.WorkerName, []Task) {
	rd := rand.New(rand.NewPCG(1, 1))
	var wks []modeler.WorkerName
	var tks []Task
	for i := range n {
		tk := newTask("job", i, resources(1+rd.Int64N(8), 1+rd.Int64N(30)))
		tk.Kind = estimator.Kind(rd.IntN(benchKinds))
		wks = append(wks, mustPlace(b, pl, tk))
		tks = append(tks, tk)
	}
	return wks, tks
}
