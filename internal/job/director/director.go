// Package director decides for all workers during one term of leadership: which task runs where,
// which run is stopped, and which ends count. It keeps no state beyond its term. The next term is
// built from the stored jobs, the journal of facts, and the lists of the workers themselves.
package director

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"github.com/currantrouter/currantrouter/internal/job/estimator"
	"github.com/currantrouter/currantrouter/internal/job/keeper"
	"github.com/currantrouter/currantrouter/internal/job/modeler"
	"github.com/currantrouter/currantrouter/internal/job/throttler"
	"github.com/currantrouter/currantrouter/internal/process/pauser"
	"github.com/currantrouter/currantrouter/internal/state/journaler"
	"github.com/currantrouter/currantrouter/internal/telemetry/logger"
	"github.com/currantrouter/currantrouter/internal/telemetry/meter"
)

// WorkerClient sends requests to the workers. Errors are those of package modeler. The functions that return a
// duration return the worker's clock.
type WorkerClient interface {
	Start(ctx context.Context, wk *modeler.Worker, order *modeler.StartRequest) (time.Duration, error)
	Stop(ctx context.Context, wk *modeler.Worker, task modeler.TaskID, run modeler.Run, epoch modeler.Epoch) error
	Renew(ctx context.Context, wk *modeler.Worker, order *modeler.RenewRequest) (modeler.Report, error)
	Pace(ctx context.Context, wk *modeler.Worker, task modeler.TaskID, run modeler.Run, percent int, epoch modeler.Epoch) error
}

// Journal is the journal of facts, see package journaler.
type Journal interface {
	Append(ctx context.Context, recs ...journaler.Record) error
	// Check proves that no later epoch has begun.
	Check(ctx context.Context) error
	// Confirmed returns when the last append or check that succeeded began.
	Confirmed() time.Time
	Position() int64
	Snapshot(ctx context.Context, parts []journaler.Record, upTo int64) error
}

// JobStore is the store of jobs, see package keeper.
type JobStore interface {
	Load(ctx context.Context, id modeler.JobID) (*modeler.Job, error)
	Cancelled(ctx context.Context, id modeler.JobID) (bool, error)
	Delete(ctx context.Context, id modeler.JobID) error
}

// Limits are agreed with the platform.
type Limits struct {
	// Lease is how long a worker may run tasks without a renewal, on its own clock.
	Lease time.Duration
	// StopGrace is the longest time from a stop request to the end of the run.
	StopGrace time.Duration
	// Retention is how long a job's state can be asked for after its end.
	Retention time.Duration
	// RestoreTime is the time that a resumed task takes to load its checkpoint.
	RestoreTime time.Duration
	// OverTargetGrace is how long a latency-critical task may be over its target while
	// best-effort work beside it goes on.
	OverTargetGrace time.Duration
	// RemoteDataFactor is how many times as long a task takes that is far from its data.
	RemoteDataFactor float64
}

// Options are the parts that a director works with.
type Options struct {
	Epoch        modeler.Epoch
	WorkerClient WorkerClient
	Journal      Journal
	JobStore     JobStore
	// Policy may be nil.
	Policy Policy
	// Configuration returns the one in force, or nil.
	Configuration func() *modeler.Configuration
	// Authorized reports whether this host may still give orders: no other can have taken over
	// without its knowledge.
	Authorized func() bool
	// InheritedLease is how long, from the beginning of the term, workers that do not answer may run
	// tasks for an earlier leader.
	InheritedLease time.Duration
	Limits         Limits
	Log            logr.Logger
	Meter          *meter.Registry
}

const (
	// tick is the time between two looks at what passes with time alone.
	tick = 100 * time.Millisecond
	// dispatchPause bounds the rate of placement rounds, each of which orders all waiting steps.
	dispatchPause = 4 * time.Millisecond
	// dispatchShare is how many times as long as a round the pause after it lasts.
	dispatchShare = 3
	// appendRetry is the pause before facts are given to the journal again.
	appendRetry = 150 * time.Millisecond
	// confirmTimeout bounds a look at the end of the journal.
	confirmTimeout = 600 * time.Millisecond
	// forgetInterval is the time between two removals of jobs whose retention is over.
	forgetInterval = 5 * time.Second
	// forgetSlack is added to the retention, so that a repeated submission that arrives late still
	// meets its job.
	forgetSlack = 60 * time.Second
	// teachInterval is the time between two records of what was learned, which the next leader would
	// need as long to learn again.
	teachInterval = 3 * time.Second
	// summaryInterval is the time between two lines about the load.
	summaryInterval = time.Second
	// snapshotEvery is the number of journal positions between two snapshots, snapshotFacts that of
	// facts. A successor reads what is behind the last one before it can lead: about 100 kB.
	snapshotEvery, snapshotFacts = 600, 4000
)

