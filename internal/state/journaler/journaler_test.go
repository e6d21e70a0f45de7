package journaler_test

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"github.com/currantrouter/currantrouter/internal/fleet/modeler"
	"github.com/currantrouter/currantrouter/internal/provider/emulator"
	"github.com/currantrouter/currantrouter/internal/state/journaler"
)

// runThreeEpochs runs three epochs with snapshots, and appends by deposed leaders between them.
func runThreeEpochs(hs *history, st *emulator.Store) {
	first := mustOpen(hs, newStoppableStore(st))
	for range 3 {
		_ = first.append()
	}
	first.appendConcurrently(4)
	_ = first.snapshot()
	time.Sleep(time.Second)
	_ = first.append()
	second := mustOpen(hs, newStoppableStore(st))
	_ = first.append()
	second.appendConcurrently(2)
	_ = second.snapshot()
	_ = second.append()
	_ = first.snapshot()
	time.Sleep(10 * time.Second)
	third := mustOpen(hs, newStoppableStore(st))
	_ = third.append()
	first.end()
	second.end()
	third.end()
}

// Guards against lost, duplicated or reordered records when any single store call, or a series of
// calls, fails in any way.
func TestFaultAtEveryCall(t *testing.T) {
	calls := map[string]int64{}
	synctest.Test(t, func(t *testing.T) {
		st, hs := emulator.NewStore(nil), newHistory()
		runThreeEpochs(hs, st)
		qt.Assert(t, hs.finish(st), qt.IsNil)
		calls = st.Calls()
		qt.Check(t, len(hs.longestRecovered) >= 12, qt.IsTrue)
	})
	for _, sw := range []emulator.Switch{
		{Fault: emulator.Unavailable, Count: 1},
		{Fault: emulator.Unavailable, Count: 40},
		{Fault: emulator.AnswerLost, Count: 1},
		{Fault: emulator.AnswerLost, Count: 40},
		{Fault: emulator.RequestLost, Count: 1},
		{Fault: emulator.RequestLost, Count: 40},
		{Fault: emulator.Late, Count: 1, Delay: 200 * time.Millisecond},
		{Fault: emulator.Late, Count: 3, Delay: 20 * time.Second},
		{Fault: emulator.Slow, Count: 2, Delay: 8 * time.Second},
		{Fault: emulator.StaleList, Operation: "List"},
	} {
		for operation, count := range calls {
			if sw.Operation != "" && sw.Operation != operation {
				continue
			}
			t.Run(fmt.Sprint(sw.Fault, sw.Count, operation), func(t *testing.T) {
				for skip := range int(count) {
					sw := sw
					sw.Part, sw.Operation, sw.Skip = emulator.PartStore, operation, skip
					runWith(t, sw)
				}
			})
		}
	}
}

func runWith(t *testing.T, sw emulator.Switch) {
	var err error
	synctest.Test(t, func(*testing.T) {
		st, hs := emulator.NewStore(nil), newHistory()
		st.Faults().Set(sw)
		runThreeEpochs(hs, st)
		err = hs.finish(st)
	})
	qt.Check(t, err, qt.IsNil, qt.Commentf("%+v", sw))
}

// Guards against data loss when a process is paused or killed at any store call while another process
// takes over, writes snapshots and trims the journal. A paused leader must not append. A paused
// recovery must neither lose records nor begin an epoch beyond the end of the journal.
func TestStoppedAtEveryCall(t *testing.T) {
	for name, work := range map[string]func(*history, *stoppableStore){
		"opening": func(hs *history, ss *stoppableStore) {
			if ldr, err := open(hs, ss); err == nil {
				_ = ldr.append()
				ldr.end()
			}
		},
		"appending": func(_ *history, ss *stoppableStore) { ss.owner.appendConcurrently(3) },
		"snapshot": func(_ *history, ss *stoppableStore) {
			_ = ss.owner.snapshot()
			time.Sleep(10 * time.Second)
			_ = ss.owner.append()
		},
	} {
		for _, takeovers := range []int{0, 1, 2} {
			for _, dead := range []bool{false, true} {
				t.Run(fmt.Sprint(name, takeovers, dead), func(t *testing.T) {
					for call := 1; runStoppedAt(t, call, takeovers, dead, name == "opening", work); call++ {
						qt.Assert(t, call < 100, qt.IsTrue)
					}
				})
			}
		}
	}
}

