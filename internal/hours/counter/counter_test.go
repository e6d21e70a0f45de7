package counter_test

import (
	"context"
	"encoding/json"
	"errors"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"

	"github.com/currantrouter/currantrouter/internal/fleet/modeler"
	"github.com/currantrouter/currantrouter/internal/hours/counter"
	"github.com/currantrouter/currantrouter/internal/provider/storer"
	"github.com/currantrouter/currantrouter/internal/telemetry/meter"
)

// fakeStore is an in-memory key-value service with injectable failures.
type fakeStore struct {
	mu       sync.Mutex
	entries  map[string]storer.Entry
	revision int64
	puts     int
	// err fails every call without effect. lost fails the next write after it took effect.
	err, lost error
}

func newFakeStore() *fakeStore { return &fakeStore{entries: map[string]storer.Entry{}} }

func (fs *fakeStore) Get(_ context.Context, key string) (storer.Entry, error) {
	fs.mu.Lock()
	defer fs.mu.Unlock()
	ent, ok := fs.entries[key]
	if fs.err == nil && !ok {
		return ent, storer.ErrNotFound
	}
	return ent, fs.err
}

func (fs *fakeStore) Put(_ context.Context, key string, value []byte, expected int64) (int64, error) {
	fs.mu.Lock()
	defer fs.mu.Unlock()
	if fs.err != nil {
		return 0, fs.err
	}
	if fs.entries[key].Revision != expected {
		return 0, storer.ErrConflict
	}
	fs.puts++
	fs.revision++
	fs.entries[key] = storer.Entry{Key: key, Value: value, Revision: fs.revision}
	lost := fs.lost
	fs.lost = nil
	return fs.revision, lost
}

// change sets how the store fails.
func (fs *fakeStore) change(with func(fs *fakeStore)) {
	fs.mu.Lock()
	defer fs.mu.Unlock()
	with(fs)
}

func (fs *fakeStore) writes() int {
	fs.mu.Lock()
	defer fs.mu.Unlock()
	return fs.puts
}

type configuration modeler.Configuration

func (cfg *configuration) Current() *modeler.Configuration { return (*modeler.Configuration)(cfg) }

var testConfiguration = &configuration{
	Hosts:    []modeler.Host{{Name: "entry-1"}, {Name: "entry-2"}, {Name: "entry-3", Retired: true}},
	Services: []modeler.Service{{Name: "bakedesk"}},
}

func newCounter(fs *fakeStore, host modeler.HostName, boot modeler.BootID) *counter.Counter {
	return counter.New(host, boot, fs, testConfiguration, logr.Discard(), meter.New(nil))
}

func record(ct *counter.Counter, num int) {
	for range num {
		ct.Record("bakedesk", modeler.Answered, false)
	}
}

// report returns the stored report of one process of a host on an hour.
func report(t *testing.T, fs *fakeStore, host modeler.HostName, boot modeler.BootID, hour time.Time) counter.Report {
	t.Helper()
	ent, err := fs.Get(t.Context(), counter.Source{Host: host, Boot: boot, Hour: hour}.Key())
	qt.Assert(t, err, qt.IsNil)
	rp, err := counter.Decode(ent)
	qt.Assert(t, err, qt.IsNil)
	return rp
}

func assertAnswered(t *testing.T, rp counter.Report, want int64) {
	t.Helper()
	qt.Check(t, rp.Services["bakedesk"].Answered, qt.Equals, want)
}

func thisHour() time.Time { return time.Now().UTC().Truncate(time.Hour) }

// run starts ct.Run and returns a function that stops it and waits for its end.
func run(t *testing.T, ct *counter.Counter) func() {
	ctx, stop := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { ct.Run(ctx); close(done) }()
	return func() { stop(); <-done }
}

