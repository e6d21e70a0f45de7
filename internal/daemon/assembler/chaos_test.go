package assembler_test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/currantrouter/currantrouter/internal/fleet/modeler"
	"github.com/currantrouter/currantrouter/internal/provider/emulator"
)

// Guards against single faults that make a call run twice, exceed a runner's limits, or leave the
// fleet unable to serve after the fault.
func TestFaults(t *testing.T) {
	slow := emulator.Switch{Part: emulator.PartStore, Fault: emulator.Slow, Delay: 800 * time.Millisecond}
	for _, tc := range []struct {
		name  string
		fault func(*fleet)
		// during is the time from the fault to its end.
		during time.Duration
	}{
		{"PausedFor3s", func(fl *fleet) { fl.pause(fl.member(0), true) }, 3 * time.Second},
		{"PausedFor30s", func(fl *fleet) { fl.pause(fl.member(0), true) }, 30 * time.Second},
		{"PausedFor10min", func(fl *fleet) { fl.pause(fl.member(0), true) }, 10 * time.Minute},
		{"HostSilent", func(fl *fleet) { fl.net.blackhole("dc-0-host-0") }, 20 * time.Second},
		{"RunnerSilent", func(fl *fleet) { fl.net.blackhole("dc-0-runner-0") }, 20 * time.Second},
		{"HostsOfOneDataCentreApart", func(fl *fleet) { fl.net.setCut("dc-0-host-0", "dc-0-host-1", true) }, 30 * time.Second},
		{"RunnerFails", runnerFault(emulator.FailEverything, 0), 10 * time.Second},
		{"RunnerSlow", runnerFault(emulator.Slow, 4*time.Second), 20 * time.Second},
		{"RunnerTruncates", runnerFault(emulator.Truncated, 0), 10 * time.Second},
		{"RunnerLosesAnswers", runnerFault(emulator.AnswerLost, 0), 10 * time.Second},
		{"StoreSlow", func(fl *fleet) { fl.platform.Faults.Set(slow) }, 2 * time.Minute},
		{"KilledInTakeover", func(fl *fleet) {
			fl.kill(fl.member(0))
			time.AfterFunc(5500*time.Millisecond, func() { fl.kill(fl.member(1)) })
			time.AfterFunc(6*time.Second, func() { fl.restart(0) })
			time.AfterFunc(7*time.Second, func() { fl.restart(1) })
		}, 20 * time.Second},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fl := newFleet(t, 2, 2)
				fl.start()
				tc.fault(fl)
				time.AfterFunc(tc.during, func() { fl.heal() })
				counts := fl.checkAnswers(fl.load(6, min(tc.during+5*time.Second, 15*time.Second)))
				qt.Check(t, counts[modeler.Answered] > 0, qt.IsTrue, qt.Commentf("%v", counts))
				time.Sleep(tc.during + 30*time.Second)
				after := fl.checkAnswers(fl.load(6, 2*time.Second))
				qt.Check(t, after[modeler.Unknown], qt.Equals, 0, qt.Commentf("after the fault: %v", after))
				fl.end()
			})
		})
	}
}

// Guards against a host that crashes at its start if the store has earlier revisions, which the
// limiter replays before the rest of the request path exists.
func TestHostStartsAfterManyRevisions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fl := newFleet(t, 2, 2)
		fl.putDocument(fl.cfg)
		fl.start()
		fl.putDocument(fl.cfg)
		fl.drain(fl.member(1))
		fl.restart(1)
		time.Sleep(5 * time.Second)
		counts := fl.checkAnswers(fl.load(4, 2*time.Second))
		qt.Check(t, counts[modeler.Answered] > 0, qt.IsTrue, qt.Commentf("%v", counts))
		fl.end()
	})
}

func runnerFault(ft emulator.Fault, delay time.Duration) func(*fleet) {
	return func(fl *fleet) {
		fl.platform.Faults.Set(emulator.Switch{Part: emulator.PartRunners, Target: "dc-0-runner-0", Fault: ft, Delay: delay})
	}
}

// Guards against violations that only a combination of faults causes. CHAOS_SEEDS sets the number
// of seeds, which is at least 3.
func TestRandomFaults(t *testing.T) {
	seeds, _ := strconv.Atoi(os.Getenv("CHAOS_SEEDS"))
	for seed := range uint64(max(3, seeds)) {
		t.Run(fmt.Sprintf("Seed%d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runRandomFaults(t, seed) })
		})
	}
}

