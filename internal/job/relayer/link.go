package relayer

import (
	"context"
	"errors"
	"fmt"
	"runtime/debug"
	"sync"
	"syscall"
	"time"

	"github.com/twitchtv/twirp"
	"google.golang.org/protobuf/proto"

	"github.com/currantrouter/currantrouter/internal/cluster/messenger"
	"github.com/currantrouter/currantrouter/internal/job/modeler"
	"github.com/currantrouter/currantrouter/internal/process/pauser"
	"github.com/currantrouter/currantrouter/internal/telemetry/logger"
	"github.com/currantrouter/currantrouter/internal/telemetry/meter"
)

const (
	// batchOverhead covers the fields of a batch other than its requests and specifications, in bytes: a name and a boot
	// of a host and six numbers.
	batchOverhead = 1 << 10
	// requestOverhead covers the tag and the length of a request or a specification, and the index of the latter that is
	// set later, in bytes.
	requestOverhead = 16
)

// relayPause is how long a relay gets no requests after an exchange with it has failed.
const relayPause = 5 * time.Second

// link is a leader's connection to one relay.
type link struct {
	client *Client
	host   Host
	// wake has a value when a request was queued.
	wake chan struct{}

	mu sync.Mutex
	// queue holds the calls that no exchange has taken, pending those that one has, by number.
	queue      []*call
	pending    map[int64]*call
	nextNumber int64
	// session and exchange are those of the last exchange. A session ends with an exchange that failed.
	session, exchange int64
	// sessionBegan is the uptime of the leader at the first exchange of the session, exchangedAt that at the last one.
	sessionBegan, exchangedAt time.Duration
	// decoders hold the state of the session's reports by worker.
	decoders map[modeler.WorkerID]*reportDecoder
	// behind is set if the last batch left calls in the queue. Only run uses it.
	behind bool
	// pausedUntil is when the relay gets requests again.
	pausedUntil time.Time
	closed      bool
	// cancel ends run.
	cancel context.CancelFunc
}

// errNotLeading is why calls are not sent by a leader that may have been deposed since they were queued.
var errNotLeading = errors.New("leadership is not confirmed")

// call is a request to a worker that waits for its answer.
type call struct {
	request *messenger.WorkerRequest
	// spec is that of a start.
	spec string
	// done receives one result.
	done chan result
}

// result is the answer to a call.
type result struct {
	report modeler.Report
	err    error
}

func newLink(cl *Client, hs Host) *link {
	return &link{client: cl, host: hs, wake: make(chan struct{}, 1), pending: map[int64]*call{}, session: cl.sessions.Add(1), decoders: map[modeler.WorkerID]*reportDecoder{}}
}

// usable reports whether the relay gets requests.
func (lk *link) usable(now time.Time) bool {
	lk.mu.Lock()
	defer lk.mu.Unlock()
	return !lk.closed && !now.Before(lk.pausedUntil)
}

// do has the relay carry a request out and waits for the answer. Errors: those of requests to workers.
func (lk *link) do(ctx context.Context, ca *call) (modeler.Report, error) {
	lk.mu.Lock()
	if lk.closed {
		lk.mu.Unlock()
		return modeler.Report{}, fmt.Errorf("%w: term is over", modeler.ErrNotSent)
	}
	lk.nextNumber++
	ca.request.Number = lk.nextNumber
	lk.queue = append(lk.queue, ca)
	lk.mu.Unlock()
	select {
	case lk.wake <- struct{}{}:
	default:
	}
	select {
	case rs := <-ca.done:
		return rs.report, rs.err
	case <-ctx.Done():
	}
	return modeler.Report{}, lk.giveUp(ca, ctx.Err())
}

// giveUp drops a call that was not answered in time, and returns its error.
func (lk *link) giveUp(ca *call, reason error) error {
	lk.mu.Lock()
	defer lk.mu.Unlock()
	if lk.pending[ca.request.Number] == ca {
		delete(lk.pending, ca.request.Number)
		return fmt.Errorf("%w: by relay %s: %w", modeler.ErrNoAnswer, lk.host.Name, reason)
	}
	for ix, queued := range lk.queue {
		if queued == ca {
			lk.queue = append(lk.queue[:ix:ix], lk.queue[ix+1:]...)
			return fmt.Errorf("%w: to relay %s: %w", modeler.ErrNotSent, lk.host.Name, reason)
		}
	}
	// The answer arrived at the same time: a call leaves pending and queue with its result.
	rs := <-ca.done
	return rs.err
}

