package keeper_test

import (
	"encoding/json"
	"errors"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/currantrouter/currantrouter/internal/job/keeper"
	"github.com/currantrouter/currantrouter/internal/job/modeler"
	"github.com/currantrouter/currantrouter/internal/provider/emulator"
	"github.com/currantrouter/currantrouter/internal/provider/storer"
	"github.com/currantrouter/currantrouter/internal/state/journaler"
)

func encode(t testing.TB, id modeler.JobID) []byte {
	t.Helper()
	value, err := keeper.Encode(&modeler.Job{ID: id, Queue: "q", Steps: []modeler.Step{{Count: 1}}, Submitted: time.Unix(1, 0).UTC()})
	qt.Assert(t, err, qt.IsNil)
	return value
}

// Guards against a document under the key of one job that is taken for another job.
func TestParseChangeRefuses(t *testing.T) {
	for name, en := range map[string]storer.Entry{
		"other prefix":         {Key: "Jobs/Other/a", Value: encode(t, "a")},
		"no JSON":              {Key: "Jobs/Submitted/a", Value: []byte("\xff")},
		"deeply nested":        {Key: "Jobs/Submitted/a", Value: []byte(strings.Repeat("[", 1<<20))},
		"ID of another key":    {Key: "Jobs/Submitted/a", Value: encode(t, "b")},
		"no ID":                {Key: "Jobs/Submitted/", Value: encode(t, "a")},
		"cancellation of none": {Key: "Jobs/Cancelled/"},
		"cancellation of path": {Key: "Jobs/Cancelled/a/b"},
	} {
		t.Run(name, func(t *testing.T) {
			_, ok, err := keeper.ParseChange(en)
			qt.Check(t, errors.Is(err, keeper.ErrDamaged), qt.IsTrue, qt.Commentf("%v", err))
			qt.Check(t, ok, qt.IsFalse)
		})
	}
}

// Guards against a record of the journal that is taken for a fact and leaves its job without an end.
func TestParseFactRefuses(t *testing.T) {
	for name, text := range map[string]string{
		"no JSON":              "\xff",
		"null":                 "null",
		"nothing":              "{}",
		"two facts":            `{"Released":"w","Final":{"Job":"a","State":"Failed"}}`,
		"end of no task":       `{"End":{"Task":"a","Run":1,"Outcome":"Done"}}`,
		"end of no run":        `{"End":{"Task":"a.0.0.0","Run":-1,"Outcome":"Done"}}`,
		"run at the limit":     `{"End":{"Task":"a.0.0.0","Run":9223372036854775807,"Outcome":"Done"}}`,
		"end of no job":        `{"Final":{"State":"Failed"}}`,
		"end without a state":  `{"Final":{"Job":"a"}}`,
		"end that is no end":   `{"Final":{"Job":"a","State":"Running"}}`,
		"lease of no worker":   `{"Granted":{}}`,
		"placement of no task": `{"Placed":{"Task":"","Run":1,"Worker":"w"}}`,
		"placement nowhere":    `{"Placed":{"Task":"a.0.0.0","Run":1}}`,
		"placement of no run":  `{"Placed":{"Task":"a.0.0.0","Run":-1,"Worker":"w"}}`,
	} {
		t.Run(name, func(t *testing.T) {
			_, err := keeper.ParseFact(journaler.Record{Kind: journaler.KindTask, Data: []byte(text)})
			qt.Check(t, errors.Is(err, keeper.ErrDamaged), qt.IsTrue, qt.Commentf("%v", err))
		})
	}
}

// Guards against a document that ends the process, or a job that changes when it is stored again.
func FuzzDecode(f *testing.F) {
	f.Fuzz(func(t *testing.T, value []byte) {
		jb, err := keeper.Decode(value)
		if err != nil {
			qt.Assert(t, errors.Is(err, keeper.ErrDamaged), qt.IsTrue)
			return
		}
		qt.Assert(t, jb.Check(), qt.IsNil)
		for occurrence := 1; occurrence < min(jb.Occurrences(), 100); occurrence++ {
			qt.Assert(t, jb.Due(occurrence).Before(jb.Due(occurrence-1)), qt.IsFalse)
		}
		assertSameJSON(t, jb, func(again []byte) (any, error) { return keeper.Decode(again) })
	})
}

// Guards against an entry that ends the process, or a change of another job than that of its key.
func FuzzParseChange(f *testing.F) {
	f.Fuzz(func(t *testing.T, key string, value []byte) {
		ch, ok, err := keeper.ParseChange(storer.Entry{Key: key, Value: value})
		if err != nil {
			qt.Assert(t, errors.Is(err, keeper.ErrDamaged), qt.IsTrue)
			return
		}
		qt.Assert(t, ok && ch.ID != "" && strings.HasSuffix(key, "/"+string(ch.ID)), qt.IsTrue)
		if ch.Job != nil {
			qt.Assert(t, ch.Job.ID, qt.Equals, ch.ID)
			qt.Assert(t, ch.Job.Check(), qt.IsNil)
		}
	})
}

// Guards against a record that ends the process, or a fact that changes when it is recorded again.
func FuzzParseFact(f *testing.F) {
	f.Fuzz(func(t *testing.T, data []byte) {
		ft, err := keeper.ParseFact(journaler.Record{Kind: journaler.KindTask, Data: data})
		if err != nil {
			qt.Assert(t, errors.Is(err, keeper.ErrDamaged), qt.IsTrue)
			return
		}
		assertSameJSON(t, ft, func(again []byte) (any, error) {
			return keeper.ParseFact(journaler.Record{Kind: journaler.KindTask, Data: again})
		})
	})
}

// assertSameJSON checks that a value is encoded, decoded and encoded again to the same text.
func assertSameJSON(t *testing.T, value any, decode func([]byte) (any, error)) {
	t.Helper()
	first, err := json.Marshal(value)
	qt.Assert(t, err, qt.IsNil)
	again, err := decode(first)
	qt.Assert(t, err, qt.IsNil)
	second, err := json.Marshal(again)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, string(second), qt.Equals, string(first))
}

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
