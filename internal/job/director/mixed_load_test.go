package director_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/currantrouter/currantrouter/internal/job/modeler"
	"github.com/currantrouter/currantrouter/internal/provider/emulator"
)

// mixedLoad is the load of a deployment whose workers run latency-critical and batch work at the
// same time. Latency-critical tasks reserve most of the capacity, best-effort work gets what they
// leave idle, short urgent jobs are submitted all the time, and a burst of best-effort jobs in the
// middle.
type mixedLoad struct {
	rnd *rand.Rand
	fl  *fleet
	tm  *term
	// interfering holds the pairs of latency-critical and best-effort images with high
	// interference.
	interfering map[[2]string]bool
	// ended holds when each job was first seen completed.
	ended map[modeler.JobID]time.Time
	// images holds the image of each task. It is guarded by the fleet's mu, as workers read it.
	images map[modeler.TaskID]string
}

const (
	loadWorkers          = 48
	loadSeconds          = 40
	criticalImageCount   = 5
	bestEffortImageCount = 9
	// baseTail is the tail latency of a latency-critical task without load.
	baseTail = 25 * time.Millisecond
	// tailTarget is the target of the tail latency.
	tailTarget = 150 * time.Millisecond
	// highInterference is the load that a best-effort task on all processors adds to a
	// latency-critical one of an interfering pair.
	highInterference = 1.5
	// lowInterference is that for all other pairs.
	lowInterference = 0.08
)

func newMixedLoad(fl *fleet, tm *term, seed uint64) *mixedLoad {
	ml := &mixedLoad{
		rnd: rand.New(rand.NewPCG(seed, 7)), fl: fl, tm: tm, interfering: map[[2]string]bool{},
		ended: map[modeler.JobID]time.Time{}, images: map[modeler.TaskID]string{},
	}
	for no := range criticalImageCount {
		for range 2 {
			ml.interfering[[2]string{fmt.Sprint("critical", no), fmt.Sprint("best-effort", ml.rnd.IntN(bestEffortImageCount))}] = true
		}
	}
	return ml
}

// submit submits a job and sets how its tasks behave.
func (ml *mixedLoad) submit(jb *modeler.Job, mean time.Duration) {
	work := time.Duration(float64(mean) * math.Exp(0.5*ml.rnd.NormFloat64()-0.125))
	for no, sp := range jb.Steps {
		jb.Steps[no].Estimate = time.Duration(float64(work) * math.Exp(0.7*ml.rnd.NormFloat64()))
		for ix := range sp.Count {
			id := modeler.TaskID{Job: jb.ID, Step: no, Index: ix}
			ml.fl.mu.Lock()
			ml.images[id] = sp.Image
			ml.fl.mu.Unlock()
			bh := emulator.TaskBehaviour{RunTime: time.Duration(float64(work) * (0.8 + 0.4*ml.rnd.Float64()))}
			if sp.TailTarget > 0 {
				bh.TailLatency = ml.tail(sp.Image, ml.rnd.Float64()*2*math.Pi)
			}
			ml.fl.setBehaviour(id, bh)
		}
	}
	ml.tm.submit(jb)
}

// tail returns the tail latency of a latency-critical task whose own load varies between 0.24 and
// 0.72.
func (ml *mixedLoad) tail(image string, phase float64) func([]modeler.TaskID) time.Duration {
	return func(neighbours []modeler.TaskID) time.Duration {
		load := 0.48 + 0.24*math.Sin(phase+float64(time.Now().UnixMilli())/20000*2*math.Pi)
		ml.fl.mu.Lock()
		defer ml.fl.mu.Unlock()
		for _, id := range neighbours {
			switch other := ml.images[id]; {
			case !strings.HasPrefix(other, "best-effort"):
			case ml.interfering[[2]string{image, other}]:
				load += highInterference * 6 / 64
			default:
				load += lowInterference * 6 / 64
			}
		}
		return time.Duration(float64(baseTail) / max(0.01, 1-load))
	}
}

func (ml *mixedLoad) submitCritical(id int) {
	jb := simpleJob(modeler.JobID(fmt.Sprint("critical", id)), "urgent", 6, modeler.Resources{MilliCores: 13000, MemoryMB: 26000})
	sp := &jb.Steps[0]
	sp.LongRunning, sp.TailTarget, sp.MaxUnavailable = true, tailTarget, 1
	sp.Image = fmt.Sprint("critical", id%criticalImageCount)
	if id%2 == 0 {
		sp.MaxPerWorker = 2
	}
	ml.submit(jb, time.Second)
}

