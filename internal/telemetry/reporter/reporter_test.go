package reporter_test

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr/funcr"

	"github.com/currantrouter/currantrouter/internal/telemetry/logger"
	"github.com/currantrouter/currantrouter/internal/telemetry/meter"
	"github.com/currantrouter/currantrouter/internal/telemetry/reporter"
)

// fixture counts the lines of a reporter.
type fixture struct {
	*reporter.Reporter
	lines []string
}

func newFixture() *fixture {
	fx := new(fixture)
	fx.Reporter = reporter.New(funcr.New(func(_, args string) { fx.lines = append(fx.lines, args) }, funcr.Options{}), meter.New(nil))
	return fx
}

func (fx *fixture) report(source, text string) {
	fx.Report(logger.WorkerEntryInvalid, meter.EntriesInvalid, source, errors.New(text))
}

// Guards against one invalid entry that fills the log or the memory.
func TestReport(t *testing.T) {
	t.Run("same error", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			fx := newFixture()
			for range 1000 {
				fx.report("a", "bad")
				time.Sleep(time.Minute)
			}
			qt.Check(t, fx.lines, qt.HasLen, 1)
		})
	})
	t.Run("changing error", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			fx := newFixture()
			for ix := range 120 {
				fx.report("a", fmt.Sprint("bad ", ix))
				time.Sleep(time.Second)
			}
			qt.Check(t, fx.lines, qt.HasLen, 2)
		})
	})
	t.Run("many sources", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			fx := newFixture()
			for ix := range 5000 {
				fx.report(fmt.Sprint(ix), "bad")
			}
			qt.Check(t, fx.lines, qt.HasLen, 1024)
			time.Sleep(2 * time.Hour)
			fx.report("new", "bad")
			qt.Check(t, fx.lines, qt.HasLen, 1025)
		})
	})
	t.Run("long text", func(t *testing.T) {
		fx := newFixture()
		fx.report(strings.Repeat("a", 1<<20), strings.Repeat("b", 1<<20))
		qt.Check(t, len(fx.lines[0]) < 1000, qt.IsTrue)
	})
}
