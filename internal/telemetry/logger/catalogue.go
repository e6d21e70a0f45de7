package logger

import "slices"

// Numbers below 100 concern the daemon, from 100 the cluster and configuration, from 200 calls,
// from 300 batch work, from 400 state and the platform, from 500 operators, plans and hours.
var (
	DaemonStarted     = Event{10, "daemon started", "The daemon listens on its addresses.", SeverityInfo}
	DrainStarted      = Event{11, "drain started", "Readiness fails, peers are told, and calls in flight end.", SeverityInfo}
	DaemonStopped     = Event{12, "daemon stopped", "All calls in flight have ended.", SeverityInfo}
	DrainLimitReached = Event{13, "drain limit reached", "Calls still in flight were cut off. Raise DrainLimit above the longest call limit.", SeverityError}

	DrainNotRecorded = Event{14, "end of the process not recorded", "The store did not take the record. The next process of this host waits for the call limit before it uses its share.", SeverityWarning}
	ListenerFailed   = Event{15, "listener failed", "An interface stopped accepting connections.", SeverityError}
	PeerRefused      = Event{16, "peer refused", "A request on the peers' interface has no certificate of an entry host.", SeverityWarning}
	LeaderStopped    = Event{17, "leader work stopped", "Batch work and request keys of the data centre are no longer decided here.", SeverityInfo}
	SnapshotFailed   = Event{18, "snapshot failed", "The next attempt follows in a few seconds. Recovery takes longer until one succeeds.", SeverityWarning}
	PlanSubmitted    = Event{19, "plan submitted", "The jobs of the plan that belong to this data centre were given to the scheduler.", SeverityInfo}
	PlanNotSubmitted = Event{20, "plan not submitted", "The plan could not be read or recorded. The next attempt follows in a few seconds.", SeverityWarning}

	PeerCountsRefused = Event{21, "peer's hour counts refused", "A heartbeat has counts that no counter can have produced. The peer may run another version.", SeverityWarning}

	HostDrained        = Event{22, "host drained by the configuration", "Readiness fails, peers are told, leadership ends and new calls are refused until an operator withdraws the drain.", SeverityInfo}
	HostDrainWithdrawn = Event{23, "drain of the host withdrawn", "The host takes new work again.", SeverityInfo}
)

var daemonEvents = []Event{
	DaemonStarted,
	DrainStarted,
	DaemonStopped,
	DrainLimitReached,
	DrainNotRecorded,
	ListenerFailed,
	PeerRefused,
	LeaderStopped,
	SnapshotFailed,
	PlanSubmitted,
	PlanNotSubmitted,
	PeerCountsRefused,
	HostDrained,
	HostDrainWithdrawn,
}

// Catalogue lists all events in the order of their numbers.
var Catalogue = slices.Concat(
	daemonEvents,
	clusterEvents,
	callEvents,
	batchEvents,
	stateEvents,
	operatorEvents,
	jobEvents,
)
