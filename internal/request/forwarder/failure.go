package forwarder

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"strconv"

	"github.com/currantrouter/currantrouter/internal/fleet/modeler"
	"github.com/currantrouter/currantrouter/internal/request/admitter"
)

// failure describes a call that ended without an answer.
type failure struct {
	status  int
	code    string
	message string
	outcome modeler.Outcome
	// retryAfter is the value of the header Retry-After in seconds; zero means none.
	retryAfter int
	// repeatable states that the call may be sent again: either no byte of it reached a runner, or it may
	// run more than once.
	repeatable bool
}

func failNotRun(status int, code, message string) *failure {
	return &failure{status: status, code: code, message: message, outcome: modeler.NotRun}
}

func failUnknown(status int, code, message string) *failure {
	return &failure{status: status, code: code, message: message, outcome: modeler.Unknown}
}

// refusalFailure returns the failure of a call that was not admitted.
func refusalFailure(err error) *failure {
	fl := failNotRun(http.StatusServiceUnavailable, "Overloaded", err.Error())
	switch {
	case errors.Is(err, admitter.ErrUnknownService):
		return failNotRun(http.StatusNotFound, "UnknownService", err.Error())
	case errors.Is(err, admitter.ErrStopped):
		fl.code = "Leaving"
	case errors.Is(err, admitter.ErrExpired):
		fl.code = "DeadlinePassed"
	case errors.Is(err, context.Canceled):
		fl.code = "CallerLeft"
	}
	var rf *admitter.Refusal
	if errors.As(err, &rf) {
		fl.retryAfter = rf.RetryAfterSeconds()
	}
	return fl
}

// write sends the failure as JSON.
func (fl *failure) write(wr http.ResponseWriter) {
	hd := wr.Header()
	clear(hd)
	hd.Set(modeler.HeaderOutcome, string(fl.outcome))
	hd.Set("Content-Type", "application/json; charset=utf-8")
	if fl.retryAfter > 0 {
		hd.Set("Retry-After", strconv.Itoa(fl.retryAfter))
	}
	wr.WriteHeader(fl.status)
	// A failed write means that the caller has disconnected.
	_ = json.NewEncoder(wr).Encode(modeler.Failure{Code: fl.code, Message: fl.message, Outcome: fl.outcome})
}
