package intaker_test

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"

	"github.com/currantrouter/currantrouter/internal/cluster/messenger"
	"github.com/currantrouter/currantrouter/internal/job/director"
	"github.com/currantrouter/currantrouter/internal/job/elector"
	"github.com/currantrouter/currantrouter/internal/job/intaker"
	"github.com/currantrouter/currantrouter/internal/job/modeler"
	"github.com/currantrouter/currantrouter/internal/job/rejecter"
	"github.com/currantrouter/currantrouter/internal/provider/emulator"
	"github.com/currantrouter/currantrouter/internal/provider/storer"
	"github.com/currantrouter/currantrouter/internal/state/journaler"
	"github.com/currantrouter/currantrouter/internal/telemetry/logger"
	"github.com/currantrouter/currantrouter/internal/telemetry/meter"
)

// uselessJob returns a job that is useless by the load hint of newOverloadedHost.
func uselessJob() *modeler.Job {
	return &modeler.Job{ID: "j1", Queue: "batch", MaxSlowdown: 1.5, Steps: []modeler.Step{{Count: 1, Estimate: time.Second}}}
}

// newOverloadedHost returns a host whose leader reports a queue that is behind. No leader is known to its
// elector, so that the epoch is zero.
func newOverloadedHost(lg logr.Logger) *testHost {
	th := newLoggedHost(lg, func() time.Duration { return 0 })
	th.overload()
	return th
}

// overload passes a load hint by which uselessJob is useless.
func (th *testHost) overload() {
	th.rejecter.Update(rejecter.Hint{Queues: []rejecter.QueueLoad{{Queue: "batch", Ended: 20, Delay: time.Minute, Missed: 20, Drain: time.Minute, Overrun: 1}}}, time.Now())
}

func (th *testHost) assertStored(t *testing.T, id modeler.JobID, stored bool) {
	t.Helper()
	_, err := th.jobStore.Load(t.Context(), id)
	qt.Check(t, errors.Is(err, storer.ErrNotFound), qt.Equals, !stored, qt.Commentf("%v", err))
}

// Guards against a useless job that is refused and runs, as an earlier attempt may have stored it, and against
// refusals without a recent load hint.
func TestUselessJob(t *testing.T) {
	for name, tc := range map[string]struct {
		before  func(t *testing.T, th *testHost)
		refused bool
	}{
		"first attempt": {func(*testing.T, *testHost) {}, true},
		"attempt at another host stored it": {func(t *testing.T, th *testHost) {
			qt.Assert(t, th.jobStore.Submit(t.Context(), uselessJob()), qt.IsNil)
		}, false},
		"attempt at this host may be stored late": {func(t *testing.T, th *testHost) {
			th.rejecter.Update(rejecter.Hint{}, time.Now().Add(time.Millisecond))
			th.faults.Set(emulator.Switch{Fault: emulator.Late, Part: emulator.PartStore, Operation: "Put", Count: 1, Delay: 5 * time.Second})
			ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
			defer cancel()
			qt.Check(t, th.Submit(ctx, uselessJob()), qt.ErrorIs, intaker.ErrResultUnknown)
			*th.rejecter = rejecter.Rejecter{}
			th.overload()
		}, false},
		"store does not tell": {func(_ *testing.T, th *testHost) {
			th.faults.Set(emulator.Switch{Fault: emulator.Unavailable, Part: emulator.PartStore, Operation: "Get"})
		}, false},
		"load hint too old": {func(*testing.T, *testHost) { time.Sleep(time.Second) }, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				th := newOverloadedHost(logr.Discard())
				tc.before(t, th)
				err := th.Submit(t.Context(), uselessJob())
				th.faults.Clear()
				var rf *intaker.Refusal
				qt.Check(t, errors.As(err, &rf), qt.Equals, tc.refused, qt.Commentf("%v", err))
				if tc.refused {
					qt.Check(t, err, qt.ErrorIs, intaker.ErrNotAccepted)
					qt.Check(t, rf.RetryAfter >= time.Second && rf.RetryAfter <= 2*time.Second, qt.IsTrue, qt.Commentf("%s", rf.RetryAfter))
				}
				time.Sleep(10 * time.Second)
				th.assertStored(t, "j1", !tc.refused)
			})
		})
	}
}

