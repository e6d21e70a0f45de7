// Package server implements the operators' HTTP interface. It also defines the JSON
// documents that it exchanges with clients.
package server

import (
	"context"
	"errors"
	"time"

	"github.com/currantrouter/currantrouter/internal/fleet/modeler"
	"github.com/currantrouter/currantrouter/internal/hours/publisher"
	"github.com/currantrouter/currantrouter/internal/operator/auditor"
	"github.com/currantrouter/currantrouter/internal/plan/importer"
	"github.com/currantrouter/currantrouter/internal/provider/supervisor"
)

// Errors that backends return in addition to those of their own packages. Test for them with
// errors.Is.
var (
	// ErrNotFound means that the object that a request names does not exist.
	ErrNotFound = errors.New("not found")
	// ErrBadRequest means that a request is malformed or has an invalid parameter.
	ErrBadRequest = errors.New("bad request")
	// ErrLeaderUnreachable means that the leader of a data centre did not receive the request.
	// Nothing was changed there.
	ErrLeaderUnreachable = errors.New("leader of the data centre is not reachable")
	// ErrConfigurationRefused means that a configuration document was refused. The error that
	// wraps it is of type Findings.
	ErrConfigurationRefused = errors.New("configuration refused")
)

// Backends are the components that requests read and change. All fields except Statements must be
// set.
type Backends struct {
	Plans          Plans
	Batch          Batch
	Fleet          Fleet
	Hours          Hours
	Audit          Audit
	Configurations Configurations
	// Statements may be nil; its paths then do not exist.
	Statements Statements
	// Ready returns nil, or an error with the reason why the host is not ready.
	Ready func() error
}

// Statements accepts facts that operators state and the system cannot verify. A wrong statement can
// make a task run twice.
type Statements interface {
	// Resolve ends state Unknown of a task: the task becomes done, or runs again. It returns
	// ErrNotFound when the task does not exist or is not in that state.
	Resolve(ctx context.Context, rs Resolution) error
	// DeclareWorkerGone states that a worker has failed permanently, so that its tasks can run
	// again before their leases expire. It returns ErrNotFound when the worker does not exist.
	DeclareWorkerGone(ctx context.Context, wg WorkerGone) error
}

// Resolution is the body of an operator's statement about a task in state Unknown.
type Resolution struct {
	Job  string
	Task int
	// RunAgain makes the task run again. If false, the task counts as done.
	RunAgain bool
	// Reason is recorded in the audit trail. It is not empty.
	Reason string
}

// WorkerGone is the body of an operator's statement that a worker has failed permanently.
type WorkerGone struct {
	Worker modeler.WorkerName
	// Reason is recorded in the audit trail. It is not empty.
	Reason string
}

// Plans imports sheets and returns plans. importer.PlanStore implements it.
type Plans interface {
	Import(ctx context.Context, sheet []byte, op importer.Options) (importer.Result, error)
	Plan(ctx context.Context, day string) (*importer.Plan, int64, error)
}

// Batch lists and cancels batch jobs and tasks of all data centres.
type Batch interface {
	// Jobs returns a page of jobs, by data centre and then in the order of submission.
	Jobs(ctx context.Context, qr JobQuery) (Jobs, error)
	// Tasks returns a page of tasks in the order of their jobs and then by number.
	Tasks(ctx context.Context, qr TaskQuery) (Tasks, error)
	// Explain returns why a task is in its state, or ErrNotFound.
	Explain(ctx context.Context, job string, task int) (Explanation, error)
	// Cancel cancels the selected jobs and returns their number. It returns ErrNotFound when
	// the selector names jobs and none of them exists.
	Cancel(ctx context.Context, sl JobSelector) (int, error)
}

// Fleet lists entry hosts and runners, and drains them and workers.
type Fleet interface {
	Hosts(ctx context.Context) ([]Host, error)
	Runners(ctx context.Context) ([]Runner, error)
	// Drain starts or, with Undo, ends the draining of a host, runner or worker. It returns
	// ErrNotFound.
	Drain(ctx context.Context, dr Drain) error
}

// Hours computes the page of a day's hourly counts. publisher.Publisher implements it.
type Hours interface {
	Page(ctx context.Context, day string) (*publisher.Page, error)
	Today() string
}

// Audit records commands and searches the records. auditor.Auditor implements it.
type Audit interface {
	Begin(ctx context.Context, rc auditor.Record) (*auditor.Command, error)
	Refuse(ctx context.Context, rc auditor.Record) error
	Search(ctx context.Context, qr auditor.Query) ([]auditor.Record, error)
}

// Configurations stores the revisions of the shared configuration.
type Configurations interface {
	// Get returns a revision, or the current one for zero. It returns ErrNotFound.
	Get(ctx context.Context, rev modeler.Revision) (Document, error)
	// Check validates a document without storing it.
	Check(ctx context.Context, text []byte) (Findings, error)
	// Put stores a document as the next revision if expected is the current one. Its errors are
	// Findings, storer.ErrConflict and storer.ErrResultUnknown.
	Put(ctx context.Context, text []byte, expected modeler.Revision) (modeler.Revision, error)
	// History returns the kept revisions, the newest first.
	History(ctx context.Context) ([]ConfigurationChange, error)
	// Status returns which revision is in force at which host.
	Status(ctx context.Context) (ConfigurationStatus, error)
}

// JobQuery selects jobs. Empty fields select all.
type JobQuery struct {
	Day, Team, State string
	// After is the Next of the previous page, or empty for the first page.
	After string
	// Limit is from 1 to MaxPage.
	Limit int
}

