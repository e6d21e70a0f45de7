package importer

import (
	"errors"
	"slices"
	"time"
	// Entry hosts have no disks and need not have a time zone database.
	_ "time/tzdata"

	"github.com/currantrouter/currantrouter/internal/fleet/modeler"
)

// The kinds of rows.
const (
	KindService = "Service"
	KindJob     = "Job"
	KindPause   = "Pause"
)

// ErrSheet means that a sheet was refused for its content. The error is of type Faults.
var ErrSheet = errors.New("sheet refused")

// jobColumns are the columns that only jobs have.
var jobColumns = []string{
	ColumnPriority, ColumnUrgent, ColumnTasks, ColumnCores, ColumnMemory, ColumnAccelerators,
	ColumnRunTime, ColumnDataCentre, ColumnRepeatable, ColumnCheckpoint,
}

// parser turns the rows of one sheet into a plan.
type parser struct {
	tb          *table
	columnIndex map[string]int
	dcs         []modeler.DataCentreName
	plan        *Plan
	loc         *time.Location
	// dayStart and dayEnd are the start of the day and of the next one.
	dayStart, dayEnd time.Time
	// seen has the services, jobs and pauses read so far.
	seen map[rowName]bool
	// pauseLines has the line of each pause of the plan.
	pauseLines []int
}

// rowName identifies a row of the sheet.
type rowName struct{ kind, name string }

// Parse checks a sheet as a whole. It returns all faults, warnings included, in the order of the
// sheet, at most MaxFaults. The plan is nil when a fault has SeverityError. Without configured
// data centres the names of data centres are not checked.
func Parse(sheet []byte, dcs []modeler.DataCentreName) (*Plan, Faults) {
	pr := &parser{tb: read(sheet), dcs: dcs, plan: &Plan{}, seen: map[rowName]bool{}}
	if len(pr.tb.rows) > 0 {
		pr.parse()
	}
	fts := pr.tb.faults.faults
	slices.SortStableFunc(fts, func(a, b Fault) int { return a.Line - b.Line })
	if pr.tb.faults.errors > 0 {
		return nil, fts
	}
	pr.plan.sortRows()
	return pr.plan, fts
}

func (pr *parser) parse() {
	pr.columnIndex = make(map[string]int, len(pr.tb.header))
	for at, name := range pr.tb.header {
		pr.columnIndex[name] = at
	}
	pr.parseSheetColumns()
	for _, rw := range pr.tb.rows {
		fd := &fields{pr: pr, rw: rw}
		switch fd.text(ColumnKind) {
		case KindService:
			pr.service(fd)
		case KindJob:
			pr.job(fd)
		case KindPause:
			pr.pause(fd)
		default:
			fd.addFault(CheckKind, ColumnKind)
		}
	}
	pr.checkPauses()
}

// parseSheetColumns reads the columns that must have the same value in every row. If the time zone is
// faulty, times are read in UTC, only to find faults in their form.
func (pr *parser) parseSheetColumns() {
	first := &fields{pr: pr, rw: pr.tb.rows[0]}
	pr.loc = time.UTC
	pr.plan.Day, pr.plan.TimeZone = first.text(ColumnDay), first.text(ColumnTimeZone)
	if loc, err := time.LoadLocation(pr.plan.TimeZone); err == nil && pr.plan.TimeZone != "" && pr.plan.TimeZone != "Local" {
		pr.loc = loc
	} else {
		first.addFault(CheckTimeZone, ColumnTimeZone)
	}
	var err error
	if pr.dayStart, pr.dayEnd, err = DayBounds(pr.plan.Day, pr.loc); err != nil {
		first.addFault(CheckDay, ColumnDay)
	}
	var ok bool
	if pr.plan.Exported, ok = parseExported(first.text(ColumnExported), pr.loc); !ok {
		first.addFault(CheckExported, ColumnExported)
	}
	for _, rw := range pr.tb.rows[1:] {
		fd := &fields{pr: pr, rw: rw}
		fd.requireSame(first, CheckDay, ColumnDay)
		fd.requireSame(first, CheckTimeZone, ColumnTimeZone)
		fd.requireSame(first, CheckExported, ColumnExported)
	}
}

