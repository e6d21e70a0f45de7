package director_test

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against a leader that carries fewer starts the more workers it has, as each start looks at all of them.
func TestStartCostBesideFleetSize(t *testing.T) {
	costsPerStart := func(workers int) float64 {
		var rs loadResult
		synctest.Test(t, func(t *testing.T) {
			rs = (&largeLoad{workers: workers, perSecond: 10, criticalImages: 16, bestEffortImages: 30, criticalJobs: 40, length: 5 * time.Second}).play(t)
		})
		qt.Assert(t, rs.starts > 1000, qt.IsTrue, qt.Commentf("%d starts", rs.starts))
		return float64(rs.costs) / float64(rs.starts)
	}
	// The same starts are asked of both fleets.
	small, large := costsPerStart(300), costsPerStart(1200)
	qt.Check(t, large <= 1.5*small, qt.IsTrue, qt.Commentf("%.1f costs for each start with 300 workers, %.1f with 1,200", small, large))
}
