package scheduler

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/currantrouter/currantrouter/internal/batch/estimator"
	"github.com/currantrouter/currantrouter/internal/batch/placer"
	"github.com/currantrouter/currantrouter/internal/fleet/modeler"
	"github.com/currantrouter/currantrouter/internal/provider/emulator"
	"github.com/currantrouter/currantrouter/internal/provider/supervisor"
	"github.com/currantrouter/currantrouter/internal/telemetry/meter"
)

// simulatedTime is the part of a day that the benchmark simulates.
const simulatedTime = 4 * time.Hour

// kindProfile is the actual size and run time of a kind. Declared sizes are up to 4 times too small
// or too large.
type kindProfile struct {
	cores, gib int64
	run        time.Duration
}

var kindProfiles = map[string]kindProfile{
	"service":   {4, 8, 0},
	"peak":      {4, 8, 15 * time.Minute},
	"check":     {1, 2, 10 * time.Second},
	"programme": {4, 12, 8 * time.Minute},
	"noisy":     {3, 6, 3 * time.Minute},
	"watch":     {8, 24, 5 * time.Hour},
}

// actualSlowdown is the interference model that the scheduler must learn.
func actualSlowdown(kind, other string, load float64) float64 {
	switch {
	case latencyCritical(kind) && other == "noisy":
		return 1 + 0.5*load
	case other == "noisy":
		return 1 + 0.1*load
	case latencyCritical(kind) && other == "programme":
		return 1 + 0.03*load
	}
	return 1 + 0.01*load
}

func latencyCritical(kind string) bool { return kind == "service" || kind == "peak" }

// firstFit is the placement baseline: it selects the first worker with enough capacity and ignores
// interference.
type firstFit struct {
	*placer.Placer
	workers       []supervisor.Worker
	unschedulable map[modeler.WorkerName]bool
}

func (ff *firstFit) SetUnschedulable(name modeler.WorkerName, blocked bool) {
	ff.unschedulable[name] = blocked
	ff.Placer.SetUnschedulable(name, blocked)
}

func (ff *firstFit) Place(tk placer.Task) (modeler.WorkerName, error) {
	for _, wk := range ff.workers {
		if _, failed := tk.FailedOn[wk.Name]; !failed && !ff.unschedulable[wk.Name] && ff.CanPlaceOn(wk.Name, tk) {
			return wk.Name, nil
		}
	}
	return "", placer.ErrInsufficientCapacity
}

// declaredSizes is the estimation baseline: it reserves the declared sizes and treats all tasks as
// short.
type declaredSizes struct{ *estimator.Estimator }

func (declaredSizes) Reservation(_ estimator.Kind, rs supervisor.Resources) supervisor.Resources {
	return rs
}

func (declaredSizes) Class(estimator.Kind) estimator.Class { return estimator.Short }

// dayResults are the measurements of one simulation: the p99 slowdown of service tasks, the p99
// wait of check tasks in seconds, the core hours of finished batch tasks, and the number of
// evictions.
type dayResults struct {
	serviceP99, checkWaitP99, coreHours, evictions float64
}

// dayRun is one simulation of the synthetic day.
type dayRun struct {
	*testCluster
	random    *rand.Rand
	submitted map[string]time.Time
	waits     *hdrhistogram.Histogram
	slowdowns *hdrhistogram.Histogram
	coreTime  time.Duration
	numJobs   int
}

func runDay(t *testing.T, rack int, capacity supervisor.Resources, scale int, baseline bool) dayResults {
	dr := &dayRun{
		random: rand.New(rand.NewPCG(1, 2)), submitted: make(map[string]time.Time),
		waits: hdrhistogram.New(1, int64(simulatedTime/time.Millisecond), 3), slowdowns: hdrhistogram.New(1, 1_000_000, 3),
	}
	dr.testCluster = newTestCluster(t, 0, emulator.Behaviour{
		RunTime: dr.handleStart, Outcome: dr.handleFinish, Slowdown: actualSlowdown, ReportLag: 5 * time.Second, CheckpointTime: 2 * time.Second,
		Usage: func(cmd supervisor.StartCommand) supervisor.Resources {
			kp := kindProfiles[cmd.Kind]
			return supervisor.Resources{Millicores: kp.cores * 1000, MemoryBytes: kp.gib * gibibyte}
		},
	})
	for i := range 50 {
		dr.workerList = append(dr.workerList, supervisor.Worker{
			Name: modeler.WorkerName(fmt.Sprintf("w%02d", i)), Rack: fmt.Sprint(i / rack), Capacity: capacity,
		})
	}
	dr.workers.Add(dr.workerList...)
	dr.options.ShortReserve, dr.options.LeaseTerm, dr.options.RenewInterval = placer.DefaultShortReserve, DefaultLeaseTerm, time.Minute
	// One of the 50 workers is faulty, the smallest number that is at least 1%.
	dr.faults.Set(emulator.Switch{Fault: emulator.FailEverything, Part: emulator.PartWorkers, Target: "w25"})
	dr.configure = func(sc *Scheduler) {
		if baseline {
			sc.estimator = declaredSizes{sc.estimator.(*estimator.Estimator)}
			sc.placer = &firstFit{sc.placer.(*placer.Placer), dr.workerList, make(map[modeler.WorkerName]bool)}
		}
	}
	dr.startLeader()
	time.Sleep(5 * time.Second)
	return dr.run(scale)
}

