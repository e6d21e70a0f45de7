package router

import (
	"fmt"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"

	"github.com/currantrouter/currantrouter/internal/fleet/modeler"
	"github.com/currantrouter/currantrouter/internal/telemetry/meter"
)

// fixedAccount is an Account with constant values.
type fixedAccount struct{ free, limit int }

func (fa *fixedAccount) Free() int  { return fa.free }
func (fa *fixedAccount) Limit() int { return fa.limit }

func newRouter(count int) (*Router, map[modeler.RunnerName]*fixedAccount, *modeler.Configuration) {
	cfg := &modeler.Configuration{Revision: 1}
	fas := map[modeler.RunnerName]*fixedAccount{}
	for ix := range count {
		name := modeler.RunnerName(fmt.Sprint("runner", ix))
		fas[name] = &fixedAccount{8, 8}
		cfg.Runners = append(cfg.Runners, modeler.Runner{Name: name, DataCentre: "stad", Service: "tidebook", Endpoint: netip.MustParseAddrPort("127.0.0.1:1")})
	}
	rt := New(Options{DataCentre: "stad", Log: logr.Discard(), Meter: meter.New(nil), Account: func(name modeler.RunnerName) Account {
		return fas[name]
	}})
	rt.Apply(cfg)
	return rt, fas, cfg
}

// countPicks counts the picks of 10000 calls by runner.
func countPicks(rt *Router, avoidSlow bool) map[modeler.RunnerName]int {
	out := map[modeler.RunnerName]int{}
	for range 10000 {
		if tg, ok := rt.Pick("tidebook", Short, avoidSlow); ok {
			out[tg.Name]++
		}
	}
	return out
}

// TestPick guards against picks that ignore free slots, latency, failures or draining.
func TestPick(t *testing.T) {
	for _, tc := range []struct {
		name     string
		degrade  func(rt *Router, fa *fixedAccount, tg *Target)
		maxPicks int
	}{
		{"full", func(_ *Router, fa *fixedAccount, _ *Target) { fa.free = 0 }, 0},
		{"nearly full", func(_ *Router, fa *fixedAccount, _ *Target) { fa.free = 1 }, 150},
		{"slow", func(rt *Router, _ *fixedAccount, tg *Target) { rt.Observe(tg, Short, 40*time.Millisecond, false) }, 150},
		{"fails fast", func(rt *Router, _ *fixedAccount, tg *Target) {
			rt.Observe(tg, Short, time.Microsecond, true)
			rt.Observe(tg, Short, 10*time.Millisecond, false)
			rt.Observe(tg, Short, time.Microsecond, true)
		}, 150},
		{"leaving", func(rt *Router, _ *fixedAccount, tg *Target) { rt.SetDraining([]modeler.RunnerName{tg.Name}) }, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			rt, fas, _ := newRouter(10)
			for _, tg := range rt.Targets("tidebook") {
				rt.Observe(tg, Short, 10*time.Millisecond, false)
			}
			tc.degrade(rt, fas["runner3"], rt.Target("runner3"))
			rt.UpdateLatencies()
			got := countPicks(rt, false)
			qt.Check(t, got["runner3"] <= tc.maxPicks, qt.IsTrue, qt.Commentf("%v", got))
			qt.Check(t, got["runner0"] > 700, qt.IsTrue, qt.Commentf("%v", got))
		})
	}
}

// TestEjection guards against calls to runners that fail all of them, against ejecting more than half of
// the runners, and against runners that are never readmitted.
func TestEjection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rt, _, _ := newRouter(10)
		fail := func(name modeler.RunnerName) { rt.Observe(rt.Target(name), Short, time.Microsecond, true) }
		for ix := range 10 {
			for range ejectFailureCount {
				fail(modeler.RunnerName(fmt.Sprint("runner", ix)))
			}
		}
		qt.Assert(t, countPicks(rt, false), qt.HasLen, 5)
		out := rt.Targets("tidebook")[5:]
		for _, term := range []time.Duration{time.Second, 2 * time.Second, 4 * time.Second} {
			time.Sleep(term - time.Millisecond)
			qt.Check(t, countPicks(rt, false), qt.HasLen, 5)
			time.Sleep(time.Millisecond)
			got := countPicks(rt, false)
			for _, tg := range out {
				qt.Check(t, got[tg.Name], qt.Equals, 1)
				time.Sleep(time.Microsecond)
				fail(tg.Name)
			}
		}
		time.Sleep(8 * time.Second)
		countPicks(rt, false)
		time.Sleep(time.Millisecond)
		rt.Observe(out[0], Short, time.Millisecond, false)
		// The others must be healthy, because a runner that warms up still costs less than a failing one.
		for _, tg := range rt.Targets("tidebook")[:5] {
			for range 500 {
				rt.Observe(tg, Short, time.Millisecond, false)
			}
		}
		rt.UpdateLatencies()
		cold := countPicks(rt, false)[out[0].Name]
		time.Sleep(warmUpTime)
		warm := countPicks(rt, false)[out[0].Name]
		qt.Check(t, cold > 0 && cold < warm, qt.IsTrue, qt.Commentf("cold %d warm %d", cold, warm))
	})
}

// TestPickAllocations guards against memory allocations in the path of every call.
func TestPickAllocations(t *testing.T) {
	rt, _, _ := newRouter(50)
	qt.Check(t, testing.AllocsPerRun(1000, func() { rt.Pick("tidebook", Short, false) }), qt.Equals, 0.0)
}

// BenchmarkPick measures a pick when all runners are idle and when most have no free slot.
func BenchmarkPick(b *testing.B) {
	for _, count := range []int{50, 500, 4000} {
		for _, name := range []string{"idle", "one in 20 free"} {
			b.Run(fmt.Sprintf("%d %s", count, name), func(b *testing.B) {
				rt, fas, _ := newRouter(count)
				for ix := range count {
					if name != "idle" && ix%20 != 0 {
						fas[modeler.RunnerName(fmt.Sprint("runner", ix))].free = 0
					}
				}
				b.ReportAllocs()
				for b.Loop() {
					rt.Pick("tidebook", Short, false)
				}
			})
		}
	}
}
