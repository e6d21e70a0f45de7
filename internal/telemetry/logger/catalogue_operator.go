package logger

// Events of operators' commands, plans and hours.
var (
	HoursNotWritten     = Event{500, "hour counts not written", "The store does not accept hour counts. They stay in memory here and at peers, and are written when the store answers again. If the outage lasts longer than a day, counts are lost when hosts restart.", SeverityWarning}
	HoursWrittenAgain   = Event{501, "hour counts written again", "All hour counts in memory are in the store.", SeverityInfo}
	HourReportDamaged   = Event{502, "hour report malformed", "A document under Hours/ was not written by this software. The page of the day treats its host as missing. Inspect the key.", SeverityError}
	HoursNotRead        = Event{503, "hour reports not read", "The store does not answer. The page of the day shows what is in memory.", SeverityWarning}
	PlanImported        = Event{510, "plan imported", "A planner's sheet is the plan of its day.", SeverityInfo}
	PlanRefused         = Event{511, "plan refused", "A sheet was refused as a whole. The planner has the list of faults.", SeverityWarning}
	AuditOutcomeLate    = Event{520, "audit outcome delayed", "The outcome of a command could not be recorded. It is kept in memory and written when the store answers. The audit trail has the record that the command began.", SeverityWarning}
	AuditOutcomeDropped = Event{521, "audit outcome lost", "Too many outcomes waited for the store, or the process ended. The audit trail has the record that the command began, but no outcome.", SeverityError}
	AuditSegmentDamaged = Event{522, "audit segment malformed", "A document under Audit/ was not written by this software. Searches skip it. Inspect the key.", SeverityError}
	AuditTrimFailed     = Event{523, "audit trail not trimmed", "Old segments could not be deleted. The next round retries.", SeverityWarning}
	CertificateReloaded = Event{530, "certificates reloaded", "New connections use the changed certificate files.", SeverityInfo}
	CertificateKept     = Event{531, "certificates not reloaded", "The changed certificate files are not usable. The previous certificates stay in use. Correct the files.", SeverityError}
	CommandRefused      = Event{540, "operator's command refused", "The command was not executed. The log line and the audit trail have the reason.", SeverityWarning}
	CommandFailed       = Event{541, "operator's command failed", "The command failed for a reason that the operator did not cause.", SeverityError}
	CommandPanicked     = Event{542, "operator's command panicked", "This is a bug. The command was answered with an error. Report it with the log line.", SeverityError}
)

var operatorEvents = []Event{
	HoursNotWritten,
	HoursWrittenAgain,
	HourReportDamaged,
	HoursNotRead,
	PlanImported,
	PlanRefused,
	AuditOutcomeLate,
	AuditOutcomeDropped,
	AuditSegmentDamaged,
	AuditTrimFailed,
	CertificateReloaded,
	CertificateKept,
	CommandRefused,
	CommandFailed,
	CommandPanicked,
}
