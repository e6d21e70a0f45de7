package director_test

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/currantrouter/currantrouter/internal/job/director"
	"github.com/currantrouter/currantrouter/internal/job/modeler"
	"github.com/currantrouter/currantrouter/internal/provider/emulator"
)

// shortageLoad is a tenth of the deployment of docs/design/hard-load.md that lacks capacity: long-running tasks
// use most of it, and short urgent and best-effort jobs come in bursts.
type shortageLoad struct {
	rnd *rand.Rand
	fl  *fleet
	tm  *term
	// estimateError is the largest relative error of an estimate.
	estimateError float64
	seed          uint64
	// oneBursts is set if one of the four data centres of callers sends all jobs of the bursts.
	oneBursts bool
	// takeoverAt is when another leader takes over, zero for never.
	takeoverAt time.Duration
	// length is how long jobs are submitted.
	length time.Duration
	kinds  map[string][]*loadJob
	ended  map[modeler.JobID]time.Time
	images map[modeler.TaskID]string
	// longRunningSeconds is the sum over the long-running tasks of the time for which each ran, in seconds.
	longRunningSeconds float64
	longRunning        []modeler.TaskID
}

// loadJob is a submitted job with its real objective and the work of its tasks, in core-seconds.
type loadJob struct {
	*modeler.Job
	objective time.Duration
	work      float64
	// origin is the data centre of the caller, 0 for the one that bursts.
	origin int
}

// served is what callers got of one kind of job.
type served struct {
	jobs, inTime, late, never int
	// value is the mean value of a job to its caller: 1 in time, a sixth if late.
	value float64
	// large and largest are the shares of the jobs served at all of the largest tenth and of the fifth below it,
	// relative to that of all jobs.
	large, largest float64
	// others is the least mean value of the jobs of a data centre that does not burst.
	others float64
}

func (sd served) String() string {
	return fmt.Sprintf("%d jobs, %d in time, %d late, %d never, value %.3f, large %.2f, largest %.2f, others %.3f", sd.jobs, sd.inTime, sd.late, sd.never, sd.value, sd.large, sd.largest, sd.others)
}

const (
	shortageWorkers = 35
	urgentPerTick   = 0.15
	fillingPerTick  = 0.14
)

func (sl *shortageLoad) submit(kind string, origin int, jb *modeler.Job, mean time.Duration, slowdown float64, slack time.Duration) {
	work := time.Duration(float64(mean) * math.Exp(0.5*sl.rnd.NormFloat64()-0.125))
	lj := &loadJob{Job: jb, origin: origin}
	factor := 1 + sl.estimateError*(2*sl.rnd.Float64()-1)
	for no := range jb.Steps {
		sp := &jb.Steps[no]
		sp.Estimate = time.Duration(float64(work) * factor)
		for ix := range sp.Count {
			id := modeler.TaskID{Job: jb.ID, Step: no, Index: ix}
			sl.fl.mu.Lock()
			sl.images[id] = sp.Image
			sl.fl.mu.Unlock()
			bh := emulator.TaskBehaviour{RunTime: time.Duration(float64(work) * (0.9 + 0.2*sl.rnd.Float64()))}
			if sp.TailTarget > 0 {
				bh.TailLatency = func([]modeler.TaskID) time.Duration { return 50 * time.Millisecond }
				sl.longRunning = append(sl.longRunning, id)
			}
			sl.fl.setBehaviour(id, bh)
		}
		lj.objective += time.Duration(slowdown * float64(work))
		lj.work += float64(sp.Count) * float64(sp.Needs.MilliCores) / 1000 * work.Seconds()
	}
	lj.objective += slack
	sl.kinds[kind] = append(sl.kinds[kind], lj)
	sl.tm.submit(jb)
}

func (sl *shortageLoad) submitLongRunning(no int) {
	jb := longRunningJob(modeler.JobID(fmt.Sprint("long", no)), "urgent", 14, modeler.Resources{MilliCores: 13000, MemoryMB: 26000})
	sp := &jb.Steps[0]
	sp.TailTarget, sp.MaxUnavailable, sp.Image = 150*time.Millisecond, 1, fmt.Sprint("critical", no%5)
	sl.submit("long", 0, jb, time.Second, 1, 0)
}

// count returns a number of tasks with a mean.
func (sl *shortageLoad) count(mean float64) int {
	return 1 + int(mean*math.Exp(0.7*sl.rnd.NormFloat64()-0.245))
}

