package server

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"runtime/debug"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/go-logr/logr"

	"github.com/currantrouter/currantrouter/internal/operator/authorizer"
	"github.com/currantrouter/currantrouter/internal/plan/importer"
	"github.com/currantrouter/currantrouter/internal/provider/storer"
	"github.com/currantrouter/currantrouter/internal/telemetry/logger"
	"github.com/currantrouter/currantrouter/internal/telemetry/meter"
)

const (
	// MaxHeaderBytes bounds the header of a request.
	MaxHeaderBytes = 16 << 10
	// readTimeout bounds the time to read a request. A sheet of the maximum size needs 18 Mbit/s to
	// arrive in time.
	readTimeout = 30 * time.Second
	// readHeaderTimeout bounds the time to read the header of a request.
	readHeaderTimeout = 5 * time.Second
	// commandTimeout bounds the execution of a command.
	commandTimeout = 30 * time.Second
	// writeTimeout bounds a request and its answer. Beside reading and execution it leaves 30 s to
	// write the audit records before and after the command.
	writeTimeout = readTimeout + commandTimeout + 30*time.Second
	// idleTimeout closes idle connections, so that reloaded CA certificates take effect.
	idleTimeout = time.Minute
	// maxBodyBytes bounds the bodies of commands other than sheets and configurations.
	maxBodyBytes = 64 << 10
	// maxQueryBytes bounds the query of a request.
	maxQueryBytes = 4 << 10
)

var errTooLarge = errors.New("body is too large")

// Authorizer identifies the operator that sent a request. authorizer.Authorizer implements it.
type Authorizer interface {
	Identify(rq *http.Request) (authorizer.Operator, error)
}

// Server is the HTTP handler of the operators' interface. It is safe for concurrent use.
type Server struct {
	bk     Backends
	auth   Authorizer
	lg     logr.Logger
	mt     *meter.Registry
	router chi.Router
}

// New returns the handler of the operators' interface.
func New(bk Backends, auth Authorizer, lg logr.Logger, mt *meter.Registry) *Server {
	sv := &Server{bk: bk, auth: auth, lg: lg, mt: mt, router: chi.NewRouter()}
	sv.router.Use(sv.recoverPanics, sv.protect)
	sv.router.NotFound(func(wr http.ResponseWriter, rq *http.Request) {
		sv.reject(wr, rq, "", fmt.Errorf("%w: no such path", ErrNotFound))
	})
	sv.router.MethodNotAllowed(func(wr http.ResponseWriter, rq *http.Request) {
		sv.reject(wr, rq, "", fmt.Errorf("%w: method %s is not allowed here", ErrBadRequest, rq.Method))
	})
	sv.routes()
	return sv
}

// ServeHTTP implements http.Handler.
func (sv *Server) ServeHTTP(wr http.ResponseWriter, rq *http.Request) {
	sv.mt.Add(meter.OperatorCommands, 1)
	sv.router.ServeHTTP(wr, rq)
}

// HTTPServer returns a server for the operators' interface with its limits and timeouts set. The
// caller adds the TLS configuration and starts it.
func (sv *Server) HTTPServer(listen netip.AddrPort) *http.Server {
	return &http.Server{
		Addr:              listen.String(),
		Handler:           sv,
		ReadHeaderTimeout: readHeaderTimeout,
		ReadTimeout:       readTimeout,
		WriteTimeout:      writeTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    MaxHeaderBytes,
	}
}

func (sv *Server) routes() {
	rt := sv.router
	rt.Get("/healthz", sv.health)
	rt.Get("/readyz", sv.ready)
	rt.Get("/debug/vars", sv.query(func(*request) (any, error) { return sv.mt, nil }))

	rt.Get("/v1/plans/{day}", sv.query(sv.plan))
	rt.Post("/v1/plans", sv.importPlan())
	rt.Get("/v1/jobs", sv.query(sv.jobs))
	rt.Get("/v1/tasks", sv.query(sv.tasks))
	rt.Get("/v1/explain", sv.query(sv.explain))
	rt.Post("/v1/cancel", sv.command(authorizer.Plan, "CancelJobs", maxBodyBytes, sv.cancel))
	rt.Get("/v1/hosts", sv.query(sv.hosts))
	rt.Get("/v1/runners", sv.query(sv.runners))
	rt.Post("/v1/drain", sv.command(authorizer.Administer, "Drain", maxBodyBytes, sv.drain))
	rt.Get("/v1/hours", sv.query(sv.hours))
	rt.Get("/v1/hours/{day}", sv.query(sv.hours))
	rt.Get("/v1/audit", sv.query(sv.audit))

	if sv.bk.Statements != nil {
		rt.Post("/v1/tasks/resolve", sv.command(authorizer.Administer, "ResolveTask", maxBodyBytes, sv.resolve))
		rt.Post("/v1/workers/gone", sv.command(authorizer.Administer, "DeclareWorkerGone", maxBodyBytes, sv.workerGone))
	}

	rt.Get("/v1/config", sv.query(sv.configuration))
	rt.Put("/v1/config", sv.command(authorizer.Administer, "PutConfiguration", storer.MaxValueBytes, sv.putConfiguration))
	rt.Post("/v1/config/check", sv.query(sv.checkConfiguration))
	rt.Get("/v1/config/history", sv.query(sv.history))
	rt.Get("/v1/config/history/{revision}", sv.query(sv.configuration))
	rt.Get("/v1/config/status", sv.query(sv.status))
}

