package distributor_test

import (
	"bytes"
	"context"
	"errors"
	"flag"
	"fmt"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"
	"pgregory.net/rapid"

	"github.com/currantrouter/currantrouter/internal/config/checker"
	"github.com/currantrouter/currantrouter/internal/config/distributor"
	"github.com/currantrouter/currantrouter/internal/fleet/modeler"
	"github.com/currantrouter/currantrouter/internal/process/pauser"
	"github.com/currantrouter/currantrouter/internal/provider/emulator"
	"github.com/currantrouter/currantrouter/internal/provider/storer"
	"github.com/currantrouter/currantrouter/internal/telemetry/meter"
)

func init() {
	// A fixed seed makes runs reproducible. Command-line flags override it.
	_ = flag.Set("rapid.seed", "20261204")
	_ = flag.Set("rapid.checks", "60")
	_ = flag.Set("rapid.nofailfile", "true")
}

// doc returns a valid document that is unique for each number.
func doc(num int) []byte { return fmt.Appendf(nil, "; %d\n[DataCentre a]\n", num) }

// peer answers Fetch with a document after a delay.
type peer struct {
	doc   []byte
	rev   modeler.Revision
	delay time.Duration
}

type peers []peer

func (prs peers) Addresses() []netip.AddrPort {
	var addrs []netip.AddrPort
	for idx := range prs {
		addrs = append(addrs, address(idx))
	}
	return addrs
}

func address(idx int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, 1}), uint16(1+idx))
}

func (prs peers) Fetch(ctx context.Context, addr netip.AddrPort, minimum modeler.Revision, _ []byte, _ modeler.Revision) ([]byte, modeler.Revision, error) {
	pr := prs[addr.Port()-1]
	if !pauser.Sleep(ctx, pr.delay) {
		return nil, 0, ctx.Err()
	}
	if pr.rev < minimum {
		return nil, 0, errors.New("no such revision")
	}
	return pr.doc, pr.rev, nil
}

// lateStore is a store whose next writes lose their answer and take effect a second later.
type lateStore struct {
	*emulator.Store
	// late is the number of these writes.
	late atomic.Int64
}

func newStore() *lateStore { return &lateStore{Store: emulator.NewStore(nil)} }

func (ls *lateStore) Put(ctx context.Context, key string, value []byte, expected int64) (int64, error) {
	if ls.late.Add(-1) < 0 {
		ls.late.Store(0)
		return ls.Store.Put(ctx, key, value, expected)
	}
	time.AfterFunc(time.Second, func() { _, _ = ls.Store.Put(context.Background(), key, value, expected) })
	return 0, storer.ErrResultUnknown
}

// set injects a fault. Late writes are emulated by lateStore itself.
func (ls *lateStore) set(sw emulator.Switch) {
	if sw.Fault == emulator.Late {
		ls.late.Store(int64(sw.Count))
		return
	}
	ls.Faults().Set(sw)
}

// host is a Distributor with its metrics.
type host struct {
	*distributor.Distributor
	reg *meter.Registry
}

func newHost(st *lateStore, prs peers, watching bool) host {
	reg := meter.New(nil)
	return host{distributor.New(distributor.Options{
		Store: st, Peers: prs, IsWatching: func() bool { return watching },
		Timeout: 800 * time.Millisecond, Log: logr.Discard(), Meter: reg,
	}), reg}
}

func (hst host) assertRevision(t testing.TB, want modeler.Revision) {
	t.Helper()
	_, rev := hst.Document()
	qt.Assert(t, rev, qt.Equals, want)
}

// run runs the Distributor until the test ends.
func (hst host) run(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		hst.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
}

// restore overwrites the configuration in the store, as a restore of the store from a backup does.
func restore(st *lateStore, rev modeler.Revision, document []byte) {
	ent, _ := st.Get(context.Background(), "Configuration/Current")
	value := fmt.Appendf(nil, "Revision = %d\nWriter = old\n%s", rev, document)
	if _, err := st.Put(context.Background(), "Configuration/Current", value, ent.Revision); err != nil {
		panic(err)
	}
}

