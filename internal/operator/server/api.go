// Package server is the operators' HTTP interface. Its types are the JSON documents that it
// exchanges with clients.
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

// Errors that backends return beside those of their packages. Tested for with errors.Is.
var (
	// ErrNotFound means that the subject of a request does not exist.
	ErrNotFound = errors.New("not found")
	// ErrRequest means that a request cannot be read.
	ErrRequest = errors.New("bad request")
	// ErrLeaderUnreachable means that the leader of a data centre could not be asked. Nothing was
	// changed there.
	ErrLeaderUnreachable = errors.New("leader of the data centre is not reachable")
	// ErrConfiguration means that a configuration document was refused. The error is of type
	// Findings.
	ErrConfiguration = errors.New("configuration refused")
)

// Backends are what the interface shows and changes. All fields but Statements are set.
type Backends struct {
	Plans          Plans
	Batch          Batch
	Fleet          Fleet
	Hours          Hours
	Audit          Audit
	Configurations Configurations
	// Statements may be nil. The interface then has no paths for them.
	Statements Statements
	// Ready returns why the host is not ready, or nil.
	Ready func() error
}

// Statements accepts what only operators can know. A wrong statement can make a task run twice.
type Statements interface {
	// Resolve ends the wait of a task in state Unknown: it is done, or it runs again. It returns
	// ErrNotFound when no such task is in that state.
	Resolve(ctx context.Context, rs Resolution) error
	// WorkerGone states that a worker is gone for good, so that its tasks need not wait for the end
	// of their leases. It returns ErrNotFound.
	WorkerGone(ctx context.Context, wg WorkerGone) error
}

// Resolution is the body of a statement on a task in state Unknown.
type Resolution struct {
	Job  string
	Task int
	// RunAgain runs the task again; otherwise it is done.
	RunAgain bool
	// Reason is recorded in the audit trail. It is not empty.
	Reason string
}

// WorkerGone is the body of a statement on a worker.
type WorkerGone struct {
	Worker modeler.WorkerName
	// Reason is recorded in the audit trail. It is not empty.
	Reason string
}

// Plans imports sheets. It is an importer.Keeper.
type Plans interface {
	Import(ctx context.Context, sheet []byte, op importer.Options) (importer.Result, error)
	Plan(ctx context.Context, day string) (*importer.Plan, int64, error)
}

// Batch shows and cancels batch work of all data centres.
type Batch interface {
	// Jobs returns a page of jobs in the order of their identities.
	Jobs(ctx context.Context, qr JobQuery) (Jobs, error)
	// Tasks returns a page of tasks in the order of job and number.
	Tasks(ctx context.Context, qr TaskQuery) (Tasks, error)
	// Explain returns why a task is in its state, or ErrNotFound.
	Explain(ctx context.Context, job string, task int) (Explanation, error)
	// Cancel cancels the selected jobs and returns how many. It returns ErrNotFound when a named
	// job does not exist.
	Cancel(ctx context.Context, sl Selector) (int, error)
}

// Fleet shows and drains entry hosts and runners.
type Fleet interface {
	Hosts(ctx context.Context) ([]Host, error)
	Runners(ctx context.Context) ([]Runner, error)
	// Drain marks a host, runner or worker as leaving, or no longer. It returns ErrNotFound.
	Drain(ctx context.Context, dr Drain) error
}

// Hours computes the page of a day. It is a publisher.Publisher.
type Hours interface {
	Page(ctx context.Context, day string) (*publisher.Page, error)
	Today() string
}

// Audit records commands. It is an auditor.Auditor.
type Audit interface {
	Begin(ctx context.Context, rc auditor.Record) (*auditor.Command, error)
	Refuse(ctx context.Context, rc auditor.Record) error
	Search(ctx context.Context, qr auditor.Query) ([]auditor.Record, error)
}

// Configurations keeps the shared configuration.
type Configurations interface {
	// Get returns a revision, or the current one for zero. It returns ErrNotFound.
	Get(ctx context.Context, rev modeler.Revision) (Document, error)
	// Check returns what is wrong with a document without storing it.
	Check(ctx context.Context, text []byte) (Findings, error)
	// Put stores a document as the next revision if expected is the current one. It returns
	// Findings, storer.ErrConflict and storer.ErrResultUnknown.
	Put(ctx context.Context, text []byte, expected modeler.Revision) (modeler.Revision, error)
	// History returns the kept revisions, the newest first.
	History(ctx context.Context) ([]Change, error)
	// Status returns which revision is in force where.
	Status(ctx context.Context) (Status, error)
}

