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

// Guards against a journal that grows without a bound in a series of terms that are too short for a snapshot, so that
// in the end no host can read it in time to lead.
func TestShortJournalInSeriesOfTerms(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const (
			terms    = 60
			termTime = 4 * time.Second
			// maxSegments is the number of segments after a snapshot that triggers the next one.
			maxSegments = 600
			// writes bounds the segments that a term writes.
			writes = 20 * 4
		)
		fl := newFleet(t, 4)
		tm := fl.startTerm(0)
		defer func() { tm.end() }()
		var longest int64
		for no := range terms {
			tm.submit(simpleJob(modeler.JobID(fmt.Sprint("job-", no)), "batch", 200, cores(1000)))
			sleep(termTime)
			tm.nextTerm(10 * time.Second)
			longest = max(longest, tm.segments)
		}
		qt.Check(t, longest < maxSegments+2*writes, qt.IsTrue, qt.Commentf("%d segments", longest))
		fl.assertNoViolations()
	})
}
