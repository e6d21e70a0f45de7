package director_test

import (
	"context"
	"fmt"
	"os"
	"slices"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/currantrouter/currantrouter/internal/job/modeler"
	"github.com/currantrouter/currantrouter/internal/provider/emulator"
)

// Guards against steps that start before their predecessors are done, and against an end that is
// reported before it is durable.
func TestSteps(t *testing.T) {
	t.Run("a step waits for its predecessors", func(t *testing.T) {
		run(t, 2, func(fl *fleet, tm *term) {
			jb := simpleJob("j1", "batch", 4, cores(1000))
			jb.Steps = append(jb.Steps, modeler.Step{Count: 2, Needs: cores(1000), After: []int{0}})
			tm.submit(jb)
			tm.assertState("j1", modeler.Queued)
			sleep(900 * time.Millisecond)
			tm.assertState("j1", modeler.Running)
			qt.Check(t, fl.workers.StartCount(modeler.TaskID{Job: "j1", Step: 1}), qt.Equals, 0)
			sleep(600 * time.Millisecond)
			qt.Check(t, fl.workers.StartCount(modeler.TaskID{Job: "j1", Step: 1}), qt.Equals, 1)
			sleep(time.Second)
			tm.assertState("j1", modeler.Completed)
		})
	})
	t.Run("an end that is not durable is not reported", func(t *testing.T) {
		run(t, 1, func(fl *fleet, tm *term) {
			tm.submit(simpleJob("j1", "batch", 1, cores(1000)))
			sleep(500 * time.Millisecond)
			fl.faults.Set(emulator.Switch{Fault: emulator.Unavailable, Part: emulator.PartStore, Operation: "Put"})
			sleep(3 * time.Second)
			tm.assertState("j1", modeler.Running)
			fl.faults.Clear()
			sleep(6 * time.Second)
			tm.assertState("j1", modeler.Completed)
		})
	})
}

// Guards against a job that fails after too few or too many failed runs, or starts again after it
// has failed.
func TestFailures(t *testing.T) {
	task := modeler.TaskID{Job: "j1"}
	run(t, 4, func(fl *fleet, tm *term) {
		fl.setBehaviour(task, emulator.TaskBehaviour{RunTime: 200 * time.Millisecond, Fails: true})
		tm.submit(simpleJob("j1", "batch", 2, cores(1000)))
		sleep(20 * time.Second)
		tm.assertState("j1", modeler.Failed)
		qt.Check(t, fl.workers.StartCount(task), qt.Equals, 3)
	})
}

// Guards against tasks that run on after their job was cancelled, also when a start is carried out
// late.
func TestCancel(t *testing.T) {
	t.Run("running", func(t *testing.T) {
		run(t, 1, func(fl *fleet, tm *term) {
			jb := simpleJob("j1", "urgent", 3, cores(1000))
			jb.Steps[0].LongRunning = true
			tm.submit(jb)
			sleep(2 * time.Second)
			tm.CancelJob("j1")
			sleep(time.Second)
			tm.assertState("j1", modeler.Cancelled)
			qt.Check(t, fl.workers.WorkerOf(modeler.TaskID{Job: "j1"}), qt.Equals, modeler.WorkerID(""))
		})
	})
	t.Run("cancelled before its job is added", func(t *testing.T) {
		run(t, 1, func(fl *fleet, tm *term) {
			tm.CancelJob("j1")
			tm.submit(simpleJob("j1", "urgent", 1, cores(1000)))
			sleep(2 * time.Second)
			tm.assertState("j1", modeler.Cancelled)
			qt.Check(t, fl.workers.StartCount(modeler.TaskID{Job: "j1"}), qt.Equals, 0)
		})
	})
	t.Run("start carried out late", func(t *testing.T) {
		run(t, 1, func(fl *fleet, tm *term) {
			fl.faults.Set(emulator.Switch{Fault: emulator.Late, Part: emulator.PartWorkers, Operation: "Start", Count: 1, Delay: 3 * time.Second})
			tm.submit(simpleJob("j1", "urgent", 1, cores(1000)))
			sleep(100 * time.Millisecond)
			tm.CancelJob("j1")
			sleep(10 * time.Second)
			qt.Check(t, fl.workers.StartCount(modeler.TaskID{Job: "j1"}), qt.Equals, 0)
		})
	})
}

