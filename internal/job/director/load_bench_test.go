package director_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http/httptest"
	"net/netip"
	"sync"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"

	"github.com/currantrouter/currantrouter/internal/cluster/messenger"
	fleetmodeler "github.com/currantrouter/currantrouter/internal/fleet/modeler"
	"github.com/currantrouter/currantrouter/internal/job/director"
	"github.com/currantrouter/currantrouter/internal/job/elector"
	"github.com/currantrouter/currantrouter/internal/job/modeler"
	"github.com/currantrouter/currantrouter/internal/job/relayer"
	"github.com/currantrouter/currantrouter/internal/request/prober"
	"github.com/currantrouter/currantrouter/internal/state/journaler"
	"github.com/currantrouter/currantrouter/internal/telemetry/logger"
	"github.com/currantrouter/currantrouter/internal/telemetry/meter"
	"github.com/currantrouter/currantrouter/internal/telemetry/reporter"
)

// quickWorkers are workers that cost little processor time, so that a benchmark measures the director. They
// start whatever they are asked to start.
type quickWorkers struct {
	began   time.Time
	mu      sync.Mutex
	workers map[modeler.WorkerID]*quickWorker
	starts  int
	// runTime is the run time by step, zero for a long-running one.
	runTime func(modeler.TaskID) time.Duration
}

type quickWorker struct {
	running map[modeler.TaskID]modeler.ActiveRun
	ended   []modeler.EndedRun
	lastEnd int64
	// wake has a value when an end was added.
	wake chan struct{}
}

func (qw *quickWorkers) Start(_ context.Context, wk *modeler.Worker, req *modeler.StartRequest) (time.Duration, error) {
	qw.mu.Lock()
	defer qw.mu.Unlock()
	qw.starts++
	worker := qw.workers[wk.ID]
	dur := qw.runTime(req.Task)
	measure := 60 + int64(req.Task.Index)
	if dur > 0 {
		// The processor use of a run that ends.
		measure = 5000
	}
	worker.running[req.Task] = modeler.ActiveRun{Task: req.Task, Run: req.Run, Progress: 100, Measure: measure}
	if dur > 0 {
		time.AfterFunc(dur, func() { qw.end(worker, req.Task, req.Run, modeler.Done) })
	}
	return time.Since(qw.began), nil
}

func (qw *quickWorkers) end(worker *quickWorker, id modeler.TaskID, run modeler.Run, oc modeler.Outcome) {
	qw.mu.Lock()
	defer qw.mu.Unlock()
	if worker.running[id].Run != run {
		return
	}
	delete(worker.running, id)
	worker.lastEnd++
	worker.ended = append(worker.ended, modeler.EndedRun{Number: worker.lastEnd, Task: id, Run: run, Outcome: oc})
	select {
	case worker.wake <- struct{}{}:
	default:
	}
}

func (qw *quickWorkers) Stop(_ context.Context, wk *modeler.Worker, id modeler.TaskID, run modeler.Run, _ modeler.Fence) error {
	qw.end(qw.workers[wk.ID], id, run, modeler.Stopped)
	return nil
}

func (qw *quickWorkers) Pace(context.Context, *modeler.Worker, modeler.TaskID, modeler.Run, int, modeler.Fence) error {
	return nil
}

func (qw *quickWorkers) Renew(ctx context.Context, wk *modeler.Worker, req *modeler.RenewRequest) (modeler.Report, error) {
	worker := qw.workers[wk.ID]
	qw.mu.Lock()
	for len(worker.ended) > 0 && worker.ended[0].Number <= req.AckedEnd {
		worker.ended = worker.ended[1:]
	}
	waits := len(worker.ended) == 0 && req.MaxWait > 0
	qw.mu.Unlock()
	if waits {
		select {
		case <-worker.wake:
		case <-time.After(req.MaxWait):
		case <-ctx.Done():
			return modeler.Report{}, modeler.ErrNoAnswer
		}
	}
	qw.mu.Lock()
	defer qw.mu.Unlock()
	rep := modeler.Report{Clock: time.Since(qw.began), Incarnation: 1, LastEnd: worker.lastEnd}
	for _, run := range worker.running {
		rep.Running = append(rep.Running, run)
	}
	rep.Ended = append(rep.Ended, worker.ended...)
	return rep, nil
}

// processorTime returns the processor time that this process has used.
func processorTime() time.Duration {
	var ru syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &ru) != nil {
		return 0
	}
	return time.Duration(ru.Utime.Nano() + ru.Stime.Nano())
}

