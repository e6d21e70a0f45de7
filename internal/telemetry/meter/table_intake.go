package meter

// Metrics of the connections and request bodies of clients, of all listeners of a host that schedules callers' jobs.
var (
	ClientConnections = Metric{"ClientConnections", "", "Connections that clients have open."}
	ConnectionsEnded  = Metric{"ConnectionsEnded", "", "Connections closed because more were open than the limit. A counter."}
	BodyBytesHeld     = Metric{"BodyBytesHeld", "bytes", "Memory held for the bodies of requests in progress."}
	BodiesStalled     = Metric{"BodiesStalled", "", "Bodies ended because they did not arrive in time. A counter."}
	BodiesAborted     = Metric{"BodiesAborted", "", "Bodies refused or ended because the memory for bodies was exhausted. A counter."}
	BodiesCrowded     = Metric{"BodiesCrowded", "", "Bodies ended for a new connection because more were open than the limit. A counter."}
	BodiesUnfinished  = Metric{"BodiesUnfinished", "", "Bodies ended because the host closed its interfaces. A counter."}
	BodiesTooLarge    = Metric{"BodiesTooLarge", "", "Bodies refused because of their size. A counter."}
	BodiesBroken      = Metric{"BodiesBroken", "", "Bodies that ended with an error: the client closed its connection or sent an invalid body. A counter."}
)

var intakeMetrics = []Metric{ClientConnections, ConnectionsEnded, BodyBytesHeld, BodiesStalled, BodiesAborted, BodiesCrowded, BodiesUnfinished, BodiesTooLarge, BodiesBroken}
