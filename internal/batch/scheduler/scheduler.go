// Package scheduler decides on the batch work of one data centre. Only the data centre's leader runs
// it. Every decision is a journal record that is durable before its effect is sent to a worker.
package scheduler

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/currantrouter/currantrouter/internal/batch/detector"
	"github.com/currantrouter/currantrouter/internal/batch/estimator"
	"github.com/currantrouter/currantrouter/internal/batch/evictor"
	"github.com/currantrouter/currantrouter/internal/batch/placer"
	"github.com/currantrouter/currantrouter/internal/fleet/modeler"
	"github.com/currantrouter/currantrouter/internal/provider/storer"
	"github.com/currantrouter/currantrouter/internal/provider/supervisor"
	"github.com/currantrouter/currantrouter/internal/telemetry/logger"
	"github.com/currantrouter/currantrouter/internal/telemetry/meter"
)

// Errors of the scheduler. Callers test for them with errors.Is.
var (
	// ErrDeposed means that another host leads the data centre.
	ErrDeposed = errors.New("another host leads the data centre")
	// ErrNotLeading means that the scheduler does not run. Nothing was done.
	ErrNotLeading = errors.New("scheduler does not run on this host")
	// ErrInvalidJob means that a submitted job is malformed. Nothing was done.
	ErrInvalidJob = errors.New("invalid job")
	// ErrUnknownTask means that there is no such job or task.
	ErrUnknownTask = errors.New("unknown task")
	// ErrNotResolvable means that the state of the task does not wait for an operator.
	ErrNotResolvable = errors.New("task does not wait for an operator")
)

const (
	// maxStartDelay is the time after the decision within which a worker accepts a start.
	maxStartDelay = 2 * time.Second
	// commandTimeout bounds one command to a worker.
	commandTimeout = 2 * time.Second
	// appendTimeout bounds one append. Its result is unknown afterwards.
	appendTimeout = 10 * time.Second
	// tickInterval is the resolution of polls, renewals and rounds without an event.
	tickInterval = 50 * time.Millisecond
	// heartbeatInterval is the longest time without an append. It also finds a deposition.
	heartbeatInterval = time.Minute

	// DefaultLeaseTerm favours running work: an interruption of control of minutes ends no task.
	DefaultLeaseTerm = 5 * time.Minute
	// DefaultRenewInterval is a fifth of the default lease.
	DefaultRenewInterval = time.Minute
	// DefaultLeaderAutonomy covers an outage of the store of one hour.
	DefaultLeaderAutonomy = 2 * time.Hour
	// DefaultReportInterval applies up to 200 workers; see maxReportsPerSecond.
	DefaultReportInterval = 2 * time.Second
	// DefaultKeepFinished is how long finished jobs are known, so that a sheet that lists one again
	// does not run it again.
	DefaultKeepFinished = 48 * time.Hour
)

// Journal is the fenced journal of the data centre.
type Journal interface {
	// Append writes the records in order. Nil means that they are durable. ErrDeposed means that
	// another host leads, storer.ErrUnavailable that nothing was written. After any other error
	// the records may be durable.
	Append(ctx context.Context, records ...[]byte) error
	// Position returns the last durable position.
	Position() int64
	// Deposed is closed when another host leads.
	Deposed() <-chan struct{}
}

