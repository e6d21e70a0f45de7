package auditor_test

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"

	"github.com/currantrouter/currantrouter/internal/fleet/modeler"
	"github.com/currantrouter/currantrouter/internal/operator/auditor"
	"github.com/currantrouter/currantrouter/internal/provider/storer"
	"github.com/currantrouter/currantrouter/internal/telemetry/meter"
)

// fakeStore is an in-memory key-value service with injected errors.
type fakeStore struct {
	mu       sync.Mutex
	entries  map[string]storer.Entry
	revision int64
	// beforeWrite and afterWrite are the errors of the next writes, before or after they take
	// effect; each error is returned once.
	beforeWrite, afterWrite []error
	// err, if set, is returned by every call.
	err error
}

func newFakeStore() *fakeStore { return &fakeStore{entries: map[string]storer.Entry{}} }

func (fs *fakeStore) set(with func(fs *fakeStore)) {
	fs.mu.Lock()
	defer fs.mu.Unlock()
	with(fs)
}

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
	if err := pop(&fs.beforeWrite); err != nil {
		return 0, err
	}
	if fs.entries[key].Revision != expected {
		return 0, storer.ErrConflict
	}
	fs.revision++
	fs.entries[key] = storer.Entry{Key: key, Value: value, Revision: fs.revision}
	return fs.revision, pop(&fs.afterWrite)
}

func pop(errs *[]error) error {
	if len(*errs) == 0 {
		return nil
	}
	err := (*errs)[0]
	*errs = (*errs)[1:]
	return err
}

func (fs *fakeStore) Delete(_ context.Context, key string, expected int64) error {
	fs.mu.Lock()
	defer fs.mu.Unlock()
	if fs.entries[key].Revision != expected {
		return storer.ErrConflict
	}
	delete(fs.entries, key)
	return fs.err
}

func (fs *fakeStore) List(_ context.Context, prefix, after string, limit int) ([]storer.Entry, error) {
	fs.mu.Lock()
	defer fs.mu.Unlock()
	var ents []storer.Entry
	for _, key := range slices.Sorted(maps.Keys(fs.entries)) {
		if strings.HasPrefix(key, prefix) && key > after && len(ents) < limit {
			ents = append(ents, fs.entries[key])
		}
	}
	return ents, fs.err
}

func (fs *fakeStore) keys() []string {
	fs.mu.Lock()
	defer fs.mu.Unlock()
	return slices.Sorted(maps.Keys(fs.entries))
}

// start runs an auditor and returns a function that stops it and waits for its end.
func start(t *testing.T, fs *fakeStore, boot modeler.BootID) (*auditor.Auditor, func()) {
	t.Helper()
	au := auditor.New("entry-1", boot, fs, logr.Discard(), meter.New(nil))
	ctx, stop := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { au.Run(ctx); close(done) }()
	return au, func() { stop(); <-done }
}

func command(subject string) auditor.Record {
	return auditor.Record{Who: "awa", Role: "Administer", From: netip.MustParseAddr("192.0.2.7"), Action: "PutConfiguration", Subject: subject}
}

// assertTrail compares the results of the recorded commands with want, the oldest first.
func assertTrail(t *testing.T, au *auditor.Auditor, want ...auditor.Result) {
	t.Helper()
	rcs, err := au.Search(t.Context(), auditor.Query{})
	qt.Assert(t, err, qt.IsNil)
	var got []auditor.Result
	for _, rc := range slices.Backward(rcs) {
		got = append(got, rc.Result)
	}
	qt.Check(t, got, qt.DeepEquals, want)
}

// Guards against a command that is executed without a record, and against records that are
// duplicated, overwritten or lost when the store returns errors or its answers are lost.
func TestStoreErrors(t *testing.T) {
	lost, unavailable := storer.ErrResultUnknown, storer.ErrUnavailable
	both := []auditor.Result{auditor.Begun, auditor.Accepted}
	for name, tc := range map[string]struct {
		prepare func(fs *fakeStore)
		// between changes the store between the begin and the end of the command.
		between func(fs *fakeStore)
		refused bool
		want    []auditor.Result
	}{
		"no fault":                     {nil, nil, false, both},
		"answer lost after the write":  {func(fs *fakeStore) { fs.afterWrite = []error{lost} }, nil, false, both},
		"answer lost before the write": {func(fs *fakeStore) { fs.beforeWrite = []error{lost} }, nil, false, both},
		"both answers lost":            {func(fs *fakeStore) { fs.afterWrite = []error{lost}; fs.beforeWrite = []error{lost} }, nil, false, both},
		"store unavailable":            {func(fs *fakeStore) { fs.err = unavailable }, nil, true, nil},
		"one write refused":            {func(fs *fakeStore) { fs.beforeWrite = []error{unavailable} }, nil, true, nil},
		"no answers":                   {func(fs *fakeStore) { fs.err = lost }, nil, true, nil},
		"outcome not recorded":         {nil, func(fs *fakeStore) { fs.err = unavailable }, false, both},
		"outcome refused once":         {nil, func(fs *fakeStore) { fs.beforeWrite = []error{unavailable} }, false, both},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fs := newFakeStore()
				if tc.prepare != nil {
					tc.prepare(fs)
				}
				au, stop := start(t, fs, "a")
				defer stop()
				cm, err := au.Begin(t.Context(), command("Configuration"))
				qt.Assert(t, errors.Is(err, auditor.ErrNotRecorded), qt.Equals, tc.refused, qt.Commentf("%v", err))
				if err == nil {
					if tc.between != nil {
						fs.set(tc.between)
					}
					cm.End(t.Context(), auditor.Outcome{Result: auditor.Accepted, Before: 1, After: 2})
				}
				fs.set(func(fs *fakeStore) { fs.err = nil })
				time.Sleep(time.Minute)
				assertTrail(t, au, tc.want...)
			})
		})
	}
}

