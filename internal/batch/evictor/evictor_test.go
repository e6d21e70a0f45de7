package evictor

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/currantrouter/currantrouter/internal/provider/supervisor"
)

func view(load int64, slowdown float64, batch int) View {
	vw := View{Worker: "w", Capacity: supervisor.Resources{Millicores: 10_000, MemoryBytes: 1 << 30}}
	vw.Tasks = append(vw.Tasks, Task{
		Attempt: supervisor.Attempt{Job: "service"}, LatencyCritical: true, Slowdown: slowdown,
	})
	for i := range batch {
		vw.Tasks = append(vw.Tasks, Task{
			Attempt: supervisor.Attempt{Job: fmt.Sprint("job", i)}, Evictable: true,
			Checkpoint: i > 0, Age: time.Duration(10-i) * time.Minute,
			Use: supervisor.Resources{Millicores: load * 100 / int64(batch)},
		})
	}
	return vw
}

func counts(dc Decision) [3]int { return [3]int{len(dc.Throttle), len(dc.Unthrottle), len(dc.Evict)} }

// Guards against evictions before a throttle, flapping, and evictions beyond need, budget or
// cool-down.
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
		{89, 1, [3]int{}, "below the start"},
		{91, 1, [3]int{4, 0, 0}, "throttle first"},
		{85, 1, [3]int{}, "within the hysteresis"},
		{74, 1, [3]int{0, 4, 0}, "below the stop"},
		{91, 2, [3]int{4, 0, 0}, "throttle first again"},
		{91, 2, [3]int{}, "one report after the throttle"},
		{91, 2, [3]int{0, 0, 1}, "one task is enough for less than 75%"},
		{91, 2, [3]int{}, "one report after the eviction"},
	} {
		qt.Check(t, counts(ev.Decide(view(tc.load, tc.slowdown, 4), now)), qt.Equals, tc.want, qt.Commentf("report %d: %s", i, tc.reason))
	}
	dc := ev.Decide(view(91, 2, 4), now)
	qt.Check(t, dc.Evict, qt.DeepEquals, []supervisor.Attempt{{Job: "job2"}}, qt.Commentf("the youngest job is in its cool-down"))
	ev.budget = 0.5
	ev.Decide(view(91, 2, 4), now)
	qt.Check(t, counts(ev.Decide(view(91, 2, 4), now)), qt.Equals, [3]int{}, qt.Commentf("no budget"))
}

// Guards against more than 2% of the batch tasks evicted in a minute, however long the pause before.
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
