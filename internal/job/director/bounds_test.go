package director_test

import (
	"testing"
	"time"
)

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