// Guards against a revision that decreases, and against refusals that are not counted.
func TestOffer(t *testing.T) {
	for _, tc := range []struct {
		name string
		doc  []byte
		rev  modeler.Revision
		want error
		mt   meter.Metric
	}{
		{"lower", doc(4), 4, distributor.ErrLowerRevision, meter.RevisionsRefused},
		{"zero", doc(0), 0, distributor.ErrLowerRevision, meter.RevisionsRefused},
		{"same with other content", doc(6), 5, distributor.ErrContentDiffers, meter.RevisionsDiffering},
		{"invalid", []byte("[Host]"), 6, checker.ErrInvalid, meter.RevisionsInvalid},
	} {
		t.Run(tc.name, func(t *testing.T) {
			hst := newHost(newStore(), nil, false)
			qt.Assert(t, hst.Offer(doc(5), 5), qt.IsNil)
			changed := hst.Changed()
			qt.Assert(t, errors.Is(hst.Offer(tc.doc, tc.rev), tc.want), qt.IsTrue)
			qt.Assert(t, hst.Offer(doc(5), 5), qt.IsNil)
			hst.assertRevision(t, 5)
			qt.Assert(t, hst.reg.Value(tc.mt), qt.Equals, int64(1))
			select {
			case <-changed:
				t.Fatal("a refusal signals a change")
			default:
			}
			qt.Assert(t, hst.Offer(doc(6), 6), qt.IsNil)
			<-changed
		})
	}
}

// Guards against changes that are lost or applied twice when answers of the store are lost.
func TestPut(t *testing.T) {
	put := func(fault emulator.Fault, count int) emulator.Switch {
		return emulator.Switch{
			Fault: fault, Part: emulator.PartStore, Operation: "Put",
			Target: "Configuration/Current", Count: count, Delay: 300 * time.Millisecond,
		}
	}
	late := emulator.Switch{Fault: emulator.Late, Count: 1}
	for _, tc := range []struct {
		name     string
		fault    emulator.Switch
		expected modeler.Revision
		// rival is the revision that another operator writes 20 ms later, zero for none.
		rival modeler.Revision
		want  error
		final modeler.Revision
	}{
		{"no fault", put(emulator.Slow, 1), 1, 0, nil, 2},
		{"stale expectation", put(emulator.Slow, 1), 0, 0, distributor.ErrConflict, 1},
		{"answer lost", put(emulator.AnswerLost, 1), 1, 0, nil, 2},
		{"answer lost and superseded", put(emulator.AnswerLost, 1), 1, 3, nil, 3},
		{"request lost", put(emulator.RequestLost, 2), 1, 0, nil, 2},
		{"request lost, rival first", put(emulator.RequestLost, 1), 1, 2, distributor.ErrConflict, 2},
		{"late effect", late, 1, 0, nil, 2},
		{"store down", put(emulator.Unavailable, 0), 1, 0, storer.ErrUnavailable, 1},
		{"never resolved", put(emulator.RequestLost, 0), 1, 0, distributor.ErrResultUnknown, 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				st := newStore()
				hst, rival := newHost(st, nil, true), newHost(st, nil, true)
				_, err := hst.Put(t.Context(), doc(1), 0)
				qt.Assert(t, err, qt.IsNil)
				qt.Assert(t, rival.Start(t.Context()), qt.IsNil)
				st.set(tc.fault)
				if tc.rival > 0 {
					go func() {
						time.Sleep(20 * time.Millisecond)
						_ = rival.Start(t.Context())
						_, err := rival.Put(t.Context(), doc(9), tc.rival-1)
						qt.Check(t, err, qt.IsNil)
					}()
				}
				ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
				defer cancel()
				_, err = hst.Put(ctx, doc(2), tc.expected)
				qt.Check(t, errors.Is(err, tc.want), qt.IsTrue, qt.Commentf("got %v", err))
				st.Faults().Clear()
				check := newHost(st, nil, true)
				qt.Assert(t, check.Start(t.Context()), qt.IsNil)
				check.assertRevision(t, tc.final)
			})
		})
	}
}

// Guards against a large document that is corrupted by compression or stored uncompressed.
func TestLargeDocument(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		st := newStore()
		large := append(doc(1), bytes.Repeat([]byte("; a comment of an operator\n"), 3000)...)
		_, err := newHost(st, nil, true).Put(t.Context(), large, 0)
		qt.Assert(t, err, qt.IsNil)
		ent, err := st.Get(t.Context(), "Configuration/Current")
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, len(ent.Value) < len(large)/10, qt.IsTrue)
		hst := newHost(st, nil, true)
		qt.Assert(t, hst.Start(t.Context()), qt.IsNil)
		got, _ := hst.Document()
		qt.Check(t, string(got), qt.Equals, string(large))
	})
}

