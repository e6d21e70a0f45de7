package elector

import (
	"cmp"
	"context"
	"errors"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	fleet "github.com/currantrouter/currantrouter/internal/fleet/modeler"
	"github.com/currantrouter/currantrouter/internal/job/modeler"
	"github.com/currantrouter/currantrouter/internal/provider/storer"
	"github.com/currantrouter/currantrouter/internal/telemetry/logger"
)

// probeLeader sends a heartbeat to the leader. It polls the other hosts when the leader has not
// been seen for the suspicion timeout.
func (el *Elector) probeLeader(ctx context.Context) {
	el.mu.Lock()
	el.probeRounds++
	leader, inTerm, draining := el.watched(), el.inTerm, el.draining
	skipProbe := leader != el.awaited && el.probeRounds%roundsPerSlowProbe != 0 && el.rank(nil) >= maxFrequentProbers
	suspected := time.Since(el.leaderLastSeen) >= el.currentSuspicionTimeout()
	el.mu.Unlock()
	if inTerm || draining {
		return
	}
	if leader.Address.IsValid() && leader.Host != el.op.Self.Host && !skipProbe && !suspected {
		el.sendHeartbeat(ctx, leader.Address, heartbeatTimeout)
	}
	el.mu.Lock()
	sinceSeen, timeout := time.Since(el.leaderLastSeen), el.currentSuspicionTimeout()
	membersRead := el.membersRead
	el.mu.Unlock()
	// A host that has just started and has not read the other hosts' records cannot know whether one
	// of them leads.
	if !membersRead || sinceSeen < timeout || el.op.StoreAge() > storeContactTimeout {
		return
	}
	el.pollPeers(ctx, sinceSeen)
}

// currentSuspicionTimeout returns the time without contact with the leader after which this host
// suspects that it failed. The caller holds mu.
func (el *Elector) currentSuspicionTimeout() time.Duration {
	if el.leaderEnded() || el.watched().Host == "" {
		return refusedSuspicionTimeout
	}
	return suspicionTimeout
}

// leaderEnded reports whether the leader's address refuses connections, another process of its host answers, or it is an
// earlier process of this host. The caller holds mu.
func (el *Elector) leaderEnded() bool {
	leader := el.watched()
	if leader.Host == el.op.Self.Host {
		return leader.Boot != el.op.Self.Boot
	}
	mb := el.members[leader.Host]
	return el.leaderRefuses || mb != nil && mb.reportedBy != "" && mb.reportedBy != leader.Boot
}

// pollPeers sends heartbeats to all hosts and takes over if it finds that there is no leader: the
// majority of those whose processes have not ended agrees that the leader has failed, or its record
// in the store has not changed for storeHeartbeatTimeout. The leader has not been seen for the
// duration sinceSeen.
func (el *Elector) pollPeers(ctx context.Context, sinceSeen time.Duration) {
	el.mu.Lock()
	suspect := el.watched()
	el.mu.Unlock()
	pollBegan := time.Now()
	el.sendHeartbeats(ctx, el.otherHosts(), pollTimeout)
	stale := el.storeHeartbeatStale(ctx, suspect)
	el.mu.Lock()
	now, agreed, total := time.Now(), el.countAgreeing(pollBegan), len(el.members)
	ended := el.endedMembers(pollBegan)
	noLeader := el.watched() == suspect && now.Sub(el.leaderLastSeen) >= sinceSeen && (isMajority(agreed, total, len(ended)) || stale)
	switch {
	case !noLeader:
		el.noLeaderSince = time.Time{}
	case el.noLeaderSince.IsZero():
		el.noLeaderSince = now
	}
	rank, stopped := el.rank(&pollBegan), suspect.Host != "" && el.hasStopped(suspect.Host, suspect.Boot, suspect.Epoch+1)
	tooEarly := now.Sub(el.noLeaderSince) < time.Duration(rank)*rankDelay
	el.mu.Unlock()
	if !noLeader || tooEarly {
		return
	}
	logger.Log(el.op.Log, logger.LeaderGone, "Leader", suspect.Host, "Epoch", suspect.Epoch, "Silence", sinceSeen.String(),
		"Agreed", agreed, "Hosts", total, "Ended", len(ended), "Rank", rank, "Stopped", stopped)
	el.mu.Lock()
	defer el.mu.Unlock()
	for _, mb := range ended {
		mb.countedEnded = mb.reportedBy
	}
	el.startTerm(suspect.Epoch)
}

