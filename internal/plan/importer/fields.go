package importer

import (
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"
	"unicode"
	"unicode/utf8"

	"github.com/currantrouter/currantrouter/internal/fleet/modeler"
)

// Limits of the values of a job.
const (
	// MaxPriority is the highest priority of a job.
	MaxPriority = 100
	// MaxTasks is the greatest number of tasks of a job.
	MaxTasks = 5_000

	maxCores          = 4096
	millicoresPerCore = 1000
	maxMemoryGB       = 65536
	bytesPerGB        = 1_000_000_000
	maxAccelerators   = 1000
	maxRunTime        = 7 * 24 * time.Hour
	maxNameBytes      = 100
)

var (
	// decimalForm has no thousands separator, because 1.500 would be read as one and a half.
	decimalForm = regexp.MustCompile(`^(\d{1,6})(?:[.,](\d{1,6}))?$`)
	clockForm   = regexp.MustCompile(`^(\d{1,3}):([0-5]\d)$`)
)

// fields reads the fields of one row and collects their faults.
type fields struct {
	pr *parser
	rw row
}

func (fd *fields) text(column string) string { return fd.rw.fields[fd.pr.columnIndex[column]] }

func (fd *fields) addFault(ck Check, column string) {
	fd.pr.tb.faults.add(ck, fd.rw.line, column, fd.pr.columnIndex[column]+1, fd.text(column))
}

func (fd *fields) requireSame(first *fields, ck Check, column string) {
	if fd.text(column) != first.text(column) {
		fd.addFault(ck, column)
	}
}

func (fd *fields) requireValues(columns ...string) {
	for _, cl := range columns {
		if fd.text(cl) == "" {
			fd.addFault(CheckRequired, cl)
		}
	}
}

func (fd *fields) requireEmpty(columns []string) {
	for _, cl := range columns {
		if fd.text(cl) != "" {
			fd.addFault(CheckUnused, cl)
		}
	}
}

// unique adds a fault when the sheet has a row of this kind and name above.
func (fd *fields) unique(kind, name string) {
	rn := rowName{kind, name}
	if fd.pr.seen[rn] {
		fd.addFault(CheckDuplicate, ColumnName)
	}
	fd.pr.seen[rn] = true
}

func (fd *fields) name(column string) string {
	if fd.text(column) == "" {
		fd.addFault(CheckName, column)
	}
	return fd.optionalName(column)
}

func (fd *fields) optionalName(column string) string {
	text := fd.text(column)
	switch {
	case text == "":
	case strings.ContainsFunc(text, unicode.IsMark):
		fd.addFault(CheckComposed, column)
	case !nameAllowed(text):
		fd.addFault(CheckName, column)
	}
	return text
}

// nameAllowed reports whether a name has only allowed characters. Separators of keys, control
// characters and quotes are not among them.
func nameAllowed(text string) bool {
	if len(text) > maxNameBytes {
		return false
	}
	for _, rn := range text {
		if !letterOrDigit(rn) && !strings.ContainsRune(" -_.", rn) {
			return false
		}
	}
	first, _ := utf8.DecodeRuneInString(text)
	last, _ := utf8.DecodeLastRuneInString(text)
	return letterOrDigit(first) && letterOrDigit(last)
}

func letterOrDigit(rn rune) bool { return unicode.IsLetter(rn) || unicode.IsDigit(rn) }

// integer returns a number within the bounds. An empty field is the lowest.
func (fd *fields) integer(column string, lowest, highest int64) int64 {
	text := fd.text(column)
	if text == "" {
		return lowest
	}
	num, err := strconv.ParseInt(text, 10, 64)
	if err != nil || num < lowest || num > highest {
		fd.addFault(CheckWhole, column)
		return lowest
	}
	return num
}

// decimal returns the value in the smaller unit, rounded up so that a task never gets less than it
// declared. It works on digits, because a binary fraction would round 0.1 differently.
func (fd *fields) decimal(column string, highest, perUnit int64) int64 {
	text := fd.text(column)
	if text == "" {
		return 0
	}
	parts := decimalForm.FindStringSubmatch(text)
	if parts == nil {
		fd.addFault(CheckDecimal, column)
		return 0
	}
	const millionths = 1_000_000
	// decimalForm admits only digits that fit into an int64.
	units, _ := strconv.ParseInt(parts[1], 10, 64)
	fraction, _ := strconv.ParseInt((parts[2] + "000000")[:6], 10, 64)
	total := units*millionths + fraction
	if total <= 0 || total > highest*millionths {
		fd.addFault(CheckDecimal, column)
		return 0
	}
	return units*perUnit + (fraction*perUnit+millionths-1)/millionths
}

func (fd *fields) boolean(column string) bool {
	switch strings.ToLower(fd.text(column)) {
	case "yes", "true", "1":
		return true
	case "", "no", "false", "0":
		return false
	}
	fd.addFault(CheckYesNo, column)
	return false
}

func (fd *fields) runTime(column string) time.Duration {
	text := fd.text(column)
	if text == "" {
		return 0
	}
	if parts := clockForm.FindStringSubmatch(text); parts != nil {
		text = parts[1] + "h" + parts[2] + "m"
	}
	du, err := time.ParseDuration(text)
	if err != nil || du <= 0 || du > maxRunTime {
		fd.addFault(CheckRunTime, column)
		return 0
	}
	return du
}

func (fd *fields) dataCentre(column string) modeler.DataCentreName {
	dc := modeler.DataCentreName(fd.optionalName(column))
	if dc != "" && len(fd.pr.dcs) > 0 && !slices.Contains(fd.pr.dcs, dc) {
		fd.addFault(CheckDataCentre, column)
	}
	return dc
}

// moment reads a time, and returns false when the field is empty or not a time.
func (fd *fields) moment(column string, bd boundary) (time.Time, bool) {
	text := fd.text(column)
	if text == "" {
		return time.Time{}, false
	}
	at, ck := parseMoment(text, fd.pr.plan.Day, fd.pr.loc, bd)
	if ck != (Check{}) {
		fd.addFault(ck, column)
	}
	return at, ck != CheckTime
}

// checkSpan checks the times of a service or pause.
func (fd *fields) checkSpan(from, until time.Time) {
	if !from.Before(until) {
		fd.addFault(CheckOrder, ColumnDeadline)
	}
	fd.checkOnDay(ColumnNotBefore, from)
	fd.checkOnDay(ColumnDeadline, until)
}

// checkOnDay accepts the end of the day too, because a span may end there.
func (fd *fields) checkOnDay(column string, at time.Time) {
	if at.Before(fd.pr.dayStart) || at.After(fd.pr.dayEnd) {
		fd.addFault(CheckOnDay, column)
	}
}
