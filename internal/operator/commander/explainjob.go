package commander

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"strings"

	"github.com/jessevdk/go-flags"

	"github.com/currantrouter/currantrouter/internal/job/director"
)

// maxJobBytes bounds the job that is read. Hosts accept less.
const maxJobBytes = 64 << 20

type explainJobCommand struct {
	Queue  string `long:"queue" description:"name of the queue; or give --host and --path"`
	Host   string `long:"host" description:"host name that callers send the job to"`
	Path   string `long:"path" description:"path that callers send the job to"`
	Output string `long:"output" choice:"text" choice:"json" default:"text" description:"format of the output; --json is short for json"`
	Args   struct {
		File flags.Filename `positional-arg-name:"FILE" description:"job as JSON, standard input when there is none or for -"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander; dispatch calls run instead.
func (*explainJobCommand) Execute([]string) error { return nil }

func (cm *explainJobCommand) run(ctx context.Context, ss *session) error {
	if (cm.Queue == "") == (cm.Host == "") {
		return failf(ExitUsage, "either --queue or --host is needed")
	}
	job, err := cm.read()
	if err != nil {
		return err
	}
	query := url.Values{"Queue": {cm.Queue}, "Host": {cm.Host}, "Path": {cm.Path}}
	var ex director.JobExplanation
	err = ss.do(ctx, http.MethodPost, "/v1/explain-job", query, job, &ex)
	switch {
	case err != nil && exitOf(err) == ExitResultUnknown:
		// Nothing is changed, whether or not the host has read the request.
		return failf(ExitUnreachable, "%w", err)
	case err != nil:
		return err
	case ss.json || cm.Output == "json":
		return ss.printJSON(ex)
	}
	return printJobExplanation(ss, &ex)
}

// read returns the job.
func (cm *explainJobCommand) read() ([]byte, error) {
	in := io.Reader(os.Stdin)
	if cm.Args.File != "" && cm.Args.File != "-" {
		file, err := os.Open(string(cm.Args.File))
		if err != nil {
			return nil, failf(ExitUsage, "%w", err)
		}
		defer file.Close()
		in = file
	}
	job, err := io.ReadAll(io.LimitReader(in, maxJobBytes+1))
	switch {
	case err != nil:
		return nil, failf(ExitUsage, "%w", err)
	case len(job) > maxJobBytes:
		return nil, failf(ExitUsage, "the job has more than %d bytes", maxJobBytes)
	case !json.Valid(job):
		return nil, failf(ExitUsage, "the job is not JSON")
	}
	return job, nil
}

func printJobExplanation(ss *session, ex *director.JobExplanation) error {
	fmt.Fprintf(ss.out, "%s: queue %s, pool %s, priority %d, shortage policy %s, %d open workers\n", ex.Outcome, ex.Queue, ex.Pool, ex.Priority, ex.Policy, ex.OpenWorkers)
	if ex.Reason != "" {
		fmt.Fprintf(ss.out, "- No task starts now: %s\n", ex.Reason)
	}
	if rf := ex.Refusal; rf != nil {
		fmt.Fprintf(ss.out, "- Refusal: %s, expected end after %s, limit %s, %d ended, %d missed\n", rf.Reason, rf.Expected, rf.Limit, rf.Ended, rf.Missed)
	}
	if len(ex.EvacuatedDataCentres) > 0 {
		fmt.Fprintf(ss.out, "- Evacuated data centres of the pool: %v\n", ex.EvacuatedDataCentres)
	}
	if ex.PermitsNeeded {
		fmt.Fprintln(ss.out, "- The policy service decides on workers; it was not asked")
	}
	rows := make([][]string, len(ex.Steps))
	for ix := range ex.Steps {
		rows[ix] = stepRow(&ex.Steps[ix])
	}
	return ss.table([]string{"Step", "Position", "Ahead", "Class", "Value", "Worker", "StartsIn", "Reason", "Unsuited", "Crowded", "Full", "Reserved", "Disturbed", "Open"}, rows)
}

func stepRow(se *director.StepExplanation) []string {
	value, position, ahead := "-", "-", "-"
	if se.Short {
		value = strconv.FormatFloat(se.Value, 'g', 4, 64)
	}
	if se.Position > 0 {
		position, ahead = strconv.Itoa(se.Position), strconv.Itoa(se.Ahead)
	}
	row := []string{strconv.Itoa(se.Step), position, ahead, orDash(se.Class), value, orDash(string(se.Worker)), orDash(se.StartsIn), orDash(se.Reason)}
	for _, count := range [...]int{se.Workers.Unsuited, se.Workers.Crowded, se.Workers.Full, se.Workers.Reserved, se.Workers.Disturbed, se.Workers.Open} {
		row = append(row, strconv.Itoa(count))
	}
	return row
}

// orDash returns a dash for an empty cell.
func orDash(text string) string {
	if strings.TrimSpace(text) == "" {
		return "-"
	}
	return text
}
