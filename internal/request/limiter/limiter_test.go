package limiter

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"

	"github.com/currantrouter/currantrouter/internal/cluster/messenger"
	"github.com/currantrouter/currantrouter/internal/fleet/modeler"
	"github.com/currantrouter/currantrouter/internal/telemetry/meter"
)

func configuration(rev modeler.Revision, holders int, hosts ...modeler.HostName) *modeler.Configuration {
	cfg := &modeler.Configuration{
		Revision: rev, Limits: modeler.Limits{HoldersPerRunner: holders},
		Services: []modeler.Service{{Name: "tidebook", CallLimit: modelLimit}},
		Runners:  []modeler.Runner{{Name: "runner1", DataCentre: "stad", Service: "tidebook", Slots: 8, Connections: 6}},
	}
	for _, name := range hosts {
		cfg.Hosts = append(cfg.Hosts, modeler.Host{Name: name, DataCentre: "stad"})
	}
	return cfg
}

// remote is a peer whose replies to Borrow come from a function of the test.
type remote struct {
	messenger.Peer
	borrow func() (*messenger.BorrowResponse, error)
}

func (rm *remote) Borrow(context.Context, *messenger.BorrowRequest) (*messenger.BorrowResponse, error) {
	return rm.borrow()
}

func (rm *remote) Return(context.Context, *messenger.ReturnRequest) (*messenger.ReturnResponse, error) {
	return &messenger.ReturnResponse{}, nil
}

func newLimiter(host modeler.HostName, peers func() []Peer) *Limiter {
	return New(Options{
		Host: host, Boot: "boot1", DataCentre: "stad", History: []*modeler.Configuration{}, Peers: peers, Log: logr.Discard(), Meter: meter.New(nil),
	})
}

// TestShares guards against shares that do not add up to the runner's limits.
func TestShares(t *testing.T) {
	for count := range 9 {
		cfg := configuration(1, 4)
		for ix := range count {
			cfg.Hosts = append(cfg.Hosts, modeler.Host{Name: hostName(ix), DataCentre: "stad", Retired: ix == 5})
		}
		cfg.Hosts = append(cfg.Hosts, modeler.Host{Name: "far", DataCentre: "jaeren"})
		var slots, connections int
		shs := Shares(cfg, cfg.Runners[0])
		for _, sh := range shs {
			slots, connections = slots+sh.Slots, connections+sh.Connections
		}
		qt.Check(t, len(shs), qt.Equals, min(4, count))
		qt.Check(t, [2]int{slots, connections}, qt.Equals, [2]int{8 * min(1, count), 6 * min(1, count)})
	}
}

// TestGauge guards against units that are acquired under an old limit while the limit is lowered.
func TestGauge(t *testing.T) {
	var gg gauge
	gg.setLimit(4)
	var wg sync.WaitGroup
	for range 8 {
		wg.Go(func() {
			for range 5000 {
				if got := gg.acquire(2); got > 0 {
					gg.release(got)
				}
			}
		})
	}
	for limit := range 1000 {
		gg.setLimit(limit % 5)
		if lim, used := gg.load(); lim != limit%5 || used > 4 {
			t.Errorf("limit %d, used %d", lim, used)
		}
	}
	wg.Wait()
	_, used := gg.load()
	qt.Check(t, used, qt.Equals, 0)
}

// TestReturns guards against slots that are freed twice by repeated, late or foreign Return requests.
func TestReturns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		lim := newLimiter("entry0", nil)
		lim.Apply(configuration(1, 1, "entry0"))
		cfg := configuration(2, 1, "entry0", "entry1")
		cfg.Runners[0].Name = "other"
		lim.Apply(cfg)
		lim.Apply(configuration(3, 1, "entry0"))
		ac := lim.Account("runner1")
		qt.Assert(t, ac.Limit(), qt.Equals, 8)
		// Loans are granted only to hosts of the data centre, and entry1 is not one of them now.
		ask := &messenger.BorrowRequest{Borrower: "entry1", BorrowerBoot: "b", Runner: "runner1", Slots: 3}
		rp, _ := lim.Borrow(t.Context(), ask)
		qt.Check(t, rp.Slots, qt.Equals, int32(0))
		lim.Apply(configuration(4, 2, "entry0", "entry1"))
		lim.Acknowledge("entry1", 4)
		share, _ := ac.slots.load()
		rp, _ = lim.Borrow(t.Context(), ask)
		qt.Assert(t, rp.Slots, qt.Equals, int32((share+1)/2))
		qt.Check(t, ac.Limit(), qt.Equals, share-int(rp.Slots))
		for _, step := range []struct {
			boot  string
			loan  int64
			slots int32
			used  int
		}{{"boot1", rp.Loan, 1, 1}, {"boot1", rp.Loan, 1, 1}, {"boot0", rp.Loan, 2, 1}, {"boot1", 99, 2, 1}, {"boot1", rp.Loan, 0, 1}, {"boot1", rp.Loan, 9, 0}, {"boot1", rp.Loan, 2, 0}} {
			_, err := lim.Return(t.Context(), &messenger.ReturnRequest{
				Borrower: "entry1", BorrowerBoot: "b", LenderBoot: step.boot, Loan: step.loan, Slots: step.slots,
			})
			qt.Check(t, err, qt.IsNil)
			slots, connections := ac.Used()
			qt.Check(t, [2]int{slots, connections}, qt.Equals, [2]int{step.used, step.used}, qt.Commentf("%v", step))
		}
		// A loan that is not returned expires after loanTerm, the call limit and the drift allowance.
		_, _ = lim.Borrow(t.Context(), ask)
		term := loanTerm + modelLimit
		time.Sleep(term + modeler.DriftAllowance(term) - time.Millisecond)
		qt.Check(t, lim.OutstandingSlots(), qt.Equals, 2)
		time.Sleep(2 * time.Millisecond)
		qt.Check(t, lim.OutstandingSlots(), qt.Equals, 0)
	})
}

