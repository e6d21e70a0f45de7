package director_test

import (
	"context"
	"slices"
	"testing"
	"time"

	"github.com/currantrouter/currantrouter/internal/job/director"
	"github.com/currantrouter/currantrouter/internal/job/modeler"
	"github.com/currantrouter/currantrouter/internal/provider/emulator"
)

// maxLostWorkers is the maximum number of workers that are lost for good on a day.
const maxLostWorkers = 3

// greyWorkers is a client that makes the runs that start on grey workers fail.
type greyWorkers struct {
	director.WorkerClient
	fl *fleet
}

// Start implements director.WorkerClient.
func (gw *greyWorkers) Start(ctx context.Context, wk *modeler.Worker, req *modeler.StartRequest) (time.Duration, error) {
	gw.fl.mu.Lock()
	gw.fl.failing[req.Task] = gw.fl.grey[wk.ID]
	gw.fl.mu.Unlock()
	return gw.WorkerClient.Start(ctx, wk, req)
}

// setGrey makes a worker grey, or sound again.
func (fl *fleet) setGrey(id modeler.WorkerID, grey bool) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	fl.grey[id] = grey
}

// harshDay is a promiseDay with faults that follow each other closely, workers that do not return, and more
// long-running work than fits.
type harshDay struct {
	*promiseDay
	// lost counts the workers that were lost for good.
	lost int
}

func newHarshDay(t testing.TB, seed uint64) *harshDay {
	hd := &harshDay{promiseDay: newDay(t, seed, 43)}
	hd.beginFault, hd.excusesLeaderLoss = hd.fault, true
	hd.fl.unregistered, hd.fl.grey, hd.fl.failing = map[modeler.WorkerID]bool{}, map[modeler.WorkerID]bool{}, map[modeler.TaskID]bool{}
	var client director.WorkerClient = hd.fl.workers
	if hd.rnd.IntN(2) == 0 {
		client = &slowStarts{WorkerClient: client, delay: hd.between(20*time.Millisecond, 300*time.Millisecond)}
	}
	if hd.rnd.IntN(2) == 0 {
		hd.fl.shortagePolicy = director.ValuePolicy
	}
	hd.fl.client = &greyWorkers{client, hd.fl}
	hd.tm = hd.fl.startTerm(0)
	return hd
}

// fault begins a random fault, often of two that belong together.
func (hd *harshDay) fault() {
	ix := hd.rnd.IntN(promiseWorkers)
	switch hd.rnd.IntN(10) {
	case 0, 1:
		hd.changeLeader(hd.rnd.IntN(2) == 0)
		hd.later(hd.between(0, testLimits.Lease), func() { hd.changeLeader(hd.rnd.IntN(2) == 0) })
	case 2:
		if hd.mayLose(ix) {
			hd.lose(ix)
		}
	case 3:
		hd.leaveAtNotice(ix)
	case 4:
		hd.makeGrey(ix)
	case 5:
		hd.restartAndLose(ix)
	case 6:
		hd.cancelInBatches()
	case 7:
		hd.delayRequests()
	default:
		hd.promiseDay.fault()
	}
}

// mayLose reports whether a worker may be lost for good, and counts it.
func (hd *harshDay) mayLose(ix int) bool {
	if hd.down[ix] || hd.drained[ix] || hd.lost == maxLostWorkers {
		return false
	}
	hd.lost++
	return true
}

// lose ends a worker for good. The registry may go on listing it.
func (hd *harshDay) lose(ix int) {
	hd.down[ix] = true
	id := hd.fl.infos[ix].ID
	hd.fl.workers.Crash(id)
	if hd.rnd.IntN(2) == 0 {
		hd.fl.unregistered[id] = true
		hd.tm.RemoveWorker(id)
	}
	hd.disturb(0)
}

