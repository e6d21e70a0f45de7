package server

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"

	"github.com/currantrouter/currantrouter/internal/fleet/modeler"
	"github.com/currantrouter/currantrouter/internal/hours/publisher"
	"github.com/currantrouter/currantrouter/internal/operator/auditor"
	"github.com/currantrouter/currantrouter/internal/operator/authorizer"
	"github.com/currantrouter/currantrouter/internal/plan/importer"
	"github.com/currantrouter/currantrouter/internal/provider/storer"
)

// Rejection is the body of an error answer. Faults and Findings list all that is wrong with a
// document.
type Rejection struct {
	modeler.Failure
	Faults   importer.Faults `json:",omitempty"`
	Findings Findings        `json:",omitempty"`
}

// failureKind is how an error is answered.
type failureKind struct {
	err    error
	status int
	code   string
}

// failureKinds is searched from the top; an error that wraps several is the first of them.
var failureKinds = []failureKind{
	{auditor.ErrNotRecorded, http.StatusServiceUnavailable, "NotRecorded"},
	{authorizer.ErrNoCertificate, http.StatusUnauthorized, "NoCertificate"},
	{authorizer.ErrNoRole, http.StatusForbidden, "NoRole"},
	{authorizer.ErrRole, http.StatusForbidden, "RoleTooLow"},
	{authorizer.ErrNotLoopback, http.StatusForbidden, "NotLoopback"},
	{importer.ErrSheet, http.StatusUnprocessableEntity, "SheetRefused"},
	{importer.ErrOlder, http.StatusConflict, "OlderSheet"},
	{importer.ErrSameExport, http.StatusConflict, "SameExport"},
	{importer.ErrPlanChanged, http.StatusConflict, "PlanChanged"},
	{importer.ErrNoPlan, http.StatusNotFound, "NoPlan"},
	{importer.ErrDocument, http.StatusInternalServerError, "DamagedPlan"},
	{ErrConfiguration, http.StatusUnprocessableEntity, "ConfigurationRefused"},
	{publisher.ErrDay, http.StatusNotFound, "NoSuchDay"},
	{ErrNotFound, http.StatusNotFound, "NotFound"},
	{errTooLarge, http.StatusRequestEntityTooLarge, "TooLarge"},
	{ErrRequest, http.StatusBadRequest, "BadRequest"},
	{ErrLeaderUnreachable, http.StatusServiceUnavailable, "LeaderUnreachable"},
	{storer.ErrResultUnknown, http.StatusGatewayTimeout, "ResultUnknown"},
	{storer.ErrConflict, http.StatusConflict, "Conflict"},
	{storer.ErrUnavailable, http.StatusServiceUnavailable, "StoreUnavailable"},
	{storer.ErrTooLarge, http.StatusRequestEntityTooLarge, "TooLarge"},
	{storer.ErrNotFound, http.StatusNotFound, "NotFound"},
	{context.DeadlineExceeded, http.StatusGatewayTimeout, "ResultUnknown"},
	{context.Canceled, http.StatusGatewayTimeout, "ResultUnknown"},
}

// internalFailure answers errors that have no kind. Their text is only logged.
var internalFailure = failureKind{status: http.StatusInternalServerError, code: "Internal"}

func kindOf(err error) failureKind {
	for _, fk := range failureKinds {
		if errors.Is(err, fk.err) {
			return fk
		}
	}
	return internalFailure
}

func rejectionOf(err error) (int, Rejection) {
	fk := kindOf(err)
	rj := Rejection{Failure: modeler.Failure{Code: fk.code, Message: err.Error()}}
	if fk.err == nil {
		rj.Message = "internal error; the log of the host has the cause"
	}
	// A document that was refused is listed in full.
	_ = errors.As(err, &rj.Faults)
	_ = errors.As(err, &rj.Findings)
	return fk.status, rj
}

// undetermined reports whether a failed command may have taken effect.
func undetermined(err error) bool {
	code := kindOf(err).code
	return code == "ResultUnknown" || code == internalFailure.code
}

func writeJSON(wr http.ResponseWriter, status int, body any) {
	wr.Header().Set("Content-Type", "application/json; charset=utf-8")
	wr.WriteHeader(status)
	// A failed write means that the client has gone.
	_ = json.NewEncoder(wr).Encode(body)
}
