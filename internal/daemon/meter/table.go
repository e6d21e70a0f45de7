package meter

// The metrics of a daemon. Add a metric here and to Table.
var (
	CallsAnswered = Metric{"CallsAnswered", "", "Calls whose whole answer was passed to the caller."}
	CallsNotRun   = Metric{"CallsNotRun", "", "Calls refused or failed that no runner executed."}
	CallsUnknown  = Metric{"CallsUnknown", "", "Calls that a runner may have executed without an answer."}
)

// Table lists all metrics in the order of docs/metrics.md.
var Table = []Metric{
	CallsAnswered,
	CallsNotRun,
	CallsUnknown,
}
