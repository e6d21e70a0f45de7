// Package leader runs a term of leadership: it begins an epoch of the journal, restores what earlier
// terms left, and feeds the director with jobs and workers until the term is over.
package leader

import (
	"context"
	"errors"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"github.com/currantrouter/currantrouter/internal/job/director"
	"github.com/currantrouter/currantrouter/internal/job/elector"
	"github.com/currantrouter/currantrouter/internal/job/keeper"
	"github.com/currantrouter/currantrouter/internal/job/modeler"
	"github.com/currantrouter/currantrouter/internal/job/watcher"
	"github.com/currantrouter/currantrouter/internal/provider/storer"
	"github.com/currantrouter/currantrouter/internal/state/journaler"
	"github.com/currantrouter/currantrouter/internal/telemetry/logger"
	"github.com/currantrouter/currantrouter/internal/telemetry/meter"
)

const (
	// journalName is that of the installation's only journal of facts.
	journalName = "Jobs"
	// journalWrites bounds the writes of the journal a second, well below what the store allows.
	journalWrites = 20
	// journalCall bounds a call of the journal to the store, so that a connection that has gone
	// silent is given up. journalRetry and journalBackOff keep a short outage from lasting longer
	// than it is.
	journalCall    = 1200 * time.Millisecond
	journalRetry   = time.Second
	journalBackOff = 400 * time.Millisecond
	// openLimit bounds the beginning of an epoch. What spoke for a takeover may no longer hold after it.
	// It doubles with each attempt that failed, up to openDoublings times: a host on a slow link may need
	// longer to read the journal, and would else never lead.
	openLimit     = 1500 * time.Millisecond
	openDoublings = 2
	// checkInterval is the time after which the end of an idle journal is read.
	checkInterval = time.Second
	// authorityLimit is how long a leader gives orders without a sign that it still leads.
	authorityLimit = 4 * time.Second
	// jobsGather and workersGather are the pauses between two looks at what is stored. Hosts tell the
	// leader of jobs at once. Each worker writes its entry every 1.5 s, and one that drains must get no
	// tasks after 2 s.
	jobsGather    = 100 * time.Millisecond
	workersGather = 250 * time.Millisecond
	// leaseSlack is added to the time that leases of an earlier leader may last, for the share by
	// which a worker's clock may be slow and for orders on their way.
	leaseSlack = 500 * time.Millisecond
)

// Store is the key-value service.
type Store interface {
	elector.Store
	List(ctx context.Context, prefix, after string, limit int) ([]storer.Entry, error)
	Wait(ctx context.Context, prefix string, after int64) ([]storer.Entry, int64, error)
}

// Registry says where workers register and how their entries read.
type Registry struct {
	// Prefix is that of the workers' entries.
	Prefix string
	// Decode returns the worker of an entry, or why the entry names none.
	Decode func(en storer.Entry) (modeler.Worker, error)
}

// Options are the parts that a leader works with.
type Options struct {
	Self          elector.Member
	Store         Store
	Registry      Registry
	WorkerClient  director.WorkerClient
	Policy        director.Policy
	Limits        director.Limits
	Configuration func() *modeler.Configuration
	// Suspended is how long this host has been suspended since it started, which steady clocks do
	// not count.
	Suspended func() time.Duration
	Log       logr.Logger
	Meter     *meter.Registry
}

// Leader runs terms. It is safe for concurrent use.
type Leader struct {
	op      Options
	elector *elector.Elector
	current atomic.Pointer[director.Director]
	// failed is the number of attempts to begin an epoch that failed in a row as the journal could not
	// be read in time.
	failed atomic.Int32
}

// New returns a leader without a term.
func New(op Options) *Leader { return &Leader{op: op} }

// SetElector names the elector that asks for terms. It is called once, before the first term.
func (ld *Leader) SetElector(el *elector.Elector) { ld.elector = el }

