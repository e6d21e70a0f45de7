package leader

import (
	"errors"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"
	"github.com/go-logr/logr/funcr"

	"github.com/currantrouter/currantrouter/internal/job/director"
	"github.com/currantrouter/currantrouter/internal/job/keeper"
	"github.com/currantrouter/currantrouter/internal/job/modeler"
	"github.com/currantrouter/currantrouter/internal/provider/storer"
	"github.com/currantrouter/currantrouter/internal/telemetry/meter"
)

// fixture is a term that is not running, and the lines of its log.
type fixture struct {
	*term
	lines []string
}

func newFixture() *fixture {
	fx := new(fixture)
	lg := funcr.New(func(_, args string) { fx.lines = append(fx.lines, args) }, funcr.Options{})
	ld := New(Options{Log: lg, Meter: meter.New(nil), Registry: Registry{Prefix: "Workers/", Decode: decodeTestWorker}})
	dr := director.New(director.Options{Configuration: func() *modeler.Configuration { return nil }, Log: logr.Discard(), Meter: ld.op.Meter})
	fx.term = &term{leader: ld, director: dr}
	return fx
}

// registered returns the registered workers, sorted.
func (fx *fixture) registered() []modeler.WorkerID {
	var ids []modeler.WorkerID
	for _, ws := range fx.director.Workers() {
		if ws.Registered {
			ids = append(ids, ws.Worker.ID)
		}
	}
	slices.Sort(ids)
	return ids
}

// decodeTestWorker returns a worker for every value but "bad".
func decodeTestWorker(en storer.Entry) (modeler.Worker, error) {
	if string(en.Value) == "bad" {
		return modeler.Worker{}, errors.New("bad entry")
	}
	return modeler.Worker{ID: modeler.WorkerID(en.Key[len("Workers/"):]), Pool: "pool", Capacity: modeler.Resources{MilliCores: 1000}}, nil
}

func worker(name, value string, revision int64) storer.Entry {
	return storer.Entry{Key: "Workers/" + name, Value: []byte(value), Revision: revision}
}

// assertLines checks how often the log says that an entry was left out.
func (fx *fixture) assertLines(t *testing.T, want int) {
	t.Helper()
	qt.Assert(t, fx.lines, qt.HasLen, want, qt.Commentf("%q", fx.lines))
}

// Guards against an invalid entry that hides the others or is logged at each rewrite and list.
func TestInvalidWorkerEntry(t *testing.T) {
	fx := newFixture()
	for revision := range int64(50) {
		fx.resetWorkers([]storer.Entry{worker("a", "ok", revision), worker("b", "bad", revision), worker("c", "ok", revision)})
		fx.applyWorkers([]storer.Entry{worker("b", "bad", revision), worker("d", "ok", revision)})
	}
	fx.assertLines(t, 1)
	qt.Check(t, fx.leader.op.Meter.Value(meter.EntriesInvalid), qt.Equals, int64(100))
	qt.Check(t, fx.registered(), qt.DeepEquals, []modeler.WorkerID{"a", "c", "d"})
}

// Guards against a worker that stays in use after its entry has become invalid.
func TestInvalidWorkerUpdate(t *testing.T) {
	fx := newFixture()
	fx.resetWorkers([]storer.Entry{worker("a", "ok", 1), worker("b", "ok", 2)})
	fx.applyWorkers([]storer.Entry{worker("a", "bad", 3)})
	qt.Check(t, fx.registered(), qt.DeepEquals, []modeler.WorkerID{"b"})
	fx.applyWorkers([]storer.Entry{worker("a", "ok", 4)})
	qt.Check(t, fx.registered(), qt.DeepEquals, []modeler.WorkerID{"a", "b"})
}

// Guards against an invalid job that hides the others or is logged at each list.
func TestInvalidJobEntry(t *testing.T) {
	value, err := keeper.Encode(&modeler.Job{ID: "good", Steps: []modeler.Step{{Count: 1}}, Submitted: time.Now()})
	qt.Assert(t, err, qt.IsNil)
	fx := newFixture()
	for range 50 {
		fx.applyJobs([]storer.Entry{
			{Key: "Jobs/Submitted/bad", Value: []byte("{")}, {Key: "Jobs/Other", Value: value}, {Key: "Jobs/Submitted/good", Value: value},
		})
	}
	fx.assertLines(t, 2)
	_, ok := fx.director.JobState("good")
	qt.Check(t, ok, qt.IsTrue)
}
