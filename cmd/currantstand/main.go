// Command currantstand emulates the platform over HTTP, with fault injection. See
// docs/platform.md.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/jessevdk/go-flags"

	"github.com/currantrouter/currantrouter/internal/provider/emulator"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	err := emulator.RunStand(ctx, os.Args[1:], os.Stdout)
	if flags.WroteHelp(err) {
		fmt.Println(err)
		return
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "currantstand:", err)
		os.Exit(1)
	}
}
