// Package limiter holds the authority of this host over the slots and connections of runners: its
// permanent shares, the loans that it has given and taken, and the use of both.
package limiter

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"github.com/currantrouter/currantrouter/internal/cluster/messenger"
	"github.com/currantrouter/currantrouter/internal/fleet/modeler"
	"github.com/currantrouter/currantrouter/internal/telemetry/logger"
	"github.com/currantrouter/currantrouter/internal/telemetry/meter"
)

const (
	// loanTerm is the time within which calls may start on a loan. It is long against a round trip
	// and short against a load swing, since a lent slot is lost to the lender.
	loanTerm = 2 * time.Second
	// roundInterval is the least time between two rounds of requests for loans.
	roundInterval = 50 * time.Millisecond
	// inquiryInterval is the time between two direct inquiries for acknowledgements.
	inquiryInterval = 500 * time.Millisecond
	// messageTimeout bounds each message to a peer; a lost loan comes back by itself.
	messageTimeout = time.Second
	// idleLoan is the time without a new call after which unused slots are returned early.
	idleLoan = 200 * time.Millisecond
	// loanBatch bounds the slots of one request.
	loanBatch = 64
)

// Peer is what the limiter knows of another entry host of its data centre.
type Peer struct {
	Host modeler.HostName
	// Usable states that the host is alive and not leaving.
	Usable bool
	// SettledRevision is the newest revision that the host has acknowledged; zero when none is
	// known.
	SettledRevision modeler.Revision
	// Client is nil when the host has no known address.
	Client messenger.Peer
}

// Options are the fixed inputs of a limiter.
type Options struct {
	Host       modeler.HostName
	Boot       modeler.BootID
	DataCentre modeler.DataCentreName
	// Predecessor states that calls of an earlier process of this host may still run. The shares
	// then stay unused until they must have ended.
	Predecessor bool
	// History lists earlier revisions that may still be in force at other holders, the oldest
	// first. It must reach back to the last revision that the predecessor recorded as settled (see
	// SettledBase). Nil means that nothing is known, and all other entry hosts of the data centre must
	// acknowledge the first revision before shares are used.
	History []*modeler.Configuration
	// Peers lists the other entry hosts of the data centre. It must not call the limiter.
	Peers func() []Peer
	// Freed is called when a slot of a runner may have become free. It must not block.
	Freed func(modeler.RunnerName, modeler.ServiceName)
	Log   logr.Logger
	Meter *meter.Registry
}

// Limiter is safe for concurrent use.
type Limiter struct {
	op      Options
	started time.Time
	// accounts is replaced by writers that hold mu and never changed.
	accounts atomic.Pointer[map[modeler.RunnerName]*Account]
	// settled is the newest acknowledged revision; it never falls.
	settled atomic.Int64
	// pending states that refresh may have something to do at the next tick.
	pending atomic.Bool
	// closed states that no new call and no new loan may start; it is never unset.
	closed atomic.Bool
	// lending states that loans may be given.
	lending atomic.Bool
	wake    chan struct{}
	// demand maps modeler.ServiceName to *demand.
	demand sync.Map
	round  atomic.Bool

	mu sync.Mutex
	// newest is nil before the first Apply.
	newest *modeler.Configuration
	// acknowledged has the newest revision that each other host is known to have acknowledged.
	acknowledged map[modeler.HostName]modeler.Revision
	// confirmed is like acknowledged but holds only answers to inquiries of this boot.
	confirmed map[modeler.HostName]modeler.Revision
	// known lists the other hosts of the data centre under any revision seen.
	known []modeler.HostName
	// retired has the time at which this boot learned that a host is retired.
	retired map[modeler.HostName]time.Time
	// longest is the longest call limit of any revision seen; it never falls.
	longest time.Duration
	// unseen stands for revisions that this boot has not seen and that are not settled. A runner that
	// appears later may have been listed in them.
	unseen []pending
	// ready states that no call of a predecessor can run any more.
	ready    bool
	nextLoan int64
	lent     map[int64]*lent

	// inquired is the time of the last look at settling; only Run uses it.
	inquired time.Time
}

// New returns a limiter without shares. Apply gives it some; Run settles revisions and exchanges
// loans.
func New(op Options) *Limiter {
	lim := &Limiter{
		op:           op,
		started:      time.Now(),
		wake:         make(chan struct{}, 1),
		acknowledged: map[modeler.HostName]modeler.Revision{},
		confirmed:    map[modeler.HostName]modeler.Revision{},
		retired:      map[modeler.HostName]time.Time{},
		lent:         map[int64]*lent{},
		ready:        !op.Predecessor,
	}
	lim.accounts.Store(&map[modeler.RunnerName]*Account{})
	lim.lending.Store(true)
	for _, cfg := range op.History {
		lim.Apply(cfg)
	}
	return lim
}

// Account returns the account of a runner, and nil when the runner is unknown.
func (lim *Limiter) Account(rn modeler.RunnerName) *Account { return (*lim.accounts.Load())[rn] }

// Acquire takes a slot of a runner. It never blocks.
func (lim *Limiter) Acquire(rn modeler.RunnerName) (*Slot, bool) {
	ac := lim.Account(rn)
	if ac == nil || lim.closed.Load() {
		return nil, false
	}
	return ac.Acquire()
}

// Close ends the use of shares and loans for new calls, for good. It is called when a newer boot of
// this host is seen.
func (lim *Limiter) Close() {
	lim.closed.Store(true)
	lim.lending.Store(false)
	lim.mu.Lock()
	defer lim.mu.Unlock()
	lim.refresh()
}

// StopLending ends new loans. It is called when the host leaves.
func (lim *Limiter) StopLending() { lim.lending.Store(false) }

// Outstanding returns the number of slots that are in use or lent. A host is drained only when it
// is zero.
func (lim *Limiter) Outstanding() int {
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

// Run settles revisions, returns unused loans and asks for new ones until the context ends.
func (lim *Limiter) Run(ctx context.Context) {
	tk := time.NewTicker(roundInterval)
	defer tk.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-lim.wake:
			lim.lockedRefresh()
			continue
		case <-tk.C:
		}
		if lim.pending.Load() {
			lim.settle(ctx)
		}
		lim.returnLoans(ctx)
		lim.requestLoans(ctx)
	}
}

// nudge makes Run look at settling soon. It never blocks.
func (lim *Limiter) nudge() {
	select {
	case lim.wake <- struct{}{}:
	default:
	}
}

func (lim *Limiter) notify(ac *Account) {
	if lim.op.Freed != nil {
		lim.op.Freed(ac.runner, *ac.service.Load())
	}
}

func (lim *Limiter) abandoned() { lim.op.Meter.Add(meter.SlotsAbandoned, 1) }

func (lim *Limiter) log(ev logger.Event, kv ...any) { logger.Log(lim.op.Log, ev, kv...) }