// ErrTermOver means that another host leads.
var ErrTermOver = errors.New("term of leadership is over")

// Director is one term of leadership. It is safe for concurrent use.
type Director struct {
	op    Options
	began time.Time
	// ctx is that of the term, cancel ends it with the cause.
	ctx    context.Context
	cancel context.CancelCauseFunc
	// loops counts the goroutines of the term. beginning is held while one begins, so that none does
	// once the term is over and they are waited for.
	loops     sync.WaitGroup
	beginning sync.Mutex
	// loaded is closed when the stored jobs are known.
	loaded chan struct{}
	kicked chan struct{}
	// learned wakes the loop that confirms new jobs.
	learned chan struct{}

	// asking is held during a question to the policy service.
	asking sync.Mutex

	mu sync.Mutex
	// unconfirmed holds the jobs that were learned after the last confirmation.
	unconfirmed []*job
	// jobs holds every stored job whose retention is not over.
	jobs map[modeler.JobID]*job
	// cancelled holds cancellations of jobs that are not known yet.
	cancelled map[modeler.JobID]struct{}
	// facts holds those of jobs that are not known yet.
	facts   map[modeler.JobID][]keeper.Fact
	workers map[modeler.WorkerID]*worker
	// waiting holds the steps with waiting tasks whose predecessors are done.
	waiting map[*step]struct{}
	// unaccounted is the number of workers that may run tasks which this term has not seen. While
	// it is not zero, tasks of inherited jobs that were not seen do not start.
	unaccounted int
	accounted   bool
	// model is what this term has learned of images that disturb each other.
	model *estimator.Model
	// taught is when it was last recorded what is new in the model, teaching is set meanwhile.
	taught   time.Time
	teaching bool
	// window bounds the starts under way, whose number is underWay: those that wait for a loop that sends
	// them or for their answer. throttled is set while tasks wait for it.
	window    *throttler.Window
	underWay  int
	throttled bool
	// contests is how much work that fills needs each worker.
	contests   contests
	summarized time.Time
	// explained is when a line was last written on why a task waits.
	explained  time.Time
	snapshotAt int64
	// unsummed is the number of facts recorded since the last snapshot.
	unsummed atomic.Int64
}

// New returns a director that is not running yet.
func New(op Options) *Director {
	return &Director{
		op:        op,
		began:     time.Now(),
		loaded:    make(chan struct{}),
		kicked:    make(chan struct{}, 1),
		learned:   make(chan struct{}, 1),
		jobs:      map[modeler.JobID]*job{},
		cancelled: map[modeler.JobID]struct{}{},
		facts:     map[modeler.JobID][]keeper.Fact{},
		workers:   map[modeler.WorkerID]*worker{},
		waiting:   map[*step]struct{}{},
		model:     estimator.New(),
		window:    throttler.New(orderTimeout),
	}
}

// Start begins to decide. The term ends with the context or when another host leads.
func (dr *Director) Start(ctx context.Context) {
	ctx, cancel := context.WithCancelCause(ctx)
	dr.mu.Lock()
	dr.ctx, dr.cancel = ctx, cancel
	for _, wk := range dr.workers {
		dr.follow(wk)
	}
	dr.accounted = dr.unaccounted == 0
	dr.mu.Unlock()
	dr.goRun(dr.dispatchLoop)
	dr.goRun(dr.confirmLoop)
	dr.goRun(dr.tickLoop)
	dr.goRun(dr.forgetLoop)
}

// Wait returns when the term is over and nothing is sent any more. The error is nil after the
// context has ended, or ErrTermOver.
func (dr *Director) Wait() error {
	<-dr.ctx.Done()
	dr.beginning.Lock()
	// From here on goRun sees that the term is over.
	dr.beginning.Unlock()
	dr.loops.Wait()
	if errors.Is(context.Cause(dr.ctx), ErrTermOver) {
		return ErrTermOver
	}
	return nil
}