// JobQuery selects jobs. Empty fields select all.
type JobQuery struct {
	Day, Team, State string
	// After is the last identity of the page before.
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
	// Reason is set for jobs that failed or cannot run.
	Reason string `json:",omitempty"`
}

// Jobs is a page of jobs.
type Jobs struct {
	Jobs []Job
	// Next is the After of the next page, or empty.
	Next string `json:",omitempty"`
	// Unreachable lists the data centres whose jobs are missing.
	Unreachable []modeler.DataCentreName `json:",omitempty"`
}

// TaskQuery selects tasks. Empty fields select all.
type TaskQuery struct {
	Job, State string
	Worker     modeler.WorkerName
	After      string
	// Limit is from 1 to MaxPage.
	Limit int
}

// Task is the state of a task.
type Task struct {
	Job     string
	Number  int
	State   string
	Attempt int
	// Worker is empty for a task that is on none.
	Worker      modeler.WorkerName
	Reservation supervisor.Resources
	Reason      string `json:",omitempty"`
}

// Tasks is a page of tasks.
type Tasks struct {
	Tasks       []Task
	Next        string                   `json:",omitempty"`
	Unreachable []modeler.DataCentreName `json:",omitempty"`
}

// Explanation says why a task is in its state.
type Explanation struct {
	Task Task
	// Reasons are lines for people, the most important first.
	Reasons []string
}

// Selector selects jobs to cancel. Either Jobs or one of the others is set.
type Selector struct {
	Jobs      []string
	Day, Team string
	// Reason is recorded in the audit trail. It is not empty.
	Reason string
}

// Cancelled is the answer to a cancellation.
type Cancelled struct{ Jobs int }

// Host is the state of an entry host as the answering host sees it.
type Host struct {
	Name       modeler.HostName
	DataCentre modeler.DataCentreName
	Boot       modeler.BootID
	Health     string
	Leading    bool
	Leaving    bool
	Revision   modeler.Revision
	FreeSlots  int
	Queued     int
}

// Runner is the state of a runner as the answering host sees it.
type Runner struct {
	Name       modeler.RunnerName
	DataCentre modeler.DataCentreName
	Service    modeler.ServiceName
	Health     string
	Leaving    bool
	Slots      int
	// Share and Busy count this host's slots and those in use.
	Share, Busy int
}

// Drain is the body of a drain command.
type Drain struct {
	// Kind is Host, Runner or Worker.
	Kind string
	Name string
	// Undo makes a host that was marked as leaving an ordinary one again.
	Undo bool
	// Reason is recorded in the audit trail. It is not empty.
	Reason string
}

// Document is a revision of the shared configuration.
type Document struct {
	Revision modeler.Revision
	Text     string
}

// Finding is what a check objects to in a configuration document.
type Finding struct {
	Number   int
	Title    string
	Severity string
	// Line counts from 1; zero concerns the whole document.
	Line    int    `json:",omitempty"`
	Section string `json:",omitempty"`
	Key     string `json:",omitempty"`
	Value   string `json:",omitempty"`
	Allowed string
}

// Findings is the error of a refused configuration, and the result of a check.
type Findings []Finding

// Error summarizes the findings on one line.
func (fds Findings) Error() string {
	if len(fds) == 0 {
		return ErrConfiguration.Error()
	}
	return ErrConfiguration.Error() + ": " + fds[0].Title + ": " + fds[0].Allowed
}

// Is makes errors.Is(err, ErrConfiguration) hold.
func (fds Findings) Is(target error) bool { return target == ErrConfiguration }

// Checked is the answer to a check of a configuration.
type Checked struct{ Findings Findings }

// Change is an entry of the configuration's history.
type Change struct {
	Revision modeler.Revision
	At       time.Time
	Who      string
}

// Put is the answer to a change of the configuration.
type Put struct{ Before, After modeler.Revision }

// Status says which revision of the configuration is in force where.
type Status struct {
	// Revision is the newest one that the answering host knows.
	Revision modeler.Revision
	Hosts    []HostRevision
}

// HostRevision is the revision in force at a host.
type HostRevision struct {
	Host     modeler.HostName
	Revision modeler.Revision
	// Live is false for a host that is not heard of; its revision is the last known.
	Live bool
}

// InForce reports whether every live host has at least a revision, and there is one.
func (st Status) InForce(rev modeler.Revision) bool {
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

// MaxPage is the greatest number of jobs or tasks in one answer.
const MaxPage = 1000
