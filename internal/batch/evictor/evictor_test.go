package evictor

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/currantrouter/currantrouter/internal/provider/supervisor"
)

func newWorkerState(load int64, slowdown float64, batch int) WorkerState {
	ws := WorkerState{Worker: "w", Capacity: supervisor.Resources{Millicores: 10_000, MemoryBytes: 1 << 30}}
	ws.Tasks = append(ws.Tasks, Task{
		Attempt: supervisor.Attempt{Job: "service"}, LatencyCritical: true, Slowdown: slowdown,
	})
	for i := range batch {
		ws.Tasks = append(ws.Tasks, Task{
			Attempt: supervisor.Attempt{Job: fmt.Sprint("job", i)}, Evictable: true,
			CanCheckpoint: i > 0, Age: time.Duration(10-i) * time.Minute,
			Usage: supervisor.Resources{Millicores: load * 100 / int64(batch)},
		})
	}
	return ws
}

func sizes(dc Decision) [3]int { return [3]int{len(dc.Throttle), len(dc.Unthrottle), len(dc.Evict)} }

// Guards against evictions without a throttle before, flapping between throttle and unthrottle, and
// more evictions than the load, the budget or the cool-down of a job permits.
func TestDecide(t *testing.T) {
	now := time.Unix(0, 0)
	ev := New(now)
	ev.Refill(1000, now)
	ev.budget = 20
	for i, tc := range []struct {
		load     int64
		slowdown float64
		want     [3]int
		reason   string
	}{
		{89, 1, [3]int{}, "below throttleLoad"},
		{91, 1, [3]int{4, 0, 0}, "throttle first"},
		{85, 1, [3]int{}, "within the hysteresis"},
		{74, 1, [3]int{0, 4, 0}, "below unthrottleLoad"},
		{91, 2, [3]int{4, 0, 0}, "throttle first again"},
		{91, 2, [3]int{}, "one report after the throttle"},
		{91, 2, [3]int{0, 0, 1}, "one task is enough for less than 75%"},
		{91, 2, [3]int{}, "one report after the eviction"},
	} {
		qt.Check(t, sizes(ev.Decide(newWorkerState(tc.load, tc.slowdown, 4), now)), qt.Equals, tc.want, qt.Commentf("report %d: %s", i, tc.reason))
	}
	dc := ev.Decide(newWorkerState(91, 2, 4), now)
	qt.Check(t, dc.Evict, qt.DeepEquals, []supervisor.Attempt{{Job: "job2"}}, qt.Commentf("the youngest job is in its cool-down"))
	ev.budget = 0.5
	ev.Decide(newWorkerState(91, 2, 4), now)
	qt.Check(t, sizes(ev.Decide(newWorkerState(91, 2, 4), now)), qt.Equals, [3]int{}, qt.Commentf("no budget"))
}

// Guards against a budget above 2% of the batch tasks per minute after a long time without
// evictions, and below one eviction in a small data centre.
func TestBudget(t *testing.T) {
	now := time.Unix(0, 0)
	ev := New(now)
	for range 600 {
		now = now.Add(100 * time.Millisecond)
		ev.Refill(1000, now)
	}
	qt.Check(t, int(ev.budget), qt.Equals, 20)
	ev.Refill(1000, now.Add(time.Hour))
	qt.Check(t, int(ev.budget), qt.Equals, 20)
	ev.Refill(10, now.Add(time.Hour))
	qt.Check(t, int(ev.budget), qt.Equals, 1)
}
