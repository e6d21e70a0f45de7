package emulator

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"

	"github.com/go-chi/chi/v5"

	"github.com/currantrouter/currantrouter/internal/fleet/modeler"
	"github.com/currantrouter/currantrouter/internal/provider/lister"
	"github.com/currantrouter/currantrouter/internal/provider/requester"
	"github.com/currantrouter/currantrouter/internal/provider/storer"
	"github.com/currantrouter/currantrouter/internal/provider/supervisor"
)

// maxRequestBytes bounds a request, which has at most one value in base64.
const maxRequestBytes = 2 * storer.MaxValueBytes

// FaultsRequest is the body of POST /faults.
type FaultsRequest struct {
	// Clear removes all switches before Set is added.
	Clear bool
	Set   []Switch
}

// ControlRequest is the body of POST /control.
type ControlRequest struct {
	// Action is Pause, Resume or Kill of a worker, Freeze of a runner, or List of a host.
	Action string
	Name   string
	// State is the state of a listed host, empty for a removed one.
	State lister.HostState `json:",omitempty"`
}

// OracleAnswer is the body of GET /oracle.
type OracleAnswer struct {
	Calls   map[string]int64
	Workers WorkersSummary
	Runners map[modeler.RunnerName]RunnerOracle
}

// WorkersSummary is a WorkersOracle whose keys are JSON strings.
type WorkersSummary struct {
	Greatest   map[modeler.WorkerName]supervisor.Resources
	Executions map[string]int
	Resumes    map[string]int
	Violations []string
}

// Handler serves the platform's protocol of docs/platform.md, and the interfaces for faults, control
// and oracles.
func (pf *Platform) Handler() http.Handler {
	mx := chi.NewRouter()
	pf.routeStore(mx)
	pf.routeWorkers(mx)
	mx.Post(lister.PathHosts, handleJSON(func(ctx context.Context, _ struct{}) (any, error) {
		hs, err := pf.Hosts.List(ctx)
		return lister.HostsAnswer{Hosts: hs}, err
	}))
	mx.Post(lister.PathWorkers, handleJSON(func(ctx context.Context, _ struct{}) (any, error) {
		wks, err := pf.Hosts.Workers(ctx)
		return lister.WorkersAnswer{Workers: wks}, err
	}))
	mx.Get("/runners", func(wr http.ResponseWriter, _ *http.Request) { writeJSON(wr, http.StatusOK, pf.runnerList()) })
	mx.Get("/oracle", func(wr http.ResponseWriter, _ *http.Request) { writeJSON(wr, http.StatusOK, pf.oracle()) })
	mx.Get("/faults", func(wr http.ResponseWriter, _ *http.Request) { writeJSON(wr, http.StatusOK, pf.Faults.Active()) })
	mx.Post("/faults", handleJSON(pf.setFaults))
	mx.Post("/control", handleJSON(pf.control))
	return mx
}

func (pf *Platform) routeStore(mx chi.Router) {
	mx.Post(storer.PathGet, handleJSON(func(ctx context.Context, rq storer.GetRequest) (any, error) {
		return pf.Store.Get(ctx, rq.Key)
	}))
	mx.Post(storer.PathPut, handleJSON(func(ctx context.Context, rq storer.PutRequest) (any, error) {
		rev, err := pf.Store.Put(ctx, rq.Key, rq.Value, rq.Expected)
		return storer.PutAnswer{Revision: rev}, err
	}))
	mx.Post(storer.PathDelete, handleJSON(func(ctx context.Context, rq storer.DeleteRequest) (any, error) {
		return nil, pf.Store.Delete(ctx, rq.Key, rq.Expected)
	}))
	mx.Post(storer.PathList, handleJSON(func(ctx context.Context, rq storer.ListRequest) (any, error) {
		ens, err := pf.Store.List(ctx, rq.Prefix, rq.After, rq.Limit)
		return storer.ListAnswer{Entries: ens}, err
	}))
	mx.Post(storer.PathWait, handleJSON(func(ctx context.Context, rq storer.WaitRequest) (any, error) {
		ens, rev, err := pf.Store.Wait(ctx, rq.Prefix, rq.After)
		return storer.WaitAnswer{Entries: ens, Revision: rev}, err
	}))
}

