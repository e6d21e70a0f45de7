package director_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/currantrouter/currantrouter/internal/job/keeper"
	"github.com/currantrouter/currantrouter/internal/job/modeler"
	"github.com/currantrouter/currantrouter/internal/job/placer"
	"github.com/currantrouter/currantrouter/internal/provider/emulator"
)

const (
	// calmTime is the time without disturbance from which the promise holds.
	calmTime = 4 * time.Second
	// restartTime is the time after the end of a run from which the promise holds.
	restartTime = 6 * time.Second
	// maxRoomGap is the time between two looks of the users for capacity.
	maxRoomGap = 1500 * time.Millisecond
	// checkInterval is the time between two checks of the promise.
	checkInterval = 100 * time.Millisecond
	// promiseWorkers is the number of workers of a random day.
	promiseWorkers = 8
	// faultTime is the time in which faults begin on a random day.
	faultTime = 45 * time.Second
	// authority is how long a leader without contact to the store sends requests to workers.
	authority = 4 * time.Second
	// inheritedLease is the lease that a leader allows for on workers of which the journal says nothing.
	inheritedLease = longestLease + 500*time.Millisecond + authority
	// maxUnseenSilence is how long before a leader is lost a worker may be lost without a record of it.
	maxUnseenSilence = 2 * time.Second
)

// promiseDay is a random day on which the promise for long-running tasks is checked: a task that does
// not run although there is capacity for it twice over starts within maxStartDelay.
type promiseDay struct {
	t   testing.TB
	rnd *rand.Rand
	fl  *fleet
	tm  *term
	// former are leaders that were deposed and may still send requests.
	former []*term
	// disturbedUntil is the end of the last disturbance.
	disturbedUntil time.Time
	jobs           int
	lasting        []*lastingTask
	// down holds the workers that were crashed and are not back, drained those that are draining.
	down, drained map[int]bool
	// events are what is to happen later.
	events []dayEvent
	broken []string
	// leaderChanges are the times at which leaders were lost.
	leaderChanges []time.Time
	// excusesLeaderLoss is set if a worker that was lost with the leader may hold its tasks back for the inherited lease.
	excusesLeaderLoss bool
	// beginFault begins a random fault.
	beginFault func()
}

// dayEvent is something that happens at a time.
type dayEvent struct {
	at     time.Time
	happen func()
}

// later makes something happen after a time.
func (pd *promiseDay) later(after time.Duration, happen func()) {
	pd.events = append(pd.events, dayEvent{time.Now().Add(after), happen})
}

// runEvents runs the events that are due.
func (pd *promiseDay) runEvents() {
	events := pd.events
	pd.events = nil
	for _, ev := range events {
		if time.Now().Before(ev.at) {
			pd.events = append(pd.events, ev)
		} else {
			ev.happen()
		}
	}
}

// lastingTask is what is known of a long-running task.
type lastingTask struct {
	id   modeler.TaskID
	spec *modeler.Step
	// ranUntil is when it was last seen running, or submitted. starts counts its starts, as a run may begin and end
	// between two checks.
	ranUntil time.Time
	starts   int
	// owedSince is from when it has been owed a start without a break, zero while it is not.
	owedSince time.Time
	reported  bool
	// roomAt is when there was last capacity for it twice over.
	roomAt time.Time
	// reasons are why it has not run since then, each with the time from which it was seen.
	reasons    []string
	lastReason string
}

// maxRoomGap returns the longest time without capacity for the task twice over that does not end the promise. Users look
// for the capacity for a task that ran again and again.
func (lt *lastingTask) maxRoomGap() time.Duration {
	if lt.starts == 0 {
		return 0
	}
	return maxRoomGap
}

// newDay returns a day before its first term. Each kind of day has its own stream of random numbers.
func newDay(t testing.TB, seed, stream uint64) *promiseDay {
	pd := &promiseDay{t: t, rnd: rand.New(rand.NewPCG(seed, stream)), fl: newFleet(t, promiseWorkers), down: map[int]bool{}, drained: map[int]bool{}}
	pd.beginFault = pd.fault
	return pd
}

