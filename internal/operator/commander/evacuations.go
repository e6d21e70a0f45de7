package commander

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/currantrouter/currantrouter/internal/job/director"
	"github.com/currantrouter/currantrouter/internal/job/evacuator"
)

const evacuationsPath = "/v1/evacuations"

type evacuatedCommand struct {
	Output string `long:"output" choice:"text" choice:"json" default:"text" description:"format of the output; --json is short for json"`
}

// Execute implements flags.Commander; dispatch calls run instead.
func (*evacuatedCommand) Execute([]string) error { return nil }

func (cm *evacuatedCommand) run(ctx context.Context, ss *session) error {
	var er director.EvacuationReport
	if err := ss.get(ctx, evacuationsPath, nil, &er); err != nil {
		return withoutJobs(err)
	}
	if ss.json || cm.Output == "json" {
		return ss.printJSON(er)
	}
	hindrances := make([]string, len(er.Hindrances))
	for ix, hd := range er.Hindrances {
		hindrances[ix] = string(hd)
	}
	fmt.Fprintf(ss.out, "View of the leader: age %s, held up by %s\n", orDash(er.ViewAge), orDash(strings.Join(hindrances, ", ")))
	rows := make([][]string, len(er.Evacuations))
	for ix := range er.Evacuations {
		ep := &er.Evacuations[ix]
		rows[ix] = []string{
			string(ep.DataCentre), ep.Since.UTC().Format(time.RFC3339), strconv.Itoa(ep.Workers), strconv.Itoa(ep.Runs),
			strconv.Itoa(ep.LongRunningRuns), strconv.Itoa(ep.ToMove), strconv.Itoa(ep.Moving), strconv.Itoa(ep.AtLimit), strconv.Itoa(ep.NoRoom),
			strconv.Itoa(ep.Staying), strconv.Itoa(ep.StartsReleased),
		}
	}
	return ss.table([]string{"DataCentre", "Since", "Workers", "Runs", "LongRunningRuns", "ToMove", "Moving", "AtLimit", "NoRoom", "Staying", "StartsReleased"}, rows)
}

// withoutJobs explains the error of a host that does not know the path.
func withoutJobs(err error) error {
	var re *rejectedError
	if errors.As(err, &re) && re.status == http.StatusNotFound && re.Code != evacuator.CodeNoWorkers {
		return failf(ExitNotFound, "the host has no evacuations, as it does not schedule callers' jobs or is older than this command: %w", err)
	}
	return err
}

type evacuateCommand struct {
	Withdraw bool `long:"withdraw" description:"take the request back"`
	Args     struct {
		DataCentre string `positional-arg-name:"DATACENTRE" required:"yes"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander; dispatch calls run instead.
func (*evacuateCommand) Execute([]string) error { return nil }

// outcomeTexts say what a command has changed.
var outcomeTexts = map[evacuator.Outcome]string{
	evacuator.Requested:        "evacuation requested",
	evacuator.AlreadyRequested: "evacuation was requested already, nothing changed",
	evacuator.Withdrawn:        "evacuation withdrawn",
	evacuator.NotRequested:     "no evacuation was requested, nothing changed",
}

func (cm *evacuateCommand) run(ctx context.Context, ss *session) error {
	if cm.Args.DataCentre == "" {
		return failf(ExitUsage, "the name of the data centre is empty")
	}
	method := http.MethodPut
	if cm.Withdraw {
		method = http.MethodDelete
	}
	var cr evacuator.CommandResult
	err := ss.do(ctx, method, evacuationsPath+"/"+url.PathEscape(cm.Args.DataCentre), nil, nil, &cr)
	switch {
	case err != nil && exitOf(err) == ExitResultUnknown:
		return failf(ExitResultUnknown, "%w; it is unknown whether the change was stored: see %s evacuations, or repeat the command", err, programName)
	case err != nil:
		return withoutJobs(err)
	case ss.json:
		return ss.printJSON(cr)
	}
	text, ok := outcomeTexts[cr.Outcome]
	if !ok {
		text = string(cr.Outcome)
	}
	_, err = fmt.Fprintf(ss.out, "%s: %s\n", cr.DataCentre, text)
	return err
}
