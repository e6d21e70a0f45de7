package importer

import (
	"fmt"

	"github.com/currantrouter/currantrouter/internal/telemetry/logger"
)

// Check is a rule that every sheet must meet. Numbers are never reused.
type Check struct {
	Number int
	Title  string
	// Text states what is allowed.
	Text string
	// Severity is SeverityError when a fault refuses the sheet, and SeverityWarning when it only
	// states how a value was read.
	Severity logger.Severity
}

// The checks of a sheet.
var (
	CheckEncoding   = Check{1, "encoding", "The sheet is UTF-8, with or without byte-order mark.", logger.SeverityError}
	CheckSize       = Check{2, "size", "The sheet has at most 64 MB and 250,000 rows.", logger.SeverityError}
	CheckQuotes     = Check{3, "quotes", "A quoted field ends with a quote, and quotes within it are doubled.", logger.SeverityError}
	CheckHeader     = Check{4, "header", "The first line names every column once; the order is free.", logger.SeverityError}
	CheckFields     = Check{5, "fields", "Every row has one field for each column of the header.", logger.SeverityError}
	CheckEmpty      = Check{6, "empty sheet", "The sheet has at least one row below the header.", logger.SeverityError}
	CheckDay        = Check{10, "day", "Day has the form 2026-03-29 and is the same in every row.", logger.SeverityError}
	CheckTimeZone   = Check{11, "time zone", "TimeZone is a name such as Europe/Oslo and is the same in every row.", logger.SeverityError}
	CheckExported   = Check{12, "export time", "Exported has the form 2026-03-29 05:30:00 in TimeZone, or 2026-03-29T05:30:00Z, and is the same in every row.", logger.SeverityError}
	CheckKind       = Check{13, "kind", "Kind is Service, Job or Pause.", logger.SeverityError}
	CheckName       = Check{14, "name", "A name has 1 to 100 bytes: letters, digits, space, hyphen, underscore and point, beginning and ending with a letter or digit.", logger.SeverityError}
	CheckComposed   = Check{15, "composed letters", "Letters with accents are single characters. Combining marks would make two names of what reads as one.", logger.SeverityError}
	CheckDuplicate  = Check{16, "duplicate", "Each service and each job has one row, and each pause of a service its own start.", logger.SeverityError}
	CheckWhole      = Check{17, "whole number", "Priority is from 0 to 100, Tasks from 1 to 5,000, Accelerators from 0 to 1,000.", logger.SeverityError}
	CheckDecimal    = Check{18, "decimal number", "Cores is above 0 and at most 4,096, MemoryGB above 0 and at most 65,536, with point or comma, up to 6 decimals and no other separator.", logger.SeverityError}
	CheckYesNo      = Check{19, "yes or no", "Urgent, Repeatable and Checkpoint are Yes, No, True, False, 1, 0 or empty for No.", logger.SeverityError}
	CheckRunTime    = Check{20, "run time", "RunTime has the form 1h30m or 1:30 (hours and minutes), above 0 and at most 168 hours.", logger.SeverityError}
	CheckTime       = Check{21, "time", "A time has the form 06:30 (on Day) or 2026-03-29 06:30, and may end with an offset such as +02:00. 24:00 is the end of Day.", logger.SeverityError}
	CheckAmbiguous  = Check{22, "time occurs twice", "When clocks go back, a start is read as the first and an end as the second occurrence. An offset such as +01:00 chooses.", logger.SeverityWarning}
	CheckMissing    = Check{23, "time does not exist", "When clocks go forward, a time in the gap is read as the moment of the change.", logger.SeverityWarning}
	CheckOrder      = Check{24, "order of times", "NotBefore is before Deadline, and a job's Deadline leaves time for its RunTime.", logger.SeverityError}
	CheckRequired   = Check{25, "required value", "A job needs Team, Priority, Tasks, Cores, MemoryGB and RunTime; a pause needs NotBefore and Deadline.", logger.SeverityError}
	CheckUnused     = Check{26, "unused value", "Rows of kind Service and Pause have no job columns.", logger.SeverityError}
	CheckDataCentre = Check{27, "data centre", "DataCentre is empty or one of the configured data centres.", logger.SeverityError}
	CheckService    = Check{28, "service of a pause", "A pause names a service of the same sheet.", logger.SeverityError}
	CheckOnDay      = Check{29, "on the day", "NotBefore of a service or pause and its Deadline lie on Day; NotBefore of a job lies on Day.", logger.SeverityError}
	CheckMoved      = Check{30, "known job in another data centre", "A job stays for the whole day in the data centre that an earlier sheet gave it to. Another name makes it another job.", logger.SeverityWarning}
)

// Checks lists all checks in the order of their numbers.
var Checks = []Check{
	CheckEncoding, CheckSize, CheckQuotes, CheckHeader, CheckFields, CheckEmpty,
	CheckDay, CheckTimeZone, CheckExported, CheckKind, CheckName, CheckComposed, CheckDuplicate,
	CheckWhole, CheckDecimal, CheckYesNo, CheckRunTime, CheckTime, CheckAmbiguous, CheckMissing,
	CheckOrder, CheckRequired, CheckUnused, CheckDataCentre, CheckService, CheckOnDay, CheckMoved,
}

// Fault is a violation of a check by a value or line of the sheet.
type Fault struct {
	Number   int
	Title    string
	Severity logger.Severity
	// Line counts from 1, the header included. Zero means the whole sheet.
	Line int
	// Column is the name of the column, or empty when the fault concerns the whole line.
	Column string `json:",omitempty"`
	// Position counts the fields of the line from 1. Zero means none.
	Position int `json:",omitempty"`
	// Value is the text in the sheet, cut to maxFaultValue bytes.
	Value string `json:",omitempty"`
	// Allowed states what would be accepted.
	Allowed string
}

// maxFaultValue keeps a list of faults readable when a quote is missing and a field extends over
// the rest of the sheet.
const maxFaultValue = 80

// String returns the fault on one line.
func (ft Fault) String() string {
	at := fmt.Sprintf("line %d", ft.Line)
	if ft.Column != "" {
		at += fmt.Sprintf(", column %d %s", ft.Position, ft.Column)
	}
	return fmt.Sprintf("%s: %s %d (%s): %q; %s", at, ft.Severity, ft.Number, ft.Title, ft.Value, ft.Allowed)
}

// Faults is the error of a sheet that was refused. It is in the order of the sheet.
type Faults []Fault

// Error summarizes the faults on one line.
func (fts Faults) Error() string {
	if len(fts) == 1 {
		return "sheet refused: " + fts[0].String()
	}
	return fmt.Sprintf("sheet refused with %d faults, the first is %s", len(fts), fts[0])
}

// Is makes errors.Is(err, ErrSheet) hold.
func (fts Faults) Is(target error) bool { return target == ErrSheet }
