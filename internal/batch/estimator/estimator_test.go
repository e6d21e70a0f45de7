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

func size(millicores, gib int64) supervisor.Resources {
	return supervisor.Resources{Millicores: millicores, MemoryBytes: gib * gibibyte, Accelerators: 1}
}

func near(t *testing.T, got, want, tolerance float64) {
	t.Helper()
	qt.Check(t, math.Abs(got-want) <= tolerance*want, qt.IsTrue, qt.Commentf("got %v, want %v", got, want))
}

// Guards against reservations from too few samples, below half of the declared size, or that miss
// the p95 of use by more than the resolution of a histogram.
func TestReservation(t *testing.T) {
	es := New(0)
	kd := es.Kind("a")
	for i := range 100 {
		if i < 20 {
			qt.Check(t, es.Reservation(kd, size(4000, 8)), qt.Equals, size(4000, 8))
		}
		es.ObserveUse(kd, size(int64(1000+10*i), 20))
	}
	got := es.Reservation(kd, size(1000, 8))
	near(t, float64(got.Millicores), 1950, 0.1)
	near(t, float64(got.MemoryBytes), 20*gibibyte, 0.1)
	qt.Check(t, es.Reservation(kd, size(8000, 80)), qt.Equals, size(4000, 40))
	for range 2 * generationSamples {
		es.ObserveUse(kd, size(300, 1))
	}
	near(t, float64(es.Reservation(kd, size(100, 1)).Millicores), 300, 0.1)
}

// Guards against unknown kinds in the room kept for short work, and against a class that does not
// follow measurements.
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

// Guards against memory that grows with the number of kinds and against parts above the limit of a
// snapshot.
func TestBounds(t *testing.T) {
	es := New(0)
	for i := range 3 * maxKinds {
		kd := es.Kind(fmt.Sprint("kind", i))
		es.ObserveUse(kd, size(int64(i), int64(i)))
		es.ObserveSlowdown(kd, 2, 1, []Kind{1, kd})
	}
	qt.Check(t, es.kinds, qt.HasLen, maxKinds)
	chunks, err := es.Export()
	qt.Assert(t, err, qt.IsNil)
	for _, ch := range chunks {
		qt.Check(t, len(ch) < 768<<10, qt.IsTrue, qt.Commentf("%d bytes", len(ch)))
	}
}

// Guards against interference that is not found from lagging sums of several co-runners, that
// ignores load, or that trusts a few samples.
func TestInterference(t *testing.T) {
	es := New(0)
	hidden := [4][4]float64{1: {2: 0.8}, 2: {3: 0.2}, 3: {3: 0.5}}
	es.Kind("a")
	es.Kind("b")
	es.Kind("c")
	rd := rand.New(rand.NewPCG(7, 7))
	for range 3000 {
		victim := Kind(1 + rd.IntN(3))
		load := 0.2 + 0.8*rd.Float64()
		var others []Kind
		slow := 1.0
		for range 1 + rd.IntN(4) {
			kd := Kind(1 + rd.IntN(3))
			others = append(others, kd)
			slow += hidden[victim][kd] * load
		}
		es.ObserveSlowdown(victim, slow, load, others)
	}
	for victim := Kind(1); victim < 4; victim++ {
		for other := Kind(1); other < 4; other++ {
			got := es.Interference(victim, other, 0.5)
			qt.Check(t, math.Abs(got-0.5*hidden[victim][other]) < 0.08, qt.IsTrue, qt.Commentf("%d beside %d: %v", victim, other, got))
		}
	}
	chunks, err := es.Export()
	qt.Assert(t, err, qt.IsNil)
	again := New(0)
	for _, ch := range chunks {
		qt.Assert(t, again.Import(ch), qt.IsNil)
	}
	near(t, again.Interference(again.Kind("a"), again.Kind("b"), 1), es.Interference(1, 2, 1), 0.01)
	fresh := es.Kind("fresh")
	es.ObserveSlowdown(fresh, 11, 1, []Kind{2})
	qt.Check(t, es.Interference(fresh, 2, 1) < 8, qt.IsTrue)
}
