package registrar_test

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/currantrouter/currantrouter/internal/cluster/registrar"
	"github.com/currantrouter/currantrouter/internal/fleet/modeler"
	"github.com/currantrouter/currantrouter/internal/provider/emulator"
	"github.com/currantrouter/currantrouter/internal/provider/storer"
)

var start = time.Date(2026, 12, 4, 6, 0, 0, 0, time.UTC)

func register(t *testing.T, st registrar.Store, boot modeler.BootID, started time.Time) (*registrar.Registrar, *registrar.Record) {
	t.Helper()
	rg := registrar.New(st, "host-1", boot, started)
	previous, err := rg.Register(context.Background())
	qt.Assert(t, err, qt.IsNil)
	return rg, previous
}

// Guards against a process that uses its share while calls of its predecessor may still be in
// progress, and against one that waits although the predecessor has drained.
func TestSuccessorLearnsState(t *testing.T) {
	ctx := context.Background()
	for name, tc := range map[string]struct {
		end  func(*registrar.Registrar) error
		want registrar.State
	}{
		"killed":  {func(*registrar.Registrar) error { return nil }, registrar.Serving},
		"drained": {func(rg *registrar.Registrar) error { return rg.MarkDrained(ctx) }, registrar.Drained},
		"settled": {func(rg *registrar.Registrar) error { return rg.SetSettledBase(ctx, 7) }, registrar.Serving},
	} {
		t.Run(name, func(t *testing.T) {
			st := emulator.NewStore(nil)
			first, previous := register(t, st, "boot-1", start)
			qt.Check(t, previous, qt.IsNil)
			qt.Assert(t, tc.end(first), qt.IsNil)
			_, previous = register(t, st, "boot-2", start.Add(time.Minute))
			qt.Assert(t, previous, qt.IsNotNil)
			qt.Check(t, previous.State, qt.Equals, tc.want)
		})
	}
}

// Guards against a paused process that overwrites the record of its successor, so that a third
// process assumes that no calls are in progress.
func TestReplacedProcessWritesNothing(t *testing.T) {
	ctx := context.Background()
	st := emulator.NewStore(nil)
	first, _ := register(t, st, "boot-1", start)
	register(t, st, "boot-2", start.Add(time.Minute))
	qt.Check(t, first.MarkDrained(ctx), qt.ErrorIs, registrar.ErrReplaced)
	qt.Check(t, first.SetSettledBase(ctx, 9), qt.ErrorIs, registrar.ErrReplaced)
	_, err := registrar.New(st, "host-1", "boot-0", start.Add(-time.Minute)).Register(ctx)
	qt.Check(t, err, qt.ErrorIs, registrar.ErrReplaced)
}

// Guards against a write whose response is lost and that is then mistaken for a conflict with
// another process.
func TestLostAnswersAreResolved(t *testing.T) {
	for _, ft := range []emulator.Fault{emulator.AnswerLost, emulator.RequestLost} {
		t.Run(string(ft), func(t *testing.T) {
			fts := new(emulator.Faults)
			st := emulator.NewStore(fts)
			fts.Set(emulator.Switch{Part: emulator.PartStore, Operation: "Put", Fault: ft, Count: 1})
			rg, _ := register(t, st, "boot-1", start)
			qt.Check(t, rg.MarkDrained(context.Background()), qt.IsNil)
		})
	}
	t.Run("Unavailable", func(t *testing.T) {
		fts := new(emulator.Faults)
		fts.Set(emulator.Switch{Part: emulator.PartStore, Fault: emulator.Unavailable})
		_, err := registrar.New(emulator.NewStore(fts), "host-1", "boot-1", start).Register(context.Background())
		qt.Check(t, err, qt.ErrorIs, storer.ErrUnavailable)
	})
}
