// Package tracker keeps the membership of the entry hosts by heartbeats that peers exchange.
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

// Health is what a host believes of a peer.
type Health int

// The states of health.
const (
	// Unheard means that no heartbeat of the peer has arrived yet.
	Unheard Health = iota
	// Alive means that a heartbeat arrived within the limit.
	Alive
	// Suspect means that the peer was silent for 3 s, or 15 s in another data centre.
	Suspect
	// Dead means that a peer of the own data centre was silent for 5 s, and one of another data
	// centre for 30 s.
	Dead
)

// Peer is what this host knows of another entry host.
type Peer struct {
	Host       modeler.HostName
	DataCentre modeler.DataCentreName
	// Address is not valid while only other peers have reported the host.
	Address     netip.AddrPort
	Boot        modeler.BootID
	BootStarted time.Time
	Health      Health
	// Heard is the time at which the last new heartbeat arrived. For a host that was never heard
	// it is the time at which this host learned of it.
	Heard    time.Time
	Leaving  bool
	Revision modeler.Revision
	// SettledRevision is the newest revision to which the peer has reduced its use of slots.
	SettledRevision modeler.Revision
	// LeaderEpoch is the highest epoch in which the peer has led its data centre in this boot.
	LeaderEpoch modeler.Epoch
	// Leading states that the peer still leads in that epoch, as far as it knows.
	Leading bool
	Load    Load
	// HourCounts are the newest counts that the peer sent. They are absolute and not changed
	// after they are published.
	HourCounts []*messenger.HourCount
	// FormerBoot and FormerCounts are the last counts of the boot before, which its host can't
	// report any more.
	FormerBoot   modeler.BootID
	FormerCounts []*messenger.HourCount
}

// Load summarises how busy a host is.
type Load struct {
	FreeSlots   int
	QueuedCalls int
}

// Options configure a Tracker.
type Options struct {
	Self        modeler.Host
	Boot        modeler.BootID
	BootStarted time.Time
	// Seeds are addresses of peers whose names are not known yet.
	Seeds []netip.AddrPort
	// Dial returns the client for an address, as Clients.Dial does.
	Dial func(netip.AddrPort) messenger.Peer
	// Load and HourCounts report on this host. They may be nil.
	Load       func() Load
	HourCounts func() []*messenger.HourCount
	// Learned is called when a heartbeat of a peer carries a revision. It must not block. It may
	// be nil.
	Learned func(netip.AddrPort, modeler.Revision)
	// Replaced is called once when a newer boot of this host's own name is seen. The process then
	// has to stop taking new work. It may be nil.
	Replaced func()
	Log      logr.Logger
	Meter    *meter.Registry
}

// Tracker knows the entry hosts. It is safe for concurrent use.
type Tracker struct {
	opt Options
	// started is the time at which the tracker was made, on the monotonic clock.
	started time.Time
	// view is the published copy of members, ordered by name.
	view atomic.Pointer[[]Peer]
	// own is the published state of this host.
	own atomic.Pointer[Peer]

	// spreads carries requests to send this host's state at once. It holds at most one.
	spreads chan struct{}

	// mu guards the fields below.
	mu sync.Mutex
	// self has this host's state. Its sequence rises with each heartbeat and change.
	self     messenger.HostDigest
	replaced bool
	// spreadAll states that more than the revision has changed since the last spread.
	spreadAll bool
	// members has no entry for this host and at most maxMembers.
	members map[modeler.HostName]*member
	// order lists the hosts of the configuration, this one included, and orderHash stands for it.
	order     []modeler.HostName
	orderHash uint32
	// messages counts the messages that passed other hosts on.
	messages int64
}

// New returns a tracker that knows only its own host.
func New(opt Options) *Tracker {
	trk := &Tracker{
		opt:     opt,
		started: time.Now(),
		spreads: make(chan struct{}, 1),
		members: map[modeler.HostName]*member{},
	}
	trk.self.Host = string(opt.Self.Name)
	trk.self.DataCentre = string(opt.Self.DataCentre)
	trk.self.Boot = string(opt.Boot)
	trk.self.BootStartedMillis = opt.BootStarted.UnixMilli()
	trk.publish()
	return trk
}

// Peers returns all other hosts, ordered by name. It takes no lock; the slice must not be changed.
func (trk *Tracker) Peers() []Peer { return *trk.view.Load() }

// Self returns the state of this host that peers see.
func (trk *Tracker) Self() Peer { return *trk.own.Load() }

// Leader returns the host, this one included, that leads a data centre, and false when none is
// known or the last known one is dead.
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
	// A host with a lower epoch that still believes to lead was deposed, even when the host with
	// the highest epoch is dead.
	return best, best.Leading && best.Health != Dead
}

// SetHosts replaces the hosts that the configuration lists.
func (trk *Tracker) SetHosts(hosts []modeler.Host) {
	trk.mu.Lock()
	defer trk.mu.Unlock()
	for _, mb := range trk.members {
		mb.configured = false
	}
	now := time.Now()
	trk.order = trk.order[:0]
	for _, hst := range hosts {
		if hst.Retired {
			continue
		}
		trk.order = append(trk.order, hst.Name)
		if hst.Name == trk.opt.Self.Name {
			continue
		}
		mb := trk.members[hst.Name]
		if mb == nil {
			mb = &member{Peer: Peer{Host: hst.Name, Heard: now}}
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
	trk.orderHash = hashOrder(trk.order)
	trk.publish()
}

// SetRevision reports the revision in force at this host and the address of the peer that sent
// it, which is not valid for other sources. The change is sent at once unless a host of the own
// data centre has sent it, which tells the others itself.
func (trk *Tracker) SetRevision(rev modeler.Revision, from netip.AddrPort) {
	trk.change(!trk.inOwnDataCentre(from), func(dg *messenger.HostDigest) {
		dg.Revision = max(dg.Revision, int64(rev))
	})
}

func (trk *Tracker) inOwnDataCentre(addr netip.AddrPort) bool {
	return slices.ContainsFunc(trk.Peers(), func(pr Peer) bool {
		return addr.IsValid() && pr.Address == addr && pr.DataCentre == trk.opt.Self.DataCentre
	})
}

// SetSettled reports the settled revision of this host.
func (trk *Tracker) SetSettled(rev modeler.Revision) {
	trk.change(false, func(dg *messenger.HostDigest) { dg.SettledRevision = int64(rev) })
}

// SetLeading reports the epoch of this host's leadership and whether it still leads.
func (trk *Tracker) SetLeading(epoch modeler.Epoch, leading bool) {
	trk.change(true, func(dg *messenger.HostDigest) {
		trk.spreadAll = true
		dg.LeaderEpoch = int64(epoch)
		dg.Leading = leading
	})
}

// SetLeaving reports that this host takes no new work.
func (trk *Tracker) SetLeaving() {
	trk.change(true, func(dg *messenger.HostDigest) {
		trk.spreadAll = true
		dg.Leaving = true
	})
}

// WithdrawLeaving reports that this host takes new work again.
func (trk *Tracker) WithdrawLeaving() {
	trk.change(true, func(dg *messenger.HostDigest) {
		trk.spreadAll = true
		dg.Leaving = false
	})
}

// change applies a change to this host's state and sends it at once when spread is set.
func (trk *Tracker) change(spread bool, apply func(*messenger.HostDigest)) {
	trk.mu.Lock()
	apply(&trk.self)
	trk.self.Sequence++
	trk.publish()
	trk.mu.Unlock()
	if !spread {
		return
	}
	select {
	case trk.spreads <- struct{}{}:
	default:
	}
}
