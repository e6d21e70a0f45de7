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
	// Born is the start of the worker's present life, in milliseconds since 1970.
	Born     int64
	Draining bool
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
	// Lapsed follows the end of the worker's lease.
	Lapsed Outcome = "Lapsed"
	// Broken means that another member of the gang ended.
	Broken Outcome = "Broken"
	// Alone means that other members of the gang did not come in time.
	Alone Outcome = "Alone"
)

// StartOrder starts one run of a task.
type StartOrder struct {
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

// RenewOrder renews the lease of everything that runs on a worker and asks for its lists.
type RenewOrder struct {
	Epoch Epoch
	// Deadline is on the worker's clock, zero for none.
	Deadline time.Duration
	// Noted is the number of the last end that is durable. The worker forgets ends up to it.
	Noted int64
	// Wait is how long the answer may wait for an end that is not noted.
	Wait time.Duration
}

// ActiveRun is one run in a worker's report.
type ActiveRun struct {
	Task       TaskID
	Run        Run
	Checkpoint string
	// Progress is in percent of the task's work, or of its startup for a long-running task.
	Progress int
	// Measure is the tail latency in milliseconds of a serving task, and else the processors in
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
	// Born is that of the life that answered.
	Born    int64
	Running []ActiveRun
	Ended   []EndedRun
}

// Errors of orders to a worker. Callers test for them with errors.Is. An order with any of them
// except ErrNoAnswer has not been and will not be carried out.
var (
	// ErrNoAnswer means that the order may have been, or may yet be, carried out.
	ErrNoAnswer = errors.New("worker did not answer")
	// ErrNotSent means that the order did not reach the worker.
	ErrNotSent = errors.New("order not sent")
	// ErrDeposed means that the worker has seen a higher epoch.
	ErrDeposed = errors.New("worker has seen a higher epoch")
	// ErrOldRun means that the run is not higher than one that ended on the worker.
	ErrOldRun = errors.New("run is too low")
	// ErrLate means that the order's deadline had passed.
	ErrLate = errors.New("order arrived after its deadline")
	// ErrNoRoom means that the worker has not enough room.
	ErrNoRoom = errors.New("worker has no room")
	// ErrTicket means that the permission of the policy service is missing or has expired.
	ErrTicket = errors.New("permission refused")
	// ErrOtherLife means that another life of the worker got the order.
	ErrOtherLife = errors.New("another life of the worker answered")
	// ErrUnhealthy means that the worker refuses orders for now.
	ErrUnhealthy = errors.New("worker refuses orders")
	// ErrRefused means that the worker cannot understand the order.
	ErrRefused = errors.New("worker rejected the order")
)
