package logger

// Events of the configuration, membership, leadership and request keys.
var (
	ConfigurationAccepted = Event{100, "configuration accepted", "A higher revision of the shared configuration is in force at this host.", SeverityInfo}
	ConfigurationRefused  = Event{101, "lower configuration revision refused", "The source has a lower revision than the one in force here. If it is the store, it was restored from an old copy: apply the present document again.", SeverityError}
	ConfigurationDiffers  = Event{102, "configuration documents differ", "Two documents have the same revision. The store was written without compare-and-swap or restored from an old copy: apply the right document as a new revision.", SeverityError}
	ConfigurationInvalid  = Event{103, "configuration document invalid", "The document was refused. The revision in force stays. Correct the document and apply it again.", SeverityError}
	ConfigurationNotRead  = Event{104, "configuration not readable in the store", "The watch of the store failed and is repeated with a growing delay. The revision in force stays.", SeverityWarning}
	ConfigurationReadable = Event{105, "configuration readable in the store again", "The watch of the store works again.", SeverityInfo}

	PeerAlive     = Event{110, "peer alive", "Heartbeats of the entry host arrive.", SeverityInfo}
	PeerSuspect   = Event{111, "peer suspect", "No heartbeat of the entry host has arrived for 3 s, or 15 s from another data centre.", SeverityWarning}
	PeerDead      = Event{112, "peer dead", "No heartbeat of the entry host has arrived for 5 s, or 30 s from another data centre.", SeverityWarning}
	PeerRestarted = Event{113, "peer restarted", "Heartbeats of the entry host come from a new process.", SeverityInfo}
	PeerLeaving   = Event{114, "peer leaving", "The entry host takes no new work.", SeverityInfo}
	HostReplaced  = Event{115, "newer process of this host seen", "Another process runs under this host's name and began later. This process takes no new work. Stop one of them.", SeverityError}

	LeadershipTaken = Event{120, "leadership taken", "This host leads its data centre.", SeverityInfo}
	LeadershipEnded = Event{121, "leadership ended", "This host does not lead its data centre any more.", SeverityInfo}
	TakeoverFailed  = Event{122, "takeover failed", "The journal could not be opened. The host tries again while there is no leader.", SeverityWarning}

	KeysRestored = Event{130, "request keys restored", "The request keys of the data centre were read from the journal. Claims without an outcome are Unknown.", SeverityInfo}
	KeysFull     = Event{131, "request keys full", "New keyed calls are refused until older keys expire. Raise KeptKeys or spread keys over more data centres.", SeverityError}
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
