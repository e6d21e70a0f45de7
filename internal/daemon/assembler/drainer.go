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
	// drainAttempts and drainRetry bound how long a drain competes with other changes of the
	// configuration. A change made elsewhere is in force here within 2 s.
	drainAttempts = 8
	drainRetry    = 500 * time.Millisecond
)

// Drain implements server.Fleet. It is a change of the shared configuration, so that it reaches all
// hosts and holds until an operator withdraws it.
func (fb fleetBackend) Drain(ctx context.Context, dr server.Drain) error {
	if dr.Kind == "Worker" && !dr.Undo {
		if err := fb.requireWorker(ctx, modeler.WorkerName(dr.Name)); err != nil {
			return err
		}
	}
	var err error
	for range drainAttempts {
		changed := fb.dm.configs.Changed()
		if err = fb.markLeaving(ctx, dr); !errors.Is(err, storer.ErrConflict) {
			return err
		}
		select {
		case <-changed:
		case <-time.After(drainRetry):
		case <-ctx.Done():
			return err
		}
	}
	return err
}

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

// requireWorker checks the name against the platform's list, which alone has the workers.
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

// drainState is what the configuration says about this host.
type drainState struct {
	// leaving is set while the configuration marks this host as leaving.
	leaving atomic.Bool

	mu sync.Mutex
	// ended is set once the process itself drains, which cannot be withdrawn.
	ended bool
	// refuse ends the intake when it fires. It is nil while the host is not leaving.
	refuse *time.Timer
}

// end lets later changes of the configuration have no effect.
func (ds *drainState) end() {
	ds.mu.Lock()
	defer ds.mu.Unlock()
	ds.ended = true
	if ds.refuse != nil {
		ds.refuse.Stop()
	}
}

// applyDrain brings this host in line with the configuration. Readiness fails and peers are told at
// once; calls are refused after drainNotice, when the balancer and the peers send none any more.
func (dm *Daemon) applyDrain(leaving bool) {
	ds := &dm.drained
	ds.mu.Lock()
	defer ds.mu.Unlock()
	if ds.ended || ds.leaving.Load() == leaving {
		return
	}
	ds.leaving.Store(leaving)
	if !leaving {
		ds.refuse.Stop()
		dm.forwarder.Pause(false)
		dm.tracker.WithdrawLeaving()
		logger.Log(dm.log, logger.HostDrainWithdrawn)
		return
	}
	dm.tracker.SetLeaving()
	ds.refuse = time.AfterFunc(drainNotice, func() {
		ds.mu.Lock()
		defer ds.mu.Unlock()
		dm.forwarder.Pause(ds.leaving.Load())
	})
	logger.Log(dm.log, logger.HostDrained)
}

// markLeavingWorkers returns the workers with those marked that an operator has drained.
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
