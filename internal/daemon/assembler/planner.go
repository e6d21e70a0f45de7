package assembler

import (
	"context"
	"errors"
	"time"

	"github.com/currantrouter/currantrouter/internal/batch/scheduler"
	"github.com/currantrouter/currantrouter/internal/plan/importer"
	"github.com/currantrouter/currantrouter/internal/process/pauser"
	"github.com/currantrouter/currantrouter/internal/telemetry/logger"
)

const (
	// planInterval is the time between two reads of the plans.
	planInterval = 2 * time.Second
	// followedPlanDays is the number of days whose plans are followed: yesterday's, which may still
	// apply in time zones west of UTC, and those of today and tomorrow, for which plans are
	// imported.
	followedPlanDays = 3
)

// followPlans submits the jobs of new plans to the scheduler and drops jobs that a plan no longer
// has.
func (ld *leader) followPlans(ctx context.Context, tm *term) {
	submitted := map[string]int64{}
	read := func(ctx context.Context) {
		for _, day := range planDaysAround(time.Now()) {
			ld.submitChangedPlan(ctx, tm, day, submitted)
		}
	}
	read(ctx)
	pauser.Every(ctx, planInterval, read)
}

func planDaysAround(now time.Time) []string {
	days := make([]string, 0, followedPlanDays)
	for off := -1; off < followedPlanDays-1; off++ {
		days = append(days, now.AddDate(0, 0, off).Format(time.DateOnly))
	}
	return days
}

// submitChangedPlan submits the plan of a day unless its revision was submitted before.
func (ld *leader) submitChangedPlan(ctx context.Context, tm *term, day string, submitted map[string]int64) {
	callCtx, cancel := context.WithTimeout(ctx, ld.dm.settings.Limits.StoreTimeout)
	defer cancel()
	pl, rev, err := ld.dm.plans.Plan(callCtx, day)
	if errors.Is(err, importer.ErrNoPlan) || err == nil && rev == submitted[day] {
		return
	}
	if err == nil {
		err = ld.submitPlan(ctx, tm, pl)
	}
	if err != nil {
		// The submission is repeated in the next interval. It is idempotent.
		logger.Log(ld.dm.log, logger.PlanNotSubmitted, "Day", day, "Cause", err.Error())
		return
	}
	submitted[day] = rev
}

func (ld *leader) submitPlan(ctx context.Context, tm *term, pl *importer.Plan) error {
	jobs := ld.localJobs(pl)
	known, err := scheduledJobs(ctx, tm.scheduler, pl.Day)
	if err != nil {
		return err
	}
	for _, jb := range jobs {
		delete(known, jb.Name)
	}
	var dropped []string
	for name := range known {
		dropped = append(dropped, name)
	}
	if len(dropped) > 0 {
		if _, err := tm.scheduler.Drop(ctx, dropped); err != nil {
			return err
		}
	}
	sub, err := tm.scheduler.Submit(ctx, jobs)
	if err != nil {
		return err
	}
	logger.Log(ld.dm.log, logger.PlanSubmitted, "Day", pl.Day, "Accepted", sub.Accepted, "Kept", sub.Unchanged, "Dropped", len(dropped))
	return nil
}

// scheduledJobs returns the names of the jobs of a day that the scheduler knows.
func scheduledJobs(ctx context.Context, sc *scheduler.Scheduler, day string) (map[string]bool, error) {
	names := map[string]bool{}
	qy := scheduler.Query{Day: day, Limit: scheduler.MaxListEntries}
	for {
		page, err := sc.Jobs(ctx, qy)
		if err != nil {
			return nil, err
		}
		for _, js := range page {
			names[js.Name] = true
		}
		if len(page) < scheduler.MaxListEntries {
			return names, nil
		}
		qy.After = page[len(page)-1].Position
	}
}

// localJobs returns the jobs of a plan that are assigned to this host's data centre.
func (ld *leader) localJobs(pl *importer.Plan) []scheduler.Job {
	var jobs []scheduler.Job
	for _, pj := range pl.JobsOf(ld.dm.settings.Host.DataCentre) {
		jobs = append(jobs, scheduler.Job{
			Name:          pl.JobID(pj.Name),
			Team:          pj.Team,
			Kind:          pj.Name,
			Day:           pl.Day,
			Priority:      pj.Priority,
			Urgent:        pj.Urgent,
			Tasks:         pj.Tasks,
			Declared:      pj.Size,
			RunTime:       pj.RunTime,
			NotBefore:     pj.NotBefore,
			Deadline:      pj.Deadline,
			Repeatable:    pj.Repeatable,
			CanCheckpoint: pj.Checkpoint,
		})
	}
	return jobs
}
