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

// step is one random action of the test. Its fields are drawn before the run, because rapid must not
// be called inside a synctest bubble.
type step struct {
	Action string
	// Leader is an index into the opened leaders, newest first.
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

// machine runs steps against current and deposed leaders of one data centre.
type machine struct {
	store   *emulator.Store
	history *history
	wg      sync.WaitGroup
	mu      sync.Mutex
	// leaders are ordered by the time of opening, newest last.
	leaders []*leader
	stores  []*stoppableStore
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
		ldr.store.stopAtCall(st.Count, st.Count%2 == 0)
	case st.Action == "resume":
		ldr.store.release(false)
	case st.Action == "kill":
		ldr.store.release(true)
	}
	synctest.Wait()
}

func (mc *machine) leader(age int) *leader {
	mc.mu.Lock()
	defer mc.mu.Unlock()
	if len(mc.leaders) == 0 {
		return nil
	}
	return mc.leaders[max(0, len(mc.leaders)-1-age)]
}

func (mc *machine) open() {
	ss := newStoppableStore(mc.store)
	mc.mu.Lock()
	defer mc.mu.Unlock()
	mc.stores = append(mc.stores, ss)
	mc.wg.Go(func() {
		ldr, err := open(mc.history, ss)
		if err != nil {
			return
		}
		mc.mu.Lock()
		defer mc.mu.Unlock()
		mc.leaders = append(mc.leaders, ldr)
	})
}

func (mc *machine) finish() error {
	for _, ss := range mc.stores {
		ss.release(false)
	}
	mc.store.Faults().Clear()
	time.Sleep(time.Minute)
	mc.wg.Wait()
	for _, ldr := range mc.leaders {
		ldr.end()
	}
	return mc.history.finish(mc.store)
}

// Guards against violations under random sequences of faults, pauses, kills and takeovers. The seed
// is fixed. On failure rapid prints it with the shortest failing sequence.
func TestStateMachine(t *testing.T) {
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.checks": "400", "rapid.nofailfile": "true"} {
		qt.Assert(t, flag.Set(name, value), qt.IsNil)
	}
	appended, recovered, epochs := 0, 0, 0
	rapid.Check(t, func(rt *rapid.T) {
		list := rapid.SliceOfN(steps, 5, 60).Draw(rt, "steps")
		var err error
		synctest.Test(t, func(*testing.T) {
			mc := &machine{store: emulator.NewStore(nil), history: newHistory()}
			for _, st := range list {
				mc.run(st)
			}
			err = mc.finish()
			appended += len(mc.history.appends)
			recovered += len(mc.history.longestRecovered)
			epochs += len(mc.leaders)
		})
		if err != nil {
			rt.Fatal(err)
		}
	})
	t.Log(fmt.Sprintf("%d records appended, %d recovered, %d epochs", appended, recovered, epochs))
}