// Workers sends commands to workers. Every command carries the epoch of the sender. The errors are
// those of package supervisor; an error that is not ErrRefused or ErrNoAttempt means that the command
// may have taken effect.
type Workers interface {
	Start(ctx context.Context, wk supervisor.Worker, cmd supervisor.StartCommand) error
	Stop(ctx context.Context, wk supervisor.Worker, epoch modeler.Epoch, at supervisor.Attempt) error
	// Checkpoint asks for a checkpoint. The attempt goes on or stops, as the worker likes.
	Checkpoint(ctx context.Context, wk supervisor.Worker, epoch modeler.Epoch, at supervisor.Attempt) error
	// Throttle limits the attempt to a share of its processors; 1 lifts the limit.
	Throttle(ctx context.Context, wk supervisor.Worker, epoch modeler.Epoch, at supervisor.Attempt, share float64) error
	// Renew extends leases to the term from now and returns the attempts that the worker does not run.
	Renew(ctx context.Context, wk supervisor.Worker, epoch modeler.Epoch, term time.Duration, ats []supervisor.Attempt) ([]supervisor.Attempt, error)
	// Forget acknowledges ended attempts whose end is recorded.
	Forget(ctx context.Context, wk supervisor.Worker, epoch modeler.Epoch, ats []supervisor.Attempt) error
	Report(ctx context.Context, wk supervisor.Worker) (supervisor.WorkerReport, error)
}

// estimates is what the scheduler needs of the estimator.
type estimates interface {
	Kind(name string) estimator.Kind
	Reservation(kd estimator.Kind, declared supervisor.Resources) supervisor.Resources
	Class(kd estimator.Kind) estimator.Class
	Interference(victim, aggressor estimator.Kind, load float64) float64
	ObserveUsage(kd estimator.Kind, use supervisor.Resources)
	ObserveRunTime(kd estimator.Kind, run time.Duration)
	ObserveSlowdown(victim estimator.Kind, slowdown, load float64, others []estimator.Kind)
	Export() ([][]byte, error)
}

// placement is what the scheduler needs of the placer.
type placement interface {
	Place(tk placer.Task) (modeler.WorkerName, error)
	SetShortReserve(share float64)
	CanPlaceOn(name modeler.WorkerName, tk placer.Task) bool
	Clamp(estimate, declared supervisor.Resources) supervisor.Resources
	Fits(rs supervisor.Resources) bool
	Upsert(wk supervisor.Worker)
	Remove(name modeler.WorkerName)
	SetUnschedulable(name modeler.WorkerName, blocked bool)
	Reserve(name modeler.WorkerName, tk placer.Task) bool
	Adopt(name modeler.WorkerName, tk placer.Task) bool
	Release(name modeler.WorkerName, at supervisor.Attempt)
	ObserveUsage(name modeler.WorkerName, at supervisor.Attempt, use supervisor.Resources) int
	UpdateIndex(name modeler.WorkerName)
	Capacity() supervisor.Resources
}

// Options are the settings of a scheduler. Zero durations mean the defaults.
type Options struct {
	DataCentre modeler.DataCentreName
	Epoch      modeler.Epoch
	Journal    Journal
	Workers    Workers
	Logger     logr.Logger
	Meter      *meter.Registry
	Teams      []modeler.Team
	// ShortReserve is the share of capacity that long work leaves free, from 0 to 1.
	ShortReserve   float64
	LeaseTerm      time.Duration
	RenewInterval  time.Duration
	LeaderAutonomy time.Duration
	// ReportInterval is the least time between two reports of a worker.
	ReportInterval time.Duration
	KeepFinished   time.Duration
	ShortRunTime   time.Duration
	// PredecessorStopped reports whether the leader before has acknowledged this epoch or a newer
	// boot of its host was seen, so that it renews no leases. Nil means that nothing is known. It
	// must not block.
	PredecessorStopped func() bool
	// Seed fixes random choices.
	Seed uint64
}

// Recovery is what the journal held when this leader's epoch began.
type Recovery struct {
	// Parts are the parts of the snapshot that the scheduler has exported, none without one.
	Parts [][]byte
	// Records are the scheduler's records after the snapshot, in order. Records that the snapshot
	// covers do no harm.
	Records [][]byte
	// Began is the time, with its monotonic reading, at which the append of the epoch ended.
	Began time.Time
}

