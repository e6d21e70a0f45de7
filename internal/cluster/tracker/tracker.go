// Package tracker maintains the membership of the entry hosts. Hosts gossip heartbeats and state
// with their peers, detect failed hosts and take over the leadership of their data centre.
package tracker

import (
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"github.com/currantrouter/currantrouter/internal/cluster/messenger"
	"github.com/currantrouter/currantrouter/internal/fleet/modeler"
	"github.com/currantrouter/currantrouter/internal/telemetry/meter"
)

// Health is the state of a peer as seen by this host's failure detector.
type Health int

// The states of a peer.
const (
	// Unheard means that no heartbeat of the peer has arrived yet.
	Unheard Health = iota
	// Alive means that a heartbeat arrived within the suspect timeout.
	Alive
	// Suspect means that no heartbeat arrived for 3 s, or 15 s from another data centre.
	Suspect
	// Dead means that no heartbeat arrived for 5 s, or 30 s from another data centre.
	Dead
)

// Peer is the state of an entry host as this host knows it.
type Peer struct {
	Host       modeler.HostName
	DataCentre modeler.DataCentreName
	// Address is not valid while only other peers have reported the host.
	Address     netip.AddrPort
	Boot        modeler.BootID
	BootStarted time.Time
	Health      Health
	// LastHeartbeat is the time of the most recent heartbeat, on this host's clock. For an unheard
	// host, it is the time at which this host learned of it.
	LastHeartbeat time.Time
	// Leaving states that the peer takes no new work.
	Leaving bool
	// Revision is the configuration revision in force at the peer.
	Revision modeler.Revision
	// SettledRevision is the newest revision to which the peer has reduced its use of slots.
	SettledRevision modeler.Revision
	// LeaderEpoch is the highest epoch in which the peer has led its data centre in this boot.
	LeaderEpoch modeler.Epoch
	// Leading states that the peer considers itself the leader in LeaderEpoch.
	Leading bool
	Load    Load
	// HourCounts are the newest counts that the peer sent. They are totals, not increments, and
	// must not be changed.
	HourCounts []*messenger.HourCount
	// PreviousBoot and PreviousHourCounts are the previous boot and its last counts, which the peer
	// can no longer report.
	PreviousBoot       modeler.BootID
	PreviousHourCounts []*messenger.HourCount
}

// Load is the load of a host.
type Load struct {
	FreeSlots   int
	QueuedCalls int
}

// Options configure a Tracker.
type Options struct {
	Self        modeler.Host
	Boot        modeler.BootID
	BootStarted time.Time
	// Seeds are peer addresses to contact while no other peer is known.
	Seeds []netip.AddrPort
	// Dial returns the client for an address; see Clients.Dial.
	Dial func(netip.AddrPort) messenger.Peer
	// Load and HourCounts return this host's load and counts. They may be nil.
	Load       func() Load
	HourCounts func() []*messenger.HourCount
	// OnRevision is called with the address and revision of a peer that sent a digest, and of those that it
	// relayed with a higher revision. It must not block. It may be nil.
	OnRevision func(netip.AddrPort, modeler.Revision)
	// OnReplaced is called once, in a new goroutine, when a newer process with this host's name is
	// detected. This process must then stop taking new work. It may be nil.
	OnReplaced func()
	Log        logr.Logger
	Meter      *meter.Registry
}

// Tracker maintains the state of all entry hosts. It is safe for concurrent use.
type Tracker struct {
	opt Options
	// started is the time at which the tracker was created, with its monotonic clock reading.
	started time.Time
	// peersSnapshot is a copy of members, ordered by name.
	peersSnapshot atomic.Pointer[[]Peer]
	// selfSnapshot is a copy of this host's state.
	selfSnapshot atomic.Pointer[Peer]

	// announcements has a capacity of one and signals that this host's state is to be sent at once.
	announcements chan struct{}

	// mu guards the fields below.
	mu sync.Mutex
	// self is this host's state. Its sequence rises with each heartbeat and change.
	self messenger.HostDigest
	// replaced states that a newer process with this host's name was detected.
	replaced bool
	// announceToAll states that more than the revision has changed since the last announcement, so
	// that hosts that have the revision already need the next one, too.
	announceToAll bool
	// members holds the other hosts by name, at most maxMembers unless the configuration lists
	// more.
	members map[modeler.HostName]*member
	// configHosts lists the hosts of the configuration that are not retired, including this one.
	// configHostsHash is its hash.
	configHosts     []modeler.HostName
	configHostsHash uint32
	// relayMessages counts the messages that relayed the state of other hosts.
	relayMessages int64
}

