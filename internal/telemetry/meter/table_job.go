package meter

// Metrics of callers' jobs.
var (
	JobsAccepted       = Metric{"JobsAccepted", "", "Jobs that were stored and acknowledged."}
	JobsRefused        = Metric{"JobsRefused", "", "Jobs that were refused and will not run."}
	JobsRefusedUseless = Metric{"JobsRefusedUseless", "", "Jobs that were refused because they could not be of use any more. JobsRefused counts them as well."}
	JobsMaybeStored    = Metric{"JobsMaybeStored", "", "Jobs that could not be of use any more and were not refused, as they may have been stored before."}
	LoadHintsMissing   = Metric{"LoadHintsMissing", "", "Submissions for which this host had no recent load hint of the present leader, where the setting Refusal is Useless."}
	QueuesBehind       = Metric{"QueuesBehind", "", "Queues of which the leader tells entry hosts that new jobs may be useless. A gauge."}
	JobsUnknown        = Metric{"JobsUnknown", "", "Submissions with an unknown result: the store may have accepted the job."}
	JobsCancelled      = Metric{"JobsCancelled", "", "Cancellations carried out by the leader."}
	WorkerRenewals     = Metric{"WorkerRenewals", "", "Lease renewals sent to workers."}
	WorkerProbes       = Metric{"WorkerProbes", "", "Requests that ask a worker for an answer before it gets the start of a task that ran before."}
	WorkerStarts       = Metric{"WorkerStarts", "", "Start requests sent to workers."}
	TasksMoved         = Metric{"TasksMoved", "", "Runs taken from a slow, quarantined or leaving worker."}
	TasksPaced         = Metric{"TasksPaced", "", "Pace requests sent to workers."}
	WorkersQuarantined = Metric{"WorkersQuarantined", "", "Quarantines of workers after faults."}
	QueuesRevision     = Metric{"QueuesRevision", "", "Revision of the queue configuration that is in force."}
	QueuesLag          = Metric{"QueuesLag", "ms", "Time from the first report of a higher revision of the queue configuration by a peer to a revision in force that is as high, of the last change. A gauge."}
	QueuesOutdated     = Metric{"QueuesOutdated", "ms", "Time since a peer first reported a revision of the queue configuration that is higher than the one in force, or zero. A gauge, updated once a second."}
	QueueWatchFailures = Metric{"QueueWatchFailures", "", "Failed calls of the watch of the queue configuration."}
	QueueFetchFailures = Metric{"QueueFetchFailures", "", "Failed requests for the queue configuration of a peer."}
	LogLinesDropped    = Metric{"LinesLeftOut", "", "Log lines dropped."}
	RequestsRelayed    = Metric{"RequestsRelayed", "", "Requests to workers that the leader had carried out by relays."}
	RelayExchanges     = Metric{"RelayExchanges", "", "Exchanges of the leader with relays."}
	RelayFailures      = Metric{"RelayFailures", "", "Exchanges with relays that failed."}
	PlacementRounds    = Metric{"PlacementRounds", "", "Placement rounds of the leader."}
	ReportRowsHandled  = Metric{"ReportRowsHandled", "", "Rows of workers' reports that the leader handled."}
	RelayRequests      = Metric{"RelayRequests", "", "Requests to workers that this host carried out for a leader."}

	RestartedWorkersFenced = Metric{"RestartedWorkersFenced", "", "Restarted workers that this host, without leading, gave the fencing token of a leader."}
	WorkerFencesLeftOut    = Metric{"WorkerFencesLeftOut", "", "Workers that this host was asked to watch for a restart and did not, as it watched as many as it may."}

	PlacementCostsComputed = Metric{"PlacementCostsComputed", "", "Costs of a worker for a waiting task that placement rounds computed."}
)

var jobMetrics = []Metric{
	JobsAccepted,
	JobsRefused,
	JobsRefusedUseless,
	JobsMaybeStored,
	LoadHintsMissing,
	QueuesBehind,
	JobsUnknown,
	JobsCancelled,
	WorkerRenewals, WorkerProbes,
	WorkerStarts,
	TasksMoved,
	TasksPaced,
	WorkersQuarantined,
	QueuesRevision, QueuesLag, QueuesOutdated, QueueWatchFailures, QueueFetchFailures,
	LogLinesDropped,
	RequestsRelayed,
	RelayExchanges,
	RelayFailures,
	PlacementRounds,
	PlacementCostsComputed,
	ReportRowsHandled,
	RelayRequests,
	RestartedWorkersFenced,
	WorkerFencesLeftOut,
}