// runStoppedAt stops the process at the given store call, before and after it takes effect. It
// returns false if the work makes fewer calls.
func runStoppedAt(t *testing.T, call, takeovers int, dead, opening bool, work func(*history, *stoppableStore)) bool {
	stopped := false
	for _, after := range []bool{false, true} {
		var err error
		synctest.Test(t, func(*testing.T) {
			st, hs := emulator.NewStore(nil), newHistory()
			ss := newStoppableStore(st)
			before := ss
			if opening {
				before = newStoppableStore(st)
			}
			before.owner = mustOpen(hs, before)
			before.owner.appendConcurrently(3)
			_ = before.owner.snapshot()
			before.owner.appendConcurrently(3)
			time.Sleep(10 * time.Second)
			ss.stopAtCall(call, after)
			done := make(chan struct{})
			go func() {
				defer close(done)
				work(hs, ss)
			}()
			synctest.Wait()
			time.Sleep(time.Minute)
			synctest.Wait()
			stopped = ss.stopped
			if opening && takeovers == 0 {
				advanceJournal(before.owner)
			}
			for range takeovers {
				next := mustOpen(hs, newStoppableStore(st))
				advanceJournal(next)
				next.end()
			}
			ss.release(dead && stopped)
			<-done
			if before.owner.append() == nil && takeovers > 0 {
				hs.addViolation("a deposed leader appended")
			}
			before.owner.end()
			err = hs.finish(st)
		})
		qt.Check(t, err, qt.IsNil, qt.Commentf("call %d, after it took effect: %v", call, after))
	}
	return stopped
}

// advanceJournal appends and trims until all positions that were used before are deleted.
func advanceJournal(ldr *leader) {
	for range 4 {
		_ = ldr.append()
	}
	_ = ldr.snapshot()
	_ = ldr.append()
	_ = ldr.snapshot()
	_ = ldr.append()
	time.Sleep(30 * time.Second)
}

// Guards against a recovery that reads an epoch record which a paused opener wrote at an already
// trimmed position.
func TestTrimmedPositionWrittenAnew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		st, hs := emulator.NewStore(nil), newHistory()
		lead := mustOpen(hs, newStoppableStore(st))
		qt.Assert(t, lead.append(), qt.IsNil)
		early, late := newStoppableStore(st), newStoppableStore(st)
		// The first four calls of an opener read the pointer, two lists and the end. The fifth writes.
		early.stopAtCall(5, false)
		late.stopAtCall(3, false)
		results := make(chan error, 2)
		for _, ss := range []*stoppableStore{early, late} {
			go func() {
				ldr, err := open(hs, ss)
				results <- err
				ldr.end()
			}()
		}
		synctest.Wait()
		qt.Assert(t, early.stopped && late.stopped, qt.IsTrue)
		qt.Assert(t, lead.append(), qt.IsNil)
		qt.Assert(t, lead.snapshot(), qt.IsNil)
		time.Sleep(time.Second)
		qt.Assert(t, lead.append(), qt.IsNil)
		early.release(false)
		qt.Check(t, <-results, qt.ErrorIs, journaler.ErrDeposed)
		late.release(false)
		qt.Check(t, <-results, qt.IsNil)
		lead.end()
		qt.Check(t, hs.finish(st), qt.IsNil)
	})
}

// Guards against unbounded growth of epoch records, and against trimming of the newest ones, which
// fence paused leaders.
func TestMaxRetainedEpochs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		st, hs := emulator.NewStore(nil), newHistory()
		for number := range journaler.MaxRetainedEpochs + 60 {
			ldr := mustOpen(hs, newStoppableStore(st))
			if number%50 == 0 {
				qt.Assert(t, ldr.snapshot(), qt.IsNil)
			}
			ldr.end()
		}
		last := mustOpen(hs, newStoppableStore(st))
		qt.Assert(t, last.snapshot(), qt.IsNil)
		time.Sleep(time.Minute)
		var kept []string
		for ens, err := st.List(t.Context(), "Journal/", "", 1000); len(ens) > 0; ens, err = st.List(t.Context(), "Journal/", kept[len(kept)-1], 1000) {
			qt.Assert(t, err, qt.IsNil)
			for _, en := range ens {
				kept = append(kept, en.Key)
			}
		}
		qt.Assert(t, kept, qt.HasLen, journaler.MaxRetainedEpochs)
		qt.Check(t, kept[len(kept)-1], qt.Equals, fmt.Sprintf("Journal/dc/%019d", last.Position()))
		last.end()
		qt.Check(t, hs.finish(st), qt.IsNil)
	})
}

