package emulator

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/currantrouter/currantrouter/internal/fleet/modeler"
	"github.com/currantrouter/currantrouter/internal/provider/supervisor"
)

// Behaviour sets how the tasks on emulated workers behave. A nil function has the default that its
// field states.
type Behaviour struct {
	// RunTime returns the time that an attempt takes on an idle worker, from its beginning. The
	// default is 10 s. A time of zero or less means that the attempt runs until it is stopped.
	RunTime func(supervisor.StartCommand) time.Duration
	// Outcome returns why the attempt fails at its end, empty for success. By default all
	// attempts succeed.
	Outcome func(modeler.WorkerName, supervisor.StartCommand) string
	// Usage returns what an attempt uses. The default is its reservation.
	Usage func(supervisor.StartCommand) supervisor.Resources
	// Slowdown returns the interference of one attempt of the kind other with one of the kind on the
	// same worker, as a factor of its run time, at a load of the worker's processors from 0 to 1.
	// The default is 1.
	Slowdown func(kind, other string, load float64) float64
	// ReportLag is the age of the usage in a report. Attempts younger than that show no usage.
	ReportLag time.Duration
	// CheckpointTime is the time from the command to the complete checkpoint.
	CheckpointTime time.Duration
	// GuardsOff makes workers accept commands of an old epoch and work above their capacity.
	GuardsOff bool
}

// Workers emulates the hosts that run tasks. It is safe for concurrent use.
type Workers struct {
	faults    *Faults
	behaviour Behaviour

	mu      sync.Mutex
	workers map[modeler.WorkerName]*worker
	// running has the attempts of each task in state AttemptRunning and their workers.
	running map[Task]map[*attempt]*worker
	oracle  oracle
}

// worker is one emulated host. All fields are guarded by Workers.mu.
type worker struct {
	spec supervisor.Worker
	// epoch is the highest epoch of any command.
	epoch    modeler.Epoch
	attempts map[supervisor.Attempt]*attempt
	// dead is set by Kill. A dead worker is unreachable and runs nothing.
	dead bool
	// paused is closed by Resume, nil while the worker is not paused.
	paused chan struct{}
}

// NewWorkers returns an emulation without workers. The faults may be nil.
func NewWorkers(fts *Faults, bh Behaviour) *Workers {
	if fts == nil {
		fts = new(Faults)
	}
	return &Workers{
		faults:    fts,
		behaviour: bh.withDefaults(),
		workers:   map[modeler.WorkerName]*worker{},
		running:   map[Task]map[*attempt]*worker{},
		oracle:    newOracle(),
	}
}

func (bh Behaviour) withDefaults() Behaviour {
	if bh.RunTime == nil {
		bh.RunTime = func(supervisor.StartCommand) time.Duration { return 10 * time.Second }
	}
	if bh.Outcome == nil {
		bh.Outcome = func(modeler.WorkerName, supervisor.StartCommand) string { return "" }
	}
	if bh.Usage == nil {
		bh.Usage = func(cmd supervisor.StartCommand) supervisor.Resources { return cmd.Reservation }
	}
	if bh.Slowdown == nil {
		bh.Slowdown = func(string, string, float64) float64 { return 1 }
	}
	return bh
}

// Add adds idle workers. They replace those of the same name.
func (wks *Workers) Add(specs ...supervisor.Worker) {
	wks.mu.Lock()
	defer wks.mu.Unlock()
	for _, spec := range specs {
		wks.workers[spec.Name] = &worker{spec: spec, attempts: map[supervisor.Attempt]*attempt{}}
	}
}

func (wks *Workers) has(name modeler.WorkerName) bool {
	wks.mu.Lock()
	defer wks.mu.Unlock()
	return wks.workers[name] != nil
}

// Kill makes a worker unreachable and ends its attempts, as a crash does.
func (wks *Workers) Kill(name modeler.WorkerName) {
	wks.mu.Lock()
	defer wks.mu.Unlock()
	wk := wks.workers[name]
	wk.dead = true
	for _, at := range wk.attempts {
		wks.removeRunning(at, supervisor.AttemptStopped)
	}
}

// Pause stops a worker and its attempts from making progress. Calls to it wait until Resume.
func (wks *Workers) Pause(name modeler.WorkerName) {
	wks.mu.Lock()
	defer wks.mu.Unlock()
	wk := wks.workers[name]
	if wk.paused != nil {
		return
	}
	wk.updateProgress()
	wk.paused = make(chan struct{})
	wks.reschedule(wk)
}

// Resume continues a paused worker. Attempts whose lease has expired meanwhile end at once.
func (wks *Workers) Resume(name modeler.WorkerName) {
	wks.mu.Lock()
	defer wks.mu.Unlock()
	wk := wks.workers[name]
	if wk.paused == nil {
		return
	}
	wk.updateProgress()
	close(wk.paused)
	wk.paused = nil
	wks.expireOverdue(wk)
	wks.reschedule(wk)
}

// Start begins an attempt. Errors: ErrRefused when it was not begun, ErrResultUnknown.
func (wks *Workers) Start(ctx context.Context, target supervisor.Worker, cmd supervisor.StartCommand) error {
	return wks.command(ctx, target.Name, "Start", cmd.Epoch, func(wk *worker) error {
		return wks.startAttempt(wk, cmd)
	})
}

// Stop ends an attempt. Errors: ErrNoAttempt, ErrRefused, ErrResultUnknown.
func (wks *Workers) Stop(ctx context.Context, target supervisor.Worker, ep modeler.Epoch, id supervisor.Attempt) error {
	return wks.onAttempt(ctx, target.Name, "Stop", ep, id, func(wk *worker, at *attempt) {
		wks.endAttempt(wk, at, supervisor.AttemptStopped, "")
		wks.oracle.recordStop(id)
	})
}

