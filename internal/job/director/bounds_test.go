package director_test

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"github.com/currantrouter/currantrouter/internal/job/director"
	"github.com/currantrouter/currantrouter/internal/job/modeler"
	"github.com/currantrouter/currantrouter/internal/state/journaler"
)

// Guards against a task that runs twice as a leader relies on the recorded end of a lease that an earlier leader,
// which did not rely on it, has extended without a new grant.
func TestBoundDroppedByEarlierLeader(t *testing.T) {
	const inherited = 12 * time.Second
	run(t, 3, func(fl *fleet, tm *term) {
		where := startOnUnreachable(fl, tm)
		sleep(3 * time.Second)
		tm.end()
		fl.beginOtherEpoch(nil).Close()
		fl.workers.SetUnreachable(where, false)
		*tm = *fl.startTerm(inherited)
		sleep(3 * time.Second)
		fl.assertStartedOnce(modeler.TaskID{Job: "long"})
		fl.workers.SetUnreachable(where, true)
		tm.nextTerm(inherited)
		assertBetween(t, fl.timeToMove(where), inherited, inherited+time.Second)
	})
}

// Guards against a leader that waits for the whole inherited lease of a worker although its end is recorded, after
// leaders that were lost at once, and against a task that runs twice as it trusts them too far.
func TestLeadersLostAtOnce(t *testing.T) {
	const inherited = 12 * time.Second
	t.Run("recorded end of a lease", func(t *testing.T) {
		run(t, 3, func(fl *fleet, tm *term) {
			where := startOnUnreachable(fl, tm)
			began := time.Now()
			sleep(3 * time.Second)
			tm.end()
			for range 3 {
				fl.beginOtherEpoch(director.EpochRecords(nil)).Close()
			}
			*tm = *fl.startTerm(inherited)
			fl.timeToMove(where)
			assertBetween(t, time.Since(began), testLimits.Lease-3*time.Second, testLimits.MaxLeaseTime()+time.Second+maxStartDelay)
		})
	})
	t.Run("recorded end of a lease before a leader of an earlier version", func(t *testing.T) {
		run(t, 3, func(fl *fleet, tm *term) {
			where := startOnUnreachable(fl, tm)
			sleep(3 * time.Second)
			tm.end()
			fl.beginOtherEpoch(nil).Close()
			fl.beginOtherEpoch(director.EpochRecords(nil)).Close()
			*tm = *fl.startTerm(inherited)
			assertBetween(t, fl.timeToMove(where), inherited, inherited+time.Second)
		})
	})
	t.Run("the lost leader is known to have stopped", func(t *testing.T) {
		run(t, 3, func(fl *fleet, tm *term) {
			where := startOnUnreachable(fl, tm)
			tm.end()
			fl.beginOtherEpoch(director.EpochRecords(nil)).Close()
			fl.predecessorStopped.Store(true)
			*tm = *fl.startTerm(inherited)
			assertBetween(t, fl.timeToMove(where), inherited, inherited+time.Second)
		})
	})
}

// Guards against a task that runs twice as a leader which could not read a record extends a lease without a new
// grant, while a later leader can read the recorded end of that lease.
func TestBoundInUnreadRecord(t *testing.T) {
	const inherited = 12 * time.Second
	run(t, 3, func(fl *fleet, tm *term) {
		where := startOnUnreachable(fl, tm)
		sleep(3 * time.Second)
		tm.end()
		record := func(damaged bool) []byte {
			data := fmt.Sprintf(`{"Bounded":{"Worker":%q,"Until":1000000000}}`, where)
			if damaged {
				data = `{"Later":{}}`
			}
			first := director.EpochRecords(nil)(journaler.Recovery{Epoch: 2, Records: []journaler.Record{{Data: []byte(`{"Term":{"Epoch":1}}`)}}})
			value, err := proto.Marshal(&journaler.StoredSegment{
				Position: fl.lastPosition(), Epoch: 2, Host: "other", Boot: "boot", BeginsEpoch: true,
				Records: []*journaler.StoredRecord{{Kind: int32(journaler.KindTask), Data: first[0].Data}, {Kind: int32(journaler.KindTask), Data: []byte(data)}},
			})
			qt.Assert(t, err, qt.IsNil)
			return value
		}
		fl.beginOtherEpoch(nil).Close()
		key := fmt.Sprintf("Journal/jobs/%019d", fl.lastPosition())
		replace := func(value []byte) {
			en, err := fl.store.Get(t.Context(), key)
			qt.Assert(t, err, qt.IsNil)
			_, err = fl.store.Put(t.Context(), key, value, en.Revision)
			qt.Assert(t, err, qt.IsNil)
		}
		readable := record(false)
		replace(record(true))
		fl.workers.SetUnreachable(where, false)
		*tm = *fl.startTerm(inherited)
		sleep(3 * time.Second)
		fl.assertStartedOnce(modeler.TaskID{Job: "long"})
		fl.workers.SetUnreachable(where, true)
		tm.end()
		replace(readable)
		*tm = *fl.startTerm(inherited)
		assertBetween(t, fl.timeToMove(where), inherited, inherited+time.Second)
	})
}