// Guards against lost or duplicate counts when many calls end concurrently, and against counting
// services that are not configured, whose names callers can invent.
func TestConcurrentRecords(t *testing.T) {
	ct := newCounter(newFakeStore(), "entry-1", "a")
	var wg sync.WaitGroup
	for range 8 {
		wg.Go(func() {
			for range 1000 {
				ct.Record("bakedesk", modeler.Answered, true)
				ct.Record("bakedesk", modeler.NotRun, false)
				ct.Record("bakedesk", modeler.Unknown, false)
				ct.Record("invented", modeler.Answered, false)
			}
		})
	}
	wg.Wait()
	var sum counter.Counts
	for _, rp := range ct.InMemoryReports() {
		sum = sum.Add(rp.Services["bakedesk"])
		_, ok := rp.Services["invented"]
		qt.Check(t, ok, qt.IsFalse)
	}
	qt.Check(t, sum, qt.Equals, counter.Counts{Answered: 8000, Refused: 8000, Unknown: 8000, Late: 8000})
}

// Guards against an hour whose report is not written, is written although nothing changed, or is
// never closed.
func TestWriting(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fs := newFakeStore()
		ct := newCounter(fs, "entry-1", "a")
		end := run(t, ct)
		hour := thisHour()
		time.Sleep(time.Second)
		rp := report(t, fs, "entry-1", "a", hour)
		qt.Check(t, rp.Services, qt.DeepEquals, map[modeler.ServiceName]counter.Counts{"bakedesk": {}})
		qt.Check(t, rp.Expected, qt.DeepEquals, []modeler.HostName{"entry-1", "entry-2"})

		record(ct, 3)
		time.Sleep(10 * time.Minute)
		assertAnswered(t, report(t, fs, "entry-1", "a", hour), 3)
		qt.Check(t, fs.writes(), qt.Equals, 2)

		time.Sleep(time.Hour)
		rp = report(t, fs, "entry-1", "a", hour)
		qt.Check(t, rp.Closed, qt.IsTrue)
		qt.Check(t, rp.Amendments, qt.HasLen, 0)
		qt.Check(t, report(t, fs, "entry-1", "a", hour.Add(time.Hour)).Closed, qt.IsFalse)
		end()
		qt.Assert(t, ct.Close(t.Context()), qt.IsNil)
		qt.Check(t, report(t, fs, "entry-1", "a", hour.Add(time.Hour)).Closed, qt.IsTrue)
	})
}

// Guards against decreased, duplicate or lost counts when the store fails.
func TestStoreFaults(t *testing.T) {
	for name, tc := range map[string]struct {
		during     func(fs *fakeStore)
		outage     time.Duration
		amendments int
	}{
		"answer lost":                {func(fs *fakeStore) { fs.lost = storer.ErrResultUnknown }, time.Minute, 0},
		"outage of a minute":         {func(fs *fakeStore) { fs.err = storer.ErrUnavailable }, time.Minute, 0},
		"outage beyond the hour":     {func(fs *fakeStore) { fs.err = storer.ErrUnavailable }, 2 * time.Hour, 1},
		"no answers beyond the hour": {func(fs *fakeStore) { fs.err = storer.ErrResultUnknown }, 2 * time.Hour, 1},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fs := newFakeStore()
				ct := newCounter(fs, "entry-1", "a")
				defer run(t, ct)()
				hour := thisHour()
				record(ct, 1)
				time.Sleep(time.Minute)
				fs.change(tc.during)
				record(ct, 4)
				time.Sleep(tc.outage)
				fs.change(func(fs *fakeStore) { fs.err = nil })
				time.Sleep(time.Minute)
				rp := report(t, fs, "entry-1", "a", hour)
				assertAnswered(t, rp, 5)
				qt.Assert(t, rp.Amendments, qt.HasLen, tc.amendments)
				for _, am := range rp.Amendments {
					qt.Check(t, am.Added["bakedesk"].Answered, qt.Equals, int64(4))
				}
			})
		})
	}
}

