// Package director schedules tasks on all workers during one term of leadership: it decides which
// task runs where, which run is stopped, and which reported ends of runs count. Its state lasts for
// one term. The next leader rebuilds it from the stored jobs, the journal of facts, and the reports
// of the workers.
package director

import (
	"context"
	"errors"
	"fmt"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	fleet "github.com/currantrouter/currantrouter/internal/fleet/modeler"
	"github.com/currantrouter/currantrouter/internal/job/estimator"
	"github.com/currantrouter/currantrouter/internal/job/evacuator"
	"github.com/currantrouter/currantrouter/internal/job/keeper"
	"github.com/currantrouter/currantrouter/internal/job/modeler"
	"github.com/currantrouter/currantrouter/internal/job/reserver"
	"github.com/currantrouter/currantrouter/internal/job/throttler"
	"github.com/currantrouter/currantrouter/internal/process/pauser"
	"github.com/currantrouter/currantrouter/internal/state/journaler"
	"github.com/currantrouter/currantrouter/internal/telemetry/logger"
	"github.com/currantrouter/currantrouter/internal/telemetry/meter"
	"github.com/currantrouter/currantrouter/internal/telemetry/reporter"
)

// WorkerClient sends requests to workers. Errors are those of package modeler. The duration that
// Start returns is the worker's clock.
type WorkerClient interface {
	Start(ctx context.Context, wk *modeler.Worker, req *modeler.StartRequest) (time.Duration, error)
	Stop(ctx context.Context, wk *modeler.Worker, task modeler.TaskID, run modeler.Run, fence modeler.Fence) error
	Renew(ctx context.Context, wk *modeler.Worker, req *modeler.RenewRequest) (modeler.Report, error)
	Pace(ctx context.Context, wk *modeler.Worker, task modeler.TaskID, run modeler.Run, percent int, fence modeler.Fence) error
}

// Journal is the journal of facts, see package journaler.
type Journal interface {
	// Append returns once the records are durable. It returns journaler.ErrDeposed if a later epoch
	// has begun.
	Append(ctx context.Context, recs ...journaler.Record) error
	// Check returns nil if no later epoch has begun, and journaler.ErrDeposed if one has. Other
	// errors leave this open.
	Check(ctx context.Context) error
	// LastConfirmed returns the start time of the last Append or Check that succeeded.
	LastConfirmed() time.Time
	// Position returns the position of the last durable records.
	Position() int64
	// Snapshot replaces the records up to a position by others.
	Snapshot(ctx context.Context, recs []journaler.Record, upTo int64) error
}

// JobStore stores jobs and their cancellations, see package keeper.
type JobStore interface {
	Load(ctx context.Context, id modeler.JobID) (*modeler.Job, error)
	Cancelled(ctx context.Context, id modeler.JobID) (bool, error)
	Delete(ctx context.Context, id modeler.JobID) error
}

// Electorate holds the processes that confirm this host as leader while the store does not. All methods return at once.
type Electorate interface {
	// Propose returns the processes that could confirm this host now.
	Propose() modeler.Electorate
	// Restrict ends the reliance on processes outside of an electorate that is about to be recorded.
	Restrict(electorate modeler.Electorate)
	// Rely begins the reliance on all processes of an electorate whose record is durable.
	Rely(electorate modeler.Electorate)
}

// Limits are times and factors that are agreed with the platform.
type Limits struct {
	// Lease is how long a worker may run tasks without a renewal, on its own clock.
	Lease time.Duration
	// StopGrace is the longest time from a stop request to the end of the run.
	StopGrace time.Duration
	// Retention is how long a job's state can be queried after its end.
	Retention time.Duration
	// LongestLease is the longest lease that a worker accepts. It shortens longer ones.
	LongestLease time.Duration
	// RestoreTime is the time that a resumed task takes to load its checkpoint.
	RestoreTime time.Duration
	// OverTargetGrace is how long the tail latency of a latency-critical task may exceed its target
	// while best-effort work on the same worker goes on.
	OverTargetGrace time.Duration
	// RemoteDataFactor is the ratio of a task's run time in another rack to that in the rack of its
	// data.
	RemoteDataFactor float64
	// ShortagePolicy is how tasks are ordered and placed while capacity is short. The zero value is
	// DeadlinePolicy.
	ShortagePolicy ShortagePolicy
}

