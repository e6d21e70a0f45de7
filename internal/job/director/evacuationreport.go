package director

import (
	"errors"
	"slices"
	"strings"
	"time"

	fleet "github.com/currantrouter/currantrouter/internal/fleet/modeler"
)

// ErrEvacuationsNotRead means that the leader does not read the evacuations.
var ErrEvacuationsNotRead = errors.New("evacuations are not read")

// Hindrance is what keeps starts of all data centres from being sent, or a new request from being in force.
type Hindrance string

// The hindrances.
const (
	// HinderedByListing: the leader has not read the requests in its term.
	HinderedByListing Hindrance = "NotListed"
	// HinderedByView: the view is outdated, so that newer requests may exist.
	HinderedByView Hindrance = "ViewOutdated"
	// HinderedBySuspension: the leader may send no requests to workers, as it may have been replaced.
	HinderedBySuspension Hindrance = "RequestsSuspended"
)

// EvacuationReport is the state of the evacuations as the leader sees it.
type EvacuationReport struct {
	// ViewAge is the age of the view as text, empty before the first listing.
	ViewAge    string `json:",omitempty"`
	Hindrances []Hindrance
	// Evacuations are sorted by data centre.
	Evacuations []EvacuationProgress
}

// EvacuationProgress is the state of the evacuation of a data centre.
type EvacuationProgress struct {
	DataCentre fleet.DataCentreName
	// Since is when this leader began to follow the request, which may have been stored long before.
	Since time.Time
	// Workers is the number of registered workers there.
	Workers int
	// Runs is the number of runs there that end by themselves, also at workers whose registration has ended.
	Runs, LongRunningRuns int
	// Staying is the number of LongRunningRuns that are not moved, as they are of gangs or of steps of which no task may
	// be unavailable. ToMove is the number of those that are still to be moved: AtLimit of them are of steps of which no
	// further task may be unavailable now, or of which tasks wait for a worker, and NoRoom of them found no place.
	Staying, ToMove, AtLimit, NoRoom int
	// Moving is the number of tasks that have left or are being stopped there, and are not at work again elsewhere.
	Moving int
	// StartsReleased is the number of starts that were queued for workers there since Since and were not sent.
	StartsReleased int
}

// evacuationState is what the director keeps of the evacuation of a data centre for operators.
type evacuationState struct {
	// since is when this director heard of the request.
	since    time.Time
	released int
}

// ReportEvacuations returns the state of the evacuations. Errors: ErrEvacuationsNotRead.
func (dr *Director) ReportEvacuations() (*EvacuationReport, error) {
	ev := dr.op.Evacuator
	if ev == nil {
		return nil, ErrEvacuationsNotRead
	}
	now := time.Now()
	er := &EvacuationReport{Hindrances: []Hindrance{}, Evacuations: []EvacuationProgress{}}
	listed := ev.Listed()
	if listed {
		er.ViewAge = ev.Status(now).Age.String()
	}
	switch {
	case !listed:
		er.Hindrances = append(er.Hindrances, HinderedByListing)
	case !ev.Current(now):
		er.Hindrances = append(er.Hindrances, HinderedByView)
	}
	if !dr.op.MaySendRequests() {
		er.Hindrances = append(er.Hindrances, HinderedBySuspension)
	}
	dr.mu.Lock()
	defer dr.mu.Unlock()
	er.Evacuations = append(er.Evacuations, dr.evacuationProgress()...)
	return er, nil
}

// evacuationProgress returns the state of each evacuation. The caller holds mu.
func (dr *Director) evacuationProgress() []EvacuationProgress {
	byName := make(map[fleet.DataCentreName]*EvacuationProgress, len(dr.evacuations))
	for dc, es := range dr.evacuations {
		byName[dc] = &EvacuationProgress{DataCentre: dc, Since: es.since, StartsReleased: es.released}
	}
	if len(byName) == 0 {
		return nil
	}
	for _, wk := range dr.workers {
		ep := byName[wk.info.DataCentre]
		if ep == nil {
			continue
		}
		if wk.registered {
			ep.Workers++
		}
		for _, at := range wk.attempts {
			if at.task.step.spec.LongRunning {
				ep.LongRunningRuns++
			} else {
				ep.Runs++
			}
		}
	}
	dr.countRelocation(byName)
	list := make([]EvacuationProgress, 0, len(byName))
	for _, ep := range byName {
		list = append(list, *ep)
	}
	slices.SortFunc(list, func(ep, other EvacuationProgress) int {
		return strings.Compare(string(ep.DataCentre), string(other.DataCentre))
	})
	return list
}
