package keeper

import (
	"encoding/json"
	"fmt"

	"github.com/currantrouter/currantrouter/internal/job/modeler"
	"github.com/currantrouter/currantrouter/internal/state/journaler"
)

// Fact is a record of the leaders' journal. Facts stay true: repeating one changes nothing, and
// those of different tasks may be recorded in any order. Exactly one of its parts is set.
type Fact struct {
	End *EndFact `json:",omitempty"`
	// Final is how a job ended.
	Final *FinalFact `json:",omitempty"`
	// Granted is a worker that may hold a lease from now on, Released one that cannot hold one any more.
	Granted  *modeler.Worker  `json:",omitempty"`
	Released modeler.WorkerID `json:",omitempty"`
}

// EndFact is the end of one run.
type EndFact struct {
	Task       string
	Run        modeler.Run
	Outcome    modeler.Outcome
	Checkpoint string `json:",omitempty"`
}

// FinalFact is the end of a job.
type FinalFact struct {
	Job   modeler.JobID
	State modeler.State
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