// Guards against concurrent openers that both get an acknowledgement for the same position.
func TestRacingOpens(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		st, hs := emulator.NewStore(nil), newHistory()
		results := make(chan error, 8)
		for range cap(results) {
			go func() {
				ldr, err := open(hs, newStoppableStore(st))
				if err == nil {
					ldr.appendConcurrently(3)
					ldr.end()
				}
				results <- err
			}()
		}
		for range cap(results) {
			if err := <-results; err != nil {
				qt.Check(t, err, qt.ErrorIs, journaler.ErrDeposed)
			}
		}
		qt.Check(t, hs.finish(st), qt.IsNil)
	})
}

// Guards against a write rate above the budget, and against an unnecessary wait of the first append
// after an idle time.
func TestGroupCommit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		st, hs := emulator.NewStore(nil), newHistory()
		ldr := mustOpen(hs, newStoppableStore(st))
		time.Sleep(time.Second)
		began := time.Now()
		qt.Assert(t, ldr.append(), qt.IsNil)
		qt.Check(t, time.Since(began), qt.Equals, time.Duration(0), qt.Commentf("first append after an idle time"))
		before := st.Calls()["Put"]
		for range 1000 {
			go func() { _ = ldr.append() }()
			time.Sleep(time.Second / 255)
		}
		time.Sleep(time.Second)
		writes := st.Calls()["Put"] - before
		qt.Check(t, writes <= 132, qt.IsTrue, qt.Commentf("%d writes in 3.92 s at an interval of 30 ms", writes))
		ldr.end()
		qt.Check(t, hs.finish(st), qt.IsNil)
	})
}

// Guards against an error that claims a different outcome of an append than the actual one.
func TestAppendErrors(t *testing.T) {
	rec := func(size int) journaler.Record { return journaler.Record{Data: make([]byte, size)} }
	for name, run := range map[string]func(*testing.T, *emulator.Store, *leader){
		"too large": func(t *testing.T, _ *emulator.Store, ldr *leader) {
			qt.Check(t, ldr.Append(t.Context(), rec(journaler.MaxAppendBytes)), qt.ErrorIs, journaler.ErrTooLarge)
			qt.Check(t, ldr.Append(t.Context(), rec(journaler.MaxAppendBytes-100)), qt.IsNil)
		},
		"outage": func(t *testing.T, st *emulator.Store, ldr *leader) {
			st.Faults().Set(emulator.Switch{Fault: emulator.Unavailable})
			qt.Check(t, ldr.append(), qt.ErrorIs, journaler.ErrUnavailable)
			before := st.Calls()["Put"]
			qt.Check(t, ldr.append(), qt.ErrorIs, journaler.ErrUnavailable)
			qt.Check(t, st.Calls()["Put"], qt.Equals, before, qt.Commentf("append during the back-off"))
			st.Faults().Clear()
			time.Sleep(10 * time.Second)
			qt.Check(t, ldr.append(), qt.IsNil)
		},
		"answer lost in an outage": func(t *testing.T, st *emulator.Store, ldr *leader) {
			st.Faults().Set(
				emulator.Switch{Fault: emulator.AnswerLost, Operation: "Put", Count: 1},
				emulator.Switch{Fault: emulator.Unavailable},
			)
			qt.Check(t, ldr.append(), qt.ErrorIs, journaler.ErrResultUnknown)
			qt.Check(t, ldr.append(), qt.ErrorIs, journaler.ErrUnavailable)
			qt.Check(t, ldr.applied(), qt.Equals, 0)
			st.Faults().Clear()
			time.Sleep(10 * time.Second)
			qt.Check(t, ldr.applied(), qt.Equals, 1, qt.Commentf("applied once the outcome is known"))
		},
		"context ends in the queue": func(t *testing.T, _ *emulator.Store, ldr *leader) {
			qt.Check(t, ldr.append(), qt.IsNil)
			ctx, cancel := context.WithTimeout(t.Context(), time.Millisecond)
			defer cancel()
			qt.Check(t, ldr.Append(ctx, rec(1)), qt.ErrorIs, journaler.ErrUnavailable)
		},
		"context ends in flight": func(t *testing.T, st *emulator.Store, ldr *leader) {
			time.Sleep(time.Second)
			st.Faults().Set(emulator.Switch{Fault: emulator.Slow, Operation: "Put", Delay: time.Second})
			ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
			defer cancel()
			qt.Check(t, ldr.Append(ctx, rec(1)), qt.ErrorIs, journaler.ErrResultUnknown)
		},
		"deposed": func(t *testing.T, st *emulator.Store, ldr *leader) {
			next := mustOpen(ldr.history, newStoppableStore(st))
			defer next.end()
			qt.Check(t, next.epoch, qt.Equals, ldr.epoch+1)
			qt.Check(t, ldr.Check(t.Context()), qt.ErrorIs, journaler.ErrDeposed)
			<-ldr.Deposed()
			qt.Check(t, ldr.append(), qt.ErrorIs, journaler.ErrDeposed)
			qt.Check(t, ldr.snapshot(), qt.ErrorIs, journaler.ErrDeposed)
			qt.Check(t, next.Check(t.Context()), qt.IsNil)
			qt.Check(t, time.Since(next.LastConfirmed()), qt.Equals, time.Duration(0))
		},
		"closed": func(t *testing.T, _ *emulator.Store, ldr *leader) {
			ldr.Close()
			err := ldr.append()
			qt.Check(t, errors.Is(err, journaler.ErrUnavailable), qt.IsTrue)
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				st := emulator.NewStore(nil)
				ldr := mustOpen(newHistory(), newStoppableStore(st))
				defer ldr.end()
				run(t, st, ldr)
			})
		})
	}
}

