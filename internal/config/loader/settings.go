package loader

import (
	"net/netip"
	"time"

	"github.com/currantrouter/currantrouter/internal/fleet/modeler"
)

// Settings are the settings of one daemon.
type Settings struct {
	Host     HostSettings
	Listen   ListenSettings
	Platform PlatformSettings
	// Peers are addresses of other entry hosts. They are used only until the host has a
	// configuration, which lists all entry hosts.
	Peers  []netip.AddrPort
	Log    LogSettings
	Limits LimitSettings
	TLS    TLSSettings
	Jobs   JobSettings
	// Check is set when the daemon checks the settings and exits.
	Check bool
	// Standalone is set when the daemon emulates the platform in memory.
	Standalone bool
	// Args is the command line that the settings were loaded from.
	Args []string
	// Version is set when the daemon prints its version and exits. Only Check, Standalone and Args
	// are set as well.
	Version bool
}

// HostSettings identify the host and describe its capacity.
type HostSettings struct {
	Name       modeler.HostName
	DataCentre modeler.DataCentreName
	// Share is the fraction of a core that the host may use.
	Share float64
	// Speed is the speed of the core relative to other hosts.
	Speed float64
}

// JobSettings configure the scheduling of callers' jobs on the users' platform.
type JobSettings struct {
	// Enabled selects callers' jobs instead of calls and the plan of the day.
	Enabled bool
	// Lease is the time for which a worker runs tasks without a renewal. It is at most LongestLease.
	Lease time.Duration
	// LongestLease is the longest lease that workers accept.
	LongestLease time.Duration
	// StopLimit bounds the time that a worker takes to stop a task.
	StopLimit time.Duration
	// Retention is the time for which the state of an ended job is kept.
	Retention time.Duration
	// RestoreTime is the time that a task takes to load a checkpoint.
	RestoreTime time.Duration
	// HarmLimit bounds the time for which a latency-critical task may exceed its tail-latency target
	// beside best-effort work.
	HarmLimit time.Duration
	// FarFactor is the ratio of the run time of a task far from its data to that near its data.
	FarFactor float64
	// EvacuationLimit is the time after a request to evacuate a data centre from which no task may start there. If it
	// is zero, evacuations are not read.
	EvacuationLimit time.Duration
	// ShortagePolicy is how the scheduler orders and places tasks while capacity is short: Deadline or
	// Value.
	ShortagePolicy string
	// RefuseUseless is set if jobs that certainly cannot be of use any more are refused, rather than only
	// those that cannot be stored.
	RefuseUseless bool
}

// ListenSettings are the addresses that the daemon listens on.
type ListenSettings struct {
	Callers   netip.AddrPort
	Operators netip.AddrPort
	Peers     netip.AddrPort
	// Readiness is required when Jobs.Enabled is set.
	Readiness netip.AddrPort
}

// PlatformSettings are the addresses of the platform's services. An address that is not set is not
// valid in the sense of netip.AddrPort.IsValid.
type PlatformSettings struct {
	// Store is required unless the daemon is standalone.
	Store netip.AddrPort
	// HostList is required unless the daemon is standalone or Jobs.Enabled is set.
	HostList netip.AddrPort
	// Policy is set only where the platform has a policy service.
	Policy netip.AddrPort
}

// LogSettings configure the log.
type LogSettings struct {
	// Format is "json" or "text".
	Format string
}

// LimitSettings bound durations and sizes.
type LimitSettings struct {
	// DrainLimit bounds the time from the start of a drain to its end.
	DrainLimit time.Duration
	// StoreTimeout bounds one call to the key-value service.
	StoreTimeout time.Duration
	// PeerTimeout bounds one message to a peer.
	PeerTimeout time.Duration
	// IdleTimeout is the time after which an idle connection of a caller is closed.
	IdleTimeout time.Duration
	// HeaderBytes bounds the size of the header of a request.
	HeaderBytes int64
	// KeptKeys bounds the number of idempotency keys that a leader keeps. A key is kept for 24 hours.
	KeptKeys int64
	// KeptAnswerBytes bounds the memory for answers that a leader keeps for retries.
	KeptAnswerBytes int64
	// MemoryMB is the memory of the host. Zero means that of the machine.
	MemoryMB int64
	// Descriptors is the maximum number of open descriptors of the process. Zero means the limit of the system.
	Descriptors int64
	// BodyMemory bounds the memory held for bodies of requests, in bytes.
	BodyMemory int64
	// PeerBodyBytes bounds the size of a body on the peers' interface.
	PeerBodyBytes int64
	// BodyStall is the time without progress after which a body is ended.
	BodyStall time.Duration
	// BodyTime is the time after which a body is ended where the timeout of its request is not known.
	BodyTime time.Duration
	// Connections bounds the connections that clients have open.
	Connections int64
	// ConnectionsPerAddress bounds them for each interface and remote address. Zero means no limit.
	ConnectionsPerAddress int64
}

// TLSSettings configure TLS on the operators' and the peers' interface.
type TLSSettings struct {
	// Certificate, Key and Authority are paths of PEM files. They are required unless Insecure or
	// TrustedNetwork is set.
	Certificate string
	Key         string
	Authority   string
	// Insecure disables TLS. It is allowed only when both interfaces listen on loopback addresses.
	Insecure bool
	// TrustedNetwork disables TLS on any address.
	TrustedNetwork bool
}
