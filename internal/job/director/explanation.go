package director

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"math"
	"time"

	"github.com/go-logr/logr"

	fleet "github.com/currantrouter/currantrouter/internal/fleet/modeler"
	"github.com/currantrouter/currantrouter/internal/job/modeler"
	"github.com/currantrouter/currantrouter/internal/job/placer"
	"github.com/currantrouter/currantrouter/internal/job/ranker"
	"github.com/currantrouter/currantrouter/internal/job/rejecter"
	"github.com/currantrouter/currantrouter/internal/telemetry/meter"
)

const (
	// maxExplainedSteps bounds the steps of a job that is explained, as each may look at all workers.
	maxExplainedSteps = 64
	// explainedJob is the ID of a job that is explained. It is never stored.
	explainedJob modeler.JobID = "explained"
)

// ErrNotLoaded means that the director has not loaded the stored jobs yet.
var ErrNotLoaded = errors.New("the leader has not loaded the stored jobs yet")

// Outcome is what would become of a job that is submitted now.
type Outcome string

// The outcomes.
const (
	// WouldBeAccepted: each step that may start at once has a worker.
	WouldBeAccepted Outcome = "Accepted"
	// WouldBeDelayed: the job would be accepted, and a first step would wait.
	WouldBeDelayed Outcome = "Delayed"
	// WouldBeRefused: an entry host would refuse the job as useless.
	WouldBeRefused Outcome = "Refused"
)

// JobExplanation is where a job would be placed if it were submitted now, and why.
type JobExplanation struct {
	Queue    modeler.QueueName
	Pool     modeler.PoolName
	Priority int
	Outcome  Outcome
	// Reason is why no task may start now, empty if tasks may.
	Reason string `json:",omitempty"`
	// Refusal holds the inputs of the decision to refuse, nil if useless jobs are not refused.
	Refusal *RefusalExplanation `json:",omitempty"`
	// Policy is the shortage policy.
	Policy ShortagePolicy
	// PermitsNeeded is set if the queue's tasks need permits of the policy service, which is not asked.
	PermitsNeeded bool `json:",omitempty"`
	// OpenWorkers is the number of workers of all pools that accept tasks.
	OpenWorkers int
	// EvacuatedDataCentres lists those in which the pool has workers.
	EvacuatedDataCentres []fleet.DataCentreName `json:",omitempty"`
	Steps                []StepExplanation
}

// RefusalExplanation is the decision of package rejecter. Expected and Limit are durations, as text.
type RefusalExplanation struct {
	Reason          rejecter.Reason
	Ended, Missed   int
	Expected, Limit string
}

// StepExplanation is where the first task of a step would be placed.
type StepExplanation struct {
	Step int
	// Position is the step's place among the waiting ones, from 1, and Ahead the number of steps of other jobs
	// before it. Both are zero for a step that waits for others of its job.
	Position, Ahead int
	// Class is the deadline class.
	Class string `json:",omitempty"`
	// Short is set if the pool is short of capacity under ValuePolicy, which orders by Value then.
	Short bool    `json:",omitempty"`
	Value float64 `json:",omitempty"`
	// Workers counts the open workers by why they are left out.
	Workers placer.Reasons
	// Worker is the one that would be chosen, empty for none. Gang is set if all tasks have to fit together.
	Worker modeler.WorkerID `json:",omitempty"`
	Gang   bool             `json:",omitempty"`
	// Reason is why there is no worker.
	Reason string `json:",omitempty"`
	// StartsIn is the expected time to the start, as text, empty if it is not known.
	StartsIn string `json:",omitempty"`
}

// ExplainJob returns what would become of a job of a queue if it were submitted now. It changes nothing and does not
// place the steps ahead of the job's, so that these may take the worker first. Only the steps and the repetition of the
// job count. Errors: modeler.ErrInvalidJob, ErrNotLoaded.
func (dr *Director) ExplainJob(given *modeler.Job, queue *modeler.Queue) (*JobExplanation, error) {
	if len(given.Steps) > maxExplainedSteps {
		return nil, fmt.Errorf("%w: %d steps, %d are explained", modeler.ErrInvalidJob, len(given.Steps), maxExplainedSteps)
	}
	now := time.Now()
	jb := &job{Job: *given, confirmed: true, addedAt: now}
	jb.ID, jb.Queue, jb.Pool, jb.Priority, jb.Submitted = explainedJob, queue.Name, queue.Pool, queue.Priority, now
	jb.Attempts, jb.MaxSlowdown, jb.Slack, jb.Policy = queue.Attempts, queue.MaxSlowdown, queue.Slack, queue.Policy
	if err := jb.Check(); err != nil {
		return nil, err
	}
	select {
	case <-dr.loaded:
	default:
		return nil, ErrNotLoaded
	}
	dr.mu.Lock()
	defer dr.mu.Unlock()
	ex := &JobExplanation{
		Queue: queue.Name, Pool: queue.Pool, Priority: queue.Priority, Outcome: WouldBeAccepted, Policy: cmp.Or(dr.op.Limits.ShortagePolicy, DeadlinePolicy),
		PermitsNeeded: queue.Policy != nil && dr.op.Policy != nil, Reason: string(dr.roundObstacle(dr.startWindow.Available(dr.startsInFlight), now)),
	}
	dr.listEvacuated(ex)
	dr.explanationCopy(now).explainSteps(ex, jb, now)
	dr.explainRefusal(ex, &jb.Job, now)
	return ex, nil
}