func (pr *parser) service(fd *fields) {
	fd.requireEmpty(jobColumns)
	svc := Service{Name: modeler.ServiceName(fd.name(ColumnName)), Team: fd.optionalName(ColumnTeam), From: pr.dayStart, Until: pr.dayEnd}
	if at, ok := fd.moment(ColumnNotBefore, start); ok {
		svc.From = at
	}
	if at, ok := fd.moment(ColumnDeadline, end); ok {
		svc.Until = at
	}
	fd.checkSpan(svc.From, svc.Until)
	fd.unique(KindService, svc.name())
	pr.plan.Services = append(pr.plan.Services, svc)
}

func (pr *parser) pause(fd *fields) {
	fd.requireEmpty(jobColumns)
	ps := Pause{Service: modeler.ServiceName(fd.name(ColumnName))}
	fd.optionalName(ColumnTeam)
	fd.requireValues(ColumnNotBefore, ColumnDeadline)
	from, ok := fd.moment(ColumnNotBefore, start)
	until, okUntil := fd.moment(ColumnDeadline, end)
	if !ok || !okUntil {
		return
	}
	ps.From, ps.Until = from, until
	fd.checkSpan(ps.From, ps.Until)
	fd.unique(KindPause, ps.name())
	pr.plan.Pauses = append(pr.plan.Pauses, ps)
	pr.pauseLines = append(pr.pauseLines, fd.rw.line)
}

func (pr *parser) job(fd *fields) {
	fd.requireValues(ColumnTeam, ColumnPriority, ColumnTasks, ColumnCores, ColumnMemory, ColumnRunTime)
	jb := Job{
		Name:       fd.name(ColumnName),
		Team:       fd.optionalName(ColumnTeam),
		Priority:   int(fd.integer(ColumnPriority, 0, MaxPriority)),
		Urgent:     fd.boolean(ColumnUrgent),
		Tasks:      int(fd.integer(ColumnTasks, 1, MaxTasks)),
		RunTime:    fd.runTime(ColumnRunTime),
		NotBefore:  pr.dayStart,
		DataCentre: fd.dataCentre(ColumnDataCentre),
		Repeatable: fd.boolean(ColumnRepeatable),
		Checkpoint: fd.boolean(ColumnCheckpoint),
	}
	jb.Size.Millicores = fd.decimal(ColumnCores, maxCores, millicoresPerCore)
	jb.Size.MemoryBytes = fd.decimal(ColumnMemory, maxMemoryGB, bytesPerGB)
	jb.Size.Accelerators = fd.integer(ColumnAccelerators, 0, maxAccelerators)
	if at, ok := fd.moment(ColumnNotBefore, start); ok {
		jb.NotBefore = at
		fd.checkOnDay(ColumnNotBefore, at)
	}
	if at, ok := fd.moment(ColumnDeadline, end); ok {
		jb.Deadline = at
		if at.Sub(jb.NotBefore) < jb.RunTime {
			fd.addFault(CheckOrder, ColumnDeadline)
		}
	}
	fd.unique(KindJob, jb.name())
	pr.plan.Jobs = append(pr.plan.Jobs, jb)
}

// checkPauses checks that the service of each pause exists. It runs after all rows are read, because
// services may come below their pauses.
func (pr *parser) checkPauses() {
	for at, ps := range pr.plan.Pauses {
		if !pr.seen[rowName{KindService, string(ps.Service)}] {
			pr.tb.faults.add(CheckService, pr.pauseLines[at], ColumnName, pr.columnIndex[ColumnName]+1, string(ps.Service))
		}
	}
}