// Options holds the dependencies and parameters of a Director.
type Options struct {
	Epoch        modeler.Epoch
	WorkerClient WorkerClient
	Journal      Journal
	JobStore     JobStore
	// Policy is nil if there is no policy service.
	Policy Policy
	// Configuration returns the configuration in force, or nil if there is none.
	Configuration func() *modeler.Configuration
	// MaySendRequests reports whether this host may still send requests to workers: its leadership was
	// confirmed so recently that a later leader allows for them.
	MaySendRequests func() bool
	// MayExtendLeases reports the same of requests that extend a lease. If it is nil, MaySendRequests
	// applies to them as well.
	MayExtendLeases func() bool
	// InheritedLease is how long after the start of the term a worker that does not answer may still
	// run tasks under a lease from an earlier leader, unless the journal, PredecessorStopped or
	// EarlierLeadersStopAt shows that the lease is over sooner.
	InheritedLease time.Duration
	// EarlierLeadersStopAt returns when no earlier leader extends leases any more, or false while that is not
	// known. It may be nil.
	EarlierLeadersStopAt func() (time.Time, bool)
	// LeadersBeforePredecessorStopAt returns the same of the leaders before that of the epoch before. It may be nil.
	LeadersBeforePredecessorStopAt func() (time.Time, bool)
	// LeaderStopsAt returns when the leader of an earlier epoch, whose leader relied on no other hosts than those of the
	// electorate, extends leases no more, or false while that is not known. It may be nil.
	LeaderStopsAt func(epoch modeler.Epoch, electorate modeler.Electorate) (time.Time, bool)
	// Electorate is nil if no host confirms this one as leader in place of the store.
	Electorate Electorate
	// PredecessorStopped returns a time from which the leader of the epoch before extends no leases, or false while
	// none is known. It may be before the start of the term. The function may be nil.
	PredecessorStopped func() (time.Time, bool)
	// PredecessorSeenFor is how long before the term this host first knew of the leader of the epoch before,
	// zero if it did not.
	PredecessorSeenFor time.Duration
	// FactsMissing is set if records of the journal could not be read.
	FactsMissing bool
	// SnapshotPosition is the position of the journal's last snapshot, zero if there is none, and
	// FactsSinceSnapshot the number of facts after it.
	SnapshotPosition   int64
	FactsSinceSnapshot int
	// Evacuator holds the evacuated data centres, whose workers get no starts. It is nil if evacuations are not read.
	Evacuator *evacuator.Evacuator
	// LoadHints is set if entry hosts use load hints. Otherwise the load of queues is not observed.
	LoadHints bool
	Limits    Limits
	Log       logr.Logger
	Meter     *meter.Registry
}

