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

// Rejection is the body of an error answer. Faults and Findings list all errors of a refused sheet
// or configuration.
type Rejection struct {
	modeler.Failure
	Faults   importer.Faults `json:",omitempty"`
	Findings Findings        `json:",omitempty"`
}

// errorMapping is the HTTP status and the code with which an error is answered.
type errorMapping struct {
	err    error
	status int
	code   string
}

// errorMappings is searched in order. For an error that wraps several of these, the first entry
// applies.
var errorMappings = []errorMapping{
	{auditor.ErrNotRecorded, http.StatusServiceUnavailable, "NotRecorded"},
	{authorizer.ErrNoCertificate, http.StatusUnauthorized, "NoCertificate"},
	{authorizer.ErrNoRole, http.StatusForbidden, "NoRole"},
	{authorizer.ErrRoleTooLow, http.StatusForbidden, "RoleTooLow"},
	{authorizer.ErrNotLoopback, http.StatusForbidden, "NotLoopback"},
	{importer.ErrSheet, http.StatusUnprocessableEntity, "SheetRefused"},
	{importer.ErrOlder, http.StatusConflict, "OlderSheet"},
	{importer.ErrSameExport, http.StatusConflict, "SameExport"},
	{importer.ErrPlanChanged, http.StatusConflict, "PlanChanged"},
	{importer.ErrNoPlan, http.StatusNotFound, "NoPlan"},
	{importer.ErrDocument, http.StatusInternalServerError, "DamagedPlan"},
	{ErrConfigurationRefused, http.StatusUnprocessableEntity, "ConfigurationRefused"},
	{publisher.ErrInvalidDay, http.StatusNotFound, "NoSuchDay"},
	{ErrNotFound, http.StatusNotFound, "NotFound"},
	{errTooLarge, http.StatusRequestEntityTooLarge, "TooLarge"},
	{ErrBadRequest, http.StatusBadRequest, "BadRequest"},
	{ErrLeaderUnreachable, http.StatusServiceUnavailable, "LeaderUnreachable"},
	{storer.ErrResultUnknown, http.StatusGatewayTimeout, "ResultUnknown"},
	{storer.ErrConflict, http.StatusConflict, "Conflict"},
	{storer.ErrUnavailable, http.StatusServiceUnavailable, "StoreUnavailable"},
	{storer.ErrTooLarge, http.StatusRequestEntityTooLarge, "TooLarge"},
	{storer.ErrNotFound, http.StatusNotFound, "NotFound"},
	{context.DeadlineExceeded, http.StatusGatewayTimeout, "ResultUnknown"},
	{context.Canceled, http.StatusGatewayTimeout, "ResultUnknown"},
}

// internalError applies to all other errors. Their text is logged but not sent to the client.
var internalError = errorMapping{status: http.StatusInternalServerError, code: "Internal"}

func mappingOf(err error) errorMapping {
	for _, em := range errorMappings {
		if errors.Is(err, em.err) {
			return em
		}
	}
	return internalError
}

func rejectionOf(err error) (int, Rejection) {
	em := mappingOf(err)
	rj := Rejection{Failure: modeler.Failure{Code: em.code, Message: err.Error()}}
	if em.err == nil {
		rj.Message = "internal error; the log of the host has the cause"
	}
	// List all errors of a refused document.
	_ = errors.As(err, &rj.Faults)
	_ = errors.As(err, &rj.Findings)
	return em.status, rj
}

// undetermined reports whether a failed command may have taken effect.
func undetermined(err error) bool {
	code := mappingOf(err).code
	return code == "ResultUnknown" || code == internalError.code
}

func writeJSON(wr http.ResponseWriter, status int, body any) {
	wr.Header().Set("Content-Type", "application/json; charset=utf-8")
	wr.WriteHeader(status)
	// Writing fails only if the client has disconnected.
	_ = json.NewEncoder(wr).Encode(body)
}
