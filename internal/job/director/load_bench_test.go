package director_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"

	"github.com/currantrouter/currantrouter/internal/job/director"
	"github.com/currantrouter/currantrouter/internal/job/modeler"
	"github.com/currantrouter/currantrouter/internal/state/journaler"
	"github.com/currantrouter/currantrouter/internal/telemetry/meter"
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
	worker.running[req.Task] = modeler.ActiveRun{Task: req.Task, Run: req.Run, Progress: 100, Measure: 60 + int64(req.Task.Index)}
	if dur := qw.runTime(req.Task); dur > 0 {
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

// BenchmarkLargeLoad plays ten seconds of a deployment with 1,100 workers: urgent jobs, wide best-effort jobs and
// latency-critical ones, about 2,550 starts a second. It reports the processor time for each start.
func BenchmarkLargeLoad(b *testing.B) {
	const workers, length = 1100, 10 * time.Second
	for b.Loop() {
		fl := newFleet(b, 0)
		qw := &quickWorkers{began: time.Now(), workers: map[modeler.WorkerID]*quickWorker{}}
		var runTimes sync.Map
		qw.runTime = func(id modeler.TaskID) time.Duration {
			dur, _ := runTimes.Load(id.Job)
			return dur.(time.Duration)
		}
		for ix := range workers {
			info := workerInfo(ix)
			info.Capacity = modeler.Resources{MilliCores: 64000, MemoryMB: 250000}
			info.Incarnation = 1
			qw.workers[info.ID] = &quickWorker{running: map[modeler.TaskID]modeler.ActiveRun{}, wake: make(chan struct{}, 1)}
			fl.infos = append(fl.infos, info)
		}
		dr := director.New(director.Options{
			Epoch: 1, WorkerClient: qw, Journal: emptyJournal{}, Configuration: func() *modeler.Configuration { return fl.config },
			MaySendRequests: func() bool { return true }, Limits: testLimits, Log: logr.Discard(), Meter: meter.New(nil),
		})
		ctx, cancel := context.WithCancel(b.Context())
		dr.Start(ctx)
		dr.SetWorkers(fl.infos)
		dr.FinishLoading()
		time.Sleep(2 * time.Second)
		rnd := rand.New(rand.NewPCG(1, 7))
		submit := func(id string, queue modeler.QueueName, steps []modeler.Step, dur time.Duration) {
			for ix := range steps[1:] {
				steps[ix+1].After = []int{ix}
			}
			jb := &modeler.Job{ID: modeler.JobID(id), Queue: queue, Pool: testPool, Spec: "spec", Submitted: time.Now(), Steps: steps}
			runTimes.Store(jb.ID, dur)
			dr.AddJob(jb, false)
		}
		began, used, started := time.Now(), processorTime(), qw.starts
		for no := 0; time.Since(began) < length; no++ {
			kind, image := rnd.Float64()*42.55, rnd.IntN(9)
			step := modeler.Step{Estimate: 850 * time.Millisecond}
			switch {
			case kind < 13.4:
				step.Count, step.Needs = 13, modeler.Resources{MilliCores: 13000, MemoryMB: 500}
				submit(fmt.Sprintf("%016x", no), "urgent", []modeler.Step{step, step}[:1+rnd.IntN(2)], 850*time.Millisecond)
			case kind < 41.5:
				step.Count, step.Needs, step.BestEffort, step.Checkpoints = 40, modeler.Resources{MilliCores: 7000, MemoryMB: 500}, true, true
				step.Image = fmt.Sprint("best-effort", image)
				submit(fmt.Sprintf("%016x", no), "batch", []modeler.Step{step, step}, 1400*time.Millisecond)
			default:
				step.Count, step.Needs, step.LongRunning, step.TailTarget = 24, modeler.Resources{MilliCores: 6000, MemoryMB: 500}, true, 150*time.Millisecond
				step.Image, step.MaxPerWorker = fmt.Sprint("critical", image%5), 2
				submit(fmt.Sprintf("%016x", no), "urgent", []modeler.Step{step}, 0)
			}
			next := began.Add(time.Duration(float64(no+1) / 42.55 * float64(time.Second)))
			time.Sleep(time.Until(next))
		}
		qw.mu.Lock()
		starts := qw.starts - started
		qw.mu.Unlock()
		used = processorTime() - used
		b.ReportMetric(float64(starts)/time.Since(began).Seconds(), "starts/s")
		b.ReportMetric(float64(used.Microseconds())/float64(starts), "cpu-us/start")
		cancel()
		qt.Assert(b, dr.Wait(), qt.IsNil)
	}
}

// emptyJournal accepts all records at once and keeps none.
type emptyJournal struct{}

func (emptyJournal) Append(context.Context, ...journaler.Record) error         { return nil }
func (emptyJournal) Check(context.Context) error                               { return nil }
func (emptyJournal) LastConfirmed() time.Time                                  { return time.Now() }
func (emptyJournal) Position() int64                                           { return 0 }
func (emptyJournal) Snapshot(context.Context, []journaler.Record, int64) error { return nil }
