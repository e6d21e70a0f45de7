package director_test

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"

	"github.com/currantrouter/currantrouter/internal/job/director"
	"github.com/currantrouter/currantrouter/internal/job/evacuator"
	"github.com/currantrouter/currantrouter/internal/job/keeper"
	"github.com/currantrouter/currantrouter/internal/job/modeler"
	"github.com/currantrouter/currantrouter/internal/provider/emulator"
	"github.com/currantrouter/currantrouter/internal/state/journaler"
	"github.com/currantrouter/currantrouter/internal/telemetry/meter"
)

const testPool modeler.PoolName = "pool"

// testLease is the lease of the deployments, longestLease that lease by the slowest clock.
const (
	testLease    = 6 * time.Second
	longestLease = testLease + testLease/50
)

// testLimits are the limits of the deployments.
var testLimits = director.Limits{
	Lease: testLease, StopGrace: 400 * time.Millisecond, Retention: 2 * time.Minute,
	RestoreTime: 100 * time.Millisecond, OverTargetGrace: 4 * time.Second, RemoteDataFactor: 1.5,
}

// fleet is a store and workers that exist across several terms.
type fleet struct {
	t       testing.TB
	faults  *emulator.Faults
	store   *emulator.Store
	workers *emulator.JobWorkers
	infos   []modeler.Worker
	config  *modeler.Configuration
	jobs    []*modeler.Job
	// client is nil where requests reach the workers without delay.
	client director.WorkerClient
	// jobStore is nil where the jobs are read from the store.
	jobStore director.JobStore
	// unlisted is a stored job that the next leader does not find in its listing.
	unlisted *modeler.Job
	// policy is nil where every worker may run every step.
	policy director.Policy
	// logs receives the log of all terms, and registry their metrics.
	logs     *logRecorder
	registry *meter.Registry
	// predecessorStopped is what the next leader knows of the last one, predecessorSeenFor for how long it has
	// known of it.
	predecessorStopped atomic.Bool
	predecessorSeenFor time.Duration
	// shortagePolicy is that of the next leader, DeadlinePolicy if it is empty.
	shortagePolicy director.ShortagePolicy
	// wrapJournal replaces the journal of the next leader, if it is not nil.
	wrapJournal func(director.Journal) director.Journal
	// journalFails is set if the journal may not accept the record of the end of a term.
	journalFails bool
	// addEarly makes entry hosts report the jobs to the next leader before it has loaded them.
	addEarly bool
	// loadTime is how long the next leader takes to read the stored jobs.
	loadTime time.Duration
	// cancelled holds the jobs whose cancellation is stored.
	cancelled []modeler.JobID
	// unregistered holds the workers of infos that the registry lists no more.
	unregistered map[modeler.WorkerID]bool
	// mayExtendLeases is nil where the leader may always extend leases.
	mayExtendLeases func() bool
	// evacuator is nil where evacuations are not read.
	evacuator *evacuator.Evacuator

	// mu guards the fields below, and jobs and cancelled where others read them.
	mu sync.Mutex
	// behaviours holds how tasks behave. A task without an entry runs for a second.
	behaviours map[modeler.TaskID]emulator.TaskBehaviour
	// grey holds the workers on which runs fail after greyRunTime, failing the tasks that started on one last.
	grey    map[modeler.WorkerID]bool
	failing map[modeler.TaskID]bool
}

// greyRunTime is the time after which a run on a grey worker fails.
const greyRunTime = 50 * time.Millisecond

// setBehaviour sets how a task behaves from its next run on.
func (fl *fleet) setBehaviour(id modeler.TaskID, bh emulator.TaskBehaviour) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	fl.behaviours[id] = bh
}

// newFleet returns a fleet of workers with 16 cores each, four to a rack.
func newFleet(t testing.TB, workers int) *fleet {
	fl := &fleet{t: t, faults: new(emulator.Faults), behaviours: map[modeler.TaskID]emulator.TaskBehaviour{}, logs: new(logRecorder), registry: meter.New(nil)}
	fl.store = emulator.NewStore(fl.faults)
	fl.workers = emulator.NewJobWorkers(fl.faults, fl.behave)
	for ix := range workers {
		fl.infos = append(fl.infos, fl.workers.Add(workerInfo(ix)))
	}
	fl.config = &modeler.Configuration{Revision: 1, Queues: []modeler.Queue{
		{Name: "urgent", Pool: testPool, Priority: 0, Attempts: 2, MaxSlowdown: 1.5, Slack: 250 * time.Millisecond},
		{Name: "batch", Pool: testPool, Priority: 2, Attempts: 3, MaxSlowdown: 2, Slack: time.Second},
	}}
	return fl
}