// Guards against a second concurrent run of a task whose first start got no answer, and against a
// task that never starts again.
func TestStartWithoutAnswer(t *testing.T) {
	for name, sw := range map[string]emulator.Switch{
		"request lost": {Fault: emulator.RequestLost},
		"answer lost":  {Fault: emulator.AnswerLost},
		"late":         {Fault: emulator.Late, Delay: 2 * time.Second},
		"refused":      {Fault: emulator.Unavailable},
	} {
		t.Run(name, func(t *testing.T) {
			run(t, 3, func(fl *fleet, tm *term) {
				sw.Part, sw.Operation, sw.Count = emulator.PartWorkers, "Start", 2
				fl.faults.Set(sw)
				tm.submit(simpleJob("j1", "urgent", 2, cores(1000)))
				sleep(12 * time.Second)
				tm.assertState("j1", modeler.Completed)
			})
		})
	}
}

// Guards against tasks of an unreachable worker that are started elsewhere while they may still run
// there.
func TestUnreachableWorker(t *testing.T) {
	for name, outage := range map[string]time.Duration{"short": 4 * time.Second, "beyond the lease": 15 * time.Second} {
		t.Run(name, func(t *testing.T) {
			run(t, 2, func(fl *fleet, tm *term) {
				jb := simpleJob("j1", "urgent", 1, cores(1000))
				jb.Steps[0].LongRunning = true
				tm.submit(jb)
				sleep(2 * time.Second)
				task := modeler.TaskID{Job: "j1"}
				where := fl.workers.WorkerOf(task)
				fl.workers.SetUnreachable(where, true)
				sleep(outage)
				fl.workers.SetUnreachable(where, false)
				sleep(4 * time.Second)
				want := 1
				if outage > testLimits.Lease {
					want = 2
				}
				qt.Check(t, fl.workers.StartCount(task), qt.Equals, want)
			})
		})
	}
}

// testTaskOfUnreachableWorker runs a test, with the same leader and with the next one, in which the worker of a task is
// unreachable while the task ends. The other workers are in use as given, in thousandths of a core each.
func testTaskOfUnreachableWorker(t *testing.T, used int64, test func(fl *fleet, tm *term, task modeler.TaskID, where modeler.WorkerID)) {
	for name, changesLeader := range map[string]bool{"same leader": false, "next leader": true} {
		t.Run(name, func(t *testing.T) {
			run(t, 4, func(fl *fleet, tm *term) {
				tm.submitBusy(4, used)
				task := modeler.TaskID{Job: "j1"}
				tm.submit(simpleJob(task.Job, "batch", 1, cores(1000)))
				sleep(500 * time.Millisecond)
				where := fl.workers.WorkerOf(task)
				fl.workers.SetUnreachable(where, true)
				if changesLeader {
					tm.nextTerm(testLimits.Lease)
				}
				test(fl, tm, task, where)
			})
		})
	}
}

// Guards against a second run, in a pool without room, of a task that ended on an unreachable worker, which reports the end
// when it is reachable again soon after its lease.
func TestEndedOnUnreachableWorker(t *testing.T) {
	testTaskOfUnreachableWorker(t, 14000, func(fl *fleet, tm *term, task modeler.TaskID, where modeler.WorkerID) {
		sleep(testLimits.Lease + 2*time.Second)
		fl.workers.SetUnreachable(where, false)
		sleep(3 * time.Second)
		tm.assertState(task.Job, modeler.Completed)
		qt.Check(fl.t, fl.workers.StartCount(task), qt.Equals, 1)
	})
	t.Run("worker crashes", func(t *testing.T) {
		run(t, 2, func(fl *fleet, tm *term) {
			tm.submit(simpleJob("j1", "batch", 1, cores(1000)))
			sleep(500 * time.Millisecond)
			fl.workers.Crash(fl.workers.WorkerOf(modeler.TaskID{Job: "j1"}))
			sleep(testLimits.Lease + 8*time.Second)
			tm.assertState("j1", modeler.Completed)
		})
	})
}

