// Package collector sets how often the runtime collects garbage. It is made for leaders of large fleets, which have more
// memory than processor time: a collection goes over the state of all workers and tasks.
package collector

import (
	"math"
	"runtime/debug"
	"sync"

	"golang.org/x/sys/unix"
)

const (
	// busyPercent is the garbage in percent of the live memory that a busy process lets gather before a collection,
	// usualPercent that of any other.
	busyPercent  = 300
	usualPercent = 100
	// limitShare is the share of the host's memory from which a busy process collects as often as is needed to stay
	// below it. The rest is for what the runtime does not count.
	limitShare = 0.7
)

// Collector sets how often this process collects garbage. It is safe for concurrent use.
type Collector struct {
	// memory is that of the host in bytes, zero if it is not known.
	memory int64

	mu   sync.Mutex
	busy bool
}

// HostMemory returns the memory of this host in bytes, or zero if the system does not tell.
func HostMemory() int64 {
	var si unix.Sysinfo_t
	if unix.Sysinfo(&si) != nil {
		return 0
	}
	return int64(si.Totalram) * int64(si.Unit)
}

// New returns a collector for a host with the memory, in bytes, zero if that is not known. The process collects as usual
// until it is busy.
func New(memory int64) *Collector { return &Collector{memory: memory} }

// SetBusy has garbage collected less often while the process is busy. It does nothing if the memory of the host is
// not known.
func (co *Collector) SetBusy(busy bool) {
	co.mu.Lock()
	defer co.mu.Unlock()
	if co.memory <= 0 || busy == co.busy {
		return
	}
	co.busy = busy
	if busy {
		debug.SetMemoryLimit(int64(limitShare * float64(co.memory)))
		debug.SetGCPercent(busyPercent)
		return
	}
	debug.SetGCPercent(usualPercent)
	debug.SetMemoryLimit(math.MaxInt64)
}
