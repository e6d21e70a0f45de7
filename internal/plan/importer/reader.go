package importer

import (
	"bytes"
	"encoding/csv"
	"errors"
	"io"
	"slices"
	"strings"
	"unicode/utf8"
)

// Names of the columns. They are spelled as here in the first line of a sheet.
const (
	ColumnDay          = "Day"
	ColumnTimeZone     = "TimeZone"
	ColumnKind         = "Kind"
	ColumnName         = "Name"
	ColumnTeam         = "Team"
	ColumnPriority     = "Priority"
	ColumnUrgent       = "Urgent"
	ColumnTasks        = "Tasks"
	ColumnCores        = "Cores"
	ColumnMemory       = "MemoryGB"
	ColumnAccelerators = "Accelerators"
	ColumnRunTime      = "RunTime"
	ColumnNotBefore    = "NotBefore"
	ColumnDeadline     = "Deadline"
	ColumnDataCentre   = "DataCentre"
	ColumnRepeatable   = "Repeatable"
	ColumnCheckpoint   = "Checkpoint"
	ColumnExported     = "Exported"
)

// Columns lists all columns in their usual order.
var Columns = []string{
	ColumnDay, ColumnTimeZone, ColumnKind, ColumnName, ColumnTeam, ColumnPriority, ColumnUrgent,
	ColumnTasks, ColumnCores, ColumnMemory, ColumnAccelerators, ColumnRunTime, ColumnNotBefore,
	ColumnDeadline, ColumnDataCentre, ColumnRepeatable, ColumnCheckpoint, ColumnExported,
}

const (
	// MaxSheetBytes bounds a sheet. 200,000 rows have about 30 MB.
	MaxSheetBytes = 64 << 20
	// MaxRows bounds the rows below the header.
	MaxRows = 250_000
	// MaxFaults bounds the list of faults. A sheet of another format has one in every field.
	MaxFaults = 1000
)

// byteOrderMark is written by spreadsheet programs at the start of UTF-8 files.
var byteOrderMark = []byte("\xef\xbb\xbf")

// row is one line of the sheet.
type row struct {
	line int
	// fields has as many elements as the header, with blanks trimmed.
	fields []string
}

// table is a sheet split into fields, before their values are checked.
type table struct {
	header []string
	rows   []row
	faults faultCollector
}

// faultCollector collects faults up to MaxFaults.
type faultCollector struct {
	faults Faults
	// errors counts the faults with SeverityError, also those beyond MaxFaults.
	errors int
}

func (cl *faultCollector) add(ck Check, line int, column string, position int, value string) {
	if ck.Severity == CheckEncoding.Severity {
		cl.errors++
	}
	if len(cl.faults) >= MaxFaults {
		return
	}
	cl.faults = append(cl.faults, Fault{
		Number: ck.Number, Title: ck.Title, Severity: ck.Severity,
		Line: line, Column: column, Position: position, Value: truncate(value), Allowed: ck.Text,
	})
}

func truncate(value string) string {
	if len(value) <= maxFaultValue {
		return value
	}
	end := maxFaultValue
	for end > 0 && !utf8.RuneStart(value[end]) {
		end--
	}
	return value[:end] + "..."
}

// read splits the sheet into fields. A sheet whose encoding, size or header is wrong has no rows.
func read(sheet []byte) *table {
	tb := &table{}
	sheet = bytes.TrimPrefix(sheet, byteOrderMark)
	if len(sheet) > MaxSheetBytes {
		tb.faults.add(CheckSize, 0, "", 0, "")
		return tb
	}
	if !tb.checkEncoding(sheet) {
		return tb
	}
	rd := csv.NewReader(bytes.NewReader(sheet))
	rd.Comma = separator(sheet)
	rd.FieldsPerRecord = -1
	rd.TrimLeadingSpace = true
	if tb.readHeader(rd) {
		tb.readRows(rd)
	}
	return tb
}

// checkEncoding reports whether the sheet is UTF-8 without NUL, and adds a fault for each line that is
// not, such as one in the code page of a spreadsheet program.
func (tb *table) checkEncoding(sheet []byte) bool {
	if utf8.Valid(sheet) && !bytes.ContainsRune(sheet, 0) {
		return true
	}
	line := 0
	for text := range bytes.Lines(sheet) {
		line++
		if !utf8.Valid(text) || bytes.IndexByte(text, 0) >= 0 {
			tb.faults.add(CheckEncoding, line, "", 0, strings.ToValidUTF8(string(text), "\uFFFD"))
		}
	}
	return false
}

// separator returns the semicolon when the first line has one. Names of columns have none, and
// spreadsheet programs use it wherever the comma separates decimals.
func separator(sheet []byte) rune {
	first, _, _ := bytes.Cut(sheet, []byte("\n"))
	if bytes.IndexByte(first, ';') >= 0 {
		return ';'
	}
	return ','
}

func (tb *table) readHeader(rd *csv.Reader) bool {
	fields, err := rd.Read()
	if errors.Is(err, io.EOF) {
		tb.faults.add(CheckEmpty, 0, "", 0, "")
		return false
	}
	if err != nil {
		tb.addParseError(err)
		return false
	}
	tb.header = trimAll(fields)
	line, _ := rd.FieldPos(0)
	seen := map[string]bool{}
	for at, name := range tb.header {
		if !slices.Contains(Columns, name) || seen[name] {
			tb.faults.add(CheckHeader, line, name, at+1, name)
		}
		seen[name] = true
	}
	for _, name := range Columns {
		if !seen[name] {
			tb.faults.add(CheckHeader, line, name, 0, "")
		}
	}
	return tb.faults.errors == 0
}

func (tb *table) readRows(rd *csv.Reader) {
	for {
		fields, err := rd.Read()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			tb.addParseError(err)
			continue
		}
		line, _ := rd.FieldPos(0)
		fields = trimAll(fields)
		switch {
		case allEmpty(fields):
			// Spreadsheet programs add lines of only separators below the last row.
		case len(fields) != len(tb.header):
			tb.faults.add(CheckFields, line, "", 0, strings.Join(fields, string(rd.Comma)))
		case len(tb.rows) >= MaxRows:
			tb.faults.add(CheckSize, line, "", 0, "")
			return
		default:
			tb.rows = append(tb.rows, row{line: line, fields: fields})
		}
	}
	if len(tb.rows) == 0 && tb.faults.errors == 0 {
		tb.faults.add(CheckEmpty, 0, "", 0, "")
	}
}

// addParseError adds the fault of a line that is not CSV. The reader continues with the next line.
func (tb *table) addParseError(err error) {
	var pe *csv.ParseError
	if errors.As(err, &pe) {
		tb.faults.add(CheckQuotes, pe.Line, "", 0, pe.Err.Error())
		return
	}
	tb.faults.add(CheckQuotes, 0, "", 0, err.Error())
}

// trimAll removes blanks around the fields in place.
func trimAll(fields []string) []string {
	for at, text := range fields {
		fields[at] = strings.TrimSpace(text)
	}
	return fields
}

func allEmpty(fields []string) bool {
	return !slices.ContainsFunc(fields, func(text string) bool { return text != "" })
}