// Director returns that of the present term, or nil.
func (ld *Leader) Director() *director.Director { return ld.current.Load() }

// Lead is an elector.Term.
func (ld *Leader) Lead(ctx context.Context, pred elector.Predecessor) error {
	began := time.Now()
	doublings := min(ld.failed.Load(), openDoublings)
	octx, cancel := context.WithTimeout(ctx, openLimit<<doublings)
	defer cancel()
	jn, rec, err := journaler.Open(octx, ld.op.Store, journalName, ld.op.Self.Host, ld.op.Self.Boot, journaler.Options{
		WritesPerSecond: journalWrites, RetryLimit: journalRetry, MaxBackOff: journalBackOff,
		CallLimit: journalCall, OpenCallLimit: journalCall << doublings,
		Logger: ld.op.Log, Meter: ld.op.Meter,
	})
	if errors.Is(err, journaler.ErrUnavailable) {
		ld.failed.Add(1)
	}
	if err != nil {
		return err
	}
	ld.failed.Store(0)
	defer jn.Close()
	ld.elector.EpochBegun(modeler.Epoch(rec.Epoch))
	tm := &term{leader: ld, journal: jn, authority: newAuthority(ld, jn)}
	dr := director.New(director.Options{
		Epoch: modeler.Epoch(rec.Epoch), WorkerClient: ld.op.WorkerClient, Journal: jn, Policy: ld.op.Policy, JobStore: keeper.NewJobStore(ld.op.Store),
		Configuration: ld.op.Configuration, Authorized: tm.authority.valid, InheritedLease: ld.inherited(rec, pred),
		Limits: ld.op.Limits, Log: ld.op.Log, Meter: ld.op.Meter,
	})
	dr.Restore(slices.Concat(rec.Parts, rec.Records))
	tm.director = dr
	ld.current.Store(dr)
	defer ld.current.Store(nil)
	logger.Log(ld.op.Log, logger.TermBegun, "Epoch", rec.Epoch, "Previous", rec.PreviousHost, "Facts", len(rec.Parts)+len(rec.Records), "Took", time.Since(began).String())
	return tm.run(ctx)
}

// inherited returns how long workers that do not answer may run tasks for earlier leaders.
func (ld *Leader) inherited(rec journaler.Recovery, pred elector.Predecessor) time.Duration {
	lease := ld.op.Limits.Lease + ld.op.Limits.Lease/50 + leaseSlack
	if rec.PreviousHost == "" {
		return 0
	}
	if pred.Stopped || ld.elector.Replaced(rec.PreviousHost, rec.PreviousBoot) {
		return lease
	}
	return lease + authorityLimit
}

// term is one term while it runs.
type term struct {
	leader    *Leader
	director  *director.Director
	journal   *journaler.Journal
	authority *authority
	loaded    sync.Once
}

func (tm *term) run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	var loops sync.WaitGroup
	defer loops.Wait()
	defer cancel()
	op := &tm.leader.op
	jobs := watcher.New(op.Store, keeper.Prefix, watcher.Sink{Reset: tm.resetJobs, Apply: tm.applyJobs}, "jobs", jobsGather, op.Log)
	workers := watcher.New(op.Store, op.Registry.Prefix, watcher.Sink{Reset: tm.resetWorkers, Apply: tm.applyWorkers}, "workers", workersGather, op.Log)
	tm.director.Start(ctx)
	loops.Go(func() { jobs.Run(ctx) })
	loops.Go(func() { workers.Run(ctx) })
	loops.Go(func() { tm.checkLoop(ctx) })
	return tm.director.Wait()
}

// resetJobs takes all stored jobs. Those of the first time may have been started by an earlier
// leader; a job that is stored later cannot, see director.Confirm.
func (tm *term) resetJobs(ens []storer.Entry) {
	first := false
	tm.loaded.Do(func() { first = true })
	tm.takeJobs(ens, first)
	if first {
		tm.director.FinishLoading()
	}
}

