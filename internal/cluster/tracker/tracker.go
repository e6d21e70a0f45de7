// Package tracker keeps the membership of the entry hosts by heartbeats that peers exchange.
package tracker

import (
	"context"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"github.com/currantrouter/currantrouter/internal/cluster/messenger"
	"github.com/currantrouter/currantrouter/internal/daemon/meter"
	"github.com/currantrouter/currantrouter/internal/fleet/modeler"
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
	// Heard is the time at which the last new heartbeat arrived.
	Heard    time.Time
	Leaving  bool
	Revision modeler.Revision
	// SettledRevision is the newest revision to which the peer has reduced its use of slots.
	SettledRevision modeler.Revision
	LeaderEpoch     modeler.Epoch
	Leading         bool
	Load            Load
	// HourCounts are the newest counts that the peer sent. They are absolute and not changed
	// after they are published.
	HourCounts []*messenger.HourCount
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
	// Dial returns the client for an address. It is called again for the same address.
	Dial func(netip.AddrPort) messenger.Peer
	// Load and HourCounts report on this host. They may be nil.
	Load       func() Load
	HourCounts func() []*messenger.HourCount
	// Learned is called when a heartbeat of a peer carries a revision. It must not block. It may
	// be nil.
	Learned func(modeler.HostName, modeler.Revision)
	// Replaced is called when a newer boot of this host's own name is seen. The process then has
	// to stop taking new work. It may be nil.
	Replaced func()
	// Timeout bounds one exchange.
	Timeout time.Duration
	Log     logr.Logger
	Meter   *meter.Registry
}

// Tracker knows the entry hosts. It is safe for concurrent use.
type Tracker struct {
	opt  Options
	view atomic.Pointer[[]Peer]
}

// New returns a tracker that knows only its own host.
func New(opt Options) *Tracker { return &Tracker{opt: opt} }

// Run exchanges heartbeats until the context ends.
func (trk *Tracker) Run(_ context.Context) {}

// Peers returns all other hosts, ordered by name. It takes no lock; the slice must not be changed.
func (trk *Tracker) Peers() []Peer {
	if vw := trk.view.Load(); vw != nil {
		return *vw
	}
	return nil
}

// Leader returns the host, this one included, that leads a data centre with the highest epoch and
// is alive, and false when none is known.
func (trk *Tracker) Leader(_ modeler.DataCentreName) (Peer, bool) { return Peer{}, false }

// SetHosts replaces the hosts that the configuration lists.
func (trk *Tracker) SetHosts(_ []modeler.Host) {}

// SetRevision reports the revision in force at this host. It is sent at once when spread is set.
func (trk *Tracker) SetRevision(_ modeler.Revision, _ bool) {}

// SetSettled reports the settled revision of this host.
func (trk *Tracker) SetSettled(_ modeler.Revision) {}

// SetLeading reports the epoch of this host's leadership and whether it still leads.
func (trk *Tracker) SetLeading(_ modeler.Epoch, _ bool) {}

// SetLeaving reports that this host takes no new work.
func (trk *Tracker) SetLeaving() {}