// otherHosts returns the addresses of all other hosts, of seeds too.
func (el *Elector) otherHosts() []netip.AddrPort {
	el.mu.Lock()
	defer el.mu.Unlock()
	addrs := slices.Clone(el.op.Seeds)
	for _, mb := range el.members {
		if mb.Host != el.op.Self.Host && !slices.Contains(addrs, mb.Address) {
			addrs = append(addrs, mb.Address)
		}
	}
	return addrs
}

// countAgreeing returns the number of hosts that agree that the leader has failed and that replied
// since the given time. This host counts as one. The caller holds mu.
func (el *Elector) countAgreeing(since time.Time) int {
	agreed := 1
	for _, mb := range el.members {
		if mb.Host != el.op.Self.Host && !mb.lastReply.Before(since) && mb.agreesLeaderFailed() {
			agreed++
		}
	}
	return agreed
}

// endedMembers returns the hosts whose processes have ended, as their addresses have refused a connection since the given
// time and nothing arrived from them after that. A host that does not answer may run. The caller holds mu.
func (el *Elector) endedMembers(since time.Time) []*member {
	if el.refusalsMislead {
		return nil
	}
	var list []*member
	for _, mb := range el.members {
		if mb.Host != el.op.Self.Host && !mb.refusedAt.Before(since) && later(mb.lastHeartbeat, mb.lastReply).Before(mb.refusedAt) {
			list = append(list, mb)
		}
	}
	return list
}

// isMajority reports whether the hosts that agree are more than half of those whose processes have not ended. A single host,
// or a small part of the hosts, relies on no refusals: the network between it and the others may reject connections.
func isMajority(agreed, total, ended int) bool {
	return 2*agreed > total || agreed > 1 && 3*agreed >= total && 2*agreed > total-ended
}

// checkRefusals notes that refusals mislead if the leader of a later epoch is a process that was counted as ended.
// Without that, two sides of a network that rejects connections between them would replace each other's leaders again
// and again. The caller holds mu.
func (el *Elector) checkRefusals(leader *Leader) {
	mb := el.members[leader.Host]
	if mb == nil || mb.countedEnded == "" || mb.countedEnded != leader.Boot || el.refusalsMislead {
		return
	}
	el.refusalsMislead = true
	logger.Log(el.op.Log, logger.RefusalsMislead, "Host", leader.Host, "Epoch", leader.Epoch)
}

// agreesLeaderFailed reports whether the host does not lead and reported that it cannot reach the
// leader either.
func (mb *member) agreesLeaderFailed() bool {
	return !mb.leading && (mb.sinceLeaderSeen >= agreementTimeout || mb.leaderRefuses)
}

// rank returns the number of hosts that are preferred to this one as leader and are not draining.
// If since is not nil, it counts only those of them that have replied since, reach the store and
// agree that the leader has failed: the others will not try to lead soon. The caller holds mu.
func (el *Elector) rank(since *time.Time) int {
	rank := 0
	for _, mb := range el.members {
		if mb.Host == el.op.Self.Host || mb.draining || since != nil && (mb.lastReply.Before(*since) || mb.storeAge > storeContactTimeout || !mb.agreesLeaderFailed()) {
			continue
		}
		if compareCandidates(&mb.Member, &el.op.Self) < 0 {
			rank++
		}
	}
	return rank
}

