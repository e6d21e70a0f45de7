// Package supervisor is the client of the platform's workers, which run tasks under leases.
package supervisor

import (
	"errors"
	"fmt"
	"net/netip"
	"time"

	"github.com/currantrouter/currantrouter/internal/fleet/modeler"
)

// Errors of a worker. Callers test for them with errors.Is.
var (
	// ErrRefused means that the worker did not and will not execute the command.
	ErrRefused = errors.New("worker refused the command")
	// ErrUnreachable means that the command did not reach the worker. It always comes with
	// ErrRefused.
	ErrUnreachable = errors.New("worker unreachable")
	// ErrResultUnknown means that the answer was lost. The command may have taken effect.
	ErrResultUnknown = errors.New("result of the command is unknown")
	// ErrNoAttempt means that the worker does not run the attempt that the command names.
	ErrNoAttempt = errors.New("worker does not run the attempt")
)

// Resources is an amount of the resources of a worker.
type Resources struct {
	Millicores   int64
	MemoryBytes  int64
	Accelerators int64
}

// Worker is a host that runs tasks.
type Worker struct {
	Name       modeler.WorkerName
	DataCentre modeler.DataCentreName
	Rack       string
	// Address is the address of the worker's interface. A host can be called at it.
	Address  netip.AddrPort
	Capacity Resources
	// Leaving is set once the platform drains the worker before its removal.
	Leaving bool
}

// Bounds of the capacity of a worker, far above any use and low enough that sums over all workers stay
// within their type.
const (
	maxMillicores   = 1_000_000_000
	maxMemoryBytes  = 1 << 50
	maxAccelerators = 1_000_000
)

// ErrInvalidWorker means that a listed worker cannot be called or has values out of bounds.
var ErrInvalidWorker = errors.New("invalid worker")

// Check returns ErrInvalidWorker, wrapped with the reason, for a worker that cannot be called or has
// values out of bounds.
func (wk *Worker) Check() error {
	if wk.Name == "" {
		return fmt.Errorf("%w: no name", ErrInvalidWorker)
	}
	if err := modeler.CheckAddress(wk.Address); err != nil {
		return fmt.Errorf("%w: %w", ErrInvalidWorker, err)
	}
	rs := wk.Capacity
	if rs.Millicores < 0 || rs.Millicores > maxMillicores || rs.MemoryBytes < 0 || rs.MemoryBytes > maxMemoryBytes || rs.Accelerators < 0 || rs.Accelerators > maxAccelerators {
		return fmt.Errorf("%w: capacity %+v", ErrInvalidWorker, rs)
	}
	return nil
}

// Attempt identifies one execution of a task.
type Attempt struct {
	Job  string
	Task int
	// Number counts the executions of the task, from 1.
	Number int
}

// StartCommand asks a worker to begin an attempt.
type StartCommand struct {
	Attempt Attempt
	// Epoch is the epoch of the sender's leadership. A worker that checks epochs refuses
	// one lower than the highest that it has seen.
	Epoch modeler.Epoch
	// StartBefore is the wall-clock time after which the worker must refuse the command.
	StartBefore time.Time
	// LeaseTerm is the time after which the worker ends the attempt unless it is renewed.
	LeaseTerm   time.Duration
	Reservation Resources
	// Kind groups jobs of the same program for estimates.
	Kind string
	// Checkpoint is the checkpoint to resume from, empty for a start from the beginning.
	Checkpoint string
	// LatencyCritical tasks are protected from interference by batch tasks.
	LatencyCritical bool
}

// AttemptState is the state of an attempt on a worker.
type AttemptState string

// The states of an attempt on a worker.
const (
	AttemptRunning      AttemptState = "Running"
	AttemptDone         AttemptState = "Done"
	AttemptFailed       AttemptState = "Failed"
	AttemptStopped      AttemptState = "Stopped"
	AttemptLeaseExpired AttemptState = "LeaseExpired"
)

// AttemptReport is a worker's report on one attempt.
type AttemptReport struct {
	Attempt Attempt
	State   AttemptState
	Kind    string
	// Usage is the measured use, zero until the first measurement.
	Usage Resources
	// Checkpoint names the last complete checkpoint, empty when there is none.
	Checkpoint string
	// Reason is set for a failed attempt.
	Reason string
	// Slowdown is the measured run time relative to an idle worker, at least 1, zero when not
	// yet measured.
	Slowdown float64
	// Started is the worker's wall-clock time of the start.
	Started time.Time
}

// WorkerReport is a worker's report on its attempts. Their usage lags behind by the platform's report
// interval.
type WorkerReport struct {
	Worker modeler.WorkerName
	// Measured is the worker's wall-clock time of the measurement.
	Measured time.Time
	// Running lists the attempts in progress, without lag.
	Running []AttemptReport
	// Ended lists attempts that ended and were not yet acknowledged with Forget.
	Ended []AttemptReport
}