// Guards against an epoch that begins over one which the caller does not want to replace.
func TestMayReplace(t *testing.T) {
	for name, last := range map[string]func(jn *journaler.Journal) error{
		"epoch record": func(*journaler.Journal) error { return nil },
		"append": func(jn *journaler.Journal) error {
			return jn.Append(context.Background(), journaler.Record{Kind: journaler.KindTask, Data: []byte("x")})
		},
		"snapshot": func(jn *journaler.Journal) error { return jn.Snapshot(context.Background(), nil, 1) },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				st := emulator.NewStore(nil)
				first, _, err := journaler.Open(t.Context(), st, "jobs", "host-1", "boot-1", journaler.Options{})
				qt.Assert(t, err, qt.IsNil)
				defer first.Close()
				qt.Assert(t, last(first), qt.IsNil)
				allow := false
				op := journaler.Options{MayReplace: func(epoch modeler.Epoch, host modeler.HostName, boot modeler.BootID) bool {
					qt.Check(t, epoch, qt.Equals, modeler.Epoch(1))
					qt.Check(t, host, qt.Equals, modeler.HostName("host-1"))
					qt.Check(t, boot, qt.Equals, modeler.BootID("boot-1"))
					return allow
				}}
				_, _, err = journaler.Open(t.Context(), st, "jobs", "host-2", "boot-2", op)
				qt.Check(t, err, qt.ErrorIs, journaler.ErrDeposed)
				qt.Check(t, first.Check(t.Context()), qt.IsNil)
				allow = true
				second, rec, err := journaler.Open(t.Context(), st, "jobs", "host-2", "boot-2", op)
				qt.Assert(t, err, qt.IsNil)
				defer second.Close()
				qt.Check(t, rec.Epoch, qt.Equals, modeler.Epoch(2))
				qt.Check(t, first.Check(t.Context()), qt.ErrorIs, journaler.ErrDeposed)
			})
		})
	}
}

