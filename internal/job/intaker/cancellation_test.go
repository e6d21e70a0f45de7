package intaker_test

import (
	"context"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"

	"github.com/currantrouter/currantrouter/internal/cluster/messenger"
	"github.com/currantrouter/currantrouter/internal/job/director"
	"github.com/currantrouter/currantrouter/internal/job/elector"
	"github.com/currantrouter/currantrouter/internal/job/intaker"
	"github.com/currantrouter/currantrouter/internal/job/keeper"
	"github.com/currantrouter/currantrouter/internal/job/modeler"
	"github.com/currantrouter/currantrouter/internal/job/rejecter"
	"github.com/currantrouter/currantrouter/internal/provider/emulator"
	"github.com/currantrouter/currantrouter/internal/telemetry/meter"
)

// testHost is an entry host without peers and without a leader.
type testHost struct {
	*intaker.Intaker
	rejecter *rejecter.Rejecter
	faults   *emulator.Faults
	jobStore *keeper.JobStore
}

func newTestHost() *testHost {
	return newLoggedHost(logr.Discard(), func() time.Duration { return 0 })
}

func newLoggedHost(lg logr.Logger, storeAge func() time.Duration) *testHost {
	fts := new(emulator.Faults)
	js := keeper.NewJobStore(emulator.NewStore(fts))
	dial := func(netip.AddrPort) messenger.Jobs { return nil }
	el := elector.New(elector.Options{Dial: dial, Log: logr.Discard(), Meter: meter.New(nil)})
	rj := new(rejecter.Rejecter)
	it := intaker.New(intaker.Options{
		JobStore: js, StoreAge: storeAge, Elector: el, Director: func() *director.Director { return nil },
		Dial: dial, Rejecter: rj, Log: lg, Meter: meter.New(nil),
	})
	return &testHost{it, rj, fts, js}
}

func testJob() *modeler.Job {
	return &modeler.Job{ID: "j1", Queue: "urgent", Steps: []modeler.Step{{Count: 1, LongRunning: true}}}
}

// assertCancelled checks that a job is stored together with its cancellation, and its reported state.
func (th *testHost) assertCancelled(t *testing.T, id modeler.JobID) {
	t.Helper()
	_, err := th.jobStore.Load(t.Context(), id)
	qt.Check(t, err, qt.IsNil)
	cancelled, err := th.jobStore.Cancelled(t.Context(), id)
	qt.Check(t, err, qt.IsNil)
	qt.Check(t, cancelled, qt.IsTrue, qt.Commentf("a cancellation of job %s is stored", id))
}

// Guards against a job that is stored after its cancellation was answered with "no such job", which
// acknowledges the cancellation, and then runs.
func TestCancelBeforeJobIsStored(t *testing.T) {
	t.Run("store carries the submission out late", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			th := newTestHost()
			th.faults.Set(emulator.Switch{Fault: emulator.Late, Part: emulator.PartStore, Operation: "Put", Count: 1, Delay: 5 * time.Second})
			ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
			defer cancel()
			qt.Check(t, th.Submit(ctx, testJob()), qt.ErrorIs, intaker.ErrResultUnknown)
			qt.Check(t, th.Cancel(t.Context(), "j1"), qt.ErrorIs, intaker.ErrJobNotFound)
			time.Sleep(6 * time.Second)
			th.assertCancelled(t, "j1")
		})
	})
	t.Run("submission arrives after the cancellation", func(t *testing.T) {
		th := newTestHost()
		qt.Check(t, th.Cancel(t.Context(), "j1"), qt.ErrorIs, intaker.ErrJobNotFound)
		qt.Check(t, th.Submit(t.Context(), testJob()), qt.IsNil)
		th.assertCancelled(t, "j1")
	})
	t.Run("no job can have the ID", func(t *testing.T) {
		th := newTestHost()
		qt.Check(t, th.Cancel(t.Context(), "j1/x"), qt.ErrorIs, intaker.ErrJobNotFound)
		cancelled, err := th.jobStore.Cancelled(t.Context(), "j1/x")
		qt.Check(t, err, qt.IsNil)
		qt.Check(t, cancelled, qt.IsFalse)
	})
	t.Run("store fails to write the cancellation", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			th := newTestHost()
			th.faults.Set(emulator.Switch{Fault: emulator.Unavailable, Part: emulator.PartStore, Operation: "Put"})
			qt.Check(t, th.Cancel(t.Context(), "j1"), qt.ErrorIs, intaker.ErrUnavailable)
		})
	})
}

// Guards against a cancelled job that is reported as queued while no leader can be reached.
func TestStateOfCancelledJobWithoutLeader(t *testing.T) {
	th := newTestHost()
	qt.Assert(t, th.Submit(t.Context(), testJob()), qt.IsNil)
	st, err := th.State(t.Context(), "j1", 0)
	qt.Check(t, err, qt.IsNil)
	qt.Check(t, st, qt.Equals, modeler.Queued)
	qt.Assert(t, th.Cancel(t.Context(), "j1"), qt.IsNil)
	st, err = th.State(t.Context(), "j1", 0)
	qt.Check(t, err, qt.IsNil)
	qt.Check(t, st, qt.Equals, modeler.Cancelled)
}