// largeLoad is the load of a large deployment: urgent jobs, wide best-effort jobs and latency-critical ones. The tasks of
// each step need something else.
type largeLoad struct {
	workers int
	// perSecond is the number of jobs that are submitted each second. The mean job starts 60 tasks.
	perSecond float64
	// criticalImages and bestEffortImages are the numbers of images.
	criticalImages, bestEffortImages int
	// criticalJobs of 24 latency-critical tasks run from the beginning.
	criticalJobs int
	length       time.Duration
	// relays is the number of hosts that carry out requests to workers, over HTTP.
	relays int
}

// startRelays returns a client whose requests are carried out by relays in this process.
func startRelays(tb testing.TB, workers director.WorkerClient, relays int) *relayer.Client {
	suspended := func() time.Duration { return 0 }
	var hosts []relayer.Host
	pool := elector.NewClientPool(prober.DialHTTP)
	for ix := range relays {
		server := relayer.NewServer(relayer.ServerOptions{
			Client: workers, KnownEpoch: func() modeler.Epoch { return 1 }, SuspendedTime: suspended, Log: logr.Discard(), Meter: meter.New(nil),
		})
		ts := httptest.NewServer(messenger.NewRelayServer(server))
		tb.Cleanup(ts.Close)
		tb.Cleanup(server.Close)
		address, err := netip.ParseAddrPort(ts.Listener.Addr().String())
		qt.Assert(tb, err, qt.IsNil)
		hosts = append(hosts, relayer.Host{Name: fleetmodeler.HostName(fmt.Sprint("relay-", ix)), DataCentre: "z", Address: address, Weight: 800})
	}
	cl := relayer.NewClient(relayer.Options{
		Epoch: 1, Host: "leader", Boot: "boot", Weight: 800, MaySend: func() bool { return true }, SuspendedTime: suspended,
		Hosts: func() []relayer.Host { return hosts }, Dial: pool.DialRelay, Direct: workers,
		Invalid: reporter.New(logr.Discard(), meter.New(nil)), Log: logr.Discard(), Meter: meter.New(nil),
	})
	go cl.Run(tb.Context())
	return cl
}

// loadResult is what a load has cost.
type loadResult struct {
	starts    int
	took      time.Duration
	processor time.Duration
	// costs is the number of costs of a worker for a task that were computed.
	costs int64
}

// newQuickWorkers returns workers, and adds them to the fleet.
func newQuickWorkers(fl *fleet, workers int) *quickWorkers {
	qw := &quickWorkers{began: time.Now(), workers: map[modeler.WorkerID]*quickWorker{}}
	for ix := range workers {
		info := workerInfo(ix)
		info.Capacity = modeler.Resources{MilliCores: 64000, MemoryMB: 250000}
		info.Incarnation = 1
		qw.workers[info.ID] = &quickWorker{running: map[modeler.TaskID]modeler.ActiveRun{}, wake: make(chan struct{}, 1)}
		fl.infos = append(fl.infos, info)
	}
	return qw
}

