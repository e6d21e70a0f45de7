// Command currantd is the daemon of an entry host.
package main

import (
	"os"

	"github.com/currantrouter/currantrouter/internal/daemon/assembler"
)

func main() {
	os.Exit(assembler.Main(os.Args[1:], os.Stdout, os.Stderr))
}
