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

// unsettledRevision is a revision that another holder of a runner may still apply, or a range of them
// with the same share and holders.
type unsettledRevision struct {
	// revision is the newest revision with this share and these holders.
	revision modeler.Revision
	// oldest is the oldest revision with this share and these holders.
	oldest modeler.Revision
	share  Share
	// others lists the other holders under the revision.
	others []modeler.HostName
	// ownInquiryOnly accepts only acknowledgements from replies to this process's own inquiries. It is
	// set for unknown revisions before the start of the process, because a relayed acknowledgement may
	// be older than the process.
	ownInquiryOnly bool
	// allPeers also requires acknowledgements of all current peers, because a revision that was never
	// applied here may have added a host.
	allPeers bool
}

// Apply applies a revision of the configuration. Lower and equal revisions have no effect. The limit
// at this host is the minimum of its shares under the newest and all unsettled revisions, so that it
// shrinks at once and grows only after the other holders have acknowledged the newest revision.
func (lim *Limiter) Apply(cfg *modeler.Configuration) {
	lim.mu.Lock()
	defer lim.mu.Unlock()
	if lim.newest != nil && cfg.Revision <= lim.newest.Revision {
		return
	}
	before := lim.newest
	lim.newest = cfg
	lim.raiseMaxCallLimit(cfg)
	lim.recordRetired(cfg)
	lim.recordHosts(cfg)
	lim.recordUnseen(cfg, before)
	acs := maps.Clone(*lim.accounts.Load())
	if before != nil && cfg.Revision > before.Revision+1 {
		lim.awaitAllHosts(acs)
	}
	seen := make(map[modeler.RunnerName]bool, len(cfg.Runners))
	for _, rn := range cfg.Runners {
		// Only hosts of a runner's data centre hold its slots. An account of a runner in another data
		// centre would wait for acknowledgements that never come, and keep all revisions.
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
	lim.refreshLocked()
}

func (lim *Limiter) applyRunner(cfg *modeler.Configuration, rn modeler.Runner, acs map[modeler.RunnerName]*Account) {
	ac := acs[rn.Name]
	if ac == nil {
		ac = &Account{lim: lim, runner: rn.Name, unsettled: slices.Clone(lim.unseen)}
		ac.borrowed.Store(&[]*borrowedLoan{})
		acs[rn.Name] = ac
	}
	ac.service.Store(&rn.Service)
	ac.callLimit.Store(int64(callLimit(cfg, rn.Service)))
	shs := Shares(cfg, rn)
	ac.newest = shareOf(shs, lim.op.Host)
	ac.addUnsettled(unsettledRevision{revision: cfg.Revision, oldest: cfg.Revision, share: ac.newest, others: lim.others(shs)})
}

// applyRemoval keeps the account of a removed runner until no host can use a share of it.
func (lim *Limiter) applyRemoval(cfg *modeler.Configuration, ac *Account, acs map[modeler.RunnerName]*Account) {
	slots, connections := ac.Used()
	inUse := slots+connections+len(*ac.borrowed.Load()) > 0
	// The remaining revision has no other holders if it is a removal too, or if this host was the only
	// holder.
	if settled := len(ac.unsettled) == 1 && len(ac.unsettled[0].others) == 0; settled && ac.newest.Slots == 0 && !inUse {
		delete(acs, ac.runner)
		return
	}
	ac.newest = Share{Host: lim.op.Host}
	ac.addUnsettled(unsettledRevision{revision: cfg.Revision, oldest: cfg.Revision, share: ac.newest})
}

// addUnsettled appends a revision, or merges it with one of the same share and holders, which settles
// under the same conditions. Merging bounds the list: most revisions do not change a runner, and while
// a host is down, possibly for days, none of them settles.
func (ac *Account) addUnsettled(ur unsettledRevision) {
	for ix := range ac.unsettled {
		old := &ac.unsettled[ix]
		if old.ownInquiryOnly == ur.ownInquiryOnly && old.allPeers == ur.allPeers && old.share == ur.share && slices.Equal(old.others, ur.others) {
			old.revision = ur.revision
			return
		}
	}
	ac.unsettled = append(ac.unsettled, ur)
}

// awaitAllHosts makes all unsettled revisions require acknowledgements of all hosts of the data
// centre. It is called after revisions were skipped: a host that is not a holder under any revision
// applied here may be one under a skipped revision.
func (lim *Limiter) awaitAllHosts(acs map[modeler.RunnerName]*Account) {
	all := slices.Clone(lim.knownHosts)
	for _, ac := range acs {
		urs := ac.unsettled
		ac.unsettled = nil
		for _, ur := range urs {
			ur.others, ur.allPeers = all, true
			ac.addUnsettled(ur)
		}
	}
}

// recordUnseen records that other hosts may apply revisions that were never applied here: those before
// the first one of this process, and skipped ones. They may list any runner.
func (lim *Limiter) recordUnseen(cfg, before *modeler.Configuration) {
	switch {
	case before == nil && lim.op.History == nil:
		lim.unseen = append(lim.unseen, unsettledRevision{share: Share{Host: lim.op.Host}, others: slices.Clone(lim.knownHosts), ownInquiryOnly: true, allPeers: true})
	case before != nil && cfg.Revision > before.Revision+1:
		isRecorded := func(ur unsettledRevision) bool { return !ur.ownInquiryOnly && slices.Equal(ur.others, lim.knownHosts) }
		if slices.ContainsFunc(lim.unseen, isRecorded) {
			return
		}
		lim.unseen = append(lim.unseen, unsettledRevision{
			revision: before.Revision, oldest: before.Revision, share: Share{Host: lim.op.Host}, others: slices.Clone(lim.knownHosts), allPeers: true,
		})
	}
}

// recordHosts adds the other entry hosts of the data centre to knownHosts. A host that is removed later
// may still use its share under an older revision.
func (lim *Limiter) recordHosts(cfg *modeler.Configuration) {
	for _, hst := range cfg.Hosts {
		if hst.DataCentre == lim.op.DataCentre && hst.Name != lim.op.Host && !slices.Contains(lim.knownHosts, hst.Name) {
			lim.knownHosts = append(lim.knownHosts, hst.Name)
		}
	}
}

// others returns the holders except this host.
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

func (lim *Limiter) raiseMaxCallLimit(cfg *modeler.Configuration) {
	for _, rn := range cfg.Runners {
		lim.maxCallLimit = max(lim.maxCallLimit, callLimit(cfg, rn.Service))
	}
}

func (lim *Limiter) recordRetired(cfg *modeler.Configuration) {
	for _, hst := range cfg.Hosts {
		if _, known := lim.retiredAt[hst.Name]; hst.Retired && !known {
			lim.retiredAt[hst.Name] = time.Now()
		}
	}
}

// orphanTimeout returns the time after the end of a process from which none of its slots is in use. The
// process may have lent slots just before its end, and the borrower may start calls for loanTerm.
func (lim *Limiter) orphanTimeout() time.Duration {
	term := loanTerm + lim.maxCallLimit
	return term + modeler.DriftAllowance(term)
}

// Acknowledge records that another host has reduced its use of all runners to its shares under a
// revision.
func (lim *Limiter) Acknowledge(host modeler.HostName, rev modeler.Revision) {
	lim.mu.Lock()
	defer lim.mu.Unlock()
	if rev > lim.acknowledged[host] {
		lim.acknowledged[host] = rev
		lim.refreshLocked()
	}
}

// acknowledgeInquiry is like Acknowledge, for a reply to an inquiry of this process.
func (lim *Limiter) acknowledgeInquiry(host modeler.HostName, rev modeler.Revision) {
	lim.mu.Lock()
	defer lim.mu.Unlock()
	if rev <= lim.acknowledged[host] && rev <= lim.confirmed[host] {
		return
	}
	lim.acknowledged[host] = max(lim.acknowledged[host], rev)
	lim.confirmed[host] = max(lim.confirmed[host], rev)
	lim.refreshLocked()
}

// SettledRevision returns the newest revision to whose shares this host has reduced its use of all
// runners; zero means none.
func (lim *Limiter) SettledRevision() modeler.Revision {
	return modeler.Revision(lim.settled.Load())
}

// SettledBase returns the oldest revision that another holder of a runner of this data centre may
// still apply; zero when unknown. The next process of this host needs the revisions from there on as
// its Options.History.
func (lim *Limiter) SettledBase() modeler.Revision {
	lim.mu.Lock()
	defer lim.mu.Unlock()
	if lim.newest == nil {
		return 0
	}
	base := lim.newest.Revision
	for _, ur := range lim.unseen {
		base = min(base, ur.oldest)
	}
	for _, ac := range *lim.accounts.Load() {
		for _, ur := range ac.unsettled {
			base = min(base, ur.oldest)
		}
	}
	return base
}

func (lim *Limiter) refresh() {
	lim.mu.Lock()
	defer lim.mu.Unlock()
	lim.refreshLocked()
}

// refreshLocked removes settled revisions, and updates the limits and this host's own settled revision.
// mu is held.
func (lim *Limiter) refreshLocked() {
	if lim.newest == nil {
		return
	}
	if !lim.ready && time.Since(lim.started) >= lim.orphanTimeout() {
		lim.ready = true
		lim.log(logger.SharesReady, "Waited", time.Since(lim.started).String())
	}
	lim.unseen = slices.DeleteFunc(lim.unseen, lim.isSettled)
	unsettled, isWithin := !lim.ready || len(lim.unseen) > 0, lim.ready
	for _, ac := range *lim.accounts.Load() {
		ac.unsettled = slices.DeleteFunc(ac.unsettled, lim.isSettled)
		unsettled = unsettled || len(ac.unsettled) > 1
		lim.updateLimits(ac)
		isWithin = isWithin && ac.isWithinShare()
	}
	if isWithin && lim.settled.Load() < int64(lim.newest.Revision) {
		lim.settled.Store(int64(lim.newest.Revision))
		lim.log(logger.SharesSettled, "Revision", lim.newest.Revision)
	}
	lim.needsRefresh.Store(unsettled || !isWithin)
}

// isSettled reports whether no other holder can still use its share under the older revision. An
// acknowledgement counts only when it is for exactly the newest revision known here: a host that has
// applied a later one may have a larger share under that.
func (lim *Limiter) isSettled(ur unsettledRevision) bool {
	if ur.revision == lim.newest.Revision {
		return false
	}
	acks, others := lim.acknowledged, ur.others
	if ur.ownInquiryOnly {
		acks = lim.confirmed
	}
	if ur.allPeers {
		// The first revision of a process may come from a peer that is behind, and may lack a host that
		// was added since.
		for _, pr := range lim.peers() {
			others = append(others[:len(others):len(others)], pr.Host)
		}
	}
	for _, host := range others {
		if acks[host] != lim.newest.Revision && !lim.isRetired(host) {
			return false
		}
	}
	return true
}

// isRetired reports whether the host is retired and its last calls have ended.
func (lim *Limiter) isRetired(host modeler.HostName) bool {
	since, ok := lim.retiredAt[host]
	return ok && time.Since(since) >= lim.orphanTimeout()
}

// updateLimits sets the limits of a runner to the minimum over the unsettled revisions, or to zero when
// this host may not use its shares.
func (lim *Limiter) updateLimits(ac *Account) {
	slots, connections := ac.newest.Slots, ac.newest.Connections
	for _, ur := range ac.unsettled {
		slots = min(slots, ur.share.Slots)
		connections = min(connections, ur.share.Connections)
	}
	if !lim.ready || lim.closed.Load() {
		slots, connections = 0, 0
	}
	before, _ := ac.slots.load()
	ac.slots.setLimit(slots)
	ac.connections.setLimit(connections)
	if slots > before {
		lim.notifyFreed(ac)
	}
}

// isWithinShare reports whether the use is at most the share under the newest revision.
func (ac *Account) isWithinShare() bool {
	slots, connections := ac.Used()
	return slots <= ac.newest.Slots && connections <= ac.newest.Connections
}

// collectAcknowledgements records the acknowledgements that peers' heartbeats have reported, and
// inquires of the peers directly when that is due and needed.
func (lim *Limiter) collectAcknowledgements(ctx context.Context) {
	prs := lim.peers()
	for _, pr := range prs {
		if pr.SettledRevision > 0 {
			lim.Acknowledge(pr.Host, pr.SettledRevision)
		}
	}
	if time.Since(lim.lastInquiry) < inquiryInterval {
		return
	}
	lim.lastInquiry = time.Now()
	lim.refresh()
	if !lim.needsRefresh.Load() {
		return
	}
	for _, pr := range prs {
		if pr.Client != nil {
			go lim.inquire(ctx, pr)
		}
	}
}

// inquire sends a Borrow request for no slots, whose response has the peer's settled revision.
func (lim *Limiter) inquire(ctx context.Context, pr Peer) {
	ctx, cancel := context.WithTimeout(ctx, messageTimeout)
	defer cancel()
	rp, err := pr.Client.Borrow(ctx, &messenger.BorrowRequest{
		Borrower: string(lim.op.Host), BorrowerBoot: string(lim.op.Boot),
	})
	if err == nil && rp.GetRevision() == rp.GetSettledRevision() {
		lim.acknowledgeInquiry(pr.Host, modeler.Revision(rp.GetSettledRevision()))
	}
}

func (lim *Limiter) peers() []Peer {
	if lim.op.Peers == nil {
		return nil
	}
	return lim.op.Peers()
}