// TestLateLoan guards against calls that start too late on a loan whose grant was late: startBy counts
// from the request.
func TestLateLoan(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		delay := 900 * time.Millisecond
		far := &remote{borrow: func() (*messenger.BorrowResponse, error) {
			time.Sleep(delay)
			return &messenger.BorrowResponse{LenderBoot: "b", StartWithinMillis: 2000, CallLimitMillis: 700, Grants: []*messenger.Grant{{Loan: 1, Runner: "runner1", Slots: 2}}}, nil
		}}
		lim := newLimiter("entry9", func() []Peer { return []Peer{{Host: "entry0", Usable: true, Client: far}} })
		lim.Apply(configuration(1, 1, "entry0"))
		lim.requestLoan(t.Context(), lim.peers()[0], "tidebook", 2)
		sl, ok := lim.Acquire("runner1")
		qt.Assert(t, ok, qt.IsTrue)
		qt.Check(t, sl.CallLimit(), qt.Equals, 700*time.Millisecond)
		cn, ok := sl.Account().Connect(sl)
		qt.Assert(t, ok, qt.IsTrue)
		time.Sleep(loanTerm - delay - time.Millisecond)
		qt.Check(t, sl.Begin() && cn.Reusable(), qt.IsTrue)
		time.Sleep(time.Millisecond)
		qt.Check(t, sl.Begin() || cn.Reusable(), qt.IsFalse)
		sl.Release()
		_, ok = lim.Acquire("runner1")
		qt.Check(t, ok, qt.IsFalse)
		// A slot is not returned while its connection is open.
		lim.returnLoans(t.Context())
		qt.Check(t, (*sl.ac.borrowed.Load())[0].returned.Load(), qt.Equals, int64(1))
		cn.Release()
		lim.returnLoans(t.Context())
		synctest.Wait()
		lim.returnLoans(t.Context())
		qt.Check(t, *sl.ac.borrowed.Load(), qt.HasLen, 0)
	})
}

// TestFirstRevision guards against a new process that accepts relayed acknowledgements: they may be
// older than the revision that the previous process had acknowledged.
func TestFirstRevision(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var settled atomic.Int64
		far := &remote{borrow: func() (*messenger.BorrowResponse, error) {
			return &messenger.BorrowResponse{Revision: 5, SettledRevision: settled.Load()}, nil
		}}
		lim := newLimiter("entry0", func() []Peer { return []Peer{{Host: "entry1", SettledRevision: 5, Client: far}} })
		lim.op.History = nil
		lim.Apply(configuration(5, 2, "entry0", "entry1"))
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go lim.Run(ctx)
		for _, want := range []int{0, 4} {
			time.Sleep(5 * time.Second)
			synctest.Wait()
			qt.Check(t, lim.Account("runner1").Limit(), qt.Equals, want)
			settled.Store(5)
		}
	})
}

// TestSkippedRevisions guards against a share that grows after revisions were skipped, while another
// host still holds slots under a skipped revision although it is not a holder under any revision that
// was applied here.
func TestSkippedRevisions(t *testing.T) {
	base := configuration(1, 1, "entry0", "entry1", "entry2")
	for base.Runners[0].Name = "r"; ; base.Runners[0].Name += "x" {
		rk := modeler.Rank(string(base.Runners[0].Name), base.Hosts)
		if rk[0].Name == "entry1" && rk[1].Name == "entry2" {
			break
		}
	}
	revision := func(rev modeler.Revision, hosts ...modeler.HostName) *modeler.Configuration {
		cfg := configuration(rev, 1, hosts...)
		cfg.Runners = slices.Clone(base.Runners)
		return cfg
	}
	lim := newLimiter("entry0", nil)
	lim.Apply(base)
	lim.Apply(revision(2, "entry0", "entry2"))
	lim.Acknowledge("entry1", 2)
	qt.Check(t, lim.Account(base.Runners[0].Name).Limit(), qt.Equals, 0)
	// Revision 3, which is never applied here, may have given all slots to entry1 again.
	lim.Apply(revision(4, "entry0"))
	lim.Acknowledge("entry2", 4)
	qt.Check(t, lim.Account(base.Runners[0].Name).Limit(), qt.Equals, 0)
	lim.Acknowledge("entry1", 4)
	qt.Check(t, lim.Account(base.Runners[0].Name).Limit(), qt.Equals, 8)
}

// TestUnsettledRevisions guards against memory use that grows with each revision while a host is down.
func TestUnsettledRevisions(t *testing.T) {
	lim := newLimiter("entry0", nil)
	for rev := modeler.Revision(1); rev < 1000; rev += 1 + rev%2 {
		lim.Apply(configuration(rev, 2, []modeler.HostName{"entry0", "entry1", "entry2"}[:2+rev%2]...))
	}
	qt.Check(t, len(lim.Account("runner1").unsettled) <= 6, qt.IsTrue, qt.Commentf("%d", len(lim.Account("runner1").unsettled)))
	qt.Check(t, lim.SettledBase(), qt.Equals, modeler.Revision(1))
}
