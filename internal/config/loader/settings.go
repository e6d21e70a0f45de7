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
	// Peers are addresses of other entry hosts. They are needed only until the host has a
	// configuration, which names all entry hosts.
	Peers  []netip.AddrPort
	Log    LogSettings
	Limits LimitSettings
	TLS    TLSSettings
	Jobs   JobSettings
	// Check asks to check the settings and exit.
	Check bool
	// Standalone asks for an in-memory emulation of the platform.
	Standalone bool
	// Args are the arguments that the settings were loaded with.
	Args []string
	// Version asks to print the version and exit. No other field is set with it.
	Version bool
}

// HostSettings name the host.
type HostSettings struct {
	Name       modeler.HostName
	DataCentre modeler.DataCentreName
	// Share is the part of a core that the host may use, Speed the core's relative speed.
	Share, Speed float64
}

// JobSettings concern callers' jobs on the users' platform.
type JobSettings struct {
	// Enabled selects callers' jobs instead of calls and the day's sheet.
	Enabled bool
	// Lease is at most LongestLease.
	Lease, LongestLease time.Duration
	StopLimit           time.Duration
	Retention           time.Duration
	RestoreTime         time.Duration
	// HarmLimit is how long a serving task may be over its tail target beside work that fills.
	HarmLimit time.Duration
	FarFactor float64
}

// ListenSettings are the addresses that the daemon listens on.
type ListenSettings struct {
	Callers   netip.AddrPort
	Operators netip.AddrPort
	Peers     netip.AddrPort
	// Readiness is set when Jobs.Enabled is.
	Readiness netip.AddrPort
}

// PlatformSettings are the addresses of the platform's services. They are valid unless the
// daemon is standalone.
type PlatformSettings struct {
	Store    netip.AddrPort
	HostList netip.AddrPort
	// Policy is not valid where there is no policy service.
	Policy netip.AddrPort
}

// LogSettings choose the form of log lines.
type LogSettings struct {
	// Format is "json" or "text".
	Format string
}

// LimitSettings bound times and sizes.
type LimitSettings struct {
	// DrainLimit bounds the time from the start of a drain to its end.
	DrainLimit time.Duration
	// StoreTimeout bounds one call to the key-value service.
	StoreTimeout time.Duration
	// PeerTimeout bounds one message to a peer.
	PeerTimeout time.Duration
	// IdleTimeout closes callers' connections without a request.
	IdleTimeout time.Duration
	// HeaderBytes bounds the header of a request.
	HeaderBytes int64
	// KeptKeys is the greatest number of idempotency keys that a leader keeps for 24 hours.
	KeptKeys int64
	// KeptAnswerBytes bounds the memory for answers that are kept for retries.
	KeptAnswerBytes int64
}

// TLSSettings secure the operators' and the peers' interface.
type TLSSettings struct {
	// Certificate, Key and Authority are paths of PEM files. They are set unless Insecure is.
	Certificate string
	Key         string
	Authority   string
	// Insecure serves without TLS. It is set only when both interfaces listen on loopback.
	Insecure bool
	// TrustedNetwork serves without TLS on any address.
	TrustedNetwork bool
}
