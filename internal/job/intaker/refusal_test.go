package intaker_test

import (
	"bytes"
	"encoding/json"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/currantrouter/currantrouter/internal/job/intaker"
	"github.com/currantrouter/currantrouter/internal/provider/emulator"
	"github.com/currantrouter/currantrouter/internal/telemetry/logger"
)

// Guards against a line on a refused job that does not tell whether the store was called, so that a host
// that has not heard of the store for long looks like one whose calls fail.
func TestRefusalNamesItsInputs(t *testing.T) {
	for name, tc := range map[string]struct {
		age   time.Duration
		fault emulator.Switch
		err   error
		event logger.Event
		calls float64
	}{
		"store not heard of": {2 * time.Second, emulator.Switch{}, intaker.ErrNotAccepted, logger.JobRefused, 0},
		"store refuses":      {0, emulator.Switch{Fault: emulator.Unavailable, Part: emulator.PartStore, Operation: "Put"}, intaker.ErrNotAccepted, logger.JobRefused, 1},
		// Repeated every 60 ms for 2.5 s.
		"answers lost": {0, emulator.Switch{Fault: emulator.Late, Part: emulator.PartStore, Operation: "Put", Delay: time.Minute}, intaker.ErrResultUnknown, logger.JobResultUnknown, 42},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var out bytes.Buffer
				lg, err := logger.New(&out, "json")
				qt.Assert(t, err, qt.IsNil)
				th := newLoggedHost(lg, func() time.Duration { return tc.age })
				if tc.fault.Fault != "" {
					th.faults.Set(tc.fault)
				}
				qt.Check(t, th.Submit(t.Context(), testJob()), qt.ErrorIs, tc.err)
				var line map[string]any
				qt.Assert(t, json.Unmarshal(out.Bytes(), &line), qt.IsNil)
				qt.Check(t, line["Event"], qt.Equals, float64(tc.event.Number))
				qt.Check(t, line["StoreAge"], qt.Equals, tc.age.String())
				qt.Check(t, line["MaxStoreAge"], qt.Equals, "1.2s")
				qt.Check(t, line["StoreCalls"], qt.Equals, tc.calls)
				qt.Check(t, line["PeerCalls"], qt.Equals, 0.0)
				time.Sleep(2 * time.Minute)
			})
		})
	}
}
