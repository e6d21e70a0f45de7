package elector_test

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against a new leader that removes the records of hosts with which it had no contact while
// another host led.
func TestNewLeaderKeepsMembers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t, 5)
		defer cl.stop()
		sleep(5 * time.Minute)
		leader := cl.assertLeader()
		cl.hosts[leader].elector.Drain()
		sleep(10 * time.Second)
		qt.Check(t, cl.assertLeader() != leader, qt.IsTrue)
		ens, _, err := cl.store.Snapshot(t.Context(), "Member/")
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, ens, qt.HasLen, 5)
	})
}

// sleep advances the clock and waits until all that follows from it has happened.
func sleep(dur time.Duration) {
	time.Sleep(dur)
	synctest.Wait()
}
