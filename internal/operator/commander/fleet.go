package commander

import (
	"context"
	"fmt"
	"net/url"
	"strconv"
	"time"

	"github.com/currantrouter/currantrouter/internal/hours/publisher"
	"github.com/currantrouter/currantrouter/internal/operator/server"
)

type hostsCommand struct{}

// Execute implements flags.Commander; dispatch calls run instead.
func (*hostsCommand) Execute([]string) error { return nil }

func (*hostsCommand) run(ctx context.Context, ss *session) error {
	var hss []server.Host
	if err := ss.get(ctx, "/v1/hosts", nil, &hss); err != nil {
		return err
	}
	var rows [][]string
	for _, hst := range hss {
		rows = append(rows, []string{
			string(hst.Name), string(hst.DataCentre), hst.Health, yesNo(hst.Leading), yesNo(hst.Leaving),
			fmt.Sprint(hst.Revision), strconv.Itoa(hst.FreeSlots), strconv.Itoa(hst.Queued), string(hst.Boot),
		})
	}
	return ss.show(hss, []string{"Host", "DataCentre", "Health", "Leading", "Leaving", "Revision", "FreeSlots", "Queued", "Boot"}, rows)
}

type runnersCommand struct{}

// Execute implements flags.Commander; dispatch calls run instead.
func (*runnersCommand) Execute([]string) error { return nil }

func (*runnersCommand) run(ctx context.Context, ss *session) error {
	var rns []server.Runner
	if err := ss.get(ctx, "/v1/runners", nil, &rns); err != nil {
		return err
	}
	var rows [][]string
	for _, rn := range rns {
		rows = append(rows, []string{
			string(rn.Name), string(rn.DataCentre), string(rn.Service), rn.Health, yesNo(rn.Leaving),
			strconv.Itoa(rn.Slots), strconv.Itoa(rn.Share), strconv.Itoa(rn.Busy),
		})
	}
	return ss.show(rns, []string{"Runner", "DataCentre", "Service", "Health", "Leaving", "Slots", "Share", "Busy"}, rows)
}

type drainCommand struct {
	Undo   bool   `long:"undo" description:"end the draining"`
	Reason string `long:"reason" required:"yes" description:"reason, for the audit trail"`
	Args   struct {
		Kind string `positional-arg-name:"KIND" required:"yes" description:"Host, Runner or Worker"`
		Name string `positional-arg-name:"NAME" required:"yes" description:"name of the host, runner or worker"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander; dispatch calls run instead.
func (*drainCommand) Execute([]string) error { return nil }

func (cm *drainCommand) run(ctx context.Context, ss *session) error {
	dr := server.Drain{Kind: cm.Args.Kind, Name: cm.Args.Name, Undo: cm.Undo, Reason: cm.Reason}
	if err := ss.post(ctx, "/v1/drain", &dr); err != nil {
		return err
	}
	return ss.show(dr, []string{"Kind", "Name", "Leaving"}, [][]string{{dr.Kind, dr.Name, yesNo(!dr.Undo)}})
}

type hoursCommand struct {
	Service string `long:"service" description:"only one service"`
	Args    struct {
		Day string `positional-arg-name:"DAY" description:"day in the form 2026-03-29; today if missing"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander; dispatch calls run instead.
func (*hoursCommand) Execute([]string) error { return nil }

func (cm *hoursCommand) run(ctx context.Context, ss *session) error {
	path := "/v1/hours"
	if cm.Args.Day != "" {
		path += "/" + url.PathEscape(cm.Args.Day)
	}
	var pg publisher.Page
	if err := ss.get(ctx, path, nil, &pg); err != nil {
		return err
	}
	if pg.Incomplete {
		fmt.Fprintf(ss.errw, "%s: the store does not answer; counts may be too low\n", programName)
	}
	var rows [][]string
	for _, svc := range pg.Services {
		if cm.Service != "" && string(svc.Name) != cm.Service {
			continue
		}
		for _, hr := range svc.Hours {
			rows = append(rows, []string{
				string(svc.Name), hr.Label(), string(hr.State), fmt.Sprint(hr.Answered), fmt.Sprint(hr.Refused),
				fmt.Sprint(hr.Unknown), fmt.Sprint(hr.Late), hr.Note(),
			})
		}
	}
	return ss.show(pg, []string{"Service", "Hour", "State", "Answered", "Refused", "Unknown", "Late", "Remarks"}, rows)
}

type auditCommand struct {
	Since   string `long:"since" description:"time such as 2026-03-29T05:30:00Z, or a duration before now such as 24h"`
	Until   string `long:"until" description:"time or duration before now"`
	Who     string `long:"who" description:"only commands of an operator"`
	Action  string `long:"action" description:"only one action, such as PutConfiguration"`
	Subject string `long:"subject" description:"only subjects that contain a text"`
	Result  string `long:"result" choice:"Begun" choice:"Accepted" choice:"Refused" choice:"Undetermined" description:"only records with a result"`
	Limit   int    `long:"limit" default:"1000" description:"greatest number of records"`
}

// Execute implements flags.Commander; dispatch calls run instead.
func (*auditCommand) Execute([]string) error { return nil }

func (cm *auditCommand) run(ctx context.Context, ss *session) error {
	since, err := parseTime(cm.Since)
	if err != nil {
		return err
	}
	until, err := parseTime(cm.Until)
	if err != nil {
		return err
	}
	query := url.Values{"Limit": {strconv.Itoa(cm.Limit)}}
	setQuery(query, "Since", since, "Until", until, "Who", cm.Who, "Action", cm.Action, "Subject", cm.Subject, "Result", cm.Result)
	var rcs server.Records
	if err := ss.get(ctx, "/v1/audit", query, &rcs); err != nil {
		return err
	}
	var rows [][]string
	for _, rc := range rcs.Records {
		rows = append(rows, []string{
			rc.Time.UTC().Format(time.RFC3339), rc.Who, rc.Role, rc.From.String(), rc.Action, rc.Subject,
			strconv.FormatInt(rc.Before, 10), strconv.FormatInt(rc.After, 10), string(rc.Result), rc.Reason,
		})
	}
	return ss.show(rcs, []string{"Time", "Who", "Role", "From", "Action", "Subject", "Before", "After", "Result", "Reason"}, rows)
}

// parseTime converts a time, or a duration before now, to the format of the operators' interface.
func parseTime(text string) (string, error) {
	if text == "" {
		return "", nil
	}
	if du, err := time.ParseDuration(text); err == nil {
		return time.Now().Add(-du).UTC().Format(time.RFC3339), nil
	}
	if _, err := time.Parse(time.RFC3339, text); err != nil {
		return "", failf(ExitUsage, "%q is neither a time such as 2026-03-29T05:30:00Z nor a duration such as 24h", text)
	}
	return text, nil
}