func workerInfo(ix int) modeler.Worker {
	return modeler.Worker{
		ID: modeler.WorkerID(fmt.Sprintf("worker-%02d", ix)), Pool: testPool,
		Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(ix / 200), byte(ix % 200)}), 80), Labels: []string{"kind-a"},
		Rack:     fmt.Sprintf("rack-%d", ix/4),
		Capacity: modeler.Resources{MilliCores: 16000, MemoryMB: 64000},
	}
}

// configuration returns the configuration in force.
func (fl *fleet) configuration() *modeler.Configuration {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	return fl.config
}

// setConfiguration puts a configuration in force while a term runs.
func (fl *fleet) setConfiguration(cfg *modeler.Configuration) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	fl.config = cfg
}

func (fl *fleet) behave(id modeler.TaskID) emulator.TaskBehaviour {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	bh, ok := fl.behaviours[id]
	if !ok {
		bh.RunTime = time.Second
	}
	if fl.failing[id] {
		bh.RunTime, bh.Fails = greyRunTime, true
	}
	for _, jb := range fl.jobs {
		if jb.ID == id.Job {
			sp := jb.Steps[id.Step]
			bh.Reservation = sp.Needs
			if sp.BestEffort {
				bh.Reservation.MilliCores, bh.UnreservedMilliCores = 0, sp.Needs.MilliCores
			}
			bh.LongRunning, bh.Checkpoints = sp.LongRunning, sp.Checkpoints
		}
	}
	return bh
}

// term is one term of leadership over a fleet.
type term struct {
	*director.Director
	fleet *fleet
	// records is the number of journal records after the last snapshot that the term had to read.
	records int
	// segments is the number of the journal's segments after the last snapshot that the term had to read.
	segments int64
	cancel   context.CancelFunc
	ended    chan struct{}
	// resigns is set if the leader stops in order and records the end of its term.
	resigns *atomic.Bool
	// sendsUntil is when the leader stops sending requests to workers, in Unix nanoseconds, or zero.
	sendsUntil *atomic.Int64
}

// maySend reports whether the leader still sends requests to workers.
func (tm *term) maySend() bool {
	until := tm.sendsUntil.Load()
	return until == 0 || time.Now().UnixNano() < until
}

// journalOptions are those of package leader, but for EpochRecords, as a leader of an earlier version has them.
var journalOptions = journaler.Options{
	WritesPerSecond: 20, RetryTimeout: time.Second, MaxBackOff: 400 * time.Millisecond, CallTimeout: 1200 * time.Millisecond, Logger: logr.Discard(),
}

// startTerm starts the next term.
func (fl *fleet) startTerm(inherited time.Duration) *term {
	tm := fl.beginTerm(inherited)
	load := func() {
		fl.mu.Lock()
		jobs, cancelled := slices.Clone(fl.jobs), slices.Clone(fl.cancelled)
		fl.mu.Unlock()
		for _, jb := range jobs {
			tm.AddJob(jb, !fl.addEarly)
		}
		for _, id := range cancelled {
			tm.Director.CancelJob(id, director.FromTermStart)
		}
		tm.FinishLoading()
	}
	if fl.loadTime > 0 {
		time.AfterFunc(fl.loadTime, load)
	} else {
		load()
	}
	return tm
}

// beginTerm starts the next term without its jobs.
func (fl *fleet) beginTerm(inherited time.Duration) *term {
	op := journalOptions
	op.EpochRecords = director.EpochRecords(nil)
	jn, rec, err := journaler.Open(fl.t.Context(), fl.store, "jobs", "host", "boot", op)
	for errors.Is(err, journaler.ErrUnavailable) || errors.Is(err, journaler.ErrResultUnknown) {
		time.Sleep(journalOptions.MaxBackOff)
		jn, rec, err = journaler.Open(fl.t.Context(), fl.store, "jobs", "host", "boot", op)
	}
	qt.Assert(fl.t, err, qt.IsNil)
	client := fl.client
	if client == nil {
		client = fl.workers
	}
	jobStore := fl.jobStore
	if jobStore == nil {
		jobStore = keeper.NewJobStore(fl.store)
	}
	var journal director.Journal = jn
	if fl.wrapJournal != nil {
		journal = fl.wrapJournal(jn)
	}
	limits := testLimits
	limits.ShortagePolicy = fl.shortagePolicy
	tm := &term{fleet: fl, records: len(rec.Records), segments: rec.Position - rec.SnapshotPosition, ended: make(chan struct{}), resigns: new(atomic.Bool), sendsUntil: new(atomic.Int64)}
	dr := director.New(director.Options{
		Epoch: modeler.Epoch(rec.Epoch), WorkerClient: client, Journal: journal, JobStore: jobStore,
		Configuration: fl.configuration, MaySendRequests: tm.maySend, MayExtendLeases: fl.mayExtendLeases,
		Policy: fl.policy, InheritedLease: inherited, PredecessorStopped: func() (time.Time, bool) { return time.Now(), fl.predecessorStopped.Load() }, PredecessorSeenFor: fl.predecessorSeenFor,
		SnapshotPosition: rec.SnapshotPosition, FactsSinceSnapshot: len(rec.Records), LoadHints: true, Evacuator: fl.evacuator, Limits: limits, Log: fl.logs.logger(fl.t), Meter: fl.registry,
	})
	dr.Restore(append(rec.SnapshotRecords, rec.Records...))
	ctx, cancel := context.WithCancel(context.Background())
	tm.Director, tm.cancel = dr, cancel
	dr.Start(ctx)
	dr.SetWorkers(slices.DeleteFunc(slices.Clone(fl.infos), func(wk modeler.Worker) bool { return fl.unregistered[wk.ID] }))
	go func() {
		defer close(tm.ended)
		err := dr.Wait()
		qt.Check(fl.t, err == nil || errors.Is(err, director.ErrTermOver), qt.IsTrue)
		if tm.resigns.Load() {
			err := dr.RecordEnd(context.Background())
			qt.Check(fl.t, err == nil || fl.journalFails, qt.IsTrue, qt.Commentf("%v", err))
		}
		jn.Close()
	}()
	return tm
}