// Guards against a task of an unreachable worker that waits for longer than the lease although its pool has room, and
// against one that runs on after the worker has reported the end of the first run.
func TestTaskOfUnreachableWorkerInPoolWithRoom(t *testing.T) {
	testTaskOfUnreachableWorker(t, 4000, func(fl *fleet, tm *term, task modeler.TaskID, where modeler.WorkerID) {
		fl.setBehaviour(task, emulator.TaskBehaviour{RunTime: time.Minute})
		sleep(testLimits.Lease + time.Second)
		qt.Assert(fl.t, fl.workers.StartCount(task), qt.Equals, 2)
		fl.workers.SetUnreachable(where, false)
		sleep(time.Second)
		tm.assertState(task.Job, modeler.Completed)
		qt.Check(fl.t, fl.workers.WorkerOf(task), qt.Equals, modeler.WorkerID(""))
	})
}

// Guards against a second run of a task that ended on an unreachable worker, by a leader that takes a pool for one with room
// as it has not read the registry yet.
func TestEndedOnUnreachableWorkerBeforeRegistryIsRead(t *testing.T) {
	run(t, 4, func(fl *fleet, tm *term) {
		tm.submitBusy(4, 14000)
		task := modeler.TaskID{Job: "j1"}
		tm.submit(simpleJob(task.Job, "batch", 1, cores(1000)))
		sleep(500 * time.Millisecond)
		where := fl.workers.WorkerOf(task)
		fl.workers.SetUnreachable(where, true)
		sleep(testLease + 1500*time.Millisecond)
		fl.predecessorStopped.Store(true)
		fl.unregistered = map[modeler.WorkerID]bool{}
		for ix := range fl.infos {
			fl.unregistered[fl.infos[ix].ID] = true
		}
		tm.nextTerm(testLimits.MaxLeaseTime())
		sleep(300 * time.Millisecond)
		tm.SetWorkers(fl.infos)
		sleep(time.Second)
		fl.workers.SetUnreachable(where, false)
		sleep(3 * time.Second)
		tm.assertState(task.Job, modeler.Completed)
		qt.Check(t, fl.workers.StartCount(task), qt.Equals, 1)
	})
}

// Guards against a task that waits for longer than the lease, although its pool has room, as another pool has none.
func TestTaskOfUnreachableWorkerBesideFullPool(t *testing.T) {
	run(t, 8, func(fl *fleet, tm *term) {
		other := fl.config.Queues[0]
		other.Name, other.Pool = "other", "other"
		fl.config.Queues = append(fl.config.Queues, other)
		for ix := 4; ix < 8; ix++ {
			fl.infos[ix].Pool = "other"
		}
		tm.SetWorkers(fl.infos)
		busy := longRunningJob("busy", "other", 4, cores(14000))
		busy.Pool, busy.Steps[0].MaxPerWorker = "other", 1
		tm.submit(busy)
		sleep(3 * time.Second)
		task := modeler.TaskID{Job: "j1"}
		fl.setBehaviour(task, emulator.TaskBehaviour{RunTime: time.Minute})
		tm.submit(simpleJob(task.Job, "batch", 1, cores(1000)))
		sleep(500 * time.Millisecond)
		fl.workers.SetUnreachable(fl.workers.WorkerOf(task), true)
		fl.workers.SetUnreachable(fl.infos[7].ID, true)
		tm.nextTerm(testLimits.MaxLeaseTime())
		sleep(testLimits.MaxLeaseTime() + time.Second)
		qt.Check(t, fl.workers.StartCount(task), qt.Equals, 2, qt.Commentf("waits: %s", tm.WaitReason(task)))
	})
}

// Guards against tasks that wait for ever for a worker that has crashed and left the registry.
func TestRemovedWorker(t *testing.T) {
	run(t, 2, func(fl *fleet, tm *term) {
		jb := simpleJob("j1", "urgent", 1, cores(1000))
		jb.Steps[0].LongRunning = true
		tm.submit(jb)
		sleep(2 * time.Second)
		task := modeler.TaskID{Job: "j1"}
		removed := fl.workers.WorkerOf(task)
		fl.workers.Crash(removed)
		tm.RemoveWorker(removed)
		sleep(testLimits.Lease + 2*time.Second)
		now := fl.workers.WorkerOf(task)
		qt.Check(t, now != "" && now != removed, qt.IsTrue, qt.Commentf("from %s to %s", removed, now))
		qt.Check(t, tm.Workers(), qt.HasLen, 1)
	})
}

