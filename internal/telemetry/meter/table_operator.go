package meter

// Metrics of operators' commands, plans and hours.
var (
	HourReportsWritten      = Metric{"HourReportsWritten", "", "Documents with hour counts written to the store, copies of peers' counts included."}
	HourWriteFailures       = Metric{"HourWriteFailures", "", "Rounds of writing hour counts in which a write failed."}
	HourCallsWithoutService = Metric{"HourCallsWithoutService", "", "Calls that name a service which the configuration does not have. They belong to no hour of a service."}
	HourCopiesDropped       = Metric{"HourCopiesDropped", "", "Copies of peers' hour counts that were not kept, because too many are in memory."}
	HourPagesBuilt          = Metric{"HourPagesBuilt", "", "Pages of a day that were computed from reports. Other requests are answered from memory."}
	PlansImported           = Metric{"PlansImported", "", "Sheets that became the plan of their day."}
	PlansRefused            = Metric{"PlansRefused", "", "Sheets that were refused."}
	AuditRecords            = Metric{"AuditRecords", "", "Records written to the audit trail."}
	AuditSegments           = Metric{"AuditSegments", "", "Segments of the audit trail written to the store."}
	AuditFailures           = Metric{"AuditFailures", "", "Records that could not be written. Their commands were refused, or their outcomes wait."}
	OperatorCommands        = Metric{"OperatorCommands", "", "Requests on the operators' interface."}
	OperatorRefusals        = Metric{"OperatorRefusals", "", "Requests on the operators' interface that were answered with an error."}
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