func (sl *shortageLoad) submitUrgent(no, origin int) {
	jb := simpleJob(modeler.JobID(fmt.Sprint("urgent", no)), "urgent", sl.count(9), modeler.Resources{MilliCores: 7500, MemoryMB: 6000})
	if sl.rnd.Float64() < 0.6 {
		jb.Steps = append(jb.Steps, modeler.Step{Count: sl.count(9), Needs: jb.Steps[0].Needs, After: []int{0}})
	}
	sl.submit("urgent", origin, jb, 800*time.Millisecond, 1.5, 250*time.Millisecond)
}

func (sl *shortageLoad) submitFilling(no, origin int) {
	jb := simpleJob(modeler.JobID(fmt.Sprint("filling", no)), "batch", sl.count(19), modeler.Resources{MilliCores: 7000, MemoryMB: 13000})
	jb.Steps = append(jb.Steps, modeler.Step{Count: jb.Steps[0].Count, Needs: jb.Steps[0].Needs, After: []int{0}})
	image := fmt.Sprint("filling", sl.rnd.IntN(9))
	for ix := range jb.Steps {
		jb.Steps[ix].BestEffort, jb.Steps[ix].Image, jb.Steps[ix].Checkpoints = true, image, true
	}
	sl.submit("filling", origin, jb, 2700*time.Millisecond, 2, time.Second)
}

// arrivals returns how many jobs arrive in a tick with a mean.
func (sl *shortageLoad) arrivals(mean float64) int {
	count := 0
	for left := math.Exp(-mean); ; count++ {
		if left *= 1 / max(sl.rnd.Float64(), 1e-9); left > 1 {
			return count
		}
	}
}

// origin returns the data centre of a job's caller, given the usual rate and the present one.
func (sl *shortageLoad) origin(usual, present float64) int {
	if sl.oneBursts && sl.rnd.Float64() > usual/present {
		return 0
	}
	return sl.rnd.IntN(4)
}

// play plays the load with a policy, and returns what callers got by kind.
func (sl *shortageLoad) play(t *testing.T, policy director.ShortagePolicy) (urgent, filling served) {
	synctest.Test(t, func(t *testing.T) {
		sl.rnd, sl.kinds, sl.ended, sl.images = rand.New(rand.NewPCG(sl.seed, 11)), map[string][]*loadJob{}, map[modeler.JobID]time.Time{}, map[modeler.TaskID]string{}
		sl.longRunning, sl.longRunningSeconds = nil, 0
		sl.fl = newFleet(t, 0)
		sl.fl.shortagePolicy = policy
		for ix := range shortageWorkers {
			info := workerInfo(ix)
			info.Capacity = modeler.Resources{MilliCores: 64000 + 32000*int64(ix%4/3), MemoryMB: 250000}
			sl.fl.infos = append(sl.fl.infos, sl.fl.workers.Add(info))
		}
		sl.tm = sl.fl.startTerm(0)
		defer func() { sl.tm.end() }()
		sl.run()
		sl.tm.end()
		sl.fl.assertNoViolations()
		urgent, filling = sl.served("urgent"), sl.served("filling")
		t.Logf("%s, seed %d: urgent %v; filling %v; long-running %.0f task-seconds", policy, sl.seed, urgent, filling, sl.longRunningSeconds)
	})
	return urgent, filling
}

// run submits the jobs and records when they end.
func (sl *shortageLoad) run() {
	for no := range 11 {
		sl.submitLongRunning(no)
	}
	sleep(4 * time.Second)
	const tick = 100 * time.Millisecond
	urgent, filling, long := 0, 0, 11
	for elapsed := time.Duration(0); elapsed < sl.length+20*time.Second; elapsed += tick {
		sleep(tick)
		sl.record()
		if elapsed == sl.takeoverAt && elapsed > 0 {
			sl.tm.nextTerm(testLimits.MaxLeaseTime())
		}
		if elapsed >= sl.length {
			continue
		}
		if elapsed%(10*time.Second) == 5*time.Second && long < 14 {
			sl.submitLongRunning(long)
			long++
		}
		urgentRate, fillingRate := urgentPerTick, fillingPerTick
		if elapsed%(15*time.Second) > 11*time.Second {
			urgentRate *= 1.8
		}
		if elapsed%(25*time.Second) > 10*time.Second && elapsed%(25*time.Second) < 16*time.Second {
			fillingRate *= 2.6
		}
		for range sl.arrivals(urgentRate) {
			urgent++
			sl.submitUrgent(urgent, sl.origin(urgentPerTick, urgentRate))
		}
		for range sl.arrivals(fillingRate) {
			filling++
			sl.submitFilling(filling, sl.origin(fillingPerTick, fillingRate))
		}
	}
}