// Guards against a history that grows without bound, misses a revision or loses its metadata.
func TestHistory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		hst := newHost(newStore(), nil, true)
		for num := range 130 {
			_, err := hst.Put(t.Context(), doc(num+1), modeler.Revision(num))
			qt.Assert(t, err, qt.IsNil)
		}
		revs, err := hst.History(t.Context())
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, revs, qt.HasLen, 100)
		qt.Check(t, revs[99], qt.Equals, modeler.Revision(129))
		old, err := hst.HistoricDocument(t.Context(), 30)
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, string(old), qt.Equals, string(doc(30)))
		time.Sleep(time.Minute)
		_, err = hst.PutAs(t.Context(), doc(131), 130, "Anne \n Marie")
		qt.Assert(t, err, qt.IsNil)
		chs, err := hst.Changes(t.Context())
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, chs, qt.HasLen, 101)
		qt.Check(t, chs[100], qt.Equals, distributor.Change{Revision: 131, At: time.Now().UTC(), Who: "Anne Marie"})
		qt.Check(t, chs[99], qt.Equals, distributor.Change{Revision: 130, At: time.Now().UTC().Add(-time.Minute)})
	})
}

// Guards against a start that waits for an unresponsive peer, takes a lower revision than peers have
// or fails without the store.
func TestStart(t *testing.T) {
	forever := time.Hour
	for _, tc := range []struct {
		name  string
		store modeler.Revision
		down  bool
		prs   peers
		want  modeler.Revision
		limit time.Duration
	}{
		{"store only", 3, false, nil, 3, 0},
		{"store lags behind a peer", 3, false, peers{{doc(5), 5, 10 * time.Millisecond}, {nil, 0, forever}}, 5, 10 * time.Millisecond},
		{"store down, highest of the peers", 0, true, peers{{doc(3), 3, 0}, {doc(5), 5, 300 * time.Millisecond}}, 5, 800 * time.Millisecond},
		{"store down, one peer unresponsive", 0, true, peers{{doc(3), 3, 0}, {doc(5), 5, forever}}, 3, 800 * time.Millisecond},
		{"store and peers unresponsive", 0, true, peers{{doc(3), 3, forever}}, 0, 2 * time.Second},
		{"highest is invalid", 3, false, peers{{[]byte("[x]"), 7, 0}}, 3, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				st := newStore()
				if tc.store > 0 {
					restore(st, tc.store, doc(int(tc.store)))
				}
				if tc.down {
					st.Faults().Set(emulator.Switch{Fault: emulator.Slow, Part: emulator.PartStore, Delay: forever})
				}
				hst := newHost(st, tc.prs, true)
				begin := time.Now()
				err := hst.Start(t.Context())
				qt.Check(t, err == nil, qt.Equals, tc.want > 0)
				qt.Check(t, time.Since(begin) <= tc.limit, qt.IsTrue, qt.Commentf("took %v", time.Since(begin)))
				hst.assertRevision(t, tc.want)
			})
		})
	}
}

// Guards against a watch that retries in a busy loop while the store reports a gap in its changes.
func TestWatchAfterGaps(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		st := newStore()
		restore(st, 5, doc(5))
		st.Faults().Set(emulator.Switch{Fault: emulator.WatchGap, Part: emulator.PartStore, Operation: "Wait"})
		hst := newHost(st, nil, true)
		hst.run(t)
		before := st.Calls()["Wait"]
		time.Sleep(10 * time.Second)
		// Each delay is random, at least half of 100 ms.
		qt.Check(t, st.Calls()["Wait"]-before <= 200, qt.IsTrue, qt.Commentf("%d calls in 10 s", st.Calls()["Wait"]-before))
		hst.assertRevision(t, 5)
	})
}

// Guards against a watch that misses changes, ends after a fault, or accepts a lower revision from the
// store.
func TestWatch(t *testing.T) {
	for _, tc := range []struct {
		name  string
		fault emulator.Fault
		limit time.Duration
	}{
		{"no fault", "", 0},
		{"gap", emulator.WatchGap, 0},
		{"watch skips changes", emulator.WatchSilent, 10 * time.Second},
		{"connection lost its state", emulator.Slow, 10 * time.Second},
		{"store down for a while", emulator.Unavailable, 2 * time.Second},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				st := newStore()
				restore(st, 5, doc(5))
				st.Faults().Set(emulator.Switch{
					Fault: tc.fault, Part: emulator.PartStore, Operation: "Wait", Count: 1, Delay: time.Hour,
				})
				hst := newHost(st, nil, true)
				hst.run(t)
				time.Sleep(time.Millisecond)
				hst.assertRevision(t, 5)
				restore(st, 6, doc(6))
				time.Sleep(tc.limit + time.Millisecond)
				hst.assertRevision(t, 6)
				restore(st, 2, doc(2))
				time.Sleep(11 * time.Second)
				hst.assertRevision(t, 6)
				qt.Check(t, hst.reg.Value(meter.RevisionsRefused) > 0, qt.IsTrue)
			})
		})
	}
}

