// Command currantd is the daemon of an entry host.
package main

import (
	"os"

	"github.com/currantrouter/currantrouter/internal/daemon/assembler"
	"github.com/currantrouter/currantrouter/platform/adapter"
)

func main() {
	os.Exit(assembler.Main(os.Args[1:], os.Stdout, os.Stderr, adapter.Connect))
}