// Scheduler decides on the batch work of one data centre. Its exported methods are safe for
// concurrent use; all decisions are made in the goroutine of Run.
type Scheduler struct {
	opts Options
	lg   logr.Logger
	mt   *meter.Registry

	mailbox mailbox
	// stopped is closed when Run has returned. Callers that wait are then told so.
	stopped chan struct{}
	sends   sync.WaitGroup

	// The fields below belong to the goroutine of Run.

	ctx       context.Context
	state     *stateMachine
	queue     *queue
	estimator estimates
	placer    placement
	detector  *detector.Detector
	evictor   *evictor.Evictor
	workers   map[modeler.WorkerName]*workerState
	// tickOrder lists the workers for ticks; it is rebuilt when workers change.
	tickOrder []*workerState
	// unlisted holds active attempts on workers that no list has named yet.
	unlisted map[modeler.WorkerName][]*runningAttempt
	// probesDue holds quarantined workers that are due for a probe.
	probesDue  map[modeler.WorkerName]*workerState
	writer     writer
	epochBegan time.Time
	// predecessorEnd is the time from which no leader before this one renews leases. It is zero
	// while that is not known.
	predecessorEnd time.Time
	// roundNeeded is set when something has changed that may let a task start.
	roundNeeded    bool
	round          uint64
	nextPrune      time.Time
	withinAutonomy bool
	runningBatch   int
}

// New returns a scheduler with the recovered state. It decides nothing before Run. It fails when the
// snapshot or a record cannot be decoded.
func New(opts Options, rec Recovery) (*Scheduler, error) {
	opts.setDefaults()
	est := estimator.New(opts.ShortRunTime)
	sc := &Scheduler{
		opts:           opts,
		lg:             opts.Logger,
		mt:             opts.Meter,
		mailbox:        mailbox{signal: make(chan struct{}, 1)},
		stopped:        make(chan struct{}),
		state:          newLedger(),
		queue:          newQueue(),
		estimator:      est,
		placer:         placer.New(est, opts.ShortReserve, opts.Seed),
		detector:       detector.New(),
		evictor:        evictor.New(rec.Began),
		workers:        make(map[modeler.WorkerName]*workerState),
		probesDue:      make(map[modeler.WorkerName]*workerState),
		unlisted:       make(map[modeler.WorkerName][]*runningAttempt),
		epochBegan:     rec.Began,
		withinAutonomy: true,
	}
	sc.writer.lastContact = rec.Began
	for _, tm := range opts.Teams {
		sc.queue.team(tm.Name).quota = tm.Quota
	}
	if err := sc.recover(rec, est); err != nil {
		return nil, err
	}
	return sc, nil
}

func (op *Options) setDefaults() {
	setDefault(&op.LeaseTerm, DefaultLeaseTerm)
	setDefault(&op.RenewInterval, DefaultRenewInterval)
	setDefault(&op.LeaderAutonomy, DefaultLeaderAutonomy)
	setDefault(&op.ReportInterval, DefaultReportInterval)
	setDefault(&op.KeepFinished, DefaultKeepFinished)
	if op.Meter == nil {
		op.Meter = meter.New(nil)
	}
	if op.PredecessorStopped == nil {
		op.PredecessorStopped = func() bool { return false }
	}
}

func setDefault(dst *time.Duration, value time.Duration) {
	if *dst <= 0 {
		*dst = value
	}
}

// Configure changes the teams' quotas and the share of capacity that long work leaves free. Teams that
// are not listed may use the whole data centre.
func (sc *Scheduler) Configure(ctx context.Context, teams []modeler.Team, shortReserve float64) error {
	return sc.runInLoop(ctx, func(done func(error)) {
		for _, tm := range sc.queue.teams {
			tm.quota = 1
		}
		for _, tm := range teams {
			sc.queue.team(tm.Name).quota = tm.Quota
		}
		sc.placer.SetShortReserve(shortReserve)
		sc.roundNeeded = true
		done(nil)
	})
}

