package publisher_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"

	"github.com/currantrouter/currantrouter/internal/fleet/modeler"
	"github.com/currantrouter/currantrouter/internal/hours/counter"
	"github.com/currantrouter/currantrouter/internal/hours/publisher"
	"github.com/currantrouter/currantrouter/internal/plan/importer"
	"github.com/currantrouter/currantrouter/internal/provider/storer"
	"github.com/currantrouter/currantrouter/internal/telemetry/meter"
)

// fixture implements the dependencies of a Publisher. Its zero value has no reports and no plan.
type fixture struct {
	stored, live []counter.Report
	plan         *importer.Plan
	err          error
	damaged      bool
	lists        int
}

func (fx *fixture) List(_ context.Context, prefix, after string, limit int) ([]storer.Entry, error) {
	fx.lists++
	var ents []storer.Entry
	for _, rp := range fx.stored {
		doc, err := json.Marshal(rp)
		if fx.damaged {
			doc = []byte("{")
		}
		if key := rp.Key(); err == nil && strings.HasPrefix(key, prefix) && key > after {
			ents = append(ents, storer.Entry{Key: key, Value: doc, Revision: 1})
		}
	}
	slices.SortFunc(ents, func(a, b storer.Entry) int { return strings.Compare(a.Key, b.Key) })
	return ents[:min(limit, len(ents))], fx.err
}

func (fx *fixture) Outline(context.Context, string) (*importer.Plan, error) {
	if fx.plan == nil {
		return nil, importer.ErrNoPlan
	}
	return fx.plan, nil
}

func (fx *fixture) InMemoryReports() []counter.Report { return fx.live }

func (fx *fixture) Current() *modeler.Configuration {
	return &modeler.Configuration{
		Hosts:    []modeler.Host{{Name: "entry-1"}, {Name: "entry-2"}},
		Services: []modeler.Service{{Name: "bakedesk"}},
	}
}

func (fx *fixture) publisher(t *testing.T) *publisher.Publisher {
	t.Helper()
	zone, err := time.LoadLocation("Europe/Oslo")
	qt.Assert(t, err, qt.IsNil)
	return publisher.New(fx, fx, fx, fx, zone, logr.Discard(), meter.New(nil))
}

func (fx *fixture) page(t *testing.T, day string) *publisher.Page {
	t.Helper()
	pg, err := fx.publisher(t).Page(t.Context(), day)
	qt.Assert(t, err, qt.IsNil)
	return pg
}

// testDay is the day on which the clock of synctest starts.
const testDay = "2000-01-01"

// noon is the start of an hour of testDay in UTC.
var noon = time.Date(2000, 1, 1, 12, 0, 0, 0, time.UTC)

func reported(host modeler.HostName, boot modeler.BootID, cs counter.Counts, closed bool) counter.Report {
	return counter.Report{
		Source:   counter.Source{Host: host, Boot: boot, Hour: noon},
		Services: map[modeler.ServiceName]counter.Counts{"bakedesk": cs},
		Expected: []modeler.HostName{"entry-1", "entry-2"},
		Closed:   closed,
	}
}

// atNoon returns the hour of the service that begins at noon UTC.
func atNoon(t *testing.T, pg *publisher.Page) publisher.Hour {
	t.Helper()
	for _, hr := range pg.Services[0].Hours {
		if hr.Start.Equal(noon) {
			return hr
		}
	}
	t.Fatal("the hour is missing")
	return publisher.Hour{}
}

// assertComplete checks the number of hours of a service and that there are no gaps between them.
func assertComplete(t *testing.T, svc publisher.Service, hours int) {
	t.Helper()
	qt.Assert(t, svc.Hours, qt.HasLen, hours)
	for ix, hr := range svc.Hours[1:] {
		qt.Check(t, hr.Start.Sub(svc.Hours[ix].Start), qt.Equals, time.Hour)
	}
}

