package emulator_test

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/currantrouter/currantrouter/internal/fleet/modeler"
	"github.com/currantrouter/currantrouter/internal/provider/emulator"
)

// Guards against emulated runners whose limits, oracles or faults differ from what the tests of the
// request path rely on.
func TestRunner(t *testing.T) {
	pf := emulator.New(emulator.Options{})
	defer pf.Close()
	release := make(chan struct{})
	begun := make(chan struct{}, 8)
	spec, err := pf.AddRunner("dc", "svc", emulator.RunnerOptions{
		Name: "r1", Slots: 1, Connections: 2,
		RunTime: func(rq *http.Request) time.Duration {
			if rq.URL.Path == "/hold" {
				begun <- struct{}{}
				<-release
			}
			if rq.URL.Path == "/long" {
				return time.Hour
			}
			return 0
		},
	})
	qt.Assert(t, err, qt.IsNil)
	tr := &http.Transport{}
	defer tr.CloseIdleConnections()
	call := func(ctx context.Context, path string) (int, string, error) {
		rq, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+spec.Endpoint.String()+path, strings.NewReader("body"))
		qt.Assert(t, err, qt.IsNil)
		rq.Header.Set(modeler.HeaderKey, "key")
		rq.Header.Set(modeler.HeaderTimeout, "1")
		rs, err := tr.RoundTrip(rq)
		if err != nil {
			return 0, "", err
		}
		defer func() { _ = rs.Body.Close() }()
		data, err := io.ReadAll(rs.Body)
		return rs.StatusCode, string(bytes.TrimSpace(data)), err
	}
	status, text, err := call(t.Context(), "/a")
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, status, qt.Equals, http.StatusOK)
	qt.Check(t, text, qt.Equals, "r1 POST /a\nbody")

	held := make(chan error, 1)
	go func() {
		_, _, err := call(context.Background(), "/hold")
		held <- err
	}()
	<-begun
	status, _, err = call(t.Context(), "/b")
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, status, qt.Equals, http.StatusServiceUnavailable)
	close(release)
	qt.Check(t, <-held, qt.IsNil)

	pf.Faults.Set(emulator.Switch{Fault: emulator.Truncated, Part: emulator.PartRunners, Target: "r1", Count: 1})
	_, _, err = call(t.Context(), "/c")
	qt.Check(t, err, qt.ErrorIs, io.ErrUnexpectedEOF)

	status, _, err = call(t.Context(), "/long")
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, status, qt.Equals, http.StatusGatewayTimeout)

	rn, _ := pf.Runner("r1")
	_, _, err = call(t.Context(), "/d")
	qt.Assert(t, err, qt.IsNil)
	rn.Freeze()
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	_, _, err = call(ctx, "/e")
	qt.Check(t, err, qt.ErrorIs, context.DeadlineExceeded)

	or := rn.Oracle()
	qt.Check(t, or.GreatestCalls, qt.Equals, 1)
	qt.Check(t, or.GreatestConnections, qt.Equals, 2)
	qt.Check(t, or.Refused >= 1, qt.IsTrue)
	qt.Check(t, or.Late, qt.Equals, 1)
	qt.Check(t, or.Executions["key"], qt.Equals, 5)
}