func (tm *term) applyJobs(ens []storer.Entry) { tm.takeJobs(ens, false) }

// takeJobs takes stored changes, jobs before cancellations: keys need not have the order of writes.
func (tm *term) takeJobs(ens []storer.Entry, inherited bool) {
	var cancelled []modeler.JobID
	for _, en := range ens {
		ch, ok, err := keeper.ParseChange(en)
		switch {
		case err != nil:
			logger.Log(tm.leader.op.Log, logger.JobDamaged, "Key", en.Key, "Error", err.Error())
		case !ok:
		case ch.Job == nil:
			cancelled = append(cancelled, ch.ID)
		default:
			tm.director.Add(ch.Job, inherited)
		}
	}
	for _, id := range cancelled {
		tm.director.Cancel(id)
	}
}

func (tm *term) resetWorkers(ens []storer.Entry) {
	var list []modeler.Worker
	for _, en := range ens {
		if wk, ok := tm.worker(en); ok {
			list = append(list, wk)
		}
	}
	tm.director.SetWorkers(list)
}

func (tm *term) applyWorkers(ens []storer.Entry) {
	for _, en := range ens {
		if en.Deleted {
			tm.director.RemoveWorker(modeler.WorkerID(strings.TrimPrefix(en.Key, tm.leader.op.Registry.Prefix)))
			continue
		}
		if wk, ok := tm.worker(en); ok {
			tm.director.UpdateWorker(wk)
		}
	}
}

// worker decodes an entry of the registry, and logs one that names no worker.
func (tm *term) worker(en storer.Entry) (modeler.Worker, bool) {
	wk, err := tm.leader.op.Registry.Decode(en)
	if err != nil {
		logger.Log(tm.leader.op.Log, logger.WorkerEntryInvalid, "Key", en.Key, "Error", err.Error())
	}
	return wk, err == nil
}

// checkLoop reads the end of the journal while nothing is appended, so that a leader learns that it
// is deposed.
func (tm *term) checkLoop(ctx context.Context) {
	tk := time.NewTicker(checkInterval / 2)
	defer tk.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tm.journal.Deposed():
			tm.director.Depose("journal has a later epoch")
			return
		case <-tk.C:
		}
		if time.Since(tm.journal.Confirmed()) < checkInterval {
			tm.authority.confirm()
			continue
		}
		cctx, cancel := context.WithTimeout(ctx, journalCall)
		err := tm.journal.Check(cctx)
		cancel()
		switch {
		case err == nil:
			tm.authority.confirm()
		case errors.Is(err, journaler.ErrDeposed):
			tm.director.Depose("journal has a later epoch")
			return
		}
	}
}

// authority tells whether this host may still give orders.
type authority struct {
	leader  *Leader
	journal *journaler.Journal

	mu sync.Mutex
	// suspended is the time that the host had been suspended at the last confirmation, and at when
	// that was.
	suspended time.Duration
	at        time.Time
}

func newAuthority(ld *Leader, jn *journaler.Journal) *authority {
	return &authority{leader: ld, journal: jn, suspended: ld.op.Suspended(), at: time.Now()}
}

func (au *authority) confirm() {
	suspended := au.leader.op.Suspended()
	confirmed := au.journal.Confirmed()
	au.mu.Lock()
	defer au.mu.Unlock()
	if confirmed.After(au.at) {
		au.at, au.suspended = confirmed, suspended
	}
}

// valid reports whether no other host can have taken over for so long that it counts on this one
// having stopped. A host with a majority of listeners would have been told.
func (au *authority) valid() bool {
	au.mu.Lock()
	at, suspended := au.at, au.suspended
	au.mu.Unlock()
	slept := au.leader.op.Suspended() - suspended
	if slept > authorityLimit {
		return false
	}
	return time.Since(at)+slept < authorityLimit || slept < time.Second && au.leader.elector.HasQuorum()
}
