package logger

// Events of invalid input of other processes. Invalid entries of the store also have the events of
// their areas.
var (
	ReportInvalid     = Event{680, "worker's report malformed", "A row of the report names no task, or has values out of range, and is left out. Logged once for each worker and error. Inspect the worker.", SeverityWarning}
	PeerInvalid       = Event{681, "peer's message malformed", "A message of another entry host has values out of range and is left out. Check whether the peer runs another version.", SeverityWarning}
	SegmentSkipped    = Event{682, "damaged journal segment skipped", "A new leader found a segment of the journal that cannot be decoded, and goes on without its records. Inspect the key, and who writes to it.", SeverityError}
	ListedHostInvalid = Event{683, "listed host malformed", "A host or worker of the platform's list cannot be decoded and is left out. Logged once for each name and error. Check the list.", SeverityWarning}
)

var inputEvents = []Event{ReportInvalid, PeerInvalid, SegmentSkipped, ListedHostInvalid}
