package meter

// Metrics of the request path.
var (
	CallsAnswered = Metric{"CallsAnswered", "", "Calls whose whole answer was passed to the caller."}
	CallsNotRun   = Metric{"CallsNotRun", "", "Calls refused or failed that no runner executed."}
	CallsUnknown  = Metric{"CallsUnknown", "", "Calls that a runner may have executed without an answer."}
)

var callMetrics = []Metric{
	CallsAnswered,
	CallsNotRun,
	CallsUnknown,
}
