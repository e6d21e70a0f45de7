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

// dayLength is the part of a day that the benchmark runs.
const dayLength = 4 * time.Hour

// profileOf is the real size and run time of a kind, which declared sizes miss by up to 4 times.
type profileOf struct {
	cores, gib int64
	run        time.Duration
}

var dayKinds = map[string]profileOf{
	"service":   {4, 8, 0},
	"peak":      {4, 8, 15 * time.Minute},
	"check":     {1, 2, 10 * time.Second},
	"programme": {4, 12, 8 * time.Minute},
	"noisy":     {3, 6, 3 * time.Minute},
	"watch":     {8, 24, 5 * time.Hour},
}

// hiddenSlowdown is the interference model that the scheduler has to learn.
func hiddenSlowdown(kind, other string, load float64) float64 {
	switch {
	case critical(kind) && other == "noisy":
		return 1 + 0.5*load
	case other == "noisy":
		return 1 + 0.1*load
	case critical(kind) && other == "programme":
		return 1 + 0.03*load
	}
	return 1 + 0.01*load
}

func critical(kind string) bool { return kind == "service" || kind == "peak" }

// firstFit is the baseline of placement: the first worker with room, without interference.
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

// declared is the baseline of estimates: sizes as declared and no run-time classes.
type declared struct{ *estimator.Estimator }

func (declared) Reservation(_ estimator.Kind, rs supervisor.Resources) supervisor.Resources {
	return rs
}

func (declared) Class(estimator.Kind) estimator.Class { return estimator.Short }

// figures are what one run of the day gave.
type figures struct {
	serviceP99, checkWaitP99, coreHours, evictions float64
}

// day is one run of the synthetic day.
type day struct {
	*world
	random    *rand.Rand
	submitted map[string]time.Time
	waits     *hdrhistogram.Histogram
	slowdowns *hdrhistogram.Histogram
	core      time.Duration
	count     int
}

func runDay(t *testing.T, rack int, capacity supervisor.Resources, scale int, baseline bool) figures {
	dy := &day{
		random: rand.New(rand.NewPCG(1, 2)), submitted: make(map[string]time.Time),
		waits: hdrhistogram.New(1, int64(dayLength/time.Millisecond), 3), slowdowns: hdrhistogram.New(1, 1_000_000, 3),
	}
	dy.world = newWorld(t, 0, emulator.Behaviour{
		RunTime: dy.began, Outcome: dy.finished, Slowdown: hiddenSlowdown, ReportLag: 5 * time.Second, CheckpointTime: 2 * time.Second,
		Usage: func(cmd supervisor.StartCommand) supervisor.Resources {
			pf := dayKinds[cmd.Kind]
			return supervisor.Resources{Millicores: pf.cores * 1000, MemoryBytes: pf.gib * gibibyte}
		},
	})
	for i := range 50 {
		dy.list = append(dy.list, supervisor.Worker{
			Name: modeler.WorkerName(fmt.Sprintf("w%02d", i)), Rack: fmt.Sprint(i / rack), Capacity: capacity,
		})
	}
	dy.workers.Add(dy.list...)
	dy.options.ShortReserve, dy.options.LeaseTerm, dy.options.RenewInterval = placer.DefaultShortReserve, DefaultLeaseTerm, time.Minute
	// One of 50 workers is faulty, the least that 1% allows.
	dy.faults.Set(emulator.Switch{Fault: emulator.FailEverything, Part: emulator.PartWorkers, Target: "w25"})
	dy.prepare = func(sc *Scheduler) {
		if baseline {
			sc.estimator = declared{sc.estimator.(*estimator.Estimator)}
			sc.placer = &firstFit{sc.placer.(*placer.Placer), dy.list, make(map[modeler.WorkerName]bool)}
		}
	}
	dy.lead()
	time.Sleep(5 * time.Second)
	return dy.run(scale)
}

