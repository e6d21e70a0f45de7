package importer_test

import (
	"os"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/currantrouter/currantrouter/internal/fleet/modeler"
	"github.com/currantrouter/currantrouter/internal/plan/importer"
	"github.com/currantrouter/currantrouter/internal/telemetry/logger"
)

var dataCentres = []modeler.DataCentreName{"thies-centre", "tivaouane", "stad"}

const (
	header   = "Day,TimeZone,Kind,Name,Team,Priority,Urgent,Tasks,Cores,MemoryGB,Accelerators,RunTime,NotBefore,Deadline,DataCentre,Repeatable,Checkpoint,Exported\n"
	service  = "2026-10-25,Europe/Oslo,Service,tidebook,Skolen,,,,,,,,,,,,,2026-10-25 04:30:00\n"
	goodJob  = "2026-10-25,Europe/Oslo,Job,bølge,Skolen,5,Yes,2,\"0,25\",1.5,0,1:30,06:00,12:00,stad,No,Yes,2026-10-25 04:30:00\n"
	lateJob  = "2026-10-25,Europe/Oslo,Job,späte,Skolen,5,,1,1,1,,90m,,,,,,2026-10-25 04:30:00\n"
	goodText = header + service + goodJob
)

// sheet replaces the first occurrence of a text in the good sheet.
func sheet(old, replacement string) string { return strings.Replace(goodText, old, replacement, 1) }

func mustParse(t *testing.T, text string) *importer.Plan {
	t.Helper()
	pl, fts := importer.Parse([]byte(text), dataCentres)
	qt.Assert(t, fts, qt.HasLen, 0)
	qt.Assert(t, pl, qt.IsNotNil)
	return pl
}

// Guards against an example sheet that is refused.
func TestExampleSheet(t *testing.T) {
	text, err := os.ReadFile("../../../examples/day.csv")
	qt.Assert(t, err, qt.IsNil)
	pl := mustParse(t, string(text))
	qt.Check(t, pl.Services, qt.HasLen, 1)
	qt.Check(t, pl.Pauses, qt.HasLen, 1)
	qt.Check(t, pl.Jobs, qt.HasLen, 5)
	qt.Check(t, pl.Jobs[1].Name, qt.Equals, "bake-programme-thiès")
	qt.Check(t, pl.Jobs[0].Size.Millicores, qt.Equals, int64(2500))
}

// Guards against a form of a sheet, as spreadsheet programs write them, that is refused or read with
// other values.
func TestFormsOfTheSameSheet(t *testing.T) {
	want := mustParse(t, goodText)
	qt.Check(t, want.Jobs[0].Size.Millicores, qt.Equals, int64(250))
	qt.Check(t, want.Jobs[0].RunTime, qt.Equals, 90*time.Minute)
	semicolons := strings.ReplaceAll(strings.ReplaceAll(goodText, ",", ";"), "\"0;25\"", "0,25")
	for name, text := range map[string]string{
		"byte-order mark":  "\ufeff" + goodText,
		"carriage returns": strings.ReplaceAll(goodText, "\n", "\r\n"),
		"semicolons":       semicolons,
		"decimal point":    sheet("\"0,25\"", "0.250"),
		"rows reordered":   header + goodJob + service,
		"blank rows":       goodText + strings.Repeat(",", 17) + "\n\n",
		"no last newline":  strings.TrimSuffix(goodText, "\n"),
		"words":            sheet(",No,Yes,", ",false,TRUE,"),
		"run time":         sheet("1:30", "1h30m"),
		"exported in UTC":  strings.ReplaceAll(goodText, "2026-10-25 04:30:00", "2026-10-25T03:30:00Z"),
	} {
		t.Run(name, func(t *testing.T) {
			qt.Check(t, mustParse(t, text).Equal(want), qt.IsTrue)
		})
	}
}

