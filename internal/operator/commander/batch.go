package commander

import (
	"context"
	"fmt"
	"maps"
	"net/http"
	"net/url"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/jessevdk/go-flags"

	"github.com/currantrouter/currantrouter/internal/fleet/modeler"
	"github.com/currantrouter/currantrouter/internal/operator/server"
	"github.com/currantrouter/currantrouter/internal/plan/importer"
)

type planCommand struct {
	Import planImport `command:"import" description:"make a sheet the plan of its day"`
	Show   planShow   `command:"show" description:"show the plan of a day"`
	Checks planChecks `command:"checks" description:"list the checks of a sheet"`
}

type planImport struct {
	DryRun   bool  `long:"dry-run" description:"check and compare the sheet without importing it"`
	Expected int64 `long:"expected" default:"-1" description:"revision of the plan that the sheet is based on"`
	Args     struct {
		File flags.Filename `positional-arg-name:"SHEET" required:"yes" description:"CSV file, or - for standard input"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander; dispatch calls run instead.
func (*planImport) Execute([]string) error { return nil }

func (cm *planImport) run(ctx context.Context, ss *session) error {
	sheet, err := readFile(cm.Args.File)
	if err != nil {
		return err
	}
	query := url.Values{}
	if cm.DryRun {
		query.Set("DryRun", "true")
	}
	if cm.Expected >= 0 {
		query.Set("Expected", strconv.FormatInt(cm.Expected, 10))
	}
	var rs importer.Result
	if err := ss.do(ctx, http.MethodPost, "/v1/plans", query, sheet, &rs); err != nil {
		return err
	}
	if ss.json {
		return ss.printJSON(rs)
	}
	return cm.print(ss, rs)
}

func (cm *planImport) print(ss *session, rs importer.Result) error {
	if len(rs.Warnings) > 0 {
		if err := ss.table(faultsHeader, faultRows(rs.Warnings)); err != nil {
			return err
		}
	}
	var rows [][]string
	for _, gr := range []struct {
		change string
		items  []importer.Item
	}{{"Added", rs.Added}, {"Changed", rs.Changed}, {"Dropped", rs.Dropped}, {"Begun", rs.Begun}} {
		for _, it := range gr.items {
			rows = append(rows, []string{gr.change, it.Kind, it.Name, strings.Join(it.Columns, " ")})
		}
	}
	if len(rows) > 0 {
		if err := ss.table([]string{"Change", "Kind", "Name", "Columns"}, rows); err != nil {
			return err
		}
	}
	if rs.ProgressUnknown {
		fmt.Fprintln(ss.out, "Which jobs have begun is not known, because a leader does not answer.")
	}
	state := "in force"
	if cm.DryRun {
		state = "not imported (dry run)"
	}
	fmt.Fprintf(ss.out, "Plan %s %s, revision %d, %d rows unchanged.\n", rs.Day, state, rs.After, rs.Unchanged)
	return nil
}

type planShow struct {
	Args struct {
		Day string `positional-arg-name:"DAY" required:"yes" description:"day in the form 2026-03-29"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander; dispatch calls run instead.
func (*planShow) Execute([]string) error { return nil }

func (cm *planShow) run(ctx context.Context, ss *session) error {
	var sp server.StoredPlan
	if err := ss.get(ctx, "/v1/plans/"+url.PathEscape(cm.Args.Day), nil, &sp); err != nil {
		return err
	}
	if sp.Plan == nil {
		return failf(ExitInternal, "the answer has no plan")
	}
	loc, err := sp.Plan.Location()
	if err != nil {
		loc = time.UTC
	}
	var rows [][]string
	for _, svc := range sp.Plan.Services {
		rows = append(rows, []string{importer.KindService, string(svc.Name), svc.Team, "", formatTime(svc.From, loc), formatTime(svc.Until, loc), ""})
	}
	for _, ps := range sp.Plan.Pauses {
		rows = append(rows, []string{importer.KindPause, string(ps.Service), "", "", formatTime(ps.From, loc), formatTime(ps.Until, loc), ""})
	}
	for _, jb := range sp.Plan.Jobs {
		rows = append(rows, []string{importer.KindJob, jb.Name, jb.Team, strconv.Itoa(jb.Tasks), formatTime(jb.NotBefore, loc), formatTime(jb.Deadline, loc), string(jb.DataCentre)})
	}
	return ss.show(sp, []string{"Kind", "Name", "Team", "Tasks", "NotBefore", "Deadline", "DataCentre"}, rows)
}

type planChecks struct{}

// Execute implements flags.Commander; dispatch calls run instead.
func (*planChecks) Execute([]string) error { return nil }

func (*planChecks) local() bool { return true }

func (*planChecks) run(_ context.Context, ss *session) error {
	var rows [][]string
	for _, ck := range importer.Checks {
		rows = append(rows, []string{strconv.Itoa(ck.Number), ck.Title, string(ck.Severity), ck.Text})
	}
	return ss.show(importer.Checks, []string{"Number", "Title", "Severity", "Allowed"}, rows)
}

type jobsCommand struct {
	Day    string     `long:"day" description:"only jobs of a day"`
	Team   string     `long:"team" description:"only jobs of a team"`
	State  string     `long:"state" description:"only jobs in a state"`
	Limit  int        `long:"limit" default:"1000" description:"greatest number of jobs"`
	Cancel jobsCancel `command:"cancel" description:"cancel jobs"`
}

// Execute implements flags.Commander; dispatch calls run instead.
func (*jobsCommand) Execute([]string) error { return nil }

func (cm *jobsCommand) run(ctx context.Context, ss *session) error {
	var all server.Jobs
	query := url.Values{}
	setQuery(query, "Day", cm.Day, "Team", cm.Team, "State", cm.State)
	for len(all.Jobs) < cm.Limit {
		query.Set("Limit", strconv.Itoa(min(cm.Limit-len(all.Jobs), server.MaxPage)))
		setQuery(query, "After", all.Next)
		var page server.Jobs
		if err := ss.get(ctx, "/v1/jobs", query, &page); err != nil {
			return err
		}
		all.Jobs = append(all.Jobs, page.Jobs...)
		all.Next, all.Unreachable = page.Next, page.Unreachable
		if page.Next == "" {
			break
		}
	}
	ss.warnUnreachable(all.Unreachable)
	var rows [][]string
	for _, jb := range all.Jobs {
		rows = append(rows, []string{
			jb.ID, jb.Team, jb.State, strconv.Itoa(jb.Priority), yesNo(jb.Urgent),
			string(jb.DataCentre), stateCounts(jb.Tasks), formatTime(jb.Deadline, time.UTC), jb.Reason,
		})
	}
	return ss.show(all, []string{"Job", "Team", "State", "Priority", "Urgent", "DataCentre", "Tasks", "Deadline", "Reason"}, rows)
}

func (ss *session) warnUnreachable(dcs []modeler.DataCentreName) {
	for _, dc := range dcs {
		fmt.Fprintf(ss.errw, "%s: data centre %s does not answer and is left out\n", programName, dc)
	}
}

type jobsCancel struct {
	Day    string `long:"day" description:"cancel all jobs of a day"`
	Team   string `long:"team" description:"cancel all jobs of a team"`
	Reason string `long:"reason" required:"yes" description:"reason, for the audit trail"`
	Args   struct {
		Jobs []string `positional-arg-name:"JOB" description:"identity of a job, such as 2026-03-29/nightly"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander; dispatch calls run instead.
func (*jobsCancel) Execute([]string) error { return nil }

func (cm *jobsCancel) run(ctx context.Context, ss *session) error {
	sl := server.JobSelector{Jobs: cm.Args.Jobs, Day: cm.Day, Team: cm.Team, Reason: cm.Reason}
	var cn server.CancelResult
	if err := ss.send(ctx, "/v1/cancel", sl, &cn); err != nil {
		return err
	}
	return ss.show(cn, []string{"Cancelled"}, [][]string{{strconv.Itoa(cn.Jobs)}})
}

type tasksCommand struct {
	Job    string `long:"job" description:"only tasks of a job"`
	State  string `long:"state" description:"only tasks in a state"`
	Worker string `long:"worker" description:"only tasks on a worker"`
	Limit  int    `long:"limit" default:"1000" description:"greatest number of tasks"`

	Resolve    tasksResolve    `command:"resolve" description:"state what became of a task in state Unknown"`
	WorkerGone tasksWorkerGone `command:"worker-gone" description:"state that a worker is gone for good, so that its tasks run again"`
}

// Execute implements flags.Commander; dispatch calls run instead.
func (*tasksCommand) Execute([]string) error { return nil }

func (cm *tasksCommand) run(ctx context.Context, ss *session) error {
	var all server.Tasks
	query := url.Values{}
	setQuery(query, "Job", cm.Job, "State", cm.State, "Worker", cm.Worker)
	for len(all.Tasks) < cm.Limit {
		query.Set("Limit", strconv.Itoa(min(cm.Limit-len(all.Tasks), server.MaxPage)))
		setQuery(query, "After", all.Next)
		var page server.Tasks
		if err := ss.get(ctx, "/v1/tasks", query, &page); err != nil {
			return err
		}
		all.Tasks = append(all.Tasks, page.Tasks...)
		all.Next, all.Unreachable = page.Next, page.Unreachable
		if page.Next == "" {
			break
		}
	}
	ss.warnUnreachable(all.Unreachable)
	var rows [][]string
	for _, tk := range all.Tasks {
		rows = append(rows, taskRow(tk))
	}
	return ss.show(all, taskHeader, rows)
}

var taskHeader = []string{"Job", "Task", "State", "Attempt", "Worker", "Cores", "MemoryGB", "Reason"}

func taskRow(tk server.Task) []string {
	return []string{
		tk.Job, strconv.Itoa(tk.Number), tk.State, strconv.Itoa(tk.Attempt), string(tk.Worker),
		fmt.Sprintf("%.3g", float64(tk.Reservation.Millicores)/1000),
		fmt.Sprintf("%.3g", float64(tk.Reservation.MemoryBytes)/1e9),
		tk.Reason,
	}
}

type tasksResolve struct {
	Done     bool   `long:"done" description:"the task is done"`
	RunAgain bool   `long:"run-again" description:"the task did not take effect and runs again"`
	Reason   string `long:"reason" required:"yes" description:"reason, for the audit trail"`
	Args     struct {
		Job  string `positional-arg-name:"JOB" required:"yes" description:"identity of the job"`
		Task int    `positional-arg-name:"TASK" required:"yes" description:"number of the task, from 0"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander; dispatch calls run instead.
func (*tasksResolve) Execute([]string) error { return nil }

func (cm *tasksResolve) run(ctx context.Context, ss *session) error {
	if cm.Done == cm.RunAgain {
		return failf(ExitUsage, "either --done or --run-again is needed")
	}
	rs := server.Resolution{Job: cm.Args.Job, Task: cm.Args.Task, RunAgain: cm.RunAgain, Reason: cm.Reason}
	if err := ss.post(ctx, "/v1/tasks/resolve", &rs); err != nil {
		return err
	}
	return ss.show(rs, []string{"Job", "Task", "RunAgain"}, [][]string{{rs.Job, strconv.Itoa(rs.Task), yesNo(rs.RunAgain)}})
}

type tasksWorkerGone struct {
	Reason string `long:"reason" required:"yes" description:"reason, for the audit trail"`
	Args   struct {
		Worker string `positional-arg-name:"WORKER" required:"yes" description:"name of the worker"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander; dispatch calls run instead.
func (*tasksWorkerGone) Execute([]string) error { return nil }

func (cm *tasksWorkerGone) run(ctx context.Context, ss *session) error {
	wg := server.WorkerGone{Worker: modeler.WorkerName(cm.Args.Worker), Reason: cm.Reason}
	if err := ss.post(ctx, "/v1/workers/gone", &wg); err != nil {
		return err
	}
	return ss.show(wg, []string{"Worker", "Gone"}, [][]string{{string(wg.Worker), "Yes"}})
}

// setQuery sets parameters from alternating names and values. Empty values are skipped.
func setQuery(query url.Values, pairs ...string) {
	for pair := range slices.Chunk(pairs, 2) {
		if pair[1] != "" {
			query.Set(pair[0], pair[1])
		}
	}
}

func readFile(name flags.Filename) ([]byte, error) {
	path := string(name)
	if path == "-" {
		path = os.Stdin.Name()
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, failf(ExitUsage, "%w", err)
	}
	return data, nil
}

func stateCounts(counts map[string]int) string {
	var parts []string
	for _, state := range slices.Sorted(maps.Keys(counts)) {
		parts = append(parts, fmt.Sprintf("%d %s", counts[state], state))
	}
	return strings.Join(parts, ", ")
}

func yesNo(set bool) string {
	if set {
		return "Yes"
	}
	return "No"
}

func formatTime(at time.Time, loc *time.Location) string {
	if at.IsZero() {
		return ""
	}
	return at.In(loc).Format("2006-01-02T15:04Z07:00")
}

var faultsHeader = []string{"Line", "Column", "Severity", "Check", "Value", "Allowed"}

func faultRows(fts importer.Faults) [][]string {
	var rows [][]string
	for _, ft := range fts {
		rows = append(rows, []string{
			strconv.Itoa(ft.Line), strings.TrimSpace(fmt.Sprintf("%d %s", ft.Position, ft.Column)),
			string(ft.Severity), fmt.Sprintf("%d %s", ft.Number, ft.Title), ft.Value, ft.Allowed,
		})
	}
	return rows
}