const (
	// tickInterval is the time between two checks of timeouts and due times.
	tickInterval = 100 * time.Millisecond
	// minDispatchPause bounds the rate of placement rounds, each of which sorts all waiting steps.
	minDispatchPause = 4 * time.Millisecond
	// workersPerDispatchPause is the number of workers for each minDispatchPause between rounds, as a round looks
	// at every worker, and maxDispatchPause bounds the pause that it leads to.
	workersPerDispatchPause = 300
	maxDispatchPause        = 25 * time.Millisecond
	// dispatchPauseFactor is the ratio of the pause after a placement round to the round's
	// duration.
	dispatchPauseFactor = 3
	// journalRetryPause is the pause after a failed append to the journal or check of it.
	journalRetryPause = 150 * time.Millisecond
	// journalCheckTimeout bounds one check of the journal for a later epoch.
	journalCheckTimeout = 600 * time.Millisecond
	// cancellationReadTimeout bounds one read of a job's cancellation.
	cancellationReadTimeout = 600 * time.Millisecond
	// cancellationReadPause is the pause after a failed read of a job's cancellation.
	cancellationReadPause = 150 * time.Millisecond
	// cleanupInterval is the time between two deletions of jobs whose retention is over, and between two
	// checks whether a snapshot is due.
	cleanupInterval = 5 * time.Second
	// retentionMargin is added to the retention so that a late retry of a submission still finds
	// its job.
	retentionMargin = 60 * time.Second
	// estimatesSaveInterval is the time between two records of new estimates. The next leader
	// needs as long to observe again what the last record does not hold.
	estimatesSaveInterval = time.Second
	// summaryInterval is the time between two load summaries in the log.
	summaryInterval = time.Second
	// minSnapshotPositions is the number of journal positions after a snapshot that triggers the
	// next one. The next leader has to read all records since the last snapshot before it can lead:
	// about 100 kB.
	minSnapshotPositions = 600
	// minSnapshotFacts is the number of facts recorded after a snapshot that triggers the next one.
	minSnapshotFacts = 4000
)

// ErrTermOver means that the term ended because another host leads.
var ErrTermOver = errors.New("term of leadership is over")

