package modeler

import (
	"errors"
	"net/netip"
	"slices"
	"time"

	fleet "github.com/currantrouter/currantrouter/internal/fleet/modeler"
)

// Worker is what a worker says of itself in the registry.
type Worker struct {
	ID         WorkerID
	Pool       PoolName
	DataCentre fleet.DataCentreName
	Address    netip.AddrPort
	// Incarnation is when the worker's process started, in milliseconds since 1970. It tells a
	// restarted worker from its predecessor with the same ID.
	Incarnation int64 `json:"Born"`
	Draining    bool
	// Remaining is the least time for which a draining worker goes on.
	Remaining time.Duration
	Capacity  Resources
	Labels    []string
	// Rack is empty when unknown.
	Rack string
}

// HasLabel reports whether the worker has a label. Every worker has the empty one.
func (wk *Worker) HasLabel(label string) bool {
	return label == "" || slices.Contains(wk.Labels, label)
}

// Outcome is how a run ended.
type Outcome string

// The outcomes of a run.
const (
	// Done is the success of the task.
	Done Outcome = "Done"
	// Failure is a fault of the task or of its worker.
	Failure Outcome = "Failure"
	// Stopped follows a stop order.
	Stopped Outcome = "Stopped"
	// LeaseExpired follows the end of the worker's lease.
	LeaseExpired Outcome = "Lapsed"
	// GangBroken means that another member of the gang ended.
	GangBroken Outcome = "Broken"
	// GangIncomplete means that other members of the gang did not start in time.
	GangIncomplete Outcome = "Alone"
)

// StartRequest starts one run of a task.
type StartRequest struct {
	Task  TaskID
	Run   Run
	Spec  string
	Epoch Epoch
	// Deadline is on the worker's clock. A worker that gets the order later refuses it.
	Deadline time.Duration
	// Checkpoint resumes the task. It is empty for a start from the beginning.
	Checkpoint string
	// Ticket is the policy service's permission, or empty.
	Ticket string
}

// RenewRequest renews the lease of everything that runs on a worker and asks for its lists.
type RenewRequest struct {
	Epoch Epoch
	// Deadline is on the worker's clock, zero for none.
	Deadline time.Duration
	// AckedEnd is the number of the last end that is durable. The worker forgets ends up to it.
	AckedEnd int64
	// MaxWait is how long the answer may wait for an end that is not yet acknowledged.
	MaxWait time.Duration
}

// ActiveRun is one run in a worker's report.
type ActiveRun struct {
	Task       TaskID
	Run        Run
	Checkpoint string
	// Progress is in percent of the task's work, or of its startup for a long-running task.
	Progress int
	// Measure is the tail latency in milliseconds of a latency-critical task, and else the processors in
	// use in thousandths of a core. It covers the last half second.
	Measure int64
}

// EndedRun is one end in a worker's report.
type EndedRun struct {
	// Number rises by 1 in each life of a worker and starts at 1.
	Number     int64
	Task       TaskID
	Run        Run
	Outcome    Outcome
	Checkpoint string
}

// Report is the answer to a renewal.
type Report struct {
	// Clock is the worker's steady clock when it answered.
	Clock time.Duration
	// Incarnation is that of the process that answered.
	Incarnation int64
	Running     []ActiveRun
	Ended       []EndedRun
}

// Errors of orders to a worker. Callers test for them with errors.Is. An order with any of them
// except ErrNoAnswer has not been and will not be carried out.
var (
	// ErrNoAnswer means that the order may have been, or may yet be, carried out.
	ErrNoAnswer = errors.New("worker did not answer")
	// ErrNotSent means that the order did not reach the worker.
	ErrNotSent = errors.New("order not sent")
	// ErrStaleEpoch means that the worker has seen a higher epoch.
	ErrStaleEpoch = errors.New("worker has seen a higher epoch")
	// ErrStaleRun means that the run is not higher than one that ended on the worker.
	ErrStaleRun = errors.New("run is too low")
	// ErrDeadlinePassed means that the order's deadline had passed.
	ErrDeadlinePassed = errors.New("order arrived after its deadline")
	// ErrNoCapacity means that the worker has not enough free capacity.
	ErrNoCapacity = errors.New("worker has no room")
	// ErrPermitRefused means that the permission of the policy service is missing or has expired.
	ErrPermitRefused = errors.New("permission refused")
	// ErrOtherIncarnation means that another incarnation of the worker got the request.
	ErrOtherIncarnation = errors.New("another life of the worker answered")
	// ErrUnhealthy means that the worker refuses orders for now.
	ErrUnhealthy = errors.New("worker refuses orders")
	// ErrRefused means that the worker cannot understand the order.
	ErrRefused = errors.New("worker rejected the order")
)