// Guards against missing hours, in particular on days on which clocks are changed.
func TestEveryHourIsShown(t *testing.T) {
	for day, tc := range map[string]struct {
		hours       int
		first, last string
	}{
		"2000-01-01": {24, "2000-01-01T00:00:00+01:00", "2000-01-01T23:00:00+01:00"},
		"2000-03-26": {23, "2000-03-26T00:00:00+01:00", "2000-03-26T23:00:00+02:00"},
		"2000-10-29": {25, "2000-10-29T00:00:00+02:00", "2000-10-29T23:00:00+01:00"},
	} {
		t.Run(day, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				pg := (&fixture{}).page(t, day)
				qt.Assert(t, pg.Services, qt.HasLen, 1)
				hours := pg.Services[0].Hours
				assertComplete(t, pg.Services[0], tc.hours)
				qt.Check(t, hours[0].Start.Format(time.RFC3339), qt.Equals, tc.first)
				qt.Check(t, hours[tc.hours-1].Start.Format(time.RFC3339), qt.Equals, tc.last)
				for _, hr := range hours {
					qt.Check(t, hr.State, qt.Equals, publisher.NoData)
				}
			})
		})
	}
}

// Guards against a state that hides failures of calls or missing reports.
func TestClassify(t *testing.T) {
	for name, tc := range map[string]struct {
		hour     publisher.Hour
		reported bool
		want     publisher.State
	}{
		"no report":                {publisher.Hour{}, false, publisher.NoData},
		"no report in pause":       {publisher.Hour{PausedMinutes: 60}, false, publisher.NoData},
		"upcoming":                 {publisher.Hour{Upcoming: true}, true, publisher.NoData},
		"no calls":                 {publisher.Hour{}, true, publisher.Served},
		"all answered":             {publisher.Hour{Counts: counter.Counts{Answered: 100}}, true, publisher.Served},
		"1% refused":               {publisher.Hour{Counts: counter.Counts{Answered: 99, Refused: 1}}, true, publisher.Served},
		"over 1% refused":          {publisher.Hour{Counts: counter.Counts{Answered: 98, Refused: 1, Unknown: 1}}, true, publisher.Degraded},
		"late":                     {publisher.Hour{Counts: counter.Counts{Answered: 100, Late: 2}}, true, publisher.Degraded},
		"half refused":             {publisher.Hour{Counts: counter.Counts{Answered: 5, Refused: 5}}, true, publisher.Down},
		"all late":                 {publisher.Hour{Counts: counter.Counts{Answered: 5, Late: 5}}, true, publisher.Down},
		"paused":                   {publisher.Hour{Counts: counter.Counts{Refused: 5}, PausedMinutes: 60}, true, publisher.Paused},
		"partly paused":            {publisher.Hour{Counts: counter.Counts{Refused: 5}, PausedMinutes: 59}, true, publisher.Down},
		"missing host":             {publisher.Hour{MissingHosts: 1}, true, publisher.Degraded},
		"host crashed in mid-hour": {publisher.Hour{PartialHosts: 1}, true, publisher.Degraded},
	} {
		t.Run(name, func(t *testing.T) {
			qt.Check(t, tc.hour.Classify(tc.reported), qt.Equals, tc.want)
		})
	}
}

