package emulator_test

import (
	"context"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/currantrouter/currantrouter/internal/provider/emulator"
	"github.com/currantrouter/currantrouter/internal/provider/lister"
	"github.com/currantrouter/currantrouter/internal/provider/requester"
	"github.com/currantrouter/currantrouter/internal/provider/storer"
	"github.com/currantrouter/currantrouter/internal/provider/supervisor"
)

type store interface {
	Get(ctx context.Context, key string) (storer.Entry, error)
	Put(ctx context.Context, key string, value []byte, expected int64) (int64, error)
	Delete(ctx context.Context, key string, expected int64) error
	List(ctx context.Context, prefix, after string, limit int) ([]storer.Entry, error)
	Wait(ctx context.Context, prefix string, after int64) ([]storer.Entry, int64, error)
}

// served returns a platform, its address and a requester.
func served(t *testing.T) (*emulator.Platform, netip.AddrPort, *requester.Requester) {
	pf := emulator.New(emulator.Options{})
	sv := httptest.NewServer(pf.Handler())
	rr := requester.New()
	t.Cleanup(func() {
		rr.Close()
		sv.Close()
		pf.Close()
	})
	return pf, netip.MustParseAddrPort(sv.Listener.Addr().String()), rr
}

func keysOf(ens []storer.Entry) (out []string) {
	for _, en := range ens {
		out = append(out, en.Key)
	}
	return out
}

func mustPut(t *testing.T, st store, key string) int64 {
	t.Helper()
	rev, err := st.Put(t.Context(), key, []byte("value of "+key), 0)
	qt.Assert(t, err, qt.IsNil)
	return rev
}

// Guards against an emulated store that differs from docs/platform.md, or behaves differently when
// called directly and over HTTP: the standalone mode and the tests of other packages would not notice.
func TestStore(t *testing.T) {
	for name, run := range map[string]func(*testing.T, *emulator.Store, store){
		"compare and swap": func(t *testing.T, _ *emulator.Store, st store) {
			_, err := st.Get(t.Context(), "a")
			qt.Check(t, err, qt.ErrorIs, storer.ErrNotFound)
			rev := mustPut(t, st, "a")
			_, err = st.Put(t.Context(), "a", nil, 0)
			qt.Check(t, err, qt.ErrorIs, storer.ErrConflict)
			next, err := st.Put(t.Context(), "a", []byte("new"), rev)
			qt.Assert(t, err, qt.IsNil)
			qt.Check(t, next > rev, qt.IsTrue)
			en, err := st.Get(t.Context(), "a")
			qt.Assert(t, err, qt.IsNil)
			qt.Check(t, en, qt.DeepEquals, storer.Entry{Key: "a", Value: []byte("new"), Revision: next})
			qt.Check(t, st.Delete(t.Context(), "a", rev), qt.ErrorIs, storer.ErrConflict)
			qt.Check(t, st.Delete(t.Context(), "a", next), qt.IsNil)
			qt.Check(t, st.Delete(t.Context(), "a", next), qt.ErrorIs, storer.ErrConflict)
		},
		"size": func(t *testing.T, _ *emulator.Store, st store) {
			_, err := st.Put(t.Context(), "a", make([]byte, storer.MaxValueBytes+1), 0)
			qt.Check(t, err, qt.ErrorIs, storer.ErrTooLarge)
			_, err = st.Put(t.Context(), "a", make([]byte, storer.MaxValueBytes), 0)
			qt.Check(t, err, qt.IsNil)
		},
		"list": func(t *testing.T, _ *emulator.Store, st store) {
			for _, key := range []string{"p/3", "q/1", "p/1", "o", "p/2"} {
				mustPut(t, st, key)
			}
			ens, err := st.List(t.Context(), "p/", "", 2)
			qt.Assert(t, err, qt.IsNil)
			qt.Check(t, keysOf(ens), qt.DeepEquals, []string{"p/1", "p/2"})
			ens, err = st.List(t.Context(), "p/", "p/2", 2)
			qt.Assert(t, err, qt.IsNil)
			qt.Check(t, keysOf(ens), qt.DeepEquals, []string{"p/3"})
			ens, err = st.List(t.Context(), "p/", "p/3", 2)
			qt.Assert(t, err, qt.IsNil)
			qt.Check(t, ens, qt.HasLen, 0)
		},
		"wait": func(t *testing.T, em *emulator.Store, st store) {
			rev := mustPut(t, st, "p/1")
			go func() { _ = em.Delete(context.Background(), "p/1", rev) }()
			ens, next, err := st.Wait(t.Context(), "p/", rev)
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, ens, qt.HasLen, 1)
			qt.Check(t, ens[0].Key, qt.Equals, "p/1")
			qt.Check(t, ens[0].Deleted, qt.IsTrue)
			ens, again, err := st.Wait(t.Context(), "p/", next)
			qt.Assert(t, err, qt.IsNil)
			qt.Check(t, ens, qt.HasLen, 0)
			qt.Check(t, again, qt.Equals, next)
			qt.Check(t, em.Calls()["Wait"], qt.Equals, int64(2))
		},
		"faults": func(t *testing.T, em *emulator.Store, st store) {
			set := func(ft emulator.Fault) { em.Faults().Set(emulator.Switch{Fault: ft, Count: 1}) }
			set(emulator.Unavailable)
			_, err := st.Put(t.Context(), "a", nil, 0)
			qt.Check(t, err, qt.ErrorIs, storer.ErrUnavailable)
			set(emulator.RequestLost)
			_, err = st.Put(t.Context(), "a", nil, 0)
			qt.Check(t, err, qt.ErrorIs, storer.ErrResultUnknown)
			_, err = st.Get(t.Context(), "a")
			qt.Check(t, err, qt.ErrorIs, storer.ErrNotFound)
			set(emulator.AnswerLost)
			_, err = st.Put(t.Context(), "a", nil, 0)
			qt.Check(t, err, qt.ErrorIs, storer.ErrResultUnknown)
			en, err := st.Get(t.Context(), "a")
			qt.Assert(t, err, qt.IsNil)
			set(emulator.AnswerLost)
			_, err = st.Get(t.Context(), "a")
			qt.Check(t, err, qt.ErrorIs, storer.ErrUnavailable)
			set(emulator.WatchGap)
			_, _, err = st.Wait(t.Context(), "", 0)
			qt.Check(t, err, qt.ErrorIs, storer.ErrGap)
			em.Faults().Set(emulator.Switch{Fault: emulator.StaleList, Count: 1})
			qt.Assert(t, st.Delete(t.Context(), "a", en.Revision), qt.IsNil)
			ens, err := st.List(t.Context(), "", "", 9)
			qt.Assert(t, err, qt.IsNil)
			qt.Check(t, keysOf(ens), qt.DeepEquals, []string{"a"})
		},
	} {
		t.Run(name, func(t *testing.T) {
			pf, address, rr := served(t)
			pf.Store.WaitLimit = 50 * time.Millisecond
			t.Run("http", func(t *testing.T) { run(t, pf.Store, storer.NewClient(rr, address)) })
			direct := emulator.NewStore(nil)
			direct.WaitLimit = 50 * time.Millisecond
			t.Run("direct", func(t *testing.T) { run(t, direct, direct) })
		})
	}
}

