// Command currantdocs generates the pages under docs/ that are derived from tables in the code.
// With --check it only compares them. Run it in the root of the repository.
package main

import (
	"fmt"
	"os"

	"github.com/currantrouter/currantrouter/internal/docs/generator"
)

func main() {
	run := generator.Write
	if len(os.Args) > 1 && os.Args[1] == "--check" {
		run = generator.Check
	}
	if err := run("."); err != nil {
		fmt.Fprintln(os.Stderr, "currantdocs:", err)
		os.Exit(1)
	}
}
