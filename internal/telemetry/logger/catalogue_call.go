package logger

// Events of the request path.
var (
	SharesReady      = Event{200, "shares usable", "Calls of the predecessor must have ended; the shares of this host are used from now on.", SeverityInfo}
	SharesSettled    = Event{201, "shares within revision", "The use of all runners is within the shares of the revision; other holders may now grow.", SeverityInfo}
	RunnerEjected    = Event{202, "runner ejected", "A runner failed repeatedly and gets no calls until a probe succeeds.", SeverityWarning}
	RunnerReadmitted = Event{203, "runner readmitted", "A probe of an ejected runner succeeded.", SeverityInfo}
	ConnectionSilent = Event{204, "connection unresponsive", "An idle connection did not answer a probe and was abandoned. Frequent events point to a middlebox that drops connections.", SeverityWarning}
	LoanLate         = Event{205, "call started after start-by of a loan", "The process was paused between check and write for longer than assumed. The runner may have had more calls than slots.", SeverityError}
	CallsAborted     = Event{206, "calls cut off by drain", "Calls in flight outlived the drain limit.", SeverityError}
	ClaimNotRecorded = Event{207, "outcome of keyed call not recorded", "The journal did not take the outcome; the key stays claimed and later retries get Unknown.", SeverityWarning}
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