// record records the jobs that have completed since the last call, and how many long-running tasks run.
func (sl *shortageLoad) record() {
	for _, id := range sl.longRunning {
		if sl.fl.workers.WorkerOf(id) != "" {
			sl.longRunningSeconds += 0.1
		}
	}
	for _, jb := range sl.fl.jobs {
		if _, ok := sl.ended[jb.ID]; ok || jb.Steps[0].LongRunning {
			continue
		}
		if st, _ := sl.tm.JobState(jb.ID); st == modeler.Completed {
			sl.ended[jb.ID] = time.Now()
		}
	}
}

// value returns what a job was worth to its caller: 1 if it ended within its objective, a sixth if it ended within
// three times that.
func (sl *shortageLoad) value(lj *loadJob) float64 {
	end, ok := sl.ended[lj.ID]
	switch took := end.Sub(lj.Submitted); {
	case ok && took <= lj.objective:
		return 1
	case ok && took <= 3*lj.objective:
		return 1.0 / 6
	}
	return 0
}

// served returns what callers got of a kind.
func (sl *shortageLoad) served(kind string) served {
	jobs := slices.Clone(sl.kinds[kind])
	slices.SortFunc(jobs, func(one, two *loadJob) int { return cmp.Compare(one.work, two.work) })
	sd := served{jobs: len(jobs)}
	var values, counts [4]float64
	for _, lj := range jobs {
		value := sl.value(lj)
		switch value {
		case 0:
			sd.never++
		case 1:
			sd.inTime++
		default:
			sd.late++
		}
		sd.value += value / float64(len(jobs))
		values[lj.origin], counts[lj.origin] = values[lj.origin]+value, counts[lj.origin]+1
	}
	sd.others = 1
	for origin := 1; origin < 4; origin++ {
		sd.others = min(sd.others, values[origin]/max(counts[origin], 1))
	}
	share := func(part []*loadJob) float64 {
		missed := 0
		for _, lj := range part {
			if sl.value(lj) == 0 {
				missed++
			}
		}
		return 1 - float64(missed)/float64(len(part))
	}
	tenth := len(jobs) / 10
	sd.largest, sd.large = share(jobs[len(jobs)-tenth:])/share(jobs), share(jobs[len(jobs)-3*tenth:len(jobs)-tenth])/share(jobs)
	return sd
}

// Guards against an order that, under a capacity shortage, gains callers less than the previous one, or that
// leaves out large jobs, long-running tasks or the callers of a data centre that sends no more than usual.
func TestShortageLoad(t *testing.T) {
	const length, seed = 40 * time.Second, 1
	for name, sl := range map[string]shortageLoad{
		"estimates off by 90%":   {estimateError: 0.9},
		"takeover":               {estimateError: 0.9, takeoverAt: 25 * time.Second},
		"one data centre bursts": {estimateError: 0.9, oneBursts: true},
	} {
		t.Run(name, func(t *testing.T) {
			sl.length, sl.seed = length, seed
			urgentBefore, fillingBefore := sl.play(t, director.DeadlinePolicy)
			longBefore := sl.longRunningSeconds
			urgent, filling := sl.play(t, director.ValuePolicy)
			for kind, pair := range map[string][2]served{"urgent": {urgentBefore, urgent}, "filling": {fillingBefore, filling}} {
				before, now := pair[0], pair[1]
				qt.Check(t, now.value > before.value-0.03, qt.IsTrue, qt.Commentf("%s: %v, before %v", kind, now, before))
				qt.Check(t, now.others > before.others-0.05, qt.IsTrue, qt.Commentf("%s: %v, before %v", kind, now, before))
				qt.Check(t, now.large >= 0.5 && now.largest >= 0.5, qt.IsTrue, qt.Commentf("%s: %v", kind, now))
			}
			qt.Check(t, filling.value > fillingBefore.value+0.1, qt.IsTrue, qt.Commentf("%v, before %v", filling, fillingBefore))
			qt.Check(t, sl.longRunningSeconds > 0.99*longBefore, qt.IsTrue)
		})
	}
}
