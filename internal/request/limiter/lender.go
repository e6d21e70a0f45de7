package limiter

import (
	"context"
	"time"

	"github.com/twitchtv/twirp"

	"github.com/currantrouter/currantrouter/internal/cluster/messenger"
	"github.com/currantrouter/currantrouter/internal/fleet/modeler"
	"github.com/currantrouter/currantrouter/internal/telemetry/meter"
)

// lent is a loan that this host has given. It is guarded by the limiter's mu.
type lent struct {
	ac       *Account
	borrower string
	boot     string
	slots    int
	// returned is at most slots and never falls.
	returned int
	expiry   *time.Timer
}

// Borrow answers a host of the same data centre that asks for idle slots. Every request makes a
// new loan, a repeated one too: a loan that the borrower does not know expires unused.
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
	left := min(int(rq.GetSlots()), loanBatch)
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

// mayLend refuses loans to other data centres, and while own calls wait for slots.
func (lim *Limiter) mayLend(rq *messenger.BorrowRequest) bool {
	if !lim.lending.Load() || lim.closed.Load() || lim.isShort(modeler.ServiceName(rq.GetService())) {
		return false
	}
	for _, hst := range lim.newest.HostsIn(lim.op.DataCentre) {
		if string(hst.Name) == rq.GetBorrower() && hst.Name != lim.op.Host {
			return true
		}
	}
	return false
}

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

// lend takes up to half of the idle slots of a runner, so that a host does not give away what its
// own next calls need. Each slot comes with a connection.
func (lim *Limiter) lend(rq *messenger.BorrowRequest, ac *Account, want int, rp *messenger.BorrowResponse) int {
	limit, used := ac.slots.load()
	got := ac.slots.take(min(want, (limit-used+1)/2))
	conns := ac.connections.take(got)
	if conns < got {
		ac.slots.give(got - conns)
	}
	if conns == 0 {
		return 0
	}
	ac.lentOut.Add(int64(conns))
	lim.nextLoan++
	id := lim.nextLoan
	callTerm := time.Duration(ac.callLimit.Load())
	term := loanTerm + callTerm
	lim.lent[id] = &lent{
		ac: ac, borrower: rq.GetBorrower(), boot: rq.GetBorrowerBoot(), slots: conns,
		expiry: time.AfterFunc(term+modeler.DriftAllowance(term), func() { lim.expire(id) }),
	}
	lim.op.Meter.Add(meter.SlotsLent, int64(conns))
	rp.Grants = append(rp.Grants, &messenger.Grant{Loan: id, Runner: string(ac.runner), Slots: int32(conns)})
	// One limit holds for all loans of the answer: the lowest is safe for each of them.
	if millis := callTerm.Milliseconds(); rp.CallLimitMillis == 0 || millis < rp.CallLimitMillis {
		rp.CallLimitMillis = millis
	}
	return conns
}

// Return takes unused slots back. The number is the total of the loan, so repeated, late and
// reordered messages free nothing twice. Loans of an earlier boot are unknown and ignored.
func (lim *Limiter) Return(_ context.Context, rq *messenger.ReturnRequest) (*messenger.ReturnResponse, error) {
	if rq.GetSlots() < 0 {
		return nil, twirp.InvalidArgumentError("slots", "must not be negative")
	}
	if rq.GetLenderBoot() != string(lim.op.Boot) {
		return &messenger.ReturnResponse{}, nil
	}
	lim.mu.Lock()
	defer lim.mu.Unlock()
	lt := lim.lent[rq.GetLoan()]
	if lt == nil || lt.borrower != rq.GetBorrower() || lt.boot != rq.GetBorrowerBoot() {
		return &messenger.ReturnResponse{}, nil
	}
	lim.takeBack(rq.GetLoan(), lt, min(int(rq.GetSlots()), lt.slots))
	return &messenger.ReturnResponse{}, nil
}

// expire takes back what was not returned: no call on the loan can still run.
func (lim *Limiter) expire(id int64) {
	lim.mu.Lock()
	defer lim.mu.Unlock()
	if lt := lim.lent[id]; lt != nil {
		lim.takeBack(id, lt, lt.slots)
	}
}

func (lim *Limiter) takeBack(id int64, lt *lent, total int) {
	back := total - lt.returned
	if back <= 0 {
		return
	}
	lt.returned = total
	lt.ac.lentOut.Add(-int64(back))
	if lt.returned == lt.slots {
		lt.expiry.Stop()
		delete(lim.lent, id)
	}
	over := lt.ac.slots.give(back)
	if lt.ac.connections.give(back) || over {
		lim.nudge()
	}
	lim.notify(lt.ac)
}
