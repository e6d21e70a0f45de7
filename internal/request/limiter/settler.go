package limiter

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/currantrouter/currantrouter/internal/cluster/messenger"
	"github.com/currantrouter/currantrouter/internal/fleet/modeler"
	"github.com/currantrouter/currantrouter/internal/telemetry/logger"
)

// pending is a revision that may still be in force at another holder of a runner.
type pending struct {
	// revision is the newest one with this share and these holders, and first the oldest.
	revision, first modeler.Revision
	share           Share
	// others are the holders under the revision without this host.
	others []modeler.HostName
	// confirm asks for answers of this boot's own inquiries. It is set for the unknown revisions
	// before the start: relayed news may be older than the process itself.
	confirm bool
	// wide adds all peers known at the time of the look, because a revision that was never seen may
	// have added a host.
	wide bool
}

// Apply puts a revision in force. Lower and equal revisions have no effect. The share at this host
// is the least of its shares over the newest and all unsettled revisions, so shares shrink at once
// and grow when the others have acknowledged.
func (lim *Limiter) Apply(cfg *modeler.Configuration) {
	lim.mu.Lock()
	defer lim.mu.Unlock()
	if lim.newest != nil && cfg.Revision <= lim.newest.Revision {
		return
	}
	before := lim.newest
	lim.newest = cfg
	lim.noteLimits(cfg)
	lim.noteRetired(cfg)
	lim.noteHosts(cfg)
	lim.noteUnseen(cfg, before)
	acs := maps.Clone(*lim.accounts.Load())
	if before != nil && cfg.Revision > before.Revision+1 {
		lim.widen(acs)
	}
	seen := make(map[modeler.RunnerName]bool, len(cfg.Runners))
	for _, rn := range cfg.Runners {
		// Only hosts of a runner's data centre hold its slots. An account of another one would wait
		// for acknowledgements that never come, and keep every revision since.
		if rn.DataCentre != lim.op.DataCentre {
			continue
		}
		seen[rn.Name] = true
		lim.applyRunner(cfg, rn, acs)
	}
	for name, ac := range acs {
		if !seen[name] {
			lim.applyRemoval(cfg, ac, acs)
		}
	}
	lim.accounts.Store(&acs)
	lim.refresh()
}

func (lim *Limiter) applyRunner(cfg *modeler.Configuration, rn modeler.Runner, acs map[modeler.RunnerName]*Account) {
	ac := acs[rn.Name]
	if ac == nil {
		ac = &Account{lim: lim, runner: rn.Name, pending: slices.Clone(lim.unseen)}
		ac.borrowed.Store(&[]*loan{})
		acs[rn.Name] = ac
	}
	ac.service.Store(&rn.Service)
	ac.callLimit.Store(int64(callLimit(cfg, rn.Service)))
	shs := Shares(cfg, rn)
	ac.newest = shareOf(shs, lim.op.Host)
	ac.add(pending{revision: cfg.Revision, first: cfg.Revision, share: ac.newest, others: lim.others(shs)})
}

// applyRemoval keeps the account of a removed runner until nobody can hold a share any more.
func (lim *Limiter) applyRemoval(cfg *modeler.Configuration, ac *Account, acs map[modeler.RunnerName]*Account) {
	slots, connections := ac.Used()
	inUse := slots+connections+len(*ac.borrowed.Load()) > 0
	// The last revision before was settled only if it listed no other holder.
	if settled := len(ac.pending) == 1 && len(ac.pending[0].others) == 0; settled && ac.newest.Slots == 0 && !inUse {
		delete(acs, ac.runner)
		return
	}
	ac.newest = Share{Host: lim.op.Host}
	ac.add(pending{revision: cfg.Revision, first: cfg.Revision, share: ac.newest})
}

// add appends a revision. It joins one with the same share and holders, which settles under the same
// conditions: most revisions do not change a runner, and a host that is down for days keeps all of
// them from settling.
func (ac *Account) add(pd pending) {
	for ix := range ac.pending {
		old := &ac.pending[ix]
		if old.confirm == pd.confirm && old.wide == pd.wide && old.share == pd.share && slices.Equal(old.others, pd.others) {
			old.revision = pd.revision
			return
		}
	}
	ac.pending = append(ac.pending, pd)
}

