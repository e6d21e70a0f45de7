package estimator

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/currantrouter/currantrouter/internal/provider/supervisor"
)

const gibibyte = 1 << 30

func resources(millicores, gib int64) supervisor.Resources {
	return supervisor.Resources{Millicores: millicores, MemoryBytes: gib * gibibyte, Accelerators: 1}
}

func checkNear(t *testing.T, got, want, tolerance float64) {
	t.Helper()
	qt.Check(t, math.Abs(got-want) <= tolerance*want, qt.IsTrue, qt.Commentf("got %v, want %v", got, want))
}

// Guards against reservations that are based on too few samples, are below half of the declared size,
// or differ from the p95 usage by more than the resolution of a histogram.
func TestReservation(t *testing.T) {
	es := New(0)
	kd := es.Kind("a")
	for i := range 100 {
		if i < 20 {
			qt.Check(t, es.Reservation(kd, resources(4000, 8)), qt.Equals, resources(4000, 8))
		}
		es.ObserveUsage(kd, resources(int64(1000+10*i), 20))
	}
	got := es.Reservation(kd, resources(1000, 8))
	checkNear(t, float64(got.Millicores), 1950, 0.1)
	checkNear(t, float64(got.MemoryBytes), 20*gibibyte, 0.1)
	qt.Check(t, es.Reservation(kd, resources(8000, 80)), qt.Equals, resources(4000, 40))
	for range 2 * maxGenerationSamples {
		es.ObserveUsage(kd, resources(300, 1))
	}
	checkNear(t, float64(es.Reservation(kd, resources(100, 1)).Millicores), 300, 0.1)
}

// Guards against kinds without measurements that use the capacity reserved for short tasks, and
// against a class that does not follow measurements.
func TestClass(t *testing.T) {
	es := New(time.Minute)
	kd := es.Kind("a")
	qt.Check(t, es.Class(kd), qt.Equals, Long)
	for range 20 {
		es.ObserveRunTime(kd, 10*time.Second)
	}
	qt.Check(t, es.Class(kd), qt.Equals, Short)
	for range 3 {
		es.ObserveRunTime(kd, time.Hour)
	}
	qt.Check(t, es.Class(kd), qt.Equals, Long)
}

// Guards against memory that grows with the number of kinds, and against exported chunks that exceed
// the size limit of a snapshot part.
func TestBounds(t *testing.T) {
	es := New(0)
	for i := range 3 * maxKinds {
		kd := es.Kind(fmt.Sprint("kind", i))
		es.ObserveUsage(kd, resources(int64(i), int64(i)))
		es.ObserveSlowdown(kd, 2, 1, []Kind{1, kd})
	}
	qt.Check(t, es.stats, qt.HasLen, maxKinds)
	chunks, err := es.Export()
	qt.Assert(t, err, qt.IsNil)
	for _, ch := range chunks {
		qt.Check(t, len(ch) < 768<<10, qt.IsTrue, qt.Commentf("%d bytes", len(ch)))
	}
}

// Guards against estimates that do not separate the interference of several co-runners, ignore the
// load, or rely on a single sample.
func TestInterference(t *testing.T) {
	es := New(0)
	actual := [4][4]float64{1: {2: 0.8}, 2: {3: 0.2}, 3: {3: 0.5}}
	es.Kind("a")
	es.Kind("b")
	es.Kind("c")
	rng := rand.New(rand.NewPCG(7, 7))
	for range 3000 {
		victim := Kind(1 + rng.IntN(3))
		load := 0.2 + 0.8*rng.Float64()
		var others []Kind
		slow := 1.0
		for range 1 + rng.IntN(4) {
			kd := Kind(1 + rng.IntN(3))
			others = append(others, kd)
			slow += actual[victim][kd] * load
		}
		es.ObserveSlowdown(victim, slow, load, others)
	}
	for victim := Kind(1); victim < 4; victim++ {
		for other := Kind(1); other < 4; other++ {
			got := es.Interference(victim, other, 0.5)
			qt.Check(t, math.Abs(got-0.5*actual[victim][other]) < 0.08, qt.IsTrue, qt.Commentf("%d beside %d: %v", victim, other, got))
		}
	}
	chunks, err := es.Export()
	qt.Assert(t, err, qt.IsNil)
	restored := New(0)
	for _, ch := range chunks {
		qt.Assert(t, restored.Import(ch), qt.IsNil)
	}
	checkNear(t, restored.Interference(restored.Kind("a"), restored.Kind("b"), 1), es.Interference(1, 2, 1), 0.01)
	fresh := es.Kind("fresh")
	es.ObserveSlowdown(fresh, 11, 1, []Kind{2})
	qt.Check(t, es.Interference(fresh, 2, 1) < 8, qt.IsTrue)
}