// Director schedules tasks during one term of leadership. It is safe for concurrent use.
type Director struct {
	op        Options
	termStart time.Time
	// ctx lasts for the term. cancel ends the term with a cause.
	ctx    context.Context
	cancel context.CancelCauseFunc
	// goroutines counts the goroutines of the term. goroutinesMu is held while one is started, so
	// that none starts once the term is over and Wait waits for the others.
	goroutines   sync.WaitGroup
	goroutinesMu sync.Mutex
	// loaded is closed when all stored jobs have been added.
	loaded chan struct{}
	// dispatchWake wakes the loop that places waiting tasks.
	dispatchWake chan struct{}
	// confirmWake wakes the loop that confirms new jobs.
	confirmWake chan struct{}

	// policySlot holds an element during a request to the policy service.
	policySlot chan struct{}

	mu sync.Mutex
	// unconfirmed holds the jobs that were added after the last confirmation of leadership.
	unconfirmed []*job
	// jobs holds every stored job whose retention is not over.
	jobs map[modeler.JobID]*job
	// pendingCancellations holds the cancellations of jobs that have not been added.
	pendingCancellations map[modeler.JobID]cancellation
	// cancellationDroppedAt is when a cancellation was last not kept because too many were pending, zero
	// if none was. Jobs that are added within the retention after it may be cancelled.
	cancellationDroppedAt time.Time
	// unrecordedCancellations holds the facts of cancellations that this term was the first to hear of, and
	// recordingCancellations is set while earlier ones are being recorded.
	unrecordedCancellations []keeper.Fact
	recordingCancellations  bool
	// pendingFacts holds facts of earlier terms about jobs that have not been added yet.
	pendingFacts map[modeler.JobID][]keeper.Fact
	// unreadJobs holds the unknown jobs of deferred rows. readQueue holds those that no reader has
	// taken, and jobReaders is the number of readers.
	unreadJobs map[modeler.JobID]struct{}
	readQueue  []modeler.JobID
	jobReaders int
	workers    map[modeler.WorkerID]*worker
	// workerOrder holds the workers in the order of their IDs. It is empty after a change of workers until
	// orderedWorkers is called.
	workerOrder []*worker
	// unanswered has the workers with unansweredStarts that may be younger than maxStartDelayAfterRestart.
	unanswered map[*worker]bool
	// droppedFenceRises is how often the token of a worker that is registered now has risen at least. No token of a
	// worker that was dropped was higher.
	droppedFenceRises int64
	// waitingSteps holds the steps that have waiting tasks and whose predecessors are done.
	waitingSteps map[*step]struct{}
	// unaccountedWorkers is the number of workers that may still run tasks of earlier terms and have
	// not reported in this term. While it is not zero, a task that may run on one of them does not
	// start. allAccounted is set once it has reached zero. A worker whose lease has been over for
	// unreachableGrace counts as having reported. earlierLeasesOver is set while the leases of all
	// unaccounted workers are over.
	unaccountedWorkers int
	allAccounted       bool
	earlierLeasesOver  bool
	// clockStart is what the journal's clock showed at termStart.
	clockStart time.Duration
	// inheritedUntil is when the leases of earlier leaders are over that the journal does not bound, and
	// earlierUntil when those from before the predecessor are.
	inheritedUntil, earlierUntil time.Time
	// boundsVoid is set if the journal has no record of the predecessor's term, inheritanceKnown if it has one and
	// all its records could be read, and predecessorStopped if the predecessor is known to extend no leases any more.
	boundsVoid, inheritanceKnown, predecessorStopped bool
	// predecessorStoppedAt is a time by which the predecessor had stopped, if that is known.
	predecessorStoppedAt time.Time
	// inheritedTerms are the last facts of the terms up to that of the predecessor, of successive epochs. It is empty if they
	// are not known.
	inheritedTerms []*keeper.TermFact
	// predecessorStopsAt is when the predecessor stops extending leases at the latest, by its electorate, zero if that is not known.
	predecessorStopsAt time.Time
	unsavedCheckpoints unsavedCheckpoints
	// electorate is the one that the last fact of this term names, nil if none does.
	electorate *modeler.Electorate
	// earlierLeadersStop is set once it is known when earlier leaders stop.
	earlierLeadersStop bool
	// recordingLeases is set while recordLeases records. The last time, it did at clockRecordedAt with the
	// inheritedUntil of recordedUntil.
	recordingLeases bool
	clockRecordedAt time.Time
	recordedUntil   time.Time
	// model estimates the interference between images.
	model *estimator.Model
	// estimatesSavedAt is when new estimates were last given to the journal. savingEstimates is set
	// until these are durable.
	estimatesSavedAt time.Time
	savingEstimates  bool
	// startWindow bounds startsInFlight, the number of starts that are queued for a worker, or sent
	// and not answered. windowFull is set while tasks wait for the window.
	startWindow    *throttler.Window
	startsInFlight int
	windowFull     bool
	// keptStarts is the number of starts that long-running tasks may use before more urgent ones, see
	// overtakenShare.
	keptStarts float64
	// starvedStarts is the number of starts that jobs without a run may use before more urgent ones, see
	// placeAll.
	starvedStarts float64
	// heldWorkers holds the workers that recent rounds held, see noteReservations.
	heldWorkers map[modeler.WorkerID]*heldWorker
	// reservationRequests counts the requests for permits in progress that requestForReservation began.
	reservationRequests int
	// seenRooms holds what recent rounds found of each pool, see recentSlots.
	seenRooms map[modeler.PoolName][]seenRoom
	// shortDemand holds forecasts of what short urgent tasks need, by pool, and shortDemandAt is when they were
	// last updated. active holds what attempts need. Both are empty unless ValuePolicy applies.
	shortDemand   map[modeler.PoolName]*reserver.Forecast
	shortDemandAt time.Time
	active        map[activeKey]*activeDemand
	// shortages holds when rounds last found that a pool is short of capacity for a priority, promotions the overdue
	// jobs that go first then, and histories what the jobs of each queue have shown. All are empty unless ValuePolicy
	// applies.
	shortages  map[shortageKey]time.Time
	promotions map[shortageKey]*promotion
	histories  map[modeler.QueueName]*queueHistory
	// observations is the number of those that histories has received.
	observations int64
	// shortSteps, delayed and shortage are for the reports on shortages.
	shortSteps map[shortageKey]*shortSteps
	delayed    delayed
	shortage   shortageReport
	// nextExamined is the index of the candidate at which the next selection begins.
	nextExamined int
	// contention is the competition of best-effort images for the workers.
	contention contention
	poolUse    poolUse
	// invalid reports malformed facts and reports.
	invalid         *reporter.Reporter
	summaryLoggedAt time.Time
	// usage is what the work has cost since the last line on it.
	usage usage
	// rounds is the number of placement rounds, roundAt the time of the last one, and roundEnd why the
	// steps that it did not reach had no turn.
	rounds   int64
	roundAt  time.Time
	roundEnd waitReason
	// countsLeft and longRunningCountsLeft are how often the workers may be counted by reason until the
	// next report of waiting tasks, see takeCount.
	countsLeft, longRunningCountsLeft int
	// starting holds the runs that were placed and were not known to run at the last report of waiting
	// tasks.
	starting map[*attempt]struct{}
	// stalls is what is known of long-running tasks that wait although there is room for them.
	stalls stalls
	// loadHint is what entry hosts are told of the queues that are behind.
	loadHint loadHint
	// ineffectiveLines, droppedLines and overdueLines bound lines of the log.
	ineffectiveLines, droppedLines, overdueLines reporter.LineBudget
	evacuationSuspension                         evacuationSuspension
	// evacuations has what operators are told of each evacuated data centre.
	evacuations map[fleet.DataCentreName]*evacuationState
	relocation  relocation
	// evacuationLines bound the lines of the log on changes.
	evacuationLines reporter.LineBudget
	// waitLoggedAt is when the log last said why a task waits.
	waitLoggedAt time.Time
	// snapshotPosition is the journal position of the last snapshot, also of one by an earlier leader. Only
	// cleanupLoop uses it.
	snapshotPosition int64
	// factsSinceSnapshot is the number of facts recorded since the last snapshot, also by earlier leaders.
	factsSinceSnapshot atomic.Int64
	// explains is set in the copy that explanationCopy returns, which changes no worker and no occurrence.
	explains bool
}