// play plays the load.
func (ll *largeLoad) play(tb testing.TB) loadResult {
	fl := newFleet(tb, 0)
	qw := newQuickWorkers(fl, ll.workers)
	var runTimes sync.Map
	qw.runTime = func(id modeler.TaskID) time.Duration {
		dur, _ := runTimes.Load(id.Job)
		return dur.(time.Duration)
	}
	lg, err := logger.New(io.Discard, "json")
	qt.Assert(tb, err, qt.IsNil)
	var client director.WorkerClient = qw
	if ll.relays > 0 {
		client = startRelays(tb, qw, ll.relays)
	}
	dr := director.New(director.Options{
		Epoch: 1, WorkerClient: client, Journal: emptyJournal{}, Configuration: func() *modeler.Configuration { return fl.config },
		MaySendRequests: func() bool { return true }, Limits: testLimits, Log: lg, Meter: fl.registry,
	})
	ctx, cancel := context.WithCancel(tb.Context())
	dr.Start(ctx)
	dr.SetWorkers(fl.infos)
	dr.FinishLoading()
	rnd := rand.New(rand.NewPCG(1, 7))
	jobs := 0
	submit := func(queue modeler.QueueName, dur time.Duration, steps ...modeler.Step) {
		for ix := range steps {
			steps[ix].Needs.MilliCores = int64(float64(steps[ix].Needs.MilliCores) * (0.6 + 0.8*rnd.Float64()))
			if ix > 0 {
				steps[ix].After = []int{ix - 1}
			}
		}
		jb := &modeler.Job{ID: modeler.JobID(fmt.Sprintf("%016x", jobs)), Queue: queue, Pool: testPool, Spec: "spec", Submitted: time.Now(), Steps: steps}
		jobs++
		runTimes.Store(jb.ID, dur)
		dr.AddJob(jb, false)
	}
	critical := func() {
		submit("urgent", 0, modeler.Step{
			Count: 24, Needs: modeler.Resources{MilliCores: 6000, MemoryMB: 500}, LongRunning: true, TailTarget: 150 * time.Millisecond,
			Image: fmt.Sprint("critical", rnd.IntN(ll.criticalImages)), MaxPerWorker: 2, Estimate: 420 * time.Millisecond,
		})
	}
	for range ll.criticalJobs {
		critical()
	}
	time.Sleep(5 * time.Second)
	before := func() int64 { return fl.registry.Value(meter.PlacementCostsComputed) }
	began, used, started, costs := time.Now(), processorTime(), qw.starts, before()
	for no := 0; time.Since(began) < ll.length; no++ {
		switch kind := rnd.Float64() * 42.55; {
		case kind < 13.4:
			step := modeler.Step{Count: 13, Needs: modeler.Resources{MilliCores: 13000, MemoryMB: 500}, Estimate: 850 * time.Millisecond}
			submit("urgent", 850*time.Millisecond, []modeler.Step{step, step}[:1+rnd.IntN(2)]...)
		case kind < 41.5:
			step := modeler.Step{
				Count: 40, Needs: modeler.Resources{MilliCores: 7000, MemoryMB: 500}, BestEffort: true, Checkpoints: true,
				Image: fmt.Sprint("best-effort", rnd.IntN(ll.bestEffortImages)), Estimate: 1400 * time.Millisecond,
			}
			submit("batch", 1400*time.Millisecond, step, step)
		default:
			critical()
		}
		time.Sleep(time.Until(began.Add(time.Duration(float64(no+1) / ll.perSecond * float64(time.Second)))))
	}
	time.Sleep(2 * time.Second)
	qw.mu.Lock()
	starts := qw.starts - started
	qw.mu.Unlock()
	result := loadResult{starts: starts, took: time.Since(began), processor: processorTime() - used, costs: before() - costs}
	cancel()
	qt.Assert(tb, dr.Wait(), qt.IsNil)
	return result
}

// BenchmarkLargeLoad plays ten seconds of a large deployment, about 2,550 starts a second. It reports the
// processor time for each start. With relays, that of the relays is included.
func BenchmarkLargeLoad(b *testing.B) {
	for _, ll := range []largeLoad{
		{workers: 1100, perSecond: 42.55, criticalImages: 5, bestEffortImages: 9},
		{workers: 1100, perSecond: 42.55, criticalImages: 16, bestEffortImages: 30, criticalJobs: 200},
		{workers: 1100, perSecond: 42.55, criticalImages: 16, bestEffortImages: 30, criticalJobs: 200, relays: 7},
		{workers: 3300, perSecond: 42.55, criticalImages: 16, bestEffortImages: 30, criticalJobs: 200},
	} {
		b.Run(fmt.Sprintf("%d_workers,_%d_images,_%d_critical_tasks_before,_%d_relays", ll.workers, ll.criticalImages+ll.bestEffortImages, 24*ll.criticalJobs, ll.relays), func(b *testing.B) {
			ll.length = 10 * time.Second
			for b.Loop() {
				rs := ll.play(b)
				b.ReportMetric(float64(rs.starts)/rs.took.Seconds(), "starts/s")
				b.ReportMetric(float64(rs.processor.Microseconds())/float64(rs.starts), "cpu-us/start")
				b.ReportMetric(float64(rs.costs)/float64(rs.starts), "costs/start")
			}
		})
	}
}

// emptyJournal accepts all records at once and keeps none.
type emptyJournal struct{}

func (emptyJournal) Append(context.Context, ...journaler.Record) error         { return nil }
func (emptyJournal) Check(context.Context) error                               { return nil }
func (emptyJournal) LastConfirmed() time.Time                                  { return time.Now() }
func (emptyJournal) Position() int64                                           { return 0 }
func (emptyJournal) Snapshot(context.Context, []journaler.Record, int64) error { return nil }