// Guards against the loss of a host's latest counts when it crashes, and against reports relayed by
// peers that decrease or duplicate counts.
func TestPeerReports(t *testing.T) {
	source := func(boot modeler.BootID) counter.Source {
		return counter.Source{Host: "entry-2", Boot: boot, Hour: thisHour()}
	}
	peerReport := func(answered int64) counter.Report {
		return counter.Report{Source: source("b"), Services: map[modeler.ServiceName]counter.Counts{"bakedesk": {Answered: answered}}}
	}
	for name, tc := range map[string]struct {
		written int
		reports []int64
		want    int64
		puts    int
	}{
		"crash before its first write": {0, []int64{7}, 7, 1},
		"crash after a write":          {5, []int64{7}, 7, 2},
		"duplicate and late reports":   {5, []int64{7, 3, 7, 6}, 7, 2},
		"report that is older":         {5, []int64{4}, 5, 1},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fs := newFakeStore()
				if tc.written > 0 {
					crashed := newCounter(fs, "entry-2", "b")
					record(crashed, tc.written)
					qt.Assert(t, crashed.Flush(t.Context()), qt.IsNil)
				}
				ct := newCounter(fs, "entry-1", "a")
				defer run(t, ct)()
				for _, answered := range tc.reports {
					qt.Assert(t, ct.Merge([]counter.Report{peerReport(answered)}), qt.IsNil)
				}
				hour := thisHour()
				time.Sleep(10 * time.Minute)
				rp := report(t, fs, "entry-2", "b", hour)
				assertAnswered(t, rp, tc.want)
				qt.Check(t, rp.Closed, qt.IsFalse)
				// One write is entry-1's own.
				qt.Check(t, fs.writes()-1, qt.Equals, tc.puts)
			})
		})
	}
	t.Run("two peers write concurrently", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			fs := newFakeStore()
			hour := thisHour()
			for at, host := range []modeler.HostName{"entry-1", "entry-4"} {
				ct := newCounter(fs, host, "a")
				defer run(t, ct)()
				qt.Assert(t, ct.Merge([]counter.Report{peerReport(int64(5 + at))}), qt.IsNil)
			}
			time.Sleep(10 * time.Minute)
			assertAnswered(t, report(t, fs, "entry-2", "b", hour), 6)
		})
	})
	t.Run("invalid", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			ct := newCounter(newFakeStore(), "entry-1", "a")
			bad := peerReport(-1)
			misaligned := peerReport(1)
			misaligned.Hour = misaligned.Hour.Add(time.Minute)
			err := ct.Merge([]counter.Report{bad, misaligned, peerReport(2)})
			qt.Check(t, err, qt.ErrorIs, counter.ErrInvalidReport)
			qt.Check(t, ct.InMemoryReports(), qt.HasLen, 2)
		})
	})
}

// Guards against accepting a report that is stored under another source's key, which would count it
// for that source, and against malformed reports.
func TestDecode(t *testing.T) {
	good := counter.Report{Source: counter.Source{Host: "entry-1", Boot: "a", Hour: time.Date(2026, 3, 29, 1, 0, 0, 0, time.UTC)}}
	doc, err := json.Marshal(good)
	qt.Assert(t, err, qt.IsNil)
	for name, tc := range map[string]struct {
		ent storer.Entry
		err error
	}{
		"good":      {storer.Entry{Key: "Hours/2026-03-29/01/entry-1/a", Value: doc}, nil},
		"other key": {storer.Entry{Key: "Hours/2026-03-29/02/entry-1/a", Value: doc}, counter.ErrInvalidReport},
		"not JSON":  {storer.Entry{Key: good.Key(), Value: []byte("{")}, counter.ErrInvalidReport},
		"no host":   {storer.Entry{Key: good.Key(), Value: []byte(strings.Replace(string(doc), "entry-1", "", 1))}, counter.ErrInvalidReport},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := counter.Decode(tc.ent)
			qt.Check(t, errors.Is(err, tc.err), qt.IsTrue, qt.Commentf("%v", err))
		})
	}
}

// Guards against allocations on the request path.
func TestRecordAllocatesNothing(t *testing.T) {
	ct := newCounter(newFakeStore(), "entry-1", "a")
	record(ct, 1)
	qt.Check(t, testing.AllocsPerRun(1000, func() { record(ct, 1) }) < 0.1, qt.IsTrue)
}

func BenchmarkRecord(b *testing.B) {
	ct := newCounter(newFakeStore(), "entry-1", "a")
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			ct.Record("bakedesk", modeler.Answered, false)
		}
	})
}
