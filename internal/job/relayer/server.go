package relayer

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"runtime/debug"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/twitchtv/twirp"
	"google.golang.org/protobuf/proto"

	"github.com/currantrouter/currantrouter/internal/cluster/messenger"
	fleet "github.com/currantrouter/currantrouter/internal/fleet/modeler"
	"github.com/currantrouter/currantrouter/internal/job/modeler"
	"github.com/currantrouter/currantrouter/internal/telemetry/logger"
	"github.com/currantrouter/currantrouter/internal/telemetry/meter"
	"github.com/currantrouter/currantrouter/internal/telemetry/reporter"
)

// maxRequestTimeout bounds the timeout of a request that is relayed.
const maxRequestTimeout = 10 * time.Second

// ServerOptions configure a server.
type ServerOptions struct {
	// Client sends the requests to workers.
	Client WorkerClient
	// KnownEpoch returns the highest epoch that this host knows.
	KnownEpoch func() modeler.Epoch
	// SuspendedTime returns how long this machine has been suspended since the process started.
	SuspendedTime func() time.Duration
	Log           logr.Logger
	Meter         *meter.Registry
}

// Server implements messenger.Relay. It carries out the requests of one leader at a time.
type Server struct {
	op      ServerOptions
	invalid *reporter.Reporter

	startedAt time.Time

	mu sync.Mutex
	// session is that of the last exchange, or nil.
	session *session
}

// sessionKey identifies a session.
type sessionKey struct {
	epoch  modeler.Epoch
	host   fleet.HostName
	boot   fleet.BootID
	number int64
}

// session is a sequence of exchanges with one leader.
type session struct {
	key sessionKey
	// ctx ends with the session.
	ctx    context.Context
	cancel context.CancelFunc
	// idle ends the session when there is no exchange for sessionTimeout.
	idle *time.Timer
	// exchange is the number of the last one.
	exchange int64
	// leastDelay is the least difference of an exchange between its arrival, since the start of this process, and its
	// sending, since the beginning of the session.
	leastDelay time.Duration

	mu sync.Mutex
	// answers are those that no exchange has returned.
	answers []*messenger.WorkerAnswer
	// answered has a value when an answer was added.
	answered chan struct{}
	// unanswered is the number of requests without an answer in answers.
	unanswered int
	// encoders hold the state of the reports by worker.
	encoders map[modeler.WorkerID]*reportEncoder
}

// NewServer returns a server without a session.
func NewServer(op ServerOptions) *Server {
	return &Server{op: op, invalid: reporter.New(op.Log, op.Meter), startedAt: time.Now()}
}

// Exchange implements messenger.Relay.
func (sv *Server) Exchange(ctx context.Context, msg *messenger.RelayBatch) (*messenger.RelayAnswers, error) {
	arrived := sv.uptime()
	se, err := sv.begin(msg, arrived)
	if err != nil {
		logger.Log(sv.op.Log, logger.RelayRefused, "Leader", fmt.Sprintf("%.100q", msg.GetHost()), "Epoch", msg.GetEpoch(), "Session", msg.GetSession(), "Exchange", msg.GetExchange(), "Requests", len(msg.GetRequests()), "Error", err.Error())
		return nil, twirp.NewError(twirp.FailedPrecondition, err.Error())
	}
	for _, rq := range msg.GetRequests() {
		// A request outlives the exchange that brought it.
		go sv.carryOut(se, msg, rq, arrived)
	}
	sv.op.Meter.Add(meter.RelayRequests, int64(len(msg.GetRequests())))
	wait := time.NewTimer(min(max(modeler.DurationFromMillis(msg.GetMaxWait()), 0), exchangeTimeout/2))
	defer wait.Stop()
	for {
		if answers := se.take(); len(answers) > 0 {
			return &messenger.RelayAnswers{Answers: answers}, nil
		}
		select {
		case <-se.answered:
		case <-wait.C:
			return &messenger.RelayAnswers{}, nil
		case <-se.ctx.Done():
			return nil, twirp.NewError(twirp.Canceled, "session is over")
		case <-ctx.Done():
			return nil, twirp.NewError(twirp.Canceled, "exchange was given up")
		}
	}
}

// uptime returns the time since this process started, including that for which the machine was suspended.
func (sv *Server) uptime() time.Duration { return time.Since(sv.startedAt) + sv.op.SuspendedTime() }

