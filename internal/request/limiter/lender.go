package limiter

import (
	"context"
	"time"

	"github.com/twitchtv/twirp"

	"github.com/currantrouter/currantrouter/internal/cluster/messenger"
	"github.com/currantrouter/currantrouter/internal/fleet/modeler"
	"github.com/currantrouter/currantrouter/internal/telemetry/meter"
)

// lentLoan is a loan that this host has granted. It is guarded by the limiter's mu.
type lentLoan struct {
	ac       *Account
	borrower string
	boot     string
	slots    int
	// returned is at most slots and never decreases.
	returned int
	expiry   *time.Timer
}

// Borrow grants idle slots to another host of the data centre. Each request creates new loans, also a
// repeated one: a loan whose grant did not reach the borrower expires unused. A request for no slots
// is an inquiry for this host's settled revision.
func (lim *Limiter) Borrow(_ context.Context, rq *messenger.BorrowRequest) (*messenger.BorrowResponse, error) {
	lim.mu.Lock()
	defer lim.mu.Unlock()
	rp := &messenger.BorrowResponse{
		LenderBoot:        string(lim.op.Boot),
		StartWithinMillis: loanTerm.Milliseconds(),
		SettledRevision:   lim.settled.Load(),
	}
	if lim.newest == nil {
		return rp, nil
	}
	rp.Revision = int64(lim.newest.Revision)
	if rq.GetSlots() <= 0 || !lim.mayLend(rq) {
		return rp, nil
	}
	left := min(int(rq.GetSlots()), maxLoanSlots)
	for _, ac := range lim.lendable(rq) {
		if left == 0 {
			break
		}
		left -= lim.lend(rq, ac, left, rp)
	}
	if len(rp.Grants) > 0 {
		gt := rp.Grants[0]
		rp.Loan, rp.Slots, rp.Connections = gt.Loan, gt.Slots, gt.Slots
	}
	return rp, nil
}

// mayLend reports whether this host may lend slots: lending was not stopped, no calls of this host wait
// for a slot of the service, and the borrower is another entry host of this data centre.
func (lim *Limiter) mayLend(rq *messenger.BorrowRequest) bool {
	if !lim.lending.Load() || lim.closed.Load() || lim.hasWaitingCalls(modeler.ServiceName(rq.GetService())) {
		return false
	}
	for _, hst := range lim.newest.HostsIn(lim.op.DataCentre) {
		if string(hst.Name) == rq.GetBorrower() && hst.Name != lim.op.Host {
			return true
		}
	}
	return false
}

// lendable returns the account of the requested runner, or of all runners of the requested service.
func (lim *Limiter) lendable(rq *messenger.BorrowRequest) []*Account {
	acs := *lim.accounts.Load()
	if rq.GetRunner() != "" {
		if ac := acs[modeler.RunnerName(rq.GetRunner())]; ac != nil {
			return []*Account{ac}
		}
		return nil
	}
	var out []*Account
	for _, ac := range acs {
		if string(*ac.service.Load()) == rq.GetService() {
			out = append(out, ac)
		}
	}
	return out
}

// lend grants up to half of the idle slots of a runner and returns how many it has granted. The other
// half stays for this host's next calls. Each slot comes with a connection.
func (lim *Limiter) lend(rq *messenger.BorrowRequest, ac *Account, want int, rp *messenger.BorrowResponse) int {
	limit, used := ac.slots.load()
	got := ac.slots.acquire(min(want, (limit-used+1)/2))
	conns := ac.connections.acquire(got)
	if conns < got {
		ac.slots.release(got - conns)
	}
	if conns == 0 {
		return 0
	}
	ac.lentSlots.Add(int64(conns))
	lim.nextLoan++
	id := lim.nextLoan
	callTerm := time.Duration(ac.callLimit.Load())
	term := loanTerm + callTerm
	lim.lentLoans[id] = &lentLoan{
		ac: ac, borrower: rq.GetBorrower(), boot: rq.GetBorrowerBoot(), slots: conns,
		expiry: time.AfterFunc(term+modeler.DriftAllowance(term), func() { lim.expire(id) }),
	}
	lim.op.Meter.Add(meter.SlotsLent, int64(conns))
	rp.Grants = append(rp.Grants, &messenger.Grant{Loan: id, Runner: string(ac.runner), Slots: int32(conns)})
	// The response has a single call limit; the lowest one is safe for all its loans.
	if millis := callTerm.Milliseconds(); rp.CallLimitMillis == 0 || millis < rp.CallLimitMillis {
		rp.CallLimitMillis = millis
	}
	return conns
}

// Return frees slots that the borrower no longer uses. The request has the total number returned for
// the loan, so that repeated, late and reordered messages free no slot twice. Loans of an earlier
// process of this host are ignored.
func (lim *Limiter) Return(_ context.Context, rq *messenger.ReturnRequest) (*messenger.ReturnResponse, error) {
	if rq.GetSlots() < 0 {
		return nil, twirp.InvalidArgumentError("slots", "must not be negative")
	}
	if rq.GetLenderBoot() != string(lim.op.Boot) {
		return &messenger.ReturnResponse{}, nil
	}
	lim.mu.Lock()
	defer lim.mu.Unlock()
	lt := lim.lentLoans[rq.GetLoan()]
	if lt == nil || lt.borrower != rq.GetBorrower() || lt.boot != rq.GetBorrowerBoot() {
		return &messenger.ReturnResponse{}, nil
	}
	lim.takeBack(rq.GetLoan(), lt, min(int(rq.GetSlots()), lt.slots))
	return &messenger.ReturnResponse{}, nil
}

// expire frees the slots that were not returned. It is called when no call on the loan can still run.
func (lim *Limiter) expire(id int64) {
	lim.mu.Lock()
	defer lim.mu.Unlock()
	if lt := lim.lentLoans[id]; lt != nil {
		lim.takeBack(id, lt, lt.slots)
	}
}

// takeBack frees slots until the total of the loan's returned slots reaches total.
func (lim *Limiter) takeBack(id int64, lt *lentLoan, total int) {
	back := total - lt.returned
	if back <= 0 {
		return
	}
	lt.returned = total
	lt.ac.lentSlots.Add(-int64(back))
	if lt.returned == lt.slots {
		lt.expiry.Stop()
		delete(lim.lentLoans, id)
	}
	over := lt.ac.slots.release(back)
	if lt.ac.connections.release(back) || over {
		lim.requestRefresh()
	}
	lim.notifyFreed(lt.ac)
}
