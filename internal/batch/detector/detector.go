// Package detector tells faulty workers from faulty jobs.
package detector

import (
	"slices"
	"time"

	"github.com/currantrouter/currantrouter/internal/fleet/modeler"
)

const (
	// failedStarts is the number of last starts of a worker that must all have failed.
	failedStarts = 3
	// failedJobs is the least number of different jobs among these starts. A single faulty job
	// says nothing of the worker.
	failedJobs = 2
	// failedWorkers is the number of different workers on which a faulty job has failed.
	failedWorkers = 3
	firstProbe    = 30 * time.Second
	longestProbe  = 10 * time.Minute
)

// Verdict says what a failure has shown.
type Verdict struct {
	// Quarantined is set when the worker was quarantined by this failure.
	Quarantined bool
	// CannotRun is set when the job has failed on enough workers that are not quarantined.
	CannotRun bool
	// Reasons are the failures of the job, one for each worker, when CannotRun is set.
	Reasons []string
}

// Detector collects the results of starts. It is not safe for concurrent use.
type Detector struct {
	workers map[modeler.WorkerName]*record
	// jobs holds the failures of jobs that are not marked, on workers that are not quarantined.
	jobs map[uint64]map[modeler.WorkerName]string
}

// record is what is known of one worker.
type record struct {
	// recent holds the jobs of the last starts that all failed, the newest last. A success empties
	// it. It has at most failedStarts elements.
	recent []uint64
	// quarantined is set from the verdict until a probe succeeds.
	quarantined bool
	probeAt     time.Time
	interval    time.Duration
	// probing is set while the one start of a probe, of probeJob, is in progress.
	probing  bool
	probeJob uint64
}

// New returns a detector that suspects nothing.
func New() *Detector {
	return &Detector{
		workers: make(map[modeler.WorkerName]*record),
		jobs:    make(map[uint64]map[modeler.WorkerName]string),
	}
}

// Quarantined reports whether the worker is quarantined, also while it is probed.
func (dt *Detector) Quarantined(wk modeler.WorkerName) bool {
	rc, ok := dt.workers[wk]
	return ok && rc.quarantined
}

// ProbeDue reports whether one start may go to a quarantined worker now.
func (dt *Detector) ProbeDue(wk modeler.WorkerName, now time.Time) bool {
	rc, ok := dt.workers[wk]
	return ok && rc.quarantined && !rc.probing && !now.Before(rc.probeAt)
}

// Probing marks that a task of the job is the one start of a probe.
func (dt *Detector) Probing(wk modeler.WorkerName, job uint64) {
	if rc, ok := dt.workers[wk]; ok && rc.quarantined {
		rc.probing, rc.probeJob = true, job
	}
}

// Inconclusive records that a start ended without a result that tells of the worker. If it was the
// probe, the next one is due after the present interval.
func (dt *Detector) Inconclusive(wk modeler.WorkerName, job uint64, now time.Time) {
	if rc, ok := dt.workers[wk]; ok && rc.probing && rc.probeJob == job {
		rc.probing = false
		rc.probeAt = now.Add(rc.interval)
	}
}

// Succeeded records that an attempt of the job did its work on the worker. It reports whether that
// ended a quarantine.
func (dt *Detector) Succeeded(wk modeler.WorkerName, job uint64) bool {
	delete(dt.jobs, job)
	return dt.Survived(wk, job)
}

// Survived records that an attempt of the job has run for long without a failure. That speaks for
// the worker; the job may still fail at its end. It reports whether that ended a quarantine.
func (dt *Detector) Survived(wk modeler.WorkerName, job uint64) bool {
	rc, ok := dt.workers[wk]
	if !ok || (rc.quarantined && !(rc.probing && rc.probeJob == job)) {
		// A task that began before the quarantine says nothing of new starts.
		return false
	}
	delete(dt.workers, wk)
	return rc.quarantined
}

// Failed records that an attempt of the job failed on the worker. A failure on a quarantined worker
// does not count against the job.
func (dt *Detector) Failed(wk modeler.WorkerName, job uint64, reason string, now time.Time) Verdict {
	rc := dt.worker(wk)
	if rc.quarantined {
		rc.failProbe(job, now)
		return Verdict{}
	}
	rc.recent = append(rc.recent, job)
	if len(rc.recent) > failedStarts {
		rc.recent = rc.recent[1:]
	}
	if rc.faulty() {
		dt.quarantine(wk, rc, now)
		return Verdict{Quarantined: true}
	}
	return dt.blameJob(wk, job, reason)
}

// FailedOn returns the workers on which the job has failed, with the reasons. The caller must not
// change the map.
func (dt *Detector) FailedOn(job uint64) map[modeler.WorkerName]string { return dt.jobs[job] }

// Forget removes what is held of a job that has ended.
func (dt *Detector) Forget(job uint64) { delete(dt.jobs, job) }

// Remove drops a worker that has left the deployment.
func (dt *Detector) Remove(wk modeler.WorkerName) { delete(dt.workers, wk) }

func (dt *Detector) worker(wk modeler.WorkerName) *record {
	rc, ok := dt.workers[wk]
	if !ok {
		rc = &record{}
		dt.workers[wk] = rc
	}
	return rc
}

func (rc *record) failProbe(job uint64, now time.Time) {
	if !rc.probing || rc.probeJob != job {
		return
	}
	rc.interval = min(2*rc.interval, longestProbe)
	rc.probing = false
	rc.probeAt = now.Add(rc.interval)
}

func (rc *record) faulty() bool {
	if len(rc.recent) < failedStarts {
		return false
	}
	jobs := make(map[uint64]bool, failedStarts)
	for _, job := range rc.recent {
		jobs[job] = true
	}
	return len(jobs) >= failedJobs
}

// quarantine withdraws the worker's failures from the jobs: they were the worker's fault.
func (dt *Detector) quarantine(wk modeler.WorkerName, rc *record, now time.Time) {
	rc.quarantined = true
	rc.interval = firstProbe
	rc.probeAt = now.Add(firstProbe)
	for _, job := range rc.recent {
		delete(dt.jobs[job], wk)
	}
	rc.recent = nil
}

func (dt *Detector) blameJob(wk modeler.WorkerName, job uint64, reason string) Verdict {
	fs, ok := dt.jobs[job]
	if !ok {
		fs = make(map[modeler.WorkerName]string)
		dt.jobs[job] = fs
	}
	fs[wk] = reason
	if len(fs) < failedWorkers {
		return Verdict{}
	}
	vd := Verdict{CannotRun: true}
	for name, rs := range fs {
		vd.Reasons = append(vd.Reasons, string(name)+": "+rs)
		dt.acquit(name, job)
	}
	slices.Sort(vd.Reasons)
	delete(dt.jobs, job)
	return vd
}

// acquit withdraws a faulty job's failures from a worker.
func (dt *Detector) acquit(wk modeler.WorkerName, job uint64) {
	rc, ok := dt.workers[wk]
	if !ok {
		return
	}
	kept := rc.recent[:0]
	for _, other := range rc.recent {
		if other != job {
			kept = append(kept, other)
		}
	}
	rc.recent = kept
}
