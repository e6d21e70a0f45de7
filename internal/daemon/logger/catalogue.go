package logger

import "slices"

// Numbers below 100 concern the daemon, from 100 the cluster and configuration, from 200 calls,
// from 300 batch work, from 400 state and the platform, from 500 operators, plans and hours.
var (
	DaemonStarted = Event{10, "daemon started", "The daemon listens on its addresses.", SeverityInfo}
	DaemonDrain   = Event{11, "drain started", "Readiness fails, peers are told, and calls in flight end.", SeverityInfo}
	DaemonStopped = Event{12, "daemon stopped", "All calls in flight have ended.", SeverityInfo}
	DrainCut      = Event{13, "drain limit reached", "Calls still in flight were cut off. Raise DrainLimit above the longest call limit.", SeverityError}
)

var daemonEvents = []Event{
	DaemonStarted,
	DaemonDrain,
	DaemonStopped,
	DrainCut,
}

// Catalogue lists all events in the order of their numbers.
var Catalogue = slices.Concat(
	daemonEvents,
	clusterEvents,
	callEvents,
	batchEvents,
	stateEvents,
	operatorEvents,
)
