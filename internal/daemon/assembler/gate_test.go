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

// gate is the way of one process to the platform.
type gate struct {
	mu sync.Mutex
	// cut states that the store is out of reach, dead that the process has ended.
	cut, dead bool
	// held states that the process is paused: its calls wait before they are sent, and their answers
	// wait before they are read, until open is closed.
	held bool
	open chan struct{}
}

func (gt *gate) close() {
	gt.mu.Lock()
	defer gt.mu.Unlock()
	gt.dead = true
}

// set cuts the process off from the store.
func (gt *gate) set(cut bool) {
	gt.mu.Lock()
	defer gt.mu.Unlock()
	gt.cut = cut
}

func (gt *gate) hold(held bool) {
	gt.mu.Lock()
	defer gt.mu.Unlock()
	if gt.held && !held {
		close(gt.open)
		gt.open = make(chan struct{})
	}
	gt.held = held
}

// wait returns once the process runs, and tells whether the call may go on.
func (gt *gate) wait(store bool) error {
	gt.mu.Lock()
	held, open := gt.held, gt.open
	gt.mu.Unlock()
	if held {
		<-open
	}
	gt.mu.Lock()
	defer gt.mu.Unlock()
	if gt.dead || gt.cut && store {
		return storer.ErrUnavailable
	}
	return nil
}

// pass makes one call through a gate. After a pause the answer counts as lost if the context has
// ended meanwhile.
func pass[T any](ctx context.Context, gt *gate, store bool, lost error, call func() (T, error)) (T, error) {
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

// gatedStore is the store as one process reaches it.
type gatedStore struct {
	*emulator.Store
	gate
}

func (gs *gatedStore) Get(ctx context.Context, key string) (storer.Entry, error) {
	return pass(ctx, &gs.gate, true, storer.ErrUnavailable, func() (storer.Entry, error) { return gs.Store.Get(ctx, key) })
}

func (gs *gatedStore) Put(ctx context.Context, key string, value []byte, expected int64) (int64, error) {
	return pass(ctx, &gs.gate, true, storer.ErrResultUnknown, func() (int64, error) { return gs.Store.Put(ctx, key, value, expected) })
}

func (gs *gatedStore) Delete(ctx context.Context, key string, expected int64) error {
	_, err := pass(ctx, &gs.gate, true, storer.ErrResultUnknown, func() (any, error) { return nil, gs.Store.Delete(ctx, key, expected) })
	return err
}

func (gs *gatedStore) List(ctx context.Context, prefix, after string, limit int) ([]storer.Entry, error) {
	return pass(ctx, &gs.gate, true, storer.ErrUnavailable, func() ([]storer.Entry, error) { return gs.Store.List(ctx, prefix, after, limit) })
}

func (gs *gatedStore) Wait(ctx context.Context, prefix string, after int64) ([]storer.Entry, int64, error) {
	rev := after
	ens, err := pass(ctx, &gs.gate, true, storer.ErrUnavailable, func() (ens []storer.Entry, err error) {
		ens, rev, err = gs.Store.Wait(ctx, prefix, after)
		return ens, err
	})
	return ens, rev, err
}

// gatedWorkers are the workers as one process reaches them. A killed process sends nothing.
type gatedWorkers struct {
	*emulator.Workers
	gate *gate
}

func (gw *gatedWorkers) do(ctx context.Context, call func() error) error {
	_, err := pass(ctx, gw.gate, false, supervisor.ErrResultUnknown, func() (any, error) { return nil, call() })
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
	return pass(ctx, gw.gate, false, supervisor.ErrResultUnknown, func() ([]supervisor.Attempt, error) {
		return gw.Workers.Renew(ctx, wk, ep, term, ids)
	})
}

func (gw *gatedWorkers) Report(ctx context.Context, wk supervisor.Worker) (supervisor.WorkerReport, error) {
	return pass(ctx, gw.gate, false, supervisor.ErrResultUnknown, func() (supervisor.WorkerReport, error) {
		return gw.Workers.Report(ctx, wk)
	})
}
