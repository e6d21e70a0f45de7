// Package lister is the client of the platform's list of live and draining hosts. The list lags
// behind the state of the hosts.
package lister

import "errors"

// ErrUnavailable means that the list could not be read.
var ErrUnavailable = errors.New("host list unavailable")

// HostState is the state that the platform reports for an entry host, runner or worker.
type HostState string

// The states of a listed host. A leaving host is draining.
const (
	Live    HostState = "Live"
	Leaving HostState = "Leaving"
)

// Listing maps the name of an entry host, runner or worker to its state. A name that is absent
// is not known to the platform. Its processes may still run.
type Listing map[string]HostState
