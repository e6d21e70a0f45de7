// Package scheduler schedules the batch work of one data centre. It runs only on the data centre's
// leader. Every decision is written to the journal, and its effect is sent to a worker only once
// the record is durable.
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
	"github.com/currantrouter/currantrouter/internal/process/pauser"
	"github.com/currantrouter/currantrouter/internal/provider/storer"
	"github.com/currantrouter/currantrouter/internal/provider/supervisor"
	"github.com/currantrouter/currantrouter/internal/telemetry/logger"
	"github.com/currantrouter/currantrouter/internal/telemetry/meter"
)

// Errors of the scheduler. Callers test for them with errors.Is.
var (
	// ErrDeposed means that another host leads the data centre.
	ErrDeposed = errors.New("another host leads the data centre")
	// ErrNotLeading means that the scheduler has stopped. The call had no effect.
	ErrNotLeading = errors.New("scheduler does not run on this host")
	// ErrInvalidJob means that a submitted job is malformed. The call had no effect.
	ErrInvalidJob = errors.New("invalid job")
	// ErrUnknownTask means that the job or task does not exist.
	ErrUnknownTask = errors.New("unknown task")
	// ErrNotResolvable means that the task is not in state Unknown.
	ErrNotResolvable = errors.New("task does not wait for an operator")
)

const (
	// maxStartDelay is the time from the decision within which a worker accepts a start command.
	maxStartDelay = 2 * time.Second
	// commandTimeout bounds one command to a worker.
	commandTimeout = 2 * time.Second
	// appendTimeout bounds one append to the journal. The result of an append that takes longer is
	// unknown.
	appendTimeout = 10 * time.Second
	// tickInterval is the time between checks for due reports, lease renewals and expired leases.
	tickInterval = 50 * time.Millisecond
	// heartbeatInterval is the longest time without an append. An append also reveals that the
	// leader was deposed.
	heartbeatInterval = time.Minute

	// DefaultLeaseTerm keeps tasks running while workers cannot reach the leader for a few minutes.
	DefaultLeaseTerm = 5 * time.Minute
	// DefaultRenewInterval is a fifth of DefaultLeaseTerm.
	DefaultRenewInterval = time.Minute
	// DefaultLeaderAutonomy keeps leases alive through a store outage of one hour, with a margin.
	DefaultLeaderAutonomy = 2 * time.Hour
	// DefaultReportInterval applies to up to 200 workers; see maxReportsPerSecond.
	DefaultReportInterval = 2 * time.Second
	// DefaultFinishedRetention is how long finished jobs are remembered, so that a sheet that lists a
	// finished job again does not run it again.
	DefaultFinishedRetention = 48 * time.Hour
)

// Journal is the journal of the data centre, fenced by the leader's epoch.
type Journal interface {
	// Append writes the records in order and returns nil once they are durable. It fails with
	// ErrDeposed when another host leads, and with storer.ErrUnavailable when nothing was written.
	// After any other error the records may be durable.
	Append(ctx context.Context, records ...[]byte) error
	// Position returns the position of the last durable record.
	Position() int64
	// Deposed is closed once another host leads.
	Deposed() <-chan struct{}
}

// Workers sends commands to workers. Every command carries the epoch of the sender, by which
// workers reject deposed leaders. The errors are those of package supervisor: after any error other
// than ErrRefused and ErrNoAttempt the command may have taken effect.
type Workers interface {
	Start(ctx context.Context, wk supervisor.Worker, cmd supervisor.StartCommand) error
	Stop(ctx context.Context, wk supervisor.Worker, epoch modeler.Epoch, at supervisor.Attempt) error
	// Checkpoint requests a checkpoint. The worker may let the attempt continue or stop it.
	Checkpoint(ctx context.Context, wk supervisor.Worker, epoch modeler.Epoch, at supervisor.Attempt) error
	// Throttle limits the attempt to a share of its processors; 1 lifts the limit.
	Throttle(ctx context.Context, wk supervisor.Worker, epoch modeler.Epoch, at supervisor.Attempt, share float64) error
	// Renew extends the leases of the attempts to term from now and returns the attempts that the
	// worker does not run.
	Renew(ctx context.Context, wk supervisor.Worker, epoch modeler.Epoch, term time.Duration, ats []supervisor.Attempt) ([]supervisor.Attempt, error)
	// Forget acknowledges ended attempts whose ends are recorded, so that the worker stops
	// reporting them.
	Forget(ctx context.Context, wk supervisor.Worker, epoch modeler.Epoch, ats []supervisor.Attempt) error
	Report(ctx context.Context, wk supervisor.Worker) (supervisor.WorkerReport, error)
}

