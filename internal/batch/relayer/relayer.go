// Package relayer forwards operators' queries and commands on batch work to the leader of the data
// centre that they concern.
package relayer

import (
	"context"
	"errors"
	"time"

	"github.com/twitchtv/twirp"

	"github.com/currantrouter/currantrouter/internal/batch/scheduler"
	"github.com/currantrouter/currantrouter/internal/cluster/messenger"
	"github.com/currantrouter/currantrouter/internal/fleet/modeler"
	"github.com/currantrouter/currantrouter/internal/provider/storer"
)

// Errors of a forwarded call. Callers test for them with errors.Is.
var (
	// ErrLeaderUnreachable means that the call reached no leader, or that the leader's store was
	// unavailable. If a command may have taken effect, the error is ErrResultUnknown instead.
	ErrLeaderUnreachable = errors.New("leader of the data centre is not reachable")
	// ErrResultUnknown means that the command may have taken effect.
	ErrResultUnknown = errors.New("result of the command is unknown")
	// ErrNotFound means that the task does not exist or, for Resolve, is not in state Unknown.
	ErrNotFound = errors.New("no such task")
)

// Batch answers queries and commands on the batch work of one data centre. *scheduler.Scheduler
// implements it.
type Batch interface {
	Jobs(ctx context.Context, qy scheduler.Query) ([]scheduler.JobStatus, error)
	Tasks(ctx context.Context, qy scheduler.Query) ([]scheduler.TaskStatus, error)
	Explain(ctx context.Context, name string, no int) (scheduler.Explanation, error)
	Cancel(ctx context.Context, sl scheduler.Selector) (int, error)
	Resolve(ctx context.Context, name string, no int, runAgain bool) error
	WorkerGone(ctx context.Context, name modeler.WorkerName) error
}

// server implements messenger.Batch for the data centre that this host leads.
type server struct {
	// leaderBatch returns false while this host leads no data centre.
	leaderBatch func() (Batch, bool)
}

// NewServer returns the service that peers call. Leader returns the batch work of the data centre that
// this host leads, and false while it leads none.
func NewServer(leader func() (Batch, bool)) messenger.Batch { return &server{leaderBatch: leader} }

func (sv *server) batch() (Batch, error) {
	bt, ok := sv.leaderBatch()
	if !ok {
		return nil, errNotLeading
	}
	return bt, nil
}

var errNotLeading = twirp.NewError(twirp.FailedPrecondition, "this host does not lead its data centre")

// Jobs implements messenger.Batch.
func (sv *server) Jobs(ctx context.Context, rq *messenger.BatchQuery) (*messenger.JobList, error) {
	bt, err := sv.batch()
	if err != nil {
		return nil, err
	}
	jobs, err := bt.Jobs(ctx, decodeQuery(rq))
	if err != nil {
		return nil, encodeError(err)
	}
	out := &messenger.JobList{}
	for _, js := range jobs {
		out.Jobs = append(out.Jobs, encodeJob(js))
	}
	return out, nil
}

// Tasks implements messenger.Batch.
func (sv *server) Tasks(ctx context.Context, rq *messenger.BatchQuery) (*messenger.TaskList, error) {
	bt, err := sv.batch()
	if err != nil {
		return nil, err
	}
	tasks, err := bt.Tasks(ctx, decodeQuery(rq))
	if err != nil {
		return nil, encodeError(err)
	}
	out := &messenger.TaskList{}
	for _, ts := range tasks {
		out.Tasks = append(out.Tasks, encodeTask(ts))
	}
	return out, nil
}

// Explain implements messenger.Batch.
func (sv *server) Explain(ctx context.Context, rq *messenger.TaskName) (*messenger.TaskExplanation, error) {
	bt, err := sv.batch()
	if err != nil {
		return nil, err
	}
	ex, err := bt.Explain(ctx, rq.Job, int(rq.Number))
	if err != nil {
		return nil, encodeError(err)
	}
	return &messenger.TaskExplanation{Task: encodeTask(ex.TaskStatus), Reasons: ex.Reasons}, nil
}

