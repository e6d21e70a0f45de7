package importer_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"testing/synctest"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"

	"github.com/currantrouter/currantrouter/internal/fleet/modeler"
	"github.com/currantrouter/currantrouter/internal/plan/importer"
	"github.com/currantrouter/currantrouter/internal/provider/storer"
	"github.com/currantrouter/currantrouter/internal/telemetry/meter"
)

// fakeStore is a key-value service in memory whose calls fail as a test sets. It is not safe for concurrent
// use.
type fakeStore struct {
	entries  map[string]storer.Entry
	revision int64
	puts     int
	gets     int
	// onPut runs before a write and may return the error of a write that has no effect.
	onPut func(key string) error
	// afterPut may return the error of a write that had its effect.
	afterPut func(key string) error
	getErr   error
}

func newFakeStore() *fakeStore { return &fakeStore{entries: map[string]storer.Entry{}} }

func (fs *fakeStore) Get(_ context.Context, key string) (storer.Entry, error) {
	fs.gets++
	if fs.getErr != nil {
		return storer.Entry{}, fs.getErr
	}
	ent, ok := fs.entries[key]
	if !ok {
		return ent, storer.ErrNotFound
	}
	return ent, nil
}

func (fs *fakeStore) Put(_ context.Context, key string, value []byte, expected int64) (int64, error) {
	if fs.onPut != nil {
		if err := fs.onPut(key); err != nil {
			return 0, err
		}
	}
	switch {
	case fs.entries[key].Revision != expected:
		return 0, storer.ErrConflict
	case len(value) > storer.MaxValueBytes:
		return 0, storer.ErrTooLarge
	}
	fs.puts++
	fs.revision++
	fs.entries[key] = storer.Entry{Key: key, Value: slices.Clone(value), Revision: fs.revision}
	if fs.afterPut != nil {
		if err := fs.afterPut(key); err != nil {
			return 0, err
		}
	}
	return fs.revision, nil
}

func (fs *fakeStore) Delete(_ context.Context, key string, expected int64) error {
	if fs.entries[key].Revision != expected {
		return storer.ErrConflict
	}
	delete(fs.entries, key)
	return nil
}

type fakeProgress map[string]bool

func (fp fakeProgress) Begun(context.Context, string) (map[string]bool, error) {
	if fp == nil {
		return nil, errors.New("leader unreachable")
	}
	return fp, nil
}

type fakeConfigurations struct{}

func (fakeConfigurations) Current() *modeler.Configuration {
	return &modeler.Configuration{DataCentres: dataCentres}
}

func newPlanStore(fs *fakeStore, fp fakeProgress) *importer.PlanStore {
	return importer.NewPlanStore(fs, fp, fakeConfigurations{}, logr.Discard(), meter.New(nil))
}

var anyRevision = importer.Options{Expected: importer.AnyRevision}

// exported returns the text as exported at a minute past five.
func exported(text string, minute int) string {
	return strings.ReplaceAll(text, "04:30:00", fmt.Sprintf("05:%02d:00", minute))
}

func mustImport(t *testing.T, pst *importer.PlanStore, text string) importer.Result {
	t.Helper()
	rs, err := pst.Import(t.Context(), []byte(text), anyRevision)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, rs.Applied, qt.IsTrue)
	return rs
}

func assertInForce(t *testing.T, pst *importer.PlanStore, text string) {
	t.Helper()
	pl, _, err := pst.Plan(t.Context(), "2026-10-25")
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, pl.Equal(mustParse(t, text)), qt.IsTrue)
}

// Guards against an older, faulty or unexpected sheet that replaces the plan in force.
func TestReplacement(t *testing.T) {
	newer := exported(sheet("12:00", "13:00"), 10)
	for name, tc := range map[string]struct {
		text    string
		op      importer.Options
		err     error
		writes  int
		inForce string
	}{
		"same sheet":                {exported(goodText, 5), anyRevision, nil, 0, exported(goodText, 5)},
		"same rows, other order":    {exported(header+goodJob+service, 5), anyRevision, nil, 0, exported(goodText, 5)},
		"newer":                     {newer, anyRevision, nil, 1, newer},
		"newer, seen":               {newer, importer.Options{Expected: 1}, nil, 1, newer},
		"newer, not seen":           {newer, importer.Options{Expected: 0}, importer.ErrPlanChanged, 0, exported(goodText, 5)},
		"same sheet, not seen":      {exported(goodText, 5), importer.Options{Expected: 0}, nil, 0, exported(goodText, 5)},
		"newer, dry run":            {newer, importer.Options{Expected: 1, DryRun: true}, nil, 0, exported(goodText, 5)},
		"older":                     {goodText, anyRevision, importer.ErrOlder, 0, exported(goodText, 5)},
		"same time, other rows":     {exported(sheet("12:00", "13:00"), 5), anyRevision, importer.ErrSameExport, 0, exported(goodText, 5)},
		"newer with a single fault": {newer + "x", anyRevision, importer.ErrSheet, 0, exported(goodText, 5)},
	} {
		t.Run(name, func(t *testing.T) {
			fs := newFakeStore()
			pst := newPlanStore(fs, fakeProgress{})
			mustImport(t, pst, exported(goodText, 5))
			_, err := pst.Import(t.Context(), []byte(tc.text), tc.op)
			qt.Check(t, errors.Is(err, tc.err), qt.IsTrue, qt.Commentf("%v", err))
			qt.Check(t, fs.puts, qt.Equals, 1+tc.writes)
			assertInForce(t, pst, tc.inForce)
		})
	}
}