// Guards against a line for each refused request. Callers repeat them, so that a host under load would log most.
func TestRefusalLinesBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		lg, err := logger.New(&out, "json")
		qt.Assert(t, err, qt.IsNil)
		th := newOverloadedHost(lg)
		for range 100 {
			qt.Check(t, th.Submit(t.Context(), uselessJob()), qt.ErrorIs, intaker.ErrNotAccepted)
			time.Sleep(time.Millisecond)
		}
		qt.Check(t, bytes.Count(out.Bytes(), []byte("\n")), qt.Equals, 10)
		// The hint is used for a second.
		th.overload()
		time.Sleep(950 * time.Millisecond)
		out.Reset()
		qt.Check(t, th.Submit(t.Context(), uselessJob()), qt.ErrorIs, intaker.ErrNotAccepted)
		var line map[string]any
		qt.Assert(t, json.Unmarshal(out.Bytes(), &line), qt.IsNil)
		qt.Check(t, line["Event"], qt.Equals, float64(logger.JobUseless.Number))
		qt.Check(t, line["Omitted"], qt.Equals, 90.0)
	})
}

// idleJournal is a journal of which every call succeeds.
type idleJournal struct{}

func (idleJournal) Append(context.Context, ...journaler.Record) error         { return nil }
func (idleJournal) Check(context.Context) error                               { return nil }
func (idleJournal) LastConfirmed() time.Time                                  { return time.Now() }
func (idleJournal) Position() int64                                           { return 0 }
func (idleJournal) Snapshot(context.Context, []journaler.Record, int64) error { return nil }

// pipeListener is a listener whose connections are in memory.
type pipeListener struct {
	conns  chan net.Conn
	closed chan struct{}
}

func (pl *pipeListener) Accept() (net.Conn, error) {
	select {
	case cn := <-pl.conns:
		return cn, nil
	case <-pl.closed:
		return nil, net.ErrClosed
	}
}

func (pl *pipeListener) Close() error   { close(pl.closed); return nil }
func (pl *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

func (pl *pipeListener) dial(context.Context, string, string) (net.Conn, error) {
	near, far := net.Pipe()
	pl.conns <- far
	return near, nil
}

// Guards against load hints that do not reach other hosts with the leader's answers to their heartbeats, or that take
// most of the bandwidth of control, as they come with every answer.
func TestLoadHintReachesHosts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dr := director.New(director.Options{
			Epoch: 7, Journal: idleJournal{}, Configuration: func() *modeler.Configuration { return nil }, MaySendRequests: func() bool { return true },
			LoadHints: true, Log: logr.Discard(), Meter: meter.New(nil),
		})
		ctx, cancel := context.WithCancel(t.Context())
		dr.Start(ctx)
		dr.FinishLoading()
		time.Sleep(5 * time.Second)
		dial := func(netip.AddrPort) messenger.Jobs { return nil }
		el := elector.New(elector.Options{
			Self: elector.Member{Host: "leader", Boot: "b", Address: netip.MustParseAddrPort("10.0.0.1:80")}, Dial: dial, Log: logr.Discard(), Meter: meter.New(nil),
			StoreAge: func() time.Duration { return 0 }, ConfigurationRevision: func() int64 { return 0 }, OnHigherRevision: func(netip.AddrPort, int64) {},
		})
		leader := intaker.New(intaker.Options{Director: func() *director.Director { return dr }, Rejecter: new(rejecter.Rejecter), Elector: el, Log: logr.Discard(), Meter: meter.New(nil)})
		pl := &pipeListener{make(chan net.Conn), make(chan struct{})}
		server := &http.Server{Handler: leader.AddLoadHints(messenger.NewJobsServer(intaker.NewServer(leader, el, nil))), ReadHeaderTimeout: time.Second}
		go func() { _ = server.Serve(pl) }()

		th := newTestHost()
		pool := elector.NewClientPool(pl.dial)
		received := 0
		pool.RequestHeader(intaker.LoadHintHeader, intaker.LoadHintInterval, func(text string, sentAt time.Time) {
			received++
			th.ReadLoadHint(text, sentAt)
		})
		dr.LoadHint()
		time.Sleep(200 * time.Millisecond)
		// At the shortest interval of heartbeats, 3 s long.
		for range 25 {
			_, err := pool.Dial(netip.MustParseAddrPort("10.0.0.1:80")).Greet(t.Context(), &messenger.Greeting{Host: "other", Boot: "b", Address: "10.0.0.2:80"})
			qt.Assert(t, err, qt.IsNil)
			time.Sleep(120 * time.Millisecond)
		}
		qt.Check(t, received >= 8 && received <= 11, qt.IsTrue, qt.Commentf("%d load hints", received))
		qt.Check(t, th.rejecter.Decide(uselessJob(), 7, time.Now()).Reason, qt.Equals, rejecter.NotBehind)
		cancel()
		qt.Check(t, dr.Wait(), qt.IsNil)
		qt.Check(t, server.Close(), qt.IsNil)
		time.Sleep(time.Minute)
	})
}