// Guards against a worker that restarts under its ID and is taken for its earlier incarnation.
func TestWorkerRestarts(t *testing.T) {
	run(t, 1, func(fl *fleet, tm *term) {
		jb := simpleJob("j1", "urgent", 1, cores(1000))
		jb.Steps[0].LongRunning = true
		tm.submit(jb)
		sleep(2 * time.Second)
		fl.workers.Crash("worker-00")
		sleep(time.Second)
		tm.UpdateWorker(fl.workers.Add(workerInfo(0)))
		sleep(2 * time.Second)
		qt.Check(t, fl.workers.WorkerOf(modeler.TaskID{Job: "j1"}), qt.Equals, modeler.WorkerID("worker-00"))
		qt.Check(t, fl.workers.StartCount(modeler.TaskID{Job: "j1"}), qt.Equals, 2)
	})
}

// Guards against a second run of a task that an earlier leader has started, and against ends that
// are lost or counted twice when the leader changes.
func TestTakeover(t *testing.T) {
	t.Run("all workers answer", func(t *testing.T) {
		run(t, 4, func(fl *fleet, tm *term) {
			for ix := range 6 {
				jb := simpleJob(modeler.JobID(fmt.Sprint("j", ix)), "batch", 4, cores(2000))
				jb.Steps = append(jb.Steps, modeler.Step{Count: 2, Needs: cores(1000), After: []int{0}})
				tm.submit(jb)
			}
			for range 3 {
				sleep(700 * time.Millisecond)
				tm.end()
				*tm = *fl.startTerm(10 * time.Second)
			}
			sleep(8 * time.Second)
			for ix := range 6 {
				tm.assertState(modeler.JobID(fmt.Sprint("j", ix)), modeler.Completed)
			}
		})
	})
	// The end of an earlier run was recorded, and the next run is on a worker that does not answer.
	t.Run("restored end of an earlier run", func(t *testing.T) {
		run(t, 2, func(fl *fleet, tm *term) {
			task := modeler.TaskID{Job: "j1"}
			fl.setBehaviour(task, emulator.TaskBehaviour{RunTime: 300 * time.Millisecond, Fails: true})
			tm.submit(simpleJob("j1", "batch", 1, cores(1000)))
			sleep(200 * time.Millisecond)
			first := fl.workers.WorkerOf(task)
			fl.setBehaviour(task, emulator.TaskBehaviour{RunTime: 4 * time.Second})
			sleep(time.Second)
			second := fl.workers.WorkerOf(task)
			qt.Assert(t, second != "" && second != first, qt.IsTrue)
			tm.end()
			fl.workers.SetUnreachable(second, true)
			*tm = *fl.startTerm(10 * time.Second)
			sleep(2 * time.Second)
			fl.workers.SetUnreachable(second, false)
			sleep(6 * time.Second)
			tm.assertState("j1", modeler.Completed)
		})
	})
	t.Run("job added before it is loaded", func(t *testing.T) {
		run(t, 2, func(fl *fleet, tm *term) {
			fl.setBehaviour(modeler.TaskID{Job: "j1"}, emulator.TaskBehaviour{RunTime: 5 * time.Second})
			tm.submit(simpleJob("j1", "urgent", 1, cores(1000)))
			sleep(time.Second)
			where := fl.workers.WorkerOf(modeler.TaskID{Job: "j1"})
			tm.end()
			fl.workers.SetUnreachable(where, true)
			fl.addEarly = true
			*tm = *fl.startTerm(10 * time.Second)
			sleep(2 * time.Second)
			fl.workers.SetUnreachable(where, false)
			sleep(4 * time.Second)
			tm.assertState("j1", modeler.Completed)
		})
	})
}