func (dy *day) began(cmd supervisor.StartCommand) time.Duration {
	dy.mu.Lock()
	defer dy.mu.Unlock()
	if at, ok := dy.submitted[cmd.Attempt.Job]; ok {
		_ = dy.waits.RecordValue(time.Since(at).Milliseconds())
		delete(dy.submitted, cmd.Attempt.Job)
	}
	return dayKinds[cmd.Kind].run
}

func (dy *day) finished(_ modeler.WorkerName, cmd supervisor.StartCommand) string {
	dy.mu.Lock()
	defer dy.mu.Unlock()
	pf := dayKinds[cmd.Kind]
	if critical(cmd.Kind) {
		return ""
	}
	dy.core += time.Duration(pf.cores) * pf.run
	return ""
}

// offer submits jobs of a kind with sizes declared up to 4 times too small or too large.
func (dy *day) offer(name string, n int) {
	pf := dayKinds[name]
	var jobs []Job
	for range n {
		factor := []float64{0.25, 0.5, 1, 2, 4}[dy.random.IntN(5)]
		dy.count++
		jb := testJob(fmt.Sprint(name, "-", dy.count), kind(name), ofTeam(name))
		jb.Declared = supervisor.Resources{
			Millicores: int64(factor * float64(pf.cores) * 1000), MemoryBytes: int64(factor * float64(pf.gib) * gibibyte),
		}
		jb.LatencyCritical, jb.Urgent = critical(name), critical(name)
		jb.Checkpoint = name == "programme" || name == "watch"
		jobs = append(jobs, jb)
		if name == "check" {
			dy.mu.Lock()
			dy.submitted[jb.Name] = time.Now()
			dy.mu.Unlock()
		}
	}
	dy.submit(jobs...)
}

func (dy *day) run(scale int) figures {
	dy.offer("service", 30*scale)
	time.Sleep(30 * time.Second)
	dy.offer("watch", 6*scale)
	dy.offer("programme", 200*scale)
	end := time.Now().Add(dayLength)
	for i := 0; time.Now().Before(end); i++ {
		dy.offer("check", 1+dy.random.IntN(2*scale))
		dy.offer("programme", 7*scale/2)
		if i%120 == 0 {
			dy.offer("noisy", 40*scale)
		}
		if i%240 == 60 {
			dy.offer("peak", 20*scale)
		}
		dy.sample()
		time.Sleep(5 * time.Second)
	}
	sc := dy.current()
	for _, at := range dy.submitted {
		_ = dy.waits.RecordValue(time.Since(at).Milliseconds())
	}
	fg := figures{
		serviceP99: float64(dy.slowdowns.ValueAtPercentile(99)) / 1000, checkWaitP99: float64(dy.waits.ValueAtPercentile(99)) / 1000,
		coreHours: dy.core.Hours(), evictions: float64(sc.mt.Value(meter.TasksEvicted)),
	}
	dy.close()
	return fg
}

// sample records the slowdown of each service task.
func (dy *day) sample() {
	for _, wk := range dy.list {
		rp, _ := dy.workers.Report(dy.t.Context(), wk)
		for _, ar := range rp.Running {
			if critical(ar.Kind) && ar.Slowdown >= 1 {
				_ = dy.slowdowns.RecordValue(int64(ar.Slowdown * 1000))
			}
		}
	}
}

// BenchmarkDay compares the scheduler with first fit on declared sizes on both deployments.
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
				base := inBubble(b, func(t *testing.T) figures { return runDay(t, shape.rack, shape.capacity, shape.scale, true) })
				own := inBubble(b, func(t *testing.T) figures { return runDay(t, shape.rack, shape.capacity, shape.scale, false) })
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

// inBubble runs a function on the paused clock, which needs a test.
func inBubble(b *testing.B, run func(*testing.T) figures) figures {
	var fg figures
	ok := testing.RunTests(func(_, _ string) (bool, error) { return true, nil }, []testing.InternalTest{{
		Name: strings.ReplaceAll(b.Name(), "/", "-"),
		F:    func(t *testing.T) { synctest.Test(t, func(t *testing.T) { fg = run(t) }) },
	}})
	if !ok {
		b.Error("an invariant does not hold")
	}
	return fg
}