// estimates is the part of *estimator.Estimator that the scheduler uses. Benchmarks replace it.
type estimates interface {
	Kind(name string) estimator.Kind
	Reservation(kd estimator.Kind, declared supervisor.Resources) supervisor.Resources
	Class(kd estimator.Kind) estimator.Class
	Interference(victim, aggressor estimator.Kind, load float64) float64
	ObserveUsage(kd estimator.Kind, peak supervisor.Resources)
	ObserveRunTime(kd estimator.Kind, run time.Duration)
	ObserveSlowdown(victim estimator.Kind, slowdown, load float64, others []estimator.Kind)
	Export() ([][]byte, error)
}

// placement is the part of *placer.Placer that the scheduler uses. Benchmarks replace it.
type placement interface {
	Place(tk placer.Task) (modeler.WorkerName, error)
	SetShortReserve(share float64)
	CanPlaceOn(name modeler.WorkerName, tk placer.Task) bool
	Clamp(estimate, declared supervisor.Resources) supervisor.Resources
	Fits(rs supervisor.Resources) bool
	Upsert(wk supervisor.Worker)
	Remove(name modeler.WorkerName)
	SetUnschedulable(name modeler.WorkerName, unschedulable bool)
	Reserve(name modeler.WorkerName, tk placer.Task) bool
	Adopt(name modeler.WorkerName, tk placer.Task) bool
	Release(name modeler.WorkerName, at supervisor.Attempt)
	ObserveUsage(name modeler.WorkerName, at supervisor.Attempt, usage supervisor.Resources) int
	UpdateIndex(name modeler.WorkerName)
	Capacity() supervisor.Resources
}

// Options configures a scheduler. Durations that are not positive mean the defaults.
type Options struct {
	DataCentre modeler.DataCentreName
	Epoch      modeler.Epoch
	Journal    Journal
	Workers    Workers
	Logger     logr.Logger
	Meter      *meter.Registry
	Teams      []modeler.Team
	// ShortReserve is the share of capacity, from 0 to 1, that long tasks leave free.
	ShortReserve   float64
	LeaseTerm      time.Duration
	RenewInterval  time.Duration
	LeaderAutonomy time.Duration
	// ReportInterval is the minimum time between two reports of a worker.
	ReportInterval time.Duration
	// FinishedRetention is the time for which finished jobs are remembered.
	FinishedRetention time.Duration
	ShortRunTime      time.Duration
	// PredecessorStopped reports whether the previous leader certainly renews no more leases,
	// because it has acknowledged this epoch or a newer boot of its host was seen. It must not
	// block. If it is nil, the scheduler waits for the end of the predecessor's autonomy.
	PredecessorStopped func() bool
	// Seed makes the random choices of placement reproducible.
	Seed uint64
}

// Recovery is the content of the journal at the beginning of this leader's epoch.
type Recovery struct {
	// Parts are the parts of the last snapshot, as ExportState returned them; nil without a
	// snapshot.
	Parts [][]byte
	// Records are the scheduler's records after the snapshot, in order. They may include records
	// that the snapshot covers, because records are idempotent.
	Records [][]byte
	// EpochBegan is the time, with a monotonic reading, at which the append of the epoch ended.
	EpochBegan time.Time
}