// New returns a tracker that knows only this host.
func New(opt Options) *Tracker {
	trk := &Tracker{
		opt:           opt,
		started:       time.Now(),
		announcements: make(chan struct{}, 1),
		members:       map[modeler.HostName]*member{},
	}
	trk.self.Host = string(opt.Self.Name)
	trk.self.DataCentre = string(opt.Self.DataCentre)
	trk.self.Boot = string(opt.Boot)
	trk.self.BootStartedMillis = opt.BootStarted.UnixMilli()
	trk.publishSnapshots()
	return trk
}

// Peers returns all other hosts, ordered by name. It takes no lock. The caller must not modify the
// slice.
func (trk *Tracker) Peers() []Peer { return *trk.peersSnapshot.Load() }

// Self returns the state that this host reports to its peers.
func (trk *Tracker) Self() Peer { return *trk.selfSnapshot.Load() }

// Leader returns the host with the highest leader epoch in a data centre, which may be this host.
// It returns false when no leader is known, or when that host has stepped down or is dead.
func (trk *Tracker) Leader(dc modeler.DataCentreName) (Peer, bool) {
	var best Peer
	consider := func(pr Peer) {
		if pr.DataCentre == dc && pr.LeaderEpoch > best.LeaderEpoch {
			best = pr
		}
	}
	consider(trk.Self())
	for _, pr := range trk.Peers() {
		consider(pr)
	}
	// A host that still claims leadership with a lower epoch was deposed, even when the host with
	// the highest epoch is dead.
	return best, best.Leading && best.Health != Dead
}

// SetHosts replaces the hosts that the configuration lists. Members that it does not list are
// removed unless they are alive.
func (trk *Tracker) SetHosts(hosts []modeler.Host) {
	trk.mu.Lock()
	defer trk.mu.Unlock()
	for _, mb := range trk.members {
		mb.configured = false
	}
	now := time.Now()
	trk.configHosts = trk.configHosts[:0]
	for _, hst := range hosts {
		if hst.Retired {
			continue
		}
		trk.configHosts = append(trk.configHosts, hst.Name)
		if hst.Name == trk.opt.Self.Name {
			continue
		}
		mb := trk.members[hst.Name]
		if mb == nil {
			mb = &member{Peer: Peer{Host: hst.Name, LastHeartbeat: now}}
			trk.members[hst.Name] = mb
		}
		mb.configured = true
		mb.DataCentre = hst.DataCentre
		mb.Address = hst.Peer
	}
	for name, mb := range trk.members {
		if !mb.configured && mb.Health != Alive {
			delete(trk.members, name)
		}
	}
	trk.configHostsHash = hashHostNames(trk.configHosts)
	trk.publishSnapshots()
}

// SetRevision reports the revision in force at this host and the address of the peer it was fetched
// from, which is not valid for other sources. The change is announced at once, unless the peer is
// in this host's data centre and so announces the change itself.
func (trk *Tracker) SetRevision(rev modeler.Revision, from netip.AddrPort) {
	trk.updateSelf(!trk.isLocalPeer(from), func(dg *messenger.HostDigest) {
		dg.Revision = max(dg.Revision, int64(rev))
	})
}

// isLocalPeer reports whether a peer in this host's data centre has the address.
func (trk *Tracker) isLocalPeer(addr netip.AddrPort) bool {
	return slices.ContainsFunc(trk.Peers(), func(pr Peer) bool {
		return addr.IsValid() && pr.Address == addr && pr.DataCentre == trk.opt.Self.DataCentre
	})
}

// SetSettledRevision reports the settled revision of this host; see Peer.SettledRevision.
func (trk *Tracker) SetSettledRevision(rev modeler.Revision) {
	trk.updateSelf(false, func(dg *messenger.HostDigest) { dg.SettledRevision = int64(rev) })
}

// SetLeading reports the epoch of this host's leadership and whether it still leads, and announces
// the change.
func (trk *Tracker) SetLeading(epoch modeler.Epoch, leading bool) {
	trk.updateSelf(true, func(dg *messenger.HostDigest) {
		trk.announceToAll = true
		dg.LeaderEpoch = int64(epoch)
		dg.Leading = leading
	})
}

// SetLeaving reports that this host takes no new work, and announces the change.
func (trk *Tracker) SetLeaving() {
	trk.updateSelf(true, func(dg *messenger.HostDigest) {
		trk.announceToAll = true
		dg.Leaving = true
	})
}

// ClearLeaving reports that this host takes new work again, and announces the change.
func (trk *Tracker) ClearLeaving() {
	trk.updateSelf(true, func(dg *messenger.HostDigest) {
		trk.announceToAll = true
		dg.Leaving = false
	})
}

// updateSelf applies a change to this host's state and, with announce, requests that it be sent at
// once.
func (trk *Tracker) updateSelf(announce bool, apply func(*messenger.HostDigest)) {
	trk.mu.Lock()
	apply(&trk.self)
	trk.self.Sequence++
	trk.publishSnapshots()
	trk.mu.Unlock()
	if !announce {
		return
	}
	select {
	case trk.announcements <- struct{}{}:
	default:
	}
}
