// Package intaker answers callers at every entry host: it stores jobs and cancellations, and asks
// the leader for what only the leader knows. What it says of a job that was not accepted is certain.
package intaker

import (
	"context"
	"errors"
	"net/netip"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/twitchtv/twirp"

	"github.com/currantrouter/currantrouter/internal/cluster/messenger"
	"github.com/currantrouter/currantrouter/internal/job/director"
	"github.com/currantrouter/currantrouter/internal/job/elector"
	"github.com/currantrouter/currantrouter/internal/job/keeper"
	"github.com/currantrouter/currantrouter/internal/job/modeler"
	"github.com/currantrouter/currantrouter/internal/process/pauser"
	"github.com/currantrouter/currantrouter/internal/provider/storer"
	"github.com/currantrouter/currantrouter/internal/telemetry/logger"
	"github.com/currantrouter/currantrouter/internal/telemetry/meter"
)

// Errors of the answers to callers. Callers test for them with errors.Is.
var (
	// ErrNotAccepted means that the job is not stored and that no attempt to store it is under way.
	ErrNotAccepted = errors.New("job was not accepted and will not run")
	// ErrResultUnknown means that it is not known whether the change was stored.
	ErrResultUnknown = errors.New("it is not known whether the change was stored")
	// ErrJobNotFound means that there is no such job.
	ErrJobNotFound = errors.New("no such job")
	// ErrUnavailable means that the question cannot be answered now.
	ErrUnavailable = errors.New("no host can answer now")
)

const (
	// storeTry bounds one call to the store, relayTry one question to a peer. Both are well above
	// the usual few milliseconds and leave time for another way.
	storeTry = 700 * time.Millisecond
	relayTry = 900 * time.Millisecond
	// storeSilence is the age of the store's last answer from which this host does not try it for a
	// caller. A call that is not sent leaves no doubt.
	storeSilence = 1200 * time.Millisecond
	// askTry bounds a question to the leader.
	askTry = 500 * time.Millisecond
	// repeatPause is the pause before a change with an unknown result is stored again.
	repeatPause = 60 * time.Millisecond
	// settleLimit bounds the time for which a change is repeated.
	settleLimit = 2500 * time.Millisecond
	// notifyTimeout bounds the message to the leader about a stored change.
	notifyTimeout = 300 * time.Millisecond
	// pendingAge is the age up to which a count of waiting jobs is given again, pendingStale that
	// while the leader does not answer.
	pendingAge   = 400 * time.Millisecond
	pendingStale = 2 * time.Second
	// mostHops bounds how often a question is passed on between hosts.
	mostHops = 1
)

// Options are the parts that an intaker works with.
type Options struct {
	JobStore *keeper.JobStore
	// StoreAge is the age of the store's last answer to this host.
	StoreAge func() time.Duration
	Elector  *elector.Elector
	Director func() *director.Director
	Dial     func(netip.AddrPort) messenger.Jobs
	Log      logr.Logger
	Meter    *meter.Registry
}

// Intaker is safe for concurrent use.
type Intaker struct {
	op Options

	mu      sync.Mutex
	pending map[modeler.QueueName]count
	// final holds the ends of jobs that were told, so that they are told again while the leader is
	// away.
	final map[modeler.JobID]modeler.State
	order []modeler.JobID
}

type count struct {
	jobs int
	at   time.Time
}

// keptStates bounds the ends that a host remembers.
const keptStates = 4096

// New returns an intaker.
func New(op Options) *Intaker {
	return &Intaker{op: op, pending: map[modeler.QueueName]count{}, final: map[modeler.JobID]modeler.State{}}
}

// Submit stores a job. Errors: modeler.ErrBadJob, ErrNotAccepted, ErrResultUnknown.
func (it *Intaker) Submit(ctx context.Context, jb *modeler.Job) error {
	if err := jb.Check(); err != nil {
		return err
	}
	document, err := keeper.Encode(jb)
	if err != nil {
		return err
	}
	began := time.Now()
	err = it.store(ctx,
		func(ctx context.Context) error { return it.op.JobStore.Submit(ctx, jb) },
		func(ctx context.Context, peer messenger.Jobs) error {
			_, err := peer.Submit(ctx, &messenger.JobDocument{Document: document})
			return err
		})
	switch {
	case err == nil:
		it.op.Meter.Add(meter.JobsAccepted, 1)
		it.op.Meter.Observe(meter.TimeToAccept, time.Since(began))
		logger.Log(it.op.Log, logger.JobAccepted, "Job", jb.ID, "Queue", jb.Queue, "Took", time.Since(began).String())
		it.notify(&messenger.StoredChange{Id: string(jb.ID), Document: document})
	case errors.Is(err, ErrNotAccepted):
		it.op.Meter.Add(meter.JobsRefused, 1)
		logger.Log(it.op.Log, logger.JobRefused, "Job", jb.ID, "Queue", jb.Queue, "StoreAge", it.op.StoreAge().String(), "Error", err.Error())
	default:
		it.op.Meter.Add(meter.JobsUnknown, 1)
		logger.Log(it.op.Log, logger.JobResultUnknown, "Job", jb.ID, "Queue", jb.Queue, "StoreAge", it.op.StoreAge().String(), "Error", err.Error())
	}
	return err
}

