package evacuator

import (
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	fleet "github.com/currantrouter/currantrouter/internal/fleet/modeler"
)

const limit = 5 * time.Second

// fixture is an evacuator whose machine and store are those of the test.
type fixture struct {
	*Evacuator
	suspended time.Duration
	// answeredAt is when the store last answered other calls.
	answeredAt time.Time
}

func newFixture() *fixture {
	fx := new(fixture)
	fx.Evacuator = New(Options{
		Limit: limit, Suspended: func() time.Duration { return fx.suspended },
		MayRely: func(readAt time.Time) bool { return !fx.answeredAt.After(readAt.Add(AnswerGrace)) },
	})
	return fx
}

func (fx *fixture) now() Reading { return Reading{At: time.Now(), Suspended: fx.suspended} }

func request(dc fleet.DataCentreName, revision int64) Entry {
	return Entry{DataCentre: dc, Revision: revision}
}

func withdrawal(dc fleet.DataCentreName, revision int64) Entry {
	return Entry{DataCentre: dc, Revision: revision, Withdrawn: true}
}

// assertEvacuated checks for the data centres a, b and c whether they are evacuated.
func (fx *fixture) assertEvacuated(t *testing.T, want ...fleet.DataCentreName) {
	t.Helper()
	var got []fleet.DataCentreName
	for _, dc := range []fleet.DataCentreName{"", "a", "b", "c"} {
		if fx.Evacuated(dc) {
			got = append(got, dc)
		}
	}
	qt.Assert(t, got, qt.DeepEquals, want)
}

// Guards against a set that differs from the stored requests.
func TestChanges(t *testing.T) {
	fx := newFixture()
	fx.assertEvacuated(t)
	ch := fx.Reset([]Entry{request("a", 3)}, fx.now())
	qt.Check(t, ch, qt.DeepEquals, Change{Added: []fleet.DataCentreName{"a"}, First: true})
	fx.assertEvacuated(t, "a")
	// Withdrawn and requested again between two reads: the watch returns the last state alone, or all.
	ch = fx.Apply([]Entry{request("a", 7)}, fx.now())
	qt.Check(t, ch.Empty(), qt.IsTrue)
	ch = fx.Apply([]Entry{withdrawal("a", 8), request("a", 9), request("c", 10), request("b", 11)}, fx.now())
	qt.Check(t, ch, qt.DeepEquals, Change{Added: []fleet.DataCentreName{"b", "c"}})
	fx.assertEvacuated(t, "a", "b", "c")
	ch = fx.Apply([]Entry{withdrawal("a", 12)}, fx.now())
	qt.Check(t, ch, qt.DeepEquals, Change{Withdrawn: []fleet.DataCentreName{"a"}})
	ch = fx.Reset([]Entry{request("c", 10)}, fx.now())
	qt.Check(t, ch, qt.DeepEquals, Change{Withdrawn: []fleet.DataCentreName{"b"}})
	fx.assertEvacuated(t, "c")
	qt.Check(t, fx.Status(time.Now()).Revision, qt.Equals, int64(12))
}

// Guards against starts after a change that was made while the pages of a listing were read, which the watch returns
// again.
func TestRepeatedChanges(t *testing.T) {
	fx := newFixture()
	fx.Reset([]Entry{request("a", 7)}, fx.now())
	fx.Apply([]Entry{withdrawal("a", 6)}, fx.now())
	fx.assertEvacuated(t, "a")
	// The revision of a deletion may not be known.
	fx.Apply([]Entry{withdrawal("a", 0)}, fx.now())
	fx.assertEvacuated(t)
}

