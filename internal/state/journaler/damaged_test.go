package journaler_test

import (
	"context"
	"errors"
	"fmt"
	"math"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"
	"google.golang.org/protobuf/proto"

	"github.com/currantrouter/currantrouter/internal/fleet/modeler"
	"github.com/currantrouter/currantrouter/internal/provider/emulator"
	"github.com/currantrouter/currantrouter/internal/state/journaler"
	"github.com/currantrouter/currantrouter/internal/telemetry/meter"
)

// damagedStore is a store to which another writer has added entries.
type damagedStore struct {
	*emulator.Store
	t     testing.TB
	meter *meter.Registry
}

func newDamagedStore(t testing.TB) *damagedStore {
	return &damagedStore{Store: emulator.NewStore(nil), t: t, meter: meter.New(nil)}
}

// open begins an epoch as a host that passes over damaged segments.
func (ds *damagedStore) open(boot string) (*journaler.Journal, journaler.Recovery, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	return journaler.Open(ctx, ds, "jobs", "host", modeler.BootID(boot), journaler.Options{Logger: logr.Discard(), Meter: ds.meter, SkipDamaged: true})
}

// damage creates an entry at a position of the journal.
func (ds *damagedStore) damage(position int64, value []byte) {
	_, err := ds.Put(context.Background(), fmt.Sprintf("Journal/jobs/%019d", position), value, 0)
	qt.Assert(ds.t, err, qt.IsNil)
}

func (ds *damagedStore) append(jn *journaler.Journal, text string) error {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	return jn.Append(ctx, journaler.Record{Kind: journaler.KindTask, Data: []byte(text)})
}

func segment(t testing.TB, sg *journaler.StoredSegment) []byte {
	value, err := proto.Marshal(sg)
	qt.Assert(t, err, qt.IsNil)
	return value
}

// oddSegments returns entries that no leader wrote, for a position.
func oddSegments(t testing.TB, position int64) map[string][]byte {
	return map[string][]byte{
		"no segment":         []byte("\xff\xff\xff"),
		"empty":              {},
		"other position":     segment(t, &journaler.StoredSegment{Position: position + 7, Epoch: 1, Host: "h"}),
		"no epoch":           segment(t, &journaler.StoredSegment{Position: position, Host: "h"}),
		"epoch at the limit": segment(t, &journaler.StoredSegment{Position: position, Epoch: math.MaxInt64, Host: "h", BeginsEpoch: true}),
		"bad compression":    segment(t, &journaler.StoredSegment{Position: position, Epoch: 1, Records: []*journaler.StoredRecord{{Kind: -1, Data: []byte("x")}}}),
	}
}

// Guards against one damaged segment after which no host can lead.
func TestOpenPassesDamagedSegments(t *testing.T) {
	for name, value := range oddSegments(t, 3) {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ds := newDamagedStore(t)
				jn, _, err := ds.open("one")
				qt.Assert(t, err, qt.IsNil)
				qt.Assert(t, ds.append(jn, "fact"), qt.IsNil)
				jn.Close()
				ds.damage(3, value)
				jn, rec, err := ds.open("two")
				qt.Assert(t, err, qt.IsNil)
				defer jn.Close()
				qt.Check(t, rec.Epoch > 1 && rec.Epoch < 10, qt.IsTrue, qt.Commentf("epoch %d", rec.Epoch))
				qt.Check(t, rec.Damaged, qt.Equals, 1)
				qt.Check(t, rec.PreviousHost, qt.Equals, modeler.HostName("host"))
				qt.Check(t, ds.meter.Value(meter.EntriesInvalid), qt.Equals, int64(1))
				qt.Assert(t, rec.Records, qt.HasLen, 1)
				qt.Check(t, string(rec.Records[0].Data), qt.Equals, "fact")
				qt.Check(t, ds.append(jn, "later"), qt.IsNil)
			})
		})
	}
}

// Guards against a leader that retries for ever to write to a position that a damaged segment holds.
func TestLeaderMeetsDamagedSegment(t *testing.T) {
	for name, value := range oddSegments(t, 2) {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ds := newDamagedStore(t)
				jn, _, err := ds.open("one")
				qt.Assert(t, err, qt.IsNil)
				defer jn.Close()
				ds.damage(2, value)
				err = ds.append(jn, "fact")
				qt.Check(t, errors.Is(err, journaler.ErrDeposed), qt.IsTrue, qt.Commentf("%v", err))
			})
		})
	}
}

// Guards against a damaged pointer to the snapshot, which ends the process of every host that tries to
// lead.
func TestOpenRefusesDamagedPointer(t *testing.T) {
	for name, sp := range map[string]*journaler.StoredPointer{
		"negative parts":        {Epoch: 1, Position: 1, Parts: -1},
		"parts at the limit":    {Epoch: 1, Position: 1, Parts: math.MaxInt32},
		"position at the limit": {Epoch: 1, Position: math.MaxInt64},
		"negative position":     {Epoch: 1, Position: -5},
		"epoch at the limit":    {Epoch: math.MaxInt64, Position: 1},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ds := newDamagedStore(t)
				value, err := proto.Marshal(sp)
				qt.Assert(t, err, qt.IsNil)
				_, err = ds.Put(context.Background(), "Snapshot/jobs/Current", value, 0)
				qt.Assert(t, err, qt.IsNil)
				defer func() { qt.Check(t, recover(), qt.IsNil) }()
				_, _, err = ds.open("one")
				qt.Check(t, errors.Is(err, journaler.ErrDamaged), qt.IsTrue, qt.Commentf("%v", err))
			})
		})
	}
}
