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

// borrowedLoan holds slots and an equal number of connections that this host has borrowed.
type borrowedLoan struct {
	lender     modeler.HostName
	lenderBoot string
	id         int64
	slots      int
	callLimit  time.Duration
	// sent is the time of the request, on the monotonic clock. startBy counts from here because the
	// response may have been late.
	sent time.Time
	// startBy is the time from which no more calls may start on the loan.
	startBy time.Time
	// free counts the slots that are neither in use nor returned.
	free atomic.Int64
	// connections counts the connections that are neither open nor returned.
	connections atomic.Int64
	// lastUse is the time of the last Acquire, in nanoseconds since sent.
	lastUse atomic.Int64
	// returned is the number of slots that are no longer used here. Only the Run goroutine raises it.
	returned atomic.Int64
	// acknowledged is the number of returned slots that the lender has acknowledged.
	acknowledged atomic.Int64
	// reporting states that a Return request is in flight.
	reporting atomic.Bool
}

// demand counts the calls of a service that wait for a slot.
type demand struct {
	waiting atomic.Int64
}

// SetWaiting sets the number of calls of a service that wait for a slot at this host. While it is not zero,
// the limiter requests loans and grants none of the service's slots.
func (lim *Limiter) SetWaiting(svc modeler.ServiceName, waiting int) {
	got, ok := lim.demand.Load(svc)
	if !ok {
		got, _ = lim.demand.LoadOrStore(svc, &demand{})
	}
	dm := got.(*demand)
	dm.waiting.Store(int64(waiting))
}

// hasWaitingCalls reports whether calls of the service wait for a slot at this host.
func (lim *Limiter) hasWaitingCalls(svc modeler.ServiceName) bool {
	got, ok := lim.demand.Load(svc)
	return ok && got.(*demand).waiting.Load() > 0
}

// requestLoans starts a round of loan requests unless the last round is still in flight.
func (lim *Limiter) requestLoans(ctx context.Context) {
	if lim.closed.Load() || !lim.requesting.CompareAndSwap(false, true) {
		return
	}
	var requests []func()
	lim.demand.Range(func(key, val any) bool {
		if want := int(val.(*demand).waiting.Load()); want > 0 {
			requests = append(requests, lim.loanRequests(ctx, key.(modeler.ServiceName), want)...)
		}
		return true
	})
	if len(requests) == 0 {
		lim.requesting.Store(false)
		return
	}
	left := int64(len(requests))
	for _, send := range requests {
		go func() {
			send()
			if atomic.AddInt64(&left, -1) == 0 {
				lim.requesting.Store(false)
			}
		}()
	}
}

// loanRequests returns one request for each usable peer, among which the wanted slots are divided.
func (lim *Limiter) loanRequests(ctx context.Context, svc modeler.ServiceName, want int) []func() {
	prs := slices.DeleteFunc(slices.Clone(lim.peers()), func(pr Peer) bool {
		return !pr.Usable || pr.Client == nil
	})
	var out []func()
	for _, pr := range prs {
		part := (want + len(prs) - 1) / len(prs)
		out = append(out, func() { lim.requestLoan(ctx, pr, svc, min(part, maxLoanSlots)) })
	}
	return out
}

func (lim *Limiter) requestLoan(ctx context.Context, pr Peer, svc modeler.ServiceName, want int) {
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
		lim.acceptGrant(pr, sent, rp, gt)
	}
}

func (lim *Limiter) acceptGrant(pr Peer, sent time.Time, rp *messenger.BorrowResponse, gt *messenger.Grant) {
	ac := lim.Account(modeler.RunnerName(gt.GetRunner()))
	if ac == nil || gt.GetSlots() <= 0 {
		return
	}
	ln := &borrowedLoan{
		lender: pr.Host, lenderBoot: rp.GetLenderBoot(), id: gt.GetLoan(), slots: int(gt.GetSlots()),
		callLimit: time.Duration(rp.GetCallLimitMillis()) * time.Millisecond,
		sent:      sent,
		startBy:   sent.Add(time.Duration(rp.GetStartWithinMillis()) * time.Millisecond),
	}
	ln.free.Store(int64(ln.slots))
	ln.connections.Store(int64(ln.slots))
	ln.lastUse.Store(int64(time.Since(sent)))
	ac.changeLoans(func(lns []*borrowedLoan) []*borrowedLoan { return append(lns, ln) })
	lim.op.Meter.Add(meter.SlotsBorrowed, int64(ln.slots))
	for range ln.slots {
		lim.notifyFreed(ac)
	}
}

// changeLoans replaces the list of loans by a changed copy.
func (ac *Account) changeLoans(change func([]*borrowedLoan) []*borrowedLoan) {
	for {
		old := ac.borrowed.Load()
		lns := change(slices.Clone(*old))
		if ac.borrowed.CompareAndSwap(old, &lns) {
			return
		}
	}
}

// returnLoans returns the slots of loans that are idle or past startBy, and removes ended loans.
func (lim *Limiter) returnLoans(ctx context.Context) {
	now := time.Now()
	for _, ac := range *lim.accounts.Load() {
		lns := *ac.borrowed.Load()
		var ended bool
		for _, ln := range lns {
			ln.returnIdle(now)
			ended = ended || ln.hasEnded(now)
			if ln.returned.Load() > ln.acknowledged.Load() && ln.reporting.CompareAndSwap(false, true) {
				go lim.reportReturned(ctx, ln)
			}
		}
		if ended {
			ac.changeLoans(func(lns []*borrowedLoan) []*borrowedLoan {
				return slices.DeleteFunc(lns, func(ln *borrowedLoan) bool { return ln.hasEnded(now) })
			})
		}
	}
}

// returnIdle moves free slots, each with a connection that is not open, to returned when the loan has
// been idle for maxLoanIdle or is past startBy.
func (ln *borrowedLoan) returnIdle(now time.Time) {
	idle := now.Sub(ln.sent.Add(time.Duration(ln.lastUse.Load())))
	if now.Before(ln.startBy) && idle < maxLoanIdle {
		return
	}
	for ln.connections.Load() > 0 && decrementIfPositive(&ln.free) {
		if !decrementIfPositive(&ln.connections) {
			ln.free.Add(1)
			return
		}
		ln.returned.Add(1)
	}
}

// hasEnded reports whether the lender has acknowledged the return of all slots or has expired the
// loan.
func (ln *borrowedLoan) hasEnded(now time.Time) bool {
	term := ln.startBy.Sub(ln.sent) + ln.callLimit
	return int(ln.acknowledged.Load()) == ln.slots || now.Sub(ln.sent) > term+modeler.DriftAllowance(term)
}

// reportReturned sends the total number of returned slots to the lender.
func (lim *Limiter) reportReturned(ctx context.Context, ln *borrowedLoan) {
	defer ln.reporting.Store(false)
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
		ln.acknowledged.Store(total)
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