// Run decides until ctx ends or another host leads, and returns the reason: the error of ctx or
// ErrDeposed. When it returns, no command is in progress.
func (sc *Scheduler) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	sc.ctx = ctx
	logger.Log(sc.lg, logger.SchedulerStarted, "DataCentre", sc.opts.DataCentre, "Epoch", sc.opts.Epoch)
	err := sc.loop(ctx)
	cancel()
	sc.mailbox.close()
	close(sc.stopped)
	sc.sends.Wait()
	if errors.Is(err, ErrDeposed) {
		logger.Log(sc.lg, logger.SchedulerDeposed, "DataCentre", sc.opts.DataCentre, "Epoch", sc.opts.Epoch)
	}
	return err
}

func (sc *Scheduler) loop(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-sc.opts.Journal.Deposed():
			return ErrDeposed
		case <-sc.mailbox.signal:
			sc.mailbox.runAll(ctx)
		case <-ticker.C:
			sc.tick(time.Now())
		}
		if sc.writer.deposed {
			return ErrDeposed
		}
		sc.flush(time.Now())
	}
}

// tick does what is due by time.
func (sc *Scheduler) tick(now time.Time) {
	sc.updatePredecessorEnd(now)
	sc.updateAutonomy(now)
	sc.roundNeeded = sc.queue.releaseDelayed(now) || sc.roundNeeded
	sc.evictor.Refill(sc.runningBatch, now)
	usable := int64(0)
	for _, ws := range sc.tickOrder {
		sc.tickWorker(ws, now)
		if !ws.unschedulable {
			usable++
		}
	}
	sc.mt.Set(meter.WorkersUsable, usable)
	for name, rns := range sc.unlisted {
		sc.expireUnlisted(name, rns, now)
	}
	if !now.Before(sc.nextPrune) {
		sc.nextPrune = now.Add(time.Hour)
		sc.state.prune(now.Add(-sc.opts.KeepFinished))
	}
}

func (sc *Scheduler) updatePredecessorEnd(now time.Time) {
	if !sc.predecessorEnd.IsZero() {
		return
	}
	autonomy := sc.opts.LeaderAutonomy + modeler.DriftAllowance(sc.opts.LeaderAutonomy)
	if sc.opts.Epoch <= 1 || sc.opts.PredecessorStopped() || now.Sub(sc.epochBegan) >= autonomy {
		sc.predecessorEnd = now
	}
}

func (sc *Scheduler) updateAutonomy(now time.Time) {
	within := now.Sub(sc.writer.lastContact) < sc.opts.LeaderAutonomy
	if sc.withinAutonomy && !within {
		logger.Log(sc.lg, logger.AutonomyEnded, "DataCentre", sc.opts.DataCentre)
	}
	sc.withinAutonomy = within
}

// runInLoop runs fn in the goroutine of Run and waits for its result.
func (sc *Scheduler) runInLoop(ctx context.Context, fn func(done func(error))) error {
	result := make(chan error, 1)
	if !sc.mailbox.post(func() { fn(func(err error) { result <- err }) }) {
		return ErrNotLeading
	}
	select {
	case err := <-result:
		return err
	case <-ctx.Done():
	case <-sc.stopped:
	}
	select {
	case err := <-result:
		return err
	default:
		return fmt.Errorf("wait for the scheduler: %w", storer.ErrResultUnknown)
	}
}

// mailbox passes functions to the goroutine of Run without ever blocking the sender.
type mailbox struct {
	mu     sync.Mutex
	fns    []func()
	closed bool
	// wake holds one element while fns may not be empty.
	signal chan struct{}
}

// post reports false when the mailbox is closed.
func (mb *mailbox) post(fn func()) bool {
	mb.mu.Lock()
	defer mb.mu.Unlock()
	if mb.closed {
		return false
	}
	mb.fns = append(mb.fns, fn)
	select {
	case mb.signal <- struct{}{}:
	default:
	}
	return true
}

func (mb *mailbox) runAll(ctx context.Context) {
	mb.mu.Lock()
	fns := mb.fns
	mb.fns = nil
	mb.mu.Unlock()
	for _, fn := range fns {
		if ctx.Err() != nil {
			return
		}
		fn()
	}
}

func (mb *mailbox) close() {
	mb.mu.Lock()
	defer mb.mu.Unlock()
	mb.closed = true
}