// CancelJob passes on a cancellation as the host that stored it does.
func (tm *term) CancelJob(id modeler.JobID) { tm.Director.CancelJob(id, director.FromHost) }

// end ends the term as the failure of its host does: without a word to the workers.
func (tm *term) end() {
	tm.cancel()
	<-tm.ended
}

// submit stores a job and adds it to the director.
func (tm *term) submit(jb *modeler.Job) {
	jb.Submitted = time.Now()
	if jb.Pool == "" {
		jb.Pool = testPool
	}
	tm.fleet.mu.Lock()
	tm.fleet.jobs = append(tm.fleet.jobs, jb)
	tm.fleet.mu.Unlock()
	qt.Assert(tm.fleet.t, keeper.NewJobStore(tm.fleet.store).Submit(tm.fleet.t.Context(), jb), qt.IsNil)
	tm.AddJob(jb, false)
}

// cores returns the needs of a task, from thousandths of a core.
func cores(milli int64) modeler.Resources {
	return modeler.Resources{MilliCores: milli, MemoryMB: 100}
}

// simpleJob returns a job of one step.
func simpleJob(id modeler.JobID, queue modeler.QueueName, count int, needs modeler.Resources) *modeler.Job {
	return &modeler.Job{ID: id, Queue: queue, Spec: "spec", Steps: []modeler.Step{{Count: count, Needs: needs, Estimate: time.Second}}}
}

// submitBusy starts a long-running task on each of a number of workers, which uses a part of it in thousandths of a core.
func (tm *term) submitBusy(workers int, used int64) {
	jb := longRunningJob("busy", "urgent", workers, cores(used))
	jb.Steps[0].MaxPerWorker = 1
	tm.submit(jb)
	sleep(3 * time.Second)
}

// assertState checks the state that is reported to callers of a job.
func (tm *term) assertState(id modeler.JobID, want modeler.State) {
	tm.fleet.t.Helper()
	got, ok := tm.JobState(id)
	qt.Assert(tm.fleet.t, ok, qt.IsTrue, qt.Commentf("job %s is not known", id))
	qt.Assert(tm.fleet.t, got, qt.Equals, want, qt.Commentf("job %s", id))
}

// allCompleted reports whether every job is reported as completed.
func (tm *term) allCompleted() bool {
	for _, jb := range tm.fleet.jobs {
		if st, _ := tm.JobState(jb.ID); st != modeler.Completed {
			return false
		}
	}
	return true
}

// awaitAll sleeps until every job is completed, but no longer than the limit.
func (tm *term) awaitAll(limit time.Duration) {
	for began := time.Now(); time.Since(began) < limit && !tm.allCompleted(); {
		sleep(100 * time.Millisecond)
	}
}

// assertNoViolations checks that the emulated workers saw nothing that must never happen.
func (fl *fleet) assertNoViolations() {
	fl.t.Helper()
	qt.Assert(fl.t, fl.workers.Violations(), qt.HasLen, 0)
}

// run runs a test with a synctest clock and one term, which it ends after the test.
func run(t *testing.T, workers int, test func(fl *fleet, tm *term)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		fl := newFleet(t, workers)
		tm := fl.startTerm(0)
		// A failed assertion ends the test, and synctest needs all goroutines to end.
		defer func() { tm.end() }()
		test(fl, tm)
		tm.end()
		fl.assertNoViolations()
	})
}

// sleep advances the clock and waits until all that follows from it has happened.
func sleep(dur time.Duration) {
	time.Sleep(dur)
	synctest.Wait()
}
