package relayer

import (
	"context"
	"errors"
	"maps"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"github.com/currantrouter/currantrouter/internal/cluster/messenger"
	fleet "github.com/currantrouter/currantrouter/internal/fleet/modeler"
	"github.com/currantrouter/currantrouter/internal/job/modeler"
	"github.com/currantrouter/currantrouter/internal/process/pauser"
	"github.com/currantrouter/currantrouter/internal/telemetry/logger"
	"github.com/currantrouter/currantrouter/internal/telemetry/meter"
	"github.com/currantrouter/currantrouter/internal/telemetry/reporter"
)

const (
	// refreshInterval is the time between two choices of the relays.
	refreshInterval = time.Second
	// workerMemory is how long a worker without a renewal counts for the size of the fleet.
	workerMemory = 10 * time.Second
	// directTime is how long the leader sends the requests to a worker itself after its relay got no answer from it.
	directTime = 10 * time.Second
)

// WorkerClient sends requests to workers, see director.WorkerClient.
type WorkerClient interface {
	Start(ctx context.Context, wk *modeler.Worker, req *modeler.StartRequest) (time.Duration, error)
	Stop(ctx context.Context, wk *modeler.Worker, task modeler.TaskID, run modeler.Run, fence modeler.Fence) error
	Renew(ctx context.Context, wk *modeler.Worker, req *modeler.RenewRequest) (modeler.Report, error)
	Pace(ctx context.Context, wk *modeler.Worker, task modeler.TaskID, run modeler.Run, percent int, fence modeler.Fence) error
}

// Options configure a client.
type Options struct {
	Epoch modeler.Epoch
	Host  fleet.HostName
	Boot  fleet.BootID
	// Weight is the processor share of this host in thousandths of a core.
	Weight int64
	// MaySend reports whether this host may still send requests to workers, see director.Options.
	MaySend func() bool
	// SuspendedTime returns how long this machine has been suspended since the process started.
	SuspendedTime func() time.Duration
	// Hosts returns the other hosts that were in contact lately and do not drain.
	Hosts func() []Host
	// Dial returns the client for a host.
	Dial func(address netip.AddrPort) messenger.Relay
	// Direct sends requests from this host.
	Direct WorkerClient
	// OnRelays is called with true when relays begin to be used, and with false when they end. It may be nil.
	OnRelays func(used bool)
	// Invalid reports invalid messages.
	Invalid *reporter.Reporter
	Log     logr.Logger
	Meter   *meter.Registry
}

// Client sends the requests of one leader to workers, by relays if the fleet is large. It is safe for concurrent
// use.
type Client struct {
	op        Options
	startedAt time.Time
	// sessions is the number of the last session with any relay. A relay that is chosen again accepts later ones only.
	sessions atomic.Int64

	mu sync.Mutex
	// relays holds the present relays, and links the link to each of them in the same order.
	relays []Host
	links  []*link
	// renewedAt holds when each worker was last renewed.
	renewedAt map[modeler.WorkerID]time.Time
	// directUntil holds the workers that are sent requests without a relay, and until when.
	directUntil map[modeler.WorkerID]time.Time
}

// NewClient returns a client without relays.
func NewClient(op Options) *Client {
	return &Client{op: op, startedAt: time.Now(), renewedAt: map[modeler.WorkerID]time.Time{}, directUntil: map[modeler.WorkerID]time.Time{}}
}

// uptime returns the time since the client was made, including that for which the machine was suspended.
func (cl *Client) uptime() time.Duration { return time.Since(cl.startedAt) + cl.op.SuspendedTime() }

// Run chooses relays until the context ends. It returns once no relay is used any more.
func (cl *Client) Run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	var links sync.WaitGroup
	defer links.Wait()
	defer cancel()
	defer cl.noteRelays(false)
	pauser.Every(ctx, refreshInterval, func(ctx context.Context) { cl.refresh(ctx, &links) })
}

// refresh chooses the relays again and starts or ends the links to them.
func (cl *Client) refresh(ctx context.Context, loops *sync.WaitGroup) {
	hosts, now := cl.op.Hosts(), time.Now()
	cl.mu.Lock()
	defer cl.mu.Unlock()
	maps.DeleteFunc(cl.renewedAt, func(_ modeler.WorkerID, at time.Time) bool { return now.Sub(at) > workerMemory })
	maps.DeleteFunc(cl.directUntil, func(_ modeler.WorkerID, until time.Time) bool { return now.After(until) })
	relays := chooseRelays(hosts, cl.op.Weight, len(cl.renewedAt))
	if slices.Equal(relays, cl.relays) {
		return
	}
	links := make([]*link, len(relays))
	for ix, hs := range relays {
		if old := slices.Index(cl.relays, hs); old >= 0 {
			links[ix] = cl.links[old]
			continue
		}
		lk := newLink(cl, hs)
		lctx, cancel := context.WithCancel(ctx)
		lk.cancel, links[ix] = cancel, lk
		loops.Go(func() { lk.run(lctx) })
	}
	for ix, hs := range cl.relays {
		if !slices.Contains(relays, hs) {
			cl.links[ix].cancel()
		}
	}
	cl.relays, cl.links = relays, links
	cl.noteRelays(len(relays) > 0)
	names := make([]fleet.HostName, len(relays))
	for ix, hs := range relays {
		names[ix] = hs.Name
	}
	logger.Log(cl.op.Log, logger.RelaysChosen, "Workers", len(cl.renewedAt), "Weight", cl.op.Weight, "Hosts", len(hosts), "Relays", names)
}

