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

// mixedLoad is a day of an installation whose workers serve users and do batch work at the same
// time. Serving tasks hold most of the room; work that fills gets what they leave idle; short urgent
// jobs come all the while; a burst of batch work comes in the middle.
type mixedLoad struct {
	rnd *rand.Rand
	fl  *fleet
	tm  *term
	// heavy holds the pairs of serving and filling images that harm each other.
	heavy map[[2]string]bool
	// ended holds when a job was first seen completed.
	ended map[modeler.JobID]time.Time
	// images is guarded by the fleet's mu, as workers read it.
	images map[modeler.TaskID]string
}

const (
	loadWorkers   = 48
	loadSeconds   = 40
	servingImages = 5
	fillingImages = 9
	// baseTail is the tail of an idle serving task, tailTarget what its users accept.
	baseTail, tailTarget = 25 * time.Millisecond, 150 * time.Millisecond
	// heavyHarm and lightHarm are the load that a filling task on all processors adds.
	heavyHarm, lightHarm = 1.5, 0.08
)

func newMixedLoad(fl *fleet, tm *term, seed uint64) *mixedLoad {
	ml := &mixedLoad{
		rnd: rand.New(rand.NewPCG(seed, 7)), fl: fl, tm: tm, heavy: map[[2]string]bool{},
		ended: map[modeler.JobID]time.Time{}, images: map[modeler.TaskID]string{},
	}
	for sv := range servingImages {
		for range 2 {
			ml.heavy[[2]string{fmt.Sprint("serve", sv), fmt.Sprint("fill", ml.rnd.IntN(fillingImages))}] = true
		}
	}
	return ml
}

// submit submits a job and sets how its tasks go.
func (ml *mixedLoad) submit(jb *modeler.Job, mean time.Duration) {
	work := time.Duration(float64(mean) * math.Exp(0.5*ml.rnd.NormFloat64()-0.125))
	for no, sp := range jb.Steps {
		jb.Steps[no].Estimate = time.Duration(float64(work) * math.Exp(0.7*ml.rnd.NormFloat64()))
		for ix := range sp.Count {
			id := modeler.TaskID{Job: jb.ID, Step: no, Index: ix}
			ml.fl.mu.Lock()
			ml.images[id] = sp.Image
			ml.fl.mu.Unlock()
			bh := emulator.TaskBehaviour{Work: time.Duration(float64(work) * (0.8 + 0.4*ml.rnd.Float64()))}
			if sp.TailTarget > 0 {
				bh.Tail = ml.tail(sp.Image, ml.rnd.Float64()*2*math.Pi)
			}
			ml.fl.set(id, bh)
		}
	}
	ml.tm.submit(jb)
}

// tail returns the tail latency of a serving task whose load swings between 0.24 and 0.72.
func (ml *mixedLoad) tail(image string, phase float64) func([]modeler.TaskID) time.Duration {
	return func(neighbours []modeler.TaskID) time.Duration {
		load := 0.48 + 0.24*math.Sin(phase+float64(time.Now().UnixMilli())/20000*2*math.Pi)
		ml.fl.mu.Lock()
		defer ml.fl.mu.Unlock()
		for _, id := range neighbours {
			switch other := ml.images[id]; {
			case !strings.HasPrefix(other, "fill"):
			case ml.heavy[[2]string{image, other}]:
				load += heavyHarm * 6 / 64
			default:
				load += lightHarm * 6 / 64
			}
		}
		return time.Duration(float64(baseTail) / max(0.01, 1-load))
	}
}

func (ml *mixedLoad) serve(id int) {
	jb := simpleJob(modeler.JobID(fmt.Sprint("serve", id)), "urgent", 6, modeler.Resources{MilliCores: 13000, MemoryMB: 26000})
	sp := &jb.Steps[0]
	sp.LongRunning, sp.TailTarget, sp.MaxUnavailable = true, tailTarget, 1
	sp.Image = fmt.Sprint("serve", id%servingImages)
	if id%2 == 0 {
		sp.PerWorker = 2
	}
	ml.submit(jb, time.Second)
}

