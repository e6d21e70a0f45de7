package keeper_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/currantrouter/currantrouter/internal/job/keeper"
	"github.com/currantrouter/currantrouter/internal/job/modeler"
	"github.com/currantrouter/currantrouter/internal/provider/emulator"
	"github.com/currantrouter/currantrouter/internal/provider/storer"
)

// Guards against a cancelled job that remains without its cancellation when its deletion fails half
// way, and would be run by the next leader.
func TestDeleteFailsHalfWay(t *testing.T) {
	jb := &modeler.Job{ID: "j1", Queue: "urgent", Steps: []modeler.Step{{Count: 1}}}
	fts := new(emulator.Faults)
	js := keeper.NewJobStore(emulator.NewStore(fts))
	qt.Assert(t, js.Submit(t.Context(), jb), qt.IsNil)
	qt.Assert(t, js.Cancel(t.Context(), jb.ID), qt.IsNil)
	fts.Set(emulator.Switch{Fault: emulator.Unavailable, Part: emulator.PartStore, Operation: "Delete", Skip: 1, Count: 1})
	qt.Assert(t, js.Delete(t.Context(), jb.ID), qt.ErrorIs, storer.ErrUnavailable)

	_, err := js.Load(t.Context(), jb.ID)
	qt.Check(t, err, qt.ErrorIs, storer.ErrNotFound)
	cancelled, err := js.Cancelled(t.Context(), jb.ID)
	qt.Check(t, err, qt.IsNil)
	qt.Check(t, cancelled, qt.IsTrue)

	qt.Check(t, js.Delete(t.Context(), jb.ID), qt.IsNil)
	cancelled, err = js.Cancelled(t.Context(), jb.ID)
	qt.Check(t, err, qt.IsNil)
	qt.Check(t, cancelled, qt.IsFalse)
}
