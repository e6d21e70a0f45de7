package budgeter

import (
	"errors"
	"io"
	"math"
	"math/rand/v2"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

// slowBody is a body that arrives in equal parts, and ends only if it has an end.
type slowBody struct {
	left, part int
	interval   time.Duration
	endless    bool
	aborted    chan struct{}
}

// Read implements io.Reader.
func (sb *slowBody) Read(bf []byte) (int, error) {
	wait := time.After(sb.interval)
	if sb.left == 0 {
		if !sb.endless {
			return 0, io.EOF
		}
		wait = nil
	}
	select {
	case <-sb.aborted:
		return 0, io.ErrUnexpectedEOF
	case <-wait:
		num := min(sb.left, sb.part, len(bf))
		sb.left -= num
		return num, nil
	}
}

// crowdResult has the effects of a crowd.
type crowdResult struct {
	peak                int64
	served, large, rest int
}

// runCrowd reads the bodies of 600 clients that never end theirs, and of ordinary ones, with a budget of the limit in bytes.
func runCrowd(t *testing.T, limit int64) (res crowdResult) {
	const seed = 7
	t.Logf("seed %d", seed)
	synctest.Test(t, func(t *testing.T) {
		rnd := rand.New(rand.NewPCG(seed, 1))
		var mu sync.Mutex
		var used int64
		bg := New(limit, func(delta int64) {
			mu.Lock()
			defer mu.Unlock()
			used += delta
			res.peak = max(res.peak, used)
		})
		var readers sync.WaitGroup
		read := func(sb *slowBody, size int64) {
			bd := bg.Open(nil, func() { close(sb.aborted) })
			defer bd.Release()
			_, err := bd.ReadAll(sb, size, 262_144, func() error { return nil })
			mu.Lock()
			defer mu.Unlock()
			switch {
			case err == nil:
				res.served++
			case sb.endless:
				qt.Check(t, errors.Is(err, ErrExhausted) || errors.Is(err, ErrEnding), qt.IsTrue)
				res.large++
			default:
				res.rest++
			}
		}
		for range 600 {
			sb := &slowBody{261_909, 1 + rnd.IntN(64<<10), time.Duration(1+rnd.IntN(20)) * time.Millisecond, true, make(chan struct{})}
			readers.Go(func() { read(sb, 262_000) })
		}
		for range 300 {
			time.Sleep(time.Duration(rnd.IntN(33)) * time.Millisecond)
			sb := &slowBody{4_800, 1_460, time.Millisecond, false, make(chan struct{})}
			readers.Go(func() { read(sb, 4_800) })
		}
		time.Sleep(time.Minute)
		bg.AbortAll()
		readers.Wait()
		left, reading := bg.Usage()
		qt.Check(t, left, qt.Equals, int64(0))
		qt.Check(t, reading, qt.Equals, 0)
	})
	return res
}

// Guards against a crowd of clients with bodies of the allowed size that never end: with the previous policy, which kept
// all of them, they need more memory than the smallest host has to give, and with a bound that refuses whoever comes last,
// ordinary clients are refused.
func TestCrowd(t *testing.T) {
	const limit = 16 << 20
	before := runCrowd(t, math.MaxInt64/2)
	after := runCrowd(t, limit)
	t.Logf("previous policy: %+v, budget: %+v", before, after)
	qt.Check(t, before.peak > 140<<20, qt.IsTrue)
	qt.Check(t, after.peak <= limit+limit/overcommitDivisor, qt.IsTrue)
	qt.Check(t, after, qt.Equals, crowdResult{after.peak, 300, 600, 0})
}

// Guards against a single body within the limit that is refused, one that is cut, and one over the limit that is taken.
func TestReadAll(t *testing.T) {
	for _, size := range []int{0, 1, minBuffer - 1, minBuffer, minBuffer + 1, 99_999, 100_000, 100_001} {
		for _, announced := range []int64{-1, int64(size)} {
			bg := New(1<<20, func(int64) {})
			bd := bg.Open(nil, func() {})
			text := strings.Repeat("x", size)
			data, err := bd.ReadAll(strings.NewReader(text), announced, 100_000, func() error { return nil })
			if size > 100_000 {
				qt.Check(t, err, qt.ErrorIs, ErrTooLarge)
			} else {
				qt.Check(t, err, qt.IsNil)
				qt.Check(t, string(data), qt.Equals, text)
			}
			bd.Release()
			used, _ := bg.Usage()
			qt.Check(t, used, qt.Equals, int64(0))
		}
	}
}

// Guards against the abort of a request that may have been stored, and against a budget that blocks: memory held for
// complete bodies is not taken away, and further bodies are refused.
func TestCompleteBodies(t *testing.T) {
	bg := New(100, func(int64) {})
	first := bg.Open(nil, func() { t.Error("aborted after its end") })
	qt.Assert(t, first.Charge(100), qt.IsNil)
	qt.Assert(t, first.Complete(), qt.IsNil)
	second := bg.Open(nil, func() {})
	qt.Check(t, second.Charge(1), qt.ErrorIs, ErrExhausted)
	bg.AbortAll()
	first.Release()
	qt.Check(t, second.Complete(), qt.ErrorIs, ErrEnding)
	third := bg.Open(nil, func() {})
	bg.AbortCostliest()
	qt.Check(t, third.Complete(), qt.ErrorIs, ErrCrowded)
}

// Guards against bodies that are aborted in vain: for a complete one whose further charge is refused all the same, or that
// costs more than they do.
func TestLaterCharge(t *testing.T) {
	for _, tc := range []struct {
		name                string
		held, other, charge int64
		otherFirst, granted bool
	}{
		{"no room with all aborted", 90, 5, 20, true, false},
		{"costlier itself", 50, 50, 10, false, false},
		{"other costs more", 10, 90, 10, true, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				bg := New(100, func(int64) {})
				aborts := 0
				open := func() *Body {
					defer time.Sleep(time.Second)
					return bg.Open(nil, func() { aborts++ })
				}
				var complete, other *Body
				if tc.otherFirst {
					other, complete = open(), open()
				} else {
					complete, other = open(), open()
				}
				qt.Assert(t, complete.Charge(tc.held), qt.IsNil)
				qt.Assert(t, other.Charge(tc.other), qt.IsNil)
				qt.Assert(t, complete.Complete(), qt.IsNil)
				err := complete.Charge(tc.charge)
				qt.Check(t, err == nil, qt.Equals, tc.granted)
				qt.Check(t, aborts == 1, qt.Equals, tc.granted)
			})
		})
	}
}