// noteRelays tells whether relays are used.
func (cl *Client) noteRelays(used bool) {
	if cl.op.OnRelays != nil {
		cl.op.OnRelays(used)
	}
}

// linkFor returns the link by which requests to a worker go, or nil if this host sends them.
func (cl *Client) linkFor(wk *modeler.Worker) *link {
	now := time.Now()
	cl.mu.Lock()
	defer cl.mu.Unlock()
	if len(cl.relays) == 0 || now.Before(cl.directUntil[wk.ID]) {
		return nil
	}
	ix := Assign(wk.ID, wk.DataCentre, cl.relays, func(ix int) bool { return cl.links[ix].usable(now) })
	if ix < 0 {
		return nil
	}
	return cl.links[ix]
}

// send sends a request by a relay or directly. After a relay has got no answer from the worker, the next
// requests go directly, and after such a request without an answer by a relay again: the worker may not be reachable
// from one of the two.
func (cl *Client) send(ctx context.Context, wk *modeler.Worker, ca *call, direct func() (modeler.Report, error)) (modeler.Report, error) {
	lk := cl.linkFor(wk)
	var rep modeler.Report
	var err error
	if lk == nil {
		rep, err = direct()
	} else {
		deadline, _ := ctx.Deadline()
		ca.request.Worker, ca.request.Address = string(wk.ID), wk.Address.String()
		ca.request.Timeout = max(1, (time.Until(deadline) - answerMargin).Milliseconds())
		ca.done = make(chan result, 1)
		rep, err = lk.do(ctx, ca)
		cl.op.Meter.Add(meter.RequestsRelayed, 1)
	}
	if errors.Is(err, modeler.ErrNoAnswer) || errors.Is(err, modeler.ErrNotSent) {
		cl.mu.Lock()
		defer cl.mu.Unlock()
		if lk == nil {
			delete(cl.directUntil, wk.ID)
		} else {
			cl.directUntil[wk.ID] = time.Now().Add(directTime)
		}
	}
	return rep, err
}

// Start implements director.WorkerClient.
func (cl *Client) Start(ctx context.Context, wk *modeler.Worker, req *modeler.StartRequest) (time.Duration, error) {
	ca := &call{spec: req.Spec, request: &messenger.WorkerRequest{Fence: int64(req.Fence), Kind: &messenger.WorkerRequest_Start{Start: &messenger.StartRun{
		Task: []byte(req.Task.String()), Run: int64(req.Run), Deadline: req.Deadline.Milliseconds(), Checkpoint: []byte(req.Checkpoint), Ticket: []byte(req.Ticket),
	}}}}
	rep, err := cl.send(ctx, wk, ca, func() (modeler.Report, error) {
		clock, err := cl.op.Direct.Start(ctx, wk, req)
		return modeler.Report{Clock: clock}, err
	})
	return rep.Clock, err
}

// Stop implements director.WorkerClient.
func (cl *Client) Stop(ctx context.Context, wk *modeler.Worker, task modeler.TaskID, run modeler.Run, fence modeler.Fence) error {
	ca := &call{request: &messenger.WorkerRequest{Fence: int64(fence), Kind: &messenger.WorkerRequest_Stop{Stop: &messenger.StopRun{
		Task: []byte(task.String()), Run: int64(run),
	}}}}
	_, err := cl.send(ctx, wk, ca, func() (modeler.Report, error) {
		return modeler.Report{}, cl.op.Direct.Stop(ctx, wk, task, run, fence)
	})
	return err
}

// Pace implements director.WorkerClient.
func (cl *Client) Pace(ctx context.Context, wk *modeler.Worker, task modeler.TaskID, run modeler.Run, percent int, fence modeler.Fence) error {
	ca := &call{request: &messenger.WorkerRequest{Fence: int64(fence), Kind: &messenger.WorkerRequest_Pace{Pace: &messenger.SetPace{
		Task: []byte(task.String()), Run: int64(run), Percent: int64(percent),
	}}}}
	_, err := cl.send(ctx, wk, ca, func() (modeler.Report, error) {
		return modeler.Report{}, cl.op.Direct.Pace(ctx, wk, task, run, percent, fence)
	})
	return err
}

// Renew implements director.WorkerClient.
func (cl *Client) Renew(ctx context.Context, wk *modeler.Worker, req *modeler.RenewRequest) (modeler.Report, error) {
	cl.mu.Lock()
	cl.renewedAt[wk.ID] = time.Now()
	cl.mu.Unlock()
	ca := &call{request: &messenger.WorkerRequest{Fence: int64(req.Fence), Kind: &messenger.WorkerRequest_Renew{Renew: &messenger.RenewLease{
		Deadline: req.Deadline.Milliseconds(), AckedEnd: req.AckedEnd, MaxWait: req.MaxWait.Milliseconds(),
	}}}}
	return cl.send(ctx, wk, ca, func() (modeler.Report, error) { return cl.op.Direct.Renew(ctx, wk, req) })
}
