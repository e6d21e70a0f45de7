package director_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/currantrouter/currantrouter/internal/job/director"
	"github.com/currantrouter/currantrouter/internal/job/modeler"
	"github.com/currantrouter/currantrouter/internal/provider/emulator"
	"github.com/currantrouter/currantrouter/internal/state/journaler"
)

const (
	// termAuthority is how long a deposed leader may go on.
	termAuthority = 4 * time.Second
	// maxRenewalTime is longer than a renewal waits for its answer.
	maxRenewalTime = 3 * time.Second
)

// partialClient is the client of one leader. It does not reach some of the workers.
type partialClient struct {
	director.WorkerClient
	mu  sync.Mutex
	cut map[modeler.WorkerID]bool
}

func (pc *partialClient) setCut(id modeler.WorkerID, cut bool) {
	pc.mu.Lock()
	defer pc.mu.Unlock()
	pc.cut[id] = cut
}

// pass returns whether a request reaches a worker. If not, it waits for the end of the context.
func (pc *partialClient) pass(ctx context.Context, id modeler.WorkerID) bool {
	pc.mu.Lock()
	cut := pc.cut[id]
	pc.mu.Unlock()
	if cut {
		<-ctx.Done()
	}
	return !cut
}

func (pc *partialClient) Start(ctx context.Context, wk *modeler.Worker, req *modeler.StartRequest) (time.Duration, error) {
	if !pc.pass(ctx, wk.ID) {
		return 0, modeler.ErrNoAnswer
	}
	return pc.WorkerClient.Start(ctx, wk, req)
}

func (pc *partialClient) Stop(ctx context.Context, wk *modeler.Worker, task modeler.TaskID, run modeler.Run, fence modeler.Fence) error {
	if !pc.pass(ctx, wk.ID) {
		return modeler.ErrNoAnswer
	}
	return pc.WorkerClient.Stop(ctx, wk, task, run, fence)
}

func (pc *partialClient) Renew(ctx context.Context, wk *modeler.Worker, req *modeler.RenewRequest) (modeler.Report, error) {
	if !pc.pass(ctx, wk.ID) {
		return modeler.Report{}, modeler.ErrNoAnswer
	}
	return pc.WorkerClient.Renew(ctx, wk, req)
}

// snapshotJournal is a journal whose snapshots are due often and are written late.
type snapshotJournal struct {
	director.Journal
	mu    sync.Mutex
	calls int64
	delay func() time.Duration
}

// positionStep is added for each call of Position.
const positionStep = 1 << 20

func (sj *snapshotJournal) Position() int64 {
	sj.mu.Lock()
	defer sj.mu.Unlock()
	sj.calls++
	return sj.calls*positionStep + sj.Journal.Position()
}

func (sj *snapshotJournal) Snapshot(ctx context.Context, recs []journaler.Record, upTo int64) error {
	time.Sleep(sj.delay())
	return sj.Journal.Snapshot(ctx, recs, upTo%positionStep)
}

// termDay is a random series of terms, cuts and losses of workers.
type termDay struct {
	*fleet
	rnd    *rand.Rand
	tm     *term
	client *partialClient
	// deposed holds leaders that may go on.
	deposed sync.WaitGroup
	seenAt  time.Time
}

func (td *termDay) between(low, high time.Duration) time.Duration {
	return low + time.Duration(td.rnd.Int64N(int64(high-low)))
}

// begin begins the next term. Its leader reaches all workers but those that are given.
func (td *termDay) begin(cut map[modeler.WorkerID]bool) {
	td.client = &partialClient{WorkerClient: td.workers, cut: cut}
	td.fleet.client = td.client
	snapshotDelay := td.between(0, 3*time.Second)
	td.wrapJournal = func(jn director.Journal) director.Journal {
		return &snapshotJournal{Journal: jn, delay: func() time.Duration { return snapshotDelay }}
	}
	// The leader is known to others some time after its term began.
	td.predecessorSeenFor = 0
	if !td.seenAt.IsZero() && td.rnd.IntN(2) == 0 {
		td.predecessorSeenFor = max(0, time.Since(td.seenAt)-td.between(0, 500*time.Millisecond))
	}
	td.tm = td.startTerm(testLimits.MaxLeaseTime() + termAuthority)
	td.seenAt = time.Now()
}