// leaveAtNotice announces that a worker leaves soon, and loses it.
func (hd *harshDay) leaveAtNotice(ix int) {
	if !hd.mayLose(ix) {
		return
	}
	hd.drained[ix] = true
	notice := hd.between(1500*time.Millisecond, 2500*time.Millisecond)
	hd.fl.infos[ix].Draining, hd.fl.infos[ix].MinRemaining = true, notice
	hd.tm.UpdateWorker(hd.fl.infos[ix])
	hd.disturb(notice)
	hd.later(notice, func() {
		delete(hd.drained, ix)
		hd.lose(ix)
	})
}

// makeGrey makes a worker fail what it starts for some seconds.
func (hd *harshDay) makeGrey(ix int) {
	id, lasts := hd.fl.infos[ix].ID, hd.between(time.Second, 8*time.Second)
	hd.fl.setGrey(id, true)
	hd.disturb(lasts)
	hd.later(lasts, func() { hd.fl.setGrey(id, false) })
}

// restartAndLose loses a worker again that has restarted.
func (hd *harshDay) restartAndLose(ix int) {
	restart := hd.between(100*time.Millisecond, 3*time.Second)
	hd.crash(ix, restart)
	again, forGood := hd.between(0, 3*time.Second), hd.rnd.IntN(2) == 0
	hd.later(restart+again, func() {
		if forGood && hd.mayLose(ix) {
			hd.lose(ix)
		} else {
			hd.crash(ix, hd.between(100*time.Millisecond, 6*time.Second))
		}
	})
}

// cancelInBatches submits more long-running work than fits, and cancels random jobs of it in batches.
func (hd *harshDay) cancelInBatches() {
	for range 30 + hd.rnd.IntN(30) {
		hd.submitLasting()
	}
	for batch := range 2 + hd.rnd.IntN(4) {
		hd.later(time.Duration(batch+1)*hd.between(300*time.Millisecond, 3*time.Second), func() {
			for range 5 + hd.rnd.IntN(15) {
				hd.cancel(hd.lasting[hd.rnd.IntN(len(hd.lasting))].id.Job)
			}
		})
	}
}

func (hd *harshDay) cancel(id modeler.JobID) {
	if len(hd.lasting) < 10 {
		return
	}
	hd.fl.storeCancellation(id)
	hd.fl.mu.Lock()
	hd.fl.cancelled = append(hd.fl.cancelled, id)
	hd.fl.mu.Unlock()
	hd.tm.CancelJob(id)
	hd.lasting = slices.DeleteFunc(hd.lasting, func(lt *lastingTask) bool { return lt.id.Job == id })
}

// delayRequests makes requests to some workers be carried out late, without an answer.
func (hd *harshDay) delayRequests() {
	const maxDelay = 6 * time.Second
	lasts := hd.between(time.Second, 5*time.Second)
	for range 1 + hd.rnd.IntN(4) {
		hd.fl.faults.Set(emulator.Switch{
			Fault: emulator.Late, Part: emulator.PartWorkers, Operation: []string{"Start", "Stop", "Renew", ""}[hd.rnd.IntN(4)],
			Target: string(hd.fl.infos[hd.rnd.IntN(promiseWorkers)].ID), Skip: hd.rnd.IntN(5), Delay: hd.between(200*time.Millisecond, maxDelay),
		})
	}
	hd.disturb(lasts)
	hd.later(lasts, hd.fl.faults.Clear)
}

// keptHarshSeeds are seeds that failed once, with the cause.
var keptHarshSeeds = map[uint64]string{
	33:  "the start of a task queued behind those of short ones; it waited for agingTime after the lease of its lost worker",
	970: "the worker was lost with a start under way, which holds the task back for a lease that is longer than calmTime and maxStartDelay",
}

// Guards against long-running tasks that wait, or run twice, under leaders lost in pairs, workers that do not return, leave at
// short notice or are grey, late requests, and cancellations while more waits than fits.
func TestPromiseOnHarshDays(t *testing.T) {
	checkPromise(t, keptHarshSeeds, func(t testing.TB, seed uint64) []string { return newHarshDay(t, seed).run() })
}
