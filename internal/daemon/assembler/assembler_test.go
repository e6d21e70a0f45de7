package assembler_test

import (
	"errors"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/currantrouter/currantrouter/internal/fleet/modeler"
	"github.com/currantrouter/currantrouter/internal/provider/emulator"
)

// Guards against calls that fail when another host has to serve them, and against callers that get
// the answer to another call.
func TestFleetServes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fl := newFleet(t, 4, 2)
		fl.start()
		counts := fl.checkAnswers(fl.load(16, 5*time.Second))
		qt.Check(t, counts[modeler.Answered] > 1000, qt.IsTrue, qt.Commentf("%v", counts))
		qt.Check(t, counts[modeler.Unknown], qt.Equals, 0, qt.Commentf("%v", counts))
		fl.end()
	})
}

// Guards against calls that run twice, or run although they were reported as not run, when a host
// crashes, and against a data centre that then remains without a leader.
func TestHostCrash(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fl := newFleet(t, 4, 2)
		fl.start()
		time.AfterFunc(2*time.Second, func() { fl.kill(fl.members[0]) })
		during := fl.checkAnswers(fl.load(16, 12*time.Second))
		qt.Check(t, during[modeler.Answered] > 1000, qt.IsTrue, qt.Commentf("%v", during))
		after := fl.checkAnswers(fl.load(16, 3*time.Second))
		qt.Check(t, after[modeler.Unknown], qt.Equals, 0, qt.Commentf("after the takeover: %v", after))
		fl.end()
	})
}

// Guards against a second execution when a caller retries a call with the same key at another host.
func TestRetryAtAnotherHost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fl := newFleet(t, 3, 1)
		fl.start()
		for _, mb := range fl.members {
			got := fl.call(mb, http.MethodPost, "/plans?RunTime=5ms", "same-key", "same")
			qt.Check(t, got.err, qt.IsNil)
			qt.Check(t, got.outcome, qt.Equals, modeler.Answered, qt.Commentf("%s: %+v", mb.host.Name, got))
		}
		qt.Check(t, fl.executions()["same-key"], qt.Equals, 1)
		fl.end()
	})
}

// Guards against a data centre that stops serving when it is partitioned from the others, and against
// keys that run in two data centres during the partition or after it.
func TestDataCentrePartitioned(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fl := newFleet(t, 3, 2)
		fl.start()
		fl.partition("dc-0", true)
		during := fl.load(12, 10*time.Second)
		fl.checkAnswers(during)
		for key, got := range during {
			home := modeler.HomeDataCentre(key, fl.cfg.DataCentres)
			reachable := (home == "dc-0") == (got.via == "dc-0")
			answered := got.outcome == modeler.Answered
			qt.Check(t, answered, qt.Equals, reachable, qt.Commentf("key %s of %s at %s: %+v", key, home, got.via, got))
		}
		local := fl.call(fl.members[0], http.MethodGet, "/tides", "", "")
		qt.Check(t, local.outcome, qt.Equals, modeler.Answered, qt.Commentf("%+v", local))
		fl.partition("dc-0", false)
		time.Sleep(20 * time.Second)
		after := fl.checkAnswers(fl.load(12, 2*time.Second))
		qt.Check(t, after[modeler.Unknown], qt.Equals, 0, qt.Commentf("after healing: %v", after))
		fl.end()
	})
}

// Guards against failing calls without a key, and calls with a key that run without a claim, while
// the store is unavailable for an hour, and against a fleet that does not recover afterwards.
func TestStoreUnavailableForAnHour(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fl := newFleet(t, 2, 2)
		fl.start()
		fl.platform.Faults.Set(emulator.Switch{Part: emulator.PartStore, Fault: emulator.Unavailable})
		for range 12 {
			time.Sleep(5 * time.Minute)
			got := fl.call(fl.members[0], http.MethodGet, "/tides", "", "")
			qt.Check(t, got.outcome, qt.Equals, modeler.Answered, qt.Commentf("%+v", got))
		}
		keyed := fl.call(fl.members[0], http.MethodPost, "/plans", "away", "away")
		qt.Check(t, keyed.outcome == modeler.Answered, qt.IsFalse, qt.Commentf("%+v", keyed))
		qt.Check(t, fl.executions()["away"], qt.Equals, 0)
		fl.platform.Faults.Clear()
		time.Sleep(20 * time.Second)
		after := fl.checkAnswers(fl.load(8, 2*time.Second))
		qt.Check(t, after[modeler.Unknown], qt.Equals, 0, qt.Commentf("after the outage: %v", after))
		fl.end()
	})
}

// Guards against a revision that is not in force at every host within 2 s, and against a host that
// returns to a lower revision when it restarts while the store is unavailable.
func TestConfigurationReachesAllHosts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fl := newFleet(t, 4, 1)
		fl.start()
		fl.put(1)
		time.Sleep(2 * time.Second)
		for _, mb := range fl.members {
			qt.Check(t, fl.revision(mb), qt.Equals, modeler.Revision(2), qt.Commentf("%s", mb.host.Name))
		}
		fl.kill(fl.members[3])
		time.Sleep(time.Second)
		fl.platform.Faults.Set(emulator.Switch{Part: emulator.PartStore, Fault: emulator.Unavailable})
		fl.members = append(fl.members, fl.run(3))
		time.Sleep(10 * time.Second)
		qt.Check(t, fl.revision(fl.members[len(fl.members)-1]), qt.Equals, modeler.Revision(2))
		fl.platform.Faults.Clear()
		time.Sleep(10 * time.Second)
		fl.end()
	})
}

// Guards against tasks that are lost, run twice or run on two workers at once when their leader
// crashes.
func TestLeaderCrashWithBatchWork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fl := newFleet(t, 2, 1)
		fl.start()
		fl.importPlan(20)
		time.Sleep(4 * time.Second)
		for _, mb := range []*member{fl.members[0], fl.members[2]} {
			fl.kill(mb)
		}
		time.Sleep(2 * time.Minute)
		for _, jb := range fl.jobs(fl.members[1]) {
			qt.Check(t, jb.State, qt.Equals, "Done", qt.Commentf("%+v", jb))
		}
		fl.checkTasks(40)
		fl.end()
	})
}

// Guards against a rolling restart that aborts calls or leaves a host without its share of the slots.
func TestRollingRestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fl := newFleet(t, 2, 2)
		fl.start()
		var roll sync.WaitGroup
		roll.Go(func() {
			for idx := range fl.cfg.Hosts {
				old := fl.member(idx)
				old.stop()
				qt.Check(t, <-old.done, qt.IsNil, qt.Commentf("%s", old.host.Name))
				old.done <- nil
				fl.replace(idx, fl.run(idx))
				time.Sleep(8 * time.Second)
			}
		})
		answers := fl.load(8, 60*time.Second)
		roll.Wait()
		counts := fl.checkAnswers(answers)
		qt.Check(t, counts[modeler.Answered] > 5000, qt.IsTrue, qt.Commentf("%v", counts))
		qt.Check(t, counts[modeler.Unknown], qt.Equals, 0, qt.Commentf("%v", counts))
		for _, got := range answers {
			qt.Check(t, got.err == nil || errors.Is(got.err, syscall.ECONNREFUSED), qt.IsTrue, qt.Commentf("call cut off: %+v: %v", got, got.err))
		}
		fl.end()
	})
}
