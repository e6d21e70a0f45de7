// Package importer imports the sheet that planners export every morning. It checks the whole sheet and
// stores it as the plan of the day.
package importer

import (
	"slices"
	"time"

	"github.com/currantrouter/currantrouter/internal/fleet/modeler"
	"github.com/currantrouter/currantrouter/internal/provider/supervisor"
)

// Plan is the checked content of one sheet. It is immutable.
type Plan struct {
	// Day is the local day in the form 2006-01-02.
	Day string
	// TimeZone is a name of the IANA time zone database.
	TimeZone string
	// Exported is when the planners' tool wrote the sheet. A sheet replaces only plans that were
	// exported earlier.
	Exported time.Time
	// Services, Jobs and Pauses are in the order of their names, so that a sheet whose rows were
	// only sorted differently yields the same plan.
	Services []Service
	Jobs     []Job
	Pauses   []Pause
	// Delegations maps the name of every job that any sheet of the day has had to the data centre
	// whose leader schedules it. An entry never changes. It is nil in a plan that is not stored.
	Delegations map[string]modeler.DataCentreName `json:",omitempty"`
}

// Service is a service that must be available on the day.
type Service struct {
	Name modeler.ServiceName
	Team string
	// From and Until bound the time in which the service must be available. From is before Until.
	From, Until time.Time
}

// Job is batch work of the day.
type Job struct {
	// Name is unique within the day.
	Name string
	Team string
	// Priority is from 0 to MaxPriority. Jobs of a higher priority go first.
	Priority int
	Urgent   bool
	// Tasks is the number of tasks, from 1 to MaxTasks.
	Tasks int
	// Size is the declared size of one task. Millicores and MemoryBytes are positive.
	Size supervisor.Resources
	// RunTime is the declared run time of one task. It is positive.
	RunTime time.Duration
	// NotBefore is the earliest start. It is the start of the day when the sheet has none.
	NotBefore time.Time
	// Deadline is zero when the sheet has none, else after NotBefore.
	Deadline time.Time
	// DataCentre is empty when the sheet leaves the choice to the scheduler.
	DataCentre modeler.DataCentreName
	// Repeatable tasks may run again after an attempt without a known result.
	Repeatable bool
	// Checkpoint states that the tasks can resume from checkpoints.
	Checkpoint bool
}

// Pause is a planned pause of a service.
type Pause struct {
	Service modeler.ServiceName
	// From is before Until.
	From, Until time.Time
}

// JobID returns the identity of a job of this plan. It contains the day, because planners use the
// same names every day.
func (pl *Plan) JobID(name string) string { return pl.Day + "/" + name }

// Location returns the time zone of the plan.
func (pl *Plan) Location() (*time.Location, error) { return time.LoadLocation(pl.TimeZone) }

// Equal reports whether both plans come from the same sheet, the time of export included.
func (pl *Plan) Equal(other *Plan) bool {
	return pl.Day == other.Day && pl.TimeZone == other.TimeZone && pl.Exported.Equal(other.Exported) &&
		slices.EqualFunc(pl.Services, other.Services, Service.equal) &&
		slices.EqualFunc(pl.Jobs, other.Jobs, Job.equal) &&
		slices.EqualFunc(pl.Pauses, other.Pauses, Pause.equal)
}

func (svc Service) equal(other Service) bool { return len(svc.changes(other)) == 0 }

func (jb Job) equal(other Job) bool { return len(jb.changes(other)) == 0 }

func (ps Pause) equal(other Pause) bool { return len(ps.changes(other)) == 0 }