// Guards against a malformed value that is accepted, or reported at the wrong place.
func TestMalformedSheets(t *testing.T) {
	for name, tc := range map[string]struct {
		text   string
		check  importer.Check
		line   int
		column string
	}{
		"Latin-1":               {sheet("bølge", "b\xf8lge"), importer.CheckEncoding, 3, ""},
		"NUL":                   {sheet("bølge", "b\x00lge"), importer.CheckEncoding, 3, ""},
		"nothing":               {"", importer.CheckEmpty, 0, ""},
		"only header":           {header, importer.CheckEmpty, 0, ""},
		"open quote":            {goodText + "\"2026", importer.CheckQuotes, 4, ""},
		"misspelled column":     {sheet("Urgent", "urgent"), importer.CheckHeader, 1, "urgent"},
		"repeated column":       {sheet("Urgent", "Day"), importer.CheckHeader, 1, "Day"},
		"short row":             {goodText + "2026-10-25,Europe/Oslo\n", importer.CheckFields, 4, ""},
		"day":                   {strings.ReplaceAll(goodText, "2026-10-25,", "25.10.2026,"), importer.CheckDay, 2, "Day"},
		"other day":             {sheet("2026-10-25,Europe/Oslo,Job", "2026-10-26,Europe/Oslo,Job"), importer.CheckDay, 3, "Day"},
		"time zone":             {strings.ReplaceAll(goodText, "Europe/Oslo", "Europe/Stad"), importer.CheckTimeZone, 2, "TimeZone"},
		"zone of the machine":   {strings.ReplaceAll(goodText, "Europe/Oslo", "Local"), importer.CheckTimeZone, 2, "TimeZone"},
		"export occurs twice":   {strings.ReplaceAll(goodText, "04:30:00", "02:30:00"), importer.CheckExported, 2, "Exported"},
		"other export":          {sheet("Yes,2026-10-25 04:30:00", "Yes,2026-10-25 04:31:00"), importer.CheckExported, 3, "Exported"},
		"kind":                  {sheet(",Job,", ",job,"), importer.CheckKind, 3, "Kind"},
		"slash in name":         {sheet("bølge", "bølge/1"), importer.CheckName, 3, "Name"},
		"long name":             {sheet("bølge", strings.Repeat("ø", 51)), importer.CheckName, 3, "Name"},
		"combining mark":        {sheet("bølge", "cre\u0300me"), importer.CheckComposed, 3, "Name"},
		"job twice":             {goodText + goodJob, importer.CheckDuplicate, 4, "Name"},
		"no tasks":              {sheet(",Yes,2,", ",Yes,0,"), importer.CheckWhole, 3, "Tasks"},
		"priority":              {sheet(",5,Yes,", ",101,Yes,"), importer.CheckWhole, 3, "Priority"},
		"thousands separator":   {sheet("1.5", "\"1.500,5\""), importer.CheckDecimal, 3, "MemoryGB"},
		"not a number":          {sheet("1.5", "NaN"), importer.CheckDecimal, 3, "MemoryGB"},
		"zero cores":            {sheet("\"0,25\"", "0"), importer.CheckDecimal, 3, "Cores"},
		"yes or no":             {sheet(",Yes,2,", ",ja,2,"), importer.CheckYesNo, 3, "Urgent"},
		"run time":              {sheet("1:30", "1:75"), importer.CheckRunTime, 3, "RunTime"},
		"negative run time":     {sheet("1:30", "-1h"), importer.CheckRunTime, 3, "RunTime"},
		"time":                  {sheet("06:00", "25:00"), importer.CheckTime, 3, "NotBefore"},
		"deadline before start": {sheet("12:00", "05:00"), importer.CheckOrder, 3, "Deadline"},
		"deadline too early":    {sheet("12:00", "07:00"), importer.CheckOrder, 3, "Deadline"},
		"no run time":           {sheet("1:30", ""), importer.CheckRequired, 3, "RunTime"},
		"job column of service": {sheet("Skolen,,,,", "Skolen,,,3,"), importer.CheckUnused, 2, "Tasks"},
		"data centre":           {sheet("stad", "staad"), importer.CheckDataCentre, 3, "DataCentre"},
		"start on other day":    {sheet("06:00", "2026-10-24 06:00"), importer.CheckOnDay, 3, "NotBefore"},
		"pause without service": {goodText + strings.NewReplacer("Service,tidebook", "Pause,tidbook", ",,,,,,,,,,,,,", ",,,,,,,,14:00,15:00,,,,").Replace(service), importer.CheckService, 4, "Name"},
	} {
		t.Run(name, func(t *testing.T) {
			pl, fts := importer.Parse([]byte(tc.text), dataCentres)
			qt.Check(t, pl, qt.IsNil)
			qt.Assert(t, len(fts) > 0, qt.IsTrue)
			ft := fts[0]
			qt.Check(t, ft.Number, qt.Equals, tc.check.Number, qt.Commentf("%s", ft))
			qt.Check(t, ft.Line, qt.Equals, tc.line, qt.Commentf("%s", ft))
			qt.Check(t, ft.Column, qt.Equals, tc.column, qt.Commentf("%s", ft))
			qt.Check(t, ft.Allowed, qt.Equals, tc.check.Text)
		})
	}
}

// Guards against reports of only the first fault, so that a sheet must be sent once for every fault.
func TestAllFaultsAtOnce(t *testing.T) {
	text := strings.NewReplacer("Job,bølge", "Jobs,bølge").Replace(goodText) +
		strings.NewReplacer(",5,,1,1,1,,90m,", ",x,,y,z,1,,soon,").Replace(lateJob) + "a,b\n"
	_, fts := importer.Parse([]byte(text), dataCentres)
	var at []string
	for _, ft := range fts {
		at = append(at, ft.Column)
	}
	qt.Check(t, at, qt.DeepEquals, []string{"Kind", "Priority", "Tasks", "RunTime", "Cores", ""})
	qt.Check(t, fts[1].Value, qt.Equals, "x")
	qt.Check(t, fts[1].Position, qt.Equals, 6)
}

