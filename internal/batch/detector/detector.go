// Package detector distinguishes faulty workers from faulty jobs by the results of attempts.
package detector

import (
	"slices"
	"time"

	"github.com/currantrouter/currantrouter/internal/fleet/modeler"
)

const (
	// maxRecentFailures is the number of consecutive failures after which a worker is quarantined.
	maxRecentFailures = 3
	// minFailedJobs is the number of different jobs that must be among these failures. Failures of
	// one job alone do not show that the worker is faulty.
	minFailedJobs = 2
	// minFailedWorkers is the number of different workers on which a job must fail to count as faulty.
	minFailedWorkers = 3
	// minProbeInterval is the time from the quarantine to the first probe.
	minProbeInterval = 30 * time.Second
	// maxProbeInterval bounds the time between probes, which doubles with each failed probe.
	maxProbeInterval = 10 * time.Minute
)

// Diagnosis says what a failure has shown about its worker and its job.
type Diagnosis struct {
	// Quarantined is set when this failure led to the quarantine of the worker.
	Quarantined bool
	// CannotRun is set when the job has failed on minFailedWorkers workers that were not quarantined.
	CannotRun bool
	// Reasons lists the job's failures as "worker: reason", sorted, when CannotRun is set.
	Reasons []string
}

// Detector collects the results of attempts. It is not safe for concurrent use.
type Detector struct {
	workers map[modeler.WorkerName]*workerHistory
	// jobFailures holds the reasons of failures, by job and worker, of jobs that do not yet count as
	// faulty, on workers that are not quarantined.
	jobFailures map[uint64]map[modeler.WorkerName]string
}

// workerHistory holds the failures and the quarantine of one worker.
type workerHistory struct {
	// recentFailures holds the jobs of the consecutive failures, the newest last, at most
	// maxRecentFailures. A success clears it.
	recentFailures []uint64
	// quarantined is set from the quarantine until a probe succeeds.
	quarantined   bool
	nextProbe     time.Time
	probeInterval time.Duration
	// probing is set while a probe, an attempt of probeJob, is in progress.
	probing  bool
	probeJob uint64
}

// New returns a detector without any failures.
func New() *Detector {
	return &Detector{
		workers:     make(map[modeler.WorkerName]*workerHistory),
		jobFailures: make(map[uint64]map[modeler.WorkerName]string),
	}
}

// Quarantined reports whether the worker is quarantined. It still is while a probe is in progress.
func (dt *Detector) Quarantined(wk modeler.WorkerName) bool {
	wh, ok := dt.workers[wk]
	return ok && wh.quarantined
}

// Restore quarantines a worker that an earlier leader has quarantined. A probe is due at once, so that a series of short
// terms does not keep a healthy worker quarantined.
func (dt *Detector) Restore(wk modeler.WorkerName, now time.Time) {
	dt.quarantine(wk, dt.history(wk), now)
	dt.workers[wk].nextProbe = now
}

// ProbeDue reports whether a probe of the quarantined worker is due.
func (dt *Detector) ProbeDue(wk modeler.WorkerName, now time.Time) bool {
	wh, ok := dt.workers[wk]
	return ok && wh.quarantined && !wh.probing && !now.Before(wh.nextProbe)
}

// ProbeStarted records that an attempt of the job was started as the probe of a quarantined worker.
func (dt *Detector) ProbeStarted(wk modeler.WorkerName, job uint64) {
	if wh, ok := dt.workers[wk]; ok && wh.quarantined {
		wh.probing, wh.probeJob = true, job
	}
}

// Inconclusive records that an attempt of the job ended without evidence on the worker. If it was the
// probe, the next one is due after the current interval.
func (dt *Detector) Inconclusive(wk modeler.WorkerName, job uint64, now time.Time) {
	if wh, ok := dt.workers[wk]; ok && wh.probing && wh.probeJob == job {
		wh.probing = false
		wh.nextProbe = now.Add(wh.probeInterval)
	}
}

// Succeeded records that an attempt of the job finished on the worker. It reports whether that ended
// a quarantine.
func (dt *Detector) Succeeded(wk modeler.WorkerName, job uint64) bool {
	delete(dt.jobFailures, job)
	return dt.RanWithoutFailure(wk, job)
}

