package scheduler

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/currantrouter/currantrouter/internal/provider/emulator"
	"github.com/currantrouter/currantrouter/internal/provider/supervisor"
)

// Guards against a batch task whose worker is lost and that waits for the worker's lease anew in each of a series of
// terms.
func TestLostWorkerInSeriesOfTerms(t *testing.T) {
	const termTime = testLease / 2
	synctest.Test(t, func(t *testing.T) {
		runTime := func(supervisor.StartCommand) time.Duration { return time.Hour }
		cl := newTestCluster(t, 4, emulator.Behaviour{RunTime: runTime})
		cl.startLeader()
		time.Sleep(3 * time.Second)
		cl.submit(testJob("a"))
		time.Sleep(5 * time.Second)
		before := cl.taskStatus("a")
		qt.Assert(t, before.Attempt, qt.Equals, 1)
		cl.workers.Kill(before.Worker)
		lost, attempt := time.Now(), 0
		for attempt < 2 && time.Since(lost) < 10*testLease {
			time.Sleep(termTime)
			if attempt = cl.taskStatus("a").Attempt; attempt < 2 {
				cl.currentProcess().kill()
				time.Sleep(8 * time.Second)
			}
		}
		cl.close()
		qt.Check(t, attempt, qt.Equals, 2, qt.Commentf("%v after the loss", time.Since(lost)))
	})
}
