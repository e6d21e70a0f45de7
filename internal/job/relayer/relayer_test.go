package relayer_test

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"
	"google.golang.org/protobuf/proto"

	"github.com/currantrouter/currantrouter/internal/cluster/messenger"
	"github.com/currantrouter/currantrouter/internal/job/modeler"
	"github.com/currantrouter/currantrouter/internal/job/relayer"
	"github.com/currantrouter/currantrouter/internal/process/pauser"
	"github.com/currantrouter/currantrouter/internal/telemetry/meter"
	"github.com/currantrouter/currantrouter/internal/telemetry/reporter"
)

// recorder is a worker client that counts requests.
type recorder struct {
	mu sync.Mutex
	// sent holds the requests in the order in which they were sent.
	sent []string
	// err is the result of each request, and delay the time that it takes.
	err    error
	delay  time.Duration
	report modeler.Report
	panics bool
}

func (rc *recorder) record(ctx context.Context, format string, args ...any) error {
	rc.mu.Lock()
	rc.sent = append(rc.sent, fmt.Sprintf(format, args...))
	delay, err, panics := rc.delay, rc.err, rc.panics
	rc.mu.Unlock()
	if panics {
		panic("defect")
	}
	if !pauser.Sleep(ctx, delay) {
		return fmt.Errorf("%w: %w", modeler.ErrNoAnswer, ctx.Err())
	}
	return err
}

func (rc *recorder) requests() []string {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	return rc.sent
}

func (rc *recorder) Start(ctx context.Context, wk *modeler.Worker, req *modeler.StartRequest) (time.Duration, error) {
	return rc.report.Clock, rc.record(ctx, "start %s %s %d %q %d %s %q", wk.ID, req.Task, req.Run, req.Spec, req.Fence, req.Deadline, req.Checkpoint)
}

func (rc *recorder) Stop(ctx context.Context, wk *modeler.Worker, task modeler.TaskID, run modeler.Run, fence modeler.Fence) error {
	return rc.record(ctx, "stop %s %s %d %d", wk.ID, task, run, fence)
}

func (rc *recorder) Pace(ctx context.Context, wk *modeler.Worker, task modeler.TaskID, run modeler.Run, percent int, fence modeler.Fence) error {
	return rc.record(ctx, "pace %s %s %d %d %d", wk.ID, task, run, percent, fence)
}

func (rc *recorder) Renew(ctx context.Context, wk *modeler.Worker, req *modeler.RenewRequest) (modeler.Report, error) {
	err := rc.record(ctx, "renew %s %d %s %d", wk.ID, req.Fence, req.Deadline, req.AckedEnd)
	return rc.report, err
}

// network passes messages between a leader and relays, with faults.
type network struct {
	server *relayer.Server
	mu     sync.Mutex
	// delay holds messages back on their way to the relay. loseAnswers drops answers, refuse all messages.
	delay       time.Duration
	loseAnswers bool
	repeat      bool
}

var errLost = errors.New("connection lost")

func (nw *network) Exchange(ctx context.Context, msg *messenger.RelayBatch) (*messenger.RelayAnswers, error) {
	data, err := proto.Marshal(msg)
	if err != nil {
		return nil, err
	}
	nw.mu.Lock()
	delay, lose, repeat := nw.delay, nw.loseAnswers, nw.repeat
	nw.mu.Unlock()
	time.Sleep(delay)
	answers, err := nw.deliver(ctx, data)
	if repeat {
		if _, second := nw.deliver(ctx, data); second == nil {
			return nil, errors.New("the same exchange was accepted twice")
		}
	}
	if lose {
		return nil, errLost
	}
	return answers, err
}

func (nw *network) deliver(ctx context.Context, data []byte) (*messenger.RelayAnswers, error) {
	received := new(messenger.RelayBatch)
	if err := proto.Unmarshal(data, received); err != nil {
		return nil, err
	}
	nw.mu.Lock()
	server := nw.server
	nw.mu.Unlock()
	answers, err := server.Exchange(ctx, received)
	if err != nil {
		return nil, err
	}
	if data, err = proto.Marshal(answers); err != nil {
		return nil, err
	}
	copied := new(messenger.RelayAnswers)
	return copied, proto.Unmarshal(data, copied)
}

// rig is a leader with one relay and one worker.
type rig struct {
	*relayer.Client
	network *network
	// relayed and direct record the requests of the relay and of the leader.
	relayed, direct *recorder
	worker          *modeler.Worker

	mu         sync.Mutex
	noHosts    bool
	maySend    bool
	relayEpoch modeler.Epoch
}

func (rg *rig) set(change func()) {
	rg.mu.Lock()
	defer rg.mu.Unlock()
	change()
}