// fakeConn counts its closings.
type fakeConn struct{ closed int }

// Close implements io.Closer.
func (fc *fakeConn) Close() error {
	fc.closed++
	return nil
}

// Guards against clients that keep others from connecting: the connection that waited longest is closed for a new one,
// then a body is aborted, and no connection with a request that may have been stored is closed.
func TestConnections(t *testing.T) {
	var abortable *Connection
	cs := NewConnections(ConnectionLimits{Total: 9}, func() *Connection {
		defer func() { abortable = nil }()
		return abortable
	})
	var conns []*fakeConn
	var entries []*Connection
	open := func() (refused bool) {
		fc := &fakeConn{}
		conns = append(conns, fc)
		cn, _, refused := cs.Open(fc, netip.Addr{})
		entries = append(entries, cn)
		return refused
	}
	for range 8 {
		qt.Check(t, open(), qt.IsFalse)
	}
	cs.SetActive(conns[0])
	cs.SetIdle(conns[0])
	for _, fc := range conns[2:8] {
		cs.SetActive(fc)
	}
	qt.Check(t, open(), qt.IsFalse)
	qt.Check(t, conns[1].closed, qt.Equals, 1)
	cs.Remove(conns[1])
	qt.Check(t, open(), qt.IsFalse)
	qt.Check(t, conns[0].closed, qt.Equals, 1)
	cs.Remove(conns[0])
	cs.SetActive(conns[8])
	cs.SetActive(conns[9])
	qt.Check(t, open(), qt.IsTrue)
	abortable = entries[2]
	cs.Remove(conns[10])
	qt.Check(t, open(), qt.IsFalse)
	for _, fc := range conns[2:10] {
		qt.Check(t, fc.closed, qt.Equals, 0)
	}
	qt.Check(t, cs.Count(), qt.Equals, 9)
}

// Guards against more aborts than new connections need: bodies that are aborted take a while to end.
func TestAbortsForConnections(t *testing.T) {
	var bodies []*Connection
	aborts := 0
	limits := ConnectionLimits{Total: 64}
	cs := NewConnections(limits, func() *Connection {
		if aborts == len(bodies) {
			return nil
		}
		aborts++
		return bodies[aborts-1]
	})
	conns := map[*Connection]*fakeConn{}
	open := func() *Connection {
		fc := &fakeConn{}
		cn, _, refused := cs.Open(fc, netip.Addr{})
		qt.Assert(t, refused, qt.IsFalse)
		cs.SetActive(fc)
		conns[cn] = fc
		return cn
	}
	for range limits.Usable() {
		bodies = append(bodies, open())
	}
	open()
	qt.Check(t, aborts, qt.Equals, 1)
	// A client that ends by itself makes room while the aborted one lingers.
	cs.Remove(conns[bodies[10]])
	open()
	qt.Check(t, aborts, qt.Equals, 1)
	cs.Remove(conns[bodies[0]])
	open()
	qt.Check(t, aborts, qt.Equals, 2)
}

// Guards against connections that were told to close and take more descriptors than the limit until they end.
func TestClosingConnections(t *testing.T) {
	for _, total := range []int{1, 2, 16, 100} {
		limits := ConnectionLimits{Total: total}
		cs := NewConnections(limits, func() *Connection { return nil })
		open := 0
		for ix := range 3 * total {
			if _, _, refused := cs.Open(&fakeConn{}, netip.Addr{}); !refused {
				open++
			}
			qt.Check(t, open >= min(ix+1, limits.Usable()), qt.IsTrue)
			qt.Check(t, open <= total, qt.IsTrue)
		}
	}
}

// Guards against one address that takes all connections where a limit by address is set.
func TestConnectionsPerAddress(t *testing.T) {
	cs := NewConnections(ConnectionLimits{Total: 100, PerAddress: 1}, func() *Connection { return nil })
	here, there := netip.MustParseAddr("10.0.0.1"), netip.MustParseAddr("10.0.0.2")
	first := &fakeConn{}
	for _, step := range []struct {
		conn    *fakeConn
		address netip.Addr
		refused bool
	}{{first, here, false}, {&fakeConn{}, there, false}, {&fakeConn{}, here, true}} {
		_, _, refused := cs.Open(step.conn, step.address)
		qt.Check(t, refused, qt.Equals, step.refused)
		if refused {
			cs.Remove(step.conn)
		}
	}
	cs.Remove(first)
	_, _, refused := cs.Open(&fakeConn{}, here)
	qt.Check(t, refused, qt.IsFalse)
}