// Job is the state of a job.
type Job struct {
	ID         string
	Team       string
	Priority   int
	Urgent     bool
	DataCentre modeler.DataCentreName
	State      string
	// Tasks counts the tasks by state.
	Tasks     map[string]int
	NotBefore time.Time
	// Deadline is zero when the job has none.
	Deadline time.Time
	// Reason is set for a job that failed or cannot run.
	Reason string `json:",omitempty"`
}

// Jobs is a page of jobs.
type Jobs struct {
	Jobs []Job
	// Next is the After of the query for the next page, or empty on the last page.
	Next string `json:",omitempty"`
	// Unreachable lists the data centres whose jobs are missing.
	Unreachable []modeler.DataCentreName `json:",omitempty"`
}

// TaskQuery selects tasks. Empty fields select all.
type TaskQuery struct {
	Job, State string
	Worker     modeler.WorkerName
	// After is the Next of the previous page, or empty for the first page.
	After string
	// Limit is from 1 to MaxPage.
	Limit int
}

// Task is the state of a task.
type Task struct {
	Job     string
	Number  int
	State   string
	Attempt int
	// Worker is empty for a task that is not on a worker.
	Worker      modeler.WorkerName
	Reservation supervisor.Resources
	Reason      string `json:",omitempty"`
}

// Tasks is a page of tasks. Next and Unreachable are as in Jobs.
type Tasks struct {
	Tasks       []Task
	Next        string                   `json:",omitempty"`
	Unreachable []modeler.DataCentreName `json:",omitempty"`
}

// Explanation says why a task is in its state.
type Explanation struct {
	Task Task
	// Reasons are sentences for people, the most important first.
	Reasons []string
}

// JobSelector selects jobs to cancel: either the IDs in Jobs, or all jobs of a Day, a Team or both.
type JobSelector struct {
	Jobs      []string
	Day, Team string
	// Reason is recorded in the audit trail. It is not empty.
	Reason string
}

// CancelResult is the answer to a cancellation.
type CancelResult struct{ Jobs int }

// Host is the state of an entry host as known to the answering host.
type Host struct {
	Name       modeler.HostName
	DataCentre modeler.DataCentreName
	Boot       modeler.BootID
	Health     string
	Leading    bool
	// Leaving is set while the host drains.
	Leaving   bool
	Revision  modeler.Revision
	FreeSlots int
	Queued    int
}

// Runner is the state of a runner as known to the answering host.
type Runner struct {
	Name       modeler.RunnerName
	DataCentre modeler.DataCentreName
	Service    modeler.ServiceName
	Health     string
	// Leaving is set while the runner drains.
	Leaving bool
	Slots   int
	// Share is the number of slots that the answering host may use, Busy how many of them are in
	// use.
	Share, Busy int
}

// Drain is the body of a drain command.
type Drain struct {
	// Kind is Host, Runner or Worker.
	Kind string
	Name string
	// Undo ends the draining.
	Undo bool
	// Reason is recorded in the audit trail. It is not empty.
	Reason string
}

// Document is a revision of the shared configuration.
type Document struct {
	Revision modeler.Revision
	Text     string
}

// Finding is an error or warning about a configuration document.
type Finding struct {
	Number   int
	Title    string
	Severity string
	// Line counts from 1. It is zero if the finding concerns the whole document.
	Line    int    `json:",omitempty"`
	Section string `json:",omitempty"`
	Key     string `json:",omitempty"`
	Value   string `json:",omitempty"`
	Allowed string
}

// Findings is the result of a check, and the error that a refused configuration returns.
type Findings []Finding

// Error returns the first finding on one line.
func (fds Findings) Error() string {
	if len(fds) == 0 {
		return ErrConfigurationRefused.Error()
	}
	return ErrConfigurationRefused.Error() + ": " + fds[0].Title + ": " + fds[0].Allowed
}

// Is makes errors.Is(err, ErrConfigurationRefused) hold.
func (fds Findings) Is(target error) bool { return target == ErrConfigurationRefused }

// CheckResult is the answer to a check of a configuration.
type CheckResult struct{ Findings Findings }

// ConfigurationChange is an entry of the configuration's history.
type ConfigurationChange struct {
	Revision modeler.Revision
	At       time.Time
	Who      string
}

// PutResult is the answer to a change of the configuration.
type PutResult struct{ Before, After modeler.Revision }

// ConfigurationStatus lists which revision of the configuration is in force at which host.
type ConfigurationStatus struct {
	// Revision is the newest revision known to the answering host.
	Revision modeler.Revision
	Hosts    []HostRevision
}

// HostRevision is the revision in force at a host.
type HostRevision struct {
	Host     modeler.HostName
	Revision modeler.Revision
	// Live is false for a host that the failure detector suspects or considers dead. Its revision
	// is the last known one.
	Live bool
}

// InForce reports whether every live host has the revision or a later one. It returns false when no
// host is live.
func (st ConfigurationStatus) InForce(rev modeler.Revision) bool {
	live := 0
	for _, hr := range st.Hosts {
		if hr.Live && hr.Revision < rev {
			return false
		}
		if hr.Live {
			live++
		}
	}
	return live > 0
}

// StoredPlan is the plan in force for a day.
type StoredPlan struct {
	Revision int64
	Plan     *importer.Plan
}

// Records is the answer to a search of the audit trail.
type Records struct{ Records []auditor.Record }

// MaxPage is the maximum number of jobs or tasks in one answer.
const MaxPage = 1000
