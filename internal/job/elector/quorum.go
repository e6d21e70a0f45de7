package elector

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"github.com/currantrouter/currantrouter/internal/job/modeler"
)

// HasQuorum reports whether more than half of all entry hosts, this one included, have a record and knew no later
// epoch than this host's own when they answered a heartbeat that it sent after a time. A process that this host first heard
// of after it last found its epoch in the store, at known, does not count: before its start, the host may
// have been told of a later epoch.
func (el *Elector) HasQuorum(after, known time.Time) bool {
	el.mu.Lock()
	defer el.mu.Unlock()
	count, hosts := el.countHosts(func(mb *member) bool { return mb.confirmedAt.After(after) && !mb.processSeenAt.After(known) })
	return 2*count > hosts
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
