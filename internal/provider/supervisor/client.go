package supervisor

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/currantrouter/currantrouter/internal/fleet/modeler"
	"github.com/currantrouter/currantrouter/internal/provider/requester"
)

// Operations of a worker's HTTP interface, see docs/platform.md.
const (
	OperationStart      = "start"
	OperationStop       = "stop"
	OperationCheckpoint = "checkpoint"
	OperationThrottle   = "throttle"
	OperationRenew      = "renew"
	OperationReport     = "report"
	OperationForget     = "forget"
)

// Codes of a worker's error answers.
const (
	CodeRefused   = "Refused"
	CodeNoAttempt = "NoAttempt"
)

// Path returns the path of an operation on a worker.
func Path(worker modeler.WorkerName, operation string) string {
	return "/workers/" + string(worker) + "/v1/" + operation
}

// Bodies of the calls and answers.
type (
	// StartRequest is answered with an empty document.
	StartRequest struct {
		Attempt         Attempt
		Epoch           modeler.Epoch
		StartBefore     time.Time
		LeaseTermMillis int64
		Reservation     Resources
		Kind            string
		Checkpoint      string
		LatencyCritical bool
	}
	// AttemptRequest is the body of stop, checkpoint and throttle.
	AttemptRequest struct {
		Attempt Attempt
		Epoch   modeler.Epoch
		// Share is the share of its processors that a throttled attempt may use.
		Share float64 `json:",omitempty"`
	}
	// AttemptsRequest is the body of renew and forget.
	AttemptsRequest struct {
		Attempts        []Attempt
		Epoch           modeler.Epoch
		LeaseTermMillis int64 `json:",omitempty"`
	}
	// RenewAnswer lists the attempts that the worker does not run.
	RenewAnswer struct{ Missing []Attempt }
)

// Client calls workers over HTTP. It never repeats a call. Commands carry the sender's epoch. It
// is safe for concurrent use.
type Client struct {
	requester *requester.Requester
}

// NewClient returns a client of all workers.
func NewClient(rr *requester.Requester) *Client { return &Client{requester: rr} }

// Start begins an attempt. Errors: ErrRefused when it was not begun, ErrResultUnknown.
func (cl *Client) Start(ctx context.Context, wk Worker, cmd StartCommand) error {
	return cl.call(ctx, wk, OperationStart, StartRequest{
		Attempt: cmd.Attempt, Epoch: cmd.Epoch, StartBefore: cmd.StartBefore,
		LeaseTermMillis: cmd.LeaseTerm.Milliseconds(), Reservation: cmd.Reservation, Kind: cmd.Kind,
		Checkpoint: cmd.Checkpoint, LatencyCritical: cmd.LatencyCritical,
	}, nil)
}

// Command returns the command of the request.
func (sr StartRequest) Command() StartCommand {
	return StartCommand{
		Attempt: sr.Attempt, Epoch: sr.Epoch, StartBefore: sr.StartBefore,
		LeaseTerm:   time.Duration(sr.LeaseTermMillis) * time.Millisecond,
		Reservation: sr.Reservation, Kind: sr.Kind, Checkpoint: sr.Checkpoint, LatencyCritical: sr.LatencyCritical,
	}
}

// LeaseTerm returns the term of the request.
func (ar AttemptsRequest) LeaseTerm() time.Duration {
	return time.Duration(ar.LeaseTermMillis) * time.Millisecond
}

// Stop ends an attempt. Errors: ErrNoAttempt, ErrRefused, ErrResultUnknown.
func (cl *Client) Stop(ctx context.Context, wk Worker, ep modeler.Epoch, id Attempt) error {
	return cl.call(ctx, wk, OperationStop, AttemptRequest{Attempt: id, Epoch: ep}, nil)
}

// Checkpoint asks for a checkpoint, which a later report names. Errors: ErrNoAttempt, ErrRefused,
// ErrResultUnknown.
func (cl *Client) Checkpoint(ctx context.Context, wk Worker, ep modeler.Epoch, id Attempt) error {
	return cl.call(ctx, wk, OperationCheckpoint, AttemptRequest{Attempt: id, Epoch: ep}, nil)
}

// Throttle limits an attempt to a share of its processors, above 0 and at most 1. Errors:
// ErrNoAttempt, ErrRefused, ErrResultUnknown.
func (cl *Client) Throttle(ctx context.Context, wk Worker, ep modeler.Epoch, id Attempt, share float64) error {
	return cl.call(ctx, wk, OperationThrottle, AttemptRequest{Attempt: id, Epoch: ep, Share: share}, nil)
}

// Renew extends the leases of attempts to the term from the time the worker gets the call, and
// returns those that the worker does not run. Errors: ErrRefused, ErrResultUnknown.
func (cl *Client) Renew(ctx context.Context, wk Worker, ep modeler.Epoch, term time.Duration, ids []Attempt) ([]Attempt, error) {
	var as RenewAnswer
	err := cl.call(ctx, wk, OperationRenew, AttemptsRequest{Attempts: ids, Epoch: ep, LeaseTermMillis: term.Milliseconds()}, &as)
	return as.Missing, err
}

// Report returns the attempts and their usage, which lags. Errors: ErrRefused when the call did
// not reach the worker, ErrResultUnknown.
func (cl *Client) Report(ctx context.Context, wk Worker) (WorkerReport, error) {
	var rep WorkerReport
	err := cl.call(ctx, wk, OperationReport, struct{}{}, &rep)
	return rep, err
}

// Forget drops ended attempts from the reports. Attempts that run are kept. Errors: ErrRefused,
// ErrResultUnknown.
func (cl *Client) Forget(ctx context.Context, wk Worker, ep modeler.Epoch, ids []Attempt) error {
	return cl.call(ctx, wk, OperationForget, AttemptsRequest{Attempts: ids, Epoch: ep}, nil)
}

func (cl *Client) call(ctx context.Context, wk Worker, operation string, in, out any) error {
	err := cl.requester.Call(ctx, wk.Address, Path(wk.Name, operation), in, out)
	var fl *requester.Failure
	switch {
	case err == nil:
		return nil
	case errors.Is(err, requester.ErrNotSent):
		return fmt.Errorf("%w: %w: %w", ErrRefused, ErrUnreachable, err)
	case errors.As(err, &fl) && fl.Code == CodeRefused:
		return fmt.Errorf("%w: %s", ErrRefused, fl.Message)
	case errors.As(err, &fl) && fl.Code == CodeNoAttempt:
		return ErrNoAttempt
	}
	return fmt.Errorf("%w: %w", ErrResultUnknown, err)
}