// Scheduler schedules the batch work of one data centre. Its exported methods are safe for
// concurrent use. All decisions are made in the goroutine of Run.
type Scheduler struct {
	opts Options
	lg   logr.Logger
	mt   *meter.Registry

	mailbox mailbox
	// stopped is closed once Run is about to return, so that waiting callers return too.
	stopped chan struct{}
	// sends counts the goroutines that send commands or append records.
	sends sync.WaitGroup

	// The fields below are used only by New and the goroutine of Run.

	ctx       context.Context
	state     *stateMachine
	queue     *queue
	estimator estimates
	placer    placement
	detector  *detector.Detector
	evictor   *evictor.Evictor
	workers   map[modeler.WorkerName]*workerState
	// tickOrder lists the workers in the order in which a tick visits them.
	tickOrder []*workerState
	// unlisted holds the active attempts, taken over from earlier leaders, on workers that
	// SetWorkers has not listed yet.
	unlisted map[modeler.WorkerName][]*activeAttempt
	// probesDue holds the quarantined workers whose probe is due.
	probesDue  map[modeler.WorkerName]*workerState
	writer     writer
	epochBegan time.Time
	leases     leaseRecords
	// roundNeeded is set when a change may allow a task to start.
	roundNeeded bool
	// round numbers the rounds of startTasks.
	round     uint64
	nextPrune time.Time
	// withinAutonomy is set while the last contact with the store is less than LeaderAutonomy ago.
	withinAutonomy bool
	// runningBatch counts the active attempts of tasks that are not latency-critical.
	runningBatch int
}

// New returns a scheduler with the recovered state. It fails if the snapshot or a record cannot be
// decoded.
func New(opts Options, rec Recovery) (*Scheduler, error) {
	opts.setDefaults()
	est := estimator.New(opts.ShortRunTime)
	sc := &Scheduler{
		opts:           opts,
		lg:             opts.Logger,
		mt:             opts.Meter,
		mailbox:        mailbox{signal: make(chan struct{}, 1)},
		stopped:        make(chan struct{}),
		state:          newStateMachine(),
		queue:          newQueue(),
		estimator:      est,
		placer:         placer.New(est, opts.ShortReserve, opts.Seed),
		detector:       detector.New(),
		evictor:        evictor.New(rec.EpochBegan),
		workers:        make(map[modeler.WorkerName]*workerState),
		probesDue:      make(map[modeler.WorkerName]*workerState),
		unlisted:       make(map[modeler.WorkerName][]*activeAttempt),
		epochBegan:     rec.EpochBegan,
		leases:         leaseRecords{bounds: make(map[modeler.WorkerName]*leaseBound), boundsDue: make(map[modeler.WorkerName]time.Time)},
		withinAutonomy: true,
	}
	sc.writer.lastContact = rec.EpochBegan
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
	setDefault(&op.FinishedRetention, DefaultFinishedRetention)
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

// Configure changes the teams' quotas and the share of capacity, from 0 to 1, that long tasks leave
// free. Teams that are not listed may use the whole data centre.
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

// Run schedules until ctx ends or another host leads, and returns the error of ctx or ErrDeposed.
// When it returns, no command or append is in progress.
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
		return err
	}
	sc.recordEnd()
	return err
}

func (sc *Scheduler) loop(ctx context.Context) error {
	ticker := pauser.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-sc.opts.Journal.Deposed():
			return ErrDeposed
		case <-sc.mailbox.signal:
			sc.mailbox.runAll(ctx)
		case <-ticker.Next():
			ticker.Advance()
			sc.tick(time.Now())
		}
		if sc.writer.deposed {
			return ErrDeposed
		}
		sc.flush(time.Now())
	}
}

// tick does everything that is due at a time.
func (sc *Scheduler) tick(now time.Time) {
	sc.checkPredecessor(now)
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
	for name, aas := range sc.unlisted {
		sc.expireUnlisted(name, aas, now)
	}
	sc.checkLeases(now)
	if !now.Before(sc.nextPrune) {
		sc.nextPrune = now.Add(time.Hour)
		sc.state.prune(now.Add(-sc.opts.FinishedRetention))
	}
}

func (sc *Scheduler) updateAutonomy(now time.Time) {
	within := now.Sub(sc.writer.lastContact) < sc.opts.LeaderAutonomy
	if sc.withinAutonomy && !within {
		logger.Log(sc.lg, logger.AutonomyEnded, "DataCentre", sc.opts.DataCentre)
	}
	sc.withinAutonomy = within
}

// runInLoop runs fn in the goroutine of Run and waits until fn calls done. It fails with
// ErrNotLeading when fn will not run, and with storer.ErrResultUnknown when ctx ends or Run returns
// first.
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

// mailbox passes functions to the goroutine of Run. Senders never block.
type mailbox struct {
	mu     sync.Mutex
	fns    []func()
	closed bool
	// signal has one element whenever fns may not be empty.
	signal chan struct{}
}

// post reports false, and drops fn, once the mailbox is closed.
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