// importPlan returns a handler that treats a dry run as a query, because it changes nothing and
// needs no audit record, and any other import as a command.
func (sv *Server) importPlan() http.HandlerFunc {
	dryRun := sv.queryWithBody(authorizer.Plan, importer.MaxSheetBytes, sv.comparePlan)
	apply := sv.command(authorizer.Plan, "ImportPlan", importer.MaxSheetBytes, sv.applyPlan)
	return func(wr http.ResponseWriter, rq *http.Request) {
		if rq.URL.Query().Get("DryRun") == "true" {
			dryRun(wr, rq)
			return
		}
		apply(wr, rq)
	}
}

func (sv *Server) health(wr http.ResponseWriter, _ *http.Request) {
	writeJSON(wr, http.StatusOK, struct{ Health string }{"Live"})
}

func (sv *Server) ready(wr http.ResponseWriter, _ *http.Request) {
	if err := sv.bk.Ready(); err != nil {
		rj := Rejection{}
		rj.Code, rj.Message = "NotReady", err.Error()
		writeJSON(wr, http.StatusServiceUnavailable, rj)
		return
	}
	writeJSON(wr, http.StatusOK, struct{ Health string }{"Ready"})
}

// protect rejects overlong queries, and cross-origin requests that a web page could send through an
// operator's browser (CSRF).
func (sv *Server) protect(next http.Handler) http.Handler {
	origins := http.NewCrossOriginProtection()
	return http.HandlerFunc(func(wr http.ResponseWriter, rq *http.Request) {
		if err := origins.Check(rq); err != nil {
			sv.reject(wr, rq, "", fmt.Errorf("%w: %w", authorizer.ErrRoleTooLow, err))
			return
		}
		if len(rq.URL.RawQuery) > maxQueryBytes {
			sv.reject(wr, rq, "", fmt.Errorf("%w: the query is longer than %d bytes", ErrBadRequest, maxQueryBytes))
			return
		}
		wr.Header().Set("Cache-Control", "no-store")
		wr.Header().Set("X-Content-Type-Options", "nosniff")
		next.ServeHTTP(wr, rq)
	})
}

func (sv *Server) recoverPanics(next http.Handler) http.Handler {
	return http.HandlerFunc(func(wr http.ResponseWriter, rq *http.Request) {
		defer func() {
			cause := recover()
			if cause == nil {
				return
			}
			logger.Log(sv.lg, logger.CommandPanicked, "Path", rq.URL.Path, "Cause", fmt.Sprint(cause), "Stack", string(debug.Stack()))
			sv.reject(wr, rq, "", errPanic)
		}()
		next.ServeHTTP(wr, rq)
	})
}

var errPanic = errors.New("command panicked")

// reject answers with an error and logs it. The operator's name who may be empty.
func (sv *Server) reject(wr http.ResponseWriter, rq *http.Request, who string, err error) {
	status, rj := rejectionOf(err)
	sv.mt.Add(meter.OperatorRefusals, 1)
	ev := logger.CommandRefused
	if status >= http.StatusInternalServerError {
		ev = logger.CommandFailed
	}
	logger.Log(sv.lg, ev, "Method", rq.Method, "Path", rq.URL.Path, "Who", who, "Code", rj.Code, "Error", err.Error())
	writeJSON(wr, status, rj)
}

// readBody reads the whole body. It returns errTooLarge when the body is longer than limit bytes,
// and ErrBadRequest when it cannot be read.
func readBody(wr http.ResponseWriter, rq *http.Request, limit int64) ([]byte, error) {
	body, err := io.ReadAll(http.MaxBytesReader(wr, rq.Body, limit))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, fmt.Errorf("%w: it may have %d bytes", errTooLarge, limit)
	}
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrBadRequest, err)
	}
	return body, nil
}
