// Package modeler holds the types of entry hosts, data centres, runners and services, and of the
// shared configuration that lists them.
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

// DefaultCallLimit is the CallLimit of a service that sets none.
const DefaultCallLimit = 30 * time.Second

// Host is an entry host.
type Host struct {
	Name       HostName
	DataCentre DataCentreName
	// Peer is the address of the peers' interface. It is always valid.
	Peer netip.AddrPort
	// Retired means that an operator has declared the host permanently removed. A retired host has
	// no share of the runners' slots.
	Retired bool
	// Leaving means that an operator has drained the host: it takes no new work and leads no data
	// centre, but keeps its shares of slots and goes on running.
	Leaving bool
}

// Runner is a back end that answers the calls of one service.
type Runner struct {
	Name       RunnerName
	DataCentre DataCentreName
	Service    ServiceName
	// Endpoint is the address that calls are sent to. It is always valid.
	Endpoint netip.AddrPort
	// Slots is the maximum number of calls in progress, over all entry hosts. It is positive.
	Slots int
	// Connections is the maximum number of open connections, over all entry hosts. It is positive.
	Connections int
	// Leaving means that an operator has drained the runner: it gets no new calls.
	Leaving bool
}

// Service is a customer-facing service with its limits.
type Service struct {
	Name ServiceName
	// CallLimit is the maximum time that a runner works on one call. It is positive. A slot whose
	// call has no known end is free once CallLimit and its DriftAllowance have passed.
	CallLimit time.Duration
	// Deadline is the maximum time to an answer for callers that send no deadline. It is positive
	// and at most CallLimit.
	Deadline time.Duration
	// Repeatable means that runners may execute a call of this service more than once.
	Repeatable bool
	// QueueLimit is the maximum number of calls that wait at one entry host. It is not negative.
	QueueLimit int
	// BodyLimit is the maximum size of a request or answer body, in bytes. It is positive.
	BodyLimit int64
}

// Team is a customer's group of operators with a quota of batch work.
type Team struct {
	Name string
	// Quota is the share of a data centre's capacity that the team may use, above 0 and at most 1.
	Quota float64
}

// Limits holds the settings that all entry hosts share.
type Limits struct {
	// HoldersPerRunner is the maximum number of entry hosts that hold slots of one runner. It is
	// positive.
	HoldersPerRunner int
	// WritesPerSecond is the maximum rate of writes to the store, over all journals. It is
	// positive.
	WritesPerSecond int
	// ShortReserve is the share of a data centre's capacity that long tasks leave free for short
	// ones, from 0 to 1.
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
	// workers themselves are listed by the platform, which may not know a name given here.
	LeavingWorkers []WorkerName
	Limits         Limits
}

// HostLeaving reports whether an entry host must take no new work: an operator has drained or
// retired it, or the configuration does not list it, so that its peers do not know it either.
func (cfg *Configuration) HostLeaving(name HostName) bool {
	for _, hst := range cfg.Hosts {
		if hst.Name == name {
			return hst.Leaving || hst.Retired
		}
	}
	return true
}

// Service returns the service with a name, and false when the configuration has none.
func (cfg *Configuration) Service(name ServiceName) (Service, bool) {
	for _, svc := range cfg.Services {
		if svc.Name == name {
			return svc, true
		}
	}
	return Service{}, false
}

// HostsIn returns the hosts of a data centre that are not retired, in the order of the
// configuration document.
func (cfg *Configuration) HostsIn(dc DataCentreName) []Host {
	var list []Host
	for _, hst := range cfg.Hosts {
		if hst.DataCentre == dc && !hst.Retired {
			list = append(list, hst)
		}
	}
	return list
}

// DriftAllowance returns how long to wait after a term has passed on the local clock until it has
// passed on the clocks of all hosts: 1 % of the term plus 500 ms.
func DriftAllowance(term time.Duration) time.Duration {
	const minAllowance = 500 * time.Millisecond
	return term/100 + minAllowance
}
