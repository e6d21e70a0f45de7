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

// fixedSource is a Source with a fixed number of slots.
type fixedSource struct {
	mu             sync.Mutex
	free, capacity int
}

func (fs *fixedSource) Take(modeler.ServiceName, router.Class, bool) (Grant, bool) {
	fs.mu.Lock()
	defer fs.mu.Unlock()
	if fs.free == 0 {
		return Grant{}, false
	}
	fs.free--
	return Grant{}, true
}

func (fs *fixedSource) Capacity(modeler.ServiceName) int { return fs.capacity }

func (fs *fixedSource) SetWaiting(modeler.ServiceName, int) {}

// testAdmitter is an Admitter that records the calls it has admitted and refused.
type testAdmitter struct {
	*Admitter
	src     *fixedSource
	mu      sync.Mutex
	callers []string
	errs    []error
	running []*Admission
	wg      sync.WaitGroup
}

func newTestAdmitter(slots, queue int) *testAdmitter {
	fs := &fixedSource{free: slots, capacity: slots}
	ta := &testAdmitter{Admitter: New(fs), src: fs}
	ta.Apply(&modeler.Configuration{Services: []modeler.Service{{Name: "tidebook", QueueLimit: queue}}})
	return ta
}

// admit starts a call and waits until it is admitted, refused or queued.
func (ta *testAdmitter) admit(route, caller string, timeout time.Duration) {
	ta.wg.Go(func() {
		adm, err := ta.Admit(context.Background(), Call{Service: "tidebook", Route: route, Caller: caller, Deadline: time.Now().Add(timeout)})
		ta.mu.Lock()
		defer ta.mu.Unlock()
		if err != nil {
			ta.errs = append(ta.errs, err)
			return
		}
		ta.callers = append(ta.callers, caller)
		ta.running = append(ta.running, adm)
	})
	synctest.Wait()
}

// failed returns the errors so far.
func (ta *testAdmitter) failed() []error {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	return slices.Clone(ta.errs)
}

// admitted returns the callers of the admitted calls so far.
func (ta *testAdmitter) admitted() []string {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	return slices.Clone(ta.callers)
}

// endOldest ends the oldest running call with a run time.
func (ta *testAdmitter) endOldest(run time.Duration) {
	ta.mu.Lock()
	adm := ta.running[0]
	ta.running = ta.running[1:]
	ta.mu.Unlock()
	adm.Done(run)
	ta.src.mu.Lock()
	ta.src.free++
	ta.src.mu.Unlock()
	ta.NotifySlotFreed("tidebook")
	synctest.Wait()
}

// trainRoutes runs calls until the estimates of both routes have converged: short calls of 10 ms and
// long ones of 1 s.
func (ta *testAdmitter) trainRoutes() {
	for ix := range 200 {
		ta.admit("short", "t", time.Minute)
		ta.endOldest(10 * time.Millisecond)
		if ix%10 == 0 {
			ta.admit("long", "t", time.Minute)
			ta.endOldest(time.Second)
		}
	}
	ta.callers = nil
}

// TestFairness guards against a caller whose many calls delay or displace those of others.
func TestFairness(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ta := newTestAdmitter(1, 24)
		ta.admit("short", "first", time.Minute)
		for range 20 {
			ta.admit("short", "heavy", time.Minute)
		}
		for range 4 {
			ta.admit("short", "light", time.Minute)
		}
		for range 9 {
			ta.endOldest(time.Millisecond)
		}
		light := 0
		for _, caller := range ta.admitted() {
			if caller == "light" {
				light++
			}
		}
		qt.Check(t, light, qt.Equals, 4, qt.Commentf("%v", ta.admitted()))
		// The queue is full again: the newest calls of the heavy caller are refused first.
		for ix := range 9 {
			ta.admit("short", fmt.Sprint("new", ix), time.Minute)
		}
		qt.Check(t, ta.failed(), qt.HasLen, 0)
		ta.admit("short", "one more", time.Minute)
		qt.Check(t, ta.failed(), qt.HasLen, 1)
		qt.Check(t, ta.failed()[0], qt.ErrorIs, ErrOverloaded)
		ta.Stop()
		ta.wg.Wait()
		qt.Check(t, ta.failed()[len(ta.failed())-1], qt.ErrorIs, ErrStopped)
		qt.Check(t, ta.Waiting(), qt.Equals, 0)
	})
}

// TestClasses guards against short calls that wait because long calls use all slots.
func TestClasses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ta := newTestAdmitter(8, 100)
		ta.trainRoutes()
		for range 8 {
			ta.admit("long", "long", time.Minute)
		}
		qt.Check(t, ta.admitted(), qt.HasLen, 6)
		for range 2 {
			ta.admit("short", "short", time.Minute)
		}
		qt.Check(t, ta.admitted(), qt.HasLen, 8)
		ta.Stop()
		ta.wg.Wait()
		qt.Check(t, ta.failed(), qt.HasLen, 2)
	})
}

// TestRefusals guards against calls that are queued although they cannot meet their deadline, and
// against calls that wait beyond it.
func TestRefusals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ta := newTestAdmitter(1, 100)
		ta.trainRoutes()
		ta.admit("short", "a", time.Minute)
		from := time.Now()
		for range 20 {
			ta.admit("short", "b", 95*time.Millisecond)
		}
		qt.Check(t, time.Since(from), qt.Equals, time.Duration(0))
		refused := len(ta.failed())
		qt.Check(t, refused >= 5 && refused <= 15, qt.IsTrue, qt.Commentf("%d", refused))
		var rf *Refusal
		qt.Check(t, ta.failed()[0], qt.ErrorAs, &rf)
		qt.Check(t, rf.RetryAfterSeconds(), qt.Equals, 1)
		time.Sleep(100 * time.Millisecond)
		ta.wg.Wait()
		qt.Check(t, ta.failed(), qt.HasLen, 20)
		qt.Check(t, ta.failed()[19], qt.ErrorIs, ErrExpired)
		// In a standing queue, calls are refused even if their deadline is far away.
		for range 3 {
			ta.admit("short", "c", time.Minute)
			time.Sleep(standingQueueAge)
		}
		qt.Check(t, ta.failed()[20], qt.ErrorIs, ErrOverloaded)
		_, err := ta.Admit(context.Background(), Call{Service: "none"})
		qt.Check(t, err, qt.ErrorIs, ErrUnknownService)
		ta.Stop()
		ta.wg.Wait()
	})
}

// TestRouteOf guards against a new route for each identifier in a path.
func TestRouteOf(t *testing.T) {
	for path, want := range map[string]string{"/": "GET ", "/a/7/b/c": "GET a/*/b", "/x9": "GET *"} {
		qt.Check(t, RouteOf("GET", path), qt.Equals, want)
	}
}