// Guards against a host that misses a change because the first peer that reported it is unresponsive,
// or because a reported revision is invalid.
func TestObserveRevision(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		st := newStore()
		hst := newHost(st, peers{{doc(7), 7, time.Hour}, {doc(7), 7, 0}, {[]byte("[x]"), 9, 0}}, false)
		qt.Assert(t, hst.Offer(doc(5), 5), qt.IsNil)
		hst.run(t)
		hst.ObserveRevision(address(2), 9)
		hst.ObserveRevision(address(0), 7)
		hst.ObserveRevision(address(1), 7)
		time.Sleep(1500 * time.Millisecond)
		hst.assertRevision(t, 7)
	})
}

// Guards against a revision that decreases at a host, and against two changes that both succeed with
// the same revision, under concurrent changes, faults, restored stores and stale peers.
func TestRevisionNeverDecreases(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) { rapid.SyncTest(rt, revisionMachine) })
}

func revisionMachine(rt *rapid.T) {
	st := newStore()
	hosts := []host{newHost(st, nil, true), newHost(st, nil, true), newHost(st, nil, true)}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	for _, hst := range hosts {
		go hst.Run(ctx)
	}
	last := make([]modeler.Revision, len(hosts))
	var mu sync.Mutex
	won := map[modeler.Revision]int{}
	serial := 0
	restored := false
	faults := []emulator.Fault{emulator.Unavailable, emulator.AnswerLost, emulator.RequestLost, emulator.Late}
	operate := func(rt *rapid.T) {
		serial++
		num, idx := serial, rapid.IntRange(0, 2).Draw(rt, "host")
		_, expected := hosts[idx].Document()
		go func() {
			call, cancel := context.WithTimeout(ctx, 3*time.Second)
			defer cancel()
			rev, err := hosts[idx].Put(call, doc(num), expected)
			mu.Lock()
			defer mu.Unlock()
			if err == nil && won[rev] != 0 && !restored {
				panic(fmt.Sprintf("revision %d was written by changes %d and %d", rev, won[rev], num))
			}
			if err == nil {
				won[rev] = num
			}
		}()
	}
	rt.Repeat(map[string]func(*rapid.T){
		"operate": operate,
		"race": func(rt *rapid.T) {
			operate(rt)
			operate(rt)
			synctest.Wait()
		},
		"fault": func(rt *rapid.T) {
			st.set(emulator.Switch{
				Fault: rapid.SampledFrom(faults).Draw(rt, "fault"), Part: emulator.PartStore,
				Count: rapid.IntRange(1, 4).Draw(rt, "count"), Delay: time.Second,
			})
		},
		"restore": func(rt *rapid.T) {
			rev := modeler.Revision(rapid.IntRange(1, 9).Draw(rt, "revision"))
			st.Faults().Clear()
			st.late.Store(0)
			restored = true
			restore(st, rev, doc(1000+int(rev)))
		},
		"stale peer": func(rt *rapid.T) {
			rev := modeler.Revision(rapid.IntRange(0, 9).Draw(rt, "revision"))
			idx := rapid.IntRange(0, 2).Draw(rt, "host")
			restored = true
			_ = hosts[idx].Offer(doc(2000+int(rev)), rev)
		},
		"time": func(rt *rapid.T) {
			time.Sleep(time.Duration(rapid.IntRange(1, 4000).Draw(rt, "millis")) * time.Millisecond)
		},
		"": func(rt *rapid.T) {
			synctest.Wait()
			mu.Lock()
			defer mu.Unlock()
			for idx, hst := range hosts {
				document, rev := hst.Document()
				if rev < last[idx] {
					rt.Fatalf("host %d: revision decreased from %d to %d", idx, last[idx], rev)
				}
				last[idx] = rev
				if num := won[rev]; num != 0 && !restored && string(document) != string(doc(num)) {
					rt.Fatalf("host %d: document of revision %d is not the one whose change succeeded", idx, rev)
				}
			}
		},
	})
	cancel()
	time.Sleep(time.Minute)
}