func newPromiseDay(t testing.TB, seed uint64) *promiseDay {
	pd := newDay(t, seed, 18)
	pd.tm = pd.fl.startTerm(0)
	return pd
}

// newSlowPromiseDay returns a day on which starts take time to reach the workers.
func newSlowPromiseDay(t testing.TB, seed uint64) *promiseDay {
	pd := newDay(t, seed, 21)
	pd.fl.client = &slowStarts{WorkerClient: pd.fl.workers, delay: pd.between(20*time.Millisecond, 300*time.Millisecond)}
	pd.tm = pd.fl.startTerm(0)
	return pd
}

// between returns a random duration.
func (pd *promiseDay) between(low, high time.Duration) time.Duration {
	return low + time.Duration(pd.rnd.Int64N(int64(high-low)))
}

// disturb notes a disturbance that lasts for a time from now.
func (pd *promiseDay) disturb(lasts time.Duration) {
	if until := time.Now().Add(lasts); until.After(pd.disturbedUntil) {
		pd.disturbedUntil = until
	}
}

func (pd *promiseDay) nextID(kind string) modeler.JobID {
	pd.jobs++
	return modeler.JobID(fmt.Sprint(kind, pd.jobs))
}

func (pd *promiseDay) queue() modeler.QueueName {
	return []modeler.QueueName{"urgent", "batch"}[pd.rnd.IntN(2)]
}

func (pd *promiseDay) submitLasting() {
	jb := longRunningJob(pd.nextID("lasting"), pd.queue(), 1+pd.rnd.IntN(3), cores(int64(500+pd.rnd.IntN(3000))))
	jb.Steps[0].MaxPerWorker = pd.rnd.IntN(3)
	if pd.rnd.IntN(4) == 0 {
		jb.Steps[0].Label = "kind-b"
	}
	if pd.rnd.IntN(4) == 0 {
		for ix := range jb.Steps[0].Count {
			pd.fl.setBehaviour(modeler.TaskID{Job: jb.ID, Index: ix}, emulator.TaskBehaviour{RunTime: pd.between(time.Second, 30*time.Second), Fails: true})
		}
	}
	pd.tm.submit(jb)
	for ix := range jb.Steps[0].Count {
		pd.lasting = append(pd.lasting, &lastingTask{id: modeler.TaskID{Job: jb.ID, Index: ix}, spec: &jb.Steps[0], ranUntil: time.Now()})
	}
}

// submitShort submits tasks that end by themselves. Some fail, so that they avoid workers afterwards.
func (pd *promiseDay) submitShort(kind string, count int, needs modeler.Resources, mean time.Duration) {
	jb := simpleJob(pd.nextID(kind), pd.queue(), count, needs)
	sp := &jb.Steps[0]
	sp.Checkpoints = pd.rnd.IntN(2) == 0
	sp.BestEffort = kind == "filling"
	if sp.BestEffort {
		sp.Image = fmt.Sprint("image", pd.rnd.IntN(4))
	}
	if pd.rnd.IntN(3) == 0 {
		sp.MaxPerWorker = 1 + pd.rnd.IntN(3)
	}
	fails := pd.rnd.IntN(12) == 0
	for ix := range count {
		pd.fl.setBehaviour(modeler.TaskID{Job: jb.ID, Index: ix}, emulator.TaskBehaviour{RunTime: pd.between(mean/2, 2*mean), Fails: fails && pd.rnd.IntN(2) == 0})
	}
	pd.tm.submit(jb)
}

// submitBacklog submits a part of a backlog that the workers cannot run.
func (pd *promiseDay) submitBacklog() {
	switch pd.rnd.IntN(6) {
	case 0:
		pd.submitShort("large", 1+pd.rnd.IntN(3), cores(int64(11000+pd.rnd.IntN(5000))), 4*time.Second)
	case 1:
		pd.submitShort("filling", 5+pd.rnd.IntN(25), modeler.Resources{MilliCores: 4000, MemoryMB: 3000}, 3*time.Second)
	case 2:
		pd.submitShort("many", 20+pd.rnd.IntN(60), cores(int64(50+pd.rnd.IntN(400))), time.Second)
	default:
		pd.submitShort("short", 1+pd.rnd.IntN(6), cores(int64(500+pd.rnd.IntN(4000))), 1500*time.Millisecond)
	}
}