// Cancel implements messenger.Batch.
func (sv *server) Cancel(ctx context.Context, rq *messenger.JobSelector) (*messenger.CancelResult, error) {
	bt, err := sv.batch()
	if err != nil {
		return nil, err
	}
	num, err := bt.Cancel(ctx, scheduler.Selector{Jobs: rq.Jobs, Team: rq.Team, Day: rq.Day})
	if err != nil {
		return nil, encodeError(err)
	}
	return &messenger.CancelResult{Jobs: int32(num)}, nil
}

// Resolve implements messenger.Batch.
func (sv *server) Resolve(ctx context.Context, rq *messenger.TaskResolution) (*messenger.StatementResult, error) {
	bt, err := sv.batch()
	if err != nil {
		return nil, err
	}
	if err := bt.Resolve(ctx, rq.Job, int(rq.Number), rq.RunAgain); err != nil {
		return nil, encodeError(err)
	}
	return &messenger.StatementResult{}, nil
}

// WorkerGone implements messenger.Batch.
func (sv *server) WorkerGone(ctx context.Context, rq *messenger.WorkerName) (*messenger.StatementResult, error) {
	bt, err := sv.batch()
	if err != nil {
		return nil, err
	}
	if err := bt.WorkerGone(ctx, modeler.WorkerName(rq.Name)); err != nil {
		return nil, encodeError(err)
	}
	return &messenger.StatementResult{}, nil
}

func decodeQuery(rq *messenger.BatchQuery) scheduler.Query {
	return scheduler.Query{
		Job:   rq.Job,
		Team:  rq.Team,
		Day:   rq.Day,
		State: scheduler.State(rq.State),
		After: scheduler.Position{Job: rq.AfterJob, Task: int(rq.AfterTask)},
		Limit: int(rq.Limit),
	}
}

func encodeJob(js scheduler.JobStatus) *messenger.JobEntry {
	en := &messenger.JobEntry{
		Name:            js.Name,
		Team:            js.Team,
		Priority:        int32(js.Priority),
		Urgent:          js.Urgent,
		Tasks:           int32(js.Tasks),
		States:          map[string]int32{},
		NotBeforeMillis: unixMillis(js.NotBefore),
		DeadlineMillis:  unixMillis(js.Deadline),
		Reasons:         js.Reasons,
		Position:        js.Position.Job,
	}
	for st, num := range js.States {
		en.States[string(st)] = int32(num)
	}
	return en
}

func encodeTask(ts scheduler.TaskStatus) *messenger.TaskEntry {
	return &messenger.TaskEntry{
		Job:          ts.Job,
		Number:       int32(ts.Task),
		State:        string(ts.State),
		Attempt:      int32(ts.Attempt),
		Worker:       string(ts.Worker),
		Reason:       ts.Reason,
		PositionJob:  ts.Position.Job,
		PositionTask: int64(ts.Position.Task),
		Millicores:   ts.Reservation.Millicores,
		MemoryBytes:  ts.Reservation.MemoryBytes,
		Accelerators: ts.Reservation.Accelerators,
	}
}

func unixMillis(when time.Time) int64 {
	if when.IsZero() {
		return 0
	}
	return when.UnixMilli()
}

// encodeError converts the scheduler's errors to twirp errors with the codes that DecodeError expects.
func encodeError(err error) error {
	switch {
	case errors.Is(err, scheduler.ErrUnknownTask), errors.Is(err, scheduler.ErrNotResolvable):
		return twirp.NewError(twirp.NotFound, err.Error())
	case errors.Is(err, scheduler.ErrNotLeading), errors.Is(err, scheduler.ErrDeposed):
		return errNotLeading
	case errors.Is(err, storer.ErrUnavailable):
		return twirp.NewError(twirp.Unavailable, err.Error())
	}
	return twirp.NewError(twirp.Unknown, err.Error())
}

// DecodeError joins an error of a call with the error of this package that its twirp code stands for.
// Any code that does not rule out an effect becomes ErrResultUnknown, which has no meaning for a
// query.
func DecodeError(err error) error {
	if err == nil {
		return nil
	}
	var te twirp.Error
	if !errors.As(err, &te) {
		return errors.Join(ErrResultUnknown, err)
	}
	switch te.Code() {
	case twirp.NotFound:
		return errors.Join(ErrNotFound, err)
	case twirp.FailedPrecondition, twirp.Unavailable:
		return errors.Join(ErrLeaderUnreachable, err)
	}
	return errors.Join(ErrResultUnknown, err)
}
