// Package relocator decides which long-running tasks leave evacuated data centres next. It has no network.
//
// It answers the evacuation of a data centre with hundreds of long-running tasks, while the other data centres serve
// callers and may have room for a part of them only. A move takes a place elsewhere and then stops the run. Each step
// keeps all but MaxUnavailable of its tasks at work, and the places that are taken at a time are a share of each
// pool, so that moves go on no faster than the tasks get to work again.
package relocator

import (
	"slices"
	"time"

	"github.com/currantrouter/currantrouter/internal/job/modeler"
)

const (
	// movingShare bounds the moves under way in a pool as a share of its open workers, each of which takes one at a
	// time. One may always be under way.
	movingShare = 1.0 / 8
	// maxMovesPerPlan and maxMisses bound the places that a plan looks for, as each takes a look at all workers.
	maxMovesPerPlan = 32
	maxMisses       = 24
)

// Step is a long-running step with runs in evacuated data centres.
type Step struct {
	Pool modeler.PoolName
	// Gang is set if the tasks run only together. They are not moved.
	Gang bool
	// MaxUnavailable is how many tasks of the step may be away from work because of moves and other stops, and
	// Unavailable how many are for any reason. Plan adds its moves to Unavailable.
	MaxUnavailable, Unavailable int
	// Queued is set while tasks of the step wait for a worker. They need the places that moves would take.
	Queued bool
	// Runs is the number of runs at work in evacuated data centres.
	Runs int
	// TriedAt is when a plan last looked for a place for a run of the step, zero for never. Plan sets it.
	TriedAt time.Time
	// NoRoom is set while the last look found no place. Plan sets it.
	NoRoom bool
}

// Stays reports whether the step's runs are never moved.
func (st *Step) Stays() bool { return st.Gang || st.MaxUnavailable <= 0 }

// MayMove reports whether a run of the step may be stopped now.
func (st *Step) MayMove() bool {
	return !st.Stays() && !st.Queued && st.Runs > 0 && st.Unavailable < st.MaxUnavailable
}

// Pool is the part of a pool outside the evacuated data centres.
type Pool struct {
	// OpenWorkers is the number of workers that accept tasks.
	OpenWorkers int
	// Moving is the number of moves under way: those whose tasks are not at work again. Plan adds its moves.
	Moving int
}

func (pl *Pool) mayTake() bool {
	return pl != nil && pl.OpenWorkers > 0 && pl.Moving < max(1, int(movingShare*float64(pl.OpenWorkers)))
}

// Plan moves runs of the steps, one of each step in turn, as far as the steps, the pools and a number of starts allow.
// It begins with the steps that were tried the longest ago. move moves a run of the step with the index, or returns
// false if there is no place for it.
func Plan(steps []Step, pools map[modeler.PoolName]*Pool, starts int, now time.Time, move func(ix int) bool) {
	order := make([]int, len(steps))
	for ix := range order {
		order[ix] = ix
	}
	slices.SortStableFunc(order, func(one, two int) int { return steps[one].TriedAt.Compare(steps[two].TriedAt) })
	left, misses := min(starts, maxMovesPerPlan), 0
	for len(order) > 0 {
		order = slices.DeleteFunc(order, func(ix int) bool {
			st := &steps[ix]
			pl := pools[st.Pool]
			if left <= 0 || misses >= maxMisses || !st.MayMove() || !pl.mayTake() {
				return true
			}
			st.TriedAt = now
			if st.NoRoom = !move(ix); st.NoRoom {
				misses++
				return true
			}
			left--
			st.Runs--
			st.Unavailable++
			pl.Moving++
			return false
		})
	}
}
