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

// pairwise slows kind 1 beside kind 2, and nothing else.
type pairwise struct{}

func (pairwise) Interference(victim, aggressor estimator.Kind, load float64) float64 {
	if victim == 1 && aggressor == 2 {
		return load
	}
	return 0
}

func size(cores, gib int64) supervisor.Resources {
	return supervisor.Resources{Millicores: cores * 1000, MemoryBytes: gib * gibibyte}
}

func named(i int) modeler.WorkerName { return modeler.WorkerName(fmt.Sprintf("w%05d", i)) }

func fleet(n int) *Placer {
	pl := New(pairwise{}, DefaultShortReserve, 1)
	for i := range n {
		pl.Upsert(supervisor.Worker{Name: named(i), Rack: fmt.Sprint(i / 6), Capacity: size(64, 250)})
		pl.SetBlocked(named(i), false)
	}
	return pl
}

func request(job string, no int, rs supervisor.Resources) Task {
	return Task{Attempt: supervisor.Attempt{Job: job, Task: no, Number: 1}, Reservation: rs}
}

func mustPlace(t testing.TB, pl *Placer, tk Task) modeler.WorkerName {
	t.Helper()
	name, err := pl.Place(tk)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, pl.Reserve(name, tk), qt.IsTrue)
	return name
}

var placements = map[string]func(*testing.T, *Placer){
	"never above capacity": func(t *testing.T, pl *Placer) {
		placed := 0
		for i := range 1000 {
			tk := request("j", i, size(1+int64(i%7), 1+int64(i*13%50)))
			if name, err := pl.Place(tk); err == nil {
				placed++
				qt.Assert(t, pl.Reserve(name, tk), qt.IsTrue)
			}
		}
		for i := range 12 {
			qt.Check(t, fits(pl.Reserved(named(i)), size(64, 250)), qt.IsTrue)
		}
		qt.Check(t, placed > 100, qt.IsTrue, qt.Commentf("%d", placed))
	},
	"use above the reservation counts after two reports": func(t *testing.T, pl *Placer) {
		tk := request("j", 0, size(8, 8))
		wk := mustPlace(t, pl, tk)
		for reports, want := range []bool{true, false} {
			pl.Observe(wk, tk.Attempt, size(60, 8))
			pl.Observed(wk)
			qt.Check(t, pl.CanPlaceOn(wk, request("k", 0, size(8, 8))), qt.Equals, want, qt.Commentf("report %d", reports+1))
		}
		pl.Release(wk, tk.Attempt)
		qt.Check(t, pl.Load(wk), qt.Equals, 0.0)
	},
	"low use does not free the reservation": func(t *testing.T, pl *Placer) {
		tk := request("j", 0, size(60, 8))
		wk := mustPlace(t, pl, tk)
		for range 3 {
			pl.Observe(wk, tk.Attempt, size(1, 1))
		}
		pl.Observed(wk)
		qt.Check(t, pl.Reserve(wk, request("k", 0, size(8, 8))), qt.IsFalse)
	},
	"long work leaves the reserve": func(t *testing.T, pl *Placer) {
		long := request("long", 0, size(16, 16))
		long.Long = true
		for pl.longHeld.Millicores <= 12*64_000*85/100-16_000 {
			long.Attempt.Task++
			mustPlace(t, pl, long)
		}
		_, err := pl.Place(long)
		qt.Check(t, err, qt.ErrorIs, ErrShortReserve)
		mustPlace(t, pl, request("short", 0, size(16, 16)))
	},
	"rack spread": func(t *testing.T, pl *Placer) {
		tk := request("j", 0, size(1, 1))
		tk.PerRack = 2
		for range 4 {
			tk.Attempt.Task++
			mustPlace(t, pl, tk)
		}
		_, err := pl.Place(tk)
		qt.Check(t, err, qt.ErrorIs, ErrSpread)
	},
	"blocked, leaving and failed workers": func(t *testing.T, pl *Placer) {
		for i := range 10 {
			pl.SetBlocked(named(i), true)
		}
		pl.Upsert(supervisor.Worker{Name: named(10), Capacity: size(64, 250), Leaving: true})
		tk := request("j", 0, size(1, 1))
		qt.Check(t, mustPlace(t, pl, tk), qt.Equals, named(11))
		tk.Avoid = map[modeler.WorkerName]string{named(11): "failed"}
		_, err := pl.Place(tk)
		qt.Check(t, err, qt.ErrorIs, ErrNoRoom)
	},
	"never fits": func(t *testing.T, pl *Placer) {
		_, err := pl.Place(request("j", 0, size(65, 1)))
		qt.Check(t, err, qt.ErrorIs, ErrNeverFits)
		qt.Check(t, pl.Clamp(size(100, 1), size(16, 1)), qt.Equals, size(64, 1))
	},
	"interference": func(t *testing.T, pl *Placer) {
		noisy := request("noisy", 0, size(32, 8))
		noisy.Kind = 2
		wk := mustPlace(t, pl, noisy)
		victim := request("victim", 0, size(16, 8))
		victim.Kind, victim.LatencyCritical = 1, true
		for i := range 20 {
			victim.Attempt.Task = i
			qt.Check(t, mustPlace(t, pl, victim), qt.Not(qt.Equals), wk)
		}
	},
	"batch tasks keep away from latency-critical ones that they slow": func(t *testing.T, pl *Placer) {
		for i := range 12 {
			victim := request("victim", i, size(16, 8))
			victim.Kind, victim.LatencyCritical = 1, true
			qt.Assert(t, pl.Reserve(named(i), victim), qt.IsTrue)
		}
		noisy := request("noisy", 0, size(16, 8))
		noisy.Kind = 2
		_, err := pl.Place(noisy)
		qt.Check(t, err, qt.ErrorIs, ErrInterference)
		noisy.Kind = 3
		mustPlace(t, pl, noisy)
	},
}

