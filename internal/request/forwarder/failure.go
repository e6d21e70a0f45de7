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

// failure is the end of a call without an answer.
type failure struct {
	status  int
	code    string
	message string
	outcome modeler.Outcome
	// retryAfter is in seconds; zero means that no time is known.
	retryAfter int
	// repeatable states that the call may be sent again: no byte of it reached a runner, or it may
	// run twice.
	repeatable bool
}

func notRun(status int, code, message string) *failure {
	return &failure{status: status, code: code, message: message, outcome: modeler.NotRun}
}

func unknown(status int, code, message string) *failure {
	return &failure{status: status, code: code, message: message, outcome: modeler.Unknown}
}

// refusal describes a call that was not admitted.
func refusal(err error) *failure {
	fl := notRun(http.StatusServiceUnavailable, "Overloaded", err.Error())
	switch {
	case errors.Is(err, admitter.ErrUnknownService):
		return notRun(http.StatusNotFound, "UnknownService", err.Error())
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

// write answers with the failure in JSON.
func (fl *failure) write(wr http.ResponseWriter) {
	hd := wr.Header()
	clear(hd)
	hd.Set(modeler.HeaderOutcome, string(fl.outcome))
	hd.Set("Content-Type", "application/json; charset=utf-8")
	if fl.retryAfter > 0 {
		hd.Set("Retry-After", strconv.Itoa(fl.retryAfter))
	}
	wr.WriteHeader(fl.status)
	// A failed write means that the caller has gone; nobody is left to tell.
	_ = json.NewEncoder(wr).Encode(modeler.Failure{Code: fl.code, Message: fl.message, Outcome: fl.outcome})
}