// Guards against duplicate or lost counts when reports are merged, and against missing hosts that are
// not shown.
func TestMerging(t *testing.T) {
	ten := counter.Counts{Answered: 10}
	late := reported("entry-2", "b", counter.Counts{Answered: 15}, true)
	late.Amendments = []counter.Amendment{{At: noon.Add(3 * time.Hour), Added: map[modeler.ServiceName]counter.Counts{"bakedesk": {Answered: 5}}}}
	full := reported("entry-1", "a", ten, true)
	for name, tc := range map[string]struct {
		stored, live              []counter.Report
		answered                  int64
		missing, partial, amended int
		state                     publisher.State
		note                      string
	}{
		"nothing":                  {nil, nil, 0, 2, 0, 0, publisher.NoData, "2 of 2 hosts missing"},
		"both":                     {[]counter.Report{full, reported("entry-2", "b", ten, true)}, nil, 20, 0, 0, 0, publisher.Served, ""},
		"missing host":             {[]counter.Report{full}, nil, 10, 1, 0, 0, publisher.Degraded, "1 of 2 hosts missing"},
		"host crashed in mid-hour": {[]counter.Report{full, reported("entry-2", "b", ten, false)}, nil, 20, 0, 1, 0, publisher.Degraded, "1 of 2 hosts reported only part of the hour"},
		"host restarted":           {[]counter.Report{full, reported("entry-2", "b", ten, true), reported("entry-2", "c", ten, true)}, nil, 30, 0, 0, 0, publisher.Served, ""},
		"crashed and restarted":    {[]counter.Report{full, reported("entry-2", "b", ten, false), reported("entry-2", "c", ten, true)}, nil, 30, 0, 1, 0, publisher.Degraded, "1 of 2 hosts reported only part of the hour"},
		"duplicate reports":        {[]counter.Report{full, reported("entry-2", "b", ten, true)}, []counter.Report{full, reported("entry-2", "b", counter.Counts{Answered: 4}, false)}, 20, 0, 0, 0, publisher.Served, ""},
		"newer copy in memory":     {[]counter.Report{full, reported("entry-2", "b", ten, true)}, []counter.Report{reported("entry-2", "b", counter.Counts{Answered: 12}, false)}, 22, 0, 0, 0, publisher.Served, ""},
		"late report":              {[]counter.Report{full, late}, nil, 25, 0, 0, 1, publisher.Served, "amended 2000-01-01 16:00: +5 answered, +0 refused, +0 unknown, +0 late"},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				time.Sleep(24 * time.Hour)
				hr := atNoon(t, (&fixture{stored: tc.stored, live: tc.live}).page(t, testDay))
				qt.Check(t, hr.Answered, qt.Equals, tc.answered)
				qt.Check(t, hr.MissingHosts, qt.Equals, tc.missing)
				qt.Check(t, hr.PartialHosts, qt.Equals, tc.partial)
				qt.Check(t, hr.Amendments, qt.HasLen, tc.amended)
				qt.Check(t, hr.State, qt.Equals, tc.state)
				qt.Check(t, hr.Note(), qt.Equals, tc.note)
			})
		})
	}
}

// Guards against planned pauses that are shown as failures or that hide failures outside the pause.
func TestPauses(t *testing.T) {
	at := func(hour, minute int) time.Time { return time.Date(2000, 1, 1, hour, minute, 0, 0, time.UTC) }
	service := importer.Service{Name: "bakedesk", From: at(0, 0), Until: at(23, 0)}
	for name, tc := range map[string]struct {
		service importer.Service
		pauses  []importer.Pause
		minutes int
		state   publisher.State
	}{
		"none":             {service, nil, 0, publisher.Down},
		"whole hour":       {service, []importer.Pause{{Service: "bakedesk", From: at(11, 30), Until: at(13, 0)}}, 60, publisher.Paused},
		"half an hour":     {service, []importer.Pause{{Service: "bakedesk", From: at(12, 0), Until: at(12, 30)}}, 30, publisher.Down},
		"overlapping":      {service, []importer.Pause{{Service: "bakedesk", From: at(12, 0), Until: at(12, 40)}, {Service: "bakedesk", From: at(12, 20), Until: at(13, 0)}}, 60, publisher.Paused},
		"of other service": {service, []importer.Pause{{Service: "tidebook", From: at(12, 0), Until: at(13, 0)}}, 0, publisher.Down},
		"not open":         {importer.Service{Name: "bakedesk", From: at(13, 0), Until: at(23, 0)}, nil, 60, publisher.Paused},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				time.Sleep(24 * time.Hour)
				fx := &fixture{
					stored: []counter.Report{reported("entry-1", "a", counter.Counts{Refused: 3}, true), reported("entry-2", "b", counter.Counts{}, true)},
					plan:   &importer.Plan{Day: testDay, TimeZone: "Europe/Oslo", Services: []importer.Service{tc.service}, Pauses: tc.pauses},
				}
				hr := atNoon(t, fx.page(t, testDay))
				qt.Check(t, hr.PausedMinutes, qt.Equals, tc.minutes)
				qt.Check(t, hr.State, qt.Equals, tc.state)
				qt.Check(t, hr.Refused, qt.Equals, int64(3))
			})
		})
	}
}

