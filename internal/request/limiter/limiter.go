// Package limiter bounds the calls and connections that this host has open to each runner, so that
// all entry hosts together never exceed the runner's limits.
//
// The limits of a runner (slots for calls, and connections) are divided into fixed shares among a few
// entry hosts of its data centre. A host with waiting calls may borrow idle slots from other hosts
// for a short time. When the configuration changes, a share shrinks at once, but grows only after the
// other holders have acknowledged the new revision, which is then settled.
package limiter

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"github.com/currantrouter/currantrouter/internal/cluster/messenger"
	"github.com/currantrouter/currantrouter/internal/fleet/modeler"
	"github.com/currantrouter/currantrouter/internal/process/pauser"
	"github.com/currantrouter/currantrouter/internal/telemetry/logger"
	"github.com/currantrouter/currantrouter/internal/telemetry/meter"
)

const (
	// loanTerm is the time, counted from the request for the loan, within which calls may start on it.
	// It is much longer than a round trip, and much shorter than a change of the load because the
	// lender cannot use a lent slot.
	loanTerm = 2 * time.Second
	// loanRequestInterval is the minimum time between two rounds of loan requests.
	loanRequestInterval = 50 * time.Millisecond
	// inquiryInterval is the minimum time between two rounds in which peers are asked directly for
	// their acknowledgements.
	inquiryInterval = 500 * time.Millisecond
	// messageTimeout bounds each message to a peer. A loan whose grant is lost expires at the lender.
	messageTimeout = time.Second
	// maxLoanIdle is the time without a new call after which unused slots of a loan are returned before
	// loanTerm ends.
	maxLoanIdle = 200 * time.Millisecond
	// maxLoanSlots bounds the slots of one loan request.
	maxLoanSlots = 64
)

// Peer describes another entry host of the limiter's data centre.
type Peer struct {
	Host modeler.HostName
	// Usable states that the host is reachable and not draining.
	Usable bool
	// SettledRevision is the newest revision that the host has acknowledged, or zero when unknown.
	SettledRevision modeler.Revision
	// Client is nil when the address of the host is unknown.
	Client messenger.Peer
}

// Options configure a Limiter.
type Options struct {
	Host       modeler.HostName
	Boot       modeler.BootID
	DataCentre modeler.DataCentreName
	// HasPredecessor states that calls of an earlier process of this host may still be running. The
	// shares then stay unused until all of these calls must have ended.
	HasPredecessor bool
	// History lists earlier revisions that other holders may still apply, oldest first. It must reach
	// back to the revision that the predecessor recorded as its SettledBase. Nil means unknown: all
	// other entry hosts of the data centre must then acknowledge the first revision before this host
	// uses its shares.
	History []*modeler.Configuration
	// Peers lists the other entry hosts of the data centre. It must not call the limiter.
	Peers func() []Peer
	// OnSlotFreed is called when a slot of a runner may have become free. It must not block. May be nil.
	OnSlotFreed func(modeler.RunnerName, modeler.ServiceName)
	Log         logr.Logger
	Meter       *meter.Registry
}

// Limiter counts the slots and connections of runners that this host uses, lends and borrows. It is
// safe for concurrent use.
type Limiter struct {
	op      Options
	started time.Time
	// accounts is copy-on-write; writers hold mu.
	accounts atomic.Pointer[map[modeler.RunnerName]*Account]
	// settled is the newest revision that this host has acknowledged. It never decreases.
	settled atomic.Int64
	// needsRefresh states that revisions are unsettled or that this host exceeds its shares, so Run
	// must collect acknowledgements at the next tick.
	needsRefresh atomic.Bool
	// closed states that no new call or loan may start. It is never reset.
	closed atomic.Bool
	// lending states that this host may lend slots.
	lending atomic.Bool
	// wake signals Run to call refresh before the next tick.
	wake chan struct{}
	// demand maps modeler.ServiceName to *demand.
	demand sync.Map
	// requesting states that a round of loan requests is in flight.
	requesting atomic.Bool

	mu sync.Mutex
	// newest is nil before the first Apply.
	newest *modeler.Configuration
	// acknowledged maps each other host to the newest revision that it is known to have acknowledged.
	acknowledged map[modeler.HostName]modeler.Revision
	// confirmed is like acknowledged, but only from replies to inquiries of this process.
	confirmed map[modeler.HostName]modeler.Revision
	// knownHosts lists the other hosts of the data centre under any revision that was applied here.
	knownHosts []modeler.HostName
	// retiredAt maps each retired host to the time at which this process learned of its retirement.
	retiredAt map[modeler.HostName]time.Time
	// maxCallLimit is the longest call limit under any revision that was applied here. It never
	// decreases.
	maxCallLimit time.Duration
	// unseen stands for unsettled revisions that were never applied here. They may list any runner, so
	// the account of a new runner starts with them.
	unseen []unsettledRevision
	// ready states that all calls of an earlier process of this host have ended.
	ready     bool
	nextLoan  int64
	lentLoans map[int64]*lentLoan

	// lastInquiry is the time of the last round of inquiries. Only Run uses it.
	lastInquiry time.Time
}