// Guards against a new leader that waits for ever, or not at all, for workers that do not answer.
func TestTakeoverWithoutWorkers(t *testing.T) {
	// A crashed worker must not delay long-running tasks that were never on it.
	t.Run("a worker crashed", func(t *testing.T) {
		run(t, 3, func(fl *fleet, tm *term) {
			jb := simpleJob("j1", "urgent", 3, cores(12000))
			jb.Steps[0].LongRunning = true
			tm.submit(jb)
			sleep(2 * time.Second)
			var task modeler.TaskID
			for ix := range 3 {
				if id := (modeler.TaskID{Job: "j1", Index: ix}); fl.workers.WorkerOf(id) == "worker-01" {
					task = id
				}
			}
			tm.end()
			fl.workers.SetUnreachable("worker-00", true)
			fl.workers.Crash("worker-01")
			fl.infos = append(fl.infos[:1], fl.infos[2:]...)
			fl.infos = append(fl.infos, fl.workers.Add(workerInfo(1)), fl.workers.Add(workerInfo(3)))
			*tm = *fl.startTerm(12 * time.Second)
			sleep(2500 * time.Millisecond)
			qt.Check(t, fl.workers.WorkerOf(task) != "", qt.IsTrue)
			fl.workers.SetUnreachable("worker-00", false)
			sleep(2 * time.Second)
		})
	})
	t.Run("a worker never answers", func(t *testing.T) {
		run(t, 2, func(fl *fleet, tm *term) {
			jb := simpleJob("j1", "urgent", 2, cores(12000))
			jb.Steps[0].LongRunning = true
			tm.submit(jb)
			sleep(2 * time.Second)
			tm.end()
			fl.workers.SetUnreachable("worker-01", true)
			*tm = *fl.startTerm(8 * time.Second)
			sleep(testLease - 2*time.Second)
			qt.Check(t, fl.workers.WorkerOf(modeler.TaskID{Job: "j1"}) != "", qt.IsTrue)
			sleep(10 * time.Second)
		})
	})
}

// Guards against a batch of ends that becomes durable before an earlier one of the same worker,
// which makes the worker drop both.
func TestEndsInOrder(t *testing.T) {
	run(t, 1, func(fl *fleet, tm *term) {
		for ix := range 3 {
			fl.setBehaviour(modeler.TaskID{Job: "j1", Index: ix}, emulator.TaskBehaviour{RunTime: time.Duration(ix+1) * 600 * time.Millisecond})
		}
		tm.submit(simpleJob("j1", "batch", 3, cores(1000)))
		sleep(550 * time.Millisecond)
		fl.faults.Set(emulator.Switch{Fault: emulator.Unavailable, Part: emulator.PartStore, Operation: "Put", Target: "Journal/", Count: 2})
		sleep(1200 * time.Millisecond)
		tm.end()
		*tm = *fl.startTerm(8 * time.Second)
		sleep(4 * time.Second)
		tm.assertState("j1", modeler.Completed)
		for ix := range 3 {
			qt.Check(t, fl.workers.StartCount(modeler.TaskID{Job: "j1", Index: ix}), qt.Equals, 1)
		}
	})
}

// Guards against a wrong number of pending jobs, as a new leader would report before it has loaded
// the jobs.
func TestPending(t *testing.T) {
	run(t, 0, func(_ *fleet, tm *term) {
		tm.submit(simpleJob("j1", "batch", 1, cores(1000)))
		tm.submit(simpleJob("j2", "batch", 1, cores(1000)))
		sleep(time.Second)
		jobs, ok := tm.PendingJobs("batch")
		qt.Check(t, ok, qt.IsTrue)
		qt.Check(t, jobs, qt.Equals, 2)
	})
}

// Guards against steps that exceed their limits, and against tasks that stay on a draining worker.
func TestPlacement(t *testing.T) {
	t.Run("no more than a step allows on one worker", func(t *testing.T) {
		run(t, 2, func(fl *fleet, tm *term) {
			jb := simpleJob("j1", "batch", 6, cores(100))
			jb.Steps[0].MaxPerWorker = 2
			tm.submit(jb)
			sleep(500 * time.Millisecond)
			count := map[modeler.WorkerID]int{}
			for ix := range 6 {
				count[fl.workers.WorkerOf(modeler.TaskID{Job: "j1", Index: ix})]++
			}
			qt.Check(t, count, qt.DeepEquals, map[modeler.WorkerID]int{"": 2, "worker-00": 2, "worker-01": 2})
		})
	})
	t.Run("a draining worker is emptied", func(t *testing.T) {
		run(t, 2, func(fl *fleet, tm *term) {
			jb := simpleJob("j1", "urgent", 2, cores(1000))
			jb.Steps[0].LongRunning = true
			tm.submit(jb)
			sleep(time.Second)
			where := fl.workers.WorkerOf(modeler.TaskID{Job: "j1"})
			for _, info := range fl.infos {
				if info.ID == where {
					info.Draining, info.MinRemaining = true, 2*time.Second
					tm.UpdateWorker(info)
				}
			}
			sleep(3 * time.Second)
			now := fl.workers.WorkerOf(modeler.TaskID{Job: "j1"})
			qt.Check(t, now != where && now != "", qt.IsTrue, qt.Commentf("from %s to %s", where, now))
		})
	})
	t.Run("gangs start together or not at all", func(t *testing.T) {
		run(t, 2, func(fl *fleet, tm *term) {
			jb := simpleJob("j1", "batch", 3, cores(12000))
			jb.Steps[0].Gang = true
			tm.submit(jb)
			sleep(3 * time.Second)
			for ix := range 3 {
				qt.Check(t, fl.workers.StartCount(modeler.TaskID{Job: "j1", Index: ix}), qt.Equals, 0)
			}
			fl.infos = append(fl.infos, fl.workers.Add(workerInfo(2)))
			tm.SetWorkers(fl.infos)
			sleep(5 * time.Second)
			for ix := range 3 {
				qt.Check(t, fl.workers.StartCount(modeler.TaskID{Job: "j1", Index: ix}), qt.Equals, 1)
			}
		})
	})
}

