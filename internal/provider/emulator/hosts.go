package emulator

import (
	"cmp"
	"context"
	"errors"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/currantrouter/currantrouter/internal/provider/lister"
	"github.com/currantrouter/currantrouter/internal/provider/supervisor"
)

// Hosts emulates the platform's list of hosts. It is safe for concurrent use.
type Hosts struct {
	faults  *Faults
	workers *Workers
	lag     time.Duration

	mu sync.Mutex
	// visible is the list with all changes that are older than lag.
	visible lister.Listing
	// pending holds the later changes, the oldest first.
	pending []hostChange
	// stale is the list that List returns under the fault StaleList.
	stale lister.Listing
}

type hostChange struct {
	when time.Time
	name string
	// state is empty for a removed host.
	state lister.HostState
}

// NewHosts returns an empty list that shows changes after the lag. The faults may be nil.
func NewHosts(fts *Faults, wks *Workers, lag time.Duration) *Hosts {
	if fts == nil {
		fts = new(Faults)
	}
	hs := &Hosts{faults: fts, workers: wks, lag: lag, visible: lister.Listing{}}
	fts.addHook(hs.captureStale)
	return hs
}

// Set adds a host or changes its state. An empty state removes it.
func (hs *Hosts) Set(name string, state lister.HostState) {
	hs.mu.Lock()
	defer hs.mu.Unlock()
	hs.pending = append(hs.pending, hostChange{time.Now(), name, state})
}

// List returns the hosts as they were before the lag. Errors: lister.ErrUnavailable.
func (hs *Hosts) List(ctx context.Context) (lister.Listing, error) {
	if err := hs.applyFaults(ctx, "List"); err != nil {
		return nil, err
	}
	if _, stale := hs.faults.match(PartHosts, "List", "", StaleList); stale {
		hs.mu.Lock()
		defer hs.mu.Unlock()
		return maps.Clone(hs.stale), nil
	}
	return hs.listing(), nil
}

// Workers returns the workers. Leaving is set as in the list. Errors: lister.ErrUnavailable.
func (hs *Hosts) Workers(ctx context.Context) ([]supervisor.Worker, error) {
	if err := hs.applyFaults(ctx, "Workers"); err != nil {
		return nil, err
	}
	ls := hs.listing()
	specs := hs.workers.specs()
	for ix := range specs {
		specs[ix].Leaving = ls[string(specs[ix].Name)] == lister.Leaving
	}
	return specs, nil
}

func (hs *Hosts) listing() lister.Listing {
	hs.mu.Lock()
	defer hs.mu.Unlock()
	now := time.Now()
	for len(hs.pending) > 0 && now.Sub(hs.pending[0].when) >= hs.lag {
		ch := hs.pending[0]
		hs.pending = hs.pending[1:]
		if ch.state == "" {
			delete(hs.visible, ch.name)
		} else {
			hs.visible[ch.name] = ch.state
		}
	}
	return maps.Clone(hs.visible)
}

// captureStale keeps the current list for calls under the fault StaleList.
func (hs *Hosts) captureStale(sw Switch) {
	if sw.Fault != StaleList || !sw.matches(PartHosts, "List", "") {
		return
	}
	ls := hs.listing()
	hs.mu.Lock()
	defer hs.mu.Unlock()
	hs.stale = ls
}

// applyFaults delays a call or returns its error, as the switches demand.
func (hs *Hosts) applyFaults(ctx context.Context, operation string) error {
	sw, ok := hs.faults.match(PartHosts, operation, "", Unavailable, Slow, AnswerLost, RequestLost)
	if !ok {
		return nil
	}
	if sw.Fault != Slow {
		return lister.ErrUnavailable
	}
	if err := sleep(ctx, sw.Delay); err != nil {
		return errors.Join(lister.ErrUnavailable, err)
	}
	return nil
}

// specs returns the workers that were added, in the order of names.
func (wks *Workers) specs() []supervisor.Worker {
	wks.mu.Lock()
	defer wks.mu.Unlock()
	out := make([]supervisor.Worker, 0, len(wks.workers))
	for _, wk := range wks.workers {
		out = append(out, wk.spec)
	}
	slices.SortFunc(out, func(a, b supervisor.Worker) int { return cmp.Compare(a.Name, b.Name) })
	return out
}
