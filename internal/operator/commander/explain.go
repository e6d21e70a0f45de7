package commander

import (
	"context"
	"fmt"
	"net/url"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/currantrouter/currantrouter/internal/operator/explainer"
	"github.com/currantrouter/currantrouter/internal/operator/server"
)

type explainCommand struct {
	Args struct {
		ID   string   `positional-arg-name:"ID" required:"yes" description:"identity of a job or task, or a host, worker or queue"`
		Rest []string `positional-arg-name:"LOG|TASK" description:"logs of hosts, standard input when there is none; of a job of a plan, such as 2026-03-29/nightly, the number of the task"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander; dispatch calls run instead.
func (*explainCommand) Execute([]string) error { return nil }

// local implements localCommand. Only jobs of plans have a slash in their identity, and hosts are asked
// about them.
func (cm *explainCommand) local() bool { return !strings.Contains(cm.Args.ID, "/") }

func (cm *explainCommand) run(ctx context.Context, ss *session) error {
	if cm.local() {
		return cm.explainLogs(ss)
	}
	task := 0
	switch len(cm.Args.Rest) {
	case 0:
	case 1:
		var err error
		if task, err = strconv.Atoi(cm.Args.Rest[0]); err != nil {
			return failf(ExitUsage, "TASK is %q, allowed is the number of a task, from 0", cm.Args.Rest[0])
		}
	default:
		return failf(ExitUsage, "unexpected argument %q; see --help", cm.Args.Rest[1])
	}
	return cm.explainTask(ctx, ss, task)
}

// explainTask asks a host why a task of a plan is in its state.
func (cm *explainCommand) explainTask(ctx context.Context, ss *session, task int) error {
	query := url.Values{"Job": {cm.Args.ID}, "Task": {strconv.Itoa(task)}}
	var ex server.Explanation
	if err := ss.get(ctx, "/v1/explain", query, &ex); err != nil {
		return err
	}
	if err := ss.show(ex, taskHeader, [][]string{taskRow(ex.Task)}); err != nil || ss.json {
		return err
	}
	for _, reason := range ex.Reasons {
		fmt.Fprintln(ss.out, "- "+reason)
	}
	return nil
}

// explainLogs tells the life of a job from the logs of hosts.
func (cm *explainCommand) explainLogs(ss *session) error {
	er := explainer.New(cm.Args.ID)
	for _, name := range cm.Args.Rest {
		if err := readLog(er, name); err != nil {
			return err
		}
	}
	if len(cm.Args.Rest) == 0 {
		if err := er.Read(os.Stdin, "-"); err != nil {
			return failf(ExitUsage, "%w", err)
		}
	}
	ex := er.Explain()
	for _, sk := range ex.Skipped {
		fmt.Fprintf(ss.errw, "%s: %s: %d lines are not log lines of a host in the format json and were skipped, the first is line %d\n", programName, sk.Log, sk.Lines, sk.First)
	}
	if len(ex.Lines) == 0 {
		return failf(ExitNotFound, "no line names %q", cm.Args.ID)
	}
	if ss.json {
		return ss.printJSON(ex)
	}
	return printExplanation(ss, ex)
}

func readLog(er *explainer.Explainer, name string) error {
	file, err := os.Open(name)
	if err != nil {
		return failf(ExitUsage, "%w", err)
	}
	defer file.Close()
	if err := er.Read(file, name); err != nil {
		return failf(ExitUsage, "%w", err)
	}
	return nil
}

func printExplanation(ss *session, ex explainer.Explanation) error {
	fmt.Fprintf(ss.out, "Times are on the clock of %s. Ahead is by how much a host's clock was ahead of it; it has been subtracted.\n", ex.Reference)
	rows := make([][]string, len(ex.Lines))
	for ix, ln := range ex.Lines {
		what := ln.Fields.Title()
		if ln.Context {
			what = "(" + what + ")"
		}
		rows[ix] = []string{ln.At.Format("15:04:05.000"), formatAhead(ln), ln.Host, strconv.Itoa(ln.Fields.Event()), what, ln.Fields.Inputs()}
	}
	if err := ss.table([]string{"Time", "Ahead", "Host", "Event", "What", "Inputs"}, rows); err != nil {
		return err
	}
	if len(ex.Workers) == 0 {
		return nil
	}
	rows = nil
	for _, wf := range ex.Workers {
		rows = append(rows, []string{wf.Worker, strconv.Itoa(wf.Runs), strconv.Itoa(wf.Jobs)})
	}
	fmt.Fprintln(ss.out, "\nFailed runs of all jobs on the workers where runs of it failed:")
	return ss.table([]string{"Worker", "Runs", "Jobs"}, rows)
}

// formatAhead returns the error of the clock, or "unknown" if the host shares no message with another one.
func formatAhead(ln explainer.Line) string {
	if !ln.Aligned {
		return "unknown"
	}
	return fmt.Sprintf("%+.3fs", ln.Ahead.Round(time.Millisecond).Seconds())
}
