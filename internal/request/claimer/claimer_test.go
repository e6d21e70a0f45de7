package claimer_test

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"
	"pgregory.net/rapid"

	"github.com/currantrouter/currantrouter/internal/fleet/modeler"
	"github.com/currantrouter/currantrouter/internal/provider/storer"
	"github.com/currantrouter/currantrouter/internal/request/claimer"
	"github.com/currantrouter/currantrouter/internal/telemetry/meter"
)

func init() {
	// A fixed seed makes runs repeatable. Flags of the command line override it.
	_ = flag.Set("rapid.seed", "20261204")
	_ = flag.Set("rapid.checks", "300")
	_ = flag.Set("rapid.nofailfile", "true")
}

// errLost means that the response to an append was lost.
var errLost = errors.New("answer lost")

// fault is a fault of the next append.
type fault int

const (
	none fault = iota
	unavailable
	answerLost
	requestLost
	// late means that the response is lost and the records arrive after the leader's next append.
	late
)

// sharedJournal is a journal with one writer at a time.
type sharedJournal struct {
	mu      sync.Mutex
	epoch   modeler.Epoch
	records [][]byte
}

// leaderJournal is a leader's handle of the journal.
type leaderJournal struct {
	log          *sharedJournal
	epoch        modeler.Epoch
	nextFault    fault
	confirmFails bool
	delayed      [][]byte
	deposed      chan struct{}
	isDeposed    bool
}

func (lj *leaderJournal) Append(_ context.Context, records ...[]byte) error {
	lj.log.mu.Lock()
	defer lj.log.mu.Unlock()
	now := lj.nextFault
	lj.nextFault = none
	if now == unavailable {
		return storer.ErrUnavailable
	}
	if now == requestLost {
		return errLost
	}
	if lj.fenced() {
		return errors.New("deposed")
	}
	if now == late {
		lj.delayed = append(lj.delayed, records...)
		return errLost
	}
	lj.log.records = append(lj.log.records, records...)
	lj.log.records = append(lj.log.records, lj.delayed...)
	lj.delayed = nil
	if now == answerLost {
		return errLost
	}
	return nil
}

func (lj *leaderJournal) fenced() bool {
	if lj.log.epoch == lj.epoch {
		return false
	}
	if !lj.isDeposed {
		lj.isDeposed = true
		close(lj.deposed)
	}
	return true
}

func (lj *leaderJournal) Confirm(context.Context) error {
	lj.log.mu.Lock()
	defer lj.log.mu.Unlock()
	if lj.confirmFails {
		return storer.ErrUnavailable
	}
	if lj.fenced() {
		return errors.New("deposed")
	}
	return nil
}

func (lj *leaderJournal) Deposed() <-chan struct{} { return lj.deposed }

// leader is a claimer with its journal.
type leader struct {
	*claimer.Claimer
	lj *leaderJournal
}

// elect starts the next epoch and opens a claimer from the records of the journal.
func (sj *sharedJournal) elect(parts [][]byte, from int, opt claimer.Options) (leader, error) {
	sj.mu.Lock()
	sj.epoch++
	lj := &leaderJournal{log: sj, epoch: sj.epoch, deposed: make(chan struct{})}
	records := sj.records[from:]
	sj.mu.Unlock()
	opt.Journal, opt.Epoch, opt.Log, opt.Meter = lj, lj.epoch, logr.Discard(), meter.New(nil)
	clm, err := claimer.Open(opt, parts, records)
	return leader{clm, lj}, err
}

func (sj *sharedJournal) mustElect(t testing.TB, opt claimer.Options) leader {
	t.Helper()
	ldr, err := sj.elect(nil, 0, opt)
	qt.Assert(t, err, qt.IsNil)
	return ldr
}

func (ldr leader) claim(key string, digest byte) (claimer.Claim, error) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	return ldr.Claim(ctx, key, "tidebook", claimer.Digest{digest})
}

// mustRun claims a key and completes it with an answer.
func (ldr leader) mustRun(t testing.TB, key, body string) {
	t.Helper()
	cl, err := ldr.claim(key, 1)
	qt.Assert(t, err, qt.IsNil)
	ans := &claimer.Answer{Status: 200, Body: []byte(body)}
	qt.Assert(t, ldr.Complete(context.Background(), cl, modeler.Answered, ans), qt.IsNil)
}

// assertKnown checks the outcome and the answer's body that a retry gets. An empty body means no answer.
func (ldr leader) assertKnown(t testing.TB, key string, oc modeler.Outcome, body string) {
	t.Helper()
	_, err := ldr.claim(key, 1)
	var known *claimer.KnownError
	qt.Assert(t, errors.As(err, &known), qt.IsTrue, qt.Commentf("got %v", err))
	qt.Check(t, known.Outcome, qt.Equals, oc)
	got := ""
	if known.Answer != nil {
		got = string(known.Answer.Body)
	}
	qt.Check(t, got, qt.Equals, body)
}

