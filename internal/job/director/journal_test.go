package director_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/currantrouter/currantrouter/internal/job/modeler"
)

// Guards against a journal that grows too long between snapshots when many tasks end: the next
// leader on a slow link cannot read it in time.
func TestShortJournal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const ends = 8000
		fl := newFleet(t, 50)
		tm := fl.startTerm(0)
		defer func() { tm.end() }()
		for no := range ends / 100 {
			tm.submit(simpleJob(modeler.JobID(fmt.Sprint("job-", no)), "batch", 100, cores(4000)))
		}
		tm.awaitAll(100 * time.Second)
		tm.end()
		tm = fl.startTerm(0)
		// The journal holds at most the 4,000 facts after a snapshot that trigger the next one, and
		// those of the 5 s until it is taken, with 200 ends a second.
		qt.Check(t, tm.records < 4000+5*200, qt.IsTrue, qt.Commentf("%d records", tm.records))
		qt.Check(t, tm.allCompleted(), qt.IsTrue)
		fl.assertNoViolations()
	})
}
