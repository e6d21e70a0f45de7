// Command currantctl is the operators' client.
package main

import (
	"os"

	"github.com/currantrouter/currantrouter/internal/operator/commander"
)

func main() {
	os.Exit(commander.Main(os.Args[1:], os.Stdout, os.Stderr))
}
