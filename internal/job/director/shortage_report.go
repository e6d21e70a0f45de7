package director

import (
	"time"

	"github.com/currantrouter/currantrouter/internal/job/modeler"
	"github.com/currantrouter/currantrouter/internal/job/placer"
	"github.com/currantrouter/currantrouter/internal/job/ranker"
	"github.com/currantrouter/currantrouter/internal/job/valuer"
	"github.com/currantrouter/currantrouter/internal/telemetry/logger"
	"github.com/currantrouter/currantrouter/internal/telemetry/meter"
)

// shortSteps counts the waiting steps of a pool and priority that are short of capacity in the last round that
// ranked any.
type shortSteps struct {
	round int64
	// byClass counts them by deadline class.
	byClass  [ranker.Overdue + 1]int
	favoured int
}

// all returns the number of steps.
func (ss *shortSteps) all() int {
	sum := 0
	for _, count := range ss.byClass {
		sum += count
	}
	return sum
}

// countShort counts a step.
func (dr *Director) countShort(key shortageKey, jb *valuer.Job, class ranker.DeadlineClass) {
	ss := dr.shortSteps[key]
	if ss == nil || ss.round != dr.rounds {
		ss = &shortSteps{round: dr.rounds}
		dr.shortSteps[key] = ss
	}
	ss.byClass[class]++
	if jb.Favoured {
		ss.favoured++
	}
}

// delayed counts jobs that missed their objectives, and the value that they lost.
type delayed struct {
	jobs      int
	valueLost float64
}

// shortageReport is what the log has said of the present shortage.
type shortageReport struct {
	// since is when the shortage began, zero while there is none, and before what was delayed until then.
	since  time.Time
	before delayed
	// last is what was delayed until the last line.
	last delayed
}

// reportShortage publishes and logs whether pools are short of capacity, and what that costs. It is called once a
// second and logs at most one line.
func (dr *Director) reportShortage(now time.Time) {
	if !dr.followsValue() {
		return
	}
	var reserve int64
	for pool := range dr.shortDemand {
		reserve += dr.reserveOf(pool, now)
	}
	dr.op.Meter.Set(meter.ShortTaskReserve, reserve)
	short := 0
	var most shortageKey
	steps := -1
	for key, at := range dr.shortages {
		if now.Sub(at) >= shortageMemory {
			delete(dr.shortages, key)
			delete(dr.shortSteps, key)
			continue
		}
		short++
		if ss := dr.shortSteps[key]; ss != nil && ss.all() > steps || steps < 0 {
			most, steps = key, 0
			if ss != nil {
				steps = ss.all()
			}
		}
	}
	dr.op.Meter.Set(meter.ShortPools, int64(short))
	sr := &dr.shortage
	switch {
	case short == 0 && !sr.since.IsZero():
		dr.log(logger.ShortageOver, "Lasted", now.Sub(sr.since).String(), "Delayed", dr.delayed.jobs-sr.before.jobs, "ValueLost", dr.delayed.valueLost-sr.before.valueLost)
		sr.since = time.Time{}
	case short > 0 && sr.since.IsZero():
		sr.since, sr.before = now, dr.delayed
		dr.logShortage(logger.ShortageBegan, most, short, now)
	case short > 0:
		dr.logShortage(logger.ShortageGoes, most, short, now)
	}
	sr.last = dr.delayed
}

// logShortage logs the state of the pool and priority that have the most waiting steps.
func (dr *Director) logShortage(ev logger.Event, key shortageKey, short int, now time.Time) {
	ss := dr.shortSteps[key]
	if ss == nil {
		ss = &shortSteps{}
	}
	pm := dr.promotions[key]
	dr.log(ev, "Pool", key.pool, "Priority", key.priority, "Short", short, "OnTime", ss.byClass[ranker.OnTime], "Late", ss.byClass[ranker.Late], "Overdue", ss.byClass[ranker.Overdue],
		"Favoured", ss.favoured, "Promoted", pm != nil && pm.occ != nil, "Reserve", dr.reserveOf(key.pool, now),
		"Delayed", dr.delayed.jobs-dr.shortage.last.jobs, "ValueLost", dr.delayed.valueLost-dr.shortage.last.valueLost)
}

// reserveOf returns the reserve for short tasks of a pool, in thousandths of a core, of the capacity of the workers
// that accept tasks.
func (dr *Director) reserveOf(pool modeler.PoolName, now time.Time) int64 {
	var capacity int64
	for _, wk := range dr.workers {
		if wk.info.Pool == pool && dr.acceptsTasks(wk, now) {
			capacity += wk.info.Capacity.MilliCores
		}
	}
	fc := dr.shortDemand[pool]
	if fc == nil {
		return int64(placer.ShortTaskReserve * float64(capacity))
	}
	return fc.Reserve(capacity, placer.ShortTaskReserve, now)
}
