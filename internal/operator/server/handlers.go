package server

import (
	"context"
	"fmt"
	"math"
	"strings"

	"github.com/currantrouter/currantrouter/internal/fleet/modeler"
	"github.com/currantrouter/currantrouter/internal/operator/auditor"
	"github.com/currantrouter/currantrouter/internal/plan/importer"
)

func (sv *Server) plan(rr *request) (any, error) {
	pl, rev, err := sv.bk.Plans.Plan(rr.ctx, rr.pathParam("day"))
	return StoredPlan{Revision: rev, Plan: pl}, err
}

func (rr *request) importOptions() (importer.Options, error) {
	expected, err := rr.intParam("Expected", importer.AnyRevision, 0, math.MaxInt64)
	return importer.Options{Expected: expected}, err
}

func (sv *Server) comparePlan(rr *request) (any, error) {
	op, err := rr.importOptions()
	if err != nil {
		return nil, err
	}
	op.DryRun = true
	return sv.bk.Plans.Import(rr.ctx, rr.body, op)
}

func (sv *Server) applyPlan(rr *request) (action, error) {
	op, err := rr.importOptions()
	return action{
		subject: "Plan",
		run: func(ctx context.Context) (effect, error) {
			rs, err := sv.bk.Plans.Import(ctx, rr.body, op)
			return effect{subject: "Plan " + rs.Day, before: rs.Before, after: rs.After, answer: rs}, err
		},
	}, err
}

func (sv *Server) jobs(rr *request) (any, error) {
	limit, err := rr.intParam("Limit", MaxPage, 1, MaxPage)
	if err != nil {
		return nil, err
	}
	return sv.bk.Batch.Jobs(rr.ctx, JobQuery{
		Day: rr.query.Get("Day"), Team: rr.query.Get("Team"), State: rr.query.Get("State"),
		After: rr.query.Get("After"), Limit: int(limit),
	})
}

func (sv *Server) tasks(rr *request) (any, error) {
	limit, err := rr.intParam("Limit", MaxPage, 1, MaxPage)
	if err != nil {
		return nil, err
	}
	return sv.bk.Batch.Tasks(rr.ctx, TaskQuery{
		Job: rr.query.Get("Job"), State: rr.query.Get("State"), Worker: modeler.WorkerName(rr.query.Get("Worker")),
		After: rr.query.Get("After"), Limit: int(limit),
	})
}

func (sv *Server) explain(rr *request) (any, error) {
	job := rr.query.Get("Job")
	task, err := rr.intParam("Task", 0, 0, importer.MaxTasks)
	if err == nil && job == "" {
		err = fmt.Errorf("%w: Job is missing", ErrBadRequest)
	}
	if err != nil {
		return nil, err
	}
	return sv.bk.Batch.Explain(rr.ctx, job, int(task))
}

func (sv *Server) cancel(rr *request) (action, error) {
	var sl JobSelector
	if err := rr.decode(&sl); err != nil {
		return action{}, err
	}
	if err := sl.check(); err != nil {
		return action{}, err
	}
	return action{
		subject: sl.String(),
		reason:  sl.Reason,
		run: func(ctx context.Context) (effect, error) {
			num, err := sv.bk.Batch.Cancel(ctx, sl)
			return effect{answer: CancelResult{Jobs: num}}, err
		},
	}, nil
}

// check returns ErrBadRequest for an invalid selector. An empty one is refused because it would
// select every job.
func (sl JobSelector) check() error {
	named, grouped := len(sl.Jobs) > 0, sl.Day != "" || sl.Team != ""
	if named == grouped {
		return fmt.Errorf("%w: either Jobs or Day and Team select what to cancel", ErrBadRequest)
	}
	if sl.Reason == "" {
		return fmt.Errorf("%w: Reason is missing", ErrBadRequest)
	}
	return nil
}

// String returns the selected jobs as the subject of an audit record.
func (sl JobSelector) String() string {
	if len(sl.Jobs) > 0 {
		return strings.Join(sl.Jobs, ", ")
	}
	return strings.TrimSpace("Day " + sl.Day + " Team " + sl.Team)
}

func (sv *Server) hosts(rr *request) (any, error) { return sv.bk.Fleet.Hosts(rr.ctx) }

func (sv *Server) runners(rr *request) (any, error) { return sv.bk.Fleet.Runners(rr.ctx) }

