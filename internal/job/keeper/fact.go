package keeper

import (
	"encoding/json"
	"fmt"

	"github.com/currantrouter/currantrouter/internal/job/estimator"
	"github.com/currantrouter/currantrouter/internal/job/modeler"
	"github.com/currantrouter/currantrouter/internal/state/journaler"
)

// Fact is a record of the leaders' journal. Facts stay true: repeating one changes nothing, and
// those of different tasks may be recorded in any order. Exactly one of its parts is set.
type Fact struct {
	RunEnd *RunEndFact `json:"End,omitempty"`
	// JobEnd is how a job ended.
	JobEnd *JobEndFact `json:"Final,omitempty"`
	// LeaseGranted is a worker that may hold a lease from now on.
	LeaseGranted *modeler.Worker `json:"Granted,omitempty"`
	// LeaseReleased is a worker that cannot hold a lease any more.
	LeaseReleased modeler.WorkerID `json:"Released,omitempty"`
	// Placed is the worker on which a long-running task is about to start.
	Placed *PlacedFact `json:",omitempty"`
	// Learned is what the leader has learned about interference between images.
	Learned *estimator.Estimates `json:",omitempty"`
}

// PlacedFact is durable before the start that it announces is sent. A later leader that does not
// find the task on this worker therefore knows that it runs nowhere.
type PlacedFact struct {
	Task   string
	Run    modeler.Run
	Worker modeler.WorkerID
}

// RunEndFact is the end of one run.
type RunEndFact struct {
	Task       string
	Run        modeler.Run
	Outcome    modeler.Outcome
	Checkpoint string `json:",omitempty"`
}

// JobEndFact is the end of a job.
type JobEndFact struct {
	Job   modeler.JobID
	State modeler.State
}

// TaskName returns the task that a fact is about, and false for other facts.
func (ft Fact) TaskName() (string, bool) {
	switch {
	case ft.RunEnd != nil:
		return ft.RunEnd.Task, true
	case ft.Placed != nil:
		return ft.Placed.Task, true
	}
	return "", false
}

// Record returns the journal record of a fact.
func (ft Fact) Record() (journaler.Record, error) {
	data, err := json.Marshal(ft)
	return journaler.Record{Kind: journaler.KindTask, Data: data}, err
}

// ParseFact is the inverse of Record. Errors: ErrDamaged.
func ParseFact(rec journaler.Record) (Fact, error) {
	var ft Fact
	if err := json.Unmarshal(rec.Data, &ft); err != nil {
		return ft, fmt.Errorf("%w: %w", ErrDamaged, err)
	}
	return ft, nil
}
