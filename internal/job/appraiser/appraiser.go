// Package appraiser detects faulty workers and slow runs from the outcomes and the progress of
// runs. It finds workers that look healthy but fail all runs, make no progress or run slowly, and
// does not mistake jobs that fail everywhere for faults of workers.
package appraiser

import (
	"math"
	"time"

	"github.com/currantrouter/currantrouter/internal/job/modeler"
)

const (
	// faultHalfLife is the time in which the fault score falls to half.
	faultHalfLife = 4 * time.Second
	// minQuarantineScore is the fault score from which a worker is quarantined. Two faults of
	// different jobs in quick succession reach it.
	minQuarantineScore = 1.8
	// minQuarantine is the length of a worker's first quarantine.
	minQuarantine = 2 * time.Second
	// maxQuarantine is the longest time until a quarantined worker gets tasks again.
	maxQuarantine = 16 * time.Second
	// successFactor is the factor by which a success multiplies the fault score.
	successFactor = 0.4
)

// FaultHistory holds the recent faults of one worker. The zero value is a worker without faults.
type FaultHistory struct {
	// score is the fault score at the time scoreAt. Each counted fault adds 1.
	score   float64
	scoreAt time.Time
	// lastJob is the job of the most recent fault. Successive faults of one job count once, as long
	// as the score is above 0.5.
	lastJob          modeler.JobID
	quarantinedUntil time.Time
	// succeededAt is when a task last succeeded, zero if none has.
	succeededAt time.Time
	// lastQuarantine is the length of the last quarantine. The next one is twice as long, up to
	// maxQuarantine, unless a success after the quarantine resets it to 0.
	lastQuarantine time.Duration
}

// RecordFault records that a run of the job failed, stalled or was slow on the worker. It reports
// whether a quarantine begins.
func (fh *FaultHistory) RecordFault(job modeler.JobID, now time.Time) bool {
	fh.decay(now)
	if job != "" && job == fh.lastJob && fh.score > 0.5 {
		return false
	}
	fh.lastJob = job
	fh.score++
	if fh.score < minQuarantineScore || fh.Quarantined(now) {
		return false
	}
	fh.lastQuarantine = min(max(2*fh.lastQuarantine, minQuarantine), maxQuarantine)
	fh.quarantinedUntil = now.Add(fh.lastQuarantine)
	return true
}

// RecordSuccess records that a task succeeded on the worker.
func (fh *FaultHistory) RecordSuccess(now time.Time) {
	fh.decay(now)
	fh.succeededAt = now
	fh.score *= successFactor
	if !fh.Quarantined(now) {
		fh.lastQuarantine = 0
	}
}

// SucceededAfter reports whether a task has succeeded on the worker after a time.
func (fh *FaultHistory) SucceededAfter(at time.Time) bool { return fh.succeededAt.After(at) }

// LastQuarantine returns the end and the length of the last quarantine, and false if it is over for longer than
// it lasted or if a success has shown since that the worker has recovered.
func (fh *FaultHistory) LastQuarantine(now time.Time) (until time.Time, length time.Duration, ok bool) {
	until, length = fh.quarantinedUntil, fh.lastQuarantine
	return until, length, length > 0 && now.Sub(until) < length
}

// RestoreQuarantine restores a quarantine that LastQuarantine returned. It is over after its length at the
// latest.
func (fh *FaultHistory) RestoreQuarantine(until time.Time, length time.Duration, now time.Time) {
	fh.lastQuarantine = min(length, maxQuarantine)
	fh.quarantinedUntil = now.Add(min(until.Sub(now), fh.lastQuarantine))
}

// Quarantined reports whether the worker is quarantined and gets no tasks.
func (fh *FaultHistory) Quarantined(now time.Time) bool { return now.Before(fh.quarantinedUntil) }

// FaultScore returns the decayed fault score: 0 without recent faults, and about 1 after a single
// one.
func (fh *FaultHistory) FaultScore(now time.Time) float64 {
	fh.decay(now)
	return fh.score
}

// decay brings the fault score to its value at the time now.
func (fh *FaultHistory) decay(now time.Time) {
	if fh.score > 0 {
		fh.score *= math.Exp2(-float64(now.Sub(fh.scoreAt)) / float64(faultHalfLife))
		if fh.score < 0.05 {
			fh.score = 0
		}
	}
	fh.scoreAt = now
}

// RunProgress tracks the progress of one run, to detect stalled and slow runs.
type RunProgress struct {
	started time.Time
	// lastProgress is when the progress last changed.
	lastProgress time.Time
	// progress is in percent.
	progress int
	// adopted is set for a run that had begun before started, whose progress then was initial. Its age is
	// not known.
	adopted bool
	initial int
}

