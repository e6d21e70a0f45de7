package claimer_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"

	"github.com/currantrouter/currantrouter/internal/fleet/modeler"
	"github.com/currantrouter/currantrouter/internal/provider/emulator"
	"github.com/currantrouter/currantrouter/internal/request/claimer"
	"github.com/currantrouter/currantrouter/internal/state/journaler"
	"github.com/currantrouter/currantrouter/internal/telemetry/meter"
)

// keyJournal adapts journaler.Journal to claimer.Journal.
type keyJournal struct{ *journaler.Journal }

func (kj keyJournal) Append(ctx context.Context, records ...[]byte) error {
	return kj.Journal.Append(ctx, recordsOf(records)...)
}

func (kj keyJournal) Confirm(ctx context.Context) error { return kj.Check(ctx) }

func recordsOf(data [][]byte) []journaler.Record {
	var recs []journaler.Record
	for _, rec := range data {
		recs = append(recs, journaler.Record{Kind: journaler.KindKey, Data: rec})
	}
	return recs
}

func dataOf(recs []journaler.Record) [][]byte {
	var data [][]byte
	for _, rec := range recs {
		data = append(data, rec.Data)
	}
	return data
}

// TestRealJournal guards against a claimer that does not work with the real journal: claims, outcomes, a
// snapshot and an unavailable store, followed by a takeover that the deposed leader does not notice.
func TestRealJournal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		st := emulator.NewStore(nil)
		open := func(host modeler.HostName) (*journaler.Journal, leader) {
			jn, rcv, err := journaler.Open(t.Context(), st, "stad", host, modeler.BootID(host), journaler.Options{})
			qt.Assert(t, err, qt.IsNil)
			t.Cleanup(jn.Close)
			opt := claimer.Options{Journal: keyJournal{jn}, Epoch: rcv.Epoch, Log: logr.Discard(), Meter: meter.New(nil)}
			clm, err := claimer.Open(opt, dataOf(rcv.SnapshotRecords), dataOf(rcv.Records))
			qt.Assert(t, err, qt.IsNil)
			return jn, leader{Claimer: clm}
		}
		jn, first := open("a")
		first.mustRun(t, "ended", "answer")
		cl, err := first.claim("running", 1)
		qt.Assert(t, err, qt.IsNil)
		at := jn.Position()
		qt.Assert(t, jn.Snapshot(t.Context(), recordsOf(first.Snapshot(256<<10)), at), qt.IsNil)
		st.Faults().Set(emulator.Switch{Fault: emulator.Unavailable, Part: emulator.PartStore, Operation: "Put"})
		_, err = first.claim("new", 1)
		qt.Check(t, claimer.OutcomeOf(err), qt.Equals, modeler.Unknown, qt.Commentf("the journal itself waits for the store"))
		st.Faults().Clear()
		time.Sleep(time.Minute)
		_, second := open("b")
		second.assertKnown(t, "ended", modeler.Answered, "")
		second.assertKnown(t, "running", modeler.Unknown, "")
		qt.Check(t, first.Complete(t.Context(), cl, modeler.Answered, nil), qt.Not(qt.IsNil))
		second.assertKnown(t, "running", modeler.Unknown, "")
		_, err = first.claim("other", 1)
		qt.Check(t, errors.Is(err, claimer.ErrNotLeader), qt.IsTrue)
		second.mustRun(t, "other", "")
	})
}