// TestFailedClaim guards against an unproven NotRun after a failed claim, and against a key that stays
// claimed although its call was not sent.
func TestFailedClaim(t *testing.T) {
	for _, tc := range []struct {
		name         string
		next         fault
		confirmFails bool
		deposed      bool
		want         error
		outcome      modeler.Outcome
	}{
		{"store down for writes", unavailable, false, false, claimer.ErrNotClaimed, modeler.NotRun},
		{"store down", unavailable, true, false, claimer.ErrOutcomeUnknown, modeler.Unknown},
		{"answer lost", answerLost, false, false, claimer.ErrNotClaimed, modeler.NotRun},
		{"answer lost, then store down", answerLost, true, false, claimer.ErrOutcomeUnknown, modeler.Unknown},
		{"late effect", late, true, false, claimer.ErrOutcomeUnknown, modeler.Unknown},
		{"deposed", none, false, true, claimer.ErrNotLeader, modeler.Unknown},
		{"deposed, store down", unavailable, true, true, claimer.ErrOutcomeUnknown, modeler.Unknown},
		{"deposed, answer lost", requestLost, false, true, claimer.ErrNotLeader, modeler.Unknown},
	} {
		t.Run(tc.name, func(t *testing.T) {
			log := new(sharedJournal)
			ldr := log.mustElect(t, claimer.Options{})
			if tc.deposed {
				log.mustElect(t, claimer.Options{}).mustRun(t, "k", "")
			}
			ldr.lj.nextFault, ldr.lj.confirmFails = tc.next, tc.confirmFails
			_, err := ldr.claim("k", 1)
			qt.Check(t, errors.Is(err, tc.want), qt.IsTrue, qt.Commentf("got %v", err))
			qt.Check(t, claimer.OutcomeOf(err), qt.Equals, tc.outcome)
			ldr.lj.confirmFails = false
			_, err = ldr.claim("k", 1)
			qt.Check(t, err == nil, qt.Equals, !tc.deposed)
		})
	}
}

// TestRetry guards against a second run of a call and against wrong answers to retries.
func TestRetry(t *testing.T) {
	t.Run("answers age and outcomes stay", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			log := new(sharedJournal)
			ldr := log.mustElect(t, claimer.Options{MaxAnswerBytes: 100_000})
			ldr.mustRun(t, "small", "answer")
			ldr.mustRun(t, "large", string(make([]byte, claimer.MaxBodyBytes+1)))
			ldr.assertKnown(t, "small", modeler.Answered, "answer")
			ldr.assertKnown(t, "large", modeler.Answered, "")
			time.Sleep(claimer.AnswerAge)
			ldr.DropExpired()
			ldr.assertKnown(t, "small", modeler.Answered, "")
			time.Sleep(claimer.KeyAge - claimer.AnswerAge - time.Second)
			ldr.DropExpired()
			ldr.assertKnown(t, "small", modeler.Answered, "")
			time.Sleep(2 * time.Hour)
			ldr.DropExpired()
			ldr.mustRun(t, "small", "again")
		})
	})
	t.Run("memory for answers", func(t *testing.T) {
		ldr := new(sharedJournal).mustElect(t, claimer.Options{MaxAnswerBytes: 100})
		ldr.mustRun(t, "a", string(make([]byte, 60)))
		ldr.mustRun(t, "b", "answer")
		ldr.mustRun(t, "c", string(make([]byte, 60)))
		ldr.assertKnown(t, "a", modeler.Answered, "")
		ldr.assertKnown(t, "b", modeler.Answered, "answer")
	})
	t.Run("key of another request", func(t *testing.T) {
		ldr := new(sharedJournal).mustElect(t, claimer.Options{})
		ldr.mustRun(t, "k", "")
		_, err := ldr.claim("k", 2)
		qt.Check(t, errors.Is(err, claimer.ErrKeyReused), qt.IsTrue)
		_, err = ldr.Claim(t.Context(), "k", "bakedesk", claimer.Digest{1})
		qt.Check(t, errors.Is(err, claimer.ErrKeyReused), qt.IsTrue)
	})
	t.Run("second attempt waits for the first", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			ldr := new(sharedJournal).mustElect(t, claimer.Options{})
			cl, err := ldr.claim("k", 1)
			qt.Assert(t, err, qt.IsNil)
			ldr.assertKnown(t, "k", modeler.Unknown, "")
			time.AfterFunc(500*time.Millisecond, func() {
				ans := &claimer.Answer{Body: []byte("answer")}
				qt.Check(t, ldr.Complete(context.Background(), cl, modeler.Answered, ans), qt.IsNil)
			})
			ldr.assertKnown(t, "k", modeler.Answered, "answer")
		})
	})
	t.Run("not run frees the key for one waiter", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			ldr := new(sharedJournal).mustElect(t, claimer.Options{})
			cl, _ := ldr.claim("k", 1)
			var claimed atomic.Int64
			for range 3 {
				go func() {
					if _, err := ldr.claim("k", 1); err == nil {
						claimed.Add(1)
					}
				}()
			}
			time.Sleep(time.Millisecond)
			qt.Assert(t, ldr.Complete(t.Context(), cl, modeler.NotRun, nil), qt.IsNil)
			qt.Check(t, errors.Is(ldr.Complete(t.Context(), cl, modeler.Answered, nil), claimer.ErrNotOpen), qt.IsTrue)
			time.Sleep(2 * time.Second)
			qt.Check(t, claimed.Load(), qt.Equals, int64(1))
		})
	})
	t.Run("full table", func(t *testing.T) {
		ldr := new(sharedJournal).mustElect(t, claimer.Options{MaxKeys: 1})
		ldr.mustRun(t, "k", "")
		_, err := ldr.claim("other", 1)
		qt.Check(t, errors.Is(err, claimer.ErrNotClaimed), qt.IsTrue)
		ldr.assertKnown(t, "k", modeler.Answered, "")
	})
	t.Run("bad keys", func(t *testing.T) {
		ldr := new(sharedJournal).mustElect(t, claimer.Options{})
		for _, key := range []string{"", "a\nb", "ø", string(make([]byte, 300))} {
			_, err := ldr.claim(key, 1)
			qt.Check(t, errors.Is(err, claimer.ErrInvalidKey), qt.IsTrue)
		}
	})
}