func (dr *dayRun) handleStart(cmd supervisor.StartCommand) time.Duration {
	dr.mu.Lock()
	defer dr.mu.Unlock()
	if at, ok := dr.submitted[cmd.Attempt.Job]; ok {
		_ = dr.waits.RecordValue(time.Since(at).Milliseconds())
		delete(dr.submitted, cmd.Attempt.Job)
	}
	return kindProfiles[cmd.Kind].run
}

func (dr *dayRun) handleFinish(_ modeler.WorkerName, cmd supervisor.StartCommand) string {
	dr.mu.Lock()
	defer dr.mu.Unlock()
	kp := kindProfiles[cmd.Kind]
	if latencyCritical(cmd.Kind) {
		return ""
	}
	dr.coreTime += time.Duration(kp.cores) * kp.run
	return ""
}

// submitKind submits n jobs of a kind with declared sizes up to 4 times too small or too large.
func (dr *dayRun) submitKind(name string, n int) {
	kp := kindProfiles[name]
	var jobs []Job
	for range n {
		factor := []float64{0.25, 0.5, 1, 2, 4}[dr.random.IntN(5)]
		dr.numJobs++
		jb := testJob(fmt.Sprint(name, "-", dr.numJobs), withKind(name), withTeam(name))
		jb.Declared = supervisor.Resources{
			Millicores: int64(factor * float64(kp.cores) * 1000), MemoryBytes: int64(factor * float64(kp.gib) * gibibyte),
		}
		jb.LatencyCritical, jb.Urgent = latencyCritical(name), latencyCritical(name)
		jb.CanCheckpoint = name == "programme" || name == "watch"
		jobs = append(jobs, jb)
		if name == "check" {
			dr.mu.Lock()
			dr.submitted[jb.Name] = time.Now()
			dr.mu.Unlock()
		}
	}
	dr.submit(jobs...)
}

func (dr *dayRun) run(scale int) dayResults {
	dr.submitKind("service", 30*scale)
	time.Sleep(30 * time.Second)
	dr.submitKind("watch", 6*scale)
	dr.submitKind("programme", 200*scale)
	end := time.Now().Add(simulatedTime)
	for i := 0; time.Now().Before(end); i++ {
		dr.submitKind("check", 1+dr.random.IntN(2*scale))
		dr.submitKind("programme", 7*scale/2)
		if i%120 == 0 {
			dr.submitKind("noisy", 40*scale)
		}
		if i%240 == 60 {
			dr.submitKind("peak", 20*scale)
		}
		dr.sample()
		time.Sleep(5 * time.Second)
	}
	sc := dr.currentLeader()
	for _, at := range dr.submitted {
		_ = dr.waits.RecordValue(time.Since(at).Milliseconds())
	}
	rs := dayResults{
		serviceP99: float64(dr.slowdowns.ValueAtPercentile(99)) / 1000, checkWaitP99: float64(dr.waits.ValueAtPercentile(99)) / 1000,
		coreHours: dr.coreTime.Hours(), evictions: float64(sc.mt.Value(meter.TasksEvicted)),
	}
	dr.close()
	return rs
}

// sample records the slowdown of each latency-critical task.
func (dr *dayRun) sample() {
	for _, wk := range dr.workerList {
		rp, _ := dr.workers.Report(dr.t.Context(), wk)
		for _, ar := range rp.Running {
			if latencyCritical(ar.Kind) && ar.Slowdown >= 1 {
				_ = dr.slowdowns.RecordValue(int64(ar.Slowdown * 1000))
			}
		}
	}
}

// BenchmarkDay compares the scheduler with first fit on declared sizes, with the workers of both
// deployments.
func BenchmarkDay(b *testing.B) {
	for _, shape := range []struct {
		name     string
		rack     int
		capacity supervisor.Resources
		scale    int
	}{
		{"sahel", 6, supervisor.Resources{Millicores: 64_000, MemoryBytes: 250 * gibibyte}, 2},
		{"bolgeskolen", 8, supervisor.Resources{Millicores: 32_000, MemoryBytes: 125 * gibibyte}, 1},
	} {
		b.Run(shape.name, func(b *testing.B) {
			for b.Loop() {
				base := runInBubble(b, func(t *testing.T) dayResults { return runDay(t, shape.rack, shape.capacity, shape.scale, true) })
				own := runInBubble(b, func(t *testing.T) dayResults { return runDay(t, shape.rack, shape.capacity, shape.scale, false) })
				for _, mt := range []struct {
					name      string
					own, base float64
				}{
					{"service-p99-slowdown", own.serviceP99, base.serviceP99},
					{"check-wait-p99-s", own.checkWaitP99, base.checkWaitP99},
					{"batch-core-hours", own.coreHours, base.coreHours},
					{"evictions", own.evictions, base.evictions},
				} {
					b.ReportMetric(mt.own, mt.name)
					b.ReportMetric(mt.base, mt.name+"-baseline")
				}
			}
		})
	}
}

// runInBubble runs a function in a synctest bubble, which needs a testing.T.
func runInBubble(b *testing.B, run func(*testing.T) dayResults) dayResults {
	var rs dayResults
	ok := testing.RunTests(func(_, _ string) (bool, error) { return true, nil }, []testing.InternalTest{{
		Name: strings.ReplaceAll(b.Name(), "/", "-"),
		F:    func(t *testing.T) { synctest.Test(t, func(t *testing.T) { rs = run(t) }) },
	}})
	if !ok {
		b.Error("an invariant does not hold")
	}
	return rs
}
