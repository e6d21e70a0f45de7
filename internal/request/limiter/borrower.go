package limiter

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"github.com/currantrouter/currantrouter/internal/cluster/messenger"
	"github.com/currantrouter/currantrouter/internal/fleet/modeler"
	"github.com/currantrouter/currantrouter/internal/telemetry/meter"
)

// loan is a number of slots and as many connections that this host has borrowed.
type loan struct {
	lender     modeler.HostName
	lenderBoot string
	id         int64
	slots      int
	callLimit  time.Duration
	// sent is when the request was sent, on the monotonic clock. The answer may have taken long,
	// so startBy counts from here.
	sent    time.Time
	startBy time.Time
	// free counts the slots that are neither in use nor returned.
	free atomic.Int64
	// connections counts the connections that are neither open nor returned.
	connections atomic.Int64
	// touched is the time of the last Acquire in nanoseconds since sent.
	touched atomic.Int64
	// returned is the total taken out of use here; only the Run goroutine raises it.
	returned atomic.Int64
	// told is the total that the lender has acknowledged; it is at most returned.
	told    atomic.Int64
	telling atomic.Bool
}

// demand is the number of calls of a service that wait for a slot.
type demand struct {
	waiting atomic.Int64
}

// Want states how many calls of a service wait for a slot at this host.
func (lim *Limiter) Want(svc modeler.ServiceName, waiting int) {
	got, ok := lim.demand.Load(svc)
	if !ok {
		got, _ = lim.demand.LoadOrStore(svc, &demand{})
	}
	dm := got.(*demand)
	dm.waiting.Store(int64(waiting))
}

// isShort tells whether own calls of the service wait.
func (lim *Limiter) isShort(svc modeler.ServiceName) bool {
	got, ok := lim.demand.Load(svc)
	return ok && got.(*demand).waiting.Load() > 0
}

// requestLoans sends at most one round of requests. A round is skipped while the last one is under
// way.
func (lim *Limiter) requestLoans(ctx context.Context) {
	if lim.closed.Load() || !lim.round.CompareAndSwap(false, true) {
		return
	}
	var asks []func()
	lim.demand.Range(func(key, val any) bool {
		if want := int(val.(*demand).waiting.Load()); want > 0 {
			asks = append(asks, lim.asks(ctx, key.(modeler.ServiceName), want)...)
		}
		return true
	})
	if len(asks) == 0 {
		lim.round.Store(false)
		return
	}
	left := int64(len(asks))
	for _, ask := range asks {
		go func() {
			ask()
			if atomic.AddInt64(&left, -1) == 0 {
				lim.round.Store(false)
			}
		}()
	}
}

func (lim *Limiter) asks(ctx context.Context, svc modeler.ServiceName, want int) []func() {
	prs := slices.DeleteFunc(slices.Clone(lim.peers()), func(pr Peer) bool {
		return !pr.Usable || pr.Client == nil
	})
	var out []func()
	for _, pr := range prs {
		part := (want + len(prs) - 1) / len(prs)
		out = append(out, func() { lim.ask(ctx, pr, svc, min(part, loanBatch)) })
	}
	return out
}

func (lim *Limiter) ask(ctx context.Context, pr Peer, svc modeler.ServiceName, want int) {
	ctx, cancel := context.WithTimeout(ctx, messageTimeout)
	defer cancel()
	sent := time.Now()
	rp, err := pr.Client.Borrow(ctx, &messenger.BorrowRequest{
		Borrower: string(lim.op.Host), BorrowerBoot: string(lim.op.Boot),
		Service: string(svc), Slots: int32(want),
	})
	if err != nil {
		return
	}
	for _, gt := range rp.GetGrants() {
		lim.accept(pr, sent, rp, gt)
	}
}

func (lim *Limiter) accept(pr Peer, sent time.Time, rp *messenger.BorrowResponse, gt *messenger.Grant) {
	ac := lim.Account(modeler.RunnerName(gt.GetRunner()))
	if ac == nil || gt.GetSlots() <= 0 {
		return
	}
	ln := &loan{
		lender: pr.Host, lenderBoot: rp.GetLenderBoot(), id: gt.GetLoan(), slots: int(gt.GetSlots()),
		callLimit: time.Duration(rp.GetCallLimitMillis()) * time.Millisecond,
		sent:      sent,
		startBy:   sent.Add(time.Duration(rp.GetStartWithinMillis()) * time.Millisecond),
	}
	ln.free.Store(int64(ln.slots))
	ln.connections.Store(int64(ln.slots))
	ln.touched.Store(int64(time.Since(sent)))
	ac.changeLoans(func(lns []*loan) []*loan { return append(lns, ln) })
	lim.op.Meter.Add(meter.SlotsBorrowed, int64(ln.slots))
	for range ln.slots {
		lim.notify(ac)
	}
}

// changeLoans replaces the list of loans by a changed copy.
func (ac *Account) changeLoans(change func([]*loan) []*loan) {
	for {
		old := ac.borrowed.Load()
		lns := change(slices.Clone(*old))
		if ac.borrowed.CompareAndSwap(old, &lns) {
			return
		}
	}
}

// returnLoans takes slots out of use that are idle or past start-by, and tells the lenders.
func (lim *Limiter) returnLoans(ctx context.Context) {
	now := time.Now()
	for _, ac := range *lim.accounts.Load() {
		lns := *ac.borrowed.Load()
		var ended bool
		for _, ln := range lns {
			ln.retire(now)
			ended = ended || ln.isOver(now)
			if ln.returned.Load() > ln.told.Load() && ln.telling.CompareAndSwap(false, true) {
				go lim.tell(ctx, ln)
			}
		}
		if ended {
			ac.changeLoans(func(lns []*loan) []*loan {
				return slices.DeleteFunc(lns, func(ln *loan) bool { return ln.isOver(now) })
			})
		}
	}
}

// retire moves idle slots, each with a closed connection, from free to returned.
func (ln *loan) retire(now time.Time) {
	idle := now.Sub(ln.sent.Add(time.Duration(ln.touched.Load())))
	if now.Before(ln.startBy) && idle < idleLoan {
		return
	}
	for ln.connections.Load() > 0 && takeOne(&ln.free) {
		if !takeOne(&ln.connections) {
			ln.free.Add(1)
			return
		}
		ln.returned.Add(1)
	}
}

// isOver tells whether the lender has everything back, or counts the loan as ended by itself.
func (ln *loan) isOver(now time.Time) bool {
	term := ln.startBy.Sub(ln.sent) + ln.callLimit
	return int(ln.told.Load()) == ln.slots || now.Sub(ln.sent) > term+modeler.DriftAllowance(term)
}

func (lim *Limiter) tell(ctx context.Context, ln *loan) {
	defer ln.telling.Store(false)
	client := lim.client(ln.lender)
	if client == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, messageTimeout)
	defer cancel()
	total := ln.returned.Load()
	_, err := client.Return(ctx, &messenger.ReturnRequest{
		Borrower: string(lim.op.Host), BorrowerBoot: string(lim.op.Boot),
		LenderBoot: ln.lenderBoot, Loan: ln.id, Slots: int32(total),
	})
	if err == nil {
		ln.told.Store(total)
	}
}

func (lim *Limiter) client(host modeler.HostName) messenger.Peer {
	for _, pr := range lim.peers() {
		if pr.Host == host {
			return pr.Client
		}
	}
	return nil
}
