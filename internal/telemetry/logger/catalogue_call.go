package logger

// Events of the request path.
var (
	SharesReady      = Event{200, "slot shares usable", "All calls of this host's previous process must have ended. This host now uses its shares of the runners' slots.", SeverityInfo}
	SharesSettled    = Event{201, "slot shares of a revision reached", "The use of all runners by this host is within its shares under the revision. Other hosts may now increase their use.", SeverityInfo}
	RunnerEjected    = Event{202, "runner ejected", "The runner failed repeatedly and gets no calls until a probe succeeds.", SeverityWarning}
	RunnerReadmitted = Event{203, "runner readmitted", "A probe of the ejected runner succeeded.", SeverityInfo}
	ConnectionSilent = Event{204, "connection unresponsive", "An idle connection did not answer a probe and was abandoned. If this is frequent, look for a middlebox that drops connections.", SeverityWarning}
	LoanLate         = Event{205, "call sent too late on a borrowed slot", "The process was paused between the check and the write for longer than assumed. The runner may have had more calls than slots.", SeverityError}
	CallsAborted     = Event{206, "calls aborted by drain", "Calls in flight lasted longer than the drain limit.", SeverityError}
	ClaimNotRecorded = Event{207, "outcome of a call with a key not recorded", "The journal did not accept the outcome. The idempotency key stays claimed and later retries get Unknown.", SeverityWarning}
)

var callEvents = []Event{
	SharesReady,
	SharesSettled,
	RunnerEjected,
	RunnerReadmitted,
	ConnectionSilent,
	LoanLate,
	CallsAborted,
	ClaimNotRecorded,
}
