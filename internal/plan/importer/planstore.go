package importer

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"sync"

	"github.com/go-logr/logr"

	"github.com/currantrouter/currantrouter/internal/fleet/modeler"
	"github.com/currantrouter/currantrouter/internal/provider/storer"
	"github.com/currantrouter/currantrouter/internal/telemetry/logger"
	"github.com/currantrouter/currantrouter/internal/telemetry/meter"
)

// Errors of an import. Callers test for them with errors.Is, and for the errors of storer.
var (
	// ErrOlder means that the plan in force was exported later than the sheet.
	ErrOlder = errors.New("the plan in force was exported later")
	// ErrSameExport means that the plan in force was exported at the same time and differs, so
	// that neither is known to be newer.
	ErrSameExport = errors.New("another sheet with the same time of export is in force")
	// ErrPlanChanged means that another import has changed the plan of the day since the planner read it.
	ErrPlanChanged = errors.New("the plan of the day has changed in the meantime")
	// ErrNoPlan means that the day has no plan.
	ErrNoPlan = errors.New("the day has no plan")
	// ErrDocument means that a document under Plan/ is damaged.
	ErrDocument = errors.New("plan document is damaged")
)

// Progress knows which jobs have begun.
type Progress interface {
	// Begun returns the identities of the jobs of a day that have begun at any time.
	Begun(ctx context.Context, day string) (map[string]bool, error)
}

// Configurations returns the configuration in force, or nil when there is none.
type Configurations interface {
	Current() *modeler.Configuration
}

// AnyRevision is the Expected value of an import that replaces whichever plan is in force.
const AnyRevision int64 = -1

// Options of an import.
type Options struct {
	// DryRun checks and compares the sheet without storing it.
	DryRun bool
	// Expected is the revision of the plan that the planner has seen, 0 for none, or AnyRevision.
	Expected int64
}

// Result of an import.
type Result struct {
	Day string
	// Before and After are the revisions of the plan in the store, 0 for none. They are the same
	// when the sheet was already in force and in a dry run.
	Before, After int64
	// Applied is set when the sheet is in force, by this import or an earlier one.
	Applied bool
	Difference
	// ProgressUnknown is set when the leaders did not answer which jobs have begun, so that Begun is
	// empty. The leaders still do not apply the sheet to jobs that have begun.
	ProgressUnknown bool
	// Warnings state how ambiguous values were read, and which jobs stay in their data centre.
	Warnings Faults `json:",omitempty"`
}

// PlanStore imports sheets, and stores and reads the plans of days.
type PlanStore struct {
	store    Store
	progress Progress
	cfgs     Configurations
	lg       logr.Logger
	mt       *meter.Registry

	mu sync.Mutex
	// cached has the plans that were read last, at most maxCachedPlans. Guarded by mu.
	cached map[string]stored
}

// maxCachedPlans bounds the plans in memory. Leaders follow those of three days.
const maxCachedPlans = 3

// NewPlanStore returns a PlanStore that keeps its plans in a store.
func NewPlanStore(st Store, progress Progress, cfgs Configurations, lg logr.Logger, mt *meter.Registry) *PlanStore {
	return &PlanStore{store: st, progress: progress, cfgs: cfgs, lg: lg, mt: mt, cached: map[string]stored{}}
}

// Outline returns the plan in force for a day without its jobs, which takes one read of the store.
// Errors are those of Plan.
func (pst *PlanStore) Outline(ctx context.Context, day string) (*Plan, error) {
	sd, err := loadHead(ctx, pst.store, day)
	if err != nil {
		return nil, err
	}
	if sd.head == nil {
		return nil, fmt.Errorf("%w: %s", ErrNoPlan, day)
	}
	hd := sd.head
	return &Plan{Day: hd.Day, TimeZone: hd.TimeZone, Exported: hd.Exported, Services: hd.Services, Pauses: hd.Pauses}, nil
}

// load reads the plan in force for a day. It takes the plan from the cache if its revision is the
// same.
func (pst *PlanStore) load(ctx context.Context, day string) (stored, error) {
	pst.mu.Lock()
	last := pst.cached[day]
	pst.mu.Unlock()
	sd, err := load(ctx, pst.store, day, last)
	if err != nil || sd.plan == nil {
		return sd, err
	}
	pst.mu.Lock()
	defer pst.mu.Unlock()
	pst.cached[day] = sd
	if len(pst.cached) > maxCachedPlans {
		// The order of the keys is the order of the days.
		delete(pst.cached, slices.Min(slices.Collect(maps.Keys(pst.cached))))
	}
	return sd, nil
}

