package assembler

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/go-logr/logr"

	"github.com/currantrouter/currantrouter/internal/config/distributor"
	"github.com/currantrouter/currantrouter/internal/config/loader"
	"github.com/currantrouter/currantrouter/internal/fleet/modeler"
	"github.com/currantrouter/currantrouter/internal/provider/lister"
	"github.com/currantrouter/currantrouter/internal/provider/requester"
	"github.com/currantrouter/currantrouter/internal/telemetry/logger"
	"github.com/currantrouter/currantrouter/internal/telemetry/meter"
	"github.com/currantrouter/currantrouter/internal/telemetry/reporter"
)

// Exit codes of currantd.
const (
	// ExitOK means that all calls ended before the end of the drain, or that a check succeeded.
	ExitOK = 0
	// ExitFailed means that the daemon could not start or that an interface failed.
	ExitFailed = 1
	// ExitBadSettings means that a flag or the settings file is wrong.
	ExitBadSettings = 2
	// ExitDrainLimit means that calls in flight were aborted at the drain limit.
	ExitDrainLimit = 3
)

// ConnectFunc returns clients of the platform that the jobs of callers run on.
type ConnectFunc func(*loader.Settings) JobPlatform

// Main runs currantd with the arguments after the program's name and returns its exit code.
func Main(args []string, stdout, stderr io.Writer, connect ConnectFunc) int {
	st, err := loader.Load(args)
	switch {
	case errors.Is(err, loader.ErrHelp):
		fmt.Fprintln(stdout, helpText(err))
		return ExitOK
	case err != nil:
		fmt.Fprintln(stderr, "currantd:", err)
		return ExitBadSettings
	case st.Version:
		fmt.Fprintln(stdout, "currantd", Version())
		return ExitOK
	case st.Check:
		fmt.Fprintln(stdout, "settings are valid")
		return ExitOK
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if st.Jobs.Enabled {
		return exitCode(runJobs(ctx, st, connect(st), stdout), stderr)
	}
	lg, err := logger.New(stderr, st.Log.Format)
	if err != nil {
		fmt.Fprintln(stderr, "currantd:", err)
		return ExitBadSettings
	}
	return exitCode(run(ctx, st, lg, stdout), stderr)
}

func helpText(err error) string {
	text := err.Error()
	prefix := loader.ErrHelp.Error() + "\n"
	if len(text) > len(prefix) {
		return text[len(prefix):]
	}
	return text
}

// Version returns the version that the build recorded, or "(devel)".
func Version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok || info.Main.Version == "" {
		return "(devel)"
	}
	return info.Main.Version
}

func exitCode(err error, stderr io.Writer) int {
	switch {
	case err == nil:
		return ExitOK
	case errors.Is(err, ErrDrainLimitReached):
		fmt.Fprintln(stderr, "currantd:", err)
		return ExitDrainLimit
	}
	fmt.Fprintln(stderr, "currantd:", err)
	return ExitFailed
}

func run(ctx context.Context, st *loader.Settings, lg logr.Logger, stdout io.Writer) error {
	pf := Platform{}
	if st.Standalone {
		sa, err := startStandalone(ctx, st)
		if err != nil {
			return err
		}
		defer sa.close()
		pf = sa.asPlatform()
		printWelcome(stdout, st)
	} else {
		rr := requester.New()
		defer rr.Close()
		pf = remotePlatform(rr, st)
	}
	dm, err := New(st, pf, nil, lg)
	if err != nil {
		return err
	}
	if cl, ok := pf.Hosts.(*lister.Client); ok {
		cl.ReportTo(reporter.New(lg, dm.meter))
	}
	if st.Standalone {
		go importExample(ctx, dm)
	}
	return dm.Run(ctx)
}

// PutConfiguration stores a document as the next revision after the expected one, which is zero if
// there is none. The timeout applies to each call to the store. Errors are those of
// distributor.Put.
func PutConfiguration(ctx context.Context, st Store, document []byte, expected modeler.Revision, timeout time.Duration) error {
	_, err := distributor.New(distributor.Options{
		Store:   st,
		Timeout: timeout,
		Log:     logr.Discard(),
		Meter:   meter.New(nil),
	}).Put(ctx, document, expected)
	return err
}
