// Package publisher merges the reports of all hosts into the public page of a day. The page shows
// every hour of every service and no caller, key, address or task.
package publisher

import (
	"time"

	"github.com/currantrouter/currantrouter/internal/fleet/modeler"
	"github.com/currantrouter/currantrouter/internal/hours/counter"
)

// State is the state of a service in one hour.
type State string

// The states of an hour. StateOf has the rule.
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
	// Generated is when the page was computed.
	Generated time.Time
	// Incomplete states that the store did not answer, so that reports of other hosts may be
	// missing that are not really missing.
	Incomplete bool
	// Services are in the order of their names.
	Services []Service
}

// Service is one service on the page.
type Service struct {
	Name modeler.ServiceName
	// Hours has every hour of the day in order: 23, 24 or 25.
	Hours []Hour
	// Counts is the sum over the day.
	Counts counter.Counts
}

// Hour is one hour of a service.
type Hour struct {
	// Start is the local start of the hour, with its offset from UTC, since a local hour occurs
	// twice when clocks go back.
	Start time.Time
	State State
	counter.Counts
	// Upcoming states that the hour has not begun. Its state is NoData.
	Upcoming bool `json:",omitempty"`
	// InProgress states that the counts of the hour still rise.
	InProgress bool `json:",omitempty"`
	// PausedMinutes is the length of planned pauses in the hour.
	PausedMinutes int `json:",omitempty"`
	// ExpectedHosts counts the hosts that were to report.
	ExpectedHosts int
	// MissingHosts counts those without any report.
	MissingHosts int
	// PartialHosts counts those that stopped reporting before the end of the hour.
	PartialHosts int
	// Amendments lists what late reports added after the hour was settled, in order.
	Amendments []Amendment `json:",omitempty"`
}

// Amendment is what late reports added to an hour.
type Amendment struct {
	At    time.Time
	Added counter.Counts
}

const (
	// degradedPercent is the share of calls without a timely answer above which an hour is
	// Degraded.
	degradedPercent = 1
	// downPercent is the share from which an hour is Down.
	downPercent = 50
)

// StateOf returns the state of an hour by the first rule that holds:
//
//  1. NoData: no host has reported on the service, or the hour has not begun.
//  2. Paused: planned pauses cover the whole hour, or the plan does not have the service in it.
//  3. Down: at least half of the calls were refused, unknown or late.
//  4. Degraded: more than one in a hundred were, or a host that was to report is missing, or has
//     not reported until the end of an hour that is over. What such a host did is not known, so
//     the hour is not called Served.
//  5. Served: all others, hours without a call included.
func (hr *Hour) StateOf(reported bool) State {
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

// Label is the local time of the hour, such as 02:00 +0200.
func (hr *Hour) Label() string { return hr.Start.Format("15:04 -0700") }

// Note is the remark on an hour for people, or empty.
func (hr *Hour) Note() string {
	return noteOf(hr)
}
