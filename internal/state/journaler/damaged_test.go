package journaler_test

import (
	"context"
	"errors"
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

// open begins an epoch as another process.
func (ds *damagedStore) open(boot string) (*journaler.Journal, journaler.Recovery, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	return journaler.Open(ctx, ds, "jobs", "host", modeler.BootID(boot), journaler.Options{Logger: logr.Discard(), Meter: ds.meter})
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
