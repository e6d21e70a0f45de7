package modeler

import (
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"time"

	fleet "github.com/currantrouter/currantrouter/internal/fleet/modeler"
)

// Worker is a worker's entry in the registry, written by the worker.
type Worker struct {
	ID         WorkerID
	Pool       PoolName
	DataCentre fleet.DataCentreName
	Address    netip.AddrPort
	// Incarnation is when the worker's process started, in milliseconds since 1970. It
	// distinguishes a restarted worker from its predecessor with the same ID.
	Incarnation int64 `json:"Born"`
	Draining    bool
	// MinRemaining is the minimum time for which a draining worker keeps running.
	MinRemaining time.Duration `json:"Remaining"`
	Capacity     Resources
	Labels       []string
	// Rack is empty when unknown.
	Rack string
}

// ErrInvalidWorker means that a worker's entry is outside the bounds of what can be a worker.
var ErrInvalidWorker = errors.New("invalid worker")

// Check returns ErrInvalidWorker, wrapped with the reason, for a worker that cannot be called or has
// values out of bounds.
func (wk *Worker) Check() error {
	if wk.ID == "" || wk.Pool == "" {
		return fmt.Errorf("%w: ID %q, pool %q", ErrInvalidWorker, wk.ID, wk.Pool)
	}
	if len(wk.Labels) > maxLabels {
		return fmt.Errorf("%w: %d labels", ErrInvalidWorker, len(wk.Labels))
	}
	for _, name := range append([]string{string(wk.ID), string(wk.Pool), string(wk.DataCentre), wk.Rack}, wk.Labels...) {
		if err := CheckName("name", name); err != nil {
			return fmt.Errorf("%w: %w", ErrInvalidWorker, err)
		}
	}
	if err := fleet.CheckAddress(wk.Address); err != nil {
		return fmt.Errorf("%w: %w", ErrInvalidWorker, err)
	}
	switch {
	case wk.Capacity.MilliCores == 0 || !wk.Capacity.inRange():
		return fmt.Errorf("%w: capacity %+v", ErrInvalidWorker, wk.Capacity)
	case wk.Incarnation < 0 || wk.Incarnation > maxIncarnation:
		return fmt.Errorf("%w: incarnation %d", ErrInvalidWorker, wk.Incarnation)
	case !durationInRange(wk.MinRemaining):
		return fmt.Errorf("%w: remaining time %s", ErrInvalidWorker, wk.MinRemaining)
	}
	return nil
}

// HasLabel reports whether the worker has a label. It is true for the empty label.
func (wk *Worker) HasLabel(label string) bool {
	return label == "" || slices.Contains(wk.Labels, label)
}

// WorkerFence is a fencing token for a worker that a start without an answer may still reach.
type WorkerFence struct {
	ID         WorkerID
	DataCentre fleet.DataCentreName
	Address    netip.AddrPort
	// Fence is higher than the token of each start without an answer.
	Fence Fence
	// Left is how long such a start may still reach the worker, by the sender's clock.
	Left time.Duration
}

// maxFenceLeft bounds WorkerFence.Left.
const maxFenceLeft = time.Minute

// Check returns ErrInvalidWorker, wrapped with the reason, for values out of bounds.
func (wf *WorkerFence) Check() error {
	if err := CheckName("name", string(wf.ID)); err != nil {
		return fmt.Errorf("%w: %w", ErrInvalidWorker, err)
	}
	if err := fleet.CheckAddress(wf.Address); err != nil {
		return fmt.Errorf("%w: %w", ErrInvalidWorker, err)
	}
	if wf.ID == "" || wf.Fence <= 0 || wf.Left <= 0 || wf.Left > maxFenceLeft {
		return fmt.Errorf("%w: ID %q, fencing token %d for %s", ErrInvalidWorker, wf.ID, wf.Fence, wf.Left)
	}
	return nil
}

// Outcome is how a run ended.
type Outcome string

// The outcomes of a run.
const (
	// Done means that the task succeeded.
	Done Outcome = "Done"
	// Failure means a fault of the task or of its worker.
	Failure Outcome = "Failure"
	// Stopped means that a stop request ended the run.
	Stopped Outcome = "Stopped"
	// LeaseExpired means that the worker's lease ran out.
	LeaseExpired Outcome = "Lapsed"
	// GangBroken means that another member of the gang ended.
	GangBroken Outcome = "Broken"
	// GangIncomplete means that other members of the gang did not start in time.
	GangIncomplete Outcome = "Alone"
	// UnknownOutcome means an end without a result, for a reason that this version does not know.
	UnknownOutcome Outcome = "Unknown"
)

// StartRequest starts one run of a task.
type StartRequest struct {
	Task  TaskID
	Run   Run
	Spec  string
	Fence Fence
	// Deadline is on the worker's clock (Report.Clock). A worker that receives the request later
	// refuses it.
	Deadline time.Duration
	// Checkpoint is the checkpoint from which the task resumes. It is empty for a start from the
	// beginning.
	Checkpoint string
	// Ticket is that of the policy service's permit. It is empty for a queue without a policy.
	Ticket string
}

// RenewRequest renews the lease of all runs on a worker and requests a Report.
type RenewRequest struct {
	Fence Fence
	// Deadline is on the worker's clock. Zero means none.
	Deadline time.Duration
	// AckedEnd is the highest EndedRun.Number up to which all ends are durable. The worker drops
	// the ended runs up to it.
	AckedEnd int64
	// MaxWait is how long the worker may delay its response until a run ends that is not yet
	// acknowledged.
	MaxWait time.Duration
}

