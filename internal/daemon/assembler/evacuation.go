package assembler

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/go-logr/logr"

	fleet "github.com/currantrouter/currantrouter/internal/fleet/modeler"
	"github.com/currantrouter/currantrouter/internal/job/director"
	"github.com/currantrouter/currantrouter/internal/job/elector"
	"github.com/currantrouter/currantrouter/internal/job/evacuator"
	jobleader "github.com/currantrouter/currantrouter/internal/job/leader"
	"github.com/currantrouter/currantrouter/internal/provider/storer"
	"github.com/currantrouter/currantrouter/internal/telemetry/logger"
	"github.com/currantrouter/currantrouter/internal/telemetry/meter"
)

const (
	evacuationsPath = "/v1/evacuations"
	// evacuationCommandTimeout bounds a command with all its calls to the store.
	evacuationCommandTimeout = 10 * time.Second
	// evacuationReportInterval is the time for which a report is used again. A report looks at all workers while
	// placement waits.
	evacuationReportInterval = time.Second
	// maxLoggedName bounds a name in the log in bytes. Valid names are not longer.
	maxLoggedName = 200
)

// evacuationReporter is the part of a director that reports evacuations.
type evacuationReporter interface {
	ReportEvacuations() (*director.EvacuationReport, error)
}

// evacuationServer serves operators who request, list and withdraw evacuations of data centres.
type evacuationServer struct {
	// enabled reports whether this host reads evacuations when it leads.
	enabled func() bool
	// reporter returns the director of the present term, or nil.
	reporter func() evacuationReporter
	leader   func() elector.Leader
	requests *jobleader.EvacuationRequests
	log      logr.Logger
	meter    *meter.Registry

	// commanding is held during a command, as a request may read the whole registry.
	commanding sync.Mutex

	mu sync.Mutex
	// reported is the result of by at reportedAt.
	reported    *director.EvacuationReport
	reportedErr error
	reportedAt  time.Time
	by          evacuationReporter
}

func (jh *jobHost) evacuationsHandler() http.Handler {
	es := &evacuationServer{
		enabled: func() bool { return jh.settings.Jobs.EvacuationLimit > 0 },
		reporter: func() evacuationReporter {
			dr := jh.leader.Director()
			if dr == nil {
				return nil
			}
			return dr
		},
		leader:   jh.elector.Leader,
		requests: &jobleader.EvacuationRequests{Store: jh.platform.Store, Evacuations: jh.platform.Evacuations, Registry: jh.platform.Registry},
		log:      jh.log, meter: jh.meter,
	}
	return es.handler()
}

func (es *evacuationServer) handler() http.Handler {
	mux := chi.NewRouter()
	mux.Get("/", func(wr http.ResponseWriter, _ *http.Request) {
		er, err := es.report()
		answerOperator(wr, er, err)
	})
	mux.Put("/*", es.command("Request", meter.EvacuationsRequested, es.requests.Request))
	mux.Delete("/*", es.command("Withdraw", meter.EvacuationsWithdrawn, es.requests.Withdraw))
	return mux
}

var errEvacuationsNotEnabled = &explanationError{http.StatusUnprocessableEntity, "NotEnabled", "evacuations are not enabled at this host; set [Jobs] EvacuationLimit at all hosts"}

// report returns the state of the evacuations. Errors: *explanationError.
func (es *evacuationServer) report() (*director.EvacuationReport, error) {
	if !es.enabled() {
		return nil, errEvacuationsNotEnabled
	}
	rp := es.reporter()
	if rp == nil {
		return nil, notLeader(es.leader())
	}
	es.mu.Lock()
	defer es.mu.Unlock()
	if es.by != rp || time.Since(es.reportedAt) >= evacuationReportInterval {
		es.reported, es.reportedErr = rp.ReportEvacuations()
		es.by, es.reportedAt = rp, time.Now()
	}
	if errors.Is(es.reportedErr, director.ErrEvacuationsNotRead) {
		return nil, errEvacuationsNotEnabled
	}
	return es.reported, es.reportedErr
}