// New returns a limiter that has applied only op.History. Apply sets its shares. Run must be running
// for revisions to settle and for loans to be requested and returned.
func New(op Options) *Limiter {
	lim := &Limiter{
		op:           op,
		started:      time.Now(),
		wake:         make(chan struct{}, 1),
		acknowledged: map[modeler.HostName]modeler.Revision{},
		confirmed:    map[modeler.HostName]modeler.Revision{},
		retiredAt:    map[modeler.HostName]time.Time{},
		lentLoans:    map[int64]*lentLoan{},
		ready:        !op.HasPredecessor,
	}
	lim.accounts.Store(&map[modeler.RunnerName]*Account{})
	lim.lending.Store(true)
	for _, cfg := range op.History {
		lim.Apply(cfg)
	}
	return lim
}

// Account returns the account of a runner, or nil when the runner is unknown.
func (lim *Limiter) Account(rn modeler.RunnerName) *Account { return (*lim.accounts.Load())[rn] }

// Acquire takes a slot of a runner and reports whether one was free. It never blocks.
func (lim *Limiter) Acquire(rn modeler.RunnerName) (*Slot, bool) {
	ac := lim.Account(rn)
	if ac == nil || lim.closed.Load() {
		return nil, false
	}
	return ac.Acquire()
}

// Close permanently stops new calls on shares and loans, and new loans. It is called when a newer
// process of this host is detected.
func (lim *Limiter) Close() {
	lim.closed.Store(true)
	lim.lending.Store(false)
	lim.mu.Lock()
	defer lim.mu.Unlock()
	lim.refreshLocked()
}

// StopLending refuses new loans from now on. It is called when the host starts to drain.
func (lim *Limiter) StopLending() { lim.lending.Store(false) }

// OutstandingSlots returns the number of slots that are in use or lent. A host is drained only when this
// number is zero.
func (lim *Limiter) OutstandingSlots() int {
	var sum int
	for _, ac := range *lim.accounts.Load() {
		used, _ := ac.Used()
		sum += used
		for _, ln := range *ac.borrowed.Load() {
			sum += ln.slots - int(ln.free.Load()) - int(ln.returned.Load())
		}
	}
	return sum
}

// Run collects acknowledgements of revisions, returns unused loans and requests new ones until the
// context ends.
func (lim *Limiter) Run(ctx context.Context) {
	tk := pauser.NewTicker(loanRequestInterval)
	defer tk.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-lim.wake:
			lim.refresh()
			continue
		case <-tk.Next():
			tk.Advance()
		}
		if lim.needsRefresh.Load() {
			lim.collectAcknowledgements(ctx)
		}
		lim.returnLoans(ctx)
		lim.requestLoans(ctx)
	}
}

// requestRefresh makes Run call refresh soon. It never blocks.
func (lim *Limiter) requestRefresh() {
	select {
	case lim.wake <- struct{}{}:
	default:
	}
}

func (lim *Limiter) notifyFreed(ac *Account) {
	if lim.op.OnSlotFreed != nil {
		lim.op.OnSlotFreed(ac.runner, *ac.service.Load())
	}
}

func (lim *Limiter) countAbandoned() { lim.op.Meter.Add(meter.SlotsAbandoned, 1) }

func (lim *Limiter) log(ev logger.Event, kv ...any) { logger.Log(lim.op.Log, ev, kv...) }
