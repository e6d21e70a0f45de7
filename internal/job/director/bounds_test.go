package director_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/currantrouter/currantrouter/internal/job/modeler"
	"github.com/currantrouter/currantrouter/internal/state/journaler"
)

// beginEpochWithoutRecords begins an epoch whose leader records nothing.
func (fl *fleet) beginEpochWithoutRecords() {
	jn, _, err := journaler.Open(fl.t.Context(), fl.store, "jobs", "other", "boot", journalOptions)
	qt.Assert(fl.t, err, qt.IsNil)
	jn.Close()
}

// Guards against a task that runs twice as a leader relies on the recorded end of a lease that an earlier leader,
// which did not rely on it, has extended without a new grant.
func TestBoundDroppedByEarlierLeader(t *testing.T) {
	const inherited = 12 * time.Second
	run(t, 3, func(fl *fleet, tm *term) {
		where := startOnUnreachable(fl, tm)
		sleep(3 * time.Second)
		tm.end()
		fl.beginEpochWithoutRecords()
		fl.workers.SetUnreachable(where, false)
		*tm = *fl.startTerm(inherited)
		sleep(3 * time.Second)
		fl.assertStartedOnce(modeler.TaskID{Job: "long"})
		fl.workers.SetUnreachable(where, true)
		tm.nextTerm(inherited)
		assertBetween(t, fl.timeToMove(where), inherited, inherited+time.Second)
	})
}

// Guards against a task that runs twice as the clock of a host that has followed a long term runs faster than that
// of its leader, by less than hosts' clocks may differ.
func TestFastClockOfSuccessor(t *testing.T) {
	run(t, 3, func(fl *fleet, tm *term) {
		const termTime = 10 * time.Minute
		sleep(termTime)
		where := startOnUnreachable(fl, tm)
		sleep(1500 * time.Millisecond)
		fl.predecessorSeenFor = termTime + termTime/100
		tm.nextTerm(12 * time.Second)
		fl.timeToMove(where)
	})
}
