package placer

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

func assertPressure(t *testing.T, ct Contention, demand int, want float64) {
	t.Helper()
	qt.Check(t, ct.PressureOfOthers(demand), qt.Equals, want)
}

// Guards against best-effort tasks that take the few workers on which another image is tolerable,
// although they could run elsewhere.
func TestContentions(t *testing.T) {
	// Image 0 is tolerable everywhere, image 1 only in the second group.
	groups := []WorkerGroup{
		{IdleMilliCores: 2999, Tolerable: []bool{true, false}},
		{IdleMilliCores: 1000, Tolerable: []bool{true, true}},
	}
	t.Run("image with few workers has the highest pressure", func(t *testing.T) {
		cts := Contentions(groups, []ImageDemand{{MilliCores: 1000}, {MilliCores: 2002}})
		assertPressure(t, cts[0], 0, 0)
		assertPressure(t, cts[1], 0, 2)
		assertPressure(t, cts[1], 1, 0.25)
		assertPressure(t, cts[0], -1, 0.25)
	})
	t.Run("no demand", func(t *testing.T) {
		assertPressure(t, Contentions(groups, nil)[1], 0, 0)
	})
	t.Run("at most maxPressure", func(t *testing.T) {
		assertPressure(t, Contentions(groups, []ImageDemand{{}, {MilliCores: 1_000_000}})[1], 0, maxPressure)
	})
	// The idle processors of one pool don't count for the demand in another.
	t.Run("two pools", func(t *testing.T) {
		pools := []WorkerGroup{
			{Pool: "east", IdleMilliCores: 999, Tolerable: []bool{true, true}},
			{Pool: "west", IdleMilliCores: 8999, Tolerable: []bool{true, true}},
		}
		cts := Contentions(pools, []ImageDemand{{"east", 1000}, {"west", 1800}})
		assertPressure(t, cts[0], 1, 1)
		assertPressure(t, cts[0], 0, 0)
		assertPressure(t, cts[1], 0, 0.2)
	})
}