// explanationCopy returns a director with the same workers and waiting steps on which a round may be prepared. What a
// round changes is copied, other than the contention of best-effort images, which stays that of the last round.
func (dr *Director) explanationCopy(now time.Time) *Director {
	cp := &Director{
		op: dr.op, explains: true, termStart: dr.termStart, clockStart: dr.clockStart, inheritedUntil: dr.inheritedUntil, earlierUntil: dr.earlierUntil,
		workers: dr.workers, workerOrder: dr.workerOrder, waitingSteps: maps.Clone(dr.waitingSteps), allAccounted: dr.allAccounted, earlierLeasesOver: dr.earlierLeasesOver, model: dr.model,
		seenRooms: map[modeler.PoolName][]seenRoom{}, shortDemand: dr.shortDemand, shortDemandAt: now, shortages: dr.shortages,
		promotions: map[shortageKey]*promotion{}, histories: maps.Clone(dr.histories), shortSteps: map[shortageKey]*shortSteps{},
		nextExamined: dr.nextExamined, contention: dr.contention, rounds: dr.rounds,
	}
	cp.op.Log, cp.op.Meter, cp.op.Policy = logr.Discard(), meter.New(nil), nil
	cp.contention.computedAt = now
	for key, pm := range dr.promotions {
		copied := *pm
		cp.promotions[key] = &copied
	}
	return cp
}

// explainSteps explains the steps of the first occurrence of a job. The director is an explanationCopy.
func (dr *Director) explainSteps(ex *JobExplanation, jb *job, now time.Time) {
	oc := newOccurrence(jb, 0)
	for _, sp := range oc.steps {
		if sp.unfinishedPredecessors == 0 {
			dr.enqueueStep(sp)
		}
	}
	rd := dr.newRound(now)
	ex.OpenWorkers = len(rd.workers)
	rd.excludeOtherPools(dr.pool(jb))
	due := max(0, oc.due.Sub(now))
	// ends holds the expected ends of the steps, -1 for those that are not known.
	ends := make([]time.Duration, len(oc.steps))
	for ix, sp := range oc.steps {
		se := rd.explainStep(sp)
		starts, known := due, se.Worker != "" && ex.Reason == ""
		for _, pred := range sp.spec.After {
			starts, known = max(starts, ends[pred]), known && ends[pred] >= 0
		}
		ends[ix] = -1
		if known {
			se.StartsIn = starts.String()
		}
		if known && !sp.spec.LongRunning {
			ends[ix] = starts + sp.spec.Estimate
		}
		if len(sp.spec.After) == 0 && (!known || starts > 0) {
			ex.Outcome = WouldBeDelayed
		}
		ex.Steps = append(ex.Steps, se)
	}
	rd.rankExplained(ex, oc)
}

// explainStep chooses a worker for the first task of a step.
func (rd *round) explainStep(sp *step) StepExplanation {
	se := StepExplanation{Step: sp.index, Gang: sp.spec.Gang}
	tk := sp.tasks[0]
	dm := rd.dr.demand(tk)
	ix, _ := rd.chooseWorker(tk, &dm)
	if ix >= 0 {
		se.Worker = rd.workers[ix].info.ID
	} else if se.Reason = string(sp.turn.reason); len(rd.workers) == 0 {
		se.Reason = string(rd.endReason())
	}
	for at := range rd.cands {
		rd.cands[at].SameStepTasks = 0
	}
	rd.applyForecast(&dm)
	se.Workers = placer.CountReasons(&dm, rd.cands)
	return se
}

// rankExplained sets the places of the steps of an occurrence among the waiting ones.
func (rd *round) rankExplained(ex *JobExplanation, oc *occurrence) {
	ahead := 0
	for ix, rs := range rd.steps {
		if rs.step.occ != oc {
			ahead++
			continue
		}
		se := &ex.Steps[rs.step.index]
		se.Position, se.Ahead, se.Class, se.Short = ix+1, ahead, className(rs.rank.Class), rs.short
		if !math.IsInf(rs.density, 0) && !math.IsNaN(rs.density) {
			se.Value = rs.density
		}
	}
}

func className(class ranker.DeadlineClass) string {
	switch class {
	case ranker.OnTime:
		return "OnTime"
	case ranker.LongRunning:
		return "LongRunning"
	case ranker.Late:
		return "Late"
	}
	return "Overdue"
}

// listEvacuated lists the evacuated data centres in which the pool has workers.
func (dr *Director) listEvacuated(ex *JobExplanation) {
	listed := map[fleet.DataCentreName]bool{}
	for _, wk := range dr.workers {
		if dc := wk.info.DataCentre; wk.info.Pool == ex.Pool && len(listed) < maxListedDataCentres && dr.evacuated(wk) && !listed[dc] {
			listed[dc] = true
			ex.EvacuatedDataCentres = append(ex.EvacuatedDataCentres, dc)
		}
	}
}

// explainRefusal decides by the last load hint whether an entry host would refuse a job. It asks for no new hint.
func (dr *Director) explainRefusal(ex *JobExplanation, jb *modeler.Job, now time.Time) {
	if !dr.op.LoadHints {
		return
	}
	dc := rejecter.Decision{Reason: rejecter.NoHint}
	if last := dr.loadHint.last.Load(); last != nil && dr.op.MaySendRequests() {
		ht := last.Hint
		ht.Age = now.Sub(last.at)
		dc = ht.Decide(jb)
	}
	ex.Refusal = &RefusalExplanation{Reason: dc.Reason, Ended: dc.Load.Ended, Missed: dc.Load.Missed, Expected: dc.Expected.String(), Limit: dc.Limit.String()}
	if dc.Reason == rejecter.Useless {
		ex.Outcome = WouldBeRefused
	}
}
