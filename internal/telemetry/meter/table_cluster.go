package meter

// Metrics of the configuration, membership and request keys.
var (
	ConfigurationRevision = Metric{"ConfigurationRevision", "", "Revision of the shared configuration in force at this host."}
	RevisionsRefused      = Metric{"RevisionsRefused", "", "Documents refused because their revision is lower than the one in force."}
	RevisionsDiffering    = Metric{"RevisionsDiffering", "", "Documents refused because they differ from the one in force with the same revision."}
	RevisionsInvalid      = Metric{"RevisionsInvalid", "", "Documents refused because they have faults."}

	PeersAlive              = Metric{"PeersAlive", "", "Other entry hosts whose heartbeats arrive."}
	PeerExchanges           = Metric{"PeerExchanges", "", "Heartbeat exchanges that this host began."}
	PeerExchangesFailed     = Metric{"PeerExchangesFailed", "", "Heartbeat exchanges that this host began and that failed."}
	PeerBytesSent           = Metric{"PeerBytesSent", "bytes", "Bytes written on connections of the peers' interface, above TCP."}
	PeerBytesReceived       = Metric{"PeerBytesReceived", "bytes", "Bytes read on connections of the peers' interface, above TCP."}
	PeerDigestsRefused      = Metric{"PeerDigestsRefused", "", "Heartbeats refused because they are malformed or name too many hosts."}
	PeerConnectionsReplaced = Metric{"PeerConnectionsReplaced", "", "Connections to peers replaced because they did not respond."}

	KeysHeld        = Metric{"KeysHeld", "", "Request keys that this host keeps as leader."}
	KeysClaimed     = Metric{"KeysClaimed", "", "Request keys claimed."}
	KeysRepeated    = Metric{"KeysRepeated", "", "Calls answered from an earlier call with the same key."}
	KeysReused      = Metric{"KeysReused", "", "Calls refused because their key was used for another request."}
	KeysFailed      = Metric{"KeysFailed", "", "Calls refused because their key could not be claimed."}
	KeptAnswerBytes = Metric{"KeptAnswerBytes", "bytes", "Memory for answers kept for retries."}
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