// Checkpoint asks for a checkpoint, which a later report names. Errors: ErrNoAttempt, ErrRefused,
// ErrResultUnknown.
func (wks *Workers) Checkpoint(ctx context.Context, target supervisor.Worker, ep modeler.Epoch, id supervisor.Attempt) error {
	return wks.onAttempt(ctx, target.Name, "Checkpoint", ep, id, func(wk *worker, at *attempt) {
		wks.beginCheckpoint(wk, at)
	})
}

// Throttle limits an attempt to a share of its processors, above 0 and at most 1. Errors:
// ErrNoAttempt, ErrRefused, ErrResultUnknown.
func (wks *Workers) Throttle(ctx context.Context, target supervisor.Worker, ep modeler.Epoch, id supervisor.Attempt, share float64) error {
	if share <= 0 || share > 1 {
		return fmt.Errorf("share %v: %w", share, supervisor.ErrRefused)
	}
	return wks.onAttempt(ctx, target.Name, "Throttle", ep, id, func(wk *worker, at *attempt) {
		wk.updateProgress()
		at.share = share
		wks.reschedule(wk)
	})
}

// Renew extends the leases of attempts to the term from now, and returns those that the worker
// does not run. Errors: ErrRefused, ErrResultUnknown.
func (wks *Workers) Renew(ctx context.Context, target supervisor.Worker, ep modeler.Epoch, term time.Duration, ids []supervisor.Attempt) ([]supervisor.Attempt, error) {
	var missing []supervisor.Attempt
	err := wks.command(ctx, target.Name, "Renew", ep, func(wk *worker) error {
		for _, id := range ids {
			at, ok := wk.attempts[id]
			if !ok || at.state != supervisor.AttemptRunning {
				missing = append(missing, id)
				continue
			}
			at.leaseEnd = time.Now().Add(term)
		}
		wks.reschedule(wk)
		return nil
	})
	return missing, err
}

// Report returns the attempts and their usage, which lags. Errors: ErrResultUnknown.
func (wks *Workers) Report(ctx context.Context, target supervisor.Worker) (supervisor.WorkerReport, error) {
	var rep supervisor.WorkerReport
	err := wks.command(ctx, target.Name, "Report", 0, func(wk *worker) error {
		rep = wks.report(wk)
		return nil
	})
	return rep, err
}

// Forget drops ended attempts from the reports. Attempts that run are kept. Errors: ErrRefused,
// ErrResultUnknown.
func (wks *Workers) Forget(ctx context.Context, target supervisor.Worker, ep modeler.Epoch, ids []supervisor.Attempt) error {
	return wks.command(ctx, target.Name, "Forget", ep, func(wk *worker) error {
		for _, id := range ids {
			if at, ok := wk.attempts[id]; ok && at.state != supervisor.AttemptRunning {
				delete(wk.attempts, id)
			}
		}
		return nil
	})
}

func (wks *Workers) onAttempt(ctx context.Context, name modeler.WorkerName, operation string, ep modeler.Epoch, id supervisor.Attempt, execute func(*worker, *attempt)) error {
	return wks.command(ctx, name, operation, ep, func(wk *worker) error {
		at, ok := wk.attempts[id]
		if !ok || at.state != supervisor.AttemptRunning {
			return supervisor.ErrNoAttempt
		}
		execute(wk, at)
		return nil
	})
}

// command executes one call on a worker under the faults. The epoch is zero for calls without one.
func (wks *Workers) command(ctx context.Context, name modeler.WorkerName, operation string, ep modeler.Epoch, execute func(*worker) error) error {
	sw, faulty := wks.faults.match(PartWorkers, operation, string(name), Unavailable, Slow, AnswerLost, RequestLost)
	if faulty && sw.Fault == Unavailable {
		return fmt.Errorf("%w: %w", supervisor.ErrRefused, supervisor.ErrUnreachable)
	}
	if faulty && sw.Fault == RequestLost {
		return supervisor.ErrResultUnknown
	}
	if faulty && sw.Fault == Slow {
		if err := sleep(ctx, sw.Delay); err != nil {
			return fmt.Errorf("%w: %w", supervisor.ErrResultUnknown, err)
		}
	}
	err := wks.execute(ctx, name, ep, execute)
	if faulty && sw.Fault == AnswerLost {
		return supervisor.ErrResultUnknown
	}
	return err
}

func (wks *Workers) execute(ctx context.Context, name modeler.WorkerName, ep modeler.Epoch, execute func(*worker) error) error {
	wks.mu.Lock()
	defer wks.mu.Unlock()
	wk, ok := wks.workers[name]
	for ok && wk.paused != nil {
		resumed := wk.paused
		wks.mu.Unlock()
		err := await(ctx, resumed)
		wks.mu.Lock()
		if err != nil {
			return fmt.Errorf("%w: %w", supervisor.ErrResultUnknown, err)
		}
	}
	if !ok || wk.dead {
		// A dead worker refuses connections, so that no command reaches it.
		return fmt.Errorf("%w: %w", supervisor.ErrRefused, supervisor.ErrUnreachable)
	}
	if ep != 0 && ep < wk.epoch && !wks.behaviour.GuardsOff {
		return fmt.Errorf("epoch %d is older than %d: %w", ep, wk.epoch, supervisor.ErrRefused)
	}
	wk.epoch = max(wk.epoch, ep)
	wks.expireOverdue(wk)
	return execute(wk)
}

func await(ctx context.Context, done <-chan struct{}) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-done:
		return nil
	}
}