// TestClockAhead guards against a key that expires early because the wall clock of a leader is ahead.
func TestClockAhead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := new(sharedJournal)
		log.mustElect(t, claimer.Options{}).mustRun(t, "k", "")
		// The sleep simulates a wall clock that jumps ahead before the new leader starts.
		time.Sleep(72 * time.Hour)
		ahead := log.mustElect(t, claimer.Options{})
		ahead.DropExpired()
		ahead.assertKnown(t, "k", modeler.Answered, "")
	})
}

// TestLateRecords guards against a late NotRun record that deletes a later claim of the key, and against a
// late claim record that hides the outcome of a later claim.
func TestLateRecords(t *testing.T) {
	log := new(sharedJournal)
	ldr := log.mustElect(t, claimer.Options{})
	ldr.lj.nextFault, ldr.lj.confirmFails = late, true
	_, err := ldr.claim("k", 1)
	qt.Assert(t, errors.Is(err, claimer.ErrOutcomeUnknown), qt.IsTrue)
	first, err := ldr.claim("k", 1)
	qt.Assert(t, err, qt.IsNil)
	ldr.lj.nextFault = late
	qt.Assert(t, ldr.Complete(t.Context(), first, modeler.NotRun, nil), qt.Not(qt.IsNil))
	second, err := ldr.claim("k", 1)
	qt.Assert(t, err, qt.IsNil)
	log.mustElect(t, claimer.Options{}).assertKnown(t, "k", modeler.Unknown, "")
	log.epoch = ldr.lj.epoch
	qt.Assert(t, ldr.Complete(t.Context(), second, modeler.Answered, nil), qt.IsNil)
	log.mustElect(t, claimer.Options{}).assertKnown(t, "k", modeler.Answered, "")
}

// TestCorrupt guards against a leader that starts without all keys because a record was corrupt.
func TestCorrupt(t *testing.T) {
	ldr := new(sharedJournal).mustElect(t, claimer.Options{})
	ldr.mustRun(t, "k", "")
	part := ldr.Snapshot(1 << 19)[0]
	for _, bad := range [][]byte{nil, {9}, part[:len(part)-1], append(part[:len(part):len(part)], 1)} {
		_, err := new(sharedJournal).elect([][]byte{bad}, 0, claimer.Options{})
		qt.Check(t, errors.Is(err, claimer.ErrCorrupt), qt.IsTrue)
		_, err = (&sharedJournal{records: [][]byte{bad}}).elect(nil, 0, claimer.Options{})
		qt.Check(t, errors.Is(err, claimer.ErrCorrupt), qt.IsTrue)
	}
}

// TestHome guards against a key that names a data centre in its prefix but is assigned to another one.
func TestHome(t *testing.T) {
	dcs := []modeler.DataCentreName{"stad", "hoddevik", "jaeren"}
	qt.Check(t, claimer.Home("hoddevik.7", dcs), qt.Equals, modeler.DataCentreName("hoddevik"))
	qt.Check(t, claimer.Home("oslo.7", dcs), qt.Equals, modeler.HomeDataCentre("oslo.7", dcs))
	qt.Check(t, claimer.Home("stad", dcs), qt.Equals, modeler.HomeDataCentre("stad", dcs))
}