// Guards against an import that reports an outcome which is not the one in the store.
func TestImportWithFaultsOfTheStore(t *testing.T) {
	rival := exported(sheet("12:00", "14:00"), 20)
	once := func(err error) func(string) error {
		return func(string) error { er := err; err = nil; return er }
	}
	for name, tc := range map[string]struct {
		prepare func(t *testing.T, fs *fakeStore)
		err     error
		inForce string
	}{
		"answer lost after the write":  {func(_ *testing.T, fs *fakeStore) { fs.afterPut = once(storer.ErrResultUnknown) }, nil, goodText},
		"answer lost before the write": {func(_ *testing.T, fs *fakeStore) { fs.onPut = once(storer.ErrResultUnknown) }, nil, goodText},
		"store unavailable":            {func(_ *testing.T, fs *fakeStore) { fs.onPut = once(storer.ErrUnavailable) }, storer.ErrUnavailable, ""},
		"store cannot be read":         {func(_ *testing.T, fs *fakeStore) { fs.getErr = storer.ErrUnavailable }, storer.ErrUnavailable, ""},
		"store unavailable after the write": {func(_ *testing.T, fs *fakeStore) {
			fs.afterPut = func(string) error { fs.getErr = storer.ErrUnavailable; return storer.ErrResultUnknown }
		}, storer.ErrResultUnknown, goodText},
		"racing planner, same sheet":  {func(t *testing.T, fs *fakeStore) { fs.onPut = race(t, fs, goodText) }, nil, goodText},
		"racing planner, other sheet": {func(t *testing.T, fs *fakeStore) { fs.onPut = race(t, fs, rival) }, importer.ErrPlanChanged, rival},
		"answer lost, then replaced": {func(t *testing.T, fs *fakeStore) {
			fs.afterPut = func(string) error {
				fs.afterPut = nil
				mustImport(t, newPlanStore(fs, fakeProgress{}), rival)
				return storer.ErrResultUnknown
			}
		}, storer.ErrResultUnknown, rival},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fs := newFakeStore()
				pst := newPlanStore(fs, fakeProgress{})
				tc.prepare(t, fs)
				rs, err := pst.Import(t.Context(), []byte(goodText), anyRevision)
				qt.Check(t, errors.Is(err, tc.err), qt.IsTrue, qt.Commentf("%v", err))
				qt.Check(t, rs.Applied, qt.Equals, tc.err == nil)
				fs.getErr, fs.onPut, fs.afterPut = nil, nil, nil
				if tc.inForce == "" {
					_, _, err = pst.Plan(t.Context(), "2026-10-25")
					qt.Check(t, err, qt.ErrorIs, importer.ErrNoPlan)
					return
				}
				assertInForce(t, pst, tc.inForce)
			})
		})
	}
}

// race returns a hook that imports another planner's sheet before the first write.
func race(t *testing.T, fs *fakeStore, text string) func(string) error {
	return func(string) error {
		fs.onPut = nil
		mustImport(t, newPlanStore(fs, fakeProgress{}), text)
		return nil
	}
}

// Guards against jobs that have begun but are listed as changed or dropped, and against changes that
// are not listed.
func TestDifference(t *testing.T) {
	before := goodText + lateJob
	changed := strings.ReplaceAll(before, "12:00", "13:00")
	for name, tc := range map[string]struct {
		next  string
		begun fakeProgress
		want  string
	}{
		"changed":             {changed, fakeProgress{}, "Changed bølge [Deadline]"},
		"changed and begun":   {changed, fakeProgress{"2026-10-25/bølge": true}, "Begun bølge [Deadline]"},
		"dropped":             {goodText, fakeProgress{}, "Dropped späte []"},
		"dropped and begun":   {goodText, fakeProgress{"2026-10-25/späte": true}, "Begun späte []"},
		"added":               {before + strings.ReplaceAll(lateJob, "späte", "neue"), fakeProgress{}, "Added neue []"},
		"added and begun":     {before + strings.ReplaceAll(lateJob, "späte", "neue"), fakeProgress{"2026-10-25/neue": true}, "Begun neue []"},
		"leaders unreachable": {changed, nil, "Changed bølge [Deadline] unknown"},
	} {
		t.Run(name, func(t *testing.T) {
			pst := newPlanStore(newFakeStore(), tc.begun)
			mustImport(t, pst, before)
			rs := mustImport(t, pst, exported(tc.next, 1))
			var got []string
			for word, its := range map[string][]importer.Item{"Added": rs.Added, "Changed": rs.Changed, "Dropped": rs.Dropped, "Begun": rs.Begun} {
				for _, it := range its {
					got = append(got, fmt.Sprintf("%s %s %v", word, it.Name, it.Columns))
				}
			}
			if rs.ProgressUnknown {
				got = append(got, "unknown")
			}
			qt.Check(t, strings.Join(got, " "), qt.Equals, tc.want)
		})
	}
}