// change ends the term in one of several ways, or lets its leader go on, and begins the next one.
func (td *termDay) change() {
	old := td.tm
	kind := td.rnd.IntN(4)
	td.predecessorStopped.Store(false)
	switch kind {
	case 0:
		old.end()
		td.predecessorStopped.Store(td.rnd.IntN(2) == 0)
	case 1:
		old.endInOrder()
	case 2:
		old.end()
		if td.rnd.IntN(2) == 0 {
			sleep(td.between(0, 4*time.Second))
		}
		op := journalOptions
		if td.rnd.IntN(2) == 0 {
			op.EpochRecords = director.EpochRecords(nil)
		}
		jn, _, err := journaler.Open(td.t.Context(), td.store, "jobs", "other", "boot", op)
		if err == nil {
			jn.Close()
			td.seenAt = time.Time{}
		}
	}
	cut := map[modeler.WorkerID]bool{}
	if kind == 3 {
		for _, info := range td.infos {
			cut[info.ID] = td.rnd.IntN(3) == 0
		}
		old.sendsUntil.Store(time.Now().Add(termAuthority).UnixNano())
		td.deposed.Go(func() {
			time.Sleep(termAuthority + time.Second)
			old.end()
		})
	}
	td.begin(cut)
	client := td.client
	if kind == 3 {
		for _, info := range td.infos {
			time.AfterFunc(td.between(0, 15*time.Second), func() { client.setCut(info.ID, false) })
		}
	}
}

func (td *termDay) event() {
	ix := td.rnd.IntN(len(td.infos))
	id := td.infos[ix].ID
	switch td.rnd.IntN(8) {
	case 0, 1:
		td.change()
	case 2, 3:
		td.workers.SetUnreachable(id, true)
		time.AfterFunc(td.between(0, 9*time.Second), func() { td.workers.SetUnreachable(id, false) })
	case 4:
		td.client.setCut(id, true)
		client := td.client
		time.AfterFunc(td.between(0, 9*time.Second), func() { client.setCut(id, false) })
	case 5:
		fts := []emulator.Fault{emulator.AnswerLost, emulator.RequestLost, emulator.Unavailable}
		td.faults.Set(emulator.Switch{
			Fault: fts[td.rnd.IntN(len(fts))], Part: emulator.PartStore, Operation: "Put", Target: "Journal/", Count: 1 + td.rnd.IntN(6),
		})
	case 6:
		fts := []emulator.Fault{emulator.AnswerLost, emulator.RequestLost, emulator.Late}
		operations := []string{"Start", "Stop", "Renew", ""}
		td.faults.Set(emulator.Switch{
			Fault: fts[td.rnd.IntN(len(fts))], Part: emulator.PartWorkers, Operation: operations[td.rnd.IntN(len(operations))],
			Count: 1 + td.rnd.IntN(8), Delay: td.between(0, 8*time.Second),
		})
	case 7:
		if td.rnd.IntN(2) == 0 {
			td.workers.Crash(id)
			// TestLateRenewal is about renewals that reach a later incarnation.
			sleep(maxRenewalTime)
			td.infos[ix] = td.workers.Add(workerInfo(ix))
			td.tm.UpdateWorker(td.infos[ix])
			return
		}
		info := td.infos[ix]
		td.tm.RemoveWorker(id)
		td.infos = slices.Delete(slices.Clone(td.infos), ix, ix+1)
		sleep(td.between(0, 9*time.Second))
		td.infos = append(td.infos, info)
		slices.SortFunc(td.infos, func(one, two modeler.Worker) int {
			return int(one.Address.Addr().As4()[3]) - int(two.Address.Addr().As4()[3])
		})
		td.tm.UpdateWorker(info)
	}
}

// runRandomTerms plays a random series of terms. No task may run twice, and all run at the end.
func runRandomTerms(t *testing.T, seed uint64) {
	td := &termDay{fleet: newFleet(t, 5), rnd: rand.New(rand.NewPCG(seed, 7))}
	td.journalFails = true
	td.begin(map[modeler.WorkerID]bool{})
	defer func() {
		td.tm.end()
		td.deposed.Wait()
	}()
	for ix := range 8 {
		td.tm.submit(longRunningJob(modeler.JobID(fmt.Sprint("long-", ix)), "urgent", 1, cores(6000)))
	}
	sleep(3 * time.Second)
	for range 60 {
		td.event()
		if td.rnd.IntN(3) > 0 {
			sleep(td.between(0, 1500*time.Millisecond))
		}
		td.assertNoViolations()
	}
	td.faults.Clear()
	sleep(45 * time.Second)
	td.assertNoViolations()
	for _, jb := range td.jobs {
		qt.Check(t, td.workers.WorkerOf(modeler.TaskID{Job: jb.ID}), qt.Not(qt.Equals), modeler.WorkerID(""), qt.Commentf("%s does not run", jb.ID))
	}
}

// Guards against tasks that run twice, or no more, after terms, cuts, lost workers and lost writes in a random order.
func TestRandomTerms(t *testing.T) {
	count, _ := strconv.ParseUint(os.Getenv("TERM_SEEDS"), 10, 64)
	first, _ := strconv.ParseUint(os.Getenv("TERM_SEED"), 10, 64)
	if count == 0 {
		count = 10
	}
	for seed := first; seed < first+count; seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runRandomTerms(t, seed) })
		})
	}
}