// runRig runs a test on the paused clock with a leader of epoch 5 that sends its requests by a relay.
func runRig(t *testing.T, test func(rg *rig)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		rg := &rig{relayed: new(recorder), direct: new(recorder), maySend: true, network: new(network)}
		rg.worker = &modeler.Worker{ID: "worker-1", Address: netip.MustParseAddrPort("10.0.0.1:80")}
		notSuspended := func() time.Duration { return 0 }
		rg.newServer(notSuspended)
		rg.Client = relayer.NewClient(relayer.Options{
			Epoch: 5, Host: "leader", Boot: "boot", Weight: 1, SuspendedTime: notSuspended, Direct: rg.direct,
			MaySend: func() bool {
				rg.mu.Lock()
				defer rg.mu.Unlock()
				return rg.maySend
			},
			Hosts: func() []relayer.Host {
				rg.mu.Lock()
				defer rg.mu.Unlock()
				if rg.noHosts {
					return nil
				}
				return []relayer.Host{{Name: "relay", Weight: 800}}
			},
			Dial:    func(netip.AddrPort) messenger.Relay { return rg.network },
			Invalid: reporter.New(logr.Discard(), meter.New(nil)), Log: logr.Discard(), Meter: meter.New(nil),
		})
		ctx, cancel := context.WithCancel(context.Background())
		var running sync.WaitGroup
		running.Go(func() { rg.Run(ctx) })
		// A failed assertion ends the test, and synctest needs all goroutines to end.
		defer func() {
			cancel()
			running.Wait()
			rg.network.server.Close()
			synctest.Wait()
		}()
		// The number of workers decides on relays.
		_, err := rg.Renew(ctx, rg.worker, &modeler.RenewRequest{Fence: 1})
		qt.Assert(t, err, qt.IsNil)
		time.Sleep(1500 * time.Millisecond)
		rg.direct.sent = nil
		test(rg)
	})
}

func (rg *rig) newServer(suspended func() time.Duration) {
	rg.network.mu.Lock()
	defer rg.network.mu.Unlock()
	rg.network.server = relayer.NewServer(relayer.ServerOptions{
		Client: rg.relayed, SuspendedTime: suspended, Log: logr.Discard(), Meter: meter.New(nil),
		KnownEpoch: func() modeler.Epoch {
			rg.mu.Lock()
			defer rg.mu.Unlock()
			return rg.relayEpoch
		},
	})
}

// start sends a start with the timeout of a leader.
func (rg *rig) start(run modeler.Run) error {
	ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
	defer cancel()
	_, err := rg.Start(ctx, rg.worker, &modeler.StartRequest{Task: modeler.TaskID{Job: "job", Index: 3}, Run: run, Spec: "a\xffb", Fence: 7, Deadline: 9 * time.Second, Checkpoint: "c\xfe"})
	return err
}

// loseAnswer has two starts carried out, the second without an answer.
func (rg *rig) loseAnswer(t *testing.T) {
	t.Helper()
	qt.Assert(t, rg.start(1), qt.IsNil)
	rg.network.mu.Lock()
	rg.network.loseAnswers = true
	rg.network.mu.Unlock()
	qt.Assert(t, rg.start(2), qt.ErrorIs, modeler.ErrNoAnswer)
}

// assertNotRun checks that a request failed with a certain result, and that no worker has seen it.
func (rg *rig) assertNotRun(t *testing.T, err error) {
	t.Helper()
	qt.Assert(t, err, qt.ErrorIs, modeler.ErrNotSent)
	time.Sleep(20 * time.Second)
	qt.Assert(t, rg.relayed.requests(), qt.HasLen, 0)
	qt.Assert(t, rg.direct.requests(), qt.HasLen, 0)
}

func TestRequestsArriveOnceByTheRelay(t *testing.T) {
	runRig(t, func(rg *rig) {
		rg.network.repeat = true
		id := modeler.TaskID{Job: "job", Index: 3}
		qt.Assert(t, rg.start(2), qt.IsNil)
		qt.Assert(t, rg.Stop(context.Background(), rg.worker, id, 2, 7), qt.IsNil)
		qt.Assert(t, rg.Pace(context.Background(), rg.worker, id, 2, 30, 7), qt.IsNil)
		rg.relayed.report = modeler.Report{Clock: 3 * time.Second, Incarnation: 4, Running: []modeler.ActiveRun{{Task: id, Run: 2, Checkpoint: "x\xff", Progress: 40, Measure: 9}}}
		for range 3 {
			rep, err := rg.Renew(context.Background(), rg.worker, &modeler.RenewRequest{Fence: 7, Deadline: 8 * time.Second, AckedEnd: 6})
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, rep.Running, qt.DeepEquals, rg.relayed.report.Running)
			qt.Assert(t, rep.Clock, qt.Equals, 3*time.Second)
		}
		renew := "renew worker-1 7 8s 6"
		qt.Assert(t, rg.relayed.requests(), qt.DeepEquals, []string{
			`start worker-1 job.0.0.3 2 "a\xffb" 7 9s "c\xfe"`, "stop worker-1 job.0.0.3 2 7", "pace worker-1 job.0.0.3 2 30 7", renew, renew, renew,
		})
		qt.Assert(t, rg.direct.requests(), qt.HasLen, 0)
	})
}

