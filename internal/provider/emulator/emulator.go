// Package emulator emulates the platform in memory: the key-value service, the workers, the host
// list and the runners, with fault injection and with oracles, which record what tests check.
package emulator

import (
	"cmp"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/currantrouter/currantrouter/internal/fleet/modeler"
	"github.com/currantrouter/currantrouter/internal/provider/lister"
)

// Options describes an emulated platform.
type Options struct {
	// Behaviour applies to the tasks on all workers.
	Behaviour Behaviour
	// ListLag is the time after which a change shows in the host list.
	ListLag time.Duration
}

// Platform is an emulated platform. Its parts share one table of fault switches.
type Platform struct {
	Faults  *Faults
	Store   *Store
	Workers *Workers
	Hosts   *Hosts

	mu sync.Mutex
	// runners holds the runners that listen, with their servers.
	runners map[modeler.RunnerName]*servedRunner
	serving sync.WaitGroup
}

type servedRunner struct {
	*Runner
	spec     modeler.Runner
	listener net.Listener
}

// New returns a platform with an empty store and without workers, hosts and runners.
func New(op Options) *Platform {
	fts := new(Faults)
	wks := NewWorkers(fts, op.Behaviour)
	return &Platform{
		Faults:  fts,
		Store:   NewStore(fts),
		Workers: wks,
		Hosts:   NewHosts(fts, wks, op.ListLag),
		runners: map[modeler.RunnerName]*servedRunner{},
	}
}

// AddRunner starts a runner on a free loopback port, adds it to the host list and returns its
// description. The runner listens until Close.
func (pf *Platform) AddRunner(dc modeler.DataCentreName, svc modeler.ServiceName, op RunnerOptions) (modeler.Runner, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return modeler.Runner{}, err
	}
	sr := &servedRunner{Runner: NewRunner(pf.Faults, op), listener: ln, spec: modeler.Runner{
		Name: op.Name, DataCentre: dc, Service: svc,
		Endpoint: netip.MustParseAddrPort(ln.Addr().String()),
		Slots:    op.Slots, Connections: op.Connections,
	}}
	pf.mu.Lock()
	defer pf.mu.Unlock()
	pf.runners[op.Name] = sr
	pf.Hosts.Set(string(op.Name), lister.Live)
	pf.serving.Go(func() { _ = sr.Serve(ln) })
	return sr.spec, nil
}

// Close closes the listeners and connections of the runners, and waits for the runners to return.
func (pf *Platform) Close() {
	pf.mu.Lock()
	for _, sr := range pf.runners {
		_ = sr.listener.Close()
		sr.closeConns()
	}
	pf.mu.Unlock()
	pf.serving.Wait()
}

// Runner returns a runner that AddRunner started, and false for another name.
func (pf *Platform) Runner(name modeler.RunnerName) (*Runner, bool) {
	pf.mu.Lock()
	defer pf.mu.Unlock()
	sr, ok := pf.runners[name]
	if !ok {
		return nil, false
	}
	return sr.Runner, true
}

// runnerList returns the runners in the order of names.
func (pf *Platform) runnerList() []modeler.Runner {
	pf.mu.Lock()
	defer pf.mu.Unlock()
	out := make([]modeler.Runner, 0, len(pf.runners))
	for _, sr := range pf.runners {
		out = append(out, sr.spec)
	}
	slices.SortFunc(out, func(a, b modeler.Runner) int { return cmp.Compare(a.Name, b.Name) })
	return out
}
