package logger

// Events of the configuration, cluster membership, leadership and idempotency keys.
var (
	ConfigurationAccepted = Event{100, "configuration accepted", "A higher revision of the shared configuration is in force at this host.", SeverityInfo}
	ConfigurationRefused  = Event{101, "lower configuration revision refused", "The source has a lower revision than the one in force at this host. If it is the store, the store was restored from an old copy: apply the current document again.", SeverityError}
	ConfigurationDiffers  = Event{102, "configuration with the same revision but other content refused", "The source has a different document under the revision in force at this host. The store was written without compare-and-swap or restored from an old copy: apply the correct document as a new revision.", SeverityError}
	ConfigurationInvalid  = Event{103, "invalid configuration refused", "The revision in force does not change. Correct the document and apply it again.", SeverityError}
	ConfigurationNotRead  = Event{104, "configuration watch failed", "The configuration could not be read from the store. The watch is retried with an increasing delay. The revision in force does not change.", SeverityWarning}
	ConfigurationReadable = Event{105, "configuration watch recovered", "The configuration can be read from the store again.", SeverityInfo}

	PeerAlive     = Event{110, "peer alive", "Heartbeats from the entry host arrive.", SeverityInfo}
	PeerSuspect   = Event{111, "peer suspect", "No heartbeat from the entry host has arrived for 3 s, or for 15 s if it is in another data centre.", SeverityWarning}
	PeerDead      = Event{112, "peer dead", "No heartbeat from the entry host has arrived for 5 s, or for 30 s if it is in another data centre.", SeverityWarning}
	PeerRestarted = Event{113, "peer restarted", "Heartbeats from the entry host come from a new process.", SeverityInfo}
	PeerLeaving   = Event{114, "peer leaving", "The entry host accepts no new work.", SeverityInfo}
	HostReplaced  = Event{115, "newer process with this host's name detected", "Another process with this host's name started later. This process accepts no new work. Stop one of them.", SeverityError}

	LeadershipTaken = Event{120, "leadership taken", "This host is the leader of its data centre.", SeverityInfo}
	LeadershipEnded = Event{121, "leadership ended", "This host is no longer the leader of its data centre.", SeverityInfo}
	TakeoverFailed  = Event{122, "takeover failed", "The journal could not be opened. The host retries while there is no leader.", SeverityWarning}

	KeysRestored = Event{130, "idempotency keys restored", "The idempotency keys of the data centre were restored from the journal. The outcome of a claim without a recorded result is Unknown.", SeverityInfo}
	KeysFull     = Event{131, "limit of idempotency keys reached", "New calls with a key are refused until older keys expire. Raise KeptKeys or spread the calls over more data centres.", SeverityError}
)

var clusterEvents = []Event{
	ConfigurationAccepted,
	ConfigurationRefused,
	ConfigurationDiffers,
	ConfigurationInvalid,
	ConfigurationNotRead,
	ConfigurationReadable,
	PeerAlive,
	PeerSuspect,
	PeerDead,
	PeerRestarted,
	PeerLeaving,
	HostReplaced,
	LeadershipTaken,
	LeadershipEnded,
	TakeoverFailed,
	KeysRestored,
	KeysFull,
}