// Guards against a worker's command or a host list that loses a field or an error over HTTP.
func TestWorkersOverHTTP(t *testing.T) {
	pf, address, rr := served(t)
	wk := worker1
	wk.Address = address
	wk.Capacity.MemoryBytes = 100
	pf.Workers.Add(wk)
	pf.Hosts.Set("w1", lister.Leaving)
	ctx := t.Context()
	ls := lister.NewClient(rr, address)
	wks, err := ls.Workers(ctx)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, wks, qt.HasLen, 1)
	qt.Check(t, wks[0].Leaving, qt.IsTrue)
	hs, err := ls.List(ctx)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, hs, qt.DeepEquals, lister.Listing{"w1": lister.Leaving})
	sv := supervisor.NewClient(rr)
	cmd := supervisor.StartCommand{
		Attempt: attempt1, Epoch: 3, StartBefore: time.Now().Add(time.Minute), LeaseTerm: time.Minute,
		Reservation: supervisor.Resources{Millicores: 5, MemoryBytes: 6, Accelerators: 0}, Kind: "kind", Checkpoint: "1s",
	}
	pf.Faults.Set(emulator.Switch{Fault: emulator.AnswerLost, Part: emulator.PartWorkers, Operation: "Start", Count: 1})
	qt.Check(t, sv.Start(ctx, wk, cmd), qt.ErrorIs, supervisor.ErrResultUnknown)
	qt.Check(t, sv.Start(ctx, wk, cmd), qt.ErrorIs, supervisor.ErrRefused)
	missing, err := sv.Renew(ctx, wk, 3, time.Minute, []supervisor.Attempt{attempt1, otherAttempt})
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, missing, qt.DeepEquals, []supervisor.Attempt{otherAttempt})
	qt.Check(t, sv.Throttle(ctx, wk, 3, attempt1, 0.5), qt.IsNil)
	qt.Check(t, sv.Checkpoint(ctx, wk, 3, attempt1), qt.IsNil)
	qt.Check(t, sv.Stop(ctx, wk, 2, attempt1), qt.ErrorIs, supervisor.ErrRefused)
	rep, err := sv.Report(ctx, wk)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, rep.Running, qt.HasLen, 1)
	qt.Check(t, rep.Running[0].Usage, qt.Equals, supervisor.Resources{Millicores: 2, MemoryBytes: 6})
	qt.Check(t, sv.Stop(ctx, wk, 3, attempt1), qt.IsNil)
	qt.Check(t, sv.Stop(ctx, wk, 3, attempt1), qt.ErrorIs, supervisor.ErrNoAttempt)
	qt.Check(t, sv.Forget(ctx, wk, 3, []supervisor.Attempt{attempt1}), qt.IsNil)
	pf.Workers.Kill(wk.Name)
	qt.Check(t, sv.Start(ctx, wk, cmd), qt.ErrorIs, supervisor.ErrRefused)
	var faults []emulator.Switch
	err = rr.Call(ctx, address, "/faults", emulator.FaultsRequest{Clear: true, Set: []emulator.Switch{{Fault: emulator.Unavailable, Part: emulator.PartHosts}}}, &faults)
	qt.Assert(t, err, qt.IsNil)
	_, err = ls.List(ctx)
	qt.Check(t, err, qt.ErrorIs, lister.ErrUnavailable)
}