// ActiveRun is one run in a worker's report.
type ActiveRun struct {
	Task TaskID
	Run  Run
	// Checkpoint is the task's latest checkpoint, or empty.
	Checkpoint string
	// Progress is in percent of the task's work, or of its startup for a long-running task, from 0 to
	// MaxProgress.
	Progress int
	// Measure is the tail latency of a latency-critical task in milliseconds, and the processor use
	// of any other task in thousandths of a core, from 0 to MaxMeasure. It covers the last half
	// second.
	Measure int64
}

// EndedRun is the end of one run in a worker's report.
type EndedRun struct {
	// Number counts the ends in one incarnation of the worker, from 1 to MaxEndNumber.
	Number  int64
	Task    TaskID
	Run     Run
	Outcome Outcome
	// Checkpoint is the checkpoint from which the next run can resume, or empty.
	Checkpoint string
}

// Report is a worker's response to a RenewRequest.
type Report struct {
	// Clock is the worker's monotonic clock at the time of the response.
	Clock time.Duration
	// Incarnation is that of the process that responded.
	Incarnation int64
	Running     []ActiveRun
	// Ended holds the ended runs that are not yet acknowledged.
	Ended []EndedRun
	// LastEnd is the highest number of an ended run, also of one that was left out. It is zero if
	// there is none.
	LastEnd int64
	// MoreEnds is set if the worker may have further ended runs, which it lists once those of Ended are
	// acknowledged.
	MoreEnds bool
	// LeftOut is the number of invalid rows and checkpoints that were left out. LeftOutReason is the
	// first reason, nil if LeftOut is zero.
	LeftOut       int
	LeftOutReason error
}

const (
	// MaxProgress is in percent.
	MaxProgress = 100
	// MaxWeight is the highest processor share of a host, in thousandths of a core.
	MaxWeight = maxMilliCores
	// MaxMeasure is the highest measure of a run: a million cores or 11 days of latency.
	MaxMeasure = maxMilliCores
	// MaxEndNumber is the highest number of an end that is accepted.
	MaxEndNumber = 1 << 40
	// MaxCheckpointBytes bounds a checkpoint, which is stored with each end of a run.
	MaxCheckpointBytes = 1 << 10
)

// LeaveOut notes that a part of the report is invalid and was left out.
func (rep *Report) LeaveOut(reason error) {
	if rep.LeftOut == 0 {
		rep.LeftOutReason = reason
	}
	rep.LeftOut++
}

// ErrInvalidReport means that a worker's report has values out of bounds.
var ErrInvalidReport = errors.New("invalid report")

// Check returns ErrInvalidReport, wrapped with the reason, for a report with values out of bounds.
func (rep *Report) Check() error {
	if !durationInRange(rep.Clock) || rep.Incarnation < 0 || rep.Incarnation > maxIncarnation {
		return fmt.Errorf("%w: clock %s, incarnation %d", ErrInvalidReport, rep.Clock, rep.Incarnation)
	}
	for ix := range rep.Running {
		rn := &rep.Running[ix]
		if rn.Run <= 0 || rn.Run > MaxRun || rn.Progress < 0 || rn.Progress > MaxProgress || rn.Measure < 0 || rn.Measure > MaxMeasure || len(rn.Checkpoint) > MaxCheckpointBytes {
			return fmt.Errorf("%w: run %d of %s", ErrInvalidReport, rn.Run, rn.Task)
		}
	}
	for ix := range rep.Ended {
		en := &rep.Ended[ix]
		if en.Number <= 0 || en.Number > rep.LastEnd || en.Run <= 0 || en.Run > MaxRun || len(en.Checkpoint) > MaxCheckpointBytes {
			return fmt.Errorf("%w: end %d of run %d of %s", ErrInvalidReport, en.Number, en.Run, en.Task)
		}
	}
	return nil
}

// Errors of requests to a worker. Test for them with errors.Is. After any of them except
// ErrNoAnswer, the request has not been and will not be carried out.
var (
	// ErrNoAnswer means that the request may have been, or may yet be, carried out.
	ErrNoAnswer = errors.New("worker did not answer")
	// ErrNotSent means that the request did not reach the worker.
	ErrNotSent = errors.New("request not sent to worker")
	// ErrStaleFence means that the worker has seen a higher fencing token.
	ErrStaleFence = errors.New("worker has seen a higher fencing token")
	// ErrStaleRun means that the run is not higher than one of the task that ended on the worker.
	ErrStaleRun = errors.New("run is not higher than one that ended on the worker")
	// ErrDeadlinePassed means that the worker received the request after its deadline.
	ErrDeadlinePassed = errors.New("request reached worker after its deadline")
	// ErrNoCapacity means that the worker has not enough free capacity.
	ErrNoCapacity = errors.New("worker has not enough free capacity")
	// ErrPermitRefused means that the permit of the policy service is missing or has expired.
	ErrPermitRefused = errors.New("permit of the policy service is missing or has expired")
	// ErrOtherIncarnation means that another incarnation of the worker received the request.
	ErrOtherIncarnation = errors.New("another incarnation of the worker answered")
	// ErrUnhealthy means that the worker refuses requests for now.
	ErrUnhealthy = errors.New("worker refuses requests for now")
	// ErrRefused means that the worker rejected the request as invalid or for an unknown reason.
	ErrRefused = errors.New("worker rejected the request")
)
