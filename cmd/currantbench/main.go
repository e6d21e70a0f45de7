// Command currantbench measures a fleet of daemons that run as processes on loopback. See
// docs/MEASUREMENTS.md.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/currantrouter/currantrouter/internal/experiment/driver"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := driver.Main(ctx, os.Args[1:], os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "currantbench:", err)
		os.Exit(1)
	}
}
