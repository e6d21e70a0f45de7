package assembler_test

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/currantrouter/currantrouter/internal/fleet/modeler"
	"github.com/currantrouter/currantrouter/internal/provider/emulator"
	"github.com/currantrouter/currantrouter/internal/provider/storer"
	"github.com/currantrouter/currantrouter/internal/provider/supervisor"
)

// gate controls the access of one process to the platform.
type gate struct {
	mu sync.Mutex
	// storeCut is set while the store is unreachable, killed once the process has crashed.
	storeCut, killed bool
	// paused is set while the process is paused. Calls then wait before they are sent, and answers
	// wait before they are read, until resumed is closed.
	paused  bool
	resumed chan struct{}
}

func (gt *gate) kill() {
	gt.mu.Lock()
	defer gt.mu.Unlock()
	gt.killed = true
}

// setStoreCut cuts or restores the access to the store.
func (gt *gate) setStoreCut(cut bool) {
	gt.mu.Lock()
	defer gt.mu.Unlock()
	gt.storeCut = cut
}

func (gt *gate) setPaused(paused bool) {
	gt.mu.Lock()
	defer gt.mu.Unlock()
	if gt.paused && !paused {
		close(gt.resumed)
		gt.resumed = make(chan struct{})
	}
	gt.paused = paused
}

// wait waits while the process is paused. It returns an error if the call must not proceed.
func (gt *gate) wait(store bool) error {
	gt.mu.Lock()
	paused, resumed := gt.paused, gt.resumed
	gt.mu.Unlock()
	if paused {
		<-resumed
	}
	gt.mu.Lock()
	defer gt.mu.Unlock()
	if gt.killed || gt.storeCut && store {
		return storer.ErrUnavailable
	}
	return nil
}

// callThrough makes a call through a gate. If the context has ended during a pause, the answer is
// lost. Calls that do not go to the store fail with the error lost.
func callThrough[T any](ctx context.Context, gt *gate, store bool, lost error, call func() (T, error)) (T, error) {
	var none T
	if err := gt.wait(store); err != nil {
		if !store {
			err = fmt.Errorf("%w: %w", lost, err)
		}
		return none, err
	}
	got, err := call()
	_ = gt.wait(store)
	if err == nil && ctx.Err() != nil {
		return none, fmt.Errorf("%w: %w", lost, ctx.Err())
	}
	return got, err
}

// gatedStore is the store behind the gate of a process.
type gatedStore struct {
	*emulator.Store
	gate
}

func (gs *gatedStore) Get(ctx context.Context, key string) (storer.Entry, error) {
	return callThrough(ctx, &gs.gate, true, storer.ErrUnavailable, func() (storer.Entry, error) { return gs.Store.Get(ctx, key) })
}

func (gs *gatedStore) Put(ctx context.Context, key string, value []byte, expected int64) (int64, error) {
	return callThrough(ctx, &gs.gate, true, storer.ErrResultUnknown, func() (int64, error) { return gs.Store.Put(ctx, key, value, expected) })
}

func (gs *gatedStore) Delete(ctx context.Context, key string, expected int64) error {
	_, err := callThrough(ctx, &gs.gate, true, storer.ErrResultUnknown, func() (any, error) { return nil, gs.Store.Delete(ctx, key, expected) })
	return err
}

func (gs *gatedStore) List(ctx context.Context, prefix, after string, limit int) ([]storer.Entry, error) {
	return callThrough(ctx, &gs.gate, true, storer.ErrUnavailable, func() ([]storer.Entry, error) { return gs.Store.List(ctx, prefix, after, limit) })
}

func (gs *gatedStore) Wait(ctx context.Context, prefix string, after int64) ([]storer.Entry, int64, error) {
	rev := after
	ens, err := callThrough(ctx, &gs.gate, true, storer.ErrUnavailable, func() (ens []storer.Entry, err error) {
		ens, rev, err = gs.Store.Wait(ctx, prefix, after)
		return ens, err
	})
	return ens, rev, err
}

// gatedWorkers are the workers behind the gate of a process. A killed process sends nothing.
type gatedWorkers struct {
	*emulator.Workers
	gate *gate
}

func (gw *gatedWorkers) do(ctx context.Context, call func() error) error {
	_, err := callThrough(ctx, gw.gate, false, supervisor.ErrResultUnknown, func() (any, error) { return nil, call() })
	return err
}

func (gw *gatedWorkers) Start(ctx context.Context, wk supervisor.Worker, cmd supervisor.StartCommand) error {
	return gw.do(ctx, func() error { return gw.Workers.Start(ctx, wk, cmd) })
}

func (gw *gatedWorkers) Stop(ctx context.Context, wk supervisor.Worker, ep modeler.Epoch, id supervisor.Attempt) error {
	return gw.do(ctx, func() error { return gw.Workers.Stop(ctx, wk, ep, id) })
}

func (gw *gatedWorkers) Checkpoint(ctx context.Context, wk supervisor.Worker, ep modeler.Epoch, id supervisor.Attempt) error {
	return gw.do(ctx, func() error { return gw.Workers.Checkpoint(ctx, wk, ep, id) })
}

func (gw *gatedWorkers) Throttle(ctx context.Context, wk supervisor.Worker, ep modeler.Epoch, id supervisor.Attempt, share float64) error {
	return gw.do(ctx, func() error { return gw.Workers.Throttle(ctx, wk, ep, id, share) })
}

func (gw *gatedWorkers) Forget(ctx context.Context, wk supervisor.Worker, ep modeler.Epoch, ids []supervisor.Attempt) error {
	return gw.do(ctx, func() error { return gw.Workers.Forget(ctx, wk, ep, ids) })
}

func (gw *gatedWorkers) Renew(ctx context.Context, wk supervisor.Worker, ep modeler.Epoch, term time.Duration, ids []supervisor.Attempt) ([]supervisor.Attempt, error) {
	return callThrough(ctx, gw.gate, false, supervisor.ErrResultUnknown, func() ([]supervisor.Attempt, error) {
		return gw.Workers.Renew(ctx, wk, ep, term, ids)
	})
}

func (gw *gatedWorkers) Report(ctx context.Context, wk supervisor.Worker) (supervisor.WorkerReport, error) {
	return callThrough(ctx, gw.gate, false, supervisor.ErrResultUnknown, func() (supervisor.WorkerReport, error) {
		return gw.Workers.Report(ctx, wk)
	})
}
