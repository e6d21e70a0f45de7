package logger

import "slices"

// Events of the daemon have numbers below 100. The other ranges are: from 100 the configuration and
// the cluster, from 200 calls, from 300 batch work, from 400 the journal, from 500 operators' commands,
// plans and hours, from 600 callers' jobs, from 710 clients that exceed limits.
var (
	DaemonStarted     = Event{10, "daemon started", "The daemon listens on its addresses.", SeverityInfo}
	DrainStarted      = Event{11, "drain started", "The readiness check fails, peers are notified, and the daemon waits for the calls in flight to end.", SeverityInfo}
	DaemonStopped     = Event{12, "daemon stopped", "All calls in flight have ended.", SeverityInfo}
	DrainLimitReached = Event{13, "drain limit reached", "Calls still in flight were aborted. Set DrainLimit above the longest CallLimit of a service.", SeverityError}

	DrainNotRecorded = Event{14, "clean shutdown not recorded", "The store did not accept the record. The next process of this host waits for the call limit before it uses its share of the runners' slots.", SeverityWarning}
	ListenerFailed   = Event{15, "listener failed", "The interface stopped accepting connections. Cause has the reason.", SeverityError}
	PeerRefused      = Event{16, "peer request refused", "A request on the peers' interface did not present a certificate of an entry host. Check the certificates and who sends from the address.", SeverityWarning}
	LeaderStopped    = Event{17, "leader stopped", "This host no longer decides on batch work and idempotency keys of the data centre.", SeverityInfo}
	SnapshotFailed   = Event{18, "snapshot failed", "The snapshot is retried in a few seconds. Until one succeeds, recovery of a new leader takes longer.", SeverityWarning}
	PlanSubmitted    = Event{19, "plan submitted", "The jobs of the day's plan that belong to this data centre were submitted to the scheduler.", SeverityInfo}
	PlanNotSubmitted = Event{20, "plan not submitted", "The plan could not be read or recorded. It is retried in a few seconds.", SeverityWarning}

	PeerCountsRefused = Event{21, "hour counts of a peer refused", "A heartbeat has hour counts that no host of this version can produce. Check whether the peer runs another version.", SeverityWarning}

	HostDrained        = Event{22, "host drained by the configuration", "The readiness check fails, peers are notified, leadership ends and new calls are refused until an operator withdraws the drain.", SeverityInfo}
	HostDrainWithdrawn = Event{23, "drain of the host withdrawn", "The host accepts new work again.", SeverityInfo}
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
	inputEvents,
	relayEvents,
	restartEvents,
	intakeEvents,
	evacuationEvents,
	shortageEvents,
	stallEvents,
	refusalEvents,
	configurationEvents,
)
