package modeler

import (
	"fmt"
	"strings"
	"time"
	"unicode"
	"unicode/utf8"
)

// Bounds of values that other processes write. Each is far above any use, and low enough that sums
// over a whole deployment stay within their types.
const (
	// maxMilliCores is in thousandths of a processor core.
	maxMilliCores   = 1_000_000_000
	maxMemoryMB     = 1_000_000_000
	maxAccelerators = 1_000_000
	// maxDuration bounds run times, intervals and remaining times.
	maxDuration = 10 * 365 * 24 * time.Hour
	// maxIncarnation is in milliseconds since 1970, in the year 2248.
	maxIncarnation = 1<<43 - 1
	// maxNameBytes bounds names, labels and addresses of routes.
	maxNameBytes = 200
	// maxLabels is the maximum number of labels of a worker.
	maxLabels = 64
)

// CheckName returns an error for a name that is not printable UTF-8 or too long. An empty name is
// valid.
func CheckName(what, name string) error {
	switch {
	case len(name) > maxNameBytes:
		return fmt.Errorf("%s of %d bytes", what, len(name))
	case !utf8.ValidString(name) || strings.ContainsFunc(name, func(char rune) bool { return !unicode.IsPrint(char) }):
		return fmt.Errorf("%s %q is not printable", what, name)
	}
	return nil
}

// inRange reports whether no resource is negative or beyond its bound.
func (rs Resources) inRange() bool {
	return rs.MilliCores >= 0 && rs.MilliCores <= maxMilliCores && rs.MemoryMB >= 0 && rs.MemoryMB <= maxMemoryMB &&
		rs.Accelerators >= 0 && rs.Accelerators <= maxAccelerators
}

// durationInRange reports whether a duration is neither negative nor beyond maxDuration.
func durationInRange(dur time.Duration) bool { return dur >= 0 && dur <= maxDuration }

// DurationFromMillis converts milliseconds. Values beyond the range of a Duration yield the nearest
// one that is in range.
func DurationFromMillis(ms int64) time.Duration {
	const limit = int64(1<<63-1) / int64(time.Millisecond)
	return time.Duration(min(max(ms, -limit), limit)) * time.Millisecond
}
