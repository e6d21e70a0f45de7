package importer

import (
	"strings"
	"time"
)

// boundary is the end of a span that a time is for. It selects the occurrence of a time that occurs
// twice.
type boundary int

const (
	// start is the start of a span. It takes the first occurrence.
	start boundary = iota
	// end is the end of a span. It takes the second occurrence, so that a span contains both.
	end
)

const (
	dayLayout     = "2006-01-02"
	minuteLayout  = "2006-01-02 15:04"
	secondsLayout = "2006-01-02 15:04:05"
	endOfDay      = "24:00"
)

// offsetLayouts are the forms of times with an offset from UTC.
var offsetLayouts = []string{minuteLayout + "Z07:00", secondsLayout + "Z07:00"}

// parseMoment reads a time of the sheet. The check is the zero value when the time exists once.
// A time that cannot be read yields CheckTime.
func parseMoment(text, day string, loc *time.Location, bd boundary) (time.Time, Check) {
	text = strings.Replace(text, "T", " ", 1)
	if text == endOfDay {
		text = day + " " + endOfDay
	}
	if len(text) > 0 && len(text) <= len("15:04+02:00") {
		text = day + " " + text
	}
	if at, ok := parseOffset(text); ok {
		return at, Check{}
	}
	clock, nextDay := strings.CutSuffix(text, " "+endOfDay)
	if nextDay {
		clock += " 00:00"
	}
	wall, err := time.Parse(minuteLayout, clock)
	if err != nil {
		return time.Time{}, CheckTime
	}
	if nextDay {
		wall = wall.AddDate(0, 0, 1)
	}
	return resolveLocal(wall, loc, bd)
}

func parseOffset(text string) (time.Time, bool) {
	for _, layout := range offsetLayouts {
		if at, err := time.Parse(layout, text); err == nil {
			return at.UTC(), true
		}
	}
	return time.Time{}, false
}

// parseExported reads the time of export. A local time that occurs twice or not at all is refused,
// because the order of two sheets depends on it.
func parseExported(text string, loc *time.Location) (time.Time, bool) {
	text = strings.Replace(text, "T", " ", 1)
	if at, ok := parseOffset(text); ok {
		return at, true
	}
	for _, layout := range []string{secondsLayout, minuteLayout} {
		if wall, err := time.Parse(layout, text); err == nil {
			at, ck := resolveLocal(wall, loc, start)
			return at.UTC(), ck == Check{}
		}
	}
	return time.Time{}, false
}

// resolveLocal converts a wall-clock time, given in UTC, to the moment at which clocks in loc show it.
// Around a change of clocks there are two such moments or none.
func resolveLocal(wall time.Time, loc *time.Location, bd boundary) (time.Time, Check) {
	var found []time.Time
	for _, offset := range offsetsAround(wall, loc) {
		at := wall.Add(-offset)
		if _, got := at.In(loc).Zone(); time.Duration(got)*time.Second == offset {
			found = append(found, at)
		}
	}
	switch {
	case len(found) == 0:
		return clockChange(wall, loc), CheckMissing
	case len(found) == 1:
		return found[0], Check{}
	case bd == end:
		return found[1], CheckAmbiguous
	}
	return found[0], CheckAmbiguous
}

// offsetsAround returns the offsets from UTC a day before and a day after a time, or one if they are
// the same. The greater one is first, as it belongs to the earlier moment. No place changes its clocks
// twice within two days.
func offsetsAround(wall time.Time, loc *time.Location) []time.Duration {
	_, before := wall.Add(-24 * time.Hour).In(loc).Zone()
	_, after := wall.Add(24 * time.Hour).In(loc).Zone()
	if before == after {
		return []time.Duration{time.Duration(before) * time.Second}
	}
	return []time.Duration{
		time.Duration(max(before, after)) * time.Second,
		time.Duration(min(before, after)) * time.Second,
	}
}

// clockChange returns the moment of the change of clocks that skips a wall-clock time.
func clockChange(wall time.Time, loc *time.Location) time.Time {
	_, until := wall.Add(-24 * time.Hour).In(loc).ZoneBounds()
	return until.UTC()
}

// DayBounds returns the start of a local day and of the next one. Days have 23, 24 or 25 hours. It
// returns an error when the day does not have the form 2006-01-02.
func DayBounds(day string, loc *time.Location) (from, until time.Time, err error) {
	wall, err := time.Parse(dayLayout, day)
	if err != nil {
		return time.Time{}, time.Time{}, err
	}
	from, _ = resolveLocal(wall, loc, start)
	until, _ = resolveLocal(wall.AddDate(0, 0, 1), loc, start)
	return from, until, nil
}
