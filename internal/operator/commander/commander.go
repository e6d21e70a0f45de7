// Package commander is the operators' command line client, currantctl.
package commander

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"os"
	"os/signal"
	"runtime/debug"
	"strings"
	"syscall"
	"text/tabwriter"
	"time"

	"github.com/jessevdk/go-flags"
)

// programName begins usage and error lines.
const programName = "currantctl"

// options are the flags that every command accepts.
type options struct {
	Address     string         `long:"address" env:"CURRANT_ADDRESS" default:"127.0.0.1:7443" description:"operators' address of an entry host, by IP"`
	Certificate flags.Filename `long:"certificate" env:"CURRANT_CERTIFICATE" description:"client certificate, PEM"`
	Key         flags.Filename `long:"key" env:"CURRANT_KEY" description:"key of the client certificate, PEM"`
	Authorities flags.Filename `long:"authorities" env:"CURRANT_AUTHORITIES" description:"certificates that sign those of hosts, PEM"`
	ServerName  string         `long:"server-name" env:"CURRANT_SERVER_NAME" description:"name in the host's certificate, if not its address"`
	Insecure    bool           `long:"insecure" description:"no TLS; only for an address on loopback"`
	JSON        bool           `long:"json" description:"print JSON instead of tables"`
	TimeLimit   time.Duration  `long:"time-limit" default:"100s" description:"longest time to wait for an answer"`
	Version     bool           `long:"version" description:"print the version and exit"`

	// address is the parsed Address. It is set before a command runs.
	address netip.AddrPort
}

// commands lists the top-level commands.
type commands struct {
	Plan       planCommand       `command:"plan" description:"import, compare and show the plan of a day"`
	Jobs       jobsCommand       `command:"jobs" subcommands-optional:"yes" description:"list or cancel jobs"`
	Tasks      tasksCommand      `command:"tasks" subcommands-optional:"yes" description:"list or resolve tasks"`
	Explain    explainCommand    `command:"explain" alias:"trace" description:"tell the life of a job from the logs of hosts, or say why a task of a plan is in its state"`
	ExplainJob explainJobCommand `command:"explain-job" description:"say where a job would be placed now and why, without submitting it"`
	Waiting    waitingCommand    `command:"waiting" description:"list what waits by reason, and long-running tasks that wait although there is room for them"`
	Evacuated  evacuatedCommand  `command:"evacuations" description:"list the data centres that are evacuated, with their progress"`
	Evacuate   evacuateCommand   `command:"evacuate" description:"keep new tasks out of a data centre and move long-running ones away, or take that back"`
	Hosts      hostsCommand      `command:"hosts" description:"list entry hosts"`
	Runners    runnersCommand    `command:"runners" description:"list runners"`
	Hours      hoursCommand      `command:"hours" description:"show the hours of a day"`
	Audit      auditCommand      `command:"audit" description:"search the audit trail"`
	Config     configCommand     `command:"config" description:"show, check and change the shared configuration"`
	Drain      drainCommand      `command:"drain" description:"drain a host, runner or worker"`
	Completion completionCommand `command:"completion" description:"print the completion script of a shell"`
}

// session holds the client, the output streams and the output format of one run of the program.
type session struct {
	*client
	out  io.Writer
	errw io.Writer
	json bool
}

// command is a command that can be executed.
type command interface {
	run(ctx context.Context, ss *session) error
}

// Main runs the program with its arguments, without the program name, and returns its exit code.
func Main(args []string, out, errw io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	err := execute(ctx, args, out, errw)
	if err == nil {
		return ExitDone.Code
	}
	ex := exitOf(err)
	fmt.Fprintf(errw, "%s: %s\n", programName, oneLine(err))
	return ex.Code
}

func execute(ctx context.Context, args []string, out, errw io.Writer) error {
	op, cs := &options{}, &commands{}
	pr := flags.NewNamedParser(programName, flags.HelpFlag|flags.PassDoubleDash)
	pr.LongDescription = longDescription()
	pr.SubcommandsOptional = true
	for _, err := range []error{addGroup(pr, op), addCommands(pr, cs)} {
		if err != nil {
			return err
		}
	}
	pr.CommandHandler = func(cm flags.Commander, rest []string) error {
		return dispatch(ctx, op, cm, rest, out, errw)
	}
	_, err := pr.ParseArgs(args)
	return usageError(out, err)
}

