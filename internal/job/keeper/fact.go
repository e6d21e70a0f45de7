package keeper

import (
	"encoding/json"
	"fmt"

	"github.com/currantrouter/currantrouter/internal/job/estimator"
	"github.com/currantrouter/currantrouter/internal/job/modeler"
	"github.com/currantrouter/currantrouter/internal/state/journaler"
)

// Fact is a record of the leaders' journal. A fact stays true and is idempotent: applying it again
// changes nothing. Facts about different tasks may be recorded in any order. Exactly one field is
// set.
type Fact struct {
	// RunEnd is the end of a run of a task.
	RunEnd *RunEndFact `json:"End,omitempty"`
	// JobEnd is the end of a job.
	JobEnd *JobEndFact `json:"Final,omitempty"`
	// LeaseGranted is a worker that may hold a lease from now on.
	LeaseGranted *modeler.Worker `json:"Granted,omitempty"`
	// LeaseReleased is a worker that no longer holds a lease.
	LeaseReleased modeler.WorkerID `json:"Released,omitempty"`
	// Placed is the placement of a long-running task on a worker.
	Placed *PlacedFact `json:",omitempty"`
	// Estimates holds the leader's estimates of interference between images.
	Estimates *estimator.Estimates `json:"Learned,omitempty"`
}

// PlacedFact is the placement of a run of a long-running task. It is durable before the request to
// start the run is sent. A later leader that does not find the task on this worker therefore knows
// that it runs nowhere.
type PlacedFact struct {
	Task   string
	Run    modeler.Run
	Worker modeler.WorkerID
}

// RunEndFact is the end of one run of a task.
type RunEndFact struct {
	// Task is the text form of a modeler.TaskID.
	Task    string
	Run     modeler.Run
	Outcome modeler.Outcome
	// Checkpoint is the latest checkpoint of the task, or empty.
	Checkpoint string `json:",omitempty"`
}

// JobEndFact is the end of a job.
type JobEndFact struct {
	Job modeler.JobID
	// State is the final state of the job.
	State modeler.State
}

// TaskName returns the text form of the ID of the task that a fact is about. It returns false for a
// fact about no task.
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

// ParseFact decodes the journal record of a fact. Errors: ErrDamaged, also for a fact that holds
// nothing known or values out of bounds.
func ParseFact(rec journaler.Record) (Fact, error) {
	var ft Fact
	if err := json.Unmarshal(rec.Data, &ft); err != nil {
		return Fact{}, fmt.Errorf("%w: %w", ErrDamaged, err)
	}
	if err := ft.check(); err != nil {
		return Fact{}, err
	}
	return ft, nil
}

// check returns ErrDamaged for a fact that does not have exactly one valid field.
func (ft Fact) check() error {
	fields := 0
	for _, set := range [...]bool{ft.RunEnd != nil, ft.JobEnd != nil, ft.LeaseGranted != nil, ft.LeaseReleased != "", ft.Placed != nil, ft.Estimates != nil} {
		if set {
			fields++
		}
	}
	valid := fields == 1
	switch {
	case ft.RunEnd != nil:
		valid = valid && validRun(ft.RunEnd.Task, ft.RunEnd.Run)
	case ft.Placed != nil:
		valid = valid && validRun(ft.Placed.Task, ft.Placed.Run) && ft.Placed.Worker != ""
	case ft.JobEnd != nil:
		valid = valid && ft.JobEnd.Job != "" && ft.JobEnd.State.Final()
	case ft.LeaseGranted != nil:
		valid = valid && ft.LeaseGranted.ID != ""
	}
	if !valid {
		return fmt.Errorf("%w: fact with %d fields, one of them invalid or none known", ErrDamaged, fields)
	}
	return nil
}

// validRun reports whether a task and a run are in range. The run is 0 for a task of a gang that is
// done by the end of another one and that this leader never saw run.
func validRun(task string, run modeler.Run) bool {
	_, err := modeler.ParseTaskID(task)
	return err == nil && run >= 0 && run <= modeler.MaxRun
}
