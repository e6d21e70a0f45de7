package meter

// Metrics of the configuration, cluster membership and idempotency keys.
var (
	ConfigurationRevision = Metric{"ConfigurationRevision", "", "Revision of the shared configuration that is in force at this host."}
	RevisionsRefused      = Metric{"RevisionsRefused", "", "Configuration documents refused because their revision is lower than the one in force."}
	RevisionsDiffering    = Metric{"RevisionsDiffering", "", "Configuration documents refused because they have the revision in force but other content."}
	RevisionsInvalid      = Metric{"RevisionsInvalid", "", "Configuration documents refused because they are invalid."}

	PeersAlive              = Metric{"PeersAlive", "", "Other entry hosts that this host receives heartbeats from."}
	PeerExchanges           = Metric{"PeerExchanges", "", "Heartbeat exchanges initiated by this host."}
	PeerExchangesFailed     = Metric{"PeerExchangesFailed", "", "Heartbeat exchanges initiated by this host that failed."}
	PeerBytesSent           = Metric{"PeerBytesSent", "bytes", "Bytes written on connections of the peers' interface, above TCP."}
	PeerBytesReceived       = Metric{"PeerBytesReceived", "bytes", "Bytes read on connections of the peers' interface, above TCP."}
	PeerDigestsRefused      = Metric{"PeerDigestsRefused", "", "Heartbeats refused because they are malformed or name too many hosts."}
	PeerConnectionsReplaced = Metric{"PeerConnectionsReplaced", "", "Connections to peers replaced because they did not respond."}

	KeysHeld        = Metric{"KeysHeld", "", "Idempotency keys that this host holds as leader."}
	KeysClaimed     = Metric{"KeysClaimed", "", "Idempotency keys claimed."}
	KeysRepeated    = Metric{"KeysRepeated", "", "Calls answered with the result of an earlier call with the same idempotency key."}
	KeysReused      = Metric{"KeysReused", "", "Calls refused because their idempotency key belongs to a different request."}
	KeysFailed      = Metric{"KeysFailed", "", "Calls refused because their idempotency key could not be claimed."}
	KeptAnswerBytes = Metric{"KeptAnswerBytes", "bytes", "Memory used by answers that are kept for retries."}
)

var clusterMetrics = []Metric{
	ConfigurationRevision,
	RevisionsRefused,
	RevisionsDiffering,
	RevisionsInvalid,
	PeersAlive,
	PeerExchanges,
	PeerExchangesFailed,
	PeerBytesSent,
	PeerBytesReceived,
	PeerDigestsRefused,
	PeerConnectionsReplaced,
	KeysHeld,
	KeysClaimed,
	KeysRepeated,
	KeysReused,
	KeysFailed,
	KeptAnswerBytes,
}
