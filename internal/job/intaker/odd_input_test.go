package intaker

import (
	"context"
	"math"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"
	"github.com/go-logr/logr/funcr"

	"github.com/currantrouter/currantrouter/internal/cluster/messenger"
	"github.com/currantrouter/currantrouter/internal/job/director"
	"github.com/currantrouter/currantrouter/internal/job/elector"
	"github.com/currantrouter/currantrouter/internal/job/keeper"
	"github.com/currantrouter/currantrouter/internal/job/modeler"
	"github.com/currantrouter/currantrouter/internal/provider/emulator"
	"github.com/currantrouter/currantrouter/internal/telemetry/meter"
)

// oddLeader is a leader whose answers are out of bounds.
type oddLeader struct {
	messenger.Jobs
	jobs int64
}

func (*oddLeader) State(context.Context, *messenger.JobName) (*messenger.JobState, error) {
	return &messenger.JobState{State: "Odd"}, nil
}

func (ol *oddLeader) Pending(context.Context, *messenger.QueueName) (*messenger.PendingCount, error) {
	return &messenger.PendingCount{Jobs: ol.jobs}, nil
}

// newFollower returns an intaker of a host that follows the leader, and counts the lines of its log.
func newFollower(leader messenger.Jobs, lines *int) *Intaker {
	mt := meter.New(nil)
	el := elector.New(elector.Options{
		Self: elector.Member{Host: "self"}, StoreAge: func() time.Duration { return 0 }, ConfigurationRevision: func() int64 { return 1 },
		Log: logr.Discard(), Meter: mt,
	})
	el.HandleGreeting(&messenger.Greeting{
		Host: "leader", Boot: "b", Address: "10.0.0.2:80", Epoch: 3, Leader: "leader", LeaderBoot: "b", LeaderAddress: "10.0.0.2:80",
	})
	return New(Options{
		JobStore: keeper.NewJobStore(emulator.NewStore(nil)), StoreAge: func() time.Duration { return 0 }, Elector: el,
		Director: func() *director.Director { return nil }, Dial: func(netip.AddrPort) messenger.Jobs { return leader },
		Log: funcr.New(func(string, string) { *lines++ }, funcr.Options{}), Meter: mt,
	})
}

func job(id modeler.JobID) *modeler.Job {
	return &modeler.Job{ID: id, Steps: []modeler.Step{{Count: 1}}, Submitted: time.Unix(1, 0)}
}

// Guards against a state that no caller knows, and a count that cannot be, in the answer of a peer.
func TestOddAnswersOfLeader(t *testing.T) {
	lines := 0
	it := newFollower(&oddLeader{}, &lines)
	qt.Assert(t, it.op.JobStore.Submit(t.Context(), job("a")), qt.IsNil)
	st, err := it.State(t.Context(), "a", 0)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, st, qt.Equals, modeler.Queued)
	for _, jobs := range []int64{-1, math.MinInt64, math.MaxInt64} {
		count, err := newFollower(&oddLeader{jobs: jobs}, &lines).Pending(t.Context(), "q")
		qt.Check(t, err, qt.ErrorIs, ErrUnavailable, qt.Commentf("%d jobs", count))
	}
}

// Guards against a change of a peer that names another job than its document, or none.
func TestOddChangesOfPeer(t *testing.T) {
	document, err := keeper.Encode(job("a"))
	qt.Assert(t, err, qt.IsNil)
	lines := 0
	it := newFollower(nil, &lines)
	dr := director.New(director.Options{Configuration: func() *modeler.Configuration { return nil }, Log: logr.Discard(), Meter: meter.New(nil)})
	for range 50 {
		it.Apply(dr, &messenger.StoredChange{Id: "b", Document: document})
		it.Apply(dr, &messenger.StoredChange{Id: "c", Document: []byte("{")})
		it.Apply(dr, &messenger.StoredChange{})
		it.Apply(dr, &messenger.StoredChange{Id: "a/b"})
	}
	qt.Check(t, lines, qt.Equals, 4)
	_, ok := dr.JobState("a")
	qt.Check(t, ok, qt.IsFalse)
	it.Apply(dr, &messenger.StoredChange{Id: "a", Document: document})
	_, ok = dr.JobState("a")
	qt.Check(t, ok, qt.IsTrue)
}