// pause keeps requests from the relay for a while. The caller holds mu.
func (lk *link) pause(reason error) {
	now := time.Now()
	if now.Before(lk.pausedUntil) {
		return
	}
	lk.pausedUntil = now.Add(relayPause)
	lk.client.op.Meter.Add(meter.RelayFailures, 1)
	logger.Log(lk.client.op.Log, logger.RelayPaused, "Relay", lk.host.Name, "Session", lk.session, "Pending", len(lk.pending), "Pause", relayPause.String(), "Error", reason.Error())
}

// run exchanges batches with the relay until the context ends.
func (lk *link) run(ctx context.Context) {
	defer lk.close()
	for ctx.Err() == nil {
		began := time.Now()
		msg, batch := lk.nextBatch()
		if msg == nil {
			select {
			case <-ctx.Done():
			case <-lk.wake:
			}
			continue
		}
		cctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
		answers, err := lk.client.op.Dial(lk.host.Address).Exchange(cctx, msg)
		cancel()
		lk.client.op.Meter.Add(meter.RelayExchanges, 1)
		if err != nil {
			lk.fail(batch, err)
		} else {
			lk.deliverGuarded(answers)
		}
		if msg.Exchange > 1 && !lk.behind {
			pauser.Sleep(ctx, exchangeInterval-time.Since(began))
		}
	}
}

// batchLength returns how many calls of a queue fit into one exchange. A call that alone is too large is taken, so that it
// does not hold up the others; the relay refuses it.
func batchLength(queue []*call) int {
	size, specs := batchOverhead, map[string]struct{}{}
	for ix, ca := range queue[:min(len(queue), maxBatchRequests)] {
		size += proto.Size(ca.request) + requestOverhead
		if _, ok := specs[ca.spec]; !ok && ca.request.GetStart() != nil {
			specs[ca.spec] = struct{}{}
			size += len(ca.spec) + requestOverhead
		}
		if size > MaxBatchBytes {
			return max(ix, 1)
		}
	}
	return min(len(queue), maxBatchRequests)
}

// nextBatch returns the message of the next exchange with the calls that it takes, or nil if there is nothing
// to send and nothing to wait for.
func (lk *link) nextBatch() (*messenger.RelayBatch, []*call) {
	lk.mu.Lock()
	defer lk.mu.Unlock()
	if len(lk.queue) == 0 && len(lk.pending) == 0 {
		return nil, nil
	}
	op, uptime := &lk.client.op, lk.client.uptime()
	if !op.MaySend() {
		lk.refuseQueued(errNotLeading)
	}
	if lk.exchange > 0 && len(lk.pending) == 0 && uptime-lk.exchangedAt > sessionTimeout/2 {
		// The relay may have ended the idle session.
		lk.newSession()
	}
	lk.exchangedAt = uptime
	var batch []*call
	if lk.exchange++; lk.exchange == 1 {
		lk.sessionBegan = uptime
	} else {
		batch = lk.queue[:batchLength(lk.queue)]
		lk.queue = lk.queue[len(batch):]
	}
	lk.behind = len(lk.queue) > 0 || len(batch) == maxBatchRequests
	msg := &messenger.RelayBatch{
		Epoch: int64(op.Epoch), Host: string(op.Host), Boot: string(op.Boot), Session: lk.session, Exchange: lk.exchange, Sent: (uptime - lk.sessionBegan).Milliseconds(),
		MaxWait: exchangeInterval.Milliseconds(), Requests: make([]*messenger.WorkerRequest, len(batch)),
	}
	specs := map[string]int64{}
	for ix, ca := range batch {
		lk.pending[ca.request.Number] = ca
		msg.Requests[ix] = ca.request
		if start := ca.request.GetStart(); start != nil {
			sx, ok := specs[ca.spec]
			if !ok {
				sx = int64(len(msg.Specs))
				specs[ca.spec], msg.Specs = sx, append(msg.Specs, []byte(ca.spec))
			}
			start.Spec = sx
		}
	}
	return msg, batch
}