// fault begins a random fault.
func (pd *promiseDay) fault() {
	ix := pd.rnd.IntN(promiseWorkers)
	lasts := pd.between(500*time.Millisecond, 12*time.Second)
	switch pd.rnd.IntN(9) {
	case 0:
		pd.changeLeader(false)
	case 1:
		pd.changeLeader(true)
	case 2, 3:
		id := pd.fl.infos[ix].ID
		pd.fl.workers.SetUnreachable(id, true)
		time.AfterFunc(lasts, func() { pd.fl.workers.SetUnreachable(id, false) })
		pd.disturb(lasts)
	case 4:
		pd.crash(ix, pd.between(100*time.Millisecond, 6*time.Second))
	case 5:
		pd.drain(ix)
	case 6:
		pd.workerFault()
	default:
		pd.storeFault(min(lasts, 7*time.Second))
	}
}

// changeLeader starts the next term. A former leader that is only cut off from the store goes on
// until its authority is over.
func (pd *promiseDay) changeLeader(cutOff bool) {
	pd.fl.loadTime = 0
	if pd.rnd.IntN(2) == 0 {
		pd.fl.loadTime = pd.between(50*time.Millisecond, 9*time.Second)
	}
	if cutOff {
		pd.tm.sendsUntil.Store(time.Now().Add(authority).UnixNano())
		pd.former = append(pd.former, pd.tm)
		pd.disturb(authority)
	} else {
		pd.tm.end()
	}
	pd.leaderChanges = append(pd.leaderChanges, time.Now())
	pd.tm = pd.fl.startTerm(inheritedLease)
	pd.disturb(pd.fl.loadTime)
	for ix := range pd.down {
		if pd.rnd.IntN(2) == 0 {
			pd.tm.RemoveWorker(pd.fl.infos[ix].ID)
		}
	}
}

// crash ends a worker, which restarts after a time.
func (pd *promiseDay) crash(ix int, restart time.Duration) {
	if pd.down[ix] || pd.drained[ix] {
		return
	}
	pd.down[ix] = true
	pd.fl.workers.Crash(pd.fl.infos[ix].ID)
	removed := pd.rnd.IntN(2) == 0
	if removed {
		pd.tm.RemoveWorker(pd.fl.infos[ix].ID)
	}
	pd.disturb(restart)
	pd.later(restart, func() {
		pd.fl.infos[ix] = pd.fl.workers.Add(pd.workerInfo(ix))
		delete(pd.down, ix)
		pd.tm.UpdateWorker(pd.fl.infos[ix])
	})
}

// workerInfo returns a worker, of another kind for every third.
func (pd *promiseDay) workerInfo(ix int) modeler.Worker {
	info := workerInfo(ix)
	if ix%3 == 0 {
		info.Labels = []string{"kind-b"}
	}
	return info
}

// drain announces that a worker leaves, and replaces it after that.
func (pd *promiseDay) drain(ix int) {
	if pd.down[ix] || pd.drained[ix] {
		return
	}
	pd.drained[ix] = true
	lasts := pd.between(time.Second, 5*time.Second)
	pd.fl.infos[ix].Draining, pd.fl.infos[ix].MinRemaining = true, lasts
	pd.tm.UpdateWorker(pd.fl.infos[ix])
	pd.disturb(lasts)
	pd.later(lasts, func() {
		delete(pd.drained, ix)
		pd.crash(ix, 500*time.Millisecond)
	})
}

// workerFault makes requests to workers be lost or late.
func (pd *promiseDay) workerFault() {
	kinds := []emulator.Fault{emulator.AnswerLost, emulator.RequestLost, emulator.Late, emulator.Unavailable}
	operations := []string{"Start", "Stop", "Renew", ""}
	pd.fl.faults.Set(emulator.Switch{
		Fault: kinds[pd.rnd.IntN(len(kinds))], Part: emulator.PartWorkers, Operation: operations[pd.rnd.IntN(len(operations))],
		Count: 1 + pd.rnd.IntN(30), Delay: pd.between(2*time.Second, 8*time.Second),
	})
	pd.disturb(2 * time.Second)
}

