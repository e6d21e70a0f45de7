package meter

// Metrics of operators' commands, plans and hours.
var (
	HourReportsWritten      = Metric{"HourReportsWritten", "", "Documents with hour counts written to the store, including copies of the counts of peers."}
	HourWriteFailures       = Metric{"HourWriteFailures", "", "Rounds of writing hour counts in which a write failed."}
	HourCallsWithoutService = Metric{"HourCallsWithoutService", "", "Calls that name a service which is not in the configuration. They are not counted for any service."}
	HourCopiesDropped       = Metric{"HourCopiesDropped", "", "Copies of peers' hour counts dropped because the limit of copies in memory is reached."}
	HourPagesBuilt          = Metric{"HourPagesBuilt", "", "Pages of a day computed from reports. Other requests are answered from the cache."}
	PlansImported           = Metric{"PlansImported", "", "Sheets imported as the plan of their day."}
	PlansRefused            = Metric{"PlansRefused", "", "Sheets refused."}
	AuditRecords            = Metric{"AuditRecords", "", "Records written to the audit trail."}
	AuditSegments           = Metric{"AuditSegments", "", "Segments of the audit trail written to the store."}
	AuditFailures           = Metric{"AuditFailures", "", "Audit records that could not be written. Either the command was refused or its outcome waits to be written."}
	OperatorCommands        = Metric{"OperatorCommands", "", "Requests on the operators' interface."}
	OperatorRefusals        = Metric{"OperatorRefusals", "", "Requests on the operators' interface answered with an error."}
)

var operatorMetrics = []Metric{
	HourReportsWritten,
	HourWriteFailures,
	HourCallsWithoutService,
	HourCopiesDropped,
	HourPagesBuilt,
	PlansImported,
	PlansRefused,
	AuditRecords,
	AuditSegments,
	AuditFailures,
	OperatorCommands,
	OperatorRefusals,
}
