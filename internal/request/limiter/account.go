package limiter

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/currantrouter/currantrouter/internal/fleet/modeler"
)

// gauge counts units in use below a limit. Limit and use share one word, so that a unit is never
// taken against a limit that has just been lowered: settling relies on it.
type gauge struct {
	// word has the limit in its upper and the units in use in its lower 32 bits. The use exceeds
	// the limit only after the limit was lowered.
	word atomic.Uint64
}

func (gg *gauge) load() (limit, used int) {
	wd := gg.word.Load()
	return int(wd >> 32), int(uint32(wd))
}

// take adds up to want units to the use and returns how many fitted.
func (gg *gauge) take(want int) int {
	for {
		wd := gg.word.Load()
		got := min(want, int(wd>>32)-int(uint32(wd)))
		if got <= 0 {
			return 0
		}
		if gg.word.CompareAndSwap(wd, wd+uint64(got)) {
			return got
		}
	}
}

// give takes units off the use and tells whether the use was above the limit.
func (gg *gauge) give(units int) (wasOver bool) {
	wd := gg.word.Add(-uint64(units)) + uint64(units)
	return uint32(wd) > uint32(wd>>32)
}

func (gg *gauge) setLimit(limit int) {
	for {
		wd := gg.word.Load()
		if gg.word.CompareAndSwap(wd, uint64(limit)<<32|uint64(uint32(wd))) {
			return
		}
	}
}

// Account counts the slots and connections of one runner at this host. All methods are safe for
// concurrent use and take no lock.
type Account struct {
	lim    *Limiter
	runner modeler.RunnerName
	// service is that of the newest revision that lists the runner.
	service atomic.Pointer[modeler.ServiceName]
	// slots counts calls in progress, abandoned calls, and slots lent to others.
	slots gauge
	// connections counts open and abandoned connections, and connections lent to others.
	connections gauge
	// lentOut is the part of the slots in use that is lent to others.
	lentOut atomic.Int64
	// borrowed lists the loans of this runner that this host may use; replaced, never changed.
	borrowed atomic.Pointer[[]*loan]
	// callLimit is the service's limit in the newest revision, in nanoseconds.
	callLimit atomic.Int64

	// pending lists the newest revision and all that are not settled; guarded by lim.mu.
	pending []pending
	// newest is the share under the newest revision; guarded by lim.mu.
	newest Share
}

// Runner returns the name of the runner.
func (ac *Account) Runner() modeler.RunnerName { return ac.runner }

// Free returns the number of calls that this host could start now on its share and its loans.
func (ac *Account) Free() int {
	limit, used := ac.slots.load()
	free := max(0, limit-used)
	lns := *ac.borrowed.Load()
	if len(lns) == 0 {
		return free
	}
	now := time.Now()
	for _, ln := range lns {
		if now.Before(ln.startBy) {
			free += int(ln.free.Load())
		}
	}
	return free
}

// Limit returns the number of slots that this host may use itself: those in force and not lent, and
// its loans.
func (ac *Account) Limit() int {
	limit, _ := ac.slots.load()
	limit -= int(ac.lentOut.Load())
	for _, ln := range *ac.borrowed.Load() {
		limit += ln.slots - int(ln.returned.Load())
	}
	return max(0, limit)
}

// Used returns the numbers of slots and connections of the own share that are in use.
func (ac *Account) Used() (slots, connections int) {
	_, slots = ac.slots.load()
	_, connections = ac.connections.load()
	return slots, connections
}

// ExcessConnections tells whether more connections of the own share are open than are in force.
// The owner of idle connections then closes some.
func (ac *Account) ExcessConnections() bool {
	limit, used := ac.connections.load()
	return used > limit
}

