package modeler

// Outcome states what is known of the execution of a call. Every answer to a caller carries one.
type Outcome string

// The outcomes of a call.
const (
	// Answered means that the runner's answer is complete.
	Answered Outcome = "Answered"
	// NotRun means that no runner has executed or will execute the call. It is reported only when
	// this is proven.
	NotRun Outcome = "NotRun"
	// Unknown means that a runner may have executed the call or may still do so.
	Unknown Outcome = "Unknown"
)

// Names of the HTTP headers between callers, entry hosts and runners.
const (
	// HeaderOutcome carries the Outcome of a call to its caller.
	HeaderOutcome = "Currant-Outcome"
	// HeaderTimeout carries the remaining time of a call in milliseconds.
	HeaderTimeout = "Currant-Timeout"
	// HeaderHop counts the entry hosts that a call has passed.
	HeaderHop = "Currant-Hop"
	// HeaderKey carries the idempotency key to a runner. The standard name is not used on that
	// link because http.Transport treats it as permission to retry a request.
	HeaderKey = "Currant-Key"
	// HeaderCaller names the caller for fair queueing. Without it the caller's address is used.
	HeaderCaller = "Currant-Caller"
	// HeaderIdempotencyKey is the caller's idempotency key.
	HeaderIdempotencyKey = "Idempotency-Key"
)

// Failure is the JSON body of every error answer to a caller or operator.
type Failure struct {
	// Code is stable and meant for programs, in Pascal case.
	Code string
	// Message is one line for people.
	Message string
	// Outcome is empty on the operators' interface.
	Outcome Outcome `json:",omitempty"`
}
