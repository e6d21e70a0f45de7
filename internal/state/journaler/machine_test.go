package journaler_test

import (
	"flag"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/currantrouter/currantrouter/internal/provider/emulator"
)

// step is one action of the state machine. Its fields are drawn before the run, because rapid
// must not be called inside a synctest bubble.
type step struct {
	Action string
	// Leader selects among the leaders that were opened, the newest first.
	Leader int
	Count  int
	Switch emulator.Switch
}

var steps = rapid.Custom(func(rt *rapid.T) step {
	sw := emulator.Switch{
		Fault: rapid.SampledFrom([]emulator.Fault{
			emulator.Unavailable, emulator.Slow, emulator.AnswerLost, emulator.RequestLost, emulator.Late, emulator.StaleList,
		}).Draw(rt, "fault"),
		Operation: rapid.SampledFrom([]string{"", "Get", "Put", "Put", "Delete", "List"}).Draw(rt, "operation"),
		Skip:      rapid.IntRange(0, 4).Draw(rt, "skip"),
		Count:     rapid.IntRange(1, 12).Draw(rt, "count"),
		Delay:     time.Duration(rapid.IntRange(1, 9000).Draw(rt, "delay")) * time.Millisecond,
	}
	return step{
		Action: rapid.SampledFrom([]string{
			"open", "append", "append", "append", "snapshot", "stop", "resume", "kill", "fault", "sleep", "sleep",
		}).Draw(rt, "action"),
		Leader: rapid.SampledFrom([]int{0, 0, 0, 1, 2}).Draw(rt, "leader"),
		Count:  rapid.IntRange(1, 5).Draw(rt, "n"),
		Switch: sw,
	}
})

// machine runs steps against several leaders of one data centre, old and new.
type machine struct {
	store  *emulator.Store
	ledger *ledger
	wg     sync.WaitGroup
	mu     sync.Mutex
	// leaders holds the newest last.
	leaders []*leader
	gates   []*gate
}

func (mc *machine) run(st step) {
	ldr := mc.leader(st.Leader)
	switch {
	case st.Action == "open":
		mc.open()
	case st.Action == "fault":
		mc.store.Faults().Set(st.Switch)
	case st.Action == "sleep":
		time.Sleep(time.Duration(st.Count*st.Count) * 100 * time.Millisecond)
	case ldr == nil:
	case st.Action == "append":
		mc.wg.Go(func() { ldr.appendConcurrently(st.Count) })
	case st.Action == "snapshot":
		mc.wg.Go(func() { _ = ldr.snapshot() })
	case st.Action == "stop":
		ldr.gate.stopNext(st.Count, st.Count%2 == 0)
	case st.Action == "resume":
		ldr.gate.release(false)
	case st.Action == "kill":
		ldr.gate.release(true)
	}
	synctest.Wait()
}

func (mc *machine) leader(back int) *leader {
	mc.mu.Lock()
	defer mc.mu.Unlock()
	if len(mc.leaders) == 0 {
		return nil
	}
	return mc.leaders[max(0, len(mc.leaders)-1-back)]
}

func (mc *machine) open() {
	gt := newGate(mc.store)
	mc.mu.Lock()
	defer mc.mu.Unlock()
	mc.gates = append(mc.gates, gt)
	mc.wg.Go(func() {
		ldr, err := open(mc.ledger, gt)
		if err != nil {
			return
		}
		mc.mu.Lock()
		defer mc.mu.Unlock()
		mc.leaders = append(mc.leaders, ldr)
	})
}

func (mc *machine) finish() error {
	for _, gt := range mc.gates {
		gt.release(false)
	}
	mc.store.Faults().Clear()
	time.Sleep(time.Minute)
	mc.wg.Wait()
	for _, ldr := range mc.leaders {
		ldr.end()
	}
	return mc.ledger.finish(mc.store)
}

// Guards against sequences of faults, pauses, deaths and takeovers that no single test has. The
// seed is fixed and rapid prints it with the shortest failing sequence.
func TestStateMachine(t *testing.T) {
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.checks": "400", "rapid.nofailfile": "true"} {
		qt.Assert(t, flag.Set(name, value), qt.IsNil)
	}
	appended, recovered, epochs := 0, 0, 0
	rapid.Check(t, func(rt *rapid.T) {
		list := rapid.SliceOfN(steps, 5, 60).Draw(rt, "steps")
		var err error
		synctest.Test(t, func(*testing.T) {
			mc := &machine{store: emulator.NewStore(nil), ledger: newLedger()}
			for _, st := range list {
				mc.run(st)
			}
			err = mc.finish()
			appended += len(mc.ledger.entries)
			recovered += len(mc.ledger.longest)
			epochs += len(mc.leaders)
		})
		if err != nil {
			rt.Fatal(err)
		}
	})
	t.Log(fmt.Sprintf("%d records appended, %d recovered, %d epochs", appended, recovered, epochs))
}