// lastPosition returns the position of the journal's last segment.
func (fl *fleet) lastPosition() int64 {
	ens, err := fl.store.List(fl.t.Context(), "Journal/jobs/", "", 1000)
	qt.Assert(fl.t, err, qt.IsNil)
	return int64(len(ens))
}

// Guards against a task that runs twice as the clock of a host that has followed a long term runs faster than that
// of its leader, by less than hosts' clocks may differ.
func TestFastClockOfSuccessor(t *testing.T) {
	run(t, 3, func(fl *fleet, tm *term) {
		const termTime = 10 * time.Minute
		sleep(termTime)
		where := startOnUnreachable(fl, tm)
		sleep(1500 * time.Millisecond)
		fl.predecessorSeenFor = termTime + termTime/100
		tm.nextTerm(12 * time.Second)
		fl.timeToMove(where)
	})
}

// delayedJournal is a journal that holds back the appends of a kind of fact, and snapshots.
type delayedJournal struct {
	director.Journal
	mu sync.Mutex
	// field names the kind of fact as it is encoded, empty for none.
	field string
	// snapshot writes the first snapshot since the first append that was held back, nil before there is one.
	snapshot func() error
	holding  bool
}

// extraPositions makes the first snapshot due at once.
const extraPositions = 1000

func (dj *delayedJournal) Position() int64 { return dj.Journal.Position() + extraPositions }

func (dj *delayedJournal) Append(ctx context.Context, recs ...journaler.Record) error {
	dj.mu.Lock()
	held := dj.field != "" && slices.ContainsFunc(recs, func(rec journaler.Record) bool {
		return strings.HasPrefix(string(rec.Data), `{"`+dj.field+`"`)
	})
	dj.holding = dj.holding || held
	dj.mu.Unlock()
	if held {
		<-ctx.Done()
		return journaler.ErrUnavailable
	}
	return dj.Journal.Append(ctx, recs...)
}

// Check fails while an append is held back, so that a deposed leader does not notice a later epoch.
func (dj *delayedJournal) Check(ctx context.Context) error {
	dj.mu.Lock()
	held := dj.holding && dj.field != ""
	dj.mu.Unlock()
	if held {
		return journaler.ErrUnavailable
	}
	return dj.Journal.Check(ctx)
}

// release lets later appends pass.
func (dj *delayedJournal) release() {
	dj.mu.Lock()
	defer dj.mu.Unlock()
	dj.field = ""
}

func (dj *delayedJournal) Snapshot(_ context.Context, recs []journaler.Record, upTo int64) error {
	dj.mu.Lock()
	defer dj.mu.Unlock()
	if dj.holding && dj.snapshot == nil {
		dj.snapshot = func() error { return dj.Journal.Snapshot(context.Background(), recs, upTo-extraPositions) }
	}
	return journaler.ErrUnavailable
}

// startDelayed starts a term with a journal that holds back a kind of fact.
func (fl *fleet) startDelayed(tm *term, field string) *delayedJournal {
	tm.end()
	dj := &delayedJournal{field: field}
	fl.wrapJournal = func(jn director.Journal) director.Journal {
		dj.Journal = jn
		return dj
	}
	*tm = *fl.startTerm(0)
	fl.wrapJournal = nil
	return dj
}

