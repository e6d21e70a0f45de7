package assembler

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	fleet "github.com/currantrouter/currantrouter/internal/fleet/modeler"
	"github.com/currantrouter/currantrouter/internal/job/director"
	"github.com/currantrouter/currantrouter/internal/job/elector"
	"github.com/currantrouter/currantrouter/internal/job/modeler"
	"github.com/currantrouter/currantrouter/internal/operator/server"
)

// minExplanationInterval is the least time between two explanations, each of which looks at all workers as a placement
// round does.
const minExplanationInterval = time.Second

// jobExplainer answers operators where a job would be placed. It computes one explanation at a time.
type jobExplainer struct {
	director      func() *director.Director
	leader        func() elector.Leader
	configuration func() *modeler.Configuration

	gate gate
}

// gate admits one request at a time. It is for requests that hold up a leader's decisions.
type gate struct {
	mu sync.Mutex
	// enteredAt is when a request was last admitted.
	enteredAt time.Time
}

// enter reports whether a request is admitted, at least an interval after the last one. One that is calls leave.
func (ga *gate) enter(interval time.Duration) bool {
	if !ga.mu.TryLock() {
		return false
	}
	if time.Since(ga.enteredAt) < interval {
		ga.mu.Unlock()
		return false
	}
	ga.enteredAt = time.Now()
	return true
}

func (ga *gate) leave() { ga.mu.Unlock() }

// explanationError is an error answer to an operator with its HTTP status.
type explanationError struct {
	status        int
	code, message string
}

func (ee *explanationError) Error() string { return ee.code + ": " + ee.message }

func (je *jobExplainer) ServeHTTP(wr http.ResponseWriter, rq *http.Request) {
	ex, err := je.explain(rq)
	answerOperator(wr, ex, err)
}

// answerOperator answers with a document as JSON, or with the error if there is one.
func answerOperator(wr http.ResponseWriter, doc any, err error) {
	status := http.StatusOK
	if err != nil {
		ee := &explanationError{status: http.StatusInternalServerError, code: "Internal", message: err.Error()}
		errors.As(err, &ee)
		status, doc = ee.status, server.Rejection{Failure: fleet.Failure{Code: ee.code, Message: ee.message}}
	}
	wr.Header().Set("Content-Type", "application/json")
	wr.WriteHeader(status)
	json.NewEncoder(wr).Encode(doc)
}

// explain answers a request. Errors: *explanationError.
func (je *jobExplainer) explain(rq *http.Request) (*director.JobExplanation, error) {
	cfg := je.configuration()
	if cfg == nil {
		return nil, &explanationError{http.StatusServiceUnavailable, "NoConfiguration", "the host has no configuration of queues"}
	}
	dr := je.director()
	if dr == nil {
		return nil, notLeader(je.leader())
	}
	body, err := io.ReadAll(rq.Body)
	if err != nil {
		return nil, &explanationError{http.StatusBadRequest, "BodyIncomplete", err.Error()}
	}
	jb := new(modeler.Job)
	if err := json.Unmarshal(body, jb); err != nil {
		return nil, &explanationError{http.StatusUnprocessableEntity, "InvalidJob", err.Error()}
	}
	queue, err := findQueue(cfg, rq)
	if err != nil {
		return nil, err
	}
	if !je.gate.enter(minExplanationInterval) {
		return nil, errExplanationBusy
	}
	defer je.gate.leave()
	ex, err := dr.ExplainJob(jb, queue)
	switch {
	case errors.Is(err, modeler.ErrInvalidJob):
		return nil, &explanationError{http.StatusUnprocessableEntity, "InvalidJob", err.Error()}
	case errors.Is(err, director.ErrNotLoaded):
		return nil, notLoaded(err)
	}
	return ex, err
}

var errExplanationBusy = &explanationError{http.StatusServiceUnavailable, "Busy", fmt.Sprintf("one explanation at a time, and one in %s", minExplanationInterval)}

// notLeader returns the error of a host that does not lead, which names the leader.
func notLeader(ld elector.Leader) error {
	message := "the host is not the leader, and no leader is known"
	if ld.Host != "" {
		message = fmt.Sprintf("the host is not the leader; the leader is %s, whose address for peers is %s", ld.Host, ld.Address)
	}
	return &explanationError{http.StatusServiceUnavailable, "NotLeader", message}
}

// notLoaded returns the error of a leader that has not loaded the stored jobs.
func notLoaded(err error) error {
	return &explanationError{http.StatusServiceUnavailable, "NotLoaded", err.Error()}
}

// findQueue returns the queue with the name in the query, or that of a caller's host and path.
func findQueue(cfg *modeler.Configuration, rq *http.Request) (*modeler.Queue, error) {
	query := rq.URL.Query()
	name, host, path := query.Get("Queue"), query.Get("Host"), query.Get("Path")
	queue := cfg.Queue(modeler.QueueName(name))
	if name == "" {
		queue, _, _ = cfg.Route(host, path)
	}
	if queue == nil {
		return nil, &explanationError{http.StatusNotFound, "NoSuchQueue", fmt.Sprintf("no queue has the name %q, or the host %q and a prefix of the path %q", name, host, path)}
	}
	return queue, nil
}