// Guards against plans that do not fit into one value of the store, parts that remain after a
// replacement, and unchanged plans whose parts are read again.
func TestPlanOfManyJobs(t *testing.T) {
	var sb strings.Builder
	sb.WriteString(header)
	rd := rand.New(rand.NewPCG(1, 2))
	for num := range 20_000 {
		// Names that do not compress well make the plan larger than one part.
		name := fmt.Sprintf("job-%d-%x%x%x%x%x", num, rd.Uint64(), rd.Uint64(), rd.Uint64(), rd.Uint64(), rd.Uint64())
		sb.WriteString(strings.Replace(lateJob, "späte", name, 1))
	}
	fs := newFakeStore()
	pst := newPlanStore(fs, fakeProgress{})
	mustImport(t, pst, sb.String())
	qt.Assert(t, len(fs.entries) > 2, qt.IsTrue, qt.Commentf("%d entries", len(fs.entries)))
	assertInForce(t, pst, sb.String())

	before := fs.gets
	_, _, err := pst.Plan(t.Context(), "2026-10-25")
	qt.Check(t, err, qt.IsNil)
	qt.Check(t, fs.gets-before, qt.Equals, 1)

	mustImport(t, pst, exported(goodText, 1))
	assertInForce(t, pst, exported(goodText, 1))
	// The delegations of the dropped jobs stay, and so the plan still has parts of its own.
	var head struct{ Parts int }
	qt.Assert(t, json.Unmarshal(fs.entries["Plan/2026-10-25"].Value, &head), qt.IsNil)
	qt.Check(t, len(fs.entries), qt.Equals, 1+head.Parts)
	outline, err := pst.Outline(t.Context(), "2026-10-25")
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, outline.Services, qt.DeepEquals, mustParse(t, goodText).Services)
	qt.Check(t, outline.Jobs, qt.HasLen, 0)

	ent := fs.entries["Plan/2026-10-25"]
	fs.entries[ent.Key] = storer.Entry{Key: ent.Key, Value: []byte(`{"Day":"2026-10-25"}`), Revision: ent.Revision + 1}
	_, _, err = pst.Plan(t.Context(), "2026-10-25")
	qt.Check(t, err, qt.ErrorIs, importer.ErrDocument)
}

// BenchmarkImport measures the import of a day of the future size, 200,000 jobs.
func BenchmarkImport(b *testing.B) {
	var sb strings.Builder
	sb.WriteString(header)
	for num := range 200_000 {
		sb.WriteString(strings.Replace(lateJob, "späte", fmt.Sprintf("job-%d", num), 1))
	}
	text := []byte(sb.String())
	b.ReportAllocs()
	for b.Loop() {
		fs := newFakeStore()
		rs, err := newPlanStore(fs, fakeProgress{}).Import(b.Context(), text, anyRevision)
		if err != nil || !rs.Applied {
			b.Fatal(err)
		}
		b.ReportMetric(float64(len(fs.entries)), "documents")
	}
	b.SetBytes(int64(len(text)))
}

// Guards against a job that two data centres begin, because a later sheet moved it or dropped it for a
// while, or because the configured data centres changed.
func TestDelegationsNeverChange(t *testing.T) {
	fs := newFakeStore()
	pst := newPlanStore(fs, fakeProgress{})
	home := func() modeler.DataCentreName {
		pl, _, err := pst.Plan(t.Context(), "2026-10-25")
		qt.Assert(t, err, qt.IsNil)
		return pl.Delegations["forecast"]
	}
	sheet := func(dc string, minute int) string {
		job := strings.Replace(strings.Replace(goodJob, "bølge", "forecast", 1), ",stad,", ","+dc+",", 1)
		return exported(header+service+job, minute)
	}
	mustImport(t, pst, sheet("stad", 0))
	qt.Assert(t, home(), qt.Equals, modeler.DataCentreName("stad"))
	for num, tc := range []struct {
		sheet    string
		warnings int
	}{
		{sheet("tivaouane", 1), 1},
		{sheet("", 2), 0},
		{exported(header+service, 3), 0},
		{sheet("tivaouane", 4), 1},
	} {
		rs, err := pst.Import(t.Context(), []byte(tc.sheet), importer.Options{Expected: importer.AnyRevision})
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, rs.Warnings, qt.HasLen, tc.warnings, qt.Commentf("sheet %d: %v", num, rs.Warnings))
		qt.Check(t, home(), qt.Equals, modeler.DataCentreName("stad"), qt.Commentf("sheet %d", num))
	}
}
