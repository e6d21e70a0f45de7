package keeper

import (
	"bytes"
	"encoding/json"
	"fmt"
	"time"

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
	// LeaseBounded is the end of the lease of a worker that does not answer.
	LeaseBounded *LeaseBoundedFact `json:"Bounded,omitempty"`
	// Term is what a leader knows of the time that has passed and of the leases of earlier leaders.
	Term *TermFact `json:",omitempty"`
	// Quarantined is the quarantine of a worker.
	Quarantined *QuarantineFact `json:"Quarantine,omitempty"`
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

// LeaseBoundedFact is the end of the lease of a worker that does not answer. It holds until a later
// LeaseGranted of the worker, or a later term with BoundsVoid. Without one of them, no leader extends
// the lease.
type LeaseBoundedFact struct {
	Worker modeler.WorkerID
	// Until is when the lease is over for certain, on the journal's clock.
	Until time.Duration
}

// TermFact is what the leader of an epoch knows. Of several, the last one counts.
//
// The journal's clock measures the time since the first epoch began, without a comparison of the clocks
// of hosts: each leader goes on from the highest time that it finds recorded or has seen pass under its
// predecessor, less an allowance for clocks of different speed. The clock of a later leader is therefore
// never ahead of that of an earlier one.
type TermFact struct {
	Epoch modeler.Epoch
	// Start is what the journal's clock showed when the term began.
	Start time.Duration
	// Clock is the time on the journal's clock when the fact was made.
	Clock time.Duration
	// InheritedUntil is when all leases that leaders of earlier epochs extended are over, on the journal's
	// clock. It is MaxClock if that is not known.
	InheritedUntil time.Duration
	// Ended is set if the leader of the epoch extends no lease after Clock.
	Ended bool `json:",omitempty"`
	// BoundsVoid is set if the leader did not rely on the bounds of leases that were recorded before its term. It
	// may have extended these leases without a new grant.
	BoundsVoid bool `json:",omitempty"`
	// Electorate has the processes that confirm the leader of the epoch while the store does not. The leader relies on no
	// others before a fact that names them is durable. It is nil if the last fact of the epoch that names an electorate still
	// holds, and in all facts of versions that relied on any host with a record.
	Electorate *modeler.Electorate `json:",omitempty"`
}

// QuarantineFact is the quarantine of a worker. It holds for one incarnation.
type QuarantineFact struct {
	Worker      modeler.WorkerID
	Incarnation int64
	// Until is when the quarantine is over, on the journal's clock, and Length its length.
	Until, Length time.Duration
}

// RunEndFact is the end of one run of a task.
type RunEndFact struct {
	// Task is the text form of a modeler.TaskID.
	Task    string
	Run     modeler.Run
	Outcome modeler.Outcome
	// Checkpoint is the latest checkpoint of the task, or empty.
	Checkpoint string `json:",omitempty"`
	// Worker is where a run failed. It is empty for other outcomes, and for facts of versions that did not
	// record it.
	Worker modeler.WorkerID `json:",omitempty"`
}

// JobEndFact is the end of a job. That of a cancelled job only says when it was cancelled: the job ends by its
// stored cancellation, with or without the fact.
type JobEndFact struct {
	Job modeler.JobID
	// State is the final state of the job.
	State modeler.State
	// Clock is the time on the journal's clock, see TermFact. It is zero in facts of versions that did not
	// record it.
	Clock time.Duration `json:",omitempty"`
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

// termPrefix begins the encoded fact of a term, and of no other kind.
const termPrefix = `{"Term":`

// ParseTerm decodes the fact of a term. It returns false for a record of anything else, which it does not
// decode, and for a damaged one.
func ParseTerm(rec journaler.Record) (*TermFact, bool) {
	if !bytes.HasPrefix(rec.Data, []byte(termPrefix)) {
		return nil, false
	}
	ft, err := ParseFact(rec)
	return ft.Term, err == nil
}

// Record returns the journal record of a fact.
func (ft Fact) Record() (journaler.Record, error) {
	data, err := json.Marshal(ft)
	return journaler.Record{Kind: journaler.KindTask, Data: data}, err
}

// Records returns the journal records of facts, in their order.
func Records(facts []Fact) ([]journaler.Record, error) {
	recs := make([]journaler.Record, 0, len(facts))
	for _, ft := range facts {
		rec, err := ft.Record()
		if err != nil {
			return nil, err
		}
		recs = append(recs, rec)
	}
	return recs, nil
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
	for _, set := range [...]bool{ft.RunEnd != nil, ft.JobEnd != nil, ft.LeaseGranted != nil, ft.LeaseReleased != "", ft.LeaseBounded != nil, ft.Term != nil, ft.Quarantined != nil, ft.Placed != nil, ft.Estimates != nil} {
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
		valid = valid && ft.JobEnd.Job != "" && ft.JobEnd.State.Final() && validClock(ft.JobEnd.Clock)
	case ft.LeaseGranted != nil:
		valid = valid && ft.LeaseGranted.ID != ""
	case ft.LeaseBounded != nil:
		valid = valid && ft.LeaseBounded.Worker != "" && validClock(ft.LeaseBounded.Until)
	case ft.Quarantined != nil:
		valid = valid && ft.Quarantined.Worker != "" && validClock(ft.Quarantined.Until) && validClock(ft.Quarantined.Length)
	case ft.Estimates != nil:
		valid = valid && validClock(ft.Estimates.Clock)
	case ft.Term != nil:
		valid = valid && ft.Term.Epoch > 0 && ft.Term.Epoch <= modeler.MaxEpoch && validClock(ft.Term.Start) && validClock(ft.Term.Clock) && validClock(ft.Term.InheritedUntil) &&
			(ft.Term.Electorate == nil || ft.Term.Electorate.Valid())
	}
	if !valid {
		return fmt.Errorf("%w: fact with %d fields, one of them invalid or none known", ErrDamaged, fields)
	}
	return nil
}

// MaxClock bounds times on the journal's clock.
const MaxClock = 100 * 365 * 24 * time.Hour

func validClock(clock time.Duration) bool { return clock >= 0 && clock <= MaxClock }

// validRun reports whether a task and a run are in range. The run is 0 for a task of a gang that is
// done by the end of another one and that this leader never saw run.
func validRun(task string, run modeler.Run) bool {
	_, err := modeler.ParseTaskID(task)
	return err == nil && run >= 0 && run <= modeler.MaxRun
}
