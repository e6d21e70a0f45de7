package generator_test

import (
	"fmt"
	"os"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/currantrouter/currantrouter/internal/docs/generator"
	"github.com/currantrouter/currantrouter/internal/telemetry/logger"
	"github.com/currantrouter/currantrouter/internal/telemetry/meter"
)

// Guards against generated pages that are out of date.
func TestPagesAreCurrent(t *testing.T) {
	qt.Assert(t, generator.Check("../../.."), qt.IsNil)
}

// Guards against a warning or error event that docs/OPERATIONS.md does not explain.
func TestOperationsExplainEvents(t *testing.T) {
	page, err := os.ReadFile("../../../docs/OPERATIONS.md")
	qt.Assert(t, err, qt.IsNil)
	for _, ev := range logger.Catalogue {
		if ev.Severity == logger.SeverityInfo {
			continue
		}
		row := fmt.Sprintf("| %d %s |", ev.Number, ev.Title)
		qt.Check(t, strings.Contains(string(page), row), qt.IsTrue, qt.Commentf("no row %q", row))
	}
}

// Guards against a number or name that is used twice, which would make logs ambiguous.
func TestTablesAreUnique(t *testing.T) {
	t.Run("events", func(t *testing.T) {
		last := 0
		for _, ev := range logger.Catalogue {
			qt.Check(t, ev.Number > last, qt.IsTrue, qt.Commentf("event %d after %d", ev.Number, last))
			last = ev.Number
		}
	})
	t.Run("metrics", func(t *testing.T) {
		seen := map[string]bool{}
		for _, mt := range meter.Metrics {
			qt.Check(t, seen[mt.Name], qt.IsFalse, qt.Commentf("metric %s", mt.Name))
			seen[mt.Name] = true
		}
	})
}
