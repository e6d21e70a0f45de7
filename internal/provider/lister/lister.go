// Package lister is the client of the platform's list of live and leaving hosts. The list lags.
package lister

import "errors"

// ErrUnavailable means that the list could not be read.
var ErrUnavailable = errors.New("host list unavailable")

// HostState is the platform's word on a machine of any role.
type HostState string

// The states of a listed machine.
const (
	Live    HostState = "Live"
	Leaving HostState = "Leaving"
)

// Listing maps the name of an entry host, runner or worker to its state. A name that is absent
// is not known to the platform, which proves nothing about its processes.
type Listing map[string]HostState