// begin returns the session of an exchange that has arrived at an uptime, if it is the next one. Errors: ErrDeposed,
// ErrUnknownSession, ErrLate, ErrOverloaded, ErrInvalidMessage.
func (sv *Server) begin(msg *messenger.RelayBatch, arrived time.Duration) (*session, error) {
	key := sessionKey{modeler.Epoch(msg.GetEpoch()), fleet.HostName(msg.GetHost()), fleet.BootID(msg.GetBoot()), msg.GetSession()}
	if key.epoch <= 0 || key.epoch > modeler.MaxEpoch || key.host == "" || len(msg.GetRequests()) > maxBatchRequests || msg.GetExchange() == 1 && len(msg.GetRequests()) > 0 {
		return nil, fmt.Errorf("%w: epoch %d, exchange %d, %d requests", ErrInvalidMessage, key.epoch, msg.GetExchange(), len(msg.GetRequests()))
	}
	delay := arrived - modeler.DurationFromMillis(msg.GetSent())
	sv.mu.Lock()
	defer sv.mu.Unlock()
	known := sv.op.KnownEpoch()
	if sv.session != nil {
		known = max(known, sv.session.key.epoch)
	}
	if key.epoch < known {
		return nil, fmt.Errorf("%w: %d", ErrDeposed, known)
	}
	se := sv.session
	switch {
	case se != nil && se.key == key && se.ctx.Err() == nil:
		if msg.GetExchange() != se.exchange+1 {
			return nil, fmt.Errorf("%w: %d after %d", ErrUnknownSession, msg.GetExchange(), se.exchange)
		}
	case msg.GetExchange() != 1 || se != nil && !key.follows(se.key):
		return nil, fmt.Errorf("%w: exchange %d of session %d", ErrUnknownSession, msg.GetExchange(), key.number)
	default:
		se = sv.newSession(key)
		se.leastDelay = delay
	}
	se.leastDelay = min(se.leastDelay, delay)
	if delay-se.leastDelay > maxRequestAge {
		return nil, fmt.Errorf("%w: batch by %s", ErrLate, delay-se.leastDelay)
	}
	se.idle.Reset(sessionTimeout)
	se.exchange++
	return se, se.add(len(msg.GetRequests()))
}

// follows reports whether a session is a later one than another.
func (sk sessionKey) follows(other sessionKey) bool {
	return sk.epoch > other.epoch || sk.host == other.host && sk.boot == other.boot && sk.number > other.number
}

// newSession ends the present session and begins another one. The caller holds mu.
func (sv *Server) newSession(key sessionKey) *session {
	if sv.session != nil {
		sv.session.end()
	}
	ctx, cancel := context.WithCancel(context.Background())
	se := &session{key: key, ctx: ctx, cancel: cancel, answered: make(chan struct{}, 1), encoders: map[modeler.WorkerID]*reportEncoder{}}
	se.idle = time.AfterFunc(sessionTimeout, cancel)
	sv.session = se
	logger.Log(sv.op.Log, logger.RelaySessionBegun, "Leader", key.host, "Epoch", key.epoch, "Session", key.number)
	return se
}

// Close ends the present session.
func (sv *Server) Close() {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	if sv.session != nil {
		sv.session.end()
	}
}

func (se *session) end() {
	se.idle.Stop()
	se.cancel()
}

// add counts new requests. Errors: ErrOverloaded.
func (se *session) add(requests int) error {
	se.mu.Lock()
	defer se.mu.Unlock()
	if se.unanswered+len(se.answers)+requests > maxSessionRequests {
		return fmt.Errorf("%w: %d", ErrOverloaded, se.unanswered)
	}
	se.unanswered += requests
	return nil
}

// take returns the answers for the next exchange.
func (se *session) take() []*messenger.WorkerAnswer {
	se.mu.Lock()
	defer se.mu.Unlock()
	size, count := 0, 0
	for count < len(se.answers) && size < maxAnswersBytes {
		size += proto.Size(se.answers[count])
		count++
	}
	answers := se.answers[:count]
	se.answers = se.answers[count:]
	return answers
}

// answer adds the answer to a request.
func (se *session) answer(id modeler.WorkerID, number int64, rep *modeler.Report, renewed bool, err error) {
	an := &messenger.WorkerAnswer{Number: number, Clock: rep.Clock.Milliseconds(), Error: nameOf(err)}
	if err != nil {
		an.Detail = []byte(truncate(err.Error()))
	}
	se.mu.Lock()
	defer se.mu.Unlock()
	if renewed && err == nil {
		an.Worker = string(id)
		re := se.encoders[id]
		if re == nil {
			re = new(reportEncoder)
			se.encoders[id] = re
		}
		an.Report = re.encode(rep)
	}
	se.answers = append(se.answers, an)
	se.unanswered--
	select {
	case se.answered <- struct{}{}:
	default:
	}
}

