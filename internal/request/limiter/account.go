package limiter

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/currantrouter/currantrouter/internal/fleet/modeler"
)

// gauge counts units in use against a limit. Both are in one atomic word, so that no unit is acquired
// under an old limit after the limit was lowered. The settling of revisions relies on this.
type gauge struct {
	// word has the limit in its upper 32 bits and the units in use in its lower 32 bits. The use
	// exceeds the limit only after the limit was lowered.
	word atomic.Uint64
}

func (gg *gauge) load() (limit, used int) {
	wd := gg.word.Load()
	return int(wd >> 32), int(uint32(wd))
}

// acquire takes up to want units and returns how many were free.
func (gg *gauge) acquire(want int) int {
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

// release frees units and reports whether the use was above the limit before.
func (gg *gauge) release(units int) (wasOver bool) {
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
	// service is the runner's service under the newest revision that lists the runner.
	service atomic.Pointer[modeler.ServiceName]
	// slots counts running calls, abandoned calls, and slots lent to other hosts.
	slots gauge
	// connections counts open and abandoned connections, and connections lent to other hosts.
	connections gauge
	// lentSlots is the number of slots in use that are lent to other hosts.
	lentSlots atomic.Int64
	// borrowed lists the loans of this runner's slots to this host. It is copy-on-write.
	borrowed atomic.Pointer[[]*borrowedLoan]
	// callLimit is the service's call limit under the newest revision, in nanoseconds.
	callLimit atomic.Int64

	// unsettled lists the newest revision and all older ones that are not settled. It is guarded by
	// lim.mu.
	unsettled []unsettledRevision
	// newest is the share under the newest revision. It is guarded by lim.mu.
	newest Share
}

// Runner returns the name of the runner.
func (ac *Account) Runner() modeler.RunnerName { return ac.runner }

// Free returns the number of calls that this host could start now on its share and on loans.
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

// Limit returns the number of slots that this host may use itself: its share without the lent slots,
// plus the slots that it has borrowed.
func (ac *Account) Limit() int {
	limit, _ := ac.slots.load()
	limit -= int(ac.lentSlots.Load())
	for _, ln := range *ac.borrowed.Load() {
		limit += ln.slots - int(ln.returned.Load())
	}
	return max(0, limit)
}

// Used returns how many slots and connections of this host's share are in use or lent.
func (ac *Account) Used() (slots, connections int) {
	_, slots = ac.slots.load()
	_, connections = ac.connections.load()
	return slots, connections
}

// ExcessConnections reports whether the connections in use exceed this host's share. The owner of idle
// connections must then close some.
func (ac *Account) ExcessConnections() bool {
	limit, used := ac.connections.load()
	return used > limit
}

// Acquire takes a slot of this host's share, or else of a loan, and reports whether one was free. It
// never blocks.
func (ac *Account) Acquire() (*Slot, bool) {
	if ac.slots.acquire(1) == 1 {
		return &Slot{ac: ac, callLimit: time.Duration(ac.callLimit.Load())}, true
	}
	lns := *ac.borrowed.Load()
	if len(lns) == 0 || ac.lim.closed.Load() {
		return nil, false
	}
	now := time.Now()
	for _, ln := range lns {
		if now.Before(ln.startBy) && decrementIfPositive(&ln.free) {
			ln.lastUse.Store(int64(now.Sub(ln.sent)))
			return &Slot{ac: ac, ln: ln, callLimit: min(ln.callLimit, time.Duration(ac.callLimit.Load()))}, true
		}
	}
	return nil, false
}

// decrementIfPositive reports whether it has decremented the count.
func decrementIfPositive(count *atomic.Int64) bool {
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

// Slot is the right to run one call on a runner. It must end with Release or Abandon.
type Slot struct {
	ac *Account
	// ln is nil for a slot of this host's share.
	ln        *borrowedLoan
	callLimit time.Duration
	// begun is the time of the last Begin.
	begun time.Time
	done  sync.Once
}

// CallLimit returns the maximum time that the runner may work on the call.
func (sl *Slot) CallLimit() time.Duration { return sl.callLimit }

// Account returns the account of the runner.
func (sl *Slot) Account() *Account { return sl.ac }

// Begin reports whether the call may still be started. The caller writes the first byte of the call
// right after.
func (sl *Slot) Begin() bool {
	sl.begun = time.Now()
	return sl.InTime(sl.begun)
}

// InTime reports whether a call may start at the given time: before the loan's startBy, or at any time
// for a slot of this host's share.
func (sl *Slot) InTime(at time.Time) bool { return sl.ln == nil || at.Before(sl.ln.startBy) }

// Release frees the slot of a call that has ended or was never started. Only the first Release or
// Abandon has an effect.
func (sl *Slot) Release() { sl.done.Do(sl.free) }

// Abandon releases the slot of a call that may still be running: the slot stays in use until the call
// limit and the allowance for clock drift have passed since Begin.
func (sl *Slot) Abandon() {
	sl.done.Do(func() {
		if sl.begun.IsZero() {
			sl.begun = time.Now()
		}
		sl.ac.lim.countAbandoned()
		end := sl.begun.Add(sl.callLimit + modeler.DriftAllowance(sl.callLimit))
		time.AfterFunc(time.Until(end), sl.free)
	})
}

func (sl *Slot) free() {
	if sl.ln != nil {
		sl.ln.free.Add(1)
	} else if sl.ac.slots.release(1) {
		sl.ac.lim.requestRefresh()
	}
	sl.ac.lim.notifyFreed(sl.ac)
}

// Connect reserves a connection to the runner: one of this host's share, or else the one that came
// with the slot's loan. It reports whether one was free. The slot may be nil.
func (ac *Account) Connect(sl *Slot) (*Connection, bool) {
	if ac.connections.acquire(1) == 1 {
		return &Connection{ac: ac}, true
	}
	if sl == nil || sl.ln == nil || !decrementIfPositive(&sl.ln.connections) {
		return nil, false
	}
	return &Connection{ac: ac, ln: sl.ln}, true
}

// Connection is the right to have one connection to a runner open. It must end with Release or
// Abandon.
type Connection struct {
	ac *Account
	// ln is nil for a connection of this host's share.
	ln   *borrowedLoan
	done sync.Once
}

// Reusable reports whether the connection may be kept open for another call. A connection of a loan
// must be closed once no more calls may start on the loan.
func (cn *Connection) Reusable() bool {
	if cn.ln != nil {
		return time.Now().Before(cn.ln.startBy)
	}
	return !cn.ac.ExcessConnections()
}

// Release frees the connection after an orderly close.
func (cn *Connection) Release() { cn.done.Do(cn.free) }

// Abandon frees a connection that was closed here but that the runner may still hold open. It stays
// in use for the call limit and the allowance for clock drift.
func (cn *Connection) Abandon() {
	limit := time.Duration(cn.ac.callLimit.Load())
	cn.done.Do(func() { time.AfterFunc(limit+modeler.DriftAllowance(limit), cn.free) })
}

func (cn *Connection) free() {
	if cn.ln != nil {
		cn.ln.connections.Add(1)
		return
	}
	if cn.ac.connections.release(1) {
		cn.ac.lim.requestRefresh()
	}
}
