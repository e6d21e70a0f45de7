package assembler

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/currantrouter/currantrouter/internal/config/checker"
	"github.com/currantrouter/currantrouter/internal/fleet/modeler"
	"github.com/currantrouter/currantrouter/internal/operator/server"
	"github.com/currantrouter/currantrouter/internal/provider/storer"
	"github.com/currantrouter/currantrouter/internal/provider/supervisor"
	"github.com/currantrouter/currantrouter/internal/telemetry/logger"
)

const (
	// maxDrainAttempts limits the attempts of a drain that conflicts with other changes of the
	// configuration.
	maxDrainAttempts = 8
	// drainRetryInterval is the longest wait before the next attempt. With maxDrainAttempts it
	// exceeds the 2 s in which a change made at another host is in force here.
	drainRetryInterval = 500 * time.Millisecond
)

// Drain implements server.Fleet. It changes the shared configuration, so that the drain reaches all
// hosts and lasts until an operator withdraws it.
func (fb fleetBackend) Drain(ctx context.Context, dr server.Drain) error {
	if dr.Kind == "Worker" && !dr.Undo {
		if err := fb.requireWorker(ctx, modeler.WorkerName(dr.Name)); err != nil {
			return err
		}
	}
	var err error
	for range maxDrainAttempts {
		changed := fb.dm.configs.Changed()
		if err = fb.markLeaving(ctx, dr); !errors.Is(err, storer.ErrConflict) {
			return err
		}
		select {
		case <-changed:
		case <-time.After(drainRetryInterval):
		case <-ctx.Done():
			return err
		}
	}
	return err
}

// markLeaving sets or clears the mark in the configuration. Errors: server.ErrNotFound for an
// unknown name.
func (fb fleetBackend) markLeaving(ctx context.Context, dr server.Drain) error {
	text, rev := fb.dm.configs.Document()
	next, err := checker.MarkLeaving(text, dr.Kind, dr.Name, !dr.Undo)
	if errors.Is(err, checker.ErrNoSection) {
		return fmt.Errorf("%w: %w", server.ErrNotFound, err)
	}
	if err != nil || bytes.Equal(text, next) {
		return err
	}
	_, err = configBackend(fb).Put(ctx, next, rev)
	return err
}

// requireWorker checks that the platform's list has the worker, since the configuration does not
// list workers.
func (fb fleetBackend) requireWorker(ctx context.Context, name modeler.WorkerName) error {
	ctx, cancel := context.WithTimeout(ctx, fb.dm.settings.Limits.StoreTimeout)
	defer cancel()
	all, err := fb.dm.platform.Hosts.Workers(ctx)
	if err != nil {
		return fmt.Errorf("%w: list of workers: %w", storer.ErrUnavailable, err)
	}
	if !slices.ContainsFunc(all, func(wk supervisor.Worker) bool { return wk.Name == name }) {
		return fmt.Errorf("worker %s: %w", name, server.ErrNotFound)
	}
	return nil
}

// drainState is the state of an operator's drain of this host.
type drainState struct {
	// active is set while the configuration marks this host as leaving.
	active atomic.Bool

	mu sync.Mutex
	// disabled is set once the process itself drains, which cannot be withdrawn.
	disabled bool
	// refuseTimer ends the intake when it fires. It is nil until the first drain.
	refuseTimer *time.Timer
}

// disable makes later changes of the configuration have no effect on the drain.
func (ds *drainState) disable() {
	ds.mu.Lock()
	defer ds.mu.Unlock()
	ds.disabled = true
	if ds.refuseTimer != nil {
		ds.refuseTimer.Stop()
	}
}

// applyDrain begins or withdraws an operator's drain of this host. Readiness fails and peers are
// notified immediately. Calls are refused only after refusalDelay, when the balancer and the peers
// no longer send any.
func (dm *Daemon) applyDrain(leaving bool) {
	ds := &dm.operatorDrain
	ds.mu.Lock()
	defer ds.mu.Unlock()
	if ds.disabled || ds.active.Load() == leaving {
		return
	}
	ds.active.Store(leaving)
	if !leaving {
		ds.refuseTimer.Stop()
		dm.forwarder.SetPaused(false)
		dm.tracker.ClearLeaving()
		logger.Log(dm.log, logger.HostDrainWithdrawn)
		return
	}
	dm.tracker.SetLeaving()
	ds.refuseTimer = time.AfterFunc(refusalDelay, func() {
		ds.mu.Lock()
		defer ds.mu.Unlock()
		dm.forwarder.SetPaused(ds.active.Load())
	})
	logger.Log(dm.log, logger.HostDrained)
}

// markLeavingWorkers returns the workers, with those marked as leaving that the configuration drains.
func markLeavingWorkers(wks []supervisor.Worker, cfg *modeler.Configuration) []supervisor.Worker {
	if cfg == nil || len(cfg.LeavingWorkers) == 0 {
		return wks
	}
	drained := make(map[modeler.WorkerName]bool, len(cfg.LeavingWorkers))
	for _, name := range cfg.LeavingWorkers {
		drained[name] = true
	}
	marked := slices.Clone(wks)
	for idx := range marked {
		marked[idx].Leaving = marked[idx].Leaving || drained[marked[idx].Name]
	}
	return marked
}
