package logger

// Events of clients that hold connections and memory without sending whole requests. Each is logged at most once a second
// for each listener; Ended counts since the last line.
var (
	BodiesStalled    = Event{710, "stalled request bodies ended", "Bodies made no progress for BodyStall, or did not arrive within the time of their request, and were answered with 408. Reading is the number of bodies being read, Memory is held for bodies, in bytes. If there are many, find out who sends them.", SeverityWarning}
	BodiesAborted    = Event{711, "request bodies aborted", "Bodies or headers were refused with 503. Cause is why the last one was: the memory is used up or more connections are open than the limit, and the largest and slowest give way to others, or the host closes its interfaces. Nothing of them was stored. Memory is held for bodies, Limit is the maximum, both in bytes.", SeverityWarning}
	ConnectionsEnded = Event{712, "connections of clients closed", "More clients were connected than the limit. The connections that waited longest for a request were closed, or new ones if none waited. Connections is the number that is open.", SeverityWarning}
)

var intakeEvents = []Event{BodiesStalled, BodiesAborted, ConnectionsEnded}