// Guards against unbounded lists of faults and values.
func TestFaultsAreBounded(t *testing.T) {
	text := header + strings.Repeat(strings.ReplaceAll(goodJob, "bølge", strings.Repeat("/", 500)), 2*importer.MaxFaults)
	_, fts := importer.Parse([]byte(text), dataCentres)
	qt.Check(t, fts, qt.HasLen, importer.MaxFaults)
	qt.Check(t, len(fts[0].Value) < 100, qt.IsTrue)
}

// Guards against times that are an hour off on the days on which clocks change.
func TestLocalTimes(t *testing.T) {
	for name, tc := range map[string]struct {
		day, from, until string
		wantFrom, want   string
		checks           []importer.Check
	}{
		"ordinary day":        {"2026-06-01", "06:00", "24:00", "2026-06-01T04:00:00Z", "2026-06-01T22:00:00Z", nil},
		"25 hours, both":      {"2026-10-25", "02:30", "02:30", "2026-10-25T00:30:00Z", "2026-10-25T01:30:00Z", []importer.Check{importer.CheckAmbiguous, importer.CheckAmbiguous}},
		"25 hours, offset":    {"2026-10-25", "02:30+01:00", "02:45+01:00", "2026-10-25T01:30:00Z", "2026-10-25T01:45:00Z", nil},
		"25 hours, whole day": {"2026-10-25", "00:00", "24:00", "2026-10-24T22:00:00Z", "2026-10-25T23:00:00Z", nil},
		"25 hours, after":     {"2026-10-25", "03:00", "2026-10-25 04:00", "2026-10-25T02:00:00Z", "2026-10-25T03:00:00Z", nil},
		"23 hours, missing":   {"2026-03-29", "02:30", "04:00", "2026-03-29T01:00:00Z", "2026-03-29T02:00:00Z", []importer.Check{importer.CheckMissing}},
		"23 hours, whole day": {"2026-03-29", "00:00", "24:00", "2026-03-28T23:00:00Z", "2026-03-29T22:00:00Z", nil},
	} {
		t.Run(name, func(t *testing.T) {
			row := strings.Replace(service, ",,,,,,,,,,,,,", ",,,,,,,,"+tc.from+","+tc.until+",,,,", 1)
			pl, fts := importer.Parse([]byte(header+strings.ReplaceAll(row, "2026-10-25", tc.day)), nil)
			qt.Assert(t, pl, qt.IsNotNil, qt.Commentf("%v", fts))
			qt.Check(t, pl.Services[0].From.Format(time.RFC3339), qt.Equals, tc.wantFrom)
			qt.Check(t, pl.Services[0].Until.Format(time.RFC3339), qt.Equals, tc.want)
			qt.Assert(t, fts, qt.HasLen, len(tc.checks))
			for at, ck := range tc.checks {
				qt.Check(t, fts[at].Number, qt.Equals, ck.Number)
				qt.Check(t, fts[at].Severity, qt.Equals, logger.SeverityWarning)
			}
		})
	}
}

// Guards against checks whose numbers are used twice, which would make scripts ambiguous.
func TestChecksAreUnique(t *testing.T) {
	last := 0
	for _, ck := range importer.Checks {
		qt.Check(t, ck.Number > last, qt.IsTrue, qt.Commentf("check %d after %d", ck.Number, last))
		last = ck.Number
	}
}

// Guards against panics, and against plans that violate the invariants of their fields.
func FuzzParse(f *testing.F) {
	f.Add([]byte(goodText))
	f.Add([]byte("\ufeff" + strings.ReplaceAll(goodText, ",", ";")))
	f.Add([]byte(header + lateJob + "\"\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		pl, fts := importer.Parse(text, dataCentres)
		refused := false
		for _, ft := range fts {
			refused = refused || ft.Severity == logger.SeverityError
		}
		qt.Assert(t, pl == nil, qt.Equals, refused)
		if pl == nil {
			return
		}
		for _, svc := range pl.Services {
			qt.Check(t, svc.From.Before(svc.Until), qt.IsTrue)
		}
		for _, jb := range pl.Jobs {
			qt.Check(t, jb.Tasks > 0 && jb.RunTime > 0 && jb.Size.Millicores > 0 && jb.Size.MemoryBytes > 0, qt.IsTrue)
			qt.Check(t, jb.Deadline.IsZero() || !jb.Deadline.Before(jb.NotBefore.Add(jb.RunTime)), qt.IsTrue)
			qt.Check(t, strings.ContainsAny(jb.Name, "/\n\x00"), qt.IsFalse)
		}
	})
}