// TestAtMostOnce guards against a call that runs twice, and against NotRun for a call that ran, over leader
// changes, deposed leaders that continue, lost responses, snapshots and retries.
func TestAtMostOnce(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) { rapid.SyncTest(rt, checkAtMostOnce) })
}

// sentCall is a call that a leader has sent.
type sentCall struct {
	ldr leader
	cl  claimer.Claim
	key string
}

func checkAtMostOnce(rt *rapid.T) {
	log := new(sharedJournal)
	first, err := log.elect(nil, 0, claimer.Options{})
	if err != nil {
		rt.Fatal(err)
	}
	leaders := []leader{first}
	var calls []sentCall
	// executed counts by key the calls that a runner may have executed.
	executed := map[string]int{}
	ended := map[string]bool{}
	var snapshot [][]byte
	from := 0
	pick := func(rt *rapid.T) leader { return rapid.SampledFrom(leaders).Draw(rt, "leader") }
	rt.Repeat(map[string]func(*rapid.T){
		"claim": func(rt *rapid.T) {
			ldr, key := pick(rt), rapid.SampledFrom([]string{"a", "b", "c"}).Draw(rt, "key")
			cl, err := ldr.claim(key, 1)
			var known *claimer.KnownError
			switch {
			case err == nil:
				executed[key]++
				calls = append(calls, sentCall{ldr, cl, key})
			case claimer.OutcomeOf(err) == modeler.NotRun && executed[key] > 0:
				rt.Fatalf("NotRun for key %s that was sent: %v", key, err)
			case errors.As(err, &known) && known.Outcome == modeler.Answered && !ended[key]:
				rt.Fatalf("key %s is Answered before its call ended", key)
			}
			if executed[key] > 1 {
				rt.Fatalf("key %s was sent twice", key)
			}
		},
		"complete": func(rt *rapid.T) {
			if len(calls) == 0 {
				rt.Skip("no call in progress")
			}
			idx := rapid.IntRange(0, len(calls)-1).Draw(rt, "call")
			oc := rapid.SampledFrom([]modeler.Outcome{modeler.Answered, modeler.NotRun, modeler.Unknown}).Draw(rt, "outcome")
			run := calls[idx]
			calls = append(calls[:idx], calls[idx+1:]...)
			if oc == modeler.NotRun {
				executed[run.key]--
			}
			ended[run.key] = ended[run.key] || oc == modeler.Answered
			_ = run.ldr.Complete(context.Background(), run.cl, oc, nil)
		},
		"takeover": func(rt *rapid.T) {
			ldr, err := log.elect(snapshot, from, claimer.Options{})
			if err != nil {
				rt.Fatal(err)
			}
			leaders = append(leaders, ldr)
		},
		"fault": func(rt *rapid.T) {
			lj := pick(rt).lj
			lj.nextFault = fault(rapid.IntRange(int(none), int(late)).Draw(rt, "fault"))
			lj.confirmFails = rapid.Bool().Draw(rt, "unread")
		},
		"snapshot": func(rt *rapid.T) {
			ldr := leaders[len(leaders)-1]
			at := rapid.IntRange(from, len(log.records)).Draw(rt, "position")
			// The state may be ahead of the position, because the position is read first.
			snapshot, from = ldr.Snapshot(128), at
		},
		"trim": func(rt *rapid.T) { pick(rt).DropExpired() },
	})
}

// BenchmarkFind measures the retry of a key among many keys, the memory per key without its answer, and
// the size of its records in the journal.
func BenchmarkFind(b *testing.B) {
	const keys = 200_000
	log := new(sharedJournal)
	ldr := log.mustElect(b, claimer.Options{})
	before := heap()
	for num := range keys {
		cl, err := ldr.claim(fmt.Sprint("key-", num), 1)
		qt.Assert(b, err, qt.IsNil)
		qt.Assert(b, ldr.Complete(b.Context(), cl, modeler.Unknown, nil), qt.IsNil)
	}
	ldr.DropExpired()
	size := 0
	for _, rec := range log.records {
		size += len(rec)
	}
	log.records = nil
	memory := heap() - before
	for b.Loop() {
		_, _ = ldr.Claim(b.Context(), "key-77", "tidebook", claimer.Digest{1})
	}
	b.ReportMetric(float64(memory)/keys, "B/key")
	b.ReportMetric(float64(size)/keys, "record-B/key")
}

func heap() int64 {
	var ms runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&ms)
	return int64(ms.HeapAlloc)
}