// Cancel stores a cancellation. Errors: ErrJobNotFound, ErrUnavailable (nothing was stored), ErrResultUnknown.
func (it *Intaker) Cancel(ctx context.Context, id modeler.JobID) error {
	err := it.store(ctx,
		func(ctx context.Context) error { return it.cancel(ctx, id) },
		func(ctx context.Context, peer messenger.Jobs) error {
			_, err := peer.Cancel(ctx, &messenger.JobName{Id: string(id), Hops: mostHops})
			return err
		})
	switch {
	case err == nil:
		logger.Log(it.op.Log, logger.CancellationStored, "Job", id)
		it.notify(&messenger.StoredChange{Id: string(id)})
	case errors.Is(err, ErrNotAccepted):
		return ErrUnavailable
	}
	return err
}

// cancel stores the cancellation of a job that is stored. Errors are those of the book.
func (it *Intaker) cancel(ctx context.Context, id modeler.JobID) error {
	if _, err := it.op.JobStore.Load(ctx, id); err != nil {
		return err
	}
	return it.op.JobStore.Cancel(ctx, id)
}

// store makes a change directly, or through a peer when this host does not reach the store. A
// change may be repeated, so one with an unknown result is made again.
func (it *Intaker) store(ctx context.Context, direct func(context.Context) error, relayed func(context.Context, messenger.Jobs) error) error {
	ctx, cancel := context.WithTimeout(ctx, settleLimit)
	defer cancel()
	unknown := false
	for {
		err := storer.ErrUnavailable
		if it.op.StoreAge() < storeSilence {
			err = attempt(ctx, storeTry, direct)
		}
		switch {
		case err == nil:
			return nil
		case errors.Is(err, storer.ErrNotFound):
			return ErrJobNotFound
		case errors.Is(err, storer.ErrTooLarge):
			return modeler.ErrBadJob
		case !errors.Is(err, storer.ErrUnavailable):
			unknown = true
		}
		for _, addr := range it.relays() {
			rerr := attempt(ctx, relayTry, func(ctx context.Context) error { return relayed(ctx, it.op.Dial(addr)) })
			var te twirp.Error
			switch {
			case rerr == nil:
				return nil
			case errors.As(rerr, &te) && te.Code() == twirp.NotFound:
				return ErrJobNotFound
			case errors.As(rerr, &te) && te.Code() == twirp.Unavailable && te.Meta(proven) != "":
			default:
				unknown = true
			}
		}
		if !unknown {
			return ErrNotAccepted
		}
		if !pauser.Pause(ctx, repeatPause) {
			return ErrResultUnknown
		}
	}
}

// relays returns the peers to try, at most two.
func (it *Intaker) relays() []netip.AddrPort {
	addrs := it.op.Elector.Peers()
	return addrs[:min(len(addrs), 2)]
}

// proven marks an answer of a peer that is certain to have stored nothing. The code alone is also
// that of a connection that broke.
const proven = "NothingStored"

func attempt(ctx context.Context, limit time.Duration, run func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	return run(ctx)
}

// notify tells the leader of a stored change. The leader's watch brings it as well.
func (it *Intaker) notify(ch *messenger.StoredChange) {
	if dr := it.op.Director(); dr != nil {
		it.Apply(dr, ch)
		return
	}
	leader := it.op.Elector.Leader()
	if leader.Host == "" {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), notifyTimeout)
		defer cancel()
		// The answer does not matter: a leader that missed the message sees the change in the store.
		_, _ = it.op.Dial(leader.Address).Notify(ctx, ch)
	}()
}

