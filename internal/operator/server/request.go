package server

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/go-chi/chi/v5"

	"github.com/currantrouter/currantrouter/internal/fleet/modeler"
	"github.com/currantrouter/currantrouter/internal/operator/auditor"
	"github.com/currantrouter/currantrouter/internal/operator/authorizer"
	"github.com/currantrouter/currantrouter/internal/provider/storer"
)

// request is a request whose operator has the role that it needs.
type request struct {
	ctx   context.Context
	op    authorizer.Operator
	http  *http.Request
	query url.Values
	body  []byte
}

// action is a decoded command that was not executed yet.
type action struct {
	// subject and reason are for the audit trail.
	subject, reason string
	run             func(ctx context.Context) (effect, error)
}

// effect is the result of an executed command.
type effect struct {
	// subject replaces that of the action if it is known only after execution.
	subject string
	// before and after are the revisions of the subject, zero if it has none.
	before, after int64
	answer        any
}

// query returns the handler of a request that changes nothing.
func (sv *Server) query(run func(*request) (any, error)) http.HandlerFunc {
	return sv.queryWithBody(authorizer.Read, storer.MaxValueBytes, run)
}

func (sv *Server) queryWithBody(needed authorizer.Role, limit int64, run func(*request) (any, error)) http.HandlerFunc {
	return func(wr http.ResponseWriter, rq *http.Request) {
		ctx, stop := context.WithTimeout(rq.Context(), commandTimeout)
		defer stop()
		rr, err := sv.readRequest(ctx, wr, rq, needed, limit)
		if err != nil {
			sv.reject(wr, rq, rr.op.Name, err)
			return
		}
		answer, err := run(rr)
		if err != nil {
			sv.reject(wr, rq, rr.op.Name, err)
			return
		}
		if hd, ok := answer.(http.Handler); ok {
			hd.ServeHTTP(wr, rq)
			return
		}
		writeJSON(wr, http.StatusOK, answer)
	}
}

// readRequest checks the operator's role before it reads the body. The returned request is never
// nil.
func (sv *Server) readRequest(ctx context.Context, wr http.ResponseWriter, rq *http.Request, needed authorizer.Role, limit int64) (*request, error) {
	rr := &request{ctx: ctx, http: rq, query: rq.URL.Query()}
	var err error
	if rr.op, err = sv.auth.Identify(rq); err != nil {
		return rr, err
	}
	if err = rr.op.Require(needed); err != nil {
		return rr, err
	}
	rr.body, err = readBody(wr, rq, limit)
	return rr, err
}

// command returns the handler of a request that changes something. A record of its begin is written
// to the audit trail before it is executed; if that fails, the command is refused. Execution goes
// on when the operator's connection breaks.
func (sv *Server) command(needed authorizer.Role, name string, limit int64, read func(*request) (action, error)) http.HandlerFunc {
	return func(wr http.ResponseWriter, rq *http.Request) {
		ctx := context.WithoutCancel(rq.Context())
		rr, err := sv.readRequest(ctx, wr, rq, needed, limit)
		var ac action
		if err == nil {
			ac, err = read(rr)
		}
		rc := auditor.Record{
			Who: rr.op.Name, Role: rr.op.Role.String(), From: rr.op.From,
			Action: name, Subject: ac.subject, Reason: ac.reason,
		}
		if err != nil {
			sv.refuse(ctx, wr, rq, rc, err)
			return
		}
		answer, err := sv.execute(ctx, rc, ac)
		if err != nil {
			sv.reject(wr, rq, rr.op.Name, err)
			return
		}
		writeJSON(wr, http.StatusOK, answer)
	}
}

// refuse records a command that was not executed, and answers it with err. The operator gets an
// error in any case, so a failure to write the record is only counted by the metric AuditFailures.
func (sv *Server) refuse(ctx context.Context, wr http.ResponseWriter, rq *http.Request, rc auditor.Record, err error) {
	rc.Reason = err.Error()
	_ = sv.bk.Audit.Refuse(ctx, rc)
	sv.reject(wr, rq, rc.Who, err)
}

func (sv *Server) execute(ctx context.Context, rc auditor.Record, ac action) (any, error) {
	cm, err := sv.bk.Audit.Begin(ctx, rc)
	if err != nil {
		return nil, err
	}
	limited, stop := context.WithTimeout(ctx, commandTimeout)
	defer stop()
	// Recorded if the command panics, when its effect is unknown.
	oc := auditor.Outcome{Result: auditor.Undetermined, Reason: errPanic.Error()}
	defer func() { cm.End(ctx, oc) }()
	ef, err := ac.run(context.WithValue(limited, operatorKey{}, rc.Who))
	oc = ef.outcome(err)
	return ef.answer, err
}

type operatorKey struct{}

// OperatorName returns the name of the operator whose command is executed under ctx, or an empty
// string outside of a command.
func OperatorName(ctx context.Context) string {
	name, _ := ctx.Value(operatorKey{}).(string)
	return name
}

func (ef effect) outcome(err error) auditor.Outcome {
	oc := auditor.Outcome{Result: auditor.Accepted, Subject: ef.subject, Before: ef.before, After: ef.after}
	if err == nil {
		return oc
	}
	oc.Reason = err.Error()
	oc.Result = auditor.Refused
	if undetermined(err) {
		oc.Result = auditor.Undetermined
	}
	return oc
}

// decode reads a JSON body. Unknown fields are errors, because a misspelled field would otherwise
// be ignored.
func (rr *request) decode(into any) error {
	dc := json.NewDecoder(bytes.NewReader(rr.body))
	dc.DisallowUnknownFields()
	if err := dc.Decode(into); err != nil {
		return fmt.Errorf("%w: %w", ErrBadRequest, err)
	}
	return nil
}

func (rr *request) pathParam(name string) string {
	text := chi.URLParam(rr.http, name)
	if plain, err := url.PathUnescape(text); err == nil {
		return plain
	}
	return text
}

// intParam parses an integer parameter of the query. It returns the fallback if there is none, and
// ErrBadRequest if the number is not between lowest and highest.
func (rr *request) intParam(name string, fallback, lowest, highest int64) (int64, error) {
	text := rr.query.Get(name)
	if text == "" {
		return fallback, nil
	}
	num, err := strconv.ParseInt(text, 10, 64)
	if err != nil || num < lowest || num > highest {
		return 0, fmt.Errorf("%w: %s is %q, allowed are %d to %d", ErrBadRequest, name, text, lowest, highest)
	}
	return num, nil
}

func (rr *request) timeParam(name string) (time.Time, error) {
	text := rr.query.Get(name)
	if text == "" {
		return time.Time{}, nil
	}
	at, err := time.Parse(time.RFC3339, text)
	if err != nil {
		return time.Time{}, fmt.Errorf("%w: %s is %q, allowed is a time such as 2026-03-29T05:30:00Z", ErrBadRequest, name, text)
	}
	return at, nil
}

// parseRevision parses a revision in a path. An empty text yields zero, which stands for the
// current revision.
func parseRevision(text string) (modeler.Revision, error) {
	if text == "" {
		return 0, nil
	}
	num, err := strconv.ParseInt(text, 10, 64)
	if err != nil || num < 1 {
		return 0, fmt.Errorf("%w: revision is %q, allowed are numbers from 1", ErrBadRequest, text)
	}
	return modeler.Revision(num), nil
}
