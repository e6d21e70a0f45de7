package elector

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"github.com/currantrouter/currantrouter/internal/job/modeler"
)

// HasQuorum reports whether more than half of all entry hosts, this one included, have a record, run a process of the
// electorate, and knew no later epoch than this host's own when they answered a heartbeat that it sent after a time. A process
// that this host first heard of after it last found its epoch in the store, at known, does not count: before its start, the host
// may have been told of a later epoch.
func (el *Elector) HasQuorum(after, known time.Time, electorate modeler.Electorate) bool {
	el.mu.Lock()
	defer el.mu.Unlock()
	count, hosts := el.countHosts(func(mb *member) bool {
		return mb.confirmedAt.After(after) && !mb.processSeenAt.After(known) && electorate.Has(mb.voter())
	})
	return 2*count > max(hosts, electorate.Hosts)
}

// voter returns the process of the host that reported last.
func (mb *member) voter() modeler.Voter { return modeler.Voter{Host: mb.Host, Boot: mb.reportedBy} }

// Electorate returns the processes that can confirm this host as leader: those of hosts with a record that were in
// contact with it after a time, and those of the present electorate that no later process of their host has replaced. A leader
// that this host is about to replace or that has resigned, and hosts whose addresses refuse connections, are left out.
func (el *Elector) Electorate(after time.Time, present modeler.Electorate) modeler.Electorate {
	el.mu.Lock()
	defer el.mu.Unlock()
	var voters []modeler.Voter
	_, hosts := el.countHosts(func(mb *member) bool {
		vt, heardAt := mb.voter(), later(mb.lastHeartbeat, mb.lastReply)
		replaced := vt.Host == el.leader.Host && vt.Boot == el.leader.Boot
		runs := vt.Boot != "" && vt.Boot != mb.resigned && heardAt.After(mb.refusedAt)
		counts := runs && (present.Has(vt) || heardAt.After(after) && !replaced)
		if counts {
			voters = append(voters, vt)
		}
		return counts
	})
	slices.SortFunc(voters, func(one, two modeler.Voter) int { return cmp.Compare(one.Host, two.Host) })
	return modeler.Electorate{Leader: modeler.Voter{Host: el.op.Self.Host, Boot: el.op.Self.Boot}, Hosts: hosts, Voters: voters}
}

// QuorumLostAt returns a time from which neither the store nor a quorum of its electorate confirms the leader of an epoch before
// this host's own. It returns false while none is known. Such a leader relies on no process that it had not heard of when the store
// last confirmed it.
func (el *Elector) QuorumLostAt(epoch modeler.Epoch, electorate modeler.Electorate) (time.Time, bool) {
	el.mu.Lock()
	defer el.mu.Unlock()
	if epoch >= el.own.Epoch {
		return time.Time{}, false
	}
	lostAt := el.laterKnownAt(epoch)
	var times []time.Time
	for _, vt := range electorate.Voters {
		if at, ok := el.voterLostAt(vt, epoch); ok {
			times = append(times, at)
		}
	}
	needed := 1 + len(electorate.Voters) - electorate.Hosts/2
	if needed > len(times) {
		return time.Time{}, false
	}
	if needed > 0 {
		slices.SortFunc(times, time.Time.Compare)
		lostAt = later(lostAt, times[needed-1])
	}
	return lostAt, true
}

// laterKnownAt returns a time at which an epoch after the given one had begun, so that the store confirms the leader of that one
// no more. The caller holds mu.
func (el *Elector) laterKnownAt(epoch modeler.Epoch) time.Time {
	first := el.epochBegunAt
	if at, ok := knownSince(el.epochs, epoch+1); ok && at.Before(first) {
		first = at
	}
	for _, mb := range el.members {
		if at, ok := knownSince(mb.epochs, epoch+1); ok && at.Before(first) {
			first = at
		}
	}
	return first
}