func (ml *mixedLoad) fill(id int) {
	count := 2 + ml.rnd.IntN(13)
	jb := simpleJob(modeler.JobID(fmt.Sprint("fill", id)), "batch", count, modeler.Resources{MilliCores: 6000, MemoryMB: 6000})
	jb.Steps = append(jb.Steps, modeler.Step{Count: count, Needs: jb.Steps[0].Needs, After: []int{0}})
	image := fmt.Sprint("fill", ml.rnd.IntN(fillingImages))
	for no := range jb.Steps {
		jb.Steps[no].BestEffort, jb.Steps[no].Image, jb.Steps[no].Checkpoints = true, image, true
	}
	ml.submit(jb, 1400*time.Millisecond)
}

func (ml *mixedLoad) urgent(id int) {
	jb := simpleJob(modeler.JobID(fmt.Sprint("urgent", id)), "urgent", 1+ml.rnd.IntN(10), modeler.Resources{MilliCores: 4600, MemoryMB: 6000})
	ml.submit(jb, 850*time.Millisecond)
}

// play plays the day and notes when jobs end.
func (ml *mixedLoad) play() {
	for id := range 28 {
		ml.serve(id)
	}
	sleep(4 * time.Second)
	fills, urgents := 0, 0
	for tick := range loadSeconds * 10 {
		rate := 6.0
		if tick > 150 && tick < 210 {
			rate *= 1.5
		}
		for ml.rnd.Float64() < rate/10/(1+rate/10) {
			fills++
			ml.fill(fills)
		}
		if ml.rnd.Float64() < 0.35 {
			urgents++
			ml.urgent(urgents)
		}
		sleep(100 * time.Millisecond)
		ml.note()
	}
	for range 100 {
		sleep(100 * time.Millisecond)
		ml.note()
	}
}

func (ml *mixedLoad) note() {
	for _, jb := range ml.fl.jobs {
		if _, ok := ml.ended[jb.ID]; ok {
			continue
		}
		if st, _ := ml.tm.State(jb.ID); st == modeler.Completed {
			ml.ended[jb.ID] = time.Now()
		}
	}
}

// onTime returns the share of a kind's jobs that ended within a time.
func (ml *mixedLoad) onTime(kind string, within time.Duration) float64 {
	all, good := 0, 0
	for _, jb := range ml.fl.jobs {
		if !strings.HasPrefix(string(jb.ID), kind) {
			continue
		}
		all++
		if end, ok := ml.ended[jb.ID]; ok && end.Sub(jb.Submitted) <= within {
			good++
		}
	}
	return float64(good) / float64(all)
}

// Guards against work that fills which is starved beside serving tasks, and against urgent jobs that
// wait behind it. The bounds are nine of ten urgent jobs within three times their work, and three of
// four of the others.
func TestMixedLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fl := newFleet(t, 0)
		for ix := range loadWorkers {
			info := workerInfo(ix)
			info.Capacity = modeler.Resources{MilliCores: 64000, MemoryMB: 250000}
			fl.infos = append(fl.infos, fl.workers.Add(info))
		}
		tm := fl.lead(0)
		defer func() { tm.end() }()
		ml := newMixedLoad(fl, tm, 1)
		ml.play()
		fl.assertSound()
		urgent, fill := ml.onTime("urgent", 3500*time.Millisecond), ml.onTime("fill", 8*time.Second)
		t.Logf("on time: urgent %.3f, fill %.3f", urgent, fill)
		qt.Check(t, urgent >= 0.9, qt.IsTrue, qt.Commentf("%.3f of the urgent jobs", urgent))
		qt.Check(t, fill >= 0.75, qt.IsTrue, qt.Commentf("%.3f of the jobs that fill", fill))
	})
}