// Guards against a page that fails or loses counts while the store is unavailable or a report is
// damaged.
func TestStoreUnavailable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		time.Sleep(24 * time.Hour)
		fx := &fixture{stored: []counter.Report{reported("entry-1", "a", counter.Counts{Answered: 10}, true)}}
		pb := fx.publisher(t)
		_, err := pb.Page(t.Context(), testDay)
		qt.Assert(t, err, qt.IsNil)
		fx.err = storer.ErrUnavailable
		fx.live = []counter.Report{reported("entry-2", "b", counter.Counts{Answered: 7}, false)}
		time.Sleep(3 * time.Minute)
		pg, err := pb.Page(t.Context(), testDay)
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, pg.Incomplete, qt.IsTrue)
		qt.Check(t, atNoon(t, pg).Answered, qt.Equals, int64(17))
		assertComplete(t, pg.Services[0], 24)
	})
	t.Run("damaged report", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			time.Sleep(24 * time.Hour)
			fx := &fixture{stored: []counter.Report{reported("entry-1", "a", counter.Counts{}, true)}, damaged: true}
			qt.Check(t, atNoon(t, fx.page(t, testDay)).State, qt.Equals, publisher.NoData)
		})
	})
}

// Guards against a read of every hour from the store for each request of the public page, and against
// late reports that never appear.
func TestStoreReads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		time.Sleep(20 * time.Hour)
		fx := &fixture{}
		pb := fx.publisher(t)
		lists := func(after time.Duration) int {
			time.Sleep(after)
			before := fx.lists
			_, err := pb.Page(t.Context(), testDay)
			qt.Assert(t, err, qt.IsNil)
			return fx.lists - before
		}
		qt.Check(t, lists(0), qt.Equals, 22)
		qt.Check(t, lists(time.Second), qt.Equals, 0)
		// The current hour and the previous one, whose grace period has not ended, are read again.
		qt.Check(t, lists(time.Minute), qt.Equals, 2)
		qt.Check(t, lists(time.Hour), qt.Equals, 23)
	})
}

// Guards against a current or upcoming hour that is shown as failed.
func TestHourInProgress(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		time.Sleep(12*time.Hour + 30*time.Minute)
		fx := &fixture{stored: []counter.Report{reported("entry-1", "a", counter.Counts{}, false), reported("entry-2", "b", counter.Counts{}, false)}}
		pg := fx.page(t, testDay)
		hr := atNoon(t, pg)
		qt.Check(t, hr.State, qt.Equals, publisher.Served)
		qt.Check(t, hr.Note(), qt.Equals, "in progress")
		qt.Check(t, pg.Services[0].Hours[23].Note(), qt.Equals, "not yet begun")
	})
}

// Guards against a public page that omits hours, exposes internal names or contains injected scripts.
func TestHandler(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		time.Sleep(24 * time.Hour)
		rp := reported("entry-1", "boot-a", counter.Counts{Answered: 10}, true)
		rp.Services["<script>alert(1)</script>"] = counter.Counts{Answered: 1}
		pb := (&fixture{stored: []counter.Report{rp}}).publisher(t)
		for path, tc := range map[string]struct {
			status int
			kind   string
		}{
			"/hours":                 {200, "text/html; charset=utf-8"},
			"/hours/2000-01-01":      {200, "text/html; charset=utf-8"},
			"/hours/2000-01-01.json": {200, "application/json; charset=utf-8"},
			"/hours/1980-01-01":      {404, "application/json; charset=utf-8"},
			"/hours/2000-02-30":      {404, "application/json; charset=utf-8"},
		} {
			rec := httptest.NewRecorder()
			pb.ServeHTTP(rec, httptest.NewRequest("GET", path, nil))
			body := rec.Body.String()
			if path == "/hours" {
				qt.Check(t, strings.Contains(body, `href="hours/2000-01-01"`), qt.IsTrue)
			}
			qt.Check(t, rec.Code, qt.Equals, tc.status, qt.Commentf(path))
			qt.Check(t, rec.Header().Get("Content-Type"), qt.Equals, tc.kind)
			for _, text := range []string{"<script", "entry-1", "boot-a", "Hours/", "http:"} {
				qt.Check(t, strings.Contains(body, text), qt.IsFalse, qt.Commentf("%s in %s", text, path))
			}
			if path != "/hours/2000-01-01" {
				continue
			}
			for hour := range 24 {
				row := fmt.Sprintf(`<th scope="row">%02d:00 &#43;0100</th>`, hour)
				qt.Check(t, strings.Count(body, row), qt.Equals, 2, qt.Commentf(row))
			}
			qt.Check(t, strings.Count(body, "<rect "), qt.Equals, 48)
		}
		rec := httptest.NewRecorder()
		pb.ServeHTTP(rec, httptest.NewRequest("POST", "/hours", nil))
		qt.Check(t, rec.Code, qt.Equals, 405)
	})
}
