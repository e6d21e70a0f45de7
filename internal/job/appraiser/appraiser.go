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

// Record is the history of one worker. The zero value is that of a sound worker.
type Record struct {
	// weight is the weight of the faults at the time since.
	weight float64
	since  time.Time
	// lastJob is the job of the newest fault. Repeated faults of one job count once.
	lastJob modeler.JobID
	until   time.Time
	// span is the length of the last quarantine, doubled by each one without a success between.
	span time.Duration
}

// Fault notes that a task failed, stood still or crawled on the worker. It reports whether a
// quarantine begins.
func (rc *Record) Fault(job modeler.JobID, now time.Time) bool {
	rc.decay(now)
	if job != "" && job == rc.lastJob && rc.weight > 0.5 {
		return false
	}
	rc.lastJob = job
	rc.weight++
	if rc.weight < quarantineAt || rc.Quarantined(now) {
		return false
	}
	rc.span = min(max(2*rc.span, firstQuarantine), longestQuarantine)
	rc.until = now.Add(rc.span)
	return true
}

// Success notes that a task was done on the worker.
func (rc *Record) Success(now time.Time) {
	rc.decay(now)
	rc.weight *= successRelief
	if !rc.Quarantined(now) {
		rc.span = 0
	}
}

// Quarantined reports whether the worker should get no tasks.
func (rc *Record) Quarantined(now time.Time) bool { return now.Before(rc.until) }

// Distrust returns 0 for a worker without faults and about 1 for one fresh fault.
func (rc *Record) Distrust(now time.Time) float64 {
	rc.decay(now)
	return rc.weight
}

func (rc *Record) decay(now time.Time) {
	if rc.weight > 0 {
		rc.weight *= math.Exp2(-float64(now.Sub(rc.since)) / float64(faultHalfLife))
		if rc.weight < 0.05 {
			rc.weight = 0
		}
	}
	rc.since = now
}

// Watch follows the progress of one run.
type Watch struct {
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
func (wt *Watch) Begin(now time.Time) { wt.started, wt.moved, wt.progress = now, now, 0 }

// Observe notes the reported progress in percent.
func (wt *Watch) Observe(progress int, now time.Time) {
	if progress != wt.progress {
		wt.progress, wt.moved = progress, now
	}
}

// Total returns the expected run time at the present rate, zero when unknown.
func (wt *Watch) Total(now time.Time) time.Duration {
	age := now.Sub(wt.started)
	if age < judgedAfter || wt.progress <= 0 {
		return 0
	}
	// Progress is whole percents: the true one is up to one percent higher.
	return time.Duration(float64(age) * 100 / (float64(wt.progress) + 0.5))
}

// Remaining returns the expected time to the end at the present rate.
func (wt *Watch) Remaining(now time.Time) time.Duration {
	return max(0, wt.Total(now)-now.Sub(wt.started))
}

// Stalled reports whether the run stands still. The usual run time of its like tells how much
// progress was to be expected; zero means unknown.
func (wt *Watch) Stalled(usual time.Duration, now time.Time) bool {
	still := now.Sub(wt.moved)
	if still < stallLimit {
		return false
	}
	if usual <= 0 {
		usual = wt.Total(wt.moved)
	}
	return usual <= 0 || float64(still)*100/float64(usual) >= stallPercents
}

// Slow reports whether the run takes so much longer than its like that starting again elsewhere,
// from a share of the work already saved, ends sooner.
func (wt *Watch) Slow(usual time.Duration, saved float64, restart time.Duration, now time.Time) bool {
	total := wt.Total(now)
	if usual <= 0 || total <= 0 || float64(total) < slowFactor*float64(usual) {
		return false
	}
	again := restart + time.Duration(float64(usual)*(1-saved))
	return wt.Remaining(now) > again+again/2
}
