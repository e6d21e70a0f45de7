package meter

// Metrics of the request path.
var (
	CallsAnswered       = Metric{"CallsAnswered", "", "Calls whose complete answer was passed to the caller."}
	CallsNotRun         = Metric{"CallsNotRun", "", "Calls that were refused or failed and that no runner executed."}
	CallsUnknown        = Metric{"CallsUnknown", "", "Calls that a runner may have executed and that got no answer."}
	CallsLate           = Metric{"CallsLate", "", "Calls answered after their deadline."}
	CallsRetried        = Metric{"CallsRetried", "", "Retries of calls. The retry budget limits them."}
	CallsSpilled        = Metric{"CallsSpilled", "", "Calls forwarded to an entry host of another data centre."}
	CallsTruncated      = Metric{"CallsTruncated", "", "Answers that ended early. The connection of the caller was aborted."}
	SlotsAbandoned      = Metric{"SlotsAbandoned", "", "Slots held until the call limit because it is unknown whether the call has ended."}
	SlotsLent           = Metric{"SlotsLent", "", "Slots lent to other entry hosts."}
	SlotsBorrowed       = Metric{"SlotsBorrowed", "", "Slots borrowed from other entry hosts."}
	RunnersEjected      = Metric{"RunnersEjected", "", "Ejections of runners after failures."}
	ConnectionsReplaced = Metric{"ConnectionsReplaced", "", "Idle connections abandoned because they did not respond to a probe."}
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
