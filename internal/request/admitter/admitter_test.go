package admitter

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/currantrouter/currantrouter/internal/fleet/modeler"
	"github.com/currantrouter/currantrouter/internal/request/router"
)

// counter is a source with a fixed number of slots.
type counter struct {
	mu             sync.Mutex
	free, capacity int
}

func (ct *counter) Take(modeler.ServiceName, router.Class, bool) (Grant, bool) {
	ct.mu.Lock()
	defer ct.mu.Unlock()
	if ct.free == 0 {
		return Grant{}, false
	}
	ct.free--
	return Grant{}, true
}

func (ct *counter) Capacity(modeler.ServiceName) int { return ct.capacity }

func (ct *counter) Want(modeler.ServiceName, int) {}

// desk is an admitter with the calls that it has admitted, in order.
type desk struct {
	*Admitter
	ct    *counter
	mu    sync.Mutex
	order []string
	errs  []error
	open  []*Ticket
	wg    sync.WaitGroup
}

func newDesk(slots, queue int) *desk {
	ct := &counter{free: slots, capacity: slots}
	dk := &desk{Admitter: New(ct), ct: ct}
	dk.Apply(&modeler.Configuration{Services: []modeler.Service{{Name: "tidebook", QueueLimit: queue}}})
	return dk
}

func (dk *desk) ask(route, caller string, term time.Duration) {
	dk.wg.Go(func() {
		tk, err := dk.Admit(context.Background(), Call{Service: "tidebook", Route: route, Caller: caller, Deadline: time.Now().Add(term)})
		dk.mu.Lock()
		defer dk.mu.Unlock()
		if err != nil {
			dk.errs = append(dk.errs, err)
			return
		}
		dk.order = append(dk.order, caller)
		dk.open = append(dk.open, tk)
	})
	synctest.Wait()
}

// failed returns the errors so far.
func (dk *desk) failed() []error {
	dk.mu.Lock()
	defer dk.mu.Unlock()
	return slices.Clone(dk.errs)
}

// admitted returns the callers of the admitted calls so far.
func (dk *desk) admitted() []string {
	dk.mu.Lock()
	defer dk.mu.Unlock()
	return slices.Clone(dk.order)
}

// end ends the oldest call after a run time.
func (dk *desk) end(run time.Duration) {
	dk.mu.Lock()
	tk := dk.open[0]
	dk.open = dk.open[1:]
	dk.mu.Unlock()
	tk.Done(run)
	dk.ct.mu.Lock()
	dk.ct.free++
	dk.ct.mu.Unlock()
	dk.Freed("tidebook")
	synctest.Wait()
}

// teach makes the routes known: short calls of 10 ms and long ones of a second.
func (dk *desk) teach() {
	for ix := range 200 {
		dk.ask("short", "t", time.Minute)
		dk.end(10 * time.Millisecond)
		if ix%10 == 0 {
			dk.ask("long", "t", time.Minute)
			dk.end(time.Second)
		}
	}
	dk.order = nil
}

// TestFairness guards against a caller that crowds out the others.
func TestFairness(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dk := newDesk(1, 24)
		dk.ask("short", "first", time.Minute)
		for range 20 {
			dk.ask("short", "heavy", time.Minute)
		}
		for range 4 {
			dk.ask("short", "light", time.Minute)
		}
		for range 9 {
			dk.end(time.Millisecond)
		}
		light := 0
		for _, caller := range dk.admitted() {
			if caller == "light" {
				light++
			}
		}
		qt.Check(t, light, qt.Equals, 4, qt.Commentf("%v", dk.admitted()))
		// The queue is full again: the newest call of the heavy caller makes room.
		for ix := range 9 {
			dk.ask("short", fmt.Sprint("new", ix), time.Minute)
		}
		qt.Check(t, dk.failed(), qt.HasLen, 0)
		dk.ask("short", "one more", time.Minute)
		qt.Check(t, dk.failed(), qt.HasLen, 1)
		qt.Check(t, dk.failed()[0], qt.ErrorIs, ErrOverloaded)
		dk.Stop()
		dk.wg.Wait()
		qt.Check(t, dk.failed()[len(dk.failed())-1], qt.ErrorIs, ErrStopped)
		qt.Check(t, dk.Waiting(), qt.Equals, 0)
	})
}

// TestClasses guards against short calls that wait behind long ones.
func TestClasses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dk := newDesk(8, 100)
		dk.teach()
		for range 8 {
			dk.ask("long", "long", time.Minute)
		}
		qt.Check(t, dk.admitted(), qt.HasLen, 6)
		for range 2 {
			dk.ask("short", "short", time.Minute)
		}
		qt.Check(t, dk.admitted(), qt.HasLen, 8)
		dk.Stop()
		dk.wg.Wait()
		qt.Check(t, dk.failed(), qt.HasLen, 2)
	})
}

// TestRefusals guards against calls that wait although their deadline cannot be met, and against
// calls that wait beyond it.
func TestRefusals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dk := newDesk(1, 100)
		dk.teach()
		dk.ask("short", "a", time.Minute)
		from := time.Now()
		for range 20 {
			dk.ask("short", "b", 95*time.Millisecond)
		}
		qt.Check(t, time.Since(from), qt.Equals, time.Duration(0))
		refused := len(dk.failed())
		qt.Check(t, refused >= 5 && refused <= 15, qt.IsTrue, qt.Commentf("%d", refused))
		var rf *Refusal
		qt.Check(t, dk.failed()[0], qt.ErrorAs, &rf)
		qt.Check(t, rf.RetryAfterSeconds(), qt.Equals, 1)
		time.Sleep(100 * time.Millisecond)
		dk.wg.Wait()
		qt.Check(t, dk.failed(), qt.HasLen, 20)
		qt.Check(t, dk.failed()[19], qt.ErrorIs, ErrExpired)
		// A standing queue is kept short even for callers with time to spare.
		for range 3 {
			dk.ask("short", "c", time.Minute)
			time.Sleep(standing)
		}
		qt.Check(t, dk.failed()[20], qt.ErrorIs, ErrOverloaded)
		_, err := dk.Admit(context.Background(), Call{Service: "none"})
		qt.Check(t, err, qt.ErrorIs, ErrUnknownService)
		dk.Stop()
		dk.wg.Wait()
	})
}

// TestRouteOf guards against a table of routes that grows with the identifiers in paths.
func TestRouteOf(t *testing.T) {
	for path, want := range map[string]string{"/": "GET ", "/a/7/b/c": "GET a/*/b", "/x9": "GET *"} {
		qt.Check(t, RouteOf("GET", path), qt.Equals, want)
	}
}
