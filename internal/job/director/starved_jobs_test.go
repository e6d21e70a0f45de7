package director_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/currantrouter/currantrouter/internal/job/modeler"
	"github.com/currantrouter/currantrouter/internal/provider/emulator"
)

// promisedRunTime is the time within which a job gets a run while half of its pool's processors are free.
const promisedRunTime = 3 * time.Second

// assertStartsWithin checks that a task of the job's first step has been started within a time from now.
func (tm *term) assertStartsWithin(jb *modeler.Job, within time.Duration) {
	tm.fleet.t.Helper()
	tasks := jb.Steps[0].Count
	before := tm.fleet.startsOf(jb.ID, tasks)
	sleep(within)
	qt.Check(tm.fleet.t, tm.fleet.startsOf(jb.ID, tasks) > before, qt.IsTrue, qt.Commentf("job %s waits: %s", jb.ID, tm.WaitReason(modeler.TaskID{Job: jb.ID, Index: tasks - 1})))
}

// bestEffortJob returns a job of two best-effort tasks with a run time.
func (fl *fleet) bestEffortJob(id modeler.JobID, runTime time.Duration) *modeler.Job {
	jb := simpleJob(id, "batch", 2, cores(3000))
	jb.Steps[0].BestEffort, jb.Steps[0].Image = true, "best-effort"
	for ix := range jb.Steps[0].Count {
		fl.setBehaviour(modeler.TaskID{Job: id, Index: ix}, emulator.TaskBehaviour{RunTime: runTime})
	}
	return jb
}

// sensitiveTails are the tail latencies of a latency-critical task beside best-effort work and without, and for how long the
// former have been above a target without a break.
type sensitiveTails struct {
	alone, target time.Duration
	overSince     time.Time
	longestOver   time.Duration
}

func (st *sensitiveTails) tail(neighbours []modeler.TaskID) time.Duration {
	tail := st.alone
	if slices.ContainsFunc(neighbours, func(id modeler.TaskID) bool { return strings.HasPrefix(string(id.Job), "best-effort") }) {
		tail *= 2
	}
	switch {
	case tail <= st.target:
		st.overSince = time.Time{}
	case st.overSince.IsZero():
		st.overSince = time.Now()
	default:
		st.longestOver = max(st.longestOver, time.Since(st.overSince))
	}
	return tail
}

// Guards against jobs that wait for as long as their best-effort tasks would interfere with the latency-critical ones of
// all workers, although these use an eighth of the processors, and against latency-critical tasks that stay over their
// targets as such a job runs.
func TestStarvedJobBesideSensitiveTasks(t *testing.T) {
	for name, alone := range map[string]time.Duration{"far from the target": 60 * time.Millisecond, "near it": 250 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			run(t, 4, func(fl *fleet, tm *term) {
				sensitive := simpleJob("sensitive", "urgent", 4, cores(2000))
				sp, tails := &sensitive.Steps[0], make([]sensitiveTails, 4)
				sp.LongRunning, sp.TailTarget, sp.Image, sp.MaxPerWorker = true, 300*time.Millisecond, "sensitive", 1
				for ix := range tails {
					tails[ix] = sensitiveTails{alone: alone, target: sp.TailTarget}
					fl.setBehaviour(modeler.TaskID{Job: sensitive.ID, Index: ix}, emulator.TaskBehaviour{TailLatency: tails[ix].tail})
				}
				tm.submit(sensitive)
				sleep(2 * time.Second)
				for no := range 6 {
					jb := fl.bestEffortJob(modeler.JobID(fmt.Sprint("best-effort-", no)), 400*time.Millisecond)
					tm.submit(jb)
					tm.assertStartsWithin(jb, promisedRunTime)
				}
				sleep(20 * time.Second)
				for no := range 6 {
					tm.assertState(modeler.JobID(fmt.Sprint("best-effort-", no)), modeler.Completed)
				}
				for ix := range tails {
					qt.Check(t, tails[ix].longestOver < testLimits.OverTargetGrace, qt.IsTrue, qt.Commentf("over its target for %v", tails[ix].longestOver))
				}
			})
		})
	}
}

// Guards against jobs that wait although most of their pool is free, as most of what the workers that answer have is in use.
func TestStarvedJobsBesideSilentWorkers(t *testing.T) {
	run(t, 8, func(fl *fleet, tm *term) {
		tm.submitBusy(len(fl.infos), 10000)
		for _, info := range fl.infos[:5] {
			fl.workers.SetUnreachable(info.ID, true)
		}
		sleep(testLimits.Lease + time.Second)
		for no := range 6 {
			jb := fl.bestEffortJob(modeler.JobID(fmt.Sprint("best-effort-", no)), 30*time.Second)
			tm.submit(jb)
			tm.assertStartsWithin(jb, promisedRunTime)
		}
	})
}

// Guards against jobs that wait for as long as more urgent tasks come faster than the leader's link carries their starts.
func TestStarvedJobsBehindFullWindow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fl := newFleet(t, 60)
		fl.client = &slowLink{WorkerClient: fl.workers, startTime: 3 * time.Millisecond, otherTime: time.Millisecond}
		tm := fl.startTerm(0)
		defer func() { tm.end() }()
		sleep(2 * time.Second)
		// 600 starts a second are asked for, and 240 carried.
		submitUrgent := func(from, to int) {
			for no := from; no < to; no++ {
				tm.submit(simpleJob(modeler.JobID(fmt.Sprint("urgent-", no)), "urgent", 60, cores(1000)))
				sleep(100 * time.Millisecond)
			}
		}
		submitUrgent(0, 20)
		waiting := []*modeler.Job{simpleJob("batch", "batch", 2, cores(1000)), fl.bestEffortJob("best-effort", time.Second)}
		for _, jb := range waiting {
			tm.submit(jb)
		}
		submitUrgent(20, 20+int(promisedRunTime/(100*time.Millisecond)))
		for _, jb := range waiting {
			qt.Check(t, fl.startsOf(jb.ID, jb.Steps[0].Count) > 0, qt.IsTrue, qt.Commentf("job %s waits: %s", jb.ID, tm.WaitReason(modeler.TaskID{Job: jb.ID})))
		}
	})
}

// Guards against a job that has no run until the lease of a lost worker is over, as the run there counts.
func TestStarvedJobOfLostWorker(t *testing.T) {
	run(t, 4, func(fl *fleet, tm *term) {
		var jobs []*modeler.Job
		for no := range 30 {
			jobs = append(jobs, fl.bestEffortJob(modeler.JobID(fmt.Sprint("best-effort-", no)), 30*time.Second))
			tm.submit(jobs[no])
		}
		sleep(promisedRunTime)
		lost := modeler.WorkerID("worker-00")
		fl.workers.SetUnreachable(lost, true)
		for _, jb := range jobs {
			one, two := fl.workers.WorkerOf(modeler.TaskID{Job: jb.ID}), fl.workers.WorkerOf(modeler.TaskID{Job: jb.ID, Index: 1})
			if (one == lost || two == lost) && (one == "" || two == "") {
				// It takes up to 1.5 s until the worker is known not to answer.
				tm.assertStartsWithin(jb, promisedRunTime+1500*time.Millisecond)
				return
			}
		}
		t.Fatal("no job has its only run on the lost worker")
	})
}
