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
	tb   *table
	at   map[string]int
	dcs  []modeler.DataCentreName
	plan *Plan
	loc  *time.Location
	// from and until bound the day.
	from, until time.Time
	// names has the services, jobs and pauses read so far.
	names map[rowName]bool
	// pauses has the line of each pause of the plan.
	pauses []int
}

// rowName identifies a row of the sheet.
type rowName struct{ kind, name string }

// Parse checks a sheet as a whole. It returns all faults, warnings included, in the order of the
// sheet, at most MaxFaults. The plan is nil when a fault has SeverityError. Without configured
// data centres the names of data centres are not checked.
func Parse(sheet []byte, dcs []modeler.DataCentreName) (*Plan, Faults) {
	pr := &parser{tb: read(sheet), dcs: dcs, plan: &Plan{}, names: map[rowName]bool{}}
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
	pr.at = make(map[string]int, len(pr.tb.header))
	for at, name := range pr.tb.header {
		pr.at[name] = at
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
			fd.fail(CheckKind, ColumnKind)
		}
	}
	pr.checkPauses()
}

// parseSheetColumns reads the columns that have the same value in every row. Without a day and
// time zone, times are read in UTC only to find faults in their form.
func (pr *parser) parseSheetColumns() {
	first := &fields{pr: pr, rw: pr.tb.rows[0]}
	pr.loc = time.UTC
	pr.plan.Day, pr.plan.TimeZone = first.text(ColumnDay), first.text(ColumnTimeZone)
	if loc, err := time.LoadLocation(pr.plan.TimeZone); err == nil && pr.plan.TimeZone != "" && pr.plan.TimeZone != "Local" {
		pr.loc = loc
	} else {
		first.fail(CheckTimeZone, ColumnTimeZone)
	}
	var err error
	if pr.from, pr.until, err = DayBounds(pr.plan.Day, pr.loc); err != nil {
		first.fail(CheckDay, ColumnDay)
	}
	var ok bool
	if pr.plan.Exported, ok = parseExported(first.text(ColumnExported), pr.loc); !ok {
		first.fail(CheckExported, ColumnExported)
	}
	for _, rw := range pr.tb.rows[1:] {
		fd := &fields{pr: pr, rw: rw}
		fd.sameAs(first, CheckDay, ColumnDay)
		fd.sameAs(first, CheckTimeZone, ColumnTimeZone)
		fd.sameAs(first, CheckExported, ColumnExported)
	}
}

func (pr *parser) service(fd *fields) {
	fd.unused(jobColumns)
	svc := Service{Name: modeler.ServiceName(fd.name(ColumnName)), Team: fd.optionalName(ColumnTeam), From: pr.from, Until: pr.until}
	if at, ok := fd.moment(ColumnNotBefore, start); ok {
		svc.From = at
	}
	if at, ok := fd.moment(ColumnDeadline, end); ok {
		svc.Until = at
	}
	fd.span(svc.From, svc.Until)
	fd.once(KindService, svc.name())
	pr.plan.Services = append(pr.plan.Services, svc)
}

func (pr *parser) pause(fd *fields) {
	fd.unused(jobColumns)
	ps := Pause{Service: modeler.ServiceName(fd.name(ColumnName))}
	fd.optionalName(ColumnTeam)
	fd.required(ColumnNotBefore, ColumnDeadline)
	from, ok := fd.moment(ColumnNotBefore, start)
	until, okUntil := fd.moment(ColumnDeadline, end)
	if !ok || !okUntil {
		return
	}
	ps.From, ps.Until = from, until
	fd.span(ps.From, ps.Until)
	fd.once(KindPause, ps.name())
	pr.plan.Pauses = append(pr.plan.Pauses, ps)
	pr.pauses = append(pr.pauses, fd.rw.line)
}

func (pr *parser) job(fd *fields) {
	fd.required(ColumnTeam, ColumnPriority, ColumnTasks, ColumnCores, ColumnMemory, ColumnRunTime)
	jb := Job{
		Name:       fd.name(ColumnName),
		Team:       fd.optionalName(ColumnTeam),
		Priority:   int(fd.whole(ColumnPriority, 0, MaxPriority)),
		Urgent:     fd.yes(ColumnUrgent),
		Tasks:      int(fd.whole(ColumnTasks, 1, MaxTasks)),
		RunTime:    fd.runTime(ColumnRunTime),
		NotBefore:  pr.from,
		DataCentre: fd.dataCentre(ColumnDataCentre),
		Repeatable: fd.yes(ColumnRepeatable),
		Checkpoint: fd.yes(ColumnCheckpoint),
	}
	jb.Size.Millicores = fd.decimal(ColumnCores, maxCores, millicoresPerCore)
	jb.Size.MemoryBytes = fd.decimal(ColumnMemory, maxMemoryGB, bytesPerGB)
	jb.Size.Accelerators = fd.whole(ColumnAccelerators, 0, maxAccelerators)
	if at, ok := fd.moment(ColumnNotBefore, start); ok {
		jb.NotBefore = at
		fd.onDay(ColumnNotBefore, at)
	}
	if at, ok := fd.moment(ColumnDeadline, end); ok {
		jb.Deadline = at
		if at.Sub(jb.NotBefore) < jb.RunTime {
			fd.fail(CheckOrder, ColumnDeadline)
		}
	}
	fd.once(KindJob, jb.name())
	pr.plan.Jobs = append(pr.plan.Jobs, jb)
}

// checkPauses needs all services, which may come below the pauses.
func (pr *parser) checkPauses() {
	for at, ps := range pr.plan.Pauses {
		if !pr.names[rowName{KindService, string(ps.Service)}] {
			pr.tb.faults.add(CheckService, pr.pauses[at], ColumnName, pr.at[ColumnName]+1, string(ps.Service))
		}
	}
}
