// Package modeler describes the hosts, data centres, runners and services that currantrouter
// serves, and the shared configuration that lists them.
package modeler

import (
	"net/netip"
	"time"
)

// HostName identifies an entry host. It is unique in a deployment and survives restarts.
type HostName string

// DataCentreName identifies a data centre.
type DataCentreName string

// RunnerName identifies a runner. It is unique in a deployment.
type RunnerName string

// WorkerName identifies a host that runs tasks. It is unique in a deployment.
type WorkerName string

// ServiceName identifies a service that callers call.
type ServiceName string

// BootID identifies one process lifetime of an entry host. A restarted process has a new one.
type BootID string

// Revision counts accepted versions of the shared configuration, from 1. Zero means none.
type Revision int64

// Epoch counts the terms of leadership of a data centre, from 1. Zero means none.
type Epoch int64

// DefaultCallLimit bounds the work of a runner on one call when the service sets no limit.
const DefaultCallLimit = 30 * time.Second

// Host is an entry host.
type Host struct {
	Name       HostName
	DataCentre DataCentreName
	// Peer is the address of the peers' interface. It is always valid.
	Peer netip.AddrPort
	// Retired states that an operator has declared the host gone for good. A retired host holds
	// no share.
	Retired bool
	// Leaving states that an operator has drained the host: it takes no new work and leads no data
	// centre, but keeps its shares and goes on running.
	Leaving bool
}

// Runner is a back end that answers the calls of one service.
type Runner struct {
	Name       RunnerName
	DataCentre DataCentreName
	Service    ServiceName
	// Endpoint is the address that calls are sent to. It is always valid.
	Endpoint netip.AddrPort
	// Slots is the greatest number of calls in progress, over all entry hosts. It is positive.
	Slots int
	// Connections is the greatest number of open connections, over all entry hosts. It is
	// positive.
	Connections int
	// Leaving states that an operator has drained the runner: it gets no new calls.
	Leaving bool
}

// Service is a customer-facing service with its limits.
type Service struct {
	Name ServiceName
	// CallLimit is the longest time that a runner works on one call. It is positive. A slot whose
	// call has no known end is free once CallLimit and the drift allowance have passed.
	CallLimit time.Duration
	// Deadline bounds the time to an answer for callers that send none. It is positive and at
	// most CallLimit.
	Deadline time.Duration
	// Repeatable states that runners may execute a call of this service more than once.
	Repeatable bool
	// QueueLimit is the greatest number of calls that wait at one entry host. It is not negative.
	QueueLimit int
	// BodyLimit is the largest request or answer body, in bytes. It is positive.
	BodyLimit int64
}

// Team is a customer's group of operators with a quota of batch work.
type Team struct {
	Name string
	// Quota is the share of a data centre's room that the team may use, above 0 and at most 1.
	Quota float64
}

// Limits holds the settings that all entry hosts share.
type Limits struct {
	// HoldersPerRunner is the greatest number of entry hosts that hold slots of one runner. It is
	// positive.
	HoldersPerRunner int
	// WritesPerSecond is the budget for writes to the store of all journals together. It is
	// positive.
	WritesPerSecond int
	// ShortReserve is the share of a data centre's room that long work leaves free, from 0 to 1.
	ShortReserve float64
	// LeaseTerm is the time after which a worker ends a task whose lease was not renewed. It is
	// positive.
	LeaseTerm time.Duration
}

// DefaultLimits are the limits of a configuration that sets none.
var DefaultLimits = Limits{
	HoldersPerRunner: 4,
	WritesPerSecond:  100,
	ShortReserve:     0.15,
	LeaseTerm:        5 * time.Minute,
}

// Configuration is one accepted revision of the shared configuration. It is immutable.
type Configuration struct {
	Revision    Revision
	DataCentres []DataCentreName
	Hosts       []Host
	Runners     []Runner
	Services    []Service
	Teams       []Team
	// LeavingWorkers are the workers that an operator has drained: they get no new tasks. The
	// platform's list has the workers themselves, so that a name may be unknown there.
	LeavingWorkers []WorkerName
	Limits         Limits
}

// HostLeaving tells whether an entry host must take no new work: an operator has drained or retired
// it, or the configuration does not list it, so that its peers do not know it either.
func (cfg *Configuration) HostLeaving(name HostName) bool {
	for _, hst := range cfg.Hosts {
		if hst.Name == name {
			return hst.Leaving || hst.Retired
		}
	}
	return true
}

// Service returns the service of that name, and false when the configuration has none.
func (cfg *Configuration) Service(name ServiceName) (Service, bool) {
	for _, svc := range cfg.Services {
		if svc.Name == name {
			return svc, true
		}
	}
	return Service{}, false
}

// HostsIn returns the hosts of a data centre that are not retired, in the order of the document.
func (cfg *Configuration) HostsIn(dc DataCentreName) []Host {
	var hs []Host
	for _, hst := range cfg.Hosts {
		if hst.DataCentre == dc && !hst.Retired {
			hs = append(hs, hst)
		}
	}
	return hs
}

// DriftAllowance returns the time to wait beyond a term before it is over on every clock.
func DriftAllowance(term time.Duration) time.Duration {
	const fixed = 500 * time.Millisecond
	return term/100 + fixed
}