func (pf *Platform) routeWorkers(mx chi.Router) {
	wks := pf.Workers
	attempt := func(operation string, execute func(context.Context, supervisor.Worker, supervisor.AttemptRequest) error) {
		mx.Post(supervisor.Path("{worker}", operation), handleWorker(func(ctx context.Context, wk supervisor.Worker, rq supervisor.AttemptRequest) (any, error) {
			return nil, execute(ctx, wk, rq)
		}))
	}
	attempt(supervisor.OperationStop, func(ctx context.Context, wk supervisor.Worker, rq supervisor.AttemptRequest) error {
		return wks.Stop(ctx, wk, rq.Epoch, rq.Attempt)
	})
	attempt(supervisor.OperationCheckpoint, func(ctx context.Context, wk supervisor.Worker, rq supervisor.AttemptRequest) error {
		return wks.Checkpoint(ctx, wk, rq.Epoch, rq.Attempt)
	})
	attempt(supervisor.OperationThrottle, func(ctx context.Context, wk supervisor.Worker, rq supervisor.AttemptRequest) error {
		return wks.Throttle(ctx, wk, rq.Epoch, rq.Attempt, rq.Share)
	})
	mx.Post(supervisor.Path("{worker}", supervisor.OperationStart), handleWorker(func(ctx context.Context, wk supervisor.Worker, rq supervisor.StartRequest) (any, error) {
		return nil, wks.Start(ctx, wk, rq.Command())
	}))
	mx.Post(supervisor.Path("{worker}", supervisor.OperationRenew), handleWorker(func(ctx context.Context, wk supervisor.Worker, rq supervisor.AttemptsRequest) (any, error) {
		missing, err := wks.Renew(ctx, wk, rq.Epoch, rq.LeaseTerm(), rq.Attempts)
		return supervisor.RenewAnswer{Missing: missing}, err
	}))
	mx.Post(supervisor.Path("{worker}", supervisor.OperationForget), handleWorker(func(ctx context.Context, wk supervisor.Worker, rq supervisor.AttemptsRequest) (any, error) {
		return nil, wks.Forget(ctx, wk, rq.Epoch, rq.Attempts)
	}))
	mx.Post(supervisor.Path("{worker}", supervisor.OperationReport), handleWorker(func(ctx context.Context, wk supervisor.Worker, _ struct{}) (any, error) {
		return wks.Report(ctx, wk)
	}))
}

func handleWorker[In any](execute func(context.Context, supervisor.Worker, In) (any, error)) http.HandlerFunc {
	return func(wr http.ResponseWriter, rq *http.Request) {
		wk := supervisor.Worker{Name: modeler.WorkerName(chi.URLParam(rq, "worker"))}
		handleJSON(func(ctx context.Context, in In) (any, error) { return execute(ctx, wk, in) })(wr, rq)
	}
}

// handleJSON decodes a call, executes it and encodes the result. For an error without a code it
// closes the connection, which loses the answer.
func handleJSON[In any](execute func(context.Context, In) (any, error)) http.HandlerFunc {
	return func(wr http.ResponseWriter, rq *http.Request) {
		var in In
		if err := json.NewDecoder(http.MaxBytesReader(wr, rq.Body, maxRequestBytes)).Decode(&in); err != nil {
			writeJSON(wr, http.StatusBadRequest, requester.Failure{Code: "BadRequest", Message: err.Error()})
			return
		}
		out, err := execute(rq.Context(), in)
		if err == nil {
			if out == nil {
				out = struct{}{}
			}
			writeJSON(wr, http.StatusOK, out)
			return
		}
		status, code := errorStatus(err)
		if code == "" {
			panic(http.ErrAbortHandler)
		}
		writeJSON(wr, status, requester.Failure{Code: code, Message: err.Error()})
	}
}

