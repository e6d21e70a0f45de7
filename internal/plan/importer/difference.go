package importer

import (
	"cmp"
	"slices"
	"time"
)

// Item names a row of the sheet.
type Item struct {
	Kind string
	Name string
	// Columns lists the columns that differ, for a changed row.
	Columns []string `json:",omitempty"`
}

// Difference lists what a sheet changes in the plan in force.
type Difference struct {
	Added   []Item
	Changed []Item
	// Dropped lists rows that the new sheet no longer has. Dropped jobs have not begun.
	Dropped []Item
	// Begun lists jobs that have begun and that the sheet adds, changes or drops. The sheet does
	// not affect them: they continue as they began and are never run again.
	Begun []Item
	// Unchanged counts the rows that are the same.
	Unchanged int
}

// Empty reports whether the sheet changes nothing.
func (df *Difference) Empty() bool {
	return len(df.Added)+len(df.Changed)+len(df.Dropped)+len(df.Begun) == 0
}

// Compare returns the difference from the plan in force, which is nil when there is none. Begun
// reports whether a job, given by its identity, has begun at any time.
func Compare(inForce, next *Plan, begun func(jobID string) bool) Difference {
	if inForce == nil {
		inForce = &Plan{Day: next.Day}
	}
	var df Difference
	compare(&df, KindService, inForce.Services, next.Services, Service.name, Service.changes, never)
	compare(&df, KindJob, inForce.Jobs, next.Jobs, Job.name, Job.changes,
		func(name string) bool { return begun(next.JobID(name)) })
	compare(&df, KindPause, inForce.Pauses, next.Pauses, Pause.name, Pause.changes, never)
	return df
}

func never(string) bool { return false }

// compare adds the differences between the rows of one kind to df.
func compare[R any](df *Difference, kind string, olds, news []R,
	name func(R) string, changes func(R, R) []string, begun func(string) bool,
) {
	before := make(map[string]R, len(olds))
	for _, rw := range olds {
		before[name(rw)] = rw
	}
	for _, rw := range news {
		it := Item{Kind: kind, Name: name(rw)}
		old, known := before[it.Name]
		delete(before, it.Name)
		if known {
			it.Columns = changes(old, rw)
		}
		switch {
		case known && len(it.Columns) == 0:
			df.Unchanged++
		case begun(it.Name):
			df.Begun = append(df.Begun, it)
		case known:
			df.Changed = append(df.Changed, it)
		default:
			df.Added = append(df.Added, it)
		}
	}
	for _, rw := range olds {
		it := Item{Kind: kind, Name: name(rw)}
		if _, left := before[it.Name]; !left {
			continue
		}
		if begun(it.Name) {
			df.Begun = append(df.Begun, it)
			continue
		}
		df.Dropped = append(df.Dropped, it)
	}
}

func (svc Service) name() string { return string(svc.Name) }

func (jb Job) name() string { return jb.Name }

// The name of a pause contains its start, since a service can have several.
func (ps Pause) name() string { return string(ps.Service) + " " + ps.From.UTC().Format(time.RFC3339) }

func (svc Service) changes(next Service) []string {
	return differing(
		column{ColumnName, svc.Name == next.Name},
		column{ColumnTeam, svc.Team == next.Team},
		column{ColumnNotBefore, svc.From.Equal(next.From)},
		column{ColumnDeadline, svc.Until.Equal(next.Until)},
	)
}

func (jb Job) changes(next Job) []string {
	return differing(
		column{ColumnName, jb.Name == next.Name},
		column{ColumnTeam, jb.Team == next.Team},
		column{ColumnPriority, jb.Priority == next.Priority},
		column{ColumnUrgent, jb.Urgent == next.Urgent},
		column{ColumnTasks, jb.Tasks == next.Tasks},
		column{ColumnCores, jb.Size.Millicores == next.Size.Millicores},
		column{ColumnMemory, jb.Size.MemoryBytes == next.Size.MemoryBytes},
		column{ColumnAccelerators, jb.Size.Accelerators == next.Size.Accelerators},
		column{ColumnRunTime, jb.RunTime == next.RunTime},
		column{ColumnNotBefore, jb.NotBefore.Equal(next.NotBefore)},
		column{ColumnDeadline, jb.Deadline.Equal(next.Deadline)},
		column{ColumnDataCentre, jb.DataCentre == next.DataCentre},
		column{ColumnRepeatable, jb.Repeatable == next.Repeatable},
		column{ColumnCheckpoint, jb.Checkpoint == next.Checkpoint},
	)
}

func (ps Pause) changes(next Pause) []string {
	return differing(
		column{ColumnName, ps.Service == next.Service},
		column{ColumnNotBefore, ps.From.Equal(next.From)},
		column{ColumnDeadline, ps.Until.Equal(next.Until)},
	)
}

// column is a column of the sheet, and whether its values in two rows are the same.
type column struct {
	name string
	same bool
}

func differing(cs ...column) []string {
	var names []string
	for _, cl := range cs {
		if !cl.same {
			names = append(names, cl.name)
		}
	}
	return names
}

// sortRows sorts the rows by name.
func (pl *Plan) sortRows() {
	slices.SortFunc(pl.Services, func(a, b Service) int { return cmp.Compare(a.name(), b.name()) })
	slices.SortFunc(pl.Jobs, func(a, b Job) int { return cmp.Compare(a.name(), b.name()) })
	slices.SortFunc(pl.Pauses, func(a, b Pause) int { return cmp.Compare(a.name(), b.name()) })
}
