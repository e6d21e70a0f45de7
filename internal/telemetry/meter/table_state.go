package meter

// Metrics of the journal.
var (
	JournalEpochs      = Metric{"JournalEpochs", "", "Journal epochs begun by this host."}
	JournalSegments    = Metric{"JournalSegments", "", "Journal segments written to the store."}
	JournalRecords     = Metric{"JournalRecords", "", "Records in the segments written."}
	JournalRetries     = Metric{"JournalRetries", "", "Retries of segment writes."}
	JournalAnswersLost = Metric{"JournalAnswersLost", "", "Segment writes whose answer was lost. Their result was determined by reading the segment back."}
	JournalOutages     = Metric{"JournalOutages", "", "Batches of records refused because the store was unavailable."}
	SnapshotsWritten   = Metric{"SnapshotsWritten", "", "Snapshots written that replaced the previous one."}
	SegmentsTrimmed    = Metric{"SegmentsTrimmed", "", "Journal segments and parts of old snapshots deleted."}
)

var stateMetrics = []Metric{
	JournalEpochs,
	JournalSegments,
	JournalRecords,
	JournalRetries,
	JournalAnswersLost,
	JournalOutages,
	SnapshotsWritten,
	SegmentsTrimmed,
}