func (ml *mixedLoad) submitBestEffort(id int) {
	count := 2 + ml.rnd.IntN(13)
	jb := simpleJob(modeler.JobID(fmt.Sprint("best-effort", id)), "batch", count, modeler.Resources{MilliCores: 6000, MemoryMB: 6000})
	jb.Steps = append(jb.Steps, modeler.Step{Count: count, Needs: jb.Steps[0].Needs, After: []int{0}})
	image := fmt.Sprint("best-effort", ml.rnd.IntN(bestEffortImageCount))
	for no := range jb.Steps {
		jb.Steps[no].BestEffort, jb.Steps[no].Image, jb.Steps[no].Checkpoints = true, image, true
	}
	ml.submit(jb, 1400*time.Millisecond)
}

func (ml *mixedLoad) submitUrgent(id int) {
	jb := simpleJob(modeler.JobID(fmt.Sprint("urgent", id)), "urgent", 1+ml.rnd.IntN(10), modeler.Resources{MilliCores: 4600, MemoryMB: 6000})
	ml.submit(jb, 850*time.Millisecond)
}

// runLoad submits the jobs of the load and records when they end.
func (ml *mixedLoad) runLoad() {
	for id := range 28 {
		ml.submitCritical(id)
	}
	sleep(4 * time.Second)
	bestEffortJobs, urgentJobs := 0, 0
	for tick := range loadSeconds * 10 {
		rate := 6.0
		if tick > 150 && tick < 210 {
			rate *= 1.5
		}
		for ml.rnd.Float64() < rate/10/(1+rate/10) {
			bestEffortJobs++
			ml.submitBestEffort(bestEffortJobs)
		}
		if ml.rnd.Float64() < 0.35 {
			urgentJobs++
			ml.submitUrgent(urgentJobs)
		}
		sleep(100 * time.Millisecond)
		ml.recordEnds()
	}
	for range 100 {
		sleep(100 * time.Millisecond)
		ml.recordEnds()
	}
}

// recordEnds records the jobs that have completed since the last call.
func (ml *mixedLoad) recordEnds() {
	for _, jb := range ml.fl.jobs {
		if _, ok := ml.ended[jb.ID]; ok {
			continue
		}
		if st, _ := ml.tm.JobState(jb.ID); st == modeler.Completed {
			ml.ended[jb.ID] = time.Now()
		}
	}
}

// onTime returns the share of the jobs with an ID prefix that ended within a time.
func (ml *mixedLoad) onTime(prefix string, within time.Duration) float64 {
	all, inTime := 0, 0
	for _, jb := range ml.fl.jobs {
		if !strings.HasPrefix(string(jb.ID), prefix) {
			continue
		}
		all++
		if end, ok := ml.ended[jb.ID]; ok && end.Sub(jb.Submitted) <= within {
			inTime++
		}
	}
	return float64(inTime) / float64(all)
}

// Guards against best-effort work that is starved beside latency-critical tasks, and against urgent
// jobs that wait behind it. The bounds are 90 % of the urgent jobs within 3.5 s, and 75 % of the
// best-effort jobs within 8 s, about three times their mean run time.
func TestMixedLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fl := newFleet(t, 0)
		for ix := range loadWorkers {
			info := workerInfo(ix)
			info.Capacity = modeler.Resources{MilliCores: 64000, MemoryMB: 250000}
			fl.infos = append(fl.infos, fl.workers.Add(info))
		}
		tm := fl.startTerm(0)
		defer func() { tm.end() }()
		ml := newMixedLoad(fl, tm, 1)
		ml.runLoad()
		fl.assertNoViolations()
		urgent, bestEffort := ml.onTime("urgent", 3500*time.Millisecond), ml.onTime("best-effort", 8*time.Second)
		t.Logf("on time: urgent %.3f, best-effort %.3f", urgent, bestEffort)
		qt.Check(t, urgent >= 0.9, qt.IsTrue, qt.Commentf("%.3f of the urgent jobs", urgent))
		qt.Check(t, bestEffort >= 0.75, qt.IsTrue, qt.Commentf("%.3f of the best-effort jobs", bestEffort))
	})
}