func (sv *Server) drain(rr *request) (action, error) {
	var dr Drain
	if err := rr.decode(&dr); err != nil {
		return action{}, err
	}
	switch {
	case dr.Kind != "Host" && dr.Kind != "Runner" && dr.Kind != "Worker":
		return action{}, fmt.Errorf("%w: Kind is %q, allowed are Host, Runner and Worker", ErrBadRequest, dr.Kind)
	case dr.Name == "" || dr.Reason == "":
		return action{}, fmt.Errorf("%w: Name and Reason are needed", ErrBadRequest)
	}
	subject := dr.Kind + " " + dr.Name
	if dr.Undo {
		subject += ", undo"
	}
	return action{
		subject: subject,
		reason:  dr.Reason,
		run: func(ctx context.Context) (effect, error) {
			return effect{answer: dr}, sv.bk.Fleet.Drain(ctx, dr)
		},
	}, nil
}

func (sv *Server) resolve(rr *request) (action, error) {
	var rs Resolution
	if err := rr.decode(&rs); err != nil {
		return action{}, err
	}
	if rs.Job == "" || rs.Task < 0 || rs.Reason == "" {
		return action{}, fmt.Errorf("%w: Job, Task and Reason are needed", ErrBadRequest)
	}
	meaning := "done"
	if rs.RunAgain {
		meaning = "run again"
	}
	return action{
		subject: fmt.Sprintf("Task %s %d, %s", rs.Job, rs.Task, meaning),
		reason:  rs.Reason,
		run: func(ctx context.Context) (effect, error) {
			return effect{answer: rs}, sv.bk.Statements.Resolve(ctx, rs)
		},
	}, nil
}

func (sv *Server) workerGone(rr *request) (action, error) {
	var wg WorkerGone
	if err := rr.decode(&wg); err != nil {
		return action{}, err
	}
	if wg.Worker == "" || wg.Reason == "" {
		return action{}, fmt.Errorf("%w: Worker and Reason are needed", ErrBadRequest)
	}
	return action{
		subject: "Worker " + string(wg.Worker),
		reason:  wg.Reason,
		run: func(ctx context.Context) (effect, error) {
			return effect{answer: wg}, sv.bk.Statements.DeclareWorkerGone(ctx, wg)
		},
	}, nil
}

func (sv *Server) hours(rr *request) (any, error) {
	day := rr.pathParam("day")
	if day == "" {
		day = sv.bk.Hours.Today()
	}
	return sv.bk.Hours.Page(rr.ctx, day)
}

func (sv *Server) audit(rr *request) (any, error) {
	since, err := rr.timeParam("Since")
	if err != nil {
		return nil, err
	}
	until, err := rr.timeParam("Until")
	if err != nil {
		return nil, err
	}
	limit, err := rr.intParam("Limit", MaxPage, 1, auditor.MaxResults)
	if err != nil {
		return nil, err
	}
	rcs, err := sv.bk.Audit.Search(rr.ctx, auditor.Query{
		Since: since, Until: until, Who: rr.query.Get("Who"), Action: rr.query.Get("Action"),
		Subject: rr.query.Get("Subject"), Result: auditor.Result(rr.query.Get("Result")), Limit: int(limit),
	})
	return Records{Records: rcs}, err
}

func (sv *Server) configuration(rr *request) (any, error) {
	rev, err := parseRevision(rr.pathParam("revision"))
	if err != nil {
		return nil, err
	}
	return sv.bk.Configurations.Get(rr.ctx, rev)
}

func (sv *Server) checkConfiguration(rr *request) (any, error) {
	fds, err := sv.bk.Configurations.Check(rr.ctx, rr.body)
	return CheckResult{Findings: fds}, err
}

func (sv *Server) putConfiguration(rr *request) (action, error) {
	expected, err := rr.intParam("Expected", -1, 0, math.MaxInt64)
	if err == nil && expected < 0 {
		err = fmt.Errorf("%w: Expected is missing; it is the revision that the change is based on", ErrBadRequest)
	}
	return action{
		subject: "Configuration",
		reason:  rr.query.Get("Reason"),
		run: func(ctx context.Context) (effect, error) {
			rev, err := sv.bk.Configurations.Put(ctx, rr.body, modeler.Revision(expected))
			return effect{
				before: expected, after: int64(rev),
				answer: PutResult{Before: modeler.Revision(expected), After: rev},
			}, err
		},
	}, err
}

func (sv *Server) history(rr *request) (any, error) { return sv.bk.Configurations.History(rr.ctx) }

func (sv *Server) status(rr *request) (any, error) { return sv.bk.Configurations.Status(rr.ctx) }