// Guards against starts before the evacuations are known, while the view is outdated and others reach the store, and
// against starts that stop while nobody can store a request.
func TestCurrent(t *testing.T) {
	current := func(t *testing.T, fx *fixture, want bool) {
		t.Helper()
		qt.Assert(t, fx.Current(time.Now()), qt.Equals, want)
	}
	for name, test := range map[string]func(t *testing.T, fx *fixture){
		"not listed": func(t *testing.T, fx *fixture) {
			fx.Confirm(fx.now())
			current(t, fx, false)
		},
		"store away": func(t *testing.T, fx *fixture) {
			fx.answeredAt = time.Now().Add(AnswerGrace)
			fx.Reset(nil, fx.now())
			time.Sleep(20 * time.Second)
			current(t, fx, true)
		},
		"store answers others": func(t *testing.T, fx *fixture) {
			fx.Reset(nil, fx.now())
			time.Sleep(fx.MaxAge())
			fx.answeredAt = time.Now()
			current(t, fx, true)
			time.Sleep(time.Millisecond)
			current(t, fx, false)
			fx.Confirm(fx.now())
			current(t, fx, true)
		},
		"store answers others again": func(t *testing.T, fx *fixture) {
			fx.Reset(nil, fx.now())
			time.Sleep(9 * time.Second)
			current(t, fx, true)
			fx.answeredAt = time.Now()
			time.Sleep(checkInterval)
			current(t, fx, false)
		},
		"machine suspended": func(t *testing.T, fx *fixture) {
			fx.Reset(nil, fx.now())
			time.Sleep(time.Second)
			fx.suspended += fx.MaxAge()
			fx.answeredAt = time.Now().Add(AnswerGrace)
			current(t, fx, false)
		},
	} {
		t.Run(name, func(t *testing.T) { synctest.Test(t, func(t *testing.T) { test(t, newFixture()) }) })
	}
}

// lateStarts returns how many of the starts in a minute were sent too late for the limit. Requests are stored and
// withdrawn all the time, and the watch fails for some seconds at a time while the store answers others. The
// policy decides whether a start may be sent.
func lateStarts(fx *fixture, rnd *rand.Rand, allowed func() bool) (sent, late int) {
	fx.Reset(nil, fx.now())
	var requestedAt time.Time
	revision, failsUntil := int64(1), time.Time{}
	for range 60_000 {
		time.Sleep(time.Millisecond)
		now := time.Now()
		fx.answeredAt = now
		if rnd.IntN(8000) == 0 {
			failsUntil = now.Add(time.Duration(rnd.IntN(9000)) * time.Millisecond)
		}
		if rnd.IntN(7000) == 0 {
			if revision++; requestedAt.IsZero() {
				requestedAt = now
			} else {
				requestedAt = time.Time{}
			}
		}
		if now.After(failsUntil) {
			fx.Apply([]Entry{{DataCentre: "a", Revision: revision, Withdrawn: requestedAt.IsZero()}}, fx.now())
		}
		if allowed() {
			sent++
			if !requestedAt.IsZero() && now.Sub(requestedAt) > limit-startMargin {
				late++
			}
		}
	}
	return sent, late
}

// Guards against a decision that is no better than to ignore evacuations, or to rely on the last view.
func TestStartsUnderLoad(t *testing.T) {
	const seed = 1
	t.Log("seed", seed)
	run := func(allowed func(fx *fixture) bool) (sent, late int) {
		synctest.Test(t, func(*testing.T) {
			fx := newFixture()
			sent, late = lateStarts(fx, rand.New(rand.NewPCG(seed, 1)), func() bool { return allowed(fx) })
		})
		return sent, late
	}
	sent, late := run(func(fx *fixture) bool { return fx.Current(time.Now()) && !fx.Evacuated("a") })
	_, lastView := run(func(fx *fixture) bool { return !fx.Evacuated("a") })
	all, ignored := run(func(*fixture) bool { return true })
	t.Logf("sent %d of %d, late %d; with the last view alone %d, without evacuations %d", sent, all, late, lastView, ignored)
	qt.Check(t, late, qt.Equals, 0)
	qt.Check(t, lastView > 0 && ignored > lastView, qt.IsTrue)
	qt.Check(t, sent > all/4, qt.IsTrue)
}
