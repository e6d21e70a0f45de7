package director_test

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/currantrouter/currantrouter/internal/job/modeler"
	"github.com/currantrouter/currantrouter/internal/provider/emulator"
)

var errPolicyAway = errors.New("the policy service does not answer")

// workerPolicy is a policy service that permits some workers, for 3 s each. It is away while away is set.
type workerPolicy struct {
	permitted []modeler.WorkerID
	away      atomic.Bool
}

func (wp *workerPolicy) Permit(_ context.Context, _ modeler.StepID, workers []modeler.WorkerID) ([]modeler.Permit, error) {
	time.Sleep(50 * time.Millisecond)
	if wp.away.Load() {
		return nil, errPolicyAway
	}
	var list []modeler.Permit
	for _, id := range workers {
		if slices.Contains(wp.permitted, id) {
			list = append(list, modeler.Permit{Worker: id, Ticket: "ticket", TTL: 3 * time.Second})
		}
	}
	return list, nil
}

// runWithPolicy runs a test with two workers that have the label "gold" and four others. The queue "urgent" has a policy.
func runWithPolicy(t *testing.T, wp *workerPolicy, test func(fl *fleet, tm *term)) {
	t.Helper()
	run(t, 6, func(fl *fleet, tm *term) {
		tm.end()
		for ix := range 2 {
			fl.infos[ix].Labels = append(fl.infos[ix].Labels, "gold")
		}
		fl.policy, fl.config.Queues[0].Policy = wp, &modeler.Policy{DecisionTime: 50 * time.Millisecond}
		*tm = *fl.startTerm(0)
		sleep(time.Second)
		test(fl, tm)
	})
}

// goldJob returns a job of one task that needs a worker with the label.
func goldJob(id modeler.JobID, queue modeler.QueueName, needs modeler.Resources) *modeler.Job {
	jb := simpleJob(id, queue, 1, needs)
	jb.Steps[0].Label = "gold"
	return jb
}

// assertSmallJobsRun submits jobs that need little of a worker with the label, and checks that each runs soon.
func (tm *term) assertSmallJobsRun(count int) {
	tm.fleet.t.Helper()
	var jobs []*modeler.Job
	for no := range count {
		jobs = append(jobs, goldJob(modeler.JobID(fmt.Sprint("small-", no)), "batch", cores(1000)))
		tm.submit(jobs[no])
	}
	sleep(promisedRunTime)
	for _, jb := range jobs {
		qt.Check(tm.fleet.t, tm.fleet.startsOf(jb.ID, 1), qt.Equals, 1, qt.Commentf("job %s waits: %s", jb.ID, tm.WaitReason(modeler.TaskID{Job: jb.ID})))
	}
}

// Guards against workers that are held, round after round, for tasks that their queue's policy permits there never.
func TestHopelessTasksHoldNoWorkers(t *testing.T) {
	for name, set := range map[string]func(*modeler.Step){
		"short":        func(*modeler.Step) {},
		"long-running": func(sp *modeler.Step) { sp.LongRunning, sp.Estimate = true, 0 },
	} {
		t.Run(name, func(t *testing.T) {
			runWithPolicy(t, &workerPolicy{}, func(_ *fleet, tm *term) {
				for no := range 2 {
					jb := goldJob(modeler.JobID(fmt.Sprint("hopeless-", no)), "urgent", cores(10000))
					set(&jb.Steps[0])
					tm.submit(jb)
				}
				sleep(3 * time.Second)
				tm.assertSmallJobsRun(16)
				tm.CancelJob("hopeless-0")
				tm.CancelJob("hopeless-1")
				sleep(time.Second)
			})
		})
	}
}

// Guards against workers with capacity that are held for as long as the policy service is away, as their tickets have run out.
func TestPolicyServiceAwayHoldsNoWorkers(t *testing.T) {
	wp := &workerPolicy{permitted: []modeler.WorkerID{"worker-00", "worker-01"}}
	runWithPolicy(t, wp, func(fl *fleet, tm *term) {
		for no := range 2 {
			id := modeler.JobID(fmt.Sprint("urgent-", no))
			fl.setBehaviour(modeler.TaskID{Job: id}, emulator.TaskBehaviour{RunTime: 4 * time.Second, Fails: true})
			tm.submit(goldJob(id, "urgent", cores(10000)))
		}
		sleep(2 * time.Second)
		wp.away.Store(true)
		sleep(5 * time.Second)
		tm.assertSmallJobsRun(16)
		wp.away.Store(false)
		sleep(7 * time.Second)
	})
}