// Guards against tasks that wait although there is free capacity for them, and against long-running
// ones that take all of it.
func TestFreeCapacity(t *testing.T) {
	// A larger waiting task must not keep smaller ones from a worker on which it never fits.
	t.Run("a large waiting task does not block a small one", func(t *testing.T) {
		run(t, 1, func(fl *fleet, tm *term) {
			base := simpleJob("base", "urgent", 1, cores(9000))
			base.Steps[0].LongRunning = true
			tm.submit(base)
			sleep(time.Second)
			for _, jb := range []*modeler.Job{simpleJob("large", "urgent", 1, cores(10000)), simpleJob("small", "urgent", 1, cores(3000))} {
				jb.Steps[0].LongRunning = true
				tm.submit(jb)
			}
			sleep(time.Second)
			qt.Check(t, fl.workers.WorkerOf(modeler.TaskID{Job: "small"}), qt.Equals, modeler.WorkerID("worker-00"))
		})
	})
	// A round that ended after a fixed number of tasks without a worker never reached the tasks
	// after them.
	t.Run("a small task behind many large ones", func(t *testing.T) {
		run(t, 1, func(fl *fleet, tm *term) {
			base := simpleJob("base", "urgent", 1, cores(9000))
			base.Steps[0].LongRunning = true
			tm.submit(base)
			for ix := range 60 {
				jb := simpleJob(modeler.JobID(fmt.Sprint("large", ix)), "urgent", 1, cores(int64(10000+ix)))
				jb.Steps[0].LongRunning, jb.Steps[0].MaxPerWorker = true, 1
				tm.submit(jb)
			}
			small := simpleJob("small", "urgent", 1, cores(2000))
			small.Steps[0].LongRunning = true
			tm.submit(small)
			sleep(2 * time.Second)
			qt.Check(t, fl.workers.WorkerOf(modeler.TaskID{Job: "small"}), qt.Equals, modeler.WorkerID("worker-00"))
		})
	})
	t.Run("long-running tasks leave capacity for short ones", func(t *testing.T) {
		run(t, 4, func(_ *fleet, tm *term) {
			jb := simpleJob("long-running", "urgent", 20, cores(4000))
			jb.Steps[0].LongRunning = true
			tm.submit(jb)
			sleep(time.Second)
			tm.submit(simpleJob("short", "urgent", 1, cores(2000)))
			sleep(2 * time.Second)
			tm.assertState("short", modeler.Completed)
		})
	})
}

// Guards against a failed task that waits for a worker it never gets, or keeps other tasks from
// theirs.
func TestAfterFailure(t *testing.T) {
	failing := emulator.TaskBehaviour{RunTime: 200 * time.Millisecond, Fails: true}
	t.Run("other tasks use the worker that a failed task avoids", func(t *testing.T) {
		run(t, 2, func(fl *fleet, tm *term) {
			base := simpleJob("base", "urgent", 1, cores(15000))
			base.Steps[0].LongRunning = true
			tm.submit(base)
			sleep(time.Second)
			fl.setBehaviour(modeler.TaskID{Job: "failing"}, failing)
			tm.submit(simpleJob("failing", "urgent", 1, cores(4000)))
			sleep(time.Second)
			tm.submit(simpleJob("next", "batch", 1, cores(4000)))
			sleep(2 * time.Second)
			tm.assertState("next", modeler.Completed)
		})
	})
	t.Run("workers of another pool are no alternative", func(t *testing.T) {
		run(t, 2, func(fl *fleet, tm *term) {
			fl.infos[1].Pool = "other"
			tm.UpdateWorker(fl.infos[1])
			fl.setBehaviour(modeler.TaskID{Job: "failing"}, failing)
			tm.submit(simpleJob("failing", "urgent", 1, cores(4000)))
			sleep(10 * time.Second)
			tm.assertState("failing", modeler.Failed)
		})
	})
}