// deliverGuarded delivers answers, and ends the session after a panic.
func (lk *link) deliverGuarded(answers *messenger.RelayAnswers) {
	defer func() {
		if cause := recover(); cause != nil {
			logger.Log(lk.client.op.Log, logger.RelayPanicked, "Cause", fmt.Sprint(cause), "Stack", string(debug.Stack()))
			lk.endSession(errPanic)
		}
	}()
	lk.deliver(answers)
}

// deliver passes answers on to the calls.
func (lk *link) deliver(answers *messenger.RelayAnswers) {
	for _, an := range answers.GetAnswers() {
		rs, err := lk.decode(an)
		if err != nil {
			lk.client.op.Invalid.Report(logger.RelayMessageInvalid, meter.ReportsInvalid, string(lk.host.Name), err, "Relay", lk.host.Name)
			lk.endSession(err)
			return
		}
		lk.mu.Lock()
		if ca := lk.pending[an.GetNumber()]; ca != nil {
			delete(lk.pending, an.GetNumber())
			ca.done <- rs
		}
		lk.mu.Unlock()
	}
}

// decode decodes an answer. The reports of a worker are decoded in the order of the relay, also those that no
// call waits for any more. Errors: ErrInvalidMessage.
func (lk *link) decode(an *messenger.WorkerAnswer) (result, error) {
	clock := modeler.DurationFromMillis(an.GetClock())
	if an.GetError() != "" {
		return result{err: fmt.Errorf("%w: by relay %s: %.*s", errorOf(an.Error), lk.host.Name, maxDetailBytes, an.GetDetail())}, nil
	}
	if an.GetReport() == nil {
		return result{report: modeler.Report{Clock: clock}}, nil
	}
	id := modeler.WorkerID(an.GetWorker())
	dc := lk.decoders[id]
	if dc == nil {
		dc = new(reportDecoder)
		lk.decoders[id] = dc
	}
	rep, err := dc.decode(an.Report, clock)
	return result{report: rep}, err
}

// fail ends the session after an exchange without an answer. The calls of its batch were not carried out if the relay
// refused them or was not connected to.
func (lk *link) fail(batch []*call, err error) {
	var te twirp.Error
	if errors.As(err, &te) && te.Code() == twirp.FailedPrecondition || errors.Is(err, syscall.ECONNREFUSED) {
		lk.mu.Lock()
		for _, ca := range batch {
			if lk.pending[ca.request.Number] == ca {
				delete(lk.pending, ca.request.Number)
				ca.done <- result{err: fmt.Errorf("%w: to relay %s: %w", modeler.ErrNotSent, lk.host.Name, err)}
			}
		}
		lk.mu.Unlock()
	}
	lk.endSession(err)
}

// endSession gives up the calls of the session and pauses the relay.
func (lk *link) endSession(reason error) {
	lk.mu.Lock()
	defer lk.mu.Unlock()
	lk.pause(reason)
	lk.newSession()
	for number, ca := range lk.pending {
		delete(lk.pending, number)
		ca.done <- result{err: fmt.Errorf("%w: by relay %s: %w", modeler.ErrNoAnswer, lk.host.Name, reason)}
	}
	lk.refuseQueued(reason)
}

// newSession makes the next exchange the first of a session. The caller holds mu.
func (lk *link) newSession() {
	lk.session, lk.exchange, lk.decoders = lk.client.sessions.Add(1), 0, map[modeler.WorkerID]*reportDecoder{}
}

// refuseQueued answers the calls that no exchange has taken. The caller holds mu.
func (lk *link) refuseQueued(reason error) {
	for _, ca := range lk.queue {
		ca.done <- result{err: fmt.Errorf("%w: to relay %s: %w", modeler.ErrNotSent, lk.host.Name, reason)}
	}
	lk.queue = nil
}

// close gives up all calls.
func (lk *link) close() {
	lk.mu.Lock()
	lk.closed = true
	// A relay that is left in order is not at fault.
	lk.pausedUntil = time.Now().Add(relayPause)
	lk.mu.Unlock()
	lk.endSession(context.Canceled)
}
