package intaker

import (
	"bytes"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/currantrouter/currantrouter/internal/cluster/messenger"
	"github.com/currantrouter/currantrouter/internal/telemetry/logger"
	"github.com/currantrouter/currantrouter/internal/telemetry/meter"
)

// Guards against a cancellation of which the leader is not notified without a trace.
func TestFailedNotification(t *testing.T) {
	for name, tc := range map[string]struct {
		change *messenger.StoredChange
		lines  int
	}{
		"cancellation": {&messenger.StoredChange{Id: "j"}, 1},
		"job":          {&messenger.StoredChange{Id: "j", Document: []byte("{}")}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			var out bytes.Buffer
			lg, err := logger.New(&out, "text")
			qt.Assert(t, err, qt.IsNil)
			it := &Intaker{op: Options{Log: lg, Meter: meter.New(nil)}}
			it.notNotified(tc.change, "host", errNoLeader)
			qt.Check(t, it.op.Meter.Value(meter.NotificationsFailed), qt.Equals, int64(1))
			qt.Check(t, strings.Count(out.String(), logger.LeaderNotNotified.Title), qt.Equals, tc.lines)
		})
	}
}
