package assembler

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"slices"

	"github.com/currantrouter/currantrouter/internal/cluster/tracker"
	"github.com/currantrouter/currantrouter/internal/config/checker"
	"github.com/currantrouter/currantrouter/internal/config/distributor"
	"github.com/currantrouter/currantrouter/internal/fleet/modeler"
	"github.com/currantrouter/currantrouter/internal/operator/server"
	"github.com/currantrouter/currantrouter/internal/provider/storer"
	"github.com/currantrouter/currantrouter/internal/telemetry/logger"
)

// backends returns the backends of the operators' interface.
func (dm *Daemon) backends() server.Backends {
	return server.Backends{
		Plans:          dm.plans,
		Batch:          dm.batch,
		Fleet:          fleetBackend{dm},
		Hours:          dm.publisher,
		Audit:          dm.auditor,
		Configurations: configBackend{dm},
		Statements:     dm.batch,
		Ready:          dm.Ready,
	}
}

// fleetBackend lists entry hosts and runners and drains hosts, runners and workers.
type fleetBackend struct{ dm *Daemon }

// Hosts implements server.Fleet.
func (fb fleetBackend) Hosts(context.Context) ([]server.Host, error) {
	prs := append(fb.dm.tracker.Peers(), fb.dm.tracker.Self())
	hosts := make([]server.Host, len(prs))
	for idx, pr := range prs {
		hosts[idx] = server.Host{
			Name:       pr.Host,
			DataCentre: pr.DataCentre,
			Boot:       pr.Boot,
			Health:     healthNames[pr.Health],
			Leading:    pr.Leading,
			Leaving:    pr.Leaving,
			Revision:   pr.Revision,
			FreeSlots:  pr.Load.FreeSlots,
			Queued:     pr.Load.QueuedCalls,
		}
	}
	slices.SortFunc(hosts, func(one, two server.Host) int { return cmp.Compare(one.Name, two.Name) })
	return hosts, nil
}

var healthNames = map[tracker.Health]string{
	tracker.Unheard: "Unheard",
	tracker.Alive:   "Alive",
	tracker.Suspect: "Suspect",
	tracker.Dead:    "Dead",
}

// Runners implements server.Fleet.
func (fb fleetBackend) Runners(context.Context) ([]server.Runner, error) {
	cfg := fb.dm.configs.Current()
	if cfg == nil {
		return nil, nil
	}
	rns := make([]server.Runner, len(cfg.Runners))
	for idx, rn := range cfg.Runners {
		rns[idx] = fb.runner(rn)
	}
	return rns, nil
}

func (fb fleetBackend) runner(rn modeler.Runner) server.Runner {
	sr := server.Runner{Name: rn.Name, DataCentre: rn.DataCentre, Service: rn.Service, Slots: rn.Slots, Health: "Elsewhere"}
	sr.Leaving = rn.Leaving || fb.dm.router.IsDraining(rn.Name)
	if ac := fb.dm.limiter.Account(rn.Name); ac != nil {
		sr.Share = ac.Limit()
		sr.Busy, _ = ac.Used()
	}
	if tg := fb.dm.router.Target(rn.Name); tg != nil {
		sr.Health = "Alive"
		if tg.IsSlow() {
			sr.Health = "Slow"
		}
	}
	return sr
}

// configBackend reads and changes the shared configuration.
type configBackend struct{ dm *Daemon }

// Get implements server.Configurations.
func (cb configBackend) Get(ctx context.Context, rev modeler.Revision) (server.Document, error) {
	text, cur := cb.dm.configs.Document()
	if rev == 0 || rev == cur {
		return server.Document{Revision: cur, Text: string(text)}, nil
	}
	earlier, err := cb.dm.configs.HistoricDocument(ctx, rev)
	if errors.Is(err, storer.ErrNotFound) {
		return server.Document{}, fmt.Errorf("%w: %w", server.ErrNotFound, err)
	}
	return server.Document{Revision: rev, Text: string(earlier)}, err
}

// Check implements server.Configurations.
func (cb configBackend) Check(_ context.Context, text []byte) (server.Findings, error) {
	_, err := checker.Parse(text, 1)
	return findingsOf(err), nil
}

func findingsOf(err error) server.Findings {
	var fl checker.FaultList
	if !errors.As(err, &fl) {
		return nil
	}
	fds := make(server.Findings, len(fl))
	for idx, flt := range fl {
		fds[idx] = server.Finding{
			Number:   idx + 1,
			Title:    "wrong value",
			Severity: string(logger.SeverityError),
			Line:     flt.Line,
			Section:  flt.Section,
			Key:      flt.Key,
			Value:    flt.Value,
			Allowed:  flt.Allowed,
		}
	}
	return fds
}

// Put implements server.Configurations.
func (cb configBackend) Put(ctx context.Context, text []byte, expected modeler.Revision) (modeler.Revision, error) {
	rev, err := cb.dm.configs.PutAs(ctx, text, expected, server.OperatorName(ctx))
	switch {
	case errors.Is(err, checker.ErrInvalid):
		return 0, findingsOf(err)
	case errors.Is(err, distributor.ErrConflict):
		return 0, fmt.Errorf("%w: %w", storer.ErrConflict, err)
	case errors.Is(err, distributor.ErrResultUnknown):
		return 0, fmt.Errorf("%w: %w", storer.ErrResultUnknown, err)
	}
	return rev, err
}

// History implements server.Configurations.
func (cb configBackend) History(ctx context.Context) ([]server.ConfigurationChange, error) {
	oldestFirst, err := cb.dm.configs.Changes(ctx)
	chs := make([]server.ConfigurationChange, len(oldestFirst))
	for idx, ch := range oldestFirst {
		chs[len(oldestFirst)-1-idx] = server.ConfigurationChange(ch)
	}
	return chs, err
}

// Status implements server.Configurations.
func (cb configBackend) Status(context.Context) (server.ConfigurationStatus, error) {
	_, rev := cb.dm.configs.Document()
	st := server.ConfigurationStatus{Revision: rev}
	for _, pr := range append(cb.dm.tracker.Peers(), cb.dm.tracker.Self()) {
		live := pr.Health == tracker.Alive || pr.Host == cb.dm.settings.Host.Name
		st.Hosts = append(st.Hosts, server.HostRevision{Host: pr.Host, Revision: pr.Revision, Live: live})
		st.Revision = max(st.Revision, pr.Revision)
	}
	return st, nil
}