// compareCandidates orders hosts by preference as leader, the preferred first.
func compareCandidates(one, two *Member) int {
	return cmp.Or(cmp.Compare(two.Weight, one.Weight), cmp.Compare(tieBreaker(two.Host), tieBreaker(one.Host)))
}

// tieBreaker returns the number by which hosts of equal weight are ordered. It is a hash of the
// name, so that the order does not follow data centres.
func tieBreaker(host fleet.HostName) uint64 { return xxhash.Sum64String(string(host)) }

// HasStopped reports whether it is certain that a process that led sends no more requests to workers: its
// term has ended at this host, a later process of its host runs, it has resigned, or it has reported
// that it knows the given epoch, which is the one after its own. A process reports a later epoch only once its
// own term has ended.
func (el *Elector) HasStopped(host fleet.HostName, boot fleet.BootID, epoch modeler.Epoch) bool {
	el.mu.Lock()
	defer el.mu.Unlock()
	return el.hasStopped(host, boot, epoch)
}

// StoppedAt returns a time from which the process that HasStopped reports as stopped sends no requests, and false if it is
// not known to have stopped. A process has ended before a later one of its host was up, and its term before it counts a later
// epoch as known.
func (el *Elector) StoppedAt(host fleet.HostName, boot fleet.BootID, epoch modeler.Epoch) (time.Time, bool) {
	el.mu.Lock()
	defer el.mu.Unlock()
	mb := el.members[host]
	switch {
	case !el.hasStopped(host, boot, epoch):
		return time.Time{}, false
	case host == el.op.Self.Host && boot != el.op.Self.Boot:
		return el.startedAt, true
	case host == el.op.Self.Host || mb.resigned == boot:
		return time.Now(), true
	case mb.reportedBy != boot:
		return mb.startedBy, true
	}
	return knownSince(mb.epochs, epoch)
}

// hasStopped is HasStopped for callers that hold mu.
func (el *Elector) hasStopped(host fleet.HostName, boot fleet.BootID, epoch modeler.Epoch) bool {
	if host == el.op.Self.Host {
		return true
	}
	mb := el.members[host]
	switch {
	case mb == nil || mb.reportedBy == "":
		return false
	case mb.resigned == boot:
		return true
	case mb.reportedBy != boot:
		// The message may be a late one of an earlier process, which did not know the epoch that this one led.
		return mb.epoch >= epoch-1
	}
	return mb.epoch >= epoch && !mb.leading
}

// LeaderKnownFor returns for how long this host has known of the leader of an epoch, zero if another epoch is
// the last that it knows.
func (el *Elector) LeaderKnownFor(epoch modeler.Epoch) time.Duration {
	el.mu.Lock()
	defer el.mu.Unlock()
	if el.leader.Epoch != epoch || epoch == 0 {
		return 0
	}
	return time.Since(el.leaderKnownAt)
}

// storeHeartbeatStale reports whether the leader's record in the store has not changed for
// storeHeartbeatTimeout, or, without a known leader, whether no host has reported one for as long.
func (el *Elector) storeHeartbeatStale(ctx context.Context, leader Leader) bool {
	if leader.Host == "" {
		return el.noLeaderReported()
	}
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	en, err := el.op.Store.Get(ctx, memberPrefix+string(leader.Host))
	if err != nil && !errors.Is(err, storer.ErrNotFound) {
		return false
	}
	el.mu.Lock()
	defer el.mu.Unlock()
	if en.Revision != el.leaderRevision || el.leaderRevisionAt.IsZero() {
		el.leaderRevision, el.leaderRevisionAt = en.Revision, time.Now()
		return false
	}
	return time.Since(el.leaderRevisionAt) > storeHeartbeatTimeout
}

// noLeaderReported reports whether no host has reported a leader for storeHeartbeatTimeout.
func (el *Elector) noLeaderReported() bool {
	el.mu.Lock()
	defer el.mu.Unlock()
	return time.Since(el.leaderLastSeen) > storeHeartbeatTimeout
}