// New returns a director. Its term begins with Start.
func New(op Options) *Director {
	now := time.Now()
	dr := &Director{
		op:                   op,
		termStart:            now,
		inheritedUntil:       now.Add(op.InheritedLease),
		loaded:               make(chan struct{}),
		dispatchWake:         make(chan struct{}, 1),
		confirmWake:          make(chan struct{}, 1),
		jobs:                 map[modeler.JobID]*job{},
		pendingCancellations: map[modeler.JobID]cancellation{},
		pendingFacts:         map[modeler.JobID][]keeper.Fact{},
		unreadJobs:           map[modeler.JobID]struct{}{},
		workers:              map[modeler.WorkerID]*worker{},
		unanswered:           map[*worker]bool{},
		waitingSteps:         map[*step]struct{}{},
		evacuations:          map[fleet.DataCentreName]*evacuationState{},
		starting:             map[*attempt]struct{}{},
		heldWorkers:          map[modeler.WorkerID]*heldWorker{},
		policySlot:           make(chan struct{}, 1),
		seenRooms:            map[modeler.PoolName][]seenRoom{},
		shortDemand:          map[modeler.PoolName]*reserver.Forecast{},
		active:               map[activeKey]*activeDemand{},
		shortages:            map[shortageKey]time.Time{},
		promotions:           map[shortageKey]*promotion{},
		shortSteps:           map[shortageKey]*shortSteps{},
		histories:            map[modeler.QueueName]*queueHistory{},
		model:                estimator.New(),
		startWindow:          throttler.New(requestTimeout),
		invalid:              reporter.New(op.Log, op.Meter),
		snapshotPosition:     op.SnapshotPosition,
	}
	dr.factsSinceSnapshot.Store(int64(op.FactsSinceSnapshot))
	return dr
}

// Start starts the goroutines of the term. The term ends with the context, or when another host is
// found to lead.
func (dr *Director) Start(ctx context.Context) {
	ctx, cancel := context.WithCancelCause(ctx)
	dr.mu.Lock()
	dr.ctx, dr.cancel = ctx, cancel
	for _, wk := range dr.workers {
		dr.startRenewing(wk)
	}
	dr.allAccounted = dr.unaccountedWorkers == 0
	dr.recordLeases(time.Now())
	dr.mu.Unlock()
	dr.startGoroutine(dr.dispatchLoop)
	dr.startGoroutine(dr.confirmLoop)
	dr.startGoroutine(dr.tickLoop)
	dr.startGoroutine(dr.cleanupLoop)
}

