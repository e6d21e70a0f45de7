// Package appraiser judges workers by what becomes of the tasks that they run. It answers workers
// that fail all that they start, stand still, or run slowly while they look healthy, and tells them
// apart from jobs that fail everywhere.
package appraiser

import (
	"math"
	"time"

	"github.com/currantrouter/currantrouter/internal/job/modeler"
)

const (
	// faultHalfLife is the time in which a past fault loses half of its weight.
	faultHalfLife = 4 * time.Second
	// quarantineAt is the weight of faults at which a worker gets no more tasks. Two faults of
	// different jobs reach it.
	quarantineAt = 1.8
	// firstQuarantine and longestQuarantine bound the time until a worker is tried again.
	firstQuarantine   = 2 * time.Second
	longestQuarantine = 16 * time.Second
	// successRelief is the share of the weight that a success leaves.
	successRelief = 0.4
)

// FaultHistory holds the recent faults of one worker. The zero value is that of a sound worker.
type FaultHistory struct {
	// weight is the weight of the faults at the time since.
	weight float64
	since  time.Time
	// lastJob is the job of the newest fault. Repeated faults of one job count once.
	lastJob modeler.JobID
	until   time.Time
	// span is the length of the last quarantine, doubled by each one without a success between.
	span time.Duration
}

// RecordFault notes that a task failed, stood still or crawled on the worker. It reports whether a
// quarantine begins.
func (fh *FaultHistory) RecordFault(job modeler.JobID, now time.Time) bool {
	fh.decay(now)
	if job != "" && job == fh.lastJob && fh.weight > 0.5 {
		return false
	}
	fh.lastJob = job
	fh.weight++
	if fh.weight < quarantineAt || fh.Quarantined(now) {
		return false
	}
	fh.span = min(max(2*fh.span, firstQuarantine), longestQuarantine)
	fh.until = now.Add(fh.span)
	return true
}

// RecordSuccess notes that a task was done on the worker.
func (fh *FaultHistory) RecordSuccess(now time.Time) {
	fh.decay(now)
	fh.weight *= successRelief
	if !fh.Quarantined(now) {
		fh.span = 0
	}
}

// Quarantined reports whether the worker should get no tasks.
func (fh *FaultHistory) Quarantined(now time.Time) bool { return now.Before(fh.until) }

// FaultScore returns 0 for a worker without faults and about 1 for one fresh fault.
func (fh *FaultHistory) FaultScore(now time.Time) float64 {
	fh.decay(now)
	return fh.weight
}

func (fh *FaultHistory) decay(now time.Time) {
	if fh.weight > 0 {
		fh.weight *= math.Exp2(-float64(now.Sub(fh.since)) / float64(faultHalfLife))
		if fh.weight < 0.05 {
			fh.weight = 0
		}
	}
	fh.since = now
}

// RunProgress follows the progress of one run.
type RunProgress struct {
	// first is the progress when it was first seen above zero, moved that when it last changed.
	started, moved time.Time
	progress       int
}

const (
	// stallLimit is the time without progress after which a run stands still, for a run that should
	// have moved by several percent in it.
	stallLimit = 1200 * time.Millisecond
	// stallPercents is the progress that is expected in stallLimit before its absence means
	// anything.
	stallPercents = 4.0
	// slowFactor is how many times as long as its siblings a run takes before it is moved.
	slowFactor = 2.2
	// judgedAfter is the age of a run from which its rate is meaningful.
	judgedAfter = 600 * time.Millisecond
)

// Begin notes the start of a run.
func (rp *RunProgress) Begin(now time.Time) { rp.started, rp.moved, rp.progress = now, now, 0 }

// Observe notes the reported progress in percent.
func (rp *RunProgress) Observe(progress int, now time.Time) {
	if progress != rp.progress {
		rp.progress, rp.moved = progress, now
	}
}

// ExpectedRunTime returns the expected run time at the present rate, zero when unknown.
func (rp *RunProgress) ExpectedRunTime(now time.Time) time.Duration {
	age := now.Sub(rp.started)
	if age < judgedAfter || rp.progress <= 0 {
		return 0
	}
	// Progress is whole percents: the true one is up to one percent higher.
	return time.Duration(float64(age) * 100 / (float64(rp.progress) + 0.5))
}

// ExpectedRemaining returns the expected time to the end at the present rate.
func (rp *RunProgress) ExpectedRemaining(now time.Time) time.Duration {
	return max(0, rp.ExpectedRunTime(now)-now.Sub(rp.started))
}

// Stalled reports whether the run stands still. The usual run time of its like tells how much
// progress was to be expected; zero means unknown.
func (rp *RunProgress) Stalled(usual time.Duration, now time.Time) bool {
	still := now.Sub(rp.moved)
	if still < stallLimit {
		return false
	}
	if usual <= 0 {
		usual = rp.ExpectedRunTime(rp.moved)
	}
	return usual <= 0 || float64(still)*100/float64(usual) >= stallPercents
}

// Slow reports whether the run takes so much longer than its like that starting again elsewhere,
// from a share of the work already saved, ends sooner.
func (rp *RunProgress) Slow(usual time.Duration, saved float64, restart time.Duration, now time.Time) bool {
	total := rp.ExpectedRunTime(now)
	if usual <= 0 || total <= 0 || float64(total) < slowFactor*float64(usual) {
		return false
	}
	again := restart + time.Duration(float64(usual)*(1-saved))
	return rp.ExpectedRemaining(now) > again+again/2
}