func runRandomFaults(t *testing.T, seed uint64) {
	rnd := rand.New(rand.NewPCG(seed, 1))
	fl := newFleet(t, 2, 2)
	fl.start()
	fl.importPlan(20)
	var wg sync.WaitGroup
	var trace []string
	wg.Go(func() {
		for until := time.Now().Add(2 * time.Minute); time.Now().Before(until); {
			trace = append(trace, fl.injectRandomFault(rnd))
			time.Sleep(time.Duration(rnd.Int64N(int64(8 * time.Second))))
			fl.heal()
			time.Sleep(time.Duration(rnd.Int64N(int64(6 * time.Second))))
		}
		fl.heal()
		fl.putDocument(fl.cfg)
	})
	fl.checkAnswers(fl.loadWithRetries(6, 2*time.Minute))
	wg.Wait()
	time.Sleep(2 * time.Minute)
	after := fl.checkAnswers(fl.load(6, 2*time.Second))
	qt.Check(t, after[modeler.Unknown], qt.Equals, 0, qt.Commentf("after the faults: %v", after))
	for task, num := range fl.platform.Workers.Oracle().Executions {
		qt.Check(t, num, qt.Equals, 1, qt.Commentf("executions of %v, which must not be repeated", task))
	}
	for _, jb := range fl.jobs(fl.member(0)) {
		qt.Check(t, jb.State == "Running" || jb.State == "Waiting", qt.IsFalse, qt.Commentf("%+v", jb))
	}
	fl.end()
	if t.Failed() {
		t.Logf("seed %d: %v", seed, trace)
	}
}

// injectRandomFault begins one random fault and returns its description.
func (fl *fleet) injectRandomFault(rnd *rand.Rand) string {
	idx := rnd.IntN(len(fl.cfg.Hosts))
	mb := fl.member(idx)
	what := fmt.Sprintf("%s %s ", time.Now().Format("04:05.000"), mb.host.Name)
	fault := func(part string, ft emulator.Fault, delay time.Duration) {
		sw := emulator.Switch{Part: part, Fault: ft, Delay: delay, Count: 1 + rnd.IntN(20)}
		if part == emulator.PartRunners {
			sw.Target = string(fl.cfg.Runners[rnd.IntN(len(fl.cfg.Runners))].Name)
		}
		fl.platform.Faults.Set(sw)
	}
	events := []struct {
		name string
		run  func()
	}{
		{"pause", func() { fl.pause(mb, true) }},
		{"kill", func() { fl.kill(mb); time.Sleep(time.Second); fl.restart(idx) }},
		{"drain", func() { fl.drain(mb); fl.restart(idx) }},
		{"silence", func() { fl.net.blackhole(string(mb.host.Name)) }},
		{"cut from the store", func() { mb.store.setStoreCut(true) }},
		{"cut data centre", func() { fl.net.setCut("dc-0", "dc-1", true) }},
		{"cut from neighbour", func() { fl.net.setCut(string(mb.host.Name), string(fl.cfg.Hosts[idx^1].Name), true) }},
		{"store loses answers", func() { fault(emulator.PartStore, emulator.AnswerLost, 0) }},
		{"store writes late", func() { fault(emulator.PartStore, emulator.Late, 3*time.Second) }},
		{"store slow", func() { fault(emulator.PartStore, emulator.Slow, 700*time.Millisecond) }},
		{"workers lose answers", func() { fault(emulator.PartWorkers, emulator.AnswerLost, 0) }},
		{"runner loses answers", func() { fault(emulator.PartRunners, emulator.AnswerLost, 0) }},
		{"runner truncates", func() { fault(emulator.PartRunners, emulator.Truncated, 0) }},
		{"runner slow", func() { fault(emulator.PartRunners, emulator.Slow, 3*time.Second) }},
		{"configuration", func() { fl.reconfigure(rnd) }},
	}
	ev := events[rnd.IntN(len(events))]
	ev.run()
	return what + ev.name
}

// loadWithRetries is like load, but callers give up after a short time and retry with the same key at
// another host. It returns the last answer for each key.
func (fl *fleet) loadWithRetries(callers int, dur time.Duration) map[string]answer {
	var mu sync.Mutex
	answers := map[string]answer{}
	var wg sync.WaitGroup
	until := time.Now().Add(dur)
	for num := range callers {
		rnd := rand.New(rand.NewPCG(uint64(num), 2))
		wg.Go(func() {
			for seq := 0; time.Now().Before(until); seq++ {
				key := fmt.Sprintf("retried-%d-%d", num, seq)
				var got answer
				for try := range 3 {
					mb := fl.member((num + seq + try) % len(fl.cfg.Hosts))
					timeout := time.Duration(5+rnd.IntN(3000)) * time.Millisecond
					got = fl.callFor(timeout, mb, http.MethodPost, "/plans?RunTime=20ms", key, key)
					if got.outcome == modeler.Answered && got.err == nil {
						break
					}
				}
				if got.outcome == modeler.NotRun {
					// An earlier attempt may have run.
					got.outcome = modeler.Unknown
				}
				mu.Lock()
				answers[key] = got
				mu.Unlock()
				time.Sleep(50 * time.Millisecond)
			}
		})
	}
	wg.Wait()
	return answers
}
