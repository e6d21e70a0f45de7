package meter

// Metrics of callers' jobs.
var (
	JobsAccepted       = Metric{"JobsAccepted", "", "Jobs that were stored and acknowledged."}
	JobsRefused        = Metric{"JobsRefused", "", "Jobs that were refused and will not run."}
	JobsUnknown        = Metric{"JobsUnknown", "", "Submissions whose result was unknown."}
	JobsCancelled      = Metric{"JobsCancelled", "", "Cancellations that the leader carried out."}
	WorkerRenewals     = Metric{"WorkerRenewals", "", "Renewals of workers' leases that were sent."}
	WorkerStarts       = Metric{"WorkerStarts", "", "Start orders that were sent."}
	TasksMoved         = Metric{"TasksMoved", "", "Runs that were taken from a slow, distrusted or leaving worker."}
	TasksPaced         = Metric{"TasksPaced", "", "Pace orders that were sent."}
	WorkersQuarantined = Metric{"WorkersQuarantined", "", "Workers that were closed after faults."}
	QueuesRevision     = Metric{"QueuesRevision", "", "Revision of the queues' configuration in force."}
	LogLinesDropped    = Metric{"LinesLeftOut", "", "Log lines that were left out."}
)

var jobMetrics = []Metric{
	JobsAccepted,
	JobsRefused,
	JobsUnknown,
	JobsCancelled,
	WorkerRenewals,
	WorkerStarts,
	TasksMoved,
	TasksPaced,
	WorkersQuarantined,
	QueuesRevision,
	LogLinesDropped,
}
