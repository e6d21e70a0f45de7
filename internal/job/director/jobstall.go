package director

import (
	"maps"
	"slices"
	"time"

	"github.com/currantrouter/currantrouter/internal/job/placer"
	"github.com/currantrouter/currantrouter/internal/job/spotter"
	"github.com/currantrouter/currantrouter/internal/telemetry/logger"
	"github.com/currantrouter/currantrouter/internal/telemetry/meter"
)

const (
	// jobStallReport is how long a job is stalled before a line names it. Callers are promised a run within 3 s.
	jobStallReport = 2 * time.Second
	// jobStallReportInterval is the time between two lines on the same job.
	jobStallReportInterval = 5 * time.Second
)

// jobStall is for how long a job has had no run although there is room for one.
type jobStall struct {
	// since is when a report first found the job stalled, without a report or a run since that ended the stall. It is zero
	// while the job is not stalled.
	since    time.Time
	loggedAt time.Time
}

// stalledJob is a job without a run of which a task waits.
type stalledJob struct {
	job  *job
	task *task
	wait wait
	// group has the places for the task.
	group *spotter.Group
}

// hasRun reports whether a task of the job runs, as far as is known.
func (jb *job) hasRun() bool {
	if jb.activeRuns == 0 {
		return false
	}
	for _, oc := range jb.occurrences {
		for _, sp := range oc.steps {
			for _, tk := range sp.tasks {
				for _, at := range tk.attempts {
					if at.state == active && !at.worker.unreachable {
						return true
					}
				}
			}
		}
	}
	return false
}

// addJob notes the task of a job without a run that has waited longest. Long-running tasks are left out: lookForStalls
// looks at each of them.
func (wr *waitReport) addJob(tk *task, wt wait) {
	jb := tk.step.occ.job
	if tk.step.spec.LongRunning {
		return
	}
	known := wr.jobs[jb]
	if known == nil {
		known = &stalledJob{job: jb}
		wr.jobs[jb] = known
		if !jb.hasRun() {
			known.task, known.wait = tk, wt
		}
		return
	}
	if known.task != nil && wt.since.Before(known.wait.since) {
		known.task, known.wait = tk, wt
	}
}

// reportStalledJobs publishes how many jobs have no run although at most half of their pool's processors are in use
// and there is free capacity for two of a waiting task, and logs those that are due.
func (dr *Director) reportStalledJobs(wr *waitReport, now time.Time) {
	var list []*stalledJob
	groups := map[stallKey]*spotter.Group{}
	for _, sj := range wr.jobs {
		if sj.task == nil {
			continue
		}
		key := dr.stallKey(sj.task.step)
		key.demand.Needs = placer.Reservation(key.demand.Needs, sj.task.step.spec.BestEffort)
		if groups[key] == nil {
			groups[key] = dr.newStallGroup(key, sj.task.step)
		}
		sj.group = groups[key]
		list = append(list, sj)
	}
	if len(list) > 0 {
		dr.stalls.workers = dr.stalls.workers[:0]
		dr.listStallWorkers()
		spotter.Look(slices.Collect(maps.Values(groups)), dr.stalls.workers, now)
	}
	stalled, longest, lines := 0, time.Duration(0), 0
	for _, sj := range list {
		used := dr.usedShare(sj.group.Demand.Pool, now)
		if !sj.group.HasRoom() || used > maxUsedShare {
			sj.job.stall = jobStall{}
			continue
		}
		stall := &sj.job.stall
		if stall.since.IsZero() || stall.since.Before(sj.job.lastRunEnd) {
			*stall = jobStall{since: now}
		}
		stalled++
		longest = max(longest, now.Sub(stall.since))
		if now.Sub(stall.since) >= jobStallReport && now.Sub(stall.loggedAt) >= jobStallReportInterval && lines < maxStallLines {
			stall.loggedAt = now
			lines++
			dr.logStalledJob(sj, used, now)
		}
	}
	dr.op.Meter.Set(meter.StalledJobs, int64(stalled))
	dr.op.Meter.Set(meter.LongestJobStall, longest.Milliseconds())
}

// logStalledJob logs why the task of a stalled job waits that has waited longest.
func (dr *Director) logStalledJob(sj *stalledJob, used float64, now time.Time) {
	tk := sj.task
	kv := []any{
		"Job", sj.job.ID, "Task", tk.id().String(), "Reason", string(sj.wait.reason), "StalledFor", now.Sub(sj.job.stall.since).String(),
		"Waited", now.Sub(sj.wait.since).String(), "BestEffort", tk.step.spec.BestEffort, "Attempts", sj.job.activeRuns, "LastRun", tk.lastRun,
		"Places", sj.group.Places, "UsedShare", used,
	}
	if sj.wait.worker != "" {
		kv = append(kv, "Worker", sj.wait.worker)
	}
	if !sj.wait.until.IsZero() {
		kv = append(kv, "HeldFor", sj.wait.until.Sub(now).String())
	}
	if rs := tk.step.turn.counts; rs != nil {
		kv = append(kv, "CountedAgo", now.Sub(tk.step.turn.countedAt).String(), "Unsuited", rs.Unsuited, "Crowded", rs.Crowded, "Full", rs.Full, "Disturbed", rs.Disturbed, "Open", rs.Open)
	}
	kv = append(kv, tk.avoidanceInputs()...)
	kv = append(kv, tk.step.turn.reservationInputs()...)
	dr.log(logger.JobStalled, kv...)
}