// storeFault disturbs the store for a time.
func (pd *promiseDay) storeFault(lasts time.Duration) {
	kinds := []emulator.Fault{emulator.AnswerLost, emulator.RequestLost, emulator.Slow, emulator.Unavailable}
	targets := []string{"Journal/", keeper.KeyPrefix + "Submitted/", keeper.KeyPrefix + "Cancelled/"}
	operations := []string{"Put", "Get"}
	which := pd.rnd.IntN(3)
	sw := emulator.Switch{
		Fault: kinds[pd.rnd.IntN(len(kinds))], Part: emulator.PartStore, Operation: operations[min(which, 1)], Target: targets[which],
		Delay: pd.between(200*time.Millisecond, time.Minute),
	}
	pd.fl.faults.Set(sw)
	pd.disturb(lasts)
	time.AfterFunc(lasts, pd.fl.faults.Clear)
}

// check looks at the workers and records the tasks to which the promise is broken.
func (pd *promiseDay) check() {
	now := time.Now()
	states := pd.fl.workers.States()
	running := map[modeler.TaskID]bool{}
	sameJob := map[modeler.JobID]map[modeler.WorkerID]int{}
	for _, ws := range states {
		for _, id := range ws.Tasks {
			running[id] = true
			if sameJob[id.Job] == nil {
				sameJob[id.Job] = map[modeler.WorkerID]int{}
			}
			sameJob[id.Job][ws.ID]++
		}
	}
	for _, lt := range pd.lasting {
		if starts := pd.fl.workers.StartCount(lt.id); running[lt.id] || starts > lt.starts {
			lt.starts = starts
			lt.ranUntil, lt.owedSince, lt.reported, lt.reasons, lt.lastReason = now, time.Time{}, false, nil, ""
			continue
		}
		pd.noteReason(lt, now)
		if pd.places(lt, states, sameJob[lt.id.Job]) >= 2 {
			lt.roomAt = now
		}
		if now.Before(pd.disturbedUntil.Add(calmTime)) || now.Before(pd.heldUntil(lt)) || now.Sub(lt.ranUntil) < restartTime || now.Sub(lt.roomAt) > lt.maxRoomGap() {
			lt.owedSince = time.Time{}
			continue
		}
		if lt.owedSince.IsZero() {
			lt.owedSince = now
		}
		if now.Sub(lt.owedSince) >= maxStartDelay && !lt.reported {
			lt.reported = true
			pd.broken = append(pd.broken, fmt.Sprintf("%s does not run at %v, last run ended at %v: %s", lt.id, pd.clock(now), pd.clock(lt.ranUntil), strings.Join(lt.reasons, ", ")))
		}
	}
}

// heldUntil returns when the inherited lease is over that holds a task back whose worker was lost with the leader, so
// that no leader recorded it, zero if it was not. Each leader that is lost as soon leaves this to the next.
func (pd *promiseDay) heldUntil(lt *lastingTask) time.Time {
	var until time.Time
	if !pd.excusesLeaderLoss {
		return until
	}
	unseenUntil := lt.ranUntil.Add(maxUnseenSilence + checkInterval)
	for _, at := range pd.leaderChanges {
		if !at.Before(lt.ranUntil) && at.Before(unseenUntil) {
			unseenUntil, until = at.Add(maxUnseenSilence), at.Add(inheritedLease)
		}
	}
	return until
}

// noteReason notes why a task does not run.
func (pd *promiseDay) noteReason(lt *lastingTask, now time.Time) {
	if reason := pd.tm.WaitReason(lt.id); reason != lt.lastReason {
		lt.lastReason = reason
		lt.reasons = append(lt.reasons, fmt.Sprint(pd.clock(now), " ", reason))
	}
}

// clock returns the time since the clock of the test began.
func (pd *promiseDay) clock(at time.Time) time.Duration {
	return at.Sub(time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC))
}

