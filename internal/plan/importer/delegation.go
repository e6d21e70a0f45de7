package importer

import (
	"errors"
	"fmt"
	"maps"

	"github.com/currantrouter/currantrouter/internal/fleet/modeler"
)

// ErrNoDataCentre means that the configuration names no data centre that jobs can be assigned to.
var ErrNoDataCentre = errors.New("no data centre is configured")

// assignDataCentres assigns each job to one data centre, whose leader alone schedules it. A job name
// keeps its data centre for the whole day, also when a later sheet drops it, moves it or adds it again,
// or when the configuration changes: two leaders that read different sheets could otherwise both begin
// the job. It returns a warning for each job that the sheet wants in another data centre.
func (pl *Plan) assignDataCentres(inForce *Plan, dcs []modeler.DataCentreName) (Faults, error) {
	pl.Delegations = map[string]modeler.DataCentreName{}
	if inForce != nil {
		maps.Copy(pl.Delegations, inForce.Delegations)
	}
	var warnings Faults
	for _, jb := range pl.Jobs {
		assigned, known := pl.Delegations[jb.Name]
		if !known {
			assigned = jb.DataCentre
		}
		if assigned == "" {
			assigned = modeler.HomeDataCentre(pl.JobID(jb.Name), dcs)
		}
		if assigned == "" {
			return nil, fmt.Errorf("%w: job %s", ErrNoDataCentre, jb.Name)
		}
		pl.Delegations[jb.Name] = assigned
		if jb.DataCentre != "" && jb.DataCentre != assigned {
			warnings = append(warnings, movedWarning(jb, assigned))
		}
	}
	return warnings, nil
}

func movedWarning(jb Job, assigned modeler.DataCentreName) Fault {
	return Fault{
		Number:   CheckMoved.Number,
		Title:    CheckMoved.Title,
		Severity: CheckMoved.Severity,
		Column:   ColumnDataCentre,
		Value:    string(jb.DataCentre),
		Allowed:  fmt.Sprintf("job %s stays in %s", jb.Name, assigned),
	}
}

// JobsOf returns the jobs that are assigned to a data centre.
func (pl *Plan) JobsOf(dc modeler.DataCentreName) []Job {
	var jobs []Job
	for _, jb := range pl.Jobs {
		if pl.Delegations[jb.Name] == dc {
			jobs = append(jobs, jb)
		}
	}
	return jobs
}