// widen asks for acknowledgements of all hosts of the data centre after revisions were skipped. A
// host that is no holder under any revision seen here may be one under a skipped revision.
func (lim *Limiter) widen(acs map[modeler.RunnerName]*Account) {
	all := slices.Clone(lim.known)
	for _, ac := range acs {
		pds := ac.pending
		ac.pending = nil
		for _, pd := range pds {
			pd.others, pd.wide = all, true
			ac.add(pd)
		}
	}
}

// noteUnseen remembers revisions that may be in force elsewhere and that this process has not seen:
// those before the first one of this boot, and skipped ones. They may list any runner.
func (lim *Limiter) noteUnseen(cfg, before *modeler.Configuration) {
	switch {
	case before == nil && lim.op.History == nil:
		lim.unseen = append(lim.unseen, pending{share: Share{Host: lim.op.Host}, others: slices.Clone(lim.known), confirm: true, wide: true})
	case before != nil && cfg.Revision > before.Revision+1:
		same := func(pd pending) bool { return !pd.confirm && slices.Equal(pd.others, lim.known) }
		if slices.ContainsFunc(lim.unseen, same) {
			return
		}
		lim.unseen = append(lim.unseen, pending{
			revision: before.Revision, first: before.Revision, share: Share{Host: lim.op.Host}, others: slices.Clone(lim.known), wide: true,
		})
	}
}

// noteHosts remembers the other entry hosts of the data centre under any revision seen. One that was
// removed may still use its share under an older revision.
func (lim *Limiter) noteHosts(cfg *modeler.Configuration) {
	for _, hst := range cfg.Hosts {
		if hst.DataCentre == lim.op.DataCentre && hst.Name != lim.op.Host && !slices.Contains(lim.known, hst.Name) {
			lim.known = append(lim.known, hst.Name)
		}
	}
}

func (lim *Limiter) others(shs []Share) []modeler.HostName {
	var hs []modeler.HostName
	for _, sh := range shs {
		if sh.Host != lim.op.Host {
			hs = append(hs, sh.Host)
		}
	}
	return hs
}

func callLimit(cfg *modeler.Configuration, name modeler.ServiceName) time.Duration {
	if svc, ok := cfg.Service(name); ok && svc.CallLimit > 0 {
		return svc.CallLimit
	}
	return modeler.DefaultCallLimit
}

func (lim *Limiter) noteLimits(cfg *modeler.Configuration) {
	for _, rn := range cfg.Runners {
		lim.longest = max(lim.longest, callLimit(cfg, rn.Service))
	}
}

func (lim *Limiter) noteRetired(cfg *modeler.Configuration) {
	for _, hst := range cfg.Hosts {
		if _, known := lim.retired[hst.Name]; hst.Retired && !known {
			lim.retired[hst.Name] = time.Now()
		}
	}
}

// lastCall is the time after which no call of a vanished process can run: it may have lent slots
// just before its end, and the borrower may start calls until start-by.
func (lim *Limiter) lastCall() time.Duration {
	term := loanTerm + lim.longest
	return term + modeler.DriftAllowance(term)
}

// Acknowledge records that another host has reduced its use of slots to its shares under a
// revision.
func (lim *Limiter) Acknowledge(host modeler.HostName, rev modeler.Revision) {
	lim.mu.Lock()
	defer lim.mu.Unlock()
	if rev > lim.acknowledged[host] {
		lim.acknowledged[host] = rev
		lim.refresh()
	}
}

func (lim *Limiter) confirm(host modeler.HostName, rev modeler.Revision) {
	lim.mu.Lock()
	defer lim.mu.Unlock()
	if rev <= lim.acknowledged[host] && rev <= lim.confirmed[host] {
		return
	}
	lim.acknowledged[host] = max(lim.acknowledged[host], rev)
	lim.confirmed[host] = max(lim.confirmed[host], rev)
	lim.refresh()
}

// SettledRevision returns the newest revision to which this host has reduced its use of every
// runner; zero means none.
func (lim *Limiter) SettledRevision() modeler.Revision {
	return modeler.Revision(lim.settled.Load())
}

// SettledBase returns the oldest revision that may still be in force at another holder of a runner
// of this data centre; zero when it is unknown. A successor of this process needs the revisions
// from there as its History.
func (lim *Limiter) SettledBase() modeler.Revision {
	lim.mu.Lock()
	defer lim.mu.Unlock()
	if lim.newest == nil {
		return 0
	}
	base := lim.newest.Revision
	for _, pd := range lim.unseen {
		base = min(base, pd.first)
	}
	for _, ac := range *lim.accounts.Load() {
		for _, pd := range ac.pending {
			base = min(base, pd.first)
		}
	}
	return base
}