// Acquire takes a slot of the own share, else of a loan. It never blocks.
func (ac *Account) Acquire() (*Slot, bool) {
	if ac.slots.take(1) == 1 {
		return &Slot{ac: ac, callLimit: time.Duration(ac.callLimit.Load())}, true
	}
	lns := *ac.borrowed.Load()
	if len(lns) == 0 || ac.lim.closed.Load() {
		return nil, false
	}
	now := time.Now()
	for _, ln := range lns {
		if now.Before(ln.startBy) && takeOne(&ln.free) {
			ln.touched.Store(int64(now.Sub(ln.sent)))
			return &Slot{ac: ac, ln: ln, callLimit: min(ln.callLimit, time.Duration(ac.callLimit.Load()))}, true
		}
	}
	return nil, false
}

func takeOne(count *atomic.Int64) bool {
	for {
		old := count.Load()
		if old <= 0 {
			return false
		}
		if count.CompareAndSwap(old, old-1) {
			return true
		}
	}
}

// Slot is leave to run one call on a runner.
type Slot struct {
	ac *Account
	// ln is nil for a slot of the own share.
	ln        *loan
	callLimit time.Duration
	// begun is the time of the last Begin.
	begun time.Time
	done  sync.Once
}

// CallLimit returns the longest time that the runner may work on the call.
func (sl *Slot) CallLimit() time.Duration { return sl.callLimit }

// Account returns the account of the runner.
func (sl *Slot) Account() *Account { return sl.ac }

// Begin tells whether the call may still be started. The call's first byte is written right after.
func (sl *Slot) Begin() bool {
	sl.begun = time.Now()
	return sl.InTime(sl.begun)
}

// InTime tells whether a time lies before the start-by time of the loan. It is always true for the
// own share.
func (sl *Slot) InTime(at time.Time) bool { return sl.ln == nil || at.Before(sl.ln.startBy) }

// Release frees the slot: the call has ended or never began. Only the first Release or Abandon has
// an effect.
func (sl *Slot) Release() { sl.done.Do(sl.free) }

// Abandon keeps the slot in use until the call limit and the drift allowance have passed since
// Begin, because the end of the call is unknown.
func (sl *Slot) Abandon() {
	sl.done.Do(func() {
		if sl.begun.IsZero() {
			sl.begun = time.Now()
		}
		sl.ac.lim.abandoned()
		end := sl.begun.Add(sl.callLimit + modeler.DriftAllowance(sl.callLimit))
		time.AfterFunc(time.Until(end), sl.free)
	})
}

func (sl *Slot) free() {
	if sl.ln != nil {
		sl.ln.free.Add(1)
	} else if sl.ac.slots.give(1) {
		sl.ac.lim.nudge()
	}
	sl.ac.lim.notify(sl.ac)
}

// Connect takes leave to open a connection to the runner: one of the own share, else the one that
// came with the slot's loan. The slot may be nil.
func (ac *Account) Connect(sl *Slot) (*Connection, bool) {
	if ac.connections.take(1) == 1 {
		return &Connection{ac: ac}, true
	}
	if sl == nil || sl.ln == nil || !takeOne(&sl.ln.connections) {
		return nil, false
	}
	return &Connection{ac: ac, ln: sl.ln}, true
}

// Connection is leave to have one connection to a runner open.
type Connection struct {
	ac *Account
	// ln is nil for a connection of the own share.
	ln   *loan
	done sync.Once
}

// Reusable tells whether the connection may be kept open for another call. A connection of a loan
// is closed once no more calls may start on the loan.
func (cn *Connection) Reusable() bool {
	if cn.ln != nil {
		return time.Now().Before(cn.ln.startBy)
	}
	return !cn.ac.ExcessConnections()
}

// Release follows the orderly close of the connection.
func (cn *Connection) Release() { cn.done.Do(cn.free) }

// Abandon follows the close of a connection that the runner may still hold open. It stays counted
// for the call limit and the drift allowance.
func (cn *Connection) Abandon() {
	limit := time.Duration(cn.ac.callLimit.Load())
	cn.done.Do(func() { time.AfterFunc(limit+modeler.DriftAllowance(limit), cn.free) })
}

func (cn *Connection) free() {
	if cn.ln != nil {
		cn.ln.connections.Add(1)
		return
	}
	if cn.ac.connections.give(1) {
		cn.ac.lim.nudge()
	}
}
