package director_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/currantrouter/currantrouter/internal/job/modeler"
)

// Guards against a successor on a slow link that cannot read the journal in time, as nothing shortens it
// between many ends.
func TestShortJournal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const ends = 8000
		fl := newFleet(t, 50)
		tm := fl.lead(0)
		defer func() { tm.end() }()
		for no := range ends / 100 {
			tm.submit(simpleJob(modeler.JobID(fmt.Sprint("job-", no)), "batch", 100, cores(4000)))
		}
		tm.awaitAll(100 * time.Second)
		tm.end()
		tm = fl.lead(0)
		// Behind the last snapshot are at most the 4,000 facts that call for the next one, and those of the
		// 5 s until it is taken, with 200 ends each.
		qt.Check(t, tm.records < 4000+5*200, qt.IsTrue, qt.Commentf("%d records", tm.records))
		qt.Check(t, tm.allCompleted(), qt.IsTrue)
		fl.assertSound()
	})
}
