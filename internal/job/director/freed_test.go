package director

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/currantrouter/currantrouter/internal/job/modeler"
)

// Guards against a time from free capacity to a start that counts from a change which did not make the room, and against
// changes that are kept without a bound.
func TestRoomSince(t *testing.T) {
	start := time.Now()
	second := func(no int) time.Time { return start.Add(time.Duration(no) * time.Second) }
	milli := func(milli int64) modeler.Resources { return modeler.Resources{MilliCores: milli} }
	for name, tc := range map[string]struct {
		// changes happen one in each second, after a worker with 4 cores became available.
		changes []int64
		needs   int64
		want    time.Time
	}{
		"available":               {nil, 4000, second(0)},
		"does not fit":            {[]int64{-1000}, 4000, time.Time{}},
		"one of two ends":         {[]int64{-1000, -3000, 1000, 3000}, 4000, second(4)},
		"the first that ends":     {[]int64{-1000, -3000, 3000, 1000}, 2500, second(3)},
		"too little ends later":   {[]int64{-1000, 1000, -100, 100}, 3500, second(2)},
		"more changes than kept":  {[]int64{-1, 1, -1, 1, -1, 1, -1, 1, -1, 1}, 2000, second(3)},
		"taken after it was free": {[]int64{-4000, 4000, -2000}, 2000, second(2)},
	} {
		t.Run(name, func(t *testing.T) {
			wk := &worker{free: milli(4000)}
			wk.noteAvailable(start)
			for ix, change := range tc.changes {
				wk.free = wk.free.Plus(milli(change))
				wk.noteCapacity(second(ix+1), milli(change))
			}
			qt.Check(t, wk.roomSince(milli(tc.needs)), qt.Equals, tc.want)
			qt.Check(t, len(wk.changes) <= maxCapacityChanges, qt.IsTrue)
		})
	}
}