// Guards against a task on a worker that must not or should not have it.
func TestPlace(t *testing.T) {
	for name, run := range placements {
		t.Run(name, func(t *testing.T) { run(t, fleet(12)) })
	}
}

// BenchmarkPlace measures one placement with its reservation and release on a loaded fleet. The cost
// at 12,000 workers must be at most 4 times that at 50.
func BenchmarkPlace(b *testing.B) {
	base := 0.0
	for _, n := range []int{50, 500, 2000, 12_000} {
		b.Run(fmt.Sprint("workers=", n), func(b *testing.B) {
			pl, wks, tks := loadedFleet(b, n)
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

// BenchmarkMemory measures the memory of a placer with 10 tasks a worker, once.
func BenchmarkMemory(b *testing.B) {
	before := heap()
	pl := fleet(12_000)
	empty := heap()
	fill(b, pl, 120_000)
	loaded := heap()
	for b.Loop() {
		runtime.KeepAlive(pl)
	}
	b.ReportMetric(float64(empty-before)/12_000, "B/worker")
	b.ReportMetric(float64(loaded-empty)/120_000, "B/task")
}

// learned returns an estimator that knows all pairs of the kinds of fill.
func learned() *estimator.Estimator {
	es := estimator.New(0)
	for i := range fillKinds {
		es.Kind(fmt.Sprint("kind", i))
	}
	for victim := range estimator.Kind(fillKinds) {
		for other := range estimator.Kind(fillKinds) {
			es.ObserveSlowdown(victim, 1.1, 0.5, []estimator.Kind{other})
		}
	}
	return es
}

const fillKinds = 8

func loadedFleet(b *testing.B, n int) (*Placer, []modeler.WorkerName, []Task) {
	pl := fleet(n)
	pl.interferer = learned()
	wks, tks := fill(b, pl, n*10)
	return pl, wks, tks
}

func fill(b *testing.B, pl *Placer, n int) ([]modeler.WorkerName, []Task) {
	rd := rand.New(rand.NewPCG(1, 1))
	var wks []modeler.WorkerName
	var tks []Task
	for i := range n {
		tk := request("job", i, size(1+rd.Int64N(8), 1+rd.Int64N(30)))
		tk.Kind = estimator.Kind(rd.IntN(fillKinds))
		wks = append(wks, mustPlace(b, pl, tk))
		tks = append(tks, tk)
	}
	return wks, tks
}