// Wait returns when the term is over and no request is in flight any more. It returns ErrTermOver if
// another host leads, and nil if the context has ended.
func (dr *Director) Wait() error {
	<-dr.ctx.Done()
	dr.goroutinesMu.Lock()
	// From here on startGoroutine sees that the term is over.
	dr.goroutinesMu.Unlock()
	dr.goroutines.Wait()
	dr.clearGauges()
	if errors.Is(context.Cause(dr.ctx), ErrTermOver) {
		return ErrTermOver
	}
	return nil
}

// startGoroutine runs a function in a goroutine that Wait waits for. It does nothing once the term
// is over.
func (dr *Director) startGoroutine(run func(context.Context)) {
	dr.goroutinesMu.Lock()
	defer dr.goroutinesMu.Unlock()
	if dr.ctx.Err() != nil {
		return
	}
	ctx := dr.ctx
	dr.goroutines.Go(func() {
		defer dr.endAfterPanic()
		run(ctx)
	})
}

// endAfterPanic ends the term instead of the process if a goroutine panics. What the goroutine was about to change may
// be half changed, so that this leader cannot go on; the next one builds its state anew.
func (dr *Director) endAfterPanic() {
	cause := recover()
	if cause == nil {
		return
	}
	dr.log(logger.TermPanicked, "Cause", fmt.Sprint(cause), "Stack", string(debug.Stack()))
	dr.stepDown("panic")
}

// StepDown ends the term because another host leads.
func (dr *Director) StepDown(reason string) { dr.stepDown(reason) }

func (dr *Director) stepDown(reason string) {
	dr.log(logger.TermEnded, "Reason", reason)
	dr.cancel(ErrTermOver)
}

func (dr *Director) wakeDispatch() { signal(dr.dispatchWake) }

func signal(ch chan struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}

// confirmLoop checks for each job that this host still led after the job was added. Tasks of the job
// start only then. A later leader reads the jobs after its epoch has begun, and so knows every job of
// which this leader can have started a task. That holds for the jobs of the first listing too, which a
// later leader may have read before they were stored. It also checks for leaseEndConfirmed.
func (dr *Director) confirmLoop(ctx context.Context) {
	select {
	case <-ctx.Done():
		return
	case <-dr.loaded:
	}
	for {
		select {
		case <-ctx.Done():
			return
		case <-dr.confirmWake:
		}
		dr.mu.Lock()
		batch := dr.unconfirmed
		dr.unconfirmed = nil
		dr.mu.Unlock()
		if !dr.confirmLeadership(ctx, time.Now()) || !dr.readCancellations(ctx, batch) {
			return
		}
		dr.mu.Lock()
		for _, jb := range batch {
			jb.confirmed = true
		}
		dr.mu.Unlock()
		dr.wakeDispatch()
	}
}

// confirmLeadership returns true once this host is known to have led at the time, or false when the
// term is over.
func (dr *Director) confirmLeadership(ctx context.Context, at time.Time) bool {
	for ctx.Err() == nil {
		if dr.op.Journal.LastConfirmed().After(at) {
			return true
		}
		cctx, cancel := context.WithTimeout(ctx, journalCheckTimeout)
		err := dr.op.Journal.Check(cctx)
		cancel()
		switch {
		case err == nil:
			return true
		case errors.Is(err, journaler.ErrDeposed):
			dr.stepDown("journal has a later epoch")
			return false
		}
		pauser.Sleep(ctx, journalRetryPause)
	}
	return false
}

