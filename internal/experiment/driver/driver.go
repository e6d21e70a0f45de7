// Package driver starts a fleet of daemons as processes on loopback, sends calls to it, injects a
// fault or another event, and compares the answers to the callers with the executions on the
// runners. It is a tool for measurements; the daemon itself starts no processes.
package driver

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/jessevdk/go-flags"
)

// options are the flags of currantbench. The defaults match the larger of the current deployments.
type options struct {
	Binaries    string        `long:"binaries" default:"." description:"Directory with currantd and currantstand"`
	DataCentres int           `long:"data-centres" default:"4" description:"Number of data centres"`
	Hosts       int           `long:"hosts" default:"2" description:"Entry hosts per data centre"`
	Runners     int           `long:"runners" default:"12" description:"Runners per data centre"`
	CallTime    time.Duration `long:"call-time" default:"20ms" description:"Time of a call on a runner"`
	Callers     int           `long:"callers" default:"64" description:"Callers that send one call after the other"`
	Keyed       int           `long:"keyed" default:"20" description:"Percentage of calls with an idempotency key"`
	Duration    time.Duration `long:"duration" default:"20s" description:"Time of the load"`
	Event       string        `long:"event" default:"none" choice:"none" choice:"kill-host" choice:"pause-host" choice:"store-away" choice:"config" choice:"roll" description:"What happens after a third of the time"`
	Verbose     bool          `long:"verbose" description:"Show the log lines of the daemons"`
}

// maxProcesses limits the size of the fleet, so that a wrong flag does not overload the machine.
const maxProcesses = 100

// ErrViolated means that an invariant was violated. The report lists the violations.
var ErrViolated = errors.New("an invariant was violated")

// Main runs one experiment and writes its report to out. Errors: ErrViolated if the answers to
// callers, the executions on runners and workers, or the exit codes of daemons violate an
// invariant.
func Main(ctx context.Context, args []string, out io.Writer) error {
	var op options
	_, err := flags.NewParser(&op, flags.HelpFlag|flags.PassDoubleDash).ParseArgs(args)
	var fe *flags.Error
	if errors.As(err, &fe) && fe.Type == flags.ErrHelp {
		fmt.Fprintln(out, fe.Message)
		return nil
	}
	if err != nil {
		return err
	}
	if op.DataCentres*op.Hosts+1 > maxProcesses {
		return fmt.Errorf("at most %d processes", maxProcesses)
	}
	fl, err := startFleet(ctx, op)
	if err != nil {
		return err
	}
	defer fl.close()
	ld := newLoad(fl, op)
	eventDone := make(chan error, 1)
	go func() { eventDone <- fl.runEvent(ctx, op) }()
	ld.run(ctx)
	if err := <-eventDone; err != nil {
		return err
	}
	usage := fl.readUsage()
	codes := fl.stop()
	orc, err := fl.readOracle(ctx)
	if err != nil {
		return err
	}
	return report(out, op, ld, orc, usage, codes)
}
