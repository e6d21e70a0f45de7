// Package examples holds a small sheet that a standalone daemon imports at its start.
package examples

import _ "embed"

// Day is the day of the example sheet in the form 2006-01-02.
const Day = "2026-12-04"

// Sheet is the plan of Day.
//
//go:embed day.csv
var Sheet []byte
