package meter

// Metrics of the request path.
var (
	CallsAnswered       = Metric{"CallsAnswered", "", "Calls whose whole answer was passed to the caller."}
	CallsNotRun         = Metric{"CallsNotRun", "", "Calls refused or failed that no runner executed."}
	CallsUnknown        = Metric{"CallsUnknown", "", "Calls that a runner may have executed without an answer."}
	CallsLate           = Metric{"CallsLate", "", "Calls answered after their deadline."}
	CallsRetried        = Metric{"CallsRetried", "", "Calls that were sent again, which the retry budget limits."}
	CallsSpilled        = Metric{"CallsSpilled", "", "Calls forwarded to an entry host of another data centre."}
	CallsTruncated      = Metric{"CallsTruncated", "", "Answers that ended early; the caller's connection was aborted."}
	SlotsAbandoned      = Metric{"SlotsAbandoned", "", "Slots held until the call limit because the end of the call is unknown."}
	SlotsLent           = Metric{"SlotsLent", "", "Slots lent to other entry hosts."}
	SlotsBorrowed       = Metric{"SlotsBorrowed", "", "Slots borrowed from other entry hosts."}
	RunnersEjected      = Metric{"RunnersEjected", "", "Times a runner was ejected after failures."}
	ConnectionsReplaced = Metric{"ConnectionsReplaced", "", "Unresponsive idle connections that were abandoned."}
)

var callMetrics = []Metric{
	CallsAnswered,
	CallsNotRun,
	CallsUnknown,
	CallsLate,
	CallsRetried,
	CallsSpilled,
	CallsTruncated,
	SlotsAbandoned,
	SlotsLent,
	SlotsBorrowed,
	RunnersEjected,
	ConnectionsReplaced,
}