// command returns a handler that carries out a command for the data centre in the path, and counts its changes.
func (es *evacuationServer) command(name string, changes meter.Metric, execute func(context.Context, fleet.DataCentreName) (evacuator.Outcome, error)) http.HandlerFunc {
	return func(wr http.ResponseWriter, rq *http.Request) {
		began := time.Now()
		dc := fleet.DataCentreName(strings.TrimPrefix(rq.URL.Path, evacuationsPath+"/"))
		oc, err := evacuator.Outcome(""), error(errNotLocal)
		if fromThisHost(rq) {
			oc, err = es.execute(rq.Context(), dc, execute)
		}
		result, cause := string(oc), ""
		if err != nil {
			ee := evacuationError(dc, err)
			result, cause, err = ee.code, ee.message, ee
		}
		if oc == evacuator.Requested || oc == evacuator.Withdrawn {
			es.meter.Add(changes, 1)
		}
		logger.Log(es.log, logger.EvacuationCommand, "Command", name, "DataCentre", dc[:min(len(dc), maxLoggedName)], "Remote", rq.RemoteAddr,
			"Result", result, "Cause", cause, "Took", time.Since(began).String())
		answerOperator(wr, evacuator.CommandResult{DataCentre: dc, Outcome: oc}, err)
	}
}

var errNotLocal = &explanationError{http.StatusForbidden, "NotLocal", "commands are accepted from this host only, as its operators' interface does not authenticate clients; run currantctl there or through a tunnel that ends there"}

// fromThisHost reports whether a request was sent by this host.
func fromThisHost(rq *http.Request) bool {
	remote, err := netip.ParseAddrPort(rq.RemoteAddr)
	if err != nil {
		return false
	}
	addr := remote.Addr().Unmap()
	if addr.IsLoopback() {
		return true
	}
	local, ok := rq.Context().Value(http.LocalAddrContextKey).(*net.TCPAddr)
	return ok && local.AddrPort().Addr().Unmap() == addr
}

var errCommandBusy = &explanationError{http.StatusServiceUnavailable, "Busy", "one command at a time; nothing was changed"}

func (es *evacuationServer) execute(ctx context.Context, dc fleet.DataCentreName, execute func(context.Context, fleet.DataCentreName) (evacuator.Outcome, error)) (evacuator.Outcome, error) {
	if !es.enabled() {
		return "", errEvacuationsNotEnabled
	}
	if !es.commanding.TryLock() {
		return "", errCommandBusy
	}
	defer es.commanding.Unlock()
	// A client that goes away must not leave the result unknown in the log.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), evacuationCommandTimeout)
	defer cancel()
	return execute(ctx, dc)
}

// evacuationError returns the error answer for the error of a command.
func evacuationError(dc fleet.DataCentreName, err error) *explanationError {
	var ee *explanationError
	switch {
	case errors.As(err, &ee):
		return ee
	case errors.Is(err, jobleader.ErrInvalidDataCentre):
		return &explanationError{http.StatusUnprocessableEntity, "InvalidDataCentre", err.Error()}
	case errors.Is(err, jobleader.ErrNoWorkers):
		return &explanationError{http.StatusNotFound, evacuator.CodeNoWorkers, err.Error()}
	case errors.Is(err, storer.ErrResultUnknown):
		return &explanationError{http.StatusGatewayTimeout, "ResultUnknown", fmt.Sprintf("the store's answer was lost, and it is unknown whether the change for %q was stored; list the evacuations at the leader, or repeat the command: %v", dc, err)}
	case errors.Is(err, storer.ErrConflict):
		return &explanationError{http.StatusConflict, "Conflict", fmt.Sprintf("the request for %q is changed by others; nothing was changed by this command", dc)}
	case errors.Is(err, storer.ErrUnavailable):
		return &explanationError{http.StatusServiceUnavailable, "StoreUnavailable", fmt.Sprintf("nothing was changed: %v", err)}
	}
	return &explanationError{http.StatusInternalServerError, "Internal", err.Error()}
}