const (
	// minStallTime is the time without progress below which no run counts as stalled.
	minStallTime = 1200 * time.Millisecond
	// maxUnknownStallTime is the time without progress from which an adopted run counts as stalled if nothing is
	// known of its run time.
	maxUnknownStallTime = 30 * time.Second
	// minMissedPercent is the progress, in percent, that a run must have missed to count as
	// stalled. A long run makes little progress in minStallTime.
	minMissedPercent = 4.0
	// minSlowFactor is the ratio of a run's expected run time to that of its siblings from which it
	// counts as slow.
	minSlowFactor = 2.2
	// minAdoptedPercent is the progress, in percent, that an adopted run must have made before its rate means
	// anything: progress is cut to whole percents, and the first one may be nearly made when it is adopted.
	minAdoptedPercent = 4
	// minRateAge is the age of a run below which its rate of progress means nothing.
	minRateAge = 600 * time.Millisecond
)

// Begin records the start of a run.
func (rp *RunProgress) Begin(now time.Time) { rp.started, rp.lastProgress, rp.progress = now, now, 0 }

// Adopt records that a run which has begun before is at a progress, in percent.
func (rp *RunProgress) Adopt(progress int, now time.Time) {
	*rp = RunProgress{started: now, lastProgress: now, progress: progress, adopted: true, initial: progress}
}

// Observe records the reported progress, in percent.
func (rp *RunProgress) Observe(progress int, now time.Time) {
	if progress != rp.progress {
		rp.progress, rp.lastProgress = progress, now
	}
}

// ExpectedRunTime returns the expected time from start to end if the run goes on at its average
// rate so far. It is 0 when unknown: the run is too young or made no progress.
func (rp *RunProgress) ExpectedRunTime(now time.Time) time.Duration {
	age, made := now.Sub(rp.started), rp.progress-rp.initial
	if age < minRateAge || made <= 0 || rp.adopted && made < minAdoptedPercent {
		return 0
	}
	// Progress is cut to whole percents: on average the true one is half a percent higher.
	return time.Duration(float64(age) * 100 / (float64(made) + 0.5))
}

// ExpectedRemaining returns the expected time until the end at the run's average rate so far. It is
// 0 when unknown.
func (rp *RunProgress) ExpectedRemaining(now time.Time) time.Duration {
	total := rp.ExpectedRunTime(now)
	if rp.adopted {
		return total * time.Duration(max(0, 100-rp.progress)) / 100
	}
	return max(0, total-now.Sub(rp.started))
}

// MayLag reports whether Stalled or Slow can hold, whatever the run time of the siblings is. That run time takes much
// longer to tell.
func (rp *RunProgress) MayLag(restart time.Duration, now time.Time) bool {
	return now.Sub(rp.lastProgress) >= minStallTime || rp.ExpectedRemaining(now) > restart+restart/2
}

// Stalled reports whether the run has stopped making progress. The typical run time of its
// siblings, or when that is 0 (unknown) its own rate, or for an adopted run without a known rate the
// estimate of its run time, gives the progress that it should have made since.
func (rp *RunProgress) Stalled(typical, estimate time.Duration, now time.Time) bool {
	idle := now.Sub(rp.lastProgress)
	if idle < minStallTime {
		return false
	}
	if typical <= 0 {
		typical = rp.ExpectedRunTime(rp.lastProgress)
	}
	if typical <= 0 && rp.adopted {
		if estimate <= 0 {
			return idle >= maxUnknownStallTime
		}
		typical = estimate
	}
	return typical <= 0 || float64(idle)*100/float64(typical) >= minMissedPercent
}

// Slow reports whether the run is so much slower than its siblings that a new run elsewhere would
// end clearly sooner. The new run is expected to take restart + typical * (1 - saved): restart is
// the time to stop and start again, typical the run time of the siblings (0 when unknown) and saved
// the share of the work in the last checkpoint. The remaining time of this run must exceed it by
// half.
func (rp *RunProgress) Slow(typical time.Duration, saved float64, restart time.Duration, now time.Time) bool {
	expected := rp.ExpectedRunTime(now)
	if typical <= 0 || expected <= 0 || float64(expected) < minSlowFactor*float64(typical) {
		return false
	}
	newRun := restart + time.Duration(float64(typical)*(1-saved))
	return rp.ExpectedRemaining(now) > newRun+newRun/2
}