// Plan returns the plan in force for a day and its revision in the store. It returns ErrNoPlan,
// ErrDocument and the errors of the store.
func (pst *PlanStore) Plan(ctx context.Context, day string) (*Plan, int64, error) {
	sd, err := pst.load(ctx, day)
	if err != nil {
		return nil, 0, err
	}
	if sd.plan == nil {
		return nil, 0, fmt.Errorf("%w: %s", ErrNoPlan, day)
	}
	return sd.plan, sd.revision, nil
}

// Import checks a sheet and makes it the plan of its day. Importing the plan in force again
// changes nothing. It returns Faults, ErrOlder, ErrSameExport, ErrPlanChanged,
// ErrNoDataCentre and the errors of the store; storer.ErrResultUnknown means that the sheet may be in force.
func (pst *PlanStore) Import(ctx context.Context, sheet []byte, op Options) (Result, error) {
	rs, err := pst.importSheet(ctx, sheet, op)
	switch {
	case err != nil:
		pst.mt.Add(meter.PlansRefused, 1)
		logger.Log(pst.lg, logger.PlanRefused, "Day", rs.Day, "Error", err.Error())
	case rs.Before != rs.After:
		pst.mt.Add(meter.PlansImported, 1)
		logger.Log(pst.lg, logger.PlanImported, "Day", rs.Day, "Revision", rs.After)
	}
	return rs, err
}

func (pst *PlanStore) importSheet(ctx context.Context, sheet []byte, op Options) (Result, error) {
	pl, fts := Parse(sheet, pst.dataCentres())
	if pl == nil {
		return Result{}, fts
	}
	rs := Result{Day: pl.Day, Warnings: fts}
	sd, err := pst.load(ctx, pl.Day)
	if err != nil {
		return rs, err
	}
	rs.Before, rs.After = sd.revision, sd.revision
	if err := checkSupersedes(sd, pl, op); err != nil {
		return rs, err
	}
	pst.compare(ctx, &rs, sd.plan, pl)
	rs.Applied = sd.plan != nil && sd.plan.Equal(pl)
	if rs.Applied {
		return rs, nil
	}
	moved, err := pl.assignDataCentres(sd.plan, pst.dataCentres())
	rs.Warnings = append(rs.Warnings, moved...)
	if err != nil || op.DryRun {
		return rs, err
	}
	rev, err := save(ctx, pst.store, pl, sd)
	if errors.Is(err, storer.ErrConflict) {
		rev, err = pst.resolveConflict(ctx, pl)
	}
	if err != nil {
		return rs, err
	}
	rs.After, rs.Applied = rev, true
	return rs, nil
}

// checkSupersedes returns an error when a sheet may not replace the plan in force. It accepts the sheet
// that is in force at any expected revision, so that an import can be repeated after a lost answer.
func checkSupersedes(sd stored, pl *Plan, op Options) error {
	switch {
	case sd.plan != nil && sd.plan.Equal(pl):
		return nil
	case op.Expected != AnyRevision && op.Expected != sd.revision:
		return fmt.Errorf("%w: it has revision %d, expected %d", ErrPlanChanged, sd.revision, op.Expected)
	case sd.plan == nil:
		return nil
	case pl.Exported.Before(sd.plan.Exported):
		return fmt.Errorf("%w: %s after %s", ErrOlder, sd.plan.Exported, pl.Exported)
	case pl.Exported.Equal(sd.plan.Exported):
		return fmt.Errorf("%w: %s", ErrSameExport, pl.Exported)
	}
	return nil
}

// resolveConflict returns the revision that another import wrote if it imported the same sheet, and
// otherwise ErrPlanChanged.
func (pst *PlanStore) resolveConflict(ctx context.Context, pl *Plan) (int64, error) {
	sd, err := pst.load(ctx, pl.Day)
	if err != nil {
		return 0, err
	}
	if sd.plan != nil && sd.plan.Equal(pl) {
		return sd.revision, nil
	}
	return 0, fmt.Errorf("%w: it has revision %d", ErrPlanChanged, sd.revision)
}

// compare sets the difference between the plan in force and the new one.
func (pst *PlanStore) compare(ctx context.Context, rs *Result, inForce, pl *Plan) {
	begun, err := pst.progress.Begun(ctx, pl.Day)
	rs.ProgressUnknown = err != nil
	rs.Difference = Compare(inForce, pl, func(jobID string) bool { return begun[jobID] })
}

func (pst *PlanStore) dataCentres() []modeler.DataCentreName {
	if cfg := pst.cfgs.Current(); cfg != nil {
		return cfg.DataCentres
	}
	return nil
}