// Guards against first records of an epoch that are lost, read by their own leader, or made from less than what is
// before them in the journal.
func TestEpochRecords(t *testing.T) {
	task := func(text string) journaler.Record {
		return journaler.Record{Kind: journaler.KindTask, Data: []byte(text)}
	}
	for name, fault := range map[string]emulator.Switch{
		"no fault":     {},
		"answer lost":  {Fault: emulator.AnswerLost, Part: emulator.PartStore, Operation: "Put", Count: 1},
		"request lost": {Fault: emulator.Unavailable, Part: emulator.PartStore, Operation: "Put", Count: 1},
		"a read fails": {Fault: emulator.Unavailable, Part: emulator.PartStore, Operation: "Get", Skip: 4, Count: 1},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				faults := new(emulator.Faults)
				st := emulator.NewStore(faults)
				first, _, err := journaler.Open(t.Context(), st, "jobs", "host-1", "boot-1", journaler.Options{})
				qt.Assert(t, err, qt.IsNil)
				defer first.Close()
				calls := 0
				op := journaler.Options{RetryTimeout: 5 * time.Second, EpochRecords: func(rec journaler.Recovery) []journaler.Record {
					if calls++; calls == 1 {
						// The leader goes on until the position is taken.
						qt.Check(t, first.Append(t.Context(), task("late")), qt.IsNil)
						faults.Set(fault)
					}
					qt.Check(t, rec.PreviousHost, qt.Equals, modeler.HostName("host-1"))
					return []journaler.Record{task(fmt.Sprintf("epoch %d after %d records", rec.Epoch, len(rec.Records))), task("second")}
				}}
				second, rec, err := journaler.Open(t.Context(), st, "jobs", "host-2", "boot-2", op)
				qt.Assert(t, err, qt.IsNil)
				defer second.Close()
				qt.Check(t, calls, qt.Equals, 2)
				qt.Check(t, rec.Records, qt.DeepEquals, []journaler.Record{task("late")})
				qt.Assert(t, second.Append(t.Context(), task("third")), qt.IsNil)
				third, rec, err := journaler.Open(t.Context(), st, "jobs", "host-3", "boot-3", journaler.Options{})
				qt.Assert(t, err, qt.IsNil)
				defer third.Close()
				qt.Check(t, rec.Records, qt.DeepEquals, []journaler.Record{task("late"), task("epoch 2 after 1 records"), task("second"), task("third")})
			})
		})
	}
	t.Run("too large", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			st := emulator.NewStore(nil)
			_, _, err := journaler.Open(t.Context(), st, "jobs", "host", "boot", journaler.Options{EpochRecords: func(journaler.Recovery) []journaler.Record {
				return []journaler.Record{task(strings.Repeat("x", journaler.MaxAppendBytes))}
			}})
			qt.Check(t, err, qt.ErrorIs, journaler.ErrTooLarge)
			ens, err := st.List(t.Context(), "Journal/", "", 1)
			qt.Assert(t, err, qt.IsNil)
			qt.Check(t, ens, qt.HasLen, 0)
		})
	})
}

// Guards against a leader that counts as confirmed at a later time than its epoch record was written, as a
// later epoch may have begun in between.
func TestConfirmedByRepeatedWrite(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		faults := new(emulator.Faults)
		faults.Set(
			emulator.Switch{Fault: emulator.AnswerLost, Part: emulator.PartStore, Operation: "Put", Count: 1},
			emulator.Switch{Fault: emulator.Unavailable, Part: emulator.PartStore, Operation: "Get", Skip: 2, Count: 1},
		)
		began := time.Now()
		jn, _, err := journaler.Open(t.Context(), emulator.NewStore(faults), "jobs", "host", "boot", journaler.Options{RetryTimeout: 5 * time.Second})
		qt.Assert(t, err, qt.IsNil)
		defer jn.Close()
		qt.Assert(t, time.Since(began) > 0, qt.IsTrue)
		qt.Check(t, jn.LastConfirmed(), qt.Equals, began)
	})
}

// Guards against a deposed leader that counts as leading since the repetition of a write which had succeeded
// before it was deposed.
func TestConfirmedByRepeatedAppend(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		faults := new(emulator.Faults)
		st := emulator.NewStore(faults)
		jn, _, err := journaler.Open(t.Context(), st, "jobs", "host", "boot", journaler.Options{RetryTimeout: 30 * time.Second})
		qt.Assert(t, err, qt.IsNil)
		defer jn.Close()
		time.Sleep(time.Second)
		began := time.Now()
		faults.Set(
			emulator.Switch{Fault: emulator.AnswerLost, Part: emulator.PartStore, Operation: "Put", Count: 1},
			emulator.Switch{Fault: emulator.Unavailable, Part: emulator.PartStore, Operation: "Get"},
		)
		time.AfterFunc(8*time.Second, faults.Clear)
		result := make(chan error, 1)
		go func() { result <- jn.Append(context.Background(), journaler.Record{Kind: journaler.KindTask}) }()
		time.Sleep(5 * time.Second)
		key := "Journal/jobs/0000000000000000003"
		_, err = st.Put(t.Context(), key, epochRecord(t, 3, 2), 0)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, <-result, qt.IsNil)
		qt.Assert(t, time.Since(began) >= 8*time.Second, qt.IsTrue)
		qt.Check(t, jn.LastConfirmed(), qt.Equals, began)
		qt.Check(t, jn.Check(t.Context()), qt.ErrorIs, journaler.ErrDeposed)
	})
}

// epochRecord returns the value of an epoch record of another host.
func epochRecord(t *testing.T, position, epoch int64) []byte {
	t.Helper()
	value, err := proto.Marshal(&journaler.StoredSegment{Position: position, Epoch: epoch, Host: "other", Boot: "other-boot", BeginsEpoch: true})
	qt.Assert(t, err, qt.IsNil)
	return value
}