// Guards against a restarted process that overwrites a segment of the previous process, or that
// refuses records because the number of its next segment is taken.
func TestRestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fs := newFakeStore()
		for _, boot := range []modeler.BootID{"a", "b"} {
			au, stop := start(t, fs, boot)
			qt.Assert(t, au.Refuse(t.Context(), command(string(boot))), qt.IsNil)
			// Simulate a write whose answer was lost: it takes the number that this process uses
			// next.
			key := fmt.Sprintf("Audit/2000-01-01/entry-1/%010d", len(fs.keys())+1)
			_, err := fs.Put(t.Context(), key, []byte(`{"Records":[]}`), 0)
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, au.Refuse(t.Context(), command(string(boot))), qt.IsNil)
			stop()
			_, err = au.Begin(t.Context(), command("too late"))
			qt.Check(t, err, qt.ErrorIs, auditor.ErrNotRecorded)
			assertTrail(t, au, slices.Repeat([]auditor.Result{auditor.Refused}, len(fs.keys())*2/3)...)
		}
		qt.Check(t, fs.keys(), qt.HasLen, 6)
	})
}

// Guards against a write per record, and against segments that are too large for the store.
func TestBatching(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fs := newFakeStore()
		au, stop := start(t, fs, "a")
		defer stop()
		const commands = 1000
		var wg sync.WaitGroup
		for num := range commands {
			wg.Go(func() {
				rc := command(fmt.Sprint(num))
				rc.Reason = strings.Repeat("ø", 2000)
				qt.Check(t, au.Refuse(t.Context(), rc), qt.IsNil)
			})
		}
		wg.Wait()
		rcs, err := au.Search(t.Context(), auditor.Query{})
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, rcs, qt.HasLen, commands)
		qt.Check(t, len(fs.keys()) < 8, qt.IsTrue, qt.Commentf("%d segments", len(fs.keys())))
		for _, ent := range fs.entries {
			qt.Check(t, len(ent.Value) <= auditor.MaxSegmentBytes, qt.IsTrue, qt.Commentf("%d bytes", len(ent.Value)))
		}
	})
}

// Guards against a search that returns records that do not match, and against a damaged segment
// that makes a search fail.
func TestSearch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fs := newFakeStore()
		au, stop := start(t, fs, "a")
		defer stop()
		begin := time.Now()
		for _, subject := range []string{"Plan 2000-01-01", "Configuration", "Plan 2000-01-02"} {
			rc := command(subject)
			if subject == "Configuration" {
				rc.Who = "ingrid"
			}
			qt.Assert(t, au.Refuse(t.Context(), rc), qt.IsNil)
			time.Sleep(24 * time.Hour)
		}
		fs.set(func(fs *fakeStore) {
			fs.entries["Audit/2000-01-02/entry-0/0000000001"] = storer.Entry{Value: []byte("{"), Key: "Audit/2000-01-02/entry-0/0000000001"}
		})
		for name, tc := range map[string]struct {
			query auditor.Query
			want  string
		}{
			"all":     {auditor.Query{}, "Plan 2000-01-02 Configuration Plan 2000-01-01"},
			"who":     {auditor.Query{Who: "ingrid"}, "Configuration"},
			"subject": {auditor.Query{Subject: "Plan"}, "Plan 2000-01-02 Plan 2000-01-01"},
			"result":  {auditor.Query{Result: auditor.Accepted}, ""},
			"action":  {auditor.Query{Action: "Drain"}, ""},
			"limit":   {auditor.Query{Limit: 1}, "Plan 2000-01-02"},
			"since":   {auditor.Query{Since: begin.Add(25 * time.Hour)}, "Plan 2000-01-02"},
			"until":   {auditor.Query{Until: begin.Add(24 * time.Hour)}, "Plan 2000-01-01"},
		} {
			rcs, err := au.Search(t.Context(), tc.query)
			qt.Assert(t, err, qt.IsNil)
			var got []string
			for _, rc := range rcs {
				got = append(got, rc.Subject)
			}
			qt.Check(t, strings.Join(got, " "), qt.Equals, tc.want, qt.Commentf(name))
		}
	})
}

// Guards against records that are kept too long or deleted too early.
func TestTrim(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fs := newFakeStore()
		au, stop := start(t, fs, "a")
		for range 3 {
			qt.Assert(t, au.Refuse(t.Context(), command("x")), qt.IsNil)
			time.Sleep(24 * time.Hour)
		}
		stop()
		// Midnight 91 days after the first day: its records are all older than 90 days.
		time.Sleep(88 * 24 * time.Hour)
		qt.Assert(t, au.Trim(t.Context()), qt.IsNil)
		qt.Check(t, fs.keys(), qt.DeepEquals, []string{"Audit/2000-01-02/entry-1/0000000001", "Audit/2000-01-03/entry-1/0000000001"})
		qt.Assert(t, au.Trim(t.Context()), qt.IsNil)
		qt.Check(t, fs.keys(), qt.HasLen, 2)
	})
}
