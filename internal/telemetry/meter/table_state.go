package meter

// Metrics of the journal.
var (
	JournalEpochs      = Metric{"JournalEpochs", "", "Epochs begun by this host."}
	JournalSegments    = Metric{"JournalSegments", "", "Segments written to the store."}
	JournalRecords     = Metric{"JournalRecords", "", "Records in written segments."}
	JournalRetries     = Metric{"JournalRetries", "", "Repeated calls of segment writes."}
	JournalAnswersLost = Metric{"JournalAnswersLost", "", "Segment writes whose answer was lost and whose position was read back."}
	JournalOutages     = Metric{"JournalOutages", "", "Batches of records that were refused because the store did not answer."}
	SnapshotsWritten   = Metric{"SnapshotsWritten", "", "Snapshots put in force."}
	SegmentsTrimmed    = Metric{"SegmentsTrimmed", "", "Segments and old snapshot parts deleted."}
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