// dispatchLoop runs a placement round whenever it is woken.
func (dr *Director) dispatchLoop(ctx context.Context) {
	select {
	case <-ctx.Done():
		return
	case <-dr.loaded:
	}
	for {
		select {
		case <-ctx.Done():
			return
		case <-dr.dispatchWake:
		}
		start := time.Now()
		dr.mu.Lock()
		// Before the round, which uses the capacity that became free since the last one.
		dr.lookForStalls(time.Now())
		locked := time.Now()
		dr.dispatch(start)
		dr.relocate(start)
		dr.usage.addRound(locked)
		pause := min(maxDispatchPause, minDispatchPause*time.Duration(max(1, len(dr.workers)/workersPerDispatchPause)))
		dr.mu.Unlock()
		// The pause grows with the duration of the round, so that a host that is short of processor
		// time spends only a part of it on placement.
		pauser.Sleep(ctx, max(pause, min(dispatchPauseFactor*time.Since(start), tickInterval)))
	}
}

// tickLoop does what depends on the time alone, and starts a placement round.
func (dr *Director) tickLoop(ctx context.Context) {
	pauser.Every(ctx, tickInterval, func(context.Context) {
		dr.mu.Lock()
		dr.onTick(time.Now())
		dr.mu.Unlock()
		dr.wakeDispatch()
	})
}

// onTick expires leases, releases occurrences that are due, and does other work that only depends
// on the time.
func (dr *Director) onTick(now time.Time) {
	dr.checkPredecessor(now)
	leasesOver := true
	for _, wk := range dr.workers {
		dr.expireLease(wk, now)
		dr.copySilentRuns(wk, now)
		dr.expireAdvance(wk, now)
		switch {
		case !wk.unaccounted:
		case dr.leaseEndConfirmed(wk, unreachableGrace, now):
			dr.markAccounted(wk, "inherited leases expired")
		case !dr.leaseEndConfirmed(wk, 0, now):
			leasesOver = false
		}
	}
	dr.earlierLeasesOver = leasesOver
	dr.recordLeases(now)
	dr.recordCancellations()
	dr.checkEvacuations(now)
	select {
	case <-dr.loaded:
	default:
		return
	}
	for _, jb := range dr.jobs {
		dr.releaseOccurrences(jb, now)
	}
	dr.saveEstimates(now)
	dr.saveCheckpoints(now)
	dr.updateLoadHint(now)
	if now.Sub(dr.summaryLoggedAt) >= summaryInterval {
		dr.summaryLoggedAt = now
		dr.logLoadSummary(now)
		dr.logUsage(now)
		dr.reportWaits(now)
		dr.publishEvacuations(now)
		dr.reportCancelledRuns(now)
		dr.reportLateRenewals(now)
		dr.reportShortage(now)
	}
}

// record appends facts to the journal, retries until they are durable, and then calls the function
// without holding locks. If the term ends first, it returns without the call.
func (dr *Director) record(ctx context.Context, facts []keeper.Fact, then func()) {
	recs, err := keeper.Records(facts)
	if err != nil {
		dr.log(logger.FactNotRecorded, "Error", err.Error())
		return
	}
	for _, batch := range journaler.Batches(recs) {
		if !dr.appendRecords(ctx, batch) {
			return
		}
	}
	dr.factsSinceSnapshot.Add(int64(len(facts)))
	then()
}

// appendRecords appends records to the journal and retries until they are durable. It returns false
// if the term ends first, or if a record is too large for the journal.
func (dr *Director) appendRecords(ctx context.Context, recs []journaler.Record) bool {
	failing := false
	for {
		err := dr.op.Journal.Append(ctx, recs...)
		switch {
		case err == nil:
			return true
		case ctx.Err() != nil:
			return false
		case errors.Is(err, journaler.ErrDeposed):
			dr.stepDown("journal has a later epoch")
			return false
		case errors.Is(err, journaler.ErrTooLarge):
			dr.log(logger.FactNotRecorded, "Error", err.Error())
			return false
		}
		if !failing {
			dr.log(logger.FactsDelayed, "Facts", len(recs), "Error", err.Error())
		}
		failing = true
		pauser.Sleep(ctx, journalRetryPause)
	}
}

func (dr *Director) log(ev logger.Event, kv ...any) { logger.Log(dr.op.Log, ev, kv...) }