func TestRefusalsKeepTheirMeaning(t *testing.T) {
	for _, want := range []error{modeler.ErrStaleFence, modeler.ErrStaleRun, modeler.ErrDeadlinePassed, modeler.ErrNoCapacity, modeler.ErrOtherIncarnation, modeler.ErrUnhealthy, modeler.ErrNoAnswer, modeler.ErrNotSent} {
		t.Run(want.Error(), func(t *testing.T) {
			runRig(t, func(rg *rig) {
				rg.relayed.err = want
				qt.Assert(t, rg.start(1), qt.ErrorIs, want)
			})
		})
	}
}

// Guards against orders of a leader that was paused, or whose batch was held up, after it decided on them.
func TestDelayedBatch(t *testing.T) {
	runRig(t, func(rg *rig) {
		qt.Assert(t, rg.start(1), qt.IsNil)
		rg.network.mu.Lock()
		rg.network.delay = 2 * time.Second
		rg.network.mu.Unlock()
		qt.Assert(t, rg.start(2), qt.ErrorIs, modeler.ErrNoAnswer)
		time.Sleep(20 * time.Second)
		qt.Assert(t, rg.relayed.requests(), qt.HasLen, 1)
	})
}

// Guards against requests that a relay sends after it was paused.
func TestPausedRelay(t *testing.T) {
	runRig(t, func(rg *rig) {
		// The machine is suspended between the arrival of the second batch and the sending of its request.
		var mu sync.Mutex
		looks := 0
		rg.newServer(func() time.Duration {
			mu.Lock()
			defer mu.Unlock()
			if looks++; looks > 2 {
				return 2 * time.Second
			}
			return 0
		})
		rg.assertNotRun(t, rg.start(1))
	})
}

// Guards against requests of a deposed leader that are carried out by a host that knows the later one.
func TestDeposedLeader(t *testing.T) {
	runRig(t, func(rg *rig) {
		rg.set(func() { rg.relayEpoch = 6 })
		rg.assertNotRun(t, rg.start(1))
	})
}

// Guards against requests that wait in a batch while the leadership is lost.
func TestLeadershipLostBeforeTheBatch(t *testing.T) {
	runRig(t, func(rg *rig) {
		rg.set(func() { rg.maySend = false })
		rg.assertNotRun(t, rg.start(1))
	})
}

// Guards against a request that ran and is said not to have run, or that runs again, after its answer was lost.
func TestLostAnswer(t *testing.T) {
	runRig(t, func(rg *rig) {
		rg.loseAnswer(t)
		time.Sleep(20 * time.Second)
		qt.Assert(t, rg.relayed.requests(), qt.HasLen, 2)
	})
}

// Guards against workers that wait for a relay that has failed.
func TestFailedRelay(t *testing.T) {
	runRig(t, func(rg *rig) {
		rg.loseAnswer(t)
		qt.Assert(t, rg.start(3), qt.IsNil)
		qt.Assert(t, rg.direct.requests(), qt.HasLen, 1)
	})
}

// Guards against a restarted relay that carries out part of a session.
func TestRestartedRelay(t *testing.T) {
	runRig(t, func(rg *rig) {
		rg.relayed.delay = time.Second
		go func() {
			time.Sleep(10 * time.Millisecond)
			rg.newServer(func() time.Duration { return 0 })
		}()
		err := rg.start(1)
		qt.Assert(t, errors.Is(err, modeler.ErrNoAnswer) || errors.Is(err, modeler.ErrNotSent) && len(rg.relayed.requests()) == 0, qt.IsTrue, qt.Commentf("%v", err))
	})
}

// Guards against a defect that ends the process of a relay, or a request that it may have sent and that is said not to
// have run.
func TestPanickingRelay(t *testing.T) {
	runRig(t, func(rg *rig) {
		rg.relayed.panics = true
		qt.Assert(t, rg.start(1), qt.ErrorIs, modeler.ErrNoAnswer)
		rg.relayed.panics = false
		time.Sleep(6 * time.Second)
		_, err := rg.Renew(context.Background(), rg.worker, &modeler.RenewRequest{Fence: 7})
		qt.Assert(t, err, qt.IsNil)
		time.Sleep(5 * time.Second)
		qt.Assert(t, rg.start(2), qt.IsNil)
		qt.Assert(t, rg.relayed.requests(), qt.HasLen, 2)
	})
}

// Guards against a relay that refuses requests after it was out of contact for a while.
func TestReturningRelay(t *testing.T) {
	runRig(t, func(rg *rig) {
		qt.Assert(t, rg.start(1), qt.IsNil)
		rg.set(func() { rg.noHosts = true })
		time.Sleep(2 * time.Second)
		qt.Assert(t, rg.start(2), qt.IsNil)
		rg.set(func() { rg.noHosts = false })
		time.Sleep(2 * time.Second)
		qt.Assert(t, rg.start(3), qt.IsNil)
		qt.Assert(t, rg.direct.requests(), qt.HasLen, 1)
		qt.Assert(t, rg.relayed.requests(), qt.HasLen, 2)
	})
}