// Guards against starts before an occurrence is due, or on workers that the policy service does not
// permit.
func TestDueTimesAndPermits(t *testing.T) {
	t.Run("only where the policy service permits", func(t *testing.T) {
		run(t, 6, func(fl *fleet, tm *term) {
			tm.end()
			po := &policy{permitted: "worker-04"}
			fl.policy, fl.config.Queues[0].Policy = po, &modeler.Policy{DecisionTime: 50 * time.Millisecond}
			*tm = *fl.startTerm(0)
			sleep(300 * time.Millisecond)
			tm.submit(simpleJob("j1", "urgent", 3, cores(1000)))
			sleep(600 * time.Millisecond)
			for ix := range 3 {
				qt.Check(t, fl.workers.WorkerOf(modeler.TaskID{Job: "j1", Index: ix}), qt.Equals, modeler.WorkerID("worker-04"))
			}
			qt.Check(t, po.asked, qt.Equals, 1)
		})
	})
	t.Run("occurrences start when they are due", func(t *testing.T) {
		run(t, 1, func(fl *fleet, tm *term) {
			jb := simpleJob("j1", "batch", 1, cores(1000))
			jb.Repeats, jb.First, jb.Interval = 3, time.Now().Add(2*time.Second), 3*time.Second
			tm.submit(jb)
			for occurrence := range 3 {
				sleep(1900 * time.Millisecond)
				qt.Check(t, fl.workers.StartCount(modeler.TaskID{Job: "j1", Occurrence: occurrence}), qt.Equals, 0)
				sleep(1100 * time.Millisecond)
				qt.Check(t, fl.workers.StartCount(modeler.TaskID{Job: "j1", Occurrence: occurrence}), qt.Equals, 1)
			}
			sleep(2 * time.Second)
			tm.assertState("j1", modeler.Completed)
		})
	})
}

// policy is a policy service that permits one worker.
type policy struct {
	permitted modeler.WorkerID
	asked     int
}

func (po *policy) Permit(_ context.Context, _ modeler.StepID, workers []modeler.WorkerID) ([]modeler.Permit, error) {
	time.Sleep(50 * time.Millisecond)
	po.asked++
	if slices.Contains(workers, po.permitted) {
		return []modeler.Permit{{Worker: po.permitted, Ticket: "ticket", TTL: 3 * time.Second}}, nil
	}
	return nil, nil
}

// Guards against stragglers that are not moved from a slow worker.
func TestStragglers(t *testing.T) {
	for _, listed := range []bool{false, true} {
		t.Run(fmt.Sprintf("checkpoints of active runs listed %v", listed), func(t *testing.T) {
			run(t, 6, func(fl *fleet, tm *term) {
				fl.workers.SetSlowdown("worker-03", 50)
				for ix := range 12 {
					fl.setBehaviour(modeler.TaskID{Job: "j1", Index: ix}, emulator.TaskBehaviour{RunTime: 2 * time.Second, ListsCheckpoints: listed})
				}
				jb := simpleJob("j1", "batch", 12, cores(7000))
				jb.Steps[0].Checkpoints = true
				tm.submit(jb)
				sleep(9 * time.Second)
				tm.assertState("j1", modeler.Completed)
			})
		})
	}
}

// seeds returns the number of seeds of TestRandomFaults. DIRECTOR_SEEDS overrides the default.
func seeds() uint64 {
	if num, err := strconv.ParseUint(os.Getenv("DIRECTOR_SEEDS"), 10, 32); err == nil {
		return num
	}
	return 20
}

// Guards against all of these failures under combined faults. The seed is in the name of the
// subtest.
func TestRandomFaults(t *testing.T) {
	for seed := range seeds() {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runRandomFaults(t, seed, "") })
		})
	}
}
