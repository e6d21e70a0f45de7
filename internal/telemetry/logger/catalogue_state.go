package logger

// Events of the journal.
var (
	EpochBegun         = Event{400, "epoch begun", "This host is the leader of the data centre and has recovered the journal.", SeverityInfo}
	JournalDeposed     = Event{401, "journal deposed", "Another host has begun a later epoch. This host makes no more decisions for the data centre.", SeverityWarning}
	JournalUnavailable = Event{402, "journal unavailable", "The store did not accept a write. No task starts and no call with an idempotency key is sent until it does. Check the store.", SeverityWarning}
	JournalAvailable   = Event{403, "journal available", "The store accepts writes again after an outage.", SeverityInfo}
	JournalUnresolved  = Event{404, "result of a journal write unknown", "The store may have accepted a write whose answer was lost. Later writes wait until its position can be read.", SeverityWarning}
	SnapshotWritten    = Event{405, "snapshot written", "The snapshot replaces the journal up to its position.", SeverityInfo}
	TrimFailed         = Event{406, "journal trimming failed", "Segments or snapshot parts that the snapshot replaces were not deleted. The next snapshot retries.", SeverityWarning}
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
