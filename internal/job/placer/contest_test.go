package placer

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

func assertContest(t *testing.T, ct Contention, claim int, want float64) {
	t.Helper()
	qt.Check(t, ct.PressureOfOthers(claim), qt.Equals, want)
}

// Guards against work that fills which takes the few workers where another image harms nobody, while
// it could run elsewhere.
func TestContests(t *testing.T) {
	// Image 0 harms nobody, image 1 harms those of the first group.
	groups := []WorkerGroup{
		{IdleMilliCores: 2999, Tolerable: []bool{true, false}},
		{IdleMilliCores: 1000, Tolerable: []bool{true, true}},
	}
	t.Run("image with few workers counts most there", func(t *testing.T) {
		cts := Contentions(groups, []ImageDemand{{MilliCores: 1000}, {MilliCores: 2002}})
		assertContest(t, cts[0], 0, 0)
		assertContest(t, cts[1], 0, 2)
		assertContest(t, cts[1], 1, 0.25)
		assertContest(t, cts[0], -1, 0.25)
	})
	t.Run("no image", func(t *testing.T) {
		assertContest(t, Contentions(groups, nil)[1], 0, 0)
	})
	t.Run("bounded", func(t *testing.T) {
		assertContest(t, Contentions(groups, []ImageDemand{{}, {MilliCores: 1_000_000}})[1], 0, mostPressure)
	})
	// A pool has no use for the room of another.
	t.Run("two pools", func(t *testing.T) {
		pools := []WorkerGroup{
			{Pool: "east", IdleMilliCores: 999, Tolerable: []bool{true, true}},
			{Pool: "west", IdleMilliCores: 8999, Tolerable: []bool{true, true}},
		}
		cts := Contentions(pools, []ImageDemand{{"east", 1000}, {"west", 1800}})
		assertContest(t, cts[0], 1, 1)
		assertContest(t, cts[0], 0, 0)
		assertContest(t, cts[1], 0, 0.2)
	})
}