func (lim *Limiter) lockedRefresh() {
	lim.mu.Lock()
	defer lim.mu.Unlock()
	lim.refresh()
}

// refresh brings limits, settled revisions and the own acknowledgement up to date. mu is held.
func (lim *Limiter) refresh() {
	if lim.newest == nil {
		return
	}
	if !lim.ready && time.Since(lim.started) >= lim.lastCall() {
		lim.ready = true
		lim.log(logger.SharesReady, "Waited", time.Since(lim.started).String())
	}
	lim.unseen = slices.DeleteFunc(lim.unseen, lim.isSettled)
	open, within := !lim.ready || len(lim.unseen) > 0, lim.ready
	for _, ac := range *lim.accounts.Load() {
		ac.pending = slices.DeleteFunc(ac.pending, lim.isSettled)
		open = open || len(ac.pending) > 1
		lim.enforce(ac)
		within = within && ac.within()
	}
	if within && lim.settled.Load() < int64(lim.newest.Revision) {
		lim.settled.Store(int64(lim.newest.Revision))
		lim.log(logger.SharesSettled, "Revision", lim.newest.Revision)
	}
	lim.pending.Store(open || !within)
}

// isSettled tells whether no other holder can still use its share under the older revision. An
// acknowledgement counts only for exactly the newest revision known here: a host that has gone
// further may hold more under that revision than under ours.
func (lim *Limiter) isSettled(pd pending) bool {
	if pd.revision == lim.newest.Revision {
		return false
	}
	acks, others := lim.acknowledged, pd.others
	if pd.confirm {
		acks = lim.confirmed
	}
	if pd.wide {
		// The first revision of a boot may come from a peer that is behind, and may not list a host
		// that has been added since.
		for _, pr := range lim.peers() {
			others = append(others[:len(others):len(others)], pr.Host)
		}
	}
	for _, host := range others {
		if acks[host] != lim.newest.Revision && !lim.isGone(host) {
			return false
		}
	}
	return true
}

func (lim *Limiter) isGone(host modeler.HostName) bool {
	since, ok := lim.retired[host]
	return ok && time.Since(since) >= lim.lastCall()
}

func (lim *Limiter) enforce(ac *Account) {
	slots, connections := ac.newest.Slots, ac.newest.Connections
	for _, pd := range ac.pending {
		slots = min(slots, pd.share.Slots)
		connections = min(connections, pd.share.Connections)
	}
	if !lim.ready || lim.closed.Load() {
		slots, connections = 0, 0
	}
	before, _ := ac.slots.load()
	ac.slots.setLimit(slots)
	ac.connections.setLimit(connections)
	if slots > before {
		lim.notify(ac)
	}
}

// within tells whether the use has come down to the share of the newest revision.
func (ac *Account) within() bool {
	slots, connections := ac.Used()
	return slots <= ac.newest.Slots && connections <= ac.newest.Connections
}

// settle collects acknowledgements: those that heartbeats brought, and answers to inquiries.
func (lim *Limiter) settle(ctx context.Context) {
	prs := lim.peers()
	for _, pr := range prs {
		if pr.SettledRevision > 0 {
			lim.Acknowledge(pr.Host, pr.SettledRevision)
		}
	}
	if time.Since(lim.inquired) < inquiryInterval {
		return
	}
	lim.inquired = time.Now()
	lim.lockedRefresh()
	if !lim.pending.Load() {
		return
	}
	for _, pr := range prs {
		if pr.Client != nil {
			go lim.inquire(ctx, pr)
		}
	}
}

func (lim *Limiter) inquire(ctx context.Context, pr Peer) {
	ctx, cancel := context.WithTimeout(ctx, messageTimeout)
	defer cancel()
	rp, err := pr.Client.Borrow(ctx, &messenger.BorrowRequest{
		Borrower: string(lim.op.Host), BorrowerBoot: string(lim.op.Boot),
	})
	if err == nil && rp.GetRevision() == rp.GetSettledRevision() {
		lim.confirm(pr.Host, modeler.Revision(rp.GetSettledRevision()))
	}
}

func (lim *Limiter) peers() []Peer {
	if lim.op.Peers == nil {
		return nil
	}
	return lim.op.Peers()
}