// goRun runs a loop that Wait waits for. It does nothing once the term is over.
func (dr *Director) goRun(loop func(context.Context)) {
	dr.beginning.Lock()
	defer dr.beginning.Unlock()
	if dr.ctx.Err() != nil {
		return
	}
	ctx := dr.ctx
	dr.loops.Go(func() { loop(ctx) })
}

// Depose ends the term because another host leads.
func (dr *Director) Depose(why string) { dr.depose(why) }

func (dr *Director) depose(why string) {
	dr.log(logger.TermEnded, "Reason", why)
	dr.cancel(ErrTermOver)
}

func (dr *Director) kick() { signal(dr.kicked) }

func signal(ch chan struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}

// confirmLoop proves for each new job that this host led after it learned of the job. Only then do
// its tasks start. A later leader, which reads the jobs after its epoch has begun, therefore knows
// every job that this one can have started.
func (dr *Director) confirmLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-dr.learned:
		}
		dr.mu.Lock()
		batch := dr.unconfirmed
		dr.unconfirmed = nil
		dr.mu.Unlock()
		if !dr.confirm(ctx, time.Now()) {
			return
		}
		dr.mu.Lock()
		for _, jb := range batch {
			jb.confirmed = true
		}
		dr.mu.Unlock()
		dr.kick()
	}
}

// confirm returns once this host is known to have led at the time, or false when the term is over.
func (dr *Director) confirm(ctx context.Context, at time.Time) bool {
	for ctx.Err() == nil {
		if dr.op.Journal.Confirmed().After(at) {
			return true
		}
		cctx, cancel := context.WithTimeout(ctx, confirmTimeout)
		err := dr.op.Journal.Check(cctx)
		cancel()
		switch {
		case err == nil:
			return true
		case errors.Is(err, journaler.ErrDeposed):
			dr.depose("journal has a later epoch")
			return false
		}
		pauser.Pause(ctx, appendRetry)
	}
	return false
}

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
		case <-dr.kicked:
		}
		began := time.Now()
		dr.mu.Lock()
		dr.dispatch(began)
		dr.mu.Unlock()
		// A host that is short of processor time spends at most a part of it on placement.
		pauser.Pause(ctx, max(dispatchPause, min(dispatchShare*time.Since(began), tick)))
	}
}

func (dr *Director) tickLoop(ctx context.Context) {
	pauser.Every(ctx, tick, func(context.Context) {
		dr.mu.Lock()
		dr.pass(time.Now())
		dr.mu.Unlock()
		dr.kick()
	})
}

// pass does what follows from the passage of time alone.
func (dr *Director) pass(now time.Time) {
	for _, wk := range dr.workers {
		dr.expire(wk, now)
	}
	if !dr.accounted && now.Sub(dr.began) > dr.op.InheritedLease+returnGrace {
		dr.log(logger.TermAccounted, "Workers", dr.unaccounted, "Reason", "leases over")
		dr.unaccounted, dr.accounted = 0, true
	}
	select {
	case <-dr.loaded:
	default:
		return
	}
	for _, jb := range dr.jobs {
		dr.release(jb, now)
	}
	dr.teach(now)
	if now.Sub(dr.summarized) >= summaryInterval {
		dr.summarized = now
		dr.summarize(now)
	}
}

// record gives facts to the journal until they are durable and then calls the function, without
// locks. It returns when the term ends.
func (dr *Director) record(ctx context.Context, facts []keeper.Fact, then func()) {
	recs := make([]journaler.Record, 0, len(facts))
	for _, ft := range facts {
		rec, err := ft.Record()
		if err != nil {
			dr.log(logger.FactNotRecorded, "Error", err.Error())
			return
		}
		recs = append(recs, rec)
	}
	failing := false
	for {
		err := dr.op.Journal.Append(ctx, recs...)
		switch {
		case err == nil:
			dr.unsummed.Add(int64(len(facts)))
			then()
			return
		case ctx.Err() != nil:
			return
		case errors.Is(err, journaler.ErrDeposed):
			dr.depose("journal has a later epoch")
			return
		}
		if !failing {
			dr.log(logger.FactsDelayed, "Facts", len(facts), "Error", err.Error())
		}
		failing = true
		pauser.Pause(ctx, appendRetry)
	}
}

func (dr *Director) log(ev logger.Event, kv ...any) { logger.Log(dr.op.Log, ev, kv...) }