// Guards against a task that runs twice as a deposed leader replaces the journal by a snapshot with a fact about a
// lease that was never recorded, while the next leader extends that lease.
func TestSnapshotWithFactsThatAreNotDurable(t *testing.T) {
	const inherited = 12 * time.Second
	// depose begins the next term, and lets the deposed leader write its snapshot.
	depose := func(fl *fleet, tm *term, dj *delayedJournal) {
		qt.Assert(fl.t, dj.snapshot, qt.IsNotNil)
		deposed := *tm
		deposed.sendsUntil.Store(time.Now().UnixNano())
		*tm = *fl.startTerm(inherited)
		sleep(2 * time.Second)
		qt.Check(fl.t, dj.snapshot(), qt.IsNil)
		deposed.end()
	}
	t.Run("end of a lease", func(t *testing.T) {
		run(t, 3, func(fl *fleet, tm *term) {
			dj := fl.startDelayed(tm, "Bounded")
			where := startOnUnreachable(fl, tm)
			sleep(testLease - 2*time.Second)
			fl.workers.SetUnreachable(where, false)
			depose(fl, tm, dj)
			sleep(2 * time.Second)
			fl.assertStartedOnce(modeler.TaskID{Job: "long"})
			fl.workers.SetUnreachable(where, true)
			tm.nextTerm(inherited)
			assertBetween(t, fl.timeToMove(where), inherited, inherited+time.Second)
		})
	})
	t.Run("release of a lease", func(t *testing.T) {
		run(t, 1, func(fl *fleet, tm *term) {
			dj := fl.startDelayed(tm, "Released")
			sleep(time.Second)
			tm.RemoveWorker("worker-00")
			sleep(10 * time.Second)
			depose(fl, tm, dj)
			tm.submit(longRunningJob("long", "urgent", 1, cores(1000)))
			sleep(2 * time.Second)
			fl.assertStartedOnce(modeler.TaskID{Job: "long"})
			fl.infos = append(fl.infos, fl.workers.Add(workerInfo(1)))
			fl.workers.SetUnreachable("worker-00", true)
			tm.nextTerm(inherited)
			assertBetween(t, fl.timeToMove("worker-00"), inherited, inherited+time.Second)
		})
	})
}

// Guards against a recorded end of a lease that is lost as the term ends in order before it is durable.
func TestBoundUnderWayAtEnd(t *testing.T) {
	run(t, 3, func(fl *fleet, tm *term) {
		dj := fl.startDelayed(tm, "Bounded")
		where := startOnUnreachable(fl, tm)
		began := time.Now()
		sleep(4 * time.Second)
		dj.release()
		tm.endInOrder()
		*tm = *fl.startTerm(12 * time.Second)
		fl.timeToMove(where)
		assertBetween(t, time.Since(began), testLimits.Lease-3*time.Second, testLimits.Lease+maxStartDelay)
	})
}

// unstopped is a client whose first start is late, and whose stops do not reach a worker.
type unstopped struct{ *lateStart }

func (un unstopped) Stop(ctx context.Context, wk *modeler.Worker, id modeler.TaskID, run modeler.Run, fence modeler.Fence) error {
	if wk.ID == "worker-00" {
		<-ctx.Done()
		return modeler.ErrNoAnswer
	}
	return un.WorkerClient.Stop(ctx, wk, id, run, fence)
}

// Guards against a task that runs twice as the recorded end of a lease leaves out that a start for an earlier
// incarnation of the worker may be carried out late.
func TestBoundWithLateStart(t *testing.T) {
	for _, tc := range []struct {
		name      string
		newLeader bool
	}{{"in one term", false}, {"with a new leader", true}} {
		t.Run(tc.name, func(t *testing.T) {
			run(t, 1, func(fl *fleet, tm *term) {
				tm.end()
				ls := &lateStart{WorkerClient: fl.workers}
				fl.client = unstopped{ls}
				*tm = *fl.startTerm(0)
				sleep(12 * time.Second)
				tm.submit(longRunningJob("long", "urgent", 1, cores(1000)))
				sleep(200 * time.Millisecond)
				qt.Assert(t, ls.req, qt.IsNotNil)
				fl.infos = []modeler.Worker{fl.workers.Add(workerInfo(0)), fl.workers.Add(workerInfo(1))}
				tm.SetWorkers(fl.infos)
				sleep(1500 * time.Millisecond)
				fl.workers.SetUnreachable("worker-00", true)
				sleep(5 * time.Second)
				fl.workers.SetUnreachable("worker-00", false)
				qt.Check(t, ls.deliver(fl.t.Context()), qt.ErrorIs, modeler.ErrStaleFence)
				fl.workers.SetUnreachable("worker-00", true)
				if tc.newLeader {
					tm.nextTerm(12 * time.Second)
				}
				fl.timeToMove("worker-00")
			})
		})
	}
}