func addGroup(pr *flags.Parser, op *options) error {
	_, err := pr.AddGroup("Options of all commands", "", op)
	return err
}

func addCommands(pr *flags.Parser, cs *commands) error {
	_, err := pr.AddGroup("Commands", "", cs)
	return err
}

// usageError prints requested help to out and returns nil. It gives other errors of the command
// line their exit code.
func usageError(out io.Writer, err error) error {
	var fe *flags.Error
	switch {
	case !errors.As(err, &fe):
		return err
	case fe.Type == flags.ErrHelp:
		fmt.Fprintln(out, fe.Message)
		return nil
	}
	return failf(ExitUsage, "%s; see --help", fe.Message)
}

func dispatch(ctx context.Context, op *options, cm flags.Commander, rest []string, out, errw io.Writer) error {
	if op.Version {
		fmt.Fprintln(out, programName, version())
		return nil
	}
	cd, ok := cm.(command)
	if !ok && len(rest) > 0 {
		return failf(ExitUsage, "unknown command %q; see --help", rest[0])
	}
	if !ok {
		return failf(ExitUsage, "a command is missing; see --help")
	}
	if len(rest) > 0 {
		return failf(ExitUsage, "unexpected argument %q; see --help", rest[0])
	}
	var err error
	if op.address, err = netip.ParseAddrPort(op.Address); err != nil {
		return failf(ExitUsage, "--address is %q, allowed is an IP address with a port: %w", op.Address, err)
	}
	ss := &session{out: out, errw: errw, json: op.JSON}
	if lc, ok := cm.(localCommand); !ok || !lc.local() {
		if ss.client, err = newClient(op); err != nil {
			return err
		}
	}
	ctx, stop := context.WithTimeout(ctx, op.TimeLimit)
	defer stop()
	return ss.withDetails(cd.run(ctx, ss))
}

// localCommand is a command that may need no connection to a host.
type localCommand interface{ local() bool }

// withDetails prints the errors listed in a refusal of a sheet or configuration and returns err,
// from which Main prints the error line.
func (ss *session) withDetails(err error) error {
	var re *rejectedError
	if !errors.As(err, &re) {
		return err
	}
	if ss.json {
		return errors.Join(err, ss.printJSON(re.Rejection))
	}
	if len(re.Faults) > 0 {
		ss.table(faultsHeader, faultRows(re.Faults))
	}
	if len(re.Findings) > 0 {
		ss.table(findingsHeader, findingRows(re.Findings))
	}
	return err
}

func (ss *session) printJSON(doc any) error {
	en := json.NewEncoder(ss.out)
	en.SetIndent("", "  ")
	return en.Encode(doc)
}

// show prints a document as JSON or as a table.
func (ss *session) show(doc any, header []string, rows [][]string) error {
	if ss.json {
		return ss.printJSON(doc)
	}
	return ss.table(header, rows)
}

func (ss *session) table(header []string, rows [][]string) error {
	tw := tabwriter.NewWriter(ss.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tw, strings.Join(header, "\t"))
	for _, cells := range rows {
		for at, text := range cells {
			cells[at] = strings.Join(strings.Fields(text), " ")
		}
		fmt.Fprintln(tw, strings.Join(cells, "\t"))
	}
	return tw.Flush()
}

func longDescription() string {
	var sb strings.Builder
	sb.WriteString("Client of the operators' interface of currantrouter. Exit codes:\n")
	for _, ex := range Exits {
		fmt.Fprintf(&sb, "%d %s: %s\n", ex.Code, ex.Title, ex.Text)
	}
	return sb.String()
}

func version() string {
	bi, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	for _, st := range bi.Settings {
		if st.Key == "vcs.revision" {
			return bi.Main.Version + " " + st.Value
		}
	}
	return bi.Main.Version
}
