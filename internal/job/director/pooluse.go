package director

import (
	"time"

	"github.com/currantrouter/currantrouter/internal/job/modeler"
)

// poolUse is how much of each pool is in use, as callers count it: over all registered workers, also those that do not
// answer.
type poolUse struct {
	// at is when it was last counted.
	at time.Time
	// shares holds the shares of the processors that are in use, 0 to 1.
	shares map[modeler.PoolName]float64
}

// usedShare returns the share of the processors of a pool's registered workers that was in use at most tickInterval ago. It
// is 1 for a pool without registered workers, as one whose workers have not been read yet.
func (dr *Director) usedShare(pool modeler.PoolName, now time.Time) float64 {
	pu := &dr.poolUse
	if pu.shares == nil || now.Sub(pu.at) >= tickInterval {
		pu.at, pu.shares = now, dr.usedShares(now)
	}
	if share, ok := pu.shares[pool]; ok {
		return share
	}
	return 1
}

// usedShares counts the shares of all pools with registered workers.
func (dr *Director) usedShares(now time.Time) map[modeler.PoolName]float64 {
	capacity, shares := map[modeler.PoolName]int64{}, map[modeler.PoolName]float64{}
	for _, wk := range dr.workers {
		if wk.registered {
			capacity[wk.info.Pool] += wk.info.Capacity.MilliCores
			shares[wk.info.Pool] += float64(dr.usedMilliCores(wk, now))
		}
	}
	for pool := range shares {
		shares[pool] /= float64(max(capacity[pool], 1))
	}
	return shares
}

// usedMilliCores returns how many processors of a worker runs may use, in thousandths of a core. Reservations of a silent
// worker count until its lease is over, and all of its processors if its runs are not known.
func (dr *Director) usedMilliCores(wk *worker, now time.Time) int64 {
	silent := wk.unreachable || wk.unaccounted
	switch {
	case silent && dr.leaseExpired(wk, now) && !dr.mayStartAfterRestart(wk, now):
		return 0
	case wk.unaccounted:
		return wk.info.Capacity.MilliCores
	}
	return wk.info.Capacity.MilliCores - max(0, wk.free.MilliCores)
}

// returnGrace returns how long after the end of its lease a silent worker is waited for, if its tasks end by themselves.
// The tasks run again at once while callers are promised a run of each job of the pool, although one that has ended on the
// worker then runs for nothing.
func (dr *Director) returnGrace(pool modeler.PoolName, now time.Time) time.Duration {
	if dr.usedShare(pool, now) <= maxUsedShare {
		return 0
	}
	return unreachableGrace
}