// Guards against jobs that wait for as long as the runs take on workers that are held for tasks which need more.
func TestSmallJobsBesideLongReservations(t *testing.T) {
	runWithPolicy(t, &workerPolicy{permitted: []modeler.WorkerID{"worker-00", "worker-01"}}, func(fl *fleet, tm *term) {
		for no := range 2 {
			id := modeler.JobID(fmt.Sprint("minute-", no))
			fl.setBehaviour(modeler.TaskID{Job: id}, emulator.TaskBehaviour{RunTime: time.Minute})
			tm.submit(goldJob(id, "urgent", cores(9000)))
		}
		sleep(time.Second)
		for no := range 2 {
			tm.submit(goldJob(modeler.JobID(fmt.Sprint("urgent-", no)), "urgent", cores(10000)))
		}
		sleep(3 * time.Second)
		tm.assertSmallJobsRun(16)
		sleep(time.Minute)
		for no := range 2 {
			qt.Check(t, fl.workers.StartCount(modeler.TaskID{Job: modeler.JobID(fmt.Sprint("urgent-", no))}), qt.Equals, 1)
		}
		sleep(2 * time.Second)
	})
}

// timedPolicy permits all workers for 3 s, and takes longer the more it is asked about.
type timedPolicy struct{ requests int }

func (tp *timedPolicy) Permit(_ context.Context, _ modeler.StepID, workers []modeler.WorkerID) ([]modeler.Permit, error) {
	tp.requests++
	time.Sleep(60*time.Millisecond + time.Duration(len(workers))*2*time.Millisecond)
	var list []modeler.Permit
	for _, id := range workers {
		list = append(list, modeler.Permit{Worker: id, Ticket: "ticket", TTL: 3 * time.Second})
	}
	return list, nil
}

// Guards against a gang that never starts, or only after permits have run out, as it needs more of them than one task.
func TestPermitsForWideGangs(t *testing.T) {
	for _, width := range []int{8, 24, 32, 60, 100} {
		t.Run(fmt.Sprint(width, " tasks"), func(t *testing.T) {
			run(t, 100, func(fl *fleet, tm *term) {
				tm.end()
				tp := &timedPolicy{}
				fl.policy, fl.config.Queues[0].Policy = tp, &modeler.Policy{DecisionTime: 60 * time.Millisecond, TimePerWorker: 2 * time.Millisecond}
				*tm = *fl.startTerm(0)
				sleep(2 * time.Second)
				jb := simpleJob("gang", "urgent", width, cores(1000))
				jb.Steps[0].Gang, jb.Steps[0].MaxPerWorker = true, 1
				tm.submit(jb)
				began := time.Now()
				for fl.startsOf("gang", width) < width && time.Since(began) < promisedRunTime {
					sleep(10 * time.Millisecond)
				}
				t.Logf("started after %v, with %d requests", time.Since(began), tp.requests)
				qt.Check(t, fl.startsOf("gang", width), qt.Equals, width)
				sleep(8 * time.Second)
			})
		})
	}
}

// Guards against an urgent task that never starts behind a stream of smaller ones, as its permitted workers are full each
// time and the policy service is asked only about workers with capacity.
func TestPermittedTaskBehindFullWorkers(t *testing.T) {
	runWithPolicy(t, &workerPolicy{permitted: []modeler.WorkerID{"worker-01"}}, func(fl *fleet, tm *term) {
		for no := range 80 {
			if no == 20 {
				tm.submit(goldJob("urgent", "urgent", cores(12000)))
			}
			tm.submit(goldJob(modeler.JobID(fmt.Sprint("stream-", no)), "batch", cores(5000)))
			sleep(150 * time.Millisecond)
		}
		qt.Check(t, fl.workers.StartCount(modeler.TaskID{Job: "urgent"}), qt.Equals, 1)
		sleep(40 * time.Second)
	})
}