// voterLostAt returns a time from which a voter confirms the leader of an epoch no more, as it knew a later one or had ended, and
// false if none is known. The caller holds mu.
func (el *Elector) voterLostAt(vt modeler.Voter, epoch modeler.Epoch) (time.Time, bool) {
	if vt.Host == el.op.Self.Host {
		if vt.Boot != el.op.Self.Boot {
			return el.startedAt, true
		}
		return knownSince(el.epochs, epoch+1)
	}
	mb := el.members[vt.Host]
	if mb == nil {
		return time.Time{}, false
	}
	at, ok := knownSince(mb.epochs, epoch+1)
	// A process before the voter had ended when the voter's leader last found its epoch in the store, and knew no later one.
	if ok && mb.epoch > epoch && mb.reportedBy != vt.Boot && mb.startedBy.Before(at) {
		at = mb.startedBy
	}
	return at, ok
}

// countHosts returns how many entry hosts there are and how many of them count: this one, and each other one with a
// record of which that holds. The caller holds mu.
func (el *Elector) countHosts(counts func(*member) bool) (count, hosts int) {
	count, hosts = 1, 1
	for _, mb := range el.members {
		if mb.Host == el.op.Self.Host {
			continue
		}
		hosts++
		if mb.revision != 0 && counts(mb) {
			count++
		}
	}
	return count, hosts
}

// PrecludesQuorum reports whether so many entry hosts with a record know the epoch of this host's term that no
// earlier leader has a quorum any more. It relies on the records of all hosts as they were after that epoch began, which include
// those that an earlier leader can have read.
func (el *Elector) PrecludesQuorum(epoch modeler.Epoch) bool {
	el.mu.Lock()
	defer el.mu.Unlock()
	return el.precludesQuorum(epoch)
}

func (el *Elector) precludesQuorum(epoch modeler.Epoch) bool {
	if el.own.Epoch != epoch || el.membersReadAt.Before(el.epochBegunAt) {
		return false
	}
	count, hosts := el.countHosts(func(mb *member) bool { return mb.epoch >= epoch })
	return 2*count >= hosts
}

// ReachablePeers returns the addresses of the other hosts that were recently in contact with this
// one and reach the store, those with the most recent answer of the store first.
func (el *Elector) ReachablePeers() []netip.AddrPort {
	return el.reachablePeers(2*leaderHeartbeatInterval, func(one, two *member) int {
		return cmp.Or(cmp.Compare(one.storeAge, two.storeAge), cmp.Compare(one.Host, two.Host))
	})
}

// PeersReachedStore reports whether the store has answered another host after a time, as far as the last messages of the
// other hosts tell. An answer counts as later than it was by as long as its host's message was under way.
func (el *Elector) PeersReachedStore(after time.Time) bool {
	el.mu.Lock()
	defer el.mu.Unlock()
	for _, mb := range el.members {
		if mb.Host != el.op.Self.Host && later(mb.lastHeartbeat, mb.lastReply).Add(-mb.storeAge).After(after) {
			return true
		}
	}
	return false
}

// ReachableHosts returns the other hosts that were in contact with this one within the last heartbeats and are not
// draining, whether they reach the store or not.
func (el *Elector) ReachableHosts() []Member {
	el.mu.Lock()
	defer el.mu.Unlock()
	var list []Member
	for _, mb := range el.members {
		if mb.Host != el.op.Self.Host && !mb.draining && mb.Address.IsValid() && time.Since(later(mb.lastHeartbeat, mb.lastReply)) < 2*leaderHeartbeatInterval {
			list = append(list, mb.Member)
		}
	}
	return list
}

// reachablePeers returns the addresses of the other hosts that are not draining, reach the store,
// and were in contact with this host within maxAge, sorted by compare.
func (el *Elector) reachablePeers(maxAge time.Duration, compare func(one, two *member) int) []netip.AddrPort {
	el.mu.Lock()
	defer el.mu.Unlock()
	var list []*member
	for _, mb := range el.members {
		if mb.Host != el.op.Self.Host && !mb.draining && mb.storeAge < storeContactTimeout && time.Since(later(mb.lastHeartbeat, mb.lastReply)) < maxAge {
			list = append(list, mb)
		}
	}
	slices.SortFunc(list, compare)
	addrs := make([]netip.AddrPort, len(list))
	for ix, mb := range list {
		addrs[ix] = mb.Address
	}
	return addrs
}