// places returns on how many places the task could run.
func (pd *promiseDay) places(lt *lastingTask, states []emulator.WorkerState, sameJob map[modeler.WorkerID]int) int64 {
	var places int64
	for _, ws := range states {
		info := pd.info(ws.ID)
		if info == nil || !info.HasLabel(lt.spec.Label) || pd.quarantined(ws.ID) {
			continue
		}
		fits := placer.FitCount(lt.spec.Needs, ws.Free)
		if limit := lt.spec.MaxPerWorker; limit > 0 {
			fits = min(fits, int64(max(0, limit-sameJob[ws.ID])))
		}
		places += fits
	}
	return places
}

// info returns a worker that takes tasks, or nil.
func (pd *promiseDay) info(id modeler.WorkerID) *modeler.Worker {
	for ix := range pd.fl.infos {
		if pd.fl.infos[ix].ID == id && !pd.drained[ix] && !pd.down[ix] {
			return &pd.fl.infos[ix]
		}
	}
	return nil
}

func (pd *promiseDay) quarantined(id modeler.WorkerID) bool {
	for _, ws := range pd.tm.Workers() {
		if ws.Worker.ID == id {
			return ws.Quarantined
		}
	}
	return false
}

// run plays the day and returns the broken promises.
func (pd *promiseDay) run() []string {
	defer func() {
		pd.tm.end()
		for _, tm := range pd.former {
			tm.end()
		}
	}()
	for ix := range pd.fl.infos {
		pd.fl.infos[ix].Labels = pd.workerInfo(ix).Labels
	}
	pd.tm.SetWorkers(pd.fl.infos)
	for range 10 {
		pd.submitLasting()
	}
	sleep(3 * time.Second)
	pd.disturb(0)
	nextFault := pd.between(0, 6*time.Second)
	for began := time.Now(); time.Since(began) < faultTime+25*time.Second; {
		elapsed := time.Since(began)
		if elapsed < faultTime && elapsed >= nextFault {
			pd.beginFault()
			nextFault = elapsed + pd.between(200*time.Millisecond, 9*time.Second)
		}
		if pd.rnd.IntN(4) == 0 {
			pd.submitBacklog()
		}
		if pd.rnd.IntN(100) == 0 {
			pd.submitLasting()
		}
		sleep(checkInterval)
		pd.runEvents()
		pd.check()
	}
	return append(pd.broken, pd.fl.workers.Violations()...)
}

// keptSeeds are seeds that failed once, with the cause.
var keptSeeds = map[uint64]string{
	111: "a placement round ended before it considered a long-running task",
	272: "the same as 111",
	299: "all workers with capacity for a long-running task were held for short ones",
	250: "ends were acknowledged to a later incarnation of a worker, before the days had failing long-running tasks",
}

// promiseSeeds returns the range of seeds of TestPromise. PROMISE_SEEDS and PROMISE_FIRST override the
// number and the first one.
func promiseSeeds() (first, count uint64) {
	first, count = 0, 4
	if num, err := strconv.ParseUint(os.Getenv("PROMISE_SEEDS"), 10, 32); err == nil {
		count = num
	}
	if num, err := strconv.ParseUint(os.Getenv("PROMISE_FIRST"), 10, 32); err == nil {
		first = num
	}
	return first, count
}

// checkPromise plays a day for each kept seed and each of promiseSeeds, and checks that no promise is broken. The seed is
// in the name of the subtest.
func checkPromise(t *testing.T, kept map[uint64]string, play func(testing.TB, uint64) []string) {
	seeds := slices.Sorted(maps.Keys(kept))
	first, count := promiseSeeds()
	for seed := first; seed < first+count; seed++ {
		seeds = append(seeds, seed)
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { qt.Check(t, play(t, seed), qt.HasLen, 0) })
		})
	}
}

// Guards against long-running tasks that wait although there is capacity for them, and against tasks
// that run twice, under combined faults and a full backlog.
func TestPromise(t *testing.T) {
	checkPromise(t, keptSeeds, func(t testing.TB, seed uint64) []string { return newPromiseDay(t, seed).run() })
}

// Guards against long-running tasks that wait while starts of short ones, on their way, keep capacity
// reserved.
func TestPromiseWithSlowStarts(t *testing.T) {
	checkPromise(t, nil, func(t testing.TB, seed uint64) []string { return newSlowPromiseDay(t, seed).run() })
}
