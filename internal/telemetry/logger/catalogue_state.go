package logger

// Events of the journal and the platform.
var (
	EpochBegun         = Event{400, "epoch begun", "This host is the leader of the data centre and has recovered its journal.", SeverityInfo}
	JournalDeposed     = Event{401, "journal deposed", "Another host has begun a later epoch. This host stops all decisions for the data centre.", SeverityWarning}
	JournalUnavailable = Event{402, "journal unavailable", "The store refused a write. No task starts and no keyed call is sent until it answers. Check the store.", SeverityWarning}
	JournalAvailable   = Event{403, "journal available", "The store accepts writes again after an outage.", SeverityInfo}
	JournalUnresolved  = Event{404, "result of a journal write unknown", "The store may have accepted a write whose answer was lost. Later writes wait until its position can be read.", SeverityWarning}
	SnapshotWritten    = Event{405, "snapshot written", "A snapshot replaced the journal up to its position.", SeverityInfo}
	TrimFailed         = Event{406, "trimming failed", "Segments or parts below the snapshot were not deleted. The next snapshot tries again.", SeverityWarning}
)

var stateEvents = []Event{
	EpochBegun,
	JournalDeposed,
	JournalUnavailable,
	JournalAvailable,
	JournalUnresolved,
	SnapshotWritten,
	TrimFailed,
}
