// Package publisher merges the hour counts of all hosts into a public page for each day. The page
// shows every hour of every service. It exposes no callers, keys, addresses or tasks.
package publisher

import (
	"time"

	"github.com/currantrouter/currantrouter/internal/fleet/modeler"
	"github.com/currantrouter/currantrouter/internal/hours/counter"
)

// State is the state of a service in one hour.
type State string

// The states of an hour. Classify defines them.
const (
	Served   State = "Served"
	Degraded State = "Degraded"
	Down     State = "Down"
	Paused   State = "Paused"
	NoData   State = "NoData"
)

// Page is the public page of a day.
type Page struct {
	// Day is the local day in the form 2006-01-02.
	Day      string
	TimeZone string
	// Generated is the time at which the page was computed.
	Generated time.Time
	// Incomplete means that the store did not answer. Counts may be too low then, and hosts may be
	// shown as missing that have reported.
	Incomplete bool
	// Services are sorted by name.
	Services []Service
}

// Service is one service on the page.
type Service struct {
	Name modeler.ServiceName
	// Hours has the 23, 24 or 25 hours of the day in order.
	Hours []Hour
	// Counts is the sum over the day.
	Counts counter.Counts
}

// Hour is one hour of a service.
type Hour struct {
	// Start is the local start of the hour. Its UTC offset distinguishes the two hours with the same
	// local time when clocks are set back.
	Start time.Time
	State State
	counter.Counts
	// Upcoming means that the hour has not begun. Its state is NoData.
	Upcoming bool `json:",omitempty"`
	// InProgress means that the hour has begun and not ended.
	InProgress bool `json:",omitempty"`
	// PausedMinutes is the total length of planned pauses in the hour.
	PausedMinutes int `json:",omitempty"`
	// ExpectedHosts is the number of hosts that should report.
	ExpectedHosts int
	// MissingHosts is the number of expected hosts without a report.
	MissingHosts int
	// PartialHosts is the number of hosts that stopped reporting before the end of the hour.
	PartialHosts int
	// Amendments lists increases after counter.ReportGracePeriod in chronological order.
	Amendments []Amendment `json:",omitempty"`
}

// Amendment is an increase of an hour's counts by a late report.
type Amendment struct {
	At    time.Time
	Added counter.Counts
}

const (
	// degradedPercent is the percentage of refused, unknown and late calls above which an hour is
	// Degraded.
	degradedPercent = 1
	// downPercent is the percentage of such calls from which an hour is Down.
	downPercent = 50
)

// Classify returns the state of an hour by the first rule that applies:
//
//  1. NoData: no host has reported on the service, or the hour has not begun.
//  2. Paused: planned pauses cover the whole hour, or it is outside the planned hours of the service.
//  3. Down: at least downPercent of the calls were refused, unknown or late.
//  4. Degraded: more than degradedPercent of the calls were, or an expected host is missing or
//     stopped reporting before the end of the hour. The calls of such a host are unknown, so the
//     hour cannot be called Served.
//  5. Served: all other hours, including those without calls.
func (hr *Hour) Classify(reported bool) State {
	failed := hr.Refused + hr.Unknown + hr.Late
	total := hr.Total()
	switch {
	case !reported || hr.Upcoming:
		return NoData
	case hr.PausedMinutes >= minutesPerHour:
		return Paused
	case total > 0 && failed*100 >= total*downPercent:
		return Down
	case failed*100 > total*degradedPercent:
		return Degraded
	case hr.MissingHosts > 0 || hr.PartialHosts > 0:
		return Degraded
	}
	return Served
}

const minutesPerHour = 60

// Label returns the local start of the hour and its UTC offset, such as 02:00 +0200.
func (hr *Hour) Label() string { return hr.Start.Format("15:04 -0700") }

// Note returns remarks on the hour for display, or an empty string.
func (hr *Hour) Note() string {
	return hourNote(hr)
}