// RanWithoutFailure records that an attempt of the job has run for long without a failure. This shows
// that the worker is healthy; the job may still fail later. It reports whether that ended a
// quarantine.
func (dt *Detector) RanWithoutFailure(wk modeler.WorkerName, job uint64) bool {
	wh, ok := dt.workers[wk]
	if !ok || (wh.quarantined && !(wh.probing && wh.probeJob == job)) {
		// An attempt from before the quarantine does not show that new ones would succeed.
		return false
	}
	delete(dt.workers, wk)
	return wh.quarantined
}

// Failed records that an attempt of the job failed on the worker. A failure on a quarantined worker
// does not count against the job.
func (dt *Detector) Failed(wk modeler.WorkerName, job uint64, reason string, now time.Time) Diagnosis {
	wh := dt.history(wk)
	if wh.quarantined {
		wh.failProbe(job, now)
		return Diagnosis{}
	}
	wh.recentFailures = append(wh.recentFailures, job)
	if len(wh.recentFailures) > maxRecentFailures {
		wh.recentFailures = wh.recentFailures[1:]
	}
	if wh.shouldQuarantine() {
		dt.quarantine(wk, wh, now)
		return Diagnosis{Quarantined: true}
	}
	return dt.recordJobFailure(wk, job, reason)
}

// FailedOn returns the reasons of the job's failures by worker, nil when there are none. The caller
// must not modify the map.
func (dt *Detector) FailedOn(job uint64) map[modeler.WorkerName]string { return dt.jobFailures[job] }

// ForgetJob removes the failures of a job that has ended.
func (dt *Detector) ForgetJob(job uint64) { delete(dt.jobFailures, job) }

// RemoveWorker removes a worker that is no longer listed.
func (dt *Detector) RemoveWorker(wk modeler.WorkerName) { delete(dt.workers, wk) }

func (dt *Detector) history(wk modeler.WorkerName) *workerHistory {
	wh, ok := dt.workers[wk]
	if !ok {
		wh = &workerHistory{}
		dt.workers[wk] = wh
	}
	return wh
}

func (wh *workerHistory) failProbe(job uint64, now time.Time) {
	if !wh.probing || wh.probeJob != job {
		return
	}
	wh.probeInterval = min(2*wh.probeInterval, maxProbeInterval)
	wh.probing = false
	wh.nextProbe = now.Add(wh.probeInterval)
}

func (wh *workerHistory) shouldQuarantine() bool {
	if len(wh.recentFailures) < maxRecentFailures {
		return false
	}
	jobs := make(map[uint64]bool, maxRecentFailures)
	for _, job := range wh.recentFailures {
		jobs[job] = true
	}
	return len(jobs) >= minFailedJobs
}

// quarantine quarantines the worker and discards its failures from its jobs, which are not to blame
// for them.
func (dt *Detector) quarantine(wk modeler.WorkerName, wh *workerHistory, now time.Time) {
	wh.quarantined = true
	wh.probeInterval = minProbeInterval
	wh.nextProbe = now.Add(minProbeInterval)
	for _, job := range wh.recentFailures {
		delete(dt.jobFailures[job], wk)
	}
	wh.recentFailures = nil
}

func (dt *Detector) recordJobFailure(wk modeler.WorkerName, job uint64, reason string) Diagnosis {
	fs, ok := dt.jobFailures[job]
	if !ok {
		fs = make(map[modeler.WorkerName]string)
		dt.jobFailures[job] = fs
	}
	fs[wk] = reason
	if len(fs) < minFailedWorkers {
		return Diagnosis{}
	}
	dg := Diagnosis{CannotRun: true}
	for name, rs := range fs {
		dg.Reasons = append(dg.Reasons, string(name)+": "+rs)
		dt.discardFailures(name, job)
	}
	slices.Sort(dg.Reasons)
	delete(dt.jobFailures, job)
	return dg
}

// discardFailures removes a faulty job's failures from the worker's history.
func (dt *Detector) discardFailures(wk modeler.WorkerName, job uint64) {
	wh, ok := dt.workers[wk]
	if !ok {
		return
	}
	kept := wh.recentFailures[:0]
	for _, other := range wh.recentFailures {
		if other != job {
			kept = append(kept, other)
		}
	}
	wh.recentFailures = kept
}
