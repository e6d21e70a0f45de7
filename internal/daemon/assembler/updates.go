package assembler

import (
	"context"
	"time"

	"github.com/currantrouter/currantrouter/internal/cluster/messenger"
	"github.com/currantrouter/currantrouter/internal/cluster/tracker"
	"github.com/currantrouter/currantrouter/internal/config/checker"
	"github.com/currantrouter/currantrouter/internal/fleet/modeler"
	"github.com/currantrouter/currantrouter/internal/hours/counter"
	"github.com/currantrouter/currantrouter/internal/process/pauser"
	"github.com/currantrouter/currantrouter/internal/provider/lister"
	"github.com/currantrouter/currantrouter/internal/request/forwarder"
	"github.com/currantrouter/currantrouter/internal/request/limiter"
	"github.com/currantrouter/currantrouter/internal/telemetry/logger"
)

// followConfiguration applies each new revision of the configuration.
func (dm *Daemon) followConfiguration(ctx context.Context) {
	for {
		changed := dm.configs.Changed()
		dm.applyConfiguration()
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

// applyConfiguration passes the configuration to all components. The limiter comes first, because the
// others ask it for the accounts of the runners in the configuration.
func (dm *Daemon) applyConfiguration() {
	cfg := dm.configs.Current()
	if cfg == nil {
		return
	}
	dm.limiter.Apply(cfg)
	dm.router.Apply(cfg)
	dm.admitter.Apply(cfg)
	dm.forwarder.Apply(cfg)
	dm.tracker.SetHosts(cfg.Hosts)
	dm.applyDrain(cfg.HostLeaving(dm.settings.Host.Name))
}

func (dm *Daemon) earlierConfiguration(ctx context.Context, rev modeler.Revision) (*modeler.Configuration, error) {
	document, err := dm.configs.HistoricDocument(ctx, rev)
	if err != nil {
		return nil, err
	}
	return checker.Parse(document, rev)
}

// publishSettled reports periodically to peers and the store which revisions this host has settled.
func (dm *Daemon) publishSettled(ctx context.Context) {
	pauser.Every(ctx, settledRevisionInterval, func(ctx context.Context) {
		dm.tracker.SetSettledRevision(dm.limiter.SettledRevision())
		dm.registrarMu.Lock()
		defer dm.registrarMu.Unlock()
		ctx, cancel := context.WithTimeout(ctx, dm.settings.Limits.StoreTimeout)
		defer cancel()
		// A failed write is repeated in the next interval.
		_ = dm.registrar.SetSettledBase(ctx, dm.limiter.SettledBase())
	})
}

// copyHourCounts copies the counts in the heartbeats of peers, so that a peer's crash loses at most
// those since its last heartbeat.
func (dm *Daemon) copyHourCounts(ctx context.Context) {
	pauser.Every(ctx, hourCountsInterval, func(context.Context) {
		for _, pr := range dm.tracker.Peers() {
			if err := dm.counter.Merge(hourReportsOf(pr)); err != nil {
				logger.Log(dm.log, logger.PeerCountsRefused, "Peer", pr.Host, "Cause", err.Error())
			}
		}
	})
}

// hourReportsOf returns the reports in a peer's latest heartbeat, one per hour.
func hourReportsOf(pr tracker.Peer) []counter.Report {
	byHour := map[int64]*counter.Report{}
	for _, hc := range pr.HourCounts {
		rp := byHour[hc.Hour]
		if rp == nil {
			rp = &counter.Report{
				Source:   counter.Source{Host: pr.Host, Boot: pr.Boot, Hour: time.Unix(hc.Hour, 0).UTC()},
				Services: map[modeler.ServiceName]counter.Counts{},
				Written:  pr.LastHeartbeat,
			}
			byHour[hc.Hour] = rp
		}
		rp.Services[modeler.ServiceName(hc.Service)] = counter.Counts{
			Answered: hc.Answered, Refused: hc.Refused, Unknown: hc.Unknown, Late: hc.Late,
		}
	}
	rps := make([]counter.Report, 0, len(byHour))
	for _, rp := range byHour {
		rps = append(rps, *rp)
	}
	return rps
}

// followHostList reads the host list periodically and stops new calls to draining runners.
func (dm *Daemon) followHostList(ctx context.Context) {
	pauser.Every(ctx, hostListInterval, func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, dm.settings.Limits.StoreTimeout)
		defer cancel()
		ls, err := dm.platform.Hosts.List(ctx)
		if err != nil {
			// The last list that was read stays in force.
			return
		}
		dm.applyHostList(ls)
	})
}

func (dm *Daemon) applyHostList(ls lister.Listing) {
	cfg := dm.configs.Current()
	if cfg == nil {
		return
	}
	var leaving []modeler.RunnerName
	for _, rn := range cfg.Runners {
		if ls[string(rn.Name)] == lister.Leaving {
			leaving = append(leaving, rn.Name)
		}
	}
	dm.router.SetDraining(leaving)
}

// watchesStore reports whether this host watches the store for its data centre, which the leader
// does, or every host while no leader is known.
func (dm *Daemon) watchesStore() bool {
	ld, ok := dm.tracker.Leader(dm.settings.Host.DataCentre)
	return !ok || ld.Host == dm.settings.Host.Name
}

func isUsable(pr tracker.Peer) bool {
	return (pr.Health == tracker.Alive || pr.Health == tracker.Suspect) && !pr.Leaving
}

func (dm *Daemon) limiterPeers() []limiter.Peer {
	var prs []limiter.Peer
	for _, pr := range dm.tracker.Peers() {
		if pr.DataCentre != dm.settings.Host.DataCentre {
			continue
		}
		lp := limiter.Peer{Host: pr.Host, Usable: isUsable(pr), SettledRevision: pr.SettledRevision}
		if pr.Address.IsValid() {
			lp.Client = dm.clients.Dial(pr.Address)
		}
		prs = append(prs, lp)
	}
	return prs
}

func forwarderPeer(pr tracker.Peer) forwarder.Peer {
	return forwarder.Peer{
		Host:       pr.Host,
		DataCentre: pr.DataCentre,
		Address:    pr.Address,
		Usable:     isUsable(pr),
		FreeSlots:  pr.Load.FreeSlots,
	}
}

func (dm *Daemon) forwarderPeers() []forwarder.Peer {
	var prs []forwarder.Peer
	for _, pr := range dm.tracker.Peers() {
		prs = append(prs, forwarderPeer(pr))
	}
	return prs
}

func (dm *Daemon) forwarderLeader(dc modeler.DataCentreName) (forwarder.Peer, bool) {
	ld, ok := dm.tracker.Leader(dc)
	return forwarderPeer(ld), ok
}

func encodeHourCounts(rps []counter.Report) []*messenger.HourCount {
	var hcs []*messenger.HourCount
	for _, rp := range rps {
		for svc, cts := range rp.Services {
			hcs = append(hcs, &messenger.HourCount{
				Service:  string(svc),
				Hour:     rp.Hour.Unix(),
				Answered: cts.Answered,
				Refused:  cts.Refused,
				Unknown:  cts.Unknown,
				Late:     cts.Late,
			})
		}
	}
	return hcs
}