// carryOut sends one request that has arrived at an uptime to its worker and adds the answer to the session.
func (sv *Server) carryOut(se *session, msg *messenger.RelayBatch, rq *messenger.WorkerRequest, arrived time.Duration) {
	wk := &modeler.Worker{ID: modeler.WorkerID(rq.GetWorker())}
	defer func() {
		if cause := recover(); cause != nil {
			// The request may have been sent.
			logger.Log(sv.op.Log, logger.RelayPanicked, "Cause", fmt.Sprint(cause), "Stack", string(debug.Stack()))
			se.answer(wk.ID, rq.GetNumber(), &modeler.Report{}, false, fmt.Errorf("%w: %w", modeler.ErrNoAnswer, errPanic))
		}
	}()
	send, err := sv.decode(msg, rq, wk)
	var rep modeler.Report
	switch {
	case err != nil:
		sv.invalid.Report(logger.RelayMessageInvalid, meter.ReportsInvalid, msg.GetHost(), err, "Leader", fmt.Sprintf("%.100q", msg.GetHost()))
		err = fmt.Errorf("%w: %w", modeler.ErrNotSent, err)
	case se.ctx.Err() != nil:
		err = fmt.Errorf("%w: session is over", modeler.ErrNotSent)
	case sv.uptime()-arrived > maxRequestAge:
		err = fmt.Errorf("%w: %w at the relay", modeler.ErrNotSent, ErrLate)
	default:
		ctx, cancel := context.WithTimeout(se.ctx, min(max(modeler.DurationFromMillis(rq.GetTimeout()), 0), maxRequestTimeout))
		rep, err = send(ctx)
		cancel()
	}
	se.answer(wk.ID, rq.GetNumber(), &rep, rq.GetRenew() != nil, err)
}

// errPanic is why a request or an exchange failed that met a defect of this software.
var errPanic = errors.New("panic")

// decode sets the worker of a request and returns a function that sends it. Errors: ErrInvalidMessage.
func (sv *Server) decode(msg *messenger.RelayBatch, rq *messenger.WorkerRequest, wk *modeler.Worker) (func(context.Context) (modeler.Report, error), error) {
	address, err := netip.ParseAddrPort(rq.GetAddress())
	if err == nil {
		err = errors.Join(fleet.CheckAddress(address), modeler.CheckName("worker", rq.GetWorker()))
	}
	if err != nil {
		return nil, fmt.Errorf("%w: worker %.100q: %w", ErrInvalidMessage, rq.GetWorker(), err)
	}
	wk.Address = address
	fence, cl := modeler.Fence(rq.GetFence()), sv.op.Client
	switch kind := rq.GetKind().(type) {
	case *messenger.WorkerRequest_Renew:
		req := &modeler.RenewRequest{
			Fence: fence, Deadline: modeler.DurationFromMillis(kind.Renew.GetDeadline()),
			AckedEnd: kind.Renew.GetAckedEnd(), MaxWait: modeler.DurationFromMillis(kind.Renew.GetMaxWait()),
		}
		return func(ctx context.Context) (modeler.Report, error) { return cl.Renew(ctx, wk, req) }, nil
	case *messenger.WorkerRequest_Start:
		start := kind.Start
		task, err := modeler.ParseTaskID(string(start.GetTask()))
		if err != nil || start.GetSpec() < 0 || start.GetSpec() >= int64(len(msg.GetSpecs())) {
			return nil, fmt.Errorf("%w: start of task %.100q with spec %d of %d", ErrInvalidMessage, start.GetTask(), start.GetSpec(), len(msg.GetSpecs()))
		}
		req := &modeler.StartRequest{
			Task: task, Run: modeler.Run(start.GetRun()), Spec: string(msg.GetSpecs()[start.GetSpec()]), Fence: fence,
			Deadline: modeler.DurationFromMillis(start.GetDeadline()), Checkpoint: string(start.GetCheckpoint()), Ticket: string(start.GetTicket()),
		}
		return func(ctx context.Context) (modeler.Report, error) {
			clock, err := cl.Start(ctx, wk, req)
			return modeler.Report{Clock: clock}, err
		}, nil
	case *messenger.WorkerRequest_Stop:
		task, err := modeler.ParseTaskID(string(kind.Stop.GetTask()))
		if err != nil {
			return nil, fmt.Errorf("%w: stop: %w", ErrInvalidMessage, err)
		}
		return func(ctx context.Context) (modeler.Report, error) {
			return modeler.Report{}, cl.Stop(ctx, wk, task, modeler.Run(kind.Stop.GetRun()), fence)
		}, nil
	case *messenger.WorkerRequest_Pace:
		task, err := modeler.ParseTaskID(string(kind.Pace.GetTask()))
		if err != nil || kind.Pace.GetPercent() < 0 || kind.Pace.GetPercent() > 100 {
			return nil, fmt.Errorf("%w: pace %d of task %.100q", ErrInvalidMessage, kind.Pace.GetPercent(), kind.Pace.GetTask())
		}
		return func(ctx context.Context) (modeler.Report, error) {
			return modeler.Report{}, cl.Pace(ctx, wk, task, modeler.Run(kind.Pace.GetRun()), int(kind.Pace.GetPercent()), fence)
		}, nil
	}
	return nil, fmt.Errorf("%w: request without a kind", ErrInvalidMessage)
}