// Apply gives a stored change to a director. A cancellation that is ahead of its job is left to the
// director's watch, which sees both in order.
func (it *Intaker) Apply(dr *director.Director, ch *messenger.StoredChange) {
	if len(ch.Document) == 0 {
		dr.Cancel(modeler.JobID(ch.Id))
		return
	}
	jb, err := keeper.Decode(ch.Document)
	if err != nil {
		logger.Log(it.op.Log, logger.JobDamaged, "Job", ch.Id, "Error", err.Error())
		return
	}
	dr.Add(jb, false)
}

// State returns the state of a job. Errors: ErrJobNotFound, ErrUnavailable.
func (it *Intaker) State(ctx context.Context, id modeler.JobID, hops int32) (modeler.State, error) {
	if st, ok := it.remembered(id); ok {
		return st, nil
	}
	st, err := it.askState(ctx, id, hops)
	if err == nil {
		if st.Final() {
			it.remember(id, st)
		}
		return st, nil
	}
	if errors.Is(err, ErrJobNotFound) {
		return "", err
	}
	return it.stored(ctx, id)
}

// askState asks the director of this host, the leader, or a peer that may reach the leader.
func (it *Intaker) askState(ctx context.Context, id modeler.JobID, hops int32) (modeler.State, error) {
	if dr := it.op.Director(); dr != nil {
		if st, ok := dr.State(id); ok {
			return st, nil
		}
		return it.stored(ctx, id)
	}
	addrs := []netip.AddrPort{}
	if leader := it.op.Elector.Leader(); leader.Host != "" {
		addrs = append(addrs, leader.Address)
	}
	if hops < mostHops {
		addrs = append(addrs, it.relays()...)
	}
	for _, addr := range addrs {
		var st *messenger.JobState
		err := attempt(ctx, askTry, func(ctx context.Context) (err error) {
			st, err = it.op.Dial(addr).State(ctx, &messenger.JobName{Id: string(id), Hops: hops + 1})
			return err
		})
		var te twirp.Error
		switch {
		case err == nil:
			return modeler.State(st.State), nil
		case errors.As(err, &te) && te.Code() == twirp.NotFound:
			return "", ErrJobNotFound
		}
	}
	return "", ErrUnavailable
}

// stored returns what the store alone tells of a job, which no leader was asked about or knows yet.
func (it *Intaker) stored(ctx context.Context, id modeler.JobID) (modeler.State, error) {
	err := attempt(ctx, storeTry, func(ctx context.Context) error {
		_, err := it.op.JobStore.Load(ctx, id)
		return err
	})
	switch {
	case errors.Is(err, storer.ErrNotFound):
		return "", ErrJobNotFound
	case err != nil:
		return "", ErrUnavailable
	}
	return modeler.Queued, nil
}

func (it *Intaker) remembered(id modeler.JobID) (modeler.State, bool) {
	it.mu.Lock()
	defer it.mu.Unlock()
	st, ok := it.final[id]
	return st, ok
}

func (it *Intaker) remember(id modeler.JobID, st modeler.State) {
	it.mu.Lock()
	defer it.mu.Unlock()
	if _, ok := it.final[id]; ok {
		return
	}
	it.final[id] = st
	it.order = append(it.order, id)
	if len(it.order) > keptStates {
		delete(it.final, it.order[0])
		it.order = it.order[1:]
	}
}

// Pending returns the number of jobs of a queue of which no task has started. Errors: ErrUnavailable.
func (it *Intaker) Pending(ctx context.Context, queue modeler.QueueName) (int, error) {
	if dr := it.op.Director(); dr != nil {
		if jobs, ok := dr.Pending(queue); ok {
			return jobs, nil
		}
	}
	it.mu.Lock()
	known, ok := it.pending[queue]
	it.mu.Unlock()
	if ok && time.Since(known.at) < pendingAge {
		return known.jobs, nil
	}
	if leader := it.op.Elector.Leader(); leader.Host != "" {
		var pc *messenger.PendingCount
		err := attempt(ctx, askTry, func(ctx context.Context) (err error) {
			pc, err = it.op.Dial(leader.Address).Pending(ctx, &messenger.QueueName{Name: string(queue)})
			return err
		})
		if err == nil {
			it.mu.Lock()
			defer it.mu.Unlock()
			it.pending[queue] = count{int(pc.Jobs), time.Now()}
			return int(pc.Jobs), nil
		}
	}
	if ok && time.Since(known.at) < pendingStale {
		return known.jobs, nil
	}
	return 0, ErrUnavailable
}