var errorStatuses = []struct {
	err    error
	status int
	code   string
}{
	{storer.ErrNotFound, http.StatusNotFound, storer.CodeNotFound},
	{storer.ErrConflict, http.StatusConflict, storer.CodeConflict},
	{storer.ErrTooLarge, http.StatusRequestEntityTooLarge, storer.CodeTooLarge},
	{storer.ErrGap, http.StatusGone, storer.CodeGap},
	{storer.ErrUnavailable, http.StatusServiceUnavailable, storer.CodeUnavailable},
	{lister.ErrUnavailable, http.StatusServiceUnavailable, storer.CodeUnavailable},
	{supervisor.ErrRefused, http.StatusConflict, supervisor.CodeRefused},
	{supervisor.ErrNoAttempt, http.StatusNotFound, supervisor.CodeNoAttempt},
	{errBadRequest, http.StatusBadRequest, "BadRequest"},
}

var errBadRequest = errors.New("bad request")

// errorStatus returns the HTTP status and code of an error, or an empty code when the answer is to be
// lost.
func errorStatus(err error) (int, string) {
	for _, fl := range errorStatuses {
		if errors.Is(err, fl.err) {
			return fl.status, fl.code
		}
	}
	return 0, ""
}

func writeJSON(wr http.ResponseWriter, status int, out any) {
	wr.Header().Set("Content-Type", "application/json; charset=utf-8")
	wr.WriteHeader(status)
	// A failed write means that the client has closed the connection.
	_ = json.NewEncoder(wr).Encode(out)
}

func (pf *Platform) setFaults(_ context.Context, rq FaultsRequest) (any, error) {
	if rq.Clear {
		pf.Faults.Clear()
	}
	pf.Faults.Set(rq.Set...)
	return pf.Faults.Active(), nil
}

func (pf *Platform) control(_ context.Context, rq ControlRequest) (any, error) {
	switch rq.Action {
	case "List":
		pf.Hosts.Set(rq.Name, rq.State)
		return nil, nil
	case "Freeze":
		rn, ok := pf.Runner(modeler.RunnerName(rq.Name))
		if !ok {
			return nil, fmt.Errorf("%w: runner %q does not exist", errBadRequest, rq.Name)
		}
		rn.Freeze()
		return nil, nil
	}
	act, ok := map[string]func(modeler.WorkerName){
		"Pause": pf.Workers.Pause, "Resume": pf.Workers.Resume, "Kill": pf.Workers.Kill,
	}[rq.Action]
	if !ok || !pf.Workers.has(modeler.WorkerName(rq.Name)) {
		return nil, fmt.Errorf("%w: action %q on %q", errBadRequest, rq.Action, rq.Name)
	}
	act(modeler.WorkerName(rq.Name))
	return nil, nil
}

func (pf *Platform) oracle() OracleAnswer {
	or := pf.Workers.Oracle()
	out := OracleAnswer{
		Calls: pf.Store.Calls(),
		Workers: WorkersSummary{
			Greatest: or.Greatest, Violations: or.Violations,
			Executions: map[string]int{}, Resumes: map[string]int{},
		},
		Runners: map[modeler.RunnerName]RunnerOracle{},
	}
	for id, count := range or.Executions {
		out.Workers.Executions[fmt.Sprintf("%s/%d", id.Job, id.Task)] = count
	}
	for id, count := range or.Resumes {
		out.Workers.Resumes[fmt.Sprintf("%s/%d/%d", id.Job, id.Task, id.Number)] = count
	}
	for _, rn := range pf.runnerList() {
		found, _ := pf.Runner(rn.Name)
		out.Runners[rn.Name] = found.Oracle()
	}
	return out
}
